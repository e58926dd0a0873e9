package quorum

import (
	"cmp"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"poppymill/internal/canon"
)

// A store that is put back from an old copy would let its gateway vote twice in a term, or forget what it has confirmed. So one
// that starts with a store takes no part before it has asked the others what they know of its identity: all that vote, or, where
// some do not answer, for one election time. Whatever proves the store to be an old copy, then or later, costs it its identity.

// Known is what a gateway knows of another's identity.
type Known struct {
	Mark    Mark   `cbor:"1,keyasint"`
	Starts  uint64 `cbor:"2,keyasint"` // of its store, as the log tells
	Nonce   uint64 `cbor:"3,keyasint"` // of the process that started it then
	Applied uint64 `cbor:"4,keyasint"` // how far the one that answers has followed the log
}

// proof is a question that is on its way.
type proof struct {
	until, again float64
	ask          map[string]bool // whose answer is waited for
}

// mark notes what a message of raft's proves of its sender's store: what is sent was synced before.
func (n *Node) mark(m *raftpb.Message) {
	k := n.marks[m.GetFrom()]
	at, index := uint64(0), uint64(0)
	switch m.GetType() {
	case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:
		return // of a term that nobody has yet
	case raftpb.MessageType_MsgApp:
		if at, index = m.GetLogTerm(), m.GetIndex(); len(m.Entries) > 0 {
			last := m.Entries[len(m.Entries)-1]
			at, index = last.GetTerm(), last.GetIndex()
		}
	case raftpb.MessageType_MsgAppResp:
		if !m.GetReject() {
			if t, err := n.log.Term(m.GetIndex()); err == nil {
				at, index = t, m.GetIndex()
			}
		}
	}
	k.Term = max(k.Term, m.GetTerm())
	if at > k.LogTerm || at == k.LogTerm && index > k.Index {
		k.LogTerm, k.Index = at, index
	}
	if _, known := n.marks[m.GetFrom()]; known || len(n.marks) < n.set.Members {
		n.marks[m.GetFrom()] = k
	}
}

// prove begins to ask.
func (n *Node) prove() {
	p := &proof{until: n.now + n.set.Election, again: n.now, ask: map[string]bool{}}
	for _, id := range n.conf.GetVoters() {
		if name := n.name(id); name != n.set.Name && name != "" {
			p.ask[name] = true
		}
	}
	if n.proof = p; len(p.ask) == 0 && len(n.set.Peers) == 0 && len(n.members.Names) < 2 {
		n.proof = nil // nobody can know
	}
}

// proving asks again, or is over.
func (n *Node) proving() {
	p := n.proof
	if n.saving != nil { // that it was started once more has to be on its disk first
		p.until, p.again = max(p.until, n.now+n.set.Beat), max(p.again, n.now+n.set.Beat/2)
		return
	}
	if n.now >= p.until {
		if len(p.ask) > 0 {
			n.say("takes part without having heard of its store from all that vote", "unheard", slices.Sorted(maps.Keys(p.ask)))
		}
		n.proof = nil
		n.postpone()
		return
	}
	if n.now < p.again {
		return
	}
	p.again = n.now + n.set.Beat
	all := map[string]bool{}
	maps.Copy(all, p.ask)
	for _, name := range append(slices.Sorted(maps.Keys(n.set.Peers)), slices.Sorted(maps.Keys(n.members.Names))...) {
		if len(all) < 16 {
			all[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		n.send(name, Frame{Kind: Prove, Nonce: n.nonce})
	}
}

// testify answers what this gateway knows of an identity.
func (n *Node) testify(from string, f Frame) {
	k := Known{Mark: n.marks[f.ID], Applied: n.applied}
	if m := n.of(f.ID); m != nil {
		k.Starts, k.Nonce = m.Starts, m.Nonce
	}
	n.send(from, Frame{Kind: Proof, Echo: f.Nonce, Data: canon.Encode(k)})
}

// proven takes an answer, in time or late.
func (n *Node) proven(from string, f Frame) {
	var k Known
	if f.Echo != n.nonce || n.raft == nil || canon.Decode(f.Data, &k) != nil {
		return
	}
	index, _ := n.log.LastIndex()
	term, _ := n.log.Term(index)
	hard, _, _ := n.log.InitialState()
	why := ""
	switch {
	case k.Starts >= n.starts && k.Nonce != n.nonce:
		why = "it was started as often before"
	case k.Mark.Term > max(hard.GetTerm(), n.raft.BasicStatus().GetTerm()):
		why = "it has taken part in a newer term"
	case cmp.Or(cmp.Compare(k.Mark.LogTerm, term), cmp.Compare(k.Mark.Index, index)) > 0:
		why = "it has held more of the log"
	case k.Applied > index && len(n.conf.GetVoters()) == 1:
		why = "more was agreed, by nobody but itself"
	}
	if why != "" {
		n.old(why, from)
		return
	}
	if n.proof == nil {
		return
	}
	if delete(n.proof.ask, from); len(n.proof.ask) == 0 && n.saving == nil {
		n.proof = nil
		n.postpone()
	}
}

// old has this gateway give up an identity whose store is an old copy, once what is on its way to the disk is there.
func (n *Node) old(why, by string) {
	if n.spent == "" {
		n.spent = why
		n.say("this gateway's store is an old copy: it votes by it no more, and joins as somebody else", "why", why, "says", by)
	}
}

// oldStore is the log's word that a store that joined is an old copy.
func (n *Node) oldStore(c Command) {
	var j Member
	if canon.Decode(c.Data, &j) == nil && j.Nonce == n.nonce && j.Identity == n.id.ID {
		n.old("it was started as often before", "the log")
	}
}
