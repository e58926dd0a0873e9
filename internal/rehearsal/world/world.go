package world

import (
	"fmt"
	"slices"
	"strconv"

	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// World is one deployment on its day.
type World struct {
	script    *script.Script
	draws     draws
	epoch     float64 // Unix ms of its start
	strangers bool
	thin      int // bytes of a body for one that is sent on a socket; 0: the first line alone
	now       float64
	agenda    Agenda
	out       []Action
	facts     func(Fact)
	boxes     map[string]*box
	order     []*box
	links     map[string]*station // into each club
	hubOf     map[string]string   // the hub location of a club
	kinds     map[string]*kind
	types     []*kind
	conns     map[int64]*conn
	gateways  []*gateway
	asks      map[string]*asked
	ran       map[string]int
	list      directory
	purged    map[string][]float64 // by object, when
	groups    [256][]float64
	began     bool      // a gateway has been ready
	traffic   []float64 // factors in force
	once      float64
	large     *large
	ids       int
	issuer    issuer
	over      bool // no more traffic
	open      int  // wants that have not come to their end
}

type conn struct {
	id   int64
	box  *box
	open map[string]*request
}

// Options are what a driver chooses.
type Options struct {
	Epoch float64    // Unix ms of the start
	Thin  int        // bytes of the model for a byte of a body; 0: a body is one line
	Facts func(Fact) // hears all that happens
	// Strangers has boxes take requests that no client of this world sent, as of the first gateway.
	Strangers bool
}

// New makes a world; what it needs to start is in the first actions, which Ring brings.
func New(s *script.Script, o Options) *World {
	w := &World{script: s, draws: draws(s.Seed), epoch: o.Epoch, thin: o.Thin, strangers: o.Strangers, facts: o.Facts, boxes: map[string]*box{},
		links: map[string]*station{}, hubOf: map[string]string{}, kinds: map[string]*kind{}, conns: map[int64]*conn{},
		asks: map[string]*asked{}, ran: map[string]int{}, purged: map[string][]float64{}}
	if w.facts == nil {
		w.facts = func(Fact) {}
	}
	hubs := min(s.Hub.Count, max(1, (len(s.Clubs)+2)/3))
	for i, c := range s.Clubs {
		w.links[c] = newStation(&w.agenda, w.clock, s.Link/1000, fillPace*s.Flow/1000, 0)
		w.hubOf[c] = fmt.Sprintf("hub-%d", i%hubs)
	}
	for i := range s.Box.Count {
		w.addBox("edge", s.Clubs[i%len(s.Clubs)], i/len(s.Clubs)/4)
	}
	for i := range s.Hub.Count {
		w.addBox("hub", fmt.Sprintf("hub-%d", i%hubs), 0)
	}
	c := &script.Box{Cores: [2]float64{s.Core.Capacity, s.Core.Capacity}, Slots: 1, Queue: 1, Store: 0, ColdShare: 1, FallFor: s.Core.StopsPush,
		Fills: 1, FillTimeout: s.Hub.FillTimeout, Report: s.Hub.Report, Probe: s.Hub.Probe}
	w.newBox("core-1", w.address(), "hub-0", core, s.Core.Capacity, 0, c).begin(false)
	for i := range s.Gateways {
		w.gateways = append(w.gateways, &gateway{number: i, zone: s.Clubs[i%len(s.Clubs)]})
	}
	w.list.start(w)
	for _, g := range w.gateways {
		w.start(g)
	}
	if s.Links.Life > 0 {
		w.rekey(w.newKey(links.Signing), w.newKey(links.Upcoming))
	}
	w.clients()
	for _, j := range s.Jobs {
		w.at(j.At, func() { w.act(Work{Job: j}) })
	}
	for _, e := range s.Events {
		for i := range e.Times {
			w.at(e.At+float64(i)*e.Every, func() { w.happens(&e, i) })
		}
	}
	return w
}

func (w *World) address() string {
	w.ids++
	return fmt.Sprintf("box-%d:5050", w.ids)
}

func (w *World) addBox(kind, zone string, cell int) *box {
	spec := &w.script.Box
	if kind == "hub" {
		spec = &w.script.Hub
	}
	addr := w.address()
	id := kindID(kind, w.ids)
	c := w.draws.chance("cores", id)
	b := w.newBox(id, addr, zone, roles[kind], between(&c, spec.Cores[0], spec.Cores[1]), cell, spec)
	b.begin(false)
	return b
}

func (w *World) clock() float64 { return w.now }

func (w *World) at(t float64, do func()) *Entry     { return w.agenda.Add(max(t, w.now), do) }
func (w *World) after(ms float64, do func()) *Entry { return w.agenda.Add(w.now+ms, do) }
func (w *World) act(a Action)                       { w.out = append(w.out, a) }
func (w *World) tell(f Fact)                        { w.facts(f) }
func (w *World) moved(link string, bytes float64)   { w.tell(Moved{At: w.now, Link: link, Bytes: bytes}) }
func (w *World) core() *box                         { return w.boxes["core-1"] }

// hop is how long a message takes from one location to another.
func (w *World) hop(from, to string) float64 {
	if from == to || w.hubOf[from] == to {
		return w.script.Near
	}
	return w.script.Far
}

// Next is when something is due next; false where nothing is.
func (w *World) Next() (float64, bool) { return w.agenda.Next() }

// Over tells that the traffic has ended and all that was wanted has come to its end.
func (w *World) Over() bool { return w.over && w.open == 0 }

// Ring does what is due up to a time and returns what comes of it.
func (w *World) Ring(now float64) []Action {
	for {
		at, ok := w.agenda.Next()
		if !ok || at > now {
			break
		}
		w.now = max(w.now, at)
		w.agenda.Step()
	}
	w.now = max(w.now, now)
	out := w.out
	w.out = nil
	return out
}

// Handle takes an event and returns what comes of it, what was due before it first.
func (w *World) Handle(now float64, e Event) []Action {
	before := w.Ring(now)
	switch e := e.(type) {
	case Dialled:
		w.dialled(e)
	case Command:
		w.command(e)
	case Hung:
		w.hung(e.Conn)
	case Answer:
		w.answered(e)
	case Unanswered:
		if a := w.asks[e.ID]; a != nil {
			w.unanswered(a, map[bool]string{true: "refused", false: "broken"}[e.Refused])
		}
	case Ready:
		w.began = true
		w.ready(w.gateways[e.Gateway])
	case Exited:
		w.exited(w.gateways[e.Gateway], e.Crashed)
	case Heard:
		w.list.heard(w, w.gateways[e.Gateway], e.Cursor)
	}
	out := append(before, w.out...)
	w.out = nil
	return out
}

// Event is one of the types of door.go that says so. Action is another.
type (
	Event  any
	Action any
)

func (w *World) dialled(e Dialled) {
	var at *box
	for _, b := range w.order { // of several that had one address the last is there
		if b.addr == e.Address && b.up {
			at = b
		}
	}
	switch {
	case at == nil:
		w.act(Refuse{Conn: e.Conn})
	case !at.vanished:
		w.conns[e.Conn] = &conn{id: e.Conn, box: at, open: map[string]*request{}}
		at.conns[e.Conn] = true
		w.act(Accept{Conn: e.Conn})
	}
}

// hung ends a connection and gives up all that is open on it.
func (w *World) hung(id int64) {
	c := w.conns[id]
	if c == nil {
		return
	}
	delete(w.conns, id)
	delete(c.box.conns, id)
	for _, r := range sortedOpen(c.open) {
		w.drop(r)
	}
}

func sortedOpen(open map[string]*request) (all []*request) {
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

func (w *World) drop(r *request) {
	if r.over {
		return
	}
	r.over = true
	delete(r.conn.open, r.id)
	if r.timer != nil && !r.typ.Write { // a write that is on its way to the core runs
		w.agenda.Remove(r.timer)
	}
	if r.stop != nil {
		r.stop()
	}
}

func (w *World) command(e Command) {
	c := w.conns[e.Conn]
	if c == nil {
		return
	}
	switch e.Verb {
	case "PING", "LOAD":
		w.after(way, func() { c.box.probe(c, e.Verb, e.ID) })
	case "DROP":
		if r := c.open[e.ID]; r != nil {
			w.drop(r)
		}
	case "GET":
		r := w.read(c, e)
		if c.open[r.id] != nil {
			w.act(Reset{Conn: c.id})
			w.hung(c.id)
			return
		}
		c.open[r.id] = r
		known := false
		if r.ask != nil {
			b := c.box
			known = b.listed > 0 && w.gateways[r.ask.gateway].cursor >= b.listed
			w.tell(Pulled{At: w.now, Gateway: r.ask.gateway, ID: r.id, Object: r.key.object, Part: r.key.part, Type: e.Fields["kind"],
				Group: r.ask.Group, Box: b.id, Zone: b.zone, Cell: b.cell, Source: r.next})
		}
		if r.ask != nil && !c.box.signed(r, e.Fields["link"]) {
			if known { // else it is for who was at this address before
				w.tell(Unsigned{At: w.now, ID: r.id, Box: c.box.id})
			}
			r.ask = nil // and it is turned down as what nobody asked for
		}
		work := r.usual()
		if r.next == "" {
			work = trifle // a look
		}
		if c.box.asks(work, known); c.box.up {
			w.after(way, func() { c.box.get(r) })
		}
	}
}

// read takes a GET out of its fields. What no client asked for in this form keeps no ask.
func (w *World) read(c *conn, e Command) *request {
	f := e.Fields
	part, _ := strconv.Atoi(f["seg"])
	r := &request{conn: c, id: e.ID, key: key{f["obj"], part}, typ: w.kinds[f["kind"]], next: f["next"], ways: f["ways"], cached: f["cached"]}
	if a := w.asks[e.ID]; a != nil && r.typ != nil && a.Type == r.typ.Name && a.Object == r.key.object && a.Part == part && a.Body == e.Body {
		r.ask = a
		r.work, r.bytes = w.size(r.typ, r.key)
	}
	if r.ask == nil && w.strangers && r.typ != nil {
		r.ask = w.stranger(r, e.Body)
		r.work, r.bytes = w.size(r.typ, r.key)
	}
	r.admit, _ = strconv.Atoi(f["admit"])
	if limit, err := strconv.ParseFloat(f["agelim"], 64); err == nil && limit > 0 {
		r.least = w.now - limit
	} else if r.typ != nil && r.typ.Fresh > 0 {
		r.least = w.now - r.typ.Fresh
	} else {
		r.least = -1e18
	}
	return r
}

func kindID(kind string, n int) string { return kind + "-" + strconv.Itoa(n) }
