/* The threads that wait for the disk: one syncs the log, a short-lived one writes a snapshot. */
#include "raft/gr_int.h"

#include <assert.h>
#include "base/lg.h"

void gr_disk_mark_failed(gr_t *g)
{
	lg(LG_ERROR, "disk_failed", LG_I("group", g->o.group), LG_C("what", st_message()));
	pthread_mutex_lock(&g->lock);
	g->disk_failed = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
}

void gr_disk_poke(gr_t *g)
{
	pthread_mutex_lock(&g->lock);
	pthread_cond_signal(&g->disk_wake);
	pthread_mutex_unlock(&g->lock);
}

/* Waits until something is queued; false: the group closes and nothing is. */
static bool wait_queued(gr_t *g)
{
	bool has;

	if (!rs_has_queued(g->rs))
		rs_idle(g->rs);
	pthread_mutex_lock(&g->lock);
	while (!(has = rs_has_queued(g->rs)) && !g->disk_stop)
		pthread_cond_wait(&g->disk_wake, &g->lock);
	pthread_mutex_unlock(&g->lock);
	return has;
}

void *gr_disk_loop(void *arg)
{
	gr_t *g = arg;

	while (wait_queued(g)) {
		uint64_t seq = 0;

		if (rs_sync(g->rs, &seq) != ST_OK) {
			gr_disk_mark_failed(g);
			return NULL;
		}
		pthread_mutex_lock(&g->lock);
		g->synced_seq = seq;
		pthread_cond_signal(&g->wake);
		pthread_mutex_unlock(&g->lock);
	}
	return NULL;
}

static void *save_snapshot(void *arg)
{
	gr_t *g = arg;
	status_t st = rs_snap_save(g->rs, g->snap_index, g->snap_term, str_buf(&g->snap_conf),
				   str_buf(&g->snap_state));

	if (st != ST_OK)
		gr_disk_mark_failed(g);
	pthread_mutex_lock(&g->lock);
	g->snap_saved = true;
	pthread_cond_signal(&g->wake);
	pthread_mutex_unlock(&g->lock);
	return NULL;
}

/* Takes the state as of what is applied and has it written. */
void gr_snap_begin(gr_t *g)
{
	rf_conf_t conf;

	assert(!g->snap_running);
	g->snap_index = rf_applied(g->rf);
	g->snap_term = rf_term_at(g->rf, g->snap_index);
	rf_conf_at(g->rf, g->snap_index, &conf);
	g->snap_conf.n = 0;
	rf_conf_encode(&conf, &g->snap_conf);
	g->snap_state.n = 0;
	g->o.snapshot(g->o.ctx, &g->snap_state);
	g->applied_bytes = 0;
	g->snap_running = true;
	if (pthread_create(&g->snap_thread, NULL, save_snapshot, g) != 0)
		g->snap_running = false;
}

/* Joins the thread that has ended, and drops the entries that are no longer needed. */
void gr_snap_end(gr_t *g)
{
	gr_snap_join(g);
	rf_compact(g->rf, rs_snap_oldest(g->rs));
}

void gr_snap_join(gr_t *g)
{
	if (!g->snap_running)
		return;
	pthread_join(g->snap_thread, NULL);
	g->snap_running = false;
	buf_free(&g->snap_state);
	pthread_mutex_lock(&g->lock);
	g->snap_saved = false;
	pthread_mutex_unlock(&g->lock);
}
