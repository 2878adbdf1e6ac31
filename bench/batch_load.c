#include "batch_load.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "base/str.h"
#include "sync_http.h"

#define JOBS_MAX	  64
#define ID_BYTES	  128
#define CALL_TIMEOUT_MS	  5000
#define POLL_INTERVAL_MS  300
#define TOKENS_CAP_FACTOR 4 /* bound of the length of an item, in means */
#define REJECTIONS_LOGGED 3

typedef struct {
	char id[ID_BYTES];
	bool open;
	unsigned long done, failed; /* items, as of the last poll */
} job_t;

struct batch_load {
	batch_load_options_t options;
	gsl_rng *rng;
	pthread_mutex_t lock; /* guards job and counts */
	pthread_t thread;
	atomic_bool stop;
	atomic_bool submitting;
	job_t job[JOBS_MAX];
	unsigned long next_job; /* number, part of the job's id */
	unsigned long rejected; /* submissions without status 202 */
	atomic_ulong item_tokens; /* of all generated items */
	batch_load_counts_t counts; /* items of ended jobs only */
};

static void append_item(batch_load_t *j, buf_t *body, int index)
{
	AUTO_BUF prompt = {0};
	unsigned tokens = gsl_ran_geometric(j->rng, 1.0 / j->options.mean_tokens);
	unsigned cap = (unsigned)j->options.mean_tokens * TOKENS_CAP_FACTOR;

	tokens = tokens < cap ? tokens : cap;
	atomic_fetch_add(&j->item_tokens, tokens);
	buf_addf(&prompt, "%s/digest %lu/%lu/%d ", j->options.run_name, j->options.seed,
		 j->next_job, index);
	while (prompt.n < (size_t)j->options.prompt_bytes)
		buf_addf(&prompt, "%06lx ", gsl_rng_get(j->rng) & 0xffffff);
	buf_add(body, STR("{\"prompt\":"));
	buf_add_json(body, str_buf(&prompt));
	buf_addf(body, ",\"max_tokens\":%u}\n", tokens);
}

static void submit_job(batch_load_t *j, job_t *job)
{
	char addr[ADDRESS_BYTES];
	AUTO_BUF body = {0};
	AUTO_BUF url = {0};
	AUTO_BUF answer = {0};
	long code;

	if (address_pool_pick(j->options.addresses, gsl_rng_get(j->rng), addr) != STATUS_OK)
		return;
	snprintf(job->id, sizeof(job->id), "%s-job-%lu-%lu", j->options.run_name, j->options.seed,
		 j->next_job);
	for (int i = 0; i < j->options.items_per_job; i++)
		append_item(j, &body, i);
	j->next_job++;
	buf_addf(&url, "http://%s/v1/jobs?service=%s&deadline_ms=%d", addr, j->options.service,
		 j->options.deadline_ms);
	code = sync_http_post(url.p, j->options.bearer_key, job->id, str_buf(&body),
			      CALL_TIMEOUT_MS, &answer);
	if (code != 202) {
		if (j->rejected++ < REJECTIONS_LOGGED)
			fprintf(stderr, "bench: job %s not accepted: status %ld: %.*s\n", job->id,
				code, STR_ARG(str_buf(&answer)));
		return;
	}
	pthread_mutex_lock(&j->lock);
	job->open = true;
	job->done = 0;
	job->failed = 0;
	j->counts.jobs_submitted++;
	pthread_mutex_unlock(&j->lock);
}

/* Adds an ended job to the counts. */
static void close_job(batch_load_t *j, job_t *job, const char *state, bool adds_up)
{
	job->open = false;
	j->counts.items_done += job->done;
	j->counts.items_failed += job->failed;
	job->done = 0;
	job->failed = 0;
	j->counts.jobs_finished += strcmp(state, "done") == 0;
	j->counts.jobs_cancelled += strcmp(state, "cancelled") == 0;
	j->counts.miscounted += !adds_up;
}

