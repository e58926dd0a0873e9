package quorum

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/codec"
	"poppymill/internal/prng"
)

// Node is one gateway's part in the replicated log: a raft voter or learner, or a follower outside raft. It must be
// used by one goroutine only.
type Node struct {
	settings         Settings
	now              float64
	rng              prng.Source
	nonce            uint64 // drawn for this process
	id               Identity
	founding         *Founding
	raft             *raft.RawNode // nil: this gateway only follows
	storage          *raft.MemoryStorage
	conf             *raftpb.ConfState
	members          *Members
	stateMachines    map[string]StateMachine
	applied          uint64
	incarnation      uint64 // of this process; 0: not assigned yet
	seq              uint64
	joinAt           float64 // when the join is sent again
	pending          []*proposal
	outOfOrder       bool    // a command was committed before an earlier one of this process
	reorderAt        float64 // earliest time to send all pending commands again, in order, for that reason
	actions          []Action
	onSaved          func()  // continuation of the write in progress; nil: none is in progress
	saveStarted      float64 // when that write began
	diskHung         bool    // the write exceeds SlowDisk and was logged
	saveQueue        []func()
	broken           bool // the disk failed: it does not vote until restarted
	diskSlow         bool // the last sync exceeded SlowDisk: it does not lead
	yielded          bool // a newer process has joined under this name
	left             bool // this process has announced that it ends
	leader           string
	heartbeatAt      float64
	wasLeader        bool    // whether it led at the last call of runTimers
	electionAt       float64 // when it campaigns
	leaderHeardAt    float64 // when a leader was last heard
	leaderForgotten  bool    // whether raft was told to forget a silent leader
	renewAt          float64
	renewedAt        float64 // when it last renewed
	upstream         string  // the voter it follows
	upstreamHeardAt  float64
	upstreamPicks    int
	emptyFounders    map[string]founderHello    // founders that reported empty stores
	lastRenewal      map[uint64]float64         // at the leader: when each incarnation last renewed
	pendingRenewals  map[uint64]Renewal         // collected for the leader
	voterChange      voterChange                // at the leader: changes of the voter set
	proposedByLeader map[leaderProposal]float64 // at the leader: its proposals on members, and when they were made
	peerNames        map[uint64]string          // names of peers by identity: a lagging gateway may not know a new voter from the log
	foreignPeers     map[string]bool            // peers logged as members of another fleet
	retiring         map[string]bool            // gateways about to go down for a while
	starts           uint64                     // how often its store was opened, this process included
	highWaterMarks   map[uint64]HighWaterMark   // high-water marks of other stores, by identity
	storeCheck       *storeCheck                // its queries about its own store; it takes no part until they end
	readIndex        readIndexState             // how recent its view of the log is
	revokedReason    string                     // why its identity is void; it is dropped as soon as no write is in progress
}

// leaderProposal identifies a command that the leader proposes on its own.
type leaderProposal struct {
	incarnation uint64
	kind        string
}

// founderHello is the report of a founder that its store is empty.
type founderHello struct {
	id      uint64
	heardAt float64
}

// proposal is a command of this gateway that is not committed yet. Token is 0 once it was given up.
type proposal struct {
	token            uint64
	command          Command
	sentAt, deadline float64
}

// expiresAt is when a proposal is given up; once given up it has no deadline.
func (p *proposal) expiresAt() float64 {
	if p.token == 0 {
		return math.Inf(1)
	}
	return p.deadline
}

// Errors of commands that were not committed.
var (
	ErrGivenUp = errors.New("not agreed in time; it may still be")
	ErrLarge   = errors.New("the command is too large")
	ErrBusy    = errors.New("too many commands wait to be agreed")
	ErrYielded = errors.New("a newer process of this name is there")
)

// maxCommandSize limits the bytes of one command, so that a frame holds it along with others.
const maxCommandSize = 256 << 10

// proposalTimeoutMS is the time after which an uncommitted command is given up, in ms.
const proposalTimeoutMS = 15_000.0

// initialIndex is the log index at which every fleet begins, the same for all founders.
const initialIndex = 1

