/* auburn-control: starts the groups and runs the control thread. */
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "base/ar.h"
#include "base/lg.h"
#include "control/cn.h"

#define ROUND_MS     50
#define STEP_DOWN_MS 2000
/** Calls under way at a planned stop are waited for, in ms: they have an answer after 2,500. */
#define CALLS_MS     2700
#define STOP_POLL_MS 50 /* the hub looks every 25 */

static int fail_with(int code)
{
	fprintf(stderr, "auburn-control: %s\n", st_message());
	return code;
}

static status_t make_data_folder(const char *path)
{
	if (mkdir(path, 0700) != 0 && errno != EEXIST)
		return st_fail(ST_IO, "data folder %s: %s", path, strerror(errno));
	if (access(path, W_OK | X_OK) != 0)
		return st_fail(ST_IO, "data folder %s: %s", path, strerror(errno));
	return ST_OK;
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static status_t open_groups(cn_t *cn, bool bootstrap)
{
	cn_boot_t boot = cn_boot_decide(cn, bootstrap);

	lg(LG_INFO, "opening", LG_C("data", cn->s.data),
	   LG_C("as", boot == CN_BOOT_MEMBER	  ? "member"
		      : boot == CN_BOOT_NEW_FLEET ? "founder"
						  : "learner"));
	for (unsigned n = 0; n < cn->ngroups; n++) {
		status_t st = cn_group_open(cn, n, boot == CN_BOOT_NEW_FLEET);

		if (st != ST_OK)
			return st;
	}
	cn->ready = true;
	return ST_OK;
}

/* A planned stop hands leadership over first, so that nobody waits for an election. The groups stay
 * open until the process ends: other threads use them, and what was acknowledged is synced. */
static void stop(cn_t *cn)
{
	lg(LG_INFO, "stopping", LG_C("reason", "signal"));
	for (unsigned n = 0; n < cn->ngroups; n++)
		gr_step_down(cn->groups[n].gr, clk_now_ms() + STEP_DOWN_MS);
	/* Operators' calls under way are answered, by the next leader if need be. */
	if (cn->hub) {
		deadline_t by = clk_now_ms() + CALLS_MS;

		do
			clk_sleep_ms(STOP_POLL_MS);
		while (cn_hub_busy(cn) && clk_now_ms() < by);
	}
	lg(LG_INFO, "stopped", LG_C("name", cn->s.name));
}

/* Only the known control processes may change without a restart. */
static void reload(cn_t *cn, const char *path)
{
	cn_settings_t s;

	if (cn_settings_load(path, &s) != ST_OK) {
		lg(LG_ERROR, "reload_failed", LG_C("what", st_message()));
		return;
	}
	if (cn->hub)
		cn_hub_add_controls(cn, &s.controls);
	lg(LG_INFO, "reloaded", LG_I("controls", s.controls.n));
}

static void run(cn_t *cn, const sigset_t *set, const char *path)
{
	struct timespec round = {0, ROUND_MS * 1000000L};

	for (;;) {
		int got = sigtimedwait(set, NULL, &round);

		if (got == SIGHUP)
			reload(cn, path);
		else if (got > 0)
			break;
		else
			cn_lead_round(cn);
	}
	stop(cn);
}

static cc_t *make_client(const cn_settings_t *s)
{
	const char *addrs[2 * GR_PEERS_MAX];
	size_t n = 0;

	for (size_t i = 0; i < s->controls.n; i++)
		addrs[n++] = s->controls.v[i];
	for (size_t i = 0; i < s->spares.n; i++)
		addrs[n++] = s->spares.v[i];
	return cc_new(addrs, n, s->ledger_groups ? (unsigned)s->ledger_groups : 1);
}

int main(int argc, char **argv)
{
	const ar_options_t o = {"auburn-control", "One replica of auburnwing's durable state.",
				"bootstrap",
				"found a new fleet if the data folder is new and no other control "
				"process holds state"};
	static cn_t cn;
	sigset_t set;
	ar_t args;
	int code = ar_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	if (cn_settings_load(args.config, &cn.s) != ST_OK)
		return fail_with(AR_SETTINGS);
	if (args.check)
		return AR_OK;
	if (sodium_init() < 0)
		return AR_FAILED;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	block_signals(&set);
	lg_open(cn.s.name, LG_INFO);
	if (make_data_folder(cn.s.data) != ST_OK)
		return fail_with(AR_DATA);
	cn.ngroups = (unsigned)cn.s.ledger_groups + 1;
	cn.groups = mem_new(cn.ngroups * sizeof(*cn.groups));
	cn.cc = make_client(&cn.s);
	cn.peers = cn_peers_new(&cn);
	cn.sessions = cn_sessions_new();
	if (cn_rpc_start(&cn) != ST_OK || cn_http_start(&cn) != ST_OK)
		return fail_with(AR_LISTEN);
	if (open_groups(&cn, args.flag || cn.s.bootstrap) != ST_OK)
		return fail_with(AR_DATA);
	if (cn.s.link_port && cn_hub_start(&cn) != ST_OK)
		return fail_with(AR_LISTEN);
	run(&cn, &set, args.config);
	fflush(NULL);
	/* Not through exit: its handlers would free what other threads still use. */
	_exit(AR_OK);
}
