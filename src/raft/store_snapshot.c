/* Snapshot files: written from the own state or from a leader's pieces, read back in pieces. */
#include "raft/store_internal.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define RECEIVE_NAME "snap.tmp"

static void snap_path(const store_t *s, uint64_t index, char path[STORE_PATH_BYTES])
{
	snprintf(path, STORE_PATH_BYTES, "%s/snap-%016lx", s->dir, (unsigned long)index);
}

static store_snap_header_t make_header(uint64_t index, uint64_t term, str_t conf)
{
	store_snap_header_t h = {STORE_SNAP_MAGIC, index, term, (uint32_t)conf.n, 0};

	h.crc = store_crc(0, &h, offsetof(store_snap_header_t, crc));
	h.crc = store_crc(h.crc, conf.p, conf.n);
	return h;
}

static void close_snap(store_snap_t *sn)
{
	if (sn->fd >= 0)
		close(sn->fd);
	buf_free(&sn->conf);
}

void store_snaps_close(store_t *s)
{
	for (unsigned i = 0; i < s->nsnaps; i++)
		close_snap(&s->snaps[i]);
	s->nsnaps = 0;
	if (s->in.fd >= 0)
		close(s->in.fd);
	s->in.fd = -1;
}

static bool read_at(int fd, uint64_t at, void *out, size_t n)
{
	size_t done = 0;

	while (done < n) {
		ssize_t got = pread(fd, (char *)out + done, n - done, (off_t)(at + done));

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		done += (size_t)got;
	}
	return true;
}

/* Appends n bytes of a file to out. */
static bool append_at(int fd, uint64_t at, size_t n, buf_t *out)
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

/* Reads what stands around the state. False: the file was cut short or isn't a snapshot. */
static bool read_frame(store_snap_t *sn, uint64_t size)
{
	store_snap_header_t h;
	store_snap_footer_t f;

	if (size < sizeof(h) + sizeof(f) || !read_at(sn->fd, 0, &h, sizeof(h)) ||
	    !read_at(sn->fd, size - sizeof(f), &f, sizeof(f)))
		return false;
	if (h.magic != STORE_SNAP_MAGIC || h.index != sn->index || f.magic != STORE_RECORD_MAGIC ||
	    h.conf_len > size || sizeof(h) + h.conf_len + f.len + sizeof(f) != size)
		return false;
	sn->term = h.term;
	sn->at = sizeof(h) + h.conf_len;
	sn->len = f.len;
	sn->crc = f.crc;
	return append_at(sn->fd, sizeof(h), h.conf_len, &sn->conf) &&
	       make_header(sn->index, h.term, str_buf(&sn->conf)).crc == h.crc;
}

