package gateway

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/clients"
	"poppymill/internal/codec"
	"poppymill/internal/gatewayconfig"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/owner/effectlog"
	"poppymill/router"
)

// Prefetch asks the core to prefetch into an edge cache the most requested objects for which that cache is the first
// choice. Prefetches go through the router like any other download, but clients' downloads have priority. Done is
// called once, from the core's goroutine, with the number of objects filled and of those that were not.
type Prefetch struct {
	Node  string
	Limit int // number of objects
	At    float64
	Done  func(filled, refused int)
}

// maxPrefetches limits the concurrent downloads of one prefetch.
const maxPrefetches = 4

// prefetcher is the client of the downloads of one prefetch.
type prefetcher struct {
	core            *Core
	node            string
	pending         []router.HotObject
	open            int
	lastID          uint16
	filled, refused int
	done            func(filled, refused int)
}

// prefetch starts the downloads of a prefetch.
func (g *Core) prefetch(e Prefetch) {
	p := &prefetcher{core: g, node: e.Node, pending: g.router.HotObjects(e.Node, e.Limit), done: e.Done}
	p.next()
}

// next starts as many downloads as the limits allow, and calls done once all have ended.
func (p *prefetcher) next() {
	core := p.core
	for len(p.pending) > 0 && p.open < maxPrefetches && core.open < core.maxOpen/2 && !core.shuttingDown &&
		p.refused <= p.filled+maxPrefetches {
		wanted := p.pending[0]
		p.pending = p.pending[1:]
		p.lastID++
		d := &download{typ: wanted.Type, object: wanted.Object, part: wanted.Part, group: wanted.Group, client: p, requestID: p.lastID,
			cacheable: true, prefetchNode: p.node}
		core.prefetches++
		d.id = fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint("ahead ", core.config.Name, " ", core.config.Seed, " ",
			core.prefetches, " ", int64(core.now))))
		for _, t := range core.config.Types {
			if t.Name == wanted.Type {
				d.maxAge, d.expiry = t.MaxAge, core.now+t.MaxExpiry
			}
		}
		if d.expiry == 0 || core.downloads[d.id] != nil {
			continue
		}
		p.open++
		core.track(d)
		core.emitArrived(d)
	}
	if p.open == 0 && p.done != nil {
		done := p.done
		p.done = nil
		done(p.filled, p.refused)
	}
}

// Gone reports that a prefetch is never given up.
func (p *prefetcher) Gone() bool { return false }

// Answer counts an ended download. It must not start the next one itself, as the router is still handling an event;
// a timer does.
func (p *prefetcher) Answer(_ uint16, a clients.Answer) {
	p.open--
	if a.Body.Release(); a.Status == 200 {
		p.filled++
	} else {
		p.refused++
	}
	p.core.timers.push(timer{at: p.core.now, prefetcher: p})
}

// warmHandler executes warming steps by a prefetch at the core. A step counts as not run if the node had no room for
// any object.
func warmHandler(p *poster) ownerdriver.Handler {
	return ownerdriver.Handler{Type: owner.Safe, Check: func(j owner.Job) error {
		var w owner.WarmData
		if err := codec.Decode(j.Data, &w); err != nil || w.Node == "" || w.Each < 1 {
			return errors.New("data: names no node to be filled")
		}
		return nil
	}, Do: func(e effectlog.Effect, done func(owner.Outcome)) {
		var w owner.WarmData
		if codec.Decode(e.Data, &w) != nil {
			done(owner.Uncertain)
			return
		}
		select {
		case p.inbox <- Prefetch{Node: w.Node, Limit: w.Each, At: p.now(), Done: func(filled, refused int) { done(WarmResult(filled, refused)) }}:
		default:
			done(owner.NotRun)
		}
	}}
}

// WarmResult returns how a warming step ended, from the number of objects filled and of those that found no room.
func WarmResult(filled, refused int) owner.Outcome {
	if filled == 0 && refused > 0 {
		return owner.NotRun
	}
	return owner.Ran
}

// ColdRemaining returns for how long an edge cache is still cold, in ms; 0 for other nodes.
func ColdRemaining(c *gatewayconfig.Config, n router.Entry, now float64) float64 {
	kinds, _ := c.RouterSettings["kinds"].([]any)
	for _, name := range []string{"parent kind", "origin kind"} {
		if i, ok := c.RouterSettings[name].(float64); ok && slices.Index(kinds, any(n.Kind)) == int(i) {
			return 0
		}
	}
	cold, _ := c.RouterSettings["cold time"].(float64)
	if n.StartedAt <= 0 {
		return 0
	}
	return n.StartedAt + cold - now
}

// OnNodeListed registers a function that is called for each running node in a node list.
func (g *Core) OnNodeListed(notify func(router.Entry)) { g.nodeListed = notify }
