/* Tests of the store of one replica (raft/store.h): what a directory holds after a crash or after
 * damage. Guard against acknowledged entries that are lost without an error, and against a replica
 * that refuses to start after a normal crash. */
#include <fcntl.h>
#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include "base/log.h"
#include "raft/store_internal.h"
#include "suite_kit.h"

static char root_dir[64];
static char dir[96];
static store_t *store;
static store_contents_t contents;

/* Closes the store, if open, and opens the directory again, as a restart does. */
static status_t reopen(void)
{
	store_options_t o = {.dir = dir, .new_id = 77, .segment_bytes = 4096};

	store_close(store);
	store_contents_free(&contents);
	store = NULL;
	return store_open(&o, &store, &contents);
}

static int remove_file(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

static void setup(void)
{
	const char *tmp = getenv("TMPDIR");

	snprintf(root_dir, sizeof(root_dir), "%s/auburn-rs-XXXXXX", tmp ? tmp : "/tmp");
	ck_assert_ptr_nonnull(mkdtemp(root_dir));
	snprintf(dir, sizeof(dir), "%s/a/b", root_dir);
	ck_assert(!store_exists(dir));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert(store_exists(dir));
	ck_assert(contents.created);
}

static void teardown(void)
{
	store_close(store);
	store_contents_free(&contents);
	nftw(root_dir, remove_file, 16, FTW_DEPTH | FTW_PHYS);
}

/* Appends and syncs one entry. */
static void append_synced(uint64_t index, uint64_t term, str_t data)
{
	raft_entry_t e = {.term = term, .kind = RAFT_ENTRY_COMMAND};
	uint64_t seq;

	e.data.data_val = (char *)data.p;
	e.data.data_len = (u_int)data.n;
	store_queue_entries(store, index, index, &e, 1);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_OK);
	ck_assert_uint_eq(seq, index);
}

static void append_hard_state(uint64_t term, uint64_t vote)
{
	uint64_t seq;

	store_queue_hard_state(store, 1, term, vote);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_OK);
}

static void file_path(const char *name, char path[256])
{
	snprintf(path, 256, "%s/%s", dir, name);
}

static long file_size(const char *name)
{
	char path[256];
	struct stat sb;

	file_path(name, path);
	ck_assert_int_eq(stat(path, &sb), 0);
	return sb.st_size;
}

static void truncate_file(const char *name, long size)
{
	char path[256];

	file_path(name, path);
	ck_assert_int_eq(truncate(path, size), 0);
}

static void flip(const char *name, long offset, char bits)
{
	char path[256];
	char c;
	int fd;

	file_path(name, path);
	fd = open(path, O_RDWR);
	ck_assert_int_eq(pread(fd, &c, 1, offset), 1);
	c ^= bits;
	ck_assert_int_eq(pwrite(fd, &c, 1, offset), 1);
	close(fd);
}

static void flip_bit(const char *name, long offset)
{
	flip(name, offset, 0x40);
}

#define FIRST_SEGMENT "log-0000000000000001"

START_TEST(entries_and_votes_survive_a_restart)
{
	append_hard_state(3, 99);
	append_synced(1, 1, STR("a"));
	append_synced(2, 3, STR("bb"));
	append_synced(2, 3, STR("cc")); /* replaces the entry at index 2 */
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert(!contents.created);
	ck_assert_uint_eq(contents.id, 77);
	ck_assert_uint_eq(contents.term, 3);
	ck_assert_uint_eq(contents.vote, 99);
	ck_assert_uint_eq(contents.nentries, 2);
	ck_assert_mem_eq(contents.entries[1].data.data_val, "cc", 2);
}
END_TEST

/* A crash in the middle of a write leaves an incomplete record, which was never acknowledged. The
 * replica must start, and write over it. */
