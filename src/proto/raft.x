/*
 * Raft messages between the replicas of a group, and the entries of its log.
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
	unsigned hyper index;		/* APPEND: of the entry before the first one sent;
					   PREVOTE, VOTE: of the last entry of the log;
					   APPEND_RESP: of the last entry that is synced and the
					   same as the leader's; or as in the refused APPEND;
					   SNAPSHOT, SNAPSHOT_RESP: of the snapshot's last entry */
	unsigned hyper log_term;	/* term of the entry at index */
	unsigned hyper commit;
	unsigned hyper round;		/* APPEND: number of the leader's newest round for reads;
					   APPEND_RESP: echoes it */
	unsigned hyper hint;		/* refused APPEND: highest index where the logs may agree;
					   SNAPSHOT_RESP: wanted offset;
					   last SNAPSHOT: checksum of the whole */
	bool reject;
	bool force;			/* VOTE for a leadership transfer: ignores leader leases */
	raft_entry_t entries<>;
	unsigned hyper offset;		/* SNAPSHOT: offset of data in the whole */
	bool last;
	opaque conf<>;			/* SNAPSHOT: raft_wire_members_t at index */
	opaque data<>;
};
