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

// Whatever caches answer with, however old, and whatever is purged or not known meanwhile: no client gets a copy that was born before a bound
// that this gateway goes by, nor, past three quarters of the delay without sight, one older than that; what is young enough is given. A
// purge that only makes stale lets an older copy through where the first pull found none newer.
func TestPurgeBounds(t *testing.T) {
	l := purges.Limits{Delay: 4000, Skew: 100, Batch: 1, Held: 1000}
	given, kept, blind, stale := 0, 0, 0, 0
	for seed := range int64(30) {
		r, h := rand.New(rand.NewSource(seed)), newHarness(t)
		known, late := h.now, 0.0 // late: what the clock says beyond the time of events, as after a freeze
		h.core.Purges("amber", l, true, func() float64 { return known }, func() float64 { return h.now + late })
		hard, soft := map[string]float64{}, map[string]float64{}
		for range 1500 {
			var all []*fakeWire
			for _, x := range h.wires {
				if !x.closed {
					all = append(all, x)
				}
			}
			switch n := r.Intn(100); {
			case n < 25:
				h.sendRequest(h.clients[r.Intn(3)], "video", r.Intn(4), 3000)
			case n < 50 && len(all) > 0:
				all[r.Intn(len(all))].deliver()
			case n < 75 && len(all) > 0:
				x := all[r.Intn(len(all))]
				if len(x.open) == 0 {
					continue
				}
				i := r.Intn(len(x.open))
				id := x.open[i]
				a, d := h.requests[id], h.core.downloads[id]
				x.open = append(x.open[:i], x.open[i+1:]...)
				if a == nil || d == nil {
					continue
				}
				pull := len(d.pulls) - 1
				for pull > 0 && d.pulls[pull].node != x.node {
					pull--
				}
				born := math.Round(h.now - 8000*r.Float64())
				before := len(a.client.answers[a.number])
				body := buffer.NewChain(h.buffers)
				body.Append([]byte("body"))
				reply := caches.Reply{Tag: id, Word: "DONE", Body: body, Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", born)}
				h.core.Handle(caches.Answered{Wire: x, Reply: reply, At: h.now})
				if got := a.client.answers[a.number]; len(got) == before || got[before].Status != 200 {
					kept++
					continue
				}
				given++
				if born < hard[d.object] {
					t.Fatalf("seed %d: %s is answered by a copy born %.0f ms before its bound", seed, d.object, hard[d.object]-born)
				}
				if now := h.now + late; now-known > 3000 {
					if blind++; born < now-3000+l.Skew-1 {
						t.Fatalf("seed %d: blind for %.0f ms, answered by a copy that is %.0f ms old", seed, now-known, now-born)
					}
				}
				if born < soft[d.object] {
					if stale++; pull == 0 && len(d.pulls) == 1 {
						t.Fatalf("seed %d: the first pull of %s is answered by a stale copy", seed, d.object)
					}
				}
			case n < 77:
				m := purges.Mark{Object: fmt.Sprintf("%016x", r.Intn(4)), At: h.now + l.Skew - 3000*r.Float64(), Club: []string{"", "amber", "birch"}[r.Intn(3)], Stale: r.Intn(3) == 0}
				told := 0
				h.core.Handle(ApplyMarks{Marks: []purges.Mark{m}, Index: 7, At: h.now, Done: func(index uint64) { told += int(index) }})
				if told != 7 {
					t.Fatalf("told of %d", told)
				}
				if m.Club == "birch" {
					continue
				}
				if m.Stale {
					soft[m.Object] = max(soft[m.Object], m.At)
				} else {
					hard[m.Object] = max(hard[m.Object], m.At)
				}
			case n < 78:
				known, late = h.now, 0
			case n < 79:
				late = 5000 * r.Float64()
			default:
				h.now += r.ExpFloat64() * 60
				h.core.Ring(h.now)
			}
		}
		h.now += 10_000
		h.core.Ring(h.now)
		for _, f := range h.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	if given < 500 || kept < 500 || blind < 20 || stale < 5 {
		t.Errorf("too little was looked at: %d given, %d not, %d blind, %d stale", given, kept, blind, stale)
	}
}

// Many marks at once are not told to the router, which looks through all that it remembers for each; the bounds hold all the same.
func TestManyMarks(t *testing.T) {
	h := newHarness(t)
	h.core.Purges("amber", purges.DefaultLimits(), false, func() float64 { return 0 }, func() float64 { return h.now })
	marks := make([]purges.Mark, 8000)
	for i := range marks {
		marks[i] = purges.Mark{Object: fmt.Sprintf("%016x", i), At: h.now}
	}
	done := false
	h.core.Handle(ApplyMarks{Marks: marks, Index: 1, At: h.now, Done: func(uint64) { done = true }})
	if !done || h.core.purges.view.Shelf.Len() != 8000 {
		t.Errorf("done %t, %d held", done, h.core.purges.view.Shelf.Len())
	}
	id, sent := h.sendRequest(h.clients[0], "video", 3, 3000), 0
	for _, x := range h.wires {
		x.deliver()
		for len(x.open) > 0 {
			x.open = x.open[1:]
			sent++
			body := buffer.NewChain(h.buffers)
			h.core.Handle(caches.Answered{Wire: x, At: h.now, Reply: caches.Reply{Tag: id, Word: "DONE", Body: body,
				Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f", h.now-1)}})
		}
	}
	if sent == 0 || h.pool.Old == 0 {
		t.Fatalf("%d pulls, %d answers were too old: nothing was looked at", sent, h.pool.Old)
	}
	if a := h.requests[id]; len(a.client.answers[a.number]) > 0 && a.client.answers[a.number][0].Status == 200 {
		t.Error("answered by a copy of before")
	}
}
