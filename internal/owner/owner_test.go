package owner

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"poppymill/internal/codec"
)

// simulation is a small fleet: one log, members that apply it with random delay, and an executing gateway that
// checks tokens. It states the rules independently of the code: who may run what follows from the order of the log
// alone.
type simulation struct {
	log           []func(*StateMachine, uint64) // committed entries, in order
	stateMachines []*StateMachine               // per member, as far as it has applied the log
	applied       []int
	executors     []*Executor
	inFlight      []delayedEffect // effects and replies in flight, with unbounded delay
	checkers      map[string]*TokenChecker
	ran           map[string]int    // by job and step: how often the effect happened
	admitted      map[string]int    // how often the token alone allowed it
	highest       map[string]uint64 // highest accepted token, per job
	lossy         bool              // proposals are lost at random
	t             *rapid.T
}

type delayedEffect struct {
	sender  int
	effect  SendEffect
	isReply bool // the effect has happened and its reply is in flight
	err     error
}

func (p *simulation) agree(kind string, data any) {
	text := codec.Encode(data)
	p.log = append(p.log, func(b *StateMachine, index uint64) { b.Apply(index, kind, text) })
}

func (p *simulation) member(name string, w Member) {
	p.log = append(p.log, func(b *StateMachine, index uint64) { b.ApplyMember(index, name, w) })
}

// follow applies up to so many log entries on a member and performs its actions.
func (p *simulation) follow(i, places int) {
	for range min(places, len(p.log)-p.applied[i]) {
		p.log[p.applied[i]](p.stateMachines[i], uint64(p.applied[i]+1))
		p.applied[i]++
	}
	p.perform(i, p.executors[i].Sync(0, p.stateMachines[i]))
}

func (p *simulation) perform(i int, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			if p.lossy && rapid.IntRange(0, 3).Draw(p.t, "proposal lost") == 0 {
				continue
			}
			p.agree(a.Kind, a.Claim)
		case SendEffect:
			p.inFlight = append(p.inFlight, delayedEffect{sender: i, effect: a})
		}
	}
}

// deliver delivers an effect to the executing gateway, or a reply to its sender.
func (p *simulation) deliver(n int, lose bool) {
	msg := p.inFlight[n]
	p.inFlight = append(p.inFlight[:n:n], p.inFlight[n+1:]...)
	key := fmt.Sprint(msg.effect.Job.Name, "/", msg.effect.Step)
	if msg.isReply {
		end := Ran
		if lose {
			end = Uncertain
		} else if msg.err != nil {
			end = Refused
		}
		p.perform(msg.sender, p.executors[msg.sender].HandleEnd(0, msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type, end))
		return
	}
	if lose {
		p.perform(msg.sender, p.executors[msg.sender].HandleEnd(0, msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type, Uncertain))
		return
	}
	_, again, err := p.checkers["place"].Check(msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type)
	if msg.err, msg.isReply = err, true; err == nil {
		if msg.effect.Token < p.highest[msg.effect.Job.Name] {
			p.t.Fatalf("%s under token %d after %d", key, msg.effect.Token, p.highest[msg.effect.Job.Name])
		}
		p.highest[msg.effect.Job.Name] = msg.effect.Token
		p.admitted[key]++
		if !again {
			p.ran[key]++
		}
	}
	p.inFlight = append(p.inFlight, msg)
}

