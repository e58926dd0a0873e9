package quorum

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/codec"
)

// newRunningSim returns a fleet that is founded and that all gateways have joined.
func newRunningSim(t *testing.T, seed uint64, voters, followers int) *sim {
	t.Helper()
	s := newSim(t, seed, voters, followers)
	s.start(s.names...)
	if !s.run(20_000, s.converged) {
		t.Fatalf("seed %d: not converged after 20 s: %v", seed, s.gateways["v0"].logLines)
	}
	return s
}

// A fleet is founded, elects a leader, assigns incarnations, and commits the lines of all gateways in one order, each
// once, over a network that loses and duplicates frames.
func TestReplicatesInOrder(t *testing.T) {
	for seed := range uint64(5) {
		s := newRunningSim(t, seed, 3, 3)
		s.loss, s.duplication = 0.1, 0.1
		tokens := map[string][]uint64{}
		for i := range 20 {
			for _, name := range s.names {
				tokens[name] = append(tokens[name], s.propose(name, fmt.Sprintf("%s-%02d", name, i)))
			}
			s.run(50, nil)
		}
		s.loss, s.duplication = 0, 0
		s.run(10_000, nil)
		lines := s.lines()
		if len(lines) != 20*len(s.names) {
			t.Errorf("seed %d: %d lines", seed, len(lines))
		}
		for _, name := range s.names {
			ownLines := slices.DeleteFunc(slices.Clone(lines), func(line string) bool { return line[:2] != name })
			if !slices.IsSorted(ownLines) || len(slices.Compact(ownLines)) != 20 {
				t.Errorf("seed %d: lines of %s: %v", seed, name, ownLines)
			}
			for _, token := range tokens[name] {
				if o, ok := s.gateways[name].outcome[token]; !ok || o.Err != nil && !errors.Is(o.Err, ErrRepeated) {
					t.Errorf("seed %d: outcome at %s: %v %v", seed, name, ok, o)
				}
			}
		}
		if !s.converged() {
			t.Errorf("seed %d: not converged", seed)
		}
		s.checkConsistency()
	}
}

// memberState returns the state of a member at all running gateways, which must agree.
func (s *sim) memberState(name string) MemberState {
	s.t.Helper()
	state, seenAt := MemberUnknown, ""
	for _, gateway := range s.names {
		if g := s.gateways[gateway]; g.up && !g.frozen && !g.node.yielded {
			current := MemberUnknown
			if m := g.node.members.Names[name]; m != nil {
				current = m.State
			}
			if seenAt != "" && current != state {
				s.t.Errorf("%s is %v at %s and %v at %s", name, state, seenAt, current, gateway)
			}
			state, seenAt = current, gateway
		}
	}
	return state
}

// A member is joined, silent once its lease has expired, joined again under the same incarnation when it returns,
// left when it announces that, and gets a new incarnation after a restart. All gateways have the same states.
func TestMemberStates(t *testing.T) {
	s := newRunningSim(t, 7, 3, 3)
	s.run(10_000, nil)
	for _, name := range s.names {
		if s.memberState(name) != MemberJoined || s.gateways["v0"].node.members.Names[name].LeaseExpirations != 0 {
			t.Errorf("%s is %v", name, s.memberState(name))
		}
	}
	first := s.gateways["f1"].node.incarnation
	s.freeze("f1")
	if !s.run(6_000, func() bool { return s.gateways["v0"].node.members.Names["f1"].State == MemberSilent }) {
		t.Error("f1 is suspended and not declared silent")
	}
	s.resume("f1")
	s.run(3_000, nil)
	if s.memberState("f1") != MemberJoined || s.gateways["f1"].node.incarnation != first || s.gateways["v0"].node.members.Names["f1"].LeaseExpirations != 1 {
		t.Errorf("resumed, f1 is %v, incarnation %d then %d", s.memberState("f1"), first, s.gateways["f1"].node.incarnation)
	}
	s.gateways["f1"].handle(Leave{})
	s.run(1_000, nil)
	if s.memberState("f1") != MemberLeft {
		t.Errorf("after leaving f1 is %v", s.memberState("f1"))
	}
	s.kill("f1")
	s.run(5_000, nil)
	s.start("f1")
	s.run(3_000, nil)
	if s.memberState("f1") != MemberJoined || s.gateways["f1"].node.incarnation <= first {
		t.Errorf("restarted, f1 is %v, incarnation %d after %d", s.memberState("f1"), s.gateways["f1"].node.incarnation, first)
	}
	s.checkConsistency()
}

