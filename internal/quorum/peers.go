package quorum

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/codec"
)

// maxLogBatch limits the bytes of log entries sent to a follower at a time. It asks for more once it has them, so
// other peers are not delayed by it.
const maxLogBatch = 256 << 10

// handleFrame processes a frame from a peer.
func (n *Node) handleFrame(from string, f Frame) {
	if from == n.settings.Name && f.Kind != KindYield {
		return
	}
	if n.founding != nil && f.Cluster != 0 && f.Cluster != n.founding.Cluster {
		switch {
		case f.Kind == KindFounding && f.Founding != nil && slices.Contains(f.Founding.Predecessors, n.founding.Cluster):
			n.joinSuccessorFleet(f.Founding)
			return
		case slices.Contains(n.founding.Predecessors, f.Cluster):
			n.send(from, Frame{Kind: KindFounding, Founding: n.founding})
			return
		}
		if !n.foreignPeers[from] && len(n.foreignPeers) < n.settings.MaxMembers {
			n.foreignPeers[from] = true
			n.logInfo("a peer belongs to another fleet: its frames are ignored", "name", from)
		}
		return
	}
	if len(n.peerNames) < n.settings.MaxMembers || n.peerNames[f.ID] != "" {
		n.peerNames[f.ID] = from
	}
	switch f.Kind {
	case KindHello:
		n.handleHello(from, f)
	case KindFounding:
		n.adoptFounding(f)
	case KindRaft:
		n.handleRaftMessage(from, f)
	case KindPropose:
		n.handleForwarded(from, f)
	case KindRenew:
		n.handleRenewals(from, f)
	case KindLog:
		n.handleLog(from, f)
	case KindRemoved:
		n.handleRemoved(from, f)
	case KindYield:
		if f.Nonce == n.nonce {
			n.yieldToNewer()
		}
	case KindReadIndex:
		n.handleReadIndex(from, f)
	case KindReadIndexReply:
		if f.Nonce == n.nonce {
			n.handleReadIndexReply(f.EchoNonce, f.Applied)
		}
	case KindStoreQuery:
		n.answerStoreQuery(from, f)
	case KindStoreReply:
		n.handleStoreReply(from, f)
	}
}

// joinSuccessorFleet joins the fleet that an operator recovered from a store of this one.
func (n *Node) joinSuccessorFleet(f *Founding) {
	if n.broken || n.onSaved != nil {
		return
	}
	n.logInfo("an operator replaced this fleet by another: this gateway joins that one under a new identity")
	n.resetIdentity(nil, f)
}

// handleHello handles the greeting of a peer. A fleet is founded once all founders have reported empty stores to this
// very process; a member of a fleet passes its founding on to gateways that belong to none.
func (n *Node) handleHello(from string, f Frame) {
	if n.founding != nil {
		if f.Cluster == 0 {
			n.send(from, Frame{Kind: KindFounding, Founding: n.founding})
		}
		return
	}
	if f.EchoNonce == n.nonce && f.Cluster == 0 && slices.Contains(n.settings.Founders, from) {
		n.emptyFounders[from] = founderHello{id: f.ID, heardAt: n.now}
		n.foundFleet()
	} else if f.EchoNonce != n.nonce {
		n.send(from, Frame{Kind: KindHello, Nonce: n.nonce, EchoNonce: f.Nonce})
	}
}

// foundFleet founds a fleet. Only the founder whose name sorts first does, and only when all others have recently
// answered it that their stores are empty: a founder that lost its store finds that the others have kept theirs.
func (n *Node) foundFleet() {
	names := slices.Sorted(slices.Values(n.settings.Founders))
	if len(names) == 0 || names[0] != n.settings.Name || n.founding != nil || n.onSaved != nil || n.broken {
		return
	}
	voters := map[string]uint64{n.settings.Name: n.id.ID}
	for _, name := range names[1:] {
		h, ok := n.emptyFounders[name]
		if !ok || n.now > h.heardAt+n.settings.Election {
			return
		}
		voters[name] = h.id
	}
	n.logInfo("fleet founded", "voters", names)
	n.adoptFounding(Frame{Founding: &Founding{Cluster: n.randomID(), Voters: voters}}) // the others get it once it is synced
}

