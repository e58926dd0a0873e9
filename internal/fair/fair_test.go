package fair

import (
	"container/heap"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// server stands behind a gate: so many downloads at full pace, all slower by sharing above that.
type server struct {
	g        *Gate
	now      float64
	cores    float64
	open     map[string]*job
	events   events
	made     int
	carried  map[string]float64 // by club
	ends     map[string]End
	answered func(now float64, a Action)
}

type job struct {
	Ask
	left, since float64
}

type event struct {
	at   float64
	made int
	do   func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].made < h[j].made
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any     { old := *h; e := old[len(old)-1]; *h = old[:len(old)-1]; return e }

func newServer(s Settings, cores float64) *server {
	return &server{g: New(s, 1, 0), cores: cores, open: map[string]*job{}, carried: map[string]float64{}, ends: map[string]End{}}
}

func (s *server) at(t float64, do func()) {
	s.made++
	heap.Push(&s.events, event{t, s.made, do})
}

var asks = map[string]Ask{}

// ask brings a download; its pace is settled as it begins, by how many are open: a queue behind the gate shows as lateness.
func (s *server) ask(a Ask) {
	a.At = s.now
	asks[a.ID] = a
	s.carry(s.g.Ask(a))
}

func (s *server) carry(actions []Action) {
	for _, action := range actions {
		if s.answered != nil {
			s.answered(s.now, action)
		}
		if x, ok := action.(Admit); ok {
			a := asks[x.ID]
			delete(asks, x.ID)
			s.open[a.ID] = &job{Ask: a}
			took := a.Cost * max(1, float64(len(s.open))/s.cores)
			s.at(s.now+took, func() {
				delete(s.open, a.ID)
				s.carried[a.Club] += a.Cost
				end := InTime
				if s.now > a.Target {
					end = Late
				}
				s.ends[a.ID] = end
				s.carry(s.g.Ended(s.now, a.ID, end, a.Cost))
			})
		} else if x, ok := action.(Throttle); ok {
			delete(asks, x.ID)
		}
	}
}

func (s *server) run(until float64) {
	for {
		at, due := s.g.Next()
		switch {
		case len(s.events) > 0 && s.events[0].at <= until && !(due && at < s.events[0].at):
			e := heap.Pop(&s.events).(event)
			s.now = max(s.now, e.at)
			e.do()
		case due && at <= until:
			s.now = max(s.now, at)
			s.carry(s.g.Ring(s.now))
		default:
			s.now = until
			return
		}
	}
}

// load has a club's clients ask for so much cost a ms, each time another client of so many.
func (s *server) load(club string, clients int, rate, cost, until float64, ahead bool) {
	n := 0
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		n++
		s.ask(Ask{ID: fmt.Sprint(club, "-", n), Club: club, Client: fmt.Sprint(n % clients), Object: fmt.Sprint("o", n), Cost: cost,
			Ahead: ahead, Target: s.now + 600, Expiry: s.now + 2000})
		s.at(s.now+cost/rate, next)
	}
	s.at(s.now+float64(len(club)), next)
}

// ideal is the max-min share of a capacity among demands by weight: each gets its part or what it asks for, what is left
// over goes round again.
func ideal(capacity float64, demand, weights map[string]float64) map[string]float64 {
	got := map[string]float64{}
	for left, open := capacity, len(demand); open > 0 && left > 1e-9; {
		sum := 0.0
		for c, d := range demand {
			if got[c] < d {
				sum += weights[c]
			}
		}
		if sum == 0 {
			break
		}
		part, spent := left/sum, 0.0
		for c, d := range demand {
			if got[c] < d {
				x := min(d-got[c], part*weights[c])
				got[c] += x
				spent += x
			}
		}
		left -= spent
	}
	return got
}

