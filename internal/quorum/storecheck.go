package quorum

import (
	"cmp"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"poppymill/internal/codec"
)

// A store restored from a backup could let its gateway vote twice in a term, or forget entries it has acknowledged.
// So a gateway that starts with a store takes no part before it has asked its peers what they know of its identity:
// all voters, or, when some do not answer, for one election timeout. Evidence that the store is an old copy, during
// the check or later, voids the identity.

// StoreEvidence is what a gateway knows of the store of another identity.
type StoreEvidence struct {
	Mark    HighWaterMark `cbor:"1,keyasint"`
	Starts  uint64        `cbor:"2,keyasint"` // how often the store was opened, according to the log
	Nonce   uint64        `cbor:"3,keyasint"` // of the process that opened it then
	Applied uint64        `cbor:"4,keyasint"` // the applied index of the gateway that answers
}

// storeCheck is the check of this gateway's own store that is in progress.
type storeCheck struct {
	deadline, nextQuery float64
	awaiting            map[string]bool // voters that have not answered yet
}

// noteHighWaterMark records what a raft message proves of its sender's store: raft syncs before it sends.
func (n *Node) noteHighWaterMark(m *raftpb.Message) {
	mark := n.highWaterMarks[m.GetFrom()]
	logTerm, index := uint64(0), uint64(0)
	switch m.GetType() {
	case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:
		return // their term is only proposed and not stored
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
	if _, known := n.highWaterMarks[m.GetFrom()]; known || len(n.highWaterMarks) < n.settings.MaxMembers {
		n.highWaterMarks[m.GetFrom()] = mark
	}
}

// startStoreCheck starts the check.
func (n *Node) startStoreCheck() {
	check := &storeCheck{deadline: n.now + n.settings.Election, nextQuery: n.now, awaiting: map[string]bool{}}
	for _, id := range n.conf.GetVoters() {
		if name := n.nameOf(id); name != n.settings.Name && name != "" {
			check.awaiting[name] = true
		}
	}
	if n.storeCheck = check; len(check.awaiting) == 0 && len(n.settings.Peers) == 0 && len(n.members.Names) < 2 {
		n.storeCheck = nil // no peer can know of the store
	}
}

// runStoreCheck repeats the queries, or ends the check at its deadline.
func (n *Node) runStoreCheck() {
	check := n.storeCheck
	if n.onSaved != nil { // the count of starts has to be synced first
		check.deadline, check.nextQuery = max(check.deadline, n.now+n.settings.Heartbeat), max(check.nextQuery, n.now+n.settings.Heartbeat/2)
		return
	}
	if n.now >= check.deadline {
		if len(check.awaiting) > 0 {
			n.logInfo("takes part although not all voters have answered about its store", "unheard", slices.Sorted(maps.Keys(check.awaiting)))
		}
		n.storeCheck = nil
		n.resetElectionTimer()
		return
	}
	if n.now < check.nextQuery {
		return
	}
	check.nextQuery = n.now + n.settings.Heartbeat
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

// answerStoreQuery sends what this gateway knows of the sender's identity.
func (n *Node) answerStoreQuery(from string, f Frame) {
	evidence := StoreEvidence{Mark: n.highWaterMarks[f.ID], Applied: n.applied}
	if m := n.memberByIdentity(f.ID); m != nil {
		evidence.Starts, evidence.Nonce = m.Starts, m.Nonce
	}
	n.send(from, Frame{Kind: KindStoreReply, EchoNonce: f.Nonce, Data: codec.Encode(evidence)})
}

// handleStoreReply handles the answer to a query, also one that comes after the check.
func (n *Node) handleStoreReply(from string, f Frame) {
	var evidence StoreEvidence
	if f.EchoNonce != n.nonce || n.raft == nil || codec.Decode(f.Data, &evidence) != nil {
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
		reason = "it has taken part in a higher term"
	case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 0:
		reason = "it has held later log entries"
	case evidence.Applied > index && len(n.conf.GetVoters()) == 1:
		reason = "later entries were committed while it was the only voter"
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

// revokeIdentity voids the identity of a store that is an old copy. It is dropped once no write is in progress.
func (n *Node) revokeIdentity(reason, source string) {
	if n.revokedReason == "" {
		n.revokedReason = reason
		n.logInfo("this gateway's store is an old copy: it does not vote with it and joins under a new identity", "why", reason, "says", source)
	}
}

// storeRejected handles a join rejected in the log because its store is an old copy.
func (n *Node) storeRejected(c Command) {
	var joining Member
	if codec.Decode(c.Data, &joining) == nil && joining.Nonce == n.nonce && joining.Identity == n.id.ID {
		n.revokeIdentity("it was started as often before", "the log")
	}
}
