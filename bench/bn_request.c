#include "bn_request.h"

#include <gsl/gsl_randist.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "bn_http.h"

#define PREFIX_BYTES  256
#define TOKENS_CAP    4 /* means */
#define MS_PER_US     0.001
#define US_PER_MS     1000
#define S_PER_US      1e-6
#define REFUSED_FROM  429
#define CONFLICT      409
#define SERVER_FAULTS 500

/** Random words, the same for the same number. */
static void add_words(buf_t *b, unsigned long number, size_t until)
{
	unsigned long x = number * 2654435761UL + 1;

	while (b->n < until) {
		x = x * 6364136223846793005UL + 1442695040888963407UL;
		buf_addf(b, "%06lx ", (x >> 40) & 0xffffff);
	}
}

static void make_prompt(bn_request_t *r, unsigned long number, gsl_rng *rng)
{
	const bn_load_options_t *o = r->o;

	if (o->prefixes > 0)
		add_words(&r->prompt, gsl_rng_uniform_int(rng, (unsigned long)o->prefixes),
			  PREFIX_BYTES);
	buf_addf(&r->prompt, "%s/%lu/%lu ", o->run, o->seed, number);
	add_words(&r->prompt, o->seed * 1000003 + number, (size_t)o->prompt_bytes);
}

static void make_body(bn_request_t *r)
{
	buf_add(&r->body, STR("{\"model\":"));
	buf_add_json(&r->body, str_c(r->o->service));
	buf_add(&r->body, STR(",\"prompt\":"));
	buf_add_json(&r->body, str_buf(&r->prompt));
	buf_addf(&r->body, ",\"max_tokens\":%d,\"stream\":true}", r->check.tokens);
}

bn_request_t *bn_request_new(const bn_load_options_t *o, unsigned long number, gsl_rng *rng)
{
	bn_request_t *r = mem_new(sizeof(*r));

	r->o = o;
	snprintf(r->key, sizeof(r->key), "%s-%lu-%lu", o->run, o->seed, number);
	make_prompt(r, number, rng);
	r->check.prompt = str_buf(&r->prompt);
	r->check.key = r->key;
	r->check.tokens = (int)gsl_ran_geometric(rng, 1.0 / o->max_tokens);
	if (r->check.tokens > o->max_tokens * TOKENS_CAP)
		r->check.tokens = o->max_tokens * TOKENS_CAP;
	make_body(r);
	return r;
}

static void drop_attempt(bn_request_t *r)
{
	curl_easy_cleanup(r->curl);
	curl_slist_free_all(r->headers);
	r->curl = NULL;
	r->headers = NULL;
}

void bn_request_free(bn_request_t *r)
{
	drop_attempt(r);
	bn_check_reset(&r->check);
	buf_free(&r->prompt);
	buf_free(&r->body);
	buf_free(&r->error);
	free(r);
}

static void on_tokens(bn_request_t *r, int tokens)
{
	int64_t now = clock_now_us();

	if (r->first_us == 0)
		r->first_us = now;
	else if (r->stat && tokens == 1 && r->last_us)
		bn_values_add(&r->stat->step_ms, (double)(now - r->last_us) * MS_PER_US);
	r->last_us = now;
}

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	bn_request_t *r = ctx;
	str_t piece = {p, size * n};
	long code = 0;
	int tokens;

	r->heard_us = clock_now_us();
	curl_easy_getinfo(r->curl, CURLINFO_RESPONSE_CODE, &code);
	if (code != 200) {
		buf_add(&r->error, piece);
		return piece.n;
	}
	tokens = bn_check_feed(&r->check, piece);
	if (tokens > 0)
		on_tokens(r, tokens);
	if (r->check.error && r->error.n == 0)
		buf_add(&r->error, piece);
	return piece.n;
}

/** Ends an attempt after a silence: the entry is taken for dead. */
static int on_progress(void *ctx, curl_off_t dltotal, curl_off_t dlnow, curl_off_t ultotal,
		       curl_off_t ulnow)
{
	const bn_request_t *r = ctx;

	return clock_now_us() > r->heard_us + r->o->timeout_ms * US_PER_MS;
}

static struct curl_slist *make_headers(const bn_request_t *r)
{
	struct curl_slist *h = curl_slist_append(NULL, "Content-Type: application/json");
	AUTO_BUF bearer = {0};
	AUTO_BUF left = {0};

