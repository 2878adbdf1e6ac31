/* Who calls: identifies the customer by its API key, while it is proved that the config in force is
 * the newest, and counts requests against the customer's quota. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"
#include "state/lots.h"

/** Period of the questions which config is the newest. Shorter than the validity of a proof by so
 * much that an entry keeps its proof while a few answers are missed. */
#define QUESTION_MS 1000
/** Time within which an entry that lost its link usually has a new one. */
#define RELINK_MS 1000
/** Longest Retry-After of a request beyond its quota. */
#define RETRY_QUOTA_MAX_MS 60000

/* ---- the proof ---- */

static bool needs_proof(const front_t *f)
{
	return f->settings.revoke_ms > 0 && f->routes && f->routes->customers;
}

/* Looks whether there is a proof, and logs its loss. */
static bool has_proof(front_t *f, deadline_t now)
{
	bool valid = !needs_proof(f) || proof_is_valid(&f->proof, now);

	if (f->proof_valid && !valid) {
		f->proof_lost_at = now;
		log_event(LOG_LEVEL_WARN, "proof_lost", LOG_INT("text", f->routes_version),
			  LOG_INT("linked", leader_link_is_up(f->leader)));
		METRIC_INC("auburn_proofs_lost_total");
	}
	f->proof_valid = valid;
	return valid;
}

void front_customer_start(front_t *f)
{
	proof_init(&f->proof, f->settings.revoke_ms);
	f->quota = quota_new_share();
}

void front_customer_asked(front_t *f)
{
	f->next_question = clock_now_ms() + QUESTION_MS;
	proof_asked(&f->proof, clock_now_ms());
}

void front_customer_link_up(front_t *f)
{
	if (f->routes)
		front_routes_report(f, f->config_id);
}

void front_customer_link_down(front_t *f)
{
	f->leader_counts = false;
	proof_link_lost(&f->proof);
}

void front_customer_tick(front_t *f, deadline_t now)
{
	has_proof(f, now);
	if (now >= f->next_question && needs_proof(f) && !f->decoding)
		front_routes_report(f, f->config_id);
}

void front_customer_newest(front_t *f, const link_config_id_t *id)
{
	bool newest = id->number > 0 && id->number == f->config_id.number &&
		      id->digest == f->config_id.digest;
	bool had_proof = has_proof(f, clock_now_ms());

	if (!f->leader_counts) {
		f->leader_counts = true;
		leader_link_send(f->leader, &(link_msg_t){.kind = LINK_COUNTS_QUOTAS});
		front_quarantine_offer(f);
	}
	if (!proof_answered(&f->proof, newest) || had_proof || !has_proof(f, clock_now_ms()))
		return;
	log_event(LOG_LEVEL_INFO, "proof_gained", LOG_INT("text", f->routes_version),
		  LOG_INT("valid_ms", f->proof.valid_until - clock_now_ms()));
	front_held_release(f);
}

/* ---- the caller ---- */

void front_refuse_key(front_t *f, http_conn_t *c, str_t id, const char *reason)
{
	log_event(LOG_LEVEL_INFO, "request_refused", LOG_STR("request", id), LOG_INT("status", 401),
		  LOG_CSTR("reason", reason), LOG_INT("text", f->routes_version));
	METRIC_INC("auburn_refused_keys_total");
	http_reply(c, 401, PLATFORM_CHALLENGE, STR("no valid API key\n"));
}

/* When the proof that is missing was lost. A linked entry has asked for another one, which takes a
 * few ms, and one that lost its link a moment ago, as after a freeze, will soon have a new one. An
 * entry that has been without a leader for longer refuses requests at once. */
static deadline_t unproved_since(const front_t *f)
{
	deadline_t down_since = leader_link_down_since(f->leader);

	if (down_since && clock_now_ms() - down_since > RELINK_MS)
		return 0;
	return f->proof_lost_at ? f->proof_lost_at : f->started;
}

