package sockets

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/maintenance"
	maintenancedriver "poppymill/internal/maintenance/driver"
	"poppymill/internal/owner"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// machineCluster is a cluster on machines with maintenance windows, and the emulated agents of the machines, which ask for
// permission to take their machine out, take it out once granted, and report it back.
type machineCluster struct {
	*cluster
	boxes       []string
	mu          sync.Mutex
	outSince    map[string]float64 // machines that their agents have taken out
	maxOut      int                // most machines that were out at a time, losses included
	lost        int                // machines lost unplanned
	outCount    map[string]int     // how often each machine was taken out
	failures    []string
	neverReturn map[string]bool   // machines whose agents don't bring them back
	club        map[string]string // of gateways, boxes and hubs
	hubs        []string
	phaseTimes  [3][]float64    // ms from granted (as its agent sees it) to draining, from draining to out, and from back to in
	haltedSince float64         // since when no machine may go because too much is lost; 0: they may
	startedAt   map[int]float64 // of gateways, in the world's time
	running     sync.WaitGroup
}

const (
	windowMillis  = 700.0  // how long a machine is out
	catchUpMillis = 5000.0 // from the start of a gateway until it has caught up with the log
)

// runMaintenance runs a cluster of five gateways and six boxes, each on its own machine, under the given maintenance limits.
func runMaintenance(t *testing.T, limits string, faults func(mc *machineCluster)) {
	runMaintenanceOn(t, nil, limits, faults)
}

// runMaintenanceOn is runMaintenance on a changed script.
func runMaintenanceOn(t *testing.T, change func(*script.Script), limits string, faults func(mc *machineCluster)) {
	mc := &machineCluster{club: map[string]string{}, outSince: map[string]float64{}, outCount: map[string]int{}, neverReturn: map[string]bool{}, startedAt: map[int]float64{}}
	runPreparedCluster(t, func(s *script.Script) {
		s.Box.Count, s.Quorum.Replace, s.Phases[0].For = 6, 2000, 200_000
		if change != nil {
			change(s)
		}
	}, func(c *cluster) {
		mc.cluster = c
		_, events := c.stage.world.ChannelEvents()
		for _, e := range events {
			if nodes, ok := e["nodes"].(map[string]any); ok {
				for _, p := range nodes["endpoints"].([]any) {
					p := p.(map[string]any)
					name := p["name"].(string)
					switch mc.club[name] = p["zone"].(string); p["type"] {
					case "box":
						mc.boxes = append(mc.boxes, name)
					case "hub":
						mc.hubs = append(mc.hubs, name)
					}
				}
			}
		}
		c.extraConfig = "machines {\n  version = 1\n  begin = \"20s\"\n  warm = \"300ms\"\n  grace = \"500ms\"\n" + limits
		for i, g := range c.names {
			_, _, settings := c.stage.world.Config(i)
			mc.club[g] = settings["zone"].(string)
		}
		for attribute, names := range map[string][]string{"gateways": c.names, "boxes": mc.boxes, "hubs": mc.hubs} {
			for _, x := range names {
				c.extraConfig += fmt.Sprintf("  machine %q {\n    club = %q\n    %s = [%q]\n  }\n", "m-"+x, mc.club[x], attribute, x)
			}
		}
		c.extraConfig += "}\n"
		c.onFact = mc.checkFact
	}, func(c *cluster) {
		c.waitForReports("all converged", c.converged)
		c.waitFor("all machines are known", func() bool { return len(mc.fleet().Machines) == len(c.names)+len(mc.boxes)+len(mc.hubs) })
		faults(mc)
		mc.mu.Lock()
		defer mc.mu.Unlock()
		for _, f := range mc.failures {
			t.Error(f)
		}
	})
}

// checkFact checks from the boxes' side that no gateway sends to a box that is out.
func (mc *machineCluster) checkFact(f world.Fact) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if r, ok := f.(world.Restarted); ok {
		mc.startedAt[r.Gateway] = r.At
	}
	if p, ok := f.(world.Pulled); ok {
		// A gateway that has just started knows only the node list until it has caught up with the log.
		if since, out := mc.outSince["m-"+p.Box]; out && p.At > since+Slack && p.At > mc.startedAt[p.Gateway]+catchUpMillis {
			mc.failures = append(mc.failures, fmt.Sprintf("gateway %d sends to %s %.0f ms after it was taken out", p.Gateway, p.Box, p.At-since))
		}
	}
}

// machineList is the answer to a question about all machines.
type machineList struct {
	Machines []maintenancedriver.Machine
}

