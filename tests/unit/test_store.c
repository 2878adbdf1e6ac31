/* Unit tests of the store: what a folder holds after each kind of damage. */
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "raft/store_internal.h"
#include "suite_kit.h"

static char root[64];
static char dir[96];
static store_t *s;
static store_contents_t st;

static status_t open_again(void)
{
	store_options_t o = {.dir = dir, .new_id = 77, .segment_bytes = 4096};

	store_close(s);
	store_contents_free(&st);
	s = NULL;
	return store_open(&o, &s, &st);
}

static int remove_one(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

static void setup(void)
{
	const char *tmp = getenv("TMPDIR");

	snprintf(root, sizeof(root), "%s/auburn-rs-XXXXXX", tmp ? tmp : "/tmp");
	ck_assert_ptr_nonnull(mkdtemp(root));
	snprintf(dir, sizeof(dir), "%s/a/b", root);
	ck_assert(!store_exists(dir));
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert(store_exists(dir));
	ck_assert(st.created);
}

static void teardown(void)
{
	store_close(s);
	store_contents_free(&st);
	nftw(root, remove_one, 16, FTW_DEPTH | FTW_PHYS);
}

/* Appends and syncs the entry at index, of this term. */
static void put(uint64_t index, uint64_t term, str_t data)
{
	raft_entry_t e = {.term = term, .kind = RAFT_ENTRY_COMMAND};
	uint64_t seq;

	e.data.data_val = (char *)data.p;
	e.data.data_len = (u_int)data.n;
	store_queue_entries(s, index, index, &e, 1);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_OK);
	ck_assert_uint_eq(seq, index);
}

static void put_hard(uint64_t term, uint64_t vote)
{
	uint64_t seq;

	store_queue_hard_state(s, 1, term, vote);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_OK);
}

static void path_of(const char *name, char path[256])
{
	snprintf(path, 256, "%s/%s", dir, name);
}

static long size_of(const char *name)
{
	char path[256];
	struct stat sb;

	path_of(name, path);
	ck_assert_int_eq(stat(path, &sb), 0);
	return sb.st_size;
}

static void cut(const char *name, long size)
{
	char path[256];

	path_of(name, path);
	ck_assert_int_eq(truncate(path, size), 0);
}

static void flip(const char *name, long at)
{
	char path[256];
	char c;
	int fd;

	path_of(name, path);
	fd = open(path, O_RDWR);
	ck_assert_int_eq(pread(fd, &c, 1, at), 1);
	c ^= 0x40;
	ck_assert_int_eq(pwrite(fd, &c, 1, at), 1);
	close(fd);
}

#define SEGMENT "log-0000000000000001"

START_TEST(entries_and_votes_last)
{
	put_hard(3, 99);
	put(1, 1, STR("a"));
	put(2, 3, STR("bb"));
	put(2, 3, STR("cc")); /* takes the place of the one before */
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert(!st.created);
	ck_assert_uint_eq(st.id, 77);
	ck_assert_uint_eq(st.term, 3);
	ck_assert_uint_eq(st.vote, 99);
	ck_assert_uint_eq(st.nentries, 2);
	ck_assert_mem_eq(st.entries[1].data.data_val, "cc", 2);
}
END_TEST

START_TEST(torn_last_record_is_cut)
{
	long whole;

	put(1, 1, STR("first"));
	whole = size_of(SEGMENT);
	put(2, 1, STR("second"));
	cut(SEGMENT, size_of(SEGMENT) - 9);
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.nentries, 1);
	ck_assert_uint_gt(st.cut_bytes, 0);
	ck_assert_int_eq(size_of(SEGMENT), whole);
	put(2, 1, STR("again"));
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.nentries, 2);
}
END_TEST

