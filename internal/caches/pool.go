package caches

import (
	"cmp"
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
	Mine     string        // the tag of the client's copy, which may be the one
	Copies   bool          // an answer is a copy, which says how old it is
	MaxAge   float64       // ms, of a copy as the pull is sent; 0: any will do
	Before   *Pull         // the last pull of the same download; they go by one ID
	Owner    any
	link     *link
	item     *Item
	sent     float64
	idle     float64 // for how long its connection had been idle; 0: it was new, or not idle
	own      bool    // the pool's own question
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
	Checks  bool    // probes are allowed, so that a connection that has gone silent may be asked
	Answer  float64 // ms within which what is only alive answers: as long as a connection may take to come up
	Names   func(string) string
}

// Pool holds the connections to all nodes.
type Pool struct {
	limits  Limits
	dial    func(address string) Wire
	Oldest  func(*Pull) float64 // from which birth on, Unix ms, a copy does as it arrives; nil: any that was asked for
	nodes   map[string]*node
	links   map[Wire]*link
	tags    int
	ends    []End
	probes  map[string]*Pull // by tag
	reuse   reuse
	closed  bool
	watched float64
	usual   float64 // ms that an answer takes of late

	Dialled, Malformed, Short, Late, Mute, Old int // counters; Short of descriptors or buffers
}

type node struct {
	id, address string
	booted      float64
	links       []*link
	shunned     bool // nothing new may go to it
	gone        bool // it is forgotten with its last connection
}

// link is one connection with what is open on it.
type link struct {
	node    *node
	wire    Wire
	up      bool
	retired bool // takes no more pulls, and closes with the last on it
	open    map[string]*Pull
	past    map[string]bool // ids whose pulls have ended: an answer may still come, or a second copy of one
	order   []string        // of past, the oldest first
	used    float64
	heard   float64
	check   *Pull // asks whether anybody is there at all
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
	n.address, n.booted, n.shunned, n.gone = address, booted, false, false
}

// Shun tells that nothing new may go to a node, not even a question whether it is there.
func (p *Pool) Shun(id string) {
	if n := p.nodes[id]; n != nil {
		n.shunned = true
	}
}

// Gone tells that a node is no more. What is open to it goes on.
func (p *Pool) Gone(id string) {
	if n := p.nodes[id]; n != nil {
		n.shunned, n.gone = true, true
		p.retire(n)
		p.leave(n)
	}
}

// leave forgets a node that is gone, as lists bring new ones all day.
func (p *Pool) leave(n *node) {
	if n.gone && len(n.links) == 0 {
		delete(p.nodes, n.id)
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
		// Short of connections, which is no node's doing.
		p.end(q, End{Status: router.NeverSent, At: now})
		return
	}
	if !p.put(l, q, head, now) {
		p.send(q, head, now)
	}
}

func (p *Pool) put(l *link, q *Pull, head []byte, now float64) bool {
	if len(l.open) == 0 && !math.IsInf(l.heard, -1) {
		q.idle = now - l.idleSince()
		p.reuse.note(q.idle, now, true, false)
	}
	q.link, l.open[q.ID], l.used, q.sent = l, q, now, now
	q.item = &Item{head: head}
	if q.Body.Len() > 0 {
		q.item.body = q.Body.Hold()
	}
	if l.wire.Send(q.item) {
		return true
	}
	l.retired = true
	delete(l.open, q.ID)
	p.tidy(l)
	return false
}

// link finds the connection with the least open, or opens one while the node has few: what spoils or stops one
// connection takes along all that is open on it. One on which an answer to an earlier pull of the same download, or
// a second copy of it, may still come is passed over: nobody could tell the two apart. So is one that may be mute.
// What is up and answers goes first, busy or not: a connection may come up late, and is opened for what comes next. What
// has been quiet for longer than answers take may be silent for good, where a new connection finds out soon.
func (p *Pool) link(q *Pull, now float64) *link {
	n := p.nodes[q.Node]
	if n == nil {
		return nil
	}
	var best *link
	lively, coming := false, false // of the best; whether one is on its way up
	for _, l := range slices.Clone(n.links) {
		p.rest(l, now)
		coming = coming || !l.up && !l.retired
		if l.retired || l.check != nil || len(l.open) >= p.limits.Streams || l.open[q.ID] != nil || l.past[q.ID] || q.met(l) {
			continue
		}
		if ready := l.answers(p, now); best == nil || ready && !lively || ready == lively &&
			(len(l.open) < len(best.open) || len(l.open) == len(best.open) && l.heard > best.heard) {
			best, lively = l, ready
		}
	}
	if best != nil && (len(best.open) == 0 || len(n.links) >= p.each()) {
		return best
	}
	if lively {
		if !coming && !p.closed && len(p.links) < p.limits.Conns {
			p.connect(n, now)
		}
		return best
	}
	if p.closed || len(p.links) >= p.limits.Conns && (best != nil || !p.evict()) {
		if best == nil {
			p.Short++
		}
		return best
	}
	return p.connect(n, now)
}

