package gateway

import (
	"poppymill/internal/maintenance"
	"poppymill/router"
)

// meter counts what the gateways judge machines by that go out for work and come back: what this one takes, and what edge caches held of
// what it asked them for. It belongs to the core's loop.
type meter struct {
	taken router.Ring
	fills router.Ring // pulls of what the edge cache did not hold
	boxes map[string]*held
	told  func(load maintenance.Load, fills float64)
	next  float64
}

type held struct{ pulls, held router.Ring }

// Of what is told: over how long, in ms, and how often.
const (
	meterSpan  = 10_000.0
	meterEvery = 1000.0
	fillSpan   = 2000.0 // of fills: a batch of purges waits for them
)

func newRing() router.Ring { return router.NewRing(meterSpan, 10) }

// Measure has somebody told once a second of what was measured; until then nothing is.
func (g *Core) Measure(told func(load maintenance.Load, fills float64)) {
	g.meter = &meter{taken: newRing(), fills: router.NewRing(fillSpan, 8), boxes: map[string]*held{}, told: told}
}

// take counts a download that was taken.
func (m *meter) take(now float64) {
	if m != nil {
		m.taken.Add(now, 1)
	}
}

// pulled counts a pull that brought a copy, where the answer tells whether the cache held it.
func (m *meter) pulled(now float64, node string, note router.Note) {
	if m == nil || note == router.NotTold {
		return
	}
	h := m.boxes[node]
	if h == nil {
		h = &held{newRing(), newRing()}
		m.boxes[node] = h
	}
	h.pulls.Add(now, 1)
	if note == router.Held || note == router.HeldOld {
		h.held.Add(now, 1)
	} else {
		m.fills.Add(now, 1)
	}
}

// watch tells when it is time, and forgets what nobody asks any more.
func (m *meter) watch(now float64) {
	if m == nil || now < m.next {
		return
	}
	m.next = now + meterEvery
	l := maintenance.Load{Rate: m.taken.Sum(now) / (meterSpan / 1000), Boxes: map[string]maintenance.Held{}}
	for name, h := range m.boxes {
		if n := h.pulls.Sum(now); n > 0 {
			l.Boxes[name] = maintenance.Held{Pulls: n, Held: h.held.Sum(now)}
		} else {
			delete(m.boxes, name)
		}
	}
	m.told(l, m.fills.Sum(now)/(fillSpan/1000))
}
