/** Binary heap of embedded nodes, smallest (key, serial) first. */
#ifndef AUBURN_LD_HEAP_H
#define AUBURN_LD_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t key;
	uint64_t serial;
	uint32_t pos; /* place in the heap, from 1; 0 = in none */
} ld_node_t;

typedef struct {
	ld_node_t **v;
	uint32_t n;
	uint32_t cap;
} ld_heap_t;

void ld_heap_push(ld_heap_t *h, ld_node_t *node);
void ld_heap_remove(ld_heap_t *h, ld_node_t *node);
/** The smallest, or NULL. */
ld_node_t *ld_heap_min(const ld_heap_t *h);
void ld_heap_free(ld_heap_t *h);

#define LD_CONTAINER(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#endif
