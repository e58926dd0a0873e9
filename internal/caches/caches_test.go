package caches

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/router"
)

// bulk builds an array of bulk strings without the code under test.
func bulk(words ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return s
}

// longBody contains text that looks like RESP.
var longBody = strings.Repeat("\r\n$3\r\nabc", 3000)

var parserCases = []struct{ name, in, want, err string }{
	{"two replies", bulk("a", "DONE", "res=warm,t0=5", longBody) + bulk("b", "LACK", "-", ""),
		fmt.Sprintf("a DONE res=warm,t0=5 %q; b LACK - \"\"", longBody), ""},
	{"no body", bulk("p1", "FIT", "-"), `p1 FIT - ""`, ""},
	{"one string too many", bulk("a", "DONE", "-", "x", "later"), "", `invalid length "*5"`},
	{"body of 3 GB", "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\n", "", `invalid length "$3000000000"`},
	{"body larger than an object", "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$240001\r\n", "", `invalid length "$240001"`},
	{"body larger than the buffer pool", bulk("a", "DONE", "-", strings.Repeat("x", 4*buffer.Size)) + bulk("b", "WAIT", "-", ""),
		`a DONE - short; b WAIT - ""`, ""},
	{"two strings", bulk("a", "DONE"), "", `invalid length "*2"`},
	{"nine strings", bulk("1", "2", "3", "4", "5", "6", "7", "8", "9"), "", `invalid length "*9"`},
	{"not an array", "+OK\r\n", "", `"+OK" instead of a length`},
	{"unterminated length line", strings.Repeat("*", 99), "", "length line is too long"},
	{"negative length", "*4\r\n$-1\r\n", "", `invalid length "$-1"`},
	{"huge length", "*4\r\n$1\r\na\r\n$999999999\r\n", "", `invalid length "$999999999"`},
	{"missing CRLF", "*4\r\n$1\r\nabc", "", "bulk string is not terminated by CRLF"},
}

// feed parses in, in pieces of size bytes, and returns the replies and the error as text.
func feed(t *testing.T, in string, size int) (string, string) {
	pool := buffer.NewPool(3 * buffer.Size)
	p := NewParser(pool)
	var out []string
	var err error
	for b := []byte(in); len(b) > 0 && err == nil; b = b[min(size, len(b)):] {
		var replies []Reply
		replies, err = p.Feed(b[:min(size, len(b))], nil)
		for _, reply := range replies {
			body := fmt.Sprintf("%q", bytes.Join(reply.Body.Parts(), nil))
			if reply.Truncated {
				body = "short"
			}
			out = append(out, fmt.Sprintf("%s %s %s %s", reply.ID, reply.Word, reply.Fields, body))
			reply.Body.Release()
		}
	}
	if p.Release(); pool.InUse() != 0 {
		t.Errorf("%d buffers were not returned", pool.InUse())
	}
	if err != nil {
		return strings.Join(out, "; "), err.Error()
	}
	return strings.Join(out, "; "), ""
}

func TestFeed(t *testing.T) {
	for _, c := range parserCases {
		for _, size := range []int{1, 2, 3, 1000, 1 << 20} {
			if got, err := feed(t, c.in, size); got != c.want || err != c.err {
				t.Errorf("%s, in pieces of %d: %.200s, error %q; want %.200s, %q", c.name, size, got, err, c.want, c.err)
			}
		}
	}
}

func FuzzFeed(f *testing.F) {
	for _, c := range parserCases {
		if len(c.in) < 1000 {
			f.Add([]byte(c.in))
		}
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := feed(t, string(in), 1)
		if whole, wholeErr := feed(t, string(in), len(in)+1); whole != got || wholeErr != err {
			t.Errorf("whole: %s, %s; byte by byte: %s, %s", whole, wholeErr, got, err)
		}
	})
}

// fakeWire is a Wire that writes only when the test calls write.
type fakeWire struct {
	queue    []*Command
	sent     string
	closed   bool
	stuck    bool
	lastRead float64
	midReply bool
}

func (w *fakeWire) LastRead() (float64, bool) { return w.lastRead, w.midReply }

func (w *fakeWire) Stuck() bool { return w.stuck }
func (w *fakeWire) Close()      { w.closed = true }