// Clubs get their max-min shares within a few percent of what is carried, whatever the others ask for.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct{ demand, weights map[string]float64 }{
		"one floods":   {map[string]float64{"a": 80, "b": 6, "c": 6}, map[string]float64{"a": 1, "b": 1, "c": 1}},
		"all flood":    {map[string]float64{"a": 40, "b": 40, "c": 40}, map[string]float64{"a": 1, "b": 1, "c": 1}},
		"by weight":    {map[string]float64{"a": 40, "b": 40}, map[string]float64{"a": 3, "b": 1}},
		"idle is lent": {map[string]float64{"a": 40, "b": 2}, map[string]float64{"a": 1, "b": 3}},
	} {
		set := Defaults()
		set.Weights, set.Longest = c.weights, 0
		s := newServer(set, 20)
		for club, rate := range c.demand {
			s.load(club, 7, rate, 100+10*float64(len(club)), 40_000, false)
		}
		s.run(10_000)
		before := map[string]float64{}
		for club, x := range s.carried {
			before[club] = x
		}
		s.run(40_000)
		total := 0.0
		for club := range c.demand {
			total += s.carried[club] - before[club]
		}
		want := ideal(total/30_000, c.demand, c.weights)
		for club := range c.demand {
			got := (s.carried[club] - before[club]) / 30_000
			if math.Abs(got-want[club]) > 0.04*total/30_000 {
				t.Errorf("%s: %s carries %.2f, its share is %.2f of %.2f", name, club, got, want[club], total/30_000)
			}
		}
		if total/30_000 < 0.8*20 {
			t.Errorf("%s: %.1f of 20 carried", name, total/30_000)
		}
	}
}

// Within a club one client in a loop gets its part and no more, and what goes ahead is not kept out.
func TestClients(t *testing.T) {
	set := Defaults()
	set.Longest = 0
	s := newServer(set, 20)
	s.load("x", 1, 60, 100, 30_000, false)   // one client that floods
	s.load("x ", 40, 16, 100, 30_000, false) // the same club by another name would be another: so it is told apart below
	s.run(30_000)
	if s.carried["x "] < 0.45*(s.carried["x"]+s.carried["x "]) {
		t.Errorf("%v", s.carried)
	}
	s = newServer(set, 20)
	got := map[string]int{}
	s.answered = func(_ float64, a Action) {
		if a, ok := a.(Admit); ok {
			got[strings.SplitN(a.ID, "-", 2)[0]]++
		}
	}
	n := 0
	storm := func() {}
	storm = func() {
		n++
		s.ask(Ask{ID: fmt.Sprint("storm-", n), Club: "c", Client: "kiosk", Cost: 100, Target: s.now + 600, Expiry: s.now + 2000})
		if s.now < 30_000 {
			s.at(s.now+2, storm)
		}
	}
	s.at(0, storm)
	for m := range 300 {
		s.at(float64(m)*100, func() {
			s.ask(Ask{ID: fmt.Sprint("member-", m), Club: "c", Client: fmt.Sprint("m", m), Cost: 100, Target: s.now + 600, Expiry: s.now + 2000})
			s.ask(Ask{ID: fmt.Sprint("renewal-", m), Club: "c", Client: fmt.Sprint("r", m), Cost: 20, Ahead: true, Target: s.now + 600, Expiry: s.now + 2000})
		})
	}
	s.run(32_000)
	if got["member"] < 285 || got["renewal"] < 297 || got["storm"] < 500 {
		t.Errorf("of 300 members and 300 renewals in a storm: %v", got)
	}
}

// Memory is what it was, however many clients appear once.
func TestMemory(t *testing.T) {
	g := New(Defaults(), 1, 0)
	size := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	now, n := 0.0, 0
	many := func(clients int) {
		for range clients {
			n++
			now += 0.5
			id := fmt.Sprint(n)
			for _, a := range g.Ask(Ask{At: now, ID: id, Club: fmt.Sprint("club", n%500), Client: id, Object: id, Cost: 50, Target: now + 500, Expiry: now + 900}) {
				if a, ok := a.(Admit); ok {
					g.Ended(now+0.1, a.ID, []End{InTime, Late}[n%2], 50)
				}
			}
		}
	}
	many(100_000)
	first := size()
	many(1_000_000)
	if last := size(); float64(last) > 1.1*float64(first)+1<<18 {
		t.Errorf("%d bytes after 100,000 clients, %d after a million more", first, last)
	}
	runtime.KeepAlive(g)
}

