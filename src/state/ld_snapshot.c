#include "state/ld_core.h"
#include "state/sn.h"

static void put_node(buf_t *out, const ld_node_t *n)
{
	sn_put(out, n->pos ? 1 : 0);
	sn_put_i64(out, n->key);
}

static void put_request(buf_t *out, const ld_request_t *r)
{
	sn_put_str(out, ld_id_caller(&r->id));
	sn_put_str(out, ld_id_name(&r->id));
	sn_put(out, r->serial);
	sn_put(out, r->digest);
	sn_put(out, r->token);
	sn_put(out, r->lease_seq);
	sn_put(out, r->session ? r->session->id : 0);
	sn_put_i64(out, r->deadline_ms);
	sn_put_str(out, (str_t){r->service->name, r->service->name_n});
	sn_put(out, r->state);
	sn_put(out, r->path_n);
	sn_put(out, r->body_n);
	sn_put(out, r->trace_n);
	sn_put_str(out, (str_t){r->input, r->input ? r->path_n + r->body_n + r->trace_n : 0});
	sn_put_str(out, (str_t){r->result, r->result_n});
	sn_put_i64(out, r->verdict);
	sn_put_i64(out, r->http_status);
	sn_put(out, r->attempts);
	sn_put(out, r->fails);
	sn_put(out, r->deaths);
	sn_put(out, r->repeatable);
	put_node(out, &r->wait);
	put_node(out, &r->end);
}

static void put_item(buf_t *out, const ld_job_t *j, uint32_t index)
{
	const ld_item_t *it = &j->items[index];
	str_t data = {it->data, it->len};

	if (it->state == LD_WAITING && j->cancelled)
		data.n = 0;
	sn_put(out, it->state);
	sn_put(out, it->attempts);
	sn_put(out, it->fails);
	sn_put(out, it->deaths);
	sn_put_str(out, data);
}

static void put_queue(buf_t *out, const ld_job_t *j, const ld_queue_t *q)
{
	for (uint32_t i = q->head; i != LD_NO_ITEM; i = j->items[i].next)
		sn_put(out, (uint64_t)i + 1);
	sn_put(out, 0);
}

static void put_job(buf_t *out, const ld_job_t *j)
{
	sn_put_str(out, ld_id_caller(&j->id));
	sn_put_str(out, ld_id_name(&j->id));
	sn_put(out, j->serial);
	sn_put(out, j->digest);
	sn_put(out, j->running_digest);
	sn_put_i64(out, j->deadline_ms);
	sn_put_str(out, (str_t){j->service->name, j->service->name_n});
	sn_put_str(out, (str_t){j->trace, j->trace_n});
	sn_put(out, j->share);
	sn_put(out, j->count);
	sn_put(out, j->done);
	sn_put(out, j->failed);
	sn_put(out, j->dropped);
	sn_put(out, j->sealed);
	sn_put(out, j->cancelled);
	sn_put(out, j->cursor);
	sn_put(out, j->received);
	put_node(out, &j->end);
	for (uint32_t i = 0; i < j->received; i++)
		put_item(out, j, i);
	if (j->cancelled)
		return;
	put_queue(out, j, &j->back);
	put_queue(out, j, &j->retry);
}

static void put_hold(buf_t *out, const ld_hold_t *h)
{
	sn_put(out, h->job->serial);
	put_queue(out, h->job, &h->items);
}

static void put_lease(buf_t *out, const ld_lease_t *le)
{
	sn_put(out, 1);
	sn_put_str(out, (str_t){le->service->name, le->service->name_n});
	sn_put(out, le->seq);
	sn_put(out, le->n);
	for (uint32_t i = 0; i < le->n; i++) {
		sn_put(out, le->refs[i].job);
		sn_put(out, le->refs[i].index);
		sn_put(out, le->refs[i].attempt);
	}
}

static void put_session(buf_t *out, const ld_session_t *s)
{
	const ld_hold_t *h;
	const ld_lease_t *le;

	sn_put(out, s->id);
	for (h = s->holds; h; h = h->next)
		put_hold(out, h);
	sn_put(out, 0);
	for (h = s->cancelled; h; h = h->next)
		put_hold(out, h);
	sn_put(out, 0);
	for (le = s->leases; le; le = le->next)
		put_lease(out, le);
	sn_put(out, 0);
}

/** Ready jobs of a heap's bands in the order in which their turns come. */
static void put_bands(buf_t *out, const ld_heap_t *bands)
{
	const ld_lane_t *lane;
	const ld_job_t *j;

	for (uint32_t i = 0; i < bands->n; i++) {
		const ld_band_t *b = LD_CONTAINER(bands->v[i], ld_band_t, node);

		for (lane = b->ring; lane; lane = lane->next) {
			for (j = lane->ready; j; j = j->next) {
				sn_put(out, j->serial);
				sn_put(out, lane->taken);
			}
		}
	}
	sn_put(out, 0);
}

static void put_turns(buf_t *out, const ld_service_t *s)
{
	sn_put_str(out, (str_t){s->name, s->name_n});
	sn_put(out, s->overdue_next);
	put_bands(out, &s->overdue);
	put_bands(out, &s->bands);
}

/** Services and sessions, so that restore makes them in the same order. */
static void put_names(buf_t *out, const ld_t *l)
{
	sn_put(out, HASH_COUNT(l->services));
	for (const ld_service_t *s = l->services; s; s = s->hh.next)
		sn_put_str(out, (str_t){s->name, s->name_n});
	sn_put(out, HASH_COUNT(l->sessions));
	for (const ld_session_t *s = l->sessions; s; s = s->hh.next)
		sn_put(out, s->id);
}

void ld_snapshot(const ld_t *l, buf_t *out)
{
	sn_put(out, LD_SNAPSHOT_MAGIC);
	sn_put(out, LD_SNAPSHOT_VERSION);
	sn_put(out, l->serial);
	sn_put(out, l->late_dropped);
	sn_put(out, l->nlost);
	for (size_t i = 0; i < l->nlost; i++)
		sn_put(out, l->lost[i]);
	put_names(out, l);
	sn_put(out, HASH_COUNT(l->requests));
	for (const ld_request_t *r = l->requests; r; r = r->hh.next)
		put_request(out, r);
	sn_put(out, HASH_COUNT(l->jobs));
	for (const ld_job_t *j = l->jobs; j; j = j->hh.next)
		put_job(out, j);
	sn_put(out, HASH_COUNT(l->sessions));
	for (const ld_session_t *s = l->sessions; s; s = s->hh.next)
		put_session(out, s);
	sn_put(out, HASH_COUNT(l->services));
	for (const ld_service_t *s = l->services; s; s = s->hh.next)
		put_turns(out, s);
}
