/* Fuzz tests of the operators' config, of RPC messages, and of the commands and snapshots of the
 * replicated state. Guard against a crash, an assertion or a memory error on malformed input: a
 * replicated command that crashes one control process crashes all. Seeds are fixed. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"
#include "base/toml.h"
#include "proto/wire.h"
#include "proto/raft_xdr.h"
#include "state/fleet.h"
#include "state/ledger.h"
#include "state/config.h"
#include "fuzz_kit.h"
#include "suite_kit.h"

#define CONFIG_ROUNDS	20000
#define MESSAGE_ROUNDS	20000
#define COMMAND_ROUNDS	60000
#define SNAPSHOT_ROUNDS 3000
#define WORDS_MAX	60

static const char config_text[] =
	"retention_s = 3600\naddress_ttl_s = 2\n\n[[service]]\nname = \"llm\"\nkind = \"engine\"\n"
	"latency_weight = 0.5\nslots = 8\nstall_ms = 2000\nchecks_fencing = true\n\n"
	"[[service]]\nname = \"quotes\"\nkind = \"plain\"\nrepeatable = false\n"
	"depends = [\"llm\"]\n\n[[limit]]\ncaller = \"desk\"\nrate_per_s = 10\n";

static const char *const tokens[] = {
	"[",
	"]",
	"[[",
	"]]",
	"=",
	"\"",
	"\"\"\"",
	"'",
	"{",
	"}",
	",",
	".",
	"#",
	"\n",
	"\r\n",
	"\\u",
	"\\",
	"[[[",
	"0x",
	"-",
	"+inf",
	"nan",
	"1e999",
	"true",
	"[a.b]",
	"a.b=1",
	"\xff",
	"\x00",
	"\xe2\x82",
	"{a={",
	"1979-05-27T07:32:00Z",
	"[[service]]\n",
	"'''",
	"99999999999999999999",
	"\xef\xbb\xbf",
	"_",
	"07:32:00",
	"depends=[\"quotes\"]\n",
};

/* Mutates a config, a message or a snapshot, always with the tokens of a config. */
static void mutate(buf_t *b)
{
	mutate_bytes(b, tokens, sizeof(tokens) / sizeof(tokens[0]));
}

/* Appends random 32-bit words, most of them small, like kinds, lengths and counts in a message. */
static void random_words(buf_t *b)
{
	static const uint32_t common[] = {0, 0, 0, 0, 1, 1, 1, 2, 3, 4, 5, 8, 9, 64, 0x7fffffff};
	uint32_t n = random_below(WORDS_MAX);

	for (uint32_t i = 0; i < n; i++) {
		uint32_t w = random_below(8)
				     ? common[random_below(sizeof(common) / sizeof(common[0]))]
				     : random_below(1u << 20);

		w = htonl(w);
		buf_add(b, (str_t){(const char *)&w, sizeof(w)});
	}
}

/* Calls the functions that read a parsed document. */
static void read_document(const toml_doc_t *c)
{
	static const char *const names[] = {"service", "limit", "a", ""};
	const toml_key_t keys[] = {{0}};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		size_t n = toml_table_count(toml_root(c), names[i]);

		toml_line(toml_root(c), names[i]);
		for (size_t k = 0; k < n; k++)
			toml_read(c, toml_table_at(toml_root(c), names[i], k), keys, NULL);
	}
	ck_assert(
		!toml_table_at(toml_root(c), "service", toml_table_count(toml_root(c), "service")));
}

START_TEST(configs_are_parsed_or_refused)
{
	unsigned good = 0;

	prng_state = 0x9e3779b97f4a7c15;
	for (int i = 0; i < CONFIG_ROUNDS; i++) {
		AUTO_BUF b = {0};
		AUTO_TOML *c = NULL;
		config_t *t = NULL;
		status_t st;

		buf_add(&b, STR(config_text));
		mutate(&b);
		st = toml_parse(str_buf(&b), "text", &c);
		ck_assert(st == STATUS_OK ? c != NULL
					  : (st == STATUS_INVALID && *status_message()));
		if (c)
			read_document(c);
		st = config_parse(str_buf(&b), &t);
		ck_assert(st == STATUS_OK ? t != NULL
					  : (st == STATUS_INVALID && *status_message()));
		good += st == STATUS_OK;
		config_free(t);
	}
	ck_assert_uint_gt(good, 0);
	ck_assert_uint_lt(good, CONFIG_ROUNDS);
}
END_TEST

typedef struct {
	const char *name;
	xdrproc_t proc;
	size_t size;
} xdr_type_t;

#define XDR_TYPE(t)                                                                                \
	{                                                                                          \
#t, XDR_PROC(t), sizeof(t)                                                         \
	}

