package router

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// crowd is many gateways of one location, each with a router that knows of the others only how many there are, before caches of which
// one has just started.
type gatewayGroup struct {
	gateways, caches   int
	cacheWeight        float64 // of a cache, in transfers at once
	downloadsPerSecond float64 // downloads a second of one gateway
	coldParent         bool    // the cold one is a parent, which fills reach
	restartAfter       float64 // ms after which a tenth of the gateways start anew; 0: none does
}

var contentMix = []struct {
	typ   string
	share float64
	took  float64
}{{"video", 0.5, 350}, {"pages", 0.45, 60}, {"sale", 0.05, 20}}

// play tells how much of what it bears the cold one got at the most in one window, and how much of it on average: 1 is what the settings
// allow it at the window's end. The load doubles 3 s after its start.
func (c gatewayGroup) run(seed int64) (worst, used float64) {
	chance := rand.New(rand.NewSource(seed))
	const window, from, multiple, booted, length = 3000.0, 0.1, 3.0, 10_000.0, 12_000.0
	f := testSettings()
	f["types"], f["repeat"], f["target"], f["fresh"] = []any{"video", "pages", "sale"}, []any{"retriable", "retriable", "non-retriable"},
		[]any{600.0, 300.0, 800.0}, []any{0.0, 0.0, 0.0}
	f["writes"], f["flow"] = []any{false, false, true}, 0.0
	f["gateways"], f["gateways by zone"] = float64(c.gateways), []any{0.0, float64(c.gateways)}
	f["fall time"], f["fall multiple"], f["parent fall multiple"] = window, multiple, multiple
	f["cold share"], f["cold time"], f["parent cold share"], f["parent cold time"] = from, 15_000.0, from, 15_000.0
	list := Listed{Scope: Restored}
	for i := range c.caches {
		list.Entries = append(list.Entries, Entry{Node: fmt.Sprint("e", i), Kind: "box", Zone: "club", Weight: c.cacheWeight},
			Entry{Node: fmt.Sprint("p", i), Kind: "parent", Zone: "hub", Weight: c.cacheWeight})
	}
	list.Entries = append(list.Entries, Entry{Node: "o", Kind: "origin", Zone: "hub", Weight: 5})
	cold := Entry{Node: "cold", Kind: "box", Zone: "club", Weight: c.cacheWeight, Booted: booted}
	if c.coldParent {
		cold.Kind, cold.Zone = "parent", "hub"
	}
	type charge struct{ at, work float64 }
	var got []charge
	for n := range c.gateways {
		f, r := maps.Clone(f), New()
		f["number"] = float64(n)
		start := func(at float64, list Listed) {
			r = New()
			r.Handle(at, Started{Seed: uint64(seed)<<20 + uint64(n), Footprint: f})
			r.Handle(at, list)
		}
		start(0, list)
		told, again := booted+300+600*chance.Float64(), math.Inf(1)
		if c.restartAfter > 0 && n%10 == 0 {
			again = booted + c.restartAfter
		}
		type end struct {
			at float64
			e  Ended
		}
		var out []end
		pulls := map[string]int{}
		var bells []Alarm
		serve := func(at float64, e Event) {
			for _, a := range r.Handle(at, e) {
				switch a := a.(type) {
				case Alarm:
					bells = append(bells, a)
				case Pull:
					took := 0.0
					for _, k := range contentMix {
						if a.ID[0] == k.typ[0] {
							took = k.took
						}
					}
					note := Held
					if c.coldParent {
						note = FilledBySource
					}
					if a.Node == "cold" || a.Source == "cold" && c.coldParent {
						got = append(got, charge{at, took})
					}
					out = append(out, end{at + took, Ended{ID: a.ID, Pull: pulls[a.ID], Status: Fulfilled, Note: note, Took: took, Closed: true}})
					pulls[a.ID]++
				}
			}
		}
		next := 0.0
		for at, i := 0.0, 0; at < booted+length; at += 10 {
			if at >= told {
				serve(at, Listed{Entries: []Entry{cold}})
				told = math.Inf(1)
			}
			if at >= again {
				now := Listed{Scope: Restored, Entries: append(slices.Clone(list.Entries), cold)}
				start(at, now)
				out, bells, again = nil, nil, math.Inf(1)
			}
			for len(bells) > 0 && bells[0].At <= at {
				b := bells[0]
				bells = bells[1:]
				serve(at, Rang{Token: b.Token})
			}
			out = slices.DeleteFunc(out, func(x end) bool {
				if x.at > at {
					return false
				}
				r.Handle(at, x.e)
				return true
			})
			rate := c.downloadsPerSecond
			if at > booted+3000 {
				rate *= 2
			}
			for ; next <= at; next += chance.ExpFloat64() * 1000 / rate {
				u, k := chance.Float64(), 0
				for ; u > contentMix[k].share; k++ {
					u -= contentMix[k].share
				}
				i++
				serve(at, Arrived{ID: fmt.Sprint(contentMix[k].typ, n, "-", i), Type: contentMix[k].typ, Object: fmt.Sprint("o", chance.Intn(5000)),
					Expiry: at + 6000, Write: contentMix[k].typ == "sale"})
			}
			slices.SortStableFunc(bells, func(a, b Alarm) int { return int(a.At - b.At) })
		}
	}
	slices.SortStableFunc(got, func(a, b charge) int { return int(math.Copysign(1, a.at-b.at)) })
	sum, first, total, allowed := 0.0, 0, 0.0, 0.0
	for _, g := range got {
		sum += g.work
		for got[first].at <= g.at-window {
			sum -= got[first].work
			first++
		}
		worst = max(worst, sum/(multiple*(from+(1-from)*(g.at-booted)/15_000)*c.cacheWeight*window))
		total += g.work
	}
	for at := booted; at < booted+length; at += 10 {
		allowed += multiple * (from + (1-from)*(at-booted)/15_000) * c.cacheWeight * 10
	}
	return worst, total / allowed
}

// Many gateways that each know only how many they are send a cold cache, or a cold parent, no more together than the settings allow it
// in any window: without the 2 x root of N + 2 that the rule leaves to chance. First pulls, fills, a burst, gateways that start anew
// amid the ramp, more gateways than caches and the other way round.
func TestGatewayGroupKeepsColdBudget(t *testing.T) {
	for _, c := range []gatewayGroup{
		{gateways: 30, caches: 5, cacheWeight: 3, downloadsPerSecond: 10},
		{gateways: 30, caches: 5, cacheWeight: 10, downloadsPerSecond: 10, coldParent: true},
		{gateways: 40, caches: 10, cacheWeight: 10, downloadsPerSecond: 20, restartAfter: 2000},
		{gateways: 3, caches: 20, cacheWeight: 4, downloadsPerSecond: 60},
	} {
		worst, used := c.run(1)
		t.Logf("%+v: at the worst %.2f of what it bears, %.2f on average", c, worst, used)
		if worst > 1 || used < 0.1 {
			t.Errorf("%+v: %.2f of what it bears in one window, %.2f on average", c, worst, used)
		}
	}
}
