package purges

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against purges that miss the time stated at their acceptance because the log is slow or nobody sends batches
// (review/8). Whatever part of some overlapping purges is published, cancelled or restored from a snapshot, a gateway goes
// by each object half the delay after it is due by its own clock, which may be off by the skew: no later than the stated
// time, and no earlier than a plain model says.
func TestStatedTimeHoldsWithoutBatches(t *testing.T) {
	kindOf := func(s *State) int {
		if s.Purge.Stale {
			return 1
		}
		return 0
	}
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		l := Limits{Delay: 4000, Skew: 1000, Rate: 5, Batch: rapid.IntRange(1, 3).Draw(t, "batch"), MaxBounds: 1000}
		v := NewView("amber", l, true)
		now, published := 1e6, [2]map[string]float64{{}, {}} // published bounds, hard and soft
		for index := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += float64(rapid.IntRange(0, 900).Draw(t, "ms"))
			o := CommandData{At: now, ID: fmt.Sprint("p", rapid.IntRange(0, int(index)/4).Draw(t, "id")), Limits: &l}
			kind := rapid.SampledFrom([]string{Accept, Accept, Batch, Cancel, Tick, Tick, "restore"}).Draw(t, "kind")
			switch next, due, _ := b.NextBatch(now); {
			case kind == Accept:
				o.Purge = &Purge{ID: o.ID, Stale: rapid.Bool().Draw(t, "stale"), Club: rapid.SampledFrom([]string{"", "amber", "birch"}).Draw(t, "club"),
					Objects: rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 8).Draw(t, "objects")}
			case kind == Batch && due:
				o = next
				s := b.Purges[o.ID]
				for _, object := range s.Purge.Objects[o.First:o.Next] {
					if s.Purge.Club != "birch" {
						published[kindOf(s)][object] = max(published[kindOf(s)][object], s.boundTime())
					}
				}
			}
			if kind == "restore" { // the gateway has missed an entry
				b.applyOrder(index+1, Cancel, CommandData{At: now, ID: o.ID})
				saved := b.Save()
				if err := b.Load(saved); err != nil {
					t.Fatal(err)
				}
			} else {
				b.applyOrder(index+1, kind, o)
			}
			v.Apply(b.TakeUpdate(kind == "restore"))
			local := now + float64(rapid.SampledFrom([]int{0, -1000, 1000}).Draw(t, "clock"))
			for _, object := range []string{"a", "b", "c", "d", "e", "f"} {
				bounds := [2]float64{published[0][object], published[1][object]}
				for _, s := range b.Purges {
					for i, x := range s.Purge.Objects {
						inForce := local >= s.Start+200*float64(i)+2000
						if x == object && inForce && i >= s.Published && s.Stage != Cancelled && s.Purge.Club != "birch" {
							bounds[kindOf(s)] = max(bounds[kindOf(s)], s.Accepted+l.Skew)
						}
					}
				}
				for i := range bounds {
					if local < bounds[i]-1000+2000 { // a copy created since the acceptance may answer for two seconds
						bounds[i] -= 1000
					}
				}
				want := max(bounds[0], bounds[1])
				if got := v.MinCreated(local, local, object, 0, true); got != want {
					t.Fatalf("%d: %s at %.0f: copies from %.0f on, want %.0f", index, object, local, got, want)
				}
			}
		}
		for id := range b.Purges {
			b.applyOrder(1000, Cancel, CommandData{At: now, ID: id})
		}
		v.Apply(b.TakeUpdate(false))
		if len(v.Schedule.purges) > 0 || len(v.Schedule.byObject) > 0 {
			t.Fatalf("left in the schedule: %v", v.Schedule)
		}
	})
}

// logSimulation runs the batches of one purge through a log that agrees after a latency. Proposals are lost, or nothing is
// agreed, where lost says so.
type logSimulation struct {
	b       *StateMachine
	latency float64
	lost    func(now float64) bool
	inForce map[int]float64 // when each object came into force, by its batch or by the schedule
}

