/* Tests of a replicated group at run time (raft/group.h): up to five replicas in one process,
 * which send messages by function calls and use real files. Guard against acknowledged commands
 * that are lost, and stale reads, when a leader or a disk fails. */
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <ftw.h>
#include <glob.h>
#include "base/log.h"
#include "raft/group.h"
#include "suite_kit.h"

#define REPLICAS_MAX	 5
#define WAIT_MS		 30000
#define SNAPSHOT_WAIT_MS 3000 /* a failed one is tried again after 1 s */

/* A replica. Its state machine adds up the numbers in the commands. */
typedef struct {
	char addr[32];
	group_t *group;
	pthread_rwlock_t lock; /* guards `group`, which other replicas use in on_send */
	_Atomic bool isolated; /* its messages are dropped in both directions */
	uint64_t applied;
	uint64_t sum;
	uint64_t restores;
	_Atomic uint64_t snapshots;
} node_t;

static node_t nodes[REPLICAS_MAX];
static char root_dir[64];
static _Atomic int threads_refused; /* threads that still can't be created */
static uint64_t log_bytes_max; /* option of replicas that are opened from now on */

int pthread_create(pthread_t *t, const pthread_attr_t *attr, void *(*fn)(void *), void *arg)
{
	typedef int create_fn_t(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);

	if (threads_refused > 0) {
		threads_refused--;
		*t = 0;
		return EAGAIN;
	}
	return ((create_fn_t *)dlsym(RTLD_NEXT, "pthread_create"))(t, attr, fn, arg);
}

static uint64_t parse_number(str_t cmd)
{
	uint64_t v = 0;

	for (size_t i = 0; i < cmd.n; i++)
		v = v * 10 + (uint64_t)(cmd.p[i] - '0');
	return v;
}

static void on_apply(void *ctx, uint64_t index, str_t cmd, buf_t *result)
{
	node_t *n = ctx;

	ck_assert(index > n->applied);
	n->applied = index;
	__atomic_fetch_add(&n->sum, parse_number(cmd), __ATOMIC_RELAXED);
	buf_addf(result, "%lu", (unsigned long)n->sum);
}

/* The snapshot is padded, so that it is sent in several chunks. */
static void on_snapshot(void *ctx, buf_t *out)
{
	node_t *n = ctx;

	n->snapshots++;
	buf_addf(out, "%lu %lu", (unsigned long)n->applied, (unsigned long)n->sum);
	for (int i = 0; i < 400000; i++)
		buf_addc(out, ' ');
}

static status_t on_restore(void *ctx, str_t snap)
{
	node_t *n = ctx;
	AUTO_FREE char *text = str_dup(snap);
	char *end;

	n->applied = strtoul(text, &end, 10);
	__atomic_store_n(&n->sum, strtoul(end, NULL, 10), __ATOMIC_RELAXED);
	n->restores++;
	return STATUS_OK;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	const node_t *from = ctx;

	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		node_t *n = &nodes[i];

		if (strcmp(n->addr, addr) != 0 || from->isolated)
			continue;
		pthread_rwlock_rdlock(&n->lock);
		if (n->group && !n->isolated)
			group_receive(n->group, msg);
		pthread_rwlock_unlock(&n->lock);
	}
}

static deadline_t wait_deadline(void)
{
	return clock_now_ms() + WAIT_MS;
}

static status_t open_replica(unsigned i, unsigned nseeds, uint64_t snapshot_entries)
{
	static const char *const seeds[] = {"127.0.20.1:1", "127.0.20.2:1", "127.0.20.3:1"};
	node_t *n = &nodes[i];
	char dir[128];
	group_t *g = NULL;
	status_t st;
	group_options_t o = {.dir = dir,
			     .addr = n->addr,
			     .zone = "z",
			     .seeds = seeds,
			     .nseeds = nseeds,
			     .bootstrap = nseeds > 0,
			     .tick_ms = 10,
			     .election_ms = 300,
			     .snapshot_entries = snapshot_entries,
			     .snapshot_bytes = 1 << 30,
			     .log_bytes_max = log_bytes_max,
			     .ctx = n,
			     .apply = on_apply,
			     .snapshot = on_snapshot,
			     .restore = on_restore,
			     .send = on_send};

	snprintf(dir, sizeof(dir), "%s/%u", root_dir, i);
	n->applied = 0;
	__atomic_store_n(&n->sum, 0, __ATOMIC_RELAXED);
	n->isolated = false;
	st = group_open(&o, &g);
	pthread_rwlock_wrlock(&n->lock);
	n->group = g;
	pthread_rwlock_unlock(&n->lock);
	return st;
}

