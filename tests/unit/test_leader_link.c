/* The control processes that a link knows. */
#include <stdio.h>
#include "client/leader_link.h"
#include "suite_kit.h"

#define KNOWN_MAX 64

static void fill_hello(void *ctx, link_hello_t *out)
{
}

static void ignore_message(void *ctx, const link_msg_t *m)
{
}

static void ignore_change(void *ctx)
{
}

static leader_link_t *new_link(struct ev_loop *loop)
{
	static const char *const settings[] = {"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"};

	return leader_link_new(&(leader_link_options_t){
		.loop = loop,
		.controls = settings,
		.ncontrols = 3,
		.link_port = 2,
		.hello = fill_hello,
		.message = ignore_message,
		.up = ignore_change,
		.down = ignore_change,
	});
}

static bool knows(const leader_link_t *l, const char *addr)
{
	str_t v[KNOWN_MAX];
	size_t n = leader_link_controls(l, v, KNOWN_MAX);
	unsigned found = 0;

	for (size_t i = 0; i < n; i++)
		found += str_eq(v[i], str_c(addr));
	ck_assert_uint_le(found, 1);
	return found == 1;
}

/* A process that lives for long sees many control processes come and go. */
START_TEST(a_new_control_process_is_known_however_many_there_were_before)
{
	struct ev_loop *loop = ev_loop_new(0);
	leader_link_t *l = new_link(loop);
	char addr[LEADER_LINK_ADDR_BYTES];

	leader_link_add_control(l, STR("10.0.1.1:1"));
	for (unsigned i = 0; i < 100; i++) {
		snprintf(addr, sizeof(addr), "10.0.0.%u:1", i);
		leader_link_add_control(l, str_c(addr));
		ck_assert_msg(knows(l, addr), "%s", addr);
		/* The leader's view names this one again and again. */
		leader_link_add_control(l, STR("10.0.1.1:1"));
	}
	ck_assert(knows(l, "10.0.1.1:1"));
	ck_assert(knows(l, "127.0.0.1:1"));
	ck_assert(knows(l, "127.0.0.3:1"));
	ck_assert(!knows(l, "10.0.0.0:1"));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leader_link");
	TCase *t = tcase_create("leader_link");

	suite_add_tcase(s, t);
	tcase_add_test(t, a_new_control_process_is_known_however_many_there_were_before);
	return suite_run(s);
}
