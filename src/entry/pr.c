#include "entry/pr.h"

#include <stdio.h>
#include <stdlib.h>

#define ROUND_MS  200
#define GET_MS	  500
#define URL_BYTES 256
#define STATE_MS  500
#define SETTLE_MS 1500 /* an order of the last owner may still be on its way */
#define HTTP_OK	  200

typedef struct {
	en_t *en;
	en_conf_t *conf;
	pr_replica_t *replicas;
} probe_t;

json_t *pr_get(en_t *en, const char *addr, const char *path)
{
	char url[URL_BYTES];
	AUTO_BUF body = {0};
	int status = 0;
	ec_options_t o = {.method = "GET", .url = url, .deadline = clk_now_ms() + GET_MS};

	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	if (ec_call(en->ec, &o, &status, &body) != EC_FINISHED || status != HTTP_OK)
		return NULL;
	return json_loadb(body.p ? body.p : "", body.n, 0, NULL);
}

static pr_replica_t *replica(probe_t *p, const up_info_t *info, const tx_service_t *s)
{
	pr_replica_t *r = p->replicas;

	while (r && r->up != info->up)
		r = r->next;
	if (!r) {
		r = mem_new(sizeof(*r));
		r->up = info->up;
		r->next = p->replicas;
		p->replicas = r;
	}
	if (r->fence != info->fence) {
		r->fence = info->fence;
		r->prefixes_known = false;
		r->orders_from = clk_now_ms() + (s->checks_fencing ? 0 : SETTLE_MS);
		r->next_state = 0;
	}
	return r;
}

static void load_report(en_t *en, const up_info_t *info)
{
	json_t *j = pr_get(en, info->addr, "/v1/load");

	if (!j)
		return;
	up_engine_report(info->up, (int)json_integer_value(json_object_get(j, "running")),
			 (int)json_integer_value(json_object_get(j, "waiting")),
			 (int)json_integer_value(json_object_get(j, "slots")));
	json_decref(j);
}

static bool visit(void *ctx, const up_info_t *info)
{
	probe_t *p = ctx;
	en_t *en = p->en;
	const tx_service_t *s = tx_service(p->conf->text, str_c(info->service));
	pr_replica_t *r;

	if (!info->ro || !s || info->state != AW_UP_LIVE)
		return true;
	r = replica(p, info, s);
	if (en->set.way == EN_ALONE || en->set.way == EN_ALONE_CANCEL)
		load_report(en, info);
	pr_cache(en, info, r);
	if (en->set.way == EN_OWNER && s->model && clk_now_ms() >= r->next_state &&
	    clk_now_ms() >= r->orders_from) {
		r->next_state = clk_now_ms() + STATE_MS;
		pr_orders(en, info, p->conf, s, r);
	}
	return true;
}

static void *probe_thread(void *arg)
{
	probe_t p = {.en = arg};

	for (;;) {
		p.conf = en_conf_get(p.en->snap);
		if (p.conf && en_lease_valid(p.en->snap))
			up_each(p.en->ups, visit, &p);
		en_conf_put(p.conf);
		clk_sleep_ms(ROUND_MS);
	}
	return NULL;
}

void pr_start(en_t *en)
{
	pthread_t t;

	if (pthread_create(&t, NULL, probe_thread, en) != 0)
		abort();
	pthread_detach(t);
}
