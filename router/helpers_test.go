package router

import "fmt"

// testSettings returns the settings of a deployment with edge caches, parents and an origin.
func testSettings() Settings {
	return Settings{
		"zones": []any{"hub", "club"}, "zone": "club", "kinds": []any{"box", "parent", "origin"},
		"parent kind": 1.0, "origin kind": 2.0, "gateways": 1.0, "gateways by zone": []any{0.0, 1.0},
		"types": []any{"video", "sale"}, "repeat": []any{"retriable", "non-retriable"},
		"target": []any{600.0, 800.0}, "fresh": []any{0.0, 0.0}, "writes": []any{false, true},
		"most pulls": 4.0, "flow": 10_000.0, "weights": "nominal", "notes": "hit", "fall time": 1000.0, "fall multiple": 2.0,
		"cold share": 0.2, "cold time": 10000.0, "parent cold share": 0.1, "parent cold time": 10000.0,
		"parent fall multiple": 2.0, "purge settles": 6000.0, "call off": true, "probes": true, "connect time": 400.0,
	}
}

// testFleet returns a list of two edge caches, two parents and the origin.
func testFleet() NodesListed {
	return NodesListed{Scope: RestoredList, Entries: []Entry{
		{Node: "e1", Kind: "box", Zone: "club", Weight: 10}, {Node: "e2", Kind: "box", Zone: "club", Weight: 10},
		{Node: "p1", Kind: "parent", Zone: "hub", Weight: 20}, {Node: "p2", Kind: "parent", Zone: "hub", Weight: 20},
		{Node: "o", Kind: "origin", Zone: "hub", Weight: 5},
	}}
}

// startedRouter returns a router at time 0 that was given the list of testFleet.
func startedRouter(f Settings) *Router {
	r := New()
	r.Handle(0, Started{Seed: 7, Settings: f})
	r.Handle(0, testFleet())
	return r
}

// actionsOf returns the actions of one type.
func actionsOf[A any](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// videoRequest returns a download of the same video for each id.
func videoRequest(id string) DownloadArrived {
	return DownloadArrived{ID: id, Type: "video", Object: "match", Expiry: 1e6, Part: 3, Group: 4}
}

// finalAnswer is a Throttle or Abandon and its time.
type finalAnswer struct {
	at     float64
	action Action
}

// runToAnswer hands an event over, then fires every timer in turn, and returns the final answers.
func runToAnswer(r *Router, now float64, e Event) []finalAnswer {
	var answers []finalAnswer
	var alarms []SetTimer
	for {
		actions := r.Handle(now, e)
		alarms = append(alarms, actionsOf[SetTimer](actions)...)
		for _, a := range actionsOf[Throttle](actions) {
			answers = append(answers, finalAnswer{now, a})
		}
		for _, a := range actionsOf[Abandon](actions) {
			answers = append(answers, finalAnswer{now, a})
		}
		if len(alarms) == 0 {
			return answers
		}
		now, e = max(now, alarms[0].At), TimerFired{Token: alarms[0].Token}
		alarms = alarms[1:]
	}
}

// harness sends a router downloads and carries out its actions.
type harness struct {
	r       *Router
	now     float64
	pending []pendingEvent
	alarms  []SetTimer
	pulls   map[string]int
}

// pendingEvent is an event that is due at a later time.
type pendingEvent struct {
	at    float64
	event Event
}

func newHarness() *harness {
	return &harness{r: startedRouter(testSettings()), pulls: map[string]int{}}
}

// play sends one download every 5 ms for some seconds. The reply function gives the status, note and time in ms of each
// pull; a negative time means that no answer comes before the expiry. play returns how many pulls each node got as
// target and as source.
func (g *harness) play(seconds int, reply func(Pull) (Status, AnswerSource, float64)) (byNode, bySource map[string]int) {
	byNode, bySource = map[string]int{}, map[string]int{}
	run := func(e Event) {
		for _, action := range g.r.Handle(g.now, e) {
			switch action := action.(type) {
			case SetTimer:
				g.alarms = append(g.alarms, action)
			case Probe:
				g.pending = append(g.pending, pendingEvent{g.now + 1, Probed{Node: action.Node}})
			case Pull:
				byNode[action.Node]++
				bySource[action.Source]++
				status, note, took := reply(action)
				if took < 0 || took > action.Timeout {
					status, took = TimedOut, action.Timeout
				}
				g.pending = append(g.pending, pendingEvent{g.now + took, PullEnded{ID: action.ID, Pull: g.pulls[action.ID],
					Status: status, AnswerSource: note, Duration: took, DownloadDone: status == Fulfilled}})
				g.pulls[action.ID]++
			}
		}
	}
	for end := g.now + 1000*float64(seconds); g.now < end; {
		g.now += 5
		for j := 0; j < len(g.alarms); j++ {
			if alarm := g.alarms[j]; alarm.At <= g.now {
				g.alarms = append(g.alarms[:j:j], g.alarms[j+1:]...)
				j--
				run(TimerFired{Token: alarm.Token})
			}
		}
		for j := 0; j < len(g.pending); j++ {
			if due := g.pending[j]; due.at <= g.now {
				g.pending = append(g.pending[:j:j], g.pending[j+1:]...)
				j--
				run(due.event)
			}
		}
		action := videoRequest(fmt.Sprint(g.now))
		action.Object, action.Expiry, action.Size = fmt.Sprint("o", int(g.now/5)%300), g.now+3000, 200
		run(action)
	}
	return byNode, bySource
}
