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

// server simulates a controller and the capacity behind it: up to cores downloads run at full speed, beyond that all slow
// down by sharing.
type server struct {
	controller *Controller
	now        float64
	cores      float64
	open       map[string]*job
	events     events
	seq        int
	carried    map[string]float64 // cost of finished downloads, by club
	ends       map[string]Outcome
	answered   func(now float64, a Action)
}

// job is an open download.
type job struct {
	Request
	left, since float64
}

// event is a call scheduled for a time.
type event struct {
	at  float64
	seq int
	do  func()
}

// events is a heap of events by time, then sequence number.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any     { old := *h; e := old[len(old)-1]; *h = old[:len(old)-1]; return e }

func newServer(s Settings, cores float64) *server {
	return &server{controller: New(s, 1, 0), cores: cores, open: map[string]*job{}, carried: map[string]float64{}, ends: map[string]Outcome{}}
}

func (s *server) schedule(at float64, do func()) {
	s.seq++
	heap.Push(&s.events, event{at, s.seq, do})
}

// asks holds the requests that were not answered yet, by ID.
var asks = map[string]Request{}

// ask requests admission for a download.
func (s *server) ask(a Request) {
	a.At = s.now
	asks[a.ID] = a
	s.carry(s.controller.Request(a))
}

// carry executes actions. The duration of a download is fixed when it starts, by the number of open downloads, so that
// a queue behind the controller shows as late downloads.
func (s *server) carry(actions []Action) {
	for _, action := range actions {
		if s.answered != nil {
			s.answered(s.now, action)
		}
		if x, ok := action.(Admit); ok {
			a := asks[x.ID]
			delete(asks, x.ID)
			s.open[a.ID] = &job{Request: a}
			took := a.Cost * max(1, float64(len(s.open))/s.cores)
			s.schedule(s.now+took, func() {
				delete(s.open, a.ID)
				s.carried[a.Club] += a.Cost
				end := InTime
				if s.now > a.Target {
					end = Late
				}
				s.ends[a.ID] = end
				s.carry(s.controller.Ended(s.now, a.ID, end, a.Cost))
			})
		} else if x, ok := action.(Throttle); ok {
			delete(asks, x.ID)
		}
	}
}

// run processes events and timers up to a time.
func (s *server) run(until float64) {
	for {
		at, due := s.controller.Next()
		switch {
		case len(s.events) > 0 && s.events[0].at <= until && !(due && at < s.events[0].at):
			e := heap.Pop(&s.events).(event)
			s.now = max(s.now, e.at)
			e.do()
		case due && at <= until:
			s.now = max(s.now, at)
			s.carry(s.controller.HandleTimer(s.now))
		default:
			s.now = until
			return
		}
	}
}

// load generates requests of a club at a rate in cost per ms, with its clients taking turns.
func (s *server) load(club string, clients int, rate, cost, until float64, ahead bool) {
	n := 0
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		n++
		s.ask(Request{ID: fmt.Sprint(club, "-", n), Club: club, Client: fmt.Sprint(n % clients), Object: fmt.Sprint("o", n), Cost: cost,
			Priority: ahead, Target: s.now + 600, Expiry: s.now + 2000})
		s.schedule(s.now+cost/rate, next)
	}
	s.schedule(s.now+float64(len(club)), next)
}

