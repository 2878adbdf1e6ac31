/* Prompt parts that crash replicas. Tells the leader of broken connections and of answers that
 * begin, and keeps the parts that it has blocked; counts by itself while there is no leader that
 * counts. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** A part with which an answer began within this time, in ms, is not reported as suspected. */
#define SOUND_FRESH_MS 1000
/** An answer with a part that the leader suspects is reported at most once in this period, in ms.
 */
#define SOUND_REPORT_MS 200

static void on_event(void *ctx, quarantine_event_t what, const quarantine_part_t *p)
{
	front_t *f = ctx;
	deadline_t now = clock_now_ms();
	char part[QUARANTINE_NAME_BYTES];

	log_event(LOG_LEVEL_INFO, quarantine_event_name(what),
		  LOG_CSTR("part", quarantine_part_name(p->part, part)),
		  LOG_CSTR("by", f->leader_quarantines ? "leader" : "entry"),
		  LOG_INT("crashes", p->crashes), LOG_INT("level", p->level),
		  LOG_INT("since_ms", p->since ? now - p->since : -1),
		  LOG_INT("left_ms", p->until ? p->until - now : 0));
	if (what == QUARANTINE_BLOCKED)
		METRIC_INC("auburn_prompt_parts_blocked_total");
}

void front_quarantine_start(front_t *f)
{
	f->quarantine = quarantine_new(&(quarantine_callbacks_t){f, on_event});
}

void front_quarantine_offer(front_t *f)
{
	link_msg_t m = {.kind = LINK_FLEET_ENTRIES};

	leader_link_send(f->leader, &m);
}

void front_quarantine_link_down(front_t *f)
{
	f->leader_quarantines = false;
}

static link_prompt_part_t encode_part(const quarantine_part_t *p, deadline_t now)
{
	return (link_prompt_part_t){
		.part = p->part,
		.blocked = p->blocked,
		.crashes = p->crashes,
		.level = p->level,
		.since_ms = (int)(now - p->since),
		.left_ms = p->blocked ? (int)(p->until - now) : 0,
		.group = p->group,
		.group_size = p->group_size,
	};
}

/* Reports the blocked parts to a new leader. */
static void send_blocked(front_t *f)
{
	static quarantine_part_t parts[QUARANTINE_MAX];
	static link_prompt_part_t out[QUARANTINE_MAX];
	link_msg_t m = {.kind = LINK_PROMPT_PARTS};
	size_t n = quarantine_list(f->quarantine, parts, QUARANTINE_MAX);
	u_int nout = 0;

	for (size_t i = 0; i < n; i++) {
		if (parts[i].blocked)
			out[nout++] = encode_part(&parts[i], clock_now_ms());
	}
	m.link_msg_t_u.prompt_parts.parts.parts_len = nout;
	m.link_msg_t_u.prompt_parts.parts.parts_val = out;
	if (nout > 0)
		leader_link_send(f->leader, &m);
}

static void send_sound(front_t *f, uint64_t part, deadline_t at)
{
	link_msg_t m = {.kind = LINK_SOUND_PART};

	m.link_msg_t_u.sound = (link_sound_part_t){part, (int)(clock_now_ms() - at)};
	leader_link_send(f->leader, &m);
}

/* Ends the waiting requests whose parts are blocked. */
static void refuse_waiting(front_t *f)
{
	front_request_t *q;
	front_request_t *next;

	HASH_ITER (hh, f->requests, q, next) {
		if (front_request_is_waiting(q))
			front_request_check_quarantine(q);
	}
}

