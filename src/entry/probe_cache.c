#include "entry/probe.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"

#define PATH_BYTES 96

static uint64_t parse_hash(json_t *j)
{
	const char *hex = json_string_value(j);

	return hex ? strtoull(hex, NULL, 16) : 0;
}

static void reload_prefixes(entry_ctx_t *en, const upstream_info_t *info, probe_replica_t *r)
{
	json_t *j = probe_get_json(en, info->addr, "/v1/cache");
	json_t *list = json_object_get(j, "prefixes");
	size_t n = json_array_size(list);
	uint64_t *hashes;

	if (!j)
		return;
	hashes = mem_new(n * sizeof(*hashes));
	for (size_t i = 0; i < n; i++)
		hashes[i] = parse_hash(json_array_get(list, i));
	upstream_set_prefixes(info->upstream, hashes, n);
	r->last_seq = json_integer_value(json_object_get(j, "last"));
	r->prefixes_known = true;
	free(hashes);
	json_decref(j);
}

/* Applies the events to the list of prefixes; false if an event is missing. */
static bool apply_events(const upstream_info_t *info, probe_replica_t *r, json_t *j)
{
	json_t *list = json_object_get(j, "events");
	size_t n = json_array_size(list);

	for (size_t i = 0; i < n; i++) {
		json_t *e = json_array_get(list, i);
		const char *op = json_string_value(json_object_get(e, "op"));

		if (json_integer_value(json_object_get(e, "seq")) != r->last_seq + 1)
			return false;
		r->last_seq++;
		upstream_update_prefix(info->upstream, parse_hash(json_object_get(e, "prefix")),
				       op && strcmp(op, "add") == 0);
	}
	return json_integer_value(json_object_get(j, "last")) == r->last_seq;
}

void probe_cache_events(entry_ctx_t *en, const upstream_info_t *info, probe_replica_t *r)
{
	char path[PATH_BYTES];
	json_t *j;

	if (!r->prefixes_known) {
		reload_prefixes(en, info, r);
		return;
	}
	snprintf(path, sizeof(path), "/v1/cache_events?after=%lld", (long long)r->last_seq);
	j = probe_get_json(en, info->addr, path);
	if (j && !apply_events(info, r, j)) {
		log_event(LOG_LEVEL_DEBUG, "cache_events_gap", LOG_CSTR("upstream", info->id),
			  LOG_INT("after", r->last_seq));
		METRIC_INC("auburn_cache_event_gaps_total");
		r->prefixes_known = false;
		upstream_clear_prefixes(info->upstream);
	}
	json_decref(j);
}
