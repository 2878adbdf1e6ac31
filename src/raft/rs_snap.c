/* Snapshot files: written from the own state or from a leader's pieces, read back in pieces. */
#include "raft/rs_int.h"

#include <assert.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define RECEIVE_NAME "snap.tmp"

static void snap_path(const rs_t *s, uint64_t index, char path[RS_PATH_BYTES])
{
	snprintf(path, RS_PATH_BYTES, "%s/snap-%016lx", s->dir, (unsigned long)index);
}

static rs_snap_header_t make_header(uint64_t index, uint64_t term, str_t conf)
{
	rs_snap_header_t h = {RS_SNAP_MAGIC, index, term, (uint32_t)conf.n, 0};

	h.crc = rs_crc(0, &h, offsetof(rs_snap_header_t, crc));
	h.crc = rs_crc(h.crc, conf.p, conf.n);
	return h;
}

static void close_snap(rs_snap_t *sn)
{
	if (sn->fd >= 0)
		close(sn->fd);
	buf_free(&sn->conf);
}

void rs_snaps_close(rs_t *s)
{
	for (unsigned i = 0; i < s->nsnaps; i++)
		close_snap(&s->snaps[i]);
	s->nsnaps = 0;
	if (s->in.fd >= 0)
		close(s->in.fd);
	s->in.fd = -1;
}

/* Reads a snapshot file whole and checks it; the state is appended to out. */
static status_t check_snap(const rs_t *s, uint64_t index, rs_snap_t *sn, buf_t *out)
{
	char path[RS_PATH_BYTES];
	AUTO_BUF b = {0};
	rs_snap_header_t h;
	rs_snap_footer_t f;
	status_t st;

	snap_path(s, index, path);
	st = rs_file_read(path, &b);
	if (st != ST_OK)
		return st;
	if (b.n < sizeof(h) + sizeof(f))
		return st_fail(ST_CORRUPT, "%s: offset %zu: cut short", path, b.n);
	memcpy(&h, b.p, sizeof(h));
	memcpy(&f, b.p + b.n - sizeof(f), sizeof(f));
	if (h.magic != RS_SNAP_MAGIC || h.index != index || f.magic != RS_RECORD_MAGIC ||
	    h.conf_len > b.n || sizeof(h) + h.conf_len + f.len + sizeof(f) != b.n)
		return st_fail(ST_CORRUPT, "%s: offset 0: cut short or not a snapshot", path);
	sn->index = index;
	sn->term = h.term;
	sn->at = sizeof(h) + h.conf_len;
	sn->len = f.len;
	if (make_header(index, h.term, (str_t){b.p + sizeof(h), h.conf_len}).crc != h.crc ||
	    rs_crc(0, b.p + sn->at, sn->len) != f.crc)
		return st_fail(ST_CORRUPT, "%s: offset 0: checksum differs", path);
	buf_add(&sn->conf, (str_t){b.p + sizeof(h), h.conf_len});
	buf_add(out, (str_t){b.p + sn->at, sn->len});
	return ST_OK;
}

/* Opens a file that was checked and keeps it as the newest; drops those beyond the two newest. */
static status_t keep_snap(rs_t *s, rs_snap_t *sn)
{
	char path[RS_PATH_BYTES];
	rs_snap_t old = {.fd = -1};

	snap_path(s, sn->index, path);
	sn->fd = open(path, O_RDONLY | O_CLOEXEC);
	if (sn->fd < 0) {
		buf_free(&sn->conf);
		return st_fail(ST_IO, "%s: open: %s", path, strerror(errno));
	}
	pthread_mutex_lock(&s->lock);
	s->snaps[s->nsnaps++] = *sn;
	if (s->nsnaps > RS_SNAPS_KEPT) {
		old = s->snaps[0];
		s->nsnaps--;
		memmove(s->snaps, s->snaps + 1, s->nsnaps * sizeof(s->snaps[0]));
	}
	pthread_mutex_unlock(&s->lock);
	if (old.fd >= 0) {
		snap_path(s, old.index, path);
		unlink(path);
	}
	close_snap(&old);
	return ST_OK;
}

