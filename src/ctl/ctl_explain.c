#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/args.h"
#include "client/control_client.h"
#include "ctl/ctl.h"

#define CONTROL_TIMEOUT_MS    2000
#define LINES_PER_PROCESS_MAX 500
#define PATH_BYTES	      512
#define TRACE_CHARS	      32

typedef struct {
	char **v;
	size_t n;
} lines_t;

static void add_lines(lines_t *l, str_t text)
{
	while (text.n) {
		const char *end = memchr(text.p, '\n', text.n);
		size_t n = end ? (size_t)(end - text.p) : text.n;

		l->v = mem_grow(l->v, (l->n + 1) * sizeof(*l->v));
		l->v[l->n++] = str_dup((str_t){text.p, n});
		n += end != NULL;
		text.p += n;
		text.n -= n;
	}
}

static void collect_from_entries(ctl_t *ctl, const char *needle, lines_t *l)
{
	char path[PATH_BYTES];
	ctl_call_t call = {.method = "GET", .path = path, .as_operator = true};
	toml_strs_t addrs;

	snprintf(path, sizeof(path), "/v1/events?key=%s&max=%d", needle, LINES_PER_PROCESS_MAX);
	ctl_list_entries(ctl, &addrs);
	for (size_t i = 0; i < addrs.n; i++) {
		AUTO_BUF body = {0};
		long http = 0;

		if (ctl_call_entry(ctl, addrs.v[i], &call, &body, &http) == STATUS_OK &&
		    http == 200)
			add_lines(l, str_buf(&body));
		else
			fprintf(stderr, "auburnctl: entry %s did not return its log lines\n",
				addrs.v[i]);
	}
	toml_strs_free(&addrs);
}

static void collect_from_controls(ctl_t *ctl, const char *needle, lines_t *l)
{
	control_client_t *cc;

	if (ctl->settings.controls.n == 0)
		return;
	cc = control_client_new((const char *const *)ctl->settings.controls.v,
				ctl->settings.controls.n, 1);
	for (size_t i = 0; i < ctl->settings.controls.n; i++) {
		AUTO_BUF text = {0};

		if (control_client_events(cc, i, str_c(needle), LINES_PER_PROCESS_MAX, &text,
					  clock_now_ms() + CONTROL_TIMEOUT_MS) == STATUS_OK)
			add_lines(l, str_buf(&text));
		else
			fprintf(stderr, "auburnctl: control %s did not return its log lines\n",
				ctl->settings.controls.v[i]);
	}
	control_client_free(cc);
}

/* Lines begin with t=MS, so that their text order is their order in time. */
static int compare_lines(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static bool has_line(const lines_t *l, const char *line)
{
	for (size_t i = 0; i < l->n; i++) {
		if (strcmp(l->v[i], line) == 0)
			return true;
	}
	return false;
}

/* Adds the newest log lines that contain needle (a key or a trace id), from each entry and from
 * each control process in the settings, unless they are in l already. */
static void collect_lines(ctl_t *ctl, const char *needle, lines_t *l)
{
	lines_t found = {0};

	collect_from_entries(ctl, needle, &found);
	collect_from_controls(ctl, needle, &found);
	for (size_t i = 0; i < found.n; i++) {
		if (!has_line(l, found.v[i]))
			add_lines(l, str_c(found.v[i]));
		free(found.v[i]);
	}
	free(found.v);
}

/* Prints the lines in order of time, frees them and returns the exit code. */
static int print_lines(lines_t *l, const char *needle)
{
	if (l->n)
		qsort(l->v, l->n, sizeof(*l->v), compare_lines);
	for (size_t i = 0; i < l->n; i++) {
		puts(l->v[i]);
		free(l->v[i]);
	}
	free(l->v);
	if (l->n)
		return EXIT_OK;
	fprintf(stderr, "auburnctl: no process has log lines about %s\n", needle);
	return EXIT_FAILED;
}

int ctl_trace(ctl_t *ctl)
{
	lines_t l = {0};

	if (!ctl->words[1]) {
		fprintf(stderr, "auburnctl: a trace id is missing\n");
		return EXIT_USAGE;
	}
	collect_lines(ctl, ctl->words[1], &l);
	return print_lines(&l, ctl->words[1]);
}

/* Adds the lines of the traces that the lines in l name: some spans of a trace are logged without
 * the key. A trace id equal to the one before it is skipped. */
static void add_trace_lines(ctl_t *ctl, lines_t *l)
{
	char last_id[TRACE_CHARS + 1] = "";
	size_t n = l->n;

	for (size_t i = 0; i < n; i++) {
		const char *at = strstr(l->v[i], " trace=");
		char id[TRACE_CHARS + 1];

		if (!at || strlen(at + 7) < TRACE_CHARS)
			continue;
		snprintf(id, sizeof(id), "%s", at + 7);
		if (strcmp(id, last_id) == 0)
			continue;
		memcpy(last_id, id, sizeof(last_id));
		collect_lines(ctl, id, l);
	}
}

int ctl_explain(ctl_t *ctl)
{
	lines_t l = {0};

	if (!ctl->words[1]) {
		fprintf(stderr, "auburnctl: a key is missing\n");
		return EXIT_USAGE;
	}
	collect_lines(ctl, ctl->words[1], &l);
	add_trace_lines(ctl, &l);
	return print_lines(&l, ctl->words[1]);
}
