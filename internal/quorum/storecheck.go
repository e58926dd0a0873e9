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
type StoreEvidence struct {
	Mark    HighWaterMark `cbor:"1,keyasint"`
	Starts  uint64        `cbor:"2,keyasint"` // of its store, as the log tells
	Nonce   uint64        `cbor:"3,keyasint"` // of the process that started it then
	Applied uint64        `cbor:"4,keyasint"` // how far the one that answers has followed the log
}

// proof is a question that is on its way.
type storeCheck struct {
	deadline, nextQuery float64
	awaiting            map[string]bool // whose answer is waited for
}

// mark notes what a message of raft's proves of its sender's store: what is sent was synced before.
func (n *Node) noteHighWaterMark(m *raftpb.Message) {
	mark := n.highWaterMarks[m.GetFrom()]
	logTerm, index := uint64(0), uint64(0)
	switch m.GetType() {
	case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:
		return // of a term that nobody has yet
	case raftpb.MessageType_MsgApp:
		if logTerm, index = m.GetLogTerm(), m.GetIndex(); len(m.Entries) > 0 {
			last := m.Entries[len(m.Entries)-1]
			logTerm, index = last.GetTerm(), last.GetIndex()
		}
	case raftpb.MessageType_MsgAppResp:
		if !m.GetReject() {
			if t, err := n.storage.Term(m.GetIndex()); err == nil {
				logTerm, index = t, m.GetIndex()
			}
		}
	}
	mark.Term = max(mark.Term, m.GetTerm())
	if logTerm > mark.LogTerm || logTerm == mark.LogTerm && index > mark.Index {
		mark.LogTerm, mark.Index = logTerm, index
	}
	if _, known := n.highWaterMarks[m.GetFrom()]; known || len(n.highWaterMarks) < n.settings.Members {
		n.highWaterMarks[m.GetFrom()] = mark
	}
}

// prove begins to ask.
func (n *Node) startStoreCheck() {
	check := &storeCheck{deadline: n.now + n.settings.Election, nextQuery: n.now, awaiting: map[string]bool{}}
	for _, id := range n.conf.GetVoters() {
		if name := n.nameOf(id); name != n.settings.Name && name != "" {
			check.awaiting[name] = true
		}
	}
	if n.storeCheck = check; len(check.awaiting) == 0 && len(n.settings.Peers) == 0 && len(n.members.Names) < 2 {
		n.storeCheck = nil // nobody can know
	}
}

// proving asks again, or is over.
func (n *Node) runStoreCheck() {
	check := n.storeCheck
	if n.onSaved != nil { // that it was started once more has to be on its disk first
		check.deadline, check.nextQuery = max(check.deadline, n.now+n.settings.Beat), max(check.nextQuery, n.now+n.settings.Beat/2)
		return
	}
	if n.now >= check.deadline {
		if len(check.awaiting) > 0 {
			n.logInfo("takes part without having heard of its store from all that vote", "unheard", slices.Sorted(maps.Keys(check.awaiting)))
		}
		n.storeCheck = nil
		n.resetElectionTimer()
		return
	}
	if n.now < check.nextQuery {
		return
	}
	check.nextQuery = n.now + n.settings.Beat
	peers := map[string]bool{}
	maps.Copy(peers, check.awaiting)
	for _, name := range append(slices.Sorted(maps.Keys(n.settings.Peers)), slices.Sorted(maps.Keys(n.members.Names))...) {
		if len(peers) < 16 {
			peers[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(peers)) {
		n.send(name, Frame{Kind: KindStoreQuery, Nonce: n.nonce})
	}
}

// testify answers what this gateway knows of an identity.
func (n *Node) answerStoreQuery(from string, f Frame) {
	evidence := StoreEvidence{Mark: n.highWaterMarks[f.ID], Applied: n.applied}
	if m := n.memberByIdentity(f.ID); m != nil {
		evidence.Starts, evidence.Nonce = m.Starts, m.Nonce
	}
	n.send(from, Frame{Kind: KindStoreReply, EchoNonce: f.Nonce, Data: canon.Encode(evidence)})
}

// proven takes an answer, in time or late.
func (n *Node) handleStoreReply(from string, f Frame) {
	var evidence StoreEvidence
	if f.EchoNonce != n.nonce || n.raft == nil || canon.Decode(f.Data, &evidence) != nil {
		return
	}
	index, _ := n.storage.LastIndex()
	term, _ := n.storage.Term(index)
	hard, _, _ := n.storage.InitialState()
	reason := ""
	switch {
	case evidence.Starts >= n.starts && evidence.Nonce != n.nonce:
		reason = "it was started as often before"
	case evidence.Mark.Term > max(hard.GetTerm(), n.raft.BasicStatus().GetTerm()):
		reason = "it has taken part in a newer term"
	case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 0:
		reason = "it has held more of the log"
	case evidence.Applied > index && len(n.conf.GetVoters()) == 1:
		reason = "more was agreed, by nobody but itself"
	}
	if reason != "" {
		n.revokeIdentity(reason, from)
		return
	}
	if n.storeCheck == nil {
		return
	}
	if delete(n.storeCheck.awaiting, from); len(n.storeCheck.awaiting) == 0 && n.onSaved == nil {
		n.storeCheck = nil
		n.resetElectionTimer()
	}
}

// old has this gateway give up an identity whose store is an old copy, once what is on its way to the disk is there.
func (n *Node) revokeIdentity(reason, source string) {
	if n.revokedReason == "" {
		n.revokedReason = reason
		n.logInfo("this gateway's store is an old copy: it votes by it no more, and joins as somebody else", "why", reason, "says", source)
	}
}

// oldStore is the log's word that a store that joined is an old copy.
func (n *Node) storeRejected(c Command) {
	var joining Member
	if canon.Decode(c.Data, &joining) == nil && joining.Nonce == n.nonce && joining.Identity == n.id.ID {
		n.revokeIdentity("it was started as often before", "the log")
	}
}