static bool has_known_key(const customers_t *customers, const platform_call_t *call)
{
	customer_key_t key;

	if (call->credentials != PLATFORM_CREDENTIALS_KEY)
		return false;
	key = customer_key_hash(call->key);
	return customers_by_key(customers, &key) != NULL;
}

bool front_identify(front_t *f, http_conn_t *c, const http_request_t *r,
		    const platform_call_t *call, front_key_use_t use, front_caller_t *out)
{
	const customers_t *customers = f->routes->customers;

	*out = (front_caller_t){0};
	if (!customers || use == FRONT_KEY_IGNORED)
		return true;
	if (use == FRONT_KEY_OPTIONAL && !has_known_key(customers, call))
		return true;
	if (call->credentials != PLATFORM_CREDENTIALS_KEY) {
		front_refuse_key(f, c, call->id,
				 call->credentials == PLATFORM_CREDENTIALS_NONE ? "no key"
										: "malformed key");
		return false;
	}
	if (!has_proof(f, clock_now_ms())) {
		front_held_add(f, c, r, "no proof that the config is the newest",
			       unproved_since(f));
		return false;
	}
	out->key = customer_key_hash(call->key);
	out->customer = customers_by_key(customers, &out->key);
	if (!out->customer)
		front_refuse_key(f, c, call->id, "unknown key");
	return out->customer != NULL;
}

bool front_request_key_is_valid(const front_request_t *q)
{
	const customers_t *customers = q->f->routes->customers;
	const customer_t *c = customers ? customers_by_key(customers, &q->key) : NULL;

	return !q->customer || !customers || (c && strcmp(c->name, q->customer) == 0);
}

/* ---- quotas ---- */

/* Number of entries that share the quotas while there is no leader. */
static unsigned entries_in_fleet(const front_t *f)
{
	unsigned n = f->fleet_entries > f->view.entries.entries_len ? f->fleet_entries
								    : f->view.entries.entries_len;

	return n ? n : 1;
}

bool front_quota_take(front_t *f, front_request_t *q, int64_t *retry_ms)
{
	const customer_t *c = NULL;
	quota_customer_t limit;

	*retry_ms = 0;
	if (!q->customer || q->counted_by != FRONT_NOT_COUNTED)
		return true;
	if (!f->local_dispatch && f->leader_counts) {
		q->counted_by = FRONT_ASKS_LEADER_TO_COUNT;
		return true;
	}
	q->counted_by = FRONT_COUNTED_HERE;
	if (f->routes->customers)
		c = customers_by_name(f->routes->customers, str_c(q->customer));
	if (!c)
		return true;
	limit = (quota_customer_t){str_c(c->name), c->rate_per_s, c->burst};
	return quota_take(f->quota, &limit, entries_in_fleet(f), 0, clock_now_ms(), retry_ms);
}

void front_quota_return(front_t *f, front_request_t *q)
{
	link_msg_t m = {.kind = LINK_QUOTA_RETURN};

	if (q->counted_by == FRONT_COUNTED_HERE)
		quota_return(f->quota, str_c(q->customer), entries_in_fleet(f));
	if (q->counted_by == FRONT_COUNTED_BY_LEADER && f->leader_counts) {
		m.link_msg_t_u.customer = wire_bytes(str_c(q->customer));
		leader_link_send(f->leader, &m);
	}
	q->counted_by = FRONT_NOT_COUNTED;
}

void front_quota_exceeded(front_t *f, const link_over_quota_t *m)
{
	front_request_t *q = m->request ? front_request_find(f, m->request) : NULL;

	quota_exhaust(f->quota, wire_str(m->customer), clock_now_ms());
	if (q && front_request_is_waiting(q))
		front_request_over_quota(q, m->retry_ms, "leader");
}

int64_t front_quota_retry_ms(int64_t retry_ms)
{
	return retry_ms < RETRY_QUOTA_MAX_MS ? retry_ms : RETRY_QUOTA_MAX_MS;
}
