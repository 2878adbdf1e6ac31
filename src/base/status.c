#include "base/status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_BYTES 512

static _Thread_local char last_message[MESSAGE_BYTES];

static const char *const status_names[STATUS_COUNT] = {
	[STATUS_OK] = "ok",
	[STATUS_INVALID] = "invalid",
	[STATUS_NOT_FOUND] = "not_found",
	[STATUS_CONFLICT] = "conflict",
	[STATUS_UNAVAILABLE] = "unavailable",
	[STATUS_TIMEOUT] = "timeout",
	[STATUS_NOT_LEADER] = "not_leader",
	[STATUS_IO] = "io",
	[STATUS_CORRUPT] = "corrupt",
	[STATUS_LIMIT] = "limit",
	[STATUS_CANCELLED] = "cancelled",
};

static const char *const verdict_names[VERDICT_COUNT] = {
	[VERDICT_NOT_RUN] = "not_run",
	[VERDICT_MAY_HAVE_RUN] = "may_have_run",
	[VERDICT_RAN] = "ran",
};

const char *status_name(status_t st)
{
	assert(st < STATUS_COUNT);
	return status_names[st];
}

const char *verdict_name(verdict_t v)
{
	assert(v < VERDICT_COUNT);
	return verdict_names[v];
}

status_t status_fail(status_t st, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return st;
}

const char *status_message(void)
{
	return last_message;
}
