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
)

// Reloads defines when a running gateway reloads its settings, and how it reads each source of them.
type Reloads struct {
	Signals      <-chan os.Signal
	LoadConfig   func() (*gatewayconfig.Config, error)
	LoadOperator func() (*Settings, error)
}

// Setup is the complete configuration of a gateway: the platform's configuration and the operator's settings.
type Setup struct {
	Config   *gatewayconfig.Config
	Operator *Settings
}

// reloader applies the changes of reloaded settings. It is not part of the core: downloads are not affected.
type reloader struct {
	Reloads
	running         *gatewayconfig.Config // as of the start
	start           *Settings             // the operator's settings as of the start
	channel         string                // address of the command channel in force
	follower        *channel.Follower
	log             logrus.FieldLogger
	linkDriver      *linkDriver
	operator        atomic.Pointer[Settings] // in force, as far as a running gateway takes them up
	applied, failed atomic.Int64
}

// reloadResult is what one reload has done, for the log.
type reloadResult struct {
	applied     []string // sources that were taken up
	refused     []string // sources that were refused: their previous state stays in force
	needRestart []string // changed parts that stay as they are until a restart
}

// Names of the sources of settings, for the log.
const (
	sourceConfig   = "configuration"
	sourceOperator = "operator"
	sourceLinkKeys = "links.keys"
)

// run reloads at each signal until the context ends. A signal that arrives before the start or during a reload causes
// one more reload, so that the newest files are in force in the end.
func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
			r.reload()
		}
	}
}

// reload reads each source of settings and takes it up by itself: one that is refused holds back no other. The
// configuration comes first, as drains and purges depend on its command channel.
func (r *reloader) reload() {
	var result reloadResult
	r.reloadConfig(&result)
	r.reloadOperator(&result)
	if len(result.applied) == 0 {
		return
	}
	r.applied.Add(1)
	fields := logrus.Fields{"channel": r.channel, "applied": strings.Join(result.applied, " ")}
	if len(result.refused) > 0 {
		fields["refused"] = strings.Join(result.refused, " ")
	}
	if len(result.needRestart) > 0 {
		fields["until a restart"] = strings.Join(result.needRestart, " ")
	}
	r.log.WithFields(fields).Info("reloaded")
}

// refuse reports a source that cannot be taken up.
func (r *reloader) refuse(result *reloadResult, source, message string, err error) {
	result.refused = append(result.refused, source)
	r.failed.Add(1)
	r.log.WithError(err).WithField("source", source).Error(message)
}

func (r *reloader) reloadConfig(result *reloadResult) {
	c, err := r.LoadConfig()
	if err != nil {
		r.refuse(result, sourceConfig, "cannot load the new configuration; keeping the previous one", err)
		return
	}
	r.follower.Move(channel.Source{Address: c.Channel, PastEvents: c.Known})
	r.channel = c.Channel
	result.applied = append(result.applied, sourceConfig)
	result.needRestart = append(result.needRestart, r.running.ChangedFixedFields(c)...)
}

func (r *reloader) reloadOperator(result *reloadResult) {
	s, err := r.LoadOperator()
	if err != nil {
		r.refuse(result, sourceOperator, "cannot load the operator's file; keeping the previous settings", err)
		return
	}
	r.operator.Store(s)
	result.applied = append(result.applied, sourceOperator)
	result.needRestart = append(result.needRestart, r.blocksForRestart(s)...)
	if err := r.linkDriver.rekey(s.Links); err != nil {
		r.refuse(result, sourceLinkKeys, keysRefused, err)
	}
	if s.Fair.On && r.start.Fair.On {
		block := s.Fair
		block.Club, block.Client = r.start.Fair.Club, r.start.Fair.Client // the server keeps the params of the start
		r.linkDriver.poster.post(FairnessChanged{Block: block})
	}
	if points := s.Failpoints; failpoint.On {
		failpoint.Set(points)
		r.log.WithFields(logrus.Fields{"stop": points.Stop, "kill": points.Kill}).Warn("failpoints in force")
	}
}

// blocksForRestart returns the names of the operator's blocks that differ from those of the start in what a running gateway
// does not take up.
func (r *reloader) blocksForRestart(s *Settings) (names []string) {
	for _, block := range []struct {
		name    string
		differs bool
	}{{"links", r.linkDriver.needsRestart(s.Links)}, {"fair", s.Fair.needsRestart(r.start.Fair)},
		{"purges", s.Purges != r.start.Purges}, {"machines", !reflect.DeepEqual(s.Machines, r.start.Machines)},
		{"jobs", !reflect.DeepEqual(s.Jobs, r.start.Jobs)}, {"quorum", !reflect.DeepEqual(s.Quorum, r.start.Quorum)}} {
		if block.differs {
			names = append(names, block.name)
		}
	}
	return names
}
