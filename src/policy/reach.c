#include "policy/reach.h"

#include <stdlib.h>
#include <uthash.h>

/** This many replicas must have failed or been silent before the first probe. */
#define DOUBT_REPLICAS 2
/** This many probes must have failed. */
#define PROBES_FAILED_MIN 6
/** Replicas that fail must be more than this many times those that don't. */
#define FAILED_PER_REACHED 3

/** Time for an answer on an old connection to arrive. */
#define ANSWER_MS 200

/** What is known of one replica. Times are 0 if it never happened. */
typedef struct {
	char *id;
	deadline_t unconnected_since; /* first of the failed connections since the last success */
	deadline_t unconnected_at; /* last failed connection, if unconnected_since is set */
	deadline_t silent_at; /* last attempt without an answer; 0 after an answer */
	deadline_t connected_at;
	deadline_t heard_at;
	UT_hash_handle hh;
} record_t;

struct reach {
	record_t *records; /* hash by id; iterated in the order of adding */
	unsigned known;
	bool cut_off;
	deadline_t cut_off_at;
	unsigned probes_failed; /* since the doubt began */
	unsigned probes_connected;
	deadline_t next_probe;
	deadline_t connected_at; /* to any replica */
	deadline_t heard_at;
};

/** Number of replicas by what is known of them. */
typedef struct {
	unsigned failed; /* connections failed lately, with no success since */
	unsigned answering; /* of these, the ones that answer on an old connection since */
	unsigned silent; /* not failed */
	unsigned reached; /* since the first failure */
	deadline_t since; /* first failed connection of these; 0: none */
} counts_t;

reach_t *reach_new(void)
{
	return mem_new(sizeof(reach_t));
}

static void record_free(reach_t *r, record_t *x)
{
	HASH_DEL(r->records, x);
	free(x->id);
	free(x);
}

void reach_free(reach_t *r)
{
	record_t *x;
	record_t *next;

	if (!r)
		return;
	HASH_ITER (hh, r->records, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		record_free(r, x);
	}
	free(r);
}

static record_t *find_record(const reach_t *r, str_t replica)
{
	record_t *x;

	HASH_FIND(hh, r->records, replica.p, replica.n, x);
	return x;
}

static record_t *get_record(reach_t *r, str_t replica)
{
	record_t *x = find_record(r, replica);

	if (x)
		return x;
	if (HASH_COUNT(r->records) >= REACH_REPLICAS_MAX)
		record_free(r, r->records);
	x = mem_new(sizeof(*x));
	x->id = str_dup(replica);
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
	HASH_ADD_KEYPTR(hh, r->records, x->id, replica.n, x);
	return x;
}

void reach_set_known(reach_t *r, unsigned replicas)
{
	r->known = replicas;
}

static void end_cut(reach_t *r)
{
	r->cut_off = false;
	r->probes_failed = r->probes_connected = 0;
	for (record_t *x = r->records; x; x = x->hh.next)
		x->unconnected_since = x->silent_at = 0;
}

void reach_connected(reach_t *r, str_t replica, bool probe, deadline_t now)
{
	record_t *x = get_record(r, replica);
	bool had_failed = x->unconnected_since != 0;

	r->connected_at = x->connected_at = now;
	r->probes_connected += probe;
	x->unconnected_since = 0;
	x->silent_at = 0;
	if (r->cut_off && had_failed)
		end_cut(r);
}

void reach_heard(reach_t *r, str_t replica, deadline_t now)
{
	record_t *x = get_record(r, replica);

	r->heard_at = x->heard_at = now;
	x->silent_at = 0;
}

void reach_failed(reach_t *r, str_t replica, reach_failure_t how, deadline_t now)
{
	record_t *x = get_record(r, replica);

	if (how == REACH_NO_ANSWER) {
		x->silent_at = now;
		return;
	}
	x->unconnected_at = now;
	if (!x->unconnected_since)
		x->unconnected_since = now;
	r->probes_failed += how == REACH_PROBE_FAILED;
}

static bool has_failed(const record_t *x, deadline_t now)
{
	return x->unconnected_since && now - x->unconnected_at < REACH_FAILURE_MS;
}

