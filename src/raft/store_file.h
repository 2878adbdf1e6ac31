/** Files of the store, with faults that a test may ask for. */
#ifndef AUBURN_STORE_FILE_H
#define AUBURN_STORE_FILE_H

#include <sys/types.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

/** Read from AUBURN_DISK_FAULT when a store is opened, like "fsync_fail_after=100" or
 *  "full_after_bytes=65536"; several are parted by commas. */
typedef struct {
	long fsync_fail_after; /* syncs that succeed; -1: all */
	long full_after_bytes; /* bytes that can be written; -1: no bound */
} store_disk_fault_t;

void store_disk_fault_from_env(store_disk_fault_t *f);

/** Each fails with STATUS_IO and a message that names the file. */
status_t store_file_write(store_disk_fault_t *f, int fd, const char *name, str_t data, off_t at);
status_t store_file_sync(store_disk_fault_t *f, int fd, const char *name);
/** Syncs the folder itself, so that names made or removed in it last. */
status_t store_dir_sync(store_disk_fault_t *f, const char *dir);
/** Appends the whole file to out. */
status_t store_file_read(const char *path, buf_t *out);
/** Writes the parts to a file under a temporary name, syncs it, renames it and syncs the folder. */
status_t store_file_replace(store_disk_fault_t *f, const char *dir, const char *name,
			    const str_t *parts, size_t n);
/** Makes a folder and those above it. */
status_t store_dir_make(store_disk_fault_t *f, const char *dir);

/** Numbers, ascending, of the files named by the prefix and a number in hex; *out is the caller's
 * to free. */
size_t store_list_numbered_files(const char *dir, const char *prefix, uint64_t **out);

#define STORE_PATH_BYTES 512

#endif
