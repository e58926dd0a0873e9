// Package sockets runs a rehearsal over loopback sockets: real gateway processes, configured as the platform configures
// them, between emulated FastCGI clients, RESP servers (caches, hubs and the origin) and the command channel. It executes the
// actions of a world and makes no decisions of its own. Ports are chosen by the operating system; everything that it starts
// is stopped and waited for.
package sockets

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poppymill/internal/clients"
	"poppymill/internal/links"
	"poppymill/internal/links/keyfile"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Slack is the extra time, in ms, that the rules allow for scheduling and network delays of a real machine.
const Slack = 50.0

// Limits on how late, in ms, the event loop may run an event that is due: the 99th percentile and the maximum. A machine that
// exceeds them was too slow for the outcome to count.
const (
	maxLateness99th = 40.0
	maxLateness     = 400.0
)

// Options configure a stage.
type Options struct {
	Binary         string                   // path of the gateway binary; no gateways are started if empty
	Logs           string                   // directory for the gateways' logs; none are kept if empty
	Addresses      func(name string) string // listen addresses by symbolic address, and for "channel"; nil: random loopback addresses
	Facts          func(world.Fact)         // called with each fact of the world
	Progress       func(at, length float64) // called about every 500 ms with the current time and the length of the script, in ms
	OperatorConfig func(gateway int) string // appended to a gateway's operator's file at its next start or reload, e.g. failpoints
}

// Stage runs one rehearsal on sockets. Its event loop owns the world, the endpoints, the connections and the processes.
type Stage struct {
	Options
	script     *script.Script
	world      *world.World
	start      time.Time
	tasks      chan func() // run by the event loop
	ctx        context.Context
	stop       context.CancelCauseFunc
	spawned    sync.WaitGroup
	dir        string
	endpoints  map[string]*endpoint
	conns      map[int64]*conn
	lastConnID int64
	gateways   []*process
	lateness   *hdrhistogram.Histogram // of the event loop, in microseconds
	relays     *relays
}

// New prepares a stage: its directory, addresses and configuration files. Run runs it.
func New(s *script.Script, o Options) (*Stage, error) {
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	st := &Stage{Options: o, script: s, tasks: make(chan func(), 4096), dir: dir, endpoints: map[string]*endpoint{}, conns: map[int64]*conn{},
		lateness: hdrhistogram.New(1, 60_000_000, 3), start: time.Now()}
	if st.Addresses == nil {
		st.Addresses = func(string) string { return randomLoopback() }
	}
	st.ctx, st.stop = context.WithCancelCause(context.Background())
	st.world = world.New(s, world.Options{Epoch: float64(st.start.UnixMicro()) / 1000, BodyDivisor: 16, OnFact: o.Facts, AcceptUnknown: o.Binary == ""})
	st.relays = newRelays(st)
	if s.Quorum.On {
		err = st.relays.open(s.Gateways)
	}
	if err == nil {
		err = st.writeOperatorConfigs()
	}
	if err == nil && s.Links.Life > 0 {
		err = st.writeKeys(st.world.LinkKeys())
	}
	if err != nil {
		st.stop(err)
		st.relays.close()
		st.spawned.Wait()
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	for i := range s.Gateways {
		p := &process{stage: st, number: i}
		if err := p.reserveAddresses(); err != nil {
			st.stop(err)
			for _, p := range st.gateways {
				p.close()
			}
			st.relays.close()
			st.spawned.Wait()
			return nil, errors.Join(err, os.RemoveAll(dir))
		}
		st.gateways = append(st.gateways, p)
	}
	return st, nil
}

// now returns the time since the start, in ms.
func (s *Stage) now() float64 { return float64(time.Since(s.start)) / float64(time.Millisecond) }

// post queues a task for the event loop; it is dropped once the stage has ended.
func (s *Stage) post(task func()) {
	select {
	case s.tasks <- task:
	case <-s.ctx.Done():
	}
}

// postEvent passes an event to the world with the time at which it happened.
func (s *Stage) postEvent(at float64, e world.Event) {
	s.post(func() { s.apply(s.world.Handle(at, e)) })
}

// Do runs a function on the event loop with access to the world, and waits for it to return.
func (s *Stage) Do(do func(w *world.World)) {
	done := make(chan bool)
	s.post(func() {
		s.apply(s.world.RunUntil(s.now()))
		do(s.world)
		s.apply(s.world.RunUntil(s.now()))
		close(done)
	})
	select {
	case <-done:
	case <-s.ctx.Done():
	}
}

// spawn runs a function in a goroutine that the end of the stage waits for.
func (s *Stage) spawn(run func()) {
	s.spawned.Add(1)
	go func() {
		defer s.spawned.Done()
		run()
	}()
}

// errFinished stops a stage whose script has ended.
var errFinished = errors.New("the rehearsal is over")

// ErrSlow reports that the machine was too slow for the outcome to count.
var ErrSlow = errors.New("the machine was too slow for the outcome to count")

// Run runs the script to its end, or until the context is cancelled. When it returns, everything that it started has ended.
func (s *Stage) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.stop(context.Cause(ctx)) })()
	s.loop()
	for _, p := range s.gateways {
		p.kill()
	}
	s.spawned.Wait()
	err := context.Cause(s.ctx)
	if errors.Is(err, errFinished) {
		err = nil
	}
	if worst, p99 := float64(s.lateness.Max())/1000, float64(s.lateness.ValueAtQuantile(99))/1000; err == nil && (p99 > maxLateness99th || worst > maxLateness) {
		err = fmt.Errorf("%w: the event loop was up to %.0f ms late, 99th percentile %.0f ms", ErrSlow, worst, p99)
	}
	return errors.Join(err, os.RemoveAll(s.dir))
}

