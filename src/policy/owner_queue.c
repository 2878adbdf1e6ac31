#include "policy/owner_internal.h"

#include <assert.h>
#include <string.h>
#include "base/str.h"

/* Each stream that a caller already has in the queue puts its next one this much later, so that
 * callers of near-equal deadlines take turns. */
#define TURN_MS 50

static int64_t turn_of(const owner_t *w, const owner_stream_t *s)
{
	int64_t turn = s->deadline;

	for (unsigned i = 0; i < w->nqueue; i++) {
		const owner_waiter_t *q = &w->queue[i];

		if (q->stream.caller == s->caller && q->virtual_deadline > turn - TURN_MS)
			turn = q->virtual_deadline > DEADLINE_NEVER - TURN_MS
				       ? DEADLINE_NEVER
				       : q->virtual_deadline + TURN_MS;
	}
	return turn;
}

unsigned owner_queue_position(const owner_t *w, const owner_stream_t *s, int64_t *turn)
{
	unsigned at = w->nqueue;

	*turn = turn_of(w, s);
	while (at > 0 && w->queue[at - 1].virtual_deadline > *turn)
		at--;
	return at;
}

void owner_queue_insert(owner_t *w, const owner_stream_t *s)
{
	int64_t turn;
	unsigned at = owner_queue_position(w, s, &turn);

	assert(w->nqueue < w->options.queue_max);
	if (w->nqueue == w->queue_cap) {
		w->queue_cap = w->queue_cap * 2 + 8;
		w->queue = mem_grow(w->queue, w->queue_cap * sizeof(*w->queue));
	}
	memmove(&w->queue[at + 1], &w->queue[at], (w->nqueue - at) * sizeof(*w->queue));
	w->queue[at] = (owner_waiter_t){*s, turn};
	w->nqueue++;
}

void owner_queue_remove(owner_t *w, unsigned at)
{
	assert(at < w->nqueue);
	w->nqueue--;
	memmove(&w->queue[at], &w->queue[at + 1], (w->nqueue - at) * sizeof(*w->queue));
}

int owner_queue_find(const owner_t *w, uint64_t id)
{
	for (unsigned i = 0; i < w->nqueue; i++) {
		if (w->queue[i].stream.id == id)
			return (int)i;
	}
	return -1;
}
