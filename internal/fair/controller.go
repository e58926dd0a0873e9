package fair

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Controller is the admission controller: it decides which downloads pass on to the router. It is used by one goroutine.
type Controller struct {
	Counters
	settings      Settings
	now           float64
	startedAt     float64
	seed          uint64  // of the hashes of clubs and clients
	reseededAt    float64 // time of the last change of the seed
	clubs         map[string]*Club
	others        []*Club // shared by the clubs that are not tracked individually
	heavyClients  *heavyHitters
	virtualTime   float64                     // of the level of the clubs
	backlog       indexedHeap[*Club]          // clubs with queued requests, by start tag
	deadlines     indexedHeap[*queuedRequest] // queued requests, by deadline
	queued        map[string]*queuedRequest   // by ID
	open          map[string]admitted         // by ID
	limit         concurrencyLimit
	calendar      *calendar
	throttledKeys []uint64 // hashes of recently throttled downloads, to recognise retries
	lastSeq       int      // last sequence number given to a club or flow
	actions       []Action // produced by the current call
}

// admitted is an open download.
type admitted struct {
	club *Club
	flow *flow
	cost float64
	at   float64
}

// New returns a Controller. The seed keys its hashes and must differ at each start.
func New(s Settings, seed uint64, at float64) *Controller {
	g := &Controller{settings: s, now: at, startedAt: at, reseededAt: at, seed: seed, clubs: map[string]*Club{}, heavyClients: newHeavyHitters(s.HeavyClients), queued: map[string]*queuedRequest{},
		open: map[string]admitted{}, limit: concurrencyLimit{minimum: s.MinLimit, current: math.Inf(1)}, calendar: newCalendar(s), throttledKeys: make([]uint64, 4*s.Flows)}
	for i := range s.Clubs {
		g.others = append(g.others, g.newClub(fmt.Sprint("other ", i), 1))
	}
	return g
}

func (g *Controller) nextSeq() int { g.lastSeq++; return g.lastSeq }

func (g *Controller) newClub(name string, weight float64) *Club {
	c := &Club{Name: name, weight: weight, heapIndex: -1, seq: g.nextSeq()}
	g.resetFlows(c)
	return c
}

// resetFlows replaces the hashed flows of a club. Requests queued in the old flows are served from there.
func (g *Controller) resetFlows(c *Club) {
	c.hashed = make([]*flow, max(4, g.settings.Flows))
	for i := range c.hashed {
		c.hashed[i] = &flow{heapIndex: -1, seq: g.nextSeq(), club: c}
	}
}

// flowOf returns the flow of a client: its own if it is heavy, otherwise one that it shares with clients of the same
// hash.
func (g *Controller) flowOf(c *Club, a Request) *flow {
	h := g.heavyClients.add(digest(0, "heavy", a.Club, a.Client), a.Cost, g.nextSeq)
	if h != nil && h.cost > g.heavyThreshold() {
		if f := h.flow; f.club == c || f.heapIndex < 0 && f.queue.peek() == nil {
			f.club = c
			return f
		}
	}
	return c.hashed[digest(g.seed, "client", a.Club, a.Client)%uint64(len(c.hashed))]
}

// SetWeights changes the weights of clubs; queued and booked downloads are kept.
func (g *Controller) SetWeights(weights map[string]float64) {
	g.settings.Weights = weights
	for _, c := range g.clubs {
		c.weight = weight(weights, c.Name)
	}
}

// weight returns the weight of a club, 1 by default.
func weight(weights map[string]float64, name string) float64 {
	if x := weights[name]; x > 0 {
		return x
	}
	return 1
}

