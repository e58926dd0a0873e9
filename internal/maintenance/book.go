package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"poppymill/internal/canon"
)

// Book is the state that the log's commands bring about.
type Book struct {
	Inventory Inventory              `cbor:"1,keyasint"`
	Works     map[string]*Work       `cbor:"2,keyasint"` // by machine: those that are not in, or were of late
	Gateways  map[string]Gateway     `cbor:"3,keyasint"` // members, as the log tells of them
	Lost      map[string]bool        `cbor:"4,keyasint"` // boxes and hubs that are gone or drained by the list
	Voters    []string               `cbor:"5,keyasint"`
	Peaks     map[string][24]float64 `cbor:"6,keyasint"`  // of each club, by hour of the day
	Last      uint64                 `cbor:"7,keyasint"`  // the last token given out; it only rises
	Now       float64                `cbor:"8,keyasint"`  // the newest time that a command told
	Ended     []Ended                `cbor:"9,keyasint"`  // requests that are over, the newest last
	Owned     uint64                 `cbor:"10,keyasint"` // the highest token under which the schedule was owned
	Measured  map[string][24]float64 `cbor:"11,keyasint"` // peaks of each gateway, downloads a second, by hour of the day (UTC)
}

// Gateway is a member.
type Gateway struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	There       bool    `cbor:"2,keyasint"`
	Since       float64 `cbor:"3,keyasint"` // when the log last said so, by its own time
}

// Work is a machine that is on its way out or back.
type Work struct {
	Request Request         `cbor:"1,keyasint" json:"request"`
	Stage   Stage           `cbor:"2,keyasint" json:"stage"`
	Token   uint64          `cbor:"3,keyasint" json:"token"` // of its grant; 0: none stands
	Since   float64         `cbor:"4,keyasint" json:"since"` // when it came to this stage
	Asked   uint64          `cbor:"5,keyasint" json:"asked"` // the place in the log: who waits for longest
	Acks    map[string]bool `cbor:"6,keyasint" json:"acks,omitempty"`
	Without []string        `cbor:"7,keyasint" json:"without,omitempty"` // gateways without whose word it went
	Why     string          `cbor:"8,keyasint" json:"why,omitempty"`     // it came to this stage
	Warm    map[string]bool `cbor:"9,keyasint" json:"warm,omitempty"`    // gateways that find it warm
	Backs   int             `cbor:"10,keyasint" json:"backs,omitempty"`  // how often it was put back before it went
	Before  string          `cbor:"11,keyasint" json:"before,omitempty"` // why, last
}

// Ended is a request that is over.
type Ended struct {
	Request Request `cbor:"1,keyasint" json:"request"`
	What    string  `cbor:"2,keyasint" json:"what"` // done, or cancelled
	At      float64 `cbor:"3,keyasint" json:"at"`
}

// Bounds.
const (
	mostMachines = 4096
	mostEnded    = 512
	mostNames    = 8192
)

// New makes an empty book.
func New() *Book {
	return &Book{Works: map[string]*Work{}, Gateways: map[string]Gateway{}, Lost: map[string]bool{}, Peaks: map[string][24]float64{}, Measured: map[string][24]float64{}}
}

// Machine finds one by name.
func (b *Book) Machine(name string) *Machine {
	for i := range b.Inventory.Machines {
		if b.Inventory.Machines[i].Name == name {
			return &b.Inventory.Machines[i]
		}
	}
	return nil
}

// Member is word of a gateway in its place in the log. One that is lost takes from the same limits as work.
func (b *Book) Member(name string, incarnation uint64, there bool) {
	if incarnation == 0 && !there {
		delete(b.Gateways, name)
		delete(b.Measured, name)
		return
	}
	if b.Gateways[name].Incarnation != incarnation {
		// Another process: what the one before it had left, this one may not have.
		for _, w := range b.Works {
			delete(w.Acks, name)
			delete(w.Warm, name)
		}
	}
	if len(b.Gateways) < mostNames || b.Gateways[name].Incarnation != 0 {
		b.Gateways[name] = Gateway{Incarnation: incarnation, There: there, Since: b.Now}
	}
	b.loss()
}

