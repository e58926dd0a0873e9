package world

import (
	"fmt"
	"slices"
	"strconv"

	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// World is an emulated deployment during one rehearsal.
type World struct {
	script         *script.Script
	random         seededRandom
	epoch          float64 // Unix ms of its start
	acceptUnknown  bool
	bodyDivisor    int // body sizes on real sockets are divided by this; 0: only the first line
	now            float64
	queue          EventQueue
	actions        []Action
	onFact         func(Fact)
	boxes          map[string]*box
	boxOrder       []*box
	clubLinks      map[string]*sharedResource // by club
	hubOf          map[string]string          // hub location by club
	typesByName    map[string]*contentType
	types          []*contentType
	conns          map[int64]*conn
	gateways       []*gateway
	openRequests   map[string]*openRequest
	writeRuns      map[string]int
	directory      directory
	objectPurges   map[string][]float64 // purge times by object
	groupPurges    [256][]float64
	anyReady       bool      // some gateway has become ready
	trafficFactors []float64 // those in force
	onceShare      float64
	large          *largePeriod
	lastID         int
	issuer         issuer
	trafficEnded   bool // no new requests are sent
	openOperations int  // operations that have not ended
}

type conn struct {
	id       int64
	box      *box
	requests map[string]*request
}

// Options are set by the driver.
type Options struct {
	Epoch       float64    // Unix ms of the start
	BodyDivisor int        // body sizes are divided by this; 0: a body is one line
	OnFact      func(Fact) // called for each fact; may be nil
	// AcceptUnknown makes boxes accept requests that no client of this world sent, as if sent through the first gateway.
	AcceptUnknown bool
}

// New creates a deployment; its initial actions are returned by the first call of RunUntil.
func New(s *script.Script, o Options) *World {
	w := &World{script: s, random: seededRandom(s.Seed), epoch: o.Epoch, bodyDivisor: o.BodyDivisor, acceptUnknown: o.AcceptUnknown, onFact: o.OnFact, boxes: map[string]*box{},
		clubLinks: map[string]*sharedResource{}, hubOf: map[string]string{}, typesByName: map[string]*contentType{}, conns: map[int64]*conn{},
		openRequests: map[string]*openRequest{}, writeRuns: map[string]int{}, objectPurges: map[string][]float64{}}
	if w.onFact == nil {
		w.onFact = func(Fact) {}
	}
	hubs := min(s.Hub.Count, max(1, (len(s.Clubs)+2)/3))
	for i, c := range s.Clubs {
		w.clubLinks[c] = newSharedResource(&w.queue, w.clock, s.Link/1000, fillSpeedup*s.Flow/1000, 0)
		w.hubOf[c] = fmt.Sprintf("hub-%d", i%hubs)
	}
	for i := range s.Box.Count {
		w.addBox("edge", s.Clubs[i%len(s.Clubs)], i/len(s.Clubs)/4)
	}
	for i := range s.Hub.Count {
		w.addBox("hub", fmt.Sprintf("hub-%d", i%hubs), 0)
	}
	c := &script.Box{Cores: [2]float64{s.Core.Capacity, s.Core.Capacity}, Slots: 1, Queue: 1, Store: 0, ColdShare: 1, OverloadWindow: s.Core.OverloadWindow,
		Fills: 1, FillTimeout: s.Hub.FillTimeout, Report: s.Hub.Report, Probe: s.Hub.Probe}
	w.newBox("core-1", w.nextAddress(), "hub-0", core, s.Core.Capacity, 0, c).start(false)
	for i := range s.Gateways {
		w.gateways = append(w.gateways, &gateway{number: i, zone: s.Clubs[i%len(s.Clubs)]})
	}
	w.directory.start(w)
	for _, g := range w.gateways {
		w.startGateway(g)
	}
	if s.Links.Life > 0 {
		w.setKeys(w.newKey(links.Signing), w.newKey(links.Upcoming))
	}
	w.startTraffic()
	for _, j := range s.Jobs {
		w.scheduleAt(j.At, func() { w.emit(SubmitJob{Job: j}) })
	}
	for _, e := range s.Events {
		for i := range e.Times {
			w.scheduleAt(e.At+float64(i)*e.Every, func() { w.applyEvent(&e, i) })
		}
	}
	return w
}

func (w *World) nextAddress() string {
	w.lastID++
	return fmt.Sprintf("box-%d:5050", w.lastID)
}

func (w *World) addBox(kind, zone string, cell int) *box {
	spec := &w.script.Box
	if kind == "hub" {
		spec = &w.script.Hub
	}
	addr := w.nextAddress()
	id := numberedID(kind, w.lastID)
	c := w.random.generator("cores", id)
	b := w.newBox(id, addr, zone, roles[kind], between(&c, spec.Cores[0], spec.Cores[1]), cell, spec)
	b.start(false)
	return b
}

func (w *World) clock() float64 { return w.now }

func (w *World) scheduleAt(t float64, do func()) *Entry     { return w.queue.Add(max(t, w.now), do) }
func (w *World) scheduleAfter(ms float64, do func()) *Entry { return w.queue.Add(w.now+ms, do) }
func (w *World) emit(a Action)                              { w.actions = append(w.actions, a) }
func (w *World) report(f Fact)                              { w.onFact(f) }
func (w *World) reportTransfer(link string, bytes float64) {
	w.report(BytesSent{At: w.now, Link: link, Bytes: bytes})
}
func (w *World) core() *box { return w.boxes["core-1"] }

// latency is the one-way delay of a message between two locations.
func (w *World) latency(from, to string) float64 {
	if from == to || w.hubOf[from] == to {
		return w.script.Near
	}
	return w.script.Far
}

// Next returns the time of the next scheduled callback, and false if there is none.
func (w *World) Next() (float64, bool) { return w.queue.Next() }

// Done reports whether the traffic has ended and all operations are complete.
func (w *World) Done() bool { return w.trafficEnded && w.openOperations == 0 }

// RunUntil runs everything that is due up to a time and returns the resulting actions.
func (w *World) RunUntil(now float64) []Action {
	for {
		at, ok := w.queue.Next()
		if !ok || at > now {
			break
		}
		w.now = max(w.now, at)
		w.queue.Step()
	}
	w.now = max(w.now, now)
	out := w.actions
	w.actions = nil
	return out
}

// Handle runs what is due, processes an event, and returns the resulting actions.
func (w *World) Handle(now float64, e Event) []Action {
	before := w.RunUntil(now)
	switch e := e.(type) {
	case Dialled:
		w.handleDial(e)
	case Command:
		w.handleCommand(e)
	case ConnClosed:
		w.closeConn(e.Conn)
	case Answer:
		w.handleAnswer(e)
	case RequestFailed:
		if a := w.openRequests[e.ID]; a != nil {
			w.requestFailed(a, map[bool]string{true: "refused", false: "broken"}[e.Refused])
		}
	case Ready:
		w.anyReady = true
		w.gatewayReady(w.gateways[e.Gateway])
	case Exited:
		w.gatewayExited(w.gateways[e.Gateway], e.Crashed)
	case Delivered:
		w.directory.deliver(w, w.gateways[e.Gateway], e.Cursor)
	}
	out := append(before, w.actions...)
	w.actions = nil
	return out
}

// Event is an event type of messages.go, Action an action type.
type (
	Event  any
	Action any
)

func (w *World) handleDial(e Dialled) {
	var target *box
	for _, b := range w.boxOrder { // if several boxes had this address, the latest one has it now
		if b.addr == e.Address && b.up {
			target = b
		}
	}
	switch {
	case target == nil:
		w.emit(Refuse{Conn: e.Conn})
	case !target.vanished:
		w.conns[e.Conn] = &conn{id: e.Conn, box: target, requests: map[string]*request{}}
		target.conns[e.Conn] = true
		w.emit(Accept{Conn: e.Conn})
	}
}

// closeConn ends a connection and drops all requests open on it.
func (w *World) closeConn(id int64) {
	c := w.conns[id]
	if c == nil {
		return
	}
	delete(w.conns, id)
	delete(c.box.conns, id)
	for _, r := range sortedRequests(c.requests) {
		w.dropRequest(r)
	}
}

func sortedRequests(open map[string]*request) (all []*request) {
	for _, r := range open {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return all
}

func (w *World) dropRequest(r *request) {
	if r.done {
		return
	}
	r.done = true
	delete(r.conn.requests, r.id)
	if r.timer != nil && !r.typ.Write { // a write under way to the core runs anyway
		w.queue.Remove(r.timer)
	}
	if r.cancel != nil {
		r.cancel()
	}
}

func (w *World) handleCommand(e Command) {
	c := w.conns[e.Conn]
	if c == nil {
		return
	}
	switch e.Verb {
	case "PING", "LOAD":
		w.scheduleAfter(roundTrip, func() { c.box.answerProbe(c, e.Verb, e.ID) })
	case "DROP":
		if r := c.requests[e.ID]; r != nil {
			w.dropRequest(r)
		}
	case "GET":
		r := w.parseGet(c, e)
		if c.requests[r.id] != nil {
			w.emit(Reset{Conn: c.id})
			w.closeConn(c.id)
			return
		}
		c.requests[r.id] = r
		known := false
		if r.clientRequest != nil {
			b := c.box
			known = b.listedCursor > 0 && w.gateways[r.clientRequest.gateway].cursor >= b.listedCursor
			w.report(Pulled{At: w.now, Gateway: r.clientRequest.gateway, ID: r.id, Object: r.key.object, Part: r.key.part, Type: e.Fields["kind"],
				Group: r.clientRequest.Group, Box: b.id, Zone: b.zone, Cell: b.cell, Source: r.source})
		}
		if r.clientRequest != nil && !c.box.acceptsLink(r, e.Fields["link"]) {
			if known { // else it is meant for the box that had this address before
				w.report(Unsigned{At: w.now, ID: r.id, Box: c.box.id})
			}
			r.clientRequest = nil // so that it is rejected as a request of no known client
		}
		work := r.expectedWork()
		if r.source == "" {
			work = minorWork // a lookup only
		}
		if c.box.countWork(work, known); c.box.up {
			w.scheduleAfter(roundTrip, func() { c.box.handleGet(r) })
		}
	}
}

// parseGet reads the fields of a GET. If no client sent such a request, clientRequest stays nil.
func (w *World) parseGet(c *conn, e Command) *request {
	f := e.Fields
	part, _ := strconv.Atoi(f["seg"])
	r := &request{conn: c, id: e.ID, key: key{f["obj"], part}, typ: w.typesByName[f["kind"]], source: f["next"], options: f["ways"], cachedTag: f["cached"]}
	if a := w.openRequests[e.ID]; a != nil && r.typ != nil && a.Type == r.typ.Name && a.Object == r.key.object && a.Part == part && a.Body == e.Body {
		r.clientRequest = a
		r.work, r.bytes = w.size(r.typ, r.key)
	}
	if r.clientRequest == nil && w.acceptUnknown && r.typ != nil {
		r.clientRequest = w.unknownRequest(r, e.Body)
		r.work, r.bytes = w.size(r.typ, r.key)
	}
	r.admitRank, _ = strconv.Atoi(f["admit"])
	if limit, err := strconv.ParseFloat(f["agelim"], 64); err == nil && limit > 0 {
		r.minCreatedAt = w.now - limit
	} else if r.typ != nil && r.typ.Fresh > 0 {
		r.minCreatedAt = w.now - r.typ.Fresh
	} else {
		r.minCreatedAt = -1e18
	}
	return r
}

func numberedID(kind string, n int) string { return kind + "-" + strconv.Itoa(n) }
