package purges

// This file holds what the state machine passes to a gateway's core as the log advances.

// Update is what a gateway's core needs to know of the purges after the log advanced.
type Update struct {
	Marks    []Mark  // published bounds
	Progress []State // paced purges that were accepted, advanced or ended; they share their names with the state machine
	Restored bool    // Progress lists all unpublished purges; others are over
	Index    uint64  // log index of the last published mark
}

// Empty reports whether the update changes nothing but its index.
func (u Update) Empty() bool { return len(u.Marks) == 0 && len(u.Progress) == 0 && !u.Restored }

// TakeMarks returns the marks published since the previous call.
func (b *StateMachine) TakeMarks() []Mark {
	marks := b.newMarks
	b.newMarks = nil
	return marks
}

// markProgress records that a paced purge changed.
func (b *StateMachine) markProgress(s *State) {
	if s.Limits.Rate == 0 || len(s.Purge.Objects) == 0 {
		return
	}
	if b.progress == nil {
		b.progress = map[string]bool{}
	}
	b.progress[s.Purge.ID] = true
}

// TakeUpdate returns what changed since the previous call. Restored: the state was replaced by a snapshot, and the update
// holds all of it.
func (b *StateMachine) TakeUpdate(restored bool) Update {
	u := Update{Marks: b.TakeMarks(), Progress: b.takeProgress(), Restored: restored, Index: b.LastIndex}
	if !restored {
		return u
	}
	u.Marks, u.Progress = b.Bounds.Marks(), nil
	for _, s := range b.unpublished() {
		u.Progress = append(u.Progress, *s)
	}
	return u
}

// takeProgress returns the paced purges that changed since the previous call.
func (b *StateMachine) takeProgress() (all []State) {
	for id := range b.progress {
		if s := b.Purges[id]; s != nil {
			all = append(all, *s)
		} else { // finished and evicted meanwhile
			all = append(all, State{Purge: Purge{ID: id}, Stage: Done})
		}
	}
	b.progress = nil
	return all
}
