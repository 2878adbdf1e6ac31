/* Tests of the operators' config (state/config.h): parsing, defaults and error messages. Guard
 * against a wrong config that is accepted, and against an error that does not say where it is. */
#include <stdlib.h>
#include <string.h>
#include "state/config.h"
#include "suite_kit.h"

static const char valid_config[] = "retention_s = 600\n"
				   "[[service]]\n"
				   "name = \"sammandrag-llm\"\n"
				   "depends = [\"quotes\"]\n"
				   "latency_weight = 0.25\n"
				   "slots = 16\n"
				   "checks_fencing = true\n"
				   "model = \"m7\"\n"
				   "[[service]]\n"
				   "name = \"quotes\"\n"
				   "kind = \"plain\"\n"
				   "repeatable = false\n"
				   "[[limit]]\n"
				   "caller = \"*\"\n"
				   "rate_per_s = 5\n"
				   "[[limit]]\n"
				   "caller = \"live-desk\"\n"
				   "share = 4\n";

START_TEST(a_config_is_parsed)
{
	config_t *config = NULL;
	const config_service_t *service;

	ck_assert_int_eq(config_parse(str_c(valid_config), &config), STATUS_OK);
	ck_assert_int_eq(config->nservices, 2);
	ck_assert_int_eq(config->retention_s, 600);
	ck_assert_int_eq(config->address_ttl_s, 30);
	service = config_find_service(config, STR("sammandrag-llm"));
	ck_assert_int_eq(service->slots, 16);
	ck_assert(service->checks_fencing && service->repeatable);
	ck_assert_str_eq(service->model, "m7");
	ck_assert_str_eq(service->depends[0], "quotes");
	service = config_find_service(config, STR("quotes"));
	ck_assert(service->kind == CONFIG_PLAIN && !service->repeatable);
	ck_assert_ptr_null(config_find_service(config, STR("none")));
	ck_assert_int_eq(config_limit_for(config, STR("live-desk"))->share, 4);
	ck_assert_int_eq(config_limit_for(config, STR("paper"))->rate_per_s, 5);
	config_free(config);
}
END_TEST

START_TEST(an_empty_config_has_defaults)
{
	config_t *config = NULL;

	ck_assert_int_eq(config_parse(STR(""), &config), STATUS_OK);
	ck_assert_int_eq(config->nservices, 0);
	ck_assert_int_eq(config->retention_s, 86400);
	ck_assert_int_gt(config_limit_for(config, STR("x"))->rate_per_s, 0);
	config_free(config);
}
END_TEST

static const struct {
	const char *text;
	const char *message;
} invalid_configs[] = {
	{"colour = 1\n", "text:1: colour: unknown key"},
	{"[[service]]\nname = \"a\"\n\nslotz = 2\n", "text:4: slotz: unknown key"},
	{"[[service]]\nkind = \"plain\"\n", "text:1: name: missing"},
	{"[[service]]\nname = 5\n", "text:2: name: must be a string"},
	{"[[service]]\nname = \"a\"\nkind = \"odd\"\n", "text:3: kind: "},
	{"[[service]]\nname = \"a\"\nslots = 0\n", "text:3: slots: it must be 1 to 4096"},
	{"[[service]]\nname = \"a\"\nslots = 2\nkept_slots = 2\n", "text:4: kept_slots: "},
	{"[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"\n",
	 "text:4: name: a second service"},
	{"[[service]]\nname = \"a\"\ndepends = [\"b\"]\n", "text:3: depends: no service \"b\""},
	{"[[service]]\nname = \"a\"\ndepends = [\"a\"]\n", "text:3: depends: circular: \"a -> a\""},
	{"[[service]]\nname = \"x\"\ndepends = [\"a\"]\n[[service]]\nname = \"a\"\ndepends = "
	 "[\"b\"]\n"
	 "[[service]]\nname = \"b\"\ndepends = [\"c\"]\n[[service]]\nname = \"c\"\ndepends = "
	 "[\"a\"]\n",
	 "text:12: depends: circular: \"a -> b -> c -> a\""},
	{"[[limit]]\ncaller = \"a\"\nburst = -1\n", "text:3: burst: it must be"},
	{"[[limit]]\ncaller = \"a\"\n[[limit]]\ncaller = \"a\"\n",
	 "text:4: caller: a second limit"},
	{"retention_s = \"long\"\n", "text:1: retention_s: must be a whole number"},
	{"retention_s = \n", "text:1: syntax"},
};

START_TEST(an_error_names_line_and_key)
{
	config_t *config = NULL;

	ck_assert_int_eq(config_parse(str_c(invalid_configs[_i].text), &config), STATUS_INVALID);
	ck_assert_ptr_null(config);
	ck_assert_msg(strncmp(status_message(), invalid_configs[_i].message,
			      strlen(invalid_configs[_i].message)) == 0,
		      "\"%s\" instead of \"%s\"", status_message(), invalid_configs[_i].message);
}
END_TEST

START_TEST(the_digest_distinguishes_configs)
{
	ck_assert(config_digest(STR("a = 1")) == config_digest(STR("a = 1")));
	ck_assert(config_digest(STR("a = 1")) != config_digest(STR("a = 2")));
}
END_TEST

