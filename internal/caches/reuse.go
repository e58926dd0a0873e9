package caches

import "math"

// reuse learns how long a connection may have been idle and still be of use. What lies between may let go of it long
// before the peer does, and resets it only as the next pull comes: that pull may have run, a write is lost by it.
// It harms where connections break for other reasons, by a handshake for each pull that would have found an idle one.
type reuse struct {
	tried, broke [reuseSteps]float64 // by the power of two, in ms, of the idle time; halved as time passes
	halved       float64
}

const (
	reuseSteps = 16
	reuseHalf  = 10_000.0 // ms
	reuseLeast = 3        // breaks that are no chance
	reuseShare = 0.05
)

// note counts a connection that is used again after an idle time, or that broke under it.
func (r *reuse) note(idle, now float64, tried, broke bool) {
	r.fade(now)
	i := min(reuseSteps-1, max(0, math.Ilogb(max(1, idle))))
	if tried {
		r.tried[i]++
	}
	if broke {
		r.broke[i]++
	}
}

func (r *reuse) fade(now float64) {
	for ; now >= r.halved+reuseHalf; r.halved += reuseHalf {
		if now >= r.halved+10*reuseHalf {
			*r = reuse{halved: now}
			return
		}
		for i := range reuseSteps {
			r.tried[i] /= 2
			r.broke[i] /= 2
		}
	}
}

// until is the idle time from which on too many break.
func (r *reuse) until(now float64) float64 {
	r.fade(now)
	for i := range reuseSteps {
		if r.broke[i] >= reuseLeast && r.broke[i] > reuseShare*r.tried[i] {
			return math.Ldexp(1, i)
		}
	}
	return math.Inf(1)
}
