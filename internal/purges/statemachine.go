package purges

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"

	"poppymill/internal/canon"
)

// Book is the state that the log's commands bring about.
type Book struct {
	Purges   map[string]*State  `cbor:"2,keyasint"`
	Shelf    *Shelf             `cbor:"3,keyasint"`
	Gateways map[string]Gateway `cbor:"4,keyasint"`
	Now      float64            `cbor:"5,keyasint"` // the newest time that a command told
	Owned    uint64             `cbor:"6,keyasint"` // the highest token under which batches were sent
	Last     uint64             `cbor:"7,keyasint"` // the place in the log at which something went out last

	news    []Mark // what went out since it was last taken
	changes uint64 // how often something may have changed, so that nobody has to look through all for each entry of the log
}

// State is one purge.
type State struct {
	Purge    Purge    `cbor:"1,keyasint" json:"purge"`
	Limits   Limits   `cbor:"2,keyasint" json:"limits"`
	Place    uint64   `cbor:"3,keyasint" json:"place"` // in the log: its order
	Accepted float64  `cbor:"4,keyasint" json:"accepted"`
	Stage    Stage    `cbor:"5,keyasint" json:"stage"`
	Next     int      `cbor:"6,keyasint" json:"next"`               // objects that have gone out
	Newer    int      `cbor:"7,keyasint" json:"newer"`              // of those, the ones that a newer purge had covered
	Last     uint64   `cbor:"8,keyasint" json:"last"`               // the place at which some of it went out last
	Sent     float64  `cbor:"9,keyasint" json:"sent"`               // when
	Without  []string `cbor:"10,keyasint" json:"without,omitempty"` // lost gateways that did not say so; they are blind
	Ended    float64  `cbor:"11,keyasint" json:"ended,omitempty"`
	Start    float64  `cbor:"12,keyasint" json:"start"` // when the first of its objects may go out: one pace for all purges
}

// Gateway is a member.
type Gateway struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	There       bool    `cbor:"2,keyasint"`
	Since       float64 `cbor:"3,keyasint"` // when the log last said so, by its own time
	Seen        uint64  `cbor:"4,keyasint"` // it goes by all that went out up to there
	Misses      float64 `cbor:"5,keyasint"` // fills a second that it asked for
	Told        float64 `cbor:"6,keyasint"` // when it said so
}

// Bounds.
const (
	mostOpen     = 1024    // purges that are not over
	mostPurges   = 4096    // that are remembered
	mostObjects  = 8192    // of one purge
	mostNamed    = 200_000 // objects and groups of all that are remembered: a state has to fit the pieces of one frame
	mostHeld     = 200_000
	mostID       = 128
	mostName     = 512
	mostGateways = 8192
)

// New makes an empty book.
func New() *Book {
	l := DefaultLimits()
	return &Book{Purges: map[string]*State{}, Shelf: NewShelf(l.Held), Gateways: map[string]Gateway{}}
}

// Check tells what is wrong with a purge, by field.
func (p *Purge) Check() error {
	named := 0
	for _, is := range []bool{len(p.Objects) > 0, len(p.Groups) > 0, p.Pattern != ""} {
		if is {
			named++
		}
	}
	switch {
	case p.ID == "" || len(p.ID) > mostID:
		return fmt.Errorf("id: %d bytes; 1 to %d", len(p.ID), mostID)
	case named != 1:
		return errors.New("objects, groups or a pattern: one of them is to be named")
	case len(p.Objects) > mostObjects || len(p.Groups) > mostObjects:
		return fmt.Errorf("objects: %d of them; %d at most", max(len(p.Objects), len(p.Groups)), mostObjects)
	case len(p.Club) > mostName:
		return errors.New("club: too long")
	}
	for i, o := range p.Objects {
		if o == "" || len(o) > mostName {
			return fmt.Errorf("objects: %d: %d bytes; 1 to %d", i, len(o), mostName)
		}
	}
	if p.Pattern != "" {
		_, err := compile(p.Pattern)
		return err
	}
	return nil
}

