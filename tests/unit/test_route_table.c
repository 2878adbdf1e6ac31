/* Unit tests of routes: the match by index, and changes as messages between own processes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "base/prng.h"
#include "client/delta.h"
#include "platform/platform.h"
#include "suite_kit.h"

#define MANY 2000

static uint64_t rng = 20261204;

static unsigned dice(unsigned below)
{
	return (unsigned)(prng_next(&rng) % below);
}

static void set_route(route_spec_t *t, const char *host, const char *prefix, unsigned i)
{
	char name[32];

	snprintf(name, sizeof(name), "r-%u", i);
	*t = (route_spec_t){
		.name = str_dup(str_c(name)),
		.host = str_dup(str_c(host)),
		.prefix = str_dup(str_c(prefix)),
		.kind = ROUTE_STREAM,
		.shares = mem_new(sizeof(route_share_t)),
		.nshares = 1,
		.timeout_ms = 5000,
		.objective_ms = 300,
		.pause_ms = 400,
		.give_up_ms = 3200,
		.attempts = 2,
		.resumable = true,
	};
	t->shares[0] = (route_share_t){str_dup(STR("llm")), 1};
}

static route_table_t *empty(size_t room, uint64_t version)
{
	route_table_t *r = route_table_new();

	r->version = version;
	r->limits = (route_client_limits_t){16384, 4194304, 3000, 15000};
	r->services = mem_new(sizeof(route_service_t));
	r->services[0] = (route_service_t){str_dup(STR("llm")), str_dup(STR("/health")), 8, 370};
	r->nservices = 1;
	r->routes = mem_new((room + 1) * sizeof(*r->routes));
	return r;
}

/* Routes from..from+n, one host each. */
static route_table_t *numbered(unsigned from, unsigned n, uint64_t version)
{
	route_table_t *r = empty(n, version);

	for (unsigned i = from; i < from + n; i++) {
		char host[48];
		char prefix[32];

		snprintf(host, sizeof(host), "host%x.example", i * 2654435761U);
		snprintf(prefix, sizeof(prefix), "/p%x/", i * 40503U);
		set_route(&r->routes[r->nroutes++], host, prefix, i);
	}
	ck_assert_int_eq(route_table_build(r), STATUS_OK);
	return r;
}

static bool same_routes(const route_table_t *a, const route_table_t *b)
{
	if (a->nroutes != b->nroutes || a->version != b->version || a->nservices != b->nservices ||
	    a->limits.idle_ms != b->limits.idle_ms)
		return false;
	for (size_t i = 0; i < a->nroutes; i++) {
		const route_spec_t *t =
			route_table_find(b, str_c(a->routes[i].host), str_c(a->routes[i].prefix));

		if (!t || !route_spec_eq(t, &a->routes[i]))
			return false;
	}
	return true;
}

/* The definition: of the routes of the host, that with the longest prefix of the path. */
static const route_spec_t *match_slowly(const route_table_t *r, const char *host, const char *path)
{
	const route_spec_t *best = NULL;

	for (size_t i = 0; i < r->nroutes; i++) {
		const route_spec_t *t = &r->routes[i];

		if (strcasecmp(t->host, host) != 0 ||
		    strncmp(path, t->prefix, strlen(t->prefix)) != 0)
			continue;
		if (!best || strlen(t->prefix) > strlen(best->prefix))
			best = t;
	}
	return best;
}

/* A path of few different parts, so that prefixes of prefixes are common. */
static void random_path(char *out, unsigned parts)
{
	size_t n = 0;

	out[n++] = '/';
	for (unsigned i = 0; i < parts; i++) {
		out[n++] = (char)('a' + dice(2));
		out[n++] = '/';
	}
	out[n] = 0;
}

static void random_tail(char *path)
{
	size_t n = strlen(path);

	path[n] = (char)('a' + dice(2));
	path[n + 1] = 0;
}

START_TEST(the_index_matches_as_the_definition_does)
{
	static const char *const hosts[] = {"a.example", "B.Example", "b.example.org"};

	for (unsigned round = 0; round < 50; round++) {
		route_table_t *r = empty(40, 1);
		char path[64];

		for (unsigned i = 0; i < 40; i++) {
			const char *host = hosts[dice(3)];

			random_path(path, dice(6));
			if (!match_slowly(r, host, path) ||
			    strcmp(match_slowly(r, host, path)->prefix, path) != 0)
				set_route(&r->routes[r->nroutes++], host, path, i);
		}
		ck_assert_int_eq(route_table_build(r), STATUS_OK);
		for (unsigned i = 0; i < 400; i++) {
			const char *host = hosts[dice(3)];

			random_path(path, dice(9));
			if (dice(2))
				random_tail(path);
			ck_assert_ptr_eq(route_table_match(r, str_c(host), str_c(path)),
					 match_slowly(r, host, path));
		}
		route_table_free(r);
	}
}
END_TEST

START_TEST(a_path_of_slashes_only_is_matched_quickly)
{
	AUTO_ROUTE_TABLE *r = numbered(0, MANY, 1);
	AUTO_BUF path = {0};

	for (unsigned i = 0; i < 16384; i++)
		buf_addc(&path, '/');
	for (unsigned i = 0; i < 20000; i++)
		ck_assert_ptr_null(route_table_match(r, str_c(r->routes[0].host), str_buf(&path)));
}
END_TEST

