package maintenance

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"poppymill/internal/codec"
	"poppymill/internal/prng"
)

// simulation runs the maintenance windows of a night in virtual time: 300 gateways and 200 edge caches, each on a machine of its own in
// thirty clubs, with sixty requests. One machine in a hundred is lost each hour, for some minutes. A policy chooses the machines to grant;
// the state machine decides everything else.
type simulation struct {
	t              *testing.T
	b              *State
	random         prng.Source
	now            float64
	returnAt       map[string]float64            // by machine that is out
	ackAt          map[string]map[string]float64 // by draining machine and gateway
	lostUntil      map[string]float64            // by lost machine
	maxOut         int
	exceededByLoss int // seconds in which losses alone exceeded a limit
}

// apply applies a command at the current time.
func (sim *simulation) apply(kind string, o CommandData) any {
	o.At = sim.now
	return sim.b.Apply(uint64(sim.now), kind, codec.Encode(o))
}

// run simulates until no request is open, and returns the time, or infinity after 48 hours.
func (sim *simulation) run(policy func(sim *simulation) []string) float64 {
	sim.t.Helper()
	lastState := ""
	for ; sim.now < 48*hourMillis; sim.now += 1000 {
		open := 0
		for _, m := range sim.b.Inventory.Machines {
			if until, lost := sim.lostUntil[m.Name]; lost && sim.now >= until {
				delete(sim.lostUntil, m.Name)
				sim.lose(m, false)
			} else if !lost && sim.b.Windows[m.Name] == nil && sim.random.Float64() < 0.01/3600 {
				sim.lostUntil[m.Name] = sim.now + 60_000*(2+6*sim.random.Float64())
				sim.lose(m, true)
			}
		}
		if int(sim.now/1000)%5 == 0 {
			sim.apply(Tick, CommandData{})
		}
		for _, m := range sim.b.Inventory.Machines {
			w := sim.b.Windows[m.Name]
			if w == nil {
				continue
			}
			open++
			switch w.Stage {
			case Granted:
				sim.apply(Drain, CommandData{Machine: m.Name, Token: w.Token})
				sim.ackAt[m.Name] = map[string]float64{}
				for _, g := range sim.b.Inventory.Machines {
					for _, name := range g.Gateways {
						sim.ackAt[m.Name][name] = sim.now + 3000*sim.random.Float64()
					}
				}
			case Draining:
				for _, name := range sim.b.PendingAcks(w, sim.b.Machine(m.Name)) {
					if sim.now >= sim.ackAt[m.Name][name] && sim.b.Gateways[name].Live {
						sim.apply(Ack, CommandData{Machine: m.Name, Token: w.Token, Gateway: name})
					}
				}
				if r, ok := sim.apply(Leave, CommandData{Machine: m.Name, Token: w.Token}).(Window); ok && r.Stage == OutOfService {
					sim.returnAt[m.Name] = sim.now + w.Request.Duration
				}
			case OutOfService, Overdue:
				if sim.now >= sim.returnAt[m.Name] {
					sim.apply(Return, CommandData{Machine: m.Name, Token: w.Token})
				}
			}
		}
		if open == 0 {
			return sim.now
		}
		if state := fmt.Sprint(len(sim.lostUntil), stagesOf(sim.b)); state != lastState {
			lastState = state
			for _, name := range policy(sim) {
				sim.apply(Grant, CommandData{Machine: name})
			}
		}
		out, irrevocable := countOut(sim.b)
		sim.maxOut = max(sim.maxOut, len(out))
		if limit := exceededLimit(sim.b, out); limit != "" {
			if sim.exceededByLoss++; len(out) > len(irrevocable) {
				sim.t.Fatalf("%.0f s: limit %s exceeded with %d out, %d of which could still stay in", sim.now/1000, limit, len(out), len(out)-len(irrevocable))
			}
		}
	}
	return math.Inf(1)
}

// lose marks everything on a machine as lost, or as found again.
func (sim *simulation) lose(m Machine, lost bool) {
	for _, g := range m.Gateways {
		sim.b.SetGateway(g, sim.b.Gateways[g].Incarnation+1, !lost)
	}
	var names []string
	for x := range sim.b.Lost {
		if !slices.Contains(m.Boxes, x) {
			names = append(names, x)
		}
	}
	if lost {
		names = append(names, m.Boxes...)
	}
	slices.Sort(names)
	sim.apply(SetLost, CommandData{Names: names})
}

// stagesOf returns the stages of all machines with an open request.
func stagesOf(b *State) (all []string) {
	for _, m := range b.Inventory.Machines {
		if w := b.Windows[m.Name]; w != nil {
			all = append(all, w.Stage.String())
		}
	}
	return all
}

