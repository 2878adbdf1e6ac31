/** Command line shared by the daemons, and the exit codes of all programs. */
#ifndef AUBURN_ARGS_H
#define AUBURN_ARGS_H

#include <stdbool.h>

#define AUBURN_VERSION "0.1.0"

enum {
	EXIT_OK = 0,
	EXIT_FAILED = 1, /* the requested operation failed */
	EXIT_USAGE = 2, /* bad command line */
	EXIT_SETTINGS = 3, /* invalid settings file */
	EXIT_LISTEN = 4, /* cannot listen on a port */
	EXIT_DATA = 5, /* data directory damaged or not writable */
	EXIT_UNREACHED = 6 /* no process that could answer was reached */
};

typedef struct {
	const char *program;
	const char *description;
	const char *flag; /* name of the program's own extra flag, or NULL */
	const char *flag_help;
} args_options_t;

typedef struct {
	char *config; /* path of the settings file */
	bool check; /* only validate the settings, then exit */
	bool flag; /* the extra flag was given */
} args_parsed_t;

/** Parses the command line. Fills out and returns -1 if the program should go on; after --help,
 * --version or a usage error returns its exit code. */
int args_parse(const args_options_t *o, int argc, char **argv, args_parsed_t *out);

#endif
