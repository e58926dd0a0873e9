package quorum

import (
	"fmt"
	"strings"
	"testing"
)

// loggedSince reports whether a line from the first-th on contains a text.
func (g *simGateway) loggedSince(first int, text string) bool {
	for _, line := range g.logLines[first:] {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// diskCopy returns a copy of the disk.
func (g *simGateway) diskCopy() disk {
	store := g.disk.store()
	return disk{identity: store.Identity, starts: store.Starts, marks: store.HighWaterMarks, founding: store.Founding, hard: store.HardState, snapshot: store.Snapshot, entries: store.Entries}
}

// A voter's store is restored to an old copy after the voter has acknowledged entries that only it and the leader
// hold. It learns so from its peers before it votes, joins under a new identity, and no committed entry is lost,
// though the third voter never received them. When one copy is started twice, the second start is detected, too.
func TestOldStoreCopy(t *testing.T) {
	for seed := range uint64(40) {
		s := newRunningSim(t, 900+seed, 3, 2)
		s.expectOldCopies = true
		lead := s.leaders()[0]
		var others []string
		for _, name := range s.names[:3] {
			if name != lead {
				others = append(others, name)
			}
		}
		partner, isolated := others[0], others[1]
		g := s.gateways[partner]
		oldDisk := g.diskCopy()
		s.run(100+1000*s.chance.Float64(), nil)
		// Entries are now committed by the leader and this voter alone.
		s.partition([]string{isolated}, []string{lead, partner})
		for i := range 5 {
			s.propose(lead, fmt.Sprint("only-two-", i))
		}
		if !s.run(3000, func() bool { return len(g.ledger.Lines) >= 5 }) {
			t.Fatal("not committed by two voters")
		}
		s.kill(partner)
		s.heal()
		g.disk = oldDisk
		firstLine := len(g.logLines)
		oldIdentity := g.disk.identity
		s.start(partner)
		if !s.run(5000, func() bool { return g.loggedSince(firstLine, "old copy") }) {
			t.Errorf("seed %d: an old copy of a store still votes: %v", seed, g.logLines[firstLine:])
		}
		if !s.run(10_000, s.converged) || len(s.lines()) != 5 {
			t.Errorf("seed %d: %d of 5 committed lines are left, converged %t", seed, len(s.lines()), s.converged())
		}
		if g.node.id == oldIdentity || g.disk.identity == oldIdentity {
			t.Errorf("seed %d: it kept its identity", seed)
		}
		s.checkConsistency()
	}
	// Restarted since the copy was made, and idle: neither the term nor the log shows the old copy, but the count of
	// starts does.
	s := newRunningSim(t, 990, 3, 2)
	s.expectOldCopies = true
	g := s.gateways["v1"]
	oldDisk := g.diskCopy()
	s.kill("v1")
	s.start("v1")
	s.run(8000, s.converged)
	s.kill("v1")
	s.gateways["v1"].disk = oldDisk
	// The same but for that count.
	g.disk.hard, g.disk.entries, g.disk.snapshot = s.gateways["v0"].diskCopy().hard, s.gateways["v0"].diskCopy().entries, s.gateways["v0"].diskCopy().snapshot
	firstLine := len(g.logLines)
	s.start("v1")
	if !s.run(5000, func() bool { return g.loggedSince(firstLine, "started as often before") }) {
		t.Errorf("an old copy with the whole log still votes: %v", g.logLines[firstLine:])
	}
	if g.loggedSince(firstLine, "says:the log") {
		t.Errorf("detected only by the log, after it took part: %v", g.logLines[firstLine:])
	}
	s.run(8000, s.converged)
	s.checkConsistency()
}

// The majority is lost for good and another fleet is recovered from the remaining store. It holds all that the store
// held, the other gateways join it when they hear of it, old voters that return drop their identities, the number of
// voters grows back to three, and incarnations are above all assigned before.
func TestRecover(t *testing.T) {
	for seed := range uint64(20) {
		s := newRunningSim(t, 700+seed, 3, 3)
		for i := range 4 {
			s.propose(s.names[i], fmt.Sprint("line-", i))
		}
		if !s.run(3000, func() bool { return s.converged() && len(s.lines()) == 4 }) {
			t.Fatal("not committed")
		}
		survivor, lost := "v0", []string{"v1", "v2"}
		if seed%4 > 1 { // the remaining store is behind: others assigned more incarnations since
			survivor, lost = "v2", []string{"v0", "v1"}
			s.kill(survivor)
			for range 3 {
				s.kill("f0")
				s.start("f0")
				s.run(6000, nil)
			}
		}
		lastIncarnation := s.gateways["v0"].node.members.LastIncarnation
		s.kill("v1", "v2", "v0")
		s.run(5000, nil)
		record, recovery, err := Recover(s.gateways[survivor].disk.store(), map[string]StateMachine{"ledger": &ledger{}}, 5+seed)
		if err != nil || recovery.LastIndex < 4 || len(recovery.Voters) != 3 {
			t.Fatalf("%+v, %v", recovery, err)
		}
		s.gateways[survivor].disk.apply(record)
		clear(s.committed) // indexes of another fleet's log
		s.start(survivor)
		if !s.run(20_000, func() bool { return s.converged() && len(s.gateways[survivor].node.members.Names) >= 4 }) {
			t.Fatalf("seed %d: the followers don't join: %v", seed, s.gateways["f0"].logLines)
		}
		if seed%2 == 0 {
			s.start(lost...) // with their stores of the old fleet
		} else {
			s.gateways[lost[0]].disk, s.gateways[lost[1]].disk = disk{}, disk{}
			s.start(lost...)
		}
		if !s.run(60_000, func() bool {
			return s.converged() && len(s.gateways[survivor].node.conf.Voters) == 3 && s.gateways[lost[0]].node.founding.Cluster == recovery.NextFleet && s.gateways[lost[1]].node.founding.Cluster == recovery.NextFleet
		}) {
			t.Fatalf("seed %d: %d voters, converged %t: %v", seed, len(s.gateways[survivor].node.conf.Voters), s.converged(), s.gateways[lost[0]].logLines)
		}
		s.propose("f1", "after")
		if !s.run(5000, func() bool { return len(s.lines()) == 5 }) {
			t.Errorf("seed %d: %v", seed, s.lines())
		}
		for _, m := range s.gateways[survivor].node.members.All() {
			if m.State == MemberJoined && m.Incarnation <= lastIncarnation {
				t.Errorf("seed %d: %s has incarnation %d, %d was assigned before", seed, m.Name, m.Incarnation, lastIncarnation)
			}
		}
		s.checkConsistency()
	}
	if _, _, err := Recover(Store{}, nil, 1); err == nil {
		t.Error("a fleet was recovered from an empty store")
	}
}

// At 3 and 30 times the usual delay no lease expires and the leader does not change.
func TestSlowNetworkKeepsLeases(t *testing.T) {
	for _, factor := range []float64{3, 30} {
		s := newRunningSim(t, 77, 5, 25)
		leader := fmt.Sprint(s.leaders())
		s.delay[0], s.delay[1] = factor*s.delay[0], factor*s.delay[1]
		s.run(60_000, func() bool { return fmt.Sprint(s.leaders()) != leader })
		if current := fmt.Sprint(s.leaders()); current != leader {
			t.Errorf("%.0f times the delay: %s leads in place of %s", factor, current, leader)
		}
		for _, m := range s.gateways[s.names[0]].node.members.All() {
			if m.LeaseExpirations > 0 {
				t.Errorf("%.0f times the delay: the lease of %s expired", factor, m.Name)
			}
		}
		s.checkConsistency()
	}
}