// Changes of the leader let no lease expire, however many there are.
func TestLeaderChangeRenewsLeases(t *testing.T) {
	s := newRunningSim(t, 8, 5, 4)
	for range 6 {
		leaders := s.leaders()
		if len(leaders) != 1 {
			t.Fatalf("leaders: %v", leaders)
		}
		s.gateways[leaders[0]].node.transferLeadership()
		s.gateways[leaders[0]].handle(nil)
		s.run(2_500, nil)
	}
	for _, name := range s.names {
		if m := s.gateways["v0"].node.members.Names[name]; m.State != MemberJoined || m.LeaseExpirations != 0 {
			t.Errorf("%s is %v after %d losses", name, m.State, m.LeaseExpirations)
		}
	}
}

// Two processes use one name: the older one is told to yield, proposes nothing more, and its delayed command is not
// applied; the log records the duplicate.
func TestDuplicateName(t *testing.T) {
	s := newRunningSim(t, 9, 3, 2)
	older := s.gateways["f0"]
	older.node.propose(Propose{Token: 900, Command: Command{StateMachine: "ledger", Data: []byte("late")}})
	delayed := older.node.pending[0].command // taken as a command delayed in the network
	older.node.pending = nil
	// A second process starts under the same name.
	newer := &simGateway{s: s, settings: older.settings, syncMS: 1, clockRate: 1, outcome: map[uint64]Outcome{}}
	s.gateways["f0"] = newer
	s.start("f0")
	if !s.run(5_000, func() bool { return newer.node.incarnation > older.node.incarnation }) {
		t.Fatal("the newer process has no incarnation")
	}
	s.gateways["v0"].node.forward([]Command{delayed})
	s.gateways["v1"].node.forward([]Command{delayed})
	s.gateways["v2"].node.forward([]Command{delayed})
	s.run(500, nil)
	if slices.Contains(s.lines(), "late") {
		t.Error("a command of a replaced process was applied")
	}
	// The older process renews its lease at any of the voters, which tells it to yield, and at the leader, which
	// records it in the log.
	for _, name := range []string{"v0", "v1", "v2"} {
		host := s.gateways[name]
		host.handle(Received{From: "f0", Frame: Frame{Kind: KindRenew, Cluster: host.node.founding.Cluster, ID: older.node.id.ID, Nonce: older.node.nonce,
			FromFollower: true, Renewals: []Renewal{{Incarnation: older.node.incarnation, Name: "f0"}}}})
	}
	// KindYield was sent to the name, and so to the newer process, which ignores it by its nonce; the older one reads
	// it on its own connection.
	older.handle(Received{From: "v0", Frame: Frame{Kind: KindYield, Nonce: older.node.nonce}})
	s.run(3000, nil)
	for _, m := range s.gateways["v1"].node.members.All() {
		if want := map[string]uint64{"f0": older.node.incarnation}[m.Name]; m.DuplicateIncarnation != want {
			t.Errorf("older process of %s: %d, want %d", m.Name, m.DuplicateIncarnation, want)
		}
	}
	if !older.node.yielded || newer.node.yielded {
		t.Errorf("yielded: older %t, newer %t", older.node.yielded, newer.node.yielded)
	}
	if older.handle(Propose{Token: 901}); older.outcome[901].Err != ErrYielded {
		t.Errorf("the older process proposes: %v", older.outcome[901])
	}
}

// A voter whose store is lost gets a new identity, follows, and never votes under the old one. A single remaining
// voter of three commits nothing.
func TestLostStoreNeverVotes(t *testing.T) {
	for seed := range uint64(10) { // with different leaders and upstream voters
		testLostStore(t, 200+seed)
	}
}

