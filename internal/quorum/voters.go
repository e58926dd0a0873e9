package quorum

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// voterChange is a leader's state for changes of the voter set. It makes one change at a time, and none before it has
// led for as long as a voter must be gone, so that a restart of the whole fleet replaces no voter.
type voterChange struct {
	leaderSince  float64
	goneSince    map[uint64]float64 // when each unreachable voter was first found gone, by identity
	proposedAt   float64            // when the last change was proposed
	learnerSince float64            // when the current learner was added
}

// voterRole is the role of an identity in the raft configuration.
type voterRole int

// The roles. In a joint configuration an outgoing voter is still a voter.
const (
	roleNone voterRole = iota
	roleLearner
	roleVoter
)

// roleOf returns the role of an identity in the current configuration.
func (n *Node) roleOf(id uint64) voterRole {
	switch {
	case slices.Contains(n.conf.GetVoters(), id) || slices.Contains(n.conf.GetVotersOutgoing(), id):
		return roleVoter
	case slices.Contains(n.conf.GetLearners(), id) || slices.Contains(n.conf.GetLearnersNext(), id):
		return roleLearner
	}
	return roleNone
}

// replaceVoters replaces a voter that has been gone for long: another gateway is added as a learner, and is promoted
// in the same joint configuration change that removes the old voter. Nothing is proposed unless a majority of the
// voters is active without the one that is gone, as the change itself needs a majority.
func (n *Node) replaceVoters() {
	if n.settings.ReplaceAfter <= 0 || !n.isLeader() || len(n.conf.GetVotersOutgoing()) > 0 || n.now < n.voterChange.proposedAt+n.settings.Election {
		return
	}
	progress := n.raft.Status().Progress
	active := 0
	if n.voterChange.goneSince == nil {
		n.voterChange.goneSince = map[uint64]float64{}
	}
	var outgoing uint64
	for _, id := range n.conf.GetVoters() {
		member := n.memberByIdentity(id)
		if id == n.id.ID || member != nil && member.State == MemberJoined && progress[id].RecentActive {
			active++
			delete(n.voterChange.goneSince, id)
			if outgoing == 0 && id != n.id.ID && n.retiring[member.Name] {
				outgoing = id // still active, but about to go down: its vote is moved first
			}
			continue
		}
		since, known := n.voterChange.goneSince[id]
		if !known {
			n.voterChange.goneSince[id], since = n.now, n.now
		}
		if outgoing == 0 && n.now >= max(since, n.voterChange.leaderSince)+n.settings.ReplaceAfter {
			outgoing = id
		}
	}
	if learners := n.conf.GetLearners(); len(learners) > 0 {
		id := learners[0]
		member := n.memberByIdentity(id)
		learnerProgress := progress[id]
		switch {
		case member == nil || member.State != MemberJoined || outgoing == 0 && !n.tooFewVoters() || n.now > n.voterChange.learnerSince+4*n.settings.ReplaceAfter:
			// The learner is gone, or the voter it was to replace is back.
			n.proposeConfChange("learner removed", id, raftpb.ConfChangeType_ConfChangeRemoveNode)
		case 2*active > len(n.conf.GetVoters()) && learnerProgress.Match+16 > n.applied && learnerProgress.Match > 0:
			if outgoing != 0 {
				n.proposeConfChange("learner replaces a voter", id, raftpb.ConfChangeType_ConfChangeAddNode, outgoing)
			} else {
				n.proposeConfChange("learner becomes a voter", id, raftpb.ConfChangeType_ConfChangeAddNode)
			}
		}
		return
	}
	if outgoing == 0 && !n.tooFewVoters() || 2*active <= len(n.conf.GetVoters()) {
		return
	}
	zones := map[string]int{}
	for _, id := range n.conf.GetVoters() {
		if member := n.memberByIdentity(id); member != nil && id != outgoing {
			zones[member.Zone]++
		}
	}
	var candidate *Member
	for _, member := range n.members.All() {
		if member.State == MemberJoined && member.Identity != 0 && n.roleOf(member.Identity) == roleNone && !n.retiring[member.Name] && (candidate == nil || zones[member.Zone] < zones[candidate.Zone]) {
			candidate = member
		}
	}
	if candidate == nil {
		return
	}
	n.voterChange.learnerSince = n.now
	n.proposeConfChange("learner added", candidate.Identity, raftpb.ConfChangeType_ConfChangeAddLearnerNode)
}

