package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is an entry of the list of nodes.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// Channel is a stand-in for the command channel: numbered server-sent events, and a comment each second.
type Channel struct {
	Address string
	record  *Record
	ln      net.Listener
	server  *http.Server
	mu      sync.Mutex
	events  []json.RawMessage // event n stands at n-1
	changed chan struct{}     // closed and replaced with each new event
	delay   time.Duration
	calls   int
}

// NewChannel starts a channel on a free loopback address.
func NewChannel(record *Record) (*Channel, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Channel{Address: ln.Addr().String(), record: record, ln: ln, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cmd/next", c.follow)
	c.server = &http.Server{Handler: mux}
	go c.server.Serve(ln)
	return c, nil
}

// SetAnswerDelay sets the time after which a call gets the first byte of its answer.
func (c *Channel) SetAnswerDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// Close ends the channel.
func (c *Channel) Close() { c.server.Close() }

// Nodes adds an event with a list of nodes, or changes to it, and returns its number.
func (c *Channel) Nodes(snapshot bool, endpoints ...Endpoint) int {
	return c.add(func(n int) any {
		return map[string]any{"cursor": n, "nodes": map[string]any{"index": n, "snapshot": snapshot, "endpoints": endpoints}}
	})
}

// Purge adds an event that purges an object.
func (c *Channel) Purge(object string, when int64) int {
	return c.add(func(n int) any {
		return map[string]any{"cursor": n, "drop": map[string]any{"id": object, "when": when}}
	})
}

func (c *Channel) add(event func(n int) any) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.events) + 1
	text, err := json.Marshal(event(n))
	if err != nil {
		panic(err)
	}
	c.events = append(c.events, text)
	close(c.changed)
	c.changed = make(chan struct{})
	return n
}

// Known is the value of "known" in a configuration: all events up to now.
func (c *Channel) Known() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"cursor": len(c.events), "cmds": append([]json.RawMessage(nil), c.events...)}
}

// Calls returns how often the channel was called.
func (c *Channel) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Channel) follow(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	c.mu.Lock()
	c.calls++
	call, delay := c.calls, c.delay
	c.mu.Unlock()
	c.record.Printf("channel: call %d from event %d", call, last)
	select {
	case <-r.Context().Done():
		c.record.Printf("channel: call %d was given up by the gateway before its answer began", call)
		return
	case <-time.After(delay):
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	w.Write([]byte(": hello\n\n"))
	flusher := w.(http.Flusher)
	flusher.Flush()
	c.record.Printf("channel: call %d is being answered", call)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		c.mu.Lock()
		events, changed := c.events[min(last, len(c.events)):], c.changed
		c.mu.Unlock()
		for _, e := range events {
			last++
			if _, err := w.Write([]byte("id: " + strconv.Itoa(last) + "\ndata: " + string(e) + "\n\n")); err != nil {
				return
			}
			c.record.Printf("channel: call %d got event %d", call, last)
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-tick.C:
			w.Write([]byte(": still here\n\n"))
		}
	}
}
