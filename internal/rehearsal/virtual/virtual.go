// Package virtual plays a rehearsal in virtual time: real gateway cores with their routers and pools in one process, no
// sleeping, no sockets. The same script and seed give the same report to the byte. Commands and answers go through their
// real bytes, so that the gateways' own accounting is exercised.
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
	"poppymill/internal/footprint"
	"poppymill/internal/gateway"
	"poppymill/internal/links"
	"poppymill/internal/links/drive"
	"poppymill/internal/purges"
	"poppymill/internal/rehearsal/resp"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// epoch is the Unix time in ms at which every virtual day begins.
const epoch = 1.8e12

// How often the loop of a real gateway looks for mute and idle connections, in ms; how long word of the channel is on
// its way, and how long where the channel is mute and the gateway has to find that out.
const (
	watchInterval     = 100.0
	tidyInterval      = 1000.0
	channelDelay      = 2.0
	mutedChannelDelay = 2000.0
)

// Tamper puts a fault into the gateways, to show that the auditor finds it. The zero value puts in none.
type Faults struct {
	News     func(channel.News) bool                    // false: they never hear of it
	Answers  func(world.Answer) []world.Answer          // what their clients get in place of one answer
	Reply    func(world.Reply) world.Reply              // what they read of a box's answer
	Links    func(*links.Settings) bool                 // how they check links; false: not at all
	Settings func(settings map[string]any)              // what they are told of their deployment
	Crash    func(gateway int, now float64) (ends bool) // asked at every watch
}

// Options of a run.
type Options struct {
	Facts  func(world.Fact)
	Faults Faults
	Log    func(gateway int) logrus.FieldLogger // nil: nowhere
	// Sight is until when, by the driver's time, all gateways know what was agreed, where they agree on purges with these limits; nil: they don't.
	AgreedUntil func(now float64) float64
	PurgeLimits purges.Limits
}

// Stats are what the gateways counted, summed at their end.
type Stats struct {
	Downloads, Drifts, Overdue, Panics int
	Prefilled                          int     // objects that nodes were filled ahead with
	Virtual                            float64 // ms that were played
}

type driver struct {
	Options
	script       *script.Script
	world        *world.World
	agenda       world.Agenda
	now          float64
	gateways     []*gatewayProcess
	wires        map[int64]*wire
	conns        int64
	buffers      *buffer.Pool
	channelState world.ChannelState
	published    []channel.News
	stats        Stats

	log *replicatedLog // nil: none
}

// gate is one gateway.
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
	block        drive.Block
	config       *footprint.Config
	log          logrus.FieldLogger
	terminatedAt float64 // told to end at; under 0: not
	answerWithin float64 // ms after which it answers all that is open
}

// caller is one request's connection.
type caller struct {
	g  *gatewayProcess
	id string
}