static bool was_reached_after(const record_t *x, deadline_t t)
{
	return x->connected_at > t || x->heard_at > t;
}

static counts_t count(const reach_t *r, deadline_t now)
{
	counts_t n = {0};

	for (const record_t *x = r->records; x; x = x->hh.next) {
		if (!has_failed(x, now)) {
			n.silent += x->silent_at && now - x->silent_at < REACH_FAILURE_MS;
			continue;
		}
		n.failed++;
		n.answering += x->heard_at > x->unconnected_since;
		if (!n.since || x->unconnected_since < n.since)
			n.since = x->unconnected_since;
	}
	for (const record_t *x = r->records; x && n.since; x = x->hh.next)
		n.reached += !has_failed(x, now) && was_reached_after(x, n.since) &&
			     now - n.since < REACH_FAILURE_MS;
	return n;
}

static bool is_cut_off(const reach_t *r, const counts_t *n, deadline_t now)
{
	unsigned needed = r->known < REACH_EVIDENCE ? r->known : REACH_EVIDENCE;

	if (n->failed < needed || n->failed <= n->reached * FAILED_PER_REACHED)
		return false;
	if (r->probes_failed < PROBES_FAILED_MIN ||
	    r->probes_failed <= r->probes_connected * FAILED_PER_REACHED)
		return false;
	return now - n->since >= (n->answering ? REACH_OLD_CONNS_MS : ANSWER_MS);
}

/* True if as many replicas are reached again as an entry that is not cut off reaches. Replicas that
 * start again get new ids, under which no connection has failed. */
static bool is_reached_again(const reach_t *r, const counts_t *n, deadline_t now)
{
	unsigned reached = 0;

	for (const record_t *x = r->records; x; x = x->hh.next)
		reached += x->connected_at > r->cut_off_at && !has_failed(x, now) &&
			   now - x->connected_at < REACH_FAILURE_MS;
	return reached > 0 && n->failed <= reached * FAILED_PER_REACHED;
}

reach_state_t reach_state(reach_t *r, deadline_t now)
{
	counts_t n = count(r, now);
	bool doubted = n.failed + n.silent >= DOUBT_REPLICAS;

	if (r->known < 2) {
		end_cut(r);
		return REACH_FINE;
	}
	if (r->cut_off && is_reached_again(r, &n, now))
		end_cut(r);
	if (r->cut_off)
		return REACH_CUT_OFF;
	r->cut_off = is_cut_off(r, &n, now);
	r->cut_off_at = now;
	if (r->cut_off)
		return REACH_CUT_OFF;
	if (!doubted)
		r->probes_failed = r->probes_connected = 0;
	return doubted ? REACH_DOUBTED : REACH_FINE;
}

unsigned reach_take_probes(reach_t *r, deadline_t now)
{
	reach_state_t s = reach_state(r, now);

	if (now < r->next_probe || s == REACH_FINE)
		return 0;
	r->next_probe = now + REACH_PROBE_PERIOD_MS;
	if (s == REACH_CUT_OFF)
		return REACH_PROBES_CUT_OFF;
	/* Older probes count less, as the path may have changed since. */
	r->probes_failed /= 2;
	r->probes_connected /= 2;
	/* The doubt was unfounded so far. */
	if (r->probes_connected * FAILED_PER_REACHED > r->probes_failed)
		r->next_probe = now + REACH_RETRY_PERIOD_MS;
	return r->known < REACH_PROBES_MAX ? r->known : REACH_PROBES_MAX;
}

static int64_t age_ms(deadline_t at, deadline_t now)
{
	return at ? now - at : -1;
}

void reach_evidence(const reach_t *r, deadline_t now, reach_evidence_t *out)
{
	counts_t n = count(r, now);

	*out = (reach_evidence_t){
		.replicas_known = r->known,
		.replicas_failed = n.failed,
		.replicas_silent = n.silent,
		.replicas_reached = n.reached,
		.probes_failed = r->probes_failed,
		.probes_connected = r->probes_connected,
		.since_ms = age_ms(n.since, now),
		.connected_ms = age_ms(r->connected_at, now),
		.heard_ms = age_ms(r->heard_at, now),
	};
}
