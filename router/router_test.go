package router

import (
	"fmt"
	"testing"
)

// A copy is kept at the edge only once the hashed parent is known to hold the object.
func TestLeavesCopyDown(t *testing.T) {
	r := startedRouter(testSettings())
	first := actionsOf[Pull](r.Handle(10, videoRequest("a")))
	if len(first) != 1 || first[0].Rank != 0 {
		t.Fatalf("first request: %+v, want one pull that keeps nothing", first)
	}
	r.Handle(50, PullEnded{ID: "a", Status: Fulfilled, DownloadDone: true, AnswerSource: FilledBySource})
	if again := actionsOf[Pull](r.Handle(60, videoRequest("b"))); len(again) != 1 || again[0].Rank == 0 {
		t.Errorf("after a fill through the parent: %+v, want the copy kept", again)
	}
}

// One of many gateways in a zone asks the parent only for a held copy. After a miss the parent fills it, and the edge
// does not keep the copy.
func TestAsksParentForHeldCopyWithManyZoneGateways(t *testing.T) {
	f := testSettings()
	f["gateways by zone"] = []any{0.0, 12.0}
	r := startedRouter(f)
	first := actionsOf[Pull](r.Handle(10, videoRequest("a")))
	if len(first) != 1 || first[0].Options&HeldOnly == 0 || first[0].Rank == 0 {
		t.Fatalf("first request: %+v, want a pull for held copies only whose answer is kept", first)
	}
	then := actionsOf[Pull](r.Handle(20, PullEnded{ID: "a", Status: Missed}))
	if len(then) != 1 || then[0].Options&HeldOnly != 0 || then[0].Rank != 0 || then[0].Source != first[0].Source {
		t.Errorf("miss at the parent: %+v, want a fill by the parent that keeps nothing at the edge", then)
	}
	r.Handle(50, PullEnded{ID: "a", Pull: 1, Status: Fulfilled, DownloadDone: true, AnswerSource: FilledBySource})
	if again := actionsOf[Pull](r.Handle(60, videoRequest("b"))); len(again) != 1 ||
		again[0].Options&HeldOnly != 0 || again[0].Rank == 0 {
		t.Errorf("the holder table has the object: %+v, want a fill that is kept", again)
	}
}

// A parent that has just started gets no more fills than this gateway's share of its cold budget.
func TestColdParentKeepsItsBudget(t *testing.T) {
	r := startedRouter(testSettings())
	cold := testFleet()
	cold.Entries[2].StartedAt = 100_000
	cold.Entries[3].StartedAt = 100_000
	r.Handle(101_000, cold)
	fills := 0
	for i := range 200 {
		if i == 100 { // leaving the list and returning is no new process and grants no new budget
			r.Handle(101_600, NodesListed{Entries: []Entry{{Node: "p1", State: Gone}}})
			r.Handle(101_600, cold)
		}
		a := videoRequest(fmt.Sprint(i))
		a.Object = fmt.Sprint("o", i)
		a.Expiry, a.Size = 110_000, 3000 // 300 ms at the configured flow of 10 MB/s
		for _, p := range actionsOf[Pull](r.Handle(101_500+float64(i), a)) {
			if p.Source == "p1" {
				fills++
			}
		}
	}
	// Twice the share of its 20 concurrent transfers that is warm 1.5 s into 10 s, for one second, at 300 ms each.
	if maxFills := 31; fills == 0 || fills > maxFills {
		t.Errorf("%d fills requested of the cold parent, want 1 to %d", fills, maxFills)
	}
}

// A download that no node accepts waits and is then throttled; offers must not circulate forever.
func TestNoNodeLeftIsThrottledInTime(t *testing.T) {
	for _, direct := range []bool{false, true} {
		f := testSettings()
		f["direct"] = direct
		r := startedRouter(f)
		l := testFleet()
		for _, i := range []int{0, 1, 4} {
			l.Entries[i].State = Draining
		}
		r.Handle(1, l)
		answers := runToAnswer(r, 10, videoRequest("a"))
		if len(answers) != 1 || answers[0].at > 610 {
			t.Errorf("direct %v: final answers %+v, want one within the target time", direct, answers)
		}
	}
}

