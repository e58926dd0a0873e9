package owner

import (
	"fmt"
	"testing"

	"poppymill/internal/canon"
)

// agentHarness feeds log entries to an agent.
type agentHarness struct {
	agent *Agent
	index uint64
}

func (h *agentHarness) agree(kind string, c any) {
	h.index++
	h.agent.Book.Apply(h.index, kind, canon.Encode(c))
}
func (h *agentHarness) member(name string, w Worker) {
	h.index++
	h.agent.Book.Member(h.index, name, w)
}

func describe(actions []any) (text string) {
	for _, d := range actions {
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

// Tests that a leading agent proposes grants at the retry interval, and that an owner executes steps, counts
// unanswered ones as lost, backs off before sending them again, raises the token at its own executing gateway on
// every grant, and, when leaving, releases its jobs and is granted no more.
func TestAgent(t *testing.T) {
	h := &agentHarness{agent: NewAgent(DefaultLimits())}
	a := h.agent
	check := func(what string, actions []any, want string) {
		t.Helper()
		if got := describe(actions); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	h.member("a", Worker{Incarnation: 1, There: true})
	h.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Safe, Window: 1})
	leadsEvent := Followed{Name: "a", Incarnation: 1, Leads: true}
	check("becomes leader", a.Handle(0, leadsEvent), "grant j/0; ")
	check("already proposed", a.Handle(10, leadsEvent), "")
	check("proposal timed out", a.Handle(a.Next(), nil), "grant j/0; ")
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	check("granted", a.Handle(1100, leadsEvent), "raise j to 1; do j/0 under 1; ")
	check("in flight", a.Handle(1200, leadsEvent), "")
	if next := a.Next(); next != 1100+a.limits.EffectTimeout {
		t.Errorf("next deadline %.0f", next)
	}
	check("lost: backs off", a.Handle(3100, nil), "")
	check("after the back-off", a.Handle(3200, nil), "do j/0 under 1; ")
	check("late NeverRan for an effect counted as lost", a.Handle(3210, Ended{"j", 1, 1, NeverRan}), "")
	check("ran", a.Handle(3250, Ended{"j", 1, 0, Ran}), "did j/0; ")
	check("report lost", a.Handle(3300, ProposalDone{Failed: true}), "")
	check("report sent again", a.Handle(3300+a.limits.RetryInterval, nil), "did j/0; ")
	h.agree(Did, Claim{Job: "j", Token: 1, Step: 0})
	check("next step", a.Handle(4500, leadsEvent), "do j/1 under 1; ")
	check("leaves with a step in flight", a.Handle(4600, Leaving{}), "")
	if a.Idle() {
		t.Error("idle with a step in flight")
	}
	check("that step never ran", a.Handle(4700, Ended{"j", 1, 1, NeverRan}), "release j/0; ")
	h.agree(Release, Claim{Job: "j", Token: 1, Leaving: true})
	a.Handle(4800, leadsEvent)
	if !a.Idle() {
		t.Error("not idle with nothing in flight")
	}
	if r := a.Book.Apply(99, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 1})); r != ErrMemberAbsent {
		t.Errorf("granted while leaving: %v", r)
	}
	h.member("a", Worker{Incarnation: 2, There: true})
	if _, ok := a.Book.Apply(100, Grant, canon.Encode(Claim{Job: "j", Name: "a", Incarnation: 2})).(Job); !ok {
		t.Error("its next process can't be granted a job")
	}
}

// Tests that a fence ends a grant, that the next grant has a newer token, and that steps in flight become
// uncertain.
func TestFence(t *testing.T) {
	h := &agentHarness{agent: NewAgent(DefaultLimits())}
	h.member("a", Worker{Incarnation: 1, There: true})
	h.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Unsafe, Window: 1})
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	h.agree(Mean, Claim{Job: "j", Token: 1, Step: 0})
	h.agree(Fence, Claim{Job: "j"})
	j := h.agent.Book.Jobs["j"]
	if j.Owner != "" || j.Uncertain[0] != 1 {
		t.Errorf("fenced: %+v", j)
	}
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	if j.Token != 2 || len(j.History) != 4 {
		t.Errorf("granted again: %+v", j)
	}
	r := j.Report()
	if len(r.Doubt) != 1 || r.Doubt[0].Owner != "a" || r.Doubt[0].Token != 1 {
		t.Errorf("report of the uncertain step: %+v", r.Doubt)
	}
}
