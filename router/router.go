package router

// This file holds the decisions of the router: which edge cache a download is pulled from, which node fills a
// miss, whether the copy is kept, and when to pull again, throttle or abandon. Leave Copy Down decides the
// ordinary path (Download.offerNext, HolderTable); docs/design.md describes where and why other code steps in.
// The components (Download, Node, HolderTable, PurgeTable) communicate only by messages in a queue, which the
// loop of Handle empties.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// statsWindow is the time in ms over which the health of nodes is judged, and statsBuckets its number of buckets:
// long enough for some dozen pulls per node, short enough that a crash shows.
const statsWindow, statsBuckets = 4000.0, 8

// Handle processes one event at the time now and returns the resulting actions, which are valid until the next
// call. It resolves ids to components and delivers messages until the queue is empty.
func (r *Router) Handle(now float64, e Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	switch e := e.(type) {
	case Started:
		r.start(e)
	case NodesListed:
		r.applyList(e)
	case DownloadArrived:
		r.arrive(e)
	case PullEnded:
		if d := r.downloads[e.ID]; d != nil && e.Pull >= 0 && e.Pull < len(d.pulls) && d.pulls[e.Pull].inFlight {
			r.post(message{to: d, kind: msgEnded, pull: d.pulls[e.Pull], event: e})
		}
	case Streaming:
		if d := r.downloads[e.ID]; d != nil {
			d.streaming = true
		}
	case ClientGone:
		if d := r.downloads[e.ID]; d != nil {
			// While fills are late, the fill of a client that left continues: a repeated request would otherwise
			// start it over each time and it would never complete.
			d.streaming = d.streaming || !d.write && r.zoneGateways < 3 && !r.fillLimiter.calm(r)
			d.finish(r)
		}
	case TimerFired:
		if m, ok := r.timers[e.Token]; ok {
			delete(r.timers, e.Token)
			r.post(m)
		}
	case Purged:
		r.post(message{to: &r.purges, kind: msgPurged, event: e})
		r.post(message{to: &r.holders, kind: msgPurged, event: e})
	case Probed:
		if n := r.nodes[e.Node]; n != nil {
			r.post(message{to: n, kind: msgProbed, event: e})
		}
	}
	for len(r.queue) > 0 {
		m := r.queue[0]
		r.queue = r.queue[1:]
		m.to.receive(r, m)
	}
	return r.actions
}

// start reads the settings.
func (r *Router) start(e Started) {
	r.settings, r.startedAt, r.random = e.Settings, r.now, Chance(e.Seed|1)
	zoneIndex := slices.Index(r.settings.list("zones"), any(r.settings.text("zone")))
	// Without a count for its zone, this gateway counts as one of all gateways: a cold cache then gets less than it
	// can take, by a factor of the number of zones. Without any count it assumes that it is alone; if it is not,
	// the gateways together send the budget times their number.
	r.zoneGateways = max(1, cmp.Or(r.settings.numAt("gateways by zone", zoneIndex), r.settings.num("gateways")))
	for i := range r.settings.list("types") {
		t := &ContentType{name: r.settings.textAt("types", i), effectClass: r.settings.textAt("repeat", i),
			dedupeScope: r.settings.textAt("dedupe group", i), dedupeWindow: r.settings.numAt("dedupe window", i),
			freshFor: r.settings.numAt("fresh", i), staleGrace: r.settings.numAt("grace", i),
			targetTime: r.settings.numAt("target", i), stretch: r.settings.numAt("stretch", i),
			benefit: cmp.Or(max(0, r.settings.numAt("benefit", i)), 1), write: r.settings.flagAt("writes", i),
			transferCount: NewRing(4*statsWindow, statsBuckets), transferTime: NewRing(4*statsWindow, statsBuckets)}
		r.types[t.name] = t
	}
	if r.settings.text("list") == "asked" {
		r.emit(WatchNodes{})
	}
}