// maxMinShares computes the weighted max-min fair shares of a capacity: each demand gets its share or all it asks for,
// and the remainder is distributed again.
func maxMinShares(capacity float64, demand, weights map[string]float64) map[string]float64 {
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

// Each club gets its max-min fair share within 4 percent of the throughput, whatever the demand of the others.
func TestClubsGetMaxMinShares(t *testing.T) {
	for name, c := range map[string]struct{ demand, weights map[string]float64 }{
		"one floods":   {map[string]float64{"a": 80, "b": 6, "c": 6}, map[string]float64{"a": 1, "b": 1, "c": 1}},
		"all flood":    {map[string]float64{"a": 40, "b": 40, "c": 40}, map[string]float64{"a": 1, "b": 1, "c": 1}},
		"by weight":    {map[string]float64{"a": 40, "b": 40}, map[string]float64{"a": 3, "b": 1}},
		"idle is lent": {map[string]float64{"a": 40, "b": 2}, map[string]float64{"a": 1, "b": 3}},
	} {
		settings := Defaults()
		settings.Weights, settings.MaxWait = c.weights, 0
		s := newServer(settings, 20)
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
		want := maxMinShares(total/30_000, c.demand, c.weights)
		for club := range c.demand {
			got := (s.carried[club] - before[club]) / 30_000
			if math.Abs(got-want[club]) > 0.04*total/30_000 {
				t.Errorf("%s: club %s got %.2f, its share is %.2f of %.2f", name, club, got, want[club], total/30_000)
			}
		}
		if total/30_000 < 0.8*20 {
			t.Errorf("%s: %.1f of 20 carried", name, total/30_000)
		}
	}
}

// Within a club, a client that floods gets no more than its share, and priority requests are admitted.
func TestFloodingClientIsContained(t *testing.T) {
	settings := Defaults()
	settings.MaxWait = 0
	s := newServer(settings, 20)
	s.load("x", 1, 60, 100, 30_000, false)   // a club with one client that floods
	s.load("x ", 40, 16, 100, 30_000, false) // a club with many clients; the second run below has both kinds in one club
	s.run(30_000)
	if s.carried["x "] < 0.45*(s.carried["x"]+s.carried["x "]) {
		t.Errorf("%v", s.carried)
	}
	s = newServer(settings, 20)
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
		s.ask(Request{ID: fmt.Sprint("storm-", n), Club: "c", Client: "kiosk", Cost: 100, Target: s.now + 600, Expiry: s.now + 2000})
		if s.now < 30_000 {
			s.schedule(s.now+2, storm)
		}
	}
	s.schedule(0, storm)
	for m := range 300 {
		s.schedule(float64(m)*100, func() {
			s.ask(Request{ID: fmt.Sprint("member-", m), Club: "c", Client: fmt.Sprint("m", m), Cost: 100, Target: s.now + 600, Expiry: s.now + 2000})
			s.ask(Request{ID: fmt.Sprint("renewal-", m), Club: "c", Client: fmt.Sprint("r", m), Cost: 20, Priority: true, Target: s.now + 600, Expiry: s.now + 2000})
		})
	}
	s.run(32_000)
	if got["member"] < 285 || got["renewal"] < 297 || got["storm"] < 500 {
		t.Errorf("of 300 members and 300 renewals in a storm: %v", got)
	}
}

// Memory does not grow with the number of clients that appear once.
func TestMemoryIsBounded(t *testing.T) {
	g := New(Defaults(), 1, 0)
	size := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	now, n := 0.0, 0
	askOnce := func(clients int) {
		for range clients {
			n++
			now += 0.5
			id := fmt.Sprint(n)
			for _, a := range g.Request(Request{At: now, ID: id, Club: fmt.Sprint("club", n%500), Client: id, Object: id, Cost: 50, Target: now + 500, Expiry: now + 900}) {
				if a, ok := a.(Admit); ok {
					g.Ended(now+0.1, a.ID, []Outcome{InTime, Late}[n%2], 50)
				}
			}
		}
	}
	askOnce(100_000)
	first := size()
	askOnce(1_000_000)
	if last := size(); float64(last) > 1.1*float64(first)+1<<18 {
		t.Errorf("%d bytes after 100,000 clients, %d after a million more", first, last)
	}
	runtime.KeepAlive(g)
}

// The concurrency limit adapts to a capacity that halves and recovers, within seconds and without oscillating.
func TestAdaptsToCapacity(t *testing.T) {
	settings := Defaults()
	settings.MaxWait = 0
	s := newServer(settings, 40)
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
		t.Errorf("%.1f of 20 carried after the capacity halved", got)
	}
	late := 0
	for _, e := range s.ends {
		if e == Late {
			late++
		}
	}
	s.cores = 40
	if got := in(65_000, 90_000); got < 32 {
		t.Errorf("%.1f of 40 carried after the capacity recovered", got)
	}
	if late > len(s.ends)/10 {
		t.Errorf("%d of %d late", late, len(s.ends))
	}
}

// Clients that return at their appointment are admitted and finish in time, at any load; the controller never books
// more than its measured capacity.
func TestAppointmentsAreHonoured(t *testing.T) {
	for _, over := range []float64{1.2, 2, 5} {
		settings := Defaults()
		settings.SignedTickets, settings.TicketKey = true, []byte("key")
		s := newServer(settings, 20)
		kept, good, tickets := 0, 0, map[string]bool{}
		returned := map[string]float64{}
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
				s.schedule(now+x.Wait, func() {
					kept++
					again := first
					again.ID, again.Ticket, again.Target, again.Expiry = "again-"+x.ID, x.Ticket, s.now+600, s.now+2000
					if tickets[x.Ticket] {
						t.Errorf("ticket %s was issued twice", x.Ticket)
					}
					tickets[x.Ticket] = true
					returned[again.ID] = s.now
					s.ask(again)
				})
			}
		}
		s.load("a", 100, 20*over, 100, 60_000, false)
		s.run(90_000)
		for id := range returned {
			if end, ok := s.ends[id]; ok && end == InTime {
				good++
			}
		}
		if kept < 100 || float64(good) < 0.99*float64(kept) {
			t.Errorf("load %.1f: %d of %d used appointments succeeded", over, good, kept)
		}
	}
}

