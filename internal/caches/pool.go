package caches

import (
	"errors"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/router"
)

var errNoBuffer = errors.New("no buffer left to read into")

// Pull is one pull on its way, from Pool.Pull until its one End.
type Pull struct {
	ID, Node string
	Fields   string
	Body     *buffer.Chain // the pool takes its own hold
	Keeps    bool          // the client has a copy that may be the one
	Owner    any
	link     *link
	item     *Item
	sent     float64
	done     bool
}

// End is how a pull or a probe ended.
type End struct {
	Pull   *Pull
	Probe  string // the node, where it was a probe
	Status router.Status
	Note   router.Note
	Load   map[string]float64
	Keep   bool // the client's own copy is the one
	Body   *buffer.Chain
	At     float64
}

// Limits of a pool, as the settings and the machine give them.
type Limits struct {
	Streams int     // on a connection
	Idle    float64 // ms after which a connection is closed
	Conns   int     // in all
	Reports bool    // probes ask for the load too
	Names   func(string) string
}

// Pool holds the connections to all nodes.
type Pool struct {
	limits Limits
	dial   func(address string) Wire
	nodes  map[string]*node
	links  map[Wire]*link
	tags   int
	ends   []End
	probes map[string]*Pull // by tag
	closed bool

	Dialled, Malformed, Short, Late int // counters; Short of descriptors or buffers
}

type node struct {
	id, address string
	booted      float64
	links       []*link
}

// link is one connection with what is open on it.
type link struct {
	node    *node
	wire    Wire
	up      bool
	retired bool // takes no more pulls, and closes with the last on it
	open    map[string]*Pull
	dropped map[string]bool // a late answer may still come under these ids
	used    float64
	heard   float64
}

// NewPool makes a pool that opens its connections by dial.
func NewPool(l Limits, dial func(address string) Wire) *Pool {
	return &Pool{limits: l, dial: dial, nodes: map[string]*node{}, links: map[Wire]*link{}, probes: map[string]*Pull{}}
}

// List tells the address of a node and when its process started: what comes anew gets new connections.
func (p *Pool) List(id, address string, booted float64) {
	n := p.nodes[id]
	if n == nil {
		n = &node{id: id}
		p.nodes[id] = n
	}
	if n.address != address || n.booted != booted {
		p.retire(n)
	}
	n.address, n.booted = address, booted
}

// Gone tells that a node is no more. What is open to it goes on.
func (p *Pool) Gone(id string) {
	if n := p.nodes[id]; n != nil {
		p.retire(n)
	}
}

func (p *Pool) retire(n *node) {
	for _, l := range n.links {
		l.retired = true
		p.tidy(l)
	}
}

// tidy closes a connection that is of no more use.
func (p *Pool) tidy(l *link) {
	if l.retired && len(l.open) == 0 {
		l.wire.Close()
	}
}

// Pull sends a pull. Its end comes by Ends, at once where it can't be sent.
func (p *Pool) Pull(q *Pull, now float64) {
	p.send(q, command(make([]byte, 0, 256), []string{"GET", q.ID, q.Fields}, q.Body.Len()), now)
}

// send goes on to another connection where one has ended and its end is not told yet, or is stuck: nothing ran.
func (p *Pool) send(q *Pull, head []byte, now float64) {
	l := p.link(q, now)
	if l == nil {
		p.end(q, End{Status: router.NotConnected, At: now})
		return
	}
	q.link, l.open[q.ID], l.used, q.sent = l, q, now, now
	q.item = &Item{head: head}
	if q.Body.Len() > 0 {
		q.item.body = q.Body.Hold()
	}
	if !l.wire.Send(q.item) {
		l.retired = true
		delete(l.open, q.ID)
		p.tidy(l)
		p.send(q, head, now)
	}
}

// link finds a connection with room, or opens one. One on which an answer to an earlier pull of the same
// download may still come is passed over: nobody could tell the two apart.
func (p *Pool) link(q *Pull, now float64) *link {
	n := p.nodes[q.Node]
	if n == nil {
		return nil
	}
	for _, l := range slices.Clone(n.links) {
		p.rest(l, now)
		if !l.retired && len(l.open) < p.limits.Streams && l.open[q.ID] == nil && !l.dropped[q.ID] {
			return l
		}
	}
	if p.closed || len(p.links) >= p.limits.Conns && !p.evict() {
		p.Short++
		return nil
	}
	l := &link{node: n, wire: p.dial(n.address), open: map[string]*Pull{}, dropped: map[string]bool{}, used: now,
		heard: math.Inf(-1)}
	n.links = append(n.links, l)
	p.links[l.wire] = l
	p.Dialled++
	return l
}

