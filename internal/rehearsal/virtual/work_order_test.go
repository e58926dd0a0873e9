package virtual

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"poppymill/internal/codec"
	"poppymill/internal/maintenance"
	"poppymill/internal/prng"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Times in ms: how long a cache drains, is out for work, and counts as out afterwards while it warms up; when the work starts;
// and when and for how long one cache is lost unplanned.
const (
	drainTime    = 1000.0
	workTime     = 6000.0
	warmTime     = 12_000.0
	nightStart   = 25_000.0
	lossAt       = 40_000.0
	lossDuration = 30_000.0
)

// planNight returns when each cache goes out by the rules of package maintenance, and when the last is done. order returns the
// waiting caches in the order to try; the state machine refuses those that must not go.
func planNight(boxes, clubs []string, limits maintenance.Limits, lost string, order func(*maintenance.State) []string) (outAt map[string]float64, doneAt float64) {
	state := maintenance.New()
	inventory := maintenance.Inventory{Version: 1, Limits: limits}
	for i, name := range boxes {
		inventory.Machines = append(inventory.Machines, maintenance.Machine{Name: name, Club: clubs[i], Boxes: []string{name}, Capacity: 1})
	}
	apply := func(kind string, content any) any { return state.Apply(1, kind, codec.Encode(content)) }
	apply(maintenance.SetInventory, inventory)
	for _, name := range boxes {
		apply(maintenance.Submit, maintenance.CommandData{At: nightStart, Request: &maintenance.Request{ID: name, Machine: name, Duration: workTime}})
	}
	outAt = map[string]float64{}
	for now := nightStart; len(state.Windows) > 0 && now < 1e6; now += 100 {
		doneAt = now
		if lost != "" && (now == lossAt || now == lossAt+lossDuration) {
			names := []string{}
			if now == lossAt {
				names = append(names, lost)
			}
			apply(maintenance.SetLost, maintenance.CommandData{At: now, Names: names})
		}
		apply(maintenance.Tick, maintenance.CommandData{At: now})
		for _, name := range order(state) {
			apply(maintenance.Grant, maintenance.CommandData{At: now, Machine: name})
		}
		for name, w := range state.Windows {
			o := maintenance.CommandData{At: now, Machine: name, Token: w.Token}
			switch {
			case w.Stage == maintenance.Granted:
				apply(maintenance.Drain, o)
			case w.Stage == maintenance.Draining && now >= w.Since+drainTime:
				if apply(maintenance.Leave, o); state.Windows[name].Stage == maintenance.OutOfService {
					outAt[name] = now
				}
			case w.Stage == maintenance.OutOfService && now >= w.Since+workTime:
				apply(maintenance.Return, o)
			}
		}
	}
	return outAt, doneAt
}

