#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "base/clock.h"
#include "ctl/ctl.h"

#define PATH_BYTES   1024
#define POLL_MS	     500
#define RESULTS_PAGE 1000

static int fail_missing(const char *name)
{
	fprintf(stderr, "auburnctl: %s is missing\n", name);
	return EXIT_USAGE;
}

static int fetch_job(ctl_t *ctl, const char *id, json_t **out)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	st = ctl_call(ctl, &call, &body, &http);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &body);
	*out = json_loadb(body.p, body.n, 0, NULL);
	return EXIT_OK;
}

static json_int_t get_int(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static void print_job(const ctl_t *ctl, const json_t *o)
{
	if (ctl->json) {
		json_dumpf(o, stdout, JSON_COMPACT);
		putchar('\n');
		return;
	}
	printf("%s %s: %lld items, %lld waiting, %lld leased, %lld done, %lld failed, %lld "
	       "dropped\n",
	       json_string_value(json_object_get(o, "job")),
	       json_string_value(json_object_get(o, "state")), (long long)get_int(o, "count"),
	       (long long)get_int(o, "waiting"), (long long)get_int(o, "leased"),
	       (long long)get_int(o, "done"), (long long)get_int(o, "failed"),
	       (long long)get_int(o, "dropped"));
}

static bool is_finished(const json_t *o)
{
	return get_int(o, "done") + get_int(o, "failed") + get_int(o, "dropped") ==
	       get_int(o, "count");
}

static int show_job(ctl_t *ctl, const char *id)
{
	json_t *o = NULL;
	int code = fetch_job(ctl, id, &o);

	while (code == EXIT_OK && ctl->wait && !is_finished(o)) {
		fprintf(stderr, "\r%lld of %lld items done", (long long)get_int(o, "done"),
			(long long)get_int(o, "count"));
		json_decref(o);
		o = NULL;
		clock_sleep_ms(POLL_MS);
		code = fetch_job(ctl, id, &o);
	}
	if (ctl->wait)
		fputc('\n', stderr);
	if (code == EXIT_OK)
		print_job(ctl, o);
	json_decref(o);
	return code;
}

int ctl_job_submit(ctl_t *ctl)
{
	AUTO_BUF items = {0};
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "POST", .path = path, .idempotency_key = ctl->key};
	int code;

	if (!ctl->words[2] || !ctl->service || !ctl->key)
		return fail_missing("a file, --service or --key");
	if (ctl_read_file(ctl->words[2], &items) != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/jobs?service=%s&deadline_ms=%d", ctl->service,
		 ctl->deadline_ms ? ctl->deadline_ms : 24 * 3600 * 1000);
	call.body = str_buf(&items);
	call.show_upload = !ctl->json;
	code = ctl_call_print(ctl, &call);
	return code == EXIT_OK && ctl->wait ? show_job(ctl, ctl->key) : code;
}

int ctl_job_status(ctl_t *ctl)
{
	return ctl->words[2] ? show_job(ctl, ctl->words[2]) : fail_missing("a job id");
}

/* Prints a page of results as JSON lines; *lines: their number. */
static int print_page(ctl_t *ctl, const char *id, int first, int *lines)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s/results?first=%d&max=%d", id, first,
		 RESULTS_PAGE);
	st = ctl_call(ctl, &call, &body, &http);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &body);
	*lines = 0;
	for (size_t i = 0; i < body.n; i++)
		*lines += body.p[i] == '\n';
	if (body.n)
		fwrite(body.p, 1, body.n, stdout);
	return EXIT_OK;
}

int ctl_job_results(ctl_t *ctl)
{
	int first = 0;
	int lines = 0;
	int code = EXIT_OK;

	if (!ctl->words[2])
		return fail_missing("a job id");
	do {
		code = print_page(ctl, ctl->words[2], first, &lines);
		first += lines;
	} while (code == EXIT_OK && lines == RESULTS_PAGE);
	return code;
}

int ctl_job_cancel(ctl_t *ctl)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "DELETE", .path = path};

	if (!ctl->words[2])
		return fail_missing("a job id");
	snprintf(path, sizeof(path), "/v1/jobs/%s", ctl->words[2]);
	return ctl_call_print(ctl, &call);
}

int ctl_job_list(ctl_t *ctl)
{
	ctl_call_t call = {.method = "GET", .path = "/v1/jobs"};

	return ctl_call_print(ctl, &call);
}
