/* Dispatch of commands, sessions, services and keys of the ledger. */
#include "state/ledger.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "state/ledger_internal.h"

#define LOST_CAP_MIN 16

uint64_t ledger_digest_step(uint64_t so_far, str_t body)
{
	return XXH3_64bits_withSeed(body.p, body.n, so_far);
}

void ledger_set_status(wire_ledger_res_t *res, status_t st)
{
	res->status = (int)st;
	if (st != STATUS_OK)
		res->message = wire_copy(str_c(status_message()));
}

char *ledger_copy_bytes(str_t s)
{
	char *p;

	if (s.n == 0)
		return NULL;
	p = mem_new(s.n);
	memcpy(p, s.p, s.n);
	return p;
}

void ledger_id_encode(buf_t *key, str_t caller, str_t name)
{
	uint32_t n = (uint32_t)caller.n;

	key->n = 0;
	buf_add(key, (str_t){(const char *)&n, sizeof(n)});
	buf_add(key, caller);
	buf_add(key, name);
}

ledger_id_t ledger_id_new(str_t caller, str_t name)
{
	buf_t key = {0};

	ledger_id_encode(&key, caller, name);
	return (ledger_id_t){key.p, (uint32_t)key.n, (uint32_t)caller.n};
}

str_t ledger_id_caller(const ledger_id_t *id)
{
	return (str_t){id->p + sizeof(uint32_t), id->caller_n};
}

str_t ledger_id_name(const ledger_id_t *id)
{
	size_t skip = sizeof(uint32_t) + id->caller_n;

	return (str_t){id->p + skip, id->n - skip};
}

ledger_service_t *ledger_get_service(ledger_t *l, str_t name)
{
	ledger_service_t *s;

	HASH_FIND(hh, l->services, name.p, name.n, s);
	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->name = str_dup(name);
	s->name_n = (uint32_t)name.n;
	HASH_ADD_KEYPTR(hh, l->services, s->name, s->name_n, s);
	return s;
}

ledger_session_t *ledger_find_session(const ledger_t *l, uint64_t id)
{
	ledger_session_t *s;

	HASH_FIND(hh, l->sessions, &id, sizeof(id), s);
	return s;
}

ledger_session_t *ledger_get_session(ledger_t *l, uint64_t id)
{
	ledger_session_t *s = ledger_find_session(l, id);

	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->id = id;
	HASH_ADD(hh, l->sessions, id, sizeof(s->id), s);
	return s;
}

void ledger_session_free(ledger_t *l, ledger_session_t *s)
{
	assert(!s->requests && !s->job_leases && !s->cancelled_leases);
	while (s->lease_records) {
		ledger_lease_record_t *next = s->lease_records->next;

		free(s->lease_records->refs);
		free(s->lease_records);
		s->lease_records = next;
	}
	HASH_DEL(l->sessions, s);
	free(s);
}

/** Position of the first lost session whose id is not below id. */
static size_t lost_session_pos(const ledger_t *l, uint64_t id)
{
	size_t lo = 0;
	size_t hi = l->nlost;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (l->lost[mid] < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

bool ledger_session_is_lost(const ledger_t *l, uint64_t session)
{
	size_t i = lost_session_pos(l, session);

	return i < l->nlost && l->lost[i] == session;
}

void ledger_mark_session_lost(ledger_t *l, uint64_t session)
{
	size_t i = lost_session_pos(l, session);

	if (i < l->nlost && l->lost[i] == session)
		return;
	if (l->nlost == l->lost_cap) {
		l->lost_cap = l->lost_cap ? l->lost_cap * 2 : LOST_CAP_MIN;
		l->lost = mem_grow(l->lost, l->lost_cap * sizeof(*l->lost));
	}
	memmove(l->lost + i + 1, l->lost + i, (l->nlost - i) * sizeof(*l->lost));
	l->lost[i] = session;
	l->nlost++;
}

ledger_t *ledger_new(void)
{
	return mem_new(sizeof(ledger_t));
}

static void free_sessions(ledger_t *l)
{
	while (l->sessions)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		ledger_session_free(l, l->sessions);
}

static void free_services(ledger_t *l)
{
	while (l->services) {
		ledger_service_t *s = l->services;

		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		HASH_DEL(l->services, s);
		ledger_heap_free(&s->bands);
		ledger_heap_free(&s->overdue);
		ledger_heap_free(&s->waiting_requests);
		free(s->name);
		free(s);
	}
}

void ledger_free(ledger_t *l)
{
	if (!l)
		return;
	while (l->requests)
		ledger_request_free(l, l->requests);
	while (l->jobs)
		ledger_job_free(l, l->jobs);
	assert(l->items == 0 && l->leased == 0 && l->bytes == 0);
	free_sessions(l);
	free_services(l);
	ledger_heap_free(&l->ended_requests);
	ledger_heap_free(&l->ended_jobs);
	ledger_heap_free(&l->unsealed_jobs);
	buf_free(&l->scratch);
	free(l->lost);
	free(l);
}

void ledger_apply_cmd(ledger_t *l, const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res)
{
	memset(res, 0, sizeof(*res));
	switch (cmd->kind) {
	case WIRE_LEDGER_ACCEPT:
		ledger_accept(l, &cmd->wire_ledger_cmd_t_u.accept, res);
		break;
	case WIRE_LEDGER_ATTEMPT:
		ledger_attempt(l, &cmd->wire_ledger_cmd_t_u.attempt, res);
		break;
	case WIRE_LEDGER_FINISH:
		ledger_finish(l, &cmd->wire_ledger_cmd_t_u.finish, res);
		break;
	case WIRE_LEDGER_JOB_OPEN:
		ledger_job_open(l, &cmd->wire_ledger_cmd_t_u.open, res);
		break;
	case WIRE_LEDGER_JOB_ITEMS:
		ledger_job_add_items(l, &cmd->wire_ledger_cmd_t_u.items, res);
		break;
	case WIRE_LEDGER_JOB_SEAL:
		ledger_job_seal(l, &cmd->wire_ledger_cmd_t_u.seal, res);
		break;
	case WIRE_LEDGER_JOB_CANCEL:
		ledger_job_cancel(l, &cmd->wire_ledger_cmd_t_u.cancel, res);
		break;
	case WIRE_LEDGER_LEASE:
		ledger_lease(l, &cmd->wire_ledger_cmd_t_u.lease, res);
		break;
	case WIRE_LEDGER_DONE:
		ledger_done(l, &cmd->wire_ledger_cmd_t_u.done, res);
		break;
	case WIRE_LEDGER_SESSIONS_LOST:
		ledger_sessions_lost(l, &cmd->wire_ledger_cmd_t_u.lost, res);
		break;
	case WIRE_LEDGER_EXPIRE:
		ledger_expire(l, &cmd->wire_ledger_cmd_t_u.expire, res);
		break;
	default:
		ledger_set_status(res, status_fail(STATUS_INVALID, "unknown ledger command %d",
						   (int)cmd->kind));
	}
}

void ledger_get_stats(const ledger_t *l, ledger_stats_t *out)
{
	*out = (ledger_stats_t){
		.requests = HASH_COUNT(l->requests),
		.jobs = HASH_COUNT(l->jobs),
		.items = l->items,
		.leased = l->leased,
		.late_dropped = l->late_dropped,
		.bytes = l->bytes,
	};
}
