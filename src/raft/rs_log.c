/* Writing: records are queued by one thread and written with one sync by another. */
#include "raft/rs_int.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <isa-l.h>
#include "base/clk.h"

#define CRC_BYTES (1 << 30) /* the library counts in an int */

uint32_t rs_crc(uint32_t crc, const void *p, size_t n)
{
	unsigned char *at = (unsigned char *)p;

	while (n > CRC_BYTES) {
		crc = crc32_iscsi(at, CRC_BYTES, crc);
		at += CRC_BYTES;
		n -= CRC_BYTES;
	}
	return crc32_iscsi(at, (int)n, crc);
}

void rs_segment_path(const rs_t *s, uint64_t number, char path[RS_PATH_BYTES])
{
	snprintf(path, RS_PATH_BYTES, "%s/log-%016lx", s->dir, (unsigned long)number);
}

void rs_segment_add(rs_t *s, uint64_t number, uint64_t max_index)
{
	pthread_mutex_lock(&s->lock);
	s->segments = mem_grow(s->segments, (s->nsegments + 1) * sizeof(*s->segments));
	s->segments[s->nsegments++] = (rs_segment_t){number, max_index};
	pthread_mutex_unlock(&s->lock);
}

static void add_record(buf_t *out, rs_record_t rec, str_t data)
{
	static const char zeros[RS_ALIGN];
	size_t over = data.n % RS_ALIGN;

	rec.magic = RS_RECORD_MAGIC;
	rec.len = (uint32_t)data.n;
	buf_add(out, (str_t){(const char *)&rec, sizeof(rec)});
	buf_add(out, data);
	if (over)
		buf_add(out, (str_t){zeros, RS_ALIGN - over});
}

