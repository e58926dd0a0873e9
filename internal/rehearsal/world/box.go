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

// Work of a command other than a download, in ms; time that a command and its reply spend on the network together, in
// ms; and how many times faster a fill may run than a reply to a gateway.
const (
	minorWork   = 0.2
	roundTrip   = 0.6
	fillSpeedup = 2.5
)

// box is an edge cache, a hub or the member core.
type box struct {
	w                             *World
	id, addr, zone                string
	role                          role
	spec                          *script.Box
	cores                         float64
	cell                          int
	startedAt                     float64 // start time; negative: long before the rehearsal
	state                         string  // as it is published in the directory
	listedCursor                  int     // cursor of the channel event that announced it
	up                            bool
	vanished                      bool
	silent                        bool
	pauses                        int
	slowdown                      float64
	failShare                     float64 // share of requests that fail at once
	loseShare                     float64 // share of requests whose reply is lost after they ran
	cutShare                      float64 // share of replies that are cut off in the middle
	cpu                           *sharedResource
	store                         *store
	requested                     map[key]bool // keys that were requested so far, if the box begins with content; else nil
	activeFills                   int
	fetching                      map[key]*fetch
	sentWork, informedWork        router.Ring // work requested in the last span: in all, and by senders that knew this box
	conns                         map[int64]bool
	currentReport, previousReport string
	reportAt                      float64
}

// fetch is an object under way from the core to a hub, shared by all requests that wait for it.
type fetch struct {
	createdAt float64
	waiting   []func(*objectCopy)
	keep      bool
}

// request is one GET at a box.
type request struct {
	clientRequest *openRequest
	conn          *conn
	id            string
	key           key
	typ           *contentType
	work          float64
	bytes         float64
	source        string
	admitRank     int
	minCreatedAt  float64 // earliest creation time of an acceptable copy
	options       string
	cachedTag     string
	done          bool
	cancel        func() // cancels the work under way for it
	timer         *Entry
}

// expectedWork is the best estimate of a download's work that its sender can have: the mean of its content type.
func (r *request) expectedWork() float64 {
	if r.clientRequest == nil || r.typ == nil {
		return minorWork
	}
	return r.typ.Work
}

func (w *World) newBox(id, addr, zone string, r role, cores float64, cell int, spec *script.Box) *box {
	b := &box{w: w, id: id, addr: addr, zone: zone, role: r, spec: spec, cores: cores, cell: cell, startedAt: -1, state: "ready",
		slowdown: 1, fetching: map[key]*fetch{}, conns: map[int64]bool{}}
	slots, maxPerJob := int(float64(spec.Slots)*cores), 1.0
	if r == hub {
		slots, maxPerJob = 0, fillSpeedup
	} else if r == core {
		slots, maxPerJob = 0, fillSpeedup
	}
	b.cpu = newSharedResource(&w.queue, w.clock, cores, maxPerJob, slots)
	if r == core {
		b.cpu.crowding = w.script.Core.Congestion
	}
	b.store = newStore(spec.Store)
	b.sentWork, b.informedWork = newRecentSum(spec.OverloadWindow), newRecentSum(spec.OverloadWindow)
	w.boxes[id] = b
	w.boxOrder = append(w.boxOrder, b)
	return b
}

// warmFraction is the share of its capacity that the box has reached since its start.
func (b *box) warmFraction() float64 {
	if b.startedAt < 0 || b.role == core {
		return 1
	}
	return min(1, b.spec.ColdShare+(1-b.spec.ColdShare)*(b.w.now-b.startedAt)/max(1, b.spec.ColdFor))
}

// updateCapacity recomputes the capacity, repeatedly while the box warms up.
func (b *box) updateCapacity() {
	maxPerJob := 1.0
	if b.role != edge {
		maxPerJob = fillSpeedup
	}
	if b.pauses > 0 || !b.up || b.vanished {
		b.cpu.setCapacity(0, 0)
		return
	}
	b.cpu.setCapacity(b.cores*b.warmFraction()/b.slowdown, maxPerJob/b.slowdown)
	if b.warmFraction() < 1 {
		b.w.scheduleAfter(b.spec.ColdFor/50, b.updateCapacity)
	}
}

// start starts the box's process with an empty store; cold: after the start of the rehearsal, at reduced capacity.
func (b *box) start(cold bool) {
	if b.startedAt = -1; cold {
		b.startedAt = b.w.now
	}
	b.up, b.vanished, b.silent = true, false, false
	b.cpu.clear()
	b.store, b.requested = newStore(b.spec.Store), nil
	if !cold && b.spec.Held > 0 {
		b.requested = map[key]bool{}
	}
	b.activeFills, b.fetching = 0, map[key]*fetch{}
	b.w.emit(Listen{Address: b.addr})
	b.updateCapacity()
}

