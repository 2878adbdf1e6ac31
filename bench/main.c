/* auburn-bench: offers load to a fleet and prints outcomes, latencies and throughput. */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/args.h"
#include "base/clock.h"
#include "batch_load.h"
#include "online_load.h"

#define DEFAULT_SECONDS	    10
#define DEFAULT_RATE	    10
#define DEFAULT_TOKENS	    60
#define DEFAULT_PROMPT	    400
#define DEFAULT_GOAL_MS	    1000
#define DEFAULT_TIMEOUT_MS  3000
#define DEFAULT_RESENDS	    60
#define DEFAULT_JOBS	    4
#define DEFAULT_JOB_TIME_MS 3600000
#define ERRORS_MAX	    20
#define MS_PER_S	    1000.0

typedef struct {
	struct arg_str *entry, *addresses, *key, *service, *burst, *gap, *job_key, *run;
	struct arg_dbl *rate, *seconds, *warmup;
	struct arg_int *seed, *prompt_bytes, *prefixes, *max_tokens, *goal_ms, *deadline_ms,
		*timeout_ms, *resends, *job_items, *jobs, *job_tokens, *job_deadline_ms,
		*job_wait_ms;
	struct arg_lit *no_online, *verbose, *help, *version;
	struct arg_end *end;
} args_t;

static int int_or(const struct arg_int *a, int other)
{
	return a->count ? a->ival[0] : other;
}

static double double_or(const struct arg_dbl *a, double other)
{
	return a->count ? a->dval[0] : other;
}

static const char *str_or(const struct arg_str *a, const char *other)
{
	return a->count ? a->sval[0] : other;
}

static status_t parse_online_options(const args_t *a, online_load_options_t *o)
{
	*o = (online_load_options_t){
		.bearer_key = str_or(a->key, ""),
		.service = str_or(a->service, "sammandrag-llm"),
		.rate.per_s = double_or(a->rate, DEFAULT_RATE),
		.duration_s = double_or(a->seconds, DEFAULT_SECONDS),
		.warmup_s = double_or(a->warmup, 0),
		.run_name = str_or(a->run, "bench"),
		.seed = (unsigned long)int_or(a->seed, 1),
		.prompt_bytes = int_or(a->prompt_bytes, DEFAULT_PROMPT),
		.prefix_count = int_or(a->prefixes, 0),
		.mean_tokens = int_or(a->max_tokens, DEFAULT_TOKENS),
		.deadline_ms = int_or(a->deadline_ms, 0),
		.first_token_goal_ms = int_or(a->goal_ms, DEFAULT_GOAL_MS),
		.silence_timeout_ms = int_or(a->timeout_ms, DEFAULT_TIMEOUT_MS),
		.max_resends = int_or(a->resends, DEFAULT_RESENDS),
		.verbose = a->verbose->count > 0,
	};
	if (o->rate.per_s <= 0 || o->duration_s <= 0 || o->mean_tokens < 1)
		return status_fail(STATUS_INVALID,
				   "--rate, --seconds and --max-tokens must be greater than 0");
	if (a->burst->count &&
	    arrival_window_parse(a->burst->sval[0], true, &o->rate.burst) != STATUS_OK)
		return STATUS_INVALID;
	if (a->gap->count)
		return arrival_window_parse(a->gap->sval[0], false, &o->rate.pause);
	return STATUS_OK;
}

static void parse_batch_options(const args_t *a, const online_load_options_t *online,
				batch_load_options_t *o)
{
	*o = (batch_load_options_t){
		.bearer_key = str_or(a->job_key, online->bearer_key),
		.service = online->service,
		.items_per_job = int_or(a->job_items, 0),
		.open_jobs = int_or(a->jobs, DEFAULT_JOBS),
		.prompt_bytes = online->prompt_bytes,
		.mean_tokens = int_or(a->job_tokens, DEFAULT_TOKENS),
		.deadline_ms = int_or(a->job_deadline_ms, DEFAULT_JOB_TIME_MS),
		.run_name = online->run_name,
		.seed = online->seed,
	};
}

static void print_phases(const online_load_options_t *o, load_stat_t stat[ARRIVAL_PHASES])
{
	/* The phase "gap" has no arrivals and is not printed. */
	static const char *const names[ARRIVAL_PHASES] = {"steady", "burst", "gap"};
	double counted_s = o->duration_s - o->warmup_s;
	load_stat_t all = {0};

	for (int i = 0; i < ARRIVAL_PHASES; i++) {
		load_stat_merge(&all, &stat[i]);
		if (i != ARRIVAL_PAUSE && o->rate.burst.every_s > 0)
			load_stat_print(stdout, names[i], &stat[i], counted_s);
	}
	load_stat_print(stdout, "all", &all, counted_s);
	load_stat_free(&all);
}

/* Prints the batch load between two readings of its counts. */
static void print_jobs(const batch_load_counts_t *from, const batch_load_counts_t *to,
		       double seconds)
{
	printf("phase=batch seconds=%.1f jobs=%lu finished=%lu cancelled=%lu items_done=%lu "
	       "items_failed=%lu items_per_s=%.2f item_tokens=%lu not_adding_up=%lu\n",
	       seconds, to->jobs_submitted, to->jobs_finished, to->jobs_cancelled,
	       to->items_done - from->items_done, to->items_failed - from->items_failed,
	       (double)(to->items_done - from->items_done) / seconds, to->item_tokens,
	       to->miscounted);
	fflush(stdout);
}

