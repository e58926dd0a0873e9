package driver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"poppymill/internal/quorum"
)

// Limits of a connection between two peers. Raft retransmits what is lost, so a full queue only costs time.
const (
	queueCapacity      = 256 // frames
	largeQueueCapacity = 4   // frames that are sent in fragments
	writeTimeout       = 2 * time.Second
	dialTimeout        = time.Second
	redialDelay        = 100 * time.Millisecond
	maxNameBytes       = 100
	maxQueuedBytes     = quorum.MaxReassembledSize + 4*quorum.MaxFrameSize // of both queues
)

// peers manages the connections with other gateways. The first frame on a connection is a KindHello with the name of the
// side that opened it and the name of the gateway that it means, as another process may have taken over that one's
// address. The other side answers with a KindHello and its own name. Only if that is the name that was meant, both sides
// send frames.
type peers struct {
	name        string
	listener    net.Listener
	address     func(name string) string // empty: unknown
	onFrame     func(from string, f quorum.Frame, answer func(quorum.Frame))
	onLost      func(to string)
	onMismatch  func(meant, answered string) // another gateway answers at the address of a peer; nil: nothing
	mu          sync.Mutex
	mismatches  map[string]string // by name of the peer: who answered last at its address; empty while it does itself
	maxConns    int
	idleTimeout time.Duration        // a connection that received nothing for so long is closed
	links       map[string]*link     // by name of the peer
	lastDial    map[string]time.Time // when the last dial to a peer ended
	dialling    map[string]bool
	conns       map[net.Conn]bool
	goroutines  sync.WaitGroup
	framesSent  atomic.Uint64
	ctx         context.Context
	stop        context.CancelFunc
}

// link is a connection with a peer.
type link struct {
	conn        net.Conn
	queue       chan []byte
	largeQueue  chan [][]byte // frames in fragments; small frames are sent in between
	queuedBytes atomic.Int64
	confirmed   chan struct{} // closed once the other side has answered the hello
	mu          sync.Mutex
	state       linkState
	notSent     []func() // of the frames queued while unconfirmed
}

// linkState is how far a connection that this side opened has come.
type linkState int

const (
	linkUnconfirmed linkState = iota // nothing but the hello has been sent
	linkConfirmed
	linkEnded // before it was confirmed
)

// send queues a frame. If it is certain that no byte of it is sent, notSent is called.
func (l *link) send(f quorum.Frame, notSent func()) bool {
	l.mu.Lock()
	queued := l.state != linkEnded && l.enqueue(f)
	if queued && l.state == linkUnconfirmed {
		l.notSent = append(l.notSent, notSent)
	}
	l.mu.Unlock()
	if !queued {
		notSent()
	}
	return queued
}

// confirm lets the queued frames go out.
func (l *link) confirm() {
	l.mu.Lock()
	l.state, l.notSent = linkConfirmed, nil
	l.mu.Unlock()
	close(l.confirmed)
}

// end tells the senders of frames that were never sent, if the connection ends unconfirmed.
func (l *link) end() {
	l.mu.Lock()
	if l.state != linkUnconfirmed {
		l.mu.Unlock()
		return
	}
	notSent := l.notSent
	l.state, l.notSent = linkEnded, nil
	l.mu.Unlock()
	for _, tell := range notSent {
		tell()
	}
}

