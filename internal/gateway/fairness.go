package gateway

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"poppymill/internal/clients"
	"poppymill/internal/fair"
	"poppymill/internal/footprint"
	"poppymill/internal/operator"
)

// Fairness is the block fair of the operator's file.
type Fairness struct {
	On       bool
	Club     string // param that names the club, as "header X-Club"; empty: all are of one
	Client   string // "link", "address", or "header NAME"
	Ahead    []string
	Settings fair.Settings
}

// Fields reads the block; it turns the fair door on.
func (f *Fairness) Fields() []operator.Field {
	*f = Fairness{On: true, Client: "address", Settings: fair.Defaults()}
	s := &f.Settings
	s.Weights = map[string]float64{}
	return []operator.Field{
		operator.Attr("club", operator.Text(&f.Club)), operator.Attr("client", operator.Text(&f.Client)), operator.Attr("ahead", operator.Texts(&f.Ahead)),
		operator.Attr("clubs", operator.Whole(&s.Clubs, 1, 4096)), operator.Attr("flows", operator.Whole(&s.Flows, 16, 1<<20)),
		operator.Attr("heavy", operator.Whole(&s.Heavy, 0, 4096)), operator.Attr("change", operator.Span(&s.Change, 100*time.Millisecond, time.Hour)),
		operator.Attr("queue", operator.Whole(&s.Queue, 1, 1<<20)), operator.Attr("slack", operator.Span(&s.Slack, time.Millisecond, 10*time.Second)),
		operator.Attr("booked", operator.Share(&s.Booked)), operator.Attr("longest_wait", operator.Span(&s.Longest, 0, 25*time.Second)),
		operator.Block("weight", []string{"club"}, func(labels []string, _ int) ([]operator.Field, error) {
			if _, twice := s.Weights[labels[0]]; twice {
				return nil, errors.New("stands twice")
			}
			w := 0.0
			return []operator.Field{operator.Must("is", operator.Number(&w, 0.01, 1000)),
				operator.Check(func() error { s.Weights[labels[0]] = w; return nil })}, nil
		}),
		operator.Check(func() error {
			if _, ok := param(f.Club); f.Club != "" && !ok {
				return fmt.Errorf("club: %q is not \"header NAME\"", f.Club)
			}
			if _, ok := param(f.Client); !ok && f.Client != "link" && f.Client != "address" {
				return fmt.Errorf("client: %q is neither \"link\", \"address\" nor \"header NAME\"", f.Client)
			}
			return nil
		}),
	}
}

// param is the CGI name of what "header NAME" says.
func param(text string) (string, bool) {
	name, ok := strings.CutPrefix(text, "header ")
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")), ok && name != ""
}

// Params names the fields of a request that tell whose it is.
func (f *Fairness) Params() (all []string) {
	if !f.On {
		return nil
	}
	for _, text := range []string{f.Club, f.Client} {
		if p, ok := param(text); ok {
			all = append(all, p)
		}
	}
	return append(all, "REMOTE_ADDR", ticketParam)
}

const ticketParam = "HTTP_X_TICKET"

// fairDoor is what a core has to do with fair shares; nil where they are off.
type fairDoor struct {
	gate  *fair.Gate
	block Fairness
	timer *timer
	costs map[string]*meanCost
}

// meanCost is what a download of a type takes, slowly learnt, so that a jam does not pass for its size.
type meanCost struct{ n, mean float64 }

func (m *meanCost) add(took float64) {
	m.n++
	m.mean += (took - m.mean) / min(m.n, 2000)
}

// Share has a core let downloads in by fair shares.
func (g *Core) Share(gate *fair.Gate, block Fairness) {
	g.fair = &fairDoor{gate: gate, block: block, costs: map[string]*meanCost{}}
}

// Reweighed is a block fair that holds from now on.
type Reweighed struct{ Block Fairness }

// queue brings a download that was taken to the fair door.
func (g *Core) queue(d *download, params map[string]string) {
	f := g.fair
	a := fair.Ask{At: g.now, ID: d.id, Object: d.object, Part: d.part, Expiry: d.expiry, Ticket: params[ticketParam],
		Ahead: slices.Contains(f.block.Ahead, d.typ)}
	if p, ok := param(f.block.Club); ok {
		a.Club = params[p]
	}
	switch p, ok := param(f.block.Client); {
	case ok:
		a.Client = params[p]
	case f.block.Client == "link" && d.link != nil:
		a.Client = d.link.client
	default:
		a.Client = params["REMOTE_ADDR"]
	}
	a.Cost = g.cost(d.typ)
	t := g.config.Types[slices.IndexFunc(g.config.Types, func(t footprint.Type) bool { return t.Name == d.typ })]
	a.Target = min(g.now+t.Target+t.Stretch*a.Cost, d.expiry)
	d.share = &sharing{target: a.Target}
	g.shared(f.gate.Ask(a))
}

// sharing is what the fair door means to a download.
type sharing struct {
	target   float64 // when it is wanted, on the clock
	let      float64 // when it was let in
	admitted bool
}

// cost is the expected sending time of a type; half its target until some were seen.
func (g *Core) cost(typ string) float64 {
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

// shared carries out what the fair door decides.
func (g *Core) shared(actions []fair.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fair.Admit:
			if d := g.downloads[a.ID]; d != nil && !d.answered {
				d.share.admitted, d.share.let = true, g.now
				g.proceed(d)
			}
		case fair.Throttle:
			if d := g.downloads[a.ID]; d != nil && !d.answered {
				g.Throttled++
				g.answer(d, clients.Answer{Status: 503, Wait: a.Wait, Link: ticketOf(a.Ticket)})
			}
		}
	}
	f := g.fair
	g.timers.remove(f.timer)
	f.timer = nil
	if at, ok := f.gate.Next(); ok {
		f.timer = g.timers.push(timer{at: at})
	}
}

func ticketOf(text string) *clients.Link {
	if text == "" {
		return nil
	}
	return &clients.Link{Ticket: text}
}

// freed tells the fair door how a download ended that it had let in, or that one is gone that waits.
func (g *Core) freed(d *download, status int) {
	f := g.fair
	if f == nil {
		return
	}
	if d.share == nil || !d.share.admitted {
		if status != 503 { // who was turned away by the door is known there
			g.shared(f.gate.Left(g.now, d.id))
		}
		return
	}
	end, cost := fair.Gone, 0.0
	switch status {
	case 200:
		if end = fair.InTime; g.now > d.share.target {
			end = fair.Late
		}
		m := f.costs[d.typ]
		if m == nil {
			m = &meanCost{}
			f.costs[d.typ] = m
		}
		m.add(g.now - d.share.let)
	case 503:
		end = fair.TurnedAway
	}
	g.shared(f.gate.Ended(g.now, d.id, end, cost))
}

// Shares tells how the fair door stands, and for whom most was let in; empty where it is off.
func (g *Core) Shares() string {
	if g.fair == nil {
		return ""
	}
	k := g.fair.gate
	open, waits, limit, stretch, quick := k.Stands()
	text := fmt.Sprintf("open %d of %.0f, waiting %d, takes %.1f of its cost, %.1f at the quickest; %+v", open, limit, waits, stretch, quick, k.Counters)
	for _, c := range k.Heaviest(3) {
		text += fmt.Sprintf("; %q asked %d admitted %d throttled %d", c.Name, c.Asked, c.Admitted, c.Throttled)
	}
	return text
}
