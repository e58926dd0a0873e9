package world

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/rehearsal/script"
	"poppymill/router"
)

type role int

const (
	edge role = iota
	hub
	core
)

var roles = map[string]role{"edge": edge, "hub": hub, "core": core}

// What a box does beside its downloads, in ms of work; how long a command and its answer are on their way together, in
// ms; how much faster a fill may run than an answer.
const (
	trifle   = 0.2
	way      = 0.6
	fillPace = 2.5
)

// box is an edge cache, a hub or the member core.
type box struct {
	w              *World
	id, addr, zone string
	role           role
	spec           *script.Box
	cores          float64
	cell           int
	since          float64 // when it started; under 0: long ago
	state          string  // as the list will say
	listed         int     // number of the event that told of it
	up             bool
	vanished       bool
	silent         bool
	paused         int
	slow           float64
	fail           float64 // share that it fails quickly,
	lose           float64 // share whose answer is lost after it ran,
	cut            float64 // and share that is cut amid its answer
	cpu            *station
	store          *store
	met            map[key]bool // of one that holds things when the rehearsal begins: what was asked of it since
	fills          int
	fetching       map[key]*fetch
	sent, knowing  router.Ring // work that was asked of it, in all and by those who knew who it is
	conns          map[int64]bool
	report, last   string
	reportAt       float64
}

// fetch is one object on its way from the core to a hub, for all who wait for it.
type fetch struct {
	born    float64
	waiting []func(*made)
	keep    bool
}

// request is one GET at a box.
type request struct {
	ask    *asked
	conn   *conn
	id     string
	key    key
	typ    *kind
	work   float64
	bytes  float64
	next   string
	admit  int
	least  float64 // the earliest birth of a copy that will do
	ways   string
	cached string
	over   bool
	stop   func() // calls off what is under way for it
	timer  *Entry
}

// usual is the work of a download as far as anybody can know it who sends one: the mean of its type.
func (r *request) usual() float64 {
	if r.ask == nil || r.typ == nil {
		return trifle
	}
	return r.typ.Work
}

func (w *World) newBox(id, addr, zone string, r role, cores float64, cell int, spec *script.Box) *box {
	b := &box{w: w, id: id, addr: addr, zone: zone, role: r, spec: spec, cores: cores, cell: cell, since: -1, state: "ready",
		slow: 1, fetching: map[key]*fetch{}, conns: map[int64]bool{}}
	slots, most := int(float64(spec.Slots)*cores), 1.0
	if r == hub {
		slots, most = 0, fillPace
	} else if r == core {
		slots, most = 0, fillPace
	}
	b.cpu = newStation(&w.agenda, w.clock, cores, most, slots)
	if r == core {
		b.cpu.crowded = w.script.Core.Crowded
	}
	b.store = newStore(spec.Store)
	b.sent, b.knowing = newRing(spec.FallFor), newRing(spec.FallFor)
	w.boxes[id] = b
	w.order = append(w.order, b)
	return b
}

// warmth is the share of its capacity that it has by now.
func (b *box) warmth() float64 {
	if b.since < 0 || b.role == core {
		return 1
	}
	return min(1, b.spec.ColdShare+(1-b.spec.ColdShare)*(b.w.now-b.since)/max(1, b.spec.ColdFor))
}

// pace sets its capacity anew, as long as it warms.
func (b *box) pace() {
	most := 1.0
	if b.role != edge {
		most = fillPace
	}
	if b.paused > 0 || !b.up || b.vanished {
		b.cpu.set(0, 0)
		return
	}
	b.cpu.set(b.cores*b.warmth()/b.slow, most/b.slow)
	if b.warmth() < 1 {
		b.w.after(b.spec.ColdFor/50, b.pace)
	}
}

// begin starts its process, empty; cold where it is not the start of the rehearsal.
func (b *box) begin(cold bool) {
	if b.since = -1; cold {
		b.since = b.w.now
	}
	b.up, b.vanished, b.silent = true, false, false
	b.cpu.clear()
	b.store, b.met = newStore(b.spec.Store), nil
	if !cold && b.spec.Held > 0 {
		b.met = map[key]bool{}
	}
	b.fills, b.fetching = 0, map[key]*fetch{}
	b.w.act(Listen{Address: b.addr})
	b.pace()
}

