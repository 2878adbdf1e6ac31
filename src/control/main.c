/* auburn-control: starts the groups and runs the control thread. */
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include "base/args.h"
#include "base/log.h"
#include "control/control.h"

#define ROUND_MS     50
#define STEP_DOWN_MS 2000
/** Calls under way at a planned stop are waited for, in ms: they have an answer after 2,500. */
#define CALLS_MS     2700
#define STOP_POLL_MS 50 /* the hub looks every 25 */

static int fail_with(int code)
{
	fprintf(stderr, "auburn-control: %s\n", status_message());
	return code;
}

static status_t make_data_folder(const char *path)
{
	if (mkdir(path, 0700) != 0 && errno != EEXIST)
		return status_fail(STATUS_IO, "data folder %s: %s", path, strerror(errno));
	if (access(path, W_OK | X_OK) != 0)
		return status_fail(STATUS_IO, "data folder %s: %s", path, strerror(errno));
	return STATUS_OK;
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

static status_t open_groups(control_t *cn, bool bootstrap)
{
	control_boot_t boot = control_boot_decide(cn, bootstrap);

	log_event(LOG_LEVEL_INFO, "opening", LOG_CSTR("data", cn->settings.data),
		  LOG_CSTR("as", boot == CONTROL_BOOT_MEMBER	  ? "member"
				 : boot == CONTROL_BOOT_NEW_FLEET ? "founder"
								  : "learner"));
	for (unsigned n = 0; n < cn->ngroups; n++) {
		status_t st = control_group_open(cn, n, boot == CONTROL_BOOT_NEW_FLEET);

		if (st != STATUS_OK)
			return st;
	}
	cn->ready = true;
	return STATUS_OK;
}

/* A planned stop hands leadership over first, so that nobody waits for an election. The groups stay
 * open until the process ends: other threads use them, and what was acknowledged is synced. */
static void stop(control_t *cn)
{
	log_event(LOG_LEVEL_INFO, "stopping", LOG_CSTR("reason", "signal"));
	for (unsigned n = 0; n < cn->ngroups; n++)
		group_step_down(cn->groups[n].raft, clock_now_ms() + STEP_DOWN_MS);
	/* Operators' calls under way are answered, by the next leader if need be. */
	if (cn->hub) {
		deadline_t by = clock_now_ms() + CALLS_MS;

		do
			clock_sleep_ms(STOP_POLL_MS);
		while (hub_is_busy(cn) && clock_now_ms() < by);
	}
	log_event(LOG_LEVEL_INFO, "stopped", LOG_CSTR("name", cn->settings.name));
}

/* Only the known control processes may change without a restart. */
static void reload(control_t *cn, const char *path)
{
	control_settings_t s;

	if (control_settings_load(path, &s) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "reload_failed", LOG_CSTR("what", status_message()));
		return;
	}
	if (cn->hub)
		hub_add_controls(cn, &s.controls);
	log_event(LOG_LEVEL_INFO, "reloaded", LOG_INT("controls", s.controls.n));
}

static void run(control_t *cn, const sigset_t *set, const char *path)
{
	struct timespec round = {0, ROUND_MS * 1000000L};

	for (;;) {
		int got = sigtimedwait(set, NULL, &round);

		if (got == SIGHUP)
			reload(cn, path);
		else if (got > 0)
			break;
		else
			control_leader_round(cn);
	}
	stop(cn);
}

static control_client_t *make_client(const control_settings_t *s)
{
	const char *addrs[2 * GROUP_PEERS_MAX];
	size_t n = 0;

	for (size_t i = 0; i < s->controls.n; i++)
		addrs[n++] = s->controls.v[i];
	for (size_t i = 0; i < s->spares.n; i++)
		addrs[n++] = s->spares.v[i];
	return control_client_new(addrs, n, s->ledger_groups ? (unsigned)s->ledger_groups : 1);
}

int main(int argc, char **argv)
{
	const args_options_t o = {
		"auburn-control", "One replica of auburnwing's durable state.", "bootstrap",
		"found a new fleet if the data folder is new and no other control "
		"process holds state"};
	static control_t cn;
	sigset_t set;
	args_parsed_t args;
	int code = args_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	if (control_settings_load(args.config, &cn.settings) != STATUS_OK)
		return fail_with(EXIT_SETTINGS);
	if (args.check)
		return EXIT_OK;
	if (sodium_init() < 0)
		return EXIT_FAILED;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	block_signals(&set);
	log_open(cn.settings.name, LOG_LEVEL_INFO);
	if (make_data_folder(cn.settings.data) != STATUS_OK)
		return fail_with(EXIT_DATA);
	cn.ngroups = (unsigned)cn.settings.ledger_groups + 1;
	cn.groups = mem_new(cn.ngroups * sizeof(*cn.groups));
	cn.client = make_client(&cn.settings);
	cn.peers = control_peers_new(&cn);
	cn.sessions = control_sessions_new();
	if (control_rpc_start(&cn) != STATUS_OK || control_http_start(&cn) != STATUS_OK)
		return fail_with(EXIT_LISTEN);
	if (open_groups(&cn, args.flag || cn.settings.bootstrap) != STATUS_OK)
		return fail_with(EXIT_DATA);
	if (cn.settings.link_port && hub_start(&cn) != STATUS_OK)
		return fail_with(EXIT_LISTEN);
	run(&cn, &set, args.config);
	fflush(NULL);
	/* Not through exit: its handlers would free what other threads still use. */
	_exit(EXIT_OK);
}
