/** auburnctl: declarations shared by its files. */
#ifndef AUBURN_CTL_H
#define AUBURN_CTL_H

#include <jansson.h>
#include "base/toml.h"
#include "base/status.h"
#include "base/str.h"

typedef struct {
	toml_strs_t entries; /* ip:port of entries to start from */
	toml_strs_t controls; /* ip:port of control processes */
	char *key; /* caller's bearer key */
	char *operator_key; /* operator's bearer key */
} ctl_settings_t;

/** Settings, and the options and words of the command line. */
typedef struct {
	ctl_settings_t settings;
	const char *words[4]; /* NULL-terminated: group, action if the group has any, argument */
	const char *service; /* from here on: options, NULL or 0 if absent */
	const char *key;
	const char *prompt;
	const char *path;
	int number;
	int max_tokens;
	int deadline_ms;
	bool json;
	bool wait;
} ctl_t;

/** Runs one command and returns the exit code. */
typedef int (*ctl_command_t)(ctl_t *ctl);

int ctl_config_check(ctl_t *ctl);
int ctl_config_submit(ctl_t *ctl);
int ctl_config_show(ctl_t *ctl);
int ctl_config_diff(ctl_t *ctl);
int ctl_job_submit(ctl_t *ctl);
int ctl_job_status(ctl_t *ctl);
int ctl_job_results(ctl_t *ctl);
int ctl_job_cancel(ctl_t *ctl);
int ctl_job_list(ctl_t *ctl);
int ctl_request_send(ctl_t *ctl);
int ctl_request_show(ctl_t *ctl);
int ctl_status(ctl_t *ctl);
int ctl_trace(ctl_t *ctl);
int ctl_explain(ctl_t *ctl);

status_t ctl_settings_load(const char *path, ctl_settings_t *s);

/* ---- ctl_http.c: calls to entries ---- */

typedef struct {
	const char *method;
	const char *path;
	str_t body;
	bool as_operator;
	const char *idempotency_key; /* may be NULL */
	bool show_upload; /* print upload progress on standard error */
	/** Called with each part of the body of a 200 response, which is not stored then; may be
	 * NULL. */
	void (*on_chunk)(void *ctx, str_t chunk);
	void *ctx;
} ctl_call_t;

/** Sends the call to the entries in turn, for some rounds, until one replies with a status other
 * than 503. *http: status code of the last reply. STATUS_UNAVAILABLE: no complete reply from the
 * last entry. */
status_t ctl_call(ctl_t *ctl, const ctl_call_t *call, buf_t *out, long *http);
/** Sends the call to one entry. *http: status code of its reply; 0 if there was none.
 * STATUS_UNAVAILABLE: no complete reply. */
status_t ctl_call_entry(ctl_t *ctl, const char *addr, const ctl_call_t *call, buf_t *out,
			long *http);
/** Addresses of the entries: those that the first answering entry of the settings lists at
 * GET /v1/addresses, else those of the settings. */
void ctl_list_entries(ctl_t *ctl, toml_strs_t *out);
/** Prints the failure of a call, or its error response, and returns the exit code. */
int ctl_print_error(status_t st, long http, const buf_t *body);
/** Sends the call, prints the body of the response, or the failure, and returns the exit code. */
int ctl_call_print(ctl_t *ctl, const ctl_call_t *call);
/** Reads a file, "-" for standard input. */
status_t ctl_read_file(const char *path, buf_t *out);

#endif
