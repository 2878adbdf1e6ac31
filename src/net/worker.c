#include "net/worker.h"

#include <pthread.h>
#include <stdlib.h>
#include "base/str.h"

typedef struct {
	worker_task_t *head;
	worker_task_t **tail;
} list_t;

struct worker_pool {
	struct ev_loop *loop;
	ev_async wake;
	pthread_mutex_t lock;
	pthread_cond_t work;
	list_t todo;
	list_t done;
};

static void push(list_t *l, worker_task_t *j)
{
	j->next = NULL;
	*l->tail = j;
	l->tail = &j->next;
}

static worker_task_t *take(list_t *l)
{
	worker_task_t *j = l->head;

	if (!j)
		return NULL;
	l->head = j->next;
	if (!l->head)
		l->tail = &l->head;
	return j;
}

static void *run(void *arg)
{
	worker_pool_t *w = arg;

	for (;;) {
		worker_task_t *j;

		pthread_mutex_lock(&w->lock);
		while (!(j = take(&w->todo)))
			pthread_cond_wait(&w->work, &w->lock);
		pthread_mutex_unlock(&w->lock);
		j->work(j);
		pthread_mutex_lock(&w->lock);
		push(&w->done, j);
		pthread_mutex_unlock(&w->lock);
		ev_async_send(w->loop, &w->wake);
	}
	return NULL;
}

static void on_wake(struct ev_loop *loop, ev_async *a, int events)
{
	worker_pool_t *w = a->data;

	for (;;) {
		worker_task_t *j;

		pthread_mutex_lock(&w->lock);
		j = take(&w->done);
		pthread_mutex_unlock(&w->lock);
		if (!j)
			return;
		j->done(j);
	}
}

worker_pool_t *worker_pool_new(struct ev_loop *loop, unsigned threads)
{
	worker_pool_t *w = mem_new(sizeof(*w));

	w->loop = loop;
	w->todo.tail = &w->todo.head;
	w->done.tail = &w->done.head;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->work, NULL);
	ev_async_init(&w->wake, on_wake);
	w->wake.data = w;
	ev_async_start(loop, &w->wake);
	while (threads-- > 0) {
		pthread_t t;

		if (pthread_create(&t, NULL, run, w) != 0)
			abort();
		pthread_detach(t);
	}
	return w;
}

void worker_pool_submit(worker_pool_t *w, worker_task_t *j)
{
	pthread_mutex_lock(&w->lock);
	push(&w->todo, j);
	pthread_cond_signal(&w->work);
	pthread_mutex_unlock(&w->lock);
}
