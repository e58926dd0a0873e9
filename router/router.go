package router

// Router decides for one gateway: which edge cache a download is pulled from, who fills a miss, whether the
// copy is kept, and when to pull again, throttle or abandon. Leave Copy Down decides the ordinary path
// (Download.seek, Holders); docs/design.md tells where and why other code steps in. The parts (Download,
// Node, Holders, purges) talk only by notes in inboxes that the loop of Handle, the door, empties.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// span is the ms over which nodes are judged, in so many buckets: some dozen pulls each, yet a crash shows.
const span, buckets = 4000.0, 8

// Handle is the door: ids become objects here, and the one loop empties all inboxes.
func (r *Router) Handle(now float64, e Event) []Action {
	r.now, r.out = now, r.out[:0]
	switch e := e.(type) {
	case Started:
		r.start(e)
	case Listed:
		r.list(e)
	case Arrived:
		r.arrive(e)
	case Ended:
		if d := r.dls[e.ID]; d != nil && e.Pull >= 0 && e.Pull < len(d.pulls) && d.pulls[e.Pull].out {
			r.post(note{to: d, topic: ended, pull: d.pulls[e.Pull], event: e})
		}
	case Streaming:
		if d := r.dls[e.ID]; d != nil {
			d.streaming = true
		}
	case Left:
		if d := r.dls[e.ID]; d != nil {
			// While fills are late, what its client left goes on: asked again it would begin anew and never come.
			d.streaming = d.streaming || !d.write && r.peers < 3 && !r.fills.calm(r)
			d.finish(r)
		}
	case Rang:
		if n, ok := r.alarms[e.Token]; ok {
			delete(r.alarms, e.Token)
			r.post(n)
		}
	case Purged:
		r.post(note{to: &r.purges, topic: voided, event: e})
		r.post(note{to: &r.holders, topic: voided, event: e})
	case Probed:
		if n := r.nodes[e.Node]; n != nil {
			r.post(note{to: n, topic: probed, event: e})
		}
	}
	for len(r.queue) > 0 {
		n := r.queue[0]
		r.queue = r.queue[1:]
		n.to.take(r, n)
	}
	return r.out
}

func (r *Router) start(e Started) {
	r.foot, r.born, r.chance = e.Footprint, r.now, Chance(e.Seed|1)
	here := slices.Index(r.foot.list("zones"), any(r.foot.text("zone")))
	// Not told how many share the location, it counts as one of all: a cold cache then gets less than it bears,
	// by as many times as there are locations. Told of none at all it is alone; should it not be, all together
	// send so many times the budget.
	r.peers = max(1, cmp.Or(r.foot.numAt("gateways by zone", here), r.foot.num("gateways")))
	for i := range r.foot.list("types") {
		t := &Type{name: r.foot.textAt("types", i), repeat: r.foot.textAt("repeat", i),
			scope: r.foot.textAt("dedupe group", i), window: r.foot.numAt("dedupe window", i),
			fresh: r.foot.numAt("fresh", i), grace: r.foot.numAt("grace", i), target: r.foot.numAt("target", i),
			stretch: r.foot.numAt("stretch", i), benefit: cmp.Or(max(0, r.foot.numAt("benefit", i)), 1),
			write: r.foot.flagAt("writes", i), count: NewRing(4*span, buckets), time: NewRing(4*span, buckets)}
		r.types[t.name] = t
	}
	if r.foot.text("list") == "asked" {
		r.do(Watch{})
	}
}

func (r *Router) list(e Listed) {
	if e.Scope == NoList {
		r.alarm(r.now+span/buckets, note{to: asker{}, topic: due})
		return
	}
	named := map[string]bool{}
	// Lists bring new nodes all day. What comes back sooner than this still bears what was asked of it.
	r.all = slices.DeleteFunc(r.all, func(n *Node) bool {
		old := n.state == Gone && r.now > n.since+4*span+r.foot.num("fall time")
		if old {
			delete(r.nodes, n.id)
		}
		return old
	})
	for _, entry := range e.Entries {
		named[entry.Node] = true
		n := r.nodes[entry.Node]
		if n == nil {
			n = newNode(entry.Node)
			r.nodes[n.id] = n
			i, _ := slices.BinarySearchFunc(r.all, n, func(a, b *Node) int { return cmp.Compare(a.id, b.id) })
			r.all = slices.Insert(r.all, i, n)
		}
		r.post(note{to: n, topic: listed, event: entry})
	}
	for _, n := range r.all {
		if e.Scope != Changes && !named[n.id] {
			r.post(note{to: n, topic: listed, event: Entry{Node: n.id, State: Gone}})
		}
	}
}

