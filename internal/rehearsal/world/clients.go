package world

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/rehearsal/script"
)

// contentType is a configured content type with the popularity of its objects.
type contentType struct {
	script.Type
	popularity zipf
}

func (t *contentType) group(w *World, object string) int {
	return int(w.random.hash("group", object) % 256)
}

// largePeriod is a time during which clients request new objects of many times the usual size.
type largePeriod struct{ share, factor float64 }

// Prefixes of object ids, so that the kind of an object follows from its id without a table.
const (
	largeMark = "1a46e"  // large objects
	onceMark  = "0ce0ce" // objects that are requested only once
)

// gateway is a gateway as the clients' front end sees it.
type gateway struct {
	number, starts int
	zone           string
	up, ready      bool    // its process runs; it takes clients
	ending         bool    // it was told to terminate
	routedUntil    float64 // until then the front end still routes to it although it is down
	cursor         int     // last channel event that was delivered to it
	openRequests   map[string]*openRequest
}

// operation is a client's goal of getting one part of an object, over all its attempts.
type operation struct {
	number, attempts    int
	typ                 *contentType
	object              string
	part                int
	club                string
	startedAt, deadline float64
	kiosk               bool
	stopAt              float64 // of a kiosk: when it stops repeating
	link                *heldLink
	member              string // name of the member that the client belongs to
	ticket              string // ticket of its latest appointment
	duplicate           bool   // a second request sent under the link of another operation
	lastVerdict         Verdict
}

// openRequest is a client request that has no answer yet.
type openRequest struct {
	Request
	op          *operation
	gateway     int
	sentAt      float64
	expiryTimer *Entry
	leaveTimer  *Entry
}

// clientSlack is the time in ms after a request's expiry at which the client counts it as never answered.
const clientSlack = 50.0

func (w *World) startTraffic() {
	factor := 1.0
	for _, e := range w.script.Events {
		if e.Kind == "traffic" {
			factor *= max(1, e.Factor)
		}
	}
	peak := 0.0
	for _, p := range w.script.Phases {
		peak = max(peak, p.Rate*factor)
	}
	for i := range w.script.Types {
		t := &contentType{Type: w.script.Types[i]}
		t.popularity = newZipf(t.Objects, t.Skew)
		w.typesByName[t.Name] = t
		w.types = append(w.types, t)
		if rate := peak * t.Share / float64(t.Parts) / 1000; rate > 0 {
			// Clients that are between two parts of an object at the start arrived before it.
			w.scheduleArrivals(i, 0, -float64(t.Parts-1)*t.Gap, rate)
		}
	}
	w.scheduleAt(w.script.Length(), func() { w.trafficEnded = true })
}

// rate is the configured number of downloads a second at a given time.
func (w *World) rate(at float64) float64 {
	for _, p := range w.script.Phases {
		if at < p.From+p.For {
			rate := p.Rate
			for _, factor := range w.trafficFactors {
				rate *= factor
			}
			return rate
		}
	}
	return 0
}

// scheduleArrivals draws the next client of a content type: at the highest rate of the script, thinned to the current one.
func (w *World) scheduleArrivals(typ, n int, from, peak float64) {
	c := w.random.generator("arrival", typ, n)
	at := from + interarrival(&c, peak)
	t := w.types[typ]
	admit := func() {
		share := w.rate(max(0, at)) * t.Share / float64(t.Parts) / 1000 / peak
		if c.Float64() < share {
			w.startDownload(typ, n, at)
		}
	}
	if at < 0 {
		admit()
		w.scheduleArrivals(typ, n+1, at, peak)
		return
	}
	w.scheduleAt(at, func() {
		if !w.trafficEnded {
			admit()
			w.scheduleArrivals(typ, n+1, at, peak)
		}
	})
}

