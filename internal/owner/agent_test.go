package owner

import (
	"fmt"
	"testing"

	"poppymill/internal/canon"
)

// told plays what an agent's log brings, and words what it does.
type told struct {
	a     *Agent
	index uint64
}

func (x *told) agree(kind string, c any) { x.index++; x.a.Book.Apply(x.index, kind, canon.Encode(c)) }
func (x *told) member(name string, w Worker) {
	x.index++
	x.a.Book.Member(x.index, name, w)
}

func words(do []any) (text string) {
	for _, d := range do {
		switch d := d.(type) {
		case Do:
			text += fmt.Sprintf("do %s/%d under %d; ", d.Job.Name, d.Step, d.Token)
		case Ask:
			text += fmt.Sprintf("%s %s/%d; ", d.Kind, d.Claim.Job, d.Claim.Step)
		case Raise:
			text += fmt.Sprintf("raise %s to %d; ", d.Job, d.Token)
		}
	}
	return text
}

// An agent that leads asks for grants once in a while; one that owns carries steps out, takes those for lost that nobody answers, rests
// before they go out again, tells its own place of every grant, and gives back what it owns before it leaves, and is granted no more.
func TestAgent(t *testing.T) {
	x := &told{a: NewAgent(DefaultLimits())}
	a := x.a
	check := func(what string, do []any, want string) {
		t.Helper()
		if got := words(do); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	x.member("a", Worker{Incarnation: 1, There: true})
	x.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Safe, Window: 1})
	leads := Followed{Name: "a", Incarnation: 1, Leads: true}
	check("it leads", a.Handle(0, leads), "grant j/0; ")
	check("asked for already", a.Handle(10, leads), "")
	check("asked for in vain", a.Handle(a.Next(), nil), "grant j/0; ")
	x.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	check("granted", a.Handle(1100, leads), "raise j to 1; do j/0 under 1; ")
	check("on its way", a.Handle(1200, leads), "")
	if next := a.Next(); next != 1100+a.set.Effect {
		t.Errorf("due at %.0f", next)
	}
	check("lost: it rests", a.Handle(3100, nil), "")
	check("rested", a.Handle(3200, nil), "do j/0 under 1; ")
	check("an answer to what was taken for lost, that it never ran", a.Handle(3210, Ended{"j", 1, 1, NeverRan}), "")
	check("ran", a.Handle(3250, Ended{"j", 1, 0, Ran}), "did j/0; ")
	check("told in vain", a.Handle(3300, Answered{InVain: true}), "")
	check("again", a.Handle(3300+a.set.Again, nil), "did j/0; ")
	x.agree(Did, Claim{Job: "j", Token: 1, Step: 0})
	check("the next one", a.Handle(4500, leads), "do j/1 under 1; ")
	check("it leaves, with a step out", a.Handle(4600, Leaving{}), "")
	if a.Idle() {
		t.Error("idle with a step out")
	}
	check("that step never ran", a.Handle(4700, Ended{"j", 1, 1, NeverRan}), "release j/0; ")
	x.agree(Release, Claim{Job: "j", Token: 1, Leaving: true})
	a.Handle(4800, leads)
	if !a.Idle() {
		t.Error("not idle with nothing of its own")
	}
	if r := a.Book.Apply(99, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 1})); r != ErrAbsent {
		t.Errorf("granted while it leaves: %v", r)
	}
	x.member("a", Worker{Incarnation: 2, There: true})
	if _, ok := a.Book.Apply(100, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 2})).(Job); !ok {
		t.Error("its next process is granted nothing")
	}
}

// A fence ends a grant, and the next one has a newer token; what was under way is in doubt.
func TestFence(t *testing.T) {
	x := &told{a: NewAgent(DefaultLimits())}
	x.member("a", Worker{Incarnation: 1, There: true})
	x.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Unsafe, Window: 1})
	x.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	x.agree(Mean, Claim{Job: "j", Token: 1, Step: 0})
	x.agree(Fence, Claim{Job: "j"})
	j := x.a.Book.Jobs["j"]
	if j.Owner != "" || j.Doubt[0] != 1 {
		t.Errorf("fenced: %+v", j)
	}
	x.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	if j.Token != 2 || len(j.History) != 4 {
		t.Errorf("granted again: %+v", j)
	}
	r := j.Report()
	if len(r.Doubt) != 1 || r.Doubt[0].Owner != "a" || r.Doubt[0].Token != 1 {
		t.Errorf("told as %+v", r.Doubt)
	}
}
