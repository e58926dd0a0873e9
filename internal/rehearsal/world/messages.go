// Package world is a deployment that a gateway can be rehearsed against: edge caches, hubs, the member core, the links
// between them, the list of boxes, and the clients. It is pure: events come in with their time, actions go out; there is
// no goroutine, socket or clock in it, and all chance comes from the script's seed, each draw keyed by what it is for.
//
// This file is its interface. Times are milliseconds since the start of the rehearsal, sizes bytes, work milliseconds of
// one core at speed 1. Gateways are known by number, boxes by id, connections by a number of the driver's.
package world

import (
	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// Events, which a driver hands to World.Handle.
type (
	// Dialled is a connection that a gateway opens to an address.
	Dialled struct {
		Conn    int64
		Address string
	}
	// Command is one command on such a connection: GET, DROP, PING or LOAD.
	Command struct {
		Conn     int64
		Verb, ID string
		Fields   map[string]string
		Body     int // bytes
	}
	// Hung is a connection that the gateway has closed, or that broke.
	Hung struct{ Conn int64 }
	// Answer is what a gateway told a client.
	Answer struct {
		Gateway int
		ID      string
		Status  int
		Wait    float64 // ms; 0: none was told
		Still   bool
		Copy    string // the head of the body: which copy it is
		Token   string // the successor of the client's link
		Ticket  string // for when it comes back
	}
	// Unanswered is a request whose connection was refused or ended before an answer.
	Unanswered struct {
		ID      string
		Refused bool // it was never taken
	}
	// Ready is a gateway that answers as healthy after its start.
	Ready struct{ Gateway int }
	// Exited is a gateway whose process has ended. Crashed: nobody had told it to.
	Exited struct {
		Gateway int
		Crashed bool
	}
	// Heard tells that a gateway has been told the channel's events up to a number.
	Heard struct {
		Gateway int
		Cursor  int
	}
)

// Actions, which the driver carries out in their order.
type (
	// Accept lets a connection up.
	Accept struct{ Conn int64 }
	// Refuse refuses it.
	Refuse struct{ Conn int64 }
	// Reset ends it at once.
	Reset struct{ Conn int64 }
	// Reply is an answer on it.
	Reply struct {
		Conn              int64
		Tag, Word, Fields string
		Body              []byte
		Cut               bool // it stops amid the body, and the connection ends
	}
	// Listen opens an address of that name to connections; the driver may give it any real one.
	Listen struct{ Address string }
	// Shut closes it: connections are refused. Mute: they are neither accepted nor refused.
	Shut struct {
		Address string
		Mute    bool
	}
	// Publish puts an event into the command channel, for all gateways.
	Publish struct {
		Cursor int
		Event  map[string]any
	}
	// Channel changes how the command channel behaves until its next change.
	Channel struct{ How ChannelState }
	// Ask sends a client's request to a gateway.
	Ask struct {
		Gateway int
		Request
	}
	// Abort takes it back.
	Abort struct {
		Gateway int
		ID      string
	}
	// Keys has all gateways take up other keys for signed links.
	Keys struct{ Keys []links.Key }
	// Start, Kill, Term and Hup act on a gateway's process: started anew from nothing, killed outright, told to end,
	// told to read its configuration again.
	Start struct{ Gateway int }
	Kill  struct {
		Gateway int
		Disk    string // what it kept of the agreement: lost with it, or old, as it was when it was copied; empty: kept
	}
	// Copy keeps its store as it is now; Fill has its disk take no more, or again.
	Copy struct{ Gateway int }
	Fill struct {
		Gateway int
		Undo    bool
	}
	// Work asks the gateways for a job on behalf of all.
	Work struct{ Job script.Job }
	// Withdraw asks the gateways to purge objects, or groups, by themselves.
	Withdraw struct {
		ID      string
		Objects []string
		Groups  []int64
	}
	Term struct{ Gateway int }
	Hup  struct{ Gateway int }
)

// Freeze stops a gateway's process where it stands, or has it go on.
type Freeze struct {
	Gateway int
	Thaw    bool
}

// Part cuts what goes from some gateways to the others, and, unless it is one way, back; Heal mends it.
type Part struct {
	Apart  []int
	OneWay bool
	Heal   bool
}

// Slow makes what goes between some gateways and the others come later by so many ms; 0: no more.
type Slow struct {
	Some []int
	By   float64
}

// Sever ends all connections between some gateways and the others; new ones come up.
type Sever struct{ Some []int }

// ChannelState is how the command channel behaves.
type ChannelState int

// The states of the channel.
const (
	Whole     ChannelState = iota
	Broken                 // its connections break, once, and new ones come up
	Muted                  // it says nothing more, while its connections stay
	Repeating              // it says everything twice
)

// Request is one request of a client.
type Request struct {
	ID, Type, Object string
	Part, Group      int
	Allow            float64 // ms that the client waits
	Mine             string  // tag of a copy that it holds
	Body             int     // bytes that it sends
	Token            string  // signed link; empty: none
	Club             string  // as the front tells it
	Client           string
	Ticket           string // of an appointment
	Chain            string // of a write's link: what must run once
	Source           string // address that the front tells
	Forged           bool   // it must not be let in
}

// Fact is one of the types below. The world tells facts to whoever judges or counts; it never takes a gateway's word.
type Fact any

// Facts, in the order in which they happen.
type (
	// Asked: a request went to a gateway.
	Asked struct {
		At, Expiry float64
		Gateway    int
		Repeat     string // may it run twice: retriable, deduped, non-retriable
		First      bool   // it is no client's retry
		Request
	}
	// Answered: a client got an answer.
	Answered struct {
		At float64
		Answer
	}
	// Ended: a request is over for its client without an answer.
	Ended struct {
		At      float64
		ID, Why string
	}
	// Pulled: a GET came whole to a box.
	Pulled struct {
		At                float64
		Gateway           int
		ID, Object, Type  string
		Part, Group       int
		Box, Zone, Source string
		Cell              int
	}
	// Served: a box ended a GET with a word; Born is when the core gave out the copy served.
	Served struct {
		At      float64
		ID, Box string
		Word    string
		Note    string
		Born    float64
		Copy    bool
	}
	// Ran: a write took effect.
	Ran struct {
		At float64
		ID string
	}
	// Told: a gateway was told of a box's state, or of a purge at a time.
	Told struct {
		At         float64
		Gateway    int
		Box, State string
		Purged     string // object, or empty
		Group      int    // -1: none
		When       float64
	}
	// Purging: the gateways accepted a purge themselves; past By no answer anywhere may come from a copy that was born before When.
	Purging struct {
		Object   string // empty: a group
		Group    int
		Club     string
		When, By float64
	}
	// Pushed: what was sent to a cold box in the last window is over what its state bears, and it falls over.
	Pushed struct {
		At            float64
		Box           string
		Sent, Allowed float64
	}
	// Fell: a box or the core stopped since it was asked for too much.
	Fell struct {
		At  float64
		Box string
	}
	// Unsigned: a GET came to a box without a link that is good there.
	Unsigned struct {
		At      float64
		ID, Box string
	}
	// Made: the core was asked for an object.
	Made struct{ At float64 }
	// Moved: bytes went over a link.
	Moved struct {
		At    float64
		Link  string
		Bytes float64
	}
	// Wanted: what a client wanted, over all its tries, has come to its end.
	Wanted struct {
		At, Asked float64
		Type      string
		Member    string // of whom its client is
		Verdict   Verdict
		Tries     int
	}
	// Restarted: a gateway has started anew.
	Restarted struct {
		At      float64
		Gateway int
	}
	// Effected is one line of the record of a place at which work on behalf of the fleet happens, in the order of that place.
	Effected struct {
		At            float64
		Gateway, Step int
		Job, From     string
		Type          string
		Token, Newer  uint64 // Newer: it was refused, as that token was seen
		Again, Told   bool   // it had happened before; no effect, but word of a token
	}
	// Down: a gateway is gone. Crashed: nobody had told it to.
	Down struct {
		At      float64
		Gateway int
		Crashed bool
	}
)

// Verdict is how a want ended.
type Verdict int

// The verdicts.
const (
	InTime Verdict = iota
	Late
	Throttled
	Abandoned
	Lost // never answered
	Left // its client went first
)
