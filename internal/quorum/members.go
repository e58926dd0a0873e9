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
	Name        string      `cbor:"1,keyasint"`
	Zone        string      `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Incarnation uint64      `cbor:"4,keyasint"` // of its newest process; each start is a new one, and they only rise
	Nonce       uint64      `cbor:"5,keyasint"` // drawn by that process, so that a join that comes twice counts once
	Identity    uint64      `cbor:"6,keyasint"` // of its store; 0: it has none, and can't vote
	Standing    MemberState `cbor:"7,keyasint"`
	Since       uint64      `cbor:"8,keyasint"`  // the place in the log from which it stands so
	Losses      uint64      `cbor:"9,keyasint"`  // how often its lease ran out, or it was replaced without a goodbye
	Doubled     uint64      `cbor:"10,keyasint"` // the newest of its older processes that was heard of after it was replaced
	Seq         uint64      `cbor:"11,keyasint"` // the last of its commands that counted
	Works       bool        `cbor:"12,keyasint"` // it takes part in owned work
	Starts      uint64      `cbor:"13,keyasint"` // of its store
}

// What the book of members hears.
const (
	membersBook = "members"
	cmdNoop     = "nothing" // takes a number in its sender's order
	// All but nothing hold a Member, of which they say no more than what is named here.
	cmdJoin    = "join"    // name, zone, address, nonce, identity; incarnation: the one of that name that it knew of
	cmdLeave   = "leave"   // name, incarnation
	cmdSilent  = "silent"  // the same, and since: how it stood when that was said
	cmdReturn  = "return"  // the same
	cmdDoubled = "doubled" // name, and the incarnation of the older process that was heard of
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
	MaxNames        int                `cbor:"-"`
	LastIncarnation uint64             `cbor:"1,keyasint"` // the last incarnation given out; it only rises
	Names           map[string]*Member `cbor:"2,keyasint"`

	evicted string // the name that the last join took the place of
}

func newMembers(maxNames int) *Members {
	return &Members{MaxNames: maxNames, Names: map[string]*Member{}}
}

// By finds the member whose newest process an incarnation is.
func (m *Members) ByIncarnation(incarnation uint64) *Member {
	for _, member := range m.Names {
		if member.Incarnation == incarnation {
			return member
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
func (m *Members) checkSequence(c Command) error {
	if c.From == 0 {
		return nil
	}
	member := m.ByIncarnation(c.From)
	if member == nil {
		return ErrReplaced
	}
	if c.Seq <= member.Seq {
		return ErrRepeated
	} else if c.Seq != member.Seq+1 {
		return ErrEarly
	}
	member.Seq = c.Seq
	return nil
}

// Apply takes a command of this book.
func (m *Members) Apply(index uint64, c Command) any {
	var reported Member
	if c.Kind == cmdNoop || canon.Decode(c.Data, &reported) != nil {
		return ErrUnknown
	}
	member := m.Names[reported.Name]
	switch {
	case c.Kind == cmdJoin:
		return m.join(index, reported)
	case member == nil:
		return ErrUnknown
	case c.Kind == cmdDoubled:
		if reported.Incarnation >= member.Incarnation || reported.Incarnation <= member.Doubled {
			return ErrRepeated
		}
		member.Doubled = reported.Incarnation
		return *member
	case reported.Incarnation != member.Incarnation:
		return ErrReplaced
	case c.Kind != cmdLeave && reported.Since != member.Since:
		return ErrRepeated // it stands otherwise since that was said: a word that comes late, or again, says nothing of now
	}
	next := map[string]MemberState{cmdLeave: Left, cmdSilent: Silent, cmdReturn: Joined}[c.Kind]
	// Who has said goodbye does not come back under the same incarnation, whatever is late on its way.
	if next == Unknown || member.Standing == next || member.Standing == Left || c.Kind == cmdSilent && member.Standing != Joined {
		return ErrRepeated
	}
	if c.Kind == cmdSilent {
		member.Losses++
	}
	member.Standing, member.Since = next, index
	return *member
}

func (m *Members) join(index uint64, joining Member) any {
	member := m.Names[joining.Name]
	if member == nil {
		if !m.makeRoom() {
			return ErrFull
		}
		member = &Member{Name: joining.Name}
		m.Names[joining.Name] = member
	} else if member.Nonce == joining.Nonce {
		return *member
	} else if member.Identity == joining.Identity && joining.Identity != 0 && joining.Starts <= member.Starts {
		return ErrOldStore // put back, or copied: two of it must not vote
	} else if member.Incarnation != joining.Incarnation {
		// It knew of an older one: a join that was late on its way would else replace the one that came after it.
		return ErrReplaced
	} else if member.Standing == Joined {
		member.Losses++
	}
	m.LastIncarnation++
	member.Zone, member.Address, member.Identity, member.Nonce, member.Works, member.Starts = joining.Zone, joining.Address, joining.Identity, joining.Nonce, joining.Works, joining.Starts
	member.Incarnation, member.Standing, member.Since, member.Seq = m.LastIncarnation, Joined, index, 0
	return *member
}

// room makes a place for a new name, at the cost of the one that has been gone for longest.
func (m *Members) makeRoom() bool {
	if len(m.Names) < m.MaxNames {
		return true
	}
	var oldest *Member
	for _, member := range m.All() {
		if member.Standing != Joined && (oldest == nil || member.Since < oldest.Since) {
			oldest = member
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.Names, oldest.Name)
	m.evicted = oldest.Name
	return true
}

// Save and Load write the state down and read it.
func (m *Members) Save() []byte { return canon.Encode(m) }

// Load takes the place of all that was there.
func (m *Members) Load(b []byte) error {
	loaded := newMembers(m.MaxNames)
	if err := canon.Decode(b, loaded); err != nil {
		return err
	}
	if loaded.Names == nil || len(loaded.Names) > 1<<13 {
		return fmt.Errorf("members: %w: %d of them", canon.ErrUnreadable, len(loaded.Names))
	}
	*m = *loaded
	return nil
}
