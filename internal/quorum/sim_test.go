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

	"poppymill/internal/canon"
	"poppymill/internal/chance"
)

// sim plays gateways in virtual time: one queue of what is due, chance from a seed, disks that keep only what was synced.
type sim struct {
	t      *testing.T
	now    float64
	made   int
	due    dues
	chance chance.Chance
	all    map[string]*gate
	names  []string
	cut    map[[2]string]bool // from, to
	loss   float64
	twice  float64
	delay  [2]float64
	frames map[string]int // sent, by who sends
	bytes  int
	agreed map[uint64]string // what stands at each place, the same for all
	wrong  []string
	ended  func(uint64, Outcome)
	copies bool // old copies of stores are put back: gateways may say so
}

type gate struct {
	s       *sim
	set     Settings
	disk    disk
	node    *Node
	life    int
	up      bool
	frozen  bool
	held    []func() // what came while it was frozen
	rung    float64
	fast    float64 // its clock, for each ms
	ahead   float64 // ms that its clock has jumped by
	took    float64 // ms of a sync
	fails   bool
	book    *ledger
	outcome map[uint64]Outcome
	said    []string
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

func (d *disk) put(r Record) {
	if r.Anew {
		d.hard, d.snapshot, d.entries = nil, nil, nil
	}
	if r.Identity != nil {
		d.identity = *r.Identity
	}
	if r.Starts > 0 {
		d.starts = r.Starts
	}
	if r.Marks != nil {
		d.marks = r.Marks
	}
	if r.Founding != nil {
		d.founding = r.Founding
	}
	if r.Snapshot != nil {
		d.snapshot = proto.Clone(r.Snapshot).(*raftpb.Snapshot)
		at := r.Snapshot.GetMetadata().GetIndex()
		if r.Compact == 0 {
			d.entries = nil
		}
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= at })
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].GetIndex()
		d.entries = slices.DeleteFunc(d.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		for _, e := range r.Entries {
			d.entries = append(d.entries, proto.Clone(e).(*raftpb.Entry))
		}
	}
	if r.Hard != nil {
		d.hard = proto.Clone(r.Hard).(*raftpb.HardState)
	}
}

func (d disk) store() Store {
	s := Store{Identity: d.identity, Starts: d.starts, Marks: maps.Clone(d.marks), Founding: d.founding, Entries: slices.Clone(d.entries)}
	if d.hard != nil {
		s.Hard = proto.Clone(d.hard).(*raftpb.HardState)
	}
	if d.snapshot != nil {
		s.Snapshot = proto.Clone(d.snapshot).(*raftpb.Snapshot)
	}
	return s
}

type due struct {
	at float64
	n  int
	do func()
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at || d[i].at == d[j].at && d[i].n < d[j].n }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// ledger is a book that keeps what it was told, in order.
type ledger struct{ Lines []string }

func (l *ledger) Apply(index uint64, c Command) any {
	l.Lines = append(l.Lines, string(c.Data))
	return len(l.Lines)
}
func (l *ledger) Save() []byte { return canon.Encode(l.Lines) }
func (l *ledger) Load(b []byte) error {
	if l.Lines = nil; b == nil {
		return nil
	}
	return canon.Decode(b, &l.Lines)
}

// newSim makes voters v0, v1 ... and followers f0, f1 ..., dealt over three clubs, none of them started.
func newSim(t *testing.T, seed uint64, voters, followers int) *sim {
	s := &sim{t: t, chance: chance.Chance(seed*2 + 1), all: map[string]*gate{}, cut: map[[2]string]bool{}, delay: [2]float64{1, 5}, agreed: map[uint64]string{}, frames: map[string]int{}}
	for range 4 {
		s.chance.Next()
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
		set.Name, set.Zone, set.Seed, set.Peers, set.Keep = name, fmt.Sprintf("club-%d", i%3), seed, map[string]string{}, 50
		s.all[name] = &gate{s: s, set: set, took: 1, fast: 1, outcome: map[uint64]Outcome{}}
		s.names = append(s.names, name)
	}
	for _, g := range s.all {
		g.set.Founders = founders
		for _, name := range s.names {
			if name != g.set.Name {
				g.set.Peers[name] = name
			}
		}
	}
	return s
}

func (s *sim) after(ms float64, do func()) {
	s.made++
	heap.Push(&s.due, due{s.now + ms, s.made, do})
}

// play goes on for some time, or until something holds.
func (s *sim) play(ms float64, until func() bool) bool {
	still, end := 0, s.now+ms
	for len(s.due) > 0 && s.due[0].at <= end {
		d := heap.Pop(&s.due).(due)
		if still++; d.at > s.now {
			still = 0
		} else if still > 100_000 {
			s.t.Fatalf("time stands still at %.0f ms", s.now)
		}
		s.now = d.at
		d.do()
		if until != nil && until() {
			return true
		}
	}
	s.now = end
	return until == nil
}

func (s *sim) start(names ...string) {
	for _, name := range names {
		g := s.all[name]
		g.life++
		g.book = &ledger{}
		var err error
		g.node, err = New(g.set, g.disk.store(), map[string]Book{"ledger": g.book, "cell": &cell{}}, uint64(s.chance.Next())<<8|uint64(g.life), g.clock())
		if err != nil {
			s.t.Fatal(err)
		}
		g.up, g.frozen, g.held, g.rung = true, false, nil, -1
		g.handle(nil)
	}
}

func (s *sim) kill(names ...string) {
	for _, name := range names {
		s.all[name].up = false
		s.all[name].life++
	}
}

