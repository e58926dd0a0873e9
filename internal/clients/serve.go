package clients

import (
	"context"
	"errors"
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
	Bodies      *buffer.Pool // for request bodies
	ReadBuffers *buffer.Pool // read buffers, one per connection
	Handler     Handler
	Now         func() float64
	ExtraParams []string     // params to pass on beside those that the gateway always needs
	MaxConns    int          // maximum number of open connections
	ClosedEarly atomic.Int64 // connections closed as too slow or idle, or to make room
	open        atomic.Int64
	mu          sync.Mutex
	conns       map[*Conn]bool
	draining    bool // new connections close after their first response
	discarding  bool // input of new connections is discarded
}

// Limits in ms after which a connection is closed: for receiving a whole request, and for sending another one.
// requestTimeout is below the 3 s within which a connection without a whole, usable request must be closed, whatever else its
// client sends. idleTimeout is above the 4 s after which the web server closes an idle connection itself.
const (
	requestTimeout    = 2000.0
	idleTimeout       = 5000.0
	firstRequestGrace = 250.0 // a new connection's first request may still be in transit
	sweepInterval     = 250 * time.Millisecond
)

// lingerTimeout bounds how long a connection is read after its last response. If the socket were closed with input unread,
// the kernel would reset the connection, and the client would lose what it has not yet received of the response.
const lingerTimeout = 250 * time.Millisecond