	buf_addf(&bearer, "Bearer %s", r->o->key);
	h = bn_http_header(h, "Authorization", bearer.p);
	h = bn_http_header(h, "Idempotency-Key", r->key);
	h = curl_slist_append(h, "Expect:");
	if (r->o->deadline_ms > 0) {
		int64_t spent_ms = (clock_now_us() - r->arrived_us) / 1000;
		int64_t left_ms = r->o->deadline_ms - spent_ms;

		buf_addf(&left, "%ld", left_ms > 1 ? left_ms : 1);
		h = bn_http_header(h, "X-Deadline-Ms", left.p);
	}
	return h;
}

CURL *bn_request_attempt(bn_request_t *r, gsl_rng *rng)
{
	char addr[BN_ADDR_BYTES];
	AUTO_BUF url = {0};
	CURL *c;

	if (bn_addr_pick(r->o->addr, gsl_rng_get(rng), addr) != STATUS_OK)
		return NULL;
	drop_attempt(r);
	bn_check_reset(&r->check);
	buf_free(&r->error);
	r->last_us = 0;
	r->heard_us = clock_now_us();
	buf_addf(&url, "http://%s/v1/completions", addr);
	c = curl_easy_init();
	r->headers = make_headers(r);
	curl_easy_setopt(c, CURLOPT_URL, url.p);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, r->headers);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)r->body.n);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, r->body.p);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(c, CURLOPT_PRIVATE, r);
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, (long)r->o->timeout_ms);
	curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(c, CURLOPT_XFERINFODATA, r);
	r->curl = c;
	return c;
}

static void count_ok(const bn_request_t *r)
{
	double first_ms = (double)(r->first_us - r->arrived_us) * MS_PER_US;

	bn_values_add(&r->stat->first_ms, first_ms);
	if (r->resends == 0)
		bn_values_add(&r->stat->direct_ms, first_ms);
	r->stat->good += first_ms <= r->o->goal_ms;
	r->stat->tokens += (uint64_t)r->check.tokens;
	r->stat->busy_s += (double)(r->last_us - r->first_us) * S_PER_US;
}

static void count(bn_request_t *r, bn_outcome_t what, long http)
{
	if (r->o->verbose && what != BN_OK)
		fprintf(stderr, "bench: key=%s outcome=%d http=%ld fault=%s tokens=%d/%d %.*s\n",
			r->key, (int)what, http, bn_fault_name(r->check.fault), r->check.next,
			r->check.tokens, STR_ARG(str_buf(&r->error)));
	if (!r->stat)
		return;
	r->stat->outcome[what]++;
	r->stat->resent += (uint64_t)r->resends;
	if (what == BN_OK)
		count_ok(r);
	if (what == BN_REFUSED)
		bn_values_add(&r->stat->refused_ms,
			      (double)(clock_now_us() - r->arrived_us) * MS_PER_US);
	if (what == BN_BROKEN)
		r->stat->fault[r->check.fault]++;
}

static bool says_not_run(const bn_request_t *r)
{
	return r->error.p && strstr(r->error.p, "\"not_run\"") != NULL;
}

/** Does the stream hold something that no network fault explains? */
static bool is_wrong(const bn_request_t *r)
{
	bn_fault_t f = r->check.fault;

	return f != BN_GOOD && (f != BN_MISSING || r->check.done);
}

bn_verdict_t bn_request_ended(bn_request_t *r, CURLcode code)
{
	long http = 0;

	curl_easy_getinfo(r->curl, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_OK && http == 200 && bn_check_whole(&r->check)) {
		count(r, BN_OK, http);
		return BN_END;
	}
	if (is_wrong(r)) {
		count(r, BN_BROKEN, http);
		return BN_END;
	}
	if (http >= 400 && http != CONFLICT && says_not_run(r)) {
		count(r, BN_REFUSED, http);
		return BN_END;
	}
	if (r->resends < r->o->resends &&
	    (code != CURLE_OK || http == CONFLICT || http == 200 || http >= SERVER_FAULTS)) {
		r->resends++;
		return BN_AGAIN;
	}
	count(r, http == 200 ? BN_BROKEN : BN_FAILED, http);
	return BN_END;
}
