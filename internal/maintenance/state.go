package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"poppymill/internal/codec"
)

// State is the state machine's state: everything that the applied commands have produced.
type State struct {
	Inventory     Inventory              `cbor:"1,keyasint"`
	Windows       map[string]*Window     `cbor:"2,keyasint"` // by machine: those that have a request or are out
	Gateways      map[string]Gateway     `cbor:"3,keyasint"` // members of the fleet, by name
	Lost          map[string]bool        `cbor:"4,keyasint"` // edge caches and hubs that are missing from or drained in the node list
	Voters        []string               `cbor:"5,keyasint"`
	Peaks         map[string][24]float64 `cbor:"6,keyasint"`  // set by operators, by club and hour of the day (UTC)
	LastToken     uint64                 `cbor:"7,keyasint"`  // the last grant's token; it only increases
	Now           float64                `cbor:"8,keyasint"`  // the newest time carried by a command
	Ended         []FinishedRequest      `cbor:"9,keyasint"`  // finished requests, the newest last
	OwnerToken    uint64                 `cbor:"10,keyasint"` // the highest token of an owner of the schedule
	MeasuredPeaks map[string][24]float64 `cbor:"11,keyasint"` // by gateway and hour of the day (UTC), in downloads per second
}

// Gateway is the membership state of one gateway.
type Gateway struct {
	Incarnation uint64  `cbor:"1,keyasint"`
	Live        bool    `cbor:"2,keyasint"`
	Since       float64 `cbor:"3,keyasint"`           // when the log last reported it live or lost, in the log's time
	Undated     bool    `cbor:"4,keyasint,omitempty"` // Since is older than that, and follows with the next command
}

// Window is a machine's open request and the progress of its maintenance window.
type Window struct {
	Request        Request         `cbor:"1,keyasint" json:"request"`
	Stage          Stage           `cbor:"2,keyasint" json:"stage"`
	Token          uint64          `cbor:"3,keyasint" json:"token"` // of its grant; 0: none is valid
	Since          float64         `cbor:"4,keyasint" json:"since"` // when it entered this stage
	RequestIndex   uint64          `cbor:"5,keyasint" json:"asked"` // log index of the request, for first come, first served
	Acks           map[string]bool `cbor:"6,keyasint" json:"acks,omitempty"`
	MissingAcks    []string        `cbor:"7,keyasint" json:"without,omitempty"` // gateways whose acknowledgement was missing when it left
	Reason         string          `cbor:"8,keyasint" json:"why,omitempty"`     // why it entered this stage
	Warm           map[string]bool `cbor:"9,keyasint" json:"warm,omitempty"`    // gateways that report it warm
	RevokedGrants  int             `cbor:"10,keyasint" json:"backs,omitempty"`  // how often it lost a grant before it left
	LastRevocation string          `cbor:"11,keyasint" json:"before,omitempty"` // why it last lost a grant
}

// FinishedRequest is a finished request.
type FinishedRequest struct {
	Request Request `cbor:"1,keyasint" json:"request"`
	Outcome string  `cbor:"2,keyasint" json:"what"` // done, or cancelled
	At      float64 `cbor:"3,keyasint" json:"at"`
}

// Bounds on the size of the state.
const (
	maxMachines = 4096
	maxEnded    = 512
	maxNames    = 8192
)

// New returns an empty state.
func New() *State {
	return &State{Windows: map[string]*Window{}, Gateways: map[string]Gateway{}, Lost: map[string]bool{}, Peaks: map[string][24]float64{}, MeasuredPeaks: map[string][24]float64{}}
}

// Machine returns the named machine of the inventory, or nil.
func (b *State) Machine(name string) *Machine {
	for i := range b.Inventory.Machines {
		if b.Inventory.Machines[i].Name == name {
			return &b.Inventory.Machines[i]
		}
	}
	return nil
}

// SetGateway applies a membership change of a gateway. A lost gateway counts towards the same limits as maintenance. A change that is
// neither live nor has an incarnation removes the gateway.
func (b *State) SetGateway(name string, incarnation uint64, live bool) {
	if incarnation == 0 && !live {
		delete(b.Gateways, name)
		delete(b.MeasuredPeaks, name)
		return
	}
	if b.Gateways[name].Incarnation != incarnation {
		// A new process: acknowledgements of the previous one say nothing about it.
		for _, w := range b.Windows {
			delete(w.Acks, name)
			delete(w.Warm, name)
		}
	}
	if len(b.Gateways) < maxNames || b.Gateways[name].Incarnation != 0 {
		undated := len(b.Windows) == 0 // the time of the log stands still while no request is open
		b.Gateways[name] = Gateway{Incarnation: incarnation, Live: live, Since: b.Now, Undated: undated}
	}
	b.requeueAfterLoss()
}

