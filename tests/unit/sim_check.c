/* The reference model: what was applied at each index, and what each caller may see. */
#include "sim.h"

#include <string.h>

/* Every replica applies the same entry at an index, in order, once. */
static void check_reference(sim_t *s, uint64_t index, uint64_t term, uint64_t op)
{
	if (index >= SIM_INDEX_MAX) {
		sim_report_violation(s, "the run is too long for its reference");
		return;
	}
	if (index <= s->reference_last) {
		if (s->reference[index].term != term || s->reference[index].op != op)
			sim_report_violation(
				s, "entry %lu is op %lu of term %lu here, op %lu of term %lu there",
				(unsigned long)index, (unsigned long)op, (unsigned long)term,
				(unsigned long)s->reference[index].op, (unsigned long)s->reference[index].term);
		return;
	}
	if (index != s->reference_last + 1)
		sim_report_violation(s, "entry %lu is applied before %lu", (unsigned long)index,
			    (unsigned long)s->reference_last + 1);
	for (uint64_t i = 1; op && i <= s->reference_last; i++) {
		if (s->reference[i].op == op)
			sim_report_violation(s, "op %lu is applied twice", (unsigned long)op);
	}
	s->reference_last = index;
	s->reference[index].term = term;
	s->reference[index].op = op;
}

static void end_call(sim_t *s, size_t i)
{
	s->calls[i] = s->calls[--s->ncalls];
}

/* A caller learns of a version; nobody who begins later may learn of a lower one. */
static void see_version(sim_t *s, const sim_call_t *c, uint64_t version)
{
	if (version < c->min_version + (c->read ? 0 : 1))
		sim_report_violation(s, "a %s of key %u gives version %lu, %lu was known before it began",
			    c->read ? "read" : "write", c->key, (unsigned long)version,
			    (unsigned long)c->min_version);
	if (s->seen_version[c->key] < version)
		s->seen_version[c->key] = version;
}

/* Acknowledges the write at this entry if the replica has a caller for it. */
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
			sim_report_violation(s, "op %lu gets the answer of op %lu", (unsigned long)c.token,
				    (unsigned long)cmd->op);
		see_version(s, &c, n->state.version[c.key]);
		s->res->writes++;
		return;
	}
}

void sim_check_apply(sim_node_t *n, uint64_t index, const raft_entry_t *e)
{
	sim_cmd_t cmd = {0};

	if (e->kind == RAFT_ENTRY_COMMAND)
		memcpy(&cmd, e->data.data_val, sizeof(cmd));
	check_reference(n->sim, index, e->term, cmd.op);
	if (index <= n->state.applied)
		sim_report_violation(n->sim, "entry %lu is applied after %lu", (unsigned long)index,
			    (unsigned long)n->state.applied);
	n->state.applied = index;
	if (e->kind != RAFT_ENTRY_COMMAND)
		return;
	n->state.op[cmd.key] = cmd.op;
	n->state.version[cmd.key]++;
	answer_write(n, index, e->term, &cmd);
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
			see_version(s, &c, n->state.version[c.key]);
			s->res->reads++;
		}
		return;
	}
	sim_report_violation(s, "a read is answered twice");
}

void sim_calls_drop(sim_t *s, unsigned slot)
{
	for (size_t i = s->ncalls; i > 0; i--) {
		if (s->calls[i - 1].addr == slot)
			end_call(s, i - 1);
	}
}
