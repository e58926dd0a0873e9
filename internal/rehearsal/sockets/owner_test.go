package sockets

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/owner/effectlog"
	"poppymill/internal/prng"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// commit submits an operator's command on owned work, retrying on all gateways except those excluded, until it is committed.
func (c *cluster) commit(kind string, content any, excluded ...int) {
	c.t.Helper()
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		if n := i % len(c.names); !slices.Contains(excluded, n) {
			if c.submit(n, kind, content) {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("not committed: %s %+v%s", kind, content, c.currentReports())
}

// submit submits a command on owned work to one gateway and reports whether it was committed.
func (c *cluster) submit(gateway int, kind string, content any) bool {
	command := &quorum.Command{StateMachine: ownerdriver.StateMachineName, Kind: kind, Data: codec.Encode(content)}
	r, err := c.stage.Call(gateway, quorumdriver.Query{Command: command}, 2*time.Second)
	return err == nil && r.Error == ""
}

// startDrill starts a drill job whose steps are executed at the last gateways, as many as places says.
func (c *cluster) startDrill(name string, typ owner.Type, steps, window, places int) {
	c.t.Helper()
	c.commit(owner.Start, owner.Job{Name: name, Kind: ownerdriver.KindDrill, Type: typ, Steps: steps, Window: window, Gateways: c.names[len(c.names)-places:]})
}

// job returns a job as seen by the gateway that has applied most of the log.
func (c *cluster) job(name string) (best owner.Report) {
	applied := uint64(0)
	for i := range c.names {
		var j owner.Report
		r, err := c.stage.Call(i, quorumdriver.Query{Subject: "job", Name: name}, 300*time.Millisecond)
		if err == nil && r.Error == "" && r.Report.Applied > applied && json.Unmarshal(r.Body, &j) == nil {
			best, applied = j, r.Report.Applied
		}
	}
	return best
}

// waitForJob waits until a condition holds for a job.
func (c *cluster) waitForJob(name, what string, holds func(owner.Report) bool) owner.Report {
	c.t.Helper()
	var last owner.Report
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = c.job(name); last.Name != "" && holds(last) {
			return last
		}
	}
	c.t.Fatalf("timed out waiting on job %s: %s; last: %+v%s", name, what, last, c.currentReports())
	return last
}

// index returns the index of a gateway.
func (c *cluster) index(name string) int { return slices.Index(c.names, name) }

// armFailpoint has a gateway stop or kill itself (action "stop" or "kill") at the n-th pass of a failpoint, counted from now.
// waitForFailpoint waits until it has.
func (c *cluster) armFailpoint(gateway int, action, where string, n int) {
	c.t.Helper()
	c.setFailpoints(gateway, fmt.Sprintf("failpoints {\n  %s = [%q]\n}\n", action, fmt.Sprintf("%s:%d", where, n)))
}

// setFailpoints replaces the failpoints of a gateway by those of a block, or by none.
func (c *cluster) setFailpoints(gateway int, block string) {
	c.t.Helper()
	armedCount := func() (times int) {
		files, _ := filepath.Glob(fmt.Sprintf("%s/gateway-%d-*.log", c.logDir, gateway))
		for _, f := range files {
			text, _ := os.ReadFile(f)
			times += strings.Count(string(text), "failpoints in force\" kill=\"[")
		}
		return times
	}
	before := armedCount()
	c.mu.Lock()
	c.failpoints[gateway] = block
	c.mu.Unlock()
	c.inject(script.Event{Kind: "hup", Name: c.names[gateway]})
	c.waitFor("the failpoint is in force", func() bool { return armedCount() > before })
	c.mu.Lock()
	delete(c.failpoints, gateway)
	c.mu.Unlock()
}

// waitForFailpoint waits until a gateway has stopped or ended.
func (c *cluster) waitForFailpoint(gateway int) {
	c.t.Helper()
	c.waitFor(c.names[gateway]+" reaches its failpoint", func() bool { return c.stage.ProcessStopped(gateway) || c.stage.ProcessExited(gateway) })
}

// waitFor waits until a condition holds.
func (c *cluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// finishJob waits until a job is finished, passes the recorded effects to the auditor and returns the records of all gateways.
// Meanwhile it settles steps in doubt by the records of the executing gateways, as an operator would: a step that is not on
// record at a gateway that knows a newer token did not run and never will.
func (c *cluster) finishJob(name string) [][]effectlog.Entry {
	c.t.Helper()
	unsettled := 0
	c.waitForJob(name, "finished", func(j owner.Report) bool {
		for _, d := range j.Uncertain {
			if i := c.index(d.Place); i >= 0 {
				if ran, fenced := ownerdriver.CheckRecord(c.stage.EffectRecords(300 * time.Millisecond)[i], name, d); ran || fenced {
					c.submit(i, owner.Resolve, owner.Claim{Job: name, Step: d.Step, Ran: ran}) // rejected if the sender has reported the result meanwhile
				} else if unsettled++; unsettled%10 == 1 {
					c.commit(owner.Fence, owner.Claim{Job: name})
				}
			}
		}
		return j.State == "finished"
	})
	all := c.stage.EffectRecords(2 * time.Second)
	for i, entries := range all {
		for _, e := range entries {
			if e.Effect.Job != name {
				continue
			}
			c.audit.Observe(world.StepLogged{Gateway: i, Step: e.Effect.Step, Job: e.Effect.Job, From: e.Effect.From, Type: e.Effect.Type.String(),
				Token: e.Effect.Token, NewerToken: e.NewerToken, Repeated: e.Repeated, TokenNotice: e.FromLog})
		}
	}
	return all
}

// countEffects counts how often each step of a job was executed, according to the records.
func countEffects(all [][]effectlog.Entry, job string) map[int]int {
	n := map[int]int{}
	for _, entries := range all {
		for _, e := range entries {
			if e.Effect.Job == job && e.NewerToken == 0 && !e.FromLog && !e.Repeated {
				n[e.Effect.Step]++
			}
		}
	}
	return n
}

// checkSteps checks that all steps of a job are on record, and only once if once is set.
func (c *cluster) checkSteps(all [][]effectlog.Entry, job string, steps int, once bool) {
	c.t.Helper()
	n := countEffects(all, job)
	for step := range steps {
		if n[step] == 0 || once && n[step] > 1 {
			c.t.Errorf("step %d of %s was executed %d times", step, job, n[step])
		}
	}
}

// The owner is stopped exactly between its ownership check and the effect, or between the effect and the report of its result,
// for longer than its lease. A successor takes over, then the old owner resumes with stale steps in flight. Effects that it sends
// late must be refused by their fencing token; no step runs twice that must not, and all are done.
func TestOwnerFrozen(t *testing.T) {
	for _, x := range []struct {
		where string
		typ   owner.Type
		late  bool // its effect must be refused after it resumes
	}{{failpoint.Sending, owner.Unsafe, true}, {failpoint.Sending, owner.Safe, true}, {failpoint.Executed, owner.Keyed, false}} {
		t.Run(fmt.Sprint(x.where, " ", x.typ), func(t *testing.T) {
			runCluster(t, nil, func(c *cluster) {
				c.waitForReports("all converged", c.converged)
				const old = 0 // among idle gateways the first by name becomes the owner
				c.armFailpoint(old, "stop", x.where, 4)
				c.startDrill("work", x.typ, 30, 3, 3)
				c.waitForFailpoint(old)
				first := c.waitForJob("work", "granted", func(j owner.Report) bool { return j.Owner == c.names[old] })
				c.inject(script.Event{Kind: "freeze", Name: c.names[old], Duration: 4000})
				next := c.waitForJob("work", "another gateway is the owner", func(j owner.Report) bool { return j.Token > first.Token })
				if next.Owner == first.Owner && next.Incarnation == first.Incarnation {
					t.Errorf("the frozen owner %s was granted the job again", next.Owner)
				}
				if next = c.waitForJob("work", "its successor is done, or waits for steps in doubt to be settled", func(j owner.Report) bool {
					return j.State == "finished" || len(j.Uncertain) > 0 && j.Done > first.Done
				}); x.typ != owner.Unsafe && len(next.Uncertain) > 0 {
					t.Errorf("steps that may be repeated are in doubt: %v", next.Uncertain)
				}
				c.waitForReports("the old owner has rejoined", c.converged)
				all := c.finishJob("work")
				c.checkSteps(all, "work", 30, x.typ != owner.Safe)
				refused := 0
				for _, entries := range all {
					for _, e := range entries {
						if e.NewerToken > 0 && e.Effect.From == first.Owner && e.Effect.Token == first.Token {
							refused++
						}
					}
				}
				if x.late && refused == 0 {
					t.Error("no late effect of the old owner was refused")
				}
			})
		})
	}
}

// makeLeader makes a voter the leader, by killing and restarting other leaders until it happens to be elected.
func (c *cluster) makeLeader(gateway int) {
	c.t.Helper()
	for range 12 {
		before := c.waitForReports("all converged", c.converged)
		l := leader(before)
		if l == gateway {
			return
		}
		if l >= 0 {
			c.inject(script.Event{Kind: "kill", Name: c.names[l], Duration: 100})
			c.waitForReports("a new leader is elected", func(all []*quorum.Report) bool { x := leader(all); return x >= 0 && all[x].Term > before[l].Term })
		}
	}
	c.t.Fatalf("%s did not become leader", c.names[gateway])
}

// The owner is also the leader and has a window of a hundred steps. It is stopped while sending the fourth, past its lease. Its
// successor is killed soon after and a third gateway takes over. The old owner resumes and sends its whole queue: effects must be
// refused wherever a newer grant is known, no step runs twice, all are done.
func TestFrozenLeaderResumesWithQueuedSteps(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		const old = 0 // among idle gateways the first by name becomes the owner
		c.makeLeader(old)
		c.armFailpoint(old, "stop", failpoint.Sending, 4)
		const steps = 1500
		c.startDrill("work", owner.Keyed, steps, 100, 4) // executed at all others, never at the owner itself
		c.waitForFailpoint(old)
		for i := range c.names {
			if i != old { // whoever owns the job next stops amid its steps: that it is at work can't be missed
				c.armFailpoint(i, "stop", failpoint.Sending, 100)
			}
		}
		c.inject(script.Event{Kind: "freeze", Name: c.names[old], Duration: 3500})
		next := old
		c.waitFor("another gateway is the owner", func() bool {
			next = slices.IndexFunc(c.names, func(name string) bool { return name != c.names[old] && c.stage.ProcessStopped(c.index(name)) })
			return next >= 0
		})
		for i := range c.names {
			if i != old && i != next {
				c.setFailpoints(i, "")
			}
		}
		c.inject(script.Event{Kind: "kill", Name: c.names[next], Duration: 500})
		c.waitForReports("the old owner has rejoined", c.converged)
		all := c.finishJob("work")
		c.checkSteps(all, "work", steps, true)
		first, refused := c.job("work").History[1], 0
		if first.Owner != c.names[old] || first.Event != "granted" {
			t.Fatalf("unexpected first grant: %+v", first)
		}
		for _, entries := range all {
			for _, e := range entries {
				if e.NewerToken > 0 && e.Effect.From == first.Owner && e.Effect.Token == first.Token {
					refused++
				}
			}
		}
		if refused == 0 { // how many of the hundred are still on record depends on the progress of its successors
			t.Error("no queued effect of the old owner was refused by its token")
		}
	})
}

