/* Snapshot files: written from this replica's state or from a leader's chunks, read in chunks. */
#include "raft/store_internal.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define INCOMING_FILE_NAME "snap.tmp"

static void snap_path(const store_t *s, uint64_t index, char path[STORE_PATH_BYTES])
{
	snprintf(path, STORE_PATH_BYTES, "%s/snap-%016lx", s->dir, (unsigned long)index);
}

static store_snap_header_t make_header(uint64_t index, uint64_t term, str_t members)
{
	store_snap_header_t h = {STORE_SNAP_MAGIC, index, term, (uint32_t)members.n, 0};

	h.crc = store_crc(0, &h, offsetof(store_snap_header_t, crc));
	h.crc = store_crc(h.crc, members.p, members.n);
	return h;
}

static void close_snap(store_snap_t *sn)
{
	if (sn->fd >= 0)
		close(sn->fd);
	buf_free(&sn->members);
}

void store_snaps_close(store_t *s)
{
	for (unsigned i = 0; i < s->nsnaps; i++)
		close_snap(&s->snaps[i]);
	s->nsnaps = 0;
	if (s->incoming.fd >= 0)
		close(s->incoming.fd);
	s->incoming.fd = -1;
}

/* errno is 0 if the file is too short. */
static bool read_at(int fd, uint64_t at, void *out, size_t n)
{
	size_t done = 0;

	while (done < n) {
		ssize_t got = pread(fd, (char *)out + done, n - done, (off_t)(at + done));

		if (got < 0 && errno == EINTR)
			continue;
		if (got == 0)
			errno = 0;
		if (got <= 0)
			return false;
		done += (size_t)got;
	}
	errno = 0; /* an interrupted read sets it */
	return true;
}

/* Appends n bytes of a file to out. */
static bool read_append(int fd, uint64_t at, size_t n, buf_t *out)
{
	if (out->cap < out->n + n + 1) {
		out->cap = out->n + n + 1;
		out->p = mem_grow(out->p, out->cap);
	}
	if (!read_at(fd, at, out->p + out->n, n))
		return false;
	out->n += n;
	out->p[out->n] = 0;
	return true;
}

/* Reads and checks the header, members and footer. Returns false if the file is truncated or is not
 * a snapshot, with errno 0, and if it cannot be read. */
static bool read_header_and_footer(store_snap_t *sn, uint64_t size)
{
	store_snap_header_t h;
	store_snap_footer_t f;

	errno = 0;
	if (size < sizeof(h) + sizeof(f) || !read_at(sn->fd, 0, &h, sizeof(h)) ||
	    !read_at(sn->fd, size - sizeof(f), &f, sizeof(f)))
		return false;
	if (h.magic != STORE_SNAP_MAGIC || h.index != sn->index || f.magic != STORE_RECORD_MAGIC ||
	    h.members_len > size || sizeof(h) + h.members_len + f.len + sizeof(f) != size)
		return false;
	sn->term = h.term;
	sn->state_offset = sizeof(h) + h.members_len;
	sn->len = f.len;
	sn->crc = f.crc;
	return read_append(sn->fd, sizeof(h), h.members_len, &sn->members) &&
	       make_header(sn->index, h.term, str_buf(&sn->members)).crc == h.crc;
}

