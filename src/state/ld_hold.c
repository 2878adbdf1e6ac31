#include <assert.h>
#include <stdlib.h>
#include <utlist.h>
#include "state/ld_core.h"

void ld_queue_push(ld_job_t *j, ld_queue_t *q, uint32_t index)
{
	ld_item_t *it = &j->items[index];

	it->next = LD_NO_ITEM;
	it->prev = q->tail;
	if (q->tail == LD_NO_ITEM)
		q->head = index;
	else
		j->items[q->tail].next = index;
	q->tail = index;
}

static void queue_remove(ld_job_t *j, ld_queue_t *q, uint32_t index)
{
	ld_item_t *it = &j->items[index];

	if (it->prev == LD_NO_ITEM)
		q->head = it->next;
	else
		j->items[it->prev].next = it->next;
	if (it->next == LD_NO_ITEM)
		q->tail = it->prev;
	else
		j->items[it->next].prev = it->prev;
}

uint32_t ld_queue_pop(ld_job_t *j, ld_queue_t *q)
{
	uint32_t index = q->head;

	if (index != LD_NO_ITEM)
		queue_remove(j, q, index);
	return index;
}

static uint16_t free_slot(ld_job_t *j)
{
	for (uint16_t i = 0; i < j->nholds; i++)
		if (!j->holds[i])
			return i;
	assert(j->nholds < UINT16_MAX);
	j->holds = mem_grow(j->holds, (j->nholds + 1) * sizeof(ld_hold_t *));
	return j->nholds++;
}

ld_hold_t *ld_hold_get(ld_job_t *j, ld_session_t *s)
{
	ld_hold_t *h;

	for (uint16_t i = 0; i < j->nholds; i++)
		if (j->holds[i] && j->holds[i]->session == s)
			return j->holds[i];
	h = mem_new(sizeof(*h));
	h->session = s;
	h->job = j;
	h->items = (ld_queue_t){LD_NO_ITEM, LD_NO_ITEM};
	h->slot = free_slot(j);
	j->holds[h->slot] = h;
	if (j->cancelled)
		DL_APPEND(s->cancelled, h);
	else
		DL_APPEND(s->holds, h);
	return h;
}

void ld_hold_add(ld_hold_t *h, uint32_t index)
{
	ld_item_t *it = &h->job->items[index];

	it->state = LD_LEASED;
	it->hold = h->slot;
	ld_queue_push(h->job, &h->items, index);
	h->n++;
}

void ld_hold_drop(ld_t *l, ld_job_t *j, uint32_t index)
{
	ld_hold_t *h = j->holds[j->items[index].hold];

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