// Retire names the gateways that are about to go down for a while, replacing the names given before. The vote of a
// retiring voter is moved to another gateway first, and a retiring leader transfers its leadership.
func (n *Node) Retire(names []string) {
	clear(n.retiring)
	for _, name := range names {
		n.retiring[name] = true
	}
	if n.retiring[n.settings.Name] && n.isLeader() && n.raft.BasicStatus().LeadTransferee == 0 {
		n.transferLeadership()
	}
}

// tooFewVoters reports whether the fleet has fewer voters than configured, as after the loss of a majority. No voter
// is added while another one is gone: of the resulting two voters, one alone is no majority.
func (n *Node) tooFewVoters() bool {
	target := n.settings.TargetVoters
	if target == 0 {
		target = len(n.settings.Founders)
	}
	return len(n.conf.GetVoters()) < target && len(n.voterChange.goneSince) == 0 && n.now >= n.voterChange.leaderSince+n.settings.Lease
}

// snapshotForLearner takes a snapshot when a learner is added. The learner has to be in the snapshot's configuration,
// or raft would refuse to install it there, and the snapshot holds the current state: replaying the log from its
// beginning would take the learner through grants that are long over.
func (n *Node) snapshotForLearner() {
	if !n.isLeader() || len(n.conf.GetLearners()) == 0 {
		return
	}
	if snapshot, err := n.storage.CreateSnapshot(n.applied, n.conf, n.encodeState()); err == nil {
		n.save(Record{Snapshot: snapshot, Compact: initialIndex}, nil)
	}
}

// memberByIdentity returns the member whose store has the identity; nil when that store was lost or the member's name
// was evicted.
func (n *Node) memberByIdentity(id uint64) *Member {
	for _, member := range n.members.All() {
		if member.Identity == id {
			return member
		}
	}
	return nil
}

// proposeConfChange proposes a change of one identity's role, along with the removal of others.
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
	n.logInfo("voter change: "+description, "name", n.nameOf(id), "voters", len(n.conf.GetVoters()))
}

// handleRemoved handles KindRemoved. Without voters it is a question whether the sender still has a role in the
// configuration, and is answered only when it has none. With voters it tells this gateway that its vote was given to
// another one: the identity is void for good, and the gateway follows under a new one.
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
	n.logInfo("this gateway's vote was given to another gateway while it was away: it follows under a new identity")
	n.resetIdentity(&raftpb.ConfState{Voters: f.Voters}, nil)
}

// resetIdentity drops this gateway's identity and all that its store holds of the log. From then on it follows under
// a new identity.
func (n *Node) resetIdentity(conf *raftpb.ConfState, founding *Founding) {
	n.id = Identity{ID: n.randomID(), Name: n.settings.Name}
	n.raft, n.storage, n.leader, n.upstream, n.storeCheck, n.revokedReason = nil, nil, "", "", nil, ""
	n.conf = conf
	n.applied, n.readIndex = 0, readIndexState{lastSeq: n.readIndex.lastSeq}
	n.incarnation, n.seq, n.joinAt = 0, 0, n.now // with a new store identity it has to join again
	n.nonce += 2
	n.starts = 1
	for _, pending := range n.pending { // these may have been committed: proposed under another incarnation they would be applied twice
		if pending.token != 0 {
			n.emit(Outcome{Token: pending.token, Err: ErrGivenUp})
		}
	}
	n.pending = nil
	if founding != nil {
		n.founding = founding
	}
	n.save(Record{Identity: &n.id, Starts: n.starts, Founding: founding, Reset: true}, nil)
}
