package gateway

import (
	"maps"
	"slices"

	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/router"
)

// handleChannelEvent applies a purge or a node list of the command channel.
func (g *Core) handleChannelEvent(n channel.Event) {
	if n.Purge {
		n.PurgeScope.Age = max(0, g.now-n.PurgeTime)
		g.emit(n.PurgeScope)
		g.withdrawPulls(func(p *pull) bool {
			return n.PurgeScope.Object == p.download.object || n.PurgeScope.Object == "" && n.PurgeScope.Group == p.download.group
		})
		return
	}
	list := router.NodesListed{Scope: n.Scope}
	listed := map[string]bool{}
	for _, node := range n.Nodes {
		g.nodes[node.Node] = node.Entry
		list.Entries = append(list.Entries, g.drained.effective(node.Entry))
		listed[node.Node] = true
		if node.State == router.Gone {
			g.removeNode(node.Node)
			continue
		}
		if g.addresses[node.Node] = node.Address; g.nodeListed != nil && node.State == router.Running {
			g.nodeListed(node.Entry)
		}
		g.pool.SetNode(node.Node, node.Address, node.StartedAt, g.now)
		if g.drained.effective(node.Entry).State == router.Draining {
			g.stopSending(node.Node) // after SetNode, which allows probes of the node
		}
	}
	if n.Scope != router.ListChanges {
		for _, id := range slices.Sorted(maps.Keys(g.addresses)) {
			if !listed[id] {
				g.removeNode(id)
			}
		}
	}
	g.emit(list)
	g.notifyNodesChanged()
}

// withdrawPulls takes back the matching pulls that are not written yet. The router learns of their end after the event
// that caused it.
func (g *Core) withdrawPulls(matches func(*pull) bool) {
	g.pool.RecallMatching(func(q *caches.Pull) bool {
		p, ok := q.Owner.(*pull)
		return ok && matches(p)
	}, g.now)
}

// stopSending sends nothing new to a node, and withdraws the pulls with the node as target or source.
func (g *Core) stopSending(id string) {
	g.pool.ExcludeNode(id)
	g.withdrawPulls(func(p *pull) bool { return p.node == id || p.source == id })
}

// removeNode forgets a node that is no longer listed. What is open there continues.
func (g *Core) removeNode(id string) {
	g.stopSending(id)
	delete(g.addresses, id)
	delete(g.nodes, id)
	g.pool.RemoveNode(id)
}
