package purges

import "slices"

// Schedule holds the unpublished objects of the paced purges that a gateway knows of. Each comes into force there by the
// gateway's own clock if its batch is late, because the gateways take too long to agree on it or nobody sends it. Objects
// come into force one by one at the rate of the purge, so that a late purge loads the core no more than one in time. The
// zero value is an empty schedule.
type Schedule struct {
	purges   map[string]*State // by id
	byObject map[string][]scheduledObject
}

// scheduledObject is the position of an object in a purge.
type scheduledObject struct {
	purge *State
	index int
}

// Update records the progress of a paced purge. Objects that were published leave the schedule, as their marks are in
// force; so do those that a cancelled purge has left.
func (s *Schedule) Update(progress State) {
	id := progress.Purge.ID
	purge := s.purges[id]
	if purge != nil && (progress.Stage != Publishing || progress.LogIndex != purge.LogIndex) { // over, or its id is used again
		s.removeBefore(purge, len(purge.Purge.Objects))
		delete(s.purges, id)
		purge = nil
	}
	switch {
	case progress.Stage != Publishing:
	case purge == nil:
		s.add(id, &progress)
	default:
		s.removeBefore(purge, progress.Published)
		*purge = progress
	}
}

// add schedules the unpublished objects of a purge.
func (s *Schedule) add(id string, purge *State) {
	if s.purges == nil {
		s.purges, s.byObject = map[string]*State{}, map[string][]scheduledObject{}
	}
	s.purges[id] = purge
	for i := purge.Published; i < len(purge.Purge.Objects); i++ {
		object := purge.Purge.Objects[i]
		s.byObject[object] = append(s.byObject[object], scheduledObject{purge, i})
	}
}

// removeBefore removes the objects of a purge before index next.
func (s *Schedule) removeBefore(purge *State, next int) {
	for ; purge.Published < next; purge.Published++ {
		object, removed := purge.Purge.Objects[purge.Published], scheduledObject{purge, purge.Published}
		rest := slices.DeleteFunc(s.byObject[object], func(x scheduledObject) bool { return x == removed })
		if s.byObject[object] = rest; len(rest) == 0 {
			delete(s.byObject, object)
		}
	}
}

// Bound returns the minimum creation times of copies for a download of a club, as BoundSet.Bound does, by the scheduled
// objects that are in force at time now.
func (s *Schedule) Bound(now float64, club, object string) (hard, soft float64) {
	var b bound
	for _, x := range s.byObject[object] {
		purge := &x.purge.Purge
		if (purge.Club == "" || purge.Club == club) && now >= x.purge.inForceAt(x.index) {
			b = b.raise(x.purge.boundTime(), purge.Stale)
		}
	}
	return b.Hard, b.Soft
}
