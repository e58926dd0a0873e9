// Package auditor checks the rules of the service from the outside: only from the facts that the emulated boxes and clients
// observe, never from what a gateway reports about itself.
package auditor

import (
	"fmt"
	"strconv"
	"strings"

	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Rule is a rule that gateways must keep.
type Rule int

// The rules.
const (
	OneAnswer         Rule = iota // exactly one final answer before expiry, and nothing sent after it
	NoDuplicateEffect             // no effect twice
	Drains                        // no new pulls after the grace period that follows the notice of a drain or a loss
	ColdOverload                  // the gateways together don't overload a cold box
	Purges                        // no answer from an older copy after the grace period that follows the notice of a purge
	Links                         // only requests with a valid link are accepted, and no link runs twice what must run only once
	NoCrash                       // no gateway ends without being told to
	Work                          // at each gateway the tokens of a job never decrease, and no step runs twice unless it is safe
	NumRules
)

var ruleNames = [NumRules]string{"one answer", "no effect twice", "drains and losses", "cold boxes", "purges", "links", "gateways stay up", "owned work"}

func (r Rule) String() string { return ruleNames[r] }

// Finding is one violation: when, by which gateway, in which download, at which box.
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

// answerSlack is how far past its expiry the platform's settings allow an answer, in ms (rules.answer_slack).
const answerSlack = 8.0

// maxFindings bounds the findings kept for each rule; further ones are only counted.
const maxFindings = 20

// Auditor checks a rehearsal's facts in the order in which they occur.
type Auditor struct {
	Found        [NumRules][]Finding
	Counts       [NumRules]int
	rules        script.Rules
	types        map[string]script.Type
	slack        float64 // ms that a real machine and network may add to a time
	downloads    map[string]*download
	finished     []*download                // ended downloads, oldest first
	writeChains  map[string]string          // by id of a write's link: the download by which it took effect
	unavailable  map[int]map[string]float64 // by gateway and box: when the gateway learned that the box drains or is gone
	purged       map[int]*purgeNotices
	agreedPurges []world.PurgeAgreed // purges that the gateways agreed on
	highestToken map[string]uint64   // by gateway and job
	stepRuns     map[string]int      // by job and step, for steps that must not run twice
}

type purgeNotices struct {
	object map[string][]purgeNotice
	group  map[int][]purgeNotice
}

type purgeNotice struct{ heardAt, purgedAt float64 }

// download is the auditor's record of one request.
type download struct {
	world.RequestSent
	answers   int
	endedAt   float64 // when it ended for its client; negative: it has not
	endReason string
	pulls     []*pull
	runs      int
}

type pull struct {
	world.Pulled
	knownNotRun bool // it certainly did not run
	answered    bool // the box has replied
}

// New creates an auditor for one rehearsal. Slack is 0 in virtual time.
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

// retention is how long an ended download is remembered, in ms: pulls that are sent too late are sent soon after the end.
const retention = 20_000.0

// Observe processes a fact.
func (a *Auditor) Observe(f world.Fact) {
	switch f := f.(type) {
	case world.RequestSent:
		a.downloads[f.ID] = &download{RequestSent: f, endedAt: -1}
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
	case world.WriteRan:
		a.ran(f)
	case world.PurgeAgreed:
		a.agreedPurges = append(a.agreedPurges, f)
	case world.Notified:
		a.notified(f)
	case world.ColdOverload:
		a.record(ColdOverload, f.At, -1, "", f.Box, "sent %.0f ms of work while it bears %.0f", f.Sent, f.Allowed)
	case world.StepLogged:
		a.effected(f)
	case world.Restarted:
		// A new process has no earlier state and receives all current notices again.
		delete(a.unavailable, f.Gateway)
		delete(a.purged, f.Gateway)
	case world.Down:
		if f.Crashed {
			a.record(NoCrash, f.At, f.Gateway, "", "", "it ended, and nobody had told it to")
		}
	}
}

// effected checks one line of a gateway's log of job steps. Any step may arrive late and is then refused; a safe one may run again.
func (a *Auditor) effected(f world.StepLogged) {
	gatewayJob, step := fmt.Sprint(f.Gateway, " ", f.Job), fmt.Sprint(f.Job, " ", f.Step)
	switch {
	case f.NewerToken > 0:
		if f.Token >= f.NewerToken {
			a.record(Work, f.At, f.Gateway, step, "", "refused under token %d for being older than %d", f.Token, f.NewerToken)
		}
		return
	case f.Token < a.highestToken[gatewayJob]:
		a.record(Work, f.At, f.Gateway, step, "", "happened under token %d of %s after token %d was seen there", f.Token, f.From, a.highestToken[gatewayJob])
	}
	if a.highestToken[gatewayJob] = max(a.highestToken[gatewayJob], f.Token); f.TokenNotice || f.Repeated || f.Type == "safe" {
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
	case d.endReason == "left": // a client that went away may still get an answer
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
				a.record(NoDuplicateEffect, f.At, f.Gateway, f.ID, p.Box, "told to try again though a pull may have run")
			}
		}
	}
	if d.Forged && f.Status == 200 {
		a.record(Links, f.At, f.Gateway, f.ID, "", "answered though its link is forged")
	}
	if f.Status == 200 && !f.NotModified {
		a.checkContent(d, f)
	}
}

