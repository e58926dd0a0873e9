package world

import (
	"cmp"
	"slices"
)

// assumedDelivery is the time in ms after its publication from which an event counts as delivered, whatever happened to the
// channel's connections.
const assumedDelivery = 4000.0

// directory is the list of boxes and purges as published on the command channel.
type directory struct {
	log []channelEvent
	lag float64 // additional delay of events, in ms
}

type channelEvent struct {
	event map[string]any
	facts []Notified // their time and gateway are set on delivery
}

func (l *directory) start(w *World) {
	l.publish(w, true, w.boxOrder...)
}

// endpointList encodes boxes in the channel's format.
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

// publish announces boxes in their present state.
func (l *directory) publish(w *World, whole bool, boxes ...*box) {
	e := channelEvent{event: map[string]any{"nodes": map[string]any{"index": len(l.log) + 1, "snapshot": whole, "endpoints": w.endpoints(boxes)}}}
	for _, b := range boxes {
		e.facts = append(e.facts, Notified{Box: b.id, State: b.state, Group: -1})
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

// deliver records that a gateway has received all events up to a cursor.
func (l *directory) deliver(w *World, g *gateway, cursor int) {
	for ; g.cursor < min(cursor, len(l.log)); g.cursor++ {
		for _, f := range l.log[g.cursor].facts {
			f.At, f.Gateway = w.now, g.number
			w.report(f)
		}
	}
}

// publishLater announces boxes some time after they changed.
func (w *World) publishLater(delay float64, boxes ...*box) {
	w.scheduleAfter(delay+w.directory.lag, func() { w.directory.publish(w, false, boxes...) })
}

// scheduleRestart starts a stopped box again, empty, after a delay. The directory announces its loss and its return, in that
// order.
func (w *World) scheduleRestart(b *box, delay float64) {
	if b.role == core {
		w.scheduleAfter(delay, func() { b.start(false) })
		return
	}
	w.scheduleAfter(w.script.List.DetectionDelay+w.directory.lag, func() {
		if !b.up {
			b.state = "gone"
			w.directory.publish(w, false, b)
		}
	})
	w.scheduleAfter(delay, func() {
		if b.up {
			return
		}
		b.state = "ready"
		b.start(true)
		w.publishLater(w.script.List.AnnounceDelay, b)
	})
}

// purge makes all copies of an object or a group outdated and announces that after the script's delay.
func (w *World) purge(object string, group int) {
	at := w.now
	if object != "" {
		w.objectPurges[object] = append(w.objectPurges[object], at)
	} else {
		w.groupPurges[group] = append(w.groupPurges[group], at)
	}
	w.scheduleAfter(w.script.List.PurgeDelay+w.directory.lag, func() {
		notice := map[string]any{"when": int64(w.epoch + at)}
		if object != "" {
			notice["id"] = object
		} else {
			notice["family"] = group
		}
		w.directory.add(w, channelEvent{event: map[string]any{"drop": notice}, facts: []Notified{{Purged: object, Group: group, When: at}}})
	})
}

// lastSettledPurge is the time of the latest purge of an object or its group that has reached every box by now.
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

// tag identifies the version of an object: what the core produces changes with each purge.
func (w *World) tag(partKey key, group int, createdAt float64) string {
	n := 0
	for _, at := range [][]float64{w.objectPurges[partKey.object], w.groupPurges[group]} {
		i, _ := slices.BinarySearchFunc(at, createdAt, func(a, b float64) int { return cmp.Compare(a, b) })
		n += i
	}
	return w.random.id("tag", partKey.object, partKey.part, n)
}

// ChannelEvents returns all channel events so far, in the format of a gateway's configuration.
func (w *World) ChannelEvents() (cursor int, events []map[string]any) {
	for _, e := range w.directory.log {
		events = append(events, e.event)
	}
	return len(events), events
}
