package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// Slot is when a machine is expected to go and to be in again.
type Slot struct {
	Machine string  `json:"machine"`
	ID      string  `json:"id"`
	Start   float64 `json:"start"`
	End     float64 `json:"end"`
	By      float64 `json:"by,omitempty"`
	Late    bool    `json:"late,omitempty"`  // its deadline can't be kept
	Limit   string  `json:"limit,omitempty"` // what kept it from going sooner, last
	Never   bool    `json:"never,omitempty"` // by the limits as they are it does not go at all
}

// Plan is the whole schedule, worked out from the agreed state alone: whoever works it out gets the same. Of those that wait, the one
// goes first whose deadline is earliest and can be kept, then the one that takes least from its club, then the one that waits for
// longest; whatever fits beside what is out goes along.
func (b *Book) Plan() []Slot {
	t, l, now := b.tally(), b.Inventory.Limits, b.Now
	type running struct {
		m   *Machine
		at  spot
		end float64
	}
	type waiting struct {
		w      *Work
		m      *Machine
		at     spot
		harm   float64
		whole  float64 // ms from its turn until it is in again
		hurt   bool
		limit  limit  // that keeps it now
		before string // what did last
	}
	machines := make(map[string]*Machine, len(b.Inventory.Machines))
	for i := range b.Inventory.Machines {
		machines[b.Inventory.Machines[i].Name] = &b.Inventory.Machines[i]
	}
	// What should be in again and is not takes its place for a little longer: nobody knows until when.
	soon := func(end float64) float64 { return max(end, b.Now+1000) }
	var out []running
	var wait []*waiting
	for name, w := range b.Works {
		m := machines[name]
		if m == nil {
			continue
		}
		at := t.spot(m)
		switch {
		case w.Stage == Asked:
			wait = append(wait, &waiting{w: w, m: m, at: at, harm: m.Carries / max(1e-9, t.carried[at.club]), whole: l.Drain + w.Request.Takes + l.Warm, hurt: b.hurt(m)})
		case w.Stage == Overdue || b.hurt(m): // nobody knows until when
		case w.Stage == Warming:
			out = append(out, running{m, at, soon(w.Since + l.Warm)})
		case w.Stage == Out:
			out = append(out, running{m, at, soon(w.Since + w.Request.Takes + l.Warm)})
		default:
			out = append(out, running{m, at, soon(w.Since + l.Drain + w.Request.Takes + l.Warm)})
		}
	}
	slices.SortFunc(wait, func(x, y *waiting) int {
		bx, by := cmp.Or(x.w.Request.By, math.Inf(1)), cmp.Or(y.w.Request.By, math.Inf(1))
		return cmp.Or(cmp.Compare(bx, by), cmp.Compare(x.harm, y.harm), cmp.Compare(x.w.Asked, y.w.Asked), cmp.Compare(x.m.Name, y.m.Name))
	})
	// A deadline that can be kept goes before one that can't, and that before none.
	rank := func(w *Work) int {
		switch r := &w.Request; {
		case r.By == 0:
			return 2
		case max(now, r.NotBefore)+l.Drain+r.Takes > r.By:
			return 1
		}
		return 0
	}
	var slots []Slot
	for len(wait) > 0 {
		next, passed := math.Inf(1), t.passed() != ""
		gone := map[*waiting]bool{}
		for turn := range 3 {
			for _, x := range wait {
				if gone[x] || rank(x.w) != turn {
					continue
				}
				if x.w.Request.NotBefore > now {
					next = min(next, x.w.Request.NotBefore)
					continue
				}
				peak := t.peak(x.at.club, now, now+x.whole)
				switch {
				case x.hurt:
					x.limit = hurts
				case passed:
					x.limit = passes
				default:
					x.limit = t.check(x.m, x.at, peak)
				}
				if x.limit != free {
					if x.before == "" || x.w.Request.By > 0 {
						x.before = t.words(x.limit, x.m, x.at, peak)
					}
					continue
				}
				late := turn == 1
				if late && x.before == "" {
					x.before = "by: sooner than it takes, with the time to drain"
				}
				t.add(x.m, x.at, 1)
				gone[x] = true
				out = append(out, running{x.m, x.at, now + x.whole})
				slots = append(slots, Slot{Machine: x.m.Name, ID: x.w.Request.ID, Start: now, End: now + x.whole, By: x.w.Request.By, Late: late, Limit: x.before})
			}
		}
		wait = slices.DeleteFunc(wait, func(x *waiting) bool { return gone[x] })
		for _, r := range out {
			next = min(next, r.end)
		}
		if h := (math.Floor(now/hour) + 1) * hour; math.IsInf(next, 1) && h < b.Now+25*hour {
			next = h // nothing ends; the peak of another hour may let it go
		}
		if len(wait) > 0 && (math.IsInf(next, 1) || next > b.Now+400*24*hour) {
			for _, x := range wait {
				slots = append(slots, Slot{Machine: x.m.Name, ID: x.w.Request.ID, By: x.w.Request.By, Late: x.w.Request.By > 0, Limit: x.before, Never: true})
			}
			break
		}
		now = max(now, next)
		out = slices.DeleteFunc(out, func(r running) bool {
			if r.end <= now {
				t.add(r.m, r.at, -1)
			}
			return r.end <= now
		})
	}
	return slots
}
