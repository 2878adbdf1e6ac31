/** One online request and its attempts; private to the load. */
#ifndef AUBURN_BN_REQUEST_H
#define AUBURN_BN_REQUEST_H

#include <curl/curl.h>
#include "bn_load.h"

#define BN_KEY_BYTES 128

typedef struct {
	const bn_load_options_t *o;
	bn_stat_t *stat; /* NULL: not counted */
	char key[BN_KEY_BYTES];
	buf_t prompt;
	buf_t body;
	bn_check_t check;
	int64_t arrived_us; /* when the plan wanted it sent */
	int64_t first_us; /* 0 = none yet */
	int64_t last_us;
	int64_t heard_us; /* last byte of this attempt, or its start */
	int resends;
	buf_t error; /* body of an answer that isn't 200 */
	CURL *curl;
	struct curl_slist *headers;
} bn_request_t;

typedef enum { BN_END, BN_AGAIN } bn_verdict_t;

bn_request_t *bn_request_new(const bn_load_options_t *o, unsigned long number, gsl_rng *rng);
void bn_request_free(bn_request_t *r);
/** Makes the transfer of the next attempt; NULL when no address is known. */
CURL *bn_request_attempt(bn_request_t *r, gsl_rng *rng);
/** Judges a finished attempt and counts the request unless it is to be sent again. */
bn_verdict_t bn_request_ended(bn_request_t *r, CURLcode code);
#endif
