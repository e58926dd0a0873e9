package gateway

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"poppymill/internal/clients"
	"poppymill/internal/fair"
	"poppymill/internal/gatewayconfig"
	"poppymill/internal/operator"
)

// Fairness is the block "fair" of the operator's file: how the gateway's capacity is shared among clubs and clients.
type Fairness struct {
	On            bool
	Club          string   // where the club's name is found, as in "header X-Club"; empty: all clients are of one club
	Client        string   // where the client's name is found: "link", "address" or "header NAME"
	PriorityTypes []string // types that are admitted ahead of the others
	Settings      fair.Settings
}

// Fields returns the fields of the block, set to their defaults. A file with the block enables fair admission.
func (f *Fairness) Fields() []operator.Field {
	*f = Fairness{On: true, Client: "address", Settings: fair.Defaults()}
	s := &f.Settings
	s.Weights = map[string]float64{}
	return []operator.Field{
		operator.Attr("club", operator.String(&f.Club)), operator.Attr("client", operator.String(&f.Client)),
		operator.Attr("ahead", operator.StringList(&f.PriorityTypes)),
		operator.Attr("clubs", operator.Int(&s.Clubs, 1, 4096)), operator.Attr("flows", operator.Int(&s.Flows, 16, 1<<20)),
		operator.Attr("heavy", operator.Int(&s.HeavyClients, 0, 4096)),
		operator.Attr("change", operator.Duration(&s.ReseedInterval, 100*time.Millisecond, time.Hour)),
		operator.Attr("queue", operator.Int(&s.Queue, 1, 1<<20)),
		operator.Attr("slack", operator.Duration(&s.Slack, time.Millisecond, 10*time.Second)),
		operator.Attr("booked", operator.Share(&s.BookableShare)),
		operator.Attr("longest_wait", operator.Duration(&s.MaxWait, 0, 25*time.Second)),
		operator.Block("weight", []string{"club"}, func(labels []string, _ int) ([]operator.Field, error) {
			if _, defined := s.Weights[labels[0]]; defined {
				return nil, errors.New("is defined twice")
			}
			weight := 0.0
			return []operator.Field{operator.RequiredAttr("is", operator.Number(&weight, 0.01, 1000)),
				operator.Check(func() error { s.Weights[labels[0]] = weight; return nil })}, nil
		}),
		operator.Check(func() error {
			if _, ok := headerParam(f.Club); f.Club != "" && !ok {
				return fmt.Errorf("club: %q is not \"header NAME\"", f.Club)
			}
			if _, ok := headerParam(f.Client); !ok && f.Client != "link" && f.Client != "address" {
				return fmt.Errorf("client: %q is neither \"link\", \"address\" nor \"header NAME\"", f.Client)
			}
			return nil
		}),
	}
}

// needsRestart reports whether a block differs from that of the start in what a running gateway does not take up.
func (f Fairness) needsRestart(start Fairness) bool {
	f.PriorityTypes, f.Settings.Weights = start.PriorityTypes, start.Settings.Weights
	return !reflect.DeepEqual(f, start)
}

// headerParam returns the CGI param of the header in "header NAME", and whether text has this form.
func headerParam(text string) (string, bool) {
	name, ok := strings.CutPrefix(text, "header ")
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")), ok && name != ""
}

// Params returns the names of the params that identify the client of a request.
func (f *Fairness) Params() (all []string) {
	if !f.On {
		return nil
	}
	for _, text := range []string{f.Club, f.Client} {
		if p, ok := headerParam(text); ok {
			all = append(all, p)
		}
	}
	return append(all, "REMOTE_ADDR", ticketParam)
}

// ticketParam carries the ticket of an appointment that an earlier throttled answer gave the client.
const ticketParam = "HTTP_X_TICKET"

// fairAdmission is the core's state for fair admission; nil if disabled.
type fairAdmission struct {
	controller *fair.Controller
	block      Fairness
	timer      *timer
	costs      map[string]*meanCost
}

// meanCost is the mean time that downloads of a type take. It adapts slowly, so that congestion is not mistaken for
// size.
type meanCost struct{ n, mean float64 }

func (m *meanCost) add(took float64) {
	m.n++
	m.mean += (took - m.mean) / min(m.n, 2000)
}

// EnableFairAdmission makes the core admit downloads by fair shares.
func (g *Core) EnableFairAdmission(controller *fair.Controller, block Fairness) {
	g.fair = &fairAdmission{controller: controller, block: block, costs: map[string]*meanCost{}}
}

