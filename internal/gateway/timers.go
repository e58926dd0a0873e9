package gateway

import "poppymill/internal/caches"

// timer is an alarm of the router, or the deadline of a pull, a probe or a download.
type timer struct {
	at           float64
	token        int64 // the router's token; spendWriteToken on the timer of a download that waits for the store
	pull         *pull
	sendDeadline *pull // must be sent by then
	probe        *caches.Pull
	download     *download
	prefetcher   *prefetcher
	heapPos      int // position in the heap, from 1; 0 if not in it
}

// spendWriteToken marks the timer of a download that waits until the token that it spends is on disk.
const spendWriteToken = 1

// timers is a min-heap by due time. Timers that are no longer needed are removed at once: left in the heap, they would
// keep their download in memory for seconds after the answer.
type timers []*timer

func (t *timers) push(x timer) *timer {
	*t = append(*t, &x)
	t.siftUp(len(*t)-1, &x)
	return &x
}

func (t *timers) pop() *timer {
	first := (*t)[0]
	t.remove(first)
	return first
}

// remove removes a timer; it does nothing if the timer is not in the heap.
func (t *timers) remove(x *timer) {
	if x == nil || x.heapPos == 0 {
		return
	}
	h := *t
	i, last := x.heapPos-1, h[len(h)-1]
	h[len(h)-1] = nil
	*t = h[:len(h)-1]
	x.heapPos = 0
	if last != x {
		t.siftUp(i, last)
		t.siftDown(last.heapPos-1, last)
	}
}

// siftUp places a timer at index i or as far above as it belongs.
func (t *timers) siftUp(i int, x *timer) {
	h := *t
	for parent := (i - 1) / 2; i > 0 && x.at < h[parent].at; parent = (i - 1) / 2 {
		h[i] = h[parent]
		h[i].heapPos = i + 1
		i = parent
	}
	h[i] = x
	x.heapPos = i + 1
}

// siftDown places a timer at index i or as far below as it belongs.
func (t *timers) siftDown(i int, x *timer) {
	h := *t
	for child := 2*i + 1; child < len(h); child = 2*i + 1 {
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if x.at <= h[child].at {
			break
		}
		h[i] = h[child]
		h[i].heapPos = i + 1
		i = child
	}
	h[i] = x
	x.heapPos = i + 1
}
