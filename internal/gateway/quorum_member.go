package gateway

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"poppymill/internal/failpoint"
	"poppymill/internal/gatewayconfig"
	"poppymill/internal/maintenance"
	maintenancedriver "poppymill/internal/maintenance/driver"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	purgesdriver "poppymill/internal/purges/driver"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/router"
)

// quorumMember is this gateway's membership in the quorum of gateways, if the operator enables it. It has a loop of its
// own; the loop that serves downloads neither waits for it nor depends on it.
type quorumMember struct {
	replica *quorumdriver.Replica // nil if disabled
	log     logrus.FieldLogger
	cancel  context.CancelFunc
}

// newQuorumMember opens the quorum's store and connects the quorum with the core. It does nothing if the operator's file
// does not enable the quorum.
func newQuorumMember(o *Settings, c *gatewayconfig.Config, core *Core, p *poster,
	log logrus.FieldLogger) (*quorumMember, error) {
	m := &quorumMember{log: log, cancel: func() {}}
	b := o.Quorum
	if !b.On {
		return m, nil
	}
	failpoint.Set(o.Failpoints)
	zone, _ := c.RouterSettings["zone"].(string)
	jobs, handlers := o.Jobs, map[string]ownerdriver.Handler{owner.KindWarm: warmHandler(p), ownerdriver.KindHold: ownerdriver.HoldHandler()}
	jobRunner, err := ownerdriver.Open(jobs, b.Store, handlers, log)
	if err != nil {
		log.WithError(err).Error("jobs: disabled until a restart: this gateway owns no jobs and runs no effects")
		jobs.On = false
		if jobRunner, err = ownerdriver.Open(jobs, "", nil, log); err != nil {
			return m, err
		}
	}
	b.Settings.RunsOwnedWork = jobs.On
	if o.Purges.On {
		b.Settings.ReadIndexInterval = min(o.Purges.Limits.Delay/8, b.Settings.Lease/6)
	}
	proxy := coreProxy{poster: p, knownUntil: &knownUntil{}}
	proxy.SetKnown(-1)
	maintenanceCoordinator, purgeService := maintenancedriver.Open(o.Machines, jobRunner, proxy, log), purgesdriver.Open(o.Purges, jobRunner, proxy, log)
	core.EnablePurges(zone, o.Purges.EffectiveLimits(), o.Purges.On, proxy.knownUntil.at, p.now)
	if m.replica, err = quorumdriver.Open(b, c.Name, zone, maxPeerConns(c), quorumdriver.Subsystems{jobRunner, maintenanceCoordinator, purgeService},
		log); err == nil && o.Machines.On {
		core.OnNodesChanged(func(there map[string]bool) { m.replica.Post(maintenancedriver.ListedNodes{Present: there}) })
	}
	if err == nil && (o.Machines.On || o.Purges.On) {
		core.Measure(func(load maintenance.Load, fills float64) {
			m.replica.Post(load)
			m.replica.Post(purgesdriver.Misses{Rate: fills})
		})
	}
	if err == nil && jobs.On && jobs.Limits.WarmRounds > 0 {
		core.OnNodeListed(func(n router.Entry) {
			if left := ColdRemaining(c, n, p.now()); left > 0 {
				m.replica.Post(owner.NodeStarted{Node: n.Node, Zone: n.Zone, Start: uint64(n.StartedAt), ColdFor: left})
			}
		})
	}
	return m, err
}

// run takes part in the quorum until leave.
func (m *quorumMember) run(g *errgroup.Group) {
	if m.replica == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.log.WithField("peers", m.replica.Address()).Info("quorum: started")
	g.Go(func() error {
		if err := m.replica.Run(ctx); err != nil {
			m.log.WithError(err).Error("quorum: cannot close the store")
		}
		return nil
	})
}

// leave resigns from the quorum; open downloads continue.
func (m *quorumMember) leave() { m.cancel() }
