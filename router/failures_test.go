package router

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

func healthyReply(Pull) (Status, Note, float64) { return Fulfilled, FilledBySource, 30 }

// Each trouble starts after two good seconds and goes on for a while; the counts are of its last two.
func TestNodeFailures(t *testing.T) {
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
			return healthyReply(p)
		}, func(at, by map[string]int) bool { return at["e1"] > at["e2"]/3 || by["p1"] == 0 || by["p2"] == 0 }},
		{"a parent that errs behind healthy edges", 8, func(p Pull) (Status, Note, float64) {
			if p.Source == "p1" {
				return Failed, NotTold, 1
			}
			return healthyReply(p)
		}, func(at, by map[string]int) bool { return by["p1"] > by["p2"]/3 || at["e1"] < at["e2"]/3 }},
		{"a parent that hangs", 1, func(p Pull) (Status, Note, float64) {
			if p.Source == "p1" {
				return TimedOut, NotTold, -1
			}
			return healthyReply(p)
		}, func(_, by map[string]int) bool { return by["p1"] > by["p2"]/3 }},
		{"an edge cache that is slow", 8, func(p Pull) (Status, Note, float64) {
			if p.Node == "e1" {
				return Fulfilled, Held, 400
			}
			return healthyReply(p)
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
		g := newHarness()
		g.play(2, healthyReply)
		g.play(c.lead, c.how)
		if at, by := g.play(2, c.how); c.bad(at, by) {
			t.Errorf("%s: pulls to %v, filled by %v", c.name, at, by)
		}
		g.play(8, healthyReply)
		if at, by := g.play(4, healthyReply); at["e1"] == 0 || at["e2"] == 0 || by["p1"] == 0 || by["p2"] == 0 {
			t.Errorf("%s: not all are back: pulls to %v, filled by %v", c.name, at, by)
		}
	}
}

// few plays downloads one every 150 ms, a few a second as gateways of a large fleet have them.
func (g *harness) playSparse(seconds int, how func(Pull) (Status, Note, float64)) (throttled int, by map[string]int) {
	by = map[string]int{}
	for i := range seconds * 1000 / 150 {
		a := videoRequest(fmt.Sprint("few ", g.now))
		a.Object, a.Expiry, a.Size = fmt.Sprint("f", i%40), g.now+3000, 200
		for e, next := Event(a), g.now+150; ; {
			for _, act := range g.r.Handle(g.now, e) {
				switch act := act.(type) {
				case Alarm:
					g.alarms = append(g.alarms, act)
				case Throttle:
					throttled++
				case Probe:
					g.pending = append(g.pending, pendingEvent{g.now + 400, Probed{Node: act.Node, Status: NotConnected}})
				case Pull:
					by[act.Source]++
					status, note, took := how(act)
					g.pending = append(g.pending, pendingEvent{g.now + took, Ended{ID: act.ID, Pull: g.pulls[act.ID], Status: status,
						Note: note, Took: took, Closed: status == Fulfilled}})
					g.pulls[act.ID]++
				}
			}
			slices.SortStableFunc(g.pending, func(a, b pendingEvent) int { return cmp.Compare(a.at, b.at) })
			slices.SortStableFunc(g.alarms, func(a, b Alarm) int { return cmp.Compare(a.At, b.At) })
			if len(g.pending) > 0 && g.pending[0].at <= next && (len(g.alarms) == 0 || g.pending[0].at <= g.alarms[0].At) {
				g.now, e, g.pending = max(g.now, g.pending[0].at), g.pending[0].event, g.pending[1:]
			} else if len(g.alarms) > 0 && g.alarms[0].At <= next {
				g.now, e, g.alarms = max(g.now, g.alarms[0].At), Rang{Token: g.alarms[0].Token}, g.alarms[1:]
			} else {
				g.now = next
				break
			}
		}
	}
	return throttled, by
}

