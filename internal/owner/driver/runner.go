// Package driver connects jobs (package owner) to the replicated log of the gateways: it applies log entries to the
// state machine, feeds the replica's events to the agent, and sends effects to their executing gateways over the
// peer connections. It makes no decisions of its own.
package driver

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"

	"github.com/sirupsen/logrus"

	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/owner"
	"poppymill/internal/owner/effectlog"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

// StateMachineName is the name of the jobs' state machine in the log.
const StateMachineName = "jobs"

// KindDrill is the kind of jobs that exercise the mechanism: each step is an entry in the record of its executing
// gateway.
const KindDrill = "drill"

// Handler executes the steps of one kind of job at their owner. Do must not block; done is called once, from any
// goroutine.
type Handler struct {
	Type  owner.Type
	Check func(j owner.Job) error // validates a job that an operator starts
	Do    func(e effectlog.Effect, done func(owner.Outcome))
}

// Runner runs jobs on one gateway. All methods are called from the replica's loop.
type Runner struct {
	block       Block
	agent       *owner.Agent
	effectLog   *effectlog.Log
	replica     *quorumdriver.Replica
	handlers    map[string]Handler
	log         logrus.FieldLogger
	followed    quorumdriver.LogAdvanced
	loggedIndex uint64 // log index up to which changes were written to the program's log
	queue       []any  // events that arrived while another was being handled
	handling    bool
	closed      bool
	now         float64
}

// stateMachine adapts owner.StateMachine to the interface of the log.
type stateMachine struct{ *owner.StateMachine }

func (b stateMachine) Apply(index uint64, c quorum.Command) any {
	return b.StateMachine.Apply(index, c.Kind, c.Data)
}

func (b stateMachine) MemberChanged(index uint64, m quorum.Member) {
	b.StateMachine.ApplyMember(index, m.Name, owner.Member{Incarnation: m.Incarnation, Present: m.State == quorum.MemberJoined, Losses: m.LeaseExpirations, Zone: m.Zone, Idle: !m.RunsOwnedWork})
}

// SkipTokens raises the token counter above every token that can have been issued.
func (b stateMachine) SkipTokens() { b.StateMachine.LastToken += 1 << 32 }

// EmptyStateMachines returns empty state machines for reading a store offline.
func EmptyStateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: stateMachine{owner.New(owner.DefaultLimits().MaxJobs)}}
}

// Open creates the Runner of a gateway that keeps its record of effects in a folder. Without the block it applies
// the log, but owns nothing and executes no effects.
func Open(b Block, folder string, handlers map[string]Handler, log logrus.FieldLogger) (*Runner, error) {
	c := &Runner{block: b, agent: owner.NewAgent(b.limits()), handlers: handlers, log: log}
	if b.On {
		if folder != "" {
			folder = filepath.Clean(folder)
		}
		var err error
		if c.effectLog, err = effectlog.Open(folder, log); err != nil {
			return nil, fmt.Errorf("jobs: %w", err)
		}
		go c.effectLog.Run()
	}
	return c, nil
}

// StateMachines returns the state machines that this subsystem keeps in the log.
func (c *Runner) StateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: stateMachine{c.agent.State}}
}

// Start sets the replica.
func (c *Runner) Start(replica *quorumdriver.Replica) { c.replica = replica }

// NextDeadline returns the time of the next deadline.
func (c *Runner) NextDeadline() float64 {
	if !c.block.On {
		return math.Inf(1)
	}
	return c.agent.NextDeadline()
}

// Idle reports whether nothing of this gateway's own is in flight.
func (c *Runner) Idle() bool { return c.agent.Idle() }

// Owns returns the token under which this gateway owns a job, as far as it has applied the log, and whether it
// does.
func (c *Runner) Owns(job string) (uint64, bool) {
	j := c.agent.State.Jobs[job]
	if j == nil || j.Owner != c.followed.Name || j.Incarnation != c.followed.Incarnation || c.followed.Incarnation == 0 {
		return 0, false
	}
	return j.Token, true
}

// IsRunning reports whether a job is running.
func (c *Runner) IsRunning(job string) bool {
	j := c.agent.State.Jobs[job]
	return j != nil && j.State == owner.Running
}

// Close stops handling events and closes the record of effects.
func (c *Runner) Close() error {
	c.closed = true
	if c.effectLog == nil {
		return nil
	}
	return c.effectLog.Close()
}

