/**
 * An entry process. It answers callers over HTTP, runs their requests on the replicas that it owns,
 * and forwards requests for other replicas to the entries that own them. entry_ctx_t holds its
 * modules, created by main and shared by all threads.
 */
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
	atomic_bool view_stale; /* the view may be outdated: makes the control thread fetch it */
	atomic_int running_requests; /* requests in progress; entry_drain waits for them */
	atomic_int open_streams; /* event streams open to callers and other entries */
	atomic_bool closing; /* late in a drain, when callers' cached addresses have expired: new
				completions and plain calls are refused */
} entry_ctx_t;

/** Returns a cryptographically secure random number. */
uint64_t entry_random(void);

#endif