// New returns a node with the state of its store. Each process must draw a nonce of its own.
func New(settings Settings, store Store, stateMachines map[string]StateMachine, nonce uint64, now float64) (*Node, error) {
	n := &Node{settings: settings, now: now, rng: prng.Source((settings.Seed^nonce)>>1 | 1), nonce: nonce, id: store.Identity, founding: store.Founding,
		members: newMembers(settings.MaxMembers), stateMachines: stateMachines, emptyFounders: map[string]founderHello{}, lastRenewal: map[uint64]float64{},
		pendingRenewals: map[uint64]Renewal{}, proposedByLeader: map[leaderProposal]float64{}, peerNames: map[uint64]string{}, foreignPeers: map[string]bool{}, renewAt: now, joinAt: now,
		starts: store.Starts + 1, highWaterMarks: map[uint64]HighWaterMark{}, retiring: map[string]bool{}}
	maps.Copy(n.highWaterMarks, store.HighWaterMarks)
	n.rng.Uint32()
	if n.id.ID == 0 {
		n.id = Identity{ID: n.randomID(), Name: settings.Name}
		n.save(Record{Identity: &n.id, Starts: n.starts}, nil)
	} else if n.id.Name != settings.Name {
		return nil, fmt.Errorf("the store belongs to %q", n.id.Name)
	} else {
		n.save(Record{Starts: n.starts}, nil) // synced before anything is sent: of two copies of one store the log accepts only one
	}
	if store.Snapshot != nil || store.HardState != nil {
		if err := n.startRaft(store); err != nil {
			return nil, err
		}
		n.startStoreCheck()
	}
	return n, nil
}

// randomID returns a random number to be used as a unique identifier.
func (n *Node) randomID() uint64 { return uint64(n.rng.Uint32())<<31 | uint64(n.rng.Uint32())>>1 | 1 }

// startRaft starts raft with the state of the store.
func (n *Node) startRaft(store Store) error {
	n.storage = raft.NewMemoryStorage()
	if s := store.Snapshot; s != nil && s.GetMetadata().GetIndex() > 0 {
		if err := n.storage.ApplySnapshot(s); err != nil {
			return fmt.Errorf("store: snapshot: %w", err)
		}
		if err := n.restoreState(s.GetData(), s.GetMetadata().GetIndex()); err != nil {
			return fmt.Errorf("store: snapshot: %w", err)
		}
		n.conf = s.GetMetadata().GetConfState()
	}
	if store.HardState != nil {
		n.storage.SetHardState(store.HardState)
	}
	if err := n.storage.Append(store.Entries); err != nil {
		return fmt.Errorf("store: entries: %w", err)
	}
	r, err := raft.NewRawNode(&raft.Config{ID: n.id.ID, ElectionTick: max(5, int(n.settings.Election/n.settings.Heartbeat)), HeartbeatTick: 1,
		Storage: n.storage, Applied: n.applied, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20,
		MaxUncommittedEntriesSize: 4 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{}})
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.raft = r
	n.resetElectionTimer()
	return nil
}

// restoreState replaces all replicated state by that of a snapshot.
func (n *Node) restoreState(data []byte, index uint64) error {
	var state replicatedState
	if err := codec.Decode(data, &state); err != nil {
		return err
	}
	if err := n.members.Load(state.Members); err != nil {
		return err
	}
	for name, stateMachine := range n.stateMachines {
		saved, found := state.Books[name]
		if err := stateMachine.Load(saved); err != nil {
			return fmt.Errorf("state machine %s: %w", name, err)
		}
		if observer, ok := stateMachine.(MembershipObserver); ok && !found { // the snapshot was written before this state machine existed
			for _, m := range n.members.All() {
				observer.MemberChanged(index, *m)
			}
		}
	}
	n.applied = index
	n.emit(Restored{Index: index})
	if m := n.members.Names[n.settings.Name]; m != nil {
		n.ownMemberChanged(*m)
	}
	return nil
}

// replicatedState is the content of a snapshot: the state of all state machines.
type replicatedState struct {
	Members []byte            `cbor:"1,keyasint"`
	Books   map[string][]byte `cbor:"2,keyasint"`
}

// encodeState returns all replicated state as a snapshot.
func (n *Node) encodeState() []byte {
	state := replicatedState{Members: n.members.Save(), Books: map[string][]byte{}}
	for name, stateMachine := range n.stateMachines {
		state.Books[name] = stateMachine.Save()
	}
	return codec.Encode(state)
}

