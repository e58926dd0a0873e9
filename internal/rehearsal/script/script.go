// Package script reads rehearsals: a deployment, its traffic by phase, what happens when, and what is expected.
//
// A script is HCL, read as strictly as the operator's file. Times are kept in milliseconds, amounts of bytes in bytes,
// work in milliseconds of one core at speed 1.
package script

import (
	"cmp"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"poppymill/internal/operator"
)

// Script is one rehearsal.
type Script struct {
	Name, About string
	Seed        int
	Clubs       []string
	Gateways    int // dealt over the clubs in turn
	Flow        float64
	Near, Far   float64 // ms one way between a club and a hub: its own, a further one
	Link        float64 // bytes a second into each club
	Box, Hub    Box
	Core        Core
	List        List
	Rules       Rules
	Limits      Limits
	Types       []Type
	Clients     Clients
	Links       Links
	Fair        Fair
	Quorum      Quorum
	Purges      Purges
	Jobs        []Job
	Phases      []Phase
	Events      []Event
}

// Purges are what the operator's file says of purges that the gateways agree on; ms where they are times.
type Purges struct {
	On                       bool
	Delay, Skew, Rate, Fills float64
	Batch                    int
}

// Box is what edge caches or hubs are like.
type Box struct {
	Count         int
	Cores         [2]float64 // drawn between them
	Slots, Queue  int        // jobs in service and waiting, for each core; slots 1 is first come, first served
	Store         float64    // bytes
	ColdShare     float64    // of its capacity when it starts
	ColdFor       float64    // ms until it has all of it
	FallMultiple  float64    // sent more than this times what it can do
	FallFor       float64    // for so many ms, it falls over
	FallenFor     float64    // ms until it comes back
	Fills         int        // at a time, for each core
	FillTimeout   float64
	Report, Probe float64 // ms between load reports; work of one probe
	Errs          float64 // share of downloads that fail in passing
	Held          float64 // share of what is asked for often that it holds when the rehearsal begins
}

// Core is the member core: it makes every object and takes the writes.
type Core struct {
	Capacity  float64 // cores
	Answers   float64 // ms that it takes beside the work
	Crowded   float64 // how much slower with every multiple of its capacity that is open
	StopsAt   float64 // multiple of its capacity; 0: never
	StopsFor  float64
	StopsPush float64 // ms of being asked so much
}

// List is how the gateways hear of boxes and purges.
type List struct {
	Told    float64 // ms from a change to word of it
	Notices float64 // ms until a box that died is found out
	Purges  float64 // ms from a purge to word of it
}

// Rules are the graces that the gateways are held to.
type Rules struct{ DrainGrace, PurgeGrace, PurgeSettles float64 }

// Limits are a gateway's on sockets.
type Limits struct{ MemoryMB, Sockets int }

// Type is a content type.
type Type struct {
	Name                  string
	Share                 float64 // of the downloads
	Work, Spread          float64 // mean ms to send one; sigma of the log-normal that sizes follow
	Parts                 int
	Gap                   float64 // ms between the parts that a client asks for
	Target, Stretch       float64
	Expiry, Fresh, Grace  float64
	Benefit, Late         float64
	Repeat, Scope         string
	Window                float64
	Write                 bool
	Objects               int
	Skew                  float64 // exponent of Zipf's law
	Once, Local, OldWorth float64 // shares of objects wanted once, at one club only; of the benefit for an old copy
}

// Clients is how they behave.
type Clients struct {
	Retries   int
	Wait      float64
	Heeds     float64    // share that stays away as told
	Patience  [2]float64 // shares of the expiry
	Impatient float64    // share that leaves early
	Members   []string   // names of whom clients are members of, as the front tells them; none: their location
	Holds     float64    // share that holds a copy
	Notices   float64    // ms until the front has found out that a gateway died
}

// Links is how clients hold signed links; off where Life is 0.
type Links struct {
	Life    float64 // ms that a link is good
	Renew   float64 // ms that its successor lives longer
	Doubled float64 // share of writes that are sent twice at once under one link
	Boxes   float64 // ms that a gateway's own link for a box lives; 0: boxes ask for none
	Checks  float64 // signatures a second that a gateway checks for one source
}

