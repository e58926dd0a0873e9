package fair

import (
	"container/heap"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Capacity is shared by start-time fair queueing (Goyal, Vin, Cheng 1996) on two levels: among clubs by weight, and
// within a club among its clients. The start tag of a download is the later of the virtual time of the level and the
// last finish tag of its flow, so idle time earns no credit and leaves no debt; its finish tag is the start tag plus
// its cost divided by the weight.

// queuedRequest is a download that requests admission.
type queuedRequest struct {
	Request
	club      *Club
	flow      *flow
	cost      float64 // as charged to its flow
	heapIndex int     // in Controller.deadlines; -1: not queued
	next      *queuedRequest
	deadline  float64 // latest time of admission; it is throttled then
	removed   bool    // no longer queued, but perhaps still linked in its fifo
}

// fifo is a linked queue of requests in order of arrival.
type fifo struct{ first, last *queuedRequest }

func (q *fifo) push(req *queuedRequest) {
	if q.last == nil {
		q.first = req
	} else {
		q.last.next = req
	}
	q.last = req
}

// peek drops removed requests from the front and returns the first one still queued, or nil.
func (q *fifo) peek() *queuedRequest {
	for q.first != nil && q.first.removed {
		q.pop()
	}
	return q.first
}

func (q *fifo) pop() *queuedRequest {
	req := q.first
	if q.first = req.next; q.first == nil {
		q.last = nil
	}
	req.next = nil
	return req
}

// flow is the queue of one client of a club, or of all clients with the same hash.
type flow struct {
	finishTag float64
	startTag  float64 // of the request at its front
	queue     fifo
	heapIndex int // among the backlogged flows of its club; -1: nothing is queued
	seq       int // sequence number of creation, which breaks ties
	club      *Club
}

// Club is a tenant that shares the gateway with other clubs.
type Club struct {
	Name        string
	weight      float64
	finishTag   float64
	startTag    float64
	virtualTime float64 // of the level of its flows
	priority    fifo    // requests served before those of the flows
	flows       indexedHeap[*flow]
	hashed      []*flow // flows of light clients, by hash
	heapIndex   int     // among the backlogged clubs; -1: nothing is queued
	lastUsed    float64 // time of the last request
	seq         int     // sequence number of creation, which breaks ties

	Asked, Admitted, Throttled int
	Cost                       float64
}

// backlogged reports whether any request of the club is queued.
func (c *Club) backlogged() bool { return c.priority.peek() != nil || nextFlow(&c.flows) != nil }

// nextFlow returns the backlogged flow with the least start tag, or nil; it removes flows that have become empty.
func nextFlow(h *indexedHeap[*flow]) *flow {
	for len(*h) > 0 {
		f := (*h)[0]
		if f.queue.peek() != nil {
			return f
		}
		heap.Pop(h)
	}
	return nil
}

// ordered is the constraint on elements of an indexedHeap: they have an order, and store their position so that they
// can be removed from the middle.
type ordered[T any] interface {
	before(T) bool
	position() *int
}

// indexedHeap is a min-heap whose elements know their position; -1: not in the heap.
type indexedHeap[T ordered[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].position(), *h[j].position() = i, j
}
func (h *indexedHeap[T]) Push(x any) {
	e := x.(T)
	*e.position() = len(*h)
	*h = append(*h, e)
}
func (h *indexedHeap[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	clear(old[len(old)-1:])
	*h = old[:len(old)-1]
	*e.position() = -1
	return e
}

func (f *flow) before(o *flow) bool {
	return f.startTag < o.startTag || f.startTag == o.startTag && f.seq < o.seq
}
func (f *flow) position() *int { return &f.heapIndex }
func (c *Club) before(o *Club) bool {
	return c.startTag < o.startTag || c.startTag == o.startTag && c.seq < o.seq
}
func (c *Club) position() *int { return &c.heapIndex }

// before orders requests by deadline.
func (r *queuedRequest) before(o *queuedRequest) bool {
	return r.deadline < o.deadline || r.deadline == o.deadline && r.ID < o.ID
}
func (r *queuedRequest) position() *int { return &r.heapIndex }

// digest returns the hash of a list of words, unambiguous in where each word ends.
func digest(seed uint64, words ...string) uint64 {
	h := xxhash.NewWithSeed(seed)
	for _, word := range words {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(word)))
		h.Write(size[:])
		h.WriteString(word)
	}
	return h.Sum64()
}

// heavyHitters finds the clients with the highest cost by the space-saving algorithm (Metwally, Agrawal, El Abbadi
// 2005): with n counters, every client with more than 1/n of the total cost is among them.
type heavyHitters struct {
	counters   []heavyHitter
	indexByKey map[uint64]int
}

// heavyHitter is one counter, with the flow reserved for its client.
type heavyHitter struct {
	key  uint64
	cost float64
	flow *flow
}

func newHeavyHitters(n int) *heavyHitters {
	return &heavyHitters{indexByKey: make(map[uint64]int, n), counters: make([]heavyHitter, 0, n)}
}

// add counts the cost of a client and returns its counter; nil if no clients are counted.
func (s *heavyHitters) add(key uint64, cost float64, nextSeq func() int) *heavyHitter {
	if cap(s.counters) == 0 {
		return nil
	}
	if i, ok := s.indexByKey[key]; ok {
		s.counters[i].cost += cost
		return &s.counters[i]
	}
	if len(s.counters) < cap(s.counters) {
		s.counters = append(s.counters, heavyHitter{key: key, cost: cost, flow: &flow{heapIndex: -1, seq: nextSeq()}})
		s.indexByKey[key] = len(s.counters) - 1
		return &s.counters[len(s.counters)-1]
	}
	least := 0
	for i := range s.counters {
		if s.counters[i].cost < s.counters[least].cost {
			least = i
		}
	}
	p := &s.counters[least]
	delete(s.indexByKey, p.key)
	s.indexByKey[key] = least
	p.key, p.cost = key, p.cost+cost
	if p.flow.heapIndex >= 0 || p.flow.queue.first != nil {
		p.flow = &flow{heapIndex: -1, seq: nextSeq()} // requests queued there remain with the former client
	} else {
		*p.flow = flow{heapIndex: -1, seq: p.flow.seq}
	}
	return p
}

// decay halves all counts, so that inactive clients are displaced.
func (s *heavyHitters) decay() {
	for i := range s.counters {
		s.counters[i].cost /= 2
	}
}
