package owner

import (
	"fmt"
	"slices"
)

// Gate stands at a place where effects happen, and keeps the highest token of each job that it has seen. The check and the
// effect must be one act there: nothing may come between them. What Pass raised must be on the disk before the effect, where
// the place survives a restart.
type Gate struct {
	most  int
	seen  map[string]mark
	order []string // by when a job was first seen
	floor uint64   // of what was forgotten: no older token passes for any job
}

type mark struct {
	token uint64
	keys  map[int]bool // steps of a keyed or unsafe job that have run here
	sorts []int        // the same in their order, so that the oldest go first
}

// mostKeys bounds the steps of one job that a place remembers; they come in order, a window of them at a time.
const mostKeys = 4 * mostWindow

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

// Pass lets an effect happen, or refuses it by name. Raised tells that the token has to be kept before it does; again, that a
// step whose type must not run twice here has run here before and is answered as done.
func (g *Gate) Pass(job string, token uint64, step int, t Type) (raised, again bool, err error) {
	m, known := g.seen[job]
	if newer := max(m.token, g.floor); token < newer && (known || token <= g.floor) {
		return false, false, Late{Job: job, Token: token, Newer: newer, Step: step}
	}
	if !known {
		if len(g.order) >= g.most {
			// Tokens rise over all jobs, so what is forgotten is covered by one floor: too much is refused rather than too little.
			old := g.order[0]
			g.order = g.order[1:]
			g.floor = max(g.floor, g.seen[old].token)
			delete(g.seen, old)
			if token <= g.floor {
				return false, false, Late{Job: job, Token: token, Newer: g.floor, Step: step}
			}
		}
		g.order = append(g.order, job)
	}
	if raised = token > m.token; raised {
		m.token = token
	}
	if t != Safe {
		if again = m.keys[step]; !again {
			if m.keys == nil {
				m.keys = map[int]bool{}
			}
			m.keys[step] = true
			if i, _ := slices.BinarySearch(m.sorts, step); true {
				m.sorts = slices.Insert(m.sorts, i, step)
			}
			if len(m.sorts) > mostKeys {
				delete(m.keys, m.sorts[0])
				m.sorts = m.sorts[1:]
			}
		}
	}
	g.seen[job] = m
	return raised, again, nil
}

// Highest is the highest token seen of a job, for what has to be kept.
func (g *Gate) Highest(job string) uint64 { return max(g.seen[job].token, g.floor) }

// Restore puts back what was kept of a job before a restart.
func (g *Gate) Restore(job string, token uint64) {
	if m, known := g.seen[job]; !known || token > m.token {
		if !known {
			g.order = append(g.order, job)
		}
		m.token = token
		g.seen[job] = m
	}
}