// Fair turns the gateways' fair door on: shares by club and client, writes ahead.
type Fair struct {
	On      bool
	Longest float64 // ms that clients may be told to stay away
}

// Quorum has the gateways agree; in virtual time only to fill caches ahead.
type Quorum struct {
	On                    bool
	Voters                int // the first so many gateways
	Beat, Election, Lease float64
	Replace               float64 // ms that a voter must be gone before another has its vote
	Warm                  int     // steps of a job that fills a cache ahead which started lately; 0: none
}

// Job is work that is asked for on behalf of all gateways.
type Job struct {
	Name, Type            string // safe, keyed or unsafe
	At                    float64
	Steps, Window, Places int // the first so many gateways, in turn; 0: at the owner
}

// Phase is a stretch of time with its traffic and what is expected of it.
type Phase struct {
	Name      string
	From, For float64
	Rate      float64 // downloads a second, first tries
	Expect    Expect
}

// Expect is what must hold of a phase; a zero is not asked for.
type Expect struct {
	InTime             float64 // least share of first tries that were answered within the target time
	Throttled          float64 // most, as a share of all tries
	CoreRate           float64 // most requests at the member core in any second
	Hits, HitsWithin   float64 // share of pulls answered by what the edge held, reached within so many ms of its start
	Renewals, Abandons float64 // least share of writes that succeeded; most abandoned of all tries
}

// Event is what happens. What a field means depends on Do; Line is where it stands.
type Event struct {
	Do             string
	Line           int
	Number         int // among the events as they stand: what chance is keyed by, so that a comment more changes nothing
	At, For, Every float64
	Times          int
	On, Name       string // kind of what it happens to, or one by name
	Share, Factor  float64
	Count          int
	Over           float64 // spread over so many ms
	SameAddress    bool
	Delay          float64
	Groups         int
	Club           string
	Kiosks         int
	Member         string // of whom kiosks are
	OneWay         bool   // what goes out of those chosen is cut, what comes in is not
	By             string // of a purge: the channel, or the gateways themselves
	Disk           string // of a gateway that is killed: kept, lost, or old: as it was when it was copied
}

// What can happen, and to what.
var (
	boxRoles     = []string{"edge", "hub", "core"}
	eventTargets = map[string][]string{
		"kill": {"edge", "hub", "core", "gateway"}, "vanish": boxRoles, "silent": boxRoles, "pause": boxRoles, "slow": boxRoles,
		"fail": boxRoles, "lose": boxRoles, "cut": boxRoles, "replace": {"edge", "hub"}, "drain": {"edge", "hub"}, "restart": {"gateway"},
		"hup": {"gateway"}, "freeze": {"gateway"}, "part": {"gateway"}, "start": {"gateway"}, "delay": {"gateway"}, "reset": {"gateway"}, "copy": {"gateway"}, "fill_disk": {"gateway"}, "lag": {"list"}, "purge": {"objects"}, "break": {"channel"}, "mute": {"channel"}, "repeat": {"channel"},
		"traffic": {"clients"}, "storm": {"clients"}, "once": {"clients"}, "large": {"clients"},
		"forge": {"clients"}, "rotate": {"keys"}, "withdraw": {"keys"},
	}
	needsDuration = []string{"delay", "freeze", "fill_disk", "part", "pause", "slow", "fail", "lose", "cut", "lag", "mute", "traffic", "storm", "once", "large", "silent", "vanish", "forge"}
)

// Deeds lists what can happen, for people.
func EventKinds() []string {
	var all []string
	for d, on := range eventTargets {
		all = append(all, d+" ("+strings.Join(on, ", ")+")")
	}
	slices.Sort(all)
	return all
}