// setCut cuts or heals the link from one gateway to another, or both directions.
func (c *cluster) setCut(from, to int, both, cut bool) {
	r, step := c.stage.relays, 1
	if !cut {
		step = -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cuts[[2]int{from, to}] += step; both {
		r.cuts[[2]int{to, from}] += step
	}
	close(r.changed)
	r.changed = make(chan bool)
}

// The owner is cut off from all gateways but the one that executes the steps, which all others reach as well. The log declares the
// owner lost and another gateway takes over. The executing gateway must refuse the old owner's effects from then on, while that
// one still believes that it is the owner.
func TestOwnerReachesOnlyExecutingGateway(t *testing.T) {
	runCluster(t, func(s *script.Script) { s.Gateways = 6 }, func(c *cluster) {
		c.waitForReports("all converged", c.converged)
		bridge := len(c.names) - 1
		c.commit(owner.Start, owner.Job{Name: "work", Kind: ownerdriver.KindDrill, Type: owner.Unsafe, Steps: 400, Window: 2, Gateways: c.names[bridge:]})
		first := c.waitForJob("work", "begun", func(j owner.Report) bool { return j.Done > 3 && j.Owner != "" })
		old := c.index(first.Owner)
		if old == bridge {
			t.Fatal("the executing gateway owns the job")
		}
		for i := range c.names {
			if i != old && i != bridge {
				c.setCut(old, i, true, true)
			}
		}
		next := c.waitForJob("work", "another gateway is the owner", func(j owner.Report) bool { return j.Token > first.Token && j.Owner != "" })
		if next.Owner == first.Owner {
			t.Errorf("the gateway that is cut off is the owner again")
		}
		for i := range c.names {
			if i != old && i != bridge {
				c.setCut(old, i, true, false)
			}
		}
		c.waitForReports("all converged after the cuts are healed", c.converged)
		c.checkSteps(c.finishJob("work"), "work", 400, true)
	})
}

// The leader is killed at each failpoint of committing and granting, an executing gateway at each failpoint of an effect. The
// killed gateway restarts with its disk; no step runs twice, and all are done.
func TestKilledAtEachStep(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.waitForReports("all converged", c.converged)
		for i, where := range []string{failpoint.Saving, failpoint.Saved, failpoint.Committed, failpoint.Granting, failpoint.TokenChecked, failpoint.Written, failpoint.Synced} {
			name := fmt.Sprint("work-", i)
			var victim int
			switch where {
			case failpoint.TokenChecked, failpoint.Written, failpoint.Synced:
				victim = len(c.names) - 1
			default:
				victim = leader(c.waitForReports("a leader", func(all []*quorum.Report) bool { return leader(all) >= 0 }))
			}
			c.armFailpoint(victim, "kill", where, 1)
			c.startDrill(name, owner.Unsafe, 12, 3, 2)
			c.waitForFailpoint(victim)
			c.inject(script.Event{Kind: "start", Name: c.names[victim]})
			c.waitForReports("all converged after "+where, c.converged)
			c.checkSteps(c.finishJob(name), name, 12, true)
		}
	})
}

