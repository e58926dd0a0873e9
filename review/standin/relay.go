package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes on the bytes of connections to an address, each chunk later by a delay in either direction. It delays without
// holding back what follows, as distance does. It can also lose what goes one way.
type Relay struct {
	Address string
	delay   atomic.Int64 // ns
	lose    [2]atomic.Bool
	to      string
	c       *Case
	mu      sync.Mutex
	conns   map[net.Conn]bool
}

// The directions of a relay: from the side that connects, and back to it.
const (
	Forth = iota
	Back
)

// NewRelay opens a relay to an address, at first without a delay.
func (c *Case) NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Address: l.Addr().String(), to: to, c: c, conns: map[net.Conn]bool{}}
	c.OnEnd(func() { l.Close() })
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(a)
		}
	}()
	return r, nil
}

// SetDelay sets the delay of what is passed on from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Lose has all bytes of one direction lost from now on, or no more. A stream that lost bytes is of no use: it is reset then.
func (r *Relay) Lose(direction int, on bool) {
	if r.lose[direction].Store(on); on {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		conn.Close()
	}
	clear(r.conns)
}

func (r *Relay) pass(a net.Conn) {
	b, err := net.DialTimeout("tcp", r.to, time.Second)
	if err != nil {
		a.Close()
		return
	}
	r.mu.Lock()
	r.conns[a], r.conns[b] = true, true
	r.mu.Unlock()
	r.c.OnEnd(func() { a.Close(); b.Close() })
	type chunk struct {
		bytes []byte
		due   time.Time
	}
	forward := func(from, to net.Conn, direction int) {
		queue := make(chan chunk, 4096)
		go func() {
			for k := range queue {
				time.Sleep(time.Until(k.due))
				if _, err := to.Write(k.bytes); err != nil {
					from.Close()
				}
			}
			to.Close()
			from.Close()
		}()
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			if n > 0 && !r.lose[direction].Load() {
				queue <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(time.Duration(r.delay.Load()))}
			}
			if err != nil {
				close(queue)
				return
			}
		}
	}
	go forward(a, b, Forth)
	go forward(b, a, Back)
}
