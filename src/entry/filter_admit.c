#include "entry/filter.h"

#include "entry/admission.h"
#include "entry/ledger_client.h"
#include "entry/upstream.h"

#define RETRY_AFTER_MS 500

static unsigned count_entries(entry_ctx_t *en)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);

	return v ? v->view.members.members_len : 1;
}

void filter_admit(filter_call_t *c, const filter_step_t *next)
{
	str_t service = str_c(c->service->name);
	int64_t wait_ms = 0;

	if (!admission_take_rate(c->en->admission, c->caller,
				 config_limit_for(c->config->config, c->caller), &wait_ms)) {
		filter_refuse(c, 429, "rate_limit", STR("the caller exceeds its request rate"),
			      wait_ms);
		return;
	}
	if (c->deadline <= clock_now_ms()) {
		filter_refuse(c, 504, "deadline", STR("the deadline has passed"), RETRY_AFTER_MS);
		return;
	}
	wait_ms = upstream_min_wait_ms(c->en->upstreams, service);
	if (c->service->kind == CONFIG_ENGINE && c->en->settings.mode == ENTRY_MODE_OWNER &&
	    wait_ms > clock_left_ms(c->deadline)) {
		filter_refuse(c, 503, "overloaded",
			      STR("no replica can start the request before its deadline"),
			      wait_ms - clock_left_ms(c->deadline));
		return;
	}
	if (!admission_enter(c->en->admission, service, c->service->concurrency,
			     count_entries(c->en))) {
		filter_refuse(c, 503, "service_busy",
			      STR("the service is at its concurrency limit"), RETRY_AFTER_MS);
		return;
	}
	c->admitted = true;
	ledger_client_count_request(c->en, service, (int)c->service->retry_percent);
	filter_next(c, next);
}
