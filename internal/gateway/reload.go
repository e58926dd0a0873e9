package gateway

import (
	"context"
	"os"
	"reflect"
	"strings"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"poppymill/internal/channel"
	"poppymill/internal/failpoint"
	"poppymill/internal/footprint"
	machines "poppymill/internal/maintenance/drive"
	owned "poppymill/internal/owner/drive"
	purges "poppymill/internal/purges/drive"
	agreement "poppymill/internal/quorum/drive"
)

// Reloads tells a running gateway when to read its configuration again, and how.
type Reloads struct {
	Wanted <-chan os.Signal
	Load   func() (Setup, error)
}

// Setup is all that a gateway goes by: what the platform tells it, and what its operator does.
type Setup struct {
	Config   *footprint.Config
	Operator *Settings
}

// reloader takes up what a new configuration changes. It is no part of the core: no download notices.
type reloader struct {
	Reloads
	running       *footprint.Config // as started
	follower      *channel.Follower
	log           logrus.FieldLogger
	guard         *linkDriver
	quorum        agreement.Block // as started
	jobs          owned.Block     // as started
	machines      machines.Block  // as started
	purges        purges.Block    // as started
	operator      atomic.Pointer[Settings]
	done, misread atomic.Int64
}

// run is over with the context. A signal that came before it, or during a reload, is one more reload after that: the
// newest file holds in the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Wanted:
		}
		s, err := r.Load()
		if err != nil {
			r.misread.Add(1)
			r.log.WithError(err).Error("the new configuration can't be used: the old one goes on")
			continue
		}
		if err := r.guard.rekey(s.Operator.Links); err != nil {
			r.misread.Add(1)
			r.log.WithError(err).Error("the keys of signed links can't be used: the old ones go on")
			continue
		}
		if s.Operator.Fair.On {
			r.guard.poster.post(Reweighed{Block: s.Operator.Fair})
		}
		c := s.Config
		r.operator.Store(s.Operator)
		fixed := r.running.Fixed(c)
		if f := s.Operator.Fails; failpoint.On {
			failpoint.Set(f)
			r.log.WithFields(logrus.Fields{"stop": f.Stop, "kill": f.Kill}).Warn("failpoints in force")
		}
		if s.Operator.Purges != r.purges {
			fixed = append(fixed, "purges")
		}
		if !reflect.DeepEqual(s.Operator.Machines, r.machines) {
			fixed = append(fixed, "machines")
		}
		if !reflect.DeepEqual(s.Operator.Jobs, r.jobs) {
			fixed = append(fixed, "jobs")
		}
		if !reflect.DeepEqual(s.Operator.Quorum, r.quorum) {
			fixed = append(fixed, "quorum")
		}
		r.follower.Move(channel.Place{Address: c.Channel, Known: c.Known})
		r.done.Add(1)
		log := r.log.WithField("channel", c.Channel)
		if len(fixed) > 0 {
			log = log.WithField("until a restart", strings.Join(fixed, " "))
		}
		log.Info("reloaded")
	}
}
