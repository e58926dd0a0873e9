// Package gateway carries out what its router decides and reports what became of it. Core is the whole of a
// gateway's state, without socket or clock, and belongs to one goroutine; Serve puts the peers round it.
package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/router"
)

// Client is a connection that waits for answers.
type Client interface {
	Answer(id uint16, a clients.Answer)
}

// What the peers post, each with the time at which it happened.
type (
	// Asked is a request that has come whole.
	Asked struct {
		Client Client
		ID     uint16
		Params map[string]string
		Body   *buffer.Chain
		At     float64
	}
	// Aborted is a request that its client gives up.
	Aborted struct {
		Client Client
		ID     uint16
		At     float64
	}
	// Closed is a client's connection that has ended.
	Closed struct {
		Client Client
		At     float64
	}
	// Told is an event of the command channel.
	Told struct {
		News channel.News
		At   float64
	}
)

// Counters are what a gateway has seen since its start.
type Counters struct {
	Taken, Fulfilled, Kept, Throttled, Abandoned, Left, Refused, Turned, Overdue, Pulls, Probes, Panics, Forbidden int
}

// Core is a gateway without its sockets.
type Core struct {
	Counters
	config    *footprint.Config
	log       logrus.FieldLogger
	scarce    *scarce
	desk      *desk     // of signed links; nil: off
	fair      *fairDoor // of fair shares; nil: off
	router    *router.Router
	pool      *caches.Pool
	downloads map[string]*download
	clients   map[Client]map[uint16]*download
	probes    map[*caches.Pull]*timer
	addresses map[string]string
	timers    timers
	tell      []router.Event
	telling   bool
	now       float64
	boots     func(node router.Entry) // told of nodes as they are listed, where somebody fills them ahead; nil: nobody does
	nodes     map[string]router.Entry // as they are listed
	listed    func(there map[string]bool)
	meter     *meter   // what machines out for work are judged by; nil: nobody asks
	void      *voids   // copies that were purged by the gateways' own agreement; nil: it agrees on nothing
	left      *leaving // nodes that it sends nothing to, whatever the list says; nil: none
	aheads    int      // downloads of this gateway's own, so far
	most      int      // of those open at a time
	open      int      // downloads that are owed an answer
	ending    bool     // told to end
	over      bool     // nothing more is taken
}

// download is one that was taken: until its one answer, and then until its last pull has ended.
type download struct {
	id, typ, object, mine string
	key                   string // by which caches tell repeats of a deduped one; empty: its client brought none
	client                Client
	number                uint16 // on the client's connection
	part, group           int64
	expiry                float64
	body                  *buffer.Chain
	copies                bool    // it is answered by a copy, not by what it does
	once                  bool    // it must not run twice
	fresh                 float64 // ms, how old a copy may be where a pull doesn't say; 0: any
	pulls                 []*pull
	last                  *caches.Pull
	timer                 *timer
	out                   int
	answered              bool
	only                  string   // the edge cache that it is to fill ahead
	link                  *linked  // nil where links are off
	share                 *sharing // nil where shares are
}

type pull struct {
	dl           *download
	n            int
	wire         *caches.Pull // nil once it has ended
	node, source string
	sent         float64
	timer        *timer
	within       *timer // nil where it may go out until it times out
}

// NewCore makes a gateway, tells its router what is known at its start, and is ready then.
func NewCore(c *footprint.Config, pool *caches.Pool, log logrus.FieldLogger, now float64) *Core {
	g := &Core{config: c, log: log, scarce: &scarce{log: log}, router: router.New(), pool: pool, downloads: map[string]*download{},
		clients: map[Client]map[uint16]*download{}, probes: map[*caches.Pull]*timer{},
		addresses: map[string]string{}, nodes: map[string]router.Entry{}, most: Share(c).Open, now: now}
	g.event(router.Started{Seed: c.Seed, Footprint: c.Footprint})
	for _, n := range c.Known {
		g.news(n)
	}
	g.settle()
	return g
}

// Open counts the downloads that are owed an answer.
func (g *Core) Open() int { return g.open }

