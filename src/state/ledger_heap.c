#include "state/ledger_heap.h"

#include <assert.h>
#include <stdlib.h>
#include "base/str.h"

#define HEAP_CAP_MIN 16

static bool node_before(const ledger_heap_node_t *a, const ledger_heap_node_t *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->serial < b->serial;
}

static void place_node(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	h->nodes[i] = node;
	node->pos = i + 1;
}

static void sift_up(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	while (i > 0 && node_before(node, h->nodes[(i - 1) / 2])) {
		place_node(h, i, h->nodes[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place_node(h, i, node);
}

static void sift_down(ledger_heap_t *h, uint32_t i, ledger_heap_node_t *node)
{
	for (;;) {
		uint32_t child = 2 * i + 1;

		if (child >= h->n)
			break;
		if (child + 1 < h->n && node_before(h->nodes[child + 1], h->nodes[child]))
			child++;
		if (!node_before(h->nodes[child], node))
			break;
		place_node(h, i, h->nodes[child]);
		i = child;
	}
	place_node(h, i, node);
}

void ledger_heap_push(ledger_heap_t *h, ledger_heap_node_t *node)
{
	assert(node->pos == 0);
	if (h->n == h->cap) {
		h->cap = h->cap ? h->cap * 2 : HEAP_CAP_MIN;
		h->nodes = mem_grow(h->nodes, h->cap * sizeof(ledger_heap_node_t *));
	}
	sift_up(h, h->n++, node);
}

void ledger_heap_remove(ledger_heap_t *h, ledger_heap_node_t *node)
{
	uint32_t i = node->pos - 1;
	ledger_heap_node_t *last;

	assert(node->pos > 0 && i < h->n && h->nodes[i] == node);
	last = h->nodes[--h->n];
	node->pos = 0;
	if (last == node)
		return;
	if (i > 0 && node_before(last, h->nodes[(i - 1) / 2]))
		sift_up(h, i, last);
	else
		sift_down(h, i, last);
}

ledger_heap_node_t *ledger_heap_min(const ledger_heap_t *h)
{
	return h->n ? h->nodes[0] : NULL;
}

void ledger_heap_free(ledger_heap_t *h)
{
	free(h->nodes);
	*h = (ledger_heap_t){0};
}
