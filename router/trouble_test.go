package router

import (
	"cmp"
	"fmt"
	"slices"
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

// few plays downloads one every 150 ms, a few a second as gateways of a large fleet have them.
func (g *rig) few(seconds int, how func(Pull) (Status, Note, float64)) (throttled int, by map[string]int) {
	by = map[string]int{}
	for i := range seconds * 1000 / 150 {
		a := video(fmt.Sprint("few ", g.now))
		a.Object, a.Expiry, a.Size = fmt.Sprint("f", i%40), g.now+3000, 200
		for e, next := Event(a), g.now+150; ; {
			for _, act := range g.r.Handle(g.now, e) {
				switch act := act.(type) {
				case Alarm:
					g.bells = append(g.bells, act)
				case Throttle:
					throttled++
				case Probe:
					g.out = append(g.out, reply{g.now + 400, Probed{Node: act.Node, Status: NotConnected}})
				case Pull:
					by[act.Source]++
					status, note, took := how(act)
					g.out = append(g.out, reply{g.now + took, Ended{ID: act.ID, Pull: g.pulls[act.ID], Status: status,
						Note: note, Took: took, Closed: status == Fulfilled}})
					g.pulls[act.ID]++
				}
			}
			slices.SortStableFunc(g.out, func(a, b reply) int { return cmp.Compare(a.due, b.due) })
			slices.SortStableFunc(g.bells, func(a, b Alarm) int { return cmp.Compare(a.At, b.At) })
			if len(g.out) > 0 && g.out[0].due <= next && (len(g.bells) == 0 || g.out[0].due <= g.bells[0].At) {
				g.now, e, g.out = max(g.now, g.out[0].due), g.out[0].event, g.out[1:]
			} else if len(g.bells) > 0 && g.bells[0].At <= next {
				g.now, e, g.bells = max(g.now, g.bells[0].At), Rang{Token: g.bells[0].Token}, g.bells[1:]
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
func TestSourceOutOfReach(t *testing.T) {
	g := newRig()
	g.few(4, well)
	throttled, by := g.few(6, func(p Pull) (Status, Note, float64) {
		if p.Source == "p1" {
			return TurnedAway, NotTold, 401
		}
		return well(p)
	})
	fills, _ := g.r.Limiters()
	if throttled > 0 || by["p1"] > 4 || by["p2"] < 30 || fills.Most < 1e8 {
		t.Errorf("%d throttled, fills by %v, limiter of fills at most %.1f", throttled, by, fills.Most)
	}
	// What is turned away at once is a matter of places, and cuts the limiter as before.
	g = newRig()
	g.few(4, well)
	g.few(6, func(p Pull) (Status, Note, float64) { return TurnedAway, NotTold, 5 })
	if fills, _ := g.r.Limiters(); fills.Most > 10 {
		t.Errorf("fills are turned away at once, and their limiter is at most %.1f", fills.Most)
	}
}

// Once a cut limiter is calm, as many answers in time as it is judged by double it, where these are few: with a tenth of a
// pull for each it stayed shut for ten seconds after a trouble. While answers are late, or many, it grows as before.
func TestCalmLimiterOpens(t *testing.T) {
	for _, c := range []struct {
		name        string
		every       float64 // ms between answers
		late        int     // one in so many; 0: none
		least, most float64
	}{{"few answers", 400, 0, 1.2, 3}, {"few, one in five late", 400, 5, 0.3, 0.9}, {"many answers", 20, 0, 8, 16}} {
		r, l := started(foot()), newLimiter()
		r.peers, l.most, l.cut, l.out = 30, 0.4, 1e9, 100
		for i := 1; r.now < 2000; i++ {
			r.now += c.every
			l.judge(r, c.late > 0 && i%c.late == 1)
		}
		if l.most < c.least || l.most > c.most {
			t.Errorf("%s: from 0.4 to %.1f within 2 s", c.name, l.most)
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

// known answers downloads of an object as held at the edge, so that its time is known, and then asks for it again.
func known(g *rig, f Footprint) (Pull, []Alarm) {
	g.r = started(f)
	for i := range 20 {
		a := video(fmt.Sprint("first", i))
		for _, p := range find[Pull](g.r.Handle(float64(10*i), a)) {
			note := Held
			if i < 5 {
				note = FilledBySource
			}
			g.r.Handle(float64(10*i+5), Ended{ID: p.ID, Status: Fulfilled, Note: note, Took: 40, Closed: true})
		}
	}
	again := video("again")
	actions := g.r.Handle(1000, again)
	return find[Pull](actions)[0], find[Alarm](actions)
}

// A pull that takes much longer than its object did before gets one second copy elsewhere, where that is allowed; the
// first answer is the one, and a hung node is the worse for being overtaken.
func TestSecondCopy(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		f := foot()
		f["second copies"] = allowed
		g := newRig()
		first, bells := known(g, f)
		var second []Pull
		for _, b := range bells {
			if b.At <= 1000+600+1.5*40 {
				second = append(second, find[Pull](g.r.Handle(b.At, Rang{Token: b.Token}))...)
			}
		}
		if len(second) > 1 || (len(second) == 1) != allowed || allowed && second[0].Node == first.Node {
			t.Fatalf("allowed %v: %d second copies: %+v", allowed, len(second), second)
		}
		if !allowed {
			continue
		}
		actions := g.r.Handle(1700, Ended{ID: "again", Pull: 1, Status: Fulfilled, Note: Held, Took: 40, Closed: true})
		if off := find[CallOff](actions); len(off) != 1 || off[0].Pull != 0 {
			t.Errorf("called off: %+v", off)
		}
		g.r.Handle(1701, Ended{ID: "again", Pull: 0, Status: CalledOff, Took: 700, Closed: true})
		if n := g.r.nodes[first.Node]; n.bad.Sum(1701) == 0 || n.asked.out != 0 || len(g.r.dls) != 0 {
			t.Errorf("the node overtaken: %.1f bad, %d out", n.bad.Sum(1701), n.asked.out)
		}
		// One that has no room for its second copy waits on for its first.
		g.r.Handle(2000, Listed{Entries: []Entry{{Node: second[0].Node, Kind: "box", Zone: "club", Weight: 10, State: Draining}}})
		for _, b := range find[Alarm](g.r.Handle(2000, video("alone"))) {
			if got := g.r.Handle(b.At, Rang{Token: b.Token}); len(find[Throttle](got))+len(find[Abandon](got)) > 0 {
				t.Errorf("given up while its pull is out: %+v", got)
			}
		}
	}
}

// What no cache knows is answered with errors by all: they are none the worse for it, whoever asks on.
func TestBadObjects(t *testing.T) {
	g := newRig()
	g.life(1, well)
	for i := range 200 {
		a := video(fmt.Sprint("bad", i))
		a.Object = fmt.Sprint("made up", i)
		g.now += 2
		for pulls, n := find[Pull](g.r.Handle(g.now, a)), 0; len(pulls) > 0; n++ {
			pulls = find[Pull](g.r.Handle(g.now, Ended{ID: a.ID, Pull: n, Status: Failed, Took: 1}))
		}
	}
	for _, n := range g.r.all {
		if n.standing != trusted || n.bad.Sum(g.now) > 0 {
			t.Errorf("%s: %.1f bad of %.1f, standing %d", n.id, n.bad.Sum(g.now), n.bad.Sum(g.now)+n.good.Sum(g.now), n.standing)
		}
	}
}

// A pull that was never sent says nothing of any node.
func TestNeverSent(t *testing.T) {
	g := newRig()
	for i := range 100 {
		a := video(fmt.Sprint(i))
		for pulls, n := find[Pull](g.r.Handle(float64(i), a)), 0; len(pulls) > 0; n++ {
			pulls = find[Pull](g.r.Handle(float64(i), Ended{ID: a.ID, Pull: n, Status: NeverSent}))
		}
	}
	for _, n := range g.r.all {
		if n.bad.Sum(100) != 0 || n.asked.out != 0 {
			t.Errorf("%s: %.1f bad, %d out", n.id, n.bad.Sum(100), n.asked.out)
		}
	}
	if r := g.r; r.fills.failed.Sum(100) != 0 || r.fills.out != 0 {
		t.Errorf("fills: %.0f failed, %d out", r.fills.failed.Sum(100), r.fills.out)
	}
}

// All day new nodes come and go, and new objects are asked for once: the tables give back what nobody names any more.
// A node at a gone one's place starts from nothing.
func TestLongDay(t *testing.T) {
	r := started(foot())
	now := 0.0
	for i := range 3000 {
		now += 100
		if i%10 == 0 {
			fresh := Entry{Node: fmt.Sprint("n", i), Kind: "box", Zone: "club", Weight: 10, Booted: now}
			gone := Entry{Node: fmt.Sprint("n", i-10), State: Gone}
			r.Handle(now, Listed{Entries: []Entry{fresh, gone}})
			if n := r.nodes[fresh.Node]; n.bad.Sum(now)+n.good.Sum(now)+n.spent.Sum(now) != 0 || n.asked.out != 0 {
				t.Fatalf("%s starts with %v", n.id, n)
			}
		}
		a := video(fmt.Sprint(i))
		a.Object, a.Expiry = fmt.Sprint("once", i), now+1000
		pulls := find[Pull](r.Handle(now, a))
		if len(pulls) != 1 {
			t.Fatalf("%d pulls", len(pulls))
		}
		for n, p := range pulls {
			for token := range r.alarms {
				r.Handle(now, Rang{Token: token})
			}
			r.Handle(now+50, Ended{ID: p.ID, Pull: n, Status: Fulfilled, Note: FilledBySource, Took: 50, Closed: true})
		}
	}
	if len(r.nodes) > 30 || len(r.all) != len(r.nodes) || len(r.holders.entries) > 700 || len(r.holders.order) != len(r.holders.entries) {
		t.Errorf("%d and %d nodes, %d and %d objects are remembered", len(r.nodes), len(r.all), len(r.holders.entries), len(r.holders.order))
	}
	if len(r.dls)+len(r.alarms) != 0 {
		t.Errorf("%d downloads and %d alarms are left over", len(r.dls), len(r.alarms))
	}
	for _, e := range r.holders.entries {
		if e.filling != nil {
			t.Fatal("a table entry holds on to a download that has ended")
		}
	}
}

// While fills are late, what a client has left goes on, so that it is there when asked for again; in calm it is
// called off, as is a write at any time.
func TestLeft(t *testing.T) {
	for _, c := range []struct {
		took float64
		typ  string
		off  int
	}{{30, "video", 1}, {2000, "video", 0}, {2000, "sale", 1}} {
		g := newRig()
		g.life(4, func(p Pull) (Status, Note, float64) { return Fulfilled, FilledBySource, c.took })
		a := video("left")
		a.Type, a.Object, a.Expiry = c.typ, "new", g.now+3000
		if pulls := find[Pull](g.r.Handle(g.now, a)); len(pulls) != 1 {
			t.Fatalf("%d pulls", len(pulls))
		}
		if off := find[CallOff](g.r.Handle(g.now+50, Left{ID: "left"})); len(off) != c.off {
			t.Errorf("%s, fills take %.0f ms: %d called off", c.typ, c.took, len(off))
		}
		g.r.Handle(g.now+100, Ended{ID: "left", Status: Fulfilled, Note: FilledByOrigin, Took: 100, Closed: true})
		if g.r.dls["left"] != nil {
			t.Error("it is never forgotten")
		}
	}
}

// A gateway that starts amid a release gives cold nodes more with each moment, and in its first window never more than
// what its former life, which may have spent its part up to the start, left of the budget when that was spread evenly.
func TestStartAmidARelease(t *testing.T) {
	for _, after := range []float64{50, 250, 500, 900} {
		r, born := New(), 100_000.0
		r.Handle(born, Started{Seed: 7, Footprint: foot()})
		cold := fleet()
		for i := range cold.Entries[:2] {
			cold.Entries[i].Booted = born - 5000
		}
		r.Handle(born, cold)
		asked := map[string]float64{}
		for i := range 400 {
			a := video(fmt.Sprint(i))
			a.Object, a.Size, a.Expiry = fmt.Sprint("o", i), 1000, born+1e5
			for _, p := range find[Pull](r.Handle(born+after, a)) {
				asked[p.Node] += 100 // ms at 10,000 KB a second
			}
		}
		for _, id := range []string{"e1", "e2"} {
			n := r.nodes[id]
			part := 0.8 * 2 * n.warmth(r) * 10 * 1000 * after / 1000
			if asked[id] > part || after >= 250 && asked[id] < part/2 {
				t.Errorf("%s, %.0f ms after the start: asked for %.0f ms of work, its part by then is %.0f", id, after, asked[id], part)
			}
		}
	}
}
