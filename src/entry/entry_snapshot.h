/**
 * State that the control thread publishes for the request threads: immutable, reference-counted
 * snapshots of the operators' config and of the view, and the entry's lease.
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
/** Return a reference to the current config or view, to be dropped with _put; NULL until the first
 * is published. */
entry_config_t *entry_config_get(entry_snapshot_t *s);
void entry_config_put(entry_config_t *c);
void entry_config_cleanup(entry_config_t **c);
entry_view_t *entry_view_get(entry_snapshot_t *s);
void entry_view_put(entry_view_t *v);
void entry_view_cleanup(entry_view_t **v);
#define AUTO_ENTRY_CONFIG __attribute__((cleanup(entry_config_cleanup))) entry_config_t
#define AUTO_ENTRY_VIEW	  __attribute__((cleanup(entry_view_cleanup))) entry_view_t

/** Publish a newer config or view. STATUS_CONFLICT if its number is not higher than the current
 * one's; a config must also be valid. On success both take over the contents of the message. */
status_t entry_config_publish(entry_snapshot_t *s, wire_config_t *msg);
status_t entry_view_publish(entry_snapshot_t *s, wire_view_t *view);
uint64_t entry_config_number(entry_snapshot_t *s);
uint64_t entry_view_version(entry_snapshot_t *s);

/** The lease: without a valid one the entry accepts no new request and dispatches nothing. */
void entry_lease_set(entry_snapshot_t *s, uint64_t session, deadline_t deadline);
bool entry_lease_valid(const entry_snapshot_t *s);
deadline_t entry_lease_deadline(const entry_snapshot_t *s);
uint64_t entry_session(const entry_snapshot_t *s);

/** Returns the member with this session, or NULL. */
const wire_member_t *entry_find_member(const wire_view_t *v, uint64_t session);

#endif
