/* Opening and closing a group. */
#include "raft/group_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "base/log.h"

#define TICKS_PER_HEARTBEAT_DIV 4 /* heartbeats in an election timeout */

bool group_exists(const char *dir)
{
	return store_exists(dir);
}

static uint64_t random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		randombytes_buf(&id, sizeof(id));
	return id;
}

uint64_t group_seed_id(unsigned group, const char *addr)
{
	AUTO_BUF b = {0};
	uint64_t id;

	buf_addf(&b, "%s first voter of group %u", addr, group);
	id = str_hash(str_buf(&b));
	return id ? id : 1;
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = ((const group_peer_t *)a)->id;
	uint64_t y = ((const group_peer_t *)b)->id;

	return x < y ? -1 : x > y;
}

/* The first members are the same bytes at each seed, whatever the order of its list. */
static void first_conf(const group_options_t *o, raft_members_t *conf)
{
	*conf = (raft_members_t){.n = o->nseeds};
	for (unsigned i = 0; i < o->nseeds; i++) {
		group_peer_t *p = &conf->peers[i];

		p->id = group_seed_id(o->group, o->seeds[i]);
		p->voter = true;
		snprintf(p->addr, sizeof(p->addr), "%s", o->seeds[i]);
	}
	qsort(conf->peers, conf->n, sizeof(conf->peers[0]), compare_ids);
}

static status_t check_options(const group_options_t *o)
{
	bool listed = false;

	if (o->tick_ms == 0 || o->election_ms < o->tick_ms * 2)
		return status_fail(STATUS_INVALID, "an election timeout is at least two ticks");
	if (!o->bootstrap)
		return STATUS_OK;
	if (o->nseeds == 0 || o->nseeds > GROUP_PEERS_MAX)
		return status_fail(STATUS_INVALID, "between 1 and %d seeds", GROUP_PEERS_MAX);
	for (unsigned i = 0; i < o->nseeds; i++)
		listed |= strcmp(o->seeds[i], o->addr) == 0;
	return listed ? STATUS_OK
		      : status_fail(STATUS_INVALID, "%s isn't among the seeds", o->addr);
}

static status_t open_store(group_t *g, store_contents_t *state)
{
	raft_members_t conf;
	store_options_t ro = {.dir = g->o.dir, .new_id = random_id()};

	if (g->o.bootstrap) {
		first_conf(&g->o, &conf);
		ro.first_members = &conf;
		ro.new_id = group_seed_id(g->o.group, g->o.addr);
	}
	return store_open(&ro, &g->rs, state);
}

static void open_core(group_t *g, const store_contents_t *state)
{
	unsigned ticks = g->o.election_ms / g->o.tick_ms;
	unsigned heartbeat = ticks / TICKS_PER_HEARTBEAT_DIV;
	raft_options_t ro = {.self = state->id,
			     .election_ticks = ticks,
			     .heartbeat_ticks = heartbeat ? heartbeat : 1,
			     .random_seed = random_id(),
			     .term = state->term,
			     .vote = state->vote,
			     .base = state->snap_index,
			     .base_term = state->snap_term,
			     .base_members = state->snap_members,
			     .entries = state->entries,
			     .nentries = state->nentries};

	group_raft_callbacks(g, &ro.cb);
	g->rf = raft_new(&ro);
	g->snap_index = state->snap_index;
	g->status.self = state->id;
	g->status.term = state->term;
}

static void init_sync(group_t *g)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&g->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&g->wake, &attr);
	pthread_cond_init(&g->disk_wake, &attr);
	pthread_cond_init(&g->idle, &attr);
	pthread_condattr_destroy(&attr);
}

static void free_group(group_t *g)
{
	group_input_t *it;

	while ((it = group_queue_pop(&g->inbox)))
		group_input_finish(g, it, status_fail(STATUS_NOT_LEADER, "the group was closed"));
	pthread_mutex_lock(&g->lock);
	while (g->callers > 0)
		pthread_cond_wait(&g->idle, &g->lock);
	pthread_mutex_unlock(&g->lock);
	raft_free(g->rf);
	store_close(g->rs);
	buf_free(&g->snap_state);
	buf_free(&g->snap_conf);
	buf_free(&g->encoded);
	buf_free(&g->scratch);
	free(g->addr);
	free(g);
}

static void log_opened(const group_t *g, const store_contents_t *state)
{
	char id[32];

	snprintf(id, sizeof(id), "%016lx", (unsigned long)state->id);
	log_event(LOG_LEVEL_INFO, "group_opened", LOG_INT("group", g->o.group),
		  LOG_CSTR("replica", id), LOG_INT("new", state->created),
		  LOG_INT("term", state->term), LOG_INT("snapshot", state->snap_index),
		  LOG_INT("entries", state->nentries));
	if (state->cut_bytes)
		log_event(LOG_LEVEL_WARN, "torn_tail_cut", LOG_INT("group", g->o.group),
			  LOG_INT("bytes", state->cut_bytes));
	if (state->snap_broken)
		log_event(LOG_LEVEL_WARN, "broken_snapshot_passed_over",
			  LOG_INT("group", g->o.group));
}

status_t group_open(const group_options_t *o, group_t **out)
{
	group_t *g = mem_new(sizeof(*g));
	store_contents_t state = {0};
	status_t st =
		sodium_init() < 0 ? status_fail(STATUS_IO, "no random numbers") : check_options(o);
	int err;

	g->o = *o;
	g->addr = str_dup(str_c(o->addr));
	init_sync(g);
	if (st == STATUS_OK)
		st = open_store(g, &state);
	if (st == STATUS_OK && state.snap_index)
		st = o->restore(o->ctx, str_buf(&state.snap));
	if (st != STATUS_OK) {
		store_contents_free(&state);
		free_group(g);
		return st;
	}
	log_opened(g, &state);
	open_core(g, &state);
	store_contents_free(&state);
	err = pthread_create(&g->disk_thread, NULL, group_disk_thread_main, g);
	assert(err == 0);
	err = pthread_create(&g->thread, NULL, group_thread_main, g);
	assert(err == 0);
	*out = g;
	return STATUS_OK;
}

void group_close(group_t *g)
{
	if (!g)
		return;
	pthread_mutex_lock(&g->lock);
	g->stop = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
	pthread_join(g->thread, NULL);
	group_snapshot_join(g);
	pthread_mutex_lock(&g->lock);
	g->disk_stop = true;
	pthread_cond_signal(&g->disk_wake);
	pthread_mutex_unlock(&g->lock);
	pthread_join(g->disk_thread, NULL);
	free_group(g);
}