START_TEST(flipped_byte_in_the_middle_is_an_error)
{
	char want[64];
	long at;

	put(1, 1, STR("first"));
	at = size_of(SEGMENT);
	put(2, 1, STR("second"));
	put(3, 1, STR("third"));
	flip(SEGMENT, at + (long)sizeof(store_record_t) + 1);
	ck_assert_int_eq(open_again(), STATUS_CORRUPT);
	snprintf(want, sizeof(want), SEGMENT ": offset %ld", at);
	ck_assert_msg(strstr(status_message(), want) != NULL, "%s", status_message());
}
END_TEST

START_TEST(flipped_byte_in_the_newest_record_is_an_error)
{
	long at;

	put(1, 1, STR("first"));
	at = size_of(SEGMENT);
	put(2, 1, STR("second"));
	store_write_sync_mark(s);
	flip(SEGMENT, at + (long)sizeof(store_record_t) + 1);
	ck_assert_int_eq(open_again(), STATUS_CORRUPT);
}
END_TEST

START_TEST(flipped_header_is_an_error)
{
	put(1, 1, STR("first"));
	flip(SEGMENT, 9);
	ck_assert_int_eq(open_again(), STATUS_CORRUPT);
	ck_assert(strstr(status_message(), SEGMENT ": offset 0") != NULL);
}
END_TEST

START_TEST(flipped_byte_in_an_older_segment_is_an_error)
{
	for (uint64_t i = 1; i <= 200; i++)
		put(i, 1, STR("some bytes that fill a segment"));
	flip(SEGMENT, size_of(SEGMENT) - 1);
	flip(SEGMENT, size_of(SEGMENT) - 20);
	ck_assert_int_eq(open_again(), STATUS_CORRUPT);
}
END_TEST

START_TEST(broken_snapshot_gives_way_to_the_one_before)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};

	raft_members_encode(&none, &conf);
	for (uint64_t i = 1; i <= 20; i++)
		put(i, 1, STR("x"));
	ck_assert_int_eq(store_save_snapshot(s, 5, 1, str_buf(&conf), STR("state at 5")),
			 STATUS_OK);
	ck_assert_int_eq(store_save_snapshot(s, 9, 1, str_buf(&conf), STR("state at 9")),
			 STATUS_OK);
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.snap_index, 9);
	ck_assert_uint_eq(st.nentries, 11);
	ck_assert_str_eq(st.snap.p, "state at 9");
	cut("snap-0000000000000009", size_of("snap-0000000000000009") - 3);
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert(st.snap_broken);
	ck_assert_uint_eq(st.snap_index, 5);
	ck_assert_uint_eq(st.nentries, 15);
	ck_assert_str_eq(st.snap.p, "state at 5");
	ck_assert_int_eq(store_save_snapshot(s, 12, 1, str_buf(&conf), STR("state at 12")),
			 STATUS_OK);
	flip("snap-000000000000000c", size_of("snap-000000000000000c") - 20); /* in the state */
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.snap_index, 5);
	ck_assert_str_eq(st.snap.p, "state at 5");
}
END_TEST

START_TEST(segments_go_when_two_snapshots_hold_them)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	char path[256];

	raft_members_encode(&none, &conf);
	put_hard(4, 5);
	for (uint64_t i = 1; i <= 300; i++)
		put(i, 4, STR("some bytes that fill a segment"));
	ck_assert_int_eq(store_save_snapshot(s, 250, 4, str_buf(&conf), STR("a")), STATUS_OK);
	path_of(SEGMENT, path);
	ck_assert_int_eq(access(path, F_OK), 0);
	ck_assert_int_eq(store_save_snapshot(s, 290, 4, str_buf(&conf), STR("b")), STATUS_OK);
	ck_assert_int_ne(access(path, F_OK), 0);
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.term, 4);
	ck_assert_uint_eq(st.vote, 5);
	ck_assert_uint_eq(st.snap_index, 290);
	ck_assert_uint_eq(st.nentries, 10);
}
END_TEST

