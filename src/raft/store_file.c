#include "raft/store_file.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"

#define READ_BYTES	    (1024 * 1024)
#define SYNC_INTERVAL_BYTES (1024 * 1024)

static long parse_fault(const char *env, const char *key)
{
	const char *at = env ? strstr(env, key) : NULL;

	return at ? strtol(at + strlen(key), NULL, 10) : -1;
}

static void parse_fault_path(const char *env, const char *key, char *out, size_t size)
{
	const char *at = env ? strstr(env, key) : NULL;

	if (at)
		at += strlen(key);
	snprintf(out, size, "%.*s", at ? (int)strcspn(at, ",") : 0, at ? at : "");
}

void store_disk_fault_from_env(store_disk_fault_t *f)
{
	const char *env = getenv("AUBURN_DISK_FAULT");

	f->fsync_fail_after = parse_fault(env, "fsync_fail_after=");
	f->full_after_bytes = parse_fault(env, "full_after_bytes=");
	f->sync_ms = parse_fault(env, "sync_ms=");
	f->capacity_bytes = parse_fault(env, "capacity_bytes=");
	parse_fault_path(env, "full_while_exists=", f->full_while_exists,
			 sizeof(f->full_while_exists));
}

static status_t io_error(const char *what, const char *name)
{
	return status_fail(STATUS_IO, "%s: %s: %s", name, what, strerror(errno));
}

static bool fault_is_full(const store_disk_fault_t *f)
{
	return f->full_while_exists[0] && access(f->full_while_exists, F_OK) == 0;
}

/* Total size of the files in a folder. */
static long folder_bytes(const char *dir)
{
	DIR *d = opendir(dir);
	struct dirent *e;
	struct stat sb;
	long n = 0;

	while (d && (e = readdir(d))) {
		if (fstatat(dirfd(d), e->d_name, &sb, 0) == 0 && S_ISREG(sb.st_mode))
			n += sb.st_size;
	}
	if (d)
		closedir(d);
	return n;
}

static bool fault_has_room(const store_disk_fault_t *f, const char *name, size_t n)
{
	char dir[STORE_PATH_BYTES];

	if (f->capacity_bytes < 0)
		return true;
	snprintf(dir, sizeof(dir), "%.*s", (int)(strrchr(name, '/') - name), name);
	return folder_bytes(dir) + (long)n <= f->capacity_bytes;
}

uint64_t store_file_free_bytes(const store_disk_fault_t *f, const char *dir)
{
	struct statvfs v;

	if (f->capacity_bytes >= 0) {
		long left = f->capacity_bytes - folder_bytes(dir);

		return left > 0 ? (uint64_t)left : 0;
	}
	if (statvfs(dir, &v) != 0)
		return UINT64_MAX;
	return (uint64_t)v.f_bavail * v.f_frsize;
}

uint64_t store_file_bytes(const char *path)
{
	struct stat sb;

	return stat(path, &sb) == 0 ? (uint64_t)sb.st_size : 0;
}

/* Subtracts n bytes from the space left on a simulated full disk; false if there is not enough. */
static bool fault_allows_write(store_disk_fault_t *f, const char *name, size_t n)
{
	long left = __atomic_load_n(&f->full_after_bytes, __ATOMIC_RELAXED);

	if (fault_is_full(f))
		return false;
	if (!fault_has_room(f, name, n))
		return false;
	if (left < 0)
		return true;
	if ((long)n > left)
		return false;
	__atomic_fetch_sub(&f->full_after_bytes, (long)n, __ATOMIC_RELAXED);
	return true;
}

status_t store_file_write(store_disk_fault_t *f, int fd, const char *name, str_t data, off_t at)
{
	if (!fault_allows_write(f, name, data.n)) {
		errno = ENOSPC;
		return io_error("write", name);
	}
	while (data.n) {
		ssize_t n = pwrite(fd, data.p, data.n, at);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return io_error("write", name);
		data.p += n;
		data.n -= (size_t)n;
		at += n;
	}
	return STATUS_OK;
}

/* Counts a sync against the injected limit; false once the limit is reached. */
static bool fault_allows_sync(store_disk_fault_t *f)
{
	long left = __atomic_load_n(&f->fsync_fail_after, __ATOMIC_RELAXED);

	if (f->sync_ms > 0)
		clock_sleep_ms(f->sync_ms);
	if (left > 0)
		__atomic_fetch_sub(&f->fsync_fail_after, 1, __ATOMIC_RELAXED);
	errno = EIO;
	return left != 0 && !fault_is_full(f);
}

/* Syncs with one of the system's calls, and logs a disk that takes long for it: until it is done
 * the process neither acknowledges nor starts. */
static status_t sync_timed(store_disk_fault_t *f, int fd, const char *name, int (*sync)(int fd))
{
	deadline_t began = clock_now_ms();
	status_t st = fault_allows_sync(f) && sync(fd) == 0 ? STATUS_OK : io_error("sync", name);
	int64_t ms = clock_now_ms() - began;

	if (ms < STORE_SLOW_SYNC_MS)
		return st;
	METRIC_INC("auburn_disk_slow_syncs_total");
	log_event(LOG_LEVEL_WARN, "sync_slow", LOG_CSTR("file", name), LOG_INT("ms", ms),
		  LOG_CSTR("status", status_name(st)));
	return st;
}

status_t store_file_sync(store_disk_fault_t *f, int fd, const char *name)
{
	return sync_timed(f, fd, name, fdatasync);
}