// Handle processes an event; nil only advances the time.
func (n *Node) Handle(now float64, e any) []Action {
	n.now = max(n.now, now)
	if r, ok := e.(Received); (n.storeCheck != nil || n.revokedReason != "") && ok && r.Frame.Kind != KindStoreQuery && r.Frame.Kind != KindStoreReply && r.Frame.Kind != KindFounding {
		e = nil // ignored until the store check has ended
	}
	switch e := e.(type) {
	case Received:
		n.handleFrame(e.From, e.Frame)
	case SendFailed:
		if id := n.voterID(e.To); n.raft != nil && id != 0 {
			n.raft.ReportUnreachable(id)
			n.raft.ReportSnapshot(id, raft.SnapshotFailure)
		}
		if e.To == n.upstream {
			n.upstream = ""
		}
	case Saved:
		n.handleSaved(e.Took)
	case DiskFailed:
		n.broken, n.onSaved, n.raft, n.saveQueue = true, nil, nil, nil
		n.logInfo("this gateway's store can't be written: it does not vote until it is restarted", "error", e.Err)
	case Propose:
		n.propose(e)
	case Leave:
		n.leave()
	}
	if n.revokedReason != "" && n.onSaved == nil {
		n.resetIdentity(n.conf, nil)
	}
	if n.storeCheck != nil && n.revokedReason == "" {
		n.runStoreCheck()
	}
	if n.storeCheck == nil && n.revokedReason == "" {
		n.runTimers()
		n.processReady()
	}
	n.advanceFreshness()
	actions := n.actions
	n.actions = nil
	return actions
}

// Next returns when Handle has to be called again at the latest.
func (n *Node) Next() float64 {
	if n.revokedReason != "" {
		return math.Inf(1) // the Saved event resumes it
	}
	if n.storeCheck != nil {
		return max(n.now, min(n.storeCheck.nextQuery, n.storeCheck.deadline))
	}
	due := min(n.nextRenewal(), n.joinAt)
	if n.raft != nil && n.onSaved == nil {
		if n.isLeader() {
			due = min(due, n.heartbeatAt)
		} else if due = min(due, n.electionAt); !n.leaderForgotten {
			due = min(due, n.leaderHeardAt+n.settings.Election)
		}
	}
	if n.onSaved != nil && !n.diskHung {
		due = min(due, n.saveStarted+n.settings.SlowDisk)
	}
	if n.raft != nil && n.onSaved != nil && n.isLeader() {
		due = min(due, n.heartbeatAt)
	}
	for _, p := range n.pending {
		if n.incarnation != 0 && (n.onSaved == nil || !n.isLeader()) {
			due = min(due, p.sentAt+n.settings.Retry)
		}
		due = min(due, p.expiresAt())
	}
	if at, ok := n.readIndexDue(); ok {
		due = min(due, at)
	}
	if n.outOfOrder && n.incarnation != 0 && (n.onSaved == nil || !n.isLeader()) {
		due = min(due, n.reorderAt)
	}
	return max(due, n.now)
}

// emit adds an action to those that Handle returns.
func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// logInfo emits a log line. Fields alternate between keys and values.
func (n *Node) logInfo(message string, fields ...any) {
	f := map[string]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		f[fields[i].(string)] = fields[i+1]
	}
	n.emit(Log{Text: message, Fields: f})
}

// send emits a frame to a peer.
func (n *Node) send(to string, f Frame) {
	if to == "" || to == n.settings.Name {
		return
	}
	f.ID, f.FromFollower = n.id.ID, n.raft == nil
	if n.founding != nil {
		f.Cluster = n.founding.Cluster
	}
	n.emit(Send{To: to, Frame: f})
}

// save writes a record, after those already queued, and calls onSaved once it is synced.
func (n *Node) save(record Record, onSaved func()) {
	if onSaved == nil {
		onSaved = func() {}
	}
	if n.onSaved != nil {
		n.saveQueue = append(n.saveQueue, func() { n.save(record, onSaved) })
		return
	}
	n.onSaved, n.saveStarted, n.diskHung = onSaved, n.now, false
	n.emit(Save{Record: record})
}

// handleSaved continues what waited for a write, and starts the next queued one.
func (n *Node) handleSaved(tookMS float64) {
	if n.onSaved == nil {
		return
	}
	if slow := tookMS > n.settings.SlowDisk; slow != n.diskSlow {
		n.diskSlow = slow
		if slow {
			n.logInfo("this gateway's disk is too slow to lead", "took_ms", math.Round(tookMS), "most_ms", n.settings.SlowDisk)
		}
	}
	onSaved := n.onSaved
	n.onSaved = nil
	onSaved()
	for n.onSaved == nil && len(n.saveQueue) > 0 {
		next := n.saveQueue[0]
		n.saveQueue = n.saveQueue[1:]
		next()
	}
}

