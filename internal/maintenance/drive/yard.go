// Package drive joins machines out for work (package maintenance) to the agreement of the gateways: the book to the log, what this
// gateway does about a machine that goes to its core, the schedule to whoever owns it. It decides nothing.
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
	"poppymill/internal/failpoint"
	"poppymill/internal/maintenance"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	"poppymill/internal/quorum"
	agreement "poppymill/internal/quorum/drive"
)

// Book is the name under which machines stand in the log; Schedule that of the job whose owner grants.
const (
	Book     = "machines"
	Schedule = "machines"
)

// How often, in ms, the owner of the schedule looks, and every gateway at what it has open at machines that drain.
const (
	lookEvery = 100.0
	tickEvery = 500.0
)

// Core is what a gateway's core does for its part, from its own loop: Leave has it send nothing new to these nodes; done is called,
// once, when nothing is open there any more, with the same number.
type Core interface {
	Leave(nodes []string, number int, done func(number int))
}

// Nodes is word of which boxes and hubs this gateway's list says to be there; all others are gone, or drain.
type Nodes struct{ There map[string]bool }

// left is word of the core that nothing is open any more at what it was told to leave.
type left struct{ number int }

// Yard is one gateway's part. It belongs to the council's loop.
type Yard struct {
	block   Block
	book    *maintenance.Book
	crew    *owned.Crew
	core    Core
	council *agreement.Council
	log     logrus.FieldLogger
	stand   agreement.Followed
	now     float64
	next    float64
	ticked  float64
	planAt  float64            // when it may work out the plan again: a large one must not take up the council's loop
	open    map[string]float64 // commands that are on their way, until they may go out again
	left    []string           // nodes that the core was told to leave
	number  int                // how often it was told
	clear   int                // the number up to which nothing is open there
	there   map[string]bool    // nodes, by this gateway's list; nil: it has none
	load    maintenance.Load   // what this gateway measured last
	gauge   maintenance.Gauge
	told    map[string]string // the last stage of each machine that a line told of
	unix    func() float64
	news    bool
}

// book words the log's commands for maintenance.Book.
type book struct{ *maintenance.Book }

func (b book) Apply(index uint64, c quorum.Command) any { return b.Book.Apply(index, c.Kind, c.Data) }
func (b book) Member(_ uint64, m quorum.Member) {
	b.Book.Member(m.Name, m.Incarnation, m.Standing == quorum.Joined)
}

// Leap has tokens rise above all that can have been given out.
func (b book) Leap() { b.Book.Last += 1 << 32 }

// Books is a gateway's book of machines alone, to read a store with.
func Books() map[string]quorum.Book {
	return map[string]quorum.Book{Book: book{maintenance.New()}}
}

// Open makes the part of a gateway. Without the block it follows what others do, and leaves machines that go all the same.
func Open(b Block, crew *owned.Crew, core Core, log logrus.FieldLogger) *Yard {
	return &Yard{block: b, book: maintenance.New(), crew: crew, core: core, log: log, open: map[string]float64{},
		told: map[string]string{}, unix: func() float64 { return float64(time.Now().UnixMilli()) }}
}

// Books are what it keeps in the log.
func (y *Yard) Books() map[string]quorum.Book { return map[string]quorum.Book{Book: book{y.book}} }

// Begin takes the council.
func (y *Yard) Begin(c *agreement.Council) { y.council = c }

// Next is when it looks again.
func (y *Yard) Next() float64 {
	if len(y.book.Works) == 0 && (!y.block.On || y.stand.Incarnation == 0) {
		return math.Inf(1)
	}
	return y.next
}

// Idle and Close: nothing of it has to be waited for.
func (y *Yard) Idle() bool   { return true }
func (y *Yard) Close() error { return nil }

// Handle takes an event of the council's or of the core's.
func (y *Yard) Handle(now float64, e any) {
	y.now = now
	switch e := e.(type) {
	case agreement.Followed:
		y.stand = e
		y.tell()
		y.news = true
	case maintenance.Load:
		y.load = e
		if y.stand.Incarnation != 0 && y.block.On {
			if o := y.gauge.See(y.unix(), e, y.book, y.stand.Name); o != nil {
				y.propose(maintenance.Measured, "", o)
			}
		}
	case Nodes:
		y.there, y.news = e.There, true
	case left:
		if e.number > y.clear {
			y.clear, y.news = e.number, true
		}
	}
	if y.news || now >= y.next {
		y.news, y.next = false, now+lookEvery
		y.leave() // as soon as it knows, whether or not it may say so yet
		if y.stand.Incarnation != 0 {
			y.look()
		}
	}
}

