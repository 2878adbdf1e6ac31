#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "base/clock.h"
#include "ctl/ctl.h"

#define PATH_BYTES   1024
#define POLL_MS	     500
#define RESULTS_PAGE 1000

static int needs(const char *what)
{
	fprintf(stderr, "auburnctl: %s is missing\n", what);
	return EXIT_USAGE;
}

static int fetch_job(ctl_t *ct, const char *id, json_t **out)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	st = ctl_call(ct, &call, &body, &http);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &body);
	*out = json_loadb(body.p, body.n, 0, NULL);
	return EXIT_OK;
}

static json_int_t number_of(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static void print_job(const ctl_t *ct, const json_t *o)
{
	if (ct->json) {
		json_dumpf(o, stdout, JSON_COMPACT);
		putchar('\n');
		return;
	}
	printf("%s %s: %lld items, %lld waiting, %lld leased, %lld done, %lld failed, %lld "
	       "dropped\n",
	       json_string_value(json_object_get(o, "job")),
	       json_string_value(json_object_get(o, "state")), (long long)number_of(o, "count"),
	       (long long)number_of(o, "waiting"), (long long)number_of(o, "leased"),
	       (long long)number_of(o, "done"), (long long)number_of(o, "failed"),
	       (long long)number_of(o, "dropped"));
}

static bool is_over(const json_t *o)
{
	return number_of(o, "done") + number_of(o, "failed") + number_of(o, "dropped") ==
	       number_of(o, "count");
}

static int show_job(ctl_t *ct, const char *id)
{
	json_t *o = NULL;
	int code = fetch_job(ct, id, &o);

	while (code == EXIT_OK && ct->wait && !is_over(o)) {
		fprintf(stderr, "\r%lld of %lld items done", (long long)number_of(o, "done"),
			(long long)number_of(o, "count"));
		json_decref(o);
		o = NULL;
		clock_sleep_ms(POLL_MS);
		code = fetch_job(ct, id, &o);
	}
	if (ct->wait)
		fputc('\n', stderr);
	if (code == EXIT_OK)
		print_job(ct, o);
	json_decref(o);
	return code;
}

int ctl_job_submit(ctl_t *ct)
{
	AUTO_BUF items = {0};
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "POST", .path = path, .idempotency_key = ct->key};
	int code;

	if (!ct->words[2] || !ct->service || !ct->key)
		return needs("a file, --service or --key");
	if (ctl_read_file(ct->words[2], &items) != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/jobs?service=%s&deadline_ms=%d", ct->service,
		 ct->deadline_ms ? ct->deadline_ms : 24 * 3600 * 1000);
	call.body = str_buf(&items);
	call.show_upload = !ct->json;
	code = ctl_call_print(ct, &call);
	return code == EXIT_OK && ct->wait ? show_job(ct, ct->key) : code;
}

int ctl_job_status(ctl_t *ct)
{
	return ct->words[2] ? show_job(ct, ct->words[2]) : needs("a job");
}

/* Prints a page of JSON lines; gives the number of lines. */
static int print_page(ctl_t *ct, const char *id, int first, int *lines)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s/results?first=%d&max=%d", id, first,
		 RESULTS_PAGE);
	st = ctl_call(ct, &call, &body, &http);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &body);
	*lines = 0;
	for (size_t i = 0; i < body.n; i++)
		*lines += body.p[i] == '\n';
	if (body.n)
		fwrite(body.p, 1, body.n, stdout);
	return EXIT_OK;
}

int ctl_job_results(ctl_t *ct)
{
	int first = 0;
	int lines = 0;
	int code = EXIT_OK;

	if (!ct->words[2])
		return needs("a job");
	do {
		code = print_page(ct, ct->words[2], first, &lines);
		first += lines;
	} while (code == EXIT_OK && lines == RESULTS_PAGE);
	return code;
}

int ctl_job_cancel(ctl_t *ct)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "DELETE", .path = path};

	if (!ct->words[2])
		return needs("a job");
	snprintf(path, sizeof(path), "/v1/jobs/%s", ct->words[2]);
	return ctl_call_print(ct, &call);
}

int ctl_job_list(ctl_t *ct)
{
	ctl_call_t call = {.method = "GET", .path = "/v1/jobs"};

	return ctl_call_print(ct, &call);
}
