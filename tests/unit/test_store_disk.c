/* Tests of the store (raft/store.h) on a disk that refuses writes, fails syncs and loses in a power
 * failure what was not synced. The system calls of the store are replaced in this program.
 * Guards against records that count as durable and are not.
 * The random test runs FIXED_SEEDS seeds, or as many as AUBURN_STORE_SEEDS says. */
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>
#include "raft/store_internal.h"
#include "suite_kit.h"

#define SECTOR_BYTES 512 /* written whole or not at all */
#define FILES_MAX    256
#define CHANGES_MAX  256
#define ENTRIES_MAX  400
#define QUEUED_MAX   40
#define FIXED_SEEDS  40

/* A log segment and what of it a power failure leaves. */
typedef struct {
	char name[64];
	long durable; /* bytes from its start that are on the disk */
	long lost_from; /* a sync failed for the bytes from here to lost_to: no later sync writes */
	long lost_to; /* them unless they are written again */
} file_t;

/* A change of a directory that is not synced; a power failure undoes any of them, but of the
 * changes of one name the newest first. */
typedef struct {
	char parent[192]; /* the directory */
	bool is_dir; /* a directory was created */
	bool removed; /* or replaced; else created */
	char name[64];
	buf_t content; /* of a removed or replaced file */
	long durable;
} change_t;

static struct {
	long space; /* bytes that can be written; -1: no limit */
	bool syncs_fail;
	bool lists_fail; /* a directory's list ends with an error before its first snapshot */
	file_t files[FILES_MAX];
	unsigned nfiles;
	change_t changes[CHANGES_MAX];
	unsigned nchanges;
} disk;

/* The expected contents of a directory; entry base + 1 + i has term terms[i]. */
typedef struct {
	uint64_t base;
	uint64_t n;
	uint64_t terms[ENTRIES_MAX];
	uint64_t term;
	uint64_t vote;
} model_t;

static char root_dir[64];
static char data_dir[80];
static char dir[96];
static store_t *store;
static store_contents_t contents;
static uint64_t next_seq;
/* states[0]: all that is synced; states[i]: the first i queued records as well. */
static model_t states[QUEUED_MAX + 1];
static unsigned nqueued;

static void file_path(const char *name, char path[256])
{
	snprintf(path, 256, "%s/%s", dir, name);
}

static bool is_segment(const char *name)
{
	return strncmp(name, "log-", 4) == 0;
}

static const char *base_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

static void add_change_in(const char *parent, const change_t *c)
{
	ck_assert_uint_lt(disk.nchanges, CHANGES_MAX);
	disk.changes[disk.nchanges] = *c;
	snprintf(disk.changes[disk.nchanges++].parent, sizeof(c->parent), "%s", parent);
}

static void add_change(const change_t *c)
{
	add_change_in(dir, c);
}

static file_t *find_file(const char *name)
{
	for (unsigned i = 0; i < disk.nfiles; i++) {
		if (strcmp(disk.files[i].name, name) == 0)
			return &disk.files[i];
	}
	return NULL;
}

static file_t *add_file(const char *name, long durable)
{
	file_t *f = &disk.files[disk.nfiles++];

	ck_assert_uint_le(disk.nfiles, FILES_MAX);
	*f = (file_t){.durable = durable};
	snprintf(f->name, sizeof(f->name), "%s", name);
	return f;
}

static void drop_file(const char *name)
{
	file_t *f = find_file(name);

	if (f)
		*f = disk.files[--disk.nfiles];
}

static file_t *find_or_create(const char *name)
{
	change_t c = {.removed = false};
	file_t *f = find_file(name);

	if (f)
		return f;
	snprintf(c.name, sizeof(c.name), "%s", name);
	add_change(&c);
	return add_file(name, 0);
}

static bool path_of(int fd, char path[256])
{
	char link[64];
	ssize_t n;

	snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
	n = readlink(link, path, 255);
	path[n < 0 ? 0 : n] = 0;
	return n >= 0;
}

