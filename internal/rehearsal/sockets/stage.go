// Package sockets plays a rehearsal on real sockets over loopback: real gateway processes, configured as the platform
// does, between FastCGI clients, RESP boxes and the command channel. It is the driver of a world and decides nothing.
// Ports are the system's choice; all that it starts is ended and waited for.
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

// Slack is what real machines and a real network may add to a time of the rules, in ms.
const Slack = 50.0

// What counts as a machine that was fast enough: how late, in ms, the stage may be with what is due, in one of a hundred
// cases and in the worst.
const (
	lateMost  = 40.0
	worstMost = 400.0
)

// Options of a stage.
type Options struct {
	Binary    string                   // of the gateways; none are started where it is empty
	Logs      string                   // folder for the gateways' logs; empty: none are kept
	Addresses func(name string) string // real addresses to listen at, by box and for "channel"; nil: the system's choice
	Facts     func(world.Fact)
	Progress  func(at, length float64)
	Operator  func(gateway int) string // more for a gateway's operator's file at its next start or reload, as failpoints; nil: nothing
}

// Stage is one rehearsal on sockets.
type Stage struct {
	Options
	script   *script.Script
	world    *world.World
	start    time.Time
	inbox    chan func()
	ctx      context.Context
	stop     context.CancelCauseFunc
	live     sync.WaitGroup
	dir      string
	boxes    map[string]*endpoint
	conns    map[int64]*conn
	numbers  int64
	gateways []*process
	late     *hdrhistogram.Histogram
	relays   *relays
}

// New makes a stage; Run plays it.
func New(s *script.Script, o Options) (*Stage, error) {
	dir, err := os.MkdirTemp("", "rehearsal")
	if err != nil {
		return nil, err
	}
	st := &Stage{Options: o, script: s, inbox: make(chan func(), 4096), dir: dir, boxes: map[string]*endpoint{}, conns: map[int64]*conn{},
		late: hdrhistogram.New(1, 60_000_000, 3), start: time.Now()}
	if st.Addresses == nil {
		st.Addresses = func(string) string { return "127.0.0.1:0" }
	}
	st.ctx, st.stop = context.WithCancelCause(context.Background())
	st.world = world.New(s, world.Options{Epoch: float64(st.start.UnixMicro()) / 1000, Thin: 16, Facts: o.Facts, Strangers: o.Binary == ""})
	st.relays = newRelays(st)
	if s.Quorum.On {
		err = st.relays.open(s.Gateways)
	}
	if err == nil {
		err = st.operators()
	}
	if err == nil && s.Links.Life > 0 {
		err = st.keys(st.world.LinkKeys())
	}
	if err != nil {
		st.stop(err)
		st.relays.close()
		st.live.Wait()
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	for i := range s.Gateways {
		p := &process{stage: st, number: i}
		if err := p.reserve(); err != nil {
			st.stop(err)
			for _, p := range st.gateways {
				p.end()
			}
			st.relays.close()
			st.live.Wait()
			return nil, errors.Join(err, os.RemoveAll(dir))
		}
		st.gateways = append(st.gateways, p)
	}
	return st, nil
}

func (s *Stage) now() float64 { return float64(time.Since(s.start)) / float64(time.Millisecond) }

// post hands something to the loop; it is dropped once the stage has ended.
func (s *Stage) post(do func()) {
	select {
	case s.inbox <- do:
	case <-s.ctx.Done():
	}
}

// event hands an event to the world at the time at which it happened.
func (s *Stage) event(at float64, e world.Event) {
	s.post(func() { s.carry(s.world.Handle(at, e)) })
}

// Do has the loop do something with the world, and waits for it.
func (s *Stage) Do(do func(w *world.World)) {
	done := make(chan bool)
	s.post(func() {
		s.carry(s.world.Ring(s.now()))
		do(s.world)
		s.carry(s.world.Ring(s.now()))
		close(done)
	})
	select {
	case <-done:
	case <-s.ctx.Done():
	}
}

// spawn runs something that is waited for at the end.
func (s *Stage) spawn(do func()) {
	s.live.Add(1)
	go func() {
		defer s.live.Done()
		do()
	}()
}

// errOver ends a stage that was played through.
var errOver = errors.New("the rehearsal is over")

// ErrSlow tells that the machine was too slow for the outcome to count.
var ErrSlow = errors.New("the machine was too slow for the outcome to count")

// Run plays the script until its end, or until the context's; whatever happens, nothing that it started is left.
func (s *Stage) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.stop(context.Cause(ctx)) })()
	s.loop()
	for _, p := range s.gateways {
		p.kill()
	}
	s.live.Wait()
	err := context.Cause(s.ctx)
	if errors.Is(err, errOver) {
		err = nil
	}
	if worst, high := float64(s.late.Max())/1000, float64(s.late.ValueAtQuantile(99))/1000; err == nil && (high > lateMost || worst > worstMost) {
		err = fmt.Errorf("%w: the stage was up to %.0f ms late, %.0f ms in one of a hundred cases", ErrSlow, worst, high)
	}
	return errors.Join(err, os.RemoveAll(s.dir))
}