// Owners are frozen, partitioned, replaced and come back; effects and replies are delayed without bound or lost. A
// token never decreases at the executing gateway; an unsafe step is accepted there once by log and tokens alone,
// without the record of steps; in the end, once every uncertain step is resolved truthfully, all steps are done.
func TestRandomOwnerChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		typ := Type(rapid.IntRange(0, 2).Draw(t, "type"))
		p := &simulation{t: t, checkers: map[string]*TokenChecker{"place": NewTokenChecker(4)}, ran: map[string]int{}, admitted: map[string]int{}, lossy: true, highest: map[string]uint64{}}
		names := []string{"a", "b", "c"}
		inc := uint64(0)
		workers := map[string]Member{}
		for i, name := range names {
			inc++
			workers[name] = Member{Incarnation: inc, Present: true}
			p.member(name, workers[name])
			p.stateMachines, p.applied, p.executors = append(p.stateMachines, New(8)), append(p.applied, 0), append(p.executors, &Executor{Name: name, Incarnation: inc})
			_ = i
		}
		p.agree(Start, Job{Name: "j", Kind: "k", Steps: 6, Type: typ, Window: 2})
		p.agree(Start, Job{Name: "k", Kind: "k", Steps: 4, Type: typ, Window: 3})
		planner, now := &Planner{HoldDown: 10, MaxHoldDown: 100}, 0.0
		fullState := func() *StateMachine { // the whole log applied, as on a leader
			b := New(8)
			for i, c := range p.log {
				c(b, uint64(i+1))
			}
			return b
		}
		plan := func() {
			now += 50
			for _, c := range planner.Plan(now, fullState()) {
				p.agree(Grant, c)
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "member")
			name := names[i]
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1:
				p.follow(i, rapid.IntRange(1, 6).Draw(t, "entries"))
			case 2, 3, 4:
				if len(p.inFlight) > 0 {
					p.deliver(rapid.IntRange(0, len(p.inFlight)-1).Draw(t, "message"), rapid.IntRange(0, 5).Draw(t, "lost") == 0)
				}
			case 5:
				plan()
			case 6: // declared lost, whatever it does
				if w := workers[name]; w.Present {
					w.Present, w.Losses = false, w.Losses+1
					workers[name] = w
					p.member(name, w)
				}
			case 7: // back under the same incarnation
				if w := workers[name]; !w.Present {
					w.Present = true
					workers[name] = w
					p.member(name, w)
				}
			case 8: // a new process; effects of the old one are still in flight
				inc++
				workers[name] = Member{Incarnation: inc, Present: true, Losses: workers[name].Losses + 1}
				p.member(name, workers[name])
				p.executors[i] = &Executor{Name: name, Incarnation: inc}
			}
		}
		// Faults stop: all members apply the whole log, everything in flight arrives, and an operator resolves
		// uncertain steps truthfully.
		p.lossy = false
		for round := 0; ; round++ {
			b := fullState()
			if b.Jobs["j"].State == Finished && b.Jobs["k"].State == Finished {
				break
			}
			if round > 300 {
				t.Fatalf("not done: %+v %+v", b.Jobs["j"], b.Jobs["k"])
			}
			for i, name := range names {
				if !workers[name].Present {
					w := workers[name]
					w.Present = true
					workers[name] = w
					p.member(name, w)
				}
				p.follow(i, len(p.log))
				p.perform(i, p.executors[i].Resend())
			}
			for len(p.inFlight) > 0 {
				p.deliver(0, false)
			}
			plan()
			for _, j := range fullState().All() {
				for step := range j.Uncertain {
					p.agree(Resolve, Claim{Job: j.Name, Step: step, Ran: p.ran[fmt.Sprint(j.Name, "/", step)] > 0})
				}
			}
		}
		for _, job := range []struct {
			name  string
			steps int
		}{{"j", 6}, {"k", 4}} {
			for step := range job.steps {
				n := p.ran[fmt.Sprint(job.name, "/", step)]
				if n == 0 || n > 1 && typ != Safe || typ == Unsafe && p.admitted[fmt.Sprint(job.name, "/", step)] != 1 {
					t.Fatalf("step %d of %s, %v, ran %d times", step, job.name, typ, n)
				}
			}
		}
		// Equal states have equal encodings, and an encoded state can be loaded.
		b, again := fullState(), New(8)
		if err := again.Load(b.Save()); err != nil || !bytes.Equal(again.Save(), b.Save()) {
			t.Fatalf("state after a reload differs: %v", err)
		}
	})
}

