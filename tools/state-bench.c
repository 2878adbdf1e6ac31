/* auburn-state-bench: measures the replicated state machines without replication: time and memory
 * of the ledger per item and request, size of the fleet's view, time of planning owners. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "state/fleet.h"
#include "state/ledger.h"

#define BODY_BYTES   200
#define RESULT_BYTES 200
#define NOW_MS	     1000000
#define DAY_MS	     86400000LL
#define REQUESTS     100000
#define NAME_BYTES   32

static ledger_t *ledger; /* of the current measurement */
static char body_text[BODY_BYTES];

static void apply_or_exit(const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res)
{
	ledger_apply_cmd(ledger, cmd, res);
	if (res->status == STATUS_OK)
		return;
	fprintf(stderr, "command %d: %.*s\n", (int)cmd->kind, STR_ARG(wire_str(res->message)));
	exit(EXIT_FAILURE);
}

/* Applies a command whose result is not needed. */
static void apply_discard(const wire_ledger_cmd_t *cmd)
{
	wire_ledger_res_t res;

	apply_or_exit(cmd, &res);
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static double us_per(int64_t us, size_t n)
{
	return (double)us / (double)n;
}

/* Opens, fills and seals a job. */
static void add_job(const char *caller, const char *job, unsigned count)
{
	static wire_bytes_t bodies[LEDGER_LEASE_ITEMS_MAX];
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_OPEN};
	uint64_t digest = 0;

	for (unsigned i = 0; i < count; i++)
		digest = ledger_digest_step(digest, (str_t){body_text, BODY_BYTES});
	cmd.wire_ledger_cmd_t_u.open = (wire_job_open_t){
		.caller = wire_bytes(str_c(caller)),
		.job = wire_bytes(str_c(job)),
		.digest = digest,
		.service = wire_bytes(STR("llm")),
		.deadline_wall_ms = NOW_MS + DAY_MS,
		.count = count,
		.now_wall_ms = NOW_MS,
	};
	apply_discard(&cmd);
	for (unsigned i = 0; i < LEDGER_LEASE_ITEMS_MAX; i++)
		bodies[i] = wire_bytes((str_t){body_text, BODY_BYTES});
	for (unsigned first = 0; first < count; first += LEDGER_LEASE_ITEMS_MAX) {
		unsigned n = count - first;

		cmd.kind = WIRE_LEDGER_JOB_ITEMS;
		cmd.wire_ledger_cmd_t_u.items = (wire_job_items_t){
			.caller = wire_bytes(str_c(caller)),
			.job = wire_bytes(str_c(job)),
			.first = first,
		};
		cmd.wire_ledger_cmd_t_u.items.bodies.bodies_len =
			n < LEDGER_LEASE_ITEMS_MAX ? n : LEDGER_LEASE_ITEMS_MAX;
		cmd.wire_ledger_cmd_t_u.items.bodies.bodies_val = bodies;
		apply_discard(&cmd);
	}
	cmd.kind = WIRE_LEDGER_JOB_SEAL;
	cmd.wire_ledger_cmd_t_u.seal =
		(wire_job_ref_t){wire_bytes(str_c(caller)), wire_bytes(str_c(job)), NOW_MS};
	apply_discard(&cmd);
}

/* Total time of the LEASE and of the DONE commands for all items. */
typedef struct {
	int64_t lease_us;
	int64_t done_us;
	size_t items;
} drain_t;

/* Reports all items of a lease as done. */
static void complete_items(const wire_ledger_res_t *leased)
{
	static wire_item_result_t results[LEDGER_LEASE_ITEMS_MAX];
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_DONE};
	u_int n = leased->items.items_len;

	for (u_int i = 0; i < n; i++) {
		const wire_item_t *it = &leased->items.items_val[i];

		results[i] = (wire_item_result_t){
			.caller = it->caller,
			.job = it->job,
			.index = it->index,
			.attempt = it->attempt,
			.done = true,
			.body = wire_bytes((str_t){body_text, RESULT_BYTES}),
		};
	}
	cmd.wire_ledger_cmd_t_u.done = (wire_done_t){.session = 1, .now_wall_ms = NOW_MS};
	cmd.wire_ledger_cmd_t_u.done.results.results_len = n;
	cmd.wire_ledger_cmd_t_u.done.results.results_val = results;
	apply_discard(&cmd);
}

