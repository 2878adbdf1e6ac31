/* Tests of customers and their API keys (state/customers.h), in configs, in deltas and in requests.
 * Guard against a caller that is taken for another customer, against a key or a customer name of
 * the caller's own that reaches a replica, and against a key in an error message. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"
#include "client/delta.h"
#include "client/routes_decode.h"
#include "platform/platform.h"
#include "state/lots.h"
#include "suite_kit.h"

#define SERVICES_JSON                                                                              \
	"\"services\":[{\"name\":\"s\",\"healthPath\":\"/h\"}],"                                   \
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"                           \
	"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"
#define ROUTES_JSON                                                                                \
	"\"routes\":[{\"name\":\"r\",\"host\":\"a.example\",\"pathPrefix\":\"/x/\","               \
	"\"kind\":\"stream\",\"timeoutMs\":5000,\"service\":\"s\",\"public\":false},"              \
	"{\"name\":\"p\",\"host\":\"a.example\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\","         \
	"\"timeoutMs\":5000,\"service\":\"s\",\"public\":true}],"

static status_t decode_config(const char *tenants, route_table_t **out)
{
	AUTO_BUF b = {0};

	buf_addf(&b, "{\"version\":3,%s%s%s", tenants, ROUTES_JSON, SERVICES_JSON);
	return platform_config_decode(str_buf(&b), out);
}

static const char *customer_of(const route_table_t *r, const char *key)
{
	customer_key_t h = customer_key_hash(str_c(key));
	const customer_t *c = customers_by_key(r->customers, &h);

	return c ? c->name : "";
}

START_TEST(each_key_belongs_to_its_customer)
{
	AUTO_ROUTE_TABLE *r = NULL;
	const customer_t *c;

	ck_assert_int_eq(decode_config("\"tenants\":[{\"name\":\"ada\",\"apiKeys\":[\"k1\",\"k2\"],"
				       "\"priority\":1,\"ratePerS\":77,\"burst\":7},"
				       "{\"name\":\"bob\",\"apiKeys\":[\"k3\"]}],",
				       &r),
			 STATUS_OK);
	ck_assert_str_eq(customer_of(r, "k1"), "ada");
	ck_assert_str_eq(customer_of(r, "k2"), "ada");
	ck_assert_str_eq(customer_of(r, "k3"), "bob");
	ck_assert_str_eq(customer_of(r, "K1"), "");
	ck_assert_str_eq(customer_of(r, "k"), "");
	c = customers_by_name(r->customers, STR("ada"));
	ck_assert_int_eq(c->rate_per_s, 77);
	ck_assert_int_eq(c->burst, 7);
	ck_assert_int_eq(c->priority, 1);
	ck_assert_int_eq(customers_by_name(r->customers, STR("bob"))->priority,
			 CUSTOMER_NO_PRIORITY);
	ck_assert(!r->routes[0].is_public);
	ck_assert(r->routes[1].is_public);
}
END_TEST

START_TEST(a_config_without_customers_needs_no_keys)
{
	AUTO_ROUTE_TABLE *r = NULL;

	ck_assert_int_eq(decode_config("", &r), STATUS_OK);
	ck_assert_ptr_null(r->customers);
	ck_assert(!r->routes[1].is_public);
}
END_TEST

START_TEST(invalid_customers_are_refused_by_name)
{
	static const struct {
		const char *tenants;
		const char *names[2]; /* that the message must contain */
	} cases[] = {
		{"[{\"name\":\"ada\",\"apiKeys\":[\"secret1\"]},"
		 "{\"name\":\"bob\",\"apiKeys\":[\"secret1\"]}]",
		 {"\"ada\"", "\"bob\""}},
		{"[{\"name\":\"ada\",\"apiKeys\":[]},{\"name\":\"ada\",\"apiKeys\":[]}]",
		 {"\"ada\"", "twice"}},
		{"[{\"name\":\"ada\",\"apiKeys\":[\"\"]}]", {"\"ada\"", "key 1"}},
		{"[{\"name\":\"ada\",\"apiKeys\":[\"secret1\",7]}]", {"\"ada\"", "key 2"}},
		{"[{\"name\":\"ada\",\"apiKeys\":[],\"ratePerS\":-1}]", {"\"ada\"", "negative"}},
		{"[{\"name\":\"ada\",\"apiKeys\":[],\"burst\":-1}]", {"\"ada\"", "negative"}},
		{"[{\"name\":\"\",\"apiKeys\":[]}]", {"customer 1", "empty"}},
		{"[{\"name\":\"a\\nb\",\"apiKeys\":[]}]", {"customer 1", "ASCII"}},
		{"{}", {"tenants", "list"}},
		{"[{\"name\":\"ada\",\"apiKeys\":[\"secret1\" \"secret1\"]}]", {"line", "column"}},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		AUTO_BUF b = {0};
		route_table_t *r = NULL;

		buf_addf(&b, "\"tenants\":%s,%c", cases[i].tenants, 0);
		ck_assert_int_eq(decode_config(b.p, &r), STATUS_INVALID);
		for (size_t k = 0; k < 2; k++)
			ck_assert_msg(strstr(status_message(), cases[i].names[k]) != NULL,
				      "case %zu: %s", i, status_message());
		ck_assert_msg(!strstr(status_message(), "secret"), "case %zu: %s", i,
			      status_message());
	}
}
END_TEST

