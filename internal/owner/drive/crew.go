// Package drive joins owned work (package owner) to the agreement of the gateways: the book to the log, the agent to the council's
// loop, effects to their places by the peers' connections. It decides nothing.
package drive

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"

	"github.com/sirupsen/logrus"

	"poppymill/internal/canon"
	"poppymill/internal/failpoint"
	"poppymill/internal/owner"
	"poppymill/internal/owner/place"
	"poppymill/internal/quorum"
	agreement "poppymill/internal/quorum/drive"
)

// Book is the name under which jobs stand in the log.
const Book = "jobs"

// Drill is the kind of jobs that rehearse the machinery: each step is a line in the record of its place.
const Drill = "drill"

// Hand carries out the steps of one kind of job at their owner. Do must not wait; done may be called from anywhere, once.
type Hand struct {
	Type  owner.Type
	Check func(j owner.Job) error // what an operator asks for
	Do    func(e place.Effect, done func(owner.End))
}

// Crew is one gateway's part in owned work. It belongs to the council's loop.
type Crew struct {
	block   Block
	agent   *owner.Agent
	place   *place.Place
	council *agreement.Council
	hands   map[string]Hand
	log     logrus.FieldLogger
	stand   agreement.Followed
	told    uint64 // the last place in the log whose changes were told
	queue   []any  // events that came while one was handled
	busy    bool
	closed  bool
	now     float64
}

// book words the log's commands for owner.Book.
type book struct{ *owner.Book }

func (b book) Apply(index uint64, c quorum.Command) any { return b.Book.Apply(index, c.Kind, c.Data) }

func (b book) Member(index uint64, m quorum.Member) {
	b.Book.Member(index, m.Name, owner.Worker{Incarnation: m.Incarnation, There: m.Standing == quorum.Joined, Losses: m.Losses, Zone: m.Zone, Idle: !m.Works})
}

// Leap has tokens rise above all that can have been given out.
func (b book) Leap() { b.Book.Last += 1 << 32 }

// Books are a gateway's books of owned work alone, to read a store with.
func Books() map[string]quorum.Book {
	return map[string]quorum.Book{Book: book{owner.New(owner.DefaultLimits().Jobs)}}
}

// Open makes the part of a gateway that keeps its record in a folder. Without the block it follows what others do, owns nothing
// and is no place.
func Open(b Block, folder string, hands map[string]Hand, log logrus.FieldLogger) (*Crew, error) {
	c := &Crew{block: b, agent: owner.NewAgent(b.limits()), hands: hands, log: log}
	if b.On {
		if folder != "" {
			folder = filepath.Clean(folder)
		}
		var err error
		if c.place, err = place.Open(folder, log); err != nil {
			return nil, fmt.Errorf("jobs: %w", err)
		}
		go c.place.Run()
	}
	return c, nil
}

// Books are what it keeps in the log.
func (c *Crew) Books() map[string]quorum.Book {
	return map[string]quorum.Book{Book: book{c.agent.Book}}
}

// Begin takes the council.
func (c *Crew) Begin(council *agreement.Council) { c.council = council }

// Next is when something is due next.
func (c *Crew) Next() float64 {
	if !c.block.On {
		return math.Inf(1)
	}
	return c.agent.Next()
}

// Idle tells whether nothing of its own is under way.
func (c *Crew) Idle() bool { return c.agent.Idle() }

// Owns tells whether this gateway owns a job, as far as it has followed the log, and under which token.
func (c *Crew) Owns(job string) (uint64, bool) {
	j := c.agent.Book.Jobs[job]
	if j == nil || j.Owner != c.stand.Name || j.Incarnation != c.stand.Incarnation || c.stand.Incarnation == 0 {
		return 0, false
	}
	return j.Token, true
}

// Has tells whether a job runs.
func (c *Crew) Has(job string) bool {
	j := c.agent.Book.Jobs[job]
	return j != nil && j.State == owner.Running
}

// Close ends it.
func (c *Crew) Close() error {
	c.closed = true
	if c.place == nil {
		return nil
	}
	return c.place.Close()
}