START_TEST(a_torn_last_record_is_truncated)
{
	long size_before;

	append_synced(1, 1, STR("first"));
	size_before = file_size(FIRST_SEGMENT);
	append_synced(2, 1, STR("second"));
	truncate_file(FIRST_SEGMENT, file_size(FIRST_SEGMENT) - 9);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
	ck_assert_uint_gt(contents.cut_bytes, 0);
	ck_assert_int_eq(file_size(FIRST_SEGMENT), size_before);
	append_synced(2, 1, STR("again"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

/* The record was acknowledged; truncating the log there would lose it and all entries after it.
 * The message names the file and the offset. */
START_TEST(a_damaged_record_before_the_last_is_an_error)
{
	char want_message[64];
	long damage_at;

	append_synced(1, 1, STR("first"));
	damage_at = file_size(FIRST_SEGMENT);
	append_synced(2, 1, STR("second"));
	append_synced(3, 1, STR("third"));
	flip_bit(FIRST_SEGMENT, damage_at + (long)sizeof(store_record_t) + 1);
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
	snprintf(want_message, sizeof(want_message), FIRST_SEGMENT ": offset %ld", damage_at);
	ck_assert_msg(strstr(status_message(), want_message) != NULL, "%s", status_message());
}
END_TEST

/* Without the mark the record could not be told from an incomplete write and would be truncated. */
START_TEST(a_damaged_newest_record_is_an_error_once_it_is_marked_as_synced)
{
	long damage_at;

	append_synced(1, 1, STR("first"));
	damage_at = file_size(FIRST_SEGMENT);
	append_synced(2, 1, STR("second"));
	store_write_sync_mark(store);
	flip_bit(FIRST_SEGMENT, damage_at + (long)sizeof(store_record_t) + 1);
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
}
END_TEST

START_TEST(a_damaged_segment_header_is_an_error)
{
	append_synced(1, 1, STR("first"));
	flip_bit(FIRST_SEGMENT, 9);
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
	ck_assert(strstr(status_message(), FIRST_SEGMENT ": offset 0") != NULL);
}
END_TEST

/* Only the newest segment can end with an incomplete write. */
START_TEST(damage_at_the_end_of_an_older_segment_is_an_error)
{
	for (uint64_t i = 1; i <= 200; i++)
		append_synced(i, 1, STR("some bytes that fill a segment"));
	flip_bit(FIRST_SEGMENT, file_size(FIRST_SEGMENT) - 8);
	flip_bit(FIRST_SEGMENT, file_size(FIRST_SEGMENT) - 20);
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
}
END_TEST

/* The log keeps the entries after the older snapshot for this case. */
START_TEST(a_damaged_snapshot_is_skipped_for_the_one_before)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};

	raft_members_encode(&none, &conf);
	for (uint64_t i = 1; i <= 20; i++)
		append_synced(i, 1, STR("x"));
	ck_assert_int_eq(store_save_snapshot(store, 5, 1, str_buf(&conf), STR("state at 5")),
			 STATUS_OK);
	ck_assert_int_eq(store_save_snapshot(store, 9, 1, str_buf(&conf), STR("state at 9")),
			 STATUS_OK);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.snap_index, 9);
	ck_assert_uint_eq(contents.nentries, 11);
	ck_assert_str_eq(contents.snap.p, "state at 9");
	truncate_file("snap-0000000000000009", file_size("snap-0000000000000009") - 3);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert(contents.snap_broken);
	ck_assert_uint_eq(contents.snap_index, 5);
	ck_assert_uint_eq(contents.nentries, 15);
	ck_assert_str_eq(contents.snap.p, "state at 5");
	ck_assert_int_eq(store_save_snapshot(store, 12, 1, str_buf(&conf), STR("state at 12")),
			 STATUS_OK);
	/* Damages the state, not the header. */
	flip_bit("snap-000000000000000c", file_size("snap-000000000000000c") - 20);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.snap_index, 5);
	ck_assert_str_eq(contents.snap.p, "state at 5");
}
END_TEST

/* A file that cannot be read for a moment is not given up. */
START_TEST(a_snapshot_that_cannot_be_read_is_not_taken_for_damaged)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	char path[256];
	char saved[256];

	raft_members_encode(&none, &conf);
	append_synced(1, 1, STR("x"));
	ck_assert_int_eq(store_save_snapshot(store, 1, 1, str_buf(&conf), STR("state")), STATUS_OK);
	file_path("snap-0000000000000001", path);
	file_path("saved", saved);
	ck_assert_int_eq(rename(path, saved), 0);
	ck_assert_int_eq(mkdir(path, 0700), 0); /* can be opened; reads fail */
	ck_assert_int_eq(reopen(), STATUS_IO);
	ck_assert_int_eq(rmdir(path), 0);
	ck_assert_int_eq(rename(saved, path), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert(!contents.snap_broken);
	ck_assert_str_eq(contents.snap.p, "state");
}
END_TEST

/* Terms and votes of removed segments must be kept. */
START_TEST(segments_are_removed_once_two_snapshots_cover_them)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	char path[256];

	raft_members_encode(&none, &conf);
	append_hard_state(4, 5);
	for (uint64_t i = 1; i <= 300; i++)
		append_synced(i, 4, STR("some bytes that fill a segment"));
	ck_assert_int_eq(store_save_snapshot(store, 250, 4, str_buf(&conf), STR("a")), STATUS_OK);
	file_path(FIRST_SEGMENT, path);
	ck_assert_int_eq(access(path, F_OK), 0);
	ck_assert_int_eq(store_save_snapshot(store, 290, 4, str_buf(&conf), STR("b")), STATUS_OK);
	ck_assert_int_ne(access(path, F_OK), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.term, 4);
	ck_assert_uint_eq(contents.vote, 5);
	ck_assert_uint_eq(contents.snap_index, 290);
	ck_assert_uint_eq(contents.nentries, 10);
}
END_TEST

