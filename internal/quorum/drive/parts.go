package drive

import (
	"errors"
	"fmt"
	"maps"
	"math"

	"poppymill/internal/quorum"
)

// Parts are several parts that live in one council's loop, each with books of its own.
type Parts []Part

// Books are those of all.
func (p Parts) Books() map[string]quorum.Book {
	all := map[string]quorum.Book{}
	for _, x := range p {
		maps.Copy(all, x.Books())
	}
	return all
}

// Begin hands all of them the council.
func (p Parts) Begin(c *Council) {
	for _, x := range p {
		x.Begin(c)
	}
}

// Handle has all of them hear of it; each takes what is for it.
func (p Parts) Handle(now float64, e any) {
	for _, x := range p {
		x.Handle(now, e)
	}
}

// Next is when the first has something due.
func (p Parts) Next() float64 {
	next := math.Inf(1)
	for _, x := range p {
		next = min(next, x.Next())
	}
	return next
}

// ErrNotMine is a part's answer about what another may know.
var ErrNotMine = errors.New("this gateway knows nothing of that")

// Tell has the one answer that knows of it.
func (p Parts) Tell(about, name string) (any, error) {
	for _, x := range p {
		if body, err := x.Tell(about, name); !errors.Is(err, ErrNotMine) {
			return body, err
		}
	}
	return nil, fmt.Errorf("%q: %w", about, ErrNotMine)
}

// Allow asks the one whose book it is.
func (p Parts) Allow(c quorum.Command) error {
	for _, x := range p {
		if x.Books()[c.Book] != nil {
			return x.Allow(c)
		}
	}
	return fmt.Errorf("%q: %w", c.Book, ErrNotMine)
}

// Idle tells whether all may end.
func (p Parts) Idle() bool {
	for _, x := range p {
		if !x.Idle() {
			return false
		}
	}
	return true
}

// Close ends all.
func (p Parts) Close() (err error) {
	for _, x := range p {
		err = errors.Join(err, x.Close())
	}
	return err
}