// Load reads a script; its name is that of the file. A script may name a site, a file beside it that holds deployment, types
// and clients for many scripts; what the script says itself comes on top.
func Load(path string) (*Script, error) {
	text, err := operator.Read(path)
	if err != nil {
		return nil, err
	}
	s := defaults()
	site, err := operator.Peek(text, path, "site")
	if err == nil && site != "" {
		site = filepath.Join(filepath.Dir(path), site)
		var common []byte
		if common, err = operator.Read(site); err == nil {
			err = operator.Parse(common, site, s.siteFields()...)
		}
	}
	if err == nil {
		err = s.parse(text, path)
	}
	if err != nil {
		return nil, err
	}
	s.Name = strings.TrimSuffix(filepath.Base(path), ".hcl")
	return s, nil
}

const maxSpan = time.Hour

// Parse reads a script's text, which stands alone.
func Parse(text []byte, file string) (*Script, error) {
	s := defaults()
	if err := s.parse(text, file); err != nil {
		return nil, err
	}
	return s, nil
}

// common is what a site says.
func (s *Script) siteFields() []operator.Field {
	var seen []string
	return []operator.Field{operator.One("deployment", s.deployment), operator.One("clients", s.Clients.fields),
		operator.Block("type", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			if slices.Contains(seen, labels[0]) {
				return nil, errors.New("stands twice")
			}
			seen = append(seen, labels[0])
			t := Type{Name: labels[0], Parts: 1, Spread: 0.5, Target: 500, Expiry: 3000, Benefit: 1, Repeat: "retriable",
				Scope: "all", Window: 5000, Objects: 2000, Skew: 1, OldWorth: 0.7}
			i := slices.IndexFunc(s.Types, func(t Type) bool { return t.Name == labels[0] })
			if i < 0 {
				s.Types, i = append(s.Types, t), len(s.Types)
			} else {
				s.Types[i] = t
			}
			return s.Types[i].fields(), nil // read before the next one moves them
		})}
}

func (s *Script) parse(text []byte, file string) error {
	site := ""
	err := operator.Parse(text, file, append(s.siteFields(), operator.Attr("site", operator.Text(&site)),
		operator.Must("about", operator.Text(&s.About)), operator.Attr("seed", operator.Whole(&s.Seed, 0, 1<<30)),
		operator.One("links", s.Links.fields), operator.One("fair", s.Fair.fields), operator.One("quorum", s.Quorum.fields),
		operator.One("purges", s.Purges.fields),
		operator.Block("phase", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			p := Phase{Name: labels[0]}
			if n := len(s.Phases); n > 0 {
				p.From = s.Phases[n-1].From + s.Phases[n-1].For
			}
			s.Phases = append(s.Phases, p)
			return s.Phases[len(s.Phases)-1].fields(), nil
		}),
		operator.Block("job", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			if slices.ContainsFunc(s.Jobs, func(j Job) bool { return j.Name == labels[0] }) {
				return nil, errors.New("stands twice")
			}
			s.Jobs = append(s.Jobs, Job{Name: labels[0], Type: "safe", Steps: 10, Window: 4})
			return s.Jobs[len(s.Jobs)-1].fields(), nil // read before the next one moves them
		}),
		operator.Block("event", []string{"do"}, func(labels []string, line int) ([]operator.Field, error) {
			if eventTargets[labels[0]] == nil {
				return nil, fmt.Errorf("is none of %s", strings.Join(EventKinds(), ", "))
			}
			s.Events = append(s.Events, Event{Do: labels[0], Line: line, Number: len(s.Events), On: eventTargets[labels[0]][0], Times: 1})
			return s.Events[len(s.Events)-1].fields(), nil
		}),
		operator.Check(s.validate))...)
	slices.SortStableFunc(s.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return err
}

