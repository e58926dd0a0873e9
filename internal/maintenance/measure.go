package maintenance

import (
	"maps"
	"math"
	"slices"
)

// Load is what one gateway has measured over the last seconds.
type Load struct {
	Rate  float64         // downloads a second that it took
	Boxes map[string]Held // by edge cache; those that it asked for something
}

// Held counts the pulls of one gateway from an edge cache that brought what was asked for, and those of them that the cache held.
type Held struct{ Pulls, Held float64 }

// leastPulls is below which a share says nothing.
const leastPulls = 20

// Warm tells whether, by what one gateway measured, a machine that is back serves as its like do: each edge cache on it holds at least the
// limits' share of what the caches of its club hold that were not away. Where there is too little to go by, or a hub stands on it, nobody
// says so, and its time decides.
func (b *Book) Warm(m *Machine, l Load) bool {
	if len(m.Hubs) > 0 || b.Inventory.Limits.WarmShare <= 0 {
		return false
	}
	var like Held
	for i := range b.Inventory.Machines {
		x := &b.Inventory.Machines[i]
		if x.Club != m.Club || x.Name == m.Name || b.gone(x) {
			continue
		}
		for _, box := range x.Boxes {
			like.Pulls += l.Boxes[box].Pulls
			like.Held += l.Boxes[box].Held
		}
	}
	for _, box := range m.Boxes {
		if x := l.Boxes[box]; x.Pulls < leastPulls || like.Pulls < leastPulls || x.Held/x.Pulls < b.Inventory.Limits.WarmShare*like.Held/like.Pulls {
			return false
		}
	}
	return true
}

// WarmBy tells whether a machine that is back is what it was by the word of its club: more than half of the gateways that are there say so.
func (b *Book) WarmBy(m *Machine, w *Work) bool {
	there, say := 0, 0
	for i := range b.Inventory.Machines {
		x := &b.Inventory.Machines[i]
		if x.Club != m.Club {
			continue
		}
		for _, g := range x.Gateways {
			if b.Gateways[g].There {
				there++
				if w.Warm[g] {
					say++
				}
			}
		}
	}
	return w.Stage == Warming && 2*say > there && !b.hurt(m)
}

// Gauge follows what one gateway takes, to tell the fleet its peak in each hour of the day: the highest rate in that hour, downloads a second.
// A club's peak is the sum of those of its gateways, the lost ones too, as their members come to those that are left.
type Gauge struct {
	hour  float64 // in hours since 1970; 0: nothing was measured yet
	from  float64 // when it began to measure in that hour
	most  float64
	ended *Order // of an hour that is over, until the log has it
}

// whole is the part of an hour that has to be measured for it to take the place of a higher peak of the day before.
const whole = 0.75

// raises is by how much the present hour's peak must pass what the log has, for the fleet to be told before the hour is over.
const raises = 1.25

// See takes a measure at a time (Unix ms) and gives what the log has to be told, again until it has it; nil: nothing.
func (g *Gauge) See(at float64, l Load, b *Book, name string) *Order {
	known := b.Measured[name]
	if h := math.Floor(at / hour); h != g.hour {
		if g.hour != 0 && (at-g.from >= whole*hour || g.most > known[int(math.Mod(g.hour, 24))]) {
			g.ended = &Order{From: name, Hour: int(math.Mod(g.hour, 24)), Peak: g.most}
		}
		g.hour, g.from, g.most = h, at, 0
	}
	if !(l.Rate >= 0) || math.IsInf(l.Rate, 1) {
		return nil
	}
	g.most = max(g.most, l.Rate)
	if g.ended != nil && known[g.ended.Hour] == g.ended.Peak {
		g.ended = nil
	}
	o := g.ended
	if now := int(math.Mod(g.hour, 24)); o == nil && g.most > raises*known[now]+1 {
		o = &Order{From: name, Hour: now, Peak: g.most}
	}
	if o != nil {
		c := *o
		c.At = at
		return &c
	}
	return nil
}

// clubs are those of the inventory, sorted.
func (b *Book) clubs() []string {
	all := map[string]bool{}
	for i := range b.Inventory.Machines {
		all[b.Inventory.Machines[i].Club] = true
	}
	return slices.Sorted(maps.Keys(all))
}