// startDownload plays one client that requests the parts of one object in turn.
func (w *World) startDownload(typ, n int, at float64) {
	t := w.types[typ]
	c := w.random.generator("visit", typ, n)
	club := w.script.Clubs[int(c.Float64()*float64(len(w.script.Clubs)))]
	object, member := w.pickObject(t, typ, n, club, &c), club
	if names := w.script.Clients.Members; len(names) > 0 {
		member = names[w.random.hash("member", typ, n)%uint64(len(names))]
	}
	var first *operation
	for part := range t.Parts {
		when := at + float64(part)*t.Gap*between(&c, 0.9, 1.1)
		if when < 0 || when >= w.script.Length() {
			continue
		}
		w.scheduleAt(when, func() {
			if !w.trafficEnded {
				op := &operation{number: n*1000 + part, typ: t, object: object, part: part, club: club, member: member, startedAt: w.now, deadline: w.now + t.Expiry}
				if first == nil {
					first = op
				}
				op.link = first.link
				w.sendAttempt(op)
				first.link = op.link
				if t.Write && w.random.uniform("doubled", typ, n) < w.script.Links.Doubled {
					w.sendAttempt(&operation{number: n*1000 + 999, typ: t, object: object, part: part, club: club, startedAt: w.now, deadline: op.deadline, link: op.link, duplicate: true})
				}
			}
		})
	}
}

func (w *World) pickObject(t *contentType, typ, n int, club string, c *randomSource) string {
	once, big, local, rank := c.Float64(), c.Float64(), c.Float64(), c.Float64()
	switch {
	case w.large != nil && big < w.large.share:
		return largeMark + w.random.id("large", typ, n)[len(largeMark):]
	case once < t.Once+w.onceShare:
		return onceMark + w.random.id("once", typ, n)[len(onceMark):]
	case local < t.Local:
		return w.random.id("local", typ, club, t.popularity.pick(rank))
	}
	return w.random.id("object", typ, t.popularity.pick(rank))
}

// size is the work and the bytes of a part of an object.
func (w *World) size(t *contentType, partKey key) (work, bytes float64) {
	c := w.random.generator("size", partKey.object, partKey.part)
	work = t.Work * logNormal(&c, t.Spread)
	if strings.HasPrefix(partKey.object, largeMark) {
		work *= between(&c, 0.5, 1) * w.largestFactor()
	}
	return work, work / 1000 * w.script.Flow
}

func (w *World) largestFactor() float64 {
	largest := 1.0
	for _, e := range w.script.Events {
		if e.Kind == "large" {
			largest = max(largest, e.Factor)
		}
	}
	return largest
}

// chooseGateway picks the gateway that a client's request is routed to: one of its club, else any. The front end keeps
// routing to a gateway that died until it has noticed.
func (w *World) chooseGateway(op *operation) *gateway {
	if op.link != nil && op.typ.Write && !op.duplicate {
		// The link of a write names the one gateway that may accept it.
		if g := w.gateways[op.link.gateway]; g.ready && !g.ending {
			return g
		}
		op.link = nil
	}
	var own, all []*gateway
	for _, g := range w.gateways {
		if g.ready && !g.ending || w.now < g.routedUntil {
			all = append(all, g)
			if g.zone == op.club {
				own = append(own, g)
			}
		}
	}
	if len(own) == 0 {
		own = all
	}
	if len(own) == 0 {
		return nil
	}
	return own[int(w.random.uniform("front", op.typ.Name, op.number, op.attempts)*float64(len(own)))]
}