// stop ends the box's process: its connections are reset and new ones refused.
func (b *box) stop() {
	if !b.up {
		return
	}
	b.up = false
	b.w.emit(Close{Address: b.addr})
	for _, c := range slices.Sorted(maps.Keys(b.conns)) {
		b.w.emit(Reset{Conn: c})
		b.w.closeConn(c)
	}
	b.cpu.clear()
	b.fetching = map[key]*fetch{}
	b.updateCapacity()
}

// countWork adds requested work and brings the box down when the recent sum exceeds its limit. If the box was still
// warming up and the work from senders that knew of this start exceeds the limit on its own, it also reports
// ColdOverload: the gateways should not have sent that much.
func (b *box) countWork(work float64, senderKnows bool) {
	w := b.w
	multiple, span := b.spec.OverloadMultiple, b.spec.OverloadWindow
	if b.role == core {
		multiple, span = w.script.Core.OverloadMultiple, w.script.Core.OverloadWindow
	}
	b.sentWork.Add(w.now, work)
	if senderKnows {
		b.informedWork.Add(w.now, work)
	}
	limit := multiple * b.cores * b.warmFraction() * span
	if limit <= 0 || !b.up || b.sentWork.Sum(w.now) <= limit {
		return
	}
	if informedSum := b.informedWork.Sum(w.now); b.role != core && b.warmFraction() < 1 && informedSum > limit {
		w.report(ColdOverload{At: w.now, Box: b.id, Sent: informedSum, Allowed: limit})
	}
	w.report(Overloaded{At: w.now, Box: b.id})
	b.sentWork.Clear()
	b.informedWork.Clear()
	b.stop()
	restartDelay := b.spec.RestartDelay
	if b.role == core {
		restartDelay = w.script.Core.RestartDelay
	}
	if restartDelay > 0 {
		w.scheduleRestart(b, restartDelay)
	}
}

// handleGet processes a complete GET.
func (b *box) handleGet(r *request) {
	w := b.w
	if b.silent || b.vanished || r.done {
		return
	}
	if r.clientRequest == nil || r.typ == nil { // a request of no known client costs no work
		b.answerBriefly(r, "BROKE")
		return
	}
	if u := w.random.uniform("error", r.id, b.id); u < b.failShare || u < b.spec.Errs {
		b.answerBriefly(r, "BROKE")
		return
	}
	if b.role == edge && len(b.cpu.waiting) >= int(float64(b.spec.Queue)*b.cores) {
		b.answer(r, "WAIT", "", nil)
		return
	}
	if r.typ.Write {
		b.forwardWrite(r)
		return
	}
	if c := b.lookUp(r); c != nil {
		note := "warm"
		if r.typ.Fresh > 0 && c.createdAt < w.now-r.typ.Fresh {
			note = "aged"
		}
		b.sendCopy(r, c.objectCopy, note)
		return
	}
	if r.source == "" {
		b.answerBriefly(r, "LACK")
		return
	}
	b.fill(r, func(m *objectCopy, word string) {
		if m == nil {
			b.answerBriefly(r, word)
			return
		}
		if r.admitRank > 0 {
			b.store.put(*m, r.admitRank)
		}
		b.sendCopy(r, *m, "fill")
	})
}

// lookUp finds an acceptable copy. Whether the box held an object from the start is drawn when the object is first
// requested, since it cannot be known beforehand which box the gateways will ask.
func (b *box) lookUp(r *request) *storedCopy {
	w := b.w
	if b.requested != nil && !b.requested[r.key] {
		b.requested[r.key] = true
		seldom := strings.HasPrefix(r.key.object, largeMark) || strings.HasPrefix(r.key.object, onceMark)
		c := w.random.generator("held", b.zone, r.key.object, r.key.part)
		if c.Float64() < b.spec.Held && !seldom {
			m := objectCopy{key: r.key, group: r.typ.group(w, r.key.object), typ: r.typ, createdAt: -cmp.Or(r.typ.Fresh, 60_000) * c.Float64(), size: r.bytes}
			m.tag = w.tag(m.key, m.group, m.createdAt)
			b.store.put(m, 1)
		}
	}
	// Once the settle time of the settings has passed, a purge has reached every box.
	return b.store.get(r.key, max(r.minCreatedAt, w.lastSettledPurge(r.key.object, r.typ.group(w, r.key.object))))
}

// sendCopy serves a copy to the gateway; a copy that the gateway already holds costs a twentieth of the work.
func (b *box) sendCopy(r *request, m objectCopy, note string) {
	work := r.work
	if r.cachedTag == m.tag {
		work /= 20
	}
	j := b.cpu.add(work, func() { b.answer(r, "DONE", note, &m) })
	r.cancel = func() { b.cpu.remove(j) }
}

