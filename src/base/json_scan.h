/**
 * Finds the values of a JSON text without decoding them, in linear time and without recursion. Each
 * value is then decoded alone, so one that the decoder rejects costs only itself.
 */
#ifndef AUBURN_JSON_SCAN_H
#define AUBURN_JSON_SCAN_H

#include "base/str.h"

typedef struct {
	str_t array; /* name of the member that is an array */
	str_t behind; /* name of a member behind the array; without it, a text with an element whose
			 end is not found counts as cut */
	void *ctx;
	/** Receives each element of the array, not checked; returns false if it is odd. */
	bool (*element)(void *ctx, str_t text);
	/** Receives each other member of the object, not checked. */
	void (*member)(void *ctx, str_t name, str_t text);
} json_scan_options_t;

typedef enum {
	JSON_SCAN_OK,
	JSON_SCAN_DAMAGED, /* the end of at least one element was not found */
	JSON_SCAN_INVALID, /* not an object with the array, or cut */
} json_scan_result_t;

/**
 * Splits an object into the elements of one of its arrays and its other members. An element with
 * unbalanced quotes or brackets hides the borders of those behind it. Therefore, from the first odd
 * element on, elements are also looked for from the end of the text, last first;
 * members as well, on the assumption that no other array is behind this one. What is between two
 * unbalanced elements is lost. The callbacks may have been called before JSON_SCAN_INVALID is
 * returned.
 */
json_scan_result_t json_scan_array(str_t text, const json_scan_options_t *o);

#endif
