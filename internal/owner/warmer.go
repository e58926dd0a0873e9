package owner

import (
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/codec"
)

// KindWarm is the kind of jobs that prefill the cache of a node.
const KindWarm = "warm"

// WarmData is the data of a KindWarm job.
type WarmData struct {
	Node string `cbor:"1,keyasint"`
	Each int    `cbor:"2,keyasint"` // objects per step
}

// Warmer proposes, on the leader, one prefill job for each start of a node, with an owner preferably in the node's
// zone.
type Warmer struct {
	Rounds, Each int
	started      map[string]startedNode
}

// startedNode is a node that started recently; until is when its cache no longer counts as cold.
type startedNode struct {
	node, zone string
	until      float64
}

// maxStartedNodes bounds the nodes that are remembered.
const maxStartedNodes = 512

// NodeStarted records a node. Every gateway does so, as any of them may become the leader.
func (w *Warmer) NodeStarted(now float64, e NodeStarted) {
	if w.Rounds == 0 || e.ColdFor <= 0 || len(w.started) >= maxStartedNodes {
		return
	}
	if w.started == nil {
		w.started = map[string]startedNode{}
	}
	w.started[fmt.Sprintf("warm %s %d", e.Node, e.Start)] = startedNode{node: e.Node, zone: e.Zone, until: now + e.ColdFor}
}

// Plan returns the jobs that do not exist yet.
func (w *Warmer) Plan(now float64, b *StateMachine) (jobs []Job) {
	maps.DeleteFunc(w.started, func(_ string, n startedNode) bool { return now >= n.until })
	for _, name := range slices.Sorted(maps.Keys(w.started)) {
		if n := w.started[name]; b.Jobs[name] == nil {
			jobs = append(jobs, Job{Name: name, Kind: KindWarm, Data: codec.Encode(WarmData{Node: n.node, Each: w.Each}), Steps: w.Rounds, Type: Safe, Window: 1, Zone: n.zone})
		}
	}
	return jobs
}
