package nimbus

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"poppymill/internal/footprint"
	"poppymill/router"
)

// fields takes the values of a line one by one; the first that is malformed stays in err.
type fields struct {
	rest string
	err  error
}

func (f *fields) word() string {
	w, rest, _ := strings.Cut(f.rest, " ")
	f.rest = rest
	if w == "-" {
		return ""
	}
	return w
}

// need is a word that may not be absent.
func (f *fields) need() string {
	w := f.word()
	if w == "" {
		f.fail(errors.New("a value is missing"))
	}
	return w
}

func (f *fields) fail(err error) {
	if err != nil && f.err == nil {
		f.err = err
	}
}

func (f *fields) number() float64 {
	w := f.word()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseFloat(w, 64)
	f.fail(err)
	return n
}

func (f *fields) integer() int64 {
	w := f.word()
	if w == "" {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	f.fail(err)
	return n
}

func (f *fields) seed() uint64 {
	n, err := strconv.ParseUint(f.need(), 10, 64)
	f.fail(err)
	return n
}

var statuses = map[string]router.Status{
	"S": router.Fulfilled, "E": router.Failed, "F": router.TurnedAway, "T": router.TimedOut,
	"C": router.NotConnected, "R": router.Broken, "X": router.CalledOff, "N": router.NeverSent,
	"M": router.Missed,
}

func (f *fields) status() router.Status {
	w := f.word()
	s, ok := statuses[w]
	if !ok {
		f.fail(fmt.Errorf("unknown status %q", w))
	}
	return s
}

// load reads name:value pairs; names that are not known are passed on as they are, and what is no number is left
// out: reports are hearsay, and a download must not hang on one.
func (f *fields) load() map[string]float64 {
	w := f.word()
	if w == "" {
		return nil
	}
	load := map[string]float64{}
	for pair := range strings.SplitSeq(w, ",") {
		name, value, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			continue
		}
		load[footprint.Report(name)] = n
	}
	return load
}

var scopes = map[string]router.Scope{
	"update": router.Changes, "replace": router.Whole, "restored": router.Restored, "unavailable": router.NoList,
}

var states = map[string]router.State{
	"Running": router.Running, "Stopping": router.Draining, "Deleted": router.Gone,
}

// parse turns a line into an event; nil for messages that are legal and of no use to a router.
func (h *host) parse(name string, f *fields) (router.Event, error) {
	var e router.Event
	switch name {
	case "CREATE":
		s := router.Started{Seed: f.seed()}
		var err error
		s.Footprint, err = footprint.Read([]byte(f.rest))
		f.fail(err)
		e = s
	case "VIEW":
		return h.list(f)
	case "ACCEPT":
		a := router.Arrived{ID: f.need(), Type: f.need()}
		f.word() // the customer, who weighs nothing here
		a.Object, a.Expiry = f.word(), f.number()
		a.Size, a.Group, a.Part = f.number(), f.integer(), f.integer()
		a.Write = f.integer()&4 != 0
		e = a
	case "OUTCOME":
		o := router.Ended{ID: f.need(), Pull: int(f.integer())}
		f.word() // the node, which the router knows by the pull
		o.Status, o.Took = f.status(), f.number()
		o.Closed, o.Note = f.integer() != 0, router.Note(f.integer())
		f.number() // the source's wait
		o.Load = f.load()
		e = o
	case "ESTABLISHED":
		e = router.Streaming{ID: f.need(), Pull: int(f.integer())}
	case "CLIENT_GONE":
		e = router.Left{ID: f.need()}
	case "WAKEUP":
		e = router.Rang{Token: f.integer()}
	case "VOIDED":
		e = router.Purged{Object: f.word(), Age: f.number(), Group: f.integer()}
	case "PROBED":
		p := router.Probed{Node: f.need(), Status: f.status()}
		f.number() // how long it took
		p.Load = f.load()
		e = p
	case "NOTE_FROM":
		return nil, nil
	default:
		return nil, errors.New("unknown message")
	}
	return e, f.err
}

func (h *host) list(f *fields) (router.Event, error) {
	f.integer() // the revision: lists come in order and whole
	word := f.need()
	scope, ok := scopes[word]
	if !ok {
		f.fail(fmt.Errorf("unknown scope %q", word))
	}
	l := router.Listed{Scope: scope}
	for n := f.integer(); n > 0 && f.err == nil; n-- {
		if !h.in.Scan() {
			return nil, errors.New("the list ends early")
		}
		line := h.in.Text()
		i := fields{rest: line}
		if i.word() != "ITEM" {
			return nil, fmt.Errorf("expected an ITEM, got %q", line)
		}
		var e router.Entry
		e.Kind = i.word()
		state := i.need()
		e.State, ok = states[state]
		if !ok {
			i.fail(fmt.Errorf("unknown state %q", state))
		}
		e.Node, e.Weight, e.Zone = i.need(), i.number(), i.word()
		e.Cell, e.Booted = i.integer(), i.number()
		if i.err != nil {
			return nil, fmt.Errorf("%q: %w", line, i.err)
		}
		l.Entries = append(l.Entries, e)
	}
	return l, f.err
}