// clubOf returns a club, and creates it while there is room, replacing the club that was idle longest. Without room the
// club shares a hashed entry.
func (g *Controller) clubOf(name string) *Club {
	c := g.clubs[name]
	if c == nil {
		if len(g.clubs) >= g.settings.Clubs {
			var idle *Club
			for _, o := range g.clubs {
				if !o.backlogged() && o.lastUsed < g.now-g.settings.ReseedInterval && (idle == nil || o.lastUsed < idle.lastUsed || o.lastUsed == idle.lastUsed && o.seq < idle.seq) {
					idle = o
				}
			}
			if idle == nil {
				c = g.others[digest(g.seed, "club", name)%uint64(len(g.others))]
				c.lastUsed = g.now
				return c
			}
			delete(g.clubs, idle.Name)
		}
		c = g.newClub(name, weight(g.settings.Weights, name))
		g.clubs[name] = c
	}
	c.lastUsed = g.now
	return c
}

// Request requests admission for a download.
func (g *Controller) Request(a Request) []Action {
	g.advance(a.At)
	g.Asked++
	c := g.clubOf(a.Club)
	c.Asked++
	appointmentKey := digest(0, "appointment", a.Club, a.Client, a.Object, fmt.Sprint(a.Part))
	if r := &g.throttledKeys[appointmentKey%uint64(len(g.throttledKeys))]; *r == appointmentKey {
		g.Retries++
		*r = 0
	}
	// The deadline leaves twice the mean cost, as sizes differ much: with the mean itself, half of the downloads
	// admitted just before their deadline were late.
	req := &queuedRequest{Request: a, club: c, flow: g.flowOf(c, a), cost: a.Cost, heapIndex: -1, deadline: min(a.Target-2*a.Cost*g.limit.stretch(g.now), a.Expiry-1)}
	switch {
	case g.redeemAppointment(req, appointmentKey):
		g.Kept++
		g.charge(req)
		g.admit(req)
	case len(g.deadlines) == 0 && float64(len(g.open)) < g.admissionLimit():
		g.charge(req)
		g.admit(req)
	case req.deadline <= g.now || g.cannotMeetDeadline(req):
		g.throttle(req)
	default:
		g.enqueue(req)
	}
	return g.flush()
}

// heavyThreshold is the cost above which a client counts as heavy: half of the mean of the counters.
func (g *Controller) heavyThreshold() float64 {
	sum := 0.0
	for i := range g.heavyClients.counters {
		sum += g.heavyClients.counters[i].cost
	}
	return sum / float64(max(1, 2*len(g.heavyClients.counters)))
}

// cannotMeetDeadline reports whether so much is queued ahead in the flow that its share of the throughput cannot serve
// the request in time.
func (g *Controller) cannotMeetDeadline(req *queuedRequest) bool {
	ahead, flows := 0.0, 1
	for x := req.flow.queue.first; x != nil; x = x.next {
		if !x.removed {
			ahead += x.cost
		}
	}
	weights := 0.0
	for _, c := range g.backlog {
		if c != req.club {
			weights += c.weight
		}
	}
	flows = max(flows, len(req.club.flows))
	rate := g.limit.throughput(g.now) * req.club.weight / (weights + req.club.weight) / float64(flows)
	return ahead > 0 && rate > 0 && ahead/rate > req.deadline-g.now
}

// redeemAppointment reports whether a download has an appointment for now, by its ticket or by its hash.
func (g *Controller) redeemAppointment(req *queuedRequest, appointmentKey uint64) bool {
	if req.Ticket != "" {
		index, serial, ok := parseTicket(g.settings.TicketKey, req.Ticket, appointmentKey)
		if !ok {
			g.Forged++
			return false
		}
		return g.calendar.redeemTicket(g.now, index, serial, appointmentKey, g.startedAt)
	}
	return g.calendar.redeem(g.now, appointmentKey)
}

// admissionLimit is the number of open downloads at which new ones are queued: capacity for the appointments around now
// is held back.
func (g *Controller) admissionLimit() float64 {
	if math.IsInf(g.limit.current, 1) {
		return g.limit.current
	}
	span := 2*g.settings.Slack + g.settings.Slot
	return max(g.settings.MinLimit, g.limit.current-min(g.settings.BookableShare*g.limit.current, g.calendar.expectedCost(g.now)/span))
}

