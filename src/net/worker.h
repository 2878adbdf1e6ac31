/** Worker threads for calls that block, with their ends handed back to an event loop. */
#ifndef AUBURN_WORKER_H
#define AUBURN_WORKER_H

#include <ev.h>

typedef struct worker_pool worker_pool_t;

/** Embedded in what a job needs; both callbacks get the job itself. */
typedef struct worker_task {
	void (*work)(struct worker_task *j); /* on a worker thread */
	void (*done)(struct worker_task *j); /* on the loop's thread; may free the job */
	struct worker_task *next;
} worker_task_t;

worker_pool_t *worker_pool_new(struct ev_loop *loop, unsigned threads);
void worker_pool_submit(worker_pool_t *w, worker_task_t *j);

#endif
