/* auburn-log-bench: measures the replicated log with all replicas in one process and with real
 * files and syncs. Prints a line of key=value pairs per measurement. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/metric.h"
#include "inproc_replicas.h"

#define PROPOSERS_MAX	 512
#define FAILOVER_RUNS	 10
#define SNAPSHOT_LOAD_MS 6000

/* A thread that proposes one command after another. */
typedef struct {
	group_t *g;
	unsigned bytes; /* of a command */
	deadline_t end;
	metric_t *us; /* histogram of commit times */
	uint64_t done;
	uint64_t failed;
} proposer_t;

static void *proposer_thread(void *arg)
{
	proposer_t *p = arg;
	char *cmd = mem_new(p->bytes);

	while (clock_left_ms(p->end) > 0) {
		int64_t start_us = clock_now_us();

		if (group_propose(p->g, (str_t){cmd, p->bytes}, clock_now_ms() + INPROC_WAIT_MS,
				  NULL) != STATUS_OK) {
			p->failed++;
			continue;
		}
		metric_record(p->us, clock_now_us() - start_us);
		p->done++;
	}
	free(cmd);
	return NULL;
}

typedef struct {
	unsigned replicas;
	unsigned groups;
	unsigned proposers; /* in total, spread over the groups */
	unsigned bytes; /* of a command */
	unsigned ms; /* duration */
} load_t;

static void print_load(const load_t *l, const proposer_t *p, metric_t *us, int64_t took_us,
		       const group_status_t *before, const group_status_t *after)
{
	uint64_t done = 0;
	uint64_t failed = 0;
	uint64_t syncs = after->syncs - before->syncs;
	uint64_t sync_us = after->sync_us - before->sync_us;

	for (unsigned i = 0; i < l->proposers; i++) {
		done += p[i].done;
		failed += p[i].failed;
	}
	/* Syncs are those of group 0's leader. */
	printf("measure=commit replicas=%u groups=%u proposers=%u bytes=%u ms=%ld commits=%lu "
	       "failed=%lu commits_per_s=%lu p50_us=%ld p99_us=%ld leader_syncs=%lu "
	       "sync_mean_us=%lu sync_share=%.2f commits_per_sync=%.1f\n",
	       l->replicas, l->groups, l->proposers, l->bytes, (long)(took_us / 1000),
	       (unsigned long)done, (unsigned long)failed,
	       (unsigned long)(done * 1000000 / (uint64_t)took_us), (long)metric_quantile(us, 0.5),
	       (long)metric_quantile(us, 0.99), (unsigned long)syncs,
	       (unsigned long)(syncs ? sync_us / syncs : 0), (double)sync_us / (double)took_us,
	       syncs ? (double)done / l->groups / (double)syncs : 0.0);
	fflush(stdout);
}

/* Commit rate and commit times of new groups under a load of parallel proposers. */
static void measure_load(const load_t *l)
{
	static unsigned run;
	static proposer_t p[PROPOSERS_MAX];
	static pthread_t t[PROPOSERS_MAX];
	group_t *leaders[INPROC_GROUPS_MAX];
	group_status_t before;
	group_status_t after;
	char label[32];
	metric_t *us;
	int64_t start_us;

	snprintf(label, sizeof(label), "run=\"%u\"", run++);
	us = metric_get(METRIC_HISTOGRAM, "commit_us", label);
	for (unsigned g = 0; g < l->groups; g++) {
		for (unsigned i = 0; i < l->replicas; i++)
			inproc_start(g, i, l->replicas, 1ull << 40);
	}
	for (unsigned g = 0; g < l->groups; g++)
		leaders[g] = inproc_wait_leader(g);
	group_get_status(leaders[0], &before);
	start_us = clock_now_us();
	for (unsigned i = 0; i < l->proposers; i++) {
		p[i] = (proposer_t){
			leaders[i % l->groups], l->bytes, clock_now_ms() + l->ms, us, 0, 0};
		pthread_create(&t[i], NULL, proposer_thread, &p[i]);
	}
	for (unsigned i = 0; i < l->proposers; i++)
		pthread_join(t[i], NULL);
	start_us = clock_now_us() - start_us;
	group_get_status(leaders[0], &after);
	print_load(l, p, us, start_us, &before, &after);
	inproc_clear();
}

static void propose_commands(group_t *g, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		if (group_propose(g, STR("command"), clock_now_ms() + INPROC_WAIT_MS, NULL) !=
		    STATUS_OK)
			exit(1);
	}
}

/* Proposes commands until the leader has written a snapshot newer than index. */
static void wait_snapshot(group_t *g, uint64_t index)
{
	group_status_t s;

	do {
		propose_commands(g, 1);
		group_get_status(g, &s);
	} while (s.snapshot_index <= index);
}

