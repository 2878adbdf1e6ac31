/** Status codes, an error message for each thread, and verdicts on whether a request has run. */
#ifndef AUBURN_STATUS_H
#define AUBURN_STATUS_H

typedef enum {
	STATUS_OK,
	STATUS_INVALID, /* the input breaks a rule; nothing was done */
	STATUS_NOT_FOUND,
	STATUS_CONFLICT, /* contradicts the current state, e.g. another value under the key */
	STATUS_UNAVAILABLE, /* no process was reached that could do it now; surely not done */
	STATUS_TIMEOUT, /* no answer, or the call failed; may have been done */
	STATUS_NOT_LEADER,
	STATUS_IO,
	STATUS_CORRUPT, /* checksum or format error in stored data or in a message */
	STATUS_LIMIT, /* a limit is exceeded, or a precondition does not hold yet */
	STATUS_CANCELLED, /* the job is cancelled, or the session closed or lost */
	STATUS_COUNT
} status_t;

/** Whether a request has run, may have run or surely has not; stated in results and error replies.
 */
typedef enum { VERDICT_NOT_RUN, VERDICT_MAY_HAVE_RUN, VERDICT_RAN, VERDICT_COUNT } verdict_t;

const char *status_name(status_t st);
const char *verdict_name(verdict_t v);

/** Sets the calling thread's error message and returns st. */
status_t status_fail(status_t st, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** Error message of the calling thread's last failure; never NULL. */
const char *status_message(void);

#endif
