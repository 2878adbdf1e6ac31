/** Reader of the platform's list of replicas: one read of all its pages after the other. */
#ifndef AUBURN_UPSTREAM_LIST_H
#define AUBURN_UPSTREAM_LIST_H

#include "net/http_client.h"
#include "proto/link_xdr.h"

typedef struct ul upstream_list_t;

typedef struct {
	struct ev_loop *loop;
	http_client_t *http;
	const char *addr; /* ip:port */
	void *ctx;
	/** A whole list, which the callback may take over by zeroing it. */
	void (*list)(void *ctx, link_view_t *v);
} upstream_list_options_t;

upstream_list_t *upstream_list_new(const upstream_list_options_t *o);
/** Begins a read unless one is under way. */
void upstream_list_read(upstream_list_t *u);

#endif
