/* Opening and closing a group. */
#include "raft/gr_int.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "base/lg.h"

#define TICKS_PER_HEARTBEAT_DIV 4 /* heartbeats in an election timeout */

bool gr_exists(const char *dir)
{
	return rs_exists(dir);
}

static uint64_t random_id(void)
{
	uint64_t id = 0;

	while (id == 0)
		randombytes_buf(&id, sizeof(id));
	return id;
}

uint64_t gr_seed_id(unsigned group, const char *addr)
{
	AUTO_BUF b = {0};
	uint64_t id;

	buf_addf(&b, "%s first voter of group %u", addr, group);
	id = str_hash(str_buf(&b));
	return id ? id : 1;
}

static int compare_ids(const void *a, const void *b)
{
	uint64_t x = ((const gr_peer_t *)a)->id;
	uint64_t y = ((const gr_peer_t *)b)->id;

	return x < y ? -1 : x > y;
}

/* The first members are the same bytes at each seed, whatever the order of its list. */
static void first_conf(const gr_options_t *o, rf_conf_t *conf)
{
	*conf = (rf_conf_t){.n = o->nseeds};
	for (unsigned i = 0; i < o->nseeds; i++) {
		gr_peer_t *p = &conf->peers[i];

		p->id = gr_seed_id(o->group, o->seeds[i]);
		p->voter = true;
		snprintf(p->addr, sizeof(p->addr), "%s", o->seeds[i]);
	}
	qsort(conf->peers, conf->n, sizeof(conf->peers[0]), compare_ids);
}

static status_t check_options(const gr_options_t *o)
{
	bool listed = false;

	if (o->tick_ms == 0 || o->election_ms < o->tick_ms * 2)
		return st_fail(ST_INVALID, "an election timeout is at least two ticks");
	if (!o->bootstrap)
		return ST_OK;
	if (o->nseeds == 0 || o->nseeds > GR_PEERS_MAX)
		return st_fail(ST_INVALID, "between 1 and %d seeds", GR_PEERS_MAX);
	for (unsigned i = 0; i < o->nseeds; i++)
		listed |= strcmp(o->seeds[i], o->addr) == 0;
	return listed ? ST_OK : st_fail(ST_INVALID, "%s isn't among the seeds", o->addr);
}

static status_t open_store(gr_t *g, rs_state_t *state)
{
	rf_conf_t conf;
	rs_options_t ro = {.dir = g->o.dir, .new_id = random_id()};

	if (g->o.bootstrap) {
		first_conf(&g->o, &conf);
		ro.first_conf = &conf;
		ro.new_id = gr_seed_id(g->o.group, g->o.addr);
	}
	return rs_open(&ro, &g->rs, state);
}

static void open_core(gr_t *g, const rs_state_t *state)
{
	unsigned ticks = g->o.election_ms / g->o.tick_ms;
	unsigned heartbeat = ticks / TICKS_PER_HEARTBEAT_DIV;
	rf_options_t ro = {.self = state->id,
			   .election_ticks = ticks,
			   .heartbeat_ticks = heartbeat ? heartbeat : 1,
			   .random_seed = random_id(),
			   .term = state->term,
			   .vote = state->vote,
			   .base = state->snap_index,
			   .base_term = state->snap_term,
			   .base_conf = state->snap_conf,
			   .entries = state->entries,
			   .nentries = state->nentries};

	gr_core_callbacks(g, &ro.cb);
	g->rf = rf_new(&ro);
	g->snap_index = state->snap_index;
	g->status.self = state->id;
	g->status.term = state->term;
}

static void init_sync(gr_t *g)
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

static void free_group(gr_t *g)
{
	gr_item_t *it;

	while ((it = gr_list_take(&g->inbox)))
		gr_item_finish(g, it, st_fail(ST_NOT_LEADER, "the group was closed"));
	pthread_mutex_lock(&g->lock);
	while (g->callers > 0)
		pthread_cond_wait(&g->idle, &g->lock);
	pthread_mutex_unlock(&g->lock);
	rf_free(g->rf);
	rs_close(g->rs);
	buf_free(&g->snap_state);
	buf_free(&g->snap_conf);
	buf_free(&g->encoded);
	buf_free(&g->scratch);
	free(g->addr);
	free(g);
}

static void log_opened(const gr_t *g, const rs_state_t *state)
{
	char id[32];

	snprintf(id, sizeof(id), "%016lx", (unsigned long)state->id);
	lg(LG_INFO, "group_opened", LG_I("group", g->o.group), LG_C("replica", id),
	   LG_I("new", state->fresh), LG_I("term", state->term),
	   LG_I("snapshot", state->snap_index), LG_I("entries", state->nentries));
	if (state->cut_bytes)
		lg(LG_WARN, "torn_tail_cut", LG_I("group", g->o.group),
		   LG_I("bytes", state->cut_bytes));
	if (state->snap_broken)
		lg(LG_WARN, "broken_snapshot_passed_over", LG_I("group", g->o.group));
}

status_t gr_open(const gr_options_t *o, gr_t **out)
{
	gr_t *g = mem_new(sizeof(*g));
	rs_state_t state = {0};
	status_t st = sodium_init() < 0 ? st_fail(ST_IO, "no random numbers") : check_options(o);
	int err;

	g->o = *o;
	g->addr = str_dup(str_c(o->addr));
	init_sync(g);
	if (st == ST_OK)
		st = open_store(g, &state);
	if (st == ST_OK && state.snap_index)
		st = o->restore(o->ctx, str_buf(&state.snap));
	if (st != ST_OK) {
		rs_state_free(&state);
		free_group(g);
		return st;
	}
	log_opened(g, &state);
	open_core(g, &state);
	rs_state_free(&state);
	err = pthread_create(&g->disk_thread, NULL, gr_disk_loop, g);
	assert(err == 0);
	err = pthread_create(&g->thread, NULL, gr_loop, g);
	assert(err == 0);
	*out = g;
	return ST_OK;
}

void gr_close(gr_t *g)
{
	if (!g)
		return;
	pthread_mutex_lock(&g->lock);
	g->stop = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
	pthread_join(g->thread, NULL);
	gr_snap_join(g);
	pthread_mutex_lock(&g->lock);
	g->disk_stop = true;
	pthread_cond_signal(&g->disk_wake);
	pthread_mutex_unlock(&g->lock);
	pthread_join(g->disk_thread, NULL);
	free_group(g);
}
