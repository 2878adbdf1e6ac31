/** Reads the platform's list of replicas, page by page. Entries that describe no usable replica are
 * skipped. */
#ifndef AUBURN_UPSTREAM_LIST_H
#define AUBURN_UPSTREAM_LIST_H

#include "net/http_client.h"
#include "proto/link_xdr.h"

/** Maximum size of the id, zone and service of a replica, in bytes. */
#define UPSTREAM_TEXT_BYTES_MAX 63

typedef struct upstream_list upstream_list_t;

typedef struct {
	struct ev_loop *loop;
	http_client_t *http;
	const char *addr; /* ip:port */
	void *ctx;
	/** Receives a complete list, in v->upstreams. To keep the list, the callback moves it out
	 * of *v; what is left in *v is freed. */
	void (*list)(void *ctx, link_view_t *v);
	/** Receives the replicas of the first pages while the list is read, whenever their number
	 * has doubled. May be NULL. */
	void (*first_pages)(void *ctx, const link_view_t *v);
} upstream_list_options_t;

upstream_list_t *upstream_list_new(const upstream_list_options_t *o);
/** Starts a read unless one is in progress. */
void upstream_list_read(upstream_list_t *u);

#endif
