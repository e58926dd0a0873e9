// Package maintenance takes machines out for work, in an order that the gateways settle among themselves. It is pure: the agreed log
// hands it commands in their order, and every gateway works out the same state, the same limits and the same plan from them.
//
// This file is its interface. Times are Unix milliseconds that commands carry (the newest counts as now, and it never goes back); they
// order work and bound how long something stands still, and nothing that must hold rests on them. Limits are checked where a command
// takes its place in the log, so they hold whoever asks, twice or late.
package maintenance

import "errors"

// Machine is what is taken out at once, with all that stands on it.
type Machine struct {
	Name     string   `cbor:"1,keyasint" json:"name"`
	Club     string   `cbor:"2,keyasint" json:"club"`
	Zone     string   `cbor:"3,keyasint" json:"zone"` // what fails together: a room, a supply
	Gateways []string `cbor:"4,keyasint,omitempty" json:"gateways,omitempty"`
	Boxes    []string `cbor:"5,keyasint,omitempty" json:"boxes,omitempty"`
	Hubs     []string `cbor:"6,keyasint,omitempty" json:"hubs,omitempty"`
	Carries  float64  `cbor:"7,keyasint" json:"carries"` // of its club's peak, in the unit of the peaks
}

// Limits are what may be out at a time, counted over all that is truly out: work, loss, drains, machines on their way back.
type Limits struct {
	Most     int     `cbor:"1,keyasint" json:"most"`      // in all; 0: no such limit, as of all that follow
	PerClub  int     `cbor:"2,keyasint" json:"per_club"`  //
	PerZone  int     `cbor:"3,keyasint" json:"per_zone"`  //
	Gateways float64 `cbor:"4,keyasint" json:"gateways"`  // share of all gateways
	Boxes    float64 `cbor:"5,keyasint" json:"boxes"`     //
	Hubs     float64 `cbor:"6,keyasint" json:"hubs"`      //
	Reserve  float64 `cbor:"7,keyasint" json:"reserve"`   // beyond a club's peak that what is left there has to carry
	Begin    float64 `cbor:"8,keyasint" json:"begin_ms"`  // within which a machine that was granted begins to drain, or loses its grant
	Drain    float64 `cbor:"9,keyasint" json:"drain_ms"`  // within which all live gateways say that they are done with it
	Silent   Silence `cbor:"10,keyasint" json:"silent"`   // what happens where one does not
	Warm     float64 `cbor:"11,keyasint" json:"warm_ms"`  // after which a machine that is back counts as warm at the latest
	Overdue  float64 `cbor:"12,keyasint" json:"overdue"`  // multiple of the time asked for after which one that is out is overdue
	Grace    float64 `cbor:"13,keyasint" json:"grace_ms"` // past the loss of a gateway, after which nothing of it is on its way any more
	// Of what the caches of its club hold, the share that a cache which is back has to hold to count as warm; 0: its time alone decides.
	WarmShare float64 `cbor:"14,keyasint" json:"warm_share"`
}

// Silence is what becomes of a machine that one gateway holds up.
type Silence int

// The ways.
const (
	PutBack Silence = iota // it stays in, and waits anew
	GoOut                  // it goes, and the record says without whose word
)

// Inventory is the operator's file, whole. A higher version takes the place of a lower one.
type Inventory struct {
	Version  int       `cbor:"1,keyasint" json:"version"`
	Machines []Machine `cbor:"2,keyasint" json:"machines"`
	Limits   Limits    `cbor:"3,keyasint" json:"limits"`
}

// Request is an operator's. The same id with the same words does nothing; with other words about the same machine it takes the place of
// what it said before.
type Request struct {
	ID        string  `cbor:"1,keyasint" json:"id"`
	Machine   string  `cbor:"2,keyasint" json:"machine"`
	Takes     float64 `cbor:"3,keyasint" json:"takes_ms"`
	NotBefore float64 `cbor:"4,keyasint,omitempty" json:"not_before,omitempty"`
	By        float64 `cbor:"5,keyasint,omitempty" json:"by,omitempty"` // 0: no deadline
	Why       string  `cbor:"6,keyasint,omitempty" json:"why,omitempty"`
}

// Stage is where a machine is on its way out and back.
type Stage int

// The stages.
const (
	In       Stage = iota
	Asked          // it waits for its turn
	Granted        // it may begin
	Draining       // the others are told, and say when they are done with it
	Out            //
	Overdue        // out for longer than was asked for: its place stays taken
	Warming        // back, and not yet what it was
	stages
)

