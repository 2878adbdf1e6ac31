#include "policy/ow_core.h"

#include <assert.h>
#include <string.h>
#include "base/str.h"

/* Each stream that a caller already has in the queue puts its next one this much later, so that
 * callers of near-equal deadlines take turns. */
#define TURN_MS 50

static int64_t turn_of(const ow_t *w, const ow_stream_t *s)
{
	int64_t turn = s->deadline;

	for (unsigned i = 0; i < w->nqueue; i++) {
		const ow_wait_t *q = &w->queue[i];

		if (q->s.caller == s->caller && q->turn > turn - TURN_MS)
			turn = q->turn > DEADLINE_NEVER - TURN_MS ? DEADLINE_NEVER
								  : q->turn + TURN_MS;
	}
	return turn;
}

unsigned ow_queue_place(const ow_t *w, const ow_stream_t *s, int64_t *turn)
{
	unsigned at = w->nqueue;

	*turn = turn_of(w, s);
	while (at > 0 && w->queue[at - 1].turn > *turn)
		at--;
	return at;
}

void ow_queue_insert(ow_t *w, const ow_stream_t *s)
{
	int64_t turn;
	unsigned at = ow_queue_place(w, s, &turn);

	assert(w->nqueue < w->o.queue_max);
	if (w->nqueue == w->queue_cap) {
		w->queue_cap = w->queue_cap * 2 + 8;
		w->queue = mem_grow(w->queue, w->queue_cap * sizeof(*w->queue));
	}
	memmove(&w->queue[at + 1], &w->queue[at], (w->nqueue - at) * sizeof(*w->queue));
	w->queue[at] = (ow_wait_t){*s, turn};
	w->nqueue++;
}

void ow_queue_remove(ow_t *w, unsigned at)
{
	assert(at < w->nqueue);
	w->nqueue--;
	memmove(&w->queue[at], &w->queue[at + 1], (w->nqueue - at) * sizeof(*w->queue));
}

int ow_queue_find(const ow_t *w, uint64_t id)
{
	for (unsigned i = 0; i < w->nqueue; i++) {
		if (w->queue[i].s.id == id)
			return (int)i;
	}
	return -1;
}
