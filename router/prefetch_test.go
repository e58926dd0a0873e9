package router

import (
	"fmt"
	"testing"
)

// A prefetch goes only to the cache that it fills, and the usual rules decide whether the copy is kept. It is given up at
// once where requests leave it no room, where the node is cold and its budget is spent, and where there is no such
// cache. It does not count as demand.
func TestPrefetchFillsOnlyItsCache(t *testing.T) {
	r := startedRouter(testSettings())
	r.Handle(0, NodesListed{Entries: []Entry{{Node: "e3", Kind: "box", Zone: "club", Weight: 10, StartedAt: 1}}})
	prefetch := func(id, only, object string) DownloadArrived {
		a := videoRequest(id)
		a.PrefetchNode, a.Object, a.Size = only, object, 500
		return a
	}
	pulls, throttled := 0, 0
	for i := range 400 {
		at := 2000.0 + float64(i)/10
		actions := r.Handle(at, prefetch(fmt.Sprint("a", i), "e3", fmt.Sprint("o", i)))
		for _, p := range actionsOf[Pull](actions) {
			if p.Node != "e3" {
				t.Fatalf("a prefetch for e3 goes to %s", p.Node)
			}
			pulls++
			r.Handle(at, PullEnded{ID: p.ID, Status: Fulfilled, AnswerSource: FilledBySource, Duration: 1, DownloadDone: true})
		}
		throttled += len(actionsOf[Throttle](actions))
		if len(actionsOf[Abandon](actions)) > 0 {
			t.Fatal("abandoned")
		}
	}
	if pulls == 0 || throttled == 0 || pulls+throttled != 400 {
		t.Errorf("%d pulls and %d throttled of 400, within one window of a cold cache", pulls, throttled)
	}
	if hot := r.HotObjects("e3", 10); len(hot) != 0 {
		t.Errorf("prefetches count as demand: %v", hot)
	}
	if actions := r.Handle(3000, prefetch("none", "e9", "o")); len(actionsOf[Throttle](actions)) != 1 || len(actionsOf[Pull](actions)) != 0 {
		t.Errorf("prefetch for an unknown cache: %v", actions)
	}
	// Each object is requested more often the higher its number, and is hot at one cache, which lists the most
	// requested first.
	for i := range 30 {
		for n := range i + 1 {
			a := videoRequest(fmt.Sprint("w", i, "-", n))
			a.Object = fmt.Sprint("w", i)
			r.Handle(4000, a)
		}
	}
	seen := map[string]int{}
	for _, node := range []string{"e1", "e2", "e3"} {
		last := 1 << 30
		for _, w := range r.HotObjects(node, 100) {
			n := 0
			fmt.Sscanf(w.Object, "w%d", &n)
			if seen[w.Object]++; n > last || w.Type != "video" || w.Part != 3 || w.Group != 4 {
				t.Errorf("at %s: %+v listed after w%d", node, w, last)
			}
			last = n
		}
	}
	if len(seen) != 30 {
		t.Errorf("%d of 30 objects are hot somewhere", len(seen))
	}
	if got := r.HotObjects("e1", 2); len(got) > 2 || len(r.HotObjects("gone", 2)) != 0 {
		t.Errorf("e1 with a limit of 2: %v; or an unknown node has hot objects", got)
	}
}
