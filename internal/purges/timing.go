package purges

import "slices"

// This file holds the times of a purge. All of them follow from its acceptance, so every gateway derives the same. An
// object of a paced purge is due when the rate has reached it, overdue if its batch is late, and in force from a time at
// which no batch is needed any more: every gateway then goes by the purge, whatever was agreed since.

// Fractions of the delay, counted from when an object is due. Clocks may differ by another quarter (Limits.Skew), and
// the last quarter is for responses on their way.
const (
	overdueAfter = 0.25 // the leader may send its batch in the place of the owner, and fills no longer hold it back
	inForceAfter = 0.5  // every gateway applies it by its own clock
)

// beginAfter is the fraction of the delay after which any gateway begins a purge that the leader has not begun, as when the
// leader's file lacks the block.
const beginAfter = 0.125

// paceTolerance is the time, in ms, by which a batch may precede its turn under the rate, so that the intervals at which
// batches are looked for do not slow them down.
const paceTolerance = 100.0

// startOf returns when the first object of a purge is due. All purges with a rate share it, in the order of the log; those
// without objects are published at once and wait for none.
func (b *StateMachine) startOf(s *State) float64 {
	start := s.Accepted
	if s.Limits.Rate == 0 || len(s.Purge.Objects) == 0 {
		return start
	}
	for _, x := range b.Purges {
		if x.Stage == Publishing && x.LogIndex < s.LogIndex {
			start = max(start, x.dueAt(len(x.Purge.Objects)))
		}
	}
	return start
}

// dueAt returns when the object with this index is to be published.
func (s *State) dueAt(object int) float64 {
	if s.Limits.Rate == 0 {
		return s.Start
	}
	return s.Start + s.paceOf(object)
}

// paceOf returns the time, in ms, that so many objects take at the rate.
func (s *State) paceOf(objects int) float64 { return 1000 * float64(objects) / s.Limits.Rate }

// overdue reports whether an object is so late that its owner must be lost. Any gateway that knows of it may then send
// its batch.
func (s *State) overdue(object int, now float64) bool {
	return s.Limits.Rate > 0 && now >= s.dueAt(object)+overdueAfter*s.Limits.Delay
}

// inForceAt returns when every gateway that knows of the purge applies it to the object, published or not.
func (s *State) inForceAt(object int) float64 { return s.dueAt(object) + inForceAfter*s.Limits.Delay }

// Effective returns the time from which no older copy is served anywhere. It is known on acceptance, and fixed once the
// purge is not provisional.
func (s *State) Effective() float64 { return s.dueAt(len(s.Purge.Objects)) + s.Limits.Delay }

// pacedAfter returns when the rate allows another batch after the objects first to next-1 were sent. Objects that are in
// force already cause no further fills and are not counted.
func (s *State) pacedAfter(pacedUntil float64, first, next int, sent float64) float64 {
	for first < next && sent >= s.inForceAt(first) {
		first++
	}
	if first == next {
		return pacedUntil
	}
	return max(pacedUntil, sent) + s.paceOf(next-first)
}

// missesValidFor is the time, in ms, for which a gateway's report of its misses is used.
const missesValidFor = 5000.0

// totalMisses sums the fills per second of all joined gateways with a recent report.
func (b *StateMachine) totalMisses() (sum float64) {
	for _, g := range b.Gateways {
		if g.Joined && b.Now < g.MissesAt+missesValidFor {
			sum += g.Misses
		}
	}
	return sum
}

// AwaitsMisses reports whether the gateways have to report their misses, as a purge with a limit on fills is in
// progress.
func (b *StateMachine) AwaitsMisses() bool {
	return slices.ContainsFunc(b.unpublished(), func(s *State) bool { return s.Limits.MaxFills > 0 })
}

// batchFrom returns the batch of a purge that begins with the object first.
func (s *State) batchFrom(first int, now float64) CommandData {
	return CommandData{At: now, ID: s.Purge.ID, First: first, Next: min(len(s.Purge.Objects), first+s.Limits.Batch)}
}

// batchDue reports whether a batch may be published, given when the rate allows one after those before it. A mass purge
// must not overload hubs and core, so misses delay the next batch, but never so long that the delay of the purge is
// exceeded.
func (b *StateMachine) batchDue(s *State, o CommandData, now, pacedUntil float64) bool {
	switch l := s.Limits; {
	case s.Provisional || now < s.dueAt(o.First):
		return false
	case l.MaxFills > 0 && !s.overdue(o.First, now) && b.totalMisses() > l.MaxFills:
		return false
	}
	return now >= pacedUntil-paceTolerance || now >= s.inForceAt(o.Next-1)
}
