// Package driver connects package purges to the quorum of gateways: the state machine to the replicated log, published
// bounds to this gateway's core, and batches to the owner of the batch job. It makes no decisions of its own.
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
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/purges"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

// StateMachineName is the name of the state machine in the log; BatchJob is the name of the job whose owner sends batches.
const (
	StateMachineName = "purges"
	BatchJob         = "purges"
)

// Intervals in ms while a purge is open.
const (
	batchCheckInterval = 50.0   // at which the owner checks whether a batch is due
	tickInterval       = 500.0  // at which the leader advances the time of the log
	missesInterval     = 1000.0 // at which this gateway reports its misses
)

// Core is the interface to a gateway's core.
type Core interface {
	// ApplyPurges makes the core apply an update; done is called once, from the loop of the core, when it does.
	ApplyPurges(update purges.Update, done func(index uint64))
	// SetKnown reports that the updates passed so far hold all entries committed up to ago ms before now; a negative value
	// means that this is not known. The core takes it over once it has applied these updates.
	SetKnown(ago float64)
}

// Misses is an event from the core: the fills per second that it requested on edge cache misses.
type Misses struct{ Rate float64 }

// marksApplied is an event from the core: it applies all marks up to a log index.
type marksApplied struct{ index uint64 }

// Service is the purge service of one gateway. It runs in the loop of the replica.
type Service struct {
	block          Block
	stateMachine   *purges.StateMachine
	runner         *ownerdriver.Runner
	core           Core
	replica        *quorumdriver.Replica
	log            logrus.FieldLogger
	followed       quorumdriver.LogAdvanced
	now            float64
	nextCheck      float64
	tickedAt       float64
	pending        map[string]float64 // commands in flight, with the time at which they may be proposed again
	publishedIndex uint64             // log index up to which marks were passed to the core
	appliedIndex   uint64             // log index up to which the core applies them
	batches        purges.Pipeline
	loggedStages   map[string]purges.Stage
	loggedChanges  uint64 // change counter of the state machine when stages were last logged
	misses         float64
	nextMissesAt   float64 // when misses may be reported again
}

// logAdapter adapts purges.StateMachine to the commands and members of the log.
type logAdapter struct{ *purges.StateMachine }

// Apply applies a command of the log.
func (b logAdapter) Apply(index uint64, c quorum.Command) any {
	return b.StateMachine.Apply(index, c.Kind, c.Data)
}

// MemberChanged applies a membership change of the log.
func (b logAdapter) MemberChanged(_ uint64, m quorum.Member) {
	b.StateMachine.SetMember(m.Name, m.Incarnation, m.State == quorum.MemberJoined)
}

// EmptyStateMachines returns the state machine of purges alone, for reading a store.
func EmptyStateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: logAdapter{purges.New()}}
}

// Open returns the purge service of a gateway. Where the block is off, it applies the purges of other gateways, but
// accepts none itself and keeps trusting older copies while it cannot reach the log.
func Open(b Block, runner *ownerdriver.Runner, core Core, log logrus.FieldLogger) *Service {
	return &Service{block: b, stateMachine: purges.New(), runner: runner, core: core, log: log, pending: map[string]float64{}, loggedStages: map[string]purges.Stage{}}
}

// StateMachines returns the state machines that the service replicates.
func (s *Service) StateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{StateMachineName: logAdapter{s.stateMachine}}
}

// Start sets the replica through which commands are proposed.
func (s *Service) Start(c *quorumdriver.Replica) { s.replica = c }

// NextDeadline returns the time of the next check; +Inf if no purge is open.
func (s *Service) NextDeadline() float64 {
	if s.followed.Incarnation == 0 || !s.stateMachine.AnyOpen() {
		return math.Inf(1)
	}
	return s.nextCheck
}

// Idle reports that shutdown never has to wait for the service.
func (s *Service) Idle() bool { return true }

// Close does nothing, as the service holds no resources.
func (s *Service) Close() error { return nil }

func unixMillis() float64 { return float64(time.Now().UnixMilli()) }