// charge advances the finish tags of a download's club and flow by its cost.
func (g *Controller) charge(req *queuedRequest) {
	req.club.finishTag = max(g.virtualTime, req.club.finishTag) + req.cost/req.club.weight
	req.flow.finishTag = max(req.club.virtualTime, req.flow.finishTag) + req.cost
}

// enqueue queues a download in its flow. If the queue is full, it throttles the last request of the longest queue by
// weight.
func (g *Controller) enqueue(req *queuedRequest) {
	if len(g.deadlines) >= g.settings.Queue {
		if last := g.longestQueueTail(); last == nil || last.club == req.club && last.flow == req.flow {
			g.throttle(req)
			return
		} else {
			g.throttle(last)
		}
	}
	g.Waited++
	g.queued[req.ID] = req
	heap.Push(&g.deadlines, req)
	c := req.club
	if req.Priority {
		c.priority.push(req)
	} else {
		req.flow.queue.push(req)
		if req.flow.heapIndex < 0 {
			req.flow.startTag = max(c.virtualTime, req.flow.finishTag)
			heap.Push(&c.flows, req.flow)
		}
	}
	if c.heapIndex < 0 {
		c.startTag = max(g.virtualTime, c.finishTag)
		heap.Push(&g.backlog, c)
	}
}

// longestQueueTail returns the last request of the flow with the highest queued cost, in the club with the highest
// queued cost by weight.
func (g *Controller) longestQueueTail() (last *queuedRequest) {
	worst := 0.0
	costs := map[*Club]float64{}
	for _, req := range g.deadlines {
		costs[req.club] += req.cost / req.club.weight
	}
	var worstClub *Club
	for _, c := range g.backlog {
		if costs[c] > worst {
			worstClub, worst = c, costs[c]
		}
	}
	if worstClub == nil {
		return nil
	}
	worst = 0
	for _, f := range worstClub.flows {
		sum := 0.0
		var end *queuedRequest
		for req := f.queue.first; req != nil; req = req.next {
			if !req.removed {
				sum += req.cost
				end = req
			}
		}
		if sum > worst {
			last, worst = end, sum
		}
	}
	return last
}

// admitQueued admits queued downloads while there is room: from the club with the least start tag, first its priority
// requests, then the flow with the least start tag.
func (g *Controller) admitQueued() {
	for len(g.backlog) > 0 && float64(len(g.open)) < g.admissionLimit() {
		c := g.backlog[0]
		if !c.backlogged() {
			heap.Pop(&g.backlog)
			continue
		}
		g.virtualTime = max(g.virtualTime, c.startTag)
		req := c.priority.peek()
		if req != nil {
			c.priority.pop()
			req.flow.finishTag = max(c.virtualTime, req.flow.finishTag) + req.cost
		} else {
			f := nextFlow(&c.flows)
			c.virtualTime = max(c.virtualTime, f.startTag)
			req = f.queue.pop()
			f.finishTag = f.startTag + req.cost
			if f.queue.peek() != nil {
				f.startTag = max(c.virtualTime, f.finishTag)
				heap.Fix(&c.flows, f.heapIndex)
			} else {
				heap.Remove(&c.flows, f.heapIndex)
			}
		}
		c.finishTag = c.startTag + req.cost/c.weight
		if c.backlogged() {
			c.startTag = max(g.virtualTime, c.finishTag)
			heap.Fix(&g.backlog, c.heapIndex)
		} else {
			heap.Remove(&g.backlog, c.heapIndex)
		}
		g.dequeue(req)
		g.admit(req)
	}
}

// dequeue removes a download from the queue.
func (g *Controller) dequeue(req *queuedRequest) {
	req.removed = true
	delete(g.queued, req.ID)
	if req.heapIndex >= 0 {
		heap.Remove(&g.deadlines, req.heapIndex)
	}
}

// admit passes a download on to the router.
func (g *Controller) admit(req *queuedRequest) {
	g.Admitted++
	req.club.Admitted++
	req.club.Cost += req.cost
	g.open[req.ID] = admitted{club: req.club, flow: req.flow, cost: req.cost, at: g.now}
	g.actions = append(g.actions, Admit{ID: req.ID})
}

