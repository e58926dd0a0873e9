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
	{"a string more", bulk("a", "DONE", "-", "x", "later"), "", `length "*5"`},
	{"3 GB", "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$3000000000\r\n", "", `length "$3000000000"`},
	{"more than an object", "*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$240001\r\n", "", `length "$240001"`},
	{"more than there are buffers for", bulk("a", "DONE", "-", strings.Repeat("x", 4*buffer.Size)) + bulk("b", "WAIT", "-", ""),
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
	heard  float64
	amid   bool
}

func (l *line) Heard() (float64, bool) { return l.heard, l.amid }

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
	b.Pool = NewPool(Limits{Streams: 2, Idle: 1000, Conns: conns, Answer: 400, Checks: true, Names: strings.ToUpper}, func(address string) Wire {
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
		"WAIT": router.TurnedAway, "BROKE": router.Failed, "PAST": router.NeverSent, "ODD": router.Broken,
		"KEEP": router.Broken, "FIT": router.Broken} {
		b := newBench(9)
		b.pull("a", 0)
		b.lines[0].write(true)
		b.answer(0, "a", word, "-", 1)
		expect(t, word, b.ended(), fmt.Sprintf("a:%d", want))
		expect(t, word+" ends its connection", b.lines[0].closed, want == router.Broken)
	}
	b := newBench(2)
	b.pull("whole", 0)
	b.lines[0].write(true)
	b.pull("part", 0)
	b.lines[0].write(false)
	b.Handle(Down{Wire: b.lines[0], Up: true, At: 1})
	expect(t, "a broken connection", b.ended(), fmt.Sprintf("part:%d whole:%d", router.NeverSent, router.Broken))
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

// A later pull of a download goes by another connection than any before it, as nobody could tell their answers apart:
// a late one, or a second copy of one that said it never ran.
func TestLateAnswer(t *testing.T) {
	b := newBench(9)
	q := b.pull("a", 0)
	b.lines[0].write(true)
	b.Drop(q, router.CalledOff, 1)
	b.ended()
	b.pull("a", 2)
	expect(t, "connections", len(b.lines), 2)
	b.answer(0, "a", "DONE", "-", 3)
	expect(t, "ended by the late answer", b.ended(), "")
	expect(t, "closed by it", b.lines[0].closed, false)
	b.answer(1, "a", "DONE", "-", 4)
	expect(t, "ended", b.ended(), "a:0")

	for _, word := range []string{"LACK", "WAIT", "PAST"} {
		b = newBench(9)
		first := b.pull("a", 0)
		b.lines[0].write(true)
		b.answer(0, "a", word, "-", 1)
		for i := range 2 * mostPast { // longer than a connection remembers
			id := fmt.Sprint("other", i)
			b.pull(id, 1)
			b.lines[0].write(true)
			b.answer(0, id, "DONE", "-", 1)
		}
		b.ended()
		b.Pool.Pull(&Pull{ID: "a", Node: "n", Before: first}, 2)
		b.lines[1].write(true)
		b.answer(0, "a", word, "-", 3)
		expect(t, "ended by a second "+word, b.ended(), "")
		b.answer(0, "never asked", "DONE", "-", 3)
		b.answer(1, "a", "DONE", "-", 4)
		expect(t, "ended by its own answer", b.ended(), "a:0")
		expect(t, "remembered", fmt.Sprint(len(b.links[b.lines[0]].past), len(b.links[b.lines[0]].order)), fmt.Sprint(mostPast, mostPast))
	}
}

// What one answer must bring and doesn't, or claims and can't, ends its connection: all written may have run, the
// rest never did, and both are told at once. A copy too old for what was asked is no answer either.
func TestSpoilt(t *testing.T) {
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
		b := newBench(9)
		b.limits.Conns, b.limits.Streams = 1, 9
		b.Pool.Pull(&Pull{ID: "a", Node: "n", Mine: "00000000000000aa", Copies: true, MaxAge: 1000}, 6000)
		b.pull("other", 6000)
		b.lines[0].write(true)
		b.pull("unwritten", 6001)
		body := buffer.NewChain(buffer.NewPool(1 << 20))
		body.Append(make([]byte, c.body))
		b.Handle(Answered{Wire: b.lines[0], Reply: Reply{Tag: "a", Word: c.word, Fields: c.fields, Body: body}, At: 6002})
		want := fmt.Sprintf("a:%d", c.want)
		if c.want == router.Broken {
			want = fmt.Sprintf("unwritten:%d a:%d other:%d", router.NeverSent, router.Broken, router.Broken)
		}
		expect(t, c.word+" "+c.fields, b.ended(), want)
		expect(t, "closed", b.lines[0].closed, c.want == router.Broken)
	}
}