func (w *fakeWire) Send(item *Command) bool {
	if w.closed {
		item.body.Release()
		return false
	}
	w.queue = append(w.queue, item)
	return true
}

func (w *fakeWire) Remove(item *Command) bool {
	for n, other := range w.queue {
		if other == item {
			w.queue = append(w.queue[:n], w.queue[n+1:]...)
			item.body.Release()
			return true
		}
	}
	return false
}

func (w *fakeWire) write(whole bool) {
	for _, item := range w.queue {
		item.MarkWriting()
		if whole {
			w.sent += string(bytes.Join(item.Pieces(nil), nil))
		}
		item.MarkWritten(whole)
	}
	w.queue = nil
}

// poolTest is a Pool over fake wires.
type poolTest struct {
	*Pool
	wires     []*fakeWire
	addresses []string
}

func newPoolTest(conns int) *poolTest {
	pt := &poolTest{}
	pt.Pool = NewPool(Limits{PullsPerConn: 2, IdleTimeout: 1000, Conns: conns, AnswerTimeout: 400, HealthChecks: true,
		GaugeName: strings.ToUpper}, func(address string) Wire {
		pt.wires, pt.addresses = append(pt.wires, &fakeWire{}), append(pt.addresses, address)
		return pt.wires[len(pt.wires)-1]
	})
	pt.SetNode("n", "here:1", 0, 0)
	return pt
}

func (pt *poolTest) pull(id string, now float64) *Pull {
	pull := &Pull{ID: id, Node: "n", Fields: "kind=k"}
	pt.Pool.Pull(pull, now)
	return pull
}

func (pt *poolTest) reply(wire int, id, word, fields string, now float64) {
	pt.Handle(Replied{Wire: pt.wires[wire], Reply: Reply{ID: id, Word: word, Fields: fields}, At: now})
}

func (pt *poolTest) results() string {
	var out []string
	for _, e := range pt.TakeResults() {
		out = append(out, fmt.Sprintf("%s:%d", e.Pull.ID, e.Status))
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, label string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v, want %v", label, got, want)
	}
}

// A status must be provably right: whether a write is retried depends on it.
func TestStatuses(t *testing.T) {
	for word, want := range map[string]router.Status{"DONE": router.Fulfilled, "LACK": router.Missed,
		"WAIT": router.Rejected, "BROKE": router.Failed, "PAST": router.NeverSent, "ODD": router.Broken,
		"KEEP": router.Broken, "FIT": router.Broken} {
		pt := newPoolTest(9)
		pt.pull("a", 0)
		pt.wires[0].write(true)
		pt.reply(0, "a", word, "-", 1)
		expect(t, word, pt.results(), fmt.Sprintf("a:%d", want))
		expect(t, word+" closes its connection", pt.wires[0].closed, want == router.Broken)
	}
	pt := newPoolTest(2)
	pt.pull("whole", 0)
	pt.wires[0].write(true)
	pt.pull("part", 0)
	pt.wires[0].write(false)
	pt.Handle(Down{Wire: pt.wires[0], WasUp: true, At: 1})
	expect(t, "results of a broken connection", pt.results(), fmt.Sprintf("part:%d whole:%d", router.NeverSent, router.Broken))
	pull := pt.pull("queued", 2)
	pt.Cancel(pull, router.TimedOut, 3)
	expect(t, "result of a time-out before the connection is up", pt.results(), fmt.Sprintf("queued:%d", router.NotConnected))
	expect(t, "written", pt.wires[1].sent, "")
	pull = pt.pull("out", 4)
	pt.wires[1].write(true)
	pt.Cancel(pull, router.TimedOut, 5)
	pt.wires[1].write(true)
	expect(t, "result of a time-out", pt.results(), fmt.Sprintf("out:%d", router.TimedOut))
	expect(t, "written", pt.wires[1].sent, bulk("GET", "out", "kind=k", "")+bulk("DROP", "out"))
}

