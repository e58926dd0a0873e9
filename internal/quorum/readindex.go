package quorum

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Until when does this gateway know all that was agreed? Who has to stop doing something as soon as that may be agreed without its knowing
// (answering from copies that were purged) asks the leader again and again. The leader answers with how far the log went once a majority
// has said, after the question came, that it still leads; once this gateway has followed so far, it knows all that was agreed before it put
// the question. Times are its own from one end to the other, so nothing rests on clocks of others, on a lease, or on how long a frame takes.

// sight is a gateway's part of it, and the leader's.
type readIndexState struct {
	known       bool
	freshAsOf   float64            // it knows all that was agreed before then, by its own clock
	nextRequest float64            // when it asks again
	lastSeq     uint64             // of its last question
	sentAt      map[uint64]float64 // questions without an answer, and when they were put
	confirmed   []readIndexReply   // answers that it has not followed yet

	waiting   map[string]Frame            // at the leader: who waits for the next round
	round     uint64                      // of questions to the majority
	inFlight  map[uint64]map[string]Frame // rounds that are under way
	nextRound float64                     // when there may be another
}

type readIndexReply struct {
	sentAt float64
	index  uint64
}

// mostPut bounds the questions without an answer, and the leader's rounds under way.
const maxInFlight = 16

// Sight is the time, by its own clock, until which this gateway knows all that was agreed; false: it never did.
func (n *Node) Sight() (float64, bool) { return n.readIndex.freshAsOf, n.readIndex.known }

// lookOut asks, and has the leader put to the majority what was asked.
func (n *Node) pollReadIndex() {
	state := &n.readIndex
	if n.settings.Sight <= 0 || n.founding == nil {
		return
	}
	if n.now >= state.nextRequest && (n.leader != "" || n.isLeader()) {
		if state.sentAt == nil {
			state.sentAt = map[uint64]float64{}
		}
		state.nextRequest = n.now + n.settings.Sight
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
		state.inFlight[state.round], state.waiting, state.nextRound = state.waiting, nil, n.now+n.settings.Beat/2
		delete(state.inFlight, state.round-maxInFlight)
		n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, state.round))
	}
}

// sightDue is when it has something to do for that.
func (n *Node) readIndexDue() (due float64, ok bool) {
	if n.settings.Sight <= 0 || n.founding == nil {
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

// sightAsked is a question at the leader; another lets it fall, and it comes again.
func (n *Node) handleReadIndex(from string, f Frame) {
	if !n.isLeader() {
		return
	}
	if n.readIndex.waiting == nil {
		n.readIndex.waiting = map[string]Frame{}
	}
	if _, waiting := n.readIndex.waiting[from]; waiting || len(n.readIndex.waiting) < n.settings.Members {
		n.readIndex.waiting[from] = f
	}
}

// confirmed answers all that was asked before a round: a majority says that this gateway led when it began.
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

// seen is an answer.
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

// catchUp takes what was answered and is followed by now.
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
