/* Streams and steps of the fake engine. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <utlist.h>
#include "fake_engine.h"

#define BYTES_PER_TOKEN		 4
#define STALL_AFTER_TOKENS	 2
#define CLOSE_AFTER_TOKENS	 3
#define CLIENT_CHECK_INTERVAL_MS 100
#define FREEZE_CHECK_INTERVAL_MS 5
#define POISON_EXIT		 9
#define MAX_COUNTED_REQUESTS	 100000

typedef enum { STREAM_WAITING, STREAM_RUNNING, STREAM_COMPLETE, STREAM_ABORTED } stream_state_t;

struct fake_stream {
	fake_engine_t *e;
	char *id;
	char *event_id; /* the id in its events; another one under the fault `cross` */
	buf_t prompt;
	size_t prompt_n;
	int64_t next; /* index of the next token */
	int64_t end; /* index after the last token */
	int64_t stall_at; /* stops before this index; -1: never */
	int64_t close_at; /* closes the connection before this index; -1: never */
	deadline_t not_before; /* of the first token */
	bool poison; /* kills the process */
	int socket;
	stream_state_t state;
	buf_t out; /* events not read yet */
	pthread_cond_t output_ready;
	fake_stream_t *prev, *next_stream;
};

/* Called after each change of the number of streams or of the step time. */
static void record_load(fake_engine_t *e)
{
	if (e->running_n > e->counts.max_running)
		e->counts.max_running = e->running_n;
	if (e->waiting_n > e->counts.max_waiting)
		e->counts.max_waiting = e->waiting_n;
	fake_report_add(&e->report, &(fake_report_sample_t){
					    .at_ms = clock_now_ms(),
					    .running = e->running_n,
					    .waiting = e->waiting_n,
					    .step_us = e->step_us,
				    });
}

static void unlink_stream(fake_stream_t *s)
{
	fake_engine_t *e = s->e;

	if (s->state == STREAM_RUNNING) {
		DL_DELETE2(e->running, s, prev, next_stream);
		e->running_n--;
	} else if (s->state == STREAM_WAITING) {
		DL_DELETE2(e->waiting, s, prev, next_stream);
		e->waiting_n--;
	}
}

static void end_stream(fake_stream_t *s, stream_state_t state)
{
	unlink_stream(s);
	s->state = state;
	record_load(s->e);
	pthread_cond_signal(&s->output_ready);
}

/* Returns the number of tokens to prefill: the uncached part of the prompt, and for a stream that
 * resumes the tokens before its first. */
static int64_t prefill_tokens(fake_engine_t *e, const fake_stream_t *s)
{
	size_t prefix_n = (size_t)e->settings.prefix_bytes;
	size_t cached_n = 0;

	if (prefix_n > s->prompt_n)
		prefix_n = s->prompt_n;
	if (fake_cache_use(&e->cache, str_hash((str_t){s->prompt.p, prefix_n}))) {
		e->counts.prefix_hits++;
		cached_n = prefix_n;
	}
	return (int64_t)((s->prompt_n - cached_n) / BYTES_PER_TOKEN) + s->next;
}

/* Fills free slots in order of arrival; returns the number of tokens to prefill. */
static int64_t admit_streams(fake_engine_t *e)
{
	int64_t prefill = 0;
	fake_stream_t *s;

	while (e->waiting && e->running_n < e->settings.slots) {
		s = e->waiting;
		unlink_stream(s);
		s->state = STREAM_RUNNING;
		s->not_before = clock_now_ms() + e->faults.late_ms;
		DL_APPEND2(e->running, s, prev, next_stream);
		e->running_n++;
		prefill += prefill_tokens(e, s);
	}
	e->counts.prefill_tokens += prefill;
	return prefill;
}

/* The text depends on the prompt and the index only, so a client can check each token, also after
 * a resume at another engine. */
static void append_token_event(fake_stream_t *s)
{
	AUTO_BUF seed = {0};
	unsigned long long h;

	buf_add(&seed, (str_t){s->prompt.p, s->prompt_n});
	buf_addf(&seed, ":%lld", (long long)s->next);
	h = str_hash(str_buf(&seed));
	buf_add(&s->out, STR("data: {\"id\":"));
	buf_add_json(&s->out, str_c(s->event_id));
	buf_addf(&s->out, ",\"index\":%lld,\"choices\":[{\"index\":0,\"text\":\"w%06llx \"}]}\n\n",
		 (long long)s->next, h & 0xffffff);
}

