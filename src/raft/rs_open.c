/* Opening and closing a folder, and the id that is written when it is first made. */
#include "raft/rs_int.h"

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define ID_NAME "id"

typedef struct {
	uint64_t magic;
	uint64_t id;
	uint32_t crc;
	uint32_t zero;
} id_file_t;

bool rs_exists(const char *dir)
{
	char path[RS_PATH_BYTES];

	snprintf(path, sizeof(path), "%s/" ID_NAME, dir);
	return access(path, F_OK) == 0;
}

static status_t read_id(rs_t *s)
{
	char path[RS_PATH_BYTES];
	AUTO_BUF b = {0};
	id_file_t f;
	status_t st;

	snprintf(path, sizeof(path), "%s/" ID_NAME, s->dir);
	st = rs_file_read(path, &b);
	if (st != ST_OK)
		return st;
	if (b.n != sizeof(f))
		return st_fail(ST_CORRUPT, "%s: offset %zu: wrong length", path, b.n);
	memcpy(&f, b.p, sizeof(f));
	if (f.magic != RS_ID_MAGIC || f.crc != rs_crc(0, &f, offsetof(id_file_t, crc)))
		return st_fail(ST_CORRUPT, "%s: offset 0: checksum differs", path);
	s->id = f.id;
	return ST_OK;
}

static status_t write_id(rs_t *s)
{
	id_file_t f = {RS_ID_MAGIC, s->id, 0, 0};

	f.crc = rs_crc(0, &f, offsetof(id_file_t, crc));
	return rs_file_replace(&s->fault, s->dir, ID_NAME, &(str_t){(const char *)&f, sizeof(f)},
			       1);
}

/* Removes what a making that was cut off left behind; a folder with a snapshot is no such. */
static status_t clear_unfinished(const rs_t *s)
{
	DIR *d = opendir(s->dir);
	status_t st = ST_OK;
	struct dirent *e;

	while (d && (e = readdir(d))) {
		char path[RS_PATH_BYTES * 2];

		if (strncmp(e->d_name, "snap-", 5) == 0)
			st = st_fail(ST_CORRUPT, "%s/%s: offset 0: the file is missing", s->dir,
				     ID_NAME);
		snprintf(path, sizeof(path), "%s/%s", s->dir, e->d_name);
		if (st == ST_OK && strncmp(e->d_name, "log-", 4) == 0)
			unlink(path);
	}
	if (d)
		closedir(d);
	return st;
}

/* Makes the first segment; the id comes last and so marks a folder that is whole. */
static status_t make_folder(rs_t *s, const rs_options_t *o)
{
	AUTO_BUF conf = {0};
	rf_entry_t e = {.kind = RF_CONF};
	uint64_t seq;
	status_t st = clear_unfinished(s);

	if (st != ST_OK)
		return st;
	s->id = o->new_id;
	s->hard = (rs_record_t){.type = RS_HARD};
	st = rs_segment_begin(s, 1);
	if (st == ST_OK && o->first_conf) {
		rf_conf_encode(o->first_conf, &conf);
		e.data.data_val = conf.p;
		e.data.data_len = (u_int)conf.n;
		rs_entries(s, 0, 1, &e, 1);
		st = rs_sync(s, &seq);
	}
	if (st == ST_OK)
		st = write_id(s);
	close(s->fd);
	s->fd = -1;
	s->nsegments = 0;
	return st;
}

static status_t open_folder(rs_t *s, const rs_options_t *o, rs_state_t *state)
{
	status_t st = rs_dir_make(&s->fault, s->dir);

	state->fresh = !rs_exists(s->dir);
	if (st == ST_OK && state->fresh)
		st = make_folder(s, o);
	if (st == ST_OK)
		st = read_id(s);
	if (st == ST_OK)
		st = rs_snaps_find(s, state);
	if (st == ST_OK)
		st = rs_replay(s, state);
	state->id = s->id;
	return st;
}

status_t rs_open(const rs_options_t *o, rs_t **out, rs_state_t *state)
{
	rs_t *s = mem_new(sizeof(*s));
	status_t st;

	*state = (rs_state_t){0};
	pthread_mutex_init(&s->lock, NULL);
	snprintf(s->dir, sizeof(s->dir), "%s", o->dir);
	s->segment_bytes = o->segment_bytes ? o->segment_bytes : RS_SEGMENT_BYTES;
	s->fd = -1;
	s->in.fd = -1;
	s->chunk.p = mem_new(RS_CHUNK_BYTES);
	rs_fault_read(&s->fault);
	st = open_folder(s, o, state);
	if (st != ST_OK) {
		rs_close(s);
		rs_state_free(state);
		return st;
	}
	*out = s;
	return ST_OK;
}

void rs_close(rs_t *s)
{
	if (!s)
		return;
	if (s->fd >= 0)
		close(s->fd);
	rs_snaps_close(s);
	buf_free(&s->queued);
	buf_free(&s->writing);
	buf_free(&s->chunk);
	buf_free(&s->chunk_conf);
	free(s->segments);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

void rs_state_free(rs_state_t *state)
{
	for (size_t i = 0; i < state->nentries; i++)
		free(state->entries[i].data.data_val);
	free(state->entries);
	buf_free(&state->snap);
	*state = (rs_state_t){0};
}