// dateGateways dates membership changes that were applied while the time of the log stood still.
func (b *State) dateGateways() {
	for name, g := range b.Gateways {
		if g.Undated {
			g.Since, g.Undated = b.Now, false
			b.Gateways[name] = g
		}
	}
}

// requeueAfterLoss revokes grants of machines that have not left yet while an outage limit is exceeded. Machines that are out stay out and
// keep counting.
func (b *State) requeueAfterLoss() {
	for {
		reason := b.countOutages().exceeded()
		if reason == "" {
			return
		}
		var newest *Window
		name := ""
		for _, n := range slices.Sorted(maps.Keys(b.Windows)) {
			// The newest grant is revoked first.
			if w := b.Windows[n]; (w.Stage == Granted || w.Stage == Draining) && (newest == nil || w.Token > newest.Token) {
				newest, name = w, n
			}
		}
		if newest == nil {
			return
		}
		b.transition(name, newest, Queued, Loss, SetLost, "a loss: "+reason)
	}
}

// transition changes a machine's stage if the table Transitions permits it, and tells whether it did.
func (b *State) transition(name string, w *Window, to Stage, by Actor, kind, reason string) bool {
	if !slices.Contains(Transitions, Transition{w.Stage, to, by, kind}) {
		return false
	}
	if to == Queued && w.Stage >= Granted {
		w.RevokedGrants++
		w.LastRevocation = reason
	}
	w.Stage, w.Since, w.Reason = to, b.Now, reason
	switch to {
	case Queued, InService:
		w.Token, w.Acks, w.MissingAcks, w.Warm = 0, nil, nil, nil
	case Draining:
		w.Acks = map[string]bool{}
	case Warming:
		w.Warm = map[string]bool{}
	}
	if to == InService {
		delete(b.Windows, name)
	}
	return true
}

// Apply applies a committed command. It returns a copy of the machine's Window after the command, nil if it has none, or an error.
func (b *State) Apply(index uint64, kind string, data []byte) any {
	if kind == SetInventory {
		var i Inventory
		if codec.Decode(data, &i) != nil {
			return ErrMalformed
		}
		return b.setInventory(i)
	}
	var o CommandData
	if codec.Decode(data, &o) != nil || len(o.Names) > maxNames || o.At != o.At || o.At < 0 || o.At > 1e15 {
		return ErrMalformed
	}
	b.Now = max(b.Now, o.At)
	b.dateGateways()
	var err error
	switch kind {
	case Submit:
		err = b.submit(index, o)
	case Cancel:
		err = b.cancel(o)
	case SetLost:
		b.Lost = map[string]bool{}
		for _, n := range o.Names {
			b.Lost[n] = true
		}
		b.requeueAfterLoss()
		return nil
	case SetVoters:
		b.Voters = slices.Clone(o.Names)
		return nil
	case SetPeak:
		if o.Hour < 0 || o.Hour > 23 || !(o.Peak >= 0) || !slices.Contains(b.clubs(), o.Club) {
			return ErrMalformed
		}
		p := b.Peaks[o.Club]
		p[o.Hour] = o.Peak
		b.Peaks[o.Club] = p
		return nil
	case ReportPeak:
		if o.Hour < 0 || o.Hour > 23 || !(o.Peak >= 0) || b.Gateways[o.Gateway].Incarnation == 0 {
			return ErrMalformed
		}
		p := b.MeasuredPeaks[o.Gateway]
		p[o.Hour] = o.Peak
		b.MeasuredPeaks[o.Gateway] = p
		return nil
	case Tick:
		b.applyTimeouts()
		return nil
	default:
		w := b.Windows[o.Machine]
		if w == nil || b.Machine(o.Machine) == nil {
			return ErrUnknownMachine
		}
		err = b.applyToMachine(kind, o, w)
	}
	if err != nil {
		return err
	}
	name := o.Machine
	if o.Request != nil {
		name = o.Request.Machine
	}
	if w := b.Windows[name]; w != nil {
		c := *w
		c.Acks, c.Warm, c.MissingAcks = maps.Clone(w.Acks), maps.Clone(w.Warm), slices.Clone(w.MissingAcks)
		return c
	}
	return nil
}

// setInventory replaces the inventory, unless a machine that has been granted or is out is missing from it.
func (b *State) setInventory(i Inventory) any {
	if err := i.Validate(); err != nil {
		return err
	}
	if i.Version == b.Inventory.Version && !reflect.DeepEqual(i, b.Inventory) || i.Version < b.Inventory.Version {
		return ErrConflict
	}
	for name, w := range b.Windows {
		if w.Stage >= Granted && !slices.ContainsFunc(i.Machines, func(m Machine) bool { return m.Name == name }) {
			return ErrMachineMissing
		}
	}
	for name := range b.Windows {
		if !slices.ContainsFunc(i.Machines, func(m Machine) bool { return m.Name == name }) {
			b.recordEnded(b.Windows[name], "cancelled")
			delete(b.Windows, name)
		}
	}
	b.Inventory = i
	b.requeueAfterLoss()
	return nil
}

