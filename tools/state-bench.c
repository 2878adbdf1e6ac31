/* Measures the state machines: the ledger's time and memory for each item and request, the size of
 * the fleet's view and what planning owners costs. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/clk.h"
#include "state/fl.h"
#include "state/ld.h"

#define BODY_BYTES   200
#define RESULT_BYTES 200
#define NOW_MS	     1000000
#define DAY_MS	     86400000LL
#define REQUESTS     100000
#define NAME_BYTES   32

static ld_t *l;
static char body_text[BODY_BYTES];

static void apply(const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res)
{
	ld_apply(l, cmd, res);
	if (res->status == ST_OK)
		return;
	fprintf(stderr, "command %d: %.*s\n", (int)cmd->kind, STR_ARG(px_str(res->message)));
	exit(EXIT_FAILURE);
}

static void apply_free(const aw_ledger_cmd_t *cmd)
{
	aw_ledger_res_t res;

	apply(cmd, &res);
	px_free(PX(aw_ledger_res_t), &res);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static double per(int64_t us, size_t n)
{
	return (double)us / (double)n;
}

static void add_job(const char *caller, const char *job, unsigned count)
{
	static aw_bytes_t bodies[LD_LEASE_CHUNK_MAX];
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_JOB_OPEN};
	uint64_t digest = 0;

	for (unsigned i = 0; i < count; i++)
		digest = ld_digest_step(digest, (str_t){body_text, BODY_BYTES});
	cmd.aw_ledger_cmd_t_u.open = (aw_job_open_t){
		.caller = px_bytes(str_c(caller)),
		.job = px_bytes(str_c(job)),
		.digest = digest,
		.service = px_bytes(STR("llm")),
		.deadline_wall_ms = NOW_MS + DAY_MS,
		.count = count,
		.now_wall_ms = NOW_MS,
	};
	apply_free(&cmd);
	for (unsigned i = 0; i < LD_LEASE_CHUNK_MAX; i++)
		bodies[i] = px_bytes((str_t){body_text, BODY_BYTES});
	for (unsigned first = 0; first < count; first += LD_LEASE_CHUNK_MAX) {
		unsigned n = count - first;

		cmd.kind = AW_LEDGER_JOB_ITEMS;
		cmd.aw_ledger_cmd_t_u.items = (aw_job_items_t){
			.caller = px_bytes(str_c(caller)),
			.job = px_bytes(str_c(job)),
			.first = first,
		};
		cmd.aw_ledger_cmd_t_u.items.bodies.bodies_len =
			n < LD_LEASE_CHUNK_MAX ? n : LD_LEASE_CHUNK_MAX;
		cmd.aw_ledger_cmd_t_u.items.bodies.bodies_val = bodies;
		apply_free(&cmd);
	}
	cmd.kind = AW_LEDGER_JOB_SEAL;
	cmd.aw_ledger_cmd_t_u.seal =
		(aw_job_ref_t){px_bytes(str_c(caller)), px_bytes(str_c(job)), NOW_MS};
	apply_free(&cmd);
}

/* Time of LEASE and DONE over all items. */
typedef struct {
	int64_t lease_us;
	int64_t done_us;
	size_t items;
} drain_t;

static void deliver(const aw_ledger_res_t *leased)
{
	static aw_item_result_t results[LD_LEASE_CHUNK_MAX];
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_DONE};
	u_int n = leased->items.items_len;

	for (u_int i = 0; i < n; i++) {
		const aw_item_t *it = &leased->items.items_val[i];

		results[i] = (aw_item_result_t){
			.caller = it->caller,
			.job = it->job,
			.index = it->index,
			.attempt = it->attempt,
			.done = true,
			.body = px_bytes((str_t){body_text, RESULT_BYTES}),
		};
	}
	cmd.aw_ledger_cmd_t_u.done = (aw_done_t){.session = 1, .now_wall_ms = NOW_MS};
	cmd.aw_ledger_cmd_t_u.done.results.results_len = n;
	cmd.aw_ledger_cmd_t_u.done.results.results_val = results;
	apply_free(&cmd);
}

