// Package gateway runs one gateway: it executes the decisions of its router and reports their outcomes back to it.
// Core holds the whole state of a gateway and uses neither sockets nor a clock; a single goroutine owns it. Serve
// connects it to the network.
package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/sirupsen/logrus"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/gatewayconfig"
	"poppymill/router"
)

// Client is a connection on which requests are answered. ID is the request's id on that connection.
type Client interface {
	Answer(id uint16, a clients.Answer)
	// Gone reports whether the client has closed the connection, even if ClientClosed is still to come.
	Gone() bool
}

// Events that the network side posts to a Core. At is the time at which the event happened, in Unix ms.
type (
	// RequestReceived reports a request that was received completely.
	RequestReceived struct {
		Client Client
		ID     uint16
		Params map[string]string
		Body   *buffer.Body
		At     float64
	}
	// RequestAborted reports a request that its client aborted.
	RequestAborted struct {
		Client Client
		ID     uint16
		At     float64
	}
	// ClientClosed reports that a client's connection was closed.
	ClientClosed struct {
		Client Client
		At     float64
	}
	// ChannelEvent reports an event of the command channel.
	ChannelEvent struct {
		News channel.Event
		At   float64
	}
)

// Counters count events since the start of the gateway; the log line "counters" writes each under its own name.
// Taken counts accepted downloads; Kept those of the Fulfilled whose client keeps the copy that it has; Left those
// that their client aborted; Refused malformed requests; Turned requests turned away at the limit of open downloads
// or during shutdown; Departed requests whose client had closed before they were handled; Overdue downloads that the
// router left unanswered; Forbidden requests refused by their link.
type Counters struct {
	Taken, Fulfilled, Kept, Throttled, Abandoned, Left, Refused, Turned, Overdue, Pulls, Probes, Panics, Forbidden, Departed int
}

// Core is the state machine of a gateway. It is not safe for concurrent use.
type Core struct {
	Counters
	config       *gatewayconfig.Config
	log          logrus.FieldLogger
	warnings     *warnLimiter
	links        *signedLinks   // nil if disabled
	fair         *fairAdmission // nil if disabled
	router       *router.Router
	pool         *caches.Pool
	downloads    map[string]*download
	clients      map[Client]map[uint16]*download
	probes       map[*caches.Pull]*timer
	addresses    map[string]string
	timers       timers
	events       []router.Event
	dispatching  bool
	now          float64
	nodeListed   func(node router.Entry)     // called for each running node in a node list; nil if nothing prefetches
	nodes        map[string]router.Entry     // as listed by the command channel
	nodesChanged func(there map[string]bool) // called with whether each node is running; nil if unused
	meter        *loadMeter                  // measurements for maintenance and purges; nil if disabled
	purges       *purgeBounds                // purges agreed on by the gateways' quorum; nil without a quorum
	drained      *drainedNodes               // nodes drained for maintenance, whatever the list says; nil if none
	prefetches   int                         // prefetch downloads started so far
	maxOpen      int                         // limit of open
	open         int                         // downloads not answered yet
	writes       int                         // of downloads: those that must not run twice
	endedWrites  *endedWrites
	shuttingDown bool // the health check fails from now on
	stopped      bool // new requests are turned away
}

// download is an accepted download. It is kept until it is answered, once, and its last pull has ended.
type download struct {
	id, typ, object, clientSum string // clientSum: checksum of the copy that the client already has
	idempotencyKey             string // lets caches detect repeats of a deduped download; empty if the client sent none
	client                     Client
	requestID                  uint16 // id of the request on the client's connection
	part, group                int64
	expiry                     float64
	body                       *buffer.Body
	cacheable                  bool    // answered from a copy rather than by a side effect
	atMostOnce                 bool    // must not run twice
	maxAge                     float64 // ms; maximum age of a copy where the pull sets none; 0: any
	pulls                      []*pull
	lastPull                   *caches.Pull
	expiryTimer                *timer
	openPulls                  int  // pulls that have not ended
	mayHaveRun                 bool // one of the pulls that have ended may have run
	answered                   bool
	prefetchNode               string        // the edge cache to prefetch into; empty for a client's download
	link                       *downloadLink // nil if signed links are disabled
	share                      *fairShare    // nil if fair admission is disabled
}

// pull is one attempt of a download at a node.
type pull struct {
	download     *download
	index        int
	cachePull    *caches.Pull // nil once the pull has ended
	node, source string
	sentAt       float64
	timeout      *timer
	sendDeadline *timer // nil if it may be sent until it times out
}

