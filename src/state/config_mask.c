/* Hides the API keys of a config, for output to a terminal. */
#include <ctype.h>
#include <string.h>
#include "state/config.h"

#define MASK "\"***\""

/* Returns the end of the TOML string or comment that begins at `at`, or `at` if none does. */
static size_t skip_string_or_comment(str_t s, size_t at)
{
	char c = s.p[at];
	size_t i = at + 1;

	if (c == '#') {
		while (i < s.n && s.p[i] != '\n')
			i++;
		return i;
	}
	if (c != '"' && c != '\'')
		return at;
	while (i < s.n && s.p[i] != c && s.p[i] != '\n')
		i += c == '"' && s.p[i] == '\\' ? 2 : 1;
	return i < s.n ? i + 1 : s.n;
}

static size_t skip_blanks(str_t s, size_t at)
{
	while (at < s.n && (s.p[at] == ' ' || s.p[at] == '\t'))
		at++;
	return at;
}

static bool is_bare(char c)
{
	return isalnum((unsigned char)c) || c == '_' || c == '-';
}

/* If a key `keys`, bare or quoted, begins at `at` and is assigned a value, returns where the value
 * begins; else 0. */
static size_t find_keys_value(str_t s, size_t at)
{
	static const char *const forms[] = {"keys", "\"keys\"", "'keys'"};

	if (at > 0 && is_bare(s.p[at - 1]))
		return 0;
	for (size_t i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
		size_t n = strlen(forms[i]);
		size_t end = at + n;

		if (end > s.n || memcmp(s.p + at, forms[i], n) != 0)
			continue;
		end = skip_blanks(s, end);
		if (end < s.n && s.p[end] == '=')
			return skip_blanks(s, end + 1);
	}
	return 0;
}

/* Appends the value that begins at `at` with its strings masked; returns its end. */
static size_t mask_value(str_t s, size_t at, buf_t *out)
{
	bool is_array = at < s.n && s.p[at] == '[';

	while (at < s.n && (is_array || s.p[at] != '\n')) {
		size_t end = skip_string_or_comment(s, at);

		if (end > at && s.p[at] != '#')
			buf_add(out, STR(MASK));
		else if (end == at)
			buf_addc(out, s.p[at]);
		if (is_array && end == at && s.p[at] == ']')
			return at + 1;
		at = end > at ? end : at + 1;
	}
	return at;
}

void config_mask_keys(str_t text, buf_t *out)
{
	size_t at = 0;

	while (at < text.n) {
		size_t value = find_keys_value(text, at);
		size_t end = skip_string_or_comment(text, at);

		if (value > 0) {
			buf_add(out, (str_t){text.p + at, value - at});
			at = mask_value(text, value, out);
			continue;
		}
		end = end > at ? end : at + 1;
		buf_add(out, (str_t){text.p + at, end - at});
		at = end;
	}
}
