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

// Handler hears of what clients do; it must not block for long, as the connection waits for it.
type Handler interface {
	Asked(c *Conn, id uint16, params map[string]string, body *buffer.Chain, at float64)
	Aborted(c *Conn, id uint16, at float64)
	Closed(c *Conn, at float64)
	Malformed(err error)
}

// Server takes connections.
type Server struct {
	Pool    *buffer.Pool // for bodies
	Reads   *buffer.Pool // for reading; one for each connection
	Handler Handler
	Now     func() float64
	Keep    []string     // params beside the protocol's own that are handed on
	Most    int          // connections open at a time
	Shed    atomic.Int64 // connections closed for saying too little, or to make room
	open    atomic.Int64
	mu      sync.Mutex
	conns   map[*Conn]bool
	ending  bool // what comes now is answered and ends with that
	over    bool // nothing that comes now is taken
}

// What a client is given before its connection counts as of no use, in ms: to come to its point (it is owed an end
// within 3 s, whatever it does), and to ask again (the front's own close after 4 s).
const (
	pointWithin = 2000.0
	askAgain    = 5000.0
	young       = 250.0 // its first request may still be on its way
	sweepEvery  = 250 * time.Millisecond
)

// lingerFor bounds how long a connection is read on after its last answer. What its client had sent meanwhile would, unread at
// the close, have the system reset the connection, and that takes along what of the answer is still on its way.
const lingerFor = 250 * time.Millisecond

// Serve takes connections until the listener closes, and returns once they all have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.mu.Lock() // it may have been told to end before this
	s.conns = map[*Conn]bool{}
	s.mu.Unlock()
	var g errgroup.Group
	over, swept := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(swept)
		for tick := time.NewTicker(sweepEvery); ; {
			select {
			case <-over:
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
		if err != nil { // a shortage of descriptors passes as connections end
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		if !s.room() {
			nc.Close()
			s.Handler.Malformed(errors.New("more connections than the descriptors allow"))
			continue
		}
		s.open.Add(1)
		now := s.Now()
		c := &Conn{server: s, nc: nc, machine: NewMachine(s.Pool, s.Most), wake: make(chan struct{}, 1), since: now}
		c.machine.Keep = s.Keep
		s.mu.Lock()
		s.conns[c] = true
		if c.last, c.shut = s.ending, s.over; c.shut {
			c.stir()
		}
		s.mu.Unlock()
		g.Go(func() error { c.write(); return nil })
		g.Go(func() error { c.read(); return nil })
	}
	err := g.Wait()
	close(over)
	<-swept
	return err
}

// room finds a place for a newcomer, which most likely is about to ask: the least useful connection without a whole
// request goes for it. First goes what had time and asked nothing that could be used, then the longest idle, and last
// what has only just come: it is likely to be a client's whose request is on its way, and would be lost by it. What
// comes in a flood may not have been read yet, so the readers get their turn first.
func (s *Server) room() bool {
	s.mu.Lock()
	full := len(s.conns) >= s.Most
	s.mu.Unlock()
	if !full {
		return true
	}
	runtime.Gosched()
	s.mu.Lock()
	var least *Conn
	now, rank, since := s.Now(), 0, 0.0
	for c := range s.conns {
		c.mu.Lock()
		own := 1
		switch {
		case c.shut:
			own = -1
		case !c.useful && now-c.since > young:
			own = 0
		case !c.useful:
			own = 2
		}
		if c.idle() && (least == nil || own < rank || own == rank && c.since < since) {
			least, rank, since = c, own, c.since
		}
		c.mu.Unlock()
	}
	full = len(s.conns) >= s.Most
	if full && least != nil && least.stop(false) {
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
	s.Shed.Add(1)
	least.nc.Close()
	return true
}

// sweep closes what doesn't come to its point, and what has asked once and keeps its place. A web server that is
// slower than that to send a request loses its connection; it asks again on another.
func (s *Server) sweep(now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		begun, unfinished := c.machine.Unfinished()
		late := unfinished && now-begun > pointWithin
		over, shut := late, c.shut
		if c.idle() {
			over = over || !c.useful && now-c.since > pointWithin || now-c.since > askAgain
		}
		useful := c.useful
		c.mu.Unlock()
		switch {
		case !over || shut:
		case late && !useful: // it is owed an end in time, whatever else it has asked
			s.Shed.Add(1)
			delete(s.conns, c)
			c.stop(true)
			c.nc.Close()
		case c.stop(late):
			s.Shed.Add(1)
		}
	}
}

// stop has a connection take nothing more: what is read from now on is thrown away. Without force it must be idle for that, which
// is looked at in the same moment: a request that was read first is taken, and keeps its connection. Its writer ends it.
func (c *Conn) stop(force bool) bool {
	c.mu.Lock()
	done := force || c.idle()
	if done {
		c.shut, c.last = true, true
	}
	c.mu.Unlock()
	if done {
		c.stir()
	}
	return done
}

// End closes every connection once nothing is open on it and what it was told is written.
func (s *Server) End() { s.each(func(c *Conn) { c.last = true }, func() { s.ending = true }) }

// Shut does the same, and takes nothing that comes from now on, nor what has come in part.
func (s *Server) Shut() {
	s.each(func(c *Conn) { c.last, c.shut = true, true }, func() { s.ending, s.over = true, true })
}

// each has all connections go another way, those there are and by now those to come.
func (s *Server) each(now func(*Conn), later func()) {
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	later()
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		now(c)
		c.mu.Unlock()
		c.stir()
	}
}