status_t store_dir_sync(store_disk_fault_t *f, const char *dir)
{
	int fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	status_t st;

	if (fd < 0)
		return io_error("open", dir);
	st = sync_timed(f, fd, dir, fsync);
	close(fd);
	return st;
}

status_t store_file_read(const char *path, buf_t *out)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	char *tmp = mem_new(READ_BYTES);
	ssize_t n = 0;

	if (fd >= 0) {
		while ((n = read(fd, tmp, READ_BYTES)) > 0)
			buf_add(out, (str_t){tmp, (size_t)n});
	}
	free(tmp);
	if (fd < 0)
		return io_error("open", path);
	close(fd);
	return n < 0 ? io_error("read", path) : STATUS_OK;
}

/* Writes data with a sync after each piece: a large amount of unsynced data would delay the syncs
 * of the log. */
static status_t write_with_syncs(store_disk_fault_t *f, int fd, const char *name, str_t data,
				 off_t *at)
{
	status_t st = STATUS_OK;

	while (data.n > 0 && st == STATUS_OK) {
		size_t n = data.n < SYNC_INTERVAL_BYTES ? data.n : SYNC_INTERVAL_BYTES;

		st = store_file_write(f, fd, name, (str_t){data.p, n}, *at);
		if (st == STATUS_OK && n == SYNC_INTERVAL_BYTES)
			st = store_file_sync(f, fd, name);
		data.p += n;
		data.n -= n;
		*at += (off_t)n;
	}
	return st;
}

static status_t write_parts(store_disk_fault_t *f, int fd, const char *name, const str_t *parts,
			    size_t n)
{
	status_t st = STATUS_OK;
	off_t at = 0;

	for (size_t i = 0; i < n && st == STATUS_OK; i++)
		st = write_with_syncs(f, fd, name, parts[i], &at);
	return st;
}

status_t store_file_replace(store_disk_fault_t *f, const char *dir, const char *name,
			    const str_t *parts, size_t n)
{
	char path[STORE_PATH_BYTES];
	char tmp[STORE_PATH_BYTES];
	status_t st;
	int fd;

	snprintf(path, sizeof(path), "%s/%s", dir, name);
	snprintf(tmp, sizeof(tmp), "%s/%s.tmp", dir, name);
	/* Not the file of an earlier attempt: after a failed sync of it the next one proves
	 * nothing. */
	unlink(tmp);
	fd = open(tmp, O_CREAT | O_EXCL | O_WRONLY | O_CLOEXEC, 0600);
	if (fd < 0)
		return io_error("open", tmp);
	st = write_parts(f, fd, tmp, parts, n);
	if (st == STATUS_OK)
		st = store_file_sync(f, fd, tmp);
	close(fd);
	if (st == STATUS_OK && rename(tmp, path) != 0)
		st = io_error("rename", path);
	if (st != STATUS_OK)
		unlink(tmp); /* frees its space */
	return st == STATUS_OK ? store_dir_sync(f, dir) : st;
}

static status_t make_missing(const char *dir)
{
	char up[STORE_PATH_BYTES];
	char *slash;
	status_t st;

	if (mkdir(dir, 0700) == 0 || errno == EEXIST)
		return STATUS_OK;
	if (errno != ENOENT)
		return io_error("mkdir", dir);
	snprintf(up, sizeof(up), "%s", dir);
	slash = strrchr(up, '/');
	if (!slash || slash == up)
		return io_error("mkdir", dir);
	*slash = 0;
	st = make_missing(up);
	return st == STATUS_OK ? make_missing(dir) : st;
}

/* False if this process can't have made `dir` in `up`, or if that is the root or another
 * filesystem, whose mount point needs no sync. */
static bool may_be_made_here(const char *dir, const char *up)
{
	struct stat a;
	struct stat b;

	return access(up, W_OK) == 0 && stat(dir, &a) == 0 && stat(up, &b) == 0 &&
	       a.st_dev == b.st_dev && a.st_ino != b.st_ino;
}

status_t store_dir_make(store_disk_fault_t *f, const char *dir)
{
	char path[STORE_PATH_BYTES];
	char up[STORE_PATH_BYTES + 3];
	status_t st = make_missing(dir);

	/* Also the names that exist: whoever made them may have been killed before the sync. */
	snprintf(path, sizeof(path), "%s", dir);
	while (st == STATUS_OK) {
		snprintf(up, sizeof(up), "%s/..", path);
		if (strlen(up) >= sizeof(path) || !may_be_made_here(path, up))
			break;
		st = store_dir_sync(f, up);
		memcpy(path, up, strlen(up) + 1);
	}
	return st;
}

static int compare_numbers(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static bool parse_numbered_name(const char *name, const char *prefix, uint64_t *out)
{
	size_t n = strlen(prefix);
	char *end;

	if (strncmp(name, prefix, n) != 0)
		return false;
	*out = strtoul(name + n, &end, 16);
	return *end == 0;
}

status_t store_list_numbered_files(const char *dir, const char *prefix, uint64_t **out, size_t *n)
{
	DIR *d = opendir(dir);
	struct dirent *e;
	uint64_t number;
	status_t st;

	*out = NULL;
	*n = 0;
	if (!d)
		return io_error("list", dir);
	while ((errno = 0, e = readdir(d))) {
		if (!parse_numbered_name(e->d_name, prefix, &number))
			continue;
		*out = mem_grow(*out, (*n + 1) * sizeof(**out));
		(*out)[(*n)++] = number;
	}
	st = errno ? io_error("list", dir) : STATUS_OK;
	closedir(d);
	if (*n)
		qsort(*out, *n, sizeof(**out), compare_numbers);
	return st;
}
