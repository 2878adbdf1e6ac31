#include "entry/en_snap.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>

struct en_snap {
	pthread_mutex_t lock;
	en_conf_t *conf;
	en_view_t *view;
	atomic_ullong session;
	atomic_llong lease;
};

en_snap_t *en_snap_new(void)
{
	en_snap_t *s = mem_new(sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	return s;
}

en_conf_t *en_conf_get(en_snap_t *s)
{
	en_conf_t *c;

	pthread_mutex_lock(&s->lock);
	c = s->conf;
	if (c)
		atomic_fetch_add(&c->refs, 1);
	pthread_mutex_unlock(&s->lock);
	return c;
}

void en_conf_put(en_conf_t *c)
{
	if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
		return;
	tx_free(c->text);
	px_free(PX(aw_conf_t), &c->conf);
	free(c);
}

void en_conf_cleanup(en_conf_t **c)
{
	en_conf_put(*c);
}

en_view_t *en_view_get(en_snap_t *s)
{
	en_view_t *v;

	pthread_mutex_lock(&s->lock);
	v = s->view;
	if (v)
		atomic_fetch_add(&v->refs, 1);
	pthread_mutex_unlock(&s->lock);
	return v;
}

void en_view_put(en_view_t *v)
{
	if (!v || atomic_fetch_sub(&v->refs, 1) != 1)
		return;
	px_free(PX(aw_view_t), &v->view);
	free(v);
}

void en_view_cleanup(en_view_t **v)
{
	en_view_put(*v);
}

status_t en_conf_publish(en_snap_t *s, aw_conf_t *conf)
{
	tx_text_t *text = NULL;
	status_t st;
	en_conf_t *c;
	en_conf_t *old;

	if (conf->number <= en_conf_number(s))
		return st_fail(ST_CONFLICT, "text %llu is not newer",
			       (unsigned long long)conf->number);
	st = tx_parse(px_str(conf->text), &text);
	if (st != ST_OK)
		return st;
	c = mem_new(sizeof(*c));
	atomic_init(&c->refs, 1);
	c->conf = *conf;
	c->text = text;
	*conf = (aw_conf_t){0};
	pthread_mutex_lock(&s->lock);
	old = s->conf;
	s->conf = c;
	pthread_mutex_unlock(&s->lock);
	en_conf_put(old);
	return ST_OK;
}

status_t en_view_publish(en_snap_t *s, aw_view_t *view)
{
	en_view_t *v;
	en_view_t *old;

	if (view->view_version <= en_view_version(s))
		return st_fail(ST_CONFLICT, "view %llu is not newer",
			       (unsigned long long)view->view_version);
	v = mem_new(sizeof(*v));
	atomic_init(&v->refs, 1);
	v->view = *view;
	*view = (aw_view_t){0};
	pthread_mutex_lock(&s->lock);
	old = s->view;
	s->view = v;
	pthread_mutex_unlock(&s->lock);
	en_view_put(old);
	return ST_OK;
}

uint64_t en_conf_number(en_snap_t *s)
{
	AUTO_CONF *c = en_conf_get(s);

	return c ? c->conf.number : 0;
}

uint64_t en_view_version(en_snap_t *s)
{
	AUTO_VIEW *v = en_view_get(s);

	return v ? v->view.view_version : 0;
}

void en_lease_set(en_snap_t *s, uint64_t session, deadline_t deadline)
{
	atomic_store(&s->session, session);
	atomic_store(&s->lease, deadline);
}

bool en_lease_valid(const en_snap_t *s)
{
	return atomic_load(&s->lease) > clk_now_ms();
}

deadline_t en_lease_deadline(const en_snap_t *s)
{
	return atomic_load(&s->lease);
}

uint64_t en_session(const en_snap_t *s)
{
	return atomic_load(&s->session);
}

const aw_member_t *en_member(const aw_view_t *v, uint64_t session)
{
	for (u_int i = 0; i < v->members.members_len; i++)
		if (v->members.members_val[i].session == session)
			return &v->members.members_val[i];
	return NULL;
}
