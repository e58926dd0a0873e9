package owner

import (
	"maps"
	"math"
	"slices"
)

// Executor executes, on one member, the steps of the jobs that the log grants to this very process, as far as this
// member has applied the log. Its view may lag: every effect carries the token of the grant it believes to hold,
// and executing gateways refuse stale tokens.
type Executor struct {
	Name        string
	Incarnation uint64
	Backoff     float64 // ms that a job pauses after a step that did not run; doubles with each further failure
	MaxBackoff  float64
	jobs        map[string]*ownedJob
	leaving     bool
}

// ownedJob is a job that this member believes to own.
type ownedJob struct {
	token       uint64
	sent        map[int]bool    // steps sent, outcome not known
	intending   map[int]bool    // steps with an Intend proposal in flight
	unconfirmed map[int]Propose // proposals that report the end of steps, not yet applied on this member
	releasing   bool            // its Release is proposed
	refused     bool            // an executing gateway refused the token: nothing more is sent under it
	failures    int             // steps that did not run, since the last one that did
	resumeAt    float64         // end of the pause after a failure
}

// Actions of an Executor, to be performed in order.
type (
	// SendEffect sends a step's effect to its executing gateway, with job, token and step.
	SendEffect struct {
		Job      Job
		Token    uint64
		Step     int
		Deadline float64 // when it counts as lost
	}
	// Propose proposes a command. The proposal may be lost: Resend repeats it.
	Propose struct {
		Kind  string
		Claim Claim
		Job   *Job // of a Start, in place of a claim
	}
)

// Outcome is the outcome of a step's effect.
type Outcome int

// The outcomes. NotRun needs proof, like the status of a pull; without proof the outcome is Uncertain.
const (
	Ran Outcome = iota
	NotRun
	Uncertain
	Refused // by the executing gateway, for a stale token: this member no longer owns the job
)

// Sync takes over the current grants from the state machine and continues the jobs that this member owns.
func (x *Executor) Sync(now float64, b *StateMachine) (actions []any) {
	if x.jobs == nil {
		x.jobs = map[string]*ownedJob{}
	}
	for _, name := range slices.Sorted(maps.Keys(x.jobs)) {
		if j := b.Jobs[name]; j == nil || j.Owner != x.Name || j.Incarnation != x.Incarnation || j.Token != x.jobs[name].token {
			delete(x.jobs, name) // effects in flight end on their own; nothing new is sent
		}
	}
	for _, j := range b.All() {
		if j.Owner != x.Name || j.Incarnation != x.Incarnation || x.Incarnation == 0 {
			continue
		}
		owned := x.jobs[j.Name]
		if owned == nil {
			owned = &ownedJob{token: j.Token, sent: map[int]bool{}, intending: map[int]bool{}, unconfirmed: map[int]Propose{}}
			x.jobs[j.Name] = owned
		}
		actions = append(actions, x.advance(now, j, owned)...)
	}
	return actions
}

// advance sends the steps that fit into the job's window.
func (x *Executor) advance(now float64, j *Job, owned *ownedJob) (actions []any) {
	for step := range owned.unconfirmed {
		// An unsafe step that is no longer intended under this grant was settled, by this member's report or by an
		// operator.
		if !j.pending(step) || j.Type == Unsafe && j.Intended[step] != owned.token {
			delete(owned.unconfirmed, step)
			delete(owned.sent, step)
		}
	}
	if x.leaving || owned.refused {
		if len(owned.sent) == 0 && !owned.releasing {
			owned.releasing = true
			actions = append(actions, Propose{Kind: Release, Claim: Claim{Job: j.Name, Token: owned.token, Leaving: x.leaving}})
		}
		return actions
	}
	if now < owned.resumeAt {
		return actions
	}
	owned.resumeAt = 0
	room := j.Window
	for step := j.Next; step < min(j.Steps, j.Next+maxLookahead) && room > 0; step++ {
		if _, uncertain := j.Uncertain[step]; uncertain || !j.pending(step) {
			continue
		}
		if room--; owned.sent[step] {
			continue
		}
		if j.Type == Unsafe && j.Intended[step] != owned.token {
			if !owned.intending[step] {
				owned.intending[step] = true
				actions = append(actions, Propose{Kind: Intend, Claim: Claim{Job: j.Name, Token: owned.token, Step: step}})
			}
			continue
		}
		delete(owned.intending, step)
		owned.sent[step] = true
		actions = append(actions, SendEffect{Job: j.clone(), Token: owned.token, Step: step})
	}
	return actions
}

// HandleEnd processes the outcome of a step that was sent under a token.
func (x *Executor) HandleEnd(now float64, job string, token uint64, step int, t Type, e Outcome) (actions []any) {
	owned := x.jobs[job]
	current := owned != nil && owned.token == token
	switch {
	case e == Ran:
		// Reported even if this member no longer owns the job: the report resolves an uncertain step.
		ask := Propose{Kind: Complete, Claim: Claim{Job: job, Token: token, Step: step}}
		if current {
			owned.unconfirmed[step], owned.failures, owned.resumeAt = ask, 0, 0
		}
		actions = append(actions, ask)
	case !current:
	case e == Refused:
		// Either this member no longer owns the job, or the executing gateway has forgotten so many jobs that it
		// accepts only a newer token. In both cases the job is released, and its next grant has a newer token.
		owned.refused = true
		delete(owned.sent, step)
	case t == Unsafe && e == Uncertain:
		owned.unconfirmed[step] = Propose{Kind: MarkUncertain, Claim: Claim{Job: job, Token: token, Step: step}}
		actions = append(actions, owned.unconfirmed[step])
	default:
		delete(owned.sent, step) // it is sent again
		owned.resumeAt = now + min(x.MaxBackoff, x.Backoff*float64(uint64(1)<<min(owned.failures, 20)))
		owned.failures++
	}
	return actions
}

// Next returns when the first paused job continues.
func (x *Executor) Next() float64 {
	next := math.Inf(1)
	for _, owned := range x.jobs {
		if owned.resumeAt > 0 {
			next = min(next, owned.resumeAt)
		}
	}
	return next
}

// Resend repeats all proposals that are not yet applied on this member. A duplicate of a proposal that was
// committed in the meantime changes nothing.
func (x *Executor) Resend() (actions []any) {
	for _, name := range slices.Sorted(maps.Keys(x.jobs)) {
		owned := x.jobs[name]
		for _, step := range slices.Sorted(maps.Keys(owned.unconfirmed)) {
			actions = append(actions, owned.unconfirmed[step])
		}
		for _, step := range slices.Sorted(maps.Keys(owned.intending)) {
			actions = append(actions, Propose{Kind: Intend, Claim: Claim{Job: name, Token: owned.token, Step: step}})
		}
		owned.releasing = false
	}
	return actions
}

// Leave stops sending; jobs are released once the effects in flight have ended.
func (x *Executor) Leave() { x.leaving = true }
