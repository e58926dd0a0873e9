package sockets

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"poppymill/internal/rehearsal/resp"
	"poppymill/internal/rehearsal/world"
)

// endpoint maps a symbolic address of the world (an emulated cache, hub or origin) to the loopback address it listens on.
type endpoint struct {
	name, address string
	listener      *net.TCPListener
	queueFillers  []net.Conn // occupy the accept queue of an unresponsive listener, so that no further connection is established
	unresponsive  bool
}

// listen opens the endpoint of a symbolic address. An endpoint that was open before gets the same real address again.
func (s *Stage) listen(name string) {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, address: s.Addresses(name)}
		s.endpoints[name] = e
	}
	e.close(false)
	l, err := listen(e.address)
	if err != nil {
		s.stop(err)
		return
	}
	e.listener, e.address = l, l.Addr().String()
	s.spawn(func() { s.accept(e.name, l) })
}

// accept takes connections to an endpoint until its listener is closed.
func (s *Stage) accept(name string, l *net.TCPListener) {
	for {
		nc, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // running out of file descriptors is temporary
			continue
		}
		at := s.now()
		s.post(func() {
			s.lastConnID++
			c := &conn{stage: s, id: s.lastConnID, nc: nc, wake: make(chan bool, 1)}
			s.conns[c.id] = c
			s.spawn(c.read)
			s.spawn(c.write)
			s.apply(s.world.Handle(at, world.Dialled{Conn: c.id, Address: name}))
		})
		if s.ctx.Err() != nil {
			nc.Close()
			return
		}
	}
}

// close closes the listener. With unresponsive set it emulates a machine that is cut off instead: connection attempts get no
// reply. The listener's accept queue is filled, after which the kernel no longer answers connection requests.
func (e *endpoint) close(unresponsive bool) {
	for _, c := range e.queueFillers {
		c.Close()
	}
	e.queueFillers = nil
	if e.listener == nil {
		return
	}
	if !unresponsive {
		e.listener.Close()
		e.listener = nil
		return
	}
	e.listener.SetDeadline(time.Unix(1, 0))
	if raw, err := e.listener.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	}
	for range 3 {
		c, err := net.DialTimeout("tcp", e.address, 20*time.Millisecond)
		if err != nil {
			break
		}
		e.queueFillers = append(e.queueFillers, c)
	}
}

// conn is a connection from a gateway to an emulated cache, hub or origin.
type conn struct {
	stage           *Stage
	id              int64
	nc              *net.TCPConn
	mu              sync.Mutex
	queue           [][]byte
	closeAfterWrite bool // close the connection once the queue is written
	done            bool // the connection is closed
	wake            chan bool
}

// read passes the commands that arrive to the world until the connection ends.
func (c *conn) read() {
	var r resp.Reader
	b := make([]byte, 32<<10)
	for {
		n, err := c.nc.Read(b)
		at := c.stage.now()
		commands, parseErr := r.Feed(b[:n])
		for _, cmd := range commands {
			c.stage.postEvent(at, world.Command{Conn: c.id, Verb: cmd.Verb, ID: cmd.ID, Fields: cmd.Fields, Body: cmd.Body})
		}
		if err != nil || parseErr != nil {
			break
		}
	}
	c.close()
	at := c.stage.now()
	c.stage.post(func() {
		delete(c.stage.conns, c.id)
		c.stage.apply(c.stage.world.Handle(at, world.ConnClosed{Conn: c.id}))
	})
}

// write sends the queued replies until the connection ends.
func (c *conn) write() {
	for range c.wake {
		c.mu.Lock()
		pending, closeAfterWrite, done := net.Buffers(c.queue), c.closeAfterWrite, c.done
		c.queue = nil
		c.mu.Unlock()
		if done {
			return
		}
		c.nc.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := pending.WriteTo(c.nc); err != nil || closeAfterWrite {
			c.close()
			return
		}
	}
}

// reply queues a reply; one that is cut is truncated within its body and ends the connection.
func (c *conn) reply(r world.Reply) {
	text := resp.Answer(nil, r.Tag, r.Word, r.Fields, r.Body)
	if r.Cut {
		text = text[:len(text)-len(r.Body)/2-2]
	}
	c.mu.Lock()
	c.queue = append(c.queue, text)
	c.closeAfterWrite = c.closeAfterWrite || r.Cut
	c.mu.Unlock()
	c.wakeWriter()
}

// wakeWriter makes the writer look at the queue.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- true:
	default:
	}
}

func (c *conn) close() {
	c.mu.Lock()
	c.done = true
	c.mu.Unlock()
	c.nc.Close()
	c.wakeWriter()
}

// reset closes the connection with a TCP reset, as the kernel does for a process that died.
func (c *conn) reset() {
	c.nc.SetLinger(0)
	c.close()
}