// A ticket is valid for the client and object that it was issued for, around its time, once, also after a restart
// without state.
func TestTickets(t *testing.T) {
	settings := Defaults()
	settings.SignedTickets, settings.TicketKey = true, []byte("key")
	s := newServer(settings, 2)
	var issued Throttle
	var asked Request
	s.answered = func(now float64, a Action) {
		if x, ok := a.(Throttle); ok && x.Ticket != "" && issued.Ticket == "" && now > 5000 {
			issued, asked = x, asks[x.ID]
			asked.At = now
		}
	}
	s.load("a", 30, 10, 100, 8000, false)
	s.run(5500)
	if issued.Ticket == "" {
		t.Fatal("no ticket was issued")
	}
	at := asked.At + issued.Wait
	come := func(g *Controller, now float64, change func(*Request)) bool {
		a := asked
		a.At, a.ID, a.Ticket, a.Target, a.Expiry = now, fmt.Sprint("come", g.Asked), issued.Ticket, now+600, now+2000
		change(&a)
		before := g.Kept
		g.Request(a)
		return g.Kept > before
	}
	same := func(*Request) {}
	for name, c := range map[string]struct {
		now    float64
		change func(*Request)
	}{
		"early": {at - 500, same}, "late": {at + 500, same}, "another client": {at, func(a *Request) { a.Client = "other" }},
		"another object": {at, func(a *Request) { a.Object = "other" }}, "forged": {at, func(a *Request) { a.Ticket = a.Ticket[:len(a.Ticket)-2] + "AA" }},
		"another slot": {at, func(a *Request) { a.Ticket = "9" + a.Ticket }}, "malformed": {at, func(a *Request) { a.Ticket = "x" }},
	} {
		g := New(settings, 2, asked.At)
		if come(g, c.now, c.change) {
			t.Errorf("%s: ticket was accepted", name)
		}
	}
	restarted := New(settings, 3, asked.At)
	if !come(restarted, at, same) || come(restarted, at+1, same) {
		t.Error("after a restart: ticket was not accepted exactly once")
	}
	if !come(s.controller, at, same) || come(s.controller, at+1, same) {
		t.Error("ticket was not accepted exactly once")
	}
}

// For any order of events, each download gets exactly one answer, none is queued past its deadline, and the queue stays
// within its limit.
func TestEachDownloadIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		settings.Queue, settings.Clubs, settings.Flows, settings.HeavyClients, settings.MinLimit, settings.ReseedInterval = 5, 2, 8, 2, 1, 300
		g := New(settings, 1, 0)
		now := 0.0
		answers, latest, open := map[string]int{}, map[string]float64{}, []string{}
		take := func(actions []Action) {
			for _, a := range actions {
				id := ""
				switch a := a.(type) {
				case Admit:
					id = a.ID
					open = append(open, id)
				case Throttle:
					id = a.ID
					if a.Wait < 0 || a.Wait > settings.MaxWait {
						t.Fatalf("%s: wait of %.0f ms", id, a.Wait)
					}
				}
				if answers[id]++; answers[id] > 1 {
					t.Fatalf("%s got %d answers", id, answers[id])
				}
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 60).Draw(t, "ms"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				id := fmt.Sprint(i)
				a := Request{At: now, ID: id, Club: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "club"),
					Client: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "client"), Cost: float64(rapid.IntRange(1, 200).Draw(t, "cost")),
					Priority: rapid.Bool().Draw(t, "ahead"), Target: now + 300, Expiry: now + 900}
				answers[id], latest[id] = 0, a.Target-a.Cost
				take(g.Request(a))
			case 3, 4:
				if len(open) > 0 {
					id := open[0]
					open = open[1:]
					take(g.Ended(now, id, rapid.SampledFrom([]Outcome{InTime, Late, Late, Rejected, Aborted}).Draw(t, "end"), float64(rapid.IntRange(0, 300).Draw(t, "cost"))))
				}
			default:
				take(g.HandleTimer(now))
			}
			waits := 0
			for id, n := range answers {
				if n == 0 {
					if waits++; latest[id] < now {
						t.Fatalf("%s is queued past its deadline", id)
					}
				}
			}
			if waits != len(g.queued) || waits > settings.Queue || len(g.deadlines) != waits {
				t.Fatalf("%d queued, %d by the gate, %d in its heap", waits, len(g.queued), len(g.deadlines))
			}
		}
		now += 1000
		take(g.HandleTimer(now))
		for id, n := range answers {
			if n != 1 {
				t.Fatalf("%s got %d answers in the end", id, n)
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
				for _, a := range g.Request(Request{At: now, ID: id, Club: names[i%20%len(names)], Client: names[i*7919%len(names)], Cost: 50, Target: now + 500, Expiry: now + 900}) {
					if a, ok := a.(Admit); ok {
						g.Ended(now, a.ID, Outcome(i/3%2), 50)
					}
				}
			}
		})
	}
}
