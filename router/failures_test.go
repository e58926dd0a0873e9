package router

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// healthyReply answers a pull with a fill after 30 ms.
func healthyReply(Pull) (Status, AnswerSource, float64) { return Fulfilled, FilledBySource, 30 }

// Each fault starts after two good seconds and lasts for a while. The pulls of its last two seconds are checked; after
// it all nodes must be in use again.
func TestNodeFailures(t *testing.T) {
	for _, c := range []struct {
		name         string
		faultSeconds int // seconds of the fault before the two that are checked
		reply        func(Pull) (Status, AnswerSource, float64)
		wrong        func(at, by map[string]int) bool
	}{
		{"an edge cache answers with errors and passes probes", 8, func(p Pull) (Status, AnswerSource, float64) {
			if p.Node == "e1" {
				return Failed, SourceUnknown, 1
			}
			return healthyReply(p)
		}, func(at, by map[string]int) bool { return at["e1"] > at["e2"]/3 || by["p1"] == 0 || by["p2"] == 0 }},
		{"a parent answers with errors behind healthy edge caches", 8, func(p Pull) (Status, AnswerSource, float64) {
			if p.Source == "p1" {
				return Failed, SourceUnknown, 1
			}
			return healthyReply(p)
		}, func(at, by map[string]int) bool { return by["p1"] > by["p2"]/3 || at["e1"] < at["e2"]/3 }},
		{"a parent hangs", 1, func(p Pull) (Status, AnswerSource, float64) {
			if p.Source == "p1" {
				return TimedOut, SourceUnknown, -1
			}
			return healthyReply(p)
		}, func(_, by map[string]int) bool { return by["p1"] > by["p2"]/3 }},
		{"an edge cache is slow", 8, func(p Pull) (Status, AnswerSource, float64) {
			if p.Node == "e1" {
				return Fulfilled, Hit, 400
			}
			return healthyReply(p)
		}, func(at, _ map[string]int) bool { return at["e1"] > at["e2"] }},
		{"all nodes fail alike", 8, func(Pull) (Status, AnswerSource, float64) { return Failed, SourceUnknown, 1 },
			func(at, by map[string]int) bool { return at["e1"]+at["e2"] == 0 || at["e1"]+at["e2"] > 4*400 }},
		{"the link is full", 8, func(p Pull) (Status, AnswerSource, float64) {
			if p.Source == p.Node {
				return Missed, SourceUnknown, 1
			}
			return Fulfilled, FilledBySource, 2000
		}, func(_, by map[string]int) bool { return by["p1"]+by["p2"]+by["o"] > 100 || by["e1"] == 0 }},
	} {
		g := newHarness()
		g.play(2, healthyReply)
		g.play(c.faultSeconds, c.reply)
		if at, by := g.play(2, c.reply); c.wrong(at, by) {
			t.Errorf("%s: pulls to %v, filled by %v", c.name, at, by)
		}
		g.play(8, healthyReply)
		if at, by := g.play(4, healthyReply); at["e1"] == 0 || at["e2"] == 0 || by["p1"] == 0 || by["p2"] == 0 {
			t.Errorf("%s: not all nodes are in use again: pulls to %v, filled by %v", c.name, at, by)
		}
	}
}

// playSparse sends one download every 150 ms, the low rate of one gateway in a large fleet. Probes fail.
func (g *harness) playSparse(seconds int, reply func(Pull) (Status, AnswerSource, float64)) (throttled int, bySource map[string]int) {
	bySource = map[string]int{}
	for i := range seconds * 1000 / 150 {
		a := videoRequest(fmt.Sprint("few ", g.now))
		a.Object, a.Expiry, a.Size = fmt.Sprint("f", i%40), g.now+3000, 200
		for e, next := Event(a), g.now+150; ; {
			for _, action := range g.r.Handle(g.now, e) {
				switch action := action.(type) {
				case SetTimer:
					g.alarms = append(g.alarms, action)
				case Throttle:
					throttled++
				case Probe:
					g.pending = append(g.pending, pendingEvent{g.now + 400, Probed{Node: action.Node, Status: NotConnected}})
				case Pull:
					bySource[action.Source]++
					status, note, took := reply(action)
					g.pending = append(g.pending, pendingEvent{g.now + took, PullEnded{ID: action.ID, Pull: g.pulls[action.ID], Status: status,
						AnswerSource: note, Duration: took, DownloadDone: status == Fulfilled}})
					g.pulls[action.ID]++
				}
			}
			slices.SortStableFunc(g.pending, func(a, b pendingEvent) int { return cmp.Compare(a.at, b.at) })
			slices.SortStableFunc(g.alarms, func(a, b SetTimer) int { return cmp.Compare(a.At, b.At) })
			if len(g.pending) > 0 && g.pending[0].at <= next && (len(g.alarms) == 0 || g.pending[0].at <= g.alarms[0].At) {
				g.now, e, g.pending = max(g.now, g.pending[0].at), g.pending[0].event, g.pending[1:]
			} else if len(g.alarms) > 0 && g.alarms[0].At <= next {
				g.now, e, g.alarms = max(g.now, g.alarms[0].At), TimerFired{Token: g.alarms[0].Token}, g.alarms[1:]
			} else {
				g.now = next
				break
			}
		}
	}
	return throttled, bySource
}

