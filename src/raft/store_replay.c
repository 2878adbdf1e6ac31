/* Reading the segments when a directory is opened. */
#include "raft/store_internal.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The log as read so far. */
typedef struct {
	store_t *s;
	store_contents_t *contents;
	uint64_t base; /* entries[i] is entry base + 1 + i */
	bool has_base;
	uint64_t base_term;
	raft_entry_t *entries;
	size_t n;
	size_t cap;
	uint64_t max_index; /* highest entry index in the segment being read */
} replay_t;

static void truncate_entries(replay_t *rp, size_t n)
{
	while (rp->n > n)
		free(rp->entries[--rp->n].data.data_val);
}

static void replay_entry(replay_t *rp, const store_record_t *rec, str_t data)
{
	raft_entry_t e = {.term = rec->term, .kind = (raft_entry_kind_t)rec->entry_kind};

	if (!rp->has_base || rec->index <= rp->base) {
		truncate_entries(rp, 0);
		rp->base = rec->index - 1;
		rp->has_base = true;
	}
	truncate_entries(rp, rec->index - rp->base - 1);
	if (rp->n == rp->cap) {
		rp->cap = rp->cap ? rp->cap * 2 : 64;
		rp->entries = mem_grow(rp->entries, rp->cap * sizeof(*rp->entries));
	}
	e.data.data_len = (u_int)data.n;
	e.data.data_val = str_dup(data);
	rp->entries[rp->n++] = e;
	if (rp->max_index < rec->index)
		rp->max_index = rec->index;
}

static status_t replay_record(replay_t *rp, const store_record_t *rec, str_t data, const char *path,
			      size_t at)
{
	switch (rec->type) {
	case STORE_RECORD_ENTRY:
		if (rec->index == 0 || (rp->has_base && rec->index > rp->base + rp->n + 1))
			return status_fail(
				STATUS_CORRUPT, "%s: offset %zu: entry %lu follows entry %lu", path,
				at, (unsigned long)rec->index, (unsigned long)(rp->base + rp->n));
		replay_entry(rp, rec, data);
		return STATUS_OK;
	case STORE_RECORD_HARD_STATE:
		rp->contents->term = rec->term;
		rp->contents->vote = rec->index;
		rp->s->hard_state = (store_record_t){
			.type = STORE_RECORD_HARD_STATE, .index = rec->index, .term = rec->term};
		return STATUS_OK;
	case STORE_RECORD_RESET:
		truncate_entries(rp, 0);
		rp->base = rec->index;
		rp->base_term = rec->term;
		rp->has_base = true;
		return STATUS_OK;
	case STORE_RECORD_SYNC_MARK:
		return STATUS_OK;
	default:
		return status_fail(STATUS_CORRUPT, "%s: offset %zu: unknown record type %u", path,
				   at, rec->type);
	}
}

/* Parses the record at `at`. Returns its length with padding, or 0 if it is incomplete or
 * damaged. */
static size_t parse_record(str_t file, size_t at, store_record_t *rec, str_t *data)
{
	size_t padded;
	uint32_t crc;

	if (file.n - at < sizeof(*rec))
		return 0;
	memcpy(rec, file.p + at, sizeof(*rec));
	if (rec->magic != STORE_RECORD_MAGIC || rec->len > file.n - at - sizeof(*rec))
		return 0;
	padded = ((size_t)rec->len + STORE_RECORD_ALIGN - 1) / STORE_RECORD_ALIGN *
		 STORE_RECORD_ALIGN;
	*data = (str_t){file.p + at + sizeof(*rec), rec->len};
	crc = store_crc(0, &rec->len, sizeof(*rec) - offsetof(store_record_t, len));
	if (store_crc(crc, data->p, data->n) != rec->crc || padded > file.n - at - sizeof(*rec))
		return 0;
	return sizeof(*rec) + padded;
}

/* Returns true if the synced_len of a later record says that the bytes at `broken` were synced. */
static bool was_synced(str_t file, size_t broken)
{
	store_record_t rec;
	str_t data;

	for (size_t at = broken + STORE_RECORD_ALIGN; at + sizeof(rec) <= file.n;
	     at += STORE_RECORD_ALIGN) {
		if (parse_record(file, at, &rec, &data) != 0 && rec.synced_len > broken)
			return true;
	}
	return false;
}

