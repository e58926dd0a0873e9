package gateway

import (
	"maps"
	"slices"

	"poppymill/router"
)

// Leave has a gateway send nothing new to some nodes, as pull or source, whatever its list says of them: machines that the gateways take
// out for work. It takes the place of the Leave before it. Done is called from the loop, once, when nothing is open there any more.
type Leave struct {
	Nodes  []string
	Number int
	At     float64
	Done   func(number int)
}

// leaving is what a gateway was told to leave.
type leaving struct {
	nodes map[string]bool
	e     Leave
	over  bool
}

// entry is how a node counts: of what the list says and what the gateways agreed on the stricter holds.
func (l *leaving) entry(e router.Entry) router.Entry {
	if l != nil && l.nodes[e.Node] && e.State == router.Running {
		e.State = router.Draining
	}
	return e
}

func (g *Core) leaveNodes(e Leave) {
	before := g.left
	g.left = &leaving{nodes: map[string]bool{}, e: e}
	for _, n := range e.Nodes {
		g.left.nodes[n] = true
	}
	list := router.Listed{Scope: router.Changes}
	for _, n := range slices.Sorted(maps.Keys(g.nodes)) {
		real := g.nodes[n]
		if now := g.left.entry(real); now != before.entry(real) {
			list.Entries = append(list.Entries, now)
			if g.pool.List(n, g.addresses[n], real.Booted); now.State == router.Draining {
				g.shun(n)
			}
		}
	}
	if len(list.Entries) > 0 {
		g.event(list)
		g.settle()
	}
	g.left.look(g)
}

// look tells once nothing is open at what was left.
func (l *leaving) look(g *Core) {
	if l == nil || l.over {
		return
	}
	for n := range l.nodes {
		if g.pool.Open(n) > 0 {
			return
		}
	}
	for _, d := range g.downloads {
		for _, p := range d.pulls {
			if p.wire != nil && l.nodes[p.source] {
				return
			}
		}
	}
	l.over = true
	l.e.Done(l.e.Number)
}

// Listed has somebody told of the nodes that are there, whenever the list changes.
func (g *Core) Listed(told func(there map[string]bool)) {
	g.listed = told
	g.tellListed()
}

func (g *Core) tellListed() {
	if g.listed == nil {
		return
	}
	there := map[string]bool{}
	for name, e := range g.nodes {
		there[name] = e.State == router.Running
	}
	g.listed(there)
}

// corePeer is how the agreement's loop reaches the core.
type corePeer struct {
	p     *poster
	known *known
}

// Leave hands it over, and again a little later where the core's inbox is full.
func (c corePeer) Leave(nodes []string, number int, done func(int)) {
	c.p.post(Leave{Nodes: nodes, Number: number, At: c.p.now(), Done: done})
}
