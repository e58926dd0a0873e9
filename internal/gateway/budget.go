package gateway

import (
	"poppymill/internal/buffer"
	"poppymill/internal/footprint"
)

// Budget is how a gateway's limits are shared out. What does not fit is turned away with an answer, so that neither
// the limit on memory nor the one on descriptors ends the process.
type Budget struct {
	Clients, Caches int // connections
	Reads, Bodies   int // bytes of buffers
	Open            int // downloads owed an answer
	Heap            int // bytes from which on the collector works harder
}

const (
	spare    = 24       // descriptors that are no connection: listener, channel, those about to close
	aside    = 6 << 20  // bytes that no part of this shares out: the program's own pages, the runtime's tables
	perConn  = 24 << 10 // of a connection beside its buffer: stacks, the protocol's state, what is remembered of it
	perOpen  = 4 << 10  // of a download: fields, notes, pulls and alarms, in the router too
	leastFor = 16       // clients at least, and nodes
)

// Share makes the budget. Clients hold a third of the descriptors at most; a few more are let in, as those that they
// have just closed still count here. A third of the memory is for connections, an eighth for open downloads, a
// quarter for bodies; what is left is the router's tables and what awaits collection.
func Share(c *footprint.Config) Budget {
	memory := c.MemoryMB<<20 - aside
	conns := max(2*leastFor, min(c.Sockets-spare, memory/3/(buffer.Size+perConn)))
	clients := max(leastFor, conns*2/5)
	return Budget{Clients: clients, Caches: conns - clients, Reads: conns * buffer.Size, Bodies: memory / 4,
		Open: min(c.MostOpen, memory/8/perOpen), Heap: memory - memory/8}
}

// peersMost is how many connections the agreement among gateways may hold.
func peersMost(c *footprint.Config) int { return max(leastFor, c.Sockets/8) }

// shareBeside makes the budget of a gateway that takes part in the agreement: its connections, and as many descriptors again as a
// quarter of the spare ones for its listener, its store and calls under way, are set aside first.
func shareBeside(c *footprint.Config) Budget {
	rest := *c
	rest.Sockets -= peersMost(c) + spare/4
	return Share(&rest)
}
