// Package virtual runs a rehearsal in virtual time: real gateway cores with their routers and connection pools in one process,
// without sleeping or sockets. The same script and seed give a byte-identical report. Commands and replies are encoded to their
// real wire format, so that the gateways' own accounting is exercised.
package virtual

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/fair"
	"poppymill/internal/gateway"
	"poppymill/internal/gatewayconfig"
	"poppymill/internal/links"
	linksdriver "poppymill/internal/links/driver"
	"poppymill/internal/purges"
	"poppymill/internal/rehearsal/resp"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// epoch is the Unix time in ms at which every virtual run starts.
const epoch = 1.8e12

// How often a real gateway's loop checks for unresponsive and idle connections, in ms; the delivery delay of channel events; and
// that delay while the channel is silent, which the gateway has to detect first.
const (
	watchInterval     = 100.0
	tidyInterval      = 1000.0
	channelDelay      = 2.0
	mutedChannelDelay = 2000.0
)

// Faults are injected into the gateways to test that the auditor finds them. The zero value injects none.
type Faults struct {
	News     func(channel.Event) bool                   // false: the gateways never receive this event
	Answers  func(world.Answer) []world.Answer          // replaces an answer to a client
	Reply    func(world.Reply) world.Reply              // replaces a box's reply before the gateway reads it
	Links    func(*links.Settings) bool                 // changes how gateways check links; false: they don't check them
	Settings func(settings map[string]any)              // changes the gateways' configuration
	Crash    func(gateway int, now float64) (ends bool) // called at every watch interval
}

// Options of a run.
type Options struct {
	Facts  func(world.Fact)
	Faults Faults
	Log    func(gateway int) logrus.FieldLogger // nil: logs are discarded
	// AgreedUntil returns the time up to which all gateways know what was agreed, for gateways that agree on purges with
	// PurgeLimits; nil: they don't.
	AgreedUntil func(now float64) float64
	PurgeLimits purges.Limits
}

// Stats are the gateways' counters, summed when they end.
type Stats struct {
	Downloads, Drifts, Overdue, Panics int
	Prefilled                          int     // objects prefilled into caches
	Virtual                            float64 // virtual ms elapsed
}

type driver struct {
	Options
	script       *script.Script
	world        *world.World
	queue        world.EventQueue
	now          float64
	gateways     []*gatewayProcess
	wires        map[int64]*wire
	conns        int64
	buffers      *buffer.Pool
	channelState world.ChannelState
	published    []channel.Event
	stats        Stats

	consensus *replicatedLog // nil: the gateways have no consensus group
}

// gatewayProcess is one gateway.
type gatewayProcess struct {
	d            *driver
	number       int
	core         *gateway.Core
	pool         *caches.Pool
	coreTimer    *world.Entry
	watchTimer   *world.Entry
	cursor       int
	callers      map[string]*caller
	tidiedAt     float64
	block        linksdriver.Block
	config       *gatewayconfig.Config
	log          logrus.FieldLogger
	terminatedAt float64 // when it was told to terminate; negative: it was not
	answerWithin float64 // ms from then until it has answered all open requests
}

// caller is the connection of one request.
type caller struct {
	g  *gatewayProcess
	id string
}

