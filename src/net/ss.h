/** Parser of server-sent events. */
#ifndef AUBURN_SS_H
#define AUBURN_SS_H

#include "base/str.h"

/** A longer event is malformed, in bytes: events carry some tokens of text. */
#define SS_EVENT_MAX (1U << 20)

typedef struct {
	buf_t pending; /* bytes behind the last whole event */
	size_t searched; /* of these, in which no event ends */
} ss_t;

typedef struct {
	str_t raw; /* with the empty line that ends it */
	str_t name; /* empty if none is given */
	str_t data; /* of its last data line */
	long long id; /* -1: none, or not a number */
	bool has_data;
} ss_event_t;

/** False stops the parser. */
typedef bool (*ss_callback_t)(void *ctx, const ss_event_t *e);

/** Takes bytes as they come and calls back for each whole event. False once the callback returned
 * false, or when an event is too long. */
bool ss_feed(ss_t *s, str_t bytes, ss_callback_t event, void *ctx);
void ss_free(ss_t *s);

#endif
