package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Get is a request that came to a cache, a parent or the origin.
type Get struct {
	Node   string
	ID     string
	Fields map[string]string
	Body   []byte
	At     time.Time // when its first byte was read
}

// Reply is the answer to a Get.
type Reply struct {
	After  time.Duration // time until it is sent
	Word   string        // DONE, LACK, WAIT or BROKE; empty: no answer at all
	Fields string
	Body   []byte
}

// Cache is a stand-in for a cache, a parent or the origin, as PROTOCOL.md describes them.
type Cache struct {
	Name    string
	Address string
	handle  func(Get) Reply
	ln      net.Listener
	mu      sync.Mutex
	gets    []Get
	conns   map[net.Conn]bool
}

// NewCache starts a cache on a free loopback address. Handle decides about each request.
func NewCache(name string, handle func(Get) Reply) (*Cache, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, Address: ln.Addr().String(), handle: handle, ln: ln, conns: map[net.Conn]bool{}}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[nc] = true
			c.mu.Unlock()
			go c.serve(nc)
		}
	}()
	return c, nil
}

// Close ends the cache and resets its connections.
func (c *Cache) Close() {
	c.ln.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		nc.Close()
	}
}

// Gets returns all requests so far.
func (c *Cache) Gets() []Get {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Get(nil), c.gets...)
}

func (c *Cache) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		c.mu.Lock()
		delete(c.conns, nc)
		c.mu.Unlock()
	}()
	var writeMu sync.Mutex
	write := func(words ...string) {
		var b strings.Builder
		fmt.Fprintf(&b, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
		}
		writeMu.Lock()
		defer writeMu.Unlock()
		io.WriteString(nc, b.String())
	}
	var mu sync.Mutex
	pending := map[string]*time.Timer{}
	r := bufio.NewReader(nc)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		at := time.Now()
		words, err := readArray(r)
		if err != nil || len(words) < 2 {
			return
		}
		id := words[1]
		switch words[0] {
		case "PING", "LOAD":
			write(id, "FIT", "gauges=inflight:1;util:0.2", "")
		case "DROP":
			mu.Lock()
			if t := pending[id]; t != nil {
				t.Stop()
				delete(pending, id)
			}
			mu.Unlock()
		case "GET":
			get := Get{Node: c.Name, ID: id, Fields: map[string]string{}, At: at}
			if len(words) > 2 {
				for pair := range strings.SplitSeq(words[2], ",") {
					name, value, _ := strings.Cut(pair, "=")
					get.Fields[name] = value
				}
			}
			if len(words) > 3 {
				get.Body = []byte(words[3])
			}
			c.mu.Lock()
			c.gets = append(c.gets, get)
			c.mu.Unlock()
			reply := c.handle(get)
			if reply.Word == "" {
				continue
			}
			mu.Lock()
			pending[id] = time.AfterFunc(reply.After, func() {
				mu.Lock()
				_, open := pending[id]
				delete(pending, id)
				mu.Unlock()
				if open {
					write(id, reply.Word, reply.Fields, string(reply.Body))
				}
			})
			mu.Unlock()
		}
	}
}

func readArray(r *bufio.Reader) ([]string, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range n {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

func readLength(r *bufio.Reader, prefix byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if line == "" || line[0] != prefix {
		return 0, fmt.Errorf("%q instead of a length", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("invalid length %q", line)
	}
	return n, nil
}