// Run plays a script to its end.
func Run(s *script.Script, o Options) (Stats, error) {
	if slices.ContainsFunc(s.Events, func(e script.Event) bool {
		return slices.Contains([]string{"freeze", "part", "copy", "fill_disk", "delay", "reset"}, e.Kind) || e.Disk != ""
	}) || len(s.Jobs) > 0 || s.Quorum.On && s.Quorum.Warm == 0 {
		return Stats{}, errors.New("consensus groups, jobs, gateway freezes, network and disk faults can be rehearsed on sockets only")
	}
	d := &driver{Options: o, script: s, wires: map[int64]*wire{}, buffers: buffer.NewPool(1 << 34)}
	d.world = world.New(s, world.Options{Epoch: epoch, OnFact: o.Facts})
	for i := range s.Gateways {
		d.gateways = append(d.gateways, &gatewayProcess{d: d, number: i})
	}
	if s.Quorum.On {
		d.consensus = newReplicatedLog(d)
	}
	end := s.Length() + 2*s.LongestExpiry() + 10_000
	for !d.world.Done() && d.now < end {
		at, ok := d.queue.Next()
		worldDue, worldOK := d.world.Next()
		switch {
		case worldOK && (!ok || worldDue < at):
			d.now = worldDue
			if err := d.execute(d.world.RunUntil(worldDue)); err != nil {
				return d.stats, err
			}
		case ok:
			d.now = max(d.now, at)
			d.queue.Step()
		default:
			return d.stats, fmt.Errorf("nothing is due at %.1f ms", d.now)
		}
	}
	for _, g := range d.gateways {
		g.close()
	}
	d.stats.Virtual = d.now
	return d.stats, nil
}

func (d *driver) unix() float64 { return epoch + d.now }

// runNext schedules a callback at the present time, after the current one: a core must not be called from within itself.
func (d *driver) runNext(do func()) { d.queue.Add(d.now, do) }

// post passes an event to the world and executes the resulting actions.
func (d *driver) post(e world.Event) {
	d.runNext(func() {
		if err := d.execute(d.world.Handle(d.now, e)); err != nil {
			panic(err) // only Start can fail, and events of gateways never cause one
		}
	})
}

func (d *driver) execute(actions []world.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case world.Accept:
			if w := d.wires[a.Conn]; w != nil {
				w.accept()
			}
		case world.Refuse:
			d.closeConn(a.Conn)
		case world.Reset:
			d.closeConn(a.Conn)
		case world.Reply:
			d.reply(a)
		case world.Publish:
			if err := d.publish(a); err != nil {
				return err
			}
		case world.Channel:
			d.channelState = a.State
		case world.SendRequest:
			d.gateways[a.Gateway].sendRequest(a.Request)
		case world.Abort:
			if g := d.gateways[a.Gateway]; g.core != nil && g.callers[a.ID] != nil {
				g.handle(gateway.RequestAborted{Client: g.callers[a.ID], ID: 1, At: d.unix()})
			}
		case world.Start:
			if err := d.gateways[a.Gateway].start(); err != nil {
				return err
			}
		case world.Kill:
			d.gateways[a.Gateway].close()
			if d.consensus != nil {
				d.consensus.members[a.Gateway].stop(false)
			}
		case world.Keys:
			for _, g := range d.gateways {
				d.updateKeys(g, a)
			}
		case world.Terminate:
			if g := d.gateways[a.Gateway]; g.core != nil {
				g.core.StartShutdown()
				g.terminatedAt = d.now
				if d.consensus != nil {
					d.consensus.members[a.Gateway].stop(true)
				}
			}
		}
	}
	return nil
}

// publish delivers a channel event to all running gateways, each after its own delay.
func (d *driver) publish(a world.Publish) error {
	text, err := json.Marshal(a.Event)
	if err != nil {
		return err
	}
	event, err := channel.Parse(text)
	if err != nil {
		return fmt.Errorf("event %d: %w", a.Cursor, err)
	}
	d.published = append(d.published, event)
	takes := channelDelay
	if d.channelState == world.Silent {
		takes = mutedChannelDelay
	}
	for _, g := range d.gateways {
		if g.core == nil {
			continue
		}
		core := g.core
		d.queue.Add(d.now+takes, func() {
			if g.core == core {
				g.deliver(a.Cursor)
			}
		})
	}
	return nil
}

// deliver passes the channel's events up to a cursor to the gateway, in order and each once.
func (g *gatewayProcess) deliver(cursor int) {
	for ; g.cursor < cursor; g.cursor++ {
		if n := g.d.published[g.cursor]; g.d.Faults.News == nil || g.d.Faults.News(n) {
			g.handle(gateway.ChannelEvent{News: n, At: g.d.unix()})
		}
	}
	g.d.post(world.Delivered{Gateway: g.number, Cursor: cursor})
}

