/* Tests of the platform's formats (platform/platform.h): bytes decoded into typed values, and
 * values encoded. Guard against a format that is misread, and against a truncated config or lot
 * that is used as if it were whole. */
#include <stdlib.h>
#include <string.h>
#include "platform/platform.h"
#include <jansson.h>
#include "suite_kit.h"

static const char config_json[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\",\"kind\":\"stream\","
	"\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"split\":[{\"service\":\"s\",\"weight\":"
	"90},"
	"{\"service\":\"t\",\"weight\":10}],\"attempts\":2,\"sticky\":true,\"resumable\":true,"
	"\"gapTargetMs\":400},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/x/y/\",\"kind\":\"batch\","
	"\"timeoutMs\":15000,\"sloMs\":400,\"service\":\"s\",\"attempts\":3,\"dueMs\":18000,"
	"\"retentionS\":60,\"maxQueued\":2500000}],"
	"\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":370,"
	"\"engine\":{\"slots\":8,\"maxQueued\":12,\"kvCapacity\":4096}},{\"name\":\"t\","
	"\"healthPath\":\"/h\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

/* Appends config_json with the first occurrence of a text replaced. */
static void replace_in_config(buf_t *b, const char *old, const char *new_text)
{
	const char *at = strstr(config_json, old);

	ck_assert_ptr_nonnull(at);
	buf_add(b, (str_t){config_json, (size_t)(at - config_json)});
	buf_add(b, str_c(new_text));
	buf_add(b, str_c(at + strlen(old)));
}

static status_t decode_config_with(const char *old, const char *new_text)
{
	AUTO_BUF b = {0};
	route_table_t *r = NULL;
	status_t st;

	replace_in_config(&b, old, new_text);
	st = platform_config_decode(str_buf(&b), &r);
	ck_assert(st == STATUS_OK || r == NULL);
	route_table_free(r);
	return st;
}

START_TEST(a_config_is_decoded)
{
	AUTO_ROUTE_TABLE *r = NULL;
	const route_spec_t *one;

	ck_assert_int_eq(platform_config_decode(str_c(config_json), &r), STATUS_OK);
	ck_assert_uint_eq(r->version, 7);
	ck_assert_uint_eq(r->nroutes, 2);
	one = &r->routes[0];
	ck_assert_int_eq(one->kind, ROUTE_STREAM);
	ck_assert_int_eq(one->timeout_ms, 5000);
	ck_assert_int_eq(one->objective_ms, 300);
	ck_assert_int_eq(one->pause_ms, 400);
	ck_assert_int_eq(one->give_up_ms, 8 * 400);
	ck_assert_int_eq(one->attempts, 2);
	ck_assert(one->resumable);
	ck_assert_uint_eq(one->nshares, 2);
	ck_assert_int_eq(one->shares[1].weight, 10);
	ck_assert_int_eq(r->routes[1].kind, ROUTE_BATCH);
	ck_assert_int_eq(r->routes[1].give_up_ms, 0);
	ck_assert_int_eq(r->routes[1].waiting_tokens_max, 2500000);
	ck_assert_int_eq(r->routes[1].retention_ms, 60000);
	ck_assert_int_eq(r->routes[1].due_ms, 18000);
	ck_assert_int_eq(route_table_service(r, STR("s"))->slots, 8);
	ck_assert_int_eq(route_table_service(r, STR("s"))->memory_tokens, 4096);
	ck_assert_int_eq(route_table_service(r, STR("t"))->memory_tokens, 0);
	ck_assert_int_eq(r->limits.body_bytes, 4194304);
}
END_TEST

/* The longest of 2 s, four times the objective and eight times the gap target applies. */
START_TEST(the_give_up_time_follows_from_objective_and_gap_target)
{
	static const struct {
		const char *was, *is;
		int64_t give_up_ms;
	} cases[] = {
		{"\"gapTargetMs\":400", "\"gapTargetMs\":500", 4000},
		{"\"gapTargetMs\":400", "\"gapTargetMs\":100", 2000},
		{"\"sloMs\":300", "\"sloMs\":1000", 4000},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		AUTO_BUF b = {0};
		AUTO_ROUTE_TABLE *r = NULL;

		replace_in_config(&b, cases[i].was, cases[i].is);
		ck_assert_int_eq(platform_config_decode(str_buf(&b), &r), STATUS_OK);
		ck_assert_int_eq(r->routes[0].give_up_ms, cases[i].give_up_ms);
	}
}
END_TEST

START_TEST(an_invalid_config_is_refused)
{
	ck_assert_int_eq(decode_config_with("\"version\":7", "\"version\":7"), STATUS_OK);
	ck_assert_int_eq(decode_config_with("\"version\":7", "\"version\":\"7\""), STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"version\":7,", ""), STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"service\":\"s\",\"attempts\"",
					    "\"service\":\"nobody\",\"attempts\""),
			 STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("/x/y/", "/x/"), STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("/x/y/", "x/y/"), STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"timeoutMs\":5000", "\"timeoutMs\":0"),
			 STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"weight\":90", "\"weight\":-10"), STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"weight\":90},{\"service\":\"t\",\"weight\":10",
					    "\"weight\":0},{\"service\":\"t\",\"weight\":0"),
			 STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"kind\":\"stream\"", "\"kind\":\"strm\""),
			 STATUS_INVALID);
	ck_assert_int_eq(decode_config_with("\"routes\":[", "\"routes\":[7,"), STATUS_INVALID);
}
END_TEST

