// Package chance is the pseudo-random number generator of all decisions. It is seeded, so that the same events lead to
// the same actions.
package chance

// Chance is a multiply-with-carry generator. The low 32 bits are its state, the high 32 bits the carry; its value at the
// start is the seed.
type Chance uint64

// Next returns the next 32 bits.
func (c *Chance) Next() uint32 {
	*c = 4294957665*(*c&0xffffffff) + *c>>32
	return uint32(*c)
}

// Below returns a number in [0, 1).
func (c *Chance) Below() float64 { return float64(c.Next()) / (1 << 32) }
