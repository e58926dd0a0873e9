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

// voids are the bounds that this gateway's core goes by, and how long it may go by them alone.
type voids struct {
	shelf *purges.Shelf
	club  string
	delay float64 // ms after which what is not known of binds; 0: nothing does, as the gateways agree on no purges
	skew  float64
	now   func() float64 // the clock itself, as an event's own time is that of before this process was frozen
	known func() float64 // until when, by that clock, all is known that was agreed
	blind int            // pulls and answers for which it was not
}

// known is until when, by the core's clock, all is known that was agreed. The agreement's loop writes it, the core reads it.
type known struct{ bits atomic.Uint64 }

func (k *known) set(at float64) { k.bits.Store(math.Float64bits(at)) }
func (k *known) at() float64    { return math.Float64frombits(k.bits.Load()) }

// inTime is the part of the delay after which a gateway that can't hear takes older copies for purged: the rest is for an answer's way.
const inTime = 0.75

// Purges has the core go by purges that the gateways agree on. With a delay it takes copies that are older than it for purged while it does
// not know what was agreed since.
func (g *Core) Purges(club string, l purges.Limits, on bool, known, now func() float64) {
	g.void = &voids{shelf: purges.NewShelf(l.Held), club: club, skew: l.Skew, now: now, known: known}
	if on {
		g.void.delay = l.Delay
	}
	g.pool.Oldest = func(q *caches.Pull) float64 {
		p, _ := q.Owner.(*pull)
		if p == nil {
			return 0
		}
		return g.void.oldest(p.dl, p.n)
	}
}

// oldest is from which birth on a copy does for a download, by its how-manieth pull: where a purge only makes copies stale, all but the first
// take what there is.
func (v *voids) oldest(d *download, pull int) float64 {
	hard, soft := v.shelf.Bound(v.club, d.object, d.group)
	if now := v.now(); v.delay > 0 && now-v.known() > inTime*v.delay {
		// A purge that was accepted since it last knew, and binds by now, was accepted that long ago: what was born after that is not of it.
		hard = max(hard, now-inTime*v.delay+v.skew)
		v.blind++
	}
	if pull == 0 {
		return max(hard, soft)
	}
	return hard
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
	return v.blind
}

// fewMarks is up to how many marks at a time the router is told of as well, which forgets what it believes parents to hold. It looks through all
// that it remembers for each; past that the bounds alone have to do, and downloads don't wait for it.
const fewMarks = 64

func (g *Core) voided(e Void) {
	named := map[string]bool{}
	groups := map[int64]bool{}
	for _, m := range e.Marks {
		if g.void.shelf.Put(m); m.Club != "" && m.Club != g.void.club || m.Stale || len(e.Marks) > fewMarks {
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
