/* Whether there is memory for a new batch lot. */
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"
#include "policy/lots_memory.h"

#define MIB ((size_t)1 << 20)

static void read_bytes(control_group_t *g, void *arg)
{
	*(size_t *)arg = lots_bytes_expected(g->lots);
}

static void log_refusal(const char *event, const lots_memory_t *m, str_t lot, size_t bytes,
			size_t most)
{
	log_event(LOG_LEVEL_WARN, event, LOG_STR("lot", lot), LOG_INT("size", (int64_t)m->lot),
		  LOG_INT("bytes", (int64_t)bytes), LOG_INT("waiting", (int64_t)m->waiting),
		  LOG_INT("most", (int64_t)most));
	METRIC_INC("auburn_lots_refused_for_memory_total");
}

status_t hub_lots_check_memory(hub_t *h, str_t lot, size_t bytes)
{
	control_group_t *g = &h->control->groups[0];
	group_status_t st;
	lots_memory_t m = {.memory = (size_t)h->control->settings.memory_mib * MIB,
			   .waiting = h->batch.bytes + h->committing_bytes,
			   .lot = bytes};

	if (m.memory == 0)
		return STATUS_OK;
	control_group_read(g, read_bytes, &m.lots);
	group_get_status(g->raft, &st);
	m.log = st.log_bytes;
	switch (lots_memory_decide(&m)) {
	case LOTS_MEMORY_AMPLE:
		break;
	case LOTS_MEMORY_LOTS_FULL:
		log_refusal("lots_fill_memory", &m, lot, m.lots, lots_memory_lots_max(m.memory));
		return status_fail(STATUS_LIMIT, "lots have filled their share of memory");
	case LOTS_MEMORY_LOG_FULL:
		log_refusal("log_fills_memory", &m, lot, m.log, lots_memory_log_max(m.memory));
		return status_fail(STATUS_UNAVAILABLE, "the log has filled its share of memory");
	}
	return STATUS_OK;
}
