package maintenance

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poppymill/internal/codec"
	"poppymill/internal/prng"
)

// apply encodes and applies a command.
func (b *State) apply(t interface{ Fatalf(string, ...any) }, kind string, content any) any {
	return b.Apply(1, kind, codec.Encode(content))
}

// testInventory is a site of two clubs. Each has a machine with a gateway and an edge cache, one with two edge caches and one with only a
// gateway; the hubs are on machines of their own.
func testInventory(l Limits) Inventory {
	i := Inventory{Version: 1, Limits: l}
	for _, club := range []string{"amber", "birch"} {
		i.Machines = append(i.Machines,
			Machine{Name: club + "-1", Club: club, Zone: "z1", Gateways: []string{"g1" + club}, Boxes: []string{"e1" + club}, Capacity: 10},
			Machine{Name: club + "-2", Club: club, Zone: "z2", Boxes: []string{"e2" + club, "e3" + club}, Capacity: 20},
			Machine{Name: club + "-3", Club: club, Zone: "z3", Gateways: []string{"g2" + club}},
			Machine{Name: club + "-hub", Club: "hubs", Zone: club, Hubs: []string{"h" + club}})
	}
	return i
}

// newTestState returns a state with that inventory and all its gateways live.
func newTestState(t interface{ Fatalf(string, ...any) }, l Limits) *State {
	b := New()
	if r := b.apply(t, SetInventory, testInventory(l)); r != nil {
		t.Fatalf("inventory: %v", r)
	}
	for n, m := range b.Inventory.Machines {
		for _, g := range m.Gateways {
			b.SetGateway(g, uint64(n+1), true)
		}
	}
	return b
}

// countOut returns the machines that count as out, and those of them that no revoked grant could keep in. It computes them independently
// of the code under test, to check the limits against it.
func countOut(b *State) (out, irrevocable []Machine) {
	for _, m := range b.Inventory.Machines {
		lost := false
		for _, g := range m.Gateways {
			if x, ok := b.Gateways[g]; ok && !x.Live {
				lost = true
			}
		}
		for _, p := range append(append([]string{}, m.Boxes...), m.Hubs...) {
			lost = lost || b.Lost[p]
		}
		w := b.Windows[m.Name]
		if lost || w != nil && w.Stage != Queued {
			out = append(out, m)
		}
		if lost || w != nil && w.Stage != Queued && w.Stage != Granted && w.Stage != Draining {
			irrevocable = append(irrevocable, m)
		}
	}
	return out, irrevocable
}

// exceededLimit returns the limit that these machines exceed if they are all out, or "".
func exceededLimit(b *State, out []Machine) string {
	l, clubs, zones, boxes, all := b.Inventory.Limits, map[string]int{}, map[string]int{}, 0, 0
	for _, m := range b.Inventory.Machines {
		all += len(m.Boxes)
	}
	for _, m := range out {
		clubs[m.Club]++
		zones[m.Zone]++
		boxes += len(m.Boxes)
	}
	if l.MaxMachines > 0 && len(out) > l.MaxMachines {
		return "most"
	}
	for _, n := range clubs {
		if l.PerClub > 0 && n > l.PerClub {
			return "club"
		}
	}
	for _, n := range zones {
		if l.PerZone > 0 && n > l.PerZone {
			return "zone"
		}
	}
	if l.Boxes > 0 && float64(boxes) > l.Boxes*float64(all) {
		return "boxes"
	}
	return ""
}