// loop is the event loop: it runs due events of the world and posted tasks until the script or the stage ends, then closes
// all listeners, connections and processes.
func (s *Stage) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastProgress := -math.MaxFloat64
	s.apply(s.world.RunUntil(s.now())) // the initial actions: endpoints, gateways
	for s.ctx.Err() == nil {
		now := s.now()
		due, ok := s.world.Next()
		if ok && due <= now {
			s.lateness.RecordValue(min(60_000_000, max(1, int64(1000*(now-due)))))
			s.apply(s.world.RunUntil(now))
			if due, ok = s.world.Next(); ok && due <= now {
				continue
			}
		}
		if s.Progress != nil && now >= lastProgress+500 {
			lastProgress = now
			s.Progress(now, s.script.Length())
		}
		if s.world.Done() {
			s.reportEffects()
		}
		if s.world.Done() || now > s.script.Length()+2*s.script.LongestExpiry()+10_000 {
			s.stop(errFinished)
			break
		}
		wait := 100 * time.Millisecond
		if ok {
			wait = min(wait, time.Duration(max(0, due-s.now())*float64(time.Millisecond)))
		}
		timer.Reset(wait)
		select {
		case task := <-s.tasks:
			task()
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
	s.relays.close()
	for _, e := range s.endpoints {
		e.close(false)
	}
	for _, c := range s.conns {
		c.reset()
	}
	for _, p := range s.gateways {
		p.close()
	}
}

// apply carries out the actions that the world returned.
func (s *Stage) apply(actions []world.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case world.Listen:
			s.listen(a.Address)
		case world.Close:
			if e := s.endpoints[a.Address]; e != nil {
				e.close(a.Drop)
			}
		case world.Refuse:
			s.resetConn(a.Conn)
		case world.Reset:
			s.resetConn(a.Conn)
		case world.Reply:
			if c := s.conns[a.Conn]; c != nil {
				c.reply(a)
			}
		case world.Publish:
			for _, p := range s.gateways {
				p.channel.publish(s.withRealAddresses(a.Event))
			}
		case world.Channel:
			for _, p := range s.gateways {
				p.channel.setState(a.State)
			}
		case world.SendRequest:
			s.gateways[a.Gateway].send(a.Request)
		case world.Abort:
			s.gateways[a.Gateway].abort(a.ID)
		case world.Start:
			if err := s.gateways[a.Gateway].start(); err != nil {
				s.stop(err)
			}
		case world.Kill:
			s.gateways[a.Gateway].kill()
			if err := s.gateways[a.Gateway].applyDiskFault(a.Disk); err != nil {
				s.stop(err)
			}
		case world.CopyDisk:
			if err := s.gateways[a.Gateway].copyStore(); err != nil {
				s.stop(err)
			}
		case world.FillDisk:
			if err := s.gateways[a.Gateway].fillDisk(a.Undo); err != nil {
				s.stop(err)
			}
		case world.SubmitJob:
			s.spawn(func() { s.startJob(a.Job) })
		case world.SubmitPurge:
			s.spawn(func() { s.startPurge(a) })
		case world.Freeze:
			s.gateways[a.Gateway].freeze(!a.Thaw)
		case world.DelayTraffic:
			s.relays.setDelay(a.Gateways, len(s.gateways), time.Duration(a.Delay*float64(time.Millisecond)))
		case world.ResetConns:
			s.relays.reset(a.Gateways)
		case world.Partition:
			s.relays.partition(a.Gateways, len(s.gateways), a.OneWay, !a.Heal)
		case world.Keys:
			if err := s.writeKeys(a.Keys); err != nil {
				s.stop(err)
			}
		case world.Terminate:
			s.gateways[a.Gateway].signal(syscall.SIGTERM)
		case world.Reload:
			if err := s.gateways[a.Gateway].reload(); err != nil {
				s.stop(err)
			}
		}
	}
}

