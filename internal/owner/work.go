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
	told  map[int]Ask  // what was asked for of steps that ended, and is not agreed as far as this member has followed
	over  bool         // its release is on its way
}

// Actions of Work, in the order in which they are to be carried out.
type (
	// Do sends a step's effect to its place, with job, token and step.
	Do struct {
		Job   Job
		Token uint64
		Step  int
	}
	// Ask has a command agreed. It may be lost: Again asks for it anew.
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
			u = &under{token: j.Token, out: map[int]bool{}, asked: map[int]bool{}, told: map[int]Ask{}}
			w.jobs[j.Name] = u
		}
		do = append(do, w.carryOn(j, u)...)
	}
	return do
}

// carryOn sends what has room in the job's window.
func (w *Work) carryOn(j *Job, u *under) (do []any) {
	for step := range u.told {
		// An unsafe one that is no longer meant by this grant was settled, by a word of this member's or by an operator's.
		if !j.open(step) || j.Type == Unsafe && j.Meant[step] != u.token {
			delete(u.told, step)
			delete(u.out, step)
		}
	}
	if w.leaving {
		if len(u.out) == 0 && !u.over {
			u.over = true
			do = append(do, Ask{Release, Claim{Job: j.Name, Token: u.token}})
		}
		return do
	}
	for step := j.Next; step < min(j.Steps, j.Next+j.Window); step++ {
		if _, doubt := j.Doubt[step]; doubt || !j.open(step) || u.out[step] {
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
		do = append(do, Do{Job: j.copy(), Token: u.token, Step: step})
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
		ask := Ask{Did, Claim{Job: job, Token: token, Step: step}}
		if mine {
			u.told[step] = ask
		}
		do = append(do, ask)
	case !mine:
	case e == Refused:
		delete(w.jobs, job)
	case t == Unsafe && e == Perhaps:
		u.told[step] = Ask{Unsure, Claim{Job: job, Token: token, Step: step}}
		do = append(do, u.told[step])
	default:
		delete(u.out, step) // it goes out again
	}
	return do
}

// Again asks anew for all that was asked for and is not agreed, as far as this member has followed: of what was agreed meanwhile
// the second copy changes nothing.
func (w *Work) Again() (do []any) {
	for _, name := range slices.Sorted(maps.Keys(w.jobs)) {
		u := w.jobs[name]
		for _, step := range slices.Sorted(maps.Keys(u.told)) {
			do = append(do, u.told[step])
		}
		for _, step := range slices.Sorted(maps.Keys(u.asked)) {
			do = append(do, Ask{Mean, Claim{Job: name, Token: u.token, Step: step}})
		}
		u.over = false
	}
	return do
}

// Leave has this member send nothing new, and give its jobs back once what it sent has ended.
func (w *Work) Leave() { w.leaving = true }
