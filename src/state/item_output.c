#include "state/item_output.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* True if the text of `events` events begins with the one of `head_events` events. */
static bool begins_with(str_t text, uint32_t events, str_t head, uint32_t head_events)
{
	if (events < head_events || !str_starts(text, head))
		return false;
	if (events == head_events)
		return text.n == head.n;
	return head_events == 0 || (text.n > head.n && text.p[head.n] == '\n');
}

/* Goes through text, except for the line feeds between its events. Returns false if it isn't UTF-8.
 */
static bool read_utf8(utf8_t *u, str_t text)
{
	for (size_t i = 0; i < text.n; i++) {
		if (text.p[i] != '\n' && !utf8_next(u, (unsigned char)text.p[i]))
			return false;
	}
	return true;
}

/* Appends text, unless it isn't UTF-8. */
static bool append(item_output_t *o, str_t text, uint32_t events)
{
	utf8_t u = o->utf8;

	if (!read_utf8(&u, text))
		return false;
	buf_add(&o->text, text);
	o->events = events;
	o->utf8 = u;
	return true;
}

void item_output_init(item_output_t *o, str_t text, uint32_t events)
{
	if (append(o, text, events))
		return;
	/* Committed by an older build, so that each run goes on after it. */
	buf_add(&o->text, text);
	o->events = events;
}

void item_output_free(item_output_t *o)
{
	buf_free(&o->text);
	free(o->refused);
	*o = (item_output_t){0};
}

void item_output_start(item_output_t *o, uint64_t entry)
{
	o->entry = entry;
	o->joined = true;
}

void item_output_adopt(item_output_t *o, uint64_t entry)
{
	assert(!item_output_is_refused(o, entry));
	o->entry = entry;
	o->joined = false;
}

bool item_output_is_refused(const item_output_t *o, uint64_t entry)
{
	for (unsigned i = 0; i < o->nrefused; i++) {
		if (o->refused[i] == entry)
			return true;
	}
	return false;
}

void item_output_refuse(item_output_t *o, uint64_t entry)
{
	assert(o->entry != entry);
	if (item_output_is_refused(o, entry))
		return;
	o->refused = mem_grow(o->refused, (o->nrefused + 1) * sizeof(*o->refused));
	o->refused[o->nrefused++] = entry;
}

item_report_t item_output_take(item_output_t *o, uint32_t events, str_t text)
{
	if (!begins_with(text, events, str_buf(&o->text), o->events))
		return ITEM_REPORT_DIFFERS;
	return append(o, (str_t){text.p + o->text.n, text.n - o->text.n}, events)
		       ? ITEM_REPORT_TAKEN
		       : ITEM_REPORT_DAMAGED;
}

bool item_output_accept(item_output_t *o, str_t text)
{
	utf8_t u = {0};

	if (o->rejected >= ITEM_OUTPUT_REJECTED_MAX || (read_utf8(&u, text) && utf8_is_whole(&u)))
		return true;
	o->rejected++;
	return false;
}

item_report_t item_output_progress(item_output_t *o, uint64_t entry, uint32_t from, uint32_t events,
				   str_t text)
{
	item_report_t report;

	if (o->entry != entry || item_output_is_refused(o, entry) || events <= from)
		return ITEM_REPORT_IGNORED;
	if (from == 0) {
		report = item_output_take(o, events, text);
	} else {
		if (!o->joined || from != o->events)
			return ITEM_REPORT_IGNORED;
		report = append(o, text, events) ? ITEM_REPORT_TAKEN : ITEM_REPORT_DAMAGED;
	}
	o->joined = report == ITEM_REPORT_TAKEN;
	return report;
}

bool item_output_end(item_output_t *o, uint64_t entry)
{
	for (unsigned i = 0; i < o->nrefused; i++) {
		if (o->refused[i] == entry) {
			o->refused[i] = o->refused[--o->nrefused];
			return false;
		}
	}
	if (o->entry != entry)
		return false;
	o->entry = 0;
	o->joined = false;
	return true;
}

bool item_output_unsaved(const item_output_t *o, str_t saved, uint32_t events, str_t *rest)
{
	if (!begins_with(str_buf(&o->text), o->events, saved, events))
		return false;
	*rest = (str_t){o->text.p + saved.n, o->text.n - saved.n};
	return true;
}
