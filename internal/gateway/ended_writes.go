package gateway

import "strconv"

// How long the id of an ended write is remembered, in ms. A client never uses an id twice, but a request may come twice, for
// instance where whoever passes it on sends it again after its connection broke.
const (
	endedWriteKept    = 300_000.0 // at most
	endedWriteMinimum = 10_000.0  // before it may be forgotten for a newer one
)

// endedWrites remembers the ids of ended downloads that must not run twice and may have run. Its size is bounded: once it is
// full of ids that may not be forgotten yet, new writes are turned away.
type endedWrites struct {
	ids     map[uint64]bool
	order   []endedWrite // a ring, oldest first from the index first
	first   int
	count   int
	maximum int
}

type endedWrite struct {
	id      uint64
	endedAt float64
}

func newEndedWrites(maximum int) *endedWrites {
	return &endedWrites{ids: map[uint64]bool{}, maximum: max(1, maximum)}
}

// writeNumber converts the id of a download, which is 16 hex digits.
func writeNumber(id string) uint64 {
	n, _ := strconv.ParseUint(id, 16, 64)
	return n
}

// contains reports whether a write with an id has ended and may have run.
func (w *endedWrites) contains(id string) bool { return w.ids[writeNumber(id)] }

// full reports whether no further id can be remembered without forgetting one too early. Writes that are open count, as
// their ids may have to be remembered.
func (w *endedWrites) full(open int, now float64) bool {
	return w.count+open >= w.maximum && (w.count == 0 || now-w.order[w.first].endedAt < endedWriteMinimum)
}

// add remembers the id of a write that has ended.
func (w *endedWrites) add(id string, now float64) {
	number := writeNumber(id)
	if w.ids[number] {
		return
	}
	for w.count > 0 && (now-w.order[w.first].endedAt >= endedWriteKept ||
		w.count >= w.maximum && now-w.order[w.first].endedAt >= endedWriteMinimum) {
		w.forgetOldest()
	}
	if w.count == len(w.order) {
		w.grow()
	}
	w.order[(w.first+w.count)%len(w.order)] = endedWrite{number, now}
	w.count++
	w.ids[number] = true
}

func (w *endedWrites) forgetOldest() {
	delete(w.ids, w.order[w.first].id)
	w.first = (w.first + 1) % len(w.order)
	w.count--
}

// grow doubles the ring.
func (w *endedWrites) grow() {
	larger := make([]endedWrite, max(64, 2*len(w.order)))
	n := copy(larger, w.order[w.first:])
	copy(larger[n:], w.order[:w.first])
	w.order, w.first = larger, 0
}