/* Called on the group's thread: sets the size of the replicated state. */
static void fill_state(void *ctx, void *arg)
{
	inproc_replica_t *n = ctx;
	size_t bytes = *(size_t *)arg;
	char *fill = mem_new(bytes);

	for (size_t i = 0; i < bytes; i++)
		fill[i] = (char)(i * 31);
	n->state.n = 0;
	buf_add(&n->state, (str_t){fill, bytes});
	free(fill);
}

static group_t *join_learner(group_t *leader, unsigned i)
{
	group_peer_t peer = {0};
	group_status_t s;

	inproc_start(0, i, 0, 1ull << 40);
	group_get_status(inproc_replicas[0][i].g, &s);
	peer.id = s.self;
	snprintf(peer.addr, sizeof(peer.addr), "%s", inproc_seeds[i]);
	if (group_add_learner(leader, &peer, clock_now_ms() + INPROC_WAIT_MS) != STATUS_OK)
		exit(1);
	return inproc_replicas[0][i].g;
}

/* Adds an empty replica as a learner; returns the time in us until the learner has applied all
 * committed entries. */
static int64_t measure_catch_up(group_t *leader, group_status_t *out)
{
	int64_t start_us = clock_now_us();
	group_t *learner = join_learner(leader, 1);
	group_status_t s;

	do {
		clock_sleep_ms(1);
		group_get_status(learner, &s);
		group_get_status(leader, out);
	} while (s.applied < out->commit);
	return clock_now_us() - start_us;
}

/* Restart of a replica whose snapshot has `bytes`, and catch-up of an empty one by that snapshot.
 */
static void measure_state(size_t bytes)
{
	int64_t open_us;
	int64_t lead_us;
	int64_t catch_us;
	group_status_t ls;
	group_t *g;

	inproc_start(0, 0, 1, 20);
	g = inproc_wait_leader(0);
	group_with_state(g, fill_state, &bytes);
	wait_snapshot(g, 0);
	group_get_status(g, &ls);
	wait_snapshot(g, ls.snapshot_index);
	inproc_stop(0, 0);
	open_us = clock_now_us();
	inproc_start(0, 0, 1, 1ull << 40);
	lead_us = clock_now_us();
	open_us = lead_us - open_us;
	g = inproc_wait_leader(0);
	lead_us = clock_now_us() - lead_us;
	propose_commands(g, 10);
	catch_us = measure_catch_up(g, &ls);
	printf("measure=state bytes=%zu open_ms=%.1f election_ms=%.1f catch_up_ms=%.1f "
	       "snapshot_index=%lu\n",
	       bytes, (double)open_us / 1000, (double)lead_us / 1000, (double)catch_us / 1000,
	       (unsigned long)ls.snapshot_index);
	fflush(stdout);
	inproc_clear();
}

/* Commit times of three replicas while they write snapshots of `bytes` every 2000 entries. */
static void measure_snapshots(size_t bytes)
{
	static unsigned run;
	proposer_t p[8];
	pthread_t t[8];
	char label[32];
	group_status_t s;
	group_t *g;
	metric_t *us;

	snprintf(label, sizeof(label), "run=\"%u\"", run++);
	us = metric_get(METRIC_HISTOGRAM, "snapshot_commit_us", label);
	for (unsigned i = 0; i < 3; i++)
		inproc_start(0, i, 3, 2000);
	g = inproc_wait_leader(0);
	for (unsigned i = 0; i < 3; i++)
		group_with_state(inproc_replicas[0][i].g, fill_state, &bytes);
	for (unsigned i = 0; i < 8; i++) {
		p[i] = (proposer_t){g, 256, clock_now_ms() + SNAPSHOT_LOAD_MS, us, 0, 0};
		pthread_create(&t[i], NULL, proposer_thread, &p[i]);
	}
	for (unsigned i = 0; i < 8; i++)
		pthread_join(t[i], NULL);
	group_get_status(g, &s);
	printf("measure=snapshots replicas=3 proposers=8 bytes=256 state_bytes=%zu "
	       "commits_per_s=%lu "
	       "p50_us=%ld p99_us=%ld p999_us=%ld max_us=%ld leads=%d\n",
	       bytes, (unsigned long)(s.commands * 1000 / SNAPSHOT_LOAD_MS),
	       (long)metric_quantile(us, 0.5), (long)metric_quantile(us, 0.99),
	       (long)metric_quantile(us, 0.999), (long)metric_quantile(us, 1.0), s.leader);
	fflush(stdout);
	inproc_clear();
}