/* Returns the segment that fd is open for, or NULL. */
static file_t *segment_of(int fd)
{
	char path[256];

	if (!path_of(fd, path) || !is_segment(base_name(path)))
		return NULL;
	return find_or_create(base_name(path));
}

static long fd_size(int fd)
{
	struct stat sb;

	ck_assert_int_eq(fstat(fd, &sb), 0);
	return sb.st_size;
}

ssize_t pwrite(int fd, const void *p, size_t n, off_t at)
{
	file_t *f = segment_of(fd);

	if (disk.space == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (disk.space > 0 && (size_t)disk.space < n)
		n = (size_t)disk.space;
	if (disk.space > 0)
		disk.space -= (long)n;
	if (f && at <= f->lost_from && at + (long)n > f->lost_from)
		f->lost_from = at + (long)n;
	return syscall(SYS_pwrite64, fd, p, n, at);
}

int fdatasync(int fd)
{
	file_t *f = segment_of(fd);
	long size = fd_size(fd);

	if (f && f->lost_to > size)
		f->lost_to = size;
	if (f && disk.syncs_fail) {
		f->lost_from = f->durable;
		f->lost_to = size;
	} else if (f) {
		f->durable = f->lost_from < f->lost_to ? f->lost_from : size;
	}
	errno = EIO;
	return disk.syncs_fail ? -1 : 0;
}

static void forget_changes(void)
{
	while (disk.nchanges)
		buf_free(&disk.changes[--disk.nchanges].content);
}

static void forget_changes_in(const char *parent)
{
	unsigned n = 0;

	for (unsigned i = 0; i < disk.nchanges; i++) {
		if (strcmp(disk.changes[i].parent, parent) == 0)
			buf_free(&disk.changes[i].content);
		else
			disk.changes[n++] = disk.changes[i];
	}
	disk.nchanges = n;
}

/* Only directories are synced by fsync. */
int fsync(int fd)
{
	char path[256];

	if (!disk.syncs_fail && path_of(fd, path))
		forget_changes_in(path);
	errno = EIO;
	return disk.syncs_fail ? -1 : 0;
}

int unlink(const char *path)
{
	const char *name = base_name(path);
	change_t c = {.removed = true};

	if (access(path, F_OK) == 0 && (is_segment(name) || strncmp(name, "snap-", 5) == 0)) {
		snprintf(c.name, sizeof(c.name), "%s", name);
		c.durable = is_segment(name) ? find_or_create(name)->durable : 0;
		store_file_read(path, &c.content);
		add_change(&c);
		drop_file(name);
	}
	return unlinkat(AT_FDCWD, path, 0);
}

int rename(const char *from, const char *to)
{
	change_t c = {.removed = true};
	file_t *f;

	if (is_segment(base_name(to))) {
		snprintf(c.name, sizeof(c.name), "%s", base_name(to));
		c.durable = find_or_create(c.name)->durable;
		store_file_read(to, &c.content);
		add_change(&c);
		drop_file(c.name);
		f = find_or_create(base_name(from));
		snprintf(f->name, sizeof(f->name), "%s", c.name);
	}
	return renameat(AT_FDCWD, from, AT_FDCWD, to);
}

int mkdir(const char *path, mode_t mode)
{
	change_t c = {.is_dir = true};
	char parent[192];

	if (mkdirat(AT_FDCWD, path, mode) != 0)
		return -1;
	snprintf(c.name, sizeof(c.name), "%s", base_name(path));
	snprintf(parent, sizeof(parent), "%.*s", (int)(base_name(path) - path) - 1, path);
	add_change_in(parent, &c);
	return 0;
}

static struct dirent held[FILES_MAX]; /* listed when the others have been */
static unsigned nheld;

static struct dirent *read_real(DIR *d)
{
	return ((struct dirent * (*)(DIR *)) dlsym(RTLD_NEXT, "readdir"))(d);
}

/* Lists snapshots last. */
struct dirent *readdir(DIR *d)
{
	struct dirent *e = read_real(d);

	while (e && strncmp(e->d_name, "snap-", 5) == 0) {
		ck_assert_uint_lt(nheld, FILES_MAX);
		held[nheld++] = *e;
		e = read_real(d);
	}
	if (e || nheld == 0)
		return e;
	if (disk.lists_fail) {
		errno = EIO;
		return NULL;
	}
	return &held[--nheld];
}

int closedir(DIR *d)
{
	nheld = 0;
	return ((int (*)(DIR *))dlsym(RTLD_NEXT, "closedir"))(d);
}

static int remove_file(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

/* All segments are in the directories below. */
static void undo_mkdir(const change_t *c)
{
	char path[260];

	snprintf(path, sizeof(path), "%s/%s", c->parent, c->name);
	nftw(path, remove_file, 16, FTW_DEPTH | FTW_PHYS);
	disk.nfiles = 0;
}

static void undo_change(change_t *c)
{
	char path[256];
	int fd;

	if (c->is_dir) {
		undo_mkdir(c);
		return;
	}
	file_path(c->name, path);
	if (!c->removed) {
		drop_file(c->name);
		unlinkat(AT_FDCWD, path, 0);
		return;
	}
	fd = open(path, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
	ck_assert_int_eq(syscall(SYS_pwrite64, fd, c->content.p, c->content.n, 0),
			 (long)c->content.n);
	close(fd);
	if (is_segment(c->name)) {
		drop_file(c->name);
		add_file(c->name, c->durable);
	}
	buf_free(&c->content);
}

/* Cuts the file anywhere after its durable bytes, or leaves out some sectors there. */
static void tear(const char *path, file_t *f)
{
	static const char zeros[16384];
	int fd = open(path, O_RDWR | O_CLOEXEC);
	long size = fd_size(fd);

	if (size > f->durable && rand() % 2)
		ck_assert_int_eq(ftruncate(fd, f->durable + rand() % (size - f->durable)), 0);
	size = fd_size(fd);
	if (size > f->durable && rand() % 2) {
		long at = f->durable + rand() % (size - f->durable);
		long from = at / SECTOR_BYTES * SECTOR_BYTES;
		long to = from + (1 + rand() % 4) * SECTOR_BYTES;

		from = from < f->durable ? f->durable : from;
		to = to > size ? size : to;
		ck_assert_int_eq(syscall(SYS_pwrite64, fd, zeros, to - from, from), to - from);
	}
	close(fd);
	f->durable = size;
	f->lost_from = f->lost_to = 0;
}

/* The worst power failure: the disk has nothing that was not synced. */
static void lose_unsynced(void)
{
	char path[256];

	while (disk.nchanges)
		undo_change(&disk.changes[--disk.nchanges]);
	for (unsigned i = 0; i < disk.nfiles; i++) {
		file_path(disk.files[i].name, path);
		ck_assert_int_eq(truncate(path, disk.files[i].durable), 0);
	}
}

/* True if a change after change i has the same name and is not undone. */
static bool is_superseded(unsigned i, const bool *undone)
{
	for (unsigned k = i + 1; k < disk.nchanges; k++) {
		if (!undone[k] && strcmp(disk.changes[k].name, disk.changes[i].name) == 0)
			return true;
	}
	return false;
}

/* Undoes each change of the directory or keeps it, independently of the others. */
static void lose_names(void)
{
	bool undone[CHANGES_MAX] = {false};

	for (unsigned i = disk.nchanges; i > 0; i--) {
		undone[i - 1] = rand() % 2 && !is_superseded(i - 1, undone);
		if (undone[i - 1])
			undo_change(&disk.changes[i - 1]);
	}
	forget_changes();
}

static void fail_power(void)
{
	char path[256];

	lose_names();
	for (unsigned i = 0; i < disk.nfiles; i++) {
		file_path(disk.files[i].name, path);
		tear(path, &disk.files[i]);
	}
}

static void repair_disk(void)
{
	disk.space = -1;
	disk.syncs_fail = false;
	disk.lists_fail = false;
}

static void break_disk(void)
{
	repair_disk();
	if (rand() % 2)
		disk.space = rand() % 3 ? rand() % 400 : 0;
	else
		disk.syncs_fail = true;
}

static status_t reopen(void)
{
	store_options_t o = {.dir = dir, .new_id = 77, .segment_bytes = 4096};

	store_contents_free(&contents);
	store = NULL;
	return store_open(&o, &store, &contents);
}

static void setup(void)
{
	const char *tmp = getenv("TMPDIR");
	char resolved[PATH_MAX];

	repair_disk();
	snprintf(root_dir, sizeof(root_dir), "%s/auburn-rr-XXXXXX", tmp ? tmp : "/tmp");
	ck_assert_ptr_nonnull(mkdtemp(root_dir));
	ck_assert_ptr_nonnull(realpath(root_dir, resolved));
	ck_assert_uint_lt(strlen(resolved), sizeof(root_dir));
	memcpy(root_dir, resolved, strlen(resolved) + 1);
	snprintf(data_dir, sizeof(data_dir), "%s/data", root_dir);
	snprintf(dir, sizeof(dir), "%s/a", data_dir);
	ck_assert_int_eq(reopen(), STATUS_OK);
	forget_changes();
}

static void teardown(void)
{
	store_close(store);
	store_contents_free(&contents);
	forget_changes();
	nftw(root_dir, remove_file, 16, FTW_DEPTH | FTW_PHYS);
}

static void make_entry_text(uint64_t index, uint64_t term, char text[64])
{
	snprintf(text, 64, "%lu of %lu %.*s", (unsigned long)index, (unsigned long)term,
		 (int)(index % 30), "..............................");
}

static void queue_hard_state(model_t *m)
{
	m->vote = rand() % 2 ? 7 : 8;
	m->term++;
	store_queue_hard_state(store, ++next_seq, m->term, m->vote);
}

/* Queues an entry after the last one, or in place of one of the last three. */
static void queue_entry(model_t *m)
{
	raft_entry_t e = {.term = m->term, .kind = RAFT_ENTRY_COMMAND};
	uint64_t nkept = m->n;
	char text[64];

	if (rand() % 6 == 0 && m->n > 3)
		nkept -= (uint64_t)rand() % 4;
	make_entry_text(m->base + nkept + 1, e.term, text);
	e.data.data_val = text;
	e.data.data_len = (u_int)strlen(text);
	store_queue_entries(store, ++next_seq, m->base + nkept + 1, &e, 1);
	m->terms[nkept] = e.term;
	m->n = nkept + 1;
}

static void queue_random_record(void)
{
	model_t *m = &states[nqueued + 1];

	if (nqueued == QUEUED_MAX)
		return;
	*m = states[nqueued];
	if (rand() % 5 == 0 || m->term == 0 || m->n == ENTRIES_MAX)
		queue_hard_state(m);
	else
		queue_entry(m);
	nqueued++;
}

static void sync_queued(void)
{
	uint64_t seq = 0;

	if (store_sync(store, &seq) != STATUS_OK)
		return;
	states[0] = states[nqueued];
	nqueued = 0;
}

/* Saves a snapshot that covers all but the last entries, at most two. */
static void save_snapshot(void)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	model_t *m = &states[0];
	uint64_t skip = m->n - (uint64_t)rand() % 3;

	if (nqueued || m->n < 3)
		return;
	raft_members_encode(&none, &conf);
	ck_assert_int_eq(store_save_snapshot(store, m->base + skip, m->terms[skip - 1],
					     str_buf(&conf), STR("state")),
			 STATUS_OK);
	memmove(m->terms, m->terms + skip, (m->n - skip) * sizeof(m->terms[0]));
	m->base += skip;
	m->n -= skip;
}

/* Receives a snapshot that ends after the log, which replaces the log. */
static void receive_snapshot(void)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	raft_snap_chunk_t c = {.data = STR("state"), .last = true};
	uint64_t last = 0;

	for (unsigned i = 0; i <= nqueued; i++) {
		if (last < states[i].base + states[i].n)
			last = states[i].base + states[i].n;
	}
	raft_members_encode(&none, &conf);
	c.members = str_buf(&conf);
	c.index = last + 1 + (uint64_t)rand() % 5;
	c.term = states[nqueued].term;
	c.crc = store_crc(0, c.data.p, c.data.n);
	ck_assert_int_eq(store_receive_snapshot(store, &c), STATUS_OK);
	for (unsigned i = 0; i <= nqueued; i++) {
		states[i].base = c.index;
		states[i].n = 0;
	}
	store_queue_reset(store, ++next_seq, c.index, c.term);
}

static bool entries_match(const model_t *m)
{
	if (contents.snap_index != m->base || contents.nentries != m->n)
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

/* Checks that the opened directory holds all that was synced and a prefix of what was queued. Term
 * and vote may be newer than the entries: a new segment begins with them. */
static void check_contents(int round)
{
	for (unsigned i = 0; i <= nqueued; i++) {
		for (unsigned k = i; k <= nqueued && entries_match(&states[i]); k++) {
			if (contents.term != states[k].term || contents.vote != states[k].vote)
				continue;
			states[0] = states[i];
			states[0].term = contents.term;
			states[0].vote = contents.vote;
			nqueued = 0;
			return;
		}
	}
	ck_abort_msg("round %d: %lu entries after %lu, term %lu; %lu after %lu, term %lu were "
		     "synced",
		     round, (unsigned long)contents.nentries, (unsigned long)contents.snap_index,
		     (unsigned long)contents.term, (unsigned long)states[0].n,
		     (unsigned long)states[0].base, (unsigned long)states[0].term);
}

/* Ends the process, in half of the cases by a power failure, and starts it again, at first maybe
 * on a disk that refuses writes. */
static void crash(int round)
{
	status_t st;

	store_close(store);
	if (rand() % 2)
		fail_power();
	if (rand() % 4 == 0)
		break_disk();
	else
		repair_disk();
	st = reopen();
	if (st == STATUS_IO && (disk.space >= 0 || disk.syncs_fail)) {
		if (rand() % 2)
			fail_power();
		repair_disk();
		st = reopen();
	}
	ck_assert_msg(st == STATUS_OK, "round %d: %s", round, status_message());
	check_contents(round);
}

static bool disk_is_sound(void)
{
	return disk.space < 0 && !disk.syncs_fail;
}

/* Ends the store and takes its directory and the one above away. */
static void remove_data(void)
{
	store_close(store);
	store = NULL;
	nftw(data_dir, remove_file, 16, FTW_DEPTH | FTW_PHYS);
	disk.nfiles = 0;
	forget_changes();
}

/* Starts in a new directory, at first a few times on a disk that refuses or with a kill. */
static void begin_in_new_folder(void)
{
	remove_data();
	for (int i = rand() % 3; i > 0; i--) {
		break_disk();
		if (reopen() == STATUS_OK)
			store_close(store);
		if (rand() % 2)
			fail_power();
		repair_disk();
		if (rand() % 2)
			mkdir(data_dir, 0700);
		if (rand() % 2)
			mkdir(dir, 0700);
	}
	ck_assert_msg(reopen() == STATUS_OK, "%s", status_message());
}

START_TEST(what_was_synced_survives_refused_writes_failed_syncs_and_crashes)
{
	srand((unsigned)_i);
	begin_in_new_folder();
	srand((unsigned)_i);
	for (int round = 0; round < 400; round++) {
		for (int i = rand() % 12; i > 0; i--)
			queue_random_record();
		if (rand() % 5)
			sync_queued();
		if (!store_has_queued(store) && rand() % 3 == 0)
			store_write_sync_mark(store);
		if (disk_is_sound() && rand() % 12 == 0)
			save_snapshot();
		if (disk_is_sound() && states[nqueued].term && rand() % 30 == 0)
			receive_snapshot();
		if (rand() % 6 == 0)
			break_disk();
		else if (rand() % 4 == 0)
			repair_disk();
		if (rand() % 8 == 0)
			crash(round);
	}
}
END_TEST

/* Queues the entry at index with the text "x" and syncs it. */
static status_t append(uint64_t index)
{
	raft_entry_t e = {.term = 1, .kind = RAFT_ENTRY_COMMAND};
	uint64_t seq;

	e.data.data_val = (char *)"x";
	e.data.data_len = 1;
	store_queue_entries(store, index, index, &e, 1);
	return store_sync(store, &seq);
}

START_TEST(what_a_failed_sync_covered_is_written_again_at_the_next_start)
{
	ck_assert_int_eq(append(1), STATUS_OK);
	disk.syncs_fail = true;
	ck_assert_int_eq(append(2), STATUS_IO);
	repair_disk();
	store_close(store);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
	store_close(store);
	lose_unsynced();
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

START_TEST(a_segment_that_could_not_be_begun_does_not_come_back_in_place_of_later_records)
{
	ck_assert_int_eq(append(1), STATUS_OK);
	disk.space = 0;
	ck_assert_int_eq(append(2), STATUS_IO);
	disk.space = sizeof(store_segment_header_t);
	ck_assert_int_eq(append(3), STATUS_IO);
	repair_disk();
	store_close(store);
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_int_eq(append(2), STATUS_OK);
	store_close(store);
	if (disk.nchanges)
		undo_change(&disk.changes[--disk.nchanges]); /* the removal */
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 2);
}
END_TEST

START_TEST(a_sync_mark_that_a_crash_tore_before_later_records_is_no_damage)
{
	static const char zeros[sizeof(store_record_t)];
	char path[256];
	long mark_at;
	int fd;

	ck_assert_int_eq(append(1), STATUS_OK);
	mark_at = (long)store->size;
	store_write_sync_mark(store);
	disk.syncs_fail = true;
	ck_assert_int_eq(append(2), STATUS_IO);
	repair_disk();
	store_close(store);
	file_path("log-0000000000000001", path);
	fd = open(path, O_RDWR | O_CLOEXEC);
	ck_assert_int_eq(pwrite(fd, zeros, sizeof(zeros), mark_at), sizeof(zeros));
	close(fd);
	ck_assert_msg(reopen() == STATUS_OK, "%s", status_message());
	ck_assert_uint_eq(contents.nentries, 1);
}
END_TEST

START_TEST(a_removed_segment_that_comes_back_alone_is_no_damage)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};

	raft_members_encode(&none, &conf);
	for (uint64_t i = 1; i <= 300; i++)
		ck_assert_int_eq(append(i), STATUS_OK);
	ck_assert_uint_ge(store->nsegments, 4);
	for (uint64_t i = 299; i <= 300; i++)
		ck_assert_int_eq(store_save_snapshot(store, i, 1, str_buf(&conf), STR("state")),
				 STATUS_OK);
	ck_assert_uint_eq(store->nsegments, 1);
	store_close(store);
	if (disk.nchanges)
		undo_change(&disk.changes[0]);
	ck_assert_msg(reopen() == STATUS_OK, "%s", status_message());
	ck_assert_uint_eq(contents.snap_index, 300);
}
END_TEST

