#include "base/trace.h"

#include <stdio.h>
#include <string.h>
#include <sodium.h>
#include "base/clock.h"
#include "base/log.h"

/* Layout of the header: "00-" trace "-" span "-01". */
#define TRACEPARENT_LEN 55
#define TRACE_OFFSET	3
#define SPAN_OFFSET	36

static bool is_hex(str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		char c = s.p[i];

		if (!((c >= '0' && c <= '9') || (c >= 'a' && c <= 'f')))
			return false;
	}
	return true;
}

static void random_hex(char *out, size_t bytes)
{
	unsigned char raw[16];

	randombytes_buf(raw, bytes);
	sodium_bin2hex(out, bytes * 2 + 1, raw, bytes);
}

static bool parse_traceparent(trace_span_t *sp, str_t tp)
{
	if (tp.n != TRACEPARENT_LEN || tp.p[2] != '-' || tp.p[35] != '-' || tp.p[52] != '-')
		return false;
	if (!is_hex((str_t){tp.p + TRACE_OFFSET, 32}) || !is_hex((str_t){tp.p + SPAN_OFFSET, 16}))
		return false;
	memcpy(sp->trace, tp.p + TRACE_OFFSET, 32);
	memcpy(sp->parent, tp.p + SPAN_OFFSET, 16);
	return true;
}

void trace_begin(trace_span_t *sp, const char *name, str_t traceparent)
{
	memset(sp, 0, sizeof(*sp));
	if (!parse_traceparent(sp, traceparent))
		random_hex(sp->trace, 16);
	random_hex(sp->span, 8);
	sp->name = name;
	sp->start_us = clock_now_us();
}

void trace_parent(const trace_span_t *sp, char out[TRACE_PARENT_BYTES])
{
	snprintf(out, TRACE_PARENT_BYTES, "00-%s-%s-01", sp->trace, sp->span);
}

void trace_end(const trace_span_t *sp, str_t key, const char *outcome)
{
	log_event(LOG_LEVEL_INFO, "span", LOG_CSTR("name", sp->name), LOG_CSTR("trace", sp->trace),
		  LOG_CSTR("span", sp->span), LOG_CSTR("parent", sp->parent), LOG_STR("key", key),
		  LOG_CSTR("outcome", outcome), LOG_INT("us", clock_now_us() - sp->start_us));
}