// What a gate lets in follows a capacity that halves and comes back, within seconds and without swinging on.
func TestFollows(t *testing.T) {
	set := Defaults()
	set.Longest = 0
	s := newServer(set, 40)
	s.load("a", 50, 60, 100, 90_000, false)
	in := func(from, to float64) float64 {
		s.run(from)
		before := s.carried["a"]
		s.run(to)
		return (s.carried["a"] - before) / (to - from)
	}
	if got := in(10_000, 30_000); got < 32 {
		t.Errorf("%.1f of 40 carried", got)
	}
	s.cores = 20
	if got := in(35_000, 55_000); got < 16 {
		t.Errorf("%.1f of 20 carried after it halved", got)
	}
	late := 0
	for _, e := range s.ends {
		if e == Late {
			late++
		}
	}
	s.cores = 40
	if got := in(65_000, 90_000); got < 32 {
		t.Errorf("%.1f of 40 carried after it came back", got)
	}
	if late > len(s.ends)/10 {
		t.Errorf("%d of %d late", late, len(s.ends))
	}
}

// Who comes back when told is let in and answered in time, at whatever load; the gate never books more than it learnt.
func TestAppointments(t *testing.T) {
	for _, over := range []float64{1.2, 2, 5} {
		set := Defaults()
		set.Heeding, set.TicketKey = true, []byte("key")
		s := newServer(set, 20)
		kept, good, tickets := 0, 0, map[string]bool{}
		came := map[string]float64{}
		s.answered = func(now float64, a Action) {
			x, ok := a.(Throttle)
			if !ok {
				return
			}
			first := asks[x.ID]
			if strings.HasPrefix(x.ID, "again-") {
				return
			}
			if x.Wait > 0 && now > 10_000 {
				s.at(now+x.Wait, func() {
					kept++
					again := first
					again.ID, again.Ticket, again.Target, again.Expiry = "again-"+x.ID, x.Ticket, s.now+600, s.now+2000
					if tickets[x.Ticket] {
						t.Errorf("ticket %s was given twice", x.Ticket)
					}
					tickets[x.Ticket] = true
					came[again.ID] = s.now
					s.ask(again)
				})
			}
		}
		s.load("a", 100, 20*over, 100, 60_000, false)
		s.run(90_000)
		for id := range came {
			if end, ok := s.ends[id]; ok && end == InTime {
				good++
			}
		}
		if kept < 100 || float64(good) < 0.99*float64(kept) {
			t.Errorf("load %.1f: %d of %d appointments that were kept succeeded", over, good, kept)
		}
	}
}

// A ticket is good for whom it was given, at its time, once, also after a restart that remembers nothing.
func TestTickets(t *testing.T) {
	set := Defaults()
	set.Heeding, set.TicketKey = true, []byte("key")
	s := newServer(set, 2)
	var given Throttle
	var who Ask
	s.answered = func(now float64, a Action) {
		if x, ok := a.(Throttle); ok && x.Ticket != "" && given.Ticket == "" && now > 5000 {
			given, who = x, asks[x.ID]
			who.At = now
		}
	}
	s.load("a", 30, 10, 100, 8000, false)
	s.run(5500)
	if given.Ticket == "" {
		t.Fatal("none was given")
	}
	at := who.At + given.Wait
	come := func(g *Gate, now float64, change func(*Ask)) bool {
		a := who
		a.At, a.ID, a.Ticket, a.Target, a.Expiry = now, fmt.Sprint("come", g.Asked), given.Ticket, now+600, now+2000
		change(&a)
		before := g.Kept
		g.Ask(a)
		return g.Kept > before
	}
	same := func(*Ask) {}
	for name, c := range map[string]struct {
		now    float64
		change func(*Ask)
	}{
		"early": {at - 500, same}, "late": {at + 500, same}, "sold on": {at, func(a *Ask) { a.Client = "other" }},
		"for another object": {at, func(a *Ask) { a.Object = "other" }}, "forged": {at, func(a *Ask) { a.Ticket = a.Ticket[:len(a.Ticket)-2] + "AA" }},
		"of another place": {at, func(a *Ask) { a.Ticket = "9" + a.Ticket }}, "no ticket at all": {at, func(a *Ask) { a.Ticket = "x" }},
	} {
		g := New(set, 2, who.At)
		if come(g, c.now, c.change) {
			t.Errorf("%s: kept", name)
		}
	}
	anew := New(set, 3, who.At)
	if !come(anew, at, same) || come(anew, at+1, same) {
		t.Error("after a restart: not once")
	}
	if !come(s.g, at, same) || come(s.g, at+1, same) {
		t.Error("not once")
	}
}

