package maintenance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"poppymill/internal/canon"
	"poppymill/internal/chance"
)

// night plays a night's work in virtual time: 300 gateways, 200 caches, each on a machine of its own in thirty clubs, sixty of them asked for;
// one machine in a hundred is lost each hour, for some minutes. Who is asked for a grant is the policy's; all else is the log's.
type night struct {
	t       *testing.T
	b       *Book
	c       chance.Chance
	now     float64
	back    map[string]float64 // when a machine that is out is back
	acks    map[string]map[string]float64
	lostFor map[string]float64
	worst   int
	over    int // seconds in which more was out than may be, by loss alone
}

func (n *night) give(kind string, o Order) any {
	o.At = n.now
	return n.b.Apply(uint64(n.now), kind, canon.Encode(o))
}

func (n *night) play(policy func(n *night) []string) float64 {
	n.t.Helper()
	changed := ""
	for ; n.now < 48*hourMillis; n.now += 1000 {
		open := 0
		for _, m := range n.b.Inventory.Machines {
			if until, lost := n.lostFor[m.Name]; lost && n.now >= until {
				delete(n.lostFor, m.Name)
				n.lose(m, false)
			} else if !lost && n.b.Works[m.Name] == nil && n.c.Below() < 0.01/3600 {
				n.lostFor[m.Name] = n.now + 60_000*(2+6*n.c.Below())
				n.lose(m, true)
			}
		}
		if int(n.now/1000)%5 == 0 {
			n.give(Tick, Order{})
		}
		for _, m := range n.b.Inventory.Machines {
			w := n.b.Works[m.Name]
			if w == nil {
				continue
			}
			open++
			switch w.Stage {
			case Granted:
				n.give(Drain, Order{Machine: m.Name, Token: w.Token})
				n.acks[m.Name] = map[string]float64{}
				for _, g := range n.b.Inventory.Machines {
					for _, name := range g.Gateways {
						n.acks[m.Name][name] = n.now + 3000*n.c.Below()
					}
				}
			case Draining:
				for _, name := range n.b.PendingAcks(w, n.b.Machine(m.Name)) {
					if n.now >= n.acks[m.Name][name] && n.b.Gateways[name].Live {
						n.give(Ack, Order{Machine: m.Name, Token: w.Token, From: name})
					}
				}
				if r, ok := n.give(Go, Order{Machine: m.Name, Token: w.Token}).(Work); ok && r.Stage == Out {
					n.back[m.Name] = n.now + w.Request.Takes
				}
			case Out, Overdue:
				if n.now >= n.back[m.Name] {
					n.give(Back, Order{Machine: m.Name, Token: w.Token})
				}
			}
		}
		if open == 0 {
			return n.now
		}
		if state := fmt.Sprint(len(n.lostFor), stagesOf(n.b)); state != changed {
			changed = state
			for _, name := range policy(n) {
				n.give(Grant, Order{Machine: name})
			}
		}
		out, sure := counted(n.b)
		n.worst = max(n.worst, len(out))
		if why := tooMany(n.b, out); why != "" {
			if n.over++; len(out) > len(sure) {
				n.t.Fatalf("%.0f s: past %s with %d out, %d of which could stay", n.now/1000, why, len(out), len(out)-len(sure))
			}
		}
	}
	return math.Inf(1)
}

func (n *night) lose(m Machine, gone bool) {
	for _, g := range m.Gateways {
		n.b.SetGateway(g, n.b.Gateways[g].Incarnation+1, !gone)
	}
	var names []string
	for x := range n.b.Lost {
		if !slices.Contains(m.Boxes, x) {
			names = append(names, x)
		}
	}
	if gone {
		names = append(names, m.Boxes...)
	}
	slices.Sort(names)
	n.give(Lost, Order{Names: names})
}

func stagesOf(b *Book) (all []string) {
	for _, m := range b.Inventory.Machines {
		if w := b.Works[m.Name]; w != nil {
			all = append(all, w.Stage.String())
		}
	}
	return all
}

