package sockets

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"poppymill/internal/quorum"
	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

const clusterScript = `
about = "gateways with a quorum, under light traffic"
deployment {
  gateways = 5
  box {
    count = 4
    held  = 0.6
  }
}
type "parts" {
  share = 1
  work = "10ms"
  target = "800ms"
  expiry = "2s"
  objects = 40
}
quorum {
  voters = 3
}
phase "all" {
  for = "60s"
  rate = 40
}
`

// parallelStages bounds how many stages run in parallel: a stage whose event loop is late proves nothing.
var parallelStages = make(chan bool, 3)

// cluster is a stage whose gateways form a quorum, with the faults that a test may inject.
type cluster struct {
	t           *testing.T
	stage       *Stage
	names       []string // of the gateways
	audit       *auditor.Auditor
	mu          sync.Mutex
	failpoints  map[int]string // failpoints blocks of the operators' files, by gateway
	logDir      string
	extraConfig string             // appended to the operator's file of every gateway
	onFact      func(f world.Fact) // called with each fact, after the auditor; may be nil
}

// runCluster injects faults into a cluster of real gateway processes. Whatever the faults, the auditor's rules must hold for the
// downloads.
func runCluster(t *testing.T, change func(*script.Script), faults func(c *cluster)) {
	t.Helper()
	runPreparedCluster(t, change, nil, faults)
}

// runPreparedCluster is runCluster with a function that prepares the cluster before it starts.
func runPreparedCluster(t *testing.T, change func(*script.Script), prepare func(c *cluster), faults func(c *cluster)) {
	t.Helper()
	t.Parallel()
	parallelStages <- true
	defer func() { <-parallelStages }()
	s, err := script.Parse([]byte(clusterScript), "cluster.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	audit := auditor.New(s, Slack)
	c := &cluster{t: t, audit: audit, failpoints: map[int]string{}, logDir: gatewayLogDir(t)}
	facts := func(f world.Fact) {
		if audit.Observe(f); c.onFact != nil {
			c.onFact(f)
		}
	}
	stage, err := New(s, Options{Binary: debugBinary, Logs: c.logDir, Facts: facts, OperatorConfig: func(gateway int) string {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.extraConfig + c.failpoints[gateway]
	}})
	if err != nil {
		t.Fatal(err)
	}
	c.stage = stage
	for i := range s.Gateways {
		name, _, _ := stage.world.Config(i)
		c.names = append(c.names, name)
	}
	if prepare != nil {
		prepare(c)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	errTestDone := errors.New("the test is done")
	ended := make(chan error, 1)
	go func() { ended <- stage.Run(ctx) }()
	func() {
		defer func() { // also after a failure, so that no gateway is left running
			cancel(errTestDone)
			if err := <-ended; !errors.Is(err, errTestDone) {
				t.Error(err)
			}
		}()
		faults(c)
	}()
	if worst := float64(stage.lateness.Max()) / 1000; worst > maxLateness {
		t.Skipf("the event loop was up to %.0f ms late: the outcome of downloads does not count", worst) // as for every rehearsal
	}
	for r := range auditor.NumRules {
		if !audit.Holds(r) {
			t.Errorf("%v: %v", r, audit.Found[r])
		}
	}
}

// waitForReports waits until a condition holds for the reports of all gateways, and fails the test after a generous timeout.
func (c *cluster) waitForReports(what string, holds func([]*quorum.Report) bool) []*quorum.Report {
	c.t.Helper()
	var last []*quorum.Report
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = c.stage.QuorumReports(300 * time.Millisecond); holds(last) {
			return last
		}
	}
	c.t.Fatalf("timed out waiting: %s; last reports:%s", what, formatReports(last))
	return nil
}

// formatReports formats reports, one per line, for failure messages.
func formatReports(all []*quorum.Report) (text string) {
	for _, r := range all {
		text += fmt.Sprintf("\n%+v", r)
	}
	return text
}

// currentReports returns the formatted current reports of all gateways.
func (c *cluster) currentReports() string { return formatReports(c.stage.QuorumReports(time.Second)) }

// inject injects a fault on a gateway.
func (c *cluster) inject(e script.Event) {
	e.On = "gateway"
	c.stage.Do(func(w *world.World) { w.ApplyEvent(e) })
}

// leader returns the index of the gateway that leads in the newest term; -1 if there is none.
func leader(all []*quorum.Report) int {
	best, term := -1, uint64(0)
	for i, r := range all {
		if r != nil && r.Role == "leader" && r.Term > term {
			best, term = i, r.Term
		}
	}
	return best
}

// hasVoters reports whether the leader sees n voters and no membership change in progress. During such a change the cluster
// may not survive another fault.
func hasVoters(all []*quorum.Report, n int) bool {
	l := leader(all)
	return l >= 0 && len(all[l].Voters) == n && !all[l].JointConfig
}

// member returns the entry of a gateway in a report.
func member(r *quorum.Report, name string) quorum.MemberReport {
	if r != nil {
		for _, m := range r.Members {
			if m.Name == name {
				return m
			}
		}
	}
	return quorum.MemberReport{}
}

// converged reports whether all gateways answer, see the same leader and see each other as joined.
func (c *cluster) converged(all []*quorum.Report) bool {
	for _, r := range all {
		if r == nil || r.Leader == "" || r.Leader != all[0].Leader || len(r.Members) != len(c.names) || r.Incarnation == 0 {
			return false
		}
		for _, m := range r.Members {
			if m.State != "joined" {
				return false
			}
		}
	}
	return true
}

// The leader is frozen past its lease: another gateway becomes leader in a newer term and the log marks the old one as silent.
// After it resumes it no longer leads and rejoins under its old incarnation.
func TestLeaderFrozen(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		old := leader(before)
		c.inject(script.Event{Kind: "freeze", Name: c.names[old], Duration: 4000})
		c.waitForReports("another gateway leads and reports the old leader as silent", func(all []*quorum.Report) bool {
			l := leader(all)
			return all[old] == nil && l >= 0 && all[l].Term > before[old].Term && member(all[l], c.names[old]).State == "silent"
		})
		after := c.waitForReports("all converged again", c.converged)
		if m := member(after[0], c.names[old]); m.Losses != 1 || m.Incarnation != before[old].Incarnation || leader(after) == old && after[old].Term == before[old].Term {
			t.Errorf("the old leader rejoined as %+v, leading: %t", m, leader(after) == old)
		}
	})
}