// Validate returns the first error in an inventory; the error names the machine.
func (i Inventory) Validate() error {
	if len(i.Machines) > maxMachines {
		return fmt.Errorf("machines: %d of them; %d at most", len(i.Machines), maxMachines)
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
		if !(m.Capacity >= 0) {
			return fmt.Errorf("machine %q: carries: %v", m.Name, m.Capacity)
		}
	}
	return nil
}

// submit adds a request for a machine, or updates the one with the same id.
func (b *State) submit(index uint64, o CommandData) error {
	r := o.Request
	if r == nil || r.ID == "" || !(r.Duration > 0) || !(r.Deadline >= 0) || !(r.NotBefore >= 0) {
		return ErrMalformed
	}
	m := b.Machine(r.Machine)
	if m == nil {
		return ErrUnknownMachine
	}
	if r.Deadline > 0 && max(b.Now, r.NotBefore)+r.Duration > r.Deadline {
		return ErrDeadline
	}
	for name, w := range b.Windows {
		if w.Request.ID == r.ID && name != r.Machine {
			return ErrConflict
		}
	}
	w := b.Windows[r.Machine]
	switch {
	case w == nil:
		if slices.ContainsFunc(b.Ended, func(e FinishedRequest) bool { return e.Request.ID == r.ID }) {
			return nil // a repeated request that has already finished
		}
		// A machine that could not leave even with nothing else out is refused at once.
		alone := New()
		alone.Inventory, alone.Peaks, alone.MeasuredPeaks = b.Inventory, b.Peaks, b.MeasuredPeaks
		if reason := alone.countOutages().blockedBy(m, max(b.Now, r.NotBefore), max(b.Now, r.NotBefore)+r.Duration); reason != "" {
			return Refused{reason}
		}
		w = &Window{Request: *r, RequestIndex: index}
		b.Windows[r.Machine] = w
		b.transition(r.Machine, w, Queued, Operator, Submit, r.Reason)
	case w.Request.ID == r.ID:
		w.Request = *r // the newest content replaces the old one entirely
	default:
		return ErrConflict
	}
	return nil
}

// cancel ends a request whose machine is not out yet.
func (b *State) cancel(o CommandData) error {
	for name, w := range b.Windows {
		if w.Request.ID != o.ID {
			continue
		}
		if r := w.Request; !b.transition(name, w, InService, Operator, Cancel, "cancelled") {
			return ErrWrongStage // it is out: only its agent brings it back
		} else {
			b.recordEnded(&Window{Request: r}, "cancelled")
		}
		return nil
	}
	if slices.ContainsFunc(b.Ended, func(e FinishedRequest) bool { return e.Request.ID == o.ID }) {
		return nil
	}
	return ErrUnknownMachine
}

// recordEnded adds a finished request to the history.
func (b *State) recordEnded(w *Window, outcome string) {
	if b.Ended = append(b.Ended, FinishedRequest{Request: w.Request, Outcome: outcome, At: b.Now}); len(b.Ended) > maxEnded {
		b.Ended = slices.Clone(b.Ended[1:])
	}
}

