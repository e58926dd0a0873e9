package purges

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"

	"poppymill/internal/codec"
)

// StateMachine is the replicated state machine: the state that results from applying the log's commands.
type StateMachine struct {
	Purges       map[string]*State  `cbor:"2,keyasint"`
	Bounds       *BoundSet          `cbor:"3,keyasint"`
	Gateways     map[string]Gateway `cbor:"4,keyasint"`
	Now          float64            `cbor:"5,keyasint"` // the latest time carried by a command
	HighestToken uint64             `cbor:"6,keyasint"` // highest fencing token under which a batch was published
	LastIndex    uint64             `cbor:"7,keyasint"` // log index of the last published mark
	PacedUntil   float64            `cbor:"8,keyasint"` // when the rate of the published batches allows another one

	newMarks []Mark          // marks published since the last TakeMarks
	progress map[string]bool // paced purges that changed since the last TakeUpdate
	changes  uint64          // incremented on every possible change, so that callers need not scan the state for each log entry
}

// State is the state of one purge.
type State struct {
	Purge      Purge    `cbor:"1,keyasint" json:"purge"`
	Limits     Limits   `cbor:"2,keyasint" json:"limits"`
	LogIndex   uint64   `cbor:"3,keyasint" json:"place"` // log index of its acceptance, which orders purges
	Accepted   float64  `cbor:"4,keyasint" json:"accepted"`
	Stage      Stage    `cbor:"5,keyasint" json:"stage"`
	Published  int      `cbor:"6,keyasint" json:"next"`               // number of objects published, and the index of the next one
	Superseded int      `cbor:"7,keyasint" json:"newer"`              // of those, the ones already covered by a newer purge
	LastIndex  uint64   `cbor:"8,keyasint" json:"last"`               // log index of its last mark or batch
	Sent       float64  `cbor:"9,keyasint" json:"sent"`               // time of its last mark or batch
	Missing    []string `cbor:"10,keyasint" json:"without,omitempty"` // lost gateways that never confirmed it and no longer trust older copies
	Ended      float64  `cbor:"11,keyasint" json:"ended,omitempty"`
	Start      float64  `cbor:"12,keyasint" json:"start"` // earliest time to publish its first object; all purges share one rate
	// Provisional: its times are those of the command's sender and may be long past. They hold until Begin, but are not
	// stated and no batch goes out by them.
	Provisional bool `cbor:"13,keyasint,omitempty" json:"provisional,omitempty"`
}

// Gateway is the state of one gateway as a member of the quorum.
type Gateway struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Joined      bool    `cbor:"2,keyasint"`
	Since       float64 `cbor:"3,keyasint"`           // log time of the last membership change
	Confirmed   uint64  `cbor:"4,keyasint"`           // log index up to which it has confirmed applying all marks
	Misses      float64 `cbor:"5,keyasint"`           // fills per second that it requested on edge cache misses
	MissesAt    float64 `cbor:"6,keyasint"`           // log time of that report
	Undated     bool    `cbor:"7,keyasint,omitempty"` // Since is older than the change, and follows with the next command
}

// Limits on the size of the state.
const (
	maxOpenPurges = 1024    // purges not yet done or cancelled
	maxPurges     = 4096    // purges kept, finished ones included
	maxObjects    = 8192    // objects or groups of one purge
	maxNamed      = 200_000 // objects and groups of all purges kept: a snapshot has to fit the chunks of one frame
	maxHeld       = 200_000 // bounds of objects and groups
	maxIDLength   = 128     // bytes
	maxNameLength = 512     // bytes
	maxGateways   = 8192
)

// New returns an empty state machine.
func New() *StateMachine {
	l := DefaultLimits()
	return &StateMachine{Purges: map[string]*State{}, Bounds: NewBoundSet(l.MaxBounds), Gateways: map[string]Gateway{}}
}

// Check validates a purge; the error begins with the name of the invalid field.
func (p *Purge) Check() error {
	named := 0
	for _, present := range []bool{len(p.Objects) > 0, len(p.Groups) > 0, p.Pattern != ""} {
		if present {
			named++
		}
	}
	switch {
	case p.ID == "" || len(p.ID) > maxIDLength:
		return fmt.Errorf("id: %d bytes; 1 to %d", len(p.ID), maxIDLength)
	case named != 1:
		return errors.New("objects, groups or a pattern: one of them is to be named")
	case len(p.Objects) > maxObjects || len(p.Groups) > maxObjects:
		return fmt.Errorf("objects: %d of them; %d at most", max(len(p.Objects), len(p.Groups)), maxObjects)
	case len(p.Club) > maxNameLength:
		return errors.New("club: too long")
	}
	for i, o := range p.Objects {
		if o == "" || len(o) > maxNameLength {
			return fmt.Errorf("objects: %d: %d bytes; 1 to %d", i, len(o), maxNameLength)
		}
	}
	if p.Pattern != "" {
		_, err := compile(p.Pattern)
		return err
	}
	return nil
}