// Applies random commands and losses in any order, repeated or late, and checks after each one: the limits hold over planned outages and
// losses together, and no grant would exceed one; stages change only by the transitions of the table; a machine leaves only under its
// current grant and with the acknowledgement of every live gateway; tokens increase; saved states load back to equal bytes.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{MaxMachines: rapid.IntRange(0, 4).Draw(t, "most"), PerClub: rapid.IntRange(0, 2).Draw(t, "club"), PerZone: rapid.IntRange(0, 2).Draw(t, "zone"),
			Boxes: rapid.SampledFrom([]float64{0, 0.4, 0.7}).Draw(t, "boxes"), BeginTimeout: 50, DrainTimeout: 100, WarmTimeout: 100, Overdue: 2, Grace: 30, MissingAck: MissingAckPolicy(rapid.IntRange(0, 1).Draw(t, "silent"))}
		b := newTestState(t, l)
		names := []string{}
		for _, m := range b.Inventory.Machines {
			names = append(names, m.Name)
		}
		gateways := []string{"g1amber", "g2amber", "g1birch", "g2birch"}
		inc, now, last := uint64(10), 0.0, uint64(0)
		for n := range rapid.IntRange(1, 120).Draw(t, "commands") {
			now += float64(rapid.IntRange(0, 30).Draw(t, "ms"))
			before := map[string]Window{}
			for name, w := range b.Windows {
				c := *w
				c.Acks, c.Warm = maps.Clone(w.Acks), maps.Clone(w.Warm)
				before[name] = c
			}
			outBefore, _ := countOut(b)
			name := rapid.SampledFrom(names).Draw(t, "machine")
			o := CommandData{At: now, Machine: name, Token: uint64(rapid.IntRange(0, int(b.LastToken)+1).Draw(t, "token"))}
			if w := b.Windows[name]; w != nil && rapid.Bool().Draw(t, "current token") {
				o.Token = w.Token
			}
			kind := rapid.SampledFrom([]string{Submit, Submit, Grant, Grant, Grant, Drain, Drain, Ack, Ack, Ack, Leave, Leave, Return, ReportWarm, FinishWarming, Withdraw, Cancel, Tick, SetLost, "member", "next", "next", "next", "next", "next", "next", "next", "next", "next", "next"}).Draw(t, "command")
			if kind == "next" { // the next command in that machine's lifecycle
				w := b.Windows[name]
				if kind = Submit; w != nil {
					kind = [...]string{Submit, Grant, Drain, Ack, Return, Return, rapid.SampledFrom([]string{ReportWarm, ReportWarm, FinishWarming}).Draw(t, "warm")}[w.Stage]
					o.Token = w.Token
					if w.Stage == Draining && len(b.PendingAcks(w, b.Machine(name))) == 0 {
						kind = Leave
					}
				}
			}
			switch kind {
			case Submit:
				o.Request = &Request{ID: "r" + name + fmt.Sprint(n/40), Machine: name, Duration: 60}
			case Cancel:
				o.ID = "r" + name + fmt.Sprint(n/40)
			case Ack, ReportWarm:
				o.Gateway = rapid.SampledFrom(gateways).Draw(t, "from")
				if w := b.Windows[name]; w != nil && w.Stage == Draining && rapid.Bool().Draw(t, "one with a pending ack") {
					if pending := b.PendingAcks(w, b.Machine(name)); len(pending) > 0 {
						o.Gateway = pending[0]
					}
				}
			case SetLost:
				o.Names = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"e1amber", "e2amber", "e1birch", "hamber"}), 0, 2, rapid.ID[string]).Draw(t, "lost")
			}
			if kind == "member" {
				g := rapid.SampledFrom(gateways).Draw(t, "gateway")
				x := b.Gateways[g]
				if inc++; x.Live {
					b.SetGateway(g, x.Incarnation, false)
				} else {
					b.SetGateway(g, inc, true)
				}
			} else {
				b.apply(t, kind, o)
			}
			out, irrevocable := countOut(b)
			if limit := exceededLimit(b, out); limit != "" && len(out) > len(irrevocable) {
				t.Fatalf("%d: %s exceeds %s with %d out, %d of which could still stay in", n, kind, limit, len(out), len(out)-len(irrevocable))
			}
			if kind == Grant && len(out) > len(outBefore) && exceededLimit(b, out) != "" {
				t.Fatalf("%d: granted beyond limit %s", n, exceededLimit(b, out))
			}
			for name, w := range b.Windows {
				old, was := before[name]
				from := InService
				if was {
					from = old.Stage
				}
				if w.Stage != from && !slices.ContainsFunc(Transitions, func(s Transition) bool { return s.From == from && s.To == w.Stage }) {
					t.Fatalf("%d: %s moves %s from %v to %v", n, kind, name, from, w.Stage)
				}
				if w.Stage == OutOfService && from == Draining {
					if o.Token != old.Token || o.Token == 0 {
						t.Fatalf("%d: out under token %d, want %d", n, o.Token, old.Token)
					}
					for _, g := range gateways {
						x := b.Gateways[g]
						if !old.Acks[g] && !slices.Contains(b.Machine(name).Gateways, g) && (x.Live || now < x.Since+l.Grace) && !slices.Contains(w.MissingAcks, g) {
							t.Fatalf("%d: %s is out without an ack from %s, and does not record it", n, name, g)
						}
					}
					if len(w.MissingAcks) > 0 && (l.MissingAck != ProceedWithoutAck || now < old.Since+l.DrainTimeout) {
						t.Fatalf("%d: %s is out without acks from %v", n, name, w.MissingAcks)
					}
				}
				if w.Token > b.LastToken || was && w.Stage == Granted && from == Queued && w.Token <= last {
					t.Fatalf("%d: token %d after %d", n, w.Token, last)
				}
			}
			last = b.LastToken
			for name, old := range before {
				if b.Windows[name] == nil && kind == FinishWarming { // more than half of the club's live gateways must have reported it warm
					live, warm := 0, 0
					for _, g := range gateways {
						if strings.HasSuffix(g, b.Machine(name).Club) && b.Gateways[g].Live {
							if live++; old.Warm[g] {
								warm++
							}
						}
					}
					if 2*warm <= live {
						t.Fatalf("%d: %s is back in service with %d of %d gateways reporting it warm", n, name, warm, live)
					}
				}
				if b.Windows[name] == nil && !slices.ContainsFunc(Transitions, func(s Transition) bool { return s.From == old.Stage && s.To == InService }) {
					t.Fatalf("%d: %s puts %s back in service from %v", n, kind, name, old.Stage)
				}
			}
			loaded := New()
			if err := loaded.Load(b.Save()); err != nil || !bytes.Equal(loaded.Save(), b.Save()) {
				t.Fatalf("loaded state differs: %v", err)
			}
		}
	})
}

