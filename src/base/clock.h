/** Clocks in milliseconds. Deadlines are times on the boot clock, which also counts suspend. */
#ifndef AUBURN_CLOCK_H
#define AUBURN_CLOCK_H

#include <stdint.h>

/** A time on CLOCK_BOOTTIME, in ms, past or future; valid within one process only. */
typedef int64_t deadline_t;
#define DEADLINE_NEVER INT64_MAX

int64_t clock_now_ms(void);
int64_t clock_now_us(void);
/** Wall clock, ms since 1970; for log lines and stored times. */
int64_t clock_wall_ms(void);
/** Milliseconds until d, at least 0. */
int64_t clock_left_ms(deadline_t d);
void clock_sleep_ms(int64_t ms);

#endif
