package quorum

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/codec"
)

// Member is one named gateway of the fleet, as recorded in the log.
type Member struct {
	Name                 string      `cbor:"1,keyasint"`
	Zone                 string      `cbor:"2,keyasint"`
	Address              string      `cbor:"3,keyasint"`
	Incarnation          uint64      `cbor:"4,keyasint"` // of its newest process; every start gets a new, higher one
	Nonce                uint64      `cbor:"5,keyasint"` // random, drawn by that process, so that a join that is committed twice counts once
	Identity             uint64      `cbor:"6,keyasint"` // of its store; 0: it has none, and cannot vote
	State                MemberState `cbor:"7,keyasint"`
	Since                uint64      `cbor:"8,keyasint"`  // the log index of its last change of State
	LeaseExpirations     uint64      `cbor:"9,keyasint"`  // how often its lease expired, or it was replaced without having left
	DuplicateIncarnation uint64      `cbor:"10,keyasint"` // the newest of its older processes that renewed a lease after being replaced
	Seq                  uint64      `cbor:"11,keyasint"` // sequence number of the last command applied
	RunsOwnedWork        bool        `cbor:"12,keyasint"` // it takes part in owned work
	Starts               uint64      `cbor:"13,keyasint"` // how often its store was opened
}

// The kinds of commands of this package's own state machine.
const (
	membersStateMachine = "members"
	cmdNoop             = "nothing" // uses up a sequence number of the sender
	// All but cmdNoop carry a Member, of which only the fields listed here are set.
	cmdJoin    = "join"    // name, zone, address, nonce, identity; incarnation: the last one of that name known to the sender
	cmdLeave   = "leave"   // name, incarnation
	cmdSilent  = "silent"  // the same, and since: that of the state it was declared silent in
	cmdReturn  = "return"  // as for cmdSilent
	cmdDoubled = "doubled" // name, and the incarnation of the older process that still renews its lease
)

// Results of committed commands that change nothing. They are the same on every gateway.
var (
	ErrReplaced = errors.New("a newer process of that name has joined")
	ErrRepeated = errors.New("it counted before")
	ErrEarly    = errors.New("an earlier one of that process has not come yet")
	ErrFull     = errors.New("no room for another name")
	ErrUnknown  = errors.New("unknown")
	ErrOldStore = errors.New("its store is an old copy: that store was started as often before")
)

// Members is this package's own replicated state: the members of the fleet.
type Members struct {
	MaxNames        int                `cbor:"-"`
	LastIncarnation uint64             `cbor:"1,keyasint"` // the last incarnation assigned; it only rises
	Names           map[string]*Member `cbor:"2,keyasint"`

	evicted string // the name evicted by the last join
}

// newMembers returns an empty set of members.
func newMembers(maxNames int) *Members {
	return &Members{MaxNames: maxNames, Names: map[string]*Member{}}
}

// ByIncarnation returns the member whose newest process has the incarnation; nil when there is none.
func (m *Members) ByIncarnation(incarnation uint64) *Member {
	for _, member := range m.Names {
		if member.Incarnation == incarnation {
			return member
		}
	}
	return nil
}

// All returns the members sorted by name.
func (m *Members) All() []*Member {
	var all []*Member
	for _, name := range slices.Sorted(maps.Keys(m.Names)) {
		all = append(all, m.Names[name])
	}
	return all
}

// checkSequence decides whether a command is applied: commands of a replaced process, repeated ones, and those ahead
// of their turn are not.
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

// Apply applies a committed command.
func (m *Members) Apply(index uint64, c Command) any {
	var reported Member
	if c.Kind == cmdNoop || codec.Decode(c.Data, &reported) != nil {
		return ErrUnknown
	}
	member := m.Names[reported.Name]
	switch {
	case c.Kind == cmdJoin:
		return m.join(index, reported)
	case member == nil:
		return ErrUnknown
	case c.Kind == cmdDoubled:
		if reported.Incarnation >= member.Incarnation || reported.Incarnation <= member.DuplicateIncarnation {
			return ErrRepeated
		}
		member.DuplicateIncarnation = reported.Incarnation
		return *member
	case reported.Incarnation != member.Incarnation:
		return ErrReplaced
	case c.Kind != cmdLeave && reported.Since != member.Since:
		return ErrRepeated // its state has changed since the command was proposed: a delayed or repeated command says nothing of the current state
	}
	next := map[string]MemberState{cmdLeave: MemberLeft, cmdSilent: MemberSilent, cmdReturn: MemberJoined}[c.Kind]
	// A member that has left does not return under the same incarnation, whatever commands arrive late.
	if next == MemberUnknown || member.State == next || member.State == MemberLeft || c.Kind == cmdSilent && member.State != MemberJoined {
		return ErrRepeated
	}
	if c.Kind == cmdSilent {
		member.LeaseExpirations++
	}
	member.State, member.Since = next, index
	return *member
}

// join gives the joining process a new incarnation.
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
		return ErrOldStore // the store was restored from a backup or copied: two of it must not vote
	} else if member.Incarnation != joining.Incarnation {
		// The sender knew only an older incarnation: a delayed join would otherwise replace the process that joined
		// after it.
		return ErrReplaced
	} else if member.State == MemberJoined {
		member.LeaseExpirations++
	}
	m.LastIncarnation++
	member.Zone, member.Address, member.Identity, member.Nonce, member.RunsOwnedWork, member.Starts = joining.Zone, joining.Address, joining.Identity, joining.Nonce, joining.RunsOwnedWork, joining.Starts
	member.Incarnation, member.State, member.Since, member.Seq = m.LastIncarnation, MemberJoined, index, 0
	return *member
}

// makeRoom reports whether there is room for a new name, and evicts the member that has been gone for longest if
// needed.
func (m *Members) makeRoom() bool {
	if len(m.Names) < m.MaxNames {
		return true
	}
	var oldest *Member
	for _, member := range m.All() {
		if member.State != MemberJoined && (oldest == nil || member.Since < oldest.Since) {
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

// Save encodes the members.
func (m *Members) Save() []byte { return codec.Encode(m) }

// Load replaces the members by encoded ones.
func (m *Members) Load(b []byte) error {
	loaded := newMembers(m.MaxNames)
	if err := codec.Decode(b, loaded); err != nil {
		return err
	}
	if loaded.Names == nil || len(loaded.Names) > 1<<13 {
		return fmt.Errorf("members: %w: %d of them", codec.ErrMalformed, len(loaded.Names))
	}
	*m = *loaded
	return nil
}