// Handle takes one event of the council's, of its own place or of a hand.
func (c *Crew) Handle(now float64, e any) {
	if c.now = now; c.closed || !c.block.On {
		return
	}
	if c.queue = append(c.queue, e); c.busy {
		return
	}
	c.busy = true
	for len(c.queue) > 0 {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.handle(e)
	}
	c.busy = false
}

func (c *Crew) handle(e any) {
	switch e := e.(type) {
	case agreement.Followed:
		c.stand = e
		c.tell(e.Restored)
		c.carry(c.agent.Handle(c.now, owner.Followed{Name: e.Name, Incarnation: e.Incarnation, Leads: e.Leads}))
	case agreement.Leaving:
		c.carry(c.agent.Handle(c.now, owner.Leaving{}))
	case agreement.Asked:
		c.asked(e)
	case nil:
		if c.now >= c.agent.Next() {
			c.carry(c.agent.Handle(c.now, nil))
		}
	case owner.Ended, owner.Answered, owner.Booted:
		c.carry(c.agent.Handle(c.now, e))
	}
}

// tell writes a line for each change of an owner or a state that the log told of.
func (c *Crew) tell(restored bool) {
	last := c.told
	for _, j := range c.agent.Book.All() {
		for _, h := range j.History {
			if last = max(last, h.Index); h.Index > c.told && !restored {
				c.log.WithFields(logrus.Fields{"job": j.Name, "owner": h.Owner, "incarnation": h.Incarnation, "token": h.Token, "index": h.Index}).
					Info("jobs: " + h.What)
			}
		}
	}
	c.told = last
}

func (c *Crew) carry(actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Ask:
			switch a.Kind {
			case owner.Did:
				failpoint.Here(failpoint.Happened)
			case owner.Grant:
				failpoint.Here(failpoint.Granting)
			}
			data := canon.Encode(a.Claim)
			if a.Job != nil {
				data = canon.Encode(a.Job)
			}
			c.council.Propose(quorum.Command{Book: Book, Kind: a.Kind, Data: data}, func(o quorum.Outcome) {
				// Of what its process no longer may ask for nothing comes again.
				c.Handle(c.now, owner.Answered{InVain: errors.Is(o.Err, quorum.ErrGivenUp) || errors.Is(o.Err, quorum.ErrBusy)})
			})
		case owner.Raise:
			c.place.Raise(a.Job, a.Token)
		case owner.Do:
			failpoint.Here(failpoint.Sending)
			c.send(a)
		}
	}
}

// send brings an effect to its place: a hand of this gateway's, its own record, or another gateway's.
func (c *Crew) send(a owner.Do) {
	e := place.Effect{Job: a.Job.Name, Kind: a.Job.Kind, Token: a.Token, Step: a.Step, Type: a.Job.Type, Data: a.Job.Data, From: c.stand.Name, Incarnation: c.stand.Incarnation}
	ended := func(end owner.End) {
		if _, hand := c.hands[e.Kind]; end == owner.NeverRan && hand {
			c.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step}).Info("jobs: a step finds no room yet")
		} else if end == owner.NeverRan {
			c.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step, "place": a.Job.Place(a.Step)}).Warn("jobs: a step could not be sent")
		}
		c.council.Post(owner.Ended{Job: e.Job, Token: e.Token, Step: e.Step, End: end})
	}
	if hand, is := c.hands[e.Kind]; is {
		hand.Do(e, ended)
		return
	}
	if to := a.Job.Place(a.Step); to != "" && to != c.stand.Name {
		e.Data = nil
		c.council.Send(to, quorum.Frame{Kind: quorum.Effect, Data: canon.Encode(e)}, func() { ended(owner.NeverRan) })
		return
	}
	c.place.Do(e, func(r place.Effected) { ended(r.End) })
}

