package drive

import (
	"errors"
	"fmt"
	"maps"
	"math"

	"poppymill/internal/quorum"
)

// Parts combines several parts into one. Each has state machines of its own.
type Parts []Part

// Books returns the state machines of all parts.
func (p Parts) Books() map[string]quorum.StateMachine {
	all := map[string]quorum.StateMachine{}
	for _, part := range p {
		maps.Copy(all, part.Books())
	}
	return all
}

// Begin passes the council to all parts.
func (p Parts) Begin(c *Council) {
	for _, part := range p {
		part.Begin(c)
	}
}

// Handle passes the event to all parts. Each ignores the events of others.
func (p Parts) Handle(now float64, e any) {
	for _, part := range p {
		part.Handle(now, e)
	}
}

// Next returns the earliest time at which a part has something due.
func (p Parts) Next() float64 {
	next := math.Inf(1)
	for _, part := range p {
		next = min(next, part.Next())
	}
	return next
}

// ErrNotMine is returned by a part for a query that another part may answer.
var ErrNotMine = errors.New("this gateway knows nothing of that")

// Tell returns the answer of the first part that knows the subject.
func (p Parts) Tell(about, name string) (any, error) {
	for _, part := range p {
		if body, err := part.Tell(about, name); !errors.Is(err, ErrNotMine) {
			return body, err
		}
	}
	return nil, fmt.Errorf("%q: %w", about, ErrNotMine)
}

// Allow asks the part that owns the command's state machine.
func (p Parts) Allow(c quorum.Command) error {
	for _, part := range p {
		if part.Books()[c.StateMachine] != nil {
			return part.Allow(c)
		}
	}
	return fmt.Errorf("%q: %w", c.StateMachine, ErrNotMine)
}

// Idle reports whether all parts are idle.
func (p Parts) Idle() bool {
	for _, part := range p {
		if !part.Idle() {
			return false
		}
	}
	return true
}

// Close closes all parts.
func (p Parts) Close() (err error) {
	for _, part := range p {
		err = errors.Join(err, part.Close())
	}
	return err
}