/* Beyond 64 bits, the value would depend on the machine, and products would overflow. */
START_TEST(a_number_of_a_config_that_is_too_large_counts_as_the_largest)
{
	static const char *const numbers[] = {"1e300", "9223372036854775807", "1e15"};

	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		static const char *const keys[] = {"sloMs\":300", "gapTargetMs\":400",
						   "retentionS\":60", "timeoutMs\":5000"};
		route_table_t *r[4] = {NULL};

		for (size_t k = 0; k < 4; k++) {
			AUTO_BUF b = {0};
			AUTO_BUF is = {0};

			buf_add(&is,
				(str_t){keys[k], (size_t)(strchr(keys[k], ':') - keys[k]) + 1});
			buf_add(&is, str_c(numbers[i]));
			replace_in_config(&b, keys[k], is.p);
			ck_assert_int_eq(platform_config_decode(str_buf(&b), &r[k]), STATUS_OK);
		}
		ck_assert_int_eq(r[0]->routes[0].give_up_ms, 4000000000000000);
		ck_assert_int_eq(r[1]->routes[0].give_up_ms, 8000000000000000);
		ck_assert_int_eq(r[2]->routes[1].retention_ms, 1000000000000000000);
		ck_assert_int_eq(r[3]->routes[0].timeout_ms, 1000000000000000);
		for (size_t k = 0; k < 4; k++)
			route_table_free(r[k]);
	}
}
END_TEST

/* A config of which only a part arrived would remove routes. */
START_TEST(a_truncated_config_is_refused)
{
	route_table_t *r = NULL;

	for (size_t n = 0; n + 1 < sizeof(config_json) - 1; n++)
		ck_assert_int_eq(platform_config_decode((str_t){config_json, n}, &r),
				 STATUS_INVALID);
}
END_TEST

START_TEST(routes_match_by_host_and_longest_prefix)
{
	AUTO_ROUTE_TABLE *r = NULL;
	unsigned other = 0;

	platform_config_decode(str_c(config_json), &r);
	ck_assert_str_eq(route_table_match(r, STR("a.example"), STR("/x/1"))->name, "r1");
	ck_assert_str_eq(route_table_match(r, STR("A.Example:80"), STR("/x/y/1"))->name, "r2");
	ck_assert_str_eq(route_table_match(r, STR("a.example"), STR("/x/y"))->name, "r1");
	ck_assert_ptr_null(route_table_match(r, STR("b.example"), STR("/x/1")));
	ck_assert_ptr_null(route_table_match(r, STR("a.example"), STR("/z/x/1")));
	for (uint64_t i = 0; i < 1000; i++)
		other += strcmp(route_pick_service(&r->routes[0], i), "t") == 0;
	ck_assert_uint_eq(other, 100);
}
END_TEST

/* One bad entry must not hide all other replicas. A page that is no JSON is an error and adds
 * nothing. */