// Jobs survive a rolling restart of all gateways, a majority of voters that is killed at once and restarts with its disks, and an
// owner that is killed twice in a row.
func TestJobsSurviveRestarts(t *testing.T) {
	runCluster(t, func(s *script.Script) { s.Types[0].Expiry = 1000 }, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		c.startDrill("rolling", owner.Unsafe, 300, 2, 5)
		for i := range c.names {
			c.inject(script.Event{Kind: "restart", Name: c.names[i], Duration: 100})
			c.waitForReports("converged after a restart", func(all []*quorum.Report) bool {
				return c.converged(all) && all[i].Incarnation > before[i].Incarnation
			})
		}
		c.checkSteps(c.finishJob("rolling"), "rolling", 300, true)
		c.startDrill("killed", owner.Unsafe, 300, 2, 5)
		c.waitForJob("killed", "begun", func(j owner.Report) bool { return j.Done > 10 })
		l := leader(c.waitForReports("a leader", func(all []*quorum.Report) bool { return leader(all) >= 0 }))
		for i := range 3 {
			if i != (l+1)%3 {
				c.inject(script.Event{Kind: "kill", Name: c.names[i], Duration: 1500})
			}
		}
		c.waitForReports("there is no leader", func(all []*quorum.Report) bool { return leader(all) < 0 })
		c.waitForReports("all converged after the majority has restarted", c.converged)
		c.checkSteps(c.finishJob("killed"), "killed", 300, true)
		c.startDrill("twice", owner.Keyed, 300, 2, 5)
		for range 2 {
			j := c.waitForJob("twice", "owned", func(j owner.Report) bool { return j.Owner != "" || j.State == "finished" })
			if j.Owner == "" {
				break
			}
			c.inject(script.Event{Kind: "kill", Name: j.Owner, Duration: 150})
			c.waitForReports("converged after a kill", c.converged)
		}
		c.checkSteps(c.finishJob("twice"), "twice", 300, true)
	})
}

