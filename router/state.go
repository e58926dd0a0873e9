package router

import (
	"cmp"
	"fmt"
	"slices"
)

// This file holds the state of the router's components and the messages that they exchange; router.go holds their
// behaviour.

// component receives messages from the queue.
type component interface {
	receive(r *Router, m message)
}

// messageKind says what a message means.
type messageKind int

// The kinds of messages.
const (
	msgArrived        messageKind = iota // to a download: it may offer its first pull
	msgOffered                           // to a node: it may grant the pull
	msgDeclined                          // to a download: the node does not admit the pull
	msgLimiterFull                       // to a download: the limiter of the node or of the fills has no room
	msgGranted                           // to a download and the holder table: the pull may be sent
	msgReleased                          // to a node: a granted pull is not sent
	msgEnded                             // to a download, then to the nodes of its pull
	msgOverdue                           // to a download, then to the source: the pull should have ended by now
	msgSecondCopyDue                     // to a download: the pull takes much longer than earlier hits
	msgErrorConfirmed                    // to the nodes of a pull: its error counts against them
	msgTimerFired                        // to a download, an ejected node or the list retrier: its timer fired
	msgListed                            // to a node: its entry in the list
	msgProbed                            // to a node: the result of a probe
	msgOutcome                           // to the holder table: how a pull ended
	msgPurged                            // to the tables of holders and purges
)

// message is what one component sends another through the router's queue.
type message struct {
	to    component
	kind  messageKind
	pull  *pull
	from  *Node // the node that declined, or whose limiter is full
	event Event
}

// objectKey identifies a part of an object.
type objectKey struct {
	name string
	part int64
}

// pull is one pull of a download from a node, whose misses the source fills. Source and node are the same where there
// is no fill.
type pull struct {
	download          *Download
	node              *Node
	source            *Node
	inFlight          bool
	mayHaveRun        bool    // the request may have taken effect at the node
	sourceBlame       float64 // the source's share in the blame for a failure; the rest is the node's
	late              bool    // in flight past its target time
	sentAt            float64
	cost              float64 // the mean transfer time of its content type
	overtaken         bool    // a second copy was requested because it took long
	errorPending      bool    // it ended with an error that does not count against a node yet
	sourceUnreachable bool    // the node could not connect to the source
	onlyHeld          bool    // it asks only for a copy that the source holds
	lastResort        bool    // no healthier node is left
}

// role is a node's place in the tiers.
type role int

// The tiers, from the clients up.
const (
	edge role = iota
	parent
	origin
)

// Alternative routes, each of which a download uses at most once.
const (
	triedLookup  = 1 << iota // asked an edge cache for a held copy, without a fill
	triedBypass              // asked a parent directly
	triedSibling             // asked an edge cache of another zone for a held copy
)

// health is what this gateway concludes from a node's answers and probes.
type health int

// The states of health.
const (
	healthy    health = iota
	ejected           // gets pulls only as a last resort, and is probed
	recovering        // readmitted with a rising share of its pulls
)

// Router decides for one gateway from which node each download is pulled and what is kept. It is not safe for
// concurrent use.
type Router struct {
	settings         Settings
	now              float64
	startedAt        float64
	random           Chance
	zoneGateways     float64 // gateways of this zone, this one included
	queue            []message
	actions          []Action
	nodes            map[string]*Node
	sortedNodes      []*Node // by id, so that decisions don't depend on the order of a map
	downloads        map[string]*Download
	types            map[string]*ContentType
	timers           map[int64]message
	lastToken        int64
	holders          HolderTable
	purges           PurgeTable
	retryTime        Ring    // transfer time of all pulls but the first of each download
	requestedTime    Ring    // transfer time of the downloads requested
	requestedBenefit Ring    // benefit of the downloads requested
	fillLimiter      Limiter // all fills of this gateway
	heldLimiter      Limiter // pulls that ask a source only for what it holds
}

