package fair

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Gate decides who goes on to the router. It belongs to one goroutine.
type Gate struct {
	Counters
	settings Settings
	now      float64
	born     float64
	seed     uint64
	changed  float64
	clubs    map[string]*Club
	others   []*Club
	heavy    *heavies
	virtual  float64
	backlog  order[*Club]
	due      order[*waiting]
	waits    map[string]*waiting
	open     map[string]admitted
	limit    limit
	calendar *calendar
	recent   []uint64 // digests of what was turned away lately, to know a retry
	made     int
	out      []Action
}

type admitted struct {
	club *Club
	flow *flow
	cost float64
	at   float64
}

// New makes a gate. The seed keys its hashes and must be other at each start.
func New(s Settings, seed uint64, at float64) *Gate {
	g := &Gate{settings: s, now: at, born: at, changed: at, seed: seed, clubs: map[string]*Club{}, heavy: newHeavies(s.Heavy), waits: map[string]*waiting{},
		open: map[string]admitted{}, limit: limit{least: s.Least, most: math.Inf(1)}, calendar: newCalendar(s), recent: make([]uint64, 4*s.Flows)}
	for i := range s.Clubs {
		g.others = append(g.others, g.newClub(fmt.Sprint("other ", i), 1))
	}
	return g
}

func (g *Gate) index() int { g.made++; return g.made }

func (g *Gate) newClub(name string, weight float64) *Club {
	c := &Club{Name: name, weight: weight, place: -1, index: g.index()}
	g.lay(c)
	return c
}

// lay makes a club's hashed places anew. What waits in the old ones is served from there.
func (g *Gate) lay(c *Club) {
	c.hashed = make([]*flow, max(4, g.settings.Flows))
	for i := range c.hashed {
		c.hashed[i] = &flow{place: -1, index: g.index(), club: c}
	}
}

// flowOf finds the flow of a client: its own where it is heavy, else one that it shares with those whose hashes meet its.
func (g *Gate) flowOf(c *Club, a Ask) *flow {
	h := g.heavy.add(digest(0, "heavy", a.Club, a.Client), a.Cost, g.index)
	if h != nil && h.cost > g.share() {
		if f := h.flow; f.club == c || f.place < 0 && f.line.head() == nil {
			f.club = c
			return f
		}
	}
	return c.hashed[digest(g.seed, "client", a.Club, a.Client)%uint64(len(c.hashed))]
}

// Weights takes up other weights; what waits or is booked stays.
func (g *Gate) Weights(w map[string]float64) {
	g.settings.Weights = w
	for _, c := range g.clubs {
		c.weight = weight(w, c.Name)
	}
}

func weight(w map[string]float64, name string) float64 {
	if x := w[name]; x > 0 {
		return x
	}
	return 1
}

// clubOf finds a club, or makes it while there is a place; the longest silent one goes for it.
func (g *Gate) clubOf(name string) *Club {
	c := g.clubs[name]
	if c == nil {
		if len(g.clubs) >= g.settings.Clubs {
			var idle *Club
			for _, o := range g.clubs {
				if !o.backlogged() && o.used < g.now-g.settings.Change && (idle == nil || o.used < idle.used || o.used == idle.used && o.index < idle.index) {
					idle = o
				}
			}
			if idle == nil {
				c = g.others[digest(g.seed, "club", name)%uint64(len(g.others))]
				c.used = g.now
				return c
			}
			delete(g.clubs, idle.Name)
		}
		c = g.newClub(name, weight(g.settings.Weights, name))
		g.clubs[name] = c
	}
	c.used = g.now
	return c
}

// Ask brings a download to the door.
func (g *Gate) Ask(a Ask) []Action {
	g.begin(a.At)
	g.Asked++
	c := g.clubOf(a.Club)
	c.Asked++
	who := digest(0, "appointment", a.Club, a.Client, a.Object, fmt.Sprint(a.Part))
	if r := &g.recent[who%uint64(len(g.recent))]; *r == who {
		g.Retries++
		*r = 0
	}
	// Twice the mean is left, as sizes differ much: with once it, half of what waited to the last was late after all.
	w := &waiting{Ask: a, club: c, flow: g.flowOf(c, a), cost: a.Cost, place: -1, gone: min(a.Target-2*a.Cost*g.limit.stretch(g.now), a.Expiry-1)}
	switch {
	case g.kept(w, who):
		g.Kept++
		g.charge(w)
		g.admit(w)
	case len(g.due) == 0 && float64(len(g.open)) < g.room():
		g.charge(w)
		g.admit(w)
	case w.gone <= g.now || g.hopeless(w):
		g.throttle(w)
	default:
		g.wait(w)
	}
	return g.done()
}