// part cuts all ways between groups; heal mends all.
func (s *sim) part(groups ...[]string) {
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

// freeze stops a process as SIGSTOP does: what comes waits, its time stands still for it.
func (s *sim) freeze(name string) { s.all[name].frozen = true }
func (s *sim) wake(name string) {
	g := s.all[name]
	g.frozen = false
	held := g.held
	g.held = nil
	for _, do := range held {
		do()
	}
	g.handle(nil)
}

// clock is the time by a gate's own clock.
func (g *gate) clock() float64 { return g.s.now*g.fast + g.ahead }

func (g *gate) handle(e any) {
	if !g.up {
		return
	}
	if g.frozen {
		g.held = append(g.held, func() { g.handle(e) })
		return
	}
	s, life := g.s, g.life
	before := g.node.applied
	defer func() {
		// Only what gives up its log, or is brought up to vote, begins anew; nobody goes back to where it was.
		if now := g.node.applied; now < before && now != 0 && g.up && g.life == life && !s.copies {
			s.wrong = append(s.wrong, fmt.Sprintf("%.0f: %s goes back from %d to %d", s.now, g.set.Name, before, now))
		}
	}()
	for _, a := range g.node.Handle(g.clock(), e) {
		switch a := a.(type) {
		case Send:
			g.send(a)
		case Save:
			s.after(g.took, func() {
				if !g.up || g.life != life {
					return
				}
				if g.fails {
					g.handle(Broken{Err: fmt.Errorf("disk full")})
					return
				}
				g.disk.put(a.Record)
				g.handle(Saved{Took: g.took})
			})
		case Agreed:
			text := fmt.Sprintf("%s %s %x %d %d", a.Command.Book, a.Command.Kind, a.Command.Data, a.Command.From, a.Command.Seq)
			if a.Command.Kind == "snapshot" {
				continue
			}
			if old, ok := s.agreed[a.Index]; ok && old != text {
				s.wrong = append(s.wrong, fmt.Sprintf("%.0f: at %d %s has %s, others %s", s.now, a.Index, g.set.Name, text, old))
			}
			s.agreed[a.Index] = text
		case Outcome:
			g.outcome[a.Token] = a
			if s.ended != nil {
				s.ended(a.Token, a)
			}
		case Say:
			g.said = append(g.said, fmt.Sprintf("%.0f %s %v", s.now, a.Text, a.Fields))
		}
	}
	if next := g.node.Next(); next != g.rung {
		g.rung = next
		s.after(max(0, (next-g.clock())/g.fast), func() {
			if g.up && g.life == life && g.rung == next {
				g.rung = -1
				g.handle(nil)
			}
		})
	}
}

func (g *gate) send(a Send) {
	s, to := g.s, g.s.all[a.To]
	if to == nil {
		return
	}
	// What goes out is read again from its bytes, as on a wire.
	text := a.Frame.Append(nil)
	s.frames[g.set.Name]++
	s.bytes += len(text)
	times := 1
	if s.chance.Below() < s.loss {
		times = 0
	} else if s.chance.Below() < s.twice {
		times = 2
	}
	for range times {
		from := g.set.Name
		s.after(s.delay[0]+(s.delay[1]-s.delay[0])*s.chance.Below(), func() {
			if s.cut[[2]string{from, a.To}] || !to.up {
				return
			}
			var head [FrameHead]byte
			copy(head[:], text)
			f, err := Read(head, text[FrameHead:])
			if err != nil {
				s.t.Fatal(err)
			}
			to.handle(Received{From: from, Frame: f})
		})
	}
}

// leaders are those that believe they lead.
func (s *sim) leaders() (all []string) {
	for _, name := range s.names {
		if g := s.all[name]; g.up && !g.frozen && g.node.isLeader() {
			all = append(all, name)
		}
	}
	return all
}

// level tells whether all that are up know the same, as far as anybody does.
func (s *sim) level() bool {
	most := uint64(0)
	for _, g := range s.all {
		if g.up {
			most = max(most, g.node.applied)
		}
	}
	for _, g := range s.all {
		if g.up && !g.frozen && (g.node.applied != most || g.node.incarnation == 0) {
			return false
		}
	}
	return most > 0
}

// same checks that all books that are level hold the same to the byte.
func (s *sim) same() {
	s.t.Helper()
	states := map[uint64][]byte{}
	for _, name := range s.names {
		g := s.all[name]
		if !g.up {
			continue
		}
		text := g.node.encodeState()
		if old := states[g.node.applied]; old != nil && !bytes.Equal(old, text) {
			s.t.Errorf("%s differs at %d", name, g.node.applied)
		}
		states[g.node.applied] = text
	}
	for _, w := range s.wrong {
		s.t.Error(w)
	}
	for _, name := range s.names {
		for _, line := range s.all[name].said {
			if !s.copies && strings.Contains(line, "old copy") {
				s.t.Errorf("%s takes its own store for an old copy: %s", name, line)
			}
		}
	}
}

func (s *sim) propose(name, text string) uint64 {
	s.made++
	token := uint64(s.made)
	s.all[name].handle(Propose{Token: token, Command: Command{Book: "ledger", Kind: "line", Data: []byte(text)}})
	return token
}

func (s *sim) lines() []string {
	var best *ledger
	for _, name := range slices.Sorted(maps.Keys(s.all)) {
		if g := s.all[name]; g.book != nil && (best == nil || len(g.book.Lines) > len(best.Lines)) {
			best = g.book
		}
	}
	return best.Lines
}