// whole checks what only shows when all is read.
func (s *Script) validate() error {
	shareSum := 0.0
	for _, t := range s.Types {
		shareSum += t.Share
	}
	switch {
	case len(s.Types) == 0:
		return errors.New("no type of content")
	case len(s.Phases) == 0:
		return errors.New("no phase")
	case shareSum < 0.999 || shareSum > 1.001:
		return fmt.Errorf("the shares of the types come to %.3f in place of 1", shareSum)
	case s.Gateways < len(s.Clubs):
		return fmt.Errorf("%d gateways for %d clubs", s.Gateways, len(s.Clubs))
	case s.Quorum.On && (s.Quorum.Voters%2 == 0 || s.Quorum.Voters > s.Gateways):
		return fmt.Errorf("%d voters among %d gateways", s.Quorum.Voters, s.Gateways)
	case s.Box.Count < len(s.Clubs):
		return fmt.Errorf("%d edge caches for %d clubs", s.Box.Count, len(s.Clubs))
	}
	for _, j := range s.Jobs {
		switch {
		case !s.Quorum.On:
			return fmt.Errorf("job %s needs the block quorum", j.Name)
		case j.Places > s.Gateways:
			return fmt.Errorf("job %s: %d places among %d gateways", j.Name, j.Places, s.Gateways)
		case j.At >= s.Length():
			return fmt.Errorf("job %s comes at %v ms, past the end at %v ms", j.Name, j.At, s.Length())
		}
	}
	if s.Purges.On && !s.Quorum.On {
		return errors.New("purges needs the block quorum")
	}
	for _, e := range s.Events {
		if e.At >= s.Length() {
			return fmt.Errorf("event %s of line %d comes at %v ms, past the end at %v ms", e.Do, e.Line, e.At, s.Length())
		}
		if !s.Quorum.On && (slices.Contains([]string{"part", "copy", "fill_disk", "delay", "reset"}, e.Do) || e.Disk != "") {
			return fmt.Errorf("event %s of line %d needs the block quorum", e.Do, e.Line)
		}
		if e.By == "gateways" && !s.Purges.On {
			return fmt.Errorf("event %s of line %d needs the block purges", e.Do, e.Line)
		}
		if s.Links.Life == 0 && slices.Contains([]string{"forge", "rotate", "withdraw"}, e.Do) {
			return fmt.Errorf("event %s of line %d needs the block links", e.Do, e.Line)
		}
		if e.Club != "" && !slices.Contains(s.Clubs, e.Club) {
			return fmt.Errorf("event %s of line %d: no club %q", e.Do, e.Line, e.Club)
		}
	}
	return nil
}

// Length is how long the traffic lasts, in ms.
func (s *Script) Length() float64 {
	last := s.Phases[len(s.Phases)-1]
	return last.From + last.For
}

// Longest is the longest expiry.
func (s *Script) Longest() float64 {
	longest := 0.0
	for _, t := range s.Types {
		longest = max(longest, t.Expiry)
	}
	return longest
}

func defaults() *Script {
	return &Script{Seed: 1, Clubs: []string{"club"}, Gateways: 3, Flow: 9.5e6, Near: 7, Far: 30, Link: 100e6,
		Box: Box{Count: 10, Cores: [2]float64{5, 8}, Slots: 4, Queue: 5, Store: 4e9, ColdShare: 0.3, ColdFor: 12_000, FallMultiple: 3,
			FallFor: 3000, FallenFor: 60_000, Fills: 5, FillTimeout: 2500, Report: 400, Probe: 0.3},
		Hub: Box{Count: 2, Cores: [2]float64{30, 30}, Slots: 100, Queue: 20, Store: 12e9, ColdShare: 0.1, ColdFor: 18_000, FallMultiple: 2,
			FallFor: 3000, FallenFor: 60_000, Fills: 100, FillTimeout: 2500, Report: 400, Probe: 0.3},
		Core: Core{Capacity: 40, Answers: 25, Crowded: 0.3, StopsFor: 6000, StopsPush: 3000},
		List: List{Told: 500, Notices: 2000, Purges: 300}, Rules: Rules{DrainGrace: 250, PurgeGrace: 500, PurgeSettles: 6000},
		Limits:  Limits{MemoryMB: 192, Sockets: 1024},
		Clients: Clients{Retries: 1, Wait: 200, Heeds: 0.8, Patience: [2]float64{0.6, 1}, Notices: 2000}}
}
