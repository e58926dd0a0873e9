package world

import "container/heap"

// EventQueue is a queue of timed callbacks, ordered by due time and then by insertion order.
type EventQueue struct {
	entries  entries
	sequence uint64
}

// Entry is one scheduled callback.
type Entry struct {
	at       float64
	sequence uint64
	run      func()
	index    int // position in the heap; -1: not queued
}

// Add schedules a callback.
func (a *EventQueue) Add(at float64, do func()) *Entry {
	a.sequence++
	e := &Entry{at: at, sequence: a.sequence, run: do}
	heap.Push(&a.entries, e)
	return e
}

// Move reschedules an entry; one that is no longer queued is queued again.
func (a *EventQueue) Move(e *Entry, at float64) {
	if a.sequence++; e.index < 0 {
		e.at, e.sequence = at, a.sequence
		heap.Push(&a.entries, e)
		return
	}
	if e.at != at {
		e.at, e.sequence = at, a.sequence
		heap.Fix(&a.entries, e.index)
	}
}

// Remove cancels an entry; it does nothing if the entry is nil or no longer queued.
func (a *EventQueue) Remove(e *Entry) {
	if e != nil && e.index >= 0 {
		heap.Remove(&a.entries, e.index)
	}
}

// Next returns the time of the earliest entry, and false if the queue is empty.
func (a *EventQueue) Next() (float64, bool) {
	if len(a.entries) == 0 {
		return 0, false
	}
	return a.entries[0].at, true
}

// Step runs the earliest entry.
func (a *EventQueue) Step() {
	heap.Pop(&a.entries).(*Entry).run()
}

type entries []*Entry

func (h entries) Len() int { return len(h) }
func (h entries) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *entries) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

func pushEntry(h *entries, e *Entry)   { heap.Push(h, e) }
func removeEntry(h *entries, e *Entry) { heap.Remove(h, e.index) }
