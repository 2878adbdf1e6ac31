/** Binary heap of embedded nodes, smallest (key, serial) first. */
#ifndef AUBURN_LEDGER_HEAP_H
#define AUBURN_LEDGER_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t key;
	uint64_t serial;
	uint32_t pos; /* position in the heap, from 1; 0: in no heap */
} ledger_heap_node_t;

typedef struct {
	ledger_heap_node_t **nodes;
	uint32_t n;
	uint32_t cap;
} ledger_heap_t;

void ledger_heap_push(ledger_heap_t *h, ledger_heap_node_t *node);
void ledger_heap_remove(ledger_heap_t *h, ledger_heap_node_t *node);
/** Returns the smallest node, or NULL. */
ledger_heap_node_t *ledger_heap_min(const ledger_heap_t *h);
void ledger_heap_free(ledger_heap_t *h);

#define LEDGER_CONTAINER_OF(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#endif
