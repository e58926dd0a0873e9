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

// A cache is filled ahead with what it is asked for most, a few at a time, by downloads that nobody gets; how many were filled and how
// many found no room is told once.
func TestAhead(t *testing.T) {
	w := newWorld(t)
	for i := range 40 { // what is asked for
		w.ask(w.clients[i%3], "video", i, 3000)
		for range 3 {
			for _, l := range w.lines {
				l.deliver()
			}
			w.now += 20
			w.core.Ring(w.now)
			for _, l := range w.lines {
				for len(l.open) > 0 {
					w.answer(l, 0, "DONE")
				}
			}
		}
	}
	if len(w.core.router.Hot("edge-1", 100)) < 5 {
		t.Fatalf("hot at edge-1: %v, %+v", w.core.router.Hot("edge-1", 100), w.core.Counters)
	}
	told, filled, refused := 0, 0, 0
	w.core.Handle(Ahead{Node: "edge-1", Most: 10, At: w.now, Done: func(f, r int) { told, filled, refused = told+1, f, r }})
	for range 200 {
		if w.core.open > aheadMost {
			t.Fatalf("%d are under way", w.core.open)
		}
		for _, l := range w.lines {
			for range l.queue {
				if l.node != "edge-1" {
					t.Errorf("sent to %s", l.node)
				}
			}
			l.fill()
		}
		w.now++
		w.core.Ring(w.now)
	}
	if told != 1 || filled == 0 || filled+refused > 10 {
		t.Errorf("told %d times, %d filled, %d refused", told, filled, refused)
	}
	if len(w.core.clients) != 0 || w.core.open != 0 {
		t.Errorf("%d are left open", w.core.open)
	}
	w.core.Handle(Ahead{Node: "no such", Most: 10, At: w.now, Done: func(f, r int) { told, filled, refused = told+1, f, r }})
	if told != 2 || filled+refused != 0 {
		t.Errorf("of a node that is not there %d, %d were told", filled, refused)
	}
	if WarmEnd(0, 3) != owner.NeverRan || WarmEnd(1, 3) != owner.Ran || WarmEnd(0, 0) != owner.Ran {
		t.Error("how a step ended")
	}
}

// fill delivers what is queued and answers all of it, whoever asked.
func (l *line) fill() {
	queue := l.queue
	l.queue = nil
	for _, i := range queue {
		i.Take()
		id := item(i)
		i.Wrote(true)
		if id != "" {
			l.w.core.Handle(answered(l, id))
		}
	}
}

// item is the id of a GET, or empty.
func item(i *caches.Item) string {
	words := strings.Split(string(bytes.Join(i.Pieces(nil), nil)), "\r\n")
	if words[2] != "GET" {
		return ""
	}
	return words[4]
}

func answered(l *line, id string) caches.Answered {
	r := caches.Reply{Tag: id, Word: "DONE", Fields: fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%.0f,gauges=util:0.5", l.w.now), Body: buffer.NewChain(l.w.buffers)}
	r.Body.Append([]byte("body"))
	return caches.Answered{Wire: l, Reply: r, At: l.w.now}
}
