// Command bite puts faults into a copy of the code, one at a time, and tells whether the test that is named for each catches it.
// A fault that is not caught is a test that is missing. `go run ./internal/bite` from the root takes some minutes; `go run ./internal/bite internal/owner` puts in
// those of files so named alone.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// fault is one line of the code put wrong, and the test that must fail for it.
type fault struct {
	name, file, from, to string
	dir, test            string
}

const (
	agreement = "./internal/quorum"
	disk      = "./internal/quorum/drive"
	owned     = "./internal/owner"
	places    = "./internal/owner/place"
	yard      = "./internal/maintenance"
	sweeps    = "./internal/purges"
	front     = "./internal/gateway"
	crew      = "./internal/owner/drive"
)

var faults = []fault{
	{"sync left out", "internal/quorum/node.go", "\t\tn.save(record, done)\n",
		"\t\tif record.Snapshot == nil {\n\t\t\trecord.Hard, record.Entries = nil, nil\n\t\t}\n\t\tn.save(record, func() {})\n\t\tdone()\n", agreement, "TestReplicatesInOrder"},
	{"old identity taken back", "internal/quorum/node.go", "if n.id.ID == 0 {", "if n.id = (Identity{ID: 9 + uint64(settings.Name[1]), Name: settings.Name}); store.Identity.ID == 0 {",
		agreement, "TestLostStoreNeverVotes"},
	{"founding by old word", "internal/quorum/peers.go", "if f.EchoNonce == n.nonce && f.Cluster == 0 &&", "if f.Cluster == 0 &&", agreement, "TestStaleHelloDoesNotFoundFleet"},
	{"founding without all founders", "internal/quorum/peers.go", "n.now > h.heardAt+n.settings.Election {\n\t\t\treturn", "n.now > h.heardAt+n.settings.Election {\n\t\t\tcontinue", agreement, "TestFleetIsFoundedOnce"},
	{"commands that come twice count twice", "internal/quorum/members.go", "if c.Seq <= member.Seq {", "if false {", agreement, "TestReplicatesInOrder|TestFaults"},
	{"commands count out of order", "internal/quorum/members.go", "} else if c.Seq != member.Seq+1 {", "} else if false {", agreement, "TestReplicatesInOrder"},
	{"what was lost waits for its time", "internal/quorum/peers.go", "if n.outOfOrder && n.now >= n.reorderAt {", "if false {", agreement, "TestLostProposalsDoNotStallLaterOnes"},
	{"one that lags takes others back in time", "internal/quorum/peers.go", "\t\treturn // this gateway itself lags", "\t\tf.Snapshot = n.encodeState() // this gateway itself lags", agreement, "TestFreshness"},
	{"a leader answers without a majority how far the log goes", "internal/quorum/readindex.go", "\t\tn.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, state.round))\n", "\t\tn.readIndexConfirmed(binary.BigEndian.AppendUint64(nil, state.round), n.applied)\n", agreement, "TestFreshness"},
	{"it knows what it has not followed", "internal/quorum/readindex.go", "if reply.index > n.applied {", "if false {", agreement, "TestFreshness"},
	{"a sync that was slow once bars a voter for good", "internal/quorum/node.go", "\t\t\t\t\tn.save(Record{Starts: n.starts}, nil)\n\t\t\t\t\tn.pickUpstream()\n\t\t\t\t\tn.send(n.upstream, Frame{Kind: KindRemoved})\n", "", agreement, "TestSlowDiskIsRetried"},
	{"commands of a replaced process count", "internal/quorum/members.go", "if member == nil {\n\t\treturn ErrReplaced\n\t}\n\tif c.Seq", "if member == nil {\n\t\treturn nil\n\t}\n\tif c.Seq", agreement, "TestDuplicateName"},
	{"a change of leader shortens leases", "internal/quorum/node.go", "\t\t\t\tn.lastRenewal[m.Incarnation] = n.now\n", "\t\t\t\tn.lastRenewal[m.Incarnation] = n.now - 2900\n", agreement, "TestLeaderChangeRenewsLeases"},
	{"entries without their place", "internal/quorum/peers.go", "|| f.PreviousIndex != n.applied {", "{", agreement, "TestReplicatesInOrder|TestFaults"},
	{"a goodbye is undone", "internal/quorum/members.go", "member.Standing == Left || c.Kind == cmdSilent", "c.Kind == cmdSilent", agreement, "TestLeftMemberStaysLeft"},
	{"a voter's name for who follows", "internal/quorum/peers.go", "} else if n.raft != nil && f.FromFollower {", "} else if n.raft != nil && n.voterID(from) == 0 {", agreement, "TestLostStoreNeverVotes"},
	{"a late join replaces a newer process", "internal/quorum/members.go", "} else if member.Incarnation != joining.Incarnation {", "} else if false {", agreement, "TestDelayedMemberCommands"},
	{"a word of silence counts late", "internal/quorum/members.go", "c.Kind != cmdLeave && reported.Since != member.Since", "false", agreement, "TestDelayedMemberCommands"},
	{"old beats at the start of a lead", "internal/quorum/node.go", "n.heartbeatAt, n.wasLeader = n.now, true", "n.wasLeader = true", agreement, "TestElectedLeaderStaysLeader"},
	{"a voter that lags answers nobody new", "internal/quorum/peers.go", "n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.GetVoters(), Applied: n.applied})\n", "n.send(from, Frame{Kind: KindRemoved, Voters: n.conf.GetVoters(), Applied: n.applied})\n\t\treturn\n", agreement, "TestLaggingVoterAnswers"},
	{"a restart of all replaces voters", "internal/quorum/voters.go", "max(since, n.voterChange.leaderSince)+n.settings.Replace", "since+0*n.settings.Replace", agreement, "TestMassRestartReplacesNobody"},
	{"a slow disk leads on", "internal/quorum/node.go", "if n.diskSlow && n.raft", "if false && n.raft", agreement, "TestFailedAndSlowDisks"},
	{"what waits goes out under a new incarnation", "internal/quorum/voters.go", "\tn.pending = nil\n\tif founding", "\tif founding", agreement, "TestRemovedVoterDropsPending"},
	{"a snapshot without the newcomer", "internal/quorum/node.go", "\t\tn.snapshotForLearner()\n", "", agreement, "TestVoterReplaced"},
	{"a checksum is not verified", "internal/checked/checked.go", "if len(v) < 8 || binary.BigEndian.Uint64(v) != checksum(key, v[8:]) {", "if len(v) < 8 {", disk, "TestCorruptStore"},
	{"a torn meta page is accepted", "internal/checked/checked.go", "if err := checkMetaPages(path); err != nil {", "if err := checkMetaPages(path); false {", disk, "TestCorruptStore"},
	{"an old copy that holds less votes on", "internal/quorum/storecheck.go", "case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 0:", "case cmp.Or(cmp.Compare(evidence.Mark.LogTerm, term), cmp.Compare(evidence.Mark.Index, index)) > 5:", agreement, "TestOldStoreCopy"},
	{"a store that starts twice as often votes on", "internal/quorum/storecheck.go", "case evidence.Starts >= n.starts && evidence.Nonce != n.nonce:", "case evidence.Starts >= n.starts && evidence.Nonce == 1:", agreement, "TestOldStoreCopy"},
	{"a term that nobody has is taken for a proof", "internal/quorum/storecheck.go", "case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:", "case raftpb.MessageType_MsgHup:", agreement, "TestFaults|TestMassRestart"},
	{"incarnations don't leap in a fleet made of a rest", "internal/quorum/recover.go", "n.members.LastIncarnation += incarnationLeap", "n.members.LastIncarnation += 0", agreement, "TestRecover"},
	{"an old voter does not join the fleet made of a rest", "internal/quorum/peers.go", "case slices.Contains(n.founding.Predecessors, f.Cluster):", "case false:", agreement, "TestRecover"},
	{"what was asked for is answered before it is agreed", "internal/quorum/peers.go", "\tn.pending = append(n.pending, pending)\n", "\tn.pending = append(n.pending, pending)\n\tif b := n.books[p.Command.Book]; b != nil && p.Command.Kind == \"read\" {\n\t\tn.emit(Outcome{Token: p.Token, Index: n.applied, Result: b.Apply(n.applied, p.Command)})\n\t}\n", agreement, "TestLinearizable"},
	{"a new process is covered by the word of the one before it", "internal/maintenance/state.go", "\t\t\tdelete(w.Acks, name)\n", "", yard, "TestRestartedGateway|TestEveryInterleaving"},
	{"warm without the word of its club", "internal/maintenance/state.go", "if w.Stage == Warming && !b.WarmByMajority(m, w) {", "if false {", yard, "TestWarmByMajority"},
	{"a cache that holds little is warm", "internal/maintenance/measure.go", "cache.Held/cache.Pulls < b.Inventory.Limits.WarmShare*peers.Held/peers.Pulls", "false", yard, "TestIsWarm|TestWarmByMajority"},
	{"what was measured holds nothing in", "internal/maintenance/limits.go", "o.clubPeaks[c][h] += p", "o.clubPeaks[c][h] += 0 * p", yard, "TestPeakMeter"},
	{"an hour of which little was measured takes the place of yesterday's", "internal/maintenance/measure.go", "at-p.since >= minMeasuredShare*hourMillis || p.peak >", "true || p.peak >", yard, "TestPeakMeter"},
	{"where all are held off nobody owns", "internal/owner/planner.go", "if len(eligible) == 0 && fallback != \"\" {", "if false {", owned, "TestPlannerAllHeldDown"},
	{"a purge forgets too little", "internal/purges/bounds.go", "if s.Floor = max(s.Floor, x.at); x.grouped {", "if x.grouped {", sweeps, "TestEviction"},
	{"a pattern is passed over", "internal/purges/bounds.go", "(p.Bound.Hard > hard || p.Bound.Soft > max(hard, soft)) && p.re", "latest(p.Bound) > max(hard, soft) && p.re", sweeps, "TestEviction|TestBoundsMatchModel"},
	{"another club's purge binds", "internal/purges/bounds.go", "(p.Club == \"\" || p.Club == club) &&", "", sweeps, "TestBoundsMatchModel"},
	{"a batch goes out twice", "internal/purges/statemachine.go", "case o.First != s.Next ||", "case false ||", sweeps, "TestStagesAndConfirmations"},
	{"an old owner sends batches", "internal/purges/statemachine.go", "case o.Token < b.HighestToken && !s.overdue(o.First, b.Now):", "case false:", sweeps, "TestStagesAndConfirmations"},
	{"an id with other words is taken", "internal/purges/statemachine.go", "if !reflect.DeepEqual(s.Purge, *o.Purge) {", "if false && !reflect.DeepEqual(s.Purge, *o.Purge) {", sweeps, "TestStagesAndConfirmations"},
	{"done without a gateway that is there", "internal/purges/statemachine.go", "(g.Joined || b.Now < g.Since+s.Limits.Delay)", "b.Now < g.Since+s.Limits.Delay", sweeps, "TestStagesAndConfirmations"},
	{"a lost gateway is not waited for", "internal/purges/statemachine.go", "(g.Joined || b.Now < g.Since+s.Limits.Delay)", "g.Joined", sweeps, "TestStagesAndConfirmations"},
	{"a new process goes by what the old one had read", "internal/purges/statemachine.go", "\t\t\told.Confirmed = 0\n", "", sweeps, "TestStagesAndConfirmations"},
	{"a part of a name is matched", "internal/purges/bounds.go", "regexp.Compile(`\\A(?:` + text + `)\\z`)", "regexp.Compile(text)", sweeps, "TestBoundsMatchModel"},
	{"patterns are lost by a restart", "internal/purges/bounds.go", "\t\ts.Patterns[i].re = re\n", "\t\ts.Patterns[i].re = regexp.MustCompile(\"^$\")\n\t\t_ = re\n", sweeps, "TestBoundsMatchModel"},
	{"copies are not looked at as they come in", "internal/caches/pool.go", "p.Oldest != nil && createdAt < p.Oldest(pull)", "p.Oldest != nil && createdAt < p.Oldest(pull)-1e9", front, "TestPurgeBounds"},
	{"a gateway that can't hear goes on", "internal/purges/view.go", "v.Delay > 0 && now-known > blindAfter*v.Delay {", "v.Delay > 0 && now-known > 1e9*v.Delay {", front, "TestPurgeBounds"},
	{"a frozen gateway goes by the time of before", "internal/gateway/purge_bounds.go", "Oldest(b.now(), b.knownUntil(),", "Oldest(b.knownUntil(), b.knownUntil(),", front, "TestPurgeBounds"},
	{"a stale copy answers at once", "internal/purges/view.go", "\t\treturn max(hard, soft)\n", "\t\treturn max(hard, 0*soft)\n", front, "TestPurgeBounds"},
	{"a job that was fenced keeps its grant", "internal/owner/state_machine.go", "\t\tj.endGrant(index, \"fenced\")\n", "", owned, "TestFence"},
	{"a place takes effects before it has followed the log", "internal/owner/drive/crew.go", "case c.followed.Incarnation == 0:", "case false:", crew, "TestCrew"},
	{"the log's grants are not told to the place", "internal/owner/agent.go", "actions = append(actions, Raise{j.Name, j.Token})", "", owned, "TestAgent"},
	{"an effect that was lost is waited for without an end", "internal/owner/agent.go", "if now >= x.By {", "if false {", owned, "TestAgent"},
	{"an owner that leaves is granted more", "internal/owner/state_machine.go", "case !w.There || w.Idle || w.Incarnation != c.Incarnation:", "case !w.There || w.Incarnation != c.Incarnation:", owned, "TestAgent"},
	{"the effect is told and not on the disk", "internal/owner/place/place.go", "\terr := p.db.Update(func", "\tgo p.db.Update(func(*bolt.Tx) error { return nil })\n\terr := func(f func(*bolt.Tx) error) error { return nil }(func", places, "TestPlace|TestKilledDuringWrite"},
	{"a machine is granted past a limit", "internal/maintenance/state.go", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); reason != \"\" {", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); reason == \"-\" {", yard, "TestLimits$"},
	{"a loss puts nothing back", "internal/maintenance/state.go", "\t\tif reason == \"\" {\n\t\t\treturn\n\t\t}\n\t\tvar newest", "\t\tif reason != \"-\" {\n\t\t\treturn\n\t\t}\n\t\tvar newest", yard, "TestLimits$"},
	{"a machine goes without word of the others", "internal/maintenance/state.go", "pending := b.PendingAcks(w, m)\n\t\tif len", "pending := b.PendingAcks(w, m)[:0]\n\t\tif len", yard, "TestMachineLifecycle"},
	{"a machine goes on a grant that was withdrawn", "internal/maintenance/state.go", "if o.Token == 0 || o.Token != w.Token {", "if false {", yard, "TestMachineLifecycle"},
	{"a grant that was withdrawn keeps its token", "internal/maintenance/state.go", "w.Token, w.Acks, w.Without, w.Warm = 0, nil, nil, nil", "w.Acks, w.Without, w.Warm = nil, nil, nil", yard, "TestMachineLifecycle"},
	{"tokens of grants do not rise", "internal/maintenance/state.go", "\t\t\tb.LastToken++\n", "\t\t\tb.LastToken = max(b.LastToken, 1)\n", yard, "TestMachineLifecycle"},
	{"what is on its way back does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Warming {", yard, "TestMachineLifecycle"},
	{"what is overdue does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Overdue {", yard, "TestGoWaitsForAcks"},
	{"a voter goes that a majority needs", "internal/maintenance/limits.go", "own > 0 && remaining-1", "own > 9 && remaining-1", yard, "TestLimits$"},
	{"an old owner of the schedule grants", "internal/maintenance/state.go", "if o.OwnerToken < b.OwnerToken {", "if false {", yard, "TestOldSchedulerIsRefused"},
	{"a gateway lost just now is not waited for", "internal/maintenance/state.go", "!g.Live && b.Now >= g.Since+b.Inventory.Limits.Grace {", "!g.Live {", yard, "TestGoWaitsForAcks"},
	{"a stage changes outside the table", "internal/maintenance/state.go", "if !slices.Contains(Transitions, Transition{w.Stage, to, by, kind}) {", "if false {", yard, "TestMachineLifecycle"},
	{"what is late is planned as in", "internal/maintenance/plan.go", "return max(end, b.Now+1000)", "return end", yard, "TestPlanWaitsForLateMachines"},
	{"token check left out at the place", "internal/owner/token_checker.go", "token < newer {", "token < newer && false {", owned, "TestStaleOwnerFenced"},
	{"a floor is not kept for what is forgotten", "internal/owner/token_checker.go", "c.floor = max(c.floor, c.jobs[oldest].token)", "", owned, "TestRefusals"},
	{"meant not agreed first", "internal/owner/executor.go", "if j.Type == Unsafe && j.Intended[step] != owned.token {", "if false {", owned, "TestStaleOwnerFenced"},
	{"tokens do not rise", "internal/owner/state_machine.go", "\tb.LastToken++\n", "\tb.LastToken = max(b.LastToken, 1)\n", owned, "TestStaleOwnerFenced"},
	{"a lost owner keeps its grant", "internal/owner/state_machine.go", "if j.Owner == name && (!w.There || j.Incarnation != w.Incarnation) {", "if false {", owned, "TestStaleOwnerFenced"},
	{"what was meant is forgotten", "internal/owner/state_machine.go", "\tj.Uncertain[step] = j.Intended[step]\n", "", owned, "TestStaleOwnerFenced"},
	{"old tokens may say done", "internal/owner/state_machine.go", "} else if c.Token != j.Token || j.Owner == \"\" {", "} else if false {", owned, "TestStaleOwnerFenced"},
	{"a second owner beside the first", "internal/owner/state_machine.go", "case j.Owner != \"\":", "case false:", owned, "TestStaleOwnerFenced"},
	{"what may have run goes out again", "internal/owner/executor.go", "case t == Unsafe && e == Perhaps:", "case false:", owned, "TestStepOutcomes"},
	{"what ended is told once and never again", "internal/owner/executor.go", "\t\t\tactions = append(actions, owned.unconfirmed[step])\n", "\t\t\t_ = step\n", owned, "TestUnconfirmedProposalsResent"},
	{"flapping is not held off", "internal/owner/planner.go", "if worker.There && !worker.Idle && now >= obs.since+holdDown {", "if worker.There && !worker.Idle && now >= obs.since+0*holdDown {", owned, "TestPlanner"},
}

