package quorum

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// council is what a leader has in hand of who votes: one change at a time, and none before it has led for as long as a voter
// must be gone, so that a restart of all replaces nobody.
type voterChange struct {
	leaderSince  float64
	goneSince    map[uint64]float64 // since when each voter is, by identity
	proposedAt   float64            // when the last change was asked for
	learnerSince float64            // when the one that is brought up was begun with
}

// part is what an identity has in the council.
type voterRole int

const (
	roleNone voterRole = iota
	roleLearner
	roleVoter
)

func (n *Node) roleOf(id uint64) voterRole {
	switch {
	case slices.Contains(n.conf.GetVoters(), id) || slices.Contains(n.conf.GetVotersOutgoing(), id):
		return roleVoter
	case slices.Contains(n.conf.GetLearners(), id) || slices.Contains(n.conf.GetLearnersNext(), id):
		return roleLearner
	}
	return roleNone
}

// choose replaces a voter that is gone for long: another is brought up without a vote, and gets it in the one act that takes it
// from the other. Never where a majority of those that vote is not there without it, as the change itself needs one.
func (n *Node) replaceVoters() {
	if n.settings.Replace <= 0 || !n.isLeader() || len(n.conf.GetVotersOutgoing()) > 0 || n.now < n.voterChange.proposedAt+n.settings.Election {
		return
	}
	progress := n.raft.Status().Progress
	active := 0
	if n.voterChange.goneSince == nil {
		n.voterChange.goneSince = map[uint64]float64{}
	}
	var gone uint64
	for _, id := range n.conf.GetVoters() {
		member := n.memberByIdentity(id)
		if id == n.id.ID || member != nil && member.Standing == Joined && progress[id].RecentActive {
			active++
			delete(n.voterChange.goneSince, id)
			if gone == 0 && id != n.id.ID && n.retiring[member.Name] {
				gone = id // it is there, and is about to go: another has its vote first
			}
			continue
		}
		since, known := n.voterChange.goneSince[id]
		if !known {
			n.voterChange.goneSince[id], since = n.now, n.now
		}
		if gone == 0 && n.now >= max(since, n.voterChange.leaderSince)+n.settings.Replace {
			gone = id
		}
	}
	if learners := n.conf.GetLearners(); len(learners) > 0 {
		id := learners[0]
		member := n.memberByIdentity(id)
		learnerProgress := progress[id]
		switch {
		case member == nil || member.Standing != Joined || gone == 0 && !n.tooFewVoters() || n.now > n.voterChange.learnerSince+4*n.settings.Replace:
			// It went itself, or the one that it was to stand for is back.
			n.proposeConfChange("is not brought up any more", id, raftpb.ConfChangeType_ConfChangeRemoveNode)
		case 2*active > len(n.conf.GetVoters()) && learnerProgress.Match+16 > n.applied && learnerProgress.Match > 0:
			if gone != 0 {
				n.proposeConfChange("votes in the place of another", id, raftpb.ConfChangeType_ConfChangeAddNode, gone)
			} else {
				n.proposeConfChange("votes as well", id, raftpb.ConfChangeType_ConfChangeAddNode)
			}
		}
		return
	}
	if gone == 0 && !n.tooFewVoters() || 2*active <= len(n.conf.GetVoters()) {
		return
	}
	zones := map[string]int{}
	for _, id := range n.conf.GetVoters() {
		if member := n.memberByIdentity(id); member != nil && id != gone {
			zones[member.Zone]++
		}
	}
	var candidate *Member
	for _, member := range n.members.All() {
		if member.Standing == Joined && member.Identity != 0 && n.roleOf(member.Identity) == roleNone && !n.retiring[member.Name] && (candidate == nil || zones[member.Zone] < zones[candidate.Zone]) {
			candidate = member
		}
	}
	if candidate == nil {
		return
	}
	n.voterChange.learnerSince = n.now
	n.proposeConfChange("is brought up to vote", candidate.Identity, raftpb.ConfChangeType_ConfChangeAddLearnerNode)
}

