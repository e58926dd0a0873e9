package world

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
	"poppymill/router"
)

type randomSource = router.Chance

// applyEvent carries out an event of the script; round counts the repetitions of an event from 0.
func (w *World) applyEvent(e *script.Event, round int) {
	switch {
	case e.On == "gateway":
		w.applyToGateways(e, round)
	case roles[e.On] > edge || e.On == "edge":
		targets := w.targets(e, round)
		for n, b := range targets {
			w.scheduleAfter(float64(n)*e.Spread/float64(len(targets)), func() { w.applyToBox(e, b, n) })
		}
	default:
		w.applyElsewhere(e)
	}
}

// targets returns the boxes that an event affects: the named one, or a random choice of the given count or share, else one.
func (w *World) targets(e *script.Event, round int) []*box {
	var candidates []*box
	for _, b := range w.boxOrder {
		if e.Name == b.id || e.Name == "" && b.role == roles[e.On] && b.up && !b.vanished && b.state == "ready" {
			candidates = append(candidates, b)
		}
	}
	return pickSome(w, e, round, candidates, func(b *box) string { return b.id })
}

func pickSome[T any](w *World, e *script.Event, round int, candidates []T, id func(T) string) []T {
	slices.SortStableFunc(candidates, func(a, b T) int {
		return cmp.Compare(w.random.hash("pick", e.Number, round, id(a)), w.random.hash("pick", e.Number, round, id(b)))
	})
	n := 1
	shares := !slices.Contains([]string{"fail", "lose", "cut"}, e.Kind) && e.Share > 0
	if e.Count > 0 {
		n = e.Count
	} else if shares {
		n = int(math.Ceil(e.Share*float64(len(candidates)) - 1e-9))
	}
	return candidates[:min(n, len(candidates))]
}

// undoAfter reverts an event after its duration, if it has one.
func (w *World) undoAfter(e *script.Event, undo func()) {
	if e.Duration > 0 {
		w.scheduleAfter(e.Duration, undo)
	}
}

func (w *World) applyToBox(e *script.Event, b *box, n int) {
	if !b.up {
		return
	}
	switch e.Kind {
	case "kill":
		b.stop()
		w.scheduleReturn(e, b)
	case "vanish":
		b.vanished = true
		w.emit(Close{Address: b.addr, Drop: true})
		b.updateCapacity()
		w.scheduleAfter(3*w.script.List.DetectionDelay+w.directory.lag, func() { // silence is detected later than a closed connection
			if b.vanished {
				b.state = "gone"
				w.directory.publish(w, false, b)
			}
		})
		w.undoAfter(e, func() { // the machine is reachable again; its connections are gone
			b.stop()
			b.state = "ready"
			b.start(true)
			w.publishLater(w.script.List.AnnounceDelay, b)
		})
	case "silent":
		b.silent = true
		w.undoAfter(e, func() { b.silent = false })
	case "pause":
		b.pauses++
		b.updateCapacity()
		w.undoAfter(e, func() { b.pauses--; b.updateCapacity() })
	case "slow":
		b.slowdown *= e.Factor
		b.updateCapacity()
		w.undoAfter(e, func() { b.slowdown /= e.Factor; b.updateCapacity() })
	case "fail":
		b.failShare += e.Share
		w.undoAfter(e, func() { b.failShare -= e.Share })
	case "lose":
		b.loseShare += e.Share
		w.undoAfter(e, func() { b.loseShare -= e.Share })
	case "cut":
		b.cutShare += e.Share
		w.undoAfter(e, func() { b.cutShare -= e.Share })
	case "drain":
		w.publishLater(w.script.List.AnnounceDelay, b)
		b.state = "draining"
		w.undoAfter(e, func() {
			b.state = "ready"
			w.publishLater(w.script.List.AnnounceDelay, b)
		})
	case "replace":
		b.stop()
		b.state = "gone"
		addr := b.addr
		if !e.SameAddress {
			addr = w.nextAddress()
		} else {
			w.lastID++
		}
		kind := map[role]string{edge: "edge", hub: "hub"}[b.role]
		c := w.newBox(numberedID(kind, w.lastID), addr, b.zone, b.role, b.cores, b.cell, b.spec)
		c.start(true)
		w.publishLater(w.script.List.AnnounceDelay, b, c)
	}
}

// scheduleReturn restarts a stopped box when the event's duration is over; without a duration it stays away.
func (w *World) scheduleReturn(e *script.Event, b *box) {
	if e.Duration > 0 {
		w.scheduleRestart(b, e.Duration)
		return
	}
	if b.role != core {
		b.state = "gone"
		w.publishLater(w.script.List.DetectionDelay, b)
	}
}

