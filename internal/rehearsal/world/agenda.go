package world

import "container/heap"

// Agenda is what is due, the next first; of two at one time the one that was noted first.
type Agenda struct {
	all  entries
	made uint64
}

// Entry is one thing that is due.
type Entry struct {
	at    float64
	made  uint64
	do    func()
	place int // in the heap; -1: it is not there
}

// Add notes what is due at a time.
func (a *Agenda) Add(at float64, do func()) *Entry {
	a.made++
	e := &Entry{at: at, made: a.made, do: do}
	heap.Push(&a.all, e)
	return e
}

// Move changes when an entry is due; one that has left comes back.
func (a *Agenda) Move(e *Entry, at float64) {
	if a.made++; e.place < 0 {
		e.at, e.made = at, a.made
		heap.Push(&a.all, e)
		return
	}
	if e.at != at {
		e.at, e.made = at, a.made
		heap.Fix(&a.all, e.place)
	}
}

// Remove takes one out; nothing happens where it has left.
func (a *Agenda) Remove(e *Entry) {
	if e != nil && e.place >= 0 {
		heap.Remove(&a.all, e.place)
	}
}

// Next is when something is due next; false where nothing is.
func (a *Agenda) Next() (float64, bool) {
	if len(a.all) == 0 {
		return 0, false
	}
	return a.all[0].at, true
}

// Step does what is due next.
func (a *Agenda) Step() {
	heap.Pop(&a.all).(*Entry).do()
}

type entries []*Entry

func (h entries) Len() int { return len(h) }
func (h entries) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].made < h[j].made
}
func (h entries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *entries) Push(x any) {
	e := x.(*Entry)
	e.place = len(*h)
	*h = append(*h, e)
}
func (h *entries) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.place = -1
	return e
}

func push(h *entries, e *Entry) { heap.Push(h, e) }
func drop(h *entries, e *Entry) { heap.Remove(h, e.place) }
