package maintenance

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A cache that is back is warm by what is measured alone: where it was asked often enough, beside its like that were not away.
func TestWarm(t *testing.T) {
	l := Limits{WarmShare: 0.8}
	for _, c := range []struct {
		name, machine string
		boxes         map[string]Held
		want          bool
	}{
		{"as its like", "amber-1", map[string]Held{"e1amber": {40, 30}, "e2amber": {40, 30}, "e3amber": {40, 32}}, true},
		{"just enough", "amber-1", map[string]Held{"e1amber": {100, 64}, "e2amber": {100, 80}}, true},
		{"not yet", "amber-1", map[string]Held{"e1amber": {100, 63}, "e2amber": {100, 80}}, false},
		{"asked too little", "amber-1", map[string]Held{"e1amber": {19, 19}, "e2amber": {100, 80}}, false},
		{"nothing to go by", "amber-1", map[string]Held{"e1amber": {100, 90}, "e2amber": {9, 9}, "e1birch": {100, 80}}, false},
		{"one of two is cold", "amber-2", map[string]Held{"e1amber": {100, 80}, "e2amber": {100, 90}, "e3amber": {100, 20}}, false},
		{"a hub", "amber-hub", nil, false},
		{"gateways alone", "amber-3", nil, true},
	} {
		b := begun(t, l)
		if got := b.IsWarm(b.Machine(c.machine), Load{Boxes: c.boxes}); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
	b := begun(t, l)
	b.Lost["e2amber"] = true // its like is away itself
	if b.IsWarm(b.Machine("amber-1"), Load{Boxes: map[string]Held{"e1amber": {40, 30}, "e2amber": {40, 30}, "e3amber": {40, 30}}}) {
		t.Error("judged beside one that is lost")
	}
	b.Inventory.Limits.WarmShare = 0
	if b.IsWarm(b.Machine("amber-3"), Load{}) {
		t.Error("warm by a measure that is off")
	}
}

// A machine that is back is in by the word of more than half of its club's gateways that are there, under the grant that stands, and not while
// something on it is lost.
func TestWarmByItsClub(t *testing.T) {
	b := begun(t, Limits{Most: 1, Begin: 1000, Drain: 500, Warm: 60_000, Overdue: 2, Grace: 100, MissingAck: ProceedWithoutAck})
	say := func(at float64, kind, from string, token uint64) any {
		return b.give(t, kind, Order{At: at, Machine: "amber-2", From: from, Token: token})
	}
	b.give(t, Ask, Order{At: 10, Request: &Request{ID: "a", Machine: "amber-2", Takes: 1000}})
	for i, kind := range []string{Grant, Drain} {
		say(float64(20+i), kind, "", 1)
	}
	for _, g := range []string{"g1amber", "g2amber", "g1birch", "g2birch"} {
		say(30, Ack, g, 1)
	}
	if r := say(35, ReportWarm, "g1amber", 1); r != ErrWrongStage {
		t.Errorf("warm before it went: %v", r)
	}
	say(40, Go, "", 1)
	say(50, Back, "", 1)
	for i, c := range []struct {
		kind, from string
		token      uint64
		want       any
	}{
		{FinishWarming, "", 0, ErrNotWarm},
		{ReportWarm, "g1birch", 1, nil}, // another club's
		{ReportWarm, "g1amber", 7, ErrStaleGrant},
		{ReportWarm, "g1amber", 1, nil},
		{FinishWarming, "", 0, ErrNotWarm}, // one of two
		{ReportWarm, "g1amber", 1, nil},
		{FinishWarming, "", 0, ErrNotWarm}, // twice is once
		{ReportWarm, "g2amber", 1, nil},
	} {
		if r, is := say(60, c.kind, c.from, c.token).(error); is != (c.want != nil) || is && r != c.want {
			t.Fatalf("%d: %s by %s: %v, want %v", i, c.kind, c.from, r, c.want)
		}
	}
	b.give(t, Lost, Order{At: 70, Names: []string{"e3amber"}})
	if r := say(70, FinishWarming, "", 0); r != ErrNotWarm {
		t.Errorf("in with a cache lost: %v", r)
	}
	b.give(t, Lost, Order{At: 70})
	if say(80, FinishWarming, "", 0); b.Works["amber-2"] != nil || len(b.Ended) != 1 {
		t.Errorf("not in: %+v, %+v", b.Works["amber-2"], b.Ended)
	}
}

// A gateway that is started anew while a machine drains has not left it yet, whatever the process before it said.
func TestNewProcessHasLeftNothing(t *testing.T) {
	b := begun(t, Limits{Most: 1, Begin: 1000, Drain: 500, Warm: 300, Overdue: 2, Grace: 100})
	b.give(t, Ask, Order{At: 10, Request: &Request{ID: "a", Machine: "amber-1", Takes: 1000}})
	b.give(t, Grant, Order{At: 20, Machine: "amber-1"})
	b.give(t, Drain, Order{At: 30, Machine: "amber-1", Token: 1})
	for _, g := range []string{"g2amber", "g1birch", "g2birch"} {
		b.give(t, Ack, Order{At: 40, Machine: "amber-1", Token: 1, From: g})
	}
	b.SetGateway("g1birch", 99, true)
	if r := b.give(t, Go, Order{At: 50, Machine: "amber-1", Token: 1}); r != ErrWaits {
		t.Errorf("it goes: %v", r)
	}
	b.give(t, Ack, Order{At: 60, Machine: "amber-1", Token: 1, From: "g1birch"})
	if w, _ := b.give(t, Go, Order{At: 70, Machine: "amber-1", Token: 1}).(Work); w.Stage != Out {
		t.Errorf("it does not go: %+v", w)
	}
}

// Peaks are those of the day before at that hour, or of this one where it has passed them; they hold machines in, and an operator's word
// goes before them.
func TestGauge(t *testing.T) {
	b := begun(t, Limits{Reserve: 0.5})
	day, lost := 24*hourMillis, 0
	var g PeakMeter
	rate := func(at float64) float64 { return 10 + 8*math.Sin(at/day*2*math.Pi) }
	told := 0
	for at := 100 * day; at < 102*day; at += 10_000 {
		if o := g.Observe(at, Load{Rate: rate(at)}, b, "g1amber"); o != nil {
			if told++; told%3 == 0 {
				lost++
				continue // it goes out again
			}
			b.give(t, ReportPeak, *o)
		}
	}
	for h := range 24 {
		want := 0.0
		for at := 101*day + float64(h)*hourMillis; at < 101*day+float64(h+1)*hourMillis; at += 10_000 {
			want = max(want, rate(at))
		}
		if got := b.MeasuredPeaks["g1amber"][h]; h < 23 && math.Abs(got-want) > 1e-9 {
			t.Errorf("hour %d: %v, want %v", h, got, want)
		}
	}
	if told > 48+2*24+lost {
		t.Errorf("the log was told %d times", told)
	}
	// One that begins anew late in an hour, and measures little of it, takes nothing of the day before away.
	anew, known := PeakMeter{}, b.MeasuredPeaks["g1amber"][10]
	for at := 102*day + 10*hourMillis + 50*60_000; at < 102*day+11*hourMillis+120_000; at += 10_000 {
		if o := anew.Observe(at, Load{Rate: 1}, b, "g1amber"); o != nil {
			b.give(t, ReportPeak, *o)
		}
	}
	if got := b.MeasuredPeaks["g1amber"][10]; got != known {
		t.Errorf("ten minutes of little took the place of %v: %v", known, got)
	}
	if r := b.give(t, ReportPeak, Order{From: "nobody", Peak: 1}); r != ErrMalformed {
		t.Errorf("of nobody: %v", r)
	}
	// 10 and 20 are carried at amber; with a half in reserve the first may go where the peak is at most 13.3.
	b.Now = 101*day + 18*hourMillis
	if why := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); why != "" {
		t.Errorf("at the quiet hour: %s", why)
	}
	b.Now = 101*day + 5*hourMillis
	if why := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); why == "" {
		t.Error("at the peak it may go")
	}
	b.give(t, SetPeak, Order{Club: "amber", Hour: 5, Peak: 3})
	if why := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); why != "" {
		t.Errorf("by an operator's word: %s", why)
	}
	b.give(t, SetPeak, Order{Club: "amber", Hour: 5})
	if why := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); why == "" {
		t.Error("the word was taken back")
	}
}

