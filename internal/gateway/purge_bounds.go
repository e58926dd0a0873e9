package gateway

import (
	"math"
	"sync/atomic"

	"poppymill/internal/caches"
	"poppymill/internal/purges"
	"poppymill/router"
)

// ApplyPurges asks the core to apply what the gateways agreed on: copies created before the time of a mark are no longer
// used as answers, whatever a cache holds. Done is called from the core's goroutine once the update is in force.
type ApplyPurges struct {
	Update purges.Update
	At     float64
	Done   func(index uint64)
}

// purgeBounds holds the purges in force (purges.View) and the clocks that they are checked against.
type purgeBounds struct {
	view       purges.View
	now        func() float64 // the real clock: after a freeze of the process, the times of queued events are too old
	knownUntil func() float64 // up to when all agreed purges are known, by that clock
}

// knownUntil is the time up to which all agreed purges are known, by the core's clock. The quorum's goroutine writes
// it, the core reads it.
type knownUntil struct {
	bits    atomic.Uint64
	posted  atomic.Uint64 // updates passed to the core
	applied atomic.Uint64 // those of them that are in force
}

func (k *knownUntil) set(at float64) { k.bits.Store(math.Float64bits(at)) }
func (k *knownUntil) at() float64    { return math.Float64frombits(k.bits.Load()) }

// EnablePurges makes the core apply the purges that the gateways agree on. If enabled, copies older than the delay count as
// purged while the core does not know what has been agreed since.
func (g *Core) EnablePurges(club string, limits purges.Limits, enabled bool, knownUntil, now func() float64) {
	g.purges = &purgeBounds{view: purges.NewView(club, limits, enabled), now: now, knownUntil: knownUntil}
	g.pool.OldestAllowed = func(q *caches.Pull) float64 {
		p, _ := q.Owner.(*pull)
		if p == nil {
			return 0
		}
		return g.purges.oldestAllowed(p.download, p.index)
	}
}

// oldestAllowed returns the creation time that a copy must not precede to answer the given pull of a download.
func (b *purgeBounds) oldestAllowed(d *download, pull int) float64 {
	return b.view.MinCreated(b.now(), b.knownUntil(), d.object, d.group, pull == 0)
}

// limitAge lowers the maximum age of a pull to what the purges allow.
func (b *purgeBounds) limitAge(a *router.Pull, d *download, index int, now float64) {
	if b == nil || !d.cacheable {
		return
	}
	if oldest := b.oldestAllowed(d, index); oldest > 0 {
		if age := max(1, now-oldest); a.MaxAge == 0 || age < a.MaxAge {
			a.MaxAge = age
		}
	}
}

// checkCounts returns how often a copy was checked without knowing all agreed purges, and against an object whose batch is
// late, for the log.
func (b *purgeBounds) checkCounts() (blind, unpublished int) {
	if b == nil {
		return 0, 0
	}
	return b.view.StaleChecks, b.view.LateChecks
}

// maxRouterMarks is the largest batch of marks that is also passed to the router, which then forgets what it believes
// parents to hold. The router scans all that it remembers for each mark, which would delay downloads; for larger
// batches the bounds alone apply.
const maxRouterMarks = 64

// applyPurges puts an update in force.
func (g *Core) applyPurges(e ApplyPurges) {
	g.purges.view.Apply(e.Update)
	if len(e.Update.Marks) <= maxRouterMarks {
		g.passMarksToRouter(e.Update.Marks)
	}
	e.Done(e.Update.Index)
}

// passMarksToRouter tells the router what was purged, and takes back pulls that accept copies from before.
func (g *Core) passMarksToRouter(marks []purges.Mark) {
	named := map[string]bool{}
	groups := map[int64]bool{}
	for _, m := range marks {
		if m.Club != "" && m.Club != g.purges.view.Club || m.Stale {
			continue
		}
		switch age := max(0, g.now-m.At); {
		case m.Grouped:
			groups[m.Group] = true
			g.emit(router.Purged{Group: m.Group, Age: age})
		case m.Object != "":
			named[m.Object] = true
			g.emit(router.Purged{Object: m.Object, Age: age})
		}
	}
	if len(named)+len(groups) > 0 { // pulls not written yet accept copies that are now purged
		g.withdrawPulls(func(p *pull) bool { return named[p.download.object] || groups[p.download.group] })
	}
}

// ApplyPurges passes an update to the core.
func (c coreProxy) ApplyPurges(update purges.Update, done func(uint64)) {
	c.knownUntil.posted.Add(1)
	c.poster.post(ApplyPurges{Update: update, At: c.poster.now(), Done: func(index uint64) {
		c.knownUntil.applied.Add(1)
		done(index)
	}})
}

// SetKnown sets up to when all agreed purges are known: ago ms before now, or never if negative. While an update waits in
// the core's inbox, what was known before stays, as the core does not go by the update yet.
func (c coreProxy) SetKnown(ago float64) {
	switch k := c.knownUntil; {
	case ago < 0:
		k.set(math.Inf(-1))
	case k.applied.Load() == k.posted.Load():
		k.set(c.poster.now() - ago)
	}
}