/* Leases and completes items until the ledger has none left. */
static drain_t drain_items(void)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_LEASE};
	drain_t d = {0};
	u_int got;

	cmd.wire_ledger_cmd_t_u.lease = (wire_lease_t){.session = 1,
						       .service = wire_bytes(STR("llm")),
						       .max = LEDGER_LEASE_ITEMS_MAX,
						       .now_wall_ms = NOW_MS};
	do {
		wire_ledger_res_t res;
		int64_t start = clock_now_us();

		cmd.wire_ledger_cmd_t_u.lease.seq++;
		apply_or_exit(&cmd, &res);
		d.lease_us += clock_now_us() - start;
		got = res.items.items_len;
		d.items += got;
		start = clock_now_us();
		if (got)
			complete_items(&res);
		d.done_us += clock_now_us() - start;
		wire_free(XDR_PROC(wire_ledger_res_t), &res);
	} while (got);
	return d;
}

/* Prints, per item or request, the size of a snapshot and the times to write and to restore it. */
static void print_snapshot(const char *when, size_t n)
{
	buf_t snap = {0};
	int64_t start = clock_now_us();
	int64_t middle;
	ledger_t *copy = ledger_new();

	ledger_snapshot(ledger, &snap);
	middle = clock_now_us();
	if (ledger_restore(copy, str_buf(&snap)) != STATUS_OK)
		exit(EXIT_FAILURE);
	printf(" %s_snapshot_us=%.3f %s_restore_us=%.3f %s_snapshot_bytes=%.1f", when,
	       us_per(middle - start, n), when, us_per(clock_now_us() - middle, n), when,
	       (double)snap.n / (double)n);
	ledger_free(copy);
	buf_free(&snap);
}

/* Accepting, leasing and completing items, in one job for each caller. */
static void bench_items(unsigned items, unsigned callers)
{
	size_t before;
	size_t after;
	int64_t start;
	int64_t accept_us;
	drain_t d;
	ledger_stats_t st;
	char caller[NAME_BYTES];

	malloc_trim(0);
	before = heap_bytes();
	ledger = ledger_new();
	start = clock_now_us();
	for (unsigned i = 0; i < callers; i++) {
		snprintf(caller, sizeof(caller), "caller-%u", i);
		add_job(caller, "job", items / callers);
	}
	accept_us = clock_now_us() - start;
	after = heap_bytes();
	ledger_get_stats(ledger, &st);
	printf("bench=items items=%u callers=%u body_bytes=%d accept_us=%.3f heap_bytes=%.1f "
	       "counted_bytes=%.1f",
	       items, callers, BODY_BYTES, us_per(accept_us, st.items),
	       (double)(after - before) / (double)st.items, (double)st.bytes / (double)st.items);
	print_snapshot("waiting", st.items);
	d = drain_items();
	after = heap_bytes();
	printf(" lease_us=%.3f done_us=%.3f result_bytes=%d done_heap_bytes=%.1f",
	       us_per(d.lease_us, d.items), us_per(d.done_us, d.items), RESULT_BYTES,
	       (double)(after - before) / (double)d.items);
	print_snapshot("done", st.items);
	putchar('\n');
	ledger_free(ledger);
}

static void finish_request(const char *key)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_FINISH};

	cmd.wire_ledger_cmd_t_u.finish = (wire_finish_t){
		.caller = wire_bytes(STR("desk")),
		.key = wire_bytes(str_c(key)),
		.state = WIRE_DONE,
		.verdict = VERDICT_RAN,
		.http_status = 200,
		.result = wire_bytes((str_t){body_text, RESULT_BYTES}),
		.now_wall_ms = NOW_MS,
	};
	apply_discard(&cmd);
}

static void accept_request(const char *key)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_ACCEPT};

	cmd.wire_ledger_cmd_t_u.accept = (wire_accept_t){
		.caller = wire_bytes(STR("desk")),
		.key = wire_bytes(str_c(key)),
		.digest = 1,
		.service = wire_bytes(STR("llm")),
		.repeatable = true,
		.deadline_wall_ms = NOW_MS + DAY_MS,
		.session = 1,
		.path = wire_bytes(STR("/v1/completions")),
		.body = wire_bytes((str_t){body_text, BODY_BYTES}),
	};
	apply_discard(&cmd);
}

