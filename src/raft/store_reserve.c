/* Space set aside: a file that is removed when the disk is full, so that a snapshot can still be
 * written and the log cut, and that is written again afterwards. */
#include "raft/store_internal.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define RESERVE_FILE_NAME "reserve"
/** Smallest size of the reserve, in bytes, and the amount that is written between two syncs. */
#define RESERVE_MIN_BYTES (1024 * 1024)

static void reserve_path(const store_t *s, char path[STORE_PATH_BYTES])
{
	snprintf(path, STORE_PATH_BYTES, "%s/%s", s->dir, RESERVE_FILE_NAME);
}

/* Size of the newest snapshot's state; 0: there is none. */
static uint64_t newest_state_bytes(store_t *s)
{
	uint64_t n;

	pthread_mutex_lock(&s->lock);
	n = s->nsnaps ? s->snaps[s->nsnaps - 1].len : 0;
	pthread_mutex_unlock(&s->lock);
	return n;
}

static status_t write_zeros(store_t *s, int fd, const char *path, uint64_t n)
{
	AUTO_FREE char *zeros = mem_new(RESERVE_MIN_BYTES);
	status_t st = STATUS_OK;

	for (uint64_t at = 0; at < n && st == STATUS_OK; at += RESERVE_MIN_BYTES) {
		/* Much unsynced data would delay the syncs of the log. */
		if (at > 0)
			st = store_file_sync(&s->fault, fd, path);
		if (st == STATUS_OK)
			st = store_file_write(&s->fault, fd, path,
					      (str_t){zeros, RESERVE_MIN_BYTES}, (off_t)at);
	}
	return st;
}

static bool write_reserve(store_t *s, uint64_t n)
{
	char path[STORE_PATH_BYTES];
	bool ok;
	int fd;

	reserve_path(s, path);
	fd = open(path, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
	ok = fd >= 0 && write_zeros(s, fd, path, n) == STATUS_OK;
	if (fd >= 0)
		close(fd);
	if (!ok)
		unlink(path);
	return ok;
}

void store_reserve_take(store_t *s)
{
	uint64_t state = newest_state_bytes(s);

	if (s->has_reserve && s->reserve_bytes >= state)
		return;
	s->reserve_bytes = 2 * state > RESERVE_MIN_BYTES ? 2 * state : RESERVE_MIN_BYTES;
	s->has_reserve = write_reserve(s, s->reserve_bytes);
}

bool store_reserve_give_up(store_t *s)
{
	char path[STORE_PATH_BYTES];

	if (!s->has_reserve)
		return false;
	reserve_path(s, path);
	unlink(path);
	s->has_reserve = false;
	return true;
}

bool store_has_reserve(store_t *s)
{
	return s->has_reserve;
}
