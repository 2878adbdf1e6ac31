/** Trace spans with W3C ids, written as log events; the header `traceparent` carries them from hop
 * to hop. */
#ifndef AUBURN_TRACE_H
#define AUBURN_TRACE_H

#include <stdint.h>
#include "base/str.h"

#define TRACE_PARENT_BYTES 56

typedef struct {
	char trace[33];
	char span[17];
	char parent[17];
	const char *name;
	int64_t start_us;
} trace_span_t;

/** Begins a span. An empty or malformed traceparent begins a new trace. */
void trace_begin(trace_span_t *sp, const char *name, str_t traceparent);
/** Writes the traceparent value that makes this span the parent of the next hop's span. */
void trace_parent(const trace_span_t *sp, char out[TRACE_PARENT_BYTES]);
/** Ends the span and logs it as event=span; key may be empty. */
void trace_end(const trace_span_t *sp, str_t key, const char *outcome);

#endif
