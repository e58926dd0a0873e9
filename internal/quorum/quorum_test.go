package quorum

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/canon"
)

// begun is a fleet that has founded, with all in it.
func begun(t *testing.T, seed uint64, voters, followers int) *sim {
	t.Helper()
	s := newSim(t, seed, voters, followers)
	s.start(s.names...)
	if !s.play(20_000, s.level) {
		t.Fatalf("seed %d: not level after 20 s: %v", seed, s.all["v0"].said)
	}
	return s
}

// A fleet founds, elects, gives each an incarnation, and agrees on lines from everybody in one order, each once, over a network
// that loses and doubles.
func TestReplicatesInOrder(t *testing.T) {
	for seed := range uint64(5) {
		s := begun(t, seed, 3, 3)
		s.loss, s.twice = 0.1, 0.1
		tokens := map[string][]uint64{}
		for i := range 20 {
			for _, name := range s.names {
				tokens[name] = append(tokens[name], s.propose(name, fmt.Sprintf("%s-%02d", name, i)))
			}
			s.play(50, nil)
		}
		s.loss, s.twice = 0, 0
		s.play(10_000, nil)
		lines := s.lines()
		if len(lines) != 20*len(s.names) {
			t.Errorf("seed %d: %d lines", seed, len(lines))
		}
		for _, name := range s.names {
			own := slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return l[:2] != name })
			if !slices.IsSorted(own) || len(slices.Compact(own)) != 20 {
				t.Errorf("seed %d: of %s: %v", seed, name, own)
			}
			for _, token := range tokens[name] {
				if o, ok := s.all[name].outcome[token]; !ok || o.Err != nil && !errors.Is(o.Err, ErrRepeated) {
					t.Errorf("seed %d: outcome at %s: %v %v", seed, name, ok, o)
				}
			}
		}
		if !s.level() {
			t.Errorf("seed %d: not level", seed)
		}
		s.same()
	}
}

// standing is how a name stands at every gateway that is up; they must agree.
func (s *sim) standing(name string) MemberState {
	s.t.Helper()
	at, found := Unknown, ""
	for _, x := range s.names {
		if g := s.all[x]; g.up && !g.frozen && !g.node.yielded {
			now := Unknown
			if m := g.node.members.Names[name]; m != nil {
				now = m.Standing
			}
			if found != "" && now != at {
				s.t.Errorf("%s is %v at %s and %v at %s", name, at, found, now, x)
			}
			at, found = now, x
		}
	}
	return at
}

// A member is joined, silent once its lease ran out, returned under the same incarnation, left when it says so, and a new
// incarnation when it starts anew; all gateways say the same at the same place of the log.
func TestMemberStates(t *testing.T) {
	s := begun(t, 7, 3, 3)
	s.play(10_000, nil)
	for _, name := range s.names {
		if s.standing(name) != Joined || s.all["v0"].node.members.Names[name].Losses != 0 {
			t.Errorf("%s is %v", name, s.standing(name))
		}
	}
	first := s.all["f1"].node.incarnation
	s.freeze("f1")
	if !s.play(6_000, func() bool { return s.all["v0"].node.members.Names["f1"].Standing == Silent }) {
		t.Error("frozen, f1 is not said to be silent")
	}
	s.wake("f1")
	s.play(3_000, nil)
	if s.standing("f1") != Joined || s.all["f1"].node.incarnation != first || s.all["v0"].node.members.Names["f1"].Losses != 1 {
		t.Errorf("awake, f1 is %v, incarnation %d then %d", s.standing("f1"), first, s.all["f1"].node.incarnation)
	}
	s.all["f1"].handle(Leave{})
	s.play(1_000, nil)
	if s.standing("f1") != Left {
		t.Errorf("after its goodbye f1 is %v", s.standing("f1"))
	}
	s.kill("f1")
	s.play(5_000, nil)
	s.start("f1")
	s.play(3_000, nil)
	if s.standing("f1") != Joined || s.all["f1"].node.incarnation <= first {
		t.Errorf("started anew, f1 is %v, incarnation %d after %d", s.standing("f1"), s.all["f1"].node.incarnation, first)
	}
	s.same()
}