START_TEST(the_own_format_has_customers_too)
{
	static const char text[] = "[[service]]\nname = \"s\"\nkind = \"plain\"\n"
				   "[[route]]\nname = \"r\"\nhost = \"h\"\nprefix = \"/\"\n"
				   "kind = \"once\"\nservices = [\"s\"]\npublic = true\n"
				   "[[customer]]\nname = \"ada\"\nkeys = [\"k1\"]\n"
				   "rate_per_s = 5\nburst = 2\npriority = 1\n"
				   "[[customer]]\nname = \"bob\"\nkeys = [\"%s\"]\n";
	char config[1024];
	route_table_t *r = NULL;

	snprintf(config, sizeof(config), text, "k2");
	ck_assert_msg(routes_decode(str_c(config), 4, &r) == STATUS_OK, "%s", status_message());
	ck_assert_str_eq(customer_of(r, "k1"), "ada");
	ck_assert_str_eq(customer_of(r, "k2"), "bob");
	ck_assert(r->routes[0].is_public);
	route_table_free(r);
	snprintf(config, sizeof(config), text, "k1");
	ck_assert_int_eq(routes_decode(str_c(config), 4, &r), STATUS_INVALID);
	ck_assert_ptr_nonnull(strstr(status_message(), "\"ada\" and \"bob\" share a key"));
}
END_TEST

/* ---- deltas ---- */

static route_table_t *table_with_customers(unsigned n, unsigned changed)
{
	route_table_t *r = NULL;

	ck_assert_int_eq(decode_config("", &r), STATUS_OK);
	r->customers = customers_new();
	for (unsigned i = 0; i < n; i++) {
		char text[64];
		customer_t c = {.nkeys = 3, .rate_per_s = 10, .burst = 10};

		snprintf(text, sizeof(text), "customer-%u", i);
		c.name = str_dup(str_c(text));
		c.keys = mem_new(4 * sizeof(*c.keys));
		for (unsigned k = 0; k < c.nkeys; k++) {
			unsigned version = i == changed && k == 0;

			snprintf(text, sizeof(text), "key-%u-%u-%u", i, k, version);
			c.keys[k] = customer_key_hash(str_c(text));
		}
		ck_assert_int_eq(customers_add(r->customers, &c), STATUS_OK);
	}
	return r;
}

static route_table_t *send_delta(const route_table_t *base, const route_table_t *r, size_t *bytes)
{
	AUTO_BUF delta = {0};
	uint32_t size = 0;
	route_table_t *out = NULL;

	ck_assert_int_eq(delta_pack(base, r, &delta, &size), STATUS_OK);
	ck_assert_int_eq(delta_unpack(str_buf(&delta), size, base, &out), STATUS_OK);
	*bytes = delta.n;
	return out;
}

START_TEST(a_delta_carries_a_revoked_key)
{
	AUTO_ROUTE_TABLE *old = table_with_customers(85, UINT32_MAX);
	AUTO_ROUTE_TABLE *r = table_with_customers(84, 7);
	AUTO_ROUTE_TABLE *got = NULL;
	size_t bytes;

	got = send_delta(old, r, &bytes);
	ck_assert_uint_eq(customers_count(got->customers), 84);
	ck_assert_str_eq(customer_of(got, "key-7-0-1"), "customer-7");
	ck_assert_str_eq(customer_of(got, "key-7-0-0"), "");
	ck_assert_str_eq(customer_of(got, "key-7-1-0"), "customer-7");
	ck_assert_str_eq(customer_of(got, "key-84-0-0"), "");
	ck_assert(got->routes[1].is_public == r->routes[1].is_public);
}
END_TEST

