/* Unit tests of the group runtime: replicas in one process over function calls, real files. */
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <ftw.h>
#include "raft/group.h"
#include "suite_kit.h"

#define REPLICAS_MAX 5
#define WAIT_MS	     30000

/* A state machine that counts and remembers the sum of the commands' numbers. */
typedef struct {
	char addr[32];
	group_t *group;
	pthread_rwlock_t lock; /* guards g against senders */
	_Atomic bool isolated; /* neither sends nor receives */
	uint64_t applied;
	uint64_t sum;
	uint64_t restores;
} node_t;

static node_t nodes[REPLICAS_MAX];
static char root[64];

static uint64_t number_of(str_t cmd)
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
	__atomic_fetch_add(&n->sum, number_of(cmd), __ATOMIC_RELAXED);
	buf_addf(result, "%lu", (unsigned long)n->sum);
}

static void on_snapshot(void *ctx, buf_t *out)
{
	node_t *n = ctx;

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

static deadline_t soon(void)
{
	return clock_now_ms() + WAIT_MS;
}

static status_t start_with(unsigned i, unsigned nseeds, uint64_t snapshot_entries)
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
			     .ctx = n,
			     .apply = on_apply,
			     .snapshot = on_snapshot,
			     .restore = on_restore,
			     .send = on_send};

	snprintf(dir, sizeof(dir), "%s/%u", root, i);
	n->applied = 0;
	__atomic_store_n(&n->sum, 0, __ATOMIC_RELAXED);
	n->isolated = false;
	st = group_open(&o, &g);
	pthread_rwlock_wrlock(&n->lock);
	n->group = g;
	pthread_rwlock_unlock(&n->lock);
	return st;
}

static void start(unsigned i, unsigned nseeds)
{
	ck_assert_int_eq(start_with(i, nseeds, 1000000), STATUS_OK);
}

static void stop(unsigned i)
{
	node_t *n = &nodes[i];
	group_t *g = n->group;

	pthread_rwlock_wrlock(&n->lock);
	n->group = NULL;
	pthread_rwlock_unlock(&n->lock);
	group_close(g);
}