// call sends a question or a command to one gateway after another until one answers, and decodes the answer. The second result
// reports whether one answered.
func (mc *machineCluster) call(q quorumdriver.Query, to any, from int) (error, bool) {
	for i := range mc.names {
		r, err := mc.stage.Call((from+i)%len(mc.names), q, time.Second)
		if err != nil || q.Command != nil && !r.Report.Majority && r.Error != "" {
			continue
		}
		if r.Error != "" {
			return fmt.Errorf("%s", r.Error), true
		}
		if to != nil {
			return json.Unmarshal(r.Body, to), true
		}
		return nil, true
	}
	return nil, false
}

// fleet returns all machines.
func (mc *machineCluster) fleet() (f machineList) {
	mc.call(quorumdriver.Query{Subject: "machines"}, &f, 0)
	return f
}

// submitOrder submits a maintenance command. The second result reports whether a gateway answered.
func (mc *machineCluster) submitOrder(kind string, o maintenance.CommandData, from int) (error, bool) {
	o.At = float64(time.Now().UnixMilli())
	return mc.call(quorumdriver.Query{Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: kind, Data: codec.Encode(o)}}, nil, from)
}

// requestMaintenance requests a maintenance window for each machine and starts the machines' agents.
func (mc *machineCluster) requestMaintenance(names ...string) {
	for i, name := range names {
		mc.waitFor("the request for "+name+" is committed", func() bool {
			err, answered := mc.submitOrder(maintenance.Submit, maintenance.CommandData{Request: &maintenance.Request{ID: "r-" + name, Machine: name, Duration: windowMillis}}, i)
			return err == nil && answered
		})
		mc.running.Add(1)
		go func() {
			defer mc.running.Done()
			mc.runAgent(name, i)
		}()
	}
}

// runAgent emulates the agent of a machine: it starts to drain when granted, takes the machine out once the log permits it, and
// reports it back after the window. As the answer to an order may be lost after the log has it, the agent goes by the machine's state.
func (mc *machineCluster) runAgent(name string, n int) {
	wentOut, stageSince, lastStage := false, 0.0, maintenance.InService
	leave := func() {
		wentOut = true
		mc.takeOut(name)
	}
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		var m maintenancedriver.Machine
		if err, ok := mc.call(quorumdriver.Query{Subject: "machine", Name: name, Fresh: true}, &m, n); !ok || err != nil {
			continue // no gateway knows its state
		}
		now := mc.stage.now()
		if m.Work == nil {
			if wentOut {
				mc.recordTime(2, now-stageSince)
				return
			}
			continue
		}
		if m.Work.Stage != lastStage {
			if lastStage == maintenance.Granted && m.Work.Stage == maintenance.Draining {
				mc.recordTime(0, now-stageSince)
			}
			stageSince, lastStage = now, m.Work.Stage
		}
		o := maintenance.CommandData{Machine: name, Token: m.Work.Token}
		switch m.Work.Stage {
		case maintenance.Granted:
			mc.submitOrder(maintenance.Drain, o, n)
		case maintenance.Draining:
			if err, ok := mc.submitOrder(maintenance.Leave, o, n); err == nil && ok {
				mc.recordTime(1, mc.stage.now()-stageSince)
				if leave(); mc.neverReturn[name] {
					return
				}
			}
		case maintenance.OutOfService, maintenance.Overdue:
			if !wentOut {
				if leave(); mc.neverReturn[name] {
					return
				}
			}
			mc.mu.Lock()
			since, out := mc.outSince[name]
			mc.mu.Unlock()
			if out && mc.stage.now() > since+windowMillis+300 {
				mc.mu.Lock()
				delete(mc.outSince, name)
				mc.mu.Unlock()
			} else if out {
				continue
			}
			mc.submitOrder(maintenance.Return, o, n)
		}
	}
	mc.mu.Lock()
	mc.failures = append(mc.failures, name+": its agent timed out")
	mc.mu.Unlock()
}

// recordTime records how long a machine took for one of the phases of phaseTimes.
func (mc *machineCluster) recordTime(phase int, ms float64) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.phaseTimes[phase] = append(mc.phaseTimes[phase], ms)
}

// takeOut takes a machine out: what runs on it is ended, and started again after the window.
func (mc *machineCluster) takeOut(name string) {
	mc.mu.Lock()
	mc.outSince[name] = mc.stage.now()
	mc.outCount[name]++
	mc.maxOut = max(mc.maxOut, len(mc.outSince)+mc.lost)
	if mc.haltedSince > 0 && mc.outSince[name] > mc.haltedSince+1500 { // a permission committed before may still be on its way to the agent
		mc.failures = append(mc.failures, fmt.Sprintf("%s went out %.0f ms after the log showed that too much was lost", name, mc.outSince[name]-mc.haltedSince))
	}
	mc.mu.Unlock()
	node := strings.TrimPrefix(name, "m-")
	mc.stage.Do(func(w *world.World) {
		if slices.Contains(mc.boxes, node) {
			w.ApplyEvent(script.Event{Kind: "kill", On: "edge", Name: node, Duration: windowMillis})
		} else if slices.Contains(mc.hubs, node) {
			w.ApplyEvent(script.Event{Kind: "kill", On: "hub", Name: node, Duration: windowMillis})
		} else {
			w.ApplyEvent(script.Event{Kind: "restart", On: "gateway", Name: node, Duration: windowMillis})
		}
	})
}

