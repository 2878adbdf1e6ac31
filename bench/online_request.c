#include "online_request.h"

#include <gsl/gsl_randist.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "sync_http.h"

#define PREFIX_BYTES	  256
#define TOKENS_CAP_FACTOR 4 /* bound of the length of an answer, in means */
#define MS_PER_US	  0.001
#define US_PER_MS	  1000
#define S_PER_US	  1e-6
#define HTTP_CONFLICT	  409
#define HTTP_SERVER_ERROR 500

/* Appends whole pseudo-random words, selected by `number`, until b has at least `length` bytes. */
static void append_words(buf_t *b, unsigned long number, size_t length)
{
	unsigned long x = number * 2654435761UL + 1;

	while (b->n < length) {
		x = x * 6364136223846793005UL + 1442695040888963407UL;
		buf_addf(b, "%06lx ", (x >> 40) & 0xffffff);
	}
}

static void make_prompt(online_request_t *r, unsigned long number, gsl_rng *rng)
{
	const online_load_options_t *o = r->options;

	if (o->prefix_count > 0)
		append_words(&r->prompt, gsl_rng_uniform_int(rng, (unsigned long)o->prefix_count),
			     PREFIX_BYTES);
	buf_addf(&r->prompt, "%s/%lu/%lu ", o->run_name, o->seed, number);
	append_words(&r->prompt, o->seed * 1000003 + number, (size_t)o->prompt_bytes);
}

static void make_body(online_request_t *r)
{
	buf_add(&r->body, STR("{\"model\":"));
	buf_add_json(&r->body, str_c(r->options->service));
	buf_add(&r->body, STR(",\"prompt\":"));
	buf_add_json(&r->body, str_buf(&r->prompt));
	buf_addf(&r->body, ",\"max_tokens\":%d,\"stream\":true}", r->check.expected_tokens);
}

online_request_t *online_request_new(const online_load_options_t *o, unsigned long number,
				     gsl_rng *rng)
{
	online_request_t *r = mem_new(sizeof(*r));

	r->options = o;
	snprintf(r->key, sizeof(r->key), "%s-%lu-%lu", o->run_name, o->seed, number);
	make_prompt(r, number, rng);
	r->check.prompt = str_buf(&r->prompt);
	r->check.expected_id = r->key;
	r->check.expected_tokens = (int)gsl_ran_geometric(rng, 1.0 / o->mean_tokens);
	if (r->check.expected_tokens > o->mean_tokens * TOKENS_CAP_FACTOR)
		r->check.expected_tokens = o->mean_tokens * TOKENS_CAP_FACTOR;
	make_body(r);
	return r;
}

static void free_transfer(online_request_t *r)
{
	curl_easy_cleanup(r->curl);
	curl_slist_free_all(r->headers);
	r->curl = NULL;
	r->headers = NULL;
}

void online_request_free(online_request_t *r)
{
	free_transfer(r);
	answer_check_reset(&r->check);
	buf_free(&r->prompt);
	buf_free(&r->body);
	buf_free(&r->error_body);
	free(r);
}

/* Records the times of tokens. Several tokens in one piece have no measurable gap. */
static void on_tokens(online_request_t *r, int tokens)
{
	int64_t now = clock_now_us();

	if (r->first_token_us == 0)
		r->first_token_us = now;
	else if (r->stat && tokens == 1 && r->last_token_us)
		samples_add(&r->stat->token_gap_ms, (double)(now - r->last_token_us) * MS_PER_US);
	r->last_token_us = now;
}

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	online_request_t *r = ctx;
	str_t piece = {p, size * n};
	long code = 0;
	int tokens;

	r->last_byte_us = clock_now_us();
	curl_easy_getinfo(r->curl, CURLINFO_RESPONSE_CODE, &code);
	if (code != 200) {
		buf_add(&r->error_body, piece);
		return piece.n;
	}
	tokens = answer_check_feed(&r->check, piece);
	if (tokens > 0)
		on_tokens(r, tokens);
	if (r->check.error_received && r->error_body.n == 0)
		buf_add(&r->error_body, piece);
	return piece.n;
}

/* Progress callback: aborts an attempt whose entry has sent nothing for the silence timeout. */
static int on_progress(void *ctx, curl_off_t dltotal, curl_off_t dlnow, curl_off_t ultotal,
		       curl_off_t ulnow)
{
	const online_request_t *r = ctx;

	return clock_now_us() > r->last_byte_us + r->options->silence_timeout_ms * US_PER_MS;
}

static struct curl_slist *make_headers(const online_request_t *r)
{
	struct curl_slist *h = curl_slist_append(NULL, "Content-Type: application/json");
	AUTO_BUF bearer = {0};
	AUTO_BUF left = {0};