// The owner's links are delayed to three times the effect timeout, and its connections are reset repeatedly. Steps that may have
// run are in doubt and must not be sent again, the others are, and all are done.
func TestOwnerBehindBadNetwork(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		c.waitForReports("all converged", c.converged)
		for _, typ := range []owner.Type{owner.Unsafe, owner.Keyed} {
			name := "work-" + typ.String()
			c.startDrill(name, typ, 200, 3, 3)
			j := c.waitForJob(name, "begun", func(j owner.Report) bool { return j.Done > 5 })
			if j.Owner != "" {
				c.inject(script.Event{Kind: "delay", Name: j.Owner, Duration: 2500, Delay: 3000})
			}
			for range 3 {
				if j = c.job(name); j.Owner != "" {
					c.inject(script.Event{Kind: "reset", Name: j.Owner})
				}
				time.Sleep(300 * time.Millisecond) // spaces the faults; nothing depends on it
			}
			c.checkSteps(c.finishJob(name), name, 200, true)
			c.waitForReports("all converged again", c.converged)
		}
	})
}

// Random faults from a fixed seed, one after another and some at once, while jobs of each type run: 6 rounds, or as many as
// POPPYMILL_TEST_FAULTS says for a long run. All jobs must finish, and no step may run twice that must not.
func TestSeededFaults(t *testing.T) {
	faults, seed := 6, prng.Source(77)
	fmt.Sscan(os.Getenv("POPPYMILL_TEST_FAULTS"), &faults)
	runCluster(t, func(s *script.Script) {
		s.Types[0].Expiry, s.Quorum.Replace = 1000, 4000
		s.Phases[0].For = float64(faults)*20_000 + 60_000
	}, func(c *cluster) {
		c.waitForReports("all converged", c.converged)
		types := []owner.Type{owner.Safe, owner.Keyed, owner.Unsafe}
		for n := range faults {
			name := fmt.Sprint("work-", n)
			c.startDrill(name, types[n%3], 150, 3, 4)
			injected, lost := fmt.Sprintf("%d:", n), -1
			for range 1 + int(2*seed.Float64()) {
				x := int(seed.Float64() * 5)
				e := script.Event{Name: c.names[x], Duration: 300 + 2500*seed.Float64()}
				switch k := int(seed.Float64() * 7); k {
				case 0:
					e.Kind = "kill"
				case 1:
					e.Kind = "freeze"
				case 2:
					e.Kind = "part"
				case 3:
					e.Kind, e.OneWay = "part", true
				case 4:
					e.Kind, e.Duration = "restart", 100
				case 5:
					e.Kind, e.Disk = "kill", "lost"
				case 6:
					c.inject(script.Event{Kind: "copy", Name: e.Name})
					e.Kind, e.Disk = "kill", "old"
				}
				injected += fmt.Sprintf(" %s %s %s %.0f ms", e.Kind, e.Name, e.Disk, e.Duration)
				if c.inject(e); e.Disk != "" { // a lost disk has to be compensated before the next one is lost
					lost = x
					break
				}
				time.Sleep(time.Duration(200*seed.Float64()) * time.Millisecond) // spaces the faults; nothing depends on it
			}
			t.Log(injected)
			c.waitForReports("all converged after "+injected, func(all []*quorum.Report) bool {
				return c.converged(all) && hasVoters(all, 3)
			})
			all := c.finishJob(name)
			if lost >= 0 { // the record of what was executed there is lost, so assume that each of its steps ran once
				all[lost] = nil
				for step := range 150 {
					if c.names[1:][step%4] == c.names[lost] {
						all[lost] = append(all[lost], effectlog.Entry{Effect: effectlog.Effect{Job: name, Step: step}})
					}
				}
			}
			c.checkSteps(all, name, 150, types[n%3] != owner.Safe)
		}
	})
}

