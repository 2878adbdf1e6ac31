#include "base/json_scan.h"

#include <stdint.h>
#include <stdlib.h>

#define NOT_FOUND SIZE_MAX

typedef struct {
	str_t text;
	const json_scan_options_t *o;
	size_t at; /* begin of the element or member that is read */
	bool found; /* the array was found */
	bool found_behind; /* the member behind the array was found from the end of the text */
	size_t array_end; /* offset of its closing bracket */
	size_t *passed; /* begins of the elements from the first odd one on, ascending */
	size_t npassed;
} scan_t;

static int compare_offsets(const void *a, const void *b)
{
	size_t x = *(const size_t *)a;
	size_t y = *(const size_t *)b;

	return x < y ? -1 : x > y;
}

static void pass_element(scan_t *j, size_t begin, size_t end)
{
	bool is_sound = j->o->element(j->o->ctx, (str_t){j->text.p + begin, end - begin});
	size_t n = j->npassed;

	if (is_sound && n == 0)
		return;
	if ((n & (n - 1)) == 0) /* the capacity is a power of two */
		j->passed = mem_grow(j->passed, (n ? 2 * n : 1) * sizeof(*j->passed));
	j->passed[j->npassed++] = begin;
}

static bool was_passed(const scan_t *j, size_t begin)
{
	return j->npassed > 0 &&
	       bsearch(&begin, j->passed, j->npassed, sizeof(*j->passed), compare_offsets) != NULL;
}

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static bool opens(char c)
{
	return c == '{' || c == '[';
}

static bool closes(char c)
{
	return c == '}' || c == ']';
}

/* True for the bytes of a number or a literal. */
static bool is_plain(char c)
{
	return !is_space(c) && !opens(c) && !closes(c) && c != ',' && c != ':' && c != '"';
}

static bool is_at(str_t s, size_t at, char c)
{
	return at < s.n && s.p[at] == c;
}

/* ---- from the begin ---- */

static size_t skip_space(str_t s, size_t at)
{
	while (at < s.n && is_space(s.p[at]))
		at++;
	return at;
}

/* The offset behind the string that begins at this offset. */
static size_t string_end(str_t s, size_t at)
{
	for (size_t i = at + 1; i < s.n; i++) {
		if (s.p[i] == '\\')
			i++;
		else if (s.p[i] == '"')
			return i + 1;
	}
	return NOT_FOUND;
}

static size_t container_end(str_t s, size_t at)
{
	size_t depth = 0;

	while (at < s.n) {
		char c = s.p[at];

		if (c == '"') {
			at = string_end(s, at);
			continue;
		}
		at++;
		if (opens(c))
			depth++;
		else if (closes(c) && --depth == 0)
			return at;
	}
	return NOT_FOUND;
}

/* The offset behind the value that begins at this offset. */
static size_t value_end(str_t s, size_t at)
{
	size_t end = at;

	if (is_at(s, at, '"'))
		return string_end(s, at);
	if (is_at(s, at, '{') || is_at(s, at, '['))
		return container_end(s, at);
	while (end < s.n && is_plain(s.p[end]))
		end++;
	return end > at ? end : NOT_FOUND;
}

/* Reads elements up to the end of the array. */
static bool scan_elements(scan_t *j)
{
	str_t s = j->text;

	j->at = skip_space(s, j->at);
	if (is_at(s, j->at, ']')) {
		j->array_end = j->at++;
		return true;
	}
	for (;;) {
		size_t begin = skip_space(s, j->at);
		size_t end = value_end(s, begin);
		size_t next = end == NOT_FOUND ? s.n : skip_space(s, end);

		if (!is_at(s, next, ',') && !is_at(s, next, ']'))
			return false;
		pass_element(j, begin, end);
		j->at = next + 1;
		if (s.p[next] == ']') {
			j->array_end = next;
			return true;
		}
	}
}

/* Reads a member and the comma or bracket behind it; *last: it is the last one. */
static bool scan_member(scan_t *j, bool *last)
{
	str_t s = j->text;
	size_t name = skip_space(s, j->at);
	size_t name_end = is_at(s, name, '"') ? string_end(s, name) : NOT_FOUND;
	size_t value = name_end == NOT_FOUND ? s.n : skip_space(s, name_end);
	str_t key;
	size_t end;

	if (!is_at(s, value, ':'))
		return false;
	key = (str_t){s.p + name + 1, name_end - name - 2};
	value = skip_space(s, value + 1);
	if (!j->found && str_eq(key, j->o->array) && is_at(s, value, '[')) {
		j->found = true;
		j->at = value + 1;
		if (!scan_elements(j))
			return false;
		end = j->at;
	} else {
		end = value_end(s, value);
		if (end == NOT_FOUND)
			return false;
		j->o->member(j->o->ctx, key, (str_t){s.p + value, end - value});
	}
	end = skip_space(s, end);
	*last = is_at(s, end, '}');
	if (!*last && !is_at(s, end, ','))
		return false;
	j->at = end + 1;
	return true;
}

