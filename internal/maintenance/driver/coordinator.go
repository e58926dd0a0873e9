// Package driver connects package maintenance to a gateway: its state machine to the replicated log, draining of
// machines to the gateway's core, and grants to the gateway that owns the schedule. It makes no decisions of its own.
package driver

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/maintenance"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

// StateMachineName is the name of the state machine in the log. Schedule is the name of the job whose owner grants
// machines.
const (
	StateMachineName = "machines"
	Schedule         = "machines"
)

// Intervals, in ms: between checks of a gateway's duties, and between the leader's Tick commands.
const (
	checkEvery = 100.0
	tickEvery  = 500.0
)

// Core is the gateway's core, which runs in its own loop. Leave makes it send no new requests to the nodes; done is
// called once, with the same number, when no request to them is in flight any more.
type Core interface {
	StopUsing(nodes []string, number int, done func(number int))
}

// ListedNodes is the event that reports the edge caches and hubs present in this gateway's node list. All others are
// lost or drained.
type ListedNodes struct{ Present map[string]bool }

// drainedNodes is the event by which the core reports that no request is in flight to the nodes of that call of StopUsing.
type drainedNodes struct{ number int }

// Coordinator carries out one gateway's duties in maintenance windows. It runs in the loop of the quorum's driver.
type Coordinator struct {
	block         Block
	state         *maintenance.State
	runner        *ownerdriver.Runner
	core          Core
	replica       *quorumdriver.Replica
	log           logrus.FieldLogger
	status        quorumdriver.LogAdvanced // this gateway's standing in the quorum, as of the last event
	now           float64                  // ms, by the loop's clock, as are the next three
	nextCheck     float64
	lastTick      float64
	nextPlan      float64            // earliest time of the next plan, so that planning a large fleet does not block the loop
	inFlight      map[string]float64 // commands proposed or just rejected, with the time from which each may be proposed again
	leftNodes     []string           // nodes that the core was last told to stop using
	leaveNumber   int                // number of calls of Core.StopUsing
	drainedNumber int                // the highest number that the core reported as drained
	listed        map[string]bool    // nodes in this gateway's node list; nil: no list yet
	load          maintenance.Load   // this gateway's last measurement
	peakMeter     maintenance.PeakMeter
	loggedStages  map[string]string // by machine: the stage and token that were logged last
	unixMillis    func() float64
	changed       bool // an event since the last check may require action
}

// stateMachine adapts maintenance.State to the log's commands.
type stateMachine struct{ *maintenance.State }

// Apply applies a committed command.
func (s stateMachine) Apply(index uint64, c quorum.Command) any {
	return s.State.Apply(index, c.Kind, c.Data)
}

// MemberChanged applies a change of the fleet's membership.
func (s stateMachine) MemberChanged(_ uint64, m quorum.Member) {
	s.State.SetGateway(m.Name, m.Incarnation, m.State == quorum.MemberJoined)
}

// SkipTokens raises the token counter above every token that can have been issued, after log entries may have been lost.
func (s stateMachine) SkipTokens() { s.State.LastToken += 1 << 32 }

// EmptyStateMachines returns an empty state machine under its name in the log, to read a gateway's store with.
func EmptyStateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: stateMachine{maintenance.New()}}
}

// Open creates the coordinator of a gateway. Without the block it only follows the log, and still drains machines that
// are about to leave.
func Open(b Block, runner *ownerdriver.Runner, core Core, log logrus.FieldLogger) *Coordinator {
	return &Coordinator{block: b, state: maintenance.New(), runner: runner, core: core, log: log, inFlight: map[string]float64{},
		loggedStages: map[string]string{}, unixMillis: func() float64 { return float64(time.Now().UnixMilli()) }}
}

// StateMachines returns its state machine under its name in the log.
func (co *Coordinator) StateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: stateMachine{co.state}}
}

// Start sets the replica that commands are proposed to.
func (co *Coordinator) Start(c *quorumdriver.Replica) { co.replica = c }

// NextDeadline returns the time of the next check.
func (co *Coordinator) NextDeadline() float64 {
	if len(co.state.Windows) == 0 && (!co.block.On || co.status.Incarnation == 0) {
		return math.Inf(1)
	}
	return co.nextCheck
}

// Idle reports that there is no outstanding work to wait for.
func (co *Coordinator) Idle() bool { return true }

// Close has nothing to release.
func (co *Coordinator) Close() error { return nil }

