/**
 * The search for the leader among the control processes: which one to try next, and when.
 *
 * A try is given much longer than the next one waits for it, as a connection over a slow path or to
 * a busy process may take seconds, while a dark process must not hold up the others. Until its
 * connection is established, a process is tried again at growing intervals, since the packet that
 * opens a connection may be lost. There is one hello at a time for each process: the leader handles
 * every one in full.
 *
 * Pure: time is an argument.
 */
#ifndef AUBURN_LEADER_SEARCH_H
#define AUBURN_LEADER_SEARCH_H

#include <stdbool.h>
#include <stddef.h>
#include "base/clock.h"

#define LEADER_SEARCH_CONTROLS_MAX 33

/** A try without an answer holds up the tries at the other processes for this long, in ms, the
 * first time. */
#define LEADER_SEARCH_STAGGER_MS 150
/** Maximum interval between tries at a process that does not accept a connection, in ms. */
#define LEADER_SEARCH_INTERVAL_MAX_MS 600
/** Pause after an answer or a refused connection, in ms. */
#define LEADER_SEARCH_PAUSE_MS 20
/** Time limit of a try, for the connection and the answer together, in ms. */
#define LEADER_SEARCH_TRY_MS 2000
/** Minimum time limit of an acknowledgement, in ms. A round trip takes a few ms, but a process that
 * has used up its CPU quota is paused for up to 100 ms. */
#define LEADER_SEARCH_ACK_MIN_MS 150

typedef struct {
	bool greeted; /* it has a hello of this search and has not answered yet */
	unsigned unanswered; /* tries since its last answer */
	deadline_t try_at; /* earliest time of its next try */
} leader_search_control_t;

typedef struct {
	leader_search_control_t controls[LEADER_SEARCH_CONTROLS_MAX];
	size_t ncontrols;
	size_t next; /* in turn */
	size_t hint; /* is tried next; ncontrols or more: none */
	deadline_t next_at; /* earliest time of the next try */
} leader_search_t;

/** Starts a new search among the same control processes. */
void leader_search_restart(leader_search_t *s, deadline_t now);
/** Adds a control process; returns its index. There must be room. */
size_t leader_search_add(leader_search_t *s);
/** Control process i is another one from now on, of which nothing is known yet. */
void leader_search_replace(leader_search_t *s, size_t i);
/** Another process has named control process i as the leader. */
void leader_search_hint(leader_search_t *s, size_t i);
/** True if a control process is to be tried now, *i; the try counts as begun. */
bool leader_search_next(leader_search_t *s, deadline_t now, size_t *i);
/** A connection to i is established and the hello was sent. */
void leader_search_greeted(leader_search_t *s, size_t i);
/** A try at i has ended: i does not lead, has refused or closed the connection. */
void leader_search_answered(leader_search_t *s, size_t i, deadline_t now);
/** A try at i has reached its time limit. greeted: its hello was sent. */
void leader_search_given_up(leader_search_t *s, size_t i, bool greeted);
/** Time limit of an acknowledgement on a link whose hello was answered after rtt_ms: the first
 * retransmission timeout of RFC 6298, within bounds. max_ms: silence timeout of the link. */
int64_t leader_search_ack_ms(int64_t rtt_ms, int64_t max_ms);

#endif
