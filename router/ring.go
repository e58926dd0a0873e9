package router

import "poppymill/internal/chance"

// Ring sums what is measured over time in fixed buckets that are used again.
type Ring struct {
	width float64
	sums  []float64
	slots []int64 // which bucket of all time each sum belongs to
}

// NewRing covers the given span with so many buckets.
func NewRing(span float64, buckets int) Ring {
	return Ring{width: span / float64(buckets), sums: make([]float64, buckets), slots: make([]int64, buckets)}
}

// Add counts x at a time; what is too old for the ring is dropped.
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

// Sum is what was counted in the ring's span up to now, the present bucket included.
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

// Clear forgets all.
func (r *Ring) Clear() {
	clear(r.sums)
	clear(r.slots)
}

// Chance is the seeded generator that all decisions share.
type Chance = chance.Chance