func (w *World) applyToGateways(e *script.Event, round int) {
	all := slices.Clone(w.gateways)
	if e.Name != "" {
		all = slices.DeleteFunc(all, func(g *gateway) bool { name, _, _ := w.Config(g.number); return name != e.Name })
	}
	chosen := pickSome(w, e, round, all, func(g *gateway) string { return numberedID("gateway", g.number) })
	if e.Times > 1 && e.Name == "" && e.Count == 0 && e.Share == 0 { // one gateway after another
		chosen = []*gateway{w.gateways[round%len(w.gateways)]}
	}
	if e.Kind == "part" {
		p := Partition{OneWay: e.OneWay}
		for _, g := range chosen {
			p.Gateways = append(p.Gateways, g.number)
		}
		w.emit(p)
		w.undoAfter(e, func() {
			p.Heal = true
			w.emit(p)
		})
		return
	}
	if e.Kind == "delay" || e.Kind == "reset" {
		var some []int
		for _, g := range chosen {
			some = append(some, g.number)
		}
		if e.Kind == "reset" {
			w.emit(ResetConns{Gateways: some})
			return
		}
		w.emit(DelayTraffic{Gateways: some, Delay: e.Delay})
		w.undoAfter(e, func() { w.emit(DelayTraffic{Gateways: some}) })
		return
	}
	for n, g := range chosen {
		w.scheduleAfter(float64(n)*e.Spread/float64(len(chosen)), func() {
			if e.Kind == "start" && !g.up {
				w.startGateway(g)
			}
			if !g.up {
				return
			}
			back := cmp.Or(e.Duration, 2000)
			switch e.Kind {
			case "hup":
				w.emit(Reload{Gateway: g.number})
			case "kill":
				w.emit(Kill{Gateway: g.number, Disk: e.Disk})
				w.gatewayExited(g, false)
				w.scheduleAfter(back, func() { w.startGateway(g) })
			case "copy":
				w.emit(CopyDisk{Gateway: g.number})
			case "fill_disk":
				w.emit(FillDisk{Gateway: g.number})
				w.scheduleAfter(e.Duration, func() { w.emit(FillDisk{Gateway: g.number, Undo: true}) })
			case "freeze":
				w.emit(Freeze{Gateway: g.number})
				w.gatewayExited(g, false)
				w.scheduleAfter(e.Duration, func() { w.thawGateway(g) })
			case "restart":
				g.ending = true
				g.routedUntil = w.now + 300
				w.emit(Terminate{Gateway: g.number})
				w.scheduleAfter(min(w.script.LongestExpiry(), 3000)+700+100, func() {
					if g.up && g.ending { // the platform kills a process that does not end in time
						w.emit(Kill{Gateway: g.number})
						w.gatewayExited(g, false)
					}
				})
				w.scheduleAfter(max(back, min(w.script.LongestExpiry(), 3000)+900), func() { w.startGateway(g) })
			}
		})
	}
}

func (w *World) applyElsewhere(e *script.Event) {
	switch e.Kind {
	case "lag":
		w.directory.lag += e.Delay
		w.undoAfter(e, func() { w.directory.lag -= e.Delay })
	case "purge":
		withdrawal := SubmitPurge{ID: fmt.Sprintf("purge-%d-%.0f", e.Number, w.now)}
		for g := range e.Groups {
			withdrawal.Groups = append(withdrawal.Groups, int64(w.random.hash("purged", e.Number, g)%256))
		}
		for i, t := range w.types {
			for n := range int(e.Share * float64(t.Objects)) {
				if !t.Write {
					withdrawal.Objects = append(withdrawal.Objects, w.random.id("object", i, n))
				}
			}
		}
		if e.Announcer == "gateways" {
			w.emit(withdrawal)
			return
		}
		for _, g := range withdrawal.Groups {
			w.purge("", int(g))
		}
		for _, o := range withdrawal.Objects {
			w.purge(o, -1)
		}
	case "break":
		w.emit(Channel{State: Broken})
	case "mute":
		w.emit(Channel{State: Silent})
		w.undoAfter(e, func() { w.emit(Channel{State: Normal}) })
	case "repeat":
		w.emit(Channel{State: Repeating})
		w.undoAfter(e, func() { w.emit(Channel{State: Normal}) })
	case "traffic":
		w.trafficFactors = append(w.trafficFactors, e.Factor)
		w.undoAfter(e, func() {
			i := slices.Index(w.trafficFactors, e.Factor)
			w.trafficFactors = slices.Delete(w.trafficFactors, i, i+1)
		})
	case "once":
		w.onceShare += e.Share
		w.undoAfter(e, func() { w.onceShare -= e.Share })
	case "large":
		period := &largePeriod{share: e.Share, factor: e.Factor}
		w.large = period
		w.undoAfter(e, func() {
			if w.large == period {
				w.large = nil
			}
		})
	case "forge":
		w.scheduleForgery(e, 0, w.now+e.Duration)
	case "rotate":
		w.rotateKeys(links.Verifying)
	case "withdraw":
		w.rotateKeys(links.Withdrawn)
	case "storm":
		club := cmp.Or(e.Club, w.script.Clubs[0])
		for n := range e.Kiosks {
			i := int(w.random.hash("kiosk", e.Number, n) % uint64(len(w.types)))
			for w.types[i].Write {
				i = (i + 1) % len(w.types)
			}
			op := &operation{number: 1<<40 + e.Number<<24 + n<<12, typ: w.types[i], object: w.random.id("object", i, n%5), club: club, member: cmp.Or(e.Member, club), startedAt: w.now,
				deadline: w.now + w.types[i].Expiry, kiosk: true, stopAt: w.now + e.Duration}
			w.sendAttempt(op)
		}
	}
}