// throttle rejects a download, with an appointment if the calendar has room for one within the longest wait.
func (g *Controller) throttle(req *queuedRequest) {
	if g.queued[req.ID] == req {
		g.dequeue(req)
	}
	g.Throttled++
	req.club.Throttled++
	a := Throttle{ID: req.ID}
	appointmentKey := digest(0, "appointment", req.Club, req.Client, req.Object, fmt.Sprint(req.Part))
	g.throttledKeys[appointmentKey%uint64(len(g.throttledKeys))] = appointmentKey
	if g.settings.MaxWait > 0 {
		room := g.settings.BookableShare * g.limit.throughput(g.now) * g.settings.Slot
		if at, serial, ok := g.calendar.book(g.now, req.cost, room, g.settings.MaxWait, appointmentKey); ok {
			g.Made++
			a.Wait = at - g.now
			if g.settings.SignedTickets {
				a.Ticket = formatTicket(g.settings.TicketKey, int64(math.Round(at/g.settings.Slot)), serial, appointmentKey)
			}
		}
	}
	g.actions = append(g.actions, a)
}

// Ended reports the outcome of an admitted download and its actual cost; 0 if that is not known.
func (g *Controller) Ended(at float64, id string, end Outcome, cost float64) []Action {
	g.advance(at)
	a, ok := g.open[id]
	if !ok {
		return g.flush()
	}
	delete(g.open, id)
	if cost > 0 && end != Aborted {
		// The flow was charged the expected cost: it is charged or credited the difference.
		a.club.finishTag += (cost - a.cost) / a.club.weight
		a.flow.finishTag += cost - a.cost
		a.cost = cost
	}
	if g.limit.record(g.now, end, a.cost, g.now-a.at, float64(len(g.open)+1)) {
		g.calendar.resetSearch()
	}
	return g.flush()
}

// Disconnected reports that a client disconnected while its download was queued.
func (g *Controller) Disconnected(at float64, id string) []Action {
	g.advance(at)
	if req := g.queued[id]; req != nil {
		g.dequeue(req)
	}
	return g.flush()
}

// HandleTimer handles the timer: it does what is due at a time.
func (g *Controller) HandleTimer(at float64) []Action {
	g.advance(at)
	return g.flush()
}

// Next returns the time for which the timer is to be set; false if nothing is due.
func (g *Controller) Next() (float64, bool) {
	if len(g.deadlines) == 0 {
		return 0, false
	}
	return g.deadlines[0].deadline, true
}

// advance sets the current time, changes the seed of the hashes when that is due, and throttles requests whose deadline
// has passed.
func (g *Controller) advance(at float64) {
	g.now, g.actions = max(g.now, at), nil
	if g.now >= g.reseededAt+g.settings.ReseedInterval {
		g.reseededAt = g.now
		g.seed = digest(g.seed, "next")
		for _, c := range g.clubs {
			g.resetFlows(c)
		}
		for _, c := range g.others {
			g.resetFlows(c)
		}
		g.heavyClients.decay()
	}
	g.calendar.sweep(g.now)
	for len(g.deadlines) > 0 && g.deadlines[0].deadline <= g.now {
		g.throttle(g.deadlines[0])
	}
}

// flush admits what there is room for and returns the actions since advance.
func (g *Controller) flush() []Action {
	g.admitQueued()
	g.Missed = g.calendar.missed
	return g.actions
}

// TopClubs returns up to n clubs with the highest admitted cost.
func (g *Controller) TopClubs(n int) []*Club {
	all := slices.Collect(maps.Values(g.clubs))
	slices.SortFunc(all, func(a, b *Club) int { return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.seq, b.seq)) })
	return all[:min(n, len(all))]
}

// Stats returns the state of the controller: the numbers of open and queued downloads, the concurrency limit, and the ratio
// of the latency of downloads to their cost, now and at its lowest.
func (g *Controller) Stats() (open, queued int, limit, stretch, fastest float64) {
	return len(g.open), len(g.queued), g.limit.current, g.limit.stretch(g.now), g.limit.fastest
}