// nextRenewal is when this gateway renews its lease next. A follower sees its commands committed only when it asks
// for more of the log, which it does along with its renewals: while commands are pending it renews at every beat.
func (n *Node) nextRenewal() float64 {
	if n.raft == nil && n.founding != nil && len(n.pending) > 0 {
		return min(n.renewAt, n.renewedAt+n.settings.Heartbeat)
	}
	return n.renewAt
}

// transferLeadership transfers the leadership to the active voter with the longest log.
func (n *Node) transferLeadership() {
	if !n.isLeader() {
		return
	}
	best, match := uint64(0), uint64(0)
	progress := n.raft.Status().Progress
	for _, id := range slices.Sorted(maps.Keys(progress)) {
		peerProgress := progress[id]
		if id != n.id.ID && !peerProgress.IsLearner && peerProgress.RecentActive && peerProgress.Match > match {
			best, match = id, peerProgress.Match
		}
	}
	if best != 0 {
		n.raft.TransferLeader(best)
	}
}

// IsLeader reports whether this gateway is the leader, as far as it knows.
func (n *Node) IsLeader() bool { return n.isLeader() }

// Incarnation returns that of this process; 0 before the log has assigned one, and after the process has left or
// yielded.
func (n *Node) Incarnation() uint64 {
	if n.yielded || n.left {
		return 0
	}
	return n.incarnation
}

// isLeader reports whether raft takes this gateway for the leader.
func (n *Node) isLeader() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// voterID returns the identity of the voter with that name; 0: there is none.
func (n *Node) voterID(name string) uint64 {
	for _, id := range n.conf.GetVoters() {
		if n.nameOf(id) == name {
			return id
		}
	}
	return 0
}

// nameOf returns the name that an identity belongs to, as far as known; empty: unknown.
func (n *Node) nameOf(id uint64) string {
	if m := n.memberByIdentity(id); m != nil {
		return m.Name
	}
	if n.founding != nil {
		for name, voter := range n.founding.Voters {
			if voter == id {
				return name
			}
		}
	}
	return n.peerNames[id]
}

// resetElectionTimer puts off the next election, as a leader was heard.
func (n *Node) resetElectionTimer() {
	n.leaderHeardAt, n.leaderForgotten = n.now, false
	n.electionAt = n.now + n.settings.Election*(1.1+n.rng.Float64())
}

// runTimers does what is due: heartbeats, elections, renewals, joins, retries, and read index requests.
func (n *Node) runTimers() {
	if n.onSaved != nil && !n.diskHung && n.now >= n.saveStarted+n.settings.SlowDisk {
		n.diskHung = true
		n.logInfo("write to this gateway's disk hangs", "for_ms", math.Round(n.now-n.saveStarted))
	}
	if n.raft != nil && (n.onSaved == nil || n.isLeader()) {
		if leads := n.isLeader(); leads && !n.wasLeader {
			// Heartbeats start now: those overdue from an earlier leadership would make it miss its quorum check at
			// once.
			n.heartbeatAt, n.wasLeader = n.now, true
		} else {
			n.wasLeader = leads
		}
		if n.isLeader() {
			// Ticks go on during a write, so that a hung disk costs the leadership. A process that was suspended
			// catches up only on as many ticks as it takes to find out that it has lost its quorum.
			for n.now >= n.heartbeatAt && n.isLeader() {
				if n.heartbeatAt += n.settings.Heartbeat; n.heartbeatAt < n.now-2*n.settings.Election {
					n.heartbeatAt = n.now
				}
				n.raft.Tick()
				if n.diskSlow && n.raft.BasicStatus().LeadTransferee == 0 {
					n.transferLeadership() // repeated, as no voter may have been active lately
				}
			}
			if n.isLeader() {
				n.resetElectionTimer()
			}
		} else {
			if n.now >= n.leaderHeardAt+n.settings.Election && !n.leaderForgotten {
				// Until now it refused votes to others, as raft does while the leader is alive.
				n.leaderForgotten = true
				n.raft.ForgetLeader()
			}
			if n.now >= n.electionAt {
				n.electionAt = n.now + n.settings.Election*(0.5+n.rng.Float64())
				if n.roleOf(n.id.ID) != roleVoter {
					// A learner, or a former voter, that hears no leader asks whether it still belongs to the
					// configuration.
					n.pickUpstream()
					n.send(n.upstream, Frame{Kind: KindRemoved})
				} else if !n.diskSlow {
					n.raft.Campaign()
				} else {
					// The last sync was slow, maybe long ago, or the process was suspended during it. It tries the
					// disk again, as otherwise nobody would campaign when all disks were slow once; and it asks
					// whether it is still a voter, which campaigning would show.
					n.save(Record{Starts: n.starts}, nil)
					n.pickUpstream()
					n.send(n.upstream, Frame{Kind: KindRemoved})
				}
			}
		}
	}
	if n.now >= n.nextRenewal() {
		n.renewAt, n.renewedAt = n.now+n.settings.Lease/6, n.now
		n.renew()
	}
	if n.now >= n.joinAt {
		n.joinAt = n.now + n.settings.Retry
		n.proposeJoin()
	}
	n.sendPending()
	n.pollReadIndex()
}

