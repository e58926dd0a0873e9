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

var errNoBuffer = errors.New("no read buffer available")

// Pull is one request to a node. It is in flight from Pool.Pull until its single Result is reported.
type Pull struct {
	ID, Node    string
	Fields      string
	Body        *buffer.Body // the pool takes its own reference
	ClientSum   string       // checksum of the client's own copy, which the node may confirm by KEEP
	RequireCopy bool         // a fulfilled reply carries a copy, so it must give sum and t0
	MaxAge      float64      // maximum age of the copy, in ms, when the pull is sent; 0: no limit
	Previous    *Pull        // the previous pull of the same download, which has the same ID
	Owner       any
	conn        *conn
	command     *Command
	sentAt      float64
	idleBefore  float64 // ms for which the connection was idle before this pull; 0: new or busy
	healthCheck bool    // sent by the pool itself; its Result is not reported
	ended       bool
}

// Result is the result of a pull or a probe.
type Result struct {
	Pull           *Pull
	ProbedNode     string // the node, if this was a probe
	Status         router.Status
	Note           router.AnswerSource
	Load           map[string]float64
	KeepClientCopy bool // the client's own copy is current
	Body           *buffer.Body
	At             float64
}

// Limits are the limits of a pool, from the settings and from the resources of the machine.
type Limits struct {
	PullsPerConn  int                 // pulls per connection
	IdleTimeout   float64             // ms without traffic after which a connection is closed
	Conns         int                 // connections to all nodes together
	RequestLoad   bool                // probes also ask for the load
	HealthChecks  bool                // probes are allowed, so a silent connection may be sent a health check
	AnswerTimeout float64             // ms within which a live node replies to a health check; equal to the connect timeout
	GaugeName     func(string) string // maps the name of a gauge to the name that the router uses
}

// Pool is a connection pool to all nodes. It isn't safe for concurrent use.
type Pool struct {
	limits        Limits
	dial          func(address string) Wire
	OldestAllowed func(*Pull) float64 // oldest creation time, in Unix ms, that a copy may have when it arrives; nil: not checked
	nodes         map[string]*node
	conns         map[Wire]*conn
	lastProbeID   int
	results       []Result
	probes        map[string]*Pull // by ID
	reuse         reuseStats
	closed        bool
	lastWatch     float64
	meanAnswer    float64 // moving average of the time to a reply, in ms

	Dialed, Malformed, Exhausted, LateReplies, Stalled, TooOld int // counters; Exhausted: no connection or buffer available
}

// node is one node with the connections to it.
type node struct {
	id, address string
	startedAt   float64
	conns       []*conn
	excluded    bool // gets no new pulls and no health checks
	removed     bool // deleted together with its last connection
}

// conn is one connection and the pulls in flight on it.
type conn struct {
	node        *node
	wire        Wire
	up          bool
	retired     bool // takes no more pulls and closes after the last one in flight
	open        map[string]*Pull
	endedIDs    map[string]bool // IDs of ended pulls, for which a late or duplicate reply may still arrive
	endedOrder  []string        // of endedIDs, oldest first
	lastSent    float64
	lastReply   float64
	healthCheck *Pull // the health check in flight, if any
}

// NewPool returns a pool that opens its connections by dial.
func NewPool(l Limits, dial func(address string) Wire) *Pool {
	return &Pool{limits: l, dial: dial, nodes: map[string]*node{}, conns: map[Wire]*conn{}, probes: map[string]*Pull{}}
}

// SetNode adds or updates a node. If its address or the start time of its process has changed, its connections are
// retired and new ones opened, also for the pulls that wait on the retired ones: whoever answers at the old address now
// may be another node.
func (p *Pool) SetNode(id, address string, startedAt, now float64) {
	n := p.nodes[id]
	if n == nil {
		n = &node{id: id}
		p.nodes[id] = n
	}
	moved := n.address != address || n.startedAt != startedAt
	if moved {
		p.retireConns(n)
	}
	n.address, n.startedAt, n.excluded, n.removed = address, startedAt, false, false
	if moved {
		p.moveQueued(n, now, func(c *conn) bool { return c.retired })
	}
}