// adoptFounding joins a fleet: as one of its first voters, or as a follower.
func (n *Node) adoptFounding(f Frame) {
	if n.founding != nil || f.Founding == nil || f.Founding.Cluster == 0 || n.broken {
		return
	}
	n.founding = f.Founding
	if f.Founding.Voters[n.settings.Name] != n.id.ID {
		n.save(Record{Founding: n.founding}, nil)
		return
	}
	index, term, members := uint64(initialIndex), uint64(1), newMembers(n.settings.MaxMembers)
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Values(f.Founding.Voters))}
	snapshot := &raftpb.Snapshot{Data: codec.Encode(replicatedState{Members: members.Save()}), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}}
	store := Store{Identity: n.id, Founding: n.founding, Snapshot: snapshot, HardState: &raftpb.HardState{Term: &term, Commit: &index}}
	n.save(Record{Founding: n.founding, Snapshot: snapshot, HardState: store.HardState}, func() {
		if err := n.startRaft(store); err != nil {
			n.broken = true
			n.logInfo("raft can't start: this gateway does not vote until it is restarted", "error", err)
		}
		for _, name := range slices.Sorted(maps.Keys(n.founding.Voters)) {
			n.send(name, Frame{Kind: KindFounding, Founding: n.founding})
		}
	})
}

// handleRaftMessage passes a message on to raft.
func (n *Node) handleRaftMessage(from string, f Frame) {
	var m raftpb.Message
	if n.broken || n.founding == nil || proto.Unmarshal(f.Data, &m) != nil || m.GetTo() != n.id.ID || m.GetFrom() != f.ID {
		return
	}
	if t := m.GetType(); n.raft != nil && n.roleOf(f.ID) == roleNone && (t == raftpb.MessageType_MsgPreVote || t == raftpb.MessageType_MsgVote) {
		// Either the sender was replaced while it was away, and learns so from this answer; or this gateway lags, and
		// its vote counts all the same.
		n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.GetVoters(), Applied: n.applied})
	}
	if n.raft == nil {
		// The leader has added this follower as a learner.
		if t := m.GetType(); t != raftpb.MessageType_MsgApp && t != raftpb.MessageType_MsgSnap && t != raftpb.MessageType_MsgHeartbeat || n.onSaved != nil {
			return
		}
		n.applied, n.readIndex = 0, readIndexState{lastSeq: n.readIndex.lastSeq}
		if n.startRaft(Store{}) != nil {
			return
		}
	}
	n.noteHighWaterMark(&m)
	term := n.raft.BasicStatus().GetTerm()
	if n.raft.Step(&m) != nil {
		return
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if m.GetTerm() >= term {
			n.resetElectionTimer()
		}
	case raftpb.MessageType_MsgVote, raftpb.MessageType_MsgTimeoutNow:
		if m.GetTerm() > term {
			n.electionAt = max(n.electionAt, n.now+n.settings.Election*(0.5+n.rng.Float64()))
		}
	}
}

// propose queues a command of this gateway. It is sent until it is committed.
func (n *Node) propose(p Propose) {
	switch {
	case n.yielded || n.left:
		n.emit(Outcome{Token: p.Token, Err: ErrYielded})
		return
	case len(n.pending) >= n.settings.MaxPending:
		n.emit(Outcome{Token: p.Token, Err: ErrBusy})
		return
	case len(p.Command.Data) > maxCommandSize:
		n.emit(Outcome{Token: p.Token, Err: ErrLarge})
		return
	}
	pending := &proposal{token: p.Token, command: p.Command, sentAt: math.Inf(-1), deadline: n.now + proposalTimeoutMS}
	if n.incarnation != 0 {
		n.seq++
		pending.command.From, pending.command.Seq = n.incarnation, n.seq
	}
	n.pending = append(n.pending, pending)
}