// Handle takes what a peer has posted. What was due before it happened comes before it.
func (g *Core) Handle(e any) {
	switch e := e.(type) {
	case Asked:
		g.Ring(e.At)
		g.asked(e)
	case Aborted:
		g.Ring(e.At)
		// One that was answered meanwhile is over, and its number may already be another's.
		if d := g.clients[e.Client][e.ID]; d != nil {
			g.leave(d)
			e.Client.Answer(e.ID, clients.Answer{None: true})
		}
	case Closed:
		g.Ring(e.At)
		for _, id := range slices.Sorted(maps.Keys(g.clients[e.Client])) {
			g.leave(g.clients[e.Client][id])
		}
	case Told:
		g.Ring(e.At)
		g.news(e.News)
	case Ahead:
		g.Ring(e.At)
		g.ahead(e)
	case Leave:
		g.Ring(e.At)
		g.leaveNodes(e)
	case Void:
		g.Ring(e.At)
		g.voided(e)
	case Rekeyed:
		if g.desk != nil {
			g.desk.block = e.Block
			g.desk.door.Change(e.Block.Settings)
			g.desk.door.Keys(e.Ring)
		}
	case Reweighed:
		if g.fair != nil {
			g.fair.block = e.Block
			g.fair.gate.Weights(e.Block.Settings.Weights)
		}
	case Written:
		g.Ring(e.At)
		g.written(e)
	case caches.Up:
		g.pool.Handle(e)
	case caches.Answered:
		g.Ring(e.At)
		g.pool.Handle(e)
	case caches.Down:
		g.Ring(e.At)
		g.pool.Handle(e)
	}
	g.settle()
}

// Ring does what is due at a time.
func (g *Core) Ring(now float64) {
	g.now = max(g.now, now)
	for len(g.timers) > 0 && g.timers[0].at <= g.now {
		t := g.timers.pop()
		switch {
		case t.pull != nil:
			g.pool.Drop(t.pull.wire, router.TimedOut, g.now)
		case t.within != nil:
			g.pool.Recall(t.within.wire, g.now)
		case t.probe != nil:
			g.pool.Drop(t.probe, router.TimedOut, g.now)
		case t.filler != nil:
			t.filler.next()
		case g.fair != nil && t == g.fair.timer:
			g.fair.timer = nil
			g.shared(g.fair.gate.Ring(g.now))
		case t.dl != nil && t.token == waits:
			g.unwritten(t.dl)
		case t.dl != nil:
			g.overdue(t.dl)
		default:
			g.event(router.Rang{Token: t.token})
		}
		g.settle()
	}
}

// Watch looks for connections that say nothing any more.
func (g *Core) Watch(now float64) {
	g.Ring(now)
	g.pool.Watch(now)
	g.settle()
	g.meter.watch(now)
	g.left.look(g)
}

// Next is when something is due next; false where nothing is.
func (g *Core) Next() (float64, bool) {
	if len(g.timers) == 0 {
		return 0, false
	}
	return g.timers[0].at, true
}

// overdue is the net below the router: what it should have answered by now is answered here.
func (g *Core) overdue(d *download) {
	assert.That(false, "each download has its answer before its expiry")
	g.Overdue++
	g.log.WithField("download", d.id).Error("no answer by its expiry: abandoned")
	g.answer(d, clients.Answer{Status: 500})
	g.event(router.Left{ID: d.id})
}

// Drift writes down what the router holds of each node beside what is open on the sockets, and tells whether the two
// agree: limiters and budgets go by what the router believes.
func (g *Core) Drift() (text string, drifts bool) {
	for _, b := range g.router.Beliefs() {
		open := g.pool.Open(b.Node)
		drifts = drifts || b.Out != open
		if b.Out != open || b.Aside || b.Warm < 1 || b.Most < limiterTold {
			text += fmt.Sprintf("%s out %d of %d aside %t warm %.2f bad %.1f of %.1f", b.Node, b.Out, open, b.Aside, b.Warm,
				b.Bad, b.Good+b.Bad)
			if b.Most < limiterTold {
				text += fmt.Sprintf(" at most %.1f late %.0f of %.0f", b.Most, b.Late, b.All)
			}
			text += "; "
		}
	}
	fills, asks := g.router.Limiters()
	for _, l := range []router.Belief{fills, asks} {
		if l.Most < limiterTold {
			text += fmt.Sprintf("%s out %d of at most %.1f late %.0f of %.0f; ", l.Node, l.Out, l.Most, l.Late, l.All)
		}
	}
	return text, drifts
}

// limiterTold is the bound from which on a limiter is worth a line: it was cut, as answers came late.
const limiterTold = 1e6

// Leave has the gateway say that it is not healthy any more, so that the front sends nobody else.
func (g *Core) Leave() { g.ending = true }