// share is the cost from which on a client is heavy: its part in as many as are told apart.
func (g *Gate) share() float64 {
	sum := 0.0
	for i := range g.heavy.places {
		sum += g.heavy.places[i].cost
	}
	return sum / float64(max(1, 2*len(g.heavy.places)))
}

// hopeless tells whether its own flow has so much waiting that its part of what is carried can't bring it in its time.
func (g *Gate) hopeless(w *waiting) bool {
	ahead, flows := 0.0, 1
	for x := w.flow.line.first; x != nil; x = x.next {
		if !x.over {
			ahead += x.cost
		}
	}
	weights := 0.0
	for _, c := range g.backlog {
		if c != w.club {
			weights += c.weight
		}
	}
	flows = max(flows, len(w.club.flows))
	rate := g.limit.rate(g.now) * w.club.weight / (weights + w.club.weight) / float64(flows)
	return ahead > 0 && rate > 0 && ahead/rate > w.gone-g.now
}

// kept tells whether a download comes by an appointment at its time.
func (g *Gate) kept(w *waiting, who uint64) bool {
	if w.Ticket != "" {
		index, serial, ok := readTicket(g.settings.TicketKey, w.Ticket, who)
		if !ok {
			g.Forged++
			return false
		}
		return g.calendar.redeemTicket(g.now, index, serial, who, g.born)
	}
	return g.calendar.redeem(g.now, who)
}

// room is how many downloads may be open before newcomers have to wait: what is booked for now is kept free.
func (g *Gate) room() float64 {
	if math.IsInf(g.limit.most, 1) {
		return g.limit.most
	}
	span := 2*g.settings.Slack + g.settings.Slot
	return max(g.settings.Least, g.limit.most-min(g.settings.Booked*g.limit.most, g.calendar.expected(g.now)/span))
}

// charge sets a download's tags: its flow pays for it from now on.
func (g *Gate) charge(w *waiting) {
	w.club.finish = max(g.virtual, w.club.finish) + w.cost/w.club.weight
	w.flow.finish = max(w.club.virtual, w.flow.finish) + w.cost
}

// wait queues a download in its flow. Where the door is full, the last of whoever has most waiting for its weight goes.
func (g *Gate) wait(w *waiting) {
	if len(g.due) >= g.settings.Queue {
		if last := g.longest(); last == nil || last.club == w.club && last.flow == w.flow {
			g.throttle(w)
			return
		} else {
			g.throttle(last)
		}
	}
	g.Waited++
	g.waits[w.ID] = w
	heap.Push(&g.due, w)
	c := w.club
	if w.Ahead {
		c.ahead.put(w)
	} else {
		w.flow.line.put(w)
		if w.flow.place < 0 {
			w.flow.start = max(c.virtual, w.flow.finish)
			heap.Push(&c.flows, w.flow)
		}
	}
	if c.place < 0 {
		c.start = max(g.virtual, c.finish)
		heap.Push(&g.backlog, c)
	}
}

// longest is the last waiting download of the flow that has most waiting, in the club that has most for its weight.
func (g *Gate) longest() (last *waiting) {
	worst := 0.0
	costs := map[*Club]float64{}
	for _, w := range g.due {
		costs[w.club] += w.cost / w.club.weight
	}
	var at *Club
	for _, c := range g.backlog {
		if costs[c] > worst {
			at, worst = c, costs[c]
		}
	}
	if at == nil {
		return nil
	}
	worst = 0
	for _, f := range at.flows {
		sum := 0.0
		var end *waiting
		for w := f.line.first; w != nil; w = w.next {
			if !w.over {
				sum += w.cost
				end = w
			}
		}
		if sum > worst {
			last, worst = end, sum
		}
	}
	return last
}

