// Package router decides, for one gateway, which node each download is pulled from and which copies are kept.
//
// It is a state machine without input or output of its own: the gateway hands events to Router.Handle, which returns
// the actions to carry out. This file defines both. Times and durations are milliseconds with fractions, on the
// gateway's clock.
package router

// Event is one of the event types below.
type Event any

// Events. The gateway hands them over in the order in which they happened.
type (
	// Started is the first event: the seed of the router's random choices and the settings of its deployment.
	Started struct {
		Seed     uint64
		Settings Settings
	}
	// NodesListed carries a list of nodes, or changes to it.
	NodesListed struct {
		Scope   Scope
		Entries []Entry
	}
	// DownloadArrived hands over a new download, to which the router must give exactly one final answer.
	DownloadArrived struct {
		ID, Type, Object string
		Expiry           float64 // a time on the gateway's clock
		Size             float64 // KB; 0: unknown
		Group            int64
		Part             int64
		Write            bool
		PrefetchNode     string // the only edge cache to fill, ahead of requests; empty: any cache may serve it
	}
	// PullEnded reports how a pull ended, after Duration ms. DownloadDone means that the download has ended with it. Load holds the
	// node's gauges.
	PullEnded struct {
		ID           string
		Pull         int
		Status       Status
		Duration     float64
		DownloadDone bool
		AnswerSource AnswerSource
		Load         map[string]float64
	}
	// Streaming reports that the answer of a pull has begun to flow to the client.
	Streaming struct {
		ID   string
		Pull int
	}
	// ClientGone reports that the client has disconnected; the download needs no answer any more.
	ClientGone struct{ ID string }
	// TimerFired reports that the SetTimer with this token is due.
	TimerFired struct{ Token int64 }
	// Purged invalidates copies older than Age: of one object, or of a whole group where Object is empty.
	Purged struct {
		Object string
		Age    float64
		Group  int64
	}
	// Probed reports the result of a Probe.
	Probed struct {
		Node   string
		Status Status
		Load   map[string]float64
	}
)

// Action is one of the action types below.
type Action any

// Actions, to be carried out in the order given.
type (
	// Pull requests a download's object from a node. Source fills a miss. Where it is the node itself, there is no fill;
	// where it is empty, the node is asked only for what it holds.
	Pull struct {
		ID, Node, Source string
		Timeout          float64
		SendWithin       float64 // the time from now by which it must be sent, or else never; 0: by its timeout
		Options          PullOptions
		Rank             int     // rank of the copy that the node keeps; 0 keeps none
		MaxAge           float64 // age of the oldest acceptable copy; 0 leaves it to the content type
	}
	// Throttle is a final answer: the client may safely try again, preferably after Wait.
	Throttle struct {
		ID   string
		Wait float64
	}
	// Abandon is a final answer: the request failed and may or may not have taken effect.
	Abandon struct{ ID string }
	// CancelPull cancels one pull of a download.
	CancelPull struct {
		ID   string
		Pull int
	}
	// Probe requests a health check of a node.
	Probe struct{ Node string }
	// SetTimer sets a timer: TimerFired is to follow at or after a time.
	SetTimer struct {
		At    float64
		Token int64
	}
	// WatchNodes subscribes to changes of the list of nodes, where they are not pushed.
	WatchNodes struct{}
	// Log is a line for the operator's log.
	Log struct{ Text string }
)

// Entry describes one node of a list.
type Entry struct {
	Node, Kind, Zone string
	State            State
	Weight           float64
	Cell             int64
	StartedAt        float64 // when its process last started; 0: long ago
}

// LoadView is a router's view of a node or limiter, for logs and for checks against the actual state. It does not
// include the load that nodes report.
type LoadView struct {
	Node                 string
	InFlight             int     // pulls in flight
	Ejected              bool    // ejected because its pulls failed
	WarmShare            float64 // the share of its capacity that it is warm enough for
	Successes, Failures  float64 // its recent pulls that succeeded and failed
	Limit                float64 // the limit on its pulls in flight; unbounded until answers were late
	LateAnswers, Answers float64 // the recent answers by which the limit is adapted: late ones, and all
}

// HotObject is a part of an object that is in demand.
type HotObject struct {
	Type, Object string
	Part, Group  int64
}

// Scope says how a list relates to the one before.
type Scope int

// The scopes of a list.
const (
	ListChanges     Scope = iota // changes to the previous list
	FullList                     // replaces the previous list
	RestoredList                 // replaces the previous list, and may be stale
	ListUnavailable              // a request for the list failed; the previous one stays in force
)

// State is the listed state of a node.
type State int

// The states of a node.
const (
	Running State = iota
	Draining
	Gone
)

// Status is how a pull or a probe ended.
type Status int

// The statuses of pulls and probes.
const (
	Fulfilled    Status = iota
	Failed              // the node answered with an error
	Rejected            // not processed: the node, its fills or the source had no room
	TimedOut            // no answer within the timeout
	NotConnected        // no connection could be made
	Broken              // the connection broke
	Cancelled           // cancelled by the router
	NeverSent           // given up before it was sent
	Missed              // no suitable copy held
)

// AnswerSource says where the answer of a pull came from or why a fill failed, as far as the deployment reports it.
type AnswerSource int

// The notes, in the order of their numbers on the wire.
const (
	SourceUnknown  AnswerSource = iota
	Hit                         // a hit
	FilledBySource              // a miss that the source filled
	FilledByOrigin              // a miss that the origin filled
	JoinedFill                  // a miss that joined a fill in flight
	StaleHit                    // a hit on a stale copy
	SourceRefused               // the source turned the fill away
	SourceLost                  // the connection to the source was lost
	SourceMiss                  // the source does not hold the object
	NoFillCapacity              // the node had no room for the fill
	OriginFailed                // the origin failed
)

// PullOptions holds the options of a pull, as bits.
type PullOptions int

// The options of a pull.
const (
	JoinFill             PullOptions = 1 << iota // join a fill in flight
	HeldOnly                                     // the source serves only a copy that it holds
	SkipParentCopy                               // the parent keeps no copy
	StaleWhileRevalidate                         // serve an ageing copy and refresh it in the background (stale-while-revalidate)
)