static drain_t drain(void)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_LEASE};
	drain_t d = {0};
	u_int got;

	cmd.aw_ledger_cmd_t_u.lease = (aw_lease_t){.session = 1,
						   .service = px_bytes(STR("llm")),
						   .max = LD_LEASE_CHUNK_MAX,
						   .now_wall_ms = NOW_MS};
	do {
		aw_ledger_res_t res;
		int64_t start = clk_now_us();

		cmd.aw_ledger_cmd_t_u.lease.seq++;
		apply(&cmd, &res);
		d.lease_us += clk_now_us() - start;
		got = res.items.items_len;
		d.items += got;
		start = clk_now_us();
		if (got)
			deliver(&res);
		d.done_us += clk_now_us() - start;
		px_free(PX(aw_ledger_res_t), &res);
	} while (got);
	return d;
}

/* Prints the time and size of a snapshot of n items or requests and of its restore. */
static void snapshot(const char *when, size_t n)
{
	buf_t snap = {0};
	int64_t start = clk_now_us();
	int64_t middle;
	ld_t *copy = ld_new();

	ld_snapshot(l, &snap);
	middle = clk_now_us();
	if (ld_restore(copy, str_buf(&snap)) != ST_OK)
		exit(EXIT_FAILURE);
	printf(" %s_snapshot_us=%.3f %s_restore_us=%.3f %s_snapshot_bytes=%.1f", when,
	       per(middle - start, n), when, per(clk_now_us() - middle, n), when,
	       (double)snap.n / (double)n);
	ld_free(copy);
	buf_free(&snap);
}

static void bench_items(unsigned items, unsigned callers)
{
	size_t before;
	size_t after;
	int64_t start;
	int64_t accept_us;
	drain_t d;
	ld_stats_t st;
	char caller[NAME_BYTES];

	malloc_trim(0);
	before = heap_bytes();
	l = ld_new();
	start = clk_now_us();
	for (unsigned i = 0; i < callers; i++) {
		snprintf(caller, sizeof(caller), "caller-%u", i);
		add_job(caller, "job", items / callers);
	}
	accept_us = clk_now_us() - start;
	after = heap_bytes();
	ld_stats(l, &st);
	printf("bench=items items=%u callers=%u body_bytes=%d accept_us=%.3f heap_bytes=%.1f "
	       "counted_bytes=%.1f",
	       items, callers, BODY_BYTES, per(accept_us, st.items),
	       (double)(after - before) / (double)st.items, (double)st.bytes / (double)st.items);
	snapshot("waiting", st.items);
	d = drain();
	after = heap_bytes();
	printf(" lease_us=%.3f done_us=%.3f result_bytes=%d done_heap_bytes=%.1f",
	       per(d.lease_us, d.items), per(d.done_us, d.items), RESULT_BYTES,
	       (double)(after - before) / (double)d.items);
	snapshot("done", st.items);
	putchar('\n');
	ld_free(l);
}

static void finish(const char *key)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_FINISH};

	cmd.aw_ledger_cmd_t_u.finish = (aw_finish_t){
		.caller = px_bytes(STR("desk")),
		.key = px_bytes(str_c(key)),
		.state = AW_DONE,
		.verdict = VERDICT_RAN,
		.http_status = 200,
		.result = px_bytes((str_t){body_text, RESULT_BYTES}),
		.now_wall_ms = NOW_MS,
	};
	apply_free(&cmd);
}

