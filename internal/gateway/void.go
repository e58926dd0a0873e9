package gateway

import (
	"math"
	"sync/atomic"

	"poppymill/internal/caches"
	"poppymill/internal/purges"
	"poppymill/router"
)

// Void has a gateway go by bounds on births: copies that are older answer nothing any more, whatever a cache holds. Done is called from the
// loop, once it does.
type Void struct {
	Marks []purges.Mark
	Index uint64
	At    float64
	Done  func(index uint64)
}

// voids are what this gateway's core goes by (purges.View), and its clocks.
type voids struct {
	view  purges.View
	now   func() float64 // the clock itself, as an event's own time is that of before this process was frozen
	known func() float64 // until when, by that clock, all is known that was agreed
}

// known is until when, by the core's clock, all is known that was agreed. The agreement's loop writes it, the core reads it.
type known struct{ bits atomic.Uint64 }

func (k *known) set(at float64) { k.bits.Store(math.Float64bits(at)) }
func (k *known) at() float64    { return math.Float64frombits(k.bits.Load()) }

// Purges has the core go by purges that the gateways agree on. With a delay it takes copies that are older than it for purged while it does
// not know what was agreed since.
func (g *Core) Purges(club string, l purges.Limits, on bool, known, now func() float64) {
	g.void = &voids{view: purges.View{Shelf: purges.NewShelf(l.Held), Club: club, Skew: l.Skew}, now: now, known: known}
	if on {
		g.void.view.Delay = l.Delay
	}
	g.pool.Oldest = func(q *caches.Pull) float64 {
		p, _ := q.Owner.(*pull)
		if p == nil {
			return 0
		}
		return g.void.oldest(p.dl, p.n)
	}
}

// oldest is from which birth on a copy does for a download, by its how-manieth pull.
func (v *voids) oldest(d *download, pull int) float64 {
	return v.view.Oldest(v.now(), v.known(), d.object, d.group, pull == 0)
}

// bound makes a pull ask for no older copy than does.
func (v *voids) bound(a *router.Pull, d *download, n int, now float64) {
	if v == nil || !d.copies {
		return
	}
	if oldest := v.oldest(d, n); oldest > 0 {
		if age := max(1, now-oldest); a.MaxAge == 0 || age < a.MaxAge {
			a.MaxAge = age
		}
	}
}

// blinds counts for people how often this gateway did not know all that was agreed.
func (v *voids) blinds() int {
	if v == nil {
		return 0
	}
	return v.view.Blinds
}

// fewMarks is up to how many marks at a time the router is told of as well, which forgets what it believes parents to hold. It looks through all
// that it remembers for each; past that the bounds alone have to do, and downloads don't wait for it.
const fewMarks = 64

func (g *Core) voided(e Void) {
	named := map[string]bool{}
	groups := map[int64]bool{}
	for _, m := range e.Marks {
		if g.void.view.Shelf.Put(m); m.Club != "" && m.Club != g.void.view.Club || m.Stale || len(e.Marks) > fewMarks {
			continue
		}
		switch age := max(0, g.now-m.At); {
		case m.Grouped:
			groups[m.Group] = true
			g.event(router.Purged{Group: m.Group, Age: age})
		case m.Object != "":
			named[m.Object] = true
			g.event(router.Purged{Object: m.Object, Age: age})
		}
	}
	if len(named)+len(groups) > 0 { // what is not written yet asks for more than does now
		g.withdraw(func(p *pull) bool { return named[p.dl.object] || groups[p.dl.group] })
	}
	e.Done(e.Index)
}

// Void hands marks to the core.
func (c corePeer) Void(marks []purges.Mark, index uint64, done func(uint64)) {
	c.p.post(Void{Marks: marks, Index: index, At: c.p.now(), Done: done})
}

// Known tells the core until when all is known.
func (c corePeer) Known(ago float64) {
	if at := c.p.now() - ago; ago >= 0 {
		c.known.set(at)
	} else {
		c.known.set(math.Inf(-1))
	}
}
