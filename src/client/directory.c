#include "client/directory.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "platform/platform.h"
#include "policy/entry_share.h"

/** The capacities in force, in numbers for the log. */
typedef struct {
	unsigned known;
	unsigned least;
	unsigned most;
} summary_t;

static summary_t summarize(const link_entry_capacities_t *c)
{
	summary_t s = {0};

	for (u_int i = 0; i < c->entries.entries_len; i++) {
		unsigned x = c->entries.entries_val[i].capacity;

		if (x == 0)
			continue;
		s.least = s.known == 0 || x < s.least ? x : s.least;
		s.most = x > s.most ? x : s.most;
		s.known++;
	}
	return s;
}

unsigned directory_capacity(const link_entry_capacities_t *c, str_t addr, u_int *hint)
{
	u_int n = c->entries.entries_len;

	for (u_int k = 0; k < n; k++) {
		u_int i = (*hint + k) % n;

		if (!str_eq(wire_str(c->entries.entries_val[i].addr), addr))
			continue;
		*hint = i + 1;
		return c->entries.entries_val[i].capacity;
	}
	return 0;
}

void directory_set_capacities(link_entry_capacities_t *own, const link_entry_capacities_t *m)
{
	summary_t old = summarize(own);
	link_entry_capacities_t bounded = *m;
	summary_t s;

	if (bounded.entries.entries_len > DIRECTORY_CAPACITIES_MAX)
		bounded.entries.entries_len = DIRECTORY_CAPACITIES_MAX;
	wire_free(XDR_PROC(link_entry_capacities_t), own);
	wire_dup(XDR_PROC(link_entry_capacities_t), &bounded, own, sizeof(*own));
	s = summarize(own);
	metric_set(metric_get(METRIC_GAUGE, "auburn_entry_capacities_known", NULL), s.known);
	if (s.known != old.known || s.least != old.least || s.most != old.most)
		log_event(LOG_LEVEL_INFO, "entry_capacities", LOG_INT("known", s.known),
			  LOG_INT("least", s.least), LOG_INT("most", s.most));
}

/* Writes the addresses for a caller in this zone; returns their number. */
static size_t select_addresses(const link_view_t *view, const link_entry_capacities_t *capacities,
			       str_t zone, str_t *out)
{
	u_int n = view->entries.entries_len;
	entry_share_entry_t *v = mem_new((n + 1) * sizeof(*v));
	bool known = true;
	u_int hint = 0;
	size_t selected;

	for (u_int i = 0; i < n; i++) {
		const link_entry_t *e = &view->entries.entries_val[i];

		v[i] = (entry_share_entry_t){wire_str(e->addr), wire_str(e->zone), 0};
		/* One unknown capacity makes the others irrelevant. */
		if (known)
			v[i].capacity = directory_capacity(capacities, v[i].addr, &hint);
		known = known && v[i].capacity > 0;
	}
	selected = entry_share_select(&(entry_share_options_t){v, n, zone, PLATFORM_ADDRESSES_MAX},
				      out);
	free(v);
	if (selected < n && selected < PLATFORM_ADDRESSES_MAX)
		METRIC_INC("auburn_look_ups_by_capacity_total");
	return selected;
}

void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view,
		      const link_entry_capacities_t *capacities)
{
	AUTO_BUF body = {0};
	str_t addrs[PLATFORM_ADDRESSES_MAX];
	size_t n;
	platform_op_t op;

	platform_op_decode(&r->head, &op);
	if (op.kind != PLATFORM_OP_ADDRESSES) {
		http_reply(c, 404, STR(""), STR("unknown path"));
		return;
	}
	n = select_addresses(view, capacities, op.zone, addrs);
	if (n == 0) {
		http_reply(c, 503, STR(""), STR("no entry available"));
		return;
	}
	platform_addresses_encode(&body, addrs, n, DIRECTORY_TTL_MS);
	http_reply(c, 200, PLATFORM_JSON_HEADER, str_buf(&body));
	METRIC_INC("auburn_look_ups_total");
}
