#include <stdio.h>
#include <string.h>
#include "base/ar.h"
#include "client/rc.h"
#include "ctl/ct.h"

#define PATH_BYTES 128

static status_t read_text(ct_t *ct, buf_t *text)
{
	if (!ct->words[2])
		return st_fail(ST_INVALID, "config %s needs a file", ct->words[1]);
	return ct_read_file(ct->words[2], text);
}

int ct_config_check(ct_t *ct)
{
	AUTO_BUF text = {0};
	AUTO_RU *routes = NULL;
	status_t st = read_text(ct, &text);

	if (st == ST_OK)
		st = rc_decode(str_buf(&text), 0, &routes);
	if (st != ST_OK) {
		fprintf(stderr, "auburnctl: %s\n", st_message());
		return AR_FAILED;
	}
	puts("ok");
	return AR_OK;
}

/* The text in force and its number; number 0 when there is none. */
static int fetch(ct_t *ct, int number, buf_t *text, json_int_t *got)
{
	char path[PATH_BYTES];
	ct_call_t call = {.method = "GET", .path = path, .as_operator = true};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;
	json_t *o;

	snprintf(path, sizeof(path), number ? "/v1/config?number=%d" : "/v1/config", number);
	*got = 0;
	st = ct_call(ct, &call, &body, &http);
	if (st == ST_OK && http == 404 && !number)
		return AR_OK;
	if (st != ST_OK || http != 200)
		return ct_show_error(st, http, &body);
	o = json_loadb(body.p, body.n, 0, NULL);
	*got = json_integer_value(json_object_get(o, "number"));
	if (json_is_string(json_object_get(o, "text")))
		buf_add(text, str_c(json_string_value(json_object_get(o, "text"))));
	json_decref(o);
	return AR_OK;
}

int ct_config_submit(ct_t *ct)
{
	AUTO_BUF text = {0};
	AUTO_BUF old = {0};
	char path[PATH_BYTES];
	ct_call_t call = {.method = "PUT", .path = path, .as_operator = true};
	json_int_t in_force = 0;
	int number = ct->number;

	if (read_text(ct, &text) != ST_OK) {
		fprintf(stderr, "auburnctl: %s\n", st_message());
		return AR_USAGE;
	}
	if (number == 0) {
		int code = fetch(ct, 0, &old, &in_force);

		if (code != AR_OK)
			return code;
		number = (int)in_force + 1;
	}
	snprintf(path, sizeof(path), "/v1/config?number=%d", number);
	call.body = str_buf(&text);
	return ct_call_print(ct, &call);
}

int ct_config_show(ct_t *ct)
{
	AUTO_BUF text = {0};
	json_int_t number = 0;
	int code = fetch(ct, ct->number, &text, &number);

	if (code != AR_OK)
		return code;
	if (ct->json) {
		json_t *o = json_pack("{s:I,s:s}", "number", number, "text", text.p ? text.p : "");

		json_dumpf(o, stdout, JSON_COMPACT);
		putchar('\n');
		json_decref(o);
		return AR_OK;
	}
	printf("# number %lld\n%s", (long long)number, text.p ? text.p : "");
	return AR_OK;
}

static str_t next_line(str_t *rest)
{
	const char *end = rest->n ? memchr(rest->p, '\n', rest->n) : NULL;
	size_t n = end ? (size_t)(end - rest->p) : rest->n;
	str_t line = {rest->p, n};

	n += end != NULL;
	rest->p += n;
	rest->n -= n;
	return line;
}

static bool has_line(str_t text, str_t line)
{
	while (text.n) {
		if (str_eq(next_line(&text), line))
			return true;
	}
	return false;
}

static void print_missing(char mark, str_t from, str_t in)
{
	while (from.n) {
		str_t line = next_line(&from);

		if (line.n && !has_line(in, line))
			printf("%c %.*s\n", mark, STR_ARG(line));
	}
}

/* Lines that only one of the two texts has. */
int ct_config_diff(ct_t *ct)
{
	AUTO_BUF text = {0};
	AUTO_BUF in_force = {0};
	json_int_t number = 0;
	int code;

	if (read_text(ct, &text) != ST_OK) {
		fprintf(stderr, "auburnctl: %s\n", st_message());
		return AR_USAGE;
	}
	code = fetch(ct, ct->number, &in_force, &number);
	if (code != AR_OK)
		return code;
	print_missing('-', str_buf(&in_force), str_buf(&text));
	print_missing('+', str_buf(&text), str_buf(&in_force));
	return AR_OK;
}
