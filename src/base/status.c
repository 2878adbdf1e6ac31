#include "base/status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static _Thread_local char last_message[MESSAGE_BYTES];

static const char *const status_names[ST_COUNT] = {
	[ST_OK] = "ok",
	[ST_INVALID] = "invalid",
	[ST_NOT_FOUND] = "not_found",
	[ST_CONFLICT] = "conflict",
	[ST_UNAVAILABLE] = "unavailable",
	[ST_TIMEOUT] = "timeout",
	[ST_NOT_LEADER] = "not_leader",
	[ST_IO] = "io",
	[ST_CORRUPT] = "corrupt",
	[ST_LIMIT] = "limit",
	[ST_CANCELLED] = "cancelled",
};

static const char *const verdict_names[VERDICT_COUNT] = {
	[VERDICT_NOT_RUN] = "not_run",
	[VERDICT_MAY_HAVE_RUN] = "may_have_run",
	[VERDICT_RAN] = "ran",
};

const char *st_name(status_t st)
{
	assert(st < ST_COUNT);
	return status_names[st];
}

const char *verdict_name(verdict_t v)
{
	assert(v < VERDICT_COUNT);
	return verdict_names[v];
}

status_t st_fail(status_t st, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return st;
}

const char *st_message(void)
{
	return last_message;
}
