package owner

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppymill/internal/canon"
)

// play is a fleet in small: one log, members that follow it as late as chance has it, places that check tokens. It knows the
// rules apart from the code: who may run what, by the order of the log alone.
type play struct {
	log     []func(*Book, uint64) // agreed, in their order
	books   []*Book               // of each member, as far as it has followed
	at      []int
	works   []*Work
	flight  []flying // effects on their way: they may be as late as can be
	gates   map[string]*Gate
	ran     map[string]int    // job and step: how often its effect happened
	let     map[string]int    // how often the token alone let it happen
	highest map[string]uint64 // at each place, of each job
	lossy   bool              // what members ask for is lost now and then
	t       *rapid.T
}

type flying struct {
	by   int
	do   Do
	back bool // it has happened, and its answer is on its way
	err  error
}

func (p *play) agree(kind string, data any) {
	text := canon.Encode(data)
	p.log = append(p.log, func(b *Book, index uint64) { b.Apply(index, kind, text) })
}

func (p *play) member(name string, w Worker) {
	p.log = append(p.log, func(b *Book, index uint64) { b.Member(index, name, w) })
}

// follow brings a member's view on by so many places, and has it act on what it sees.
func (p *play) follow(i, places int) {
	for range min(places, len(p.log)-p.at[i]) {
		p.log[p.at[i]](p.books[i], uint64(p.at[i]+1))
		p.at[i]++
	}
	p.take(i, p.works[i].See(0, p.books[i]))
}

func (p *play) take(i int, do []any) {
	for _, a := range do {
		switch a := a.(type) {
		case Ask:
			if p.lossy && rapid.IntRange(0, 3).Draw(p.t, "asked in vain") == 0 {
				continue
			}
			p.agree(a.Kind, a.Claim)
		case Do:
			p.flight = append(p.flight, flying{by: i, do: a})
		}
	}
}

// arrive has an effect happen at its place, or its answer come home.
func (p *play) arrive(n int, lose bool) {
	f := p.flight[n]
	p.flight = append(p.flight[:n:n], p.flight[n+1:]...)
	key := fmt.Sprint(f.do.Job.Name, "/", f.do.Step)
	if f.back {
		end := Ran
		if lose {
			end = Perhaps
		} else if f.err != nil {
			end = Refused
		}
		p.take(f.by, p.works[f.by].Ended(0, f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type, end))
		return
	}
	if lose {
		p.take(f.by, p.works[f.by].Ended(0, f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type, Perhaps))
		return
	}
	_, again, err := p.gates["place"].Pass(f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type)
	if f.err, f.back = err, true; err == nil {
		if f.do.Token < p.highest[f.do.Job.Name] {
			p.t.Fatalf("%s under token %d after %d", key, f.do.Token, p.highest[f.do.Job.Name])
		}
		p.highest[f.do.Job.Name] = f.do.Token
		p.let[key]++
		if !again {
			p.ran[key]++
		}
	}
	p.flight = append(p.flight, f)
}

