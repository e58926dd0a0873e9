// Package toy is a small stand-in for a deployment: edge caches, a parent, the origin and the command channel, in
// the public form of the protocol. It serves the example and the tests, and measures nothing.
package toy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Node is one of the deployment's, with what it holds.
type Node struct {
	Name, Kind, Zone string
	Booted           int64
	Status           string
	listener         net.Listener
	world            *World
	held             map[string]copied
}

type copied struct {
	tag  string
	born int64
	body []byte
}

// World is a whole deployment. Its lock guards all that its nodes hold.
type World struct {
	// Before is asked before a node carries out a command, without the lock; false breaks the connection.
	Before func(n *Node, id, kind string) bool
	// Log hears what happens; nil for nobody.
	Log func(string)

	mu      sync.Mutex
	nodes   []*Node
	purged  map[string]int // how often, by object
	ran     map[string]int // how often each write ran, by its id
	events  [][]byte
	fresh   chan struct{} // closed with the next event
	channel net.Listener
	conns   map[net.Conn]bool
	closed  bool
	live    sync.WaitGroup
}

// New makes a deployment whose command channel listens at an address.
func New(channel string) (*World, error) {
	l, err := net.Listen("tcp", channel)
	if err != nil {
		return nil, err
	}
	w := &World{purged: map[string]int{}, ran: map[string]int{}, fresh: make(chan struct{}), channel: l,
		conns: map[net.Conn]bool{}}
	w.serve(l, w.follow)
	return w, nil
}

// Channel is the address of the command channel.
func (w *World) Channel() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.channel.Addr().String()
}

// MoveChannel has the command channel listen at another address and no more at the old one; its numbers go on.
func (w *World) MoveChannel(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.channel.Close()
	w.channel = l
	w.mu.Unlock()
	w.serve(l, w.follow)
	return nil
}

// Add starts a node; it is in the list from the next call of Known or Publish.
func (w *World) Add(name, kind, zone, address string) (*Node, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Kind: kind, Zone: zone, Status: "ready", listener: l, world: w, held: map[string]copied{}}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.serve(l, n.talk)
	return n, nil
}

// Address is where a node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

func (w *World) serve(l net.Listener, talk func(net.Conn)) {
	w.live.Add(1)
	go func() {
		defer w.live.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			if w.closed {
				c.Close()
				w.mu.Unlock()
				return
			}
			w.conns[c] = true
			w.live.Add(1)
			w.mu.Unlock()
			go func() {
				defer w.live.Done()
				talk(c)
				c.Close()
				w.mu.Lock()
				delete(w.conns, c)
				w.mu.Unlock()
			}()
		}
	}()
}

// Close ends all and waits for it.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	w.channel.Close()
	for _, n := range w.nodes {
		n.listener.Close()
	}
	for c := range w.conns {
		c.Close()
	}
	w.mu.Unlock()
	w.live.Wait()
}

// Ran tells how often a write ran.
func (w *World) Ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

// Hang closes the connections of the command channel and the nodes, as a network fault would.
func (w *World) Hang() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.Close()
	}
}

func (w *World) say(format string, args ...any) {
	if w.Log != nil {
		w.Log(fmt.Sprintf(format, args...))
	}
}

// List is the whole list as the command channel words it.
func (w *World) list(nodes []*Node, whole bool) map[string]any {
	var all []any
	for _, n := range nodes {
		all = append(all, map[string]any{"name": n.Name, "address": n.Address(), "zone": n.Zone, "type": n.Kind,
			"group": 0, "status": n.Status, "weight": 1, "since_ms": n.Booted})
	}
	return map[string]any{"index": 1, "snapshot": whole, "endpoints": all}
}

// Known is what a configuration tells of the channel: all its events up to now.
func (w *World) Known() []byte {
	w.mu.Lock()
	if len(w.events) == 0 {
		w.publish(map[string]any{"nodes": w.list(w.nodes, true)})
	}
	defer w.mu.Unlock()
	return fmt.Appendf(nil, `{"cursor":%d,"cmds":[%s]}`, len(w.events), bytes.Join(w.events, []byte(",")))
}

// SetStatus changes a node's place in the list and tells of it.
func (w *World) SetStatus(n *Node, status string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n.Status = status
	w.publish(map[string]any{"nodes": w.list([]*Node{n}, false)})
}

// Purge makes all copies of an object old and tells of it.
func (w *World) Purge(object string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.purged[object]++
	w.publish(map[string]any{"drop": map[string]any{"id": object, "when": time.Now().UnixMilli()}})
}

func (w *World) publish(event map[string]any) {
	event["cursor"] = len(w.events) + 1
	text, _ := json.Marshal(event)
	w.events = append(w.events, text)
	close(w.fresh)
	w.fresh = make(chan struct{})
}