func TestConnections(t *testing.T) {
	b := newBench(2)
	b.pull("a", 0)
	b.pull("b", 0)
	expect(t, "connections for two pulls where each node may have one", len(b.lines), 1)
	b.pull("c", 0)
	expect(t, "connections for three of two a connection", len(b.lines), 2)
	b.pull("d", 0)
	b.pull("e", 0)
	expect(t, "past the bound, which is no node's doing", b.ended(), fmt.Sprintf("e:%d", router.NeverSent))
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

// One connection that is spoilt takes few pulls along: they are spread over what the node may have.
func TestSpread(t *testing.T) {
	b := newBench(8)
	b.limits.Streams = 32
	for i := range 12 {
		b.pull(fmt.Sprint(i), 0)
	}
	expect(t, "connections", len(b.lines), 4)
	for _, l := range b.lines {
		expect(t, "pulls on one", len(l.queue), 3)
	}
}

// A node that is gone is forgotten with its last connection, and one at its address starts from nothing.
// A pull does not wait for a new connection while one that is up answers: one is opened beside it, for what comes next. What waits for
// one that is late goes by the first that is up; what is written stays. One that is quiet for longer than answers take is left.
func TestUpGoesFirst(t *testing.T) {
	b := newBench(16)
	b.limits.Streams = 32
	up := func(n int, at float64) { b.Handle(Up{Wire: b.lines[n], At: at}) }
	written := func() (out string) {
		for _, l := range b.lines {
			if b.links[l] != nil && b.links[l].up {
				l.write(true)
			}
			out += fmt.Sprint(strings.Count(l.sent, "GET"), " ")
		}
		return out
	}
	b.pull("a", 0)
	b.pull("b", 0)
	expect(t, "opened while none is up", len(b.lines), 2)
	up(1, 5)
	expect(t, "both go by the one that is up", written(), "0 2 ")
	b.pull("c", 6)
	expect(t, "busy, it takes more, as another is on its way", written(), "0 3 ")
	up(0, 7)
	b.pull("d", 8)
	expect(t, "the new one, once it is up", written(), "1 3 ")
	b.pull("e", 9)
	expect(t, "all busy: one more is opened, and nothing waits for it", written(), "2 3 0 ")
	b.answer(0, "d", "DONE", "-", 12)
	b.pull("f", 500)
	b.pull("g", 500)
	expect(t, "what is quiet for longer than answers take is left", fmt.Sprint(written(), len(b.lines[2].queue), len(b.lines[3].queue)), "2 3 0 0 1 1")
	for _, l := range b.lines[2:] {
		b.Handle(Down{Wire: l, At: 900})
	}
	expect(t, "never up", b.ended(), fmt.Sprintf("d:%d f:%d g:%d", router.Fulfilled, router.NotConnected, router.NotConnected))
}

func TestGone(t *testing.T) {
	b := newBench(9)
	for i := range 100 {
		id := fmt.Sprint("n", i)
		b.List(id, "here:1", 0)
		b.Pool.Pull(&Pull{ID: "a", Node: id}, 0)
		l := b.lines[len(b.lines)-1]
		l.write(true)
		b.Gone(id)
		expect(t, "closed while a pull is open on it", l.closed, false)
		b.answer(len(b.lines)-1, "a", "DONE", "-", 1)
		expect(t, "closed with the last", l.closed, true)
		b.Handle(Down{Wire: l, Up: true, At: 1})
	}
	b.Gone("n")
	expect(t, "connections and nodes", fmt.Sprint(len(b.lines), len(b.nodes), len(b.links)), "100 0 0")
}

// A connection that stops amid an answer, or is mute, is given up as a whole; what is only slow says that it is there.
func TestWatch(t *testing.T) {
	watch := func(b *bench, from, to float64) {
		for now := from; now <= to; now += 100 {
			b.Watch(now)
		}
	}
	start := func() *bench {
		b := newBench(9)
		b.limits.Conns, b.limits.Streams = 1, 9
		b.pull("a", 0)
		b.pull("b", 0)
		b.Handle(Up{Wire: b.lines[0]})
		b.lines[0].write(true)
		return b
	}
	broken := fmt.Sprintf("a:%d b:%d", router.Broken, router.Broken)

	b := start()
	b.lines[0].heard, b.lines[0].amid = 200, true
	watch(b, 0, 600)
	expect(t, "amid an answer, not long", b.ended(), "")
	watch(b, 700, 700)
	expect(t, "stopped amid an answer", fmt.Sprint(b.ended(), " ", b.lines[0].closed, b.Mute), broken+" true 1")

	b = start()
	watch(b, 0, 500)
	b.lines[0].write(true)
	expect(t, "asked", strings.HasSuffix(b.lines[0].sent, bulk("PING", "p1")), true)
	watch(b, 600, 900)
	expect(t, "not long mute", b.ended(), "")
	watch(b, 1000, 1000)
	expect(t, "mute", fmt.Sprint(b.ended(), " ", b.lines[0].closed, len(b.probes)), broken+" true 0")

	b = start()
	for now := 0.0; now < 5000; now += 100 {
		b.Watch(now)
		for _, i := range b.lines[0].queue {
			b.answer(0, string(bytes.Split(i.head, lineEnd)[4]), "FIT", "-", now)
			b.lines[0].heard = now
		}
		b.lines[0].write(true)
	}
	expect(t, "slow, and there", fmt.Sprint(b.ended(), " ", b.lines[0].closed, len(b.probes)), " false 0")

	// Where answers take a second, a connection is not asked for each of them: all gateways' questions would add up.
	b = start()
	for i := range 200 {
		id := fmt.Sprint("slow", i)
		b.pull(id, 0)
		b.lines[0].write(true)
		b.answer(0, id, "DONE", "-", 1000)
	}
	b.ended()
	b.lines[0].heard = 1000
	watch(b, 1000, 3900)
	expect(t, "not asked within three usual times", len(b.lines[0].queue), 0)
	watch(b, 4000, 4100)
	expect(t, "asked past them", len(b.lines[0].queue), 1)

	b = start()
	b.Watch(0)
	b.Watch(3000)
	expect(t, "held up itself, a gateway waits to read first", fmt.Sprint(b.ended(), " ", len(b.lines[0].queue)), " 0")
	b.Shun("n")
	watch(b, 3100, 5000)
	expect(t, "asked while it drains", len(b.lines[0].queue), 0)
}

// A connection that has ended without being heard of yet is passed over: nothing ran there.
func TestEndedUnheard(t *testing.T) {
	b := newBench(9)
	b.pull("a", 0)
	b.lines[0].closed = true
	b.pull("b", 1)
	expect(t, "connections and ends", fmt.Sprintf("%d %q", len(b.lines), b.ended()), `2 ""`)
	b.Handle(Down{Wire: b.lines[0], Up: true, At: 2})
	expect(t, "what was open on it", b.ended(), fmt.Sprintf("a:%d", router.NeverSent))
}

// Word of a drain or a purge binds what waits on a connection that is slow to come up; what is written goes on.
func TestWithdraw(t *testing.T) {
	b := newBench(4)
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
	b := newBench(2)
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

// What is half written when its download is over, or when word of a drain or a purge names it, ends its connection too; on one that
// is not stuck it is as good as sent, and goes on.
func TestStuckAndOver(t *testing.T) {
	for name, over := range map[string]func(b *bench, q *Pull){
		"recalled":  func(b *bench, q *Pull) { b.Recall(q, 9) },
		"withdrawn": func(b *bench, q *Pull) { b.Withdraw(func(p *Pull) bool { return p == q }, 9) },
	} {
		for _, stuck := range []bool{true, false} {
			b := newBench(2)
			half := b.pull("half", 0)
			half.item.Take()
			b.lines[0].queue, b.lines[0].stuck = nil, stuck
			over(b, half)
			expect(t, name+": closed", b.lines[0].closed, stuck)
			b.Handle(Down{Wire: b.lines[0], Up: true, At: 10})
			expect(t, name+": ended", b.ended(), fmt.Sprintf("half:%d", router.Broken))
		}
	}
}

// A machine that vanished says nothing: whether it is there, a new connection tells.
func TestSilence(t *testing.T) {
	b := newBench(2)
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

// Where idle connections break as they are used again, they are not used for longer than they last; what breaks once
// changes nothing, and after a while they are tried again.
func TestReuse(t *testing.T) {
	b := newBench(2)
	now := 0.0
	again := func(idle float64, breaks bool) (dialled int) {
		before := len(b.lines)
		b.pull("a"+fmt.Sprint(now), now)
		l := b.lines[len(b.lines)-1]
		l.write(true)
		b.answer(len(b.lines)-1, "a"+fmt.Sprint(now), "DONE", "-", now)
		now += idle
		b.pull("b"+fmt.Sprint(now), now)
		if last := len(b.lines) - 1; breaks && last == before {
			b.lines[last].write(true)
			b.Handle(Down{Wire: b.lines[last], Up: true, At: now + 1})
		} else {
			b.lines[last].write(true)
			b.answer(last, "b"+fmt.Sprint(now), "DONE", "-", now)
			b.Handle(Down{Wire: b.lines[last], Up: true, At: now})
		}
		now += 10
		return len(b.lines) - before
	}
	for range 2 {
		again(100, true)
	}
	expect(t, "dialled after a few breaks", again(100, false), 1)
	for range 4 {
		again(100, true)
	}
	expect(t, "dialled after many", fmt.Sprint(again(100, true), again(30, false), again(400, true)), "2 1 2")
	now += 60_000
	expect(t, "dialled much later", again(100, false), 1)
}