// Owners are frozen, cut off, replaced and come back; effects and answers are as late as can be, or lost. A token never falls at
// a place; an unsafe step is let in there once, by the log and the tokens alone, without what the place remembers of steps; in the
// end, with every doubt settled by what is so, all is done.
func TestOwnersComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		typ := Type(rapid.IntRange(0, 2).Draw(t, "type"))
		p := &play{t: t, gates: map[string]*Gate{"place": NewGate(4)}, ran: map[string]int{}, let: map[string]int{}, lossy: true, highest: map[string]uint64{}}
		names := []string{"a", "b", "c"}
		inc := uint64(0)
		there := map[string]Worker{}
		for i, name := range names {
			inc++
			there[name] = Worker{Incarnation: inc, There: true}
			p.member(name, there[name])
			p.books, p.at, p.works = append(p.books, New(8)), append(p.at, 0), append(p.works, &Work{Name: name, Incarnation: inc})
			_ = i
		}
		p.agree(Start, Job{Name: "j", Kind: "k", Steps: 6, Type: typ, Window: 2})
		p.agree(Start, Job{Name: "k", Kind: "k", Steps: 4, Type: typ, Window: 3})
		planner, now := &Planner{Hold: 10, Longest: 100}, 0.0
		leader := func() *Book { // the whole log, as a leader has it
			b := New(8)
			for i, c := range p.log {
				c(b, uint64(i+1))
			}
			return b
		}
		plan := func() {
			now += 50
			for _, c := range planner.Plan(now, leader()) {
				p.agree(Grant, c)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "deeds") {
			i := rapid.IntRange(0, 2).Draw(t, "who")
			name := names[i]
			switch rapid.IntRange(0, 8).Draw(t, "deed") {
			case 0, 1:
				p.follow(i, rapid.IntRange(1, 6).Draw(t, "places"))
			case 2, 3, 4:
				if len(p.flight) > 0 {
					p.arrive(rapid.IntRange(0, len(p.flight)-1).Draw(t, "which"), rapid.IntRange(0, 5).Draw(t, "lost") == 0)
				}
			case 5:
				plan()
			case 6: // said to be lost, whatever it does
				if w := there[name]; w.There {
					w.There, w.Losses = false, w.Losses+1
					there[name] = w
					p.member(name, w)
				}
			case 7: // it is back, under the same incarnation
				if w := there[name]; !w.There {
					w.There = true
					there[name] = w
					p.member(name, w)
				}
			case 8: // a new process; the old one's effects are still on their way
				inc++
				there[name] = Worker{Incarnation: inc, There: true, Losses: there[name].Losses + 1}
				p.member(name, there[name])
				p.works[i] = &Work{Name: name, Incarnation: inc}
			}
		}
		// Faults stop: all follow, what is on its way arrives, an operator settles what may have run by what is so.
		p.lossy = false
		for round := 0; ; round++ {
			b := leader()
			if b.Jobs["j"].State == Finished && b.Jobs["k"].State == Finished {
				break
			}
			if round > 300 {
				t.Fatalf("not done: %+v %+v", b.Jobs["j"], b.Jobs["k"])
			}
			for i, name := range names {
				if !there[name].There {
					w := there[name]
					w.There = true
					there[name] = w
					p.member(name, w)
				}
				p.follow(i, len(p.log))
				p.take(i, p.works[i].Again())
			}
			for len(p.flight) > 0 {
				p.arrive(0, false)
			}
			plan()
			for _, j := range leader().All() {
				for step := range j.Doubt {
					p.agree(Verdict, Claim{Job: j.Name, Step: step, Ran: p.ran[fmt.Sprint(j.Name, "/", step)] > 0})
				}
			}
		}
		for _, job := range []struct {
			name  string
			steps int
		}{{"j", 6}, {"k", 4}} {
			for step := range job.steps {
				n := p.ran[fmt.Sprint(job.name, "/", step)]
				if n == 0 || n > 1 && typ != Safe || typ == Unsafe && p.let[fmt.Sprint(job.name, "/", step)] != 1 {
					t.Fatalf("step %d of %s, %v, ran %d times", step, job.name, typ, n)
				}
			}
		}
		// Alike states are written alike, and read back.
		b, again := leader(), New(8)
		if err := again.Load(b.Save()); err != nil || !bytes.Equal(again.Save(), b.Save()) {
			t.Fatalf("read back: %v", err)
		}
	})
}

