package owner

import (
	"fmt"
	"maps"
	"slices"

	"poppymill/internal/canon"
)

// Book is the state of all jobs that the log's commands bring about.
type Book struct {
	Most    int               `cbor:"-"`          // jobs remembered
	Last    uint64            `cbor:"1,keyasint"` // the last token given out; it only rises
	Jobs    map[string]*Job   `cbor:"2,keyasint"`
	Workers map[string]Worker `cbor:"3,keyasint"`
}

// Worker is a member as the log tells of it.
type Worker struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	There       bool   `cbor:"2,keyasint"`
	Losses      uint64 `cbor:"3,keyasint"` // how often it went without a goodbye
	Zone        string `cbor:"5,keyasint"`
	Idle        bool   `cbor:"4,keyasint"` // it owns nothing: it does not take part in work, or is about to leave
}

// Bounds of a job.
const (
	mostSteps  = 1 << 20
	mostWindow = 256
	// mostSpan bounds how far work goes on beyond a step that is not done, as one that may have run and of which nobody has said
	// whether it did. Places remember as many steps of a job.
	mostSpan   = 4 * mostWindow
	mostData   = 64 << 10
	mostPlaces = 1024
	// mostHistory bounds the changes of a job that are remembered.
	mostHistory = 48
)

// New makes an empty book.
func New(most int) *Book {
	return &Book{Most: most, Jobs: map[string]*Job{}, Workers: map[string]Worker{}}
}

// Member is word of a member in its place in the log. An owner that has gone owns nothing from that place on, whatever it
// believes itself.
func (b *Book) Member(index uint64, name string, w Worker) {
	if old := b.Workers[name]; old.Incarnation == w.Incarnation {
		w.Idle = w.Idle || old.Idle // what was said of its leaving holds for as long as this process does
	}
	if b.Workers[name] = w; !w.There && w.Incarnation == 0 {
		delete(b.Workers, name)
	}
	for _, j := range b.All() {
		if j.Owner == name && (!w.There || j.Incarnation != w.Incarnation) {
			j.part(index, "owner lost")
		}
	}
}

// note remembers a change.
func (j *Job) note(index uint64, what string) {
	if len(j.History) >= mostHistory {
		j.History = append([]Change(nil), j.History[1:]...) // copies of the job that were handed out keep theirs
	}
	j.History = append(j.History, Change{Index: index, What: what, Owner: j.Owner, Incarnation: j.Incarnation, Token: j.Token})
}

// part ends a grant. What was meant under it and not done may have run: nobody runs it again but by an operator's word.
func (j *Job) part(index uint64, why string) {
	j.note(index, why)
	j.Owner, j.Incarnation, j.Since = "", 0, index
	for step := range j.Meant {
		j.question(step)
	}
}

// question has a step that was meant put before an operator.
func (j *Job) question(step int) {
	if j.Doubt == nil {
		j.Doubt = map[int]uint64{}
	}
	j.Doubt[step] = j.Meant[step]
	delete(j.Meant, step)
}

// All lists the jobs by name.
func (b *Book) All() []*Job {
	var all []*Job
	for _, name := range slices.Sorted(maps.Keys(b.Jobs)) {
		all = append(all, b.Jobs[name])
	}
	return all
}

// Apply takes a command in its place in the log. Its result is a copy of the job as it is then, or an error.
func (b *Book) Apply(index uint64, kind string, data []byte) any {
	if kind == Start {
		var j Job
		if canon.Decode(data, &j) != nil || j.Name == "" || j.Steps < 1 || j.Steps > mostSteps || j.Window < 1 || j.Window > mostWindow ||
			len(j.Data) > mostData || len(j.Places) > mostPlaces || j.Type < Safe || j.Type > Unsafe {
			return ErrBad
		}
		return b.start(index, j)
	}
	var c Claim
	if canon.Decode(data, &c) != nil {
		return ErrBad
	}
	j := b.Jobs[c.Job]
	if j == nil {
		return ErrUnknown
	}
	var err error
	switch kind {
	case Stop:
		err = b.stop(index, j)
	case Grant:
		err = b.grant(index, j, c)
	case Release:
		err = b.release(index, j, c)
	case Mean:
		err = j.mean(c)
	case Did:
		err = j.did(index, c)
	case Unsure:
		err = j.unsure(c)
	case Fence:
		err = j.fence(index)
	case Verdict:
		err = j.verdict(index, c)
	default:
		err = ErrBad
	}
	if err != nil {
		return err
	}
	return j.copy()
}

// copy is a job as it is now, which later commands do not change.
func (j *Job) copy() Job {
	c := *j
	c.Done, c.Meant, c.Doubt = maps.Clone(j.Done), maps.Clone(j.Meant), maps.Clone(j.Doubt)
	return c
}