static void start_replica(unsigned i, unsigned nseeds)
{
	ck_assert_int_eq(open_replica(i, nseeds, 1000000), STATUS_OK);
}

static void stop_replica(unsigned i)
{
	node_t *n = &nodes[i];
	group_t *g = n->group;

	pthread_rwlock_wrlock(&n->lock);
	n->group = NULL;
	pthread_rwlock_unlock(&n->lock);
	group_close(g);
}

/* Waits until a replica other than `except` leads and can commit; returns its number. */
static unsigned wait_leader(int except)
{
	deadline_t d = wait_deadline();

	for (;;) {
		for (unsigned i = 0; i < REPLICAS_MAX; i++) {
			group_status_t s;

			if (!nodes[i].group || (int)i == except)
				continue;
			group_get_status(nodes[i].group, &s);
			if (s.leader &&
			    group_read_barrier(nodes[i].group, clock_now_ms() + 500) == STATUS_OK)
				return i;
		}
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
	}
}

static status_t propose_number(unsigned i, const char *number)
{
	return group_propose(nodes[i].group, str_c(number), wait_deadline(), NULL);
}

/* Commits the number once, by a leader other than replica `except`. */
static void add_number(int except, const char *number)
{
	deadline_t d = wait_deadline();
	status_t st;

	do {
		st = propose_number(wait_leader(except), number);
		ck_assert(clock_left_ms(d) > 0);
	} while (st == STATUS_NOT_LEADER); /* then it was not applied and never will be */
	ck_assert_int_eq(st, STATUS_OK);
}

static void wait_sum(unsigned i, uint64_t sum)
{
	deadline_t d = wait_deadline();

	while (__atomic_load_n(&nodes[i].sum, __ATOMIC_RELAXED) != sum) {
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
	}
}

static void setup(void)
{
	const char *tmp = getenv("TMPDIR");

	snprintf(root_dir, sizeof(root_dir), "%s/auburn-gr-XXXXXX", tmp ? tmp : "/tmp");
	ck_assert_ptr_nonnull(mkdtemp(root_dir));
	memset(nodes, 0, sizeof(nodes));
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		snprintf(nodes[i].addr, sizeof(nodes[i].addr), "127.0.20.%u:1", i + 1);
		pthread_rwlock_init(&nodes[i].lock, NULL);
	}
}

static int remove_file(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

static void teardown(void)
{
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		if (nodes[i].group)
			stop_replica(i);
	}
	nftw(root_dir, remove_file, 16, FTW_DEPTH | FTW_PHYS);
}

START_TEST(a_single_replica_keeps_its_state_over_a_restart)
{
	AUTO_BUF r = {0};

	start_replica(0, 1);
	ck_assert_uint_eq(wait_leader(-1), 0);
	for (int i = 0; i < 100; i++)
		ck_assert_int_eq(propose_number(0, "2"), STATUS_OK);
	stop_replica(0);
	start_replica(0, 1);
	wait_leader(-1);
	ck_assert_int_eq(group_propose(nodes[0].group, STR("1"), wait_deadline(), &r), STATUS_OK);
	ck_assert_str_eq(r.p, "201");
}
END_TEST

START_TEST(a_lost_leader_is_replaced_and_catches_up_when_it_returns)
{
	unsigned first_leader;

	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	for (int i = 0; i < 20; i++)
		add_number(-1, "1");
	first_leader = wait_leader(-1);
	stop_replica(first_leader);
	add_number((int)first_leader, "5");
	start_replica(first_leader, 3);
	wait_sum(first_leader, 25);
}
END_TEST

/* A command acknowledged by a leader without a majority is lost once the others elect a new
 * leader. */
START_TEST(an_isolated_leader_acknowledges_nothing)
{
	unsigned first_leader;

	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	first_leader = wait_leader(-1);
	nodes[first_leader].isolated = true;
	ck_assert_int_ne(
		group_propose(nodes[first_leader].group, STR("7"), clock_now_ms() + 1000, NULL),
		STATUS_OK);
	ck_assert_int_ne(group_read_barrier(nodes[first_leader].group, clock_now_ms() + 1000),
			 STATUS_OK);
	add_number((int)first_leader, "1");
	nodes[first_leader].isolated = false;
	wait_sum(first_leader, 1);
}
END_TEST