// loss puts back what is not out yet where more is out than may be. What is out stays out, and its place taken.
func (b *Book) loss() {
	for {
		why := b.tally().passed()
		if why == "" {
			return
		}
		var last *Work
		name := ""
		for _, n := range slices.Sorted(maps.Keys(b.Works)) {
			// The one that was granted last goes back first, for as long as that is needed.
			if w := b.Works[n]; (w.Stage == Granted || w.Stage == Draining) && (last == nil || w.Token > last.Token) {
				last, name = w, n
			}
		}
		if last == nil {
			return
		}
		b.move(name, last, Asked, Loss, Lost, "a loss: "+why)
	}
}

// move changes a stage, by a step of the table alone.
func (b *Book) move(name string, w *Work, to Stage, by By, kind, why string) bool {
	if !slices.Contains(Steps, Step{w.Stage, to, by, kind}) {
		return false
	}
	if to == Asked && w.Stage >= Granted {
		w.Backs++
		w.Before = why
	}
	w.Stage, w.Since, w.Why = to, b.Now, why
	switch to {
	case Asked, In:
		w.Token, w.Acks, w.Without, w.Warm = 0, nil, nil, nil
	case Draining:
		w.Acks = map[string]bool{}
	case Warming:
		w.Warm = map[string]bool{}
	}
	if to == In {
		delete(b.Works, name)
	}
	return true
}

// Apply takes a command in its place in the log. Its result is a copy of the machine's work as it is then, nil where there is none, or
// an error.
func (b *Book) Apply(index uint64, kind string, data []byte) any {
	if kind == Have {
		var i Inventory
		if canon.Decode(data, &i) != nil {
			return ErrBad
		}
		return b.have(i)
	}
	var o Order
	if canon.Decode(data, &o) != nil || len(o.Names) > mostNames || o.At != o.At || o.At < 0 || o.At > 1e15 {
		return ErrBad
	}
	b.Now = max(b.Now, o.At)
	var err error
	switch kind {
	case Ask:
		err = b.ask(index, o)
	case Cancel:
		err = b.cancel(o)
	case Lost:
		b.Lost = map[string]bool{}
		for _, n := range o.Names {
			b.Lost[n] = true
		}
		b.loss()
		return nil
	case Votes:
		b.Voters = slices.Clone(o.Names)
		return nil
	case Peak:
		if o.Hour < 0 || o.Hour > 23 || !(o.Peak >= 0) || !slices.Contains(b.clubs(), o.Club) {
			return ErrBad
		}
		p := b.Peaks[o.Club]
		p[o.Hour] = o.Peak
		b.Peaks[o.Club] = p
		return nil
	case Measured:
		if o.Hour < 0 || o.Hour > 23 || !(o.Peak >= 0) || b.Gateways[o.From].Incarnation == 0 {
			return ErrBad
		}
		p := b.Measured[o.From]
		p[o.Hour] = o.Peak
		b.Measured[o.From] = p
		return nil
	case Tick:
		b.tick()
		return nil
	default:
		w := b.Works[o.Machine]
		if w == nil || b.Machine(o.Machine) == nil {
			return ErrUnknown
		}
		err = b.step(kind, o, w)
	}
	if err != nil {
		return err
	}
	name := o.Machine
	if o.Request != nil {
		name = o.Request.Machine
	}
	if w := b.Works[name]; w != nil {
		c := *w
		c.Acks, c.Warm, c.Without = maps.Clone(w.Acks), maps.Clone(w.Warm), slices.Clone(w.Without)
		return c
	}
	return nil
}

func (b *Book) have(i Inventory) any {
	if err := i.Check(); err != nil {
		return err
	}
	if i.Version == b.Inventory.Version && !reflect.DeepEqual(i, b.Inventory) || i.Version < b.Inventory.Version {
		return ErrOther
	}
	for name, w := range b.Works {
		if w.Stage >= Granted && !slices.ContainsFunc(i.Machines, func(m Machine) bool { return m.Name == name }) {
			return ErrOut
		}
	}
	for name := range b.Works {
		if !slices.ContainsFunc(i.Machines, func(m Machine) bool { return m.Name == name }) {
			b.end(b.Works[name], "cancelled")
			delete(b.Works, name)
		}
	}
	b.Inventory = i
	b.loss()
	return nil
}

