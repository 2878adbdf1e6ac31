/* Tests of the reader of the list of replicas (client/upstream_list.h) against a server on the same
 * loop. Guard against entries of other writers whose values break the processes that use them, and
 * against a read that doesn't end. */
#include <string.h>
#include "client/upstream_list.h"
#include "http_kit.h"
#include "proto/wire.h"

#define BYTES_63 "123456789012345678901234567890123456789012345678901234567890123"

typedef struct {
	http_pair_t http;
	upstream_list_t *list;
	const char *pages[3]; /* by the last digit of their token; the first one has none */
	int lists;
	buf_t ids; /* of the last list */
} reader_t;

static reader_t reader;

static void serve_page(void *ctx, http_conn_t *c, const http_request_t *r)
{
	str_t token = http_query(r->head.target, "pageToken");

	reader.http.requests++;
	http_reply(c, 200, STR(""), str_c(reader.pages[token.n ? token.p[token.n - 1] - '0' : 0]));
}

static void on_list(void *ctx, link_view_t *v)
{
	reader.lists++;
	reader.ids.n = 0;
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		buf_add(&reader.ids, wire_str(v->upstreams.upstreams_val[i].id));
		buf_addc(&reader.ids, ' ');
	}
	ev_break(reader.http.loop, EVBREAK_ALL);
}

static void open_reader(void)
{
	reader = (reader_t){0};
	pair_open(&reader.http);
	http_server_close(reader.http.server);
	reader.http.server = http_server_new(&(http_server_options_t){
		.loop = reader.http.loop,
		.addr = reader.http.addr,
		.limits = {1024, 1024, 2000, 2000},
		.request = serve_page,
	});
	ck_assert_ptr_nonnull(reader.http.server);
	reader.list = upstream_list_new(&(upstream_list_options_t){.loop = reader.http.loop,
								   .http = reader.http.client,
								   .addr = reader.http.addr,
								   .list = on_list});
	buf_add(&reader.ids, STR(""));
}

static void close_reader(void)
{
	pair_close(&reader.http);
	buf_free(&reader.ids);
}

/* Reads the list, for 2 s at most. */
static void read_list(void)
{
	upstream_list_read(reader.list);
	run_loop(&reader.http, 2.0);
}

#define ENTRY(id, addr, zone, service, more)                                                       \
	"{\"id\":\"" id "\",\"addr\":\"" addr "\",\"zone\":\"" zone "\",\"service\":\"" service    \
	"\",\"state\":\"ready\"," more "}"
#define SOUND(id) ENTRY(id, "10.0.0.1:80", "z", "s", "\"slots\":4")

static const char *const unusable[] = {
	ENTRY("odd", "10.0.0.1:0", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:65536", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:99999", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:-1", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:-18446744073709551536", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:+80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1: 80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:000000000000000000000080", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:80x", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.256:80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "host:80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "[::1]:80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:80", "z", "s", "\"slots\":65537"),
	ENTRY("odd", "10.0.0.1:80", "z", "s", "\"slots\":4294967295"),
	ENTRY("", "10.0.0.1:80", "z", "s", "\"slots\":4"),
	ENTRY("odd\\r\\nX: y", "10.0.0.1:80", "z", "s", "\"slots\":4"),
	ENTRY("odd-" BYTES_63, "10.0.0.1:80", "z", "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:80", "z" BYTES_63, "s", "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:80", "z", "s" BYTES_63, "\"slots\":4"),
	ENTRY("odd", "10.0.0.1:80", "z", "s\\n", "\"slots\":4"),
};

START_TEST(an_entry_that_can_not_be_used_is_left_out)
{
	AUTO_BUF page = {0};

	open_reader();
	buf_addf(&page, "{\"instances\":[%s,%s,%s],\"nextToken\":null}", SOUND("a"), unusable[_i],
		 SOUND("b"));
	reader.pages[0] = page.p;
	read_list();
	ck_assert_msg(strcmp(reader.ids.p, "a b ") == 0, "%s: %s", unusable[_i], reader.ids.p);
	close_reader();
}
END_TEST

START_TEST(the_largest_values_are_used)
{
	open_reader();
	reader.pages[0] =
		"{\"instances\":[" ENTRY(BYTES_63, "255.255.255.255:65535", BYTES_63, BYTES_63,
					 "\"slots\":65536,\"born\":9223372036854775807") "]}";
	read_list();
	ck_assert_str_eq(reader.ids.p, BYTES_63 " ");
	close_reader();
}
END_TEST

/* Two replicas with one id would each get the requests for the other. */
START_TEST(of_two_entries_with_an_id_the_first_one_holds)
{
	open_reader();
	reader.pages[0] = "{\"instances\":[" SOUND("a") "," SOUND("b") "," SOUND(
		"a") "],\"nextToken\":\"p1\"}";
	reader.pages[1] = "{\"instances\":[" SOUND("b") "," SOUND("c") "],\"nextToken\":\"p2\"}";
	reader.pages[2] = "{\"instances\":[" SOUND("a") "]}";
	for (int i = 1; i <= 2; i++) {
		read_list();
		ck_assert_int_eq(reader.lists, i);
		ck_assert_str_eq(reader.ids.p, "a b c ");
	}
	close_reader();
}
END_TEST

START_TEST(a_page_that_names_itself_as_the_next_one_is_read_once_more_at_most)
{
	open_reader();
	reader.pages[0] = reader.pages[1] = "{\"instances\":[" SOUND("a") "],\"nextToken\":\"p1\"}";
	read_list();
	ck_assert_int_eq(reader.lists, 0);
	ck_assert_int_eq(reader.http.requests, 2);
	close_reader();
}
END_TEST

int main(void)
{
	Suite *s = suite_create("upstream_list");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 20);
	tcase_add_loop_test(t, an_entry_that_can_not_be_used_is_left_out, 0,
			    sizeof(unusable) / sizeof(unusable[0]));
	tcase_add_test(t, the_largest_values_are_used);
	tcase_add_test(t, of_two_entries_with_an_id_the_first_one_holds);
	tcase_add_test(t, a_page_that_names_itself_as_the_next_one_is_read_once_more_at_most);
	suite_add_tcase(s, t);
	return suite_run(s);
}