// End answers all that is still open, and turns away what comes after it.
func (g *Core) End(now float64) {
	g.Ring(now)
	g.over = true
	for _, id := range slices.Sorted(maps.Keys(g.downloads)) {
		if d := g.downloads[id]; !d.answered && len(d.pulls) == 0 {
			g.Throttled++ // it never went out, so to try again does no harm
			g.answer(d, clients.Answer{Status: 503, Wait: g.config.Advice})
			g.event(router.Left{ID: d.id})
		} else if !d.answered {
			g.Abandoned++
			g.answer(d, clients.Answer{Status: 500})
			g.event(router.Left{ID: d.id})
		}
	}
	g.settle()
}

func (g *Core) event(e router.Event) { g.tell = append(g.tell, e) }

// settle tells the router all that there is to tell, and what comes of it, until nothing is left.
func (g *Core) settle() {
	if g.telling {
		return
	}
	g.telling = true
	for {
		for _, e := range g.pool.Ends() {
			g.ended(e)
		}
		if len(g.tell) == 0 {
			break
		}
		e := g.tell[0]
		g.tell = g.tell[1:]
		for _, a := range g.decide(e) {
			g.do(a)
		}
	}
	g.telling = false
}

// decide is one event to the router. What panics there costs that event alone: its downloads still meet their
// answer at their expiry.
func (g *Core) decide(e router.Event) (actions []router.Action) {
	defer func() {
		if p := recover(); p != nil {
			g.Panics++
			g.log.WithField("event", fmt.Sprintf("%T", e)).Errorf("the router panicked: %v", p)
			assert.That(false, "the router does not panic")
		}
	}()
	return g.router.Handle(g.now, e)
}

func (g *Core) do(a router.Action) {
	switch a := a.(type) {
	case router.Pull:
		g.pull(a)
	case router.Throttle:
		if d := g.downloads[a.ID]; d != nil && !d.answered {
			g.Throttled++
			g.answer(d, clients.Answer{Status: 503, Wait: a.Wait})
		}
	case router.Abandon:
		if d := g.downloads[a.ID]; d != nil && !d.answered {
			g.Abandoned++
			g.answer(d, clients.Answer{Status: 500})
		}
	case router.CallOff:
		if d := g.downloads[a.ID]; d != nil && a.Pull < len(d.pulls) && d.pulls[a.Pull].wire != nil {
			g.pool.Drop(d.pulls[a.Pull].wire, router.CalledOff, g.now)
		}
	case router.Probe:
		g.Probes++
		q := g.pool.Probe(a.Node, g.now)
		g.probes[q] = g.timers.push(timer{at: g.now + g.config.Connect, probe: q})
	case router.Alarm:
		g.timers.push(timer{at: a.At, token: a.Token})
	case router.Watch: // the channel's changes come unasked
	case router.Log:
		g.log.Info(a.Text)
	default:
		assert.That(false, "every action is carried out")
	}
}

func (g *Core) answer(d *download, a clients.Answer) {
	assert.That(!d.answered, "a download has one answer")
	d.answered = true
	if d.link != nil && d.link.successor != nil && a.Link == nil {
		a.Link = d.link.successor
	}
	d.client.Answer(d.number, a)
	g.unspend(d, a.Status == 503)
	g.freed(d, a.Status)
	g.owed(d)
	g.recall(d)
}

// recall takes back what is not yet written for a download that is over: nothing is sent after its end, also where a pull that is
// out may not be called off, or the router lets it go on.
func (g *Core) recall(d *download) {
	for _, p := range d.pulls {
		if p.wire != nil {
			g.pool.Recall(p.wire, g.now)
		}
	}
}

// owed ends what is owed to a client.
func (g *Core) owed(d *download) {
	g.open--
	g.timers.remove(d.timer)
	if d.link != nil {
		g.timers.remove(d.link.held)
	}
	all := g.clients[d.client]
	if delete(all, d.number); len(all) == 0 {
		delete(g.clients, d.client)
	}
	g.forget(d)
}

func (g *Core) forget(d *download) {
	if d.answered && d.out == 0 && g.downloads[d.id] == d {
		delete(g.downloads, d.id)
		d.body.Release()
	}
}

func (g *Core) leave(d *download) {
	g.Left++
	d.answered = true
	g.unspend(d, len(d.pulls) == 0)
	g.freed(d, 0)
	g.owed(d)
	g.event(router.Left{ID: d.id})
	g.recall(d)
}

const health = "/_health"

