// Package router decides, for one gateway, where every download is pulled from and what is kept.
//
// This file is its interface and holds no logic: the events that a front hands to Router.Handle and the
// actions that Handle returns. Times are milliseconds with fractions, on the front's clock.
package router

// Event is one of the types below that says so.
type Event any

// Events. A front hands them over in the order in which they happened.
type (
	// Started opens a router's life: the seed of its chance and what it is told of its deployment.
	Started struct {
		Seed      uint64
		Footprint Footprint
	}
	// Listed is news of the list of nodes.
	Listed struct {
		Scope   Scope
		Entries []Entry
	}
	// Arrived hands a download over; the router owes it one final answer from now on.
	Arrived struct {
		ID, Type, Object string
		Expiry           float64 // on the clock
		Size             float64 // KB; 0 where it is not told
		Group            int64
		Part             int64
		Write            bool
		Only             string // the one edge cache that is to be filled with it ahead; empty: whichever serves it best
	}
	// Ended tells how a pull ended. Closed says that the download is finished with it.
	Ended struct {
		ID     string
		Pull   int
		Status Status
		Took   float64
		Closed bool
		Note   Note
		Load   map[string]float64
	}
	// Streaming tells that the answer to a download has begun to flow and is the client's now.
	Streaming struct {
		ID   string
		Pull int
	}
	// Left tells that the client is gone; nothing is owed any more.
	Left struct{ ID string }
	// Rang is an alarm that this router set.
	Rang struct{ Token int64 }
	// Purged makes copies older than Age void: of one object, or of all its group where Object is empty.
	Purged struct {
		Object string
		Age    float64
		Group  int64
	}
	// Probed is what a probe found.
	Probed struct {
		Node   string
		Status Status
		Load   map[string]float64
	}
)

// Action is one of the types below that says so.
type Action any

// Actions, to be carried out in the order given.
type (
	// Pull asks a node for a download's object. Source fills a miss; the node itself there means no fill,
	// and an empty one asks for what the node holds and nothing more.
	Pull struct {
		ID, Node, Source string
		Timeout          float64
		Within           float64 // it must be on its way by then or never; 0: by its time-out
		How              How
		Rank             int     // of the copy that is kept; 0 keeps none
		MaxAge           float64 // oldest copy that will do; 0 leaves it to the content type
	}
	// Throttle answers a download for good: trying again does no harm, best after Wait.
	Throttle struct {
		ID   string
		Wait float64
	}
	// Abandon answers a download for good and promises nothing.
	Abandon struct{ ID string }
	// CallOff stops waiting for one pull.
	CallOff struct {
		ID   string
		Pull int
	}
	// Probe checks a node.
	Probe struct{ Node string }
	// Alarm asks for a Rang at or after a time.
	Alarm struct {
		At    float64
		Token int64
	}
	// Watch asks for changes of the list, where they do not come unasked.
	Watch struct{}
	// Log is a line for people.
	Log struct{ Text string }
)

// Entry is one line of the list of nodes.
type Entry struct {
	Node, Kind, Zone string
	State            State
	Weight           float64
	Cell             int64
	Booted           float64 // when its process last started; 0: long ago
}

// Belief is what a router holds of a node, for people and for checks against what is so. Load reports are not used.
type Belief struct {
	Node      string
	Out       int // pulls asked of it that have not ended
	Aside     bool
	Warm      float64 // the share of its capacity that it is trusted with
	Good, Bad float64 // of its pulls lately
	Most      float64 // pulls that its limiter lets out at a time; unbounded until answers were late
	Late, All float64 // answers by which that was judged lately
}

// Wanted is a part of an object that is asked for.
type Wanted struct {
	Type, Object string
	Part, Group  int64
}

// Scope tells what a Listed changes.
type Scope int

// The scopes of a list.
const (
	Changes  Scope = iota // apply on top of the list held
	Whole                 // replaces it
	Restored              // replaces it, and may be stale
	NoList                // a call for the list failed; the old one holds
)

// State is a node's, as listed.
type State int

// The states of a node.
const (
	Running State = iota
	Draining
	Gone
)

// Status is how a pull or a probe ended.
type Status int

// The statuses.
const (
	Fulfilled    Status = iota
	Failed              // the node answered with an error
	TurnedAway          // unseen: the node, its fills or the source had no place
	TimedOut            //
	NotConnected        //
	Broken              // the connection broke
	CalledOff           //
	NeverSent           //
	Missed              // nothing suitable held
)

// Note says where a fulfilled pull's answer came from, as far as the deployment tells.
type Note int

// The notes.
const (
	NotTold Note = iota
	Held
	FilledBySource
	FilledByOrigin
	JoinedFill
	HeldOld
	SourceRefused
	SourceLost
	SourceLacks
	NoFillPlace
	OriginFailed
)

// How holds the manners of a pull.
type How int

// The manners, which add up.
const (
	Join       How = 1 << iota // a fill that is under way
	OnlyHeld                   // by the source
	PassParent                 // no copy stays at the parent
	Renew                      // an ageing copy is served and fetched anew behind
)