START_TEST(received_snapshot_starts_the_log_anew)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	raft_snap_chunk_t c = {.index = 50, .term = 2, .data = STR("half "), .last = false};
	uint64_t seq;

	raft_members_encode(&none, &conf);
	c.members = str_buf(&conf);
	put(1, 1, STR("old"));
	ck_assert_int_eq(store_receive_snapshot(s, &c), STATUS_OK);
	ck_assert_int_eq(store_receive_snapshot(s, &(raft_snap_chunk_t){.index = 50, .offset = 3}),
			 STATUS_INVALID);
	c.offset = 5;
	c.data = STR("and half");
	c.last = true;
	ck_assert_int_eq(store_receive_snapshot(s, &c),
			 STATUS_INVALID); /* its checksum is missing */
	ck_assert_uint_eq(store_newest_snapshot(s), 0);
	c.offset = 0;
	c.data = STR("half and half");
	c.crc = store_crc(0, c.data.p, c.data.n);
	ck_assert_int_eq(store_receive_snapshot(s, &c), STATUS_OK);
	/* The process ends before the log is begun anew: the next one does so. */
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_str_eq(st.snap.p, "half and half");
	ck_assert_uint_eq(st.nentries, 0);
	put(51, 2, STR("new"));
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_eq(st.nentries, 1);
	store_queue_reset(s, 52, 51, 2);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_OK);
	ck_assert_int_eq(open_again(),
			 STATUS_CORRUPT); /* the log begins after 51, no snapshot there */
}
END_TEST

START_TEST(full_disk_acknowledges_nothing)
{
	raft_entry_t e = {.term = 1, .kind = RAFT_ENTRY_COMMAND};
	char data[600] = {0};
	uint64_t seq = 0;
	status_t got = STATUS_OK;
	uint64_t i;

	setenv("AUBURN_DISK_FAULT", "full_after_bytes=8192", 1);
	ck_assert_int_eq(open_again(), STATUS_OK);
	unsetenv("AUBURN_DISK_FAULT");
	e.data.data_val = data;
	e.data.data_len = sizeof(data);
	for (i = 1; got == STATUS_OK && i < 100; i++) {
		store_queue_entries(s, i, i, &e, 1);
		got = store_sync(s, &seq);
	}
	ck_assert_int_eq(got, STATUS_IO);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_IO);
	ck_assert_int_eq(open_again(), STATUS_OK);
	ck_assert_uint_ge(st.nentries, i - 2);
}
END_TEST

START_TEST(failing_sync_stays_failed)
{
	uint64_t seq;

	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=1", 1);
	ck_assert_int_eq(open_again(), STATUS_OK);
	unsetenv("AUBURN_DISK_FAULT");
	put(1, 1, STR("a"));
	store_queue_hard_state(s, 2, 2, 0);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_IO);
	store_queue_hard_state(s, 3, 3, 0);
	ck_assert_int_eq(store_sync(s, &seq), STATUS_IO);
}
END_TEST

/* What a folder should hold: entry base + 1 + i has term terms[i]. */
typedef struct {
	uint64_t base;
	uint64_t n;
	uint64_t terms[512];
	uint64_t term;
	uint64_t vote;
} model_t;

static void entry_text(uint64_t index, uint64_t term, char text[64])
{
	snprintf(text, 64, "%lu of %lu %.*s", (unsigned long)index, (unsigned long)term,
		 (int)(index % 30), "..............................");
}

/* Queues one random record and notes it in the model. */
static void queue_any(model_t *m, uint64_t seq)
{
	char text[64];
	raft_entry_t e = {.kind = RAFT_ENTRY_COMMAND};
	uint64_t keep = m->n;

	if (rand() % 5 == 0) {
		m->vote = m->term == 0 || rand() % 2 ? 7 : m->vote;
		m->term++;
		store_queue_hard_state(s, seq, m->term, m->vote);
		return;
	}
	if (rand() % 6 == 0 && m->n > 0)
		keep = m->n - (uint64_t)rand() % (m->n < 4 ? m->n : 4);
	if (keep == 512)
		keep = 300;
	e.term = m->term;
	entry_text(m->base + keep + 1, e.term, text);
	e.data.data_val = text;
	e.data.data_len = (u_int)strlen(text);
	store_queue_entries(s, seq, m->base + keep + 1, &e, 1);
	m->terms[keep] = e.term;
	m->n = keep + 1;
}