/* Waits until some replica but `not` leads and can commit. */
static unsigned wait_leader(int not )
{
	deadline_t d = soon();

	for (;;) {
		for (unsigned i = 0; i < REPLICAS_MAX; i++) {
			group_status_t s;

			if (!nodes[i].group || (int)i == not )
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

static status_t add(unsigned i, const char *number)
{
	return group_propose(nodes[i].group, str_c(number), soon(), NULL);
}

/* Adds the number once, by whichever replica but `not` leads. */
static void must_add(int not, const char *number)
{
	deadline_t d = soon();
	status_t st;

	do {
		st = add(wait_leader(not ), number);
		ck_assert(clock_left_ms(d) > 0);
	} while (st == STATUS_NOT_LEADER); /* surely not done */
	ck_assert_int_eq(st, STATUS_OK);
}

static void wait_sum(unsigned i, uint64_t sum)
{
	deadline_t d = soon();

	while (__atomic_load_n(&nodes[i].sum, __ATOMIC_RELAXED) != sum) {
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
	}
}

static void setup(void)
{
	const char *tmp = getenv("TMPDIR");

	snprintf(root, sizeof(root), "%s/auburn-gr-XXXXXX", tmp ? tmp : "/tmp");
	ck_assert_ptr_nonnull(mkdtemp(root));
	memset(nodes, 0, sizeof(nodes));
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		snprintf(nodes[i].addr, sizeof(nodes[i].addr), "127.0.20.%u:1", i + 1);
		pthread_rwlock_init(&nodes[i].lock, NULL);
	}
}

static int remove_one(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

static void teardown(void)
{
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		if (nodes[i].group)
			stop(i);
	}
	nftw(root, remove_one, 16, FTW_DEPTH | FTW_PHYS);
}

START_TEST(single_replica_restarts)
{
	AUTO_BUF r = {0};

	start(0, 1);
	ck_assert_uint_eq(wait_leader(-1), 0);
	for (int i = 0; i < 100; i++)
		ck_assert_int_eq(add(0, "2"), STATUS_OK);
	stop(0);
	start(0, 1);
	wait_leader(-1);
	ck_assert_int_eq(group_propose(nodes[0].group, STR("1"), soon(), &r), STATUS_OK);
	ck_assert_str_eq(r.p, "201");
}
END_TEST

START_TEST(leader_lost_and_back)
{
	unsigned first;

	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	for (int i = 0; i < 20; i++)
		must_add(-1, "1");
	first = wait_leader(-1);
	stop(first);
	must_add((int)first, "5");
	start(first, 3);
	wait_sum(first, 25);
}
END_TEST

START_TEST(cut_off_leader_acknowledges_nothing)
{
	unsigned first;

	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	first = wait_leader(-1);
	nodes[first].isolated = true;
	ck_assert_int_ne(group_propose(nodes[first].group, STR("7"), clock_now_ms() + 1000, NULL),
			 STATUS_OK);
	ck_assert_int_ne(group_read_barrier(nodes[first].group, clock_now_ms() + 1000), STATUS_OK);
	must_add((int)first, "1");
	nodes[first].isolated = false;
	wait_sum(first, 1);
}
END_TEST

static _Atomic bool thaw;

static void freeze(void *ctx, void *arg)
{
	while (!thaw)
		clock_sleep_ms(5);
}

static void *freeze_group(void *arg)
{
	group_with_state(arg, freeze, NULL);
	return NULL;
}

typedef struct {
	unsigned node;
	status_t st;
} read_t;

static void *read_frozen(void *arg)
{
	read_t *r = arg;

	r->st = group_read_barrier(nodes[r->node].group, soon());
	return NULL;
}

START_TEST(frozen_leader_wakes_and_gives_no_stale_answer)
{
	read_t read = {0};
	pthread_t frozen;
	pthread_t reader;

	thaw = false;
	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	read.node = wait_leader(-1);
	pthread_create(&frozen, NULL, freeze_group, nodes[read.node].group);
	clock_sleep_ms(50);
	pthread_create(&reader, NULL, read_frozen, &read);
	nodes[read.node].isolated = true; /* nobody tells it */
	must_add((int)read.node, "3");
	thaw = true;
	pthread_join(frozen, NULL);
	pthread_join(reader, NULL);
	ck_assert_int_eq(read.st, STATUS_NOT_LEADER);
	nodes[read.node].isolated = false;
	wait_sum(read.node, 3);
}
END_TEST

START_TEST(planned_stop_hands_leadership_over)
{
	unsigned first;

	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	first = wait_leader(-1);
	ck_assert_int_eq(group_step_down(nodes[first].group, soon()), STATUS_OK);
	must_add((int)first, "1");
}
END_TEST

/* Repeats a change of members until it is done, by whoever leads. */
static void change(status_t (*fn)(group_t *g, const group_peer_t *p), const group_peer_t *p)
{
	deadline_t d = soon();
	status_t st;

	do {
		st = fn(nodes[wait_leader(-1)].group, p);
		ck_assert(st == STATUS_OK || st == STATUS_LIMIT || st == STATUS_NOT_LEADER);
		ck_assert(clock_left_ms(d) > 0);
		clock_sleep_ms(5);
	} while (st != STATUS_OK);
}

static status_t do_add(group_t *g, const group_peer_t *p)
{
	return group_add_learner(g, p, soon());
}

static status_t do_promote(group_t *g, const group_peer_t *p)
{
	return group_promote(g, p->id, soon());
}

static status_t do_remove(group_t *g, const group_peer_t *p)
{
	return group_remove(g, p->id, soon());
}

/* Adds the replica at i as a learner and waits until it may vote. */
static void join(unsigned i)
{
	group_status_t s;
	group_peer_t p = {0};

	group_get_status(nodes[i].group, &s);
	p.id = s.self;
	snprintf(p.addr, sizeof(p.addr), "%s", nodes[i].addr);
	change(do_add, &p);
	change(do_promote, &p);
}

START_TEST(lost_disk_is_replaced_from_snapshot)
{
	group_peer_t old = {0};
	group_status_t s;
	unsigned leader;
	unsigned lost;

	for (unsigned i = 0; i < 3; i++)
		ck_assert_int_eq(start_with(i, 3, 50), STATUS_OK);
	for (int i = 0; i < 300; i++)
		must_add(-1, "1");
	lost = (wait_leader(-1) + 1) % 3;
	old.id = group_seed_id(0, nodes[lost].addr);
	stop(lost);
	start(3, 0); /* an empty disk elsewhere */
	join(3);
	change(do_remove, &old);
	wait_sum(3, 300);
	ck_assert_uint_ge(nodes[3].restores, 1);
	/* A second one is lost right after the repair. */
	leader = wait_leader(-1);
	stop(leader);
	must_add(-1, "1");
	group_get_status(nodes[wait_leader(-1)].group, &s);
	ck_assert_uint_eq(s.npeers, 3);
	stop(3);
	start(3, 0);
	wait_sum(3, 301);
}
END_TEST

/* Eight bytes, since up to seven may be padding. */
static void flip_middle_of_log(const char *dir)
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

START_TEST(damaged_folder_joins_again_under_a_new_id)
{
	group_peer_t old = {.id = group_seed_id(0, nodes[1].addr)};
	group_status_t s;
	char dir[128];
	char aside[160];

	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	for (int i = 0; i < 50; i++)
		must_add(-1, "1");
	wait_sum(1, 50);
	stop(1);
	snprintf(dir, sizeof(dir), "%s/1", root);
	snprintf(aside, sizeof(aside), "%s.damaged", dir);
	flip_middle_of_log(dir);
	ck_assert(group_exists(dir));
	ck_assert_int_eq(start_with(1, 3, 1000), STATUS_CORRUPT);
	ck_assert(strstr(status_message(), "log-0000000000000001: offset ") != NULL);
	ck_assert_int_eq(rename(dir, aside), 0);
	ck_assert(!group_exists(dir));
	start(1, 0);
	group_get_status(nodes[1].group, &s);
	ck_assert_uint_ne(s.self, old.id);
	join(1);
	change(do_remove, &old);
	wait_sum(1, 50);
}
END_TEST

START_TEST(failing_disk_stops_acknowledging)
{
	deadline_t d = soon();
	status_t st;

	setenv("AUBURN_DISK_FAULT", "fsync_fail_after=40", 1);
	start(0, 3);
	unsetenv("AUBURN_DISK_FAULT");
	start(1, 3);
	start(2, 3);
	/* Replica 0 may lead as well until its disk fails. */
	do {
		add(wait_leader(-1), "1");
		st = group_propose(nodes[0].group, STR("1"), soon(), NULL);
		ck_assert(clock_left_ms(d) > 0);
	} while (st != STATUS_IO);
	/* The others go on without it, and it goes on saying what is wrong with it. */
	for (int i = 0; i < 10; i++)
		must_add(0, "1");
	ck_assert_int_eq(group_propose(nodes[0].group, STR("1"), soon(), NULL), STATUS_IO);
}
END_TEST

/* Adds 50 times, by whichever replica takes it. */
static void *propose_many(void *arg)
{
	unsigned *done = arg;
	deadline_t d = soon();

	for (unsigned i = 0; *done < 50 && clock_left_ms(d) > 0; i++) {
		status_t st = add(i % 3, "1");

		*done += st == STATUS_OK;
		if (st == STATUS_TIMEOUT)
			break;
	}
	return NULL;
}

START_TEST(concurrent_proposals_share_syncs)
{
	unsigned done[16] = {0};
	pthread_t t[16];
	group_status_t s;
	unsigned leader;

	for (unsigned i = 0; i < 3; i++)
		start(i, 3);
	wait_leader(-1);
	for (int i = 0; i < 16; i++)
		pthread_create(&t[i], NULL, propose_many, &done[i]);
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
	Suite *s = suite_create("gr");
	TCase *t = tcase_create("gr");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, single_replica_restarts);
	tcase_add_test(t, leader_lost_and_back);
	tcase_add_test(t, cut_off_leader_acknowledges_nothing);
	tcase_add_test(t, frozen_leader_wakes_and_gives_no_stale_answer);
	tcase_add_test(t, planned_stop_hands_leadership_over);
	tcase_add_test(t, lost_disk_is_replaced_from_snapshot);
	tcase_add_test(t, damaged_folder_joins_again_under_a_new_id);
	tcase_add_test(t, failing_disk_stops_acknowledging);
	tcase_add_test(t, concurrent_proposals_share_syncs);
	return suite_run(s);
}
