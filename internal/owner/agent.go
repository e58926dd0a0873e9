package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Limits configures an Agent. Times are in ms.
type Limits struct {
	MaxJobs       int     // remembered by the state machine
	EffectTimeout float64 // after which an unanswered effect counts as lost
	Backoff       float64 // pause of a job after a step that did not run; doubles with each further failure
	MaxBackoff    float64
	HoldDown      float64 // time without grants for a member that returns after a loss; doubles with each further loss
	MaxHoldDown   float64
	WarmRounds    int     // steps of a job that prefills a node; 0: no such jobs
	WarmEach      int     // objects per step
	RetryInterval float64 // after which failed proposals are sent again
}

// DefaultLimits returns limits for a site on a local network.
func DefaultLimits() Limits {
	return Limits{MaxJobs: 256, EffectTimeout: 2000, Backoff: 100, MaxBackoff: 5000, HoldDown: 2000, MaxHoldDown: 60_000, RetryInterval: 1000, WarmEach: 24}
}

// Agent is one gateway's part in executing jobs. It combines the state machine as far as this gateway has applied
// the log, the planner (active on the leader), the executor of its own jobs, and the effects in flight. It is
// pure; the caller applies log entries to State between calls.
type Agent struct {
	State        *StateMachine
	limits       Limits
	executor     Executor
	planner      Planner
	warmer       Warmer
	inFlight     map[effectKey]SendEffect
	proposed     map[string]float64 // proposed grants and starts, not yet applied: job -> time of the proposal
	raised       map[string]uint64  // the last token of each job that was raised at the local executing gateway
	leading      bool
	leaving      bool
	retryAt      float64 // when failed proposals are sent again
	retryPending bool    // a proposal failed and waits for retryAt
}

// effectKey identifies an effect in flight.
type effectKey struct {
	job   string
	token uint64
	step  int
}

// Events that Handle accepts.
type (
	// LogApplied reports that log entries were applied, or that this gateway's role changed. Incarnation 0: it may
	// propose nothing.
	LogApplied struct {
		Name        string
		Incarnation uint64
		Leads       bool
	}
	// StepEnded reports the outcome of a step's effect that was sent under a token.
	StepEnded struct {
		Job   string
		Token uint64
		Step  int
		End   Outcome
	}
	// ProposalDone reports whether a proposal was committed. A committed command that the state machine rejected
	// does not count as failed.
	ProposalDone struct{ Failed bool }
	// Leaving reports that this gateway is about to shut down.
	Leaving struct{}
	// NodeStarted reports a node that started recently with an empty cache, as seen in this gateway's discovery list.
	NodeStarted struct {
		Node, Zone string
		Start      uint64  // identifies the start of its process
		ColdFor    float64 // ms for which its cache still counts as cold
	}
)

// RaiseToken is an action besides SendEffect and Propose: the local executing gateway must learn of a grant in the log,
// whether or not an effect under it arrives there.
type RaiseToken struct {
	Job   string
	Token uint64
}

// NewAgent returns an Agent with an empty state machine.
func NewAgent(limits Limits) *Agent {
	return &Agent{State: New(limits.MaxJobs), limits: limits, executor: Executor{Backoff: limits.Backoff, MaxBackoff: limits.MaxBackoff},
		warmer:  Warmer{Rounds: limits.WarmRounds, Each: limits.WarmEach},
		planner: Planner{HoldDown: limits.HoldDown, MaxHoldDown: limits.MaxHoldDown}, inFlight: map[effectKey]SendEffect{}, proposed: map[string]float64{},
		raised: map[string]uint64{}, retryAt: math.Inf(1)}
}