// Check tells what is wrong with an inventory, by name.
func (i Inventory) Check() error {
	if len(i.Machines) > mostMachines {
		return fmt.Errorf("machines: %d of them; %d at most", len(i.Machines), mostMachines)
	}
	names, parts := map[string]bool{}, map[string]string{}
	for _, m := range i.Machines {
		if m.Name == "" || names[m.Name] {
			return fmt.Errorf("machine %q: without a name, or there twice", m.Name)
		}
		names[m.Name] = true
		for _, p := range slices.Concat(m.Gateways, m.Boxes, m.Hubs) {
			if other := parts[p]; other != "" {
				return fmt.Errorf("machine %q: %s stands on %q as well", m.Name, p, other)
			}
			parts[p] = m.Name
		}
		if !(m.Carries >= 0) {
			return fmt.Errorf("machine %q: carries: %v", m.Name, m.Carries)
		}
	}
	return nil
}

func (b *Book) ask(index uint64, o Order) error {
	r := o.Request
	if r == nil || r.ID == "" || !(r.Takes > 0) || !(r.By >= 0) || !(r.NotBefore >= 0) {
		return ErrBad
	}
	m := b.Machine(r.Machine)
	if m == nil {
		return ErrUnknown
	}
	if r.By > 0 && max(b.Now, r.NotBefore)+r.Takes > r.By {
		return ErrPast
	}
	for name, w := range b.Works {
		if w.Request.ID == r.ID && name != r.Machine {
			return ErrOther
		}
	}
	w := b.Works[r.Machine]
	switch {
	case w == nil:
		if slices.ContainsFunc(b.Ended, func(e Ended) bool { return e.Request.ID == r.ID }) {
			return nil // it comes again, after its end
		}
		// One that could never go out, with nothing else out, is told at once.
		alone := New()
		alone.Inventory, alone.Peaks, alone.Measured = b.Inventory, b.Peaks, b.Measured
		if why := alone.tally().fits(m, max(b.Now, r.NotBefore), max(b.Now, r.NotBefore)+r.Takes); why != "" {
			return Refused{why}
		}
		w = &Work{Request: *r, Asked: index}
		b.Works[r.Machine] = w
		b.move(r.Machine, w, Asked, Operator, Ask, r.Why)
	case w.Request.ID == r.ID:
		w.Request = *r // the newest word holds whole
	default:
		return ErrOther
	}
	return nil
}

func (b *Book) cancel(o Order) error {
	for name, w := range b.Works {
		if w.Request.ID != o.ID {
			continue
		}
		if r := w.Request; !b.move(name, w, In, Operator, Cancel, "cancelled") {
			return ErrStage // it is out: it comes back by itself
		} else {
			b.end(&Work{Request: r}, "cancelled")
		}
		return nil
	}
	if slices.ContainsFunc(b.Ended, func(e Ended) bool { return e.Request.ID == o.ID }) {
		return nil
	}
	return ErrUnknown
}

func (b *Book) end(w *Work, what string) {
	if b.Ended = append(b.Ended, Ended{Request: w.Request, What: what, At: b.Now}); len(b.Ended) > mostEnded {
		b.Ended = slices.Clone(b.Ended[1:])
	}
}

