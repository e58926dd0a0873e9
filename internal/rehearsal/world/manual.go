package world

import "poppymill/internal/rehearsal/script"

// The methods in this file let tests and people control a deployment directly. They are called between events.

// ApplyEvent applies an event of a script at once.
func (w *World) ApplyEvent(e script.Event) { w.applyEvent(&e, 0) }

// Purge makes all copies of an object outdated and announces that after the script's delay.
func (w *World) Purge(object string) { w.purge(object, -1) }

// SetState changes a box's state in the directory and announces it at once.
func (w *World) SetState(box, state string) {
	if b := w.boxes[box]; b != nil {
		b.state = state
		w.directory.publish(w, false, b)
	}
}

// Tag is the tag of the copy that the core produces now.
func (w *World) Tag(object string, part int) string {
	return w.tag(key{object, part}, int(w.random.hash("group", object)%256), w.now)
}

// WriteRuns returns how often a write took effect.
func (w *World) WriteRuns(id string) int { return w.writeRuns[id] }

// unknownRequest stands in for the client request behind a GET that no client of this world caused.
func (w *World) unknownRequest(r *request, body int) *openRequest {
	return &openRequest{Request: Request{ID: r.id, Type: r.typ.Name, Object: r.key.object, Part: r.key.part,
		Group: r.typ.group(w, r.key.object), Body: body}}
}