/* Appends an entry under a term and a vote; both must survive a loss of power. */
static void check_that_a_vote_lasts(void)
{
	store_queue_hard_state(store, 1, 1, 8);
	ck_assert_int_eq(append(1), STATUS_OK);
	store_close(store);
	lose_unsynced();
	ck_assert_int_eq(reopen(), STATUS_OK);
	ck_assert_uint_eq(contents.nentries, 1);
	ck_assert_uint_eq(contents.vote, 8);
}

START_TEST(a_folder_that_a_killed_start_left_unsynced_is_lasting_before_a_vote)
{
	remove_data();
	ck_assert_int_eq(mkdir(data_dir, 0700), 0);
	forget_changes();
	ck_assert_int_eq(mkdir(dir, 0700), 0); /* the start is killed here */
	ck_assert_int_eq(reopen(), STATUS_OK);
	check_that_a_vote_lasts();
}
END_TEST

START_TEST(a_folder_whose_sync_failed_is_lasting_before_a_vote)
{
	remove_data();
	ck_assert_int_eq(mkdir(data_dir, 0700), 0);
	forget_changes();
	disk.syncs_fail = true;
	ck_assert_int_eq(reopen(), STATUS_IO);
	repair_disk();
	ck_assert_int_eq(reopen(), STATUS_OK);
	check_that_a_vote_lasts();
}
END_TEST