// Retire names gateways that are about to go for a while, in place of those named before: who of them votes has its vote taken over by
// another first, and who of them leads hands over.
func (n *Node) Retire(names []string) {
	clear(n.retiring)
	for _, name := range names {
		n.retiring[name] = true
	}
	if n.retiring[n.settings.Name] && n.isLeader() && n.raft.BasicStatus().LeadTransferee == 0 {
		n.transferLeadership()
	}
}

// few tells whether fewer vote than are to, as after a majority was lost for good. None is added beside one that is gone: of the two
// that would then vote one alone is no majority.
func (n *Node) tooFewVoters() bool {
	target := n.settings.Votes
	if target == 0 {
		target = len(n.settings.Founders)
	}
	return len(n.conf.GetVoters()) < target && len(n.voterChange.goneSince) == 0 && n.now >= n.voterChange.leaderSince+n.settings.Lease
}

// welcome makes a snapshot for one that is brought up: it names it, without which it could not be taken, and holds the state as
// it is now. The log from its beginning would have it live through grants long past.
func (n *Node) snapshotForLearner() {
	if !n.isLeader() || len(n.conf.GetLearners()) == 0 {
		return
	}
	if snapshot, err := n.storage.CreateSnapshot(n.applied, n.conf, n.encodeState()); err == nil {
		n.save(Record{Snapshot: snapshot, Compact: initialIndex}, nil)
	}
}

// of is the member whose store an identity is; nil where its store is lost, or its name is forgotten.
func (n *Node) memberByIdentity(id uint64) *Member {
	for _, member := range n.members.All() {
		if member.Identity == id {
			return member
		}
	}
	return nil
}

func (n *Node) proposeConfChange(description string, id uint64, changeType raftpb.ConfChangeType, remove ...uint64) {
	confChange := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &changeType, NodeId: &id}}}
	for _, removedID := range remove {
		removeNode := raftpb.ConfChangeType_ConfChangeRemoveNode
		confChange.Changes = append(confChange.Changes, &raftpb.ConfChangeSingle{Type: &removeNode, NodeId: &removedID})
	}
	n.voterChange.proposedAt = n.now
	if err := n.raft.ProposeConfChange(confChange); err != nil {
		return
	}
	n.logInfo("council: "+description, "name", n.nameOf(id), "voters", len(n.conf.GetVoters()))
}

// removed is word that this identity votes no more. It is over for good: who had it follows, as somebody else.
func (n *Node) handleRemoved(from string, f Frame) {
	if len(f.Voters) == 0 {
		if n.raft != nil && n.conf != nil && n.roleOf(f.ID) == roleNone {
			n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.Voters, Applied: n.applied})
		}
		return
	}
	if n.raft == nil || n.onSaved != nil || slices.Contains(f.Voters, n.id.ID) || f.Applied < n.applied || n.isLeader() {
		return
	}
	n.logInfo("this gateway's vote was given to another while it was away: it follows, as somebody else")
	n.resetIdentity(&raftpb.ConfState{Voters: f.Voters}, nil)
}

// anew has this gateway give up its identity, and all that its store holds of the log: from now on it follows, as somebody else.
func (n *Node) resetIdentity(conf *raftpb.ConfState, founding *Founding) {
	n.id = Identity{ID: n.randomID(), Name: n.settings.Name}
	n.raft, n.storage, n.leader, n.upstream, n.storeCheck, n.revokedReason = nil, nil, "", "", nil, ""
	n.conf = conf
	n.applied, n.readIndex = 0, readIndexState{lastSeq: n.readIndex.lastSeq}
	n.incarnation, n.seq, n.joinAt = 0, 0, n.now // its store is another, so it joins as another
	n.nonce += 2
	n.starts = 1
	for _, pending := range n.pending { // they may have been agreed: under another incarnation they would count once more
		if pending.token != 0 {
			n.emit(Outcome{Token: pending.token, Err: ErrGivenUp})
		}
	}
	n.pending = nil
	if founding != nil {
		n.founding = founding
	}
	n.save(Record{Identity: &n.id, Starts: n.starts, Founding: founding, Anew: true}, nil)
}