// sendPending sends pending commands that are due. A command that is committed ahead of an earlier one is not
// applied, and is sent again.
func (n *Node) sendPending() {
	var due []Command
	for _, p := range n.pending {
		if n.now >= p.expiresAt() {
			// Its sequence number must be used up, as later commands wait for it.
			n.emit(Outcome{Token: p.token, Err: ErrGivenUp})
			p.token, p.command = 0, Command{From: p.command.From, Seq: p.command.Seq, StateMachine: membersStateMachine, Kind: cmdNoop}
		}
	}
	if n.incarnation == 0 || n.onSaved != nil && n.isLeader() {
		return
	}
	if n.outOfOrder && n.now >= n.reorderAt {
		// A command was lost on its way. If it waited for its regular retry, new commands would be committed ahead of
		// it again and again, and none of them be applied.
		n.outOfOrder, n.reorderAt = false, n.now+n.settings.Heartbeat
		for _, p := range n.pending {
			p.sentAt = math.Inf(-1)
		}
	}
	for _, p := range n.pending {
		if n.now < p.sentAt+n.settings.Retry {
			continue
		}
		due = append(due, p.command)
		p.sentAt = n.now
		if len(due) == 64 {
			break
		}
	}
	if len(due) > 0 {
		n.forward(due)
	}
}

// forward proposes commands at the leader, or sends them to it: directly from a voter, by way of the upstream voter
// from a follower.
func (n *Node) forward(commands []Command) {
	switch {
	case n.isLeader():
		for _, c := range commands {
			if len(c.Data) <= maxCommandSize { // not checked yet when a peer forwarded it
				n.raft.Propose(codec.Encode(c))
			}
		}
	case n.raft != nil:
		n.send(n.leader, Frame{Kind: KindPropose, Commands: commands})
	default:
		n.send(n.upstream, Frame{Kind: KindPropose, Commands: commands})
	}
}

// handleForwarded handles commands of another gateway: the leader proposes them, another voter passes those of a
// follower on to the leader.
func (n *Node) handleForwarded(from string, f Frame) {
	if n.isLeader() {
		n.forward(f.Commands)
	} else if n.raft != nil && f.FromFollower {
		n.send(n.leader, Frame{Kind: KindPropose, Commands: f.Commands})
	}
}

// proposeJoin proposes the join of this process until the log has assigned an incarnation.
func (n *Node) proposeJoin() {
	if n.incarnation != 0 || n.founding == nil || n.left {
		if n.incarnation != 0 {
			n.joinAt = math.Inf(1)
		}
		return
	}
	id := n.id.ID
	if n.broken || n.settings.Diskless {
		id = 0
	}
	previous := uint64(0)
	if m := n.members.Names[n.settings.Name]; m != nil {
		previous = m.Incarnation
	}
	n.forward([]Command{{StateMachine: membersStateMachine, Kind: cmdJoin, Data: codec.Encode(Member{Name: n.settings.Name, Zone: n.settings.Zone, Address: n.settings.Address,
		Nonce: n.nonce, Identity: id, Incarnation: previous, RunsOwnedWork: n.settings.RunsOwnedWork, Starts: n.starts})}})
}

// leave announces that this process ends, and transfers a leadership.
func (n *Node) leave() {
	if n.left || n.incarnation == 0 {
		n.left = true
		return
	}
	// Proposed first: raft drops proposals during a leadership transfer.
	n.forward([]Command{{StateMachine: membersStateMachine, Kind: cmdLeave, Data: codec.Encode(Member{Name: n.settings.Name, Incarnation: n.incarnation})}})
	n.transferLeadership()
	n.left = true
}

