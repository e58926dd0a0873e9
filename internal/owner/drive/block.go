package drive

import (
	"errors"
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/owner"
)

// Block is what an operator says of owned work; off unless it stands in the file. It needs the block quorum.
type Block struct {
	On     bool
	Limits owner.Limits
}

func (b Block) limits() owner.Limits {
	if !b.On {
		return owner.DefaultLimits()
	}
	return b.Limits
}

// Fields are those of the block jobs.
func (b *Block) Fields() []operator.Field {
	b.On, b.Limits = true, owner.DefaultLimits()
	l := &b.Limits
	return []operator.Field{
		operator.Attr("effect", operator.Span(&l.Effect, 50*time.Millisecond, 10*time.Minute)),
		operator.Attr("rest", operator.Span(&l.Rest, 10*time.Millisecond, time.Minute)),
		operator.Attr("longest_rest", operator.Span(&l.LongestRest, 10*time.Millisecond, time.Hour)),
		operator.Attr("hold", operator.Span(&l.Hold, 0, time.Minute)),
		operator.Attr("longest_hold", operator.Span(&l.LongestHold, 0, 24*time.Hour)),
		operator.Attr("again", operator.Span(&l.Again, 100*time.Millisecond, time.Minute)),
		operator.Attr("warm_rounds", operator.Whole(&l.WarmRounds, 0, 1000)),
		operator.Attr("warm_each", operator.Whole(&l.WarmEach, 1, 1000)),
		operator.Check(func() error {
			switch {
			case l.LongestRest < l.Rest:
				return errors.New("longest_rest: shorter than rest")
			case l.LongestHold < l.Hold:
				return errors.New("longest_hold: shorter than hold")
			}
			return nil
		}),
	}
}