func testLostStore(t *testing.T, seed uint64) {
	s := newRunningSim(t, seed, 3, 0)
	s.propose("v0", "one")
	s.run(1000, nil)
	oldIdentity := s.gateways["v1"].disk.identity
	s.kill("v1")
	s.gateways["v1"].disk = disk{}
	s.start("v1")
	s.run(5_000, nil)
	g := s.gateways["v1"]
	if g.disk.identity.ID == oldIdentity.ID || g.node.raft != nil || g.node.incarnation == 0 || !slices.Equal(g.ledger.Lines, []string{"one"}) {
		t.Errorf("identity %v after %v, votes %t, lines %v", g.disk.identity, oldIdentity, g.node.raft != nil, g.ledger.Lines)
	}
	s.kill("v2")
	token := s.propose("v0", "two")
	s.run(20_000, nil)
	if leaders := s.leaders(); len(leaders) != 0 || s.gateways["v0"].outcome[token].Err != ErrGivenUp || len(s.lines()) != 1 {
		t.Errorf("with one voter of three: leaders %v, outcome %v, lines %v", leaders, s.gateways["v0"].outcome[token], s.lines())
	}
	s.start("v2")
	s.run(10_000, nil)
	if !s.converged() || s.gateways["v1"].node.raft != nil {
		t.Error("not converged with two of three voters")
	}
	s.checkConsistency()
}

// When all founders but one have lost their stores, or all but one are down, no second fleet is founded.
func TestFleetIsFoundedOnce(t *testing.T) {
	s := newRunningSim(t, 11, 3, 0)
	fleet := s.gateways["v2"].node.founding.Cluster
	s.kill("v0", "v1", "v2")
	s.gateways["v0"].disk, s.gateways["v1"].disk = disk{}, disk{}
	s.start("v0", "v1")
	s.run(20_000, nil)
	if s.gateways["v0"].node.founding != nil || s.gateways["v1"].node.founding != nil {
		t.Error("two of three with empty stores founded a fleet")
	}
	s.start("v2")
	s.run(5_000, nil)
	for _, name := range s.names {
		if f := s.gateways[name].node.founding; f == nil || f.Cluster != fleet {
			t.Errorf("%s belongs to %v", name, f)
		}
	}
	if s.propose("v2", "x"); len(s.leaders()) != 0 {
		t.Error("there is a leader although a majority of the voters has lost its stores")
	}
}

// A failed disk ends a gateway's vote and nothing else; a slow disk ends its leadership.
func TestFailedAndSlowDisks(t *testing.T) {
	s := newRunningSim(t, 12, 3, 1)
	leader := s.leaders()[0]
	s.gateways[leader].syncMS = 700 // over SlowDisk, but not slow enough for the other voters to miss the leader
	s.propose(leader, "slow")
	if !s.run(15_000, func() bool { leaders := s.leaders(); return len(leaders) == 1 && leaders[0] != leader }) {
		t.Errorf("a slow disk still leads: %v", s.leaders())
	}
	s.gateways[leader].syncMS = 1
	nextLeader := s.leaders()[0]
	s.gateways[nextLeader].diskFails = true
	s.propose(nextLeader, "full")
	s.run(15_000, nil)
	if leaders := s.leaders(); len(leaders) != 1 || leaders[0] == nextLeader || !s.gateways[nextLeader].node.broken || s.gateways[nextLeader].node.Report(s.now).Role != "broken" {
		t.Errorf("leaders %v after the disk of %s failed", leaders, nextLeader)
	}
	s.checkConsistency()
}

// Seeded faults: partitions, suspended processes, restarts with the store kept, lost and duplicated frames. The
// committed log is the same on all gateways throughout; once faults stop all converge, and no line is applied twice
// or out of order.
func TestFaults(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 100+seed, 3+2*int(seed%2), 2)
		for _, g := range s.gateways {
			g.settings.ReplaceAfter = []float64{0, 2500, 8000}[seed%3]
		}
		s.start(s.names...)
		if !s.run(20_000, s.converged) {
			t.Fatalf("seed %d: not converged", seed)
		}
		s.loss, s.duplication = 0.05, 0.05
		lineNumber := 0
		for range 25 {
			name := s.names[int(s.chance.Uint32())%len(s.names)]
			g := s.gateways[name]
			switch s.chance.Uint32() % 6 {
			case 0:
				i := 1 + int(s.chance.Uint32())%(len(s.names)-1)
				s.partition(s.names[:i], s.names[i:])
			case 1:
				other := s.names[int(s.chance.Uint32())%len(s.names)]
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
					s.resume(name)
				}
			}
			for _, name := range s.names {
				if g := s.gateways[name]; g.up && !g.frozen && g.node.incarnation != 0 {
					lineNumber++
					s.propose(name, fmt.Sprintf("%s-%d-%05d", name, g.node.incarnation, lineNumber))
				}
			}
			s.run(100+1500*s.chance.Float64(), nil)
		}
		s.heal()
		s.loss, s.duplication = 0, 0
		for _, name := range s.names {
			if g := s.gateways[name]; !g.up {
				s.start(name)
			} else if g.frozen {
				s.resume(name)
			}
		}
		if s.run(30_000, nil); !s.converged() {
			t.Errorf("seed %d: not converged 30 s after the last fault", seed)
		}
		seen, last := map[string]bool{}, map[string]string{}
		for _, line := range s.lines() {
			author := line[:len(line)-6]
			if seen[line] || line < last[author] {
				t.Errorf("seed %d: %s twice, or after %s", seed, line, last[author])
			}
			seen[line], last[author] = true, line
		}
		s.checkConsistency()
	}
}