START_TEST(list_entries_that_cannot_be_decoded_are_skipped)
{
	static const char page[] =
		"{\"instances\":["
		"{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\",\"slots\":8,"
		"\"state\":\"ready\",\"id\":\"i-1\",\"born\":3},"
		"{\"service\":\"s\",\"addr\":\"10.0.0.8:8080\",\"zone\":\"a\",\"slots\":8,"
		"\"state\":\"draining\",\"id\":\"i-2\"},"
		"{\"service\":\"s\",\"addr\":\"10.0.0.7:8080\",\"zone\":\"a\",\"slots\":\"8\","
		"\"state\":\"ready\",\"id\":\"i-3\"},"
		"{\"service\":\"s\",\"addr\":\"10.0.0.7:8080\",\"zone\":\"a\",\"slots\":8,"
		"\"state\":\"odd\",\"id\":\"i-4\"},"
		"{\"addr\":\"10.0.0.7:8080\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\","
		"\"id\":\"i-5\"},"
		"[1],null,7],\"nextToken\":\"p-50\"}";
	link_view_t v = {0};
	AUTO_BUF cursor = {0};
	unsigned skipped;

	ck_assert_int_eq(platform_list_decode(str_c(page), &v, &cursor, &skipped), STATUS_OK);
	ck_assert_uint_eq(v.upstreams.upstreams_len, 2);
	ck_assert_uint_eq(skipped, 6);
	ck_assert(!v.upstreams.upstreams_val[0].leaving);
	ck_assert_uint_eq(v.upstreams.upstreams_val[0].slots, 8);
	ck_assert(v.upstreams.upstreams_val[1].leaving);
	ck_assert(str_eq(str_buf(&cursor), STR("p-50")));
	ck_assert_int_eq(platform_list_decode(STR("{\"instances\":[],\"nextToken\":null}"), &v,
					      &cursor, &skipped),
			 STATUS_OK);
	ck_assert_uint_eq(cursor.n, 0);
	ck_assert_uint_eq(skipped, 0);
	ck_assert_int_eq(platform_list_decode(STR("nonsense"), &v, &cursor, &skipped),
			 STATUS_INVALID);
	ck_assert_uint_eq(v.upstreams.upstreams_len, 2);
	wire_free(XDR_PROC(link_view_t), &v);
}
END_TEST

#define SOUND_ENTRY(id)                                                                            \
	"{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"a\",\"slots\":8,"                \
	"\"state\":\"ready\",\"models\":[{\"name\":\"[{\\\"]\"}],\"id\":\"" id "\"}"
#define ODD_ENTRY_WITH(member)                                                                     \
	"{\"id\":\"i-9\",\"service\":\"s\",\"addr\":\"10.0.0.7:8080\",\"zone\":\"a\",\"slots\":8," \
	"\"state\":\"ready\"," member "}"

/* Entries that make a reader of the whole page fail, or that are of another type. */
static const char *const odd_entries[] = {
	ODD_ENTRY_WITH("\"x\":99999999999999999999"),
	ODD_ENTRY_WITH("\"x\":-99999999999999999999"),
	ODD_ENTRY_WITH("\"x\":1e999"),
	ODD_ENTRY_WITH("\"x\":01"),
	ODD_ENTRY_WITH("\"x\":NaN"),
	ODD_ENTRY_WITH("\"x\":\"\\u0000\""),
	ODD_ENTRY_WITH("\"x\":\"\\ud800\""),
	ODD_ENTRY_WITH("\"x\":\"\\q\""),
	ODD_ENTRY_WITH("\"x\":\"\xff\xfe\""),
	ODD_ENTRY_WITH("\"x\":\"\x01\n\""),
	ODD_ENTRY_WITH("\"x\""),
	ODD_ENTRY_WITH("\"x\":[1}"),
	ODD_ENTRY_WITH("\"slots\":4294967304"),
	ODD_ENTRY_WITH("\"slots\":-1"),
	ODD_ENTRY_WITH("\"slots\":8.0"),
	ODD_ENTRY_WITH("\"born\":-1"),
	ODD_ENTRY_WITH("\"born\":1.5"),
	ODD_ENTRY_WITH("\"born\":\"1\""),
	ODD_ENTRY_WITH("\"id\":7"),
	"[[{}]]",
	"\"{\"",
	"1e5",
	"nul",
	/* unbalanced */
	ODD_ENTRY_WITH("\"x\":\"y"),
	ODD_ENTRY_WITH("\"x\":{"),
	ODD_ENTRY_WITH("\"x\":[[[{}"),
	ODD_ENTRY_WITH("\"x\":1}"),
	ODD_ENTRY_WITH("\"x\":1]}]"),
	ODD_ENTRY_WITH("\"x\":\"y\\\""),
	"[1",
	"[[]",
	"{\"id\":\"i-9",
	"{\"id\":\"i-9\\",
	"{",
	"]",
	"}",
	"\"",
	"\\",
	"",
};

