package owner

import (
	"fmt"
	"testing"

	"poppymill/internal/codec"
)

// agentHarness feeds log entries to an agent.
type agentHarness struct {
	agent *Agent
	index uint64
}

func (h *agentHarness) agree(kind string, c any) {
	h.index++
	h.agent.State.Apply(h.index, kind, codec.Encode(c))
}
func (h *agentHarness) member(name string, w Member) {
	h.index++
	h.agent.State.ApplyMember(h.index, name, w)
}

func describe(actions []any) (text string) {
	for _, d := range actions {
		switch d := d.(type) {
		case SendEffect:
			text += fmt.Sprintf("do %s/%d under %d; ", d.Job.Name, d.Step, d.Token)
		case Propose:
			text += fmt.Sprintf("%s %s/%d; ", d.Kind, d.Claim.Job, d.Claim.Step)
		case RaiseToken:
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
	h.member("a", Member{Incarnation: 1, Present: true})
	h.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Safe, Window: 1})
	leadsEvent := LogApplied{Name: "a", Incarnation: 1, Leads: true}
	check("becomes leader", a.Handle(0, leadsEvent), "grant j/0; ")
	check("already proposed", a.Handle(10, leadsEvent), "")
	check("proposal timed out", a.Handle(a.NextDeadline(), nil), "grant j/0; ")
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	check("granted", a.Handle(1100, leadsEvent), "raise j to 1; do j/0 under 1; ")
	check("in flight", a.Handle(1200, leadsEvent), "")
	if next := a.NextDeadline(); next != 1100+a.limits.EffectTimeout {
		t.Errorf("next deadline %.0f", next)
	}
	check("lost: backs off", a.Handle(3100, nil), "")
	check("after the back-off", a.Handle(3200, nil), "do j/0 under 1; ")
	check("late NeverRan for an effect counted as lost", a.Handle(3210, StepEnded{"j", 1, 1, NotRun}), "")
	check("ran", a.Handle(3250, StepEnded{"j", 1, 0, Ran}), "did j/0; ")
	check("report lost", a.Handle(3300, ProposalDone{Failed: true}), "")
	check("report sent again", a.Handle(3300+a.limits.RetryInterval, nil), "did j/0; ")
	h.agree(Complete, Claim{Job: "j", Token: 1, Step: 0})
	check("next step", a.Handle(4500, leadsEvent), "do j/1 under 1; ")
	check("leaves with a step in flight", a.Handle(4600, Leaving{}), "")
	if a.Idle() {
		t.Error("idle with a step in flight")
	}
	check("that step never ran", a.Handle(4700, StepEnded{"j", 1, 1, NotRun}), "release j/0; ")
	h.agree(Release, Claim{Job: "j", Token: 1, Leaving: true})
	a.Handle(4800, leadsEvent)
	if !a.Idle() {
		t.Error("not idle with nothing in flight")
	}
	if r := a.State.Apply(99, Grant, codec.Encode(Claim{Job: "j", Name: "a", Incarnation: 1})); r != ErrMemberAbsent {
		t.Errorf("granted while leaving: %v", r)
	}
	h.member("a", Member{Incarnation: 2, Present: true})
	if _, ok := a.State.Apply(100, Grant, codec.Encode(Claim{Job: "j", Name: "a", Incarnation: 2})).(Job); !ok {
		t.Error("its next process can't be granted a job")
	}
}

// Tests that a fence ends a grant, that the next grant has a newer token, and that steps in flight become
// uncertain.
func TestFence(t *testing.T) {
	h := &agentHarness{agent: NewAgent(DefaultLimits())}
	h.member("a", Member{Incarnation: 1, Present: true})
	h.agree(Start, Job{Name: "j", Kind: "k", Steps: 2, Type: Unsafe, Window: 1})
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	h.agree(Intend, Claim{Job: "j", Token: 1, Step: 0})
	h.agree(Fence, Claim{Job: "j"})
	j := h.agent.State.Jobs["j"]
	if j.Owner != "" || j.Uncertain[0] != 1 {
		t.Errorf("fenced: %+v", j)
	}
	h.agree(Grant, Claim{Job: "j", Name: "a", Incarnation: 1})
	if j.Token != 2 || len(j.History) != 4 {
		t.Errorf("granted again: %+v", j)
	}
	r := j.Report()
	if len(r.Uncertain) != 1 || r.Uncertain[0].Owner != "a" || r.Uncertain[0].Token != 1 {
		t.Errorf("report of the uncertain step: %+v", r.Uncertain)
	}
}