// answers tells whether a connection is up and no longer quiet than answers take of late.
func (l *link) answers(p *Pool, now float64) bool {
	if !l.up || len(l.open) == 0 {
		return l.up
	}
	first := math.Inf(1)
	for _, q := range l.open {
		first = min(first, q.sent)
	}
	return now-max(first, l.heard) <= cmp.Or(p.usual, p.limits.Answer)
}

func (p *Pool) connect(n *node, now float64) *link {
	l := &link{node: n, wire: p.dial(n.address), open: map[string]*Pull{}, past: map[string]bool{}, used: now,
		heard: math.Inf(-1)}
	n.links = append(n.links, l)
	p.links[l.wire] = l
	p.Dialled++
	return l
}

// gather has what waits for connections that are not up yet go by those that are: it never was written.
func (p *Pool) gather(n *node, now float64) {
	for _, l := range slices.Clone(n.links) {
		if l.up {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(l.open)) {
			if q := l.open[id]; l.wire.Remove(q.item) {
				delete(l.open, id)
				p.send(q, q.item.head, now)
			}
		}
		p.tidy(l)
	}
}

// each is how many connections a node may have while others' pulls could share one: half of the node's part, so that
// nodes that need more find room.
func (p *Pool) each() int { return max(1, min(mostEach, p.limits.Conns/(2*max(1, len(p.nodes))))) }

const mostEach = 16

// met tells whether an earlier pull of the same download went by a connection.
func (q *Pull) met(l *link) bool {
	for b := q.Before; b != nil; b = b.Before {
		if b.link == l {
			return true
		}
	}
	return false
}

