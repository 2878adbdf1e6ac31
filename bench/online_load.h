/** Open-loop load of online requests: each is sent at its scheduled time, however slow the answers
 * to earlier ones are. */
#ifndef AUBURN_ONLINE_LOAD_H
#define AUBURN_ONLINE_LOAD_H

#include "address_pool.h"
#include "arrival.h"
#include "load_stat.h"

typedef struct {
	address_pool_t *addresses;
	const char *bearer_key;
	const char *service;
	arrival_rate_t rate;
	double duration_s; /* includes the warm-up */
	double warmup_s; /* requests scheduled in this time are sent but not counted */
	const char *run_name; /* prefix of keys and prompts; keeps runs from sharing either */
	unsigned long seed;
	int prompt_bytes;
	int prefix_count; /* prompts share this many prefixes; 0: each prompt is unique */
	int mean_tokens; /* of an answer; lengths are geometrically distributed */
	int deadline_ms; /* sent as X-Deadline-Ms; 0: none */
	int first_token_goal_ms; /* an answer that meets it counts for goodput */
	int silence_timeout_ms; /* without a byte, before the request is sent again */
	int max_resends; /* of one request */
	bool verbose; /* print each request whose outcome is not LOAD_OK */
} online_load_options_t;

/** Runs the load; counts each request in stat[] under the phase of its scheduled time. */
void online_load_run(const online_load_options_t *o, load_stat_t stat[ARRIVAL_PHASES]);

#endif
