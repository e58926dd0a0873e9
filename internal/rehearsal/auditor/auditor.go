// Package auditor judges the five rules from the world's side alone: from what came to boxes and clients and what the
// world told, never from what a gateway says of itself.
package auditor

import (
	"fmt"
	"strconv"
	"strings"

	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Rule is one of the five, or that no gateway may crash.
type Rule int

// The rules.
const (
	OneAnswer Rule = iota // exactly one final answer before expiry, and nothing sent after it
	NoRepeat              // no effect twice
	Drains                // nothing new past the grace after word of a drain or a loss
	Cold                  // no cold box pushed over by all gateways together
	Purges                // no answer from an older copy past the grace after word of a purge
	Links                 // what is not under a good link is not let in, and no link is used twice for what must not run twice
	Alive                 // no gateway ends that nobody told to
	Work                  // at each place tokens of a job never fall, and no step happens twice that must not
	Rules
)

var ruleNames = [Rules]string{"one answer", "no effect twice", "drains and losses", "cold boxes", "purges", "links", "gateways stay up", "owned work"}

func (r Rule) String() string { return ruleNames[r] }

// Finding is one breach: when, by which gateway, of which download, at which box.
type Finding struct {
	Rule    Rule
	At      float64
	Gateway int
	ID, Box string
	What    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%.1f ms, gateway %d, download %s, box %s: %s", f.At, f.Gateway, f.ID, f.Box, f.What)
}

// answerSlack is what the platform's settings allow an answer past its expiry, in ms (rules.answer_slack).
const answerSlack = 8.0

// mostFindings bounds what is kept of each rule; the rest is counted.
const maxFindings = 20

// Auditor hears the world's facts in their order.
type Auditor struct {
	Found        [Rules][]Finding
	Counts       [Rules]int
	rules        script.Rules
	types        map[string]script.Type
	slack        float64 // ms that a real machine and a real network may add to a time
	downloads    map[string]*download
	finished     []*download                // those that are over, the oldest first
	writeChains  map[string]string          // by a link of a write: the download by which it took effect
	unavailable  map[int]map[string]float64 // by gateway and box: when it was told to leave it alone
	purged       map[int]*purgeNotices
	agreedPurges []world.Purging   // by the gateways themselves
	highestToken map[string]uint64 // the highest seen, by place and job
	stepRuns     map[string]int    // how often a step that must not run twice has happened, by job and step
}

type purgeNotices struct {
	object map[string][]purgeNotice
	group  map[int][]purgeNotice
}

type purgeNotice struct{ heardAt, purgedAt float64 }

// download is what the world knows of one request.
type download struct {
	world.Asked
	answers   int
	endedAt   float64 // when it was over for its client; under 0: it is not
	endReason string
	pulls     []*pull
	runs      int
}

type pull struct {
	world.Pulled
	knownNotRun bool // it is known not to have run
	answered    bool // the box has answered
}

// New makes an auditor of one rehearsal. Slack is 0 in virtual time.
func New(s *script.Script, slack float64) *Auditor {
	a := &Auditor{rules: s.Rules, types: map[string]script.Type{}, slack: slack, downloads: map[string]*download{},
		writeChains: map[string]string{}, unavailable: map[int]map[string]float64{}, purged: map[int]*purgeNotices{}, highestToken: map[string]uint64{}, stepRuns: map[string]int{}}
	for _, t := range s.Types {
		a.types[t.Name] = t
	}
	return a
}

func (a *Auditor) record(r Rule, at float64, gateway int, id, box, format string, args ...any) {
	if a.Counts[r]++; len(a.Found[r]) < maxFindings {
		a.Found[r] = append(a.Found[r], Finding{Rule: r, At: at, Gateway: gateway, ID: id, Box: box, What: fmt.Sprintf(format, args...)})
	}
}

// keepFor is how long a download that is over is remembered, in ms: what is sent for it after is sent soon after.
const retention = 20_000.0

// See takes a fact.
func (a *Auditor) See(f world.Fact) {
	switch f := f.(type) {
	case world.Asked:
		a.downloads[f.ID] = &download{Asked: f, endedAt: -1}
	case world.Answered:
		a.answered(f)
	case world.Ended:
		a.ended(f)
	case world.Pulled:
		a.pulled(f)
	case world.Served:
		a.served(f)
	case world.Unsigned:
		if d := a.downloads[f.ID]; d != nil {
			a.record(Links, f.At, d.Gateway, f.ID, f.Box, "came to a box without a link that is good there")
		}
	case world.Ran:
		a.ran(f)
	case world.Purging:
		a.agreedPurges = append(a.agreedPurges, f)
	case world.Told:
		a.told(f)
	case world.Pushed:
		a.record(Cold, f.At, -1, "", f.Box, "sent %.0f ms of work while it bears %.0f", f.Sent, f.Allowed)
	case world.Effected:
		a.effected(f)
	case world.Restarted:
		// It knows nothing of before, and is told anew all that holds.
		delete(a.unavailable, f.Gateway)
		delete(a.purged, f.Gateway)
	case world.Down:
		if f.Crashed {
			a.record(Alive, f.At, f.Gateway, "", "", "it ended, and nobody had told it to")
		}
	}
}

// effected judges one line of a place's record. Any step may come late, and is refused then; a safe one may happen again.
func (a *Auditor) effected(f world.Effected) {
	place, step := fmt.Sprint(f.Gateway, " ", f.Job), fmt.Sprint(f.Job, " ", f.Step)
	switch {
	case f.Newer > 0:
		if f.Token >= f.Newer {
			a.record(Work, f.At, f.Gateway, step, "", "refused under token %d for being older than %d", f.Token, f.Newer)
		}
		return
	case f.Token < a.highestToken[place]:
		a.record(Work, f.At, f.Gateway, step, "", "happened under token %d of %s after token %d was seen there", f.Token, f.From, a.highestToken[place])
	}
	if a.highestToken[place] = max(a.highestToken[place], f.Token); f.Told || f.Again || f.Type == "safe" {
		return
	}
	if a.stepRuns[step]++; a.stepRuns[step] > 1 {
		a.record(Work, f.At, f.Gateway, step, "", "happened %d times, and is %s", a.stepRuns[step], f.Type)
	}
}

func (a *Auditor) finish(d *download, at float64) {
	d.endedAt = at
	a.finished = append(a.finished, d)
	for len(a.finished) > 0 && a.finished[0].endedAt < at-retention {
		delete(a.downloads, a.finished[0].ID)
		a.finished = a.finished[1:]
	}
}

func (a *Auditor) answered(f world.Answered) {
	d := a.downloads[f.ID]
	if d == nil {
		a.record(OneAnswer, f.At, f.Gateway, f.ID, "", "an answer to what was never asked, or long ago")
		return
	}
	d.answers++
	switch {
	case d.answers > 1:
		a.record(OneAnswer, f.At, f.Gateway, f.ID, "", "a second answer, status %d", f.Status)
		return
	case d.endReason == "left": // a client that went may be told so
		return
	case f.At > d.Expiry+answerSlack+a.slack:
		a.record(OneAnswer, f.At, f.Gateway, f.ID, "", "answered %.1f ms past its expiry", f.At-d.Expiry)
	}
	if d.endedAt < 0 {
		a.finish(d, f.At)
	}
	if f.Status == 429 || f.Status == 503 {
		for _, p := range d.pulls {
			if d.Repeat == "non-retriable" && !p.knownNotRun {
				a.record(NoRepeat, f.At, f.Gateway, f.ID, p.Box, "told to try again though a pull may have run")
			}
		}
	}
	if d.Forged && f.Status == 200 {
		a.record(Links, f.At, f.Gateway, f.ID, "", "answered though its link is forged")
	}
	if f.Status == 200 && !f.Still {
		a.checkContent(d, f)
	}
}

// content checks that what a client got is what a box gave out for it, and no older than the purges allow.
func (a *Auditor) checkContent(d *download, f world.Answered) {
	words := strings.Fields(f.Copy)
	if a.types[d.Type].Write {
		if len(words) < 2 || words[0] != "ran" || words[1] != d.ID {
			a.record(OneAnswer, f.At, f.Gateway, d.ID, "", "answered with %.60q, which no box made for it", f.Copy)
		}
		return
	}
	born := 0.0
	if len(words) > 3 {
		born, _ = strconv.ParseFloat(words[3], 64)
	}
	if len(words) < 4 || words[0] != d.Object || words[1] != strconv.Itoa(d.Part) {
		a.record(OneAnswer, f.At, f.Gateway, d.ID, "", "answered with %.60q, which no box made for it", f.Copy)
		return
	}
	last := 0.0
	for _, p := range d.pulls {
		last = max(last, p.At)
	}
	a.checkAge(d.Gateway, d.Object, d.Group, d.ID, "", last, born, f.At)
	for _, p := range a.agreedPurges {
		if f.At > p.By+a.slack && born < p.When-1 && (p.Object == d.Object || p.Object == "" && p.Group == d.Group) && (p.Club == "" || p.Club == d.Club) {
			a.record(Purges, f.At, d.Gateway, d.ID, "", "answered by a copy %.0f ms older than a purge that the gateways agreed on, %.0f ms past its time", p.When-born, f.At-p.By)
			return
		}
	}
}

// age checks a copy that answers a pull sent at a time against the purges that its gateway knew of then.
func (a *Auditor) checkAge(gateway int, object string, group int, id, box string, sent, born, at float64) {
	p := a.purged[gateway]
	if p == nil {
		return
	}
	for _, all := range [][]purgeNotice{p.object[object], p.group[group]} {
		for _, q := range all {
			if sent > q.heardAt+a.rules.PurgeGrace+a.slack && born < q.purgedAt-1 {
				a.record(Purges, at, gateway, id, box, "sent %.0f ms after word of a purge, answered by a copy %.0f ms older than it",
					sent-q.heardAt, q.purgedAt-born)
				return
			}
		}
	}
}

func (a *Auditor) ended(f world.Ended) {
	d := a.downloads[f.ID]
	if d == nil {
		return
	}
	d.endReason = f.Why
	if d.endedAt < 0 {
		a.finish(d, f.At)
	}
	if f.Why == "expired" {
		a.record(OneAnswer, f.At, d.Gateway, f.ID, "", "no answer by its expiry")
	}
}

func (a *Auditor) pulled(f world.Pulled) {
	d := a.downloads[f.ID]
	if d == nil {
		return // made by hand, or of a gateway that is no more
	}
	if d.Forged {
		a.record(Links, f.At, f.Gateway, f.ID, f.Box, "let in though its link is forged")
	}
	if d.endedAt >= 0 && f.At > d.endedAt+a.slack && d.endReason != "broken" {
		a.record(OneAnswer, f.At, f.Gateway, f.ID, f.Box, "sent %.1f ms after its end", f.At-d.endedAt)
	}
	for _, p := range d.pulls {
		if p.knownNotRun || d.Repeat == "retriable" {
			continue
		}
		t := a.types[d.Type]
		within := d.Repeat == "deduped" && f.At < p.At+t.Window &&
			(t.Scope == "all" || t.Scope == "zone" && p.Zone == f.Zone || t.Scope == "cell" && p.Zone == f.Zone && p.Cell == f.Cell)
		if !within {
			a.record(NoRepeat, f.At, f.Gateway, f.ID, f.Box, "sent again though its pull to %s may have run", p.Box)
		}
	}
	d.pulls = append(d.pulls, &pull{Pulled: f})
	for _, box := range []string{f.Box, f.Source} {
		if heardAt, unavailable := a.unavailable[f.Gateway][box]; unavailable && f.At > heardAt+a.rules.DrainGrace+a.slack {
			a.record(Drains, f.At, f.Gateway, f.ID, box, "sent %.1f ms after word that it drains or is gone", f.At-heardAt)
		}
	}
}

func (a *Auditor) served(f world.Served) {
	d := a.downloads[f.ID]
	if d == nil {
		return
	}
	for _, p := range d.pulls {
		if p.Box == f.Box && !p.answered {
			p.answered = true
			p.knownNotRun = f.Word == "LACK" || f.Word == "WAIT" || f.Word == "PAST"
			if f.Copy {
				a.checkAge(d.Gateway, d.Object, d.Group, d.ID, f.Box, p.At, f.Born, f.At)
			}
			return
		}
	}
}

func (a *Auditor) ran(f world.Ran) {
	d := a.downloads[f.ID]
	if d == nil {
		return
	}
	if d.Chain != "" {
		if first := a.writeChains[d.Chain]; first != "" && first != f.ID {
			a.record(Links, f.At, d.Gateway, f.ID, "", "its link took effect before, by %s", first)
		}
		a.writeChains[d.Chain] = f.ID
	}
	if d.runs++; d.runs > 1 && d.Repeat == "non-retriable" {
		a.record(NoRepeat, f.At, d.Gateway, f.ID, "", "took effect %d times", d.runs)
	}
}

func (a *Auditor) told(f world.Told) {
	if f.Box != "" {
		if a.unavailable[f.Gateway] == nil {
			a.unavailable[f.Gateway] = map[string]float64{}
		}
		_, unavailable := a.unavailable[f.Gateway][f.Box]
		if f.State == "ready" {
			delete(a.unavailable[f.Gateway], f.Box)
		} else if !unavailable {
			a.unavailable[f.Gateway][f.Box] = f.At
		}
		return
	}
	p := a.purged[f.Gateway]
	if p == nil {
		p = &purgeNotices{object: map[string][]purgeNotice{}, group: map[int][]purgeNotice{}}
		a.purged[f.Gateway] = p
	}
	if f.Purged != "" {
		p.object[f.Purged] = append(p.object[f.Purged], purgeNotice{f.At, f.When})
	} else {
		p.group[f.Group] = append(p.group[f.Group], purgeNotice{f.At, f.When})
	}
}

// Holds tells whether a rule was kept.
func (a *Auditor) Holds(r Rule) bool { return a.Counts[r] == 0 }