// Handle processes an event of the replica or of the core.
func (s *Service) Handle(now float64, e any) {
	s.now = now
	if event, ok := e.(quorumdriver.LogAdvanced); ok {
		s.followed = event
		s.updateCore(event.Restored)
		s.logStages()
	}
	if s.block.On { // after the update, as it belongs to what is known
		s.core.SetKnown(s.replica.ViewAge())
	}
	switch event := e.(type) {
	case quorumdriver.LogAdvanced:
	case Misses:
		s.misses = event.Rate
	case marksApplied:
		s.appliedIndex = max(s.appliedIndex, event.index)
	default: // a timer, or an event for another service
		if now < s.nextCheck {
			return
		}
	}
	s.nextCheck = now + batchCheckInterval
	if s.followed.Incarnation != 0 {
		s.proposeDue()
	}
}

// updateCore passes what changed to the core. After a snapshot was restored it passes all marks: bounds never decrease, so
// those that the core has already are not lost.
func (s *Service) updateCore(restored bool) {
	update := s.stateMachine.TakeUpdate(restored)
	if update.Empty() && update.Index <= s.publishedIndex {
		return
	}
	s.publishedIndex = max(s.publishedIndex, update.Index)
	update.Index = s.publishedIndex
	s.core.ApplyPurges(update, func(index uint64) { s.replica.Post(marksApplied{index}) })
}

// proposeDue proposes the commands that are due from this gateway: confirmations, misses, ticks and batches.
func (s *Service) proposeDue() {
	if g := s.stateMachine.Gateways[s.followed.Name]; g.Confirmed < min(s.appliedIndex, s.stateMachine.LastIndex) && g.Incarnation == s.followed.Incarnation {
		s.propose(purges.Confirm, "", purges.CommandData{At: unixMillis(), From: s.followed.Name, Index: s.appliedIndex})
	}
	if !s.block.On || !s.stateMachine.AnyOpen() {
		return
	}
	if s.stateMachine.AwaitsMisses() && s.now >= s.nextMissesAt {
		s.nextMissesAt = s.now + missesInterval
		s.propose(purges.ReportMisses, "", purges.CommandData{At: unixMillis(), From: s.followed.Name, Rate: s.misses})
	}
	if s.followed.Leads {
		if !s.runner.IsRunning(BatchJob) && s.block.Limits.Rate > 0 {
			s.proposeTo(ownerdriver.StateMachineName, owner.Start, "", owner.Job{Name: BatchJob, Kind: ownerdriver.KindHold, Steps: 1, Window: 1})
		}
		if s.now >= s.tickedAt+tickInterval {
			s.tickedAt = s.now
			s.propose(purges.Tick, "", purges.CommandData{At: unixMillis()})
		}
	}
	for _, o := range s.stateMachine.BeginsToSend(unixMillis(), s.followed.Leads) {
		s.propose(purges.Begin, o.ID, o)
	}
	token, owns := s.runner.Owns(BatchJob)
	for _, o := range s.batches.Due(s.stateMachine, unixMillis(), token, owns, s.followed.Leads) {
		s.proposeBatch(o)
	}
}

// proposeBatch proposes a batch. The replica repeats it until its outcome is known.
func (s *Service) proposeBatch(o purges.CommandData) {
	command := quorum.Command{StateMachine: StateMachineName, Kind: purges.Batch, Data: codec.Encode(o)}
	s.replica.Propose(command, func(quorum.Outcome) { s.batches.Ended(o.ID, o.First) })
}

// propose proposes a command of the purge log.
func (s *Service) propose(kind, key string, o purges.CommandData) {
	s.proposeTo(StateMachineName, kind, key, o)
}

// proposeTo proposes a command, and not again within a second while the first is in flight.
func (s *Service) proposeTo(stateMachine, kind, key string, content any) {
	key = kind + " " + key
	if s.now < s.pending[key] {
		return
	}
	if len(s.pending) > 1024 {
		clear(s.pending)
	}
	s.pending[key] = s.now + 1000
	s.replica.Propose(quorum.Command{StateMachine: stateMachine, Kind: kind, Data: codec.Encode(content)}, func(quorum.Outcome) { delete(s.pending, key) })
}

