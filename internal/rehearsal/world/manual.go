package world

import "poppymill/internal/rehearsal/script"

// What follows is for those who play a deployment by hand, and for tests. It is called between events.

// Happen does at once what an event of a script does.
func (w *World) Happen(e script.Event) { w.applyEvent(&e, 0) }

// Purge makes all copies of an object old, and tells of it as late as the script says.
func (w *World) Purge(object string) { w.purge(object, -1) }

// SetState changes how a box stands in the list, and tells of it at once.
func (w *World) SetState(box, state string) {
	if b := w.boxes[box]; b != nil {
		b.state = state
		w.directory.publish(w, false, b)
	}
}

// Tag is that of the copy that the core gives out now.
func (w *World) Tag(object string, part int) string {
	return w.tag(key{object, part}, int(w.random.hash("group", object)%256), w.now)
}

// Ran tells how often a write took effect.
func (w *World) Ran(id string) int { return w.writeRuns[id] }

// stranger makes a request of one that no client of this world sent.
func (w *World) unknownRequest(r *request, body int) *openRequest {
	return &openRequest{Request: Request{ID: r.id, Type: r.typ.Name, Object: r.key.object, Part: r.key.part,
		Group: r.typ.group(w, r.key.object), Body: body}}
}
