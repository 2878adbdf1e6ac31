/** Clocks. Times within a process are on the boot clock, which also counts the time for which the
 * machine is suspended. */
#ifndef AUBURN_CLOCK_H
#define AUBURN_CLOCK_H

#include <pthread.h>
#include <stdint.h>

/** A time on CLOCK_BOOTTIME, in ms, past or future. Valid within one process: messages to others
 * carry the ms left, or wall-clock times. */
typedef int64_t deadline_t;
#define DEADLINE_NEVER INT64_MAX

int64_t clock_now_ms(void);
int64_t clock_now_us(void);
/** Wall clock, ms since 1970; for log lines, stored times and messages. */
int64_t clock_wall_ms(void);
/** Milliseconds until d, at least 0. */
int64_t clock_left_ms(deadline_t d);
void clock_sleep_ms(int64_t ms);
/** Waits on a condition for at most ms, whichever clock it was created with. Not counted: the time
 * for which the machine is suspended. */
void clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms);

#endif