func (w *World) sendAttempt(op *operation) {
	if !w.anyReady {
		// Clients wait for the first gateway to be ready, so that no gateway is charged with requests before that.
		w.scheduleAfter(10, func() {
			op.startedAt, op.deadline = op.startedAt+10, op.deadline+10
			w.sendAttempt(op)
		})
		return
	}
	typ := op.typ
	if op.attempts == 0 {
		w.openOperations++
	}
	g := w.chooseGateway(op)
	first := op.attempts == 0
	op.attempts++
	if g == nil {
		w.retry(op, Lost, w.script.Clients.Wait, true)
		return
	}
	c := w.random.generator("try", typ.Name, op.number, op.attempts)
	clients := w.script.Clients
	allow := min(math.Floor(typ.Expiry*between(&c, clients.Patience[0], clients.Patience[1])), math.Floor(op.deadline-w.now))
	if allow < 1 {
		w.finish(op, op.lastVerdict)
		return
	}
	a := &openRequest{op: op, gateway: g.number, sentAt: w.now, Request: Request{ID: w.random.id("id", typ.Name, op.number, op.attempts, int(op.startedAt*1000)), Type: typ.Name,
		Object: op.object, Part: op.part, Group: typ.group(w, op.object), Timeout: allow, Club: op.member, Client: op.clientName(), Ticket: op.ticket}}
	if typ.Write {
		a.Body = 100
	} else if c.Float64() < clients.Holds {
		a.HeldTag = w.tag(key{op.object, op.part}, a.Group, w.now)
	}
	w.attachLink(op, &a.Request, g)
	if !g.up { // the front end still routes to it, and the connection is refused
		w.retry(op, Lost, clients.Wait, true)
		return
	}
	w.sendRequest(a, g, first)
	if !op.kiosk && c.Float64() < clients.Impatient {
		a.leaveTimer = w.scheduleAfter(allow*c.Float64(), func() {
			w.closeRequest(a)
			w.report(Ended{At: w.now, ID: a.ID, Why: "left"})
			w.emit(Abort{Gateway: a.gateway, ID: a.ID})
			w.finish(op, Left)
		})
	}
}

// clientName identifies the client: a kiosk sends many requests under one name, a member's client those of one download.
func (op *operation) clientName() string {
	if op.kiosk {
		return "kiosk " + strconv.Itoa(op.number>>12)
	}
	return "member " + strconv.Itoa(op.number/1000)
}

// sendRequest sends a request and starts its expiry timer.
func (w *World) sendRequest(a *openRequest, g *gateway, first bool) {
	w.openRequests[a.ID] = a
	if g.openRequests == nil {
		g.openRequests = map[string]*openRequest{}
	}
	g.openRequests[a.ID] = a
	w.report(RequestSent{At: w.now, Expiry: w.now + a.Timeout, Gateway: g.number, Repeat: a.op.typ.Repeat, First: first, Request: a.Request})
	w.emit(SendRequest{Gateway: g.number, Request: a.Request})
	a.expiryTimer = w.scheduleAfter(a.Timeout+clientSlack, func() { w.requestFailed(a, "expired") })
}

func (w *World) closeRequest(a *openRequest) {
	w.queue.Remove(a.expiryTimer)
	w.queue.Remove(a.leaveTimer)
	delete(w.openRequests, a.ID)
	delete(w.gateways[a.gateway].openRequests, a.ID)
}

// requestFailed ends a request that got no answer.
func (w *World) requestFailed(a *openRequest, why string) {
	if w.openRequests[a.ID] != a {
		return
	}
	w.closeRequest(a)
	w.report(Ended{At: w.now, ID: a.ID, Why: why})
	// A refused request never ran; of any other it is not known.
	w.retry(a.op, Lost, w.script.Clients.Wait, why == "refused")
}

