#include "client/poison_list.h"

#include <string.h>

void poison_list_encode(const poison_state_t *v, size_t n, deadline_t now, link_poisons_t *out)
{
	static link_poison_t list[POISON_LIST_MAX];

	for (size_t i = 0; i < n; i++) {
		const poison_state_t *x = &v[i];

		list[i] = (link_poison_t){
			.held = x->held,
			.crashes = x->crashes,
			.level = x->level,
			.since_ms = x->since ? (int)(now - x->since) : 0,
			.left_ms = x->held ? (int)(x->until - now) : 0,
			.prober = x->prober,
			.turn = x->turn,
		};
		memcpy(list[i].key, x->key.v, sizeof(list[i].key));
	}
	out->requests.requests_len = (u_int)n;
	out->requests.requests_val = list;
}

size_t poison_list_decode(const link_poisons_t *m, deadline_t now, poison_state_t *out)
{
	u_int len = m->requests.requests_len;
	size_t n = len < POISON_LIST_MAX ? len : POISON_LIST_MAX;

	for (size_t i = 0; i < n; i++) {
		const link_poison_t *x = &m->requests.requests_val[i];

		out[i] = (poison_state_t){
			.held = x->held,
			.crashes = x->crashes,
			.level = x->level,
			.since = now - x->since_ms,
			.until = x->held ? now + x->left_ms : 0,
			.prober = x->prober,
			.turn = x->turn,
		};
		memcpy(out[i].key.v, x->key, sizeof(out[i].key.v));
	}
	return n;
}
