package drive

import (
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/purges"
)

// Block is what an operator says of purges by the gateways themselves; off unless it stands in the file. It needs the blocks quorum and jobs.
type Block struct {
	On     bool
	Limits purges.Limits
}

// Held are its limits, or where it is off those by which what others do is held.
func (b Block) Held() purges.Limits {
	if b.On {
		return b.Limits
	}
	return purges.DefaultLimits()
}

// Fields are those of the block purges.
func (b *Block) Fields() []operator.Field {
	b.On, b.Limits = true, purges.DefaultLimits()
	l := &b.Limits
	return []operator.Field{
		operator.Attr("delay", operator.Span(&l.Delay, 500*time.Millisecond, time.Hour)),
		operator.Attr("skew", operator.Span(&l.Skew, 0, time.Minute)),
		operator.Attr("rate", operator.Number(&l.Rate, 0, 1e6)),
		operator.Attr("batch", operator.Whole(&l.Batch, 1, 8192)),
		operator.Attr("fills", operator.Number(&l.Fills, 0, 1e9)),
		operator.Attr("held", operator.Whole(&l.Held, 16, 200_000)),
		operator.Check(func() error { return l.Check() }),
	}
}