// NewCore returns a core whose router has been given the settings and all that is known at the start.
func NewCore(c *gatewayconfig.Config, pool *caches.Pool, log logrus.FieldLogger, now float64) *Core {
	g := &Core{config: c, log: log, warnings: &warnLimiter{log: log}, router: router.New(), pool: pool,
		downloads: map[string]*download{},
		clients:   map[Client]map[uint16]*download{}, probes: map[*caches.Pull]*timer{},
		addresses: map[string]string{}, nodes: map[string]router.Entry{}, now: now}
	g.setBudget(NewBudget(c))
	g.emit(router.Started{Seed: c.Seed, Settings: c.RouterSettings})
	for _, n := range c.Known {
		g.handleChannelEvent(n)
	}
	g.dispatch()
	return g
}

// setBudget sets the limits of the core's own state, before it takes requests.
func (g *Core) setBudget(b Budget) {
	g.maxOpen, g.endedWrites = b.Open, newEndedWrites(b.EndedWrites)
}

// Open returns the number of downloads that are not answered yet.
func (g *Core) Open() int { return g.open }

// Handle processes an event. Timers that were due before the event fire first.
func (g *Core) Handle(e any) {
	switch e := e.(type) {
	case RequestReceived:
		g.Advance(e.At)
		g.handleRequest(e)
	case RequestAborted:
		g.Advance(e.At)
		// The request may have been answered meanwhile, and its id reused by another.
		if d := g.clients[e.Client][e.ID]; d != nil {
			g.cancel(d)
			e.Client.Answer(e.ID, clients.Answer{NoResponse: true})
		}
	case ClientClosed:
		g.Advance(e.At)
		for _, id := range slices.Sorted(maps.Keys(g.clients[e.Client])) {
			g.cancel(g.clients[e.Client][id])
		}
	case ChannelEvent:
		g.Advance(e.At)
		g.handleChannelEvent(e.News)
	case Prefetch:
		g.Advance(e.At)
		g.prefetch(e)
	case DrainNodes:
		g.Advance(e.At)
		g.drainNodes(e)
	case ApplyPurges:
		g.Advance(e.At)
		g.applyPurges(e)
	case KeysReloaded:
		if g.links != nil {
			g.links.block = e.Block
			g.links.admission.SetSettings(e.Block.Settings)
			g.links.admission.SetKeys(e.Ring)
		}
	case FairnessChanged:
		if g.fair != nil {
			g.fair.block = e.Block
			g.fair.controller.SetWeights(e.Block.Settings.Weights)
		}
	case SpendWritten:
		g.Advance(e.At)
		g.spendWritten(e)
	case caches.Up:
		g.pool.Handle(e)
	case caches.Replied:
		g.Advance(e.At)
		g.pool.Handle(e)
	case caches.Down:
		g.Advance(e.At)
		g.pool.Handle(e)
	}
	g.dispatch()
}

// Advance advances the clock to now and fires all timers that are due.
func (g *Core) Advance(now float64) {
	g.now = max(g.now, now)
	for len(g.timers) > 0 && g.timers[0].at <= g.now {
		t := g.timers.pop()
		switch {
		case t.pull != nil:
			g.pool.Cancel(t.pull.cachePull, router.TimedOut, g.now)
		case t.sendDeadline != nil:
			g.pool.Recall(t.sendDeadline.cachePull, g.now)
		case t.probe != nil:
			g.pool.Cancel(t.probe, router.TimedOut, g.now)
		case t.prefetcher != nil:
			t.prefetcher.next()
		case g.fair != nil && t == g.fair.timer:
			g.fair.timer = nil
			g.executeFair(g.fair.controller.HandleTimer(g.now))
		case t.download != nil && t.token == spendWriteToken:
			g.rejectUnwritten(t.download)
		case t.download != nil:
			g.failOverdue(t.download)
		default:
			g.emit(router.TimerFired{Token: t.token})
		}
		g.dispatch()
	}
}

// RunChecks runs the periodic checks: for connections that no longer respond, load reports and drained nodes.
func (g *Core) RunChecks(now float64) {
	g.Advance(now)
	g.pool.CheckStalled(now)
	g.dispatch()
	g.meter.reportIfDue(now)
	g.drained.checkIdle(g)
}