// A change of leader says nobody to be silent, however often it comes.
func TestLeaderChangeRenewsLeases(t *testing.T) {
	s := begun(t, 8, 5, 4)
	for range 6 {
		lead := s.leaders()
		if len(lead) != 1 {
			t.Fatalf("leaders: %v", lead)
		}
		s.all[lead[0]].node.transferLeadership()
		s.all[lead[0]].handle(nil)
		s.play(2_500, nil)
	}
	for _, name := range s.names {
		if m := s.all["v0"].node.members.Names[name]; m.Standing != Joined || m.Losses != 0 {
			t.Errorf("%s is %v after %d losses", name, m.Standing, m.Losses)
		}
	}
}

// Two processes under one name: the older is told to yield, asks for nothing more, and what it still had on its way does not
// count; the log says that the name was doubled.
func TestDuplicateName(t *testing.T) {
	s := begun(t, 9, 3, 2)
	old := s.all["f0"]
	old.node.propose(Propose{Token: 900, Command: Command{Book: "ledger", Data: []byte("late")}})
	late := old.node.pending[0].command // on its way, as it were
	old.node.pending = nil
	// Its successor starts under the same name beside it.
	twin := &gate{s: s, set: old.set, took: 1, fast: 1, outcome: map[uint64]Outcome{}}
	s.all["f0"] = twin
	s.start("f0")
	if !s.play(5_000, func() bool { return twin.node.incarnation > old.node.incarnation }) {
		t.Fatal("the newer has no incarnation")
	}
	s.all["v0"].node.forward([]Command{late})
	s.all["v1"].node.forward([]Command{late})
	s.all["v2"].node.forward([]Command{late})
	s.play(500, nil)
	if slices.Contains(s.lines(), "late") {
		t.Error("a command of a replaced process counted")
	}
	// What the older still says reaches a voter, whichever it is, which tells it; and the leader, which says so in the log.
	for _, name := range []string{"v0", "v1", "v2"} {
		host := s.all[name]
		host.handle(Received{From: "f0", Frame: Frame{Kind: KindRenew, Cluster: host.node.founding.Cluster, ID: old.node.id.ID, Nonce: old.node.nonce,
			FromFollower: true, Renewals: []Renewal{{Incarnation: old.node.incarnation, Name: "f0"}}}})
	}
	// The yield went to the name, and so to the newer one, which it does not concern; the older reads it on its own connection.
	old.handle(Received{From: "v0", Frame: Frame{Kind: KindYield, Nonce: old.node.nonce}})
	s.play(3000, nil)
	for _, m := range s.all["v1"].node.members.All() {
		if want := map[string]uint64{"f0": old.node.incarnation}[m.Name]; m.Doubled != want {
			t.Errorf("%s is doubled by %d, want %d", m.Name, m.Doubled, want)
		}
	}
	if !old.node.yielded || twin.node.yielded {
		t.Errorf("yielded: older %t, newer %t", old.node.yielded, twin.node.yielded)
	}
	if old.handle(Propose{Token: 901}); old.outcome[901].Err != ErrYielded {
		t.Errorf("the older proposes: %v", old.outcome[901])
	}
}

// A voter whose store is lost is somebody else from then on: it gets another identity, follows, and never votes as the old one.
// The last of three that is left alone agrees on nothing.
func TestLostStoreNeverVotes(t *testing.T) {
	for seed := range uint64(10) { // whoever leads, and whomever it follows
		lostStore(t, 200+seed)
	}
}

func lostStore(t *testing.T, seed uint64) {
	s := begun(t, seed, 3, 0)
	s.propose("v0", "one")
	s.play(1000, nil)
	was := s.all["v1"].disk.identity
	s.kill("v1")
	s.all["v1"].disk = disk{}
	s.start("v1")
	s.play(5_000, nil)
	g := s.all["v1"]
	if g.disk.identity.ID == was.ID || g.node.raft != nil || g.node.incarnation == 0 || !slices.Equal(g.book.Lines, []string{"one"}) {
		t.Errorf("identity %v after %v, votes %t, lines %v", g.disk.identity, was, g.node.raft != nil, g.book.Lines)
	}
	s.kill("v2")
	token := s.propose("v0", "two")
	s.play(20_000, nil)
	if lead := s.leaders(); len(lead) != 0 || s.all["v0"].outcome[token].Err != ErrGivenUp || len(s.lines()) != 1 {
		t.Errorf("with one voter of three: leaders %v, outcome %v, lines %v", lead, s.all["v0"].outcome[token], s.lines())
	}
	s.start("v2")
	s.play(10_000, nil)
	if !s.level() || s.all["v1"].node.raft != nil {
		t.Error("with two of three again, not level")
	}
	s.same()
}

