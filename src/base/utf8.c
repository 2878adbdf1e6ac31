#include "base/utf8.h"

#define TAIL_LOW  0x80
#define TAIL_HIGH 0xbf

/* First bytes of characters and what may follow them. The ranges of the second byte leave out forms
 * that are longer than need be, surrogates, and what is above U+10FFFF. */
static const struct {
	unsigned char first;
	unsigned char last;
	utf8_t then;
} leads[] = {
	{0x00, 0x7f, {0, 0, 0}},       {0xc2, 0xdf, {1, 0x80, 0xbf}}, {0xe0, 0xe0, {2, 0xa0, 0xbf}},
	{0xe1, 0xec, {2, 0x80, 0xbf}}, {0xed, 0xed, {2, 0x80, 0x9f}}, {0xee, 0xef, {2, 0x80, 0xbf}},
	{0xf0, 0xf0, {3, 0x90, 0xbf}}, {0xf1, 0xf3, {3, 0x80, 0xbf}}, {0xf4, 0xf4, {3, 0x80, 0x8f}},
};

bool utf8_next(utf8_t *u, unsigned char c)
{
	if (u->left > 0) {
		if (c < u->low || c > u->high)
			return false;
		*u = (utf8_t){u->left - 1, TAIL_LOW, TAIL_HIGH};
		return true;
	}
	for (size_t i = 0; i < sizeof(leads) / sizeof(leads[0]); i++) {
		if (c >= leads[i].first && c <= leads[i].last) {
			*u = leads[i].then;
			return true;
		}
	}
	return false;
}

bool utf8_is_whole(const utf8_t *u)
{
	return u->left == 0;
}

bool utf8_is_valid(str_t text)
{
	utf8_t u = {0};

	for (size_t i = 0; i < text.n; i++) {
		if (!utf8_next(&u, (unsigned char)text.p[i]))
			return false;
	}
	return utf8_is_whole(&u);
}
