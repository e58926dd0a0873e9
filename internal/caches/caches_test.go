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

// bulk builds an array of bulk strings, apart from the code under test.
func bulk(words ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return s
}

var big = strings.Repeat("\r\n$3\r\nabc", 3000)

var streams = []struct{ name, in, want, err string }{
	{"two answers", bulk("a", "DONE", "res=warm,t0=5", big) + bulk("b", "LACK", "-", ""),
		fmt.Sprintf("a DONE res=warm,t0=5 %q; b LACK - \"\"", big), ""},
	{"no body", bulk("p1", "FIT", "-"), `p1 FIT - ""`, ""},
	{"a string more", bulk("a", "DONE", "-", "x", "later"), `a DONE - "x"`, ""},
	{"too large a body", bulk("a", "DONE", "-", strings.Repeat("x", 4*buffer.Size)) + bulk("b", "WAIT", "-", ""),
		`a DONE - short; b WAIT - ""`, ""},
	{"two strings", bulk("a", "DONE"), "", `length "*2"`},
	{"nine strings", bulk("1", "2", "3", "4", "5", "6", "7", "8", "9"), "", `length "*9"`},
	{"no array", "+OK\r\n", "", `"+OK" in place of a length`},
	{"an endless length", strings.Repeat("*", 99), "", "a length is too long"},
	{"a negative length", "*4\r\n$-1\r\n", "", `length "$-1"`},
	{"a huge length", "*4\r\n$1\r\na\r\n$999999999\r\n", "", `length "$999999999"`},
	{"a wrong end", "*4\r\n$1\r\nabc", "", "a string does not end where it should"},
}

func feed(t *testing.T, in string, size int) (string, string) {
	pool := buffer.NewPool(3 * buffer.Size)
	p := NewParser(pool)
	var out []string
	var err error
	for b := []byte(in); len(b) > 0 && err == nil; b = b[min(size, len(b)):] {
		var found []Reply
		found, err = p.Feed(b[:min(size, len(b))], nil)
		for _, r := range found {
			body := fmt.Sprintf("%q", bytes.Join(r.Body.Parts(), nil))
			if r.Short {
				body = "short"
			}
			out = append(out, fmt.Sprintf("%s %s %s %s", r.Tag, r.Word, r.Fields, body))
			r.Body.Release()
		}
	}
	if p.Release(); pool.Out() != 0 {
		t.Errorf("%d buffers are left over", pool.Out())
	}
	if err != nil {
		return strings.Join(out, "; "), err.Error()
	}
	return strings.Join(out, "; "), ""
}

func TestFeed(t *testing.T) {
	for _, c := range streams {
		for _, size := range []int{1, 2, 3, 1000, 1 << 20} {
			if got, err := feed(t, c.in, size); got != c.want || err != c.err {
				t.Errorf("%s, in pieces of %d: %.200s, error %q; want %.200s, %q", c.name, size, got, err, c.want, c.err)
			}
		}
	}
}

func FuzzFeed(f *testing.F) {
	for _, c := range streams {
		if len(c.in) < 1000 {
			f.Add([]byte(c.in))
		}
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := feed(t, string(in), 1)
		if whole, bad := feed(t, string(in), len(in)+1); whole != got || bad != err {
			t.Errorf("whole: %s, %s; byte by byte: %s, %s", whole, bad, got, err)
		}
	})
}

// line is a wire that writes when it is told to.
type line struct {
	queue  []*Item
	sent   string
	closed bool
	stuck  bool
}

func (l *line) Stuck() bool { return l.stuck }
func (l *line) Close()      { l.closed = true }

func (l *line) Send(i *Item) bool {
	if l.closed {
		i.body.Release()
		return false
	}
	l.queue = append(l.queue, i)
	return true
}

func (l *line) Remove(i *Item) bool {
	for n, q := range l.queue {
		if q == i {
			l.queue = append(l.queue[:n], l.queue[n+1:]...)
			i.body.Release()
			return true
		}
	}
	return false
}

func (l *line) write(whole bool) {
	for _, i := range l.queue {
		i.Take()
		if whole {
			l.sent += string(bytes.Join(i.Pieces(nil), nil))
		}
		i.Wrote(whole)
	}
	l.queue = nil
}

type bench struct {
	*Pool
	lines []*line
	at    []string
}

