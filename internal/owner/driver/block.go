package driver

import (
	"errors"
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/owner"
)

// Block is the operator's configuration block jobs. Without the block jobs are off; it needs the block quorum.
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

// Fields returns the fields of the block and switches jobs on.
func (b *Block) Fields() []operator.Field {
	b.On, b.Limits = true, owner.DefaultLimits()
	l := &b.Limits
	return []operator.Field{
		operator.Attr("effect", operator.Duration(&l.EffectTimeout, 50*time.Millisecond, 10*time.Minute)),
		operator.Attr("rest", operator.Duration(&l.Backoff, 10*time.Millisecond, time.Minute)),
		operator.Attr("longest_rest", operator.Duration(&l.MaxBackoff, 10*time.Millisecond, time.Hour)),
		operator.Attr("hold", operator.Duration(&l.HoldDown, 0, time.Minute)),
		operator.Attr("longest_hold", operator.Duration(&l.MaxHoldDown, 0, 24*time.Hour)),
		operator.Attr("again", operator.Duration(&l.RetryInterval, 100*time.Millisecond, time.Minute)),
		operator.Attr("warm_rounds", operator.Int(&l.WarmRounds, 0, 1000)),
		operator.Attr("warm_each", operator.Int(&l.WarmEach, 1, 1000)),
		operator.Check(func() error {
			switch {
			case l.MaxBackoff < l.Backoff:
				return errors.New("longest_rest: shorter than rest")
			case l.MaxHoldDown < l.HoldDown:
				return errors.New("longest_hold: shorter than hold")
			}
			return nil
		}),
	}
}