// sending is the mean time to send one of this type, unloaded; half its target time until some were seen.
func (t *Type) sending(now float64) float64 {
	if n := t.count.Sum(now); n > 0 {
		return t.time.Sum(now) / n
	}
	return t.target / 2
}

// size is a node's by its weight, where that tells one; a load mixed in would move objects about.
func (r *Router) size(n *Node) float64 {
	if w := r.foot.text("weights"); (w == "nominal" || w == "rough") && n.weight > 0 {
		return n.weight
	}
	return 1
}

// rank orders nodes by rendezvous hash: whoever leaves moves only its own objects, and gateways agree.
func (r *Router) rank(nodes []*Node, key uint64) []*Node {
	scores := make(map[*Node]float64, len(nodes))
	for _, n := range nodes {
		scores[n] = -r.size(n) / math.Log((float64(mix(n.hash^key)>>11)+0.5)/(1<<53))
	}
	slices.SortStableFunc(nodes, func(a, b *Node) int { return cmp.Compare(scores[b], scores[a]) })
	return nodes
}

func (r *Router) arrive(e Arrived) {
	t := r.types[e.Type]
	if t == nil {
		r.do(Abandon{ID: e.ID})
		r.log("unknown content type " + e.Type)
		return
	}
	d := &Download{id: e.ID, typ: t, key: object{e.Object, e.Part}, group: e.Group, expiry: e.Expiry,
		landed: r.now, write: e.Write || t.write, ahead: e.Only != ""}
	if flow := r.foot.num("flow"); flow > 0 && e.Size > 0 {
		d.size = 1000 * e.Size / flow
		t.count.Add(r.now, 1)
		t.time.Add(r.now, d.size)
	}
	r.dls[d.id] = d
	key := hash(e.Object, fmt.Sprint(e.Part))
	d.edges = r.rank(r.tier(edge, r.foot.text("zone")), key)
	if !d.write {
		d.parents = r.rank(r.tier(parent, ""), mix(key))
	}
	if d.ahead {
		// Nobody waits for it: it is no sign of what is asked for, and goes nowhere but to the cache that it fills.
		d.edges = slices.DeleteFunc(d.edges, func(n *Node) bool { return n.id != e.Only })
		r.post(note{to: d, topic: arrived})
		return
	}
	r.volume.Add(r.now, t.sending(r.now))
	r.wanted.Add(r.now, t.benefit)
	if len(d.edges) > 1 {
		first, second, out, size := d.edges[0], d.edges[1], 0, 0.0
		for _, n := range d.edges {
			out += n.asked.out
			size += r.size(n)
		}
		// Hot objects may use two caches. So may all while the first has more out than its share: a small or slow
		// one else queues what its neighbour could answer. The one pull to spare keeps quiet objects at home.
		hot := !d.write && r.holders.heat(r, d)
		fair := float64(out) * r.size(first) / size
		if first.asked.out > second.asked.out && (hot || float64(first.asked.out) > 1.25*fair+1) {
			d.edges[0], d.edges[1] = second, first
		}
	}
	r.post(note{to: d, topic: arrived})
}

func (d *Download) take(r *Router, n note) {
	if d.ahead && (n.topic == declined || n.topic == crowded || len(d.edges) == 0) && !d.done {
		d.giveUp(r) // what is asked for goes first
		return
	}
	switch n.topic {
	case hung:
		// Its answer may never come: others are asked for a second copy, while such are few and hardly anything
		// is late, as in a jam all take long. It harms where an object has grown, by one pull.
		few := r.furthers.Sum(r.now) < 0.02*r.volume.Sum(r.now) && r.fills.calm(r) && n.pull.at.asked.calm(r)
		if n.pull.hung = few && n.pull.out && !d.done && len(d.pulls) == 1; n.pull.hung {
			d.seek(r)
		}
	case declined:
		d.no = append(d.no, n.from)
		d.seek(r)
	case crowded:
		filling := n.from != n.pull.at
		if filling && r.fills.failed.Sum(r.now) > 0.5*r.fills.late.Sum(r.now) && d.mayAsk(n.pull) {
			n.pull.ask = true
			r.post(note{to: n.pull.at, topic: offered, pull: n.pull})
		} else if !(filling && (d.kin(r, n.pull.at) || d.look(r, n.pull.at)) || !filling && d.bypass(r)) {
			d.hold(r)
		}
	case granted:
		d.send(r, n.pull)
	case ended:
		d.end(r, n.pull, n.event.(Ended))
	case overdue:
		if n.pull.late = n.pull.out; n.pull.late && n.pull.source != n.pull.at {
			r.post(note{to: n.pull.source, topic: overdue, pull: n.pull})
		}
	default:
		if !d.done && !d.waiting() {
			d.no, d.last = nil, false
			d.seek(r)
		}
	}
}

