package quorum

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/prng"
)

// TokenAllocator is a StateMachine that gives out numbers which must be higher than all given out before, also when
// those are not known. Leap skips a range that none of them can have reached.
type TokenAllocator interface{ SkipTokens() }

// incarnationLeap is added to the last incarnation when a fleet is recovered from a store: more than can have been
// assigned since that store was written.
const incarnationLeap = 1 << 32

// Recovery describes the fleet that a store belongs to, and the one recovered from it.
type Recovery struct {
	Name        string   `json:"name"`
	Fleet       uint64   `json:"fleet"`
	Identity    uint64   `json:"identity"`
	Starts      uint64   `json:"starts"`
	Term        uint64   `json:"term"`
	CommitIndex uint64   `json:"agreed"` // commit index known to the store
	LastIndex   uint64   `json:"last"`   // index of its last entry
	Voters      []string `json:"voters"`
	Members     int      `json:"members"`
	NextFleet   uint64   `json:"next_fleet,omitempty"` // 0: none was recovered
}

// Recover creates a new fleet from a store whose fleet has lost its majority for good. Its gateway is the only voter,
// all entries in the store count as committed, and incarnations and tokens skip all that can have been given out. The
// record is to be written to that store; no other copy of the store may be in use. stateMachines are the state machines of
// the gateway; the nonce must be a fresh random number.
func Recover(store Store, stateMachines map[string]StateMachine, nonce uint64) (Record, Recovery, error) {
	report := Recovery{Name: store.Identity.Name, Identity: store.Identity.ID, Starts: store.Starts}
	switch {
	case store.Identity.ID == 0 || store.Founding == nil:
		return Record{}, report, errors.New("the store belongs to no fleet")
	case store.Snapshot.GetMetadata().GetIndex() == 0:
		return Record{}, report, errors.New("the store holds nothing of the log: its gateway never voted")
	}
	n := &Node{settings: Settings{Name: store.Identity.Name}, rng: prng.Source(nonce>>1 | 1), id: store.Identity, founding: store.Founding, members: newMembers(maxListed), stateMachines: stateMachines,
		peerNames: map[uint64]string{}, lastRenewal: map[uint64]float64{}}
	meta := store.Snapshot.GetMetadata()
	if err := n.restoreState(store.Snapshot.GetData(), meta.GetIndex()); err != nil {
		return Record{}, report, fmt.Errorf("snapshot: %w", err)
	}
	voters := meta.GetConfState().GetVoters()
	for _, e := range store.Entries {
		if e.GetType() == raftpb.EntryType_EntryNormal {
			n.applyCommand(e.GetIndex(), e.Data)
		} else {
			n.applied = e.GetIndex()
		}
	}
	report.Fleet, report.Term, report.CommitIndex, report.LastIndex, report.Members = store.Founding.Cluster, store.HardState.GetTerm(), max(store.HardState.GetCommit(), meta.GetIndex()), n.applied, len(n.members.Names)
	for _, id := range voters {
		report.Voters = append(report.Voters, n.nameOf(id))
	}
	n.members.LastIncarnation += incarnationLeap
	for _, stateMachine := range stateMachines {
		if allocator, ok := stateMachine.(TokenAllocator); ok {
			allocator.SkipTokens()
		}
	}
	n.rng.Uint32()
	id := Identity{ID: n.randomID(), Name: store.Identity.Name}
	predecessors := append([]uint64{store.Founding.Cluster}, store.Founding.Predecessors...)
	founding := &Founding{Cluster: n.randomID(), Voters: map[string]uint64{id.Name: id.ID}, Predecessors: predecessors[:min(len(predecessors), 16)]}
	report.NextFleet = founding.Cluster
	index, term := n.applied+1, report.Term+1
	snapshot := &raftpb.Snapshot{Data: n.encodeState(), Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{id.ID}}, Index: &index, Term: &term}}
	return Record{Identity: &id, Starts: 1, Founding: founding, Reset: true, Snapshot: proto.Clone(snapshot).(*raftpb.Snapshot), HardState: &raftpb.HardState{Term: &term, Commit: &index}}, report, nil
}
