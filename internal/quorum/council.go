package quorum

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// council is what a leader has in hand of who votes: one change at a time, and none before it has led for as long as a voter
// must be gone, so that a restart of all replaces nobody.
type council struct {
	began float64
	gone  map[uint64]float64 // since when each voter is, by identity
	asked float64            // when the last change was asked for
	since float64            // when the one that is brought up was begun with
}

// part is what an identity has in the council.
type part int

const (
	none part = iota
	learns
	votes
)

func (n *Node) votes(id uint64) part {
	switch {
	case slices.Contains(n.conf.GetVoters(), id) || slices.Contains(n.conf.GetVotersOutgoing(), id):
		return votes
	case slices.Contains(n.conf.GetLearners(), id) || slices.Contains(n.conf.GetLearnersNext(), id):
		return learns
	}
	return none
}

// choose replaces a voter that is gone for long: another is brought up without a vote, and gets it in the one act that takes it
// from the other. Never where a majority of those that vote is not there without it, as the change itself needs one.
func (n *Node) choose() {
	if n.set.Replace <= 0 || !n.leads() || len(n.conf.GetVotersOutgoing()) > 0 || n.now < n.council.asked+n.set.Election {
		return
	}
	progress := n.raft.Status().Progress
	here := 0
	if n.council.gone == nil {
		n.council.gone = map[uint64]float64{}
	}
	var gone uint64
	for _, id := range n.conf.GetVoters() {
		m := n.of(id)
		if id == n.id.ID || m != nil && m.Standing == Joined && progress[id].RecentActive {
			here++
			delete(n.council.gone, id)
			if gone == 0 && id != n.id.ID && n.retire[m.Name] {
				gone = id // it is there, and is about to go: another has its vote first
			}
			continue
		}
		at, known := n.council.gone[id]
		if !known {
			n.council.gone[id], at = n.now, n.now
		}
		if gone == 0 && n.now >= max(at, n.council.began)+n.set.Replace {
			gone = id
		}
	}
	if learners := n.conf.GetLearners(); len(learners) > 0 {
		id := learners[0]
		m := n.of(id)
		p := progress[id]
		switch {
		case m == nil || m.Standing != Joined || gone == 0 && !n.few() || n.now > n.council.since+4*n.set.Replace:
			// It went itself, or the one that it was to stand for is back.
			n.change("is not brought up any more", id, raftpb.ConfChangeType_ConfChangeRemoveNode)
		case 2*here > len(n.conf.GetVoters()) && p.Match+16 > n.applied && p.Match > 0:
			if gone != 0 {
				n.change("votes in the place of another", id, raftpb.ConfChangeType_ConfChangeAddNode, gone)
			} else {
				n.change("votes as well", id, raftpb.ConfChangeType_ConfChangeAddNode)
			}
		}
		return
	}
	if gone == 0 && !n.few() || 2*here <= len(n.conf.GetVoters()) {
		return
	}
	zones := map[string]int{}
	for _, id := range n.conf.GetVoters() {
		if m := n.of(id); m != nil && id != gone {
			zones[m.Zone]++
		}
	}
	var best *Member
	for _, m := range n.members.All() {
		if m.Standing == Joined && m.Identity != 0 && n.votes(m.Identity) == none && !n.retire[m.Name] && (best == nil || zones[m.Zone] < zones[best.Zone]) {
			best = m
		}
	}
	if best == nil {
		return
	}
	n.council.since = n.now
	n.change("is brought up to vote", best.Identity, raftpb.ConfChangeType_ConfChangeAddLearnerNode)
}

// Retire names gateways that are about to go for a while, in place of those named before: who of them votes has its vote taken over by
// another first, and who of them leads hands over.
func (n *Node) Retire(names []string) {
	clear(n.retire)
	for _, name := range names {
		n.retire[name] = true
	}
	if n.retire[n.set.Name] && n.leads() && n.raft.BasicStatus().LeadTransferee == 0 {
		n.handOver()
	}
}

// few tells whether fewer vote than are to, as after a majority was lost for good. None is added beside one that is gone: of the two
// that would then vote one alone is no majority.
func (n *Node) few() bool {
	want := n.set.Votes
	if want == 0 {
		want = len(n.set.Founders)
	}
	return len(n.conf.GetVoters()) < want && len(n.council.gone) == 0 && n.now >= n.council.began+n.set.Lease
}

// welcome makes a snapshot for one that is brought up: it names it, without which it could not be taken, and holds the state as
// it is now. The log from its beginning would have it live through grants long past.
func (n *Node) welcome() {
	if !n.leads() || len(n.conf.GetLearners()) == 0 {
		return
	}
	if s, err := n.log.CreateSnapshot(n.applied, n.conf, n.state()); err == nil {
		n.save(Record{Snapshot: s, Compact: initial}, nil)
	}
}

// of is the member whose store an identity is; nil where its store is lost, or its name is forgotten.
func (n *Node) of(id uint64) *Member {
	for _, m := range n.members.All() {
		if m.Identity == id {
			return m
		}
	}
	return nil
}

func (n *Node) change(what string, id uint64, how raftpb.ConfChangeType, remove ...uint64) {
	c := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: &how, NodeId: &id}}}
	for _, r := range remove {
		gone := raftpb.ConfChangeType_ConfChangeRemoveNode
		c.Changes = append(c.Changes, &raftpb.ConfChangeSingle{Type: &gone, NodeId: &r})
	}
	n.council.asked = n.now
	if err := n.raft.ProposeConfChange(c); err != nil {
		return
	}
	n.say("council: "+what, "name", n.name(id), "voters", len(n.conf.GetVoters()))
}

// removed is word that this identity votes no more. It is over for good: who had it follows, as somebody else.
func (n *Node) removed(from string, f Frame) {
	if len(f.Voters) == 0 {
		if n.raft != nil && n.conf != nil && n.votes(f.ID) == none {
			n.send(from, Frame{Kind: Removed, Voters: n.conf.Voters, Applied: n.applied})
		}
		return
	}
	if n.raft == nil || n.saving != nil || slices.Contains(f.Voters, n.id.ID) || f.Applied < n.applied || n.leads() {
		return
	}
	n.say("this gateway's vote was given to another while it was away: it follows, as somebody else")
	n.anew(&raftpb.ConfState{Voters: f.Voters}, nil)
}

// anew has this gateway give up its identity, and all that its store holds of the log: from now on it follows, as somebody else.
func (n *Node) anew(conf *raftpb.ConfState, founding *Founding) {
	n.id = Identity{ID: n.draw(), Name: n.set.Name}
	n.raft, n.log, n.leader, n.host, n.proof, n.spent = nil, nil, "", "", nil, ""
	n.conf = conf
	n.applied, n.sight = 0, sight{seq: n.sight.seq}
	n.inc, n.seq, n.joining = 0, 0, n.now // its store is another, so it joins as another
	n.nonce += 2
	n.starts = 1
	for _, p := range n.open { // they may have been agreed: under another incarnation they would count once more
		if p.token != 0 {
			n.do(Outcome{Token: p.token, Err: ErrGivenUp})
		}
	}
	n.open = nil
	if founding != nil {
		n.founded = founding
	}
	n.save(Record{Identity: &n.id, Starts: n.starts, Founding: founding, Anew: true}, nil)
}