static _Atomic bool unfreeze;

/* Runs on the group's thread and blocks it, as a frozen process would. */
static void block_until_unfrozen(void *ctx, void *arg)
{
	while (!unfreeze)
		clock_sleep_ms(5);
}

static void *freeze_group_thread(void *arg)
{
	group_with_state(arg, block_until_unfrozen, NULL);
	return NULL;
}

typedef struct {
	unsigned node;
	status_t st;
} barrier_read_t;

static void *read_barrier_thread(void *arg)
{
	barrier_read_t *r = arg;

	r->st = group_read_barrier(nodes[r->node].group, wait_deadline());
	return NULL;
}

/* A leader is frozen while another is elected and commits. A read that was waiting at the old
 * leader must not be answered before the old leader has checked that it still leads. */
START_TEST(a_leader_that_was_frozen_answers_no_read_from_its_old_state)
{
	barrier_read_t read = {0};
	pthread_t freezer;
	pthread_t reader;

	unfreeze = false;
	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	read.node = wait_leader(-1);
	pthread_create(&freezer, NULL, freeze_group_thread, nodes[read.node].group);
	clock_sleep_ms(50);
	pthread_create(&reader, NULL, read_barrier_thread, &read);
	nodes[read.node].isolated = true; /* it receives no message of the new leader */
	add_number((int)read.node, "3");
	unfreeze = true;
	pthread_join(freezer, NULL);
	pthread_join(reader, NULL);
	ck_assert_int_eq(read.st, STATUS_NOT_LEADER);
	nodes[read.node].isolated = false;
	wait_sum(read.node, 3);
}
END_TEST

START_TEST(a_planned_stop_transfers_leadership)
{
	unsigned first_leader;

	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	first_leader = wait_leader(-1);
	ck_assert_int_eq(group_step_down(nodes[first_leader].group, wait_deadline()), STATUS_OK);
	add_number((int)first_leader, "1");
}
END_TEST

/* Repeats a membership change at the current leader until it is done. */
static void change_members(status_t (*fn)(group_t *g, const group_peer_t *p), const group_peer_t *p)
{
	deadline_t d = wait_deadline();
	status_t st;

	do {
		st = fn(nodes[wait_leader(-1)].group, p);
		ck_assert(st == STATUS_OK || st == STATUS_LIMIT || st == STATUS_NOT_LEADER);
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
	} while (st != STATUS_OK);
}

static status_t add_learner(group_t *g, const group_peer_t *p)
{
	return group_add_learner(g, p, wait_deadline());
}

static status_t promote(group_t *g, const group_peer_t *p)
{
	return group_promote(g, p->id, wait_deadline());
}

static status_t remove_member(group_t *g, const group_peer_t *p)
{
	return group_remove(g, p->id, wait_deadline());
}

/* Adds replica i as a learner, waits until it has caught up, and promotes it. */
static void join_as_voter(unsigned i)
{
	group_status_t s;
	group_peer_t p = {0};

	group_get_status(nodes[i].group, &s);
	p.id = s.self;
	snprintf(p.addr, sizeof(p.addr), "%s", nodes[i].addr);
	change_members(add_learner, &p);
	change_members(promote, &p);
}

/* Waits until replica i no longer has the first entries, as two snapshots cover them. */
static void wait_compacted(unsigned i)
{
	deadline_t d = wait_deadline();
	group_status_t s;

	do {
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
		group_get_status(nodes[i].group, &s);
	} while (s.first_index == 1);
}

/* The log is compacted, so the new replica depends on the snapshot. It must be a full voter
 * afterwards: with another replica lost, it is needed for the majority. */
