/** Reader of the platform's list of replicas: one read of all its pages after the other. */
#ifndef AUBURN_UL_H
#define AUBURN_UL_H

#include "net/hu.h"
#include "proto/lw_xdr.h"

typedef struct ul ul_t;

typedef struct {
	struct ev_loop *loop;
	hu_t *http;
	const char *addr; /* ip:port */
	void *ctx;
	/** A whole list, which the callback may take over by zeroing it. */
	void (*list)(void *ctx, lw_view_t *v);
} ul_options_t;

ul_t *ul_new(const ul_options_t *o);
/** Begins a read unless one is under way. */
void ul_read(ul_t *u);

#endif
