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

// endpoint is an address of the world with the real one at which it listens.
type endpoint struct {
	name, address string
	listener      *net.TCPListener
	full          []net.Conn // take up a mute listener's queue, so that connections never come up
	mute          bool
}

// listen opens an address; one that was open before has the same real one again.
func (s *Stage) listen(name string) {
	e := s.boxes[name]
	if e == nil {
		e = &endpoint{name: name, address: s.Addresses(name)}
		s.boxes[name] = e
	}
	e.shut(false)
	l, err := listen(e.address)
	if err != nil {
		s.stop(err)
		return
	}
	e.listener, e.address = l, l.Addr().String()
	s.spawn(func() { s.accept(e.name, l) })
}

func (s *Stage) accept(name string, l *net.TCPListener) {
	for {
		nc, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // a shortage of descriptors passes
			continue
		}
		at := s.now()
		s.post(func() {
			s.numbers++
			c := &conn{stage: s, id: s.numbers, nc: nc, wake: make(chan bool, 1)}
			s.conns[c.id] = c
			s.spawn(c.read)
			s.spawn(c.write)
			s.carry(s.world.Handle(at, world.Dialled{Conn: c.id, Address: name}))
		})
		if s.ctx.Err() != nil {
			nc.Close()
			return
		}
	}
}

// shut closes an address; mute leaves it in the way of a machine that is cut off: whoever calls hears nothing. Where the
// queue of connections that nobody accepts is full, the system answers no more of them.
func (e *endpoint) shut(mute bool) {
	for _, c := range e.full {
		c.Close()
	}
	e.full = nil
	if e.listener == nil {
		return
	}
	if !mute {
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
		e.full = append(e.full, c)
	}
}

// conn is a connection between a gateway and a box.
type conn struct {
	stage *Stage
	id    int64
	nc    *net.TCPConn
	mu    sync.Mutex
	queue [][]byte
	last  bool // the connection ends with what waits
	over  bool
	wake  chan bool
}

func (c *conn) read() {
	var r resp.Reader
	b := make([]byte, 32<<10)
	for {
		n, err := c.nc.Read(b)
		at := c.stage.now()
		found, bad := r.Feed(b[:n])
		for _, x := range found {
			c.stage.event(at, world.Command{Conn: c.id, Verb: x.Verb, ID: x.ID, Fields: x.Fields, Body: x.Body})
		}
		if err != nil || bad != nil {
			break
		}
	}
	c.close()
	at := c.stage.now()
	c.stage.post(func() {
		delete(c.stage.conns, c.id)
		c.stage.carry(c.stage.world.Handle(at, world.Hung{Conn: c.id}))
	})
}

func (c *conn) write() {
	for range c.wake {
		c.mu.Lock()
		todo, last, over := net.Buffers(c.queue), c.last, c.over
		c.queue = nil
		c.mu.Unlock()
		if over {
			return
		}
		c.nc.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := todo.WriteTo(c.nc); err != nil || last {
			c.close()
			return
		}
	}
}

func (c *conn) reply(r world.Reply) {
	text := resp.Answer(nil, r.Tag, r.Word, r.Fields, r.Body)
	if r.Cut {
		text = text[:len(text)-len(r.Body)/2-2]
	}
	c.mu.Lock()
	c.queue = append(c.queue, text)
	c.last = c.last || r.Cut
	c.mu.Unlock()
	c.stir()
}

func (c *conn) stir() {
	select {
	case c.wake <- true:
	default:
	}
}

func (c *conn) close() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
	c.nc.Close()
	c.stir()
}

// reset ends a connection as the system does for a process that died.
func (c *conn) reset() {
	c.nc.SetLinger(0)
	c.close()
}