static bool scan_object(scan_t *j)
{
	bool last = false;

	j->at = skip_space(j->text, 0);
	if (!is_at(j->text, j->at, '{'))
		return false;
	j->at++;
	while (!last) {
		if (!scan_member(j, &last))
			return false;
	}
	return skip_space(j->text, j->at) == j->text.n;
}

/* ---- from the end; the functions do not go before the offset low ---- */

/* True if the byte before this offset is c. */
static bool is_before(str_t s, size_t end, size_t low, char c)
{
	return end > low && s.p[end - 1] == c;
}

static size_t skip_space_back(str_t s, size_t end, size_t low)
{
	while (end > low && is_space(s.p[end - 1]))
		end--;
	return end;
}

/* The offset of the string that ends at this offset. */
static size_t string_begin(str_t s, size_t end, size_t low)
{
	for (size_t i = end - 1; i > low; i--) {
		size_t escapes = 0;

		if (s.p[i - 1] != '"')
			continue;
		while (i - 1 - escapes > low && s.p[i - 2 - escapes] == '\\')
			escapes++;
		if (escapes % 2 == 0)
			return i - 1;
	}
	return NOT_FOUND;
}

static size_t container_begin(str_t s, size_t end, size_t low)
{
	size_t depth = 0;

	while (end != NOT_FOUND && end > low) {
		char c = s.p[end - 1];

		if (c == '"') {
			end = string_begin(s, end, low);
			continue;
		}
		end--;
		if (closes(c))
			depth++;
		else if (opens(c) && --depth == 0)
			return end;
	}
	return NOT_FOUND;
}

/* The offset of the value that ends at this offset. */
static size_t value_begin(str_t s, size_t end, size_t low)
{
	size_t begin = end;

	if (is_before(s, end, low, '"'))
		return string_begin(s, end, low);
	if (is_before(s, end, low, '}') || is_before(s, end, low, ']'))
		return container_begin(s, end, low);
	while (begin > low && is_plain(s.p[begin - 1]))
		begin--;
	return begin < end ? begin : NOT_FOUND;
}

/* Reads elements as long as there is a comma before them. */
static void scan_elements_back(const scan_t *j, size_t end)
{
	str_t s = j->text;

	for (;;) {
		size_t value = skip_space_back(s, end, j->at);
		size_t begin = value_begin(s, value, j->at);
		size_t comma = begin == NOT_FOUND ? j->at : skip_space_back(s, begin, j->at);

		if (!is_before(s, comma, j->at, ','))
			return;
		if (!was_passed(j, begin))
			j->o->element(j->o->ctx, (str_t){s.p + begin, value - begin});
		end = comma - 1;
	}
}

/* Reads a member that ends at this offset. Returns the offset of the comma before it. */
static size_t scan_member_back(scan_t *j, size_t end)
{
	str_t s = j->text;
	size_t value = value_begin(s, end, j->at);
	size_t colon = value == NOT_FOUND ? j->at : skip_space_back(s, value, j->at);
	size_t name_end;
	size_t name;
	size_t comma;
	str_t key;

	if (!is_before(s, colon, j->at, ':'))
		return NOT_FOUND;
	name_end = skip_space_back(s, colon - 1, j->at);
	name = is_before(s, name_end, j->at, '"') ? string_begin(s, name_end, j->at) : NOT_FOUND;
	comma = name == NOT_FOUND ? j->at : skip_space_back(s, name, j->at);
	if (!is_before(s, comma, j->at, ','))
		return NOT_FOUND;
	key = (str_t){s.p + name + 1, name_end - name - 2};
	j->found_behind |= str_eq(key, j->o->behind);
	j->o->member(j->o->ctx, key, (str_t){s.p + value, end - value});
	return comma - 1;
}

static bool scan_object_back(scan_t *j)
{
	str_t s = j->text;
	size_t end = skip_space_back(s, s.n, j->at);

	if (!is_before(s, end, j->at, '}'))
		return false;
	end--;
	for (;;) {
		end = skip_space_back(s, end, j->at);
		if (is_before(s, end, j->at, ']'))
			break;
		end = scan_member_back(j, end);
		if (end == NOT_FOUND)
			return false;
	}
	scan_elements_back(j, end - 1);
	return j->found_behind;
}

json_scan_result_t json_scan_array(str_t text, const json_scan_options_t *o)
{
	scan_t j = {.text = text, .o = o};
	json_scan_result_t result = JSON_SCAN_INVALID;
	bool balanced = scan_object(&j);

	if (j.npassed > 0)
		j.at = j.passed[0];
	if (balanced && j.found) {
		if (j.npassed > 0)
			scan_elements_back(&j, j.array_end);
		result = JSON_SCAN_OK;
	} else if (j.found && scan_object_back(&j)) {
		result = JSON_SCAN_DAMAGED;
	}
	free(j.passed);
	return result;
}