// withRealAddresses returns an event of the command channel with symbolic addresses replaced by the real ones.
func (s *Stage) withRealAddresses(event map[string]any) map[string]any {
	nodes, ok := event["nodes"].(map[string]any)
	if !ok {
		return event
	}
	event, nodes = maps.Clone(event), maps.Clone(nodes)
	event["nodes"] = nodes
	var all []any
	for _, p := range nodes["endpoints"].([]any) {
		p := maps.Clone(p.(map[string]any))
		if e := s.endpoints[p["address"].(string)]; e != nil {
			p["address"] = e.address
		}
		all = append(all, p)
	}
	nodes["endpoints"] = all
	return event
}

// knownEvents returns the events that a starting gateway is configured with, and the channel's cursor after them.
func (s *Stage) knownEvents() (int, []map[string]any) {
	cursor, events := s.world.ChannelEvents()
	for i := range events {
		events[i] = s.withRealAddresses(events[i])
	}
	return cursor, events
}

// writeOperatorConfigs writes the operator's file of each gateway.
func (s *Stage) writeOperatorConfigs() error {
	for i := range s.script.Gateways {
		if err := s.writeOperatorConfig(i); err != nil {
			return err
		}
	}
	return nil
}

// writeOperatorConfig writes a gateway's operator's file, with the blocks of the features that the script turns on.
func (s *Stage) writeOperatorConfig(i int) error {
	l, f := s.world.LinkSettings(), s.script.Fair
	name, _, _ := s.world.Config(i)
	text := ""
	if l.Base != "" {
		text = fmt.Sprintf("links {\n  keys = %q\n  base = %q\n  audience = [%q, %q]\n  checks = %v\n  all_checks = %v\n  renew_within = \"%.0fms\"\n",
			s.dir+"/keys.hcl", l.Base, l.Audience[0], name, l.ChecksPerSource, l.ChecksTotal, l.RenewWithin)
		if l.NodeLinkLifetime > 0 {
			text += fmt.Sprintf("  boxes = \"%.0fms\"\n", l.NodeLinkLifetime)
		}
		text += "}\n"
	}
	if f.On {
		var ahead []string
		for _, t := range s.script.Types {
			if t.Write {
				ahead = append(ahead, fmt.Sprintf("%q", t.Name))
			}
		}
		text += fmt.Sprintf("fair {\n  club = \"header X-Club\"\n  client = \"header X-Client\"\n  longest_wait = \"%.0fms\"\n", f.Longest)
		if len(ahead) > 0 {
			text += "  ahead = [" + strings.Join(ahead, ", ") + "]\n"
		}
		text += "}\n"
	}
	if q := s.script.Quorum; q.On {
		text += s.relays.quorumConfig(i, q, func(n int) string { name, _, _ := s.world.Config(n); return name })
	}
	if s.OperatorConfig != nil {
		text += s.OperatorConfig(i)
	}
	return os.WriteFile(s.operatorConfigPath(i), []byte(text), 0o600)
}

