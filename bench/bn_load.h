/** Open-loop load of online requests: sends at the times of the plan, however slow the answers. */
#ifndef AUBURN_BN_LOAD_H
#define AUBURN_BN_LOAD_H

#include "bn_addr.h"
#include "bn_rate.h"
#include "bn_stat.h"

typedef struct {
	bn_addr_t *addr;
	const char *key; /* bearer key */
	const char *service;
	bn_rate_t rate;
	double seconds;
	double warmup_s; /* sent, but not counted */
	const char *run; /* begins each key and prompt, so that no run meets another's */
	unsigned long seed;
	int prompt_bytes;
	int prefixes; /* prompts begin with one of so many prefixes; 0 = each its own */
	int max_tokens; /* mean */
	int deadline_ms; /* told to the system; 0 = none */
	int goal_ms;
	int timeout_ms; /* without a byte, until the caller sends again elsewhere */
	int resends;
	bool verbose; /* say what each request that isn't ok got */
} bn_load_options_t;

/** Runs the load and adds to stat[phase]. */
void bn_load_run(const bn_load_options_t *o, bn_stat_t stat[BN_PHASES]);

#endif
