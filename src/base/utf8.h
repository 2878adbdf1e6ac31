/** Recogniser of UTF-8 (RFC 3629), byte by byte, so that a text can come in pieces.
 */
#ifndef AUBURN_UTF8_H
#define AUBURN_UTF8_H

#include "base/str.h"

/** Initialised with {0}: between two characters. */
typedef struct {
	unsigned char left; /* bytes that the current character still needs */
	unsigned char low; /* range of the next of them */
	unsigned char high;
} utf8_t;

/** Takes one byte. Returns false, without a change, if no text goes on with it. */
bool utf8_next(utf8_t *u, unsigned char c);
/** True between two characters. */
bool utf8_is_whole(const utf8_t *u);
/** True if the text consists of whole characters. */
bool utf8_is_valid(str_t text);

#endif