	buf_addf(&bearer, "Bearer %s", r->options->bearer_key);
	h = sync_http_add_header(h, "Authorization", bearer.p);
	h = sync_http_add_header(h, "Idempotency-Key", r->key);
	h = curl_slist_append(h, "Expect:");
	if (r->options->deadline_ms > 0) {
		int64_t spent_ms = (clock_now_us() - r->scheduled_us) / 1000;
		int64_t left_ms = r->options->deadline_ms - spent_ms;

		buf_addf(&left, "%ld", left_ms > 1 ? left_ms : 1);
		h = sync_http_add_header(h, "X-Deadline-Ms", left.p);
	}
	return h;
}

CURL *online_request_start_attempt(online_request_t *r, gsl_rng *rng)
{
	char addr[ADDRESS_BYTES];
	AUTO_BUF url = {0};
	CURL *c;

	if (address_pool_pick(r->options->addresses, gsl_rng_get(rng), addr) != STATUS_OK)
		return NULL;
	free_transfer(r);
	answer_check_reset(&r->check);
	buf_free(&r->error_body);
	r->last_token_us = 0;
	r->last_byte_us = clock_now_us();
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
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, (long)r->options->silence_timeout_ms);
	curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(c, CURLOPT_XFERINFODATA, r);
	r->curl = c;
	return c;
}

static void record_complete(const online_request_t *r)
{
	double first_ms = (double)(r->first_token_us - r->scheduled_us) * MS_PER_US;

	samples_add(&r->stat->first_token_ms, first_ms);
	if (r->resends == 0)
		samples_add(&r->stat->first_token_unresent_ms, first_ms);
	r->stat->within_goal += first_ms <= r->options->first_token_goal_ms;
	r->stat->tokens += (uint64_t)r->check.expected_tokens;
	r->stat->streaming_s += (double)(r->last_token_us - r->first_token_us) * S_PER_US;
}

static void record_outcome(online_request_t *r, load_outcome_t outcome, long http)
{
	if (r->options->verbose && outcome != LOAD_OK)
		fprintf(stderr, "bench: key=%s outcome=%d http=%ld fault=%s tokens=%d/%d %.*s\n",
			r->key, (int)outcome, http, answer_fault_name(r->check.fault),
			r->check.next_index, r->check.expected_tokens,
			STR_ARG(str_buf(&r->error_body)));
	if (!r->stat)
		return;
	r->stat->outcome[outcome]++;
	r->stat->resends += (uint64_t)r->resends;
	if (outcome == LOAD_OK)
		record_complete(r);
	if (outcome == LOAD_REFUSED)
		samples_add(&r->stat->refused_ms,
			    (double)(clock_now_us() - r->scheduled_us) * MS_PER_US);
	if (outcome == LOAD_BROKEN)
		r->stat->fault[r->check.fault]++;
}

static bool response_says_not_run(const online_request_t *r)
{
	return r->error_body.p && strstr(r->error_body.p, "\"not_run\"") != NULL;
}

/* Returns true for a fault that no network error explains. Missing tokens count only if [DONE]
 * arrived: a broken connection also ends a stream early. */
static bool has_corrupt_stream(const online_request_t *r)
{
	answer_fault_t f = r->check.fault;

	return f != ANSWER_FAULT_NONE && (f != ANSWER_FAULT_MISSING || r->check.done_received);
}

online_request_next_t online_request_end_attempt(online_request_t *r, CURLcode code)
{
	long http = 0;

	curl_easy_getinfo(r->curl, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_OK && http == 200 && answer_check_complete(&r->check)) {
		record_outcome(r, LOAD_OK, http);
		return ONLINE_REQUEST_FINISHED;
	}
	if (has_corrupt_stream(r)) {
		record_outcome(r, LOAD_BROKEN, http);
		return ONLINE_REQUEST_FINISHED;
	}
	if (http >= 400 && http != HTTP_CONFLICT && response_says_not_run(r)) {
		record_outcome(r, LOAD_REFUSED, http);
		return ONLINE_REQUEST_FINISHED;
	}
	/* The connection failed or fell silent, the stream ended early, the entry had an error, or
	 * an earlier attempt still runs (409). The idempotency key makes a resend safe. */
	if (r->resends < r->options->max_resends && (code != CURLE_OK || http == HTTP_CONFLICT ||
						     http == 200 || http >= HTTP_SERVER_ERROR)) {
		r->resends++;
		return ONLINE_REQUEST_RESEND;
	}
	record_outcome(r, http == 200 ? LOAD_BROKEN : LOAD_FAILED, http);
	return ONLINE_REQUEST_FINISHED;
}