static const char config_with_routes[] = "[[service]]\n"
					 "name = \"llm\"\n"
					 "slots = 6\n"
					 "[[service]]\n"
					 "name = \"llm-next\"\n"
					 "[[route]]\n"
					 "name = \"brief\"\n"
					 "host = \"desk.example\"\n"
					 "prefix = \"/brief/\"\n"
					 "kind = \"stream\"\n"
					 "services = [\"llm=90\", \"llm-next=10\"]\n"
					 "objective_ms = 300\n"
					 "resumable = true\n"
					 "patience_ms = 3200\n"
					 "[[route]]\n"
					 "name = \"digest\"\n"
					 "host = \"desk.example\"\n"
					 "prefix = \"/digest/\"\n"
					 "kind = \"batch\"\n"
					 "services = [\"llm\"]\n"
					 "retention_s = 60\n"
					 "waiting_tokens_max = 2500000\n";

START_TEST(routes_are_parsed)
{
	config_t *config = NULL;
	const route_spec_t *route;

	ck_assert_int_eq(config_parse(str_c(config_with_routes), &config), STATUS_OK);
	ck_assert_uint_eq(config->routes->nroutes, 2);
	route = route_table_match(config->routes, STR("desk.example"), STR("/brief/7"));
	ck_assert_str_eq(route->name, "brief");
	ck_assert_int_eq(route->kind, ROUTE_STREAM);
	ck_assert_int_eq(route->objective_ms, 300);
	ck_assert(route->resumable);
	ck_assert_int_eq(route->give_up_ms, 3200);
	ck_assert_int_eq(config->routes->routes[1].give_up_ms, 0);
	ck_assert_uint_eq(route->nshares, 2);
	ck_assert_str_eq(route->shares[1].service, "llm-next");
	ck_assert_int_eq(route->shares[1].weight, 10);
	ck_assert_int_eq(config->routes->routes[1].retention_ms, 60000);
	ck_assert_int_eq(route_table_service(config->routes, STR("llm"))->slots, 6);
	config_free(config);
}
END_TEST

static const struct {
	const char *was;
	const char *is;
	const char *message;
} route_faults[] = {
	{"services = [\"llm\"]", "services = [\"nobody\"]", "service \"nobody\" does not exist"},
	{"services = [\"llm=90\", \"llm-next=10\"]", "services = [\"llm=0\"]", "add up to 0"},
	{"/digest/", "/brief/", "share host and prefix"},
	{"/digest/", "digest", "begin and end with a slash"},
	{"kind = \"batch\"", "kind = \"bulk\"", "text:19: kind: unknown kind \"bulk\""},
	{"objective_ms = 300", "timeout_ms = 0", "text:12: timeout_ms"},
	{"objective_ms = 300", "objctive_ms = 300", "objctive_ms"},
};

START_TEST(an_invalid_route_is_refused)
{
	AUTO_BUF b = {0};
	const char *at = strstr(config_with_routes, route_faults[_i].was);
	config_t *config = NULL;

	buf_add(&b, (str_t){config_with_routes, (size_t)(at - config_with_routes)});
	buf_add(&b, str_c(route_faults[_i].is));
	buf_add(&b, str_c(at + strlen(route_faults[_i].was)));
	ck_assert_int_eq(config_parse(str_buf(&b), &config), STATUS_INVALID);
	ck_assert_msg(strstr(status_message(), route_faults[_i].message), "%s", status_message());
}
END_TEST

START_TEST(keys_of_customers_are_masked_line_by_line)
{
	static const char text[] = "a = \"keys = x\" # keys = [\"k\"]\n"
				   "monkeys = [\"k0\"]\n"
				   "[[customer]]\nname = \"ada\"\n"
				   "keys = [\"secret]1\", 'secret2', # secret3\n"
				   "  \"sec\\\"ret4\" ]\nburst = 2\n"
				   "customer2 = {\"keys\" = [\"secret5\"], burst = 3}\n";
	AUTO_BUF out = {0};

	config_mask_keys(str_c(text), &out);
	buf_addc(&out, 0);
	ck_assert_str_eq(out.p, "a = \"keys = x\" # keys = [\"k\"]\n"
				"monkeys = [\"k0\"]\n"
				"[[customer]]\nname = \"ada\"\n"
				"keys = [\"***\", \"***\", \n"
				"  \"***\" ]\nburst = 2\n"
				"customer2 = {\"keys\" = [\"***\"], burst = 3}\n");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("text");
	TCase *t = tcase_create("text");

	suite_add_tcase(s, t);
	tcase_add_test(t, a_config_is_parsed);
	tcase_add_test(t, an_empty_config_has_defaults);
	tcase_add_loop_test(t, an_error_names_line_and_key, 0,
			    sizeof(invalid_configs) / sizeof(invalid_configs[0]));
	tcase_add_test(t, the_digest_distinguishes_configs);
	tcase_add_test(t, routes_are_parsed);
	tcase_add_loop_test(t, an_invalid_route_is_refused, 0,
			    sizeof(route_faults) / sizeof(route_faults[0]));
	tcase_add_test(t, keys_of_customers_are_masked_line_by_line);
	return suite_run(s);
}
