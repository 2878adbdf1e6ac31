/**
 * Table of all upstreams that were ever in the view (entry_snapshot.h), with owner, load, circuit
 * breaker and cached prefixes of each. An upstream is a replica of a model engine, or a server of a
 * plain service.
 *
 * The owner of a replica is the entry that alone dispatches to it; the other entries forward to the
 * owner. Each ownership has a fencing token, the fence: an entry refuses a forwarded attempt with
 * another fence than its own, and an engine that checks fences refuses an older one.
 */
#ifndef AUBURN_UPSTREAM_H
#define AUBURN_UPSTREAM_H

#include "entry/entry.h"
#include "entry/local_replica.h"
#include "policy/balance.h"
#include "policy/retry.h"

typedef struct upstream upstream_t; /* never freed */

upstream_table_t *upstream_table_new(entry_ctx_t *en);
/** Updates the table to the current view and config; this entry starts or stops dispatching to
 * replicas accordingly. Called by the control thread only. */
void upstream_apply_view(upstream_table_t *t);
/** Stops dispatching to all replicas, after the loss of the lease or session. Running streams go
 * on; with cancel_batch the batch streams are cancelled. */
void upstream_close_local(upstream_table_t *t, bool cancel_batch);

/** One upstream as passed to a visitor; strings are never freed. */
typedef struct {
	upstream_t *upstream;
	const char *id;
	const char *addr;
	const char *zone;
	const char *service;
	wire_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	local_replica_t
		*replica; /* valid during the visit; NULL unless this entry dispatches to it */
} upstream_info_t;
typedef bool (*upstream_visit_t)(void *ctx,
				 const upstream_info_t *info); /* false stops the iteration */
void upstream_each(upstream_table_t *t, upstream_visit_t visit, void *ctx);

/** An upstream chosen for a request. */
typedef struct {
	upstream_t *upstream;
	const char *id;
	char owner_addr[64]; /* HTTP address of the owner; empty if there is none */
	uint64_t fence;
	local_replica_t *replica; /* a reference; NULL unless this entry dispatches to it */
} upstream_choice_t;

/** Picks a replica of the service by load, zone and cached prefix, leaving out those in `tried`,
 * and counts a stream as sent to it; false if no replica is usable. */
bool upstream_pick(upstream_table_t *t, str_t service, str_t prompt, upstream_t *const *tried,
		   size_t ntried, upstream_choice_t *out);
/** Shortest estimated time to the first token of a new stream, over the service's usable replicas.
 * 0 if one has a free slot or no recent load report, or if none is usable. */
int64_t upstream_min_wait_ms(upstream_table_t *t, str_t service);
/** Returns a reference to the replica if this entry dispatches to it under this fence, else
 * NULL. */
local_replica_t *upstream_find_local(upstream_table_t *t, str_t id, uint64_t fence);
/** Picks a live upstream of a plain service whose circuit breaker allows a call; false if there is
 * none. Sets addr, and of *out only `upstream` and `id`. Each call searches the table from the next
 * position on. */
bool upstream_pick_plain(upstream_table_t *t, str_t service, upstream_choice_t *out, char addr[64]);
/** Records a success or failure in the circuit breaker. `up` is an upstream_t. */
void upstream_record_health(void *up, bool ok);

/** Stores a load report from the owner. Ignored if its fence is not the current one or if this
 * entry dispatches to the replica itself. */
void upstream_owner_report(upstream_table_t *t, const wire_load_t *load);
/** Stores a load report of the engine itself. */
void upstream_engine_report(upstream_t *u, int running, int waiting, int slots);
/** Free slots by the engine's last report, less the streams sent since and reserved_slots; 0 if the
 * report is too old. For the modes alone and alone_cancel. */
unsigned upstream_reported_headroom(upstream_t *u, unsigned reserved_slots);
/** Makes other replicas preferred until `until` (0: ends this): this one is being emptied. */
void upstream_avoid(upstream_t *u, deadline_t until);
bool upstream_is_avoided(upstream_t *u);
/** Counts a stream sent since the last load report. */
void upstream_count_sent(upstream_t *u);
/** Replace the list of prefixes that the replica has cached, add or remove one, clear the list. */
void upstream_set_prefixes(upstream_t *u, const uint64_t *hashes, size_t n);
void upstream_update_prefix(upstream_t *u, uint64_t hash, bool added);
void upstream_clear_prefixes(upstream_t *u);
/** Sets *out to a malloc'ed copy of the cached prefixes and returns their number. */
size_t upstream_copy_prefixes(upstream_t *u, uint64_t **out);
/** Hash of the first 256 bytes of a prompt, by which engines list their cached prefixes. */
uint64_t upstream_prefix_hash(str_t prompt);

#endif
