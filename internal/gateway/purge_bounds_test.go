package gateway

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/purges"
)

// Whatever the age of the copies that caches return, and whatever is purged or unknown meanwhile, no client gets a copy
// that was created before a purge in force. Once the gateway has not known the agreed purges for three quarters of the
// delay, no client gets a copy older than that either. Copies that are young enough are used. A purge that only marks
// copies as stale lets an older copy through if the first pull found no newer one.
func TestPurgeBounds(t *testing.T) {
	limits := purges.Limits{Delay: 4000, Skew: 100, Batch: 1, MaxBounds: 1000}
	answered, unanswered, blind, stale := 0, 0, 0, 0
	inWindow := func(bound, now float64) float64 { // copies created since the acceptance answer for 1,200 ms
		if now < bound-limits.Skew+1200 {
			return bound - limits.Skew
		}
		return bound
	}
	for seed := range int64(30) {
		r, h := rand.New(rand.NewSource(seed)), newHarness(t)
		known, clockAhead := h.now, 0.0 // clockAhead: how far the clock is ahead of the events' times, as after a freeze
		h.core.EnablePurges("amber", limits, true, func() float64 { return known }, func() float64 { return h.now + clockAhead })
		hard, soft := map[string]float64{}, map[string]float64{}
		for range 1500 {
			var alive []*fakeWire
			for _, w := range h.wires {
				if !w.closed {
					alive = append(alive, w)
				}
			}
			switch n := r.Intn(100); {
			case n < 25:
				h.sendRequest(h.clients[r.Intn(3)], "video", r.Intn(4), 3000)
			case n < 50 && len(alive) > 0:
				alive[r.Intn(len(alive))].deliver()
			case n < 75 && len(alive) > 0:
				w := alive[r.Intn(len(alive))]
				if len(w.open) == 0 {
					continue
				}
				i := r.Intn(len(w.open))
				id := w.open[i]
				req, d := h.requests[id], h.core.downloads[id]
				w.open = append(w.open[:i], w.open[i+1:]...)
				if req == nil || d == nil {
					continue
				}
				pull := len(d.pulls) - 1
				for pull > 0 && d.pulls[pull].node != w.node {
					pull--
				}
				created := math.Round(h.now - 8000*r.Float64())
				before := len(req.client.answers[req.number])
				body := buffer.NewChain(h.buffers)
				body.Append([]byte("body"))
				reply := caches.Reply{ID: id, Word: "DONE", Body: body, Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", created)}
				h.core.Handle(caches.Replied{Wire: w, Reply: reply, At: h.now})
				if got := req.client.answers[req.number]; len(got) == before || got[before].Status != 200 {
					unanswered++
					continue
				}
				answered++
				if bound := inWindow(hard[d.object], h.now+clockAhead); created < bound {
					t.Fatalf("seed %d: %s is answered by a copy created %.0f ms before its bound", seed, d.object, bound-created)
				}
				if now := h.now + clockAhead; now-known > 3000 {
					if blind++; created < now-3000+limits.Skew-1 {
						t.Fatalf("seed %d: purges unknown for %.0f ms, answered by a copy that is %.0f ms old", seed, now-known, now-created)
					}
				}
				if created < inWindow(soft[d.object], h.now+clockAhead) {
					if stale++; pull == 0 && len(d.pulls) == 1 {
						t.Fatalf("seed %d: the first pull of %s is answered by a stale copy", seed, d.object)
					}
				}
			case n < 77:
				mark := purges.Mark{Object: fmt.Sprintf("%016x", r.Intn(4)), At: h.now + limits.Skew - 3000*r.Float64(), Club: []string{"", "amber", "birch"}[r.Intn(3)], Stale: r.Intn(3) == 0}
				doneIndex := 0
				h.core.Handle(ApplyPurges{Update: purges.Update{Marks: []purges.Mark{mark}, Index: 7}, At: h.now, Done: func(index uint64) { doneIndex += int(index) }})
				if doneIndex != 7 {
					t.Fatalf("done called with %d", doneIndex)
				}
				if mark.Club == "birch" {
					continue
				}
				if mark.Stale {
					soft[mark.Object] = max(soft[mark.Object], mark.At)
				} else {
					hard[mark.Object] = max(hard[mark.Object], mark.At)
				}
			case n < 78:
				known, clockAhead = h.now, 0
			case n < 79:
				clockAhead = 5000 * r.Float64()
			default:
				h.now += r.ExpFloat64() * 60
				h.core.Advance(h.now)
			}
		}
		h.now += 10_000
		h.core.Advance(h.now)
		for _, f := range h.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if answered < 500 || unanswered < 500 || blind < 20 || stale < 5 {
		t.Errorf("too few cases: %d answered, %d not, %d without known purges, %d stale", answered, unanswered, blind, stale)
	}
}

// A large batch of marks is not passed to the router, which scans all that it remembers for each mark. The bounds apply
// all the same.
func TestManyMarks(t *testing.T) {
	h := newHarness(t)
	h.core.EnablePurges("amber", purges.DefaultLimits(), false, func() float64 { return 0 }, func() float64 { return h.now })
	marks := make([]purges.Mark, 8000)
	for i := range marks {
		marks[i] = purges.Mark{Object: fmt.Sprintf("%016x", i), At: h.now + purges.DefaultLimits().Skew} // accepted now
	}
	done := false
	h.core.Handle(ApplyPurges{Update: purges.Update{Marks: marks, Index: 1}, At: h.now, Done: func(uint64) { done = true }})
	if !done || h.core.purges.view.Bounds.Len() != 8000 {
		t.Errorf("done %t, %d held", done, h.core.purges.view.Bounds.Len())
	}
	id, sent := h.sendRequest(h.clients[0], "video", 3, 3000), 0
	for _, w := range h.wires {
		w.deliver()
		for len(w.open) > 0 {
			w.open = w.open[1:]
			sent++
			body := buffer.NewChain(h.buffers)
			h.core.Handle(caches.Replied{Wire: w, At: h.now, Reply: caches.Reply{ID: id, Word: "DONE", Body: body,
				Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f", h.now-1)}})
		}
	}
	if sent == 0 || h.pool.TooOld == 0 {
		t.Fatalf("%d pulls, %d answers were too old: nothing was tested", sent, h.pool.TooOld)
	}
	if req := h.requests[id]; len(req.client.answers[req.number]) > 0 && req.client.answers[req.number][0].Status == 200 {
		t.Error("answered by a copy from before the purge")
	}
}

// Guards against copies from before a purge that the log has delivered and the core has not applied yet: while an update
// waits in the core's inbox, as after a restart or behind a long queue, the view does not count as known.
func TestViewIsKnownOnceApplied(t *testing.T) {
	h := newHarness(t)
	p := &poster{inbox: make(chan any, 4), now: func() float64 { return h.now }}
	proxy := coreProxy{poster: p, knownUntil: &knownUntil{}}
	proxy.SetKnown(-1)
	h.core.EnablePurges("amber", purges.DefaultLimits(), true, proxy.knownUntil.at, p.now)
	accepted := h.now
	proxy.ApplyPurges(purges.Update{Marks: []purges.Mark{{Object: "a", At: accepted + purges.DefaultLimits().Skew}}, Index: 3}, func(uint64) {})
	proxy.SetKnown(10)
	if at := proxy.knownUntil.at(); !math.IsInf(at, -1) {
		t.Errorf("known until %v with an update in the inbox", at)
	}
	h.core.Handle(<-p.inbox)
	proxy.SetKnown(10)
	if at := proxy.knownUntil.at(); at != h.now-10 {
		t.Errorf("known until %v after the update, want %v", at, h.now-10)
	}
	if oldest := h.core.purges.oldestAllowed(&download{object: "a"}, 0); oldest != accepted {
		t.Errorf("copies from %v on are allowed, want %v", oldest, accepted)
	}
}

// Guards against a purge that leaves its objects without any answer until the skew is over: a copy created after the
// acceptance answers at once, and also if it is slow to arrive; later, copies from within the skew are fetched once more.
// Copies from before the acceptance never answer.
func TestCopyMadeAfterPurgeAnswersAtOnce(t *testing.T) {
	limits := purges.Limits{Delay: 8000, Skew: 500, Batch: 1, MaxBounds: 1000}
	for _, c := range []struct {
		at, createdAt float64 // ms after the acceptance
		answers       bool
	}{{10, 5, true}, {10, -1, false}, {600, 100, true}, {2900, 400, true}, {3100, 400, false}, {3100, 500, true}} {
		h := newHarness(t)
		h.core.EnablePurges("amber", limits, true, func() float64 { return h.now }, func() float64 { return h.now })
		accepted, object := h.now, fmt.Sprintf("%016x", 3)
		update := purges.Update{Marks: []purges.Mark{{Object: object, At: accepted + limits.Skew}}}
		h.core.Handle(ApplyPurges{Update: update, At: h.now, Done: func(uint64) {}})
		h.now += c.at
		id := h.sendRequest(h.clients[0], "video", 3, 3000)
		for _, w := range h.wires {
			if w.deliver(); len(w.open) > 0 {
				reply := caches.Reply{ID: id, Word: "DONE", Body: buffer.NewChain(h.buffers), Fields: fmt.Sprintf("res=fill,sum=00000000000000ab,t0=%.0f", accepted+c.createdAt)}
				h.core.Handle(caches.Replied{Wire: w, At: h.now, Reply: reply})
				break
			}
		}
		answers := h.requests[id].client.answers[h.requests[id].number]
		if got := len(answers) > 0 && answers[0].Status == 200; got != c.answers {
			t.Errorf("%v ms after the acceptance a copy made at %v ms answers: %t", c.at, c.createdAt, got)
		}
	}
}
