/** auburnctl: what its files show each other. */
#ifndef AUBURN_CT_H
#define AUBURN_CT_H

#include <jansson.h>
#include "base/cf.h"
#include "base/status.h"
#include "base/str.h"

typedef struct {
	cf_strs_t entries; /* ip:port of entries to start from */
	cf_strs_t controls; /* ip:port of control processes */
	char *key; /* caller's bearer key */
	char *operator_key; /* operator's bearer key */
} ct_settings_t;

/** Options and words of the command line. */
typedef struct {
	ct_settings_t s;
	const char *words[4]; /* NULL-ended: group, action, argument */
	const char *service;
	const char *key;
	const char *prompt;
	const char *path;
	int number;
	int max_tokens;
	int deadline_ms;
	bool json;
	bool wait;
} ct_t;

/** Runs one command; gives the exit code. */
typedef int (*ct_command_t)(ct_t *ct);

int ct_config_check(ct_t *ct);
int ct_config_submit(ct_t *ct);
int ct_config_show(ct_t *ct);
int ct_config_diff(ct_t *ct);
int ct_job_submit(ct_t *ct);
int ct_job_status(ct_t *ct);
int ct_job_results(ct_t *ct);
int ct_job_cancel(ct_t *ct);
int ct_job_list(ct_t *ct);
int ct_request_send(ct_t *ct);
int ct_request_show(ct_t *ct);
int ct_status(ct_t *ct);
int ct_trace(ct_t *ct);
int ct_explain(ct_t *ct);

status_t ct_settings_load(const char *path, ct_settings_t *s);

/* ct_http.c */
typedef struct {
	const char *method;
	const char *path;
	str_t body;
	bool as_operator;
	const char *idempotency_key; /* may be NULL */
	bool show_upload; /* a progress line on standard error */
	/** Called with each piece of a good answer instead of keeping it; may be NULL. */
	void (*on_piece)(void *ctx, str_t piece);
	void *ctx;
} ct_call_t;

/** Asks the entries in turn, first those that GET /v1/addresses names; *http gets the status code.
 *  ST_UNAVAILABLE when none was reached. */
status_t ct_call(ct_t *ct, const ct_call_t *call, buf_t *out, long *http);
/** The same to one entry only. */
status_t ct_call_at(ct_t *ct, const char *addr, const ct_call_t *call, buf_t *out, long *http);
/** All entries of the fleet that are known: from the view if one answers, else from the settings.
 */
void ct_entries(ct_t *ct, cf_strs_t *out);
/** Prints an error answer and gives the exit code. */
int ct_show_error(status_t st, long http, const buf_t *body);
/** Runs the call, prints the body and gives the exit code. */
int ct_call_print(ct_t *ct, const ct_call_t *call);
/** Reads a file, "-" for standard input. */
status_t ct_read_file(const char *path, buf_t *out);

#endif
