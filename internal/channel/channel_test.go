package channel

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"poppymill/router"
)

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

var readerCases = []struct{ name, in, want, err string }{
	{"events", okHead + ": hello\n\nid: 1\ndata: a\ndata: b\n\nid:2\r\ndata:c\r\n\r\nretry: 5\nodd\n\n", `1 "a\nb"; 2 "c"`, ""},
	{"incomplete event", okHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n", `1 "a"`, ""},
	{"chunked", "HTTP/1.1 200 OK\r\ntransfer-Encoding:  Chunked\r\n\r\n8;x=y\r\nid: 1\nda\r\n9\r\nta: abc\n\n\r\n0\r\nX: y\r\n\r\nmore",
		`1 "abc"; done`, ""},
	{"content length", "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\ndata: a\n\nand", `"a"; done`, ""},
	{"refused", "HTTP/1.1 503 Busy\r\n\r\n", "", `unexpected status line "HTTP/1.1 503 Busy"`},
	{"not HTTP", "hello\n", "", `unexpected status line "hello"`},
	{"invalid header", "HTTP/1.1 200 OK\r\nodd\r\n", "", `invalid header "odd"`},
	{"unsupported transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", "", `unsupported transfer encoding "gzip"`},
	{"invalid content length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n", "", `invalid content length "-4"`},
	{"invalid chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "", `invalid chunk size "xyz"`},
	{"unterminated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "", "chunk is not terminated by CRLF"},
	{"header line too long", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", maxLineBytes), "", "header or chunk line is too long"},
}

// feed parses in, in pieces of size bytes, and returns the events and the error as text.
func feed(in string, size int) (string, string) {
	r := NewReader()
	var out []string
	var err error
	for b := []byte(in); len(b) > 0 && err == nil; b = b[min(size, len(b)):] {
		var messages []Message
		messages, err = r.Feed(b[:min(size, len(b))], nil)
		for _, m := range messages {
			out = append(out, strings.TrimSpace(fmt.Sprintf("%s %q", m.ID, m.Data)))
		}
	}
	if r.Done {
		out = append(out, "done")
	}
	if err != nil {
		return strings.Join(out, "; "), err.Error()
	}
	return strings.Join(out, "; "), ""
}

func TestFeed(t *testing.T) {
	for _, c := range readerCases {
		for _, size := range []int{1, 2, 3, 1000, 1 << 20} {
			if got, err := feed(c.in, size); got != c.want || err != c.err {
				t.Errorf("%s, in pieces of %d: %s, error %q; want %s, %q", c.name, size, got, err, c.want, c.err)
			}
		}
	}
}

func FuzzFeed(f *testing.F) {
	for _, c := range readerCases {
		if len(c.in) < 1000 {
			f.Add([]byte(c.in))
		}
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := feed(string(in), 1)
		if whole, wholeErr := feed(string(in), len(in)+1); whole != got || wholeErr != err {
			t.Errorf("whole: %s, %s; byte by byte: %s, %s", whole, wholeErr, got, err)
		}
	})
}

const (
	listEvent = `{"cursor":3,"nodes":{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"x:1","zone":"z","type":"t",` +
		`"group":2,"status":"draining","weight":1.5,"since_ms":9}]}}`
	dropByID     = `{"cursor":4,"drop":{"id":"7f","when":99.5}}`
	dropByFamily = `{"cursor":5,"drop":{"family":0,"when":98}}`
)

func TestParse(t *testing.T) {
	node := Node{"x:1", router.Entry{Node: "a", Kind: "t", Zone: "z", State: router.Draining, Weight: 1.5, Cell: 2, StartedAt: 9}}
	for in, want := range map[string]string{
		listEvent:    fmt.Sprint(Event{Cursor: 3, Scope: router.FullList, Nodes: []Node{node}}),
		dropByID:     fmt.Sprint(Event{Cursor: 4, Purge: true, PurgeScope: router.Purged{Object: "7f"}, PurgeTime: 99.5}),
		dropByFamily: fmt.Sprint(Event{Cursor: 5, Purge: true, PurgeTime: 98}),
	} {
		if n, err := Parse([]byte(in)); err != nil || fmt.Sprint(n) != want {
			t.Errorf("%s: %v, %v; want %s", in, n, err, want)
		}
	}
	for _, in := range []string{"", "{}", `{"cursor":1}`, `{"cursor":1,"drop":{}}`, `{"cursor":"1"}`, `{"drop":{"id":"a"}}`,
		`{"cursor":1,"nodes":{"endpoints":[{"name":"a","address":"x:1","status":"odd"}]}}`,
		`{"cursor":1,"nodes":{"endpoints":[{"name":"a","status":"ready"}]}}`} {
		if n, err := Parse([]byte(in)); err == nil {
			t.Errorf("%s: %v, want an error", in, n)
		}
	}
	if at, all, err := ParseKnown([]byte(`{"cursor":8,"cmds":[` + listEvent + "," + dropByID + `]}`)); at != 8 || len(all) != 2 ||
		err != nil || all[0].Scope != router.RestoredList {
		t.Errorf("Known: %v, %v, %v", at, all, err)
	}
	for _, in := range []string{"", "{}", `{"cursor":1,"cmds":[{}]}`} {
		if _, _, err := ParseKnown([]byte(in)); err == nil {
			t.Errorf("Known(%s): no error", in)
		}
	}
}

// startServer starts a channel. It answers each request with the next script and closes, or hangs if the script ends in
// "...". It returns its address and the Last-Event-ID of each request.
func startServer(t *testing.T, scripts ...string) (string, chan string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	calls := make(chan string, 99)
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 1000)
			n, _ := c.Read(b)
			_, id, _ := strings.Cut(string(b[:n]), "Last-Event-ID: ")
			calls <- strings.Fields(id + " none")[0]
			text, hangs := strings.CutSuffix(scripts[min(i, len(scripts)-1)], "...")
			if io.WriteString(c, text); !hangs {
				c.Close()
			}
		}
	}()
	return l.Addr().String(), calls
}

