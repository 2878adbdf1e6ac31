/* auburn-core-random: randomized simulations of the Raft core, one per seed. The run of a seed is
 * reproducible. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "tests/unit/sim.h"

static char abort_line[64];
static size_t abort_bytes;

/* An assert failed: prints the seed of the run. Only write() is safe in a signal handler, so the
 * line is prepared before each run. */
static void on_abort(int sig)
{
	if (write(STDERR_FILENO, abort_line, abort_bytes) < 0)
		_exit(2);
	_exit(1);
}

static void print_result(unsigned long seed, const sim_result_t *r)
{
	printf("result=%s seed=%lu step=%u writes=%lu reads=%lu elections=%lu installs=%lu "
	       "restarts=%lu disks_lost=%lu disk_failures=%lu disk_returns=%lu changes=%lu "
	       "stuck=%lu%s%s%s\n",
	       r->violated ? "violation" : "ok", seed, r->step, (unsigned long)r->writes,
	       (unsigned long)r->reads, (unsigned long)r->elections, (unsigned long)r->installs,
	       (unsigned long)r->restarts, (unsigned long)r->disks_lost,
	       (unsigned long)r->disk_failures, (unsigned long)r->disk_returns,
	       (unsigned long)r->changes, (unsigned long)r->stuck, r->violated ? " what=\"" : "",
	       r->what, r->violated ? "\"" : "");
	fflush(stdout);
}

static void add_counts(sim_result_t *sum, const sim_result_t *r)
{
	sum->writes += r->writes;
	sum->reads += r->reads;
	sum->elections += r->elections;
	sum->installs += r->installs;
	sum->restarts += r->restarts;
	sum->disks_lost += r->disks_lost;
	sum->disk_failures += r->disk_failures;
	sum->disk_returns += r->disk_returns;
	sum->changes += r->changes;
	sum->stuck += r->stuck;
}

static int run_seeds(unsigned long from, unsigned long to, const sim_options_t *options)
{
	sim_result_t sum = {0};
	sim_result_t r;

	for (unsigned long seed = from; seed <= to; seed++) {
		sim_options_t o = *options;

		o.seed = seed;
		abort_bytes = (size_t)snprintf(abort_line, sizeof(abort_line),
					       "result=abort seed=%lu\n", seed);
		if (!sim_run(&o, &r)) {
			print_result(seed, &r);
			return 1;
		}
		add_counts(&sum, &r);
	}
	sum.step = options->steps;
	print_result(to, &sum);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "S", "run this seed");
	struct arg_int *steps = arg_int0(NULL, "steps", "N", "steps of each run, default 2000");
	struct arg_str *seeds = arg_str0(NULL, "seeds", "A..B", "run each of these seeds");
	struct arg_lit *disks =
		arg_lit0(NULL, "disk-faults", "disks also hang, refuse writes or fail syncs");
	struct arg_end *end = arg_end(5);
	void *table[] = {seed, steps, seeds, disks, end};
	sim_options_t o = {0};
	unsigned long from = 1;
	unsigned long to;
	char *rest;

	steps->ival[0] = 2000;
	seed->ival[0] = 1;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	from = to = (unsigned long)seed->ival[0];
	if (seeds->count) {
		from = strtoul(seeds->sval[0], &rest, 10);
		to = strncmp(rest, "..", 2) == 0 ? strtoul(rest + 2, NULL, 10) : from;
	}
	signal(SIGABRT, on_abort);
	o.steps = (unsigned)steps->ival[0];
	o.disk_faults = disks->count > 0;
	return run_seeds(from, to, &o);
}
