/* Answers entries that ask which config is the newest. Their questions are gathered, and one read
 * barrier that begins after the last of them arrived confirms the answers to all. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"

/** Period in which questions are gathered, in ms; small against the validity of a proof. */
#define ROUND_MS 50
/** Time limit of a round's read barrier, in ms. */
#define BARRIER_MS 1000

typedef struct {
	worker_task_t task;
	hub_t *h;
	uint64_t *peers; /* that asked, once for each question */
	size_t npeers;
	status_t st;
} round_t;

void hub_proof_question(hub_t *h, const hub_peer_t *p)
{
	if (h->nquestions == h->questions_cap) {
		h->questions_cap = h->questions_cap ? h->questions_cap * 2 : 64;
		h->questions = mem_grow(h->questions, h->questions_cap * sizeof(*h->questions));
	}
	h->questions[h->nquestions++] = p->id;
}

static void confirm_work(worker_task_t *task)
{
	round_t *r = (round_t *)task;

	r->st = group_read_barrier(r->h->control->groups[0].raft, clock_now_ms() + BARRIER_MS);
}

/* The newest config that is committed. Its digest is unknown until it is decoded here; no entry
 * can hold it before. */
static link_config_id_t newest_config(hub_t *h)
{
	link_config_id_t id = {.number = hub_routes_newest_number(h)};
	fanout_config_id_t decoded = h->recent_routes[0].config;

	if (h->routes && decoded.number == id.number)
		id.digest = decoded.digest;
	return id;
}

static void confirm_done(worker_task_t *task)
{
	round_t *r = (round_t *)task;
	hub_t *h = r->h;
	link_msg_t m = {.kind = LINK_CONFIG_IN_FORCE};

	h->confirming = false;
	if (r->st == STATUS_OK && h->role == HUB_LEADER)
		m.link_msg_t_u.holds = newest_config(h);
	else
		log_event(LOG_LEVEL_WARN, "config_not_confirmed", LOG_INT("questions", r->npeers),
			  LOG_CSTR("status", status_name(r->st)));
	for (size_t i = 0; i < r->npeers; i++) {
		hub_peer_t *p = hub_find_peer(h, r->peers[i]);

		if (p)
			hub_send(p, &m);
	}
	METRIC_INC("auburn_config_confirmations_total");
	free(r->peers);
	free(r);
}

void hub_proof_tick(hub_t *h, deadline_t now)
{
	round_t *r;

	if (h->confirming || h->nquestions == 0 || now < h->next_confirmation)
		return;
	h->confirming = true;
	h->next_confirmation = now + ROUND_MS;
	r = mem_new(sizeof(*r));
	r->task = (worker_task_t){confirm_work, confirm_done, NULL};
	r->h = h;
	r->peers = h->questions;
	r->npeers = h->nquestions;
	h->questions = NULL;
	h->nquestions = h->questions_cap = 0;
	worker_pool_submit(h->call_workers, &r->task);
}