/* Reads the start of a segment; false if it is missing, incomplete or damaged. *previous_len is the
 * length of the segment before as it records it; 0: unknown. */
static bool parse_start(const store_t *s, str_t file, uint64_t number, uint64_t *previous_len)
{
	store_segment_header_t h;
	store_record_t rec;
	str_t data;

	if (file.n < sizeof(h))
		return false;
	memcpy(&h, file.p, sizeof(h));
	if (h.magic != STORE_SEGMENT_MAGIC || h.id != s->id || h.number != number ||
	    h.crc != store_crc(0, &h, offsetof(store_segment_header_t, crc)))
		return false;
	if (parse_record(file, sizeof(h), &rec, &data) == 0 || rec.type != STORE_RECORD_HARD_STATE)
		return false;
	*previous_len = 0;
	if (data.n == sizeof(*previous_len))
		memcpy(previous_len, data.p, sizeof(*previous_len));
	return true;
}

/* Writes the records of a segment anew. A sync of the file as it is would prove nothing: if an
 * earlier one failed, what was read may be in memory only. */
static status_t rewrite_segment(store_t *s, uint64_t number, str_t records)
{
	char name[64];

	snprintf(name, sizeof(name), "log-%016lx", (unsigned long)number);
	return store_file_replace(&s->fault, s->dir, name, &records, 1);
}

/* Where a segment ends. */
typedef struct {
	uint64_t len; /* as recorded by the next segment; 0: unknown */
	bool may_be_torn; /* the last write may be incomplete or not synced */
	bool is_last; /* its start may be incomplete, too */
} segment_end_t;

/* Reads the records of a segment up to its end; *at is where they end. *mark_at: where the last one
 * begins if it is a mark, so that those before it were synced; else 0. */
static status_t replay_records(replay_t *rp, str_t file, const char *path, uint64_t len, size_t *at,
			       size_t *mark_at)
{
	store_record_t rec;
	status_t st = STATUS_OK;
	str_t data;

	while (*at < file.n && (len == 0 || *at < len) && st == STATUS_OK) {
		size_t n = parse_record(file, *at, &rec, &data);

		if (n == 0)
			break;
		st = replay_record(rp, &rec, data, path, *at);
		*mark_at = rec.type == STORE_RECORD_SYNC_MARK ? *at : 0;
		*at += n;
	}
	return st;
}

/* Reads one segment; *size is its valid length, 0 if its start is incomplete. */
static status_t read_segment(replay_t *rp, uint64_t number, str_t file, segment_end_t end,
			     size_t *size)
{
	char path[STORE_PATH_BYTES];
	size_t at = sizeof(store_segment_header_t);
	uint64_t previous_len;
	size_t mark_at = 0;
	status_t st;

	store_segment_path(rp->s, number, path);
	*size = 0;
	if (!parse_start(rp->s, file, number, &previous_len)) {
		if (end.is_last && !was_synced(file, 0)) {
			rp->contents->cut_bytes = file.n;
			return STATUS_OK;
		}
		return status_fail(STATUS_CORRUPT, "%s: offset 0: damaged start", path);
	}
	st = replay_records(rp, file, path, end.len, &at, &mark_at);
	if (st != STATUS_OK)
		return st;
	*size = at;
	if (end.len ? at == end.len : at == file.n && !end.may_be_torn)
		return STATUS_OK;
	if (end.len == 0 && at == file.n && mark_at) {
		/* The mark itself may not be synced: the log continues in its place. */
		*size = mark_at;
		return STATUS_OK;
	}
	if (!end.may_be_torn || was_synced(file, at))
		return status_fail(STATUS_CORRUPT, "%s: offset %zu: damaged record", path, at);
	rp->contents->cut_bytes = file.n - at;
	return rewrite_segment(rp->s, number, (str_t){file.p, at});
}

static status_t read_file(const store_t *s, uint64_t number, buf_t *out)
{
	char path[STORE_PATH_BYTES];

	out->n = 0;
	store_segment_path(s, number, path);
	return store_file_read(path, out);
}

