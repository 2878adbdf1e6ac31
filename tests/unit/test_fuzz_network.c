/* Fuzz tests of the decoders that read bytes from other processes: HTTP heads and bodies,
 * server-sent events, the platform's lists, lots and configs, and link messages between entries and
 * the leader; and of the encoder that puts such bytes into JSON. Guard against a crash, a memory
 * error or an endless loop on damaged input, and against JSON that nobody can read.
 * AUBURN_FUZZ_MS: how long each decoder is fed, in ms. AUBURN_FUZZ_SEED: another seed. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <jansson.h>
#include "base/clock.h"
#include "base/utf8.h"
#include "client/routes_decode.h"
#include "fuzz_kit.h"
#include "net/sse.h"
#include "platform/platform.h"
#include "suite_kit.h"

#define DECODER_MS     1500
#define HEAD_BYTES_MAX 16384
/** Time limit for one input: a slower decoder does not take time in proportion to the input. */
#define INPUT_MS_MAX 1000
/** Size of the largest page of the list that is read. */
#define PAGE_BYTES (4U << 20)

/* ---- corpus: valid inputs, and inputs that failed once ---- */

static const char *const replies[] = {
	"HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nSignature: 3e1b.07\r\nContent-Type: "
	"text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: one two\n\n\r\n"
	"0\r\n\r\n",
	"HTTP/1.1 503 X\r\nNot-Run: 1\r\nServer-Leaving: 1\r\nKeep-Alive: timeout=5\r\n"
	"Content-Length: 2\r\n\r\nno",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nConnection: "
	"close\r\n\r\nrest",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
};

