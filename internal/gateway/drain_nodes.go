package gateway

import (
	"maps"
	"slices"

	"poppymill/router"
)

// DrainNodes asks the core to send nothing new to some nodes, neither as target nor as source of a pull, whatever the
// node list says: their machines are taken out for maintenance. It replaces the previous DrainNodes. Done is called
// once, from the core's goroutine, when nothing is open at these nodes any more.
type DrainNodes struct {
	Nodes  []string
	Number int
	At     float64
	Done   func(number int)
}

// drainedNodes are the nodes drained by the latest DrainNodes.
type drainedNodes struct {
	nodes    map[string]bool
	request  DrainNodes
	reported bool // Done was called
}

// effective returns the entry with the stricter of its listed state and the agreed drain.
func (d *drainedNodes) effective(e router.Entry) router.Entry {
	if d != nil && d.nodes[e.Node] && e.State == router.Running {
		e.State = router.Draining
	}
	return e
}

// drainNodes replaces the set of drained nodes and passes the changes to the router and the pool.
func (g *Core) drainNodes(e DrainNodes) {
	previous := g.drained
	g.drained = &drainedNodes{nodes: map[string]bool{}, request: e}
	for _, n := range e.Nodes {
		g.drained.nodes[n] = true
	}
	changes := router.NodesListed{Scope: router.ListChanges}
	for _, n := range slices.Sorted(maps.Keys(g.nodes)) {
		listed := g.nodes[n]
		if effective := g.drained.effective(listed); effective != previous.effective(listed) {
			changes.Entries = append(changes.Entries, effective)
			if g.pool.SetNode(n, g.addresses[n], listed.StartedAt, g.now); effective.State == router.Draining {
				g.stopSending(n)
			}
		}
	}
	if len(changes.Entries) > 0 {
		g.emit(changes)
		g.dispatch()
	}
	g.drained.checkIdle(g)
}

// checkIdle calls Done once nothing is open at the drained nodes.
func (d *drainedNodes) checkIdle(g *Core) {
	if d == nil || d.reported {
		return
	}
	for n := range d.nodes {
		if g.pool.InFlight(n) > 0 {
			return
		}
	}
	for _, dl := range g.downloads {
		for _, p := range dl.pulls {
			if p.cachePull != nil && d.nodes[p.source] {
				return
			}
		}
	}
	d.reported = true
	d.request.Done(d.request.Number)
}

// OnNodesChanged registers a function that is called now, and whenever the node list changes, with all nodes and
// whether each is running.
func (g *Core) OnNodesChanged(notify func(there map[string]bool)) {
	g.nodesChanged = notify
	g.notifyNodesChanged()
}

// notifyNodesChanged calls the function registered by OnNodesChanged.
func (g *Core) notifyNodesChanged() {
	if g.nodesChanged == nil {
		return
	}
	running := map[string]bool{}
	for name, e := range g.nodes {
		running[name] = e.State == router.Running
	}
	g.nodesChanged(running)
}

// coreProxy lets the quorum's goroutine reach the core.
type coreProxy struct {
	poster     *poster
	knownUntil *knownUntil
}

// StopUsing passes the nodes to drain to the core; it waits while the core's inbox is full.
func (c coreProxy) StopUsing(nodes []string, number int, done func(int)) {
	c.poster.post(DrainNodes{Nodes: nodes, Number: number, At: c.poster.now(), Done: done})
}