// logStages logs each purge whose stage has changed.
func (s *Service) logStages() {
	if s.loggedChanges == s.stateMachine.Changes() {
		return
	}
	s.loggedChanges = s.stateMachine.Changes()
	for id, x := range s.stateMachine.Purges {
		if was, known := s.loggedStages[id]; !known || was != x.Stage {
			s.loggedStages[id] = x.Stage
			s.log.WithFields(logrus.Fields{"purge": id, "is": x.Stage.String(), "sent": x.Published, "of": len(x.Purge.Objects), "without": x.Missing}).Info("purges: stage")
		}
	}
	for id := range s.loggedStages {
		if s.stateMachine.Purges[id] == nil {
			delete(s.loggedStages, id)
		}
	}
}

// CheckCommand checks whether an operator may propose a command. The limits of a purge must be those of this gateway.
func (s *Service) CheckCommand(c quorum.Command) error {
	var o purges.CommandData
	if err := codec.Decode(c.Data, &o); err != nil {
		return err
	}
	switch {
	case c.Kind != purges.Accept && c.Kind != purges.Cancel:
		return fmt.Errorf("%s: not for people to ask for", c.Kind)
	case !s.block.On:
		return errors.New("purges: off at this gateway")
	case c.Kind == purges.Cancel:
		return nil
	case o.Purge == nil || o.Limits == nil || *o.Limits != s.block.Limits:
		return errors.New("limits: not those of this gateway's file")
	}
	return o.Purge.Check()
}

// PurgeReport is the report of a purge to operators.
type PurgeReport struct {
	purges.State
	Stage       string   `json:"stage"`
	Effective   float64  `json:"effective"`       // time after which no older copy is served, Unix ms; 0: not fixed yet
	Unconfirmed []string `json:"waits,omitempty"` // gateways that have not confirmed it
}

// describe returns the report of a purge.
func (s *Service) describe(x *purges.State) PurgeReport {
	p := PurgeReport{State: *x, Stage: x.Stage.String()}
	if !x.Provisional {
		p.Effective = x.Effective()
	}
	if x.Stage <= purges.Sent {
		p.Unconfirmed = s.stateMachine.Unconfirmed(x)
	}
	return p
}

// GatewayReport is the report of a gateway to operators: how far it has confirmed published marks.
type GatewayReport struct {
	Name      string  `json:"name"`
	Joined    bool    `json:"there"`   // it is joined
	Since     float64 `json:"since"`   // time of the last membership change, Unix ms
	Confirmed uint64  `json:"seen"`    // log index up to which it has confirmed all marks
	Follows   bool    `json:"follows"` // it has confirmed everything published
	Misses    float64 `json:"misses"`  // fills per second that it last reported
}

// Query answers an operator's question.
func (s *Service) Query(about, name string) (any, error) {
	switch about {
	case "purge limits":
		if !s.block.On {
			return nil, errors.New("purges: off at this gateway")
		}
		return s.block.Limits, nil
	case "purge":
		if x := s.stateMachine.Purges[name]; x != nil {
			return s.describe(x), nil
		}
		return nil, fmt.Errorf("purge %q: %w", name, purges.ErrUnknown)
	case "purge followers":
		all := []GatewayReport{}
		for _, name := range slices.Sorted(maps.Keys(s.stateMachine.Gateways)) {
			g := s.stateMachine.Gateways[name]
			all = append(all, GatewayReport{Name: name, Joined: g.Joined, Since: g.Since, Confirmed: g.Confirmed, Follows: g.Confirmed >= s.stateMachine.LastIndex, Misses: g.Misses})
		}
		return map[string]any{"last": s.stateMachine.LastIndex, "gateways": all}, nil
	case "purges":
		all := []PurgeReport{}
		for _, x := range s.stateMachine.All() {
			p := s.describe(x)
			p.Purge.Objects = nil // the whole list has to fit one frame
			all = append(all, p)
		}
		return map[string]any{"held": s.stateMachine.Bounds.Len(), "floor": s.stateMachine.Bounds.Floor, "purges": all[max(0, len(all)-500):]}, nil
	}
	return nil, quorumdriver.ErrUnknownSubject
}