// Takes one machine through its whole lifecycle, with every command that is refused on the way.
func TestMachineLifecycle(t *testing.T) {
	l := Limits{MaxMachines: 1, BeginTimeout: 1000, DrainTimeout: 500, WarmTimeout: 300, Overdue: 2, Grace: 100}
	b := newTestState(t, l)
	for i, c := range []struct {
		kind  string
		o     CommandData
		stage Stage
		err   error
	}{
		{Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "nowhere", Duration: 5}}, 0, ErrUnknownMachine},
		{Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "amber-1", Duration: 60, Deadline: 50}}, 0, ErrDeadline},
		{Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "amber-1", Duration: 0}}, 0, ErrMalformed},
		{Grant, CommandData{Machine: "amber-1"}, 0, ErrUnknownMachine},
		{Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "amber-1", Duration: 1000, NotBefore: 100}}, Queued, nil},
		{Submit, CommandData{At: 11, Request: &Request{ID: "a", Machine: "amber-1", Duration: 1000, NotBefore: 100}}, Queued, nil},
		{Submit, CommandData{At: 11, Request: &Request{ID: "b", Machine: "amber-1", Duration: 1000}}, 0, ErrConflict},
		{Submit, CommandData{At: 11, Request: &Request{ID: "a", Machine: "amber-2", Duration: 1000}}, 0, ErrConflict},
		{Grant, CommandData{At: 20, Machine: "amber-1"}, 0, ErrWrongStage}, // not before 100
		{Grant, CommandData{At: 100, Machine: "amber-1"}, Granted, nil},
		{Submit, CommandData{At: 100, Request: &Request{ID: "c", Machine: "birch-1", Duration: 50}}, Queued, nil},
		{Grant, CommandData{At: 100, Machine: "birch-1"}, 0, Refused{}},
		{Leave, CommandData{At: 110, Machine: "amber-1", Token: 1}, 0, ErrWrongStage},
		{Drain, CommandData{At: 110, Machine: "amber-1", Token: 7}, 0, ErrStaleGrant},
		{Withdraw, CommandData{At: 120, Machine: "amber-1"}, Queued, nil},
		{Drain, CommandData{At: 130, Machine: "amber-1", Token: 1}, 0, ErrStaleGrant}, // its grant was withdrawn
		{Grant, CommandData{At: 140, Machine: "amber-1"}, Granted, nil},
		{Tick, CommandData{At: 1140}, Queued, nil}, // the drain did not start in time
		{Grant, CommandData{At: 1150, Machine: "amber-1"}, Granted, nil},
		{Drain, CommandData{At: 1160, Machine: "amber-1", Token: 3}, Draining, nil},
		{Leave, CommandData{At: 1170, Machine: "amber-1", Token: 3}, 0, ErrPendingAcks},
		{Ack, CommandData{At: 1170, Machine: "amber-1", Token: 3, Gateway: "g2amber"}, Draining, nil},
		{Ack, CommandData{At: 1170, Machine: "amber-1", Token: 3, Gateway: "g1birch"}, Draining, nil},
		{Leave, CommandData{At: 1170, Machine: "amber-1", Token: 3}, 0, ErrPendingAcks},
		{Ack, CommandData{At: 1180, Machine: "amber-1", Token: 3, Gateway: "g2birch"}, Draining, nil},
		{Leave, CommandData{At: 1180, Machine: "amber-1", Token: 2}, 0, ErrStaleGrant},
		{Leave, CommandData{At: 1180, Machine: "amber-1", Token: 3}, OutOfService, nil},
		{Cancel, CommandData{At: 1190, ID: "a"}, 0, ErrWrongStage},
		{Tick, CommandData{At: 3000}, OutOfService, nil},
		{Tick, CommandData{At: 3180}, Overdue, nil},
		{Return, CommandData{At: 3200, Machine: "amber-1", Token: 3}, Warming, nil},
		{Grant, CommandData{At: 3300, Machine: "birch-1"}, 0, Refused{}},
		{Tick, CommandData{At: 3400}, Warming, nil},
		{Tick, CommandData{At: 3500}, InService, nil},
		{Grant, CommandData{At: 3500, Machine: "birch-1"}, Granted, nil},
		{Cancel, CommandData{At: 3600, ID: "c"}, InService, nil},
		{Cancel, CommandData{At: 3600, ID: "c"}, InService, nil},
		{Cancel, CommandData{At: 3600, ID: "x"}, 0, ErrUnknownMachine},
		{Submit, CommandData{At: 3700, Request: &Request{ID: "c", Machine: "birch-1", Duration: 50}}, InService, nil}, // a repeated request that has finished
	} {
		got := b.apply(t, c.kind, c.o)
		err, _ := got.(error)
		var refused Refused
		if _, want := c.err.(Refused); want != errors.As(err, &refused) || !want && err != c.err {
			t.Fatalf("%d: %s %+v: %v, want %v", i, c.kind, c.o, err, c.err)
		}
		name := c.o.Machine
		if c.o.Request != nil {
			name = c.o.Request.Machine
		} else if name == "" {
			name = "amber-1"
		}
		stage := InService
		if w := b.Windows[name]; w != nil {
			stage = w.Stage
		}
		if c.err == nil && stage != c.stage {
			t.Fatalf("%d: %s: %s is %v, want %v", i, c.kind, name, stage, c.stage)
		}
	}
	if len(b.Ended) != 2 || b.Ended[0].Outcome != "done" || b.Ended[1].Outcome != "cancelled" {
		t.Errorf("ended: %+v", b.Ended)
	}
}

