/** The entry process: its modules, made once by main and shared by all threads. */
#ifndef AUBURN_EN_H
#define AUBURN_EN_H

#include <pthread.h>
#include <stdatomic.h>
#include "client/cc.h"
#include "entry/ec.h"
#include "entry/en_settings.h"
#include "entry/en_snap.h"
#include "policy/tb.h"


typedef struct up_table up_table_t;
typedef struct ad ad_t;
typedef struct ki ki_t;
typedef struct bj bj_t;

typedef struct en {
	en_settings_t set;
	uint64_t boot; /* random, new at each start */
	cc_t *cc;
	en_snap_t *snap;
	ec_t *ec;
	up_table_t *ups;
	ad_t *admission;
	ki_t *caller_keys;
	ki_t *operator_keys;
	bj_t *batch;
	atomic_bool draining;
	atomic_bool view_wanted; /* an upstream saw a newer fence than ours */
	atomic_int requests; /* accepted requests that run here */
	atomic_int streams; /* answers being streamed to callers and other entries */
	atomic_bool closing; /* the addresses given out have expired: nothing new is taken */
} en_t;

/** A random number for ids and choices. */
uint64_t en_random(void);

#endif
