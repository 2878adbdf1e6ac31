/* Sends Raft messages to the other control processes: a queue and a few threads for each process.
 * While a batch is on its way, the next one follows after a pause, so that messages over a slow
 * path are not a round trip apart. Raft repeats messages that are lost. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "control/control.h"

/** Beyond it the process that was sent nothing for the longest time is dropped: addresses change as
 * processes are replaced. Twice the members of a group, so that none of them is. */
#define PEERS_MAX	     (2 * GROUP_PEERS_MAX)
#define QUEUE_MAX	     4096
#define BATCH_MAX	     512
#define BATCH_MAX_BYTES	     (8 << 20)
#define SEND_TIMEOUT_MS	     1000
#define RECONNECT_BACKOFF_MS 50
/** Batches that are on their way to a process at the same time. */
#define SENDERS 4
/** Pause between two batches of which the first is still on its way, in ms. */
#define BATCH_PAUSE_MS 25

typedef struct {
	unsigned group;
	buf_t msg;
} queued_msg_t;

/* Ring buffer of messages to one process. */
typedef struct {
	char addr[64];
	control_t *ctl;
	unsigned sending; /* batches on their way */
	unsigned senders; /* threads; the last one frees the queue */
	bool dropped;
	deadline_t last_used; /* guarded by the lock of control_peers */
	deadline_t next_batch; /* while a batch is on its way */
	pthread_mutex_t lock;
	pthread_cond_t wake;
	queued_msg_t queue[QUEUE_MAX];
	size_t head;
	size_t n;
} peer_queue_t;

struct control_peers {
	pthread_mutex_t lock;
	peer_queue_t *peers[PEERS_MAX];
	size_t n;
};

struct control_peers *control_peers_new(control_t *ctl)
{
	struct control_peers *p = mem_new(sizeof(*p));

	pthread_mutex_init(&p->lock, NULL);
	return p;
}

/* Waits until messages are queued and may be sent, and takes those for one call; 0: the queue was
 * dropped. */
static size_t take_batch(peer_queue_t *p, queued_msg_t out[BATCH_MAX])
{
	size_t n = 0;
	size_t bytes = 0;

	pthread_mutex_lock(&p->lock);
	while (!p->dropped && (p->n == 0 || (p->sending && clock_now_ms() < p->next_batch))) {
		if (p->n == 0)
			pthread_cond_wait(&p->wake, &p->lock);
		else
			clock_cond_wait(&p->wake, &p->lock, clock_left_ms(p->next_batch));
	}
	while (!p->dropped && p->n > 0 && n < BATCH_MAX && bytes < BATCH_MAX_BYTES) {
		out[n] = p->queue[p->head];
		p->queue[p->head] = (queued_msg_t){0};
		bytes += out[n++].msg.n;
		p->head = (p->head + 1) % QUEUE_MAX;
		p->n--;
	}
	p->sending++;
	p->next_batch = clock_now_ms() + BATCH_PAUSE_MS;
	pthread_mutex_unlock(&p->lock);
	return n;
}

static void send_batch(peer_queue_t *p, rpc_client_t *client, queued_msg_t *batch, size_t n)
{
	wire_raft_msg_t msgs[BATCH_MAX];
	wire_raft_arg_t arg = {wire_bytes(str_c(p->ctl->settings.listen)), {(u_int)n, msgs}};
	char none;
	status_t st;

	for (size_t i = 0; i < n; i++) {
		msgs[i].group = batch[i].group;
		msgs[i].payload = wire_bytes(str_buf(&batch[i].msg));
	}
	st = rpc_client_call(client, AUBURN_RAFT, XDR_PROC(wire_raft_arg_t), &arg, rpc_xdr_void,
			     &none, clock_now_ms() + SEND_TIMEOUT_MS);
	if (st != STATUS_OK) {
		METRIC_INC("auburn_log_send_failures_total");
		clock_sleep_ms(RECONNECT_BACKOFF_MS);
	}
}

