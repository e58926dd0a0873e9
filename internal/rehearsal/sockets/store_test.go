package sockets

import (
	"os/exec"
	"testing"

	"poppymill/internal/owner"
	"poppymill/internal/quorum"
	"poppymill/internal/rehearsal/script"
)

// A voter restarts with an old copy of its store: it must detect that from the others before it votes, rejoin under a new identity,
// and be replaced as a voter. A leader whose disk is full steps down, reports it and keeps serving; after a restart it votes again.
// Jobs continue across both.
func TestStoreRestoredAndDiskFull(t *testing.T) {
	runCluster(t, func(s *script.Script) { s.Quorum.Replace = 1500 }, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		l := leader(before)
		back := (l + 1) % 3
		c.startDrill("work", owner.Unsafe, 400, 4, 2)
		c.inject(script.Event{Kind: "copy", Name: c.names[back]})
		c.waitForJob("work", "further than the copied state", func(j owner.Report) bool { return j.Done > 20 })
		c.inject(script.Event{Kind: "kill", Name: c.names[back], Duration: 200, Disk: "old"})
		after := c.waitForReports("it rejoins under a new identity, and there are three voters", func(all []*quorum.Report) bool {
			r := all[back]
			return r != nil && r.Identity != before[back].Identity && r.Incarnation > before[back].Incarnation && hasVoters(all, 3)
		})
		for _, r := range after {
			if r != nil && r.Cluster != before[0].Cluster {
				t.Errorf("%s belongs to cluster %x instead of %x", r.Name, r.Cluster, before[0].Cluster)
			}
		}
		full := leader(c.waitForReports("a leader", func(all []*quorum.Report) bool { return leader(all) >= 0 }))
		c.inject(script.Event{Kind: "fill_disk", Name: c.names[full], Duration: 60_000})
		c.startDrill("more", owner.Unsafe, 40, 4, 2)
		c.waitForReports("it reports its full disk, and another gateway leads", func(all []*quorum.Report) bool {
			return all[full] != nil && all[full].Role == "broken" && leader(all) >= 0
		})
		c.inject(script.Event{Kind: "kill", Name: c.names[full], Duration: 100})
		c.waitForReports("all converged after its restart", c.converged)
		c.checkSteps(c.finishJob("work"), "work", 400, true)
		c.checkSteps(c.finishJob("more"), "more", 40, true)
	})
}

// Two of three voters are lost for good with their disks. An operator recovers a new cluster from the third one's store: all others
// join it, it grows back to three voters, and the job continues under a token above all that were granted before.
func TestMajorityLostForGood(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		rest := leader(before)
		c.startDrill("work", owner.Unsafe, 2000, 4, 2)
		job := c.waitForJob("work", "begun", func(j owner.Report) bool { return j.Done > 10 && j.Token > 0 })
		for i := range 3 {
			if i != rest {
				c.inject(script.Event{Kind: "kill", Name: c.names[i], Duration: 3_600_000, Disk: "lost"})
			}
		}
		c.waitForReports("there is no leader", func(all []*quorum.Report) bool { return all[rest] != nil && leader(all) < 0 })
		c.inject(script.Event{Kind: "kill", Name: c.names[rest], Duration: 3_600_000})
		c.waitFor("its process has exited", func() bool { return c.stage.ProcessExited(rest) })
		out, err := exec.Command(debugBinary, "quorum", "recover", "--yes", c.stage.gateways[rest].storePath()).CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		c.inject(script.Event{Kind: "start", Name: c.names[rest]})
		c.waitForReports("the remaining gateways have joined the new cluster", func(all []*quorum.Report) bool {
			joined := 0
			for _, r := range all {
				if r != nil && r.Incarnation > 0 && r.Leader == c.names[rest] && r.Cluster != before[0].Cluster {
					joined++
				}
			}
			return joined == 3
		})
		for i := range 3 {
			if i != rest {
				c.inject(script.Event{Kind: "start", Name: c.names[i]})
			}
		}
		c.waitForReports("all converged, and there are three voters", func(all []*quorum.Report) bool { return c.converged(all) && hasVoters(all, 3) })
		next := c.waitForJob("work", "granted again", func(j owner.Report) bool { return j.Token > job.Token })
		if next.Token < 1<<32 {
			t.Errorf("token %d after %d: it did not jump above all earlier ones", next.Token, job.Token)
		}
		c.checkSteps(c.finishJob("work"), "work", 2000, true)
	})
}
