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

	"poppymill/internal/canon"
	"poppymill/internal/chance"
)

// Node is one gateway's part in the agreement. It belongs to one goroutine.
type Node struct {
	settings         Settings
	now              float64
	rng              chance.Chance
	nonce            uint64 // of this process
	id               Identity
	founding         *Founding
	raft             *raft.RawNode // nil where this gateway only follows
	storage          *raft.MemoryStorage
	conf             *raftpb.ConfState
	members          *Members
	books            map[string]Book
	applied          uint64
	incarnation      uint64 // this process's incarnation; 0: not agreed yet
	seq              uint64
	joinAt           float64 // when its join goes out again
	pending          []*proposal
	outOfOrder       bool    // one of its commands came to its place before an earlier one
	reorderAt        float64 // when all that wait may go out again in their order for that
	actions          []Action
	onSaved          func()  // what goes on once the disk has it; nil: nothing is on its way there
	saveStarted      float64 // when that was handed over
	diskHung         bool    // it was said that the disk does not answer
	saveQueue        []func()
	broken           bool // its disk failed: it votes no more
	diskSlow         bool // its disk was too slow: it does not lead
	yielded          bool // a newer process of this name is there
	left             bool // it has said goodbye
	leader           string
	heartbeatAt      float64
	wasLeader        bool    // it led when it last looked
	electionAt       float64 // when it looks for another leader itself
	leaderHeardAt    float64 // when it last heard of one
	leaderForgotten  bool    // that it did not hear of one for long
	renewAt          float64
	renewedAt        float64 // when it last did
	upstream         string  // the voter that it follows
	upstreamHeardAt  float64
	upstreamPicks    int
	emptyFounders    map[string]founderHello    // founders that said they have nothing
	lastRenewal      map[uint64]float64         // when each was last heard of; the leader's
	pendingRenewals  map[uint64]Renewal         // on their way to the leader
	voterChange      voterChange                // changes of who votes; the leader's
	proposedByLeader map[leaderProposal]float64 // the leader's own commands that are on their way
	peerNames        map[uint64]string          // who was heard of, by identity: a gateway that lags knows no more of a voter that is new
	foreignPeers     map[string]bool            // peers of which it was said that they belong to another fleet
	retiring         map[string]bool            // who is about to go for a while
	starts           uint64                     // of its store, this one counted
	highWaterMarks   map[uint64]HighWaterMark   // what others were seen to hold, by identity
	storeCheck       *storeCheck                // it asks others about its store, and takes no part yet
	readIndex        readIndexState             // until when it knows all that was agreed
	revokedReason    string                     // why its identity is of no use any more: it is given up as soon as the disk is free
}

// said is a command that the leader gives of itself.
type leaderProposal struct {
	incarnation uint64
	kind        string
}

type founderHello struct {
	id      uint64
	heardAt float64
}

type proposal struct {
	token            uint64
	command          Command
	sentAt, deadline float64
}

// late is when it is given up; what was given up waits without an end.
func (p *proposal) expiresAt() float64 {
	if p.token == 0 {
		return math.Inf(1)
	}
	return p.deadline
}

// ErrGivenUp and the others are outcomes of what was not agreed.
var (
	ErrGivenUp = errors.New("not agreed in time; it may still be")
	ErrLarge   = errors.New("the command is too large")
	ErrBusy    = errors.New("too many commands wait to be agreed")
	ErrYielded = errors.New("a newer process of this name is there")
)

// mostCommand bounds the bytes of one command, so that a frame holds it beside others.
const maxCommandSize = 256 << 10

// giveUp is the ms after which a command that could not be agreed is told as such.
const proposalTimeoutMS = 15_000.0

// initial is the place in the log at which every fleet begins, the same at all founders.
const initialIndex = 1

