// Package script parses rehearsal scripts: a deployment, its traffic by phase, the faults and when they occur, and the expected
// results.
//
// A script is HCL, parsed as strictly as the operator's file. Times are in milliseconds, sizes in bytes, and work in
// milliseconds of one core at speed 1.
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
	Gateways    int // assigned to the clubs round robin
	Flow        float64
	Near, Far   float64 // one-way latency in ms between a club and its own hub, and another hub
	Link        float64 // bandwidth into each club, bytes a second
	Box, Hub    Box
	Core        Core
	List        Directory
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

// Purges are the settings for purges that the gateways agree on; times in ms.
type Purges struct {
	On                       bool
	Delay, Skew, Rate, Fills float64
	Batch                    int
}

// Box describes edge caches or hubs.
type Box struct {
	Count            int
	Cores            [2]float64 // drawn from this range
	Slots, Queue     int        // jobs in service and waiting, for each core; 1 slot serves first come, first served
	Store            float64    // bytes
	ColdShare        float64    // share of its capacity right after a start
	ColdFor          float64    // ms until it has its full capacity
	OverloadMultiple float64    // work above this multiple of its capacity
	OverloadWindow   float64    // sent over this many ms makes it fail
	RestartDelay     float64    // ms until it is back
	Fills            int        // concurrent fills for each core
	FillTimeout      float64
	Report, Probe    float64 // ms between load reports; work of one probe
	Errs             float64 // share of downloads that fail transiently
	Held             float64 // share of frequently requested objects that it holds at the start
}

// Core is the member core, which produces all objects and runs the writes.
type Core struct {
	Capacity         float64 // cores
	Latency          float64 // latency in ms in addition to the work
	Congestion       float64 // relative loss of capacity for each multiple of it that is requested
	OverloadMultiple float64 // multiple of its capacity at which it fails; 0: never
	RestartDelay     float64
	OverloadWindow   float64 // ms over which that load is measured
}

// Directory is how gateways learn of boxes and purges.
type Directory struct {
	AnnounceDelay  float64 // ms from a change until it is announced
	DetectionDelay float64 // ms until the loss of a box is detected
	PurgeDelay     float64 // ms from a purge until it is announced
}

// Rules are the grace periods that the auditor allows the gateways, in ms.
type Rules struct{ DrainGrace, PurgeGrace, PurgeSettles float64 }

// Limits are resource limits of a gateway process, for runs on sockets.
type Limits struct{ MemoryMB, Sockets int }

// Type is a content type.
type Type struct {
	Name                      string
	Share                     float64 // of the downloads
	Work, Spread              float64 // mean ms to send one; sigma of the log-normal distribution of sizes
	Parts                     int
	Gap                       float64 // ms between a client's requests for successive parts
	Target, Stretch           float64
	Expiry, Fresh, Grace      float64
	Benefit, LateBenefit      float64
	Repeat, Scope             string
	Window                    float64
	Write                     bool
	Objects                   int
	Skew                      float64 // exponent of Zipf's law
	Once, Local, StaleBenefit float64 // shares of objects requested only once, at one club only; share of the benefit that an outdated copy has
}

// Clients is how clients behave.
type Clients struct {
	Retries         int
	Wait            float64
	HonorRetryAfter float64    // share that waits as long as Retry-After says
	Patience        [2]float64 // range of the expiry that clients allow, as shares of the type's expiry
	Impatient       float64    // share that leaves early
	Members         []string   // names of the members that clients belong to, as the front end reports them; none: their location
	Holds           float64    // share that already holds a copy
	DetectionDelay  float64    // ms until the front end notices that a gateway died
}

// Links is how clients use signed links; off if Life is 0.
type Links struct {
	Life    float64 // validity of a link, in ms
	Renew   float64 // ms that renewal adds to a link's validity
	Doubled float64 // share of writes sent twice at once under one link
	Boxes   float64 // validity of a gateway's own link for a box, in ms; 0: boxes require none
	Checks  float64 // signatures a second that a gateway checks for one source
}

// Fair enables the gateways' fair admission: shares by club and client, writes first.
type Fair struct {
	On      bool
	Longest float64 // longest wait in ms that clients may be told
}

