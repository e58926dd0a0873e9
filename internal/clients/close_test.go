package clients

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"poppymill/internal/buffer"
)

// gate is a listener on loopback whose connections can be held in a read: before they ask the system, so that bytes stay unread,
// or after it has given them bytes that nobody has looked at yet.
type gate struct {
	net.Listener
	next, before, after atomic.Bool // next: the read after the next one that brings something is held before
	held                chan func() // a read that is held, by what lets it go on
}

type gated struct {
	*net.TCPConn
	gate *gate
}

func newGate(t *testing.T) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gate{Listener: l, held: make(chan func(), 9)}
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gated{c.(*net.TCPConn), g}, nil
}

func (g *gate) hold() {
	on := make(chan struct{})
	g.held <- func() { close(on) }
	<-on
}

func (c *gated) Read(b []byte) (int, error) {
	if c.gate.before.CompareAndSwap(true, false) {
		c.gate.hold()
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.gate.next.CompareAndSwap(true, false) {
		c.gate.before.Store(true)
	}
	if n > 0 && c.gate.after.CompareAndSwap(true, false) {
		c.gate.hold()
	}
	return n, err
}

// front is a server behind a gate, with the clock that a test sets.
type front struct {
	*Server
	t    *testing.T
	gate *gate
	h    heard
	now  atomic.Int64
	done chan error
}

func newFront(t *testing.T, most int) *front {
	f := &front{t: t, gate: newGate(t), h: heard{make(chan func(Answer), 99), make(chan *Conn, 99), make(chan error, 99)}, done: make(chan error, 1)}
	f.Server = &Server{Pool: buffer.NewPool(1 << 22), Reads: buffer.NewPool(1 << 20), Handler: f.h, Most: most,
		Now: func() float64 { return float64(f.now.Load()) }}
	go func() { f.done <- f.Serve(context.Background(), f.gate) }()
	return f
}

func (f *front) dial() *net.TCPConn {
	c, err := net.Dial("tcp", f.gate.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second)) // what never comes fails the test and hangs nothing
	return c.(*net.TCPConn)
}

// gone waits for the ends of so many connections.
func (f *front) gone(most int) {
	f.t.Helper()
	for range most {
		select {
		case <-f.h.closed:
		case <-time.After(20 * time.Second):
			f.t.Fatal("a connection never ends")
		}
	}
}

// rest dials, asks, and reads the answer: a connection that rests now.
func (f *front) rest() *net.TCPConn {
	c := f.dial()
	c.Write(request(1, 1))
	(<-f.h.asked)(Answer{Status: 200})
	f.answer(c)
	return c
}

// answer reads one answer up to its end.
func (f *front) answer(c *net.TCPConn) (size int) {
	f.t.Helper()
	for {
		var head [headLen]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			f.t.Fatalf("after %d bytes: %v", size, err)
		}
		n, _ := io.CopyN(io.Discard, c, int64(head[4])<<8+int64(head[5])+int64(head[6]))
		if size += int(n); head[1] == typeEnd {
			return size
		}
	}
}

func (f *front) end() {
	f.t.Helper()
	f.gate.Close()
	f.Cut()
	if err := <-f.done; err != nil || f.Pool.Out() != 0 || f.Reads.Out() != 0 || f.Open() != 0 {
		f.t.Errorf("left over: %d and %d buffers, %d connections, %v", f.Pool.Out(), f.Reads.Out(), f.Open(), err)
	}
}

// closings are the ways in which a server ends a connection that rests.
var closings = []struct {
	name string
	do   func(*front)
}{
	{"told to end", func(f *front) { f.End() }},
	{"takes no more", func(f *front) { f.Shut() }},
	{"rested for long", func(f *front) {
		f.now.Store(askAgain + 100)
		f.sweep(askAgain + 100)
	}},
	{"makes room", func(f *front) {
		for range f.Most {
			f.dial()
		}
	}},
}

