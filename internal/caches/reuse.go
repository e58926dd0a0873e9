package caches

import "math"

// reuseStats learns for how long a connection can be idle and still be usable. A device on the path, such as a NAT, may
// drop an idle connection long before the peer does, and reset it only when the next pull is sent. That pull may have
// run, so a write can't be retried and is lost. If connections break for other reasons, the cost is a handshake for each
// pull that would have used an idle connection.
type reuseStats struct {
	reused, broken [idleBuckets]float64 // by the binary logarithm of the idle time in ms; decaying
	lastDecay      float64
}

// Idle times are grouped by powers of two. A group counts as unusable from minBroken breaks on if they exceed
// maxBrokenShare of its reuses.
const (
	idleBuckets    = 16
	statsHalfLife  = 10_000.0 // ms, after which all counts are halved
	minBroken      = 3        // fewer may be chance
	maxBrokenShare = 0.05
)

// record counts a connection that was reused after an idle time in ms, or that broke after such a reuse.
func (r *reuseStats) record(idle, now float64, reused, broken bool) {
	r.decay(now)
	i := min(idleBuckets-1, max(0, math.Ilogb(max(1, idle))))
	if reused {
		r.reused[i]++
	}
	if broken {
		r.broken[i]++
	}
}

// decay halves the counts once for each half-life since the last call.
func (r *reuseStats) decay(now float64) {
	for ; now >= r.lastDecay+statsHalfLife; r.lastDecay += statsHalfLife {
		if now >= r.lastDecay+10*statsHalfLife {
			*r = reuseStats{lastDecay: now}
			return
		}
		for i := range idleBuckets {
			r.reused[i] /= 2
			r.broken[i] /= 2
		}
	}
}

// maxIdle returns the idle time in ms from which on too many connections break on reuse.
func (r *reuseStats) maxIdle(now float64) float64 {
	r.decay(now)
	for i := range idleBuckets {
		if r.broken[i] >= minBroken && r.broken[i] > maxBrokenShare*r.reused[i] {
			return math.Ldexp(1, i)
		}
	}
	return math.Inf(1)
}
