package virtual

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"poppymill/internal/canon"
	"poppymill/internal/chance"
	"poppymill/internal/maintenance"
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
func planNight(boxes, clubs []string, limits maintenance.Limits, lost string, order func(*maintenance.Book) []string) (goes map[string]float64, ends float64) {
	b := maintenance.New()
	inventory := maintenance.Inventory{Version: 1, Limits: limits}
	for i, name := range boxes {
		inventory.Machines = append(inventory.Machines, maintenance.Machine{Name: name, Club: clubs[i], Boxes: []string{name}, Carries: 1})
	}
	give := func(kind string, content any) any { return b.Apply(1, kind, canon.Encode(content)) }
	give(maintenance.Have, inventory)
	for _, name := range boxes {
		give(maintenance.Ask, maintenance.Order{At: nightStart, Request: &maintenance.Request{ID: name, Machine: name, Takes: workTime}})
	}
	goes = map[string]float64{}
	for now := nightStart; len(b.Works) > 0 && now < 1e6; now += 100 {
		ends = now
		if lost != "" && (now == lossAt || now == lossAt+lossDuration) {
			names := []string{}
			if now == lossAt {
				names = append(names, lost)
			}
			give(maintenance.Lost, maintenance.Order{At: now, Names: names})
		}
		give(maintenance.Tick, maintenance.Order{At: now})
		for _, name := range order(b) {
			give(maintenance.Grant, maintenance.Order{At: now, Machine: name})
		}
		for name, w := range b.Works {
			o := maintenance.Order{At: now, Machine: name, Token: w.Token}
			switch {
			case w.Stage == maintenance.Granted:
				give(maintenance.Drain, o)
			case w.Stage == maintenance.Draining && now >= w.Since+drainTime:
				if give(maintenance.Go, o); b.Works[name].Stage == maintenance.Out {
					goes[name] = now
				}
			case w.Stage == maintenance.Out && now >= w.Since+workTime:
				give(maintenance.Back, o)
			}
		}
	}
	return goes, ends
}

// Measures what a night of maintenance costs downloads, by the order in which caches go out, on one script and several seeds. Runs
// only if POPPYMILL_TEST_MEASURE is set. The figures are for docs/quality.md; a broken rule fails the test.
func TestWorkNightOrders(t *testing.T) {
	if os.Getenv("POPPYMILL_TEST_MEASURE") == "" {
		t.Skip("a measurement")
	}
	limits := maintenance.Limits{Most: 2, PerClub: 1, Drain: 10_000, Warm: warmTime, Overdue: 10, Grace: 100}
	short := limits
	short.Warm = 0
	waiting := func(b *maintenance.Book) (all []string) {
		for _, name := range slices.Sorted(maps.Keys(b.Works)) {
			if b.Works[name].Stage == maintenance.Asked {
				all = append(all, name)
			}
		}
		return all
	}
	planned := func(b *maintenance.Book) (all []string) {
		for _, s := range b.Plan() {
			if !s.Never && s.Start <= b.Now {
				all = append(all, s.Machine)
			}
		}
		return all
	}
	for _, loss := range []bool{false, true} {
		for _, how := range []string{"no work", "planned", "planned, and in again at once", "one after another", "random within the limits", "all of a club at once"} {
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
				_, events := world.New(s, world.Options{}).Known()
				for _, e := range events {
					if nodes, ok := e["nodes"].(map[string]any); ok {
						for _, p := range nodes["endpoints"].([]any) {
							if p := p.(map[string]any); p["type"] == "box" {
								boxes, clubs = append(boxes, p["name"].(string)), append(clubs, p["zone"].(string))
							}
						}
					}
				}
				lost, c := "", chance.Chance(seed*2+1)
				if loss {
					lost = boxes[len(boxes)-1]
				}
				goes, ends := map[string]float64{}, nightStart
				switch how {
				case "planned":
					goes, ends = planNight(boxes, clubs, limits, lost, planned)
				case "planned, and in again at once":
					goes, ends = planNight(boxes, clubs, short, lost, planned)
				case "one after another":
					one := limits
					one.Most = 1
					if lost != "" {
						one.Most = 2 // its limit does not account for losses
					}
					goes, ends = planNight(boxes, clubs, one, lost, func(b *maintenance.Book) []string {
						if w := waiting(b); len(w) == len(b.Works) && len(w) > 0 {
							return w[:1]
						}
						return nil
					})
				case "random within the limits":
					goes, ends = planNight(boxes, clubs, limits, lost, func(b *maintenance.Book) []string {
						w := waiting(b)
						slices.SortFunc(w, func(x, y string) int { return cmp.Compare(c.Below(), 0.5) })
						return w
					})
				case "all of a club at once":
					for i, b := range boxes {
						if goes[b] = nightStart; clubs[i] != clubs[0] {
							goes[b] += workTime + warmTime
						}
					}
					ends = nightStart + 2*(workTime+warmTime)
				}
				took += (ends - nightStart) / 1000 / seeds
				const until = nightStart + 200_000
				s.Phases = []script.Phase{{Name: "before", For: nightStart, Rate: 150}}
				for at := nightStart; at < until; at += 10_000 {
					s.Phases = append(s.Phases, script.Phase{Name: fmt.Sprint("n", at), From: at, For: 10_000, Rate: 150})
				}
				for _, name := range slices.Sorted(maps.Keys(goes)) {
					s.Events = append(s.Events, script.Event{Do: "drain", Times: 1, On: "edge", Name: name, At: goes[name] - drainTime, For: drainTime + workTime, Number: len(s.Events)},
						script.Event{Do: "kill", Times: 1, On: "edge", Name: name, At: goes[name], For: workTime, Number: len(s.Events) + 1})
				}
				if lost != "" {
					s.Events = append(s.Events, script.Event{Do: "kill", Times: 1, On: "edge", Name: lost, At: lossAt, For: lossDuration, Number: len(s.Events)})
				}
				r, audit, _ := runScript(t, s, Faults{})
				if !r.Outcome.Holds {
					t.Errorf("%s, seed %d: %+v", how, s.Seed, audit.Found)
				}
				low := 1.0
				for _, p := range r.Figures.Phases[1:] {
					inTime += float64(p.InTime)
					throttled += float64(p.Throttled)
					asked += float64(p.Asked)
					core += float64(p.Core)
					low = min(low, float64(p.InTime)/float64(p.Asked))
				}
				worst += low / seeds
			}
			t.Logf("loss %t, %s: %.1f s, in time %.4f, worst ten seconds %.3f, throttled %.4f, core requests %.0f", loss, how, took, inTime/asked, worst, throttled/asked, core/seeds)
		}
	}
}
