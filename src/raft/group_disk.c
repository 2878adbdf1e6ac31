/* Threads that block on the disk: one syncs the log, a short-lived one writes a snapshot. */
#include "raft/group_internal.h"

#include <assert.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"

/** Pause before a refused write is tried again, in ms. */
#define RETRY_MS 100
/** Pause after a snapshot that could not be written, in ms. */
#define SNAPSHOT_RETRY_MS 1000
/** Failed tries between two log lines. */
#define TRIES_PER_LOG 50

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

/* Notifies the group's thread of what the disk holds, or that it refuses writes. */
static void report_sync(group_t *g, bool failed, uint64_t seq)
{
	pthread_mutex_lock(&g->lock);
	g->disk_failed = failed;
	if (!failed)
		g->synced_seq = seq;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
}

/* Waits before the next try; false if the group is closing. */
static bool wait_to_retry(group_t *g)
{
	deadline_t next = clock_now_ms() + RETRY_MS;
	bool stop;

	pthread_mutex_lock(&g->lock);
	while (!g->disk_stop && clock_left_ms(next) > 0)
		group_cond_wait(g, &g->disk_wake, clock_left_ms(next));
	stop = g->disk_stop;
	pthread_mutex_unlock(&g->lock);
	return !stop;
}

static void log_space(group_t *g, const char *event, const disk_space_t *d)
{
	log_event(LOG_LEVEL_WARN, event, LOG_INT("group", g->options.group),
		  LOG_INT("free_bytes", (int64_t)d->free),
		  LOG_INT("reserve_bytes", (int64_t)disk_space_reserve(d->state)),
		  LOG_INT("removable_bytes", (int64_t)d->removable));
}

/* Has the group's thread cut the log; with `wait` returns once it has done so or cannot. */
static void request_cut(group_t *g, bool wait)
{
	pthread_mutex_lock(&g->lock);
	g->cut_due = true;
	pthread_cond_signal(&g->wake);
	while (wait && g->cut_due && !g->disk_stop)
		pthread_cond_wait(&g->disk_wake, &g->lock);
	pthread_mutex_unlock(&g->lock);
}

/* Keeps the space that a snapshot needs from being used up by the log. */
static void make_room(group_t *g, bool *is_short)
{
	disk_space_verdict_t verdict;
	disk_space_t d;
	uint64_t applied;

	pthread_mutex_lock(&g->lock);
	applied = g->status.applied;
	pthread_mutex_unlock(&g->lock);
	store_measure_space(g->store, applied, &d);
	verdict = disk_space_decide(&d);
	if (*is_short != (verdict != DISK_SPACE_AMPLE)) {
		*is_short = !*is_short;
		log_space(g, *is_short ? "disk_space_short" : "disk_space_freed", &d);
	}
	store_set_short_segments(g->store, *is_short);
	if (*is_short)
		request_cut(g, verdict == DISK_SPACE_WAIT);
}

/* Writes what the disk has refused until it takes it. Returns false if the group is closing. */
static bool retry_until_synced(group_t *g, uint64_t *seq, bool *is_short)
{
	deadline_t since = clock_now_ms();
	unsigned tries = 0;

	METRIC_INC("auburn_disk_failures_total");
	do {
		if (tries++ % TRIES_PER_LOG == 0)
			log_event(LOG_LEVEL_ERROR, "disk_failed",
				  LOG_INT("group", g->options.group),
				  LOG_CSTR("what", status_message()), LOG_INT("tries", tries),
				  LOG_INT("ms", clock_now_ms() - since));
		report_sync(g, true, 0);
		if (!wait_to_retry(g))
			return false;
		make_room(g, is_short);
	} while (store_sync(g->store, seq) != STATUS_OK);
	log_event(LOG_LEVEL_WARN, "disk_back", LOG_INT("group", g->options.group),
		  LOG_INT("tries", tries), LOG_INT("ms", clock_now_ms() - since));
	return true;
}

