package maintenance

import (
	"fmt"
	"math"
	"slices"
)

// outages counts everything that is out, so that each further machine can be checked against the limits in constant time.
type outages struct {
	b                              *State
	machinesOut                    int
	names                          []string       // of clubs and zones; the slices by club and by zone have the same indices
	index                          map[string]int // into names, by "c"+club or "z"+zone
	outByClub, outByZone           []int
	gatewaysOut, boxesOut, hubsOut int
	totals                         [3]int        // gateways, edge caches and hubs of the inventory
	liveGateways                   []int         // by club: gateways that are not out
	capacity                       []float64     // by club: capacity of the machines that are not out
	clubPeaks                      [][24]float64 // by club and hour of the day (UTC)
}

// placement holds the indices under which a machine is counted.
type placement struct{ club, zone int }

// place returns the indices of a machine's club and zone.
func (o *outages) place(m *Machine) placement {
	return placement{o.index["c"+m.Club], o.index["z"+m.Zone]}
}

// isOut tells whether a machine counts as out: it has been granted and is not back in service yet, or part of it is lost or drained.
func (b *State) isOut(m *Machine) bool {
	if w := b.Windows[m.Name]; w != nil && w.Stage >= Granted {
		return true
	}
	return b.isDegraded(m)
}

// isDegraded tells whether part of a machine is lost, or drained in the node list.
func (b *State) isDegraded(m *Machine) bool {
	for _, g := range m.Gateways {
		if gateway, known := b.Gateways[g]; known && !gateway.Live {
			return true
		}
	}
	return slices.ContainsFunc(m.Boxes, b.isLost) || slices.ContainsFunc(m.Hubs, b.isLost)
}

// isLost tells whether an edge cache or hub is missing from or drained in the node list.
func (b *State) isLost(name string) bool { return b.Lost[name] }

// countOutages counts everything that is out now.
func (b *State) countOutages() *outages {
	o := &outages{b: b, index: map[string]int{}}
	for i := range b.Inventory.Machines {
		m := &b.Inventory.Machines[i]
		for _, key := range []string{"c" + m.Club, "z" + m.Zone} {
			if _, known := o.index[key]; !known {
				o.index[key] = len(o.names)
				o.names = append(o.names, key[1:])
			}
		}
	}
	n := len(o.names)
	o.clubPeaks = make([][24]float64, n)
	o.outByClub, o.outByZone, o.liveGateways, o.capacity = make([]int, n), make([]int, n), make([]int, n), make([]float64, n)
	for i := range b.Inventory.Machines {
		m := &b.Inventory.Machines[i]
		c := o.place(m).club
		o.totals[0] += len(m.Gateways)
		o.totals[1] += len(m.Boxes)
		o.totals[2] += len(m.Hubs)
		o.liveGateways[c] += len(m.Gateways)
		o.capacity[c] += m.Capacity
		for _, g := range m.Gateways {
			for h, p := range b.MeasuredPeaks[g] {
				o.clubPeaks[c][h] += p
			}
		}
	}
	for club, hours := range b.Peaks {
		if c, known := o.index["c"+club]; known {
			for h, p := range hours {
				if p > 0 {
					o.clubPeaks[c][h] = p // a peak set by an operator overrides the measured one
				}
			}
		}
	}
	for i := range b.Inventory.Machines {
		if m := &b.Inventory.Machines[i]; b.isOut(m) {
			o.add(m, o.place(m), 1)
		}
	}
	return o
}

// hourMillis is the number of milliseconds in an hour.
const hourMillis = 3_600_000.0

// peak returns a club's highest peak in the hours of the day between two times.
func (o *outages) peak(club int, from, until float64) (highest float64) {
	first := math.Floor(from / hourMillis)
	for h := first; h <= min(math.Floor(until/hourMillis), first+23); h++ {
		highest = max(highest, o.clubPeaks[club][int(math.Mod(h, 24))])
	}
	return highest
}

// add counts a machine as out (by 1) or as back in service (by -1).
func (o *outages) add(m *Machine, at placement, by int) {
	o.machinesOut += by
	o.outByClub[at.club] += by
	o.outByZone[at.zone] += by
	o.gatewaysOut += by * len(m.Gateways)
	o.boxesOut += by * len(m.Boxes)
	o.hubsOut += by * len(m.Hubs)
	o.liveGateways[at.club] -= by * len(m.Gateways)
	o.capacity[at.club] -= float64(by) * m.Capacity
}

// limit identifies a limit that can keep a machine from leaving.
type limit int

// The limits.

const (
	noLimit limit = iota
	limitTotal
	limitPerClub
	limitPerZone
	limitGateways
	limitBoxes
	limitHubs
	limitLastHubs
	limitLastGateways
	limitReserve
	limitDegraded // part of the machine is lost or drained
	limitExceeded // a loss has already exceeded a limit
)

