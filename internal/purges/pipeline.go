package purges

import "slices"

// Pipeline holds the batches that this gateway has proposed and whose outcome it does not know. Batches follow each
// other without waiting for the previous one to be agreed, so that their rate does not depend on how long that takes.
// The log applies them in order; a batch that overtook another is rejected, and proposed again. The zero value is ready
// for use.
type Pipeline struct{ inFlight []proposedBatch }

// proposedBatch is a batch in flight.
type proposedBatch struct {
	id    string
	first int
	at    float64 // when it was proposed
}

// maxInFlight limits the batches in flight.
const maxInFlight = 32

// Due returns the batches to propose now, in order, and counts them as in flight until Ended. The owner sends batches that
// are due, the leader those that the owner left overdue.
func (p *Pipeline) Due(b *StateMachine, now float64, token uint64, owns, leads bool) (due []CommandData) {
	if !owns && !leads {
		return nil
	}
	p.dropPublished(b)
	pacedUntil, batches := b.PacedUntil, 0
	for _, s := range b.unpublished() {
		for first := s.Published; first < len(s.Purge.Objects); batches++ {
			o := s.batchFrom(first, now)
			proposedAt, inFlight := p.find(o)
			if !inFlight {
				mayPropose := owns || s.overdue(o.First, now)
				if !mayPropose || batches >= maxInFlight || !b.batchDue(s, o, now, pacedUntil) {
					return due
				}
				proposedAt, o.Token = now, token
				p.inFlight = append(p.inFlight, proposedBatch{o.ID, o.First, now})
				due = append(due, o)
			}
			pacedUntil = s.pacedAfter(pacedUntil, o.First, o.Next, proposedAt)
			first = o.Next
		}
	}
	return due
}

// Ended records that the outcome of a proposed batch is known.
func (p *Pipeline) Ended(id string, first int) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(x proposedBatch) bool { return x.id == id && x.first == first })
}

// find returns when a batch in flight was proposed.
func (p *Pipeline) find(o CommandData) (at float64, inFlight bool) {
	for _, x := range p.inFlight {
		if x.id == o.ID && x.first == o.First {
			return x.at, true
		}
	}
	return 0, false
}

// dropPublished forgets batches that are published, or whose purge is over.
func (p *Pipeline) dropPublished(b *StateMachine) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(x proposedBatch) bool {
		s := b.Purges[x.id]
		return s == nil || s.Stage != Publishing || x.first < s.Published
	})
}
