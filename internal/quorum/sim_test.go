package quorum

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/codec"
	"poppymill/internal/prng"
)

// sim runs gateways in virtual time: one event queue, seeded randomness, and disks that keep only what was synced.
type sim struct {
	t               *testing.T
	now             float64
	lastID          int
	queue           eventQueue
	chance          prng.Source
	gateways        map[string]*simGateway
	names           []string
	cut             map[[2]string]bool // links cut, as {from, to}
	loss            float64
	duplication     float64
	delay           [2]float64
	frames          map[string]int // frames sent, by sender
	bytes           int
	committed       map[uint64]string // the command committed at each index, the same on all gateways
	violations      []string
	onOutcome       func(uint64, Outcome)
	expectOldCopies bool // the test restores old copies of stores: gateways may report them
}

// simGateway is a gateway of the simulation: its process, its disk and its clock.
type simGateway struct {
	s           *sim
	settings    Settings
	disk        disk
	node        *Node
	generation  int
	up          bool
	frozen      bool
	frozenCalls []func() // calls held back while it is frozen
	timerAt     float64
	clockRate   float64 // ms of its clock per ms
	clockOffset float64 // ms that its clock is ahead
	syncMS      float64 // ms that a sync takes
	diskFails   bool
	ledger      *ledger
	outcome     map[uint64]Outcome
	logLines    []string
}

// disk is a store as it would be read after a crash.
type disk struct {
	identity Identity
	starts   uint64
	marks    map[uint64]HighWaterMark
	founding *Founding
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
}

func (d *disk) apply(r Record) {
	if r.Reset {
		d.hard, d.snapshot, d.entries = nil, nil, nil
	}
	if r.Identity != nil {
		d.identity = *r.Identity
	}
	if r.Starts > 0 {
		d.starts = r.Starts
	}
	if r.HighWaterMarks != nil {
		d.marks = r.HighWaterMarks
	}
	if r.Founding != nil {
		d.founding = r.Founding
	}
	if r.Snapshot != nil {
		d.snapshot = proto.Clone(r.Snapshot).(*raftpb.Snapshot)
		index := r.Snapshot.GetMetadata().GetIndex()
		if r.Compact == 0 {
			d.entries = nil
		}
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].GetIndex()
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		for _, e := range r.Entries {
			d.entries = append(d.entries, proto.Clone(e).(*raftpb.Entry))
		}
	}
	if r.HardState != nil {
		d.hard = proto.Clone(r.HardState).(*raftpb.HardState)
	}
}

func (d disk) store() Store {
	store := Store{Identity: d.identity, Starts: d.starts, HighWaterMarks: maps.Clone(d.marks), Founding: d.founding, Entries: slices.Clone(d.entries)}
	if d.hard != nil {
		store.HardState = proto.Clone(d.hard).(*raftpb.HardState)
	}
	if d.snapshot != nil {
		store.Snapshot = proto.Clone(d.snapshot).(*raftpb.Snapshot)
	}
	return store
}

type event struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []event

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(event)) }
func (d *eventQueue) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// ledger is a state machine that keeps its commands in order.
type ledger struct{ Lines []string }

func (l *ledger) Apply(index uint64, c Command) any {
	l.Lines = append(l.Lines, string(c.Data))
	return len(l.Lines)
}
func (l *ledger) Save() []byte { return codec.Encode(l.Lines) }
func (l *ledger) Load(b []byte) error {
	if l.Lines = nil; b == nil {
		return nil
	}
	return codec.Decode(b, &l.Lines)
}

