package maintenance

import (
	"fmt"
	"math"
	"slices"
)

// tally counts what is out, so that a further machine is checked at once.
type tally struct {
	b                     *Book
	out                   int
	names                 []string // of clubs, then of zones
	index                 map[string]int
	clubs, zones          []int
	gateways, boxes, hubs int       // that are out
	all                   [3]int    // of all gateways, boxes, hubs
	near                  []int     // gateways of each club that are there
	carried               []float64 // by each club
	peaks                 [][24]float64
}

// spot is where a machine counts.
type spot struct{ club, zone int }

func (t *tally) spot(m *Machine) spot { return spot{t.index["c"+m.Club], t.index["z"+m.Zone]} }

// gone tells whether a machine counts as out, or part of it is.
func (b *Book) gone(m *Machine) bool {
	if w := b.Works[m.Name]; w != nil && w.Stage >= Granted {
		return true
	}
	return b.hurt(m)
}

// hurt tells whether something that stands on a machine is gone unplanned, or drained by the list.
func (b *Book) hurt(m *Machine) bool {
	for _, g := range m.Gateways {
		if w, known := b.Gateways[g]; known && !w.There {
			return true
		}
	}
	return slices.ContainsFunc(m.Boxes, b.isLost) || slices.ContainsFunc(m.Hubs, b.isLost)
}

func (b *Book) isLost(name string) bool { return b.Lost[name] }

// tally counts all that is out.
func (b *Book) tally() *tally {
	t := &tally{b: b, index: map[string]int{}}
	for i := range b.Inventory.Machines {
		m := &b.Inventory.Machines[i]
		for _, key := range []string{"c" + m.Club, "z" + m.Zone} {
			if _, known := t.index[key]; !known {
				t.index[key] = len(t.names)
				t.names = append(t.names, key[1:])
			}
		}
	}
	n := len(t.names)
	t.peaks = make([][24]float64, n)
	t.clubs, t.zones, t.near, t.carried = make([]int, n), make([]int, n), make([]int, n), make([]float64, n)
	for i := range b.Inventory.Machines {
		m := &b.Inventory.Machines[i]
		c := t.spot(m).club
		t.all[0] += len(m.Gateways)
		t.all[1] += len(m.Boxes)
		t.all[2] += len(m.Hubs)
		t.near[c] += len(m.Gateways)
		t.carried[c] += m.Carries
		for _, g := range m.Gateways {
			for h, p := range b.Measured[g] {
				t.peaks[c][h] += p
			}
		}
	}
	for club, hours := range b.Peaks {
		if c, known := t.index["c"+club]; known {
			for h, p := range hours {
				if p > 0 {
					t.peaks[c][h] = p // an operator's word goes before what was measured
				}
			}
		}
	}
	for i := range b.Inventory.Machines {
		if m := &b.Inventory.Machines[i]; b.gone(m) {
			t.add(m, t.spot(m), 1)
		}
	}
	return t
}

// hour in ms.
const hour = 3_600_000.0

// peak is the highest of a club's in the hours between two times.
func (t *tally) peak(club int, from, until float64) (most float64) {
	first := math.Floor(from / hour)
	for h := first; h <= min(math.Floor(until/hour), first+23); h++ {
		most = max(most, t.peaks[club][int(math.Mod(h, 24))])
	}
	return most
}

// add counts a machine as out, or with -1 as back.
func (t *tally) add(m *Machine, at spot, by int) {
	t.out += by
	t.clubs[at.club] += by
	t.zones[at.zone] += by
	t.gateways += by * len(m.Gateways)
	t.boxes += by * len(m.Boxes)
	t.hubs += by * len(m.Hubs)
	t.near[at.club] -= by * len(m.Gateways)
	t.carried[at.club] -= float64(by) * m.Carries
}

// limit is one of those that a machine may meet.
type limit int

const (
	free limit = iota
	most
	perClub
	perZone
	gateways
	boxes
	hubs
	lastHubs
	lastGateways
	reserve
	hurts
	passes
)