// renew renews the lease of this gateway: a voter sends the leader all renewals it has collected, a follower sends
// its own to its upstream voter. A gateway that belongs to no fleet sends a KindHello to all known peers.
func (n *Node) renew() {
	if n.founding == nil {
		for _, name := range slices.Sorted(maps.Keys(n.settings.Peers)) {
			n.send(name, Frame{Kind: KindHello, Nonce: n.nonce})
		}
		n.foundFleet() // a single founder gets no KindHello
		return
	}
	own := Renewal{Incarnation: n.incarnation, Name: n.settings.Name}
	if n.left || n.yielded {
		own.Incarnation = 0
	}
	if n.raft == nil {
		n.pickUpstream()
		n.send(n.upstream, Frame{Kind: KindRenew, Nonce: n.nonce, Applied: n.applied, Renewals: []Renewal{own}})
		return
	}
	if own.Incarnation != 0 {
		n.pendingRenewals[own.Incarnation] = own
	}
	if n.isLeader() {
		n.checkLeases()
	} else if n.leader != "" {
		f := Frame{Kind: KindRenew, Nonce: n.nonce}
		for _, inc := range slices.Sorted(maps.Keys(n.pendingRenewals)) {
			f.Renewals = append(f.Renewals, n.pendingRenewals[inc])
		}
		n.send(n.leader, f)
	}
	clear(n.pendingRenewals)
}

// pickUpstream chooses the voter to follow: spread by a hash of the name, and the next one when the last did not
// answer.
func (n *Node) pickUpstream() {
	if n.upstream != "" && n.now < n.upstreamHeardAt+n.settings.Lease/2 {
		return
	}
	voters := n.conf.GetVoters()
	if len(voters) == 0 { // it has not received any of the log yet
		voters = slices.Sorted(maps.Values(n.founding.Voters))
	}
	var names []string
	for _, id := range voters {
		if name := n.nameOf(id); name != "" && name != n.settings.Name {
			names = append(names, name)
		}
	}
	if slices.Sort(names); len(names) == 0 || n.applied == 0 && n.upstreamPicks > 2*len(names) { // all founders may be gone by now
		names = slices.Sorted(maps.Keys(n.settings.Peers))
	}
	if len(names) == 0 {
		return
	}
	n.upstreamPicks++
	n.upstream, n.upstreamHeardAt = names[(int(xxhash.Sum64String(n.settings.Name)%1024)+n.upstreamPicks)%len(names)], n.now
}

// handleRenewals handles lease renewals. The leader records them, another voter collects them for the leader. A
// follower gets the next part of the log in return.
func (n *Node) handleRenewals(from string, f Frame) {
	if n.raft == nil {
		return
	}
	for _, r := range f.Renewals {
		if r.Incarnation == 0 {
			continue
		}
		if m := n.members.Names[from]; f.FromFollower && m != nil && r.Incarnation < m.Incarnation {
			n.send(from, Frame{Kind: KindYield, Nonce: f.Nonce})
		}
		if n.isLeader() {
			n.noteRenewal(r)
		} else {
			n.pendingRenewals[r.Incarnation] = r
		}
	}
	if f.FromFollower && n.onSaved == nil {
		n.sendLog(from, f.Applied)
	}
}

