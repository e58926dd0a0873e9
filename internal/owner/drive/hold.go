package drive

import (
	"errors"

	"poppymill/internal/owner"
	"poppymill/internal/owner/place"
)

// Hold is the kind of jobs that are only owned: their one step is never done. Who owns one does something that the log itself checks.
const Hold = "hold"

// HoldHand carries out the step of a job that is only owned, by never ending it: it is taken for lost after a while and goes out anew,
// which costs nothing. People don't ask for such jobs.
func HoldHand() Hand {
	return Hand{Type: owner.Safe, Check: func(owner.Job) error { return errors.New("kind: the leader asks for it by itself") },
		Do: func(place.Effect, func(owner.End)) {}}
}