// evict closes a connection on which nothing is open, the one not used for longest.
func (p *Pool) evict() bool {
	var oldest *link
	for _, l := range p.inOrder() {
		if len(l.open) == 0 && (oldest == nil || l.used < oldest.used) {
			oldest = l
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
	p.leave(l.node)
}

// mostPast bounds what a connection remembers of pulls that have ended: some seconds of them.
const mostPast = 256

func (l *link) remember(id string) {
	if l.past[id] {
		return
	}
	if len(l.order) == mostPast {
		delete(l.past, l.order[0])
		l.order = append(l.order[:0], l.order[1:]...)
	}
	l.past[id] = true
	l.order = append(l.order, id)
}

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
		// What says nothing for as long as a pull may take, may be a machine that is no more: whether it still
		// is there, a new connection finds out sooner than the next pull's time-out.
		if status == router.TimedOut && l.heard < q.sent {
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

// Recall takes back a pull that must not go out any more, if it still waits to be written. What is being written on a connection
// that is stuck would go out once the node reads again: the connection ends, as it does in Drop.
func (p *Pool) Recall(q *Pull, now float64) {
	switch {
	case q.done:
	case q.link.wire.Remove(q.item):
		p.end(q, End{Status: router.NeverSent, At: now})
		p.tidy(q.link)
	case q.item.state.Load() == taken && q.link.wire.Stuck():
		q.link.retired = true
		q.link.wire.Close()
	}
}

// Withdraw takes back what still waits to be written, as on a connection that is slow to come up, of the pulls
// named: word of a drain or a purge binds it too. It never ran, and may go out anew at once.
func (p *Pool) Withdraw(named func(*Pull) bool, now float64) {
	for _, l := range p.inOrder() {
		for _, tag := range slices.Sorted(maps.Keys(l.open)) {
			if q := l.open[tag]; named(q) {
				p.Recall(q, now)
			}
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
	if l := q.link; l != nil {
		delete(l.open, q.ID)
		if l.remember(q.ID); l.check == q {
			l.check = nil
		}
	}
	if e.Pull = q; p.probes[q.ID] == q {
		e.Probe = q.Node
		delete(p.probes, q.ID)
	}
	if q.own {
		return
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
			p.gather(l.node, e.At)
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
		p.lost(l, e.Up, e.At)
	}
}

// lost ends all that is open on a connection that is no more, at once: what was written whole may have run, what was
// not never will; where the connection never came up, that is the node's doing.
func (p *Pool) lost(l *link, up bool, now float64) {
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		q, status := l.open[id], router.NotConnected
		if q.item.state.Load() != queued {
			status = router.Broken
			if q.idle > 0 && l.heard < q.sent && now-q.sent < p.limits.Answer {
				p.reuse.note(q.idle, now, false, true)
			}
		} else if up {
			status = router.NeverSent
		}
		p.end(q, End{Status: status, At: now})
	}
}

// fail gives up a connection of which nothing more can be believed, or that is mute.
func (p *Pool) fail(l *link, now float64) {
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		// What waits is taken back first: it must not be written while the connection closes.
		if q := l.open[id]; l.wire.Remove(q.item) {
			p.end(q, End{Status: router.NeverSent, At: now})
		}
	}
	l.wire.Close()
	p.forget(l)
	p.lost(l, true, now)
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
		p.Late++ // a second copy, or what was given up, or never asked: it harms nothing
		r.Body.Release()
		return
	}
	status, known := words[r.Word]
	_, probe := p.probes[r.Tag]
	fields, readable := parseFields(r.Fields)
	born, dated := number(fields["t0"])
	brings := status != router.Fulfilled || probe || !q.Copies || dated && tag(fields["sum"])
	keeps := r.Word != "KEEP" || q.Mine != "" && fields["sum"] == q.Mine && r.Body.Len() == 0
	if !known || !readable || probe != (r.Word == "FIT" || r.Word == "UNFIT") || !keeps || !brings {
		// Where one answer is not what it must be, none after it can be believed.
		p.Malformed++
		r.Body.Release()
		p.fail(l, e.At)
		return
	}
	switch {
	case r.Short:
		p.Short++
		status = router.Broken
	case status == router.Fulfilled && q.Copies && !probe && q.MaxAge > 0 && born < q.sent-q.MaxAge-ageSlack:
		p.Old++
		status = router.Failed
	case status == router.Fulfilled && q.Copies && !probe && p.Oldest != nil && born < p.Oldest(q):
		p.Old++
		status = router.Failed
	}
	end := End{Status: status, Note: notes[fields["res"]], Load: p.load(fields["gauges"]),
		Keep: r.Word == "KEEP", At: e.At}
	if status == router.Fulfilled && !end.Keep {
		end.Body = r.Body
	} else {
		r.Body.Release()
	}
	if !probe {
		p.usual += (e.At - q.sent - p.usual) / 32
	}
	p.end(q, end)
	p.tidy(l)
}

// ageSlack is what the clocks of two machines, and rounding, may make a copy look older than it is.
const ageSlack = 50.0

// seldom is how many times as long as an answer takes of late a connection may be silent before it is asked: where large
// objects take longer than a connection does to come up, each of them would else bring a question, which the fleet pays for.
const seldom = 3.0

// Watch finds connections that have stopped amid an answer or gone silent, as a whole, and so before the pulls on
// them time out one by one. What is merely slow answers the question whether it is there.
func (p *Pool) Watch(now float64) {
	late := now-p.watched > p.limits.Answer/2 // the gateway itself was held up, and may not have read yet
	if p.watched = now; late {
		return
	}
	for _, l := range p.inOrder() {
		if len(l.open) == 0 || !l.up || l.node.shunned {
			continue
		}
		first := math.Inf(1)
		for _, q := range l.open {
			if q.item.state.Load() == written {
				first = min(first, q.sent)
			}
		}
		at, amid := l.wire.Heard()
		quiet := now - max(first, at)
		switch {
		case amid && now-at > p.limits.Answer, l.check != nil && now-max(l.check.sent, at) > p.limits.Answer:
			p.Mute++
			p.fail(l, now)
		case l.check != nil && at > l.check.sent:
			p.end(l.check, End{Status: router.CalledOff, At: now}) // what it says answers the question
			p.tidy(l)
		case l.check == nil && p.limits.Checks && quiet > max(p.limits.Answer, seldom*p.usual):
			l.check = p.ask(l, now)
		}
	}
}

func (p *Pool) inOrder() (all []*link) {
	for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
		all = append(all, p.nodes[name].links...)
	}
	return all
}

// ask puts a question on one connection; who asks is the pool itself, so its end is nobody's.
func (p *Pool) ask(l *link, now float64) *Pull {
	p.tags++
	q := &Pull{ID: "p" + strconv.Itoa(p.tags), Node: l.node.id, own: true}
	p.probes[q.ID] = q
	if !p.put(l, q, command(nil, []string{"PING", q.ID}, -1), now) {
		delete(p.probes, q.ID)
		return nil
	}
	return q
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
	for _, l := range p.inOrder() {
		p.rest(l, now)
	}
}

// rest closes a connection that has been idle a little before its peer would: a pull that crosses the peer's
// close is written whole and may have run, for all that can be known. So it is where something on the way lets go of
// idle connections sooner.
func (p *Pool) rest(l *link, now float64) {
	if idle := now - l.idleSince(); len(l.open) == 0 && (idle > 0.9*p.limits.Idle || idle > p.reuse.until(now)) {
		l.retired = true
		p.tidy(l)
	}
}

func (l *link) idleSince() float64 { return max(l.used, l.heard) }

// Open counts the pulls that are open at a node.
func (p *Pool) Open(id string) (open int) {
	if n := p.nodes[id]; n != nil {
		for _, l := range n.links {
			for tag := range l.open {
				if p.probes[tag] == nil {
					open++
				}
			}
		}
	}
	return open
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
