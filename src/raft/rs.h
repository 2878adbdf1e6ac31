/**
 * The store of one replica: a folder with segment files of checksummed records (entries, terms and
 * votes), snapshot files and the replica's id. A record counts once rs_sync has returned.
 *
 * rs_hard, rs_entries, rs_reset and rs_sync may be called from different threads; only one thread
 * calls rs_sync, and only one at a time writes snapshots.
 */
#ifndef AUBURN_RS_H
#define AUBURN_RS_H

#include "raft/rf.h"

typedef struct rs rs_t;

typedef struct {
	const char *dir; /* made if missing */
	uint64_t segment_bytes; /* size from which a new segment is begun; 0: default */
	/** Used only when the folder is new. */
	uint64_t new_id;
	const rf_conf_t *first_conf; /* becomes entry 1, of term 0; NULL: an empty log */
} rs_options_t;

/** What a folder held when it was opened. */
typedef struct {
	uint64_t id;
	bool fresh; /* made by this call */
	uint64_t term;
	uint64_t vote;
	uint64_t snap_index; /* 0: no snapshot */
	uint64_t snap_term;
	rf_conf_t snap_conf;
	buf_t snap; /* the state */
	rf_entry_t *entries; /* from snap_index + 1 */
	size_t nentries;
	bool snap_broken; /* a broken snapshot was passed over and renamed to *.broken */
	uint64_t cut_bytes; /* length of a torn tail that was cut off */
} rs_state_t;

/** ST_CORRUPT names file and offset; the folder must not be used under its id then. */
status_t rs_open(const rs_options_t *o, rs_t **out, rs_state_t *state);
void rs_close(rs_t *s);
void rs_state_free(rs_state_t *state);
/** True when dir holds a replica. */
bool rs_exists(const char *dir);

/** Queue records under growing numbers. */
void rs_hard(rs_t *s, uint64_t seq, uint64_t term, uint64_t vote);
void rs_entries(rs_t *s, uint64_t seq, uint64_t from, const rf_entry_t *e, size_t n);
void rs_reset(rs_t *s, uint64_t seq, uint64_t index, uint64_t term);
/** Writes all that is queued with one sync; *seq is the number up to which the disk holds it.
 *  After ST_IO every later call fails as well. */
status_t rs_sync(rs_t *s, uint64_t *seq);
bool rs_has_queued(rs_t *s);
/** Called by the syncing thread when nothing is queued: leaves a mark, unsynced, by which a later
 *  start tells damage to the newest records from a torn tail. */
void rs_idle(rs_t *s);

/** Writes and syncs a snapshot, then removes all but the two newest, and the segments that hold
 *  only what the older of them holds. */
status_t rs_snap_save(rs_t *s, uint64_t index, uint64_t term, str_t conf, str_t state);
/** Reads a piece at c->offset of the snapshot c->index (0: the newest). */
bool rs_snap_read(rs_t *s, rf_chunk_t *c);
/** Takes one piece of a snapshot from a leader; with c->last it is verified, synced and kept. */
status_t rs_snap_receive(rs_t *s, const rf_chunk_t *c);
/** Appends the whole state of the snapshot at index. */
status_t rs_snap_load(rs_t *s, uint64_t index, buf_t *out);
/** Index of the older of the snapshots kept, up to which no entries are needed; 0: none. */
uint64_t rs_snap_oldest(rs_t *s);
uint64_t rs_snap_newest(rs_t *s);

typedef struct {
	uint64_t syncs;
	uint64_t sync_us;
	uint64_t bytes; /* written to segments */
} rs_counters_t;

void rs_counters(rs_t *s, rs_counters_t *out);

#endif
