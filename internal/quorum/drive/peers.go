package drive

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

// Bounds of what goes between two peers. Raft sends again what is lost, so a full queue costs time and nothing else.
const (
	queueMost   = 256
	largeMost   = 4
	writeWithin = 2 * time.Second
	dialWithin  = time.Second
	redialAfter = 100 * time.Millisecond
	queueBytes  = quorum.MostWhole + 4*quorum.MostFrame // that wait for one peer, at most
)

// peers are the connections with other gateways. A connection's first frame names who opened it; frames then go both ways.
type peers struct {
	name     string
	listener net.Listener
	address  func(name string) string
	received func(from string, f quorum.Frame, answer func(quorum.Frame))
	lost     func(to string)
	mu       sync.Mutex
	most     int           // connections
	silent   time.Duration // on which nothing came for so long are closed
	links    map[string]*link
	dialled  map[string]time.Time // when the last call ended
	dialling map[string]bool
	conns    map[net.Conn]bool
	live     sync.WaitGroup
	sent     atomic.Uint64 // frames
	ctx      context.Context
	stop     context.CancelFunc
}

// link is one connection with a peer.
type link struct {
	nc     net.Conn
	queue  chan []byte
	large  chan [][]byte // in pieces, which let what is small go in between
	queued atomic.Int64  // bytes
}

func newPeers(name string, l net.Listener, most int, silent time.Duration) *peers {
	p := &peers{name: name, listener: l, most: most, silent: silent, links: map[string]*link{}, dialled: map[string]time.Time{},
		dialling: map[string]bool{}, conns: map[net.Conn]bool{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// serve accepts until close.
func (p *peers) serve() {
	p.spawn(func() {
		for {
			nc, err := p.listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				select {
				case <-time.After(10 * time.Millisecond): // a shortage of descriptors passes
					continue
				case <-p.ctx.Done():
					return
				}
			}
			p.run(nc, "")
		}
	})
}

func (p *peers) spawn(do func()) {
	p.live.Add(1)
	go func() {
		defer p.live.Done()
		do()
	}()
}

// run reads and writes a connection until it ends; its name is known from the start where this side opened it, to bring a frame.
func (p *peers) run(nc net.Conn, name string, first ...quorum.Frame) {
	l := &link{nc: nc, queue: make(chan []byte, queueMost), large: make(chan [][]byte, largeMost)}
	p.mu.Lock()
	if p.ctx.Err() != nil || len(p.conns) >= p.most {
		p.mu.Unlock()
		nc.Close()
		return
	}
	p.conns[nc] = true
	if name != "" {
		p.links[name] = l
	}
	p.mu.Unlock()
	if name != "" {
		l.post(quorum.Frame{Kind: quorum.Hello, Data: []byte(p.name)})
	}
	for _, f := range first {
		l.post(f)
	}
	ended := make(chan bool)
	p.spawn(func() {
		for {
			var err error
			select {
			case b := <-l.queue:
				err = l.write(b)
			case pieces := <-l.large:
				for _, b := range pieces {
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
				nc.Close()
				return
			}
		}
	})
	p.spawn(func() {
		name := name
		r := bufio.NewReader(nc)
		var joiner quorum.Joiner
		for {
			nc.SetReadDeadline(time.Now().Add(p.silent))
			f, err := read(r)
			if err != nil {
				break
			}
			f, whole, err := joiner.Join(f)
			if err != nil {
				break
			}
			if !whole {
				continue
			}
			if name == "" {
				if f.Kind != quorum.Hello || len(f.Data) == 0 || len(f.Data) > 100 {
					break
				}
				name = string(f.Data)
				p.mu.Lock()
				p.links[name] = l
				p.mu.Unlock()
				continue
			}
			p.received(name, f, func(f quorum.Frame) { l.post(f) })
		}
		close(ended)
		nc.Close()
		p.mu.Lock()
		delete(p.conns, nc)
		last := p.links[name] == l // another connection with it may be there
		if last {
			delete(p.links, name)
		}
		p.mu.Unlock()
		if name != "" && last {
			p.lost(name)
		}
	})
}

func (l *link) write(b []byte) error {
	l.queued.Add(-int64(len(b)))
	l.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	_, err := l.nc.Write(b)
	return err
}

// post puts a frame in the queue, or lets go of it where too much waits.
func (l *link) post(f quorum.Frame) bool {
	pieces, bytes := f.Pieces(), int64(0)
	for _, b := range pieces {
		bytes += int64(len(b))
	}
	if l.queued.Add(bytes) > queueBytes {
		l.queued.Add(-bytes)
		return false
	}
	if len(pieces) == 1 {
		select {
		case l.queue <- pieces[0]:
			return true
		default:
		}
	} else {
		select {
		case l.large <- pieces:
			return true
		default:
		}
	}
	l.queued.Add(-bytes)
	return false
}

func read(r io.Reader) (f quorum.Frame, err error) {
	var head [quorum.FrameHead]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	n, err := quorum.Length(head)
	if err != nil {
		return f, err
	}
	content := make([]byte, n)
	if _, err = io.ReadFull(r, content); err != nil {
		return f, err
	}
	return quorum.Read(head, content)
}

// send puts a frame in a peer's queue, or opens a connection to it for it. While one is being opened what comes more is let go of:
// whoever sent it sends again. Never, where there is one, is called from anywhere where no byte of the frame can have gone out.
func (p *peers) send(to string, f quorum.Frame, never func()) {
	if never == nil {
		never = func() {}
	}
	p.mu.Lock()
	l := p.links[to]
	if l == nil {
		address := p.address(to)
		if address == "" || p.dialling[to] || time.Since(p.dialled[to]) < redialAfter || p.ctx.Err() != nil {
			p.mu.Unlock()
			never()
			return
		}
		p.dialling[to] = true
		p.mu.Unlock()
		p.spawn(func() {
			ctx, cancel := context.WithTimeout(p.ctx, dialWithin)
			defer cancel()
			nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			p.mu.Lock()
			delete(p.dialling, to)
			p.dialled[to] = time.Now()
			p.mu.Unlock()
			if err != nil {
				p.lost(to)
				never()
				return
			}
			p.run(nc, to, f)
		})
		return
	}
	p.mu.Unlock()
	if !l.post(f) {
		never()
		return
	}
	p.sent.Add(1)
}

func (p *peers) close() {
	p.stop()
	p.listener.Close()
	p.mu.Lock()
	for nc := range p.conns {
		nc.Close()
	}
	p.mu.Unlock()
	p.live.Wait()
}