// run runs until all objects are in force and returns when the last batch was published.
func (s *logSimulation) run(t *testing.T, owner func(now float64) (token uint64, p *Pipeline)) (end float64) {
	type proposal struct {
		CommandData
		at       float64
		proposer *Pipeline
	}
	var proposals []proposal
	x, index := s.b.Purges["p"], uint64(10)
	for now := x.Start; len(s.inForce) < len(x.Purge.Objects) || x.Stage == Publishing; now += 10 {
		if now > x.Effective()+60_000 {
			t.Fatalf("%d of %d objects published", x.Published, len(x.Purge.Objects))
		}
		for len(proposals) > 0 && now >= proposals[0].at+s.latency {
			if index++; !s.lost(now) {
				s.b.applyOrder(index, Batch, proposals[0].CommandData)
				end = now
			}
			proposals[0].proposer.Ended(proposals[0].ID, proposals[0].First)
			proposals = proposals[1:]
		}
		for i := range x.Purge.Objects {
			if _, known := s.inForce[i]; !known && (i < x.Published || now >= x.inForceAt(i)) {
				s.inForce[i] = now
			}
		}
		if int(now-x.Start)%50 == 0 {
			token, p := owner(now)
			for _, o := range p.Due(s.b, now, token, true, false) {
				proposals = append(proposals, proposal{o, now, p})
			}
		}
	}
	return end
}

// Guards against a rate that falls with the time that the gateways take to agree (review/8), and against a burst of fills
// once batches were held up: with any latency batches keep the schedule; after a stall, with lost proposals or with a new
// owner in place of one that disappeared, no more objects come into force in a second than the rate and one batch, and
// none later than half the delay after it was due.
func TestBatchesKeepRate(t *testing.T) {
	never := func(float64) bool { return false }
	for name, c := range map[string]struct {
		latency float64
		batch   int
		lost    func(now float64) bool
		changes bool // the owner changes every second
		onTime  bool // nothing keeps the batches from their schedule
	}{
		"local":        {0, 5, never, false, true},
		"slow":         {400, 5, never, false, true},
		"large batch":  {150, 200, never, false, true},
		"short stall":  {150, 5, func(now float64) bool { return now > 3000 && now < 5000 }, false, false},
		"long stall":   {150, 5, func(now float64) bool { return now > 3000 && now < 9000 }, false, false},
		"stall at 0":   {20, 5, func(now float64) bool { return now < 2500 }, false, false},
		"losses":       {40, 5, func(now float64) bool { return int(now/10)%7 == 0 }, false, false},
		"owner change": {150, 5, never, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			const rate, objects = 200, 2400
			b, purge := New(), &Purge{ID: "p"}
			for i := range objects {
				purge.Objects = append(purge.Objects, fmt.Sprint(i))
			}
			b.applyOrder(1, Accept, CommandData{At: 1000, Purge: purge, Limits: &Limits{Delay: 6000, Skew: 500, Rate: rate, Batch: c.batch, MaxBounds: 20_000}})
			s := logSimulation{b: b, latency: c.latency, lost: c.lost, inForce: map[int]float64{}}
			p, token := &Pipeline{}, uint64(1)
			end := s.run(t, func(now float64) (uint64, *Pipeline) {
				if n := uint64(now / 1000); c.changes && n != token {
					p, token = &Pipeline{}, n
				}
				return token, p
			})
			x := b.Purges["p"]
			if late := end - (x.dueAt(objects) + c.latency + 200); late > 0 && c.onTime {
				t.Errorf("the last batch was published %.0f ms after its schedule", late)
			}
			perSecond := map[int]int{}
			for i, at := range s.inForce {
				perSecond[int(at/1000)]++
				if at > x.inForceAt(i)+10 {
					t.Fatalf("object %d is in force %.0f ms after it is due", i, at-x.dueAt(i))
				}
			}
			for second, n := range perSecond {
				if n > rate*(1000+paceTolerance+50)/1000+c.batch {
					t.Errorf("%d objects came into force in second %d", n, second)
				}
			}
		})
	}
}

// Guards against a time that is stated later than need be: a purge of a tag is published at its acceptance and does not
// wait for the objects of purges before it, as a purge of objects does.
func TestTagPurgeDoesNotWaitItsTurn(t *testing.T) {
	b, l := New(), Limits{Delay: 4000, Rate: 1, Batch: 1, MaxBounds: 100}
	b.applyOrder(1, Accept, CommandData{At: 1000, Purge: &Purge{ID: "objects", Objects: []string{"a", "b", "c"}}, Limits: &l})
	tag := b.applyOrder(2, Accept, CommandData{At: 1500, Purge: &Purge{ID: "tag", Groups: []int64{7}}, Limits: &l}).(State)
	next := b.applyOrder(3, Accept, CommandData{At: 1500, Purge: &Purge{ID: "next", Objects: []string{"d"}}, Limits: &l}).(State)
	if tag.Effective() != 5500 || next.Effective() != 9000 {
		t.Errorf("effective by %v and %v, want 5500 and 9000", tag.Effective(), next.Effective())
	}
}