func (b *Book) start(index uint64, j Job) any {
	fresh := Job{Name: j.Name, Kind: j.Kind, Data: j.Data, Steps: j.Steps, Type: j.Type, Window: j.Window, Places: j.Places, Zone: j.Zone, Since: index}
	fresh.note(index, "started")
	if old := b.Jobs[j.Name]; old != nil {
		// The same again does nothing; another under the same name would have steps counted as done that never ran.
		if old.Kind == j.Kind && string(old.Data) == string(j.Data) && old.Steps == j.Steps && old.Type == j.Type && old.Window == j.Window && old.Zone == j.Zone &&
			slices.Equal(old.Places, j.Places) {
			return old.copy()
		}
		return ErrOther
	}
	if len(b.Jobs) >= b.Most {
		var over *Job
		for _, x := range b.All() {
			if x.State != Running && len(x.Doubt) == 0 && (over == nil || x.Since < over.Since) {
				over = x
			}
		}
		if over == nil {
			return ErrFull
		}
		delete(b.Jobs, over.Name)
	}
	b.Jobs[j.Name] = &fresh
	return fresh
}

func (b *Book) stop(index uint64, j *Job) error {
	if j.State != Running {
		return ErrOver
	}
	j.State = Stopped
	j.part(index, "stopped")
	return nil
}

// grant gives a job to a member that is there, where its owner is not. Who asks for it does not matter: of two grants that were
// asked for at once the first in the log holds.
func (b *Book) grant(index uint64, j *Job, c Claim) error {
	w := b.Workers[c.Name]
	switch {
	case j.State != Running:
		return ErrOver
	case j.Owner != "":
		return ErrOwned
	case !w.There || w.Idle || w.Incarnation != c.Incarnation:
		return ErrAbsent
	}
	b.Last++
	j.Owner, j.Incarnation, j.Token, j.Since = c.Name, c.Incarnation, b.Last, index
	j.Grants++
	j.note(index, "granted")
	return nil
}

func (b *Book) release(index uint64, j *Job, c Claim) error {
	if j.Owner == "" || c.Token != j.Token {
		return ErrOld
	}
	if w := b.Workers[j.Owner]; c.Leaving && w.Incarnation == j.Incarnation {
		w.Idle = true
		b.Workers[j.Owner] = w
	}
	j.part(index, "given back")
	return nil
}

// open tells whether a step is still to be done.
func (j *Job) open(step int) bool {
	return step >= j.Next && step < j.Steps && !j.Done[step]
}

func (j *Job) mean(c Claim) error {
	_, meant := j.Meant[c.Step]
	_, doubt := j.Doubt[c.Step]
	switch {
	case j.Owner == "" || c.Token != j.Token:
		return ErrOld
	case !j.open(c.Step) || meant || doubt:
		return ErrSent
	case j.Type != Unsafe:
		return ErrBad
	}
	if j.Meant == nil {
		j.Meant = map[int]uint64{}
	}
	j.Meant[c.Step] = c.Token
	return nil
}

func (j *Job) did(index uint64, c Claim) error {
	if !j.open(c.Step) {
		return nil // it comes again
	}
	if token, doubt := j.Doubt[c.Step]; doubt && token == c.Token {
		// The late word of the one that sent it: it did run.
		delete(j.Doubt, c.Step)
	} else if c.Token != j.Token || j.Owner == "" {
		return ErrOld
	} else if j.Type == Unsafe {
		if j.Meant[c.Step] != c.Token {
			return ErrBad
		}
		delete(j.Meant, c.Step)
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
		j.part(index, "finished")
	}
}

// unsure is the owner's own word that it can't know whether a step ran.
func (j *Job) unsure(c Claim) error {
	if token, meant := j.Meant[c.Step]; !meant || token != c.Token {
		return ErrOld
	}
	j.question(c.Step)
	return nil
}

// fence ends the present grant. Once a place has word of the next one, what it has not on record did not run and never will.
func (j *Job) fence(index uint64) error {
	if j.State != Running {
		return ErrOver
	}
	if j.Owner != "" {
		j.part(index, "fenced")
	}
	return nil
}

func (j *Job) verdict(index uint64, c Claim) error {
	if _, doubt := j.Doubt[c.Step]; !doubt {
		if c.Ran && !j.open(c.Step) {
			return nil // whoever sent it said so meanwhile
		}
		return ErrSent
	}
	if delete(j.Doubt, c.Step); c.Ran {
		j.finish(index, c.Step)
	}
	return nil
}

// Save writes the state down, alike to the byte for alike states.
func (b *Book) Save() []byte { return canon.Encode(b) }

// Load takes the place of all that was there.
func (b *Book) Load(text []byte) error {
	n := New(b.Most)
	if text == nil {
		*b = *n
		return nil
	}
	if err := canon.Decode(text, n); err != nil {
		return fmt.Errorf("jobs: %w", err)
	}
	if n.Jobs == nil || n.Workers == nil {
		return fmt.Errorf("jobs: %w", ErrBad)
	}
	*b = *n
	return nil
}
