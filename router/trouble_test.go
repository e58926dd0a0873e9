package router

import (
	"fmt"
	"testing"
)

func well(Pull) (Status, Note, float64) { return Fulfilled, FilledBySource, 30 }

// Each trouble starts after two good seconds and goes on for a while; the counts are of its last two.
func TestTroubles(t *testing.T) {
	for _, c := range []struct {
		name string
		lead int // bad seconds before the two that are judged
		how  func(Pull) (Status, Note, float64)
		bad  func(at, by map[string]int) bool
	}{
		{"an edge cache that errs, probes well", 8, func(p Pull) (Status, Note, float64) {
			if p.Node == "e1" {
				return Failed, NotTold, 1
			}
			return well(p)
		}, func(at, by map[string]int) bool { return at["e1"] > at["e2"]/3 || by["p1"] == 0 || by["p2"] == 0 }},
		{"a parent that errs behind healthy edges", 8, func(p Pull) (Status, Note, float64) {
			if p.Source == "p1" {
				return Failed, NotTold, 1
			}
			return well(p)
		}, func(at, by map[string]int) bool { return by["p1"] > by["p2"]/3 || at["e1"] < at["e2"]/3 }},
		{"a parent that hangs", 1, func(p Pull) (Status, Note, float64) {
			if p.Source == "p1" {
				return TimedOut, NotTold, -1
			}
			return well(p)
		}, func(_, by map[string]int) bool { return by["p1"] > by["p2"]/3 }},
		{"an edge cache that is slow", 8, func(p Pull) (Status, Note, float64) {
			if p.Node == "e1" {
				return Fulfilled, Held, 400
			}
			return well(p)
		}, func(at, _ map[string]int) bool { return at["e1"] > at["e2"] }},
		{"all failing alike", 8, func(Pull) (Status, Note, float64) { return Failed, NotTold, 1 },
			func(at, by map[string]int) bool { return at["e1"]+at["e2"] == 0 || at["e1"]+at["e2"] > 4*400 }},
		{"a full link", 8, func(p Pull) (Status, Note, float64) {
			if p.Source == p.Node {
				return Missed, NotTold, 1
			}
			return Fulfilled, FilledBySource, 2000
		}, func(_, by map[string]int) bool { return by["p1"]+by["p2"]+by["o"] > 100 || by["e1"] == 0 }},
	} {
		g := newRig()
		g.life(2, well)
		g.life(c.lead, c.how)
		if at, by := g.life(2, c.how); c.bad(at, by) {
			t.Errorf("%s: pulls to %v, filled by %v", c.name, at, by)
		}
		g.life(8, well)
		if at, by := g.life(4, well); at["e1"] == 0 || at["e2"] == 0 || by["p1"] == 0 || by["p2"] == 0 {
			t.Errorf("%s: not all are back: pulls to %v, filled by %v", c.name, at, by)
		}
	}
}

// What a list no longer names is gone, and what a stale one brings back is used again.
func TestListInFull(t *testing.T) {
	g := newRig()
	l := fleet()
	l.Scope, l.Entries = Whole, l.Entries[1:]
	g.r.Handle(0, l)
	if at, _ := g.life(1, well); at["e1"] > 0 || at["e2"] == 0 {
		t.Errorf("e1 left the list: pulls to %v", at)
	}
	g.r.Handle(g.now, fleet())
	if at, _ := g.life(1, well); at["e1"] == 0 {
		t.Errorf("e1 is back: pulls to %v", at)
	}
}

// Thousands held at once, then a clock that jumps: all get their answer, none late by this router's doing.
func TestHeldThroughAJump(t *testing.T) {
	r := started(foot())
	gone := fleet()
	for i := range gone.Entries {
		gone.Entries[i].State = Draining
	}
	r.Handle(1, gone)
	bells := map[int64]bool{}
	for i := range 5000 {
		a := video(fmt.Sprint(i))
		a.Expiry = 3000
		for _, b := range find[Alarm](r.Handle(2, a)) {
			bells[b.Token] = true
		}
	}
	done := 0
	for token := range bells {
		done += len(find[Throttle](r.Handle(2900, Rang{Token: token})))
	}
	if done != 5000 || len(r.dls) != 0 {
		t.Errorf("%d of 5000 answered, %d still held", done, len(r.dls))
	}
}

// Old copies are served while no source is left, where the type allows them; never past a purge.
func TestLooksForOldCopies(t *testing.T) {
	f := foot()
	f["fresh"], f["grace"] = []any{1000.0, 0.0}, []any{500.0, 0.0}
	r := started(f)
	l := fleet()
	for i := range l.Entries[2:] {
		l.Entries[2+i].State = Draining
	}
	r.Handle(1, l)
	if p := find[Pull](r.Handle(10, video("a"))); len(p) != 1 || p[0].Source != p[0].Node || p[0].MaxAge != 1500 {
		t.Errorf("no source left: %+v, want a look for copies up to 1500 ms old", p)
	}
	r.Handle(20, Purged{Object: "match", Group: 4, Age: 8})
	if p := find[Pull](r.Handle(30, video("b"))); len(p) != 1 || p[0].MaxAge <= 0 || p[0].MaxAge > 18 {
		t.Errorf("after a purge: %+v, want copies younger than it", p)
	}
}

// A list that names nobody, and settings that make no sense, leave every download with its one answer.
func TestNonsenseEndsInTime(t *testing.T) {
	f := foot()
	f["benefit"], f["gateways by zone"], f["gateways"], f["fall time"] = []any{-3.0}, []any{"many"}, -1.0, 0.0
	for _, l := range []Listed{{Scope: Whole}, {Entries: []Entry{{Node: "e1", Kind: "odd", Weight: -5, Booted: 1e12}}}} {
		r := started(f)
		r.Handle(1, l)
		r.Handle(2, Ended{ID: "nobody", Pull: 9, Note: 99})
		a := video("a")
		a.Expiry = 3000
		end := answers(r, 10, a)
		end = append(end, answers(r, 2999, Ended{ID: "a", Status: Failed, Note: 99, Load: map[string]float64{"held": -1e300}})...)
		if len(end) != 1 {
			t.Errorf("%+v: answers %+v, want one", l, end)
		}
	}
}

// A channel may tell the purge of an object without its group: that object's entry goes, and no other's of any group.
func TestPurgeWithoutGroup(t *testing.T) {
	r := started(foot())
	get := func(now float64, object string) Pull {
		a := video(fmt.Sprint(object, now))
		a.Object, a.Group = object, int64(len(object))-4
		p := find[Pull](r.Handle(now, a))
		if len(p) != 1 {
			t.Fatalf("%s: %+v", object, p)
		}
		r.Handle(now+1, Ended{ID: a.ID, Status: Fulfilled, Closed: true, Note: FilledBySource})
		return p[0]
	}
	get(10, "match")
	get(20, "goal")
	r.Handle(30, Purged{Object: "match", Age: 5})
	if p := get(40, "match"); p.Rank != 0 || p.MaxAge <= 0 {
		t.Errorf("purged: %+v, want no copy kept and none from before", p)
	}
	if p := get(50, "goal"); p.Rank == 0 || p.MaxAge != 0 {
		t.Errorf("not purged: %+v, want a copy kept", p)
	}
}
