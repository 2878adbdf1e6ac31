#include "net/worker.h"

#include <pthread.h>
#include <stdlib.h>
#include "base/str.h"

typedef struct {
	worker_task_t *head;
	worker_task_t **tail;
} task_list_t;

struct worker_pool {
	struct ev_loop *loop;
	ev_async wake;
	pthread_mutex_t lock;
	pthread_cond_t has_task;
	task_list_t todo;
	task_list_t done;
};

static void append_task(task_list_t *list, worker_task_t *task)
{
	task->next = NULL;
	*list->tail = task;
	list->tail = &task->next;
}

static worker_task_t *take_first_task(task_list_t *list)
{
	worker_task_t *task = list->head;

	if (!task)
		return NULL;
	list->head = task->next;
	if (!list->head)
		list->tail = &list->head;
	return task;
}

static void *worker_thread(void *arg)
{
	worker_pool_t *w = arg;

	for (;;) {
		worker_task_t *task;

		pthread_mutex_lock(&w->lock);
		while (!(task = take_first_task(&w->todo)))
			pthread_cond_wait(&w->has_task, &w->lock);
		pthread_mutex_unlock(&w->lock);
		task->work(task);
		pthread_mutex_lock(&w->lock);
		append_task(&w->done, task);
		pthread_mutex_unlock(&w->lock);
		ev_async_send(w->loop, &w->wake);
	}
	return NULL;
}

static void run_done_callbacks(struct ev_loop *loop, ev_async *a, int events)
{
	worker_pool_t *w = a->data;

	for (;;) {
		worker_task_t *task;

		pthread_mutex_lock(&w->lock);
		task = take_first_task(&w->done);
		pthread_mutex_unlock(&w->lock);
		if (!task)
			return;
		task->done(task);
	}
}

worker_pool_t *worker_pool_new(struct ev_loop *loop, unsigned threads)
{
	worker_pool_t *w = mem_new(sizeof(*w));

	w->loop = loop;
	w->todo.tail = &w->todo.head;
	w->done.tail = &w->done.head;
	pthread_mutex_init(&w->lock, NULL);
	pthread_cond_init(&w->has_task, NULL);
	ev_async_init(&w->wake, run_done_callbacks);
	w->wake.data = w;
	ev_async_start(loop, &w->wake);
	while (threads-- > 0) {
		pthread_t t;

		if (pthread_create(&t, NULL, worker_thread, w) != 0)
			abort();
		pthread_detach(t);
	}
	return w;
}

void worker_pool_submit(worker_pool_t *w, worker_task_t *task)
{
	pthread_mutex_lock(&w->lock);
	append_task(&w->todo, task);
	pthread_cond_signal(&w->has_task);
	pthread_mutex_unlock(&w->lock);
}