// look does what is this gateway's to do.
func (y *Yard) look() {
	y.acknowledge()
	if y.stand.Leads && y.block.On {
		y.lead()
	}
	if token, owns := y.crew.Owns(Schedule); owns && y.block.On {
		y.schedule(token)
	}
}

// propose has a command agreed, and not again before it had its time.
func (y *Yard) propose(kind, key string, content any) {
	key = kind + " " + key
	if y.now < y.open[key] {
		return
	}
	y.open[key] = y.now + 1000
	y.council.Propose(quorum.Command{Book: Book, Kind: kind, Data: canon.Encode(content)}, func(o quorum.Outcome) {
		delete(y.open, key)
		if o.Err != nil && !errors.Is(o.Err, quorum.ErrGivenUp) && !errors.Is(o.Err, quorum.ErrBusy) {
			y.open[key] = y.now + lookEvery // refused by the log: it looks again before it asks again
		}
	})
	if len(y.open) > 4096 {
		maps.DeleteFunc(y.open, func(_ string, until float64) bool { return y.now >= until })
	}
}

// leave has the core send nothing new to machines that drain or are out.
func (y *Yard) leave() {
	var nodes []string
	for _, name := range slices.Sorted(maps.Keys(y.book.Works)) {
		if w, m := y.book.Works[name], y.book.Machine(name); m != nil && (w.Stage == maintenance.Draining || w.Stage == maintenance.Out || w.Stage == maintenance.Overdue) {
			nodes = append(append(nodes, m.Boxes...), m.Hubs...)
		}
	}
	if !slices.Equal(nodes, y.left) {
		y.left = nodes
		y.number++
		y.core.Leave(nodes, y.number, func(number int) { y.council.Post(left{number}) })
	}
}

// acknowledge says to the log of each machine that drains that this gateway has left it, and of each that is back that it is warm.
func (y *Yard) acknowledge() {
	for _, name := range slices.Sorted(maps.Keys(y.book.Works)) {
		w, m := y.book.Works[name], y.book.Machine(name)
		if m != nil && w.Stage == maintenance.Warming && !w.Warm[y.stand.Name] && y.book.Warm(m, y.load) {
			y.propose(maintenance.Warm, name, maintenance.Order{At: y.unix(), Machine: name, Token: w.Token, From: y.stand.Name})
		}
		if y.clear == y.number && m != nil && w.Stage == maintenance.Draining && !w.Acks[y.stand.Name] && !slices.Contains(m.Gateways, y.stand.Name) {
			y.propose(maintenance.Ack, name, maintenance.Order{At: y.unix(), Machine: name, Token: w.Token, From: y.stand.Name})
		}
	}
}

// lead says what the leader alone says: the operator's file, who votes, what is lost, what is due, and that the schedule is a job.
func (y *Yard) lead() {
	if y.block.Inventory.Version > y.book.Inventory.Version {
		y.propose(maintenance.Have, "", y.block.Inventory)
	}
	if !y.crew.Has(Schedule) {
		y.council.Propose(quorum.Command{Book: owned.Book, Kind: owner.Start, Data: canon.Encode(owner.Job{Name: Schedule, Kind: owned.Hold, Steps: 1, Window: 1})}, func(quorum.Outcome) {})
	}
	if voters := y.council.Voters(); len(voters) > 0 && !slices.Equal(voters, y.book.Voters) {
		y.propose(maintenance.Votes, "", maintenance.Order{Names: voters})
	}
	y.council.Retire(y.book.Going())
	if y.there != nil {
		var lost []string
		for _, m := range y.book.Inventory.Machines {
			for _, n := range slices.Concat(m.Boxes, m.Hubs) {
				if !y.there[n] {
					lost = append(lost, n)
				}
			}
		}
		slices.Sort(lost)
		if now := slices.Sorted(maps.Keys(y.book.Lost)); !slices.Equal(now, lost) {
			y.propose(maintenance.Lost, "", maintenance.Order{At: y.unix(), Names: lost})
		}
	}
	if len(y.book.Works) > 0 && y.now >= y.ticked+tickEvery { // by its own clock: other commands carry the log's time on as well
		y.ticked = y.now
		y.propose(maintenance.Tick, "", maintenance.Order{At: y.unix()})
	}
}