func (g *Core) asked(e Asked) {
	path := e.Params["SCRIPT_NAME"]
	if path == health {
		e.Body.Release()
		status := 200
		if g.ending {
			status = 503
		}
		e.Client.Answer(e.ID, clients.Answer{Status: status})
		return
	}
	d, err := g.read(e.Params, e.Body.Len())
	if err == nil && g.downloads[d.id] != nil {
		err = fmt.Errorf("X-Job-Id: %s is open already", d.id)
	}
	if err == nil {
		g.meter.take(e.At)
	}
	if err == nil && (g.open >= g.most || g.over) {
		g.Turned++
		e.Body.Release()
		e.Client.Answer(e.ID, clients.Answer{Status: 503, Wait: g.config.Advice})
		return
	}
	if err != nil {
		g.Refused++
		g.scarce.Warn(e.At, "a request can't be read", err)
		e.Body.Release()
		e.Client.Answer(e.ID, clients.Answer{Status: 400})
		return
	}
	if g.desk != nil && !g.admit(e, d) {
		return
	}
	g.Taken++
	d.client, d.number, d.body = e.Client, e.ID, e.Body
	d.expiry += e.At
	g.begin(d)
	if g.fair != nil {
		g.queue(d, e.Params)
		return
	}
	g.let(d)
}

// begin notes a download that is owed an answer from now on.
func (g *Core) begin(d *download) {
	g.open++
	g.downloads[d.id] = d
	if g.clients[d.client] == nil {
		g.clients[d.client] = map[uint16]*download{}
	}
	g.clients[d.client][d.number] = d
	d.timer = g.timers.push(timer{at: d.expiry + g.config.Slack, dl: d})
}

// let has a download go on: once what it spends is written down, where there is a store.
func (g *Core) let(d *download) {
	if d.link != nil && d.link.spend != nil && g.desk.store != nil {
		g.hold(d)
		return
	}
	g.arrived(d)
}

// read takes a download out of its fields, in the exact form of the protocol: what a cache can't read makes it close
// its connection, whatever else is open there. The expiry still counts from its arrival.
func (g *Core) read(params map[string]string, body int) (*download, error) {
	name, ok := strings.CutPrefix(params["SCRIPT_NAME"], "/invoke/")
	i := slices.IndexFunc(g.config.Types, func(t footprint.Type) bool { return t.Name == name })
	if !ok || i < 0 {
		return nil, fmt.Errorf("SCRIPT_NAME: %.80q", params["SCRIPT_NAME"])
	}
	typ := g.config.Types[i]
	d := &download{id: params["HTTP_X_JOB_ID"], typ: name, object: params["HTTP_X_ITEM"], mine: params["HTTP_X_MINE"],
		copies: !typ.Writes, once: typ.Writes || typ.Once, fresh: typ.Fresh}
	if !hex(d.id) {
		return nil, fmt.Errorf("X-Job-Id: %.80q", d.id)
	}
	if !hex(d.object) {
		return nil, fmt.Errorf("X-Item: %.80q", d.object)
	}
	if _, told := params["HTTP_X_MINE"]; told && !hex(d.mine) {
		return nil, fmt.Errorf("X-Mine: %.80q", d.mine)
	}
	if _, told := params["HTTP_X_UNIQUE"]; told {
		if d.key = params["HTTP_X_UNIQUE"]; !word(d.key) {
			return nil, fmt.Errorf("X-Unique: %.80q", d.key)
		}
	}
	// Clients' time is rounded, and so is the settings': a tenth more than the longest expiry is still no mistake.
	most := int64(1<<31 - 1) // of parts, as far as anybody can tell here
	if !typ.Parts {
		most = 0
	}
	allow := int64(0)
	for _, n := range [...]struct {
		field, param string
		most         int64
		to           *int64
	}{{"X-Allow-Ms", "HTTP_X_ALLOW_MS", int64(1.1 * typ.Expiry), &allow}, {"X-N", "HTTP_X_N", most, &d.part},
		{"X-Shard", "HTTP_X_SHARD", 255, &d.group}} {
		if *n.to, ok = number(params[n.param], n.most); !ok {
			return nil, fmt.Errorf("%s: %.80q", n.field, params[n.param])
		}
	}
	d.expiry = float64(allow)
	if text, told := params["CONTENT_LENGTH"]; told && text != "" {
		if n, ok := number(text, 1<<31); !ok || n != int64(body) {
			return nil, fmt.Errorf("CONTENT_LENGTH: %.80q of a body of %d", text, body)
		}
	}
	if body > 0 && !typ.Bodies {
		return nil, fmt.Errorf("a body of %d for %s", body, name)
	}
	return d, nil
}