// All founders but one have lost their stores, or all but one are away: nobody founds a second fleet.
func TestFleetIsFoundedOnce(t *testing.T) {
	s := begun(t, 11, 3, 0)
	fleet := s.all["v2"].node.founding.Cluster
	s.kill("v0", "v1", "v2")
	s.all["v0"].disk, s.all["v1"].disk = disk{}, disk{}
	s.start("v0", "v1")
	s.play(20_000, nil)
	if s.all["v0"].node.founding != nil || s.all["v1"].node.founding != nil {
		t.Error("two of three with empty stores founded a fleet")
	}
	s.start("v2")
	s.play(5_000, nil)
	for _, name := range s.names {
		if f := s.all[name].node.founding; f == nil || f.Cluster != fleet {
			t.Errorf("%s belongs to %v", name, f)
		}
	}
	if s.propose("v2", "x"); len(s.leaders()) != 0 {
		t.Error("a majority of the voters has lost its stores, and somebody leads")
	}
}

// A disk that fails ends a gateway's vote and nothing else; one that is slow hands over the lead.
func TestFailedAndSlowDisks(t *testing.T) {
	s := begun(t, 12, 3, 1)
	lead := s.leaders()[0]
	s.all[lead].took = 700 // too slow by the setting, and not so slow that the others would miss it
	s.propose(lead, "slow")
	if !s.play(15_000, func() bool { l := s.leaders(); return len(l) == 1 && l[0] != lead }) {
		t.Errorf("a slow disk still leads: %v", s.leaders())
	}
	s.all[lead].took = 1
	next := s.leaders()[0]
	s.all[next].fails = true
	s.propose(next, "full")
	s.play(15_000, nil)
	if l := s.leaders(); len(l) != 1 || l[0] == next || !s.all[next].node.broken || s.all[next].node.Report(s.now).Role != "broken" {
		t.Errorf("leaders %v after the disk of %s failed", l, next)
	}
	s.same()
}

// Faults in an order by seed: parted, frozen, killed with the store kept, messages lost and doubled. What was agreed is the
// same everywhere, throughout; once faults stop all are level, and no line counts twice or out of its order.
func TestFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 100+seed, 3+2*int(seed%2), 2)
		for _, g := range s.all {
			g.set.Replace = []float64{0, 2500, 8000}[seed%3]
		}
		s.start(s.names...)
		if !s.play(20_000, s.level) {
			t.Fatalf("seed %d: not level", seed)
		}
		s.loss, s.twice = 0.05, 0.05
		n := 0
		for range 25 {
			name := s.names[int(s.chance.Next())%len(s.names)]
			g := s.all[name]
			switch s.chance.Next() % 6 {
			case 0:
				i := 1 + int(s.chance.Next())%(len(s.names)-1)
				s.part(s.names[:i], s.names[i:])
			case 1:
				other := s.names[int(s.chance.Next())%len(s.names)]
				s.cut[[2]string{name, other}] = true
			case 2:
				if g.up && !g.frozen {
					s.freeze(name)
				}
			case 3:
				if g.up && !g.frozen {
					s.kill(name)
				}
			case 4:
				s.heal()
			case 5:
				if !g.up {
					s.start(name)
				} else if g.frozen {
					s.wake(name)
				}
			}
			for _, name := range s.names {
				if g := s.all[name]; g.up && !g.frozen && g.node.incarnation != 0 {
					n++
					s.propose(name, fmt.Sprintf("%s-%d-%05d", name, g.node.incarnation, n))
				}
			}
			s.play(100+1500*s.chance.Below(), nil)
		}
		s.heal()
		s.loss, s.twice = 0, 0
		for _, name := range s.names {
			if g := s.all[name]; !g.up {
				s.start(name)
			} else if g.frozen {
				s.wake(name)
			}
		}
		if s.play(30_000, nil); !s.level() {
			t.Errorf("seed %d: not level 30 s after the last fault", seed)
		}
		seen, last := map[string]bool{}, map[string]string{}
		for _, l := range s.lines() {
			by := l[:len(l)-6]
			if seen[l] || l < last[by] {
				t.Errorf("seed %d: %s twice, or after %s", seed, l, last[by])
			}
			seen[l], last[by] = true, l
		}
		s.same()
	}
}

