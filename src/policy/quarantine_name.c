/* Names of prompt parts and events in logs. */
#include <stdio.h>
#include "policy/quarantine.h"

const char *quarantine_part_name(uint64_t part, char out[QUARANTINE_NAME_BYTES])
{
	snprintf(out, QUARANTINE_NAME_BYTES, "%016llx", (unsigned long long)part);
	return out;
}

const char *quarantine_part_names(const prompt_parts_t *parts,
				  char out[PROMPT_PARTS_MAX * QUARANTINE_NAME_BYTES])
{
	out[0] = 0;
	for (unsigned i = 0; i < parts->n; i++) {
		quarantine_part_name(parts->v[i], out + (size_t)i * QUARANTINE_NAME_BYTES);
		if (i > 0)
			out[(size_t)i * QUARANTINE_NAME_BYTES - 1] = ',';
	}
	return out;
}

const char *quarantine_event_name(quarantine_event_t what)
{
	static const char *const names[] = {[QUARANTINE_TAKEN_BACK] = "prompt_crash_taken_back",
					    [QUARANTINE_BLOCKED] = "prompt_part_blocked",
					    [QUARANTINE_CLEARED] = "prompt_part_released",
					    [QUARANTINE_EXPIRED] = "prompt_part_expired"};

	return names[what];
}