static int compare_indexes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static size_t list_snaps(const rs_t *s, uint64_t **out)
{
	DIR *d = opendir(s->dir);
	struct dirent *e;
	uint64_t *v = NULL;
	size_t n = 0;

	while (d && (e = readdir(d))) {
		char *end;
		unsigned long index;

		if (strncmp(e->d_name, "snap-", 5) != 0)
			continue;
		index = strtoul(e->d_name + 5, &end, 16);
		if (*end)
			continue;
		v = mem_grow(v, (n + 1) * sizeof(*v));
		v[n++] = index;
	}
	if (d)
		closedir(d);
	if (n)
		qsort(v, n, sizeof(*v), compare_indexes);
	*out = v;
	return n;
}

/* Renames a file that is broken, so that it isn't met again. */
static void set_aside(const rs_t *s, uint64_t index)
{
	char path[RS_PATH_BYTES];
	char aside[RS_PATH_BYTES + 16];

	snap_path(s, index, path);
	snprintf(aside, sizeof(aside), "%s.broken", path);
	rename(path, aside);
}

/* The newest whole snapshot becomes the state; a broken one gives way to the one before. */
status_t rs_snaps_find(rs_t *s, rs_state_t *state)
{
	AUTO_FREE uint64_t *v = NULL;
	size_t n = list_snaps(s, &v);
	status_t st;

	for (size_t i = 0; i < n; i++) {
		rs_snap_t sn = {0};

		state->snap.n = 0;
		st = check_snap(s, v[i], &sn, &state->snap);
		if (st == ST_OK)
			st = rf_conf_decode(str_buf(&sn.conf), &state->snap_conf);
		if (st == ST_CORRUPT) {
			buf_free(&sn.conf);
			set_aside(s, v[i]);
			state->snap_broken = true;
			continue;
		}
		if (st == ST_OK)
			st = keep_snap(s, &sn);
		if (st != ST_OK)
			return st;
		state->snap_index = sn.index;
		state->snap_term = sn.term;
	}
	if (s->nsnaps == 0)
		return ST_OK;
	/* The last file read may have been a broken one. */
	state->snap.n = 0;
	st = rs_snap_load(s, state->snap_index, &state->snap);
	if (st == ST_OK)
		st = rf_conf_decode(str_buf(&s->snaps[s->nsnaps - 1].conf), &state->snap_conf);
	return st;
}

status_t rs_snap_save(rs_t *s, uint64_t index, uint64_t term, str_t conf, str_t state)
{
	rs_snap_header_t h = make_header(index, term, conf);
	rs_snap_footer_t f = {state.n, rs_crc(0, state.p, state.n), RS_RECORD_MAGIC};
	rs_snap_t sn = {index, term, state.n, sizeof(h) + conf.n, {0}, -1};
	AUTO_BUF b = {0};
	char name[64];
	status_t st;

	if (index <= rs_snap_newest(s))
		return ST_OK;
	snprintf(name, sizeof(name), "snap-%016lx", (unsigned long)index);
	buf_add(&b, (str_t){(const char *)&h, sizeof(h)});
	buf_add(&b, conf);
	buf_add(&b, state);
	buf_add(&b, (str_t){(const char *)&f, sizeof(f)});
	st = rs_file_replace(&s->fault, s->dir, name, str_buf(&b));
	if (st != ST_OK)
		return st;
	buf_add(&sn.conf, conf);
	st = keep_snap(s, &sn);
	if (st == ST_OK)
		rs_segments_drop(s, rs_snap_oldest(s));
	return st;
}

static rs_snap_t *find_snap(rs_t *s, uint64_t index)
{
	for (unsigned i = s->nsnaps; i > 0; i--) {
		if (index == 0 || s->snaps[i - 1].index == index)
			return &s->snaps[i - 1];
	}
	return NULL;
}

static ssize_t read_state(const rs_snap_t *sn, uint64_t offset, char *out, size_t n)
{
	size_t done = 0;

	while (done < n) {
		ssize_t got = pread(sn->fd, out + done, n - done, (off_t)(sn->at + offset + done));

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return -1;
		done += (size_t)got;
	}
	return (ssize_t)done;
}

