package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
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
}

// Bounds of a job.
const (
	mostSteps  = 1 << 20
	mostWindow = 256
	mostData   = 64 << 10
)

// New makes an empty book.
func New(most int) *Book {
	return &Book{Most: most, Jobs: map[string]*Job{}, Workers: map[string]Worker{}}
}

var encoding, _ = cbor.CoreDetEncOptions().EncMode()

// Encode words a command's content.
func Encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // our own types
	}
	return b
}

// Member is word of a member in its place in the log. An owner that has gone owns nothing from that place on, whatever it
// believes itself.
func (b *Book) Member(index uint64, name string, w Worker) {
	if b.Workers[name] = w; !w.There && w.Incarnation == 0 {
		delete(b.Workers, name)
	}
	for _, j := range b.All() {
		if j.Owner == name && (!w.There || j.Incarnation != w.Incarnation) {
			j.part(index)
		}
	}
}

// part ends a grant. What was meant under it and not done may have run: nobody runs it again but by an operator's word.
func (j *Job) part(index uint64) {
	j.Owner, j.Incarnation, j.Since = "", 0, index
	for step, token := range j.Meant {
		if j.Doubt == nil {
			j.Doubt = map[int]uint64{}
		}
		j.Doubt[step] = token
	}
	clear(j.Meant)
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
		if cbor.Unmarshal(data, &j) != nil || j.Name == "" || j.Steps < 1 || j.Steps > mostSteps || j.Window < 1 || j.Window > mostWindow ||
			len(j.Data) > mostData || j.Type < Safe || j.Type > Unsafe {
			return ErrBad
		}
		return b.start(index, j)
	}
	var c Claim
	if cbor.Unmarshal(data, &c) != nil {
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
		err = j.release(index, c)
	case Mean:
		err = j.mean(c)
	case Did:
		err = j.did(index, c)
	case Unsure:
		err = j.unsure(c)
	case Verdict:
		err = j.verdict(index, c)
	default:
		err = ErrBad
	}
	if err != nil {
		return err
	}
	return *j
}

func (b *Book) start(index uint64, j Job) any {
	fresh := Job{Name: j.Name, Kind: j.Kind, Data: j.Data, Steps: j.Steps, Type: j.Type, Window: j.Window, Since: index}
	if old := b.Jobs[j.Name]; old != nil {
		// The same again does nothing; another under the same name would have steps counted as done that never ran.
		if old.Kind == j.Kind && string(old.Data) == string(j.Data) && old.Steps == j.Steps && old.Type == j.Type && old.Window == j.Window {
			return *old
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
	j.part(index)
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
	case !w.There || w.Incarnation != c.Incarnation:
		return ErrAbsent
	}
	b.Last++
	j.Owner, j.Incarnation, j.Token, j.Since = c.Name, c.Incarnation, b.Last, index
	j.Grants++
	return nil
}

func (j *Job) release(index uint64, c Claim) error {
	if j.Owner == "" || c.Token != j.Token {
		return ErrOld
	}
	j.part(index)
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
		j.part(index)
	}
}

// unsure is the owner's own word that it can't know whether a step ran.
func (j *Job) unsure(c Claim) error {
	if token, meant := j.Meant[c.Step]; !meant || token != c.Token {
		return ErrOld
	}
	delete(j.Meant, c.Step)
	if j.Doubt == nil {
		j.Doubt = map[int]uint64{}
	}
	j.Doubt[c.Step] = c.Token
	return nil
}

func (j *Job) verdict(index uint64, c Claim) error {
	if _, doubt := j.Doubt[c.Step]; !doubt {
		return ErrSent
	}
	if delete(j.Doubt, c.Step); c.Ran {
		j.finish(index, c.Step)
	}
	return nil
}

// Save writes the state down, alike to the byte for alike states.
func (b *Book) Save() []byte { return Encode(b) }

// Load takes the place of all that was there.
func (b *Book) Load(text []byte) error {
	n := New(b.Most)
	if err := cbor.Unmarshal(text, n); err != nil {
		return fmt.Errorf("jobs: %w", err)
	}
	if n.Jobs == nil || n.Workers == nil {
		return fmt.Errorf("jobs: %w", ErrBad)
	}
	*b = *n
	return nil
}

// Planner works out at the leader who should own what has no owner. It may differ from another's: the log decides.
type Planner struct {
	Hold    float64 // ms for which one that was lost once is given nothing after its return; twice as long with each loss
	Longest float64
	back    map[string]returned
}

type returned struct {
	incarnation, losses uint64
	there               bool
	at                  float64
}

// Plan names grants to be asked for: the member with the least work that is not held off, by name where these are several.
func (p *Planner) Plan(now float64, b *Book) (all []Claim) {
	if p.back == nil {
		p.back = map[string]returned{}
	}
	load := map[string]int{}
	var able []string
	for _, name := range slices.Sorted(maps.Keys(b.Workers)) {
		w, r := b.Workers[name], p.back[name]
		if r.losses != w.Losses || r.there != w.There || r.incarnation != w.Incarnation {
			if r = (returned{incarnation: w.Incarnation, losses: w.Losses, there: w.There, at: now}); !w.There {
				r.at = 0
			}
			p.back[name] = r
		}
		hold := 0.0
		if w.Losses > 0 {
			hold = min(p.Longest, p.Hold*float64(uint64(1)<<min(w.Losses-1, 20)))
		}
		if w.There && now >= r.at+hold {
			able = append(able, name)
		}
	}
	maps.DeleteFunc(p.back, func(name string, _ returned) bool { _, ok := b.Workers[name]; return !ok })
	for _, j := range b.All() {
		if j.Owner != "" {
			load[j.Owner]++
		}
	}
	for _, j := range b.All() {
		if j.Owner != "" || j.State != Running || len(able) == 0 {
			continue
		}
		to := slices.MinFunc(able, func(x, y string) int { return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(x, y)) })
		load[to]++
		all = append(all, Claim{Job: j.Name, Name: to, Incarnation: b.Workers[to].Incarnation})
	}
	return all
}
