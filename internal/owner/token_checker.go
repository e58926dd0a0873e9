package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// TokenChecker checks fencing tokens at a gateway that executes effects; it keeps the highest token seen per job.
// The check and the effect must be atomic: nothing may happen between them. If the gateway's record survives a
// restart, a token that Check raised must be on disk before the effect happens.
type TokenChecker struct {
	maxJobs int
	jobs    map[string]jobRecord
	order   []string // jobs by when they were first seen
	floor   uint64   // the highest token of all forgotten jobs: no older token is accepted for any job
}

// jobRecord is what is known of one job.
type jobRecord struct {
	token  uint64
	steps  map[int]bool // keyed or unsafe steps that ran here
	sorted []int        // the same steps in ascending order; the lowest is forgotten first
}

// maxRecordedSteps bounds the steps remembered per job: no step arrives from further back than the lookahead plus
// a window in flight.
const maxRecordedSteps = maxLookahead + maxWindow

// NewTokenChecker returns a checker that remembers up to maxJobs jobs.
func NewTokenChecker(maxJobs int) *TokenChecker {
	return &TokenChecker{maxJobs: maxJobs, jobs: map[string]jobRecord{}}
}

// StaleTokenError is the refusal of an effect whose token is older than one seen here.
type StaleTokenError struct {
	Job          string
	Token, Newer uint64
	Step         int
}

func (e StaleTokenError) Error() string {
	return fmt.Sprintf("job %s, step %d: token %d is old, %d was seen", e.Job, e.Step, e.Token, e.Newer)
}

// Check accepts an effect or returns a StaleTokenError. raised reports that the result of Snapshot has changed;
// repeated reports that a step that must not run twice here has run before and is answered as done.
func (c *TokenChecker) Check(job string, token uint64, step int, t Type) (raised, repeated bool, err error) {
	if newer := c.Highest(job); token < newer {
		return false, false, StaleTokenError{Job: job, Token: token, Newer: newer, Step: step}
	}
	raised = c.raise(job, token)
	rec := c.jobs[job]
	if t == Safe || rec.steps[step] {
		return raised, rec.steps[step], nil
	}
	c.markRan(job, step)
	return raised, false, nil
}

// markRan records that a step ran here.
func (c *TokenChecker) markRan(job string, step int) {
	rec := c.jobs[job]
	if rec.steps == nil {
		rec.steps = map[int]bool{}
	}
	rec.steps[step] = true
	i, _ := slices.BinarySearch(rec.sorted, step)
	rec.sorted = slices.Insert(rec.sorted, i, step)
	if len(rec.sorted) > maxRecordedSteps {
		delete(rec.steps, rec.sorted[0])
		rec.sorted = rec.sorted[1:]
	}
	c.jobs[job] = rec
}

// Raise records a newer token that came without an effect. It reports whether the result of Snapshot has changed.
func (c *TokenChecker) Raise(job string, token uint64) bool {
	return token > c.Highest(job) && c.raise(job, token)
}

// RestoreStep records a step that ran here, after Restore.
func (c *TokenChecker) RestoreStep(job string, step int) {
	if _, known := c.jobs[job]; known && !c.jobs[job].steps[step] {
		c.markRan(job, step)
	}
}

// raise records a token. Beyond maxJobs the job seen first is forgotten: as tokens increase across all jobs, one
// floor covers all forgotten jobs, and it refuses too much rather than too little.
func (c *TokenChecker) raise(job string, token uint64) bool {
	rec, known := c.jobs[job]
	if known && token <= rec.token {
		return false
	}
	if !known {
		c.order = append(c.order, job)
	}
	rec.token = token
	c.jobs[job] = rec
	if len(c.order) > c.maxJobs {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.floor = max(c.floor, c.jobs[oldest].token)
		delete(c.jobs, oldest)
	}
	return true
}

// Highest returns the lowest token that is accepted for a job.
func (c *TokenChecker) Highest(job string) uint64 { return max(c.jobs[job].token, c.floor) }

// Snapshot returns what must survive a restart of the gateway: the floor and the token of each job. It does not
// contain the steps that ran: a gateway that executes keyed steps keeps those with its record of effects (see
// RestoreStep).
func (c *TokenChecker) Snapshot() (floor uint64, tokens map[string]uint64) {
	tokens = map[string]uint64{}
	for job, rec := range c.jobs {
		tokens[job] = rec.token
	}
	return c.floor, tokens
}

// Restore loads a snapshot, the oldest token first.
func (c *TokenChecker) Restore(floor uint64, tokens map[string]uint64) {
	c.floor = max(c.floor, floor)
	for _, job := range slices.SortedFunc(maps.Keys(tokens), func(a, b string) int { return cmp.Compare(tokens[a], tokens[b]) }) {
		c.raise(job, tokens[job])
	}
}
