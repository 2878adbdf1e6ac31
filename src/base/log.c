#include "base/log.h"

#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <log4c.h>
#include "base/clock.h"
#include "base/metric.h"
#include "base/utf8.h"

#define RING_LINES	4096
#define VALUE_MAX_BYTES 512 /* longer string values are cut */
/** Limit on lines of one event name per second: several times the rate of any event in a busy
 * process; writing this many lines takes under 1% of a core. */
#define LINES_PER_S_MAX 200
#define LIMITS_MAX	128 /* event names with a limit; further names have none */

static pthread_mutex_t ring_lock = PTHREAD_MUTEX_INITIALIZER;
static char *ring[RING_LINES];
static size_t ring_next;
static const char *process_name = "-";
static log_level_t max_level = LOG_LEVEL_INFO;
static log4c_category_t *category;

static const char *const level_names[] = {"error", "warn", "info", "debug"};
static const int priorities[] = {LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_INFO,
				 LOG4C_PRIORITY_DEBUG};

/* Layout of log4c: the message is a whole line already. */
static const char *format_line(const log4c_layout_t *layout, const log4c_logging_event_t *e)
{
	return e->evt_msg;
}

static const log4c_layout_type_t line_layout = {.name = "auburn_line", .format = format_line};

/* Checked before each write: a slow reader of standard output loses lines but does not block the
 * process. */
static bool stdout_writable(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

/* Used in place of log4c's stream appenders, which prefix each line with the appender's name. */
static int write_line(log4c_appender_t *appender, const log4c_logging_event_t *e)
{
	str_t line = str_c(e->evt_rendered_msg);

	/* A pipe that polls as writable accepts PIPE_BUF bytes without blocking; a longer line is
	 * cut. */
	if (line.n > PIPE_BUF)
		line.n = PIPE_BUF;
	if (!stdout_writable()) {
		METRIC_INC("auburn_log_lines_lost_total");
		return -1;
	}
	return write(STDOUT_FILENO, line.p, line.n) == (ssize_t)line.n ? 0 : -1;
}

static const log4c_appender_type_t line_appender = {.name = "auburn_line", .append = write_line};

void log_open(const char *process, log_level_t level)
{
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	process_name = process;
	max_level = level;
	log4c_init();
	log4c_layout_type_set(&line_layout);
	layout = log4c_layout_get("auburn_line");
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_type_set(&line_appender);
	appender = log4c_appender_get("auburn_stdout");
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("auburn");
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priorities[level]);
}

/* Empty values and values with separators are quoted, so that a parser finds their end; what is no
 * UTF-8, so that what replaces it stands out. */
static bool needs_quotes(str_t s)
{
	if (s.n == 0)
		return true;
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.p[i];

		if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
			return true;
	}
	return !utf8_is_valid(s);
}

static void add_value(buf_t *b, str_t s)
{
	if (s.n > VALUE_MAX_BYTES)
		s.n = VALUE_MAX_BYTES;
	if (needs_quotes(s))
		buf_add_json(b, s);
	else
		buf_add(b, s);
}

static void ring_add(str_t line)
{
	char *copy = str_dup(line);
	char *old;

	pthread_mutex_lock(&ring_lock);
	old = ring[ring_next];
	ring[ring_next] = copy;
	ring_next = (ring_next + 1) % RING_LINES;
	pthread_mutex_unlock(&ring_lock);
	free(old);
}

/* Number of lines of one event name, in the last second in which the event was logged. */
typedef struct {
	const char *event;
	int64_t second; /* on the boot clock */
	unsigned written;
	unsigned left_out;
} line_limit_t;

static line_limit_t line_limits[LIMITS_MAX];
static pthread_mutex_t limit_lock = PTHREAD_MUTEX_INITIALIZER;

/* Finds or adds the limit of an event; NULL if LIMITS_MAX other names have one. */
static line_limit_t *find_limit(const char *event)
{
	for (size_t i = 0; i < LIMITS_MAX; i++) {
		if (!line_limits[i].event)
			line_limits[i].event = event;
		if (strcmp(line_limits[i].event, event) == 0)
			return &line_limits[i];
	}
	return NULL;
}

/* False if the event has reached its limit in this second. *left_out: number of its lines left out
 * in the earlier second in which it was last logged, for the caller to report. */
static bool admit_line(const char *event, int64_t second, unsigned *left_out)
{
	line_limit_t *l;
	bool ok = true;

	*left_out = 0;
	pthread_mutex_lock(&limit_lock);
	l = find_limit(event);
	if (l && l->second != second) {
		*left_out = l->left_out;
		l->second = second;
		l->written = 0;
		l->left_out = 0;
	}
	if (l && l->written >= LINES_PER_S_MAX) {
		l->left_out++;
		ok = false;
	} else if (l) {
		l->written++;
	}
	pthread_mutex_unlock(&limit_lock);
	return ok;
}

void log_write(log_level_t level, const char *event, const log_field_t *fields)
{
	AUTO_BUF b = {0};
	unsigned left_out;

	if (level > max_level)
		return;
	if (!admit_line(event, clock_now_ms() / 1000, &left_out)) {
		METRIC_INC("auburn_log_lines_left_out_total");
		return;
	}
	if (left_out)
		log_event(LOG_LEVEL_WARN, "lines_left_out", LOG_CSTR("of", event),
			  LOG_INT("count", left_out));
	buf_addf(&b, "t=%lld level=%s process=%s event=%s", (long long)clock_wall_ms(),
		 level_names[level], process_name, event);
	for (const log_field_t *f = fields; f->type != LOG_TYPE_END; f++) {
		buf_addf(&b, " %s=", f->key);
		if (f->type == LOG_TYPE_INT)
			buf_addf(&b, "%lld", (long long)f->i);
		else
			add_value(&b, f->s);
	}
	ring_add(str_buf(&b));
	if (category)
		log4c_category_log(category, priorities[level], "%s\n", b.p);
}

void log_find(buf_t *out, str_t needle, unsigned max)
{
	const char *found[RING_LINES];
	size_t n = 0;

	pthread_mutex_lock(&ring_lock);
	for (size_t i = 1; i <= RING_LINES && n < max && n < RING_LINES; i++) {
		const char *line = ring[(ring_next + RING_LINES - i) % RING_LINES];

		if (line && str_find(str_c(line), needle) >= 0)
			found[n++] = line;
	}
	while (n > 0) {
		buf_add(out, str_c(found[--n]));
		buf_addc(out, '\n');
	}
	pthread_mutex_unlock(&ring_lock);
}