// With its hashed parent away, an object is copied from an edge cache of another zone, where the settings allow that; a
// miss goes on to the next source.
func TestAsksSiblingWithoutParents(t *testing.T) {
	f := testSettings()
	f["siblings"] = "any"
	r := startedRouter(f)
	sibling := Entry{Node: "x1", Kind: "box", Zone: "other", Weight: 10}
	r.Handle(1, NodesListed{Entries: []Entry{sibling, {Node: "p1", Kind: "parent", Zone: "hub", Weight: 20, State: Draining},
		{Node: "p2", Kind: "parent", Zone: "hub", Weight: 20, State: Draining}}})
	pulls := actionsOf[Pull](r.Handle(10, videoRequest("a")))
	if len(pulls) != 1 || pulls[0].Source != "x1" || pulls[0].Options&HeldOnly == 0 || pulls[0].Rank == 0 || pulls[0].Node == "x1" {
		t.Fatalf("no parent left: %+v, want the copy that x1 holds, kept at an edge cache of this zone", pulls)
	}
	if pulls = actionsOf[Pull](r.Handle(20, PullEnded{ID: "a", Status: Missed})); len(pulls) != 1 || pulls[0].Source != "o" {
		t.Errorf("miss at x1: %+v, want the origin", pulls)
	}
	sibling.State = Draining
	r.Handle(30, NodesListed{Entries: []Entry{sibling}})
	if pulls = actionsOf[Pull](r.Handle(40, videoRequest("b"))); len(pulls) != 1 || pulls[0].Source != "o" {
		t.Errorf("x1 drains: %+v, want the origin", pulls)
	}
}

// A full limiter still admits types with much benefit for their transfer time, and few pulls of those with little.
func TestLimiterPrefersBenefitPerTransferTime(t *testing.T) {
	f := testSettings()
	f["types"], f["benefit"] = []any{"video", "page"}, []any{2.0, 1.0}
	f["repeat"], f["target"], f["writes"] = []any{"retriable", "retriable"}, []any{600.0, 300.0}, []any{false, false}
	r := startedRouter(f)
	for _, n := range r.sortedNodes {
		n.limiter.inFlight, n.limiter.limit = 5, 6
	}
	sentPulls := map[string]int{}
	for i := range 400 {
		for j, typ := range []string{"video", "page"} {
			a := DownloadArrived{ID: fmt.Sprint(typ, i), Type: typ, Object: fmt.Sprint(typ, i), Expiry: 1e6,
				Size: []float64{4000, 400}[j]}
			sentPulls[typ] += len(actionsOf[Pull](r.Handle(10, a)))
			for _, n := range r.sortedNodes {
				n.limiter.inFlight = 5
			}
		}
	}
	if sentPulls["page"] < 300 || sentPulls["video"] > sentPulls["page"]/2 {
		t.Errorf("of 400 each %v were sent, want nearly all pages and few videos", sentPulls)
	}
}

// A pull of a deduped download that follows one that may have run must be sent within the dedupe window of the oldest
// such pull. The first pull has no such bound, nor has one that follows only pulls that cannot have run.
func TestRepeatStaysWithinDedupeWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier []Status // of the pulls before, 100 ms apart
		want    float64
	}{
		{"the first", nil, 0},
		{"after one that never ran", []Status{NotConnected}, 0},
		{"after one that may have", []Status{Broken}, 900},
		{"after two that may have", []Status{Broken, Failed}, 800},
		{"after one that never ran and one that may have", []Status{NotConnected, Failed}, 900},
	} {
		f := testSettings()
		f["repeat"], f["dedupe group"], f["dedupe window"] = []any{"deduped", "non-retriable"},
			[]any{"all", "all"}, []any{1000.0, 0.0}
		r := startedRouter(f)
		pulls := actionsOf[Pull](r.Handle(1000, videoRequest("d")))
		for n, status := range c.earlier {
			pulls = actionsOf[Pull](r.Handle(1100+100*float64(n), PullEnded{ID: "d", Pull: n, Status: status}))
		}
		if len(pulls) != 1 || pulls[0].SendWithin != c.want {
			t.Errorf("%s: %+v, want one pull within %.0f", c.name, pulls, c.want)
		}
	}
}

// A cold cache's budget is shared by the gateways of its zone, else by all gateways, else it is for one.
func TestZoneGatewayCount(t *testing.T) {
	for _, c := range []struct {
		zones any
		all   float64
		want  float64
	}{{[]any{0.0, 7.0}, 20, 7}, {nil, 20, 20}, {[]any{0.0, 0.0}, 20, 20}, {nil, 0, 1}} {
		f := testSettings()
		f["gateways by zone"], f["gateways"] = c.zones, c.all
		if r := startedRouter(f); r.zoneGateways != c.want {
			t.Errorf("%v of %v: %v, want %v", c.zones, c.all, r.zoneGateways, c.want)
		}
	}
}