// Word from before this process began founds nothing: who said it may have a fleet by now.
func TestStaleHelloDoesNotFoundFleet(t *testing.T) {
	s := newSim(t, 13, 3, 0)
	s.start("v0")
	s.play(50, nil) // its identity is on its disk
	for _, name := range []string{"v1", "v2"} {
		s.all["v0"].handle(Received{From: name, Frame: Frame{Kind: Hello, ID: 77, Nonce: 5, EchoNonce: s.all["v0"].node.nonce + 2}})
	}
	if f := s.all["v0"].node.founding; f != nil {
		t.Errorf("founded %v", f)
	}
}

// Who has said goodbye stays gone under that incarnation, whatever is late on its way; a name that starts anew is there again.
func TestLeftMemberStaysLeft(t *testing.T) {
	m := newMembers(2)
	join := func(index uint64, name string, nonce uint64) any {
		return m.Apply(index, Command{Kind: cmdJoin, Data: canon.Encode(Member{Name: name, Nonce: nonce})})
	}
	join(1, "a", 1)
	m.Apply(2, Command{Kind: cmdLeave, Data: canon.Encode(Member{Name: "a", Incarnation: 1})})
	for i, kind := range []string{cmdReturn, cmdSilent, cmdLeave} {
		if r := m.Apply(uint64(3+i), Command{Kind: kind, Data: canon.Encode(Member{Name: "a", Incarnation: 1, Since: 2})}); r != ErrRepeated || m.Names["a"].Standing != Left {
			t.Errorf("%s after the goodbye: %v, %v", kind, r, m.Names["a"].Standing)
		}
	}
	join(6, "b", 2)
	if r, ok := join(7, "c", 3).(Member); !ok || r.Incarnation != 3 || m.Names["a"] != nil {
		t.Errorf("with no room, the one that is gone goes: %v", m.All())
	}
	if r := join(8, "d", 4); r != ErrFull {
		t.Errorf("with all there, a new name: %v", r)
	}
	if r, ok := join(9, "b", 2).(Member); !ok || r.Incarnation != 2 {
		t.Errorf("a join that comes twice: %v", r)
	}
}

// The same events bring the same actions: a day with losses and a change of leader plays alike to the last line.
func TestSimulationIsDeterministic(t *testing.T) {
	day := func() string {
		s := begun(t, 21, 5, 3)
		s.loss, s.twice = 0.1, 0.1
		for i := range 10 {
			for _, name := range s.names {
				s.propose(name, fmt.Sprint(name, i))
			}
			if lead := s.leaders(); i == 5 && len(lead) > 0 {
				s.freeze(lead[0])
			}
			s.play(700, nil)
		}
		text := fmt.Sprint(s.agreed)
		for _, name := range s.names {
			text += fmt.Sprint(s.all[name].said)
		}
		return text
	}
	if one, two := day(), day(); one != two {
		t.Error("two plays of one day differ")
	}
}

// Idle, the agreement costs each gateway a few frames a second and the log does not grow, at 3, 30 and 300 gateways; the leader
// hears its voters alone.
func TestIdleTraffic(t *testing.T) {
	for _, c := range []struct{ voters, followers int }{{3, 0}, {5, 25}, {7, 293}} {
		s := begun(t, 31, c.voters, c.followers)
		s.play(5000, nil)
		place := s.all["v0"].node.applied
		clear(s.frames)
		s.bytes = 0
		s.play(10_000, nil)
		sum, most := 0, 0
		for _, n := range s.frames {
			sum, most = sum+n, max(most, n)
		}
		t.Logf("%d gateways: %.0f frames a second in all, %.0f bytes each, %.0f from the busiest", len(s.names), float64(sum)/10,
			float64(s.bytes)/float64(sum), float64(most)/10)
		lead := s.leaders()
		if len(lead) != 1 || s.all["v0"].node.applied != place {
			t.Errorf("%d gateways: leaders %v, the log went from %d to %d", len(s.names), lead, place, s.all["v0"].node.applied)
		}
		if per := float64(sum) / 10 / float64(len(s.names)); per > 20 || most > 1500 {
			t.Errorf("%d gateways: %.1f frames a second each, %d in ten seconds from one", len(s.names), per, most)
		}
	}
}