func newBench(conns int) *bench {
	b := &bench{}
	b.Pool = NewPool(Limits{Streams: 2, Idle: 1000, Conns: conns, Names: strings.ToUpper}, func(address string) Wire {
		b.lines, b.at = append(b.lines, &line{}), append(b.at, address)
		return b.lines[len(b.lines)-1]
	})
	b.List("n", "here:1", 0)
	return b
}

func (b *bench) pull(id string, now float64) *Pull {
	q := &Pull{ID: id, Node: "n", Fields: "kind=k"}
	b.Pool.Pull(q, now)
	return q
}

func (b *bench) answer(line int, id, word, fields string, now float64) {
	b.Handle(Answered{Wire: b.lines[line], Reply: Reply{Tag: id, Word: word, Fields: fields}, At: now})
}

func (b *bench) ended() string {
	var out []string
	for _, e := range b.Ends() {
		out = append(out, fmt.Sprintf("%s:%d", e.Pull.ID, e.Status))
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// A status must prove what it claims: a write is repeated on the strength of it.
func TestStatuses(t *testing.T) {
	for word, want := range map[string]router.Status{"DONE": router.Fulfilled, "LACK": router.Missed,
		"WAIT": router.TurnedAway, "BROKE": router.Failed, "PAST": router.NeverSent, "ODD": router.Failed,
		"KEEP": router.Failed, "FIT": router.Failed} {
		b := newBench(9)
		b.pull("a", 0)
		b.lines[0].write(true)
		b.answer(0, "a", word, "-", 1)
		expect(t, word, b.ended(), fmt.Sprintf("a:%d", want))
	}
	b := newBench(9)
	b.pull("whole", 0)
	b.lines[0].write(true)
	b.pull("part", 0)
	b.lines[0].write(false)
	b.Handle(Down{Wire: b.lines[0], Up: true, At: 1})
	expect(t, "a broken connection", b.ended(), fmt.Sprintf("part:%d whole:%d", router.NotConnected, router.Broken))
	q := b.pull("queued", 2)
	b.Drop(q, router.TimedOut, 3)
	expect(t, "time-out before the connection is up", b.ended(), fmt.Sprintf("queued:%d", router.NotConnected))
	expect(t, "written", b.lines[1].sent, "")
	q = b.pull("out", 4)
	b.lines[1].write(true)
	b.Drop(q, router.TimedOut, 5)
	b.lines[1].write(true)
	expect(t, "time-out", b.ended(), fmt.Sprintf("out:%d", router.TimedOut))
	expect(t, "written", b.lines[1].sent, bulk("GET", "out", "kind=k", "")+bulk("DROP", "out"))
}

func TestLateAnswer(t *testing.T) {
	b := newBench(9)
	q := b.pull("a", 0)
	b.lines[0].write(true)
	b.Drop(q, router.CalledOff, 1)
	b.ended()
	b.pull("a", 2)
	expect(t, "connections, as nobody could tell the two answers apart", len(b.lines), 2)
	b.answer(0, "a", "DONE", "-", 3)
	expect(t, "ended by the late answer", b.ended(), "")
	expect(t, "closed by it", b.lines[0].closed, false)
	b.answer(1, "a", "DONE", "-", 4)
	expect(t, "ended", b.ended(), "a:0")
}

func TestConnections(t *testing.T) {
	b := newBench(2)
	b.pull("a", 0)
	b.pull("b", 0)
	b.pull("c", 0)
	expect(t, "connections for three pulls of two a connection", len(b.lines), 2)
	b.pull("d", 0)
	b.pull("e", 0)
	expect(t, "past the bound", b.ended(), fmt.Sprintf("e:%d", router.NotConnected))
	b.answer(0, "a", "DONE", "-", 1)
	b.answer(0, "b", "DONE", "-", 1)
	b.List("m", "there:1", 0)
	b.Pool.Pull(&Pull{ID: "f", Node: "m"}, 2)
	expect(t, "an idle one makes room", fmt.Sprint(b.lines[0].closed, b.at), "true [here:1 here:1 there:1]")

	b = newBench(9)
	b.pull("a", 0)
	b.List("n", "here:2", 0)
	b.pull("b", 0)
	expect(t, "a node at a new address", fmt.Sprint(b.at, b.lines[0].closed), "[here:1 here:2] false")
	b.answer(0, "a", "DONE", "-", 1)
	expect(t, "the old connection with its last answer", b.lines[0].closed, true)
	b.answer(1, "b", "DONE", "-", 1)
	b.Tidy(800)
	expect(t, "not idle yet", b.lines[1].closed, false)
	b.pull("c", 950)
	expect(t, "idle", fmt.Sprint(b.lines[1].closed, len(b.lines)), "true 3")
}

// A connection that has ended without being heard of yet is passed over: nothing ran there.
func TestEndedUnheard(t *testing.T) {
	b := newBench(9)
	b.pull("a", 0)
	b.lines[0].closed = true
	b.pull("b", 1)
	expect(t, "connections and ends", fmt.Sprintf("%d %q", len(b.lines), b.ended()), `2 ""`)
	b.Handle(Down{Wire: b.lines[0], Up: true, At: 2})
	expect(t, "what was open on it", b.ended(), fmt.Sprintf("a:%d", router.NotConnected))
}

// Word of a drain or a purge binds what waits on a connection that is slow to come up; what is written goes on.
func TestWithdraw(t *testing.T) {
	b := newBench(9)
	b.List("m", "there:1", 0)
	b.Pool.Pull(&Pull{ID: "out", Node: "n"}, 0)
	b.lines[0].write(true)
	b.Pool.Pull(&Pull{ID: "at", Node: "n"}, 0)
	b.Pool.Pull(&Pull{ID: "other", Node: "m"}, 0)
	b.Withdraw(func(q *Pull) bool { return q.Node == "n" }, 1)
	expect(t, "ended", b.ended(), fmt.Sprintf("at:%d", router.NeverSent))
	b.lines[0].write(true)
	b.lines[1].write(true)
	expect(t, "written", b.lines[0].sent+b.lines[1].sent, bulk("GET", "out", "", "")+bulk("GET", "other", "", ""))
}

// What is half written on a connection that takes no more can't be taken back, and must not come whole after its
// download's answer: the connection ends.
func TestStuck(t *testing.T) {
	b := newBench(9)
	b.pull("whole", 0)
	b.lines[0].write(true)
	half := b.pull("half", 0)
	half.item.Take()
	b.lines[0].queue, b.lines[0].stuck = nil, true
	b.Drop(half, router.TimedOut, 9)
	expect(t, "ended and closed", fmt.Sprintf("%s %v", b.ended(), b.lines[0].closed), fmt.Sprintf("half:%d true", router.TimedOut))
	b.Handle(Down{Wire: b.lines[0], Up: true, At: 10})
	expect(t, "what else was open", b.ended(), fmt.Sprintf("whole:%d", router.Broken))
}

// A machine that vanished says nothing: whether it is there, a new connection tells.
func TestSilence(t *testing.T) {
	b := newBench(9)
	first, second := b.pull("a", 0), b.pull("b", 0)
	b.lines[0].write(true)
	b.Drop(first, router.TimedOut, 100)
	b.pull("c", 101)
	expect(t, "connections", len(b.lines), 2)
	expect(t, "closed while a pull is open on it", b.lines[0].closed, false)
	b.Drop(second, router.TimedOut, 110)
	expect(t, "closed after its last", b.lines[0].closed, true)
	b.Handle(Down{Wire: b.lines[1], At: 500})
	expect(t, "ended", b.ended(), fmt.Sprintf("a:%d b:%d c:%d", router.TimedOut, router.TimedOut, router.NotConnected))
}

func TestProbe(t *testing.T) {
	b := newBench(9)
	b.limits.Reports = true
	q := b.Probe("n", 0)
	b.lines[0].write(true)
	expect(t, "asked", b.lines[0].sent, bulk("LOAD", q.ID))
	b.answer(0, q.ID, "UNFIT", "gauges=util:0.5;odd:x;nan:NaN;inf:1e999", 5)
	e := b.Ends()
	expect(t, "found", fmt.Sprintln(e[0].Probe, e[0].Status, e[0].Load), fmt.Sprintln("n", router.Failed, "map[UTIL:0.5]"))
	q = b.Probe("n", 6)
	b.lines[0].write(true)
	b.Drop(q, router.TimedOut, 9)
	expect(t, "no answer", b.ended(), fmt.Sprintf("%s:%d", q.ID, router.TimedOut))
	expect(t, "a probe is not called off on the wire", len(b.lines[0].queue), 0)
	expect(t, "a node that is not listed", fmt.Sprint(b.Probe("x", 9).done, b.ended() != ""), "true true")
	expect(t, "asserts broken", assert.Broken(), 0)
}