// die ends its process: connections are reset, new ones refused.
func (b *box) die() {
	if !b.up {
		return
	}
	b.up = false
	b.w.act(Shut{Address: b.addr})
	for _, c := range slices.Sorted(maps.Keys(b.conns)) {
		b.w.act(Reset{Conn: c})
		b.w.hung(c)
	}
	b.cpu.clear()
	b.fetching = map[key]*fetch{}
	b.pace()
}

// asks counts work that was asked of it. Past what it can bear it falls over; that it should not have been asked, as it
// had started just before, is told by Pushed, for work of those who knew.
func (b *box) asks(work float64, knows bool) {
	w := b.w
	multiple, span := b.spec.FallMultiple, b.spec.FallFor
	if b.role == core {
		multiple, span = w.script.Core.StopsAt, w.script.Core.StopsPush
	}
	b.sent.Add(w.now, work)
	if knows {
		b.knowing.Add(w.now, work)
	}
	most := multiple * b.cores * b.warmth() * span
	if most <= 0 || !b.up || b.sent.Sum(w.now) <= most {
		return
	}
	if knew := b.knowing.Sum(w.now); b.role != core && b.warmth() < 1 && knew > most {
		w.tell(Pushed{At: w.now, Box: b.id, Sent: knew, Allowed: most})
	}
	w.tell(Fell{At: w.now, Box: b.id})
	b.sent.Clear()
	b.knowing.Clear()
	b.die()
	back := b.spec.FallenFor
	if b.role == core {
		back = w.script.Core.StopsFor
	}
	if back > 0 {
		w.comeBack(b, back)
	}
}

// get takes a GET that has come whole.
func (b *box) get(r *request) {
	w := b.w
	if b.silent || b.vanished || r.over {
		return
	}
	if r.ask == nil || r.typ == nil { // what nobody asked for is no work
		b.trifle(r, "BROKE")
		return
	}
	if u := w.draws.below("error", r.id, b.id); u < b.fail || u < b.spec.Errs {
		b.trifle(r, "BROKE")
		return
	}
	if b.role == edge && len(b.cpu.waiting) >= int(float64(b.spec.Queue)*b.cores) {
		b.end(r, "WAIT", "", nil)
		return
	}
	if r.typ.Write {
		b.write(r)
		return
	}
	if c := b.held(r); c != nil {
		note := "warm"
		if r.typ.Fresh > 0 && c.born < w.now-r.typ.Fresh {
			note = "aged"
		}
		b.send(r, c.made, note)
		return
	}
	if r.next == "" {
		b.trifle(r, "LACK")
		return
	}
	b.fill(r, func(m *made, word string) {
		if m == nil {
			b.trifle(r, word)
			return
		}
		if r.admit > 0 {
			b.store.put(*m, r.admit)
		}
		b.send(r, *m, "fill")
	})
}

// held finds a copy that will do. What a box holds when the rehearsal begins is drawn when it is first asked for, since
// nobody can tell beforehand which box the gateways will ask.
func (b *box) held(r *request) *kept {
	w := b.w
	if b.met != nil && !b.met[r.key] {
		b.met[r.key] = true
		seldom := strings.HasPrefix(r.key.object, largeMark) || strings.HasPrefix(r.key.object, onceMark)
		c := w.draws.chance("held", b.zone, r.key.object, r.key.part)
		if c.Below() < b.spec.Held && !seldom {
			m := made{key: r.key, group: r.typ.group(w, r.key.object), typ: r.typ, born: -cmp.Or(r.typ.Fresh, 60_000) * c.Below(), size: r.bytes}
			m.tag = w.tag(m.key, m.group, m.born)
			b.store.put(m, 1)
		}
	}
	// By the time that the settings give for it, a purge has gone through to every box.
	return b.store.get(r.key, max(r.least, w.settled(r.key.object, r.typ.group(w, r.key.object))))
}

// send is a copy's way out of an edge cache.
func (b *box) send(r *request, m made, note string) {
	work := r.work
	if r.cached == m.tag {
		work /= 20
	}
	j := b.cpu.add(work, func() { b.end(r, "DONE", note, &m) })
	r.stop = func() { b.cpu.remove(j) }
}

func (b *box) trifle(r *request, word string) {
	j := b.cpu.add(trifle, func() { b.end(r, word, "", nil) })
	r.stop = func() { b.cpu.remove(j) }
}