// evict closes a connection on which nothing is open, the one not used for longest.
func (p *Pool) evict() bool {
	var oldest *link
	for _, n := range p.nodes {
		for _, l := range n.links {
			if len(l.open) == 0 && (oldest == nil || l.used < oldest.used) {
				oldest = l
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.forget(oldest)
	oldest.wire.Close()
	return true
}

func (p *Pool) forget(l *link) {
	delete(p.links, l.wire)
	for i, o := range l.node.links {
		if o == l {
			l.node.links = append(l.node.links[:i], l.node.links[i+1:]...)
			break
		}
	}
}

// mostDropped bounds what a connection remembers of pulls given up; then it is replaced.
const mostDropped = 256

// Drop gives a pull up; its end comes by Ends with the status given, or as never sent where that is proven.
func (p *Pool) Drop(q *Pull, status router.Status, now float64) {
	if q.done {
		return
	}
	l := q.link
	if l.wire.Remove(q.item) {
		if status = router.NeverSent; !l.up {
			status = router.NotConnected
		}
	} else if l.wire.Stuck() && q.item.state.Load() == taken {
		// It may come whole to the node long after its download's answer, or after word of a drain or a purge: the
		// connection ends, and what else it had not written proves never to have run.
		l.retired = true
		l.wire.Close()
	} else {
		l.dropped[q.ID] = true
		// What says nothing for as long as a pull may take, may be a machine that is no more: whether it still
		// is there, a new connection finds out sooner than the next pull's time-out.
		if status == router.TimedOut && l.heard < q.sent || len(l.dropped) >= mostDropped {
			l.retired = true
		}
		drop := &Item{head: command(nil, []string{"DROP", q.ID}, -1)}
		if p.probes[q.ID] == nil && !l.wire.Send(drop) {
			l.retired = true
		}
	}
	p.end(q, End{Status: status, At: now})
	p.tidy(l)
}

// Withdraw takes back what still waits to be written, as on a connection that is slow to come up, of the pulls
// named: word of a drain or a purge binds it too. It never ran, and may go out anew at once.
func (p *Pool) Withdraw(named func(*Pull) bool, now float64) {
	for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
		for _, l := range slices.Clone(p.nodes[name].links) {
			for _, tag := range slices.Sorted(maps.Keys(l.open)) {
				if q := l.open[tag]; named(q) && l.wire.Remove(q.item) {
					p.end(q, End{Status: router.NeverSent, At: now})
				}
			}
			p.tidy(l)
		}
	}
}

// Probe asks how a node is; its end comes by Ends.
func (p *Pool) Probe(id string, now float64) *Pull {
	word := "PING"
	if p.limits.Reports {
		word = "LOAD"
	}
	p.tags++
	q := &Pull{ID: "p" + strconv.Itoa(p.tags), Node: id}
	p.probes[q.ID] = q
	p.send(q, command(nil, []string{word, q.ID}, -1), now)
	return q
}

func (p *Pool) end(q *Pull, e End) {
	assert.That(!q.done, "a pull ends once")
	if q.done {
		e.Body.Release()
		return
	}
	q.done = true
	if q.link != nil {
		delete(q.link.open, q.ID)
	}
	if e.Pull = q; p.probes[q.ID] == q {
		e.Probe = q.Node
		delete(p.probes, q.ID)
	}
	p.ends = append(p.ends, e)
}

// Ends takes what has ended since it was last called.
func (p *Pool) Ends() []End {
	e := p.ends
	p.ends = nil
	return e
}

var words = map[string]router.Status{
	"DONE": router.Fulfilled, "KEEP": router.Fulfilled, "LACK": router.Missed, "WAIT": router.TurnedAway,
	"BROKE": router.Failed, "PAST": router.NeverSent, "FIT": router.Fulfilled, "UNFIT": router.Failed,
}

var notes = map[string]router.Note{
	"warm": router.Held, "fill": router.FilledBySource, "piggy": router.JoinedFill, "aged": router.HeldOld,
}

// Handle takes what a wire tells.
func (p *Pool) Handle(e Event) {
	switch e := e.(type) {
	case Up:
		if l := p.links[e.Wire]; l != nil {
			l.up = true
		}
	case Answered:
		p.answered(e)
	case Down:
		if e.Bad != nil {
			p.Malformed++
		}
		l := p.links[e.Wire]
		if l == nil {
			return
		}
		p.forget(l)
		for _, id := range slices.Sorted(maps.Keys(l.open)) {
			q := l.open[id]
			status := router.NotConnected
			if q.item.state.Load() != queued {
				status = router.Broken
			}
			p.end(q, End{Status: status, At: e.At})
		}
	}
}

func (p *Pool) answered(e Answered) {
	l, r := p.links[e.Wire], e.Reply
	if l == nil {
		r.Body.Release()
		return
	}
	l.heard = e.At
	q := l.open[r.Tag]
	if q == nil {
		p.Late++
		delete(l.dropped, r.Tag)
		r.Body.Release()
		return
	}
	status, known := words[r.Word]
	_, probe := p.probes[r.Tag]
	switch {
	case !known || probe != (r.Word == "FIT" || r.Word == "UNFIT") || r.Word == "KEEP" && !q.Keeps:
		p.Malformed++
		status = router.Failed // whatever it means, it may have run
	case r.Short:
		p.Short++
		status = router.Broken
	}
	end := End{Status: status, Note: notes[field(r.Fields, "res")], Load: p.load(field(r.Fields, "gauges")),
		Keep: r.Word == "KEEP", At: e.At}
	if status == router.Fulfilled && !end.Keep {
		end.Body = r.Body
	} else {
		r.Body.Release()
	}
	p.end(q, end)
	p.tidy(l)
}

// load reads a report; what is no number is left out: reports are hearsay, and a download must not hang on one.
func (p *Pool) load(text string) map[string]float64 {
	if text == "" {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if n, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			load[p.limits.Names(name)] = n
		}
	}
	return load
}

// Tidy closes connections that have been idle.
func (p *Pool) Tidy(now float64) {
	for _, l := range p.links {
		p.rest(l, now)
	}
}

// rest closes a connection that has been idle a little before its peer would: a pull that crosses the peer's
// close is written whole and may have run, for all that can be known.
func (p *Pool) rest(l *link, now float64) {
	if len(l.open) == 0 && now-l.used > 0.9*p.limits.Idle {
		l.retired = true
		p.tidy(l)
	}
}

// Conns counts the connections there are.
func (p *Pool) Conns() int { return len(p.links) }

// Close gives all connections up, for good.
func (p *Pool) Close() {
	p.closed = true
	for w := range p.links {
		w.Close()
	}
}