// Check tells what is wrong with limits, by field.
func (l *Limits) Check() error {
	finite := func(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
	switch {
	case !finite(l.Delay) || l.Delay < 100:
		return errors.New("delay: under 100 ms")
	case !finite(l.Skew) || 4*l.Skew > l.Delay:
		return errors.New("skew: over a quarter of delay")
	case !finite(l.Rate):
		return errors.New("rate: not a number")
	case !finite(l.Fills) || l.Fills > 0 && l.Rate == 0:
		return errors.New("fills: needs a rate, as nothing waits where all goes out at once")
	case l.Batch < 1 || l.Batch > mostObjects:
		return fmt.Errorf("batch: 1 to %d", mostObjects)
	case l.Held < 16 || l.Held > mostHeld:
		return fmt.Errorf("held: 16 to %d", mostHeld)
	}
	return nil
}

// Member is word of a gateway in its place in the log. A new process goes by what it has read of the log, and says so itself.
func (b *Book) Member(name string, incarnation uint64, there bool) {
	old := b.Gateways[name]
	b.changes++
	switch {
	case incarnation == 0 && !there:
		delete(b.Gateways, name)
	case len(b.Gateways) < mostGateways || old.Incarnation != 0:
		if old.Incarnation != incarnation {
			old.Seen = 0
		}
		b.Gateways[name] = Gateway{Incarnation: incarnation, There: there, Since: b.Now, Seen: old.Seen, Misses: old.Misses, Told: old.Told}
	}
	b.settle()
}

// Apply takes a command in its place in the log. Its result is a copy of the purge as it is then, nil where it is about none, or an error.
func (b *Book) Apply(index uint64, kind string, data []byte) any {
	var o Order
	if canon.Decode(data, &o) != nil || !(o.At >= 0) || o.At > 1e15 {
		return ErrBad
	}
	b.Now = max(b.Now, o.At)
	b.changes++
	var s *State
	var err error
	switch kind {
	case Accept:
		s, err = b.accept(index, o)
	case Batch:
		s, err = b.batch(index, o)
	case Cancel:
		s, err = b.cancel(o)
	case Seen:
		if g := b.Gateways[o.From]; g.Incarnation != 0 {
			g.Seen = max(g.Seen, min(o.Index, index))
			b.Gateways[o.From] = g
		}
	case Misses:
		if g := b.Gateways[o.From]; g.Incarnation != 0 && o.Rate >= 0 && !math.IsInf(o.Rate, 1) {
			g.Misses, g.Told = o.Rate, b.Now
			b.Gateways[o.From] = g
		}
	case Tick:
	default:
		return ErrBad
	}
	if err != nil {
		return err
	}
	b.settle()
	if s == nil {
		return nil
	}
	c := *s
	c.Without = slices.Clone(s.Without)
	return c
}

func (b *Book) accept(index uint64, o Order) (*State, error) {
	if o.Purge == nil || o.Limits == nil || o.Purge.Check() != nil || o.Limits.Check() != nil {
		return nil, ErrBad
	}
	if s := b.Purges[o.Purge.ID]; s != nil {
		if !reflect.DeepEqual(s.Purge, *o.Purge) {
			return nil, ErrOther
		}
		return s, nil
	}
	open, named := 0, o.Purge.names()
	for _, s := range b.Purges {
		if s.Stage <= Sent {
			open++
			named += s.Purge.names()
		}
	}
	if open >= mostOpen || named > mostNamed {
		return nil, ErrFull
	}
	b.Shelf.Most = o.Limits.Held
	s := &State{Purge: *o.Purge, Limits: *o.Limits, Place: index, Accepted: b.Now}
	b.Purges[s.Purge.ID] = s
	if p := &s.Purge; p.Pattern != "" {
		b.out(index, s, Mark{Pattern: p.Pattern})
	} else if len(p.Groups) > 0 {
		for _, g := range p.Groups {
			b.out(index, s, Mark{Group: g, Grouped: true})
		}
	}
	if s.Start = b.Now; s.Limits.Rate == 0 {
		b.send(index, s, len(s.Purge.Objects))
	} else {
		for _, x := range b.Purges {
			if x.Stage == Going && x != s {
				s.Start = max(s.Start, x.due(len(x.Purge.Objects)))
			}
		}
	}
	b.drop()
	return s, nil
}

// names counts what it names one by one.
func (p *Purge) names() int { return len(p.Objects) + len(p.Groups) }

// bound is from which birth on copies count for what a purge names.
func (s *State) bound() float64 { return s.Accepted + s.Limits.Skew }

// out has one mark go out.
func (b *Book) out(index uint64, s *State, m Mark) {
	m.Club, m.At, m.Stale = s.Purge.Club, s.bound(), s.Purge.Stale
	b.Shelf.Put(m)
	b.news = append(b.news, m)
	s.Last, s.Sent, b.Last = index, b.Now, index
}

// send has the objects of a purge go out up to one. Those that a newer purge covers are done by that.
func (b *Book) send(index uint64, s *State, next int) {
	for ; s.Next < next; s.Next++ {
		object := s.Purge.Objects[s.Next]
		if hard, _ := b.Shelf.Bound(s.Purge.Club, object, math.MinInt64); hard >= s.bound() {
			s.Newer++
			continue
		}
		b.out(index, s, Mark{Object: object})
	}
	s.Last, s.Sent = index, b.Now
}

func (b *Book) batch(index uint64, o Order) (*State, error) {
	s := b.Purges[o.ID]
	switch {
	case s == nil:
		return nil, ErrUnknown
	case o.Owned < b.Owned && !s.overdue(o.First, b.Now):
		return nil, ErrOld
	}
	b.Owned = max(b.Owned, o.Owned)
	switch {
	case s.Stage != Going:
		return nil, ErrOver
	case o.First != s.Next || o.Next <= o.First || o.Next > len(s.Purge.Objects) || o.Next-o.First > s.Limits.Batch:
		return nil, ErrTurn // sent twice, or by one that did not know of the last
	}
	b.send(index, s, o.Next)
	return s, nil
}

func (b *Book) cancel(o Order) (*State, error) {
	s := b.Purges[o.ID]
	switch {
	case s == nil:
		return nil, ErrUnknown
	case s.Stage == Cancelled:
		return s, nil
	case s.Stage != Going:
		return nil, ErrOver
	}
	s.Stage, s.Ended = Cancelled, b.Now
	return s, nil
}

// settle has purges come to their next stage.
func (b *Book) settle() {
	for _, s := range b.Purges {
		if s.Stage == Going && s.Next == len(s.Purge.Objects) {
			s.Stage = Sent
		}
		if s.Stage != Sent || len(b.Waits(s)) > 0 {
			continue
		}
		s.Stage, s.Ended = Done, b.Now
		for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
			if g := b.Gateways[name]; g.Seen < s.Last {
				s.Without = append(s.Without, name)
			}
		}
	}
}

