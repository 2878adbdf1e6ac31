/* Calls from other threads. Most queue an input and wait until the group's thread has handled it or
 * the deadline has passed; group_receive only queues one, group_get_status only copies the
 * status. */
#include "raft/group_internal.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void group_queue_push(group_queue_t *q, group_input_t *it)
{
	it->next = NULL;
	if (q->last)
		q->last->next = it;
	else
		q->first = it;
	q->last = it;
}

group_input_t *group_queue_pop(group_queue_t *q)
{
	group_input_t *it = q->first;

	if (!it)
		return NULL;
	q->first = it->next;
	if (!q->first)
		q->last = NULL;
	it->next = NULL;
	return it;
}

static group_input_t *new_input(group_input_kind_t kind, unsigned refs)
{
	group_input_t *it = mem_new(sizeof(*it));
	pthread_condattr_t attr;

	it->kind = kind;
	it->refs = refs;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&it->cond, &attr);
	pthread_condattr_destroy(&attr);
	return it;
}

/* The caller holds the lock. */
static void unref_locked(group_input_t *it)
{
	if (--it->refs > 0)
		return;
	pthread_cond_destroy(&it->cond);
	buf_free(&it->data);
	free(it);
}

void group_input_unref(group_t *g, group_input_t *it)
{
	pthread_mutex_lock(&g->lock);
	unref_locked(it);
	pthread_mutex_unlock(&g->lock);
}

void group_input_finish(group_t *g, group_input_t *it, status_t st)
{
	pthread_mutex_lock(&g->lock);
	it->done = true;
	it->st = st;
	if (st != STATUS_OK)
		snprintf(it->message, sizeof(it->message), "%s", status_message());
	pthread_cond_signal(&it->cond);
	unref_locked(it);
	pthread_mutex_unlock(&g->lock);
}

void group_cond_wait(group_t *g, pthread_cond_t *cond, int64_t ms)
{
	clock_cond_wait(cond, &g->lock, ms);
}

#define WAIT_MAX_MS 1000 /* long waits are split: the condition's clock stops during suspend */

static void wait_until_done(group_t *g, group_input_t *it, deadline_t deadline)
{
	while (!it->done) {
		int64_t left = clock_left_ms(deadline);

		if (left == 0)
			return;
		group_cond_wait(g, &it->cond, left < WAIT_MAX_MS ? left : WAIT_MAX_MS);
	}
}

/* Queues an input, waits for its result or the deadline, then drops the caller's reference. */
static status_t submit_and_wait(group_t *g, group_input_t *it, deadline_t deadline, buf_t *result)
{
	status_t st = STATUS_TIMEOUT;

	pthread_mutex_lock(&g->lock);
	if (g->stop) {
		it->refs = 1;
		unref_locked(it);
		pthread_mutex_unlock(&g->lock);
		return status_fail(STATUS_NOT_LEADER, "group is closed");
	}
	g->callers++;
	group_queue_push(&g->inbox, it);
	pthread_cond_signal(&g->wake);
	wait_until_done(g, it, deadline);
	if (it->done)
		st = it->st;
	if (st == STATUS_OK && result)
		buf_add(result, str_buf(&it->data));
	if (st != STATUS_OK)
		status_fail(st, "%s", it->done ? it->message : "no answer before the deadline");
	unref_locked(it);
	if (--g->callers == 0)
		pthread_cond_signal(&g->idle);
	pthread_mutex_unlock(&g->lock);
	return st;
}

status_t group_propose(group_t *g, str_t cmd, deadline_t deadline, buf_t *result)
{
	group_input_t *it = new_input(GROUP_PROPOSE, 2);

	buf_add(&it->data, cmd);
	return submit_and_wait(g, it, deadline, result);
}

status_t group_read_barrier(group_t *g, deadline_t deadline)
{
	return submit_and_wait(g, new_input(GROUP_READ_BARRIER, 2), deadline, NULL);
}

void group_with_state(group_t *g, void (*fn)(void *ctx, void *arg), void *arg)
{
	group_input_t *it = new_input(GROUP_WITH_STATE, 2);

	it->fn = fn;
	it->arg = arg;
	submit_and_wait(g, it, DEADLINE_NEVER, NULL);
}

status_t group_add_learner(group_t *g, const group_peer_t *peer, deadline_t deadline)
{
	group_input_t *it = new_input(GROUP_ADD_LEARNER, 2);

	it->peer = *peer;
	return submit_and_wait(g, it, deadline, NULL);
}

status_t group_promote(group_t *g, uint64_t id, deadline_t deadline)
{
	group_input_t *it = new_input(GROUP_PROMOTE, 2);

	it->peer.id = id;
	return submit_and_wait(g, it, deadline, NULL);
}

status_t group_remove(group_t *g, uint64_t id, deadline_t deadline)
{
	group_input_t *it = new_input(GROUP_REMOVE, 2);

	it->peer.id = id;
	return submit_and_wait(g, it, deadline, NULL);
}

status_t group_step_down(group_t *g, deadline_t deadline)
{
	return submit_and_wait(g, new_input(GROUP_STEP_DOWN, 2), deadline, NULL);
}

void group_receive(group_t *g, str_t msg)
{
	group_input_t *it = new_input(GROUP_MESSAGE, 1);

	buf_add(&it->data, msg);
	pthread_mutex_lock(&g->lock);
	if (g->stop) {
		unref_locked(it);
	} else {
		group_queue_push(&g->inbox, it);
		pthread_cond_signal(&g->wake);
	}
	pthread_mutex_unlock(&g->lock);
}

void group_get_status(group_t *g, group_status_t *out)
{
	pthread_mutex_lock(&g->lock);
	*out = g->status;
	pthread_mutex_unlock(&g->lock);
}