// Handle processes an event from the replica, the local executing gateway or a Handler.
func (c *Runner) Handle(now float64, e any) {
	if c.now = now; c.closed || !c.block.On {
		return
	}
	if c.queue = append(c.queue, e); c.handling {
		return
	}
	c.handling = true
	for len(c.queue) > 0 {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.handle(e)
	}
	c.handling = false
}

func (c *Runner) handle(e any) {
	switch e := e.(type) {
	case quorumdriver.LogAdvanced:
		c.followed = e
		c.logChanges(e.Restored)
		c.perform(c.agent.Handle(c.now, owner.LogApplied{Name: e.Name, Incarnation: e.Incarnation, Leads: e.Leads}))
	case quorumdriver.ShuttingDown:
		c.perform(c.agent.Handle(c.now, owner.Leaving{}))
	case quorumdriver.PeerRequest:
		c.handleFrame(e)
	case nil:
		if c.now >= c.agent.NextDeadline() {
			c.perform(c.agent.Handle(c.now, nil))
		}
	case owner.StepEnded, owner.ProposalDone, owner.NodeStarted:
		c.perform(c.agent.Handle(c.now, e))
	}
}

// logChanges logs each new change of a job's owner or state.
func (c *Runner) logChanges(restored bool) {
	last := c.loggedIndex
	for _, j := range c.agent.State.All() {
		for _, h := range j.History {
			if last = max(last, h.Index); h.Index > c.loggedIndex && !restored {
				c.log.WithFields(logrus.Fields{"job": j.Name, "owner": h.Owner, "incarnation": h.Incarnation, "token": h.Token, "index": h.Index}).
					Info("jobs: " + h.Event)
			}
		}
	}
	c.loggedIndex = last
}

func (c *Runner) perform(actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Propose:
			switch a.Kind {
			case owner.Complete:
				failpoint.Here(failpoint.Executed)
			case owner.Grant:
				failpoint.Here(failpoint.Granting)
			}
			data := codec.Encode(a.Claim)
			if a.Job != nil {
				data = codec.Encode(a.Job)
			}
			c.replica.Propose(quorum.Command{StateMachine: StateMachineName, Kind: a.Kind, Data: data}, func(o quorum.Outcome) {
				// Any other error means that this process may no longer propose; a retry would not help.
				c.Handle(c.now, owner.ProposalDone{Failed: errors.Is(o.Err, quorum.ErrGivenUp) || errors.Is(o.Err, quorum.ErrBusy)})
			})
		case owner.RaiseToken:
			c.effectLog.Raise(a.Job, a.Token)
		case owner.SendEffect:
			failpoint.Here(failpoint.Sending)
			c.send(a)
		}
	}
}

// send delivers an effect: to a Handler of this gateway, to its own record, or to another gateway.
func (c *Runner) send(do owner.SendEffect) {
	e := effectlog.Effect{Job: do.Job.Name, Kind: do.Job.Kind, Token: do.Token, Step: do.Step, Type: do.Job.Type, Data: do.Job.Data, From: c.followed.Name, Incarnation: c.followed.Incarnation}
	ended := func(end owner.Outcome) {
		if _, handler := c.handlers[e.Kind]; end == owner.NotRun && handler {
			c.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step}).Info("jobs: step deferred, no capacity yet")
		} else if end == owner.NotRun {
			c.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step, "place": do.Job.ExecutingGateway(do.Step)}).Warn("jobs: step was not executed")
		}
		c.replica.Post(owner.StepEnded{Job: e.Job, Token: e.Token, Step: e.Step, End: end})
	}
	if handler, registered := c.handlers[e.Kind]; registered {
		handler.Do(e, ended)
		return
	}
	if to := do.Job.ExecutingGateway(do.Step); to != "" && to != c.followed.Name {
		e.Data = nil
		c.replica.Send(to, quorum.Frame{Kind: quorum.KindEffect, Data: codec.Encode(e)}, func() { ended(owner.NotRun) })
		return
	}
	c.effectLog.Do(e, func(r effectlog.Result) { ended(r.End) })
}

