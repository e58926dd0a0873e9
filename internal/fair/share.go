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
	flows   flowHeap
	hashed  []*flow // of light clients
	place   int     // among the backlogged clubs; -1: nothing waits
	used    float64
	index   int

	Asked, Admitted, Throttled int
	Cost                       float64
}

func (c *Club) backlogged() bool { return c.ahead.head() != nil || c.flows.head() != nil }

type flowHeap []*flow

// head is the backlogged flow with the least start tag; flows whose last has gone leave.
func (h *flowHeap) head() *flow {
	for len(*h) > 0 {
		f := (*h)[0]
		if f.line.head() != nil {
			return f
		}
		heap.Pop(h)
	}
	return nil
}

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	return h[i].start < h[j].start || h[i].start == h[j].start && h[i].index < h[j].index
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.place = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	f.place = -1
	return f
}

type clubHeap []*Club

func (h clubHeap) Len() int { return len(h) }
func (h clubHeap) Less(i, j int) bool {
	return h[i].start < h[j].start || h[i].start == h[j].start && h[i].index < h[j].index
}
func (h clubHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *clubHeap) Push(x any) {
	c := x.(*Club)
	c.place = len(*h)
	*h = append(*h, c)
}
func (h *clubHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	c.place = -1
	return c
}

// due orders what waits by when it must have left the door.
type due []*waiting

func (h due) Len() int { return len(h) }
func (h due) Less(i, j int) bool {
	return h[i].gone < h[j].gone || h[i].gone == h[j].gone && h[i].ID < h[j].ID
}
func (h due) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *due) Push(x any) {
	w := x.(*waiting)
	w.place = len(*h)
	*h = append(*h, w)
}
func (h *due) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.place = -1
	return w
}

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