// A parent that can't be reached is told by the edge cache as full, after the time that a connection may take. With few
// downloads a second it is set aside after two of these, and the limiter of all fills is not cut for it: the others
// answer. Before, such fills shut out those by healthy parents.
func TestUnreachableSource(t *testing.T) {
	g := newHarness()
	g.playSparse(4, healthyReply)
	throttled, by := g.playSparse(6, func(p Pull) (Status, Note, float64) {
		if p.Source == "p1" {
			return TurnedAway, NotTold, 401
		}
		return healthyReply(p)
	})
	fills, _ := g.r.Limiters()
	if throttled > 0 || by["p1"] > 4 || by["p2"] < 30 || fills.Most < 1e8 {
		t.Errorf("%d throttled, fills by %v, limiter of fills at most %.1f", throttled, by, fills.Most)
	}
	// What is turned away at once is a matter of places, and cuts the limiter as before.
	g = newHarness()
	g.playSparse(4, healthyReply)
	g.playSparse(6, func(p Pull) (Status, Note, float64) { return TurnedAway, NotTold, 5 })
	if fills, _ := g.r.Limiters(); fills.Most > 10 {
		t.Errorf("fills are turned away at once, and their limiter is at most %.1f", fills.Most)
	}
}

// Once a cut limiter is calm, as many answers in time as it is judged by double it, where these are few: with a tenth of a
// pull for each it stayed shut for ten seconds after a trouble. While answers are late, or many, it grows as before.
func TestCalmLimiterGrows(t *testing.T) {
	for _, c := range []struct {
		name        string
		every       float64 // ms between answers
		late        int     // one in so many; 0: none
		least, most float64
	}{{"few answers", 400, 0, 1.2, 3}, {"few, one in five late", 400, 5, 0.3, 0.9}, {"many answers", 20, 0, 8, 16}} {
		r, l := startedRouter(testSettings()), newLimiter()
		r.zoneGateways, l.limit, l.lastCut, l.inFlight = 30, 0.4, 1e9, 100
		for i := 1; r.now < 2000; i++ {
			r.now += c.every
			l.recordAnswer(r, c.late > 0 && i%c.late == 1)
		}
		if l.limit < c.least || l.limit > c.most {
			t.Errorf("%s: from 0.4 to %.1f within 2 s", c.name, l.limit)
		}
	}
}

// What a list no longer names is gone, and what a stale one brings back is used again.
func TestWholeListReplacesNodes(t *testing.T) {
	g := newHarness()
	l := testFleet()
	l.Scope, l.Entries = Whole, l.Entries[1:]
	g.r.Handle(0, l)
	if at, _ := g.play(1, healthyReply); at["e1"] > 0 || at["e2"] == 0 {
		t.Errorf("e1 left the list: pulls to %v", at)
	}
	g.r.Handle(g.now, testFleet())
	if at, _ := g.play(1, healthyReply); at["e1"] == 0 {
		t.Errorf("e1 is back: pulls to %v", at)
	}
}

// Thousands held at once, then a clock that jumps: all get their answer, none late by this router's doing.
func TestClockJumpAnswersWaitingDownloads(t *testing.T) {
	r := startedRouter(testSettings())
	gone := testFleet()
	for i := range gone.Entries {
		gone.Entries[i].State = Draining
	}
	r.Handle(1, gone)
	bells := map[int64]bool{}
	for i := range 5000 {
		a := videoRequest(fmt.Sprint(i))
		a.Expiry = 3000
		for _, b := range actionsOf[Alarm](r.Handle(2, a)) {
			bells[b.Token] = true
		}
	}
	done := 0
	for token := range bells {
		done += len(actionsOf[Throttle](r.Handle(2900, Rang{Token: token})))
	}
	if done != 5000 || len(r.downloads) != 0 {
		t.Errorf("%d of 5000 answered, %d still held", done, len(r.downloads))
	}
}