// A KindHello that answers an earlier process of this gateway founds nothing: its sender may belong to a fleet by now.
func TestStaleHelloDoesNotFoundFleet(t *testing.T) {
	s := newSim(t, 13, 3, 0)
	s.start("v0")
	s.run(50, nil) // its identity is synced
	for _, name := range []string{"v1", "v2"} {
		s.gateways["v0"].handle(Received{From: name, Frame: Frame{Kind: KindHello, ID: 77, Nonce: 5, EchoNonce: s.gateways["v0"].node.nonce + 2}})
	}
	if f := s.gateways["v0"].node.founding; f != nil {
		t.Errorf("founded %v", f)
	}
}

// A member that has left stays so under its incarnation, whatever commands arrive late; a new process under the name
// joins.
func TestLeftMemberStaysLeft(t *testing.T) {
	m := newMembers(2)
	join := func(index uint64, name string, nonce uint64) any {
		return m.Apply(index, Command{Kind: cmdJoin, Data: codec.Encode(Member{Name: name, Nonce: nonce})})
	}
	join(1, "a", 1)
	m.Apply(2, Command{Kind: cmdLeave, Data: codec.Encode(Member{Name: "a", Incarnation: 1})})
	for i, kind := range []string{cmdReturn, cmdSilent, cmdLeave} {
		if r := m.Apply(uint64(3+i), Command{Kind: kind, Data: codec.Encode(Member{Name: "a", Incarnation: 1, Since: 2})}); r != ErrRepeated || m.Names["a"].State != MemberLeft {
			t.Errorf("%s after leaving: %v, %v", kind, r, m.Names["a"].State)
		}
	}
	join(6, "b", 2)
	if r, ok := join(7, "c", 3).(Member); !ok || r.Incarnation != 3 || m.Names["a"] != nil {
		t.Errorf("a full list does not evict the member that left: %v", m.All())
	}
	if r := join(8, "d", 4); r != ErrFull {
		t.Errorf("a full list of joined members takes a new name: %v", r)
	}
	if r, ok := join(9, "b", 2).(Member); !ok || r.Incarnation != 2 {
		t.Errorf("a repeated join: %v", r)
	}
}

// The same events cause the same actions: two runs with losses and a change of leader are identical.
func TestSimulationIsDeterministic(t *testing.T) {
	play := func() string {
		s := newRunningSim(t, 21, 5, 3)
		s.loss, s.duplication = 0.1, 0.1
		for i := range 10 {
			for _, name := range s.names {
				s.propose(name, fmt.Sprint(name, i))
			}
			if lead := s.leaders(); i == 5 && len(lead) > 0 {
				s.freeze(lead[0])
			}
			s.run(700, nil)
		}
		text := fmt.Sprint(s.committed)
		for _, name := range s.names {
			text += fmt.Sprint(s.gateways[name].logLines)
		}
		return text
	}
	if first, second := play(), play(); first != second {
		t.Error("two runs with one seed differ")
	}
}