// ExcludeNode stops all new traffic to a node, health checks included.
func (p *Pool) ExcludeNode(id string) {
	if n := p.nodes[id]; n != nil {
		n.excluded = true
	}
}

// RemoveNode removes a node. Pulls in flight to it continue.
func (p *Pool) RemoveNode(id string) {
	if n := p.nodes[id]; n != nil {
		n.excluded, n.removed = true, true
		p.retireConns(n)
		p.deleteIfRemoved(n)
	}
}

// deleteIfRemoved deletes a removed node that has no connections left. Lists keep bringing new nodes, so the map would
// grow without bound otherwise.
func (p *Pool) deleteIfRemoved(n *node) {
	if n.removed && len(n.conns) == 0 {
		delete(p.nodes, n.id)
	}
}

// retireConns retires all connections to a node.
func (p *Pool) retireConns(n *node) {
	for _, c := range n.conns {
		c.retired = true
		p.closeIfDrained(c)
	}
}

// closeIfDrained closes a retired connection that has no pulls in flight.
func (p *Pool) closeIfDrained(c *conn) {
	if c.retired && len(c.open) == 0 {
		c.wire.Close()
	}
}

// Pull sends a pull. TakeResults reports its result, immediately if it can't be sent.
func (p *Pool) Pull(pull *Pull, now float64) {
	p.send(pull, appendCommand(make([]byte, 0, 256), []string{"GET", pull.ID, pull.Fields}, pull.Body.Len()), now)
}

// send puts a pull on a connection. If that connection has closed, with its Down event still to come, or its write queue
// is full, it tries another one, which is safe because nothing was sent.
func (p *Pool) send(pull *Pull, head []byte, now float64) {
	c := p.pickConn(pull, now)
	if c == nil {
		// The pool is out of connections, which isn't a failure of the node.
		p.finish(pull, Result{Status: router.NeverSent, At: now})
		return
	}
	if !p.sendOn(c, pull, head, now) {
		p.send(pull, head, now)
	}
}

// sendOn queues a pull on a connection; false if the connection accepts no more, in which case it is retired.
func (p *Pool) sendOn(c *conn, pull *Pull, head []byte, now float64) bool {
	if len(c.open) == 0 && !math.IsInf(c.lastReply, -1) {
		pull.idleBefore = now - c.idleSince()
		p.reuse.record(pull.idleBefore, now, true, false)
	}
	pull.conn, c.open[pull.ID], c.lastSent, pull.sentAt = c, pull, now, now
	pull.command = &Command{head: head}
	if pull.Body.Len() > 0 {
		pull.command.body = pull.Body.Retain()
	}
	if c.wire.Send(pull.command) {
		return true
	}
	c.retired = true
	delete(c.open, pull.ID)
	p.closeIfDrained(c)
	return false
}

// pickConn returns a connection for a pull, or nil if there is none.
//
// It prefers the connection with the fewest pulls in flight, and opens new ones while the node has few, because a
// connection that breaks or stalls takes all pulls on it along. It skips connections on which a late or duplicate reply
// to an earlier pull of the same download may still arrive, as the two replies have the same ID, and connections with a
// health check in flight, which may be dead. A responsive connection goes first even if it is busy, since a new one may
// be slow to come up; the new one is opened for later pulls. A connection that has been silent for longer than replies
// usually take may be dead, and connecting anew finds that out sooner.
func (p *Pool) pickConn(pull *Pull, now float64) *conn {
	n := p.nodes[pull.Node]
	if n == nil {
		return nil
	}
	var best *conn
	bestReady, connecting := false, false // whether best is responsive; whether a connection is being set up
	for _, c := range slices.Clone(n.conns) {
		p.retireIfIdle(c, now)
		connecting = connecting || !c.up && !c.retired
		if c.retired || c.healthCheck != nil || len(c.open) >= p.limits.PullsPerConn ||
			c.open[pull.ID] != nil || c.endedIDs[pull.ID] || pull.usedConn(c) {
			continue
		}
		if ready := c.responsive(p, now); best == nil || ready && !bestReady || ready == bestReady &&
			(len(c.open) < len(best.open) || len(c.open) == len(best.open) && c.lastReply > best.lastReply) {
			best, bestReady = c, ready
		}
	}
	if best != nil && (len(best.open) == 0 || len(n.conns) >= p.connsPerNode()) {
		return best
	}
	if bestReady {
		if !connecting && !p.closed && len(p.conns) < p.limits.Conns {
			p.connect(n, now)
		}
		return best
	}
	if p.closed || len(p.conns) >= p.limits.Conns && (best != nil || !p.evictIdle()) {
		if best == nil {
			p.Exhausted++
		}
		return best
	}
	return p.connect(n, now)
}

