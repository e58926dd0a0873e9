// Package drive joins purges (package purges) to the agreement of the gateways: the book to the log, bounds to this gateway's core, batches to
// whoever owns them. It decides nothing.
package drive

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"poppymill/internal/canon"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	"poppymill/internal/purges"
	"poppymill/internal/quorum"
	agreement "poppymill/internal/quorum/drive"
)

// Book is the name under which purges stand in the log; Sender that of the job whose owner sends batches.
const (
	Book   = "purges"
	Sender = "purges"
)

// How often, in ms, the owner looks whether a batch is due, and the leader has time pass in the log while a purge is open.
const (
	lookEvery = 50.0
	tickEvery = 500.0
	tellEvery = 1000.0 // what this gateway misses
)

// Core is what a gateway's core does for its part: Void has it go by marks from now on; done is called, once, from its loop, when it does.
type Core interface {
	Void(marks []purges.Mark, index uint64, done func(index uint64))
	// Known tells until when all is known that was agreed, as so many ms ago; under 0: it is not.
	Known(ago float64)
}

// Misses is word of the core how many fills a second it asked for, as edge caches did not hold what was wanted.
type Misses struct{ Rate float64 }

// gone is word of the core that it goes by all marks up to a place.
type gone struct{ index uint64 }

// Sweep is one gateway's part. It belongs to the council's loop.
type Sweep struct {
	block   Block
	book    *purges.Book
	crew    *owned.Crew
	core    Core
	council *agreement.Council
	log     logrus.FieldLogger
	stand   agreement.Followed
	now     float64
	next    float64
	ticked  float64
	open    map[string]float64 // commands that are on their way, until they may go out again
	handed  uint64             // the last place whose marks the core was handed
	goes    uint64             // and by which it goes
	told    map[string]purges.Stage
	changes uint64 // of the book, when it last told
	misses  float64
	missAt  float64 // when the log may be told of them again
}

// book words the log's commands for purges.Book.
type book struct{ *purges.Book }

func (b book) Apply(index uint64, c quorum.Command) any { return b.Book.Apply(index, c.Kind, c.Data) }
func (b book) Member(_ uint64, m quorum.Member) {
	b.Book.Member(m.Name, m.Incarnation, m.Standing == quorum.Joined)
}

// Books is a gateway's book of purges alone, to read a store with.
func Books() map[string]quorum.Book { return map[string]quorum.Book{Book: book{purges.New()}} }

// Open makes the part of a gateway. Without the block it follows what others do, and goes by it, but takes no purge and is not blind where it
// can't hear.
func Open(b Block, crew *owned.Crew, core Core, log logrus.FieldLogger) *Sweep {
	return &Sweep{block: b, book: purges.New(), crew: crew, core: core, log: log, open: map[string]float64{}, told: map[string]purges.Stage{}}
}

// Books are what it keeps in the log.
func (s *Sweep) Books() map[string]quorum.Book { return map[string]quorum.Book{Book: book{s.book}} }

// Begin takes the council.
func (s *Sweep) Begin(c *agreement.Council) { s.council = c }

// Next is when it looks again.
func (s *Sweep) Next() float64 {
	if s.stand.Incarnation == 0 || !s.book.Open() {
		return math.Inf(1)
	}
	return s.next
}

// Idle and Close: nothing of it has to be waited for.
func (s *Sweep) Idle() bool   { return true }
func (s *Sweep) Close() error { return nil }

func unix() float64 { return float64(time.Now().UnixMilli()) }

// Handle takes an event of the council's or of the core's.
func (s *Sweep) Handle(now float64, e any) {
	s.now = now
	if s.block.On {
		s.core.Known(s.council.Sight())
	}
	switch e := e.(type) {
	case agreement.Followed:
		s.stand = e
		s.hand(e.Restored)
		s.tell()
	case Misses:
		s.misses = e.Rate
	case gone:
		s.goes = max(s.goes, e.index)
	default: // time, or what is another part's
		if now < s.next {
			return
		}
	}
	s.next = now + lookEvery
	if s.stand.Incarnation != 0 {
		s.look()
	}
}

// hand has the core go by what went out. After a whole state came it is handed all of it: bounds only rise, so what it had before is not lost.
func (s *Sweep) hand(restored bool) {
	marks := s.book.News()
	if restored {
		marks = s.book.Shelf.Marks()
	}
	if len(marks) == 0 && s.book.Last <= s.handed {
		return
	}
	s.handed = max(s.handed, s.book.Last)
	s.core.Void(marks, s.handed, func(index uint64) { s.council.Post(gone{index}) })
}