// free tells whether a pull may go to a node without an effect happening twice.
func (d *Download) free(r *Router, to *Node) bool {
	for _, p := range d.pulls {
		if !p.may && !p.out || d.typ.repeat == "retriable" {
			continue
		}
		if d.typ.repeat != "deduped" || r.now >= p.sent+d.typ.window ||
			d.typ.scope == "zone" && p.at.zone != to.zone || d.typ.scope == "cell" && p.at.cell != to.cell {
			return false
		}
	}
	return true
}

// seek offers the next pull: to the first edge cache in hash order that has been tried least, its miss to be
// filled by the first parent in hash order, else by the origin.
func (d *Download) seek(r *Router) {
	if d.done {
		return
	}
	if d.expiry-r.now <= 1 || len(d.pulls) >= int(r.foot.num("most pulls")) {
		d.giveUp(r)
		return
	}
	origins := r.tier(origin, "")
	sources := append(slices.Clone(d.parents), origins...)
	at := d.pick(r, d.edges, func(p *pull) *Node { return p.at })
	source := d.pick(r, sources, func(p *pull) *Node { return p.source })
	if r.foot.flag("direct") && (d.write || at == nil) {
		at, source = source, d.pick(r, origins, func(p *pull) *Node { return p.source })
	}
	away := len(d.parents) > 0 && source != d.parents[0]
	if at != nil && (away && d.kin(r, at) || source == nil && d.look(r, at)) {
		return
	}
	if at != nil && source != nil && d.free(r, at) {
		p := &pull{dl: d, at: at, source: source, cost: d.typ.sending(r.now), last: d.last}
		p.ask = r.peers > 2 && d.typ.fresh == 0 && !r.holders.holds(r, p) && d.mayAsk(p)
		r.post(note{to: at, topic: offered, pull: p})
	} else if !d.last {
		d.no, d.last = nil, true
		d.seek(r)
	} else {
		d.hold(r)
	}
}

// look asks an edge cache for what it holds and no fill, once, where no source has room: copies can be had
// whatever jams behind them. A miss costs little, but is one more pull where the edge itself is short.
func (d *Download) look(r *Router, at *Node) bool {
	return at.role == edge && d.once(r, looked, &pull{at: at, source: at})
}

// bypass asks the parent itself, once, where the edge cache has no room: the edge may be all that is short,
// as after a release that left few and empty caches. The parent's own limiter bounds it.
func (d *Download) bypass(r *Router) bool {
	at := d.pick(r, d.parents, func(p *pull) *Node { return p.at })
	return at != nil && r.foot.flag("direct") && d.once(r, bypassed, &pull{at: at, source: at})
}

// kin asks another location's cache for what it holds, once, where the hashed parent does not fill: in place
// of the level above, so what it holds comes down. A miss is a round trip, a hit may come from further off.
func (d *Download) kin(r *Router, at *Node) bool {
	if d.ways&kinned != 0 || at.role != edge || r.foot.text("siblings") != "any" {
		return false
	}
	all := r.rank(r.tier(edge, ""), hash(d.key.name, fmt.Sprint(d.key.part)))
	i := slices.IndexFunc(all, func(n *Node) bool {
		return n.zone != at.zone && n.state == Running && n.standing == trusted && n.warmth(r) == 1
	})
	return i >= 0 && d.once(r, kinned, &pull{at: at, source: all[i], ask: true})
}

func (d *Download) once(r *Router, way int, p *pull) bool {
	if d.write || d.ways&way != 0 {
		return false
	}
	p.dl, p.cost, d.ways = d, d.typ.sending(r.now), d.ways|way
	r.post(note{to: p.at, topic: offered, pull: p})
	return true
}