/* Gives a running stream its next token and ends the stream if that was the last. */
static void step_stream(fake_engine_t *e, fake_stream_t *s, int64_t now)
{
	if (now < s->not_before || s->next == s->stall_at)
		return;
	if (s->poison)
		_exit(POISON_EXIT);
	if (s->next < s->end) {
		append_token_event(s);
		s->next++;
		e->counts.tokens++;
	}
	if (s->next == s->close_at) {
		end_stream(s, STREAM_ABORTED);
	} else if (s->next >= s->end) {
		buf_add(&s->out, STR("data: [DONE]\n\n"));
		e->counts.finished++;
		end_stream(s, STREAM_COMPLETE);
	}
	pthread_cond_signal(&s->output_ready);
}

static void sleep_us(int64_t us)
{
	struct timespec t = {us / 1000000, us % 1000000 * 1000};

	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

static void wait_for_work(fake_engine_t *e)
{
	while (!e->running && !e->waiting)
		pthread_cond_wait(&e->work_queued, &e->lock);
	while (clock_now_ms() < e->faults.frozen_until) {
		pthread_mutex_unlock(&e->lock);
		clock_sleep_ms(FREEZE_CHECK_INTERVAL_MS);
		pthread_mutex_lock(&e->lock);
	}
}

/* One step: admits streams, sleeps for the step's duration, gives each running stream a token.
 * Releases the lock while it sleeps. */
static void run_step(fake_engine_t *e)
{
	const fake_engine_settings_t *settings = &e->settings;
	int64_t begin_us = clock_now_us();
	int64_t prefill = admit_streams(e);
	fake_stream_t *s;
	fake_stream_t *following;
	int64_t now;

	e->step_us = settings->step_base_us + settings->step_per_stream_us * e->running_n +
		     prefill * settings->prefill_us_per_token;
	record_load(e);
	pthread_mutex_unlock(&e->lock);
	sleep_us(begin_us + e->step_us - clock_now_us());
	pthread_mutex_lock(&e->lock);
	now = clock_now_ms();
	for (s = e->running; s; s = following) {
		following = s->next_stream;
		step_stream(e, s, now);
	}
}

static void *step_thread(void *arg)
{
	fake_engine_t *e = arg;

	pthread_mutex_lock(&e->lock);
	for (;;) {
		wait_for_work(e);
		run_step(e);
	}
	return NULL;
}

void fake_engine_start(fake_engine_t *e)
{
	pthread_t t;

	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->work_queued, NULL);
	e->cache.capacity = (size_t)e->settings.cache_prefixes;
	e->cache.gap_percent = e->settings.event_gap_percent;
	e->cache.seed = (unsigned)e->settings.seed;
	e->counts.by_request = json_object();
	fake_orders_init(&e->orders, &e->settings);
	record_load(e);
	if (pthread_create(&t, NULL, step_thread, e) != 0)
		abort();
	pthread_detach(t);
}

static void count_start(fake_engine_t *e, const char *id)
{
	json_t *starts = e->counts.by_request;
	json_int_t n = json_integer_value(json_object_get(starts, id));

	e->counts.started++;
	if (n || json_object_size(starts) < MAX_COUNTED_REQUESTS)
		json_object_set_new(starts, id, json_integer(n + 1));
}

/* Returns true if the fault affects this stream, and decreases the number of streams left. */
static bool take_fault(int64_t *left)
{
	if (*left <= 0)
		return false;
	(*left)--;
	return true;
}

/* Returns the id of another running stream, or an id that no request has. */
static char *id_of_other_stream(fake_engine_t *e, const char *id)
{
	AUTO_BUF b = {0};
	const fake_stream_t *s;

	for (s = e->running; s; s = s->next_stream) {
		if (strcmp(s->id, id) != 0)
			return str_dup(str_c(s->id));
	}
	buf_addf(&b, "%s-other", id);
	return str_dup(str_buf(&b));
}

