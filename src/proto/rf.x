/*
 * Messages between the replicas of one group, and what a membership entry of the log holds.
 */

enum rf_type_t {
	RF_PREVOTE = 1,
	RF_PREVOTE_RESP = 2,
	RF_VOTE = 3,
	RF_VOTE_RESP = 4,
	RF_APPEND = 5,
	RF_APPEND_RESP = 6,
	RF_SNAP = 7,
	RF_SNAP_RESP = 8,
	RF_TIMEOUT_NOW = 9
};

enum rf_kind_t { RF_NOOP = 0, RF_COMMAND = 1, RF_CONF = 2 };

struct rf_entry_t {
	unsigned hyper term;
	rf_kind_t kind;
	opaque data<>;
};

struct rf_wire_peer_t {
	unsigned hyper id;
	string addr<63>;
	string zone<31>;
	bool voter;
};

struct rf_wire_conf_t {
	rf_wire_peer_t peers<9>;
};

struct rf_msg_t {
	rf_type_t type;
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper term;
	opaque addr<63>;		/* of the sender */
	unsigned hyper index;		/* APPEND: entry before the first; VOTE: last of the log;
					   APPEND_RESP: synced, or the refused one; SNAP: its last */
	unsigned hyper log_term;	/* term of the entry at index */
	unsigned hyper commit;
	unsigned hyper round;		/* read index: number of the leader's round, echoed */
	unsigned hyper hint;		/* refusal: where the logs may meet; SNAP_RESP: wanted
					   offset; last SNAP: checksum of the whole */
	bool reject;
	bool force;			/* VOTE for a transfer of leadership: leases don't count */
	rf_entry_t entries<>;
	unsigned hyper offset;		/* SNAP: place of data in the whole */
	bool last;
	opaque conf<>;			/* SNAP: members at index */
	opaque data<>;
};
