#include <stdio.h>
#include <string.h>
#include "base/ar.h"
#include "base/clk.h"
#include "ctl/ct.h"

#define PATH_BYTES   1024
#define POLL_MS	     500
#define RESULTS_PAGE 1000

static int needs(const char *what)
{
	fprintf(stderr, "auburnctl: %s is missing\n", what);
	return AR_USAGE;
}

static int fetch_job(ct_t *ct, const char *id, json_t **out)
{
	char path[PATH_BYTES];
	ct_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	st = ct_call(ct, &call, &body, &http);
	if (st != ST_OK || http != 200)
		return ct_show_error(st, http, &body);
	*out = json_loadb(body.p, body.n, 0, NULL);
	return AR_OK;
}

static json_int_t number_of(const json_t *o, const char *key)
{
	return json_integer_value(json_object_get(o, key));
}

static void print_job(const ct_t *ct, const json_t *o)
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

static int show_job(ct_t *ct, const char *id)
{
	json_t *o = NULL;
	int code = fetch_job(ct, id, &o);

	while (code == AR_OK && ct->wait && !is_over(o)) {
		fprintf(stderr, "\r%lld of %lld items done", (long long)number_of(o, "done"),
			(long long)number_of(o, "count"));
		json_decref(o);
		o = NULL;
		clk_sleep_ms(POLL_MS);
		code = fetch_job(ct, id, &o);
	}
	if (ct->wait)
		fputc('\n', stderr);
	if (code == AR_OK)
		print_job(ct, o);
	json_decref(o);
	return code;
}

int ct_job_submit(ct_t *ct)
{
	AUTO_BUF items = {0};
	char path[PATH_BYTES];
	ct_call_t call = {.method = "POST", .path = path, .idempotency_key = ct->key};
	int code;

	if (!ct->words[2] || !ct->service || !ct->key)
		return needs("a file, --service or --key");
	if (ct_read_file(ct->words[2], &items) != ST_OK) {
		fprintf(stderr, "auburnctl: %s\n", st_message());
		return AR_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/jobs?service=%s&deadline_ms=%d", ct->service,
		 ct->deadline_ms ? ct->deadline_ms : 24 * 3600 * 1000);
	call.body = str_buf(&items);
	call.show_upload = !ct->json;
	code = ct_call_print(ct, &call);
	return code == AR_OK && ct->wait ? show_job(ct, ct->key) : code;
}

int ct_job_status(ct_t *ct)
{
	return ct->words[2] ? show_job(ct, ct->words[2]) : needs("a job");
}

/* Prints a page of JSON lines; gives the number of lines. */
static int print_page(ct_t *ct, const char *id, int first, int *lines)
{
	char path[PATH_BYTES];
	ct_call_t call = {.method = "GET", .path = path};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;

	snprintf(path, sizeof(path), "/v1/jobs/%s/results?first=%d&max=%d", id, first,
		 RESULTS_PAGE);
	st = ct_call(ct, &call, &body, &http);
	if (st != ST_OK || http != 200)
		return ct_show_error(st, http, &body);
	*lines = 0;
	for (size_t i = 0; i < body.n; i++)
		*lines += body.p[i] == '\n';
	if (body.n)
		fwrite(body.p, 1, body.n, stdout);
	return AR_OK;
}

int ct_job_results(ct_t *ct)
{
	int first = 0;
	int lines = 0;
	int code = AR_OK;

	if (!ct->words[2])
		return needs("a job");
	do {
		code = print_page(ct, ct->words[2], first, &lines);
		first += lines;
	} while (code == AR_OK && lines == RESULTS_PAGE);
	return code;
}

int ct_job_cancel(ct_t *ct)
{
	char path[PATH_BYTES];
	ct_call_t call = {.method = "DELETE", .path = path};

	if (!ct->words[2])
		return needs("a job");
	snprintf(path, sizeof(path), "/v1/jobs/%s", ct->words[2]);
	return ct_call_print(ct, &call);
}

int ct_job_list(ct_t *ct)
{
	ct_call_t call = {.method = "GET", .path = "/v1/jobs"};

	return ct_call_print(ct, &call);
}
