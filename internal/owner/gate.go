package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Gate stands at a place where effects happen, and keeps the highest token of each job that it has seen. The check and the
// effect must be one act there: nothing may come between them. What Pass raised must be on the disk before the effect, where
// the place survives a restart.
type Gate struct {
	most  int
	seen  map[string]mark
	order []string // by when a job was first seen
	floor uint64   // the highest token of what was forgotten: no older one passes for any job
}

type mark struct {
	token uint64
	keys  map[int]bool // steps of a keyed or unsafe job that have run here
	sorts []int        // the same in their order, so that the oldest go first
}

// mostKeys bounds the steps of one job that a place remembers: none comes from further back than a span and what was under way.
const mostKeys = mostSpan + mostWindow

// NewGate makes a gate that remembers so many jobs.
func NewGate(most int) *Gate { return &Gate{most: most, seen: map[string]mark{}} }

// Late is a refusal: an effect under a token that is older than one seen here.
type Late struct {
	Job          string
	Token, Newer uint64
	Step         int
}

func (l Late) Error() string {
	return fmt.Sprintf("job %s, step %d: token %d is old, %d was seen", l.Job, l.Step, l.Token, l.Newer)
}

// Pass lets an effect happen, or refuses it by name. Raised tells that what Kept gives has changed; again, that a step whose type
// must not run twice here has run here before and is answered as done.
func (g *Gate) Pass(job string, token uint64, step int, t Type) (raised, again bool, err error) {
	if newer := g.Highest(job); token < newer {
		return false, false, Late{Job: job, Token: token, Newer: newer, Step: step}
	}
	raised = g.raise(job, token)
	m := g.seen[job]
	if t == Safe || m.keys[step] {
		return raised, m.keys[step], nil
	}
	g.ran(job, step)
	return raised, false, nil
}

// ran remembers that a step ran here.
func (g *Gate) ran(job string, step int) {
	m := g.seen[job]
	if m.keys == nil {
		m.keys = map[int]bool{}
	}
	m.keys[step] = true
	i, _ := slices.BinarySearch(m.sorts, step)
	m.sorts = slices.Insert(m.sorts, i, step)
	if len(m.sorts) > mostKeys {
		delete(m.keys, m.sorts[0])
		m.sorts = m.sorts[1:]
	}
	g.seen[job] = m
}

// Raise is word of a newer token that came without an effect. It tells whether what Kept gives has changed.
func (g *Gate) Raise(job string, token uint64) bool {
	return token > g.Highest(job) && g.raise(job, token)
}

// Ran puts back that a step ran here, after Restore.
func (g *Gate) Ran(job string, step int) {
	if _, known := g.seen[job]; known && !g.seen[job].keys[step] {
		g.ran(job, step)
	}
}

// raise notes a token. A job too many costs the one that was seen first: tokens rise over all jobs, so one floor covers what is
// forgotten, and refuses too much rather than too little.
func (g *Gate) raise(job string, token uint64) bool {
	m, known := g.seen[job]
	if known && token <= m.token {
		return false
	}
	if !known {
		g.order = append(g.order, job)
	}
	m.token = token
	g.seen[job] = m
	if len(g.order) > g.most {
		old := g.order[0]
		g.order = g.order[1:]
		g.floor = max(g.floor, g.seen[old].token)
		delete(g.seen, old)
	}
	return true
}

// Highest is the token below which nothing passes for a job.
func (g *Gate) Highest(job string) uint64 { return max(g.seen[job].token, g.floor) }

// Kept is what must outlive a restart of the place: the floor, and the token of each job. Which steps have run is not among it: a
// place that runs keyed steps keeps that with the steps themselves (Ran).
func (g *Gate) Kept() (floor uint64, tokens map[string]uint64) {
	tokens = map[string]uint64{}
	for job, m := range g.seen {
		tokens[job] = m.token
	}
	return g.floor, tokens
}

// Restore puts back what was kept, the oldest first.
func (g *Gate) Restore(floor uint64, tokens map[string]uint64) {
	g.floor = max(g.floor, floor)
	for _, job := range slices.SortedFunc(maps.Keys(tokens), func(a, b string) int { return cmp.Compare(tokens[a], tokens[b]) }) {
		g.raise(job, tokens[job])
	}
}
