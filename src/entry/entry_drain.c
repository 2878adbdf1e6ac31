#include "entry/entry_drain.h"

#include "base/log.h"
#include "entry/addresses.h"
#include "entry/batch.h"
#include "entry/upstream.h"

#define POLL_INTERVAL_MS 20
#define VIEW_UPDATE_MS	 2000 /* until the views of the other entries show this one as draining */
#define HANDOVER_MAX_MS	 10000
#define FINISH_MAX_MS	 120000

/* Sets *ctx if this entry still dispatches to the replica. */
static bool note_local_replica(void *ctx, const upstream_info_t *info)
{
	if (info->replica)
		*(bool *)ctx = true;
	return info->replica == NULL;
}

/* In mode owner: waits until the control has given all replicas owned here to other entries, at
 * most HANDOVER_MAX_MS. */
static void wait_for_handover(entry_ctx_t *en)
{
	deadline_t until = clock_now_ms() + HANDOVER_MAX_MS;
	bool any_local = true;

	while (any_local && en->settings.mode == ENTRY_MODE_OWNER && clock_now_ms() < until) {
		any_local = false;
		upstream_each(en->upstreams, note_local_replica, &any_local);
		clock_sleep_ms(POLL_INTERVAL_MS);
	}
	log_event(LOG_LEVEL_INFO, "drain_handed_over", LOG_CSTR("all", any_local ? "no" : "yes"));
}

static bool is_idle(entry_ctx_t *en)
{
	return atomic_load(&en->running_requests) == 0 && atomic_load(&en->open_streams) == 0 &&
	       batch_held(en->batch) == 0;
}

static void wait_until_idle(entry_ctx_t *en, deadline_t until)
{
	while (!is_idle(en) && clock_now_ms() < until)
		clock_sleep_ms(POLL_INTERVAL_MS);
}

void entry_drain(entry_ctx_t *en)
{
	int64_t ttl = addresses_ttl_ms(en);
	deadline_t expired = clock_now_ms() + ttl + VIEW_UPDATE_MS;

	log_event(LOG_LEVEL_INFO, "drain_started", LOG_INT("address_ttl_ms", ttl));
	atomic_store(&en->draining, true);
	batch_drain(en->batch);
	while (clock_now_ms() < expired)
		clock_sleep_ms(POLL_INTERVAL_MS);
	wait_for_handover(en);
	atomic_store(&en->closing, true);
	batch_cancel_running(en->batch);
	wait_until_idle(en, clock_now_ms() + FINISH_MAX_MS);
	log_event(LOG_LEVEL_INFO, "drain_ended",
		  LOG_INT("requests", atomic_load(&en->running_requests)),
		  LOG_INT("streams", atomic_load(&en->open_streams)),
		  LOG_INT("items", batch_held(en->batch)));
}
