package world

import (
	"cmp"
	"slices"
)

// latest is when word counts as told, in ms after it is in the channel, whatever became of the channel's connections.
const assumedDelivery = 4000.0

// directory is the list of boxes and the purges as the command channel tells them.
type directory struct {
	log []channelEvent
	lag float64 // ms that word comes later than usual
}

type channelEvent struct {
	event map[string]any
	facts []Told // without time and gateway
}

func (l *directory) start(w *World) {
	l.publish(w, true, w.boxOrder...)
}

// endpoints words boxes as the channel does.
func (w *World) endpoints(boxes []*box) []any {
	var all []any
	for _, b := range boxes {
		since := 0.0
		if b.startedAt >= 0 {
			since = float64(int64(w.epoch + b.startedAt))
		}
		kinds := map[role]string{edge: "box", hub: "hub", core: "core"}
		all = append(all, map[string]any{"name": b.id, "address": b.addr, "zone": b.zone, "type": kinds[b.role], "group": b.cell,
			"status": b.state, "weight": b.cores, "since_ms": since})
	}
	return all
}

// publish tells of boxes as they are now.
func (l *directory) publish(w *World, whole bool, boxes ...*box) {
	e := channelEvent{event: map[string]any{"nodes": map[string]any{"index": len(l.log) + 1, "snapshot": whole, "endpoints": w.endpoints(boxes)}}}
	for _, b := range boxes {
		e.facts = append(e.facts, Told{Box: b.id, State: b.state, Group: -1})
		if b.listedCursor == 0 || b.state == "ready" {
			b.listedCursor = len(l.log) + 1
		}
	}
	l.add(w, e)
}

func (l *directory) add(w *World, e channelEvent) {
	n := len(l.log) + 1
	e.event["cursor"] = n
	l.log = append(l.log, e)
	w.emit(Publish{Cursor: n, Event: e.event})
	w.scheduleAfter(assumedDelivery, func() {
		for _, g := range w.gateways {
			if g.up {
				l.deliver(w, g, n)
			}
		}
	})
}

// heard notes up to which event a gateway has been told.
func (l *directory) deliver(w *World, g *gateway, cursor int) {
	for ; g.cursor < min(cursor, len(l.log)); g.cursor++ {
		for _, f := range l.log[g.cursor].facts {
			f.At, f.Gateway = w.now, g.number
			w.report(f)
		}
	}
}

// changed tells of boxes some time after they changed.
func (w *World) publishLater(late float64, boxes ...*box) {
	w.scheduleAfter(late+w.directory.lag, func() { w.directory.publish(w, false, boxes...) })
}

// comeBack has a box start again, empty, after some time; the list finds out both, and says so in their order.
func (w *World) scheduleRestart(b *box, back float64) {
	if b.role == core {
		w.scheduleAfter(back, func() { b.start(false) })
		return
	}
	w.scheduleAfter(w.script.List.Notices+w.directory.lag, func() {
		if !b.up {
			b.state = "gone"
			w.directory.publish(w, false, b)
		}
	})
	w.scheduleAfter(back, func() {
		if b.up {
			return
		}
		b.state = "ready"
		b.start(true)
		w.publishLater(w.script.List.Told, b)
	})
}

// purge makes all copies of an object or a group old and tells of it a little later.
func (w *World) purge(object string, group int) {
	at := w.now
	if object != "" {
		w.objectPurges[object] = append(w.objectPurges[object], at)
	} else {
		w.groupPurges[group] = append(w.groupPurges[group], at)
	}
	w.scheduleAfter(w.script.List.Purges+w.directory.lag, func() {
		notice := map[string]any{"when": int64(w.epoch + at)}
		if object != "" {
			notice["id"] = object
		} else {
			notice["family"] = group
		}
		w.directory.add(w, channelEvent{event: map[string]any{"drop": notice}, facts: []Told{{Purged: object, Group: group, When: at}}})
	})
}

// settled is when the last purge of an object or its group was that has gone through to every box by now.
func (w *World) lastSettledPurge(object string, group int) float64 {
	latest := -1e18
	for _, all := range [][]float64{w.objectPurges[object], w.groupPurges[group]} {
		for _, at := range all {
			if at <= w.now-w.script.Rules.PurgeSettles {
				latest = max(latest, at)
			}
		}
	}
	return latest
}

// tag names an edition: what the core gives out changes with each purge.
func (w *World) tag(partKey key, group int, born float64) string {
	n := 0
	for _, at := range [][]float64{w.objectPurges[partKey.object], w.groupPurges[group]} {
		i, _ := slices.BinarySearchFunc(at, born, func(a, b float64) int { return cmp.Compare(a, b) })
		n += i
	}
	return w.random.id("tag", partKey.object, partKey.part, n)
}

// Known is all that the channel has told so far, as a gateway's configuration words it.
func (w *World) Known() (cursor int, events []map[string]any) {
	for _, e := range w.directory.log {
		events = append(events, e.event)
	}
	return len(events), events
}