func (b *box) answerBriefly(r *request, word string) {
	j := b.cpu.add(minorWork, func() { b.answer(r, word, "", nil) })
	r.cancel = func() { b.cpu.remove(j) }
}

// fill fetches a missing object from the request's source; done gets nil and a reply word if that fails.
func (b *box) fill(r *request, done func(*objectCopy, string)) {
	w := b.w
	if b.activeFills >= max(1, int(float64(b.spec.Fills)*b.cores)) {
		done(nil, "WAIT")
		return
	}
	b.activeFills++
	ended := false
	finish := func(m *objectCopy, word string) {
		if ended {
			return
		}
		ended = true
		b.activeFills--
		w.queue.Remove(r.timer)
		if !r.done && b.up {
			done(m, word)
		}
	}
	r.timer = w.scheduleAfter(b.spec.FillTimeout, func() {
		if r.cancel != nil {
			r.cancel()
		}
		finish(nil, "BROKE")
	})
	r.cancel = func() { finish(nil, "") }
	source := w.boxes[r.source]
	if source == nil || source.role == edge {
		w.scheduleAfter(roundTrip, func() { finish(nil, "BROKE") })
		return
	}
	hop := w.latency(b.zone, source.zone)
	w.scheduleAfter(hop, func() {
		switch {
		case ended || source.vanished || source.silent:
		case !source.up:
			w.scheduleAfter(hop, func() { finish(nil, "BROKE") })
		case source.role == core:
			source.produce(r, func(m *objectCopy) { w.transferFill(b, r, m, hop, &ended, finish) })
		default:
			source.supplyFill(r, b, hop, &ended, finish)
		}
	})
}

