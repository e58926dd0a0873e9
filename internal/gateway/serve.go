package gateway

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/fair"
	"poppymill/internal/footprint"
)

// What the protocol gives a gateway that is told to end: for how long clients still come, and how long the last of
// them may wait; it is killed no sooner than both together, and needs some of that to write.
const (
	comeFor     = 700 * time.Millisecond
	longestWait = 3000.0 // ms
	flushBy     = 150 * time.Millisecond
)

// AnswerBy is when all that was taken is answered, and flushed when that is written, as counted from the word to end. Where all
// wait for less than the flush takes, most of their time is still theirs: the clients come on until then.
func AnswerBy(c *footprint.Config) (answered, flushed time.Duration) {
	longest := 0.0
	for _, t := range c.Types {
		longest = max(longest, t.Expiry)
	}
	wait := time.Duration(min(longest, longestWait) * float64(time.Millisecond))
	flush := min(flushBy, wait/4)
	flushed = comeFor + wait - flush/3
	return flushed - flush, flushed
}

const (
	inboxMost  = 1024
	watchEvery = 100.0  // ms between looks for mute connections
	tidyEvery  = 1000.0 // and for idle ones
	countEvery = 10_000.0
)

// clock is the one clock of a gateway: monotonic, anchored at the Unix time of its start.
type clock struct {
	start time.Time
	unix  float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unix: float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.unix + float64(time.Since(c.start))/float64(time.Millisecond) }

// poster is how the peers reach the core, which reads until the last of them has ended.
type poster struct {
	inbox  chan any
	scarce *warnLimiter
	now    func() float64
}

func (p *poster) post(e any) { p.inbox <- e }

func (p *poster) Asked(c *clients.Conn, id uint16, params map[string]string, body *buffer.Chain, at float64) {
	p.post(Asked{Client: c, ID: id, Params: params, Body: body, At: at})
}
func (p *poster) Aborted(c *clients.Conn, id uint16, at float64) {
	p.post(Aborted{Client: c, ID: id, At: at})
}
func (p *poster) Closed(c *clients.Conn, at float64) { p.post(ClientClosed{Client: c, At: at}) }
func (p *poster) Malformed(err error) {
	p.scarce.Warn(p.now(), "a client's connection is closed", err)
}

// Serve runs a gateway until the context ends, and then until all that it has taken is answered.
func Serve(ctx context.Context, s Setup, reloads Reloads, log logrus.FieldLogger) error {
	c := s.Config
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	clock := newClock()
	budget := Share(c)
	if s.Operator.Quorum.On {
		budget = shareWithQuorum(c)
	}
	debug.SetMemoryLimit(int64(budget.Heap))
	buffers, reads := buffer.NewPool(budget.Bodies), buffer.NewPool(budget.Reads)
	p := &poster{inbox: make(chan any, inboxMost), scarce: &warnLimiter{log: log}, now: clock.now}
	dialer := &caches.Dialer{Pool: buffers, Reads: reads, Now: clock.now, Connect: time.Duration(c.Connect * float64(time.Millisecond)),
		Post: func(e caches.Event) { p.post(e) }}
	pool := caches.NewPool(caches.Limits{Streams: c.Streams, Idle: c.Idle, Conns: budget.Caches,
		Reports: c.Reports, Checks: c.Probing, Answer: c.Connect, Names: footprint.Report}, dialer.Dial)
	core := NewCore(c, pool, log, clock.now())
	if f := s.Operator.Fair; f.On {
		f.Settings.Longest = min(f.Settings.Longest, c.Advice)
		core.Share(fair.New(f.Settings, c.Seed, clock.now()), f)
	}
	guard, err := newLinkDriver(s.Operator.Links, core, p, clock)
	if err != nil {
		listener.Close()
		return err
	}
	fleet, err := newCouncil(s.Operator, c, core, p, log)
	if err != nil {
		listener.Close()
		return err
	}
	server := &clients.Server{Pool: buffers, Reads: reads, Handler: p, Now: clock.now, Most: budget.Clients, Keep: append(s.Operator.Links.Params(), s.Operator.Fair.Params()...)}
	troubles := &warnLimiter{log: log}
	follower := &channel.Follower{Address: c.Channel, Cursor: c.Cursor,
		Tell:    func(n channel.News) { p.post(Told{News: n, At: clock.now()}) },
		Trouble: func(err error) { troubles.Warn(clock.now(), "command channel", err) }}

	var g errgroup.Group
	following, unfollow := context.WithCancel(context.Background())
	defer unfollow()
	g.Go(func() error { follower.Run(following); return nil })
	reload := &reloader{Reloads: reloads, running: c, follower: follower, log: log, guard: guard, quorum: s.Operator.Quorum, jobs: s.Operator.Jobs, machines: s.Operator.Machines, purges: s.Operator.Purges}
	reload.operator.Store(s.Operator)
	g.Go(func() error { reload.run(following); return nil })
	g.Go(func() error { return server.Serve(following, listener) })
	guard.run(following, &g, reload)
	fleet.run(&g)
	l := &loop{core: core, pool: pool, poster: p, clock: clock, log: log, buffers: buffers, reads: reads, server: server,
		listener: listener, reload: reload, fleet: fleet, counted: clock.now()}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen, "nodes": len(core.addresses)}).Info("ready")
	flushed := l.run(ctx)
	listener.Close()
	core.End(clock.now())
	fleet.leave()
	unfollow()
	pool.Close()
	server.Shut()
	ended := make(chan error, 1)
	go func() {
		err := g.Wait()
		dialer.Live.Wait()
		ended <- err
	}()
	cut := time.After(time.Until(flushed)) // a client that reads slowly has until then, however soon the rest was answered
	for over := false; !over || len(p.inbox) > 0; {
		select {
		case e := <-p.inbox:
			core.Handle(e)
		case <-cut:
			server.Cut()
		case err = <-ended:
			over = true
		}
	}
	assert.That(buffers.Out() == 0 && reads.Out() == 0, "every buffer comes back")
	l.count()
	return err
}

