// Package owner gives named work of the whole fleet one owner at a time. It is pure: the agreed log hands it commands in their
// order, and every gateway works out the same grants from them; each owner's part is a machine of its own (Work), as is each
// place at which an effect happens (Gate).
//
// This file is its interface. What must be safe rests on the order of the log and on tokens that only rise, never on a time.
// Times, in ms on the caller's own clock, only bound how long work stands still (Planner).
package owner

import "errors"

// Type says what may be done with a step again, as content types do of downloads.
type Type int

// The types of steps.
const (
	Safe   Type = iota // it may run again, by anybody, however late
	Keyed              // it may run again within its job's group and window, where the place keeps the key
	Unsafe             // it must not run twice: meant is agreed before it is sent, done after
)

func (t Type) String() string { return [...]string{"safe", "keyed", "unsafe"}[t] }

// Job is named work.
type Job struct {
	Name   string `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"` // of work: whom its steps are for
	Data   []byte `cbor:"3,keyasint,omitempty"`
	Steps  int    `cbor:"4,keyasint"`
	Type   Type   `cbor:"5,keyasint"`
	Window int    `cbor:"6,keyasint"` // steps under way at a time, at most

	Owner       string         `cbor:"7,keyasint,omitempty"` // empty: nobody has it
	Incarnation uint64         `cbor:"8,keyasint,omitempty"`
	Token       uint64         `cbor:"9,keyasint,omitempty"` // of the present grant, or the last one
	State       State          `cbor:"10,keyasint"`
	Next        int            `cbor:"11,keyasint"`           // all steps before it are done
	Done        map[int]bool   `cbor:"12,keyasint,omitempty"` // those done from there on
	Meant       map[int]uint64 `cbor:"13,keyasint,omitempty"` // unsafe ones, with the token under which they were sent
	Doubt       map[int]uint64 `cbor:"14,keyasint,omitempty"` // of those, whose owner went before it said that they were done
	Grants      int            `cbor:"15,keyasint"`
	Since       uint64         `cbor:"16,keyasint"`           // the place in the log of the last change of owner or state
	Places      []string       `cbor:"17,keyasint,omitempty"` // gateways at which its effects happen, in turn; none: at its owner
	Zone        string         `cbor:"19,keyasint,omitempty"` // its owner is best of that zone; empty: anybody
	History     []Change       `cbor:"18,keyasint,omitempty"` // the last mostHistory of them
}

// Change is one change of a job's owner or state.
type Change struct {
	Index       uint64 `cbor:"1,keyasint" json:"index"`
	What        string `cbor:"2,keyasint" json:"what"`
	Owner       string `cbor:"3,keyasint,omitempty" json:"owner,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty" json:"incarnation,omitempty"`
	Token       uint64 `cbor:"5,keyasint,omitempty" json:"token,omitempty"`
}

// Place is the gateway at which a step's effect happens; empty: at whoever owns the job.
func (j *Job) Place(step int) string {
	if len(j.Places) == 0 {
		return ""
	}
	return j.Places[step%len(j.Places)]
}

// State is how a job stands.
type State int

// The states of a job.
const (
	Running State = iota
	Stopped       // by an operator
	Finished
)

func (s State) String() string { return [...]string{"running", "stopped", "finished"}[s] }

// Kinds of commands, each with its content.
const (
	Start   = "start"   // Job: name, kind, data, steps, type, window, places
	Stop    = "stop"    // Claim: job
	Grant   = "grant"   // Claim: job, name and incarnation of the new owner; the leader's to ask for
	Release = "release" // Claim: job and token, by an owner that leaves
	Mean    = "mean"    // Claim: job, token, step
	Did     = "did"     // Claim: job, token, step
	Unsure  = "unsure"  // Claim: job, token, step: its owner can't know whether it ran
	Fence   = "fence"   // Claim: job. An operator's: its next grant has a newer token, so that places refuse what is still on its way
	Verdict = "verdict" // Claim: job, step, ran: an operator's word on a step that may have run
)

// Claim is the content of all commands but Start.
type Claim struct {
	Job         string `cbor:"1,keyasint"`
	Token       uint64 `cbor:"2,keyasint,omitempty"`
	Step        int    `cbor:"3,keyasint,omitempty"`
	Name        string `cbor:"4,keyasint,omitempty"`
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	Ran         bool   `cbor:"6,keyasint,omitempty"`
	Leaving     bool   `cbor:"7,keyasint,omitempty"` // of a Release: its owner ends, and is to be granted nothing more
}

// Results of commands that were agreed and change nothing. They are the same at every gateway.
var (
	ErrUnknown = errors.New("no such job")
	ErrOther   = errors.New("a job of that name is another one")
	ErrFull    = errors.New("no room for another job")
	ErrOwned   = errors.New("its owner is there")
	ErrAbsent  = errors.New("whom it would be granted to is not there")
	ErrOld     = errors.New("a newer token was given out")
	ErrSent    = errors.New("that step was sent before")
	ErrOver    = errors.New("the job does not run")
	ErrBad     = errors.New("the command can't be read")
)