// Handle processes an event of the replica or of the core.
func (co *Coordinator) Handle(now float64, e any) {
	co.now = now
	switch e := e.(type) {
	case quorumdriver.LogAdvanced:
		co.status = e
		co.logStages()
		co.changed = true
	case maintenance.Load:
		co.load = e
		if co.status.Incarnation != 0 && co.block.On {
			if o := co.peakMeter.Observe(co.unixMillis(), e, co.state, co.status.Name); o != nil {
				co.propose(maintenance.ReportPeak, "", o)
			}
		}
	case ListedNodes:
		co.listed, co.changed = e.Present, true
	case drainedNodes:
		if e.number > co.drainedNumber {
			co.drainedNumber, co.changed = e.number, true
		}
	}
	if co.changed || now >= co.nextCheck {
		co.changed, co.nextCheck = false, now+checkEvery
		co.leaveNodes() // at once, even while this gateway may not propose commands
		if co.status.Incarnation != 0 {
			co.runDuties()
		}
	}
}

// runDuties performs what this gateway has to do in its current roles.
func (co *Coordinator) runDuties() {
	co.acknowledge()
	if co.status.Leads && co.block.On {
		co.runLeaderDuties()
	}
	if token, owns := co.runner.Owns(Schedule); owns && co.block.On {
		co.grantPlanned(token)
	}
}

// propose proposes a command, unless the same one was proposed less than a second ago and is still undecided, or was
// just rejected.
func (co *Coordinator) propose(kind, key string, content any) {
	key = kind + " " + key
	if co.now < co.inFlight[key] {
		return
	}
	co.inFlight[key] = co.now + 1000
	co.replica.Propose(quorum.Command{StateMachine: StateMachineName, Kind: kind, Data: codec.Encode(content)}, func(o quorum.Outcome) {
		delete(co.inFlight, key)
		if o.Err != nil && !errors.Is(o.Err, quorum.ErrGivenUp) && !errors.Is(o.Err, quorum.ErrBusy) {
			co.inFlight[key] = co.now + checkEvery // rejected when applied: the next check decides whether to propose it again
		}
	})
	if len(co.inFlight) > 4096 {
		maps.DeleteFunc(co.inFlight, func(_ string, until float64) bool { return co.now >= until })
	}
}

// leaveNodes makes the core send no new requests to machines that are draining or out.
func (co *Coordinator) leaveNodes() {
	var nodes []string
	for _, name := range slices.Sorted(maps.Keys(co.state.Windows)) {
		if w, m := co.state.Windows[name], co.state.Machine(name); m != nil && (w.Stage == maintenance.Draining || w.Stage == maintenance.OutOfService || w.Stage == maintenance.Overdue) {
			nodes = append(append(nodes, m.Boxes...), m.Hubs...)
		}
	}
	if !slices.Equal(nodes, co.leftNodes) {
		co.leftNodes = nodes
		co.leaveNumber++
		co.core.StopUsing(nodes, co.leaveNumber, func(number int) { co.replica.Post(drainedNodes{number}) })
	}
}

// acknowledge proposes that this gateway has drained a draining machine, and that it finds a returned machine warm.
func (co *Coordinator) acknowledge() {
	for _, name := range slices.Sorted(maps.Keys(co.state.Windows)) {
		w, m := co.state.Windows[name], co.state.Machine(name)
		if m != nil && w.Stage == maintenance.Warming && !w.Warm[co.status.Name] && co.state.IsWarm(m, co.load) {
			co.propose(maintenance.ReportWarm, name, maintenance.CommandData{At: co.unixMillis(), Machine: name, Token: w.Token, Gateway: co.status.Name})
		}
		if co.drainedNumber == co.leaveNumber && m != nil && w.Stage == maintenance.Draining && !w.Acks[co.status.Name] && !slices.Contains(m.Gateways, co.status.Name) {
			co.propose(maintenance.Ack, name, maintenance.CommandData{At: co.unixMillis(), Machine: name, Token: w.Token, Gateway: co.status.Name})
		}
	}
}

// runLeaderDuties proposes what only the leader proposes: the inventory, the voters, lost nodes, ticks and the job that
// owns the schedule.
func (co *Coordinator) runLeaderDuties() {
	if co.block.Inventory.Version > co.state.Inventory.Version {
		co.propose(maintenance.SetInventory, "", co.block.Inventory)
	}
	if !co.runner.IsRunning(Schedule) {
		co.replica.Propose(quorum.Command{StateMachine: ownerdriver.StateMachineName, Kind: owner.Start, Data: codec.Encode(owner.Job{Name: Schedule, Kind: ownerdriver.KindHold, Steps: 1, Window: 1})}, func(quorum.Outcome) {})
	}
	if voters := co.replica.Voters(); len(voters) > 0 && !slices.Equal(voters, co.state.Voters) {
		co.propose(maintenance.SetVoters, "", maintenance.CommandData{Names: voters})
	}
	co.replica.Retire(co.state.LeavingGateways())
	if co.listed != nil {
		var lost []string
		for _, m := range co.state.Inventory.Machines {
			for _, n := range slices.Concat(m.Boxes, m.Hubs) {
				if !co.listed[n] {
					lost = append(lost, n)
				}
			}
		}
		slices.Sort(lost)
		if known := slices.Sorted(maps.Keys(co.state.Lost)); !slices.Equal(known, lost) {
			co.propose(maintenance.SetLost, "", maintenance.CommandData{At: co.unixMillis(), Names: lost})
		}
	}
	if len(co.state.Windows) > 0 && co.now >= co.lastTick+tickEvery { // by the local clock, since other commands advance the log's time too
		co.lastTick = co.now
		co.propose(maintenance.Tick, "", maintenance.CommandData{At: co.unixMillis()})
	}
}

