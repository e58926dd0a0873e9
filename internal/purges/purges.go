// Package purges implements purging of cached copies across all gateways through a replicated log. Purges are applied
// in log order and take effect everywhere within a stated delay, even at a gateway that cannot reach the log. The
// package does no I/O: it applies log entries in order, and every gateway derives the same purges, batches and bounds
// from them.
//
// This file holds the data types, command kinds and errors. A purge is expressed as a lower bound on the creation time
// of copies: copies created before the bound are invalid. Creation times and bounds are Unix milliseconds; purges are
// ordered by their log index, never by a clock. A bound is the acceptance time plus Limits.Skew, so that clock
// differences purge too much rather than too little.
package purges

import "errors"

// Purge is an operator's request to purge objects, groups or a name pattern. Repeating a request with the same ID and
// content has no effect; the same ID with other content is refused.
type Purge struct {
	ID      string   `cbor:"1,keyasint" json:"id"`
	Objects []string `cbor:"2,keyasint,omitempty" json:"objects,omitempty"`
	Groups  []int64  `cbor:"3,keyasint,omitempty" json:"groups,omitempty"`  // group numbers, used as tags; each download carries one
	Pattern string   `cbor:"4,keyasint,omitempty" json:"pattern,omitempty"` // regular expression for whole names, matched in linear time
	Club    string   `cbor:"5,keyasint,omitempty" json:"club,omitempty"`    // empty: all clubs
	Stale   bool     `cbor:"6,keyasint,omitempty" json:"stale,omitempty"`   // an older copy may be served where no newer one is available
}

// Limits are the timing and size limits of a purge. They are part of its Accept command and so the same at all
// gateways. Times are in ms.
type Limits struct {
	Delay     float64 `cbor:"1,keyasint" json:"delay_ms"` // time after the publication of a batch from which no gateway serves an older copy
	Skew      float64 `cbor:"2,keyasint" json:"skew_ms"`  // largest difference between the clocks of two machines
	Rate      float64 `cbor:"3,keyasint" json:"rate"`     // objects published per second; 0: all at once
	Batch     int     `cbor:"4,keyasint" json:"batch"`    // objects per batch
	MaxBounds int     `cbor:"5,keyasint" json:"held"`     // object and group bounds kept individually; past that the oldest merge into a bound for all
	MaxFills  float64 `cbor:"6,keyasint" json:"fills"`    // fills per second of all gateways together above which the next batch waits; 0: no limit
}

// DefaultLimits returns limits suited to a site on a local network.
func DefaultLimits() Limits { return Limits{Delay: 30_000, Skew: 500, Batch: 200, MaxBounds: 20_000} }

// Stage is the progress of a purge.
type Stage int

// Stages of a purge.
const (
	Publishing Stage = iota // accepted; some objects are not published yet
	Sent                    // all objects are published; some gateway has not confirmed them
	Done                    // every joined gateway has confirmed; lost gateways no longer trust older copies
	Cancelled               // bounds already published stay in force
)

func (s Stage) String() string { return [...]string{"going", "sent", "done", "cancelled"}[s] }

// Kinds of log commands. Each carries a CommandData; the fields that the kind uses are listed.
const (
	Accept       = "accept" // purge, limits, await_begin
	Begin        = "begin"  // id: fixes the acceptance time of a purge; proposed by a gateway that saw it accepted
	Batch        = "batch"  // id, first, next, token: publishes the objects first to next-1 of a purge
	Cancel       = "cancel" // id
	ReportMisses = "misses" // from, rate: fills per second that a gateway requested on edge cache misses
	Confirm      = "seen"   // from, index: a gateway confirms that it applies all marks up to a log index
	Tick         = "tick"   // at: advances the time of the log
)

// CommandData is the payload of every command.
type CommandData struct {
	At     float64 `cbor:"1,keyasint"` // when the command was issued, by the clock of its sender
	Purge  *Purge  `cbor:"2,keyasint,omitempty"`
	Limits *Limits `cbor:"3,keyasint,omitempty"`
	ID     string  `cbor:"4,keyasint,omitempty"`
	First  int     `cbor:"5,keyasint,omitempty"`
	Next   int     `cbor:"6,keyasint,omitempty"`
	Token  uint64  `cbor:"7,keyasint,omitempty"` // fencing token of the sender's ownership of the batch job
	From   string  `cbor:"8,keyasint,omitempty"`
	Index  uint64  `cbor:"9,keyasint,omitempty"`
	Rate   float64 `cbor:"10,keyasint,omitempty"`
	// AwaitBegin makes the times of a purge provisional until Begin: a command may be agreed long after it was issued.
	AwaitBegin bool `cbor:"11,keyasint,omitempty"`
}

// Mark is one published bound, as passed to a gateway's core.
type Mark struct {
	Object     string
	Group      int64 // valid if Grouped is set
	Grouped    bool
	Pattern    string
	AllObjects bool // applies to every object; replaces bounds that were evicted
	Club       string
	At         float64 // the bound: copies created before it are invalid
	Stale      bool
}

// Errors returned by commands that were committed but rejected; they change no purge.
var (
	ErrMalformed  = errors.New("the command can't be read")
	ErrConflict   = errors.New("a purge of that id says something else")
	ErrUnknown    = errors.New("no such purge")
	ErrFull       = errors.New("too many purges are under way")
	ErrFinished   = errors.New("all of it has gone out, or it was cancelled")
	ErrReplaced   = errors.New("who sends it was replaced")
	ErrOutOfOrder = errors.New("another batch is next")
)