// number reads plain digits, and nothing else that a number's parser would take.
func number(s string, most int64) (int64, bool) {
	if s == "" || len(s) > 10 || s[0] == '0' && len(s) > 1 {
		return 0, false
	}
	n := int64(0)
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = 10*n + int64(s[i]-'0')
	}
	return n, n <= most
}

// hex tells whether a word is 16 hex digits as the protocol writes them, and so harmless among the fields of a command.
func hex(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return true
}

// word tells whether an idempotency key is one that can't be taken for anything else among the fields of a command.
func word(s string) bool {
	if len(s) == 0 || len(s) > 64 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

func (g *Core) pull(a router.Pull) {
	d := g.downloads[a.ID]
	assert.That(d != nil, "a pull is for a download that was taken")
	if d == nil {
		return
	}
	p := &pull{dl: d, n: len(d.pulls), node: a.Node, source: a.Source, sent: g.now}
	d.pulls = append(d.pulls, p)
	d.out++
	until := d.expiry
	if a.Timeout != 0 {
		until = min(until, g.now+a.Timeout)
	}
	if d.answered || until <= g.now || p.n >= g.config.MostPulls {
		g.report(p, caches.End{Status: router.NeverSent, At: g.now})
		return
	}
	g.Pulls++
	g.void.bound(&a, d, p.n, g.now)
	text := fields(d, a, until-g.now)
	if g.desk != nil {
		text = g.desk.forBox(text, d, p, g.now)
	}
	p.wire = &caches.Pull{ID: d.id, Node: a.Node, Fields: text, Body: d.body,
		Mine: d.mine, Copies: d.copies, MaxAge: cmp.Or(a.MaxAge, d.fresh), Before: d.last, Owner: p}
	d.last = p.wire
	p.timer = g.timers.push(timer{at: until, pull: p})
	if a.Within > 0 {
		p.within = g.timers.push(timer{at: g.now + a.Within, within: p})
	}
	g.pool.Pull(p.wire, g.now)
}

func fields(d *download, a router.Pull, wait float64) string {
	b := append(append(make([]byte, 0, 192), "kind="...), d.typ...)
	b = append(append(b, ",obj="...), d.object...)
	b = strconv.AppendInt(append(b, ",seg="...), d.part, 10)
	b = strconv.AppendInt(append(b, ",ms="...), int64(max(1, wait)), 10)
	if a.Source != "" && a.Source != a.Node {
		b = append(append(b, ",next="...), a.Source...)
	}
	if a.Rank > 0 {
		b = strconv.AppendInt(append(b, ",admit="...), int64(a.Rank), 10)
	}
	if a.MaxAge > 0 {
		b = strconv.AppendInt(append(b, ",agelim="...), max(1, int64(a.MaxAge)), 10)
	}
	sep := ",ways="
	for _, w := range [...]struct {
		how  router.How
		word string
	}{{router.Join, "j"}, {router.OnlyHeld, "h"}, {router.PassParent, "n"}, {router.Renew, "r"}} {
		if a.How&w.how != 0 {
			b = append(append(b, sep...), w.word...)
			sep = "+"
		}
	}
	if d.mine != "" {
		b = append(append(b, ",cached="...), d.mine...)
	}
	if d.key != "" {
		b = append(append(b, ",token="...), d.key...)
	}
	return string(b)
}

func (g *Core) ended(e caches.End) {
	if e.Probe != "" {
		g.timers.remove(g.probes[e.Pull])
		delete(g.probes, e.Pull)
		e.Body.Release()
		g.event(router.Probed{Node: e.Probe, Status: e.Status, Load: e.Load})
		return
	}
	g.report(e.Pull.Owner.(*pull), e)
}

// report tells the router how a pull ended; the first that is fulfilled is the client's answer.
func (g *Core) report(p *pull, e caches.End) {
	d := p.dl
	g.timers.remove(p.timer)
	g.timers.remove(p.within)
	p.wire = nil
	d.out--
	if e.Status == router.Fulfilled && d.copies {
		g.meter.pulled(g.now, p.node, e.Note)
	}
	if e.Status == router.Fulfilled && !d.answered {
		g.Fulfilled++
		if e.Keep {
			g.Kept++
		}
		g.answer(d, clients.Answer{Status: 200, Still: e.Keep, Body: e.Body})
	} else {
		e.Body.Release()
	}
	g.forget(d)
	g.event(router.Ended{ID: d.id, Pull: p.n, Status: e.Status, Took: max(0, e.At-p.sent), Closed: d.answered,
		Note: e.Note, Load: e.Load})
}