/* Decodes a page with two sound entries on each side of these bytes. */
static void check_page_with(str_t odd)
{
	AUTO_BUF page = {0};
	AUTO_BUF cursor = {0};
	AUTO_BUF ids = {0};
	link_view_t v = {0};
	unsigned skipped;

	buf_add(&page, STR("{\"instances\": [" SOUND_ENTRY("i-1") " , " SOUND_ENTRY("i-2") ","));
	buf_add(&page, odd);
	buf_add(&page, STR(", " SOUND_ENTRY("i-3") "," SOUND_ENTRY("i-4") " ] ,\n\"nextToken\" : "
									  "\"p-50\"} "));
	ck_assert_msg(platform_list_decode(str_buf(&page), &v, &cursor, &skipped) == STATUS_OK,
		      "%.80s: %s", odd.p, status_message());
	for (u_int i = 0; i < v.upstreams.upstreams_len; i++) {
		buf_add(&ids, STR(" "));
		buf_add(&ids, wire_str(v.upstreams.upstreams_val[i].id));
	}
	ck_assert_msg(v.upstreams.upstreams_len == 4 && str_find(str_buf(&ids), STR("i-9")) < 0 &&
			      skipped > 0,
		      "%.80s:%s, %u skipped", odd.p, ids.p, skipped);
	for (const char *const *id = (const char *const[]){"i-1", "i-2", "i-3", "i-4", NULL}; *id;
	     id++)
		ck_assert_msg(str_find(str_buf(&ids), str_c(*id)) >= 0, "%.80s:%s", odd.p, ids.p);
	ck_assert(str_eq(str_buf(&cursor), STR("p-50")));
	wire_free(XDR_PROC(link_view_t), &v);
}

START_TEST(an_odd_entry_of_the_list_costs_no_other_replica)
{
	check_page_with(str_c(odd_entries[_i]));
}
END_TEST

/* Nested too deeply for a recursive reader, closed or not. */
START_TEST(a_deeply_nested_entry_costs_no_other_replica)
{
	static const char *const brackets[] = {"[", "]", "{\"a\":", "}", "[{\"a\":", "}]"};

	for (size_t i = 0; i < sizeof(brackets) / sizeof(brackets[0]); i += 2) {
		for (size_t closed = 0; closed <= 1; closed++) {
			AUTO_BUF b = {0};

			buf_add(&b, STR("{\"id\":\"i-9\",\"x\":"));
			for (unsigned k = 0; k < 300000; k++)
				buf_add(&b, str_c(brackets[i]));
			buf_addc(&b, '1');
			for (unsigned k = 0; k < 300000 && closed; k++)
				buf_add(&b, str_c(brackets[i + 1]));
			buf_addc(&b, '}');
			check_page_with(str_buf(&b));
		}
	}
}
END_TEST

/* Replicas that a cut page leaves out would count as gone. */
START_TEST(a_cut_page_of_the_list_is_refused)
{
	static const char *const pages[] = {
		"{\"instances\":[" SOUND_ENTRY("i-1") "," SOUND_ENTRY(
			"i-2") "],\"nextToken\":null}",
		"{\"instances\":[{\"x\":[}," SOUND_ENTRY("i-2") "],\"nextToken\":null}",
		"{\"instances\":[" SOUND_ENTRY("i-1") ",{\"x\":[]],\"nextToken\":null}",
		"{\"nextToken\":null,\"instances\":[" SOUND_ENTRY("i-1") "," SOUND_ENTRY(
			"i-2") "]}"};

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		for (size_t n = 0; n < strlen(pages[i]); n++) {
			link_view_t v = {0};
			AUTO_BUF cursor = {0};
			unsigned skipped;

			ck_assert_msg(platform_list_decode((str_t){pages[i], n}, &v, &cursor,
							   &skipped) == STATUS_INVALID,
				      "%.*s", (int)n, pages[i]);
			ck_assert_uint_eq(v.upstreams.upstreams_len, 0);
			wire_free(XDR_PROC(link_view_t), &v);
		}
	}
}
END_TEST

START_TEST(a_page_without_a_list_or_with_an_odd_token_is_refused)
{
	static const char *const pages[] = {
		"{\"instances\":{},\"nextToken\":null}",
		"{\"instances\":null,\"nextToken\":null}",
		"{\"instances\":\"[]\",\"nextToken\":null}",
		"{\"entries\":[],\"nextToken\":null}",
		"{\"instances\":[" SOUND_ENTRY("i-1") "],\"nextToken\":7}",
		"{\"instances\":[" SOUND_ENTRY("i-1") "],\"nextToken\":[\"p\"]}",
		"{\"instances\":[" SOUND_ENTRY("i-1") "],\"nextToken\":99999999999999999999}",
		"{\"instances\":[" SOUND_ENTRY("i-1") "],\"nextToken\":\"\\u0000\"}",
		"[" SOUND_ENTRY("i-1") "]",
		"{}",
		"",
		"null"};

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		link_view_t v = {0};
		AUTO_BUF cursor = {0};
		unsigned skipped;

		ck_assert_msg(platform_list_decode(str_c(pages[i]), &v, &cursor, &skipped) ==
				      STATUS_INVALID,
			      "%s", pages[i]);
		ck_assert_uint_eq(v.upstreams.upstreams_len, 0);
		wire_free(XDR_PROC(link_view_t), &v);
	}
}
END_TEST

