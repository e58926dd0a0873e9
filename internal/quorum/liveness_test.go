package quorum

import (
	"fmt"
	"slices"
	"testing"
)

// A gateway keeps four commands in flight, and the first four are lost one after another, as while there is no
// leader. The later ones must not be committed out of order for good, four in each Retry interval: that was seen on
// real processes, where a job of 400 steps almost stopped after a change of leader.
func TestLostProposalsDoNotStallLaterOnes(t *testing.T) {
	for _, role := range []string{"a voter", "a follower"} {
		s := newRunningSim(t, 61, 3, 1)
		s.delay = [2]float64{2, 2}
		proposer := "f0"
		if leader := s.leaders()[0]; role == "a voter" {
			proposer = s.names[slices.IndexFunc(s.names, func(x string) bool { return x != leader })]
		}
		const total = 400
		done := 0
		s.onOutcome = func(uint64, Outcome) {
			done++
			s.after(0, func() { s.propose(proposer, "x") })
		}
		s.loss = 1
		for i := range 4 {
			s.after(100*float64(i), func() { s.propose(proposer, "x") })
		}
		s.after(350, func() { s.loss = 0 })
		started := s.now
		s.run(200_000, func() bool { return done >= total })
		// In order, the commands of a voter take a few ms; a follower sees its commands committed at its beats, 100
		// ms for four of them.
		if elapsed := s.now - started; elapsed > 14_000 {
			t.Errorf("%s: %d of %d commands took %.0f ms", role, done, total, elapsed)
		} else {
			t.Logf("%s: %.0f ms", role, elapsed)
		}
	}
}

// Clocks run 1% fast and slow, and jump ahead by more than a lease, also the leader's. No two gateways hold different
// commands at one index, the 1% lets no lease expire, and a member declared silent because of a jump returns by
// itself.
func TestClockSkew(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(t, 700+seed, 3, 2)
		for i, name := range s.names {
			s.gateways[name].clockRate = []float64{1.01, 0.99, 1, 1.01, 0.99}[i]
		}
		s.start(s.names...)
		if !s.run(20_000, s.converged) {
			t.Fatalf("seed %d: not converged", seed)
		}
		proposeAll := func() {
			for _, name := range s.names {
				s.lastID++
				s.propose(name, fmt.Sprintf("%s-%06d", name, s.lastID))
			}
		}
		for range 60 {
			proposeAll()
			s.run(500, nil)
		}
		for _, name := range s.names {
			if m := s.gateways["v0"].node.members.Names[name]; m.LeaseExpirations > 0 {
				t.Errorf("seed %d: the lease of %s expired", seed, name)
			}
		}
		for range 12 {
			name := s.names[int(s.chance.Uint32())%len(s.names)]
			if leaders := s.leaders(); len(leaders) > 0 && s.chance.Float64() < 0.5 {
				name = leaders[0]
			}
			s.gateways[name].clockOffset += 10_000 * s.chance.Float64()
			s.gateways[name].handle(nil)
			proposeAll()
			s.run(200+2000*s.chance.Float64(), nil)
		}
		if s.run(20_000, nil); !s.converged() {
			t.Errorf("seed %d: not converged after the last jump", seed)
		}
		for _, name := range s.names {
			if m := s.gateways["v0"].node.members.Names[name]; m.State != MemberJoined {
				t.Errorf("seed %d: %s is %v", seed, name, m.State)
			}
		}
		s.checkConsistency()
	}
}

// One slow sync, as when a machine is suspended during it, must not bar a voter for good. When all voters had one and
// there is no leader, they try their disks again and one of them leads. When one of three had one and was replaced
// meanwhile, it finds out and follows under a new identity. On real processes such a gateway went on as a voter, with
// its commands pending, until it was restarted.
func TestSlowDiskIsRetried(t *testing.T) {
	for _, allSlow := range []bool{true, false} {
		s := newRunningSim(t, 63, 3, 2)
		for _, g := range s.gateways {
			g.settings.ReplaceAfter = 2500
			g.node.settings.ReplaceAfter = 2500
		}
		leader := s.leaders()[0]
		slow := slices.DeleteFunc([]string{"v0", "v1", "v2"}, func(x string) bool { return !allSlow && x == leader })
		if !allSlow {
			slow = slow[:1]
		}
		for _, name := range slow {
			s.gateways[name].syncMS = 3000
		}
		for i := range 3 {
			s.propose("f0", fmt.Sprint("x", i))
			s.run(5000, nil)
		}
		if allSlow {
			s.partition([]string{"v0"}, []string{"v1"}, []string{"v2"}, []string{"f0", "f1"})
		} else {
			s.partition(slow, slices.DeleteFunc(slices.Clone(s.names), func(x string) bool { return x == slow[0] }))
		}
		s.run(12_000, nil)
		for _, name := range slow {
			if !s.gateways[name].node.diskSlow {
				t.Fatalf("the disk of %s did not count as slow", name)
			}
			s.gateways[name].syncMS = 1
		}
		s.heal()
		if !s.run(20_000, func() bool {
			for _, name := range slow {
				if g := s.gateways[name].node; g.incarnation == 0 || !allSlow && g.raft != nil && g.roleOf(g.id.ID) == roleVoter {
					return false
				}
			}
			return len(s.leaders()) == 1 && s.converged()
		}) {
			t.Errorf("all slow %t: leaders %v, %v", allSlow, s.leaders(), s.gateways[slow[0]].logLines)
		}
		s.checkConsistency()
	}
}
