package maintenance

import (
	"maps"
	"slices"
)

// Degraded tells whether part of a machine is lost, or drained in the node list.
func (b *State) Degraded(name string) bool {
	m := b.Machine(name)
	return m != nil && b.isDegraded(m)
}

// InventoryMismatches lists members that are on no machine of the inventory, and gateways of the inventory that never announced
// themselves.
func (b *State) InventoryMismatches() (mismatches []string) {
	known := map[string]bool{}
	for _, m := range b.Inventory.Machines {
		for _, g := range m.Gateways {
			if known[g] = true; b.Gateways[g].Incarnation == 0 {
				mismatches = append(mismatches, g+": on machine "+m.Name+", and never announced itself")
			}
		}
	}
	for _, g := range slices.Sorted(maps.Keys(b.Gateways)) {
		if !known[g] && b.Gateways[g].Live {
			mismatches = append(mismatches, g+": announced itself, and stands on no machine")
		}
	}
	return mismatches
}

// LimitUsage returns, for each configured limit, how much of it is used and its size.
func (b *State) LimitUsage() map[string][2]float64 {
	counts, l, usage := b.countOutages(), b.Inventory.Limits, map[string][2]float64{}
	if l.MaxMachines > 0 {
		usage["most"] = [2]float64{float64(counts.machinesOut), float64(l.MaxMachines)}
	}
	for key, i := range counts.index {
		switch {
		case key[0] == 'c' && l.PerClub > 0:
			usage["per_club "+key[1:]] = [2]float64{float64(counts.outByClub[i]), float64(l.PerClub)}
		case key[0] == 'z' && l.PerZone > 0 && key != "z":
			usage["per_zone "+key[1:]] = [2]float64{float64(counts.outByZone[i]), float64(l.PerZone)}
		}
	}
	for name, values := range map[string][3]float64{"gateways": {l.Gateways, float64(counts.gatewaysOut), float64(counts.totals[0])}, "boxes": {l.Boxes, float64(counts.boxesOut), float64(counts.totals[1])},
		"hubs": {l.Hubs, float64(counts.hubsOut), float64(counts.totals[2])}} {
		if values[0] > 0 {
			usage[name] = [2]float64{values[1], values[0] * values[2]}
		}
	}
	for _, club := range b.clubs() {
		if peak := counts.peak(counts.index["c"+club], b.Now, b.Now); peak > 0 {
			usage["reserve "+club] = [2]float64{peak * (1 + l.Reserve), counts.capacity[counts.index["c"+club]]}
		}
	}
	return usage
}

// LeavingGateways returns the gateways on machines that are about to leave or are out for maintenance.
func (b *State) LeavingGateways() (gateways []string) {
	for _, name := range slices.Sorted(maps.Keys(b.Windows)) {
		if m := b.Machine(name); m != nil && b.Windows[name].Stage >= Granted && b.Windows[name].Stage != Warming {
			gateways = append(gateways, m.Gateways...)
		}
	}
	return gateways
}