START_TEST(a_log_that_is_cut_to_make_room_keeps_what_the_newest_snapshot_lacks)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	disk_space_t before;
	disk_space_t after;
	char path[256];

	raft_members_encode(&none, &conf);
	append_hard_state(4, 5);
	for (uint64_t i = 1; i <= 300; i++)
		append_synced(i, 4, STR("some bytes that fill a segment"));
	ck_assert_int_eq(store_save_snapshot(store, 100, 4, str_buf(&conf), STR("a")), STATUS_OK);
	ck_assert_int_eq(store_save_snapshot(store, 250, 4, str_buf(&conf), STR("b")), STATUS_OK);
	store_measure_space(store, 250, &before);
	ck_assert_uint_gt(before.removable, 0);
	store_cut_log(store);
	store_measure_space(store, 250, &after);
	ck_assert_uint_eq(after.removable, 0);
	file_path("snap-0000000000000064", path);
	ck_assert_int_ne(access(path, F_OK), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.term, 4);
	ck_assert_uint_eq(contents.vote, 5);
	ck_assert_uint_eq(contents.snap_index, 250);
	ck_assert_uint_eq(contents.nentries, 50);
}
END_TEST

/* The snapshot of a leader replaces a log that ends before it. Chunks in the wrong order and a
 * missing checksum are refused; a log without the snapshot that it continues is an error. */
START_TEST(a_received_snapshot_resets_the_log)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	raft_snap_chunk_t c = {.index = 50, .term = 2, .data = STR("half "), .last = false};
	uint64_t seq;

	raft_members_encode(&none, &conf);
	c.members = str_buf(&conf);
	append_synced(1, 1, STR("old"));
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_OK);
	ck_assert_int_eq(
		store_receive_snapshot(store, &(raft_snap_chunk_t){.index = 50, .offset = 3}),
		STATUS_INVALID);
	c.offset = 5;
	c.data = STR("and half");
	c.last = true;
	/* The checksum is missing. */
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_INVALID);
	ck_assert_uint_eq(store_newest_snapshot(store), 0);
	c.offset = 0;
	c.data = STR("half and half");
	c.crc = store_crc(0, c.data.p, c.data.n);
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_OK);
	/* A crash before the log is reset: the next start resets it. */
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_str_eq(contents.snap.p, "half and half");
	ck_assert_uint_eq(contents.nentries, 0);
	append_synced(51, 2, STR("new"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
	store_queue_reset(store, 52, 51, 2);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_OK);
	/* The log begins after 51, where there is no snapshot. */
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
}
END_TEST

/* While writes fail, every sync must fail as well; the entries synced before remain. */
START_TEST(a_full_disk_acknowledges_nothing)
{
	raft_entry_t e = {.term = 1, .kind = RAFT_ENTRY_COMMAND};
	char data[600] = {0};
	uint64_t seq = 0;
	status_t got = STATUS_OK;
	uint64_t i;

	setenv("AUBURN_DISK_FAULT", "full_after_bytes=8192", 1);
	ck_assert_int_eq(reopen(), STATUS_OK);
	unsetenv("AUBURN_DISK_FAULT");
	e.data.data_val = data;
	e.data.data_len = sizeof(data);
	for (i = 1; got == STATUS_OK && i < 100; i++) {
		store_queue_entries(store, i, i, &e, 1);
		got = store_sync(store, &seq);
	}
	ck_assert_int_eq(got, STATUS_IO);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_ge(contents.nentries, i - 2);
}
END_TEST

/* A sync that succeeds after a failed one does not mean that the data of the failed one is on the
 * disk. */
START_TEST(a_store_whose_sync_failed_stays_failed)
{
	uint64_t seq;

	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=4", 1); /* the start syncs three times */
	ck_assert_int_eq(reopen(), STATUS_OK);
	unsetenv("AUBURN_DISK_FAULT");
	append_synced(1, 1, STR("a"));
	store_queue_hard_state(store, 2, 2, 0);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
	store_queue_hard_state(store, 3, 3, 0);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
}
END_TEST

