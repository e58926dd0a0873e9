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

// Command is one command to a node, in the write queue of a wire.
type Command struct {
	head  []byte
	body  *buffer.Body
	state atomic.Int32
}

// The states of a Command.
const (
	stateQueued  int32 = iota
	stateWriting       // the node may receive all of it before the write returns
	stateWritten
)

// Wire is a connection as the pool uses it. Its methods never block; it reports what happens by events.
type Wire interface {
	Send(*Command) bool                // false: the queue is full, or the wire is closed
	Remove(*Command) bool              // true: the command has not been written and never will be
	Stuck() bool                       // a write has blocked for too long, as the node does not read
	LastRead() (at float64, amid bool) // time of the last read, and whether a reply is incomplete
	Close()                            // closes the connection with everything in flight on it
}

// Event is an Up, Replied or Down event of a wire.
type Event any

// Events of a wire.
type (
	// Up reports that the connection is established.
	Up struct {
		Wire Wire
		At   float64
	}
	// Replied reports a reply.
	Replied struct {
		Wire  Wire
		Reply Reply
		At    float64
	}
	// Down is the last event of a wire. Bad is the protocol error, or nil if the peer or the gateway closed the
	// connection.
	Down struct {
		Wire  Wire
		WasUp bool // it had been established
		Err   error
		At    float64
	}
)

// Dialer opens wires over TCP.
type Dialer struct {
	Bodies         *buffer.Pool // for bodies
	Reads          *buffer.Pool // for reads; one buffer per connection
	Now            func() float64
	ConnectTimeout time.Duration  // connect timeout
	Emit           func(Event)    // may block while the gateway is busy
	Wires          sync.WaitGroup // of the wires that are not down yet
}