START_TEST(a_token_ends_no_header_of_the_request_for_a_page)
{
	AUTO_BUF b = {0};

	platform_list_request(&b, STR("h"), STR("p-50"));
	ck_assert_str_eq(b.p, "GET /instances?pageToken=p-50 HTTP/1.1\r\nHost: h\r\n\r\n");
	b.n = 0;
	platform_list_request(&b, STR("h"), STR("a b\r\nX: &%"));
	ck_assert_str_eq(b.p, "GET /instances?pageToken=a%20b%0D%0AX%3A%20%26%25 HTTP/1.1\r\n"
			      "Host: h\r\n\r\n");
}
END_TEST

static http_head_t make_head(const char *method, const char *target, const http_header_t *headers,
			     size_t n)
{
	return (http_head_t){.method = str_c(method),
			     .target = str_c(target),
			     .headers = headers,
			     .nheaders = n};
}

START_TEST(a_request_is_decoded)
{
	const http_header_t v[] = {{STR("host"), STR("a.example")},
				   {STR("request-id"), STR("9c41")},
				   {STR("Deadline-Ms"), STR("5000")},
				   {STR("Last-Event-Id"), STR("12")},
				   {STR("Prompt-Prefix"), STR("5c:800,91:410,e4:250")}};
	http_head_t h = make_head("POST", "/x/1?q=2", v, 5);
	platform_call_t c;
	prompt_parts_t parts;
	uint64_t shared;

	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
	ck_assert_int_eq(c.kind, PLATFORM_CALL_REQUEST);
	ck_assert(str_eq(c.path, STR("/x/1")));
	ck_assert(str_eq(c.id, STR("9c41")));
	ck_assert_int_eq(c.timeout_ms, 5000);
	ck_assert_int_eq(c.last_event_id, 12);
	shared = c.prefix_hash;
	ck_assert_uint_ne(shared, 0);
	ck_assert_uint_eq(c.prompt.n, 2);
	ck_assert_uint_eq(c.prompt.v[0], str_hash(STR("5c")));
	ck_assert_uint_eq(c.prompt.v[1], str_hash(STR("91")));
	platform_item_prompt_decode(
		STR("Model: m\r\nprompt-prefix: 5c:800, 91:410,e4:250\r\nX: 1,2\r\n"), &parts);
	ck_assert_uint_eq(parts.n, 2);
	ck_assert_mem_eq(parts.v, c.prompt.v, 2 * sizeof(parts.v[0]));
	platform_item_prompt_decode(STR("Model: m\r\nPrompt-Prefix: 5c:800"), &parts);
	ck_assert_uint_eq(parts.n, 0);
	h.headers = (const http_header_t[]){{STR("Prompt-Prefix"), STR("5c:800,91:410,ff:1")}};
	h.nheaders = 1;
	platform_call_decode(&h, &c);
	ck_assert_uint_eq(c.prefix_hash, shared);
	ck_assert_int_eq(c.timeout_ms, -1);
}
END_TEST

START_TEST(a_header_that_is_not_a_number_is_refused)
{
	const http_header_t v[] = {{STR("Deadline-Ms"), STR("soon")}};
	http_head_t h = make_head("POST", "/x/1", v, 1);
	platform_call_t c;

	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_INVALID);
}
END_TEST

START_TEST(calls_on_lots_are_decoded)
{
	const http_header_t v[] = {{STR("Wait-Ms"), STR("1000")}};
	http_head_t h = make_head("GET", "/lots/7c41?after=12", v, 1);
	platform_call_t c;

	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
	ck_assert_int_eq(c.kind, PLATFORM_CALL_LOT_READ);
	ck_assert(str_eq(c.id, STR("7c41")));
	ck_assert_int_eq(c.after, 12);
	ck_assert_int_eq(c.timeout_ms, 1000);
	h = make_head("GET", "/items/7c41?id=e5", NULL, 0);
	platform_call_decode(&h, &c);
	ck_assert_int_eq(c.kind, PLATFORM_CALL_ITEM_BODY);
	ck_assert(str_eq(c.item, STR("e5")));
	h = make_head("DELETE", "/lots/7c41", NULL, 0);
	platform_call_decode(&h, &c);
	ck_assert_int_eq(c.kind, PLATFORM_CALL_LOT_END);
	h = make_head("GET", "/lots/7c41?after=x", NULL, 0);
	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_INVALID);
	h = make_head("GET", "/ready", NULL, 0);
	platform_call_decode(&h, &c);
	ck_assert_int_eq(c.kind, PLATFORM_CALL_READY);
}
END_TEST

