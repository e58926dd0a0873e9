package owner

import (
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/canon"
)

// Warm is the kind of jobs that fill a node ahead.
const Warm = "warm"

// Warming is what such a job is about.
type Warming struct {
	Node string `cbor:"1,keyasint"`
	Each int    `cbor:"2,keyasint"` // objects of a step
}

// Warmer asks at the leader for nodes that started lately to be filled ahead, each start of each once, by an owner of the node's zone.
type Warmer struct {
	Rounds, Each int
	seen         map[string]booted
}

type booted struct {
	node, zone string
	until      float64
}

// mostBooted bounds the nodes that are remembered.
const mostBooted = 512

// Booted notes a node; every gateway hears of it, as any may lead next.
func (w *Warmer) Booted(now float64, e Booted) {
	if w.Rounds == 0 || e.Left <= 0 || len(w.seen) >= mostBooted {
		return
	}
	if w.seen == nil {
		w.seen = map[string]booted{}
	}
	w.seen[fmt.Sprintf("warm %s %d", e.Node, e.Start)] = booted{node: e.Node, zone: e.Zone, until: now + e.Left}
}

// Plan names the jobs that are not there yet.
func (w *Warmer) Plan(now float64, b *Book) (all []Job) {
	maps.DeleteFunc(w.seen, func(_ string, x booted) bool { return now >= x.until })
	for _, name := range slices.Sorted(maps.Keys(w.seen)) {
		if x := w.seen[name]; b.Jobs[name] == nil {
			all = append(all, Job{Name: name, Kind: Warm, Data: canon.Encode(Warming{Node: x.node, Each: w.Each}), Steps: w.Rounds, Type: Safe, Window: 1, Zone: x.zone})
		}
	}
	return all
}
