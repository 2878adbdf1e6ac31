/* After a pause of this process (it was stopped, or got no share of a core) messages of the leader
 * lie unread on the link, the latest of which may forbid what the first ask for, or the leader may
 * have dropped the link. So grants and orders to run items are carried out only once the link has
 * been read. */
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "front/front.h"

/** A longer time between two turns of the event loop, in ms, is a pause: timers make it turn far
 * more often. */
#define PAUSE_MS 100

typedef struct held {
	link_msg_t m; /* owned */
	struct held *prev;
	struct held *next;
} held_t;

struct front_pause {
	front_t *f;
	ev_check turn;
	ev_timer after_reads;
	deadline_t last_turn;
	bool reading; /* the link has not been read since the last pause */
	uint64_t received_bytes; /* over the link when after_reads was started */
	held_t *held; /* in the order of arrival */
};

static void held_free(front_pause_t *p, held_t *x)
{
	DL_DELETE(p->held, x);
	wire_free(XDR_PROC(link_msg_t), &x->m);
	free(x);
}

/* Fires in the next turn of the loop, after its reads. */
static void start_after_reads(front_pause_t *p)
{
	p->received_bytes = leader_link_received_bytes(p->f->leader);
	ev_timer_stop(p->f->loop, &p->after_reads);
	ev_timer_set(&p->after_reads, 0.0, 0.0);
	ev_timer_start(p->f->loop, &p->after_reads);
}

static void on_turn(struct ev_loop *loop, ev_check *w, int events)
{
	front_pause_t *p = w->data;
	deadline_t now = clock_now_ms();
	int64_t ms = now - p->last_turn;

	p->last_turn = now;
	if (ms <= PAUSE_MS)
		return;
	log_event(LOG_LEVEL_WARN, "paused", LOG_INT("ms", ms),
		  LOG_INT("linked", leader_link_is_up(p->f->leader)));
	if (!leader_link_is_up(p->f->leader))
		return;
	p->reading = true;
	start_after_reads(p);
}

static void on_after_reads(struct ev_loop *loop, ev_timer *w, int events)
{
	front_pause_t *p = w->data;

	if (leader_link_received_bytes(p->f->leader) != p->received_bytes) {
		start_after_reads(p);
		return;
	}
	p->reading = false;
	front_item_report_ends(p->f);
	while (p->held) {
		held_t *x = p->held;

		front_link_carry_out(p->f, &x->m);
		held_free(p, x);
	}
}

/* Gives a held item back to the leader. */
static void stop_held(front_pause_t *p, const link_item_ref_t *m)
{
	held_t *x;
	held_t *next;

	DL_FOREACH_SAFE(p->held, x, next)
	{
		const link_item_run_t *run = &x->m.link_msg_t_u.run;

		if (x->m.kind != LINK_ITEM_RUN || run->item != m->item ||
		    !str_eq(wire_str(run->job), wire_str(m->job)))
			continue;
		front_item_give_back(p->f, run, "stopped by the leader");
		held_free(p, x);
	}
}

bool front_pause_holds(front_t *f, const link_msg_t *m)
{
	front_pause_t *p = f->pause;
	held_t *x;

	if (!p->reading)
		return false;
	if (m->kind == LINK_ITEM_STOP)
		stop_held(p, &m->link_msg_t_u.stop);
	if (m->kind != LINK_GRANT && m->kind != LINK_ITEM_RUN)
		return false;
	x = mem_new(sizeof(*x));
	wire_dup(XDR_PROC(link_msg_t), m, &x->m, sizeof(x->m));
	DL_APPEND(p->held, x);
	return true;
}

bool front_pause_is_reading(const front_t *f)
{
	return f->pause->reading;
}

void front_pause_link_down(front_t *f)
{
	front_pause_t *p = f->pause;

	p->reading = false;
	ev_timer_stop(f->loop, &p->after_reads);
	while (p->held)
		held_free(p, p->held);
}

void front_pause_start(front_t *f)
{
	front_pause_t *p = mem_new(sizeof(*p));

	p->f = f;
	p->last_turn = clock_now_ms();
	ev_check_init(&p->turn, on_turn);
	ev_set_priority(&p->turn, EV_MAXPRI); /* before the reads of the same turn */
	p->turn.data = p;
	ev_check_start(f->loop, &p->turn);
	ev_timer_init(&p->after_reads, on_after_reads, 0.0, 0.0);
	ev_set_priority(&p->after_reads, EV_MINPRI);
	p->after_reads.data = p;
	f->pause = p;
}