static const char *const requests[] = {
	"POST /lohu930/2f?x=y HTTP/1.1\r\nHost: nony24.example\r\nRequest-Id: 9c41\r\n"
	"Last-Event-Id: 12\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd:410\r\n"
	"Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\nhello",
	"GET /lots/7c41e09b52d6a3f8?after=12 HTTP/1.1\r\nHost: n\r\nWait-Ms: 1000\r\n\r\n",
	"GET /items/7c41?id=e5b2 HTTP/1.1\r\nHost: n\r\n\r\n",
	"DELETE /lots/7c41 HTTP/1.1\r\nHost: n\r\n\r\n",
	"POST /lohu930/2f HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k1-._~+/=\r\n"
	"tenant: eve\r\nTENANT:eve\r\nX: a,\r\n Tenant: eve\r\nRequest-Id: 7\r\n"
	"Transfer-Encoding: chunked\r\nTrailer: Tenant\r\n\r\n1\r\nx\r\n0\r\n"
	"Tenant: eve\r\nAuthorization: Bearer k1\r\n\r\n",
	"POST /retire/store-a-1/start HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	"10\r\n{\"durationS\":10}\r\n0\r\n\r\n",
};

static const char *const events[] = {
	"id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nevent: end\nid: 3\ndata: x\ndata: y\n\n",
	": comment\n\n\n\nid: 4\n\n",
};

static const char *const lists[] = {
	"{\"instances\":[{\"service\":\"h\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\","
	"\"version\":"
	"\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1700000000000,\"models\":"
	"[{\"name\":\"m\",\"version\":1}],\"id\":\"i-7f3a\"},{\"id\":\"odd\"}],\"nextToken\":\"p-"
	"50\"}",
};

static const char *const lots[] = {
	"{\"items\":[{\"id\":\"e5b2\",\"path\":\"/p/3/"
	"91c4\",\"headers\":{\"Model\":\"m\",\"Token-Usage\":"
	"\"540,400\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940},{\"id\":\"e6\",\"path\":\"/p/4\","
	"\"headers\":{},\"body\":\"\",\"tokens\":1}]}",
};

static const char *const configs[] = {
	"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","
	"\"kind\":\"stream\",\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"split\":[{"
	"\"service\":"
	"\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"attempts\":2,\"resumable\":true,"
	"\"gapTargetMs\":400},{\"name\":\"r2\",\"host\":\"a.example\",\"pathPrefix\":\"/x/y/"
	"\",\"kind\":"
	"\"batch\",\"timeoutMs\":15000,\"sloMs\":400,\"service\":\"s\",\"attempts\":3,\"dueMs\":"
	"18000,"
	"\"retentionS\":60,\"maxQueued\":2500000}],\"services\":[{\"name\":\"s\",\"healthPath\":"
	"\"/health\",\"maxConns\":370,\"engine\":{\"slots\":8}},{\"name\":\"t\"}],\"limits\":"
	"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}",
};

static const char *const http_tokens[] = {
	"\r\n",
	"\r\n\r\n",
	"\n",
	"HTTP/1.1 ",
	"Content-Length: ",
	"0\r\n\r\n",
	"chunked",
	"Connection: close",
	"Content-Length: 0",
	"Transfer-Encoding: chunked",
	";",
	":",
	"999999999999999",
	"-1",
	"id: ",
	"data:",
	"\n\n",
	"%00",
	"?after=",
	"Expect: 100-continue\r\n",
	"Authorization: Bearer ",
	"Tenant: eve\r\n",
	"\r\n Tenant: eve",
	" :",
};

static const char *const json_tokens[] = {
	"{",
	"}",
	"[",
	"]",
	",",
	":",
	"\"",
	"null",
	"true",
	"-1",
	"1e999",
	"\\u0000",
	"\\",
	"\"id\"",
	"\"routes\"",
	"\"items\"",
	"9223372036854775808",
	"0.5",
};

/* ---- decoders ---- */

static void ignore_body(void *ctx, str_t piece)
{
}

static void on_reply_head(void *ctx, const http_head_t *h)
{
	AUTO_BUF out = {0};
	platform_reply_t r;

	platform_reply_decode(h, &r);
	platform_reply_headers(&out, h);
}

/* True if a line of the head, however it is ended or indented, is a header with this name. */
static bool has_line(str_t head, const char *name, const char *value)
{
	size_t n = strlen(name);

	for (size_t i = 0; i < head.n; i++) {
		size_t begin = i;
		size_t end;

		if (i > 0 && head.p[i - 1] != '\r' && head.p[i - 1] != '\n')
			continue;
		while (begin < head.n && (head.p[begin] == ' ' || head.p[begin] == '\t'))
			begin++;
		end = begin + n;
		if (end > head.n || strncasecmp(head.p + begin, name, n) != 0)
			continue;
		while (end < head.n && (head.p[end] == ' ' || head.p[end] == '\t'))
			end++;
		if (end < head.n && head.p[end] == ':' &&
		    (!value || strncmp(head.p + end + 1, value, strlen(value)) != 0))
			return true;
	}
	return false;
}

/* Whatever a caller sends, a replica gets no credentials and no other customer than the one that
 * the entry names. */
static void check_identity(const http_head_t *h)
{
	platform_send_t s = {.replica = STR("i-1"), .identified = true, .customer = STR("ada")};
	AUTO_BUF out = {0};

	platform_request_encode(&out, h, (str_t){"", 0}, &s);
	ck_assert_msg(!has_line(str_buf(&out), "Authorization", NULL), "%.*s", (int)out.n, out.p);
	ck_assert_msg(!has_line(str_buf(&out), "Tenant", " ada\r\n"), "%.*s", (int)out.n, out.p);
}

static void on_request_head(void *ctx, const http_head_t *h)
{
	platform_call_t call;
	platform_op_t op;

	platform_call_decode(h, &call);
	platform_op_decode(h, &op);
	check_identity(h);
}

static void ignore_end(void *ctx)
{
}

/* Feeds the parser in pieces of random sizes, as a socket would. */
static void feed_http(str_t in, bool responses)
{
	http_reader_t p;
	size_t used = 0;
	status_t st = STATUS_OK;

	http_reader_init(&p, &(http_reader_options_t){
				     .responses = responses,
				     .pause_after_message = true,
				     .max_header_bytes = HEAD_BYTES_MAX,
				     .cb = {NULL, responses ? on_reply_head : on_request_head,
					    ignore_body, ignore_end}});
	while (in.n > 0 && st == STATUS_OK) {
		size_t n = 1 + random_below((uint32_t)in.n);

		st = http_reader_feed(&p, (str_t){in.p, n}, &used);
		ck_assert_uint_le(used, n);
		used = used ? used : 1;
		in = (str_t){in.p + used, in.n - used};
		if (st == STATUS_OK)
			http_reader_resume(&p);
	}
	if (st == STATUS_OK)
		http_reader_feed(&p, (str_t){"", 0}, &used);
	http_reader_free(&p);
}

static void feed_reply(str_t in)
{
	feed_http(in, true);
}

static void feed_request(str_t in)
{
	feed_http(in, false);
}

static bool on_event(void *ctx, const sse_event_t *e)
{
	ck_assert_uint_ge(e->raw.n, 2);
	*(size_t *)ctx += e->raw.n;
	return true;
}

static void feed_events(str_t in)
{
	sse_parser_t s = {0};
	size_t consumed = 0;
	size_t total = in.n;

	while (in.n > 0) {
		size_t n = 1 + random_below((uint32_t)in.n);

		ck_assert(sse_feed(&s, (str_t){in.p, n}, on_event, &consumed));
		in = (str_t){in.p + n, in.n - n};
	}
	ck_assert_uint_eq(consumed + s.pending.n, total);
	sse_free(&s);
}

static void feed_list(str_t in)
{
	link_view_t v = {0};
	AUTO_BUF cursor = {0};
	unsigned skipped;

	platform_list_decode(in, &v, &cursor, &skipped);
	wire_free(XDR_PROC(link_view_t), &v);
}

static void feed_lot(str_t in)
{
	wire_lot_open_t o = {0};

	platform_lot_decode(in, &o);
	wire_free(XDR_PROC(wire_lot_open_t), &o);
}

static void feed_config(str_t in)
{
	route_table_t *r = NULL;

	if (routes_decode(in, 1, &r) == STATUS_OK)
		route_table_match(r, STR("a.example"), STR("/x/y/z"));
	route_table_free(r);
}

static void feed_link(str_t in)
{
	link_msg_t m;

	wire_decode(in, XDR_PROC(link_msg_t), &m, sizeof(m));
	wire_free(XDR_PROC(link_msg_t), &m);
}

/* ---- link messages are binary, so their corpus is encoded here ---- */

static const char *make_link_hello(void)
{
	static buf_t b;
	link_msg_t m = {.kind = LINK_HELLO};
	link_run_t run = {7, wire_bytes(STR("i-1")), wire_bytes(STR("lot")), 3};
	link_leaving_t leaving_replica = {wire_bytes(STR("i-2")), 1000};

	m.link_msg_t_u.hello = (link_hello_t){
		.name = wire_bytes(STR("front-1")),
		.addr = wire_bytes(STR("10.1.0.1:80")),
		.runs = {1, &run},
		.leaving_replicas = {1, &leaving_replica},
	};
	b.n = 0;
	wire_encode(&b, XDR_PROC(link_msg_t), &m);
	return b.p;
}

#define CORPUS(v) v, sizeof(v) / sizeof((v)[0])

static const struct {
	const char *name;
	void (*feed)(str_t in);
	const char *const *corpus;
	size_t ncorpus;
	const char *const *tokens;
	size_t ntokens;
} decoders[] = {
	{"reply", feed_reply, CORPUS(replies), CORPUS(http_tokens)},
	{"request", feed_request, CORPUS(requests), CORPUS(http_tokens)},
	{"events", feed_events, CORPUS(events), CORPUS(http_tokens)},
	{"list", feed_list, CORPUS(lists), CORPUS(json_tokens)},
	{"lot", feed_lot, CORPUS(lots), CORPUS(json_tokens)},
	{"text", feed_config, CORPUS(configs), CORPUS(json_tokens)},
	{"link", feed_link, NULL, 0, CORPUS(json_tokens)},
};

static int64_t env_number(const char *name, int64_t fallback)
{
	const char *s = getenv(name);

	return s ? atoll(s) : fallback;
}

START_TEST(decoders_survive_damaged_bytes)
{
	deadline_t end = clock_now_ms() + env_number("AUBURN_FUZZ_MS", DECODER_MS);
	unsigned long inputs = 0;

	prng_state = (uint64_t)env_number("AUBURN_FUZZ_SEED", 20261204) + (uint64_t)_i;
	while (clock_now_ms() < end) {
		AUTO_BUF b = {0};
		deadline_t started_at = clock_now_ms();

		if (decoders[_i].ncorpus)
			buf_add(&b, str_c(decoders[_i].corpus[random_below(
					    (uint32_t)decoders[_i].ncorpus)]));
		else
			buf_add(&b, (str_t){make_link_hello(), 96});
		mutate_bytes(&b, decoders[_i].tokens, decoders[_i].ntokens);
		decoders[_i].feed(str_buf(&b));
		ck_assert_int_le(clock_now_ms() - started_at, INPUT_MS_MAX);
		inputs++;
	}
	printf("%s: %lu inputs\n", decoders[_i].name, inputs);
}
END_TEST

#define LIST_ENTRY(id)                                                                             \
	"{\"service\":\"h\",\"addr\":\"10.128.0.9:8080\",\"zone\":\"a\",\"version\":\"v1\","       \
	"\"slots\":8,"                                                                             \
	"\"state\":\"ready\",\"models\":[{\"name\":\"{\\\"m\\\\\",\"version\":1}],\"id\":\"" id    \
	"\"}"

static bool contains_replica(const link_view_t *v, str_t id)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		if (str_eq(wire_str(v->upstreams.upstreams_val[i].id), id))
			return true;
	}
	return false;
}