// newPeers returns the peers of a gateway; serve starts accepting connections.
func newPeers(name string, l net.Listener, maxConns int, idleTimeout time.Duration) *peers {
	p := &peers{name: name, listener: l, maxConns: maxConns, idleTimeout: idleTimeout, links: map[string]*link{}, lastDial: map[string]time.Time{},
		dialling: map[string]bool{}, conns: map[net.Conn]bool{}, mismatches: map[string]string{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// serve accepts connections until close.
func (p *peers) serve() {
	p.spawn(func() {
		for {
			conn, err := p.listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				select {
				case <-time.After(10 * time.Millisecond): // a shortage of file descriptors is temporary
					continue
				case <-p.ctx.Done():
					return
				}
			}
			p.run(conn, "")
		}
	})
}

// spawn runs a function in a goroutine that close waits for.
func (p *peers) spawn(do func()) {
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		do()
	}()
}

// run reads and writes a connection until it ends. The peer's name is empty when the peer opened the connection; else
// this side did. It returns nil if there are too many connections.
func (p *peers) run(conn net.Conn, name string) *link {
	l := &link{conn: conn, queue: make(chan []byte, queueCapacity), largeQueue: make(chan [][]byte, largeQueueCapacity), confirmed: make(chan struct{})}
	if name == "" {
		l.confirm()
	}
	p.mu.Lock()
	if p.ctx.Err() != nil || len(p.conns) >= p.maxConns {
		p.mu.Unlock()
		conn.Close()
		return nil
	}
	p.conns[conn] = true
	if name != "" {
		p.links[name] = l
	}
	p.mu.Unlock()
	ended := make(chan bool)
	p.spawn(func() {
		if name != "" {
			hello := quorum.Frame{Kind: quorum.KindHello, Data: []byte(p.name), To: name}.Append(nil)
			l.queuedBytes.Add(int64(len(hello)))
			if l.write(hello) != nil {
				conn.Close()
				return
			}
		}
		select {
		case <-l.confirmed:
			l.writeQueue(ended)
		case <-ended:
		}
	})
	p.spawn(func() {
		name := p.readFrames(l, name)
		close(ended)
		conn.Close()
		l.end()
		p.mu.Lock()
		delete(p.conns, conn)
		current := p.links[name] == l // another connection with the peer may have replaced it
		if current {
			delete(p.links, name)
		}
		p.mu.Unlock()
		if name != "" && current {
			p.onLost(name)
		}
	})
	return l
}

// writeQueue writes the queued frames until the connection ends.
func (l *link) writeQueue(ended <-chan bool) {
	for {
		var err error
		select {
		case b := <-l.queue:
			err = l.write(b)
		case fragments := <-l.largeQueue:
			for _, b := range fragments {
				for range len(l.queue) {
					err = errors.Join(err, l.write(<-l.queue))
				}
				if err = errors.Join(err, l.write(b)); err != nil {
					break
				}
			}
		case <-ended:
			return
		}
		if err != nil {
			l.conn.Close()
			return
		}
	}
}

// readFrames passes on the frames of a connection until it ends, and returns the name of the peer; empty if it is not known.
func (p *peers) readFrames(l *link, name string) string {
	r := bufio.NewReader(l.conn)
	var joiner quorum.Reassembler
	greeted := false
	for {
		l.conn.SetReadDeadline(time.Now().Add(p.idleTimeout))
		f, err := readFrame(r)
		if err != nil {
			return name
		}
		f, whole, err := joiner.Add(f)
		if err != nil {
			return name
		}
		if !whole {
			continue
		}
		switch {
		case greeted:
			p.onFrame(name, f, func(f quorum.Frame) { l.enqueue(f) })
		case f.Kind != quorum.KindHello || len(f.Data) == 0 || len(f.Data) > maxNameBytes:
			return name
		case name != "":
			if !p.checkAnswer(l, name, string(f.Data)) {
				return name
			}
			greeted = true
		default:
			if f.To != "" {
				l.enqueue(quorum.Frame{Kind: quorum.KindHello, Data: []byte(p.name)})
			}
			if f.To != "" && f.To != p.name {
				continue // the other side closes the connection once it has the answer
			}
			name, greeted = string(f.Data), true
			p.mu.Lock()
			p.links[name] = l
			p.mu.Unlock()
		}
	}
}

// checkAnswer confirms a connection if the gateway that answered is the one that was meant.
func (p *peers) checkAnswer(l *link, meant, answered string) bool {
	p.mu.Lock()
	other := ""
	if answered != meant {
		other = answered
	}
	changed := p.mismatches[meant] != other
	p.mismatches[meant] = other
	p.mu.Unlock()
	if answered == meant {
		l.confirm()
		return true
	}
	if changed && p.onMismatch != nil {
		p.onMismatch(meant, answered)
	}
	return false
}

// write writes the bytes of a queued frame or fragment.
func (l *link) write(b []byte) error {
	l.queuedBytes.Add(-int64(len(b)))
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := l.conn.Write(b)
	return err
}

// enqueue queues a frame for sending. It drops the frame and returns false when the queue is full.
func (l *link) enqueue(f quorum.Frame) bool {
	fragments, bytes := f.Fragments(), int64(0)
	for _, b := range fragments {
		bytes += int64(len(b))
	}
	if l.queuedBytes.Add(bytes) > maxQueuedBytes {
		l.queuedBytes.Add(-bytes)
		return false
	}
	if len(fragments) == 1 {
		select {
		case l.queue <- fragments[0]:
			return true
		default:
		}
	} else {
		select {
		case l.largeQueue <- fragments:
			return true
		default:
		}
	}
	l.queuedBytes.Add(-bytes)
	return false
}

// readFrame reads one frame.
func readFrame(r io.Reader) (f quorum.Frame, err error) {
	var header [quorum.FrameHeaderSize]byte
	if _, err = io.ReadFull(r, header[:]); err != nil {
		return f, err
	}
	length, err := quorum.ContentLength(header)
	if err != nil {
		return f, err
	}
	content := make([]byte, length)
	if _, err = io.ReadFull(r, content); err != nil {
		return f, err
	}
	return quorum.DecodeFrame(header, content)
}

// send queues a frame for a peer, or opens a connection to the peer with it. While the connection is being opened
// further frames are dropped; their senders retry. When no byte of the frame can have been sent, notSent is called, from
// any goroutine; it may be nil.
func (p *peers) send(to string, f quorum.Frame, notSent func()) {
	if notSent == nil {
		notSent = func() {}
	}
	p.mu.Lock()
	l := p.links[to]
	if l == nil {
		address := p.address(to)
		if address == "" || p.dialling[to] || time.Since(p.lastDial[to]) < redialDelay || p.ctx.Err() != nil {
			p.mu.Unlock()
			notSent()
			return
		}
		p.dialling[to] = true
		p.mu.Unlock()
		p.spawn(func() {
			ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
			defer cancel()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			p.mu.Lock()
			delete(p.dialling, to)
			p.lastDial[to] = time.Now()
			p.mu.Unlock()
			if err != nil {
				p.onLost(to)
				notSent()
				return
			}
			l := p.run(conn, to)
			if l == nil {
				notSent()
				return
			}
			if l.send(f, notSent) {
				p.framesSent.Add(1)
			}
		})
		return
	}
	p.mu.Unlock()
	if l.send(f, notSent) {
		p.framesSent.Add(1)
	}
}

// close closes all connections and waits for the goroutines to end.
func (p *peers) close() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	for conn := range p.conns {
		conn.Close()
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