/* A change of one key among 12,000 customers must fit into one packet. */
START_TEST(a_delta_of_one_key_takes_one_packet)
{
	AUTO_ROUTE_TABLE *old = table_with_customers(12000, UINT32_MAX);
	AUTO_ROUTE_TABLE *r = table_with_customers(12000, 7);
	AUTO_ROUTE_TABLE *got = NULL;
	size_t bytes;

	got = send_delta(old, r, &bytes);
	ck_assert_uint_le(bytes, 1400);
	ck_assert_uint_eq(customers_count(got->customers), 12000);
}
END_TEST

/* Builds that do not know customers decode deltas strictly. */
START_TEST(a_delta_without_customers_is_as_before)
{
	AUTO_ROUTE_TABLE *with = table_with_customers(2, 0);
	AUTO_ROUTE_TABLE *r = NULL;
	AUTO_ROUTE_TABLE *got = NULL;
	size_t bytes;

	ck_assert_int_eq(decode_config("", &r), STATUS_OK);
	got = send_delta(with, r, &bytes);
	ck_assert_ptr_null(got->customers);
	route_table_free(got);
	got = send_delta(r, with, &bytes);
	ck_assert_uint_eq(customers_count(got->customers), 2);
}
END_TEST

/* ---- requests ---- */

static http_head_t make_head(const http_header_t *v, size_t n)
{
	return (http_head_t){.method = STR("POST"),
			     .target = STR("/x/1"),
			     .headers = v,
			     .nheaders = n,
			     .keep_alive = true};
}

START_TEST(credentials_are_decoded_strictly)
{
	static const struct {
		const char *value;
		platform_credentials_t want;
		const char *key;
	} cases[] = {
		{"Bearer abc", PLATFORM_CREDENTIALS_KEY, "abc"},
		{"bEARER   abc  ", PLATFORM_CREDENTIALS_KEY, "abc"},
		{"Bearer a-b.c_d~e+f/g==", PLATFORM_CREDENTIALS_KEY, "a-b.c_d~e+f/g=="},
		{"Bearer", PLATFORM_CREDENTIALS_INVALID, ""},
		{"Bearer ", PLATFORM_CREDENTIALS_INVALID, ""},
		{"Bearerabc", PLATFORM_CREDENTIALS_INVALID, ""},
		{"Basic abc", PLATFORM_CREDENTIALS_INVALID, ""},
		{"Bearer abc def", PLATFORM_CREDENTIALS_INVALID, ""},
		{"Bearer abc, Bearer def", PLATFORM_CREDENTIALS_INVALID, ""},
		{"", PLATFORM_CREDENTIALS_INVALID, ""},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		http_header_t v[] = {{STR("aUTHORIZATION"), str_c(cases[i].value)}};
		http_head_t h = make_head(v, 1);
		platform_call_t c;

		ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
		ck_assert_msg(c.credentials == cases[i].want, "%s", cases[i].value);
		if (c.credentials == PLATFORM_CREDENTIALS_KEY)
			ck_assert(str_eq(c.key, str_c(cases[i].key)));
	}
}
END_TEST

START_TEST(two_headers_and_oversized_keys_are_no_credentials)
{
	char big[CUSTOMER_KEY_BYTES_MAX + 16] = "Bearer ";
	http_header_t two[] = {{STR("Authorization"), STR("Bearer a")},
			       {STR("authorization"), STR("Bearer a")}};
	http_header_t one[] = {{STR("Authorization"), {NULL, 0}}};
	http_head_t h = make_head(two, 2);
	platform_call_t c;

	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
	ck_assert_int_eq(c.credentials, PLATFORM_CREDENTIALS_INVALID);
	memset(big + 7, 'k', CUSTOMER_KEY_BYTES_MAX + 1);
	one[0].value = str_c(big);
	h = make_head(one, 1);
	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
	ck_assert_int_eq(c.credentials, PLATFORM_CREDENTIALS_INVALID);
	h = make_head(NULL, 0);
	ck_assert_int_eq(platform_call_decode(&h, &c), STATUS_OK);
	ck_assert_int_eq(c.credentials, PLATFORM_CREDENTIALS_NONE);
}
END_TEST