/* Whatever the bytes of an entry are, those before it hold. Those behind it hold too, unless it
 * ends the array and begins another one. */
START_TEST(sound_entries_hold_beside_an_odd_one)
{
	deadline_t end = clock_now_ms() + env_number("AUBURN_FUZZ_MS", DECODER_MS);
	unsigned long inputs = 0;

	prng_state = (uint64_t)env_number("AUBURN_FUZZ_SEED", 20261205);
	while (clock_now_ms() < end) {
		AUTO_BUF page = {0};
		AUTO_BUF odd = {0};
		AUTO_BUF cursor = {0};
		link_view_t v = {0};
		deadline_t started_at = clock_now_ms();
		unsigned skipped;
		status_t st;

		add_odd_object(&odd, STR(LIST_ENTRY("odd")), CORPUS(json_tokens));
		buf_add(&page, STR("{\"instances\":[" LIST_ENTRY("i-1") "," LIST_ENTRY("i-2") ","));
		buf_add(&page, str_buf(&odd));
		buf_add(&page,
			STR("," LIST_ENTRY("i-3") "," LIST_ENTRY("i-4") "],\"nextToken\":null}"));
		st = platform_list_decode(str_buf(&page), &v, &cursor, &skipped);
		ck_assert_msg(st == STATUS_OK, "%s: %s", page.p, status_message());
		ck_assert_msg(contains_replica(&v, STR("i-1")) && contains_replica(&v, STR("i-2")),
			      "%s", page.p);
		if (str_find(str_buf(&odd), STR("],\"")) < 0)
			ck_assert_msg(contains_replica(&v, STR("i-3")) &&
					      contains_replica(&v, STR("i-4")),
				      "%s", page.p);
		ck_assert_int_le(clock_now_ms() - started_at, INPUT_MS_MAX);
		wire_free(XDR_PROC(link_view_t), &v);
		inputs++;
	}
	printf("odd entries: %lu inputs\n", inputs);
}
END_TEST

