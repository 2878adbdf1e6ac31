/* Owner: queue of online streams, sorted by virtual deadline. */
#include "policy/owner_internal.h"

#include <assert.h>
#include <string.h>
#include "base/str.h"

/* Spacing of the virtual deadlines of one caller's queued streams, so that callers whose streams
 * have similar deadlines take turns. */
#define CALLER_SPACING_MS 50

/* The stream's deadline, or CALLER_SPACING_MS after the virtual deadline of its caller's last
 * queued stream if that is later. */
static int64_t virtual_deadline_of(const owner_t *w, const owner_stream_t *s)
{
	int64_t virtual_deadline = s->deadline;

	for (unsigned i = 0; i < w->nqueue; i++) {
		const owner_waiter_t *q = &w->queue[i];

		if (q->stream.caller == s->caller &&
		    q->virtual_deadline > virtual_deadline - CALLER_SPACING_MS)
			virtual_deadline = q->virtual_deadline > DEADLINE_NEVER - CALLER_SPACING_MS
						   ? DEADLINE_NEVER
						   : q->virtual_deadline + CALLER_SPACING_MS;
	}
	return virtual_deadline;
}

unsigned owner_queue_position(const owner_t *w, const owner_stream_t *s, int64_t *virtual_deadline)
{
	unsigned at = w->nqueue;

	*virtual_deadline = virtual_deadline_of(w, s);
	while (at > 0 && w->queue[at - 1].virtual_deadline > *virtual_deadline)
		at--;
	return at;
}

void owner_queue_insert(owner_t *w, const owner_stream_t *s)
{
	int64_t virtual_deadline;
	unsigned at = owner_queue_position(w, s, &virtual_deadline);

	assert(w->nqueue < w->options.queue_max);
	if (w->nqueue == w->queue_cap) {
		w->queue_cap = w->queue_cap * 2 + 8;
		w->queue = mem_grow(w->queue, w->queue_cap * sizeof(*w->queue));
	}
	memmove(&w->queue[at + 1], &w->queue[at], (w->nqueue - at) * sizeof(*w->queue));
	w->queue[at] = (owner_waiter_t){*s, virtual_deadline};
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
