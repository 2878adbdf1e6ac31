/**
 * How long work takes on a replica at this moment, relative to the mean of its service. Evidence
 * are the figures that replicas state of themselves and the times of the runs that ended. Both are
 * combined: runs give the lasting speed of a replica at a stated 100%, the stated figure what
 * applies now. A stated figure loses its weight by age, and by runs that fit it worse than the
 * replica's mean does. Without recent runs, a replica counts as average again.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_REPLICA_SPEED_H
#define AUBURN_REPLICA_SPEED_H

#include <stdbool.h>
#include "base/clock.h"

/** Factors are in thousandths; the mean of the service has this one. */
#define SPEED_MEAN 1000
/** Bounds of a factor, and so of the effect of false figures. */
#define SPEED_MIN 250
#define SPEED_MAX 8000
/** Age at which a stated figure has lost its weight, in ms. */
#define SPEED_STATED_MS 1000

/** Of a service: what an average run takes. Zeroed: unknown. */
typedef struct {
	int64_t us_per_run; /* of runs without stated tokens */
	int64_t ns_per_work; /* of the others, see speed_run_t */
} speed_means_t;

/** Of a replica. Zeroed: unknown. */
typedef struct {
	uint64_t start_time; /* of the process that the figures are about */
	unsigned percent; /* stated; 0: none */
	deadline_t stated_at;
	int64_t mean; /* factor by the runs alone; 0: none ended */
	int64_t base; /* the same at a stated 100% */
	deadline_t ended_at; /* last run */
	unsigned distrust; /* of stated figures, 0 to SPEED_MEAN */
	deadline_t next_report; /* of a contradicted figure */
} replica_speed_t;

/** A run that ended whole. */
typedef struct {
	deadline_t began;
	unsigned percent_began; /* stated for the time of its beginning; 0: none */
	uint32_t tokens_in;
	uint32_t tokens_out; /* expected; 0: unknown */
} speed_run_t;

/** Records a stated figure; older ones than the last are ignored. */
void replica_speed_stated(replica_speed_t *r, uint64_t start_time, unsigned percent, deadline_t at);
/** Forgets everything about the process that had this id before. */
void replica_speed_restarted(replica_speed_t *r, uint64_t start_time);
/** The stated figure that is in use at this time; 0 if there is none. */
unsigned replica_speed_percent(const replica_speed_t *r, deadline_t now);
/** Learns from a run. Returns true if it made the stated figures lose most of their weight, at most
 * once a second. */
bool replica_speed_ended(replica_speed_t *r, speed_means_t *s, const speed_run_t *run,
			 deadline_t now);
/** Learns from a run that took so many thousandths of the service's mean. */
bool replica_speed_ran(replica_speed_t *r, int64_t factor, unsigned percent_began, deadline_t now);
/** The expected factor of the replica now. */
int64_t replica_speed_factor(const replica_speed_t *r, deadline_t now);

#endif