void front_quarantine_update(front_t *f, const link_prompt_parts_t *m)
{
	bool first = !f->leader_quarantines;
	deadline_t now = clock_now_ms();
	size_t n = m->parts.parts_len < QUARANTINE_MAX ? m->parts.parts_len : QUARANTINE_MAX;
	static quarantine_part_t parts[QUARANTINE_MAX];

	if (first)
		front_poison_offer(f);
	f->leader_quarantines = true;
	for (size_t i = 0; i < n; i++) {
		const link_prompt_part_t *x = &m->parts.parts_val[i];
		deadline_t sound_at = quarantine_sound_at(f->quarantine, x->part);
		bool known = quarantine_has(f->quarantine, x->part);

		parts[i] = (quarantine_part_t){
			.part = x->part,
			.blocked = x->blocked,
			.crashes = x->crashes,
			.level = x->level,
			.since = now - x->since_ms,
			.until = x->blocked ? now + x->left_ms : 0,
			.group = x->group,
			.group_size = x->group_size,
		};
		quarantine_adopt(f->quarantine, &parts[i], now);
		if (sound_at && (!known || first))
			send_sound(f, x->part, sound_at);
	}
	/* A new leader may not know yet what the former one had blocked. */
	if (first)
		send_blocked(f);
	else
		quarantine_retain(f->quarantine, parts, n);
	refuse_waiting(f);
}

void front_quarantine_began(front_t *f, replica_ref_t replica, const prompt_parts_t *parts)
{
	deadline_t now = clock_now_ms();

	quarantine_alive(f->quarantine, replica, now);
	for (unsigned i = 0; i < parts->n; i++) {
		deadline_t before = quarantine_sound_at(f->quarantine, parts->v[i]);
		bool suspected = quarantine_has(f->quarantine, parts->v[i]);

		quarantine_sound(f->quarantine, parts->v[i], now);
		if (suspected && f->leader_quarantines && now - before >= SOUND_REPORT_MS)
			send_sound(f, parts->v[i], now);
	}
}

void front_quarantine_alive(front_t *f, replica_ref_t replica)
{
	quarantine_alive(f->quarantine, replica, clock_now_ms());
}

void front_quarantine_suspects(const front_t *f, const prompt_parts_t *parts, prompt_parts_t *out)
{
	deadline_t now = clock_now_ms();

	out->n = 0;
	for (unsigned i = 0; i < parts->n; i++) {
		if (quarantine_sound_at(f->quarantine, parts->v[i]) + SOUND_FRESH_MS < now)
			out->v[out->n++] = parts->v[i];
	}
}

void front_quarantine_broke(front_t *f, str_t request, replica_ref_t replica,
			    const prompt_parts_t *parts, deadline_t began, const poison_key_t *key)
{
	deadline_t now = clock_now_ms();
	link_msg_t m = {.kind = LINK_CRASH};
	prompt_parts_t suspects;
	char names[PROMPT_PARTS_MAX * QUARANTINE_NAME_BYTES];
	uint64_t content = 0;

	front_quarantine_suspects(f, parts, &suspects);
	if (suspects.n == 0)
		return;
	if (key)
		memcpy(&content, key->v, sizeof(content));
	log_event(LOG_LEVEL_INFO, "prompt_crash", LOG_STR("request", request),
		  LOG_STR("replica", replica.id), LOG_INT("born", replica.start_time),
		  LOG_CSTR("parts", quarantine_part_names(&suspects, names)),
		  LOG_CSTR("to", f->leader_quarantines ? "leader" : "entry"));
	METRIC_INC("auburn_prompt_crashes_total");
	if (!f->leader_quarantines) {
		quarantine_crash(f->quarantine,
				 &(quarantine_crash_t){
					 replica,
					 key ? content : str_hash(request),
					 key != NULL,
					 began,
					 &suspects,
				 },
				 now);
		return;
	}
	m.link_msg_t_u.crash = (link_crash_t){
		.request = wire_bytes(request),
		.replica = wire_bytes(replica.id),
		.start_time = replica.start_time,
		.parts = {suspects.n, suspects.v},
	};
	leader_link_send(f->leader, &m);
}

void front_quarantine_tick(front_t *f, deadline_t now)
{
	uint64_t version = quarantine_version(f->quarantine);

	quarantine_tick(f->quarantine, now);
	if (quarantine_version(f->quarantine) != version)
		refuse_waiting(f);
}
