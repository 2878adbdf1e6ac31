/* Load reports of the fake engine, which lag behind its actual load. */
#include "base/clock.h"
#include "fake_engine.h"

void fake_report_add(fake_report_t *r, const fake_report_sample_t *s)
{
	/* One sample per millisecond, so that the ring buffer covers the lag. */
	if (r->n && r->sample[(r->n - 1) % FAKE_REPORT_SAMPLES].at_ms == s->at_ms)
		r->n--;
	r->sample[r->n++ % FAKE_REPORT_SAMPLES] = *s;
}

fake_report_sample_t fake_report_at(const fake_report_t *r, int64_t lag_ms)
{
	int64_t at_ms = clock_now_ms() - lag_ms;
	uint64_t oldest = r->n > FAKE_REPORT_SAMPLES ? r->n - FAKE_REPORT_SAMPLES : 0;
	uint64_t i;

	for (i = r->n; i > oldest; i--) {
		if (r->sample[(i - 1) % FAKE_REPORT_SAMPLES].at_ms <= at_ms)
			return r->sample[(i - 1) % FAKE_REPORT_SAMPLES];
	}
	return r->n ? r->sample[oldest % FAKE_REPORT_SAMPLES] : (fake_report_sample_t){0};
}
