package gateway

import (
	"fmt"
	"strings"

	"poppymill/internal/clients"
	"poppymill/internal/links"
	"poppymill/internal/links/drive"
	"poppymill/router"
)

// What the drivers of signed links post.
type (
	// Rekeyed is a ring of keys that holds from now on, with the block that goes with it.
	Rekeyed struct {
		Ring  *links.Ring
		Block drive.Block
	}
	// Written tells whether what a download spends is on the disk.
	Written struct {
		ID  string
		Err error
		At  float64
	}
)

// Spends is where what is spent is written down; it never waits.
type Spends interface {
	Write(s links.Spend, done func(error))
	Back(s links.Spend)
}

// desk is what a core has to do with signed links; nil where they are off.
type desk struct {
	door  *links.Door
	block drive.Block
	store Spends // nil: none
	post  func(any)
	now   func() float64
}

// Guard has a core admit downloads by signed links alone. Post brings an event to the core from any goroutine.
func (g *Core) Guard(door *links.Door, block drive.Block, store Spends, post func(any), now func() float64) {
	g.links = &desk{door: door, block: block, store: store, post: post, now: now}
}

// Wall tells what the wall clock says, in Unix ms.
func (g *Core) Wall(now, wall float64) {
	if g.links != nil {
		g.links.door.Wall(now, wall)
	}
}

// linked is what a download's link brings.
type linked struct {
	spend     *links.Spend  // what it spends, where that is to be written down first
	held      *timer        // until that is so
	successor *clients.Link // goes with whatever answer it gets
	client    string        // whom it was issued to
}

// heldMost is how long, in ms, a download waits at most for what it spends to be on the disk.
const heldMost = 500.0

// admit asks whether a download's link is good. A refused one is answered at once, and nothing of why is told.
func (g *Core) admit(e Asked, d *download) bool {
	k := g.links
	v := k.door.Admit(links.Ask{At: e.At, Source: e.Params["REMOTE_ADDR"], Token: k.block.Token(e.Params), ID: d.id, Type: d.typ,
		Object: d.object, Part: d.part, Write: d.atMostOnce})
	if v.Reason == links.Admitted {
		d.link = &linked{spend: v.Spend, client: v.Client}
		if v.Token != "" {
			d.link.successor = &clients.Link{Token: v.Token, Path: v.Path}
			if k.block.From != "header" {
				d.link.successor.Cookie = k.block.Name
			}
		}
		return true
	}
	g.Forbidden++
	g.warnings.Warn(e.At, "a link is refused", fmt.Errorf("%s (%s)", v.Reason, v.Claim))
	e.Body.Release()
	a := clients.Answer{Status: 403}
	switch v.Reason {
	case links.Busy, links.NoMemory, links.NotThisOne: // it never went out, and later or elsewhere it may
		a = clients.Answer{Status: 503, Wait: g.config.Advice}
	}
	e.Client.Answer(e.ID, a)
	return false
}

// hold has a download wait until what it spends is on the disk: a crash must not make it good again.
func (g *Core) hold(d *download) {
	k, id := g.links, d.id
	d.link.held = g.timers.push(timer{at: min(d.expiry, g.now+heldMost), download: d, token: spendWriteToken})
	k.store.Write(*d.link.spend, func(err error) { k.post(Written{ID: id, Err: err, At: k.now()}) })
}

// written lets a download go on, or turns it away: it never went out.
func (g *Core) written(e Written) {
	d := g.downloads[e.ID]
	if d == nil || d.answered || d.link.held == nil {
		return
	}
	if e.Err != nil {
		g.warnings.Warn(e.At, "what a link spends can't be written down", e.Err)
		g.unwritten(d)
		return
	}
	g.timers.remove(d.link.held)
	d.link.held = nil
	g.arrived(d)
}

func (g *Core) unwritten(d *download) {
	g.timers.remove(d.link.held)
	d.link.held = nil
	g.Throttled++
	g.answer(d, clients.Answer{Status: 503, Wait: g.config.Advice})
}

// unspend tells the door that a download is over; what never ran may be asked for again.
func (g *Core) unspend(d *download, harmless bool) {
	k := g.links
	if k == nil {
		return
	}
	if back, ok := k.door.Ended(d.id, harmless); ok && k.store != nil {
		k.store.Back(back)
	}
}

func (g *Core) arrived(d *download) {
	g.emit(router.Arrived{ID: d.id, Type: d.typ, Object: d.object, Expiry: d.expiry, Group: d.group, Part: d.part, Only: d.prefetchNode})
}

// Refusals tells why links were refused, by how often.
func (g *Core) Refusals() string {
	if g.links == nil {
		return ""
	}
	var all []string
	for r, n := range g.links.door.Reasons {
		if n > 0 {
			all = append(all, fmt.Sprintf("%s %d", links.Reason(r), n))
		}
	}
	c := g.links.door.Counters
	return strings.Join(append(all, fmt.Sprintf("signatures %d", c.Checked), fmt.Sprintf("remembered %d", c.Remembered),
		fmt.Sprintf("successors %d", c.Lived)), ", ")
}

// forBox adds a link of this gateway's own to what a pull says, where boxes ask for one.
func (k *desk) forBox(text string, d *download, p *pull, now float64) string {
	token := k.door.ForBox(links.Sent{At: now, ID: d.id, Pull: p.index, Node: p.node, Source: p.source, Type: d.typ, Object: d.object,
		Part: d.part, Write: d.atMostOnce})
	if token == "" {
		return text
	}
	return text + ",link=" + token
}