/* Runs online load and batch load at the same time, as far as requested, and prints the results. */
static void run_load(const args_t *a, online_load_options_t *online,
		     const batch_load_options_t *jobs)
{
	load_stat_t stat[ARRIVAL_PHASES] = {0};
	batch_load_counts_t before = {0};
	batch_load_counts_t after = {0};
	batch_load_t *j = jobs->items_per_job > 0 ? batch_load_start(jobs) : NULL;
	int64_t start = clock_now_ms();
	int wait_ms = int_or(a->job_wait_ms, 0);

	if (a->no_online->count)
		clock_sleep_ms((int64_t)(online->duration_s * MS_PER_S));
	else
		online_load_run(online, stat);
	if (j && wait_ms > 0)
		batch_load_wait(j, wait_ms);
	if (j) {
		batch_load_get_counts(j, &after);
		print_jobs(&before, &after, (double)(clock_now_ms() - start) / MS_PER_S);
		batch_load_stop(j, wait_ms == 0);
	}
	if (!a->no_online->count)
		print_phases(online, stat);
	for (int i = 0; i < ARRIVAL_PHASES; i++)
		load_stat_free(&stat[i]);
}

/* Checks the options and runs the load; returns the exit status. */
static int run_bench(const args_t *a)
{
	online_load_options_t online;
	batch_load_options_t jobs;

	if (!a->entry->count && !a->addresses->count) {
		fputs("auburn-bench: --entry or --addresses is required\n", stderr);
		return EXIT_USAGE;
	}
	if (parse_online_options(a, &online) != STATUS_OK) {
		fprintf(stderr, "auburn-bench: %s\n", status_message());
		return EXIT_USAGE;
	}
	parse_batch_options(a, &online, &jobs);
	curl_global_init(CURL_GLOBAL_ALL);
	online.addresses = address_pool_new(str_or(a->entry, NULL), str_or(a->addresses, NULL));
	jobs.addresses = online.addresses;
	run_load(a, &online, &jobs);
	address_pool_free(online.addresses);
	return EXIT_OK;
}

int main(int argc, char **argv)
{
	args_t a = {
		.entry = arg_str0(NULL, "entry", "LIST", "entries to send to, ip:port,ip:port"),
		.addresses = arg_str0(NULL, "addresses", "LIST",
				      "entries to get the addresses from, ip:port,ip:port"),
		.key = arg_str0(NULL, "key", "KEY", "bearer key of the requests"),
		.service = arg_str0(NULL, "service", "NAME", "service to call"),
		.run = arg_str0(NULL, "run", "NAME", "prefix of each key and prompt"),
		.rate = arg_dbl0(NULL, "rate", "N", "online requests per second"),
		.burst = arg_str0(NULL, "burst", "TEXT", "\"xF:every S:for S\", rate times F"),
		.gap = arg_str0(NULL, "gap", "TEXT", "\"every S:for S\", no arrivals"),
		.seconds = arg_dbl0(NULL, "seconds", "S", "length of the run"),
		.warmup = arg_dbl0(NULL, "warmup", "S", "first part of the run, not counted"),
		.seed = arg_int0(NULL, "seed", "N", "seed of arrivals, prompts and lengths"),
		.prompt_bytes = arg_int0(NULL, "prompt-bytes", "N", "length of a prompt"),
		.prefixes =
			arg_int0(NULL, "prefixes", "N", "number of prefixes that prompts share"),
		.max_tokens =
			arg_int0(NULL, "max-tokens", "N", "mean length of an answer in tokens"),
		.goal_ms = arg_int0(NULL, "goal-ms", "N", "time to first token for goodput"),
		.deadline_ms =
			arg_int0(NULL, "deadline-ms", "N", "deadline sent with each request"),
		.timeout_ms =
			arg_int0(NULL, "timeout-ms", "N", "time without a byte before a resend"),
		.resends = arg_int0(NULL, "resends", "N", "maximum resends of one request"),
		.job_items = arg_int0(NULL, "job-items", "N", "items per batch job; 0: no jobs"),
		.jobs = arg_int0(NULL, "jobs", "N", "batch jobs open at the same time"),
		.job_key = arg_str0(NULL, "job-key", "KEY", "bearer key of the jobs"),
		.job_tokens = arg_int0(NULL, "job-tokens", "N", "mean length of an item in tokens"),
		.job_deadline_ms = arg_int0(NULL, "job-deadline-ms", "N", "deadline of a job"),
		.job_wait_ms = arg_int0(NULL, "job-wait-ms", "N",
					"at the end, wait so long for open jobs; 0: cancel them"),
		.no_online = arg_lit0(NULL, "no-online", "no online requests, only batch jobs"),
		.verbose = arg_lit0("v", "verbose", "print each request that did not succeed"),
		.help = arg_lit0("h", "help", "print this help"),
		.version = arg_lit0(NULL, "version", "version"),
		.end = arg_end(ERRORS_MAX),
	};
	void **table = (void **)&a;
	int faults = arg_parse(argc, argv, table);

	if (a.help->count) {
		fputs("Usage: auburn-bench", stdout);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return EXIT_OK;
	}
	if (a.version->count) {
		puts("auburn-bench " AUBURN_VERSION);
		return EXIT_OK;
	}
	if (faults > 0) {
		arg_print_errors(stderr, a.end, "auburn-bench");
		return EXIT_USAGE;
	}
	return run_bench(&a);
}
