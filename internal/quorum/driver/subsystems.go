package driver

import (
	"errors"
	"fmt"
	"maps"
	"math"

	"poppymill/internal/quorum"
)

// Subsystems combines several parts into one. Each has state machines of its own.
type Subsystems []Subsystem

// StateMachines returns the state machines of all parts.
func (p Subsystems) StateMachines() map[string]quorum.StateMachine {
	all := map[string]quorum.StateMachine{}
	for _, part := range p {
		maps.Copy(all, part.StateMachines())
	}
	return all
}

// Start passes the council to all parts.
func (p Subsystems) Start(c *Replica) {
	for _, part := range p {
		part.Start(c)
	}
}

// Handle passes the event to all parts. Each ignores the events of others.
func (p Subsystems) Handle(now float64, e any) {
	for _, part := range p {
		part.Handle(now, e)
	}
}

// NextDeadline returns the earliest time at which a part has something due.
func (p Subsystems) NextDeadline() float64 {
	next := math.Inf(1)
	for _, part := range p {
		next = min(next, part.NextDeadline())
	}
	return next
}

// ErrUnknownSubject is returned by a part for a query that another part may answer.
var ErrUnknownSubject = errors.New("this gateway knows nothing of that")

// Query returns the answer of the first part that knows the subject.
func (p Subsystems) Query(about, name string) (any, error) {
	for _, part := range p {
		if body, err := part.Query(about, name); !errors.Is(err, ErrUnknownSubject) {
			return body, err
		}
	}
	return nil, fmt.Errorf("%q: %w", about, ErrUnknownSubject)
}

// CheckCommand asks the part that owns the command's state machine.
func (p Subsystems) CheckCommand(c quorum.Command) error {
	for _, part := range p {
		if part.StateMachines()[c.StateMachine] != nil {
			return part.CheckCommand(c)
		}
	}
	return fmt.Errorf("%q: %w", c.StateMachine, ErrUnknownSubject)
}

// Idle reports whether all parts are idle.
func (p Subsystems) Idle() bool {
	for _, part := range p {
		if !part.Idle() {
			return false
		}
	}
	return true
}

// Close closes all parts.
func (p Subsystems) Close() (err error) {
	for _, part := range p {
		err = errors.Join(err, part.Close())
	}
	return err
}
