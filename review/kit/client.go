package kit

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is the whole answer to a request.
type Answer struct {
	Status int
	Fields map[string]string
	Body   string
	At     time.Time
}

// Request is a request on a connection of a web server.
type Request struct {
	ID       string // X-Job-Id
	Label    string
	number   uint16
	mu       sync.Mutex
	lastByte time.Time // when the last byte had been written; zero: not whole
	stdout   []byte
	answer   *Answer
	second   bool // another answer came after the first
	done     chan struct{}
}

// Whole returns when the request had been written whole; false if it has not been.
func (r *Request) Whole() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastByte, !r.lastByte.IsZero()
}

// Answer returns the answer, if there is one.
func (r *Request) Answer() (Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answer == nil {
		return Answer{}, false
	}
	return *r.answer, true
}

// Wait waits for the answer.
func (r *Request) Wait(d time.Duration) (Answer, bool) {
	select {
	case <-r.done:
	case <-time.After(d):
	}
	return r.Answer()
}

// Conn is a FastCGI connection from a web server to a gateway. Requests may be open on it together.
type Conn struct {
	nc       net.Conn
	mu       sync.Mutex // guards open, last and closedAt
	writeMu  sync.Mutex // for one record after another
	open     map[uint16]*Request
	last     uint16
	closedAt time.Time // when its end was seen; zero: it is up
}

// Dial connects to a gateway.
func Dial(address string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{nc: nc, open: map[uint16]*Request{}}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.nc.Close() }

// Closed returns when the end of the connection was seen.
func (c *Conn) Closed() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedAt, !c.closedAt.IsZero()
}

// NewID returns an id of 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Params returns the parameters of a download.
func Params(class, id, object string, part, group int, allow time.Duration) map[string]string {
	return map[string]string{"REQUEST_METHOD": "GET", "SCRIPT_NAME": "/invoke/" + class, "HTTP_X_JOB_ID": id, "HTTP_X_ITEM": object,
		"HTTP_X_N": strconv.Itoa(part), "HTTP_X_SHARD": strconv.Itoa(group), "HTTP_X_ALLOW_MS": strconv.FormatInt(allow.Milliseconds(), 10)}
}

func record(typ byte, id uint16, content []byte) []byte {
	b := append([]byte{1, typ}, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint16(b[2:], id)
	binary.BigEndian.PutUint16(b[4:], uint16(len(content)))
	return append(b, content...)
}

// Begin writes a request but for the end of its body, and returns it.
func (c *Conn) Begin(params map[string]string) *Request {
	r := &Request{ID: params["HTTP_X_JOB_ID"], done: make(chan struct{})}
	c.mu.Lock()
	for c.last = c.last%32 + 1; c.open[c.last] != nil; c.last = c.last%32 + 1 {
	}
	r.number = c.last
	c.open[r.number] = r
	c.mu.Unlock()
	var pairs []byte
	for name, value := range params {
		pairs = binary.BigEndian.AppendUint32(append(pairs, byte(len(name))), uint32(len(value))|1<<31)
		pairs = append(append(pairs, name...), value...)
	}
	out := record(1, r.number, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	out = append(append(out, record(4, r.number, pairs)...), record(4, r.number, nil)...)
	c.write(out)
	return r
}

// Body writes a piece of a request's body.
func (c *Conn) Body(r *Request, piece []byte) { c.write(record(5, r.number, piece)) }

// End writes the end of a request's body, after which the request is whole. It reports whether the connection took it.
func (c *Conn) End(r *Request) bool {
	err := c.write(record(5, r.number, nil))
	if err == nil {
		r.mu.Lock()
		r.lastByte = time.Now()
		r.mu.Unlock()
	}
	return err == nil
}

// Send writes a whole request.
func (c *Conn) Send(params map[string]string, body []byte) *Request {
	r := c.Begin(params)
	if len(body) > 0 {
		c.Body(r, body)
	}
	c.End(r)
	return r
}

// OpenRequests returns how many requests have no answer yet.
func (c *Conn) OpenRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (c *Conn) write(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.nc.Write(b)
	return err
}

func (c *Conn) read() {
	defer func() {
		c.mu.Lock()
		c.closedAt = time.Now()
		c.mu.Unlock()
	}()
	b := bufio.NewReader(c.nc)
	for {
		var header [8]byte
		if _, err := io.ReadFull(b, header[:]); err != nil {
			return
		}
		content := make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
		if _, err := io.ReadFull(b, content); err != nil {
			return
		}
		content = content[:len(content)-int(header[6])]
		id := binary.BigEndian.Uint16(header[2:])
		c.mu.Lock()
		r := c.open[id]
		if r != nil && header[1] == 3 {
			delete(c.open, id)
		}
		c.mu.Unlock()
		switch {
		case r == nil:
		case header[1] == 6:
			r.stdout = append(r.stdout, content...)
		case header[1] == 3:
			r.finish(content)
		}
	}
}

func (r *Request) finish(end []byte) {
	a := &Answer{At: time.Now(), Fields: map[string]string{}}
	if len(end) == 8 && end[4] != 0 {
		a.Status = 503 // refused at the protocol level
	}
	head, body, _ := strings.Cut(string(r.stdout), "\r\n\r\n")
	a.Body = body
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		a.Fields[name] = value
	}
	if text, _, _ := strings.Cut(a.Fields["Status"], " "); text != "" {
		a.Status, _ = strconv.Atoi(text)
	}
	r.mu.Lock()
	if r.second = r.answer != nil; !r.second {
		r.answer = a
		close(r.done)
	}
	r.mu.Unlock()
}