// Conn is one client's connection: a goroutine reads, another writes, and neither waits for the other.
type Conn struct {
	server  *Server
	nc      net.Conn
	mu      sync.Mutex
	machine *Machine
	queue   []answer // at most one for each request that may be open, and the protocol's own
	wake    chan struct{}
	last    bool // it ends when nothing is open
	shut    bool // nothing that is read from now on is taken
	closed  bool
	writing bool
	useful  bool    // it has asked for something that could be read
	since   float64 // when it came, or was last answered
}

type answer struct {
	id    uint16
	reply []byte
	Answer
}

// idle tells that nothing is open on it and nothing is to be written.
func (c *Conn) idle() bool { return c.machine.Whole() == 0 && len(c.queue) == 0 && !c.writing }

const mostQueued = 4 * mostOpen

// Answer hands an answer over; it never blocks. For a connection that is gone it does nothing.
func (c *Conn) Answer(id uint16, a Answer) {
	c.mu.Lock()
	open, once := c.machine.Answered(id)
	if c.closed || !open { // its machine is released too
		c.mu.Unlock()
		a.Body.Release()
		return
	}
	c.last = c.last || once
	// One whose requests can't be read is no more than one that says nothing.
	c.useful, c.since = c.useful || a.Status != 400, c.server.Now()
	c.queue = append(c.queue, answer{id: id, Answer: a})
	c.mu.Unlock()
	c.stir()
}

func (c *Conn) stir() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Conn) read() {
	defer c.close()
	b := c.server.Reads.Get()
	if b == nil {
		c.server.Handler.Malformed(errors.New("no buffer left to read into"))
		return
	}
	defer c.server.Reads.Put(b)
	b = b[:cap(b)]
	var found []Event
	for {
		n, err := c.nc.Read(b)
		at := c.server.Now()
		c.mu.Lock()
		if c.shut {
			c.mu.Unlock()
			if err != nil {
				return
			}
			continue
		}
		var bad error
		found, bad = c.machine.Feed(b[:n], at, found[:0])
		for _, e := range found {
			if e.Kind == Reply {
				c.queue = append(c.queue, answer{reply: e.Reply})
			}
		}
		if len(c.queue) > mostQueued {
			bad = errors.New("more asked of the protocol than is read of its answers")
		}
		c.mu.Unlock()
		for i, e := range found {
			switch e.Kind {
			case Complete:
				// What came and was given up in one read is nobody's any more: it must not be sent to a node.
				if j := i + 1 + slices.IndexFunc(found[i+1:], func(f Event) bool { return f.Kind == Aborted && f.ID == e.ID }); j > i {
					e.Body.Release()
					found[j].Kind = Void
					c.Answer(e.ID, Answer{None: true})
					break
				}
				c.server.Handler.Asked(c, e.ID, e.Params, e.Body, at)
			case Aborted:
				c.server.Handler.Aborted(c, e.ID, at)
			case Reply:
				c.stir()
			}
			found[i] = Event{}
		}
		if bad != nil {
			c.server.Handler.Malformed(bad)
			return
		}
		if err != nil {
			return
		}
	}
}

// slowest is how long a client may take to read on, up to twice that; then it counts as gone.
const slowest = 5 * time.Second

func (c *Conn) write() {
	var pieces net.Buffers
	var limit time.Time
	for range c.wake {
		c.mu.Lock()
		todo, closed := c.queue, c.closed
		c.queue, c.writing = nil, len(c.queue) > 0
		finish := c.last && (len(c.machine.open) == 0 || c.shut && c.machine.Whole() == 0)
		c.shut = c.shut || finish // in the same moment: what is read after it would have no answer
		c.mu.Unlock()
		if closed {
			release(todo)
			return
		}
		pieces = pieces[:0]
		for _, a := range todo {
			if a.reply != nil {
				pieces = append(pieces, a.reply)
			} else {
				pieces = a.encode(a.id, pieces)
			}
		}
		var err error
		if now := time.Now(); limit.Sub(now) < slowest { // setting it costs as much as a small write
			limit = now.Add(2 * slowest)
			err = c.nc.SetWriteDeadline(limit)
		}
		if err == nil && len(pieces) > 0 {
			rest := pieces
			_, err = rest.WriteTo(c.nc)
		}
		clear(pieces)
		release(todo)
		c.mu.Lock()
		c.writing = false
		c.mu.Unlock()
		if err != nil {
			c.nc.Close() // the reader finds the connection closed and ends it
			return
		}
		if finish {
			c.part()
			return
		}
	}
}

// part ends the writing half, after all that was written, and has the reader read on for a while: until its client has closed
// too, which it finds, or until it has had its time.
func (c *Conn) part() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.nc.SetReadDeadline(time.Now().Add(lingerFor)) != nil || half.CloseWrite() != nil {
		c.nc.Close()
	}
}

func release(todo []answer) {
	for _, a := range todo {
		a.Body.Release()
	}
}

func (c *Conn) close() {
	c.nc.Close()
	c.mu.Lock()
	c.closed = true
	todo := c.queue
	c.queue = nil
	c.machine.Release()
	c.mu.Unlock()
	release(todo)
	c.server.open.Add(-1)
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	c.stir()
	c.server.Handler.Closed(c, c.server.Now())
}

// Open counts the connections there are.
func (s *Server) Open() int { return int(s.open.Load()) }

// Cut closes every connection at once.
func (s *Server) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.nc.Close()
	}
}