// A later pull of a download must use another connection than the earlier ones. Otherwise a late reply, or a duplicate
// of a reply saying that the pull never ran, would be taken for the reply to the later pull, as both have the same ID.
func TestLateReply(t *testing.T) {
	pt := newPoolTest(9)
	pull := pt.pull("a", 0)
	pt.wires[0].write(true)
	pt.Cancel(pull, router.Cancelled, 1)
	pt.results()
	pt.pull("a", 2)
	expect(t, "connections", len(pt.wires), 2)
	pt.reply(0, "a", "DONE", "-", 3)
	expect(t, "results after the late reply", pt.results(), "")
	expect(t, "connection closed by the late reply", pt.wires[0].closed, false)
	pt.reply(1, "a", "DONE", "-", 4)
	expect(t, "results", pt.results(), "a:0")

	for _, word := range []string{"LACK", "WAIT", "PAST"} {
		pt = newPoolTest(9)
		first := pt.pull("a", 0)
		pt.wires[0].write(true)
		pt.reply(0, "a", word, "-", 1)
		for i := range 2 * maxEndedIDs { // more than a connection remembers
			id := fmt.Sprint("other", i)
			pt.pull(id, 1)
			pt.wires[0].write(true)
			pt.reply(0, id, "DONE", "-", 1)
		}
		pt.results()
		pt.Pool.Pull(&Pull{ID: "a", Node: "n", Previous: first}, 2)
		pt.wires[1].write(true)
		pt.reply(0, "a", word, "-", 3)
		expect(t, "results after a duplicate "+word, pt.results(), "")
		pt.reply(0, "unknown", "DONE", "-", 3)
		pt.reply(1, "a", "DONE", "-", 4)
		expect(t, "results after its own reply", pt.results(), "a:0")
		expect(t, "remembered IDs", fmt.Sprint(len(pt.conns[pt.wires[0]].endedIDs), len(pt.conns[pt.wires[0]].endedOrder)),
			fmt.Sprint(maxEndedIDs, maxEndedIDs))
	}
}

// A reply that lacks a required field, or whose fields can't be right, closes its connection. The written pulls may have
// run and the unwritten ones did not, and all of them end at once. A copy that is older than requested counts as failed.
func TestInvalidReply(t *testing.T) {
	const good = "sum=00000000000000aa,t0=5000"
	for _, c := range []struct {
		word, fields string
		body         int
		want         router.Status
	}{
		{"DONE", good, 3, router.Fulfilled}, {"KEEP", good, 0, router.Fulfilled}, {"DONE", good + ",res=aged", 3, router.Fulfilled},
		{"DONE", "t0=5000", 3, router.Broken}, {"DONE", "sum=00000000000000aa", 3, router.Broken}, {"DONE", "-", 3, router.Broken},
		{"DONE", "sum=aa,t0=5000", 3, router.Broken}, {"DONE", "sum=00000000000000aa,t0=x", 3, router.Broken},
		{"DONE", "noise", 3, router.Broken}, {"DONE", "", 3, router.Broken}, {"KEEP", good, 3, router.Broken},
		{"KEEP", "sum=00000000000000ab,t0=5000", 0, router.Broken}, {"LACK", "\x00\x01", 0, router.Broken},
		{"DONE", "sum=00000000000000aa,t0=4949", 3, router.Failed}, {"DONE", "sum=00000000000000aa,t0=4950", 3, router.Fulfilled},
	} {
		pt := newPoolTest(9)
		pt.limits.Conns, pt.limits.PullsPerConn = 1, 9
		pt.Pool.Pull(&Pull{ID: "a", Node: "n", ClientSum: "00000000000000aa", RequireCopy: true, MaxAge: 1000}, 6000)
		pt.pull("other", 6000)
		pt.wires[0].write(true)
		pt.pull("unwritten", 6001)
		body := buffer.NewChain(buffer.NewPool(1 << 20))
		body.Append(make([]byte, c.body))
		pt.Handle(Replied{Wire: pt.wires[0], Reply: Reply{ID: "a", Word: c.word, Fields: c.fields, Body: body}, At: 6002})
		want := fmt.Sprintf("a:%d", c.want)
		if c.want == router.Broken {
			want = fmt.Sprintf("unwritten:%d a:%d other:%d", router.NeverSent, router.Broken, router.Broken)
		}
		expect(t, c.word+" "+c.fields, pt.results(), want)
		expect(t, c.word+" "+c.fields+": connection closed", pt.wires[0].closed, c.want == router.Broken)
	}
}

