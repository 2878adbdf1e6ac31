/** The entry process: its modules, created by main and shared by all threads. */
#ifndef AUBURN_ENTRY_H
#define AUBURN_ENTRY_H

#include <pthread.h>
#include <stdatomic.h>
#include "client/control_client.h"
#include "entry/fetch.h"
#include "entry/entry_settings.h"
#include "entry/entry_snapshot.h"
#include "policy/bucket.h"

typedef struct upstream_table upstream_table_t;
typedef struct admission admission_t;
typedef struct bearer_keys bearer_keys_t;
typedef struct batch_runner batch_runner_t;

typedef struct entry_ctx {
	entry_settings_t settings;
	uint64_t boot; /* random id of this run of the process */
	control_client_t *control_client;
	entry_snapshot_t *snapshot;
	fetch_client_t *fetch_client;
	upstream_table_t *upstreams;
	admission_t *admission;
	bearer_keys_t *caller_keys;
	bearer_keys_t *operator_keys;
	batch_runner_t *batch;
	atomic_bool draining;
	atomic_bool view_stale; /* the view may be outdated: the control thread fetches it */
	atomic_int running_requests; /* accepted requests running in this entry */
	atomic_int open_streams; /* responses being streamed to callers and entries */
	atomic_bool closing; /* late in a drain, cached addresses have expired: new requests are
				refused */
} entry_ctx_t;

/** Returns a cryptographically secure random number. */
uint64_t entry_random(void);

#endif