// responsive reports whether a connection is up and has not been silent for longer than replies usually take.
func (c *conn) responsive(p *Pool, now float64) bool {
	if !c.up || len(c.open) == 0 {
		return c.up
	}
	oldestSent := math.Inf(1)
	for _, pull := range c.open {
		oldestSent = min(oldestSent, pull.sentAt)
	}
	return now-max(oldestSent, c.lastReply) <= cmp.Or(p.meanAnswer, p.limits.AnswerTimeout)
}

// connect opens a connection to a node.
func (p *Pool) connect(n *node, now float64) *conn {
	c := &conn{node: n, wire: p.dial(n.address), open: map[string]*Pull{}, endedIDs: map[string]bool{}, lastSent: now,
		lastReply: math.Inf(-1)}
	n.conns = append(n.conns, c)
	p.conns[c.wire] = c
	p.Dialed++
	return c
}

// moveQueued moves the pulls that wait on some connections of a node to others. They were never written, so nothing is
// sent twice.
func (p *Pool) moveQueued(n *node, now float64, from func(*conn) bool) {
	for _, c := range slices.Clone(n.conns) {
		if !from(c) {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(c.open)) {
			if pull := c.open[id]; !pull.healthCheck && c.wire.Remove(pull.command) {
				delete(c.open, id)
				p.send(pull, pull.command.head, now)
			}
		}
		p.closeIfDrained(c)
	}
}

// connsPerNode returns how many connections a node may have before its pulls share them. It is half of the node's
// equal share, which leaves room for nodes that need more.
func (p *Pool) connsPerNode() int {
	return max(1, min(maxConnsPerNode, p.limits.Conns/(2*max(1, len(p.nodes)))))
}

// maxConnsPerNode is the upper bound of connsPerNode.
const maxConnsPerNode = 16

// usedConn reports whether an earlier pull of the same download used a connection.
func (q *Pull) usedConn(c *conn) bool {
	for earlier := q.Previous; earlier != nil; earlier = earlier.Previous {
		if earlier.conn == c {
			return true
		}
	}
	return false
}

// evictIdle closes the least recently used connection with no pulls in flight; false if there is none.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, c := range p.sortedConns() {
		if len(c.open) == 0 && (oldest == nil || c.lastSent < oldest.lastSent) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	p.removeConn(oldest)
	oldest.wire.Close()
	return true
}

// removeConn deletes a connection from the pool and from its node.
func (p *Pool) removeConn(c *conn) {
	delete(p.conns, c.wire)
	for i, o := range c.node.conns {
		if o == c {
			c.node.conns = append(c.node.conns[:i], c.node.conns[i+1:]...)
			break
		}
	}
	p.deleteIfRemoved(c.node)
}

// maxEndedIDs bounds the IDs of ended pulls that a connection remembers, which cover some seconds.
const maxEndedIDs = 256

// rememberEnded adds the ID of an ended pull and drops the oldest one if there are too many.
func (c *conn) rememberEnded(id string) {
	if c.endedIDs[id] {
		return
	}
	if len(c.endedOrder) == maxEndedIDs {
		delete(c.endedIDs, c.endedOrder[0])
		c.endedOrder = append(c.endedOrder[:0], c.endedOrder[1:]...)
	}
	c.endedIDs[id] = true
	c.endedOrder = append(c.endedOrder, id)
}

