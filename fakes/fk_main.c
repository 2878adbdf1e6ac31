/* Command line and life of a stand-in process. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include "base/lg.h"
#include "fk_common.h"

#define FK_VERSION "0.1.0"
#define FK_USAGE   2

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
		fprintf(stderr, "%s\n", st_message());
		return EXIT_FAILURE;
	}
	if (check_only)
		return EXIT_SUCCESS;
	block_stop_signals(&set);
	lg_open(p->name, LG_INFO);
	if (ulfius_global_init() != U_OK || p->start(p->ctx) != ST_OK) {
		fprintf(stderr, "%s: %s\n", p->name, st_message());
		return EXIT_FAILURE;
	}
	lg(LG_INFO, "started", LG_C("settings", path));
	sigwait(&set, &sig);
	lg(LG_INFO, "stopped", LG_I("signal", sig));
	_exit(EXIT_SUCCESS);
}

int fk_main(int argc, char **argv, const fk_program_t *p)
{
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings in TOML");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and end");
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
	struct arg_end *end = arg_end(8);
	void *table[] = {config, check, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int rc = EXIT_SUCCESS;

	if (help->count) {
		printf("%s: %s\nUsage: %s", p->name, p->about, p->name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
	} else if (version->count) {
		printf("%s %s\n", p->name, FK_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, end, p->name);
		rc = FK_USAGE;
	} else if (!config->count) {
		fprintf(stderr, "%s: --config FILE is missing\n", p->name);
		rc = FK_USAGE;
	} else {
		rc = run(p, config->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
