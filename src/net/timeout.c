#include "net/timeout.h"

/** Until the loop has looked at its sockets, in ms. */
#define LOOK_MS 1

static void start(timeout_t *t, int64_t ms)
{
	ev_timer_stop(t->loop, &t->w);
	ev_timer_set(&t->w, (double)(ms > 0 ? ms : 0) / 1000.0, 0.0);
	ev_timer_start(t->loop, &t->w);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	timeout_t *t = w->data;
	deadline_t now = clock_now_ms();

	if (now - t->due > TIMEOUT_LATE_MS) {
		t->due = now + LOOK_MS;
		start(t, LOOK_MS);
		return;
	}
	t->end(t->ctx);
}

void timeout_init(timeout_t *t, struct ev_loop *loop, void (*end)(void *ctx), void *ctx)
{
	*t = (timeout_t){.loop = loop, .end = end, .ctx = ctx};
	ev_timer_init(&t->w, on_timer, 0.0, 0.0);
	ev_set_priority(&t->w, EV_MINPRI); /* behind the reads of its turn */
	t->w.data = t;
}

void timeout_set(timeout_t *t, int64_t ms)
{
	t->due = clock_now_ms() + ms;
	start(t, ms);
}

void timeout_expire_now(timeout_t *t)
{
	t->due = clock_now_ms();
	ev_feed_event(t->loop, &t->w, EV_TIMER);
}

void timeout_stop(timeout_t *t)
{
	ev_timer_stop(t->loop, &t->w);
}
