package gateway

import (
	"fmt"

	"poppymill/internal/buffer"
	"poppymill/internal/gatewayconfig"
)

// Budget divides a gateway's limits on memory and descriptors among its parts. Requests that do not fit are turned away
// with an answer, so that neither limit ends the process.
type Budget struct {
	Clients, Caches int // numbers of connections
	Reads, Bodies   int // bytes of buffers for reading and for bodies
	Requests        int // the part of Bodies that requests from clients may take; the rest is for answers
	Open            int // downloads not answered yet
	EndedWrites     int // ids of ended writes that are remembered
	Heap            int // soft memory limit of the garbage collector, in bytes
}

// What the budget sets aside or assumes; memory in bytes.
const (
	reservedDescriptors = 24       // listener, command channel and descriptors about to close
	reservedMemory      = 6 << 20  // outside the budget: the program's own pages and the runtime's tables
	memoryPerConn       = 24 << 10 // beside its buffer: stacks, protocol state, bookkeeping
	memoryPerEndedWrite = 64
	memoryPerDownload   = 4 << 10 // fields, notes, pulls and alarms, also those in the router
	minConnsPerSide     = 16      // minimum for clients, and for caches
)

// NewBudget computes the budget. Clients hold at most a third of the descriptors; two fifths are allowed, as connections
// that they have just closed still count here. A third of the memory is for connections, an eighth for open downloads
// and a quarter for bodies, half of which requests from clients may take; the rest is for the router's tables and garbage that is not collected yet.
func NewBudget(c *gatewayconfig.Config) Budget {
	memory := c.MemoryMB<<20 - reservedMemory
	conns := max(2*minConnsPerSide, min(c.Sockets-reservedDescriptors, memory/3/(buffer.Size+memoryPerConn)))
	clients := max(minConnsPerSide, conns*2/5)
	return Budget{Clients: clients, Caches: conns - clients, Reads: conns * buffer.Size, Bodies: memory / 4, Requests: memory / 8,
		Open: min(c.MaxOpen, memory/8/memoryPerDownload), EndedWrites: memory / 64 / memoryPerEndedWrite, Heap: memory - memory/8}
}

// maxPeerConns returns how many connections the quorum of gateways may hold.
func maxPeerConns(c *gatewayconfig.Config) int { return max(minConnsPerSide, c.Sockets/8) }

// minMemoryMB is the smallest memory limit, in MB, that leaves room for a gateway's own work.
const minMemoryMB = 20

// BudgetFor computes the budget of a gateway with an operator's settings. What the quorum needs of the descriptors, and the
// tables of signed links of the memory, is set aside first.
func BudgetFor(c *gatewayconfig.Config, s *Settings) (Budget, error) {
	rest := *c
	if s.Quorum.On {
		rest.Sockets -= quorumDescriptors(c)
	}
	if s.Links.On {
		tables := (s.Links.Settings.TableBytes() + 1<<20 - 1) >> 20
		if rest.MemoryMB -= tables; rest.MemoryMB < minMemoryMB && tables > 0 {
			return Budget{}, fmt.Errorf("links: memory: its tables take %d MB of limits.memory_mb = %d, at least %d MB must be left", tables, c.MemoryMB, minMemoryMB)
		}
	}
	return NewBudget(&rest), nil
}

// quorumDescriptors returns how many descriptors the quorum may hold: the peer connections, and a quarter of
// reservedDescriptors more for its listener, store and pending calls.
func quorumDescriptors(c *gatewayconfig.Config) int { return maxPeerConns(c) + reservedDescriptors/4 }
