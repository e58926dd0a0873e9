package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"poppymill/internal/rehearsal/resp"
)

// Command is one GET that came whole to a cache.
type Command struct {
	ID     string
	Fields map[string]string
	At     float64 // Unix ms
}

// Reply is a cache's answer.
type Reply struct {
	Word, Fields string
	Body         []byte
	After        time.Duration
}

// Cache is a stand-in for a cache, a parent or the origin. It answers probes with FIT.
type Cache struct {
	Name, Address string
	c             *Case
	listener      net.Listener
	serve         func(Command) Reply
	mu            sync.Mutex
	conns         map[net.Conn]bool
}

// NewCache starts a cache that answers each GET by serve.
func (c *Case) NewCache(name string, serve func(Command) Reply) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Cache{Name: name, Address: l.Addr().String(), c: c, listener: l, serve: serve, conns: map[net.Conn]bool{}}
	c.OnEnd(n.Close)
	go n.accept()
	return n, nil
}

// Close ends the cache with all its connections.
func (n *Cache) Close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		conn.Close()
	}
}

func (n *Cache) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[conn] = true
		n.mu.Unlock()
		go n.read(conn)
	}
}

func (n *Cache) read(conn net.Conn) {
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	var mu sync.Mutex
	write := func(b []byte) {
		mu.Lock()
		defer mu.Unlock()
		conn.Write(b)
	}
	var reader resp.Reader
	b := make([]byte, 64<<10)
	for {
		k, err := conn.Read(b)
		at := Now()
		commands, parseErr := reader.Feed(b[:k])
		for _, cmd := range commands {
			switch cmd.Verb {
			case "PING", "LOAD":
				write(resp.Answer(nil, cmd.ID, "FIT", "gauges=inflight:0;util:0.1", nil))
			case "GET":
				r := n.serve(Command{ID: cmd.ID, Fields: cmd.Fields, At: at})
				if r.Word == "" {
					continue
				}
				time.AfterFunc(r.After, func() { write(resp.Answer(nil, cmd.ID, r.Word, r.Fields, r.Body)) })
			}
		}
		if err != nil || parseErr != nil {
			return
		}
	}
}

// Copy is a copy of an object: its tag, when the origin gave it out, and its bytes.
type Copy struct {
	Sum  string
	T0   float64 // Unix ms
	Body string
}

// NewCopy returns the copy that the origin gives out now.
func NewCopy(object string) Copy {
	t0 := float64(time.Now().UnixMilli())
	return Copy{Sum: HexID(), T0: t0, Body: fmt.Sprintf("%s as of %.0f", object, t0)}
}

// Done returns the answer with a copy and a note.
func (k Copy) Done(note string) Reply {
	return Reply{Word: "DONE", Fields: fmt.Sprintf("sum=%s,t0=%.0f,res=%s", k.Sum, k.T0, note), Body: []byte(k.Body)}
}

// Channel is a stand-in for the command channel.
type Channel struct {
	Address  string
	c        *Case
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]int64 // the last event sent on each
	silent   bool
	log      *Events
}

// Events are the numbered events of a gateway's channel, which go on when the channel moves.
type Events struct {
	mu   sync.Mutex
	list []string
}

// Add numbers an event and returns its number.
func (e *Events) Add(content map[string]any) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	content["cursor"] = len(e.list) + 1
	text, _ := json.Marshal(content)
	e.list = append(e.list, string(text))
	return int64(len(e.list))
}

// Known returns all events in the form of the configuration.
func (e *Events) Known() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmds := []json.RawMessage{}
	for _, text := range e.list {
		cmds = append(cmds, json.RawMessage(text))
	}
	return map[string]any{"cursor": len(e.list), "cmds": cmds}
}

func (e *Events) after(n int64) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.list[min(int64(len(e.list)), n):]...)
}

// NewChannel opens a command channel that tells the events.
func (c *Case) NewChannel(events *Events) (*Channel, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Channel{Address: l.Addr().String(), c: c, listener: l, conns: map[net.Conn]int64{}, log: events}
	c.OnEnd(func() {
		l.Close()
		h.closeConns()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.answer(conn)
		}
	}()
	return h, nil
}

func (h *Channel) closeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		conn.Close()
	}
}