static route_table_t *over_the_wire(const route_table_t *base, const route_table_t *r,
				    size_t *bytes)
{
	AUTO_BUF change = {0};
	uint32_t size = 0;
	route_table_t *out = NULL;

	ck_assert_int_eq(delta_pack(base, r, &change, &size), STATUS_OK);
	ck_assert_int_eq(delta_unpack(str_buf(&change), size, base, &out), STATUS_OK);
	*bytes = change.n;
	return out;
}

START_TEST(a_change_leads_to_the_same_routes)
{
	for (unsigned round = 0; round < 60; round++) {
		unsigned from = dice(40);
		AUTO_ROUTE_TABLE *a = numbered(dice(40), dice(60), 1 + dice(9));
		AUTO_ROUTE_TABLE *b = numbered(from, dice(60), 10 + dice(9));
		size_t bytes;

		for (size_t i = 0; i < b->nroutes; i++) {
			if (dice(4) == 0)
				b->routes[i].timeout_ms = 1000 + dice(3);
		}
		{
			AUTO_ROUTE_TABLE *whole = over_the_wire(NULL, b, &bytes);
			AUTO_ROUTE_TABLE *changed = over_the_wire(a, b, &bytes);

			ck_assert(same_routes(whole, b));
			ck_assert(same_routes(changed, b));
		}
	}
}
END_TEST

/* 2,000 routes for hundreds of entries: all of them in 64 KB, a change of one in a packet. */
START_TEST(a_change_takes_few_bytes)
{
	AUTO_ROUTE_TABLE *a = numbered(0, MANY, 1);
	AUTO_ROUTE_TABLE *b = numbered(0, MANY, 2);
	AUTO_ROUTE_TABLE *got = NULL;
	size_t bytes;

	got = over_the_wire(NULL, a, &bytes);
	ck_assert_uint_le(bytes, 64 << 10);
	route_table_free(got);
	b->routes[7].timeout_ms = 4000;
	got = over_the_wire(a, b, &bytes);
	ck_assert(same_routes(got, b));
	ck_assert_uint_le(bytes, 1400);
}
END_TEST

START_TEST(damaged_changes_are_told_from_sound_ones)
{
	AUTO_ROUTE_TABLE *a = numbered(0, 30, 1);
	AUTO_BUF change = {0};
	uint32_t size = 0;
	route_table_t *out = NULL;

	ck_assert_int_eq(delta_pack(NULL, a, &change, &size), STATUS_OK);
	ck_assert_int_eq(delta_unpack(str_buf(&change), size + 1, NULL, &out), STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack(str_buf(&change), size - 1, NULL, &out), STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack((str_t){change.p, change.n / 2}, size, NULL, &out),
			 STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack(str_buf(&change), DELTA_SIZE_MAX + 1, NULL, &out),
			 STATUS_CORRUPT);
	for (unsigned i = 0; i < 4000; i++) {
		AUTO_BUF bad = {0};

		buf_add(&bad, str_buf(&change));
		for (unsigned k = 0; k <= dice(4); k++)
			bad.p[dice((unsigned)bad.n)] = (char)dice(256);
		if (delta_unpack(str_buf(&bad), size, NULL, &out) == STATUS_OK)
			route_table_free(out);
	}
}
END_TEST

/* The text as its operator sends it, ten times as long as a large one of today. */
START_TEST(decoding_takes_time_in_proportion_to_the_routes)
{
	AUTO_BUF text = {0};
	route_table_t *r = NULL;

	buf_add(&text,
		STR("{\"version\":7,\"services\":[{\"name\":\"s\"}],\"limits\":{},\"routes\":["));
	for (unsigned i = 0; i < 10 * MANY; i++)
		buf_addf(&text,
			 "%s{\"name\":\"r%u\",\"host\":\"h%u.example\",\"pathPrefix\":\"/x%u/\","
			 "\"kind\":\"safe\",\"timeoutMs\":5000,\"sloMs\":300,\"service\":\"s\"}",
			 i ? "," : "", i, i % 50, i);
	buf_add(&text, STR("]}"));
	ck_assert_int_eq(platform_config_decode(str_buf(&text), &r), STATUS_OK);
	ck_assert_uint_eq(r->nroutes, 10 * MANY);
	route_table_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("routes");
	TCase *t = tcase_create("all");
	TCase *quick = tcase_create("quick");

	tcase_add_test(t, the_index_matches_as_the_definition_does);
	tcase_add_test(t, a_change_leads_to_the_same_routes);
	tcase_add_test(t, a_change_takes_few_bytes);
	tcase_add_test(t, damaged_changes_are_told_from_sound_ones);
	suite_add_tcase(s, t);
	/* What grows with the square of the routes, or of a path, takes minutes. */
	tcase_set_timeout(quick, 8);
	tcase_add_test(quick, a_path_of_slashes_only_is_matched_quickly);
	tcase_add_test(quick, decoding_takes_time_in_proportion_to_the_routes);
	suite_add_tcase(s, quick);
	return suite_run(s);
}
