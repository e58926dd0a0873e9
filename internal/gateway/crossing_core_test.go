package gateway

import (
	"fmt"
	"strings"
	"testing"

	"poppymill/internal/channel"
	"poppymill/router"
)

// What waits to be written when its download ends is never sent, also where nothing may be called off: the model finds what comes to
// a node after the end.
func TestNothingAfterTheEnd(t *testing.T) {
	for name, end := range map[string]func(w *plain){
		"the client gives it up": func(w *plain) {
			w.core.Handle(Aborted{Client: w.clients[0], ID: 1, At: w.now})
		},
		"the client closes": func(w *plain) {
			w.asked["0000000000000001"].left = true
			w.core.Handle(Closed{Client: w.clients[0], At: w.now})
		},
		"the process ends": func(w *plain) { w.core.End(w.now) },
		"its expiry":       func(w *plain) { w.core.Ring(w.now + 500) },
	} {
		c := config(t)
		c.CallOff, c.Footprint["call off"] = false, false
		w := newWorldOf(t, c)
		w.ask(w.clients[0], "video", 1, 500)
		if len(w.lines) != 1 || len(w.lines[0].queue) != 1 {
			t.Fatalf("%s: nothing waits to be written", name)
		}
		end(w)
		w.lines[0].deliver()
		w.now += 10_000
		w.core.Ring(w.now)
		w.settled()
		for _, text := range w.wrong {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// A repeat that may only go out within a window is taken back at its end, if its connection is not up by then, and the router hears
// that it never ran; one that is written goes on.
func TestWithinItsWindow(t *testing.T) {
	for _, written := range []bool{false, true} {
		w := newWorld(t)
		w.ask(w.clients[0], "video", 1, 500)
		d := w.core.downloads["0000000000000001"]
		first := d.pulls[0]
		w.core.pull(router.Pull{ID: d.id, Node: first.node, Source: first.source, Timeout: 400, Within: 100})
		p := d.pulls[1]
		if written {
			w.lines[len(w.lines)-1].deliver()
		}
		w.core.Ring(w.now + 99)
		if p.wire == nil {
			t.Errorf("written %t: it is over before its window is", written)
		}
		w.core.Ring(w.now + 100)
		if over := p.wire == nil; over == written {
			t.Errorf("written %t: over %t", written, over)
		}
		w.core.Ring(w.now + 10_000)
		if n := len(w.core.downloads); n > 0 {
			t.Errorf("written %t: %d downloads are left over", written, n)
		}
		for _, x := range w.core.timers {
			if x.within != nil {
				t.Errorf("written %t: a timer holds on to what has ended", written)
			}
		}
	}
}

// Whatever order lists come in, a pull goes only to what the newest word names, at the address that it names, and by a connection to the
// process that it names: the model finds what comes to a node that drains or is gone.
func TestListsThatCross(t *testing.T) {
	c := config(t)
	nodes := c.Known[0].Nodes
	told := func(w *plain, scope router.Scope, list ...channel.Node) {
		if scope != router.Changes {
			for _, n := range nodes {
				w.shut[n.Node] = true
			}
		}
		for _, n := range list {
			w.shut[n.Node] = n.State != router.Running
		}
		w.core.Handle(Told{News: channel.News{Scope: scope, Nodes: list}, At: w.now})
	}
	state := func(n channel.Node, s router.State) channel.Node {
		n.State = s
		return n
	}
	edges := []int{}
	for i, n := range nodes {
		if n.Kind == "box" {
			edges = append(edges, i)
		}
	}
	a, b, rest := nodes[edges[0]], nodes[edges[1]], nodes[edges[1]+1:]
	for name, lists := range map[string]func(w *plain){
		"a drain, then a whole list without it": func(w *plain) {
			told(w, router.Changes, state(a, router.Draining))
			told(w, router.Whole, append([]channel.Node{b}, rest...)...)
		},
		"a whole list, then a drain that had been overtaken": func(w *plain) {
			told(w, router.Whole, append([]channel.Node{a, b}, rest...)...)
			told(w, router.Changes, state(a, router.Draining))
		},
		"a whole list that is empty": func(w *plain) { told(w, router.Whole) },
		"gone, and back at another address": func(w *plain) {
			told(w, router.Changes, state(a, router.Gone))
			other := a
			other.Address, other.Booted = "127.0.0.1:5999", w.now
			told(w, router.Changes, other, state(b, router.Gone))
		},
		"a new process at the same address": func(w *plain) {
			other := a
			other.Booted = w.now
			told(w, router.Changes, other, state(b, router.Draining))
		},
		"a new cache at the address of one that has gone": func(w *plain) {
			other := a
			other.Node = "edge-9"
			told(w, router.Changes, state(a, router.Gone), other, state(b, router.Gone))
			w.shut[a.Node] = false // the model goes by addresses, and this one is the newcomer's
		},
	} {
		w := newWorldOf(t, config(t))
		for i := range 6 {
			w.ask(w.clients[0], "video", i, 2000)
		}
		other := strings.Contains(name, "address") // of processes: their connections rest, so that one would be used again
		for _, l := range w.lines {
			for l.deliver(); other && len(l.open) > 0; {
				w.answer(l, 0, "DONE")
			}
			if !other {
				break // the rest wait
			}
		}
		before := len(w.lines)
		lists(w)
		for i := range 6 {
			w.ask(w.clients[1], "video", 10+i, 2000)
		}
		for _, l := range w.lines {
			l.deliver()
		}
		if other {
			for _, l := range w.lines[:before] {
				for _, id := range l.open {
					if a := w.asked[id]; a.client == w.clients[1] {
						t.Errorf("%s: %s goes by a connection to the process before", name, id)
					}
				}
			}
		}
		if name == "a whole list that is empty" {
			for n := range 6 {
				if got := w.told(fmt.Sprintf("%016x", 7+n)); got != "" && got != "503" {
					t.Errorf("%s: told %s", name, got)
				}
			}
		}
		w.now += 10_000
		w.core.Ring(w.now)
		for _, l := range w.lines {
			for len(l.open) > 0 && !l.gone {
				w.answer(l, 0, "DONE")
			}
		}
		w.settled()
		for _, text := range w.wrong {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// A gateway that starts holds to what is told of the past: a purge is in its first pull's limit, a drain keeps its first pull away.
func TestStartsWithWhatIsKnown(t *testing.T) {
	c := config(t)
	drained := c.Known[0].Nodes[0]
	drained.State = router.Draining
	purge := channel.News{Purge: true, PurgeTime: 1e12 - 700}
	purge.Purged.Object = fmt.Sprintf("%016x", 3)
	c.Known = append(c.Known, channel.News{Nodes: []channel.Node{drained}}, purge)
	w := newWorldOf(t, c)
	w.shut[drained.Node] = true
	for i := range 8 {
		w.ask(w.clients[0], "video", i, 500)
	}
	limits := 0
	for _, d := range w.core.downloads {
		if strings.Contains(d.pulls[0].wire.Fields, "agelim=") {
			if limits++; d.object != purge.Purged.Object || d.pulls[0].wire.MaxAge > 700 {
				t.Errorf("%s: %s", d.object, d.pulls[0].wire.Fields)
			}
		}
	}
	if limits != 1 {
		t.Errorf("%d pulls have a limit", limits)
	}
	for _, l := range w.lines {
		l.deliver()
	}
	for _, text := range w.wrong {
		t.Error(text)
	}
}
