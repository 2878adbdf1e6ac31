/**
 * Storage of one replica: a directory with log segments of checksummed records (entries, terms and
 * votes), snapshot files and the replica's id. A record is durable once store_sync has returned
 * its sequence number or a higher one.
 *
 * store_queue_hard_state, store_queue_entries, store_queue_reset and store_sync may be called from
 * different threads; only one thread calls store_sync, and only one thread at a time writes
 * snapshots.
 */
#ifndef AUBURN_STORE_H
#define AUBURN_STORE_H

#include "policy/disk_space.h"
#include "raft/raft.h"

typedef struct store store_t;

typedef struct {
	const char *dir; /* created if missing */
	uint64_t segment_bytes; /* size at which a new segment is started; 0: default */
	/** Used only if the directory is new. */
	uint64_t new_id;
	const raft_members_t *first_members; /* entry 1 of term 0; NULL: the log starts empty */
} store_options_t;

/** What the directory held when it was opened. */
typedef struct {
	uint64_t id;
	bool created; /* by this call */
	uint64_t term;
	uint64_t vote;
	uint64_t snap_index; /* 0: no snapshot */
	uint64_t snap_term;
	raft_members_t snap_members;
	buf_t snap; /* serialized state */
	raft_entry_t *entries; /* from snap_index + 1 */
	size_t nentries;
	bool snap_broken; /* a damaged snapshot was skipped and renamed to *.broken */
	uint64_t cut_bytes; /* bytes of an incomplete last write that were truncated */
} store_contents_t;

/** The error text of STATUS_CORRUPT names what is damaged; the directory must not be used under its
 * id then. */
status_t store_open(const store_options_t *o, store_t **out, store_contents_t *contents);
void store_close(store_t *s);
void store_contents_free(store_contents_t *contents);
/** Returns true if dir holds a replica. */
bool store_exists(const char *dir);

/** Queue records under growing sequence numbers. */
void store_queue_hard_state(store_t *s, uint64_t seq, uint64_t term, uint64_t vote);
void store_queue_entries(store_t *s, uint64_t seq, uint64_t from, const raft_entry_t *e, size_t n);
void store_queue_reset(store_t *s, uint64_t seq, uint64_t index, uint64_t term);
/** Writes everything queued with one sync; *seq is the number up to which the disk holds the
 * records. After STATUS_IO the records stay queued: the next call writes them to a new segment,
 * because a later sync of the same file would not prove that they are on the disk. */
status_t store_sync(store_t *s, uint64_t *seq);
/** True if records are queued that no store_sync has written yet. */
bool store_has_queued(store_t *s);
/** Called by the syncing thread. Fills in the space on the disk; `removable` counts the segments
 * without entries after index, and the one being written if short segments would end it. */
void store_measure_space(store_t *s, uint64_t index, disk_space_t *out);
/** Called by the syncing thread. While set, segments are short, as only whole ones can be removed.
 */
void store_set_short_segments(store_t *s, bool on);
/** Called by the syncing thread when nothing is queued. Appends a mark, without a sync, that says
 * how much of the segment was synced; with it the next start can distinguish damage to the newest
 * records from an incomplete last write. */
void store_write_sync_mark(store_t *s);

/** Writes and syncs a snapshot, then removes all but the two newest, and the segments that only
 * hold entries covered by the older of the two. Does nothing if a snapshot at index or later
 * exists. */
status_t store_save_snapshot(store_t *s, uint64_t index, uint64_t term, str_t members, str_t state);
/** Makes room: removes all snapshots but the newest, and the segments that only hold entries
 * covered by it. */
void store_cut_log(store_t *s);
/** Reads a chunk at c->offset of the snapshot at c->index (0: the newest), which stays valid until
 * the next call. Returns false if there is no such snapshot or it cannot be read. */
bool store_read_snapshot(store_t *s, raft_snap_chunk_t *c);
/** Writes one chunk of a snapshot from a leader; with c->last the snapshot is verified, synced and
 * added to the list of snapshots. STATUS_INVALID: the chunk is out of order, or the checksum of the
 * whole state differs. */
status_t store_receive_snapshot(store_t *s, const raft_snap_chunk_t *c);
/** Appends the whole state of the snapshot at index to out. */
status_t store_load_snapshot(store_t *s, uint64_t index, buf_t *out);
/** Index of the older of two snapshots, up to which no log entries are needed; 0: there are not
 * two. */
uint64_t store_oldest_snapshot(store_t *s);
uint64_t store_newest_snapshot(store_t *s);

typedef struct {
	uint64_t syncs;
	uint64_t sync_us; /* time spent on writing and syncing */
	uint64_t bytes; /* written to segments */
} store_counters_t;

void store_get_counters(store_t *s, store_counters_t *out);

#endif
