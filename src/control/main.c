/* auburn-control: starts the servers, opens the groups, and runs the leader's periodic work until
 * SIGTERM or SIGINT. */
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
/** A planned stop waits up to this long for HTTP calls in progress, in ms; their time limit is
 * 2,500 ms. */
#define CALLS_DRAIN_MS 2700
#define STOP_POLL_MS   50 /* the hub updates its busy flag every 25 ms */

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

/* STATUS_IO if this process is to stop while its disk refuses reads or writes. */
static status_t open_groups(control_t *ctl, bool bootstrap)
{
	control_boot_t boot = control_boot_decide(ctl, bootstrap);

	log_event(LOG_LEVEL_INFO, "opening", LOG_CSTR("data", ctl->settings.data),
		  LOG_CSTR("as", boot == CONTROL_BOOT_MEMBER	  ? "member"
				 : boot == CONTROL_BOOT_NEW_FLEET ? "founder"
								  : "learner"));
	for (unsigned n = 0; n < ctl->ngroups; n++) {
		status_t st = control_group_open(ctl, n, boot == CONTROL_BOOT_NEW_FLEET);

		if (st != STATUS_OK)
			return st;
	}
	ctl->ready = true;
	return STATUS_OK;
}

/* Hands over leadership first, so that no group has to wait for an election timeout. The groups
 * stay open until the process ends: other threads use them, and each acknowledged command is
 * synced. */
static void stop_planned(control_t *ctl)
{
	log_event(LOG_LEVEL_INFO, "stopping", LOG_CSTR("reason", "signal"));
	for (unsigned n = 0; n < ctl->ngroups; n++)
		group_step_down(ctl->groups[n].raft, clock_now_ms() + STEP_DOWN_MS);
	/* Waits until the HTTP calls in progress are answered. New calls are forwarded to the next
	 * leader, and fail until the link to it is up. */
	if (ctl->hub) {
		deadline_t by = clock_now_ms() + CALLS_DRAIN_MS;

		do
			clock_sleep_ms(STOP_POLL_MS);
		while (hub_is_busy(ctl) && clock_now_ms() < by);
	}
	log_event(LOG_LEVEL_INFO, "stopped", LOG_CSTR("name", ctl->settings.name));
}

/* Adds the control processes that are new in the settings file to those that the hub tries as the
 * leader. A new address route applies, too, unless its address has one already; all other changes
 * need a restart. */
static void reload(control_t *ctl, const char *path)
{
	control_settings_t s;

	if (control_settings_load(path, &s) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "reload_failed", LOG_CSTR("what", status_message()));
		return;
	}
	if (ctl->hub)
		hub_add_controls(ctl, &s.controls);
	log_event(LOG_LEVEL_INFO, "reloaded", LOG_INT("controls", s.controls.n));
}

static void run_rounds(control_t *ctl, const sigset_t *set, const char *path)
{
	struct timespec round = {0, ROUND_MS * 1000000L};

	for (;;) {
		int sig = sigtimedwait(set, NULL, &round);

		if (sig == SIGHUP)
			reload(ctl, path);
		else if (sig > 0)
			break;
		else
			control_leader_round(ctl);
	}
	stop_planned(ctl);
}

static control_client_t *new_client(const control_settings_t *s)
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
	static control_t ctl;
	sigset_t set;
	args_parsed_t args;
	status_t opened;
	int code = args_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	mem_setup();
	if (control_settings_load(args.config, &ctl.settings) != STATUS_OK)
		return fail_with(EXIT_SETTINGS);
	if (args.check)
		return EXIT_OK;
	if (sodium_init() < 0)
		return EXIT_FAILED;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	block_signals(&set);
	log_open(ctl.settings.name, LOG_LEVEL_INFO);
	if (make_data_folder(ctl.settings.data) != STATUS_OK)
		return fail_with(EXIT_DATA);
	ctl.ngroups = (unsigned)ctl.settings.ledger_groups + 1;
	ctl.groups = mem_new(ctl.ngroups * sizeof(*ctl.groups));
	ctl.client = new_client(&ctl.settings);
	ctl.peers = control_peers_new(&ctl);
	ctl.sessions = control_sessions_new();
	if (control_rpc_start(&ctl) != STATUS_OK || control_http_start(&ctl) != STATUS_OK)
		return fail_with(EXIT_LISTEN);
	opened = open_groups(&ctl, args.flag || ctl.settings.bootstrap);
	if (opened == STATUS_IO) {
		log_event(LOG_LEVEL_INFO, "stopped", LOG_CSTR("name", ctl.settings.name));
		fflush(NULL);
		_exit(EXIT_OK);
	}
	if (opened != STATUS_OK)
		return fail_with(EXIT_DATA);
	if (ctl.settings.link_port && hub_start(&ctl) != STATUS_OK)
		return fail_with(EXIT_LISTEN);
	run_rounds(&ctl, &set, args.config);
	fflush(NULL);
	/* exit() would run handlers that free memory in use by other threads. */
	_exit(EXIT_OK);
}
