#include "entry/fi.h"

#include "entry/ps.h"

#define IN_PROGRESS_RETRY_MS 1000
#define REFUSED_RETRY_MS     1000

void fi_plain(fi_call_t *c, const fi_step_t *next)
{
	char trace[TR_PARENT_BYTES];
	ps_end_t end = {0};
	ps_call_t call = {.caller = c->caller,
			  .key = str_c(c->key),
			  .service = c->service->name,
			  .repeatable = c->service->repeatable,
			  .path = c->path,
			  .body = hs_body(c->req),
			  .deadline = c->deadline};
	status_t st;

	tr_parent(&c->span, trace);
	call.trace = str_c(trace);
	atomic_fetch_add(&c->en->requests, 1);
	st = ps_run(c->en, &call, &end);
	atomic_fetch_sub(&c->en->requests, 1);
	if (st != ST_OK)
		hs_error(c->res, 409, "in_progress",
			 STR("another attempt of this key was or may be begun"),
			 VERDICT_MAY_HAVE_RUN, IN_PROGRESS_RETRY_MS);
	else if (end.done)
		hs_json(c->res, end.http_status, str_buf(&end.result));
	else
		hs_error_json(c->res, end.http_status, str_buf(&end.result),
			      end.verdict == VERDICT_NOT_RUN ? REFUSED_RETRY_MS : 0);
	tr_end(&c->span, str_c(c->key), end.done ? "done" : end.code ? end.code : "in_progress");
	buf_free(&end.result);
}
