package virtual

import (
	"math"

	"poppymill/internal/canon"
	"poppymill/internal/gateway"
	"poppymill/internal/owner"
	"poppymill/internal/rehearsal/world"
	"poppymill/router"
)

// What the agreement of real gateways takes, in ms: until a command has its place in the log, until one that does not vote has
// followed it (it asks six times a lease), and until a gateway that went without a goodbye is said to be silent.
const (
	agreeTakes  = 10.0
	followTakes = 200.0
	silentAfter = 3000.0
)

// agreement is one order of commands for all gateways, as their log is, without what brings it about: that has tests of its own
// (internal/quorum). Each gateway follows it at its own pace, with an agent and a book of its own.
type agreement struct {
	d     *driver
	log   []decree
	inc   uint64
	parts []*part
}

// decree is one place of the log.
type decree struct {
	kind string
	data []byte
	name string // of a member, where it is word of one
	w    owner.Worker
}

// part is one gateway's.
type part struct {
	a      *agreement
	g      *gate
	name   string
	zone   string
	agent  *owner.Agent
	inc    uint64
	losses uint64
	at     int // places followed
	due    *world.Entry
	life   int
}

func newAgreement(d *driver) *agreement {
	a := &agreement{d: d}
	for i, g := range d.all {
		name, _, _ := d.world.Config(i)
		a.parts = append(a.parts, &part{a: a, g: g, name: name})
	}
	return a
}

// leader is the first gateway that is there.
func (a *agreement) leader() *part {
	for _, p := range a.parts {
		if p.agent != nil {
			return p
		}
	}
	return nil
}

// agree gives a command its place, some time later, and lets all that are there follow.
func (a *agreement) agree(x decree) {
	a.d.agenda.Add(a.d.now+agreeTakes, func() {
		a.log = append(a.log, x)
		upTo := len(a.log)
		for i, p := range a.parts {
			if p.agent == nil {
				continue
			}
			late := 0.0
			if i >= 7 { // voters are told at once
				late = followTakes * float64(i%16) / 16
			}
			life := p.life
			a.d.agenda.Add(a.d.now+late, func() {
				if p.life == life {
					p.follow(upTo)
				}
			})
		}
	})
}

// start has a gateway's new process join.
func (p *part) start() {
	p.a.inc++
	p.life++
	p.inc, p.at = p.a.inc, 0
	p.zone, _ = p.g.config.Footprint["zone"].(string)
	limits := owner.DefaultLimits()
	limits.WarmRounds, limits.WarmEach = p.a.d.script.Quorum.Warm, 24
	p.agent = owner.NewAgent(limits)
	p.due = p.a.d.agenda.Add(math.Inf(1), func() { p.handle(nil) })
	p.a.agree(decree{name: p.name, w: owner.Worker{Incarnation: p.inc, There: true, Losses: p.losses, Zone: p.zone}})
	p.g.core.Boots(func(n router.Entry) {
		if left := gateway.ColdFor(p.g.config, n, p.a.d.unix()); left > 0 {
			p.handle(owner.Booted{Node: n.Node, Zone: n.Zone, Start: uint64(n.Booted), Left: left})
		}
	})
}

// end is the end of its process; the log hears of it later, unless it says goodbye.
func (p *part) end(goodbye bool) {
	if p.agent == nil {
		return
	}
	p.agent = nil
	p.life++
	p.a.d.agenda.Move(p.due, math.Inf(1))
	inc, late := p.inc, silentAfter
	if goodbye {
		late = 0
	} else {
		p.losses++
	}
	losses := p.losses
	p.a.d.agenda.Add(p.a.d.now+late, func() {
		if p.inc == inc {
			p.a.agree(decree{name: p.name, w: owner.Worker{Incarnation: inc, Losses: losses, Zone: p.zone}})
		}
	})
}

func (p *part) follow(upTo int) {
	for ; p.at < upTo; p.at++ {
		if x := p.a.log[p.at]; x.name != "" {
			p.agent.Book.Member(uint64(p.at+1), x.name, x.w)
		} else {
			p.agent.Book.Apply(uint64(p.at+1), x.kind, x.data)
		}
	}
	p.handle(owner.Followed{Name: p.name, Incarnation: p.inc, Leads: p.a.leader() == p})
}

func (p *part) handle(e any) {
	if p.agent == nil {
		return
	}
	d := p.a.d
	for _, x := range p.agent.Handle(d.now, e) {
		switch x := x.(type) {
		case owner.Ask:
			data := canon.Encode(x.Claim)
			if x.Job != nil {
				data = canon.Encode(x.Job)
			}
			p.a.agree(decree{kind: x.Kind, data: data})
		case owner.Do:
			p.do(x)
		}
	}
	if p.agent != nil {
		d.agenda.Move(p.due, max(d.now, p.agent.Next()))
	}
}

// do carries out a step at this gateway's own core.
func (p *part) do(x owner.Do) {
	var w owner.Warming
	if canon.Decode(x.Job.Data, &w) != nil {
		return
	}
	d, life := p.a.d, p.life
	d.soon(func() {
		p.g.handle(gateway.Ahead{Node: w.Node, Most: w.Each, At: d.unix(), Done: func(filled, refused int) {
			d.stats.Ahead += filled
			d.soon(func() {
				if p.life == life {
					p.handle(owner.Ended{Job: x.Job.Name, Token: x.Token, Step: x.Step, End: gateway.WarmEnd(filled, refused)})
				}
			})
		}})
	})
}
