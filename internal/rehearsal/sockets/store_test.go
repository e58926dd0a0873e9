package sockets

import (
	"os/exec"
	"testing"

	"poppymill/internal/owner"
	"poppymill/internal/quorum"
	"poppymill/internal/rehearsal/script"
)

// An old copy of a voter's store is put back: it finds out from the others before it votes, joins as somebody else, and its vote goes
// to another. A leader whose disk takes nothing more leads no longer, says so and goes on serving; started anew it votes again. Work
// goes on over both.
func TestStorePutBackAndDiskFull(t *testing.T) {
	agree(t, func(s *script.Script) { s.Quorum.Replace = 1500 }, func(c *council) {
		before := c.until("all level", c.level)
		l := leader(before)
		back := (l + 1) % 3
		c.start("work", owner.Unsafe, 400, 4, 2)
		c.happen(script.Event{Do: "copy", Name: c.names[back]})
		c.untilJob("work", "further than the copy", func(j owner.Report) bool { return j.Done > 20 })
		c.happen(script.Event{Do: "kill", Name: c.names[back], For: 200, Disk: "old"})
		after := c.until("it joins as somebody else, and three vote", func(all []*quorum.Report) bool {
			r := all[back]
			return r != nil && r.Identity != before[back].Identity && r.Incarnation > before[back].Incarnation && votes(all, 3)
		})
		for _, r := range after {
			if r != nil && r.Cluster != before[0].Cluster {
				t.Errorf("%s belongs to fleet %x in place of %x", r.Name, r.Cluster, before[0].Cluster)
			}
		}
		full := leader(c.until("a leader", func(all []*quorum.Report) bool { return leader(all) >= 0 }))
		c.happen(script.Event{Do: "fill_disk", Name: c.names[full], For: 60_000})
		c.start("more", owner.Unsafe, 40, 4, 2)
		c.until("its disk is full, and another leads", func(all []*quorum.Report) bool {
			return all[full] != nil && all[full].Role == "broken" && leader(all) >= 0
		})
		c.happen(script.Event{Do: "kill", Name: c.names[full], For: 100})
		c.until("all level after a new start", c.level)
		c.done(c.finish("work"), "work", 400, true)
		c.done(c.finish("more"), "more", 40, true)
	})
}

// Two of three voters are lost for good, with their disks. Of the third's store an operator makes a fleet: all others join it, votes
// grow back to three, and the job goes on under a token above all that were given out.
func TestMajorityLostForGood(t *testing.T) {
	agree(t, nil, func(c *council) {
		before := c.until("all level", c.level)
		rest := leader(before)
		c.start("work", owner.Unsafe, 2000, 4, 2)
		job := c.untilJob("work", "begun", func(j owner.Report) bool { return j.Done > 10 && j.Token > 0 })
		for i := range 3 {
			if i != rest {
				c.happen(script.Event{Do: "kill", Name: c.names[i], For: 3_600_000, Disk: "lost"})
			}
		}
		c.until("nobody leads", func(all []*quorum.Report) bool { return all[rest] != nil && leader(all) < 0 })
		c.happen(script.Event{Do: "kill", Name: c.names[rest], For: 3_600_000})
		c.wait("it has ended", func() bool { return c.stage.Gone(rest) })
		out, err := exec.Command(armed, "quorum", "recover", "--yes", c.stage.gateways[rest].store()).CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		c.happen(script.Event{Do: "start", Name: c.names[rest]})
		c.until("those that are left agree again", func(all []*quorum.Report) bool {
			here := 0
			for _, r := range all {
				if r != nil && r.Incarnation > 0 && r.Leader == c.names[rest] && r.Cluster != before[0].Cluster {
					here++
				}
			}
			return here == 3
		})
		for i := range 3 {
			if i != rest {
				c.happen(script.Event{Do: "start", Name: c.names[i]})
			}
		}
		c.until("all level, and three vote", func(all []*quorum.Report) bool { return c.level(all) && votes(all, 3) })
		next := c.untilJob("work", "granted again", func(j owner.Report) bool { return j.Token > job.Token })
		if next.Token < 1<<32 {
			t.Errorf("token %d after %d: it did not leap", next.Token, job.Token)
		}
		c.done(c.finish("work"), "work", 2000, true)
	})
}
