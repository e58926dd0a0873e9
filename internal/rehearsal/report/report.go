// Package report counts the facts of a rehearsal by phase and compares them with the script's expectations.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Report is a full report. Outcome must be the same in every run of a script with one seed; Figures are reproducible in
// virtual time only.
type Report struct {
	Outcome Outcome `json:"outcome"`
	Figures Figures `json:"figures"`
}

// Outcome lists which rules and expectations held.
type Outcome struct {
	Script       string    `json:"script"`
	Seed         int       `json:"seed"`
	Rules        []Verdict `json:"rules"`
	Expectations []Verdict `json:"expectations"`
	Holds        bool      `json:"holds"`
}

// Verdict is the result of one rule or expectation.
type Verdict struct {
	What  string `json:"what"`
	Holds bool   `json:"holds"`
}

// Figures are the measured values.
type Figures struct {
	Phases   []Phase            `json:"phases"`
	Types    map[string]*Counts `json:"types"`
	Members  map[string]*Counts `json:"members"`
	Links    map[string]float64 `json:"link_megabytes"`
	Measured []string           `json:"measured"` // measured value of each expectation
	Findings []string           `json:"findings"`
	Fell     []string           `json:"fell"`
	Work     map[string]int     `json:"owned_work,omitempty"` // lines in the gateways' logs of job steps, by kind
}

