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
	set     Settings
	now     float64
	chance  chance.Chance
	nonce   uint64 // of this process
	id      Identity
	founded *Founding
	raft    *raft.RawNode // nil where this gateway only follows
	log     *raft.MemoryStorage
	conf    *raftpb.ConfState
	members *Members
	books   map[string]Book
	applied uint64
	inc     uint64 // this process's incarnation; 0: not agreed yet
	seq     uint64
	joining float64 // when its join goes out again
	open    []*proposal
	early   bool    // one of its commands came to its place before an earlier one
	inTurn  float64 // when all that wait may go out again in their order for that
	out     []Action
	saving  func()  // what goes on once the disk has it; nil: nothing is on its way there
	begun   float64 // when that was handed over
	hangs   bool    // it was said that the disk does not answer
	after   []func()
	dead    bool // its disk failed: it votes no more
	slow    bool // its disk was too slow: it does not lead
	yielded bool // a newer process of this name is there
	gone    bool // it has said goodbye
	leader  string
	beatAt  float64
	led     bool    // it led when it last looked
	voteAt  float64 // when it looks for another leader itself
	heard   float64 // when it last heard of one
	forgot  bool    // that it did not hear of one for long
	renewAt float64
	renewOn float64 // when it last did
	host    string  // the voter that it follows
	hosted  float64
	hosts   int
	fresh   map[string]hello   // founders that said they have nothing
	renewed map[uint64]float64 // when each was last heard of; the leader's
	gather  map[uint64]Renewal // on their way to the leader
	council council            // changes of who votes; the leader's
	said    map[said]float64   // the leader's own commands that are on their way
	names   map[uint64]string  // who was heard of, by identity: a gateway that lags knows no more of a voter that is new
	strange map[string]bool    // peers of which it was said that they belong to another fleet
	retire  map[string]bool    // who is about to go for a while
	starts  uint64             // of its store, this one counted
	marks   map[uint64]Mark    // what others were seen to hold, by identity
	proof   *proof             // it asks others about its store, and takes no part yet
	sight   sight              // until when it knows all that was agreed
	spent   string             // why its identity is of no use any more: it is given up as soon as the disk is free
}

// said is a command that the leader gives of itself.
type said struct {
	incarnation uint64
	kind        string
}

type hello struct {
	id uint64
	at float64
}

type proposal struct {
	token    uint64
	c        Command
	sent, by float64
}

// late is when it is given up; what was given up waits without an end.
func (p *proposal) late() float64 {
	if p.token == 0 {
		return math.Inf(1)
	}
	return p.by
}

// ErrGivenUp and the others are outcomes of what was not agreed.
var (
	ErrGivenUp = errors.New("not agreed in time; it may still be")
	ErrLarge   = errors.New("the command is too large")
	ErrBusy    = errors.New("too many commands wait to be agreed")
	ErrYielded = errors.New("a newer process of this name is there")
)

// mostCommand bounds the bytes of one command, so that a frame holds it beside others.
const mostCommand = 256 << 10

// giveUp is the ms after which a command that could not be agreed is told as such.
const giveUp = 15_000.0

// initial is the place in the log at which every fleet begins, the same at all founders.
const initial = 1

// New makes a node of what its store holds. Nonce is drawn anew for each process.
func New(set Settings, store Store, books map[string]Book, nonce uint64, now float64) (*Node, error) {
	n := &Node{set: set, now: now, chance: chance.Chance((set.Seed^nonce)>>1 | 1), nonce: nonce, id: store.Identity, founded: store.Founding,
		members: newMembers(set.Members), books: books, fresh: map[string]hello{}, renewed: map[uint64]float64{},
		gather: map[uint64]Renewal{}, said: map[said]float64{}, names: map[uint64]string{}, strange: map[string]bool{}, renewAt: now, joining: now,
		starts: store.Starts + 1, marks: map[uint64]Mark{}, retire: map[string]bool{}}
	maps.Copy(n.marks, store.Marks)
	n.chance.Next()
	if n.id.ID == 0 {
		n.id = Identity{ID: n.draw(), Name: set.Name}
		n.save(Record{Identity: &n.id, Starts: n.starts}, nil)
	} else if n.id.Name != set.Name {
		return nil, fmt.Errorf("the store is that of %q", n.id.Name)
	} else {
		n.save(Record{Starts: n.starts}, nil) // before anything goes out: of two copies of one store the log takes one
	}
	if store.Snapshot != nil || store.Hard != nil {
		if err := n.begin(store); err != nil {
			return nil, err
		}
		n.prove()
	}
	return n, nil
}

