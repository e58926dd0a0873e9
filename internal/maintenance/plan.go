package maintenance

import (
	"cmp"
	"math"
	"slices"
)

// Slot is a machine's planned maintenance window: when it is expected to leave and to be back in service.
type Slot struct {
	Machine        string  `json:"machine"`
	ID             string  `json:"id"`
	Start          float64 `json:"start"`
	End            float64 `json:"end"`
	Deadline       float64 `json:"by,omitempty"`
	MissesDeadline bool    `json:"late,omitempty"`  // it misses its deadline
	BlockedBy      string  `json:"limit,omitempty"` // what kept it from leaving earlier: the last limit, or the first if it has no deadline
	Never          bool    `json:"never,omitempty"` // under the current limits it never leaves
}

// Plan computes the whole schedule from the replicated state alone, so every gateway computes the same one. It is greedy: among queued
// machines, those whose deadline can be met come first, ordered by deadline; then those that miss it; then those without one. Ties go
// to the machine with the smallest share of its club's capacity, then to the earliest request. Every machine that the limits allow
// beside the current outages leaves at once.
func (b *State) Plan() []Slot {
	counts, l, now := b.countOutages(), b.Inventory.Limits, b.Now
	type activeOutage struct {
		m   *Machine
		at  placement
		end float64
	}
	type queuedMachine struct {
		w             *Window
		m             *Machine
		at            placement
		capacityShare float64 // of its club's remaining capacity
		duration      float64 // ms from its grant until it is back in service
		degraded      bool
		limit         limit  // that blocks it now
		blockedBy     string // as reported in its slot
	}
	machines := make(map[string]*Machine, len(b.Inventory.Machines))
	for i := range b.Inventory.Machines {
		machines[b.Inventory.Machines[i].Name] = &b.Inventory.Machines[i]
	}
	// A machine that should be back by now is expected a little later, as its return time is unknown.
	expectedEnd := func(end float64) float64 { return max(end, b.Now+1000) }
	var out []activeOutage
	var queue []*queuedMachine
	for name, w := range b.Windows {
		m := machines[name]
		if m == nil {
			continue
		}
		at := counts.place(m)
		switch {
		case w.Stage == Queued:
			queue = append(queue, &queuedMachine{w: w, m: m, at: at, capacityShare: m.Capacity / max(1e-9, counts.capacity[at.club]), duration: l.DrainTimeout + w.Request.Duration + l.WarmTimeout, degraded: b.isDegraded(m)})
		case w.Stage == Overdue || b.isDegraded(m): // its return time is unknown
		case w.Stage == Warming:
			out = append(out, activeOutage{m, at, expectedEnd(w.Since + l.WarmTimeout)})
		case w.Stage == OutOfService:
			out = append(out, activeOutage{m, at, expectedEnd(w.Since + w.Request.Duration + l.WarmTimeout)})
		default:
			out = append(out, activeOutage{m, at, expectedEnd(w.Since + l.DrainTimeout + w.Request.Duration + l.WarmTimeout)})
		}
	}
	slices.SortFunc(queue, func(x, y *queuedMachine) int {
		deadlineX, deadlineY := cmp.Or(x.w.Request.Deadline, math.Inf(1)), cmp.Or(y.w.Request.Deadline, math.Inf(1))
		return cmp.Or(cmp.Compare(deadlineX, deadlineY), cmp.Compare(x.capacityShare, y.capacityShare), cmp.Compare(x.w.RequestIndex, y.w.RequestIndex), cmp.Compare(x.m.Name, y.m.Name))
	})
	// A request whose deadline can be met precedes one that misses it, which precedes one without a deadline.
	rank := func(w *Window) int {
		switch r := &w.Request; {
		case r.Deadline == 0:
			return 2
		case max(now, r.NotBefore)+l.DrainTimeout+r.Duration > r.Deadline:
			return 1
		}
		return 0
	}
	var slots []Slot
	for len(queue) > 0 {
		next, exceeded := math.Inf(1), counts.exceeded() != ""
		granted := map[*queuedMachine]bool{}
		for pass := range 3 {
			for _, q := range queue {
				if granted[q] || rank(q.w) != pass {
					continue
				}
				if q.w.Request.NotBefore > now {
					next = min(next, q.w.Request.NotBefore)
					continue
				}
				peak := counts.peak(q.at.club, now, now+q.duration)
				switch {
				case q.degraded:
					q.limit = limitDegraded
				case exceeded:
					q.limit = limitExceeded
				default:
					q.limit = counts.firstLimit(q.m, q.at, peak)
				}
				if q.limit != noLimit {
					if q.blockedBy == "" || q.w.Request.Deadline > 0 {
						q.blockedBy = counts.describe(q.limit, q.m, q.at, peak)
					}
					continue
				}
				late := pass == 1
				if late && q.blockedBy == "" {
					q.blockedBy = "by: sooner than it takes, with the time to drain"
				}
				counts.add(q.m, q.at, 1)
				granted[q] = true
				out = append(out, activeOutage{q.m, q.at, now + q.duration})
				slots = append(slots, Slot{Machine: q.m.Name, ID: q.w.Request.ID, Start: now, End: now + q.duration, Deadline: q.w.Request.Deadline, MissesDeadline: late, BlockedBy: q.blockedBy})
			}
		}
		queue = slices.DeleteFunc(queue, func(q *queuedMachine) bool { return granted[q] })
		for _, r := range out {
			next = min(next, r.end)
		}
		if h := (math.Floor(now/hourMillis) + 1) * hourMillis; math.IsInf(next, 1) && h < b.Now+25*hourMillis {
			next = h // no outage ends; the lower peak of another hour may allow a machine to leave
		}
		if len(queue) > 0 && (math.IsInf(next, 1) || next > b.Now+400*24*hourMillis) {
			for _, q := range queue {
				slots = append(slots, Slot{Machine: q.m.Name, ID: q.w.Request.ID, Deadline: q.w.Request.Deadline, MissesDeadline: q.w.Request.Deadline > 0, BlockedBy: q.blockedBy, Never: true})
			}
			break
		}
		now = max(now, next)
		out = slices.DeleteFunc(out, func(r activeOutage) bool {
			if r.end <= now {
				counts.add(r.m, r.at, -1)
			}
			return r.end <= now
		})
	}
	return slots
}