/* Queues one entry; its sync must fail. */
static void append_refused(uint64_t index, uint64_t term, str_t data)
{
	raft_entry_t e = {.term = term, .kind = RAFT_ENTRY_COMMAND};
	uint64_t seq;

	e.data.data_val = (char *)data.p;
	e.data.data_len = (u_int)data.n;
	store_queue_entries(store, index, index, &e, 1);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
}

START_TEST(what_a_full_disk_refused_is_written_once_it_takes_writes)
{
	append_synced(1, 1, STR("a"));
	store->fault.full_after_bytes = 0;
	append_refused(2, 1, STR("b"));
	append_refused(3, 1, STR("c"));
	store->fault.full_after_bytes = -1;
	append_synced(4, 1, STR("d"));
	append_synced(5, 1, STR("e"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 5);
	for (size_t i = 0; i < 5; i++)
		ck_assert_mem_eq(contents.entries[i].data.data_val, "abcde" + i, 1);
}
END_TEST

/* A sync of the same file that succeeds after a failed one proves nothing about the data of the
 * failed one, which must be written again elsewhere. */
START_TEST(what_a_failed_sync_covered_is_written_again_to_a_new_segment)
{
	append_synced(1, 1, STR("a"));
	store->fault.fsync_fail_after = 0;
	append_refused(2, 1, STR("b"));
	store->fault.fsync_fail_after = -1;
	append_synced(3, 1, STR("c"));
	/* The data of the failed sync may be torn on the disk. */
	flip_bit(FIRST_SEGMENT, file_size(FIRST_SEGMENT) - 8);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 3);
	ck_assert_mem_eq(contents.entries[1].data.data_val, "b", 1);
}
END_TEST

/* A crash before the new segment has its header leaves the torn end of the refused write in the
 * segment before the last. */