// Counts are operations by outcome.
type Counts struct {
	Asked     int     `json:"asked"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Throttled int     `json:"throttled"`
	Abandoned int     `json:"abandoned"`
	Lost      int     `json:"lost"`
	Left      int     `json:"left"`
	Share     float64 `json:"share_in_time"`
}

// Phase is one phase's figures. An operation counts in the phase of its first attempt.
type Phase struct {
	Name string `json:"name"`
	Counts
	Tries     int     `json:"tries"`
	Refusals  int     `json:"throttling_answers"`
	Abandons  int     `json:"abandoning_answers"`
	Pulls     int     `json:"pulls"`
	Hits      int     `json:"hits"`
	Core      int     `json:"core_requests"`
	CorePeak  int     `json:"core_requests_in_worst_second"`
	Megabytes float64 `json:"link_megabytes"`
	Median    float64 `json:"answer_ms_50th"` // of successful answers, from their request
	Slowest   float64 `json:"answer_ms_99th"`
}

// Counter collects figures from a rehearsal's facts.
type Counter struct {
	script       *script.Script
	figures      Figures
	requestedAt  map[string]float64
	latencies    []*hdrhistogram.Histogram // by phase, in microseconds
	writes       [][2]int                  // by phase: all writes, and those in time or late
	coreRequests []map[int]int
	hits         []map[int][2]int // by phase and second of it: hits and pulls
}

// New creates a counter for a script.
func New(s *script.Script) *Counter {
	c := &Counter{script: s, requestedAt: map[string]float64{}, figures: Figures{Types: map[string]*Counts{}, Members: map[string]*Counts{}, Links: map[string]float64{}, Measured: []string{}, Findings: []string{}, Fell: []string{}}}
	for _, p := range s.Phases {
		c.figures.Phases = append(c.figures.Phases, Phase{Name: p.Name})
		c.latencies = append(c.latencies, hdrhistogram.New(1, 60_000_000, 3))
		c.writes, c.coreRequests, c.hits = append(c.writes, [2]int{}), append(c.coreRequests, map[int]int{}), append(c.hits, map[int][2]int{})
	}
	for _, t := range s.Types {
		c.figures.Types[t.Name] = &Counts{}
	}
	return c
}

func (c *Counter) phase(at float64) int {
	for i, p := range c.script.Phases {
		if at < p.From+p.For {
			return i
		}
	}
	return len(c.script.Phases) - 1
}

// Observe processes a fact.
func (c *Counter) Observe(f world.Fact) {
	switch f := f.(type) {
	case world.RequestSent:
		c.requestedAt[f.ID] = f.At
		c.figures.Phases[c.phase(f.At)].Tries++
	case world.Answered:
		switch p := &c.figures.Phases[c.phase(f.At)]; f.Status {
		case 200:
			if at, ok := c.requestedAt[f.ID]; ok {
				c.latencies[c.phase(f.At)].RecordValue(min(60_000_000, max(1, int64(1000*(f.At-at)))))
			}
		case 429, 503:
			p.Refusals++
		default:
			p.Abandons++
		}
		delete(c.requestedAt, f.ID)
	case world.Ended:
		delete(c.requestedAt, f.ID)
	case world.Pulled:
		c.figures.Phases[c.phase(f.At)].Pulls++
	case world.Served:
		i := c.phase(f.At)
		second := int((f.At - c.script.Phases[i].From) / 1000)
		h := c.hits[i][second]
		if h[1]++; f.Note == "warm" || f.Note == "aged" {
			h[0]++
			c.figures.Phases[i].Hits++
		}
		c.hits[i][second] = h
	case world.ObjectProduced:
		i := c.phase(f.At)
		c.figures.Phases[i].Core++
		c.coreRequests[i][int(f.At/1000)]++
	case world.BytesSent:
		c.figures.Links[f.Link] += f.Bytes / 1e6
		c.figures.Phases[c.phase(f.At)].Megabytes += f.Bytes / 1e6
	case world.StepLogged:
		if c.figures.Work == nil {
			c.figures.Work = map[string]int{}
		}
		switch {
		case f.NewerToken > 0:
			c.figures.Work["refused as late"]++
		case f.TokenNotice:
			c.figures.Work["told of a grant"]++
		case f.Repeated:
			c.figures.Work["had happened before"]++
		default:
			c.figures.Work["happened"]++
		}
	case world.Overloaded:
		c.figures.Fell = append(c.figures.Fell, fmt.Sprintf("%.0f ms: %s", f.At, f.Box))
	case world.OperationEnded:
		i := c.phase(f.Asked)
		c.figures.Phases[i].count(f.Verdict)
		c.figures.Types[f.Type].count(f.Verdict)
		if c.figures.Members[f.Member] == nil {
			c.figures.Members[f.Member] = &Counts{}
		}
		c.figures.Members[f.Member].count(f.Verdict)
		if t := slices.IndexFunc(c.script.Types, func(t script.Type) bool { return t.Name == f.Type }); c.script.Types[t].Write && f.Verdict != world.Left {
			if c.writes[i][0]++; f.Verdict <= world.Late {
				c.writes[i][1]++
			}
		}
	}
}

func (n *Counts) count(v world.Verdict) {
	n.Asked++
	switch v {
	case world.InTime:
		n.InTime++
	case world.Late:
		n.Late++
	case world.Throttled:
		n.Throttled++
	case world.Abandoned:
		n.Abandoned++
	case world.Lost:
		n.Lost++
	case world.Left:
		n.Left++
	}
	// Clients that left before an answer say nothing about the service and are not counted in the share.
	n.Share = math.Round(10_000*float64(n.InTime)/float64(max(1, n.Asked-n.Left))) / 10_000
}

// Report completes the figures and compares them with the expectations.
func (c *Counter) Report(a *auditor.Auditor) *Report {
	r := &Report{Outcome: Outcome{Script: c.script.Name, Seed: c.script.Seed, Holds: true, Rules: []Verdict{}, Expectations: []Verdict{}}}
	for rule := range auditor.NumRules {
		r.Outcome.Rules = append(r.Outcome.Rules, Verdict{rule.String(), a.Holds(rule)})
		r.Outcome.Holds = r.Outcome.Holds && a.Holds(rule)
		for _, f := range a.Found[rule] {
			c.figures.Findings = append(c.figures.Findings, rule.String()+": "+f.String())
		}
		if more := a.Counts[rule] - len(a.Found[rule]); more > 0 {
			c.figures.Findings = append(c.figures.Findings, fmt.Sprintf("%s: %d more", rule, more))
		}
	}
	expect := func(phase, what string, got float64, holds bool) {
		r.Outcome.Expectations = append(r.Outcome.Expectations, Verdict{phase + ": " + what, holds})
		c.figures.Measured = append(c.figures.Measured, fmt.Sprintf("%s: %s: %.4g", phase, what, got))
		r.Outcome.Holds = r.Outcome.Holds && holds
	}
	for i, p := range c.script.Phases {
		f, e := &c.figures.Phases[i], p.Expect
		f.Median, f.Slowest = float64(c.latencies[i].ValueAtQuantile(50))/1000, float64(c.latencies[i].ValueAtQuantile(99))/1000
		for _, n := range c.coreRequests[i] {
			f.CorePeak = max(f.CorePeak, n)
		}
		tries := float64(max(1, f.Tries))
		if e.InTime > 0 {
			expect(p.Name, fmt.Sprintf("in time at least %v", e.InTime), f.Share, f.Share >= e.InTime)
		}
		if e.Throttled > 0 {
			got := float64(f.Refusals) / tries
			expect(p.Name, fmt.Sprintf("throttled at most %v", e.Throttled), got, got <= e.Throttled)
		}
		if e.Abandons > 0 {
			got := float64(f.Abandons) / tries
			expect(p.Name, fmt.Sprintf("abandoned at most %v", e.Abandons), got, got <= e.Abandons)
		}
		if e.CoreRate > 0 {
			expect(p.Name, fmt.Sprintf("core requests at most %v a second", e.CoreRate), float64(f.CorePeak), float64(f.CorePeak) <= e.CoreRate)
		}
		if e.Renewals > 0 {
			got := float64(c.writes[i][1]) / float64(max(1, c.writes[i][0]))
			expect(p.Name, fmt.Sprintf("renewals at least %v", e.Renewals), got, got >= e.Renewals)
		}
		if e.Hits > 0 {
			second := c.hitShareRegained(i, e.Hits)
			expect(p.Name, fmt.Sprintf("hits of %v within %v ms", e.Hits, e.HitsWithin), 1000*second, 1000*second <= e.HitsWithin)
		}
	}
	r.Figures = c.figures
	return r
}

// hitShareRegained returns the end of the first second of a phase at which, over the last two seconds, the edge answered at least
// this share of the pulls; infinity if there is none.
func (c *Counter) hitShareRegained(phase int, share float64) float64 {
	last := int(c.script.Phases[phase].For / 1000)
	for s := 1; s <= last; s++ {
		a, b := c.hits[phase][s-1], c.hits[phase][s]
		if n := a[1] + b[1]; n > 0 && float64(a[0]+b[0]) >= share*float64(n) {
			return float64(s + 1)
		}
	}
	return math.Inf(1)
}

// JSON writes the report as one JSON document, byte-identical for equal reports.
func (r *Report) JSON(to io.Writer) error {
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Print writes the report as text.
func (r *Report) Print(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "phase\tasked\tin time\tlate\tthrottled\tabandoned\tlost\tpulls\thits\tcore\tpeak a s\tlinks MB\tms 50th\t99th")
	row := func(name string, n Counts, rest string) {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%d\t%d\t%d\t%d%s\n", name, n.Asked, n.Share, n.Late, n.Throttled, n.Abandoned, n.Lost, rest)
	}
	for _, p := range r.Figures.Phases {
		row(p.Name, p.Counts, fmt.Sprintf("\t%d\t%.2f\t%d\t%d\t%.0f\t%.0f\t%.0f", p.Pulls, float64(p.Hits)/float64(max(1, p.Pulls)), p.Core, p.CorePeak, p.Megabytes, p.Median, p.Slowest))
	}
	for _, t := range slices.Sorted(maps.Keys(r.Figures.Types)) {
		row(t, *r.Figures.Types[t], "")
	}
	for _, m := range slices.Sorted(maps.Keys(r.Figures.Members)) {
		row("of "+m, *r.Figures.Members[m], "")
	}
	w.Flush()
	for _, what := range slices.Sorted(maps.Keys(r.Figures.Work)) {
		fmt.Fprintf(to, "owned work, in the records of places: %d %s\n", r.Figures.Work[what], what)
	}
	for _, f := range append(slices.Clone(r.Figures.Fell), r.Figures.Findings...) {
		fmt.Fprintln(to, f)
	}
	w = tabwriter.NewWriter(to, 0, 8, 2, ' ', 0)
	results := map[bool]string{true: "holds", false: "DOES NOT HOLD"}
	for _, v := range r.Outcome.Rules {
		fmt.Fprintf(w, "rule\t%s\t%s\n", v.What, results[v.Holds])
	}
	for i, v := range r.Outcome.Expectations {
		fmt.Fprintf(w, "expected\t%s\t%s\n", r.Figures.Measured[i], results[v.Holds])
	}
	fmt.Fprintf(w, "outcome\t%s, seed %d\t%s\n", r.Outcome.Script, r.Outcome.Seed, results[r.Outcome.Holds])
	w.Flush()
}
