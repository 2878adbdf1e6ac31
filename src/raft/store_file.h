/** File operations of the store, with disk faults that tests can inject. */
#ifndef AUBURN_STORE_FILE_H
#define AUBURN_STORE_FILE_H

#include <sys/types.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

/** Read from AUBURN_DISK_FAULT when a store is opened: "fsync_fail_after=100",
 * "full_after_bytes=65536", "capacity_bytes=65536", "full_while_exists=/path", "sync_ms=200", or
 * several separated by commas. */
typedef struct {
	long fsync_fail_after; /* syncs that still succeed; -1: all */
	long full_after_bytes; /* bytes that can still be written; -1: no limit */
	long capacity_bytes; /* size of the folder at which it is full; -1: no limit */
	char full_while_exists[256]; /* writes and syncs fail while this file exists; empty: never
				      */
	long sync_ms; /* that a sync takes longer; -1: none */
} store_disk_fault_t;

/** A sync that takes this long, in ms, is logged: longer than followers wait for a leader. */
#define STORE_SLOW_SYNC_MS 500

void store_disk_fault_from_env(store_disk_fault_t *f);

/** Returns the bytes that can still be written to files in this folder; UINT64_MAX if unknown. */
uint64_t store_file_free_bytes(const store_disk_fault_t *f, const char *dir);
/** Returns the file's size in bytes; 0 if it cannot be read. */
uint64_t store_file_bytes(const char *path);

/** Each fails with STATUS_IO and a message that names the file. */
status_t store_file_write(store_disk_fault_t *f, int fd, const char *name, str_t data, off_t at);
status_t store_file_sync(store_disk_fault_t *f, int fd, const char *name);
/** Syncs the directory itself, so that files created, renamed or removed in it are durable. */
status_t store_dir_sync(store_disk_fault_t *f, const char *dir);
/** Appends the whole file to out. */
status_t store_file_read(const char *path, buf_t *out);
/** Writes the parts to a temporary file, syncs it, renames it and syncs the directory. */
status_t store_file_replace(store_disk_fault_t *f, const char *dir, const char *name,
			    const str_t *parts, size_t n);
/** Creates a directory and its parents if they are missing, and syncs their names. */
status_t store_dir_make(store_disk_fault_t *f, const char *dir);

/** Lists the numbers, ascending, of the files named by the prefix and a hexadecimal number; the
 * caller frees *out, also after an error. */
status_t store_list_numbered_files(const char *dir, const char *prefix, uint64_t **out, size_t *n);

#define STORE_PATH_BYTES 512

#endif