/* Headers of the connection, and those that this process sets itself, must not be passed on from
 * the client. */
START_TEST(a_request_that_is_handed_over_keeps_its_credentials_and_is_marked_once)
{
	const http_header_t v[] = {
		{STR("Host"), STR("a.example")},    {STR("Authorization"), STR("Bearer k")},
		{STR("Auburn-Hop"), STR("forged")}, {STR("Transfer-Encoding"), STR("chunked")},
		{STR("Deadline-Ms"), STR("5000")},  {STR("Last-Event-Id"), STR("3")}};
	http_head_t h = make_head("POST", "/x/1?q=2", v, 6);
	AUTO_BUF b = {0};
	AUTO_BUF to_replica = {0};
	platform_send_t s = {.replica = STR("i-7"), .caller_timeout_ms = 1200};

	platform_hop_encode(&b, &h, STR("body"), 1200);
	ck_assert_str_eq(b.p, "POST /x/1?q=2 HTTP/1.1\r\nHost: a.example\r\n"
			      "Authorization: Bearer k\r\nLast-Event-Id: 3\r\nDeadline-Ms: 1200\r\n"
			      "Auburn-Hop: 1\r\nContent-Length: 4\r\n\r\nbody");
	platform_request_encode(&to_replica, &h, STR("body"), &s);
	ck_assert_int_lt(str_find(str_buf(&to_replica), STR("Auburn-Hop")), 0);
}
END_TEST

START_TEST(a_request_to_a_replica_keeps_the_end_to_end_headers)
{
	const http_header_t v[] = {{STR("Host"), STR("a.example")},
				   {STR("Request-Id"), STR("9c41")},
				   {STR("Connection"), STR("keep-alive, X-Hop")},
				   {STR("X-Hop"), STR("1")},
				   {STR("Transfer-Encoding"), STR("chunked")},
				   {STR("Content-Length"), STR("99")},
				   {STR("Deadline-Ms"), STR("5000")},
				   {STR("Expect-Instance"), STR("forged")},
				   {STR("Last-Event-Id"), STR("1")},
				   {STR("Model"), STR("m")}};
	http_head_t h = make_head("POST", "/x/1?q=2", v, 10);
	AUTO_BUF b = {0};
	platform_send_t s = {.replica = STR("i-7"), .caller_timeout_ms = 1200, .last_event_id = 12};

	platform_request_encode(&b, &h, STR("body"), &s);
	ck_assert_str_eq(b.p, "POST /x/1?q=2 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 9c41\r\n"
			      "Model: m\r\nDeadline-Ms: 1200\r\nExpect-Instance: i-7\r\n"
			      "Last-Event-Id: 12\r\nContent-Length: 4\r\n\r\nbody");
}
END_TEST

START_TEST(an_item_is_sent_as_a_request)
{
	link_item_run_t it = {.id = wire_bytes(STR("e5")),
			      .host = wire_bytes(STR("a.example")),
			      .path = wire_bytes(STR("/x/y/1")),
			      .headers = wire_bytes(STR("Model: m\r\n")),
			      .body = wire_bytes(STR("abc"))};
	AUTO_BUF b = {0};
	platform_send_t s = {.replica = STR("i-7"), .caller_timeout_ms = 60000};

	platform_item_encode(&b, &it, &s);
	ck_assert_str_eq(b.p, "POST /x/y/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: e5\r\n"
			      "Model: m\r\nDeadline-Ms: 60000\r\nExpect-Instance: i-7\r\n"
			      "Content-Length: 3\r\n\r\nabc");
}
END_TEST

