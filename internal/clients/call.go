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

// Response is the response of a gateway to a request.
type Response struct {
	Status int
	Fields map[string]string
	Body   []byte
}

// Client is a FastCGI client: the web server's end of one connection to a gateway. It multiplexes requests, whose responses
// may arrive in any order.
type Client struct {
	nc       net.Conn
	mu       sync.Mutex
	open     map[uint16]*pendingRequest
	lastID   uint16
	closeErr error // why the connection has ended; nil: it is up
}

// pendingRequest is a request that waits for its response.
type pendingRequest struct {
	output []byte // stdout received so far
	done   func(Response, error)
}

// ErrTooManyRequests is returned when a connection has the maximum number of open requests.
var ErrTooManyRequests = errors.New("too many open requests on the connection")

// Dial connects to a gateway; the context applies to the dialling only.
func Dial(ctx context.Context, address string) (*Client, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{nc: nc, open: map[uint16]*pendingRequest{}}
	go c.readLoop()
	return c, nil
}

// Send sends a request. done is called once, from another goroutine, with the response or with the reason why there is
// none. It is not called if Send returns an error.
func (c *Client) Send(params map[string]string, body []byte, done func(Response, error)) (id uint16, err error) {
	var pairs []byte
	names := make([]string, 0, len(params))
	for name := range params {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, text := range []string{name, params[name]} {
			pairs = binary.BigEndian.AppendUint32(pairs, uint32(len(text))|1<<31)
		}
		pairs = append(append(pairs, name...), params[name]...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, c.closeErr
	}
	if len(c.open) >= maxOpenRequests {
		return 0, ErrTooManyRequests
	}
	for id = c.lastID%maxOpenRequests + 1; c.open[id] != nil; id = id%maxOpenRequests + 1 {
	}
	c.lastID = id
	c.open[id] = &pendingRequest{done: done}
	out := appendRecord(nil, typeBeginRequest, id, []byte{1: roleResponder, 2: flagKeepConn, 7: 0})
	out = appendRecord(appendRecord(out, typeParams, id, pairs), typeParams, id, nil)
	for len(body) > 0 {
		n := min(len(body), 1<<15)
		out = appendRecord(out, typeStdin, id, body[:n])
		body = body[n:]
	}
	if _, err = c.nc.Write(appendRecord(out, typeStdin, id, nil)); err != nil {
		delete(c.open, id)
		c.nc.Close()
	}
	return id, err
}

// Abort aborts a request; its done function is still called.
func (c *Client) Abort(id uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id] != nil && c.closeErr == nil {
		c.nc.Write(appendRecord(nil, typeAbortRequest, id, nil))
	}
}

// Open returns the number of requests that wait for their response, and whether the connection is still up.
func (c *Client) Open() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), c.closeErr == nil
}

// Close closes the connection; all open requests fail.
func (c *Client) Close() { c.nc.Close() }

// readLoop reads until the connection ends, and then fails all open requests.
func (c *Client) readLoop() {
	err := c.readRecords()
	c.nc.Close()
	c.mu.Lock()
	c.closeErr = err
	open := c.open
	c.open = map[uint16]*pendingRequest{}
	c.mu.Unlock()
	for _, request := range open {
		request.done(Response{}, err)
	}
}

// readRecords reads records and completes requests until an error.
func (c *Client) readRecords() error {
	for reader := bufio.NewReader(c.nc); ; {
		var header [headerLen]byte
		if _, err := io.ReadFull(reader, header[:]); err != nil {
			return err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
		if _, err := io.ReadFull(reader, content); err != nil {
			return err
		}
		content = content[:len(content)-int(header[6])]
		id := binary.BigEndian.Uint16(header[2:])
		c.mu.Lock()
		request := c.open[id]
		if request != nil && header[1] == typeEndRequest {
			delete(c.open, id)
		}
		c.mu.Unlock()
		switch {
		case request == nil:
			return fmt.Errorf("record for request %d, which is not open", id)
		case header[1] == typeStdout:
			request.output = append(request.output, content...)
		case header[1] == typeEndRequest && (len(content) != 8 || content[4] != statusRequestComplete):
			request.done(Response{Status: 503}, errors.New("request rejected at the protocol level"))
		case header[1] == typeEndRequest:
			request.done(parseResponse(request.output))
		}
	}
}

// Do sends one request to a gateway on a new connection and returns the response.
func Do(ctx context.Context, address string, params map[string]string, body []byte) (Response, error) {
	c, err := Dial(ctx, address)
	if err != nil {
		return Response{}, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, c.Close)()
	type result struct {
		response Response
		err      error
	}
	done := make(chan result, 1)
	if _, err = c.Send(params, body, func(r Response, err error) { done <- result{r, err} }); err != nil {
		return Response{}, err
	}
	got := <-done
	return got.response, got.err
}

// parseResponse parses the header fields and the body that a gateway wrote to its standard output stream.
func parseResponse(output []byte) (Response, error) {
	header, body, ok := strings.Cut(string(output), "\r\n\r\n")
	if !ok {
		return Response{}, errors.New("response has no header")
	}
	r := Response{Fields: map[string]string{}, Body: []byte(body)}
	for line := range strings.SplitSeq(header, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		r.Fields[name] = value
	}
	status, _, _ := strings.Cut(r.Fields["Status"], " ")
	var err error
	if r.Status, err = strconv.Atoi(status); err != nil {
		return r, fmt.Errorf("malformed status %q", status)
	}
	return r, nil
}
