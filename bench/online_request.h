/** One online request and its attempts; used by online_load.c only. */
#ifndef AUBURN_ONLINE_REQUEST_H
#define AUBURN_ONLINE_REQUEST_H

#include <curl/curl.h>
#include "online_load.h"

#define IDEMPOTENCY_KEY_BYTES 128

typedef struct {
	const online_load_options_t *options;
	load_stat_t *stat; /* NULL: not counted, as in the warm-up */
	char key[IDEMPOTENCY_KEY_BYTES]; /* the same for all attempts */
	buf_t prompt;
	buf_t body;
	answer_check_t check; /* of the current attempt */
	int64_t scheduled_us; /* latencies and the deadline count from here */
	int64_t first_token_us; /* of any attempt; 0: none yet */
	int64_t last_token_us; /* of the current attempt; 0: none yet */
	int64_t last_byte_us; /* last byte of the current attempt, or its start */
	int resends;
	buf_t error_body; /* body of an error status, or the error event of a stream */
	CURL *curl; /* transfer of the current attempt */
	struct curl_slist *headers;
} online_request_t;

typedef enum { ONLINE_REQUEST_FINISHED, ONLINE_REQUEST_RESEND } online_request_next_t;

online_request_t *online_request_new(const online_load_options_t *o, unsigned long number,
				     gsl_rng *rng);
void online_request_free(online_request_t *r);
/** Returns the transfer of a new attempt to an address chosen by rng, NULL if no address is known.
 * The request owns the transfer. */
CURL *online_request_start_attempt(online_request_t *r, gsl_rng *rng);
/** Judges a finished attempt: either the request must be sent again, or its outcome is counted. */
online_request_next_t online_request_end_attempt(online_request_t *r, CURLcode code);

#endif