static const xdr_type_t xdr_types[] = {
	XDR_TYPE(wire_fleet_cmd_t), XDR_TYPE(wire_fleet_res_t),	    XDR_TYPE(wire_view_t),
	XDR_TYPE(wire_config_t),    XDR_TYPE(wire_ledger_cmd_t),    XDR_TYPE(wire_ledger_res_t),
	XDR_TYPE(wire_query_t),	    XDR_TYPE(wire_query_res_t),	    XDR_TYPE(wire_exec_arg_t),
	XDR_TYPE(wire_exec_res_t),  XDR_TYPE(wire_heartbeat_arg_t), XDR_TYPE(wire_heartbeat_res_t),
	XDR_TYPE(wire_raft_arg_t),  XDR_TYPE(wire_text_t),	    XDR_TYPE(wire_events_arg_t),
	XDR_TYPE(wire_load_arg_t),  XDR_TYPE(raft_msg_t),	    XDR_TYPE(raft_wire_members_t),
};

/* Decodes b and replaces it by the message's encoding; false if b is malformed. */
static bool reencode(const xdr_type_t *t, buf_t *b)
{
	AUTO_FREE void *msg = mem_new(t->size);
	buf_t again = {0};
	bool ok = wire_decode(str_buf(b), t->proc, msg, t->size) == STATUS_OK;

	if (ok) {
		wire_encode(&again, t->proc, msg);
		buf_free(b);
		*b = again;
	}
	wire_free(t->proc, msg);
	return ok;
}

/* A message that can be decoded must have an encoding that decodes to the same encoding again. The
 * encoding may differ from the input, whose padding, other values of true and zero bytes in strings
 * are lost. False if b is malformed. */
static bool check_reencoding(const xdr_type_t *t, buf_t *b)
{
	AUTO_BUF first = {0};

	if (!reencode(t, b))
		return false;
	buf_add(&first, str_buf(b));
	ck_assert_msg(reencode(t, b) && str_eq(str_buf(b), str_buf(&first)), "%s", t->name);
	return true;
}

START_TEST(decoded_messages_encode_stably)
{
	const xdr_type_t *t = &xdr_types[_i];
	AUTO_BUF seed = {0};
	unsigned good = 0;

	prng_state = 0x2545f4914f6cdd1d + (uint64_t)_i;
	for (int i = 0; i < MESSAGE_ROUNDS; i++) {
		AUTO_BUF b = {0};

		if (seed.n && random_below(2)) {
			buf_add(&b, str_buf(&seed));
			mutate(&b);
		} else {
			random_words(&b);
		}
		if (!check_reencoding(t, &b))
			continue;
		good++;
		if (b.n > seed.n || !random_below(4)) {
			buf_free(&seed);
			seed = b;
			b = (buf_t){0};
		}
	}
	ck_assert_msg(good > 0, "%s", t->name);
}
END_TEST

/* Makes a command from random words, or from a mutation of *seed, the last input that could be
 * decoded. False if it can't be decoded. */
static bool next_command(const xdr_type_t *t, buf_t *seed, void *cmd)
{
	AUTO_BUF b = {0};

	if (seed->n && random_below(3)) {
		buf_add(&b, str_buf(seed));
		mutate(&b);
	} else {
		random_words(&b);
	}
	if (wire_decode(str_buf(&b), t->proc, cmd, t->size) != STATUS_OK) {
		wire_free(t->proc, cmd);
		return false;
	}
	buf_free(seed);
	*seed = b;
	b = (buf_t){0};
	return true;
}

/* Whatever the commands were, a snapshot of the state must restore to the same state. */
START_TEST(the_ledger_survives_any_command)
{
	const xdr_type_t t = XDR_TYPE(wire_ledger_cmd_t);
	AUTO_BUF seed = {0};
	AUTO_BUF snap = {0};
	AUTO_BUF again = {0};
	ledger_t *l = ledger_new();
	ledger_t *copy = ledger_new();
	wire_ledger_cmd_t cmd;
	unsigned taken = 0;

	prng_state = 0x853c49e6748fea9b;
	for (int i = 0; i < COMMAND_ROUNDS; i++) {
		wire_ledger_res_t res = {0};

		if (!next_command(&t, &seed, &cmd))
			continue;
		ledger_apply_cmd(l, &cmd, &res);
		taken += res.status == STATUS_OK;
		wire_free(XDR_PROC(wire_ledger_res_t), &res);
		wire_free(t.proc, &cmd);
	}
	ck_assert_uint_gt(taken, 0);
	ledger_snapshot(l, &snap);
	ck_assert_int_eq(ledger_restore(copy, str_buf(&snap)), STATUS_OK);
	ledger_snapshot(copy, &again);
	ck_assert(str_eq(str_buf(&snap), str_buf(&again)));
	ledger_free(copy);
	ledger_free(l);
}
END_TEST