// Check validates limits; the error begins with the name of the invalid field.
func (l *Limits) Check() error {
	finite := func(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
	switch {
	case !finite(l.Delay) || l.Delay < 100:
		return errors.New("delay: under 100 ms")
	case !finite(l.Skew) || 4*l.Skew > l.Delay:
		return errors.New("skew: over a quarter of delay")
	case !finite(l.Rate):
		return errors.New("rate: not a number")
	case !finite(l.MaxFills) || l.MaxFills > 0 && l.Rate == 0:
		return errors.New("fills: needs a rate, as nothing waits where all goes out at once")
	case l.Batch < 1 || l.Batch > maxObjects:
		return fmt.Errorf("batch: 1 to %d", maxObjects)
	case l.MaxBounds < 16 || l.MaxBounds > maxHeld:
		return fmt.Errorf("held: 16 to %d", maxHeld)
	}
	return nil
}

// SetMember applies a membership change of a gateway in log order. A new incarnation starts with no confirmed index: it
// confirms what it has read of the log itself.
func (b *StateMachine) SetMember(name string, incarnation uint64, joined bool) {
	old := b.Gateways[name]
	b.changes++
	switch {
	case incarnation == 0 && !joined:
		delete(b.Gateways, name)
	case len(b.Gateways) < maxGateways || old.Incarnation != 0:
		if old.Incarnation != incarnation {
			old.Confirmed = 0
		}
		b.Gateways[name] = Gateway{Incarnation: incarnation, Joined: joined, Since: b.Now, Confirmed: old.Confirmed, Misses: old.Misses, MissesAt: old.MissesAt,
			Undated: !b.AnyOpen()} // the time of the log stands still while no purge is open
	}
	b.advanceStages()
}

// Apply applies a command in log order. It returns a copy of the resulting purge state, nil if the command is about no
// purge, or an error.
func (b *StateMachine) Apply(index uint64, kind string, data []byte) any {
	var o CommandData
	if codec.Decode(data, &o) != nil || !(o.At >= 0) || o.At > 1e15 {
		return ErrMalformed
	}
	b.Now = max(b.Now, o.At)
	b.dateMembers()
	b.changes++
	var s *State
	var err error
	switch kind {
	case Accept:
		s, err = b.applyAccept(index, o)
	case Begin:
		s, err = b.applyBegin(index, o)
	case Batch:
		s, err = b.applyBatch(index, o)
	case Cancel:
		s, err = b.applyCancel(o)
	case Confirm:
		if g := b.Gateways[o.From]; g.Incarnation != 0 {
			g.Confirmed = max(g.Confirmed, min(o.Index, index))
			b.Gateways[o.From] = g
		}
	case ReportMisses:
		if g := b.Gateways[o.From]; g.Incarnation != 0 && o.Rate >= 0 && !math.IsInf(o.Rate, 1) {
			g.Misses, g.MissesAt = o.Rate, b.Now
			b.Gateways[o.From] = g
		}
	case Tick:
	default:
		return ErrMalformed
	}
	if err != nil {
		return err
	}
	b.advanceStages()
	if s == nil {
		return nil
	}
	c := *s
	c.Missing = slices.Clone(s.Missing)
	return c
}

// dateMembers dates membership changes that were applied while the time of the log stood still.
func (b *StateMachine) dateMembers() {
	for name, g := range b.Gateways {
		if g.Undated {
			g.Since, g.Undated = b.Now, false
			b.Gateways[name] = g
		}
	}
}

// applyAccept starts a purge. Patterns and groups are published at once, and objects too if there is no rate.
func (b *StateMachine) applyAccept(index uint64, o CommandData) (*State, error) {
	if o.Purge == nil || o.Limits == nil || o.Purge.Check() != nil || o.Limits.Check() != nil {
		return nil, ErrMalformed
	}
	if s := b.Purges[o.Purge.ID]; s != nil {
		if !reflect.DeepEqual(s.Purge, *o.Purge) {
			return nil, ErrConflict
		}
		return s, nil
	}
	open, named := 0, o.Purge.countNames()
	for _, s := range b.Purges {
		if s.Stage <= Sent {
			open++
			named += s.Purge.countNames()
		}
	}
	if open >= maxOpenPurges || named > maxNamed {
		return nil, ErrFull
	}
	b.Bounds.Limit = o.Limits.MaxBounds
	s := &State{Purge: *o.Purge, Limits: *o.Limits, LogIndex: index, Accepted: b.Now, Provisional: o.AwaitBegin}
	b.Purges[s.Purge.ID] = s
	b.markProgress(s)
	b.publishGroups(index, s)
	s.Start = b.startOf(s)
	if s.Limits.Rate == 0 {
		b.publishObjects(index, s, len(s.Purge.Objects))
	}
	b.evictFinished()
	return s, nil
}

// applyBegin fixes the acceptance time of a purge. Its sender had seen the purge accepted, so gateways that do not know of
// it by that time have lost the log, and stop trusting older copies in time. What is published already is published anew,
// as its bound rises with the acceptance time.
func (b *StateMachine) applyBegin(index uint64, o CommandData) (*State, error) {
	s := b.Purges[o.ID]
	switch {
	case s == nil:
		return nil, ErrUnknown
	case !s.Provisional || s.Stage == Cancelled:
		return s, nil
	}
	s.Provisional, s.Accepted = false, b.Now
	s.Start = b.startOf(s)
	b.markProgress(s)
	b.publishGroups(index, s)
	for _, object := range s.Purge.Objects[:s.Published] {
		b.publish(index, s, Mark{Object: object})
	}
	return s, nil
}

// publishGroups publishes the groups or the pattern of a purge.
func (b *StateMachine) publishGroups(index uint64, s *State) {
	if s.Purge.Pattern != "" {
		b.publish(index, s, Mark{Pattern: s.Purge.Pattern})
	}
	for _, g := range s.Purge.Groups {
		b.publish(index, s, Mark{Group: g, Grouped: true})
	}
}

// countNames returns the number of objects and groups that the purge names.
func (p *Purge) countNames() int { return len(p.Objects) + len(p.Groups) }

// boundTime is the minimum creation time of valid copies of the objects that a purge names.
func (s *State) boundTime() float64 { return s.Accepted + s.Limits.Skew }

// publish adds a mark to the bounds and to the marks that gateways have to apply.
func (b *StateMachine) publish(index uint64, s *State, m Mark) {
	m.Club, m.At, m.Stale = s.Purge.Club, s.boundTime(), s.Purge.Stale
	b.Bounds.Put(m)
	b.newMarks = append(b.newMarks, m)
	s.LastIndex, s.Sent, b.LastIndex = index, b.Now, index
}

// publishObjects publishes the objects of a purge before index next. Objects already covered by a newer purge need no
// mark.
func (b *StateMachine) publishObjects(index uint64, s *State, next int) {
	for ; s.Published < next; s.Published++ {
		object := s.Purge.Objects[s.Published]
		if hard, _ := b.Bounds.Bound(s.Purge.Club, object, math.MinInt64); hard >= s.boundTime() {
			s.Superseded++
			continue
		}
		b.publish(index, s, Mark{Object: object})
	}
	s.LastIndex, s.Sent = index, b.Now
}

// applyBatch publishes a batch of objects. A sender whose token was superseded is refused unless the batch is overdue.
func (b *StateMachine) applyBatch(index uint64, o CommandData) (*State, error) {
	s := b.Purges[o.ID]
	switch {
	case s == nil:
		return nil, ErrUnknown
	case o.Token < b.HighestToken && !s.overdue(o.First, b.Now):
		return nil, ErrReplaced
	}
	b.HighestToken = max(b.HighestToken, o.Token)
	switch {
	case s.Stage != Publishing:
		return nil, ErrFinished
	case o.First != s.Published || o.Next <= o.First || o.Next > len(s.Purge.Objects) || o.Next-o.First > s.Limits.Batch:
		return nil, ErrOutOfOrder // a duplicate, or from a sender that had not seen the previous batch
	}
	b.PacedUntil = s.pacedAfter(b.PacedUntil, o.First, o.Next, o.At) // by the clock of its sender, which sends the next one too
	b.publishObjects(index, s, o.Next)
	b.markProgress(s)
	return s, nil
}

// applyCancel stops a purge whose objects are not all published.
func (b *StateMachine) applyCancel(o CommandData) (*State, error) {
	s := b.Purges[o.ID]
	switch {
	case s == nil:
		return nil, ErrUnknown
	case s.Stage == Cancelled:
		return s, nil
	case s.Stage != Publishing:
		return nil, ErrFinished
	}
	s.Stage, s.Ended = Cancelled, b.Now
	b.markProgress(s)
	return s, nil
}

// advanceStages moves purges to their next stage where its conditions hold.
func (b *StateMachine) advanceStages() {
	for _, s := range b.Purges {
		if s.Stage == Publishing && s.Published == len(s.Purge.Objects) {
			s.Stage = Sent
		}
		if s.Stage != Sent || s.Provisional || len(b.Unconfirmed(s)) > 0 {
			continue
		}
		s.Stage, s.Ended = Done, b.Now
		for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
			if g := b.Gateways[name]; g.Confirmed < s.LastIndex {
				s.Missing = append(s.Missing, name)
			}
		}
	}
}

