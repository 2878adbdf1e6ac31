#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/args.h"
#include "base/utf8.h"
#include "ctl/ctl.h"

#define PATH_BYTES 1024

typedef struct {
	buf_t partial; /* line not yet complete */
	bool print_json;
} printer_t;

static void print_event(const printer_t *p, str_t line)
{
	json_t *o;
	const char *text;

	if (!str_starts(line, STR("data: ")))
		return;
	if (p->print_json) {
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

static void on_chunk(void *ctx, str_t chunk)
{
	printer_t *p = ctx;
	char *end;

	buf_add(&p->partial, chunk);
	while ((end = memchr(p->partial.p, '\n', p->partial.n))) {
		size_t n = (size_t)(end - p->partial.p);

		print_event(p, (str_t){p->partial.p, n});
		buf_drop_front(&p->partial, n + 1);
	}
}

static int send_plain(ctl_t *ctl)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "POST", .path = path, .idempotency_key = ctl->key};

	snprintf(path, sizeof(path), "/v1/services/%s/%s", ctl->service, ctl->path);
	call.body = str_c(ctl->prompt ? ctl->prompt : "{}");
	return ctl_call_print(ctl, &call);
}

int ctl_request_send(ctl_t *ctl)
{
	printer_t printer = {.print_json = ctl->json};
	ctl_call_t call = {.method = "POST",
			   .path = "/v1/completions",
			   .idempotency_key = ctl->key,
			   .on_chunk = on_chunk,
			   .ctx = &printer};
	AUTO_BUF answer = {0};
	char *body;
	long http = 0;
	status_t st;
	json_t *o;

	if (!ctl->service || (!ctl->prompt && !ctl->path)) {
		fprintf(stderr, "auburnctl: --service and --prompt (or --path) are needed\n");
		return EXIT_USAGE;
	}
	if (ctl->path)
		return send_plain(ctl);
	if (!utf8_is_valid(str_c(ctl->service)) || !utf8_is_valid(str_c(ctl->prompt))) {
		fprintf(stderr, "auburnctl: --service and --prompt must be UTF-8\n");
		return EXIT_USAGE;
	}
	o = json_pack("{s:s,s:s,s:i,s:b}", "model", ctl->service, "prompt", ctl->prompt,
		      "max_tokens", ctl->max_tokens ? ctl->max_tokens : 64, "stream", 1);
	body = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	call.body = str_c(body);
	st = ctl_call(ctl, &call, &answer, &http);
	free(body);
	buf_free(&printer.partial);
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &answer);
	putchar('\n');
	return EXIT_OK;
}

int ctl_request_show(ctl_t *ctl)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path};

	if (!ctl->words[2]) {
		fprintf(stderr, "auburnctl: a key is missing\n");
		return EXIT_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/requests/%s", ctl->words[2]);
	return ctl_call_print(ctl, &call);
}
