/* Tests of the route table (state/route_table.h) and of route deltas (client/delta.h). Guard
 * against a request that matches the wrong route, against tables that differ between processes
 * after a delta, and against work that grows with the square of the routes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "base/prng.h"
#include "client/delta.h"
#include "platform/platform.h"
#include "suite_kit.h"

/* Routes of a large config. */
#define ROUTES 2000

static uint64_t prng_state = 20261204;

static unsigned random_below(unsigned below)
{
	return (unsigned)(prng_next(&prng_state) % below);
}

static void init_route(route_spec_t *t, const char *host, const char *prefix, unsigned i)
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

static route_table_t *new_table(size_t nroutes_max, uint64_t version)
{
	route_table_t *r = route_table_new();

	r->version = version;
	r->limits = (route_client_limits_t){16384, 4194304, 3000, 15000};
	r->services = mem_new(sizeof(route_service_t));
	r->services[0] = (route_service_t){str_dup(STR("llm")), str_dup(STR("/health")), 8, 370, 0};
	r->nservices = 1;
	r->routes = mem_new((nroutes_max + 1) * sizeof(*r->routes));
	return r;
}

/* Makes a table of the routes `from` to from + n - 1, each with its own host. */
static route_table_t *new_numbered_table(unsigned from, unsigned n, uint64_t version)
{
	route_table_t *r = new_table(n, version);

	for (unsigned i = from; i < from + n; i++) {
		char host[48];
		char prefix[32];

		snprintf(host, sizeof(host), "host%x.example", i * 2654435761U);
		snprintf(prefix, sizeof(prefix), "/p%x/", i * 40503U);
		init_route(&r->routes[r->nroutes++], host, prefix, i);
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

/* The definition of a match: among the routes of the host, the one with the longest prefix of the
 * path. */
static const route_spec_t *match_by_definition(const route_table_t *r, const char *host,
					       const char *path)
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

/* Writes a path whose parts are `a` or `b`, so that many paths are prefixes of others. */
static void random_path(char *out, unsigned parts)
{
	size_t n = 0;

	out[n++] = '/';
	for (unsigned i = 0; i < parts; i++) {
		out[n++] = (char)('a' + random_below(2));
		out[n++] = '/';
	}
	out[n] = 0;
}

static void append_random_char(char *path)
{
	size_t n = strlen(path);

	path[n] = (char)('a' + random_below(2));
	path[n + 1] = 0;
}

START_TEST(the_index_matches_as_defined)
{
	static const char *const hosts[] = {"a.example", "B.Example", "b.example.org"};

	for (unsigned round = 0; round < 50; round++) {
		route_table_t *r = new_table(40, 1);
		char path[64];

		for (unsigned i = 0; i < 40; i++) {
			const char *host = hosts[random_below(3)];

			random_path(path, random_below(6));
			if (!match_by_definition(r, host, path) ||
			    strcmp(match_by_definition(r, host, path)->prefix, path) != 0)
				init_route(&r->routes[r->nroutes++], host, path, i);
		}
		ck_assert_int_eq(route_table_build(r), STATUS_OK);
		for (unsigned i = 0; i < 400; i++) {
			const char *host = hosts[random_below(3)];

			random_path(path, random_below(9));
			if (random_below(2))
				append_random_char(path);
			ck_assert_ptr_eq(route_table_match(r, str_c(host), str_c(path)),
					 match_by_definition(r, host, path));
		}
		route_table_free(r);
	}
}
END_TEST

/* Each slash ends a possible prefix: hashing each prefix anew would take time in proportion to the
 * square of the length. */
START_TEST(a_path_of_slashes_is_matched_quickly)
{
	AUTO_ROUTE_TABLE *r = new_numbered_table(0, ROUTES, 1);
	AUTO_BUF path = {0};

	for (unsigned i = 0; i < 16384; i++)
		buf_addc(&path, '/');
	for (unsigned i = 0; i < 20000; i++)
		ck_assert_ptr_null(route_table_match(r, str_c(r->routes[0].host), str_buf(&path)));
}
END_TEST

/* Returns the table that a receiver with the table `base` gets; *bytes: size of the delta. */
static route_table_t *pack_and_unpack(const route_table_t *base, const route_table_t *r,
				      size_t *bytes)
{
	AUTO_BUF delta = {0};
	uint32_t size = 0;
	route_table_t *out = NULL;

	ck_assert_int_eq(delta_pack(base, r, &delta, &size), STATUS_OK);
	ck_assert_int_eq(delta_unpack(str_buf(&delta), size, base, &out), STATUS_OK);
	*bytes = delta.n;
	return out;
}

START_TEST(a_delta_leads_to_the_same_routes)
{
	for (unsigned round = 0; round < 60; round++) {
		unsigned from = random_below(40);
		AUTO_ROUTE_TABLE *a =
			new_numbered_table(random_below(40), random_below(60), 1 + random_below(9));
		AUTO_ROUTE_TABLE *b =
			new_numbered_table(from, random_below(60), 10 + random_below(9));
		size_t bytes;

		for (size_t i = 0; i < b->nroutes; i++) {
			if (random_below(4) == 0)
				b->routes[i].timeout_ms = 1000 + random_below(3);
		}
		{
			AUTO_ROUTE_TABLE *from_nothing = pack_and_unpack(NULL, b, &bytes);
			AUTO_ROUTE_TABLE *from_base = pack_and_unpack(a, b, &bytes);

			ck_assert(same_routes(from_nothing, b));
			ck_assert(same_routes(from_base, b));
		}
	}
}
END_TEST

/* The leader sends tables of 2,000 routes to hundreds of entries: a whole table must fit into 64
 * KB, the delta of one route into one packet. */
START_TEST(a_delta_takes_few_bytes)
{
	AUTO_ROUTE_TABLE *a = new_numbered_table(0, ROUTES, 1);
	AUTO_ROUTE_TABLE *b = new_numbered_table(0, ROUTES, 2);
	AUTO_ROUTE_TABLE *got = NULL;
	size_t bytes;

	got = pack_and_unpack(NULL, a, &bytes);
	ck_assert_uint_le(bytes, 64 << 10);
	route_table_free(got);
	b->routes[7].timeout_ms = 4000;
	got = pack_and_unpack(a, b, &bytes);
	ck_assert(same_routes(got, b));
	ck_assert_uint_le(bytes, 1400);
}
END_TEST

/* Wrong sizes and truncated deltas must be refused. Deltas with random damage must not crash the
 * receiver. */
START_TEST(damaged_deltas_are_errors)
{
	AUTO_ROUTE_TABLE *a = new_numbered_table(0, 30, 1);
	AUTO_BUF delta = {0};
	uint32_t size = 0;
	route_table_t *out = NULL;

	ck_assert_int_eq(delta_pack(NULL, a, &delta, &size), STATUS_OK);
	ck_assert_int_eq(delta_unpack(str_buf(&delta), size + 1, NULL, &out), STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack(str_buf(&delta), size - 1, NULL, &out), STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack((str_t){delta.p, delta.n / 2}, size, NULL, &out),
			 STATUS_CORRUPT);
	ck_assert_int_eq(delta_unpack(str_buf(&delta), DELTA_SIZE_MAX + 1, NULL, &out),
			 STATUS_CORRUPT);
	for (unsigned i = 0; i < 4000; i++) {
		AUTO_BUF bad = {0};

		buf_add(&bad, str_buf(&delta));
		for (unsigned k = 0; k <= random_below(4); k++)
			bad.p[random_below((unsigned)bad.n)] = (char)random_below(256);
		if (delta_unpack(str_buf(&bad), size, NULL, &out) == STATUS_OK)
			route_table_free(out);
	}
}
END_TEST

/* A config in the platform's format with 20,000 routes, ten times a large one. */
START_TEST(decoding_a_config_takes_time_in_proportion_to_its_routes)
{
	AUTO_BUF text = {0};
	route_table_t *r = NULL;

	buf_add(&text,
		STR("{\"version\":7,\"services\":[{\"name\":\"s\"}],\"limits\":{},\"routes\":["));
	for (unsigned i = 0; i < 10 * ROUTES; i++)
		buf_addf(&text,
			 "%s{\"name\":\"r%u\",\"host\":\"h%u.example\",\"pathPrefix\":\"/x%u/\","
			 "\"kind\":\"safe\",\"timeoutMs\":5000,\"sloMs\":300,\"service\":\"s\"}",
			 i ? "," : "", i, i % 50, i);
	buf_add(&text, STR("]}"));
	ck_assert_int_eq(platform_config_decode(str_buf(&text), &r), STATUS_OK);
	ck_assert_uint_eq(r->nroutes, 10 * ROUTES);
	route_table_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("routes");
	TCase *t = tcase_create("all");
	TCase *timed = tcase_create("timed");

	tcase_add_test(t, the_index_matches_as_defined);
	tcase_add_test(t, a_delta_leads_to_the_same_routes);
	tcase_add_test(t, a_delta_takes_few_bytes);
	tcase_add_test(t, damaged_deltas_are_errors);
	suite_add_tcase(s, t);
	/* Work that grows with the square of the routes, or of a path's length, takes minutes. */
	tcase_set_timeout(timed, 8);
	tcase_add_test(timed, a_path_of_slashes_is_matched_quickly);
	tcase_add_test(timed, decoding_a_config_takes_time_in_proportion_to_its_routes);
	suite_add_tcase(s, timed);
	return suite_run(s);
}
