package router

import (
	"fmt"
	"testing"
)

// What fills a cache ahead goes to that cache alone, with the mechanism deciding what is kept; it is given up at once where what is asked
// for leaves it no room, where the node is cold and its part is spent, and where there is no such cache. It is no sign of what is asked for.
func TestPrefetchFillsOnlyItsCache(t *testing.T) {
	r := startedRouter(testSettings())
	r.Handle(0, Listed{Entries: []Entry{{Node: "e3", Kind: "box", Zone: "club", Weight: 10, Booted: 1}}})
	ahead := func(id, only, object string) Arrived {
		a := videoRequest(id)
		a.Only, a.Object, a.Size = only, object, 500
		return a
	}
	pulls, throttled := 0, 0
	for i := range 400 {
		at := 2000.0 + float64(i)/10
		do := r.Handle(at, ahead(fmt.Sprint("a", i), "e3", fmt.Sprint("o", i)))
		for _, p := range actionsOf[Pull](do) {
			if p.Node != "e3" {
				t.Fatalf("goes to %s", p.Node)
			}
			pulls++
			r.Handle(at, Ended{ID: p.ID, Status: Fulfilled, Note: FilledBySource, Took: 1, Closed: true})
		}
		throttled += len(actionsOf[Throttle](do))
		if len(actionsOf[Abandon](do)) > 0 {
			t.Fatal("abandoned")
		}
	}
	if pulls == 0 || throttled == 0 || pulls+throttled != 400 {
		t.Errorf("%d pulls and %d throttled of 400, within one window of a cold cache", pulls, throttled)
	}
	if hot := r.Hot("e3", 10); len(hot) != 0 {
		t.Errorf("what was filled ahead counts as asked for: %v", hot)
	}
	if do := r.Handle(3000, ahead("none", "e9", "o")); len(actionsOf[Throttle](do)) != 1 || len(actionsOf[Pull](do)) != 0 {
		t.Errorf("for a cache that is not there: %v", do)
	}
	// Asked for at times that rise with its number, each object is hot at one cache, the most first.
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
		for _, w := range r.Hot(node, 100) {
			n := 0
			fmt.Sscanf(w.Object, "w%d", &n)
			if seen[w.Object]++; n > last || w.Type != "video" || w.Part != 3 || w.Group != 4 {
				t.Errorf("at %s %+v after w%d", node, w, last)
			}
			last = n
		}
	}
	if len(seen) != 30 {
		t.Errorf("%d of 30 objects are hot somewhere", len(seen))
	}
	if got := r.Hot("e1", 2); len(got) > 2 || len(r.Hot("gone", 2)) != 0 {
		t.Errorf("%v", got)
	}
}
