/** Command line that the daemons share, and their exit codes. */
#ifndef AUBURN_ARGS_H
#define AUBURN_ARGS_H

#include <stdbool.h>

#define AUBURN_VERSION "0.1.0"

/** Exit codes of every program. */
enum {
	EXIT_OK = 0,
	EXIT_FAILED = 1, /* it ran and what was asked for failed */
	EXIT_USAGE = 2, /* bad command line */
	EXIT_SETTINGS = 3, /* settings file wrong */
	EXIT_LISTEN = 4, /* a port can't be listened on */
	EXIT_DATA = 5, /* the data folder can't be written or is damaged */
	EXIT_UNREACHED = 6 /* nobody who could answer was reached */
};

typedef struct {
	const char *program;
	const char *about;
	const char *flag; /* name of one more flag, or NULL */
	const char *flag_help;
} args_options_t;

typedef struct {
	char *config; /* path of the settings file */
	bool check; /* read the settings, say what is wrong, start nothing */
	bool flag;
} args_parsed_t;

/** Parses; -1 when the program is to go on, else the exit code (after --help, --version, a fault).
 */
int args_parse(const args_options_t *o, int argc, char **argv, args_parsed_t *out);

#endif
