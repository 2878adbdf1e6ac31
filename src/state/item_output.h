/**
 * Output of a batch item, as the leader holds it while the item is unfinished.
 *
 * A run is given the output so far; its text is that output and the events that its replica adds,
 * which was asked to go on after the last event given. An item can have several runs at a time: an
 * entry that was paused goes on with one that was started elsewhere meanwhile, and a new leader
 * learns of runs only from the entries. The number of events doesn't tell their texts apart, so
 * the output changes only to a longer text of a run that begins with the output, byte for byte. It
 * thus is the whole text of one run at all times.
 *
 * Event streams are UTF-8. Text that isn't has most likely been damaged by a replica, so it doesn't
 * become part of the output, and a run that ends with it is repeated. A sound replica may split a
 * character between two events, so UTF-8 is looked for without the line feeds between them.
 *
 * Pure. Not thread-safe.
 */
#ifndef AUBURN_ITEM_OUTPUT_H
#define AUBURN_ITEM_OUTPUT_H

#include <stdint.h>
#include "base/utf8.h"

/** Most complete runs of an item that are rejected because their text isn't UTF-8. If it never is,
 * that is what the replicas make of the item. */
#define ITEM_OUTPUT_REJECTED_MAX 2

/** Initialised with {0}. Entries are numbered by their links; 0 is none. */
typedef struct {
	buf_t text; /* events, separated by line feeds */
	uint32_t events;
	utf8_t utf8; /* at the end of text */
	unsigned rejected; /* complete runs whose text isn't UTF-8 */
	uint64_t entry; /* that has the current run */
	bool joined; /* the current run is known to continue the output */
	uint64_t *refused; /* entries that were told to stop a run, whose end is still to come */
	unsigned nrefused;
} item_output_t;

typedef enum {
	ITEM_REPORT_TAKEN,
	ITEM_REPORT_DIFFERS, /* the run's text doesn't begin with the output */
	ITEM_REPORT_DAMAGED, /* the text isn't UTF-8; so are later reports of this run */
	ITEM_REPORT_IGNORED /* of another run, or of one that isn't known to continue the output */
} item_report_t;

/** Sets the output that was committed by earlier leaders. */
void item_output_init(item_output_t *o, str_t text, uint32_t events);
void item_output_free(item_output_t *o);
/** The entry is given the output and starts a run with it: the current one. */
void item_output_start(item_output_t *o, uint64_t entry);
/** A run that the entry has already becomes the current one. Its reports are ignored up to one from
 * its first event on whose text begins with the output. */
void item_output_adopt(item_output_t *o, uint64_t entry);
/** The entry is told to stop a run that isn't the current one. Its reports are ignored up to the
 * end of that run. */
void item_output_refuse(item_output_t *o, uint64_t entry);
bool item_output_is_refused(const item_output_t *o, uint64_t entry);
/** Handles a report of the events from + 1 to `events` of a run. text: of these events; if from
 * isn't 0, it begins with the line feed that precedes them. */
item_report_t item_output_progress(item_output_t *o, uint64_t entry, uint32_t from, uint32_t events,
				   str_t text);
/** A run at the entry has ended. Returns true if it was the current one; then there is none any
 * more. */
bool item_output_end(item_output_t *o, uint64_t entry);
/** Replaces the output by the whole text of a run. Returns ITEM_REPORT_TAKEN or, without a change,
 * why it can't be. */
item_report_t item_output_take(item_output_t *o, uint32_t events, str_t text);
/** Returns whether the text of a complete run is the item's result. If not, the item is to be run
 * again. */
bool item_output_accept(item_output_t *o, str_t text);
/** Sets *rest to the part of the output after a saved one; it may be empty. Returns false if the
 * output doesn't begin with that. */
bool item_output_unsaved(const item_output_t *o, str_t saved, uint32_t events, str_t *rest);

#endif
