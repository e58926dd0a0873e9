package quorum

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/chance"
)

// Leaper is a Book that gives out numbers which must stay above all that were given out before, also where it is not known which
// those were.
type TokenAllocator interface{ Leap() }

// leap is by how much incarnations rise when a fleet is made of what is left of another: more than were given out after the store
// that is left was written.
const incarnationLeap = 1 << 32

// Recovery is what a store holds of a fleet, and what is made of it.
type Recovery struct {
	Name     string   `json:"name"`
	Fleet    uint64   `json:"fleet"`
	Identity uint64   `json:"identity"`
	Starts   uint64   `json:"starts"`
	Term     uint64   `json:"term"`
	Agreed   uint64   `json:"agreed"` // as far as the store itself knows
	Last     uint64   `json:"last"`   // the newest entry in it
	Voters   []string `json:"voters"`
	Members  int      `json:"members"`
	Next     uint64   `json:"next_fleet,omitempty"` // 0: nothing was made of it
}

// Recover makes another fleet of a store whose own has lost its majority for good: it votes alone there, whatever the store holds
// counts as agreed, and incarnations and tokens leap above all that can have been given out. The record is to be written to that
// store, of which nobody may hold another copy in use. Books are those that the gateway has; nonce is drawn anew.
func Recover(store Store, books map[string]Book, nonce uint64) (Record, Recovery, error) {
	report := Recovery{Name: store.Identity.Name, Identity: store.Identity.ID, Starts: store.Starts}
	switch {
	case store.Identity.ID == 0 || store.Founding == nil:
		return Record{}, report, errors.New("the store belongs to no fleet")
	case store.Snapshot.GetMetadata().GetIndex() == 0:
		return Record{}, report, errors.New("the store holds nothing of the log: its gateway never voted")
	}
	n := &Node{settings: Settings{Name: store.Identity.Name}, rng: chance.Chance(nonce>>1 | 1), id: store.Identity, founding: store.Founding, members: newMembers(maxListed), books: books,
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
	report.Fleet, report.Term, report.Agreed, report.Last, report.Members = store.Founding.Cluster, store.Hard.GetTerm(), max(store.Hard.GetCommit(), meta.GetIndex()), n.applied, len(n.members.Names)
	for _, id := range voters {
		report.Voters = append(report.Voters, n.nameOf(id))
	}
	n.members.LastIncarnation += incarnationLeap
	for _, book := range books {
		if allocator, ok := book.(TokenAllocator); ok {
			allocator.Leap()
		}
	}
	n.rng.Next()
	id := Identity{ID: n.randomID(), Name: store.Identity.Name}
	predecessors := append([]uint64{store.Founding.Cluster}, store.Founding.Predecessors...)
	founding := &Founding{Cluster: n.randomID(), Voters: map[string]uint64{id.Name: id.ID}, Predecessors: predecessors[:min(len(predecessors), 16)]}
	report.Next = founding.Cluster
	index, term := n.applied+1, report.Term+1
	snapshot := &raftpb.Snapshot{Data: n.encodeState(), Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{id.ID}}, Index: &index, Term: &term}}
	return Record{Identity: &id, Starts: 1, Founding: founding, Anew: true, Snapshot: proto.Clone(snapshot).(*raftpb.Snapshot), Hard: &raftpb.HardState{Term: &term, Commit: &index}}, report, nil
}
