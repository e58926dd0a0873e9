package maintenance

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A returned machine's edge caches are warm if their hit ratio, over enough pulls, is close to that of the club's other caches in service.
func TestIsWarm(t *testing.T) {
	l := Limits{WarmShare: 0.8}
	for _, c := range []struct {
		name, machine string
		boxes         map[string]PullCounts
		want          bool
	}{
		{"like its peers", "amber-1", map[string]PullCounts{"e1amber": {40, 30}, "e2amber": {40, 30}, "e3amber": {40, 32}}, true},
		{"just enough", "amber-1", map[string]PullCounts{"e1amber": {100, 64}, "e2amber": {100, 80}}, true},
		{"not yet", "amber-1", map[string]PullCounts{"e1amber": {100, 63}, "e2amber": {100, 80}}, false},
		{"too few pulls", "amber-1", map[string]PullCounts{"e1amber": {19, 19}, "e2amber": {100, 80}}, false},
		{"too few pulls of its peers", "amber-1", map[string]PullCounts{"e1amber": {100, 90}, "e2amber": {9, 9}, "e1birch": {100, 80}}, false},
		{"one of two is cold", "amber-2", map[string]PullCounts{"e1amber": {100, 80}, "e2amber": {100, 90}, "e3amber": {100, 20}}, false},
		{"a machine with a hub", "amber-hub", nil, false},
		{"only a gateway", "amber-3", nil, true},
	} {
		b := newTestState(t, l)
		if got := b.IsWarm(b.Machine(c.machine), Load{Boxes: c.boxes}); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
	b := newTestState(t, l)
	b.Lost["e2amber"] = true // a peer is lost
	if b.IsWarm(b.Machine("amber-1"), Load{Boxes: map[string]PullCounts{"e1amber": {40, 30}, "e2amber": {40, 30}, "e3amber": {40, 30}}}) {
		t.Error("compared with a lost edge cache")
	}
	b.Inventory.Limits.WarmShare = 0
	if b.IsWarm(b.Machine("amber-3"), Load{}) {
		t.Error("warm although the measurement is disabled")
	}
}

// A returned machine is back in service once more than half of its club's live gateways report it warm under its current grant, but not
// while part of it is lost.
func TestWarmByMajority(t *testing.T) {
	b := newTestState(t, Limits{MaxMachines: 1, BeginTimeout: 1000, DrainTimeout: 500, WarmTimeout: 60_000, Overdue: 2, Grace: 100, MissingAck: ProceedWithoutAck})
	send := func(at float64, kind, from string, token uint64) any {
		return b.apply(t, kind, CommandData{At: at, Machine: "amber-2", Gateway: from, Token: token})
	}
	b.apply(t, Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "amber-2", Duration: 1000}})
	for i, kind := range []string{Grant, Drain} {
		send(float64(20+i), kind, "", 1)
	}
	for _, g := range []string{"g1amber", "g2amber", "g1birch", "g2birch"} {
		send(30, Ack, g, 1)
	}
	if r := send(35, ReportWarm, "g1amber", 1); r != ErrWrongStage {
		t.Errorf("reported warm before it left: %v", r)
	}
	send(40, Leave, "", 1)
	send(50, Return, "", 1)
	for i, c := range []struct {
		kind, from string
		token      uint64
		want       any
	}{
		{FinishWarming, "", 0, ErrNotWarm},
		{ReportWarm, "g1birch", 1, nil}, // a gateway of another club
		{ReportWarm, "g1amber", 7, ErrStaleGrant},
		{ReportWarm, "g1amber", 1, nil},
		{FinishWarming, "", 0, ErrNotWarm}, // one of two gateways
		{ReportWarm, "g1amber", 1, nil},
		{FinishWarming, "", 0, ErrNotWarm}, // a repeated report counts once
		{ReportWarm, "g2amber", 1, nil},
	} {
		if r, is := send(60, c.kind, c.from, c.token).(error); is != (c.want != nil) || is && r != c.want {
			t.Fatalf("%d: %s by %s: %v, want %v", i, c.kind, c.from, r, c.want)
		}
	}
	b.apply(t, SetLost, CommandData{At: 70, Names: []string{"e3amber"}})
	if r := send(70, FinishWarming, "", 0); r != ErrNotWarm {
		t.Errorf("back in service with a lost edge cache: %v", r)
	}
	b.apply(t, SetLost, CommandData{At: 70})
	if send(80, FinishWarming, "", 0); b.Windows["amber-2"] != nil || len(b.Ended) != 1 {
		t.Errorf("not back in service: %+v, %+v", b.Windows["amber-2"], b.Ended)
	}
}