// applyList passes each entry of a list of nodes to its node and reports as gone the nodes that a whole list leaves out.
func (r *Router) applyList(e NodesListed) {
	if e.Scope == ListUnavailable {
		r.setTimer(r.now+statsWindow/statsBuckets, message{to: listRetrier{}, kind: msgTimerFired})
		return
	}
	listedNodes := map[string]bool{}
	// Lists bring new nodes all day, so a node that has been gone for long is forgotten. One that returns sooner
	// keeps the charges against its cold budget.
	r.sortedNodes = slices.DeleteFunc(r.sortedNodes, func(n *Node) bool {
		expired := n.state == Gone && r.now > n.changedAt+4*statsWindow+r.settings.num("fall time")
		if expired {
			delete(r.nodes, n.id)
		}
		return expired
	})
	for _, entry := range e.Entries {
		listedNodes[entry.Node] = true
		n := r.nodes[entry.Node]
		if n == nil {
			n = newNode(entry.Node)
			r.nodes[n.id] = n
			i, _ := slices.BinarySearchFunc(r.sortedNodes, n, func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
			r.sortedNodes = slices.Insert(r.sortedNodes, i, n)
		}
		r.post(message{to: n, kind: msgListed, event: entry})
	}
	for _, n := range r.sortedNodes {
		if e.Scope != ListChanges && !listedNodes[n.id] {
			r.post(message{to: n, kind: msgListed, event: Entry{Node: n.id, State: Gone}})
		}
	}
}

// meanTransferTime is the mean time in ms to send one object of this type without load; half the target time
// until some transfers were seen.
func (t *ContentType) meanTransferTime(now float64) float64 {
	if n := t.transferCount.Sum(now); n > 0 {
		return t.transferTime.Sum(now) / n
	}
	return t.targetTime / 2
}

// hashWeight is a node's listed weight where that states its capacity, else 1: a weight that also reflects the
// load would move objects between caches.
func (r *Router) hashWeight(n *Node) float64 {
	if w := r.settings.text("weights"); (w == "nominal" || w == "rough") && n.weight > 0 {
		return n.weight
	}
	return 1
}

// rankByHash sorts nodes by weighted rendezvous hashing: a node that leaves moves only its own objects, and all
// gateways agree on the order.
func (r *Router) rankByHash(nodes []*Node, key uint64) []*Node {
	scores := make(map[*Node]float64, len(nodes))
	for _, n := range nodes {
		scores[n] = -r.hashWeight(n) / math.Log((float64(mix(n.hash^key)>>11)+0.5)/(1<<53))
	}
	slices.SortStableFunc(nodes, func(a, b *Node) int { return cmp.Compare(scores[b], scores[a]) })
	return nodes
}

// arrive creates the download for a request and ranks the edge caches and parents for its object.
func (r *Router) arrive(e DownloadArrived) {
	t := r.types[e.Type]
	if t == nil {
		r.emit(Abandon{ID: e.ID})
		r.log("unknown content type " + e.Type)
		return
	}
	d := &Download{id: e.ID, typ: t, key: objectKey{e.Object, e.Part}, group: e.Group, expiry: e.Expiry,
		arrivedAt: r.now, write: e.Write || t.write, prefetch: e.PrefetchNode != ""}
	if flow := r.settings.num("flow"); flow > 0 && e.Size > 0 {
		d.transferTime = 1000 * e.Size / flow
		t.transferCount.Add(r.now, 1)
		t.transferTime.Add(r.now, d.transferTime)
	}
	r.downloads[d.id] = d
	key := hash(e.Object, fmt.Sprint(e.Part))
	d.edges = r.rankByHash(r.nodesByRole(edge, r.settings.text("zone")), key)
	if !d.write {
		d.parents = r.rankByHash(r.nodesByRole(parent, ""), mix(key))
	}
	if d.prefetch {
		// No client waits for a prefetch: it does not count as demand, and goes only to the cache that it fills.
		d.edges = slices.DeleteFunc(d.edges, func(n *Node) bool { return n.id != e.PrefetchNode })
		r.post(message{to: d, kind: msgArrived})
		return
	}
	r.requestedTime.Add(r.now, t.meanTransferTime(r.now))
	r.requestedBenefit.Add(r.now, t.benefit)
	if len(d.edges) > 1 {
		first, second, inFlight, weight := d.edges[0], d.edges[1], 0, 0.0
		for _, n := range d.edges {
			inFlight += n.limiter.inFlight
			weight += r.hashWeight(n)
		}
		// A hot object may use two caches. So may any object while its first cache has more pulls in flight than its
		// share: a small or slow cache would otherwise queue what its neighbour could answer. The one pull of
		// tolerance keeps rarely requested objects at their first cache.
		isHot := !d.write && r.holders.isHot(r, d)
		fairShare := float64(inFlight) * r.hashWeight(first) / weight
		if first.limiter.inFlight > second.limiter.inFlight &&
			(isHot || float64(first.limiter.inFlight) > 1.25*fairShare+1) {
			d.edges[0], d.edges[1] = second, first
		}
	}
	r.post(message{to: d, kind: msgArrived})
}

// receive handles a message to a download; a message without a case of its own makes it offer its next pull.
func (d *Download) receive(r *Router, m message) {
	if d.prefetch && (m.kind == msgDeclined || m.kind == msgLimiterFull || len(d.edges) == 0) && !d.done {
		d.giveUp(r) // downloads that clients wait for go first
		return
	}
	switch m.kind {
	case msgSecondCopyDue:
		// The answer may never come, so another node is asked for a second copy, while repeated pulls are few and
		// hardly any answer is late: under congestion every pull takes long. An object that has grown since costs
		// one needless pull.
		allowed := r.retryTime.Sum(r.now) < 0.02*r.requestedTime.Sum(r.now) && r.fillLimiter.calm(r) &&
			m.pull.node.limiter.calm(r)
		if m.pull.overtaken = allowed && m.pull.inFlight && !d.done && len(d.pulls) == 1; m.pull.overtaken {
			d.offerNext(r)
		}
	case msgDeclined:
		d.declinedBy = append(d.declinedBy, m.from)
		d.offerNext(r)
	case msgLimiterFull:
		sourceFull := m.from != m.pull.node
		if sourceFull && r.fillLimiter.failures.Sum(r.now) > 0.5*r.fillLimiter.lateAnswers.Sum(r.now) &&
			d.mayAskHeld(m.pull) {
			m.pull.onlyHeld = true
			r.post(message{to: m.pull.node, kind: msgOffered, pull: m.pull})
		} else if !(sourceFull && (d.askSibling(r, m.pull.node) || d.lookUpHeld(r, m.pull.node)) ||
			!sourceFull && d.bypassEdge(r)) {
			d.retryLater(r)
		}
	case msgGranted:
		d.send(r, m.pull)
	case msgEnded:
		d.pullEnded(r, m.pull, m.event.(PullEnded))
	case msgOverdue:
		if m.pull.late = m.pull.inFlight; m.pull.late && m.pull.source != m.pull.node {
			r.post(message{to: m.pull.source, kind: msgOverdue, pull: m.pull})
		}
	default:
		if !d.done && !d.hasPullInFlight() {
			d.declinedBy, d.lastResort = nil, false
			d.offerNext(r)
		}
	}
}

// safeToPull reports whether a pull may go to a node without a side effect happening twice.
func (d *Download) safeToPull(r *Router, to *Node) bool {
	for _, p := range d.pulls {
		if !p.mayHaveRun && !p.inFlight || d.typ.effectClass == "retriable" {
			continue
		}
		if d.typ.effectClass != "deduped" || r.now >= p.sentAt+d.typ.dedupeWindow ||
			d.typ.dedupeScope == "zone" && p.node.zone != to.zone ||
			d.typ.dedupeScope == "cell" && p.node.cell != to.cell {
			return false
		}
	}
	return true
}

// offerNext offers the next pull to the edge cache that was tried least, the first of these in hash order. Its
// miss is to be filled by the first parent in hash order, else by the origin.
func (d *Download) offerNext(r *Router) {
	if d.done {
		return
	}
	if d.expiry-r.now <= 1 || len(d.pulls) >= int(r.settings.num("most pulls")) {
		d.giveUp(r)
		return
	}
	origins := r.nodesByRole(origin, "")
	sources := append(slices.Clone(d.parents), origins...)
	node := d.leastTried(r, d.edges, func(p *pull) *Node { return p.node })
	source := d.leastTried(r, sources, func(p *pull) *Node { return p.source })
	if r.settings.flag("direct") && (d.write || node == nil) {
		node, source = source, d.leastTried(r, origins, func(p *pull) *Node { return p.source })
	}
	parentAway := len(d.parents) > 0 && source != d.parents[0]
	if node != nil && (parentAway && d.askSibling(r, node) || source == nil && d.lookUpHeld(r, node)) {
		return
	}
	if node != nil && source != nil && d.safeToPull(r, node) {
		p := &pull{download: d, node: node, source: source, cost: d.typ.meanTransferTime(r.now),
			lastResort: d.lastResort}
		p.onlyHeld = r.zoneGateways > 2 && d.typ.freshFor == 0 && !r.holders.parentHolds(r, p) && d.mayAskHeld(p)
		r.post(message{to: node, kind: msgOffered, pull: p})
	} else if !d.lastResort {
		d.declinedBy, d.lastResort = nil, true
		d.offerNext(r)
	} else {
		d.retryLater(r)
	}
}

// lookUpHeld asks an edge cache, once, for a copy that it holds, without a fill, where no source has room: copies
// can be served whatever is congested behind them. A miss costs little, but is one more pull where the edge
// itself is short of capacity.
func (d *Download) lookUpHeld(r *Router, node *Node) bool {
	return node.role == edge && d.offerOnce(r, triedLookup, &pull{node: node, source: node})
}

// bypassEdge pulls from the parent directly, once, where the edge cache has no room: only the edge may be short of
// capacity, as after a release that left few and empty caches. The parent's own limiter bounds these pulls.
func (d *Download) bypassEdge(r *Router) bool {
	node := d.leastTried(r, d.parents, func(p *pull) *Node { return p.node })
	return node != nil && r.settings.flag("direct") && d.offerOnce(r, triedBypass, &pull{node: node, source: node})
}

// askSibling asks an edge cache of another zone, once, for a copy that it holds, where the hashed parent does not
// fill. The sibling takes the place of the tier above, so its copy is kept at the edge. A miss costs a round trip,
// and a hit may come from further away.
func (d *Download) askSibling(r *Router, node *Node) bool {
	if d.triedRoutes&triedSibling != 0 || node.role != edge || r.settings.text("siblings") != "any" {
		return false
	}
	siblings := r.rankByHash(r.nodesByRole(edge, ""), hash(d.key.name, fmt.Sprint(d.key.part)))
	i := slices.IndexFunc(siblings, func(n *Node) bool {
		return n.zone != node.zone && n.state == Running && n.health == healthy && n.warmShare(r) == 1
	})
	return i >= 0 && d.offerOnce(r, triedSibling, &pull{node: node, source: siblings[i], onlyHeld: true})
}

// offerOnce offers a pull by an alternative route, which each read may use once. It reports whether it did.
func (d *Download) offerOnce(r *Router, route int, p *pull) bool {
	if d.write || d.triedRoutes&route != 0 {
		return false
	}
	p.download, p.cost, d.triedRoutes = d, d.typ.meanTransferTime(r.now), d.triedRoutes|route
	r.post(message{to: p.node, kind: msgOffered, pull: p})
	return true
}

// leastTried returns the first in hash order of the nodes tried least. After a failure both the node and the source
// change at once, as most answers don't tell which of the two was at fault.
func (d *Download) leastTried(r *Router, nodes []*Node, nodeOf func(*pull) *Node) *Node {
	best, leastCount := (*Node)(nil), math.MaxInt
	for _, n := range nodes {
		tried := 0
		for _, p := range d.pulls {
			if nodeOf(p) == n && (p.source != p.node || n.role != edge) && !p.onlyHeld {
				tried++
			}
		}
		if tried < leastCount && !slices.Contains(d.declinedBy, n) && d.safeToPull(r, n) {
			best, leastCount = n, tried
		}
	}
	return best
}

// retryLater schedules another attempt for a download that no node accepts now, as long as it could still be
// answered in time; after that it gives up.
func (d *Download) retryLater(r *Router) {
	retryAt := r.now + statsWindow/statsBuckets/5
	if retryAt+d.typ.meanTransferTime(r.now) > min(d.arrivedAt+d.typ.targetTime, d.expiry) {
		d.giveUp(r)
		return
	}
	r.setTimer(retryAt, message{to: d, kind: msgTimerFired})
}

// send emits a pull that both its node and its source granted, or releases it where the download has ended.
func (d *Download) send(r *Router, p *pull) {
	if d.done {
		r.post(message{to: p.node, kind: msgReleased, pull: p})
		r.post(message{to: p.source, kind: msgReleased, pull: p})
		return
	}
	a := Pull{ID: d.id, Node: p.node.id, Source: p.source.id, Timeout: d.expiry - r.now}
	// A connection that is slow to come up must not deliver a repeat after the dedupe window, where it would run again.
	for _, q := range d.pulls {
		remaining := q.sentAt + d.typ.dedupeWindow - r.now
		if d.typ.effectClass == "deduped" && (q.mayHaveRun || q.inFlight) &&
			(a.SendWithin == 0 || remaining < a.SendWithin) {
			a.SendWithin = remaining
		}
	}
	if len(d.pulls) > 0 {
		r.retryTime.Add(r.now, p.cost)
	}
	if !d.write {
		// Leave Copy Down moves a copy down one tier at a time. Where no parent takes the fill, the origin is the tier
		// above the edge, so the copy is kept there: edge caches would otherwise run empty while the parents are away.
		if r.holders.parentHolds(r, p) || p.source.role == origin && p.node.role == edge {
			a.Rank = 1
		}
		if p.onlyHeld {
			d.askedHeld, a.Rank, a.Options = true, 1, HeldOnly
		}
		if r.settings.flag("join") {
			a.Options |= JoinFill
		}
		if d.typ.freshFor > 0 {
			a.Options |= StaleWhileRevalidate
		}
		a.MaxAge = r.purges.maxAge(r, d)
		if (p.source == p.node || r.fillLimiter.overloaded(r) || r.heldLimiter.overloaded(r)) &&
			a.MaxAge == 0 && d.typ.freshFor > 0 {
			a.MaxAge = d.typ.freshFor + d.typ.staleGrace
		}
	}
	r.post(message{to: &r.holders, kind: msgGranted, pull: p})
	p.inFlight, p.sentAt = true, r.now
	// Where sizes differ widely, most objects are smaller than the mean.
	expected := cmp.Or(d.transferTime, 0.75*d.typ.unloadedTime)
	// Without this timer a node that hangs would show only at the expiry, seconds after its peers have answered.
	r.setTimer(r.now+d.typ.targetTime+d.typ.stretch*expected, message{to: d, kind: msgOverdue, pull: p})
	if e := r.holders.entries[d.key]; e != nil && e.hitTime > 0 && r.settings.flag("second copies") &&
		d.typ.effectClass == "retriable" {
		r.setTimer(r.now+d.typ.targetTime+1.5*e.hitTime, message{to: d, kind: msgSecondCopyDue, pull: p})
	}
	d.pulls, d.declinedBy, d.lastResort = append(d.pulls, p), nil, false
	r.emit(a)
}

// mayAskHeld reports whether a pull may ask its source for only what it holds, to be kept at the edge. Where several
// gateways share a zone, each would otherwise send a fill that is not kept before copies build up; where fills have
// no room, such a pull does not depend on a stopped origin. A miss costs a round trip and is charged to a cold cache.
func (d *Download) mayAskHeld(p *pull) bool {
	return !d.write && !d.askedHeld && !p.onlyHeld && p.source.role == parent && p.node.role == edge
}

// NeverRan reports whether a pull that ended with this status is known not to have run.
func (s Status) NeverRan() bool {
	return slices.Contains([]Status{Rejected, NotConnected, NeverSent, Missed}, s)
}

// pullEnded assigns blame for a failed pull, passes the outcome on, and ends the download or offers its next pull.
func (d *Download) pullEnded(r *Router, p *pull, e PullEnded) {
	p.inFlight = false
	// An error counts only once another pull brings the object: one that every node answers with an error, such as
	// an object that does not exist, is no node's fault.
	for _, q := range d.pulls {
		if q.errorPending && e.Status == Fulfilled {
			q.errorPending = false
			r.postToBoth(message{kind: msgErrorConfirmed, pull: q})
		}
	}
	p.errorPending = e.Status == Failed && !p.late && d.typ.effectClass == "retriable"
	// Answers don't tell whose fault a failure is, so the blame is split by how much else each of the two has failed.
	// A connection that broke or was not made is the fault of the node that was pulled from.
	if nodeShare, sourceShare := p.node.failureShare(r.now), p.source.failureShare(r.now); e.Status != NotConnected &&
		e.Status != Broken {
		p.sourceBlame = sourceShare / (nodeShare + sourceShare)
	}
	// A fill that is turned away only after the time that connecting may take means that its source can't be reached:
	// neither the link nor the edge cache is at fault.
	connectTime := r.settings.num("connect time")
	if p.sourceUnreachable = e.Status == Rejected && p.source != p.node &&
		connectTime > 0 && r.now-p.sentAt >= connectTime; p.sourceUnreachable {
		p.sourceBlame = 1
	}
	p.mayHaveRun = !e.Status.NeverRan()
	r.postToBoth(message{kind: msgEnded, pull: p, event: e})
	if !d.write {
		r.post(message{to: &r.holders, kind: msgOutcome, pull: p, event: e})
	}
	if e.Status == Fulfilled && !d.write && d.transferTime == 0 && (e.AnswerSource == Hit || e.AnswerSource == SourceUnknown) {
		d.typ.transferCount.Add(r.now, 1)
		d.typ.transferTime.Add(r.now, e.Duration)
		// Lateness is measured against the lowest mean seen, once it is of enough samples: congestion must not raise the
		// bar by which it is detected.
		mean := d.typ.meanTransferTime(r.now)
		if d.typ.samples++; d.typ.samples < 50 || mean < d.typ.unloadedTime {
			d.typ.unloadedTime = mean
		}
		d.typ.unloadedTime += (mean - d.typ.unloadedTime) / 1000
	}
	if e.DownloadDone {
		d.finish(r)
	} else if !d.done && !d.hasPullInFlight() && !d.streaming {
		if p.onlyHeld && e.Status == Missed {
			r.retryTime.Add(r.now, -p.cost)
		} else if r.retryTime.Sum(r.now) > p.cost+0.3*r.requestedTime.Sum(r.now) {
			d.giveUp(r)
			return
		}
		d.offerNext(r)
	} else if d.done && !d.hasPullInFlight() {
		delete(r.downloads, d.id)
	}
}

// giveUp sends the final answer where no pull will bring one. A throttling reply promises that trying again does no
// harm, so it requires that no pull can have run, or a content type for which that does not matter.
func (d *Download) giveUp(r *Router) {
	if d.hasPullInFlight() {
		return // no node had room for a second copy; the first pull may still answer
	}
	harmless := d.typ.effectClass == "retriable" || d.typ.effectClass == "deduped" && d.typ.dedupeScope == "all"
	if harmless || !slices.ContainsFunc(d.pulls, func(p *pull) bool { return p.mayHaveRun }) {
		// A client that retries within a tenth of the target time may still be answered in it; a later one cannot.
		r.emit(Throttle{ID: d.id, Wait: min(d.typ.targetTime/10, r.settings.num("longest advice"))})
	} else {
		r.emit(Abandon{ID: d.id})
	}
	d.finish(r)
}

// finish marks a download as answered, cancels its pulls in flight where the deployment allows that, and forgets it
// once no pull is in flight.
func (d *Download) finish(r *Router) {
	d.done = true
	for i, p := range d.pulls {
		if p.inFlight && r.settings.flag("call off") && !d.streaming {
			r.emit(CancelPull{ID: d.id, Pull: i})
		}
	}
	if !d.hasPullInFlight() {
		delete(r.downloads, d.id)
	}
}

// receive handles a message to a node: offers of pulls, their ends, listings and probes.
func (n *Node) receive(r *Router, m message) {
	switch m.kind {
	case msgListed:
		n.applyEntry(r, m.event.(Entry))
	case msgOffered:
		reply := msgGranted
		if !n.admits(r, m.pull) {
			reply = msgDeclined
		} else if !m.pull.download.write && !r.limiterFor(n, m.pull).admits(r, m.pull.download.typ) {
			reply = msgLimiterFull
		}
		if reply != msgGranted {
			if m.pull.source == n && m.pull.node != n {
				r.post(message{to: m.pull.node, kind: msgReleased, pull: m.pull})
			}
			r.post(message{to: m.pull.download, kind: reply, pull: m.pull, from: n})
			return
		}
		n.coldSpent.Add(r.now, m.pull.cost)
		r.limiterFor(n, m.pull).inFlight++
		if m.pull.node == n && m.pull.source != n {
			r.post(message{to: m.pull.source, kind: msgOffered, pull: m.pull})
		} else {
			r.post(message{to: m.pull.download, kind: msgGranted, pull: m.pull})
		}
	case msgReleased:
		n.coldSpent.Add(r.now, -m.pull.cost)
		r.limiterFor(n, m.pull).inFlight--
	case msgEnded:
		n.pullEnded(r, m.pull, m.event.(PullEnded))
	case msgOverdue:
		// An overdue pull counts against its source only, and by half: a slow edge cache still holds copies, and pulls of
		// large objects are overdue too.
		n.failures.Add(r.now, 0.5)
		n.ejectIfFailing(r)
	case msgErrorConfirmed:
		n.failures.Add(r.now, m.pull.blameShare(n))
		n.ejectIfFailing(r)
	case msgProbed:
		n.probeEnded(r, m.event.(Probed))
	case msgTimerFired:
		if !r.settings.flag("probes") { // without probes, elapsed time has to suffice
			n.probeEnded(r, Probed{Status: Fulfilled})
		} else if n.health == ejected && n.state == Running {
			r.emit(Probe{Node: n.id})
		}
	}
}

// applyEntry updates a node from its entry in a list.
func (n *Node) applyEntry(r *Router, e Entry) {
	if e.State == Gone {
		n.state, n.changedAt = Gone, r.now
		return
	}
	if n.state == Gone || n.booted != e.StartedAt {
		// A new process starts without the record of the old one.
		n.successes.Clear()
		n.failures.Clear()
		n.health = healthy
	}
	if n.coldSpent.width == 0 || n.booted != e.StartedAt {
		// A process that merely left the list and returned keeps the charges against its cold budget.
		n.coldSpent = NewRing(max(1, r.settings.num("fall time"))*1.1, 11)
	}
	n.kind, n.zone, n.cell, n.weight, n.booted, n.state = e.Kind, e.Zone, e.Cell, e.Weight, e.StartedAt, e.State
	switch n.role = edge; slices.Index(r.settings.list("kinds"), any(e.Kind)) {
	case int(r.settings.num("parent kind")):
		n.role = parent
	case int(r.settings.num("origin kind")):
		n.role = origin
	}
}

// warmShare is the smallest share of its capacity that a recently started node can have had one window ago, if it
// warms as slowly as the settings allow.
func (n *Node) warmShare(r *Router) float64 {
	initialShare, warmTime := r.settings.num("cold share"), r.settings.num("cold time")
	if n.role == parent {
		initialShare, warmTime = r.settings.num("parent cold share"), r.settings.num("parent cold time")
	}
	if n.booted <= 0 || n.role == origin || warmTime <= 0 {
		return 1
	}
	return min(1, initialShare+(1-initialShare)*max(0, r.now-r.settings.num("fall time")-n.booted)/warmTime)
}

// coldBudget is the transfer time in ms that this gateway may request of a cold node in one window.
func (n *Node) coldBudget(r *Router) float64 {
	multiple, gateways := r.settings.num("fall multiple"), r.settings.num("gateways")
	if n.role == parent {
		multiple = r.settings.num("parent fall multiple")
	} else if n.zone == r.settings.text("zone") {
		gateways = r.zoneGateways
	}
	window := r.settings.num("fall time")
	if w := r.settings.text("weights"); w == "nominal" || w == "rough" {
		return 0.8 * multiple * n.warmShare(r) * n.weight * window / max(1, gateways)
	}
	served, nodes := 0.0, 0.0
	for _, m := range r.sortedNodes {
		if m.role == n.role && m.state != Gone && (m.zone == n.zone || n.role == parent) {
			served += m.served.Sum(r.now)
			nodes++
		}
	}
	return 0.8 * multiple * n.warmShare(r) * served / nodes * window / statsWindow
}

// admits reports whether a node may take a pull by its state, its health and, while it is cold, its budget.
func (n *Node) admits(r *Router, p *pull) bool {
	if n.state != Running {
		return false
	}
	if n.warmShare(r) < 1 {
		// The budget of one of many gateways may be less than one pull: a pseudo-random draw for each window decides
		// whether it is its turn, so that all together spend no more than their shares on average.
		budget, window := n.coldBudget(r), r.settings.num("fall time")
		// A gateway that has just started doesn't know what its previous process spent: at most its share, assumed to
		// be spread evenly over the window, of which less counts with each ms. Spending nothing for a whole window put
		// the entire load on the warm nodes just when this gateway took over from its peers. The assumption fails
		// where that share was spent at once.
		if age := r.now - r.startedAt; age < window && n.booted < r.startedAt {
			budget *= age / window
		}
		draw := mix(n.hash ^ mix(uint64(r.now/window)<<16+uint64(r.settings.num("number"))))
		if p.cost > budget && budget > p.cost*float64(draw>>11)/(1<<53) {
			budget = p.cost
		}
		if n.coldSpent.Sum(r.now)+p.cost > budget {
			return false
		}
	}
	switch n.health {
	case ejected:
		return p.lastResort
	case recovering:
		return p.lastResort || r.random.Float64() < 0.1+(r.now-n.changedAt)/statsWindow
	}
	return true
}

// recordAnswer adapts the limit on this gateway's pulls in flight: while over a quarter of the answers are late, the
// limit falls below what is in flight; each answer in time raises it. With little traffic the limit is below one pull
// and admission is random, so that the many gateways of a zone together are bounded too. It protects against any
// queue, whoever fills it; it does harm where answers are late for other reasons, such as a run of very large objects.
func (l *Limiter) recordAnswer(r *Router, late bool) {
	l.answers.Add(r.now, 1)
	if late {
		l.lateAnswers.Add(r.now, 1)
	} else if float64(l.inFlight+1) > 0.7*l.limit {
		// Where answers are few, a tenth of a pull for each would leave a limiter shut long after the overload; where
		// they are many, the steps add up. Doubling the limit before the limiter is calm would only refill the queue.
		step := min(0.1, 1/l.limit)
		if all := l.answers.Sum(r.now); all < fewAnswers && l.calm(r) {
			step = max(step, l.limit/all)
		}
		l.limit += step
	}
	if r.now >= l.lastCut+statsWindow/8 && l.overloaded(r) {
		l.limit, l.lastCut = max(minZoneLimit/r.zoneGateways, 0.8*min(l.limit, float64(l.inFlight+1))), r.now
	}
}

// admits reports whether a limiter has room for a pull. It prefers types with much benefit for their transfer time:
// to them the limiter looks emptier, by a square root, so that large objects are not shut out under congestion. A
// type whose benefit is set too low suffers from this.
func (l *Limiter) admits(r *Router, t *ContentType) bool {
	cost := t.meanTransferTime(r.now)
	costFactor := math.Sqrt(cost / t.benefit *
		(r.requestedBenefit.Sum(r.now) + t.benefit) / (r.requestedTime.Sum(r.now) + cost))
	return costFactor*(r.random.Float64()+float64(l.inFlight)) < l.limit
}

// overloaded reports whether over a quarter of the recent answers were late.
func (l *Limiter) overloaded(r *Router) bool {
	return l.lateAnswers.Sum(r.now) > 0.5+0.25*l.answers.Sum(r.now)
}

// calm reports whether under a tenth of the recent answers were late.
func (l *Limiter) calm(r *Router) bool { return l.lateAnswers.Sum(r.now) < 0.1*l.answers.Sum(r.now) }

// fewAnswers is the number of answers in a limiter's window of 2 s below which its limit may double.
const fewAnswers = 20.0

// minZoneLimit is how many pulls of all gateways of a zone together may be in flight without forming a queue.
const minZoneLimit = 6

func newLimiter() Limiter {
	return Limiter{limit: 1e9, lateAnswers: NewRing(statsWindow/2, 4), answers: NewRing(statsWindow/2, 4),
		failures: NewRing(statsWindow/2, 4)}
}

// limiterFor returns the limiter for a node's work on a pull: the node's own for pulls sent to it, one that all fills
// share, as they share the link, and another for pulls that ask a source for only what it holds.
func (r *Router) limiterFor(n *Node, p *pull) *Limiter {
	if p.node == n {
		return &n.limiter
	} else if p.onlyHeld {
		return &r.heldLimiter
	}
	return &r.fillLimiter
}

// pullEnded updates a node's limiter, cold budget and health from the end of a pull.
func (n *Node) pullEnded(r *Router, p *pull, e PullEnded) {
	limiter := r.limiterFor(n, p)
	limiter.inFlight--
	if e.Status == Fulfilled {
		n.served.Add(r.now, p.cost)
		if n != p.node && e.AnswerSource == Hit {
			// The source was not asked after all: its charge is returned, and the answer says nothing about its health.
			if p.sentAt > n.booted {
				n.coldSpent.Add(p.sentAt, -p.cost)
			}
			return
		}
	}
	// Where answers tell fills from hits, a late fill counts against the source only: the edge goes on serving copies.
	unknownSource := e.AnswerSource == SourceUnknown && e.Status != Rejected && r.settings.text("notes") == "none"
	if !p.sourceUnreachable && (n != p.node || p.source == p.node || e.AnswerSource == Hit || unknownSource) {
		limiter.recordAnswer(r, p.late || e.Status == Rejected)
		if e.Status != Fulfilled && e.Status != Missed && e.Status != NeverSent {
			limiter.failures.Add(r.now, 1)
		}
	}
	switch {
	case p.sourceUnreachable && n != p.node:
		n.failures.Add(r.now, unreachableWeight)
	case p.late && n != p.node || p.errorPending:
	case e.Status == Fulfilled, e.Status == Missed:
		n.successes.Add(r.now, 1)
	case e.Status != NeverSent && (e.Status != Cancelled || p.overtaken): // a pull that hung was overtaken by a second copy
		n.failures.Add(r.now, p.blameShare(n))
	}
	n.ejectIfFailing(r)
}

// unreachableWeight is how many failed pulls one pull from an unreachable source counts for: with little traffic
// two of them must suffice for an ejection.
const unreachableWeight = 2.5

// ejectIfFailing ejects a node whose pulls fail or hang more often than those of its peers. A fault common to all
// raises the median too and ejects no node, unless a node fails nearly all its pulls.
func (n *Node) ejectIfFailing(r *Router) {
	if n.health == recovering && r.now-n.changedAt > statsWindow {
		n.health = healthy
	}
	if n.role == origin || n.health == ejected {
		return
	}
	threshold := min(0.75, 0.25+2*n.medianFailureShare(r)) // above 0.75 a node is useless, however its peers fare
	if successes, failures := n.successes.Sum(r.now), n.failures.Sum(r.now); successes+failures >= 5 &&
		failures/(successes+failures) > threshold {
		n.health, n.changedAt, n.probeSuccesses = ejected, r.now, 0
		r.log(fmt.Sprintf("%s ejected: %.1f of %.1f pulls failed or hung", n.id, failures, successes+failures))
		r.setTimer(r.now+statsWindow/statsBuckets, message{to: n, kind: msgTimerFired})
	}
}

// failureShare is the share of its pulls that a node failed; a small share for one of which nothing is known.
func (n *Node) failureShare(now float64) float64 {
	successes, failures := n.successes.Sum(now), n.failures.Sum(now)
	return (failures + 0.1) / (successes + failures + 1)
}

// medianFailureShare is the median share of failures among the other healthy nodes of the same role.
func (n *Node) medianFailureShare(r *Router) float64 {
	var shares []float64
	for _, m := range r.sortedNodes {
		if successes, failures := m.successes.Sum(r.now), m.failures.Sum(r.now); m != n && m.role == n.role &&
			m.health == healthy && m.state == Running && successes+failures > 0 {
			shares = append(shares, failures/(successes+failures))
		}
	}
	if len(shares) == 0 {
		return 0.25 // without a peer to compare with, or to take over its work, only a very bad node is ejected
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// probeEnded readmits an ejected node after enough successful probes, else schedules the next probe.
func (n *Node) probeEnded(r *Router, e Probed) {
	if n.health != ejected {
		return
	}
	if n.probeSuccesses++; e.Status != Fulfilled {
		n.probeSuccesses = 0
	}
	if n.probeSuccesses >= 4 { // two seconds of probes: a running process may still be starting up
		n.health, n.changedAt = recovering, r.now
		n.successes.Clear()
		n.failures.Clear()
		r.log(n.id + " readmitted")
		return
	}
	r.setTimer(r.now+statsWindow/statsBuckets, message{to: n, kind: msgTimerFired})
}

// Bounds of the holder table.
const (
	maxHolderEntries = 1 << 15  // some minutes of a busy gateway's objects
	holderTTL        = 60_000.0 // ms; stands in for the characteristic time of the parent's cache
	demandWindow     = 10_000.0 // ms over which an object's requested transfer time is summed
)

// touch returns the entry of a download's object and marks it as used. Creating an entry evicts old ones.
func (h *HolderTable) touch(r *Router, d *Download) *holderEntry {
	e := h.entries[d.key]
	if e == nil {
		e = &holderEntry{key: d.key, typ: d.typ, group: d.group, demand: NewRing(demandWindow, 4)}
		h.entries[d.key] = e
		h.order = append(h.order, e)
		e.queuedAt, e.usedAt = r.now, r.now
		for old := h.order[0]; old.queuedAt < r.now-holderTTL || len(h.order) > maxHolderEntries; old = h.order[0] {
			// An entry unused for as long as a parent may hold its object is dropped; others go back to the end.
			if h.order = h.order[1:]; old.usedAt < r.now-holderTTL || len(h.order) >= maxHolderEntries {
				delete(h.entries, old.key)
			} else {
				old.queuedAt, h.order = r.now, append(h.order, old)
			}
		}
	}
	e.usedAt = r.now
	return e
}

// isHot counts a download and reports whether its object is hot in this zone: it alone takes a quarter of the
// transfer time that a cache of the zone is asked for on average.
func (h *HolderTable) isHot(r *Router, d *Download) bool {
	e := h.touch(r, d)
	e.demand.Add(r.now, cmp.Or(d.transferTime, d.typ.meanTransferTime(r.now)))
	return e.demand.Sum(r.now)/demandWindow > 0.25*r.requestedTime.Sum(r.now)/statsWindow/float64(len(d.edges)+1)
}

// parentHolds reports whether the parent that is to fill a miss, or the hashed parent, is known to hold the object.
func (h *HolderTable) parentHolds(r *Router, p *pull) bool {
	e := h.entries[p.download.key]
	if e == nil || e.fillInFlight != nil && e.fillInFlight.inFlight {
		return e != nil
	}
	hashedParent := len(p.download.parents) > 0 && e.parent == p.download.parents[0]
	return e.parent != nil && (e.parent == p.source || hashedParent) && r.now-e.heldSince < holderTTL
}

// receive learns from granted and ended pulls which parent holds an object, and forgets purged ones.
func (h *HolderTable) receive(r *Router, m message) {
	if m.kind == msgGranted {
		// Where answers don't tell fills from hits, and while a fill is in flight, an object filled through the parent
		// counts as held there: otherwise no request that arrives during a slow fill would keep its copy at the edge.
		if d := m.pull.download; m.pull.source.role == parent && !m.pull.onlyHeld {
			entry := h.touch(r, d)
			if r.settings.text("notes") == "none" {
				entry.parent, entry.heldSince = m.pull.source, r.now
			}
			entry.fillInFlight = m.pull
		}
		return
	}
	switch e := m.event.(type) {
	case PullEnded:
		entry := h.touch(r, m.pull.download)
		if entry.fillInFlight == m.pull {
			entry.fillInFlight = nil
		}
		if e.Status == Fulfilled && e.AnswerSource == Hit {
			entry.hitTime = e.Duration
		} else if e.Status == Fulfilled && m.pull.source.role == parent && e.AnswerSource != StaleHit {
			entry.parent, entry.heldSince = m.pull.source, r.now
		}
	case Purged:
		for _, entry := range h.order {
			if e.Object == "" && entry.group == e.Group || e.Object != "" && entry.key.name == e.Object {
				entry.parent = nil
			}
		}
	}
}

const purgeMarginMs = 2.0 // covers the rounding of times on the wire

// receive records a purge and forgets those that have settled.
func (p *PurgeTable) receive(r *Router, m message) {
	e := m.event.(Purged)
	var key any = e.Object
	if e.Object == "" {
		key = e.Group
	}
	p.purgedAt[key] = max(r.now-e.Age, p.purgedAt[key])
	settled := r.now - r.settings.num("purge settles") - 100*purgeMarginMs
	maps.DeleteFunc(p.purgedAt, func(_ any, at float64) bool { return at < settled })
}

// maxAge is the age in ms of the oldest copy that may answer a pull; 0, which leaves it to the content type, where no
// purge is in force.
func (p *PurgeTable) maxAge(r *Router, d *Download) float64 {
	at, ok := p.purgedAt[d.key.name]
	if groupAt, groupPurged := p.purgedAt[d.group]; groupPurged && (!ok || groupAt > at) {
		at, ok = groupAt, true
	}
	if !ok || at < r.now-r.settings.num("purge settles")-100*purgeMarginMs {
		return 0
	}
	return max(0.001, min(r.now-at-purgeMarginMs, cmp.Or(d.typ.freshFor, math.MaxFloat64)))
}
