package router

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// gatewayGroup is a group of gateways of one zone, each with a router that knows only how many others there are, in
// front of caches of which one has just started.
type gatewayGroup struct {
	gateways, caches   int
	cacheWeight        float64 // concurrent transfers of a cache
	downloadsPerSecond float64 // of one gateway
	coldParent         bool    // the cold node is a parent, which gets fills, rather than an edge cache
	restartAfter       float64 // ms from the start of the cold node until a tenth of the gateways restart; 0: none does
}

// contentMix holds the content types, their shares of the downloads and their transfer times in ms.
var contentMix = []struct {
	typ   string
	share float64
	took  float64
}{{"video", 0.5, 350}, {"pages", 0.45, 60}, {"sale", 0.05, 20}}

// run returns how much of its budget the cold node was sent in the worst window, and on average: 1 is what the settings
// allow it at the end of the window. The load doubles 3 s after the node starts.
func (g gatewayGroup) run(seed int64) (worst, used float64) {
	random := rand.New(rand.NewSource(seed))
	const window, coldShare, multiple, booted, duration = 3000.0, 0.1, 3.0, 10_000.0, 12_000.0
	f := testSettings()
	f["types"], f["repeat"], f["target"], f["fresh"] = []any{"video", "pages", "sale"},
		[]any{"retriable", "retriable", "non-retriable"}, []any{600.0, 300.0, 800.0}, []any{0.0, 0.0, 0.0}
	f["writes"], f["flow"] = []any{false, false, true}, 0.0
	f["gateways"], f["gateways by zone"] = float64(g.gateways), []any{0.0, float64(g.gateways)}
	f["fall time"], f["fall multiple"], f["parent fall multiple"] = window, multiple, multiple
	f["cold share"], f["cold time"], f["parent cold share"], f["parent cold time"] = coldShare, 15_000.0, coldShare, 15_000.0
	list := NodesListed{Scope: RestoredList}
	for i := range g.caches {
		list.Entries = append(list.Entries, Entry{Node: fmt.Sprint("e", i), Kind: "box", Zone: "club", Weight: g.cacheWeight},
			Entry{Node: fmt.Sprint("p", i), Kind: "parent", Zone: "hub", Weight: g.cacheWeight})
	}
	list.Entries = append(list.Entries, Entry{Node: "o", Kind: "origin", Zone: "hub", Weight: 5})
	cold := Entry{Node: "cold", Kind: "box", Zone: "club", Weight: g.cacheWeight, StartedAt: booted}
	if g.coldParent {
		cold.Kind, cold.Zone = "parent", "hub"
	}
	type charge struct{ at, work float64 }
	var charges []charge
	for n := range g.gateways {
		f, r := maps.Clone(f), New()
		f["number"] = float64(n)
		start := func(at float64, list NodesListed) {
			r = New()
			r.Handle(at, Started{Seed: uint64(seed)<<20 + uint64(n), Settings: f})
			r.Handle(at, list)
		}
		start(0, list)
		listedAt, restartAt := booted+300+600*random.Float64(), math.Inf(1)
		if g.restartAfter > 0 && n%10 == 0 {
			restartAt = booted + g.restartAfter
		}
		type pendingEnd struct {
			at float64
			e  PullEnded
		}
		var pending []pendingEnd
		pulls := map[string]int{}
		var alarms []SetTimer
		serve := func(at float64, e Event) {
			for _, a := range r.Handle(at, e) {
				switch a := a.(type) {
				case SetTimer:
					alarms = append(alarms, a)
				case Pull:
					took := 0.0
					for _, content := range contentMix {
						if a.ID[0] == content.typ[0] {
							took = content.took
						}
					}
					note := Hit
					if g.coldParent {
						note = FilledBySource
					}
					if a.Node == "cold" || a.Source == "cold" && g.coldParent {
						charges = append(charges, charge{at, took})
					}
					pending = append(pending, pendingEnd{at + took, PullEnded{ID: a.ID, Pull: pulls[a.ID],
						Status: Fulfilled, AnswerSource: note, Duration: took, DownloadDone: true}})
					pulls[a.ID]++
				}
			}
		}
		next := 0.0
		for at, i := 0.0, 0; at < booted+duration; at += 10 {
			if at >= listedAt {
				serve(at, NodesListed{Entries: []Entry{cold}})
				listedAt = math.Inf(1)
			}
			if at >= restartAt {
				restored := NodesListed{Scope: RestoredList, Entries: append(slices.Clone(list.Entries), cold)}
				start(at, restored)
				pending, alarms, restartAt = nil, nil, math.Inf(1)
			}
			for len(alarms) > 0 && alarms[0].At <= at {
				b := alarms[0]
				alarms = alarms[1:]
				serve(at, TimerFired{Token: b.Token})
			}
			pending = slices.DeleteFunc(pending, func(x pendingEnd) bool {
				if x.at > at {
					return false
				}
				r.Handle(at, x.e)
				return true
			})
			rate := g.downloadsPerSecond
			if at > booted+3000 {
				rate *= 2
			}
			for ; next <= at; next += random.ExpFloat64() * 1000 / rate {
				u, k := random.Float64(), 0
				for ; u > contentMix[k].share; k++ {
					u -= contentMix[k].share
				}
				i++
				serve(at, DownloadArrived{ID: fmt.Sprint(contentMix[k].typ, n, "-", i), Type: contentMix[k].typ,
					Object: fmt.Sprint("o", random.Intn(5000)), Expiry: at + 6000, Write: contentMix[k].typ == "sale"})
			}
			slices.SortStableFunc(alarms, func(a, b SetTimer) int { return int(a.At - b.At) })
		}
	}
	slices.SortStableFunc(charges, func(a, b charge) int { return int(math.Copysign(1, a.at-b.at)) })
	sum, first, total, allowed := 0.0, 0, 0.0, 0.0
	for _, charge := range charges {
		sum += charge.work
		for charges[first].at <= charge.at-window {
			sum -= charges[first].work
			first++
		}
		worst = max(worst, sum/(multiple*(coldShare+(1-coldShare)*(charge.at-booted)/15_000)*g.cacheWeight*window))
		total += charge.work
	}
	for at := booted; at < booted+duration; at += 10 {
		allowed += multiple * (coldShare + (1-coldShare)*(at-booted)/15_000) * g.cacheWeight * 10
	}
	return worst, total / allowed
}

// Many gateways that know only their number must together send a cold cache, or a cold parent, no more than the settings
// allow in any window, without the tolerance of 2*sqrt(N)+2 that the rule grants for random variation. The cases cover
// first pulls, fills, a burst, gateways that restart while the node warms up, more gateways than caches and the reverse.
func TestGatewayGroupKeepsColdBudget(t *testing.T) {
	for _, c := range []gatewayGroup{
		{gateways: 30, caches: 5, cacheWeight: 3, downloadsPerSecond: 10},
		{gateways: 30, caches: 5, cacheWeight: 10, downloadsPerSecond: 10, coldParent: true},
		{gateways: 40, caches: 10, cacheWeight: 10, downloadsPerSecond: 20, restartAfter: 2000},
		{gateways: 3, caches: 20, cacheWeight: 4, downloadsPerSecond: 60},
	} {
		worst, used := c.run(1)
		t.Logf("%+v: %.2f of the budget in the worst window, %.2f on average", c, worst, used)
		if worst > 1 || used < 0.1 {
			t.Errorf("%+v: %.2f of the budget in one window, want at most 1; %.2f on average, want at least 0.1", c, worst, used)
		}
	}
}