// Next returns when the next timer is due, or false if there is none.
func (g *Core) Next() (float64, bool) {
	if len(g.timers) == 0 {
		return 0, false
	}
	return g.timers[0].at, true
}

// failOverdue is the safety net for downloads that the router should have answered by their expiry.
func (g *Core) failOverdue(d *download) {
	assert.That(false, "every download is answered before its expiry")
	g.Overdue++
	g.log.WithField("download", d.id).Error("download not answered by its expiry; abandoning it")
	g.answer(d, clients.Answer{Status: 500})
	g.emit(router.ClientGone{ID: d.id})
}

// RouterDrift describes the router's view of the nodes next to the pulls that are open on the sockets, and reports whether
// the two differ. The limiters and budgets depend on the router's view.
func (g *Core) RouterDrift() (text string, drifts bool) {
	for _, b := range g.router.NodeViews() {
		open := g.pool.InFlight(b.Node)
		drifts = drifts || b.InFlight != open
		if b.InFlight != open || b.Ejected || b.WarmShare < 1 || b.Limit < limiterLogThreshold {
			text += fmt.Sprintf("%s out %d of %d aside %t warm %.2f bad %.1f of %.1f", b.Node, b.InFlight, open, b.Ejected, b.WarmShare,
				b.Failures, b.Successes+b.Failures)
			if b.Limit < limiterLogThreshold {
				text += fmt.Sprintf(" at most %.1f late %.0f of %.0f", b.Limit, b.LateAnswers, b.Answers)
			}
			text += "; "
		}
	}
	fillLimiter, askLimiter := g.router.LimiterViews()
	for _, l := range []router.LoadView{fillLimiter, askLimiter} {
		if l.Limit < limiterLogThreshold {
			text += fmt.Sprintf("%s out %d of at most %.1f late %.0f of %.0f; ", l.Node, l.InFlight, l.Limit, l.LateAnswers, l.Answers)
		}
	}
	return text, drifts
}

// limiterLogThreshold is the limit below which a limiter is logged: it was lowered because answers came late.
const limiterLogThreshold = 1e6

// StartShutdown makes the health check fail, so that the front sends no further clients.
func (g *Core) StartShutdown() { g.shuttingDown = true }

// Shutdown answers all open downloads; later requests are turned away.
func (g *Core) Shutdown(now float64) {
	g.Advance(now)
	g.stopped = true
	for _, id := range slices.Sorted(maps.Keys(g.downloads)) {
		if d := g.downloads[id]; !d.answered && len(d.pulls) == 0 {
			g.Throttled++ // it was never sent, so a retry is safe
			g.answer(d, clients.Answer{Status: 503, RetryAfter: g.config.MaxRetryAfter})
			g.emit(router.ClientGone{ID: d.id})
		} else if !d.answered {
			g.Abandoned++
			g.answer(d, clients.Answer{Status: 500})
			g.emit(router.ClientGone{ID: d.id})
		}
	}
	g.dispatch()
}

// emit queues an event for the router.
func (g *Core) emit(e router.Event) { g.events = append(g.events, e) }

// dispatch passes queued events and ended pulls to the router and executes its actions until nothing is left.
func (g *Core) dispatch() {
	if g.dispatching {
		return
	}
	g.dispatching = true
	for {
		for _, e := range g.pool.TakeResults() {
			g.pullEnded(e)
		}
		if len(g.events) == 0 {
			break
		}
		e := g.events[0]
		g.events = g.events[1:]
		for _, a := range g.callRouter(e) {
			g.execute(a)
		}
	}
	g.dispatching = false
}

// callRouter passes one event to the router. A panic loses only that event: its downloads are still answered at
// their expiry.
func (g *Core) callRouter(e router.Event) (actions []router.Action) {
	defer func() {
		if recovered := recover(); recovered != nil {
			g.Panics++
			g.log.WithField("event", fmt.Sprintf("%T", e)).Errorf("the router panicked: %v", recovered)
			assert.That(false, "the router does not panic")
		}
	}()
	return g.router.Handle(g.now, e)
}

