package driver

import (
	"errors"
	"fmt"
	"maps"
	"math"

	"poppymill/internal/quorum"
)

// Subsystems combines several subsystems into one. Each has state machines of its own.
type Subsystems []Subsystem

// StateMachines returns the state machines of all subsystems.
func (s Subsystems) StateMachines() map[string]quorum.StateMachine {
	all := map[string]quorum.StateMachine{}
	for _, subsystem := range s {
		maps.Copy(all, subsystem.StateMachines())
	}
	return all
}

// Start passes the replica to all subsystems.
func (s Subsystems) Start(c *Replica) {
	for _, subsystem := range s {
		subsystem.Start(c)
	}
}

// Handle passes the event to all subsystems. Each ignores the events of others.
func (s Subsystems) Handle(now float64, e any) {
	for _, subsystem := range s {
		subsystem.Handle(now, e)
	}
}

// NextDeadline returns the earliest time at which a subsystem has something due.
func (s Subsystems) NextDeadline() float64 {
	next := math.Inf(1)
	for _, subsystem := range s {
		next = min(next, subsystem.NextDeadline())
	}
	return next
}

// ErrUnknownSubject is returned by a subsystem for a query that another subsystem may answer.
var ErrUnknownSubject = errors.New("this gateway knows nothing of that")

// Query returns the answer of the first subsystem that knows the subject.
func (s Subsystems) Query(about, name string) (any, error) {
	for _, subsystem := range s {
		if body, err := subsystem.Query(about, name); !errors.Is(err, ErrUnknownSubject) {
			return body, err
		}
	}
	return nil, fmt.Errorf("%q: %w", about, ErrUnknownSubject)
}

// CheckCommand asks the subsystem that owns the command's state machine.
func (s Subsystems) CheckCommand(c quorum.Command) error {
	for _, subsystem := range s {
		if subsystem.StateMachines()[c.StateMachine] != nil {
			return subsystem.CheckCommand(c)
		}
	}
	return fmt.Errorf("%q: %w", c.StateMachine, ErrUnknownSubject)
}

// Idle reports whether all subsystems are idle.
func (s Subsystems) Idle() bool {
	for _, subsystem := range s {
		if !subsystem.Idle() {
			return false
		}
	}
	return true
}

// Close closes all subsystems.
func (s Subsystems) Close() (err error) {
	for _, subsystem := range s {
		err = errors.Join(err, subsystem.Close())
	}
	return err
}
