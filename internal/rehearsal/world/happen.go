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

type chance = router.Chance

// happens does what the script says, for the i-th time.
func (w *World) happens(e *script.Event, i int) {
	switch {
	case e.On == "gateway":
		w.toGateways(e, i)
	case roles[e.On] > edge || e.On == "edge":
		targets := w.targets(e, i)
		for n, b := range targets {
			w.after(float64(n)*e.Over/float64(len(targets)), func() { w.toBox(e, b, n) })
		}
	default:
		w.toRest(e)
	}
}

// targets are the boxes that an event happens to: by name, so many, a share, or one; drawn by chance, unless named.
func (w *World) targets(e *script.Event, i int) []*box {
	var all []*box
	for _, b := range w.order {
		if e.Name == b.id || e.Name == "" && b.role == roles[e.On] && b.up && !b.vanished && b.state == "ready" {
			all = append(all, b)
		}
	}
	return pickSome(w, e, i, all, func(b *box) string { return b.id })
}

func pickSome[T any](w *World, e *script.Event, i int, all []T, id func(T) string) []T {
	slices.SortStableFunc(all, func(a, b T) int {
		return cmp.Compare(w.draws.key("pick", e.Number, i, id(a)), w.draws.key("pick", e.Number, i, id(b)))
	})
	n := 1
	shares := !slices.Contains([]string{"fail", "lose", "cut"}, e.Do) && e.Share > 0
	if e.Count > 0 {
		n = e.Count
	} else if shares {
		n = int(math.Ceil(e.Share*float64(len(all)) - 1e-9))
	}
	return all[:min(n, len(all))]
}

// until undoes something when the event's time is over, if it has one.
func (w *World) until(e *script.Event, undo func()) {
	if e.For > 0 {
		w.after(e.For, undo)
	}
}

func (w *World) toBox(e *script.Event, b *box, n int) {
	if !b.up {
		return
	}
	switch e.Do {
	case "kill":
		b.die()
		w.goes(e, b)
	case "vanish":
		b.vanished = true
		w.act(Shut{Address: b.addr, Mute: true})
		b.pace()
		w.after(3*w.script.List.Notices+w.list.lag, func() { // silence is found out later than an end
			if b.vanished {
				b.state = "gone"
				w.list.publish(w, false, b)
			}
		})
		w.until(e, func() { // the machine is cut off no more: what was open is gone
			b.die()
			b.state = "ready"
			b.begin(true)
			w.changed(w.script.List.Told, b)
		})
	case "silent":
		b.silent = true
		w.until(e, func() { b.silent = false })
	case "pause":
		b.paused++
		b.pace()
		w.until(e, func() { b.paused--; b.pace() })
	case "slow":
		b.slow *= e.Factor
		b.pace()
		w.until(e, func() { b.slow /= e.Factor; b.pace() })
	case "fail":
		b.fail += e.Share
		w.until(e, func() { b.fail -= e.Share })
	case "lose":
		b.lose += e.Share
		w.until(e, func() { b.lose -= e.Share })
	case "cut":
		b.cut += e.Share
		w.until(e, func() { b.cut -= e.Share })
	case "drain":
		w.changed(w.script.List.Told, b)
		b.state = "draining"
		w.until(e, func() {
			b.state = "ready"
			w.changed(w.script.List.Told, b)
		})
	case "replace":
		b.die()
		b.state = "gone"
		addr := b.addr
		if !e.SameAddress {
			addr = w.address()
		} else {
			w.ids++
		}
		kind := map[role]string{edge: "edge", hub: "hub"}[b.role]
		c := w.newBox(kindID(kind, w.ids), addr, b.zone, b.role, b.cores, b.cell, b.spec)
		c.begin(true)
		w.changed(w.script.List.Told, b, c)
	}
}

// goes has a box that died come back when the event is over, or never.
func (w *World) goes(e *script.Event, b *box) {
	if e.For > 0 {
		w.comeBack(b, e.For)
		return
	}
	if b.role != core {
		b.state = "gone"
		w.changed(w.script.List.Notices, b)
	}
}

