package gateway

import (
	"poppymill/internal/maintenance"
	"poppymill/router"
)

// loadMeter measures what maintenance decisions are based on: the rate of downloads at this gateway and the hit ratio
// of each edge cache. The core's goroutine owns it.
type loadMeter struct {
	taken      router.Ring
	fills      router.Ring // pulls that the edge cache did not hold a copy for
	edges      map[string]*hitCounter
	report     func(load maintenance.Load, fills float64)
	nextReport float64
}

// hitCounter counts the pulls of copies from an edge cache, and its hits.
type hitCounter struct{ pulls, hits router.Ring }

// Windows of the measurements and the interval of the reports, in ms.
const (
	loadWindow         = 10_000.0
	loadReportInterval = 1000.0
	fillWindow         = 2000.0 // short, as batches of purges wait for the rate of fills
)

func newLoadWindow() router.Ring { return router.NewRing(loadWindow, 10) }

// Measure starts the measurements and registers a function that is called with them once a second.
func (g *Core) Measure(report func(load maintenance.Load, fills float64)) {
	g.meter = &loadMeter{taken: newLoadWindow(), fills: router.NewRing(fillWindow, 8), edges: map[string]*hitCounter{},
		report: report}
}

// addDownload counts an accepted download.
func (m *loadMeter) addDownload(now float64) {
	if m != nil {
		m.taken.Add(now, 1)
	}
}

// addPull counts a pull that returned a copy, if the answer tells whether the cache held it.
func (m *loadMeter) addPull(now float64, node string, note router.AnswerSource) {
	if m == nil || note == router.SourceUnknown {
		return
	}
	edge := m.edges[node]
	if edge == nil {
		edge = &hitCounter{newLoadWindow(), newLoadWindow()}
		m.edges[node] = edge
	}
	edge.pulls.Add(now, 1)
	if note == router.Hit || note == router.StaleHit {
		edge.hits.Add(now, 1)
	} else {
		m.fills.Add(now, 1)
	}
}

// reportIfDue reports the measurements if it is time, and drops edge caches without recent pulls.
func (m *loadMeter) reportIfDue(now float64) {
	if m == nil || now < m.nextReport {
		return
	}
	m.nextReport = now + loadReportInterval
	load := maintenance.Load{Rate: m.taken.Sum(now) / (loadWindow / 1000), Boxes: map[string]maintenance.PullCounts{}}
	for name, edge := range m.edges {
		if pulls := edge.pulls.Sum(now); pulls > 0 {
			load.Boxes[name] = maintenance.PullCounts{Pulls: pulls, Hits: edge.hits.Sum(now)}
		} else {
			delete(m.edges, name)
		}
	}
	m.report(load, m.fills.Sum(now)/(fillWindow/1000))
}
