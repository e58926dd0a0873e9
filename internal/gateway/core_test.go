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
	"poppymill/internal/gatewayconfig"
	linksdriver "poppymill/internal/links/driver"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/router"
)

func testConfig(t *testing.T) *gatewayconfig.Config {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := gatewayconfig.Parse(text, os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// client records the answers that it gets.
type client struct {
	answers map[uint16][]clients.Answer
	gone    bool
}

func (c *client) Gone() bool { return c.gone }

func (c *client) Answer(id uint16, a clients.Answer) {
	c.answers[id] = append(c.answers[id], a)
	a.Body.Release()
}

// fakeWire is a connection to a node; the test decides when commands are written and answered and when it breaks.
type fakeWire struct {
	harness *harness
	node    string
	queue   []*caches.Command
	closed  bool
	broken  bool
	open    []string // ids of the commands that the node has received and that were not dropped
}

func (w *fakeWire) Send(i *caches.Command) bool {
	if w.closed {
		i.MarkWritten(false)
		return false
	}
	w.queue = append(w.queue, i)
	return true
}

func (w *fakeWire) Remove(i *caches.Command) bool {
	for n, q := range w.queue {
		if q == i {
			w.queue = append(w.queue[:n], w.queue[n+1:]...)
			i.MarkWritten(false)
			return true
		}
	}
	return false
}

func (w *fakeWire) LastRead() (float64, bool) { return 0, false }
func (w *fakeWire) Stuck() bool               { return false }
func (w *fakeWire) Close()                    { w.closed = true }

// deliver writes all queued commands to the node.
func (w *fakeWire) deliver() {
	for _, i := range w.queue {
		i.MarkWriting()
		words := strings.Split(string(bytes.Join(i.Pieces(nil), nil)), "\r\n")
		i.MarkWritten(true)
		verb, id := words[2], words[4]
		switch verb {
		case "GET":
			w.harness.onGet(w.node, id, words[6])
			w.open = append(w.open, id)
		case "DROP":
			for n, o := range w.open {
				if o == id {
					w.open = append(w.open[:n], w.open[n+1:]...)
					break
				}
			}
		default:
			w.open = append(w.open, id)
		}
	}
	w.queue = nil
}

// harness drives a core without sockets and checks its guarantees against a simple model.
type harness struct {
	t          *testing.T
	core       *Core
	pool       *caches.Pool
	buffers    *buffer.Pool
	now        float64
	wires      []*fakeWire
	clients    []*client
	requests   map[string]*request
	notRunning map[string]bool // nodes listed as draining or gone
	faults     []string
}

// request is the model's view of a download.
type request struct {
	client     *client
	number     uint16
	typ        string
	expiry     float64
	gone       bool
	attempts   int
	mayHaveRun bool // one of its pulls may have run
}

func newHarness(t *testing.T) *harness { return newHarnessWithConfig(t, testConfig(t)) }

func newHarnessWithConfig(t *testing.T, c *gatewayconfig.Config) *harness {
	h := &harness{t: t, buffers: buffer.NewPool(1 << 24), now: 1e12, requests: map[string]*request{}, notRunning: map[string]bool{}}
	names := map[string]string{}
	for _, n := range c.Known[0].Nodes {
		names[n.Address] = n.Node
	}
	h.pool = caches.NewPool(caches.Limits{PullsPerConn: 3, IdleTimeout: c.IdleTimeout, Conns: 12, RequestLoad: true, GaugeName: gatewayconfig.LoadValueName},
		func(address string) caches.Wire {
			w := &fakeWire{harness: h, node: names[address]}
			h.wires = append(h.wires, w)
			return w
		})
	h.core = NewCore(c, h.pool, discardLogger(), h.now)
	for range 3 {
		h.clients = append(h.clients, &client{answers: map[uint16][]clients.Answer{}})
	}
	return h
}

// faultf records a violation of a guarantee.
func (h *harness) faultf(format string, args ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// sendRequest sends a request and returns its id.
func (h *harness) sendRequest(c *client, typ string, object int, allow float64) string {
	id := fmt.Sprintf("%016x", len(h.requests)+1)
	req := &request{client: c, number: uint16(len(h.requests) + 1), typ: typ, expiry: h.now + allow}
	h.requests[id] = req
	var body *buffer.Body
	if typ == "renewal" {
		body = buffer.NewChain(h.buffers)
		body.Append([]byte("write"))
	}
	h.core.Handle(RequestReceived{Client: c, ID: req.number, Body: body, At: h.now, Params: map[string]string{
		"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": fmt.Sprint(allow),
		"HTTP_X_ITEM": fmt.Sprintf("%016x", object), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}})
	return id
}

// onGet checks a pull that reaches a node.
func (h *harness) onGet(node, id, fields string) {
	req := h.requests[id]
	if req == nil {
		h.faultf("pull of unknown download %s", id)
		return
	}
	_, source, _ := strings.Cut(fields, ",next=")
	source, _, _ = strings.Cut(source, ",")
	if h.notRunning[node] || h.notRunning[source] {
		h.faultf("sent to %s after it was listed as draining or gone: %s", node, fields)
	}
	if req.attempts++; req.mayHaveRun && req.typ == "renewal" {
		h.faultf("a write that may have run was sent again: %s", fields)
	}
	req.mayHaveRun = true
	if len(req.client.answers[req.number]) > 0 || req.gone {
		h.faultf("sent after the end of its download: %s", fields)
	}
}

// reply makes a node answer its n-th open command.
func (h *harness) reply(w *fakeWire, n int, word string) {
	id := w.open[n]
	w.open = append(w.open[:n], w.open[n+1:]...)
	r := caches.Reply{ID: id, Word: word, Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", h.now)}
	if req := h.requests[id]; req == nil {
		r.Word = "FIT"
	} else if word == "LACK" || word == "WAIT" || word == "PAST" {
		req.mayHaveRun = false
	} else {
		r.Body = buffer.NewChain(h.buffers)
		r.Body.Append([]byte("body of " + id))
	}
	h.core.Handle(caches.Replied{Wire: w, Reply: r, At: h.now})
}

// breakWire breaks a connection. Commands that were not written completely never ran.
func (h *harness) breakWire(w *fakeWire) {
	for _, i := range w.queue {
		i.MarkWriting()
		i.MarkWritten(false)
	}
	w.queue, w.open, w.closed, w.broken = nil, nil, true, true
	h.core.Handle(caches.Down{Wire: w, WasUp: true, At: h.now})
}

// step executes one random event.
func (h *harness) step(r *rand.Rand) {
	var alive []*fakeWire
	for _, w := range h.wires {
		if !w.broken {
			alive = append(alive, w)
		}
	}
	var w *fakeWire
	if len(alive) > 0 {
		w = alive[r.Intn(len(alive))]
	}
	c := h.clients[r.Intn(len(h.clients))]
	switch n := r.Intn(100); {
	case n < 25:
		h.sendRequest(c, []string{"video", "pages", "renewal"}[r.Intn(3)], r.Intn(5), []float64{0, 3, 300, 2000}[r.Intn(4)])
	case n < 45 && w != nil && !w.closed:
		w.deliver()
	case n < 70 && w != nil && len(w.open) > 0 && !w.closed:
		h.reply(w, r.Intn(len(w.open)), []string{"DONE", "DONE", "DONE", "LACK", "WAIT", "BROKE", "PAST", "KEEP", "ODD"}[r.Intn(9)])
	case n < 74 && w != nil:
		h.breakWire(w)
	case n < 78:
		for n := range len(h.requests) {
			id := fmt.Sprintf("%016x", n+1)
			if req := h.requests[id]; req.client == c && !req.gone && len(c.answers[req.number]) == 0 {
				req.gone = true
				h.core.Handle(RequestAborted{Client: c, ID: req.number, At: h.now})
				if got := c.answers[req.number]; len(got) != 1 || !got[0].NoResponse {
					h.faultf("%s was aborted and answered %v", id, got)
				}
				break
			}
		}
	case n < 80:
		for _, req := range h.requests {
			req.gone = req.gone || req.client == c
		}
		h.core.Handle(ClientClosed{Client: c, At: h.now})
	case n < 83:
		known := h.core.config.Known[0].Nodes
		node := known[r.Intn(len(known))]
		node.State = router.State(r.Intn(3))
		h.notRunning[node.Node] = node.State != router.Running
		h.core.Handle(ChannelEvent{News: channel.Event{Nodes: []channel.Node{node}}, At: h.now})
	case n < 85:
		h.core.Handle(ChannelEvent{News: channel.Event{Purge: true, PurgeTime: h.now - 50,
			PurgeScope: router.Purged{Object: fmt.Sprintf("%016x", r.Intn(5))}}, At: h.now})
	default:
		h.now += r.ExpFloat64() * 30
		h.core.Advance(h.now)
	}
}

// checkSettled checks that every download has ended and no resource is left over.
func (h *harness) checkSettled() {
	for id, req := range h.requests {
		got := req.client.answers[req.number]
		if len(got) != 1 && !(req.gone && len(got) == 0) {
			h.faultf("%s, a %s, has %d answers", id, req.typ, len(got))
		}
		if len(got) == 1 && got[0].Status == 503 && req.mayHaveRun && req.typ == "renewal" {
			h.faultf("%s may have run and was throttled", id)
		}
	}
	for _, w := range h.wires {
		if !w.broken {
			h.breakWire(w)
		}
	}
	for _, tm := range h.core.timers {
		if tm.download != nil || tm.pull != nil || tm.probe != nil {
			h.faultf("a timer of an ended download, pull or probe is left over")
		}
	}
	if n := len(h.core.downloads); n != 0 || h.core.Open() != 0 || len(h.core.clients) != 0 || len(h.core.probes) != 0 {
		h.faultf("%d downloads, %d open, %d probes are left over", n, h.core.Open(), len(h.core.probes))
	}
	if n := h.buffers.InUse(); n != 0 || h.pool.Conns() != 0 {
		h.faultf("%d buffers and %d connections are left over", n, h.pool.Conns())
	}
	if n := assert.Broken(); n != 0 || h.core.Panics != 0 || h.core.Overdue != 0 {
		h.faultf("%d failed assertions, %d panics, %d overdue", n, h.core.Panics, h.core.Overdue)
	}
}

// For any order of events, each download gets one answer, nothing is sent after it, no write runs twice, and no
// resource is left over.
func TestRandomEventOrder(t *testing.T) {
	holds := func(seed int64) bool {
		r, h := rand.New(rand.NewSource(seed)), newHarness(t)
		for range 400 {
			h.step(r)
			if text, drifts := h.core.RouterDrift(); drifts {
				h.faultf("the router's beliefs drift: %s", text)
				break
			}
		}
		if r.Intn(2) == 0 {
			h.core.Shutdown(h.now)
		} else {
			h.now += 10_000
			h.core.Advance(h.now)
		}
		h.now += 10_000
		h.core.Advance(h.now)
		h.checkSettled()
		for _, text := range h.faults {
			t.Errorf("seed %d: %s", seed, text)
		}
		return len(h.faults) == 0
	}
	if err := quick.Check(holds, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// statuses returns the statuses of the answers to a request.
func (h *harness) statuses(id string) string {
	req := h.requests[id]
	var out []string
	for _, got := range req.client.answers[req.number] {
		out = append(out, fmt.Sprint(got.Status))
	}
	return strings.Join(out, " ")
}

// If two events would end a download, the one that happened first counts, and the other has no effect.
func TestCompetingEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		meet func(h *harness, w *fakeWire)
		want string
	}{
		{"the answer, then the time-out", func(h *harness, w *fakeWire) {
			h.now += 499
			h.reply(w, 0, "DONE")
			h.core.Advance(h.now + 1000)
		}, "200"},
		{"the time-out, then the answer", func(h *harness, w *fakeWire) {
			h.now += 501
			h.reply(w, 0, "DONE")
		}, "503"},
		{"the client leaves, then the answer", func(h *harness, w *fakeWire) {
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
			h.requests["0000000000000001"].gone = true
			h.reply(w, 0, "DONE")
		}, ""},
		{"the end of the process, then the answer", func(h *harness, w *fakeWire) {
			h.core.Shutdown(h.now)
			h.reply(w, 0, "DONE")
			if late := h.sendRequest(h.clients[0], "video", 2, 500); h.statuses(late) != "503" {
				h.faultf("a request after the end was answered %q", h.statuses(late))
			}
		}, "500"},
		{"the end of the process, while another download waits for a node", func(h *harness, w *fakeWire) {
			for _, n := range h.core.config.Known[0].Nodes {
				n.State = router.Draining
				h.core.Handle(ChannelEvent{News: channel.Event{Nodes: []channel.Node{n}}, At: h.now})
			}
			waiting := h.sendRequest(h.clients[0], "renewal", 2, 500)
			if got := h.statuses(waiting); got != "" {
				h.faultf("the second download does not wait: %q", got)
			}
			h.core.Shutdown(h.now)
			if got := h.statuses(waiting); got != "503" {
				h.faultf("the second download was never sent and was answered %q", got)
			}
		}, "500"},
		{"the connection breaks, a second pull is answered", func(h *harness, w *fakeWire) {
			h.breakWire(w)
			next := h.wires[len(h.wires)-1]
			next.deliver()
			h.reply(next, 0, "DONE")
		}, "200"},
	} {
		h := newHarness(t)
		id := h.sendRequest(h.clients[0], "video", 1, 500)
		w := h.wires[0]
		w.deliver()
		c.meet(h, w)
		if got := h.statuses(id); got != c.want {
			t.Errorf("%s: answered %q, want %q", c.name, got, c.want)
		}
		h.now += 10_000
		h.core.Advance(h.now)
		h.checkSettled()
		for _, text := range h.faults {
			t.Errorf("%s: %s", c.name, text)
		}
	}
}

// A malformed request is answered with an error and never reaches a node.
func TestMalformedRequests(t *testing.T) {
	h := newHarness(t)
	good := map[string]string{"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "00000000000000aa", "HTTP_X_ALLOW_MS": "500",
		"HTTP_X_ITEM": "00000000000000bb", "HTTP_X_N": "0", "HTTP_X_SHARD": "7", "HTTP_X_MINE": "00000000000000cc"}
	number := uint16(0)
	statusOf := func(name, value string, body ...byte) int {
		params := map[string]string{}
		for n, v := range good {
			params[n] = v
		}
		params[name] = value
		number++
		var chain *buffer.Body
		if len(body) > 0 {
			chain = buffer.NewChain(h.buffers)
			chain.Append(body)
		}
		h.core.Handle(RequestReceived{Client: h.clients[0], ID: number, Params: params, Body: chain, At: h.now})
		if got := h.clients[0].answers[number]; len(got) == 1 {
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
		if got := statusOf(c[0], c[1]); got != 400 {
			t.Errorf("%s %q: status %d", c[0], c[1], got)
		}
	}
	if got := statusOf("X", "", 'b'); got != 400 {
		t.Errorf("a body for a type without bodies: status %d", got)
	}
	if h.core.config.Types[0].MultiPart = false; statusOf("HTTP_X_N", "1") != 400 {
		t.Error("a part number for a type without parts was accepted")
	}
	if len(h.wires) != 0 {
		t.Error("a malformed request reached a node")
	}
	if statusOf("CONTENT_LENGTH", "0"); len(h.wires) != 1 {
		t.Error("a valid request reached no node")
	}
	if got := statusOf("HTTP_X_ALLOW_MS", "6002"); got != 400 || !strings.Contains(fmt.Sprint(h.core.parseDownload(map[string]string{
		"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "00000000000000ab", "HTTP_X_ALLOW_MS": "6002",
		"HTTP_X_ITEM": "00000000000000bb", "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}, 0)), "<nil>") {
		t.Error("slightly more than the longest expiry was refused")
	}
	if got := statusOf("X", ""); got != 400 {
		t.Errorf("the id of an open download: status %d", got)
	}
	if got := statusOf("SCRIPT_NAME", "/_health"); got != 200 {
		t.Errorf("health: status %d", got)
	}
	h.wires[0].deliver()
	if got := h.wires[0].open; len(got) != 1 || got[0] != "00000000000000aa" {
		t.Errorf("at the node: %v", got)
	}
}

// The fields of a pull command are exactly what the router decided.
func TestPullFields(t *testing.T) {
	d := &download{typ: "video", object: "00000000000000bb", part: 3}
	for _, c := range []struct {
		a    router.Pull
		mine string
		want string
	}{
		{router.Pull{Node: "a"}, "", ""},
		{router.Pull{Node: "a", Source: "a"}, "", ""},
		{router.Pull{Node: "a", Source: "b", Rank: 2, MaxAge: 1500.9, Options: router.HeldOnly | router.SkipParentCopy}, "cc",
			",next=b,admit=2,agelim=1500,ways=h+n,cached=cc"},
		{router.Pull{Node: "a", Source: "b", MaxAge: 0.5, Options: router.JoinFill | router.StaleWhileRevalidate}, "", ",next=b,agelim=1,ways=j+r"},
	} {
		d.clientSum = c.mine
		if got, want := pullFields(d, c.a, 80.4), "kind=video,obj=00000000000000bb,seg=3,ms=80"+c.want; got != want {
			t.Errorf("%+v: %s, want %s", c.a, got, want)
		}
	}
	d.clientSum, d.idempotencyKey = "", "A-0_f" // passed unchanged with every pull: caches detect repeats by it
	if got, want := pullFields(d, router.Pull{Node: "a"}, 80.4), "kind=video,obj=00000000000000bb,seg=3,ms=80,token=A-0_f"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// Timers fire in order, and removed timers are not kept.
func TestTimers(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	var heap timers
	var all []*timer
	last, n := 0.0, 0
	for i := range 9000 {
		switch k := r.Intn(6); {
		case len(heap) == 0 || k < 3 && i < 7000:
			all = append(all, heap.push(timer{at: last + float64(r.Intn(50)), token: int64(i)}))
			n++
		case k == 3:
			x := all[r.Intn(len(all))]
			if x.heapPos > 0 {
				n--
			}
			heap.remove(x)
		default:
			x := heap.pop()
			if n--; x.at < last || n != len(heap) || x.heapPos != 0 {
				t.Fatalf("%v popped after %v; %d timers in the heap, %d expected", x.at, last, len(heap), n)
			}
			last = x.at
		}
	}
}

// A flood of warnings is counted rather than written.
func TestWarnLimiter(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	l := &warnLimiter{log: log}
	for i := range 1000 {
		l.Warn(float64(i), "odd", io.EOF)
	}
	l.Warn(1000, "odd", io.EOF)
	if got := strings.Count(out.String(), "msg=odd"); got != maxLinesPerSecond+1 || !strings.Contains(out.String(), "left out=995") {
		t.Errorf("%d lines: %s", got, out.String())
	}
}

// The parts of a budget fit into the limits, and each is large enough to work with.
func TestBudget(t *testing.T) {
	config := testConfig(t)
	for _, limits := range [][2]int{{32, 256}, {48, 256}, {64, 384}, {192, 1024}, {24, 1024}, {192, 64}} {
		config.MemoryMB, config.Sockets, config.MaxOpen = limits[0], limits[1], 1e9
		budget := NewBudget(config)
		conns := budget.Clients + budget.Caches
		if used := budget.Reads + budget.Bodies + conns*memoryPerConn + budget.Open*memoryPerDownload + budget.EndedWrites*memoryPerEndedWrite; used > budget.Heap || budget.Heap+reservedMemory > limits[0]<<20 || conns > max(32, limits[1]-reservedDescriptors) {
			t.Errorf("%v: %+v is too much", limits, budget)
		}
		withQuorum, err := BudgetFor(config, &Settings{Quorum: quorumdriver.Block{On: true}})
		if err != nil || withQuorum.Clients+withQuorum.Caches > max(32, limits[1]-reservedDescriptors-maxPeerConns(config)) || withQuorum.Clients+withQuorum.Caches < 32 {
			t.Errorf("%v: with %d peer connections %+v", limits, maxPeerConns(config), withQuorum)
		}
		if budget.Clients < min(config.Sockets/3, 16) || budget.Reads < conns*buffer.Size || budget.Bodies < 4*240_000 || budget.Open < 300 {
			t.Errorf("%v: %+v is too little", limits, budget)
		}
	}
}

// Guards against tables of signed links that no budget counts growing the process past its memory limit.
func TestBudgetCountsLinkTables(t *testing.T) {
	config := testConfig(t)
	config.MemoryMB, config.Sockets = 64, 1024
	settings := &Settings{Links: linksdriver.Block{On: true}}
	settings.Links.Settings.Memory = 8 << 20
	budget, err := BudgetFor(config, settings)
	if err != nil || budget.Heap+settings.Links.Settings.TableBytes()+reservedMemory > 64<<20 {
		t.Errorf("%+v with two tables of 8 MB, %v", budget, err)
	}
	settings.Links.Settings.Memory = 24 << 20
	if _, err := BudgetFor(config, settings); err == nil || !strings.Contains(err.Error(), "links: memory: ") {
		t.Errorf("two tables of 24 MB: %v", err)
	}
}

// At shutdown, downloads accepted until the last moment are answered in time, and the answers are flushed before the
// process may be killed: the longest expiry plus 0.7 s after the signal, 3.7 s at most.
func TestAnswerBy(t *testing.T) {
	c := testConfig(t)
	for _, want := range []struct{ longest, answered, flushed time.Duration }{{6000, 3500, 3650}, {2500, 3000, 3150}, {600, 1100, 1250}, {120, 780, 810}} {
		c.Types[0].MaxExpiry = float64(want.longest)
		c.Types = c.Types[:1]
		if answered, flushed := ShutdownDeadlines(c); answered != want.answered*time.Millisecond || flushed != want.flushed*time.Millisecond {
			t.Errorf("answered by %v, flushed by %v where the longest expiry is %d ms", answered, flushed, want.longest)
		}
	}
}