// Whatever is measured, and however often a gateway begins anew: what it tells is a rate that it had in that hour, the highest since it
// began, and a whole hour that is over takes the place of what was told the day before.
func TestGaugeTellsWhatWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := begun(t, Limits{})
		var g PeakMeter
		at, hours := 50*24*hourMillis, map[float64][]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "measures") {
			at += rapid.SampledFrom([]float64{1000, 60_000, 600_000, 1_800_000, 4_000_000}).Draw(t, "ms")
			if rapid.IntRange(0, 9).Draw(t, "anew") == 0 {
				g = PeakMeter{}
			}
			rate := float64(rapid.IntRange(0, 50).Draw(t, "rate"))
			h := math.Floor(at / hourMillis)
			hours[h] = append(hours[h], rate)
			o := g.Observe(at, Load{Rate: rate}, b, "g1amber")
			if o == nil {
				continue
			}
			was := false
			for back := h; back > h-24 && !was; back-- {
				for _, r := range hours[back] {
					was = was || int(math.Mod(back, 24)) == o.Hour && r == o.Peak
				}
			}
			if !was {
				t.Fatalf("told %v of hour %d, of %v", o.Peak, o.Hour, hours)
			}
			if rapid.Bool().Draw(t, "agreed") {
				b.give(t, ReportPeak, *o)
			}
		}
	})
}
