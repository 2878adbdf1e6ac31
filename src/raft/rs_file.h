/** Files of the store, with faults that a test may ask for. */
#ifndef AUBURN_RS_FILE_H
#define AUBURN_RS_FILE_H

#include <sys/types.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

/** Read from AUBURN_DISK_FAULT when a store is opened, like "fsync_fail_after=100" or
 *  "full_after_bytes=65536"; several are parted by commas. */
typedef struct {
	long fsync_fail_after; /* syncs that succeed; -1: all */
	long full_after_bytes; /* bytes that can be written; -1: no bound */
} rs_fault_t;

void rs_fault_read(rs_fault_t *f);

/** Each fails with ST_IO and a message that names the file. */
status_t rs_file_write(rs_fault_t *f, int fd, const char *name, str_t data, off_t at);
status_t rs_file_sync(rs_fault_t *f, int fd, const char *name);
/** Syncs the folder itself, so that names made or removed in it last. */
status_t rs_dir_sync(rs_fault_t *f, const char *dir);
/** Appends the whole file to out. */
status_t rs_file_read(const char *path, buf_t *out);
/** Writes the parts to a file under a temporary name, syncs it, renames it and syncs the folder. */
status_t rs_file_replace(rs_fault_t *f, const char *dir, const char *name, const str_t *parts,
			 size_t n);
/** Makes a folder and those above it. */
status_t rs_dir_make(rs_fault_t *f, const char *dir);

/** Numbers, ascending, of the files named by the prefix and a number in hex; *out is the caller's
 * to free. */
size_t rs_list_numbered(const char *dir, const char *prefix, uint64_t **out);

#define RS_PATH_BYTES 512

#endif
