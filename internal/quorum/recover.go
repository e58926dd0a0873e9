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
type Leaper interface{ Leap() }

// leap is by how much incarnations rise when a fleet is made of what is left of another: more than were given out after the store
// that is left was written.
const leap = 1 << 32

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
	r := Recovery{Name: store.Identity.Name, Identity: store.Identity.ID, Starts: store.Starts}
	switch {
	case store.Identity.ID == 0 || store.Founding == nil:
		return Record{}, r, errors.New("the store belongs to no fleet")
	case store.Snapshot.GetMetadata().GetIndex() == 0:
		return Record{}, r, errors.New("the store holds nothing of the log: its gateway never voted")
	}
	n := &Node{set: Settings{Name: store.Identity.Name}, chance: chance.Chance(nonce>>1 | 1), id: store.Identity, founded: store.Founding, members: newMembers(mostListed), books: books,
		names: map[uint64]string{}, renewed: map[uint64]float64{}}
	meta := store.Snapshot.GetMetadata()
	if err := n.restore(store.Snapshot.GetData(), meta.GetIndex()); err != nil {
		return Record{}, r, fmt.Errorf("snapshot: %w", err)
	}
	voters := meta.GetConfState().GetVoters()
	for _, e := range store.Entries {
		if e.GetType() == raftpb.EntryType_EntryNormal {
			n.apply(e.GetIndex(), e.Data)
		} else {
			n.applied = e.GetIndex()
		}
	}
	r.Fleet, r.Term, r.Agreed, r.Last, r.Members = store.Founding.Cluster, store.Hard.GetTerm(), max(store.Hard.GetCommit(), meta.GetIndex()), n.applied, len(n.members.Names)
	for _, id := range voters {
		r.Voters = append(r.Voters, n.name(id))
	}
	n.members.Last += leap
	for _, b := range books {
		if l, ok := b.(Leaper); ok {
			l.Leap()
		}
	}
	n.chance.Next()
	id := Identity{ID: n.draw(), Name: store.Identity.Name}
	was := append([]uint64{store.Founding.Cluster}, store.Founding.Was...)
	f := &Founding{Cluster: n.draw(), Voters: map[string]uint64{id.Name: id.ID}, Was: was[:min(len(was), 16)]}
	r.Next = f.Cluster
	index, term := n.applied+1, r.Term+1
	s := &raftpb.Snapshot{Data: n.state(), Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{id.ID}}, Index: &index, Term: &term}}
	return Record{Identity: &id, Starts: 1, Founding: f, Anew: true, Snapshot: proto.Clone(s).(*raftpb.Snapshot), Hard: &raftpb.HardState{Term: &term, Commit: &index}}, r, nil
}
