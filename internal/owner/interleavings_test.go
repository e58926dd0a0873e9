package owner

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/codec"
)

// model is one state of a small fleet: three members, up to two jobs of one step each, one executing gateway, and
// everything in flight. From every state each possible next event is tried: commands committed in any order, twice
// or never; members that apply the log late, are declared lost, or crash and return as new processes; effects and
// replies that arrive late, twice or never.
type model struct {
	log       []entry
	full      view // after the whole log
	members   []memberModel
	proposals []proposal // not yet in the log
	inFlight  []message  // effects and replies
	checker   *TokenChecker
	highest   map[string]uint64
	admitted  map[string]int // effects accepted by their token, per job
	ran       map[string]int
	budget    [5]int // crashes, lease expiries, lost messages, duplicates and grants that may still happen
}

type entry struct {
	kind   string
	data   []byte
	name   string // the member, if the entry is a membership change
	worker Member
}

type memberModel struct {
	incarnation uint64
	applied     int // log entries applied
	state       view
	executor    *Executor
}

// view is an immutable state machine and its encoding.
type view struct {
	*StateMachine
	encoded string
}

// after returns the view that results from an entry, without the fields that are only reported to operators.
func (v view) after(e entry, index int) view {
	b := New(v.MaxJobs)
	b.LastToken = v.LastToken
	for name, j := range v.Jobs {
		c := j.clone()
		b.Jobs[name] = &c
	}
	for name, w := range v.Workers {
		b.Workers[name] = w
	}
	if e.name != "" {
		b.ApplyMember(uint64(index), e.name, e.worker)
	} else {
		b.Apply(uint64(index), e.kind, e.data)
	}
	for _, j := range b.Jobs {
		j.History, j.Since, j.Grants = nil, 0, 0
	}
	return view{b, string(b.Save())}
}

type proposal struct {
	kind  string
	claim Claim
}

type message struct {
	sender      int
	incarnation uint64
	effect      SendEffect
	isReply     bool
	refused     bool
}

const (
	crashes = iota
	expiries
	losses
	duplicates
	grants
)

var memberNames = []string{"a", "b", "c"}

func (s *model) add(e entry) {
	s.log = append(s.log[:len(s.log):len(s.log)], e)
	s.full = s.full.after(e, len(s.log))
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	n := make(map[K]V, len(m))
	for k, v := range m {
		n[k] = v
	}
	return n
}

func (x *Executor) clone() *Executor {
	n := *x
	n.jobs = map[string]*ownedJob{}
	for name, owned := range x.jobs {
		c := *owned
		c.sent, c.intending, c.unconfirmed = copyMap(owned.sent), copyMap(owned.intending), copyMap(owned.unconfirmed)
		n.jobs[name] = &c
	}
	return &n
}

func (s *model) clone() *model {
	n := *s
	n.members = slices.Clone(s.members)
	for i := range n.members {
		n.members[i].executor = s.members[i].executor.clone()
	}
	n.proposals, n.inFlight = slices.Clone(s.proposals), slices.Clone(s.inFlight)
	g := NewTokenChecker(4)
	g.Restore(s.checker.Snapshot())
	for job, m := range s.checker.jobs {
		for _, step := range m.sorted {
			g.RestoreStep(job, step)
		}
	}
	n.checker = g
	n.highest, n.admitted, n.ran = copyMap(s.highest), copyMap(s.admitted), copyMap(s.ran)
	return &n
}

