#include "entry/entry_drain.h"

#include "base/log.h"
#include "entry/addresses.h"
#include "entry/batch.h"
#include "entry/upstream.h"

#define STEP_MS	       20
#define VIEW_SPREAD_MS 2000 /* until the others' views leave this entry out */
#define HAND_OVER_MS   10000
#define END_MS	       120000

static bool any_owned(void *ctx, const upstream_info_t *info)
{
	if (info->replica)
		*(bool *)ctx = true;
	return info->replica == NULL;
}

static void wait_hand_over(entry_ctx_t *en)
{
	deadline_t until = clock_now_ms() + HAND_OVER_MS;
	bool owned = true;

	while (owned && en->settings.mode == ENTRY_MODE_OWNER && clock_now_ms() < until) {
		owned = false;
		upstream_each(en->upstreams, any_owned, &owned);
		clock_sleep_ms(STEP_MS);
	}
	log_event(LOG_LEVEL_INFO, "drain_handed_over", LOG_CSTR("all", owned ? "no" : "yes"));
}

static bool idle(entry_ctx_t *en)
{
	return atomic_load(&en->running_requests) == 0 && atomic_load(&en->open_streams) == 0 &&
	       batch_held(en->batch) == 0;
}

static void wait_idle(entry_ctx_t *en, deadline_t until)
{
	while (!idle(en) && clock_now_ms() < until)
		clock_sleep_ms(STEP_MS);
}

void entry_drain(entry_ctx_t *en)
{
	int64_t ttl = addresses_ttl_ms(en);
	deadline_t expired = clock_now_ms() + ttl + VIEW_SPREAD_MS;

	log_event(LOG_LEVEL_INFO, "drain_started", LOG_INT("address_ttl_ms", ttl));
	atomic_store(&en->draining, true);
	batch_drain(en->batch);
	while (clock_now_ms() < expired)
		clock_sleep_ms(STEP_MS);
	wait_hand_over(en);
	atomic_store(&en->closing, true);
	batch_cancel_running(en->batch);
	wait_idle(en, clock_now_ms() + END_MS);
	log_event(LOG_LEVEL_INFO, "drain_ended",
		  LOG_INT("requests", atomic_load(&en->running_requests)),
		  LOG_INT("streams", atomic_load(&en->open_streams)),
		  LOG_INT("items", batch_held(en->batch)));
}
