package purges

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"poppymill/internal/codec"
)

// applyOrder encodes an order and applies it as a command.
func (b *StateMachine) applyOrder(index uint64, kind string, o CommandData) any {
	return b.Apply(index, kind, codec.Encode(o))
}

// NextBatch returns the batch to publish next if none is in flight, and whether it is due; late reports that the leader may
// send it.
func (b *StateMachine) NextBatch(now float64) (o CommandData, due, late bool) {
	all := b.unpublished()
	if len(all) == 0 {
		return o, false, false
	}
	s := all[0]
	if o = s.batchFrom(s.Published, now); !b.batchDue(s, o, now, b.PacedUntil) {
		return CommandData{}, false, false
	}
	return o, true, s.overdue(o.First, now)
}

// model is the reference for the bounds: the plain list of all marks published so far.
type model []struct {
	Mark
	bound float64
}

// bound computes the bounds of a download from all marks that match it.
func (m model) bound(club, object string, group int64) (hard, soft float64) {
	for _, mark := range m {
		if mark.Club != "" && mark.Club != club {
			continue
		}
		match := mark.Object == object && !mark.Grouped && mark.Pattern == "" || mark.Grouped && mark.Group == group
		if mark.Pattern != "" {
			match, _ = regexp.MatchString("^(?:"+mark.Pattern+")$", object)
		}
		if match && mark.Stale {
			soft = max(soft, mark.bound)
		} else if match {
			hard = max(hard, mark.bound)
		}
	}
	return hard, soft
}