func (g *gatewayProcess) start() error {
	d := g.d
	text, err := d.world.Configuration(g.number, "127.0.0.1:1", "127.0.0.1:2", d.world.ChannelEvents, d.Faults.Settings)
	if err != nil {
		return err
	}
	c, err := gatewayconfig.Parse(text, func(string) string { return "" })
	if err != nil {
		return err
	}
	cursor, _ := d.world.ChannelEvents()
	budget := gateway.NewBudget(c)
	g.pool = caches.NewPool(caches.Limits{PullsPerConn: c.StreamsPerConn, IdleTimeout: c.IdleTimeout, Conns: budget.Caches, RequestLoad: c.Reports,
		HealthChecks: c.Probing, AnswerTimeout: c.ConnectTimeout, GaugeName: gatewayconfig.LoadValueName}, g.dial(c.ConnectTimeout))
	g.log = discardLog
	if d.Log != nil {
		g.log = d.Log(g.number)
	}
	g.core = gateway.NewCore(c, g.pool, g.log, d.unix())
	if f := d.script.Fair; f.On {
		set := fair.Defaults()
		set.MaxWait = f.Longest
		var ahead []string
		for _, t := range d.script.Types {
			if t.Write {
				ahead = append(ahead, t.Name)
			}
		}
		g.core.EnableFairAdmission(fair.New(set, c.Seed, d.unix()), gateway.Fairness{On: true, Club: "header X-Club", Client: "header X-Client", PriorityTypes: ahead, Settings: set})
	}
	if s := d.world.LinkSettings(); s.Base != "" {
		s.Audience = append(s.Audience, c.Name)
		g.block = linksdriver.Block{On: true, From: "query", Name: "URISigningPackage", Settings: s}
		keySet, err := links.NewKeySet(d.world.LinkKeys(), nil)
		if err != nil {
			return err
		}
		if d.Faults.Links == nil || d.Faults.Links(&s) {
			g.core.RequireSignedLinks(links.New(s, keySet, []byte(c.Name), d.unix()), g.block, nil, nil, d.unix)
		}
	}
	if d.AgreedUntil != nil {
		zone, _ := c.RouterSettings["zone"].(string)
		g.core.EnablePurges(zone, d.PurgeLimits, true, func() float64 { return epoch + d.AgreedUntil(d.now) }, d.unix)
	}
	if d.consensus != nil {
		g.config = c
		d.consensus.members[g.number].start()
	}
	answered, _ := gateway.ShutdownDeadlines(c)
	g.cursor, g.callers, g.terminatedAt, g.answerWithin = cursor, map[string]*caller{}, -1, float64(answered)/float64(time.Millisecond)
	g.coreTimer = d.queue.Add(math.Inf(1), func() { g.handle(nil) })
	g.watchTimer = d.queue.Add(d.now+watchInterval, g.watch)
	g.handle(nil)
	d.post(world.Ready{Gateway: g.number})
	return nil
}

var discardLog = func() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}()

// updateKeys makes a gateway load changed link keys after the delay of its file watch.
func (d *driver) updateKeys(g *gatewayProcess, a world.Keys) {
	core := g.core
	d.queue.Add(d.now+d.world.KeyReloadDelay(g.number), func() {
		if keySet, err := links.NewKeySet(a.Keys, nil); err == nil && g.core == core && core != nil {
			g.handle(gateway.KeysReloaded{Ring: keySet, Block: g.block})
		}
	})
}

// handle passes an event to the core; nil only runs what is due.
func (g *gatewayProcess) handle(e any) {
	if g.core == nil {
		return
	}
	if e == nil {
		g.core.Advance(g.d.unix())
	} else {
		g.core.Handle(e)
	}
	if at, ok := g.core.Next(); ok {
		g.d.queue.Move(g.coreTimer, max(g.d.now, at-epoch))
	} else {
		g.d.queue.Move(g.coreTimer, math.Inf(1))
	}
}

