/* The reference model of the simulation: which entry was applied at each index, and which versions
 * callers may see. */
#include "sim.h"

#include <string.h>
#include "raft/raft_internal.h"

/* Checks that an index holds the same entry on every replica, that entries are applied in order,
 * and that no write is applied twice. */
static void check_entry(sim_t *s, uint64_t index, uint64_t term, uint64_t op)
{
	if (index >= SIM_INDEX_MAX) {
		sim_report_violation(s, "the run has more entries than the reference can hold");
		return;
	}
	if (index <= s->reference_last) {
		if (s->reference[index].term != term || s->reference[index].op != op)
			sim_report_violation(s,
					     "entry %lu is op %lu of term %lu, another replica "
					     "applied op %lu of term %lu",
					     (unsigned long)index, (unsigned long)op,
					     (unsigned long)term,
					     (unsigned long)s->reference[index].op,
					     (unsigned long)s->reference[index].term);
		return;
	}
	if (index != s->reference_last + 1)
		sim_report_violation(s, "entry %lu was applied before %lu", (unsigned long)index,
				     (unsigned long)s->reference_last + 1);
	for (uint64_t i = 1; op && i <= s->reference_last; i++) {
		if (s->reference[i].op == op)
			sim_report_violation(s, "op %lu was applied twice", (unsigned long)op);
	}
	s->reference_last = index;
	s->reference[index].term = term;
	s->reference[index].op = op;
}

static void end_call(sim_t *s, size_t i)
{
	s->calls[i] = s->calls[--s->ncalls];
}

/* A caller sees a version: it must not be below one that any caller had seen before this call
 * started, and a write must make a new one. */
static void check_version(sim_t *s, const sim_call_t *c, uint64_t version)
{
	if (version < c->min_version + (c->read ? 0 : 1))
		sim_report_violation(
			s,
			"a %s of key %u returned version %lu, %lu had been seen before it started",
			c->read ? "read" : "write", c->key, (unsigned long)version,
			(unsigned long)c->min_version);
	if (s->seen_version[c->key] < version)
		s->seen_version[c->key] = version;
}

/* Acknowledges the write at this index if its caller waits at this replica. If the entry has
 * another term, the write was replaced by a later leader and its call ends without an answer. */
static void answer_write(sim_node_t *n, uint64_t index, uint64_t term, const sim_cmd_t *cmd)
{
	sim_t *s = n->sim;

	for (size_t i = 0; i < s->ncalls; i++) {
		sim_call_t c = s->calls[i];

		if (c.read || c.id != n->id || c.index != index)
			continue;
		end_call(s, i);
		if (c.term != term)
			return;
		if (cmd->op != c.token)
			sim_report_violation(s, "op %lu got the answer of op %lu",
					     (unsigned long)c.token, (unsigned long)cmd->op);
		check_version(s, &c, n->state.version[c.key]);
		s->res->writes++;
		return;
	}
}

void sim_check_apply(sim_node_t *n, uint64_t index, const raft_entry_t *e)
{
	sim_cmd_t cmd = {0};

	if (e->kind == RAFT_ENTRY_COMMAND)
		memcpy(&cmd, e->data.data_val, sizeof(cmd));
	check_entry(n->sim, index, e->term, cmd.op);
	if (index <= n->state.applied)
		sim_report_violation(n->sim, "entry %lu was applied after %lu",
				     (unsigned long)index, (unsigned long)n->state.applied);
	n->state.applied = index;
	if (e->kind != RAFT_ENTRY_COMMAND)
		return;
	n->state.op[cmd.key] = cmd.op;
	n->state.version[cmd.key]++;
	answer_write(n, index, e->term, &cmd);
}

void sim_check_log_bytes(sim_node_t *n)
{
	raft_status_t v;
	uint64_t bytes = 0;

	raft_get_status(n->raft, &v);
	for (uint64_t i = v.base + 1; i <= v.last; i++)
		bytes += raft_entry_at(n->raft, i)->data.data_len;
	if (bytes != v.log_bytes)
		sim_report_violation(n->sim, "a log of %lu bytes counts %lu", (unsigned long)bytes,
				     (unsigned long)v.log_bytes);
}

void sim_check_leader(sim_node_t *n, uint64_t term)
{
	sim_t *s = n->sim;

	if (term >= SIM_INDEX_MAX)
		return;
	if (s->leaders[term] != 0 && s->leaders[term] != n->id)
		sim_report_violation(s, "two leaders in term %lu", (unsigned long)term);
	s->leaders[term] = n->id;
	s->res->elections++;
}

void sim_call_begin(sim_t *s, sim_node_t *n, bool read, uint64_t token, uint64_t index,
		    uint32_t key)
{
	sim_call_t c = {.read = read,
			.token = token,
			.addr = n->addr,
			.id = n->id,
			.index = index,
			.key = key,
			.min_version = s->seen_version[key]};

	if (!read)
		c.term = raft_term_at(n->raft, index);
	s->calls = mem_grow(s->calls, (s->ncalls + 1) * sizeof(*s->calls));
	s->calls[s->ncalls++] = c;
}

void sim_call_read_done(sim_node_t *n, uint64_t token, bool ok)
{
	sim_t *s = n->sim;

	for (size_t i = 0; i < s->ncalls; i++) {
		sim_call_t c = s->calls[i];

		if (!c.read || c.token != token)
			continue;
		end_call(s, i);
		if (ok) {
			check_version(s, &c, n->state.version[c.key]);
			s->res->reads++;
		}
		return;
	}
	sim_report_violation(s, "a read was answered twice");
}

void sim_calls_drop(sim_t *s, unsigned addr)
{
	for (size_t i = s->ncalls; i > 0; i--) {
		if (s->calls[i - 1].addr == addr)
			end_call(s, i - 1);
	}
}
