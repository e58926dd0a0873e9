package quorum

import (
	"fmt"
	"slices"
	"testing"
)

// Whatever is cut, delayed, frozen, killed and elected: who says that it knows all that was agreed before a time does, a leader that was
// replaced and does not know it included; and once faults stop all know it again, within two questions.
func TestFreshness(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, 900+seed, 3, 2)
		for _, g := range s.all {
			g.set.Sight, g.set.Keep = 200, []int{4, 50}[seed%2]
		}
		s.start(s.names...)
		if !s.play(20_000, s.level) {
			t.Fatalf("seed %d: not level", seed)
		}
		type told struct {
			at    float64
			index uint64
		}
		var agreed []told // outcomes, as whoever asked was told them
		s.ended = func(_ uint64, o Outcome) {
			if o.Err == nil && o.Index > 0 {
				agreed = append(agreed, told{s.now, o.Index})
			}
		}
		sighted := 0
		check := func() bool {
			for _, name := range s.names {
				g := s.all[name]
				if !g.up || g.frozen {
					continue
				}
				at, knows := g.node.Sight()
				for _, a := range agreed {
					if knows && a.at < at && g.node.applied < a.index {
						t.Fatalf("seed %d: at %.0f ms %s knows all before %.0f, and has not followed %d, agreed at %.0f", seed, s.now, name, at, a.index, a.at)
					}
				}
				if knows {
					sighted++
				}
			}
			return false
		}
		for n := range 60 {
			name := s.names[int(s.chance.Next())%len(s.names)]
			g := s.all[name]
			if l := s.leaders(); len(l) > 0 && s.chance.Below() < 0.4 {
				name, g = l[0], s.all[l[0]]
			}
			switch s.chance.Next() % 7 {
			case 0:
				i := 1 + int(s.chance.Next())%(len(s.names)-1)
				s.part(s.names[:i], s.names[i:])
			case 1:
				s.part([]string{name}, slices.DeleteFunc(slices.Clone(s.names), func(x string) bool { return x == name }))
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
				s.delay = [2]float64{1, []float64{5, 400}[int(s.chance.Next()%2)]}
			case 6:
				if !g.up {
					s.start(name)
				} else if g.frozen {
					s.wake(name)
				}
			}
			for _, x := range s.names {
				if g := s.all[x]; g.up && !g.frozen && g.node.incarnation != 0 {
					s.propose(x, fmt.Sprintf("%s-%04d", x, n))
				}
			}
			s.play(100+900*s.chance.Below(), check)
		}
		s.heal()
		s.delay = [2]float64{1, 5}
		for _, name := range s.names {
			if g := s.all[name]; !g.up {
				s.start(name)
			} else if g.frozen {
				s.wake(name)
			}
		}
		s.play(20_000, check)
		for _, name := range s.names {
			if at, _ := s.all[name].node.Sight(); s.now-at > 1000 {
				t.Errorf("seed %d: %s is %.0f ms behind", seed, name, s.now-at)
			}
		}
		if sighted == 0 || len(agreed) < 10 {
			t.Errorf("seed %d: nothing was looked at", seed)
		}
	}
}