// Dial starts to open a connection. Its events report the outcome.
func (d *Dialer) Dial(address string) Wire {
	w := &tcpWire{dialer: d, wake: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	d.Wires.Add(1)
	go w.run(address)
	return w
}

// Limits on unwritten items and on the duration of a write. Beyond them, the node has stopped reading for a while.
const (
	maxQueued  = 256
	stuckAfter = 10 * time.Millisecond
)

// tcpWire is a Wire over TCP, with one goroutine that reads and one that writes.
type tcpWire struct {
	dialer     *Dialer
	mu         sync.Mutex
	netConn    net.Conn
	queue      []*Command
	closed     bool
	wake       chan struct{}
	writeStart atomic.Int64    // start of the current write, in Unix ns; 0: none
	lastRead   atomic.Uint64   // time of the last read, as the bits of a float64
	midReply   atomic.Bool     // a reply has been received in part
	ctx        context.Context // canceled when the wire closes
	cancel     context.CancelFunc
}

func (w *tcpWire) Send(item *Command) bool {
	w.mu.Lock()
	full := len(w.queue) >= maxQueued || w.closed
	if !full {
		w.queue = append(w.queue, item)
	}
	w.mu.Unlock()
	if full {
		item.body.Release()
		return false
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

func (w *tcpWire) Remove(item *Command) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if item.state.Load() != stateQueued {
		return false
	}
	for n, other := range w.queue {
		if other == item {
			w.queue = append(w.queue[:n], w.queue[n+1:]...)
			item.body.Release()
			return true
		}
	}
	return true // the wire closed and released it unwritten
}

func (w *tcpWire) Stuck() bool {
	started := w.writeStart.Load()
	return started != 0 && time.Now().UnixNano()-started > int64(stuckAfter)
}

func (w *tcpWire) LastRead() (float64, bool) {
	return math.Float64frombits(w.lastRead.Load()), w.midReply.Load()
}

func (w *tcpWire) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.cancel()
	if w.netConn != nil {
		w.netConn.Close()
	}
}

// run connects and then serves the connection until it ends.
func (w *tcpWire) run(address string) {
	defer w.dialer.Wires.Done()
	d := net.Dialer{Timeout: w.dialer.ConnectTimeout}
	netConn, err := d.DialContext(w.ctx, "tcp", address)
	w.mu.Lock()
	if err == nil && w.closed {
		netConn.Close()
		err = net.ErrClosed
	}
	w.netConn = netConn
	w.mu.Unlock()
	var protocolErr error
	if err == nil {
		w.dialer.Emit(Up{Wire: w, At: w.dialer.Now()})
		done := make(chan struct{})
		go func() {
			w.write()
			close(done)
		}()
		protocolErr = w.read()
		w.Close()
		<-done
	}
	w.Close()
	w.mu.Lock()
	for _, item := range w.queue {
		item.body.Release()
	}
	w.queue = nil
	w.mu.Unlock()
	w.dialer.Emit(Down{Wire: w, WasUp: err == nil, Err: protocolErr, At: w.dialer.Now()})
}

// read posts replies until the connection ends. It returns an error only if a reply was malformed or no buffer was left.
func (w *tcpWire) read() error {
	b := w.dialer.Reads.Get()
	if b == nil {
		return errNoBuffer
	}
	defer w.dialer.Reads.Put(b)
	b = b[:cap(b)]
	parser := NewParser(w.dialer.Bodies)
	defer parser.Release()
	var replies []Reply
	for {
		n, err := w.netConn.Read(b)
		at := w.dialer.Now()
		var protocolErr error
		replies, protocolErr = parser.Feed(b[:n], replies[:0])
		w.lastRead.Store(math.Float64bits(at))
		w.midReply.Store(parser.MidReply())
		for i, reply := range replies {
			w.dialer.Emit(Replied{Wire: w, Reply: reply, At: at})
			replies[i] = Reply{}
		}
		if protocolErr != nil || err != nil {
			return protocolErr
		}
	}
}

// write writes queued items, as many as there are in one call, until the connection ends.
func (w *tcpWire) write() {
	defer w.netConn.Close()
	var pieces net.Buffers
	var deadline time.Time
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
		}
		w.mu.Lock()
		batch := w.queue
		w.queue = nil
		for _, item := range batch {
			item.MarkWriting()
		}
		w.mu.Unlock()
		pieces = pieces[:0]
		for _, item := range batch {
			pieces = item.Pieces(pieces)
		}
		// A connection that can't take a command within about the connect timeout counts as down too. Setting the deadline
		// costs as much as a small write, so one deadline serves several writes.
		now := time.Now()
		if deadline.Sub(now) < w.dialer.ConnectTimeout {
			deadline = now.Add(2 * w.dialer.ConnectTimeout)
			w.netConn.SetWriteDeadline(deadline)
		}
		w.writeStart.Store(now.UnixNano())
		remaining := pieces
		n, err := remaining.WriteTo(w.netConn)
		w.writeStart.Store(0)
		clear(pieces)
		for _, item := range batch {
			n -= item.size()
			item.MarkWritten(n >= 0)
		}
		assert.That(err != nil || n == 0, "a write without error is complete")
		if err != nil {
			return
		}
	}
}

// lineEnd terminates length lines and strings.
var lineEnd = []byte("\r\n")

// MarkWriting marks the item as being written. From now on the node may have received all of it at any time.
func (i *Command) MarkWriting() { i.state.Store(stateWriting) }

// Pieces appends the bytes to write, as slices for a vectored write.
func (i *Command) Pieces(pieces [][]byte) [][]byte {
	pieces = append(append(pieces, i.head), i.body.Parts()...)
	if i.body != nil {
		pieces = append(pieces, lineEnd)
	}
	return pieces
}

// MarkWritten records whether the whole item was written before the connection ended. If not, the node has not received all
// of it and never will.
func (i *Command) MarkWritten(whole bool) {
	if whole {
		i.state.Store(stateWritten)
	} else {
		i.state.Store(stateQueued)
	}
	i.body.Release()
}

// size returns the length of the item in bytes on the connection.
func (i *Command) size() int64 {
	n := len(i.head) + i.body.Len()
	if i.body != nil {
		n += len(lineEnd)
	}
	return int64(n)
}
