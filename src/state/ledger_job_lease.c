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

static uint16_t free_slot(ledger_job_t *j)
{
	for (uint16_t i = 0; i < j->nholds; i++)
		if (!j->holds[i])
			return i;
	assert(j->nholds < UINT16_MAX);
	j->holds = mem_grow(j->holds, (j->nholds + 1) * sizeof(ledger_job_lease_t *));
	return j->nholds++;
}

ledger_job_lease_t *ledger_job_lease_get(ledger_job_t *j, ledger_session_t *s)
{
	ledger_job_lease_t *h;

	for (uint16_t i = 0; i < j->nholds; i++)
		if (j->holds[i] && j->holds[i]->session == s)
			return j->holds[i];
	h = mem_new(sizeof(*h));
	h->session = s;
	h->job = j;
	h->items = (ledger_item_queue_t){LEDGER_NO_ITEM, LEDGER_NO_ITEM};
	h->slot = free_slot(j);
	j->holds[h->slot] = h;
	if (j->cancelled)
		DL_APPEND(s->cancelled, h);
	else
		DL_APPEND(s->holds, h);
	return h;
}

void ledger_job_lease_add_item(ledger_job_lease_t *h, uint32_t index)
{
	ledger_item_t *it = &h->job->items[index];

	it->state = LEDGER_ITEM_LEASED;
	it->hold = h->slot;
	ledger_item_queue_push(h->job, &h->items, index);
	h->n++;
}

void ledger_job_lease_remove_item(ledger_t *l, ledger_job_t *j, uint32_t index)
{
	ledger_job_lease_t *h = j->holds[j->items[index].hold];

	queue_remove(j, &h->items, index);
	assert(h->n > 0 && j->leased > 0 && l->leased > 0);
	j->leased--;
	l->leased--;
	if (--h->n)
		return;
	if (j->cancelled)
		DL_DELETE(h->session->cancelled, h);
	else
		DL_DELETE(h->session->holds, h);
	j->holds[h->slot] = NULL;
	free(h);
}
