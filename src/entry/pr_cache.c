#include "entry/pr.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"

#define PATH_BYTES 96

static uint64_t hash_of(json_t *j)
{
	const char *hex = json_string_value(j);

	return hex ? strtoull(hex, NULL, 16) : 0;
}

static void repair(en_t *en, const up_info_t *info, pr_replica_t *r)
{
	json_t *j = pr_get(en, info->addr, "/v1/cache");
	json_t *list = json_object_get(j, "prefixes");
	size_t n = json_array_size(list);
	uint64_t *hashes;

	if (!j)
		return;
	hashes = mem_new(n * sizeof(*hashes));
	for (size_t i = 0; i < n; i++)
		hashes[i] = hash_of(json_array_get(list, i));
	up_prefixes_set(info->up, hashes, n);
	r->seq = json_integer_value(json_object_get(j, "last"));
	r->prefixes_known = true;
	free(hashes);
	json_decref(j);
}

/* False at a gap. */
static bool take_events(const up_info_t *info, pr_replica_t *r, json_t *j)
{
	json_t *list = json_object_get(j, "events");
	size_t n = json_array_size(list);

	for (size_t i = 0; i < n; i++) {
		json_t *e = json_array_get(list, i);
		const char *op = json_string_value(json_object_get(e, "op"));

		if (json_integer_value(json_object_get(e, "seq")) != r->seq + 1)
			return false;
		r->seq++;
		up_prefix_change(info->up, hash_of(json_object_get(e, "prefix")),
				 op && strcmp(op, "add") == 0);
	}
	return json_integer_value(json_object_get(j, "last")) == r->seq;
}

void pr_cache(en_t *en, const up_info_t *info, pr_replica_t *r)
{
	char path[PATH_BYTES];
	json_t *j;

	if (!r->prefixes_known) {
		repair(en, info, r);
		return;
	}
	snprintf(path, sizeof(path), "/v1/cache_events?after=%lld", (long long)r->seq);
	j = pr_get(en, info->addr, path);
	if (j && !take_events(info, r, j)) {
		lg(LG_DEBUG, "cache_events_gap", LG_C("upstream", info->id), LG_I("after", r->seq));
		MX_COUNT("auburn_cache_event_gaps_total");
		r->prefixes_known = false;
		up_prefixes_forget(info->up);
	}
	json_decref(j);
}