// supplyFill is the hub's side of a fill.
func (b *box) supplyFill(r *request, to *box, hop float64, ended *bool, finish func(*objectCopy, string)) {
	w := b.w
	failWith := func(word string) { w.scheduleAfter(hop, func() { finish(nil, word) }) }
	if b.countWork(r.expectedWork(), true); !b.up {
		failWith("BROKE")
		return
	}
	if b.cpu.jobCount() >= int(float64(b.spec.Queue)*b.cores) {
		failWith("WAIT")
		return
	}
	if u := w.random.uniform("error", r.id, b.id); u < b.failShare {
		failWith("BROKE")
		return
	}
	deliver := func(m *objectCopy) {
		if m == nil {
			failWith("BROKE")
		} else if !*ended {
			j := b.cpu.add(r.work, func() { w.transferFill(to, r, m, hop, ended, finish) })
			r.cancel = func() { b.cpu.remove(j); finish(nil, "") }
		}
	}
	if c := b.lookUp(r); c != nil {
		m := c.objectCopy
		deliver(&m)
		return
	}
	if strings.Contains(r.options, "h") {
		failWith("LACK")
		return
	}
	f := b.fetching[r.key]
	if f == nil || f.createdAt < max(r.minCreatedAt, w.lastSettledPurge(r.key.object, r.typ.group(w, r.key.object))) {
		f = &fetch{createdAt: w.now}
		b.fetching[r.key] = f
		from := w.core()
		far := w.script.Far
		w.scheduleAfter(far, func() {
			f.createdAt = w.now
			from.produce(r, func(m *objectCopy) {
				w.scheduleAfter(far, func() {
					if b.fetching[r.key] == f {
						delete(b.fetching, r.key)
					}
					if !b.up {
						return
					}
					if m != nil {
						w.reportTransfer("up "+b.id, m.size)
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
	f.keep = f.keep || !strings.Contains(r.options, "n")
	f.waiting = append(f.waiting, deliver)
}

// produce is the core's side of a fill: it makes the object in its present version.
func (b *box) produce(r *request, done func(*objectCopy)) {
	w := b.w
	w.report(ObjectProduced{At: w.now})
	b.countWork(r.expectedWork(), true)
	if !b.up || b.vanished || b.silent {
		if b.up {
			return
		}
		done(nil)
		return
	}
	m := &objectCopy{key: r.key, group: r.typ.group(w, r.key.object), typ: r.typ, createdAt: w.now, size: r.bytes}
	m.tag = w.tag(m.key, m.group, m.createdAt)
	b.cpu.add(r.work, func() { w.scheduleAfter(w.script.Core.Latency, func() { done(m) }) })
}

// transferFill sends a fill over the link into a club.
func (w *World) transferFill(to *box, r *request, m *objectCopy, hop float64, ended *bool, finish func(*objectCopy, string)) {
	if m == nil {
		finish(nil, "BROKE")
		return
	}
	if *ended {
		return
	}
	link := w.clubLinks[to.zone]
	j := link.add(m.size, func() {
		w.reportTransfer("into "+to.zone, m.size)
		w.scheduleAfter(hop, func() { finish(m, "") })
	})
	r.cancel = func() { link.remove(j); finish(nil, "") }
}

// forwardWrite passes a write on to the core, which runs it each time it arrives: sending it only once is up to the gateways.
func (b *box) forwardWrite(r *request) {
	w := b.w
	source := w.boxes[r.source]
	if source == nil {
		b.answerBriefly(r, "LACK")
		return
	}
	to, hop := w.core(), w.latency(b.zone, w.core().zone)
	timedOut := false
	r.timer = w.scheduleAfter(b.spec.FillTimeout, func() { timedOut = true; b.answerBriefly(r, "BROKE") })
	w.scheduleAfter(hop, func() {
		if to.vanished || to.silent {
			return
		}
		if to.countWork(r.expectedWork(), true); !to.up {
			w.scheduleAfter(hop, func() {
				if !timedOut && b.up {
					w.queue.Remove(r.timer)
					b.answerBriefly(r, "BROKE")
				}
			})
			return
		}
		to.cpu.add(r.work, func() {
			w.report(WriteRan{At: w.now, ID: r.id})
			w.writeRuns[r.id]++
			if w.random.uniform("lost", r.id, to.id) < to.loseShare {
				return
			}
			w.scheduleAfter(hop+w.script.Core.Latency, func() {
				if !timedOut && b.up {
					w.queue.Remove(r.timer)
					j := b.cpu.add(r.work, func() {
						b.answer(r, "DONE", "fill", &objectCopy{key: r.key, tag: w.random.id("ran", r.id), createdAt: w.now, size: 64})
					})
					r.cancel = func() { b.cpu.remove(j) }
				}
			})
		})
	})
}

// answer replies to a GET.
func (b *box) answer(r *request, word, note string, m *objectCopy) {
	w := b.w
	if r.done || !b.up || b.vanished {
		return
	}
	r.done = true
	delete(r.conn.requests, r.id)
	w.queue.Remove(r.timer)
	a := Reply{Conn: r.conn.id, Tag: r.id, Word: word, Fields: "gauges=" + b.loadReport()}
	f := Served{At: w.now, ID: r.id, Box: b.id, Word: word, Note: note}
	if m != nil {
		a.Fields = fmt.Sprintf("res=%s,sum=%s,t0=%.0f,%s", note, m.tag, w.epoch+m.createdAt, a.Fields)
		if f.CreatedAt, f.Copy = m.createdAt, !r.typ.Write; r.cachedTag != "" && r.cachedTag == m.tag {
			a.Word, f.Word = "KEEP", "KEEP"
		} else {
			a.Body = w.copyBody(m, r)
		}
		if u := w.random.uniform("spoilt", r.id, b.id); u < b.loseShare {
			w.report(Served{At: w.now, ID: r.id, Box: b.id, Word: "lost"})
			return
		} else if u < b.cutShare {
			a.Cut, f.Word = true, "cut"
		}
	}
	w.report(f)
	w.emit(a)
	if a.Cut {
		w.closeConn(r.conn.id)
	}
}

// copyBody builds the bytes of a copy: a line that identifies it, repeated up to its size divided by bodyDivisor.
func (w *World) copyBody(m *objectCopy, r *request) []byte {
	head := fmt.Sprintf("%s %d %s %.3f\n", m.object, m.part, m.tag, m.createdAt)
	if r.typ.Write {
		head = fmt.Sprintf("ran %s\n", r.id)
	}
	size := len(head)
	if w.bodyDivisor > 0 {
		size = max(size, min(240_000, int(m.size)/w.bodyDivisor))
	}
	body := make([]byte, size)
	for n := 0; n < size; {
		n += copy(body[n:], head)
	}
	return body
}

// loadReport returns the load gauges as of one or two report intervals ago.
func (b *box) loadReport() string {
	if now := b.w.now; b.currentReport == "" || now >= b.reportAt+b.spec.Report {
		b.previousReport = b.currentReport
		b.currentReport = "inflight:" + strconv.Itoa(b.cpu.jobCount()) + ";util:" +
			strconv.FormatFloat(min(1, float64(b.cpu.jobCount())/max(0.001, b.cpu.capacity)), 'f', 2, 64)
		if b.previousReport == "" {
			b.previousReport = b.currentReport
		}
		b.reportAt = now
	}
	return b.previousReport
}

// answerProbe replies to PING and LOAD after the work of a probe.
func (b *box) answerProbe(c *conn, verb, tag string) {
	if b.silent || b.vanished {
		return
	}
	b.cpu.add(max(b.spec.Probe, 1e-3), func() {
		fields := "-"
		if verb == "LOAD" {
			fields = "gauges=" + b.loadReport()
		}
		if b.up && !b.vanished && b.w.conns[c.id] == c {
			b.w.emit(Reply{Conn: c.id, Tag: tag, Word: "FIT", Fields: fields})
		}
	})
}