// Run plays a script to its end.
func Run(s *script.Script, o Options) (Stats, error) {
	if slices.ContainsFunc(s.Events, func(e script.Event) bool {
		return slices.Contains([]string{"freeze", "part", "copy", "fill_disk", "delay", "reset"}, e.Do) || e.Disk != ""
	}) || len(s.Jobs) > 0 || s.Quorum.On && s.Quorum.Warm == 0 {
		return Stats{}, errors.New("gateways that are frozen, parted, lose disks, or are asked for jobs are rehearsed on sockets alone")
	}
	d := &driver{Options: o, script: s, wires: map[int64]*wire{}, buffers: buffer.NewPool(1 << 34)}
	d.world = world.New(s, world.Options{Epoch: epoch, Facts: o.Facts})
	for i := range s.Gateways {
		d.gateways = append(d.gateways, &gatewayProcess{d: d, number: i})
	}
	if s.Quorum.On {
		d.log = newReplicatedLog(d)
	}
	end := s.Length() + 2*s.Longest() + 10_000
	for !d.world.Over() && d.now < end {
		at, ok := d.agenda.Next()
		due, also := d.world.Next()
		switch {
		case also && (!ok || due < at):
			d.now = due
			if err := d.execute(d.world.Ring(due)); err != nil {
				return d.stats, err
			}
		case ok:
			d.now = max(d.now, at)
			d.agenda.Step()
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

// soon does something at this time, after what is under way: a core must not be called from within itself.
func (d *driver) runNext(do func()) { d.agenda.Add(d.now, do) }

// post hands an event to the world and carries out what comes of it.
func (d *driver) post(e world.Event) {
	d.runNext(func() {
		if err := d.execute(d.world.Handle(d.now, e)); err != nil {
			panic(err) // only a Start can fail, and no event of a peer's brings one
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
			d.channelState = a.How
		case world.Ask:
			d.gateways[a.Gateway].ask(a.Request)
		case world.Abort:
			if g := d.gateways[a.Gateway]; g.core != nil && g.callers[a.ID] != nil {
				g.handle(gateway.Aborted{Client: g.callers[a.ID], ID: 1, At: d.unix()})
			}
		case world.Start:
			if err := d.gateways[a.Gateway].start(); err != nil {
				return err
			}
		case world.Kill:
			d.gateways[a.Gateway].close()
			if d.log != nil {
				d.log.members[a.Gateway].stop(false)
			}
		case world.Keys:
			for _, g := range d.gateways {
				d.updateKeys(g, a)
			}
		case world.Term:
			if g := d.gateways[a.Gateway]; g.core != nil {
				g.core.Leave()
				g.terminatedAt = d.now
				if d.log != nil {
					d.log.members[a.Gateway].stop(true)
				}
			}
		}
	}
	return nil
}

// publish brings word to all gateways that run, each by its own way.
func (d *driver) publish(a world.Publish) error {
	text, err := json.Marshal(a.Event)
	if err != nil {
		return err
	}
	news, err := channel.Parse(text)
	if err != nil {
		return fmt.Errorf("event %d: %w", a.Cursor, err)
	}
	d.published = append(d.published, news)
	takes := channelDelay
	if d.channelState == world.Muted {
		takes = mutedChannelDelay
	}
	for _, g := range d.gateways {
		if g.core == nil {
			continue
		}
		core := g.core
		d.agenda.Add(d.now+takes, func() {
			if g.core == core {
				g.deliver(a.Cursor)
			}
		})
	}
	return nil
}

// hear tells a gateway all up to a number, in its order and once.
func (g *gatewayProcess) deliver(cursor int) {
	for ; g.cursor < cursor; g.cursor++ {
		if n := g.d.published[g.cursor]; g.d.Faults.News == nil || g.d.Faults.News(n) {
			g.handle(gateway.Told{News: n, At: g.d.unix()})
		}
	}
	g.d.post(world.Heard{Gateway: g.number, Cursor: cursor})
}

func (g *gatewayProcess) start() error {
	d := g.d
	text, err := d.world.Configuration(g.number, "127.0.0.1:1", "127.0.0.1:2", d.world.Known, d.Faults.Settings)
	if err != nil {
		return err
	}
	c, err := footprint.Parse(text, func(string) string { return "" })
	if err != nil {
		return err
	}
	cursor, _ := d.world.Known()
	budget := gateway.Share(c)
	g.pool = caches.NewPool(caches.Limits{Streams: c.Streams, Idle: c.Idle, Conns: budget.Caches, Reports: c.Reports,
		Checks: c.Probing, Answer: c.Connect, Names: footprint.Report}, g.dial(c.Connect))
	g.log = discardLog
	if d.Log != nil {
		g.log = d.Log(g.number)
	}
	g.core = gateway.NewCore(c, g.pool, g.log, d.unix())
	if f := d.script.Fair; f.On {
		set := fair.Defaults()
		set.Longest = f.Longest
		var ahead []string
		for _, t := range d.script.Types {
			if t.Write {
				ahead = append(ahead, t.Name)
			}
		}
		g.core.Share(fair.New(set, c.Seed, d.unix()), gateway.Fairness{On: true, Club: "header X-Club", Client: "header X-Client", Ahead: ahead, Settings: set})
	}
	if s := d.world.LinkSettings(); s.Base != "" {
		s.Audience = append(s.Audience, c.Name)
		g.block = drive.Block{On: true, From: "query", Name: "URISigningPackage", Settings: s}
		ring, err := links.NewRing(d.world.LinkKeys(), nil)
		if err != nil {
			return err
		}
		if d.Faults.Links == nil || d.Faults.Links(&s) {
			g.core.Guard(links.New(s, ring, []byte(c.Name), d.unix()), g.block, nil, nil, d.unix)
		}
	}
	if d.AgreedUntil != nil {
		zone, _ := c.Footprint["zone"].(string)
		g.core.Purges(zone, d.PurgeLimits, true, func() float64 { return epoch + d.AgreedUntil(d.now) }, d.unix)
	}
	if d.log != nil {
		g.config = c
		d.log.members[g.number].start()
	}
	answered, _ := gateway.AnswerBy(c)
	g.cursor, g.callers, g.terminatedAt, g.answerWithin = cursor, map[string]*caller{}, -1, float64(answered)/float64(time.Millisecond)
	g.coreTimer = d.agenda.Add(math.Inf(1), func() { g.handle(nil) })
	g.watchTimer = d.agenda.Add(d.now+watchInterval, g.watch)
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

// rekey has a gateway take up other keys some time later, as its watch on the file does.
func (d *driver) updateKeys(g *gatewayProcess, a world.Keys) {
	core := g.core
	d.agenda.Add(d.now+d.world.LinkTakes(g.number), func() {
		if ring, err := links.NewRing(a.Keys, nil); err == nil && g.core == core && core != nil {
			g.handle(gateway.Rekeyed{Ring: ring, Block: g.block})
		}
	})
}

// handle hands an event to the core, or lets it do what is due.
func (g *gatewayProcess) handle(e any) {
	if g.core == nil {
		return
	}
	if e == nil {
		g.core.Ring(g.d.unix())
	} else {
		g.core.Handle(e)
	}
	if at, ok := g.core.Next(); ok {
		g.d.agenda.Move(g.coreTimer, max(g.d.now, at-epoch))
	} else {
		g.d.agenda.Move(g.coreTimer, math.Inf(1))
	}
}

func (g *gatewayProcess) watch() {
	d := g.d
	if g.core == nil {
		return
	}
	g.core.Watch(d.unix())
	if d.now >= g.tidiedAt+tidyInterval {
		g.tidiedAt = d.now
		g.pool.Tidy(d.unix())
		beliefs, drifts := g.core.Drift()
		if drifts {
			d.stats.Drifts++
		}
		if shares := g.core.Shares(); shares != "" {
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
			g.core.End(d.unix())
		}
		g.close()
		d.post(world.Exited{Gateway: g.number, Crashed: crashes})
		return
	}
	d.agenda.Move(g.watchTimer, d.now+watchInterval)
}

// close ends a gateway's process: all its connections end with it.
func (g *gatewayProcess) close() {
	if g.core == nil {
		return
	}
	d := g.d
	d.stats.Downloads += g.core.Taken
	d.stats.Overdue += g.core.Overdue
	d.stats.Panics += g.core.Panics
	d.agenda.Remove(g.coreTimer)
	d.agenda.Remove(g.watchTimer)
	g.core = nil
	for _, id := range slices.Sorted(maps.Keys(d.wires)) {
		if w := d.wires[id]; w.g == g {
			w.release()
			d.post(world.Hung{Conn: id})
		}
	}
}

func (g *gatewayProcess) ask(r world.Request) {
	if g.core == nil {
		g.d.post(world.Unanswered{ID: r.ID, Refused: true})
		return
	}
	c := &caller{g: g, id: r.ID}
	g.callers[r.ID] = c
	var body *buffer.Chain
	if r.Body > 0 {
		body = buffer.NewChain(g.d.buffers)
		body.Append(make([]byte, r.Body))
	}
	g.handle(gateway.Asked{Client: c, ID: 1, Params: world.Params(r), Body: body, At: g.d.unix()})
}

// Answer takes what the core tells a client.
func (c *caller) Answer(_ uint16, a clients.Answer) {
	d := c.g.d
	delete(c.g.callers, c.id)
	if a.None {
		return
	}
	got := world.Answer{Gateway: c.g.number, ID: c.id, Status: a.Status, Wait: a.Wait, Still: a.Still, Copy: Head(a.Body.Parts())}
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

// Head is the first line of a body, which says what copy it is.
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

// wire is a connection between a gateway's pool and a box.
type wire struct {
	g            *gatewayProcess
	id           int64
	connected    bool
	closed       bool
	queue        []*caches.Item // not up yet
	unsent       []*caches.Item // never will be
	commands     resp.Reader
	answers      *caches.Parser
	lastHeard    float64
	connectTimer *world.Entry // by when it must be up
}

func (g *gatewayProcess) dial(within float64) func(string) caches.Wire {
	return func(address string) caches.Wire {
		d := g.d
		d.conns++
		w := &wire{g: g, id: d.conns, answers: caches.NewParser(d.buffers)}
		d.wires[w.id] = w
		d.post(world.Dialled{Conn: w.id, Address: address})
		w.connectTimer = d.agenda.Add(d.now+within, func() {
			if !w.connected && !w.closed {
				w.fail()
				d.post(world.Hung{Conn: w.id})
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
	w.g.d.agenda.Remove(w.connectTimer)
	w.g.handle(caches.Up{Wire: w, At: w.g.d.unix()})
	queue := w.queue
	w.queue = nil
	for _, i := range queue {
		w.write(i)
	}
}

func (w *wire) Send(item *caches.Item) bool {
	if w.closed {
		item.Wrote(false)
		return false
	}
	if w.connected {
		w.write(item)
	} else {
		w.queue = append(w.queue, item)
	}
	return true
}

func (w *wire) write(item *caches.Item) {
	item.Take()
	var bytes []byte
	for _, p := range item.Pieces(nil) {
		bytes = append(bytes, p...)
	}
	item.Wrote(true)
	found, err := w.commands.Feed(bytes)
	for _, c := range found {
		w.g.d.post(world.Command{Conn: w.id, Verb: c.Verb, ID: c.ID, Fields: c.Fields, Body: c.Body})
	}
	if err != nil { // a box that can't read a command closes its connection
		w.g.d.post(world.Hung{Conn: w.id})
		w.g.d.runNext(w.fail)
	}
}

func (w *wire) Remove(item *caches.Item) bool {
	if slices.Contains(w.unsent, item) {
		return true
	}
	index := slices.Index(w.queue, item)
	if index < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, index, index+1)
	item.Wrote(false)
	return true
}

func (w *wire) Stuck() bool            { return false }
func (w *wire) Heard() (float64, bool) { return w.lastHeard, false }

func (w *wire) Close() {
	if !w.closed {
		w.release()
		w.g.d.post(world.Hung{Conn: w.id})
		w.notifyDown(w.connected)
	}
}

// over lets go of what was never written.
func (w *wire) release() {
	w.closed = true
	delete(w.g.d.wires, w.id)
	w.g.d.agenda.Remove(w.connectTimer)
	for _, i := range w.queue {
		i.Wrote(false)
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

// down tells the pool that the connection is no more.
func (w *wire) notifyDown(up bool) {
	d, core := w.g.d, w.g.core
	d.runNext(func() {
		if w.g.core == core {
			w.g.handle(caches.Down{Wire: w, Up: up, At: d.unix()})
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
		w.g.handle(caches.Answered{Wire: w, Reply: reply, At: d.unix()})
	}
	if err != nil || r.Cut {
		w.fail()
	}
}