// Compares the bounds with a model after random sequences of purges, cancellations, batches that are duplicated, out of
// order or from a replaced owner, and restarts: published bounds apply to exactly the objects named, by their newest
// purge; no object is skipped or published twice; and a snapshot restores the same state.
func TestBoundsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, core := New(), NewBoundSet(1<<20)
		objects := []string{"a", "b", "ab", "ba", "abc"}
		var published model
		incarnation, now, index := uint64(1), 1e6, uint64(0)
		l := Limits{Delay: 4000, Skew: float64(rapid.SampledFrom([]int{0, 100}).Draw(t, "skew")), Rate: rapid.SampledFrom([]float64{0, 10}).Draw(t, "rate"),
			Batch: rapid.IntRange(1, 3).Draw(t, "batch"), MaxBounds: 1000}
		sent := map[string][]int{} // indexes of the objects published, in order, by purge
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 900).Draw(t, "ms"))
			index++
			id := fmt.Sprint("p", rapid.IntRange(0, n/3).Draw(t, "id"))
			o := CommandData{At: now, ID: id, Limits: &l}
			kind := rapid.SampledFrom([]string{Accept, Accept, Accept, Batch, Batch, Batch, Cancel, Confirm, Tick, "member", "restart"}).Draw(t, "kind")
			switch kind {
			case Accept:
				p := &Purge{ID: id, Club: rapid.SampledFrom([]string{"", "", "amber", "birch"}).Draw(t, "club"), Stale: rapid.IntRange(0, 3).Draw(t, "stale") == 0}
				switch rapid.IntRange(0, 2).Draw(t, "what") {
				case 0:
					p.Objects = rapid.SliceOfNDistinct(rapid.SampledFrom(objects), 1, 5, rapid.ID[string]).Draw(t, "objects")
				case 1:
					p.Groups = []int64{int64(rapid.IntRange(0, 2).Draw(t, "group"))}
				case 2:
					p.Pattern = rapid.SampledFrom([]string{"a.*", ".*b", "[ab]{2}", "c|a"}).Draw(t, "pattern")
				}
				o.Purge = p
			case Batch:
				if next, due, _ := b.NextBatch(now + 1e9); due && rapid.IntRange(0, 3).Draw(t, "wrong") > 0 {
					o = next
				} else {
					o.First = rapid.IntRange(0, 4).Draw(t, "first")
					o.Next = o.First + rapid.IntRange(-1, 3).Draw(t, "n")
				}
				o.At, o.Token = now, uint64(rapid.IntRange(1, 3).Draw(t, "token"))
			case Confirm:
				o.From, o.Index = rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "from"), uint64(rapid.IntRange(0, int(index)+3).Draw(t, "seen"))
			}
			highestToken, before := b.HighestToken, map[string]State{}
			for id, s := range b.Purges {
				before[id] = *s
			}
			switch kind {
			case "member":
				incarnation++
				b.SetMember(rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gateway"), incarnation, rapid.Bool().Draw(t, "there"))
			case "restart":
				restored := New()
				if err := restored.Load(b.Save()); err != nil || !bytes.Equal(restored.Save(), b.Save()) {
					t.Fatalf("snapshot restored differently: %v", err)
				}
				for _, m := range restored.Bounds.Marks() { // a restarted core receives all marks
					core.Put(m)
				}
				b = restored
			default:
				count := len(b.Purges)
				r := b.applyOrder(index, kind, o)
				if err, _ := r.(error); err != nil && len(b.Purges) != count {
					t.Fatalf("%d: %s: %v, but the number of purges changed", n, kind, err)
				}
				if s, ok := r.(State); ok && kind == Batch && o.Token < highestToken && now < s.dueAt(o.First)+l.Delay/4 {
					t.Fatalf("%d: batch of a replaced owner was accepted: %+v", n, s)
				}
			}
			for id, s := range b.Purges {
				old := before[id]
				if s.Published < old.Published || old.Stage == Cancelled && s.Published != old.Published || s.Published > old.Published && s.Limits.Rate > 0 && s.Published > old.Published+s.Limits.Batch {
					t.Fatalf("%d: %s of %s: from %d to %d", n, kind, id, old.Published, s.Published)
				}
				for i := old.Published; i < s.Published; i++ {
					sent[id] = append(sent[id], i)
				}
				m := Mark{Club: s.Purge.Club, Stale: s.Purge.Stale}
				for i := old.Published; i < s.Published; i++ {
					m.Object = s.Purge.Objects[i]
					published = append(published, struct {
						Mark
						bound float64
					}{m, s.Accepted + s.Limits.Skew})
				}
				if old.LogIndex == 0 {
					m.Object, m.Pattern = "", s.Purge.Pattern
					if len(s.Purge.Groups) > 0 {
						m.Grouped, m.Group = true, s.Purge.Groups[0]
					}
					if m.Grouped || m.Pattern != "" {
						published = append(published, struct {
							Mark
							bound float64
						}{m, s.Accepted + s.Limits.Skew})
					}
				}
			}
			for _, m := range b.TakeMarks() {
				core.Put(m)
			}
			for _, club := range []string{"amber", "birch", ""} {
				for _, object := range append([]string{"c", "zz"}, objects...) {
					for group := range int64(3) {
						hard, soft := published.bound(club, object, group)
						for holder, bounds := range map[string]*BoundSet{"the log": b.Bounds, "a core": core} {
							// A soft bound below the hard bound may be left out, as it has no effect.
							if h, s := bounds.Bound(club, object, group); h != hard || max(h, s) != max(hard, soft) {
								t.Fatalf("%d: %s: club %q, object %s, group %d: bounds %v and %v in %s, want %v and %v", n, kind, club, object, group, h, s, holder, hard, soft)
							}
						}
					}
				}
			}
		}
		for id, s := range b.Purges {
			for i, x := range sent[id] {
				if i != x {
					t.Fatalf("%s: objects published in order %v: %+v", id, sent[id], s)
				}
			}
		}
	})
}

