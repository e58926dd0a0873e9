package virtual

import (
	"math"

	"poppymill/internal/canon"
	"poppymill/internal/gateway"
	"poppymill/internal/owner"
	"poppymill/internal/rehearsal/world"
	"poppymill/router"
)

// Delays of a real consensus group, in ms: until a command is committed, until a non-voter has applied it (it polls six times
// a lease), and until a gateway that stopped without notice is reported as silent.
const (
	commitDelay    = 10.0
	followerDelay  = 200.0
	silenceTimeout = 3000.0
)

// replicatedLog gives all gateways one order of commands, as the log of a real consensus group does, but without the protocol,
// which has tests of its own (internal/quorum). Each gateway applies the log at its own pace, with its own agent and job state
// machine.
type replicatedLog struct {
	d            *driver
	entries      []logEntry
	incarnations uint64
	members      []*logMember
}

// logEntry is one committed command or membership change.
type logEntry struct {
	kind   string
	data   []byte
	name   string // member that the entry is about; empty for a command
	worker owner.Worker
}

// logMember is one gateway's view of the log.
type logMember struct {
	log         *replicatedLog
	g           *gatewayProcess
	name        string
	zone        string
	agent       *owner.Agent
	incarnation uint64
	losses      uint64
	applied     int // entries applied so far
	timer       *world.Entry
	process     int
}

func newReplicatedLog(d *driver) *replicatedLog {
	a := &replicatedLog{d: d}
	for i, g := range d.gateways {
		name, _, _ := d.world.Config(i)
		a.members = append(a.members, &logMember{log: a, g: g, name: name})
	}
	return a
}

// leader returns the first member whose gateway runs; nil if there is none.
func (a *replicatedLog) leader() *logMember {
	for _, p := range a.members {
		if p.agent != nil {
			return p
		}
	}
	return nil
}

// propose commits an entry after a delay and lets all running members apply it.
func (a *replicatedLog) propose(entry logEntry) {
	a.d.agenda.Add(a.d.now+commitDelay, func() {
		a.entries = append(a.entries, entry)
		upTo := len(a.entries)
		for i, p := range a.members {
			if p.agent == nil {
				continue
			}
			delay := 0.0
			if i >= 7 { // the first seven are voters, which apply it at once
				delay = followerDelay * float64(i%16) / 16
			}
			process := p.process
			a.d.agenda.Add(a.d.now+delay, func() {
				if p.process == process {
					p.follow(upTo)
				}
			})
		}
	})
}

// start joins a gateway's new process.
func (p *logMember) start() {
	p.log.incarnations++
	p.process++
	p.incarnation, p.applied = p.log.incarnations, 0
	p.zone, _ = p.g.config.Footprint["zone"].(string)
	limits := owner.DefaultLimits()
	limits.WarmRounds, limits.WarmEach = p.log.d.script.Quorum.Warm, 24
	p.agent = owner.NewAgent(limits)
	p.timer = p.log.d.agenda.Add(math.Inf(1), func() { p.handle(nil) })
	p.log.propose(logEntry{name: p.name, worker: owner.Worker{Incarnation: p.incarnation, There: true, Losses: p.losses, Zone: p.zone}})
	p.g.core.Boots(func(n router.Entry) {
		if remaining := gateway.ColdFor(p.g.config, n, p.log.d.unix()); remaining > 0 {
			p.handle(owner.Booted{Node: n.Node, Zone: n.Zone, Start: uint64(n.Booted), Left: remaining})
		}
	})
}

// stop handles the end of a gateway's process. The log learns of it after silenceTimeout, or at once if it was announced.
func (p *logMember) stop(announced bool) {
	if p.agent == nil {
		return
	}
	p.agent = nil
	p.process++
	p.log.d.agenda.Move(p.timer, math.Inf(1))
	incarnation, delay := p.incarnation, silenceTimeout
	if announced {
		delay = 0
	} else {
		p.losses++
	}
	losses := p.losses
	p.log.d.agenda.Add(p.log.d.now+delay, func() {
		if p.incarnation == incarnation {
			p.log.propose(logEntry{name: p.name, worker: owner.Worker{Incarnation: incarnation, Losses: losses, Zone: p.zone}})
		}
	})
}

func (p *logMember) follow(upTo int) {
	for ; p.applied < upTo; p.applied++ {
		if x := p.log.entries[p.applied]; x.name != "" {
			p.agent.Book.Member(uint64(p.applied+1), x.name, x.worker)
		} else {
			p.agent.Book.Apply(uint64(p.applied+1), x.kind, x.data)
		}
	}
	p.handle(owner.Followed{Name: p.name, Incarnation: p.incarnation, Leads: p.log.leader() == p})
}

func (p *logMember) handle(e any) {
	if p.agent == nil {
		return
	}
	d := p.log.d
	for _, x := range p.agent.Handle(d.now, e) {
		switch x := x.(type) {
		case owner.Ask:
			data := canon.Encode(x.Claim)
			if x.Job != nil {
				data = canon.Encode(x.Job)
			}
			p.log.propose(logEntry{kind: x.Kind, data: data})
		case owner.Do:
			p.runStep(x)
		}
	}
	if p.agent != nil {
		d.agenda.Move(p.timer, max(d.now, p.agent.Next()))
	}
}

// runStep runs a job's step on this gateway's own core.
func (p *logMember) runStep(x owner.Do) {
	var w owner.Warming
	if canon.Decode(x.Job.Data, &w) != nil {
		return
	}
	d, process := p.log.d, p.process
	d.runNext(func() {
		p.g.handle(gateway.Ahead{Node: w.Node, Most: w.Each, At: d.unix(), Done: func(filled, refused int) {
			d.stats.Prefilled += filled
			d.runNext(func() {
				if p.process == process {
					p.handle(owner.Ended{Job: x.Job.Name, Token: x.Token, Step: x.Step, End: gateway.WarmEnd(filled, refused)})
				}
			})
		}})
	})
}
