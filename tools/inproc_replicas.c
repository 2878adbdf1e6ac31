/* The replicas that auburn-log-bench measures. */
#include "inproc_replicas.h"

#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

inproc_replica_t inproc_replicas[GROUPS_MAX][REPLICAS_MAX];
char inproc_root[64];
const char *const inproc_seeds[REPLICAS_MAX] = {"127.0.20.1:1", "127.0.20.2:1", "127.0.20.3:1",
						"127.0.20.4:1", "127.0.20.5:1"};

static void on_apply(void *ctx, uint64_t index, str_t cmd, buf_t *result)
{
	inproc_replica_t *n = ctx;

	__atomic_store_n(&n->applied, index, __ATOMIC_RELEASE);
}

static void on_snapshot(void *ctx, buf_t *out)
{
	inproc_replica_t *n = ctx;

	buf_add(out, str_buf(&n->state));
}

static status_t on_restore(void *ctx, str_t snap)
{
	inproc_replica_t *n = ctx;

	n->state.n = 0;
	buf_add(&n->state, snap);
	return STATUS_OK;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	const inproc_replica_t *from = ctx;

	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		inproc_replica_t *n = &inproc_replicas[group][i];

		if (from->isolated || n->isolated || strcmp(inproc_seeds[i], addr) != 0)
			continue;
		pthread_rwlock_rdlock(&n->lock);
		if (n->g)
			group_receive(n->g, msg);
		pthread_rwlock_unlock(&n->lock);
	}
}

void inproc_start(unsigned group, unsigned i, unsigned nseeds, uint64_t snapshot_entries)
{
	inproc_replica_t *n = &inproc_replicas[group][i];
	char dir[128];
	group_t *g = NULL;
	group_options_t o = {.group = group,
			     .dir = dir,
			     .addr = inproc_seeds[i],
			     .zone = "z",
			     .seeds = inproc_seeds,
			     .nseeds = nseeds,
			     .bootstrap = nseeds > 0,
			     .tick_ms = TICK_MS,
			     .election_ms = ELECTION_MS,
			     .snapshot_entries = snapshot_entries,
			     .snapshot_bytes = 1ull << 40,
			     .ctx = n,
			     .apply = on_apply,
			     .snapshot = on_snapshot,
			     .restore = on_restore,
			     .send = on_send};

	snprintf(dir, sizeof(dir), "%s/%u-%u", inproc_root, group, i);
	n->group = group;
	n->applied = 0;
	if (group_open(&o, &g) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		exit(1);
	}
	pthread_rwlock_wrlock(&n->lock);
	n->g = g;
	pthread_rwlock_unlock(&n->lock);
}

void inproc_stop(unsigned group, unsigned i)
{
	inproc_replica_t *n = &inproc_replicas[group][i];
	group_t *g = n->g;

	if (!g)
		return;
	pthread_rwlock_wrlock(&n->lock);
	n->g = NULL;
	pthread_rwlock_unlock(&n->lock);
	group_close(g);
	buf_free(&n->state);
}

static int remove_one(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

void inproc_clear(void)
{
	for (unsigned g = 0; g < GROUPS_MAX; g++) {
		for (unsigned i = 0; i < REPLICAS_MAX; i++)
			inproc_stop(g, i);
	}
	nftw(inproc_root, remove_one, 16, FTW_DEPTH | FTW_PHYS);
	if (mkdir(inproc_root, 0700) != 0)
		exit(1);
}

group_t *inproc_wait_other_leader(unsigned group, const group_t *except)
{
	deadline_t d = clock_now_ms() + WAIT_MS;

	while (clock_left_ms(d) > 0) {
		for (unsigned i = 0; i < REPLICAS_MAX; i++) {
			group_status_t s;

			if (!inproc_replicas[group][i].g || inproc_replicas[group][i].g == except)
				continue;
			group_get_status(inproc_replicas[group][i].g, &s);
			if (s.leader &&
			    group_read_barrier(inproc_replicas[group][i].g, d) == STATUS_OK)
				return inproc_replicas[group][i].g;
		}
		clock_sleep_ms(1);
	}
	fprintf(stderr, "no leader\n");
	exit(1);
}

group_t *inproc_wait_leader(unsigned group)
{
	return inproc_wait_other_leader(group, NULL);
}

void inproc_isolate(const group_t *g, bool cut)
{
	for (unsigned i = 0; i < REPLICAS_MAX; i++) {
		if (inproc_replicas[0][i].g == g)
			inproc_replicas[0][i].isolated = cut;
	}
}
