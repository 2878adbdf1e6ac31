#include "bn_stat.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdlib.h>
#include "base/str.h"

void bn_values_add(bn_values_t *s, double v)
{
	if (s->n == s->cap) {
		s->cap = s->cap * 2 + 256;
		s->v = mem_grow(s->v, s->cap * sizeof(*s->v));
	}
	s->v[s->n++] = v;
}

double bn_values_quantile(bn_values_t *s, double q)
{
	if (s->n == 0)
		return 0;
	gsl_sort(s->v, 1, s->n);
	return gsl_stats_quantile_from_sorted_data(s->v, 1, s->n, q);
}

static void merge_values(bn_values_t *to, const bn_values_t *from)
{
	for (size_t i = 0; i < from->n; i++)
		bn_values_add(to, from->v[i]);
}

void bn_stat_merge(bn_stat_t *to, const bn_stat_t *from)
{
	for (int i = 0; i < BN_OUTCOMES; i++)
		to->outcome[i] += from->outcome[i];
	for (int i = 0; i < BN_FAULTS; i++)
		to->fault[i] += from->fault[i];
	to->resent += from->resent;
	to->good += from->good;
	to->tokens += from->tokens;
	to->busy_s += from->busy_s;
	merge_values(&to->first_ms, &from->first_ms);
	merge_values(&to->direct_ms, &from->direct_ms);
	merge_values(&to->step_ms, &from->step_ms);
	merge_values(&to->refused_ms, &from->refused_ms);
}

void bn_stat_print(FILE *out, const char *phase, bn_stat_t *s, double seconds)
{
	uint64_t sent = 0;

	for (int i = 0; i < BN_OUTCOMES; i++)
		sent += s->outcome[i];
	fprintf(out, "phase=%s seconds=%.1f sent=%lu ok=%lu refused=%lu failed=%lu broken=%lu",
		phase, seconds, sent, s->outcome[BN_OK], s->outcome[BN_REFUSED],
		s->outcome[BN_FAILED], s->outcome[BN_BROKEN]);
	fprintf(out, " resent=%lu first_p50_ms=%.1f first_p95_ms=%.1f first_p99_ms=%.1f", s->resent,
		bn_values_quantile(&s->first_ms, 0.50), bn_values_quantile(&s->first_ms, 0.95),
		bn_values_quantile(&s->first_ms, 0.99));
	fprintf(out, " step_p50_ms=%.1f step_p95_ms=%.1f refused_p99_ms=%.1f",
		bn_values_quantile(&s->step_ms, 0.50), bn_values_quantile(&s->step_ms, 0.95),
		bn_values_quantile(&s->refused_ms, 0.99));
	fprintf(out, " direct_p99_ms=%.1f", bn_values_quantile(&s->direct_ms, 0.99));
	fprintf(out, " goodput=%.2f tokens=%lu busy_s=%.1f", (double)s->good / seconds, s->tokens,
		s->busy_s);
	for (int i = BN_MISSING; i < BN_FAULTS; i++) {
		if (s->fault[i])
			fprintf(out, " fault_%s=%lu", bn_fault_name((bn_fault_t)i), s->fault[i]);
	}
	fputc('\n', out);
	fflush(out);
}

void bn_stat_free(bn_stat_t *s)
{
	free(s->first_ms.v);
	free(s->direct_ms.v);
	free(s->step_ms.v);
	free(s->refused_ms.v);
	*s = (bn_stat_t){0};
}