/* Accepting and finishing n requests of one caller. */
static void bench_requests(unsigned n)
{
	size_t before;
	size_t open_bytes;
	int64_t start;
	int64_t accept_us;
	int64_t finish_us;
	char key[NAME_BYTES];

	malloc_trim(0);
	before = heap_bytes();
	ledger = ledger_new();
	start = clock_now_us();
	for (unsigned i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		accept_request(key);
	}
	accept_us = clock_now_us() - start;
	open_bytes = heap_bytes() - before;
	start = clock_now_us();
	for (unsigned i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		finish_request(key);
	}
	finish_us = clock_now_us() - start;
	printf("bench=requests requests=%u accept_us=%.3f finish_us=%.3f open_heap_bytes=%.1f "
	       "final_heap_bytes=%.1f",
	       n, us_per(accept_us, n), us_per(finish_us, n), (double)open_bytes / (double)n,
	       (double)(heap_bytes() - before) / (double)n);
	print_snapshot("final", n);
	putchar('\n');
	ledger_free(ledger);
}

static void fleet_apply(fleet_state_t *f, const wire_fleet_cmd_t *cmd)
{
	wire_fleet_res_t res = {0};

	fleet_apply_cmd(f, cmd, &res);
	if (res.status != STATUS_OK)
		exit(EXIT_FAILURE);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
}

static void open_members(fleet_state_t *f, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		char name[NAME_BYTES];
		char addr[NAME_BYTES];
		wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_OPEN};

		snprintf(name, sizeof(name), "entry-%u", i);
		snprintf(addr, sizeof(addr), "10.1.%u.%u:7000", i / 250, i % 250);
		cmd.wire_fleet_cmd_t_u.open = (wire_member_t){.name = wire_bytes(str_c(name)),
							      .addr = wire_bytes(str_c(addr)),
							      .peer = wire_bytes(str_c(addr)),
							      .zone = wire_bytes(STR("se-mid-a")),
							      .boot = i + 1};
		fleet_apply(f, &cmd);
	}
}

static void add_upstreams(fleet_state_t *f, unsigned n)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_UPSTREAMS};
	wire_upstream_t *u = mem_new(n * sizeof(*u));

	for (unsigned i = 0; i < n; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "engine-%u", i);
		u[i].id = wire_copy(str_c(name));
		u[i].addr = wire_copy(STR("10.2.100.100:8000"));
		u[i].zone = wire_copy(STR("se-mid-a"));
		u[i].service = wire_copy(STR("sammandrag-llm"));
	}
	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_val = u;
	fleet_apply(f, &cmd);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
}

/* Size and time of the view, which an entry fetches after each change, and the time the leader
 * needs to plan all owners. */
static void bench_fleet(unsigned members, unsigned upstreams)
{
	fleet_state_t *f = fleet_new(4);
	wire_query_t q = {.kind = WIRE_QUERY_VIEW};
	wire_query_res_t res;
	wire_fleet_cmd_t plan = {0};
	AUTO_BUF view = {0};
	AUTO_BUF snap = {0};
	int64_t start;
	int64_t plan_us;
	int64_t view_us;

	open_members(f, members);
	add_upstreams(f, upstreams);
	start = clock_now_us();
	fleet_plan_owners(f, upstreams, &plan);
	plan_us = clock_now_us() - start;
	fleet_apply(f, &plan);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &plan);
	start = clock_now_us();
	fleet_query(f, &q, &res);
	wire_encode(&view, XDR_PROC(wire_query_res_t), &res);
	view_us = clock_now_us() - start;
	wire_free(XDR_PROC(wire_query_res_t), &res);
	fleet_snapshot(f, &snap);
	printf("bench=fleet members=%u upstreams=%u view_bytes=%zu view_us=%lld plan_us=%lld "
	       "snapshot_bytes=%zu\n",
	       members, upstreams, view.n, (long long)view_us, (long long)plan_us, snap.n);
	fleet_free(f);
}

int main(void)
{
	static const unsigned sizes[] = {1000, 10000, 100000, LEDGER_JOB_ITEMS_MAX};
	static const unsigned callers[] = {10, 100, 1000, 12000};

	memset(body_text, 'x', sizeof(body_text));
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		bench_items(sizes[i], 1);
		for (size_t k = 0; k < sizeof(callers) / sizeof(callers[0]); k++)
			if (callers[k] <= sizes[i])
				bench_items(sizes[i], callers[k]);
	}
	bench_requests(REQUESTS);
	bench_fleet(6, 12);
	bench_fleet(9, 18);
	bench_fleet(30, 50);
	bench_fleet(100, 160);
	bench_fleet(380, 600);
	return EXIT_SUCCESS;
}
