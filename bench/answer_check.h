/** Checks one answer, an event stream: each token must arrive once, in order, with the text that
 * the fake engine computes for this prompt and index, under the id of this request. */
#ifndef AUBURN_ANSWER_CHECK_H
#define AUBURN_ANSWER_CHECK_H

#include <stdbool.h>
#include "base/str.h"

typedef enum {
	ANSWER_FAULT_NONE,
	ANSWER_FAULT_MISSING, /* a token was skipped, or the stream ended early */
	ANSWER_FAULT_REPEATED, /* a token arrived twice */
	ANSWER_FAULT_FOREIGN, /* an event carried the id of another request */
	ANSWER_FAULT_WRONG_TEXT,
	ANSWER_FAULT_MALFORMED, /* an event was not the JSON of a token */
	ANSWER_FAULTS
} answer_fault_t;

/** Returns the name under which the load tool prints the fault. */
const char *answer_fault_name(answer_fault_t f);

typedef struct {
	str_t prompt;
	const char *expected_id; /* idempotency key, which each event repeats as its id */
	int expected_tokens;
	int next_index; /* index of the next token */
	bool done_received; /* [DONE] */
	bool error_received; /* an event of type error */
	answer_fault_t fault; /* the first one found */
	buf_t partial_line; /* received without its newline so far */
} answer_check_t;

/** Checks the next bytes of the body; returns the number of token events they complete. */
int answer_check_feed(answer_check_t *c, str_t piece);
/** Returns true if the answer is complete and correct; records a fault otherwise. */
bool answer_check_complete(answer_check_t *c);
/** Discards what was received, so that the answer to a resend is checked from its start. */
void answer_check_reset(answer_check_t *c);

#endif