// An edge cache reports a parent that it can't connect to as full, after the time that connecting may take. At a low rate
// of downloads the parent must be ejected after two such answers, and the limiter of all fills must not be lowered, as
// that would shut out fills by healthy parents.
func TestUnreachableSource(t *testing.T) {
	g := newHarness()
	g.playSparse(4, healthyReply)
	throttled, bySource := g.playSparse(6, func(p Pull) (Status, AnswerSource, float64) {
		if p.Source == "p1" {
			return Rejected, SourceUnknown, 401
		}
		return healthyReply(p)
	})
	fills, _ := g.r.LimiterViews()
	if throttled > 0 || bySource["p1"] > 4 || bySource["p2"] < 30 || fills.Limit < 1e8 {
		t.Errorf("%d throttled, fills by %v, limit of the limiter of fills %.1f", throttled, bySource, fills.Limit)
	}
	// Fills that are turned away at once mean a lack of room, and lower the limit.
	g = newHarness()
	g.playSparse(4, healthyReply)
	g.playSparse(6, func(p Pull) (Status, AnswerSource, float64) { return Rejected, SourceUnknown, 5 })
	if fills, _ := g.r.LimiterViews(); fills.Limit > 10 {
		t.Errorf("fills are turned away at once, and the limit of their limiter is %.1f", fills.Limit)
	}
}

// Once a lowered limiter is calm and answers are few, its limit doubles within as many answers in time as its window
// holds: growing by a tenth of a pull for each, it stayed shut for ten seconds after an overload. While answers are late,
// or many, it grows by such steps.
func TestCalmLimiterGrows(t *testing.T) {
	for _, c := range []struct {
		name            string
		interval        float64 // ms between answers
		lateEvery       int     // one in so many; 0: none
		atLeast, atMost float64
	}{{"few answers", 400, 0, 1.2, 3}, {"few, one in five late", 400, 5, 0.3, 0.9}, {"many answers", 20, 0, 8, 16}} {
		r, l := startedRouter(testSettings()), newLimiter()
		r.zoneGateways, l.limit, l.lastCut, l.inFlight = 30, 0.4, 1e9, 100
		for i := 1; r.now < 2000; i++ {
			r.now += c.interval
			l.recordAnswer(r, c.lateEvery > 0 && i%c.lateEvery == 1)
		}
		if l.limit < c.atLeast || l.limit > c.atMost {
			t.Errorf("%s: the limit grew from 0.4 to %.1f within 2 s, want %.1f to %.1f", c.name, l.limit, c.atLeast, c.atMost)
		}
	}
}

// A node that a whole list leaves out is gone, and one that a restored list brings back is used again.
func TestWholeListReplacesNodes(t *testing.T) {
	g := newHarness()
	l := testFleet()
	l.Scope, l.Entries = FullList, l.Entries[1:]
	g.r.Handle(0, l)
	if byNode, _ := g.play(1, healthyReply); byNode["e1"] > 0 || byNode["e2"] == 0 {
		t.Errorf("e1 left the list: pulls to %v", byNode)
	}
	g.r.Handle(g.now, testFleet())
	if byNode, _ := g.play(1, healthyReply); byNode["e1"] == 0 {
		t.Errorf("e1 is listed again: pulls to %v", byNode)
	}
}

