/*
 * An entry that has restarted asks only the control processes in its settings for the leader. If
 * none of these is a member any more, because they were replaced or lost their disks, none can name
 * the leader. The leader therefore connects to the control processes that are not linked to it and
 * sends them its address.
 */
#include "control/hub.h"

/** Period of the announcements, in ms. */
#define ANNOUNCE_MS 500

static void on_announce_closed(void *ctx, msgconn_t *l)
{
	hub_t *h = ctx;

	for (size_t i = 0; i < h->nannounce_links; i++) {
		if (h->announce_links[i] == l)
			h->announce_links[i] = NULL;
	}
}

/* Ignores what the other end of an announcement link sends, such as pings. */
static void on_announce_message(void *ctx, msgconn_t *l, str_t s)
{
}

static void on_announce_open(void *ctx, msgconn_t *l)
{
	hub_t *h = ctx;
	link_msg_t m = {.kind = LINK_WELCOME};
	AUTO_BUF b = {0};

	m.link_msg_t_u.welcome.leads = true;
	m.link_msg_t_u.welcome.leader = wire_bytes(str_c(h->control->settings.listen));
	wire_encode(&b, XDR_PROC(link_msg_t), &m);
	msgconn_send(l, str_buf(&b));
}

static bool is_linked_or_self(hub_t *h, str_t control)
{
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (str_eq(str_c(p->rpc_addr), control))
			return true;
	}
	return str_eq(str_c(h->control->settings.listen), control);
}

void hub_announce_stop(hub_t *h)
{
	for (size_t i = 0; i < h->nannounce_links; i++) {
		if (h->announce_links[i])
			msgconn_close(h->announce_links[i]);
	}
	h->nannounce_links = 0;
}

void hub_announce_tick(hub_t *h, deadline_t now)
{
	msgconn_options_t o = {h->loop, h, on_announce_message, on_announce_closed,
			       on_announce_open};
	str_t controls[HUB_ANNOUNCE_MAX];
	size_t n;

	if (now < h->next_announce)
		return;
	h->next_announce = now + ANNOUNCE_MS;
	hub_announce_stop(h);
	n = leader_link_controls(h->leader_link, controls, HUB_ANNOUNCE_MAX);
	for (size_t i = 0; i < n; i++) {
		char addr[LEADER_LINK_ADDR_BYTES];

		if (is_linked_or_self(h, controls[i]) ||
		    leader_link_make_addr(controls[i], (unsigned)h->control->settings.link_port,
					  addr) != STATUS_OK)
			continue;
		h->announce_links[h->nannounce_links] = msgconn_connect(addr, &o);
		h->nannounce_links += h->announce_links[h->nannounce_links] != NULL;
	}
}
