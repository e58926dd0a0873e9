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

	"poppymill/internal/canon"
)

func (b *Book) give(index uint64, kind string, o Order) any {
	return b.Apply(index, kind, canon.Encode(o))
}

// plain is what must hold, written down without any structure: all that went out, one after another.
type plain []struct {
	Mark
	bound float64
}

func (p plain) bound(club, object string, group int64) (hard, soft float64) {
	for _, m := range p {
		if m.Club != "" && m.Club != club {
			continue
		}
		hit := m.Object == object && !m.Grouped && m.Pattern == "" || m.Grouped && m.Group == group
		if m.Pattern != "" {
			hit, _ = regexp.MatchString("^(?:"+m.Pattern+")$", object)
		}
		if hit && m.Stale {
			soft = max(soft, m.bound)
		} else if hit {
			hard = max(hard, m.bound)
		}
	}
	return hard, soft
}

// Whatever is purged, cancelled, sent twice, out of turn, by an old owner or again after a restart: what went out holds for exactly what was
// named, by the newest purge of it; nothing is skipped or goes out twice; and the state is read back alike.
func TestHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, core := New(), NewShelf(1<<20)
		objects := []string{"a", "b", "ab", "ba", "abc"}
		var all plain
		inc, now, index := uint64(1), 1e6, uint64(0)
		l := Limits{Delay: 4000, Skew: float64(rapid.SampledFrom([]int{0, 100}).Draw(t, "skew")), Rate: rapid.SampledFrom([]float64{0, 10}).Draw(t, "rate"),
			Batch: rapid.IntRange(1, 3).Draw(t, "batch"), Held: 1000}
		sent := map[string][]int{} // of each purge, how often each object went out
		for n := range rapid.IntRange(1, 60).Draw(t, "deeds") {
			now += float64(rapid.IntRange(0, 900).Draw(t, "ms"))
			index++
			id := fmt.Sprint("p", rapid.IntRange(0, n/3).Draw(t, "id"))
			o := Order{At: now, ID: id, Limits: &l}
			kind := rapid.SampledFrom([]string{Accept, Accept, Accept, Batch, Batch, Batch, Cancel, Seen, Tick, "member", "restart"}).Draw(t, "deed")
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
				if next, is, _ := b.NextBatch(now + 1e9); is && rapid.IntRange(0, 3).Draw(t, "wrong") > 0 {
					o = next
				} else {
					o.First = rapid.IntRange(0, 4).Draw(t, "first")
					o.Next = o.First + rapid.IntRange(-1, 3).Draw(t, "n")
				}
				o.At, o.Owned = now, uint64(rapid.IntRange(1, 3).Draw(t, "token"))
			case Seen:
				o.From, o.Index = rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "from"), uint64(rapid.IntRange(0, int(index)+3).Draw(t, "seen"))
			}
			owned, was := b.Owned, map[string]State{}
			for id, s := range b.Purges {
				was[id] = *s
			}
			switch kind {
			case "member":
				inc++
				b.Member(rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gateway"), inc, rapid.Bool().Draw(t, "there"))
			case "restart":
				again := New()
				if err := again.Load(b.Save()); err != nil || !bytes.Equal(again.Save(), b.Save()) {
					t.Fatalf("read back: %v", err)
				}
				for _, m := range again.Shelf.Marks() { // a core that begins anew is told all of it
					core.Put(m)
				}
				b = again
			default:
				before := len(b.Purges)
				r := b.give(index, kind, o)
				if err, _ := r.(error); err != nil && len(b.Purges) != before {
					t.Fatalf("%d: %s: %v, and something came of it", n, kind, err)
				}
				if s, is := r.(State); is && kind == Batch && o.Owned < owned && now < s.due(o.First)+l.Delay/4 {
					t.Fatalf("%d: an old owner sent %+v", n, s)
				}
			}
			for id, s := range b.Purges {
				old := was[id]
				if s.Next < old.Next || old.Stage == Cancelled && s.Next != old.Next || s.Next > old.Next && s.Limits.Rate > 0 && s.Next > old.Next+s.Limits.Batch {
					t.Fatalf("%d: %s of %s: from %d to %d", n, kind, id, old.Next, s.Next)
				}
				for i := old.Next; i < s.Next; i++ {
					sent[id] = append(sent[id], i)
				}
				m := Mark{Club: s.Purge.Club, Stale: s.Purge.Stale}
				for i := old.Next; i < s.Next; i++ {
					m.Object = s.Purge.Objects[i]
					all = append(all, struct {
						Mark
						bound float64
					}{m, s.Accepted + s.Limits.Skew})
				}
				if old.Place == 0 {
					m.Object, m.Pattern = "", s.Purge.Pattern
					if len(s.Purge.Groups) > 0 {
						m.Grouped, m.Group = true, s.Purge.Groups[0]
					}
					if m.Grouped || m.Pattern != "" {
						all = append(all, struct {
							Mark
							bound float64
						}{m, s.Accepted + s.Limits.Skew})
					}
				}
			}
			for _, m := range b.News() {
				core.Put(m)
			}
			for _, club := range []string{"amber", "birch", ""} {
				for _, object := range append([]string{"c", "zz"}, objects...) {
					for group := range int64(3) {
						hard, soft := all.bound(club, object, group)
						for who, shelf := range map[string]*Shelf{"the log": b.Shelf, "a core": core} {
							// A soft bound that a hard one covers may be left out: it says nothing.
							if h, s := shelf.Bound(club, object, group); h != hard || max(h, s) != max(hard, soft) {
								t.Fatalf("%d: %s: at %s %s of %d: %v and %v by %s, want %v and %v", n, kind, club, object, group, h, s, who, hard, soft)
							}
						}
					}
				}
			}
		}
		for id, s := range b.Purges {
			for i, x := range sent[id] {
				if i != x {
					t.Fatalf("%s: sent %v of %+v", id, sent[id], s)
				}
			}
		}
	})
}