/* Opens a snapshot file and checks all but the state. */
static status_t open_snap(const store_t *s, uint64_t index, store_snap_t *sn)
{
	char path[STORE_PATH_BYTES];
	struct stat sb;

	*sn = (store_snap_t){.index = index};
	snap_path(s, index, path);
	sn->fd = open(path, O_RDONLY | O_CLOEXEC);
	if (sn->fd < 0 || fstat(sn->fd, &sb) != 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	if (read_header_and_footer(sn, (uint64_t)sb.st_size))
		return STATUS_OK;
	if (errno)
		return status_fail(STATUS_IO, "%s: read: %s", path, strerror(errno));
	return status_fail(STATUS_CORRUPT, "%s: offset 0: truncated or not a snapshot", path);
}

/* Appends the state to out if its checksum is right. */
static status_t load_state(const store_t *s, const store_snap_t *sn, buf_t *out)
{
	char path[STORE_PATH_BYTES];
	size_t start = out->n;

	snap_path(s, sn->index, path);
	if (!read_append(sn->fd, sn->state_offset, sn->len, out))
		return status_fail(STATUS_IO, "%s: read: %s", path, strerror(errno));
	if (store_crc(0, out->p + start, sn->len) == sn->crc)
		return STATUS_OK;
	out->n = start;
	return status_fail(STATUS_CORRUPT, "%s: offset %lu: checksum differs", path,
			   (unsigned long)sn->state_offset);
}

/* Inserts a snapshot into the list, oldest first, in place of one at the same index. Returns the
 * one that is replaced, or dropped if there are more than two, else one with fd -1. */
static store_snap_t insert_snap(store_t *s, const store_snap_t *sn)
{
	store_snap_t old = {.fd = -1};
	unsigned at = s->nsnaps;

	while (at > 0 && s->snaps[at - 1].index > sn->index)
		at--;
	if (at > 0 && s->snaps[at - 1].index == sn->index) {
		old = s->snaps[at - 1];
		s->snaps[at - 1] = *sn;
		return old;
	}
	memmove(&s->snaps[at + 1], &s->snaps[at], (s->nsnaps - at) * sizeof(*sn));
	s->snaps[at] = *sn;
	s->nsnaps++;
	if (s->nsnaps > STORE_SNAPS_MAX) {
		old = s->snaps[0];
		s->nsnaps--;
		memmove(s->snaps, s->snaps + 1, s->nsnaps * sizeof(s->snaps[0]));
	}
	return old;
}

/* Adds an open snapshot to the list and removes the file of the one that drops out. */
static void add_snap(store_t *s, const store_snap_t *sn)
{
	char path[STORE_PATH_BYTES];
	store_snap_t old;

	pthread_mutex_lock(&s->lock);
	old = insert_snap(s, sn);
	pthread_mutex_unlock(&s->lock);
	if (old.fd >= 0 && old.index != sn->index) {
		snap_path(s, old.index, path);
		unlink(path);
	}
	close_snap(&old);
}

/* Takes the oldest snapshot off the list if it is not the only one. */
static bool pop_older_snap(store_t *s, store_snap_t *old)
{
	bool take;

	pthread_mutex_lock(&s->lock);
	take = s->nsnaps > 1;
	if (take) {
		*old = s->snaps[0];
		s->nsnaps--;
		memmove(s->snaps, s->snaps + 1, s->nsnaps * sizeof(s->snaps[0]));
	}
	pthread_mutex_unlock(&s->lock);
	return take;
}

void store_cut_log(store_t *s)
{
	char path[STORE_PATH_BYTES];
	store_snap_t old;

	while (pop_older_snap(s, &old)) {
		snap_path(s, old.index, path);
		unlink(path);
		close_snap(&old);
	}
	store_segments_remove(s, store_newest_snapshot(s));
}

static store_snap_t *find_snap(store_t *s, uint64_t index)
{
	for (unsigned i = s->nsnaps; i > 0; i--) {
		if (index == 0 || s->snaps[i - 1].index == index)
			return &s->snaps[i - 1];
	}
	return NULL;
}

/* Removes a file that was written and could not be listed: it would keep its space to the next
 * start. */
static void remove_unlisted(store_t *s, uint64_t index)
{
	char path[STORE_PATH_BYTES];
	bool listed;

	pthread_mutex_lock(&s->lock);
	listed = find_snap(s, index) != NULL;
	pthread_mutex_unlock(&s->lock);
	snap_path(s, index, path);
	if (!listed)
		unlink(path);
}

/* Opens the snapshot file just written and adds it to the list. */
static status_t add_written_snap(store_t *s, uint64_t index)
{
	store_snap_t sn;
	status_t st = open_snap(s, index, &sn);

	if (st == STATUS_OK)
		add_snap(s, &sn);
	else
		close_snap(&sn);
	return st;
}

/* Renames a damaged file, so that the next start does not read it again. */
static void rename_broken(const store_t *s, uint64_t index)
{
	char path[STORE_PATH_BYTES];
	char broken[STORE_PATH_BYTES + 16];

	snap_path(s, index, path);
	snprintf(broken, sizeof(broken), "%s.broken", path);
	rename(path, broken);
}

/* Checks one file and adds it to the list; the state of the first valid one is loaded. A damaged
 * file is renamed. */
static status_t load_snap(store_t *s, uint64_t index, store_contents_t *contents)
{
	store_snap_t sn;
	raft_members_t members;
	status_t st = open_snap(s, index, &sn);

	if (st == STATUS_OK)
		st = raft_members_decode(str_buf(&sn.members), &members);
	if (st == STATUS_OK && contents->snap_index == 0)
		st = load_state(s, &sn, &contents->snap);
	if (st != STATUS_OK)
		close_snap(&sn);
	if (st == STATUS_CORRUPT) {
		rename_broken(s, index);
		contents->snap_broken = true;
		return STATUS_OK;
	}
	if (st != STATUS_OK)
		return st;
	if (contents->snap_index == 0) {
		contents->snap_index = index;
		contents->snap_term = sn.term;
		contents->snap_members = members;
	}
	add_snap(s, &sn);
	return STATUS_OK;
}

status_t store_snaps_open(store_t *s, store_contents_t *contents)
{
	AUTO_FREE uint64_t *v = NULL;
	size_t n;
	status_t st = store_list_numbered_files(s->dir, "snap-", &v, &n);

	for (size_t i = n; i > 0 && st == STATUS_OK; i--)
		st = load_snap(s, v[i - 1], contents);
	return st;
}

status_t store_save_snapshot(store_t *s, uint64_t index, uint64_t term, str_t members, str_t state)
{
	store_snap_header_t h = make_header(index, term, members);
	store_snap_footer_t f = {state.n, store_crc(0, state.p, state.n), STORE_RECORD_MAGIC};
	const str_t parts[] = {
		{(const char *)&h, sizeof(h)}, members, state, {(const char *)&f, sizeof(f)}};
	char name[64];
	status_t st;

	if (index <= store_newest_snapshot(s))
		return STATUS_OK;
	snprintf(name, sizeof(name), "snap-%016lx", (unsigned long)index);
	st = store_file_replace(&s->fault, s->dir, name, parts, sizeof(parts) / sizeof(parts[0]));
	if (st == STATUS_OK)
		st = add_written_snap(s, index);
	if (st == STATUS_OK)
		store_segments_remove(s, store_oldest_snapshot(s));
	else
		remove_unlisted(s, index);
	return st;
}

bool store_read_snapshot(store_t *s, raft_snap_chunk_t *c)
{
	store_snap_t *sn;
	size_t n;
	bool ok;

	pthread_mutex_lock(&s->lock);
	sn = find_snap(s, c->index);
	ok = sn && c->offset <= sn->len;
	if (ok) {
		n = sn->len - c->offset < STORE_CHUNK_BYTES ? sn->len - c->offset
							    : STORE_CHUNK_BYTES;
		ok = read_at(sn->fd, sn->state_offset + c->offset, s->chunk.p, n);
		s->chunk.n = n;
	}
	if (ok) {
		s->chunk_members.n = 0;
		buf_add(&s->chunk_members, str_buf(&sn->members));
		c->index = sn->index;
		c->term = sn->term;
		c->members = str_buf(&s->chunk_members);
		c->data = (str_t){s->chunk.p, s->chunk.n};
		c->last = c->offset + s->chunk.n == sn->len;
		c->crc = sn->crc;
	}
	pthread_mutex_unlock(&s->lock);
	return ok;
}

status_t store_load_snapshot(store_t *s, uint64_t index, buf_t *out)
{
	store_snap_t sn;
	status_t st = open_snap(s, index, &sn);

	if (st == STATUS_OK)
		st = load_state(s, &sn, out);
	close_snap(&sn);
	return st;
}

static status_t begin_incoming(store_t *s, const raft_snap_chunk_t *c, const char *path)
{
	store_snap_header_t h = make_header(c->index, c->term, c->members);
	AUTO_BUF b = {0};

	if (s->incoming.fd >= 0)
		close(s->incoming.fd);
	s->incoming = (store_incoming_snap_t){.index = c->index,
					      .state_offset = sizeof(h) + c->members.n};
	s->incoming.fd = open(path, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
	if (s->incoming.fd < 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	buf_add(&b, (str_t){(const char *)&h, sizeof(h)});
	buf_add(&b, c->members);
	return store_file_write(&s->fault, s->incoming.fd, path, str_buf(&b), 0);
}

static status_t finish_incoming(store_t *s, const raft_snap_chunk_t *c, const char *path)
{
	store_snap_footer_t f = {s->incoming.len, s->incoming.crc, STORE_RECORD_MAGIC};
	char final[STORE_PATH_BYTES];
	status_t st;

	if (c->crc != s->incoming.crc)
		return status_fail(STATUS_INVALID,
				   "snapshot at index %lu: checksum of the received state differs",
				   (unsigned long)c->index);

	st = store_file_write(&s->fault, s->incoming.fd, path, (str_t){(const char *)&f, sizeof(f)},
			      (off_t)(s->incoming.state_offset + s->incoming.len));
	if (st == STATUS_OK)
		st = store_file_sync(&s->fault, s->incoming.fd, path);
	close(s->incoming.fd);
	s->incoming.fd = -1;
	snap_path(s, c->index, final);
	if (st == STATUS_OK && rename(path, final) != 0)
		st = status_fail(STATUS_IO, "%s: rename: %s", path, strerror(errno));
	if (st == STATUS_OK)
		st = store_dir_sync(&s->fault, s->dir);
	if (st == STATUS_OK)
		st = add_written_snap(s, c->index);
	if (st != STATUS_OK)
		remove_unlisted(s, c->index);
	return st;
}

static status_t write_incoming(store_t *s, const raft_snap_chunk_t *c, const char *path)
{
	status_t st = STATUS_OK;

	if (c->offset == 0)
		st = begin_incoming(s, c, path);
	if (st == STATUS_OK &&
	    (s->incoming.fd < 0 || s->incoming.index != c->index || s->incoming.len != c->offset))
		return status_fail(STATUS_INVALID, "snapshot chunk at offset %lu is out of order",
				   (unsigned long)c->offset);
	if (st == STATUS_OK)
		st = store_file_write(&s->fault, s->incoming.fd, path, c->data,
				      (off_t)(s->incoming.state_offset + s->incoming.len));
	if (st != STATUS_OK)
		return st;
	s->incoming.crc = store_crc(s->incoming.crc, c->data.p, c->data.n);
	s->incoming.len += c->data.n;
	return c->last ? finish_incoming(s, c, path) : STATUS_OK;
}

status_t store_receive_snapshot(store_t *s, const raft_snap_chunk_t *c)
{
	char path[STORE_PATH_BYTES];
	status_t st;

	snprintf(path, sizeof(path), "%s/%s", s->dir, INCOMING_FILE_NAME);
	st = write_incoming(s, c, path);
	if (st == STATUS_IO) {
		/* Frees the space of the part that was received. */
		if (s->incoming.fd >= 0)
			close(s->incoming.fd);
		s->incoming.fd = -1;
		unlink(path);
	}
	return st;
}

uint64_t store_oldest_snapshot(store_t *s)
{
	uint64_t index;

	pthread_mutex_lock(&s->lock);
	index = s->nsnaps > 1 ? s->snaps[0].index : 0;
	pthread_mutex_unlock(&s->lock);
	return index;
}

uint64_t store_newest_snapshot(store_t *s)
{
	uint64_t index;

	pthread_mutex_lock(&s->lock);
	index = s->nsnaps ? s->snaps[s->nsnaps - 1].index : 0;
	pthread_mutex_unlock(&s->lock);
	return index;
}
