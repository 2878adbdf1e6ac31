/* Load reports of the engine emulator, which lag behind. */
#include "base/clock.h"
#include "fk_engine.h"

void fk_report_add(fk_report_t *r, const fk_sample_t *s)
{
	/* Changes within a millisecond share a sample, so that the ring spans the lag. */
	if (r->n && r->sample[(r->n - 1) % FK_SAMPLES].at_ms == s->at_ms)
		r->n--;
	r->sample[r->n++ % FK_SAMPLES] = *s;
}

fk_sample_t fk_report_at(const fk_report_t *r, int64_t lag_ms)
{
	int64_t at_ms = clock_now_ms() - lag_ms;
	uint64_t oldest = r->n > FK_SAMPLES ? r->n - FK_SAMPLES : 0;
	uint64_t i;

	for (i = r->n; i > oldest; i--) {
		if (r->sample[(i - 1) % FK_SAMPLES].at_ms <= at_ms)
			return r->sample[(i - 1) % FK_SAMPLES];
	}
	return r->n ? r->sample[oldest % FK_SAMPLES] : (fk_sample_t){0};
}
