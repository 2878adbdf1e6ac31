#include "base/args.h"

#include <stdio.h>
#include <argtable2.h>
#include "base/str.h"

/* Returns the exit code after --help, --version or a usage error, else -1. */
static int early_exit_code(const args_options_t *o, struct arg_lit *help, struct arg_lit *version,
			   struct arg_file *config, struct arg_end *end, int errors, void **table)
{
	if (help->count) {
		printf("Usage: %s", o->program);
		arg_print_syntax(stdout, table, "\n");
		printf("%s\n\n", o->description);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		return EXIT_OK;
	}
	if (version->count) {
		printf("%s %s\n", o->program, AUBURN_VERSION);
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, end, o->program);
		return EXIT_USAGE;
	}
	if (!config->count) {
		fprintf(stderr, "%s: --config FILE is missing\n", o->program);
		return EXIT_USAGE;
	}
	return -1;
}

int args_parse(const args_options_t *o, int argc, char **argv, args_parsed_t *out)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings (TOML)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings and start nothing");
	struct arg_lit *flag = o->flag ? arg_lit0(NULL, o->flag, o->flag_help) : NULL;
	struct arg_end *end = arg_end(8);
	void *table[] = {help, version, config, check, flag ? (void *)flag : (void *)end, end};
	int errors = arg_parse(argc, argv, table);
	int code = early_exit_code(o, help, version, config, end, errors, table);

	if (code < 0) {
		out->config = str_dup(str_c(config->filename[0]));
		out->check = check->count > 0;
		out->flag = flag && flag->count > 0;
	}
	arg_freetable(table, flag ? 6 : 5);
	return code;
}