// What is not remembered one by one is a bound for all: for every download it is as high as it must be, whatever is forgotten.
func TestForgetsTooMuchRatherThanTooLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShelf(rapid.IntRange(16, 40).Draw(t, "most"))
		var all plain
		for range rapid.IntRange(1, 300).Draw(t, "marks") {
			m := Mark{Object: fmt.Sprint("o", rapid.IntRange(0, 100).Draw(t, "object")), At: float64(rapid.IntRange(1, 1000).Draw(t, "at")), Stale: rapid.Bool().Draw(t, "stale")}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				m.Object, m.Pattern = "", "o"+fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "pattern"))
			}
			s.Put(m)
			all = append(all, struct {
				Mark
				bound float64
			}{m, m.At})
			if s.Len() > s.Most+mostPatterns {
				t.Fatalf("%d held", s.Len())
			}
		}
		for i := range 101 {
			object := fmt.Sprint("o", i)
			hard, soft := all.bound("", object, -1)
			if h, x := s.Bound("", object, -1); h < hard || max(h, x) < soft {
				t.Fatalf("%s: %v and %v, want %v and %v at least", object, h, x, hard, soft)
			}
		}
	})
}

// Accepted, sent, done and effective are four things; one that says nothing is named, and one that is lost holds up no longer than it may
// answer blindly.
func TestWhoHasFollowed(t *testing.T) {
	b := New()
	for i, g := range []string{"g1", "g2", "g3"} {
		b.Member(g, uint64(i+1), true)
	}
	l := Limits{Delay: 5000, Skew: 100, Rate: 2, Batch: 2, Held: 100}
	p := &Purge{ID: "p", Objects: []string{"a", "b", "c"}}
	s := b.give(10, Accept, Order{At: 1000, Purge: p, Limits: &l}).(State)
	if s.Stage != Going || s.Effective() != 1000+5000+1500 {
		t.Fatalf("accepted: %+v, effective at %v", s, s.Effective())
	}
	if r := b.give(11, Accept, Order{At: 1000, Purge: &Purge{ID: "p", Objects: []string{"a"}}, Limits: &l}); r != ErrOther {
		t.Errorf("the id with other words: %v", r)
	}
	o, is, _ := b.NextBatch(1000)
	if !is || o.First != 0 || o.Next != 2 {
		t.Fatalf("first batch: %+v", o)
	}
	o.Owned = 4
	b.give(12, Batch, o)
	if r := b.give(13, Batch, o); r != ErrTurn {
		t.Errorf("the same batch again: %v", r)
	}
	if _, is, _ := b.NextBatch(1500); is {
		t.Error("sooner than the pace allows")
	}
	o, is, late := b.NextBatch(2000)
	if o.Owned = 3; !is || late || o.First != 2 || o.Next != 3 {
		t.Fatalf("second batch: %+v", o)
	}
	if r := b.give(14, Batch, o); r != ErrOld {
		t.Errorf("by an owner that was replaced: %v", r)
	}
	if _, _, late := b.NextBatch(3300); !late {
		t.Error("its owner did not send it, and nobody else may")
	}
	o.Owned = 5
	if s := b.give(15, Batch, o).(State); s.Stage != Sent || !slices.Equal(b.Waits(&s), []string{"g1", "g2", "g3"}) {
		t.Errorf("sent: %+v, waits for %v", s, b.Waits(&s))
	}
	b.give(16, Seen, Order{At: 2100, From: "g1", Index: 14})
	b.give(17, Seen, Order{At: 2100, From: "g1", Index: 15})
	b.give(18, Seen, Order{At: 2100, From: "g2", Index: 99}) // beyond what it can know
	b.Member("g2", 7, true)                                  // and starts anew: it goes by nothing yet
	if x := b.Purges["p"]; !slices.Equal(b.Waits(x), []string{"g2", "g3"}) {
		t.Errorf("waits for %v", b.Waits(x))
	}
	b.give(18, Tick, Order{At: 9000})
	if x := b.Purges["p"]; !slices.Equal(b.Waits(x), []string{"g2", "g3"}) {
		t.Errorf("past the delay those that are there are not waited for: %v", b.Waits(x))
	}
	b.give(19, Seen, Order{At: 9100, From: "g2", Index: 15})
	b.Member("g3", 3, false)
	b.give(20, Tick, Order{At: 14_000})
	if x := b.Purges["p"]; x.Stage != Sent {
		t.Errorf("done while one that was lost may not be blind: %+v", x)
	}
	b.give(21, Tick, Order{At: 14_200})
	if x := b.Purges["p"]; x.Stage != Done || !slices.Equal(x.Without, []string{"g3"}) {
		t.Errorf("not done without the lost one: %+v", x)
	}
	if r := b.give(22, Cancel, Order{ID: "p"}); r != ErrOver {
		t.Errorf("cancelled after its end: %v", r)
	}
	b.give(23, Accept, Order{At: 15_000, Purge: &Purge{ID: "q", Objects: []string{"x", "y", "z"}}, Limits: &l})
	o, _, _ = b.NextBatch(1e9)
	o.Owned = 5
	b.give(24, Batch, o)
	if s := b.give(25, Cancel, Order{ID: "q"}).(State); s.Stage != Cancelled || s.Next != 2 {
		t.Errorf("cancelled half way: %+v", s)
	}
}