// pick is the first in hash order of those tried least: what a node or a source just failed goes elsewhere,
// both at once, as most answers don't tell which of the two was at fault.
func (d *Download) pick(r *Router, nodes []*Node, of func(*pull) *Node) *Node {
	best, least := (*Node)(nil), math.MaxInt
	for _, n := range nodes {
		tried := 0
		for _, p := range d.pulls {
			if of(p) == n && (p.source != p.at || n.role != edge) && !p.ask {
				tried++
			}
		}
		if tried < least && !slices.Contains(d.no, n) && d.free(r, n) {
			best, least = n, tried
		}
	}
	return best
}

// hold keeps a download that nobody may take now, as long as it could still be answered in time.
func (d *Download) hold(r *Router) {
	again := r.now + span/buckets/5
	if again+d.typ.sending(r.now) > min(d.landed+d.typ.target, d.expiry) {
		d.giveUp(r)
		return
	}
	r.alarm(again, note{to: d, topic: due})
}

func (d *Download) send(r *Router, p *pull) {
	if d.done {
		r.post(note{to: p.at, topic: released, pull: p})
		r.post(note{to: p.source, topic: released, pull: p})
		return
	}
	a := Pull{ID: d.id, Node: p.at.id, Source: p.source.id, Timeout: d.expiry - r.now}
	// A connection that is slow to come up must not carry a repeat past the window in which it is one.
	for _, q := range d.pulls {
		left := q.sent + d.typ.window - r.now
		if d.typ.repeat == "deduped" && (q.may || q.out) && (a.Within == 0 || left < a.Within) {
			a.Within = left
		}
	}
	if len(d.pulls) > 0 {
		r.furthers.Add(r.now, p.cost)
	}
	if !d.write {
		// Where no parent takes the fill, the origin is the tier above the edge, and what is left of the rule
		// is that a copy comes down one tier: else edge caches run dry while the parents are away.
		if r.holders.holds(r, p) || p.source.role == origin && p.at.role == edge {
			a.Rank = 1
		}
		if p.ask {
			d.asked, a.Rank, a.How = true, 1, OnlyHeld
		}
		if r.foot.flag("join") {
			a.How |= Join
		}
		if d.typ.fresh > 0 {
			a.How |= Renew
		}
		a.MaxAge = r.purges.limit(r, d)
		if (p.source == p.at || r.fills.troubled(r) || r.asks.troubled(r)) && a.MaxAge == 0 && d.typ.fresh > 0 {
			a.MaxAge = d.typ.fresh + d.typ.grace
		}
	}
	r.post(note{to: &r.holders, topic: granted, pull: p})
	p.out, p.sent = true, r.now
	size := cmp.Or(d.size, 0.75*d.typ.quiet) // most are smaller than the mean of sizes that differ much
	// What hangs would else be seen only at the expiry, seconds after the peers have answered.
	r.alarm(r.now+d.typ.target+d.typ.stretch*size, note{to: d, topic: overdue, pull: p})
	if e := r.holders.entries[d.key]; e != nil && e.took > 0 && r.foot.flag("second copies") &&
		d.typ.repeat == "retriable" {
		r.alarm(r.now+d.typ.target+1.5*e.took, note{to: d, topic: hung, pull: p})
	}
	d.pulls, d.no, d.last = append(d.pulls, p), nil, false
	r.do(a)
}

// mayAsk tells whether a pull may be a question: the source gives only what it holds, and that is kept. Where
// several gateways share a location each would else send an unkept fill before copies build; where fills have
// no room, a stopped origin does not matter to it. A miss costs a round trip and counts at a cold cache.
func (d *Download) mayAsk(p *pull) bool {
	return !d.write && !d.asked && !p.ask && p.source.role == parent && p.at.role == edge
}