// Waits names the gateways that have not said that they go by all of a purge that went out: those that are there, and those lost so lately that
// they may not be blind yet.
func (b *Book) Waits(s *State) (all []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		if g := b.Gateways[name]; g.Seen < s.Last && (g.There || b.Now < g.Since+s.Limits.Delay) {
			all = append(all, name)
		}
	}
	return all
}

// due is when an object, by its number, is to go out.
func (s *State) due(object int) float64 {
	if s.Limits.Rate == 0 {
		return s.Start
	}
	return s.Start + 1000*float64(object)/s.Limits.Rate
}

// overdue tells whether an object should long have gone out: its owner was lost, and whoever knows of it may send it, so that the delay holds.
func (s *State) overdue(object int, now float64) bool {
	return s.Limits.Rate > 0 && now >= s.due(object)+s.Limits.Delay/4
}

// Effective is when no answer anywhere comes from an older copy any more, at the latest: told at its acceptance.
func (s *State) Effective() float64 { return s.due(len(s.Purge.Objects)) + s.Limits.Delay }

// recent is for how long, in ms, what a gateway said of its misses counts.
const recent = 5000.0

// misses are the fills a second that all gateways together ask for, as far as they have said lately.
func (b *Book) misses() (sum float64) {
	for _, g := range b.Gateways {
		if g.There && b.Now < g.Told+recent {
			sum += g.Misses
		}
	}
	return sum
}

