/** The upstreams of the view, with what this entry knows of each: load, breaker, prefixes, owner.
 */
#ifndef AUBURN_UPSTREAM_H
#define AUBURN_UPSTREAM_H

#include "entry/entry.h"
#include "entry/local_replica.h"
#include "policy/balance.h"
#include "policy/retry.h"

typedef struct upstream upstream_t; /* lives as long as the process */

upstream_table_t *upstream_table_new(entry_ctx_t *en);
/** Brings the table to the newest view and text: opens and closes owners. Control thread. */
void upstream_apply_view(upstream_table_t *t);
/** Closes all owners whose lease this entry lost; running streams may end. */
void upstream_close_owned(upstream_table_t *t, bool cancel_batch);

/** What a visitor sees of one upstream; strings live as long as the process. */
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
		*replica; /* borrowed during the visit; NULL unless dispatched to from here */
} upstream_info_t;
typedef bool (*upstream_visit_t)(void *ctx, const upstream_info_t *info); /* false ends the walk */
void upstream_each(upstream_table_t *t, upstream_visit_t visit, void *ctx);

/** A replica chosen for a request. */
typedef struct {
	upstream_t *upstream;
	const char *id;
	char owner_addr[64]; /* HTTP address of the owner, when not here */
	uint64_t fence;
	local_replica_t *replica; /* a reference, or NULL */
} upstream_choice_t;

/** Picks a replica of a service that is not in `tried` (ids); false if none is usable. */
bool upstream_pick(upstream_table_t *t, str_t service, str_t prompt, upstream_t *const *tried,
		   size_t ntried, upstream_choice_t *out);
/** Least time until a new stream of the service would give a first token, by what is known; 0 when
 *  nothing is. */
int64_t upstream_min_wait_ms(upstream_table_t *t, str_t service);
/** The replica with this id if it is dispatched to from here under this fence; a reference. */
local_replica_t *upstream_find_owned(upstream_table_t *t, str_t id, uint64_t fence);
/** An address of a live upstream of a plain service, by turns; false if there is none. */
bool upstream_pick_plain(upstream_table_t *t, str_t service, upstream_choice_t *out, char addr[64]);
void upstream_record_health(void *up, bool ok);

/** Takes a report from an owner; older fences are ignored. */
void upstream_owner_report(upstream_table_t *t, const wire_load_t *load);
/** Takes an engine's own load report. */
void upstream_engine_report(upstream_t *u, int running, int waiting, int slots);
/** Room for batch by the engine's last report, less what was sent since (ways without owners). */
unsigned upstream_reported_headroom(upstream_t *u, unsigned kept);
/** Until then the replica is being emptied: others are preferred to it. */
void upstream_avoid(upstream_t *u, deadline_t until);
bool upstream_is_avoided(upstream_t *u);
/** Counts a stream sent there since the last report. */
void upstream_count_sent(upstream_t *u);
/** Replaces or changes what is known of a replica's prefix cache. */
void upstream_set_prefixes(upstream_t *u, const uint64_t *hashes, size_t n);
void upstream_update_prefix(upstream_t *u, uint64_t hash, bool added);
void upstream_clear_prefixes(upstream_t *u);
/** Appends the known prefixes to a malloc'ed array. */
size_t upstream_copy_prefixes(upstream_t *u, uint64_t **out);
/** Hash of the part of a prompt by which engines cache. */
uint64_t upstream_prefix_hash(str_t prompt);

#endif
