// Package prng is the pseudo-random number generator of all decisions. It is seeded, so that the same events lead to
// the same actions.
package prng

// Source is a multiply-with-carry generator. The low 32 bits are its state, the high 32 bits the carry; its value at the
// start is the seed.
type Source uint64

// Uint32 returns the next 32 bits.
func (c *Source) Uint32() uint32 {
	*c = 4294957665*(*c&0xffffffff) + *c>>32
	return uint32(*c)
}

// Float64 returns a number in [0, 1).
func (c *Source) Float64() float64 { return float64(c.Uint32()) / (1 << 32) }
