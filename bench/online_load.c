#include "online_load.h"

#include <stdlib.h>
#include "base/clock.h"
#include "online_request.h"

#define US_PER_S	      1e6
#define POLL_MAX_MS	      20
#define DRAIN_TIMEOUT_S	      20 /* for requests still open after the last arrival */
#define RESEND_DELAY_US	      250000
#define CONNECTION_CACHE_SIZE 1024L

/* A request that waits for its next attempt. */
typedef struct resend {
	online_request_t *r;
	int64_t at_us;
	struct resend *next;
} resend_t;

typedef struct {
	const online_load_options_t *options;
	load_stat_t *stat;
	/* Two generators: arrivals and sizes depend on the seed only, whatever the answers are. */
	gsl_rng *plan_rng;
	gsl_rng *address_rng;
	CURLM *multi;
	int64_t start_us;
	double next_arrival_s; /* after start_us */
	unsigned long sent; /* requests, resends not included */
	unsigned long in_flight; /* requests without an outcome */
	resend_t *resends; /* requests that wait for their next attempt */
} load_t;

static double elapsed_s(const load_t *l)
{
	return (double)(clock_now_us() - l->start_us) / US_PER_S;
}

static void schedule_resend(load_t *l, online_request_t *r)
{
	resend_t *a = mem_new(sizeof(*a));

	*a = (resend_t){r, clock_now_us() + RESEND_DELAY_US, l->resends};
	l->resends = a;
}

static void start_attempt(load_t *l, online_request_t *r)
{
	CURL *c = online_request_start_attempt(r, l->address_rng);

	if (c)
		curl_multi_add_handle(l->multi, c);
	else
		schedule_resend(l, r);
}

static void send_due_resends(load_t *l)
{
	resend_t **at = &l->resends;
	int64_t now = clock_now_us();

	while (*at) {
		resend_t *a = *at;

		if (a->at_us > now) {
			at = &a->next;
			continue;
		}
		*at = a->next;
		start_attempt(l, a->r);
		free(a);
	}
}

static void start_request(load_t *l)
{
	online_request_t *r = online_request_new(l->options, l->sent, l->plan_rng);

	r->scheduled_us = l->start_us + (int64_t)(l->next_arrival_s * US_PER_S);
	if (l->next_arrival_s >= l->options->warmup_s)
		r->stat = &l->stat[arrival_phase_at(&l->options->rate, l->next_arrival_s)];
	l->sent++;
	l->in_flight++;
	start_attempt(l, r);
	l->next_arrival_s = arrival_next(&l->options->rate, l->next_arrival_s, l->plan_rng);
}

static void finish_attempt(load_t *l, CURL *c, CURLcode code)
{
	online_request_t *r;

	curl_easy_getinfo(c, CURLINFO_PRIVATE, (char **)&r);
	curl_multi_remove_handle(l->multi, c);
	if (online_request_end_attempt(r, code) == ONLINE_REQUEST_RESEND) {
		schedule_resend(l, r);
		return;
	}
	online_request_free(r);
	l->in_flight--;
}

static void collect_finished(load_t *l)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(l->multi, &left)) != NULL) {
		if (msg->msg == CURLMSG_DONE)
			finish_attempt(l, msg->easy_handle, msg->data.result);
	}
}

static int poll_timeout_ms(const load_t *l, double now_s)
{
	double ms = (l->next_arrival_s - now_s) * 1000;

	if (ms < 0)
		return 0;
	return ms < POLL_MAX_MS ? (int)ms : POLL_MAX_MS;
}

/* Counts the requests without an outcome as failed. The exit of the process frees their
 * transfers. */
static void count_unfinished(load_t *l)
{
	l->stat[ARRIVAL_STEADY].outcome[LOAD_FAILED] += l->in_flight;
	if (l->in_flight)
		fprintf(stderr, "bench: %lu requests still open %d s after the end of the load\n",
			l->in_flight, DRAIN_TIMEOUT_S);
}

static void run_loop(load_t *l)
{
	int running;
	double now_s;

	for (;;) {
		now_s = elapsed_s(l);
		while (l->next_arrival_s <= now_s && l->next_arrival_s < l->options->duration_s)
			start_request(l);
		send_due_resends(l);
		curl_multi_perform(l->multi, &running);
		collect_finished(l);
		if (l->next_arrival_s >= l->options->duration_s &&
		    (l->in_flight == 0 || now_s > l->options->duration_s + DRAIN_TIMEOUT_S))
			return;
		curl_multi_poll(l->multi, NULL, 0, poll_timeout_ms(l, elapsed_s(l)), NULL);
	}
}

void online_load_run(const online_load_options_t *options, load_stat_t stat[ARRIVAL_PHASES])
{
	load_t l = {.options = options,
		    .stat = stat,
		    .plan_rng = gsl_rng_alloc(gsl_rng_mt19937),
		    .address_rng = gsl_rng_alloc(gsl_rng_mt19937),
		    .multi = curl_multi_init()};

	gsl_rng_set(l.plan_rng, options->seed);
	gsl_rng_set(l.address_rng, options->seed + 1);
	curl_multi_setopt(l.multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE_SIZE);
	l.start_us = clock_now_us();
	l.next_arrival_s = arrival_next(&options->rate, 0, l.plan_rng);
	run_loop(&l);
	count_unfinished(&l);
	gsl_rng_free(l.plan_rng);
	gsl_rng_free(l.address_rng);
}
