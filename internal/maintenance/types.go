// Package maintenance schedules maintenance windows of machines. It is a deterministic state machine over the replicated log: every
// gateway applies the same commands in the same order and computes the same state, limits and plan. It does no I/O.
//
// Times are Unix milliseconds carried by the commands. The newest one is the current time, which never goes backwards. Times order
// requests and bound how long a machine may stay in a stage; no safety property depends on them. Limits are checked when a command is
// applied, so they hold whoever proposes it, and also when it arrives twice or late.
//
// This file holds the package's types, commands and errors.
package maintenance

import "errors"

// Machine is the unit of maintenance: all gateways, edge caches and hubs on it are taken out together.
type Machine struct {
	Name     string   `cbor:"1,keyasint" json:"name"`
	Club     string   `cbor:"2,keyasint" json:"club"`
	Zone     string   `cbor:"3,keyasint" json:"zone"` // failure domain, such as a room or a power supply
	Gateways []string `cbor:"4,keyasint,omitempty" json:"gateways,omitempty"`
	Boxes    []string `cbor:"5,keyasint,omitempty" json:"boxes,omitempty"`
	Hubs     []string `cbor:"6,keyasint,omitempty" json:"hubs,omitempty"`
	Capacity float64  `cbor:"7,keyasint" json:"carries"` // its capacity, in the unit of the club's peak load
}

// Limits bound concurrent outages. Machines in maintenance, lost, draining or warming up all count as out.
type Limits struct {
	MaxMachines  int              `cbor:"1,keyasint" json:"most"`      // machines in total; 0 means no limit, here and in the fields below
	PerClub      int              `cbor:"2,keyasint" json:"per_club"`  // machines per club
	PerZone      int              `cbor:"3,keyasint" json:"per_zone"`  // machines per zone
	Gateways     float64          `cbor:"4,keyasint" json:"gateways"`  // share of all gateways
	Boxes        float64          `cbor:"5,keyasint" json:"boxes"`     // share of all edge caches
	Hubs         float64          `cbor:"6,keyasint" json:"hubs"`      // share of all hubs
	Reserve      float64          `cbor:"7,keyasint" json:"reserve"`   // spare capacity a club must keep beyond its peak load, as a share of that peak
	BeginTimeout float64          `cbor:"8,keyasint" json:"begin_ms"`  // a granted machine that does not start to drain within this time loses its grant
	DrainTimeout float64          `cbor:"9,keyasint" json:"drain_ms"`  // time within which all live gateways have to acknowledge the drain
	MissingAck   MissingAckPolicy `cbor:"10,keyasint" json:"silent"`   // what happens when an acknowledgement is missing after that
	WarmTimeout  float64          `cbor:"11,keyasint" json:"warm_ms"`  // a returned machine counts as warm after this time at the latest
	Overdue      float64          `cbor:"12,keyasint" json:"overdue"`  // multiple of the requested duration after which a machine is overdue
	Grace        float64          `cbor:"13,keyasint" json:"grace_ms"` // time after the loss of a gateway until none of its requests can be in flight
	// Share of its club's hit ratio that a returned edge cache has to reach to count as warm; 0: only the time limit decides.
	WarmShare float64 `cbor:"14,keyasint" json:"warm_share"`
}

// MissingAckPolicy decides about a draining machine when a gateway does not acknowledge it in time.
type MissingAckPolicy int

// Policies for missing acknowledgements.
const (
	Requeue           MissingAckPolicy = iota // the machine stays in service and is queued again
	ProceedWithoutAck                         // the machine leaves, and its Window records which acknowledgements were missing
)

// Inventory is the operator's complete configuration of machines and limits. A higher version replaces a lower one.
type Inventory struct {
	Version  int       `cbor:"1,keyasint" json:"version"`
	Machines []Machine `cbor:"2,keyasint" json:"machines"`
	Limits   Limits    `cbor:"3,keyasint" json:"limits"`
}

// Request is an operator's request for a maintenance window. Repeating an id with the same content has no effect; with other content
// for the same machine it replaces the earlier request.
type Request struct {
	ID        string  `cbor:"1,keyasint" json:"id"`
	Machine   string  `cbor:"2,keyasint" json:"machine"`
	Duration  float64 `cbor:"3,keyasint" json:"takes_ms"`
	NotBefore float64 `cbor:"4,keyasint,omitempty" json:"not_before,omitempty"`
	Deadline  float64 `cbor:"5,keyasint,omitempty" json:"by,omitempty"` // 0: no deadline
	Reason    string  `cbor:"6,keyasint,omitempty" json:"why,omitempty"`
}

// Stage is a machine's state in its maintenance window.
type Stage int

// The stages, in the order of a maintenance window.
const (
	InService    Stage = iota
	Queued             // requested, and queued for a grant
	Granted            // allowed to start draining
	Draining           // gateways stop using it and acknowledge once they have
	OutOfService       // left for maintenance
	Overdue            // out for longer than requested; it still counts towards the limits
	Warming            // returned, and not yet warm
	stageCount
)