func (w *World) toGateways(e *script.Event, i int) {
	all := slices.Clone(w.gateways)
	if e.Name != "" {
		all = slices.DeleteFunc(all, func(g *gateway) bool { name, _, _ := w.Config(g.number); return name != e.Name })
	}
	chosen := pickSome(w, e, i, all, func(g *gateway) string { return kindID("gateway", g.number) })
	if e.Times > 1 && e.Name == "" && e.Count == 0 && e.Share == 0 { // one after another
		chosen = []*gateway{w.gateways[i%len(w.gateways)]}
	}
	if e.Do == "part" {
		p := Part{OneWay: e.OneWay}
		for _, g := range chosen {
			p.Apart = append(p.Apart, g.number)
		}
		w.act(p)
		w.until(e, func() {
			p.Heal = true
			w.act(p)
		})
		return
	}
	if e.Do == "delay" || e.Do == "reset" {
		var some []int
		for _, g := range chosen {
			some = append(some, g.number)
		}
		if e.Do == "reset" {
			w.act(Sever{Some: some})
			return
		}
		w.act(Slow{Some: some, By: e.Delay})
		w.until(e, func() { w.act(Slow{Some: some}) })
		return
	}
	for n, g := range chosen {
		w.after(float64(n)*e.Over/float64(len(chosen)), func() {
			if e.Do == "start" && !g.up {
				w.start(g)
			}
			if !g.up {
				return
			}
			back := cmp.Or(e.For, 2000)
			switch e.Do {
			case "hup":
				w.act(Hup{Gateway: g.number})
			case "kill":
				w.act(Kill{Gateway: g.number, Disk: e.Disk})
				w.exited(g, false)
				w.after(back, func() { w.start(g) })
			case "copy":
				w.act(Copy{Gateway: g.number})
			case "fill_disk":
				w.act(Fill{Gateway: g.number})
				w.after(e.For, func() { w.act(Fill{Gateway: g.number, Undo: true}) })
			case "freeze":
				w.act(Freeze{Gateway: g.number})
				w.exited(g, false)
				w.after(e.For, func() { w.thaw(g) })
			case "restart":
				g.ending = true
				g.until = w.now + 300
				w.act(Term{Gateway: g.number})
				w.after(min(w.script.Longest(), 3000)+700+100, func() {
					if g.up && g.ending { // the platform's patience is over
						w.act(Kill{Gateway: g.number})
						w.exited(g, false)
					}
				})
				w.after(max(back, min(w.script.Longest(), 3000)+900), func() { w.start(g) })
			}
		})
	}
}

func (w *World) toRest(e *script.Event) {
	switch e.Do {
	case "lag":
		w.list.lag += e.Delay
		w.until(e, func() { w.list.lag -= e.Delay })
	case "purge":
		by := Withdraw{ID: fmt.Sprintf("purge-%d-%.0f", e.Number, w.now)}
		for g := range e.Groups {
			by.Groups = append(by.Groups, int64(w.draws.key("purged", e.Number, g)%256))
		}
		for i, t := range w.types {
			for n := range int(e.Share * float64(t.Objects)) {
				if !t.Write {
					by.Objects = append(by.Objects, w.draws.id("object", i, n))
				}
			}
		}
		if e.By == "gateways" {
			w.act(by)
			return
		}
		for _, g := range by.Groups {
			w.purge("", int(g))
		}
		for _, o := range by.Objects {
			w.purge(o, -1)
		}
	case "break":
		w.act(Channel{How: Broken})
	case "mute":
		w.act(Channel{How: Muted})
		w.until(e, func() { w.act(Channel{How: Whole}) })
	case "repeat":
		w.act(Channel{How: Repeating})
		w.until(e, func() { w.act(Channel{How: Whole}) })
	case "traffic":
		w.traffic = append(w.traffic, e.Factor)
		w.until(e, func() {
			i := slices.Index(w.traffic, e.Factor)
			w.traffic = slices.Delete(w.traffic, i, i+1)
		})
	case "once":
		w.once += e.Share
		w.until(e, func() { w.once -= e.Share })
	case "large":
		l := &large{share: e.Share, factor: e.Factor}
		w.large = l
		w.until(e, func() {
			if w.large == l {
				w.large = nil
			}
		})
	case "forge":
		w.forge(e, 0, w.now+e.For)
	case "rotate":
		w.rotate(links.Verifying)
	case "withdraw":
		w.rotate(links.Withdrawn)
	case "storm":
		club := cmp.Or(e.Club, w.script.Clubs[0])
		for n := range e.Kiosks {
			i := int(w.draws.key("kiosk", e.Number, n) % uint64(len(w.types)))
			for w.types[i].Write {
				i = (i + 1) % len(w.types)
			}
			x := &want{n: 1<<40 + e.Number<<24 + n<<12, typ: w.types[i], object: w.draws.id("object", i, n%5), club: club, member: cmp.Or(e.Member, club), at: w.now,
				until: w.now + w.types[i].Expiry, kiosk: true, stop: w.now + e.For}
			w.ask(x)
		}
	}
}