func TestConnections(t *testing.T) {
	pt := newPoolTest(2)
	pt.pull("a", 0)
	pt.pull("b", 0)
	expect(t, "connections for two pulls, with a limit of one per node", len(pt.wires), 1)
	pt.pull("c", 0)
	expect(t, "connections for three pulls, with two per connection", len(pt.wires), 2)
	pt.pull("d", 0)
	pt.pull("e", 0)
	expect(t, "result beyond the limit of connections, not a failure of the node", pt.results(), fmt.Sprintf("e:%d", router.NeverSent))
	pt.reply(0, "a", "DONE", "-", 1)
	pt.reply(0, "b", "DONE", "-", 1)
	pt.SetNode("m", "there:1", 0, 0)
	pt.Pool.Pull(&Pull{ID: "f", Node: "m"}, 2)
	expect(t, "idle connection closed for a new one", fmt.Sprint(pt.wires[0].closed, pt.addresses), "true [here:1 here:1 there:1]")

	pt = newPoolTest(9)
	pt.pull("a", 0)
	pt.wires[0].write(true)
	pt.SetNode("n", "here:2", 0, 0)
	pt.pull("b", 0)
	expect(t, "addresses dialed, and old connection closed", fmt.Sprint(pt.addresses, pt.wires[0].closed), "[here:1 here:2] false")
	pt.reply(0, "a", "DONE", "-", 1)
	expect(t, "old connection closed after its last reply", pt.wires[0].closed, true)
	pt.reply(1, "b", "DONE", "-", 1)
	pt.CloseIdle(800)
	expect(t, "closed before the idle limit", pt.wires[1].closed, false)
	pt.pull("c", 950)
	expect(t, "closed at the idle limit, and connections", fmt.Sprint(pt.wires[1].closed, len(pt.wires)), "true 3")
}

// Guards against a pull that waits for its connection being written to whoever has taken over a node's old address.
func TestQueuedPullFollowsItsNode(t *testing.T) {
	for _, c := range []struct {
		address   string
		startedAt float64
	}{{"here:2", 0}, {"here:1", 5}} {
		pt := newPoolTest(9)
		pt.pull("written", 0)
		pt.wires[0].write(true)
		pt.pull("queued", 0)
		old := pt.wires[len(pt.wires)-1]
		pt.SetNode("n", c.address, c.startedAt, 1)
		expect(t, "commands left for the old process", len(old.queue), 0)
		newest := pt.wires[len(pt.wires)-1]
		expect(t, "address and commands of the new connection", fmt.Sprintf("%s %d", pt.addresses[len(pt.addresses)-1], len(newest.queue)), c.address+" 1")
		newest.write(true)
		pt.reply(len(pt.wires)-1, "queued", "DONE", "-", 2)
		expect(t, "its result", pt.results(), fmt.Sprintf("queued:%d", router.Fulfilled))
	}
}

// Pulls are spread over the connections that a node may have, so that a connection that breaks fails only a few.
func TestSpreadsPulls(t *testing.T) {
	pt := newPoolTest(8)
	pt.limits.PullsPerConn = 32
	for i := range 12 {
		pt.pull(fmt.Sprint(i), 0)
	}
	expect(t, "connections", len(pt.wires), 4)
	for _, w := range pt.wires {
		expect(t, "pulls on a connection", len(w.queue), 3)
	}
}

