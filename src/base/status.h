/** Status codes with an error message per thread, and the verdict on whether a request ran. */
#ifndef AUBURN_STATUS_H
#define AUBURN_STATUS_H

typedef enum {
	STATUS_OK,
	STATUS_INVALID, /* the input breaks a rule; nothing was done */
	STATUS_NOT_FOUND,
	STATUS_CONFLICT, /* the key or number is taken with another value */
	STATUS_UNAVAILABLE, /* no process reached that could answer; surely not done */
	STATUS_TIMEOUT, /* no answer in time; may have been done */
	STATUS_NOT_LEADER,
	STATUS_IO,
	STATUS_CORRUPT, /* a checksum or format error in stored data */
	STATUS_LIMIT, /* a limit was exceeded */
	STATUS_CANCELLED,
	STATUS_COUNT
} status_t;

/** Whether a request that ended in an error may have run at its upstream. */
typedef enum { VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN, VERDICT_RAN, VERDICT_COUNT } verdict_t;

const char *status_name(status_t st);
const char *verdict_name(verdict_t v);

/** Sets the calling thread's error message and returns st. */
status_t status_fail(status_t st, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** Error message of the calling thread's last failure; never NULL. */
const char *status_message(void);

#endif
