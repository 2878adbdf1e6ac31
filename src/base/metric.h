/** Counters, gauges and log-scaled histograms of a process, rendered in the usual text format. */
#ifndef AUBURN_METRIC_H
#define AUBURN_METRIC_H

#include <stdint.h>
#include "base/str.h"

typedef struct mx metric_t;

typedef enum { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM } metric_kind_t;

/** Registers, or finds, a metric; label may be NULL or like `service="x"`. Never fails. */
metric_t *metric_get(metric_kind_t kind, const char *name, const char *label);
void metric_add(metric_t *m, int64_t n);
void metric_set(metric_t *m, int64_t v);
/** Records one value into a histogram. */
void metric_record(metric_t *m, int64_t v);
int64_t metric_value(const metric_t *m);
/** The value below which a share q (0..1) of the recorded ones lie, within 4%. */
int64_t metric_quantile(const metric_t *m, double q);
/** Appends all metrics of the process. */
void metric_render_all(buf_t *out);

/** Counts and returns without a handle of one's own: METRIC_INC("auburn_refused_total"). */
#define METRIC_INC(name)                                                                           \
	do {                                                                                       \
		static _Atomic(metric_t *) metric_here_;                                           \
		if (!metric_here_)                                                                 \
			metric_here_ = metric_get(METRIC_COUNTER, (name), NULL);                   \
		metric_add(metric_here_, 1);                                                       \
	} while (0)

#endif
