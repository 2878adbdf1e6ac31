#include "entry/rn.h"

#include <assert.h>

static const char *const names[RN_KINDS] = {
	[RN_DONE] = "done",	    [RN_REFUSED] = "refused",	  [RN_UNREACHED] = "unreached",
	[RN_REJECTED] = "rejected", [RN_LOST] = "lost",		  [RN_STALLED] = "stalled",
	[RN_CROSSED] = "crossed",   [RN_PREEMPTED] = "preempted", [RN_CANCELLED] = "cancelled"};

const char *rn_kind_name(rn_kind_t k)
{
	assert(k >= 0 && k < RN_KINDS);
	return names[k];
}

rn_kind_t rn_kind_of(str_t name)
{
	int k = 0;

	while (k < RN_KINDS && !str_eq(name, str_c(names[k])))
		k++;
	return (rn_kind_t)k;
}