START_TEST(a_lost_disk_is_replaced_from_a_snapshot)
{
	group_peer_t old = {0};
	group_status_t s;
	unsigned leader;
	unsigned lost;

	for (unsigned i = 0; i < 3; i++)
		ck_assert_int_eq(open_replica(i, 3, 50), STATUS_OK);
	for (int i = 0; i < 300; i++)
		add_number(-1, "1");
	for (unsigned i = 0; i < 3; i++)
		wait_compacted(i);
	lost = (wait_leader(-1) + 1) % 3;
	old.id = group_seed_id(0, nodes[lost].addr);
	stop_replica(lost);
	start_replica(3, 0); /* a replica with an empty disk at another address */
	join_as_voter(3);
	change_members(remove_member, &old);
	wait_sum(3, 300);
	ck_assert_uint_ge(nodes[3].restores, 1);
	/* A second replica, the leader, is lost right after the repair. */
	leader = wait_leader(-1);
	stop_replica(leader);
	add_number(-1, "1");
	group_get_status(nodes[wait_leader(-1)].group, &s);
	ck_assert_uint_eq(s.npeers, 3);
	stop_replica(3);
	start_replica(3, 0);
	wait_sum(3, 301);
}
END_TEST

/* Flips a bit in each of eight adjacent bytes, as up to seven may be padding. */
static void damage_log(const char *dir)
{
	char path[160];
	char bytes[8];
	int fd;

	snprintf(path, sizeof(path), "%s/log-0000000000000001", dir);
	fd = open(path, O_RDWR);
	ck_assert_int_eq(pread(fd, bytes, sizeof(bytes), 500), sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] ^= 1;
	ck_assert_int_eq(pwrite(fd, bytes, sizeof(bytes), 500), sizeof(bytes));
	close(fd);
}

/* Repaired under its old id, the replica would lack entries that it had acknowledged. */
START_TEST(a_replica_with_a_damaged_directory_joins_again_under_a_new_id)
{
	group_peer_t old = {.id = group_seed_id(0, nodes[1].addr)};
	group_status_t s;
	char dir[128];
	char damaged_dir[160];

	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	for (int i = 0; i < 50; i++)
		add_number(-1, "1");
	wait_sum(1, 50);
	stop_replica(1);
	snprintf(dir, sizeof(dir), "%s/1", root_dir);
	snprintf(damaged_dir, sizeof(damaged_dir), "%s.damaged", dir);
	damage_log(dir);
	ck_assert(group_exists(dir));
	ck_assert_int_eq(open_replica(1, 3, 1000), STATUS_CORRUPT);
	ck_assert(strstr(status_message(), "log-0000000000000001: offset ") != NULL);
	ck_assert_int_eq(rename(dir, damaged_dir), 0);
	ck_assert(!group_exists(dir));
	start_replica(1, 0);
	group_get_status(nodes[1].group, &s);
	ck_assert_uint_ne(s.self, old.id);
	join_as_voter(1);
	change_members(remove_member, &old);
	wait_sum(1, 50);
}
END_TEST

/* After a failed sync the data may not be on the disk, even if a later sync succeeds. */
START_TEST(a_replica_with_a_failed_disk_acknowledges_nothing)
{
	deadline_t d = wait_deadline();
	status_t st;

	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=40", 1);
	start_replica(0, 3);
	unsetenv("AUBURN_DISK_FAULT");
	start_replica(1, 3);
	start_replica(2, 3);
	/* Replica 0 may also be the leader until its disk fails. */
	do {
		propose_number(wait_leader(-1), "1");
		st = group_propose(nodes[0].group, STR("1"), wait_deadline(), NULL);
		ck_assert(clock_left_ms(d) > 0);
	} while (st != STATUS_IO);
	/* The others continue without it, and it continues to report the failure. */
	for (int i = 0; i < 10; i++)
		add_number(0, "1");
	ck_assert_int_eq(group_propose(nodes[0].group, STR("1"), wait_deadline(), NULL), STATUS_IO);
}
END_TEST

/* Makes the disk of replica i refuse writes, and waits until the replica has failed to write. */
static void fill_disk(unsigned i, const char *flag)
{
	int fd = open(flag, O_CREAT | O_WRONLY, 0600);
	deadline_t d = wait_deadline();

	ck_assert_int_ge(fd, 0);
	close(fd);
	do {
		add_number((int)i, "1");
		ck_assert(clock_left_ms(d) > 0);
	} while (propose_number(i, "1") != STATUS_IO);
}