// A batch waits while the gateways that are there miss more than may be, by what they said lately, and goes out all the same once the delay
// would else not hold.
func TestBatchesWaitForFills(t *testing.T) {
	b := New()
	for i, g := range []string{"g1", "g2", "g3"} {
		b.Member(g, uint64(i+1), true)
	}
	l := Limits{Delay: 8000, Skew: 100, Rate: 10, Batch: 2, Held: 100, Fills: 50}
	b.give(10, Accept, Order{At: 1000, Purge: &Purge{ID: "p", Objects: []string{"a", "b", "c", "d", "e"}}, Limits: &l})
	due := func(now float64) bool { _, is, _ := b.NextBatch(now); return is }
	if !b.Paces() || !due(1000) {
		t.Error("nobody misses anything, and nothing is due")
	}
	b.give(11, Misses, Order{At: 1000, From: "g1", Rate: 30})
	b.give(12, Misses, Order{At: 1000, From: "g2", Rate: 20})
	if !due(1000) {
		t.Error("waits at what may be")
	}
	b.give(13, Misses, Order{At: 1000, From: "g3", Rate: 1})
	if due(1000) || due(2999) {
		t.Error("due past what may be missed")
	}
	if !due(3000) {
		t.Error("the delay does not hold any more, and it waits")
	}
	b.Member("g1", 1, false)
	if !due(1000) {
		t.Error("waits for what a lost one missed")
	}
	b.Member("g1", 1, true)
	b.give(14, Tick, Order{At: 6001})
	if !due(1000) {
		t.Error("waits for what was missed long ago")
	}
	if r := b.give(15, Misses, Order{From: "nobody", Rate: 1e6}); r != nil || b.misses() > 0 {
		t.Errorf("of nobody: %v, %v", r, b.misses())
	}
}

