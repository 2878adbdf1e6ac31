#include "entry/fi.h"

#include "entry/ad.h"
#include "entry/lc.h"
#include "entry/up.h"

#define BUSY_RETRY_MS 500

static unsigned entries(en_t *en)
{
	AUTO_VIEW *v = en_view_get(en->snap);

	return v ? v->view.members.members_len : 1;
}

void fi_admit(fi_call_t *c, const fi_step_t *next)
{
	str_t service = str_c(c->service->name);
	int64_t wait_ms = 0;

	if (!ad_rate(c->en->admission, c->caller, tx_limit(c->conf->text, c->caller), &wait_ms)) {
		fi_refuse(c, 429, "rate_limit", STR("the caller is over its rate"), wait_ms);
		return;
	}
	if (c->deadline <= clk_now_ms()) {
		fi_refuse(c, 504, "deadline", STR("the deadline has passed"), BUSY_RETRY_MS);
		return;
	}
	wait_ms = up_wait_ms(c->en->ups, service);
	if (c->service->kind == TX_ENGINE && c->en->set.way == EN_OWNER &&
	    wait_ms > clk_left_ms(c->deadline)) {
		fi_refuse(c, 503, "overloaded", STR("no replica can start it before its deadline"),
			  wait_ms - clk_left_ms(c->deadline));
		return;
	}
	if (!ad_enter(c->en->admission, service, c->service->concurrency, entries(c->en))) {
		fi_refuse(c, 503, "service_busy", STR("the service is at its concurrency"),
			  BUSY_RETRY_MS);
		return;
	}
	c->admitted = true;
	lc_first_try(c->en, service, (int)c->service->retry_percent);
	fi_next(c, next);
}
