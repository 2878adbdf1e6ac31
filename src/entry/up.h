/** The upstreams of the view, with what this entry knows of each: load, breaker, prefixes, owner.
 */
#ifndef AUBURN_UP_H
#define AUBURN_UP_H

#include "entry/en.h"
#include "entry/ro.h"
#include "policy/pk.h"
#include "policy/rt.h"

typedef struct up up_t; /* lives as long as the process */

up_table_t *up_new(en_t *en);
/** Brings the table to the newest view and text: opens and closes owners. Control thread. */
void up_apply(up_table_t *t);
/** Closes all owners whose lease this entry lost; running streams may end. */
void up_close_owned(up_table_t *t, bool cancel_batch);

/** What a visitor sees of one upstream; strings live as long as the process. */
typedef struct {
	up_t *up;
	const char *id;
	const char *addr;
	const char *zone;
	const char *service;
	aw_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	ro_t *ro; /* borrowed during the visit; NULL unless dispatched to from here */
} up_info_t;
typedef bool (*up_visit_t)(void *ctx, const up_info_t *info); /* false ends the walk */
void up_each(up_table_t *t, up_visit_t visit, void *ctx);

/** A replica chosen for a request. */
typedef struct {
	up_t *up;
	const char *id;
	char owner_addr[64]; /* HTTP address of the owner, when not here */
	uint64_t fence;
	ro_t *ro; /* a reference, or NULL */
} up_choice_t;

/** Picks a replica of a service that is not in `tried` (ids); false if none is usable. */
bool up_pick(up_table_t *t, str_t service, str_t prompt, up_t *const *tried, size_t ntried,
	     up_choice_t *out);
/** Least time until a new stream of the service would give a first token, by what is known; 0 when
 *  nothing is. */
int64_t up_wait_ms(up_table_t *t, str_t service);
/** The replica with this id if it is dispatched to from here under this fence; a reference. */
ro_t *up_owned(up_table_t *t, str_t id, uint64_t fence);
/** An address of a live upstream of a plain service, by turns; false if there is none. */
bool up_plain(up_table_t *t, str_t service, up_choice_t *out, char addr[64]);
void up_health(void *up, bool ok);

/** Takes a report from an owner; older fences are ignored. */
void up_report(up_table_t *t, const aw_load_t *load);
/** Takes an engine's own load report. */
void up_engine_report(up_t *u, int running, int waiting, int slots);
/** Room for batch by the engine's last report, less what was sent since (ways without owners). */
unsigned up_reported_room(up_t *u, unsigned kept);
/** Until then the replica is being emptied: others are preferred to it. */
void up_avoid(up_t *u, deadline_t until);
bool up_avoided(up_t *u);
/** Counts a stream sent there since the last report. */
void up_count_sent(up_t *u);
/** Replaces or changes what is known of a replica's prefix cache. */
void up_prefixes_set(up_t *u, const uint64_t *hashes, size_t n);
void up_prefix_change(up_t *u, uint64_t hash, bool added);
void up_prefixes_forget(up_t *u);
/** Appends the known prefixes to a malloc'ed array. */
size_t up_prefixes_copy(up_t *u, uint64_t **out);
/** Hash of the part of a prompt by which engines cache. */
uint64_t up_prefix_of(str_t prompt);

#endif