func (g *gatewayProcess) watch() {
	d := g.d
	if g.core == nil {
		return
	}
	g.core.RunChecks(d.unix())
	if d.now >= g.tidiedAt+tidyInterval {
		g.tidiedAt = d.now
		g.pool.CloseIdle(d.unix())
		beliefs, drifts := g.core.RouterDrift()
		if drifts {
			d.stats.Drifts++
		}
		if shares := g.core.FairStats(); shares != "" {
			g.log.WithField("at", math.Round(d.now)).WithField("shares", shares).Info("fair door")
		}
		if beliefs != "" {
			g.log.WithField("at", math.Round(d.now)).WithField("nodes", beliefs).Info("beliefs")
		}
	}
	g.handle(nil)
	crashes := d.Faults.Crash != nil && d.Faults.Crash(g.number, d.now)
	if g.terminatedAt >= 0 && (d.now >= g.terminatedAt+g.answerWithin || d.now >= g.terminatedAt+700 && g.core.Open() == 0) || crashes {
		if !crashes {
			g.core.Shutdown(d.unix())
		}
		g.close()
		d.post(world.Exited{Gateway: g.number, Crashed: crashes})
		return
	}
	d.queue.Move(g.watchTimer, d.now+watchInterval)
}

// close ends a gateway's process and all its connections.
func (g *gatewayProcess) close() {
	if g.core == nil {
		return
	}
	d := g.d
	d.stats.Downloads += g.core.Taken
	d.stats.Overdue += g.core.Overdue
	d.stats.Panics += g.core.Panics
	d.queue.Remove(g.coreTimer)
	d.queue.Remove(g.watchTimer)
	g.core = nil
	for _, id := range slices.Sorted(maps.Keys(d.wires)) {
		if w := d.wires[id]; w.g == g {
			w.release()
			d.post(world.ConnClosed{Conn: id})
		}
	}
}

func (g *gatewayProcess) sendRequest(r world.Request) {
	if g.core == nil {
		g.d.post(world.RequestFailed{ID: r.ID, Refused: true})
		return
	}
	c := &caller{g: g, id: r.ID}
	g.callers[r.ID] = c
	var body *buffer.Body
	if r.Body > 0 {
		body = buffer.NewChain(g.d.buffers)
		body.Append(make([]byte, r.Body))
	}
	g.handle(gateway.RequestReceived{Client: c, ID: 1, Params: world.Params(r), Body: body, At: g.d.unix()})
}

// Gone reports that a client's end is always an event of its own in virtual time.
func (c *caller) Gone() bool { return false }

// Answer receives the core's answer to a client.
func (c *caller) Answer(_ uint16, a clients.Answer) {
	d := c.g.d
	delete(c.g.callers, c.id)
	if a.NoResponse {
		return
	}
	got := world.Answer{Gateway: c.g.number, ID: c.id, Status: a.Status, Wait: a.RetryAfter, NotModified: a.NotModified, Copy: Head(a.Body.Parts())}
	if a.Link != nil {
		got.Token, got.Ticket = a.Link.Token, a.Link.Ticket
	}
	a.Body.Release()
	answers := []world.Answer{got}
	if d.Faults.Answers != nil {
		answers = d.Faults.Answers(got)
	}
	for _, x := range answers {
		d.post(x)
	}
}

// Head returns the first line of a body, which identifies the copy.
func Head(parts [][]byte) string {
	if len(parts) == 0 {
		return ""
	}
	for i, b := range parts[0] {
		if b == '\n' {
			return string(parts[0][:i])
		}
	}
	return string(parts[0][:min(80, len(parts[0]))])
}

// wire is a connection between a gateway's connection pool and a box.
type wire struct {
	g            *gatewayProcess
	id           int64
	connected    bool
	closed       bool
	queue        []*caches.Command // sent while connecting
	unsent       []*caches.Command // queued items of a closed connection
	commands     resp.Reader
	answers      *caches.Parser
	lastHeard    float64
	connectTimer *world.Entry // fires unless connected in time
}

