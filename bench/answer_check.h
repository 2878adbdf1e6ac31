/** Checks one event stream: each token once, in order, with its own text and key. */
#ifndef AUBURN_ANSWER_CHECK_H
#define AUBURN_ANSWER_CHECK_H

#include <stdbool.h>
#include "base/str.h"

/** What was wrong with a stream. */
typedef enum {
	ANSWER_FAULT_NONE,
	ANSWER_FAULT_MISSING, /* a token left out, or the end came early */
	ANSWER_FAULT_REPEATED,
	ANSWER_FAULT_FOREIGN, /* another request's id */
	ANSWER_FAULT_WRONG_TEXT,
	ANSWER_FAULT_MALFORMED,
	ANSWER_FAULTS
} answer_fault_t;

const char *answer_fault_name(answer_fault_t f);

typedef struct {
	str_t prompt;
	const char *expected_id;
	int expected_tokens; /* expected */
	int next_index; /* index of the next token */
	bool done; /* the end mark came */
	bool error; /* an error event came */
	answer_fault_t fault; /* the first one seen */
	buf_t partial_line; /* of an unfinished line */
} answer_check_t;

/** Takes bytes; returns the number of tokens in them. */
int answer_check_feed(answer_check_t *c, str_t piece);
/** Is the answer whole? Sets fault when it isn't. */
bool answer_check_complete(answer_check_t *c);
/** Starts anew for a resend. */
void answer_check_reset(answer_check_t *c);

#endif