// An agent starts the work once per grant, however often the agent itself restarts, and never under another grant.
func TestAgentState(t *testing.T) {
	for _, c := range []struct {
		k    AgentState
		w    *Window
		want Action
	}{
		{AgentState{}, nil, ActionWait}, {AgentState{}, &Window{Stage: Queued}, ActionWait}, {AgentState{}, &Window{Stage: Granted, Token: 3}, ActionDrain}, {AgentState{}, &Window{Stage: Draining, Token: 3}, ActionLeave},
		{AgentState{}, &Window{Stage: OutOfService, Token: 3}, ActionWork}, {AgentState{Token: 3, Phase: Started}, &Window{Stage: OutOfService, Token: 3}, ActionCheckReady}, {AgentState{Token: 3, Phase: Completed}, &Window{Stage: Overdue, Token: 3}, ActionCheckReady},
		{AgentState{Token: 3, Phase: Failed}, &Window{Stage: Overdue, Token: 3}, ActionWait}, {AgentState{Token: 3, Phase: Failed}, &Window{Stage: OutOfService, Token: 4}, ActionWork},
		{AgentState{Token: 3, Phase: Completed}, &Window{Stage: OutOfService, Token: 4}, ActionWork}, {AgentState{Token: 3, Phase: Completed}, &Window{Stage: Warming, Token: 3}, ActionWait},
		{AgentState{Token: 3, Phase: Completed}, nil, ActionDone}, {AgentState{Token: 3}, nil, ActionWait}, {AgentState{Token: 3, Phase: Started}, &Window{Stage: Draining, Token: 4}, ActionLeave},
	} {
		if got := c.k.Next(c.w); got != c.want {
			t.Errorf("%+v, %+v: %v, want %v", c.k, c.w, got, c.want)
		}
	}
}

// Grants from a replaced owner of the schedule are refused, as when that owner was paused and resumes late.
func TestOldSchedulerIsRefused(t *testing.T) {
	b := newTestState(t, Limits{})
	for _, m := range []string{"amber-1", "birch-1"} {
		b.apply(t, Submit, CommandData{At: 1, Request: &Request{ID: m, Machine: m, Duration: 100}})
	}
	if err, ok := b.apply(t, Grant, CommandData{At: 2, Machine: "amber-1", OwnerToken: 5}).(error); ok {
		t.Error(err)
	}
	if r := b.apply(t, Grant, CommandData{At: 2, Machine: "birch-1", OwnerToken: 4}); r != ErrStaleGrant {
		t.Errorf("granted under an older owner token: %v", r)
	}
}

