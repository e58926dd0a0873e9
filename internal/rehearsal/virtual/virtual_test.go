package virtual

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"poppymill/internal/assert"
	"poppymill/internal/channel"
	"poppymill/internal/links"
	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/report"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
	"poppymill/router"
)

// runScript plays a script and returns its report, auditor and stats.
func runScript(t *testing.T, s *script.Script, faults Faults) (*report.Report, *auditor.Auditor, Stats) {
	t.Helper()
	count, audit := report.New(s), auditor.New(s, 0)
	stats, err := Run(s, Options{Faults: faults, Facts: func(f world.Fact) {
		audit.Observe(f)
		count.Observe(f)
	}})
	if err != nil {
		t.Fatal(err)
	}
	return count.Report(audit), audit, stats
}

// Checks that the shipped scripts hold, and that the same script and seed give a byte-identical report.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/rehearsals/*.hcl")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			t.Parallel()
			var texts [2]bytes.Buffer
			for i := range texts {
				s, err := script.Load(f)
				if err != nil {
					t.Fatal(err)
				}
				if s.Quorum.On { // scripts with a consensus group need package sockets, and Run must reject them
					if _, err := Run(s, Options{}); err == nil {
						t.Error("played in virtual time")
					}
					return
				}
				r, _, stats := runScript(t, s, Faults{})
				if err := r.JSON(&texts[i]); err != nil {
					t.Fatal(err)
				}
				if stats.Drifts+stats.Overdue+stats.Panics != 0 || stats.Downloads == 0 {
					t.Errorf("%+v", stats)
				}
				if !r.Outcome.Holds {
					r.Print(&texts[i])
					t.Fatal(texts[i].String())
				}
			}
			if !bytes.Equal(texts[0].Bytes(), texts[1].Bytes()) {
				t.Error("two plays differ")
			}
		})
	}
	if n := assert.Broken(); n != 0 {
		t.Errorf("%d asserts broken", n)
	}
}

// smallScript exercises all rules within a few seconds.
const smallScript = `
about = "all that the rules speak of, in eight seconds"
deployment {
  clubs = ["a", "b"]
  gateways = 3
  box {
    count = 6
    held  = 0.6
    errors = 0.002
  }
  hub {
    held = 0.6
    cold_share = 0.02
    cold_for = "60s"
    cores_from = 8
    cores_to = 8
  }
}
type "parts" {
  share = 0.8
  work = "120ms"
  target = "600ms"
  expiry = "3s"
  objects = 60
  parts = 3
  gap = "200ms"
}
type "renewal" {
  share = 0.2
  work = "20ms"
  target = "800ms"
  expiry = "3s"
  repeat = "non-retriable"
  write = true
}
links {
  life = "4s"
  doubled = 0.5
  boxes = "5s"
}
event "forge" {
  at = "1s"
  for = "4s"
  factor = 0.2
}
phase "all" {
  for = "8s"
  rate = 150
}
event "drain" {
  at = "2s"
  for = "4s"
  count = 2
}
event "purge" {
  at = "3s"
  groups = 150
}
event "lose" {
  at = "1s"
  for = "5s"
  share = 0.2
  on = "core"
}
event "replace" {
  at = "1500ms"
  on = "hub"
}
event "kill" {
  at = "4500ms"
  on = "gateway"
}
`

// Checks each of the auditor's rules: with one fault injected into the gateways the auditor reports that rule and no other, with
// the download, gateway and time of it; without a fault it reports nothing.
func TestAuditorFindsInjectedFaults(t *testing.T) {
	n := 0
	everyNth := func(k int) bool { n++; return n%k == 0 }
	for _, c := range []struct {
		name   string
		rule   auditor.Rule
		faults Faults
	}{
		{"nothing", auditor.NumRules, Faults{}},
		{"answers twice", auditor.OneAnswer, Faults{Answers: func(a world.Answer) []world.Answer {
			if everyNth(50) {
				return []world.Answer{a, a}
			}
			return []world.Answer{a}
		}}},
		{"forgets one", auditor.OneAnswer, Faults{Answers: func(a world.Answer) []world.Answer {
			if everyNth(50) {
				return nil
			}
			return []world.Answer{a}
		}}},
		{"answers what it was not asked", auditor.OneAnswer, Faults{Answers: func(a world.Answer) []world.Answer {
			if everyNth(50) && a.Copy != "" {
				a.Copy = "0000000000000000" + a.Copy[16:]
			}
			return []world.Answer{a}
		}}},
		{"takes what may have run for what did not", auditor.NoDuplicateEffect, Faults{Reply: func(r world.Reply) world.Reply {
			if r.Word == "BROKE" {
				r.Word = "WAIT"
			}
			return r
		}}},
		{"ignores a drain", auditor.Drains, Faults{News: func(n channel.Event) bool {
			return !slices.ContainsFunc(n.Nodes, func(n channel.Node) bool { return n.State == router.Draining })
		}}},
		{"ignores a purge", auditor.Purges, Faults{News: func(n channel.Event) bool { return !n.Purge }}},
		{"floods a cold hub", auditor.ColdOverload, Faults{Settings: func(s map[string]any) {
			extra := s["extra"].(map[string]any)
			extra["parent_cold_from"], extra["upper_cold"] = 1.0, 0.0
		}}},
		{"lets all links in", auditor.Links, Faults{Links: func(*links.Settings) bool { return false }}},
		{"spends what is another's to spend", auditor.Links, Faults{Links: func(s *links.Settings) bool {
			s.Audience = append(s.Audience, "gateway-a-a", "gateway-b-b", "gateway-c-a")
			return true
		}}},
		{"signs nothing for boxes", auditor.Links, Faults{Links: func(s *links.Settings) bool { s.NodeLinkLifetime = 0; return true }}},
		{"ends by itself", auditor.NoCrash, Faults{Crash: func(g int, now float64) bool { return g == 1 && now > 3000 && now < 3200 }}},
	} {
		n = 0
		s, err := script.Parse([]byte(smallScript), "small.hcl")
		if err != nil {
			t.Fatal(err)
		}
		_, audit, _ := runScript(t, s, c.faults)
		for r := range auditor.NumRules {
			if found := audit.Counts[r] > 0; found != (r == c.rule) {
				t.Errorf("%s: %d findings on %v: %v", c.name, audit.Counts[r], r, audit.Found[r][:min(2, len(audit.Found[r]))])
			}
		}
		if c.rule < auditor.NumRules && len(audit.Found[c.rule]) > 0 {
			f := audit.Found[c.rule][0]
			placed := f.At > 0 && f.What != "" && (c.rule == auditor.ColdOverload && f.Box != "" || c.rule == auditor.NoCrash && f.Gateway == 1 || f.ID != "" && f.Gateway >= 0)
			if !placed || !strings.Contains(fmt.Sprint(f), "ms") {
				t.Errorf("%s: a finding that names too little: %v", c.name, f)
			}
		}
	}
}