// follow serves the command channel to one gateway.
func (w *World) follow(c net.Conn) {
	in := bufio.NewReader(c)
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
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for {
		w.mu.Lock()
		var todo []byte
		for ; next < len(w.events); next++ {
			todo = fmt.Appendf(todo, "id: %d\ndata: %s\n\n", next+1, w.events[next])
		}
		fresh, closed := w.fresh, w.closed
		w.mu.Unlock()
		if len(todo) == 0 {
			todo = []byte(": still here\n")
		}
		if _, err := c.Write(todo); err != nil || closed {
			return
		}
		select {
		case <-fresh:
		case <-time.After(time.Second):
		}
	}
}

// talk serves one connection of a gateway to a node. Commands are carried out one by one; that will do for a toy.
func (n *Node) talk(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		words, err := array(in)
		if err != nil {
			return
		}
		switch {
		case words[0] == "GET" && len(words) == 4:
			go func(id, text, body string) {
				fields := map[string]string{}
				for pair := range strings.SplitSeq(text, ",") {
					name, value, _ := strings.Cut(pair, "=")
					fields[name] = value
				}
				if n.world.Before != nil && !n.world.Before(n, id, fields["kind"]) {
					c.Close()
					return
				}
				word, out, answer := n.get(id, fields, body)
				n.world.say("%s: %s %s: %s %s", n.Name, fields["obj"], fields["seg"], word, out)
				answerTo(c, id, word, out, answer)
			}(words[1], words[2], words[3])
		case words[0] == "PING" && len(words) == 2:
			answerTo(c, words[1], "FIT", "-", nil)
		case words[0] == "LOAD" && len(words) == 2:
			answerTo(c, words[1], "FIT", "gauges=inflight:0;util:0", nil)
		case words[0] != "DROP":
			return
		}
	}
}

func answerTo(c net.Conn, id, word, fields string, body []byte) {
	text := fmt.Appendf(nil, "*4\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(id), id, len(word), word,
		len(fields), fields, len(body))
	c.Write(append(append(text, body...), "\r\n"...))
}

// array reads one command, by a reading of its own.
func array(in *bufio.Reader) ([]string, error) {
	count := func(sign byte) (int, error) {
		line, err := in.ReadString('\n')
		if err != nil || line[0] != sign {
			return 0, fmt.Errorf("%q: %v", line, err)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	parts, err := count('*')
	if err != nil || parts < 1 || parts > 4 {
		return nil, fmt.Errorf("an array of %d: %v", parts, err)
	}
	words := make([]string, parts)
	for i := range words {
		size, err := count('$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("a string of %d: %v", size, err)
		}
		b := make([]byte, size+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

func (n *Node) get(id string, fields map[string]string, body string) (word, out string, answer []byte) {
	w := n.world
	w.mu.Lock()
	defer w.mu.Unlock()
	source := w.named(fields["next"])
	if len(body) > 0 {
		if source == nil {
			return "LACK", "-", nil
		}
		w.ran[id]++
		return "DONE", "res=fill", []byte("done")
	}
	key := fields["obj"] + "/" + fields["seg"]
	oldest := time.Now().UnixMilli()
	if limit, _ := strconv.ParseInt(fields["agelim"], 10, 64); limit > 0 {
		oldest -= limit
	} else {
		oldest = 0
	}
	got, held := n.held[key]
	note := "warm"
	if !held || got.born < oldest {
		ways := strings.Split(fields["ways"], "+")
		if source == nil {
			return "LACK", "-", nil
		}
		if got, held = source.held[key]; !held || got.born < oldest {
			if source.Kind == "parent" && contains(ways, "h") {
				return "LACK", "-", nil
			}
			got = w.make(fields["obj"], fields["seg"])
			if source.Kind == "parent" && !contains(ways, "n") {
				source.held[key] = got
			}
		}
		if note = "fill"; fields["admit"] != "" {
			n.held[key] = got
		}
	}
	out = fmt.Sprintf("res=%s,sum=%s,t0=%d,gauges=inflight:1;util:0.1", note, got.tag, got.born)
	if fields["cached"] == got.tag {
		return "KEEP", out, nil
	}
	return "DONE", out, got.body
}

func contains(words []string, word string) bool {
	for _, w := range words {
		if w == word {
			return true
		}
	}
	return false
}

func (w *World) named(name string) *Node {
	for _, n := range w.nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// make is the origin's work: some kilobytes that tell which object, part and edition they are.
func (w *World) make(object, part string) copied {
	text := fmt.Sprintf("object %s part %s edition %d\n", object, part, w.purged[object])
	h := fnv.New64a()
	io.WriteString(h, text)
	return copied{tag: fmt.Sprintf("%016x", h.Sum64()), born: time.Now().UnixMilli(), body: bytes.Repeat([]byte(text), 500)}
}

// Body is what the origin gives out for a part of an object now.
func (w *World) Body(object, part string) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.make(object, part).body
}

// Tag is that of the copy that the origin gives out now.
func (w *World) Tag(object, part string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.make(object, part).tag
}