// Cancel cancels a pull. TakeResults reports it with the given status, or as never sent (or not connected) if it
// provably wasn't written.
func (p *Pool) Cancel(pull *Pull, status router.Status, now float64) {
	if pull.ended {
		return
	}
	c := pull.conn
	if c.wire.Remove(pull.command) {
		if status = router.NeverSent; !c.up {
			status = router.NotConnected
		}
	} else if c.wire.Stuck() && pull.command.state.Load() == stateWriting {
		// The rest of the command could reach the node long after the client got its answer, or after a drain or a purge.
		// Closing the connection prevents that, and proves that its unwritten pulls never ran.
		c.retired = true
		c.wire.Close()
	} else {
		// A connection that was silent for the whole time-out of a pull may lead to a dead machine. A new connection
		// finds that out sooner than the time-out of the next pull.
		if status == router.TimedOut && c.lastReply < pull.sentAt {
			c.retired = true
		}
		drop := &Command{head: appendCommand(nil, []string{"DROP", pull.ID}, -1)}
		if p.probes[pull.ID] == nil && !c.wire.Send(drop) {
			c.retired = true
		}
	}
	p.finish(pull, Result{Status: status, At: now})
	p.closeIfDrained(c)
}

// Recall cancels a pull that must not be sent any more, if it is still queued. If it is being written on a stuck
// connection, it would go out once the node reads again, so the connection is closed, as in Cancel.
func (p *Pool) Recall(pull *Pull, now float64) {
	switch {
	case pull.ended:
	case pull.conn.wire.Remove(pull.command):
		p.finish(pull, Result{Status: router.NeverSent, At: now})
		p.closeIfDrained(pull.conn)
	case pull.command.state.Load() == stateWriting && pull.conn.wire.Stuck():
		pull.conn.retired = true
		pull.conn.wire.Close()
	}
}

// RecallMatching recalls the matching pulls that are still queued, for instance on a connection that is slow to come
// up, since a drain or a purge applies to them too. They never ran, so they may be sent again at once.
func (p *Pool) RecallMatching(match func(*Pull) bool, now float64) {
	for _, c := range p.sortedConns() {
		for _, id := range slices.Sorted(maps.Keys(c.open)) {
			if pull := c.open[id]; match(pull) {
				p.Recall(pull, now)
			}
		}
	}
}

// Probe asks a node for its health, and for its load if the limits say so. TakeResults reports the result.
func (p *Pool) Probe(id string, now float64) *Pull {
	name := "PING"
	if p.limits.RequestLoad {
		name = "LOAD"
	}
	p.lastProbeID++
	pull := &Pull{ID: "p" + strconv.Itoa(p.lastProbeID), Node: id}
	p.probes[pull.ID] = pull
	p.send(pull, appendCommand(nil, []string{name, pull.ID}, -1), now)
	return pull
}

// finish records the result of a pull, a probe or a health check.
func (p *Pool) finish(pull *Pull, e Result) {
	assert.That(!pull.ended, "a pull ends only once")
	if pull.ended {
		e.Body.Release()
		return
	}
	pull.ended = true
	if c := pull.conn; c != nil {
		delete(c.open, pull.ID)
		if c.rememberEnded(pull.ID); c.healthCheck == pull {
			c.healthCheck = nil
		}
	}
	if e.Pull = pull; p.probes[pull.ID] == pull {
		e.ProbedNode = pull.Node
		delete(p.probes, pull.ID)
	}
	if pull.healthCheck {
		return
	}
	p.results = append(p.results, e)
}

// TakeResults returns the results since the last call and clears them.
func (p *Pool) TakeResults() []Result {
	e := p.results
	p.results = nil
	return e
}

// statusByReply maps the word of a reply to the status of its pull or probe.
var statusByReply = map[string]router.Status{
	"DONE": router.Fulfilled, "KEEP": router.Fulfilled, "LACK": router.Missed, "WAIT": router.Rejected,
	"BROKE": router.Failed, "PAST": router.NeverSent, "FIT": router.Fulfilled, "UNFIT": router.Failed,
}

// noteByResult maps the field res of a reply to a note for the router.
var noteByResult = map[string]router.AnswerSource{
	"warm": router.Hit, "fill": router.FilledBySource, "piggy": router.JoinedFill, "aged": router.StaleHit,
}

