/** Counters, gauges and log-scaled histograms of a process, rendered in the usual text format. */
#ifndef AUBURN_MX_H
#define AUBURN_MX_H

#include <stdint.h>
#include "base/str.h"

typedef struct mx mx_t;

typedef enum { MX_COUNTER, MX_GAUGE, MX_HISTOGRAM } mx_kind_t;

/** Registers, or finds, a metric; label may be NULL or like `service="x"`. Never fails. */
mx_t *mx_get(mx_kind_t kind, const char *name, const char *label);
void mx_add(mx_t *m, int64_t n);
void mx_set(mx_t *m, int64_t v);
/** Records one value into a histogram. */
void mx_record(mx_t *m, int64_t v);
int64_t mx_value(const mx_t *m);
/** The value below which a share q (0..1) of the recorded ones lie, within 4%. */
int64_t mx_quantile(const mx_t *m, double q);
/** Appends all metrics of the process. */
void mx_render(buf_t *out);

/** Counts and returns without a handle of one's own: MX_COUNT("auburn_refused_total"). */
#define MX_COUNT(name)                                                                             \
	do {                                                                                       \
		static _Atomic(mx_t *) mx_here_;                                                   \
		if (!mx_here_)                                                                     \
			mx_here_ = mx_get(MX_COUNTER, (name), NULL);                               \
		mx_add(mx_here_, 1);                                                               \
	} while (0)

#endif
