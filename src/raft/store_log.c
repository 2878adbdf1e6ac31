/* Writing the log: one thread queues records, another writes all queued records with one sync. */
#include "raft/store_internal.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <isa-l.h>
#include "base/clock.h"

#define CRC_CALL_BYTES_MAX  (1 << 30) /* crc32_iscsi takes the length as an int */
#define SHORT_SEGMENT_BYTES (256 * 1024)

uint32_t store_crc(uint32_t crc, const void *p, size_t n)
{
	unsigned char *at = (unsigned char *)p;

	while (n > CRC_CALL_BYTES_MAX) {
		crc = crc32_iscsi(at, CRC_CALL_BYTES_MAX, crc);
		at += CRC_CALL_BYTES_MAX;
		n -= CRC_CALL_BYTES_MAX;
	}
	return crc32_iscsi(at, (int)n, crc);
}

void store_segment_path(const store_t *s, uint64_t number, char path[STORE_PATH_BYTES])
{
	snprintf(path, STORE_PATH_BYTES, "%s/log-%016lx", s->dir, (unsigned long)number);
}

void store_segment_add(store_t *s, uint64_t number, uint64_t max_index)
{
	pthread_mutex_lock(&s->lock);
	s->segments = mem_grow(s->segments, (s->nsegments + 1) * sizeof(*s->segments));
	s->segments[s->nsegments++] = (store_segment_t){number, max_index};
	pthread_mutex_unlock(&s->lock);
}

static void append_record(buf_t *out, store_record_t rec, str_t data)
{
	static const char zeros[STORE_RECORD_ALIGN];
	size_t over = data.n % STORE_RECORD_ALIGN;

	rec.magic = STORE_RECORD_MAGIC;
	rec.len = (uint32_t)data.n;
	buf_add(out, (str_t){(const char *)&rec, sizeof(rec)});
	buf_add(out, data);
	if (over)
		buf_add(out, (str_t){zeros, STORE_RECORD_ALIGN - over});
}

