package quorum

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Freshness: the time up to which this gateway has seen all committed commands. A gateway that must stop an activity
// as soon as a command that it has not seen may have been committed (serving copies that were purged) sends read
// index requests to the leader continually. The leader answers with its commit index once a majority has confirmed,
// after the request came, that it is still the leader. When this gateway has applied the log up to that index, it has
// seen all that was committed before it sent the request. Both times are of its own clock, so nothing depends on
// other clocks, on a lease, or on the delay of a frame.

// readIndexState holds the requests of a gateway, and those that it serves as the leader.
type readIndexState struct {
	known       bool
	freshAsOf   float64            // all commands committed before this time of its own clock have been applied
	nextRequest float64            // when the next request is sent
	lastSeq     uint64             // sequence number of the last request
	sentAt      map[uint64]float64 // when each unanswered request was sent, by sequence number
	confirmed   []readIndexReply   // answers whose index is not applied yet

	waiting   map[string]Frame            // at the leader: requests for the next round, by sender
	round     uint64                      // number of the last round of confirmation by the majority
	inFlight  map[uint64]map[string]Frame // requests of the rounds in progress, by round
	nextRound float64                     // earliest time of the next round
}

// readIndexReply is an answer: when its request was sent, and the commit index confirmed after that.
type readIndexReply struct {
	sentAt float64
	index  uint64
}

// maxInFlight limits the unanswered requests, and the rounds in progress at the leader.
const maxInFlight = 16

// FreshAsOf returns the time of its own clock up to which this gateway has seen all committed commands; false: not known
// yet.
func (n *Node) FreshAsOf() (float64, bool) { return n.readIndex.freshAsOf, n.readIndex.known }

// pollReadIndex sends a request when one is due, and starts a round of confirmation at the leader.
func (n *Node) pollReadIndex() {
	state := &n.readIndex
	if n.settings.ReadIndexInterval <= 0 || n.founding == nil {
		return
	}
	if n.now >= state.nextRequest && (n.leader != "" || n.isLeader()) {
		if state.sentAt == nil {
			state.sentAt = map[uint64]float64{}
		}
		state.nextRequest = n.now + n.settings.ReadIndexInterval
		state.lastSeq++
		state.sentAt[state.lastSeq] = n.now
		delete(state.sentAt, state.lastSeq-maxInFlight)
		if n.isLeader() {
			n.handleReadIndex(n.settings.Name, Frame{EchoNonce: state.lastSeq})
		} else {
			n.send(n.leader, Frame{Kind: KindReadIndex, EchoNonce: state.lastSeq, Nonce: n.nonce})
		}
	}
	if n.isLeader() && len(state.waiting) > 0 && n.now >= state.nextRound {
		state.round++
		if state.inFlight == nil {
			state.inFlight = map[uint64]map[string]Frame{}
		}
		state.inFlight[state.round], state.waiting, state.nextRound = state.waiting, nil, n.now+n.settings.Heartbeat/2
		delete(state.inFlight, state.round-maxInFlight)
		n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, state.round))
	}
}

// readIndexDue returns when pollReadIndex has something to do; false: nothing.
func (n *Node) readIndexDue() (due float64, ok bool) {
	if n.settings.ReadIndexInterval <= 0 || n.founding == nil {
		return 0, false
	}
	switch {
	case n.isLeader() && len(n.readIndex.waiting) > 0:
		return min(n.readIndex.nextRequest, n.readIndex.nextRound), true
	case n.isLeader() || n.leader != "":
		return n.readIndex.nextRequest, true
	}
	return 0, false
}

// handleReadIndex queues a request at the leader. Other gateways drop it, and the sender repeats it.
func (n *Node) handleReadIndex(from string, f Frame) {
	if !n.isLeader() {
		return
	}
	if n.readIndex.waiting == nil {
		n.readIndex.waiting = map[string]Frame{}
	}
	if _, waiting := n.readIndex.waiting[from]; waiting || len(n.readIndex.waiting) < n.settings.MaxMembers {
		n.readIndex.waiting[from] = f
	}
}

// readIndexConfirmed answers the requests of a round: a majority confirmed that this gateway was the leader when the
// round began.
func (n *Node) readIndexConfirmed(context []byte, index uint64) {
	if len(context) != 8 {
		return
	}
	round := binary.BigEndian.Uint64(context)
	requests := n.readIndex.inFlight[round]
	delete(n.readIndex.inFlight, round)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if f := requests[name]; name == n.settings.Name {
			n.handleReadIndexReply(f.EchoNonce, index)
		} else {
			n.send(name, Frame{Kind: KindReadIndexReply, EchoNonce: f.EchoNonce, Nonce: f.Nonce, Applied: index})
		}
	}
}

// handleReadIndexReply records an answer.
func (n *Node) handleReadIndexReply(echo, index uint64) {
	sentAt, known := n.readIndex.sentAt[echo]
	if !known {
		return
	}
	delete(n.readIndex.sentAt, echo)
	if n.readIndex.confirmed = append(n.readIndex.confirmed, readIndexReply{sentAt, index}); len(n.readIndex.confirmed) > maxInFlight {
		n.readIndex.confirmed = n.readIndex.confirmed[1:]
	}
}

// advanceFreshness consumes the answers whose index has been applied.
func (n *Node) advanceFreshness() {
	state := &n.readIndex
	state.confirmed = slices.DeleteFunc(state.confirmed, func(reply readIndexReply) bool {
		if reply.index > n.applied {
			return false
		}
		state.freshAsOf, state.known = max(state.freshAsOf, reply.sentAt), true
		return true
	})
}