// fill gets a miss from its source, or gives up.
func (b *box) fill(r *request, done func(*made, string)) {
	w := b.w
	if b.fills >= max(1, int(float64(b.spec.Fills)*b.cores)) {
		done(nil, "WAIT")
		return
	}
	b.fills++
	ended := false
	end := func(m *made, word string) {
		if ended {
			return
		}
		ended = true
		b.fills--
		w.agenda.Remove(r.timer)
		if !r.over && b.up {
			done(m, word)
		}
	}
	r.timer = w.after(b.spec.FillTimeout, func() {
		if r.stop != nil {
			r.stop()
		}
		end(nil, "BROKE")
	})
	r.stop = func() { end(nil, "") }
	from := w.boxes[r.next]
	if from == nil || from.role == edge {
		w.after(way, func() { end(nil, "BROKE") })
		return
	}
	hop := w.hop(b.zone, from.zone)
	w.after(hop, func() {
		switch {
		case ended || from.vanished || from.silent:
		case !from.up:
			w.after(hop, func() { end(nil, "BROKE") })
		case from.role == core:
			from.makes(r, func(m *made) { w.carry(b, r, m, hop, &ended, end) })
		default:
			from.supply(r, b, hop, &ended, end)
		}
	})
}

// supply is a hub's part of a fill.
func (b *box) supply(r *request, to *box, hop float64, ended *bool, end func(*made, string)) {
	w := b.w
	fails := func(word string) { w.after(hop, func() { end(nil, word) }) }
	if b.asks(r.usual(), true); !b.up {
		fails("BROKE")
		return
	}
	if b.cpu.open() >= int(float64(b.spec.Queue)*b.cores) {
		fails("WAIT")
		return
	}
	if u := w.draws.below("error", r.id, b.id); u < b.fail {
		fails("BROKE")
		return
	}
	out := func(m *made) {
		if m == nil {
			fails("BROKE")
		} else if !*ended {
			j := b.cpu.add(r.work, func() { w.carry(to, r, m, hop, ended, end) })
			r.stop = func() { b.cpu.remove(j); end(nil, "") }
		}
	}
	if c := b.held(r); c != nil {
		m := c.made
		out(&m)
		return
	}
	if strings.Contains(r.ways, "h") {
		fails("LACK")
		return
	}
	f := b.fetching[r.key]
	if f == nil || f.born < max(r.least, w.settled(r.key.object, r.typ.group(w, r.key.object))) {
		f = &fetch{born: w.now}
		b.fetching[r.key] = f
		from := w.core()
		far := w.script.Far
		w.after(far, func() {
			f.born = w.now
			from.makes(r, func(m *made) {
				w.after(far, func() {
					if b.fetching[r.key] == f {
						delete(b.fetching, r.key)
					}
					if !b.up {
						return
					}
					if m != nil {
						w.moved("up "+b.id, m.size)
						if f.keep {
							b.store.put(*m, 1)
						}
					}
					for _, done := range f.waiting {
						done(m)
					}
				})
			})
		})
	}
	f.keep = f.keep || !strings.Contains(r.ways, "n")
	f.waiting = append(f.waiting, out)
}

// makes is the core's part: an object as it is now.
func (b *box) makes(r *request, done func(*made)) {
	w := b.w
	w.tell(Made{At: w.now})
	b.asks(r.usual(), true)
	if !b.up || b.vanished || b.silent {
		if b.up {
			return
		}
		done(nil)
		return
	}
	m := &made{key: r.key, group: r.typ.group(w, r.key.object), typ: r.typ, born: w.now, size: r.bytes}
	m.tag = w.tag(m.key, m.group, m.born)
	b.cpu.add(r.work, func() { w.after(w.script.Core.Answers, func() { done(m) }) })
}

// carry brings a fill over the link into a club.
func (w *World) carry(to *box, r *request, m *made, hop float64, ended *bool, end func(*made, string)) {
	if m == nil {
		end(nil, "BROKE")
		return
	}
	if *ended {
		return
	}
	link := w.links[to.zone]
	j := link.add(m.size, func() {
		w.moved("into "+to.zone, m.size)
		w.after(hop, func() { end(m, "") })
	})
	r.stop = func() { link.remove(j); end(nil, "") }
}