bool rs_snap_read(rs_t *s, rf_chunk_t *c)
{
	rs_snap_t *sn;
	size_t n;
	bool ok;

	pthread_mutex_lock(&s->lock);
	sn = find_snap(s, c->index);
	ok = sn && c->offset <= sn->len;
	if (ok) {
		n = sn->len - c->offset < RS_CHUNK_BYTES ? sn->len - c->offset : RS_CHUNK_BYTES;
		ok = read_state(sn, c->offset, s->chunk.p, n) >= 0;
		s->chunk.n = n;
	}
	if (ok) {
		s->chunk_conf.n = 0;
		buf_add(&s->chunk_conf, str_buf(&sn->conf));
		c->index = sn->index;
		c->term = sn->term;
		c->conf = str_buf(&s->chunk_conf);
		c->data = (str_t){s->chunk.p, s->chunk.n};
		c->last = c->offset + s->chunk.n == sn->len;
	}
	pthread_mutex_unlock(&s->lock);
	return ok;
}

status_t rs_snap_load(rs_t *s, uint64_t index, buf_t *out)
{
	rs_snap_t sn = {0};
	status_t st = check_snap(s, index, &sn, out);

	buf_free(&sn.conf);
	return st;
}

static status_t begin_incoming(rs_t *s, const rf_chunk_t *c, const char *path)
{
	rs_snap_header_t h = make_header(c->index, c->term, c->conf);
	AUTO_BUF b = {0};

	if (s->in.fd >= 0)
		close(s->in.fd);
	s->in = (rs_incoming_t){.index = c->index, .at = sizeof(h) + c->conf.n};
	s->in.fd = open(path, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
	if (s->in.fd < 0)
		return st_fail(ST_IO, "%s: open: %s", path, strerror(errno));
	buf_add(&b, (str_t){(const char *)&h, sizeof(h)});
	buf_add(&b, c->conf);
	return rs_file_write(&s->fault, s->in.fd, path, str_buf(&b), 0);
}

static status_t finish_incoming(rs_t *s, const rf_chunk_t *c, const char *path)
{
	rs_snap_footer_t f = {s->in.len, s->in.crc, RS_RECORD_MAGIC};
	rs_snap_t sn = {c->index, c->term, s->in.len, s->in.at, {0}, -1};
	char final[RS_PATH_BYTES];
	status_t st;

	st = rs_file_write(&s->fault, s->in.fd, path, (str_t){(const char *)&f, sizeof(f)},
			   (off_t)(s->in.at + s->in.len));
	if (st == ST_OK)
		st = rs_file_sync(&s->fault, s->in.fd, path);
	close(s->in.fd);
	s->in.fd = -1;
	snap_path(s, c->index, final);
	if (st == ST_OK && rename(path, final) != 0)
		st = st_fail(ST_IO, "%s: rename: %s", path, strerror(errno));
	if (st == ST_OK)
		st = rs_dir_sync(&s->fault, s->dir);
	if (st != ST_OK)
		return st;
	buf_add(&sn.conf, c->conf);
	return keep_snap(s, &sn);
}

status_t rs_snap_receive(rs_t *s, const rf_chunk_t *c)
{
	char path[RS_PATH_BYTES];
	status_t st = ST_OK;

	snprintf(path, sizeof(path), "%s/%s", s->dir, RECEIVE_NAME);
	if (c->offset == 0)
		st = begin_incoming(s, c, path);
	if (st == ST_OK && (s->in.fd < 0 || s->in.index != c->index || s->in.len != c->offset))
		return st_fail(ST_INVALID, "a piece at %lu is out of order",
			       (unsigned long)c->offset);
	if (st == ST_OK)
		st = rs_file_write(&s->fault, s->in.fd, path, c->data,
				   (off_t)(s->in.at + s->in.len));
	if (st != ST_OK)
		return st;
	s->in.crc = rs_crc(s->in.crc, c->data.p, c->data.n);
	s->in.len += c->data.n;
	return c->last ? finish_incoming(s, c, path) : ST_OK;
}

uint64_t rs_snap_oldest(rs_t *s)
{
	uint64_t index;

	pthread_mutex_lock(&s->lock);
	index = s->nsnaps > 1 ? s->snaps[0].index : 0;
	pthread_mutex_unlock(&s->lock);
	return index;
}

uint64_t rs_snap_newest(rs_t *s)
{
	uint64_t index;

	pthread_mutex_lock(&s->lock);
	index = s->nsnaps ? s->snaps[s->nsnaps - 1].index : 0;
	pthread_mutex_unlock(&s->lock);
	return index;
}