// The critical case, step by step: the owner is frozen after it checked its ownership, a successor takes over, and
// then the old owner's effect arrives.
func TestStaleOwnerFenced(t *testing.T) {
	for _, typ := range []Type{Safe, Keyed, Unsafe} {
		b, g := New(4), NewTokenChecker(4)
		b.ApplyMember(1, "a", Member{Incarnation: 1, Present: true})
		b.ApplyMember(2, "b", Member{Incarnation: 2, Present: true})
		b.Apply(3, Start, codec.Encode(Job{Name: "j", Kind: "k", Steps: 3, Type: typ, Window: 1}))
		b.Apply(4, Grant, codec.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		a := &Executor{Name: "a", Incarnation: 1}
		actions := a.Sync(0, b)
		if typ == Unsafe {
			ask := actions[0].(Propose)
			b.Apply(5, ask.Kind, codec.Encode(ask.Claim))
			actions = a.Sync(0, b)
		}
		held := actions[0].(SendEffect) // frozen before it sends this
		if r := b.Apply(6, Grant, codec.Encode(Claim{Job: "j", Name: "b", Incarnation: 2})); r != ErrHasOwner {
			t.Errorf("%v: a second owner while the first is present: %v", typ, r)
		}
		b.ApplyMember(7, "a", Member{Incarnation: 1, Losses: 1})
		if r := b.Apply(8, Grant, codec.Encode(Claim{Job: "j", Name: "b", Incarnation: 2})); r.(Job).Token <= held.Token {
			t.Errorf("%v: token %d after %d", typ, r.(Job).Token, held.Token)
		}
		next := &Executor{Name: "b", Incarnation: 2}
		step := -1
		for _, x := range next.Sync(0, b) {
			if ask, ok := x.(Propose); ok {
				b.Apply(9, ask.Kind, codec.Encode(ask.Claim))
				for _, x := range next.Sync(0, b) {
					step = x.(SendEffect).Step
				}
			} else {
				step = x.(SendEffect).Step
			}
		}
		if _, _, err := g.Check("j", b.Jobs["j"].Token, max(step, 1), typ); err != nil {
			t.Errorf("%v: the new owner is refused: %v", typ, err)
		}
		var stale StaleTokenError
		if _, _, err := g.Check("j", held.Token, held.Step, typ); !errors.As(err, &stale) || stale.Newer != b.Jobs["j"].Token {
			t.Errorf("%v: effect of the old owner: %v", typ, err)
		}
		if _, doubt := b.Jobs["j"].Uncertain[held.Step]; doubt != (typ == Unsafe) || typ == Unsafe && step == held.Step {
			t.Errorf("%v: a step that may have run: new owner sends step %d; uncertain: %t", typ, step, doubt)
		}
		if r := b.Apply(10, Complete, codec.Encode(Claim{Job: "j", Token: held.Token, Step: held.Step})); (r == ErrStaleToken) != (typ != Unsafe) {
			t.Errorf("%v: late report of the old owner: %v", typ, r)
		}
	}
}

// Tests that jobs are spread by load, and that the hold-down of a member that is lost repeatedly doubles each
// time; the jobs of a member that returns may have been granted to others in the meantime.
func TestPlanner(t *testing.T) {
	b, p := New(8), &Planner{HoldDown: 1000, MaxHoldDown: 8000}
	for i, name := range []string{"a", "b", "c"} {
		b.ApplyMember(uint64(i+1), name, Member{Incarnation: uint64(i + 1), Present: true})
	}
	for i := range 6 {
		b.Apply(uint64(10+i), Start, codec.Encode(Job{Name: fmt.Sprint("j", i), Kind: "k", Steps: 1, Window: 1}))
	}
	load := map[string]int{}
	for i, c := range p.Plan(0, b) {
		load[c.Name]++
		b.Apply(uint64(20+i), Grant, codec.Encode(c))
	}
	if fmt.Sprint(load) != "map[a:2 b:2 c:2]" {
		t.Errorf("spread %v", load)
	}
	at := 0.0
	for loss := uint64(1); loss <= 5; loss++ {
		b.ApplyMember(100+loss, "a", Member{Incarnation: 1, Losses: loss})
		for _, c := range p.Plan(at, b) {
			b.Apply(110+loss, Grant, codec.Encode(c))
		}
		b.ApplyMember(120+loss, "a", Member{Incarnation: 1, Present: true, Losses: loss})
		p.Plan(at, b)
		name := fmt.Sprint("new", loss)
		for _, other := range []string{"b", "c"} { // both own more jobs than a
			if j := b.Jobs["j0"]; j.Owner == "a" {
				t.Errorf("a owns j0 after its loss (checked beside %s)", other)
			}
		}
		holdDown := min(8000, 1000*float64(uint64(1)<<(loss-1)))
		b.Apply(130+loss, Start, codec.Encode(Job{Name: name, Kind: "k", Steps: 1, Window: 1}))
		if c := p.Plan(at+holdDown-1, b); len(c) != 1 || c[0].Name == "a" {
			t.Errorf("after %d losses, within %.0f ms: %v", loss, holdDown, c)
		}
		if c := p.Plan(at+holdDown, b); len(c) != 1 || c[0].Name != "a" {
			t.Errorf("after %d losses and %.0f ms: %v", loss, holdDown, c)
		}
		b.Apply(140+loss, Stop, codec.Encode(Claim{Job: name}))
		at += holdDown + 1
	}
}

// Tests that with all members in hold-down a job is granted to the one whose hold-down ends first, rather than to
// none.
func TestPlannerAllHeldDown(t *testing.T) {
	b, p := New(8), &Planner{HoldDown: 1000, MaxHoldDown: 60_000}
	for i, name := range []string{"a", "b", "c"} {
		b.ApplyMember(uint64(i+1), name, Member{Incarnation: uint64(i + 1), Present: true, Losses: uint64(3 + (i+1)%3)}) // a 4, b 5, c 3
	}
	b.Apply(10, Start, codec.Encode(Job{Name: "j", Kind: "k", Steps: 1, Window: 1}))
	if c := p.Plan(0, b); len(c) != 1 || c[0].Name != "c" {
		t.Errorf("three members in hold-down: %v", c)
	}
	b.ApplyMember(11, "c", Member{Incarnation: 3, Losses: 4})
	if c := p.Plan(10, b); len(c) != 1 || c[0].Name != "a" {
		t.Errorf("two members in hold-down: %v", c)
	}
	b.ApplyMember(12, "d", Member{Incarnation: 9, Present: true})
	if c := p.Plan(20, b); len(c) != 1 || c[0].Name != "d" {
		t.Errorf("one member not in hold-down: %v", c)
	}
}

// Tests that invalid commands change nothing and return the right error, and that memory is bounded.
func TestRefusals(t *testing.T) {
	b := New(2)
	b.ApplyMember(1, "a", Member{Incarnation: 1, Present: true})
	job := Job{Name: "j", Kind: "k", Steps: 2, Type: Unsafe, Window: 2}
	for i, c := range []struct {
		kind string
		data any
		want error
	}{
		{Start, Job{Name: "j", Kind: "k", Steps: 0, Window: 1}, ErrMalformed}, {Grant, Claim{Job: "j"}, ErrUnknownJob}, {Start, job, nil}, {Start, job, nil},
		{Start, Job{Name: "j", Kind: "other", Steps: 2, Type: Unsafe, Window: 2}, ErrConflict},
		{Grant, Claim{Job: "j", Name: "b", Incarnation: 1}, ErrMemberAbsent}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 2}, ErrMemberAbsent},
		{Intend, Claim{Job: "j", Token: 0}, ErrStaleToken}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 1}, nil},
		{Complete, Claim{Job: "j", Token: 1}, ErrMalformed}, {Intend, Claim{Job: "j", Token: 1}, nil}, {Intend, Claim{Job: "j", Token: 1}, ErrAlreadySent},
		{Resolve, Claim{Job: "j", Ran: true}, ErrAlreadySent}, {Release, Claim{Job: "j", Token: 7}, ErrStaleToken}, {Release, Claim{Job: "j", Token: 1}, nil},
		{Intend, Claim{Job: "j", Token: 1, Step: 1}, ErrStaleToken}, {Grant, Claim{Job: "j", Name: "a", Incarnation: 1}, nil},
		{Intend, Claim{Job: "j", Token: 2, Step: 0}, ErrAlreadySent}, {Resolve, Claim{Job: "j"}, nil}, {Intend, Claim{Job: "j", Token: 2, Step: 0}, nil},
		{MarkUncertain, Claim{Job: "j", Token: 1, Step: 0}, ErrStaleToken}, {Complete, Claim{Job: "j", Token: 2, Step: 0}, nil}, {Complete, Claim{Job: "j", Token: 2, Step: 0}, nil},
		{Start, Job{Name: "k", Steps: 1, Window: 1}, nil}, {Start, Job{Name: "l", Steps: 1, Window: 1}, ErrFull},
		{Stop, Claim{Job: "k"}, nil}, {Stop, Claim{Job: "k"}, ErrNotRunning}, {Start, Job{Name: "l", Steps: 1, Window: 1}, nil}, {"odd", Claim{Job: "j"}, ErrMalformed},
	} {
		got, _ := b.Apply(uint64(10+i), c.kind, codec.Encode(c.data)).(error)
		if got != c.want {
			t.Errorf("%d: %s %+v: %v, want %v", i, c.kind, c.data, got, c.want)
		}
	}
	g := NewTokenChecker(2)
	for i := range uint64(10) {
		if _, _, err := g.Check(fmt.Sprint("j", i), i+1, 0, Safe); err != nil || len(g.jobs) > 2 {
			t.Errorf("job %d: %v, %d remembered", i, err, len(g.jobs))
		}
	}
	if _, _, err := g.Check("j0", 1, 0, Safe); err == nil {
		t.Error("a token of a forgotten job is accepted")
	}
	// After a restart of the executing gateway everything refused before is refused again, also for forgotten jobs.
	again := NewTokenChecker(2)
	again.Restore(g.Snapshot())
	for i := range uint64(10) {
		if job := fmt.Sprint("j", i); again.Highest(job) != g.Highest(job) {
			t.Errorf("%s: %d after a restart, %d before", job, again.Highest(job), g.Highest(job))
		}
	}
	if _, _, err := again.Check("j9", 9, 0, Safe); err == nil {
		t.Error("an old token is accepted after a restart")
	}
}