// newSim returns voters v0, v1 ... and followers f0, f1 ..., spread over three clubs, none of them started.
func newSim(t *testing.T, seed uint64, voters, followers int) *sim {
	s := &sim{t: t, chance: prng.Source(seed*2 + 1), gateways: map[string]*simGateway{}, cut: map[[2]string]bool{}, delay: [2]float64{1, 5}, committed: map[uint64]string{}, frames: map[string]int{}}
	for range 4 {
		s.chance.Uint32()
	}
	var founders []string
	for i := range voters + followers {
		name := fmt.Sprintf("v%d", i)
		if i >= voters {
			name = fmt.Sprintf("f%d", i-voters)
		} else {
			founders = append(founders, name)
		}
		set := Defaults()
		set.Name, set.Zone, set.Seed, set.Peers, set.KeepEntries = name, fmt.Sprintf("club-%d", i%3), seed, map[string]string{}, 50
		s.gateways[name] = &simGateway{s: s, settings: set, syncMS: 1, clockRate: 1, outcome: map[uint64]Outcome{}}
		s.names = append(s.names, name)
	}
	for _, g := range s.gateways {
		g.settings.Founders = founders
		for _, name := range s.names {
			if name != g.settings.Name {
				g.settings.Peers[name] = name
			}
		}
	}
	return s
}

func (s *sim) after(ms float64, do func()) {
	s.lastID++
	heap.Push(&s.queue, event{s.now + ms, s.lastID, do})
}

// run advances the simulation by some time, or until a condition holds.
func (s *sim) run(ms float64, done func() bool) bool {
	sameTime, end := 0, s.now+ms
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		if sameTime++; e.at > s.now {
			sameTime = 0
		} else if sameTime > 100_000 {
			s.t.Fatalf("endless loop of events at %.0f ms", s.now)
		}
		s.now = e.at
		e.do()
		if done != nil && done() {
			return true
		}
	}
	s.now = end
	return done == nil
}

func (s *sim) start(names ...string) {
	for _, name := range names {
		g := s.gateways[name]
		g.generation++
		g.ledger = &ledger{}
		var err error
		g.node, err = New(g.settings, g.disk.store(), map[string]StateMachine{"ledger": g.ledger, "cell": &valueAndLease{}}, uint64(s.chance.Uint32())<<8|uint64(g.generation), g.clock())
		if err != nil {
			s.t.Fatal(err)
		}
		g.up, g.frozen, g.frozenCalls, g.timerAt = true, false, nil, -1
		g.handle(nil)
	}
}

func (s *sim) kill(names ...string) {
	for _, name := range names {
		s.gateways[name].up = false
		s.gateways[name].generation++
	}
}

// partition cuts all links between the groups; heal restores all links.
func (s *sim) partition(groups ...[]string) {
	for i, a := range groups {
		for j, b := range groups {
			if i != j {
				for _, x := range a {
					for _, y := range b {
						s.cut[[2]string{x, y}] = true
					}
				}
			}
		}
	}
}

func (s *sim) heal() { clear(s.cut) }

// freeze suspends a process as SIGSTOP does: its events wait, and its timers do not run.
func (s *sim) freeze(name string) { s.gateways[name].frozen = true }
func (s *sim) resume(name string) {
	g := s.gateways[name]
	g.frozen = false
	held := g.frozenCalls
	g.frozenCalls = nil
	for _, do := range held {
		do()
	}
	g.handle(nil)
}

// clock is the time on the gateway's own clock.
func (g *simGateway) clock() float64 { return g.s.now*g.clockRate + g.clockOffset }

func (g *simGateway) handle(e any) {
	if !g.up {
		return
	}
	if g.frozen {
		g.frozenCalls = append(g.frozenCalls, func() { g.handle(e) })
		return
	}
	s, generation := g.s, g.generation
	before := g.node.applied
	defer func() {
		// The applied index goes back only to 0, when a gateway drops its log or becomes a learner.
		if now := g.node.applied; now < before && now != 0 && g.up && g.generation == generation && !s.expectOldCopies {
			s.violations = append(s.violations, fmt.Sprintf("%.0f: the applied index of %s went back from %d to %d", s.now, g.settings.Name, before, now))
		}
	}()
	for _, a := range g.node.Handle(g.clock(), e) {
		switch a := a.(type) {
		case Send:
			g.send(a)
		case Save:
			s.after(g.syncMS, func() {
				if !g.up || g.generation != generation {
					return
				}
				if g.diskFails {
					g.handle(DiskFailed{Err: fmt.Errorf("disk full")})
					return
				}
				g.disk.apply(a.Record)
				g.handle(Saved{Took: g.syncMS})
			})
		case Committed:
			entry := fmt.Sprintf("%s %s %x %d %d", a.Command.StateMachine, a.Command.Kind, a.Command.Data, a.Command.From, a.Command.Seq)
			if a.Command.Kind == "snapshot" {
				continue
			}
			if other, ok := s.committed[a.Index]; ok && other != entry {
				s.violations = append(s.violations, fmt.Sprintf("%.0f: at index %d %s has %s, others have %s", s.now, a.Index, g.settings.Name, entry, other))
			}
			s.committed[a.Index] = entry
		case Outcome:
			g.outcome[a.Token] = a
			if s.onOutcome != nil {
				s.onOutcome(a.Token, a)
			}
		case Log:
			g.logLines = append(g.logLines, fmt.Sprintf("%.0f %s %v", s.now, a.Text, a.Fields))
		}
	}
	if next := g.node.Next(); next != g.timerAt {
		g.timerAt = next
		s.after(max(0, (next-g.clock())/g.clockRate), func() {
			if g.up && g.generation == generation && g.timerAt == next {
				g.timerAt = -1
				g.handle(nil)
			}
		})
	}
}