/* Only a request that surely did not run is sent to another replica in any case. */
START_TEST(a_reply_says_whether_the_request_ran)
{
	const http_header_t ok[] = {{STR("Request-Id"), STR("9c")},
				    {STR("Signature"), STR("3e")},
				    {STR("Content-Type"), STR("text/event-stream; charset=utf-8")}};
	const http_header_t rejected[] = {{STR("Not-Run"), STR("1")}};
	http_head_t h = {.status = 200, .headers = ok, .nheaders = 3};
	platform_reply_t r;

	platform_reply_decode(&h, &r);
	ck_assert(r.has_signature && r.event_stream && !r.not_run);
	ck_assert(str_eq(r.id, STR("9c")));
	h = (http_head_t){.status = 503, .headers = rejected, .nheaders = 1};
	platform_reply_decode(&h, &r);
	ck_assert(r.not_run && !r.other_replica && !r.has_signature);
	h = (http_head_t){.status = 421};
	platform_reply_decode(&h, &r);
	ck_assert(r.not_run && r.other_replica);
	h = (http_head_t){.status = 503};
	platform_reply_decode(&h, &r);
	ck_assert(!r.not_run);
}
END_TEST

START_TEST(a_lot_is_decoded)
{
	static const char lot[] =
		"{\"items\":[{\"id\":\"e5\",\"path\":\"/x/y/3\",\"headers\":{\"Model\":\"m\","
		"\"Token-Usage\":\"540,400\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940}]}";
	wire_lot_open_t o = {0};
	const wire_lot_item_t *it;

	ck_assert_int_eq(platform_lot_decode(str_c(lot), &o), STATUS_OK);
	ck_assert_uint_eq(o.items.items_len, 1);
	it = &o.items.items_val[0];
	ck_assert(str_eq(wire_str(it->headers), STR("Model: m\r\nToken-Usage: 540,400\r\n")));
	ck_assert_uint_eq(it->body.wire_bytes_t_len, 8);
	ck_assert_uint_eq((unsigned char)it->body.wire_bytes_t_val[0], 0xab);
	ck_assert_uint_eq(it->tokens, 940);
	wire_free(XDR_PROC(wire_lot_open_t), &o);
	for (size_t n = 0; n < sizeof(lot) - 1; n++) {
		o = (wire_lot_open_t){0};
		ck_assert_int_eq(platform_lot_decode((str_t){lot, n}, &o), STATUS_INVALID);
		wire_free(XDR_PROC(wire_lot_open_t), &o);
	}
}
END_TEST

START_TEST(an_invalid_lot_is_refused)
{
	static const char two_lines[] = "{\"items\":[{\"id\":\"a\",\"path\":\"/a\",\"tokens\":1,"
					"\"headers\":{\"A\":\"b\\nC: d\"}}]}";
	const char *const bad[] = {
		"{\"items\":[]}",
		"{\"items\":{}}",
		"{\"items\":[7]}",
		"{\"items\":[{\"id\":\"\",\"path\":\"/a\",\"tokens\":1}]}",
		"{\"items\":[{\"id\":\"a\",\"path\":\"a\",\"tokens\":1}]}",
		"{\"items\":[{\"id\":\"a\",\"path\":\"/a b\",\"tokens\":1}]}",
		"{\"items\":[{\"id\":\"a\",\"path\":\"/a\",\"tokens\":-1}]}",
		"{\"items\":[{\"id\":\"a\",\"path\":\"/a\",\"tokens\":1,\"body\":\"!\"}]}",
		two_lines,
	};

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		wire_lot_open_t o = {0};

		ck_assert_int_eq(platform_lot_decode(str_c(bad[i]), &o), STATUS_INVALID);
		wire_free(XDR_PROC(wire_lot_open_t), &o);
	}
}
END_TEST

START_TEST(the_results_of_a_lot_are_encoded)
{
	link_result_t v[] = {{wire_bytes(STR("e5")), false, wire_bytes(STR("a\nb\"c"))},
			     {wire_bytes(STR("e6")), true, wire_bytes(STR(""))}};
	link_reply_t r = {.total = 40, .results = {2, v}};
	AUTO_BUF b = {0};

	platform_lot_results_encode(&b, &r, 12);
	ck_assert_str_eq(
		b.p, "{\"total\":40,\"nextToken\":14,\"results\":[{\"id\":\"e5\",\"state\":"
		     "\"completed\",\"output\":\"a\\nb\\\"c\"},{\"id\":\"e6\",\"state\":\"dead\","
		     "\"output\":\"\"}]}");
}
END_TEST

/* Guards against a lot whose results can't be read at all because of a wrong byte in one of them.
 */