func main() {
	dir, err := os.MkdirTemp("", "bite")
	if err == nil {
		err = run(dir)
	}
	os.RemoveAll(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bite:", err)
		os.Exit(1)
	}
}

func run(dir string) error {
	for _, part := range []string{"go.mod", "go.sum", "internal", "router"} {
		if out, err := exec.Command("cp", "-r", part, dir).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w", out, err)
		}
	}
	missed := 0
	for _, f := range slices.Concat(faults, crossings) {
		if len(os.Args) > 1 && !strings.Contains(f.file, os.Args[1]) {
			continue
		}
		path := filepath.Join(dir, f.file)
		good, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if strings.Count(string(good), f.from) != 1 {
			return fmt.Errorf("%s: %s: the line to be put wrong is not there once", f.file, f.name)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(good), f.from, f.to, 1)), 0o600); err != nil {
			return err
		}
		vet := exec.Command("go", "build", f.dir)
		vet.Dir = dir
		if out, err := vet.CombinedOutput(); err != nil {
			return fmt.Errorf("%s: does not build: %s", f.name, out)
		}
		test := exec.Command("go", "test", "-count=1", "-timeout", "120s", "-run", f.test, f.dir)
		test.Dir = dir
		out, err := test.CombinedOutput()
		verdict, first := "caught", ""
		if err == nil {
			verdict = "MISSED"
			missed++
		}
		for _, l := range strings.Split(string(out), "\n") {
			if l = strings.TrimSpace(l); strings.HasPrefix(l, "--- FAIL") || strings.HasPrefix(l, "panic: ") {
				first = l
				break
			}
		}
		fmt.Printf("%-42s %s  %s\n", f.name, verdict, first)
		if err := os.WriteFile(path, good, 0o600); err != nil {
			return err
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d faults are caught by nothing", missed, len(faults))
	}
	return nil
}
