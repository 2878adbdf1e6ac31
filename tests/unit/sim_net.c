/* The simulation's network: delivers messages by address, in any order, with losses and repeats. */
#include "sim.h"

#include <string.h>
#include "proto/wire.h"

int sim_addr_of(const sim_t *s, uint64_t id)
{
	for (unsigned i = 0; i < s->nids; i++) {
		if (s->ids[i].id == id)
			return (int)s->ids[i].addr;
	}
	return -1;
}

static void remove_packet(sim_t *s, unsigned i)
{
	buf_free(&s->packets[i].bytes);
	s->packets[i] = s->packets[--s->npackets];
}

void sim_send(sim_node_t *from, const raft_msg_t *m)
{
	sim_t *s = from->sim;
	int addr = sim_addr_of(s, m->to);
	sim_packet_t *p;

	if (addr < 0 || sim_random(s, 100) < s->loss_percent)
		return;
	if (s->npackets == SIM_PACKETS_MAX)
		remove_packet(s, (unsigned)sim_random(s, s->npackets));
	p = &s->packets[s->npackets++];
	*p = (sim_packet_t){.from = from->addr, .to = (unsigned)addr};
	wire_encode(&p->bytes, XDR_PROC(raft_msg_t), m);
}

void sim_deliver(sim_t *s)
{
	unsigned i;
	sim_node_t *to;
	AUTO_BUF bytes = {0};
	raft_msg_t m;

	if (s->npackets == 0)
		return;
	i = (unsigned)sim_random(s, s->npackets);
	to = &s->nodes[s->packets[i].to];
	if (to->frozen_steps && sim_random(s, 10) > 0)
		return;
	if (!to->raft || to->partition != s->nodes[s->packets[i].from].partition) {
		remove_packet(s, i);
		return;
	}
	if (to->frozen_steps)
		return;
	buf_add(&bytes, str_buf(&s->packets[i].bytes));
	if (sim_random(s, 20) > 0)
		remove_packet(s, i);
	if (wire_decode(str_buf(&bytes), XDR_PROC(raft_msg_t), &m, sizeof(m)) == STATUS_OK)
		raft_receive(to->raft, &m);
	wire_free(XDR_PROC(raft_msg_t), &m);
}