// asked is an effect that another gateway sends here, or what became of one of this gateway's.
func (c *Crew) asked(a agreement.Asked) {
	if a.Frame.Kind == quorum.Effected {
		var r place.Effected
		if canon.Decode(a.Frame.Data, &r) == nil && r.End >= owner.Ran && r.End <= owner.Refused {
			if r.End != owner.Ran {
				c.log.WithFields(logrus.Fields{"job": r.Job, "step": r.Step, "token": r.Token, "place": a.From}).Warn("jobs: a step did not run: " + r.Why)
			}
			c.carry(c.agent.Handle(c.now, owner.Ended{Job: r.Job, Token: r.Token, Step: r.Step, End: r.End}))
		}
		return
	}
	var e place.Effect
	if canon.Decode(a.Frame.Data, &e) != nil {
		return
	}
	answer := func(r place.Effected) { a.Answer(quorum.Frame{Kind: quorum.Effected, Data: canon.Encode(r)}) }
	refuse := place.Effected{Job: e.Job, Token: e.Token, Step: e.Step, End: owner.NeverRan}
	switch {
	case c.stand.Incarnation == 0:
		// It knows of all grants up to its own start only once it has followed the log so far: a record that was lost is made up
		// for by that.
		refuse.Why = "this gateway has not followed the log to its own start"
	case e.Kind != Drill || e.Type < owner.Safe || e.Type > owner.Unsafe:
		refuse.Why = "nothing of that kind happens here"
	default:
		c.place.Do(e, answer)
		return
	}
	answer(refuse)
}

// Allow tells whether a person may have a command agreed.
func (c *Crew) Allow(command quorum.Command) error {
	switch command.Kind {
	case owner.Start:
		var j owner.Job
		if err := canon.Decode(command.Data, &j); err != nil {
			return err
		}
		return c.check(j)
	case owner.Stop, owner.Fence, owner.Verdict:
		return nil
	}
	return fmt.Errorf("%s: not for people to ask for", command.Kind)
}

func (c *Crew) check(j owner.Job) error {
	hand, is := c.hands[j.Kind]
	switch {
	case !c.block.On:
		return errors.New("jobs: off at this gateway")
	case j.Kind != Drill && !is:
		return fmt.Errorf("kind: %q is none of %v", j.Kind, append(slices.Sorted(maps.Keys(c.hands)), Drill))
	case is && j.Type != hand.Type:
		return fmt.Errorf("type: steps of %s are %v", j.Kind, hand.Type)
	case is:
		return hand.Check(j)
	}
	for i, name := range j.Places {
		if _, known := c.agent.Book.Workers[name]; !known {
			return fmt.Errorf("places: %d: no gateway %q is known", i, name)
		}
	}
	return nil
}

// Tell answers a person.
func (c *Crew) Tell(about, name string) (any, error) {
	switch about {
	case "jobs":
		all := []owner.Report{}
		for _, j := range c.agent.Book.All() {
			all = append(all, j.Report())
		}
		return all, nil
	case "job":
		if j := c.agent.Book.Jobs[name]; j != nil {
			return j.Report(), nil
		}
		return nil, fmt.Errorf("job %q: %w", name, owner.ErrUnknown)
	case "effects":
		if c.place == nil {
			return nil, errors.New("jobs: off at this gateway")
		}
		all := []place.Entry{}
		for _, e := range c.place.Entries() {
			if name == "" || e.Effect.Job == name {
				all = append(all, e)
			}
		}
		return all[max(0, len(all)-mostTold):], nil
	}
	return nil, agreement.ErrNotMine
}

// mostTold bounds the effects of one answer, which has to fit a frame.
const mostTold = 4096

// OnRecord tells what a place's record says of a step that may have run: that it did, or that the place has word of a newer token
// than the one under which it was sent. With that word and without the step on record, it did not run there and never will.
func OnRecord(entries []place.Entry, job string, d owner.Doubt) (ran, fenced bool) {
	for _, e := range entries {
		if e.Effect.Job == job && e.Refused == 0 {
			ran = ran || e.Effect.Step == d.Step && !e.Told
			fenced = fenced || e.Effect.Token > d.Token
		}
	}
	return ran, fenced
}