// Handle processes an event of a wire.
func (p *Pool) Handle(e Event) {
	switch e := e.(type) {
	case Up:
		if c := p.conns[e.Wire]; c != nil {
			c.up = true
			p.moveQueued(c.node, e.At, func(c *conn) bool { return !c.up })
		}
	case Replied:
		p.handleReply(e)
	case Down:
		if e.Err != nil {
			p.Malformed++
		}
		c := p.conns[e.Wire]
		if c == nil {
			return
		}
		p.removeConn(c)
		p.connLost(c, e.WasUp, e.At)
	}
}

// connLost ends all pulls in flight on a closed connection. A pull that was written completely may have run; one that was
// not never will. If the connection never came up, the pulls fail as not connected, which counts against the node.
func (p *Pool) connLost(c *conn, up bool, now float64) {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		pull, status := c.open[id], router.NotConnected
		if pull.command.state.Load() != stateQueued {
			status = router.Broken
			if pull.idleBefore > 0 && c.lastReply < pull.sentAt && now-pull.sentAt < p.limits.AnswerTimeout {
				p.reuse.record(pull.idleBefore, now, false, true)
			}
		} else if up {
			status = router.NeverSent
		}
		p.finish(pull, Result{Status: status, At: now})
	}
}

// failConn closes a connection that sent an invalid reply or has stalled.
func (p *Pool) failConn(c *conn, now float64) {
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		// Queued pulls are removed first, so that they aren't written while the connection closes.
		if pull := c.open[id]; c.wire.Remove(pull.command) {
			p.finish(pull, Result{Status: router.NeverSent, At: now})
		}
	}
	c.wire.Close()
	p.removeConn(c)
	p.connLost(c, true, now)
}

// handleReply validates a reply and ends the pull or the probe that it belongs to.
func (p *Pool) handleReply(e Replied) {
	c, reply := p.conns[e.Wire], e.Reply
	if c == nil {
		reply.Body.Release()
		return
	}
	c.lastReply = e.At
	pull := c.open[reply.ID]
	if pull == nil {
		p.LateReplies++ // a duplicate, or a reply to a dropped or unknown pull; harmless
		reply.Body.Release()
		return
	}
	status, known := statusByReply[reply.Word]
	_, isProbe := p.probes[reply.ID]
	fields, readable := parseFields(reply.Fields)
	createdAt, hasTime := parseTime(fields["t0"])
	complete := status != router.Fulfilled || isProbe || !pull.RequireCopy || hasTime && isChecksum(fields["sum"])
	validKeep := reply.Word != "KEEP" || pull.ClientSum != "" && fields["sum"] == pull.ClientSum && reply.Body.Len() == 0
	if !known || !readable || isProbe != (reply.Word == "FIT" || reply.Word == "UNFIT") || !validKeep || !complete {
		// After one invalid reply, no later reply on this connection can be trusted.
		p.Malformed++
		reply.Body.Release()
		p.failConn(c, e.At)
		return
	}
	switch {
	case reply.Truncated:
		p.Exhausted++
		status = router.Broken
	case status == router.Fulfilled && pull.RequireCopy && !isProbe && pull.MaxAge > 0 &&
		createdAt < pull.sentAt-pull.MaxAge-ageTolerance:
		p.TooOld++
		status = router.Failed
	case status == router.Fulfilled && pull.RequireCopy && !isProbe && p.OldestAllowed != nil && createdAt < p.OldestAllowed(pull):
		p.TooOld++
		status = router.Failed
	}
	end := Result{Status: status, Note: noteByResult[fields["res"]], Load: p.parseLoad(fields["gauges"]),
		KeepClientCopy: reply.Word == "KEEP", At: e.At}
	if status == router.Fulfilled && !end.KeepClientCopy {
		end.Body = reply.Body
	} else {
		reply.Body.Release()
	}
	if !isProbe {
		p.meanAnswer += (e.At - pull.sentAt - p.meanAnswer) / 32
	}
	p.finish(pull, end)
	p.closeIfDrained(c)
}

// ageTolerance is by how many ms clock skew between two machines, and rounding, may make a copy look too old.
const ageTolerance = 50.0

// healthCheckFactor is for how many times the average reply time a connection may be silent before it gets a health check.
// Without it, each large object that takes longer than the connect timeout would cause a check, a cost that adds up over
// all gateways.
const healthCheckFactor = 3.0

