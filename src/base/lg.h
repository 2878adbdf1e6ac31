/** Events: one line of key=value pairs each, written through log4c and kept in a ring for look-up.
 */
#ifndef AUBURN_LG_H
#define AUBURN_LG_H

#include <stdint.h>
#include "base/str.h"

typedef enum { LG_ERROR, LG_WARN, LG_INFO, LG_DEBUG } lg_level_t;

typedef struct {
	const char *key;
	enum { LG_END, LG_STR, LG_INT } type;
	str_t s;
	int64_t i;
} lg_field_t;

/** Fields for lg_event. */
#define LG_S(k, v)                                                                                 \
	{                                                                                          \
		(k), LG_STR, (v), 0                                                                \
	}
#define LG_C(k, v)                                                                                 \
	{                                                                                          \
		(k), LG_STR, str_c(v), 0                                                           \
	}
#define LG_I(k, v)                                                                                 \
	{                                                                                          \
		(k), LG_INT, {0}, (int64_t)(v)                                                     \
	}
/** lg(LG_INFO, "entry_started", LG_C("addr", a), LG_I("port", p)); needs at least one field. */
#define lg(level, event, ...)                                                                      \
	lg_event((level), (event), (const lg_field_t[]){__VA_ARGS__, {NULL, LG_END, {0}, 0}})

/** Sets the process name on each line and the level. Lines go to standard output, which is never
 * waited for: a line that it has no room for is lost and counted, and an event that has written its
 * lines of a second leaves out the rest, with one line that says how many. */
void lg_open(const char *process, lg_level_t level);
void lg_event(lg_level_t level, const char *event, const lg_field_t *fields);
/** Appends the newest ring lines, oldest first, that hold needle; at most max. */
void lg_find(buf_t *out, str_t needle, unsigned max);

#endif
