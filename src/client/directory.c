#include "client/directory.h"

#include "base/metric.h"
#include "platform/platform.h"

void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view)
{
	AUTO_BUF body = {0};
	str_t addrs[PLATFORM_ADDRESSES_MAX];
	u_int n = view->entries.entries_len;
	platform_op_t op;

	platform_op_decode(&r->head, &op);
	if (op.kind != PLATFORM_OP_ADDRESSES) {
		http_reply(c, 404, STR(""), STR("unknown path"));
		return;
	}
	if (n == 0) {
		http_reply(c, 503, STR(""), STR("no entry available"));
		return;
	}
	n = n < PLATFORM_ADDRESSES_MAX ? n : PLATFORM_ADDRESSES_MAX;
	for (u_int i = 0; i < n; i++)
		addrs[i] = wire_str(view->entries.entries_val[i].addr);
	platform_addresses_encode(&body, addrs, n, DIRECTORY_TTL_MS);
	http_reply(c, 200, PLATFORM_JSON_HEADER, str_buf(&body));
	METRIC_INC("auburn_look_ups_total");
}
