package gateway

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"poppymill/internal/failpoint"
	"poppymill/internal/footprint"
	"poppymill/internal/maintenance"
	machines "poppymill/internal/maintenance/drive"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	purges "poppymill/internal/purges/drive"
	"poppymill/internal/quorum/drive"
	"poppymill/router"
)

// council is this gateway's part in what the fleet agrees on, where the operator wants one. It has a loop of its own: the one
// that serves downloads neither waits for it nor needs it.
type council struct {
	council *drive.Council // nil: off
	log     logrus.FieldLogger
	end     context.CancelFunc
}

func newCouncil(o *Settings, c *footprint.Config, core *Core, p *poster, log logrus.FieldLogger) (*council, error) {
	k := &council{log: log, end: func() {}}
	b := o.Quorum
	if !b.On {
		return k, nil
	}
	failpoint.Set(o.Fails)
	zone, _ := c.Footprint["zone"].(string)
	jobs, hands := o.Jobs, map[string]owned.Hand{owner.Warm: warmHandler(p), owned.Hold: owned.HoldHand()}
	crew, err := owned.Open(jobs, b.Store, hands, log)
	if err != nil {
		log.WithError(err).Error("jobs: this gateway owns nothing and no effect happens here until it is started anew")
		jobs.On = false
		if crew, err = owned.Open(jobs, "", nil, log); err != nil {
			return k, err
		}
	}
	b.Settings.Works = jobs.On
	if o.Purges.On {
		b.Settings.Sight = min(o.Purges.Limits.Delay/8, b.Settings.Lease/6)
	}
	peer := coreProxy{poster: p, knownUntil: &knownUntil{}}
	peer.Known(-1)
	yard, sweep := machines.Open(o.Machines, crew, peer, log), purges.Open(o.Purges, crew, peer, log)
	core.Purges(zone, o.Purges.Held(), o.Purges.On, peer.knownUntil.at, p.now)
	if k.council, err = drive.Open(b, c.Name, zone, maxPeerConns(c), drive.Parts{crew, yard, sweep}, log); err == nil && o.Machines.On {
		core.OnNodesChanged(func(there map[string]bool) { k.council.Post(machines.Nodes{There: there}) })
	}
	if err == nil && (o.Machines.On || o.Purges.On) {
		core.Measure(func(l maintenance.Load, misses float64) {
			k.council.Post(l)
			k.council.Post(purges.Misses{Rate: misses})
		})
	}
	if err == nil && jobs.On && jobs.Limits.WarmRounds > 0 {
		core.Boots(func(n router.Entry) {
			if left := ColdFor(c, n, p.now()); left > 0 {
				k.council.Post(owner.Booted{Node: n.Node, Zone: n.Zone, Start: uint64(n.Booted), Left: left})
			}
		})
	}
	return k, err
}

// run plays the part until leave.
func (k *council) run(g *errgroup.Group) {
	if k.council == nil {
		return
	}
	ctx, end := context.WithCancel(context.Background())
	k.end = end
	k.log.WithField("peers", k.council.Address()).Info("quorum: takes part")
	g.Go(func() error {
		if err := k.council.Run(ctx); err != nil {
			k.log.WithError(err).Error("quorum: its store was not closed")
		}
		return nil
	})
}

// leave says goodbye to the others; downloads that are open go on.
func (k *council) leave() { k.end() }