// execute carries out an action of the router.
func (g *Core) execute(a router.Action) {
	switch a := a.(type) {
	case router.Pull:
		g.sendPull(a)
	case router.Throttle:
		if d := g.downloads[a.ID]; d != nil && !d.answered {
			g.Throttled++
			g.answer(d, clients.Answer{Status: 503, RetryAfter: a.Wait})
		}
	case router.Abandon:
		if d := g.downloads[a.ID]; d != nil && !d.answered {
			g.Abandoned++
			g.answer(d, clients.Answer{Status: 500})
		}
	case router.CancelPull:
		if d := g.downloads[a.ID]; d != nil && a.Pull < len(d.pulls) && d.pulls[a.Pull].cachePull != nil {
			g.pool.Cancel(d.pulls[a.Pull].cachePull, router.Cancelled, g.now)
		}
	case router.Probe:
		g.Probes++
		q := g.pool.Probe(a.Node, g.now)
		g.probes[q] = g.timers.push(timer{at: g.now + g.config.ConnectTimeout, probe: q})
	case router.SetTimer:
		g.timers.push(timer{at: a.At, token: a.Token})
	case router.WatchNodes: // the command channel sends changes unasked
	case router.Log:
		g.log.Info(a.Text)
	default:
		assert.That(false, "every action of the router is known")
	}
}

// answer sends the only answer of a download and ends it.
func (g *Core) answer(d *download, a clients.Answer) {
	assert.That(!d.answered, "a download is answered once")
	d.answered = true
	if d.link != nil && d.link.successor != nil && a.Link == nil {
		a.Link = d.link.successor
	}
	d.client.Answer(d.requestID, a)
	g.releaseSpend(d, a.Status == 503)
	g.releaseShare(d, a.Status)
	g.release(d)
	g.recallPulls(d)
}

// recallPulls takes back the pulls of an ended download that are not written yet. Nothing may be sent after the end,
// even where a pull that was sent must not be cancelled or the router lets it continue.
func (g *Core) recallPulls(d *download) {
	for _, p := range d.pulls {
		if p.cachePull != nil {
			g.pool.Recall(p.cachePull, g.now)
		}
	}
}

// release frees what is kept for the answer of a download.
func (g *Core) release(d *download) {
	g.open--
	g.timers.remove(d.expiryTimer)
	if d.link != nil {
		g.timers.remove(d.link.writeTimer)
	}
	requests := g.clients[d.client]
	if delete(requests, d.requestID); len(requests) == 0 {
		delete(g.clients, d.client)
	}
	g.removeIfDone(d)
}

// removeIfDone removes a download that is answered and has no open pulls.
func (g *Core) removeIfDone(d *download) {
	if d.answered && d.openPulls == 0 && g.downloads[d.id] == d {
		delete(g.downloads, d.id)
		d.body.Release()
		if d.atMostOnce {
			g.writes--
		}
		if d.atMostOnce && d.mayHaveRun {
			g.endedWrites.add(d.id, g.now)
		}
	}
}

// cancel ends a download that its client gave up.
func (g *Core) cancel(d *download) {
	g.Left++
	d.answered = true
	g.releaseSpend(d, len(d.pulls) == 0)
	g.releaseShare(d, 0)
	g.release(d)
	g.emit(router.ClientGone{ID: d.id})
	g.recallPulls(d)
}

// healthPath is the path of the front's health check.
const healthPath = "/_health"

// handleRequest validates a request and starts its download.
func (g *Core) handleRequest(e RequestReceived) {
	if e.Client.Gone() {
		g.Departed++
		e.Body.Release()
		e.Client.Answer(e.ID, clients.Answer{NoResponse: true})
		return
	}
	path := e.Params["SCRIPT_NAME"]
	if path == healthPath {
		e.Body.Release()
		status := 200
		if g.shuttingDown {
			status = 503
		}
		e.Client.Answer(e.ID, clients.Answer{Status: status})
		return
	}
	d, err := g.parseDownload(e.Params, e.Body.Len())
	if err == nil && g.downloads[d.id] != nil {
		err = fmt.Errorf("X-Job-Id: %s is open already", d.id)
	}
	if err == nil && d.atMostOnce && g.endedWrites.contains(d.id) {
		err = fmt.Errorf("X-Job-Id: %s may have run already", d.id)
	}
	if err == nil {
		g.meter.addDownload(e.At)
	}
	if err == nil && (g.open >= g.maxOpen || g.stopped || d.atMostOnce && g.endedWrites.full(g.writes, e.At)) {
		g.Turned++
		e.Body.Release()
		e.Client.Answer(e.ID, clients.Answer{Status: 503, RetryAfter: g.config.MaxRetryAfter})
		return
	}
	if err != nil {
		g.Refused++
		g.warnings.Warn(e.At, "malformed request", err)
		e.Body.Release()
		e.Client.Answer(e.ID, clients.Answer{Status: 400})
		return
	}
	if g.links != nil && !g.admitLink(e, d) {
		return
	}
	g.Taken++
	d.client, d.requestID, d.body = e.Client, e.ID, e.Body
	d.expiry += e.At
	g.track(d)
	if g.fair != nil {
		g.requestFairAdmission(d, e.Params)
		return
	}
	g.proceed(d)
}