/* The group loses its majority at the next loss of a disk if the replica stays out. */
START_TEST(a_replica_whose_disk_refused_writes_votes_again_once_the_disk_takes_them)
{
	char flag[128];
	char fault[160];
	status_t st;
	deadline_t d;

	snprintf(flag, sizeof(flag), "%s/disk-is-full", root_dir);
	snprintf(fault, sizeof(fault), "full_while_exists=%s", flag);
	setenv("AUBURN_DISK_FAULT", fault, 1);
	start_replica(0, 3);
	unsetenv("AUBURN_DISK_FAULT");
	start_replica(1, 3);
	start_replica(2, 3);
	fill_disk(0, flag);
	unlink(flag);
	d = clock_now_ms() + 1000;
	do {
		clock_sleep_ms(5);
		st = propose_number(0, "1");
	} while (st == STATUS_IO && clock_left_ms(d) > 0);
	ck_assert_int_ne(st, STATUS_IO);
	stop_replica(wait_leader(0));
	add_number(-1, "1");
}
END_TEST

/* Three times as much as the disk holds is written to the log. */
START_TEST(a_disk_that_is_full_of_old_log_entries_is_freed_by_a_snapshot)
{
	enum { CAPACITY = 4 << 20, ENTRY = 4096, ENTRIES = 3 * CAPACITY / ENTRY };
	char fault[64];
	char number[ENTRY];

	memset(number, '0', sizeof(number));
	number[ENTRY - 2] = '1';
	number[ENTRY - 1] = 0;
	snprintf(fault, sizeof(fault), "capacity_bytes=%d", CAPACITY);
	setenv("AUBURN_DISK_FAULT", fault, 1);
	start_replica(0, 1);
	wait_leader(-1);
	for (int i = 0; i < ENTRIES; i++)
		ck_assert_int_eq(propose_number(0, number), STATUS_OK);
	stop_replica(0);
	start_replica(0, 1);
	unsetenv("AUBURN_DISK_FAULT");
	wait_leader(-1);
	ck_assert_int_eq(propose_number(0, "1"), STATUS_OK);
	ck_assert_uint_eq(nodes[0].sum, ENTRIES + 1);
}
END_TEST

/* True if the folder of replica i holds a snapshot. */
static bool has_snapshot(unsigned i)
{
	char pattern[128];
	glob_t found;
	bool has;

	snprintf(pattern, sizeof(pattern), "%s/%u/snap-*", root_dir, i);
	has = glob(pattern, 0, NULL, &found) == 0;
	globfree(&found);
	return has;
}

START_TEST(a_snapshot_whose_thread_could_not_be_created_is_logged_and_tried_again)
{
	AUTO_BUF lines = {0};
	deadline_t d = wait_deadline();

	ck_assert_int_eq(open_replica(0, 1, 20), STATUS_OK);
	wait_leader(-1);
	threads_refused = 1;
	while (threads_refused && clock_left_ms(d) > 0)
		ck_assert_int_eq(propose_number(0, "1"), STATUS_OK);
	ck_assert_int_eq(threads_refused, 0);
	d = clock_now_ms() + SNAPSHOT_WAIT_MS;
	while (!has_snapshot(0) && clock_left_ms(d) > 0)
		clock_sleep_ms(5);
	log_find(&lines, STR("event=snapshot_failed"), 10);
	ck_assert_uint_gt(lines.n, 0);
	ck_assert(has_snapshot(0));
}
END_TEST

enum { FULL_CAPACITY = 4 << 20, FULL_THREADS = 16, FULL_ENTRIES = 200, FULL_ENTRY = 4096 };

/* Proposes 1 in entries of 4 KiB. */
static void *propose_large_thread(void *arg)
{
	unsigned *done = arg;
	char number[FULL_ENTRY];

	memset(number, '0', sizeof(number));
	number[FULL_ENTRY - 2] = '1';
	number[FULL_ENTRY - 1] = 0;
	while (*done < FULL_ENTRIES && propose_number(0, number) == STATUS_OK)
		++*done;
	return NULL;
}

/* Many callers fill the disk while the snapshot that is to free it is written. */
START_TEST(the_log_leaves_the_last_space_on_the_disk_to_the_snapshot)
{
	unsigned done[FULL_THREADS] = {0};
	pthread_t t[FULL_THREADS];
	char fault[64];

	snprintf(fault, sizeof(fault), "capacity_bytes=%d", FULL_CAPACITY);
	setenv("AUBURN_DISK_FAULT", fault, 1);
	start_replica(0, 1);
	unsetenv("AUBURN_DISK_FAULT");
	wait_leader(-1);
	for (int i = 0; i < FULL_THREADS; i++)
		pthread_create(&t[i], NULL, propose_large_thread, &done[i]);
	for (int i = 0; i < FULL_THREADS; i++)
		pthread_join(t[i], NULL);
	for (int i = 0; i < FULL_THREADS; i++)
		ck_assert_uint_eq(done[i], FULL_ENTRIES);
	ck_assert_uint_eq(nodes[0].sum, FULL_THREADS * FULL_ENTRIES);
}
END_TEST

