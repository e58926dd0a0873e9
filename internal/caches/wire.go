package caches

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"poppymill/internal/assert"
	"poppymill/internal/buffer"
)

// Item is one command on its way to a node.
type Item struct {
	head  []byte
	body  *buffer.Chain
	state atomic.Int32
}

const (
	queued int32 = iota
	taken        // being written: it may be whole at the node before the writer knows
	written
)

// Wire is a connection as the pool sees it: it never blocks, and tells what happens by events.
type Wire interface {
	Send(*Item) bool                // false: too much waits already
	Remove(*Item) bool              // true: it was not taken yet and never will be
	Stuck() bool                    // the node has not read for longer than any write takes
	Heard() (at float64, amid bool) // when bytes last came, and whether an answer is not whole yet
	Close()                         // gives up all that is open on it
}

// Event is one of the types below.
type Event any

// What a wire tells.
type (
	// Up tells that a connection is there.
	Up struct {
		Wire Wire
		At   float64
	}
	// Answered is one answer.
	Answered struct {
		Wire  Wire
		Reply Reply
		At    float64
	}
	// Down is the last that a wire tells. Why is nil where the peer or the gateway closed it.
	Down struct {
		Wire Wire
		Up   bool // it had been up
		Bad  error
		At   float64
	}
)

// Dialer opens wires over TCP.
type Dialer struct {
	Pool    *buffer.Pool // for bodies
	Reads   *buffer.Pool // for reading; one for each connection
	Now     func() float64
	Connect time.Duration
	Post    func(Event) // may block for as long as the gateway is busy
	Live    sync.WaitGroup
}

// Dial starts a connection; what becomes of it is told by events.
func (d *Dialer) Dial(address string) Wire {
	w := &wire{dialer: d, wake: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	d.Live.Add(1)
	go w.run(address)
	return w
}

// Bounds of what waits to be written; past them a node has not read for long.
const (
	mostItems = 256
	blocked   = 10 * time.Millisecond
)

type wire struct {
	dialer *Dialer
	mu     sync.Mutex
	nc     net.Conn
	queue  []*Item
	closed bool
	wake   chan struct{}
	since  atomic.Int64    // when the write under way began, in Unix ns; 0: none is
	heard  atomic.Uint64   // when bytes last came, as the bits of a float64
	amid   atomic.Bool     // an answer is not whole yet
	ctx    context.Context // ends with the wire
	cancel context.CancelFunc
}

func (w *wire) Send(i *Item) bool {
	w.mu.Lock()
	full := len(w.queue) >= mostItems || w.closed
	if !full {
		w.queue = append(w.queue, i)
	}
	w.mu.Unlock()
	if full {
		i.body.Release()
		return false
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

func (w *wire) Remove(i *Item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i.state.Load() != queued {
		return false
	}
	for n, q := range w.queue {
		if q == i {
			w.queue = append(w.queue[:n], w.queue[n+1:]...)
			i.body.Release()
			return true
		}
	}
	return true // a wire that closed let go of it unwritten
}

func (w *wire) Stuck() bool {
	since := w.since.Load()
	return since != 0 && time.Now().UnixNano()-since > int64(blocked)
}

func (w *wire) Heard() (float64, bool) { return math.Float64frombits(w.heard.Load()), w.amid.Load() }

func (w *wire) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.cancel()
	if w.nc != nil {
		w.nc.Close()
	}
}

func (w *wire) run(address string) {
	defer w.dialer.Live.Done()
	d := net.Dialer{Timeout: w.dialer.Connect}
	nc, err := d.DialContext(w.ctx, "tcp", address)
	w.mu.Lock()
	if err == nil && w.closed {
		nc.Close()
		err = net.ErrClosed
	}
	w.nc = nc
	w.mu.Unlock()
	var bad error
	if err == nil {
		w.dialer.Post(Up{Wire: w, At: w.dialer.Now()})
		done := make(chan struct{})
		go func() {
			w.write()
			close(done)
		}()
		bad = w.read()
		w.Close()
		<-done
	}
	w.Close()
	w.mu.Lock()
	for _, i := range w.queue {
		i.body.Release()
	}
	w.queue = nil
	w.mu.Unlock()
	w.dialer.Post(Down{Wire: w, Up: err == nil, Bad: bad, At: w.dialer.Now()})
}

func (w *wire) read() error {
	b := w.dialer.Reads.Get()
	if b == nil {
		return errNoBuffer
	}
	defer w.dialer.Reads.Put(b)
	b = b[:cap(b)]
	p := NewParser(w.dialer.Pool)
	defer p.Release()
	var found []Reply
	for {
		n, err := w.nc.Read(b)
		at := w.dialer.Now()
		var bad error
		found, bad = p.Feed(b[:n], found[:0])
		w.heard.Store(math.Float64bits(at))
		w.amid.Store(p.Amid())
		for i, r := range found {
			w.dialer.Post(Answered{Wire: w, Reply: r, At: at})
			found[i] = Reply{}
		}
		if bad != nil || err != nil {
			return bad
		}
	}
}

func (w *wire) write() {
	defer w.nc.Close()
	var pieces net.Buffers
	var limit time.Time
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
		}
		w.mu.Lock()
		todo := w.queue
		w.queue = nil
		for _, i := range todo {
			i.Take()
		}
		w.mu.Unlock()
		pieces = pieces[:0]
		for _, i := range todo {
			pieces = i.Pieces(pieces)
		}
		// A connection that can't take a command in about the time in which it must come up counts as down too.
		// Setting the limit costs as much as a small write, so it is set for more than one.
		now := time.Now()
		if limit.Sub(now) < w.dialer.Connect {
			limit = now.Add(2 * w.dialer.Connect)
			w.nc.SetWriteDeadline(limit)
		}
		w.since.Store(now.UnixNano())
		rest := pieces
		n, err := rest.WriteTo(w.nc)
		w.since.Store(0)
		clear(pieces)
		for _, i := range todo {
			n -= i.size()
			i.Wrote(n >= 0)
		}
		assert.That(err != nil || n == 0, "a write without error is whole")
		if err != nil {
			return
		}
	}
}

var lineEnd = []byte("\r\n")

// Take tells that the item is about to be written: from now on it may be whole at the node at any time.
func (i *Item) Take() { i.state.Store(taken) }

// Pieces appends what is to be written.
func (i *Item) Pieces(to [][]byte) [][]byte {
	to = append(append(to, i.head), i.body.Parts()...)
	if i.body != nil {
		to = append(to, lineEnd)
	}
	return to
}

// Wrote tells whether all of it was written before the connection ended. If not, it never was whole at the node
// and never will be.
func (i *Item) Wrote(whole bool) {
	if whole {
		i.state.Store(written)
	} else {
		i.state.Store(queued)
	}
	i.body.Release()
}

func (i *Item) size() int64 {
	n := len(i.head) + i.body.Len()
	if i.body != nil {
		n += len(lineEnd)
	}
	return int64(n)
}
