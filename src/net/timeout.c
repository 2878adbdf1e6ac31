#include "net/timeout.h"

/** Time by which a late timer is put off, in ms, so that the loop reads its sockets first. */
#define READ_FIRST_MS 1

static void start_watcher(timeout_t *t, int64_t ms)
{
	ev_timer_stop(t->loop, &t->watcher);
	ev_timer_set(&t->watcher, (double)(ms > 0 ? ms : 0) / 1000.0, 0.0);
	ev_timer_start(t->loop, &t->watcher);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	timeout_t *t = w->data;
	deadline_t now = clock_now_ms();

	if (now - t->due > TIMEOUT_LATE_MS) {
		t->due = now + READ_FIRST_MS;
		start_watcher(t, READ_FIRST_MS);
		return;
	}
	t->expired(t->ctx);
}

void timeout_init(timeout_t *t, struct ev_loop *loop, void (*expired)(void *ctx), void *ctx)
{
	*t = (timeout_t){.loop = loop, .expired = expired, .ctx = ctx};
	ev_timer_init(&t->watcher, on_timer, 0.0, 0.0);
	ev_set_priority(&t->watcher, EV_MINPRI); /* after the reads of the same iteration */
	t->watcher.data = t;
}

void timeout_set(timeout_t *t, int64_t ms)
{
	t->due = clock_now_ms() + ms;
	start_watcher(t, ms);
}

void timeout_expire_now(timeout_t *t)
{
	t->due = clock_now_ms();
	ev_feed_event(t->loop, &t->watcher, EV_TIMER);
}

void timeout_stop(timeout_t *t)
{
	ev_timer_stop(t->loop, &t->watcher);
}