// A machine waits for a gateway that was just lost until the grace period ends, as its requests may still be in flight. A live gateway that
// does not acknowledge holds up only that machine, for the configured drain time. An overdue machine keeps counting as out.
func TestGoWaitsForAcks(t *testing.T) {
	for _, policy := range []MissingAckPolicy{Requeue, ProceedWithoutAck} {
		b := newTestState(t, Limits{MaxMachines: 1, DrainTimeout: 500, Grace: 100, Overdue: 2, MissingAck: policy})
		for _, m := range []string{"amber-2", "birch-2"} {
			b.apply(t, Submit, CommandData{At: 1, Request: &Request{ID: m, Machine: m, Duration: 100}})
		}
		b.apply(t, Grant, CommandData{At: 2, Machine: "amber-2"})
		b.apply(t, Drain, CommandData{At: 10, Machine: "amber-2", Token: 1})
		for _, g := range []string{"g1amber", "g2amber"} {
			b.apply(t, Ack, CommandData{At: 10, Machine: "amber-2", Token: 1, Gateway: g})
		}
		b.Inventory.Limits.MaxMachines = 0 // losses count towards the limits, which another test covers
		b.SetGateway("g1birch", 5, false)
		leave := func(at float64) any { return b.apply(t, Leave, CommandData{At: at, Machine: "amber-2", Token: 1}) }
		if r := leave(50); r != ErrPendingAcks || len(b.PendingAcks(b.Windows["amber-2"], b.Machine("amber-2"))) != 2 {
			t.Errorf("%v: left within the grace period of a lost gateway: %v", policy, r)
		}
		if r := leave(120); r != ErrPendingAcks || len(b.PendingAcks(b.Windows["amber-2"], b.Machine("amber-2"))) != 1 {
			t.Errorf("%v: left without an ack from g2birch: %v", policy, r)
		}
		r := leave(510)
		b.apply(t, Tick, CommandData{At: 511})
		switch w := b.Windows["amber-2"]; {
		case policy == Requeue && (r != ErrPendingAcks || w.Stage != Queued):
			t.Errorf("not requeued: %v, %+v", r, w)
		case policy == ProceedWithoutAck && (w.Stage != OutOfService || fmt.Sprint(w.MissingAcks) != "[g2birch]"):
			t.Errorf("not out without the ack: %v, %+v", r, w)
		}
		if policy == ProceedWithoutAck {
			b.Inventory.Limits.MaxMachines = 2 // one machine is out, and another has lost its gateway
			if b.apply(t, Tick, CommandData{At: 800}); b.Windows["amber-2"].Stage != Overdue {
				t.Fatalf("%+v", b.Windows["amber-2"])
			}
			if r, _ := b.apply(t, Grant, CommandData{At: 801, Machine: "birch-2"}).(error); r == nil {
				t.Error("granted beyond the limit while a machine is overdue")
			}
		}
	}
}

// Guards against a machine that leaves while requests of a gateway lost a moment ago may still be on their way: the time of the
// log stood still until the request for that machine, and the loss was dated by it.
func TestLossBeforeFirstRequestIsWaitedFor(t *testing.T) {
	b := newTestState(t, Limits{MaxMachines: 1, DrainTimeout: 5000, Grace: 100})
	for _, g := range []string{"g1birch", "g2birch", "g1amber", "g2amber"} {
		b.SetGateway(g, b.Gateways[g].Incarnation, false)
	}
	b.Inventory.Limits.MaxMachines = 0 // losses count towards the limits, which another test covers
	b.apply(t, Submit, CommandData{At: 60_000, Request: &Request{ID: "r", Machine: "amber-2", Duration: 100}})
	b.apply(t, Tick, CommandData{At: 60_050})
	w, m := &Window{}, b.Machine("amber-2")
	if names := b.PendingAcks(w, m); len(names) != 4 {
		t.Errorf("50 ms after the losses: waits for %v, want all four", names)
	}
	b.apply(t, Tick, CommandData{At: 60_100})
	if names := b.PendingAcks(w, m); len(names) != 0 {
		t.Errorf("after the grace: waits for %v", names)
	}
}

