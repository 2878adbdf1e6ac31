/**
 * What the control thread publishes for traffic threads: immutable, reference-counted snapshots of
 * the operators' text and of the fleet's view, and the entry's lease.
 */
#ifndef AUBURN_EN_SNAP_H
#define AUBURN_EN_SNAP_H

#include <stdatomic.h>
#include "base/clk.h"
#include "proto/px.h"
#include "state/tx.h"

typedef struct {
	atomic_int refs;
	aw_conf_t conf;
	tx_text_t *text;
} en_conf_t;

typedef struct {
	atomic_int refs;
	aw_view_t view;
} en_view_t;

typedef struct en_snap en_snap_t;

en_snap_t *en_snap_new(void);
/** The current ones; NULL until the first was published. Given back with _put. */
en_conf_t *en_conf_get(en_snap_t *s);
void en_conf_put(en_conf_t *c);
void en_conf_cleanup(en_conf_t **c);
en_view_t *en_view_get(en_snap_t *s);
void en_view_put(en_view_t *v);
void en_view_cleanup(en_view_t **v);
#define AUTO_CONF __attribute__((cleanup(en_conf_cleanup))) en_conf_t
#define AUTO_VIEW __attribute__((cleanup(en_view_cleanup))) en_view_t

/** Publish a newer one; a lower number is refused. Both take over what is in the message. */
status_t en_conf_publish(en_snap_t *s, aw_conf_t *conf);
status_t en_view_publish(en_snap_t *s, aw_view_t *view);
uint64_t en_conf_number(en_snap_t *s);
uint64_t en_view_version(en_snap_t *s);

/** The lease: without a valid one the entry takes no new work and dispatches nothing. */
void en_lease_set(en_snap_t *s, uint64_t session, deadline_t deadline);
bool en_lease_valid(const en_snap_t *s);
deadline_t en_lease_deadline(const en_snap_t *s);
uint64_t en_session(const en_snap_t *s);

/** The member with this session in a view, or NULL. */
const aw_member_t *en_member(const aw_view_t *v, uint64_t session);

#endif
