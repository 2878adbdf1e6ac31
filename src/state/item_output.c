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

void item_output_init(item_output_t *o, str_t text, uint32_t events)
{
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

bool item_output_take(item_output_t *o, uint32_t events, str_t text)
{
	if (!begins_with(text, events, str_buf(&o->text), o->events))
		return false;
	buf_add(&o->text, (str_t){text.p + o->text.n, text.n - o->text.n});
	o->events = events;
	return true;
}

item_report_t item_output_progress(item_output_t *o, uint64_t entry, uint32_t from, uint32_t events,
				   str_t text)
{
	if (o->entry != entry || item_output_is_refused(o, entry) || events <= from)
		return ITEM_REPORT_IGNORED;
	if (from == 0) {
		o->joined = item_output_take(o, events, text);
		return o->joined ? ITEM_REPORT_TAKEN : ITEM_REPORT_DIFFERS;
	}
	if (!o->joined || from != o->events)
		return ITEM_REPORT_IGNORED;
	buf_add(&o->text, text);
	o->events = events;
	return ITEM_REPORT_TAKEN;
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