START_TEST(a_crash_while_a_refused_write_moves_to_a_new_segment_loses_nothing_synced)
{
	long synced;
	char path[256];

	append_synced(1, 1, STR("a"));
	synced = file_size(FIRST_SEGMENT);
	store->fault.fsync_fail_after = 0;
	append_refused(2, 1, STR("b"));
	truncate_file(FIRST_SEGMENT, synced + 9);
	file_path("log-0000000000000002", path);
	close(open(path, O_CREAT | O_WRONLY, 0600));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
	append_synced(2, 1, STR("c"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

/* The process may have been killed between its write and its sync. Whoever opens the folder counts
 * what it reads as durable. */
START_TEST(what_is_read_at_a_start_is_synced_before_it_is_used)
{
	append_synced(1, 1, STR("a"));
	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=0", 1);
	ck_assert_int_eq(reopen(), STATUS_IO);
	unsetenv("AUBURN_DISK_FAULT");
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
}
END_TEST

/* Removes the data of the record at the start of a segment, as older builds write it. */
static void remove_start_data(const char *name)
{
	size_t at = sizeof(store_segment_header_t);
	AUTO_BUF b = {0};
	store_record_t rec;
	char path[256];
	int fd;

	file_path(name, path);
	ck_assert_int_eq(store_file_read(path, &b), STATUS_OK);
	memcpy(&rec, b.p + at, sizeof(rec));
	ck_assert_uint_eq(rec.len, sizeof(uint64_t));
	rec.len = 0;
	rec.crc = store_crc(0, &rec.len, sizeof(rec) - offsetof(store_record_t, len));
	memcpy(b.p + at, &rec, sizeof(rec));
	at += sizeof(rec);
	fd = open(path, O_WRONLY | O_TRUNC);
	ck_assert_int_eq(write(fd, b.p, at), at);
	at += sizeof(uint64_t);
	ck_assert_int_eq(write(fd, b.p + at, b.n - at), b.n - at);
	close(fd);
}

START_TEST(segments_of_builds_that_record_no_length_of_the_one_before_are_read)
{
	char big[5000] = {0};

	append_synced(1, 1, (str_t){big, sizeof(big)});
	append_synced(2, 1, STR("b"));
	remove_start_data("log-0000000000000002");
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

START_TEST(an_older_segment_that_is_shorter_than_recorded_is_an_error)
{
	char big[5000] = {0};
	long first;

	append_synced(1, 1, STR("a"));
	first = file_size(FIRST_SEGMENT);
	append_synced(2, 1, (str_t){big, sizeof(big)});
	append_synced(3, 1, STR("c"));
	truncate_file(FIRST_SEGMENT, first);
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
}
END_TEST

/* Else a name that was removed could come back after a loss of power. */
START_TEST(the_names_found_at_a_start_are_synced_before_the_log_continues)
{
	append_synced(1, 1, STR("a"));
	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=1", 1);
	ck_assert_int_eq(reopen(), STATUS_IO);
	unsetenv("AUBURN_DISK_FAULT");
	ck_assert_int_eq(reopen(), STATUS_OK);
}
END_TEST

/* The start continues in the segment without a header, with two syncs of its own. */
START_TEST(the_segment_before_one_without_a_header_is_synced_before_it_is_used)
{
	char path[256];

	append_synced(1, 1, STR("a"));
	file_path("log-0000000000000002", path);
	close(open(path, O_CREAT | O_WRONLY, 0600));
	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=2", 1);
	ck_assert_int_eq(reopen(), STATUS_IO);
	unsetenv("AUBURN_DISK_FAULT");
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
}
END_TEST

/* Number of segments in the directory. */
static size_t count_segments(void)
{
	uint64_t *numbers;
	size_t n;

	ck_assert_int_eq(store_list_numbered_files(dir, "log-", &numbers, &n), STATUS_OK);
	free(numbers);
	return n;
}

/* The disk has room for a segment's start, but not for the write. */
START_TEST(a_disk_that_refuses_only_large_writes_is_not_filled_with_segments)
{
	char big[5000] = {0};
	uint64_t seq;

	append_synced(1, 1, STR("a"));
	store->fault.full_after_bytes = 4000;
	append_refused(2, 1, (str_t){big, sizeof(big)});
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
	ck_assert_uint_le(count_segments(), 2);
}
END_TEST

START_TEST(a_directory_that_cannot_be_listed_is_not_taken_for_damaged)
{
	struct rlimit old;
	struct rlimit none;
	raft_members_t nobody = {0};
	AUTO_BUF members = {0};
	int fd;

	raft_members_encode(&nobody, &members);
	append_synced(1, 1, STR("a"));
	ck_assert_int_eq(store_save_snapshot(store, 1, 1, str_buf(&members), STR("s")), STATUS_OK);
	append_synced(2, 1, STR("b"));
	store_close(store);
	store = NULL;
	fd = dup(0);
	close(fd);
	getrlimit(RLIMIT_NOFILE, &old);
	none = (struct rlimit){(rlim_t)fd + 1, old.rlim_max};
	setrlimit(RLIMIT_NOFILE, &none);
	ck_assert_msg(reopen() == STATUS_IO, "%s", status_message());
	setrlimit(RLIMIT_NOFILE, &old);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
}
END_TEST

START_TEST(a_directory_whose_id_cannot_be_looked_up_is_not_taken_for_new)
{
	char path[256];
	char saved[256];

	append_hard_state(3, 8);
	append_synced(1, 3, STR("x"));
	file_path("id", path);
	file_path("saved", saved);
	ck_assert_int_eq(rename(path, saved), 0);
	ck_assert_int_eq(symlink("id", path), 0); /* a look-up fails with ELOOP */
	ck_assert(store_exists(dir));
	ck_assert_int_eq(reopen(), STATUS_IO);
	ck_assert_int_eq(rename(saved, path), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
	ck_assert_uint_eq(contents.vote, 8);
}
END_TEST

/* After a failed sync the kernel may keep the data in memory and report the next one as done. */
START_TEST(a_start_does_not_count_on_a_second_sync_of_what_a_failed_sync_covered)
{
	char path[256];
	long synced;
	int fd;

	append_synced(1, 1, STR("a"));
	synced = file_size(FIRST_SEGMENT);
	file_path(FIRST_SEGMENT, path);
	fd = open(path, O_RDWR);
	store->fault.fsync_fail_after = 0;
	append_refused(2, 1, STR("b"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
	store_close(store);
	store = NULL;
	ck_assert_int_eq(ftruncate(fd, synced), 0); /* a loss of power takes what was not written */
	close(fd);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

/* Bytes after those that reached the disk read as zeros. */
START_TEST(a_torn_header_of_the_segment_after_a_refused_write_is_not_taken_for_damage)
{
	store_segment_header_t h = {STORE_SEGMENT_MAGIC, 77, 2, 0, 0};
	long synced;
	char path[256];
	int fd;

	append_synced(1, 1, STR("a"));
	synced = file_size(FIRST_SEGMENT);
	store->fault.fsync_fail_after = 0;
	append_refused(2, 1, STR("b"));
	truncate_file(FIRST_SEGMENT, synced + 9);
	h.crc = store_crc(0, &h, offsetof(store_segment_header_t, crc));
	file_path("log-0000000000000002", path);
	fd = open(path, O_CREAT | O_WRONLY, 0600);
	ck_assert_int_eq(write(fd, &h, sizeof(h)), sizeof(h));
	ck_assert_int_eq(ftruncate(fd, 72), 0);
	close(fd);
	ck_assert_msg(reopen() == STATUS_OK, "%s", status_message());
	ck_assert_uint_eq(contents.nentries, 1);
	append_synced(2, 1, STR("c"));
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

START_TEST(damage_to_the_recorded_end_of_a_segment_loses_no_entry)
{
	static const char data[24] = {0};
	uint64_t seq;
	long at = 0;
	long end;

	append_synced(1, 1, (str_t){data, sizeof(data)});
	append_synced(2, 1, (str_t){data, sizeof(data)});
	store->fault.fsync_fail_after = 0;
	store_queue_hard_state(store, 3, 2, 0);
	ck_assert_int_eq(store_sync(store, &seq), STATUS_IO);
	store->fault.fsync_fail_after = -1;
	ck_assert_int_eq(store_sync(store, &seq), STATUS_OK);
	/* Flips each bit of the segment's start. */
	for (end = file_size("log-0000000000000002") - (long)sizeof(store_record_t); at < end;
	     at++) {
		for (int bit = 0; bit < 8; bit++) {
			flip("log-0000000000000002", at, (char)(1 << bit));
			ck_assert_msg(reopen() == STATUS_CORRUPT || contents.nentries == 2,
				      "byte %ld bit %d", at, bit);
			flip("log-0000000000000002", at, (char)(1 << bit));
		}
	}
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

/* The process was killed between the header and the record that repeats term and vote. */
START_TEST(a_segment_without_term_and_vote_does_not_outlive_the_one_that_has_them)
{
	store_segment_header_t h = {STORE_SEGMENT_MAGIC, 77, 2, 0, 0};
	raft_members_t nobody = {0};
	AUTO_BUF members = {0};
	char path[256];
	int fd;

	raft_members_encode(&nobody, &members);
	append_hard_state(3, 99);
	append_synced(1, 3, STR("a"));
	append_synced(2, 3, STR("b"));
	h.crc = store_crc(0, &h, offsetof(store_segment_header_t, crc));
	file_path("log-0000000000000002", path);
	fd = open(path, O_CREAT | O_WRONLY, 0600);
	ck_assert_int_eq(write(fd, &h, sizeof(h)), sizeof(h));
	close(fd);
	ck_assert_int_eq(reopen(), STATUS_OK);
	append_synced(3, 3, STR("c"));
	for (uint64_t i = 2; i <= 3; i++)
		ck_assert_int_eq(store_save_snapshot(store, i, 3, str_buf(&members), STR("s")),
				 STATUS_OK);
	file_path(FIRST_SEGMENT, path);
	ck_assert_int_ne(access(path, F_OK), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.term, 3);
	ck_assert_uint_eq(contents.vote, 99);
}
END_TEST

static bool has_snapshot_file(uint64_t index)
{
	AUTO_FREE uint64_t *numbers = NULL;
	bool has = false;
	size_t n;

	ck_assert_int_eq(store_list_numbered_files(dir, "snap-", &numbers, &n), STATUS_OK);
	for (size_t i = 0; i < n; i++)
		has |= numbers[i] == index;
	return has;
}

START_TEST(a_snapshot_whose_name_could_not_be_synced_keeps_no_space)
{
	AUTO_BUF members = {0};
	raft_members_t nobody = {0};
	raft_snap_chunk_t c = {.index = 50, .term = 2, .data = STR("state"), .last = true};

	raft_members_encode(&nobody, &members);
	c.members = str_buf(&members);
	c.crc = store_crc(0, c.data.p, c.data.n);
	append_synced(1, 1, STR("a"));
	store->fault.fsync_fail_after = 1;
	ck_assert_int_eq(store_save_snapshot(store, 1, 1, c.members, STR("s")), STATUS_IO);
	ck_assert(!has_snapshot_file(1));
	store->fault.fsync_fail_after = 1;
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_IO);
	ck_assert(!has_snapshot_file(50));
	store->fault.fsync_fail_after = -1;
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_OK);
	/* The listed snapshot is needed. */
	store->fault.fsync_fail_after = 1;
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_IO);
	ck_assert(has_snapshot_file(50));
}
END_TEST

/* As after a received snapshot that could not be read back at once. */
START_TEST(a_snapshot_that_is_received_twice_keeps_its_file)
{
	AUTO_BUF members = {0};
	raft_members_t nobody = {0};
	raft_snap_chunk_t c = {.index = 50, .term = 2, .data = STR("state"), .last = true};
	char path[256];

	raft_members_encode(&nobody, &members);
	c.members = str_buf(&members);
	c.crc = store_crc(0, c.data.p, c.data.n);
	for (int i = 0; i < 2; i++)
		ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_OK);
	ck_assert_uint_eq(store_oldest_snapshot(store), 0);
	ck_assert_int_eq(store_save_snapshot(store, 60, 2, c.members, STR("s")), STATUS_OK);
	ck_assert_uint_eq(store_oldest_snapshot(store), 50);
	file_path("snap-0000000000000032", path);
	ck_assert_int_eq(access(path, F_OK), 0);
}
END_TEST

/* The expected contents of a directory; entry base + 1 + i has term terms[i]. */
typedef struct {
	uint64_t base;
	uint64_t n;
	uint64_t terms[512];
	uint64_t term;
	uint64_t vote;
} model_t;

static void make_entry_text(uint64_t index, uint64_t term, char text[64])
{
	snprintf(text, 64, "%lu of %lu %.*s", (unsigned long)index, (unsigned long)term,
		 (int)(index % 30), "..............................");
}

/* Queues one random record and applies it to the model. */
static void queue_random_record(model_t *m, uint64_t seq)
{
	char text[64];
	raft_entry_t e = {.kind = RAFT_ENTRY_COMMAND};
	uint64_t nkept = m->n;

	if (rand() % 5 == 0) {
		m->vote = m->term == 0 || rand() % 2 ? 7 : m->vote;
		m->term++;
		store_queue_hard_state(store, seq, m->term, m->vote);
		return;
	}
	if (rand() % 6 == 0 && m->n > 0)
		nkept = m->n - (uint64_t)rand() % (m->n < 4 ? m->n : 4);
	if (nkept == 512)
		nkept = 300;
	e.term = m->term;
	make_entry_text(m->base + nkept + 1, e.term, text);
	e.data.data_val = text;
	e.data.data_len = (u_int)strlen(text);
	store_queue_entries(store, seq, m->base + nkept + 1, &e, 1);
	m->terms[nkept] = e.term;
	m->n = nkept + 1;
}

static bool contents_match(const model_t *m)
{
	if (contents.term != m->term || contents.vote != m->vote ||
	    contents.snap_index != m->base || contents.nentries != m->n)
		return false;
	for (uint64_t i = 0; i < m->n; i++) {
		char text[64];

		make_entry_text(m->base + 1 + i, m->terms[i], text);
		if (contents.entries[i].term != m->terms[i] ||
		    contents.entries[i].data.data_len != strlen(text) ||
		    memcmp(contents.entries[i].data.data_val, text, strlen(text)) != 0)
			return false;
	}
	return true;
}

/* Truncates a segment at a random offset at or after `from`, where the last write begins. */
static void tear_newest_write(uint64_t segment, long from)
{
	char name[64];
	long size;

	snprintf(name, sizeof(name), "log-%016lx", (unsigned long)segment);
	size = file_size(name);
	if (size > from)
		truncate_file(name, from + rand() % (size - from + 1));
}

/* Saves a snapshot that covers all but the last entries, at most two, and compacts the model. */
static void take_snapshot(model_t *m)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	uint64_t skip = m->n - (uint64_t)rand() % 3;

	if (m->n < 3)
		return;
	raft_members_encode(&none, &conf);
	ck_assert_int_eq(store_save_snapshot(store, m->base + skip, m->terms[skip - 1],
					     str_buf(&conf), STR("state")),
			 STATUS_OK);
	memmove(m->terms, m->terms + skip, (m->n - skip) * sizeof(m->terms[0]));
	m->base += skip;
	m->n -= skip;
}

/* Several records are written with one sync, which a crash may tear anywhere. After the restart
 * the store must hold the synced records and a prefix of the others. */
START_TEST(a_torn_write_leaves_a_prefix_of_the_records)
{
	/* states[0]: all that is synced; states[i]: the first i unsynced records as well. */
	static model_t states[16];
	uint64_t seq = 0;

	srand((unsigned)_i);
	memset(states, 0, sizeof(states));
	for (int round = 0; round < 60; round++) {
		unsigned n = 1 + (unsigned)rand() % 15;
		model_t *synced = &states[0];
		uint64_t segment;
		bool found = false;
		uint64_t got;
		long from;

		for (int i = rand() % 20; i >= 0; i--) {
			queue_random_record(synced, ++seq);
			ck_assert_int_eq(store_sync(store, &got), STATUS_OK);
		}
		if (rand() % 4 == 0)
			take_snapshot(synced);
		if (rand() % 2)
			store_write_sync_mark(store);
		segment = store->number;
		from = (long)store->size;
		for (unsigned i = 1; i < n; i++) {
			states[i] = states[i - 1];
			queue_random_record(&states[i], ++seq);
		}
		ck_assert_int_eq(store_sync(store, &got), STATUS_OK);
		if (store->number == segment)
			tear_newest_write(segment, from);
		else
			states[0] = states[n - 1];
		ck_assert_msg(reopen() == STATUS_OK, "%s", status_message());
		for (unsigned i = 0; i < n && !found; i++) {
			found = contents_match(&states[i]);
			if (found)
				states[0] = states[i];
		}
		ck_assert_msg(found, "round %d: not a prefix", round);
	}
}
END_TEST

/* Without this line a process whose disk hangs for seconds looks like one that does nothing. */
START_TEST(a_sync_that_takes_long_is_logged)
{
	store_disk_fault_t f = {.fsync_fail_after = -1,
				.full_after_bytes = -1,
				.capacity_bytes = -1,
				.sync_ms = STORE_SLOW_SYNC_MS};
	FILE *file = tmpfile();
	AUTO_BUF lines = {0};

	ck_assert_ptr_nonnull(file);
	ck_assert_int_eq(store_file_sync(&f, fileno(file), "slow-file"), STATUS_OK);
	f.sync_ms = -1;
	ck_assert_int_eq(store_file_sync(&f, fileno(file), "fast-file"), STATUS_OK);
	log_find(&lines, STR("event=sync_slow file="), 10);
	ck_assert_ptr_nonnull(strstr(lines.p, "slow-file ms="));
	ck_assert_ptr_null(strstr(lines.p, "fast-file"));
	fclose(file);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store");
	TCase *t = tcase_create("store");

	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, entries_and_votes_survive_a_restart);
	tcase_add_test(t, a_torn_last_record_is_truncated);
	tcase_add_test(t, a_damaged_record_before_the_last_is_an_error);
	tcase_add_test(t, a_damaged_newest_record_is_an_error_once_it_is_marked_as_synced);
	tcase_add_test(t, a_damaged_segment_header_is_an_error);
	tcase_add_test(t, damage_at_the_end_of_an_older_segment_is_an_error);
	tcase_add_test(t, a_damaged_snapshot_is_skipped_for_the_one_before);
	tcase_add_test(t, a_snapshot_that_cannot_be_read_is_not_taken_for_damaged);
	tcase_add_test(t, segments_are_removed_once_two_snapshots_cover_them);
	tcase_add_test(t, a_log_that_is_cut_to_make_room_keeps_what_the_newest_snapshot_lacks);
	tcase_add_test(t, a_received_snapshot_resets_the_log);
	tcase_add_test(t, a_full_disk_acknowledges_nothing);
	tcase_add_test(t, a_store_whose_sync_failed_stays_failed);
	tcase_add_test(t, what_a_full_disk_refused_is_written_once_it_takes_writes);
	tcase_add_test(t, what_a_failed_sync_covered_is_written_again_to_a_new_segment);
	tcase_add_test(t,
		       a_crash_while_a_refused_write_moves_to_a_new_segment_loses_nothing_synced);
	tcase_add_test(t, what_is_read_at_a_start_is_synced_before_it_is_used);
	tcase_add_test(t, segments_of_builds_that_record_no_length_of_the_one_before_are_read);
	tcase_add_test(t, an_older_segment_that_is_shorter_than_recorded_is_an_error);
	tcase_add_test(t, the_names_found_at_a_start_are_synced_before_the_log_continues);
	tcase_add_test(t, the_segment_before_one_without_a_header_is_synced_before_it_is_used);
	tcase_add_test(t, a_disk_that_refuses_only_large_writes_is_not_filled_with_segments);
	tcase_add_test(t, a_directory_that_cannot_be_listed_is_not_taken_for_damaged);
	tcase_add_test(t, a_directory_whose_id_cannot_be_looked_up_is_not_taken_for_new);
	tcase_add_test(t, a_start_does_not_count_on_a_second_sync_of_what_a_failed_sync_covered);
	tcase_add_test(t,
		       a_torn_header_of_the_segment_after_a_refused_write_is_not_taken_for_damage);
	tcase_add_test(t, damage_to_the_recorded_end_of_a_segment_loses_no_entry);
	tcase_add_test(t, a_segment_without_term_and_vote_does_not_outlive_the_one_that_has_them);
	tcase_add_test(t, a_snapshot_whose_name_could_not_be_synced_keeps_no_space);
	tcase_add_test(t, a_snapshot_that_is_received_twice_keeps_its_file);
	tcase_add_loop_test(t, a_torn_write_leaves_a_prefix_of_the_records, 1, 9);
	tcase_add_test(t, a_sync_that_takes_long_is_logged);
	tcase_set_timeout(t, 60);
	return suite_run(suite);
}