// Evicted bounds are merged into a bound for every object, so that no download ever gets a lower bound than was
// published for it.
func TestEvictionNeverLowersBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewBoundSet(rapid.IntRange(16, 40).Draw(t, "most"))
		var published model
		for range rapid.IntRange(1, 300).Draw(t, "marks") {
			m := Mark{Object: fmt.Sprint("o", rapid.IntRange(0, 100).Draw(t, "object")), At: float64(rapid.IntRange(1, 1000).Draw(t, "at")), Stale: rapid.Bool().Draw(t, "stale")}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				m.Object, m.Pattern = "", "o"+fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "pattern"))
			}
			s.Put(m)
			published = append(published, struct {
				Mark
				bound float64
			}{m, m.At})
			if s.Len() > s.Limit+maxPatterns {
				t.Fatalf("%d held", s.Len())
			}
		}
		for i := range 101 {
			object := fmt.Sprint("o", i)
			hard, soft := published.bound("", object, -1)
			if h, x := s.Bound("", object, -1); h < hard || max(h, x) < soft {
				t.Fatalf("%s: %v and %v, want %v and %v at least", object, h, x, hard, soft)
			}
		}
	})
}

// Checks the stages of a purge: accepted, sent, done and effective are distinct. Gateways that have not confirmed are
// listed, and a lost gateway delays completion only while it may still serve older copies.
func TestStagesAndConfirmations(t *testing.T) {
	b := New()
	for i, g := range []string{"g1", "g2", "g3"} {
		b.SetMember(g, uint64(i+1), true)
	}
	l := Limits{Delay: 5000, Skew: 100, Rate: 2, Batch: 2, MaxBounds: 100}
	p := &Purge{ID: "p", Objects: []string{"a", "b", "c"}}
	s := b.applyOrder(10, Accept, CommandData{At: 1000, Purge: p, Limits: &l}).(State)
	if s.Stage != Publishing || s.Effective() != 1000+5000+1500 {
		t.Fatalf("accepted: %+v, effective at %v", s, s.Effective())
	}
	if r := b.applyOrder(11, Accept, CommandData{At: 1000, Purge: &Purge{ID: "p", Objects: []string{"a"}}, Limits: &l}); r != ErrConflict {
		t.Errorf("same id with other content: %v", r)
	}
	o, ok, _ := b.NextBatch(1000)
	if !ok || o.First != 0 || o.Next != 2 {
		t.Fatalf("first batch: %+v", o)
	}
	o.Token = 4
	b.applyOrder(12, Batch, o)
	if r := b.applyOrder(13, Batch, o); r != ErrOutOfOrder {
		t.Errorf("duplicate batch: %v", r)
	}
	if _, ok, _ := b.NextBatch(1500); ok {
		t.Error("batch due earlier than the rate allows")
	}
	o, ok, late := b.NextBatch(2000)
	if o.Token = 3; !ok || late || o.First != 2 || o.Next != 3 {
		t.Fatalf("second batch: %+v", o)
	}
	if r := b.applyOrder(14, Batch, o); r != ErrReplaced {
		t.Errorf("batch of a replaced owner: %v", r)
	}
	if _, _, late := b.NextBatch(3300); !late {
		t.Error("overdue batch may not be sent by the leader")
	}
	o.Token = 5
	if s := b.applyOrder(15, Batch, o).(State); s.Stage != Sent || !slices.Equal(b.Unconfirmed(&s), []string{"g1", "g2", "g3"}) {
		t.Errorf("sent: %+v, unconfirmed %v", s, b.Unconfirmed(&s))
	}
	b.applyOrder(16, Confirm, CommandData{At: 2100, From: "g1", Index: 14})
	b.applyOrder(17, Confirm, CommandData{At: 2100, From: "g1", Index: 15})
	b.applyOrder(18, Confirm, CommandData{At: 2100, From: "g2", Index: 99}) // beyond the end of the log
	b.SetMember("g2", 7, true)                                              // restarted: nothing confirmed yet
	if x := b.Purges["p"]; !slices.Equal(b.Unconfirmed(x), []string{"g2", "g3"}) {
		t.Errorf("unconfirmed: %v", b.Unconfirmed(x))
	}
	b.applyOrder(18, Tick, CommandData{At: 9000})
	if x := b.Purges["p"]; !slices.Equal(b.Unconfirmed(x), []string{"g2", "g3"}) {
		t.Errorf("joined gateways are not waited for past the delay: %v", b.Unconfirmed(x))
	}
	b.applyOrder(19, Confirm, CommandData{At: 9100, From: "g2", Index: 15})
	b.SetMember("g3", 3, false)
	b.applyOrder(20, Tick, CommandData{At: 14_000})
	if x := b.Purges["p"]; x.Stage != Sent {
		t.Errorf("done while a lost gateway may still serve older copies: %+v", x)
	}
	b.applyOrder(21, Tick, CommandData{At: 14_200})
	if x := b.Purges["p"]; x.Stage != Done || !slices.Equal(x.Missing, []string{"g3"}) {
		t.Errorf("not done without the lost gateway: %+v", x)
	}
	if r := b.applyOrder(22, Cancel, CommandData{ID: "p"}); r != ErrFinished {
		t.Errorf("cancelled after completion: %v", r)
	}
	b.applyOrder(23, Accept, CommandData{At: 15_000, Purge: &Purge{ID: "q", Objects: []string{"x", "y", "z"}}, Limits: &l})
	o, _, _ = b.NextBatch(1e9)
	o.Token = 5
	b.applyOrder(24, Batch, o)
	if s := b.applyOrder(25, Cancel, CommandData{ID: "q"}).(State); s.Stage != Cancelled || s.Published != 2 {
		t.Errorf("cancelled in progress: %+v", s)
	}
}

