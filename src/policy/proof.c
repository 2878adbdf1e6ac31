#include "policy/proof.h"

/** Part of the validity that is left unused: clocks of two VMs may run at slightly different
 * speeds. */
#define MARGIN_PERCENT 2

void proof_init(proof_t *p, int64_t validity_ms)
{
	*p = (proof_t){.validity_ms = validity_ms - validity_ms * MARGIN_PERCENT / 100};
}

void proof_asked(proof_t *p, deadline_t now)
{
	p->asked_at[p->asked++ % PROOF_QUESTIONS_MAX] = now;
}

bool proof_answered(proof_t *p, bool newest)
{
	uint64_t i = p->answered;
	deadline_t until;

	if (i >= p->asked)
		return false;
	p->answered++;
	if (!newest || p->asked - i > PROOF_QUESTIONS_MAX)
		return false;
	until = p->asked_at[i % PROOF_QUESTIONS_MAX] + p->validity_ms;
	if (until <= p->valid_until)
		return false;
	p->valid_until = until;
	return true;
}

void proof_link_lost(proof_t *p)
{
	p->asked = 0;
	p->answered = 0;
}

bool proof_is_valid(const proof_t *p, deadline_t now)
{
	return now < p->valid_until;
}