func (d *Download) end(r *Router, p *pull, e Ended) {
	p.out = false
	// An error counts once another pull brings the object: what all answer so, as a made-up one, is nobody's.
	for _, q := range d.pulls {
		if q.erred && e.Status == Fulfilled {
			q.erred = false
			r.both(note{topic: erred, pull: q})
		}
	}
	p.erred = e.Status == Failed && !p.late && d.typ.repeat == "retriable"
	// Answers don't tell whose fault a failure is: what else each failed tells. A break is the asked node's.
	if at, source := p.at.share(r.now), p.source.share(r.now); e.Status != NotConnected && e.Status != Broken {
		p.blame = source / (at + source)
	}
	// Turned away after as long as a connection may take, a fill tells that its source can't be reached: that
	// is not the link, and not the edge cache.
	wait := r.foot.num("connect time")
	if p.mute = e.Status == TurnedAway && p.source != p.at && wait > 0 && r.now-p.sent >= wait; p.mute {
		p.blame = 1
	}
	p.may = !slices.Contains([]Status{TurnedAway, NotConnected, NeverSent, Missed}, e.Status)
	r.both(note{topic: ended, pull: p, event: e})
	if !d.write {
		r.post(note{to: &r.holders, topic: learned, pull: p, event: e})
	}
	if e.Status == Fulfilled && !d.write && d.size == 0 && (e.Note == Held || e.Note == NotTold) {
		d.typ.count.Add(r.now, 1)
		d.typ.time.Add(r.now, e.Took)
		// What is late is told from the quietest times, not of a few: a jam must not raise its own bar.
		mean := d.typ.sending(r.now)
		if d.typ.seen++; d.typ.seen < 50 || mean < d.typ.quiet {
			d.typ.quiet = mean
		}
		d.typ.quiet += (mean - d.typ.quiet) / 1000
	}
	if e.Closed {
		d.finish(r)
	} else if !d.done && !d.waiting() && !d.streaming {
		if p.ask && e.Status == Missed {
			r.furthers.Add(r.now, -p.cost)
		} else if r.furthers.Sum(r.now) > p.cost+0.3*r.volume.Sum(r.now) {
			d.giveUp(r)
			return
		}
		d.seek(r)
	} else if d.done && !d.waiting() {
		delete(r.dls, d.id)
	}
}

// giveUp is the final answer where no pull will bring one. A throttling reply promises that trying again does
// no harm, so it needs every pull known not to have run, or a type for which that does not matter.
func (d *Download) giveUp(r *Router) {
	if d.waiting() {
		return // there was no room for a second copy
	}
	harmless := d.typ.repeat == "retriable" || d.typ.repeat == "deduped" && d.typ.scope == "all"
	if harmless || !slices.ContainsFunc(d.pulls, func(p *pull) bool { return p.may }) {
		// What comes back within a tenth of its target time may still be answered in it; later it cannot.
		r.do(Throttle{ID: d.id, Wait: min(d.typ.target/10, r.foot.num("longest advice"))})
	} else {
		r.do(Abandon{ID: d.id})
	}
	d.finish(r)
}

func (d *Download) finish(r *Router) {
	d.done = true
	for i, p := range d.pulls {
		if p.out && r.foot.flag("call off") && !d.streaming {
			r.do(CallOff{ID: d.id, Pull: i})
		}
	}
	if !d.waiting() {
		delete(r.dls, d.id)
	}
}

func (n *Node) take(r *Router, m note) {
	switch m.topic {
	case listed:
		n.list(r, m.event.(Entry))
	case offered:
		answer := granted
		if !n.admits(r, m.pull) {
			answer = declined
		} else if !m.pull.dl.write && !r.limiter(n, m.pull).open(r, m.pull.dl.typ) {
			answer = crowded
		}
		if answer != granted {
			if m.pull.source == n && m.pull.at != n {
				r.post(note{to: m.pull.at, topic: released, pull: m.pull})
			}
			r.post(note{to: m.pull.dl, topic: answer, pull: m.pull, from: n})
			return
		}
		n.spent.Add(r.now, m.pull.cost)
		r.limiter(n, m.pull).out++
		if m.pull.at == n && m.pull.source != n {
			r.post(note{to: m.pull.source, topic: offered, pull: m.pull})
		} else {
			r.post(note{to: m.pull.dl, topic: granted, pull: m.pull})
		}
	case released:
		n.spent.Add(r.now, -m.pull.cost)
		r.limiter(n, m.pull).out--
	case ended:
		n.end(r, m.pull, m.event.(Ended))
	case overdue:
		// Only sources are judged by it, by half: a slow edge still holds copies, large objects are overdue too.
		n.bad.Add(r.now, 0.5)
		n.judge(r)
	case erred:
		n.bad.Add(r.now, m.pull.part(n))
		n.judge(r)
	case probed:
		n.probed(r, m.event.(Probed))
	case due:
		if !r.foot.flag("probes") { // time has to do
			n.probed(r, Probed{Status: Fulfilled})
		} else if n.standing == aside && n.state == Running {
			r.do(Probe{Node: n.id})
		}
	}
}

