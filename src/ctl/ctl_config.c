#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "client/routes_decode.h"
#include "ctl/ctl.h"
#include "state/config.h"

#define PATH_BYTES 128

static status_t read_config_file(ctl_t *ctl, buf_t *text)
{
	if (!ctl->words[2])
		return status_fail(STATUS_INVALID, "config %s needs a file", ctl->words[1]);
	return ctl_read_file(ctl->words[2], text);
}

int ctl_config_check(ctl_t *ctl)
{
	AUTO_BUF text = {0};
	AUTO_ROUTE_TABLE *routes = NULL;
	status_t st = read_config_file(ctl, &text);

	if (st == STATUS_OK)
		st = routes_decode(str_buf(&text), 0, &routes);
	if (st != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_FAILED;
	}
	puts("ok");
	return EXIT_OK;
}

/* Fetches the config with this number, or the one in force if number is 0. *found: its number; 0 if
 * none is in force, which is no error. */
static int fetch_config(ctl_t *ctl, int number, buf_t *text, json_int_t *found)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path, .as_operator = true};
	AUTO_BUF body = {0};
	long http = 0;
	status_t st;
	json_t *o;

	snprintf(path, sizeof(path), number ? "/v1/config?number=%d" : "/v1/config", number);
	*found = 0;
	st = ctl_call(ctl, &call, &body, &http);
	if (st == STATUS_OK && http == 404 && !number)
		return EXIT_OK;
	if (st != STATUS_OK || http != 200)
		return ctl_print_error(st, http, &body);
	o = json_loadb(body.p, body.n, 0, NULL);
	*found = json_integer_value(json_object_get(o, "number"));
	if (json_is_string(json_object_get(o, "text")))
		buf_add(text, str_c(json_string_value(json_object_get(o, "text"))));
	json_decref(o);
	return EXIT_OK;
}

int ctl_config_submit(ctl_t *ctl)
{
	AUTO_BUF text = {0};
	AUTO_BUF old = {0};
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "PUT", .path = path, .as_operator = true};
	json_int_t in_force = 0;
	int number = ctl->number;

	if (read_config_file(ctl, &text) != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_USAGE;
	}
	if (number == 0) {
		int code = fetch_config(ctl, 0, &old, &in_force);

		if (code != EXIT_OK)
			return code;
		number = (int)in_force + 1;
	}
	snprintf(path, sizeof(path), "/v1/config?number=%d", number);
	call.body = str_buf(&text);
	return ctl_call_print(ctl, &call);
}

int ctl_config_show(ctl_t *ctl)
{
	AUTO_BUF with_keys = {0};
	AUTO_BUF text = {0};
	json_int_t number = 0;
	int code = fetch_config(ctl, ctl->number, &with_keys, &number);

	if (code != EXIT_OK)
		return code;
	config_mask_keys(str_buf(&with_keys), &text);
	if (ctl->json) {
		json_t *o = json_pack("{s:I,s:s}", "number", number, "text", text.p ? text.p : "");

		json_dumpf(o, stdout, JSON_COMPACT);
		putchar('\n');
		json_decref(o);
		return EXIT_OK;
	}
	printf("# number %lld\n%s", (long long)number, text.p ? text.p : "");
	return EXIT_OK;
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

/* Prints the non-empty lines of text that other does not have anywhere, each after mark, with the
 * API keys masked. */
static void print_only_in(char mark, str_t text, str_t other)
{
	AUTO_BUF masked = {0};
	str_t shown;

	config_mask_keys(text, &masked);
	shown = str_buf(&masked);
	while (text.n) {
		str_t line = next_line(&text);
		str_t shown_line = next_line(&shown);

		if (line.n && !has_line(other, line))
			printf("%c %.*s\n", mark, STR_ARG(shown_line));
	}
}

/* Compares the file with the config in force, or with the one of --number: prints the non-empty
 * lines that only one of them has, wherever they stand. */
int ctl_config_diff(ctl_t *ctl)
{
	AUTO_BUF text = {0};
	AUTO_BUF in_force = {0};
	json_int_t number = 0;
	int code;

	if (read_config_file(ctl, &text) != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_USAGE;
	}
	code = fetch_config(ctl, ctl->number, &in_force, &number);
	if (code != EXIT_OK)
		return code;
	print_only_in('-', str_buf(&in_force), str_buf(&text));
	print_only_in('+', str_buf(&text), str_buf(&in_force));
	return EXIT_OK;
}
