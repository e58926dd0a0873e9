package maintenance

import (
	"maps"
	"slices"
)

// Hurt tells whether something that stands on a machine is lost, or drained by the list.
func (b *Book) Hurt(name string) bool {
	m := b.Machine(name)
	return m != nil && b.hurt(m)
}

// Strangers names gateways that are members and stand on no machine of the inventory, and those of it that never announced themselves.
func (b *Book) Strangers() (all []string) {
	known := map[string]bool{}
	for _, m := range b.Inventory.Machines {
		for _, g := range m.Gateways {
			if known[g] = true; b.Gateways[g].Incarnation == 0 {
				all = append(all, g+": on machine "+m.Name+", and never announced itself")
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(b.Gateways)) {
		if !known[g] && b.Gateways[g].There {
			all = append(all, g+": announced itself, and stands on no machine")
		}
	}
	return all
}

// Near tells of each limit that is set how much of it is taken.
func (b *Book) Near() map[string][2]float64 {
	t, l, near := b.tally(), b.Inventory.Limits, map[string][2]float64{}
	if l.Most > 0 {
		near["most"] = [2]float64{float64(t.out), float64(l.Most)}
	}
	for key, i := range t.index {
		switch {
		case key[0] == 'c' && l.PerClub > 0:
			near["per_club "+key[1:]] = [2]float64{float64(t.clubs[i]), float64(l.PerClub)}
		case key[0] == 'z' && l.PerZone > 0 && key != "z":
			near["per_zone "+key[1:]] = [2]float64{float64(t.zones[i]), float64(l.PerZone)}
		}
	}
	for name, x := range map[string][3]float64{"gateways": {l.Gateways, float64(t.gateways), float64(t.all[0])}, "boxes": {l.Boxes, float64(t.boxes), float64(t.all[1])},
		"hubs": {l.Hubs, float64(t.hubs), float64(t.all[2])}} {
		if x[0] > 0 {
			near[name] = [2]float64{x[1], x[0] * x[2]}
		}
	}
	for _, club := range b.clubs() {
		if peak := t.peak(t.index["c"+club], b.Now, b.Now); peak > 0 {
			near["reserve "+club] = [2]float64{peak * (1 + l.Reserve), t.carried[t.index["c"+club]]}
		}
	}
	return near
}

// Going are the gateways that are about to go, or have gone, for work.
func (b *Book) Going() (all []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Works)) {
		if m := b.Machine(name); m != nil && b.Works[name].Stage >= Granted && b.Works[name].Stage != Warming {
			all = append(all, m.Gateways...)
		}
	}
	return all
}
