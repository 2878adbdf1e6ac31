/* auburnctl: command line of operators and callers. */
#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include "base/args.h"
#include "ctl/ctl.h"

#define WORDS_MAX 3

static const struct {
	const char *group;
	const char *action; /* NULL: the group alone is the command */
	ctl_command_t run;
	const char *help;
} commands[] = {
	{"config", "check", ctl_config_check, "config check FILE        check a config"},
	{"config", "submit", ctl_config_submit,
	 "config submit FILE       submit a config [--number N]"},
	{"config", "show", ctl_config_show,
	 "config show              the config in force [--number N]"},
	{"config", "diff", ctl_config_diff,
	 "config diff FILE         lines that differ from the config in force"},
	{"job", "submit", ctl_job_submit,
	 "job submit FILE          --service S --key ID [--deadline-ms N] [--wait]"},
	{"job", "status", ctl_job_status, "job status ID            counts of a job [--wait]"},
	{"job", "results", ctl_job_results, "job results ID           results as JSON lines"},
	{"job", "cancel", ctl_job_cancel, "job cancel ID            stop a job"},
	{"job", "list", ctl_job_list, "job list                 the caller's jobs"},
	{"request", "send", ctl_request_send,
	 "request send             --service S --prompt P [--max-tokens N] [--path P] [--key K]"},
	{"request", "show", ctl_request_show,
	 "request show KEY         state and result of a request"},
	{"status", NULL, ctl_status,
	 "status                   all processes: config number, owners, queues"},
	{"trace", NULL, ctl_trace, "trace ID                 log lines of a trace"},
	{"explain", NULL, ctl_explain,
	 "explain KEY              log lines of all processes about a key"},
};

static ctl_command_t find_command(const ctl_t *ctl)
{
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (!ctl->words[0] || strcmp(ctl->words[0], commands[i].group) != 0)
			continue;
		if (!commands[i].action ||
		    (ctl->words[1] && strcmp(ctl->words[1], commands[i].action) == 0))
			return commands[i].run;
	}
	return NULL;
}

static void print_help(void **table)
{
	fputs("Usage: auburnctl", stdout);
	arg_print_syntax(stdout, table, "\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		printf("  %s\n", commands[i].help);
	puts("\nOptions:");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

static int run_command(ctl_t *ctl, const char *config)
{
	ctl_command_t command = find_command(ctl);
	bool local = command == ctl_config_check;

	if (!command) {
		fprintf(stderr, "auburnctl: unknown command, see --help\n");
		return EXIT_USAGE;
	}
	if (!config && !local) {
		fprintf(stderr, "auburnctl: --config FILE is missing\n");
		return EXIT_USAGE;
	}
	if (config && ctl_settings_load(config, &ctl->settings) != STATUS_OK) {
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_SETTINGS;
	}
	return command(ctl);
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_file *config = arg_file0("c", "config", "FILE", "settings (TOML)");
	struct arg_lit *check = arg_lit0(NULL, "check", "check the settings only");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *wait = arg_lit0(NULL, "wait", "wait until the job is finished");
	struct arg_str *service = arg_str0(NULL, "service", "NAME", "service");
	struct arg_str *key = arg_str0(NULL, "key", "KEY", "idempotency key or job id");
	struct arg_str *prompt = arg_str0(NULL, "prompt", "TEXT", "prompt or body");
	struct arg_str *path =
		arg_str0(NULL, "path", "PATH", "path of a call to a service of kind plain");
	struct arg_int *number = arg_int0(NULL, "number", "N", "number of a config");
	struct arg_int *tokens = arg_int0(NULL, "max-tokens", "N", "tokens at most");
	struct arg_int *deadline =
		arg_int0(NULL, "deadline-ms", "N", "time until the deadline of a job");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 0, WORDS_MAX, "command and its words");
	struct arg_end *end = arg_end(8);
	void *table[] = {help,	 version, config, check,  json,	    wait,  service, key,
			 prompt, path,	  number, tokens, deadline, words, end};
	int errors = arg_parse(argc, argv, table);
	ctl_t ctl = {0};

	if (help->count) {
		print_help(table);
		return EXIT_OK;
	}
	if (version->count) {
		puts("auburnctl " AUBURN_VERSION);
		return EXIT_OK;
	}
	if (errors) {
		arg_print_errors(stderr, end, "auburnctl");
		return EXIT_USAGE;
	}
	for (int i = 0; i < words->count; i++)
		ctl.words[i] = words->sval[i];
	ctl.service = service->count ? service->sval[0] : NULL;
	ctl.key = key->count ? key->sval[0] : NULL;
	ctl.prompt = prompt->count ? prompt->sval[0] : NULL;
	ctl.path = path->count ? path->sval[0] : NULL;
	ctl.number = number->count ? number->ival[0] : 0;
	ctl.max_tokens = tokens->count ? tokens->ival[0] : 0;
	ctl.deadline_ms = deadline->count ? deadline->ival[0] : 0;
	ctl.json = json->count > 0;
	ctl.wait = wait->count > 0;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (check->count && config->count) {
		if (ctl_settings_load(config->filename[0], &ctl.settings) == STATUS_OK)
			return EXIT_OK;
		fprintf(stderr, "auburnctl: %s\n", status_message());
		return EXIT_SETTINGS;
	}
	return run_command(&ctl, config->count ? config->filename[0] : NULL);
}