// Measures how long a job is without an owner after each kind of owner loss, for docs/quality.md. POPPYMILL_TEST_MEASURE says how
// often each is measured; nothing is checked.
func TestTimeWithoutOwner(t *testing.T) {
	times := 0
	if fmt.Sscan(os.Getenv("POPPYMILL_TEST_MEASURE"), &times); times == 0 {
		t.Skip("measurement: set POPPYMILL_TEST_MEASURE")
	}
	for _, how := range []string{"kill", "freeze", "restart", "part", "kill the leader that owns"} {
		t.Run(how, func(t *testing.T) {
			runCluster(t, func(s *script.Script) { s.Phases[0].For, s.Types[0].Expiry = 3.6e6, 1000 }, func(c *cluster) {
				c.waitForReports("all converged", c.converged)
				var took []float64
				for n := range times {
					name := fmt.Sprint("work-", n)
					c.waitForReports("all converged", c.converged)
					c.startDrill(name, owner.Safe, 100_000, 1, 0)
					j := c.waitForJob(name, "begun", func(j owner.Report) bool { return j.Owner != "" && j.Done > 2 })
					do := how
					if how == "kill the leader that owns" {
						if do = "kill"; c.index(j.Owner) > 2 {
							c.commit(owner.Stop, owner.Claim{Job: name})
							continue // it is not a voter and can't lead
						}
						c.makeLeader(c.index(j.Owner))
						if now := c.waitForJob(name, "owned", func(j owner.Report) bool { return j.Owner != "" }); now.Owner != j.Owner {
							c.commit(owner.Stop, owner.Claim{Job: name})
							continue
						}
					}
					at := time.Now()
					c.inject(script.Event{Kind: do, Name: j.Owner, Duration: 5000}) // longer than an election and a lease, otherwise the owner is not declared lost
					for c.job(name).Token == j.Token {
						time.Sleep(2 * time.Millisecond)
					}
					took = append(took, time.Since(at).Seconds()*1000)
					c.commit(owner.Stop, owner.Claim{Job: name})
				}
				slices.Sort(took)
				t.Logf("%s: of %d, median %.0f ms, 99th %.0f ms, worst %.0f ms", how, len(took), took[len(took)/2], took[min(len(took)-1, len(took)*99/100)], took[len(took)-1])
			})
		})
	}
}