// Old copies are served while no source is left, where the type allows them; never past a purge.
func TestServesStaleCopiesWithoutSource(t *testing.T) {
	f := testSettings()
	f["fresh"], f["grace"] = []any{1000.0, 0.0}, []any{500.0, 0.0}
	r := startedRouter(f)
	l := testFleet()
	for i := range l.Entries[2:] {
		l.Entries[2+i].State = Draining
	}
	r.Handle(1, l)
	if p := actionsOf[Pull](r.Handle(10, videoRequest("a"))); len(p) != 1 || p[0].Source != p[0].Node || p[0].MaxAge != 1500 {
		t.Errorf("no source left: %+v, want a look for copies up to 1500 ms old", p)
	}
	r.Handle(20, Purged{Object: "match", Group: 4, Age: 8})
	if p := actionsOf[Pull](r.Handle(30, videoRequest("b"))); len(p) != 1 || p[0].MaxAge <= 0 || p[0].MaxAge > 18 {
		t.Errorf("after a purge: %+v, want copies younger than it", p)
	}
}

// A list that names nobody, and settings that make no sense, leave every download with its one answer.
func TestInvalidSettingsEndInTime(t *testing.T) {
	f := testSettings()
	f["benefit"], f["gateways by zone"], f["gateways"], f["fall time"] = []any{-3.0}, []any{"many"}, -1.0, 0.0
	for _, l := range []Listed{{Scope: Whole}, {Entries: []Entry{{Node: "e1", Kind: "odd", Weight: -5, Booted: 1e12}}}} {
		r := startedRouter(f)
		r.Handle(1, l)
		r.Handle(2, Ended{ID: "nobody", Pull: 9, Note: 99})
		a := videoRequest("a")
		a.Expiry = 3000
		end := runToAnswer(r, 10, a)
		end = append(end, runToAnswer(r, 2999, Ended{ID: "a", Status: Failed, Note: 99, Load: map[string]float64{"held": -1e300}})...)
		if len(end) != 1 {
			t.Errorf("%+v: answers %+v, want one", l, end)
		}
	}
}