// Guards against a time that is past when it is stated, as the command was issued long before it was agreed: the times of
// such a purge are provisional until a gateway that saw it accepted begins it. No batch goes out before, the bounds of
// what is published rise with the acceptance, and a second begin changes nothing.
func TestLatePurgeBeginsOnceAgreed(t *testing.T) {
	b, v, l := New(), NewView("", DefaultLimits(), true), Limits{Delay: 4000, Skew: 100, Rate: 10, Batch: 1, MaxBounds: 100}
	b.SetMember("g1", 1, true)
	accept := func(index uint64, p Purge) {
		b.applyOrder(index, Accept, CommandData{At: 1000, Purge: &p, Limits: &l, AwaitBegin: true})
	}
	accept(1, Purge{ID: "tag", Groups: []int64{7}}) // begun in this order, whatever the ids
	accept(2, Purge{ID: "objects", Objects: []string{"a", "b"}})
	v.Apply(b.TakeUpdate(false))
	b.applyOrder(3, Confirm, CommandData{At: 8500, From: "g1", Index: 3})
	if _, due, _ := b.NextBatch(9000); due || b.Purges["tag"].Stage != Sent {
		t.Errorf("batch due %t, tag %v", due, b.Purges["tag"].Stage)
	}
	if all := b.BeginsToSend(1500, false); len(all) != 2 || all[0].ID != "tag" || len(b.BeginsToSend(1499, true)) != 2 || len(b.BeginsToSend(1499, false)) != 0 {
		t.Errorf("not begun in log order, by the leader at once and by others after an eighth of the delay: %v", all)
	}
	b.applyOrder(4, Begin, CommandData{At: 9000, ID: "tag"})
	b.applyOrder(5, Begin, CommandData{At: 9000, ID: "objects"})
	b.applyOrder(6, Begin, CommandData{At: 9500, ID: "objects"})
	v.Apply(b.TakeUpdate(false))
	tag, objects := b.Purges["tag"], b.Purges["objects"]
	if tag.Effective() != 13_000 || objects.Effective() != 13_200 || len(b.BeginsToSend(1e9, true)) != 0 || len(b.Unconfirmed(tag)) != 1 {
		t.Errorf("tag %+v, objects %+v", tag, objects)
	}
	if group, _ := v.Bounds.Bound("", "x", 7); group != 9100 {
		t.Errorf("bound of the tag: %v, want 9100", group)
	}
	if early, _ := v.Schedule.Bound(10_999, "", "a"); early != 0 {
		t.Errorf("bound before it is in force: %v", early)
	}
	if late, _ := v.Schedule.Bound(11_000, "", "a"); late != 9100 {
		t.Errorf("bound once in force: %v, want 9100", late)
	}
}

// Guards against a gateway that counts as long lost because the time of the log stood still when it was: no purge was open
// for an hour, and it is lost just before the next one. That is not done until the delay has passed since.
func TestLossIsDatedByNextCommand(t *testing.T) {
	const hour = 3.6e6
	b, l := New(), Limits{Delay: 4000, Skew: 100, Batch: 1, MaxBounds: 100}
	b.applyOrder(1, Tick, CommandData{At: 1000})
	b.SetMember("g1", 1, true)
	b.SetMember("g1", 1, false)
	s := b.applyOrder(2, Accept, CommandData{At: hour, Purge: &Purge{ID: "p", Objects: []string{"a"}}, Limits: &l}).(State)
	if s.Stage != Sent || b.Gateways["g1"].Since != hour {
		t.Errorf("%v while a gateway just lost may serve older copies; lost at %v", s.Stage, b.Gateways["g1"].Since)
	}
	if b.applyOrder(3, Tick, CommandData{At: hour + l.Delay}); b.Purges["p"].Stage != Done {
		t.Errorf("%v after the delay", b.Purges["p"].Stage)
	}
}