// serve lets in as long as there is room: the club with the least start tag, in it what goes ahead, then the flow with the
// least.
func (g *Gate) serve() {
	for len(g.backlog) > 0 && float64(len(g.open)) < g.room() {
		c := g.backlog[0]
		if !c.backlogged() {
			heap.Pop(&g.backlog)
			continue
		}
		g.virtual = max(g.virtual, c.start)
		w := c.ahead.head()
		if w != nil {
			c.ahead.pop()
			w.flow.finish = max(c.virtual, w.flow.finish) + w.cost
		} else {
			f := next(&c.flows)
			c.virtual = max(c.virtual, f.start)
			w = f.line.pop()
			f.finish = f.start + w.cost
			if f.line.head() != nil {
				f.start = max(c.virtual, f.finish)
				heap.Fix(&c.flows, f.place)
			} else {
				heap.Remove(&c.flows, f.place)
			}
		}
		c.finish = c.start + w.cost/c.weight
		if c.backlogged() {
			c.start = max(g.virtual, c.finish)
			heap.Fix(&g.backlog, c.place)
		} else {
			heap.Remove(&g.backlog, c.place)
		}
		g.leave(w)
		g.admit(w)
	}
}

// leave takes a download out of what waits.
func (g *Gate) leave(w *waiting) {
	w.over = true
	delete(g.waits, w.ID)
	if w.place >= 0 {
		heap.Remove(&g.due, w.place)
	}
}

func (g *Gate) admit(w *waiting) {
	g.Admitted++
	w.club.Admitted++
	w.club.Cost += w.cost
	g.open[w.ID] = admitted{club: w.club, flow: w.flow, cost: w.cost, at: g.now}
	g.out = append(g.out, Admit{ID: w.ID})
}

// throttle turns a download away, with an appointment where there is room for one that its client may still use.
func (g *Gate) throttle(w *waiting) {
	if g.waits[w.ID] == w {
		g.leave(w)
	}
	g.Throttled++
	w.club.Throttled++
	a := Throttle{ID: w.ID}
	who := digest(0, "appointment", w.Club, w.Client, w.Object, fmt.Sprint(w.Part))
	g.recent[who%uint64(len(g.recent))] = who
	if g.settings.Longest > 0 {
		room := g.settings.Booked * g.limit.rate(g.now) * g.settings.Slot
		if at, serial, ok := g.calendar.book(g.now, w.cost, room, g.settings.Longest, who); ok {
			g.Made++
			a.Wait = at - g.now
			if g.settings.Heeding {
				a.Ticket = ticket(g.settings.TicketKey, int64(math.Round(at/g.settings.Slot)), serial, who)
			}
		}
	}
	g.out = append(g.out, a)
}

// Ended tells how an admitted download ended, and what it turned out to cost; 0 where that is not known.
func (g *Gate) Ended(at float64, id string, end End, cost float64) []Action {
	g.begin(at)
	a, ok := g.open[id]
	if !ok {
		return g.done()
	}
	delete(g.open, id)
	if cost > 0 && end != Gone {
		// The flow has paid for what was expected; it pays the rest, or is given it back.
		a.club.finish += (cost - a.cost) / a.club.weight
		a.flow.finish += cost - a.cost
		a.cost = cost
	}
	if g.limit.note(g.now, end, a.cost, g.now-a.at, float64(len(g.open)+1)) {
		g.calendar.reopen()
	}
	return g.done()
}

// Left tells that a client is gone while its download waits.
func (g *Gate) Left(at float64, id string) []Action {
	g.begin(at)
	if w := g.waits[id]; w != nil {
		g.leave(w)
	}
	return g.done()
}

// Ring does what is due at a time.
func (g *Gate) Ring(at float64) []Action {
	g.begin(at)
	return g.done()
}

// Next is when something is due next; false where nothing is.
func (g *Gate) Next() (float64, bool) {
	if len(g.due) == 0 {
		return 0, false
	}
	return g.due[0].gone, true
}

// begin moves the time on: what can't be answered in its time any more is turned away when that is known.
func (g *Gate) begin(at float64) {
	g.now, g.out = max(g.now, at), nil
	if g.now >= g.changed+g.settings.Change {
		g.changed = g.now
		g.seed = digest(g.seed, "next")
		for _, c := range g.clubs {
			g.lay(c)
		}
		for _, c := range g.others {
			g.lay(c)
		}
		g.heavy.fade()
	}
	g.calendar.sweep(g.now)
	for len(g.due) > 0 && g.due[0].gone <= g.now {
		g.throttle(g.due[0])
	}
}