void *group_disk_thread_main(void *arg)
{
	group_t *g = arg;
	bool is_short = false;

	while (wait_for_records(g)) {
		uint64_t seq = 0;

		make_room(g, &is_short);
		if (store_sync(g->store, &seq) != STATUS_OK &&
		    !retry_until_synced(g, &seq, &is_short))
			break;
		report_sync(g, false, seq);
	}
	return NULL;
}

static void log_snapshot_failed(const group_t *g, const char *what)
{
	log_event(LOG_LEVEL_ERROR, "snapshot_failed", LOG_INT("group", g->options.group),
		  LOG_INT("index", g->snap_index), LOG_CSTR("what", what));
}

static void *snapshot_thread_main(void *arg)
{
	group_t *g = arg;
	status_t st;

	if (g->snap_cuts)
		store_cut_log(g->store);
	st = store_save_snapshot(g->store, g->snap_index, g->snap_term, str_buf(&g->snap_members),
				 str_buf(&g->snap_state));
	if (st == STATUS_OK && g->snap_cuts)
		store_cut_log(g->store);
	if (st != STATUS_OK)
		log_snapshot_failed(g, status_message());
	pthread_mutex_lock(&g->lock);
	g->snap_failed = st != STATUS_OK;
	g->snap_ended = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
	return NULL;
}

/* Makes a snapshot that failed due again after a pause. */
static void postpone_snapshot(group_t *g)
{
	g->snap_index = store_newest_snapshot(g->store);
	g->applied_bytes += g->snap_bytes;
	g->next_snap = clock_now_ms() + SNAPSHOT_RETRY_MS;
}

/* Serializes the state as of the last applied entry and starts the thread that writes it. */
void group_snapshot_begin(group_t *g, bool cut)
{
	raft_members_t members;
	int err;

	assert(!g->snap_running);
	g->snap_index = raft_applied_index(g->raft);
	g->snap_term = raft_term_at(g->raft, g->snap_index);
	raft_members_at(g->raft, g->snap_index, &members);
	g->snap_members.n = 0;
	raft_members_encode(&members, &g->snap_members);
	g->snap_state.n = 0;
	g->options.snapshot(g->options.ctx, &g->snap_state);
	g->snap_bytes = g->applied_bytes;
	g->applied_bytes = 0;
	g->snap_cuts = cut;
	err = pthread_create(&g->snap_thread, NULL, snapshot_thread_main, g);
	g->snap_running = err == 0;
	if (g->snap_running)
		return;
	log_snapshot_failed(g, strerror(err));
	buf_free(&g->snap_state);
	postpone_snapshot(g);
}

void group_cut_done(group_t *g)
{
	pthread_mutex_lock(&g->lock);
	g->cut_due = false;
	pthread_cond_signal(&g->disk_wake);
	pthread_mutex_unlock(&g->lock);
}

/* Drops the entries that the older of the two snapshots covers, or the only one, from the log in
 * memory. A follower may still need those after it; if they fill half of the memory for the log,
 * or all of it while one receives a snapshot, it gets the newer snapshot instead. */
static void compact_log(group_t *g)
{
	uint64_t max = g->options.log_bytes_max;
	uint64_t most = raft_sending_snapshot(g->raft) ? max : max / 2;

	raft_compact(g->raft, g->snap_cuts ? store_newest_snapshot(g->store)
					   : store_oldest_snapshot(g->store));
	if (max && raft_log_bytes(g->raft) >= most)
		raft_compact(g->raft, store_newest_snapshot(g->store));
}

/* Joins the snapshot thread, which has ended, and drops entries that the snapshots cover. A
 * snapshot that failed is due again after a pause. */
void group_snapshot_end(group_t *g)
{
	group_snapshot_join(g);
	if (g->snap_failed)
		postpone_snapshot(g);
	compact_log(g);
	if (g->snap_cuts)
		group_cut_done(g);
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