/* Catch-up of an empty replica by log entries only, and start of a replica that reads them. */
static void measure_entries(unsigned entries)
{
	int64_t open_us;
	int64_t catch_us;
	proposer_t p[64];
	pthread_t t[64];
	metric_t *us = metric_get(METRIC_HISTOGRAM, "fill_us", NULL);
	group_status_t s = {0};
	group_status_t ls;
	group_t *g;

	inproc_start(0, 0, 1, 1ull << 40);
	g = inproc_wait_leader(0);
	while (s.applied < entries) {
		for (unsigned i = 0; i < 64; i++) {
			p[i] = (proposer_t){g, 128, clock_now_ms() + 50, us, 0, 0};
			pthread_create(&t[i], NULL, proposer_thread, &p[i]);
		}
		for (unsigned i = 0; i < 64; i++)
			pthread_join(t[i], NULL);
		group_get_status(g, &s);
	}
	catch_us = measure_catch_up(g, &ls);
	inproc_stop(0, 0);
	open_us = clock_now_us();
	inproc_start(0, 0, 1, 1ull << 40);
	open_us = clock_now_us() - open_us;
	printf("measure=entries entries=%lu bytes=128 catch_up_ms=%.1f open_ms=%.1f\n",
	       (unsigned long)ls.commit, (double)catch_us / 1000, (double)open_us / 1000);
	fflush(stdout);
	inproc_clear();
}

static int compare_ms(const void *a, const void *b)
{
	return (int)(*(const int64_t *)a - *(const int64_t *)b);
}

/* Time until another leader commits a command, after the leader is isolated or, if planned,
 * transfers leadership. */
static void measure_failover(bool planned)
{
	int64_t ms[FAILOVER_RUNS];

	for (unsigned i = 0; i < 3; i++)
		inproc_start(0, i, 3, 1ull << 40);
	for (unsigned i = 0; i < FAILOVER_RUNS; i++) {
		group_t *old = inproc_wait_leader(0);
		int64_t start_ms = clock_now_ms();

		if (planned)
			group_step_down(old, clock_now_ms() + INPROC_WAIT_MS);
		else
			inproc_isolate(old, true);
		while (group_propose(inproc_wait_other_leader(0, old), STR("x"),
				     clock_now_ms() + INPROC_WAIT_MS, NULL) != STATUS_OK)
			;
		ms[i] = clock_now_ms() - start_ms;
		inproc_isolate(old, false);
		clock_sleep_ms(INPROC_ELECTION_MS);
	}
	qsort(ms, FAILOVER_RUNS, sizeof(ms[0]), compare_ms);
	printf("measure=failover how=%s election_ms=%d runs=%d p50_ms=%ld max_ms=%ld\n",
	       planned ? "handover" : "cut", INPROC_ELECTION_MS, FAILOVER_RUNS,
	       (long)ms[FAILOVER_RUNS / 2], (long)ms[FAILOVER_RUNS - 1]);
	fflush(stdout);
	inproc_clear();
}

static void measure_loads(unsigned ms)
{
	static const unsigned replicas[] = {1, 3, 5};
	static const unsigned proposers[] = {1, 8, 64, 256};
	static const unsigned bytes[] = {128, 1024, 8192, 65536};
	static const unsigned groups[] = {1, 2, 4, 8};

	for (unsigned r = 0; r < 3; r++) {
		for (unsigned p = 0; p < 4; p++)
			measure_load(&(load_t){replicas[r], 1, proposers[p], 256, ms});
	}
	for (unsigned b = 0; b < 4; b++)
		measure_load(&(load_t){3, 1, 64, bytes[b], ms});
	for (unsigned g = 0; g < 4; g++)
		measure_load(&(load_t){3, groups[g], 128, 256, ms});
}

int main(int argc, char **argv)
{
	struct arg_int *ms =
		arg_int0(NULL, "ms", "MS", "duration of each load in ms, default 1500");
	struct arg_lit *state =
		arg_lit0(NULL, "state-only", "no loads: measure start, catch-up and failover only");
	struct arg_end *end = arg_end(5);
	void *table[] = {ms, state, end};
	const char *tmp = getenv("TMPDIR");

	ms->ival[0] = 1500;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	snprintf(inproc_root, sizeof(inproc_root), "%s/auburn-log-XXXXXX", tmp ? tmp : "/tmp");
	if (!mkdtemp(inproc_root))
		return 1;
	for (unsigned g = 0; g < INPROC_GROUPS_MAX; g++) {
		for (unsigned i = 0; i < INPROC_REPLICAS_MAX; i++)
			pthread_rwlock_init(&inproc_replicas[g][i].lock, NULL);
	}
	if (!state->count)
		measure_loads((unsigned)ms->ival[0]);
	for (size_t mb = 1; mb <= 256; mb *= 4)
		measure_state(mb << 20);
	for (size_t mb = 1; mb <= 64; mb *= 8)
		measure_snapshots(mb << 20);
	measure_entries(10000);
	measure_entries(100000);
	measure_failover(false);
	measure_failover(true);
	inproc_clear();
	rmdir(inproc_root);
	return 0;
}