// A request that is read in the moment in which its connection ends reaches nobody: there would be no way to answer it.
func TestReadAsItEnds(t *testing.T) {
	for _, c := range closings {
		f := newFront(t, 3)
		near := f.rest()
		f.gate.after.Store(true)
		near.Write(request(2, 1))
		release := <-f.gate.held
		c.do(f)
		if n, err := near.Read(make([]byte, 1)); n != 0 || err != io.EOF && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: the client reads %d bytes, %v", c.name, n, err)
		}
		release()
		near.Close()
		f.gone(1)
		f.end()
		if len(f.h.asked) != 0 {
			t.Errorf("%s: a request is handed on whose connection had ended", c.name)
		}
	}
}

// What was read first is answered, however the connection is to end: its request is open in that moment.
func TestReadBeforeItEnds(t *testing.T) {
	for _, c := range closings[:3] {
		f := newFront(t, 3)
		near := f.rest()
		near.Write(append(request(2, 1), begin(3, 1)...))
		reply := <-f.h.asked
		c.do(f)
		reply(Answer{Status: 200})
		f.answer(near)
		near.Close()
		f.gone(1)
		f.end()
	}
}

// Bytes that nobody has read when a connection ends are no reset of what was written: the answer comes whole, and then its end.
func TestUnreadAsItEnds(t *testing.T) {
	f := newFront(t, 3)
	near := f.rest()
	f.gate.next.Store(true)
	near.Write(request(2, 1))
	reply := <-f.h.asked
	release := <-f.gate.held
	near.Write([]byte(begin(3, 1)))
	body := buffer.NewChain(f.Pool)
	body.Append(make([]byte, 200_000))
	f.each(func(c *Conn) { c.nc.(*gated).SetWriteBuffer(1 << 20) }, func() {}) // all of it is the system's at once, and not the client's yet
	f.End()
	f.Shut()
	reply(Answer{Status: 200, Body: body})
	for f.Pool.Out() > 0 { // until it is written
		time.Sleep(time.Millisecond)
	}
	if n := f.answer(near); n < 200_000 {
		t.Errorf("%d bytes", n)
	}
	if n, err := near.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes after it, %v", n, err)
	}
	release()
	near.Close()
	f.gone(1)
	f.end()
}

// A client that never closes its half holds nobody up: it is read on for a bounded time.
func TestLingers(t *testing.T) {
	f := newFront(t, 3)
	near := f.rest()
	f.Shut()
	if rest, err := io.ReadAll(near); len(rest) != 0 || err != nil {
		t.Errorf("%d bytes, %v", len(rest), err)
	}
	f.gone(1)
	near.Close()
	f.end()
}

// A connection that is accepted in the moment in which the server is told to end is let ask once, and ends with that; later ones end
// unread.
func TestAcceptedAsItEnds(t *testing.T) {
	f := newFront(t, 3)
	f.End()
	near := f.dial()
	near.Write(request(1, 1))
	(<-f.h.asked)(Answer{Status: 200})
	f.answer(near)
	if n, err := near.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes after the answer, %v", n, err)
	}
	f.Shut()
	late := f.dial()
	late.Write(request(1, 1))
	if n, err := late.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("one that came too late: %d bytes, %v", n, err)
	}
	near.Close()
	late.Close()
	f.gone(2)
	f.end()
	if len(f.h.asked) != 0 {
		t.Error("a request is taken after the end")
	}
}

// A useful client that writes one request slowly keeps the answers to its others, and then its connection ends.
func TestSlowBesideOpen(t *testing.T) {
	f := newFront(t, 3)
	near := f.rest()
	near.Write(append(request(2, 1), begin(3, 1)...))
	reply := <-f.h.asked
	for !f.unfinished() {
		time.Sleep(time.Millisecond)
	}
	f.now.Store(pointWithin + 1)
	f.sweep(pointWithin + 1)
	near.Write(bytes.TrimPrefix(request(3, 1), []byte(begin(3, 1))))
	reply(Answer{Status: 200})
	f.answer(near)
	if n, err := near.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes after it, %v", n, err)
	}
	near.Close()
	f.gone(1)
	f.end()
	if len(f.h.asked) != 0 {
		t.Error("what came too slowly is handed on")
	}
}

// unfinished tells whether something has come in part.
func (f *front) unfinished() (some bool) {
	f.each(func(c *Conn) {
		_, half := c.machine.Unfinished()
		some = some || half
	}, func() {})
	return some
}