// One that was away for longer than the log reaches back is brought up by the state itself, in one piece, and by entries in
// bounded ones where the log still has them; the others' commands go on meanwhile.
func TestLaggingGatewayCatchesUp(t *testing.T) {
	s := begun(t, 32, 3, 2)
	s.kill("f0", "v2")
	s.freeze("f1")
	for i := range 300 { // six times what is kept
		s.propose("v0", fmt.Sprintf("line %04d", i))
		s.play(20, nil)
	}
	s.play(3000, nil)
	if len(s.all["v0"].book.Lines) != 300 {
		t.Fatalf("%d lines agreed while three are away", len(s.all["v0"].book.Lines))
	}
	if first, _ := s.all["v0"].node.storage.FirstIndex(); first < 100 {
		t.Errorf("the log still begins at %d", first)
	}
	s.start("f0", "v2")
	s.wake("f1")
	if !s.play(10_000, s.level) {
		t.Error("not level")
	}
	for _, name := range s.names {
		if lines := s.all[name].book.Lines; len(lines) != 300 || !slices.IsSorted(lines) {
			t.Errorf("%s has %d lines", name, len(lines))
		}
	}
	s.same()
}

// One gateway may agree with itself, and others follow it.
func TestSingleVoter(t *testing.T) {
	s := begun(t, 33, 1, 2)
	token := s.propose("f0", "one")
	s.play(2000, nil)
	if o, ok := s.all["f0"].outcome[token]; !ok || o.Err != nil || len(s.all["f1"].book.Lines) != 1 {
		t.Errorf("outcome %v %v, lines at another %v", ok, o, s.all["f1"].book.Lines)
	}
}

// A voter whose store is lost for good is replaced by one of another club that was brought up first, so that the next loss
// leaves a majority; what comes back after its vote was given away follows, as somebody else. Never two at once.
func TestVoterReplaced(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, 300+seed, 3, 4)
		for _, g := range s.all {
			g.set.Replace = 4000
		}
		s.start(s.names...)
		if !s.play(20_000, s.level) {
			t.Fatal("not level")
		}
		lead := s.leaders()[0]
		var others []string
		for _, name := range []string{"v0", "v1", "v2"} {
			if name != lead {
				others = append(others, name)
			}
		}
		lost, late := others[0], others[1]
		s.kill(lost)
		voting := func(name string) bool {
			g := s.all[name]
			return g.up && g.node.raft != nil && g.node.roleOf(g.node.id.ID) == roleVoter
		}
		count := func() (n int) {
			for _, name := range s.names {
				if voting(name) {
					n++
				}
			}
			return n
		}
		if !s.play(40_000, func() bool { return count() == 3 }) {
			t.Fatalf("seed %d: nobody took the vote of %s", seed, lost)
		}
		zones := map[string]bool{}
		for _, name := range s.names {
			if voting(name) {
				zones[s.all[name].set.Zone] = true
			}
		}
		if len(zones) != 3 {
			t.Errorf("seed %d: the voters are of clubs %v", seed, zones)
		}
		s.play(3000, nil)
		was := s.all[lost].disk.identity
		s.kill(late)
		token := s.propose(lead, "with two of three")
		s.play(8000, nil)
		if o, ok := s.all[lead].outcome[token]; !ok || o.Err != nil {
			t.Errorf("seed %d: after the next loss nothing is agreed: %v", seed, o)
		}
		s.start(lost, late)
		if !s.play(30_000, s.level) {
			t.Errorf("seed %d: not level", seed)
		}
		s.play(3000, nil)
		if g := s.all[lost]; g.disk.identity == was || g.node.raft != nil || count() != 3 {
			t.Errorf("seed %d: %s came back as %v after %v, votes %t, %d voters", seed, lost, g.disk.identity, was, g.node.raft != nil, count())
		}
		s.same()
	}
}

