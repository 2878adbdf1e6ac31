/* Writes a snapshot of the ledger. */
#include "state/ledger_internal.h"
#include "state/pack.h"

/** Writes whether the node is in its heap, and its key. */
static void pack_heap_node(buf_t *out, const ledger_heap_node_t *n)
{
	pack_u64(out, n->pos ? 1 : 0);
	pack_i64(out, n->key);
}

static void pack_request(buf_t *out, const ledger_request_t *r)
{
	pack_str(out, ledger_id_caller(&r->id));
	pack_str(out, ledger_id_name(&r->id));
	pack_u64(out, r->serial);
	pack_u64(out, r->digest);
	pack_u64(out, r->token);
	pack_u64(out, r->lease_seq);
	pack_u64(out, r->session ? r->session->id : 0);
	pack_i64(out, r->deadline_ms);
	pack_str(out, (str_t){r->service->name, r->service->name_n});
	pack_u64(out, r->state);
	pack_u64(out, r->path_n);
	pack_u64(out, r->body_n);
	pack_u64(out, r->trace_n);
	pack_str(out, (str_t){r->input, r->input ? r->path_n + r->body_n + r->trace_n : 0});
	pack_str(out, (str_t){r->result, r->result_n});
	pack_i64(out, r->verdict);
	pack_i64(out, r->http_status);
	pack_u64(out, r->attempts);
	pack_u64(out, r->fails);
	pack_u64(out, r->deaths);
	pack_u64(out, r->repeatable);
	pack_heap_node(out, &r->wait_node);
	pack_heap_node(out, &r->expiry_node);
}

static void pack_item(buf_t *out, const ledger_job_t *j, uint32_t index)
{
	const ledger_item_t *it = &j->items[index];
	str_t data = {it->data, it->len};

	/* The bodies of a cancelled job may have been freed. */
	if (it->state == LEDGER_ITEM_WAITING && j->cancelled)
		data.n = 0;
	pack_u64(out, it->state);
	pack_u64(out, it->attempts);
	pack_u64(out, it->fails);
	pack_u64(out, it->deaths);
	pack_str(out, data);
}

/** Writes the indices of the queue, each plus 1, then 0. */
static void pack_item_queue(buf_t *out, const ledger_job_t *j, const ledger_item_queue_t *q)
{
	for (uint32_t i = q->head; i != LEDGER_NO_ITEM; i = j->items[i].next)
		pack_u64(out, (uint64_t)i + 1);
	pack_u64(out, 0);
}

static void pack_job(buf_t *out, const ledger_job_t *j)
{
	pack_str(out, ledger_id_caller(&j->id));
	pack_str(out, ledger_id_name(&j->id));
	pack_u64(out, j->serial);
	pack_u64(out, j->digest);
	pack_u64(out, j->running_digest);
	pack_i64(out, j->deadline_ms);
	pack_str(out, (str_t){j->service->name, j->service->name_n});
	pack_str(out, (str_t){j->trace, j->trace_n});
	pack_u64(out, j->share);
	pack_u64(out, j->count);
	pack_u64(out, j->done);
	pack_u64(out, j->failed);
	pack_u64(out, j->dropped);
	pack_u64(out, j->sealed);
	pack_u64(out, j->cancelled);
	pack_u64(out, j->cursor);
	pack_u64(out, j->received);
	pack_heap_node(out, &j->expiry_node);
	for (uint32_t i = 0; i < j->received; i++)
		pack_item(out, j, i);
	if (j->cancelled)
		return;
	pack_item_queue(out, j, &j->returned);
	pack_item_queue(out, j, &j->retry);
}

static void pack_job_lease(buf_t *out, const ledger_job_lease_t *jl)
{
	pack_u64(out, jl->job->serial);
	pack_item_queue(out, jl->job, &jl->items);
}

static void pack_lease_record(buf_t *out, const ledger_lease_record_t *rec)
{
	pack_u64(out, 1);
	pack_str(out, (str_t){rec->service->name, rec->service->name_n});
	pack_u64(out, rec->seq);
	pack_u64(out, rec->n);
	for (uint32_t i = 0; i < rec->n; i++) {
		pack_u64(out, rec->refs[i].job);
		pack_u64(out, rec->refs[i].index);
		pack_u64(out, rec->refs[i].attempt);
	}
}

static void pack_session(buf_t *out, const ledger_session_t *s)
{
	const ledger_job_lease_t *jl;
	const ledger_lease_record_t *rec;

	pack_u64(out, s->id);
	for (jl = s->job_leases; jl; jl = jl->next)
		pack_job_lease(out, jl);
	pack_u64(out, 0);
	for (jl = s->cancelled_leases; jl; jl = jl->next)
		pack_job_lease(out, jl);
	pack_u64(out, 0);
	for (rec = s->lease_records; rec; rec = rec->next)
		pack_lease_record(out, rec);
	pack_u64(out, 0);
}

/** Writes the jobs with waiting items, in order of turns within each band. */
static void pack_bands(buf_t *out, const ledger_heap_t *bands)
{
	const ledger_lane_t *lane;
	const ledger_job_t *j;

	for (uint32_t i = 0; i < bands->n; i++) {
		const ledger_band_t *b = LEDGER_CONTAINER_OF(bands->nodes[i], ledger_band_t, node);

		for (lane = b->ready_lanes; lane; lane = lane->next) {
			for (j = lane->ready_jobs; j; j = j->next) {
				pack_u64(out, j->serial);
				pack_u64(out, lane->turn_taken);
			}
		}
	}
	pack_u64(out, 0);
}

/** Writes the turns of the bands, callers and jobs of one service. */
static void pack_turns(buf_t *out, const ledger_service_t *s)
{
	pack_str(out, (str_t){s->name, s->name_n});
	pack_u64(out, s->overdue_next);
	pack_bands(out, &s->overdue);
	pack_bands(out, &s->bands);
}

/** Writes the names of services and the ids of sessions, so that restore creates both in the same
 * order. */
static void pack_names(buf_t *out, const ledger_t *l)
{
	pack_u64(out, HASH_COUNT(l->services));
	for (const ledger_service_t *s = l->services; s; s = s->hh.next)
		pack_str(out, (str_t){s->name, s->name_n});
	pack_u64(out, HASH_COUNT(l->sessions));
	for (const ledger_session_t *s = l->sessions; s; s = s->hh.next)
		pack_u64(out, s->id);
}

void ledger_snapshot(const ledger_t *l, buf_t *out)
{
	pack_u64(out, LEDGER_SNAPSHOT_MAGIC);
	pack_u64(out, LEDGER_SNAPSHOT_VERSION);
	pack_u64(out, l->serial);
	pack_u64(out, l->late_dropped);
	pack_u64(out, l->nlost);
	for (size_t i = 0; i < l->nlost; i++)
		pack_u64(out, l->lost[i]);
	pack_names(out, l);
	pack_u64(out, HASH_COUNT(l->requests));
	for (const ledger_request_t *r = l->requests; r; r = r->hh.next)
		pack_request(out, r);
	pack_u64(out, HASH_COUNT(l->jobs));
	for (const ledger_job_t *j = l->jobs; j; j = j->hh.next)
		pack_job(out, j);
	pack_u64(out, HASH_COUNT(l->sessions));
	for (const ledger_session_t *s = l->sessions; s; s = s->hh.next)
		pack_session(out, s);
	pack_u64(out, HASH_COUNT(l->services));
	for (const ledger_service_t *s = l->services; s; s = s->hh.next)
		pack_turns(out, s);
}