void store_queue_hard_state(store_t *s, uint64_t seq, uint64_t term, uint64_t vote)
{
	pthread_mutex_lock(&s->lock);
	s->hard_state =
		(store_record_t){.type = STORE_RECORD_HARD_STATE, .index = vote, .term = term};
	append_record(&s->queued, s->hard_state, (str_t){0});
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

void store_queue_entries(store_t *s, uint64_t seq, uint64_t from, const raft_entry_t *e, size_t n)
{
	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < n; i++) {
		store_record_t rec = {.type = STORE_RECORD_ENTRY,
				      .entry_kind = (uint16_t)e[i].kind,
				      .index = from + i,
				      .term = e[i].term};

		append_record(&s->queued, rec, (str_t){e[i].data.data_val, e[i].data.data_len});
	}
	if (s->queued_max < from + n - 1)
		s->queued_max = from + n - 1;
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

void store_queue_reset(store_t *s, uint64_t seq, uint64_t index, uint64_t term)
{
	pthread_mutex_lock(&s->lock);
	append_record(&s->queued,
		      (store_record_t){.type = STORE_RECORD_RESET, .index = index, .term = term},
		      (str_t){0});
	s->queued_seq = seq;
	pthread_mutex_unlock(&s->lock);
}

bool store_has_queued(store_t *s)
{
	bool has;

	pthread_mutex_lock(&s->lock);
	has = s->queued.n > 0 || s->refused;
	pthread_mutex_unlock(&s->lock);
	return has;
}

/* Sets the fields of queued records that are known only when they are written: synced_len and the
 * checksum. */
static void finalize_records(buf_t *b, uint64_t synced)
{
	size_t at = 0;

	while (at < b->n) {
		store_record_t rec;
		uint32_t crc;

		memcpy(&rec, b->p + at, sizeof(rec));
		rec.synced_len = synced;
		crc = store_crc(0, &rec.len, sizeof(rec) - offsetof(store_record_t, len));
		rec.crc = store_crc(crc, b->p + at + sizeof(rec), rec.len);
		memcpy(b->p + at, &rec, sizeof(rec));
		at += sizeof(rec) +
		      (rec.len + STORE_RECORD_ALIGN - 1) / STORE_RECORD_ALIGN * STORE_RECORD_ALIGN;
	}
	assert(at == b->n);
}

static status_t write_and_sync(store_t *s, buf_t *b)
{
	char path[STORE_PATH_BYTES];
	status_t st;

	store_segment_path(s, s->number, path);
	finalize_records(b, s->synced_size);
	st = store_file_write(&s->fault, s->segment_fd, path, str_buf(b), (off_t)s->size);
	if (st == STATUS_OK)
		st = store_file_sync(&s->fault, s->segment_fd, path);
	if (st != STATUS_OK)
		return st;
	s->size += b->n;
	s->synced_size = s->size;
	return STATUS_OK;
}

/* Writes the header of a new segment, and a record that repeats term and vote, so that older
 * segments can be removed, with the length of the segment before. */
static status_t write_segment_start(store_t *s, const char *path, uint64_t previous_len)
{
	store_segment_header_t h = {STORE_SEGMENT_MAGIC, s->id, s->number, 0, 0};
	AUTO_BUF b = {0};
	store_record_t hard;
	status_t st;

	h.crc = store_crc(0, &h, offsetof(store_segment_header_t, crc));
	st = store_file_write(&s->fault, s->segment_fd, path, (str_t){(const char *)&h, sizeof(h)},
			      0);
	if (st != STATUS_OK)
		return st;
	s->size = sizeof(h);
	s->synced_size = 0;
	pthread_mutex_lock(&s->lock);
	hard = s->hard_state;
	pthread_mutex_unlock(&s->lock);
	append_record(&b, hard, (str_t){(const char *)&previous_len, sizeof(previous_len)});
	st = write_and_sync(s, &b);
	return st == STATUS_OK ? store_dir_sync(&s->fault, s->dir) : st;
}

/* Removes the segment that was begun last. */
static void abandon_segment(store_t *s, uint64_t old_number)
{
	char path[STORE_PATH_BYTES];

	store_segment_path(s, s->number, path);
	close(s->segment_fd);
	s->segment_fd = -1;
	unlink(path);
	s->number = old_number;
}

status_t store_segment_begin(store_t *s, uint64_t number, uint64_t previous_len)
{
	uint64_t old_number = s->number;
	char path[STORE_PATH_BYTES];
	status_t st;

	store_segment_path(s, number, path);
	unlink(path); /* left by an attempt that failed, or without a whole header */
	s->segment_fd = open(path, O_CREAT | O_EXCL | O_RDWR | O_CLOEXEC, 0600);
	if (s->segment_fd < 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	s->number = number;
	st = write_segment_start(s, path, previous_len);
	if (st != STATUS_OK)
		abandon_segment(s, old_number);
	return st;
}

status_t store_segment_continue(store_t *s, uint64_t size)
{
	char path[STORE_PATH_BYTES];

	s->number = s->segments[s->nsegments - 1].number;
	store_segment_path(s, s->number, path);
	s->segment_fd = open(path, O_RDWR | O_CLOEXEC);
	if (s->segment_fd < 0)
		return status_fail(STATUS_IO, "%s: open: %s", path, strerror(errno));
	s->size = s->synced_size = size;
	/* A name that was removed may come back after a loss of power until that is synced. */
	return store_dir_sync(&s->fault, s->dir);
}

/* Continues the log in a new segment with what is to be written. The old one ends with what was
 * synced of it. After an error the new segment does not exist, so that tries take no space; it is
 * listed only afterwards, so that the old one isn't removed meanwhile. */
static status_t write_to_new_segment(store_t *s)
{
	uint64_t synced_size = s->synced_size;
	uint64_t old_number = s->number;
	status_t st;

	if (s->segment_fd >= 0)
		close(s->segment_fd);
	s->segment_fd = -1;
	st = store_segment_begin(s, old_number + 1, synced_size);
	if (st == STATUS_OK) {
		st = write_and_sync(s, &s->writing);
		if (st != STATUS_OK)
			abandon_segment(s, old_number);
	}
	if (st == STATUS_OK)
		store_segment_add(s, s->number, 0);
	else
		s->synced_size = synced_size;
	return st;
}

/* Takes all queued records for writing, after those that the disk refused; *seq is the sequence
 * number of the newest. Returns true if the disk refused some. */
static bool take_queued(store_t *s, uint64_t *seq)
{
	bool refused;
	buf_t swap;

	pthread_mutex_lock(&s->lock);
	refused = s->refused;
	if (refused) {
		buf_add(&s->writing, str_buf(&s->queued));
		s->queued.n = 0;
	} else {
		swap = s->writing;
		swap.n = 0;
		s->writing = s->queued;
		s->queued = swap;
	}
	*seq = s->queued_seq;
	if (s->writing_max < s->queued_max)
		s->writing_max = s->queued_max;
	s->queued_max = 0;
	pthread_mutex_unlock(&s->lock);
	return refused;
}

/* Records the outcome of writing what take_queued took. */
static void record_sync(store_t *s, status_t st, int64_t us)
{
	pthread_mutex_lock(&s->lock);
	s->refused = st != STATUS_OK;
	s->counters.syncs++;
	s->counters.sync_us += (uint64_t)us;
	if (st == STATUS_OK) {
		store_segment_t *seg = &s->segments[s->nsegments - 1];

		s->counters.bytes += s->writing.n;
		if (seg->max_index < s->writing_max)
			seg->max_index = s->writing_max;
		s->writing_max = 0;
		buf_clear(&s->writing);
	}
	pthread_mutex_unlock(&s->lock);
}

/* Size at which a segment ends. */
static uint64_t segment_limit(const store_t *s)
{
	if (s->short_segments && s->segment_bytes > SHORT_SEGMENT_BYTES)
		return SHORT_SEGMENT_BYTES;
	return s->segment_bytes;
}

void store_set_short_segments(store_t *s, bool on)
{
	s->short_segments = on;
}

/* Fills v with the numbers of the oldest segments that hold no entries after index, except for the
 * one being written; returns how many there are. */
static size_t covered_segments(store_t *s, uint64_t index, uint64_t *v, size_t max)
{
	size_t n = 0;

	pthread_mutex_lock(&s->lock);
	while (n < max && n + 1 < s->nsegments && s->segments[n].max_index <= index) {
		v[n] = s->segments[n].number;
		n++;
	}
	pthread_mutex_unlock(&s->lock);
	return n;
}

void store_measure_space(store_t *s, uint64_t index, disk_space_t *out)
{
	uint64_t numbers[16]; /* enough to decide whether to cut */
	size_t n = covered_segments(s, index, numbers, sizeof(numbers) / sizeof(numbers[0]));
	char path[STORE_PATH_BYTES];

	*out = (disk_space_t){.free = store_file_free_bytes(&s->fault, s->dir)};
	if (s->segment_fd >= 0 && s->size >= SHORT_SEGMENT_BYTES)
		out->removable = s->size;
	for (size_t i = 0; i < n; i++) {
		store_segment_path(s, numbers[i], path);
		out->removable += store_file_bytes(path);
	}
	pthread_mutex_lock(&s->lock);
	out->state = s->nsnaps ? s->snaps[s->nsnaps - 1].len : 0;
	out->queued = s->queued.n + (s->refused ? s->writing.n : 0);
	pthread_mutex_unlock(&s->lock);
}

status_t store_sync(store_t *s, uint64_t *seq)
{
	int64_t start = clock_now_us();
	bool refused = take_queued(s, seq);
	status_t st;

	if (s->writing.n == 0)
		return STATUS_OK;
	s->has_sync_mark = false;
	if (refused || s->segment_fd < 0 || s->size >= segment_limit(s))
		st = write_to_new_segment(s);
	else
		st = write_and_sync(s, &s->writing);
	record_sync(s, st, clock_now_us() - start);
	return st;
}

void store_write_sync_mark(store_t *s)
{
	AUTO_BUF b = {0};
	char path[STORE_PATH_BYTES];

	if (s->has_sync_mark || s->segment_fd < 0)
		return;
	s->has_sync_mark = true;
	append_record(&b, (store_record_t){.type = STORE_RECORD_SYNC_MARK}, (str_t){0});
	finalize_records(&b, s->synced_size);
	store_segment_path(s, s->number, path);
	if (store_file_write(&s->fault, s->segment_fd, path, str_buf(&b), (off_t)s->size) ==
	    STATUS_OK)
		s->size += b.n;
}

/* True if the oldest segment holds no entries after index and is not the one being written. */
static bool oldest_is_removable(store_t *s, uint64_t index)
{
	bool is;

	pthread_mutex_lock(&s->lock);
	is = s->nsegments > 1 && s->segments[0].max_index <= index;
	pthread_mutex_unlock(&s->lock);
	return is;
}

static uint64_t pop_oldest_segment(store_t *s)
{
	uint64_t number;

	pthread_mutex_lock(&s->lock);
	number = s->segments[0].number;
	s->nsegments--;
	memmove(s->segments, s->segments + 1, s->nsegments * sizeof(*s->segments));
	pthread_mutex_unlock(&s->lock);
	return number;
}

void store_segments_remove(store_t *s, uint64_t index)
{
	char path[STORE_PATH_BYTES];
	bool unsynced = false;

	/* Without the lock: unlink may wait for a sync of another file. */
	while (oldest_is_removable(s, index)) {
		/* Of two unsynced removals, a loss of power may undo the first alone, which leaves
		 * a gap. */
		if (unsynced && store_dir_sync(&s->fault, s->dir) != STATUS_OK)
			return;
		store_segment_path(s, pop_oldest_segment(s), path);
		unlink(path);
		unsynced = true;
	}
}

void store_get_counters(store_t *s, store_counters_t *out)
{
	pthread_mutex_lock(&s->lock);
	*out = s->counters;
	pthread_mutex_unlock(&s->lock);
}
