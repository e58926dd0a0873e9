// Package quorum replicates a log of commands among the gateways of a fleet and keeps track of its members. Consensus
// is raft's (go.etcd.io/raft/v3, which does no I/O). This package adds what raft leaves to its caller: the bootstrap
// of a fleet, membership with leases and incarnations, followers outside raft, exactly-once commands, and limits. It
// is deterministic: events come in with their time and actions go out; it uses no goroutine, socket, file or clock,
// and randomness comes from a seed.
//
// This file holds its interface. Times are milliseconds on a monotonic clock of the caller. They affect only how long
// work is delayed: what is committed rests on majorities and on synced writes, never on a time.
package quorum

import "go.etcd.io/raft/v3/raftpb"

// Settings configure one gateway.
type Settings struct {
	Name              string            // name of this gateway, unique in the fleet
	Zone              string            // the club of this gateway; voters are spread over clubs
	Address           string            // where its peers connect to it
	Peers             map[string]string // addresses of the peers known at the start, by name
	Founders          []string          // names of the first voters; a fleet is founded when all of them are up with empty stores
	Heartbeat         float64           // ms between heartbeats of the leader
	Election          float64           // ms without a leader after which voters hold an election; at least five beats
	Lease             float64           // ms without renewal after which a member is declared silent
	SlowDisk          float64           // ms that a sync may take; a leader with a slower disk transfers its leadership
	KeepEntries       int               // log entries kept for lagging voters and followers when the log is compacted
	MaxMembers        int               // maximum number of member names
	MaxPending        int               // maximum number of this gateway's uncommitted commands
	Retry             float64           // ms after which an uncommitted command is sent again
	ReplaceAfter      float64           // ms that a voter must be gone before it is replaced; 0: never
	TargetVoters      int               // target number of voters, restored by promoting others; 0: the number of founders
	Diskless          bool              // the gateway has no store and only follows
	ReadIndexInterval float64           // ms between its read index requests; 0: none
	RunsOwnedWork     bool              // the gateway takes part in owned work; announced to the other members
	Seed              uint64
}

// Defaults returns settings for a site on a local network.
func Defaults() Settings {
	return Settings{Heartbeat: 100, Election: 1000, Lease: 3000, SlowDisk: 500, KeepEntries: 2000, MaxMembers: 600, MaxPending: 256, Retry: 700, ReplaceAfter: 60_000}
}

// Store is the persistent state of a gateway. The zero value is an empty store.
type Store struct {
	Identity       Identity
	Starts         uint64                   // number of processes that opened it to take part
	HighWaterMarks map[uint64]HighWaterMark // high-water marks of other stores, by identity
	Founding       *Founding                // nil: it belongs to no fleet yet
	HardState      *raftpb.HardState
	Snapshot       *raftpb.Snapshot
	Entries        []*raftpb.Entry // those after the snapshot, without a gap
}

// Identity identifies a store. It is lost along with the store: a gateway that starts without a store gets a new
// identity and never votes under the old one.
type Identity struct {
	ID   uint64 `cbor:"1,keyasint"` // random, drawn when the store was created; 0: none yet
	Name string `cbor:"2,keyasint"`
}

// Founding describes the bootstrap of a fleet. It happens once, by the founder whose name sorts first, after all
// founders have reported empty stores.
type Founding struct {
	Cluster      uint64            `cbor:"1,keyasint"`
	Voters       map[string]uint64 `cbor:"2,keyasint"`           // identities of the first voters, by name
	Predecessors []uint64          `cbor:"3,keyasint,omitempty"` // fleets that an operator replaced by this one
}

// HighWaterMark is the least that the store of an identity must hold, as shown by the messages it has sent. A store
// that holds less is an old copy.
type HighWaterMark struct {
	Term    uint64 `cbor:"1,keyasint"` // highest term of its messages
	LogTerm uint64 `cbor:"2,keyasint"` // term of the last entry it reported to hold, followed by that entry's index
	Index   uint64 `cbor:"3,keyasint"`
}

