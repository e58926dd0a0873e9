package owner

import (
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/codec"
)

// StateMachine is the replicated state machine of all jobs: its state follows from the commands of the log alone.
type StateMachine struct {
	MaxJobs   int               `cbor:"-"`          // jobs remembered
	LastToken uint64            `cbor:"1,keyasint"` // the last token issued; it only increases
	Jobs      map[string]*Job   `cbor:"2,keyasint"`
	Workers   map[string]Member `cbor:"3,keyasint"`
}

// Member is a member as the log describes it.
type Member struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Present     bool   `cbor:"2,keyasint"`
	Losses      uint64 `cbor:"3,keyasint"` // how often it went away without leaving properly
	Zone        string `cbor:"5,keyasint"`
	Idle        bool   `cbor:"4,keyasint"` // must be granted nothing: it does not take part in jobs, or is about to leave
}

// Bounds of a job.
const (
	maxSteps  = 1 << 20
	maxWindow = 256
	// maxLookahead bounds how far execution continues past the first step that is not done, such as one that may
	// have run and is not resolved yet. Executing gateways remember that many steps of a job (maxRecordedSteps).
	maxLookahead = 4 * maxWindow
	maxDataSize  = 64 << 10
	maxPlaces    = 1024
	// maxHistory bounds the changes that are remembered per job.
	maxHistory = 48
)

// New returns an empty state machine.
func New(maxJobs int) *StateMachine {
	return &StateMachine{MaxJobs: maxJobs, Jobs: map[string]*Job{}, Workers: map[string]Member{}}
}

// ApplyMember applies a membership change at its index in the log. A member that is gone owns nothing from that index
// on, whatever it believes itself.
func (b *StateMachine) ApplyMember(index uint64, name string, w Member) {
	if old := b.Workers[name]; old.Incarnation == w.Incarnation {
		w.Idle = w.Idle || old.Idle // once leaving, a process stays idle until its end
	}
	if b.Workers[name] = w; !w.Present && w.Incarnation == 0 {
		delete(b.Workers, name)
	}
	for _, j := range b.All() {
		if j.Owner == name && (!w.Present || j.Incarnation != w.Incarnation) {
			j.endGrant(index, "owner lost")
		}
	}
}

// record appends a change to the history.
func (j *Job) record(index uint64, event string) {
	if len(j.History) >= maxHistory {
		j.History = append([]Change(nil), j.History[1:]...) // keeps the history of copies that were handed out
	}
	j.History = append(j.History, Change{Index: index, Event: event, Owner: j.Owner, Incarnation: j.Incarnation, Token: j.Token})
}

// endGrant ends a grant. Steps that were intended under it and are not done may have run: they run again only if
// an operator decides so.
func (j *Job) endGrant(index uint64, reason string) {
	j.record(index, reason)
	j.Owner, j.Incarnation, j.Since = "", 0, index
	for step := range j.Intended {
		j.markUncertain(step)
	}
}

// markUncertain turns an intended step into one that an operator has to resolve.
func (j *Job) markUncertain(step int) {
	if j.Uncertain == nil {
		j.Uncertain = map[int]uint64{}
	}
	j.Uncertain[step] = j.Intended[step]
	delete(j.Intended, step)
}

// All returns the jobs, sorted by name.
func (b *StateMachine) All() []*Job {
	var all []*Job
	for _, name := range slices.Sorted(maps.Keys(b.Jobs)) {
		all = append(all, b.Jobs[name])
	}
	return all
}

// Apply applies the command at an index of the log. It returns a copy of the job after the command, or an error.
func (b *StateMachine) Apply(index uint64, kind string, data []byte) any {
	if kind == Start {
		var j Job
		if codec.Decode(data, &j) != nil || j.Name == "" || j.Steps < 1 || j.Steps > maxSteps || j.Window < 1 || j.Window > maxWindow ||
			len(j.Data) > maxDataSize || len(j.Gateways) > maxPlaces || j.Type < Safe || j.Type > Unsafe {
			return ErrMalformed
		}
		return b.start(index, j)
	}
	var c Claim
	if codec.Decode(data, &c) != nil {
		return ErrMalformed
	}
	j := b.Jobs[c.Job]
	if j == nil {
		return ErrUnknownJob
	}
	var err error
	switch kind {
	case Stop:
		err = b.stop(index, j)
	case Grant:
		err = b.grant(index, j, c)
	case Release:
		err = b.release(index, j, c)
	case Intend:
		err = j.intend(c)
	case Complete:
		err = j.complete(index, c)
	case MarkUncertain:
		err = j.reportUncertain(c)
	case Fence:
		err = j.fence(index)
	case Resolve:
		err = j.resolve(index, c)
	default:
		err = ErrMalformed
	}
	if err != nil {
		return err
	}
	return j.clone()
}

// clone returns a copy of the job that later commands do not change.
func (j *Job) clone() Job {
	c := *j
	c.Done, c.Intended, c.Uncertain = maps.Clone(j.Done), maps.Clone(j.Intended), maps.Clone(j.Uncertain)
	return c
}

