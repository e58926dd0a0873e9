package owner

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Planner chooses, on the leader, owners for the jobs that have none. Planners of several gateways may disagree:
// the log decides.
type Planner struct {
	HoldDown     float64 // ms without grants for a member that returns after a loss; doubles with each further loss
	MaxHoldDown  float64
	observed     map[string]observation
	nextEligible float64 // end of the earliest hold-down
}

// observation is a member's state as the planner last saw it, and the time of its last change.
type observation struct {
	incarnation, losses uint64
	there               bool
	since               float64
}

// Plan returns the grants to propose: to the member with the fewest jobs that is not in hold-down, ties broken by
// name, preferably in the job's zone. If all members are in hold-down, the one whose hold-down ends first is
// chosen: without that rule a simulation with many losses left a job without an owner for 27 s, as every member
// had been lost several times.
func (p *Planner) Plan(now float64, b *StateMachine) (grants []Claim) {
	if p.observed == nil {
		p.observed = map[string]observation{}
	}
	p.nextEligible = math.Inf(1)
	load := map[string]int{}
	var eligible []string
	fallback, fallbackAt := "", math.Inf(1) // member whose hold-down ends first
	for _, name := range slices.Sorted(maps.Keys(b.Workers)) {
		worker, obs := b.Workers[name], p.observed[name]
		if obs.losses != worker.Losses || obs.there != worker.Present || obs.incarnation != worker.Incarnation {
			if obs = (observation{incarnation: worker.Incarnation, losses: worker.Losses, there: worker.Present, since: now}); !worker.Present {
				obs.since = 0
			}
			p.observed[name] = obs
		}
		holdDown := 0.0
		if worker.Losses > 0 {
			holdDown = min(p.MaxHoldDown, p.HoldDown*float64(uint64(1)<<min(worker.Losses-1, 20)))
		}
		if worker.Present && !worker.Idle && now >= obs.since+holdDown {
			eligible = append(eligible, name)
		} else if worker.Present && !worker.Idle {
			p.nextEligible = min(p.nextEligible, obs.since+holdDown)
			if obs.since+holdDown < fallbackAt {
				fallback, fallbackAt = name, obs.since+holdDown
			}
		}
	}
	if len(eligible) == 0 && fallback != "" {
		eligible = append(eligible, fallback)
	}
	maps.DeleteFunc(p.observed, func(name string, _ observation) bool { _, ok := b.Workers[name]; return !ok })
	for _, j := range b.All() {
		if j.Owner != "" {
			load[j.Owner]++
		}
	}
	for _, j := range b.All() {
		if j.Owner != "" || j.State != Running || len(eligible) == 0 {
			continue
		}
		candidates := eligible
		if sameZone := slices.DeleteFunc(slices.Clone(eligible), func(name string) bool { return b.Workers[name].Zone != j.Zone }); j.Zone != "" && len(sameZone) > 0 {
			candidates = sameZone
		}
		chosen := slices.MinFunc(candidates, func(x, y string) int { return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(x, y)) })
		load[chosen]++
		grants = append(grants, Claim{Job: j.Name, Name: chosen, Incarnation: b.Workers[chosen].Incarnation})
	}
	return grants
}