// An idle fleet costs each gateway a few frames a second and its log does not grow, with 3, 30 and 300 gateways; the
// leader receives renewals from the voters only.
func TestIdleTraffic(t *testing.T) {
	for _, c := range []struct{ voters, followers int }{{3, 0}, {5, 25}, {7, 293}} {
		s := newRunningSim(t, 31, c.voters, c.followers)
		s.run(5000, nil)
		applied := s.gateways["v0"].node.applied
		clear(s.frames)
		s.bytes = 0
		s.run(10_000, nil)
		total, busiest := 0, 0
		for _, n := range s.frames {
			total, busiest = total+n, max(busiest, n)
		}
		t.Logf("%d gateways: %.0f frames a second in all, %.0f bytes each, %.0f from the busiest", len(s.names), float64(total)/10,
			float64(s.bytes)/float64(total), float64(busiest)/10)
		leaders := s.leaders()
		if len(leaders) != 1 || s.gateways["v0"].node.applied != applied {
			t.Errorf("%d gateways: leaders %v, the log went from %d to %d", len(s.names), leaders, applied, s.gateways["v0"].node.applied)
		}
		if perSecond := float64(total) / 10 / float64(len(s.names)); perSecond > 20 || busiest > 1500 {
			t.Errorf("%d gateways: %.1f frames a second each, %d in ten seconds from one", len(s.names), perSecond, busiest)
		}
	}
}

// A gateway that was down for longer than the log reaches back gets a snapshot, and the entries still in the log in
// bounded batches; commands of other gateways are committed meanwhile.
func TestLaggingGatewayCatchesUp(t *testing.T) {
	s := newRunningSim(t, 32, 3, 2)
	s.kill("f0", "v2")
	s.freeze("f1")
	for i := range 300 { // six times the entries kept
		s.propose("v0", fmt.Sprintf("line %04d", i))
		s.run(20, nil)
	}
	s.run(3000, nil)
	if len(s.gateways["v0"].ledger.Lines) != 300 {
		t.Fatalf("%d lines committed while three gateways are down", len(s.gateways["v0"].ledger.Lines))
	}
	if first, _ := s.gateways["v0"].node.storage.FirstIndex(); first < 100 {
		t.Errorf("the log still begins at %d", first)
	}
	s.start("f0", "v2")
	s.resume("f1")
	if !s.run(10_000, s.converged) {
		t.Error("not converged")
	}
	for _, name := range s.names {
		if lines := s.gateways[name].ledger.Lines; len(lines) != 300 || !slices.IsSorted(lines) {
			t.Errorf("%s has %d lines", name, len(lines))
		}
	}
	s.checkConsistency()
}

// A single voter commits on its own, and others follow it.
func TestSingleVoter(t *testing.T) {
	s := newRunningSim(t, 33, 1, 2)
	token := s.propose("f0", "one")
	s.run(2000, nil)
	if o, ok := s.gateways["f0"].outcome[token]; !ok || o.Err != nil || len(s.gateways["f1"].ledger.Lines) != 1 {
		t.Errorf("outcome %v %v, lines at another gateway %v", ok, o, s.gateways["f1"].ledger.Lines)
	}
}

// A voter that is down for good is replaced by a gateway of another club that was a learner first, so that a majority
// survives the next loss. The old voter follows under a new identity when it returns. Never are two replaced at once.
func TestVoterReplaced(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, 300+seed, 3, 4)
		for _, g := range s.gateways {
			g.settings.ReplaceAfter = 4000
		}
		s.start(s.names...)
		if !s.run(20_000, s.converged) {
			t.Fatal("not converged")
		}
		leader := s.leaders()[0]
		var others []string
		for _, name := range []string{"v0", "v1", "v2"} {
			if name != leader {
				others = append(others, name)
			}
		}
		lost, secondLost := others[0], others[1]
		s.kill(lost)
		isVoter := func(name string) bool {
			g := s.gateways[name]
			return g.up && g.node.raft != nil && g.node.roleOf(g.node.id.ID) == roleVoter
		}
		countVoters := func() (n int) {
			for _, name := range s.names {
				if isVoter(name) {
					n++
				}
			}
			return n
		}
		if !s.run(40_000, func() bool { return countVoters() == 3 }) {
			t.Fatalf("seed %d: no gateway replaced the voter %s", seed, lost)
		}
		zones := map[string]bool{}
		for _, name := range s.names {
			if isVoter(name) {
				zones[s.gateways[name].settings.Zone] = true
			}
		}
		if len(zones) != 3 {
			t.Errorf("seed %d: clubs of the voters: %v", seed, zones)
		}
		s.run(3000, nil)
		oldIdentity := s.gateways[lost].disk.identity
		s.kill(secondLost)
		token := s.propose(leader, "with two of three")
		s.run(8000, nil)
		if o, ok := s.gateways[leader].outcome[token]; !ok || o.Err != nil {
			t.Errorf("seed %d: nothing is committed after the next loss: %v", seed, o)
		}
		s.start(lost, secondLost)
		if !s.run(30_000, s.converged) {
			t.Errorf("seed %d: not converged", seed)
		}
		s.run(3000, nil)
		if g := s.gateways[lost]; g.disk.identity == oldIdentity || g.node.raft != nil || countVoters() != 3 {
			t.Errorf("seed %d: %s came back as %v after %v, votes %t, %d voters", seed, lost, g.disk.identity, oldIdentity, g.node.raft != nil, countVoters())
		}
		s.checkConsistency()
	}
}

