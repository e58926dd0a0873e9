package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"poppymill/internal/buffer"
	"poppymill/internal/caches"
	"poppymill/internal/owner"
)

// A prefetch fills a cache with the objects that it is asked for most, a few at a time, by downloads without a client.
// The numbers of objects that were filled and that found no room are reported once.
func TestPrefetch(t *testing.T) {
	h := newHarness(t)
	for i := range 40 { // make objects popular
		h.sendRequest(h.clients[i%3], "video", i, 3000)
		for range 3 {
			for _, w := range h.wires {
				w.deliver()
			}
			h.now += 20
			h.core.Advance(h.now)
			for _, w := range h.wires {
				for len(w.open) > 0 {
					h.reply(w, 0, "DONE")
				}
			}
		}
	}
	if len(h.core.router.HotObjects("edge-1", 100)) < 5 {
		t.Fatalf("hot at edge-1: %v, %+v", h.core.router.HotObjects("edge-1", 100), h.core.Counters)
	}
	doneCalls, filled, refused := 0, 0, 0
	h.core.Handle(Prefetch{Node: "edge-1", Limit: 10, At: h.now, Done: func(f, r int) { doneCalls, filled, refused = doneCalls+1, f, r }})
	for range 200 {
		if h.core.open > maxPrefetches {
			t.Fatalf("%d prefetches are open", h.core.open)
		}
		for _, w := range h.wires {
			for range w.queue {
				if w.node != "edge-1" {
					t.Errorf("sent to %s", w.node)
				}
			}
			w.answerAll()
		}
		h.now++
		h.core.Advance(h.now)
	}
	if doneCalls != 1 || filled == 0 || filled+refused > 10 {
		t.Errorf("done called %d times, %d filled, %d refused", doneCalls, filled, refused)
	}
	if len(h.core.clients) != 0 || h.core.open != 0 {
		t.Errorf("%d downloads are left open", h.core.open)
	}
	h.core.Handle(Prefetch{Node: "no such", Limit: 10, At: h.now, Done: func(f, r int) { doneCalls, filled, refused = doneCalls+1, f, r }})
	if doneCalls != 2 || filled+refused != 0 {
		t.Errorf("unknown node: %d filled, %d refused", filled, refused)
	}
	if WarmResult(0, 3) != owner.NotRun || WarmResult(1, 3) != owner.Ran || WarmResult(0, 0) != owner.Ran {
		t.Error("wrong end of a warming step")
	}
}

// answerAll delivers all queued commands and answers the GETs, also those without a request of the harness.
func (w *fakeWire) answerAll() {
	queue := w.queue
	w.queue = nil
	for _, i := range queue {
		i.MarkWriting()
		id := getID(i)
		i.MarkWritten(true)
		if id != "" {
			w.harness.core.Handle(doneReply(w, id))
		}
	}
}

// getID returns the id of a GET, or empty for other commands.
func getID(i *caches.Command) string {
	words := strings.Split(string(bytes.Join(i.Pieces(nil), nil)), "\r\n")
	if words[2] != "GET" {
		return ""
	}
	return words[4]
}

// doneReply returns a successful answer with a fresh copy.
func doneReply(w *fakeWire, id string) caches.Replied {
	r := caches.Reply{ID: id, Word: "DONE", Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", w.harness.now), Body: buffer.NewChain(w.harness.buffers)}
	r.Body.Append([]byte("body"))
	return caches.Replied{Wire: w, Reply: r, At: w.harness.now}
}
