/* Prefix cache of the fake engine, and the events about its changes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "fake_engine.h"

static void append_event(fake_cache_t *c, uint64_t prefix, bool added)
{
	c->last_seq++;
	c->events[c->last_seq % FAKE_CACHE_EVENTS] = (fake_cache_event_t){
		.at_ms = clock_now_ms(),
		.prefix = prefix,
		.added = added,
		.dropped = rand_r(&c->seed) % 100 < c->gap_percent,
	};
}

static void move_to_front(fake_cache_t *c, size_t at, uint64_t prefix)
{
	memmove(c->prefix + 1, c->prefix, at * sizeof(c->prefix[0]));
	c->prefix[0] = prefix;
}

bool fake_cache_use(fake_cache_t *c, uint64_t prefix)
{
	size_t i = 0;

	while (i < c->n && c->prefix[i] != prefix)
		i++;
	if (i < c->n) {
		move_to_front(c, i, prefix);
		return true;
	}
	if (!c->capacity)
		return false;
	if (c->n == c->capacity)
		append_event(c, c->prefix[--c->n], false);
	move_to_front(c, c->n++, prefix);
	append_event(c, prefix, true);
	return false;
}

static json_t *prefix_json(uint64_t prefix)
{
	return json_sprintf("%016llx", (unsigned long long)prefix);
}

json_t *fake_cache_events_json(const fake_cache_t *c, int64_t after, int64_t lag_ms)
{
	int64_t until_ms = clock_now_ms() - lag_ms;
	int64_t first = c->last_seq - FAKE_CACHE_EVENTS + 1;
	int64_t last = after < 0 ? 0 : after;
	json_t *list = json_array();
	int64_t seq = last + 1 < first ? first : last + 1;

	for (; seq <= c->last_seq && c->events[seq % FAKE_CACHE_EVENTS].at_ms <= until_ms; seq++) {
		const fake_cache_event_t *ev = &c->events[seq % FAKE_CACHE_EVENTS];

		last = seq;
		if (!ev->dropped)
			json_array_append_new(list,
					      json_pack("{s:I,s:s,s:o}", "seq", (json_int_t)seq,
							"op", ev->added ? "add" : "remove",
							"prefix", prefix_json(ev->prefix)));
	}
	return json_pack("{s:o,s:I}", "events", list, "last", (json_int_t)last);
}

json_t *fake_cache_json(const fake_cache_t *c)
{
	json_t *list = json_array();

	for (size_t i = 0; i < c->n; i++)
		json_array_append_new(list, prefix_json(c->prefix[i]));
	return json_pack("{s:I,s:o}", "last", (json_int_t)c->last_seq, "prefixes", list);
}