// Quorum gives the gateways a consensus group; in virtual time it only serves to prefill caches.
type Quorum struct {
	On                    bool
	Voters                int // the first so many gateways
	Beat, Election, Lease float64
	Replace               float64 // ms that a voter must be gone before it is replaced
	Warm                  int     // steps of the job that prefills a recently started cache; 0: none
}

// Job is a job submitted for the whole fleet.
type Job struct {
	Name, Type            string // Type: safe, keyed or unsafe
	At                    float64
	Steps, Window, Places int // Places: steps go to the first so many gateways in turn; 0: to the job's owner
}

// Phase is a period with its traffic and expectations.
type Phase struct {
	Name      string
	From, For float64
	Rate      float64 // downloads a second, without retries
	Expect    Expect
}

// Expect holds the expectations for a phase; zero values are not checked.
type Expect struct {
	InTime             float64 // least share of operations that succeed within the target time
	Throttled          float64 // highest share of all attempts
	CoreRate           float64 // most requests at the member core in any second
	Hits, HitsWithin   float64 // share of pulls answered from the edge's stores, reached within so many ms of the phase's start
	Renewals, Abandons float64 // least share of writes that succeed; highest share of all attempts that are abandoned
}

// Event is a fault or another scheduled event. The meaning of a field depends on Kind; Line is its line in the script.
type Event struct {
	Kind                string
	Line                int
	Number              int // position among the events; keys the random draws, so that an added comment changes nothing
	At, Duration, Every float64
	Times               int
	On, Name            string // kind of its targets, or the name of one
	Share, Factor       float64
	Count               int
	Spread              float64 // ms over which its targets are spread
	SameAddress         bool
	Delay               float64
	Groups              int
	Club                string
	Kiosks              int
	Member              string // member that kiosks belong to
	OneWay              bool   // only outgoing traffic of the chosen gateways is cut
	Announcer           string // who announces a purge: channel or gateways
	Disk                string // state of a killed gateway: kept, lost, or old (as of the last copy)
}

// The kinds of events, with their possible targets (the first is the default), and those that need a duration.
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

// EventKinds lists the kinds of events with their targets, for messages.
func EventKinds() []string {
	var all []string
	for d, on := range eventTargets {
		all = append(all, d+" ("+strings.Join(on, ", ")+")")
	}
	slices.Sort(all)
	return all
}

