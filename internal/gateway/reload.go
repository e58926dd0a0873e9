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
	"poppymill/internal/gatewayconfig"
	maintenancedriver "poppymill/internal/maintenance/driver"
	ownerdriver "poppymill/internal/owner/driver"
	purgesdriver "poppymill/internal/purges/driver"
	quorumdriver "poppymill/internal/quorum/driver"
)

// Reloads defines when a running gateway reloads its configuration, and how.
type Reloads struct {
	Signals <-chan os.Signal
	Load    func() (Setup, error)
}

// Setup is the complete configuration of a gateway: the platform's configuration and the operator's settings.
type Setup struct {
	Config   *gatewayconfig.Config
	Operator *Settings
}

// reloader applies the changes of a reloaded configuration. It is not part of the core: downloads are not affected.
type reloader struct {
	Reloads
	running         *gatewayconfig.Config // as of the start
	follower        *channel.Follower
	log             logrus.FieldLogger
	linkDriver      *linkDriver
	quorum          quorumdriver.Block      // as of the start
	jobs            ownerdriver.Block       // as of the start
	machines        maintenancedriver.Block // as of the start
	purges          purgesdriver.Block      // as of the start
	operator        atomic.Pointer[Settings]
	applied, failed atomic.Int64
}

// run reloads at each signal until the context ends. A signal that arrives before the start or during a reload causes
// one more reload, so that the newest file is in force in the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		s, err := r.Load()
		if err != nil {
			r.failed.Add(1)
			r.log.WithError(err).Error("cannot load the new configuration; keeping the previous one")
			continue
		}
		if err := r.linkDriver.rekey(s.Operator.Links); err != nil {
			r.failed.Add(1)
			r.log.WithError(err).Error("cannot load the signed-link keys; keeping the previous ones")
			continue
		}
		if s.Operator.Fair.On {
			r.linkDriver.poster.post(FairnessChanged{Block: s.Operator.Fair})
		}
		c := s.Config
		r.operator.Store(s.Operator)
		needRestart := r.running.ChangedFixedFields(c)
		if points := s.Operator.Failpoints; failpoint.On {
			failpoint.Set(points)
			r.log.WithFields(logrus.Fields{"stop": points.Stop, "kill": points.Kill}).Warn("failpoints in force")
		}
		if s.Operator.Purges != r.purges {
			needRestart = append(needRestart, "purges")
		}
		if !reflect.DeepEqual(s.Operator.Machines, r.machines) {
			needRestart = append(needRestart, "machines")
		}
		if !reflect.DeepEqual(s.Operator.Jobs, r.jobs) {
			needRestart = append(needRestart, "jobs")
		}
		if !reflect.DeepEqual(s.Operator.Quorum, r.quorum) {
			needRestart = append(needRestart, "quorum")
		}
		r.follower.Move(channel.Source{Address: c.Channel, PastEvents: c.Known})
		r.applied.Add(1)
		log := r.log.WithField("channel", c.Channel)
		if len(needRestart) > 0 {
			log = log.WithField("until a restart", strings.Join(needRestart, " "))
		}
		log.Info("reloaded")
	}
}
