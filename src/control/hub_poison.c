/* Requests that crash replicas: gathers what entries report of runs whose connection ended, tells
 * the entries which requests are held, and names the entry that tries one whose hold ran out. */
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/prng.h"
#include "client/poison_list.h"
#include "control/hub.h"

/** Period in which changes of the list are gathered, in ms. */
#define SEND_MS 20
/** Suspected requests are listed from this number of crashes. */
#define LISTED_CRASHES_MIN 2

static void on_event(void *ctx, poison_event_t what, const poison_state_t *x)
{
	hub_t *h = ctx;
	deadline_t now = clock_now_ms();
	char key[POISON_NAME_BYTES];
	uint64_t content;

	log_event(LOG_LEVEL_INFO, poison_event_name(what),
		  LOG_CSTR("key", poison_key_name(&x->key, key)), LOG_INT("crashes", x->crashes),
		  LOG_INT("level", x->level), LOG_INT("since_ms", x->since ? now - x->since : -1),
		  LOG_INT("left_ms", x->held ? x->until - now : 0));
	if (what != POISON_HELD)
		return;
	METRIC_INC("auburn_requests_held_total");
	memcpy(&content, x->key.v, sizeof(content));
	quarantine_explain(h->quarantine, content);
}

void hub_poison_start_leading(hub_t *h)
{
	h->poison = poison_new(&(poison_callbacks_t){h, on_event});
	h->sent_poisons = 0;
}

void hub_poison_stop_leading(hub_t *h)
{
	poison_free(h->poison);
	h->poison = NULL;
}

/* Sends the list to one peer, or to all that know it if p is NULL. */
static void send_list(hub_t *h, hub_peer_t *p)
{
	static poison_state_t states[POISON_LIST_MAX];
	link_msg_t m = {.kind = LINK_POISONS};
	size_t n = poison_list(h->poison, LISTED_CRASHES_MIN, states, POISON_LIST_MAX);

	poison_list_encode(states, n, clock_now_ms(), &m.link_msg_t_u.poisons);
	if (p) {
		hub_send(p, &m);
		return;
	}
	for (p = h->peers; p; p = p->hh.next) {
		if (p->knows_poisons)
			hub_send(p, &m);
	}
}

void hub_poison_add_peer(hub_t *h, hub_peer_t *p, const link_poisons_t *m)
{
	static poison_state_t states[POISON_LIST_MAX];
	deadline_t now = clock_now_ms();
	size_t n = poison_list_decode(m, now, states);

	for (size_t i = 0; i < n; i++) {
		/* Who probes is for this leader to say. */
		states[i].prober = 0;
		if (states[i].held && !poison_has(h->poison, &states[i].key))
			poison_adopt(h->poison, &states[i], now);
	}
	p->knows_poisons = true;
	send_list(h, p);
}

void hub_poison_crash(hub_t *h, const hub_peer_t *p, const link_request_crash_t *m)
{
	deadline_t now = clock_now_ms();
	char name[POISON_NAME_BYTES];
	poison_key_t key;
	poison_state_t why;
	uint64_t content;

	memcpy(key.v, m->key, sizeof(key.v));
	memcpy(&content, m->key, sizeof(content));
	log_event(LOG_LEVEL_INFO, "request_crash", LOG_CSTR("entry", p->name),
		  LOG_STR("request", wire_str(m->crash.request)),
		  LOG_STR("replica", wire_str(m->crash.replica)),
		  LOG_INT("born", m->crash.start_time), LOG_INT("run_ms", m->run_ms),
		  LOG_CSTR("key", poison_key_name(&key, name)));
	if (m->crash.parts.parts_len > 0 && !poison_holds(h->poison, &key, 0, now, &why))
		hub_quarantine_crash(h, p, &m->crash, &content, now - m->run_ms);
	poison_crash(h->poison, &key,
		     (replica_ref_t){wire_str(m->crash.replica), m->crash.start_time},
		     now - m->run_ms, now);
}

void hub_poison_sound(hub_t *h, const link_request_sound_t *m)
{
	poison_key_t key;

	memcpy(key.v, m->key, sizeof(key.v));
	poison_sound(h->poison, &key);
}

/* Picks one of the entries that know the messages; 0: there is none. */
static uint64_t pick_prober(hub_t *h)
{
	uint64_t prober = 0;
	unsigned n = 0;

	for (const hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->knows_poisons && !p->draining && !p->cut_off &&
		    prng_next(&h->prober_random) % ++n == 0)
			prober = str_hash(str_c(p->name));
	}
	return prober;
}

void hub_poison_tick(hub_t *h, deadline_t now)
{
	poison_key_t key;
	uint64_t prober;
	char name[POISON_NAME_BYTES];

	poison_tick(h->poison, now);
	if (poison_needs_prober(h->poison, now, &key) && (prober = pick_prober(h))) {
		poison_set_prober(h->poison, &key, prober, now);
		log_event(LOG_LEVEL_INFO, "prober_named",
			  LOG_CSTR("key", poison_key_name(&key, name)));
	}
	if (now < h->next_poisons_send || h->sent_poisons == poison_version(h->poison))
		return;
	h->next_poisons_send = now + SEND_MS;
	h->sent_poisons = poison_version(h->poison);
	send_list(h, NULL);
}
