/** One online request and its attempts; private to the load. */
#ifndef AUBURN_ONLINE_REQUEST_H
#define AUBURN_ONLINE_REQUEST_H

#include <curl/curl.h>
#include "online_load.h"

#define IDEMPOTENCY_KEY_BYTES 128

typedef struct {
	const online_load_options_t *options;
	load_stat_t *stat; /* NULL: not counted */
	char key[IDEMPOTENCY_KEY_BYTES];
	buf_t prompt;
	buf_t body;
	answer_check_t check;
	int64_t scheduled_us; /* when the plan wanted it sent */
	int64_t first_token_us; /* 0 = none yet */
	int64_t last_token_us;
	int64_t last_byte_us; /* last byte of this attempt, or its start */
	int resends;
	buf_t error_body; /* body of an answer that isn't 200 */
	CURL *curl;
	struct curl_slist *headers;
} online_request_t;

typedef enum { ONLINE_REQUEST_FINISHED, ONLINE_REQUEST_RESEND } online_request_next_t;

online_request_t *online_request_new(const online_load_options_t *o, unsigned long number,
				     gsl_rng *rng);
void online_request_free(online_request_t *r);
/** Makes the transfer of the next attempt; NULL when no address is known. */
CURL *online_request_start_attempt(online_request_t *r, gsl_rng *rng);
/** Judges a finished attempt and counts the request unless it is to be sent again. */
online_request_next_t online_request_end_attempt(online_request_t *r, CURLcode code);
#endif
