package virtual

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"poppymill/internal/purges"
	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/report"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Guards against a rule being broken, and against outdated copies in answers, when all gateways lose contact with the consensus
// group at once; it also logs the load on the core from what they have to fetch again. Meanwhile no answer may
// come from a copy created more than the delay before it; the gateways themselves stop at three quarters of the delay. Runs with
// two clubs and, if POPPYMILL_TEST_MEASURE is set, also with nine clubs, 300 gateways and 90 caches.
func TestAllGatewaysLoseConsensus(t *testing.T) {
	sizes := [][4]int{{3, 10, 2, 60}}
	if os.Getenv("POPPYMILL_TEST_MEASURE") != "" {
		sizes = append(sizes, [4]int{300, 90, 9, 540})
	}
	for _, size := range sizes {
		for _, delay := range []float64{0, 5000, 20_000} {
			s, err := script.Load("../../../deploy/rehearsals/rolling-deploy.hcl")
			if err != nil {
				t.Fatal(err)
			}
			s.Events = nil
			s.Gateways, s.Box.Count, s.Hub.Count, s.Core.Capacity = size[0], size[1], size[2], float64(size[3])
			rate := 150.0
			if size[2] > 2 {
				s.Clubs, rate = nil, 855
				for i := range 9 {
					s.Clubs = append(s.Clubs, fmt.Sprint("c", i))
				}
			}
			const blindFrom, blindFor = 20_000.0, 40_000.0
			s.Phases = []script.Phase{{Name: "before", For: blindFrom, Rate: rate}, {Name: "blind", From: blindFrom, For: blindFor, Rate: rate}, {Name: "after", From: blindFrom + blindFor, For: 10_000, Rate: rate}}
			o := Options{PurgeLimits: purges.DefaultLimits()}
			if o.PurgeLimits.Delay = delay; delay > 0 {
				o.AgreedUntil = func(now float64) float64 {
					if now > blindFrom && now < blindFrom+blindFor {
						return blindFrom
					}
					return now
				}
			}
			count, audit, outdated, checked := report.New(s), auditor.New(s, 0), 0, 0
			o.Facts = func(f world.Fact) {
				audit.Observe(f)
				count.Observe(f)
				if f, is := f.(world.Answered); is && delay > 0 && f.At > blindFrom+delay && f.At < blindFrom+blindFor {
					if fields := strings.Fields(f.Copy); f.Status == 200 && !f.NotModified && len(fields) > 3 {
						if createdAt, err := strconv.ParseFloat(fields[3], 64); err == nil {
							if checked++; createdAt < f.At-delay {
								outdated++
							}
						}
					}
				}
			}
			if _, err := Run(s, o); err != nil {
				t.Fatal(err)
			}
			r := count.Report(audit)
			for _, p := range r.Figures.Phases {
				t.Logf("%d gateways, delay %.0f: %s: %.3f in time, %.3f hits, core %.1f a second, worst %d", size[0], delay, p.Name, float64(p.InTime)/float64(p.Asked),
					float64(p.Hits)/float64(max(1, p.Pulls)), float64(p.Core)/map[string]float64{"before": 20, "blind": 40, "after": 10}[p.Name], p.CorePeak)
			}
			if outdated > 0 || delay > 0 && checked < 500 {
				t.Errorf("delay %.0f: %d older copies of %d answered while all were blind", delay, outdated, checked)
			}
			for rule := range auditor.NumRules {
				if !audit.Holds(rule) {
					t.Errorf("delay %.0f: %v: %v", delay, rule, audit.Found[rule])
				}
			}
		}
	}
}