// Retire takes no new connection and tells nothing more; the open ones end after 1.5 s.
func (h *Channel) Retire() {
	h.listener.Close()
	h.mu.Lock()
	h.silent = true
	h.mu.Unlock()
	time.AfterFunc(1500*time.Millisecond, h.closeConns)
}

func (h *Channel) answer(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	last := int64(0)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line = strings.TrimSpace(line); line == "" {
			break
		}
		if name, value, _ := strings.Cut(line, ":"); strings.EqualFold(name, "Last-Event-ID") {
			last, _ = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		}
	}
	h.c.Log("channel %s: called after event %d", h.Address, last)
	h.mu.Lock()
	h.conns[conn] = last
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, conn)
		h.mu.Unlock()
	}()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n: hello\n\n"); err != nil {
		return
	}
	commented := time.Now()
	for ; ; time.Sleep(10 * time.Millisecond) {
		h.mu.Lock()
		silent := h.silent
		h.mu.Unlock()
		if silent {
			for { // until the connection is closed
				if _, err := r.ReadByte(); err != nil {
					return
				}
			}
		}
		for _, text := range h.log.after(last) {
			last++
			h.c.Log("channel %s: told event %d: %s", h.Address, last, text)
			if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s\n\n", last, text); err != nil {
				return
			}
		}
		if time.Since(commented) >= time.Second {
			commented = time.Now()
			if _, err := fmt.Fprint(conn, ": still here\n\n"); err != nil {
				return
			}
		}
	}
}

// Endpoint returns an entry of the list of caches.
func Endpoint(name, address, zone, kind, status string) map[string]any {
	return map[string]any{"name": name, "address": address, "zone": zone, "type": kind, "group": 0, "status": status, "weight": 9500, "since_ms": 0}
}

// List returns an event with entries of the list of caches.
func List(whole bool, endpoints ...map[string]any) map[string]any {
	return map[string]any{"nodes": map[string]any{"index": 1, "snapshot": whole, "endpoints": endpoints}}
}

// Settings are those of a small deployment like the partner clubs: one club, one hub, the member core.
func Settings(gateways int) map[string]any {
	return map[string]any{
		"azs": []string{"amber", "edge-1"}, "zone": "edge-1", "index": 0, "replicas_of_me": gateways,
		"kinds": []string{"standard", "parent", "origin"}, "weights": "rough", "discovery": "pushed",
		"classes": []map[string]any{
			{"name": "video-parts", "effect": "pure", "promise": 600, "aim_stretch": 2, "hard_limit": 6000, "worth": 2, "late_worth": 0.15},
			{"name": "club-pages", "effect": "pure", "promise": 300, "aim_stretch": 2, "hard_limit": 2500, "worth": 1, "late_worth": 0.2},
			{"name": "renewal", "effect": "side_effect", "promise": 800, "hard_limit": 3000, "worth": 3, "late_worth": 0},
		},
		"extra": map[string]any{"parent_kind": 1, "source_kind": 2, "detail": "hit", "siblings": "none", "bypass_allowed": false, "can_join": false,
			"class_write": []bool{false, false, true}, "in_pieces": []bool{true, false, false}, "max_age": []int{0, 8000, 0}, "grace_for": []int{0, 0, 0},
			"one_flow_kb_per_s": 9500, "seats_by_zone": []int{0, gateways}, "attached_to": []int{0, 0}, "purge_settles": 6000, "heed_within": 500},
		"permissions": map[string]any{"cancel": true, "probing": true, "second_copies": true, "retry_after": true, "max_retry_after": 500,
			"send_cap": 8, "max_open": 2000, "streams_per_conn": 32, "connect_timeout": 400, "keepalive": 30000},
		"report": map[string]any{"how": "answers", "fields": []string{"inflight", "util"}},
		"rules":  map[string]any{"answer_slack": 8, "drain_grace": 250, "cold_share": 0.27, "cold": 17000, "fall": 3000, "fall_multiple": 3},
	}
}

// Configuration returns a gateway's configuration.
func Configuration(channel string, events *Events, gateways int) map[string]any {
	return map[string]any{"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "channel": channel,
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": events.Known(), "settings": Settings(gateways)}
}
