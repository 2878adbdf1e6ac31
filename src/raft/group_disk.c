/* Threads that block on the disk: one syncs the log, a short-lived one writes a snapshot. */
#include "raft/group_internal.h"

#include <assert.h>
#include "base/log.h"

void group_disk_set_failed(group_t *g)
{
	log_event(LOG_LEVEL_ERROR, "disk_failed", LOG_INT("group", g->options.group),
		  LOG_CSTR("what", status_message()));
	pthread_mutex_lock(&g->lock);
	g->disk_failed = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
}

void group_disk_wake(group_t *g)
{
	pthread_mutex_lock(&g->lock);
	pthread_cond_signal(&g->disk_wake);
	pthread_mutex_unlock(&g->lock);
}

/* Waits until records are queued. Returns false if the group is closing and none are left. */
static bool wait_for_records(group_t *g)
{
	bool has;

	if (!store_has_queued(g->store))
		store_write_sync_mark(g->store);
	pthread_mutex_lock(&g->lock);
	while (!(has = store_has_queued(g->store)) && !g->disk_stop)
		pthread_cond_wait(&g->disk_wake, &g->lock);
	pthread_mutex_unlock(&g->lock);
	return has;
}

void *group_disk_thread_main(void *arg)
{
	group_t *g = arg;

	while (wait_for_records(g)) {
		uint64_t seq = 0;

		if (store_sync(g->store, &seq) != STATUS_OK) {
			group_disk_set_failed(g);
			return NULL;
		}
		pthread_mutex_lock(&g->lock);
		g->synced_seq = seq;
		pthread_cond_signal(&g->wake);
		pthread_mutex_unlock(&g->lock);
	}
	return NULL;
}

static void *snapshot_thread_main(void *arg)
{
	group_t *g = arg;
	status_t st = store_save_snapshot(g->store, g->snap_index, g->snap_term,
					  str_buf(&g->snap_members), str_buf(&g->snap_state));

	if (st != STATUS_OK)
		group_disk_set_failed(g);
	pthread_mutex_lock(&g->lock);
	g->snap_ended = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
	return NULL;
}

/* Serializes the state as of the last applied entry and starts the thread that writes it. */
void group_snapshot_begin(group_t *g)
{
	raft_members_t members;

	assert(!g->snap_running);
	g->snap_index = raft_applied_index(g->raft);
	g->snap_term = raft_term_at(g->raft, g->snap_index);
	raft_members_at(g->raft, g->snap_index, &members);
	g->snap_members.n = 0;
	raft_members_encode(&members, &g->snap_members);
	g->snap_state.n = 0;
	g->options.snapshot(g->options.ctx, &g->snap_state);
	g->applied_bytes = 0;
	g->snap_running = true;
	if (pthread_create(&g->snap_thread, NULL, snapshot_thread_main, g) != 0)
		g->snap_running = false;
}

/* Joins the snapshot thread, which has ended, and drops the entries that the older of the two
 * snapshots covers from the log in memory. */
void group_snapshot_end(group_t *g)
{
	group_snapshot_join(g);
	raft_compact(g->raft, store_oldest_snapshot(g->store));
}

void group_snapshot_join(group_t *g)
{
	if (!g->snap_running)
		return;
	pthread_join(g->snap_thread, NULL);
	g->snap_running = false;
	buf_free(&g->snap_state);
	pthread_mutex_lock(&g->lock);
	g->snap_ended = false;
	pthread_mutex_unlock(&g->lock);
}
