/**
 * Proof that a config is still the newest. An entry may act on the API keys of its config only
 * while it has one, so that a revoked key stops working everywhere within a fixed time, also at an
 * entry that is cut off or was frozen.
 *
 * The entry asks the leader which config is the newest. The leader answers after a majority has
 * confirmed it in a round that began after the question arrived. So a config that was acknowledged
 * before the question was sent is named in the answer, and an answer that names the entry's own
 * config is a proof until the validity has passed since the question was sent.
 *
 * Questions and answers travel in order on one link. The expected load: one question a second from
 * each of hundreds of entries, and one after each config.
 *
 * Pure: time is an argument. The clock must count the time for which the VM was suspended.
 */
#ifndef AUBURN_PROOF_H
#define AUBURN_PROOF_H

#include <stdbool.h>
#include "base/clock.h"

/** Questions of one link whose time is remembered; an answer to an older one proves nothing. */
#define PROOF_QUESTIONS_MAX 64

typedef struct {
	int64_t validity_ms; /* from question to the end of the proof */
	deadline_t valid_until; /* 0: never proved */
	deadline_t asked_at[PROOF_QUESTIONS_MAX]; /* of question i, at i % PROOF_QUESTIONS_MAX */
	uint64_t asked; /* number of questions on this link */
	uint64_t answered;
} proof_t;

/** validity_ms: the time within which a revocation must be in force. */
void proof_init(proof_t *p, int64_t validity_ms);
/** Records a question that is sent now. */
void proof_asked(proof_t *p, deadline_t now);
/** Handles the answer to the oldest question. newest: it confirms that the config in force here is
 * the newest. Returns true if the proof now lasts longer. */
bool proof_answered(proof_t *p, bool newest);
/** Drops the open questions; the proof stays valid for its time. */
void proof_link_lost(proof_t *p);
bool proof_is_valid(const proof_t *p, deadline_t now);

#endif