// After a restart of the whole fleet no voter is replaced, however late the others return.
func TestMassRestartReplacesNobody(t *testing.T) {
	s := newSim(t, 320, 5, 3)
	for _, g := range s.gateways {
		g.settings.ReplaceAfter = 4000
	}
	s.start(s.names...)
	s.run(15_000, s.converged)
	s.kill(s.names...)
	s.run(20_000, nil)
	// There is a leader long before the last voter returns, and candidates for its place are up.
	s.start("v0", "v1", "v2", "f0", "f1", "f2")
	if !s.run(10_000, func() bool { return len(s.leaders()) == 1 }) {
		t.Fatal("no leader")
	}
	s.run(2500, nil)
	s.start("v3")
	s.run(500, nil)
	s.start("v4")
	s.run(20_000, nil)
	if c := s.gateways["v0"].node.conf; len(c.Voters) != 5 || len(c.Learners) != 0 {
		t.Errorf("after a restart of all: %v", c)
	}
	for _, name := range s.names[:5] {
		if s.gateways[name].node.roleOf(s.gateways[name].node.id.ID) != roleVoter {
			t.Errorf("%s is no longer a voter", name)
		}
	}
}

// A command about a member is applied only in the state it was proposed in: a delayed duplicate of cmdSilent is not
// applied after the member has returned, and a delayed join does not replace the process that joined later.
func TestDelayedMemberCommands(t *testing.T) {
	m := newMembers(4)
	apply := func(index uint64, kind string, x Member) any {
		return m.Apply(index, Command{Kind: kind, Data: codec.Encode(x)})
	}
	apply(1, cmdJoin, Member{Name: "a", Nonce: 1})
	silence := Member{Name: "a", Incarnation: 1, Since: 1}
	apply(2, cmdSilent, silence)
	apply(3, cmdReturn, Member{Name: "a", Incarnation: 1, Since: 2})
	if r := apply(4, cmdSilent, silence); r != ErrRepeated || m.Names["a"].State != MemberJoined || m.Names["a"].LeaseExpirations != 1 {
		t.Errorf("a repeated cmdSilent: %v, %+v", r, m.Names["a"])
	}
	apply(5, cmdJoin, Member{Name: "a", Nonce: 2, Incarnation: 1})
	if r := apply(6, cmdJoin, Member{Name: "a", Nonce: 3, Incarnation: 1}); r != ErrReplaced || m.Names["a"].Nonce != 2 {
		t.Errorf("a delayed join: %v, %+v", r, m.Names["a"])
	}
	if r := apply(7, cmdLeave, Member{Name: "a", Incarnation: 1}); r != ErrReplaced || m.Names["a"].State != MemberJoined {
		t.Errorf("a delayed leave: %v, %+v", r, m.Names["a"])
	}
	if r, ok := apply(8, cmdJoin, Member{Name: "a", Nonce: 3, Incarnation: 2}).(Member); !ok || r.Incarnation != 3 {
		t.Errorf("a join that knows the last incarnation: %v", r)
	}
}

// A lagging voter that does not know a candidate yet answers it all the same: its vote may be the one needed.
func TestLaggingVoterAnswers(t *testing.T) {
	s := newRunningSim(t, 34, 3, 1)
	leader := s.leaders()[0]
	g := s.gateways[map[bool]string{true: "v1", false: "v0"}[leader == "v0"]]
	s.kill(leader)
	s.run(1500, func() bool { return g.node.leaderForgotten })
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
		t.Error("no vote for an unknown candidate")
	}
}