// handleFrame processes an effect from another gateway, or the result of an effect sent by this one.
func (c *Runner) handleFrame(asked quorumdriver.PeerRequest) {
	if asked.Frame.Kind == quorum.KindEffectResult {
		var r effectlog.Result
		if codec.Decode(asked.Frame.Data, &r) == nil && r.End >= owner.Ran && r.End <= owner.Refused {
			if r.End != owner.Ran {
				c.log.WithFields(logrus.Fields{"job": r.Job, "step": r.Step, "token": r.Token, "place": asked.From}).Warn("jobs: step not confirmed as run: " + r.Why)
			}
			c.perform(c.agent.Handle(c.now, owner.StepEnded{Job: r.Job, Token: r.Token, Step: r.Step, End: r.End}))
		}
		return
	}
	var e effectlog.Effect
	if codec.Decode(asked.Frame.Data, &e) != nil {
		return
	}
	answer := func(r effectlog.Result) {
		asked.Answer(quorum.Frame{Kind: quorum.KindEffectResult, Data: codec.Encode(r)})
	}
	refusal := effectlog.Result{Job: e.Job, Token: e.Token, Step: e.Step, End: owner.NotRun}
	switch {
	case c.followed.Incarnation == 0:
		// Until this gateway has applied the log up to its own start, it does not know all grants up to then. Waiting
		// for that makes up for tokens that were lost with a corrupt record.
		refusal.Why = "this gateway has not followed the log to its own start"
	case e.Kind != KindDrill || e.Type < owner.Safe || e.Type > owner.Unsafe:
		refusal.Why = "nothing of that kind happens here"
	default:
		c.effectLog.Do(e, answer)
		return
	}
	answer(refusal)
}

// CheckCommand reports whether an operator may propose a command.
func (c *Runner) CheckCommand(command quorum.Command) error {
	switch command.Kind {
	case owner.Start:
		var j owner.Job
		if err := codec.Decode(command.Data, &j); err != nil {
			return err
		}
		return c.check(j)
	case owner.Stop, owner.Fence, owner.Resolve:
		return nil
	}
	return fmt.Errorf("%s: not for people to ask for", command.Kind)
}

func (c *Runner) check(j owner.Job) error {
	handler, registered := c.handlers[j.Kind]
	switch {
	case !c.block.On:
		return errors.New("jobs: off at this gateway")
	case j.Kind != KindDrill && !registered:
		return fmt.Errorf("kind: %q is none of %v", j.Kind, append(slices.Sorted(maps.Keys(c.handlers)), KindDrill))
	case registered && j.Type != handler.Type:
		return fmt.Errorf("type: steps of %s are %v", j.Kind, handler.Type)
	case registered:
		return handler.Check(j)
	}
	for i, name := range j.Gateways {
		if _, known := c.agent.State.Workers[name]; !known {
			return fmt.Errorf("places: %d: no gateway %q is known", i, name)
		}
	}
	return nil
}

// Query answers an operator's query.
func (c *Runner) Query(subject, name string) (any, error) {
	switch subject {
	case "jobs":
		list := []owner.Report{}
		for _, j := range c.agent.State.All() {
			list = append(list, j.Report())
		}
		return list, nil
	case "job":
		if j := c.agent.State.Jobs[name]; j != nil {
			return j.Report(), nil
		}
		return nil, fmt.Errorf("job %q: %w", name, owner.ErrUnknownJob)
	case "effects":
		if c.effectLog == nil {
			return nil, errors.New("jobs: off at this gateway")
		}
		list := []effectlog.Entry{}
		for _, e := range c.effectLog.Entries() {
			if name == "" || e.Effect.Job == name {
				list = append(list, e)
			}
		}
		return list[max(0, len(list)-maxEntriesPerReply):], nil
	}
	return nil, quorumdriver.ErrUnknownSubject
}

// maxEntriesPerReply bounds the effects in one reply, which has to fit into a frame.
const maxEntriesPerReply = 4096

// CheckRecord checks a step that may have run against the record of its executing gateway: ran means that the step is
// on record, fenced that the gateway knows a newer token than the one the step was sent under. A step that is
// fenced and not on record did not run there and never will.
func CheckRecord(entries []effectlog.Entry, job string, d owner.UncertainStep) (ran, fenced bool) {
	for _, e := range entries {
		if e.Effect.Job == job && e.NewerToken == 0 {
			ran = ran || e.Effect.Step == d.Step && !e.FromLog
			fenced = fenced || e.Effect.Token > d.Token
		}
	}
	return ran, fenced
}
