package router

import "poppymill/internal/prng"

// Ring sums samples over a sliding window of time, in a ring of buckets of equal width.
type Ring struct {
	width float64 // of a bucket, in ms
	sums  []float64
	slots []int64 // the number of the time slot that each sum belongs to, counted from time 0
}

// NewRing returns a ring that covers span ms with the given number of buckets.
func NewRing(span float64, buckets int) Ring {
	return Ring{width: span / float64(buckets), sums: make([]float64, buckets), slots: make([]int64, buckets)}
}

// Add adds x at a time; a sample too old for the window is dropped.
func (r *Ring) Add(at, x float64) {
	slot := int64(at / r.width)
	i := int(slot % int64(len(r.sums)))
	if r.slots[i] > slot {
		return
	}
	if r.slots[i] < slot {
		r.slots[i], r.sums[i] = slot, 0
	}
	r.sums[i] += x
}

// Sum is the sum over the window that ends now, the current bucket included.
func (r *Ring) Sum(now float64) float64 {
	least := int64(now/r.width) - int64(len(r.sums)) + 1
	var sum float64
	for i, slot := range r.slots {
		if slot >= least {
			sum += r.sums[i]
		}
	}
	return sum
}

// Clear drops all samples.
func (r *Ring) Clear() {
	clear(r.sums)
	clear(r.slots)
}

// Chance is the seeded random generator of the router.
type Chance = prng.Source