// Unconfirmed lists the gateways that have not confirmed all published objects of a purge: those that are joined, and
// those lost so recently that they may still trust older copies.
func (b *StateMachine) Unconfirmed(s *State) (all []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		if g := b.Gateways[name]; g.Confirmed < s.LastIndex && (g.Joined || b.Now < g.Since+s.Limits.Delay) {
			all = append(all, name)
		}
	}
	return all
}

// AnyOpen reports whether any purge is neither done nor cancelled.
func (b *StateMachine) AnyOpen() bool {
	for _, s := range b.Purges {
		if s.Stage <= Sent {
			return true
		}
	}
	return false
}

// evictFinished removes the oldest finished purges while the state exceeds its size limits.
func (b *StateMachine) evictFinished() {
	named := 0
	for _, s := range b.Purges {
		named += s.Purge.countNames()
	}
	for len(b.Purges) > maxPurges || named > maxNamed {
		var oldest *State
		for _, s := range b.Purges {
			if s.Stage >= Done && (oldest == nil || s.LogIndex < oldest.LogIndex) {
				oldest = s
			}
		}
		if oldest == nil {
			return
		}
		named -= oldest.Purge.countNames()
		delete(b.Purges, oldest.Purge.ID)
	}
}

// BeginsToSend returns the commands by which this gateway is to fix the times of purges, in log order: each starts behind
// those before it. The leader sends them at once, others only if it does not.
func (b *StateMachine) BeginsToSend(now float64, leads bool) (all []CommandData) {
	var due []*State
	for _, s := range b.Purges {
		if s.Provisional && s.Stage != Cancelled && (leads || now >= s.Accepted+beginAfter*s.Limits.Delay) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, byLogIndex)
	for _, s := range due {
		all = append(all, CommandData{At: now, ID: s.Purge.ID})
	}
	return all
}

