package simulator

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"poppymill/internal/gatewayconfig"
	"poppymill/router"
)

// fields reads the space-separated values of a line one by one; err keeps the first error. A "-" stands for an absent value.
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

// required reads a word that must not be absent.
func (f *fields) required() string {
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
	n, err := strconv.ParseUint(f.required(), 10, 64)
	f.fail(err)
	return n
}

// statuses maps the statuses of the protocol to the router's.
var statuses = map[string]router.Status{
	"S": router.Fulfilled, "E": router.Failed, "F": router.Rejected, "T": router.TimedOut,
	"C": router.NotConnected, "R": router.Broken, "X": router.Cancelled, "N": router.NeverSent,
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

// load reads the name:value pairs of a load report. Unknown names are passed on as they are, and values that are not finite
// numbers are left out: reports are unreliable, and a malformed one must not fail a download.
func (f *fields) load() map[string]float64 {
	w := f.word()
	if w == "" {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(w, ",") {
		name, value, ok := strings.Cut(pair, ":")
		n, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			continue
		}
		values[gatewayconfig.LoadValueName(name)] = n
	}
	return values
}

// scopes maps the scopes of a VIEW message to the router's.
var scopes = map[string]router.Scope{
	"update": router.ListChanges, "replace": router.FullList, "restored": router.RestoredList, "unavailable": router.ListUnavailable,
}

// states maps the node states of the protocol to the router's.
var states = map[string]router.State{
	"Running": router.Running, "Stopping": router.Draining, "Deleted": router.Gone,
}

// parse decodes a message into an event. It returns nil for valid messages that the router does not use.
func (h *host) parse(name string, f *fields) (router.Event, error) {
	var e router.Event
	switch name {
	case "CREATE":
		s := router.Started{Seed: f.seed()}
		var err error
		s.Settings, err = gatewayconfig.RouterSettings([]byte(f.rest))
		f.fail(err)
		e = s
	case "VIEW":
		return h.parseList(f)
	case "ACCEPT":
		a := router.DownloadArrived{ID: f.required(), Type: f.required()}
		f.word() // the customer, which the router does not use
		a.Object, a.Expiry = f.word(), f.number()
		a.Size, a.Group, a.Part = f.number(), f.integer(), f.integer()
		a.Write = f.integer()&4 != 0
		e = a
	case "OUTCOME":
		o := router.PullEnded{ID: f.required(), Pull: int(f.integer())}
		f.word() // the node, which the router knows from the pull
		o.Status, o.Duration = f.status(), f.number()
		o.DownloadDone, o.AnswerSource = f.integer() != 0, router.AnswerSource(f.integer())
		f.number() // the source's wait, which the router does not use
		o.Load = f.load()
		e = o
	case "ESTABLISHED":
		e = router.Streaming{ID: f.required(), Pull: int(f.integer())}
	case "CLIENT_GONE":
		e = router.ClientGone{ID: f.required()}
	case "WAKEUP":
		e = router.TimerFired{Token: f.integer()}
	case "VOIDED":
		e = router.Purged{Object: f.word(), Age: f.number(), Group: f.integer()}
	case "PROBED":
		p := router.Probed{Node: f.required(), Status: f.status()}
		f.number() // how long the probe took
		p.Load = f.load()
		e = p
	case "NOTE_FROM":
		return nil, nil
	default:
		return nil, errors.New("unknown message")
	}
	return e, f.err
}

// parseList decodes a VIEW message and the ITEM lines that follow it.
func (h *host) parseList(f *fields) (router.Event, error) {
	f.integer() // the revision, not needed: lists arrive whole and in order
	scopeName := f.required()
	scope, ok := scopes[scopeName]
	if !ok {
		f.fail(fmt.Errorf("unknown scope %q", scopeName))
	}
	list := router.NodesListed{Scope: scope}
	for n := f.integer(); n > 0 && f.err == nil; n-- {
		if !h.in.Scan() {
			return nil, errors.New("the list ends early")
		}
		line := h.in.Text()
		item := fields{rest: line}
		if item.word() != "ITEM" {
			return nil, fmt.Errorf("expected an ITEM, got %q", line)
		}
		var entry router.Entry
		entry.Kind = item.word()
		stateName := item.required()
		entry.State, ok = states[stateName]
		if !ok {
			item.fail(fmt.Errorf("unknown state %q", stateName))
		}
		entry.Node, entry.Weight, entry.Zone = item.required(), item.number(), item.word()
		entry.Cell, entry.StartedAt = item.integer(), item.number()
		if item.err != nil {
			return nil, fmt.Errorf("%q: %w", line, item.err)
		}
		list.Entries = append(list.Entries, entry)
	}
	return list, f.err
}