func (g *Gate) done() []Action {
	g.serve()
	g.Missed = g.calendar.missed
	return g.out
}

// Heaviest names the clubs that were let in for most, by cost, at most so many.
func (g *Gate) Heaviest(most int) []*Club {
	all := slices.Collect(maps.Values(g.clubs))
	slices.SortFunc(all, func(a, b *Club) int { return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.index, b.index)) })
	return all[:min(most, len(all))]
}

// Stands tells how the gate stands: what is open and what waits, the limit, and how much longer than its cost a download
// takes now and took at the quickest.
func (g *Gate) Stands() (open, waits int, limit, stretch, quick float64) {
	return len(g.open), len(g.waits), g.limit.most, g.limit.stretch(g.now), g.limit.quick
}

// enough ends to judge by: of fewer the mean is chance, where some are held and others have to be filled.
const enough = 24

// limit learns how many open downloads end in their time. Over a quarter of half a dozen ends late, and it falls to four
// fifths of what is open; all taking 1.8 times as long as at the quickest, to nine tenths: what queues behind the door is
// served first come, first served, and the shares are lost there. At most twice a second; each end in time while it is met
// and all is quick raises it. It is looser than the
// router's limiters, which judge by node: what they turn away counts as late here, so the door closes when they do.
type limit struct {
	least, most, cut float64
	late, all, cost  ring
	quick            float64 // the least that a download took beside its cost
	took             ring    // ms from the door to the end, beside the cost
}

func (l *limit) note(now float64, end End, cost, took, open float64) (changed bool) {
	if end == Gone {
		return false
	}
	l.all.add(now, 1)
	if end != TurnedAway {
		l.cost.add(now, cost)
		l.took.add(now, took)
	}
	if end != InTime {
		l.late.add(now, 1)
	} else if open > 0.8*l.most && !l.slow(now, 1.6) {
		l.most += min(0.5, 4/l.most)
	}
	if cost := l.cost.sum(now); cost > 0 && l.all.sum(now) >= enough {
		if s := l.took.sum(now) / cost; l.quick == 0 || s < l.quick {
			l.quick = s
		} else {
			l.quick += (s - l.quick) / 20_000 // what is quick here may itself change, over many minutes
		}
	}
	late := l.late.sum(now) > 0.25*l.all.sum(now)
	if now < l.cut+500 || l.all.sum(now) < enough || !late && !l.slow(now, 2.2) {
		return false
	}
	keep := 0.9
	if late {
		keep = 0.8
	}
	l.most, l.cut = max(l.least, keep*min(l.most, open)), now
	l.late, l.all, l.cost, l.took = ring{}, ring{}, ring{}, ring{} // what was let in before says nothing of the new bound
	return true
}

// slow tells whether downloads take so many times as long as they did at the quickest.
func (l *limit) slow(now, times float64) bool {
	cost := l.cost.sum(now)
	return l.quick > 0 && cost > 0 && l.all.sum(now) >= enough && l.took.sum(now)/cost > times*l.quick
}

// stretch is how much longer than its cost a download takes behind the door now, with a tenth to spare: what waits here must
// leave that much time.
func (l *limit) stretch(now float64) float64 {
	if cost := l.cost.sum(now); cost > 0 {
		return min(1.5, max(1, 1.1*l.took.sum(now)/cost))
	}
	return 1
}

// rate is the cost a ms that was carried lately.
func (l *limit) rate(now float64) float64 { return l.cost.sum(now) / ringSpan }

// ring sums what was noted in the last two seconds, in fixed buckets.
type ring struct {
	sums  [8]float64
	slots [8]int64
}

const ringSpan = 2000.0

func (r *ring) add(now, x float64) {
	slot := int64(now / (ringSpan / 8))
	i := slot % 8
	if r.slots[i] != slot {
		r.slots[i], r.sums[i] = slot, 0
	}
	r.sums[i] += x
}

func (r *ring) sum(now float64) (sum float64) {
	least := int64(now/(ringSpan/8)) - 7
	for i, slot := range r.slots {
		if slot >= least {
			sum += r.sums[i]
		}
	}
	return sum
}