// After a restart of all nobody is replaced, however long the others took to come back.
func TestMassRestartReplacesNobody(t *testing.T) {
	s := newSim(t, 320, 5, 3)
	for _, g := range s.all {
		g.set.Replace = 4000
	}
	s.start(s.names...)
	s.play(15_000, s.level)
	s.kill(s.names...)
	s.play(20_000, nil)
	// A majority leads long before the last is back, and those that could take its place are there.
	s.start("v0", "v1", "v2", "f0", "f1", "f2")
	if !s.play(10_000, func() bool { return len(s.leaders()) == 1 }) {
		t.Fatal("nobody leads")
	}
	s.play(2500, nil)
	s.start("v3")
	s.play(500, nil)
	s.start("v4")
	s.play(20_000, nil)
	if c := s.all["v0"].node.conf; len(c.Voters) != 5 || len(c.Learners) != 0 {
		t.Errorf("after a restart of all: %v", c)
	}
	for _, name := range s.names[:5] {
		if s.all[name].node.roleOf(s.all[name].node.id.ID) != roleVoter {
			t.Errorf("%s votes no more", name)
		}
	}
}

// What was said of a member holds as long as it stands as it did then: a second copy of a word that it is silent, late, does not
// count after its return; a join that was late on its way does not replace the process that came after it.
func TestDelayedMemberCommands(t *testing.T) {
	m := newMembers(4)
	apply := func(index uint64, kind string, x Member) any {
		return m.Apply(index, Command{Kind: kind, Data: canon.Encode(x)})
	}
	apply(1, cmdJoin, Member{Name: "a", Nonce: 1})
	lost := Member{Name: "a", Incarnation: 1, Since: 1}
	apply(2, cmdSilent, lost)
	apply(3, cmdReturn, Member{Name: "a", Incarnation: 1, Since: 2})
	if r := apply(4, cmdSilent, lost); r != ErrRepeated || m.Names["a"].Standing != Joined || m.Names["a"].Losses != 1 {
		t.Errorf("said twice: %v, %+v", r, m.Names["a"])
	}
	apply(5, cmdJoin, Member{Name: "a", Nonce: 2, Incarnation: 1})
	if r := apply(6, cmdJoin, Member{Name: "a", Nonce: 3, Incarnation: 1}); r != ErrReplaced || m.Names["a"].Nonce != 2 {
		t.Errorf("a late join: %v, %+v", r, m.Names["a"])
	}
	if r := apply(7, cmdLeave, Member{Name: "a", Incarnation: 1}); r != ErrReplaced || m.Names["a"].Standing != Joined {
		t.Errorf("a late goodbye: %v, %+v", r, m.Names["a"])
	}
	if r, ok := apply(8, cmdJoin, Member{Name: "a", Nonce: 3, Incarnation: 2}).(Member); !ok || r.Incarnation != 3 {
		t.Errorf("a join that knows of the last: %v", r)
	}
}

// A voter that lags, and has not heard that somebody votes, answers it all the same: its vote may be the one that is missing.
func TestLaggingVoterAnswers(t *testing.T) {
	s := begun(t, 34, 3, 1)
	lead := s.leaders()[0]
	g := s.all[map[bool]string{true: "v1", false: "v0"}[lead == "v0"]]
	s.kill(lead)
	s.play(1500, func() bool { return g.node.leaderForgotten })
	kind, from, to, term, index := raftpb.MessageType_MsgPreVote, uint64(999), g.node.id.ID, uint64(1000), uint64(1000)
	b, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to, Term: &term, LogTerm: &term, Index: &index})
	if err != nil {
		t.Fatal(err)
	}
	answered := false
	for _, a := range g.node.Handle(s.now, Received{From: "new", Frame: Frame{Kind: KindRaft, Cluster: g.node.founding.Cluster, ID: from, Data: b}}) {
		if a, ok := a.(Send); ok && a.To == "new" && a.Frame.Kind == KindRaft {
			var m raftpb.Message
			answered = proto.Unmarshal(a.Frame.Data, &m) == nil && m.GetType() == raftpb.MessageType_MsgPreVoteResp && !m.GetReject()
		}
	}
	if !answered {
		t.Error("no vote for one that it does not know")
	}
}

