package router

import "fmt"

func testSettings() Footprint {
	return Footprint{
		"zones": []any{"hub", "club"}, "zone": "club", "kinds": []any{"box", "parent", "origin"},
		"parent kind": 1.0, "origin kind": 2.0, "gateways": 1.0, "gateways by zone": []any{0.0, 1.0},
		"types": []any{"video", "sale"}, "repeat": []any{"retriable", "non-retriable"},
		"target": []any{600.0, 800.0}, "fresh": []any{0.0, 0.0}, "writes": []any{false, true},
		"most pulls": 4.0, "flow": 10_000.0, "weights": "nominal", "notes": "hit", "fall time": 1000.0, "fall multiple": 2.0,
		"cold share": 0.2, "cold time": 10000.0, "parent cold share": 0.1, "parent cold time": 10000.0,
		"parent fall multiple": 2.0, "purge settles": 6000.0, "call off": true, "probes": true, "connect time": 400.0,
	}
}

func testFleet() Listed {
	return Listed{Scope: Restored, Entries: []Entry{
		{Node: "e1", Kind: "box", Zone: "club", Weight: 10}, {Node: "e2", Kind: "box", Zone: "club", Weight: 10},
		{Node: "p1", Kind: "parent", Zone: "hub", Weight: 20}, {Node: "p2", Kind: "parent", Zone: "hub", Weight: 20},
		{Node: "o", Kind: "origin", Zone: "hub", Weight: 5},
	}}
}

// started is a router at time 0 with the list above.
func startedRouter(f Footprint) *Router {
	r := New()
	r.Handle(0, Started{Seed: 7, Footprint: f})
	r.Handle(0, testFleet())
	return r
}

// find returns the actions of one type.
func actionsOf[A any](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

func videoRequest(id string) Arrived {
	return Arrived{ID: id, Type: "video", Object: "match", Expiry: 1e6, Part: 3, Group: 4}
}

type finalAnswer struct {
	at     float64
	action Action
}

// answers hands an event over, then rings every alarm, and returns the final answers.
func runToAnswer(r *Router, now float64, e Event) []finalAnswer {
	var end []finalAnswer
	var bells []Alarm
	for {
		actions := r.Handle(now, e)
		bells = append(bells, actionsOf[Alarm](actions)...)
		for _, a := range actionsOf[Throttle](actions) {
			end = append(end, finalAnswer{now, a})
		}
		for _, a := range actionsOf[Abandon](actions) {
			end = append(end, finalAnswer{now, a})
		}
		if len(bells) == 0 {
			return end
		}
		now, e = max(now, bells[0].At), Rang{Token: bells[0].Token}
		bells = bells[1:]
	}
}

// rig plays videos against a router, one every 5 ms, and carries out what it asks for.
type harness struct {
	r       *Router
	now     float64
	pending []pendingEvent
	alarms  []Alarm
	pulls   map[string]int
}

type pendingEvent struct {
	at    float64
	event Event
}

func newHarness() *harness {
	return &harness{r: startedRouter(testSettings()), pulls: map[string]int{}}
}

// life plays some seconds and answers each pull as how says, after the time it gives; a negative time means never
// before the expiry. It returns how many pulls each node got as target and as source.
func (g *harness) play(seconds int, how func(Pull) (Status, Note, float64)) (at, by map[string]int) {
	at, by = map[string]int{}, map[string]int{}
	run := func(e Event) {
		for _, a := range g.r.Handle(g.now, e) {
			switch a := a.(type) {
			case Alarm:
				g.alarms = append(g.alarms, a)
			case Probe:
				g.pending = append(g.pending, pendingEvent{g.now + 1, Probed{Node: a.Node}})
			case Pull:
				at[a.Node]++
				by[a.Source]++
				status, note, took := how(a)
				if took < 0 || took > a.Timeout {
					status, took = TimedOut, a.Timeout
				}
				g.pending = append(g.pending, pendingEvent{g.now + took, Ended{ID: a.ID, Pull: g.pulls[a.ID], Status: status,
					Note: note, Took: took, Closed: status == Fulfilled}})
				g.pulls[a.ID]++
			}
		}
	}
	for end := g.now + 1000*float64(seconds); g.now < end; {
		g.now += 5
		for j := 0; j < len(g.alarms); j++ {
			if b := g.alarms[j]; b.At <= g.now {
				g.alarms = append(g.alarms[:j:j], g.alarms[j+1:]...)
				j--
				run(Rang{Token: b.Token})
			}
		}
		for j := 0; j < len(g.pending); j++ {
			if o := g.pending[j]; o.at <= g.now {
				g.pending = append(g.pending[:j:j], g.pending[j+1:]...)
				j--
				run(o.event)
			}
		}
		a := videoRequest(fmt.Sprint(g.now))
		a.Object, a.Expiry, a.Size = fmt.Sprint("o", int(g.now/5)%300), g.now+3000, 200
		run(a)
	}
	return at, by
}