START_TEST(the_folder_above_is_lasting_before_a_vote)
{
	remove_data();
	ck_assert_int_eq(mkdir(data_dir, 0700), 0);
	ck_assert_int_eq(reopen(), STATUS_OK);
	check_that_a_vote_lasts();
}
END_TEST

/* Makes a directory with one entry and a snapshot that has lost its id file. */
static void lose_id(void)
{
	AUTO_BUF conf = {0};
	raft_members_t none = {0};
	char path[256];

	raft_members_encode(&none, &conf);
	ck_assert_int_eq(append(1), STATUS_OK);
	ck_assert_int_eq(store_save_snapshot(store, 1, 1, str_buf(&conf), STR("s")), STATUS_OK);
	store_close(store);
	file_path("id", path);
	ck_assert_int_eq(unlink(path), 0);
}

static void check_log_is_kept(void)
{
	char path[256];

	file_path("log-0000000000000001", path);
	ck_assert_int_eq(access(path, F_OK), 0);
}

START_TEST(a_directory_that_has_lost_its_id_keeps_its_log)
{
	lose_id();
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
	check_log_is_kept();
}
END_TEST

START_TEST(a_directory_without_an_id_that_can_be_listed_in_part_keeps_its_log)
{
	lose_id();
	disk.lists_fail = true;
	ck_assert_int_eq(reopen(), STATUS_IO);
	check_log_is_kept();
	repair_disk();
	ck_assert_int_eq(reopen(), STATUS_CORRUPT);
}
END_TEST