// A batch waits while the recently reported misses of the joined gateways exceed the limit on fills, and is published
// nevertheless once waiting longer would exceed the delay.
func TestBatchesWaitForFills(t *testing.T) {
	b := New()
	for i, g := range []string{"g1", "g2", "g3"} {
		b.SetMember(g, uint64(i+1), true)
	}
	l := Limits{Delay: 8000, Skew: 100, Rate: 10, Batch: 2, MaxBounds: 100, MaxFills: 50}
	b.applyOrder(10, Accept, CommandData{At: 1000, Purge: &Purge{ID: "p", Objects: []string{"a", "b", "c", "d", "e"}}, Limits: &l})
	due := func(now float64) bool { _, ok, _ := b.NextBatch(now); return ok }
	if !b.AwaitsMisses() || !due(1000) {
		t.Error("no batch due although there are no misses")
	}
	b.applyOrder(11, ReportMisses, CommandData{At: 1000, From: "g1", Rate: 30})
	b.applyOrder(12, ReportMisses, CommandData{At: 1000, From: "g2", Rate: 20})
	if !due(1000) {
		t.Error("waits although misses equal the limit")
	}
	b.applyOrder(13, ReportMisses, CommandData{At: 1000, From: "g3", Rate: 1})
	if due(1000) || due(2999) {
		t.Error("due although misses exceed the limit")
	}
	if !due(3000) {
		t.Error("waits past the delay")
	}
	b.SetMember("g1", 1, false)
	if !due(1000) {
		t.Error("counts the misses of a lost gateway")
	}
	b.SetMember("g1", 1, true)
	b.applyOrder(14, Tick, CommandData{At: 6001})
	if !due(1000) {
		t.Error("counts an outdated report of misses")
	}
	if r := b.applyOrder(15, ReportMisses, CommandData{From: "nobody", Rate: 1e6}); r != nil || b.totalMisses() > 0 {
		t.Errorf("report of an unknown gateway: %v, %v", r, b.totalMisses())
	}
}

