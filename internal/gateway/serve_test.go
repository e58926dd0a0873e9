package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppymill/internal/assert"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/sockets"
	"poppymill/internal/rehearsal/world"
)

// deployment is what the gateway of these tests stands before: two edge caches, a hub, the core.
const deployment = `
about = "for tests of one gateway"
deployment {
  gateways = 1
  box { count = 2 }
  hub { count = 1 }
}
type "video" {
  share  = 0.5
  work   = "5ms"
  spread = 0
  target = "600ms"
  expiry = "6s"
  parts  = 9
}
type "pages" {
  share  = 0.3
  work   = "600ms"
  spread = 0
  target = "300ms"
  expiry = "2500ms"
  parts  = 9
}
type "renewal" {
  share  = 0.2
  work   = "5ms"
  spread = 0
  target = "800ms"
  expiry = "3s"
  repeat = "non-retriable"
  write  = true
}
phase "open" {
  for  = "1h"
  rate = 0
}
`

// stage is a whole gateway over loopback, in this process, against the emulator.
type stage struct {
	t     *testing.T
	world *sockets.Stage
	mu    sync.Mutex
	seen  map[string]int // commands by box
	kinds map[string]int // and by content type
	at    string
	stop  context.CancelFunc
	hup   chan os.Signal
	load  func() (*footprint.Config, error) // called by the gateway as it reloads
	ended chan error
	shut  func()
	asked int
}

func newStage(t *testing.T) *stage { return newStageWith(t, &Settings{}) }

