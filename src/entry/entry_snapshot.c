#include "entry/entry_snapshot.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>

struct entry_snapshot {
	pthread_mutex_t lock;
	entry_config_t *config;
	entry_view_t *view;
	atomic_ullong session;
	atomic_llong lease_deadline;
};

entry_snapshot_t *entry_snapshot_new(void)
{
	entry_snapshot_t *s = mem_new(sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	return s;
}

entry_config_t *entry_config_get(entry_snapshot_t *s)
{
	entry_config_t *c;

	pthread_mutex_lock(&s->lock);
	c = s->config;
	if (c)
		atomic_fetch_add(&c->refs, 1);
	pthread_mutex_unlock(&s->lock);
	return c;
}

void entry_config_put(entry_config_t *c)
{
	if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	config_free(c->config);
	wire_free(XDR_PROC(wire_config_t), &c->msg);
	free(c);
}

void entry_config_cleanup(entry_config_t **c)
{
	entry_config_put(*c);
}

entry_view_t *entry_view_get(entry_snapshot_t *s)
{
	entry_view_t *v;

	pthread_mutex_lock(&s->lock);
	v = s->view;
	if (v)
		atomic_fetch_add(&v->refs, 1);
	pthread_mutex_unlock(&s->lock);
	return v;
}

void entry_view_put(entry_view_t *v)
{
	if (!v || atomic_fetch_sub(&v->refs, 1) != 1)
		return;
	wire_free(XDR_PROC(wire_view_t), &v->view);
	free(v);
}

void entry_view_cleanup(entry_view_t **v)
{
	entry_view_put(*v);
}

status_t entry_config_publish(entry_snapshot_t *s, wire_config_t *msg)
{
	config_t *config = NULL;
	status_t st;
	entry_config_t *c;
	entry_config_t *old;

	if (msg->number <= entry_config_number(s))
		return status_fail(STATUS_CONFLICT, "config %llu is not newer than the current one",
				   (unsigned long long)msg->number);
	st = config_parse(wire_str(msg->text), &config);
	if (st != STATUS_OK)
		return st;
	c = mem_new(sizeof(*c));
	atomic_init(&c->refs, 1);
	c->msg = *msg;
	c->config = config;
	*msg = (wire_config_t){0};
	pthread_mutex_lock(&s->lock);
	old = s->config;
	s->config = c;
	pthread_mutex_unlock(&s->lock);
	entry_config_put(old);
	return STATUS_OK;
}

status_t entry_view_publish(entry_snapshot_t *s, wire_view_t *view)
{
	entry_view_t *v;
	entry_view_t *old;

	if (view->view_version <= entry_view_version(s))
		return status_fail(STATUS_CONFLICT, "view %llu is not newer than the current one",
				   (unsigned long long)view->view_version);
	v = mem_new(sizeof(*v));
	atomic_init(&v->refs, 1);
	v->view = *view;
	*view = (wire_view_t){0};
	pthread_mutex_lock(&s->lock);
	old = s->view;
	s->view = v;
	pthread_mutex_unlock(&s->lock);
	entry_view_put(old);
	return STATUS_OK;
}

uint64_t entry_config_number(entry_snapshot_t *s)
{
	AUTO_ENTRY_CONFIG *c = entry_config_get(s);

	return c ? c->msg.number : 0;
}

uint64_t entry_view_version(entry_snapshot_t *s)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(s);

	return v ? v->view.view_version : 0;
}

void entry_lease_set(entry_snapshot_t *s, uint64_t session, deadline_t deadline)
{
	atomic_store(&s->session, session);
	atomic_store(&s->lease_deadline, deadline);
}

bool entry_lease_valid(const entry_snapshot_t *s)
{
	return atomic_load(&s->lease_deadline) > clock_now_ms();
}

deadline_t entry_lease_deadline(const entry_snapshot_t *s)
{
	return atomic_load(&s->lease_deadline);
}

uint64_t entry_session(const entry_snapshot_t *s)
{
	return atomic_load(&s->session);
}

const wire_member_t *entry_find_member(const wire_view_t *v, uint64_t session)
{
	for (u_int i = 0; i < v->members.members_len; i++)
		if (v->members.members_val[i].session == session)
			return &v->members.members_val[i];
	return NULL;
}