// Thousands of downloads wait when the clock jumps close to their expiry: all must get their answer in time.
func TestClockJumpAnswersWaitingDownloads(t *testing.T) {
	r := startedRouter(testSettings())
	gone := testFleet()
	for i := range gone.Entries {
		gone.Entries[i].State = Draining
	}
	r.Handle(1, gone)
	tokens := map[int64]bool{}
	for i := range 5000 {
		a := videoRequest(fmt.Sprint(i))
		a.Expiry = 3000
		for _, alarm := range actionsOf[SetTimer](r.Handle(2, a)) {
			tokens[alarm.Token] = true
		}
	}
	done := 0
	for token := range tokens {
		done += len(actionsOf[Throttle](r.Handle(2900, TimerFired{Token: token})))
	}
	if done != 5000 || len(r.downloads) != 0 {
		t.Errorf("%d of 5000 answered, %d still open", done, len(r.downloads))
	}
}

// Stale copies are served while no source is left, where the content type allows that, but none from before a purge.
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
		t.Errorf("no source left: %+v, want a lookup of copies up to 1500 ms old", p)
	}
	r.Handle(20, Purged{Object: "match", Group: 4, Age: 8})
	if p := actionsOf[Pull](r.Handle(30, videoRequest("b"))); len(p) != 1 || p[0].MaxAge <= 0 || p[0].MaxAge > 18 {
		t.Errorf("after a purge: %+v, want copies younger than it", p)
	}
}

// With an empty list, or with invalid settings and entries, every download still gets exactly one answer.
func TestInvalidSettingsEndInTime(t *testing.T) {
	f := testSettings()
	f["benefit"], f["gateways by zone"], f["gateways"], f["fall time"] = []any{-3.0}, []any{"many"}, -1.0, 0.0
	for _, l := range []NodesListed{{Scope: FullList}, {Entries: []Entry{{Node: "e1", Kind: "odd", Weight: -5, StartedAt: 1e12}}}} {
		r := startedRouter(f)
		r.Handle(1, l)
		r.Handle(2, PullEnded{ID: "nobody", Pull: 9, AnswerSource: 99})
		a := videoRequest("a")
		a.Expiry = 3000
		answers := runToAnswer(r, 10, a)
		answers = append(answers, runToAnswer(r, 2999, PullEnded{ID: "a", Status: Failed, AnswerSource: 99,
			Load: map[string]float64{"held": -1e300}})...)
		if len(answers) != 1 {
			t.Errorf("%+v: answers %+v, want one", l, answers)
		}
	}
}

