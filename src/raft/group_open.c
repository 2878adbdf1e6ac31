/* Opening and closing a group. */
#include "raft/group_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "base/log.h"

#define HEARTBEATS_PER_ELECTION_TIMEOUT 4

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

/* Sets the initial members, sorted by id, so that every seed encodes the same bytes whatever the
 * order of its list. */
static void bootstrap_members(const group_options_t *o, raft_members_t *members)
{
	*members = (raft_members_t){.n = o->nseeds};
	for (unsigned i = 0; i < o->nseeds; i++) {
		group_peer_t *p = &members->peers[i];

		p->id = group_seed_id(o->group, o->seeds[i]);
		p->voter = true;
		snprintf(p->addr, sizeof(p->addr), "%s", o->seeds[i]);
	}
	qsort(members->peers, members->n, sizeof(members->peers[0]), compare_ids);
}

static status_t check_options(const group_options_t *o)
{
	bool is_seed = false;

	if (o->tick_ms == 0 || o->election_ms < o->tick_ms * 2)
		return status_fail(STATUS_INVALID, "election timeout must be at least two ticks");
	if (!o->bootstrap)
		return STATUS_OK;
	if (o->nseeds == 0 || o->nseeds > GROUP_PEERS_MAX)
		return status_fail(STATUS_INVALID, "number of seeds must be 1 to %d",
				   GROUP_PEERS_MAX);
	for (unsigned i = 0; i < o->nseeds; i++)
		is_seed |= strcmp(o->seeds[i], o->addr) == 0;
	return is_seed ? STATUS_OK
		       : status_fail(STATUS_INVALID, "own address %s is not among the seeds",
				     o->addr);
}

static status_t open_store(group_t *g, store_contents_t *contents)
{
	raft_members_t members;
	store_options_t so = {.dir = g->options.dir, .new_id = random_id()};

	if (g->options.bootstrap) {
		bootstrap_members(&g->options, &members);
		so.first_members = &members;
		so.new_id = group_seed_id(g->options.group, g->options.addr);
	}
	return store_open(&so, &g->store, contents);
}

static void open_raft(group_t *g, const store_contents_t *contents)
{
	unsigned ticks = g->options.election_ms / g->options.tick_ms;
	unsigned heartbeat = ticks / HEARTBEATS_PER_ELECTION_TIMEOUT;
	raft_options_t ro = {.self = contents->id,
			     .election_ticks = ticks,
			     .heartbeat_ticks = heartbeat ? heartbeat : 1,
			     .random_seed = random_id(),
			     .term = contents->term,
			     .vote = contents->vote,
			     .base = contents->snap_index,
			     .base_term = contents->snap_term,
			     .base_members = contents->snap_members,
			     .entries = contents->entries,
			     .nentries = contents->nentries};

	group_raft_callbacks(g, &ro.cb);
	g->raft = raft_new(&ro);
	g->snap_index = contents->snap_index;
	g->status.self = contents->id;
	g->status.term = contents->term;
}

static void init_locks(group_t *g)
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
		group_input_finish(g, it, status_fail(STATUS_NOT_LEADER, "group was closed"));
	pthread_mutex_lock(&g->lock);
	while (g->callers > 0)
		pthread_cond_wait(&g->idle, &g->lock);
	pthread_mutex_unlock(&g->lock);
	raft_free(g->raft);
	store_close(g->store);
	buf_free(&g->snap_state);
	buf_free(&g->snap_members);
	buf_free(&g->encoded_msg);
	buf_free(&g->cmd_result);
	free(g->addr);
	free(g);
}

static void log_opened(const group_t *g, const store_contents_t *contents)
{
	char id[32];

	snprintf(id, sizeof(id), "%016lx", (unsigned long)contents->id);
	log_event(LOG_LEVEL_INFO, "group_opened", LOG_INT("group", g->options.group),
		  LOG_CSTR("replica", id), LOG_INT("new", contents->created),
		  LOG_INT("term", contents->term), LOG_INT("snapshot", contents->snap_index),
		  LOG_INT("entries", contents->nentries));
	if (contents->cut_bytes)
		log_event(LOG_LEVEL_WARN, "torn_tail_cut", LOG_INT("group", g->options.group),
			  LOG_INT("bytes", contents->cut_bytes));
	if (contents->snap_broken)
		log_event(LOG_LEVEL_WARN, "broken_snapshot_passed_over",
			  LOG_INT("group", g->options.group));
}

status_t group_open(const group_options_t *o, group_t **out)
{
	group_t *g = mem_new(sizeof(*g));
	store_contents_t contents = {0};
	status_t st = sodium_init() < 0 ? status_fail(STATUS_IO, "libsodium failed to initialize")
					: check_options(o);
	int err;

	g->options = *o;
	g->addr = str_dup(str_c(o->addr));
	init_locks(g);
	if (st == STATUS_OK)
		st = open_store(g, &contents);
	if (st == STATUS_OK && contents.snap_index)
		st = o->restore(o->ctx, str_buf(&contents.snap));
	if (st != STATUS_OK) {
		store_contents_free(&contents);
		free_group(g);
		return st;
	}
	log_opened(g, &contents);
	open_raft(g, &contents);
	store_contents_free(&contents);
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
