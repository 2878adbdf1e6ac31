/**
 * Whether an answer that has ended is whole, by how its bytes were framed (RFC 9112, 6.3), how it
 * ended and what came. An answer without length and chunks ends with its connection, as does one
 * whose sender crashed: what such an end can't show is taken as broken off while nothing came, and
 * as whole otherwise. docs/API.md has the table, which test_answer.c compares with the code.
 *
 * Pure.
 */
#ifndef AUBURN_ANSWER_H
#define AUBURN_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

/** How the bytes of an answer stopped. */
typedef enum {
	ANSWER_STOP_END, /* as its framing says: the last byte or chunk, or the end of a connection
			    that was not reset */
	ANSWER_STOP_CUT, /* the connection ended before that, or was reset */
	ANSWER_STOP_MALFORMED, /* not HTTP, or a head that was cut */
	ANSWER_STOP_TOO_LONG, /* over the limit of bytes */
	ANSWER_STOP_SILENT, /* nothing came within the silence timeout */
	ANSWER_STOP_REJECTED /* an event or a piece of the body can't belong to the answer */
} answer_stop_t;

typedef struct {
	answer_stop_t stop;
	bool framed; /* it has a length or chunks, or its status allows no body */
	bool relayed; /* by an entry, which frames all that it sends */
	bool success; /* 2xx */
	bool stream; /* of events, in answer to a request or to one that resumes it */
	unsigned long long events; /* that carry the stream on; comments do not */
	size_t partial_bytes; /* of an event that has not ended */
	size_t body_bytes; /* of an answer that is no stream */
} answer_end_t;

/** Line of the table. */
typedef enum {
	ANSWER_WHOLE,
	ANSWER_TAKEN_FOR_WHOLE, /* it ended with its connection, and nothing speaks against it */
	ANSWER_CUT,
	ANSWER_MALFORMED,
	ANSWER_TOO_LONG,
	ANSWER_SILENT,
	ANSWER_REJECTED,
	ANSWER_WITHIN_EVENT,
	ANSWER_NO_EVENT,
	ANSWER_NO_BODY,
	ANSWER_RELAY_UNFRAMED,
	ANSWER_LINE_COUNT
} answer_line_t;

answer_line_t answer_judge(const answer_end_t *a);
/** True if the answer is whole, as far as can be known. */
bool answer_is_whole(answer_line_t line);
/** Name of a line in logs and in docs/API.md. */
const char *answer_line_name(answer_line_t line);

#endif