// Load reads a script and names it after its file. A script may name a site, a file next to it that holds the deployment, types
// and clients of several scripts; the script's own settings override those of the site.
func Load(path string) (*Script, error) {
	text, err := operator.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := defaults()
	site, err := operator.PeekString(text, path, "site")
	if err == nil && site != "" {
		site = filepath.Join(filepath.Dir(path), site)
		var common []byte
		if common, err = operator.ReadFile(site); err == nil {
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

// Parse parses the text of a script that names no site.
func Parse(text []byte, file string) (*Script, error) {
	s := defaults()
	if err := s.parse(text, file); err != nil {
		return nil, err
	}
	return s, nil
}

// siteFields are the blocks that a site may contain.
func (s *Script) siteFields() []operator.Field {
	var seen []string
	return []operator.Field{operator.SingleBlock("deployment", s.deployment), operator.SingleBlock("clients", s.Clients.fields),
		operator.Block("type", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			if slices.Contains(seen, labels[0]) {
				return nil, errors.New("stands twice")
			}
			seen = append(seen, labels[0])
			t := Type{Name: labels[0], Parts: 1, Spread: 0.5, Target: 500, Expiry: 3000, Benefit: 1, Repeat: "retriable",
				Scope: "all", Window: 5000, Objects: 2000, Skew: 1, StaleBenefit: 0.7}
			i := slices.IndexFunc(s.Types, func(t Type) bool { return t.Name == labels[0] })
			if i < 0 {
				s.Types, i = append(s.Types, t), len(s.Types)
			} else {
				s.Types[i] = t
			}
			return s.Types[i].fields(), nil // parsed before the next append moves the elements
		})}
}

func (s *Script) parse(text []byte, file string) error {
	site := ""
	err := operator.Parse(text, file, append(s.siteFields(), operator.Attr("site", operator.String(&site)),
		operator.RequiredAttr("about", operator.String(&s.About)), operator.Attr("seed", operator.Int(&s.Seed, 0, 1<<30)),
		operator.SingleBlock("links", s.Links.fields), operator.SingleBlock("fair", s.Fair.fields), operator.SingleBlock("quorum", s.Quorum.fields),
		operator.SingleBlock("purges", s.Purges.fields),
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
			return s.Jobs[len(s.Jobs)-1].fields(), nil // parsed before the next append moves the elements
		}),
		operator.Block("event", []string{"do"}, func(labels []string, line int) ([]operator.Field, error) {
			if eventTargets[labels[0]] == nil {
				return nil, fmt.Errorf("is none of %s", strings.Join(EventKinds(), ", "))
			}
			s.Events = append(s.Events, Event{Kind: labels[0], Line: line, Number: len(s.Events), On: eventTargets[labels[0]][0], Times: 1})
			return s.Events[len(s.Events)-1].fields(), nil
		}),
		operator.Check(s.validate))...)
	slices.SortStableFunc(s.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return err
}

// validate checks conditions across blocks.
func (s *Script) validate() error {
	shareSum := 0.0
	for _, t := range s.Types {
		shareSum += t.Share
	}
	switch {
	case len(s.Types) == 0:
		return errors.New("no content type is defined")
	case len(s.Phases) == 0:
		return errors.New("no phase is defined")
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
			return fmt.Errorf("event %s of line %d comes at %v ms, past the end at %v ms", e.Kind, e.Line, e.At, s.Length())
		}
		if !s.Quorum.On && (slices.Contains([]string{"part", "copy", "fill_disk", "delay", "reset"}, e.Kind) || e.Disk != "") {
			return fmt.Errorf("event %s of line %d needs the block quorum", e.Kind, e.Line)
		}
		if e.Announcer == "gateways" && !s.Purges.On {
			return fmt.Errorf("event %s of line %d needs the block purges", e.Kind, e.Line)
		}
		if s.Links.Life == 0 && slices.Contains([]string{"forge", "rotate", "withdraw"}, e.Kind) {
			return fmt.Errorf("event %s of line %d needs the block links", e.Kind, e.Line)
		}
		if e.Club != "" && !slices.Contains(s.Clubs, e.Club) {
			return fmt.Errorf("event %s of line %d: no club %q", e.Kind, e.Line, e.Club)
		}
	}
	return nil
}

// Length is the duration of the traffic, in ms.
func (s *Script) Length() float64 {
	last := s.Phases[len(s.Phases)-1]
	return last.From + last.For
}

// LongestExpiry is the longest expiry, in ms.
func (s *Script) LongestExpiry() float64 {
	longest := 0.0
	for _, t := range s.Types {
		longest = max(longest, t.Expiry)
	}
	return longest
}

func defaults() *Script {
	return &Script{Seed: 1, Clubs: []string{"club"}, Gateways: 3, Flow: 9.5e6, Near: 7, Far: 30, Link: 100e6,
		Box: Box{Count: 10, Cores: [2]float64{5, 8}, Slots: 4, Queue: 5, Store: 4e9, ColdShare: 0.3, ColdFor: 12_000, OverloadMultiple: 3,
			OverloadWindow: 3000, RestartDelay: 60_000, Fills: 5, FillTimeout: 2500, Report: 400, Probe: 0.3},
		Hub: Box{Count: 2, Cores: [2]float64{30, 30}, Slots: 100, Queue: 20, Store: 12e9, ColdShare: 0.1, ColdFor: 18_000, OverloadMultiple: 2,
			OverloadWindow: 3000, RestartDelay: 60_000, Fills: 100, FillTimeout: 2500, Report: 400, Probe: 0.3},
		Core: Core{Capacity: 40, Latency: 25, Congestion: 0.3, RestartDelay: 6000, OverloadWindow: 3000},
		List: Directory{AnnounceDelay: 500, DetectionDelay: 2000, PurgeDelay: 300}, Rules: Rules{DrainGrace: 250, PurgeGrace: 500, PurgeSettles: 6000},
		Limits:  Limits{MemoryMB: 192, Sockets: 1024},
		Clients: Clients{Retries: 1, Wait: 200, HonorRetryAfter: 0.8, Patience: [2]float64{0.6, 1}, DetectionDelay: 2000}}
}
