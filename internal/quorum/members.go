package quorum

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/canon"
)

// Member is one name of the fleet, as the log tells of it.
type Member struct {
	Name        string   `cbor:"1,keyasint"`
	Zone        string   `cbor:"2,keyasint"`
	Address     string   `cbor:"3,keyasint"`
	Incarnation uint64   `cbor:"4,keyasint"` // of its newest process; each start is a new one, and they only rise
	Nonce       uint64   `cbor:"5,keyasint"` // drawn by that process, so that a join that comes twice counts once
	Identity    uint64   `cbor:"6,keyasint"` // of its store; 0: it has none, and can't vote
	Standing    Standing `cbor:"7,keyasint"`
	Since       uint64   `cbor:"8,keyasint"`  // the place in the log from which it stands so
	Losses      uint64   `cbor:"9,keyasint"`  // how often its lease ran out, or it was replaced without a goodbye
	Doubled     uint64   `cbor:"10,keyasint"` // the newest of its older processes that was heard of after it was replaced
	Seq         uint64   `cbor:"11,keyasint"` // the last of its commands that counted
	Works       bool     `cbor:"12,keyasint"` // it takes part in owned work
	Starts      uint64   `cbor:"13,keyasint"` // of its store
}

// What the book of members hears.
const (
	membersBook = "members"
	nothing     = "nothing" // takes a number in its sender's order
	// All but nothing hold a Member, of which they say no more than what is named here.
	joins   = "join"    // name, zone, address, nonce, identity; incarnation: the one of that name that it knew of
	leaves  = "leave"   // name, incarnation
	silent  = "silent"  // the same, and since: how it stood when that was said
	returns = "return"  // the same
	doubled = "doubled" // name, and the incarnation of the older process that was heard of
)

// Errors of commands that were agreed and change nothing. They are results, the same at every gateway.
var (
	ErrReplaced = errors.New("a newer process of that name has joined")
	ErrRepeated = errors.New("it counted before")
	ErrEarly    = errors.New("an earlier one of that process has not come yet")
	ErrFull     = errors.New("no room for another name")
	ErrUnknown  = errors.New("unknown")
	ErrOldStore = errors.New("its store is an old copy: that store was started as often before")
)

// Members is the state that this package itself keeps in the log.
type Members struct {
	Most  int                `cbor:"-"`
	Last  uint64             `cbor:"1,keyasint"` // the last incarnation given out; it only rises
	Names map[string]*Member `cbor:"2,keyasint"`

	forgot string // the name that the last join took the place of
}

func newMembers(most int) *Members { return &Members{Most: most, Names: map[string]*Member{}} }

// By finds the member whose newest process an incarnation is.
func (m *Members) By(incarnation uint64) *Member {
	for _, x := range m.Names {
		if x.Incarnation == incarnation {
			return x
		}
	}
	return nil
}

// All lists the members by name.
func (m *Members) All() []*Member {
	var all []*Member
	for _, name := range slices.Sorted(maps.Keys(m.Names)) {
		all = append(all, m.Names[name])
	}
	return all
}

// counts tells whether a command of a member counts: those of a process that was replaced, or that come again, do not.
func (m *Members) counts(c Command) error {
	if c.From == 0 {
		return nil
	}
	x := m.By(c.From)
	if x == nil {
		return ErrReplaced
	}
	if c.Seq <= x.Seq {
		return ErrRepeated
	} else if c.Seq != x.Seq+1 {
		return ErrEarly
	}
	x.Seq = c.Seq
	return nil
}

// Apply takes a command of this book.
func (m *Members) Apply(index uint64, c Command) any {
	var said Member
	if c.Kind == nothing || canon.Decode(c.Data, &said) != nil {
		return ErrUnknown
	}
	x := m.Names[said.Name]
	switch {
	case c.Kind == joins:
		return m.join(index, said)
	case x == nil:
		return ErrUnknown
	case c.Kind == doubled:
		if said.Incarnation >= x.Incarnation || said.Incarnation <= x.Doubled {
			return ErrRepeated
		}
		x.Doubled = said.Incarnation
		return *x
	case said.Incarnation != x.Incarnation:
		return ErrReplaced
	case c.Kind != leaves && said.Since != x.Since:
		return ErrRepeated // it stands otherwise since that was said: a word that comes late, or again, says nothing of now
	}
	to := map[string]Standing{leaves: Left, silent: Silent, returns: Joined}[c.Kind]
	// Who has said goodbye does not come back under the same incarnation, whatever is late on its way.
	if to == Unknown || x.Standing == to || x.Standing == Left || c.Kind == silent && x.Standing != Joined {
		return ErrRepeated
	}
	if c.Kind == silent {
		x.Losses++
	}
	x.Standing, x.Since = to, index
	return *x
}

func (m *Members) join(index uint64, j Member) any {
	x := m.Names[j.Name]
	if x == nil {
		if !m.room() {
			return ErrFull
		}
		x = &Member{Name: j.Name}
		m.Names[j.Name] = x
	} else if x.Nonce == j.Nonce {
		return *x
	} else if x.Identity == j.Identity && j.Identity != 0 && j.Starts <= x.Starts {
		return ErrOldStore // put back, or copied: two of it must not vote
	} else if x.Incarnation != j.Incarnation {
		// It knew of an older one: a join that was late on its way would else replace the one that came after it.
		return ErrReplaced
	} else if x.Standing == Joined {
		x.Losses++
	}
	m.Last++
	x.Zone, x.Address, x.Identity, x.Nonce, x.Works, x.Starts = j.Zone, j.Address, j.Identity, j.Nonce, j.Works, j.Starts
	x.Incarnation, x.Standing, x.Since, x.Seq = m.Last, Joined, index, 0
	return *x
}

// room makes a place for a new name, at the cost of the one that has been gone for longest.
func (m *Members) room() bool {
	if len(m.Names) < m.Most {
		return true
	}
	var old *Member
	for _, x := range m.All() {
		if x.Standing != Joined && (old == nil || x.Since < old.Since) {
			old = x
		}
	}
	if old == nil {
		return false
	}
	delete(m.Names, old.Name)
	m.forgot = old.Name
	return true
}

// Save and Load write the state down and read it.
func (m *Members) Save() []byte { return canon.Encode(m) }

// Load takes the place of all that was there.
func (m *Members) Load(b []byte) error {
	n := newMembers(m.Most)
	if err := canon.Decode(b, n); err != nil {
		return err
	}
	if n.Names == nil || len(n.Names) > 1<<13 {
		return fmt.Errorf("members: %w: %d of them", canon.ErrUnreadable, len(n.Names))
	}
	*m = *n
	return nil
}