// FairnessChanged reports that the block "fair" was reloaded.
type FairnessChanged struct{ Block Fairness }

// requestFairAdmission asks the fair admission controller to admit an accepted download.
func (g *Core) requestFairAdmission(d *download, params map[string]string) {
	f := g.fair
	ask := fair.Request{At: g.now, ID: d.id, Object: d.object, Part: d.part, Expiry: d.expiry, Ticket: params[ticketParam],
		Priority: slices.Contains(f.block.PriorityTypes, d.typ)}
	if p, ok := headerParam(f.block.Club); ok {
		ask.Club = params[p]
	}
	switch p, ok := headerParam(f.block.Client); {
	case ok:
		ask.Client = params[p]
	case f.block.Client == "link" && d.link != nil:
		ask.Client = d.link.client
	default:
		ask.Client = params["REMOTE_ADDR"]
	}
	ask.Cost = g.expectedCost(d.typ)
	typ := g.config.Types[slices.IndexFunc(g.config.Types, func(t gatewayconfig.ContentType) bool { return t.Name == d.typ })]
	ask.Target = min(g.now+typ.Target+typ.Stretch*ask.Cost, d.expiry)
	d.share = &fairShare{target: ask.Target}
	g.executeFair(f.controller.Request(ask))
}

// fairShare is the state of a download at the fair admission controller.
type fairShare struct {
	target     float64 // target time, by the core's clock
	admittedAt float64
	admitted   bool
}

// expectedCost returns the expected sending time of a type in ms; a quarter of its target until a download was measured.
func (g *Core) expectedCost(typ string) float64 {
	if m := g.fair.costs[typ]; m != nil && m.n > 0 {
		return max(0.1, m.mean)
	}
	for _, t := range g.config.Types {
		if t.Name == typ {
			return max(0.1, t.Target/4)
		}
	}
	return 1
}

// executeFair executes the actions of the fair admission controller and sets its timer.
func (g *Core) executeFair(actions []fair.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fair.Admit:
			if d := g.downloads[a.ID]; d != nil && !d.answered {
				d.share.admitted, d.share.admittedAt = true, g.now
				g.proceed(d)
			}
		case fair.Throttle:
			if d := g.downloads[a.ID]; d != nil && !d.answered {
				g.Throttled++
				g.answer(d, clients.Answer{Status: 503, RetryAfter: a.Wait, Link: ticketLink(a.Ticket)})
			}
		}
	}
	f := g.fair
	g.timers.remove(f.timer)
	f.timer = nil
	if at, ok := f.controller.Next(); ok {
		f.timer = g.timers.push(timer{at: at})
	}
}

// ticketLink returns the link that carries a ticket to the client; nil if there is none.
func ticketLink(text string) *clients.Link {
	if text == "" {
		return nil
	}
	return &clients.Link{Ticket: text}
}

// releaseShare tells the fair admission controller how an admitted download ended, or that a waiting one is gone.
func (g *Core) releaseShare(d *download, status int) {
	f := g.fair
	if f == nil {
		return
	}
	if d.share == nil || !d.share.admitted {
		if status != 503 { // the controller already knows those that it throttled
			g.executeFair(f.controller.Disconnected(g.now, d.id))
		}
		return
	}
	end, cost := fair.Aborted, 0.0
	switch status {
	case 200:
		if end = fair.InTime; g.now > d.share.target {
			end = fair.Late
		}
		mean := f.costs[d.typ]
		if mean == nil {
			mean = &meanCost{}
			f.costs[d.typ] = mean
		}
		mean.add(g.now - d.share.admittedAt)
	case 503:
		end = fair.Rejected
	}
	g.executeFair(f.controller.Ended(g.now, d.id, end, cost))
}

// FairStats describes the state of the fair admission controller and its heaviest clubs for the log; empty if disabled.
func (g *Core) FairStats() string {
	if g.fair == nil {
		return ""
	}
	controller := g.fair.controller
	open, waiting, limit, stretch, fastest := controller.Stats()
	text := fmt.Sprintf("open %d of %.0f, waiting %d, takes %.1f of its cost, %.1f at the quickest; %+v",
		open, limit, waiting, stretch, fastest, controller.Counters)
	for _, club := range controller.TopClubs(3) {
		text += fmt.Sprintf("; %q asked %d admitted %d throttled %d", club.Name, club.Asked, club.Admitted, club.Throttled)
	}
	return text
}
