// Package chance is the one generator of chance in the decisions: seeded, so that the same events bring the same actions.
package chance

// Chance is a multiply-with-carry generator: the low half is the state, the high half the carry.
type Chance uint64

// Next returns the next 32 bits.
func (c *Chance) Next() uint32 {
	*c = 4294957665*(*c&0xffffffff) + *c>>32
	return uint32(*c)
}

// Below is a number from 0 up to, not including, 1.
func (c *Chance) Below() float64 { return float64(c.Next()) / (1 << 32) }
