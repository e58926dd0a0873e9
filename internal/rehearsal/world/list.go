package world

import (
	"cmp"
	"slices"
)

// latest is when word counts as told, in ms after it is in the channel, whatever became of the channel's connections.
const latest = 4000.0

// directory is the list of boxes and the purges as the command channel tells them.
type directory struct {
	log []entry
	lag float64 // ms that word comes later than usual
}

type entry struct {
	event map[string]any
	facts []Told // without time and gateway
}

func (l *directory) start(w *World) {
	l.publish(w, true, w.order...)
}

// endpoints words boxes as the channel does.
func (w *World) endpoints(boxes []*box) []any {
	var all []any
	for _, b := range boxes {
		since := 0.0
		if b.since >= 0 {
			since = float64(int64(w.epoch + b.since))
		}
		kinds := map[role]string{edge: "box", hub: "hub", core: "core"}
		all = append(all, map[string]any{"name": b.id, "address": b.addr, "zone": b.zone, "type": kinds[b.role], "group": b.cell,
			"status": b.state, "weight": b.cores, "since_ms": since})
	}
	return all
}

// publish tells of boxes as they are now.
func (l *directory) publish(w *World, whole bool, boxes ...*box) {
	e := entry{event: map[string]any{"nodes": map[string]any{"index": len(l.log) + 1, "snapshot": whole, "endpoints": w.endpoints(boxes)}}}
	for _, b := range boxes {
		e.facts = append(e.facts, Told{Box: b.id, State: b.state, Group: -1})
		if b.listed == 0 || b.state == "ready" {
			b.listed = len(l.log) + 1
		}
	}
	l.add(w, e)
}

func (l *directory) add(w *World, e entry) {
	n := len(l.log) + 1
	e.event["cursor"] = n
	l.log = append(l.log, e)
	w.act(Publish{Cursor: n, Event: e.event})
	w.after(latest, func() {
		for _, g := range w.gateways {
			if g.up {
				l.heard(w, g, n)
			}
		}
	})
}

// heard notes up to which event a gateway has been told.
func (l *directory) heard(w *World, g *gateway, cursor int) {
	for ; g.cursor < min(cursor, len(l.log)); g.cursor++ {
		for _, f := range l.log[g.cursor].facts {
			f.At, f.Gateway = w.now, g.number
			w.tell(f)
		}
	}
}

// changed tells of boxes some time after they changed.
func (w *World) changed(late float64, boxes ...*box) {
	w.after(late+w.list.lag, func() { w.list.publish(w, false, boxes...) })
}

// comeBack has a box start again, empty, after some time; the list finds out both, and says so in their order.
func (w *World) comeBack(b *box, back float64) {
	if b.role == core {
		w.after(back, func() { b.begin(false) })
		return
	}
	w.after(w.script.List.Notices+w.list.lag, func() {
		if !b.up {
			b.state = "gone"
			w.list.publish(w, false, b)
		}
	})
	w.after(back, func() {
		if b.up {
			return
		}
		b.state = "ready"
		b.begin(true)
		w.changed(w.script.List.Told, b)
	})
}

// purge makes all copies of an object or a group old and tells of it a little later.
func (w *World) purge(object string, group int) {
	at := w.now
	if object != "" {
		w.purged[object] = append(w.purged[object], at)
	} else {
		w.groups[group] = append(w.groups[group], at)
	}
	w.after(w.script.List.Purges+w.list.lag, func() {
		drop := map[string]any{"when": int64(w.epoch + at)}
		if object != "" {
			drop["id"] = object
		} else {
			drop["family"] = group
		}
		w.list.add(w, entry{event: map[string]any{"drop": drop}, facts: []Told{{Purged: object, Group: group, When: at}}})
	})
}

// settled is when the last purge of an object or its group was that has gone through to every box by now.
func (w *World) settled(object string, group int) float64 {
	last := -1e18
	for _, all := range [][]float64{w.purged[object], w.groups[group]} {
		for _, at := range all {
			if at <= w.now-w.script.Rules.PurgeSettles {
				last = max(last, at)
			}
		}
	}
	return last
}

// tag names an edition: what the core gives out changes with each purge.
func (w *World) tag(k key, group int, born float64) string {
	n := 0
	for _, at := range [][]float64{w.purged[k.object], w.groups[group]} {
		i, _ := slices.BinarySearchFunc(at, born, func(a, b float64) int { return cmp.Compare(a, b) })
		n += i
	}
	return w.draws.id("tag", k.object, k.part, n)
}

// Known is all that the channel has told so far, as a gateway's configuration words it.
func (w *World) Known() (cursor int, events []map[string]any) {
	for _, e := range w.list.log {
		events = append(events, e.event)
	}
	return len(events), events
}
