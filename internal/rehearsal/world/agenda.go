package world

import "container/heap"

// Agenda is what is due, the next first; of two at one time the one that was noted first.
type Agenda struct {
	entries  entries
	sequence uint64
}

// Entry is one thing that is due.
type Entry struct {
	at       float64
	sequence uint64
	run      func()
	index    int // in the heap; -1: it is not there
}

// Add notes what is due at a time.
func (a *Agenda) Add(at float64, do func()) *Entry {
	a.sequence++
	e := &Entry{at: at, sequence: a.sequence, run: do}
	heap.Push(&a.entries, e)
	return e
}

// Move changes when an entry is due; one that has left comes back.
func (a *Agenda) Move(e *Entry, at float64) {
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

// Remove takes one out; nothing happens where it has left.
func (a *Agenda) Remove(e *Entry) {
	if e != nil && e.index >= 0 {
		heap.Remove(&a.entries, e.index)
	}
}

// Next is when something is due next; false where nothing is.
func (a *Agenda) Next() (float64, bool) {
	if len(a.entries) == 0 {
		return 0, false
	}
	return a.entries[0].at, true
}

// Step does what is due next.
func (a *Agenda) Step() {
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
