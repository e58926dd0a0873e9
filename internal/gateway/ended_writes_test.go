package gateway

import (
	"fmt"
	"testing"
)

// Guards against a write that runs twice as its id comes again after its client had left, or after any other end at which
// it may have run.
func TestWriteWhoseIDComesAgainRunsOnce(t *testing.T) {
	const id = "00000000000000aa"
	for _, c := range []struct {
		name string
		end  func(h *harness, w *fakeWire)
		want int // status of the second request; 0: it is taken
	}{
		{"the client leaves", func(h *harness, w *fakeWire) {
			w.deliver()
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
		}, 400},
		{"the client aborts", func(h *harness, w *fakeWire) {
			w.deliver()
			h.core.Handle(RequestAborted{Client: h.clients[0], ID: 1, At: h.now})
		}, 400},
		{"it is answered", func(h *harness, w *fakeWire) {
			w.deliver()
			h.reply(w, 0, "DONE")
		}, 400},
		{"the connection breaks", func(h *harness, w *fakeWire) {
			w.deliver()
			h.breakWire(w)
		}, 400},
		{"the client leaves before it is sent", func(h *harness, w *fakeWire) {
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
		}, 0},
	} {
		h := newHarness(t)
		h.sendWrite(h.clients[0], id, 1)
		if len(h.wires) != 1 {
			t.Fatalf("%s: %d connections", c.name, len(h.wires))
		}
		c.end(h, h.wires[0])
		attempts := h.core.Pulls
		h.sendWrite(h.clients[1], id, 9)
		got := 0
		if answers := h.clients[1].answers[9]; len(answers) == 1 {
			got = answers[0].Status
		}
		if sent := h.core.Pulls - attempts; got != c.want || (sent > 0) != (c.want == 0) {
			t.Errorf("%s: the second request is answered %d and sent %d times", c.name, got, sent)
		}
		h.core.Shutdown(h.now)
	}
}

// The ids of ended writes are bounded; no id is forgotten before its time, and then the oldest goes first.
func TestEndedWritesAreBounded(t *testing.T) {
	const maximum = 100
	w := newEndedWrites(maximum)
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	now := 0.0
	for n := range maximum {
		if w.full(0, now) {
			t.Fatalf("full with %d ids", n)
		}
		w.add(id(n), now)
		now++
	}
	if !w.full(0, now) || !w.contains(id(0)) {
		t.Error("an id would be forgotten at once")
	}
	now = endedWriteMinimum
	for n := maximum; n < 10*maximum; n++ {
		if w.full(0, now) {
			t.Fatalf("full at %.0f ms with the oldest of %d", now, n-maximum)
		}
		w.add(id(n), now)
		if w.contains(id(n-maximum)) || !w.contains(id(n-maximum+1)) || len(w.ids) != maximum || w.count != maximum {
			t.Fatalf("after id %d: %d ids, %d in order", n, len(w.ids), w.count)
		}
		now += endedWriteMinimum / maximum
	}
	if now += endedWriteKept; w.full(0, now) {
		t.Error("full of ids whose time is over")
	}
	if w.add(id(7), now); w.count != 1 {
		t.Errorf("%d ids are left, want one", w.count)
	}
}
