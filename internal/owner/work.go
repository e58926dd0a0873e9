package owner

import (
	"maps"
	"slices"
)

// Work is one member's part: it carries out the steps of the jobs that the log, as far as this member has followed it, grants to
// this very process. It may lag: what it sends carries the token under which it believes to own, and places refuse an old one.
type Work struct {
	Name        string
	Incarnation uint64
	jobs        map[string]*under
	leaving     bool
}

// under is a job that this member believes to own.
type under struct {
	token uint64
	out   map[int]bool // steps sent, and not known to have ended
	asked map[int]bool // steps for which a Mean is on its way
	told  map[int]bool // steps whose Did or Unsure is on its way
}

// Actions of Work, in the order in which they are to be carried out.
type (
	// Do sends a step's effect to its place, with job, token and step.
	Do struct {
		Job   Job
		Token uint64
		Step  int
	}
	// Ask has a command agreed; it may be lost, and is asked for again by Again.
	Ask struct {
		Kind  string
		Claim Claim
	}
)

// End says how a step's effect ended.
type End int

// The ends. Known not to have run is a proof, as a pull's status is: anything less is Perhaps.
const (
	Ran End = iota
	NeverRan
	Perhaps
	Refused // by its place, for an old token: this member owns no more
)

// See takes the jobs as the log has them by now, and goes on.
func (w *Work) See(b *Book) (do []any) {
	if w.jobs == nil {
		w.jobs = map[string]*under{}
	}
	for _, name := range slices.Sorted(maps.Keys(w.jobs)) {
		if j := b.Jobs[name]; j == nil || j.Owner != w.Name || j.Incarnation != w.Incarnation || j.Token != w.jobs[name].token {
			delete(w.jobs, name) // what is under way ends as it may; nothing new is sent
		}
	}
	for _, j := range b.All() {
		if j.Owner != w.Name || j.Incarnation != w.Incarnation || w.Incarnation == 0 {
			continue
		}
		u := w.jobs[j.Name]
		if u == nil {
			u = &under{token: j.Token, out: map[int]bool{}, asked: map[int]bool{}, told: map[int]bool{}}
			w.jobs[j.Name] = u
		}
		do = append(do, w.carryOn(j, u)...)
	}
	return do
}

// carryOn sends what has room in the job's window.
func (w *Work) carryOn(j *Job, u *under) (do []any) {
	for step := range u.told {
		if !j.open(step) || j.Doubt[step] != 0 {
			delete(u.told, step)
			delete(u.out, step)
		}
	}
	if w.leaving {
		if len(u.out) == 0 {
			do = append(do, Ask{Release, Claim{Job: j.Name, Token: u.token}})
		}
		return do
	}
	for step := j.Next; step < min(j.Steps, j.Next+j.Window); step++ {
		if _, doubt := j.Doubt[step]; doubt || !j.open(step) || u.out[step] || u.told[step] {
			continue
		}
		if j.Type == Unsafe && j.Meant[step] != u.token {
			if !u.asked[step] {
				u.asked[step] = true
				do = append(do, Ask{Mean, Claim{Job: j.Name, Token: u.token, Step: step}})
			}
			continue
		}
		delete(u.asked, step)
		u.out[step] = true
		do = append(do, Do{Job: *j, Token: u.token, Step: step})
	}
	return do
}

// Ended takes how a step ended that was sent under a token.
func (w *Work) Ended(job string, token uint64, step int, t Type, e End) (do []any) {
	u := w.jobs[job]
	mine := u != nil && u.token == token
	switch {
	case e == Ran:
		// Told even where this member owns no more: the log settles a doubt by it.
		if mine {
			u.told[step] = true
		}
		do = append(do, Ask{Did, Claim{Job: job, Token: token, Step: step}})
	case !mine:
	case e == Refused:
		delete(w.jobs, job)
	case t == Unsafe && e == Perhaps:
		u.told[step] = true
		do = append(do, Ask{Unsure, Claim{Job: job, Token: token, Step: step}})
	default:
		delete(u.out, step) // it goes out again
	}
	return do
}

// Again forgets what was asked for and not agreed, so that it is asked for anew.
func (w *Work) Again(job string) {
	if u := w.jobs[job]; u != nil {
		clear(u.asked)
	}
}

// Leave has this member send nothing new, and give its jobs back once what it sent has ended.
func (w *Work) Leave() { w.leaving = true }