// A disk that does not answer at all costs the lead before it comes back, and is told by name.
func TestDiskHangs(t *testing.T) {
	s := begun(t, 35, 3, 0)
	lead := s.leaders()[0]
	s.all[lead].took = 60_000
	s.propose(lead, "hangs")
	if !s.play(15_000, func() bool { l := s.leaders(); return len(l) == 1 && l[0] != lead }) {
		t.Errorf("leaders %v while a disk hangs", s.leaders())
	}
	if g := s.all[lead]; !g.node.diskHung || g.node.Report(s.now).Majority && g.node.isLeader() {
		t.Errorf("hangs %t, %+v", g.node.diskHung, g.node.Report(s.now))
	}
	if token := s.propose(s.leaders()[0], "goes on"); !s.play(5000, func() bool { return s.all[s.leaders()[0]].outcome[token].Index > 0 }) {
		t.Error("nothing is agreed beside a disk that hangs")
	}
	s.same()
}

// One that broke follows on, and so hears what becomes of its vote; what is too large for a frame is refused by name.
func TestBrokenGatewayFollows(t *testing.T) {
	s := begun(t, 36, 3, 0)
	g := s.all["v1"]
	g.handle(Broken{Err: errors.New("read-only")})
	s.propose("v0", "after")
	if !s.play(10_000, func() bool { return slices.Contains(g.book.Lines, "after") }) {
		t.Errorf("broken, it has %v", g.book.Lines)
	}
	if g.handle(Propose{Token: 7000, Command: Command{Book: "ledger", Data: make([]byte, maxCommandSize+1)}}); g.outcome[7000].Err != ErrLarge {
		t.Errorf("too large: %v", g.outcome[7000])
	}
}

// Whoever is elected leads on. The first election of a fleet is the last, too: an elected one that found no majority at once, by
// beats that it owed from before, would cost another.
func TestElectedLeaderStaysLeader(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, 400+seed, 5, 0)
		s.start(s.names...)
		for i := range 2 {
			if !s.play(10_000, func() bool { return len(s.leaders()) == 1 }) {
				t.Fatalf("seed %d: nobody leads", seed)
			}
			lead, at := s.leaders()[0], s.now
			term := s.all[lead].node.raft.BasicStatus().GetTerm()
			if i == 0 && (term != 2 || at > 2200) {
				t.Errorf("seed %d: the first to lead does from %.0f ms on, in term %d", seed, at, term)
			}
			s.play(10_000, nil)
			if now := s.leaders(); len(now) != 1 || now[0] != lead || s.all[lead].node.raft.BasicStatus().GetTerm() != term {
				t.Errorf("seed %d: %s led, now %v", seed, lead, now)
			}
			s.kill(lead)
		}
	}
}

// One whose vote was given to another while it was away gives up what it had waiting: it may have been agreed, and would count once
// more under another incarnation.
func TestRemovedVoterDropsPending(t *testing.T) {
	s := begun(t, 37, 3, 0)
	g := s.all["v1"]
	s.part([]string{"v1"}, []string{"v0", "v2"})
	token := s.propose("v1", "waits")
	g.handle(Received{From: "v0", Frame: Frame{Kind: KindRemoved, Cluster: g.node.founding.Cluster, Voters: []uint64{1, 2}, Applied: 1000}})
	s.play(50, nil)
	if o := g.outcome[token]; o.Err != ErrGivenUp || len(g.node.pending) != 0 || g.node.raft != nil || g.disk.hard != nil || g.disk.identity != g.node.id {
		t.Errorf("outcome %v, %d wait, votes %t, identity %v on the disk, %v", o, len(g.node.pending), g.node.raft != nil, g.disk.identity, g.node.id)
	}
}

// A leader that leaves says so in the log, and another leads before anybody would have missed it.
func TestLeaderLeaves(t *testing.T) {
	s := begun(t, 38, 3, 1)
	lead := s.leaders()[0]
	s.all[lead].handle(Leave{})
	if !s.play(s.all[lead].set.Election/2, func() bool { l := s.leaders(); return len(l) == 1 && l[0] != lead }) {
		t.Errorf("leaders %v", s.leaders())
	}
	s.kill(lead)
	s.play(1500, nil)
	if s.standing(lead) != Left {
		t.Errorf("%s is %v", lead, s.standing(lead))
	}
}