// A pull doesn't wait for a new connection while an established one is responsive; another one is opened for later pulls.
// Queued pulls of connections that are slow to come up move to the first one that is up, written ones stay. New pulls
// avoid a connection that has been silent for longer than replies usually take.
func TestPrefersConnected(t *testing.T) {
	pt := newPoolTest(16)
	pt.limits.PullsPerConn = 32
	up := func(n int, at float64) { pt.Handle(Up{Wire: pt.wires[n], At: at}) }
	sentCounts := func() (out string) {
		for _, w := range pt.wires {
			if pt.conns[w] != nil && pt.conns[w].up {
				w.write(true)
			}
			out += fmt.Sprint(strings.Count(w.sent, "GET"), " ")
		}
		return out
	}
	pt.pull("a", 0)
	pt.pull("b", 0)
	expect(t, "connections opened while none is up", len(pt.wires), 2)
	up(1, 5)
	expect(t, "both pulls sent on the one that is up", sentCounts(), "0 2 ")
	pt.pull("c", 6)
	expect(t, "sent on the busy one while another connects", sentCounts(), "0 3 ")
	up(0, 7)
	pt.pull("d", 8)
	expect(t, "sent on the new one once it is up", sentCounts(), "1 3 ")
	pt.pull("e", 9)
	expect(t, "all busy: sent at once, and one more opened", sentCounts(), "2 3 0 ")
	pt.reply(0, "d", "DONE", "-", 12)
	pt.pull("f", 500)
	pt.pull("g", 500)
	expect(t, "silent connections are avoided",
		fmt.Sprint(sentCounts(), len(pt.wires[2].queue), len(pt.wires[3].queue)), "2 3 0 0 1 1")
	for _, w := range pt.wires[2:] {
		pt.Handle(Down{Wire: w, At: 900})
	}
	expect(t, "results of connections that never came up", pt.results(),
		fmt.Sprintf("d:%d f:%d g:%d", router.Fulfilled, router.NotConnected, router.NotConnected))
}

// A removed node is deleted with its last connection, and a new node at its address starts afresh.
func TestRemovedNodes(t *testing.T) {
	pt := newPoolTest(9)
	for i := range 100 {
		id := fmt.Sprint("n", i)
		pt.SetNode(id, "here:1", 0, 0)
		pt.Pool.Pull(&Pull{ID: "a", Node: id}, 0)
		w := pt.wires[len(pt.wires)-1]
		w.write(true)
		pt.RemoveNode(id)
		expect(t, "closed while a pull is in flight", w.closed, false)
		pt.reply(len(pt.wires)-1, "a", "DONE", "-", 1)
		expect(t, "closed after the last reply", w.closed, true)
		pt.Handle(Down{Wire: w, WasUp: true, At: 1})
	}
	pt.RemoveNode("n")
	expect(t, "connections opened, nodes and connections left", fmt.Sprint(len(pt.wires), len(pt.nodes), len(pt.conns)), "100 0 0")
}

// A connection that stalls in the middle of a reply, or doesn't reply to a health check, fails with all its pulls. One that
// is only slow replies to the health check and stays.
func TestWatchStalled(t *testing.T) {
	watch := func(pt *poolTest, from, to float64) {
		for now := from; now <= to; now += 100 {
			pt.CheckStalled(now)
		}
	}
	newPair := func() *poolTest {
		pt := newPoolTest(9)
		pt.limits.Conns, pt.limits.PullsPerConn = 1, 9
		pt.pull("a", 0)
		pt.pull("b", 0)
		pt.Handle(Up{Wire: pt.wires[0]})
		pt.wires[0].write(true)
		return pt
	}
	bothBroken := fmt.Sprintf("a:%d b:%d", router.Broken, router.Broken)

	pt := newPair()
	pt.wires[0].lastRead, pt.wires[0].midReply = 200, true
	watch(pt, 0, 600)
	expect(t, "results while a reply stalls for a short time", pt.results(), "")
	watch(pt, 700, 700)
	expect(t, "stalled in the middle of a reply", fmt.Sprint(pt.results(), " ", pt.wires[0].closed, pt.Stalled), bothBroken+" true 1")

	pt = newPair()
	watch(pt, 0, 500)
	pt.wires[0].write(true)
	expect(t, "health check sent", strings.HasSuffix(pt.wires[0].sent, bulk("PING", "p1")), true)
	watch(pt, 600, 900)
	expect(t, "results while silent for a short time", pt.results(), "")
	watch(pt, 1000, 1000)
	expect(t, "silent for too long", fmt.Sprint(pt.results(), " ", pt.wires[0].closed, len(pt.probes)), bothBroken+" true 0")

	pt = newPair()
	for now := 0.0; now < 5000; now += 100 {
		pt.CheckStalled(now)
		for _, item := range pt.wires[0].queue {
			pt.reply(0, string(bytes.Split(item.head, lineEnd)[4]), "FIT", "-", now)
			pt.wires[0].lastRead = now
		}
		pt.wires[0].write(true)
	}
	expect(t, "slow but alive", fmt.Sprint(pt.results(), " ", pt.wires[0].closed, len(pt.probes)), " false 0")

	// If replies take a second, not each of them causes a health check: the checks of all gateways would add up.
	pt = newPair()
	for i := range 200 {
		id := fmt.Sprint("slow", i)
		pt.pull(id, 0)
		pt.wires[0].write(true)
		pt.reply(0, id, "DONE", "-", 1000)
	}
	pt.results()
	pt.wires[0].lastRead = 1000
	watch(pt, 1000, 3900)
	expect(t, "health checks within three average reply times", len(pt.wires[0].queue), 0)
	watch(pt, 4000, 4100)
	expect(t, "health checks after them", len(pt.wires[0].queue), 1)

	pt = newPair()
	pt.CheckStalled(0)
	pt.CheckStalled(3000)
	expect(t, "after a pause of its own, a gateway reads first", fmt.Sprint(pt.results(), " ", len(pt.wires[0].queue)), " 0")
	pt.ExcludeNode("n")
	watch(pt, 3100, 5000)
	expect(t, "health checks while the node drains", len(pt.wires[0].queue), 0)
}

