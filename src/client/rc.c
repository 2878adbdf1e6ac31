#include "client/rc.h"

#include <ctype.h>
#include "platform/pf.h"
#include "state/tx.h"

/* The platform's texts are JSON objects; no TOML document begins with a brace. */
static bool is_platforms(str_t text)
{
	size_t i = 0;

	while (i < text.n && isspace((unsigned char)text.p[i]))
		i++;
	return i < text.n && text.p[i] == '{';
}

status_t rc_decode(str_t text, uint64_t number, ru_t **out)
{
	tx_text_t *t = NULL;
	status_t st;

	if (is_platforms(text))
		return pf_conf_decode(text, out);
	*out = NULL;
	st = tx_parse(text, &t);
	if (st == ST_OK) {
		*out = t->routes;
		(*out)->version = number;
		t->routes = NULL;
	}
	tx_free(t);
	return st;
}