// checkContent checks that an answer's content is what a box sent for this download, and that it is no older than the purges
// allow.
func (a *Auditor) checkContent(d *download, f world.Answered) {
	fields := strings.Fields(f.Copy)
	if a.types[d.Type].Write {
		if len(fields) < 2 || fields[0] != "ran" || fields[1] != d.ID {
			a.record(OneAnswer, f.At, f.Gateway, d.ID, "", "answered with %.60q, which no box made for it", f.Copy)
		}
		return
	}
	createdAt := 0.0
	if len(fields) > 3 {
		createdAt, _ = strconv.ParseFloat(fields[3], 64)
	}
	if len(fields) < 4 || fields[0] != d.Object || fields[1] != strconv.Itoa(d.Part) {
		a.record(OneAnswer, f.At, f.Gateway, d.ID, "", "answered with %.60q, which no box made for it", f.Copy)
		return
	}
	lastSent := 0.0
	for _, p := range d.pulls {
		lastSent = max(lastSent, p.At)
	}
	a.checkAge(d.Gateway, d.Object, d.Group, d.ID, "", lastSent, createdAt, f.At)
	for _, p := range a.agreedPurges {
		if f.At > p.Deadline+a.slack && createdAt < p.When-1 && (p.Object == d.Object || p.Object == "" && p.Group == d.Group) && (p.Club == "" || p.Club == d.Club) {
			a.record(Purges, f.At, d.Gateway, d.ID, "", "answered by a copy %.0f ms older than a purge that the gateways agreed on, %.0f ms past its time", p.When-createdAt, f.At-p.Deadline)
			return
		}
	}
}

// checkAge checks a copy that answers a pull sent at a given time against the purges that its gateway knew of then.
func (a *Auditor) checkAge(gateway int, object string, group int, id, box string, sentAt, createdAt, answeredAt float64) {
	p := a.purged[gateway]
	if p == nil {
		return
	}
	for _, all := range [][]purgeNotice{p.object[object], p.group[group]} {
		for _, q := range all {
			if sentAt > q.heardAt+a.rules.PurgeGrace+a.slack && createdAt < q.purgedAt-1 {
				a.record(Purges, answeredAt, gateway, id, box, "sent %.0f ms after word of a purge, answered by a copy %.0f ms older than it",
					sentAt-q.heardAt, q.purgedAt-createdAt)
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
		return // sent by a test, or by a gateway that has ended
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
		deduped := d.Repeat == "deduped" && f.At < p.At+t.Window &&
			(t.Scope == "all" || t.Scope == "zone" && p.Zone == f.Zone || t.Scope == "cell" && p.Zone == f.Zone && p.Cell == f.Cell)
		if !deduped {
			a.record(NoDuplicateEffect, f.At, f.Gateway, f.ID, f.Box, "sent again though its pull to %s may have run", p.Box)
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
				a.checkAge(d.Gateway, d.Object, d.Group, d.ID, f.Box, p.At, f.CreatedAt, f.At)
			}
			return
		}
	}
}

func (a *Auditor) ran(f world.WriteRan) {
	d := a.downloads[f.ID]
	if d == nil {
		return
	}
	if d.LinkID != "" {
		if first := a.writeChains[d.LinkID]; first != "" && first != f.ID {
			a.record(Links, f.At, d.Gateway, f.ID, "", "its link took effect before, by %s", first)
		}
		a.writeChains[d.LinkID] = f.ID
	}
	if d.runs++; d.runs > 1 && d.Repeat == "non-retriable" {
		a.record(NoDuplicateEffect, f.At, d.Gateway, f.ID, "", "took effect %d times", d.runs)
	}
}

func (a *Auditor) notified(f world.Notified) {
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

// Holds reports whether a rule was kept.
func (a *Auditor) Holds(r Rule) bool { return a.Counts[r] == 0 }
