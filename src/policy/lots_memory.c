#include "policy/lots_memory.h"

#define LOTS_PERCENT 35
#define LOG_PERCENT  12
/** Smallest bound of the log: a few of the largest lots. */
#define LOG_MIN_BYTES (16U << 20)

size_t lots_memory_lots_max(size_t memory)
{
	return memory / 100 * LOTS_PERCENT;
}

size_t lots_memory_log_max(size_t memory)
{
	size_t part = memory / 100 * LOG_PERCENT;

	return part > LOG_MIN_BYTES ? part : LOG_MIN_BYTES;
}

lots_memory_verdict_t lots_memory_decide(const lots_memory_t *m)
{
	size_t added = m->waiting + m->lot;

	if (m->memory == 0)
		return LOTS_MEMORY_AMPLE;
	if (m->lots + added > lots_memory_lots_max(m->memory))
		return LOTS_MEMORY_LOTS_FULL;
	if (m->log + added > lots_memory_log_max(m->memory))
		return LOTS_MEMORY_LOG_FULL;
	return LOTS_MEMORY_AMPLE;
}
