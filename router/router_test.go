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
		t.Fatalf("first landing: %+v, want one pull that keeps nothing", first)
	}
	r.Handle(50, Ended{ID: "a", Status: Fulfilled, Closed: true, Note: FilledBySource})
	if again := actionsOf[Pull](r.Handle(60, videoRequest("b"))); len(again) != 1 || again[0].Rank == 0 {
		t.Errorf("after a fill through the parent: %+v, want the copy kept", again)
	}
}

// One of many gateways at a location asks the parent for what it holds, and a miss is then filled unkept.
func TestAsksParentForHeldCopyWithManyZoneGateways(t *testing.T) {
	f := testSettings()
	f["gateways by zone"] = []any{0.0, 12.0}
	r := startedRouter(f)
	first := actionsOf[Pull](r.Handle(10, videoRequest("a")))
	if len(first) != 1 || first[0].How&OnlyHeld == 0 || first[0].Rank == 0 {
		t.Fatalf("first landing: %+v, want a question whose answer is kept", first)
	}
	then := actionsOf[Pull](r.Handle(20, Ended{ID: "a", Status: Missed}))
	if len(then) != 1 || then[0].How&OnlyHeld != 0 || then[0].Rank != 0 || then[0].Source != first[0].Source {
		t.Errorf("the parent lacks it: %+v, want a fill by it that keeps nothing at the edge", then)
	}
	r.Handle(50, Ended{ID: "a", Pull: 1, Status: Fulfilled, Closed: true, Note: FilledBySource})
	if again := actionsOf[Pull](r.Handle(60, videoRequest("b"))); len(again) != 1 || again[0].How&OnlyHeld != 0 || again[0].Rank == 0 {
		t.Errorf("the table knows it: %+v, want a fill that is kept", again)
	}
}

// A parent that has just started gets no more fills than this gateway's share of its cold budget.
func TestColdParentKeepsItsBudget(t *testing.T) {
	r := startedRouter(testSettings())
	cold := testFleet()
	cold.Entries[2].Booted = 100_000
	cold.Entries[3].Booted = 100_000
	r.Handle(101_000, cold)
	asked := 0
	for i := range 200 {
		if i == 100 { // off the list and back is no new process, and no new budget
			r.Handle(101_600, Listed{Entries: []Entry{{Node: "p1", State: Gone}}})
			r.Handle(101_600, cold)
		}
		a := videoRequest(fmt.Sprint(i))
		a.Object = fmt.Sprint("o", i)
		a.Expiry, a.Size = 110_000, 3000 // at 10 MB/s the 300 ms that are told
		for _, p := range actionsOf[Pull](r.Handle(101_500+float64(i), a)) {
			if p.Source == "p1" {
				asked++
			}
		}
	}
	// Two times what it can give of 20 transfers after 1.5 s of ten, for a second, at 300 ms each.
	if most := 31; asked == 0 || asked > most {
		t.Errorf("%d fills asked of the cold parent, want 1 to %d", asked, most)
	}
}

// With nobody left to take it a download is held, then throttled; offers must not go round for ever.
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
		end := runToAnswer(r, 10, videoRequest("a"))
		if len(end) != 1 || end[0].at > 610 {
			t.Errorf("direct %v: final answers %+v, want one within the target time", direct, end)
		}
	}
}

// With its hashed parent away, what another location's cache holds comes down, where caches may give to others; a miss
// goes on to the next source.
func TestAsksSiblingWithoutParents(t *testing.T) {
	f := testSettings()
	f["siblings"] = "any"
	r := startedRouter(f)
	far := Entry{Node: "x1", Kind: "box", Zone: "other", Weight: 10}
	r.Handle(1, Listed{Entries: []Entry{far, {Node: "p1", Kind: "parent", Zone: "hub", Weight: 20, State: Draining},
		{Node: "p2", Kind: "parent", Zone: "hub", Weight: 20, State: Draining}}})
	p := actionsOf[Pull](r.Handle(10, videoRequest("a")))
	if len(p) != 1 || p[0].Source != "x1" || p[0].How&OnlyHeld == 0 || p[0].Rank == 0 || p[0].Node == "x1" {
		t.Fatalf("no parent left: %+v, want what x1 holds, by way of an edge cache here, kept", p)
	}
	if p = actionsOf[Pull](r.Handle(20, Ended{ID: "a", Status: Missed})); len(p) != 1 || p[0].Source != "o" {
		t.Errorf("x1 lacks it: %+v, want the origin", p)
	}
	far.State = Draining
	r.Handle(30, Listed{Entries: []Entry{far}})
	if p = actionsOf[Pull](r.Handle(40, videoRequest("b"))); len(p) != 1 || p[0].Source != "o" {
		t.Errorf("x1 drains: %+v, want the origin", p)
	}
}

// In a full limiter what brings much benefit for its sending time still finds room; what brings little does not.
func TestLimiterPrefersBenefitPerTransferTime(t *testing.T) {
	f := testSettings()
	f["types"], f["benefit"] = []any{"video", "page"}, []any{2.0, 1.0}
	f["repeat"], f["target"], f["writes"] = []any{"retriable", "retriable"}, []any{600.0, 300.0}, []any{false, false}
	r := startedRouter(f)
	for _, n := range r.sortedNodes {
		n.limiter.inFlight, n.limiter.limit = 5, 6
	}
	went := map[string]int{}
	for i := range 400 {
		for j, typ := range []string{"video", "page"} {
			a := Arrived{ID: fmt.Sprint(typ, i), Type: typ, Object: fmt.Sprint(typ, i), Expiry: 1e6,
				Size: []float64{4000, 400}[j]}
			went[typ] += len(actionsOf[Pull](r.Handle(10, a)))
			for _, n := range r.sortedNodes {
				n.limiter.inFlight = 5
			}
		}
	}
	if went["page"] < 300 || went["video"] > went["page"]/2 {
		t.Errorf("of 400 each %v went, want nearly all pages and few videos", went)
	}
}

// Every pull of a deduped download after one that may have run says until when it is a repeat at all, by the oldest of those; the
// first needs none, nor does one after a proof that nothing ran.
func TestRepeatStaysWithinDedupeWindow(t *testing.T) {
	for _, c := range []struct {
		name string
		ends []Status // of the pulls before, 100 ms apart
		want float64
	}{
		{"the first", nil, 0},
		{"after one that never ran", []Status{NotConnected}, 0},
		{"after one that may have", []Status{Broken}, 900},
		{"after two that may have", []Status{Broken, Failed}, 800},
		{"after one that never ran and one that may have", []Status{NotConnected, Failed}, 900},
	} {
		f := testSettings()
		f["repeat"], f["dedupe group"], f["dedupe window"] = []any{"deduped", "non-retriable"}, []any{"all", "all"}, []any{1000.0, 0.0}
		r := startedRouter(f)
		pulls := actionsOf[Pull](r.Handle(1000, videoRequest("d")))
		for n, status := range c.ends {
			pulls = actionsOf[Pull](r.Handle(1100+100*float64(n), Ended{ID: "d", Pull: n, Status: status}))
		}
		if len(pulls) != 1 || pulls[0].Within != c.want {
			t.Errorf("%s: %+v, want one within %.0f", c.name, pulls, c.want)
		}
	}
}

// How many gateways share a cold cache's budget: those of the location, else all that there are, else one.
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
