// Package owner assigns each named job of the fleet to one owner at a time. The package is pure (no I/O, no
// clock): the replicated log delivers commands in order and every gateway derives the same grants from them. Each
// owner executes its jobs with an Executor, and each executing gateway checks fencing tokens with a TokenChecker.
//
// Safety rests on the order of the log and on tokens that only increase, never on time. Times, in ms of the
// caller's own clock, only bound how long a job can stay without progress (see Planner).
//
// This file declares the jobs and the commands that change them.
package owner

import "errors"

// Type says whether a step may be executed more than once, as content types do for downloads.
type Type int

// The types of steps.
const (
	Safe   Type = iota // may run again, by any member, at any time
	Keyed              // may run again within its job's group and window, where the executing gateway remembers the key
	Unsafe             // must not run twice: the intent is committed before the step is sent, its completion afterwards
)

func (t Type) String() string { return [...]string{"safe", "keyed", "unsafe"}[t] }

// Job is a named sequence of steps with at most one owner.
type Job struct {
	Name   string `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"` // kind of work, which selects the handler of the steps
	Data   []byte `cbor:"3,keyasint,omitempty"`
	Steps  int    `cbor:"4,keyasint"`
	Type   Type   `cbor:"5,keyasint"`
	Window int    `cbor:"6,keyasint"` // steps in flight at a time, at most

	Owner       string         `cbor:"7,keyasint,omitempty"` // empty: no owner
	Incarnation uint64         `cbor:"8,keyasint,omitempty"`
	Token       uint64         `cbor:"9,keyasint,omitempty"` // of the current grant, or of the last one
	State       State          `cbor:"10,keyasint"`
	Next        int            `cbor:"11,keyasint"`           // all steps before it are done
	Done        map[int]bool   `cbor:"12,keyasint,omitempty"` // done steps from Next on
	Intended    map[int]uint64 `cbor:"13,keyasint,omitempty"` // unsafe steps with a committed intent, and its token
	Uncertain   map[int]uint64 `cbor:"14,keyasint,omitempty"` // unsafe steps that may have run, and their token
	Grants      int            `cbor:"15,keyasint"`
	Since       uint64         `cbor:"16,keyasint"`           // log index of the last change of owner or state
	Gateways    []string       `cbor:"17,keyasint,omitempty"` // gateways that execute the steps, in turn; empty: the owner does
	Zone        string         `cbor:"19,keyasint,omitempty"` // zone preferred for the owner; empty: any
	History     []Change       `cbor:"18,keyasint,omitempty"` // the last maxHistory changes
}

// Change is one change of a job's owner or state.
type Change struct {
	Index       uint64 `cbor:"1,keyasint" json:"index"`
	Event       string `cbor:"2,keyasint" json:"what"`
	Owner       string `cbor:"3,keyasint,omitempty" json:"owner,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty" json:"incarnation,omitempty"`
	Token       uint64 `cbor:"5,keyasint,omitempty" json:"token,omitempty"`
}

// ExecutingGateway returns the gateway that executes a step; empty: the owner of the job.
func (j *Job) ExecutingGateway(step int) string {
	if len(j.Gateways) == 0 {
		return ""
	}
	return j.Gateways[step%len(j.Gateways)]
}

// State is the state of a job.
type State int

// The states of a job. Stopped is set by an operator.
const (
	Running State = iota
	Stopped
	Finished
)

func (s State) String() string { return [...]string{"running", "stopped", "finished"}[s] }

// Kinds of commands in the log, each with its content.
const (
	Start         = "start"   // Job: name, kind, data, steps, type, window, gateways, zone
	Stop          = "stop"    // Claim: job
	Grant         = "grant"   // Claim: job, name and incarnation of the new owner; proposed by the leader
	Release       = "release" // Claim: job and token; proposed by an owner that leaves or whose token was refused
	Intend        = "mean"    // Claim: job, token, step: the owner intends to send an unsafe step
	Complete      = "did"     // Claim: job, token, step: the step ran
	MarkUncertain = "unsure"  // Claim: job, token, step: its owner can't know whether the step ran
	Fence         = "fence"   // Claim: job; by an operator: effects still in flight are refused once the next token is seen
	Resolve       = "verdict" // Claim: job, step, ran: an operator states whether a step that may have run did run
)

// Claim is the content of all commands but Start.
type Claim struct {
	Job         string `cbor:"1,keyasint"`
	Token       uint64 `cbor:"2,keyasint,omitempty"`
	Step        int    `cbor:"3,keyasint,omitempty"`
	Name        string `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	Ran         bool   `cbor:"6,keyasint,omitempty"`
	Leaving     bool   `cbor:"7,keyasint,omitempty"` // of a Release: the owner is shutting down, grant it nothing more
}

// Results of committed commands that change nothing. They are the same at every gateway.
var (
	ErrUnknownJob   = errors.New("no such job")
	ErrConflict     = errors.New("a job of that name is another one")
	ErrFull         = errors.New("no room for another job")
	ErrHasOwner     = errors.New("its owner is there")
	ErrMemberAbsent = errors.New("whom it would be granted to is not there")
	ErrStaleToken   = errors.New("a newer token was given out")
	ErrAlreadySent  = errors.New("that step was sent before")
	ErrNotRunning   = errors.New("the job does not run")
	ErrMalformed    = errors.New("the command can't be read")
)
