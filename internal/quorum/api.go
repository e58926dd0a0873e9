// Package quorum lets gateways agree: who is there, and on one log of commands in one order. The agreement itself is raft's
// (go.etcd.io/raft/v3, which does no I/O); this package adds what raft leaves to its caller: founding, members and their
// leases, followers, commands that count once, bounds. It is pure: events come in with their time, actions go out; there is no
// goroutine, socket, file or clock in it, and chance comes from a seed.
//
// This file is its interface. Times are milliseconds on a clock of the caller's that never goes back; they bound only how long
// work stands still. What is agreed rests on majorities and on what was synced, never on a time.
package quorum

import "go.etcd.io/raft/v3/raftpb"

// Settings of one gateway's part.
type Settings struct {
	Name     string            // of this gateway; unique in the fleet
	Zone     string            // its club
	Address  string            // where its peers reach it
	Peers    map[string]string // addresses of the others that are known from the start, by name
	Founders []string          // names of those that vote at first; all of them must be there, with empty stores, to found
	Beat     float64           // ms between a leader's heartbeats
	Election float64           // ms of silence after which voters look for another leader; at least five beats
	Lease    float64           // ms without renewal after which a member is said to be silent
	SlowDisk float64           // ms that one sync may take; a leader whose disk is slower hands over
	Keep     int               // entries kept for those that lag, beyond what all voters have
	Members  int               // names that are remembered at most
	Pending  int               // commands of this gateway that wait to be agreed at most
	Retry    float64           // ms after which a command that was not agreed is sent again
	Replace  float64           // ms for which a voter must be gone before another gets its vote; 0: never
	Votes    int               // how many are to vote: others are brought up while there are fewer; 0: as many as founded
	Diskless bool              // it has no store, and only follows
	Sight    float64           // ms after which it asks again until when it knows all that was agreed; 0: never
	Works    bool              // it takes part in owned work; what the others are told of it
	Seed     uint64
}

// Defaults are settings for a site on a local network.
func Defaults() Settings {
	return Settings{Beat: 100, Election: 1000, Lease: 3000, SlowDisk: 500, Keep: 2000, Members: 600, Pending: 256, Retry: 700, Replace: 60_000}
}

// Store is what a gateway keeps on its disk. The zero value is an empty store.
type Store struct {
	Identity Identity
	Starts   uint64                   // how often it was opened to take part
	Marks    map[uint64]HighWaterMark // what others were seen to hold, by identity
	Founding *Founding                // nil: it belongs to no fleet yet
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry // after the snapshot, without a gap
}

// Identity is who a store belongs to. A store that is lost takes its identity with it: what starts without one is somebody
// else, and never votes as the old one.
type Identity struct {
	ID   uint64 `cbor:"1,keyasint"` // drawn when the store was made; 0: none yet
	Name string `cbor:"2,keyasint"`
}

// Founding is how a fleet began: once, by the founder whose name comes first, when all founders said that they had nothing.
type Founding struct {
	Cluster      uint64            `cbor:"1,keyasint"`
	Voters       map[string]uint64 `cbor:"2,keyasint"`           // identities by name
	Predecessors []uint64          `cbor:"3,keyasint,omitempty"` // the fleets that this one took the place of, by an operator's hand
}

// Mark is the least that an identity must hold, as it has told: a store that holds less is an old copy.
type HighWaterMark struct {
	Term    uint64 `cbor:"1,keyasint"` // of what it sent
	LogTerm uint64 `cbor:"2,keyasint"` // of the last entry that it said to hold, and the place of that entry
	Index   uint64 `cbor:"3,keyasint"`
}

// Events, which a driver hands to Node.Handle.
type (
	// Received is one frame of a peer, by the name that it gave.
	Received struct {
		From  string
		Frame Frame
	}
	// Lost tells that what was sent to a peer of late did not arrive.
	Lost struct{ To string }
	// Saved tells that the last Save is on the disk, and how long that took.
	Saved struct{ Took float64 }
	// Broken tells that the disk could not take it: this gateway votes no more until it is started anew.
	Broken struct{ Err error }
	// Propose asks for a command to be agreed. Token, over 0 and not used before, comes back with its Outcome.
	Propose struct {
		Token   uint64
		Command Command
	}
	// Leave says goodbye: this process is about to end.
	Leave struct{}
)

// Action is one of the types below that says so.
type Action any

// Actions, which the driver carries out in their order. What rests on a Save is handed out after its Saved; what comes along with a
// Save does not rest on it.
type (
	// Send brings a frame to a peer; it may be lost.
	Send struct {
		To    string
		Frame Frame
	}
	// Save puts this on the disk and syncs it. There is no other until it is Saved.
	Save struct{ Record Record }
	// Agreed is a command in its place in the log, after its book took it. The same comes to every gateway.
	Agreed struct {
		Index   uint64
		Command Command
		Result  any
	}
	// Restored is a state that took the place of all that was followed before: what Agreed told of is behind it.
	Restored struct{ Index uint64 }
	// Outcome ends a Propose: agreed at that place, or an error. After ErrGivenUp it may still be agreed; after ErrRepeated it was,
	// at a place that this gateway did not see, and its book tells what became of it.
	Outcome struct {
		Token  uint64
		Index  uint64
		Result any // of its book
		Err    error
	}
	// Say is a line for people.
	Say struct {
		Text   string
		Fields map[string]any
	}
)

// Record is one write to the disk, whole or not at all.
type Record struct {
	Identity *Identity
	Starts   uint64                   // 0: as before
	Marks    map[uint64]HighWaterMark // nil: as before
	Founding *Founding
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry // take the place of all from their first index on
	Anew     bool            // all of raft's goes first: this store begins again, under the identity given here
	Compact  uint64          // entries up to here, and older snapshots, may go
}

// Command is what is agreed on. Book says whom it is for; this package's own is "members".
type Command struct {
	Book string `cbor:"1,keyasint"`
	Kind string `cbor:"2,keyasint"`
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Who asked, by incarnation, and the how-manieth this is of it: one that comes twice counts once.
	From uint64 `cbor:"4,keyasint,omitempty"`
	Seq  uint64 `cbor:"5,keyasint,omitempty"`
}

// Book is a state that commands change, the same at every gateway. It must be a function of the commands alone. Load of nothing
// makes it as empty as it was at first.
type Book interface {
	Apply(index uint64, c Command) any
	Save() []byte
	Load([]byte) error
}

// Hearer is a Book that has to know of members as well. Word of one comes in its place in the log, as commands do; Standing Unknown
// is a name that was forgotten.
type MembershipObserver interface {
	Member(index uint64, m Member)
}

// Standing is how a member stands, as the log says.
type MemberState int

// The standings.
const (
	Unknown MemberState = iota // never heard of
	Joined                     // it is there
	Left                       // it said goodbye
	Silent                     // its lease ran out
)

func (s MemberState) String() string {
	return [...]string{"unknown", "joined", "left", "silent"}[s]
}