START_TEST(a_replica_gets_the_customer_and_never_the_key)
{
	static const http_header_t v[] = {
		{STR("Authorization"), STR("Bearer secret")},
		{STR("AUTHORIZATION"), STR("Bearer secret")},
		{STR("tenant"), STR("eve")},
		{STR("Tenant"), STR("eve")},
		{STR("Model"), STR("m")},
	};
	http_head_t h = make_head(v, sizeof(v) / sizeof(v[0]));
	platform_send_t s = {.replica = STR("i-1"), .identified = true, .customer = STR("ada")};
	AUTO_BUF keyed = {0};
	AUTO_BUF open = {0};

	platform_request_encode(&keyed, &h, STR("body"), &s);
	ck_assert(str_find(str_buf(&keyed), STR("secret")) < 0);
	ck_assert(str_find(str_buf(&keyed), STR("eve")) < 0);
	ck_assert(str_find(str_buf(&keyed), STR("\r\nTenant: ada\r\n")) > 0);
	ck_assert(str_find(str_buf(&keyed), STR("\r\nModel: m\r\n")) > 0);
	s.customer = (str_t){"", 0};
	platform_request_encode(&open, &h, STR("body"), &s);
	ck_assert(str_find(str_buf(&open), STR("secret")) < 0);
	ck_assert(str_find(str_buf(&open), STR("enant")) < 0);
}
END_TEST

START_TEST(headers_inside_items_name_no_caller)
{
	static char lines[] = "Model: m\r\nAuthorization: Bearer secret\r\ntenant : eve\r\n"
			      "TENANT: eve\r\nX: y\r\n";
	link_item_run_t item = {.headers = {sizeof(lines) - 1, lines}};
	platform_send_t s = {.replica = STR("i-1"), .identified = true, .customer = STR("ada")};
	AUTO_BUF b = {0};

	platform_item_encode(&b, &item, &s);
	ck_assert(str_find(str_buf(&b), STR("secret")) < 0);
	ck_assert(str_find(str_buf(&b), STR("eve")) < 0);
	ck_assert(str_find(str_buf(&b), STR("\r\nTenant: ada\r\n")) > 0);
	ck_assert(str_find(str_buf(&b), STR("Model: m\r\nX: y\r\n")) > 0);
}
END_TEST

START_TEST(item_headers_that_hold_other_headers_are_refused)
{
	static const char *const headers[] = {
		"{\"X: y\\r\\nTenant\":\"eve\"}",
		"{\"X\":\"y\\r\\nTenant: eve\"}",
		"{\"X\":\"y\\rTenant: eve\"}",
		"{\"Tenant \":\"eve\"}",
		"{\"\":\"eve\"}",
	};

	for (size_t i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		AUTO_BUF b = {0};
		wire_lot_open_t o = {0};

		buf_addf(&b,
			 "{\"items\":[{\"id\":\"a\",\"path\":\"/p\",\"headers\":%s,"
			 "\"body\":\"\",\"tokens\":1}]}",
			 headers[i]);
		ck_assert_msg(platform_lot_decode(str_buf(&b), &o) == STATUS_INVALID, "%s",
			      headers[i]);
		wire_free(XDR_PROC(wire_lot_open_t), &o);
	}
}
END_TEST

START_TEST(each_owner_has_lot_ids_of_its_own)
{
	AUTO_BUF ada = {0};
	AUTO_BUF bob = {0};
	AUTO_BUF none = {0};

	lot_id_make(&ada, STR("ada"), STR("7f"));
	lot_id_make(&bob, STR("bob"), STR("7f"));
	lot_id_make(&none, STR(""), STR("ada/7f"));
	ck_assert(!str_eq(str_buf(&ada), str_buf(&bob)));
	ck_assert(str_eq(lot_id_owner(str_buf(&ada)), STR("ada")));
	ck_assert(str_eq(lot_id_owner(str_buf(&bob)), STR("bob")));
	ck_assert_uint_eq(lot_id_owner(str_buf(&none)).n, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("customers");
	TCase *t = tcase_create("customers");

	suite_add_tcase(s, t);
	tcase_add_test(t, each_key_belongs_to_its_customer);
	tcase_add_test(t, a_config_without_customers_needs_no_keys);
	tcase_add_test(t, invalid_customers_are_refused_by_name);
	tcase_add_test(t, the_own_format_has_customers_too);
	tcase_add_test(t, a_delta_carries_a_revoked_key);
	tcase_add_test(t, a_delta_of_one_key_takes_one_packet);
	tcase_add_test(t, a_delta_without_customers_is_as_before);
	tcase_add_test(t, credentials_are_decoded_strictly);
	tcase_add_test(t, two_headers_and_oversized_keys_are_no_credentials);
	tcase_add_test(t, a_replica_gets_the_customer_and_never_the_key);
	tcase_add_test(t, headers_inside_items_name_no_caller);
	tcase_add_test(t, item_headers_that_hold_other_headers_are_refused);
	tcase_add_test(t, each_owner_has_lot_ids_of_its_own);
	return suite_run(s);
}
