package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"poppymill/example/toy"
	"poppymill/internal/assert"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/internal/operator"
)

// stage is a whole gateway over loopback, against the project's own stand-ins.
type stage struct {
	t     *testing.T
	world *toy.World
	nodes map[string]*toy.Node
	at    string
	stop  context.CancelFunc
	hup   chan os.Signal
	load  func() (*footprint.Config, error) // called by the gateway as it reloads
	ended chan error
	asked int
}

func newStage(t *testing.T, before func(n *toy.Node, id, kind string) bool) *stage {
	s := &stage{t: t, nodes: map[string]*toy.Node{}, ended: make(chan error, 1), hup: make(chan os.Signal, 1)}
	var err error
	must := func() {
		if t.Helper(); err != nil {
			t.Fatal(err)
		}
	}
	s.world, err = toy.New("127.0.0.1:0")
	must()
	s.world.Before = before
	for _, n := range [][3]string{{"edge-1", "box", "club"}, {"edge-2", "box", "club"}, {"hub-1", "parent", "hub"}, {"core-1", "origin", "hub"}} {
		s.nodes[n[0]], err = s.world.Add(n[0], n[1], n[2], "127.0.0.1:0")
		must()
	}
	text, err := os.ReadFile("../../example/config.json")
	must()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must()
	s.at = l.Addr().String()
	l.Close()
	var all map[string]any
	err = json.Unmarshal(text, &all)
	must()
	s.load = func() (*footprint.Config, error) {
		all["listen"], all["channel"], all["known"] = s.at, s.world.Channel(), json.RawMessage(s.world.Known())
		text, err := json.Marshal(all)
		if err != nil {
			return nil, err
		}
		return footprint.Parse(text, os.Getenv)
	}
	c, err := s.load()
	must()
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		s.ended <- Serve(ctx, Setup{Config: c, Operator: &operator.Settings{}}, Reloads{Wanted: s.hup, Load: func() (Setup, error) {
			c, err := s.load()
			return Setup{Config: c, Operator: &operator.Settings{}}, err
		}}, quiet())
	}()
	for i := 0; ; i++ {
		if r, err := clients.Get(ctx, s.at, map[string]string{"SCRIPT_NAME": health}, nil); err == nil && r.Status == 200 {
			return s
		} else if i == 1000 {
			t.Fatalf("never ready: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *stage) get(typ, object, body, mine string) (clients.Response, string) {
	s.asked++
	id := fmt.Sprintf("%016x", s.asked)
	params := map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2400",
		"HTTP_X_ITEM": object, "HTTP_X_N": "2", "HTTP_X_SHARD": "7"}
	if mine != "" {
		params["HTTP_X_MINE"] = mine
	}
	r, err := clients.Get(context.Background(), s.at, params, []byte(body))
	if err != nil {
		s.t.Errorf("%s %s: %v", typ, object, err)
	}
	return r, id
}

// until waits for what other goroutines bring about, however slow the machine is.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for i := 0; !holds(); i++ {
		if i == 4000 {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestServe(t *testing.T) {
	before := runtime.NumGoroutine()
	files := descriptors()
	var mu sync.Mutex
	seen := map[string]int{} // commands by node
	breaks, hold := "", make(chan bool)
	s := newStage(t, func(n *toy.Node, id, kind string) bool {
		mu.Lock()
		seen[n.Name]++
		breaking := kind == breaks
		mu.Unlock()
		if kind == "pages" {
			<-hold
		}
		return !breaking
	})
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return seen["edge-1"] + seen["edge-2"]
	}
	const object = "7f3a9c21e0b4d655"
	for i, name := range []string{"filled by the origin", "filled by the parent, kept", "held at the edge"} {
		if r, _ := s.get("video", object, "", ""); r.Status != 200 || !bytes.Equal(r.Body, s.world.Body(object, "2")) {
			t.Errorf("%s: status %d, %d bytes", name, r.Status, len(r.Body))
		}
		if count() != i+1 {
			t.Errorf("%s: %d commands in all", name, count())
		}
	}
	if r, _ := s.get("video", object, "", s.world.Tag(object, "2")); r.Status != 200 || r.Fields["X-Still"] != "1" || len(r.Body) != 0 {
		t.Errorf("the client's copy is the one: %+v", r)
	}
	s.world.Purge(object)
	until(t, "a purge is heeded", func() bool {
		r, _ := s.get("video", object, "", "")
		return bytes.Equal(r.Body, s.world.Body(object, "2"))
	})
	if r, id := s.get("renewal", object, "one write", ""); r.Status != 200 || string(r.Body) != "done" || s.world.Ran(id) != 1 {
		t.Errorf("a write: %+v, ran %d times", r, s.world.Ran(id))
	}

	// A write whose connection breaks may have run: it is abandoned, never sent again and never throttled.
	mu.Lock()
	breaks = "renewal"
	mu.Unlock()
	sent := count()
	if r, _ := s.get("renewal", object, "one write", ""); r.Status != 500 || count() != sent+1 {
		t.Errorf("a write that breaks: status %d, sent %d times", r.Status, count()-sent)
	}
	mu.Lock()
	breaks = ""
	mu.Unlock()

	// Everything breaks off at once; the channel and the nodes are met again.
	s.world.Hang()
	for _, name := range []string{"edge-1", "edge-2"} {
		other := map[string]string{"edge-1": "edge-2", "edge-2": "edge-1"}[name]
		s.world.SetStatus(s.nodes[name], "draining")
		until(t, name+" is left alone", func() bool {
			mu.Lock()
			had := seen[name]
			mu.Unlock()
			for i := range 8 {
				if r, _ := s.get("video", fmt.Sprintf("%015x%x", len(name), i), "", ""); r.Status != 200 {
					t.Errorf("while %s drains: status %d", name, r.Status)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			return seen[name] == had && seen[other] > 0
		})
		s.world.SetStatus(s.nodes[name], "ready")
	}

	// Told to end with downloads open, a gateway answers them, takes what still comes, and ends.
	sent = count()
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return count() > sent })
	s.stop()
	if r, err := clients.Get(context.Background(), s.at, map[string]string{"SCRIPT_NAME": "/invoke/video",
		"HTTP_X_JOB_ID": "ffffffffffffffff", "HTTP_X_ALLOW_MS": "2400", "HTTP_X_ITEM": object, "HTTP_X_N": "2",
		"HTTP_X_SHARD": "7"}, nil); err != nil || r.Status != 200 {
		t.Errorf("while ending: %+v, %v", r.Status, err)
	}
	close(hold)
	if r := <-got; r.Status != 200 {
		t.Errorf("what was open at the end: status %d", r.Status)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	s.world.Close()
	until(t, "no goroutine is left over", func() bool { return runtime.NumGoroutine() <= before })
	until(t, "no descriptor is left over", func() bool { return descriptors() <= files })
	if n := assert.Broken(); n != 0 {
		t.Errorf("%d asserts broken", n)
	}
}

// descriptors counts this process's, where the system tells.
func descriptors() int {
	all, _ := os.ReadDir("/proc/self/fd")
	return len(all)
}

// One that talks nonsense loses its own connection, and nobody else theirs.
func TestNonsense(t *testing.T) {
	s := newStage(t, nil)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x01\x00\x03\x00\x00abc"} {
		c, err := net.Dial("tcp", s.at)
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte(text))
		if n, err := c.Read(make([]byte, 10)); err == nil {
			t.Errorf("%q: %d bytes in answer", strings.Fields(text)[0], n)
		}
		c.Close()
	}
	if r, _ := s.get("video", "7f3a9c21e0b4d655", "", ""); r.Status != 200 {
		t.Errorf("another's download: status %d", r.Status)
	}
	if r, _ := s.get("video", "short", "", ""); r.Status != 400 {
		t.Errorf("an object that can't be read: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.world.Close()
}

// A new configuration moves the command channel at once and touches no download; one that can't be read changes
// nothing, and the next one is taken up all the same.
func TestReload(t *testing.T) {
	hold := make(chan bool)
	var pages atomic.Int64
	s := newStage(t, func(_ *toy.Node, _, kind string) bool {
		if kind == "pages" {
			pages.Add(1)
			<-hold
		}
		return true
	})
	const object = "7f3a9c21e0b4d655"
	s.get("video", object, "", "")
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return pages.Load() == 1 })
	good, loads := s.load, make(chan bool, 9)
	s.load = func() (*footprint.Config, error) {
		loads <- true
		return footprint.Parse([]byte("{"), os.Getenv)
	}
	s.hup <- syscall.SIGHUP
	<-loads
	if err := s.world.MoveChannel("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	s.load = good
	s.world.Purge(object)
	s.hup <- syscall.SIGHUP
	until(t, "a purge told at the new place is heeded", func() bool {
		r, _ := s.get("video", object, "", "")
		return bytes.Equal(r.Body, s.world.Body(object, "2"))
	})
	close(hold)
	if r := <-got; r.Status != 200 {
		t.Errorf("what was open: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.world.Close()
}