func (s *Stage) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	shown := -math.MaxFloat64
	s.carry(s.world.Ring(s.now())) // what the world is made of
	for s.ctx.Err() == nil {
		now := s.now()
		due, ok := s.world.Next()
		if ok && due <= now {
			s.late.RecordValue(min(60_000_000, max(1, int64(1000*(now-due)))))
			s.carry(s.world.Ring(now))
			if due, ok = s.world.Next(); ok && due <= now {
				continue
			}
		}
		if s.Progress != nil && now >= shown+500 {
			shown = now
			s.Progress(now, s.script.Length())
		}
		if s.world.Over() {
			s.records()
		}
		if s.world.Over() || now > s.script.Length()+2*s.script.Longest()+10_000 {
			s.stop(errOver)
			break
		}
		wait := 100 * time.Millisecond
		if ok {
			wait = min(wait, time.Duration(max(0, due-s.now())*float64(time.Millisecond)))
		}
		timer.Reset(wait)
		select {
		case do := <-s.inbox:
			do()
		case <-timer.C:
		case <-s.ctx.Done():
		}
	}
	s.relays.close()
	for _, e := range s.boxes {
		e.shut(false)
	}
	for _, c := range s.conns {
		c.reset()
	}
	for _, p := range s.gateways {
		p.end()
	}
}

func (s *Stage) carry(actions []world.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case world.Listen:
			s.listen(a.Address)
		case world.Shut:
			if e := s.boxes[a.Address]; e != nil {
				e.shut(a.Mute)
			}
		case world.Refuse:
			s.drop(a.Conn)
		case world.Reset:
			s.drop(a.Conn)
		case world.Reply:
			if c := s.conns[a.Conn]; c != nil {
				c.reply(a)
			}
		case world.Publish:
			for _, p := range s.gateways {
				p.channel.tell(s.real(a.Event))
			}
		case world.Channel:
			for _, p := range s.gateways {
				p.channel.set(a.How)
			}
		case world.Ask:
			s.gateways[a.Gateway].ask(a.Request)
		case world.Abort:
			s.gateways[a.Gateway].abort(a.ID)
		case world.Start:
			if err := s.gateways[a.Gateway].start(); err != nil {
				s.stop(err)
			}
		case world.Kill:
			s.gateways[a.Gateway].kill()
			if err := s.gateways[a.Gateway].disk(a.Disk); err != nil {
				s.stop(err)
			}
		case world.Copy:
			if err := s.gateways[a.Gateway].copy(); err != nil {
				s.stop(err)
			}
		case world.Fill:
			if err := s.gateways[a.Gateway].fill(a.Undo); err != nil {
				s.stop(err)
			}
		case world.Work:
			s.spawn(func() { s.work(a.Job) })
		case world.Withdraw:
			s.spawn(func() { s.withdraw(a) })
		case world.Freeze:
			s.gateways[a.Gateway].freeze(!a.Thaw)
		case world.Slow:
			s.relays.slow(a.Some, len(s.gateways), time.Duration(a.By*float64(time.Millisecond)))
		case world.Sever:
			s.relays.reset(a.Some)
		case world.Part:
			s.relays.part(a.Apart, len(s.gateways), a.OneWay, !a.Heal)
		case world.Keys:
			if err := s.keys(a.Keys); err != nil {
				s.stop(err)
			}
		case world.Term:
			s.gateways[a.Gateway].signal(syscall.SIGTERM)
		case world.Hup:
			if err := s.gateways[a.Gateway].reload(); err != nil {
				s.stop(err)
			}
		}
	}
}

