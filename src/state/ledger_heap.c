#include "state/ledger_heap.h"

#include <assert.h>
#include <stdlib.h>
#include "base/str.h"

#define HEAP_CAP_MIN 16

static bool before(const ledger_heap_node_t *a, const ledger_heap_node_t *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->serial < b->serial;
}

static void place(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	h->v[i] = node;
	node->pos = i + 1;
}

static void sift_up(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	while (i > 0 && before(node, h->v[(i - 1) / 2])) {
		place(h, i, h->v[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place(h, i, node);
}

static void sift_down(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n && before(h->v[child + 1], h->v[child]))
			child++;
		if (!before(h->v[child], node))
			break;
		place(h, i, h->v[child]);
		i = child;
	}
	place(h, i, node);
}

void ledger_heap_push(ledger_heap_t *h, ledger_heap_node_t *node)
{
	assert(node->pos == 0);
	if (h->n == h->cap) {
		h->cap = h->cap ? h->cap * 2 : HEAP_CAP_MIN;
		h->v = mem_grow(h->v, h->cap * sizeof(ledger_heap_node_t *));
	}
	sift_up(h, h->n++, node);
}

void ledger_heap_remove(ledger_heap_t *h, ledger_heap_node_t *node)
{
	uint32_t i = node->pos - 1;
	ledger_heap_node_t *last;

	assert(node->pos > 0 && i < h->n && h->v[i] == node);
	last = h->v[--h->n];
	node->pos = 0;
	if (last == node)
		return;
	if (i > 0 && before(last, h->v[(i - 1) / 2]))
		sift_up(h, i, last);
	else
		sift_down(h, i, last);
}

ledger_heap_node_t *ledger_heap_min(const ledger_heap_t *h)
{
	return h->n ? h->v[0] : NULL;
}

void ledger_heap_free(ledger_heap_t *h)
{
	free(h->v);
	*h = (ledger_heap_t){0};
}