// check finds the limit that keeps a machine from being out beside what is.
func (t *tally) check(m *Machine, at spot, peak float64) limit {
	l := &t.b.Inventory.Limits
	switch {
	case l.Most > 0 && t.out+1 > l.Most:
		return most
	case l.PerClub > 0 && t.clubs[at.club]+1 > l.PerClub:
		return perClub
	case l.PerZone > 0 && m.Zone != "" && t.zones[at.zone]+1 > l.PerZone:
		return perZone
	case over(l.Gateways, t.gateways+len(m.Gateways), t.all[0]) && len(m.Gateways) > 0:
		return gateways
	case over(l.Boxes, t.boxes+len(m.Boxes), t.all[1]) && len(m.Boxes) > 0:
		return boxes
	case over(l.Hubs, t.hubs+len(m.Hubs), t.all[2]) && len(m.Hubs) > 0:
		return hubs
	case len(m.Hubs) > 0 && t.hubs+len(m.Hubs) >= t.all[2]:
		return lastHubs
	case len(m.Gateways) > 0 && t.near[at.club] <= len(m.Gateways):
		return lastGateways
	case m.Carries > 0 && t.carried[at.club]-m.Carries < peak*(1+l.Reserve):
		return reserve
	}
	return free
}

// words name a limit as it stands.
func (t *tally) words(x limit, m *Machine, at spot, peak float64) string {
	l := &t.b.Inventory.Limits
	switch x {
	case free:
		return ""
	case most:
		return fmt.Sprintf("most: %d of %d are out", t.out, l.Most)
	case perClub:
		return fmt.Sprintf("per_club: %d of %d are out at %s", t.clubs[at.club], l.PerClub, m.Club)
	case perZone:
		return fmt.Sprintf("per_zone: %d of %d are out in %s", t.zones[at.zone], l.PerZone, m.Zone)
	case gateways:
		return fmt.Sprintf("gateways: %d of %d are out", t.gateways, t.all[0])
	case boxes:
		return fmt.Sprintf("boxes: %d of %d are out", t.boxes, t.all[1])
	case hubs:
		return fmt.Sprintf("hubs: %d of %d are out", t.hubs, t.all[2])
	case lastHubs:
		return "hubs: the last ones that boxes can fill from"
	case lastGateways:
		return "gateways: the last ones of " + m.Club
	case reserve:
		return fmt.Sprintf("reserve: what is left at %s carries %.4g of a peak of %.4g with %.4g more", m.Club, t.carried[at.club]-m.Carries, peak, l.Reserve)
	case hurts:
		return "something on it is lost or drained"
	}
	return t.passed()
}

// fits tells whether a machine may be out beside what is, between two times; else the limit that prevents it.
func (t *tally) fits(m *Machine, from, until float64) string {
	at := t.spot(m)
	peak := t.peak(at.club, from, until)
	return t.words(t.check(m, at, peak), m, at, peak)
}

func over(share float64, out, all int) bool {
	return share > 0 && float64(out) > share*float64(all)+1e-9
}

// passed tells whether more is out than may be, as after a loss, and which limit says so.
func (t *tally) passed() string {
	l := t.b.Inventory.Limits
	if l.Most > 0 && t.out > l.Most {
		return fmt.Sprintf("most: %d of %d are out", t.out, l.Most)
	}
	for i, n := range t.clubs {
		if l.PerClub > 0 && n > l.PerClub {
			return fmt.Sprintf("per_club: %d of %d are out at %s", n, l.PerClub, t.names[i])
		}
	}
	for i, n := range t.zones {
		if l.PerZone > 0 && t.names[i] != "" && n > l.PerZone {
			return fmt.Sprintf("per_zone: %d of %d are out in %s", n, l.PerZone, t.names[i])
		}
	}
	for i, x := range []struct {
		name  string
		share float64
		out   int
	}{{"gateways", l.Gateways, t.gateways}, {"boxes", l.Boxes, t.boxes}, {"hubs", l.Hubs, t.hubs}} {
		if over(x.share, x.out, t.all[i]) {
			return fmt.Sprintf("%s: %d of %d are out", x.name, x.out, t.all[i])
		}
	}
	return ""
}

// votes tells whether a machine may go by what its gateways vote: without them the next single loss must still leave a majority.
func (b *Book) votes(m *Machine) string {
	mine, left := 0, 0
	for _, v := range b.Voters {
		switch w := b.Gateways[v]; {
		case slices.Contains(m.Gateways, v):
			mine++
		case w.There:
			left++
		}
	}
	if n := len(b.Voters); mine > 0 && left-1 < n/2+1 {
		return fmt.Sprintf("votes: %d of %d voters would be left, and one more loss would leave no majority", left, n)
	}
	return ""
}