// real puts real addresses into an event of the channel.
func (s *Stage) real(event map[string]any) map[string]any {
	nodes, ok := event["nodes"].(map[string]any)
	if !ok {
		return event
	}
	event, nodes = maps.Clone(event), maps.Clone(nodes)
	event["nodes"] = nodes
	var all []any
	for _, p := range nodes["endpoints"].([]any) {
		p := maps.Clone(p.(map[string]any))
		if e := s.boxes[p["address"].(string)]; e != nil {
			p["address"] = e.address
		}
		all = append(all, p)
	}
	nodes["endpoints"] = all
	return event
}

func (s *Stage) known() (int, []map[string]any) {
	cursor, events := s.world.Known()
	for i := range events {
		events[i] = s.real(events[i])
	}
	return cursor, events
}

// operators writes what the operator of each gateway says, where the script turns something on.
func (s *Stage) operators() error {
	for i := range s.script.Gateways {
		if err := s.write(i); err != nil {
			return err
		}
	}
	return nil
}

// write writes what the operator of a gateway says from now on.
func (s *Stage) write(i int) error {
	l, f := s.world.LinkSettings(), s.script.Fair
	name, _, _ := s.world.Config(i)
	text := ""
	if l.Base != "" {
		text = fmt.Sprintf("links {\n  keys = %q\n  base = %q\n  audience = [%q, %q]\n  checks = %v\n  all_checks = %v\n  renew_within = \"%.0fms\"\n",
			s.dir+"/keys.hcl", l.Base, l.Audience[0], name, l.Checks, l.AllChecks, l.RenewIn)
		if l.Boxes > 0 {
			text += fmt.Sprintf("  boxes = \"%.0fms\"\n", l.Boxes)
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
		text += s.relays.block(i, q, func(n int) string { name, _, _ := s.world.Config(n); return name })
	}
	if s.Operator != nil {
		text += s.Operator(i)
	}
	return os.WriteFile(s.operator(i), []byte(text), 0o600)
}

// keys puts the file of keys in its place for all gateways.
func (s *Stage) keys(keys []links.Key) error {
	return keyfile.Write(s.dir+"/keys.hcl", &keyfile.File{Keys: keys})
}

func (s *Stage) operator(gateway int) string {
	return fmt.Sprintf("%s/operator-%d.hcl", s.dir, gateway)
}

// drop ends a connection as a process that dies does.
func (s *Stage) drop(id int64) {
	if c := s.conns[id]; c != nil {
		delete(s.conns, id)
		c.reset()
	}
}

// Hang breaks all connections, as a fault of the network does, and keeps the listeners.
func (s *Stage) Hang() {
	s.Do(func(*world.World) {
		for id := range s.conns {
			s.drop(id)
		}
		for _, p := range s.gateways {
			p.channel.set(world.Broken)
		}
	})
}

// MoveChannel has the command channel of a gateway listen at another address and no more at the old one; its numbers go
// on, and what it has connected there is told nothing more.
func (s *Stage) MoveChannel(gateway int) (err error) {
	s.Do(func(*world.World) {
		p := s.gateways[gateway]
		old := p.channel
		if p.channel, err = newChannel(s, gateway); err == nil {
			p.channel.events = old.events
			old.listener.Close()
			old.set(world.Muted)
		}
	})
	return err
}

// Gateways are the addresses at which the gateways take clients.
func (s *Stage) Gateways() (all []string) {
	for _, p := range s.gateways {
		all = append(all, p.address)
	}
	return all
}

// Channel is the address of the command channel as one gateway is told it.
func (s *Stage) Channel(gateway int) string { return s.gateways[gateway].channel.address() }

// Configuration is what one gateway is told, as JSON.
func (s *Stage) Configuration(gateway int) (text []byte, err error) {
	s.Do(func(*world.World) { text, err = s.gateways[gateway].configuration() })
	return text, err
}

// response turns what a client got into the world's words.
func response(gateway int, id string, r clients.Response) world.Answer {
	a := world.Answer{Gateway: gateway, ID: id, Status: r.Status, Still: r.Fields["X-Still"] == "1"}
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

func encode(event map[string]any) []byte {
	text, err := json.Marshal(event)
	if err != nil {
		panic(err) // the world's own words
	}
	return text
}

// reserve finds an address that a process of its own can listen at, again after each of its starts: at a loopback address of its own,
// as nobody dials from there. At 127.0.0.1 a port that is free for a moment may be given to any connection that goes out.
func reserve() (string, error) {
	l, err := listen(fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func listen(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}