// New makes a node of what its store holds. Nonce is drawn anew for each process.
func New(settings Settings, store Store, books map[string]Book, nonce uint64, now float64) (*Node, error) {
	n := &Node{settings: settings, now: now, rng: chance.Chance((settings.Seed^nonce)>>1 | 1), nonce: nonce, id: store.Identity, founding: store.Founding,
		members: newMembers(settings.Members), books: books, emptyFounders: map[string]founderHello{}, lastRenewal: map[uint64]float64{},
		pendingRenewals: map[uint64]Renewal{}, proposedByLeader: map[leaderProposal]float64{}, peerNames: map[uint64]string{}, foreignPeers: map[string]bool{}, renewAt: now, joinAt: now,
		starts: store.Starts + 1, highWaterMarks: map[uint64]HighWaterMark{}, retiring: map[string]bool{}}
	maps.Copy(n.highWaterMarks, store.Marks)
	n.rng.Next()
	if n.id.ID == 0 {
		n.id = Identity{ID: n.randomID(), Name: settings.Name}
		n.save(Record{Identity: &n.id, Starts: n.starts}, nil)
	} else if n.id.Name != settings.Name {
		return nil, fmt.Errorf("the store is that of %q", n.id.Name)
	} else {
		n.save(Record{Starts: n.starts}, nil) // before anything goes out: of two copies of one store the log takes one
	}
	if store.Snapshot != nil || store.Hard != nil {
		if err := n.startRaft(store); err != nil {
			return nil, err
		}
		n.startStoreCheck()
	}
	return n, nil
}

// draw makes a number for what must not be taken for anything else.
func (n *Node) randomID() uint64 { return uint64(n.rng.Next())<<31 | uint64(n.rng.Next())>>1 | 1 }

