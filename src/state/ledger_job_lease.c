/* Item queues, and the items of a job that are leased to a session. */
#include <assert.h>
#include <stdlib.h>
#include <utlist.h>
#include "state/ledger_internal.h"

void ledger_item_queue_push(ledger_job_t *j, ledger_item_queue_t *q, uint32_t index)
{
	ledger_item_t *it = &j->items[index];

	it->next = LEDGER_NO_ITEM;
	it->prev = q->tail;
	if (q->tail == LEDGER_NO_ITEM)
		q->head = index;
	else
		j->items[q->tail].next = index;
	q->tail = index;
}

static void queue_remove(ledger_job_t *j, ledger_item_queue_t *q, uint32_t index)
{
	ledger_item_t *it = &j->items[index];

	if (it->prev == LEDGER_NO_ITEM)
		q->head = it->next;
	else
		j->items[it->prev].next = it->next;
	if (it->next == LEDGER_NO_ITEM)
		q->tail = it->prev;
	else
		j->items[it->next].prev = it->prev;
}

uint32_t ledger_item_queue_pop(ledger_job_t *j, ledger_item_queue_t *q)
{
	uint32_t index = q->head;

	if (index != LEDGER_NO_ITEM)
		queue_remove(j, q, index);
	return index;
}

/** Returns a free position in job_leases, which grows if needed. */
static uint16_t find_free_index(ledger_job_t *j)
{
	for (uint16_t i = 0; i < j->njob_leases; i++)
		if (!j->job_leases[i])
			return i;
	assert(j->njob_leases < UINT16_MAX);
	j->job_leases =
		mem_grow(j->job_leases, (j->njob_leases + 1) * sizeof(ledger_job_lease_t *));
	return j->njob_leases++;
}

ledger_job_lease_t *ledger_job_lease_get(ledger_job_t *j, ledger_session_t *s)
{
	ledger_job_lease_t *jl;

	for (uint16_t i = 0; i < j->njob_leases; i++)
		if (j->job_leases[i] && j->job_leases[i]->session == s)
			return j->job_leases[i];
	jl = mem_new(sizeof(*jl));
	jl->session = s;
	jl->job = j;
	jl->items = (ledger_item_queue_t){LEDGER_NO_ITEM, LEDGER_NO_ITEM};
	jl->index = find_free_index(j);
	j->job_leases[jl->index] = jl;
	if (j->cancelled)
		DL_APPEND(s->cancelled_leases, jl);
	else
		DL_APPEND(s->job_leases, jl);
	return jl;
}

void ledger_job_lease_add_item(ledger_job_lease_t *jl, uint32_t index)
{
	ledger_item_t *it = &jl->job->items[index];

	it->state = LEDGER_ITEM_LEASED;
	it->job_lease = jl->index;
	ledger_item_queue_push(jl->job, &jl->items, index);
	jl->n++;
}

void ledger_job_lease_remove_item(ledger_t *l, ledger_job_t *j, uint32_t index)
{
	ledger_job_lease_t *jl = j->job_leases[j->items[index].job_lease];

	queue_remove(j, &jl->items, index);
	assert(jl->n > 0 && j->leased > 0 && l->leased > 0);
	j->leased--;
	l->leased--;
	if (--jl->n)
		return;
	if (j->cancelled)
		DL_DELETE(jl->session->cancelled_leases, jl);
	else
		DL_DELETE(jl->session->job_leases, jl);
	j->job_leases[jl->index] = NULL;
	free(jl);
}
