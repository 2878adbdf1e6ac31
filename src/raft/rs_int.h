/** Inner structure and file formats of the store, shared by its files. */
#ifndef AUBURN_RS_INT_H
#define AUBURN_RS_INT_H

#include <pthread.h>
#include "raft/rs.h"
#include "raft/rs_file.h"

#define RS_SEGMENT_BYTES (8 * 1024 * 1024)
#define RS_RECORD_MAGIC	 0x44524357u
#define RS_SEGMENT_MAGIC 0x31474553474f4c41ull
#define RS_SNAP_MAGIC	 0x3150414e53575541ull
#define RS_ID_MAGIC	 0x3144495057555541ull
#define RS_ALIGN	 8
#define RS_SNAPS_KEPT	 2
#define RS_CHUNK_BYTES	 (256 * 1024)

/** RS_MARK holds nothing: it shows that what is before it was synced. */
typedef enum { RS_ENTRY = 1, RS_HARD = 2, RS_RESET = 3, RS_MARK = 4 } rs_record_type_t;

/** Starts each record of a segment; data and padding to RS_ALIGN follow. */
typedef struct {
	uint32_t magic;
	uint32_t crc; /* of what follows in the header, and of the data */
	uint32_t len; /* of the data, without padding */
	uint16_t type;
	uint16_t kind;
	uint64_t index; /* RS_HARD: the vote */
	uint64_t term;
	uint64_t synced; /* length of the segment that was synced before this was written */
} rs_record_t;

typedef struct {
	uint64_t magic;
	uint64_t id;
	uint64_t number;
	uint32_t crc;
	uint32_t zero;
} rs_segment_header_t;

/** Snapshot file: this, the members, the state, then rs_snap_footer_t. */
typedef struct {
	uint64_t magic;
	uint64_t index;
	uint64_t term;
	uint32_t conf_len;
	uint32_t crc; /* of the fields above and the members */
} rs_snap_header_t;

typedef struct {
	uint64_t len; /* of the state */
	uint32_t crc; /* of the state */
	uint32_t magic;
} rs_snap_footer_t;

typedef struct {
	uint64_t number;
	uint64_t max_index; /* of its entries */
} rs_segment_t;

typedef struct {
	uint64_t index;
	uint64_t term;
	uint64_t len; /* of the state */
	uint64_t at; /* offset of the state in the file */
	uint32_t crc; /* of the state */
	int fd;
	buf_t conf;
} rs_snap_t;

/** A snapshot that arrives in pieces. */
typedef struct {
	int fd; /* -1: none */
	uint64_t index;
	uint64_t at; /* offset of the state in the file */
	uint64_t len;
	uint32_t crc;
} rs_incoming_t;

struct rs {
	char dir[RS_PATH_BYTES - 64];
	uint64_t id;
	uint64_t segment_bytes;
	rs_fault_t fault;
	pthread_mutex_t lock; /* guards what follows, up to the file */
	buf_t queued;
	uint64_t queued_seq;
	uint64_t queued_max; /* highest index among the queued entries */
	rs_record_t hard; /* newest, queued or written */
	bool failed;
	rs_segment_t *segments; /* the last one is being written */
	size_t nsegments;
	rs_snap_t snaps[RS_SNAPS_KEPT + 1]; /* oldest first */
	unsigned nsnaps;
	rs_counters_t counters;

	/* Used by the syncing thread only. */
	buf_t writing;
	int fd;
	uint64_t number; /* of the segment being written */
	bool marked; /* nothing was written since the newest RS_MARK */
	uint64_t size;
	buf_t chunk; /* used by the group's thread only */
	buf_t chunk_conf;
	rs_incoming_t in;
};

uint32_t rs_crc(uint32_t crc, const void *p, size_t n);

/* rs_log.c */
status_t rs_segment_begin(rs_t *s, uint64_t number);
status_t rs_segment_continue(rs_t *s, uint64_t size);
void rs_segment_path(const rs_t *s, uint64_t number, char path[RS_PATH_BYTES]);
void rs_segment_add(rs_t *s, uint64_t number, uint64_t max_index);
void rs_segments_drop(rs_t *s, uint64_t index);

/* rs_replay.c */
status_t rs_replay(rs_t *s, rs_state_t *state);

/* rs_snap.c */
status_t rs_snaps_find(rs_t *s, rs_state_t *state);
void rs_snaps_close(rs_t *s);

#endif