// track registers a download that must be answered, and starts its expiry timer.
func (g *Core) track(d *download) {
	g.open++
	g.downloads[d.id] = d
	if d.atMostOnce {
		g.writes++
	}
	if g.clients[d.client] == nil {
		g.clients[d.client] = map[uint16]*download{}
	}
	g.clients[d.client][d.requestID] = d
	d.expiryTimer = g.timers.push(timer{at: d.expiry + g.config.AnswerSlack, download: d})
}

// proceed passes a download to the router. If there is a store, the token that it spends is written first.
func (g *Core) proceed(d *download) {
	if d.link != nil && d.link.spend != nil && g.links.store != nil {
		g.writeSpend(d)
		return
	}
	g.emitArrived(d)
}

// sendPull starts a pull that the router asked for, or reports at once that it was never sent.
func (g *Core) sendPull(a router.Pull) {
	d := g.downloads[a.ID]
	assert.That(d != nil, "a pull belongs to an accepted download")
	if d == nil {
		return
	}
	p := &pull{download: d, index: len(d.pulls), node: a.Node, source: a.Source, sentAt: g.now}
	d.pulls = append(d.pulls, p)
	d.openPulls++
	deadline := d.expiry
	if a.Timeout != 0 {
		deadline = min(deadline, g.now+a.Timeout)
	}
	if d.answered || deadline <= g.now || p.index >= g.config.MaxPulls {
		g.reportPull(p, caches.Result{Status: router.NeverSent, At: g.now})
		return
	}
	g.Pulls++
	g.purges.limitAge(&a, d, p.index, g.now)
	text := pullFields(d, a, deadline-g.now)
	if g.links != nil {
		text = g.links.appendCacheToken(text, d, p, g.now)
	}
	p.cachePull = &caches.Pull{ID: d.id, Node: a.Node, Fields: text, Body: d.body,
		ClientSum: d.clientSum, RequireCopy: d.cacheable, MaxAge: cmp.Or(a.MaxAge, d.maxAge), Previous: d.lastPull, Owner: p}
	d.lastPull = p.cachePull
	p.timeout = g.timers.push(timer{at: deadline, pull: p})
	if a.SendWithin > 0 {
		p.sendDeadline = g.timers.push(timer{at: g.now + a.SendWithin, sendDeadline: p})
	}
	g.pool.Pull(p.cachePull, g.now)
}

// pullEnded handles the end of a pull or a probe.
func (g *Core) pullEnded(e caches.Result) {
	if e.ProbedNode != "" {
		g.timers.remove(g.probes[e.Pull])
		delete(g.probes, e.Pull)
		e.Body.Release()
		g.emit(router.Probed{Node: e.ProbedNode, Status: e.Status, Load: e.Load})
		return
	}
	g.reportPull(e.Pull.Owner.(*pull), e)
}

// reportPull tells the router how a pull ended. The first fulfilled pull of a download answers the client.
func (g *Core) reportPull(p *pull, e caches.Result) {
	d := p.download
	g.timers.remove(p.timeout)
	g.timers.remove(p.sendDeadline)
	p.cachePull = nil
	d.openPulls--
	d.mayHaveRun = d.mayHaveRun || !e.Status.NeverRan()
	if e.Status == router.Fulfilled && d.cacheable {
		g.meter.addPull(g.now, p.node, e.Note)
	}
	if e.Status == router.Fulfilled && !d.answered {
		g.Fulfilled++
		if e.KeepClientCopy {
			g.Kept++
		}
		g.answer(d, clients.Answer{Status: 200, NotModified: e.KeepClientCopy, Body: e.Body})
	} else {
		e.Body.Release()
	}
	g.removeIfDone(d)
	g.emit(router.PullEnded{ID: d.id, Pull: p.index, Status: e.Status, Duration: max(0, e.At-p.sentAt), DownloadDone: d.answered,
		AnswerSource: e.Note, Load: e.Load})
}
