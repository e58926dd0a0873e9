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
	"poppymill/internal/gatewayconfig"
)

// Times of a shutdown, as the protocol sets them: clients still connect during acceptPeriod, and the last of them may
// wait for maxClientWait. The process is not killed before both have passed; flushPeriod of that is for writing.
const (
	acceptPeriod  = 700 * time.Millisecond
	maxClientWait = 3000.0 // ms
	flushPeriod   = 150 * time.Millisecond
)

// ShutdownDeadlines returns by when all accepted downloads are answered and by when the answers are written, both
// counted from the start of the shutdown. The flush takes at most a quarter of the longest wait: with short expiries
// most of that time must remain for the answers, as clients still connect during acceptPeriod.
func ShutdownDeadlines(c *gatewayconfig.Config) (answered, flushed time.Duration) {
	longest := 0.0
	for _, t := range c.Types {
		longest = max(longest, t.MaxExpiry)
	}
	wait := time.Duration(min(longest, maxClientWait) * float64(time.Millisecond))
	flush := min(flushPeriod, wait/4)
	flushed = acceptPeriod + wait - flush/3
	return flushed - flush, flushed
}

const (
	inboxCapacity    = 1024     // events
	watchInterval    = 100.0    // ms between checks for connections that no longer respond
	tidyInterval     = 1000.0   // ms between checks for idle connections
	countersInterval = 10_000.0 // ms between log lines with the counters, unless the operator sets another interval
)

// clock is the only clock of a gateway: monotonic, anchored at the Unix time of its start.
type clock struct {
	start time.Time
	unix  float64
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, unix: float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.unix + float64(time.Since(c.start))/float64(time.Millisecond) }

// poster lets the goroutines of the network side post events to the core, which reads its inbox until the last of them
// has ended.
type poster struct {
	inbox    chan any
	warnings *warnLimiter
	now      func() float64
}

func (p *poster) post(e any) { p.inbox <- e }

func (p *poster) HandleRequest(c *clients.Conn, id uint16, params map[string]string, body *buffer.Body, at float64) {
	p.post(RequestReceived{Client: c, ID: id, Params: params, Body: body, At: at})
}
func (p *poster) HandleAbort(c *clients.Conn, id uint16, at float64) {
	p.post(RequestAborted{Client: c, ID: id, At: at})
}
func (p *poster) HandleClose(c *clients.Conn, at float64) { p.post(ClientClosed{Client: c, At: at}) }
func (p *poster) HandleError(err error) {
	p.warnings.Warn(p.now(), "client connection closed", err)
}

// Serve runs a gateway until the context ends, and then until all accepted downloads are answered.
func Serve(ctx context.Context, s Setup, reloads Reloads, log logrus.FieldLogger) error {
	c := s.Config
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	clock := newClock()
	budget, err := BudgetFor(c, s.Operator)
	if err != nil {
		listener.Close()
		return err
	}
	debug.SetMemoryLimit(int64(budget.Heap))
	buffers, reads := buffer.NewPool(budget.Bodies), buffer.NewPool(budget.Reads)
	p := &poster{inbox: make(chan any, inboxCapacity), warnings: &warnLimiter{log: log}, now: clock.now}
	dialer := &caches.Dialer{Bodies: buffers, Reads: reads, Now: clock.now,
		ConnectTimeout: time.Duration(c.ConnectTimeout * float64(time.Millisecond)), Emit: func(e caches.Event) { p.post(e) }}
	pool := caches.NewPool(caches.Limits{PullsPerConn: c.StreamsPerConn, IdleTimeout: c.IdleTimeout, Conns: budget.Caches,
		RequestLoad: c.Reports, HealthChecks: c.Probing, AnswerTimeout: c.ConnectTimeout, GaugeName: gatewayconfig.LoadValueName}, dialer.Dial)
	core := NewCore(c, pool, log, clock.now())
	core.setBudget(budget)
	if f := s.Operator.Fair; f.On {
		f.Settings.MaxWait = min(f.Settings.MaxWait, c.MaxRetryAfter)
		core.EnableFairAdmission(fair.New(f.Settings, c.Seed, clock.now()), f)
	}
	driver, err := newLinkDriver(s.Operator.Links, core, p, clock)
	if err != nil {
		listener.Close()
		return err
	}
	member, err := newQuorumMember(s.Operator, c, core, p, log)
	if err != nil {
		listener.Close()
		return err
	}
	server := &clients.Server{Requests: buffers.Share(budget.Requests), ReadBuffers: reads, Handler: p, Now: clock.now, MaxConns: budget.Clients,
		MaxRequests: budget.Open + inboxCapacity, // the core turns away what is beyond budget.Open, and tells when to retry
		ExtraParams: append(s.Operator.Links.Params(), s.Operator.Fair.Params()...)}
	channelWarnings := &warnLimiter{log: log}
	follower := &channel.Follower{Address: c.Channel, Cursor: c.Cursor,
		OnEvent: func(n channel.Event) { p.post(ChannelEvent{News: n, At: clock.now()}) },
		OnError: func(err error) { channelWarnings.Warn(clock.now(), "command channel error", err) }}

	var g errgroup.Group
	serviceCtx, stopServices := context.WithCancel(context.Background())
	defer stopServices()
	g.Go(func() error { follower.Run(serviceCtx); return nil })
	reload := &reloader{Reloads: reloads, running: c, start: s.Operator, channel: c.Channel, follower: follower, log: log, linkDriver: driver}
	reload.operator.Store(s.Operator)
	g.Go(func() error { reload.run(serviceCtx); return nil })
	g.Go(func() error { return server.Serve(serviceCtx, listener) })
	driver.run(serviceCtx, &g, reload)
	member.run(&g)
	l := &loop{core: core, pool: pool, poster: p, clock: clock, log: log, buffers: buffers, reads: reads, server: server,
		listener: listener, reload: reload, member: member, lastCount: clock.now()}
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen, "nodes": len(core.addresses)}).Info("ready")
	flushed := l.run(ctx)
	listener.Close()
	core.Shutdown(clock.now())
	member.leave()
	stopServices()
	pool.Close()
	server.DrainAndDiscard()
	ended := make(chan error, 1)
	go func() {
		err := g.Wait()
		dialer.Wires.Wait()
		ended <- err
	}()
	flushDeadline := time.After(time.Until(flushed)) // for slow readers, however early everything was answered
	for finished := false; !finished || len(p.inbox) > 0; {
		select {
		case e := <-p.inbox:
			core.Handle(e)
		case <-flushDeadline:
			server.CloseAll()
		case err = <-ended:
			finished = true
		}
	}
	assert.That(buffers.InUse() == 0 && reads.InUse() == 0, "all buffers are returned")
	l.logCounters()
	return err
}

