#include "client/la.h"

#include "base/mx.h"
#include "platform/pf.h"

void la_answer(hl_conn_t *c, const hl_request_t *r, const lw_view_t *view)
{
	AUTO_BUF body = {0};
	str_t addrs[PF_ADDRESSES_MAX];
	u_int n = view->entries.entries_len;
	pf_op_t op;

	pf_op_decode(&r->head, &op);
	if (op.kind != PF_OP_ADDRESSES) {
		hl_reply(c, 404, STR(""), STR("no such call"));
		return;
	}
	if (n == 0) {
		hl_reply(c, 503, STR(""), STR("no entry is known"));
		return;
	}
	n = n < PF_ADDRESSES_MAX ? n : PF_ADDRESSES_MAX;
	for (u_int i = 0; i < n; i++)
		addrs[i] = px_str(view->entries.entries_val[i].addr);
	pf_addresses_encode(&body, addrs, n, LA_KEEP_MS);
	hl_reply(c, 200, PF_JSON, str_buf(&body));
	MX_COUNT("auburn_look_ups_total");
}