int main(void)
{
	const char *seeds = getenv("AUBURN_STORE_SEEDS");
	Suite *suite = suite_create("store_disk");
	TCase *t = tcase_create("store_disk");

	suite_add_tcase(suite, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, what_a_failed_sync_covered_is_written_again_at_the_next_start);
	tcase_add_test(
		t, a_segment_that_could_not_be_begun_does_not_come_back_in_place_of_later_records);
	tcase_add_test(t, a_sync_mark_that_a_crash_tore_before_later_records_is_no_damage);
	tcase_add_test(t, a_removed_segment_that_comes_back_alone_is_no_damage);
	tcase_add_test(t, a_folder_that_a_killed_start_left_unsynced_is_lasting_before_a_vote);
	tcase_add_test(t, a_folder_whose_sync_failed_is_lasting_before_a_vote);
	tcase_add_test(t, the_folder_above_is_lasting_before_a_vote);
	tcase_add_test(t, a_directory_that_has_lost_its_id_keeps_its_log);
	tcase_add_test(t, a_directory_without_an_id_that_can_be_listed_in_part_keeps_its_log);
	tcase_add_loop_test(t, what_was_synced_survives_refused_writes_failed_syncs_and_crashes, 1,
			    1 + (seeds ? atoi(seeds) : FIXED_SEEDS));
	tcase_set_timeout(t, 120);
	return suite_run(suite);
}
