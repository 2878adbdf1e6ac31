/* Start and stop of a fake program. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include "base/args.h"
#include "base/log.h"
#include "fake_common.h"

static void block_stop_signals(sigset_t *set)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

static int run(const fake_program_t *p, const char *path, bool check_only)
{
	AUTO_TOML *c = NULL;
	sigset_t set;
	int sig = 0;

	if (toml_load(path, &c) != STATUS_OK || p->configure(p->ctx, c) != STATUS_OK) {
		fprintf(stderr, "%s: %s\n", p->name, status_message());
		return EXIT_SETTINGS;
	}
	if (check_only)
		return EXIT_OK;
	block_stop_signals(&set);
	log_open(p->name, LOG_LEVEL_INFO);
	if (ulfius_global_init() != U_OK || p->start(p->ctx) != STATUS_OK) {
		fprintf(stderr, "%s: %s\n", p->name, status_message());
		return EXIT_LISTEN;
	}
	log_event(LOG_LEVEL_INFO, "started", LOG_CSTR("settings", path));
	sigwait(&set, &sig);
	log_event(LOG_LEVEL_INFO, "stopped", LOG_INT("signal", sig));
	_exit(EXIT_OK);
}

int fake_main(int argc, char **argv, const fake_program_t *p)
{
	const args_options_t o = {p->name, p->about, NULL, NULL};
	args_parsed_t args;
	int code = args_parse(&o, argc, argv, &args);

	return code >= 0 ? code : run(p, args.config, args.check);
}