// New returns a router that waits for its Started event.
func New() *Router {
	return &Router{nodes: map[string]*Node{}, downloads: map[string]*Download{}, types: map[string]*ContentType{},
		timers: map[int64]message{}, retryTime: NewRing(statsWindow, statsBuckets),
		requestedTime: NewRing(statsWindow, statsBuckets), requestedBenefit: NewRing(statsWindow, statsBuckets),
		fillLimiter: newLimiter(), heldLimiter: newLimiter(), holders: HolderTable{entries: map[objectKey]*holderEntry{}},
		purges: PurgeTable{purgedAt: map[any]float64{}}}
}

// ContentType holds the settings of a content type and the transfer times measured for it. Times are in ms.
type ContentType struct {
	name, effectClass, dedupeScope     string // effectClass is retriable, non-retriable or deduped
	dedupeWindow, freshFor, staleGrace float64
	targetTime, stretch                float64
	benefit                            float64
	unloadedTime                       float64 // transfer time of one object without load: the lowest mean seen lately
	samples                            int
	write                              bool
	transferCount, transferTime        Ring
}

// Download is one request for an object, from its arrival to its single final answer.
type Download struct {
	id           string
	typ          *ContentType
	key          objectKey
	group        int64
	expiry       float64
	arrivedAt    float64
	transferTime float64 // by its size; 0 where that is unknown
	write        bool
	edges        []*Node // in hash order
	parents      []*Node
	pulls        []*pull
	declinedBy   []*Node // nodes that declined since the last pull
	lastResort   bool    // also offer pulls to ejected nodes
	askedHeld    bool    // a pull asked a source only for what it holds
	triedRoutes  int     // the alternative routes used, as bits
	done         bool
	streaming    bool
	prefetch     bool // it fills a cache ahead of requests
}

// Node is an edge cache, a parent or the origin. It alone grants or declines the pulls offered to it, be it as their
// target or as the source of their fill, so every rule about nodes is enforced here.
type Node struct {
	id, kind, zone      string
	hash                uint64
	role                role
	state               State
	weight              float64
	cell                int64
	booted              float64
	limiter             Limiter // pulls sent to it
	successes, failures Ring
	coldSpent           Ring // transfer time charged against its cold budget
	served              Ring // transfer time of fulfilled pulls
	health              health
	changedAt           float64 // time of the last change of health, or when the node was gone
	probeSuccesses      int     // in a row
}

func newNode(id string) *Node {
	return &Node{id: id, hash: hash(id), state: Gone, successes: NewRing(statsWindow, statsBuckets),
		failures: NewRing(statsWindow, statsBuckets), served: NewRing(statsWindow, statsBuckets), limiter: newLimiter()}
}

// Limiter bounds how many pulls are in flight, by how many of the recent answers were late.
type Limiter struct {
	inFlight                       int
	limit, lastCut                 float64 // lastCut is when the limit was last lowered
	lateAnswers, answers, failures Ring
}

// HolderTable is the table of Leave Copy Down: which objects the parents hold, as far as this router saw.
type HolderTable struct {
	entries map[objectKey]*holderEntry
	order   []*holderEntry // oldest first
}

// holderEntry holds what is known of one part of an object.
type holderEntry struct {
	key          objectKey
	typ          *ContentType
	group        int64
	parent       *Node   // the parent last seen to hold the object; nil: none
	heldSince    float64 // when that was seen
	demand       Ring    // requested transfer time
	fillInFlight *pull   // the fill last sent through a parent
	hitTime      float64 // what an edge cache last took to send its copy
	queuedAt     float64 // when it was last put at the end of the order
	usedAt       float64
}

// PurgeTable remembers the purges that copies held by caches may still predate.
type PurgeTable struct {
	purgedAt map[any]float64 // time of the newest purge, by name of an object (string) or number of a group (int64)
}

// post appends a message to the queue.
func (r *Router) post(m message) { r.queue = append(r.queue, m) }