// writeKeys writes the key file that all gateways share.
func (s *Stage) writeKeys(keys []links.Key) error {
	return keyfile.Write(s.dir+"/keys.hcl", &keyfile.File{Keys: keys})
}

// operatorConfigPath returns the path of a gateway's operator's file.
func (s *Stage) operatorConfigPath(gateway int) string {
	return fmt.Sprintf("%s/operator-%d.hcl", s.dir, gateway)
}

// resetConn closes a connection with a TCP reset, as the kernel does for a process that died.
func (s *Stage) resetConn(id int64) {
	if c := s.conns[id]; c != nil {
		delete(s.conns, id)
		c.reset()
	}
}

// Hang resets all connections, as a network fault does, and keeps the listeners open.
func (s *Stage) Hang() {
	s.Do(func(*world.World) {
		for id := range s.conns {
			s.resetConn(id)
		}
		for _, p := range s.gateways {
			p.channel.setState(world.Broken)
		}
	})
}

// MoveChannel moves the command channel of a gateway to another address. The event IDs continue; connections to the old
// address stay open but get no more data.
func (s *Stage) MoveChannel(gateway int) (err error) {
	s.Do(func(*world.World) {
		p := s.gateways[gateway]
		old := p.channel
		if p.channel, err = newChannel(s, gateway); err == nil {
			p.channel.events = old.events
			old.listener.Close()
			old.setState(world.Silent)
		}
	})
	return err
}

// Gateways returns the addresses at which the gateways accept clients.
func (s *Stage) Gateways() (all []string) {
	for _, p := range s.gateways {
		all = append(all, p.address)
	}
	return all
}

// Channel returns the address of the command channel of one gateway.
func (s *Stage) Channel(gateway int) string { return s.gateways[gateway].channel.address() }

// Configuration returns the configuration of one gateway as JSON.
func (s *Stage) Configuration(gateway int) (text []byte, err error) {
	s.Do(func(*world.World) { text, err = s.gateways[gateway].configuration() })
	return text, err
}

// toAnswer converts a response that a client got into an event of the world.
func toAnswer(gateway int, id string, r clients.Response) world.Answer {
	a := world.Answer{Gateway: gateway, ID: id, Status: r.Status, NotModified: r.Fields["X-Still"] == "1"}
	fmt.Sscan(r.Fields["X-Wait-Ms"], &a.Wait)
	a.Ticket = r.Fields["X-Ticket"]
	if _, token, ok := strings.Cut(r.Fields["Set-Cookie"], "="); ok {
		a.Token, _, _ = strings.Cut(token, ";")
	}
	head := r.Body[:min(len(r.Body), 120)]
	if i := slices.Index(head, '\n'); i >= 0 {
		head = head[:i]
	}
	a.Copy = string(head)
	return a
}

// encodeEvent returns an event of the command channel as JSON.
func encodeEvent(event map[string]any) []byte {
	text, err := json.Marshal(event)
	if err != nil {
		panic(err) // the world's events are always encodable
	}
	return text
}

// randomLoopback returns a random loopback address, to listen on at a port that the system chooses. Nothing dials out from it: at
// 127.0.0.1 a port that is free while its owner restarts may be assigned to any outgoing connection.
func randomLoopback() string {
	return fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254))
}

// reserveAddress returns an address at which another process can listen, also after restarts.
func reserveAddress() (string, error) {
	l, err := listen(randomLoopback())
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// listen opens a TCP listener.
func listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