/* Decides when the stream is created which of the injected faults affect it. */
static void apply_faults(fake_engine_t *e, fake_stream_t *s)
{
	int64_t left = s->end - s->next;

	s->stall_at = take_fault(&e->faults.stall) ? s->next + STALL_AFTER_TOKENS : -1;
	s->close_at = -1;
	if (take_fault(&e->faults.lose))
		s->close_at = s->next + (left < CLOSE_AFTER_TOKENS ? left : CLOSE_AFTER_TOKENS);
	s->event_id =
		take_fault(&e->faults.cross) ? id_of_other_stream(e, s->id) : str_dup(str_c(s->id));
}

fake_stream_t *fake_stream_new(fake_engine_t *e, const fake_stream_options_t *o)
{
	fake_stream_t *s = mem_new(sizeof(*s));

	s->e = e;
	s->id = str_dup(o->id);
	buf_add(&s->prompt, o->prompt);
	s->prompt_n = o->prompt.n;
	s->next = o->resume_from;
	s->end = o->max_tokens;
	s->poison = str_find(o->prompt, STR("{poison}")) >= 0;
	s->socket = o->socket;
	pthread_cond_init(&s->output_ready, NULL);
	pthread_mutex_lock(&e->lock);
	apply_faults(e, s);
	count_start(e, s->id);
	s->state = STREAM_WAITING;
	DL_APPEND2(e->waiting, s, prev, next_stream);
	e->waiting_n++;
	record_load(e);
	pthread_cond_signal(&e->work_queued);
	pthread_mutex_unlock(&e->lock);
	return s;
}

static bool client_disconnected(const fake_stream_t *s)
{
	char c;
	ssize_t n;

	if (s->socket < 0)
		return false;
	n = recv(s->socket, &c, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Returns after CLIENT_CHECK_INTERVAL_MS at the latest, so that the reader notices a client that
 * has disconnected. */
static void wait_for_output(fake_stream_t *s)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += CLIENT_CHECK_INTERVAL_MS * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_cond_clockwait(&s->output_ready, &s->e->lock, CLOCK_MONOTONIC, &until);
}

long fake_stream_read(fake_stream_t *s, char *out, size_t max)
{
	long n = 0;

	pthread_mutex_lock(&s->e->lock);
	while (!s->out.n && s->state < STREAM_COMPLETE && n == 0) {
		wait_for_output(s);
		n = client_disconnected(s) ? -1 : 0;
	}
	if (n == 0 && s->out.n) {
		n = (long)(s->out.n < max ? s->out.n : max);
		memcpy(out, s->out.p, (size_t)n);
		buf_drop_front(&s->out, (size_t)n);
	} else if (s->state == STREAM_ABORTED) {
		n = -1;
	}
	pthread_mutex_unlock(&s->e->lock);
	return n;
}

void fake_stream_free(fake_stream_t *s)
{
	pthread_mutex_lock(&s->e->lock);
	if (s->state < STREAM_COMPLETE) {
		s->e->counts.cancelled++;
		end_stream(s, STREAM_ABORTED);
	}
	pthread_mutex_unlock(&s->e->lock);
	pthread_cond_destroy(&s->output_ready);
	buf_free(&s->prompt);
	buf_free(&s->out);
	free(s->id);
	free(s->event_id);
	free(s);
}

static bool cancel_in_list(fake_engine_t *e, fake_stream_t *list, str_t id)
{
	bool found = false;
	fake_stream_t *s;
	fake_stream_t *following;

	for (s = list; s; s = following) {
		following = s->next_stream;
		if (!str_eq(str_c(s->id), id))
			continue;
		buf_drop_front(&s->out, s->out.n);
		e->counts.cancelled++;
		end_stream(s, STREAM_ABORTED);
		found = true;
	}
	return found;
}

bool fake_engine_cancel(fake_engine_t *e, str_t id)
{
	bool running;
	bool waiting;

	pthread_mutex_lock(&e->lock);
	running = cancel_in_list(e, e->running, id);
	waiting = cancel_in_list(e, e->waiting, id);
	pthread_mutex_unlock(&e->lock);
	return running || waiting;
}