// A connection that has closed, with its Down event still to come, is skipped: nothing is sent on it.
func TestClosedBeforeDown(t *testing.T) {
	pt := newPoolTest(9)
	pt.pull("a", 0)
	pt.wires[0].closed = true
	pt.pull("b", 1)
	expect(t, "connections and results", fmt.Sprintf("%d %q", len(pt.wires), pt.results()), `2 ""`)
	pt.Handle(Down{Wire: pt.wires[0], WasUp: true, At: 2})
	expect(t, "results after Down", pt.results(), fmt.Sprintf("a:%d", router.NeverSent))
}

// A drain or a purge also applies to pulls queued on a connection that is slow to come up. Written pulls continue.
func TestWithdraw(t *testing.T) {
	pt := newPoolTest(4)
	pt.SetNode("m", "there:1", 0, 0)
	pt.Pool.Pull(&Pull{ID: "out", Node: "n"}, 0)
	pt.wires[0].write(true)
	pt.Pool.Pull(&Pull{ID: "at", Node: "n"}, 0)
	pt.Pool.Pull(&Pull{ID: "other", Node: "m"}, 0)
	pt.RecallMatching(func(pull *Pull) bool { return pull.Node == "n" }, 1)
	expect(t, "results", pt.results(), fmt.Sprintf("at:%d", router.NeverSent))
	pt.wires[0].write(true)
	pt.wires[1].write(true)
	expect(t, "written", pt.wires[0].sent+pt.wires[1].sent, bulk("GET", "out", "", "")+bulk("GET", "other", "", ""))
}

// A half-written command on a stuck connection can't be recalled, and must not be completed after its download has been
// answered. So the connection is closed.
func TestDropWhileStuck(t *testing.T) {
	pt := newPoolTest(2)
	pt.pull("whole", 0)
	pt.wires[0].write(true)
	half := pt.pull("half", 0)
	half.command.MarkWriting()
	pt.wires[0].queue, pt.wires[0].stuck = nil, true
	pt.Cancel(half, router.TimedOut, 9)
	expect(t, "results, and connection closed", fmt.Sprintf("%s %v", pt.results(), pt.wires[0].closed),
		fmt.Sprintf("half:%d true", router.TimedOut))
	pt.Handle(Down{Wire: pt.wires[0], WasUp: true, At: 10})
	expect(t, "results of the other pull", pt.results(), fmt.Sprintf("whole:%d", router.Broken))
}

// A half-written command also closes its stuck connection when its download ends, or when a drain or a purge applies to
// it. On a connection that isn't stuck it counts as sent and continues.
func TestRecallWhileStuck(t *testing.T) {
	for name, cancel := range map[string]func(pt *poolTest, pull *Pull){
		"recalled":  func(pt *poolTest, pull *Pull) { pt.Recall(pull, 9) },
		"withdrawn": func(pt *poolTest, pull *Pull) { pt.RecallMatching(func(other *Pull) bool { return other == pull }, 9) },
	} {
		for _, stuck := range []bool{true, false} {
			pt := newPoolTest(2)
			half := pt.pull("half", 0)
			half.command.MarkWriting()
			pt.wires[0].queue, pt.wires[0].stuck = nil, stuck
			cancel(pt, half)
			expect(t, name+": connection closed", pt.wires[0].closed, stuck)
			pt.Handle(Down{Wire: pt.wires[0], WasUp: true, At: 10})
			expect(t, name+": results", pt.results(), fmt.Sprintf("half:%d", router.Broken))
		}
	}
}

