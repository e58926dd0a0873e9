package owner

import (
	"maps"
	"math"
	"slices"
)

// Work is one member's part: it carries out the steps of the jobs that the log, as far as this member has followed it, grants to
// this very process. It may lag: what it sends carries the token under which it believes to own, and places refuse an old one.
type Work struct {
	Name        string
	Incarnation uint64
	Rest        float64 // ms for which a job rests after a step that did not run; twice as long with each one more
	LongestRest float64
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
	lost  bool         // a place has refused its token: it sends nothing more under it
	fails int          // steps that did not run, since one did
	until float64      // when it has rested
}

// Actions of Work, in the order in which they are to be carried out.
type (
	// Do sends a step's effect to its place, with job, token and step.
	Do struct {
		Job   Job
		Token uint64
		Step  int
		By    float64 // when it is taken for lost
	}
	// Ask has a command agreed. It may be lost: Again asks for it anew.
	Ask struct {
		Kind  string
		Claim Claim
		Job   *Job // of a Start, in place of a claim
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
func (w *Work) See(now float64, b *Book) (do []any) {
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
		do = append(do, w.carryOn(now, j, u)...)
	}
	return do
}

// carryOn sends what has room in the job's window.
func (w *Work) carryOn(now float64, j *Job, u *under) (do []any) {
	for step := range u.told {
		// An unsafe one that is no longer meant by this grant was settled, by a word of this member's or by an operator's.
		if !j.open(step) || j.Type == Unsafe && j.Meant[step] != u.token {
			delete(u.told, step)
			delete(u.out, step)
		}
	}
	if w.leaving || u.lost {
		if len(u.out) == 0 && !u.over {
			u.over = true
			do = append(do, Ask{Kind: Release, Claim: Claim{Job: j.Name, Token: u.token, Leaving: w.leaving}})
		}
		return do
	}
	if now < u.until {
		return do
	}
	u.until = 0
	room := j.Window
	for step := j.Next; step < min(j.Steps, j.Next+mostSpan) && room > 0; step++ {
		if _, doubt := j.Doubt[step]; doubt || !j.open(step) {
			continue
		}
		if room--; u.out[step] {
			continue
		}
		if j.Type == Unsafe && j.Meant[step] != u.token {
			if !u.asked[step] {
				u.asked[step] = true
				do = append(do, Ask{Kind: Mean, Claim: Claim{Job: j.Name, Token: u.token, Step: step}})
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
func (w *Work) Ended(now float64, job string, token uint64, step int, t Type, e End) (do []any) {
	u := w.jobs[job]
	mine := u != nil && u.token == token
	switch {
	case e == Ran:
		// Told even where this member owns no more: the log settles a doubt by it.
		ask := Ask{Kind: Did, Claim: Claim{Job: job, Token: token, Step: step}}
		if mine {
			u.told[step], u.fails, u.until = ask, 0, 0
		}
		do = append(do, ask)
	case !mine:
	case e == Refused:
		// It owns no more, or its place has forgotten so much that only a newer token passes there: it gives the job back, for
		// whoever is granted it next.
		u.lost = true
		delete(u.out, step)
	case t == Unsafe && e == Perhaps:
		u.told[step] = Ask{Kind: Unsure, Claim: Claim{Job: job, Token: token, Step: step}}
		do = append(do, u.told[step])
	default:
		delete(u.out, step) // it goes out again
		u.until = now + min(w.LongestRest, w.Rest*float64(uint64(1)<<min(u.fails, 20)))
		u.fails++
	}
	return do
}

// Next is when a job that rests goes on.
func (w *Work) Next() float64 {
	next := math.Inf(1)
	for _, u := range w.jobs {
		if u.until > 0 {
			next = min(next, u.until)
		}
	}
	return next
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
			do = append(do, Ask{Kind: Mean, Claim: Claim{Job: name, Token: u.token, Step: step}})
		}
		u.over = false
	}
	return do
}

// Leave has this member send nothing new, and give its jobs back once what it sent has ended.
func (w *Work) Leave() { w.leaving = true }
