#include "base/tr.h"

#include <stdio.h>
#include <string.h>
#include <sodium.h>
#include "base/clk.h"
#include "base/lg.h"

/* "00-" trace "-" span "-01" */
#define TRACEPARENT_LEN 55
#define TRACE_AT	3
#define SPAN_AT		36

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

static bool parse_parent(tr_span_t *sp, str_t tp)
{
	if (tp.n != TRACEPARENT_LEN || tp.p[2] != '-' || tp.p[35] != '-' || tp.p[52] != '-')
		return false;
	if (!is_hex((str_t){tp.p + TRACE_AT, 32}) || !is_hex((str_t){tp.p + SPAN_AT, 16}))
		return false;
	memcpy(sp->trace, tp.p + TRACE_AT, 32);
	memcpy(sp->parent, tp.p + SPAN_AT, 16);
	return true;
}

void tr_begin(tr_span_t *sp, const char *name, str_t traceparent)
{
	memset(sp, 0, sizeof(*sp));
	if (!parse_parent(sp, traceparent))
		random_hex(sp->trace, 16);
	random_hex(sp->span, 8);
	sp->name = name;
	sp->start_us = clk_now_us();
}

void tr_parent(const tr_span_t *sp, char out[TR_PARENT_BYTES])
{
	snprintf(out, TR_PARENT_BYTES, "00-%s-%s-01", sp->trace, sp->span);
}

void tr_end(const tr_span_t *sp, str_t key, const char *outcome)
{
	lg(LG_INFO, "span", LG_C("name", sp->name), LG_C("trace", sp->trace),
	   LG_C("span", sp->span), LG_C("parent", sp->parent), LG_S("key", key),
	   LG_C("outcome", outcome), LG_I("us", clk_now_us() - sp->start_us));
}