// What is wrong is told by its field.
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
	for want, l := range map[string]Limits{"delay": {Delay: 1}, "skew": {Delay: 1000, Skew: 500}, "rate": {Delay: 1000, Rate: math.Inf(1)}, "fills": {Delay: 1000, Fills: 5},
		"batch": {Delay: 1000}, "held": {Delay: 1000, Batch: 1}} {
		if err := l.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	full, l := New(), DefaultLimits()
	l.Rate = 1
	for i := range mostNamed/mostObjects + 2 {
		objects := make([]string, mostObjects)
		for k := range objects {
			objects[k] = fmt.Sprint(i, "-", k)
		}
		r := full.give(uint64(i+1), Accept, Order{Purge: &Purge{ID: fmt.Sprint(i), Objects: objects}, Limits: &l})
		if full := i >= mostNamed/mostObjects; (r == ErrFull) != full {
			t.Errorf("%d purges of %d objects wait, and another: %v", i, mostObjects, r)
		}
	}
	b := New()
	if r := b.Apply(1, Accept, []byte("x")); r != ErrBad {
		t.Errorf("unreadable: %v", r)
	}
	if r := b.give(1, Cancel, Order{ID: "none"}); r != ErrUnknown {
		t.Errorf("unknown: %v", r)
	}
}

// Patterns of people: refused or matched, whole names alone, in time and memory that are bounded.
func FuzzPattern(f *testing.F) {
	for _, p := range []string{"a.*", "(a|b)*c", "((((a{9}){9}){9}){9})", `\`, "a)|(b", "(?i)A", "$^", "[", `\z.*\A`} {
		f.Add(p, "aab")
	}
	f.Fuzz(func(t *testing.T, pattern, name string) {
		p := Purge{ID: "x", Pattern: pattern}
		if pattern == "" || p.Check() != nil {
			return
		}
		s := NewShelf(100)
		s.Put(Mark{Pattern: pattern, At: 5})
		hard, _ := s.Bound("", name, 0)
		re, err := regexp.Compile(pattern)
		if err != nil {
			t.Fatalf("%q was taken: %v", pattern, err)
		}
		re.Longest()
		if whole := re.FindString(name) == name; hard == 5 && !re.MatchString(name) || hard != 5 && whole && name != "" {
			t.Fatalf("%q of %q: %v, whole %t", pattern, name, hard, whole)
		}
		again := New()
		b := New()
		b.Shelf = s
		if err := again.Load(b.Save()); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkBound(bench *testing.B) {
	for _, n := range []int{0, 1000, 100_000} {
		s := NewShelf(200_000)
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
	s := NewShelf(1000)
	for i := range mostPatterns {
		s.Put(Mark{Pattern: fmt.Sprintf("[0-9a-f]{8}%08x", i), At: 1})
	}
	bench.Run("64 patterns", func(bench *testing.B) {
		for bench.Loop() {
			s.Bound("amber", "00000000000000ff", 7)
		}
	})
}
