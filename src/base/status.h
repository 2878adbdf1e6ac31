/** Status codes with a last message for each thread, and the verdict on whether a request ran. */
#ifndef AUBURN_STATUS_H
#define AUBURN_STATUS_H

typedef enum {
	ST_OK,
	ST_INVALID, /* the input breaks a rule; nothing was done */
	ST_NOT_FOUND,
	ST_CONFLICT, /* another value stands under the same key or number */
	ST_UNAVAILABLE, /* nobody who could answer was reached; surely not done */
	ST_TIMEOUT, /* no answer in time; may have been done */
	ST_NOT_LEADER,
	ST_IO,
	ST_CORRUPT, /* a checksum or format error in stored data */
	ST_LIMIT, /* a bound was reached */
	ST_CANCELLED,
	ST_COUNT
} status_t;

/** Says whether a request that ended in an error may have run at its upstream. */
typedef enum { VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN, VERDICT_RAN, VERDICT_COUNT } verdict_t;

const char *st_name(status_t st);
const char *verdict_name(verdict_t v);

/** Stores the calling thread's last message and returns st. */
status_t st_fail(status_t st, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** The calling thread's last message; never NULL. */
const char *st_message(void);

#endif