// A machine that vanished sends nothing. After a time-out on a silent connection, the next pull uses a new connection,
// which finds out whether the machine is there.
func TestTimeoutOnSilentConn(t *testing.T) {
	pt := newPoolTest(2)
	first, second := pt.pull("a", 0), pt.pull("b", 0)
	pt.wires[0].write(true)
	pt.Cancel(first, router.TimedOut, 100)
	pt.pull("c", 101)
	expect(t, "connections", len(pt.wires), 2)
	expect(t, "closed while a pull is in flight", pt.wires[0].closed, false)
	pt.Cancel(second, router.TimedOut, 110)
	expect(t, "closed after its last pull", pt.wires[0].closed, true)
	pt.Handle(Down{Wire: pt.wires[1], At: 500})
	expect(t, "results", pt.results(), fmt.Sprintf("a:%d b:%d c:%d", router.TimedOut, router.TimedOut, router.NotConnected))
}

func TestProbe(t *testing.T) {
	pt := newPoolTest(9)
	pt.limits.RequestLoad = true
	pull := pt.Probe("n", 0)
	pt.wires[0].write(true)
	expect(t, "sent", pt.wires[0].sent, bulk("LOAD", pull.ID))
	pt.reply(0, pull.ID, "UNFIT", "gauges=util:0.5;odd:x;nan:NaN;inf:1e999", 5)
	e := pt.TakeResults()
	expect(t, "node, status and load", fmt.Sprintln(e[0].ProbedNode, e[0].Status, e[0].Load), fmt.Sprintln("n", router.Failed, "map[UTIL:0.5]"))
	pull = pt.Probe("n", 6)
	pt.wires[0].write(true)
	pt.Cancel(pull, router.TimedOut, 9)
	expect(t, "result of a time-out", pt.results(), fmt.Sprintf("%s:%d", pull.ID, router.TimedOut))
	expect(t, "commands sent to drop a probe", len(pt.wires[0].queue), 0)
	expect(t, "result for an unknown node", fmt.Sprint(pt.Probe("x", 9).ended, pt.results() != ""), "true true")
	expect(t, "failed assertions", assert.Broken(), 0)
}

// If idle connections break on reuse, they are reused only after shorter idle times. A few breaks change nothing, and
// after a while longer idle times are tried again.
func TestIdleReuse(t *testing.T) {
	pt := newPoolTest(2)
	now := 0.0
	reuseAfter := func(idle float64, breaks bool) (dialled int) {
		before := len(pt.wires)
		pt.pull("a"+fmt.Sprint(now), now)
		w := pt.wires[len(pt.wires)-1]
		w.write(true)
		pt.reply(len(pt.wires)-1, "a"+fmt.Sprint(now), "DONE", "-", now)
		now += idle
		pt.pull("b"+fmt.Sprint(now), now)
		if last := len(pt.wires) - 1; breaks && last == before {
			pt.wires[last].write(true)
			pt.Handle(Down{Wire: pt.wires[last], WasUp: true, At: now + 1})
		} else {
			pt.wires[last].write(true)
			pt.reply(last, "b"+fmt.Sprint(now), "DONE", "-", now)
			pt.Handle(Down{Wire: pt.wires[last], WasUp: true, At: now})
		}
		now += 10
		return len(pt.wires) - before
	}
	for range 2 {
		reuseAfter(100, true)
	}
	expect(t, "connections dialed after a few breaks", reuseAfter(100, false), 1)
	for range 4 {
		reuseAfter(100, true)
	}
	expect(t, "connections dialed after many breaks", fmt.Sprint(reuseAfter(100, true), reuseAfter(30, false), reuseAfter(400, true)), "2 1 2")
	now += 60_000
	expect(t, "connections dialed much later", reuseAfter(100, false), 1)
}