/* To be called with the lock of the queue, by each of its threads as it ends. */
static void end_sender(peer_queue_t *p)
{
	bool last = --p->senders == 0;

	pthread_mutex_unlock(&p->lock);
	if (!last)
		return;
	for (; p->n > 0; p->n--) {
		buf_free(&p->queue[p->head].msg);
		p->head = (p->head + 1) % QUEUE_MAX;
	}
	pthread_cond_destroy(&p->wake);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

static void *send_loop(void *arg)
{
	peer_queue_t *p = arg;
	rpc_client_t *client = rpc_client_new(p->addr, AUBURN_CONTROL, AUBURN_CONTROL_V1);
	queued_msg_t *batch = mem_new(BATCH_MAX * sizeof(*batch));

	for (;;) {
		size_t n = take_batch(p, batch);

		if (n > 0)
			send_batch(p, client, batch, n);
		for (size_t i = 0; i < n; i++)
			buf_free(&batch[i].msg);
		pthread_mutex_lock(&p->lock);
		p->sending--;
		if (p->dropped)
			break;
		pthread_cond_signal(&p->wake);
		pthread_mutex_unlock(&p->lock);
	}
	end_sender(p);
	rpc_client_free(client);
	free(batch);
	return NULL;
}

static peer_queue_t *start_peer(control_t *ctl, const char *addr)
{
	peer_queue_t *p = mem_new(sizeof(*p));
	pthread_t t;

	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	p->ctl = ctl;
	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->wake, NULL);
	p->senders = SENDERS;
	for (unsigned i = 0; i < SENDERS; i++) {
		if (pthread_create(&t, NULL, send_loop, p) != 0)
			abort();
		pthread_detach(t);
	}
	return p;
}

/* Its threads end once the batches on their way have. */
static void drop_peer(struct control_peers *ps, size_t at)
{
	peer_queue_t *p = ps->peers[at];

	log_event(LOG_LEVEL_INFO, "peer_dropped", LOG_CSTR("addr", p->addr),
		  LOG_INT("unused_ms", clock_now_ms() - p->last_used), LOG_INT("messages", p->n));
	METRIC_INC("auburn_peers_dropped_total");
	ps->peers[at] = ps->peers[--ps->n];
	pthread_mutex_lock(&p->lock);
	p->dropped = true;
	pthread_cond_broadcast(&p->wake);
	pthread_mutex_unlock(&p->lock);
}

static size_t find_unused(const struct control_peers *ps)
{
	size_t oldest = 0;

	for (size_t i = 1; i < ps->n; i++) {
		if (ps->peers[i]->last_used < ps->peers[oldest]->last_used)
			oldest = i;
	}
	return oldest;
}

/* To be called with the lock of control_peers. */
static peer_queue_t *find_or_start_peer(control_t *ctl, const char *addr)
{
	struct control_peers *ps = ctl->peers;
	peer_queue_t *p;

	for (size_t i = 0; i < ps->n; i++) {
		if (strcmp(ps->peers[i]->addr, addr) == 0)
			return ps->peers[i];
	}
	if (ps->n == PEERS_MAX)
		drop_peer(ps, find_unused(ps));
	p = start_peer(ctl, addr);
	ps->peers[ps->n++] = p;
	return p;
}

static void queue_message(peer_queue_t *p, unsigned group, str_t msg)
{
	queued_msg_t *q;

	pthread_mutex_lock(&p->lock);
	if (p->n == QUEUE_MAX) {
		buf_free(&p->queue[p->head].msg);
		p->head = (p->head + 1) % QUEUE_MAX;
		p->n--;
		METRIC_INC("auburn_log_messages_dropped_total");
	}
	q = &p->queue[(p->head + p->n++) % QUEUE_MAX];
	q->group = group;
	q->msg = (buf_t){0};
	buf_add(&q->msg, msg);
	pthread_cond_signal(&p->wake);
	pthread_mutex_unlock(&p->lock);
}

void control_peer_send(control_t *ctl, const char *addr, unsigned group, str_t msg)
{
	struct control_peers *ps = ctl->peers;
	peer_queue_t *p;

	/* Held until the message is queued, so that the queue isn't dropped meanwhile. */
	pthread_mutex_lock(&ps->lock);
	p = find_or_start_peer(ctl, addr);
	p->last_used = clock_now_ms();
	queue_message(p, group, msg);
	pthread_mutex_unlock(&ps->lock);
}