// firstLimit returns the first limit that a machine would exceed if it were out as well, or noLimit.
func (o *outages) firstLimit(m *Machine, at placement, peak float64) limit {
	l := &o.b.Inventory.Limits
	switch {
	case l.MaxMachines > 0 && o.machinesOut+1 > l.MaxMachines:
		return limitTotal
	case l.PerClub > 0 && o.outByClub[at.club]+1 > l.PerClub:
		return limitPerClub
	case l.PerZone > 0 && m.Zone != "" && o.outByZone[at.zone]+1 > l.PerZone:
		return limitPerZone
	case exceedsShare(l.Gateways, o.gatewaysOut+len(m.Gateways), o.totals[0]) && len(m.Gateways) > 0:
		return limitGateways
	case exceedsShare(l.Boxes, o.boxesOut+len(m.Boxes), o.totals[1]) && len(m.Boxes) > 0:
		return limitBoxes
	case exceedsShare(l.Hubs, o.hubsOut+len(m.Hubs), o.totals[2]) && len(m.Hubs) > 0:
		return limitHubs
	case len(m.Hubs) > 0 && o.hubsOut+len(m.Hubs) >= o.totals[2]:
		return limitLastHubs
	case len(m.Gateways) > 0 && o.liveGateways[at.club] <= len(m.Gateways):
		return limitLastGateways
	case m.Capacity > 0 && o.capacity[at.club]-m.Capacity < peak*(1+l.Reserve):
		return limitReserve
	}
	return noLimit
}

// describe formats a limit and its current use.
func (o *outages) describe(reached limit, m *Machine, at placement, peak float64) string {
	l := &o.b.Inventory.Limits
	switch reached {
	case noLimit:
		return ""
	case limitTotal:
		return fmt.Sprintf("most: %d of %d are out", o.machinesOut, l.MaxMachines)
	case limitPerClub:
		return fmt.Sprintf("per_club: %d of %d are out at %s", o.outByClub[at.club], l.PerClub, m.Club)
	case limitPerZone:
		return fmt.Sprintf("per_zone: %d of %d are out in %s", o.outByZone[at.zone], l.PerZone, m.Zone)
	case limitGateways:
		return fmt.Sprintf("gateways: %d of %d are out", o.gatewaysOut, o.totals[0])
	case limitBoxes:
		return fmt.Sprintf("boxes: %d of %d are out", o.boxesOut, o.totals[1])
	case limitHubs:
		return fmt.Sprintf("hubs: %d of %d are out", o.hubsOut, o.totals[2])
	case limitLastHubs:
		return "hubs: the last ones that boxes can fill from"
	case limitLastGateways:
		return "gateways: the last ones of " + m.Club
	case limitReserve:
		return fmt.Sprintf("reserve: what is left at %s carries %.4g of a peak of %.4g with %.4g more", m.Club, o.capacity[at.club]-m.Capacity, peak, l.Reserve)
	case limitDegraded:
		return "something on it is lost or drained"
	}
	return o.exceeded()
}

// blockedBy returns the limit that forbids a machine to be out as well between two times, or "".
func (o *outages) blockedBy(m *Machine, from, until float64) string {
	at := o.place(m)
	peak := o.peak(at.club, from, until)
	return o.describe(o.firstLimit(m, at, peak), m, at, peak)
}

// exceedsShare tells whether more than a share of all nodes would be out. The margin of 1e-9 absorbs rounding errors.
func exceedsShare(share float64, out, all int) bool {
	return share > 0 && float64(out) > share*float64(all)+1e-9
}

// exceeded returns a limit that the current outages exceed, as they can after a loss, or "".
func (o *outages) exceeded() string {
	l := o.b.Inventory.Limits
	if l.MaxMachines > 0 && o.machinesOut > l.MaxMachines {
		return fmt.Sprintf("most: %d of %d are out", o.machinesOut, l.MaxMachines)
	}
	for i, n := range o.outByClub {
		if l.PerClub > 0 && n > l.PerClub {
			return fmt.Sprintf("per_club: %d of %d are out at %s", n, l.PerClub, o.names[i])
		}
	}
	for i, n := range o.outByZone {
		if l.PerZone > 0 && o.names[i] != "" && n > l.PerZone {
			return fmt.Sprintf("per_zone: %d of %d are out in %s", n, l.PerZone, o.names[i])
		}
	}
	for i, share := range []struct {
		name string
		most float64
		out  int
	}{{"gateways", l.Gateways, o.gatewaysOut}, {"boxes", l.Boxes, o.boxesOut}, {"hubs", l.Hubs, o.hubsOut}} {
		if exceedsShare(share.most, share.out, o.totals[i]) {
			return fmt.Sprintf("%s: %d of %d are out", share.name, share.out, o.totals[i])
		}
	}
	return ""
}

// majorityAtRisk checks the voters on a machine: without them, losing one more voter must still leave a majority. It returns the reason
// why the machine must not leave, or "".
func (b *State) majorityAtRisk(m *Machine) string {
	own, remaining := 0, 0
	for _, v := range b.Voters {
		switch gateway := b.Gateways[v]; {
		case slices.Contains(m.Gateways, v):
			own++
		case gateway.Live:
			remaining++
		}
	}
	if n := len(b.Voters); own > 0 && remaining-1 < n/2+1 {
		return fmt.Sprintf("votes: %d of %d voters would be left, and one more loss would leave no majority", remaining, n)
	}
	return ""
}
