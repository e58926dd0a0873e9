package gateway

import (
	"maps"
	"slices"

	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/router"
)

func (g *Core) news(n channel.News) {
	if n.Purge {
		n.Purged.Age = max(0, g.now-n.PurgeTime)
		g.emit(n.Purged)
		g.withdraw(func(p *pull) bool {
			return n.Purged.Object == p.download.object || n.Purged.Object == "" && n.Purged.Group == p.download.group
		})
		return
	}
	list := router.Listed{Scope: n.Scope}
	named := map[string]bool{}
	for _, node := range n.Nodes {
		g.nodes[node.Node] = node.Entry
		list.Entries = append(list.Entries, g.drained.effective(node.Entry))
		named[node.Node] = true
		if node.State == router.Gone {
			g.gone(node.Node)
			continue
		}
		if g.addresses[node.Node] = node.Address; g.nodeListed != nil && node.State == router.Running {
			g.nodeListed(node.Entry)
		}
		g.pool.List(node.Node, node.Address, node.Booted)
		if g.drained.effective(node.Entry).State == router.Draining {
			g.shun(node.Node) // after it is listed, which would have it asked whether it is there
		}
	}
	if n.Scope != router.Changes {
		for _, id := range slices.Sorted(maps.Keys(g.addresses)) {
			if !named[id] {
				g.gone(id)
			}
		}
	}
	g.emit(list)
	g.notifyNodesChanged()
}

// withdraw takes back pulls that are not yet written; the router hears of it after the news that it is for.
func (g *Core) withdraw(named func(*pull) bool) {
	g.pool.Withdraw(func(q *caches.Pull) bool {
		p, ok := q.Owner.(*pull)
		return ok && named(p)
	}, g.now)
}

func (g *Core) shun(id string) {
	g.pool.Shun(id)
	g.withdraw(func(p *pull) bool { return p.node == id || p.source == id })
}

func (g *Core) gone(id string) {
	g.shun(id)
	delete(g.addresses, id)
	delete(g.nodes, id)
	g.pool.Gone(id)
}
