package maintenance

import (
	"maps"
	"math"
	"slices"
)

// Load is one gateway's measurement over the last seconds.
type Load struct {
	Rate  float64               // accepted downloads per second
	Boxes map[string]PullCounts // by edge cache, for those that it pulled from
}

// PullCounts counts one gateway's successful pulls from an edge cache, and how many of them were cache hits.
type PullCounts struct{ Pulls, Hits float64 }

// minPulls is the number of pulls below which a hit ratio is not meaningful.
const minPulls = 20

// IsWarm tells whether a returned machine is warm by one gateway's measurement: the hit ratio of each edge cache on it is at least the
// configured share of that of the club's edge caches that are not out. With too few pulls, or with a hub on the machine, no gateway
// reports it warm, and the time limit decides.
func (b *State) IsWarm(m *Machine, l Load) bool {
	if len(m.Hubs) > 0 || b.Inventory.Limits.WarmShare <= 0 {
		return false
	}
	var peers PullCounts
	for i := range b.Inventory.Machines {
		other := &b.Inventory.Machines[i]
		if other.Club != m.Club || other.Name == m.Name || b.isOut(other) {
			continue
		}
		for _, box := range other.Boxes {
			peers.Pulls += l.Boxes[box].Pulls
			peers.Hits += l.Boxes[box].Hits
		}
	}
	for _, box := range m.Boxes {
		if cache := l.Boxes[box]; cache.Pulls < minPulls || peers.Pulls < minPulls || cache.Hits/cache.Pulls < b.Inventory.Limits.WarmShare*peers.Hits/peers.Pulls {
			return false
		}
	}
	return true
}

// WarmByMajority tells whether more than half of the live gateways of a returned machine's club report it warm, and nothing on it is lost.
func (b *State) WarmByMajority(m *Machine, w *Window) bool {
	live, warm := 0, 0
	for i := range b.Inventory.Machines {
		other := &b.Inventory.Machines[i]
		if other.Club != m.Club {
			continue
		}
		for _, g := range other.Gateways {
			if b.Gateways[g].Live {
				live++
				if w.Warm[g] {
					warm++
				}
			}
		}
	}
	return w.Stage == Warming && 2*warm > live && !b.isDegraded(m)
}

// PeakMeter measures one gateway's peak load in each hour of the day, which is the highest rate of that hour in downloads per second, to
// report it to the log. A club's peak is the sum over its gateways, including lost ones, as their clients move to the remaining ones.
type PeakMeter struct {
	hour    float64 // hours since 1970; 0: nothing was measured yet
	since   float64 // when it began to measure in that hour; Unix ms
	peak    float64
	pending *CommandData // the report of a finished hour, until the log has it
}

// minMeasuredShare is the share of an hour that has to be measured for its peak to replace a higher one of the day before.
const minMeasuredShare = 0.75

// raiseFactor is the factor by which the current hour's peak has to exceed the logged one to be reported before the hour is over.
const raiseFactor = 1.25

// Observe takes a measurement at a time (Unix ms). It returns a report to propose, the same one until the log has it, or nil.
func (p *PeakMeter) Observe(at float64, l Load, b *State, name string) *CommandData {
	known := b.MeasuredPeaks[name]
	if h := math.Floor(at / hourMillis); h != p.hour {
		if p.hour != 0 && (at-p.since >= minMeasuredShare*hourMillis || p.peak > known[int(math.Mod(p.hour, 24))]) {
			p.pending = &CommandData{Gateway: name, Hour: int(math.Mod(p.hour, 24)), Peak: p.peak}
		}
		p.hour, p.since, p.peak = h, at, 0
	}
	if !(l.Rate >= 0) || math.IsInf(l.Rate, 1) {
		return nil
	}
	p.peak = max(p.peak, l.Rate)
	if p.pending != nil && known[p.pending.Hour] == p.pending.Peak {
		p.pending = nil
	}
	report := p.pending
	if current := int(math.Mod(p.hour, 24)); report == nil && p.peak > raiseFactor*known[current]+1 {
		report = &CommandData{Gateway: name, Hour: current, Peak: p.peak}
	}
	if report != nil {
		timed := *report
		timed.At = at
		return &timed
	}
	return nil
}

// clubs returns the clubs of the inventory, sorted.
func (b *State) clubs() []string {
	all := map[string]bool{}
	for i := range b.Inventory.Machines {
		all[b.Inventory.Machines[i].Club] = true
	}
	return slices.Sorted(maps.Keys(all))
}