// loop is the event loop of a gateway. Its goroutine owns the core and the connection pool.
type loop struct {
	core      *Core
	pool      *caches.Pool
	poster    *poster
	clock     clock
	log       logrus.FieldLogger
	buffers   *buffer.Pool
	reads     *buffer.Pool
	server    *clients.Server
	listener  net.Listener
	reload    *reloader
	member    *quorumMember
	lastWatch float64
	lastTidy  float64
	lastCount float64
}

// run handles events and fires timers until a shutdown has been requested and all downloads are answered, or the time
// for answers is over. It returns by when the answers must be written.
func (l *loop) run(ctx context.Context) (flushed time.Time) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stop := ctx.Done()
	var stopAccepting, answerDeadline <-chan time.Time
	timerSetTo := 0.0
	for {
		select {
		case e := <-l.poster.inbox:
			l.core.Handle(e)
			continue
		default:
		}
		now := l.clock.now()
		l.core.Advance(now)
		if now >= l.lastWatch+watchInterval {
			l.lastWatch = now
			l.core.RunChecks(now)
		}
		if now >= l.lastTidy+tidyInterval {
			l.lastTidy = now
			l.pool.CloseIdle(now)
			l.core.SetWallClock(now, float64(time.Now().UnixMicro())/1000)
			if every := l.reload.operator.Load().Log.CountersEvery; now >= l.lastCount+cmp.Or(every, countersInterval) {
				l.lastCount = now
				l.buffers.Trim()
				l.reads.Trim()
				l.logCounters()
			}
		}
		if l.core.shuttingDown && stopAccepting == nil && l.core.Open() == 0 {
			return flushed
		}
		due := l.lastWatch + watchInterval
		if at, ok := l.core.Next(); ok {
			due = min(due, at)
		}
		if due != timerSetTo {
			timer.Reset(time.Duration((due - now) * float64(time.Millisecond)))
			timerSetTo = due
		}
		select {
		case e := <-l.poster.inbox:
			// Lets the other goroutines post what they have read, so that a single write sends all that goes to one
			// peer. On a single CPU they would otherwise run one by one, with two system calls for each event, which
			// are most of its cost.
			runtime.Gosched()
			l.core.Handle(e)
		case <-timer.C:
			timerSetTo = 0
		case <-stop:
			l.log.Info("ending")
			stop = nil
			l.core.StartShutdown()
			l.member.leave()
			answer, flush := ShutdownDeadlines(l.core.config)
			flushed = time.Now().Add(flush)
			stopAccepting, answerDeadline = time.After(acceptPeriod), time.After(answer)
		case <-stopAccepting:
			stopAccepting = nil
			l.listener.Close()
			l.server.Drain()
		case <-answerDeadline:
			return flushed
		}
	}
}

// logCounters writes the counters to the log, and checks that the router's view of the pulls matches the sockets.
func (l *loop) logCounters() {
	c, p := l.core.Counters, l.pool
	text, drifts := l.core.RouterDrift()
	assert.That(!drifts, "the router counts exactly the pulls that are open")
	if text != "" {
		l.log.WithField("nodes", text).Info("beliefs")
	}
	if stats := l.core.LinkStats(); stats != "" {
		l.log.WithField("by reason", stats).Info("links")
	}
	if shares := l.core.FairStats(); shares != "" {
		l.log.WithField("shares", shares).Info("fair door")
	}
	blind, unpublished := l.core.purges.checkCounts()
	l.log.WithFields(logrus.Fields{
		"blind": blind, "unpublished": unpublished, "taken": c.Taken, "forbidden": c.Forbidden, "fulfilled": c.Fulfilled,
		"kept": c.Kept, "throttled": c.Throttled,
		"abandoned": c.Abandoned, "left": c.Left, "departed": c.Departed, "refused": c.Refused, "turned": c.Turned, "overdue": c.Overdue,
		"panics": c.Panics, "pulls": c.Pulls, "probes": c.Probes, "open": l.core.Open(),
		"conns": p.Conns(), "dialled": p.Dialed, "malformed": p.Malformed, "short": p.Exhausted, "late": p.LateReplies, "mute": p.Stalled,
		"old":     p.TooOld,
		"buffers": l.buffers.InUse(), "broken": assert.Broken(),
		"shed": l.server.ClosedEarly.Load(), "slow": l.server.RefusedSlow.Load(), "full": l.server.RefusedFull.Load(),
		"reloads": l.reload.applied.Load(), "misread": l.reload.failed.Load(), "passed": l.reload.follower.Skipped.Load(), "calls": l.reload.follower.Calls.Load(),
	}).Info("counters")
}
