#include "client/routes_decode.h"

#include <ctype.h>
#include "platform/platform.h"
#include "state/config.h"

/* Configs of the platform are JSON objects; no TOML document begins with a brace. */
static bool is_platform_format(str_t text)
{
	size_t i = 0;

	while (i < text.n && isspace((unsigned char)text.p[i]))
		i++;
	return i < text.n && text.p[i] == '{';
}

status_t routes_decode(str_t text, uint64_t number, route_table_t **out)
{
	config_t *t = NULL;
	status_t st;

	if (is_platform_format(text))
		return platform_config_decode(text, out);
	*out = NULL;
	st = config_parse(text, &t);
	if (st == STATUS_OK) {
		*out = t->routes;
		(*out)->version = number;
		t->routes = NULL;
	}
	config_free(t);
	return st;
}
