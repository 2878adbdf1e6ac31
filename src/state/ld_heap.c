#include "state/ld_heap.h"

#include <assert.h>
#include <stdlib.h>
#include "base/str.h"

#define HEAP_CAP_MIN 16

static bool before(const ld_node_t *a, const ld_node_t *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->serial < b->serial;
}

static void place(ld_heap_t *h, uint32_t i, ld_node_t *node)
{
	h->v[i] = node;
	node->pos = i + 1;
}

static void sift_up(ld_heap_t *h, uint32_t i, ld_node_t *node)
{
	while (i > 0 && before(node, h->v[(i - 1) / 2])) {
		place(h, i, h->v[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	place(h, i, node);
}

static void sift_down(ld_heap_t *h, uint32_t i, ld_node_t *node)
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

void ld_heap_push(ld_heap_t *h, ld_node_t *node)
{
	assert(node->pos == 0);
	if (h->n == h->cap) {
		h->cap = h->cap ? h->cap * 2 : HEAP_CAP_MIN;
		h->v = mem_grow(h->v, h->cap * sizeof(ld_node_t *));
	}
	sift_up(h, h->n++, node);
}

void ld_heap_remove(ld_heap_t *h, ld_node_t *node)
{
	uint32_t i = node->pos - 1;
	ld_node_t *last;

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

ld_node_t *ld_heap_min(const ld_heap_t *h)
{
	return h->n ? h->v[0] : NULL;
}

void ld_heap_free(ld_heap_t *h)
{
	free(h->v);
	*h = (ld_heap_t){0};
}
