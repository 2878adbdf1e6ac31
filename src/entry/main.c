#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/ar.h"
#include "base/lg.h"
#include "base/mx.h"
#include "entry/aa.h"
#include "entry/ad.h"
#include "entry/bj.h"
#include "entry/bt.h"
#include "entry/en.h"
#include "entry/en_drain.h"
#include "entry/fi.h"
#include "entry/ir.h"
#include "entry/jb.h"
#include "entry/ki.h"
#include "entry/lx.h"
#include "entry/oc.h"
#include "entry/pr.h"
#include "entry/sv.h"
#include "entry/up.h"

static en_t en;

uint64_t en_random(void)
{
	uint64_t v;

	randombytes_buf(&v, sizeof(v));
	return v;
}

static int on_completion(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	static const fi_step_t chain[] = {{fi_identify},    {fi_leased}, {fi_match_model},
					  {fi_idempotency}, {fi_admit},	 {fi_accept},
					  {fi_complete},    {NULL}};

	return fi_run(ctx, req, res, "entry", chain);
}

static int on_plain(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	static const fi_step_t chain[] = {{fi_identify},    {fi_leased}, {fi_match_plain},
					  {fi_idempotency}, {fi_admit},	 {fi_accept},
					  {fi_plain},	    {NULL}};

	return fi_run(ctx, req, res, "entry", chain);
}

static const hs_route_t routes[] = {{"GET", "/v1/addresses", aa_get},
				    {"POST", "/v1/completions", on_completion},
				    {"GET", "/v1/requests/:key", jb_request},
				    {"POST", "/v1/services/:service/*", on_plain},
				    {"POST", "/v1/jobs", jb_post},
				    {"GET", "/v1/jobs", jb_list},
				    {"GET", "/v1/jobs/:id", jb_get},
				    {"GET", "/v1/jobs/:id/results", jb_results},
				    {"DELETE", "/v1/jobs/:id", jb_delete},
				    {"GET", "/v1/config", oc_get},
				    {"PUT", "/v1/config", oc_put},
				    {"POST", "/v1/config/check", oc_check},
				    {"GET", "/v1/status", sv_status},
				    {"GET", "/v1/events", sv_events},
				    {"GET", "/metrics", sv_metrics},
				    {"GET", "/healthz", sv_healthz},
				    {"GET", "/readyz", sv_readyz},
				    {"POST", "/internal/v1/run", ir_post},
				    {"POST", "/internal/v1/cancel", ir_cancel},
				    {NULL, NULL, NULL}};

static int fail(int code)
{
	fprintf(stderr, "auburn-entry: %s\n", st_message());
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
	lg_open(en.set.name, LG_INFO);
	en.boot = en_random();
	en.cc = cc_new((const char *const *)en.set.controls.v, en.set.controls.n,
		       (unsigned)en.set.ledger_groups);
	en.snap = en_snap_new();
	en.ec = ec_new();
	en.ups = up_new(&en);
	en.admission = ad_new();
	en.caller_keys = ki_new(en.set.callers, en.set.ncallers);
	en.operator_keys = ki_new(en.set.operators, en.set.noperators);
	if (lx_start(&en) != ST_OK || hs_start(&en, routes) != ST_OK)
		return fail(AR_LISTEN);
	en.batch = bj_start(&en);
	bt_start(&en);
	pr_start(&en);
	lg(LG_INFO, "entry_started", LG_C("listen", en.set.listen), LG_C("peer", en.set.peer));
	sigwait(&stop, &sig);
	en_drain(&en);
	hs_stop();
	lg(LG_INFO, "entry_stopped", LG_I("signal", sig));
	return 0;
}

int main(int argc, char **argv)
{
	const ar_options_t o = {"auburn-entry", "Answers callers and owns replicas of the models.",
				NULL, NULL};
	ar_t args;
	int code = ar_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	if (sodium_init() < 0)
		return AR_FAILED;
	if (en_settings_load(args.config, &en.set) != ST_OK)
		return fail(AR_SETTINGS);
	if (args.check)
		return AR_OK;
	code = serve();
	/* Detached threads still use what they were given; the process ends here. */
	fflush(NULL);
	_exit(code);
}