// begin starts raft from what the store holds.
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
	if store.Hard != nil {
		n.storage.SetHardState(store.Hard)
	}
	if err := n.storage.Append(store.Entries); err != nil {
		return fmt.Errorf("store: entries: %w", err)
	}
	r, err := raft.NewRawNode(&raft.Config{ID: n.id.ID, ElectionTick: max(5, int(n.settings.Election/n.settings.Beat)), HeartbeatTick: 1,
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

func (n *Node) restoreState(data []byte, index uint64) error {
	var state replicatedState
	if err := canon.Decode(data, &state); err != nil {
		return err
	}
	if err := n.members.Load(state.Members); err != nil {
		return err
	}
	for name, book := range n.books {
		saved, found := state.Books[name]
		if err := book.Load(saved); err != nil {
			return fmt.Errorf("book %s: %w", name, err)
		}
		if observer, ok := book.(MembershipObserver); ok && !found { // the book is newer than that state
			for _, m := range n.members.All() {
				observer.Member(index, *m)
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

// saved is all state that commands have brought about.
type replicatedState struct {
	Members []byte            `cbor:"1,keyasint"`
	Books   map[string][]byte `cbor:"2,keyasint"`
}

func (n *Node) encodeState() []byte {
	state := replicatedState{Members: n.members.Save(), Books: map[string][]byte{}}
	for name, book := range n.books {
		state.Books[name] = book.Save()
	}
	return canon.Encode(state)
}

// Handle takes one event; nil only lets time pass.
func (n *Node) Handle(now float64, e any) []Action {
	n.now = max(n.now, now)
	if r, ok := e.(Received); (n.storeCheck != nil || n.revokedReason != "") && ok && r.Frame.Kind != KindStoreQuery && r.Frame.Kind != KindStoreReply && r.Frame.Kind != KindFounding {
		e = nil // it takes no part yet
	}
	switch e := e.(type) {
	case Received:
		n.handleFrame(e.From, e.Frame)
	case Lost:
		if id := n.voterID(e.To); n.raft != nil && id != 0 {
			n.raft.ReportUnreachable(id)
			n.raft.ReportSnapshot(id, raft.SnapshotFailure)
		}
		if e.To == n.upstream {
			n.upstream = ""
		}
	case Saved:
		n.handleSaved(e.Took)
	case Broken:
		n.broken, n.onSaved, n.raft, n.saveQueue = true, nil, nil, nil
		n.logInfo("this gateway's store can't be written: it votes no more until it is started anew", "error", e.Err)
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

// Next is when something is due next.
func (n *Node) Next() float64 {
	if n.revokedReason != "" {
		return math.Inf(1) // the disk wakes it
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

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }
func (n *Node) logInfo(message string, fields ...any) {
	f := map[string]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		f[fields[i].(string)] = fields[i+1]
	}
	n.emit(Say{Text: message, Fields: f})
}

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

// save hands something to the disk; then goes on once it is there.
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

// renewDue is when this gateway renews its lease. One that follows sees what it asked for agreed only when it asks how the log goes
// on: while it waits for something it does so at every beat.
func (n *Node) nextRenewal() float64 {
	if n.raft == nil && n.founding != nil && len(n.pending) > 0 {
		return min(n.renewAt, n.renewedAt+n.settings.Beat)
	}
	return n.renewAt
}

// handOver gives the lead to the voter that has most of the log.
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

// Leads tells whether this gateway leads, as far as it knows.
func (n *Node) Leads() bool { return n.isLeader() }

// Incarnation is that of this process; 0 before the log has given it one, and once it asks for nothing more.
func (n *Node) Incarnation() uint64 {
	if n.yielded || n.left {
		return 0
	}
	return n.incarnation
}

func (n *Node) isLeader() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// voter is the identity of a name that votes; 0: it does not.
func (n *Node) voterID(name string) uint64 {
	for _, id := range n.conf.GetVoters() {
		if n.nameOf(id) == name {
			return id
		}
	}
	return 0
}

// name is whose an identity is, as far as anybody has said; empty: unknown.
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

// postpone puts off the look for another leader, as one was heard of.
func (n *Node) resetElectionTimer() {
	n.leaderHeardAt, n.leaderForgotten = n.now, false
	n.electionAt = n.now + n.settings.Election*(1.1+n.rng.Below())
}

func (n *Node) runTimers() {
	if n.onSaved != nil && !n.diskHung && n.now >= n.saveStarted+n.settings.SlowDisk {
		n.diskHung = true
		n.logInfo("this gateway's disk does not answer", "for_ms", math.Round(n.now-n.saveStarted))
	}
	if n.raft != nil && (n.onSaved == nil || n.isLeader()) {
		if leads := n.isLeader(); leads && !n.wasLeader {
			// Its beats begin now: those that it owed as a leader of long ago would have it find no majority at once.
			n.heartbeatAt, n.wasLeader = n.now, true
		} else {
			n.wasLeader = leads
		}
		if n.isLeader() {
			// It goes on while the disk is at work, so that one that hangs costs the lead. A process that was frozen owes no more than what lets it find out that it leads no more.
			for n.now >= n.heartbeatAt && n.isLeader() {
				if n.heartbeatAt += n.settings.Beat; n.heartbeatAt < n.now-2*n.settings.Election {
					n.heartbeatAt = n.now
				}
				n.raft.Tick()
				if n.diskSlow && n.raft.BasicStatus().LeadTransferee == 0 {
					n.transferLeadership() // again, as nobody may have answered lately
				}
			}
			if n.isLeader() {
				n.resetElectionTimer()
			}
		} else {
			if n.now >= n.leaderHeardAt+n.settings.Election && !n.leaderForgotten {
				// Only now does it let others look for a leader: before, it held to the one that it had heard of.
				n.leaderForgotten = true
				n.raft.ForgetLeader()
			}
			if n.now >= n.electionAt {
				n.electionAt = n.now + n.settings.Election*(0.5+n.rng.Below())
				if n.roleOf(n.id.ID) != roleVoter {
					// It was being brought up, or had its vote taken, and hears of nobody: it asks whether it still belongs.
					n.pickUpstream()
					n.send(n.upstream, Frame{Kind: KindRemoved})
				} else if !n.diskSlow {
					n.raft.Campaign()
				} else {
					// Its last sync was slow, long ago maybe, or it was frozen amid it. It tries its disk again, else of slow ones alone nobody
					// would ever stand; and it asks whether it still belongs, as it would find out by standing.
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

// settle carries what raft has to say to the disk, then to the others and into the books, until nothing is left.
func (n *Node) processReady() {
	for n.raft != nil && n.onSaved == nil && n.raft.HasReady() {
		ready := n.raft.Ready()
		if ready.SoftState != nil {
			n.setLeader(ready.SoftState.Lead)
		}
		record := Record{Hard: ready.HardState, Entries: ready.Entries}
		if len(record.Entries) > 0 {
			record.Marks = maps.Clone(n.highWaterMarks) // along with what is synced anyway
		}
		if ready.Snapshot != nil && ready.Snapshot.GetMetadata().GetIndex() > 0 {
			record.Snapshot = ready.Snapshot
		}
		done := func() { n.finishReady(ready, record) }
		if record.Hard == nil && len(record.Entries) == 0 && record.Snapshot == nil {
			done()
			continue
		}
		n.save(record, done)
	}
}

func (n *Node) finishReady(ready raft.Ready, record Record) {
	if n.raft == nil {
		return
	}
	if record.Snapshot != nil {
		if err := n.storage.ApplySnapshot(record.Snapshot); err == nil {
			if err := n.restoreState(record.Snapshot.GetData(), record.Snapshot.GetMetadata().GetIndex()); err != nil {
				n.broken, n.raft = true, nil
				n.logInfo("a snapshot can't be read: this gateway votes no more until it is started anew", "error", err)
				return
			}
			n.conf = record.Snapshot.GetMetadata().GetConfState()
		}
	}
	if record.Hard != nil {
		n.storage.SetHardState(record.Hard)
	}
	if err := n.storage.Append(record.Entries); err != nil {
		n.broken, n.raft = true, nil
		n.logInfo("entries don't fit the log: this gateway votes no more until it is started anew", "error", err)
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

// commit takes one entry that is agreed.
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

// apply takes one command in its place. What every gateway does here must be a function of the log alone.
func (n *Node) applyCommand(index uint64, data []byte) {
	if index <= n.applied {
		return
	}
	n.applied = index
	if len(data) == 0 {
		return
	}
	var c Command
	if canon.Decode(data, &c) != nil {
		return
	}
	var result any
	if err := n.members.checkSequence(c); err != nil {
		result = err
	} else if c.Book == membersBook {
		result = n.members.Apply(index, c)
		n.memberChanged(c, result)
		if result == ErrOldStore {
			n.storeRejected(c)
		}
	} else if b := n.books[c.Book]; b != nil {
		result = b.Apply(index, c)
	} else {
		result = ErrUnknown
	}
	n.outOfOrder = n.outOfOrder || result == ErrEarly && c.From == n.incarnation
	n.emit(Agreed{Index: index, Command: c, Result: result})
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

// told is what a member's change means here.
func (n *Node) memberChanged(c Command, result any) {
	m, ok := result.(Member)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(n.books)) {
		if observer, ok := n.books[name].(MembershipObserver); ok {
			if n.members.evicted != "" {
				observer.Member(n.applied, Member{Name: n.members.evicted})
			}
			observer.Member(n.applied, m)
		}
	}
	n.members.evicted = ""
	n.logInfo("member", "name", m.Name, "incarnation", m.Incarnation, "is", m.Standing.String(), "index", m.Since)
	n.lastRenewal[m.Incarnation] = n.now
	if c.Kind == cmdDoubled {
		n.logInfo("a name is doubled: the older process is told to yield", "name", m.Name, "older", m.Doubled, "newer", m.Incarnation)
	}
	if m.Name == n.settings.Name {
		n.ownMemberChanged(m)
	}
}

// own is what the log says of this gateway's own name.
func (n *Node) ownMemberChanged(m Member) {
	if m.Nonce == n.nonce && n.incarnation == 0 {
		n.incarnation = m.Incarnation
		for _, pending := range n.pending { // what was asked before this process had a name for itself
			n.seq++
			pending.command.From, pending.command.Seq, pending.sentAt = n.incarnation, n.seq, math.Inf(-1)
		}
	} else if m.Incarnation > n.incarnation && n.incarnation != 0 {
		n.yieldToNewer()
	}
}

func (n *Node) yieldToNewer() {
	if n.yielded {
		return
	}
	n.yielded = true
	n.logInfo("a newer process of this name is there: this one asks for nothing more", "name", n.settings.Name)
	for _, pending := range n.pending {
		if pending.token != 0 {
			n.emit(Outcome{Token: pending.token, Err: ErrYielded})
		}
	}
	n.pending = nil
}

// compact lets go of entries that nobody needs, once enough have come together.
func (n *Node) compact() {
	first, err := n.storage.FirstIndex()
	if n.settings.Keep <= 0 || err != nil || n.applied < first+uint64(2*n.settings.Keep) || n.conf == nil {
		return
	}
	compactIndex := n.applied - uint64(n.settings.Keep)
	snapshot, err := n.storage.CreateSnapshot(n.applied, n.conf, n.encodeState())
	if err != nil || n.storage.Compact(compactIndex) != nil {
		return
	}
	n.save(Record{Snapshot: snapshot, Compact: compactIndex}, nil)
}

func (n *Node) setLeader(id uint64) {
	name := n.nameOf(id)
	if id == n.id.ID && id != 0 {
		name = n.settings.Name
		if n.leader != name {
			// Nobody is lost for a change of leader: all have a whole lease from now on.
			n.lastRenewal, n.proposedByLeader = map[uint64]float64{}, map[leaderProposal]float64{}
			for _, m := range n.members.Names {
				n.lastRenewal[m.Incarnation] = n.now
			}
			n.voterChange = voterChange{leaderSince: n.now}
			n.readIndex.waiting, n.readIndex.inFlight = nil, nil // what another was asked comes again
		}
	}
	if name != n.leader {
		n.leader = name
		n.logInfo("leader", "name", name, "term", n.raft.BasicStatus().GetTerm())
	}
}
