#include "online_load.h"

#include <stdlib.h>
#include "base/clock.h"
#include "online_request.h"

#define US_PER_S       1e6
#define POLL_MAX_MS    20
#define DRAIN_S	       20 /* for what still runs after the last arrival */
#define RESEND_WAIT_US 250000
#define CONNECTIONS    1024L

/** A request that waits until it is sent again. */
typedef struct again {
	online_request_t *r;
	int64_t at_us;
	struct again *next;
} again_t;

typedef struct {
	const online_load_options_t *o;
	load_stat_t *stat;
	gsl_rng *plan; /* arrivals and sizes: the same for the same seed, whatever is answered */
	gsl_rng *choice; /* addresses */
	CURLM *multi;
	int64_t start_us;
	double next_s; /* next arrival */
	unsigned long sent;
	unsigned long open;
	again_t *again;
} load_t;

static double elapsed_s(const load_t *l)
{
	return (double)(clock_now_us() - l->start_us) / US_PER_S;
}

static void later(load_t *l, online_request_t *r)
{
	again_t *a = mem_new(sizeof(*a));

	*a = (again_t){r, clock_now_us() + RESEND_WAIT_US, l->again};
	l->again = a;
}

static void attempt(load_t *l, online_request_t *r)
{
	CURL *c = online_request_start_attempt(r, l->choice);

	if (c)
		curl_multi_add_handle(l->multi, c);
	else
		later(l, r);
}

static void send_again(load_t *l)
{
	again_t **at = &l->again;
	int64_t now = clock_now_us();

	while (*at) {
		again_t *a = *at;

		if (a->at_us > now) {
			at = &a->next;
			continue;
		}
		*at = a->next;
		attempt(l, a->r);
		free(a);
	}
}

static void arrive(load_t *l)
{
	online_request_t *r = online_request_new(l->o, l->sent, l->plan);

	r->scheduled_us = l->start_us + (int64_t)(l->next_s * US_PER_S);
	if (l->next_s >= l->o->warmup_s)
		r->stat = &l->stat[arrival_phase_at(&l->o->rate, l->next_s)];
	l->sent++;
	l->open++;
	attempt(l, r);
	l->next_s = arrival_next(&l->o->rate, l->next_s, l->plan);
}

static void finish(load_t *l, CURL *c, CURLcode code)
{
	online_request_t *r;

	curl_easy_getinfo(c, CURLINFO_PRIVATE, (char **)&r);
	curl_multi_remove_handle(l->multi, c);
	if (online_request_end_attempt(r, code) == ONLINE_REQUEST_RESEND) {
		later(l, r);
		return;
	}
	online_request_free(r);
	l->open--;
}

static void take_finished(load_t *l)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(l->multi, &left)) != NULL) {
		if (msg->msg == CURLMSG_DONE)
			finish(l, msg->easy_handle, msg->data.result);
	}
}

static int poll_ms(const load_t *l, double now_s)
{
	double ms = (l->next_s - now_s) * 1000;

	if (ms < 0)
		return 0;
	return ms < POLL_MAX_MS ? (int)ms : POLL_MAX_MS;
}

/** Counts what has no end yet as failed. Transfers are freed with the process. */
static void give_up(load_t *l)
{
	l->stat[ARRIVAL_STEADY].outcome[LOAD_FAILED] += l->open;
	if (l->open)
		fprintf(stderr, "bench: %lu requests without an end after %d s\n", l->open,
			DRAIN_S);
}

static void loop(load_t *l)
{
	int running;
	double now_s;

	for (;;) {
		now_s = elapsed_s(l);
		while (l->next_s <= now_s && l->next_s < l->o->seconds)
			arrive(l);
		send_again(l);
		curl_multi_perform(l->multi, &running);
		take_finished(l);
		if (l->next_s >= l->o->seconds && (l->open == 0 || now_s > l->o->seconds + DRAIN_S))
			return;
		curl_multi_poll(l->multi, NULL, 0, poll_ms(l, elapsed_s(l)), NULL);
	}
}

void online_load_run(const online_load_options_t *o, load_stat_t stat[ARRIVAL_PHASES])
{
	load_t l = {.o = o,
		    .stat = stat,
		    .plan = gsl_rng_alloc(gsl_rng_mt19937),
		    .choice = gsl_rng_alloc(gsl_rng_mt19937),
		    .multi = curl_multi_init()};

	gsl_rng_set(l.plan, o->seed);
	gsl_rng_set(l.choice, o->seed + 1);
	curl_multi_setopt(l.multi, CURLMOPT_MAXCONNECTS, CONNECTIONS);
	l.start_us = clock_now_us();
	l.next_s = arrival_next(&o->rate, 0, l.plan);
	loop(&l);
	give_up(&l);
	gsl_rng_free(l.plan);
	gsl_rng_free(l.choice);
}