// Each limit refuses what it names. Losses count towards the same limits and revoke grants of machines that are not out yet. A machine
// whose voters the quorum needs may not leave.
func TestLimits(t *testing.T) {
	ask := func(b *State, names ...string) {
		for _, n := range names {
			if err, ok := b.apply(t, Submit, CommandData{At: 1, Request: &Request{ID: n, Machine: n, Duration: 100}}).(error); ok {
				t.Fatalf("%s: %v", n, err)
			}
		}
	}
	for _, c := range []struct {
		l     Limits
		first string
		then  string
		why   string
		peak  float64
	}{
		{Limits{MaxMachines: 1}, "amber-1", "birch-1", "most: 1 of 1", 0}, {Limits{PerClub: 1}, "amber-2", "amber-1", "per_club: 1 of 1 are out at amber", 0},
		{Limits{PerZone: 1}, "amber-1", "birch-1", "per_zone: 1 of 1 are out in z1", 0}, {Limits{Boxes: 0.5}, "amber-2", "birch-2", "boxes: 2 of 6", 0},
		{Limits{Gateways: 0.3}, "amber-1", "birch-1", "gateways: 1 of 4", 0}, {Limits{}, "amber-1", "amber-3", "gateways: the last ones of amber", 0},
		{Limits{}, "amber-hub", "birch-hub", "hubs: the last ones", 0}, {Limits{Reserve: 0.5}, "amber-1", "amber-2", "reserve: what is left at amber carries 0", 5},
	} {
		b := newTestState(t, c.l)
		b.apply(t, SetPeak, CommandData{Club: "amber", Peak: c.peak})
		ask(b, c.first, c.then)
		if r, ok := b.apply(t, Grant, CommandData{At: 2, Machine: c.first}).(error); ok {
			t.Fatalf("%s: %v", c.first, r)
		}
		if r, _ := b.apply(t, Grant, CommandData{At: 2, Machine: c.then}).(error); r == nil || !strings.Contains(r.Error(), c.why) {
			t.Errorf("%+v: %s beside %s: %v, want %s", c.l, c.then, c.first, r, c.why)
		}
	}
	b := newTestState(t, Limits{MaxMachines: 2})
	ask(b, "amber-1", "birch-2")
	b.apply(t, Grant, CommandData{At: 2, Machine: "amber-1"})
	b.apply(t, Grant, CommandData{At: 2, Machine: "birch-2"})
	b.apply(t, Drain, CommandData{At: 2, Machine: "amber-1", Token: 1})
	b.SetGateway("g2birch", 3, false)
	if b.Windows["amber-1"].Stage != Draining || b.Windows["birch-2"].Stage != Queued {
		t.Errorf("after a loss: %v and %v", b.Windows["amber-1"].Stage, b.Windows["birch-2"].Stage)
	}
	b.apply(t, SetLost, CommandData{At: 3, Names: []string{"hbirch"}})
	if b.Windows["amber-1"].Stage != Queued || !strings.Contains(b.Windows["amber-1"].Reason, "a loss: most") {
		t.Errorf("after two losses: %+v", b.Windows["amber-1"])
	}
	b = newTestState(t, Limits{})
	b.apply(t, SetVoters, CommandData{Names: []string{"g1amber", "g1birch", "g2birch"}})
	ask(b, "amber-1")
	b.apply(t, Grant, CommandData{At: 2, Machine: "amber-1"})
	b.apply(t, Drain, CommandData{At: 2, Machine: "amber-1", Token: 1})
	for _, g := range []string{"g2amber", "g1birch", "g2birch"} {
		b.apply(t, Ack, CommandData{At: 2, Machine: "amber-1", Token: 1, Gateway: g})
	}
	if r, _ := b.apply(t, Leave, CommandData{At: 3, Machine: "amber-1", Token: 1}).(error); r == nil || !strings.Contains(r.Error(), "votes: 2 of 3") {
		t.Errorf("one of three voters left: %v", r)
	}
	b.apply(t, SetVoters, CommandData{Names: []string{"g2amber", "g1birch", "g2birch"}}) // another gateway took over its vote
	if r, ok := b.apply(t, Leave, CommandData{At: 3, Machine: "amber-1", Token: 1}).(error); ok {
		t.Errorf("refused although it no longer votes: %v", r)
	}
}