func newNight(t *testing.T, seed uint64) (*night, float64) {
	n := &night{t: t, b: New(), c: chance.Chance(seed), now: 1000, back: map[string]float64{}, acks: map[string]map[string]float64{}, lostFor: map[string]float64{}}
	i := Inventory{Version: 1, Limits: Limits{Most: 6, PerClub: 1, PerZone: 3, Reserve: 0.1, Begin: 60_000, Drain: 30_000, Warm: 60_000, Overdue: 2, Grace: 1000}}
	for x := range 500 {
		m := Machine{Name: fmt.Sprintf("m%03d", x), Club: fmt.Sprint("club-", x%30), Zone: fmt.Sprint("z", x%5)}
		if x < 300 {
			m.Gateways = []string{fmt.Sprintf("g%03d", x)}
		} else {
			m.Boxes, m.Carries = []string{fmt.Sprintf("e%03d", x)}, 8+4*n.c.Below()
		}
		i.Machines = append(i.Machines, m)
	}
	if r := n.b.Apply(1, Have, canon.Encode(i)); r != nil {
		t.Fatal(r)
	}
	for x := range 300 {
		n.b.SetGateway(fmt.Sprintf("g%03d", x), uint64(x+1), true)
	}
	clubs, sum := map[string]float64{}, 0.0
	for range 60 {
		m := i.Machines[int(500*n.c.Below())]
		r := Request{ID: m.Name, Machine: m.Name, Takes: 60_000 * (10 + 20*n.c.Below())}
		if err, ok := n.give(Ask, Order{Request: &r}).(error); ok {
			t.Fatal(err)
		}
		if clubs[m.Club+m.Name] == 0 {
			clubs[m.Club+m.Name] = r.Takes
			clubs[m.Club] += r.Takes + i.Limits.Warm
			sum += r.Takes + i.Limits.Warm
		}
	}
	bound := sum / float64(i.Limits.Most)
	for _, x := range clubs {
		bound = max(bound, x)
	}
	return n, bound
}

// The whole night at size: no limit is passed but by a loss, everything asked for is done, and how long that takes beside the least that the
// limits allow, a fixed order one after another, and a random order within the limits.
func TestNightAtSize(t *testing.T) {
	policies := []struct {
		name string
		do   func(*night) []string
	}{
		{"planned", func(n *night) (all []string) {
			for _, s := range n.b.Plan() {
				if !s.Never && s.Start <= n.b.Now {
					all = append(all, s.Machine)
				}
			}
			return all
		}},
		{"one after another", func(n *night) (all []string) {
			for _, m := range n.b.Inventory.Machines {
				if w := n.b.Works[m.Name]; w != nil && w.Stage != Asked {
					return nil
				} else if w != nil && all == nil {
					all = []string{m.Name}
				}
			}
			return all
		}},
		{"random", func(n *night) (all []string) {
			for _, m := range n.b.Inventory.Machines {
				if w := n.b.Works[m.Name]; w != nil && w.Stage == Asked {
					all = append(all, m.Name)
				}
			}
			for i := range all {
				j := i + int(n.c.Below()*float64(len(all)-i))
				all[i], all[j] = all[j], all[i]
			}
			return all
		}},
	}
	took := map[string]float64{}
	for _, p := range policies {
		n, bound := newNight(t, 9)
		end := n.play(p.do)
		if math.IsInf(end, 1) {
			t.Fatalf("%s: not done: %v", p.name, stagesOf(n.b))
		}
		done := 0
		for _, e := range n.b.Ended {
			if e.What == "done" {
				done++
			}
		}
		took[p.name] = end / bound
		t.Logf("%s: %d done in %.1f h, %.2f times the least of %.1f h; at most %d out; %d s past a limit by loss alone", p.name, done, end/hourMillis, end/bound, bound/hourMillis, n.worst, n.over)
		if p.name != "one after another" && n.worst < 6 {
			t.Errorf("%s: never more than %d out", p.name, n.worst)
		}
	}
	if took["planned"] > 1.6 || took["planned"] > took["one after another"]/2 {
		t.Errorf("planned: %.2f times the least, one after another %.2f", took["planned"], took["one after another"])
	}
}