// processReady passes raft's output to the disk, and once that is synced to the peers and the state machines, until
// none is left.
func (n *Node) processReady() {
	for n.raft != nil && n.onSaved == nil && n.raft.HasReady() {
		ready := n.raft.Ready()
		if ready.SoftState != nil {
			n.setLeader(ready.SoftState.Lead)
		}
		record := Record{HardState: ready.HardState, Entries: ready.Entries}
		if len(record.Entries) > 0 {
			record.HighWaterMarks = maps.Clone(n.highWaterMarks) // stored along with writes that happen anyway
		}
		if ready.Snapshot != nil && ready.Snapshot.GetMetadata().GetIndex() > 0 {
			record.Snapshot = ready.Snapshot
		}
		done := func() { n.finishReady(ready, record) }
		if record.HardState == nil && len(record.Entries) == 0 && record.Snapshot == nil {
			done()
			continue
		}
		n.save(record, done)
	}
}

// finishReady applies raft's output after it was synced.
func (n *Node) finishReady(ready raft.Ready, record Record) {
	if n.raft == nil {
		return
	}
	if record.Snapshot != nil {
		if err := n.storage.ApplySnapshot(record.Snapshot); err == nil {
			if err := n.restoreState(record.Snapshot.GetData(), record.Snapshot.GetMetadata().GetIndex()); err != nil {
				n.broken, n.raft = true, nil
				n.logInfo("a snapshot can't be read: this gateway does not vote until it is restarted", "error", err)
				return
			}
			n.conf = record.Snapshot.GetMetadata().GetConfState()
		}
	}
	if record.HardState != nil {
		n.storage.SetHardState(record.HardState)
	}
	if err := n.storage.Append(record.Entries); err != nil {
		n.broken, n.raft = true, nil
		n.logInfo("entries don't fit the log: this gateway does not vote until it is restarted", "error", err)
		return
	}
	for _, m := range ready.Messages {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		n.send(n.nameOf(m.GetTo()), Frame{Kind: KindRaft, Data: b})
		if m.GetType() == raftpb.MessageType_MsgSnap {
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range ready.CommittedEntries {
		n.applyEntry(e)
	}
	for _, readState := range ready.ReadStates {
		n.readIndexConfirmed(readState.RequestCtx, readState.Index)
	}
	n.raft.Advance(ready)
	n.compact()
}

// applyEntry applies a committed entry.
func (n *Node) applyEntry(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChangeV2:
		var c raftpb.ConfChangeV2
		if proto.Unmarshal(e.Data, &c) == nil {
			n.conf = n.raft.ApplyConfChange(&c)
		}
		n.applied = e.GetIndex()
		n.snapshotForLearner()
	case raftpb.EntryType_EntryConfChange:
		var c raftpb.ConfChange
		if proto.Unmarshal(e.Data, &c) == nil {
			n.conf = n.raft.ApplyConfChange(&c)
		}
		n.applied = e.GetIndex()
	default:
		n.applyCommand(e.GetIndex(), e.Data)
	}
}

// applyCommand applies the command at an index. Its effect on replicated state must be a function of the log alone.
func (n *Node) applyCommand(index uint64, data []byte) {
	if index <= n.applied {
		return
	}
	n.applied = index
	if len(data) == 0 {
		return
	}
	var c Command
	if codec.Decode(data, &c) != nil {
		return
	}
	var result any
	if err := n.members.checkSequence(c); err != nil {
		result = err
	} else if c.StateMachine == membersStateMachine {
		result = n.members.Apply(index, c)
		n.memberChanged(c, result)
		if result == ErrOldStore {
			n.storeRejected(c)
		}
	} else if b := n.stateMachines[c.StateMachine]; b != nil {
		result = b.Apply(index, c)
	} else {
		result = ErrUnknown
	}
	n.outOfOrder = n.outOfOrder || result == ErrEarly && c.From == n.incarnation
	n.emit(Committed{Index: index, Command: c, Result: result})
	for i, p := range n.pending {
		if c.From == n.incarnation && c.Seq == p.command.Seq && c.From != 0 && result != ErrEarly {
			n.pending = slices.Delete(n.pending, i, i+1)
			if err, _ := result.(error); p.token != 0 {
				n.emit(Outcome{Token: p.token, Index: index, Result: result, Err: err})
			}
			break
		}
	}
}

// memberChanged notifies the observers of a changed member, and reacts to a change of this gateway itself.
func (n *Node) memberChanged(c Command, result any) {
	m, ok := result.(Member)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(n.stateMachines)) {
		if observer, ok := n.stateMachines[name].(MembershipObserver); ok {
			if n.members.evicted != "" {
				observer.MemberChanged(n.applied, Member{Name: n.members.evicted})
			}
			observer.MemberChanged(n.applied, m)
		}
	}
	n.members.evicted = ""
	n.logInfo("member", "name", m.Name, "incarnation", m.Incarnation, "is", m.State.String(), "index", m.Since)
	n.lastRenewal[m.Incarnation] = n.now
	if c.Kind == cmdDoubled {
		n.logInfo("two processes use one name: the older one has to yield", "name", m.Name, "older", m.DuplicateIncarnation, "newer", m.Incarnation)
	}
	if m.Name == n.settings.Name {
		n.ownMemberChanged(m)
	}
}

