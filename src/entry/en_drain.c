#include "entry/en_drain.h"

#include "base/lg.h"
#include "entry/aa.h"
#include "entry/bj.h"
#include "entry/up.h"

#define STEP_MS	       20
#define VIEW_SPREAD_MS 2000 /* until the others' views leave this entry out */
#define HAND_OVER_MS   10000
#define END_MS	       120000

static bool any_owned(void *ctx, const up_info_t *info)
{
	if (info->ro)
		*(bool *)ctx = true;
	return info->ro == NULL;
}

static void wait_hand_over(en_t *en)
{
	deadline_t until = clk_now_ms() + HAND_OVER_MS;
	bool owned = true;

	while (owned && en->set.way == EN_OWNER && clk_now_ms() < until) {
		owned = false;
		up_each(en->ups, any_owned, &owned);
		clk_sleep_ms(STEP_MS);
	}
	lg(LG_INFO, "drain_handed_over", LG_C("all", owned ? "no" : "yes"));
}

static bool idle(en_t *en)
{
	return atomic_load(&en->requests) == 0 && atomic_load(&en->streams) == 0 &&
	       bj_held(en->batch) == 0;
}

static void wait_idle(en_t *en, deadline_t until)
{
	while (!idle(en) && clk_now_ms() < until)
		clk_sleep_ms(STEP_MS);
}

void en_drain(en_t *en)
{
	int64_t ttl = aa_ttl_ms(en);
	deadline_t expired = clk_now_ms() + ttl + VIEW_SPREAD_MS;

	lg(LG_INFO, "drain_started", LG_I("address_ttl_ms", ttl));
	atomic_store(&en->draining, true);
	bj_drain(en->batch);
	while (clk_now_ms() < expired)
		clk_sleep_ms(STEP_MS);
	wait_hand_over(en);
	atomic_store(&en->closing, true);
	bj_stop_running(en->batch);
	wait_idle(en, clk_now_ms() + END_MS);
	lg(LG_INFO, "drain_ended", LG_I("requests", atomic_load(&en->requests)),
	   LG_I("streams", atomic_load(&en->streams)), LG_I("items", bj_held(en->batch)));
}