static bool matches(const model_t *m)
{
	if (st.term != m->term || st.vote != m->vote || st.snap_index != m->base ||
	    st.nentries != m->n)
		return false;
	for (uint64_t i = 0; i < m->n; i++) {
		char text[64];

		entry_text(m->base + 1 + i, m->terms[i], text);
		if (st.entries[i].term != m->terms[i] ||
		    st.entries[i].data.data_len != strlen(text) ||
		    memcmp(st.entries[i].data.data_val, text, strlen(text)) != 0)
			return false;
	}
	return true;
}

/* Cuts the newest segment at a random place within what was written last. */
static void tear(uint64_t number, long from)
{
	char name[64];
	long size;

	snprintf(name, sizeof(name), "log-%016lx", (unsigned long)number);
	size = size_of(name);
	if (size > from)
		cut(name, from + rand() % (size - from + 1));
}

/* Moves the model's base to its last entry but some, as a snapshot does. */
static void snapshot_model(model_t *m)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	uint64_t skip = m->n - (uint64_t)rand() % 3;

	if (m->n < 3)
		return;
	raft_members_encode(&none, &conf);
	ck_assert_int_eq(store_save_snapshot(s, m->base + skip, m->terms[skip - 1], str_buf(&conf),
					     STR("state")),
			 STATUS_OK);
	memmove(m->terms, m->terms + skip, (m->n - skip) * sizeof(m->terms[0]));
	m->base += skip;
	m->n -= skip;
}

START_TEST(torn_writes_leave_a_prefix)
{
	static model_t states[16];
	uint64_t seq = 0;

	srand((unsigned)_i);
	memset(states, 0, sizeof(states));
	for (int round = 0; round < 60; round++) {
		unsigned n = 1 + (unsigned)rand() % 15;
		model_t *now = &states[0];
		uint64_t number;
		bool found = false;
		uint64_t got;
		long from;

		for (int i = rand() % 20; i >= 0; i--) {
			queue_any(now, ++seq);
			ck_assert_int_eq(store_sync(s, &got), STATUS_OK);
		}
		if (rand() % 4 == 0)
			snapshot_model(now);
		if (rand() % 2)
			store_write_sync_mark(s);
		number = s->number;
		from = (long)s->size;
		for (unsigned i = 1; i < n; i++) {
			states[i] = states[i - 1];
			queue_any(&states[i], ++seq);
		}
		ck_assert_int_eq(store_sync(s, &got), STATUS_OK);
		if (s->number == number)
			tear(number, from);
		else
			states[0] = states[n - 1];
		ck_assert_msg(open_again() == STATUS_OK, "%s", status_message());
		for (unsigned i = 0; i < n && !found; i++) {
			found = matches(&states[i]);
			if (found)
				states[0] = states[i];
		}
		ck_assert_msg(found, "round %d: not a prefix", round);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store");
	TCase *t = tcase_create("store");

	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, entries_and_votes_last);
	tcase_add_test(t, torn_last_record_is_cut);
	tcase_add_test(t, flipped_byte_in_the_middle_is_an_error);
	tcase_add_test(t, flipped_byte_in_the_newest_record_is_an_error);
	tcase_add_test(t, flipped_header_is_an_error);
	tcase_add_test(t, flipped_byte_in_an_older_segment_is_an_error);
	tcase_add_test(t, broken_snapshot_gives_way_to_the_one_before);
	tcase_add_test(t, segments_go_when_two_snapshots_hold_them);
	tcase_add_test(t, received_snapshot_starts_the_log_anew);
	tcase_add_test(t, full_disk_acknowledges_nothing);
	tcase_add_test(t, failing_sync_stays_failed);
	tcase_add_loop_test(t, torn_writes_leave_a_prefix, 1, 9);
	tcase_set_timeout(t, 60);
	return suite_run(suite);
}