/* Repeated up to the size of the largest page; the time of the processor counts. */
static const char *const pieces[] = {
	"[",
	"{\"a\":",
	"{},",
	"0,",
	"\"",
	"\\\"",
	"]",
	"\\",
	",",
	"[],\"",
	"{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]},",
	LIST_ENTRY("i-1") ",",
};

/* Processor time, in ms, to decode a page of this size. */
static long decode_ms(const char *piece, size_t bytes)
{
	AUTO_BUF page = {0};
	AUTO_BUF cursor = {0};
	link_view_t v = {0};
	clock_t started_at;
	unsigned skipped;

	buf_add(&page, STR("{\"instances\":["));
	while (page.n < bytes)
		buf_add(&page, str_c(piece));
	buf_add(&page, STR("0],\"nextToken\":null}"));
	started_at = clock();
	platform_list_decode(str_buf(&page), &v, &cursor, &skipped);
	wire_free(XDR_PROC(link_view_t), &v);
	return (long)((clock() - started_at) / (CLOCKS_PER_SEC / 1000));
}

START_TEST(the_time_to_decode_a_page_is_bounded)
{
	long part_ms = decode_ms(pieces[_i], PAGE_BYTES / 8);
	long ms = decode_ms(pieces[_i], PAGE_BYTES);

	printf("%.40s: %ld ms\n", pieces[_i], ms);
	ck_assert_int_le(ms, 3 * 8 * part_ms + 100);
#ifndef __SANITIZE_ADDRESS__ /* which makes an allocation many times slower */
	ck_assert_int_le(ms, INPUT_MS_MAX);
#endif
}
END_TEST