// draw makes a number for what must not be taken for anything else.
func (n *Node) draw() uint64 { return uint64(n.chance.Next())<<31 | uint64(n.chance.Next())>>1 | 1 }

// begin starts raft from what the store holds.
func (n *Node) begin(store Store) error {
	n.log = raft.NewMemoryStorage()
	if s := store.Snapshot; s != nil && s.GetMetadata().GetIndex() > 0 {
		if err := n.log.ApplySnapshot(s); err != nil {
			return fmt.Errorf("store: snapshot: %w", err)
		}
		if err := n.restore(s.GetData(), s.GetMetadata().GetIndex()); err != nil {
			return fmt.Errorf("store: snapshot: %w", err)
		}
		n.conf = s.GetMetadata().GetConfState()
	}
	if store.Hard != nil {
		n.log.SetHardState(store.Hard)
	}
	if err := n.log.Append(store.Entries); err != nil {
		return fmt.Errorf("store: entries: %w", err)
	}
	r, err := raft.NewRawNode(&raft.Config{ID: n.id.ID, ElectionTick: max(5, int(n.set.Election/n.set.Beat)), HeartbeatTick: 1,
		Storage: n.log, Applied: n.applied, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20,
		MaxUncommittedEntriesSize: 4 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{}})
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	n.raft = r
	n.postpone()
	return nil
}

func (n *Node) restore(data []byte, index uint64) error {
	var s saved
	if err := canon.Decode(data, &s); err != nil {
		return err
	}
	if err := n.members.Load(s.Members); err != nil {
		return err
	}
	for name, b := range n.books {
		text, ok := s.Books[name]
		if err := b.Load(text); err != nil {
			return fmt.Errorf("book %s: %w", name, err)
		}
		if h, hears := b.(Hearer); hears && !ok { // the book is newer than that state
			for _, m := range n.members.All() {
				h.Member(index, *m)
			}
		}
	}
	n.applied = index
	n.do(Restored{Index: index})
	if m := n.members.Names[n.set.Name]; m != nil {
		n.own(*m)
	}
	return nil
}

// saved is all state that commands have brought about.
type saved struct {
	Members []byte            `cbor:"1,keyasint"`
	Books   map[string][]byte `cbor:"2,keyasint"`
}

func (n *Node) state() []byte {
	s := saved{Members: n.members.Save(), Books: map[string][]byte{}}
	for name, b := range n.books {
		s.Books[name] = b.Save()
	}
	return canon.Encode(s)
}

// Handle takes one event; nil only lets time pass.
func (n *Node) Handle(now float64, e any) []Action {
	n.now = max(n.now, now)
	if r, ok := e.(Received); (n.proof != nil || n.spent != "") && ok && r.Frame.Kind != Prove && r.Frame.Kind != Proof && r.Frame.Kind != Found {
		e = nil // it takes no part yet
	}
	switch e := e.(type) {
	case Received:
		n.received(e.From, e.Frame)
	case Lost:
		if id := n.voter(e.To); n.raft != nil && id != 0 {
			n.raft.ReportUnreachable(id)
			n.raft.ReportSnapshot(id, raft.SnapshotFailure)
		}
		if e.To == n.host {
			n.host = ""
		}
	case Saved:
		n.saved(e.Took)
	case Broken:
		n.dead, n.saving, n.raft, n.after = true, nil, nil, nil
		n.say("this gateway's store can't be written: it votes no more until it is started anew", "error", e.Err)
	case Propose:
		n.propose(e)
	case Leave:
		n.leave()
	}
	if n.spent != "" && n.saving == nil {
		n.anew(n.conf, nil)
	}
	if n.proof != nil && n.spent == "" {
		n.proving()
	}
	if n.proof == nil && n.spent == "" {
		n.ring()
		n.settle()
	}
	n.catchUp()
	out := n.out
	n.out = nil
	return out
}

