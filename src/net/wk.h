/** Worker threads for calls that block, with their ends handed back to an event loop. */
#ifndef AUBURN_WK_H
#define AUBURN_WK_H

#include <ev.h>

typedef struct wk wk_t;

/** Embedded in what a job needs; both callbacks get the job itself. */
typedef struct wk_job {
	void (*work)(struct wk_job *j); /* on a worker thread */
	void (*done)(struct wk_job *j); /* on the loop's thread; may free the job */
	struct wk_job *next;
} wk_job_t;

wk_t *wk_new(struct ev_loop *loop, unsigned threads);
void wk_submit(wk_t *w, wk_job_t *j);

#endif
