package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Limits of an agent, in ms where they are times.
type Limits struct {
	Jobs        int     // remembered by the book
	Effect      float64 // after which a step's effect is taken for lost
	Rest        float64 // for which a job rests after a step that did not run; twice as long with each one more
	LongestRest float64
	Hold        float64 // for which a member that was lost once is given nothing after its return; twice as long with each loss
	LongestHold float64
	WarmRounds  int     // steps of a job that fills a node ahead; 0: none is asked for
	WarmEach    int     // objects of each
	Again       float64 // after which what was asked for in vain is asked for anew
}

// DefaultLimits are limits for a site on a local network.
func DefaultLimits() Limits {
	return Limits{Jobs: 256, Effect: 2000, Rest: 100, LongestRest: 5000, Hold: 2000, LongestHold: 60_000, Again: 1000, WarmEach: 24}
}

// Agent is one gateway's part in owned work, joined: the book as far as it has followed the log, the planner where it leads, its
// own steps and the effects that are out. It is pure; its book changes under it, as the log goes on.
type Agent struct {
	Book    *Book
	set     Limits
	work    Work
	planner Planner
	warmer  Warmer
	out     map[effect]Do
	asked   map[string]float64 // grants that are on their way, by job
	seen    map[string]uint64  // the last token of each job that its own place was told of
	leads   bool
	leaving bool
	again   float64 // when what was asked for in vain is asked for anew
	vain    bool    // something was
}

type effect struct {
	job   string
	token uint64
	step  int
}

// Events of an agent.
type (
	// Followed tells that the log went on, or how this gateway stands in it now. Incarnation 0: it may ask for nothing.
	Followed struct {
		Name        string
		Incarnation uint64
		Leads       bool
	}
	// Ended tells how a step's effect ended that was sent under a token.
	Ended struct {
		Job   string
		Token uint64
		Step  int
		End   End
	}
	// Answered tells that something asked for was agreed, or why not. What was agreed and refused by the book is no matter here.
	Answered struct{ InVain bool }
	// Leaving tells that this gateway is about to end.
	Leaving struct{}
	// Booted tells of a node that has lately started, empty: what this gateway's list says of it.
	Booted struct {
		Node, Zone string
		Start      uint64  // names the start of its process
		Left       float64 // ms for which it is still cold
	}
)

// Raise is an action beside Do and Ask: the agent's own place has to know of a grant that the log made, whatever comes there.
type Raise struct {
	Job   string
	Token uint64
}

// NewAgent makes one with an empty book.
func NewAgent(set Limits) *Agent {
	return &Agent{Book: New(set.Jobs), set: set, work: Work{Rest: set.Rest, LongestRest: set.LongestRest},
		warmer:  Warmer{Rounds: set.WarmRounds, Each: set.WarmEach},
		planner: Planner{Hold: set.Hold, Longest: set.LongestHold}, out: map[effect]Do{}, asked: map[string]float64{},
		seen: map[string]uint64{}, again: math.Inf(1)}
}

// Handle takes one event; nil only lets time pass.
func (a *Agent) Handle(now float64, e any) (do []any) {
	switch e := e.(type) {
	case Followed:
		if e.Incarnation != a.work.Incarnation || e.Name != a.work.Name {
			// Another process by the log's word: what this one had in hand ends as it may, and it begins with nothing.
			a.work = Work{Name: e.Name, Incarnation: e.Incarnation, Rest: a.set.Rest, LongestRest: a.set.LongestRest, leaving: a.leaving}
		}
		if e.Leads && !a.leads {
			clear(a.asked)
		}
		a.leads = e.Leads
		do = append(do, a.fence()...)
	case Ended:
		key := effect{e.Job, e.Token, e.Step}
		sent, known := a.out[key]
		if delete(a.out, key); !known && e.End != Ran {
			return nil // it was taken for lost before
		}
		t := sent.Job.Type
		if j := a.Book.Jobs[e.Job]; !known && j != nil {
			t = j.Type
		}
		do = append(do, a.work.Ended(now, e.Job, e.Token, e.Step, t, e.End)...)
	case Booted:
		a.warmer.Booted(now, e)
	case Answered:
		if e.InVain && !a.vain {
			a.vain, a.again = true, now+a.set.Again
		}
	case Leaving:
		a.leaving = true
		a.work.Leave()
	}
	do = append(do, a.late(now)...)
	if now >= a.again {
		a.vain, a.again = false, math.Inf(1)
		do = append(do, a.work.Again()...)
	}
	if a.leads && !a.leaving {
		do = append(do, a.plan(now)...)
	}
	do = append(do, a.work.See(now, a.Book)...)
	for i, x := range do {
		if x, ok := x.(Do); ok {
			x.By = now + a.set.Effect
			a.out[effect{x.Job.Name, x.Token, x.Step}] = x
			do[i] = x
		}
	}
	return do
}

// fence has this gateway's own place refuse what is older than the grants of the log, before any newer effect comes there.
func (a *Agent) fence() (do []any) {
	for _, j := range a.Book.All() {
		if j.Token > a.seen[j.Name] {
			a.seen[j.Name] = j.Token
			do = append(do, Raise{j.Name, j.Token})
		}
	}
	maps.DeleteFunc(a.seen, func(name string, _ uint64) bool { return a.Book.Jobs[name] == nil })
	return do
}

// late takes effects for lost whose time is over. They may have happened.
func (a *Agent) late(now float64) (do []any) {
	var over []Do
	for _, x := range a.out {
		if now >= x.By {
			over = append(over, x)
		}
	}
	slices.SortFunc(over, func(x, y Do) int {
		return cmp.Or(cmp.Compare(x.Token, y.Token), cmp.Compare(x.Step, y.Step)) // a token is of one job
	})
	for _, x := range over {
		delete(a.out, effect{x.Job.Name, x.Token, x.Step})
		do = append(do, a.work.Ended(now, x.Job.Name, x.Token, x.Step, x.Job.Type, Perhaps)...)
	}
	return do
}

// plan asks for grants where this gateway leads, each no more than once in the time after which it is asked for anew.
func (a *Agent) plan(now float64) (do []any) {
	for _, j := range a.warmer.Plan(now, a.Book) {
		if at, ok := a.asked[j.Name]; ok && now < at+a.set.Again {
			continue
		}
		a.asked[j.Name] = now
		do = append(do, Ask{Kind: Start, Job: &j})
	}
	for _, c := range a.planner.Plan(now, a.Book) {
		if at, ok := a.asked[c.Job]; ok && now < at+a.set.Again {
			continue
		}
		a.asked[c.Job] = now
		do = append(do, Ask{Kind: Grant, Claim: c})
	}
	maps.DeleteFunc(a.asked, func(job string, at float64) bool {
		j := a.Book.Jobs[job]
		return now >= at+a.set.Again || j != nil && j.Owner != ""
	})
	return do
}

// Next is when something is due next.
func (a *Agent) Next() float64 {
	next := min(a.again, a.work.Next())
	for _, x := range a.out {
		next = min(next, x.By)
	}
	if a.leads && !a.leaving {
		next = min(next, a.planner.next)
		for _, at := range a.asked {
			next = min(next, at+a.set.Again)
		}
	}
	return next
}

// Idle tells whether nothing of its own is under way: a gateway that leaves may end then.
func (a *Agent) Idle() bool { return len(a.out) == 0 && len(a.work.jobs) == 0 }
