/** Pool of threads for blocking calls; finished tasks are passed back to an event loop. */
#ifndef AUBURN_WORKER_H
#define AUBURN_WORKER_H

#include <ev.h>

typedef struct worker_pool worker_pool_t;

/** A task, embedded as the first member of a struct of its user; both callbacks get the task. */
typedef struct worker_task {
	void (*work)(struct worker_task *task); /* runs on a worker thread */
	void (*done)(struct worker_task *task); /* runs on the loop's thread; may free the task */
	struct worker_task *next;
} worker_task_t;

/** The pool lives until the process exits. */
worker_pool_t *worker_pool_new(struct ev_loop *loop, unsigned threads);
void worker_pool_submit(worker_pool_t *w, worker_task_t *task);

#endif
