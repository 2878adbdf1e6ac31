/** Structured log: each event is one line of key=value pairs, written through log4c and held in an
 * in-memory ring for queries. */
#ifndef AUBURN_LOG_H
#define AUBURN_LOG_H

#include <stdint.h>
#include "base/str.h"

typedef enum { LOG_LEVEL_ERROR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DEBUG } log_level_t;

typedef struct {
	const char *key;
	enum { LOG_TYPE_END, LOG_TYPE_STR, LOG_TYPE_INT } type;
	str_t s;
	int64_t i;
} log_field_t;

/** Fields for log_event: LOG_STR takes a str_t, LOG_CSTR a C string, LOG_INT an integer. */
#define LOG_STR(k, v)                                                                              \
	{                                                                                          \
		(k), LOG_TYPE_STR, (v), 0                                                          \
	}
#define LOG_CSTR(k, v)                                                                             \
	{                                                                                          \
		(k), LOG_TYPE_STR, str_c(v), 0                                                     \
	}
#define LOG_INT(k, v)                                                                              \
	{                                                                                          \
		(k), LOG_TYPE_INT, {0}, (int64_t)(v)                                               \
	}
/** log_event(LOG_LEVEL_INFO, "entry_started", LOG_CSTR("addr", a), LOG_INT("port", p)); needs at
 * least one field. */
#define log_event(level, event, ...)                                                               \
	log_write((level), (event),                                                                \
		  (const log_field_t[]){__VA_ARGS__, {NULL, LOG_TYPE_END, {0}, 0}})

/** Sets the process name on each line (not copied) and the most detailed level logged, and starts
 * writing lines to standard output; before this call, lines only go to the ring. Writing does not
 * block the process: while standard output is not writable, lines are lost and counted. Each event
 * name has a limit of lines per second; lines over the limit are left out, and the next line of the
 * event in a later second is preceded by one that reports their number. */
void log_open(const char *process, log_level_t level);
void log_write(log_level_t level, const char *event, const log_field_t *fields);
/** Appends the newest lines of the ring that contain needle, oldest first; at most max. */
void log_find(buf_t *out, str_t needle, unsigned max);

#endif