// Serve accepts connections until the listener is closed, and returns once all of them have closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // Drain or DrainAndDiscard may have been called before
	s.conns = map[*Conn]bool{}
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
		c := &Conn{server: s, nc: nc, parser: NewParser(s.Bodies, s.MaxConns), wake: make(chan struct{}, 1), lastActive: now}
		c.parser.ExtraParams = s.ExtraParams
		s.mu.Lock()
		s.conns[c] = true
		if c.draining, c.discarding = s.draining, s.discarding; c.discarding {
			c.wakeWriter()
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
	if full && least != nil && least.stopReading(false) {
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

// sweep closes connections that take too long to send a whole request, and those that have been idle for too long. A web
// server that needs longer than requestTimeout to send a request loses its connection and must retry on another.
func (s *Server) sweep(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		since, unfinished := c.parser.Unfinished()
		late := unfinished && now-since > requestTimeout
		expired, discarding := late, c.discarding
		if c.idle() {
			expired = expired || !c.useful && now-c.lastActive > requestTimeout || now-c.lastActive > idleTimeout
		}
		useful := c.useful
		c.mu.Unlock()
		switch {
		case !expired || discarding:
		case late && !useful: // must be closed in time, even with requests open
			s.ClosedEarly.Add(1)
			delete(s.conns, c)
			c.stopReading(true)
			c.nc.Close()
		case c.stopReading(late):
			s.ClosedEarly.Add(1)
		}
	}
}

// stopReading makes the connection discard its input from now on, and reports whether it did. Without force it does so only
// if the connection is idle. The check holds the same lock as the change: a request that was read before is answered, and keeps
// its connection open. The writing goroutine closes the connection.
func (c *Conn) stopReading(force bool) bool {
	c.mu.Lock()
	stopped := force || c.idle()
	if stopped {
		c.discarding, c.draining = true, true
	}
	c.mu.Unlock()
	if stopped {
		c.wakeWriter()
	}
	return stopped
}

// Drain closes each connection once it has no open requests and its responses are written.
func (s *Server) Drain() {
	s.updateConns(func(c *Conn) { c.draining = true }, func() { s.draining = true })
}

// DrainAndDiscard does the same, and discards all further input and all requests received in part.
func (s *Server) DrainAndDiscard() {
	s.updateConns(func(c *Conn) { c.draining, c.discarding = true, true }, func() { s.draining, s.discarding = true, true })
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

// Conn is a connection from a client. One goroutine reads, another writes, and neither waits for the other.
type Conn struct {
	server     *Server
	nc         net.Conn
	mu         sync.Mutex
	parser     *Parser
	queue      []queuedAnswer // at most one response per open request, and protocol-level replies
	wake       chan struct{}  // wakes the writing goroutine
	draining   bool           // closes once no request is open
	discarding bool           // all further input is discarded
	closed     bool
	writing    bool
	useful     bool    // it has sent a request that was not malformed
	lastActive float64 // when it was accepted, or last answered
}

// queuedAnswer is an entry of the queue to write.
type queuedAnswer struct {
	id    uint16
	reply []byte // an encoded protocol-level reply; nil: the Response is written
	Answer
}

// idle reports whether the connection has no complete request open and nothing to write.
func (c *Conn) idle() bool { return c.parser.Unanswered() == 0 && len(c.queue) == 0 && !c.writing }

// maxQueued bounds the queue of a connection whose client sends protocol-level requests and does not read the replies.
const maxQueued = 4 * maxOpenRequests

// Answer queues the response to a request; it never blocks. If the connection or the request is no longer open, it only
// releases the body.
func (c *Conn) Answer(id uint16, a Answer) {
	c.mu.Lock()
	open, closeAfter := c.parser.Finish(id)
	if c.closed || !open { // the parser's buffers have been released too
		c.mu.Unlock()
		a.Body.Release()
		return
	}
	c.draining = c.draining || closeAfter
	// A connection with only malformed requests counts the same as one without any.
	c.useful, c.lastActive = c.useful || a.Status != 400, c.server.Now()
	c.queue = append(c.queue, queuedAnswer{id: id, Answer: a})
	c.mu.Unlock()
	c.wakeWriter()
}

func (c *Conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// read feeds input to the parser and passes events to the handler until the connection ends.
func (c *Conn) read() {
	defer c.close()
	b := c.server.ReadBuffers.Get()
	if b == nil {
		c.server.Handler.HandleError(errors.New("no read buffer left"))
		return
	}
	defer c.server.ReadBuffers.Put(b)
	b = b[:cap(b)]
	var events []Event
	for {
		n, err := c.nc.Read(b)
		at := c.server.Now()
		c.mu.Lock()
		if c.discarding {
			c.mu.Unlock()
			if err != nil {
				return
			}
			continue
		}
		var protocolErr error
		events, protocolErr = c.parser.Feed(b[:n], at, events[:0])
		for _, e := range events {
			if e.Kind == Reply {
				c.queue = append(c.queue, queuedAnswer{reply: e.Reply})
			}
		}
		if len(c.queue) > maxQueued {
			protocolErr = errors.New("too many protocol-level requests with unread replies")
		}
		c.mu.Unlock()
		for i, e := range events {
			switch e.Kind {
			case Complete:
				// A request that was received and aborted in one read must not be passed on to a node.
				if j := i + 1 + slices.IndexFunc(events[i+1:], func(f Event) bool { return f.Kind == Aborted && f.ID == e.ID }); j > i {
					e.Body.Release()
					events[j].Kind = Ignored
					c.Answer(e.ID, Answer{NoResponse: true})
					break
				}
				c.server.Handler.HandleRequest(c, e.ID, e.Params, e.Body, at)
			case Aborted:
				c.server.Handler.HandleAbort(c, e.ID, at)
			case Reply:
				c.wakeWriter()
			}
			events[i] = Event{}
		}
		if protocolErr != nil {
			c.server.Handler.HandleError(protocolErr)
			return
		}
		if err != nil {
			return
		}
	}
}

// writeTimeout is how long a client may block a write, up to twice that; then its connection is closed.
const writeTimeout = 5 * time.Second

// write writes the queue whenever it is woken, until the connection ends.
func (c *Conn) write() {
	var pieces net.Buffers
	var deadline time.Time
	for range c.wake {
		c.mu.Lock()
		pending, closed := c.queue, c.closed
		c.queue, c.writing = nil, len(c.queue) > 0
		finish := c.draining && (len(c.parser.open) == 0 || c.discarding && c.parser.Unanswered() == 0)
		c.discarding = c.discarding || finish // under the same lock: a request read later could not be answered
		c.mu.Unlock()
		if closed {
			release(pending)
			return
		}
		pieces = pieces[:0]
		for _, a := range pending {
			if a.reply != nil {
				pieces = append(pieces, a.reply)
			} else {
				pieces = a.encode(a.id, pieces)
			}
		}
		var err error
		if now := time.Now(); deadline.Sub(now) < writeTimeout { // setting a deadline costs as much as a small write
			deadline = now.Add(2 * writeTimeout)
			err = c.nc.SetWriteDeadline(deadline)
		}
		if err == nil && len(pieces) > 0 {
			rest := pieces
			_, err = rest.WriteTo(c.nc)
		}
		clear(pieces)
		release(pending)
		c.mu.Lock()
		c.writing = false
		c.mu.Unlock()
		if err != nil {
			c.nc.Close() // the reading goroutine then fails and cleans up
			return
		}
		if finish {
			c.closeGracefully()
			return
		}
	}
}

// closeGracefully closes the writing half after all output is written, and leaves the reading goroutine to read on until the
// client has closed its half too, or until lingerTimeout has passed.
func (c *Conn) closeGracefully() {
	halfCloser, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || halfCloser.CloseWrite() != nil {
		c.nc.Close()
	}
}

func release(pending []queuedAnswer) {
	for _, a := range pending {
		a.Body.Release()
	}
}

func (c *Conn) close() {
	c.nc.Close()
	c.mu.Lock()
	c.closed = true
	pending := c.queue
	c.queue = nil
	c.parser.Release()
	c.mu.Unlock()
	release(pending)
	c.server.open.Add(-1)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.wakeWriter()
	c.server.Handler.HandleClose(c, c.server.Now())
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
