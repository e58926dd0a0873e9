package gateway

import "poppymill/internal/caches"

// timer is one thing that is due: an alarm of the router's, or the limit of a pull, a probe, a download.
type timer struct {
	at     float64
	token  int64 // the router's; of a download's timer: waits, where it was not let out yet
	pull   *pull
	within *pull // that must be on its way by then
	probe  *caches.Pull
	dl     *download
	filler *filler
	place  int // in the heap, from 1; 0: it is not there
}

// waits marks the timer of a download that waits before it goes out.
const waits = 1

// timers is a heap, the next one first. What is no longer needed leaves at once: until it came up it would hold its
// download, for seconds after the answer.
type timers []*timer

func (t *timers) push(x timer) *timer {
	*t = append(*t, &x)
	t.up(len(*t)-1, &x)
	return &x
}

func (t *timers) pop() *timer {
	first := (*t)[0]
	t.remove(first)
	return first
}

// remove takes one out; nothing happens where it has left.
func (t *timers) remove(x *timer) {
	if x == nil || x.place == 0 {
		return
	}
	h := *t
	i, last := x.place-1, h[len(h)-1]
	h[len(h)-1] = nil
	*t = h[:len(h)-1]
	x.place = 0
	if last != x {
		t.up(i, last)
		t.down(last.place-1, last)
	}
}

// up puts one at a place or as far above it as it belongs.
func (t *timers) up(i int, x *timer) {
	h := *t
	for up := (i - 1) / 2; i > 0 && x.at < h[up].at; up = (i - 1) / 2 {
		h[i] = h[up]
		h[i].place = i + 1
		i = up
	}
	h[i] = x
	x.place = i + 1
}

// down puts one at a place or as far below it as it belongs.
func (t *timers) down(i int, x *timer) {
	h := *t
	for down := 2*i + 1; down < len(h); down = 2*i + 1 {
		if down+1 < len(h) && h[down+1].at < h[down].at {
			down++
		}
		if x.at <= h[down].at {
			break
		}
		h[i] = h[down]
		h[i].place = i + 1
		i = down
	}
	h[i] = x
	x.place = i + 1
}