// handleAnswer evaluates the answer that a client got.
func (w *World) handleAnswer(answer Answer) {
	w.report(Answered{At: w.now, Answer: answer})
	a := w.openRequests[answer.ID]
	if a == nil || a.gateway != answer.Gateway {
		return
	}
	w.closeRequest(a)
	op := a.op
	op.ticket = answer.Ticket
	op.takeRenewal(answer.Token, w.script.Links.Renew)
	if answer.Status == 403 && !op.duplicate {
		op.link = nil // the issuer gives it a new one
	}
	switch {
	case op.duplicate:
		w.openOperations--
	case answer.Status == 403 && w.script.Links.Life > 0 && !op.typ.Write:
		w.retry(op, Abandoned, 1, true)
	case answer.Status == 200:
		work, _ := w.size(op.typ, key{op.object, op.part})
		verdict := InTime
		if w.now > op.startedAt+op.typ.Target+op.typ.Stretch*work {
			verdict = Late
		}
		w.finish(op, verdict)
	case answer.Status == 429 || answer.Status == 503:
		wait := w.script.Clients.Wait
		if w.random.uniform("heeds", op.typ.Name, op.number, op.attempts) < w.script.Clients.HonorRetryAfter {
			wait = max(wait, answer.Wait)
		}
		w.retry(op, Throttled, wait, true)
	default:
		w.retry(op, Abandoned, w.script.Clients.Wait, false)
	}
}

// retry makes another attempt if the client has attempts and time left and repeating does no harm.
func (w *World) retry(op *operation, last Verdict, wait float64, harmless bool) {
	if op.lastVerdict = last; op.duplicate {
		w.openOperations--
		return
	}
	wait *= 0.8 + 0.4*w.random.uniform("wait", op.typ.Name, op.number, op.attempts)
	if op.attempts > w.script.Clients.Retries || !harmless && op.typ.Repeat != "retriable" || w.now+wait >= op.deadline {
		w.finish(op, last)
		return
	}
	w.scheduleAfter(wait, func() { w.sendAttempt(op) })
}

func (w *World) finish(op *operation, v Verdict) {
	if w.openOperations--; op.duplicate {
		return
	}
	if op.kiosk {
		// A kiosk repeats its request in a loop, whatever the answer was.
		if w.now+20 < op.stopAt && !w.trafficEnded {
			next := &operation{number: op.number + 1, typ: op.typ, object: op.object, part: op.part, club: op.club, member: op.member, startedAt: w.now + 20, kiosk: true, stopAt: op.stopAt}
			next.deadline = next.startedAt + op.typ.Expiry
			w.scheduleAt(next.startedAt, func() { w.sendAttempt(next) })
		}
		return
	}
	w.report(OperationEnded{At: w.now, Asked: op.startedAt, Type: op.typ.Name, Member: op.member, Verdict: v, Tries: op.attempts})
}

// gatewayReady adds a gateway to the front end's routing.
func (w *World) gatewayReady(g *gateway) {
	if g.up {
		g.ready = true
	}
}

// gatewayExited handles the end of a gateway's process: all requests open on it fail.
func (w *World) gatewayExited(g *gateway, crashed bool) {
	if !g.up {
		return
	}
	w.report(Down{At: w.now, Gateway: g.number, Crashed: crashed})
	terminated := g.ending
	if g.routedUntil = 0; !terminated {
		g.routedUntil = w.now + w.script.Clients.DetectionDelay
	}
	g.up, g.ready, g.ending = false, false, false
	var open []*openRequest
	for _, a := range g.openRequests {
		open = append(open, a)
	}
	slices.SortFunc(open, func(a, b *openRequest) int { return strings.Compare(a.ID, b.ID) })
	for _, a := range open {
		w.requestFailed(a, "broken")
	}
}

// thawGateway resumes a frozen process with its state intact. Channel events published meanwhile are delivered afterwards.
func (w *World) thawGateway(g *gateway) {
	if g.up {
		return
	}
	g.up, g.routedUntil = true, 0
	w.emit(Freeze{Gateway: g.number, Thaw: true})
	w.scheduleAfter(assumedDelivery, func() { w.directory.deliver(w, g, len(w.directory.log)) })
}

// startGateway starts a new process for a gateway, which knows only what the channel has published so far.
func (w *World) startGateway(g *gateway) {
	if g.up {
		return
	}
	g.up, g.starts, g.cursor, g.routedUntil = true, g.starts+1, 0, 0
	w.report(Restarted{At: w.now, Gateway: g.number})
	w.emit(Start{Gateway: g.number})
	w.directory.deliver(w, g, len(w.directory.log))
}