/* Whatever the commands were, a snapshot of the state must restore to the same state. */
START_TEST(the_fleet_survives_any_command)
{
	const xdr_type_t t = XDR_TYPE(wire_fleet_cmd_t);
	AUTO_BUF seed = {0};
	AUTO_BUF snap = {0};
	AUTO_BUF again = {0};
	fleet_state_t *f = fleet_new(2);
	fleet_state_t *copy = fleet_new(2);
	wire_fleet_cmd_t cmd;
	unsigned taken = 0;

	prng_state = 0xda3e39cb94b95bdb;
	for (int i = 0; i < COMMAND_ROUNDS; i++) {
		wire_fleet_res_t res = {0};

		if (!next_command(&t, &seed, &cmd))
			continue;
		fleet_apply_cmd(f, &cmd, &res);
		taken += res.status == STATUS_OK;
		wire_free(XDR_PROC(wire_fleet_res_t), &res);
		wire_free(t.proc, &cmd);
	}
	ck_assert_uint_gt(taken, 0);
	fleet_snapshot(f, &snap);
	ck_assert_int_eq(fleet_restore(copy, str_buf(&snap)), STATUS_OK);
	fleet_snapshot(copy, &again);
	ck_assert(str_eq(str_buf(&snap), str_buf(&again)));
	fleet_free(copy);
	fleet_free(f);
}
END_TEST

/* Makes snapshots of a ledger and a fleet that random commands have filled. */
static void make_snapshots(buf_t *ledger, buf_t *fleet)
{
	const xdr_type_t lt = XDR_TYPE(wire_ledger_cmd_t);
	const xdr_type_t ft = XDR_TYPE(wire_fleet_cmd_t);
	buf_t seeds[2] = {{0}, {0}};
	ledger_t *l = ledger_new();
	fleet_state_t *f = fleet_new(2);

	for (int i = 0; i < COMMAND_ROUNDS; i++) {
		wire_ledger_cmd_t lc;
		wire_fleet_cmd_t fc;
		wire_ledger_res_t lr = {0};
		wire_fleet_res_t fr = {0};

		if (next_command(&lt, &seeds[0], &lc)) {
			ledger_apply_cmd(l, &lc, &lr);
			wire_free(XDR_PROC(wire_ledger_res_t), &lr);
			wire_free(lt.proc, &lc);
		}
		if (next_command(&ft, &seeds[1], &fc)) {
			fleet_apply_cmd(f, &fc, &fr);
			wire_free(XDR_PROC(wire_fleet_res_t), &fr);
			wire_free(ft.proc, &fc);
		}
	}
	ledger_snapshot(l, ledger);
	fleet_snapshot(f, fleet);
	ledger_free(l);
	fleet_free(f);
	buf_free(&seeds[0]);
	buf_free(&seeds[1]);
}

START_TEST(damaged_snapshots_are_restored_or_refused)
{
	AUTO_BUF ledger = {0};
	AUTO_BUF fleet = {0};
	unsigned refused = 0;

	prng_state = 0x14057b7ef767814f;
	make_snapshots(&ledger, &fleet);
	for (int i = 0; i < SNAPSHOT_ROUNDS; i++) {
		AUTO_BUF a = {0};
		AUTO_BUF b = {0};
		ledger_t *l = ledger_new();
		fleet_state_t *f = fleet_new(2);

		buf_add(&a, str_buf(&ledger));
		buf_add(&b, str_buf(&fleet));
		mutate(&a);
		mutate(&b);
		refused += ledger_restore(l, str_buf(&a)) != STATUS_OK;
		refused += fleet_restore(f, str_buf(&b)) != STATUS_OK;
		ledger_free(l);
		fleet_free(f);
	}
	ck_assert_uint_gt(refused, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fuzz_state");
	TCase *t = tcase_create("fuzz_state");

	suite_add_tcase(s, t);
	tcase_set_timeout(t, 120);
	tcase_add_test(t, configs_are_parsed_or_refused);
	tcase_add_loop_test(t, decoded_messages_encode_stably, 0,
			    sizeof(xdr_types) / sizeof(xdr_types[0]));
	tcase_add_test(t, the_ledger_survives_any_command);
	tcase_add_test(t, the_fleet_survives_any_command);
	tcase_add_test(t, damaged_snapshots_are_restored_or_refused);
	return suite_run(s);
}