type loop struct {
	core     *Core
	pool     *caches.Pool
	poster   *poster
	clock    clock
	log      logrus.FieldLogger
	buffers  *buffer.Pool
	reads    *buffer.Pool
	server   *clients.Server
	listener net.Listener
	reload   *reloader
	fleet    *council
	watched  float64
	tidied   float64
	counted  float64
}

// run empties the inbox and rings what is due, until the gateway is to end and owes nothing. It tells until when what was answered
// may still be on its way out.
func (l *loop) run(ctx context.Context) (flushed time.Time) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stop := ctx.Done()
	var shut, end <-chan time.Time
	set := 0.0 // what the timer is set to
	for {
		select {
		case e := <-l.poster.inbox:
			l.core.Handle(e)
			continue
		default:
		}
		now := l.clock.now()
		l.core.Ring(now)
		if now >= l.watched+watchEvery {
			l.watched = now
			l.core.Watch(now)
		}
		if now >= l.tidied+tidyEvery {
			l.tidied = now
			l.pool.Tidy(now)
			l.core.Wall(now, float64(time.Now().UnixMicro())/1000)
			if every := l.reload.operator.Load().Log.Every; now >= l.counted+cmp.Or(every, countEvery) {
				l.counted = now
				l.buffers.Trim()
				l.reads.Trim()
				l.count()
			}
		}
		if l.core.shuttingDown && shut == nil && l.core.Open() == 0 {
			return flushed
		}
		due := l.watched + watchEvery
		if at, ok := l.core.Next(); ok {
			due = min(due, at)
		}
		if due != set {
			timer.Reset(time.Duration((due - now) * float64(time.Millisecond)))
			set = due
		}
		select {
		case e := <-l.poster.inbox:
			// Whoever else has read something posts it first, so that one write takes what goes to one peer. On one
			// core the peers would else run one by one, with two system calls for each event, most of its cost.
			runtime.Gosched()
			l.core.Handle(e)
		case <-timer.C:
			set = 0
		case <-stop:
			l.log.Info("ending")
			stop = nil
			l.core.Leave()
			l.fleet.leave()
			answer, flush := AnswerBy(l.core.config)
			flushed = time.Now().Add(flush)
			shut, end = time.After(comeFor), time.After(answer)
		case <-shut:
			shut = nil
			l.listener.Close()
			l.server.End()
		case <-end:
			return flushed
		}
	}
}

func (l *loop) count() {
	c, p := l.core.Counters, l.pool
	text, drifts := l.core.Drift()
	assert.That(!drifts, "the router's pulls out are those that are open")
	if text != "" {
		l.log.WithField("nodes", text).Info("beliefs")
	}
	if refusals := l.core.Refusals(); refusals != "" {
		l.log.WithField("by reason", refusals).Info("links")
	}
	if shares := l.core.Shares(); shares != "" {
		l.log.WithField("shares", shares).Info("fair door")
	}
	l.log.WithFields(logrus.Fields{
		"blind": l.core.purges.blindCount(), "taken": c.Taken, "forbidden": c.Forbidden, "fulfilled": c.Fulfilled, "kept": c.Kept, "throttled": c.Throttled,
		"abandoned": c.Abandoned, "left": c.Left, "refused": c.Refused, "turned": c.Turned, "overdue": c.Overdue,
		"panics": c.Panics, "pulls": c.Pulls, "probes": c.Probes, "open": l.core.Open(),
		"conns": p.Conns(), "dialled": p.Dialled, "malformed": p.Malformed, "short": p.Short, "late": p.Late, "mute": p.Mute, "old": p.Old,
		"buffers": l.buffers.Out(), "broken": assert.Broken(),
		"shed":    l.server.Shed.Load(),
		"reloads": l.reload.done.Load(), "misread": l.reload.misread.Load(), "passed": l.reload.follower.Passed.Load(),
	}).Info("counters")
}
