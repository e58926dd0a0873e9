package clients

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"poppymill/internal/buffer"
)

// Handler handles the events of client connections. It must not block for long: it runs on the goroutine that reads the
// connection.
type Handler interface {
	// HandleRequest is called with each complete request. The handler takes over the body, and answers by Conn.Answer.
	HandleRequest(c *Conn, id uint16, params map[string]string, body *buffer.Body, at float64)
	// HandleAbort is called when the client aborts a complete request.
	HandleAbort(c *Conn, id uint16, at float64)
	// HandleClose is called once for each connection, after it has closed.
	HandleClose(c *Conn, at float64)
	// HandleError is called when a connection is refused, or closed because of a protocol error.
	HandleError(err error)
}

// Server accepts and serves FastCGI connections.
type Server struct {
	Requests    *buffer.Pool // for requests received in part, and for the bodies of open ones
	ReadBuffers *buffer.Pool // read buffers, one per connection
	Handler     Handler
	Now         func() float64
	ExtraParams []string     // params to pass on beside those that the gateway always needs
	MaxConns    int          // maximum number of open connections
	MaxRequests int          // maximum number of complete requests that wait for their answers; 0: as many as the connections carry
	ClosedEarly atomic.Int64 // connections closed as too slow or idle, or to make room
	RefusedSlow atomic.Int64 // requests refused because they were received too slowly, beside others on their connection
	RefusedFull atomic.Int64 // requests received in part that were refused to free memory for others
	open        atomic.Int64
	unanswered  requestCount
	freeAgainAt atomic.Int64 // ms, before which freeRequestMemory does not look through all connections again
	mu          sync.Mutex
	conns       map[*Conn]bool
	draining    bool // new connections close after their first response
	discarding  bool // input of new connections is discarded
}

// Time limits of a connection in ms. requestTimeout is below the 3 s within which a client without a usable request must get
// a refusal or the end of its connection. idleTimeout is above the 4 s after which the web server closes an idle connection itself.
const (
	requestTimeout     = 2000.0  // for receiving a whole request, until the connection has sent a usable one
	slowRequestTimeout = 10000.0 // the same, once it has: its client may pass on an upload slowly
	idleTimeout        = 5000.0  // without a request
	firstRequestGrace  = 250.0   // a new connection's first request may still be in transit
	sweepInterval      = 250 * time.Millisecond
)

// Serve accepts connections until the listener is closed, and returns once all of them have closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // Drain or DrainAndDiscard may have been called before
	s.conns = map[*Conn]bool{}
	s.unanswered.maximum = int64(cmp.Or(s.MaxRequests, s.MaxConns*maxOpenRequests))
	s.mu.Unlock()
	var g errgroup.Group
	stopSweep, sweepDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sweepDone)
		for tick := time.NewTicker(sweepInterval); ; {
			select {
			case <-stopSweep:
				tick.Stop()
				return
			case <-tick.C:
				s.sweep(s.Now())
			}
		}
	}()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil { // a shortage of file descriptors passes as connections close
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		if !s.makeRoom() {
			nc.Close()
			s.Handler.HandleError(errors.New("connection refused: the limit of open connections is reached"))
			continue
		}
		s.open.Add(1)
		now := s.Now()
		c := newConn(s, nc, now)
		s.mu.Lock()
		s.conns[c] = true
		c.draining = s.draining
		if s.discarding {
			c.endInput()
		}
		s.mu.Unlock()
		g.Go(func() error { c.write(); return nil })
		g.Go(func() error { c.read(); return nil })
	}
	err := g.Wait()
	close(stopSweep)
	<-sweepDone
	return err
}

// makeRoom reports whether another connection can be accepted. At the limit it closes the least useful connection without
// a complete request, because a new client most likely sends one soon. Connections that had time and sent no usable request
// go first, then the one idle for longest, and last those that have just been accepted: their first request is probably in
// transit and would be lost. In a burst of connections, requests may have arrived and not been read yet, so makeRoom yields
// to the reading goroutines first.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	full := len(s.conns) >= s.MaxConns
	s.mu.Unlock()
	if !full {
		return true
	}
	runtime.Gosched()
	s.mu.Lock()
	var least *Conn
	now, leastRank, leastActive := s.Now(), 0, 0.0
	for c := range s.conns {
		c.mu.Lock()
		rank := 1
		switch {
		case c.discarding:
			rank = -1
		case !c.useful && now-c.lastActive > firstRequestGrace:
			rank = 0
		case !c.useful:
			rank = 2
		}
		if c.idle() && (least == nil || rank < leastRank || rank == leastRank && c.lastActive < leastActive) {
			least, leastRank, leastActive = c, rank, c.lastActive
		}
		c.mu.Unlock()
	}
	full = len(s.conns) >= s.MaxConns
	if full && least != nil && least.endIfIdle() {
		delete(s.conns, least)
	} else if full {
		least = nil
	}
	s.mu.Unlock()
	if !full {
		return true
	}
	if least == nil {
		return false
	}
	s.ClosedEarly.Add(1)
	least.nc.Close()
	return true
}

// sweep applies the time limits to all connections.
func (s *Server) sweep(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		refused, ended := c.checkTimeouts(now)
		s.RefusedSlow.Add(int64(refused))
		if ended {
			s.ClosedEarly.Add(1)
		}
	}
}

// Requests received in part hold their buffers until they are complete, so clients that stop half way could take them all.
// Above highUse of the pool, the requests that have taken longest are refused until its use is down to lowUse. A request
// that began less than minReceiveTime ago is never refused for another one, and all connections are looked through at
// most once in freeInterval, as there may be nothing to refuse.
const (
	highUse        = 0.75
	lowUse         = 0.5
	minReceiveTime = 100.0 // ms
	freeInterval   = 10    // ms
)

// freeRequestMemory refuses requests received in part if they use up the memory for them. They never ran.
func (s *Server) freeRequestMemory(now float64) {
	limit := float64(s.Requests.Limit())
	if float64(s.Requests.InUse()) < highUse*limit || int64(now) < s.freeAgainAt.Load() {
		return
	}
	s.freeAgainAt.Store(int64(now) + freeInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	var starts []float64
	for c := range s.conns {
		c.mu.Lock()
		starts = c.parser.appendHolders(starts)
		c.mu.Unlock()
	}
	slices.Sort(starts)
	excess := int(math.Ceil(float64(s.Requests.InUse()) - lowUse*limit)) // each holds a buffer at least
	if excess <= 0 || len(starts) == 0 {
		return
	}
	before := min(now-minReceiveTime, math.Nextafter(starts[min(excess, len(starts))-1], now))
	for c := range s.conns {
		s.RefusedFull.Add(int64(c.refuseUnfinished(before)))
	}
}

// Drain closes each connection once it has no open requests and its responses are written.
func (s *Server) Drain() {
	s.updateConns(func(c *Conn) { c.draining = true }, func() { s.draining = true })
}

// DrainAndDiscard does the same without waiting for requests received in part, and closes connections that are accepted later
// without reading from them. Until a connection closes, the handler still gets the requests that come on it.
func (s *Server) DrainAndDiscard() {
	s.updateConns(func(c *Conn) { c.draining, c.completing = true, true }, func() { s.draining, s.discarding = true, true })
}

// updateConns applies a change to all open connections, and sets the state that later connections start with.
func (s *Server) updateConns(update func(*Conn), updateServer func()) {
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	updateServer()
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		update(c)
		c.mu.Unlock()
		c.wakeWriter()
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return int(s.open.Load()) }

// CloseAll closes all connections immediately.
func (s *Server) CloseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
}