// fingerprint encodes a state so that equal states have equal fingerprints; messages in flight have no order.
func (s *model) fingerprint() string {
	var b strings.Builder
	b.WriteString(s.full.encoded)
	for _, m := range s.members {
		fmt.Fprintf(&b, "|%d %d ", m.incarnation, len(s.log)-m.applied)
		b.WriteString(m.state.encoded)
		for _, name := range []string{"j", "k"} {
			if owned := m.executor.jobs[name]; owned != nil {
				fmt.Fprint(&b, name, owned.token, owned.sent, owned.intending, len(owned.unconfirmed), owned.releasing, owned.refused)
			}
		}
	}
	var pending []string
	for _, x := range s.proposals {
		pending = append(pending, fmt.Sprint("?", x))
	}
	for _, msg := range s.inFlight {
		pending = append(pending, fmt.Sprint("!", msg.sender, msg.incarnation, msg.effect.Job.Name, msg.effect.Token, msg.isReply, msg.refused))
	}
	slices.Sort(pending)
	fmt.Fprint(&b, pending, s.checker.jobs, s.checker.floor, s.admitted, s.ran, s.budget)
	// Entries that some member has yet to apply.
	minApplied := len(s.log)
	for _, m := range s.members {
		minApplied = min(minApplied, m.applied)
	}
	for _, e := range s.log[minApplied:] {
		fmt.Fprintf(&b, "%s %x %s %v;", e.kind, e.data, e.name, e.worker)
	}
	return b.String()
}

func (s *model) perform(i int, actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			if x := (proposal{a.Kind, a.Claim}); !slices.Contains(s.proposals, x) {
				s.proposals = append(s.proposals, x)
			}
		case SendEffect:
			s.inFlight = append(s.inFlight, message{sender: i, incarnation: s.members[i].incarnation, effect: a})
		}
	}
}

// next returns all possible next states.
func (s *model) next() (all []*model) {
	branch := func(use int, do func(n *model)) {
		n := s.clone()
		if use >= 0 {
			if n.budget[use] == 0 {
				return
			}
			n.budget[use]--
		}
		do(n)
		all = append(all, n)
	}
	for i, m := range s.members {
		if m.applied < len(s.log) {
			branch(-1, func(n *model) { // applies one entry and acts on it
				x := &n.members[i]
				x.state = x.state.after(n.log[x.applied], x.applied+1)
				x.applied++
				n.perform(i, x.executor.Sync(0, x.state.StateMachine))
			})
		}
		w := s.full.Workers[memberNames[i]]
		if w.Present {
			branch(expiries, func(n *model) {
				n.add(entry{name: memberNames[i], worker: Member{Incarnation: w.Incarnation, Losses: w.Losses + 1}})
			})
		} else {
			branch(-1, func(n *model) {
				n.add(entry{name: memberNames[i], worker: Member{Incarnation: w.Incarnation, Present: true, Losses: w.Losses}})
			})
		}
		branch(crashes, func(n *model) { // a new process; effects of the old one are still in flight
			inc := uint64(10 + n.budget[crashes])
			inc = 20 - inc
			n.add(entry{name: memberNames[i], worker: Member{Incarnation: inc, Present: true, Losses: w.Losses + 1}})
			n.members[i] = memberModel{incarnation: inc, applied: n.members[i].applied, state: n.members[i].state, executor: &Executor{Name: memberNames[i], Incarnation: inc}}
		})
	}
	for x := range s.proposals {
		commit := func(n *model) { n.add(entry{kind: n.proposals[x].kind, data: codec.Encode(n.proposals[x].claim)}) }
		branch(-1, func(n *model) { commit(n); n.proposals = slices.Delete(n.proposals, x, x+1) })
		branch(duplicates, commit) // arrives once more, later
		branch(losses, func(n *model) { n.proposals = slices.Delete(n.proposals, x, x+1) })
	}
	for _, j := range s.full.All() {
		if j.Owner != "" || j.State != Running {
			continue
		}
		for _, name := range memberNames {
			if w := s.full.Workers[name]; w.Present {
				branch(grants, func(n *model) {
					n.add(entry{kind: Grant, data: codec.Encode(Claim{Job: j.Name, Name: name, Incarnation: w.Incarnation})})
				})
			}
		}
	}
	for x, msg := range s.inFlight {
		deliver := func(n *model) {
			if msg.isReply {
				if m := &n.members[msg.sender]; m.incarnation == msg.incarnation {
					end := Ran
					if msg.refused {
						end = Refused
					}
					n.perform(msg.sender, m.executor.HandleEnd(0, msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type, end))
				}
				return
			}
			_, again, err := n.checker.Check(msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type)
			if err == nil {
				n.admitted[msg.effect.Job.Name]++
				if !again {
					n.ran[msg.effect.Job.Name]++
				}
				if msg.effect.Token < n.highest[msg.effect.Job.Name] {
					panic(fmt.Sprintf("%s: token %d after %d", msg.effect.Job.Name, msg.effect.Token, n.highest[msg.effect.Job.Name]))
				}
				n.highest[msg.effect.Job.Name] = msg.effect.Token
			}
			n.inFlight = append(n.inFlight, message{sender: msg.sender, incarnation: msg.incarnation, effect: msg.effect, isReply: true, refused: err != nil})
		}
		branch(-1, func(n *model) { n.inFlight = slices.Delete(n.inFlight, x, x+1); deliver(n) })
		branch(losses, func(n *model) { // lost; its sender's timeout expires
			n.inFlight = slices.Delete(n.inFlight, x, x+1)
			if m := &n.members[msg.sender]; m.incarnation == msg.incarnation {
				n.perform(msg.sender, m.executor.HandleEnd(0, msg.effect.Job.Name, msg.effect.Token, msg.effect.Step, msg.effect.Job.Type, Uncertain))
			}
		})
		if msg.isReply {
			branch(duplicates, deliver)
		}
	}
	return all
}

