// Package world emulates a deployment against which gateways are tested: edge caches, hubs, the member core, the links
// between them, the directory of boxes, and the clients. It is deterministic: events come in with their time and actions
// go out; it has no goroutine, socket or clock. All randomness derives from the script's seed, and each random draw is
// keyed by its purpose.
//
// This file holds its events, actions and facts. Times are milliseconds since the start of the rehearsal, sizes are bytes, and
// work is milliseconds of one core at speed 1. Gateways are identified by number, boxes by id, connections by a number that
// the driver assigns.
package world

import (
	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// Events, which a driver passes to World.Handle.
type (
	// Dialled: a gateway opens a connection to an address.
	Dialled struct {
		Conn    int64
		Address string
	}
	// Command is a command on such a connection: GET, DROP, PING or LOAD.
	Command struct {
		Conn     int64
		Verb, ID string
		Fields   map[string]string
		Body     int // bytes
	}
	// ConnClosed: the gateway closed a connection, or it broke.
	ConnClosed struct{ Conn int64 }
	// Answer is a gateway's answer to a client.
	Answer struct {
		Gateway     int
		ID          string
		Status      int
		Wait        float64 // ms until the client should retry; 0: not given
		NotModified bool
		Copy        string // first line of the body, which identifies the copy
		Token       string // renewed link for the client
		Ticket      string // to present when it comes back
	}
	// RequestFailed: a request's connection was refused, or ended before an answer.
	RequestFailed struct {
		ID      string
		Refused bool // the request was never accepted
	}
	// Ready: a gateway passes its health check after its start.
	Ready struct{ Gateway int }
	// Exited: a gateway's process ended. Crashed: without being told to.
	Exited struct {
		Gateway int
		Crashed bool
	}
	// Delivered: a gateway has received the channel's events up to a cursor.
	Delivered struct {
		Gateway int
		Cursor  int
	}
)

// Actions, which the driver carries out in order.
type (
	// Accept completes a connection.
	Accept struct{ Conn int64 }
	// Refuse refuses a connection.
	Refuse struct{ Conn int64 }
	// Reset closes a connection at once.
	Reset struct{ Conn int64 }
	// Reply sends a reply on a connection.
	Reply struct {
		Conn              int64
		Tag, Word, Fields string
		Body              []byte
		Cut               bool // it breaks off within the body, and the connection closes
	}
	// Listen makes a box reachable under an address; the driver may map it to any real one.
	Listen struct{ Address string }
	// Close makes it unreachable: connections are refused or, if Drop, neither accepted nor refused.
	Close struct {
		Address string
		Drop    bool
	}
	// Publish sends an event on the command channel to all gateways.
	Publish struct {
		Cursor int
		Event  map[string]any
	}
	// Channel changes how the command channel behaves until the next such action.
	Channel struct{ State ChannelState }
	// SendRequest sends a client's request to a gateway.
	SendRequest struct {
		Gateway int
		Request
	}
	// Abort cancels it.
	Abort struct {
		Gateway int
		ID      string
	}
	// Keys makes all gateways load another set of keys for signed links.
	Keys struct{ Keys []links.Key }
	// Start, Kill, Terminate and Reload act on a gateway's process: start it without state, kill it, ask it to terminate, make it
	// reload its configuration.
	Start struct{ Gateway int }
	Kill  struct {
		Gateway int
		Disk    string // what remains of its consensus state: lost, or old (as of its last CopyDisk); empty: all of it
	}
	// CopyDisk saves a copy of the gateway's state on disk. FillDisk makes its disk full or, with Undo, writable again.
	CopyDisk struct{ Gateway int }
	FillDisk struct {
		Gateway int
		Undo    bool
	}
	// SubmitJob submits a job for the whole fleet to the gateways.
	SubmitJob struct{ Job script.Job }
	// SubmitPurge asks the gateways to agree on a purge of objects or groups.
	SubmitPurge struct {
		ID      string
		Objects []string
		Groups  []int64
	}
	Terminate struct{ Gateway int }
	Reload    struct{ Gateway int }
)

// Freeze suspends a gateway's process, or resumes it.
type Freeze struct {
	Gateway int
	Thaw    bool
}

// Partition drops the traffic from some gateways to the others and, unless OneWay, back; Heal ends that.
type Partition struct {
	Gateways []int
	OneWay   bool
	Heal     bool
}

// DelayTraffic delays traffic between some gateways and the others by so many ms; 0 ends that.
type DelayTraffic struct {
	Gateways []int
	Delay    float64
}

// ResetConns closes all connections between some gateways and the others; new ones can be opened.
type ResetConns struct{ Gateways []int }

// ChannelState is how the command channel behaves.
type ChannelState int

// The channel's states.
const (
	Normal    ChannelState = iota
	Broken                 // its connections break once; new ones can be opened
	Silent                 // its connections stay open, but nothing is sent
	Repeating              // it sends everything twice
)

// Request is a client's request.
type Request struct {
	ID, Type, Object string
	Part, Group      int
	Timeout          float64 // ms that the client waits
	HeldTag          string  // tag of a copy that the client holds
	Body             int     // size in bytes
	Token            string  // signed link; empty: none
	Club             string  // as the front end reports it
	Client           string
	Ticket           string // ticket of an appointment
	LinkID           string // id of a write's link: what must run only once
	Source           string // client address that the front end reports
	Forged           bool   // it must be rejected
}

// Fact is one of the types below: what the emulator itself observed, for auditing and counting. It never relies on what a
// gateway reports about itself.
type Fact any

// Facts, reported in the order in which they occur.
type (
	// RequestSent: a request was sent to a gateway.
	RequestSent struct {
		At, Expiry float64
		Gateway    int
		Repeat     string // whether it may run twice: retriable, deduped, non-retriable
		First      bool   // not a client's retry
		Request
	}
	// Answered: a client got an answer.
	Answered struct {
		At float64
		Answer
	}
	// Ended: a request ended for its client without an answer.
	Ended struct {
		At      float64
		ID, Why string
	}
	// Pulled: a box received a complete GET.
	Pulled struct {
		At                float64
		Gateway           int
		ID, Object, Type  string
		Part, Group       int
		Box, Zone, Source string
		Cell              int
	}
	// Served: a box ended a GET with a reply word; CreatedAt is when the core produced the copy.
	Served struct {
		At        float64
		ID, Box   string
		Word      string
		Note      string
		CreatedAt float64
		Copy      bool
	}
	// WriteRan: a write took effect.
	WriteRan struct {
		At float64
		ID string
	}
	// Notified: a gateway learned of a box's state, or of a purge that took place at When.
	Notified struct {
		At         float64
		Gateway    int
		Box, State string
		Purged     string // object id, or empty
		Group      int    // -1: none
		When       float64
	}
	// PurgeAgreed: the gateways accepted a purge of their own. After Deadline, no answer may come from a copy made before When.
	PurgeAgreed struct {
		Object         string // empty: a whole group
		Group          int
		Club           string
		When, Deadline float64
	}
	// ColdOverload: the load sent to a cold box in the last window exceeds its present capacity, and it fails.
	ColdOverload struct {
		At            float64
		Box           string
		Sent, Allowed float64
	}
	// Overloaded: a box or the core failed from overload.
	Overloaded struct {
		At  float64
		Box string
	}
	// Unsigned: a box received a GET without a link that is valid for it.
	Unsigned struct {
		At      float64
		ID, Box string
	}
	// ObjectProduced: the core was asked to produce an object.
	ObjectProduced struct{ At float64 }
	// BytesSent: bytes were sent over a link.
	BytesSent struct {
		At    float64
		Link  string
		Bytes float64
	}
	// OperationEnded: a client's operation ended, over all its attempts.
	OperationEnded struct {
		At, Asked float64
		Type      string
		Member    string // member that the client belongs to
		Verdict   Verdict
		Tries     int
	}
	// Restarted: a gateway's process started anew.
	Restarted struct {
		At      float64
		Gateway int
	}
	// StepLogged is one line in a gateway's log of fleet-wide job steps that it ran, in the order of that log.
	StepLogged struct {
		At                    float64
		Gateway, Step         int
		Job, From             string
		Type                  string
		Token, NewerToken     uint64 // NewerToken: the step was refused because this higher token was seen
		Repeated, TokenNotice bool   // Repeated: it had run before; TokenNotice: no step, only a notice of a token
	}
	// Down: a gateway's process ended. Crashed: without being told to.
	Down struct {
		At      float64
		Gateway int
		Crashed bool
	}
)

// Verdict is the outcome of an operation.
type Verdict int

// The verdicts.
const (
	InTime Verdict = iota
	Late
	Throttled
	Abandoned
	Lost // never answered
	Left // the client went away first
)
