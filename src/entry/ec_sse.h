/** Parser of server-sent events. */
#ifndef AUBURN_EC_SSE_H
#define AUBURN_EC_SSE_H

#include "base/str.h"

typedef struct {
	buf_t pending;
} ec_sse_t;

/** False stops the parser. */
typedef bool (*ec_sse_event_t)(void *ctx, str_t name, str_t data);

/** Takes bytes as they come and calls back for each whole event; name is empty if none is given.
 *  False once the callback returned false. */
bool ec_sse_feed(ec_sse_t *s, str_t bytes, ec_sse_event_t event, void *ctx);
void ec_sse_free(ec_sse_t *s);

#endif
