/**
 * State that the control thread publishes for the request threads: immutable, reference-counted
 * snapshots of the operators' config and of the view, and the entry's session and lease.
 *
 * The view is the control's list of members (the running entries) and of upstreams with their
 * owners. A session is the control's registration of one run of an entry; the control closes it
 * when the entry's heartbeats cease. The lease is the time until which the entry may rely on its
 * session without a further heartbeat.
 */
#ifndef AUBURN_ENTRY_SNAPSHOT_H
#define AUBURN_ENTRY_SNAPSHOT_H

#include <stdatomic.h>
#include "base/clock.h"
#include "proto/wire.h"
#include "state/config.h"

typedef struct {
	atomic_int refs;
	wire_config_t msg; /* as received */
	config_t *config; /* parsed from msg */
} entry_config_t;

typedef struct {
	atomic_int refs;
	wire_view_t view;
} entry_view_t;

typedef struct entry_snapshot entry_snapshot_t;

entry_snapshot_t *entry_snapshot_new(void);
/** Return a reference to the current config or view, or NULL until the first is published. The
 * caller drops the reference with _put. */
entry_config_t *entry_config_get(entry_snapshot_t *s);
void entry_config_put(entry_config_t *c);
void entry_config_cleanup(entry_config_t **c);
entry_view_t *entry_view_get(entry_snapshot_t *s);
void entry_view_put(entry_view_t *v);
void entry_view_cleanup(entry_view_t **v);
#define AUTO_ENTRY_CONFIG __attribute__((cleanup(entry_config_cleanup))) entry_config_t
#define AUTO_ENTRY_VIEW	  __attribute__((cleanup(entry_view_cleanup))) entry_view_t

/** Publish a newer config or view. STATUS_CONFLICT if its number is not higher than the current
 * one's; STATUS_INVALID if the config is not valid. On success they take over the contents of the
 * message. */
status_t entry_config_publish(entry_snapshot_t *s, wire_config_t *msg);
status_t entry_view_publish(entry_snapshot_t *s, wire_view_t *view);
uint64_t entry_config_number(entry_snapshot_t *s);
uint64_t entry_view_version(entry_snapshot_t *s);

/** Sets session and lease. Without a valid lease the entry accepts no new request or job, and
 * starts no stream on the replicas that it owns. */
void entry_lease_set(entry_snapshot_t *s, uint64_t session, deadline_t deadline);
bool entry_lease_valid(const entry_snapshot_t *s);
deadline_t entry_lease_deadline(const entry_snapshot_t *s);
/** Returns the session of the last lease, or 0 before the first. */
uint64_t entry_session(const entry_snapshot_t *s);

/** Returns the member with this session, or NULL. */
const wire_member_t *entry_find_member(const wire_view_t *v, uint64_t session);

#endif
