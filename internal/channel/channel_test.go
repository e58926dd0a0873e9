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

const plain = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

var answers = []struct{ name, in, want, err string }{
	{"events", plain + ": hello\n\nid: 1\ndata: a\ndata: b\n\nid:2\r\ndata:c\r\n\r\nretry: 5\nodd\n\n", `1 "a\nb"; 2 "c"`, ""},
	{"an event that breaks off", plain + "id: 1\ndata: a\n\nid: 2\ndata: b\n", `1 "a"`, ""},
	{"chunks", "HTTP/1.1 200 OK\r\ntransfer-Encoding:  Chunked\r\n\r\n8;x=y\r\nid: 1\nda\r\n9\r\nta: abc\n\n\r\n0\r\nX: y\r\n\r\nmore",
		`1 "abc"; done`, ""},
	{"a length", "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\ndata: a\n\nand", `"a"; done`, ""},
	{"a refusal", "HTTP/1.1 503 Busy\r\n\r\n", "", `answered "HTTP/1.1 503 Busy"`},
	{"no HTTP", "hello\n", "", `answered "hello"`},
	{"no header", "HTTP/1.1 200 OK\r\nodd\r\n", "", `header "odd"`},
	{"an odd coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n", "", `transfer encoding "gzip"`},
	{"a length that is none", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n", "", `content length "-4"`},
	{"a chunk without size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", "", `chunk of size "xyz"`},
	{"a chunk without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "", "a chunk does not end where it should"},
	{"an endless line", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", mostHead), "", "a line of the head is too long"},
}

func feed(in string, size int) (string, string) {
	r := NewReader()
	var out []string
	var err error
	for b := []byte(in); len(b) > 0 && err == nil; b = b[min(size, len(b)):] {
		var found []Message
		found, err = r.Feed(b[:min(size, len(b))], nil)
		for _, m := range found {
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
	for _, c := range answers {
		for _, size := range []int{1, 2, 3, 1000, 1 << 20} {
			if got, err := feed(c.in, size); got != c.want || err != c.err {
				t.Errorf("%s, in pieces of %d: %s, error %q; want %s, %q", c.name, size, got, err, c.want, c.err)
			}
		}
	}
}

func FuzzFeed(f *testing.F) {
	for _, c := range answers {
		if len(c.in) < 1000 {
			f.Add([]byte(c.in))
		}
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		got, err := feed(string(in), 1)
		if whole, bad := feed(string(in), len(in)+1); whole != got || bad != err {
			t.Errorf("whole: %s, %s; byte by byte: %s, %s", whole, bad, got, err)
		}
	})
}

const (
	list = `{"cursor":3,"nodes":{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"x:1","zone":"z","type":"t",` +
		`"group":2,"status":"draining","weight":1.5,"since_ms":9}]}}`
	dropID     = `{"cursor":4,"drop":{"id":"7f","when":99.5}}`
	dropFamily = `{"cursor":5,"drop":{"family":0,"when":98}}`
)

func TestParse(t *testing.T) {
	node := Node{"x:1", router.Entry{Node: "a", Kind: "t", Zone: "z", State: router.Draining, Weight: 1.5, Cell: 2, Booted: 9}}
	for in, want := range map[string]string{
		list:       fmt.Sprint(News{Cursor: 3, Scope: router.Whole, Nodes: []Node{node}}),
		dropID:     fmt.Sprint(News{Cursor: 4, Purge: true, Purged: router.Purged{Object: "7f"}, PurgeTime: 99.5}),
		dropFamily: fmt.Sprint(News{Cursor: 5, Purge: true, PurgeTime: 98}),
	} {
		if n, err := Parse([]byte(in)); err != nil || fmt.Sprint(n) != want {
			t.Errorf("%s: %v, %v; want %s", in, n, err, want)
		}
	}
	for _, in := range []string{"", "{}", `{"cursor":1}`, `{"cursor":1,"drop":{}}`, `{"cursor":"1"}`, `{"drop":{"id":"a"}}`,
		`{"cursor":1,"nodes":{"endpoints":[{"name":"a","address":"x:1","status":"odd"}]}}`,
		`{"cursor":1,"nodes":{"endpoints":[{"name":"a","status":"ready"}]}}`} {
		if n, err := Parse([]byte(in)); err == nil {
			t.Errorf("%s: %v and no error", in, n)
		}
	}
	if at, all, err := Known([]byte(`{"cursor":8,"cmds":[` + list + "," + dropID + `]}`)); at != 8 || len(all) != 2 ||
		err != nil || all[0].Scope != router.Restored {
		t.Errorf("known: %v, %v, %v", at, all, err)
	}
	for _, in := range []string{"", "{}", `{"cursor":1,"cmds":[{}]}`} {
		if _, _, err := Known([]byte(in)); err == nil {
			t.Errorf("known %s: no error", in)
		}
	}
}

// site is a channel that answers each call with the next of its scripts and then closes, or hangs where the script ends in "...".
func site(t *testing.T, scripts ...string) (string, chan string) {
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

func sent(cursors ...int) string {
	s := ""
	for _, n := range cursors {
		s += fmt.Sprintf("id: %d\ndata: {\"cursor\":%d,\"drop\":{\"id\":\"7f\",\"when\":1}}\n\n", n, n)
	}
	return s
}

// Whatever the channel does, each event is told once and in order, what can still be had is asked for again, and
// what stays unreadable stops none after it.
func TestFollow(t *testing.T) {
	const bad = "id: 4\ndata: nonsense\n\n"
	for _, c := range []struct {
		name    string
		scripts []string
		told    []int64
		calls   []string
		passed  int64
	}{
		{"breaks amid an event", []string{plain + sent(3) + "id: 4\nda", plain + sent(4, 5) + "..."}, []int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"refuses once", []string{"HTTP/1.1 500 Sorry\r\n\r\n", plain + sent(3) + "..."}, []int64{3}, []string{"2", "2"}, 0},
		{"twice", []string{plain + sent(3, 3, 4, 3, 4, 5) + "..."}, []int64{3, 4, 5}, []string{"2"}, 0},
		{"skips a number", []string{plain + sent(3, 5) + "...", plain + sent(4, 5) + "..."}, []int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"lacks a number", []string{plain + sent(3, 5) + "...", plain + sent(5, 6) + "..."}, []int64{3, 5, 6}, []string{"2", "3"}, 1},
		{"spoilt once", []string{plain + sent(3) + bad + "...", plain + sent(4, 5) + "..."}, []int64{3, 4, 5}, []string{"2", "3"}, 0},
		{"spoilt twice", []string{plain + sent(3) + bad + sent(5) + "...", plain + bad + sent(5, 6) + "..."}, []int64{3, 5, 6}, []string{"2", "3"}, 1},
		{"another number within", []string{plain + strings.Replace(sent(3), "id: 3", "id: 9", 1) + "...", plain + sent(3) + "..."},
			[]int64{3}, []string{"2", "2"}, 0},
		{"says nothing from the start", []string{"...", plain + sent(3) + "..."}, []int64{3}, []string{"2", "2"}, 0},
		{"half a head, then nothing", []string{"HTTP/1.1 200 O...", plain + sent(3) + "..."}, []int64{3}, []string{"2", "2"}, 0},
		{"half a line, then nothing", []string{plain + sent(3) + "id: 4\nda...", plain + sent(4) + "..."}, []int64{3, 4}, []string{"2", "3"}, 0},
		{"an older one after a newer one, and a repeat", []string{plain + sent(3, 4) + sent(3) + sent(4, 5) + "..."}, []int64{3, 4, 5}, []string{"2"}, 0},
		{"stops and stays open", []string{plain + sent(3) + "...", plain + sent(4) + "..."}, []int64{3, 4}, []string{"2", "3"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			at, calls := site(t, c.scripts...)
			ctx, cancel := context.WithCancel(context.Background())
			told, done := make(chan int64, 9), make(chan bool)
			f := &Follower{Address: at, Cursor: 2, Tell: func(n News) { told <- n.Cursor }, Trouble: func(error) {}}
			go func() { f.Run(ctx); close(done) }()
			for _, want := range c.told {
				if got := <-told; got != want {
					t.Errorf("told %d, want %d", got, want)
				}
			}
			for _, want := range c.calls {
				if got := <-calls; got != want {
					t.Errorf("called from %s, want %s", got, want)
				}
			}
			cancel()
			if <-done; len(told) > 0 || f.Passed.Load() != c.passed {
				t.Errorf("%d told more, %d passed over", len(told), f.Passed.Load())
			}
		})
	}
}

// A follower that moves calls the new place at once from the last number, whatever the old one is at, and tells
// what is known there; of several moves the newest holds.
func TestMove(t *testing.T) {
	old, _ := site(t, plain+sent(3)+"...")
	unused, none := site(t, plain+sent(9)+"...")
	next, calls := site(t, plain+sent(6)+"...")
	told, done := make(chan int64, 9), make(chan bool)
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{Address: old, Cursor: 2, Tell: func(n News) { told <- n.Cursor }, Trouble: func(error) {}}
	go func() { f.Run(ctx); close(done) }()
	if got := <-told; got != 3 {
		t.Errorf("told %d first", got)
	}
	f.mu.Lock() // both before the follower sees either
	f.next = &Place{Address: unused}
	f.mu.Unlock()
	f.Move(Place{Address: next, Known: []News{{Cursor: 2}, {Cursor: 3}, {Cursor: 4}, {Cursor: 5}, {Cursor: 8}}})
	for want := int64(4); want <= 6; want++ {
		if got := <-told; got != want {
			t.Errorf("told %d, want %d", got, want)
		}
	}
	if got := <-calls; got != "5" || len(none) != 0 {
		t.Errorf("called from %s", got)
	}
	cancel()
	<-done
}