/* Returns the end of a segment, given the segment after it. If that has no whole start, it was
 * being created, maybe because the disk had refused the last write to this one. */
static segment_end_t end_before(const store_t *s, uint64_t number, str_t next, bool next_is_last)
{
	segment_end_t end = {0};

	if (!parse_start(s, next, number + 1, &end.len))
		end.may_be_torn = next_is_last && !was_synced(next, 0);
	return end;
}

/* Reads all segments and opens the last one to continue the log in it. */
static status_t read_segments(replay_t *rp)
{
	AUTO_FREE uint64_t *numbers = NULL;
	size_t n;
	AUTO_BUF file = {0};
	AUTO_BUF next = {0};
	size_t previous_size = 0;
	size_t size = 0;
	status_t st = store_list_numbered_files(rp->s->dir, "log-", &numbers, &n);

	if (st == STATUS_OK && n > 0)
		st = read_file(rp->s, numbers[0], &next);
	for (size_t i = 0; i < n && st == STATUS_OK; i++) {
		segment_end_t end = {.may_be_torn = true, .is_last = true};
		buf_t swap = file;

		file = next;
		next = swap;
		if (i + 1 < n && numbers[i + 1] != numbers[i] + 1)
			return status_fail(STATUS_CORRUPT, "%s: segment %lx is missing", rp->s->dir,
					   (unsigned long)numbers[i] + 1);
		if (i + 1 < n) {
			st = read_file(rp->s, numbers[i + 1], &next);
			if (st != STATUS_OK)
				break;
			end = end_before(rp->s, numbers[i], str_buf(&next), i + 2 == n);
		}
		rp->max_index = 0;
		previous_size = size;
		st = read_segment(rp, numbers[i], str_buf(&file), end, &size);
		if (st == STATUS_OK && size > 0)
			store_segment_add(rp->s, numbers[i], rp->max_index);
	}
	if (st != STATUS_OK)
		return st;
	if (n == 0)
		return status_fail(STATUS_CORRUPT, "%s: no log segment", rp->s->dir);
	/* A segment with an incomplete start has no records yet; it is created again. */
	if (size == 0 && n == 1)
		return status_fail(STATUS_CORRUPT, "%s: the only segment has an incomplete start",
				   rp->s->dir);
	if (size == 0) {
		st = store_segment_begin(rp->s, numbers[n - 1], previous_size);
		if (st == STATUS_OK)
			store_segment_add(rp->s, numbers[n - 1], 0);
		return st;
	}
	return store_segment_continue(rp->s, size);
}

/* Drops the entries that the snapshot covers, so that the log starts after it. */
static status_t drop_entries_in_snapshot(replay_t *rp)
{
	store_contents_t *contents = rp->contents;
	uint64_t snap = contents->snap_index;
	uint64_t last = rp->base + rp->n;
	uint64_t term = contents->snap_term;
	size_t skip;

	if (rp->has_base && rp->base > snap)
		return status_fail(STATUS_CORRUPT,
				   "%s: log starts after index %lu, but the snapshot ends at %lu",
				   rp->s->dir, (unsigned long)rp->base, (unsigned long)snap);
	skip = last < snap ? rp->n : snap - rp->base;
	assert(skip == 0 || rp->entries);
	if (skip)
		term = rp->entries[skip - 1].term;
	if (last < snap || term != contents->snap_term) {
		/* The snapshot came from a leader, and the process stopped before the log was reset
		 * to it. */
		truncate_entries(rp, 0);
		store_queue_reset(rp->s, 0, snap, contents->snap_term);
		return STATUS_OK;
	}
	for (size_t i = 0; i < skip; i++)
		free(rp->entries[i].data.data_val);
	rp->n -= skip;
	if (rp->n)
		memmove(rp->entries, rp->entries + skip, rp->n * sizeof(*rp->entries));
	return STATUS_OK;
}

status_t store_replay(store_t *s, store_contents_t *contents)
{
	replay_t rp = {.s = s, .contents = contents};
	status_t st = read_segments(&rp);

	if (st == STATUS_OK)
		st = drop_entries_in_snapshot(&rp);
	if (st != STATUS_OK)
		truncate_entries(&rp, 0);
	contents->entries = rp.entries;
	contents->nentries = rp.n;
	return st;
}
