package quorum

import (
	"fmt"
	"slices"
	"testing"
)

// Under partitions, delays, suspended and killed processes and elections, a gateway that claims to have seen all
// commands committed before a time has seen them, also a replaced leader that does not know it is replaced. Once
// faults stop all gateways are up to date again within two request intervals.
func TestFreshness(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 900+seed, 3, 2)
		for _, g := range s.gateways {
			g.settings.ReadIndexInterval, g.settings.KeepEntries = 200, []int{4, 50}[seed%2]
		}
		s.start(s.names...)
		if !s.run(20_000, s.converged) {
			t.Fatalf("seed %d: not converged", seed)
		}
		type commitSeen struct {
			at    float64
			index uint64
		}
		var commits []commitSeen // outcomes, at the time their gateway got them
		s.onOutcome = func(_ uint64, o Outcome) {
			if o.Err == nil && o.Index > 0 {
				commits = append(commits, commitSeen{s.now, o.Index})
			}
		}
		checks := 0
		check := func() bool {
			for _, name := range s.names {
				g := s.gateways[name]
				if !g.up || g.frozen {
					continue
				}
				at, knows := g.node.FreshAsOf()
				for _, commit := range commits {
					if knows && commit.at < at && g.node.applied < commit.index {
						t.Fatalf("seed %d: at %.0f ms %s claims to have seen all before %.0f, and has not applied index %d, committed at %.0f", seed, s.now, name, at, commit.index, commit.at)
					}
				}
				if knows {
					checks++
				}
			}
			return false
		}
		for n := range 60 {
			name := s.names[int(s.chance.Uint32())%len(s.names)]
			g := s.gateways[name]
			if l := s.leaders(); len(l) > 0 && s.chance.Float64() < 0.4 {
				name, g = l[0], s.gateways[l[0]]
			}
			switch s.chance.Uint32() % 7 {
			case 0:
				i := 1 + int(s.chance.Uint32())%(len(s.names)-1)
				s.partition(s.names[:i], s.names[i:])
			case 1:
				s.partition([]string{name}, slices.DeleteFunc(slices.Clone(s.names), func(x string) bool { return x == name }))
			case 2:
				if g.up && !g.frozen {
					s.freeze(name)
				}
			case 3:
				if g.up && !g.frozen {
					s.kill(name)
				}
			case 4, 5:
				s.heal()
				s.delay = [2]float64{1, []float64{5, 400}[int(s.chance.Uint32()%2)]}
			case 6:
				if !g.up {
					s.start(name)
				} else if g.frozen {
					s.resume(name)
				}
			}
			for _, x := range s.names {
				if g := s.gateways[x]; g.up && !g.frozen && g.node.incarnation != 0 {
					s.propose(x, fmt.Sprintf("%s-%04d", x, n))
				}
			}
			s.run(100+900*s.chance.Float64(), check)
		}
		s.heal()
		s.delay = [2]float64{1, 5}
		for _, name := range s.names {
			if g := s.gateways[name]; !g.up {
				s.start(name)
			} else if g.frozen {
				s.resume(name)
			}
		}
		s.run(20_000, check)
		for _, name := range s.names {
			if at, _ := s.gateways[name].node.FreshAsOf(); s.now-at > 1000 {
				t.Errorf("seed %d: %s is %.0f ms behind", seed, name, s.now-at)
			}
		}
		if checks == 0 || len(commits) < 10 {
			t.Errorf("seed %d: nothing was checked", seed)
		}
	}
}