// ownMemberChanged handles what the log says of this gateway's own name.
func (n *Node) ownMemberChanged(m Member) {
	if m.Nonce == n.nonce && n.incarnation == 0 {
		n.incarnation = m.Incarnation
		for _, pending := range n.pending { // commands submitted before the incarnation was known
			n.seq++
			pending.command.From, pending.command.Seq, pending.sentAt = n.incarnation, n.seq, math.Inf(-1)
		}
	} else if m.Incarnation > n.incarnation && n.incarnation != 0 {
		n.yieldToNewer()
	}
}

// yieldToNewer fails all pending commands and proposes no more, as a newer process has joined under this name.
func (n *Node) yieldToNewer() {
	if n.yielded {
		return
	}
	n.yielded = true
	n.logInfo("a newer process has joined under this name: this one proposes nothing more", "name", n.settings.Name)
	for _, pending := range n.pending {
		if pending.token != 0 {
			n.emit(Outcome{Token: pending.token, Err: ErrYielded})
		}
	}
	n.pending = nil
}

// compact drops log entries that no voter is expected to need, once enough have accumulated.
func (n *Node) compact() {
	first, err := n.storage.FirstIndex()
	if n.settings.KeepEntries <= 0 || err != nil || n.applied < first+uint64(2*n.settings.KeepEntries) || n.conf == nil {
		return
	}
	compactIndex := n.applied - uint64(n.settings.KeepEntries)
	snapshot, err := n.storage.CreateSnapshot(n.applied, n.conf, n.encodeState())
	if err != nil || n.storage.Compact(compactIndex) != nil {
		return
	}
	n.save(Record{Snapshot: snapshot, Compact: compactIndex}, nil)
}

// setLeader notes a change of leader reported by raft.
func (n *Node) setLeader(id uint64) {
	name := n.nameOf(id)
	if id == n.id.ID && id != 0 {
		name = n.settings.Name
		if n.leader != name {
			// A change of leader lets no lease expire: all members get a full lease from now on.
			n.lastRenewal, n.proposedByLeader = map[uint64]float64{}, map[leaderProposal]float64{}
			for _, m := range n.members.Names {
				n.lastRenewal[m.Incarnation] = n.now
			}
			n.voterChange = voterChange{leaderSince: n.now}
			n.readIndex.waiting, n.readIndex.inFlight = nil, nil // requests to an earlier leader are repeated by their senders
		}
	}
	if name != n.leader {
		n.leader = name
		n.logInfo("leader", "name", name, "term", n.raft.BasicStatus().GetTerm())
	}
}
