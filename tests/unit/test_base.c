/* Tests of strings, buffers and status codes (base/str.h, base/status.h). */
#include <malloc.h>
#include <stdlib.h>
#include "base/status.h"
#include "base/str.h"
#include "suite_kit.h"

#define FFFD "\xef\xbf\xbd" /* U+FFFD, replacement character */

START_TEST(bytes_are_appended_to_a_buffer_and_dropped_from_its_front)
{
	AUTO_BUF b = {0};

	buf_add(&b, STR("lot "));
	buf_addf(&b, "%d", 42);
	ck_assert(str_eq(str_buf(&b), STR("lot 42")));
	buf_drop_front(&b, 4);
	ck_assert_str_eq(b.p, "42");
}
END_TEST

START_TEST(an_empty_buffer_keeps_little_memory)
{
	AUTO_BUF b = {0};

	buf_reserve(&b, 10 * BUF_SPARE_BYTES);
	buf_add(&b, STR("x"));
	buf_shrink(&b);
	ck_assert_str_eq(b.p, "x");
	buf_clear(&b);
	ck_assert_uint_eq(b.cap, 0);
	buf_add(&b, STR("x"));
	buf_clear(&b);
	ck_assert_uint_gt(b.cap, 0);
}
END_TEST

/* AddressSanitizer has an allocator of its own, which keeps freed blocks to find uses of them. */
#ifndef __SANITIZE_ADDRESS__

/* A process that has freed a block of 8 MB must not keep all later ones of up to that size. */
START_TEST(large_blocks_go_back_to_the_system)
{
	void *p;
	size_t before;

	mem_setup();
	p = mem_grow(NULL, 8 << 20);
	free(p);
	before = mallinfo2().hblkhd;
	p = mem_grow(NULL, 1 << 20);
	ck_assert_uint_gt(mallinfo2().hblkhd, before);
	free(p);
	ck_assert_uint_eq(mallinfo2().hblkhd, before);
}
END_TEST

#endif

START_TEST(a_json_string_is_escaped)
{
	AUTO_BUF b = {0};

	buf_add_json(&b, STR("a\"b\n\x01"));
	ck_assert_str_eq(b.p, "\"a\\\"b\\n\\u0001\"");
}
END_TEST

/* Guards against JSON that no parser reads because of a wrong byte in one of its strings. */
START_TEST(a_json_string_is_utf8_whatever_its_bytes)
{
	static const struct {
		const char *bytes;
		const char *json;
	} texts[] = {
		{"caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80",
		 "caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"},
		{"caf\xe9", "caf" FFFD},
		{"\xff"
		 "a",
		 FFFD "a"},
		/* a character that is cut, at the end and before another one */
		{"a\xe2\x82", "a" FFFD},
		{"\xe2\x82"
		 "b\xc3\xa9",
		 FFFD "b\xc3\xa9"},
		{"\xe2\xc3\xa9", FFFD "\xc3\xa9"},
		{"\x82\xac", FFFD FFFD},
		/* longer than need be, a surrogate, above U+10FFFF */
		{"\xc0\xaf", FFFD FFFD},
		{"\xe0\x80\xaf", FFFD FFFD FFFD},
		{"\xed\xa0\x80", FFFD FFFD FFFD},
		{"\xf4\x90\x80\x80", FFFD FFFD FFFD FFFD},
		{"\xc3\n", FFFD "\\n"},
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		AUTO_BUF b = {0};
		AUTO_BUF want = {0};

		buf_add_json(&b, str_c(texts[i].bytes));
		buf_addf(&want, "\"%s\"", texts[i].json);
		ck_assert_str_eq(b.p, want.p);
	}
}
END_TEST

START_TEST(a_status_keeps_its_last_message)
{
	ck_assert_int_eq(status_fail(STATUS_LIMIT, "over %d", 3), STATUS_LIMIT);
	ck_assert_str_eq(status_message(), "over 3");
	ck_assert_str_eq(status_name(STATUS_LIMIT), "limit");
	ck_assert_str_eq(verdict_name(VERDICT_MAY_HAVE_RUN), "may_have_run");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("base");
	TCase *t = tcase_create("base");

	suite_add_tcase(s, t);
	tcase_add_test(t, bytes_are_appended_to_a_buffer_and_dropped_from_its_front);
	tcase_add_test(t, an_empty_buffer_keeps_little_memory);
#ifndef __SANITIZE_ADDRESS__
	tcase_add_test(t, large_blocks_go_back_to_the_system);
#endif
	tcase_add_test(t, a_json_string_is_escaped);
	tcase_add_test(t, a_json_string_is_utf8_whatever_its_bytes);
	tcase_add_test(t, a_status_keeps_its_last_message);
	return suite_run(s);
}
