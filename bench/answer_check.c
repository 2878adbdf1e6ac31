#include "answer_check.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define TOKEN_TEXT_BYTES 16
#define TOKEN_HASH_MASK	 0xffffff

static const char *const fault_names[ANSWER_FAULTS] = {
	[ANSWER_FAULT_NONE] = "good",
	[ANSWER_FAULT_MISSING] = "missing",
	[ANSWER_FAULT_REPEATED] = "repeated",
	[ANSWER_FAULT_FOREIGN] = "foreign",
	[ANSWER_FAULT_WRONG_TEXT] = "wrong_text",
	[ANSWER_FAULT_MALFORMED] = "malformed",
};

const char *answer_fault_name(answer_fault_t f)
{
	return fault_names[f];
}

/* Only the first fault is kept: later ones mostly follow from it. */
static void record_fault(answer_check_t *c, answer_fault_t f)
{
	if (c->fault == ANSWER_FAULT_NONE)
		c->fault = f;
}

/* Must agree with append_token_event of fakes/fake_engine_streams.c. */
static void expected_token_text(const answer_check_t *c, int index, char out[TOKEN_TEXT_BYTES])
{
	AUTO_BUF seed = {0};

	buf_add(&seed, c->prompt);
	buf_addf(&seed, ":%d", index);
	snprintf(out, TOKEN_TEXT_BYTES, "w%06llx ", str_hash(str_buf(&seed)) & TOKEN_HASH_MASK);
}

static void check_index(answer_check_t *c, int index)
{
	if (index < c->next_index)
		record_fault(c, ANSWER_FAULT_REPEATED);
	else if (index > c->next_index || index >= c->expected_tokens)
		record_fault(c, ANSWER_FAULT_MISSING);
	c->next_index = index;
}

/* An entry that replays a stored answer sends the text of all tokens in one event. */
static void check_text(answer_check_t *c, const char *text)
{
	char want[TOKEN_TEXT_BYTES];
	size_t n;

	do {
		expected_token_text(c, c->next_index++, want);
		n = strlen(want);
		if (strncmp(text, want, n) != 0) {
			record_fault(c, ANSWER_FAULT_WRONG_TEXT);
			return;
		}
		text += n;
	} while (*text);
}

static void check_token(answer_check_t *c, const char *id, int index, const char *text)
{
	if (strcmp(id, c->expected_id) != 0)
		record_fault(c, ANSWER_FAULT_FOREIGN);
	check_index(c, index);
	check_text(c, text);
}

/* Returns the number of token events in one data field, 0 or 1. */
static int handle_data(answer_check_t *c, const char *data)
{
	const char *id;
	const char *text;
	int index;
	json_t *j;

	if (strcmp(data, "[DONE]") == 0) {
		c->done_received = true;
		return 0;
	}
	if (c->error_received)
		return 0;
	j = json_loads(data, 0, NULL);
	if (!j || json_unpack(j, "{s:s, s:i, s:[{s:s}]}", "id", &id, "index", &index, "choices",
			      "text", &text) != 0) {
		record_fault(c, ANSWER_FAULT_MALFORMED);
		json_decref(j);
		return 0;
	}
	check_token(c, id, index, text);
	json_decref(j);
	return 1;
}

static int handle_line(answer_check_t *c, char *line)
{
	size_t n = strlen(line);

	if (n && line[n - 1] == '\r')
		line[n - 1] = 0;
	if (strncmp(line, "event: error", 12) == 0)
		c->error_received = true;
	if (strncmp(line, "data: ", 6) == 0)
		return handle_data(c, line + 6);
	return 0;
}

int answer_check_feed(answer_check_t *c, str_t piece)
{
	size_t from = 0;
	int tokens = 0;
	char *end;

	buf_add(&c->partial_line, piece);
	while (c->partial_line.p &&
	       (end = memchr(c->partial_line.p + from, '\n', c->partial_line.n - from)) != NULL) {
		*end = 0;
		tokens += handle_line(c, c->partial_line.p + from);
		from = (size_t)(end - c->partial_line.p) + 1;
	}
	buf_drop_front(&c->partial_line, from);
	return tokens;
}

bool answer_check_complete(answer_check_t *c)
{
	if (!c->done_received || c->error_received || c->next_index != c->expected_tokens)
		record_fault(c, ANSWER_FAULT_MISSING);
	return c->fault == ANSWER_FAULT_NONE;
}

void answer_check_reset(answer_check_t *c)
{
	c->next_index = 0;
	c->done_received = false;
	c->error_received = false;
	c->fault = ANSWER_FAULT_NONE;
	buf_free(&c->partial_line);
}
