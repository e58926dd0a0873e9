package sockets

import (
	"slices"
	"strings"
	"testing"
	"time"

	"poppymill/internal/maintenance"
	maintenancedriver "poppymill/internal/maintenance/driver"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// countHurt counts the machines that are partly lost according to the log; -1 if no gateway answers.
func (mc *machineCluster) countHurt() (n int) {
	f := mc.fleet()
	if len(f.Machines) == 0 {
		return -1
	}
	for _, m := range f.Machines {
		if m.Degraded {
			n++
		}
	}
	return n
}

// machine returns the state of a machine.
func (mc *machineCluster) machine(name string) (m maintenancedriver.Machine) {
	mc.call(quorumdriver.Query{Subject: "machine", Name: name}, &m, 0)
	return m
}

// Three clubs of two gateways, two caches and a hub, each on its own machine; maintenance is requested for the caches, hubs and two
// gateways. Meanwhile a hub is lost, then a gateway, then a whole club including a voter. While more is lost than may be out, no
// machine goes and grants are put back; the schedule continues once the club is back. No download of the other clubs is lost.
func TestMaintenanceWithLosses(t *testing.T) {
	clubs := func(s *script.Script) { s.Clubs, s.Gateways, s.Hub.Count = []string{"amber", "birch", "cedar"}, 6, 3 }
	runMaintenanceOn(t, clubs, "  most = 2\n  drain = \"3s\"\n", func(mc *machineCluster) {
		var all []string
		for _, x := range slices.Concat(mc.boxes, mc.hubs, mc.names[:2]) {
			all = append(all, "m-"+x)
		}
		mc.requestMaintenance(all...)
		departed := func() (n int) {
			mc.mu.Lock()
			defer mc.mu.Unlock()
			return len(mc.outCount)
		}
		lose := func(on, name string, ms float64) {
			mc.stage.Do(func(w *world.World) { w.ApplyEvent(script.Event{Kind: "kill", On: on, Name: name, Duration: ms}) })
		}
		mc.waitFor("two machines have gone out", func() bool { return departed() >= 2 })
		lose("hub", mc.hubs[2], 2500)
		mc.waitFor("six machines have gone out", func() bool { return departed() >= 6 })
		lose("gateway", mc.names[4], 2000)
		mc.waitFor("eight machines have gone out", func() bool { return departed() >= 8 })
		club := mc.club[mc.names[5]]
		for x, c := range mc.club {
			switch {
			case c != club:
			case slices.Contains(mc.names, x):
				lose("gateway", x, 5000)
			case slices.Contains(mc.boxes, x):
				lose("edge", x, 5000)
			}
		}
		mc.waitFor("the log shows that a club is lost", func() bool { return mc.countHurt() >= 3 })
		mc.mu.Lock()
		mc.haltedSince = mc.stage.now()
		mc.mu.Unlock()
		mc.waitFor("the club is coming back", func() bool { n := mc.countHurt(); return n >= 0 && n < 3 })
		mc.mu.Lock()
		mc.haltedSince = 0
		mc.mu.Unlock()
		mc.waitAllIn(2, all...)
		mc.waitForReports("all converged again", mc.converged)
	})
}

// One gateway is reachable but slow: its acknowledgement arrives after the drain timeout. Depending on the operator's setting the
// machine is put back and goes later, or goes, and the log records whose acknowledgement was missing.
func TestGatewayThatDoesNotAcknowledge(t *testing.T) {
	for silent, reason := range map[string]string{"back": "no word from", "out": "out without word from"} {
		t.Run(silent, func(t *testing.T) {
			runMaintenance(t, "  most = 1\n  drain = \"700ms\"\n  silent = \""+silent+"\"\n", func(mc *machineCluster) {
				name := "m-" + mc.boxes[0]
				mc.inject(script.Event{Kind: "delay", Name: mc.names[4], Duration: 4000, Delay: 800})
				mc.requestMaintenance(name)
				why := ""
				mc.waitFor("a machine with the reason "+reason, func() bool {
					if m := mc.machine(name); m.Work != nil {
						if why = m.Work.Reason; silent == "back" {
							why = m.Work.LastRevocation
						}
					}
					return strings.Contains(why, reason)
				})
				if !strings.Contains(why, mc.names[4]) {
					t.Errorf("the reason does not name the gateway: %s", why)
				}
				mc.waitAllIn(1, name)
			})
		})
	}
}

// The same request sent twice and from both sides of a partition counts once, and a request that is cancelled on one side while the
// other is cut off stays cancelled: the last committed command wins.
func TestRequestsFromBothSidesOfPartition(t *testing.T) {
	runMaintenance(t, "  most = 1\n  drain = \"6s\"\n", func(mc *machineCluster) {
		name, other := "m-"+mc.boxes[0], "m-"+mc.boxes[1]
		mc.inject(script.Event{Kind: "part", Name: mc.names[0], Duration: 2500})
		submit := func(machine string, from int) bool {
			err, ok := mc.submitOrder(maintenance.Submit, maintenance.CommandData{Request: &maintenance.Request{ID: "r-" + machine, Machine: machine, Duration: windowMillis}}, from)
			return err == nil && ok
		}
		for _, from := range []int{1, 2, 1} {
			mc.waitFor("the side with a majority takes the request", func() bool { return submit(name, from) })
		}
		mc.waitFor("another request", func() bool { return submit(other, 1) })
		mc.waitFor("the other request is cancelled", func() bool {
			err, ok := mc.submitOrder(maintenance.Cancel, maintenance.CommandData{ID: "r-" + other}, 2)
			return err == nil && ok
		})
		mc.waitForReports("all converged after the cut is healed", mc.converged)
		mc.waitFor("the gateway that was cut off takes the same requests", func() bool { return submit(name, 0) && submit(other, 0) })
		if m := mc.machine(other); m.Work != nil {
			t.Errorf("%s was cancelled, and has work again: %+v", other, m.Work)
		}
		mc.requestMaintenance(name)
		mc.waitAllIn(1, name)
		time.Sleep(300 * time.Millisecond) // time for a second maintenance window to show up, if there were one
		mc.mu.Lock()
		defer mc.mu.Unlock()
		if mc.outCount[name] != 1 || mc.outCount[other] != 0 {
			t.Errorf("taken out: %v", mc.outCount)
		}
	})
}