// All returns the purges in log order.
func (b *StateMachine) All() []*State {
	return slices.SortedFunc(maps.Values(b.Purges), byLogIndex)
}

// Changes returns a counter that is incremented whenever the state may have changed.
func (b *StateMachine) Changes() uint64 { return b.changes }

// unpublished returns the paced purges with objects that are not published, in log order.
func (b *StateMachine) unpublished() (all []*State) {
	for _, s := range b.Purges {
		if s.Stage == Publishing {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, byLogIndex)
	return all
}

// byLogIndex orders purges by their acceptance.
func byLogIndex(x, y *State) int { return cmp.Compare(x.LogIndex, y.LogIndex) }

// Save encodes the state as a snapshot; equal states have identical encodings.
func (b *StateMachine) Save() []byte { return codec.Encode(b) }

// Load replaces the state by a snapshot; nil gives an empty state.
func (b *StateMachine) Load(snapshot []byte) error {
	n := New()
	if snapshot != nil {
		if err := codec.Decode(snapshot, n); err != nil {
			return fmt.Errorf("purges: %w", err)
		}
		if n.Purges == nil || n.Gateways == nil || n.Bounds == nil {
			return fmt.Errorf("purges: %w", ErrMalformed)
		}
		if err := n.Bounds.rebuild(); err != nil {
			return fmt.Errorf("purges: %w", err)
		}
	}
	n.changes = b.changes + 1
	*b = *n
	return nil
}