// Handle processes one event and returns the actions to perform; a nil event only advances the time.
func (a *Agent) Handle(now float64, e any) (actions []any) {
	switch e := e.(type) {
	case LogApplied:
		if e.Incarnation != a.executor.Incarnation || e.Name != a.executor.Name {
			// The log names another process: effects of the old one end on their own, and this one starts with nothing.
			a.executor = Executor{Name: e.Name, Incarnation: e.Incarnation, Backoff: a.limits.Backoff, MaxBackoff: a.limits.MaxBackoff, leaving: a.leaving}
		}
		if e.Leads && !a.leading {
			clear(a.proposed)
		}
		a.leading = e.Leads
		actions = append(actions, a.raiseTokens()...)
	case StepEnded:
		key := effectKey{e.Job, e.Token, e.Step}
		sent, known := a.inFlight[key]
		if delete(a.inFlight, key); !known && e.End != Ran {
			return nil // already counted as lost
		}
		t := sent.Job.Type
		if j := a.State.Jobs[e.Job]; !known && j != nil {
			t = j.Type
		}
		actions = append(actions, a.executor.HandleEnd(now, e.Job, e.Token, e.Step, t, e.End)...)
	case NodeStarted:
		a.warmer.NodeStarted(now, e)
	case ProposalDone:
		if e.Failed && !a.retryPending {
			a.retryPending, a.retryAt = true, now+a.limits.RetryInterval
		}
	case Leaving:
		a.leaving = true
		a.executor.Leave()
	}
	actions = append(actions, a.expireEffects(now)...)
	if now >= a.retryAt {
		a.retryPending, a.retryAt = false, math.Inf(1)
		actions = append(actions, a.executor.Resend()...)
	}
	if a.leading && !a.leaving {
		actions = append(actions, a.planGrants(now)...)
	}
	actions = append(actions, a.executor.Sync(now, a.State)...)
	for i, x := range actions {
		if x, ok := x.(SendEffect); ok {
			x.Deadline = now + a.limits.EffectTimeout
			a.inFlight[effectKey{x.Job.Name, x.Token, x.Step}] = x
			actions[i] = x
		}
	}
	return actions
}

// raiseTokens has the local executing gateway refuse tokens older than the grants of the log, before any newer
// effect arrives there.
func (a *Agent) raiseTokens() (actions []any) {
	for _, j := range a.State.All() {
		if j.Token > a.raised[j.Name] {
			a.raised[j.Name] = j.Token
			actions = append(actions, RaiseToken{j.Name, j.Token})
		}
	}
	maps.DeleteFunc(a.raised, func(name string, _ uint64) bool { return a.State.Jobs[name] == nil })
	return actions
}

// expireEffects counts effects as lost once their time is over. They may have run.
func (a *Agent) expireEffects(now float64) (actions []any) {
	var expired []SendEffect
	for _, x := range a.inFlight {
		if now >= x.Deadline {
			expired = append(expired, x)
		}
	}
	slices.SortFunc(expired, func(x, y SendEffect) int {
		return cmp.Or(cmp.Compare(x.Token, y.Token), cmp.Compare(x.Step, y.Step)) // a token belongs to one job
	})
	for _, x := range expired {
		delete(a.inFlight, effectKey{x.Job.Name, x.Token, x.Step})
		actions = append(actions, a.executor.HandleEnd(now, x.Job.Name, x.Token, x.Step, x.Job.Type, Uncertain)...)
	}
	return actions
}

// planGrants proposes jobs and grants on the leader, each at most once per RetryInterval.
func (a *Agent) planGrants(now float64) (actions []any) {
	for _, j := range a.warmer.Plan(now, a.State) {
		if at, ok := a.proposed[j.Name]; ok && now < at+a.limits.RetryInterval {
			continue
		}
		a.proposed[j.Name] = now
		actions = append(actions, Propose{Kind: Start, Job: &j})
	}
	for _, c := range a.planner.Plan(now, a.State) {
		if at, ok := a.proposed[c.Job]; ok && now < at+a.limits.RetryInterval {
			continue
		}
		a.proposed[c.Job] = now
		actions = append(actions, Propose{Kind: Grant, Claim: c})
	}
	maps.DeleteFunc(a.proposed, func(job string, at float64) bool {
		j := a.State.Jobs[job]
		return now >= at+a.limits.RetryInterval || j != nil && j.Owner != ""
	})
	return actions
}

// NextDeadline returns the time of the next deadline.
func (a *Agent) NextDeadline() float64 {
	next := min(a.retryAt, a.executor.Next())
	for _, x := range a.inFlight {
		next = min(next, x.Deadline)
	}
	if a.leading && !a.leaving {
		next = min(next, a.planner.nextEligible)
		for _, at := range a.proposed {
			next = min(next, at+a.limits.RetryInterval)
		}
	}
	return next
}

// Idle reports whether nothing of this gateway's own is in flight; a gateway that leaves may then shut down.
func (a *Agent) Idle() bool { return len(a.inFlight) == 0 && len(a.executor.jobs) == 0 }