// look says what is this gateway's to say.
func (s *Sweep) look() {
	if g := s.book.Gateways[s.stand.Name]; g.Seen < min(s.goes, s.book.Last) && g.Incarnation == s.stand.Incarnation {
		s.propose(purges.Seen, "", purges.Order{At: unix(), From: s.stand.Name, Index: s.goes})
	}
	if !s.block.On || !s.book.Open() {
		return
	}
	if s.book.Paces() && s.now >= s.missAt {
		s.missAt = s.now + tellEvery
		s.propose(purges.Misses, "", purges.Order{At: unix(), From: s.stand.Name, Rate: s.misses})
	}
	if s.stand.Leads {
		if !s.crew.Has(Sender) && s.block.Limits.Rate > 0 {
			s.order(owned.Book, owner.Start, "", owner.Job{Name: Sender, Kind: owned.Hold, Steps: 1, Window: 1})
		}
		if s.now >= s.ticked+tickEvery {
			s.ticked = s.now
			s.propose(purges.Tick, "", purges.Order{At: unix()})
		}
	}
	token, owns := s.crew.Owns(Sender)
	if o, is := s.book.Sends(unix(), token, owns, s.stand.Leads); is {
		s.propose(purges.Batch, fmt.Sprint(o.ID, o.First), o)
	}
}

func (s *Sweep) propose(kind, key string, o purges.Order) { s.order(Book, kind, key, o) }

// order has a command agreed, and not again before it had its time.
func (s *Sweep) order(book, kind, key string, content any) {
	key = kind + " " + key
	if s.now < s.open[key] {
		return
	}
	if len(s.open) > 1024 {
		clear(s.open)
	}
	s.open[key] = s.now + 1000
	s.council.Propose(quorum.Command{Book: book, Kind: kind, Data: canon.Encode(content)}, func(quorum.Outcome) { delete(s.open, key) })
}

// tell writes a line for each purge that came to another stage.
func (s *Sweep) tell() {
	if s.changes == s.book.Changes() {
		return
	}
	s.changes = s.book.Changes()
	for id, x := range s.book.Purges {
		if was, known := s.told[id]; !known || was != x.Stage {
			s.told[id] = x.Stage
			s.log.WithFields(logrus.Fields{"purge": id, "is": x.Stage.String(), "sent": x.Next, "of": len(x.Purge.Objects), "without": x.Without}).Info("purges: stage")
		}
	}
	for id := range s.told {
		if s.book.Purges[id] == nil {
			delete(s.told, id)
		}
	}
}

// Allow tells whether people may have a command agreed. The limits of a purge are this gateway's.
func (s *Sweep) Allow(c quorum.Command) error {
	var o purges.Order
	if err := canon.Decode(c.Data, &o); err != nil {
		return err
	}
	switch {
	case c.Kind != purges.Accept && c.Kind != purges.Cancel:
		return fmt.Errorf("%s: not for people to ask for", c.Kind)
	case !s.block.On:
		return errors.New("purges: off at this gateway")
	case c.Kind == purges.Cancel:
		return nil
	case o.Purge == nil || o.Limits == nil || *o.Limits != s.block.Limits:
		return errors.New("limits: not those of this gateway's file")
	}
	return o.Purge.Check()
}

// Purge is one for people.
type Purge struct {
	purges.State
	Stage     string   `json:"stage"`
	Effective float64  `json:"effective"`       // no answer from an older copy after that, Unix ms
	Waits     []string `json:"waits,omitempty"` // gateways that have not said that they go by it
}

func (s *Sweep) purge(x *purges.State) Purge {
	p := Purge{State: *x, Stage: x.Stage.String(), Effective: x.Effective()}
	if x.Stage <= purges.Sent {
		p.Waits = s.book.Waits(x)
	}
	return p
}

// Follower is a gateway for people: how far it goes by what went out.
type Follower struct {
	Name    string  `json:"name"`
	There   bool    `json:"there"`
	Since   float64 `json:"since"` // when the log last said so, Unix ms
	Seen    uint64  `json:"seen"`  // it goes by all up to there
	Follows bool    `json:"follows"`
	Misses  float64 `json:"misses"` // fills a second that it last said to ask for
}

// Tell answers a person.
func (s *Sweep) Tell(about, name string) (any, error) {
	switch about {
	case "purge limits":
		if !s.block.On {
			return nil, errors.New("purges: off at this gateway")
		}
		return s.block.Limits, nil
	case "purge":
		if x := s.book.Purges[name]; x != nil {
			return s.purge(x), nil
		}
		return nil, fmt.Errorf("purge %q: %w", name, purges.ErrUnknown)
	case "purge followers":
		all := []Follower{}
		for _, name := range slices.Sorted(maps.Keys(s.book.Gateways)) {
			g := s.book.Gateways[name]
			all = append(all, Follower{Name: name, There: g.There, Since: g.Since, Seen: g.Seen, Follows: g.Seen >= s.book.Last, Misses: g.Misses})
		}
		return map[string]any{"last": s.book.Last, "gateways": all}, nil
	case "purges":
		all := []Purge{}
		for _, x := range s.book.All() {
			p := s.purge(x)
			p.Purge.Objects = nil // a list of them has to fit a frame
			all = append(all, p)
		}
		return map[string]any{"held": s.book.Shelf.Len(), "floor": s.book.Shelf.Floor, "purges": all[max(0, len(all)-500):]}, nil
	}
	return nil, agreement.ErrNotMine
}
