package driver

import (
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/purges"
)

// Block is the block purges of the operator's file, for purges agreed between the gateways. It is off unless the file
// has it, and needs the blocks quorum and jobs.
type Block struct {
	On     bool
	Limits purges.Limits
}

// EffectiveLimits returns the limits of the block; where it is off, the defaults, which bound the purges followed from
// other gateways.
func (b Block) EffectiveLimits() purges.Limits {
	if b.On {
		return b.Limits
	}
	return purges.DefaultLimits()
}

// Fields returns the attributes of the block purges. It turns the block on and sets the defaults.
func (b *Block) Fields() []operator.Field {
	b.On, b.Limits = true, purges.DefaultLimits()
	l := &b.Limits
	return []operator.Field{
		operator.Attr("delay", operator.Duration(&l.Delay, 500*time.Millisecond, time.Hour)),
		operator.Attr("skew", operator.Duration(&l.Skew, 0, time.Minute)),
		operator.Attr("rate", operator.Number(&l.Rate, 0, 1e6)),
		operator.Attr("batch", operator.Int(&l.Batch, 1, 8192)),
		operator.Attr("fills", operator.Number(&l.MaxFills, 0, 1e9)),
		operator.Attr("held", operator.Int(&l.MaxBounds, 16, 200_000)),
		operator.Check(func() error { return l.Check() }),
	}
}