func (g *gatewayProcess) dial(within float64) func(string) caches.Wire {
	return func(address string) caches.Wire {
		d := g.d
		d.conns++
		w := &wire{g: g, id: d.conns, answers: caches.NewParser(d.buffers)}
		d.wires[w.id] = w
		d.post(world.Dialled{Conn: w.id, Address: address})
		w.connectTimer = d.queue.Add(d.now+within, func() {
			if !w.connected && !w.closed {
				w.fail()
				d.post(world.ConnClosed{Conn: w.id})
			}
		})
		return w
	}
}

func (w *wire) accept() {
	if w.closed {
		return
	}
	w.connected = true
	w.g.d.queue.Remove(w.connectTimer)
	w.g.handle(caches.Up{Wire: w, At: w.g.d.unix()})
	queue := w.queue
	w.queue = nil
	for _, i := range queue {
		w.write(i)
	}
}

func (w *wire) Send(item *caches.Command) bool {
	if w.closed {
		item.MarkWritten(false)
		return false
	}
	if w.connected {
		w.write(item)
	} else {
		w.queue = append(w.queue, item)
	}
	return true
}

func (w *wire) write(item *caches.Command) {
	item.MarkWriting()
	var bytes []byte
	for _, p := range item.Pieces(nil) {
		bytes = append(bytes, p...)
	}
	item.MarkWritten(true)
	found, err := w.commands.Feed(bytes)
	for _, c := range found {
		w.g.d.post(world.Command{Conn: w.id, Verb: c.Verb, ID: c.ID, Fields: c.Fields, Body: c.Body})
	}
	if err != nil { // a box closes a connection on which it cannot parse a command
		w.g.d.post(world.ConnClosed{Conn: w.id})
		w.g.d.runNext(w.fail)
	}
}

func (w *wire) Remove(item *caches.Command) bool {
	if slices.Contains(w.unsent, item) {
		return true
	}
	index := slices.Index(w.queue, item)
	if index < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, index, index+1)
	item.MarkWritten(false)
	return true
}

func (w *wire) Stuck() bool               { return false }
func (w *wire) LastRead() (float64, bool) { return w.lastHeard, false }

func (w *wire) Close() {
	if !w.closed {
		w.release()
		w.g.d.post(world.ConnClosed{Conn: w.id})
		w.notifyDown(w.connected)
	}
}

// release marks the connection closed and keeps its queued items as unsent.
func (w *wire) release() {
	w.closed = true
	delete(w.g.d.wires, w.id)
	w.g.d.queue.Remove(w.connectTimer)
	for _, i := range w.queue {
		i.MarkWritten(false)
	}
	w.unsent, w.queue = w.queue, nil
	w.answers.Release()
}

func (w *wire) fail() {
	if !w.closed {
		w.release()
		w.notifyDown(w.connected)
	}
}

// notifyDown tells the connection pool that the connection is closed.
func (w *wire) notifyDown(up bool) {
	d, core := w.g.d, w.g.core
	d.runNext(func() {
		if w.g.core == core {
			w.g.handle(caches.Down{Wire: w, WasUp: up, At: d.unix()})
		}
	})
}

func (d *driver) closeConn(conn int64) {
	if w := d.wires[conn]; w != nil {
		w.fail()
	}
}

func (d *driver) reply(r world.Reply) {
	w := d.wires[r.Conn]
	if w == nil {
		return
	}
	if d.Faults.Reply != nil {
		r = d.Faults.Reply(r)
	}
	bytes := resp.Answer(nil, r.Tag, r.Word, r.Fields, r.Body)
	if r.Cut {
		bytes = bytes[:len(bytes)-len(r.Body)/2-2]
	}
	w.lastHeard = d.unix()
	found, err := w.answers.Feed(bytes, nil)
	for _, reply := range found {
		w.g.handle(caches.Replied{Wire: w, Reply: reply, At: d.unix()})
	}
	if err != nil || r.Cut {
		w.fail()
	}
}