// newSimulation returns a simulation, and the least time that the limits allow for its requests.
func newSimulation(t *testing.T, seed uint64) (*simulation, float64) {
	sim := &simulation{t: t, b: New(), random: prng.Source(seed), now: 1000, returnAt: map[string]float64{}, ackAt: map[string]map[string]float64{}, lostUntil: map[string]float64{}}
	i := Inventory{Version: 1, Limits: Limits{MaxMachines: 6, PerClub: 1, PerZone: 3, Reserve: 0.1, BeginTimeout: 60_000, DrainTimeout: 30_000, WarmTimeout: 60_000, Overdue: 2, Grace: 1000}}
	for x := range 500 {
		m := Machine{Name: fmt.Sprintf("m%03d", x), Club: fmt.Sprint("club-", x%30), Zone: fmt.Sprint("z", x%5)}
		if x < 300 {
			m.Gateways = []string{fmt.Sprintf("g%03d", x)}
		} else {
			m.Boxes, m.Capacity = []string{fmt.Sprintf("e%03d", x)}, 8+4*sim.random.Float64()
		}
		i.Machines = append(i.Machines, m)
	}
	if r := sim.b.Apply(1, SetInventory, codec.Encode(i)); r != nil {
		t.Fatal(r)
	}
	for x := range 300 {
		sim.b.SetGateway(fmt.Sprintf("g%03d", x), uint64(x+1), true)
	}
	clubs, sum := map[string]float64{}, 0.0
	for range 60 {
		m := i.Machines[int(500*sim.random.Float64())]
		r := Request{ID: m.Name, Machine: m.Name, Duration: 60_000 * (10 + 20*sim.random.Float64())}
		if err, ok := sim.apply(Submit, CommandData{Request: &r}).(error); ok {
			t.Fatal(err)
		}
		if clubs[m.Club+m.Name] == 0 {
			clubs[m.Club+m.Name] = r.Duration
			clubs[m.Club] += r.Duration + i.Limits.WarmTimeout
			sum += r.Duration + i.Limits.WarmTimeout
		}
	}
	bound := sum / float64(i.Limits.MaxMachines)
	for _, x := range clubs {
		bound = max(bound, x)
	}
	return sim, bound
}

// Runs the simulation under three policies: the plan, one machine after another, and random order. Only losses exceed a limit and every
// request is done; the plan's duration is bounded against the least that the limits allow and against one machine after another.
func TestLargeFleetSimulation(t *testing.T) {
	policies := []struct {
		name string
		do   func(*simulation) []string
	}{
		{"planned", func(sim *simulation) (all []string) {
			for _, s := range sim.b.Plan() {
				if !s.Never && s.Start <= sim.b.Now {
					all = append(all, s.Machine)
				}
			}
			return all
		}},
		{"one at a time", func(sim *simulation) (all []string) {
			for _, m := range sim.b.Inventory.Machines {
				if w := sim.b.Windows[m.Name]; w != nil && w.Stage != Queued {
					return nil
				} else if w != nil && all == nil {
					all = []string{m.Name}
				}
			}
			return all
		}},
		{"random", func(sim *simulation) (all []string) {
			for _, m := range sim.b.Inventory.Machines {
				if w := sim.b.Windows[m.Name]; w != nil && w.Stage == Queued {
					all = append(all, m.Name)
				}
			}
			for i := range all {
				j := i + int(sim.random.Float64()*float64(len(all)-i))
				all[i], all[j] = all[j], all[i]
			}
			return all
		}},
	}
	took := map[string]float64{}
	for _, p := range policies {
		sim, bound := newSimulation(t, 9)
		end := sim.run(p.do)
		if math.IsInf(end, 1) {
			t.Fatalf("%s: requests not finished: %v", p.name, stagesOf(sim.b))
		}
		done := 0
		for _, e := range sim.b.Ended {
			if e.Outcome == "done" {
				done++
			}
		}
		took[p.name] = end / bound
		t.Logf("%s: %d done in %.1f h, %.2f times the minimum of %.1f h; at most %d out; %d s beyond a limit by losses alone", p.name, done, end/hourMillis, end/bound, bound/hourMillis, sim.maxOut, sim.exceededByLoss)
		if p.name != "one at a time" && sim.maxOut < 6 {
			t.Errorf("%s: at most %d machines out at a time", p.name, sim.maxOut)
		}
	}
	if took["planned"] > 1.6 || took["planned"] > took["one at a time"]/2 {
		t.Errorf("planned: %.2f times the minimum, one at a time %.2f", took["planned"], took["one at a time"])
	}
}
