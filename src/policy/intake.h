/**
 * Bounds on what the clients of a process may hold of it, over all its listeners: bytes of buffers,
 * connections, and the time that a body may take.
 *
 * Each connection states the capacity of its buffers whenever they have changed. A connection that
 * holds little may use the whole budget, all others only the part that is not reserved for these,
 * so that a crowd of large bodies leaves room for ordinary requests. When the budget is short, the
 * connection is given up that holds most and has advanced least recently. One whose complete
 * request is being answered is never given up for its size, unless its client leaves the answer
 * unread.
 *
 * The expected load: up to some thousand connections; a search for a connection to give up goes
 * through all of them, and happens at most once for each buffer that would not fit.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_INTAKE_H
#define AUBURN_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include "base/clock.h"

/** A connection that holds at most this much may use the reserved part: a head of 16 KB and a body
 * of 55 KB, the largest of a well-behaved online request, in buffers with spare room. */
#define INTAKE_SMALL_BYTES 131072
/** What a body must advance within a period, unless it ends. */
#define INTAKE_PERIOD_BYTES 16384
/** Time after which an unread answer no longer protects its connection from the bound on
 * connections, in ms. */
#define INTAKE_UNREAD_MS 1000

typedef struct intake intake_t;

typedef enum {
	INTAKE_IDLE, /* between two requests */
	INTAKE_READING, /* part of a request has been read */
	INTAKE_SERVED, /* a complete request is being answered */
	INTAKE_UNREAD, /* the client has not read an answer, or part of it */
	INTAKE_CLOSING, /* has been given up */
} intake_state_t;

/** One connection; a member of the user's connection, which finds itself by `conn`. */
typedef struct intake_client {
	void *conn;
	intake_state_t state;
	size_t held;
	size_t advanced; /* bytes since period_end was last set */
	deadline_t opened;
	deadline_t progress; /* when its client last sent or read something */
	deadline_t period_end; /* by which INTAKE_PERIOD_BYTES must have come */
	struct intake_client *prev;
	struct intake_client *next;
} intake_client_t;

typedef struct {
	size_t budget_bytes;
	size_t max_connections;
} intake_options_t;

intake_t *intake_new(const intake_options_t *o);
void intake_free(intake_t *in);
size_t intake_held(const intake_t *in);
size_t intake_connections(const intake_t *in);

void intake_add(intake_t *in, intake_client_t *c, deadline_t now);
void intake_remove(intake_t *in, intake_client_t *c);
/** Records the capacity of a connection's buffers. */
void intake_set_held(intake_t *in, intake_client_t *c, size_t bytes);
/** Records that the client has sent or read this many bytes. */
void intake_advance(intake_t *in, intake_client_t *c, size_t bytes, deadline_t now);
/** Begins a period of this many ms for a body. */
void intake_begin_period(intake_client_t *c, int64_t ms, deadline_t now);
/** True if the period is over with too few bytes. Begins the next period once enough have come. */
bool intake_is_stalled(intake_client_t *c, int64_t ms, deadline_t now);

/** True if the connection's buffers may grow to this size. */
bool intake_fits(const intake_t *in, const intake_client_t *c, size_t bytes);
/** The connection to give up so that c's buffers may grow to this size: c itself if no other one
 * holds more for its progress. NULL if the size fits. */
intake_client_t *intake_excess(const intake_t *in, intake_client_t *c, size_t bytes,
			       deadline_t now);
/** The connection to close because there are more than the maximum: of those without a complete
 * request, the one that has been silent longest, else one that has left an answer unread for
 * INTAKE_UNREAD_MS, else the newest one. NULL if there are not more. */
intake_client_t *intake_surplus(const intake_t *in, deadline_t now);

#endif