// Explores every interleaving of small cases, each with a budget of crashes, lease expiries, lost messages,
// duplicates and grants. The token of a job never decreases at the executing gateway; an unsafe step is accepted
// there at most once by log and tokens alone; a keyed step happens at most once. POPPYMILL_TEST_LONG runs larger
// cases.
func TestEveryInterleaving(t *testing.T) {
	cases := []struct {
		types  []Type
		budget [5]int
	}{{[]Type{Unsafe}, [5]int{1, 0, 1, 0, 2}}, {[]Type{Keyed}, [5]int{0, 1, 0, 0, 2}}, {[]Type{Unsafe, Keyed}, [5]int{0, 0, 0, 0, 2}}}
	if os.Getenv("POPPYMILL_TEST_LONG") != "" {
		cases[0].budget, cases[1].budget, cases[2].budget = [5]int{1, 1, 1, 0, 2}, [5]int{0, 1, 1, 1, 2}, [5]int{2, 0, 1, 0, 3}
	}
	for _, c := range cases {
		initial := &model{full: view{New(4), ""}, checker: NewTokenChecker(4), highest: map[string]uint64{}, admitted: map[string]int{}, ran: map[string]int{}, budget: c.budget}
		for i, name := range memberNames {
			initial.add(entry{name: name, worker: Member{Incarnation: uint64(i + 1), Present: true}})
		}
		jobs := []string{"j", "k"}[:len(c.types)]
		for i, name := range jobs {
			initial.add(entry{kind: Start, data: codec.Encode(Job{Name: name, Kind: "x", Steps: 1, Type: c.types[i], Window: 1})})
		}
		for i, name := range memberNames {
			initial.members = append(initial.members, memberModel{incarnation: uint64(i + 1), applied: len(initial.log), state: initial.full, executor: &Executor{Name: name, Incarnation: uint64(i + 1)}})
		}
		seen, frontier, transitions, finishedStates := map[uint64]bool{xxhash.Sum64String(initial.fingerprint()): true}, []*model{initial}, 0, 0
		for len(frontier) > 0 {
			s := frontier[len(frontier)-1]
			frontier = frontier[:len(frontier)-1]
			for _, n := range s.next() {
				transitions++
				k := xxhash.Sum64String(n.fingerprint())
				if seen[k] {
					continue
				}
				seen[k] = true
				frontier = append(frontier, n)
				finished := true
				for i, name := range jobs {
					if n.ran[name] > 1 && c.types[i] != Safe || c.types[i] == Unsafe && n.admitted[name] > 1 {
						t.Fatalf("%s, %v, ran %d times, accepted %d times:\n%+v", name, c.types[i], n.ran[name], n.admitted[name], n.log)
					}
					finished = finished && n.full.Jobs[name].State == Finished
				}
				if finished {
					finishedStates++
				}
			}
		}
		t.Logf("%v, %v: %d states, all jobs finished in %d of them, %d transitions", c.types, c.budget, len(seen), finishedStates, transitions)
		if finishedStates == 0 {
			t.Error("no state has all jobs finished")
		}
	}
}
