/**
 * The store of one replica: a folder with segment files of checksummed records (entries, terms and
 * votes), snapshot files and the replica's id. A record counts once store_sync has returned.
 *
 * store_queue_hard_state, store_queue_entries, store_queue_reset and store_sync may be called from
 * different threads; only one thread calls store_sync, and only one at a time writes snapshots.
 */
#ifndef AUBURN_STORE_H
#define AUBURN_STORE_H

#include "raft/raft.h"

typedef struct rs store_t;

typedef struct {
	const char *dir; /* made if missing */
	uint64_t segment_bytes; /* size from which a new segment is begun; 0: default */
	/** Used only when the folder is new. */
	uint64_t new_id;
	const raft_members_t *first_members; /* becomes entry 1, of term 0; NULL: an empty log */
} store_options_t;

/** What a folder held when it was opened. */
typedef struct {
	uint64_t id;
	bool created; /* made by this call */
	uint64_t term;
	uint64_t vote;
	uint64_t snap_index; /* 0: no snapshot */
	uint64_t snap_term;
	raft_members_t snap_members;
	buf_t snap; /* the state */
	raft_entry_t *entries; /* from snap_index + 1 */
	size_t nentries;
	bool snap_broken; /* a broken snapshot was passed over and renamed to *.broken */
	uint64_t cut_bytes; /* length of a torn tail that was cut off */
} store_contents_t;

/** STATUS_CORRUPT names file and offset; the folder must not be used under its id then. */
status_t store_open(const store_options_t *o, store_t **out, store_contents_t *state);
void store_close(store_t *s);
void store_contents_free(store_contents_t *state);
/** True when dir holds a replica. */
bool store_exists(const char *dir);

/** Queue records under growing numbers. */
void store_queue_hard_state(store_t *s, uint64_t seq, uint64_t term, uint64_t vote);
void store_queue_entries(store_t *s, uint64_t seq, uint64_t from, const raft_entry_t *e, size_t n);
void store_queue_reset(store_t *s, uint64_t seq, uint64_t index, uint64_t term);
/** Writes all that is queued with one sync; *seq is the number up to which the disk holds it.
 *  After STATUS_IO every later call fails as well. */
status_t store_sync(store_t *s, uint64_t *seq);
bool store_has_queued(store_t *s);
/** Called by the syncing thread when nothing is queued: leaves a mark, unsynced, by which a later
 *  start tells damage to the newest records from a torn tail. */
void store_write_sync_mark(store_t *s);

/** Writes and syncs a snapshot, then removes all but the two newest, and the segments that hold
 *  only what the older of them holds. */
status_t store_save_snapshot(store_t *s, uint64_t index, uint64_t term, str_t conf, str_t state);
/** Reads a piece at c->offset of the snapshot c->index (0: the newest). */
bool store_read_snapshot(store_t *s, raft_snap_chunk_t *c);
/** Takes one piece of a snapshot from a leader; with c->last it is verified, synced and kept. */
status_t store_receive_snapshot(store_t *s, const raft_snap_chunk_t *c);
/** Appends the whole state of the snapshot at index. */
status_t store_load_snapshot(store_t *s, uint64_t index, buf_t *out);
/** Index of the older of the snapshots kept, up to which no entries are needed; 0: none. */
uint64_t store_oldest_snapshot(store_t *s);
uint64_t store_newest_snapshot(store_t *s);

typedef struct {
	uint64_t syncs;
	uint64_t sync_us;
	uint64_t bytes; /* written to segments */
} store_counters_t;

void store_get_counters(store_t *s, store_counters_t *out);

#endif