// A channel may tell the purge of an object without its group: that object's entry goes, and no other's of any group.
func TestPurgeWithoutGroup(t *testing.T) {
	r := startedRouter(testSettings())
	get := func(now float64, object string) Pull {
		a := videoRequest(fmt.Sprint(object, now))
		a.Object, a.Group = object, int64(len(object))-4
		p := actionsOf[Pull](r.Handle(now, a))
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

// known answers downloads of an object as held at the edge, so that its time is known, and then asks for it again.
func downloadWithKnownHitTime(g *harness, f Footprint) (Pull, []Alarm) {
	g.r = startedRouter(f)
	for i := range 20 {
		a := videoRequest(fmt.Sprint("first", i))
		for _, p := range actionsOf[Pull](g.r.Handle(float64(10*i), a)) {
			note := Held
			if i < 5 {
				note = FilledBySource
			}
			g.r.Handle(float64(10*i+5), Ended{ID: p.ID, Status: Fulfilled, Note: note, Took: 40, Closed: true})
		}
	}
	again := videoRequest("again")
	actions := g.r.Handle(1000, again)
	return actionsOf[Pull](actions)[0], actionsOf[Alarm](actions)
}

// A pull that takes much longer than its object did before gets one second copy elsewhere, where that is allowed; the
// first answer is the one, and a hung node is the worse for being overtaken.
func TestSecondCopy(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		f := testSettings()
		f["second copies"] = allowed
		g := newHarness()
		first, bells := downloadWithKnownHitTime(g, f)
		var second []Pull
		for _, b := range bells {
			if b.At <= 1000+600+1.5*40 {
				second = append(second, actionsOf[Pull](g.r.Handle(b.At, Rang{Token: b.Token}))...)
			}
		}
		if len(second) > 1 || (len(second) == 1) != allowed || allowed && second[0].Node == first.Node {
			t.Fatalf("allowed %v: %d second copies: %+v", allowed, len(second), second)
		}
		if !allowed {
			continue
		}
		actions := g.r.Handle(1700, Ended{ID: "again", Pull: 1, Status: Fulfilled, Note: Held, Took: 40, Closed: true})
		if off := actionsOf[CallOff](actions); len(off) != 1 || off[0].Pull != 0 {
			t.Errorf("called off: %+v", off)
		}
		g.r.Handle(1701, Ended{ID: "again", Pull: 0, Status: CalledOff, Took: 700, Closed: true})
		if n := g.r.nodes[first.Node]; n.failures.Sum(1701) == 0 || n.limiter.inFlight != 0 || len(g.r.downloads) != 0 {
			t.Errorf("the node overtaken: %.1f bad, %d out", n.failures.Sum(1701), n.limiter.inFlight)
		}
		// One that has no room for its second copy waits on for its first.
		g.r.Handle(2000, Listed{Entries: []Entry{{Node: second[0].Node, Kind: "box", Zone: "club", Weight: 10, State: Draining}}})
		for _, b := range actionsOf[Alarm](g.r.Handle(2000, videoRequest("alone"))) {
			if got := g.r.Handle(b.At, Rang{Token: b.Token}); len(actionsOf[Throttle](got))+len(actionsOf[Abandon](got)) > 0 {
				t.Errorf("given up while its pull is out: %+v", got)
			}
		}
	}
}

// What no cache knows is answered with errors by all: they are none the worse for it, whoever asks on.
func TestErrorsOfUnknownObjectsBlameNoNode(t *testing.T) {
	g := newHarness()
	g.play(1, healthyReply)
	for i := range 200 {
		a := videoRequest(fmt.Sprint("bad", i))
		a.Object = fmt.Sprint("made up", i)
		g.now += 2
		for pulls, n := actionsOf[Pull](g.r.Handle(g.now, a)), 0; len(pulls) > 0; n++ {
			pulls = actionsOf[Pull](g.r.Handle(g.now, Ended{ID: a.ID, Pull: n, Status: Failed, Took: 1}))
		}
	}
	for _, n := range g.r.sortedNodes {
		if n.health != healthy || n.failures.Sum(g.now) > 0 {
			t.Errorf("%s: %.1f bad of %.1f, standing %d", n.id, n.failures.Sum(g.now), n.failures.Sum(g.now)+n.successes.Sum(g.now), n.health)
		}
	}
}

// A pull that was never sent says nothing of any node.
func TestNeverSentBlamesNoNode(t *testing.T) {
	g := newHarness()
	for i := range 100 {
		a := videoRequest(fmt.Sprint(i))
		for pulls, n := actionsOf[Pull](g.r.Handle(float64(i), a)), 0; len(pulls) > 0; n++ {
			pulls = actionsOf[Pull](g.r.Handle(float64(i), Ended{ID: a.ID, Pull: n, Status: NeverSent}))
		}
	}
	for _, n := range g.r.sortedNodes {
		if n.failures.Sum(100) != 0 || n.limiter.inFlight != 0 {
			t.Errorf("%s: %.1f bad, %d out", n.id, n.failures.Sum(100), n.limiter.inFlight)
		}
	}
	if r := g.r; r.fillLimiter.failures.Sum(100) != 0 || r.fillLimiter.inFlight != 0 {
		t.Errorf("fills: %.0f failed, %d out", r.fillLimiter.failures.Sum(100), r.fillLimiter.inFlight)
	}
}

// All day new nodes come and go, and new objects are asked for once: the tables give back what nobody names any more.
// A node at a gone one's place starts from nothing.
func TestTablesForgetOldNodesAndObjects(t *testing.T) {
	r := startedRouter(testSettings())
	now := 0.0
	for i := range 3000 {
		now += 100
		if i%10 == 0 {
			fresh := Entry{Node: fmt.Sprint("n", i), Kind: "box", Zone: "club", Weight: 10, Booted: now}
			gone := Entry{Node: fmt.Sprint("n", i-10), State: Gone}
			r.Handle(now, Listed{Entries: []Entry{fresh, gone}})
			if n := r.nodes[fresh.Node]; n.failures.Sum(now)+n.successes.Sum(now)+n.coldSpent.Sum(now) != 0 || n.limiter.inFlight != 0 {
				t.Fatalf("%s starts with %v", n.id, n)
			}
		}
		a := videoRequest(fmt.Sprint(i))
		a.Object, a.Expiry = fmt.Sprint("once", i), now+1000
		pulls := actionsOf[Pull](r.Handle(now, a))
		if len(pulls) != 1 {
			t.Fatalf("%d pulls", len(pulls))
		}
		for n, p := range pulls {
			for token := range r.timers {
				r.Handle(now, Rang{Token: token})
			}
			r.Handle(now+50, Ended{ID: p.ID, Pull: n, Status: Fulfilled, Note: FilledBySource, Took: 50, Closed: true})
		}
	}
	if len(r.nodes) > 30 || len(r.sortedNodes) != len(r.nodes) || len(r.holders.entries) > 700 || len(r.holders.order) != len(r.holders.entries) {
		t.Errorf("%d and %d nodes, %d and %d objects are remembered", len(r.nodes), len(r.sortedNodes), len(r.holders.entries), len(r.holders.order))
	}
	if len(r.downloads)+len(r.timers) != 0 {
		t.Errorf("%d downloads and %d alarms are left over", len(r.downloads), len(r.timers))
	}
	for _, e := range r.holders.entries {
		if e.fillInFlight != nil {
			t.Fatal("a table entry holds on to a download that has ended")
		}
	}
}

// While fills are late, what a client has left goes on, so that it is there when asked for again; in calm it is
// called off, as is a write at any time.
func TestAbandonedFillContinuesUnderLoad(t *testing.T) {
	for _, c := range []struct {
		took float64
		typ  string
		off  int
	}{{30, "video", 1}, {2000, "video", 0}, {2000, "sale", 1}} {
		g := newHarness()
		g.play(4, func(p Pull) (Status, Note, float64) { return Fulfilled, FilledBySource, c.took })
		a := videoRequest("left")
		a.Type, a.Object, a.Expiry = c.typ, "new", g.now+3000
		if pulls := actionsOf[Pull](g.r.Handle(g.now, a)); len(pulls) != 1 {
			t.Fatalf("%d pulls", len(pulls))
		}
		if off := actionsOf[CallOff](g.r.Handle(g.now+50, Left{ID: "left"})); len(off) != c.off {
			t.Errorf("%s, fills take %.0f ms: %d called off", c.typ, c.took, len(off))
		}
		g.r.Handle(g.now+100, Ended{ID: "left", Status: Fulfilled, Note: FilledByOrigin, Took: 100, Closed: true})
		if g.r.downloads["left"] != nil {
			t.Error("it is never forgotten")
		}
	}
}

// A gateway that starts amid a release gives cold nodes more with each moment, and in its first window never more than
// what its former life, which may have spent its part up to the start, left of the budget when that was spread evenly.
func TestColdBudgetAfterGatewayRestart(t *testing.T) {
	for _, after := range []float64{50, 250, 500, 900} {
		r, born := New(), 100_000.0
		r.Handle(born, Started{Seed: 7, Footprint: testSettings()})
		cold := testFleet()
		for i := range cold.Entries[:2] {
			cold.Entries[i].Booted = born - 5000
		}
		r.Handle(born, cold)
		asked := map[string]float64{}
		for i := range 400 {
			a := videoRequest(fmt.Sprint(i))
			a.Object, a.Size, a.Expiry = fmt.Sprint("o", i), 1000, born+1e5
			for _, p := range actionsOf[Pull](r.Handle(born+after, a)) {
				asked[p.Node] += 100 // ms at 10,000 KB a second
			}
		}
		for _, id := range []string{"e1", "e2"} {
			n := r.nodes[id]
			part := 0.8 * 2 * n.warmShare(r) * 10 * 1000 * after / 1000
			if asked[id] > part || after >= 250 && asked[id] < part/2 {
				t.Errorf("%s, %.0f ms after the start: asked for %.0f ms of work, its part by then is %.0f", id, after, asked[id], part)
			}
		}
	}
}