func (s Stage) String() string {
	return [...]string{"in", "asked", "granted", "draining", "out", "overdue", "warming"}[s]
}

// Actor is who or what causes a transition.
type Actor int

// The actors.
const (
	Operator  Actor = iota
	Scheduler       // the owner of the schedule
	Agent           // the machine's agent, with the token of its grant
	Timeout         // a time limit that expired, reported by the leader
	Loss            // a loss elsewhere that used up a limit
)

func (b Actor) String() string {
	return [...]string{"operator", "scheduler", "agent", "time", "loss"}[b]
}

// Transition is one permitted change of a machine's stage.
type Transition struct {
	From, To Stage
	Actor    Actor
	Kind     string // of the command
}

// Transitions lists all permitted transitions. A stage changes in no other way.
var Transitions = []Transition{
	{InService, Queued, Operator, Submit},
	{Queued, InService, Operator, Cancel},
	{Granted, InService, Operator, Cancel},
	{Draining, InService, Operator, Cancel},
	{Queued, Granted, Scheduler, Grant},
	{Granted, Queued, Operator, Withdraw},
	{Draining, Queued, Operator, Withdraw},
	{Granted, Queued, Loss, SetLost},
	{Draining, Queued, Loss, SetLost},
	{Granted, Queued, Timeout, Tick},
	{Draining, Queued, Timeout, Tick},
	{Granted, Draining, Agent, Drain},
	{Draining, OutOfService, Agent, Leave},
	{OutOfService, Overdue, Timeout, Tick},
	{OutOfService, Warming, Agent, Return},
	{Overdue, Warming, Agent, Return},
	{Warming, InService, Scheduler, FinishWarming},
	{Warming, InService, Timeout, Tick},
}

// Kinds of commands, and the fields of CommandData that each one uses.
const (
	SetInventory  = "inventory" // Inventory
	Submit        = "ask"       // Request, in a CommandData
	Cancel        = "cancel"    // CommandData: id
	Withdraw      = "withdraw"  // CommandData: machine. Its grant is revoked and it is queued again
	Grant         = "grant"     // CommandData: machine
	Drain         = "drain"     // CommandData: machine, token: the agent starts to drain the machine
	Ack           = "ack"       // CommandData: machine, token, gateway: that gateway sends nothing new to the machine and has nothing in flight there
	Leave         = "go"        // CommandData: machine, token: the machine may leave only once this is committed
	Return        = "back"      // CommandData: machine, token: the machine is back with everything on it
	ReportWarm    = "warm"      // CommandData: machine, token, gateway: by that gateway's measurement the machine's caches are warm
	FinishWarming = "warmed"    // CommandData: machine: back in service, as most gateways of its club report it warm
	SetLost       = "lost"      // CommandData: names: the complete list of edge caches and hubs that are missing from or drained in the node list
	SetVoters     = "votes"     // CommandData: names: the voters of the quorum
	SetPeak       = "peak"      // CommandData: club, hour, peak: set by an operator, overrides the measured peak; 0 removes it
	ReportPeak    = "measured"  // CommandData: gateway, hour, peak: measured by that gateway
	Tick          = "tick"      // CommandData: at
)

// CommandData is the content of all commands but SetInventory.
type CommandData struct {
	At         float64  `cbor:"1,keyasint"` // when it was proposed
	Machine    string   `cbor:"2,keyasint,omitempty"`
	Token      uint64   `cbor:"3,keyasint,omitempty"`
	Gateway    string   `cbor:"4,keyasint,omitempty"`
	ID         string   `cbor:"5,keyasint,omitempty"`
	Request    *Request `cbor:"6,keyasint,omitempty"`
	Names      []string `cbor:"7,keyasint,omitempty"`
	Club       string   `cbor:"8,keyasint,omitempty"`
	Hour       int      `cbor:"9,keyasint,omitempty"`
	Peak       float64  `cbor:"10,keyasint,omitempty"`
	OwnerToken uint64   `cbor:"11,keyasint,omitempty"` // scheduler commands only: the token under which the sender owns the schedule
}

// Results of commands that were committed and changed nothing.
var (
	ErrMalformed      = errors.New("the command can't be read")
	ErrUnknownMachine = errors.New("no such machine")
	ErrConflict       = errors.New("that version, or that id, says something else")
	ErrWrongStage     = errors.New("not at this stage")
	ErrStaleGrant     = errors.New("that grant does not stand")
	ErrPendingAcks    = errors.New("some gateway is not done with it")
	ErrNotWarm        = errors.New("its club does not find it warm yet")
	ErrTooMany        = errors.New("too many of them")
	ErrMachineMissing = errors.New("a machine that is not in is missing from it")
	ErrDeadline       = errors.New("by: in the past, or too soon for the time that it takes")
)

// Refused is the result of a command that a limit forbids. Limit names the limit and its current use.
type Refused struct{ Limit string }

func (r Refused) Error() string { return "limit: " + r.Limit }
