package virtual

import (
	"math"

	"poppymill/internal/codec"
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
	worker owner.Member
}

// logMember is one gateway's view of the log.
type logMember struct {
	consensus   *replicatedLog
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
	l := &replicatedLog{d: d}
	for i, g := range d.gateways {
		name, _, _ := d.world.Config(i)
		l.members = append(l.members, &logMember{consensus: l, g: g, name: name})
	}
	return l
}

// leader returns the first member whose gateway runs; nil if there is none.
func (l *replicatedLog) leader() *logMember {
	for _, m := range l.members {
		if m.agent != nil {
			return m
		}
	}
	return nil
}

// propose commits an entry after a delay and lets all running members apply it.
func (l *replicatedLog) propose(entry logEntry) {
	l.d.queue.Add(l.d.now+commitDelay, func() {
		l.entries = append(l.entries, entry)
		upTo := len(l.entries)
		for i, m := range l.members {
			if m.agent == nil {
				continue
			}
			delay := 0.0
			if i >= 7 { // the first seven are voters, which apply it at once
				delay = followerDelay * float64(i%16) / 16
			}
			process := m.process
			l.d.queue.Add(l.d.now+delay, func() {
				if m.process == process {
					m.follow(upTo)
				}
			})
		}
	})
}

// start joins a gateway's new process.
func (m *logMember) start() {
	m.consensus.incarnations++
	m.process++
	m.incarnation, m.applied = m.consensus.incarnations, 0
	m.zone, _ = m.g.config.RouterSettings["zone"].(string)
	limits := owner.DefaultLimits()
	limits.WarmRounds, limits.WarmEach = m.consensus.d.script.Quorum.Warm, 24
	m.agent = owner.NewAgent(limits)
	m.timer = m.consensus.d.queue.Add(math.Inf(1), func() { m.handle(nil) })
	m.consensus.propose(logEntry{name: m.name, worker: owner.Member{Incarnation: m.incarnation, Present: true, Losses: m.losses, Zone: m.zone}})
	m.g.core.OnNodeListed(func(n router.Entry) {
		if remaining := gateway.ColdRemaining(m.g.config, n, m.consensus.d.unix()); remaining > 0 {
			m.handle(owner.NodeStarted{Node: n.Node, Zone: n.Zone, Start: uint64(n.StartedAt), ColdFor: remaining})
		}
	})
}

// stop handles the end of a gateway's process. The log learns of it after silenceTimeout, or at once if it was announced.
func (m *logMember) stop(announced bool) {
	if m.agent == nil {
		return
	}
	m.agent = nil
	m.process++
	m.consensus.d.queue.Move(m.timer, math.Inf(1))
	incarnation, delay := m.incarnation, silenceTimeout
	if announced {
		delay = 0
	} else {
		m.losses++
	}
	losses := m.losses
	m.consensus.d.queue.Add(m.consensus.d.now+delay, func() {
		if m.incarnation == incarnation {
			m.consensus.propose(logEntry{name: m.name, worker: owner.Member{Incarnation: incarnation, Losses: losses, Zone: m.zone}})
		}
	})
}

func (m *logMember) follow(upTo int) {
	for ; m.applied < upTo; m.applied++ {
		if entry := m.consensus.entries[m.applied]; entry.name != "" {
			m.agent.State.ApplyMember(uint64(m.applied+1), entry.name, entry.worker)
		} else {
			m.agent.State.Apply(uint64(m.applied+1), entry.kind, entry.data)
		}
	}
	m.handle(owner.LogApplied{Name: m.name, Incarnation: m.incarnation, Leads: m.consensus.leader() == m})
}

func (m *logMember) handle(e any) {
	if m.agent == nil {
		return
	}
	d := m.consensus.d
	for _, x := range m.agent.Handle(d.now, e) {
		switch x := x.(type) {
		case owner.Propose:
			data := codec.Encode(x.Claim)
			if x.Job != nil {
				data = codec.Encode(x.Job)
			}
			m.consensus.propose(logEntry{kind: x.Kind, data: data})
		case owner.SendEffect:
			m.runStep(x)
		}
	}
	if m.agent != nil {
		d.queue.Move(m.timer, max(d.now, m.agent.NextDeadline()))
	}
}

// runStep runs a job's step on this gateway's own core.
func (m *logMember) runStep(step owner.SendEffect) {
	var warming owner.WarmData
	if codec.Decode(step.Job.Data, &warming) != nil {
		return
	}
	d, process := m.consensus.d, m.process
	d.runNext(func() {
		m.g.handle(gateway.Prefetch{Node: warming.Node, Limit: warming.Each, At: d.unix(), Done: func(filled, refused int) {
			d.stats.Prefilled += filled
			d.runNext(func() {
				if m.process == process {
					m.handle(owner.StepEnded{Job: step.Job.Name, Token: step.Token, Step: step.Step, End: gateway.WarmResult(filled, refused)})
				}
			})
		}})
	})
}