// Errors in an inventory name the machine, and an inventory never removes a machine that has been granted or is out.
func TestInventory(t *testing.T) {
	b := newTestState(t, Limits{})
	for _, c := range []struct {
		change func(*Inventory)
		want   string
	}{
		{func(i *Inventory) { i.Machines[1].Name = "amber-1" }, `machine "amber-1": without a name, or there twice`},
		{func(i *Inventory) { i.Machines[1].Boxes = []string{"e1amber"} }, `machine "amber-2": e1amber stands on "amber-1" as well`},
		{func(i *Inventory) { i.Machines[0].Capacity = -1 }, "carries: -1"}, {func(i *Inventory) { i.Limits.MaxMachines = 3 }, "says something else"},
		{func(i *Inventory) { i.Version, i.Machines = 2, i.Machines[1:] }, "a machine that is not in is missing"}, {func(i *Inventory) { i.Version = 0 }, "says something else"},
		{func(i *Inventory) { i.Version, i.Machines = 3, i.Machines[:7] }, ""}, {func(i *Inventory) {}, "says something else"},
	} {
		if b.Windows["amber-1"] == nil {
			b.apply(t, Submit, CommandData{Request: &Request{ID: "x", Machine: "amber-1", Duration: 5}})
			b.apply(t, Grant, CommandData{Machine: "amber-1"})
		}
		i := testInventory(Limits{})
		c.change(&i)
		if r, _ := b.apply(t, SetInventory, i).(error); (r == nil) != (c.want == "") || r != nil && !strings.Contains(r.Error(), c.want) {
			t.Errorf("%v, want %q", r, c.want)
		}
	}
}

// largeFleet is a state with n machines in clubs of ten and a request for each of them.
func largeFleet(n int) *State {
	b, c := New(), prng.Source(5)
	i := Inventory{Version: 1, Limits: Limits{MaxMachines: 12, PerClub: 1, Boxes: 0.2, Reserve: 0.1, DrainTimeout: 10_000, WarmTimeout: 60_000}}
	for x := range n {
		m := Machine{Name: fmt.Sprintf("m%04d", x), Club: fmt.Sprint("club", x/10), Zone: fmt.Sprint("z", x%7), Capacity: 5 + 10*c.Float64()}
		if x%3 == 0 {
			m.Gateways = []string{fmt.Sprint("g", x)}
		} else {
			m.Boxes = []string{fmt.Sprint("e", x)}
		}
		i.Machines = append(i.Machines, m)
	}
	b.Apply(1, SetInventory, codec.Encode(i))
	for x := range n / 10 {
		for h := range 24 {
			b.Apply(1, SetPeak, codec.Encode(CommandData{Club: fmt.Sprint("club", x), Hour: h, Peak: 40 + 20*c.Float64()}))
		}
	}
	for x, m := range i.Machines {
		r := Request{ID: m.Name, Machine: m.Name, Duration: 60_000 * (5 + 30*c.Float64())}
		if x%4 == 0 {
			r.Deadline = 24 * hourMillis * (0.02 + 0.15*c.Float64())
		}
		b.Apply(uint64(x), Submit, codec.Encode(CommandData{At: 1, Request: &r}))
	}
	return b
}

// The plan depends on the state alone, keeps the limits at every moment, and reports each deadline that it misses with the limit that
// prevents it.
func TestPlan(t *testing.T) {
	b := largeFleet(200)
	slots := b.Plan()
	loaded := New()
	loaded.Load(b.Save())
	if fmt.Sprint(slots) != fmt.Sprint(loaded.Plan()) {
		t.Error("two gateways compute different plans")
	}
	if len(slots) != 200 {
		t.Errorf("%d of 200 are in the plan", len(slots))
	}
	late := 0
	for _, s := range slots {
		clubs, all := map[string]int{}, 0
		for _, o := range slots {
			if !o.Never && o.Start <= s.Start && s.Start < o.End {
				all++
				clubs[b.Machine(o.Machine).Club]++
			}
		}
		if all > 12 || clubs[b.Machine(s.Machine).Club] > 1 && !s.Never {
			t.Errorf("when %s leaves, %d are out, %d of its club", s.Machine, all, clubs[b.Machine(s.Machine).Club])
		}
		if s.MissesDeadline {
			if late++; s.BlockedBy == "" {
				t.Errorf("%+v is late without a reason", s)
			}
		}
	}
	if late == 0 || late == 50 {
		t.Errorf("%d of 50 deadlines are missed", late)
	}
	// A request whose deadline can be met precedes one that misses it, which precedes one without a deadline.
	b = newTestState(t, Limits{MaxMachines: 1, DrainTimeout: 10, WarmTimeout: 10})
	for i, r := range []Request{{ID: "none", Machine: "amber-2", Duration: 100}, {ID: "late", Machine: "birch-2", Duration: 200, Deadline: 205}, {ID: "soon", Machine: "amber-1", Duration: 100, Deadline: 300}} {
		if err, ok := b.Apply(uint64(i+1), Submit, codec.Encode(CommandData{At: 1, Request: &r})).(error); ok {
			t.Fatal(err)
		}
	}
	order := ""
	for _, s := range b.Plan() {
		order += fmt.Sprint(s.ID, " ", s.MissesDeadline, "; ")
	}
	if order != "soon false; late true; none false; " {
		t.Errorf("planned as %s", order)
	}
}

