#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/args.h"
#include "ctl/ctl.h"

#define PATH_BYTES 1024

typedef struct {
	buf_t rest;
	bool raw;
} printer_t;

static void print_event(const printer_t *p, str_t line)
{
	json_t *o;
	const char *text;

	if (!str_starts(line, STR("data: ")))
		return;
	if (p->raw) {
		printf("%.*s\n", (int)(line.n - 6), line.p + 6);
		return;
	}
	o = json_loadb(line.p + 6, line.n - 6, 0, NULL);
	text = json_string_value(
		json_object_get(json_array_get(json_object_get(o, "choices"), 0), "text"));
	if (text)
		fputs(text, stdout);
	fflush(stdout);
	json_decref(o);
}

static void on_piece(void *ctx, str_t piece)
{
	printer_t *p = ctx;
	char *end;

	buf_add(&p->rest, piece);
	while ((end = memchr(p->rest.p, '\n', p->rest.n))) {
		size_t n = (size_t)(end - p->rest.p);

		print_event(p, (str_t){p->rest.p, n});
		buf_drop_front(&p->rest, n + 1);
	}
}

static int call_plain(ctl_t *ct)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "POST", .path = path, .idempotency_key = ct->key};

	snprintf(path, sizeof(path), "/v1/services/%s/%s", ct->service, ct->path);
	call.body = str_c(ct->prompt ? ct->prompt : "{}");
	return ctl_call_print(ct, &call);
}

int ctl_request_send(ctl_t *ct)
{
	printer_t printer = {.raw = ct->json};
	ctl_call_t call = {.method = "POST",
			   .path = "/v1/completions",
			   .idempotency_key = ct->key,
			   .on_piece = on_piece,
			   .ctx = &printer};
	AUTO_BUF answer = {0};
	char *body;
	long http = 0;
	status_t st;
	json_t *o;

	if (!ct->service || (!ct->prompt && !ct->path)) {
		fprintf(stderr, "auburnctl: --service and --prompt (or --path) are needed\n");
		return EXIT_USAGE;
	}
	if (ct->path)
		return call_plain(ct);
	o = json_pack("{s:s,s:s,s:i,s:b}", "model", ct->service, "prompt", ct->prompt, "max_tokens",
		      ct->max_tokens ? ct->max_tokens : 64, "stream", 1);
	body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	call.body = str_c(body);
	st = ctl_call(ct, &call, &answer, &http);
	free(body);
	buf_free(&printer.rest);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &answer);
	putchar('\n');
	return EXIT_OK;
}

int ctl_request_show(ctl_t *ct)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};

	if (!ct->words[2]) {
		fprintf(stderr, "auburnctl: a key is missing\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/requests/%s", ct->words[2]);
	return ctl_call_print(ct, &call);
}
