#include "load_stat.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdlib.h>
#include "base/str.h"

void samples_add(samples_t *s, double v)
{
	if (s->n == s->cap) {
		s->cap = s->cap * 2 + 256;
		s->v = mem_grow(s->v, s->cap * sizeof(*s->v));
	}
	s->v[s->n++] = v;
}

double samples_quantile(samples_t *s, double q)
{
	if (s->n == 0)
		return 0;
	gsl_sort(s->v, 1, s->n);
	return gsl_stats_quantile_from_sorted_data(s->v, 1, s->n, q);
}

static void merge_samples(samples_t *to, const samples_t *from)
{
	for (size_t i = 0; i < from->n; i++)
		samples_add(to, from->v[i]);
}

void load_stat_merge(load_stat_t *to, const load_stat_t *from)
{
	for (int i = 0; i < LOAD_OUTCOMES; i++)
		to->outcome[i] += from->outcome[i];
	for (int i = 0; i < ANSWER_FAULTS; i++)
		to->fault[i] += from->fault[i];
	to->resends += from->resends;
	to->within_goal += from->within_goal;
	to->tokens += from->tokens;
	to->streaming_s += from->streaming_s;
	merge_samples(&to->first_token_ms, &from->first_token_ms);
	merge_samples(&to->first_token_unresent_ms, &from->first_token_unresent_ms);
	merge_samples(&to->token_gap_ms, &from->token_gap_ms);
	merge_samples(&to->refused_ms, &from->refused_ms);
}

void load_stat_print(FILE *out, const char *phase, load_stat_t *s, double seconds)
{
	uint64_t sent = 0;

	for (int i = 0; i < LOAD_OUTCOMES; i++)
		sent += s->outcome[i];
	fprintf(out, "phase=%s seconds=%.1f sent=%lu ok=%lu refused=%lu failed=%lu broken=%lu",
		phase, seconds, sent, s->outcome[LOAD_OK], s->outcome[LOAD_REFUSED],
		s->outcome[LOAD_FAILED], s->outcome[LOAD_BROKEN]);
	fprintf(out, " resent=%lu first_p50_ms=%.1f first_p95_ms=%.1f first_p99_ms=%.1f",
		s->resends, samples_quantile(&s->first_token_ms, 0.50),
		samples_quantile(&s->first_token_ms, 0.95),
		samples_quantile(&s->first_token_ms, 0.99));
	fprintf(out, " step_p50_ms=%.1f step_p95_ms=%.1f refused_p99_ms=%.1f",
		samples_quantile(&s->token_gap_ms, 0.50), samples_quantile(&s->token_gap_ms, 0.95),
		samples_quantile(&s->refused_ms, 0.99));
	fprintf(out, " direct_p99_ms=%.1f", samples_quantile(&s->first_token_unresent_ms, 0.99));
	fprintf(out, " goodput=%.2f tokens=%lu busy_s=%.1f", (double)s->within_goal / seconds,
		s->tokens, s->streaming_s);
	for (int i = ANSWER_FAULT_MISSING; i < ANSWER_FAULTS; i++) {
		if (s->fault[i])
			fprintf(out, " fault_%s=%lu", answer_fault_name((answer_fault_t)i),
				s->fault[i]);
	}
	fputc('\n', out);
	fflush(out);
}

void load_stat_free(load_stat_t *s)
{
	free(s->first_token_ms.v);
	free(s->first_token_unresent_ms.v);
	free(s->token_gap_ms.v);
	free(s->refused_ms.v);
	*s = (load_stat_t){0};
}