func (n *Node) list(r *Router, e Entry) {
	if e.State == Gone {
		n.state, n.since = Gone, r.now
		return
	}
	if n.state == Gone || n.booted != e.Booted {
		// A process that starts anew owes nothing to what was seen of the old one.
		n.good.Clear()
		n.bad.Clear()
		n.standing = trusted
	}
	if n.spent.width == 0 || n.booted != e.Booted {
		// Only relisted, a process still bears what was asked of it.
		n.spent = NewRing(max(1, r.foot.num("fall time"))*1.1, 11)
	}
	n.kind, n.zone, n.cell, n.weight, n.booted, n.state = e.Kind, e.Zone, e.Cell, e.Weight, e.Booted, e.State
	switch n.role = edge; slices.Index(r.foot.list("kinds"), any(e.Kind)) {
	case int(r.foot.num("parent kind")):
		n.role = parent
	case int(r.foot.num("origin kind")):
		n.role = origin
	}
}

// warmth is the least part of its capacity that a node started lately had a window ago, warming slowest.
func (n *Node) warmth(r *Router) float64 {
	from, time := r.foot.num("cold share"), r.foot.num("cold time")
	if n.role == parent {
		from, time = r.foot.num("parent cold share"), r.foot.num("parent cold time")
	}
	if n.booted <= 0 || n.role == origin || time <= 0 {
		return 1
	}
	return min(1, from+(1-from)*max(0, r.now-r.foot.num("fall time")-n.booted)/time)
}

// budget is the sending time that this gateway may ask of a cold node in one window.
func (n *Node) budget(r *Router) float64 {
	multiple, gateways := r.foot.num("fall multiple"), r.foot.num("gateways")
	if n.role == parent {
		multiple = r.foot.num("parent fall multiple")
	} else if n.zone == r.foot.text("zone") {
		gateways = r.peers
	}
	window := r.foot.num("fall time")
	if w := r.foot.text("weights"); w == "nominal" || w == "rough" {
		return 0.8 * multiple * n.warmth(r) * n.weight * window / max(1, gateways)
	}
	took, peers := 0.0, 0.0
	for _, m := range r.all {
		if m.role == n.role && m.state != Gone && (m.zone == n.zone || n.role == parent) {
			took += m.took.Sum(r.now)
			peers++
		}
	}
	return 0.8 * multiple * n.warmth(r) * took / peers * window / span
}

func (n *Node) admits(r *Router, p *pull) bool {
	if n.state != Running {
		return false
	}
	if n.warmth(r) < 1 {
		// One of many gateways may be left less than one pull: a lot drawn for each window says whether it is its
		// turn, so that all together spend no more than their parts on average.
		most, window := n.budget(r), r.foot.num("fall time")
		// A gateway that has just started doesn't know what it spent in its former life: at most its part, taken
		// as spread over the window, of which less counts with each ms. Nothing at all for a window threw all on
		// the warm nodes just when it stood for peers. It harms where that part was spent at once.
		if age := r.now - r.born; age < window && n.booted < r.born {
			most *= age / window
		}
		turn := mix(n.hash ^ mix(uint64(r.now/window)<<16+uint64(r.foot.num("number"))))
		if p.cost > most && most > p.cost*float64(turn>>11)/(1<<53) {
			most = p.cost
		}
		if n.spent.Sum(r.now)+p.cost > most {
			return false
		}
	}
	switch n.standing {
	case aside:
		return p.last
	case returning:
		return p.last || r.chance.Below() < 0.1+(r.now-n.since)/span
	}
	return true
}

// judge bounds how many pulls this gateway has out: while over a quarter of the answers come late the bound
// falls below what is out, each one in time raises it. With little traffic it is under one pull and met by
// chance, so that a location's many gateways together are bounded too. It guards against any queue, whoever
// fills it; it harms where answers are late for reasons of their own, such as a run of very large objects.
func (l *Limiter) judge(r *Router, late bool) {
	l.all.Add(r.now, 1)
	if late {
		l.late.Add(r.now, 1)
	} else if float64(l.out+1) > 0.7*l.most {
		// Where answers are few a tenth of a pull for each would leave a limiter shut long after its trouble; where
		// they are many the steps add up. Doubling in one that is not calm would only fill the queue anew.
		step := min(0.1, 1/l.most)
		if all := l.all.Sum(r.now); all < fewAnswers && l.calm(r) {
			step = max(step, l.most/all)
		}
		l.most += step
	}
	if r.now >= l.cut+span/8 && l.troubled(r) {
		l.most, l.cut = max(limiterLeast/r.peers, 0.8*min(l.most, float64(l.out+1))), r.now
	}
}