// newStageWith has the gateway go by an operator's settings too.
func newStageWith(t *testing.T, settings *Settings) *stage {
	s := &stage{t: t, seen: map[string]int{}, kinds: map[string]int{}, ended: make(chan error, 1), hup: make(chan os.Signal, 1)}
	must := func(err error) {
		if t.Helper(); err != nil {
			t.Fatal(err)
		}
	}
	script, err := script.Parse([]byte(deployment), "deployment")
	must(err)
	s.world, err = sockets.New(script, sockets.Options{Facts: func(f world.Fact) {
		if f, ok := f.(world.Pulled); ok {
			s.mu.Lock()
			s.seen[f.Box]++
			s.kinds[f.Type]++
			s.mu.Unlock()
		}
	}})
	must(err)
	ran := make(chan error, 1)
	running, shut := context.WithCancel(context.Background())
	go func() { ran <- s.world.Run(running) }()
	s.shut = func() {
		shut()
		<-ran
	}
	s.at = s.world.Gateways()[0]
	s.load = func() (*footprint.Config, error) {
		text, err := s.world.Configuration(0)
		if err != nil {
			return nil, err
		}
		return footprint.Parse(text, os.Getenv)
	}
	c, err := s.load()
	must(err)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		s.ended <- Serve(ctx, Setup{Config: c, Operator: settings}, Reloads{Wanted: s.hup, Load: func() (Setup, error) {
			c, err := s.load()
			return Setup{Config: c, Operator: settings}, err
		}}, discardLogger())
	}()
	for i := 0; ; i++ {
		if r, err := clients.Get(ctx, s.at, map[string]string{"SCRIPT_NAME": healthPath}, nil); err == nil && r.Status == 200 {
			return s
		} else if i == 1000 {
			t.Fatalf("never ready: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *stage) count(of map[string]int, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return of[name]
}

func (s *stage) get(typ, object, body, mine string) (clients.Response, string) {
	s.asked++
	id := fmt.Sprintf("%016x", s.asked)
	params := map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2400",
		"HTTP_X_ITEM": object, "HTTP_X_N": "2", "HTTP_X_SHARD": "7"}
	if typ == "renewal" {
		params["HTTP_X_N"] = "0"
	}
	if mine != "" {
		params["HTTP_X_MINE"] = mine
	}
	r, err := clients.Get(context.Background(), s.at, params, []byte(body))
	if err != nil {
		s.t.Errorf("%s %s: %v", typ, object, err)
	}
	return r, id
}

// is tells whether an answer is the object's part as the core gives it out now.
func (s *stage) is(r clients.Response, object string) bool {
	words := strings.Fields(string(r.Body[:min(len(r.Body), 100)]))
	return r.Status == 200 && len(words) > 3 && words[0] == object && words[1] == "2" && words[2] == s.tag(object)
}

func (s *stage) tag(object string) (tag string) {
	s.world.Do(func(w *world.World) { tag = w.Tag(object, 2) })
	return tag
}

// until waits for what other goroutines bring about, however slow the machine is.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for i := 0; !holds(); i++ {
		if i == 600 {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestServe(t *testing.T) {
	before := runtime.NumGoroutine()
	files := descriptors()
	s := newStage(t)
	edges := func() int { return s.count(s.seen, "edge-1") + s.count(s.seen, "edge-2") }
	const object = "7f3a9c21e0b4d655"
	for i, name := range []string{"filled by the origin", "filled by the parent, kept", "held at the edge"} {
		if r, _ := s.get("video", object, "", ""); !s.is(r, object) {
			t.Errorf("%s: status %d, %.80q", name, r.Status, r.Body)
		}
		if edges() != i+1 {
			t.Errorf("%s: %d commands in all", name, edges())
		}
	}
	if r, _ := s.get("video", object, "", s.tag(object)); r.Status != 200 || r.Fields["X-Still"] != "1" || len(r.Body) != 0 {
		t.Errorf("the client's copy is the one: %+v", r)
	}
	s.world.Do(func(w *world.World) { w.Purge(object) })
	until(t, "a purge is heeded", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.is(r, object)
	})
	ran := func(id string) (n int) {
		s.world.Do(func(w *world.World) { n = w.Ran(id) })
		return n
	}
	if r, id := s.get("renewal", object, "one write", ""); r.Status != 200 || !strings.Contains(string(r.Body), id) || ran(id) != 1 {
		t.Errorf("a write: %+v, ran %d times", r, ran(id))
	}

	// A write whose connection breaks may have run: it is abandoned, never sent again and never throttled.
	s.world.Do(func(w *world.World) { w.Happen(script.Event{Do: "cut", On: "edge", Share: 1, Count: 2, For: 300}) })
	sent := edges()
	if r, id := s.get("renewal", object, "one write", ""); r.Status != 500 || edges() != sent+1 || ran(id) != 1 {
		t.Errorf("a write that breaks: status %d, sent %d times, ran %d times", r.Status, edges()-sent, ran(id))
	}
	until(t, "boxes answer whole again", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.is(r, object)
	})

	// Everything breaks off at once; the channel and the nodes are met again.
	s.world.Hang()
	for _, name := range []string{"edge-1", "edge-2"} {
		other := map[string]string{"edge-1": "edge-2", "edge-2": "edge-1"}[name]
		s.world.Do(func(w *world.World) { w.SetState(name, "draining") })
		until(t, name+" is left alone", func() bool {
			had := s.count(s.seen, name)
			for i := range 8 {
				if r, _ := s.get("video", fmt.Sprintf("%015x%x", len(name), i), "", ""); r.Status != 200 {
					t.Errorf("while %s drains: status %d", name, r.Status)
				}
			}
			return s.count(s.seen, name) == had && s.count(s.seen, other) > 0
		})
		s.world.Do(func(w *world.World) { w.SetState(name, "ready") })
	}

	// Told to end with downloads open, a gateway answers them, takes what still comes, and ends.
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return s.count(s.kinds, "pages") > 0 })
	s.stop()
	if r, err := clients.Get(context.Background(), s.at, map[string]string{"SCRIPT_NAME": "/invoke/video",
		"HTTP_X_JOB_ID": "ffffffffffffffff", "HTTP_X_ALLOW_MS": "2400", "HTTP_X_ITEM": object, "HTTP_X_N": "2",
		"HTTP_X_SHARD": "7"}, nil); err != nil || r.Status != 200 {
		t.Errorf("while ending: %+v, %v", r.Status, err)
	}
	if r := <-got; r.Status != 200 {
		t.Errorf("what was open at the end: status %d", r.Status)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("ended with %v", err)
	}
	s.shut()
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
	s := newStage(t)
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
	s.shut()
}

// A new configuration moves the command channel at once and touches no download; one that can't be read changes
// nothing, and the next one is taken up all the same.
func TestReload(t *testing.T) {
	s := newStage(t)
	const object = "7f3a9c21e0b4d655"
	s.get("video", object, "", "")
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return s.count(s.kinds, "pages") == 1 })
	good, loads := s.load, make(chan bool, 9)
	s.load = func() (*footprint.Config, error) {
		loads <- true
		return footprint.Parse([]byte("{"), os.Getenv)
	}
	s.hup <- syscall.SIGHUP
	<-loads
	if err := s.world.MoveChannel(0); err != nil {
		t.Fatal(err)
	}
	s.load = good
	s.world.Do(func(w *world.World) { w.Purge(object) })
	s.hup <- syscall.SIGHUP
	until(t, "a purge told at the new place is heeded", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.is(r, object)
	})
	if r := <-got; r.Status != 200 {
		t.Errorf("what was open: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.shut()
}
