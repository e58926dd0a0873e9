package gateway

import "poppymill/internal/caches"

// timer is one thing that is due: an alarm of the router's, or the limit of a pull, a probe, a download. Those
// that are no longer needed stay until they come up.
type timer struct {
	at    float64
	token int64
	pull  *pull
	probe *caches.Pull
	dl    *download
}

// timers is a heap, the next one first. container/heap would allocate for each that comes and goes, several for
// every download.
type timers []timer

func (t *timers) push(x timer) {
	*t = append(*t, x)
	h := *t
	i := len(h) - 1
	for up := (i - 1) / 2; i > 0 && x.at < h[up].at; up = (i - 1) / 2 {
		h[i] = h[up]
		i = up
	}
	h[i] = x
}

func (t *timers) pop() timer {
	h := *t
	first, last := h[0], h[len(h)-1]
	h[len(h)-1] = timer{}
	h = h[:len(h)-1]
	*t = h
	if len(h) == 0 {
		return first
	}
	i := 0
	for down := 1; down < len(h); down = 2*i + 1 {
		if down+1 < len(h) && h[down+1].at < h[down].at {
			down++
		}
		if last.at <= h[down].at {
			break
		}
		h[i] = h[down]
		i = down
	}
	h[i] = last
	return first
}