// The hard case, by hand: the owner is frozen after it checked that it owns, a successor works, and the old one's effect comes.
func TestOldOwnerWakesLate(t *testing.T) {
	for _, typ := range []Type{Safe, Keyed, Unsafe} {
		b, g := New(4), NewGate(4)
		b.Member(1, "a", Worker{Incarnation: 1, There: true})
		b.Member(2, "b", Worker{Incarnation: 2, There: true})
		b.Apply(3, Start, canon.Encode(Job{Name: "j", Kind: "k", Steps: 3, Type: typ, Window: 1}))
		b.Apply(4, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		a := &Work{Name: "a", Incarnation: 1}
		do := a.See(0, b)
		if typ == Unsafe {
			ask := do[0].(Ask)
			b.Apply(5, ask.Kind, canon.Encode(ask.Claim))
			do = a.See(0, b)
		}
		held := do[0].(Do) // a is frozen with this in hand
		if r := b.Apply(6, Grant, canon.Encode(Claim{Job: "j", Name: "b", Incarnation: 2})); r != ErrOwned {
			t.Errorf("%v: a second owner while the first is there: %v", typ, r)
		}
		b.Member(7, "a", Worker{Incarnation: 1, Losses: 1})
		if r := b.Apply(8, Grant, canon.Encode(Claim{Job: "j", Name: "b", Incarnation: 2})); r.(Job).Token <= held.Token {
			t.Errorf("%v: token %d after %d", typ, r.(Job).Token, held.Token)
		}
		next := &Work{Name: "b", Incarnation: 2}
		step := -1
		for _, x := range next.See(0, b) {
			if ask, ok := x.(Ask); ok {
				b.Apply(9, ask.Kind, canon.Encode(ask.Claim))
				for _, x := range next.See(0, b) {
					step = x.(Do).Step
				}
			} else {
				step = x.(Do).Step
			}
		}
		if _, _, err := g.Pass("j", b.Jobs["j"].Token, max(step, 1), typ); err != nil {
			t.Errorf("%v: the new owner is refused: %v", typ, err)
		}
		var late Late
		if _, _, err := g.Pass("j", held.Token, held.Step, typ); !errors.As(err, &late) || late.Newer != b.Jobs["j"].Token {
			t.Errorf("%v: the old one's effect: %v", typ, err)
		}
		if _, doubt := b.Jobs["j"].Doubt[held.Step]; doubt != (typ == Unsafe) || typ == Unsafe && step == held.Step {
			t.Errorf("%v: what may have run is sent again as step %d; in doubt: %t", typ, step, doubt)
		}
		if r := b.Apply(10, Did, canon.Encode(Claim{Job: "j", Token: held.Token, Step: held.Step})); (r == ErrOld) != (typ != Unsafe) {
			t.Errorf("%v: the old one's late word: %v", typ, r)
		}
	}
}

// Work is spread by load; one that is lost again and again is given nothing for twice as long each time; what comes back by
// itself may have been granted to another meanwhile.
func TestPlanner(t *testing.T) {
	b, p := New(8), &Planner{Hold: 1000, Longest: 8000}
	for i, name := range []string{"a", "b", "c"} {
		b.Member(uint64(i+1), name, Worker{Incarnation: uint64(i + 1), There: true})
	}
	for i := range 6 {
		b.Apply(uint64(10+i), Start, canon.Encode(Job{Name: fmt.Sprint("j", i), Kind: "k", Steps: 1, Window: 1}))
	}
	load := map[string]int{}
	for i, c := range p.Plan(0, b) {
		load[c.Name]++
		b.Apply(uint64(20+i), Grant, canon.Encode(c))
	}
	if fmt.Sprint(load) != "map[a:2 b:2 c:2]" {
		t.Errorf("spread %v", load)
	}
	at := 0.0
	for loss := uint64(1); loss <= 5; loss++ {
		b.Member(100+loss, "a", Worker{Incarnation: 1, Losses: loss})
		for _, c := range p.Plan(at, b) {
			b.Apply(110+loss, Grant, canon.Encode(c))
		}
		b.Member(120+loss, "a", Worker{Incarnation: 1, There: true, Losses: loss})
		p.Plan(at, b)
		name := fmt.Sprint("new", loss)
		for _, other := range []string{"b", "c"} { // both have more to do than a
			if j := b.Jobs["j0"]; j.Owner == "a" {
				t.Errorf("%s owns beside its loss", other)
			}
		}
		hold := min(8000, 1000*float64(uint64(1)<<(loss-1)))
		b.Apply(130+loss, Start, canon.Encode(Job{Name: name, Kind: "k", Steps: 1, Window: 1}))
		if c := p.Plan(at+hold-1, b); len(c) != 1 || c[0].Name == "a" {
			t.Errorf("after %d losses, within %.0f ms: %v", loss, hold, c)
		}
		if c := p.Plan(at+hold, b); len(c) != 1 || c[0].Name != "a" {
			t.Errorf("after %d losses and %.0f ms: %v", loss, hold, c)
		}
		b.Apply(140+loss, Stop, canon.Encode(Claim{Job: name}))
		at += hold + 1
	}
}

// Where all that are there are held off, a job goes to the one that is for the least time in place of standing still.
func TestPlannerWithoutChoice(t *testing.T) {
	b, p := New(8), &Planner{Hold: 1000, Longest: 60_000}
	for i, name := range []string{"a", "b", "c"} {
		b.Member(uint64(i+1), name, Worker{Incarnation: uint64(i + 1), There: true, Losses: uint64(3 + (i+1)%3)}) // a 4, b 5, c 3
	}
	b.Apply(10, Start, canon.Encode(Job{Name: "j", Kind: "k", Steps: 1, Window: 1}))
	if c := p.Plan(0, b); len(c) != 1 || c[0].Name != "c" {
		t.Errorf("of three held off: %v", c)
	}
	b.Member(11, "c", Worker{Incarnation: 3, Losses: 4})
	if c := p.Plan(10, b); len(c) != 1 || c[0].Name != "a" {
		t.Errorf("of two held off: %v", c)
	}
	b.Member(12, "d", Worker{Incarnation: 9, There: true})
	if c := p.Plan(20, b); len(c) != 1 || c[0].Name != "d" {
		t.Errorf("beside one that is not: %v", c)
	}
}

// What is asked for wrongly changes nothing, by name; memory is bounded.
func TestRefusals(t *testing.T) {
	b := New(2)
	b.Member(1, "a", Worker{Incarnation: 1, There: true})
	job := Job{Name: "j", Kind: "k", Steps: 2, Type: Unsafe, Window: 2}
	for i, c := range []struct {
		kind string
		data any
		want error
	}{
		{Start, Job{Name: "j", Kind: "k", Steps: 0, Window: 1}, ErrBad}, {Grant, Claim{Job: "j"}, ErrUnknown}, {Start, job, nil}, {Start, job, nil},
		{Start, Job{Name: "j", Kind: "other", Steps: 2, Type: Unsafe, Window: 2}, ErrOther},
		{Grant, Claim{Job: "j", Name: "b", Incarnation: 1}, ErrAbsent}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 2}, ErrAbsent},
		{Mean, Claim{Job: "j", Token: 0}, ErrOld}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 1}, nil},
		{Did, Claim{Job: "j", Token: 1}, ErrBad}, {Mean, Claim{Job: "j", Token: 1}, nil}, {Mean, Claim{Job: "j", Token: 1}, ErrSent},
		{Verdict, Claim{Job: "j", Ran: true}, ErrSent}, {Release, Claim{Job: "j", Token: 7}, ErrOld}, {Release, Claim{Job: "j", Token: 1}, nil},
		{Mean, Claim{Job: "j", Token: 1, Step: 1}, ErrOld}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 1}, nil},
		{Mean, Claim{Job: "j", Token: 2, Step: 0}, ErrSent}, {Verdict, Claim{Job: "j"}, nil}, {Mean, Claim{Job: "j", Token: 2, Step: 0}, nil},
		{Unsure, Claim{Job: "j", Token: 1, Step: 0}, ErrOld}, {Did, Claim{Job: "j", Token: 2, Step: 0}, nil}, {Did, Claim{Job: "j", Token: 2, Step: 0}, nil},
		{Start, Job{Name: "k", Steps: 1, Window: 1}, nil}, {Start, Job{Name: "l", Steps: 1, Window: 1}, ErrFull},
		{Stop, Claim{Job: "k"}, nil}, {Stop, Claim{Job: "k"}, ErrOver}, {Start, Job{Name: "l", Steps: 1, Window: 1}, nil}, {"odd", Claim{Job: "j"}, ErrBad},
	} {
		got, _ := b.Apply(uint64(10+i), c.kind, canon.Encode(c.data)).(error)
		if got != c.want {
			t.Errorf("%d: %s %+v: %v, want %v", i, c.kind, c.data, got, c.want)
		}
	}
	g := NewGate(2)
	for i := range uint64(10) {
		if _, _, err := g.Pass(fmt.Sprint("j", i), i+1, 0, Safe); err != nil || len(g.seen) > 2 {
			t.Errorf("job %d: %v, %d remembered", i, err, len(g.seen))
		}
	}
	if _, _, err := g.Pass("j0", 1, 0, Safe); err == nil {
		t.Error("a token of a job that was forgotten passes")
	}
	// After a restart of the place all that was refused before is refused again, forgotten jobs included.
	again := NewGate(2)
	again.Restore(g.Kept())
	for i := range uint64(10) {
		if job := fmt.Sprint("j", i); again.Highest(job) != g.Highest(job) {
			t.Errorf("%s: %d after a restart, %d before", job, again.Highest(job), g.Highest(job))
		}
	}
	if _, _, err := again.Pass("j9", 9, 0, Safe); err == nil {
		t.Error("after a restart an old token passes")
	}
}