// schedule grants what the plan says is next.
func (y *Yard) schedule(token uint64) {
	if len(y.book.Works) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(y.book.Works)) {
		if m := y.book.Machine(name); m != nil && y.book.WarmBy(m, y.book.Works[name]) {
			y.propose(maintenance.Warmed, name, maintenance.Order{At: y.unix(), Machine: name, Owned: token})
		}
	}
	if y.now < y.planAt {
		return
	}
	begun := time.Now()
	plan := y.book.Plan()
	y.planAt = y.now + 10*float64(time.Since(begun))/float64(time.Millisecond)
	for _, s := range plan {
		if w := y.book.Works[s.Machine]; !s.Never && s.Start <= y.book.Now && w != nil && w.Stage == maintenance.Asked {
			failpoint.Here(failpoint.Scheduling)
			y.propose(maintenance.Grant, s.Machine, maintenance.Order{At: y.unix(), Machine: s.Machine, Owned: token})
		}
	}
}

// tell writes a line for each machine that came to another stage.
func (y *Yard) tell() {
	for _, name := range slices.Sorted(maps.Keys(y.book.Works)) {
		w := y.book.Works[name]
		if now := fmt.Sprint(w.Stage, w.Token); y.told[name] != now {
			y.told[name] = now
			y.log.WithFields(logrus.Fields{"machine": name, "is": w.Stage.String(), "token": w.Token, "why": w.Why, "request": w.Request.ID}).Info("machines: stage")
		}
	}
	for name := range y.told {
		if y.book.Works[name] == nil {
			delete(y.told, name)
			y.log.WithField("machine", name).Info("machines: in")
		}
	}
}

// Allow tells whether people, or a machine's agent, may have a command agreed.
func (y *Yard) Allow(c quorum.Command) error {
	switch c.Kind {
	case maintenance.Ask, maintenance.Cancel, maintenance.Withdraw, maintenance.Drain, maintenance.Go, maintenance.Back, maintenance.Peak:
		var o maintenance.Order
		if err := canon.Decode(c.Data, &o); err != nil {
			return err
		}
		if !y.block.On {
			return errors.New("machines: off at this gateway")
		}
		return nil
	}
	return fmt.Errorf("%s: not for people to ask for", c.Kind)
}

// Machine is one for people.
type Machine struct {
	maintenance.Machine
	Stage string            `json:"stage"`
	Hurt  bool              `json:"hurt"` // something on it is lost or drained
	Work  *maintenance.Work `json:"work,omitempty"`
	Waits []string          `json:"waits,omitempty"` // gateways that are not done with it
}

func (y *Yard) machine(m maintenance.Machine) Machine {
	x := Machine{Machine: m, Stage: maintenance.In.String(), Hurt: y.book.Hurt(m.Name), Work: y.book.Works[m.Name]}
	if x.Work != nil {
		if x.Stage = x.Work.Stage.String(); x.Work.Stage == maintenance.Draining {
			x.Waits = y.book.Waits(x.Work, &m)
		}
	}
	return x
}

// Tell answers a person.
func (y *Yard) Tell(about, name string) (any, error) {
	switch about {
	case "machines":
		all := []Machine{}
		for _, m := range y.book.Inventory.Machines {
			all = append(all, y.machine(m))
		}
		return map[string]any{"version": y.book.Inventory.Version, "limits": y.book.Inventory.Limits, "machines": all, "strangers": y.book.Strangers(), "here": y.block.Inventory.Version}, nil
	case "machine":
		if m := y.book.Machine(name); m != nil {
			return y.machine(*m), nil
		}
		return nil, fmt.Errorf("machine %q: %w", name, maintenance.ErrUnknown)
	case "plan":
		return map[string]any{"now": y.book.Now, "plan": append([]maintenance.Slot{}, y.book.Plan()...), "near": y.book.Near()}, nil
	case "ended":
		return append([]maintenance.Ended{}, y.book.Ended...), nil
	}
	return nil, agreement.ErrNotMine
}