// One voter is killed and loses its disk, a second one is cut off in one direction, then restarted. The voter without its disk
// must rejoin under a new identity as a follower, and the cluster must converge once the cut is healed.
func TestDiskLostAndOneWay(t *testing.T) {
	runCluster(t, nil, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		old := leader(before)
		lost, cut := (old+1)%3, (old+2)%3
		c.inject(script.Event{Kind: "kill", Name: c.names[lost], Duration: 500, Disk: "lost"})
		back := c.waitForReports("the voter without its disk follows under a new identity", func(all []*quorum.Report) bool {
			r := all[lost]
			return r != nil && r.Identity != before[lost].Identity && r.Role == "follower" && r.Incarnation > before[lost].Incarnation
		})
		if back[lost].Cluster != before[lost].Cluster {
			t.Errorf("it belongs to cluster %x instead of %x", back[lost].Cluster, before[lost].Cluster)
		}
		c.inject(script.Event{Kind: "part", Name: c.names[cut], Duration: 3000, OneWay: true})
		c.waitForReports("no leader with two voters, one of which can't send", func(all []*quorum.Report) bool { return leader(all) < 0 })
		c.waitForReports("all converged after the cut is healed", c.converged)
		c.inject(script.Event{Kind: "restart", Name: c.names[cut]})
		after := c.waitForReports("all converged after a restart", func(all []*quorum.Report) bool {
			return c.converged(all) && all[cut].Incarnation > before[cut].Incarnation
		})
		if m := member(after[0], c.names[cut]); m.Incarnation <= before[cut].Incarnation || after[cut].Identity != before[cut].Identity {
			t.Errorf("after the restart with its disk: %+v, identity %x, before %x", m, after[cut].Identity, before[cut].Identity)
		}
	})
}

// A voter is lost for good with its disk: another gateway catches up and replaces it as a voter, so that after the loss of one
// more voter a majority remains, which commits that loss.
func TestLostVoterIsReplaced(t *testing.T) {
	runCluster(t, func(s *script.Script) { s.Quorum.Replace = 2000 }, func(c *cluster) {
		before := c.waitForReports("all converged", c.converged)
		old := leader(before)
		lost, next := (old+1)%3, (old+2)%3
		c.inject(script.Event{Kind: "kill", Name: c.names[lost], Duration: 50_000, Disk: "lost"})
		replaced := c.waitForReports("another gateway replaces the lost voter", func(all []*quorum.Report) bool {
			n := 0
			for i, r := range all {
				if i != lost && r != nil && (r.Role == "leader" || r.Role == "voter") && len(r.Voters) == 3 && !r.JointConfig && !member(r, c.names[lost]).Votes {
					n++
				}
			}
			return n == 3 && leader(all) >= 0
		})
		c.inject(script.Event{Kind: "kill", Name: c.names[next], Duration: 50_000})
		c.waitForReports("two of three voters commit a loss", func(all []*quorum.Report) bool {
			l := leader(all)
			return l >= 0 && l != next && all[l].Term >= replaced[leader(replaced)].Term && member(all[l], c.names[next]).State == "silent"
		})
	})
}

// gatewayLogDir returns the directory for the gateways' logs: a subdirectory of POPPYMILL_TEST_LOGS, which outlives the test, or a
// temporary one.
func gatewayLogDir(t *testing.T) string {
	if dir := os.Getenv("POPPYMILL_TEST_LOGS"); dir != "" {
		dir = filepath.Join(dir, t.Name())
		if os.MkdirAll(dir, 0o755) == nil {
			return dir
		}
	}
	return t.TempDir()
}