void rs_hard(rs_t *s, uint64_t seq, uint64_t term, uint64_t vote)
{
	pthread_mutex_lock(&s->lock);
	s->hard = (rs_record_t){.type = RS_HARD, .index = vote, .term = term};
	add_record(&s->queued, s->hard, (str_t){0});
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

void rs_entries(rs_t *s, uint64_t seq, uint64_t from, const rf_entry_t *e, size_t n)
{
	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < n; i++) {
		rs_record_t rec = {.type = RS_ENTRY,
				   .kind = (uint16_t)e[i].kind,
				   .index = from + i,
				   .term = e[i].term};

		add_record(&s->queued, rec, (str_t){e[i].data.data_val, e[i].data.data_len});
	}
	if (s->queued_max < from + n - 1)
		s->queued_max = from + n - 1;
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

void rs_reset(rs_t *s, uint64_t seq, uint64_t index, uint64_t term)
{
	pthread_mutex_lock(&s->lock);
	add_record(&s->queued, (rs_record_t){.type = RS_RESET, .index = index, .term = term},
		   (str_t){0});
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

bool rs_has_queued(rs_t *s)
{
	bool has;

	pthread_mutex_lock(&s->lock);
	has = s->queued.n > 0;
	pthread_mutex_unlock(&s->lock);
	return has;
}

/* Fills in what is known only at the time of writing. */
static void seal_records(buf_t *b, uint64_t synced)
{
	size_t at = 0;

	while (at < b->n) {
		rs_record_t rec;
		uint32_t crc;

		memcpy(&rec, b->p + at, sizeof(rec));
		rec.synced = synced;
		crc = rs_crc(0, &rec.len, sizeof(rec) - offsetof(rs_record_t, len));
		rec.crc = rs_crc(crc, b->p + at + sizeof(rec), rec.len);
		memcpy(b->p + at, &rec, sizeof(rec));
		at += sizeof(rec) + (rec.len + RS_ALIGN - 1) / RS_ALIGN * RS_ALIGN;
	}
	assert(at == b->n);
}

static status_t write_synced(rs_t *s, buf_t *b)
{
	char path[RS_PATH_BYTES];
	status_t st;

	rs_segment_path(s, s->number, path);
	seal_records(b, s->size);
	st = rs_file_write(&s->fault, s->fd, path, str_buf(b), (off_t)s->size);
	if (st == ST_OK)
		st = rs_file_sync(&s->fault, s->fd, path);
	if (st == ST_OK)
		s->size += b->n;
	return st;
}

/* Makes a segment; its first record repeats term and vote, so that older ones may go. */
status_t rs_segment_begin(rs_t *s, uint64_t number)
{
	rs_segment_header_t h = {RS_SEGMENT_MAGIC, s->id, number, 0, 0};
	AUTO_BUF b = {0};
	rs_record_t hard;
	char path[RS_PATH_BYTES];
	status_t st;

	h.crc = rs_crc(0, &h, offsetof(rs_segment_header_t, crc));
	rs_segment_path(s, number, path);
	s->fd = open(path, O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
	if (s->fd < 0)
		return st_fail(ST_IO, "%s: open: %s", path, strerror(errno));
	s->number = number;
	s->size = sizeof(h);
	rs_segment_add(s, number, 0);
	st = rs_file_write(&s->fault, s->fd, path, (str_t){(const char *)&h, sizeof(h)}, 0);
	if (st != ST_OK)
		return st;
	pthread_mutex_lock(&s->lock);
	hard = s->hard;
	pthread_mutex_unlock(&s->lock);
	add_record(&b, hard, (str_t){0});
	st = write_synced(s, &b);
	return st == ST_OK ? rs_dir_sync(&s->fault, s->dir) : st;
}

status_t rs_segment_continue(rs_t *s, uint64_t size)
{
	char path[RS_PATH_BYTES];

	s->number = s->segments[s->nsegments - 1].number;
	rs_segment_path(s, s->number, path);
	s->fd = open(path, O_RDWR | O_CLOEXEC);
	if (s->fd < 0)
		return st_fail(ST_IO, "%s: open: %s", path, strerror(errno));
	s->size = size;
	return ST_OK;
}

static status_t begin_next_segment(rs_t *s)
{
	close(s->fd);
	return rs_segment_begin(s, s->number + 1);
}

/* Takes what is queued; its number is *seq. */
static status_t take_queued(rs_t *s, uint64_t *seq)
{
	rs_segment_t *seg;
	buf_t swap;

	pthread_mutex_lock(&s->lock);
	if (s->failed) {
		pthread_mutex_unlock(&s->lock);
		return st_fail(ST_IO, "%s: the disk failed before", s->dir);
	}
	swap = s->writing;
	swap.n = 0;
	s->writing = s->queued;
	s->queued = swap;
	*seq = s->queued_seq;
	seg = &s->segments[s->nsegments - 1];
	if (seg->max_index < s->queued_max)
		seg->max_index = s->queued_max;
	s->queued_max = 0;
	pthread_mutex_unlock(&s->lock);
	return ST_OK;
}

status_t rs_sync(rs_t *s, uint64_t *seq)
{
	int64_t start = clk_now_us();
	status_t st = take_queued(s, seq);

	if (st != ST_OK || s->writing.n == 0)
		return st;
	s->marked = false;
	st = write_synced(s, &s->writing);
	pthread_mutex_lock(&s->lock);
	s->counters.syncs++;
	s->counters.sync_us += (uint64_t)(clk_now_us() - start);
	s->counters.bytes += s->writing.n;
	pthread_mutex_unlock(&s->lock);
	if (st == ST_OK && s->size >= s->segment_bytes)
		st = begin_next_segment(s);
	if (st != ST_OK) {
		pthread_mutex_lock(&s->lock);
		s->failed = true;
		pthread_mutex_unlock(&s->lock);
	}
	return st;
}

void rs_idle(rs_t *s)
{
	AUTO_BUF b = {0};
	char path[RS_PATH_BYTES];

	if (s->marked)
		return;
	s->marked = true;
	add_record(&b, (rs_record_t){.type = RS_MARK}, (str_t){0});
	seal_records(&b, s->size);
	rs_segment_path(s, s->number, path);
	if (rs_file_write(&s->fault, s->fd, path, str_buf(&b), (off_t)s->size) == ST_OK)
		s->size += b.n;
}

/* Takes the oldest segment off the list if it holds nothing beyond index. */
static bool take_oldest(rs_t *s, uint64_t index, uint64_t *number)
{
	bool take;

	pthread_mutex_lock(&s->lock);
	take = s->nsegments > 1 && s->segments[0].max_index <= index;
	if (take) {
		*number = s->segments[0].number;
		s->nsegments--;
		memmove(s->segments, s->segments + 1, s->nsegments * sizeof(*s->segments));
	}
	pthread_mutex_unlock(&s->lock);
	return take;
}

void rs_segments_drop(rs_t *s, uint64_t index)
{
	char path[RS_PATH_BYTES];
	uint64_t number;

	/* Without the lock: removing a file may wait for a sync of another. */
	while (take_oldest(s, index, &number)) {
		rs_segment_path(s, number, path);
		unlink(path);
	}
}

void rs_counters(rs_t *s, rs_counters_t *out)
{
	pthread_mutex_lock(&s->lock);
	*out = s->counters;
	pthread_mutex_unlock(&s->lock);
}
