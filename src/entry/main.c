#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/args.h"
#include "base/log.h"
#include "base/metric.h"
#include "entry/addresses.h"
#include "entry/admission.h"
#include "entry/batch.h"
#include "entry/heartbeat.h"
#include "entry/entry.h"
#include "entry/entry_drain.h"
#include "entry/filter.h"
#include "entry/peer_api.h"
#include "entry/job_api.h"
#include "entry/bearer_keys.h"
#include "entry/load_exchange.h"
#include "entry/config_api.h"
#include "entry/probe.h"
#include "entry/status_api.h"
#include "entry/upstream.h"

static entry_ctx_t en;

uint64_t entry_random(void)
{
	uint64_t v;

	randombytes_buf(&v, sizeof(v));
	return v;
}

static int handle_completion(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	static const filter_step_t chain[] = {
		{filter_identify}, {filter_check_lease}, {filter_match_model}, {filter_idempotency},
		{filter_admit},	   {filter_accept},	 {filter_complete},    {NULL}};

	return filter_run(ctx, req, res, "entry", chain);
}

static int handle_plain_call(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	static const filter_step_t chain[] = {
		{filter_identify}, {filter_check_lease}, {filter_match_plain}, {filter_idempotency},
		{filter_admit},	   {filter_accept},	 {filter_plain},       {NULL}};

	return filter_run(ctx, req, res, "entry", chain);
}

static const httpd_endpoint_t endpoints[] = {{"GET", "/v1/addresses", addresses_get},
					     {"POST", "/v1/completions", handle_completion},
					     {"GET", "/v1/requests/:key", job_api_get_request},
					     {"POST", "/v1/services/:service/*", handle_plain_call},
					     {"POST", "/v1/jobs", job_api_submit},
					     {"GET", "/v1/jobs", job_api_list},
					     {"GET", "/v1/jobs/:id", job_api_get},
					     {"GET", "/v1/jobs/:id/results", job_api_results},
					     {"DELETE", "/v1/jobs/:id", job_api_cancel},
					     {"GET", "/v1/config", config_api_get},
					     {"PUT", "/v1/config", config_api_put},
					     {"POST", "/v1/config/check", config_api_check},
					     {"GET", "/v1/status", status_api_status},
					     {"GET", "/v1/events", status_api_events},
					     {"GET", "/metrics", status_api_metrics},
					     {"GET", "/healthz", status_api_healthz},
					     {"GET", "/readyz", status_api_readyz},
					     {"POST", "/internal/v1/run", peer_api_run},
					     {"POST", "/internal/v1/cancel", peer_api_cancel},
					     {NULL, NULL, NULL}};

static int report_failure(int code)
{
	fprintf(stderr, "auburn-entry: %s\n", status_message());
	return code;
}

static int serve(void)
{
	sigset_t stop;
	int sig;

	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	signal(SIGPIPE, SIG_IGN);
	log_open(en.settings.name, LOG_LEVEL_INFO);
	en.boot = entry_random();
	en.control_client =
		control_client_new((const char *const *)en.settings.controls.v,
				   en.settings.controls.n, (unsigned)en.settings.ledger_groups);
	en.snapshot = entry_snapshot_new();
	en.fetch_client = fetch_client_new();
	en.upstreams = upstream_table_new(&en);
	en.admission = admission_new();
	en.caller_keys = bearer_keys_new(en.settings.callers, en.settings.ncallers);
	en.operator_keys = bearer_keys_new(en.settings.operators, en.settings.noperators);
	if (load_exchange_start(&en) != STATUS_OK || httpd_start(&en, endpoints) != STATUS_OK)
		return report_failure(EXIT_LISTEN);
	en.batch = batch_start(&en);
	heartbeat_start(&en);
	probe_start(&en);
	log_event(LOG_LEVEL_INFO, "entry_started", LOG_CSTR("listen", en.settings.listen),
		  LOG_CSTR("peer", en.settings.peer));
	sigwait(&stop, &sig);
	entry_drain(&en);
	httpd_stop();
	log_event(LOG_LEVEL_INFO, "entry_stopped", LOG_INT("signal", sig));
	return 0;
}

int main(int argc, char **argv)
{
	const args_options_t o = {"auburn-entry",
				  "Answers callers and owns replicas of the models.", NULL, NULL};
	args_parsed_t args;
	int code = args_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	mem_setup();
	if (sodium_init() < 0)
		return EXIT_FAILED;
	if (entry_settings_load(args.config, &en.settings) != STATUS_OK)
		return report_failure(EXIT_SETTINGS);
	if (args.check)
		return EXIT_OK;
	code = serve();
	/* Detached threads still use `en`, so the process ends without cleaning up. */
	fflush(NULL);
	_exit(code);
}
