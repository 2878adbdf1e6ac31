#include "state/ld.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "state/ld_core.h"

#define LOST_CAP_MIN 16

uint64_t ld_digest_step(uint64_t so_far, str_t body)
{
	return XXH3_64bits_withSeed(body.p, body.n, so_far);
}

void ld_answer(aw_ledger_res_t *res, status_t st)
{
	res->status = (int)st;
	if (st != ST_OK)
		res->message = px_copy(str_c(st_message()));
}

char *ld_copy(str_t s)
{
	char *p;

	if (s.n == 0)
		return NULL;
	p = mem_new(s.n);
	memcpy(p, s.p, s.n);
	return p;
}

void ld_key(buf_t *key, str_t caller, str_t name)
{
	uint32_t n = (uint32_t)caller.n;

	key->n = 0;
	buf_add(key, (str_t){(const char *)&n, sizeof(n)});
	buf_add(key, caller);
	buf_add(key, name);
}

ld_id_t ld_id_new(str_t caller, str_t name)
{
	buf_t key = {0};

	ld_key(&key, caller, name);
	return (ld_id_t){key.p, (uint32_t)key.n, (uint32_t)caller.n};
}

str_t ld_id_caller(const ld_id_t *id)
{
	return (str_t){id->p + sizeof(uint32_t), id->caller_n};
}

str_t ld_id_name(const ld_id_t *id)
{
	size_t skip = sizeof(uint32_t) + id->caller_n;

	return (str_t){id->p + skip, id->n - skip};
}

ld_service_t *ld_service(ld_t *l, str_t name)
{
	ld_service_t *s;

	HASH_FIND(hh, l->services, name.p, name.n, s);
	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->name = str_dup(name);
	s->name_n = (uint32_t)name.n;
	HASH_ADD_KEYPTR(hh, l->services, s->name, s->name_n, s);
	return s;
}

ld_session_t *ld_session_find(const ld_t *l, uint64_t id)
{
	ld_session_t *s;

	HASH_FIND(hh, l->sessions, &id, sizeof(id), s);
	return s;
}

ld_session_t *ld_session(ld_t *l, uint64_t id)
{
	ld_session_t *s = ld_session_find(l, id);

	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->id = id;
	HASH_ADD(hh, l->sessions, id, sizeof(s->id), s);
	return s;
}

void ld_session_free(ld_t *l, ld_session_t *s)
{
	assert(!s->requests && !s->holds && !s->cancelled);
	while (s->leases) {
		ld_lease_t *next = s->leases->next;

		free(s->leases->refs);
		free(s->leases);
		s->leases = next;
	}
	HASH_DEL(l->sessions, s);
	free(s);
}

/** First place in the list of lost sessions that isn't below id. */
static size_t lost_place(const ld_t *l, uint64_t id)
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

bool ld_is_lost(const ld_t *l, uint64_t session)
{
	size_t i = lost_place(l, session);

	return i < l->nlost && l->lost[i] == session;
}

void ld_mark_lost(ld_t *l, uint64_t session)
{
	size_t i = lost_place(l, session);

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

ld_t *ld_new(void)
{
	return mem_new(sizeof(ld_t));
}

static void free_sessions(ld_t *l)
{
	while (l->sessions)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		ld_session_free(l, l->sessions);
}

static void free_services(ld_t *l)
{
	while (l->services) {
		ld_service_t *s = l->services;

		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(l->services, s);
		ld_heap_free(&s->bands);
		ld_heap_free(&s->overdue);
		ld_heap_free(&s->orphans);
		free(s->name);
		free(s);
	}
}

void ld_free(ld_t *l)
{
	if (!l)
		return;
	while (l->requests)
		ld_request_free(l, l->requests);
	while (l->jobs)
		ld_job_free(l, l->jobs);
	assert(l->items == 0 && l->leased == 0 && l->bytes == 0);
	free_sessions(l);
	free_services(l);
	ld_heap_free(&l->ended_requests);
	ld_heap_free(&l->ended_jobs);
	ld_heap_free(&l->unsealed_jobs);
	buf_free(&l->scratch);
	free(l->lost);
	free(l);
}

void ld_apply(ld_t *l, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res)
{
	memset(res, 0, sizeof(*res));
	switch (cmd->kind) {
	case AW_LEDGER_ACCEPT:
		ld_accept(l, &cmd->aw_ledger_cmd_t_u.accept, res);
		break;
	case AW_LEDGER_ATTEMPT:
		ld_attempt(l, &cmd->aw_ledger_cmd_t_u.attempt, res);
		break;
	case AW_LEDGER_FINISH:
		ld_finish(l, &cmd->aw_ledger_cmd_t_u.finish, res);
		break;
	case AW_LEDGER_JOB_OPEN:
		ld_job_open(l, &cmd->aw_ledger_cmd_t_u.open, res);
		break;
	case AW_LEDGER_JOB_ITEMS:
		ld_job_items(l, &cmd->aw_ledger_cmd_t_u.items, res);
		break;
	case AW_LEDGER_JOB_SEAL:
		ld_job_seal(l, &cmd->aw_ledger_cmd_t_u.seal, res);
		break;
	case AW_LEDGER_JOB_CANCEL:
		ld_job_cancel(l, &cmd->aw_ledger_cmd_t_u.cancel, res);
		break;
	case AW_LEDGER_LEASE:
		ld_lease(l, &cmd->aw_ledger_cmd_t_u.lease, res);
		break;
	case AW_LEDGER_DONE:
		ld_done(l, &cmd->aw_ledger_cmd_t_u.done, res);
		break;
	case AW_LEDGER_SESSIONS_LOST:
		ld_sessions_lost(l, &cmd->aw_ledger_cmd_t_u.lost, res);
		break;
	case AW_LEDGER_EXPIRE:
		ld_expire(l, &cmd->aw_ledger_cmd_t_u.expire, res);
		break;
	default:
		ld_answer(res, st_fail(ST_INVALID, "unknown ledger command %d", (int)cmd->kind));
	}
}

void ld_stats(const ld_t *l, ld_stats_t *out)
{
	*out = (ld_stats_t){
		.requests = HASH_COUNT(l->requests),
		.jobs = HASH_COUNT(l->jobs),
		.items = l->items,
		.leased = l->leased,
		.late_dropped = l->late_dropped,
		.bytes = l->bytes,
	};
}