// applyToMachine applies a command that concerns one machine with an open request.
func (b *State) applyToMachine(kind string, o CommandData, w *Window) error {
	m := b.Machine(o.Machine)
	switch kind {
	case Drain, Ack, Leave, Return, ReportWarm:
		if o.Token == 0 || o.Token != w.Token {
			return ErrStaleGrant // the grant was withdrawn, or belongs to an earlier window: it is no longer valid
		}
	}
	if kind == Grant || kind == FinishWarming {
		if o.OwnerToken < b.OwnerToken {
			return ErrStaleGrant // from a replaced owner of the schedule
		}
		b.OwnerToken = o.OwnerToken
	}
	ok := false
	switch kind {
	case Grant:
		if w.Stage != Queued || b.Now < w.Request.NotBefore {
			return ErrWrongStage
		}
		if b.isDegraded(m) {
			return Refused{"something on it is lost or drained"}
		}
		counts := b.countOutages()
		if reason := cmp.Or(counts.exceeded(), counts.blockedBy(m, b.Now, b.Now+w.Request.Duration+b.Inventory.Limits.WarmTimeout)); reason != "" {
			return Refused{reason} // also for any machine while a loss exceeds a limit
		}
		if ok = b.transition(o.Machine, w, Granted, Scheduler, Grant, "its turn"); ok {
			b.LastToken++
			w.Token = b.LastToken
		}
	case Drain:
		ok = b.transition(o.Machine, w, Draining, Agent, Drain, "it began")
	case Ack:
		if w.Stage == Draining && o.Gateway != "" && len(w.Acks) < maxNames {
			w.Acks[o.Gateway], ok = true, true
		}
	case Leave:
		if w.Stage != Draining {
			return ErrWrongStage
		}
		if reason := b.majorityAtRisk(m); reason != "" {
			return Refused{reason}
		}
		pending := b.PendingAcks(w, m)
		if len(pending) > 0 && !(b.Inventory.Limits.MissingAck == ProceedWithoutAck && b.Now >= w.Since+b.Inventory.Limits.DrainTimeout) {
			return ErrPendingAcks
		}
		w.MissingAcks = pending
		ok = b.transition(o.Machine, w, OutOfService, Agent, Leave, "all are done with it")
		if len(pending) > 0 {
			w.Reason = fmt.Sprintf("out without word from %v", pending)
		}
	case Return:
		ok = b.transition(o.Machine, w, Warming, Agent, Return, "it is back")
	case ReportWarm:
		if w.Stage == Warming && o.Gateway != "" && len(w.Warm) < maxNames {
			w.Warm[o.Gateway], ok = true, true
		}
	case FinishWarming:
		if w.Stage == Warming && !b.WarmByMajority(m, w) {
			return ErrNotWarm
		}
		if r := w.Request; b.transition(o.Machine, w, InService, Scheduler, FinishWarming, "warm") {
			b.recordEnded(&Window{Request: r}, "done")
			return nil
		}
	case Withdraw:
		ok = b.transition(o.Machine, w, Queued, Operator, Withdraw, "withdrawn")
	default:
		return ErrMalformed
	}
	if !ok {
		return ErrWrongStage
	}
	return nil
}

// PendingAcks returns the gateways that may still use a draining machine: live ones that have not acknowledged the drain, and ones lost
// so recently that their requests may still be in flight.
func (b *State) PendingAcks(w *Window, m *Machine) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Gateways)) {
		g := b.Gateways[name]
		if w.Acks[name] || slices.Contains(m.Gateways, name) || !g.Live && b.Now >= g.Since+b.Inventory.Limits.Grace {
			continue
		}
		names = append(names, name)
	}
	return names
}

// applyTimeouts makes the transitions that are due at the newest time.
func (b *State) applyTimeouts() {
	l := b.Inventory.Limits
	for _, name := range slices.Sorted(maps.Keys(b.Windows)) {
		w := b.Windows[name]
		age := b.Now - w.Since
		switch {
		case w.Stage == Granted && l.BeginTimeout > 0 && age >= l.BeginTimeout:
			b.transition(name, w, Queued, Timeout, Tick, "it did not begin")
		case w.Stage == Draining && l.MissingAck == Requeue && l.DrainTimeout > 0 && age >= l.DrainTimeout:
			reason := "it did not go"
			if pending := b.PendingAcks(w, b.Machine(name)); len(pending) > 0 {
				reason = fmt.Sprintf("no word from %v", pending)
			}
			b.transition(name, w, Queued, Timeout, Tick, reason)
		case w.Stage == OutOfService && l.Overdue > 0 && age >= l.Overdue*w.Request.Duration:
			b.transition(name, w, Overdue, Timeout, Tick, "not back in time")
		case w.Stage == Warming && age >= l.WarmTimeout && !b.isDegraded(b.Machine(name)):
			if r := w.Request; b.transition(name, w, InService, Timeout, Tick, "back for long enough") {
				b.recordEnded(&Window{Request: r}, "done")
			}
		}
	}
}

// Save encodes the state deterministically: equal states have equal bytes.
func (b *State) Save() []byte { return codec.Encode(b) }

// Load replaces the state by a saved one; nil data empties it.
func (b *State) Load(data []byte) error {
	loaded := New()
	if data != nil {
		if err := codec.Decode(data, loaded); err != nil {
			return fmt.Errorf("machines: %w", err)
		}
		if loaded.Windows == nil || loaded.Gateways == nil || loaded.Lost == nil || loaded.Peaks == nil {
			return fmt.Errorf("machines: %w", ErrMalformed)
		}
		for _, w := range loaded.Windows { // saved by an older version, which did not have these maps
			switch {
			case w.Stage == Draining && w.Acks == nil:
				w.Acks = map[string]bool{}
			case w.Stage == Warming && w.Warm == nil:
				w.Warm = map[string]bool{}
			}
		}
	}
	*b = *loaded
	return nil
}