// Errors name the invalid field, and invalid or excess commands are rejected.
func TestRefusals(t *testing.T) {
	for want, p := range map[string]Purge{
		"id:": {Objects: []string{"a"}}, "one of them": {ID: "a"}, "one of": {ID: "a", Objects: []string{"a"}, Groups: []int64{1}},
		"objects: 1:": {ID: "a", Objects: []string{"a", ""}}, "pattern:": {ID: "a", Pattern: "("}, "missing": {ID: "a", Pattern: "a)|(b"},
		"pattern: 300": {ID: "a", Pattern: strings.Repeat("a", 300)}, "objects: 9000": {ID: "a", Objects: make([]string, 9000)},
	} {
		if err := p.Check(); want != "missing" && (err == nil || !strings.Contains(err.Error(), want)) || err == nil {
			t.Errorf("%s: %v", want, err)
		}
	}
	for want, l := range map[string]Limits{"delay": {Delay: 1}, "skew": {Delay: 1000, Skew: 500}, "rate": {Delay: 1000, Rate: math.Inf(1)}, "fills": {Delay: 1000, MaxFills: 5},
		"batch": {Delay: 1000}, "held": {Delay: 1000, Batch: 1}} {
		if err := l.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	stateMachine, l := New(), DefaultLimits()
	l.Rate = 1
	for i := range maxNamed/maxObjects + 2 {
		objects := make([]string, maxObjects)
		for k := range objects {
			objects[k] = fmt.Sprint(i, "-", k)
		}
		r := stateMachine.applyOrder(uint64(i+1), Accept, CommandData{Purge: &Purge{ID: fmt.Sprint(i), Objects: objects}, Limits: &l})
		if full := i >= maxNamed/maxObjects; (r == ErrFull) != full {
			t.Errorf("%d open purges of %d objects, then another: %v", i, maxObjects, r)
		}
	}
	b := New()
	if r := b.Apply(1, Accept, []byte("x")); r != ErrMalformed {
		t.Errorf("malformed command: %v", r)
	}
	if r := b.applyOrder(1, Cancel, CommandData{ID: "none"}); r != ErrUnknown {
		t.Errorf("unknown purge: %v", r)
	}
}

// Arbitrary patterns are either refused, or match whole names only, with bounded time and memory.
func FuzzPattern(f *testing.F) {
	for _, p := range []string{"a.*", "(a|b)*c", "((((a{9}){9}){9}){9})", `\`, "a)|(b", "(?i)A", "$^", "[", `\z.*\A`} {
		f.Add(p, "aab")
	}
	f.Fuzz(func(t *testing.T, pattern, name string) {
		p := Purge{ID: "x", Pattern: pattern}
		if pattern == "" || p.Check() != nil {
			return
		}
		s := NewBoundSet(100)
		s.Put(Mark{Pattern: pattern, At: 5})
		hard, _ := s.Bound("", name, 0)
		re, err := regexp.Compile(pattern)
		if err != nil {
			t.Fatalf("invalid pattern %q was accepted: %v", pattern, err)
		}
		re.Longest()
		if whole := re.FindString(name) == name; hard == 5 && !re.MatchString(name) || hard != 5 && whole && name != "" {
			t.Fatalf("pattern %q, name %q: bound %v, whole match %t", pattern, name, hard, whole)
		}
		restored := New()
		b := New()
		b.Bounds = s
		if err := restored.Load(b.Save()); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkBound(bench *testing.B) {
	for _, n := range []int{0, 1000, 100_000} {
		s := NewBoundSet(200_000)
		for i := range n {
			s.Put(Mark{Object: fmt.Sprintf("%016x", i), At: float64(i)})
		}
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			bench.ReportAllocs()
			for bench.Loop() {
				s.Bound("amber", "00000000000000ff", 7)
			}
		})
	}
	purge := State{Purge: Purge{ID: "p"}, Limits: Limits{Delay: 1000, Rate: 1000}}
	for i := range 100_000 {
		purge.Purge.Objects = append(purge.Purge.Objects, fmt.Sprintf("%016x", i))
	}
	var schedule Schedule
	schedule.Update(purge)
	bench.Run("100000 scheduled", func(bench *testing.B) {
		bench.ReportAllocs()
		for bench.Loop() {
			schedule.Bound(1, "amber", "00000000000000ff")
		}
	})
	s := NewBoundSet(1000)
	for i := range maxPatterns {
		s.Put(Mark{Pattern: fmt.Sprintf("[0-9a-f]{8}%08x", i), At: 1})
	}
	bench.Run("64 patterns", func(bench *testing.B) {
		for bench.Loop() {
			s.Bound("amber", "00000000000000ff", 7)
		}
	})
}