// open lets in what brings much benefit for its sending time first: to it a limiter looks emptier, by a root,
// so that large objects are not shut out of a jam. It harms a type whose benefit is set too low.
func (l *Limiter) open(r *Router, t *Type) bool {
	cost := t.sending(r.now)
	dear := math.Sqrt(cost / t.benefit * (r.wanted.Sum(r.now) + t.benefit) / (r.volume.Sum(r.now) + cost))
	return dear*(r.chance.Below()+float64(l.out)) < l.most
}

func (l *Limiter) troubled(r *Router) bool { return l.late.Sum(r.now) > 0.5+0.25*l.all.Sum(r.now) }
func (l *Limiter) calm(r *Router) bool     { return l.late.Sum(r.now) < 0.1*l.all.Sum(r.now) }

const fewAnswers = 20.0 // in a limiter's 2 s

const limiterLeast = 6 // pulls out that are no queue, of all gateways at a location together

func newLimiter() Limiter {
	return Limiter{most: 1e9, late: NewRing(span/2, 4), all: NewRing(span/2, 4), failed: NewRing(span/2, 4)}
}

// limiter is a node's own for what is asked of it. Fills share one, as they do the link; questions another.
func (r *Router) limiter(n *Node, p *pull) *Limiter {
	if p.at == n {
		return &n.asked
	} else if p.ask {
		return &r.asks
	}
	return &r.fills
}

func (n *Node) end(r *Router, p *pull, e Ended) {
	limiter := r.limiter(n, p)
	limiter.out--
	if e.Status == Fulfilled {
		n.took.Add(r.now, p.cost)
		if n != p.at && e.Note == Held {
			// It was not asked after all: its charge goes back, and this says nothing of its health.
			if p.sent > n.booted {
				n.spent.Add(p.sent, -p.cost)
			}
			return
		}
	}
	// Where answers tell fills apart, their lateness is the source's: copies at the edge go on being served.
	untold := e.Note == NotTold && e.Status != TurnedAway && r.foot.text("notes") == "none"
	if !p.mute && (n != p.at || p.source == p.at || e.Note == Held || untold) {
		limiter.judge(r, p.late || e.Status == TurnedAway)
		if e.Status != Fulfilled && e.Status != Missed && e.Status != NeverSent {
			limiter.failed.Add(r.now, 1)
		}
	}
	switch {
	case p.mute && n != p.at:
		n.bad.Add(r.now, muteWeighs)
	case p.late && n != p.at || p.erred:
	case e.Status == Fulfilled, e.Status == Missed:
		n.good.Add(r.now, 1)
	case e.Status != NeverSent && (e.Status != CalledOff || p.hung): // a hung one is overtaken by a second copy
		n.bad.Add(r.now, p.part(n))
	}
	n.judge(r)
}

// muteWeighs is what one that can't be reached counts in failed pulls: with little traffic a second must do.
const muteWeighs = 2.5

// judge sets aside what fails or hangs more than its peers do. Trouble that all share moves the median too
// and sets nobody aside, short of failing nearly all.
func (n *Node) judge(r *Router) {
	if n.standing == returning && r.now-n.since > span {
		n.standing = trusted
	}
	if n.role == origin || n.standing == aside {
		return
	}
	bar := min(0.75, 0.25+2*n.median(r)) // past that a node is of no use, however its peers fare
	if good, bad := n.good.Sum(r.now), n.bad.Sum(r.now); good+bad >= 5 && bad/(good+bad) > bar {
		n.standing, n.since, n.probes = aside, r.now, 0
		r.log(fmt.Sprintf("%s set aside: %.1f of %.1f pulls failed or hung", n.id, bad, good+bad))
		r.alarm(r.now+span/buckets, note{to: n, topic: due})
	}
}

// share is the part of its pulls that a node failed, from a little for one that nothing is known of.
func (n *Node) share(now float64) float64 {
	good, bad := n.good.Sum(now), n.bad.Sum(now)
	return (bad + 0.1) / (good + bad + 1)
}

