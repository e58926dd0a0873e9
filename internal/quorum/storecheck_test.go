package quorum

import (
	"fmt"
	"strings"
	"testing"
)

func (g *gate) saidSince(n int, what string) bool {
	for _, line := range g.said[n:] {
		if strings.Contains(line, what) {
			return true
		}
	}
	return false
}

// copied is a disk as it is now.
func (g *gate) copied() disk {
	s := g.disk.store()
	return disk{identity: s.Identity, starts: s.Starts, marks: s.Marks, founding: s.Founding, hard: s.Hard, snapshot: s.Snapshot, entries: s.Entries}
}

// A voter's store is put back as it was, while what it has confirmed since was agreed with it alone: it finds out from the others
// before it votes, joins as somebody else, and nothing that was agreed is lost, though the third has never heard of it. Of two
// starts of one copy the second is told, too.
func TestOldStoreCopy(t *testing.T) {
	for seed := range uint64(40) {
		s := begun(t, 900+seed, 3, 2)
		s.copies = true
		lead := s.leaders()[0]
		var others []string
		for _, name := range s.names[:3] {
			if name != lead {
				others = append(others, name)
			}
		}
		with, without := others[0], others[1]
		g := s.all[with]
		old := g.copied()
		s.play(100+1000*s.chance.Below(), nil)
		// What is agreed now is so by the leader and this one alone.
		s.part([]string{without}, []string{lead, with})
		for i := range 5 {
			s.propose(lead, fmt.Sprint("only-two-", i))
		}
		if !s.play(3000, func() bool { return len(g.book.Lines) >= 5 }) {
			t.Fatal("not agreed by two")
		}
		s.kill(with)
		s.heal()
		g.disk = old
		said := len(g.said)
		before := g.disk.identity
		s.start(with)
		if !s.play(5000, func() bool { return g.saidSince(said, "old copy") }) {
			t.Errorf("seed %d: an old copy votes on: %v", seed, g.said[said:])
		}
		if !s.play(10_000, s.level) || len(s.lines()) != 5 {
			t.Errorf("seed %d: %d of 5 agreed lines are left, level %t", seed, len(s.lines()), s.level())
		}
		if g.node.id == before || g.disk.identity == before {
			t.Errorf("seed %d: it kept its identity", seed)
		}
		s.same()
	}
	// Restarted since the copy was made, and idle: no term and no entry tells, the count of starts does.
	s := begun(t, 990, 3, 2)
	s.copies = true
	g := s.all["v1"]
	old := g.copied()
	s.kill("v1")
	s.start("v1")
	s.play(8000, s.level)
	s.kill("v1")
	s.all["v1"].disk = old
	// Alike in all but that count.
	g.disk.hard, g.disk.entries, g.disk.snapshot = s.all["v0"].copied().hard, s.all["v0"].copied().entries, s.all["v0"].copied().snapshot
	said := len(g.said)
	s.start("v1")
	if !s.play(5000, func() bool { return g.saidSince(said, "started as often before") }) {
		t.Errorf("an old copy that holds all votes on: %v", g.said[said:])
	}
	if g.saidSince(said, "says:the log") {
		t.Errorf("only the log told it, after it took part: %v", g.said[said:])
	}
	s.play(8000, s.level)
	s.same()
}

// A majority is lost for good. Of the store that is left another fleet is made: it has all that the store held, the others join it
// when they hear of it, old voters that come back give themselves up, votes grow back to three, and incarnations stay above all that
// were given out.
func TestRecover(t *testing.T) {
	for seed := range uint64(20) {
		s := begun(t, 700+seed, 3, 3)
		for i := range 4 {
			s.propose(s.names[i], fmt.Sprint("line-", i))
		}
		if !s.play(3000, func() bool { return s.level() && len(s.lines()) == 4 }) {
			t.Fatal("not agreed")
		}
		rest, gone := "v0", []string{"v1", "v2"}
		if seed%4 > 1 { // the store that is left is behind: the others have given out more since
			rest, gone = "v2", []string{"v0", "v1"}
			s.kill(rest)
			for range 3 {
				s.kill("f0")
				s.start("f0")
				s.play(6000, nil)
			}
		}
		last := s.all["v0"].node.members.LastIncarnation
		s.kill("v1", "v2", "v0")
		s.play(5000, nil)
		record, r, err := Recover(s.all[rest].disk.store(), map[string]Book{"ledger": &ledger{}}, 5+seed)
		if err != nil || r.Last < 4 || len(r.Voters) != 3 {
			t.Fatalf("%+v, %v", r, err)
		}
		s.all[rest].disk.put(record)
		clear(s.agreed) // places in the log of another fleet
		s.start(rest)
		if !s.play(20_000, func() bool { return s.level() && len(s.all[rest].node.members.Names) >= 4 }) {
			t.Fatalf("seed %d: the followers don't join: %v", seed, s.all["f0"].said)
		}
		if seed%2 == 0 {
			s.start(gone...) // with what they hold of the old fleet
		} else {
			s.all[gone[0]].disk, s.all[gone[1]].disk = disk{}, disk{}
			s.start(gone...)
		}
		if !s.play(60_000, func() bool {
			return s.level() && len(s.all[rest].node.conf.Voters) == 3 && s.all[gone[0]].node.founding.Cluster == r.Next && s.all[gone[1]].node.founding.Cluster == r.Next
		}) {
			t.Fatalf("seed %d: %d vote, level %t: %v", seed, len(s.all[rest].node.conf.Voters), s.level(), s.all[gone[0]].said)
		}
		s.propose("f1", "after")
		if !s.play(5000, func() bool { return len(s.lines()) == 5 }) {
			t.Errorf("seed %d: %v", seed, s.lines())
		}
		for _, m := range s.all[rest].node.members.All() {
			if m.Standing == Joined && m.Incarnation <= last {
				t.Errorf("seed %d: %s has incarnation %d, %d was given out before", seed, m.Name, m.Incarnation, last)
			}
		}
		s.same()
	}
	if _, _, err := Recover(Store{}, nil, 1); err == nil {
		t.Error("a fleet is made of an empty store")
	}
}

// Three times the usual delay, and thirty times, has nobody said to be lost and nobody else lead.
func TestSlowNetworkKeepsLeases(t *testing.T) {
	for _, times := range []float64{3, 30} {
		s := begun(t, 77, 5, 25)
		lead := fmt.Sprint(s.leaders())
		s.delay[0], s.delay[1] = times*s.delay[0], times*s.delay[1]
		s.play(60_000, func() bool { return fmt.Sprint(s.leaders()) != lead })
		if now := fmt.Sprint(s.leaders()); now != lead {
			t.Errorf("%.0f times the delay: %s leads in place of %s", times, now, lead)
		}
		for _, m := range s.all[s.names[0]].node.members.All() {
			if m.Losses > 0 {
				t.Errorf("%.0f times the delay: %s was said to be lost", times, m.Name)
			}
		}
		s.same()
	}
}
