package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"poppymill/internal/rehearsal/world"
)

// channel is the command channel as one gateway meets it. Each has an address of its own, which tells who is calling.
type channel struct {
	stage    *Stage
	gateway  int
	listener *net.TCPListener
	mu       sync.Mutex
	events   [][]byte
	fresh    chan struct{} // closed with the next change
	how      world.ChannelState
	changed  time.Time // of how: what was connected before is struck by it, what comes after is not
	conns    map[net.Conn]bool
}

func newChannel(s *Stage, gateway int) (*channel, error) {
	l, err := listen(s.Addresses("channel"))
	if err != nil {
		return nil, err
	}
	c := &channel{stage: s, gateway: gateway, listener: l, fresh: make(chan struct{}), conns: map[net.Conn]bool{}}
	s.spawn(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[nc] = true
			c.mu.Unlock()
			s.spawn(func() {
				c.serve(nc)
				nc.Close()
				c.mu.Lock()
				delete(c.conns, nc)
				c.mu.Unlock()
			})
		}
	})
	return c, nil
}

func (c *channel) address() string { return c.listener.Addr().String() }

func (c *channel) tell(event map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, encode(event))
	c.change()
}

func (c *channel) change() {
	close(c.fresh)
	c.fresh = make(chan struct{})
}

func (c *channel) set(how world.ChannelState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if how == world.Broken {
		for nc := range c.conns {
			nc.Close()
		}
		how = world.Whole
	}
	c.how, c.changed = how, time.Now()
	c.change()
}

func (c *channel) end() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		nc.Close()
	}
	c.change()
}

// serve tells one connection what it has not heard, and that the channel is there.
func (c *channel) serve(nc net.Conn) {
	came := time.Now()
	in := bufio.NewReader(nc)
	next := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if name, value, _ := strings.Cut(strings.TrimSpace(line), ":"); strings.EqualFold(name, "Last-Event-ID") {
			next, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if strings.TrimSpace(line) == "" {
			break
		}
	}
	if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for c.stage.ctx.Err() == nil {
		c.mu.Lock()
		var todo []byte
		muted := c.how == world.Muted && came.Before(c.changed)
		for ; !muted && next < len(c.events); next++ {
			for range 1 + int(c.how/world.Repeating) {
				todo = fmt.Appendf(todo, "id: %d\ndata: %s\n\n", next+1, c.events[next])
			}
		}
		fresh, told := c.fresh, next
		c.mu.Unlock()
		if len(todo) > 0 {
			c.stage.event(c.stage.now(), world.Heard{Gateway: c.gateway, Cursor: told})
		} else if !muted {
			todo = []byte(": still here\n")
		}
		if _, err := nc.Write(todo); err != nil {
			return
		}
		select {
		case <-fresh:
		case <-time.After(time.Second):
		case <-c.stage.ctx.Done():
		}
	}
}