// grantPlanned finishes the warm-up of machines reported warm, and grants the machines that the plan starts now.
func (co *Coordinator) grantPlanned(token uint64) {
	if len(co.state.Windows) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(co.state.Windows)) {
		if m := co.state.Machine(name); m != nil && co.state.WarmByMajority(m, co.state.Windows[name]) {
			co.propose(maintenance.FinishWarming, name, maintenance.CommandData{At: co.unixMillis(), Machine: name, OwnerToken: token})
		}
	}
	if co.now < co.nextPlan {
		return
	}
	started := time.Now()
	plan := co.state.Plan()
	co.nextPlan = co.now + 10*float64(time.Since(started))/float64(time.Millisecond)
	for _, slot := range plan {
		if w := co.state.Windows[slot.Machine]; !slot.Never && slot.Start <= co.state.Now && w != nil && w.Stage == maintenance.Queued {
			failpoint.Here(failpoint.Scheduling)
			co.propose(maintenance.Grant, slot.Machine, maintenance.CommandData{At: co.unixMillis(), Machine: slot.Machine, OwnerToken: token})
		}
	}
}

// logStages logs each machine that entered another stage.
func (co *Coordinator) logStages() {
	for _, name := range slices.Sorted(maps.Keys(co.state.Windows)) {
		w := co.state.Windows[name]
		if current := fmt.Sprint(w.Stage, w.Token); co.loggedStages[name] != current {
			co.loggedStages[name] = current
			co.log.WithFields(logrus.Fields{"machine": name, "is": w.Stage.String(), "token": w.Token, "why": w.Reason, "request": w.Request.ID}).Info("machines: stage")
		}
	}
	for name := range co.loggedStages {
		if co.state.Windows[name] == nil {
			delete(co.loggedStages, name)
			co.log.WithField("machine", name).Info("machines: in")
		}
	}
}

// CheckCommand checks whether operators, or a machine's agent, may propose a command.
func (co *Coordinator) CheckCommand(c quorum.Command) error {
	switch c.Kind {
	case maintenance.Submit, maintenance.Cancel, maintenance.Withdraw, maintenance.Drain, maintenance.Leave, maintenance.Return, maintenance.SetPeak:
		var o maintenance.CommandData
		if err := codec.Decode(c.Data, &o); err != nil {
			return err
		}
		if !co.block.On {
			return errors.New("machines: off at this gateway")
		}
		return nil
	}
	return fmt.Errorf("%s: not for people to ask for", c.Kind)
}

// Machine is the answer to a question about one machine.
type Machine struct {
	maintenance.Machine
	Stage       string              `json:"stage"`
	Degraded    bool                `json:"hurt"` // part of it is lost or drained
	Work        *maintenance.Window `json:"work,omitempty"`
	PendingAcks []string            `json:"waits,omitempty"` // gateways that have not acknowledged the drain
}

// describeMachine returns the answer for one machine.
func (co *Coordinator) describeMachine(m maintenance.Machine) Machine {
	answer := Machine{Machine: m, Stage: maintenance.InService.String(), Degraded: co.state.Degraded(m.Name), Work: co.state.Windows[m.Name]}
	if answer.Work != nil {
		if answer.Stage = answer.Work.Stage.String(); answer.Work.Stage == maintenance.Draining {
			answer.PendingAcks = co.state.PendingAcks(answer.Work, &m)
		}
	}
	return answer
}

// Query answers an operator's question.
func (co *Coordinator) Query(about, name string) (any, error) {
	switch about {
	case "machines":
		all := []Machine{}
		for _, m := range co.state.Inventory.Machines {
			all = append(all, co.describeMachine(m))
		}
		return map[string]any{"version": co.state.Inventory.Version, "limits": co.state.Inventory.Limits, "machines": all, "strangers": co.state.InventoryMismatches(), "here": co.block.Inventory.Version}, nil
	case "machine":
		if m := co.state.Machine(name); m != nil {
			return co.describeMachine(*m), nil
		}
		return nil, fmt.Errorf("machine %q: %w", name, maintenance.ErrUnknownMachine)
	case "plan":
		return map[string]any{"now": co.state.Now, "plan": append([]maintenance.Slot{}, co.state.Plan()...), "near": co.state.LimitUsage()}, nil
	case "ended":
		return append([]maintenance.FinishedRequest{}, co.state.Ended...), nil
	}
	return nil, quorumdriver.ErrUnknownSubject
}
