#include "entry/filter.h"

#include "entry/plain_call.h"

#define IN_PROGRESS_RETRY_AFTER_MS 1000
#define NOT_RUN_RETRY_AFTER_MS	   1000

void filter_plain(filter_call_t *c, const filter_step_t *next)
{
	char trace[TRACE_PARENT_BYTES];
	plain_call_end_t end = {0};
	plain_call_t call = {.caller = c->caller,
			     .key = str_c(c->key),
			     .service = c->service->name,
			     .repeatable = c->service->repeatable,
			     .path = c->upstream_path,
			     .body = httpd_body(c->req),
			     .deadline = c->deadline};
	status_t st;

	trace_parent(&c->span, trace);
	call.trace = str_c(trace);
	atomic_fetch_add(&c->en->running_requests, 1);
	st = plain_call_run(c->en, &call, &end);
	atomic_fetch_sub(&c->en->running_requests, 1);
	if (st != STATUS_OK)
		httpd_error(c->res, 409, "in_progress",
			    STR("another attempt with this key may have been run"),
			    VERDICT_MAY_HAVE_RUN, IN_PROGRESS_RETRY_AFTER_MS);
	else if (end.done)
		httpd_json(c->res, end.http_status, str_buf(&end.result));
	else
		httpd_error_json(c->res, end.http_status, str_buf(&end.result),
				 end.verdict == VERDICT_NOT_RUN ? NOT_RUN_RETRY_AFTER_MS : 0);
	trace_end(&c->span, str_c(c->key), end.done ? "done" : end.code ? end.code : "in_progress");
	buf_free(&end.result);
}