// Measures what a night of maintenance costs downloads, by the order in which caches go out, on one script and several seeds. Runs
// only if POPPYMILL_TEST_MEASURE is set. The figures are for docs/quality.md; a broken rule fails the test.
func TestWorkNightOrders(t *testing.T) {
	if os.Getenv("POPPYMILL_TEST_MEASURE") == "" {
		t.Skip("a measurement")
	}
	limits := maintenance.Limits{MaxMachines: 2, PerClub: 1, DrainTimeout: 10_000, WarmTimeout: warmTime, Overdue: 10, Grace: 100}
	short := limits
	short.WarmTimeout = 0
	waiting := func(b *maintenance.State) (all []string) {
		for _, name := range slices.Sorted(maps.Keys(b.Windows)) {
			if b.Windows[name].Stage == maintenance.Queued {
				all = append(all, name)
			}
		}
		return all
	}
	planned := func(b *maintenance.State) (all []string) {
		for _, s := range b.Plan() {
			if !s.Never && s.Start <= b.Now {
				all = append(all, s.Machine)
			}
		}
		return all
	}
	for _, loss := range []bool{false, true} {
		for _, order := range []string{"no work", "planned", "planned, and in again at once", "one after another", "random within the limits", "all of a club at once"} {
			var inTime, throttled, asked, core, worst, took float64
			const seeds = 4
			for seed := range uint64(seeds) {
				s, err := script.Load("../../../deploy/rehearsals/rolling-deploy.hcl")
				if err != nil {
					t.Fatal(err)
				}
				s.Seed = int(seed) + 3
				s.Events = nil
				var boxes, clubs []string
				_, events := world.New(s, world.Options{}).ChannelEvents()
				for _, e := range events {
					if nodes, ok := e["nodes"].(map[string]any); ok {
						for _, p := range nodes["endpoints"].([]any) {
							if p := p.(map[string]any); p["type"] == "box" {
								boxes, clubs = append(boxes, p["name"].(string)), append(clubs, p["zone"].(string))
							}
						}
					}
				}
				lost, random := "", prng.Source(seed*2+1)
				if loss {
					lost = boxes[len(boxes)-1]
				}
				outAt, doneAt := map[string]float64{}, nightStart
				switch order {
				case "planned":
					outAt, doneAt = planNight(boxes, clubs, limits, lost, planned)
				case "planned, and in again at once":
					outAt, doneAt = planNight(boxes, clubs, short, lost, planned)
				case "one after another":
					one := limits
					one.MaxMachines = 1
					if lost != "" {
						one.MaxMachines = 2 // its limit does not account for losses
					}
					outAt, doneAt = planNight(boxes, clubs, one, lost, func(b *maintenance.State) []string {
						if w := waiting(b); len(w) == len(b.Windows) && len(w) > 0 {
							return w[:1]
						}
						return nil
					})
				case "random within the limits":
					outAt, doneAt = planNight(boxes, clubs, limits, lost, func(b *maintenance.State) []string {
						w := waiting(b)
						slices.SortFunc(w, func(x, y string) int { return cmp.Compare(random.Float64(), 0.5) })
						return w
					})
				case "all of a club at once":
					for i, b := range boxes {
						if outAt[b] = nightStart; clubs[i] != clubs[0] {
							outAt[b] += workTime + warmTime
						}
					}
					doneAt = nightStart + 2*(workTime+warmTime)
				}
				took += (doneAt - nightStart) / 1000 / seeds
				const until = nightStart + 200_000
				s.Phases = []script.Phase{{Name: "before", For: nightStart, Rate: 150}}
				for at := nightStart; at < until; at += 10_000 {
					s.Phases = append(s.Phases, script.Phase{Name: fmt.Sprint("n", at), From: at, For: 10_000, Rate: 150})
				}
				for _, name := range slices.Sorted(maps.Keys(outAt)) {
					s.Events = append(s.Events, script.Event{Kind: "drain", Times: 1, On: "edge", Name: name, At: outAt[name] - drainTime, Duration: drainTime + workTime, Number: len(s.Events)},
						script.Event{Kind: "kill", Times: 1, On: "edge", Name: name, At: outAt[name], Duration: workTime, Number: len(s.Events) + 1})
				}
				if lost != "" {
					s.Events = append(s.Events, script.Event{Kind: "kill", Times: 1, On: "edge", Name: lost, At: lossAt, Duration: lossDuration, Number: len(s.Events)})
				}
				r, audit, _ := runScript(t, s, Faults{})
				if !r.Outcome.Holds {
					t.Errorf("%s, seed %d: %+v", order, s.Seed, audit.Found)
				}
				worstShare := 1.0
				for _, p := range r.Figures.Phases[1:] {
					inTime += float64(p.InTime)
					throttled += float64(p.Throttled)
					asked += float64(p.Asked)
					core += float64(p.Core)
					worstShare = min(worstShare, float64(p.InTime)/float64(p.Asked))
				}
				worst += worstShare / seeds
			}
			t.Logf("loss %t, %s: %.1f s, in time %.4f, worst ten seconds %.3f, throttled %.4f, core requests %.0f", loss, order, took, inTime/asked, worst, throttled/asked, core/seeds)
		}
	}
}