// Measures the cost of an idle quorum: frames and processor time of all gateways in ten seconds, without and with one busy loop per
// core. No gateway may be declared lost because all cores are busy.
func TestIdleQuorum(t *testing.T) {
	if os.Getenv("POPPYMILL_TEST_MEASURE") == "" {
		t.Skip("measurement: set POPPYMILL_TEST_MEASURE")
	}
	for _, n := range []int{9, 30} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			runCluster(t, func(s *script.Script) {
				s.Gateways, s.Phases[0].For, s.Phases[0].Rate = n, 200_000, 1
			}, func(c *cluster) {
				spent := func() (frames uint64, ticks float64) {
					for i, r := range c.waitForReports("all converged", c.converged) {
						frames += r.Frames
						var a, b float64
						text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.stage.pid(i)))
						_, after, _ := strings.Cut(string(text), ") ")
						fields := strings.Fields(after)
						fmt.Sscan(fields[11], &a)
						fmt.Sscan(fields[12], &b)
						ticks += a + b
					}
					return frames, ticks
				}
				for _, busy := range []bool{false, true} {
					stop := make(chan bool)
					for range runtime.NumCPU() {
						go func() {
							for busy {
								select {
								case <-stop:
									return
								default:
								}
							}
						}()
					}
					framesBefore, ticksBefore := spent()
					time.Sleep(10 * time.Second) // the measured interval
					frames, ticks := spent()
					close(stop)
					losses := uint64(0)
					for _, m := range c.waitForReports("all converged", c.converged)[0].Members {
						losses += m.Losses
					}
					t.Logf("%d gateways, all cores busy %t: %.0f frames a second, %.1f ms of processor time a second each, %d losses", n, busy, float64(frames-framesBefore)/10, (ticks-ticksBefore)/float64(n), losses)
					if losses > 0 {
						t.Errorf("%d gateways were declared lost", losses)
					}
				}
			})
		})
	}
}
