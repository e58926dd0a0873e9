package gateway

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"os"
	"strings"
	"testing"
	"testing/quick"
	"time"

	"github.com/sirupsen/logrus"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/router"
)

func config(t *testing.T) *footprint.Config {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := footprint.Parse(text, os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// client is a connection that remembers what it was told.
type client struct {
	answers map[uint16][]clients.Answer
}

func (c *client) Answer(id uint16, a clients.Answer) {
	c.answers[id] = append(c.answers[id], a)
	a.Body.Release()
}

// line is a wire whose writing, answers and end the test decides.
type line struct {
	w      *plain
	node   string
	queue  []*caches.Item
	closed bool
	gone   bool
	open   []string // ids that are whole at the node and not given up
}

func (l *line) Send(i *caches.Item) bool {
	if l.closed {
		i.Wrote(false)
		return false
	}
	l.queue = append(l.queue, i)
	return true
}

func (l *line) Remove(i *caches.Item) bool {
	for n, q := range l.queue {
		if q == i {
			l.queue = append(l.queue[:n], l.queue[n+1:]...)
			i.Wrote(false)
			return true
		}
	}
	return false
}

func (l *line) Heard() (float64, bool) { return 0, false }
func (l *line) Stuck() bool            { return false }
func (l *line) Close()                 { l.closed = true }

// deliver makes what is queued whole at the node.
func (l *line) deliver() {
	for _, i := range l.queue {
		i.Take()
		words := strings.Split(string(bytes.Join(i.Pieces(nil), nil)), "\r\n")
		i.Wrote(true)
		verb, id := words[2], words[4]
		switch verb {
		case "GET":
			l.w.arrived(l.node, id, words[6])
			l.open = append(l.open, id)
		case "DROP":
			for n, o := range l.open {
				if o == id {
					l.open = append(l.open[:n], l.open[n+1:]...)
					break
				}
			}
		default:
			l.open = append(l.open, id)
		}
	}
	l.queue = nil
}

// plain drives a core without sockets, and is a plain model of what it must keep.
type plain struct {
	t       *testing.T
	core    *Core
	pool    *caches.Pool
	buffers *buffer.Pool
	now     float64
	lines   []*line
	clients []*client
	asked   map[string]*ask
	shut    map[string]bool // nodes that were told to drain or to be gone
	wrong   []string
}

type ask struct {
	client *client
	number uint16
	typ    string
	expiry float64
	left   bool
	gets   int
	may    bool // a pull of it may have run
}

func newWorld(t *testing.T) *plain { return newWorldOf(t, config(t)) }

func newWorldOf(t *testing.T, c *footprint.Config) *plain {
	w := &plain{t: t, buffers: buffer.NewPool(1 << 24), now: 1e12, asked: map[string]*ask{}, shut: map[string]bool{}}
	names := map[string]string{}
	for _, n := range c.Known[0].Nodes {
		names[n.Address] = n.Node
	}
	w.pool = caches.NewPool(caches.Limits{Streams: 3, Idle: c.Idle, Conns: 12, Reports: true, Names: footprint.Report},
		func(address string) caches.Wire {
			l := &line{w: w, node: names[address]}
			w.lines = append(w.lines, l)
			return l
		})
	w.core = NewCore(c, w.pool, quiet(), w.now)
	for range 3 {
		w.clients = append(w.clients, &client{answers: map[uint16][]clients.Answer{}})
	}
	return w
}

func (w *plain) fault(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

func (w *plain) ask(c *client, typ string, object int, allow float64) string {
	id := fmt.Sprintf("%016x", len(w.asked)+1)
	a := &ask{client: c, number: uint16(len(w.asked) + 1), typ: typ, expiry: w.now + allow}
	w.asked[id] = a
	var body *buffer.Chain
	if typ == "renewal" {
		body = buffer.NewChain(w.buffers)
		body.Append([]byte("write"))
	}
	w.core.Handle(Asked{Client: c, ID: a.number, Body: body, At: w.now, Params: map[string]string{
		"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": fmt.Sprint(allow),
		"HTTP_X_ITEM": fmt.Sprintf("%016x", object), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}})
	return id
}

func (w *plain) arrived(node, id, fields string) {
	a := w.asked[id]
	if a == nil {
		w.fault("%s was never asked", id)
		return
	}
	_, source, _ := strings.Cut(fields, ",next=")
	source, _, _ = strings.Cut(source, ",")
	if w.shut[node] || w.shut[source] {
		w.fault("sent to %s after word of a drain: %s", node, fields)
	}
	if a.gets++; a.may && a.typ == "renewal" {
		w.fault("a write that may have run is sent again: %s", fields)
	}
	a.may = true
	if len(a.client.answers[a.number]) > 0 || a.left {
		w.fault("sent after its end: %s", fields)
	}
}

// answer lets a node end what it has open.
func (w *plain) answer(l *line, n int, word string) {
	id := l.open[n]
	l.open = append(l.open[:n], l.open[n+1:]...)
	r := caches.Reply{Tag: id, Word: word, Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", w.now)}
	if a := w.asked[id]; a == nil {
		r.Word = "FIT"
	} else if word == "LACK" || word == "WAIT" || word == "PAST" {
		a.may = false
	} else {
		r.Body = buffer.NewChain(w.buffers)
		r.Body.Append([]byte("body of " + id))
	}
	w.core.Handle(caches.Answered{Wire: l, Reply: r, At: w.now})
}

// end breaks a connection; what was not written whole never ran.
func (w *plain) end(l *line) {
	for _, i := range l.queue {
		i.Take()
		i.Wrote(false)
	}
	l.queue, l.open, l.closed, l.gone = nil, nil, true, true
	w.core.Handle(caches.Down{Wire: l, Up: true, At: w.now})
}

// step is one event, by chance.
func (w *plain) step(r *rand.Rand) {
	var alive []*line
	for _, l := range w.lines {
		if !l.gone {
			alive = append(alive, l)
		}
	}
	var l *line
	if len(alive) > 0 {
		l = alive[r.Intn(len(alive))]
	}
	c := w.clients[r.Intn(len(w.clients))]
	switch n := r.Intn(100); {
	case n < 25:
		w.ask(c, []string{"video", "pages", "renewal"}[r.Intn(3)], r.Intn(5), []float64{0, 3, 300, 2000}[r.Intn(4)])
	case n < 45 && l != nil && !l.closed:
		l.deliver()
	case n < 70 && l != nil && len(l.open) > 0 && !l.closed:
		w.answer(l, r.Intn(len(l.open)), []string{"DONE", "DONE", "DONE", "LACK", "WAIT", "BROKE", "PAST", "KEEP", "ODD"}[r.Intn(9)])
	case n < 74 && l != nil:
		w.end(l)
	case n < 78:
		for n := range len(w.asked) {
			id := fmt.Sprintf("%016x", n+1)
			if a := w.asked[id]; a.client == c && !a.left && len(c.answers[a.number]) == 0 {
				a.left = true
				w.core.Handle(Aborted{Client: c, ID: a.number, At: w.now})
				if got := c.answers[a.number]; len(got) != 1 || !got[0].None {
					w.fault("%s was given up and told %v", id, got)
				}
				break
			}
		}
	case n < 80:
		for _, a := range w.asked {
			a.left = a.left || a.client == c
		}
		w.core.Handle(Closed{Client: c, At: w.now})
	case n < 83:
		known := w.core.config.Known[0].Nodes
		node := known[r.Intn(len(known))]
		node.State = router.State(r.Intn(3))
		w.shut[node.Node] = node.State != router.Running
		w.core.Handle(Told{News: channel.News{Nodes: []channel.Node{node}}, At: w.now})
	case n < 85:
		w.core.Handle(Told{News: channel.News{Purge: true, PurgeTime: w.now - 50,
			Purged: router.Purged{Object: fmt.Sprintf("%016x", r.Intn(5))}}, At: w.now})
	default:
		w.now += r.ExpFloat64() * 30
		w.core.Ring(w.now)
	}
}

// settled checks that all has come to its end and that nothing is left over.
func (w *plain) settled() {
	for id, a := range w.asked {
		got := a.client.answers[a.number]
		if len(got) != 1 && !(a.left && len(got) == 0) {
			w.fault("%s, a %s, has %d answers", id, a.typ, len(got))
		}
		if len(got) == 1 && got[0].Status == 503 && a.may && a.typ == "renewal" {
			w.fault("%s may have run and was throttled", id)
		}
	}
	for _, l := range w.lines {
		if !l.gone {
			w.end(l)
		}
	}
	for _, x := range w.core.timers {
		if x.dl != nil || x.pull != nil || x.probe != nil {
			w.fault("a timer holds on to what has ended")
		}
	}
	if n := len(w.core.downloads); n != 0 || w.core.Open() != 0 || len(w.core.clients) != 0 || len(w.core.probes) != 0 {
		w.fault("%d downloads, %d owed, %d probes are left over", n, w.core.Open(), len(w.core.probes))
	}
	if n := w.buffers.Out(); n != 0 || w.pool.Conns() != 0 {
		w.fault("%d buffers and %d connections are left over", n, w.pool.Conns())
	}
	if n := assert.Broken(); n != 0 || w.core.Panics != 0 || w.core.Overdue != 0 {
		w.fault("%d asserts broken, %d panics, %d overdue", n, w.core.Panics, w.core.Overdue)
	}
}

// Whatever the order of events: one answer a download and none after it, no write twice, nothing left over.
func TestAnyOrder(t *testing.T) {
	holds := func(seed int64) bool {
		r, w := rand.New(rand.NewSource(seed)), newWorld(t)
		for range 400 {
			w.step(r)
			if text, drifts := w.core.Drift(); drifts {
				w.fault("the router's beliefs drift: %s", text)
				break
			}
		}
		if r.Intn(2) == 0 {
			w.core.End(w.now)
		} else {
			w.now += 10_000
			w.core.Ring(w.now)
		}
		w.now += 10_000
		w.core.Ring(w.now)
		w.settled()
		for _, text := range w.wrong {
			t.Errorf("seed %d: %s", seed, text)
		}
		return len(w.wrong) == 0
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func (w *plain) told(id string) string {
	a := w.asked[id]
	var out []string
	for _, got := range a.client.answers[a.number] {
		out = append(out, fmt.Sprint(got.Status))
	}
	return strings.Join(out, " ")
}

// Of two ends that meet, the one that happened first counts, and the other does no harm.
func TestEndsThatMeet(t *testing.T) {
	for _, c := range []struct {
		name string
		meet func(w *plain, l *line)
		want string
	}{
		{"the answer, then the time-out", func(w *plain, l *line) {
			w.now += 499
			w.answer(l, 0, "DONE")
			w.core.Ring(w.now + 1000)
		}, "200"},
		{"the time-out, then the answer", func(w *plain, l *line) {
			w.now += 501
			w.answer(l, 0, "DONE")
		}, "503"},
		{"the client leaves, then the answer", func(w *plain, l *line) {
			w.core.Handle(Closed{Client: w.clients[0], At: w.now})
			w.asked["0000000000000001"].left = true
			w.answer(l, 0, "DONE")
		}, ""},
		{"the end of the process, then the answer", func(w *plain, l *line) {
			w.core.End(w.now)
			w.answer(l, 0, "DONE")
			if late := w.ask(w.clients[0], "video", 2, 500); w.told(late) != "503" {
				w.fault("asked after the end and told %q", w.told(late))
			}
		}, "500"},
		{"the end of the process, while another waits for a place at a cache", func(w *plain, l *line) {
			for _, n := range w.core.config.Known[0].Nodes {
				n.State = router.Draining
				w.core.Handle(Told{News: channel.News{Nodes: []channel.Node{n}}, At: w.now})
			}
			waits := w.ask(w.clients[0], "renewal", 2, 500)
			if got := w.told(waits); got != "" {
				w.fault("it waits for nothing: %q", got)
			}
			w.core.End(w.now)
			if got := w.told(waits); got != "503" {
				w.fault("it never went out and is told %q", got)
			}
		}, "500"},
		{"the connection breaks, a second pull is answered", func(w *plain, l *line) {
			w.end(l)
			next := w.lines[len(w.lines)-1]
			next.deliver()
			w.answer(next, 0, "DONE")
		}, "200"},
	} {
		w := newWorld(t)
		id := w.ask(w.clients[0], "video", 1, 500)
		l := w.lines[0]
		l.deliver()
		c.meet(w, l)
		if got := w.told(id); got != c.want {
			t.Errorf("%s: told %q, want %q", c.name, got, c.want)
		}
		w.now += 10_000
		w.core.Ring(w.now)
		w.settled()
		for _, text := range w.wrong {
			t.Errorf("%s: %s", c.name, text)
		}
	}
}

// A request that can't be read gets a failing answer and never reaches a node.
func TestUnreadable(t *testing.T) {
	w := newWorld(t)
	good := map[string]string{"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "00000000000000aa", "HTTP_X_ALLOW_MS": "500",
		"HTTP_X_ITEM": "00000000000000bb", "HTTP_X_N": "0", "HTTP_X_SHARD": "7", "HTTP_X_MINE": "00000000000000cc"}
	number := uint16(0)
	ask := func(name, value string, body ...byte) int {
		params := map[string]string{}
		for n, v := range good {
			params[n] = v
		}
		params[name] = value
		number++
		var chain *buffer.Chain
		if len(body) > 0 {
			chain = buffer.NewChain(w.buffers)
			chain.Append(body)
		}
		w.core.Handle(Asked{Client: w.clients[0], ID: number, Params: params, Body: chain, At: w.now})
		if got := w.clients[0].answers[number]; len(got) == 1 {
			return got[0].Status
		}
		return 0
	}
	for _, c := range [][2]string{{"SCRIPT_NAME", "/invoke/odd"}, {"SCRIPT_NAME", ""}, {"HTTP_X_JOB_ID", ""},
		{"HTTP_X_JOB_ID", "00000000000000,a"}, {"HTTP_X_ALLOW_MS", ""}, {"HTTP_X_ALLOW_MS", "NaN"}, {"HTTP_X_ALLOW_MS", "-1"},
		{"HTTP_X_ITEM", "bb"}, {"HTTP_X_N", "-1"}, {"HTTP_X_N", ""}, {"HTTP_X_SHARD", "256"}, {"HTTP_X_SHARD", "x"},
		{"HTTP_X_MINE", "a,next=b"}, {"HTTP_X_MINE", ""}, {"HTTP_X_UNIQUE", ""}, {"HTTP_X_UNIQUE", "a,next=b"}, {"HTTP_X_UNIQUE", "a=b"},
		{"HTTP_X_UNIQUE", "a b"}, {"HTTP_X_UNIQUE", "a\r\nb"}, {"HTTP_X_UNIQUE", strings.Repeat("a", 65)}, {"HTTP_X_ITEM", "00000000000000BB"},
		{"HTTP_X_ALLOW_MS", "6601"}, {"HTTP_X_ALLOW_MS", "5e2"}, {"HTTP_X_ALLOW_MS", "+500"}, {"HTTP_X_ALLOW_MS", "0500"},
		{"HTTP_X_ALLOW_MS", " 500"}, {"HTTP_X_ALLOW_MS", "99999999999999999999"}, {"HTTP_X_N", "+1"}, {"HTTP_X_N", "1.0"},
		{"HTTP_X_N", "2147483648"}, {"CONTENT_LENGTH", "1"}, {"CONTENT_LENGTH", "-0"}, {"CONTENT_LENGTH", "1e0"}} {
		if got := ask(c[0], c[1]); got != 400 {
			t.Errorf("%s %q: status %d", c[0], c[1], got)
		}
	}
	if got := ask("X", "", 'b'); got != 400 {
		t.Errorf("a body to read with: status %d", got)
	}
	if w.core.config.Types[0].Parts = false; ask("HTTP_X_N", "1") != 400 {
		t.Error("a part of what has only one is let through")
	}
	if len(w.lines) != 0 {
		t.Error("one reached a node")
	}
	if ask("CONTENT_LENGTH", "0"); len(w.lines) != 1 {
		t.Error("a good one reached no node")
	}
	if got := ask("HTTP_X_ALLOW_MS", "6002"); got != 400 || !strings.Contains(fmt.Sprint(w.core.read(map[string]string{
		"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "00000000000000ab", "HTTP_X_ALLOW_MS": "6002",
		"HTTP_X_ITEM": "00000000000000bb", "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}, 0)), "<nil>") {
		t.Error("a little more than the longest expiry is turned away")
	}
	if got := ask("X", ""); got != 400 {
		t.Errorf("an id that is open already: status %d", got)
	}
	if got := ask("SCRIPT_NAME", "/_health"); got != 200 {
		t.Errorf("health: status %d", got)
	}
	w.lines[0].deliver()
	if got := w.lines[0].open; len(got) != 1 || got[0] != "00000000000000aa" {
		t.Errorf("at the node: %v", got)
	}
}

// What a pull says of itself on the wire is what the router said, and nothing else.
func TestFields(t *testing.T) {
	d := &download{typ: "video", object: "00000000000000bb", part: 3}
	for _, c := range []struct {
		a    router.Pull
		mine string
		want string
	}{
		{router.Pull{Node: "a"}, "", ""},
		{router.Pull{Node: "a", Source: "a"}, "", ""},
		{router.Pull{Node: "a", Source: "b", Rank: 2, MaxAge: 1500.9, How: router.OnlyHeld | router.PassParent}, "cc",
			",next=b,admit=2,agelim=1500,ways=h+n,cached=cc"},
		{router.Pull{Node: "a", Source: "b", MaxAge: 0.5, How: router.Join | router.Renew}, "", ",next=b,agelim=1,ways=j+r"},
	} {
		d.mine = c.mine
		if got, want := fields(d, c.a, 80.4), "kind=video,obj=00000000000000bb,seg=3,ms=80"+c.want; got != want {
			t.Errorf("%+v: %s, want %s", c.a, got, want)
		}
	}
	d.mine, d.key = "", "A-0_f" // goes on unchanged, with every pull: caches tell repeats by it
	if got, want := fields(d, router.Pull{Node: "a"}, 80.4), "kind=video,obj=00000000000000bb,seg=3,ms=80,token=A-0_f"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// What is due comes in its order, and what is no longer needed is not held on to.
func TestTimers(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	var h timers
	var all []*timer
	last, n := 0.0, 0
	for i := range 9000 {
		switch k := r.Intn(6); {
		case len(h) == 0 || k < 3 && i < 7000:
			all = append(all, h.push(timer{at: last + float64(r.Intn(50)), token: int64(i)}))
			n++
		case k == 3:
			x := all[r.Intn(len(all))]
			if x.place > 0 {
				n--
			}
			h.remove(x)
		default:
			x := h.pop()
			if n--; x.at < last || n != len(h) || x.place != 0 {
				t.Fatalf("%v comes after %v, %d left of %d", x.at, last, len(h), n)
			}
			last = x.at
		}
	}
}

// A flood of lines is counted, not written.
func TestScarce(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	s := &scarce{log: log}
	for i := range 1000 {
		s.Warn(float64(i), "odd", io.EOF)
	}
	s.Warn(1000, "odd", io.EOF)
	if got := strings.Count(out.String(), "msg=odd"); got != linesMost+1 || !strings.Contains(out.String(), "left out=995") {
		t.Errorf("%d lines: %s", got, out.String())
	}
}

// The parts of a budget fit into the limits, and each is enough to work with.
func TestBudget(t *testing.T) {
	c := config(t)
	for _, l := range [][2]int{{32, 256}, {48, 256}, {64, 384}, {192, 1024}, {24, 1024}, {192, 64}} {
		c.MemoryMB, c.Sockets, c.MostOpen = l[0], l[1], 1e9
		b := Share(c)
		conns := b.Clients + b.Caches
		if used := b.Reads + b.Bodies + conns*perConn + b.Open*perOpen; used > b.Heap || b.Heap+aside > l[0]<<20 || conns > max(32, l[1]-spare) {
			t.Errorf("%v: %+v is too much", l, b)
		}
		if beside := shareBeside(c); beside.Clients+beside.Caches > max(32, l[1]-spare-peersMost(c)) || beside.Clients+beside.Caches < 32 {
			t.Errorf("%v: beside %d connections of peers %+v", l, peersMost(c), beside)
		}
		if b.Clients < min(c.Sockets/3, 16) || b.Reads < conns*buffer.Size || b.Bodies < 4*240_000 || b.Open < 300 {
			t.Errorf("%v: %+v is too little", l, b)
		}
	}
}

// The end comes in time for the last download that may still be taken, and what it is told is on its way before the process may be
// killed: the longest expiry and 0.7 s after the word, 3.7 s at most.
func TestAnswerBy(t *testing.T) {
	c := config(t)
	for _, want := range []struct{ longest, answered, flushed time.Duration }{{6000, 3500, 3650}, {2500, 3000, 3150}, {600, 1100, 1250}, {120, 780, 810}} {
		c.Types[0].Expiry = float64(want.longest)
		c.Types = c.Types[:1]
		if answered, flushed := AnswerBy(c); answered != want.answered*time.Millisecond || flushed != want.flushed*time.Millisecond {
			t.Errorf("answered by %v, flushed by %v where the longest expiry is %d ms", answered, flushed, want.longest)
		}
	}
}
