package owner

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/canon"
)

// small is one state of a fleet of three members, two jobs of one step each and one place, with all that is on its way. Everything
// that can happen next is tried from every state: commands agreed in any order, twice or never, members that follow late, are said to
// be lost, or crash and come back as new processes, effects and answers that come late, twice or never.
type small struct {
	log     []entry
	full    view // as the whole log has it
	members []member
	asks    []asked  // on their way to the log
	flight  []flight // on their way to the place, or back
	gate    *Gate
	highest map[string]uint64
	let     map[string]int // let in by its token alone, by job
	ran     map[string]int
	left    [5]int // crashes, words of silence, losses, doubles and grants that may still happen
}

type entry struct {
	kind string
	data []byte
	name string // of a member, where it is word of one
	w    Worker
}

type member struct {
	inc  uint64
	at   int // entries followed
	book view
	work *Work
}

// view is a book that is not changed any more, and its words.
type view struct {
	*Book
	words string
}

// after is the view that an entry makes of this one, without what is only told to people.
func (v view) after(e entry, index int) view {
	b := New(v.Most)
	b.Last = v.Last
	for name, j := range v.Jobs {
		c := j.copy()
		b.Jobs[name] = &c
	}
	for name, w := range v.Workers {
		b.Workers[name] = w
	}
	if e.name != "" {
		b.Member(uint64(index), e.name, e.w)
	} else {
		b.Apply(uint64(index), e.kind, e.data)
	}
	for _, j := range b.Jobs {
		j.History, j.Since, j.Grants = nil, 0, 0
	}
	return view{b, string(b.Save())}
}

type asked struct {
	kind string
	c    Claim
}

type flight struct {
	by   int
	inc  uint64
	do   Do
	back bool
	err  bool
}

const (
	crashes = iota
	silences
	losses
	doubles
	grants
)

var smallNames = []string{"a", "b", "c"}

