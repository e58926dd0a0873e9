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
type sight struct {
	knows    bool
	at       float64            // it knows all that was agreed before then, by its own clock
	due      float64            // when it asks again
	seq      uint64             // of its last question
	put      map[uint64]float64 // questions without an answer, and when they were put
	answered []sighting         // answers that it has not followed yet

	asks  map[string]Frame            // at the leader: who waits for the next round
	round uint64                      // of questions to the majority
	under map[uint64]map[string]Frame // rounds that are under way
	next  float64                     // when there may be another
}

type sighting struct {
	put   float64
	index uint64
}

// mostPut bounds the questions without an answer, and the leader's rounds under way.
const mostPut = 16

// Sight is the time, by its own clock, until which this gateway knows all that was agreed; false: it never did.
func (n *Node) Sight() (float64, bool) { return n.sight.at, n.sight.knows }

// lookOut asks, and has the leader put to the majority what was asked.
func (n *Node) lookOut() {
	s := &n.sight
	if n.set.Sight <= 0 || n.founded == nil {
		return
	}
	if n.now >= s.due && (n.leader != "" || n.leads()) {
		if s.put == nil {
			s.put = map[uint64]float64{}
		}
		s.due = n.now + n.set.Sight
		s.seq++
		s.put[s.seq] = n.now
		delete(s.put, s.seq-mostPut)
		if n.leads() {
			n.sightAsked(n.set.Name, Frame{Echo: s.seq})
		} else {
			n.send(n.leader, Frame{Kind: Sight, Echo: s.seq, Nonce: n.nonce})
		}
	}
	if n.leads() && len(s.asks) > 0 && n.now >= s.next {
		s.round++
		if s.under == nil {
			s.under = map[uint64]map[string]Frame{}
		}
		s.under[s.round], s.asks, s.next = s.asks, nil, n.now+n.set.Beat/2
		delete(s.under, s.round-mostPut)
		n.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, s.round))
	}
}

// sightDue is when it has something to do for that.
func (n *Node) sightDue() (due float64, is bool) {
	if n.set.Sight <= 0 || n.founded == nil {
		return 0, false
	}
	switch {
	case n.leads() && len(n.sight.asks) > 0:
		return min(n.sight.due, n.sight.next), true
	case n.leads() || n.leader != "":
		return n.sight.due, true
	}
	return 0, false
}

// sightAsked is a question at the leader; another lets it fall, and it comes again.
func (n *Node) sightAsked(from string, f Frame) {
	if !n.leads() {
		return
	}
	if n.sight.asks == nil {
		n.sight.asks = map[string]Frame{}
	}
	if _, again := n.sight.asks[from]; again || len(n.sight.asks) < n.set.Members {
		n.sight.asks[from] = f
	}
}

// confirmed answers all that was asked before a round: a majority says that this gateway led when it began.
func (n *Node) confirmed(context []byte, index uint64) {
	if len(context) != 8 {
		return
	}
	round := binary.BigEndian.Uint64(context)
	all := n.sight.under[round]
	delete(n.sight.under, round)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if f := all[name]; name == n.set.Name {
			n.seen(f.Echo, index)
		} else {
			n.send(name, Frame{Kind: Seen, Echo: f.Echo, Nonce: f.Nonce, Applied: index})
		}
	}
}

// seen is an answer.
func (n *Node) seen(echo, index uint64) {
	put, known := n.sight.put[echo]
	if !known {
		return
	}
	delete(n.sight.put, echo)
	if n.sight.answered = append(n.sight.answered, sighting{put, index}); len(n.sight.answered) > mostPut {
		n.sight.answered = n.sight.answered[1:]
	}
}

// catchUp takes what was answered and is followed by now.
func (n *Node) catchUp() {
	s := &n.sight
	s.answered = slices.DeleteFunc(s.answered, func(x sighting) bool {
		if x.index > n.applied {
			return false
		}
		s.at, s.knows = max(s.at, x.put), true
		return true
	})
}
