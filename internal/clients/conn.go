package clients

import (
	"errors"
	"net"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// lingerTimeout bounds how long a connection is read after its last response. If the socket were closed with input unread,
// the kernel would reset the connection, and the client would lose what it has not yet received of the response.
const lingerTimeout = 250 * time.Millisecond

// Conn is a connection from a client. One goroutine reads, another writes, and neither waits for the other.
type Conn struct {
	server     *Server
	nc         net.Conn
	socket     syscall.RawConn // nil if nc is no socket
	mu         sync.Mutex
	parser     *Parser
	queue      []queuedAnswer // at most one response per open request, and protocol-level replies
	wake       chan struct{}  // wakes the writing goroutine
	draining   bool           // closes once no request is open
	completing bool           // does not wait for requests received in part when draining
	discarding bool           // all further input is discarded; set only if no complete request is open
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

func newConn(s *Server, nc net.Conn, now float64) *Conn {
	c := &Conn{server: s, nc: nc, parser: NewParser(s.Requests, s.MaxConns), wake: make(chan struct{}, 1), lastActive: now}
	c.parser.ExtraParams, c.parser.unanswered = s.ExtraParams, &s.unanswered
	if socket, ok := nc.(syscall.Conn); ok {
		c.socket, _ = socket.SyscallConn()
	}
	return c
}

// Gone reports whether the client has closed the connection, also while requests that it sent before are still unread.
func (c *Conn) Gone() (gone bool) {
	if c.socket == nil {
		return false
	}
	closed := c.socket.Control(func(descriptor uintptr) { gone = hungUp(descriptor) })
	return gone || closed != nil
}

// idle reports whether the connection has no complete request open and nothing to write.
func (c *Conn) idle() bool { return c.parser.Unanswered() == 0 && len(c.queue) == 0 && !c.writing }

// checkTimeouts applies the time limits. A connection that is too slow or idle for too long ends only if no complete request is
// open on it: the client may send further ones until it sees the end of the connection, and each must be answered. Else only
// the requests that come too slowly are refused. It reports how many were, and whether the connection ends.
func (c *Conn) checkTimeouts(now float64) (refused int, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding {
		return 0, false
	}
	limit := requestTimeout
	if c.useful {
		limit = slowRequestTimeout
	}
	since, unfinished := c.parser.Unfinished()
	late := unfinished && now-since > limit
	switch {
	case late && !c.useful && c.parser.Unanswered() == 0:
		c.endInput()
		c.nc.Close() // at once, even if the client does not read the replies to what it has sent
		return 0, true
	case c.idle() && (late || c.idleTooLong(now, unfinished)):
		c.endInput()
		return 0, true
	case late:
		return c.refuseLocked(now - limit), false
	}
	return 0, false
}

// refuseUnfinished refuses the requests received in part that began before a time, and returns how many there were.
func (c *Conn) refuseUnfinished(before float64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuseLocked(before)
}

// refuseLocked is refuseUnfinished with the lock held.
func (c *Conn) refuseLocked(before float64) int {
	replies := c.parser.RefuseUnfinished(before)
	for _, reply := range replies {
		c.queue = append(c.queue, queuedAnswer{reply: reply})
	}
	if len(replies) > 0 {
		c.wakeWriter()
	}
	return len(replies)
}

// idleTooLong reports whether the last request was so long ago that no other is to be expected. A client that has sent a usable
// request is not idle while it sends another.
func (c *Conn) idleTooLong(now float64, unfinished bool) bool {
	idleFor := now - c.lastActive
	if !c.useful {
		return idleFor > requestTimeout
	}
	return !unfinished && idleFor > idleTimeout
}

// endInput makes the connection discard its input from now on; the writing goroutine closes it. The caller holds the lock and
// has checked that no complete request is open: a request that was read before is answered, and keeps its connection open.
func (c *Conn) endInput() {
	c.discarding, c.completing, c.draining = true, true, true
	c.wakeWriter()
}

// endIfIdle ends a connection without a complete request, and reports whether it did.
func (c *Conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		return false
	}
	c.endInput()
	return true
}

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
		if n > 0 && c.Gone() {
			return // what is still unread is not sent on: nobody waits for its answer
		}
		c.server.freeRequestMemory(at)
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
		if n == len(b) {
			runtime.Gosched() // more is waiting: without it a client that sends at full speed delays all others
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
		if err != nil {
			c.nc.Close() // the reading goroutine then fails and cleans up
			return
		}
		if c.finishWriting() {
			c.closeGracefully()
			return
		}
	}
}

// finishWriting notes that the queue has been written, and reports whether the connection is to close now. From the moment of
// that decision its input is discarded, under the same lock, as a request read later could not be answered.
func (c *Conn) finishWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	open := len(c.parser.open)
	if c.completing {
		open = c.parser.Unanswered()
	}
	finished := c.draining && len(c.queue) == 0 && open == 0
	c.discarding = c.discarding || finished
	return finished
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