// A gateway that restarts while a machine drains must acknowledge again: the acknowledgement of its previous process does not count.
func TestRestartedGatewayMustAckAgain(t *testing.T) {
	b := newTestState(t, Limits{MaxMachines: 1, BeginTimeout: 1000, DrainTimeout: 500, WarmTimeout: 300, Overdue: 2, Grace: 100})
	b.apply(t, Submit, CommandData{At: 10, Request: &Request{ID: "a", Machine: "amber-1", Duration: 1000}})
	b.apply(t, Grant, CommandData{At: 20, Machine: "amber-1"})
	b.apply(t, Drain, CommandData{At: 30, Machine: "amber-1", Token: 1})
	for _, g := range []string{"g2amber", "g1birch", "g2birch"} {
		b.apply(t, Ack, CommandData{At: 40, Machine: "amber-1", Token: 1, Gateway: g})
	}
	b.SetGateway("g1birch", 99, true)
	if r := b.apply(t, Leave, CommandData{At: 50, Machine: "amber-1", Token: 1}); r != ErrPendingAcks {
		t.Errorf("left without the new acknowledgement: %v", r)
	}
	b.apply(t, Ack, CommandData{At: 60, Machine: "amber-1", Token: 1, Gateway: "g1birch"})
	if w, _ := b.apply(t, Leave, CommandData{At: 70, Machine: "amber-1", Token: 1}).(Window); w.Stage != OutOfService {
		t.Errorf("did not leave: %+v", w)
	}
}

// The logged peak of an hour is that of the previous day, or today's once it is higher. Peaks keep machines in service, and a peak set by
// an operator overrides the measured one.
func TestPeakMeter(t *testing.T) {
	b := newTestState(t, Limits{Reserve: 0.5})
	day, lost := 24*hourMillis, 0
	var meter PeakMeter
	rate := func(at float64) float64 { return 10 + 8*math.Sin(at/day*2*math.Pi) }
	reports := 0
	for at := 100 * day; at < 102*day; at += 10_000 {
		if o := meter.Observe(at, Load{Rate: rate(at)}, b, "g1amber"); o != nil {
			if reports++; reports%3 == 0 {
				lost++
				continue // it is reported again
			}
			b.apply(t, ReportPeak, *o)
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
	if reports > 48+2*24+lost {
		t.Errorf("%d reports to the log", reports)
	}
	// A meter that restarts late in an hour and measures little of it does not replace the peak of the day before.
	restarted, known := PeakMeter{}, b.MeasuredPeaks["g1amber"][10]
	for at := 102*day + 10*hourMillis + 50*60_000; at < 102*day+11*hourMillis+120_000; at += 10_000 {
		if o := restarted.Observe(at, Load{Rate: 1}, b, "g1amber"); o != nil {
			b.apply(t, ReportPeak, *o)
		}
	}
	if got := b.MeasuredPeaks["g1amber"][10]; got != known {
		t.Errorf("ten minutes of low load replaced %v: %v", known, got)
	}
	if r := b.apply(t, ReportPeak, CommandData{Gateway: "nobody", Peak: 1}); r != ErrMalformed {
		t.Errorf("from an unknown gateway: %v", r)
	}
	// The machines of amber have capacities of 10 and 20; with a reserve of one half the first may leave where the peak is at most 13.3.
	b.Now = 101*day + 18*hourMillis
	if reason := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); reason != "" {
		t.Errorf("refused at the hour of lowest load: %s", reason)
	}
	b.Now = 101*day + 5*hourMillis
	if reason := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); reason == "" {
		t.Error("may leave at the peak")
	}
	b.apply(t, SetPeak, CommandData{Club: "amber", Hour: 5, Peak: 3})
	if reason := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); reason != "" {
		t.Errorf("refused although an operator set a lower peak: %s", reason)
	}
	b.apply(t, SetPeak, CommandData{Club: "amber", Hour: 5})
	if reason := b.countOutages().blockedBy(b.Machine("amber-1"), b.Now, b.Now+1000); reason == "" {
		t.Error("may leave at the peak after the operator's value was removed")
	}
}

// Whatever is measured, and however often the gateway restarts, each reported peak is a rate that was measured in that hour of the day
// within the last 24 hours.
func TestPeakMeterReportsMeasuredRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestState(t, Limits{})
		var meter PeakMeter
		at, hours := 50*24*hourMillis, map[float64][]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "measurements") {
			at += rapid.SampledFrom([]float64{1000, 60_000, 600_000, 1_800_000, 4_000_000}).Draw(t, "ms")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				meter = PeakMeter{}
			}
			rate := float64(rapid.IntRange(0, 50).Draw(t, "rate"))
			h := math.Floor(at / hourMillis)
			hours[h] = append(hours[h], rate)
			o := meter.Observe(at, Load{Rate: rate}, b, "g1amber")
			if o == nil {
				continue
			}
			measured := false
			for back := h; back > h-24 && !measured; back-- {
				for _, r := range hours[back] {
					measured = measured || int(math.Mod(back, 24)) == o.Hour && r == o.Peak
				}
			}
			if !measured {
				t.Fatalf("reported %v for hour %d, measured %v", o.Peak, o.Hour, hours)
			}
			if rapid.Bool().Draw(t, "committed") {
				b.apply(t, ReportPeak, *o)
			}
		}
	})
}
