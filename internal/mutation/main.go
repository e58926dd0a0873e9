// Command mutation is a mutation test: it injects faults into a copy of the code, one at a time, and reports whether the
// test named for each fault fails. A fault that no test catches shows a missing test.
//
//	go run ./internal/mutation                 # all faults, from the module root; takes some minutes
//	go run ./internal/mutation internal/owner  # only faults in files whose path contains the argument
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// fault replaces a text that occurs exactly once in a file. Package dir must still build, and its tests that match test
// must fail.
type fault struct {
	name, file, from, to string
	dir, test            string
}

// The packages whose tests are run.
const (
	quorumPackage       = "./internal/quorum"
	quorumDriverPackage = "./internal/quorum/driver"
	ownerPackage        = "./internal/owner"
	effectLogPackage    = "./internal/owner/effectlog"
	maintenancePackage  = "./internal/maintenance"
	purgesPackage       = "./internal/purges"
	gatewayPackage      = "./internal/gateway"
	ownerDriverPackage  = "./internal/owner/driver"
)

// faults are the faults in all parts of the gateway; raceFaults has more.
var faults = []fault{
	{"save without sync", "internal/quorum/node.go", "\t\tn.save(record, done)\n",
		"\t\tif record.Snapshot == nil {\n\t\t\trecord.HardState, record.Entries = nil, nil\n\t\t}\n\t\tn.save(record, func() {})\n\t\tdone()\n", quorumPackage, "TestReplicatesInOrder"},
	{"a voter with a lost store resumes its old identity", "internal/quorum/node.go", "if n.id.ID == 0 {", "if n.id = (Identity{ID: 9 + uint64(settings.Name[1]), Name: settings.Name}); store.Identity.ID == 0 {",
		quorumPackage, "TestLostStoreNeverVotes"},
	{"founding on the basis of a stale reply", "internal/quorum/peers.go", "if f.EchoNonce == n.nonce && f.Cluster == 0 &&", "if f.Cluster == 0 &&", quorumPackage, "TestStaleHelloDoesNotFoundFleet"},
	{"founding without all founders", "internal/quorum/peers.go", "n.now > h.heardAt+n.settings.Election {\n\t\t\treturn", "n.now > h.heardAt+n.settings.Election {\n\t\t\tcontinue", quorumPackage, "TestFleetIsFoundedOnce"},
	{"a duplicate command is applied twice", "internal/quorum/members.go", "if c.Seq <= member.Seq {", "if false {", quorumPackage, "TestReplicatesInOrder|TestFaults"},
	{"commands are applied out of order", "internal/quorum/members.go", "} else if c.Seq != member.Seq+1 {", "} else if false {", quorumPackage, "TestReplicatesInOrder"},
	{"a lost command waits for its regular retry", "internal/quorum/peers.go", "if n.outOfOrder && n.now >= n.reorderAt {", "if false {", quorumPackage, "TestLostProposalsDoNotStallLaterOnes"},
	{"a lagging gateway sends its old state to others", "internal/quorum/peers.go", "\t\treturn // this gateway itself lags", "\t\tf.Snapshot = n.encodeState() // this gateway itself lags", quorumPackage, "TestFreshness"},
	{"a leader confirms a read index without a majority", "internal/quorum/readindex.go", "\t\tn.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, state.round))\n", "\t\tn.readIndexConfirmed(binary.BigEndian.AppendUint64(nil, state.round), n.applied)\n", quorumPackage, "TestFreshness"},
	{"a view counts as fresh before the log is applied", "internal/quorum/readindex.go", "if reply.index > n.applied {", "if false {", quorumPackage, "TestFreshness"},
	{"one slow sync excludes a voter permanently", "internal/quorum/node.go", "\t\t\t\t\tn.save(Record{Starts: n.starts}, nil)\n\t\t\t\t\tn.pickUpstream()\n\t\t\t\t\tn.send(n.upstream, Frame{Kind: KindRemoved})\n", "", quorumPackage, "TestSlowDiskIsRetried"},
	{"commands of a replaced process are applied", "internal/quorum/members.go", "if member == nil {\n\t\treturn ErrReplaced\n\t}\n\tif c.Seq", "if member == nil {\n\t\treturn nil\n\t}\n\tif c.Seq", quorumPackage, "TestDuplicateName"},
	{"a change of leader shortens leases", "internal/quorum/node.go", "\t\t\t\tn.lastRenewal[m.Incarnation] = n.now\n", "\t\t\t\tn.lastRenewal[m.Incarnation] = n.now - 2900\n", quorumPackage, "TestLeaderChangeRenewsLeases"},
	{"entries are applied without a check of their index", "internal/quorum/peers.go", "|| f.PreviousIndex != n.applied {", "{", quorumPackage, "TestReplicatesInOrder|TestFaults"},
	{"a member that left can be marked present again", "internal/quorum/members.go", "member.State == MemberLeft || c.Kind == cmdSilent", "c.Kind == cmdSilent", quorumPackage, "TestLeftMemberStaysLeft"},
	{"a follower is recognized by its name alone", "internal/quorum/peers.go", "} else if n.raft != nil && f.FromFollower {", "} else if n.raft != nil && n.voterID(from) == 0 {", quorumPackage, "TestLostStoreNeverVotes"},
	{"a late join replaces a newer process", "internal/quorum/members.go", "} else if member.Incarnation != joining.Incarnation {", "} else if false {", quorumPackage, "TestDelayedMemberCommands"},
	{"a late report of silence is applied", "internal/quorum/members.go", "c.Kind != cmdLeave && reported.Since != member.Since", "false", quorumPackage, "TestDelayedMemberCommands"},
	{"a new leader counts heartbeats from before its election", "internal/quorum/node.go", "n.heartbeatAt, n.wasLeader = n.now, true", "n.wasLeader = true", quorumPackage, "TestElectedLeaderStaysLeader"},
	{"a lagging voter does not answer new gateways", "internal/quorum/peers.go", "n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.GetVoters(), Applied: n.applied})\n", "n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.GetVoters(), Applied: n.applied})\n\t\treturn\n", quorumPackage, "TestLaggingVoterAnswers"},
	{"a restart of all gateways replaces voters", "internal/quorum/voters.go", "max(since, n.voterChange.leaderSince)+n.settings.ReplaceAfter", "since+0*n.settings.ReplaceAfter", quorumPackage, "TestMassRestartReplacesNobody"},
	{"a leader with a slow disk stays leader", "internal/quorum/node.go", "if n.diskSlow && n.raft", "if false && n.raft", quorumPackage, "TestFailedAndSlowDisks"},
	{"waiting commands are sent under a new incarnation", "internal/quorum/voters.go", "\tn.pending = nil\n\tif founding", "\tif founding", quorumPackage, "TestRemovedVoterDropsPending"},
	{"a snapshot without the new voter", "internal/quorum/node.go", "\t\tn.snapshotForLearner()\n", "", quorumPackage, "TestVoterReplaced"},
	{"a checksum is not verified", "internal/boltstore/boltstore.go", "if len(v) < 8 || binary.BigEndian.Uint64(v) != checksum(key, v[8:]) {", "if len(v) < 8 {", quorumDriverPackage, "TestCorruptStore"},
	{"a torn meta page is accepted", "internal/boltstore/boltstore.go", "if err := checkMetaPages(path); err != nil {", "if err := checkMetaPages(path); false {", quorumDriverPackage, "TestCorruptStore"},
	{"a voter with an old copy of its store keeps voting", "internal/quorum/storecheck.go", "case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 0:", "case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 5:", quorumPackage, "TestOldStoreCopy"},
	{"a copied store started as often keeps voting", "internal/quorum/storecheck.go", "case evidence.Starts >= n.starts && evidence.Nonce != n.nonce:", "case evidence.Starts >= n.starts && evidence.Nonce == 1:", quorumPackage, "TestOldStoreCopy"},
	{"a pre-vote term is taken as a proof", "internal/quorum/storecheck.go", "case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:", "case raftpb.MessageType_MsgHup:", quorumPackage, "TestFaults|TestMassRestart"},
	{"incarnations don't jump in a recovered fleet", "internal/quorum/recover.go", "n.members.LastIncarnation += incarnationLeap", "n.members.LastIncarnation += 0", quorumPackage, "TestRecover"},
	{"an old voter does not join the recovered fleet", "internal/quorum/peers.go", "case slices.Contains(n.founding.Predecessors, f.Cluster):", "case false:", quorumPackage, "TestRecover"},
	{"a command is answered before it is agreed", "internal/quorum/peers.go", "\tn.pending = append(n.pending, pending)\n", "\tn.pending = append(n.pending, pending)\n\tif b := n.stateMachines[p.Command.StateMachine]; b != nil && p.Command.Kind == \"read\" {\n\t\tn.emit(Outcome{Token: p.Token, Index: n.applied, Result: b.Apply(n.applied, p.Command)})\n\t}\n", quorumPackage, "TestLinearizable"},
	{"a new process inherits the acknowledgement of the previous one", "internal/maintenance/state.go", "\t\t\tdelete(w.Acks, name)\n", "", maintenancePackage, "TestRestartedGateway|TestEveryInterleaving"},
	{"a cache counts as warm without confirmation by its club", "internal/maintenance/state.go", "if w.Stage == Warming && !b.WarmByMajority(m, w) {", "if false {", maintenancePackage, "TestWarmByMajority"},
	{"a cache that holds little counts as warm", "internal/maintenance/measure.go", "cache.Hits/cache.Pulls < b.Inventory.Limits.WarmShare*peers.Hits/peers.Pulls", "false", maintenancePackage, "TestIsWarm|TestWarmByMajority"},
	{"measured peaks are ignored", "internal/maintenance/limits.go", "o.clubPeaks[c][h] += p", "o.clubPeaks[c][h] += 0 * p", maintenancePackage, "TestPeakMeter"},
	{"a barely measured hour replaces yesterday's", "internal/maintenance/measure.go", "at-p.since >= minMeasuredShare*hourMillis || p.peak >", "true || p.peak >", maintenancePackage, "TestPeakMeter"},
	{"no owner is planned if all candidates are held off", "internal/owner/planner.go", "if len(eligible) == 0 && fallback != \"\" {", "if false {", ownerPackage, "TestPlannerAllHeldDown"},
	{"forgetting purges does not raise the floor", "internal/purges/bounds.go", "if s.Floor = max(s.Floor, x.at); x.grouped {", "if x.grouped {", purgesPackage, "TestEviction"},
	{"a pattern purge is ignored", "internal/purges/bounds.go", "(p.Bound.Hard > hard || p.Bound.Soft > max(hard, soft)) && p.re", "latest(p.Bound) > max(hard, soft) && p.re", purgesPackage, "TestEviction|TestBoundsMatchModel"},
	{"a purge applies to another club", "internal/purges/bounds.go", "(p.Club == \"\" || p.Club == club) &&", "", purgesPackage, "TestBoundsMatchModel"},
	{"a batch is sent twice", "internal/purges/statemachine.go", "case o.First != s.Published ||", "case false ||", purgesPackage, "TestStagesAndConfirmations"},
	{"an old owner sends batches", "internal/purges/statemachine.go", "case o.Token < b.HighestToken && !s.overdue(o.First, b.Now):", "case false:", purgesPackage, "TestStagesAndConfirmations"},
	{"a purge id with different content is accepted", "internal/purges/statemachine.go", "if !reflect.DeepEqual(s.Purge, *o.Purge) {", "if false && !reflect.DeepEqual(s.Purge, *o.Purge) {", purgesPackage, "TestStagesAndConfirmations"},
	{"a purge is done without a present gateway", "internal/purges/statemachine.go", "(g.Joined || b.Now < g.Since+s.Limits.Delay)", "b.Now < g.Since+s.Limits.Delay", purgesPackage, "TestStagesAndConfirmations"},
	{"a purge does not wait for a lost gateway", "internal/purges/statemachine.go", "(g.Joined || b.Now < g.Since+s.Limits.Delay)", "g.Joined", purgesPackage, "TestStagesAndConfirmations"},
	{"a new process inherits the progress of the previous one", "internal/purges/statemachine.go", "\t\t\told.Confirmed = 0\n", "", purgesPackage, "TestStagesAndConfirmations"},
	{"a pattern matches part of a name", "internal/purges/bounds.go", "regexp.Compile(`\\A(?:` + text + `)\\z`)", "regexp.Compile(text)", purgesPackage, "TestBoundsMatchModel"},
	{"patterns are lost in a restart", "internal/purges/bounds.go", "\t\ts.Patterns[i].re = re\n", "\t\ts.Patterns[i].re = regexp.MustCompile(\"^$\")\n\t\t_ = re\n", purgesPackage, "TestBoundsMatchModel"},
	{"a late object waits for its batch", "internal/purges/view.go", "lateHard, lateSoft := v.Schedule.Bound(now, v.Club, object)", "lateHard, lateSoft := 0.0, 0.0", purgesPackage, "TestStatedTimeHoldsWithoutBatches"},
	{"objects of a cancelled purge stay scheduled", "internal/purges/schedule.go", "\t\ts.removeBefore(purge, len(purge.Purge.Objects))\n", "", purgesPackage, "TestStatedTimeHoldsWithoutBatches"},
	{"a restored snapshot keeps the old schedule", "internal/purges/view.go", "\tif u.Restored {", "\tif false {", purgesPackage, "TestStatedTimeHoldsWithoutBatches"},
	{"a batch waits for the previous one", "internal/purges/pipeline.go", "const maxInFlight = 32", "const maxInFlight = 1", purgesPackage, "TestBatchesKeepRate"},
	{"all that a stall held up goes out at once", "internal/purges/timing.go", "return now >= pacedUntil-paceTolerance ||", "return true ||", purgesPackage, "TestBatchesKeepRate"},
	{"the rate does not count what is in flight", "internal/purges/pipeline.go", "\t\t\tpacedUntil = s.pacedAfter(", "\t\t\t_ = s.pacedAfter(", purgesPackage, "TestBatchesKeepRate"},
	{"copies within the skew never answer", "internal/purges/view.go", "now < accepted+v.skewWindow {", "now < accepted {", gatewayPackage, "TestCopyMadeAfterPurgeAnswersAtOnce"},
	{"copies within the skew always answer", "internal/purges/view.go", "now < accepted+v.skewWindow {", "now < accepted+1e9 {", gatewayPackage, "TestCopyMadeAfterPurgeAnswersAtOnce"},
	{"a provisional purge sends batches", "internal/purges/timing.go", "case s.Provisional || now", "case now", purgesPackage, "TestLatePurgeBeginsOnceAgreed"},
	{"a late purge keeps the time of its command", "internal/purges/statemachine.go", "s.Provisional, s.Accepted = false, b.Now", "s.Provisional = false", purgesPackage, "TestLatePurgeBeginsOnceAgreed"},
	{"a loss is dated by the last purge", "internal/purges/statemachine.go", "Undated: !b.AnyOpen()}", "Undated: false}", purgesPackage, "TestLossIsDatedByNextCommand"},
	{"a loss is dated by the last request", "internal/maintenance/state.go", "undated := len(b.Windows) == 0", "undated := false", maintenancePackage, "TestLossBeforeFirstRequestIsWaitedFor"},
	{"the log counts as known before the core applies it", "internal/gateway/purge_bounds.go", "case k.applied.Load() == k.posted.Load():", "default:", gatewayPackage, "TestViewIsKnownOnceApplied"},
	{"the age of an arriving copy is not checked", "internal/caches/pool.go", "p.OldestAllowed != nil && createdAt < p.OldestAllowed(pull)", "p.OldestAllowed != nil && createdAt < p.OldestAllowed(pull)-1e9", gatewayPackage, "TestPurgeBounds"},
	{"a gateway without news of purges keeps serving", "internal/purges/view.go", "v.Delay > 0 && now-known > blindAfter*v.Delay {", "v.Delay > 0 && now-known > 1e9*v.Delay {", gatewayPackage, "TestPurgeBounds"},
	{"a resumed gateway uses the time before it was frozen", "internal/gateway/purge_bounds.go", "MinCreated(b.now(), b.knownUntil(),", "MinCreated(b.knownUntil(), b.knownUntil(),", gatewayPackage, "TestPurgeBounds"},
	{"a first pull accepts a stale copy", "internal/purges/view.go", "\t\treturn max(hard, soft)\n", "\t\treturn max(hard, 0*soft)\n", gatewayPackage, "TestPurgeBounds"},
	{"a fenced job keeps its grant", "internal/owner/state_machine.go", "\t\tj.endGrant(index, \"fenced\")\n", "", ownerPackage, "TestFence"},
	{"a gateway accepts effects before it has caught up with the log", "internal/owner/driver/runner.go", "case c.followed.Incarnation == 0:", "case false:", ownerDriverPackage, "TestRunner"},
	{"the place is not told of new grants", "internal/owner/agent.go", "actions = append(actions, RaiseToken{j.Name, j.Token})", "", ownerPackage, "TestAgent"},
	{"a lost effect never times out", "internal/owner/agent.go", "if now >= x.Deadline {", "if false {", ownerPackage, "TestAgent"},
	{"a leaving owner gets new grants", "internal/owner/state_machine.go", "case !w.Present || w.Idle || w.Incarnation != c.Incarnation:", "case !w.Present || w.Incarnation != c.Incarnation:", ownerPackage, "TestAgent"},
	{"an effect is confirmed before it is on disk", "internal/owner/effectlog/effectlog.go", "\terr := p.db.Update(func", "\tgo p.db.Update(func(*bolt.Tx) error { return nil })\n\terr := func(f func(*bolt.Tx) error) error { return nil }(func", effectLogPackage, "TestLog|TestKilledDuringWrite"},
	{"a machine is granted beyond a limit", "internal/maintenance/state.go", "m, b.Now, b.Now+w.Request.Duration+b.Inventory.Limits.WarmTimeout)); reason != \"\" {", "m, b.Now, b.Now+w.Request.Duration+b.Inventory.Limits.WarmTimeout)); reason == \"-\" {", maintenancePackage, "TestLimits$"},
	{"a loss withdraws no grants", "internal/maintenance/state.go", "\t\tif reason == \"\" {\n\t\t\treturn\n\t\t}\n\t\tvar newest", "\t\tif reason != \"-\" {\n\t\t\treturn\n\t\t}\n\t\tvar newest", maintenancePackage, "TestLimits$"},
	{"a machine goes out without acknowledgements", "internal/maintenance/state.go", "pending := b.PendingAcks(w, m)\n\t\tif len", "pending := b.PendingAcks(w, m)[:0]\n\t\tif len", maintenancePackage, "TestMachineLifecycle"},
	{"a machine goes out on a withdrawn grant", "internal/maintenance/state.go", "if o.Token == 0 || o.Token != w.Token {", "if false {", maintenancePackage, "TestMachineLifecycle"},
	{"a withdrawn grant keeps its token", "internal/maintenance/state.go", "w.Token, w.Acks, w.MissingAcks, w.Warm = 0, nil, nil, nil", "w.Acks, w.MissingAcks, w.Warm = nil, nil, nil", maintenancePackage, "TestMachineLifecycle"},
	{"tokens of grants do not increase", "internal/maintenance/state.go", "\t\t\tb.LastToken++\n", "\t\t\tb.LastToken = max(b.LastToken, 1)\n", maintenancePackage, "TestMachineLifecycle"},
	{"a warming machine does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Warming {", maintenancePackage, "TestMachineLifecycle"},
	{"an overdue machine does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Overdue {", maintenancePackage, "TestGoWaitsForAcks"},
	{"a voter needed for a majority goes out", "internal/maintenance/limits.go", "own > 0 && remaining-1", "own > 9 && remaining-1", maintenancePackage, "TestLimits$"},
	{"an old owner of the schedule grants", "internal/maintenance/state.go", "if o.OwnerToken < b.OwnerToken {", "if false {", maintenancePackage, "TestOldSchedulerIsRefused"},
	{"a machine does not wait for a just lost gateway", "internal/maintenance/state.go", "!g.Live && b.Now >= g.Since+b.Inventory.Limits.Grace {", "!g.Live {", maintenancePackage, "TestGoWaitsForAcks"},
	{"a stage changes outside the transition table", "internal/maintenance/state.go", "if !slices.Contains(Transitions, Transition{w.Stage, to, by, kind}) {", "if false {", maintenancePackage, "TestMachineLifecycle"},
	{"an overdue machine is planned as in service", "internal/maintenance/plan.go", "return max(end, b.Now+1000)", "return end", maintenancePackage, "TestPlanWaitsForLateMachines"},
	{"the place does not check tokens", "internal/owner/token_checker.go", "token < newer {", "token < newer && false {", ownerPackage, "TestStaleOwnerFenced"},
	{"no token floor is kept for forgotten jobs", "internal/owner/token_checker.go", "c.floor = max(c.floor, c.jobs[oldest].token)", "", ownerPackage, "TestRefusals"},
	{"an unsafe step runs before its intent is agreed", "internal/owner/executor.go", "if j.Type == Unsafe && j.Intended[step] != owned.token {", "if false {", ownerPackage, "TestStaleOwnerFenced"},
	{"tokens do not increase", "internal/owner/state_machine.go", "\tb.LastToken++\n", "\tb.LastToken = max(b.LastToken, 1)\n", ownerPackage, "TestStaleOwnerFenced"},
	{"a lost owner keeps its grant", "internal/owner/state_machine.go", "if j.Owner == name && (!w.Present || j.Incarnation != w.Incarnation) {", "if false {", ownerPackage, "TestStaleOwnerFenced"},
	{"a step in doubt is forgotten", "internal/owner/state_machine.go", "\tj.Uncertain[step] = j.Intended[step]\n", "", ownerPackage, "TestStaleOwnerFenced"},
	{"a command with an old token is accepted", "internal/owner/state_machine.go", "} else if c.Token != j.Token || j.Owner == \"\" {", "} else if false {", ownerPackage, "TestStaleOwnerFenced"},
	{"a second owner is granted beside the first", "internal/owner/state_machine.go", "case j.Owner != \"\":", "case false:", ownerPackage, "TestStaleOwnerFenced"},
	{"an unsafe step that may have run is sent again", "internal/owner/executor.go", "case t == Unsafe && e == Uncertain:", "case false:", ownerPackage, "TestStepOutcomes"},
	{"the end of a step is reported only once", "internal/owner/executor.go", "\t\t\tactions = append(actions, owned.unconfirmed[step])\n", "\t\t\t_ = step\n", ownerPackage, "TestUnconfirmedProposalsResent"},
	{"a flapping owner is not held off", "internal/owner/planner.go", "if worker.Present && !worker.Idle && now >= obs.since+holdDown {", "if worker.Present && !worker.Idle && now >= obs.since+0*holdDown {", ownerPackage, "TestPlanner"},
}