// Next is when something is due next.
func (n *Node) Next() float64 {
	if n.spent != "" {
		return math.Inf(1) // the disk wakes it
	}
	if n.proof != nil {
		return max(n.now, min(n.proof.again, n.proof.until))
	}
	due := min(n.renewDue(), n.joining)
	if n.raft != nil && n.saving == nil {
		if n.leads() {
			due = min(due, n.beatAt)
		} else if due = min(due, n.voteAt); !n.forgot {
			due = min(due, n.heard+n.set.Election)
		}
	}
	if n.saving != nil && !n.hangs {
		due = min(due, n.begun+n.set.SlowDisk)
	}
	if n.raft != nil && n.saving != nil && n.leads() {
		due = min(due, n.beatAt)
	}
	for _, p := range n.open {
		if n.inc != 0 && (n.saving == nil || !n.leads()) {
			due = min(due, p.sent+n.set.Retry)
		}
		due = min(due, p.late())
	}
	if at, is := n.sightDue(); is {
		due = min(due, at)
	}
	if n.early && n.inc != 0 && (n.saving == nil || !n.leads()) {
		due = min(due, n.inTurn)
	}
	return max(due, n.now)
}

func (n *Node) do(a Action) { n.out = append(n.out, a) }
func (n *Node) say(text string, fields ...any) {
	f := map[string]any{}
	for i := 0; i+1 < len(fields); i += 2 {
		f[fields[i].(string)] = fields[i+1]
	}
	n.do(Say{Text: text, Fields: f})
}

func (n *Node) send(to string, f Frame) {
	if to == "" || to == n.set.Name {
		return
	}
	f.ID, f.Follows = n.id.ID, n.raft == nil
	if n.founded != nil {
		f.Cluster = n.founded.Cluster
	}
	n.do(Send{To: to, Frame: f})
}

// save hands something to the disk; then goes on once it is there.
func (n *Node) save(r Record, then func()) {
	if then == nil {
		then = func() {}
	}
	if n.saving != nil {
		n.after = append(n.after, func() { n.save(r, then) })
		return
	}
	n.saving, n.begun, n.hangs = then, n.now, false
	n.do(Save{Record: r})
}

func (n *Node) saved(took float64) {
	if n.saving == nil {
		return
	}
	if slow := took > n.set.SlowDisk; slow != n.slow {
		n.slow = slow
		if slow {
			n.say("this gateway's disk is too slow to lead", "took_ms", math.Round(took), "most_ms", n.set.SlowDisk)
		}
	}
	then := n.saving
	n.saving = nil
	then()
	for n.saving == nil && len(n.after) > 0 {
		next := n.after[0]
		n.after = n.after[1:]
		next()
	}
}

// renewDue is when this gateway renews its lease. One that follows sees what it asked for agreed only when it asks how the log goes
// on: while it waits for something it does so at every beat.
func (n *Node) renewDue() float64 {
	if n.raft == nil && n.founded != nil && len(n.open) > 0 {
		return min(n.renewAt, n.renewOn+n.set.Beat)
	}
	return n.renewAt
}

// handOver gives the lead to the voter that has most of the log.
func (n *Node) handOver() {
	if !n.leads() {
		return
	}
	best, match := uint64(0), uint64(0)
	all := n.raft.Status().Progress
	for _, id := range slices.Sorted(maps.Keys(all)) {
		p := all[id]
		if id != n.id.ID && !p.IsLearner && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		n.raft.TransferLeader(best)
	}
}

// Leads tells whether this gateway leads, as far as it knows.
func (n *Node) Leads() bool { return n.leads() }

// Incarnation is that of this process; 0 before the log has given it one, and once it asks for nothing more.
func (n *Node) Incarnation() uint64 {
	if n.yielded || n.gone {
		return 0
	}
	return n.inc
}

func (n *Node) leads() bool {
	return n.raft != nil && n.raft.BasicStatus().RaftState == raft.StateLeader
}

// voter is the identity of a name that votes; 0: it does not.
func (n *Node) voter(name string) uint64 {
	for _, id := range n.conf.GetVoters() {
		if n.name(id) == name {
			return id
		}
	}
	return 0
}

// name is whose an identity is, as far as anybody has said; empty: unknown.
func (n *Node) name(id uint64) string {
	if m := n.of(id); m != nil {
		return m.Name
	}
	if n.founded != nil {
		for name, x := range n.founded.Voters {
			if x == id {
				return name
			}
		}
	}
	return n.names[id]
}

// postpone puts off the look for another leader, as one was heard of.
func (n *Node) postpone() {
	n.heard, n.forgot = n.now, false
	n.voteAt = n.now + n.set.Election*(1.1+n.chance.Below())
}

