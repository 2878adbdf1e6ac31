/* Raft replicas in one process, for auburn-log-bench. */
#include "inproc_replicas.h"

#include <ftw.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

inproc_replica_t inproc_replicas[INPROC_GROUPS_MAX][INPROC_REPLICAS_MAX];
char inproc_root[64];
const char *const inproc_seeds[INPROC_REPLICAS_MAX] = {
	"127.0.20.1:1", "127.0.20.2:1", "127.0.20.3:1", "127.0.20.4:1", "127.0.20.5:1"};

static void on_apply(void *ctx, uint64_t index, str_t cmd, buf_t *result)
{
	inproc_replica_t *r = ctx;

	__atomic_store_n(&r->applied, index, __ATOMIC_RELEASE);
}

static void on_snapshot(void *ctx, buf_t *out)
{
	inproc_replica_t *r = ctx;

	buf_add(out, str_buf(&r->state));
}

static status_t on_restore(void *ctx, str_t snap)
{
	inproc_replica_t *r = ctx;

	r->state.n = 0;
	buf_add(&r->state, snap);
	return STATUS_OK;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	const inproc_replica_t *from = ctx;

	for (unsigned i = 0; i < INPROC_REPLICAS_MAX; i++) {
		inproc_replica_t *r = &inproc_replicas[group][i];

		if (from->isolated || r->isolated || strcmp(inproc_seeds[i], addr) != 0)
			continue;
		pthread_rwlock_rdlock(&r->lock);
		if (r->g)
			group_receive(r->g, msg);
		pthread_rwlock_unlock(&r->lock);
	}
}

void inproc_start(unsigned group, unsigned i, unsigned nseeds, uint64_t snapshot_entries)
{
	inproc_replica_t *r = &inproc_replicas[group][i];
	char dir[128];
	group_t *g = NULL;
	group_options_t o = {.group = group,
			     .dir = dir,
			     .addr = inproc_seeds[i],
			     .zone = "z",
			     .seeds = inproc_seeds,
			     .nseeds = nseeds,
			     .bootstrap = nseeds > 0,
			     .tick_ms = INPROC_TICK_MS,
			     .election_ms = INPROC_ELECTION_MS,
			     .snapshot_entries = snapshot_entries,
			     .snapshot_bytes = 1ull << 40,
			     .ctx = r,
			     .apply = on_apply,
			     .snapshot = on_snapshot,
			     .restore = on_restore,
			     .send = on_send};

	snprintf(dir, sizeof(dir), "%s/%u-%u", inproc_root, group, i);
	r->group = group;
	r->applied = 0;
	if (group_open(&o, &g) != STATUS_OK) {
		fprintf(stderr, "%s\n", status_message());
		exit(1);
	}
	pthread_rwlock_wrlock(&r->lock);
	r->g = g;
	pthread_rwlock_unlock(&r->lock);
}

void inproc_stop(unsigned group, unsigned i)
{
	inproc_replica_t *r = &inproc_replicas[group][i];
	group_t *g = r->g;

	if (!g)
		return;
	pthread_rwlock_wrlock(&r->lock);
	r->g = NULL;
	pthread_rwlock_unlock(&r->lock);
	group_close(g);
	buf_free(&r->state);
}

static int remove_one(const char *path, const struct stat *sb, int type, struct FTW *f)
{
	return remove(path);
}

void inproc_clear(void)
{
	for (unsigned g = 0; g < INPROC_GROUPS_MAX; g++) {
		for (unsigned i = 0; i < INPROC_REPLICAS_MAX; i++)
			inproc_stop(g, i);
	}
	nftw(inproc_root, remove_one, 16, FTW_DEPTH | FTW_PHYS);
	if (mkdir(inproc_root, 0700) != 0)
		exit(1);
}

group_t *inproc_wait_other_leader(unsigned group, const group_t *except)
{
	deadline_t d = clock_now_ms() + INPROC_WAIT_MS;

	while (clock_left_ms(d) > 0) {
		for (unsigned i = 0; i < INPROC_REPLICAS_MAX; i++) {
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
	fprintf(stderr, "no leader before the deadline\n");
	exit(1);
}

group_t *inproc_wait_leader(unsigned group)
{
	return inproc_wait_other_leader(group, NULL);
}

void inproc_isolate(const group_t *g, bool isolated)
{
	for (unsigned i = 0; i < INPROC_REPLICAS_MAX; i++) {
		if (inproc_replicas[0][i].g == g)
			inproc_replicas[0][i].isolated = isolated;
	}
}