// Paces tells whether the gateways are to say what they miss: some purge waits for that.
func (b *Book) Paces() bool {
	for _, s := range b.Purges {
		if s.Stage == Going && s.Limits.Fills > 0 {
			return true
		}
	}
	return false
}

// NextBatch is what is to go out next by the pace that the limits give; late tells that whoever leads is to send it, as its owner did not.
func (b *Book) NextBatch(now float64) (o Order, due, late bool) {
	var first *State
	for _, s := range b.Purges {
		if s.Stage == Going && (first == nil || s.Place < first.Place) {
			first = s
		}
	}
	if first == nil || now < first.due(first.Next) {
		return o, false, false
	}
	// A mass purge must not push hubs and core over, so what is missed holds up the next batch; but no longer than until the delay would not hold.
	if l := first.Limits; l.Fills > 0 && b.misses() > l.Fills && !first.overdue(first.Next, now) {
		return o, false, false
	}
	return Order{At: now, ID: first.Purge.ID, First: first.Next, Next: min(len(first.Purge.Objects), first.Next+first.Limits.Batch)}, true, first.overdue(first.Next, now)
}

// Sends is the batch that a gateway is to send now, if any: the owner's as it is due, and whoever leads one that the owner left lying.
func (b *Book) Sends(now float64, token uint64, owns, leads bool) (Order, bool) {
	o, due, late := b.NextBatch(now)
	o.Owned = token
	return o, due && (owns || late && leads)
}

// Open tells whether some purge is not over.
func (b *Book) Open() bool {
	for _, s := range b.Purges {
		if s.Stage <= Sent {
			return true
		}
	}
	return false
}

// drop forgets the oldest purges that are over.
func (b *Book) drop() {
	named := 0
	for _, s := range b.Purges {
		named += s.Purge.names()
	}
	for len(b.Purges) > mostPurges || named > mostNamed {
		var old *State
		for _, s := range b.Purges {
			if s.Stage >= Done && (old == nil || s.Place < old.Place) {
				old = s
			}
		}
		if old == nil {
			return
		}
		named -= old.Purge.names()
		delete(b.Purges, old.Purge.ID)
	}
}

// All lists the purges in their order.
func (b *Book) All() []*State {
	return slices.SortedFunc(maps.Values(b.Purges), func(x, y *State) int { return int(int64(x.Place) - int64(y.Place)) })
}

// Changes counts up whenever something of it may have changed.
func (b *Book) Changes() uint64 { return b.changes }

// News are the marks that went out since it was last asked.
func (b *Book) News() []Mark {
	n := b.news
	b.news = nil
	return n
}

// Save writes the state down, alike to the byte for alike states.
func (b *Book) Save() []byte { return canon.Encode(b) }

// Load takes the place of all that was there; nothing makes it empty.
func (b *Book) Load(text []byte) error {
	n := New()
	if text != nil {
		if err := canon.Decode(text, n); err != nil {
			return fmt.Errorf("purges: %w", err)
		}
		if n.Purges == nil || n.Gateways == nil || n.Shelf == nil {
			return fmt.Errorf("purges: %w", ErrBad)
		}
		if err := n.Shelf.mend(); err != nil {
			return fmt.Errorf("purges: %w", err)
		}
	}
	n.changes = b.changes + 1
	*b = *n
	return nil
}
