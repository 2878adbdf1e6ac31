/** Open-loop load of online requests: sends at the times of the plan, however slow the answers. */
#ifndef AUBURN_ONLINE_LOAD_H
#define AUBURN_ONLINE_LOAD_H

#include "address_pool.h"
#include "arrival.h"
#include "load_stat.h"

typedef struct {
	address_pool_t *addr;
	const char *key; /* bearer key */
	const char *service;
	arrival_rate_t rate;
	double seconds;
	double warmup_s; /* sent, but not counted */
	const char *run_name; /* begins each key and prompt, so that no run meets another's */
	unsigned long seed;
	int prompt_bytes;
	int prefix_count; /* prompts begin with one of so many prefixes; 0 = each its own */
	int mean_tokens; /* mean */
	int deadline_ms; /* told to the system; 0 = none */
	int first_token_goal_ms;
	int silence_timeout_ms; /* without a byte, until the caller sends again elsewhere */
	int max_resends;
	bool verbose; /* say what each request that isn't ok got */
} online_load_options_t;

/** Runs the load and adds to stat[phase]. */
void online_load_run(const online_load_options_t *o, load_stat_t stat[ARRIVAL_PHASES]);

#endif