/* Proposes to each replica in turn until 50 commands are committed. */
static void *propose_thread(void *arg)
{
	unsigned *done = arg;
	deadline_t d = wait_deadline();

	for (unsigned i = 0; *done < 50 && clock_left_ms(d) > 0; i++) {
		status_t st = propose_number(i % 3, "1");

		*done += st == STATUS_OK;
		if (st == STATUS_TIMEOUT)
			break;
	}
	return NULL;
}

/* One sync per command would limit the group to the rate of the disk's syncs. */
/* Guards against a log in memory that grows until the process is ended, and against one that is
 * kept so long that a snapshot follows on the other. */
START_TEST(a_snapshot_is_begun_when_the_log_nears_its_bound)
{
	enum { CMD_BYTES = 32 << 10, CMDS = 200 };
	AUTO_BUF cmd = {0};
	group_status_t s;
	deadline_t d;

	log_bytes_max = 1 << 20;
	start_replica(0, 1);
	wait_leader(-1);
	while (cmd.n < CMD_BYTES - 1)
		buf_addc(&cmd, '0');
	buf_addc(&cmd, '1');
	for (int i = 0; i < CMDS; i++)
		ck_assert_int_eq(
			group_propose(nodes[0].group, str_buf(&cmd), wait_deadline(), NULL),
			STATUS_OK);
	d = wait_deadline();
	do {
		ck_assert(clock_left_ms(d) > 0);
		group_get_status(nodes[0].group, &s);
	} while (s.log_bytes >= log_bytes_max / 4 * 3);
	ck_assert_uint_gt(nodes[0].snapshots, 0);
	ck_assert_uint_le(nodes[0].snapshots, CMD_BYTES * CMDS / (log_bytes_max / 4 * 3));
	ck_assert_uint_eq(nodes[0].sum, CMDS);
}
END_TEST

START_TEST(concurrent_proposals_share_syncs)
{
	unsigned done[16] = {0};
	pthread_t t[16];
	group_status_t s;
	unsigned leader;

	for (unsigned i = 0; i < 3; i++)
		start_replica(i, 3);
	wait_leader(-1);
	for (int i = 0; i < 16; i++)
		pthread_create(&t[i], NULL, propose_thread, &done[i]);
	for (int i = 0; i < 16; i++) {
		pthread_join(t[i], NULL);
		ck_assert_uint_eq(done[i], 50);
	}
	leader = wait_leader(-1);
	group_get_status(nodes[leader].group, &s);
	wait_sum(leader, 800);
	ck_assert_uint_lt(s.syncs, 800);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("group");
	TCase *t = tcase_create("group");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, a_single_replica_keeps_its_state_over_a_restart);
	tcase_add_test(t, a_lost_leader_is_replaced_and_catches_up_when_it_returns);
	tcase_add_test(t, an_isolated_leader_acknowledges_nothing);
	tcase_add_test(t, a_leader_that_was_frozen_answers_no_read_from_its_old_state);
	tcase_add_test(t, a_planned_stop_transfers_leadership);
	tcase_add_test(t, a_lost_disk_is_replaced_from_a_snapshot);
	tcase_add_test(t, a_replica_with_a_damaged_directory_joins_again_under_a_new_id);
	tcase_add_test(t, a_replica_with_a_failed_disk_acknowledges_nothing);
	tcase_add_test(t, a_replica_whose_disk_refused_writes_votes_again_once_the_disk_takes_them);
	tcase_add_test(t, a_disk_that_is_full_of_old_log_entries_is_freed_by_a_snapshot);
	tcase_add_test(t, a_snapshot_whose_thread_could_not_be_created_is_logged_and_tried_again);
	tcase_add_test(t, the_log_leaves_the_last_space_on_the_disk_to_the_snapshot);
	tcase_add_test(t, a_snapshot_is_begun_when_the_log_nears_its_bound);
	tcase_add_test(t, concurrent_proposals_share_syncs);
	return suite_run(s);
}
