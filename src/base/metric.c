#include "base/metric.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A histogram splits each power of two into SUB_BUCKETS equal buckets and takes the middle of a
 * bucket for its values: a relative error of at most 1/32. */
#define SUB_BITS    5
#define SUB_BUCKETS (1 << SUB_BITS)
#define BUCKETS	    (64 * SUB_BUCKETS)

struct metric {
	metric_kind_t kind;
	char *name;
	char *label;
	atomic_llong value; /* histogram: sum */
	atomic_llong count;
	atomic_llong *buckets;
	metric_t *next;
};

static pthread_mutex_t registry_lock = PTHREAD_MUTEX_INITIALIZER;
static metric_t *registry;

static metric_t *find_metric(metric_kind_t kind, const char *name, const char *label)
{
	for (metric_t *m = registry; m; m = m->next) {
		if (m->kind == kind && strcmp(m->name, name) == 0 && strcmp(m->label, label) == 0)
			return m;
	}
	return NULL;
}

metric_t *metric_get(metric_kind_t kind, const char *name, const char *label)
{
	metric_t *m;

	label = label ? label : "";
	pthread_mutex_lock(&registry_lock);
	m = find_metric(kind, name, label);
	if (!m) {
		m = mem_new(sizeof(*m));
		m->kind = kind;
		m->name = str_dup(str_c(name));
		m->label = str_dup(str_c(label));
		if (kind == METRIC_HISTOGRAM)
			m->buckets = mem_new(BUCKETS * sizeof(*m->buckets));
		m->next = registry;
		registry = m;
	}
	pthread_mutex_unlock(&registry_lock);
	return m;
}

void metric_add(metric_t *m, int64_t n)
{
	atomic_fetch_add_explicit(&m->value, n, memory_order_relaxed);
}

void metric_set(metric_t *m, int64_t v)
{
	atomic_store_explicit(&m->value, v, memory_order_relaxed);
}

int64_t metric_value(const metric_t *m)
{
	return atomic_load_explicit(&m->value, memory_order_relaxed);
}

static unsigned bucket_index(int64_t v)
{
	unsigned msb;

	if (v < SUB_BUCKETS)
		return v < 0 ? 0 : (unsigned)v;
	msb = 63 - (unsigned)__builtin_clzll((unsigned long long)v);
	return (msb - SUB_BITS + 1) * SUB_BUCKETS +
	       (unsigned)((v >> (msb - SUB_BITS)) & (SUB_BUCKETS - 1));
}

static int64_t bucket_middle(unsigned b)
{
	unsigned shift;

	if (b < SUB_BUCKETS)
		return b;
	shift = b / SUB_BUCKETS - 1;
	return ((int64_t)(SUB_BUCKETS + b % SUB_BUCKETS) << shift) + ((1LL << shift) >> 1);
}

void metric_record(metric_t *m, int64_t v)
{
	atomic_fetch_add_explicit(&m->buckets[bucket_index(v)], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&m->count, 1, memory_order_relaxed);
	metric_add(m, v);
}

int64_t metric_quantile(const metric_t *m, double q)
{
	int64_t total = atomic_load_explicit(&m->count, memory_order_relaxed);
	int64_t rank = (int64_t)(q * (double)total);
	int64_t seen = 0;

	if (total == 0)
		return 0;
	if (rank >= total)
		rank = total - 1;
	for (unsigned b = 0; b < BUCKETS; b++) {
		seen += atomic_load_explicit(&m->buckets[b], memory_order_relaxed);
		if (seen > rank)
			return bucket_middle(b);
	}
	return 0;
}

static void render_metric(buf_t *out, const metric_t *m)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};
	const char *sep = m->label[0] ? "," : "";

	if (m->kind != METRIC_HISTOGRAM) {
		buf_addf(out, m->label[0] ? "%s{%s} %lld\n" : "%s%s %lld\n", m->name, m->label,
			 (long long)metric_value(m));
		return;
	}
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		buf_addf(out, "%s{%s%squantile=\"%g\"} %lld\n", m->name, m->label, sep,
			 quantiles[i], (long long)metric_quantile(m, quantiles[i]));
	buf_addf(out, m->label[0] ? "%s_count{%s} %lld\n" : "%s_count%s %lld\n", m->name, m->label,
		 (long long)atomic_load(&m->count));
	buf_addf(out, m->label[0] ? "%s_sum{%s} %lld\n" : "%s_sum%s %lld\n", m->name, m->label,
		 (long long)metric_value(m));
}

void metric_render_all(buf_t *out)
{
	static const char *const types[] = {"counter", "gauge", "summary"};
	const metric_t *first;

	pthread_mutex_lock(&registry_lock);
	first = registry;
	pthread_mutex_unlock(&registry_lock);
	for (const metric_t *m = first; m; m = m->next) {
		buf_addf(out, "# TYPE %s %s\n", m->name, types[m->kind]);
		render_metric(out, m);
	}
}
