#include "base/clock.h"

#include <errno.h>
#include <time.h>

static int64_t read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clock_now_ms(void)
{
	return read_us(CLOCK_BOOTTIME) / 1000;
}

int64_t clock_now_us(void)
{
	return read_us(CLOCK_BOOTTIME);
}

int64_t clock_wall_ms(void)
{
	return read_us(CLOCK_REALTIME) / 1000;
}

int64_t clock_left_ms(deadline_t d)
{
	int64_t now = clock_now_ms();

	return d > now ? d - now : 0;
}

void clock_sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	while (nanosleep(&ts, &ts) != 0 && errno == EINTR)
		;
}

void clock_cond_wait(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += (ms % 1000) * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	pthread_cond_clockwait(cond, lock, CLOCK_MONOTONIC, &ts);
}
