/*
 * Raft messages between the replicas of a group, and the content of membership entries of the log.
 */

enum raft_msg_type_t {
	RAFT_PREVOTE = 1,
	RAFT_PREVOTE_RESP = 2,
	RAFT_VOTE = 3,
	RAFT_VOTE_RESP = 4,
	RAFT_APPEND = 5,
	RAFT_APPEND_RESP = 6,
	RAFT_SNAPSHOT = 7,
	RAFT_SNAPSHOT_RESP = 8,
	RAFT_TIMEOUT_NOW = 9
};

enum raft_entry_kind_t { RAFT_ENTRY_NOOP = 0, RAFT_ENTRY_COMMAND = 1, RAFT_ENTRY_MEMBERS = 2 };

struct raft_entry_t {
	unsigned hyper term;
	raft_entry_kind_t kind;
	opaque data<>;
};

struct raft_wire_peer_t {
	unsigned hyper id;
	string addr<63>;
	string zone<31>;
	bool voter;
};

struct raft_wire_members_t {
	raft_wire_peer_t peers<9>;
};

struct raft_msg_t {
	raft_msg_type_t type;
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper term;
	opaque addr<63>;		/* of the sender */
	unsigned hyper index;		/* APPEND: entry before the first; VOTE: last of the log;
					   APPEND_RESP: last synced, or the refused one;
					   SNAPSHOT: last entry in it */
	unsigned hyper log_term;	/* term of the entry at index */
	unsigned hyper commit;
	unsigned hyper round;		/* read index: number of the leader's round, echoed */
	unsigned hyper hint;		/* refusal: index where the logs may agree;
					   SNAPSHOT_RESP: wanted offset;
					   last SNAPSHOT: checksum of the whole */
	bool reject;
	bool force;			/* VOTE for a leadership transfer: ignores leader leases */
	raft_entry_t entries<>;
	unsigned hyper offset;		/* SNAPSHOT: offset of data in the whole */
	bool last;
	opaque conf<>;			/* SNAPSHOT: members at index */
	opaque data<>;
};