// CheckStalled finds connections that have stalled in the middle of a reply or gone silent, and fails them as a whole
// before their pulls time out one by one. A node that is only slow replies to the health check.
func (p *Pool) CheckStalled(now float64) {
	delayed := now-p.lastWatch > p.limits.AnswerTimeout/2 // this process was paused and may have unread data
	if p.lastWatch = now; delayed {
		return
	}
	for _, c := range p.sortedConns() {
		if len(c.open) == 0 || !c.up || c.node.excluded {
			continue
		}
		oldestSent := math.Inf(1)
		for _, pull := range c.open {
			if pull.command.state.Load() == stateWritten {
				oldestSent = min(oldestSent, pull.sentAt)
			}
		}
		lastRead, midReply := c.wire.LastRead()
		silentFor := now - max(oldestSent, lastRead)
		switch {
		case midReply && now-lastRead > p.limits.AnswerTimeout,
			c.healthCheck != nil && now-max(c.healthCheck.sentAt, lastRead) > p.limits.AnswerTimeout:
			p.Stalled++
			p.failConn(c, now)
		case c.healthCheck != nil && lastRead > c.healthCheck.sentAt:
			p.finish(c.healthCheck, Result{Status: router.Cancelled, At: now}) // any data shows that the node is alive
			p.closeIfDrained(c)
		case c.healthCheck == nil && p.limits.HealthChecks && silentFor > max(p.limits.AnswerTimeout, healthCheckFactor*p.meanAnswer):
			c.healthCheck = p.sendHealthCheck(c, now)
		}
	}
}

// sortedConns returns all connections in the order of their nodes' names.
func (p *Pool) sortedConns() (all []*conn) {
	for _, name := range slices.Sorted(maps.Keys(p.nodes)) {
		all = append(all, p.nodes[name].conns...)
	}
	return all
}

// sendHealthCheck sends a PING on one connection; nil if it can't be sent. The pool handles the result itself.
func (p *Pool) sendHealthCheck(c *conn, now float64) *Pull {
	p.lastProbeID++
	pull := &Pull{ID: "p" + strconv.Itoa(p.lastProbeID), Node: c.node.id, healthCheck: true}
	p.probes[pull.ID] = pull
	if !p.sendOn(c, pull, appendCommand(nil, []string{"PING", pull.ID}, -1), now) {
		delete(p.probes, pull.ID)
		return nil
	}
	return pull
}

// parseLoad parses a load report. Values that aren't finite numbers are skipped: reports are unreliable, and a bad one
// must not fail a download.
func (p *Pool) parseLoad(text string) map[string]float64 {
	if text == "" {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if n, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			load[p.limits.GaugeName(name)] = n
		}
	}
	return load
}

// CloseIdle closes connections that have been idle for too long.
func (p *Pool) CloseIdle(now float64) {
	for _, c := range p.sortedConns() {
		p.retireIfIdle(c, now)
	}
}

// retireIfIdle closes an idle connection shortly before its peer would. A pull that crosses the peer's close is written
// completely, so it can't be known whether it ran. The same applies if a device on the path drops idle connections sooner.
func (p *Pool) retireIfIdle(c *conn, now float64) {
	if idle := now - c.idleSince(); len(c.open) == 0 && (idle > 0.9*p.limits.IdleTimeout || idle > p.reuse.maxIdle(now)) {
		c.retired = true
		p.closeIfDrained(c)
	}
}

// idleSince returns the time of the last command or reply on a connection.
func (c *conn) idleSince() float64 { return max(c.lastSent, c.lastReply) }

// InFlight returns the number of pulls in flight to a node, probes not counted.
func (p *Pool) InFlight(id string) (open int) {
	if n := p.nodes[id]; n != nil {
		for _, c := range n.conns {
			for tag := range c.open {
				if p.probes[tag] == nil {
					open++
				}
			}
		}
	}
	return open
}

// Conns returns the number of connections.
func (p *Pool) Conns() int { return len(p.conns) }

// Close closes all connections; no new ones are opened.
func (p *Pool) Close() {
	p.closed = true
	for w := range p.conns {
		w.Close()
	}
}
