/* Opening and closing the directory, and the id file that is written when the directory is
 * created. */
#include "raft/store_internal.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ID_FILE_NAME "id"

typedef struct {
	uint64_t magic;
	uint64_t id;
	uint32_t crc;
	uint32_t zero;
} id_file_t;

bool store_exists(const char *dir)
{
	char path[STORE_PATH_BYTES];

	snprintf(path, sizeof(path), "%s/" ID_FILE_NAME, dir);
	/* After another error the file may be there: the store must not be created over it. */
	return access(path, F_OK) == 0 || (errno != ENOENT && errno != ENOTDIR);
}

static status_t read_id(store_t *s)
{
	char path[STORE_PATH_BYTES];
	AUTO_BUF b = {0};
	id_file_t f;
	status_t st;

	snprintf(path, sizeof(path), "%s/" ID_FILE_NAME, s->dir);
	st = store_file_read(path, &b);
	if (st != STATUS_OK)
		return st;
	if (b.n != sizeof(f))
		return status_fail(STATUS_CORRUPT, "%s: offset %zu: unexpected length", path, b.n);
	memcpy(&f, b.p, sizeof(f));
	if (f.magic != STORE_ID_MAGIC || f.crc != store_crc(0, &f, offsetof(id_file_t, crc)))
		return status_fail(STATUS_CORRUPT, "%s: offset 0: checksum differs", path);
	s->id = f.id;
	return STATUS_OK;
}

static status_t write_id(store_t *s)
{
	id_file_t f = {STORE_ID_MAGIC, s->id, 0, 0};

	f.crc = store_crc(0, &f, offsetof(id_file_t, crc));
	return store_file_replace(&s->fault, s->dir, ID_FILE_NAME,
				  &(str_t){(const char *)&f, sizeof(f)}, 1);
}

static status_t list_error(const store_t *s)
{
	return status_fail(STATUS_IO, "%s: list: %s", s->dir, strerror(errno));
}

/* A directory with a snapshot was complete, so its missing id is damage. */
static status_t check_no_snapshot(const store_t *s, DIR *d)
{
	const struct dirent *e;

	while ((errno = 0, e = readdir(d))) {
		if (strncmp(e->d_name, "snap-", 5) == 0)
			return status_fail(STATUS_CORRUPT, "%s/%s: offset 0: the file is missing",
					   s->dir, ID_FILE_NAME);
	}
	return errno ? list_error(s) : STATUS_OK;
}

static status_t remove_listed_segments(const store_t *s, DIR *d)
{
	char path[STORE_PATH_BYTES * 2];
	const struct dirent *e;

	while ((errno = 0, e = readdir(d))) {
		snprintf(path, sizeof(path), "%s/%s", s->dir, e->d_name);
		if (strncmp(e->d_name, "log-", 4) == 0)
			unlink(path);
	}
	return errno ? list_error(s) : STATUS_OK;
}

/* Removes the files of an interrupted creation. */
static status_t remove_partial_files(const store_t *s)
{
	DIR *d = opendir(s->dir);
	status_t st;

	if (!d)
		return list_error(s);
	st = check_no_snapshot(s, d);
	rewinddir(d);
	if (st == STATUS_OK)
		st = remove_listed_segments(s, d);
	closedir(d);
	return st;
}

/* Creates the directory and the first segment. The id file is written last: its presence marks a
 * complete directory whose name is synced. */
static status_t create_dir(store_t *s, const store_options_t *o)
{
	AUTO_BUF members = {0};
	raft_entry_t e = {.kind = RAFT_ENTRY_MEMBERS};
	uint64_t seq;
	status_t st = store_dir_make(&s->fault, s->dir);

	if (st == STATUS_OK)
		st = remove_partial_files(s);
	if (st != STATUS_OK)
		return st;
	s->id = o->new_id;
	s->hard_state = (store_record_t){.type = STORE_RECORD_HARD_STATE};
	st = store_segment_begin(s, 1, 0);
	if (st == STATUS_OK)
		store_segment_add(s, 1, 0);
	if (st == STATUS_OK && o->first_members) {
		raft_members_encode(o->first_members, &members);
		e.data.data_val = members.p;
		e.data.data_len = (u_int)members.n;
		store_queue_entries(s, 0, 1, &e, 1);
		st = store_sync(s, &seq);
	}
	if (st == STATUS_OK)
		st = write_id(s);
	close(s->segment_fd);
	s->segment_fd = -1;
	s->nsegments = 0;
	return st;
}

static status_t open_dir(store_t *s, const store_options_t *o, store_contents_t *contents)
{
	status_t st = STATUS_OK;

	contents->created = !store_exists(s->dir);
	if (contents->created)
		st = create_dir(s, o);
	if (st == STATUS_OK)
		st = read_id(s);
	if (st == STATUS_OK)
		st = store_snaps_open(s, contents);
	if (st == STATUS_OK)
		st = store_replay(s, contents);
	contents->id = s->id;
	return st;
}

status_t store_open(const store_options_t *o, store_t **out, store_contents_t *contents)
{
	store_t *s = mem_new(sizeof(*s));
	status_t st;

	*contents = (store_contents_t){0};
	pthread_mutex_init(&s->lock, NULL);
	snprintf(s->dir, sizeof(s->dir), "%s", o->dir);
	s->segment_bytes = o->segment_bytes ? o->segment_bytes : STORE_SEGMENT_BYTES;
	s->segment_fd = -1;
	s->incoming.fd = -1;
	s->chunk.p = mem_new(STORE_CHUNK_BYTES);
	store_disk_fault_from_env(&s->fault);
	st = open_dir(s, o, contents);
	if (st != STATUS_OK) {
		store_close(s);
		store_contents_free(contents);
		return st;
	}
	*out = s;
	return STATUS_OK;
}

void store_close(store_t *s)
{
	if (!s)
		return;
	if (s->segment_fd >= 0)
		close(s->segment_fd);
	store_snaps_close(s);
	buf_free(&s->queued);
	buf_free(&s->writing);
	buf_free(&s->chunk);
	buf_free(&s->chunk_members);
	free(s->segments);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

void store_contents_free(store_contents_t *contents)
{
	for (size_t i = 0; i < contents->nentries; i++)
		free(contents->entries[i].data.data_val);
	free(contents->entries);
	buf_free(&contents->snap);
	*contents = (store_contents_t){0};
}
