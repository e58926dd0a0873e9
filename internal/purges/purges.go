// Package purges has copies of what is withdrawn end everywhere, in one order, and by a stated delay even where a gateway can't hear of it. It
// is pure: the agreed log hands it commands in their order, and every gateway works out the same purges, batches and bounds from them.
//
// This file is its interface. What is purged is told by a bound: copies born before it don't count. Births and bounds are Unix milliseconds;
// the order of purges is their place in the log, never a clock. A bound is the time of the acceptance and Skew more, so that clocks that are
// apart have too much purged rather than too little.
package purges

import "errors"

// Purge is an operator's. The same id with the same words does nothing; with others it is refused.
type Purge struct {
	ID      string   `cbor:"1,keyasint" json:"id"`
	Objects []string `cbor:"2,keyasint,omitempty" json:"objects,omitempty"`
	Groups  []int64  `cbor:"3,keyasint,omitempty" json:"groups,omitempty"`  // tags: numbers of groups, as downloads carry them
	Pattern string   `cbor:"4,keyasint,omitempty" json:"pattern,omitempty"` // of whole names of objects, matched in linear time
	Club    string   `cbor:"5,keyasint,omitempty" json:"club,omitempty"`    // empty: all
	Stale   bool     `cbor:"6,keyasint,omitempty" json:"stale,omitempty"`   // an older copy may still answer where no newer one is to be had
}

// Limits of a purge, the same at all gateways as they come with its acceptance; ms where they are times.
type Limits struct {
	Delay float64 `cbor:"1,keyasint" json:"delay_ms"` // after which no answer anywhere comes from an older copy, counted from when a batch goes out
	Skew  float64 `cbor:"2,keyasint" json:"skew_ms"`  // by which clocks may be apart
	Rate  float64 `cbor:"3,keyasint" json:"rate"`     // objects a second that go out; 0: all at once
	Batch int     `cbor:"4,keyasint" json:"batch"`    // objects that go out together
	Held  int     `cbor:"5,keyasint" json:"held"`     // bounds of objects and groups that are remembered one by one; past them the oldest become a bound for all
	Fills float64 `cbor:"6,keyasint" json:"fills"`    // a second, of all gateways together, past which the next batch waits; 0: never
}

// DefaultLimits are limits for a site on a local network.
func DefaultLimits() Limits { return Limits{Delay: 30_000, Skew: 500, Batch: 200, Held: 20_000} }

// Stage is how far a purge has come.
type Stage int

// The stages.
const (
	Going     Stage = iota // accepted; some of its objects have not gone out
	Sent                   // all have; some gateway has not said that it goes by it
	Done                   // all that are there have, and the lost ones are blind by now
	Cancelled              // what had gone out holds
)

func (s Stage) String() string { return [...]string{"going", "sent", "done", "cancelled"}[s] }

// Kinds of commands, each with an Order.
const (
	Accept = "accept" // purge, limits
	Batch  = "batch"  // id, first, next, owned: those of its objects go out
	Cancel = "cancel" // id
	Misses = "misses" // from, rate: fills a second that it asked for, as edge caches did not hold what was wanted
	Seen   = "seen"   // from, index: that gateway goes by all that went out up to there
	Tick   = "tick"   // at
)

// Order is the content of all commands.
type Order struct {
	At     float64 `cbor:"1,keyasint"` // when it was given
	Purge  *Purge  `cbor:"2,keyasint,omitempty"`
	Limits *Limits `cbor:"3,keyasint,omitempty"`
	ID     string  `cbor:"4,keyasint,omitempty"`
	First  int     `cbor:"5,keyasint,omitempty"`
	Next   int     `cbor:"6,keyasint,omitempty"`
	Owned  uint64  `cbor:"7,keyasint,omitempty"` // the token under which its sender owns the sending of batches
	From   string  `cbor:"8,keyasint,omitempty"`
	Index  uint64  `cbor:"9,keyasint,omitempty"`
	Rate   float64 `cbor:"10,keyasint,omitempty"`
}

// Mark is one bound, as the gateways' cores take it.
type Mark struct {
	Object  string
	Group   int64 // where Grouped says so
	Grouped bool
	Pattern string
	All     bool // of every object: what was forgotten one by one
	Club    string
	At      float64
	Stale   bool
}

// Results of commands that were agreed and change nothing.
var (
	ErrBad     = errors.New("the command can't be read")
	ErrOther   = errors.New("a purge of that id says something else")
	ErrUnknown = errors.New("no such purge")
	ErrFull    = errors.New("too many purges are under way")
	ErrOver    = errors.New("all of it has gone out, or it was cancelled")
	ErrOld     = errors.New("who sends it was replaced")
	ErrTurn    = errors.New("another batch is next")
)
