/* Disk faults of the simulation that pass: hangs, refused writes and failed syncs. */
#include "sim.h"
#include "base/prng.h"

/* Chance that a fault begins in a step, per mille. */
#define FAULT_PER_MILLE 8
/* Longest fault, in steps. */
#define FAULT_STEPS_MAX 300
/* In percent of the returns of a disk another disk is lost, within this many steps. */
#define LOSS_PERCENT   30
#define LOSS_STEPS_MAX 60

uint64_t sim_disk_random(sim_t *s, uint64_t n)
{
	return (prng_next(&s->disk_random) >> 11) % n;
}

bool sim_disk_is_faulty(const sim_node_t *n)
{
	return n->sim->res->step < n->disk.fault_until;
}

void sim_disk_random_fault(sim_t *s)
{
	sim_disk_t *d = &s->nodes[sim_disk_random(s, SIM_ADDRS)].disk;

	if (sim_disk_random(s, 1000) >= FAULT_PER_MILLE || s->res->step < d->fault_until)
		return;
	d->fault = (sim_disk_fault_t)sim_disk_random(s, SIM_DISK_FAULTS);
	d->fault_until = s->res->step + 1 + (unsigned)sim_disk_random(s, FAULT_STEPS_MAX);
}

void sim_disk_refuse(sim_node_t *n)
{
	n->disk.sync_failed |= n->disk.fault == SIM_DISK_SYNC_FAILS;
	if (n->disk.refused)
		return;
	n->disk.refused = true;
	n->sim->res->disk_failures++;
	raft_on_disk_failed(n->raft);
}

void sim_disk_return(sim_node_t *n)
{
	sim_t *s = n->sim;

	n->disk.refused = false;
	n->disk.sync_failed = false;
	s->res->disk_returns++;
	if (s->next_loss == 0 && sim_disk_random(s, 100) < LOSS_PERCENT)
		s->next_loss = s->res->step + 1 + (unsigned)sim_disk_random(s, LOSS_STEPS_MAX);
	raft_on_disk_back(n->raft);
}
