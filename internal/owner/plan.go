package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Planner works out at the leader who should own what has no owner. It may differ from another's: the log decides.
type Planner struct {
	Hold    float64 // ms for which one that was lost once is given nothing after its return; twice as long with each loss
	Longest float64
	back    map[string]returned
	next    float64 // when one that is held off no longer is, where there is work for it
}

type returned struct {
	incarnation, losses uint64
	there               bool
	at                  float64
}

// Plan names grants to be asked for: the member with the least work that is not held off, by name where these are several. Where all are held
// off, the one whose time is over first: seen in a long play of losses, a job stood still for 27 s as each had been lost some times.
func (p *Planner) Plan(now float64, b *Book) (all []Claim) {
	if p.back == nil {
		p.back = map[string]returned{}
	}
	p.next = math.Inf(1)
	load := map[string]int{}
	var able []string
	rest, soon := "", math.Inf(1) // who is held off for the least time
	for _, name := range slices.Sorted(maps.Keys(b.Workers)) {
		w, r := b.Workers[name], p.back[name]
		if r.losses != w.Losses || r.there != w.There || r.incarnation != w.Incarnation {
			if r = (returned{incarnation: w.Incarnation, losses: w.Losses, there: w.There, at: now}); !w.There {
				r.at = 0
			}
			p.back[name] = r
		}
		hold := 0.0
		if w.Losses > 0 {
			hold = min(p.Longest, p.Hold*float64(uint64(1)<<min(w.Losses-1, 20)))
		}
		if w.There && !w.Idle && now >= r.at+hold {
			able = append(able, name)
		} else if w.There && !w.Idle {
			p.next = min(p.next, r.at+hold)
			if r.at+hold < soon {
				rest, soon = name, r.at+hold
			}
		}
	}
	if len(able) == 0 && rest != "" {
		able = append(able, rest)
	}
	maps.DeleteFunc(p.back, func(name string, _ returned) bool { _, ok := b.Workers[name]; return !ok })
	for _, j := range b.All() {
		if j.Owner != "" {
			load[j.Owner]++
		}
	}
	for _, j := range b.All() {
		if j.Owner != "" || j.State != Running || len(able) == 0 {
			continue
		}
		from := able
		if near := slices.DeleteFunc(slices.Clone(able), func(name string) bool { return b.Workers[name].Zone != j.Zone }); j.Zone != "" && len(near) > 0 {
			from = near
		}
		to := slices.MinFunc(from, func(x, y string) int { return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(x, y)) })
		load[to]++
		all = append(all, Claim{Job: j.Name, Name: to, Incarnation: b.Workers[to].Incarnation})
	}
	return all
}
