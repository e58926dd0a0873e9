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

// channel serves the command channel to one gateway. Each gateway has its own address, which identifies the caller.
type channel struct {
	stage    *Stage
	gateway  int
	listener *net.TCPListener
	mu       sync.Mutex
	events   [][]byte
	updated  chan struct{} // closed, and replaced, at each change
	state    world.ChannelState
	since    time.Time // when state was set; muting affects only connections made before it
	conns    map[net.Conn]bool
}

func newChannel(s *Stage, gateway int) (*channel, error) {
	l, err := listen(s.Addresses("channel"))
	if err != nil {
		return nil, err
	}
	c := &channel{stage: s, gateway: gateway, listener: l, updated: make(chan struct{}), conns: map[net.Conn]bool{}}
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

// publish adds an event and wakes the connections.
func (c *channel) publish(event map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, encodeEvent(event))
	c.notify()
}

// notify wakes all connections; the caller holds mu.
func (c *channel) notify() {
	close(c.updated)
	c.updated = make(chan struct{})
}

// setState changes the behaviour of the channel. Broken closes the current connections once and leaves the channel whole.
func (c *channel) setState(state world.ChannelState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == world.Broken {
		for nc := range c.conns {
			nc.Close()
		}
		state = world.Normal
	}
	c.state, c.since = state, time.Now()
	c.notify()
}

// close closes the listener and all connections.
func (c *channel) close() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		nc.Close()
	}
	c.notify()
}

// serve sends a connection the events after its Last-Event-ID, and a comment line each second as keep-alive.
func (c *channel) serve(nc net.Conn) {
	connectedAt := time.Now()
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
		var pending []byte
		muted := c.state == world.Silent && connectedAt.Before(c.since)
		for ; !muted && next < len(c.events); next++ {
			for range 1 + int(c.state/world.Repeating) {
				pending = fmt.Appendf(pending, "id: %d\ndata: %s\n\n", next+1, c.events[next])
			}
		}
		updated, sent := c.updated, next
		c.mu.Unlock()
		if len(pending) > 0 {
			c.stage.postEvent(c.stage.now(), world.Delivered{Gateway: c.gateway, Cursor: sent})
		} else if !muted {
			pending = []byte(": still here\n")
		}
		if _, err := nc.Write(pending); err != nil {
			return
		}
		select {
		case <-updated:
		case <-time.After(time.Second):
		case <-c.stage.ctx.Done():
		}
	}
}
