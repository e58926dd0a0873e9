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

// Whatever the channel does, each event is told once and in order, and one that can't be read stops none after it.
func TestFollow(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	calls := make(chan string, 9)
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
			io.WriteString(c, []string{
				plain + "id: 3\ndata: " + list + "\n\nid: 4\ndata: nonsense\n\nid: 5\ndata: " + dropFamily + "\n\nid: 6\nda",
				"HTTP/1.1 500 Sorry\r\n\r\n",
				plain + "id: 5\ndata: " + dropFamily + "\n\nid: 7\ndata: " + strings.Replace(dropID, "4", "7", 1) + "\n\n",
			}[min(i, 2)])
			if i < 2 {
				c.Close()
			}
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	told, troubles, done := make(chan int64, 9), make(chan error, 99), make(chan bool)
	f := &Follower{Address: l.Addr().String(), Cursor: 2, Tell: func(n News) { told <- n.Cursor },
		Trouble: func(err error) { troubles <- err }}
	go func() { f.Run(ctx); close(done) }()
	if a, b, c := <-told, <-told, <-told; a != 3 || b != 5 || c != 7 {
		t.Errorf("told %d %d %d", a, b, c)
	}
	if a, b, c := <-calls, <-calls, <-calls; a != "2" || b != "5" || c != "5" {
		t.Errorf("called from %s, %s, %s", a, b, c)
	}
	cancel()
	<-done
	if len(troubles) < 3 {
		t.Errorf("only %d troubles told", len(troubles))
	}
}