// How a step ended decides whether it goes out again: what never ran does, and what may have run only where its type lets it. An
// owner that leaves sends nothing new and gives its jobs back once what it sent has ended.
func TestEnds(t *testing.T) {
	for _, c := range []struct {
		typ  Type
		end  End
		want string
	}{
		{Safe, Perhaps, "do 0"}, {Keyed, Perhaps, "do 0"}, {Unsafe, Perhaps, "unsure 0"}, {Unsafe, NeverRan, "do 0"}, {Safe, Ran, "did 0"},
		{Unsafe, Ran, "did 0"}, {Safe, Refused, "release 0"},
	} {
		b := New(2)
		b.Member(1, "a", Worker{Incarnation: 1, There: true})
		b.Apply(2, Start, canon.Encode(Job{Name: "j", Kind: "k", Steps: 1, Type: c.typ, Window: 1}))
		b.Apply(3, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		w := &Work{Name: "a", Incarnation: 1}
		do := w.See(0, b)
		if ask, ok := do[0].(Ask); ok {
			b.Apply(4, ask.Kind, canon.Encode(ask.Claim))
			do = w.See(0, b)
		}
		if again := w.See(0, b); len(again) != 0 {
			t.Errorf("%v: sent twice: %v", c.typ, again)
		}
		do = append(w.Ended(0, "j", do[0].(Do).Token, 0, c.typ, c.end), w.See(0, b)...)
		got := ""
		for _, x := range do {
			switch x := x.(type) {
			case Do:
				got += fmt.Sprintf("do %d", x.Step)
			case Ask:
				got += fmt.Sprintf("%s %d", x.Kind, x.Claim.Step)
			}
		}
		if got != c.want {
			t.Errorf("%v after %d: %s, want %s", c.typ, c.end, got, c.want)
		}
		w.Leave()
		if c.want == "do 0" {
			if do := w.See(0, b); len(do) != 0 {
				t.Errorf("leaves with a step under way: %v", do)
			}
			w.Ended(0, "j", b.Jobs["j"].Token, 0, c.typ, NeverRan)
			if do := w.See(0, b); len(do) != 1 || do[0].(Ask).Kind != Release {
				t.Errorf("leaves: %v", do)
			}
		}
	}
}

// What a member asked for in vain it asks for again, and nothing else goes out for it meanwhile.
func TestToldAgain(t *testing.T) {
	for _, typ := range []Type{Safe, Keyed, Unsafe} {
		b := New(2)
		b.Member(1, "a", Worker{Incarnation: 1, There: true})
		b.Apply(2, Start, canon.Encode(Job{Name: "j", Kind: "k", Steps: 1, Type: typ, Window: 1}))
		b.Apply(3, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		w := &Work{Name: "a", Incarnation: 1}
		do := w.See(0, b)
		if typ == Unsafe {
			if again := w.Again(); len(again) != 1 || again[0] != do[0] {
				t.Errorf("meant in vain, asked for again: %v", again)
			}
			b.Apply(4, Mean, canon.Encode(do[0].(Ask).Claim))
			do = w.See(0, b)
		}
		told := w.Ended(0, "j", do[0].(Do).Token, 0, typ, Ran)
		if quiet := w.See(0, b); len(told) != 1 || len(quiet) != 0 {
			t.Errorf("%v: told %v, then %v", typ, told, quiet)
		}
		again := w.Again()
		if len(again) != 1 || again[0] != told[0] {
			t.Fatalf("%v: told in vain, asked for again: %v", typ, again)
		}
		b.Apply(5, Did, canon.Encode(again[0].(Ask).Claim))
		if w.See(0, b); b.Jobs["j"].State != Finished || len(w.Again()) != 0 {
			t.Errorf("%v: %+v, and asks on", typ, b.Jobs["j"])
		}
	}
}