// A machine that should be back and is not still counts as out in the plan, so the plan starts nothing now that the log would refuse.
func TestPlanWaitsForLateMachines(t *testing.T) {
	b := newTestState(t, Limits{MaxMachines: 1, DrainTimeout: 10, WarmTimeout: 10})
	for _, m := range []string{"amber-1", "birch-1"} {
		b.apply(t, Submit, CommandData{At: 1, Request: &Request{ID: m, Machine: m, Duration: 100}})
	}
	b.apply(t, Grant, CommandData{At: 2, Machine: "amber-1"})
	b.Now = 50_000
	for _, s := range b.Plan() {
		if s.Start <= b.Now {
			t.Errorf("planned now, while another machine is out: %+v", s)
		}
	}
}

// Measures the time of a plan. A plan of 500 machines takes under 50 ms.
func BenchmarkPlan(bench *testing.B) {
	for _, n := range []int{50, 500, 2000} {
		b := largeFleet(n)
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			bench.ReportAllocs()
			for bench.Loop() {
				b.Plan()
			}
		})
	}
}

// Compares the end of the plan with the best over all orders on small cases, and logs the average and worst ratio.
func TestPlanAgainstOptimum(t *testing.T) {
	c := prng.Source(11)
	worst, sum, n := 0.0, 0.0, 0
	for range 60 {
		b := newTestState(t, Limits{MaxMachines: 2, PerClub: 1, PerZone: 1, WarmTimeout: 10})
		var works []*Window
		for i, m := range b.Inventory.Machines[:6] {
			r := Request{ID: m.Name, Machine: m.Name, Duration: 20 + float64(int(100*c.Float64()))}
			if err, ok := b.Apply(uint64(i+1), Submit, codec.Encode(CommandData{At: 1, Request: &r})).(error); ok {
				t.Fatal(err)
			}
			works = append(works, b.Windows[m.Name])
		}
		end := 0.0
		for _, s := range b.Plan() {
			end = max(end, s.End)
		}
		best := 1e18
		// Tries every order of the requests, where each machine leaves as soon as the limits allow.
		var orders func(k int)
		orders = func(k int) {
			if k == len(works) {
				best = min(best, greedyEnd(b, works))
				return
			}
			for i := k; i < len(works); i++ {
				works[k], works[i] = works[i], works[k]
				orders(k + 1)
				works[k], works[i] = works[i], works[k]
			}
		}
		orders(0)
		off := (end - 1) / (best - 1)
		worst, sum, n = max(worst, off), sum+off, n+1
	}
	t.Logf("plan duration / optimum: %.3f on average, %.3f at worst, over %d cases of six machines", sum/float64(n), worst, n)
	if worst > 1.5 {
		t.Errorf("plan duration / optimum: %.3f at worst", worst)
	}
}

// greedyEnd returns the time at which all machines are back, if each leaves as soon as the limits allow, in the given order.
func greedyEnd(b *State, works []*Window) float64 {
	type absence struct {
		m   *Machine
		end float64
	}
	counts := b.countOutages()
	var out []absence
	wait, now, end := slices.Clone(works), b.Now, 0.0
	for len(wait) > 0 {
		wait = slices.DeleteFunc(wait, func(w *Window) bool {
			m := b.Machine(w.Request.Machine)
			if counts.blockedBy(m, now, now) != "" {
				return false
			}
			counts.add(m, counts.place(m), 1)
			out = append(out, absence{m, now + w.Request.Duration + b.Inventory.Limits.WarmTimeout})
			end = max(end, now+w.Request.Duration+b.Inventory.Limits.WarmTimeout)
			return true
		})
		next := 1e18
		for _, o := range out {
			next = min(next, o.end)
		}
		now = next
		out = slices.DeleteFunc(out, func(o absence) bool {
			if o.end <= now {
				counts.add(o.m, counts.place(o.m), -1)
			}
			return o.end <= now
		})
	}
	return end
}

// Bounds the time of a plan, widely enough for a slow machine.
func TestPlanDuration(t *testing.T) {
	b := largeFleet(500)
	started := time.Now()
	b.Plan()
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("a plan of 500 machines took %v", took)
	}
}