// noteRenewal records at the leader that an incarnation renewed its lease.
func (n *Node) noteRenewal(r Renewal) {
	n.lastRenewal[r.Incarnation] = n.now
	m := n.members.Names[r.Name]
	switch {
	case m == nil:
	case r.Incarnation < m.Incarnation && r.Incarnation > m.DuplicateIncarnation:
		n.proposeOnce(cmdDoubled, Member{Name: m.Name, Incarnation: r.Incarnation})
	case r.Incarnation == m.Incarnation && m.State == MemberSilent:
		n.proposeOnce(cmdReturn, Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
	}
}

// proposeOnce proposes a command of the leader about a member, and does not repeat it within one election timeout.
func (n *Node) proposeOnce(kind string, m Member) {
	key := leaderProposal{m.Incarnation, kind}
	if at, ok := n.proposedByLeader[key]; ok && n.now < at+n.settings.Election {
		return
	}
	n.proposedByLeader[key] = n.now
	n.raft.Propose(codec.Encode(Command{StateMachine: membersStateMachine, Kind: kind, Data: codec.Encode(m)}))
}

// checkLeases proposes at the leader that members with expired leases are silent. Nothing else does.
func (n *Node) checkLeases() {
	if n.incarnation != 0 && !n.left {
		n.lastRenewal[n.incarnation] = n.now
	}
	for incarnation := range n.pendingRenewals {
		n.lastRenewal[incarnation] = n.now
	}
	for _, member := range n.members.All() {
		renewedAt, ok := n.lastRenewal[member.Incarnation]
		if !ok {
			n.lastRenewal[member.Incarnation], renewedAt = n.now, n.now
		}
		if member.State == MemberJoined && n.now > renewedAt+n.settings.Lease {
			n.proposeOnce(cmdSilent, Member{Name: member.Name, Incarnation: member.Incarnation, Since: member.Since})
		}
	}
	for incarnation := range n.lastRenewal {
		if n.members.ByIncarnation(incarnation) == nil {
			delete(n.lastRenewal, incarnation)
		}
	}
	n.replaceVoters()
	for key, proposedAt := range n.proposedByLeader {
		if n.now > proposedAt+2*n.settings.Election {
			delete(n.proposedByLeader, key)
		}
	}
}

// sendLog sends a follower the next part of the log, or a snapshot when the log has been compacted beyond that.
func (n *Node) sendLog(follower string, previousIndex uint64) {
	f := Frame{Kind: KindLog, Leader: n.leader, Applied: n.applied, PreviousIndex: previousIndex, Voters: n.conf.GetVoters()}
	first, _ := n.storage.FirstIndex()
	switch {
	case previousIndex > n.applied:
		return // this gateway itself lags, as after a start: its snapshot would set the follower back. The follower finds another upstream
	case previousIndex+1 < first:
		f.Snapshot = n.encodeState()
	case previousIndex < n.applied:
		entries, err := n.storage.Entries(previousIndex+1, n.applied+1, maxLogBatch)
		if err != nil {
			return
		}
		for _, e := range entries {
			data := e.Data
			if e.GetType() != raftpb.EntryType_EntryNormal {
				data = nil
			}
			f.Entries = append(f.Entries, data)
		}
	}
	n.send(follower, f)
}

// handleLog applies the next part of the log at a follower.
func (n *Node) handleLog(from string, f Frame) {
	if n.raft != nil || from != n.upstream || n.founding == nil || f.PreviousIndex != n.applied {
		return
	}
	n.upstreamHeardAt = n.now
	if len(f.Voters) > 0 {
		n.conf = &raftpb.ConfState{Voters: f.Voters}
	}
	if f.Leader != n.leader {
		n.leader = f.Leader
		n.logInfo("leader", "name", n.leader, "by", from)
	}
	if len(f.Snapshot) > 0 {
		if n.restoreState(f.Snapshot, f.Applied) != nil {
			n.applied, n.readIndex = 0, readIndexState{lastSeq: n.readIndex.lastSeq} // it may be restored in part only: start over
			return
		}
	} else {
		for _, data := range f.Entries {
			n.applyCommand(n.applied+1, data)
		}
	}
	if n.applied < f.Applied {
		n.renewAt = n.now // ask for the rest at once
	}
}

// discardLogger discards raft's own log lines; what matters is logged by this package. It panics where raft does on
// an impossible state; the driver treats the panic like a broken store.
type discardLogger struct{}

func (discardLogger) Debug(...any)                 {}
func (discardLogger) Debugf(string, ...any)        {}
func (discardLogger) Error(...any)                 {}
func (discardLogger) Errorf(string, ...any)        {}
func (discardLogger) Info(...any)                  {}
func (discardLogger) Infof(string, ...any)         {}
func (discardLogger) Warning(...any)               {}
func (discardLogger) Warningf(string, ...any)      {}
func (discardLogger) Fatal(v ...any)               { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(form string, v ...any) { panic(fmt.Sprintf(form, v...)) }
func (discardLogger) Panic(v ...any)               { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(form string, v ...any) { panic(fmt.Sprintf(form, v...)) }
