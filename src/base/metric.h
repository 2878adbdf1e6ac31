/** Counters, gauges and log-scaled histograms of a process, rendered in the Prometheus text format.
 */
#ifndef AUBURN_METRIC_H
#define AUBURN_METRIC_H

#include <stdint.h>
#include "base/str.h"

typedef struct metric metric_t;

typedef enum { METRIC_COUNTER, METRIC_GAUGE, METRIC_HISTOGRAM } metric_kind_t;

/** Returns the metric of this kind, name and label, registering it on first use; label may be NULL
 * or like `service="x"`. Never fails. */
metric_t *metric_get(metric_kind_t kind, const char *name, const char *label);
void metric_add(metric_t *m, int64_t n);
void metric_set(metric_t *m, int64_t v);
/** Adds one value to a histogram. */
void metric_record(metric_t *m, int64_t v);
/** Value of a counter or gauge; sum of the values of a histogram. */
int64_t metric_value(const metric_t *m);
/** The q-quantile (q in 0..1) of the values of a histogram, with a relative error of at most 1/32;
 * 0 if it is empty. Negative values count as 0 here, but not in the sum. */
int64_t metric_quantile(const metric_t *m, double q);
/** Appends the text of all metrics of the process. */
void metric_render_all(buf_t *out);

/** Adds 1 to a counter without a label: METRIC_INC("auburn_refused_total"). Each place in the code
 * looks its counter up once, so name must be constant. */
#define METRIC_INC(name)                                                                           \
	do {                                                                                       \
		static _Atomic(metric_t *) metric_here_;                                           \
		if (!metric_here_)                                                                 \
			metric_here_ = metric_get(METRIC_COUNTER, (name), NULL);                   \
		metric_add(metric_here_, 1);                                                       \
	} while (0)

#endif
