#include "bn_check.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 16
#define TEXT_MASK  0xffffff

static const char *const fault_names[BN_FAULTS] = {
	[BN_GOOD] = "good",	  [BN_MISSING] = "missing",	  [BN_REPEATED] = "repeated",
	[BN_FOREIGN] = "foreign", [BN_WRONG_TEXT] = "wrong_text", [BN_MALFORMED] = "malformed",
};

const char *bn_fault_name(bn_fault_t f)
{
	return fault_names[f];
}

static void set_fault(bn_check_t *c, bn_fault_t f)
{
	if (c->fault == BN_GOOD)
		c->fault = f;
}

/** The text that the fake engine gives for a token. */
static void expected_text(const bn_check_t *c, int index, char out[TEXT_BYTES])
{
	AUTO_BUF seed = {0};

	buf_add(&seed, c->prompt);
	buf_addf(&seed, ":%d", index);
	snprintf(out, TEXT_BYTES, "w%06llx ", str_hash(str_buf(&seed)) & TEXT_MASK);
}

static void check_index(bn_check_t *c, int index)
{
	if (index < c->next)
		set_fault(c, BN_REPEATED);
	else if (index > c->next || index >= c->tokens)
		set_fault(c, BN_MISSING);
	c->next = index;
}

/** A stored answer comes as one event that holds the text of all its tokens. */
static void check_text(bn_check_t *c, const char *text)
{
	char want[TEXT_BYTES];
	size_t n;

	do {
		expected_text(c, c->next++, want);
		n = strlen(want);
		if (strncmp(text, want, n) != 0) {
			set_fault(c, BN_WRONG_TEXT);
			return;
		}
		text += n;
	} while (*text);
}

static void check_token(bn_check_t *c, const char *id, int index, const char *text)
{
	if (strcmp(id, c->key) != 0)
		set_fault(c, BN_FOREIGN);
	check_index(c, index);
	check_text(c, text);
}

static int take_data(bn_check_t *c, const char *data)
{
	const char *id;
	const char *text;
	int index;
	json_t *j;

	if (strcmp(data, "[DONE]") == 0) {
		c->done = true;
		return 0;
	}
	if (c->error)
		return 0;
	j = json_loads(data, 0, NULL);
	if (!j || json_unpack(j, "{s:s, s:i, s:[{s:s}]}", "id", &id, "index", &index, "choices",
			      "text", &text) != 0) {
		set_fault(c, BN_MALFORMED);
		json_decref(j);
		return 0;
	}
	check_token(c, id, index, text);
	json_decref(j);
	return 1;
}

static int take_line(bn_check_t *c, char *line)
{
	size_t n = strlen(line);

	if (n && line[n - 1] == '\r')
		line[n - 1] = 0;
	if (strncmp(line, "event: error", 12) == 0)
		c->error = true;
	if (strncmp(line, "data: ", 6) == 0)
		return take_data(c, line + 6);
	return 0;
}

int bn_check_feed(bn_check_t *c, str_t piece)
{
	size_t from = 0;
	int tokens = 0;
	char *end;

	buf_add(&c->rest, piece);
	while (c->rest.p && (end = memchr(c->rest.p + from, '\n', c->rest.n - from)) != NULL) {
		*end = 0;
		tokens += take_line(c, c->rest.p + from);
		from = (size_t)(end - c->rest.p) + 1;
	}
	buf_drop_front(&c->rest, from);
	return tokens;
}

bool bn_check_whole(bn_check_t *c)
{
	if (!c->done || c->error || c->next != c->tokens)
		set_fault(c, BN_MISSING);
	return c->fault == BN_GOOD;
}

void bn_check_reset(bn_check_t *c)
{
	c->next = 0;
	c->done = false;
	c->error = false;
	c->fault = BN_GOOD;
	buf_free(&c->rest);
}
