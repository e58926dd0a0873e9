package gateway

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/canon"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	"poppymill/internal/owner/place"
	"poppymill/router"
)

// Ahead has an edge cache filled with what is asked for most of what it is the first for, by pulls of this gateway's own: through
// the router's door, like any other download but that what is asked for goes first. Done is called once, from the loop.
type Ahead struct {
	Node string
	Most int // objects
	At   float64
	Done func(filled, refused int)
}

// aheadMost is how many of them are under way at a time.
const aheadMost = 4

// filler is the client of what nobody asked for.
type filler struct {
	g               *Core
	node            string
	todo            []router.Wanted
	open            int
	n               uint16
	filled, refused int
	done            func(filled, refused int)
}

func (g *Core) ahead(e Ahead) {
	f := &filler{g: g, node: e.Node, todo: g.router.Hot(e.Node, e.Most), done: e.Done}
	f.next()
}

// next sends what has room, until nothing is left.
func (f *filler) next() {
	g := f.g
	for len(f.todo) > 0 && f.open < aheadMost && g.open < g.most/2 && !g.ending && f.refused <= f.filled+aheadMost {
		w := f.todo[0]
		f.todo = f.todo[1:]
		f.n++
		d := &download{typ: w.Type, object: w.Object, part: w.Part, group: w.Group, client: f, number: f.n, copies: true, only: f.node}
		g.aheads++
		d.id = fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint("ahead ", g.config.Name, " ", g.config.Seed, " ", g.aheads, " ", int64(g.now))))
		for _, t := range g.config.Types {
			if t.Name == w.Type {
				d.fresh, d.expiry = t.Fresh, g.now+t.Expiry
			}
		}
		if d.expiry == 0 || g.downloads[d.id] != nil {
			continue
		}
		f.open++
		g.begin(d)
		g.arrived(d)
	}
	if f.open == 0 && f.done != nil {
		done := f.done
		f.done = nil
		done(f.filled, f.refused)
	}
}

// Answer is told of one that is over. It must not go on from here: the router is under way.
func (f *filler) Answer(_ uint16, a clients.Answer) {
	f.open--
	if a.Body.Release(); a.Status == 200 {
		f.filled++
	} else {
		f.refused++
	}
	f.g.timers.push(timer{at: f.g.now, filler: f})
}

// warmHand carries out steps that fill a node ahead, at the core. A step did not run where the node had no room for any of it.
func warmHand(p *poster) owned.Hand {
	return owned.Hand{Type: owner.Safe, Check: func(j owner.Job) error {
		var w owner.Warming
		if err := canon.Decode(j.Data, &w); err != nil || w.Node == "" || w.Each < 1 {
			return errors.New("data: names no node to be filled")
		}
		return nil
	}, Do: func(e place.Effect, done func(owner.End)) {
		var w owner.Warming
		if canon.Decode(e.Data, &w) != nil {
			done(owner.Perhaps)
			return
		}
		select {
		case p.inbox <- Ahead{Node: w.Node, Most: w.Each, At: p.now(), Done: func(filled, refused int) { done(WarmEnd(filled, refused)) }}:
		default:
			done(owner.NeverRan)
		}
	}}
}

// WarmEnd tells how a step ended by what was filled and what found no room.
func WarmEnd(filled, refused int) owner.End {
	if filled == 0 && refused > 0 {
		return owner.NeverRan
	}
	return owner.Ran
}

// ColdFor is for how long an edge cache is still cold, in ms; nothing for other nodes.
func ColdFor(c *footprint.Config, n router.Entry, now float64) float64 {
	kinds, _ := c.Footprint["kinds"].([]any)
	for _, name := range []string{"parent kind", "origin kind"} {
		if i, ok := c.Footprint[name].(float64); ok && slices.Index(kinds, any(n.Kind)) == int(i) {
			return 0
		}
	}
	cold, _ := c.Footprint["cold time"].(float64)
	if n.Booted <= 0 {
		return 0
	}
	return n.Booted + cold - now
}

// Boots has somebody told of nodes as they are listed.
func (g *Core) Boots(told func(router.Entry)) { g.boots = told }