func (n *Node) ring() {
	if n.saving != nil && !n.hangs && n.now >= n.begun+n.set.SlowDisk {
		n.hangs = true
		n.say("this gateway's disk does not answer", "for_ms", math.Round(n.now-n.begun))
	}
	if n.raft != nil && (n.saving == nil || n.leads()) {
		if led := n.leads(); led && !n.led {
			// Its beats begin now: those that it owed as a leader of long ago would have it find no majority at once.
			n.beatAt, n.led = n.now, true
		} else {
			n.led = led
		}
		if n.leads() {
			// It goes on while the disk is at work, so that one that hangs costs the lead. A process that was frozen owes no more than what lets it find out that it leads no more.
			for n.now >= n.beatAt && n.leads() {
				if n.beatAt += n.set.Beat; n.beatAt < n.now-2*n.set.Election {
					n.beatAt = n.now
				}
				n.raft.Tick()
				if n.slow && n.raft.BasicStatus().LeadTransferee == 0 {
					n.handOver() // again, as nobody may have answered lately
				}
			}
			if n.leads() {
				n.postpone()
			}
		} else {
			if n.now >= n.heard+n.set.Election && !n.forgot {
				// Only now does it let others look for a leader: before, it held to the one that it had heard of.
				n.forgot = true
				n.raft.ForgetLeader()
			}
			if n.now >= n.voteAt {
				n.voteAt = n.now + n.set.Election*(0.5+n.chance.Below())
				if n.votes(n.id.ID) != votes {
					// It was being brought up, or had its vote taken, and hears of nobody: it asks whether it still belongs.
					n.pickHost()
					n.send(n.host, Frame{Kind: Removed})
				} else if !n.slow {
					n.raft.Campaign()
				} else {
					// Its last sync was slow, long ago maybe, or it was frozen amid it. It tries its disk again, else of slow ones alone nobody
					// would ever stand; and it asks whether it still belongs, as it would find out by standing.
					n.save(Record{Starts: n.starts}, nil)
					n.pickHost()
					n.send(n.host, Frame{Kind: Removed})
				}
			}
		}
	}
	if n.now >= n.renewDue() {
		n.renewAt, n.renewOn = n.now+n.set.Lease/6, n.now
		n.renew()
	}
	if n.now >= n.joining {
		n.joining = n.now + n.set.Retry
		n.join()
	}
	n.retry()
	n.lookOut()
}

// settle carries what raft has to say to the disk, then to the others and into the books, until nothing is left.
func (n *Node) settle() {
	for n.raft != nil && n.saving == nil && n.raft.HasReady() {
		r := n.raft.Ready()
		if r.SoftState != nil {
			n.leaderIs(r.SoftState.Lead)
		}
		rec := Record{Hard: r.HardState, Entries: r.Entries}
		if len(rec.Entries) > 0 {
			rec.Marks = maps.Clone(n.marks) // along with what is synced anyway
		}
		if r.Snapshot != nil && r.Snapshot.GetMetadata().GetIndex() > 0 {
			rec.Snapshot = r.Snapshot
		}
		done := func() { n.ready(r, rec) }
		if rec.Hard == nil && len(rec.Entries) == 0 && rec.Snapshot == nil {
			done()
			continue
		}
		n.save(rec, done)
	}
}

