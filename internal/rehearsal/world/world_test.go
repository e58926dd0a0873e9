package world

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"poppymill/internal/rehearsal/script"
)

// A shared resource serves its jobs as a naive simulation with small time steps does.
func TestSharedResource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, maxPerJob := rapid.Float64Range(0.5, 8).Draw(t, "capacity"), rapid.Float64Range(0.5, 3).Draw(t, "most")
		slots := rapid.IntRange(0, 5).Draw(t, "slots")
		type testJob struct{ at, work, cancelAfter, ends float64 }
		jobs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *testJob {
			return &testJob{at: float64(rapid.IntRange(0, 40).Draw(t, "at")), work: float64(rapid.IntRange(1, 30).Draw(t, "work")),
				cancelAfter: float64(rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(t, "off")), ends: -1}
		}), 1, 12).Draw(t, "jobs")
		slices.SortStableFunc(jobs, func(a, b *testJob) int { return int(a.at - b.at) })

		var queue EventQueue
		now := 0.0
		s := newSharedResource(&queue, func() float64 { return now }, capacity, maxPerJob, slots)
		got := make([]float64, len(jobs))
		for i, j := range jobs {
			got[i] = -1
			queue.Add(j.at, func() {
				job := s.add(j.work, func() { got[i] = now })
				if j.cancelAfter > 0 {
					queue.Add(now+j.cancelAfter, func() { s.remove(job) })
				}
			})
		}
		for at, ok := queue.Next(); ok; at, ok = queue.Next() {
			now = at
			queue.Step()
		}

		// The model: steps of a thousandth of a ms; as many jobs as there are slots, in FIFO order, get an equal share.
		remaining := make([]float64, len(jobs))
		for i, j := range jobs {
			remaining[i] = j.work
		}
		const step = 0.001
		for at := 0.0; at < 2000; at += step {
			var open []int
			for i, j := range jobs {
				if at >= j.at-step/2 && remaining[i] > 0 && (j.cancelAfter == 0 || at < j.at+j.cancelAfter) && (slots == 0 || len(open) < slots) {
					open = append(open, i)
				}
			}
			for _, i := range open {
				if remaining[i] -= min(maxPerJob, capacity/float64(len(open))) * step; remaining[i] <= 0 {
					jobs[i].ends = at + step
				}
			}
			if len(open) == 0 && at > 45 {
				break
			}
		}
		for i, j := range jobs {
			if j.cancelAfter > 0 && math.Abs(j.ends-j.at-j.cancelAfter) < 0.1 {
				continue // cancelled just as it completes
			}
			if math.Abs(got[i]-j.ends) > 0.1 {
				t.Fatalf("job %d of %v at %v ends at %v, in the model at %v", i, j.work, j.at, got[i], j.ends)
			}
		}
	})
}

// The store keeps within its capacity and evicts the lowest rank first, then the least recently used.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore(10)
		type modelCopy struct {
			objectCopy
			rank, used int
		}
		var model []*modelCopy
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := key{"o", rapid.IntRange(0, 9).Draw(t, "key")}
			i := slices.IndexFunc(model, func(p *modelCopy) bool { return p.key == k })
			if rapid.Bool().Draw(t, "get") {
				if got := s.get(k, 0); (got != nil) != (i >= 0) {
					t.Fatalf("step %d: %v is there: %t, in the model: %t", step, k, got != nil, i >= 0)
				}
				if i >= 0 {
					model[i].used = step
				}
				continue
			}
			m := objectCopy{key: k, createdAt: float64(step), size: float64(rapid.IntRange(1, 6).Draw(t, "size"))}
			rank := rapid.IntRange(0, 3).Draw(t, "rank")
			s.put(m, rank)
			if i >= 0 {
				model = slices.Delete(model, i, i+1)
			}
			slices.SortFunc(model, func(a, b *modelCopy) int {
				if a.rank != b.rank {
					return a.rank - b.rank
				}
				return a.used - b.used
			})
			used, evicted := m.size, 0
			for _, p := range model {
				used += p.size
			}
			for ; used > 10 && evicted < len(model) && model[evicted].rank <= rank; evicted++ {
				used -= model[evicted].size
			}
			if used <= 10 {
				model = append(slices.Delete(model, 0, evicted), &modelCopy{m, rank, step})
			}
			if s.used > s.capacity {
				t.Fatalf("step %d: %v of %v", step, s.used, s.capacity)
			}
		}
	})
}

const twoClubs = `
about = "two clubs"
deployment {
  clubs = ["a", "b"]
  gateways = 3
  box {
    count = 4
    held = 0.5
  }
}
type "x" {
  share = 1
  work = "40ms"
  target = "300ms"
  expiry = "1s"
  parts = 3
  gap = "100ms"
  once = 0.1
}
phase "p" {
  for = "3s"
  rate = 100
}
`

// playUnanswered runs a world whose gateways never answer, and returns the first attempts of all operations.
func playUnanswered(t *testing.T, gateways int) (asked []RequestSent) {
	s, err := script.Parse([]byte(twoClubs), "two.hcl")
	if err != nil {
		t.Fatal(err)
	}
	s.Gateways = gateways
	w := New(s, Options{OnFact: func(f Fact) {
		if f, ok := f.(RequestSent); ok && f.First {
			asked = append(asked, f)
		}
	}})
	for g := range gateways {
		w.Handle(0, Ready{Gateway: g})
	}
	for at, ok := w.Next(); ok && !w.Done(); at, ok = w.Next() {
		w.RunUntil(at)
	}
	return asked
}

// Arrivals are drawn independently: neither the number of gateways nor their answers change what clients request.
func TestArrivalsAreDrawnAhead(t *testing.T) {
	withTwo, withFive := playUnanswered(t, 2), playUnanswered(t, 5)
	if len(withTwo) < 200 || len(withTwo) != len(withFive) {
		t.Fatalf("%d and %d", len(withTwo), len(withFive))
	}
	for i := range withTwo {
		if withTwo[i].At != withFive[i].At || withTwo[i].Object != withFive[i].Object || withTwo[i].Part != withFive[i].Part || withTwo[i].Group != withFive[i].Group {
			t.Fatalf("%d: %+v and %+v", i, withTwo[i], withFive[i])
		}
	}
}
