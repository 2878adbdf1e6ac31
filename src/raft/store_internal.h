/** Inner structure and file formats of the store, shared by its files. */
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

/** STORE_RECORD_SYNC_MARK holds nothing: it shows that what is before it was synced. */
typedef enum {
	STORE_RECORD_ENTRY = 1,
	STORE_RECORD_HARD_STATE = 2,
	STORE_RECORD_RESET = 3,
	STORE_RECORD_SYNC_MARK = 4
} store_record_type_t;

/** Starts each record of a segment; data and padding to STORE_RECORD_ALIGN follow. */
typedef struct {
	uint32_t magic;
	uint32_t crc; /* of what follows in the header, and of the data */
	uint32_t len; /* of the data, without padding */
	uint16_t type;
	uint16_t entry_kind;
	uint64_t index; /* STORE_RECORD_HARD_STATE: the vote */
	uint64_t term;
	uint64_t synced_len; /* length of the segment that was synced before this was written */
} store_record_t;

typedef struct {
	uint64_t magic;
	uint64_t id;
	uint64_t number;
	uint32_t crc;
	uint32_t zero;
} store_segment_header_t;

/** Snapshot file: this, the members, the state, then store_snap_footer_t. */
typedef struct {
	uint64_t magic;
	uint64_t index;
	uint64_t term;
	uint32_t conf_len;
	uint32_t crc; /* of the fields above and the members */
} store_snap_header_t;

typedef struct {
	uint64_t len; /* of the state */
	uint32_t crc; /* of the state */
	uint32_t magic;
} store_snap_footer_t;

typedef struct {
	uint64_t number;
	uint64_t max_index; /* of its entries */
} store_segment_t;

typedef struct {
	uint64_t index;
	uint64_t term;
	uint64_t len; /* of the state */
	uint64_t at; /* offset of the state in the file */
	uint32_t crc; /* of the state */
	int fd;
	buf_t conf;
} store_snap_t;

/** A snapshot that arrives in pieces. */
typedef struct {
	int fd; /* -1: none */
	uint64_t index;
	uint64_t at; /* offset of the state in the file */
	uint64_t len;
	uint32_t crc;
} store_incoming_snap_t;

struct rs {
	char dir[STORE_PATH_BYTES - 64];
	uint64_t id;
	uint64_t segment_bytes;
	store_disk_fault_t fault;
	pthread_mutex_t lock; /* guards what follows, up to the file */
	buf_t queued;
	uint64_t queued_seq;
	uint64_t queued_max; /* highest index among the queued entries */
	store_record_t hard; /* newest, queued or written */
	bool failed;
	store_segment_t *segments; /* the last one is being written */
	size_t nsegments;
	store_snap_t snaps[STORE_SNAPS_MAX + 1]; /* oldest first */
	unsigned nsnaps;
	store_counters_t counters;

	/* Used by the syncing thread only. */
	buf_t writing;
	int fd;
	uint64_t number; /* of the segment being written */
	bool marked; /* nothing was written since the newest STORE_RECORD_SYNC_MARK */
	uint64_t size;
	buf_t chunk; /* used by the group's thread only */
	buf_t chunk_conf;
	store_incoming_snap_t in;
};

uint32_t store_crc(uint32_t crc, const void *p, size_t n);

/* rs_log.c */
status_t store_segment_begin(store_t *s, uint64_t number);
status_t store_segment_continue(store_t *s, uint64_t size);
void store_segment_path(const store_t *s, uint64_t number, char path[STORE_PATH_BYTES]);
void store_segment_add(store_t *s, uint64_t number, uint64_t max_index);
void store_segments_remove(store_t *s, uint64_t index);

/* store_replay.c */
status_t store_replay(store_t *s, store_contents_t *state);

/* rs_snap.c */
status_t store_snaps_find(store_t *s, store_contents_t *state);
void store_snaps_close(store_t *s);

#endif