// emit appends an action to those that Handle returns.
func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

func (r *Router) log(s string) { r.emit(Log{Text: s}) }

// postToBoth posts a message to the node and the source of a pull, once where they are the same.
func (r *Router) postToBoth(m message) {
	m.to = m.pull.node
	r.post(m)
	if m.pull.source != m.pull.node {
		m.to = m.pull.source
		r.post(m)
	}
}

// setTimer has a message delivered at a later time.
func (r *Router) setTimer(at float64, m message) {
	r.lastToken++
	r.timers[r.lastToken] = m
	r.emit(SetTimer{At: at, Token: r.lastToken})
}

// listRetrier requests the list of nodes again after a call for it failed.
type listRetrier struct{}

func (listRetrier) receive(r *Router, _ message) { r.emit(WatchNodes{}) }

// nodesByRole returns the listed nodes of a role in a zone, or in all zones where that is empty, in order of their ids.
func (r *Router) nodesByRole(role role, zone string) []*Node {
	var nodes []*Node
	for _, n := range r.sortedNodes {
		if n.state != Gone && n.role == role && (zone == "" || n.zone == zone) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (d *Download) hasPullInFlight() bool {
	return slices.ContainsFunc(d.pulls, func(p *pull) bool { return p.inFlight })
}

// blameShare is a node's share of the blame for a failed pull.
func (p *pull) blameShare(n *Node) float64 {
	if n == p.node {
		return 1 - p.sourceBlame
	}
	return p.sourceBlame
}

// NodeViews returns this router's view of each listed node, in order of their ids.
func (r *Router) NodeViews() (views []LoadView) {
	for _, n := range r.sortedNodes {
		views = append(views, LoadView{Node: n.id, InFlight: n.limiter.inFlight, Ejected: n.health == ejected, WarmShare: n.warmShare(r),
			Successes: n.successes.Sum(r.now), Failures: n.failures.Sum(r.now), Limit: n.limiter.limit,
			LateAnswers: n.limiter.lateAnswers.Sum(r.now), Answers: n.limiter.answers.Sum(r.now)})
	}
	return views
}

// LimiterViews returns the state of the limiters that belong to no node: that of all fills, and that of the pulls that ask
// a source only for what it holds.
func (r *Router) LimiterViews() (fills, heldOnly LoadView) {
	view := func(name string, l *Limiter) LoadView {
		return LoadView{Node: name, InFlight: l.inFlight, Limit: l.limit, LateAnswers: l.lateAnswers.Sum(r.now), Answers: l.answers.Sum(r.now)}
	}
	return view("fills", &r.fillLimiter), view("questions", &r.heldLimiter)
}

// HotObjects lists the objects in most demand for which an edge cache ranks first, the most demanded first.
func (r *Router) HotObjects(node string, limit int) (objects []HotObject) {
	n := r.nodes[node]
	if n == nil || n.state != Running {
		return nil
	}
	type candidate struct {
		e    *holderEntry
		heat float64
	}
	var candidates []candidate
	for _, e := range r.holders.entries {
		if heat := e.demand.Sum(r.now); heat > 0 {
			candidates = append(candidates, candidate{e, heat})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.heat, a.heat), cmp.Compare(a.e.key.name, b.e.key.name),
			cmp.Compare(a.e.key.part, b.e.key.part))
	})
	edges := r.nodesByRole(edge, r.settings.text("zone"))
	for _, c := range candidates[:min(len(candidates), 4096)] { // bounds the cost of ranking
		if len(objects) == limit {
			break
		}
		if r.rankByHash(slices.Clone(edges), hash(c.e.key.name, fmt.Sprint(c.e.key.part)))[0] == n {
			objects = append(objects, HotObject{Type: c.e.typ.name, Object: c.e.key.name, Part: c.e.key.part,
				Group: c.e.group})
		}
	}
	return objects
}