// A purge may name an object without its group: it must clear that object's entry and no other, of whatever group.
func TestPurgeWithoutGroup(t *testing.T) {
	r := startedRouter(testSettings())
	get := func(now float64, object string) Pull {
		a := videoRequest(fmt.Sprint(object, now))
		a.Object, a.Group = object, int64(len(object))-4
		p := actionsOf[Pull](r.Handle(now, a))
		if len(p) != 1 {
			t.Fatalf("%s: %+v", object, p)
		}
		r.Handle(now+1, PullEnded{ID: a.ID, Status: Fulfilled, DownloadDone: true, AnswerSource: FilledBySource})
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

// downloadWithKnownHitTime answers downloads of an object as hits at the edge, so that its hit time is known, and then
// requests it again. It returns the pull and the timers of that request.
func downloadWithKnownHitTime(g *harness, f Settings) (Pull, []SetTimer) {
	g.r = startedRouter(f)
	for i := range 20 {
		a := videoRequest(fmt.Sprint("first", i))
		for _, p := range actionsOf[Pull](g.r.Handle(float64(10*i), a)) {
			note := Hit
			if i < 5 {
				note = FilledBySource
			}
			g.r.Handle(float64(10*i+5), PullEnded{ID: p.ID, Status: Fulfilled, AnswerSource: note, Duration: 40, DownloadDone: true})
		}
	}
	again := videoRequest("again")
	actions := g.r.Handle(1000, again)
	return actionsOf[Pull](actions)[0], actionsOf[SetTimer](actions)
}

// A pull that takes much longer than earlier hits of its object causes one second copy from another node, where that is
// allowed. The first answer counts, the other pull is cancelled, and a node that was overtaken gets a failure.
func TestSecondCopy(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		f := testSettings()
		f["second copies"] = allowed
		g := newHarness()
		first, alarms := downloadWithKnownHitTime(g, f)
		var second []Pull
		for _, b := range alarms {
			if b.At <= 1000+600+1.5*40 {
				second = append(second, actionsOf[Pull](g.r.Handle(b.At, TimerFired{Token: b.Token}))...)
			}
		}
		if len(second) > 1 || (len(second) == 1) != allowed || allowed && second[0].Node == first.Node {
			t.Fatalf("allowed %v: %d second copies: %+v", allowed, len(second), second)
		}
		if !allowed {
			continue
		}
		actions := g.r.Handle(1700, PullEnded{ID: "again", Pull: 1, Status: Fulfilled, AnswerSource: Hit, Duration: 40, DownloadDone: true})
		if cancelled := actionsOf[CancelPull](actions); len(cancelled) != 1 || cancelled[0].Pull != 0 {
			t.Errorf("cancelled: %+v, want pull 0", cancelled)
		}
		g.r.Handle(1701, PullEnded{ID: "again", Pull: 0, Status: Cancelled, Duration: 700, DownloadDone: true})
		if n := g.r.nodes[first.Node]; n.failures.Sum(1701) == 0 || n.limiter.inFlight != 0 || len(g.r.downloads) != 0 {
			t.Errorf("the overtaken node: %.1f failures, %d pulls in flight", n.failures.Sum(1701), n.limiter.inFlight)
		}
		// A download without room for its second copy goes on waiting for its first pull.
		g.r.Handle(2000, NodesListed{Entries: []Entry{{Node: second[0].Node, Kind: "box", Zone: "club", Weight: 10, State: Draining}}})
		for _, b := range actionsOf[SetTimer](g.r.Handle(2000, videoRequest("alone"))) {
			if given := g.r.Handle(b.At, TimerFired{Token: b.Token}); len(actionsOf[Throttle](given))+
				len(actionsOf[Abandon](given)) > 0 {
				t.Errorf("given up while its pull is in flight: %+v", given)
			}
		}
	}
}

// All nodes answer requests for an object that does not exist with errors: that must not count against any of them,
// however many such requests arrive.
func TestErrorsOfUnknownObjectsBlameNoNode(t *testing.T) {
	g := newHarness()
	g.play(1, healthyReply)
	for i := range 200 {
		a := videoRequest(fmt.Sprint("bad", i))
		a.Object = fmt.Sprint("made up", i)
		g.now += 2
		for pulls, n := actionsOf[Pull](g.r.Handle(g.now, a)), 0; len(pulls) > 0; n++ {
			pulls = actionsOf[Pull](g.r.Handle(g.now, PullEnded{ID: a.ID, Pull: n, Status: Failed, Duration: 1}))
		}
	}
	for _, n := range g.r.sortedNodes {
		if n.health != healthy || n.failures.Sum(g.now) > 0 {
			t.Errorf("%s: %.1f failures of %.1f, health %d", n.id, n.failures.Sum(g.now),
				n.failures.Sum(g.now)+n.successes.Sum(g.now), n.health)
		}
	}
}

// A pull that was never sent does not count for or against any node.
func TestNeverSentBlamesNoNode(t *testing.T) {
	g := newHarness()
	for i := range 100 {
		a := videoRequest(fmt.Sprint(i))
		for pulls, n := actionsOf[Pull](g.r.Handle(float64(i), a)), 0; len(pulls) > 0; n++ {
			pulls = actionsOf[Pull](g.r.Handle(float64(i), PullEnded{ID: a.ID, Pull: n, Status: NeverSent}))
		}
	}
	for _, n := range g.r.sortedNodes {
		if n.failures.Sum(100) != 0 || n.limiter.inFlight != 0 {
			t.Errorf("%s: %.1f failures, %d pulls in flight", n.id, n.failures.Sum(100), n.limiter.inFlight)
		}
	}
	if r := g.r; r.fillLimiter.failures.Sum(100) != 0 || r.fillLimiter.inFlight != 0 {
		t.Errorf("fills: %.0f failed, %d in flight", r.fillLimiter.failures.Sum(100), r.fillLimiter.inFlight)
	}
}

// New nodes come and go all day, and new objects are requested once: the tables must forget them. A node that replaces a
// gone one starts without a record.
func TestTablesForgetOldNodesAndObjects(t *testing.T) {
	r := startedRouter(testSettings())
	now := 0.0
	for i := range 3000 {
		now += 100
		if i%10 == 0 {
			fresh := Entry{Node: fmt.Sprint("n", i), Kind: "box", Zone: "club", Weight: 10, StartedAt: now}
			goneNode := Entry{Node: fmt.Sprint("n", i-10), State: Gone}
			r.Handle(now, NodesListed{Entries: []Entry{fresh, goneNode}})
			if n := r.nodes[fresh.Node]; n.failures.Sum(now)+n.successes.Sum(now)+n.coldSpent.Sum(now) != 0 ||
				n.limiter.inFlight != 0 {
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
				r.Handle(now, TimerFired{Token: token})
			}
			r.Handle(now+50, PullEnded{ID: p.ID, Pull: n, Status: Fulfilled, AnswerSource: FilledBySource, Duration: 50, DownloadDone: true})
		}
	}
	if len(r.nodes) > 30 || len(r.sortedNodes) != len(r.nodes) || len(r.holders.entries) > 700 ||
		len(r.holders.order) != len(r.holders.entries) {
		t.Errorf("%d and %d nodes, %d and %d objects are remembered", len(r.nodes), len(r.sortedNodes),
			len(r.holders.entries), len(r.holders.order))
	}
	if len(r.downloads)+len(r.timers) != 0 {
		t.Errorf("%d downloads and %d timers are left over", len(r.downloads), len(r.timers))
	}
	for _, e := range r.holders.entries {
		if e.fillInFlight != nil {
			t.Fatal("a holder entry still refers to a download that has ended")
		}
	}
}

// While fills are late, the fill of a client that left continues, so that its object is there for the next request.
// Otherwise it is cancelled, as a write is at any time.
func TestAbandonedFillContinuesUnderLoad(t *testing.T) {
	for _, c := range []struct {
		took      float64
		typ       string
		cancelled int
	}{{30, "video", 1}, {2000, "video", 0}, {2000, "sale", 1}} {
		g := newHarness()
		g.play(4, func(p Pull) (Status, AnswerSource, float64) { return Fulfilled, FilledBySource, c.took })
		a := videoRequest("left")
		a.Type, a.Object, a.Expiry = c.typ, "new", g.now+3000
		if pulls := actionsOf[Pull](g.r.Handle(g.now, a)); len(pulls) != 1 {
			t.Fatalf("%d pulls", len(pulls))
		}
		if cancelled := actionsOf[CancelPull](g.r.Handle(g.now+50, ClientGone{ID: "left"})); len(cancelled) != c.cancelled {
			t.Errorf("%s, fills take %.0f ms: %d pulls cancelled, want %d", c.typ, c.took, len(cancelled), c.cancelled)
		}
		g.r.Handle(g.now+100, PullEnded{ID: "left", Status: Fulfilled, AnswerSource: FilledByOrigin, Duration: 100, DownloadDone: true})
		if g.r.downloads["left"] != nil {
			t.Error("the download was not forgotten")
		}
	}
}

// A gateway that starts amid a release sends cold nodes more and more, and in its first window never more than what its
// previous process, which may have spent its share until the start, left of the budget if it spent that evenly.
func TestColdBudgetAfterGatewayRestart(t *testing.T) {
	for _, after := range []float64{50, 250, 500, 900} {
		r, startedAt := New(), 100_000.0
		r.Handle(startedAt, Started{Seed: 7, Settings: testSettings()})
		cold := testFleet()
		for i := range cold.Entries[:2] {
			cold.Entries[i].StartedAt = startedAt - 5000
		}
		r.Handle(startedAt, cold)
		charged := map[string]float64{}
		for i := range 400 {
			a := videoRequest(fmt.Sprint(i))
			a.Object, a.Size, a.Expiry = fmt.Sprint("o", i), 1000, startedAt+1e5
			for _, p := range actionsOf[Pull](r.Handle(startedAt+after, a)) {
				charged[p.Node] += 100 // ms at 10,000 KB a second
			}
		}
		for _, id := range []string{"e1", "e2"} {
			n := r.nodes[id]
			share := 0.8 * 2 * n.warmShare(r) * 10 * 1000 * after / 1000
			if charged[id] > share || after >= 250 && charged[id] < share/2 {
				t.Errorf("%s, %.0f ms after the start: %.0f ms of transfer time requested, its share by then is %.0f",
					id, after, charged[id], share)
			}
		}
	}
}
