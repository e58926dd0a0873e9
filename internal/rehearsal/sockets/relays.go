package sockets

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"poppymill/internal/rehearsal/script"
)

// relays are TCP relays between each pair of gateways. A gateway dials a peer through the relay of that pair, which can block
// or delay traffic in one direction or both. Blocked data waits, as on a network that loses every packet, and is delivered once
// the cut is healed, unless one side has closed the connection meanwhile.
type relays struct {
	stage         *Stage
	mu            sync.Mutex
	changed       chan bool                // closed, and replaced, at each change of the cuts
	cuts          map[[2]int]int           // number of cuts in force, by sender and receiver
	delays        map[[2]int]time.Duration // by sender and receiver
	peerAddresses []string                 // where each gateway listens for its peers
	listeners     [][]*net.TCPListener     // by dialling gateway, then by the gateway it dials
	conns         map[net.Conn][2]int      // the dialling and the dialled gateway of each connection
	closed        bool
}

func newRelays(s *Stage) *relays {
	return &relays{stage: s, changed: make(chan bool), cuts: map[[2]int]int{}, delays: map[[2]int]time.Duration{}, conns: map[net.Conn][2]int{}}
}

// open reserves peer addresses for n gateways and opens a relay for each ordered pair.
func (r *relays) open(n int) error {
	for range n {
		address, err := reserveAddress()
		if err != nil {
			return err
		}
		r.peerAddresses = append(r.peerAddresses, address)
	}
	for from := range n {
		r.listeners = append(r.listeners, make([]*net.TCPListener, n))
		for to := range n {
			if from == to {
				continue
			}
			l, err := listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			r.listeners[from][to] = l
			r.stage.spawn(func() { r.accept(l, from, to) })
		}
	}
	return nil
}

// quorumConfig returns the quorum, jobs and purges blocks of a gateway's operator's file.
func (r *relays) quorumConfig(n int, q script.Quorum, name func(int) string) string {
	var founders []string
	text := fmt.Sprintf("quorum {\n  listen = %q\n  store = %q\n  beat = \"%.0fms\"\n  election = \"%.0fms\"\n  lease = \"%.0fms\"\n  replace = \"%.0fms\"\n",
		r.peerAddresses[n], (&process{stage: r.stage, number: n}).storePath(), q.Beat, q.Election, q.Lease, q.Replace)
	for i, l := range r.listeners[n] {
		if i < q.Voters {
			founders = append(founders, fmt.Sprintf("%q", name(i)))
		}
		if l != nil {
			text += fmt.Sprintf("  peer %q {\n    address = %q\n  }\n", name(i), l.Addr())
		}
	}
	if n < q.Voters {
		text += "  founders = [" + strings.Join(founders, ", ") + "]\n"
	}
	purges := ""
	if p := r.stage.script.Purges; p.On {
		purges = fmt.Sprintf("purges {\n  delay = \"%.0fms\"\n  skew = \"%.0fms\"\n  rate = %g\n  fills = %g\n  batch = %d\n}\n", p.Delay, p.Skew, p.Rate, p.Fills, p.Batch)
	}
	return text + fmt.Sprintf("}\njobs {\n  effect = \"1s\"\n  again = \"500ms\"\n  hold = \"500ms\"\n  warm_rounds = %d\n}\n", q.Warm) + purges
}

// accept relays each connection that a gateway opens to another.
func (r *relays) accept(l *net.TCPListener, from, to int) {
	for {
		a, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // running out of file descriptors is temporary
			continue
		}
		b, err := net.DialTimeout("tcp", r.peerAddresses[to], time.Second)
		if err != nil {
			a.(*net.TCPConn).SetLinger(0)
			a.Close()
			continue
		}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			a.Close()
			b.Close()
			return
		}
		r.conns[a], r.conns[b] = [2]int{from, to}, [2]int{from, to}
		r.mu.Unlock()
		r.stage.spawn(func() { r.forward(a, b, from, to) })
		r.stage.spawn(func() { r.forward(b, a, to, from) })
	}
}

// forward copies data from one side to the other, subject to the cuts and delays of that direction.
func (r *relays) forward(a, b net.Conn, from, to int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 && r.waitUncut(from, to) && r.waitDelay(from, to) {
			if _, werr := b.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) {
			r.waitUncut(from, to) // a cut holds back the end of the stream as well
		}
		if err != nil {
			break
		}
	}
	a.Close()
	b.Close()
	r.mu.Lock()
	delete(r.conns, a)
	delete(r.conns, b)
	r.mu.Unlock()
}

// waitDelay waits for the delay of a direction. It returns false if the stage has ended.
func (r *relays) waitDelay(from, to int) bool {
	r.mu.Lock()
	delay := r.delays[[2]int{from, to}]
	r.mu.Unlock()
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-r.stage.ctx.Done():
		return false
	}
}

// setDelay sets the delay, in both directions, between some gateways and all others; 0 removes it.
func (r *relays) setDelay(some []int, all int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range some {
		for y := range all {
			r.delays[[2]int{x, y}], r.delays[[2]int{y, x}] = delay, delay
		}
	}
}

// reset closes all connections between some gateways and the others with a TCP reset, as when a middlebox loses its
// connection table.
func (r *relays) reset(some []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, ends := range r.conns {
		if slices.Contains(some, ends[0]) || slices.Contains(some, ends[1]) {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// waitUncut waits until no cut blocks a direction. It returns false if the relays are closed or the stage has ended.
func (r *relays) waitUncut(from, to int) bool {
	for {
		r.mu.Lock()
		open, changed, closed := r.cuts[[2]int{from, to}] == 0, r.changed, r.closed
		r.mu.Unlock()
		if open || closed {
			return !closed
		}
		select {
		case <-changed:
		case <-r.stage.ctx.Done():
			return false
		}
	}
}

// partition cuts some gateways off from the others, or heals such a cut. Cuts are counted, so overlapping ones add up.
func (r *relays) partition(apart []int, all int, oneWay, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := 1
	if !cut {
		step = -1
	}
	for _, x := range apart {
		for y := range all {
			if slices.Contains(apart, y) {
				continue
			}
			r.cuts[[2]int{x, y}] += step
			if !oneWay {
				r.cuts[[2]int{y, x}] += step
			}
		}
	}
	close(r.changed)
	r.changed = make(chan bool)
}

// close closes all relays and their connections.
func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for _, row := range r.listeners {
		for _, l := range row {
			if l != nil {
				l.Close()
			}
		}
	}
	for c := range r.conns {
		c.Close()
	}
	close(r.changed)
	r.changed = make(chan bool)
}