static void accept_request(const char *key)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_ACCEPT};

	cmd.aw_ledger_cmd_t_u.accept = (aw_accept_t){
		.caller = px_bytes(STR("desk")),
		.key = px_bytes(str_c(key)),
		.digest = 1,
		.service = px_bytes(STR("llm")),
		.repeatable = true,
		.deadline_wall_ms = NOW_MS + DAY_MS,
		.session = 1,
		.path = px_bytes(STR("/v1/completions")),
		.body = px_bytes((str_t){body_text, BODY_BYTES}),
	};
	apply_free(&cmd);
}

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
	l = ld_new();
	start = clk_now_us();
	for (unsigned i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		accept_request(key);
	}
	accept_us = clk_now_us() - start;
	open_bytes = heap_bytes() - before;
	start = clk_now_us();
	for (unsigned i = 0; i < n; i++) {
		snprintf(key, sizeof(key), "key-%u", i);
		finish(key);
	}
	finish_us = clk_now_us() - start;
	printf("bench=requests requests=%u accept_us=%.3f finish_us=%.3f open_heap_bytes=%.1f "
	       "final_heap_bytes=%.1f",
	       n, per(accept_us, n), per(finish_us, n), (double)open_bytes / (double)n,
	       (double)(heap_bytes() - before) / (double)n);
	snapshot("final", n);
	putchar('\n');
	ld_free(l);
}

static void fleet_apply(fl_t *f, const aw_fleet_cmd_t *cmd)
{
	aw_fleet_res_t res = {0};

	fl_apply(f, cmd, &res);
	if (res.status != ST_OK)
		exit(EXIT_FAILURE);
	px_free(PX(aw_fleet_res_t), &res);
}

static void open_members(fl_t *f, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		char name[NAME_BYTES];
		char addr[NAME_BYTES];
		aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_OPEN};

		snprintf(name, sizeof(name), "entry-%u", i);
		snprintf(addr, sizeof(addr), "10.1.%u.%u:7000", i / 250, i % 250);
		cmd.aw_fleet_cmd_t_u.open = (aw_member_t){.name = px_bytes(str_c(name)),
							  .addr = px_bytes(str_c(addr)),
							  .peer = px_bytes(str_c(addr)),
							  .zone = px_bytes(STR("se-mid-a")),
							  .boot = i + 1};
		fleet_apply(f, &cmd);
	}
}

static void list_upstreams(fl_t *f, unsigned n)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_UPSTREAMS};
	aw_upstream_t *u = mem_new(n * sizeof(*u));

	for (unsigned i = 0; i < n; i++) {
		char name[NAME_BYTES];

		snprintf(name, sizeof(name), "engine-%u", i);
		u[i].id = px_copy(str_c(name));
		u[i].addr = px_copy(STR("10.2.100.100:8000"));
		u[i].zone = px_copy(STR("se-mid-a"));
		u[i].service = px_copy(STR("sammandrag-llm"));
	}
	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_val = u;
	fleet_apply(f, &cmd);
	px_free(PX(aw_fleet_cmd_t), &cmd);
}

/* What an entry fetches when the view changed, and what the leader spends to plan. */
static void bench_fleet(unsigned members, unsigned upstreams)
{
	fl_t *f = fl_new(4);
	aw_query_t q = {.kind = AW_QUERY_VIEW};
	aw_query_res_t res;
	aw_fleet_cmd_t plan = {0};
	AUTO_BUF view = {0};
	AUTO_BUF snap = {0};
	int64_t start;
	int64_t plan_us;
	int64_t view_us;

	open_members(f, members);
	list_upstreams(f, upstreams);
	start = clk_now_us();
	fl_plan_owners(f, upstreams, &plan);
	plan_us = clk_now_us() - start;
	fleet_apply(f, &plan);
	px_free(PX(aw_fleet_cmd_t), &plan);
	start = clk_now_us();
	fl_query(f, &q, &res);
	px_encode(&view, PX(aw_query_res_t), &res);
	view_us = clk_now_us() - start;
	px_free(PX(aw_query_res_t), &res);
	fl_snapshot(f, &snap);
	printf("bench=fleet members=%u upstreams=%u view_bytes=%zu view_us=%lld plan_us=%lld "
	       "snapshot_bytes=%zu\n",
	       members, upstreams, view.n, (long long)view_us, (long long)plan_us, snap.n);
	fl_free(f);
}

int main(void)
{
	static const unsigned sizes[] = {1000, 10000, 100000, LD_JOB_ITEMS_MAX};
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