// waitAllIn waits until the named machines are in again, and checks that at most so many were out at a time, and each of them once.
func (mc *machineCluster) waitAllIn(most int, names ...string) {
	mc.t.Helper()
	for end := time.Now().Add(110 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		f, open := mc.fleet(), ""
		for _, m := range f.Machines {
			if slices.Contains(names, m.Name) && m.Work != nil {
				open += fmt.Sprintf(" %s stage %s hurt %t %+v waits %v;", m.Name, m.Stage, m.Degraded, *m.Work, m.PendingAcks)
			}
		}
		if len(f.Machines) > 0 && open == "" {
			break
		}
		if time.Now().After(end) {
			mc.t.Fatalf("not in again:%s; %s", open, mc.currentReports())
		}
	}
	mc.running.Wait()
	mc.mu.Lock()
	defer mc.mu.Unlock()
	for i, phase := range []string{"from granted to draining", "from draining to out", "from back to in"} {
		if times := mc.phaseTimes[i]; len(times) > 0 {
			slices.Sort(times)
			mc.t.Logf("%s: of %d, median %.0f ms, worst %.0f", phase, len(times), times[len(times)/2], times[len(times)-1])
		}
	}
	if mc.maxOut > most {
		mc.t.Errorf("%d machines were out at a time, the limit is %d", mc.maxOut, most)
	}
	for _, name := range names {
		if mc.outCount[name] != 1 {
			mc.t.Errorf("%s went out %d times", name, mc.outCount[name])
		}
	}
}

// Maintenance of all machines, including those of the voters and the leader, under load and without faults: the limit of machines
// that are out holds, nothing is sent to a box that is out, and no download is lost.
func TestMaintenanceOfAllMachines(t *testing.T) {
	runMaintenance(t, "  most = 2\n  drain = \"6s\"\n", func(mc *machineCluster) {
		var all []string
		for _, b := range mc.boxes {
			all = append(all, "m-"+b)
		}
		for _, g := range mc.names {
			all = append(all, "m-"+g)
		}
		mc.requestMaintenance(all...)
		mc.waitAllIn(2, all...)
		if mc.maxOut < 2 {
			t.Error("never two machines out at a time, although the limit allows it")
		}
	})
}

// The owner of the schedule is stopped between its plan and its grant, or after its grant is committed and before anyone is
// notified, and resumes late; meanwhile another gateway grants. A frozen gateway does not acknowledge a drain, so the machine is
// put back and goes later; a box is lost unplanned and counts towards the same limits. The schedule continues without intervention.
func TestScheduleOwnerStopped(t *testing.T) {
	for _, where := range []string{failpoint.Scheduling, failpoint.Committed} {
		t.Run(where, func(t *testing.T) { runScheduleOwnerStopped(t, where) })
	}
}

// runScheduleOwnerStopped stops the owner of the schedule at one failpoint.
func runScheduleOwnerStopped(t *testing.T, where string) {
	runMaintenance(t, "  most = 2\n  drain = \"1500ms\"\n", func(mc *machineCluster) {
		first := mc.waitForJob(maintenancedriver.Schedule, "owned", func(j owner.Report) bool { return j.Owner != "" })
		old := mc.index(first.Owner)
		mc.armFailpoint(old, "stop", where, 1)
		requested := []string{"m-" + mc.boxes[0], "m-" + mc.boxes[1], "m-" + mc.boxes[2]}
		// It may stop while requests are still being submitted. The freeze is reported to the world at once, because only from then on
		// its open downloads are excused.
		frozen := make(chan bool)
		go func() {
			defer close(frozen)
			for end := time.Now().Add(20 * time.Second); !mc.stage.ProcessStopped(old) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			mc.inject(script.Event{Kind: "freeze", Name: mc.names[old], Duration: 5000})
		}()
		mc.requestMaintenance(requested...)
		<-frozen
		mc.waitForFailpoint(old)
		mc.waitForJob(maintenancedriver.Schedule, "another gateway owns the schedule", func(j owner.Report) bool { return j.Token > first.Token && j.Owner != first.Owner })
		mc.mu.Lock()
		mc.lost = 1
		mc.mu.Unlock()
		mc.stage.Do(func(w *world.World) {
			w.ApplyEvent(script.Event{Kind: "kill", On: "edge", Name: mc.boxes[5], Duration: 2500})
		})
		mc.waitFor("the log shows the loss", func() bool {
			return slices.ContainsFunc(mc.fleet().Machines, func(m maintenancedriver.Machine) bool { return m.Degraded && m.Work == nil })
		})
		mc.mu.Lock()
		mc.lost = 0
		mc.mu.Unlock()
		mc.waitAllIn(3, requested...)
		mc.waitForReports("all converged again", mc.converged)
	})
}