// Events, which a driver passes to Node.Handle.
type (
	// Received is a frame from a peer, under the name the peer gave.
	Received struct {
		From  string
		Frame Frame
	}
	// SendFailed reports that frames sent recently to a peer did not arrive.
	SendFailed struct{ To string }
	// Saved reports that the last Save is synced, and how many ms that took.
	Saved struct{ Took float64 }
	// DiskFailed reports that a write to the disk failed: this gateway does not vote again until it is restarted.
	DiskFailed struct{ Err error }
	// Propose submits a command. Token, above 0 and not used before, is returned in its Outcome.
	Propose struct {
		Token   uint64
		Command Command
	}
	// Leave announces that this process is about to end.
	Leave struct{}
)

// Action is one of the action types below.
type Action any

// Actions, which the driver carries out in order. Actions that depend on a Save are returned after its Saved event;
// those returned along with a Save do not depend on it.
type (
	// Send sends a frame to a peer; it may be lost.
	Send struct {
		To    string
		Frame Frame
	}
	// Save writes a record to the disk and syncs it. No other Save follows before its Saved event.
	Save struct{ Record Record }
	// Committed is a committed command, after its state machine applied it. Every gateway gets the same one at the same
	// index.
	Committed struct {
		Index   uint64
		Command Command
		Result  any
	}
	// Restored reports that a snapshot has replaced the whole state: it covers all commands reported by Committed
	// before.
	Restored struct{ Index uint64 }
	// Outcome ends a Propose, with the index of the committed command or an error. After ErrGivenUp the command may
	// still be committed. After ErrRepeated it was committed at an index that this gateway did not see, and its state
	// machine knows the result.
	Outcome struct {
		Token  uint64
		Index  uint64
		Result any // returned by its state machine
		Err    error
	}
	// Log is a log line.
	Log struct {
		Text   string
		Fields map[string]any
	}
)

// Record is one atomic write to the disk.
type Record struct {
	Identity       *Identity
	Starts         uint64                   // 0: unchanged
	HighWaterMarks map[uint64]HighWaterMark // nil: unchanged
	Founding       *Founding
	HardState      *raftpb.HardState
	Snapshot       *raftpb.Snapshot
	Entries        []*raftpb.Entry // replace all entries from the first index of these on
	Reset          bool            // drops all of raft's state first; the store starts over under the identity of this record
	Compact        uint64          // entries up to this index, and older snapshots, may be deleted
}

// Command is an entry of the replicated log. StateMachine names the state machine that applies it; the one of this
// package is "members".
type Command struct {
	StateMachine string `cbor:"1,keyasint"`
	Kind         string `cbor:"2,keyasint"`
	Data         []byte `cbor:"3,keyasint,omitempty"`
	// The incarnation that proposed it, and its sequence number there: a command that is committed twice is applied
	// once.
	From uint64 `cbor:"4,keyasint,omitempty"`
	Seq  uint64 `cbor:"5,keyasint,omitempty"`
}

// StateMachine is a replicated state machine: commands change it in the same way on every gateway, so it must be a function
// of the commands alone. Load of nil resets it to its initial state.
type StateMachine interface {
	Apply(index uint64, c Command) any
	Save() []byte
	Load([]byte) error
}

// MembershipObserver is a StateMachine that is notified of changes of members as well, at their place in the log. A member
// whose State is MemberUnknown was evicted.
type MembershipObserver interface {
	MemberChanged(index uint64, m Member)
}

// MemberState is the state of a member according to the log.
type MemberState int

// The states of a member.
const (
	MemberUnknown MemberState = iota // not a member
	MemberJoined                     // its lease is renewed
	MemberLeft                       // it announced that it ends
	MemberSilent                     // its lease expired
)

// String returns the name of the state.
func (s MemberState) String() string {
	return [...]string{"unknown", "joined", "left", "silent"}[s]
}
