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
	{"sync left out", "internal/quorum/node.go", "\t\tn.save(rec, done)\n",
		"\t\tif rec.Snapshot == nil {\n\t\t\trec.Hard, rec.Entries = nil, nil\n\t\t}\n\t\tn.save(rec, func() {})\n\t\tdone()\n", agreement, "TestAgrees"},
	{"old identity taken back", "internal/quorum/node.go", "if n.id.ID == 0 {", "if n.id = (Identity{ID: 9 + uint64(set.Name[1]), Name: set.Name}); store.Identity.ID == 0 {",
		agreement, "TestLostStoreNeverVotes"},
	{"founding by old word", "internal/quorum/peers.go", "if f.Echo == n.nonce && f.Cluster == 0 &&", "if f.Cluster == 0 &&", agreement, "TestOldWordFoundsNothing"},
	{"founding without all founders", "internal/quorum/peers.go", "n.now > h.at+n.set.Election {\n\t\t\treturn", "n.now > h.at+n.set.Election {\n\t\t\tcontinue", agreement, "TestFoundsOnce"},
	{"commands that come twice count twice", "internal/quorum/members.go", "if c.Seq <= x.Seq {", "if false {", agreement, "TestAgrees|TestFaults"},
	{"commands count out of order", "internal/quorum/members.go", "} else if c.Seq != x.Seq+1 {", "} else if false {", agreement, "TestAgrees"},
	{"what was lost waits for its time", "internal/quorum/peers.go", "if n.early && n.now >= n.inTurn {", "if false {", agreement, "TestLostAsks"},
	{"one that lags takes others back in time", "internal/quorum/peers.go", "\t\treturn // this gateway itself lags", "\t\tf.Snapshot = n.state() // this gateway itself lags", agreement, "TestSight"},
	{"a leader answers without a majority how far the log goes", "internal/quorum/sight.go", "\t\tn.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, s.round))\n", "\t\tn.confirmed(binary.BigEndian.AppendUint64(nil, s.round), n.applied)\n", agreement, "TestSight"},
	{"it knows what it has not followed", "internal/quorum/sight.go", "if x.index > n.applied {", "if false {", agreement, "TestSight"},
	{"a sync that was slow once bars a voter for good", "internal/quorum/node.go", "\t\t\t\t\tn.save(Record{Starts: n.starts}, nil)\n\t\t\t\t\tn.pickHost()\n\t\t\t\t\tn.send(n.host, Frame{Kind: Removed})\n", "", agreement, "TestSlowOnce"},
	{"commands of a replaced process count", "internal/quorum/members.go", "if x == nil {\n\t\treturn ErrReplaced\n\t}\n\tif c.Seq", "if x == nil {\n\t\treturn nil\n\t}\n\tif c.Seq", agreement, "TestDoubled"},
	{"a change of leader shortens leases", "internal/quorum/node.go", "\t\t\t\tn.renewed[m.Incarnation] = n.now\n", "\t\t\t\tn.renewed[m.Incarnation] = n.now - 2900\n", agreement, "TestChangeOfLeader"},
	{"entries without their place", "internal/quorum/peers.go", "|| f.After != n.applied {", "{", agreement, "TestAgrees|TestFaults"},
	{"a goodbye is undone", "internal/quorum/members.go", "x.Standing == Left || c.Kind == silent", "c.Kind == silent", agreement, "TestGoodbyeHolds"},
	{"a voter's name for who follows", "internal/quorum/peers.go", "} else if n.raft != nil && f.Follows {", "} else if n.raft != nil && n.voter(from) == 0 {", agreement, "TestLostStoreNeverVotes"},
	{"a late join replaces a newer process", "internal/quorum/members.go", "} else if x.Incarnation != j.Incarnation {", "} else if false {", agreement, "TestLateWords"},
	{"a word of silence counts late", "internal/quorum/members.go", "c.Kind != leaves && said.Since != x.Since", "false", agreement, "TestLateWords"},
	{"old beats at the start of a lead", "internal/quorum/node.go", "n.beatAt, n.led = n.now, true", "n.led = true", agreement, "TestElectedLeadsOn"},
	{"a voter that lags answers nobody new", "internal/quorum/peers.go", "n.send(from, Frame{Kind: Removed, Voters: n.conf.GetVoters(), Applied: n.applied})\n", "n.send(from, Frame{Kind: Removed, Voters: n.conf.GetVoters(), Applied: n.applied})\n\t\treturn\n", agreement, "TestLaggingVoterAnswers"},
	{"a restart of all replaces voters", "internal/quorum/council.go", "max(at, n.council.began)+n.set.Replace", "at+0*n.set.Replace", agreement, "TestMassRestartReplacesNobody"},
	{"a slow disk leads on", "internal/quorum/node.go", "if n.slow && n.raft", "if false && n.raft", agreement, "TestDisks"},
	{"what waits goes out under a new incarnation", "internal/quorum/council.go", "\tn.open = nil\n\tif founding", "\tif founding", agreement, "TestRemovedDropsWhatWaits"},
	{"a snapshot without the newcomer", "internal/quorum/node.go", "\t\tn.welcome()\n", "", agreement, "TestVoterReplaced"},
	{"a checksum is not looked at", "internal/checked/checked.go", "if len(v) < 8 || binary.BigEndian.Uint64(v) != sum(key, v[8:]) {", "if len(v) < 8 {", disk, "TestSpoilt"},
	{"a torn head is passed over", "internal/checked/checked.go", "if err := heads(path); err != nil {", "if err := heads(path); false {", disk, "TestSpoilt"},
	{"an old copy that holds less votes on", "internal/quorum/prove.go", "case cmp.Or(cmp.Compare(k.Mark.LogTerm, term), cmp.Compare(k.Mark.Index, index)) > 0:", "case cmp.Or(cmp.Compare(k.Mark.LogTerm, term), cmp.Compare(k.Mark.Index, index)) > 5:", agreement, "TestOldCopy"},
	{"a store that starts twice as often votes on", "internal/quorum/prove.go", "case k.Starts >= n.starts && k.Nonce != n.nonce:", "case k.Starts >= n.starts && k.Nonce == 1:", agreement, "TestOldCopy"},
	{"a term that nobody has is taken for a proof", "internal/quorum/prove.go", "case raftpb.MessageType_MsgPreVote, raftpb.MessageType_MsgPreVoteResp:", "case raftpb.MessageType_MsgHup:", agreement, "TestFaults|TestMassRestart"},
	{"incarnations don't leap in a fleet made of a rest", "internal/quorum/recover.go", "n.members.Last += leap", "n.members.Last += 0", agreement, "TestRecover"},
	{"an old voter does not join the fleet made of a rest", "internal/quorum/peers.go", "case slices.Contains(n.founded.Was, f.Cluster):", "case false:", agreement, "TestRecover"},
	{"what was asked for is answered before it is agreed", "internal/quorum/peers.go", "\tn.open = append(n.open, q)\n", "\tn.open = append(n.open, q)\n\tif b := n.books[p.Command.Book]; b != nil && p.Command.Kind == \"read\" {\n\t\tn.do(Outcome{Token: p.Token, Index: n.applied, Result: b.Apply(n.applied, p.Command)})\n\t}\n", agreement, "TestLinearizable"},
	{"a new process is covered by the word of the one before it", "internal/maintenance/book.go", "\t\t\tdelete(w.Acks, name)\n", "", yard, "TestNewProcess|TestEveryInterleaving"},
	{"warm without the word of its club", "internal/maintenance/book.go", "if w.Stage == Warming && !b.WarmBy(m, w) {", "if false {", yard, "TestWarmByItsClub"},
	{"a cache that holds little is warm", "internal/maintenance/measure.go", "x.Held/x.Pulls < b.Inventory.Limits.WarmShare*like.Held/like.Pulls", "false", yard, "TestWarm"},
	{"what was measured holds nothing in", "internal/maintenance/limits.go", "t.peaks[c][h] += p", "t.peaks[c][h] += 0 * p", yard, "TestGauge"},
	{"an hour of which little was measured takes the place of yesterday's", "internal/maintenance/measure.go", "at-g.from >= whole*hour || g.most >", "true || g.most >", yard, "TestGauge"},
	{"where all are held off nobody owns", "internal/owner/plan.go", "if len(able) == 0 && rest != \"\" {", "if false {", owned, "TestPlannerWithoutChoice"},
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
	{"copies are not looked at as they come in", "internal/caches/pool.go", "p.Oldest != nil && born < p.Oldest(q)", "p.Oldest != nil && born < p.Oldest(q)-1e9", front, "TestVoids"},
	{"a gateway that can't hear goes on", "internal/purges/view.go", "v.Delay > 0 && now-known > blindAfter*v.Delay {", "v.Delay > 0 && now-known > 1e9*v.Delay {", front, "TestVoids"},
	{"a frozen gateway goes by the time of before", "internal/gateway/void.go", "Oldest(v.now(), v.known(),", "Oldest(v.known(), v.known(),", front, "TestVoids"},
	{"a stale copy answers at once", "internal/purges/view.go", "\t\treturn max(hard, soft)\n", "\t\treturn max(hard, 0*soft)\n", front, "TestVoids"},
	{"a job that was fenced keeps its grant", "internal/owner/book.go", "\t\tj.part(index, \"fenced\")\n", "", owned, "TestFence"},
	{"a place takes effects before it has followed the log", "internal/owner/drive/crew.go", "case c.stand.Incarnation == 0:", "case false:", crew, "TestCrew"},
	{"the log's grants are not told to the place", "internal/owner/agent.go", "do = append(do, Raise{j.Name, j.Token})", "", owned, "TestAgent"},
	{"an effect that was lost is waited for without an end", "internal/owner/agent.go", "if now >= x.By {", "if false {", owned, "TestAgent"},
	{"an owner that leaves is granted more", "internal/owner/book.go", "case !w.There || w.Idle || w.Incarnation != c.Incarnation:", "case !w.There || w.Incarnation != c.Incarnation:", owned, "TestAgent"},
	{"the effect is told and not on the disk", "internal/owner/place/place.go", "\terr := p.db.Update(func", "\tgo p.db.Update(func(*bolt.Tx) error { return nil })\n\terr := func(f func(*bolt.Tx) error) error { return nil }(func", places, "TestPlace|TestKilled"},
	{"a machine is granted past a limit", "internal/maintenance/book.go", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); why != \"\" {", "m, b.Now, b.Now+w.Request.Takes+b.Inventory.Limits.Warm)); why == \"-\" {", yard, "TestLimits$"},
	{"a loss puts nothing back", "internal/maintenance/book.go", "\t\tif why == \"\" {\n\t\t\treturn\n\t\t}\n\t\tvar last", "\t\tif why != \"-\" {\n\t\t\treturn\n\t\t}\n\t\tvar last", yard, "TestLimits$"},
	{"a machine goes without word of the others", "internal/maintenance/book.go", "waits := b.Waits(w, m)\n\t\tif len", "waits := b.Waits(w, m)[:0]\n\t\tif len", yard, "TestLifeOfOne"},
	{"a machine goes on a grant that was withdrawn", "internal/maintenance/book.go", "if o.Token == 0 || o.Token != w.Token {", "if false {", yard, "TestLifeOfOne"},
	{"a grant that was withdrawn keeps its token", "internal/maintenance/book.go", "w.Token, w.Acks, w.Without, w.Warm = 0, nil, nil, nil", "w.Acks, w.Without, w.Warm = nil, nil, nil", yard, "TestLifeOfOne"},
	{"tokens of grants do not rise", "internal/maintenance/book.go", "\t\t\tb.Last++\n", "\t\t\tb.Last = max(b.Last, 1)\n", yard, "TestLifeOfOne"},
	{"what is on its way back does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Warming {", yard, "TestLifeOfOne"},
	{"what is overdue does not count as out", "internal/maintenance/limits.go", "w.Stage >= Granted {", "w.Stage >= Granted && w.Stage != Overdue {", yard, "TestBarrier"},
	{"a voter goes that a majority needs", "internal/maintenance/limits.go", "mine > 0 && left-1", "mine > 9 && left-1", yard, "TestLimits$"},
	{"an old owner of the schedule grants", "internal/maintenance/book.go", "if o.Owned < b.Owned {", "if false {", yard, "TestOldSchedulerIsRefused"},
	{"a gateway lost just now is not waited for", "internal/maintenance/book.go", "!g.There && b.Now >= g.Since+b.Inventory.Limits.Grace {", "!g.There {", yard, "TestBarrier"},
	{"a stage changes outside the table", "internal/maintenance/book.go", "if !slices.Contains(Steps, Step{w.Stage, to, by, kind}) {", "if false {", yard, "TestLifeOfOne"},
	{"what is late is planned as in", "internal/maintenance/plan.go", "return max(end, b.Now+1000)", "return end", yard, "TestPlanWaitsForWhatIsLate"},
	{"token check left out at the place", "internal/owner/gate.go", "token < newer {", "token < newer && false {", owned, "TestOldOwnerWakesLate"},
	{"a floor is not kept for what is forgotten", "internal/owner/gate.go", "g.floor = max(g.floor, g.seen[old].token)", "", owned, "TestRefusals"},
	{"meant not agreed first", "internal/owner/work.go", "if j.Type == Unsafe && j.Meant[step] != u.token {", "if false {", owned, "TestOldOwnerWakesLate"},
	{"tokens do not rise", "internal/owner/book.go", "\tb.Last++\n", "\tb.Last = max(b.Last, 1)\n", owned, "TestOldOwnerWakesLate"},
	{"a lost owner keeps its grant", "internal/owner/book.go", "if j.Owner == name && (!w.There || j.Incarnation != w.Incarnation) {", "if false {", owned, "TestOldOwnerWakesLate"},
	{"what was meant is forgotten", "internal/owner/book.go", "\tj.Doubt[step] = j.Meant[step]\n", "", owned, "TestOldOwnerWakesLate"},
	{"old tokens may say done", "internal/owner/book.go", "} else if c.Token != j.Token || j.Owner == \"\" {", "} else if false {", owned, "TestOldOwnerWakesLate"},
	{"a second owner beside the first", "internal/owner/book.go", "case j.Owner != \"\":", "case false:", owned, "TestOldOwnerWakesLate"},
	{"what may have run goes out again", "internal/owner/work.go", "case t == Unsafe && e == Perhaps:", "case false:", owned, "TestEnds"},
	{"what ended is told once and never again", "internal/owner/work.go", "\t\t\tdo = append(do, u.told[step])\n", "\t\t\t_ = step\n", owned, "TestToldAgain"},
	{"flapping is not held off", "internal/owner/plan.go", "if w.There && !w.Idle && now >= r.at+hold {", "if w.There && !w.Idle && now >= r.at+0*hold {", owned, "TestPlanner"},
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
