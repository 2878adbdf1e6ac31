/** Internal structure and file formats of the store, shared by its files. */
#ifndef AUBURN_STORE_INTERNAL_H
#define AUBURN_STORE_INTERNAL_H

#include <pthread.h>
#include "raft/store.h"
#include "raft/store_file.h"

#define STORE_SEGMENT_BYTES (8 * 1024 * 1024)
#define STORE_RECORD_MAGIC  0x44524357u
#define STORE_SEGMENT_MAGIC 0x31474553474f4c41ull
#define STORE_SNAP_MAGIC    0x3150414e53575541ull
#define STORE_ID_MAGIC	    0x3144495057555541ull
#define STORE_RECORD_ALIGN  8
#define STORE_SNAPS_MAX	    2
#define STORE_CHUNK_BYTES   (256 * 1024)

/** STORE_RECORD_SYNC_MARK has no data; its synced_len proves that the records before it were
 * synced. */
typedef enum {
	STORE_RECORD_ENTRY = 1,
	STORE_RECORD_HARD_STATE = 2,
	STORE_RECORD_RESET = 3,
	STORE_RECORD_SYNC_MARK = 4
} store_record_type_t;

/** Header of each record of a segment; the data and padding to STORE_RECORD_ALIGN follow. */
typedef struct {
	uint32_t magic;
	uint32_t crc; /* of the fields below and the data */
	uint32_t len; /* of the data, without padding */
	uint16_t type;
	uint16_t entry_kind;
	uint64_t index; /* STORE_RECORD_HARD_STATE: the vote */
	uint64_t term;
	/** Synced length of the segment before the write that added this record. */
	uint64_t synced_len;
} store_record_t;

/** Header of a segment. A STORE_RECORD_HARD_STATE follows, whose data is the synced length of the
 * segment before this one (uint64_t). Bytes after that are not part of the log: a write that failed
 * left them. Older builds write no data: the length is unknown. */
typedef struct {
	uint64_t magic;
	uint64_t id;
	uint64_t number;
	uint32_t crc;
	uint32_t zero;
} store_segment_header_t;

/** Snapshot file: this header, the members, the state, then store_snap_footer_t. */
typedef struct {
	uint64_t magic;
	uint64_t index;
	uint64_t term;
	uint32_t members_len;
	uint32_t crc; /* of the fields above and the members */
} store_snap_header_t;

typedef struct {
	uint64_t len; /* of the state */
	uint32_t crc; /* of the state */
	uint32_t magic;
} store_snap_footer_t;

typedef struct {
	uint64_t number;
	uint64_t max_index; /* highest index of its entries */
} store_segment_t;

typedef struct {
	uint64_t index;
	uint64_t term;
	uint64_t len; /* of the state */
	uint64_t state_offset; /* of the state in the file */
	uint32_t crc; /* of the state */
	int fd;
	buf_t members;
} store_snap_t;

/** A snapshot that is being received. */
typedef struct {
	int fd; /* -1: none */
	uint64_t index;
	uint64_t state_offset; /* of the state in the file */
	uint64_t len;
	uint32_t crc;
} store_incoming_snap_t;

struct store {
	char dir[STORE_PATH_BYTES - 64];
	uint64_t id;
	uint64_t segment_bytes;
	store_disk_fault_t fault;
	pthread_mutex_t lock; /* guards the fields down to counters */
	buf_t queued;
	uint64_t queued_seq;
	uint64_t queued_max; /* highest index among the queued entries */
	store_record_t hard_state; /* newest term and vote, queued or written */
	bool refused; /* the last write or sync failed; `writing` holds what is not on the disk */
	store_segment_t *segments; /* the last one is being written */
	size_t nsegments;
	store_snap_t snaps[STORE_SNAPS_MAX + 1]; /* oldest first */
	unsigned nsnaps;
	store_counters_t counters;

	/* used by the syncing thread only */
	buf_t writing;
	uint64_t writing_max; /* highest index among the entries in `writing` */
	bool short_segments;
	int segment_fd; /* -1: the next write begins a segment */
	uint64_t number; /* of the segment being written */
	bool has_sync_mark; /* nothing was written after the newest STORE_RECORD_SYNC_MARK */
	uint64_t size; /* bytes written to this segment */
	uint64_t synced_size; /* bytes of it that are synced */

	/* used by the group's thread only */
	buf_t chunk;
	buf_t chunk_members;
	store_incoming_snap_t incoming;
};

uint32_t store_crc(uint32_t crc, const void *p, size_t n);

/* store_log.c */
/** Creates the segment and continues the log in it. previous_len: synced length of the segment
 * before it; 0 if there is none. After an error the segment does not exist. The caller adds it to
 * the list of segments. */
status_t store_segment_begin(store_t *s, uint64_t number, uint64_t previous_len);
/** Opens the last segment, of which `size` bytes are valid and synced, to append to it. */
status_t store_segment_continue(store_t *s, uint64_t size);
void store_segment_path(const store_t *s, uint64_t number, char path[STORE_PATH_BYTES]);
/** Adds a segment to the list of segments. */
void store_segment_add(store_t *s, uint64_t number, uint64_t max_index);
/** Removes the oldest segments as long as they hold no entries after index; the segment being
 * written stays. The directory has been synced since the last removal. Segments that stay because
 * it can't be synced are removed by a later call. */
void store_segments_remove(store_t *s, uint64_t index);

/* store_replay.c */
/** Reads the log from the segments into contents, truncates an incomplete last write and opens the
 * last segment to continue the log in it. */
status_t store_replay(store_t *s, store_contents_t *contents);

/* store_snapshot.c */
/** Opens the snapshot files and loads the newest valid one into contents; damaged ones are renamed
 * and skipped. */
status_t store_snaps_open(store_t *s, store_contents_t *contents);
void store_snaps_close(store_t *s);

#endif
