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

// relays join each pair of gateways: whoever dials a peer dials the relay of that pair, which can hold back what goes one way
// or both. What is held back waits, as on a network that loses every packet, and goes on when the way is mended, unless one side
// has given the connection up meanwhile.
type relays struct {
	stage  *Stage
	mu     sync.Mutex
	mended chan bool // closed, and another put in its place, at each change
	cut    map[[2]int]int
	late   map[[2]int]time.Duration // what goes that way comes so much later
	listen []string                 // where each gateway listens for its peers
	by     [][]*net.TCPListener     // by who dials, then whom
	conns  map[net.Conn][2]int      // by both ends of the way
	closed bool
}

func newRelays(s *Stage) *relays {
	return &relays{stage: s, mended: make(chan bool), cut: map[[2]int]int{}, late: map[[2]int]time.Duration{}, conns: map[net.Conn][2]int{}}
}

// open finds addresses for so many gateways, and a relay for each that dials another.
func (r *relays) open(n int) error {
	for range n {
		address, err := reserve()
		if err != nil {
			return err
		}
		r.listen = append(r.listen, address)
	}
	for from := range n {
		r.by = append(r.by, make([]*net.TCPListener, n))
		for to := range n {
			if from == to {
				continue
			}
			l, err := listen("127.0.0.1:0")
			if err != nil {
				return err
			}
			r.by[from][to] = l
			r.stage.spawn(func() { r.accept(l, from, to) })
		}
	}
	return nil
}

// block is what the operator of a gateway says of the agreement.
func (r *relays) block(n int, q script.Quorum, name func(int) string) string {
	var founders []string
	text := fmt.Sprintf("quorum {\n  listen = %q\n  store = %q\n  beat = \"%.0fms\"\n  election = \"%.0fms\"\n  lease = \"%.0fms\"\n  replace = \"%.0fms\"\n",
		r.listen[n], (&process{stage: r.stage, number: n}).store(), q.Beat, q.Election, q.Lease, q.Replace)
	for i, l := range r.by[n] {
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

func (r *relays) accept(l *net.TCPListener, from, to int) {
	for {
		a, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // a shortage of descriptors passes
			continue
		}
		b, err := net.DialTimeout("tcp", r.listen[to], time.Second)
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
		r.stage.spawn(func() { r.carry(a, b, from, to) })
		r.stage.spawn(func() { r.carry(b, a, to, from) })
	}
}

// carry brings what one side writes to the other, as long as that way is open.
func (r *relays) carry(a, b net.Conn, from, to int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := a.Read(buf)
		if n > 0 && r.wait(from, to) && r.delay(from, to) {
			if _, werr := b.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if errors.Is(err, io.EOF) {
			r.wait(from, to) // word of an end is held back as well
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

// delay holds back what goes a way for as long as it is slow; false where all is over.
func (r *relays) delay(from, to int) bool {
	r.mu.Lock()
	late := r.late[[2]int{from, to}]
	r.mu.Unlock()
	if late == 0 {
		return true
	}
	select {
	case <-time.After(late):
		return true
	case <-r.stage.ctx.Done():
		return false
	}
}

// slow makes the ways between some gateways and all others slow, or no longer.
func (r *relays) slow(some []int, all int, by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range some {
		for y := range all {
			r.late[[2]int{x, y}], r.late[[2]int{y, x}] = by, by
		}
	}
}

// reset ends all connections between some gateways and the others, as a network does that forgets them.
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

// wait returns once a way is open; false where all is over.
func (r *relays) wait(from, to int) bool {
	for {
		r.mu.Lock()
		open, mended, closed := r.cut[[2]int{from, to}] == 0, r.mended, r.closed
		r.mu.Unlock()
		if open || closed {
			return !closed
		}
		select {
		case <-mended:
		case <-r.stage.ctx.Done():
			return false
		}
	}
}

// part cuts some gateways off from the others, or mends that. Cuts add up.
func (r *relays) part(apart []int, all int, oneWay, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	by := 1
	if !cut {
		by = -1
	}
	for _, x := range apart {
		for y := range all {
			if slices.Contains(apart, y) {
				continue
			}
			r.cut[[2]int{x, y}] += by
			if !oneWay {
				r.cut[[2]int{y, x}] += by
			}
		}
	}
	close(r.mended)
	r.mended = make(chan bool)
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	for _, row := range r.by {
		for _, l := range row {
			if l != nil {
				l.Close()
			}
		}
	}
	for c := range r.conns {
		c.Close()
	}
	close(r.mended)
	r.mended = make(chan bool)
}