func (g *simGateway) send(a Send) {
	s, to := g.s, g.s.gateways[a.To]
	if to == nil {
		return
	}
	// Frames are encoded and decoded again, as on the wire.
	encoded := a.Frame.Append(nil)
	s.frames[g.settings.Name]++
	s.bytes += len(encoded)
	copies := 1
	if s.chance.Float64() < s.loss {
		copies = 0
	} else if s.chance.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		from := g.settings.Name
		s.after(s.delay[0]+(s.delay[1]-s.delay[0])*s.chance.Float64(), func() {
			if s.cut[[2]string{from, a.To}] || !to.up {
				return
			}
			var head [FrameHeaderSize]byte
			copy(head[:], encoded)
			f, err := DecodeFrame(head, encoded[FrameHeaderSize:])
			if err != nil {
				s.t.Fatal(err)
			}
			to.handle(Received{From: from, Frame: f})
		})
	}
}

// leaders returns the gateways that take themselves for the leader.
func (s *sim) leaders() (all []string) {
	for _, name := range s.names {
		if g := s.gateways[name]; g.up && !g.frozen && g.node.isLeader() {
			all = append(all, name)
		}
	}
	return all
}

// converged reports whether all running gateways have joined and applied as much as any of them.
func (s *sim) converged() bool {
	maxApplied := uint64(0)
	for _, g := range s.gateways {
		if g.up {
			maxApplied = max(maxApplied, g.node.applied)
		}
	}
	for _, g := range s.gateways {
		if g.up && !g.frozen && (g.node.applied != maxApplied || g.node.incarnation == 0) {
			return false
		}
	}
	return maxApplied > 0
}

// checkConsistency checks that gateways with the same applied index hold the same state to the byte.
func (s *sim) checkConsistency() {
	s.t.Helper()
	states := map[uint64][]byte{}
	for _, name := range s.names {
		g := s.gateways[name]
		if !g.up {
			continue
		}
		state := g.node.encodeState()
		if other := states[g.node.applied]; other != nil && !bytes.Equal(other, state) {
			s.t.Errorf("the state of %s differs at index %d", name, g.node.applied)
		}
		states[g.node.applied] = state
	}
	for _, violation := range s.violations {
		s.t.Error(violation)
	}
	for _, name := range s.names {
		for _, line := range s.gateways[name].logLines {
			if !s.expectOldCopies && strings.Contains(line, "old copy") {
				s.t.Errorf("%s reports its store as an old copy: %s", name, line)
			}
		}
	}
}

func (s *sim) propose(name, text string) uint64 {
	s.lastID++
	token := uint64(s.lastID)
	s.gateways[name].handle(Propose{Token: token, Command: Command{StateMachine: "ledger", Kind: "line", Data: []byte(text)}})
	return token
}

func (s *sim) lines() []string {
	var longest *ledger
	for _, name := range slices.Sorted(maps.Keys(s.gateways)) {
		if g := s.gateways[name]; g.ledger != nil && (longest == nil || len(g.ledger.Lines) > len(longest.Lines)) {
			longest = g.ledger
		}
	}
	return longest.Lines
}