/* Opens a snapshot's file and checks all but the state. */
static status_t open_snap(const store_t *s, uint64_t index, store_snap_t *sn)
{
	char path[STORE_PATH_BYTES];
	struct stat sb;

	*sn = (store_snap_t){.index = index};
	snap_path(s, index, path);
	sn->fd = open(path, O_RDONLY | O_CLOEXEC);
	if (sn->fd < 0 || fstat(sn->fd, &sb) != 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	if (!read_frame(sn, (uint64_t)sb.st_size))
		return status_fail(STATUS_CORRUPT, "%s: offset 0: cut short or not a snapshot",
				   path);
	return STATUS_OK;
}

/* Appends the state to out once it is checked. */
static status_t load_state(const store_t *s, const store_snap_t *sn, buf_t *out)
{
	char path[STORE_PATH_BYTES];
	size_t was = out->n;

	snap_path(s, sn->index, path);
	if (!append_at(sn->fd, sn->at, sn->len, out))
		return status_fail(STATUS_IO, "%s: read: %s", path, strerror(errno));
	if (store_crc(0, out->p + was, sn->len) == sn->crc)
		return STATUS_OK;
	out->n = was;
	return status_fail(STATUS_CORRUPT, "%s: offset %lu: checksum differs", path,
			   (unsigned long)sn->at);
}

/* Puts a snapshot into the list, which is oldest first; drops those beyond the two newest. */
static store_snap_t insert_snap(store_t *s, const store_snap_t *sn)
{
	store_snap_t old = {.fd = -1};
	unsigned at = s->nsnaps;

	while (at > 0 && s->snaps[at - 1].index > sn->index)
		at--;
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

/* Keeps an open snapshot; removes the one that it makes superfluous. */
static void keep_snap(store_t *s, const store_snap_t *sn)
{
	char path[STORE_PATH_BYTES];
	store_snap_t old;

	pthread_mutex_lock(&s->lock);
	old = insert_snap(s, sn);
	pthread_mutex_unlock(&s->lock);
	if (old.fd >= 0) {
		snap_path(s, old.index, path);
		unlink(path);
	}
	close_snap(&old);
}

/* Keeps the snapshot whose file was just written. */
static status_t keep_written(store_t *s, uint64_t index)
{
	store_snap_t sn;
	status_t st = open_snap(s, index, &sn);

	if (st == STATUS_OK)
		keep_snap(s, &sn);
	else
		close_snap(&sn);
	return st;
}

/* Renames a file that is broken, so that it isn't met again. */
static void set_aside(const store_t *s, uint64_t index)
{
	char path[STORE_PATH_BYTES];
	char aside[STORE_PATH_BYTES + 16];

	snap_path(s, index, path);
	snprintf(aside, sizeof(aside), "%s.broken", path);
	rename(path, aside);
}

/* Checks one file and keeps it; the first that is whole gives the state. A broken one is set
 * aside. */
static status_t take_snap(store_t *s, uint64_t index, store_contents_t *state)
{
	store_snap_t sn;
	raft_members_t conf;
	status_t st = open_snap(s, index, &sn);

	if (st == STATUS_OK)
		st = raft_members_decode(str_buf(&sn.conf), &conf);
	if (st == STATUS_OK && state->snap_index == 0)
		st = load_state(s, &sn, &state->snap);
	if (st != STATUS_OK)
		close_snap(&sn);
	if (st == STATUS_CORRUPT) {
		set_aside(s, index);
		state->snap_broken = true;
		return STATUS_OK;
	}
	if (st != STATUS_OK)
		return st;
	if (state->snap_index == 0) {
		state->snap_index = index;
		state->snap_term = sn.term;
		state->snap_members = conf;
	}
	keep_snap(s, &sn);
	return STATUS_OK;
}

/* The newest whole snapshot becomes the state; a broken one gives way to the one before. */
status_t store_snaps_find(store_t *s, store_contents_t *state)
{
	AUTO_FREE uint64_t *v = NULL;
	size_t n = store_list_numbered_files(s->dir, "snap-", &v);

	for (size_t i = n; i > 0; i--) {
		status_t st = take_snap(s, v[i - 1], state);

		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

status_t store_save_snapshot(store_t *s, uint64_t index, uint64_t term, str_t conf, str_t state)
{
	store_snap_header_t h = make_header(index, term, conf);
	store_snap_footer_t f = {state.n, store_crc(0, state.p, state.n), STORE_RECORD_MAGIC};
	const str_t parts[] = {
		{(const char *)&h, sizeof(h)}, conf, state, {(const char *)&f, sizeof(f)}};
	char name[64];
	status_t st;

	if (index <= store_newest_snapshot(s))
		return STATUS_OK;
	snprintf(name, sizeof(name), "snap-%016lx", (unsigned long)index);
	st = store_file_replace(&s->fault, s->dir, name, parts, sizeof(parts) / sizeof(parts[0]));
	if (st != STATUS_OK)
		return st;
	st = keep_written(s, index);
	if (st == STATUS_OK)
		store_segments_remove(s, store_oldest_snapshot(s));
	return st;
}

static store_snap_t *find_snap(store_t *s, uint64_t index)
{
	for (unsigned i = s->nsnaps; i > 0; i--) {
		if (index == 0 || s->snaps[i - 1].index == index)
			return &s->snaps[i - 1];
	}
	return NULL;
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
		ok = read_at(sn->fd, sn->at + c->offset, s->chunk.p, n);
		s->chunk.n = n;
	}
	if (ok) {
		s->chunk_conf.n = 0;
		buf_add(&s->chunk_conf, str_buf(&sn->conf));
		c->index = sn->index;
		c->term = sn->term;
		c->members = str_buf(&s->chunk_conf);
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

	if (s->in.fd >= 0)
		close(s->in.fd);
	s->in = (store_incoming_snap_t){.index = c->index, .at = sizeof(h) + c->members.n};
	s->in.fd = open(path, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
	if (s->in.fd < 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	buf_add(&b, (str_t){(const char *)&h, sizeof(h)});
	buf_add(&b, c->members);
	return store_file_write(&s->fault, s->in.fd, path, str_buf(&b), 0);
}

static status_t finish_incoming(store_t *s, const raft_snap_chunk_t *c, const char *path)
{
	store_snap_footer_t f = {s->in.len, s->in.crc, STORE_RECORD_MAGIC};
	char final[STORE_PATH_BYTES];
	status_t st;

	if (c->crc != s->in.crc)
		return status_fail(STATUS_INVALID,
				   "the snapshot at %lu arrived with another checksum",
				   (unsigned long)c->index);

	st = store_file_write(&s->fault, s->in.fd, path, (str_t){(const char *)&f, sizeof(f)},
			      (off_t)(s->in.at + s->in.len));
	if (st == STATUS_OK)
		st = store_file_sync(&s->fault, s->in.fd, path);
	close(s->in.fd);
	s->in.fd = -1;
	snap_path(s, c->index, final);
	if (st == STATUS_OK && rename(path, final) != 0)
		st = status_fail(STATUS_IO, "%s: rename: %s", path, strerror(errno));
	if (st == STATUS_OK)
		st = store_dir_sync(&s->fault, s->dir);
	return st == STATUS_OK ? keep_written(s, c->index) : st;
}

status_t store_receive_snapshot(store_t *s, const raft_snap_chunk_t *c)
{
	char path[STORE_PATH_BYTES];
	status_t st = STATUS_OK;

	snprintf(path, sizeof(path), "%s/%s", s->dir, RECEIVE_NAME);
	if (c->offset == 0)
		st = begin_incoming(s, c, path);
	if (st == STATUS_OK && (s->in.fd < 0 || s->in.index != c->index || s->in.len != c->offset))
		return status_fail(STATUS_INVALID, "a piece at %lu is out of order",
				   (unsigned long)c->offset);
	if (st == STATUS_OK)
		st = store_file_write(&s->fault, s->in.fd, path, c->data,
				      (off_t)(s->in.at + s->in.len));
	if (st != STATUS_OK)
		return st;
	s->in.crc = store_crc(s->in.crc, c->data.p, c->data.n);
	s->in.len += c->data.n;
	return c->last ? finish_incoming(s, c, path) : STATUS_OK;
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
