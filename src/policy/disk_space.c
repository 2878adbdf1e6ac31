#include "policy/disk_space.h"

#define RESERVE_MIN_BYTES   (1024 * 1024)
#define REMOVABLE_MIN_BYTES (512 * 1024)
/** Largest write of the log that does not wait. */
#define SMALL_WRITE_BYTES (4 * 1024)

uint64_t disk_space_reserve(uint64_t state)
{
	return 2 * state > RESERVE_MIN_BYTES ? 2 * state : RESERVE_MIN_BYTES;
}

disk_space_verdict_t disk_space_decide(const disk_space_t *d)
{
	uint64_t reserve = disk_space_reserve(d->state);

	if (d->free == DISK_SPACE_UNKNOWN || d->removable < REMOVABLE_MIN_BYTES)
		return DISK_SPACE_AMPLE;
	if (d->free < reserve + d->queued && d->queued > SMALL_WRITE_BYTES)
		return DISK_SPACE_WAIT;
	return d->free < 2 * reserve + d->queued ? DISK_SPACE_CUT : DISK_SPACE_AMPLE;
}
