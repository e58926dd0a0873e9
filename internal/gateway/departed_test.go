package gateway

import (
	"testing"

	"poppymill/internal/clients"
)

// sendWrite sends a renewal with an id of its own choice.
func (h *harness) sendWrite(c *client, id string, number uint16) {
	h.requests[id] = &request{client: c, number: number, typ: "renewal", expiry: h.now + 2000}
	h.core.Handle(RequestReceived{Client: c, ID: number, At: h.now, Params: map[string]string{"SCRIPT_NAME": "/invoke/renewal",
		"HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2000", "HTTP_X_ITEM": "00000000000000bb", "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}})
}

// Guards against requests of a client that has closed being sent on because they were read before its end was.
func TestRequestOfClosedClientIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.clients[0].gone = true
	h.sendWrite(h.clients[0], "00000000000000aa", 1)
	if got := h.clients[0].answers[1]; len(h.wires) != 0 || h.core.Open() != 0 || h.core.Departed != 1 || len(got) != 1 || got[0] != (clients.Answer{NoResponse: true}) {
		t.Errorf("%d connections, %d open, %d counted, answers %v", len(h.wires), h.core.Open(), h.core.Departed, got)
	}
}