/* Takes over the state and the counts of a job from the body of GET /v1/jobs/ID. */
static void update_job(batch_load_t *j, job_t *job, const char *body)
{
	json_t *v = json_loads(body, 0, NULL);
	const char *state = json_string_value(json_object_get(v, "state"));
	long count = (long)json_integer_value(json_object_get(v, "count"));
	long waiting = (long)json_integer_value(json_object_get(v, "waiting"));
	long leased = (long)json_integer_value(json_object_get(v, "leased"));
	long dropped = (long)json_integer_value(json_object_get(v, "dropped"));

	pthread_mutex_lock(&j->lock);
	if (state) {
		job->done = (unsigned long)json_integer_value(json_object_get(v, "done"));
		job->failed = (unsigned long)json_integer_value(json_object_get(v, "failed"));
		if (strcmp(state, "running") != 0) {
			long all = waiting + leased + dropped + (long)job->done + (long)job->failed;

			close_job(j, job, state, all == count && count == j->options.items_per_job);
		}
	}
	pthread_mutex_unlock(&j->lock);
	json_decref(v);
}

/* Appends the job's URL at a random entry; returns false if no address is known. */
static bool append_job_url(batch_load_t *j, const job_t *job, buf_t *url)
{
	char addr[ADDRESS_BYTES];

	if (address_pool_pick(j->options.addresses, gsl_rng_get(j->rng), addr) != STATUS_OK)
		return false;
	buf_addf(url, "http://%s/v1/jobs/%s", addr, job->id);
	return true;
}

static void poll_job(batch_load_t *j, job_t *job)
{
	AUTO_BUF url = {0};
	AUTO_BUF body = {0};

	if (!append_job_url(j, job, &url))
		return;
	if (sync_http_get(url.p, j->options.bearer_key, CALL_TIMEOUT_MS, &body) == 200)
		update_job(j, job, body.p ? body.p : "");
}

/* Polls the open jobs and submits a new one in place of each that has ended. */
static void poll_all_jobs(batch_load_t *j)
{
	for (int i = 0; i < j->options.open_jobs; i++) {
		if (j->job[i].open)
			poll_job(j, &j->job[i]);
		if (!j->job[i].open && atomic_load(&j->submitting))
			submit_job(j, &j->job[i]);
	}
}

static void *job_thread(void *ctx)
{
	batch_load_t *j = ctx;

	while (!atomic_load(&j->stop)) {
		poll_all_jobs(j);
		clock_sleep_ms(POLL_INTERVAL_MS);
	}
	return NULL;
}

batch_load_t *batch_load_start(const batch_load_options_t *options)
{
	batch_load_t *j = mem_new(sizeof(*j));

	j->options = *options;
	if (j->options.open_jobs > JOBS_MAX)
		j->options.open_jobs = JOBS_MAX;
	j->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(j->rng, options->seed);
	pthread_mutex_init(&j->lock, NULL);
	atomic_store(&j->submitting, true);
	pthread_create(&j->thread, NULL, job_thread, j);
	return j;
}

void batch_load_get_counts(batch_load_t *j, batch_load_counts_t *out)
{
	pthread_mutex_lock(&j->lock);
	*out = j->counts;
	out->item_tokens = atomic_load(&j->item_tokens);
	for (int i = 0; i < j->options.open_jobs; i++) {
		out->items_done += j->job[i].done;
		out->items_failed += j->job[i].failed;
	}
	pthread_mutex_unlock(&j->lock);
}

static bool any_job_open(batch_load_t *j)
{
	bool open = false;

	pthread_mutex_lock(&j->lock);
	for (int i = 0; i < j->options.open_jobs; i++)
		open = open || j->job[i].open;
	pthread_mutex_unlock(&j->lock);
	return open;
}

void batch_load_wait(batch_load_t *j, int wait_ms)
{
	deadline_t until = clock_now_ms() + wait_ms;

	atomic_store(&j->submitting, false);
	while (any_job_open(j) && clock_now_ms() < until)
		clock_sleep_ms(POLL_INTERVAL_MS);
}

static void cancel_job(batch_load_t *j, const job_t *job)
{
	AUTO_BUF url = {0};
	AUTO_BUF body = {0};

	if (!append_job_url(j, job, &url))
		return;
	if (sync_http_delete(url.p, j->options.bearer_key, CALL_TIMEOUT_MS, &body) != 200)
		fprintf(stderr, "bench: job %s: cancel request failed\n", job->id);
}

void batch_load_stop(batch_load_t *j, bool cancel_open)
{
	atomic_store(&j->submitting, false);
	atomic_store(&j->stop, true);
	pthread_join(j->thread, NULL);
	for (int i = 0; cancel_open && i < j->options.open_jobs; i++) {
		if (j->job[i].open)
			cancel_job(j, &j->job[i]);
	}
	gsl_rng_free(j->rng);
	pthread_mutex_destroy(&j->lock);
	free(j);
}