// write passes a write on to the core, which runs it whenever it is told to: that it is told once is the gateways' task.
func (b *box) write(r *request) {
	w := b.w
	from := w.boxes[r.next]
	if from == nil {
		b.trifle(r, "LACK")
		return
	}
	to, hop := w.core(), w.hop(b.zone, w.core().zone)
	over := false
	r.timer = w.after(b.spec.FillTimeout, func() { over = true; b.trifle(r, "BROKE") })
	w.after(hop, func() {
		if to.vanished || to.silent {
			return
		}
		if to.asks(r.usual(), true); !to.up {
			w.after(hop, func() {
				if !over && b.up {
					w.agenda.Remove(r.timer)
					b.trifle(r, "BROKE")
				}
			})
			return
		}
		to.cpu.add(r.work, func() {
			w.tell(Ran{At: w.now, ID: r.id})
			w.ran[r.id]++
			if w.draws.below("lost", r.id, to.id) < to.lose {
				return
			}
			w.after(hop+w.script.Core.Answers, func() {
				if !over && b.up {
					w.agenda.Remove(r.timer)
					j := b.cpu.add(r.work, func() {
						b.end(r, "DONE", "fill", &made{key: r.key, tag: w.draws.id("ran", r.id), born: w.now, size: 64})
					})
					r.stop = func() { b.cpu.remove(j) }
				}
			})
		})
	})
}

// end answers a GET.
func (b *box) end(r *request, word, note string, m *made) {
	w := b.w
	if r.over || !b.up || b.vanished {
		return
	}
	r.over = true
	delete(r.conn.open, r.id)
	w.agenda.Remove(r.timer)
	a := Reply{Conn: r.conn.id, Tag: r.id, Word: word, Fields: "gauges=" + b.gauges()}
	f := Served{At: w.now, ID: r.id, Box: b.id, Word: word, Note: note}
	if m != nil {
		a.Fields = fmt.Sprintf("res=%s,sum=%s,t0=%.0f,%s", note, m.tag, w.epoch+m.born, a.Fields)
		if f.Born, f.Copy = m.born, !r.typ.Write; r.cached != "" && r.cached == m.tag {
			a.Word, f.Word = "KEEP", "KEEP"
		} else {
			a.Body = w.body(m, r)
		}
		if u := w.draws.below("spoilt", r.id, b.id); u < b.lose {
			w.tell(Served{At: w.now, ID: r.id, Box: b.id, Word: "lost"})
			return
		} else if u < b.cut {
			a.Cut, f.Word = true, "cut"
		}
	}
	w.tell(f)
	w.act(a)
	if a.Cut {
		w.hung(r.conn.id)
	}
}

// body is what a copy's bytes are: a line that says which it is, and as much more as its size is thinned to.
func (w *World) body(m *made, r *request) []byte {
	head := fmt.Sprintf("%s %d %s %.3f\n", m.object, m.part, m.tag, m.born)
	if r.typ.Write {
		head = fmt.Sprintf("ran %s\n", r.id)
	}
	size := len(head)
	if w.thin > 0 {
		size = max(size, min(240_000, int(m.size)/w.thin))
	}
	b := make([]byte, size)
	for n := 0; n < size; {
		n += copy(b[n:], head)
	}
	return b
}

// gauges is the load report, as it was a report or two ago.
func (b *box) gauges() string {
	if now := b.w.now; b.report == "" || now >= b.reportAt+b.spec.Report {
		b.last = b.report
		b.report = "inflight:" + strconv.Itoa(b.cpu.open()) + ";util:" +
			strconv.FormatFloat(min(1, float64(b.cpu.open())/max(0.001, b.cpu.capacity)), 'f', 2, 64)
		if b.last == "" {
			b.last = b.report
		}
		b.reportAt = now
	}
	return b.last
}

// probe answers PING and LOAD, for some work.
func (b *box) probe(c *conn, verb, tag string) {
	if b.silent || b.vanished {
		return
	}
	b.cpu.add(max(b.spec.Probe, 1e-3), func() {
		fields := "-"
		if verb == "LOAD" {
			fields = "gauges=" + b.gauges()
		}
		if b.up && !b.vanished && b.w.conns[c.id] == c {
			b.w.act(Reply{Conn: c.id, Tag: tag, Word: "FIT", Fields: fields})
		}
	})
}