// Whatever comes: each download has one answer, none waits past its time, and the queue keeps its bound.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Defaults()
		set.Queue, set.Clubs, set.Flows, set.Heavy, set.Least, set.Change = 5, 2, 8, 2, 1, 300
		g := New(set, 1, 0)
		now := 0.0
		told, latest, open := map[string]int{}, map[string]float64{}, []string{}
		take := func(actions []Action) {
			for _, a := range actions {
				id := ""
				switch a := a.(type) {
				case Admit:
					id = a.ID
					open = append(open, id)
				case Throttle:
					id = a.ID
					if a.Wait < 0 || a.Wait > set.Longest {
						t.Fatalf("%s is told to come in %.0f ms", id, a.Wait)
					}
				}
				if told[id]++; told[id] > 1 {
					t.Fatalf("%s has %d answers", id, told[id])
				}
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 60).Draw(t, "ms"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint(i)
				a := Ask{At: now, ID: id, Club: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "club"),
					Client: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "client"), Cost: float64(rapid.IntRange(1, 200).Draw(t, "cost")),
					Ahead: rapid.Bool().Draw(t, "ahead"), Target: now + 300, Expiry: now + 900}
				told[id], latest[id] = 0, a.Target-a.Cost
				take(g.Ask(a))
			case 3, 4:
				if len(open) > 0 {
					id := open[0]
					open = open[1:]
					take(g.Ended(now, id, rapid.SampledFrom([]End{InTime, Late, Late, TurnedAway, Gone}).Draw(t, "end"), float64(rapid.IntRange(0, 300).Draw(t, "cost"))))
				}
			default:
				take(g.Ring(now))
			}
			waits := 0
			for id, n := range told {
				if n == 0 {
					if waits++; latest[id] < now {
						t.Fatalf("%s waits past its time", id)
					}
				}
			}
			if waits != len(g.waits) || waits > set.Queue || len(g.due) != waits {
				t.Fatalf("%d wait, %d by the gate, %d in its order", waits, len(g.waits), len(g.due))
			}
		}
		now += 1000
		take(g.Ring(now))
		for id, n := range told {
			if n != 1 {
				t.Fatalf("%s has %d answers at the end", id, n)
			}
		}
	})
}

func BenchmarkAsk(b *testing.B) {
	for _, flows := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(flows, " clients"), func(b *testing.B) {
			g := New(Defaults(), 1, 0)
			now := 0.0
			names := make([]string, min(flows, 100_000))
			for i := range names {
				names[i] = fmt.Sprint("client ", i)
			}
			b.ReportAllocs()
			for i := range b.N {
				now += 0.1
				id := names[i%len(names)]
				for _, a := range g.Ask(Ask{At: now, ID: id, Club: names[i%20%len(names)], Client: names[i*7919%len(names)], Cost: 50, Target: now + 500, Expiry: now + 900}) {
					if a, ok := a.(Admit); ok {
						g.Ended(now, a.ID, End(i/3%2), 50)
					}
				}
			}
		})
	}
}