func (s Stage) String() string {
	return [...]string{"in", "asked", "granted", "draining", "out", "overdue", "warming"}[s]
}

// By tells who may take a step.
type By int

// Who.
const (
	Operator  By = iota
	Scheduler    // the owner of the schedule
	Agent        // of the machine, with the token of its grant
	Time         // a limit that has passed, as the leader says
	Loss         // a loss that takes the place
)

func (b By) String() string {
	return [...]string{"operator", "scheduler", "agent", "time", "loss"}[b]
}

// Step is one legal change of a machine's stage.
type Step struct {
	From, To Stage
	By       By
	Kind     string // of the command
}

// Steps is the table of all legal steps. Nothing else changes a stage.
var Steps = []Step{
	{In, Asked, Operator, Ask},
	{Asked, In, Operator, Cancel},
	{Granted, In, Operator, Cancel},
	{Draining, In, Operator, Cancel},
	{Asked, Granted, Scheduler, Grant},
	{Granted, Asked, Operator, Withdraw},
	{Draining, Asked, Operator, Withdraw},
	{Granted, Asked, Loss, Lost},
	{Draining, Asked, Loss, Lost},
	{Granted, Asked, Time, Tick},
	{Draining, Asked, Time, Tick},
	{Granted, Draining, Agent, Drain},
	{Draining, Out, Agent, Go},
	{Out, Overdue, Time, Tick},
	{Out, Warming, Agent, Back},
	{Overdue, Warming, Agent, Back},
	{Warming, In, Scheduler, Warmed},
	{Warming, In, Time, Tick},
}

// Kinds of commands, each with its content.
const (
	Have     = "inventory" // Inventory
	Ask      = "ask"       // Request, in an Order
	Cancel   = "cancel"    // Order: id
	Withdraw = "withdraw"  // Order: machine. Its grant is void; it waits anew
	Grant    = "grant"     // Order: machine
	Drain    = "drain"     // Order: machine, token: it begins
	Ack      = "ack"       // Order: machine, token, from: that gateway sends nothing more there and has nothing open
	Go       = "go"        // Order: machine, token: it may go once this is agreed, and not before
	Back     = "back"      // Order: machine, token: it is back, with all that stands on it
	Warm     = "warm"      // Order: machine, token, from: that gateway finds that it serves as its like do
	Warmed   = "warmed"    // Order: machine: it is what it was, by the word of its club
	Lost     = "lost"      // Order: names of boxes and hubs that are gone, or drained by the list; all of them
	Votes    = "votes"     // Order: names of the gateways that vote
	Peak     = "peak"      // Order: club, hour, peak: an operator's word, which goes before what was measured; 0 takes it back
	Measured = "measured"  // Order: from, hour, peak: what that gateway measured
	Tick     = "tick"      // Order: at
)

// Order is the content of all commands but Have.
type Order struct {
	At      float64  `cbor:"1,keyasint"` // when it was given
	Machine string   `cbor:"2,keyasint,omitempty"`
	Token   uint64   `cbor:"3,keyasint,omitempty"`
	From    string   `cbor:"4,keyasint,omitempty"`
	ID      string   `cbor:"5,keyasint,omitempty"`
	Request *Request `cbor:"6,keyasint,omitempty"`
	Names   []string `cbor:"7,keyasint,omitempty"`
	Club    string   `cbor:"8,keyasint,omitempty"`
	Hour    int      `cbor:"9,keyasint,omitempty"`
	Peak    float64  `cbor:"10,keyasint,omitempty"`
	Owned   uint64   `cbor:"11,keyasint,omitempty"` // of a step of the scheduler's: the token under which it owns the schedule
}

// Results of commands that were agreed and change nothing.
var (
	ErrBad     = errors.New("the command can't be read")
	ErrUnknown = errors.New("no such machine")
	ErrOther   = errors.New("that version, or that id, says something else")
	ErrStage   = errors.New("not at this stage")
	ErrOld     = errors.New("that grant does not stand")
	ErrWaits   = errors.New("some gateway is not done with it")
	ErrCold    = errors.New("its club does not find it warm yet")
	ErrFull    = errors.New("too many of them")
	ErrOut     = errors.New("a machine that is not in is missing from it")
	ErrPast    = errors.New("by: in the past, or too soon for the time that it takes")
)

// Refused is a step that a limit prevents, by its name.
type Refused struct{ Limit string }

func (r Refused) Error() string { return "limit: " + r.Limit }
