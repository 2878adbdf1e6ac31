/* Command line and life of a stand-in process. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include "base/ar.h"
#include "base/lg.h"
#include "fk_common.h"

static void block_stop_signals(sigset_t *set)
{
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
}

static int run(const fk_program_t *p, const char *path, bool check_only)
{
	AUTO_CF *c = NULL;
	sigset_t set;
	int sig = 0;

	if (cf_load(path, &c) != ST_OK || p->configure(p->ctx, c) != ST_OK) {
		fprintf(stderr, "%s: %s\n", p->name, st_message());
		return AR_SETTINGS;
	}
	if (check_only)
		return AR_OK;
	block_stop_signals(&set);
	lg_open(p->name, LG_INFO);
	if (ulfius_global_init() != U_OK || p->start(p->ctx) != ST_OK) {
		fprintf(stderr, "%s: %s\n", p->name, st_message());
		return AR_LISTEN;
	}
	lg(LG_INFO, "started", LG_C("settings", path));
	sigwait(&set, &sig);
	lg(LG_INFO, "stopped", LG_I("signal", sig));
	_exit(AR_OK);
}

int fk_main(int argc, char **argv, const fk_program_t *p)
{
	const ar_options_t o = {p->name, p->about, NULL, NULL};
	ar_t args;
	int code = ar_parse(&o, argc, argv, &args);

	return code >= 0 ? code : run(p, args.config, args.check);
}