// median is the share of failures of the other nodes of this kind of work.
func (n *Node) median(r *Router) float64 {
	var shares []float64
	for _, m := range r.all {
		if good, bad := m.good.Sum(r.now), m.bad.Sum(r.now); m != n && m.role == n.role && m.standing == trusted &&
			m.state == Running && good+bad > 0 {
			shares = append(shares, bad/(good+bad))
		}
	}
	if len(shares) == 0 {
		return 0.25 // with nobody to compare it to, or to take its work, only the worst is set aside
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

func (n *Node) probed(r *Router, e Probed) {
	if n.standing != aside {
		return
	}
	if n.probes++; e.Status != Fulfilled {
		n.probes = 0
	}
	if n.probes >= 4 { // two seconds of them: a process that runs may still be starting
		n.standing, n.since = returning, r.now
		n.good.Clear()
		n.bad.Clear()
		r.log(n.id + " is back")
		return
	}
	r.alarm(r.now+span/buckets, note{to: n, topic: due})
}

const (
	holdersMost = 1 << 15  // entries; some minutes of a busy gateway's objects
	holdersAge  = 60_000.0 // ms that stand in for the parent's characteristic time
	heatSpan    = 10_000.0 // ms of an object's recent sending time
)

func (h *Holders) get(r *Router, d *Download) *entry {
	e := h.entries[d.key]
	if e == nil {
		e = &entry{key: d.key, typ: d.typ, group: d.group, heat: NewRing(heatSpan, 4)}
		h.entries[d.key] = e
		h.order = append(h.order, e)
		e.made, e.used = r.now, r.now
		for old := h.order[0]; old.made < r.now-holdersAge || len(h.order) > holdersMost; old = h.order[0] {
			// What nobody asked for while a parent may hold it goes; the rest starts anew at the end.
			if h.order = h.order[1:]; old.used < r.now-holdersAge || len(h.order) >= holdersMost {
				delete(h.entries, old.key)
			} else {
				old.made, h.order = r.now, append(h.order, old)
			}
		}
	}
	e.used = r.now
	return e
}

// heat counts a download and tells whether its object is hot here: it alone asks for a quarter of what a
// cache of this location gets on average.
func (h *Holders) heat(r *Router, d *Download) bool {
	e := h.get(r, d)
	e.heat.Add(r.now, cmp.Or(d.size, d.typ.sending(r.now)))
	return e.heat.Sum(r.now)/heatSpan > 0.25*r.volume.Sum(r.now)/span/float64(len(d.edges)+1)
}

// holds tells whether the parent that is to fill a miss holds the object, or the hashed one does.
func (h *Holders) holds(r *Router, p *pull) bool {
	e := h.entries[p.dl.key]
	if e == nil || e.filling != nil && e.filling.out {
		return e != nil
	}
	home := len(p.dl.parents) > 0 && e.parent == p.dl.parents[0]
	return e.parent != nil && (e.parent == p.source || home) && r.now-e.at < holdersAge
}

func (h *Holders) take(r *Router, n note) {
	if n.topic == granted {
		// Where no answer tells a fill from a hit, and while a fill is on its way, a fill sent through the
		// parent counts as held there: a slow fill would else be passed on unkept to all who ask meanwhile.
		if d := n.pull.dl; n.pull.source.role == parent && !n.pull.ask {
			entry := h.get(r, d)
			if r.foot.text("notes") == "none" {
				entry.parent, entry.at = n.pull.source, r.now
			}
			entry.filling = n.pull
		}
		return
	}
	switch e := n.event.(type) {
	case Ended:
		entry := h.get(r, n.pull.dl)
		if entry.filling == n.pull {
			entry.filling = nil
		}
		if e.Status == Fulfilled && e.Note == Held {
			entry.took = e.Took
		} else if e.Status == Fulfilled && n.pull.source.role == parent && e.Note != HeldOld {
			entry.parent, entry.at = n.pull.source, r.now
		}
	case Purged:
		for _, entry := range h.order {
			if e.Object == "" && entry.group == e.Group || e.Object != "" && entry.key.name == e.Object {
				entry.parent = nil
			}
		}
	}
}

const purgeMargin = 2.0 // ms, against rounding on the way

func (p *Purges) take(r *Router, n note) {
	e := n.event.(Purged)
	var of any = e.Object
	if e.Object == "" {
		of = e.Group
	}
	p.at[of] = max(r.now-e.Age, p.at[of])
	settled := r.now - r.foot.num("purge settles") - 100*purgeMargin
	maps.DeleteFunc(p.at, func(_ any, at float64) bool { return at < settled })
}

// limit is the oldest copy that a pull may be answered from; 0, the type's own, where no purge is in force.
func (p *Purges) limit(r *Router, d *Download) float64 {
	at, ok := p.at[d.key.name]
	if g, also := p.at[d.group]; also && (!ok || g > at) {
		at, ok = g, true
	}
	if !ok || at < r.now-r.foot.num("purge settles")-100*purgeMargin {
		return 0
	}
	return max(0.001, min(r.now-at-purgeMargin, cmp.Or(d.typ.fresh, math.MaxFloat64)))
}