func (b *StateMachine) start(index uint64, j Job) any {
	created := Job{Name: j.Name, Kind: j.Kind, Data: j.Data, Steps: j.Steps, Type: j.Type, Window: j.Window, Gateways: j.Gateways, Zone: j.Zone, Since: index}
	created.record(index, "started")
	if old := b.Jobs[j.Name]; old != nil {
		// Repeating a start is harmless. A different job under the same name would have steps counted as done that
		// never ran.
		if old.Kind == j.Kind && string(old.Data) == string(j.Data) && old.Steps == j.Steps && old.Type == j.Type && old.Window == j.Window && old.Zone == j.Zone &&
			slices.Equal(old.Gateways, j.Gateways) {
			return old.clone()
		}
		return ErrConflict
	}
	if len(b.Jobs) >= b.MaxJobs {
		var oldest *Job
		for _, x := range b.All() {
			if x.State != Running && len(x.Uncertain) == 0 && (oldest == nil || x.Since < oldest.Since) {
				oldest = x
			}
		}
		if oldest == nil {
			return ErrFull
		}
		delete(b.Jobs, oldest.Name)
	}
	b.Jobs[j.Name] = &created
	return created
}

func (b *StateMachine) stop(index uint64, j *Job) error {
	if j.State != Running {
		return ErrNotRunning
	}
	j.State = Stopped
	j.endGrant(index, "stopped")
	return nil
}

// grant gives a job without an owner to a member that is present. It does not matter who proposed it: of two
// concurrent grants the first in the log wins.
func (b *StateMachine) grant(index uint64, j *Job, c Claim) error {
	w := b.Workers[c.Name]
	switch {
	case j.State != Running:
		return ErrNotRunning
	case j.Owner != "":
		return ErrHasOwner
	case !w.Present || w.Idle || w.Incarnation != c.Incarnation:
		return ErrMemberAbsent
	}
	b.LastToken++
	j.Owner, j.Incarnation, j.Token, j.Since = c.Name, c.Incarnation, b.LastToken, index
	j.Grants++
	j.record(index, "granted")
	return nil
}

func (b *StateMachine) release(index uint64, j *Job, c Claim) error {
	if j.Owner == "" || c.Token != j.Token {
		return ErrStaleToken
	}
	if w := b.Workers[j.Owner]; c.Leaving && w.Incarnation == j.Incarnation {
		w.Idle = true
		b.Workers[j.Owner] = w
	}
	j.endGrant(index, "given back")
	return nil
}

// pending reports whether a step is still to be done.
func (j *Job) pending(step int) bool {
	return step >= j.Next && step < j.Steps && !j.Done[step]
}

func (j *Job) intend(c Claim) error {
	_, intended := j.Intended[c.Step]
	_, uncertain := j.Uncertain[c.Step]
	switch {
	case j.Owner == "" || c.Token != j.Token:
		return ErrStaleToken
	case !j.pending(c.Step) || intended || uncertain:
		return ErrAlreadySent
	case j.Type != Unsafe:
		return ErrMalformed
	}
	if j.Intended == nil {
		j.Intended = map[int]uint64{}
	}
	j.Intended[c.Step] = c.Token
	return nil
}

func (j *Job) complete(index uint64, c Claim) error {
	if !j.pending(c.Step) {
		return nil // a duplicate report
	}
	if token, uncertain := j.Uncertain[c.Step]; uncertain && token == c.Token {
		// A late report by the owner that sent it: the step did run.
		delete(j.Uncertain, c.Step)
	} else if c.Token != j.Token || j.Owner == "" {
		return ErrStaleToken
	} else if j.Type == Unsafe {
		if j.Intended[c.Step] != c.Token {
			return ErrMalformed
		}
		delete(j.Intended, c.Step)
	}
	j.finish(index, c.Step)
	return nil
}

func (j *Job) finish(index uint64, step int) {
	if j.Done == nil {
		j.Done = map[int]bool{}
	}
	for j.Done[step] = true; j.Done[j.Next]; j.Next++ {
		delete(j.Done, j.Next)
	}
	if j.Next == j.Steps && j.State == Running {
		j.State = Finished
		j.endGrant(index, "finished")
	}
}

// reportUncertain records the owner's statement that it can't know whether a step ran.
func (j *Job) reportUncertain(c Claim) error {
	if token, intended := j.Intended[c.Step]; !intended || token != c.Token {
		return ErrStaleToken
	}
	j.markUncertain(c.Step)
	return nil
}

// fence ends the current grant. Once an executing gateway knows the token of the next grant, a step that is not in
// its record did not run there and never will.
func (j *Job) fence(index uint64) error {
	if j.State != Running {
		return ErrNotRunning
	}
	if j.Owner != "" {
		j.endGrant(index, "fenced")
	}
	return nil
}

func (j *Job) resolve(index uint64, c Claim) error {
	if _, uncertain := j.Uncertain[c.Step]; !uncertain {
		if c.Ran && !j.pending(c.Step) {
			return nil // its sender reported it in the meantime
		}
		return ErrAlreadySent
	}
	if delete(j.Uncertain, c.Step); c.Ran {
		j.finish(index, c.Step)
	}
	return nil
}

// Save encodes the state; equal states have equal encodings, byte for byte.
func (b *StateMachine) Save() []byte { return codec.Encode(b) }

// Load replaces the whole state by an encoded one; nil stands for the empty state.
func (b *StateMachine) Load(data []byte) error {
	loaded := New(b.MaxJobs)
	if data == nil {
		*b = *loaded
		return nil
	}
	if err := codec.Decode(data, loaded); err != nil {
		return fmt.Errorf("jobs: %w", err)
	}
	if loaded.Jobs == nil || loaded.Workers == nil {
		return fmt.Errorf("jobs: %w", ErrMalformed)
	}
	*b = *loaded
	return nil
}