/* Whatever a text is made of, its JSON string can be read, and gives the text back if it is UTF-8.
 * jansson checks both. */
START_TEST(json_strings_are_read_whatever_their_bytes)
{
	static const char *const tokens[] = {"\xc3\xa9",
					     "\xe2\x82\xac",
					     "\xf0\x9f\x98\x80",
					     "\xed\xa0\x80",
					     "\xf4\x90\x80\x80",
					     "\xc0\xaf",
					     "\xff",
					     "\"\\/",
					     "\n\t\x7f"};
	deadline_t end = clock_now_ms() + env_number("AUBURN_FUZZ_MS", DECODER_MS);
	unsigned long inputs = 0;
	unsigned long sound = 0;

	prng_state = (uint64_t)env_number("AUBURN_FUZZ_SEED", 20261207);
	while (clock_now_ms() < end) {
		AUTO_BUF text = {0};
		AUTO_BUF json = {0};
		json_t *as_is;
		json_t *back;

		buf_add(&text, STR("caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80 \"x\"\n"));
		mutate_bytes(&text, CORPUS(tokens));
		buf_add_json(&json, str_buf(&text));
		as_is = json_stringn(text.p, text.n);
		back = json_loadb(json.p, json.n, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
		ck_assert_msg(back != NULL, "%s", json.p);
		ck_assert_int_eq(utf8_is_valid(str_buf(&text)), as_is != NULL);
		if (as_is)
			ck_assert(json_equal(as_is, back));
		sound += as_is != NULL;
		inputs++;
		json_decref(as_is);
		json_decref(back);
	}
	printf("JSON strings: %lu inputs, %lu of them UTF-8\n", inputs, sound);
	ck_assert_uint_gt(sound, 0);
	ck_assert_uint_gt(inputs, sound);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fuzz_network");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 3600);
	tcase_add_loop_test(t, decoders_survive_damaged_bytes, 0,
			    sizeof(decoders) / sizeof(decoders[0]));
	tcase_add_test(t, sound_entries_hold_beside_an_odd_one);
	tcase_add_test(t, json_strings_are_read_whatever_their_bytes);
	tcase_add_loop_test(t, the_time_to_decode_a_page_is_bounded, 0,
			    sizeof(pieces) / sizeof(pieces[0]));
	suite_add_tcase(s, t);
	return suite_run(s);
}
