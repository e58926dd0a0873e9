package fair

import (
	"container/heap"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// What is shared is shared by start-time fair queueing (Goyal, Vin, Cheng 1996) in two levels: clubs by their weights, and
// within a club its clients. A download's start tag is the level's virtual time or its flow's last finish tag, whichever is
// later, so a share that was idle is neither saved up nor owed; its finish tag is later by its cost over the weight.

// waiting is a download at the door.
type waiting struct {
	Ask
	club  *Club
	flow  *flow
	cost  float64 // as charged
	place int     // in the order of deadlines; -1: it waits no more
	next  *waiting
	gone  float64 // when it must have left the door
	over  bool
}

// line is first come, first served.
type line struct{ first, last *waiting }

func (l *line) put(w *waiting) {
	if l.last == nil {
		l.first = w
	} else {
		l.last.next = w
	}
	l.last = w
}

// head is the first that still waits.
func (l *line) head() *waiting {
	for l.first != nil && l.first.over {
		l.pop()
	}
	return l.first
}

func (l *line) pop() *waiting {
	w := l.first
	if l.first = w.next; l.first == nil {
		l.last = nil
	}
	w.next = nil
	return w
}

// flow is one client's part of a club, or that of all whose hashes meet.
type flow struct {
	finish float64
	start  float64 // of its head
	line   line
	place  int // among its club's backlogged; -1: it has none waiting
	index  int // as made, so that ties have an order
	club   *Club
}

// Club shares the gateway with other clubs.
type Club struct {
	Name    string
	weight  float64
	finish  float64
	start   float64
	virtual float64 // of its flows
	ahead   line    // goes first
	flows   order[*flow]
	hashed  []*flow // of light clients
	place   int     // among the backlogged clubs; -1: nothing waits
	used    float64
	index   int

	Asked, Admitted, Throttled int
	Cost                       float64
}

func (c *Club) backlogged() bool { return c.ahead.head() != nil || next(&c.flows) != nil }

// next is the backlogged flow with the least start tag; flows whose last has gone leave.
func next(h *order[*flow]) *flow {
	for len(*h) > 0 {
		f := (*h)[0]
		if f.line.head() != nil {
			return f
		}
		heap.Pop(h)
	}
	return nil
}

// ordered is what a heap holds: it has an order, and knows its place so that it can be taken out of the middle.
type ordered[T any] interface {
	before(T) bool
	slot() *int
}

// order is a heap, the first of its order in front; a place of -1 is none.
type order[T ordered[T]] []T

func (h order[T]) Len() int           { return len(h) }
func (h order[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h order[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].slot(), *h[j].slot() = i, j
}
func (h *order[T]) Push(x any) {
	e := x.(T)
	*e.slot() = len(*h)
	*h = append(*h, e)
}
func (h *order[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	clear(old[len(old)-1:])
	*h = old[:len(old)-1]
	*e.slot() = -1
	return e
}

func (f *flow) before(o *flow) bool {
	return f.start < o.start || f.start == o.start && f.index < o.index
}
func (f *flow) slot() *int { return &f.place }
func (c *Club) before(o *Club) bool {
	return c.start < o.start || c.start == o.start && c.index < o.index
}
func (c *Club) slot() *int { return &c.place }

// before orders what waits by when it must have left the door.
func (w *waiting) before(o *waiting) bool { return w.gone < o.gone || w.gone == o.gone && w.ID < o.ID }
func (w *waiting) slot() *int             { return &w.place }

func digest(seed uint64, words ...string) uint64 {
	h := xxhash.NewWithSeed(seed)
	for _, w := range words {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(w)))
		h.Write(size[:])
		h.WriteString(w)
	}
	return h.Sum64()
}

// heavies finds the clients that cost most, by space saving (Metwally, Agrawal, El Abbadi 2005): whoever costs more than a
// part in as many as there are places is among them.
type heavies struct {
	places []heavy
	at     map[uint64]int
}

type heavy struct {
	key  uint64
	cost float64
	flow *flow
}

func newHeavies(n int) *heavies {
	return &heavies{at: make(map[uint64]int, n), places: make([]heavy, 0, n)}
}

// add counts a client's cost and returns its place; nil where it is not yet among the heavy.
func (s *heavies) add(key uint64, cost float64, index func() int) *heavy {
	if cap(s.places) == 0 {
		return nil
	}
	if i, ok := s.at[key]; ok {
		s.places[i].cost += cost
		return &s.places[i]
	}
	if len(s.places) < cap(s.places) {
		s.places = append(s.places, heavy{key: key, cost: cost, flow: &flow{place: -1, index: index()}})
		s.at[key] = len(s.places) - 1
		return &s.places[len(s.places)-1]
	}
	least := 0
	for i := range s.places {
		if s.places[i].cost < s.places[least].cost {
			least = i
		}
	}
	p := &s.places[least]
	delete(s.at, p.key)
	s.at[key] = least
	p.key, p.cost = key, p.cost+cost
	if p.flow.place >= 0 || p.flow.line.first != nil {
		p.flow = &flow{place: -1, index: index()} // what waits there stays its former client's
	} else {
		*p.flow = flow{place: -1, index: p.flow.index}
	}
	return p
}

// fade halves what was counted, so that the silent are let go.
func (s *heavies) fade() {
	for i := range s.places {
		s.places[i].cost /= 2
	}
}