// The outcome of a step decides whether it is sent again: a step that never ran is; one that may have run only if
// its type allows it. An owner that leaves sends nothing new and releases its jobs once its effects in flight have
// ended.
func TestStepOutcomes(t *testing.T) {
	for _, c := range []struct {
		typ  Type
		end  Outcome
		want string
	}{
		{Safe, Uncertain, "do 0"}, {Keyed, Uncertain, "do 0"}, {Unsafe, Uncertain, "unsure 0"}, {Unsafe, NotRun, "do 0"}, {Safe, Ran, "did 0"},
		{Unsafe, Ran, "did 0"}, {Safe, Refused, "release 0"},
	} {
		b := New(2)
		b.ApplyMember(1, "a", Member{Incarnation: 1, Present: true})
		b.Apply(2, Start, codec.Encode(Job{Name: "j", Kind: "k", Steps: 1, Type: c.typ, Window: 1}))
		b.Apply(3, Grant, codec.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		w := &Executor{Name: "a", Incarnation: 1}
		actions := w.Sync(0, b)
		if ask, ok := actions[0].(Propose); ok {
			b.Apply(4, ask.Kind, codec.Encode(ask.Claim))
			actions = w.Sync(0, b)
		}
		if again := w.Sync(0, b); len(again) != 0 {
			t.Errorf("%v: sent twice: %v", c.typ, again)
		}
		actions = append(w.HandleEnd(0, "j", actions[0].(SendEffect).Token, 0, c.typ, c.end), w.Sync(0, b)...)
		got := ""
		for _, x := range actions {
			switch x := x.(type) {
			case SendEffect:
				got += fmt.Sprintf("do %d", x.Step)
			case Propose:
				got += fmt.Sprintf("%s %d", x.Kind, x.Claim.Step)
			}
		}
		if got != c.want {
			t.Errorf("%v after %d: %s, want %s", c.typ, c.end, got, c.want)
		}
		w.Leave()
		if c.want == "do 0" {
			if actions := w.Sync(0, b); len(actions) != 0 {
				t.Errorf("leaving with a step in flight: %v", actions)
			}
			w.HandleEnd(0, "j", b.Jobs["j"].Token, 0, c.typ, NotRun)
			if actions := w.Sync(0, b); len(actions) != 1 || actions[0].(Propose).Kind != Release {
				t.Errorf("leaving: %v", actions)
			}
		}
	}
}

// Tests that lost proposals are sent again, and that nothing else is sent for the step in the meantime.
func TestUnconfirmedProposalsResent(t *testing.T) {
	for _, typ := range []Type{Safe, Keyed, Unsafe} {
		b := New(2)
		b.ApplyMember(1, "a", Member{Incarnation: 1, Present: true})
		b.Apply(2, Start, codec.Encode(Job{Name: "j", Kind: "k", Steps: 1, Type: typ, Window: 1}))
		b.Apply(3, Grant, codec.Encode(Claim{Job: "j", Name: "a", Incarnation: 1}))
		w := &Executor{Name: "a", Incarnation: 1}
		actions := w.Sync(0, b)
		if typ == Unsafe {
			if again := w.Resend(); len(again) != 1 || again[0] != actions[0] {
				t.Errorf("lost Mean proposal sent again: %v", again)
			}
			b.Apply(4, Intend, codec.Encode(actions[0].(Propose).Claim))
			actions = w.Sync(0, b)
		}
		reported := w.HandleEnd(0, "j", actions[0].(SendEffect).Token, 0, typ, Ran)
		if idle := w.Sync(0, b); len(reported) != 1 || len(idle) != 0 {
			t.Errorf("%v: reported %v, then %v", typ, reported, idle)
		}
		again := w.Resend()
		if len(again) != 1 || again[0] != reported[0] {
			t.Fatalf("%v: lost report sent again: %v", typ, again)
		}
		b.Apply(5, Complete, codec.Encode(again[0].(Propose).Claim))
		if w.Sync(0, b); b.Jobs["j"].State != Finished || len(w.Resend()) != 0 {
			t.Errorf("%v: not finished, or still proposing: %+v", typ, b.Jobs["j"])
		}
	}
}