func (s *small) add(e entry) {
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

func (w *Work) clone() *Work {
	n := *w
	n.jobs = map[string]*under{}
	for name, u := range w.jobs {
		x := *u
		x.out, x.asked, x.told = copyMap(u.out), copyMap(u.asked), copyMap(u.told)
		n.jobs[name] = &x
	}
	return &n
}

func (s *small) clone() *small {
	n := *s
	n.members = slices.Clone(s.members)
	for i := range n.members {
		n.members[i].work = s.members[i].work.clone()
	}
	n.asks, n.flight = slices.Clone(s.asks), slices.Clone(s.flight)
	g := NewGate(4)
	g.Restore(s.gate.Kept())
	for job, m := range s.gate.seen {
		for _, step := range m.sorts {
			g.Ran(job, step)
		}
	}
	n.gate = g
	n.highest, n.let, n.ran = copyMap(s.highest), copyMap(s.let), copyMap(s.ran)
	return &n
}

// key words a state so that alike ones are told; what is on its way has no order.
func (s *small) key() string {
	var b strings.Builder
	b.WriteString(s.full.words)
	for _, m := range s.members {
		fmt.Fprintf(&b, "|%d %d ", m.inc, len(s.log)-m.at)
		b.WriteString(m.book.words)
		for _, name := range []string{"j", "k"} {
			if u := m.work.jobs[name]; u != nil {
				fmt.Fprint(&b, name, u.token, u.out, u.asked, len(u.told), u.over, u.lost)
			}
		}
	}
	var rest []string
	for _, x := range s.asks {
		rest = append(rest, fmt.Sprint("?", x))
	}
	for _, f := range s.flight {
		rest = append(rest, fmt.Sprint("!", f.by, f.inc, f.do.Job.Name, f.do.Token, f.back, f.err))
	}
	slices.Sort(rest)
	fmt.Fprint(&b, rest, s.gate.seen, s.gate.floor, s.let, s.ran, s.left)
	// Entries that somebody has yet to follow.
	least := len(s.log)
	for _, m := range s.members {
		least = min(least, m.at)
	}
	for _, e := range s.log[least:] {
		fmt.Fprintf(&b, "%s %x %s %v;", e.kind, e.data, e.name, e.w)
	}
	return b.String()
}

func (s *small) take(i int, do []any) {
	for _, a := range do {
		switch a := a.(type) {
		case Ask:
			if x := (asked{a.Kind, a.Claim}); !slices.Contains(s.asks, x) {
				s.asks = append(s.asks, x)
			}
		case Do:
			s.flight = append(s.flight, flight{by: i, inc: s.members[i].inc, do: a})
		}
	}
}

// next is all that can happen.
func (s *small) next() (all []*small) {
	try := func(use int, do func(n *small)) {
		n := s.clone()
		if use >= 0 {
			if n.left[use] == 0 {
				return
			}
			n.left[use]--
		}
		do(n)
		all = append(all, n)
	}
	for i, m := range s.members {
		if m.at < len(s.log) {
			try(-1, func(n *small) { // follows one place, and acts on it
				x := &n.members[i]
				x.book = x.book.after(n.log[x.at], x.at+1)
				x.at++
				n.take(i, x.work.See(0, x.book.Book))
			})
		}
		w := s.full.Workers[smallNames[i]]
		if w.There {
			try(silences, func(n *small) {
				n.add(entry{name: smallNames[i], w: Worker{Incarnation: w.Incarnation, Losses: w.Losses + 1}})
			})
		} else {
			try(-1, func(n *small) {
				n.add(entry{name: smallNames[i], w: Worker{Incarnation: w.Incarnation, There: true, Losses: w.Losses}})
			})
		}
		try(crashes, func(n *small) { // a new process; what the old one sent is still on its way
			inc := uint64(10 + n.left[crashes])
			inc = 20 - inc
			n.add(entry{name: smallNames[i], w: Worker{Incarnation: inc, There: true, Losses: w.Losses + 1}})
			n.members[i] = member{inc: inc, at: n.members[i].at, book: n.members[i].book, work: &Work{Name: smallNames[i], Incarnation: inc}}
		})
	}
	for x := range s.asks {
		agree := func(n *small) { n.add(entry{kind: n.asks[x].kind, data: canon.Encode(n.asks[x].c)}) }
		try(-1, func(n *small) { agree(n); n.asks = slices.Delete(n.asks, x, x+1) })
		try(doubles, agree) // it comes once more, later
		try(losses, func(n *small) { n.asks = slices.Delete(n.asks, x, x+1) })
	}
	for _, j := range s.full.All() {
		if j.Owner != "" || j.State != Running {
			continue
		}
		for _, name := range smallNames {
			if w := s.full.Workers[name]; w.There {
				try(grants, func(n *small) {
					n.add(entry{kind: Grant, data: canon.Encode(Claim{Job: j.Name, Name: name, Incarnation: w.Incarnation})})
				})
			}
		}
	}
	for x, f := range s.flight {
		land := func(n *small) {
			if f.back {
				if m := &n.members[f.by]; m.inc == f.inc {
					end := Ran
					if f.err {
						end = Refused
					}
					n.take(f.by, m.work.Ended(0, f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type, end))
				}
				return
			}
			_, again, err := n.gate.Pass(f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type)
			if err == nil {
				n.let[f.do.Job.Name]++
				if !again {
					n.ran[f.do.Job.Name]++
				}
				if f.do.Token < n.highest[f.do.Job.Name] {
					panic(fmt.Sprintf("%s: token %d after %d", f.do.Job.Name, f.do.Token, n.highest[f.do.Job.Name]))
				}
				n.highest[f.do.Job.Name] = f.do.Token
			}
			n.flight = append(n.flight, flight{by: f.by, inc: f.inc, do: f.do, back: true, err: err != nil})
		}
		try(-1, func(n *small) { n.flight = slices.Delete(n.flight, x, x+1); land(n) })
		try(losses, func(n *small) { // lost; its sender takes it for lost in time
			n.flight = slices.Delete(n.flight, x, x+1)
			if m := &n.members[f.by]; m.inc == f.inc {
				n.take(f.by, m.work.Ended(0, f.do.Job.Name, f.do.Token, f.do.Step, f.do.Job.Type, Perhaps))
			}
		})
		if f.back {
			try(doubles, land)
		}
	}
	return all
}

// Every interleaving of small cases, each with so many crashes, words of silence, losses, doubles and grants. The token of a job never
// falls at the place; an unsafe step is let in there once by the log and the tokens alone; a keyed one happens once. POPPYMILL_TEST_LONG
// plays larger ones.
func TestEveryInterleaving(t *testing.T) {
	cases := []struct {
		types []Type
		left  [5]int
	}{{[]Type{Unsafe}, [5]int{1, 0, 1, 0, 2}}, {[]Type{Keyed}, [5]int{0, 1, 0, 0, 2}}, {[]Type{Unsafe, Keyed}, [5]int{0, 0, 0, 0, 2}}}
	if os.Getenv("POPPYMILL_TEST_LONG") != "" {
		cases[0].left, cases[1].left, cases[2].left = [5]int{1, 1, 1, 0, 2}, [5]int{0, 1, 1, 1, 2}, [5]int{2, 0, 1, 0, 3}
	}
	for _, c := range cases {
		first := &small{full: view{New(4), ""}, gate: NewGate(4), highest: map[string]uint64{}, let: map[string]int{}, ran: map[string]int{}, left: c.left}
		for i, name := range smallNames {
			first.add(entry{name: name, w: Worker{Incarnation: uint64(i + 1), There: true}})
		}
		jobs := []string{"j", "k"}[:len(c.types)]
		for i, name := range jobs {
			first.add(entry{kind: Start, data: canon.Encode(Job{Name: name, Kind: "x", Steps: 1, Type: c.types[i], Window: 1})})
		}
		for i, name := range smallNames {
			first.members = append(first.members, member{inc: uint64(i + 1), at: len(first.log), book: first.full, work: &Work{Name: name, Incarnation: uint64(i + 1)}})
		}
		seen, todo, steps, done := map[uint64]bool{xxhash.Sum64String(first.key()): true}, []*small{first}, 0, 0
		for len(todo) > 0 {
			s := todo[len(todo)-1]
			todo = todo[:len(todo)-1]
			for _, n := range s.next() {
				steps++
				k := xxhash.Sum64String(n.key())
				if seen[k] {
					continue
				}
				seen[k] = true
				todo = append(todo, n)
				finished := true
				for i, name := range jobs {
					if n.ran[name] > 1 && c.types[i] != Safe || c.types[i] == Unsafe && n.let[name] > 1 {
						t.Fatalf("%s, %v, ran %d times, let in %d times:\n%+v", name, c.types[i], n.ran[name], n.let[name], n.log)
					}
					finished = finished && n.full.Jobs[name].State == Finished
				}
				if finished {
					done++
				}
			}
		}
		t.Logf("%v, %v: %d states, in %d of them all is done, %d transitions", c.types, c.left, len(seen), done, steps)
		if done == 0 {
			t.Error("in no state all is done")
		}
	}
}
