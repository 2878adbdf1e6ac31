/** Checks one event stream: each token once, in order, with its own text and key. */
#ifndef AUBURN_BN_CHECK_H
#define AUBURN_BN_CHECK_H

#include <stdbool.h>
#include "base/str.h"

/** What was wrong with a stream. */
typedef enum {
	BN_GOOD,
	BN_MISSING, /* a token left out, or the end came early */
	BN_REPEATED,
	BN_FOREIGN, /* another request's id */
	BN_WRONG_TEXT,
	BN_MALFORMED,
	BN_FAULTS
} bn_fault_t;

const char *bn_fault_name(bn_fault_t f);

typedef struct {
	str_t prompt;
	const char *key;
	int tokens; /* expected */
	int next; /* index of the next token */
	bool done; /* the end mark came */
	bool error; /* an error event came */
	bn_fault_t fault; /* the first one seen */
	buf_t rest; /* of an unfinished line */
} bn_check_t;

/** Takes bytes; returns the number of tokens in them. */
int bn_check_feed(bn_check_t *c, str_t piece);
/** Is the answer whole? Sets fault when it isn't. */
bool bn_check_whole(bn_check_t *c);
/** Starts anew for a resend. */
void bn_check_reset(bn_check_t *c);

#endif