START_TEST(results_are_json_whatever_the_bytes_of_a_text)
{
	link_result_t v[2] = {{wire_bytes(STR("e5")), false,
			       wire_bytes(STR("a\xff"
					      "b"))},
			      {wire_bytes(STR("e6")), false, wire_bytes(STR("sound"))}};
	link_reply_t r = {.total = 2, .results = {2, v}};
	AUTO_BUF b = {0};
	json_t *root;

	platform_lot_results_encode(&b, &r, 0);
	root = json_loadb(b.p, b.n, 0, NULL);
	ck_assert_ptr_nonnull(root);
	ck_assert_uint_eq(json_array_size(json_object_get(root, "results")), 2);
	json_decref(root);
}
END_TEST

START_TEST(operators_calls_are_decoded)
{
	static const struct {
		const char *method;
		const char *target;
		platform_op_kind_t kind;
		const char *node;
	} calls[] = {
		{"POST", "/config/put", PLATFORM_OP_CONFIG_PUT, NULL},
		{"GET", "/config/get", PLATFORM_OP_CONFIG_GET, NULL},
		{"GET", "/config/put", PLATFORM_OP_OTHER, NULL},
		{"POST", "/retire/store-a-1/start", PLATFORM_OP_RETIRE, "store-a-1"},
		{"GET", "/retire/store-a-1/get", PLATFORM_OP_RETIRE_STATUS, "store-a-1"},
		{"POST", "/retire//start", PLATFORM_OP_OTHER, NULL},
		{"GET", "/resolve?name=n&zone=za", PLATFORM_OP_ADDRESSES, NULL},
	};

	for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
		http_head_t h = make_head(calls[i].method, calls[i].target, NULL, 0);
		platform_op_t op;

		platform_op_decode(&h, &op);
		ck_assert_int_eq(op.kind, calls[i].kind);
		if (calls[i].node)
			ck_assert(str_eq(op.node, str_c(calls[i].node)));
	}
}
END_TEST

START_TEST(operators_replies_are_encoded)
{
	const str_t addrs[] = {STR("10.1.0.13:8161"), STR("10.1.0.14:8161")};
	AUTO_BUF b = {0};

	platform_addresses_encode(&b, addrs, 2, 2500);
	ck_assert_str_eq(b.p,
			 "{\"addresses\":[\"10.1.0.13:8161\",\"10.1.0.14:8161\"],\"ttlS\":2.5}");
	b.n = 0;
	platform_retire_status_encode(&b, true);
	ck_assert_str_eq(b.p, "{\"state\":\"completed\"}");
	b.n = 0;
	platform_add_retry_after(&b, 1205);
	ck_assert_str_eq(b.p, "Retry-After: 1.205\r\n");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *t = tcase_create("all");

	tcase_add_test(t, a_config_is_decoded);
	tcase_add_test(t, the_give_up_time_follows_from_objective_and_gap_target);
	tcase_add_test(t, an_invalid_config_is_refused);
	tcase_add_test(t, a_number_of_a_config_that_is_too_large_counts_as_the_largest);
	tcase_add_test(t, a_truncated_config_is_refused);
	tcase_add_test(t, routes_match_by_host_and_longest_prefix);
	tcase_add_test(t, list_entries_that_cannot_be_decoded_are_skipped);
	tcase_add_loop_test(t, an_odd_entry_of_the_list_costs_no_other_replica, 0,
			    sizeof(odd_entries) / sizeof(odd_entries[0]));
	tcase_add_test(t, a_deeply_nested_entry_costs_no_other_replica);
	tcase_add_test(t, a_cut_page_of_the_list_is_refused);
	tcase_add_test(t, a_page_without_a_list_or_with_an_odd_token_is_refused);
	tcase_add_test(t, a_token_ends_no_header_of_the_request_for_a_page);
	tcase_add_test(t, a_request_is_decoded);
	tcase_add_test(t, a_header_that_is_not_a_number_is_refused);
	tcase_add_test(t, calls_on_lots_are_decoded);
	tcase_add_test(t, a_request_that_is_handed_over_keeps_its_credentials_and_is_marked_once);
	tcase_add_test(t, a_request_to_a_replica_keeps_the_end_to_end_headers);
	tcase_add_test(t, an_item_is_sent_as_a_request);
	tcase_add_test(t, a_reply_says_whether_the_request_ran);
	tcase_add_test(t, a_lot_is_decoded);
	tcase_add_test(t, an_invalid_lot_is_refused);
	tcase_add_test(t, the_results_of_a_lot_are_encoded);
	tcase_add_test(t, results_are_json_whatever_the_bytes_of_a_text);
	tcase_add_test(t, operators_calls_are_decoded);
	tcase_add_test(t, operators_replies_are_encoded);
	suite_add_tcase(s, t);
	return suite_run(s);
}
