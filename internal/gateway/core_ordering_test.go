package gateway

import (
	"fmt"
	"strings"
	"testing"

	"poppymill/internal/channel"
	"poppymill/router"
)

// A pull that is not written yet when its download ends is never sent, even if sent pulls must not be cancelled. The
// harness detects commands that reach a node after the end.
func TestNothingSentAfterEnd(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"the client aborts it": func(h *harness) {
			h.core.Handle(RequestAborted{Client: h.clients[0], ID: 1, At: h.now})
		},
		"the client closes": func(h *harness) {
			h.requests["0000000000000001"].gone = true
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
		},
		"the process ends": func(h *harness) { h.core.Shutdown(h.now) },
		"its expiry":       func(h *harness) { h.core.Advance(h.now + 500) },
	} {
		c := testConfig(t)
		c.CancelPulls, c.RouterSettings["call off"] = false, false
		h := newHarnessWithConfig(t, c)
		h.sendRequest(h.clients[0], "video", 1, 500)
		if len(h.wires) != 1 || len(h.wires[0].queue) != 1 {
			t.Fatalf("%s: no pull is queued", name)
		}
		end(h)
		h.wires[0].deliver()
		h.now += 10_000
		h.core.Advance(h.now)
		h.checkSettled()
		for _, text := range h.faults {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// A repeat that may only be sent within a window is taken back at the end of the window if its connection is not up by
// then, and the router is told that it never ran. A repeat that was written continues.
func TestSendWindow(t *testing.T) {
	for _, written := range []bool{false, true} {
		h := newHarness(t)
		h.sendRequest(h.clients[0], "video", 1, 500)
		d := h.core.downloads["0000000000000001"]
		first := d.pulls[0]
		h.core.sendPull(router.Pull{ID: d.id, Node: first.node, Source: first.source, Timeout: 400, SendWithin: 100})
		p := d.pulls[1]
		if written {
			h.wires[len(h.wires)-1].deliver()
		}
		h.core.Advance(h.now + 99)
		if p.cachePull == nil {
			t.Errorf("written %t: ended before its window", written)
		}
		h.core.Advance(h.now + 100)
		if over := p.cachePull == nil; over == written {
			t.Errorf("written %t: ended %t", written, over)
		}
		h.core.Advance(h.now + 10_000)
		if n := len(h.core.downloads); n > 0 {
			t.Errorf("written %t: %d downloads are left over", written, n)
		}
		for _, tm := range h.core.timers {
			if tm.sendDeadline != nil {
				t.Errorf("written %t: a timer of an ended pull is left over", written)
			}
		}
	}
}

// In whatever order node lists arrive, a pull is sent only to a node of the newest list, at the address given there and
// on a connection to the process given there. The harness detects commands that reach a node that is draining or gone.
func TestNodeListOrder(t *testing.T) {
	c := testConfig(t)
	nodes := c.Known[0].Nodes
	sendList := func(h *harness, scope router.Scope, list ...channel.Node) {
		if scope != router.ListChanges {
			for _, n := range nodes {
				h.notRunning[n.Node] = true
			}
		}
		for _, n := range list {
			h.notRunning[n.Node] = n.State != router.Running
		}
		h.core.Handle(ChannelEvent{News: channel.Event{Scope: scope, Nodes: list}, At: h.now})
	}
	withState := func(n channel.Node, s router.State) channel.Node {
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
	for name, sendLists := range map[string]func(h *harness){
		"a drain, then a whole list without it": func(h *harness) {
			sendList(h, router.ListChanges, withState(a, router.Draining))
			sendList(h, router.FullList, append([]channel.Node{b}, rest...)...)
		},
		"a whole list, then a drain that had been overtaken": func(h *harness) {
			sendList(h, router.FullList, append([]channel.Node{a, b}, rest...)...)
			sendList(h, router.ListChanges, withState(a, router.Draining))
		},
		"a whole list that is empty": func(h *harness) { sendList(h, router.FullList) },
		"gone, and back at another address": func(h *harness) {
			sendList(h, router.ListChanges, withState(a, router.Gone))
			other := a
			other.Address, other.StartedAt = "127.0.0.1:5999", h.now
			sendList(h, router.ListChanges, other, withState(b, router.Gone))
		},
		"a new process at the same address": func(h *harness) {
			other := a
			other.StartedAt = h.now
			sendList(h, router.ListChanges, other, withState(b, router.Draining))
		},
		"a new cache at the address of one that has gone": func(h *harness) {
			other := a
			other.Node = "edge-9"
			sendList(h, router.ListChanges, withState(a, router.Gone), other, withState(b, router.Gone))
			h.notRunning[a.Node] = false // the harness names nodes by address, and this one now belongs to the new cache
		},
	} {
		h := newHarnessWithConfig(t, testConfig(t))
		for i := range 6 {
			h.sendRequest(h.clients[0], "video", i, 2000)
		}
		other := strings.Contains(name, "address") // a process is replaced: keep its connections idle, so that they could be reused
		for _, w := range h.wires {
			for w.deliver(); other && len(w.open) > 0; {
				h.reply(w, 0, "DONE")
			}
			if !other {
				break // the other pulls stay queued
			}
		}
		before := len(h.wires)
		sendLists(h)
		for i := range 6 {
			h.sendRequest(h.clients[1], "video", 10+i, 2000)
		}
		for _, w := range h.wires {
			w.deliver()
		}
		if other {
			for _, w := range h.wires[:before] {
				for _, id := range w.open {
					if req := h.requests[id]; req.client == h.clients[1] {
						t.Errorf("%s: %s was sent on a connection to the previous process", name, id)
					}
				}
			}
		}
		if name == "a whole list that is empty" {
			for n := range 6 {
				if got := h.statuses(fmt.Sprintf("%016x", 7+n)); got != "" && got != "503" {
					t.Errorf("%s: answered %s", name, got)
				}
			}
		}
		h.now += 10_000
		h.core.Advance(h.now)
		for _, w := range h.wires {
			for len(w.open) > 0 && !w.broken {
				h.reply(w, 0, "DONE")
			}
		}
		h.checkSettled()
		for _, text := range h.faults {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// A gateway applies the state known at its start: a past purge limits the age in its first pull, and a drained node gets
// no pull.
func TestStartsFromKnownState(t *testing.T) {
	c := testConfig(t)
	drained := c.Known[0].Nodes[0]
	drained.State = router.Draining
	purge := channel.Event{Purge: true, PurgeTime: 1e12 - 700}
	purge.PurgeScope.Object = fmt.Sprintf("%016x", 3)
	c.Known = append(c.Known, channel.Event{Nodes: []channel.Node{drained}}, purge)
	h := newHarnessWithConfig(t, c)
	h.notRunning[drained.Node] = true
	for i := range 8 {
		h.sendRequest(h.clients[0], "video", i, 500)
	}
	limits := 0
	for _, d := range h.core.downloads {
		if strings.Contains(d.pulls[0].cachePull.Fields, "agelim=") {
			if limits++; d.object != purge.PurgeScope.Object || d.pulls[0].cachePull.MaxAge > 700 {
				t.Errorf("%s: %s", d.object, d.pulls[0].cachePull.Fields)
			}
		}
	}
	if limits != 1 {
		t.Errorf("%d pulls have a limit", limits)
	}
	for _, w := range h.wires {
		w.deliver()
	}
	for _, text := range h.faults {
		t.Error(text)
	}
}
