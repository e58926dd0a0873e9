package clients

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Response is what a gateway answered.
type Response struct {
	Status int
	Fields map[string]string
	Body   []byte
}

// Caller is the web server's end of one connection to a gateway. It carries many requests, whose answers may come in any
// order.
type Caller struct {
	nc     net.Conn
	mu     sync.Mutex
	open   map[uint16]*call
	last   uint16
	closed error
}

type call struct {
	text []byte
	done func(Response, error)
}

// ErrFull tells that a connection carries as many requests as it may.
var ErrFull = errors.New("as many requests are open as a connection carries")

// NewCaller dials a gateway; the context bounds the dialling alone.
func NewCaller(ctx context.Context, address string) (*Caller, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Caller{nc: nc, open: map[uint16]*call{}}
	go c.read()
	return c, nil
}

// Ask sends a request; done is called once, from another goroutine, with its answer or why there is none. No call comes
// where an error is returned.
func (c *Caller) Ask(params map[string]string, body []byte, done func(Response, error)) (id uint16, err error) {
	var pairs []byte
	names := make([]string, 0, len(params))
	for name := range params {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, s := range []string{name, params[name]} {
			pairs = binary.BigEndian.AppendUint32(pairs, uint32(len(s))|1<<31)
		}
		pairs = append(append(pairs, name...), params[name]...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return 0, c.closed
	}
	if len(c.open) >= mostOpen {
		return 0, ErrFull
	}
	for id = c.last%mostOpen + 1; c.open[id] != nil; id = id%mostOpen + 1 {
	}
	c.last = id
	c.open[id] = &call{done: done}
	out := record(nil, typeBegin, id, []byte{1: roleResponder, 2: flagKeep, 7: 0})
	out = record(record(out, typeParams, id, pairs), typeParams, id, nil)
	for len(body) > 0 {
		n := min(len(body), 1<<15)
		out = record(out, typeStdin, id, body[:n])
		body = body[n:]
	}
	if _, err = c.nc.Write(record(out, typeStdin, id, nil)); err != nil {
		delete(c.open, id)
		c.nc.Close()
	}
	return id, err
}

// Abort gives a request up; its done is still called.
func (c *Caller) Abort(id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id] != nil && c.closed == nil {
		c.nc.Write(record(nil, typeAbort, id, nil))
	}
}

// Open counts the requests that wait for their answer; false where the connection has ended.
func (c *Caller) Open() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.closed == nil
}

// Close ends the connection, and with it all that is open.
func (c *Caller) Close() { c.nc.Close() }

func (c *Caller) read() {
	err := c.records()
	c.nc.Close()
	c.mu.Lock()
	c.closed = err
	open := c.open
	c.open = map[uint16]*call{}
	c.mu.Unlock()
	for _, o := range open {
		o.done(Response{}, err)
	}
}

func (c *Caller) records() error {
	for in := bufio.NewReader(c.nc); ; {
		var h [headLen]byte
		if _, err := io.ReadFull(in, h[:]); err != nil {
			return err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err := io.ReadFull(in, content); err != nil {
			return err
		}
		content = content[:len(content)-int(h[6])]
		id := binary.BigEndian.Uint16(h[2:])
		c.mu.Lock()
		o := c.open[id]
		if o != nil && h[1] == typeEnd {
			delete(c.open, id)
		}
		c.mu.Unlock()
		switch {
		case o == nil:
			return fmt.Errorf("a record for request %d, which is not open", id)
		case h[1] == typeStdout:
			o.text = append(o.text, content...)
		case h[1] == typeEnd && (len(content) != 8 || content[4] != statusComplete):
			o.done(Response{Status: 503}, errors.New("turned away by the protocol"))
		case h[1] == typeEnd:
			o.done(parse(o.text))
		}
	}
}

// Get sends one request to a gateway on a connection of its own and reads the answer.
func Get(ctx context.Context, address string, params map[string]string, body []byte) (Response, error) {
	c, err := NewCaller(ctx, address)
	if err != nil {
		return Response{}, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, c.Close)()
	type end struct {
		r   Response
		err error
	}
	got := make(chan end, 1)
	if _, err = c.Ask(params, body, func(r Response, err error) { got <- end{r, err} }); err != nil {
		return Response{}, err
	}
	e := <-got
	return e.r, e.err
}

func parse(text []byte) (Response, error) {
	head, body, ok := strings.Cut(string(text), "\r\n\r\n")
	if !ok {
		return Response{}, errors.New("the answer has no head")
	}
	r := Response{Fields: map[string]string{}, Body: []byte(body)}
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		r.Fields[name] = value
	}
	status, _, _ := strings.Cut(r.Fields["Status"], " ")
	var err error
	if r.Status, err = strconv.Atoi(status); err != nil {
		return r, fmt.Errorf("status %q", status)
	}
	return r, nil
}