// purgeEvents returns the text of one purge event for each cursor.
func purgeEvents(cursors ...int) string {
	s := ""
	for _, n := range cursors {
		s += fmt.Sprintf("id: %d\ndata: {\"cursor\":%d,\"drop\":{\"id\":\"7f\",\"when\":1}}\n\n", n, n)
	}
	return s
}

// Whatever the channel does, each event is delivered once and in order, missing and invalid events are requested again,
// and an event that stays invalid doesn't block later ones.
func TestFollow(t *testing.T) {
	const bad = "id: 4\ndata: nonsense\n\n"
	for _, c := range []struct {
		name    string
		scripts []string
		events  []int64
		calls   []string
		skipped int64
	}{
		{"breaks in the middle of an event", []string{okHead + purgeEvents(3) + "id: 4\nda", okHead + purgeEvents(4, 5) + "..."},
			[]int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"refuses once", []string{"HTTP/1.1 500 Sorry\r\n\r\n", okHead + purgeEvents(3) + "..."},
			[]int64{3}, []string{"2", "2"}, 0},
		{"duplicates", []string{okHead + purgeEvents(3, 3, 4, 3, 4, 5) + "..."}, []int64{3, 4, 5}, []string{"2"}, 0},
		{"gap once", []string{okHead + purgeEvents(3, 5) + "...", okHead + purgeEvents(4, 5) + "..."},
			[]int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"gap twice", []string{okHead + purgeEvents(3, 5) + "...", okHead + purgeEvents(5, 6) + "..."},
			[]int64{3, 5, 6}, []string{"2", "3"}, 1},
		{"invalid once", []string{okHead + purgeEvents(3) + bad + "...", okHead + purgeEvents(4, 5) + "..."},
			[]int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"invalid twice", []string{okHead + purgeEvents(3) + bad + purgeEvents(5) + "...", okHead + bad + purgeEvents(5, 6) + "..."},
			[]int64{3, 5, 6}, []string{"2", "3"}, 1},
		{"ID differs from cursor", []string{okHead + strings.Replace(purgeEvents(3), "id: 3", "id: 9", 1) + "...", okHead + purgeEvents(3) + "..."},
			[]int64{3}, []string{"2", "2"}, 0},
		{"silent from the start", []string{"...", okHead + purgeEvents(3) + "..."}, []int64{3}, []string{"2", "2"}, 0},
		{"silent within the head", []string{"HTTP/1.1 200 O...", okHead + purgeEvents(3) + "..."},
			[]int64{3}, []string{"2", "2"}, 0},
		{"silent within a line", []string{okHead + purgeEvents(3) + "id: 4\nda...", okHead + purgeEvents(4) + "..."},
			[]int64{3, 4}, []string{"2", "3"}, 0},
		{"out of order, and duplicates", []string{okHead + purgeEvents(3, 4) + purgeEvents(3) + purgeEvents(4, 5) + "..."},
			[]int64{3, 4, 5}, []string{"2"}, 0},
		{"silent after an event", []string{okHead + purgeEvents(3) + "...", okHead + purgeEvents(4) + "..."},
			[]int64{3, 4}, []string{"2", "3"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, calls := startServer(t, c.scripts...)
			ctx, cancel := context.WithCancel(context.Background())
			delivered, done := make(chan int64, 9), make(chan bool)
			f := &Follower{Address: address, Cursor: 2, OnEvent: func(n Event) { delivered <- n.Cursor }, OnError: func(error) {}}
			go func() { f.Run(ctx); close(done) }()
			for _, want := range c.events {
				if got := <-delivered; got != want {
					t.Errorf("delivered %d, want %d", got, want)
				}
			}
			for _, want := range c.calls {
				if got := <-calls; got != want {
					t.Errorf("requested from %s, want %s", got, want)
				}
			}
			cancel()
			if <-done; len(delivered) > 0 || f.Skipped.Load() != c.skipped {
				t.Errorf("%d more delivered, %d skipped", len(delivered), f.Skipped.Load())
			}
		})
	}
}

// After a move, the follower delivers the events known at the new place and requests the rest there at once, whatever the
// old connection is doing. The latest of several moves wins.
func TestMove(t *testing.T) {
	oldAddress, _ := startServer(t, okHead+purgeEvents(3)+"...")
	skippedAddress, skippedCalls := startServer(t, okHead+purgeEvents(9)+"...")
	newAddress, calls := startServer(t, okHead+purgeEvents(6)+"...")
	delivered, done := make(chan int64, 9), make(chan bool)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{Address: oldAddress, Cursor: 2, OnEvent: func(n Event) { delivered <- n.Cursor }, OnError: func(error) {}}
	go func() { f.Run(ctx); close(done) }()
	if got := <-delivered; got != 3 {
		t.Errorf("delivered %d first, want 3", got)
	}
	f.mu.Lock() // both moves before the follower sees either
	f.nextSource = &Source{Address: skippedAddress}
	f.mu.Unlock()
	f.Move(Source{Address: newAddress, PastEvents: []Event{{Cursor: 2}, {Cursor: 3}, {Cursor: 4}, {Cursor: 5}, {Cursor: 8}}})
	for want := int64(4); want <= 6; want++ {
		if got := <-delivered; got != want {
			t.Errorf("delivered %d, want %d", got, want)
		}
	}
	if got := <-calls; got != "5" || len(skippedCalls) != 0 {
		t.Errorf("requested from %s, want 5 and no request to the skipped place", got)
	}
	cancel()
	<-done
}
