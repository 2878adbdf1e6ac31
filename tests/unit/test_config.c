/* Unit tests of the operators' text. */
#include <stdlib.h>
#include <string.h>
#include "state/config.h"
#include "suite_kit.h"

static const char good[] = "retention_s = 600\n"
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

START_TEST(text_is_read)
{
	config_t *t = NULL;
	const config_service_t *s;

	ck_assert_int_eq(config_parse(str_c(good), &t), STATUS_OK);
	ck_assert_int_eq(t->nservices, 2);
	ck_assert_int_eq(t->retention_s, 600);
	ck_assert_int_eq(t->address_ttl_s, 30);
	s = config_find_service(t, STR("sammandrag-llm"));
	ck_assert_int_eq(s->slots, 16);
	ck_assert(s->checks_fencing && s->repeatable);
	ck_assert_str_eq(s->model, "m7");
	ck_assert_str_eq(s->depends[0], "quotes");
	s = config_find_service(t, STR("quotes"));
	ck_assert(s->kind == CONFIG_PLAIN && !s->repeatable);
	ck_assert_ptr_null(config_find_service(t, STR("none")));
	ck_assert_int_eq(config_limit_for(t, STR("live-desk"))->share, 4);
	ck_assert_int_eq(config_limit_for(t, STR("paper"))->rate_per_s, 5);
	config_free(t);
}
END_TEST

START_TEST(empty_text_has_defaults)
{
	config_t *t = NULL;

	ck_assert_int_eq(config_parse(STR(""), &t), STATUS_OK);
	ck_assert_int_eq(t->nservices, 0);
	ck_assert_int_eq(t->retention_s, 86400);
	ck_assert_int_gt(config_limit_for(t, STR("x"))->rate_per_s, 0);
	config_free(t);
}
END_TEST

static const struct {
	const char *text;
	const char *message;
} wrong[] = {
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

START_TEST(error_names_line_and_key)
{
	config_t *t = NULL;

	ck_assert_int_eq(config_parse(str_c(wrong[_i].text), &t), STATUS_INVALID);
	ck_assert_ptr_null(t);
	ck_assert_msg(strncmp(status_message(), wrong[_i].message, strlen(wrong[_i].message)) == 0,
		      "\"%s\" instead of \"%s\"", status_message(), wrong[_i].message);
}
END_TEST

START_TEST(digest_tells_texts_apart)
{
	ck_assert(config_digest(STR("a = 1")) == config_digest(STR("a = 1")));
	ck_assert(config_digest(STR("a = 1")) != config_digest(STR("a = 2")));
}
END_TEST

static const char routed[] = "[[service]]\n"
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

START_TEST(routes_are_read)
{
	config_t *t = NULL;
	const route_spec_t *r;

	ck_assert_int_eq(config_parse(str_c(routed), &t), STATUS_OK);
	ck_assert_uint_eq(t->routes->nroutes, 2);
	r = route_table_match(t->routes, STR("desk.example"), STR("/brief/7"));
	ck_assert_str_eq(r->name, "brief");
	ck_assert_int_eq(r->kind, ROUTE_STREAM);
	ck_assert_int_eq(r->objective_ms, 300);
	ck_assert(r->resumable);
	ck_assert_int_eq(r->give_up_ms, 3200);
	ck_assert_int_eq(t->routes->routes[1].give_up_ms, 0);
	ck_assert_uint_eq(r->nshares, 2);
	ck_assert_str_eq(r->shares[1].service, "llm-next");
	ck_assert_int_eq(r->shares[1].weight, 10);
	ck_assert_int_eq(t->routes->routes[1].retention_ms, 60000);
	ck_assert_int_eq(route_table_service(t->routes, STR("llm"))->slots, 6);
	config_free(t);
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

START_TEST(a_wrong_route_is_refused)
{
	AUTO_BUF b = {0};
	const char *at = strstr(routed, route_faults[_i].was);
	config_t *t = NULL;

	buf_add(&b, (str_t){routed, (size_t)(at - routed)});
	buf_add(&b, str_c(route_faults[_i].is));
	buf_add(&b, str_c(at + strlen(route_faults[_i].was)));
	ck_assert_int_eq(config_parse(str_buf(&b), &t), STATUS_INVALID);
	ck_assert_msg(strstr(status_message(), route_faults[_i].message), "%s", status_message());
}
END_TEST

int main(void)
{
	Suite *s = suite_create("text");
	TCase *t = tcase_create("text");

	suite_add_tcase(s, t);
	tcase_add_test(t, text_is_read);
	tcase_add_test(t, empty_text_has_defaults);
	tcase_add_loop_test(t, error_names_line_and_key, 0, sizeof(wrong) / sizeof(wrong[0]));
	tcase_add_test(t, digest_tells_texts_apart);
	tcase_add_test(t, routes_are_read);
	tcase_add_loop_test(t, a_wrong_route_is_refused, 0,
			    sizeof(route_faults) / sizeof(route_faults[0]));
	return suite_run(s);
}