// One machine never comes back: it becomes overdue and still counts towards the limit, and the others continue. Meanwhile the
// cluster is partitioned: the side without a majority takes no request, the other continues, and the same request from both sides
// counts once. Then all gateways are killed at once while machines are out, and restart with their disks: the schedule continues.
func TestMaintenanceAcrossPartitionAndRestart(t *testing.T) {
	runMaintenance(t, "  most = 2\n  drain = \"3s\"\n  overdue = 2\n", func(mc *machineCluster) {
		first, rest := "m-"+mc.boxes[0], []string{"m-" + mc.boxes[1], "m-" + mc.boxes[2], "m-" + mc.boxes[3]}
		stage := func(name string) (s string) {
			for _, m := range mc.fleet().Machines {
				if m.Name == name {
					s = m.Stage
				}
			}
			return s
		}
		mc.neverReturn[first] = true
		mc.requestMaintenance(first)
		mc.waitFor(first+" is overdue", func() bool { return stage(first) == "overdue" })
		mc.inject(script.Event{Kind: "part", Name: mc.names[0], Duration: 4000})
		mc.inject(script.Event{Kind: "part", Name: mc.names[1], Duration: 4000, OneWay: true})
		o := maintenance.CommandData{At: float64(time.Now().UnixMilli()), Request: &maintenance.Request{ID: "r-" + rest[0], Machine: rest[0], Duration: windowMillis}}
		r, err := mc.stage.Call(0, quorumdriver.Query{Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: maintenance.Submit, Data: codec.Encode(o)}}, 1500*time.Millisecond)
		if err == nil && r.Error == "" {
			t.Errorf("a gateway without a majority took a request: %+v", r)
		}
		mc.requestMaintenance(rest...)
		mc.waitFor("another machine is out beside the overdue one", func() bool {
			for _, name := range rest {
				if stage(name) == "out" {
					return true
				}
			}
			return false
		})
		for _, g := range mc.names {
			mc.inject(script.Event{Kind: "kill", Name: g, Duration: 800})
		}
		mc.waitAllIn(2, rest...)
		if s := stage(first); s != "overdue" {
			t.Errorf("%s is %s", first, s)
		}
		mc.mu.Lock()
		delete(mc.outSince, first)
		mc.mu.Unlock()
		var m maintenancedriver.Machine
		mc.call(quorumdriver.Query{Subject: "machine", Name: first}, &m, 0)
		mc.waitFor(first+" is back", func() bool {
			mc.submitOrder(maintenance.Return, maintenance.CommandData{Machine: first, Token: m.Work.Token}, 0)
			return stage(first) == "in"
		})
	})
}

// The real agent is killed with SIGKILL during its work, as by a machine that reboots for it. After a restart it must not begin the
// work again under the same grant, and reports the machine back. A state file of another version is refused.
func TestAgentKilledDuringWork(t *testing.T) {
	runMaintenance(t, "  most = 1\n  drain = \"6s\"\n", func(mc *machineCluster) {
		name, dir := "m-"+mc.boxes[0], t.TempDir()
		mc.waitFor("the request is committed", func() bool {
			err, answered := mc.submitOrder(maintenance.Submit, maintenance.CommandData{Request: &maintenance.Request{ID: "r", Machine: name, Duration: 60_000}}, 0)
			return err == nil && answered
		})
		run := func() ([]byte, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			args := append([]string{"machines", "agent", "--state", dir + "/state", "--every", "50ms", "--once", "--work", "echo begun >> " + dir + "/did; kill -9 $PPID", name},
				mc.stage.relays.peerAddresses...)
			return exec.CommandContext(ctx, debugBinary, args...).CombinedOutput()
		}
		out, err := run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
			t.Fatalf("%v: %s", err, out)
		}
		if out, err := run(); err != nil {
			t.Fatalf("after the restart: %v: %s", err, out)
		}
		if text, _ := os.ReadFile(dir + "/did"); string(text) != "begun\n" {
			t.Errorf("the work ran as %q", text)
		}
		os.WriteFile(dir+"/state", []byte(`{"version":7}`), 0o600)
		if out, err := run(); err == nil || !strings.Contains(string(out), "version: 7, 1 is read") {
			t.Errorf("state of another version: %v: %s", err, out)
		}
	})
}
