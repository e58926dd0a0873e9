package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"poppymill/internal/assert"
	"poppymill/internal/clients"
	"poppymill/internal/gatewayconfig"
	"poppymill/internal/operator"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/sockets"
	"poppymill/internal/rehearsal/world"
)

// deployment is emulated behind the gateway of these tests: two edge caches, a hub and the core.
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

// testGateway is a complete gateway over loopback, in this process, with emulated caches behind it.
type testGateway struct {
	t            *testing.T
	world        *sockets.Stage
	mu           sync.Mutex
	pullsByBox   map[string]int
	pullsByType  map[string]int
	address      string
	stop         context.CancelFunc
	hup          chan os.Signal
	load         func() (*gatewayconfig.Config, error) // called by the gateway on a reload, like loadSettings
	loadSettings func() (*Settings, error)
	logged       *logtest.Hook
	ended        chan error
	stopWorld    func()
	requests     int // sent so far
}

func newTestGateway(t *testing.T) *testGateway { return newTestGatewayWith(t, &Settings{}) }

// newTestGatewayWith starts a gateway with the operator's settings and waits until it is ready.
func newTestGatewayWith(t *testing.T, settings *Settings) *testGateway {
	s := &testGateway{t: t, pullsByBox: map[string]int{}, pullsByType: map[string]int{}, ended: make(chan error, 1),
		hup: make(chan os.Signal, 1), loadSettings: func() (*Settings, error) { return settings, nil }}
	log := discardLogger().(*logrus.Logger)
	s.logged = logtest.NewLocal(log)
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
			s.pullsByBox[f.Box]++
			s.pullsByType[f.Type]++
			s.mu.Unlock()
		}
	}})
	must(err)
	worldEnded := make(chan error, 1)
	worldCtx, stopWorld := context.WithCancel(context.Background())
	go func() { worldEnded <- s.world.Run(worldCtx) }()
	s.stopWorld = func() {
		stopWorld()
		<-worldEnded
	}
	s.address = s.world.Gateways()[0]
	s.load = func() (*gatewayconfig.Config, error) {
		text, err := s.world.Configuration(0)
		if err != nil {
			return nil, err
		}
		return gatewayconfig.Parse(text, os.Getenv)
	}
	c, err := s.load()
	must(err)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() {
		s.ended <- Serve(ctx, Setup{Config: c, Operator: settings}, Reloads{Signals: s.hup,
			LoadConfig:   func() (*gatewayconfig.Config, error) { return s.load() },
			LoadOperator: func() (*Settings, error) { return s.loadSettings() }}, log)
	}()
	for i := 0; ; i++ {
		if r, err := clients.Do(ctx, s.address, map[string]string{"SCRIPT_NAME": healthPath}, nil); err == nil &&
			r.Status == 200 {
			return s
		} else if i == 1000 {
			t.Fatalf("the gateway does not become ready: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// count reads one of the maps of pulls.
func (s *testGateway) count(pulls map[string]int, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pulls[name]
}

// get sends a request and returns the response and the request's id. ownCopy is the checksum of the client's copy.
func (s *testGateway) get(typ, object, body, ownCopy string) (clients.Response, string) {
	s.requests++
	id := fmt.Sprintf("%016x", s.requests)
	params := map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2400",
		"HTTP_X_ITEM": object, "HTTP_X_N": "2", "HTTP_X_SHARD": "7"}
	if typ == "renewal" {
		params["HTTP_X_N"] = "0"
	}
	if ownCopy != "" {
		params["HTTP_X_MINE"] = ownCopy
	}
	r, err := clients.Do(context.Background(), s.address, params, []byte(body))
	if err != nil {
		s.t.Errorf("%s %s: %v", typ, object, err)
	}
	return r, id
}

// isCurrent reports whether a response is the object's part in the version that the core has now.
func (s *testGateway) isCurrent(r clients.Response, object string) bool {
	words := strings.Fields(string(r.Body[:min(len(r.Body), 100)]))
	return r.Status == 200 && len(words) > 3 && words[0] == object && words[1] == "2" && words[2] == s.tag(object)
}

// tag returns the checksum of the object's current version.
func (s *testGateway) tag(object string) (tag string) {
	s.world.Do(func(w *world.World) { tag = w.Tag(object, 2) })
	return tag
}

// until waits for a condition that other goroutines bring about; the limit allows for a slow machine.
func until(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for i := 0; !condition(); i++ {
		if i == 600 {
			t.Fatalf("timed out waiting: %s", description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A gateway on sockets: fills, hits, purges, writes, broken connections, drains and the shutdown, without leaks.
func TestServe(t *testing.T) {
	goroutines := runtime.NumGoroutine()
	files := descriptors()
	s := newTestGateway(t)
	edgePulls := func() int { return s.count(s.pullsByBox, "edge-1") + s.count(s.pullsByBox, "edge-2") }
	const object = "7f3a9c21e0b4d655"
	for i, name := range []string{"filled by the origin", "filled by the parent, copy kept", "hit at the edge cache"} {
		if r, _ := s.get("video", object, "", ""); !s.isCurrent(r, object) {
			t.Errorf("%s: status %d, %.80q", name, r.Status, r.Body)
		}
		if edgePulls() != i+1 {
			t.Errorf("%s: %d pulls so far", name, edgePulls())
		}
	}
	if r, _ := s.get("video", object, "", s.tag(object)); r.Status != 200 || r.Fields["X-Still"] != "1" || len(r.Body) != 0 {
		t.Errorf("the client's copy is current: %+v", r)
	}
	s.world.Do(func(w *world.World) { w.Purge(object) })
	until(t, "the purge is applied", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.isCurrent(r, object)
	})
	timesRun := func(id string) (n int) {
		s.world.Do(func(w *world.World) { n = w.WriteRuns(id) })
		return n
	}
	if r, id := s.get("renewal", object, "one write", ""); r.Status != 200 || !strings.Contains(string(r.Body), id) ||
		timesRun(id) != 1 {
		t.Errorf("write: %+v, ran %d times", r, timesRun(id))
	}

	// A write whose connection breaks may have run, so it is abandoned, neither sent again nor throttled.
	s.world.Do(func(w *world.World) {
		w.ApplyEvent(script.Event{Kind: "cut", On: "edge", Share: 1, Count: 2, Duration: 300})
	})
	sent := edgePulls()
	if r, id := s.get("renewal", object, "one write", ""); r.Status != 500 || edgePulls() != sent+1 || timesRun(id) != 1 {
		t.Errorf("write on a broken connection: status %d, sent %d times, ran %d times",
			r.Status, edgePulls()-sent, timesRun(id))
	}
	until(t, "edge caches answer completely again", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.isCurrent(r, object)
	})

	// All connections break at once; the gateway connects to the channel and the nodes again.
	s.world.Hang()
	for _, name := range []string{"edge-1", "edge-2"} {
		other := map[string]string{"edge-1": "edge-2", "edge-2": "edge-1"}[name]
		s.world.Do(func(w *world.World) { w.SetState(name, "draining") })
		until(t, name+" gets no more pulls", func() bool {
			before := s.count(s.pullsByBox, name)
			for i := range 8 {
				if r, _ := s.get("video", fmt.Sprintf("%015x%x", len(name), i), "", ""); r.Status != 200 {
					t.Errorf("while %s drains: status %d", name, r.Status)
				}
			}
			return s.count(s.pullsByBox, name) == before && s.count(s.pullsByBox, other) > 0
		})
		s.world.Do(func(w *world.World) { w.SetState(name, "ready") })
	}

	// During a shutdown the gateway answers open downloads and new requests, then ends.
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return s.count(s.pullsByType, "pages") > 0 })
	s.stop()
	if r, err := clients.Do(context.Background(), s.address, map[string]string{"SCRIPT_NAME": "/invoke/video",
		"HTTP_X_JOB_ID": "ffffffffffffffff", "HTTP_X_ALLOW_MS": "2400", "HTTP_X_ITEM": object, "HTTP_X_N": "2",
		"HTTP_X_SHARD": "7"}, nil); err != nil || r.Status != 200 {
		t.Errorf("request during the shutdown: status %+v, %v", r.Status, err)
	}
	if r := <-got; r.Status != 200 {
		t.Errorf("download open at the shutdown: status %d", r.Status)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	s.stopWorld()
	until(t, "no goroutine is left over", func() bool { return runtime.NumGoroutine() <= goroutines })
	until(t, "no descriptor is left over", func() bool { return descriptors() <= files })
	if n := assert.Broken(); n != 0 {
		t.Errorf("%d assertions failed", n)
	}
}

// descriptors returns the number of open file descriptors of this process, or 0 without /proc.
func descriptors() int {
	all, _ := os.ReadDir("/proc/self/fd")
	return len(all)
}

// Malformed input must close only the connection that it came on, and a malformed request is answered with 400.
func TestMalformedInput(t *testing.T) {
	s := newTestGateway(t)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x01\x01\x00\x01\x00\x03\x00\x00abc"} {
		c, err := net.Dial("tcp", s.address)
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
		t.Errorf("download on another connection: status %d", r.Status)
	}
	if r, _ := s.get("video", "short", "", ""); r.Status != 400 {
		t.Errorf("malformed object: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.stopWorld()
}

// A reload moves the command channel at once and affects no download. A configuration that cannot be parsed changes
// nothing, and a later valid one is still applied.
func TestReload(t *testing.T) {
	s := newTestGateway(t)
	const object = "7f3a9c21e0b4d655"
	s.get("video", object, "", "")
	got := make(chan clients.Response, 1)
	go func() {
		r, _ := s.get("pages", "00000000000000ee", "", "")
		got <- r
	}()
	until(t, "a download is open", func() bool { return s.count(s.pullsByType, "pages") == 1 })
	good, loads := s.load, make(chan bool, 9)
	s.load = func() (*gatewayconfig.Config, error) {
		loads <- true
		return gatewayconfig.Parse([]byte("{"), os.Getenv)
	}
	s.hup <- syscall.SIGHUP
	<-loads
	if err := s.world.MoveChannel(0); err != nil {
		t.Fatal(err)
	}
	s.load = good
	s.world.Do(func(w *world.World) { w.Purge(object) })
	s.hup <- syscall.SIGHUP
	until(t, "a purge sent by the new channel is applied", func() bool {
		r, _ := s.get("video", object, "", "")
		return s.isCurrent(r, object)
	})
	if r := <-got; r.Status != 200 {
		t.Errorf("download open during the reload: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.stopWorld()
}

// Guards against one source of settings that is refused, or needs a restart, holding back the others: drains and purges
// come by the command channel that the configuration names.
func TestReloadTakesEachSourceByItself(t *testing.T) {
	s, _, block := newLinkGateway(t)
	previous := *block
	unreadable, moved := previous, previous
	unreadable.Keys, moved.Store = previous.Keys+".missing", previous.Store+".new"
	config := s.load
	refusedConfig := func() (*gatewayconfig.Config, error) { return gatewayconfig.Parse([]byte("{"), os.Getenv) }
	for _, c := range []struct {
		name     string
		load     func() (*gatewayconfig.Config, error)
		settings func() (*Settings, error)
		want     string // of the line "reloaded"
	}{
		{"links go off", config, func() (*Settings, error) { return &Settings{}, nil }, "applied configuration operator, refused <nil>, until a restart links"},
		{"another store", config, func() (*Settings, error) { return &Settings{Links: moved}, nil }, "applied configuration operator, refused <nil>, until a restart links"},
		{"keys cannot be read", config, func() (*Settings, error) {
			return &Settings{Links: unreadable, Fair: Fairness{On: true}}, nil
		}, "applied configuration operator, refused links.keys, until a restart fair"},
		{"operator's file refused", config, func() (*Settings, error) { return nil, errors.New("site.hcl:2: log.level") },
			"applied configuration, refused operator, until a restart <nil>"},
		{"configuration refused", refusedConfig, func() (*Settings, error) {
			return &Settings{Links: previous, Log: operator.Log{CountersEvery: 1000}}, nil
		}, "applied operator, refused configuration, until a restart <nil>"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := s.world.MoveChannel(0); err != nil {
				t.Fatal(err)
			}
			s.load, s.loadSettings = c.load, c.settings
			s.logged.Reset()
			s.hup <- syscall.SIGHUP
			var line *logrus.Entry
			until(t, "reloaded", func() bool {
				for _, e := range s.logged.AllEntries() {
					if e.Message == "reloaded" {
						line = e
					}
				}
				return line != nil
			})
			got := fmt.Sprintf("applied %v, refused %v, until a restart %v", line.Data["applied"], line.Data["refused"], line.Data["until a restart"])
			if got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
			if newest, err := c.load(); err == nil && line.Data["channel"] != newest.Channel {
				t.Errorf("the channel is %v, want %s", line.Data["channel"], newest.Channel)
			}
		})
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	s.stopWorld()
}