func (n *Node) ready(r raft.Ready, rec Record) {
	if n.raft == nil {
		return
	}
	if rec.Snapshot != nil {
		if err := n.log.ApplySnapshot(rec.Snapshot); err == nil {
			if err := n.restore(rec.Snapshot.GetData(), rec.Snapshot.GetMetadata().GetIndex()); err != nil {
				n.dead, n.raft = true, nil
				n.say("a snapshot can't be read: this gateway votes no more until it is started anew", "error", err)
				return
			}
			n.conf = rec.Snapshot.GetMetadata().GetConfState()
		}
	}
	if rec.Hard != nil {
		n.log.SetHardState(rec.Hard)
	}
	if err := n.log.Append(rec.Entries); err != nil {
		n.dead, n.raft = true, nil
		n.say("entries don't fit the log: this gateway votes no more until it is started anew", "error", err)
		return
	}
	for _, m := range r.Messages {
		b, err := proto.Marshal(m)
		if err != nil {
			continue
		}
		n.send(n.name(m.GetTo()), Frame{Kind: Raft, Data: b})
		if m.GetType() == raftpb.MessageType_MsgSnap {
			n.raft.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	for _, e := range r.CommittedEntries {
		n.commit(e)
	}
	for _, s := range r.ReadStates {
		n.confirmed(s.RequestCtx, s.Index)
	}
	n.raft.Advance(r)
	n.compact()
}

// commit takes one entry that is agreed.
func (n *Node) commit(e *raftpb.Entry) {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChangeV2:
		var c raftpb.ConfChangeV2
		if proto.Unmarshal(e.Data, &c) == nil {
			n.conf = n.raft.ApplyConfChange(&c)
		}
		n.applied = e.GetIndex()
		n.welcome()
	case raftpb.EntryType_EntryConfChange:
		var c raftpb.ConfChange
		if proto.Unmarshal(e.Data, &c) == nil {
			n.conf = n.raft.ApplyConfChange(&c)
		}
		n.applied = e.GetIndex()
	default:
		n.apply(e.GetIndex(), e.Data)
	}
}

// apply takes one command in its place. What every gateway does here must be a function of the log alone.
func (n *Node) apply(index uint64, data []byte) {
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
	if err := n.members.counts(c); err != nil {
		result = err
	} else if c.Book == membersBook {
		result = n.members.Apply(index, c)
		n.told(c, result)
		if result == ErrOldStore {
			n.oldStore(c)
		}
	} else if b := n.books[c.Book]; b != nil {
		result = b.Apply(index, c)
	} else {
		result = ErrUnknown
	}
	n.early = n.early || result == ErrEarly && c.From == n.inc
	n.do(Agreed{Index: index, Command: c, Result: result})
	for i, p := range n.open {
		if c.From == n.inc && c.Seq == p.c.Seq && c.From != 0 && result != ErrEarly {
			n.open = slices.Delete(n.open, i, i+1)
			if err, _ := result.(error); p.token != 0 {
				n.do(Outcome{Token: p.token, Index: index, Result: result, Err: err})
			}
			break
		}
	}
}

// told is what a member's change means here.
func (n *Node) told(c Command, result any) {
	m, ok := result.(Member)
	if !ok {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(n.books)) {
		if h, hears := n.books[name].(Hearer); hears {
			if n.members.forgot != "" {
				h.Member(n.applied, Member{Name: n.members.forgot})
			}
			h.Member(n.applied, m)
		}
	}
	n.members.forgot = ""
	n.say("member", "name", m.Name, "incarnation", m.Incarnation, "is", m.Standing.String(), "index", m.Since)
	n.renewed[m.Incarnation] = n.now
	if c.Kind == doubled {
		n.say("a name is doubled: the older process is told to yield", "name", m.Name, "older", m.Doubled, "newer", m.Incarnation)
	}
	if m.Name == n.set.Name {
		n.own(m)
	}
}

// own is what the log says of this gateway's own name.
func (n *Node) own(m Member) {
	if m.Nonce == n.nonce && n.inc == 0 {
		n.inc = m.Incarnation
		for _, p := range n.open { // what was asked before this process had a name for itself
			n.seq++
			p.c.From, p.c.Seq, p.sent = n.inc, n.seq, math.Inf(-1)
		}
	} else if m.Incarnation > n.inc && n.inc != 0 {
		n.yield()
	}
}

func (n *Node) yield() {
	if n.yielded {
		return
	}
	n.yielded = true
	n.say("a newer process of this name is there: this one asks for nothing more", "name", n.set.Name)
	for _, p := range n.open {
		if p.token != 0 {
			n.do(Outcome{Token: p.token, Err: ErrYielded})
		}
	}
	n.open = nil
}

// compact lets go of entries that nobody needs, once enough have come together.
func (n *Node) compact() {
	first, err := n.log.FirstIndex()
	if n.set.Keep <= 0 || err != nil || n.applied < first+uint64(2*n.set.Keep) || n.conf == nil {
		return
	}
	to := n.applied - uint64(n.set.Keep)
	s, err := n.log.CreateSnapshot(n.applied, n.conf, n.state())
	if err != nil || n.log.Compact(to) != nil {
		return
	}
	n.save(Record{Snapshot: s, Compact: to}, nil)
}

func (n *Node) leaderIs(id uint64) {
	name := n.name(id)
	if id == n.id.ID && id != 0 {
		name = n.set.Name
		if n.leader != name {
			// Nobody is lost for a change of leader: all have a whole lease from now on.
			n.renewed, n.said = map[uint64]float64{}, map[said]float64{}
			for _, m := range n.members.Names {
				n.renewed[m.Incarnation] = n.now
			}
			n.council = council{began: n.now}
			n.sight.asks, n.sight.under = nil, nil // what another was asked comes again
		}
	}
	if name != n.leader {
		n.leader = name
		n.say("leader", "name", name, "term", n.raft.BasicStatus().GetTerm())
	}
}
