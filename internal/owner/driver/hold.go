package driver

import (
	"errors"

	"poppymill/internal/owner"
	"poppymill/internal/owner/effectlog"
)

// KindHold is the kind of jobs that serve as a lock: their only step never ends. The owner of one does work that the
// log itself checks.
const KindHold = "hold"

// HoldHandler returns the handler of hold jobs (KindHold), which never ends a step: the step times out and is sent
// again, at no cost. Operators can't start such jobs.
func HoldHandler() Handler {
	return Handler{Type: owner.Safe, Check: func(owner.Job) error { return errors.New("kind: the leader asks for it by itself") },
		Do: func(effectlog.Effect, func(owner.Outcome)) {}}
}