func main() {
	dir, err := os.MkdirTemp("", "mutation")
	if err == nil {
		err = run(dir)
	}
	os.RemoveAll(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutation:", err)
		os.Exit(1)
	}
}

// run copies the module to a directory and tries each fault there.
func run(dir string) error {
	for _, part := range []string{"go.mod", "go.sum", "internal", "router"} {
		if out, err := exec.Command("cp", "-r", part, dir).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w", out, err)
		}
	}
	missed := 0
	for _, f := range slices.Concat(faults, raceFaults) {
		if len(os.Args) > 1 && !strings.Contains(f.file, os.Args[1]) {
			continue
		}
		path := filepath.Join(dir, f.file)
		original, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.Count(string(original), f.from) != 1 {
			return fmt.Errorf("%s: %s: the text to replace does not occur exactly once", f.file, f.name)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(original), f.from, f.to, 1)), 0o600); err != nil {
			return err
		}
		build := exec.Command("go", "build", f.dir)
		build.Dir = dir
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: does not build: %s", f.name, out)
		}
		test := exec.Command("go", "test", "-count=1", "-timeout", "120s", "-run", f.test, f.dir)
		test.Dir = dir
		out, err := test.CombinedOutput()
		verdict, firstFailure := "caught", ""
		if err == nil {
			verdict = "MISSED"
			missed++
		}
		for _, l := range strings.Split(string(out), "\n") {
			if l = strings.TrimSpace(l); strings.HasPrefix(l, "--- FAIL") || strings.HasPrefix(l, "panic: ") {
				firstFailure = l
				break
			}
		}
		fmt.Printf("%-42s %s  %s\n", f.name, verdict, firstFailure)
		if err := os.WriteFile(path, original, 0o600); err != nil {
			return err
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d faults are not caught by their test", missed, len(faults))
	}
	return nil
}