// A hung disk costs the leadership before it recovers, and is reported.
func TestDiskHangs(t *testing.T) {
	s := newRunningSim(t, 35, 3, 0)
	leader := s.leaders()[0]
	s.gateways[leader].syncMS = 60_000
	s.propose(leader, "hangs")
	if !s.run(15_000, func() bool { leaders := s.leaders(); return len(leaders) == 1 && leaders[0] != leader }) {
		t.Errorf("leaders %v while a disk hangs", s.leaders())
	}
	if g := s.gateways[leader]; !g.node.diskHung || g.node.Report(s.now).Majority && g.node.isLeader() {
		t.Errorf("hangs %t, %+v", g.node.diskHung, g.node.Report(s.now))
	}
	if token := s.propose(s.leaders()[0], "goes on"); !s.run(5000, func() bool { return s.gateways[s.leaders()[0]].outcome[token].Index > 0 }) {
		t.Error("nothing is committed while the disk of one voter hangs")
	}
	s.checkConsistency()
}

// A gateway with a failed disk goes on following, and so learns what becomes of its vote. A command too large for a
// frame is rejected with its own error.
func TestBrokenGatewayFollows(t *testing.T) {
	s := newRunningSim(t, 36, 3, 0)
	g := s.gateways["v1"]
	g.handle(DiskFailed{Err: errors.New("read-only")})
	s.propose("v0", "after")
	if !s.run(10_000, func() bool { return slices.Contains(g.ledger.Lines, "after") }) {
		t.Errorf("with a failed disk it has %v", g.ledger.Lines)
	}
	if g.handle(Propose{Token: 7000, Command: Command{StateMachine: "ledger", Data: make([]byte, maxCommandSize+1)}}); g.outcome[7000].Err != ErrLarge {
		t.Errorf("too large: %v", g.outcome[7000])
	}
}

// An elected leader stays the leader. The first election of a fleet is the last one: a new leader that failed its
// quorum check at once, because of overdue heartbeats, would cost another.
func TestElectedLeaderStaysLeader(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, 400+seed, 5, 0)
		s.start(s.names...)
		for i := range 2 {
			if !s.run(10_000, func() bool { return len(s.leaders()) == 1 }) {
				t.Fatalf("seed %d: no leader", seed)
			}
			leader, electedAt := s.leaders()[0], s.now
			term := s.gateways[leader].node.raft.BasicStatus().GetTerm()
			if i == 0 && (term != 2 || electedAt > 2200) {
				t.Errorf("seed %d: first leader after %.0f ms, in term %d", seed, electedAt, term)
			}
			s.run(10_000, nil)
			if leaders := s.leaders(); len(leaders) != 1 || leaders[0] != leader || s.gateways[leader].node.raft.BasicStatus().GetTerm() != term {
				t.Errorf("seed %d: %s was the leader, now %v", seed, leader, leaders)
			}
			s.kill(leader)
		}
	}
}

// A voter that was replaced while it was away drops its pending commands: they may have been committed, and would be
// applied twice under another incarnation.
func TestRemovedVoterDropsPending(t *testing.T) {
	s := newRunningSim(t, 37, 3, 0)
	g := s.gateways["v1"]
	s.partition([]string{"v1"}, []string{"v0", "v2"})
	token := s.propose("v1", "waits")
	g.handle(Received{From: "v0", Frame: Frame{Kind: KindRemoved, Cluster: g.node.founding.Cluster, Voters: []uint64{1, 2}, Applied: 1000}})
	s.run(50, nil)
	if o := g.outcome[token]; o.Err != ErrGivenUp || len(g.node.pending) != 0 || g.node.raft != nil || g.disk.hard != nil || g.disk.identity != g.node.id {
		t.Errorf("outcome %v, %d pending, votes %t, identity %v on the disk, %v", o, len(g.node.pending), g.node.raft != nil, g.disk.identity, g.node.id)
	}
}

// A leader that leaves records that in the log, and another leads before an election timeout has passed.
func TestLeaderLeaves(t *testing.T) {
	s := newRunningSim(t, 38, 3, 1)
	leader := s.leaders()[0]
	s.gateways[leader].handle(Leave{})
	if !s.run(s.gateways[leader].settings.Election/2, func() bool { leaders := s.leaders(); return len(leaders) == 1 && leaders[0] != leader }) {
		t.Errorf("leaders %v", s.leaders())
	}
	s.kill(leader)
	s.run(1500, nil)
	if s.memberState(leader) != MemberLeft {
		t.Errorf("%s is %v", leader, s.memberState(leader))
	}
}