// step takes a command that is about one machine.
func (b *Book) step(kind string, o Order, w *Work) error {
	m := b.Machine(o.Machine)
	switch kind {
	case Drain, Ack, Go, Back, Warm:
		if o.Token == 0 || o.Token != w.Token {
			return ErrOld // withdrawn, or of another time: it does not go out on it
		}
	}
	if kind == Grant || kind == Warmed {
		if o.Owned < b.Owned {
			return ErrOld // an owner of the schedule that was replaced, and wakes late
		}
		b.Owned = o.Owned
	}
	ok := false
	switch kind {
	case Grant:
		if w.Stage != Asked || b.Now < w.Request.NotBefore {
			return ErrStage
		}
		if b.hurt(m) {
			return Refused{"something on it is lost or drained"}
		}
		t := b.tally()
		if why := cmp.Or(t.passed(), t.fits(m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); why != "" { // where a loss has passed any limit nothing goes
			return Refused{why}
		}
		if ok = b.move(o.Machine, w, Granted, Scheduler, Grant, "its turn"); ok {
			b.Last++
			w.Token = b.Last
		}
	case Drain:
		ok = b.move(o.Machine, w, Draining, Agent, Drain, "it began")
	case Ack:
		if w.Stage == Draining && o.From != "" && len(w.Acks) < mostNames {
			w.Acks[o.From], ok = true, true
		}
	case Go:
		if w.Stage != Draining {
			return ErrStage
		}
		if why := b.votes(m); why != "" {
			return Refused{why}
		}
		waits := b.Waits(w, m)
		if len(waits) > 0 && !(b.Inventory.Limits.Silent == GoOut && b.Now >= w.Since+b.Inventory.Limits.Drain) {
			return ErrWaits
		}
		w.Without = waits
		ok = b.move(o.Machine, w, Out, Agent, Go, "all are done with it")
		if len(waits) > 0 {
			w.Why = fmt.Sprintf("out without word from %v", waits)
		}
	case Back:
		ok = b.move(o.Machine, w, Warming, Agent, Back, "it is back")
	case Warm:
		if w.Stage == Warming && o.From != "" && len(w.Warm) < mostNames {
			w.Warm[o.From], ok = true, true
		}
	case Warmed:
		if w.Stage == Warming && !b.WarmBy(m, w) {
			return ErrCold
		}
		if r := w.Request; b.move(o.Machine, w, In, Scheduler, Warmed, "warm") {
			b.end(&Work{Request: r}, "done")
			return nil
		}
	case Withdraw:
		ok = b.move(o.Machine, w, Asked, Operator, Withdraw, "withdrawn")
	default:
		return ErrBad
	}
	if !ok {
		return ErrStage
	}
	return nil
}

// Waits names the gateways that are not done with a machine that drains: all that are there and did not say so, and those lost so lately
// that something of theirs may be on its way.
func (b *Book) Waits(w *Work, m *Machine) (all []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		if w.Acks[name] || slices.Contains(m.Gateways, name) || !g.There && b.Now >= g.Since+b.Inventory.Limits.Grace {
			continue
		}
		all = append(all, name)
	}
	return all
}

// tick does what is due by the newest time.
func (b *Book) tick() {
	l := b.Inventory.Limits
	for _, name := range slices.Sorted(maps.Keys(b.Works)) {
		w := b.Works[name]
		age := b.Now - w.Since
		switch {
		case w.Stage == Granted && l.Begin > 0 && age >= l.Begin:
			b.move(name, w, Asked, Time, Tick, "it did not begin")
		case w.Stage == Draining && l.Silent == PutBack && l.Drain > 0 && age >= l.Drain:
			why := "it did not go"
			if waits := b.Waits(w, b.Machine(name)); len(waits) > 0 {
				why = fmt.Sprintf("no word from %v", waits)
			}
			b.move(name, w, Asked, Time, Tick, why)
		case w.Stage == Out && l.Overdue > 0 && age >= l.Overdue*w.Request.Takes:
			b.move(name, w, Overdue, Time, Tick, "not back in time")
		case w.Stage == Warming && age >= l.Warm && !b.hurt(b.Machine(name)):
			if r := w.Request; b.move(name, w, In, Time, Tick, "back for long enough") {
				b.end(&Work{Request: r}, "done")
			}
		}
	}
}

// Save writes the state down, alike to the byte for alike states.
func (b *Book) Save() []byte { return canon.Encode(b) }

// Load takes the place of all that was there; nothing makes it empty.
func (b *Book) Load(text []byte) error {
	n := New()
	if text != nil {
		if err := canon.Decode(text, n); err != nil {
			return fmt.Errorf("machines: %w", err)
		}
		if n.Works == nil || n.Gateways == nil || n.Lost == nil || n.Peaks == nil {
			return fmt.Errorf("machines: %w", ErrBad)
		}
		for _, w := range n.Works { // of a program that did not know of it yet
			switch {
			case w.Stage == Draining && w.Acks == nil:
				w.Acks = map[string]bool{}
			case w.Stage == Warming && w.Warm == nil:
				w.Warm = map[string]bool{}
			}
		}
	}
	*b = *n
	return nil
}