// minSamples is the number of outcomes needed to adjust the limit: with fewer the mean is random, as some downloads are
// cache hits and others have to be filled.
const minSamples = 24

// concurrencyLimit learns how many open downloads finish in time. If over a quarter of the recent outcomes are late, it
// drops to 0.8 of the open downloads; if latency relative to cost exceeds 2.2 times its lowest value, to 0.9, because
// whatever queues behind the controller is served in order of arrival, where the shares are lost. It drops at most
// twice a second, and rises with each download that finishes in time while the limit is nearly used and latency is low.
// It is looser than the limiters of the router, which judge by node: their rejections count as late here, so the
// controller closes when they do.
type concurrencyLimit struct {
	minimum, current, lastCut float64
	late, all, cost           slidingSum
	fastest                   float64    // lowest ratio of latency to cost
	latency                   slidingSum // ms from admission to the end; compared with cost
}

// record takes the outcome of a download, and reports whether the limit was lowered.
func (l *concurrencyLimit) record(now float64, end Outcome, cost, took, open float64) (changed bool) {
	if end == Aborted {
		return false
	}
	l.all.add(now, 1)
	if end != Rejected {
		l.cost.add(now, cost)
		l.latency.add(now, took)
	}
	if end != InTime {
		l.late.add(now, 1)
	} else if open > 0.8*l.current && !l.slowerThan(now, 1.6) {
		l.current += min(0.5, 4/l.current)
	}
	if cost := l.cost.sum(now); cost > 0 && l.all.sum(now) >= minSamples {
		if s := l.latency.sum(now) / cost; l.fastest == 0 || s < l.fastest {
			l.fastest = s
		} else {
			l.fastest += (s - l.fastest) / 20_000 // the lowest ratio may itself change, over many minutes
		}
	}
	late := l.late.sum(now) > 0.25*l.all.sum(now)
	if now < l.lastCut+500 || l.all.sum(now) < minSamples || !late && !l.slowerThan(now, 2.2) {
		return false
	}
	keep := 0.9
	if late {
		keep = 0.8
	}
	l.current, l.lastCut = max(l.minimum, keep*min(l.current, open)), now
	l.late, l.all, l.cost, l.latency = slidingSum{}, slidingSum{}, slidingSum{}, slidingSum{} // earlier admissions say nothing about the new limit
	return true
}

// slowerThan reports whether the ratio of latency to cost exceeds its lowest value by this factor.
func (l *concurrencyLimit) slowerThan(now, times float64) bool {
	cost := l.cost.sum(now)
	return l.fastest > 0 && cost > 0 && l.all.sum(now) >= minSamples && l.latency.sum(now)/cost > times*l.fastest
}

// stretch is the current ratio of latency to cost of admitted downloads, plus a tenth and between 1 and 1.5: queued
// requests must leave that much time.
func (l *concurrencyLimit) stretch(now float64) float64 {
	if cost := l.cost.sum(now); cost > 0 {
		return min(1.5, max(1, 1.1*l.latency.sum(now)/cost))
	}
	return 1
}

// throughput is the cost per ms of the downloads that ended recently.
func (l *concurrencyLimit) throughput(now float64) float64 { return l.cost.sum(now) / slidingSpan }

// slidingSum is a sum over the last slidingSpan ms, in fixed buckets.
type slidingSum struct {
	sums    [8]float64
	buckets [8]int64 // number of the time interval that each sum belongs to
}

// slidingSpan is the span of a slidingSum in ms.
const slidingSpan = 2000.0

func (s *slidingSum) add(now, x float64) {
	bucket := int64(now / (slidingSpan / 8))
	i := bucket % 8
	if s.buckets[i] != bucket {
		s.buckets[i], s.sums[i] = bucket, 0
	}
	s.sums[i] += x
}

func (s *slidingSum) sum(now float64) (sum float64) {
	oldest := int64(now/(slidingSpan/8)) - 7
	for i, bucket := range s.buckets {
		if bucket >= oldest {
			sum += s.sums[i]
		}
	}
	return sum
}
