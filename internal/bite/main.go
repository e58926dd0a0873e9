// Command bite is a mutation test: it injects faults into a copy of the code, one at a time, and reports whether the
// test named for each fault fails. A fault that no test catches shows a missing test.
//
//	go run ./internal/bite                 # all faults, from the module root; takes some minutes
//	go run ./internal/bite internal/owner  # only faults in files whose path contains the argument
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
	quorumPackage      = "./internal/quorum"
	quorumDrivePackage = "./internal/quorum/drive"
	ownerPackage       = "./internal/owner"
	ownerPlacePackage  = "./internal/owner/place"
	maintenancePackage = "./internal/maintenance"
	purgesPackage      = "./internal/purges"
	gatewayPackage     = "./internal/gateway"
	ownerDrivePackage  = "./internal/owner/drive"
)

// faults are the faults in all parts of the gateway; raceFaults has more.
var faults = []fault{
	{"save without sync", "internal/quorum/node.go", "\t\tn.save(rec, done)\n",
		"\t\tif rec.Snapshot == nil {\n\t\t\trec.Hard, rec.Entries = nil, nil\n\t\t}\n\t\tn.save(rec, func() {})\n\t\tdone()\n", quorumPackage, "TestAgrees"},
	{"a voter with a lost store resumes its old identity", "internal/quorum/node.go", "if n.id.ID == 0 {", "if n.id = (Identity{ID: 9 + uint64(set.Name[1]), Name: set.Name}); store.Identity.ID == 0 {",
		quorumPackage, "TestLostStoreNeverVotes"},
	{"founding on the basis of a stale reply", "internal/quorum/peers.go", "if f.Echo == n.nonce && f.Cluster == 0 &&", "if f.Cluster == 0 &&", quorumPackage, "TestOldWordFoundsNothing"},
	{"founding without all founders", "internal/quorum/peers.go", "n.now > h.at+n.set.Election {\n\t\t\treturn", "n.now > h.at+n.set.Election {\n\t\t\tcontinue", quorumPackage, "TestFoundsOnce"},
	{"a duplicate command is applied twice", "internal/quorum/members.go", "if c.Seq <= x.Seq {", "if false {", quorumPackage, "TestAgrees|TestFaults"},
	{"commands are applied out of order", "internal/quorum/members.go", "} else if c.Seq != x.Seq+1 {", "} else if false {", quorumPackage, "TestAgrees"},
	{"a lost command waits for its regular retry", "internal/quorum/peers.go", "if n.early && n.now >= n.inTurn {", "if false {", quorumPackage, "TestLostAsks"},
	{"a lagging gateway sends its old state to others", "internal/quorum/peers.go", "\t\treturn // this gateway itself lags", "\t\tf.Snapshot = n.state() // this gateway itself lags", quorumPackage, "TestSight"},
	{"a leader confirms a read index without a majority", "internal/quorum/sight.go", "\t\tn.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, s.round))\n", "\t\tn.confirmed(binary.BigEndian.AppendUint64(nil, s.round), n.applied)\n", quorumPackage, "TestSight"},
	{"a view counts as fresh before the log is applied", "internal/quorum/sight.go", "if x.index > n.applied {", "if false {", quorumPackage, "TestSight"},
	{"one slow sync excludes a voter permanently", "internal/quorum/node.go", "\t\t\t\t\tn.save(Record{Starts: n.starts}, nil)\n\t\t\t\t\tn.pickHost()\n\t\t\t\t\tn.send(n.host, Frame{Kind: Removed})\n", "", quorumPackage, "TestSlowOnce"},
	{"commands of a replaced process are applied", "internal/quorum/members.go", "if x == nil {\n\t\treturn ErrReplaced\n\t}\n\tif c.Seq", "if x == nil {\n\t\treturn nil\n\t}\n\tif c.Seq", quorumPackage, "TestDoubled"},
	{"a change of leader shortens leases", "internal/quorum/node.go", "\t\t\t\tn.renewed[m.Incarnation] = n.now\n", "\t\t\t\tn.renewed[m.Incarnation] = n.now - 2900\n", quorumPackage, "TestChangeOfLeader"},
	{"entries are applied without a check of their index", "internal/quorum/peers.go", "|| f.After != n.applied {", "{", quorumPackage, "TestAgrees|TestFaults"},
	{"a member that left can be marked present again", "internal/quorum/members.go", "x.Standing == Left || c.Kind == silent", "c.Kind == silent", quorumPackage, "TestGoodbyeHolds"},
	{"a follower is recognized by its name alone", "internal/quorum/peers.go", "} else if n.raft != nil && f.Follows {", "} else if n.raft != nil && n.voter(from) == 0 {", quorumPackage, "TestLostStoreNeverVotes"},
	{"a late join replaces a newer process", "internal/quorum/members.go", "} else if x.Incarnation != j.Incarnation {", "} else if false {", quorumPackage, "TestLateWords"},
	{"a late report of silence is applied", "internal/quorum/members.go", "c.Kind != leaves && said.Since != x.Since", "false", quorumPackage, "TestLateWords"},
	{"a new leader counts heartbeats from before its election", "internal/quorum/node.go", "n.beatAt, n.led = n.now, true", "n.led = true", quorumPackage, "TestElectedLeadsOn"},
	{"a lagging voter does not answer new gateways", "internal/quorum/peers.go", "n.send(from, Frame{Kind: Removed, Voters: n.conf.GetVoters(), Applied: n.applied})\n", "n.send(from, Frame{Kind: Removed, Voters: n.conf.GetVoters(), Applied: n.applied})\n\t\treturn\n", quorumPackage, "TestLaggingVoterAnswers"},
	{"a restart of all gateways replaces voters", "internal/quorum/council.go", "max(at, n.council.began)+n.set.Replace", "at+0*n.set.Replace", quorumPackage, "TestMassRestartReplacesNobody"},
	{"a leader with a slow disk stays leader", "internal/quorum/node.go", "if n.slow && n.raft", "if false && n.raft", quorumPackage, "TestDisks"},
	{"waiting commands are sent under a new incarnation", "internal/quorum/council.go", "\tn.open = nil\n\tif founding", "\tif founding", quorumPackage, "TestRemovedDropsWhatWaits"},
	{"a snapshot without the new voter", "internal/quorum/node.go", "\t\tn.welcome()\n", "", quorumPackage, "TestVoterReplaced"},
	{"a checksum is not verified", "internal/checked/checked.go", "if len(v) < 8 || binary.BigEndian.Uint64(v) != sum(key, v[8:]) {", "if len(v) < 8 {", quorumDrivePackage, "TestSpoilt"},
	{"a torn file header is ignored", "internal/checked/checked.go", "if err := heads(path); err != nil {", "if err := heads(path); false {", quorumDrivePackage, "TestSpoilt"},
	{"a voter with an old copy of its store keeps voting", "internal/quorum/prove.go", "case cmp.Or(cmp.Compare(k.Mark.LogTerm, term), cmp.Compare(k.Mark.Index, index)) > 0:", "case cmp.Or(cmp.Compare(k.Mark.LogTerm, term), cmp.Compare(k.Mark.Index, index)) > 5:", quorumPackage, "TestOldCopy"},
	{"a copied store started as often keeps voting", "internal/quorum/prove.go", "case k.Starts >= n.starts && k.Nonce != n.nonce:", "case k.Starts >= n.starts && k.Nonce == 1:", quorumPackage, "TestOldCopy"},
	{"a pre-vote term is taken as a proof", "internal/quorum/prove.go", "case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:", "case raftpb.MessageType_MsgHup:", quorumPackage, "TestFaults|TestMassRestart"},
	{"incarnations don't jump in a recovered fleet", "internal/quorum/recover.go", "n.members.Last += leap", "n.members.Last += 0", quorumPackage, "TestRecover"},
	{"an old voter does not join the recovered fleet", "internal/quorum/peers.go", "case slices.Contains(n.founded.Was, f.Cluster):", "case false:", quorumPackage, "TestRecover"},
	{"a command is answered before it is agreed", "internal/quorum/peers.go", "\tn.open = append(n.open, q)\n", "\tn.open = append(n.open, q)\n\tif b := n.books[p.Command.Book]; b != nil && p.Command.Kind == \"read\" {\n\t\tn.do(Outcome{Token: p.Token, Index: n.applied, Result: b.Apply(n.applied, p.Command)})\n\t}\n", quorumPackage, "TestLinearizable"},
	{"a new process inherits the acknowledgement of the previous one", "internal/maintenance/book.go", "\t\t\tdelete(w.Acks, name)\n", "", maintenancePackage, "TestNewProcess|TestEveryInterleaving"},
	{"a cache counts as warm without confirmation by its club", "internal/maintenance/book.go", "if w.Stage == Warming && !b.WarmBy(m, w) {", "if false {", maintenancePackage, "TestWarmByItsClub"},
	{"a cache that holds little counts as warm", "internal/maintenance/measure.go", "x.Held/x.Pulls < b.Inventory.Limits.WarmShare*like.Held/like.Pulls", "false", maintenancePackage, "TestWarm"},
	{"measured peaks are ignored", "internal/maintenance/limits.go", "t.peaks[c][h] += p", "t.peaks[c][h] += 0 * p", maintenancePackage, "TestGauge"},
	{"a barely measured hour replaces yesterday's", "internal/maintenance/measure.go", "at-g.from >= whole*hour || g.most >", "true || g.most >", maintenancePackage, "TestGauge"},
	{"no owner is planned if all candidates are held off", "internal/owner/plan.go", "if len(able) == 0 && rest != \"\" {", "if false {", ownerPackage, "TestPlannerWithoutChoice"},
	{"forgetting purges does not raise the floor", "internal/purges/shelf.go", "if s.Floor = max(s.Floor, x.at); x.is {", "if x.is {", purgesPackage, "TestForgets"},
	{"a pattern purge is ignored", "internal/purges/shelf.go", "(p.Bound.Hard > hard || p.Bound.Soft > max(hard, soft)) && p.re", "newest(p.Bound) > max(hard, soft) && p.re", purgesPackage, "TestForgets|TestHolds"},
	{"a purge applies to another club", "internal/purges/shelf.go", "(p.Club == \"\" || p.Club == club) &&", "", purgesPackage, "TestHolds"},
	{"a batch is sent twice", "internal/purges/book.go", "case o.First != s.Next ||", "case false ||", purgesPackage, "TestWhoHasFollowed"},
	{"an old owner sends batches", "internal/purges/book.go", "case o.Owned < b.Owned && !s.overdue(o.First, b.Now):", "case false:", purgesPackage, "TestWhoHasFollowed"},
	{"a purge id with different content is accepted", "internal/purges/book.go", "if !reflect.DeepEqual(s.Purge, *o.Purge) {", "if false && !reflect.DeepEqual(s.Purge, *o.Purge) {", purgesPackage, "TestWhoHasFollowed"},
	{"a purge is done without a present gateway", "internal/purges/book.go", "(g.There || b.Now < g.Since+s.Limits.Delay)", "b.Now < g.Since+s.Limits.Delay", purgesPackage, "TestWhoHasFollowed"},
	{"a purge does not wait for a lost gateway", "internal/purges/book.go", "(g.There || b.Now < g.Since+s.Limits.Delay)", "g.There", purgesPackage, "TestWhoHasFollowed"},
	{"a new process inherits the progress of the previous one", "internal/purges/book.go", "\t\t\told.Seen = 0\n", "", purgesPackage, "TestWhoHasFollowed"},
	{"a pattern matches part of a name", "internal/purges/shelf.go", "regexp.Compile(`\\A(?:` + text + `)\\z`)", "regexp.Compile(text)", purgesPackage, "TestHolds"},
	{"patterns are lost in a restart", "internal/purges/shelf.go", "\t\ts.Patterns[i].re = re\n", "\t\ts.Patterns[i].re = regexp.MustCompile(\"^$\")\n\t\t_ = re\n", purgesPackage, "TestHolds"},
	{"the age of an arriving copy is not checked", "internal/caches/pool.go", "p.Oldest != nil && born < p.Oldest(q)", "p.Oldest != nil && born < p.Oldest(q)-1e9", gatewayPackage, "TestVoids"},
	{"a gateway without news of purges keeps serving", "internal/purges/view.go", "v.Delay > 0 && now-known > inTime*v.Delay {", "v.Delay > 0 && now-known > 1e9*v.Delay {", gatewayPackage, "TestVoids"},
	{"a resumed gateway uses the time before it was frozen", "internal/gateway/void.go", "Oldest(v.now(), v.known(),", "Oldest(v.known(), v.known(),", gatewayPackage, "TestVoids"},
	{"a first pull accepts a stale copy", "internal/purges/view.go", "\t\treturn max(hard, soft)\n", "\t\treturn max(hard, 0*soft)\n", gatewayPackage, "TestVoids"},
	{"a fenced job keeps its grant", "internal/owner/book.go", "\t\tj.part(index, \"fenced\")\n", "", ownerPackage, "TestFence"},
	{"a place accepts effects before it has caught up with the log", "internal/owner/drive/crew.go", "case c.stand.Incarnation == 0:", "case false:", ownerDrivePackage, "TestCrew"},
	{"the place is not told of new grants", "internal/owner/agent.go", "do = append(do, Raise{j.Name, j.Token})", "", ownerPackage, "TestAgent"},
	{"a lost effect never times out", "internal/owner/agent.go", "if now >= x.By {", "if false {", ownerPackage, "TestAgent"},
	{"a leaving owner gets new grants", "internal/owner/book.go", "case !w.There || w.Idle || w.Incarnation != c.Incarnation:", "case !w.There || w.Incarnation != c.Incarnation:", ownerPackage, "TestAgent"},
	{"an effect is confirmed before it is on disk", "internal/owner/place/place.go", "\terr := p.db.Update(func", "\tgo p.db.Update(func(*bolt.Tx) error { return nil })\n\terr := func(f func(*bolt.Tx) error) error { return nil }(func", ownerPlacePackage, "TestPlace|TestKilled"},
	{"a machine is granted beyond a limit", "internal/maintenance/book.go", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); why != \"\" {", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); why == \"-\" {", maintenancePackage, "TestLimits$"},
	{"a loss withdraws no grants", "internal/maintenance/book.go", "\t\tif why == \"\" {\n\t\t\treturn\n\t\t}\n\t\tvar last", "\t\tif why != \"-\" {\n\t\t\treturn\n\t\t}\n\t\tvar last", maintenancePackage, "TestLimits$"},
	{"a machine goes out without acknowledgements", "internal/maintenance/book.go", "waits := b.Waits(w, m)\n\t\tif len", "waits := b.Waits(w, m)[:0]\n\t\tif len", maintenancePackage, "TestLifeOfOne"},
	{"a machine goes out on a withdrawn grant", "internal/maintenance/book.go", "if o.Token == 0 || o.Token != w.Token {", "if false {", maintenancePackage, "TestLifeOfOne"},
	{"a withdrawn grant keeps its token", "internal/maintenance/book.go", "w.Token, w.Acks, w.Without, w.Warm = 0, nil, nil, nil", "w.Acks, w.Without, w.Warm = nil, nil, nil", maintenancePackage, "TestLifeOfOne"},
	{"tokens of grants do not increase", "internal/maintenance/book.go", "\t\t\tb.Last++\n", "\t\t\tb.Last = max(b.Last, 1)\n", maintenancePackage, "TestLifeOfOne"},
	{"a warming machine does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Warming {", maintenancePackage, "TestLifeOfOne"},
	{"an overdue machine does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Overdue {", maintenancePackage, "TestBarrier"},
	{"a voter needed for a majority goes out", "internal/maintenance/limits.go", "mine > 0 && left-1", "mine > 9 && left-1", maintenancePackage, "TestLimits$"},
	{"an old owner of the schedule grants", "internal/maintenance/book.go", "if o.Owned < b.Owned {", "if false {", maintenancePackage, "TestOldSchedulerIsRefused"},
	{"a machine does not wait for a just lost gateway", "internal/maintenance/book.go", "!g.There && b.Now >= g.Since+b.Inventory.Limits.Grace {", "!g.There {", maintenancePackage, "TestBarrier"},
	{"a stage changes outside the transition table", "internal/maintenance/book.go", "if !slices.Contains(Steps, Step{w.Stage, to, by, kind}) {", "if false {", maintenancePackage, "TestLifeOfOne"},
	{"an overdue machine is planned as in service", "internal/maintenance/plan.go", "return max(end, b.Now+1000)", "return end", maintenancePackage, "TestPlanWaitsForWhatIsLate"},
	{"the place does not check tokens", "internal/owner/gate.go", "token < newer {", "token < newer && false {", ownerPackage, "TestOldOwnerWakesLate"},
	{"no token floor is kept for forgotten jobs", "internal/owner/gate.go", "g.floor = max(g.floor, g.seen[old].token)", "", ownerPackage, "TestRefusals"},
	{"an unsafe step runs before its intent is agreed", "internal/owner/work.go", "if j.Type == Unsafe && j.Meant[step] != u.token {", "if false {", ownerPackage, "TestOldOwnerWakesLate"},
	{"tokens do not increase", "internal/owner/book.go", "\tb.Last++\n", "\tb.Last = max(b.Last, 1)\n", ownerPackage, "TestOldOwnerWakesLate"},
	{"a lost owner keeps its grant", "internal/owner/book.go", "if j.Owner == name && (!w.There || j.Incarnation != w.Incarnation) {", "if false {", ownerPackage, "TestOldOwnerWakesLate"},
	{"a step in doubt is forgotten", "internal/owner/book.go", "\tj.Doubt[step] = j.Meant[step]\n", "", ownerPackage, "TestOldOwnerWakesLate"},
	{"a command with an old token is accepted", "internal/owner/book.go", "} else if c.Token != j.Token || j.Owner == \"\" {", "} else if false {", ownerPackage, "TestOldOwnerWakesLate"},
	{"a second owner is granted beside the first", "internal/owner/book.go", "case j.Owner != \"\":", "case false:", ownerPackage, "TestOldOwnerWakesLate"},
	{"an unsafe step that may have run is sent again", "internal/owner/work.go", "case t == Unsafe && e == Perhaps:", "case false:", ownerPackage, "TestEnds"},
	{"the end of a step is reported only once", "internal/owner/work.go", "\t\t\tdo = append(do, u.told[step])\n", "\t\t\t_ = step\n", ownerPackage, "TestToldAgain"},
	{"a flapping owner is not held off", "internal/owner/plan.go", "if w.There && !w.Idle && now >= r.at+hold {", "if w.There && !w.Idle && now >= r.at+0*hold {", ownerPackage, "TestPlanner"},
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
