package driver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"

	"poppymill/internal/boltstore"
	"poppymill/internal/operator"
	"poppymill/internal/quorum"
)

// entry returns a log entry.
func entry(index, term uint64, text string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

// hardState returns raft's state of a voter.
func hardState(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Commit: &commit}
}

// snapshot returns a snapshot up to an index, with one voter.
func snapshot(index uint64) *raftpb.Snapshot {
	term := uint64(1)
	return &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{7}}}}
}

// describe returns the content of a store as text.
func describe(s quorum.Store) string {
	text := fmt.Sprintf("%v commit %d after %d:", s.Identity, s.HardState.GetCommit(), s.Snapshot.GetMetadata().GetIndex())
	for _, e := range s.Entries {
		text += fmt.Sprintf(" %d/%d %s", e.GetIndex(), e.GetTerm(), e.Data)
	}
	return text
}

// A record is there after a restart. Later entries replace all earlier ones from their first index on, a snapshot of a
// leader replaces the whole log, and one of the node's own keeps the entries after it.
func TestStoreReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agreed")
	for i, c := range []struct {
		record quorum.Record
		want   string
	}{
		{quorum.Record{Identity: &quorum.Identity{ID: 7, Name: "g"}}, "{7 g} commit 0 after 0:"},
		{quorum.Record{Snapshot: snapshot(1), HardState: hardState(1, 1)}, "{7 g} commit 1 after 1:"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(2, 1, "a"), entry(3, 1, "b"), entry(4, 1, "c")}}, "{7 g} commit 1 after 1: 2/1 a 3/1 b 4/1 c"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(3, 2, "d")}, HardState: hardState(2, 3)}, "{7 g} commit 3 after 1: 2/1 a 3/2 d"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(4, 2, "e")}}, "{7 g} commit 3 after 1: 2/1 a 3/2 d 4/2 e"},
		{quorum.Record{Snapshot: snapshot(3), Compact: 2}, "{7 g} commit 3 after 3: 4/2 e"},
		{quorum.Record{Snapshot: snapshot(9), HardState: hardState(3, 9)}, "{7 g} commit 9 after 9:"},
	} {
		s, _, err := openStore(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.put(c.record), s.close()); err != nil {
			t.Fatal(err)
		}
		s, stored, err := openStore(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := describe(stored); got != c.want {
			t.Errorf("after record %d: %s, want %s", i, got, c.want)
		}
		s.close()
	}
}

// A store with a corrupt byte anywhere is either reported as corrupt or holds exactly what was written, or nothing.
func TestCorruptStore(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "agreed")
	s, _, err := openStore(path)
	if err != nil {
		t.Fatal(err)
	}
	s.put(quorum.Record{Identity: &quorum.Identity{ID: 7, Name: "g"}, Snapshot: snapshot(1), HardState: hardState(1, 1)})
	var all []*raftpb.Entry
	for i := range uint64(40) {
		all = append(all, entry(2+i, 1, fmt.Sprintf("entry-%02d-with-some-length", i)))
	}
	s.put(quorum.Record{Entries: all, HardState: hardState(1, 41)})
	s.close()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, stored, _ := openStore(path)
	want := describe(stored)
	detected := 0
	for at := 0; at < len(good); at += 211 - 200*min(1, max(0, 100-at%4096)) { // every 11 bytes in the first 100 of each page, every 211 elsewhere
		bad := append([]byte{}, good...)
		bad[at] ^= 0x5a
		other := filepath.Join(dir, fmt.Sprint("bad", at))
		if err := os.WriteFile(other, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, stored, err := openStore(other)
		if err == nil {
			if got := describe(stored); got != want && got != "{0 } commit 0 after 0:" {
				t.Errorf("with byte %d corrupt the store holds %s", at, got)
			}
			s.close()
		} else if detected++; !boltstore.IsCorrupt(err) {
			t.Errorf("with byte %d corrupt: %v", at, err)
		}
		os.Remove(other)
	}
	if detected < 10 {
		t.Errorf("only %d corrupt stores were detected", detected)
	}
}

// killAt names the environment variable with the store, and the step of a write at which a child process of the test
// sends itself SIGKILL.
const killAt = "POPPYMILL_TEST_KILL_AT"

func TestMain(m *testing.M) {
	if at := os.Getenv(killAt); at != "" {
		path, step, _ := strings.Cut(at, "|")
		s, stored, err := openStore(path)
		if err != nil {
			fmt.Println(err)
			os.Exit(3)
		}
		next := uint64(len(stored.Entries)) + 1
		for ; ; next++ {
			s.onStep = func(reached string) {
				if reached == step && next%5 == 0 {
					syscall.Kill(os.Getpid(), syscall.SIGKILL)
				}
			}
			if err := s.put(quorum.Record{Entries: []*raftpb.Entry{entry(next, 1, "x")}, HardState: hardState(1, next)}); err != nil {
				os.Exit(4)
			}
			fmt.Println(next)
		}
	}
	os.Exit(m.Run())
}

// A process is killed with SIGKILL at each step of a write, repeatedly. All entries it reported as written must be in the
// store, and at most one more.
func TestKilledDuringWrite(t *testing.T) {
	for _, step := range []string{"before", "written", "synced"} {
		path := filepath.Join(t.TempDir(), "agreed")
		for range 3 {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), killAt+"="+path+"|"+step)
			out, err := cmd.Output()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("%s: %v", step, err)
			}
			reported := 0
			for _, line := range strings.Fields(string(out)) {
				fmt.Sscan(line, &reported)
			}
			s, stored, err := openStore(path)
			if err != nil {
				t.Fatalf("%s: %v", step, err)
			}
			n := len(stored.Entries)
			if more := n - reported; reported > 0 && (more < 0 || more > 1) || stored.HardState.GetCommit() != uint64(n) || step == "synced" && n%5 != 0 {
				t.Errorf("killed at %s: %d entries reported, %d stored, %d committed", step, reported, n, stored.HardState.GetCommit())
			}
			if step != "synced" { // else the next process would be killed at the same entry
				if err := s.put(quorum.Record{Entries: []*raftpb.Entry{entry(uint64(n+1), 1, "y")}, HardState: hardState(1, uint64(n+1))}); err != nil {
					t.Fatal(err)
				}
			}
			s.close()
		}
	}
}

// Errors of the block name the file, the line and the field.
func TestBlock(t *testing.T) {
	read := func(text string) (Block, error) {
		var b Block
		err := operator.Parse([]byte("quorum {\n"+text+"\n}\n"), "f.hcl", operator.SingleBlock("quorum", b.Fields))
		return b, err
	}
	good := "listen = \"127.0.0.1:7101\"\nfounders = [\"a\", \"b\", \"c\"]\npeer \"b\" {\n address = \"127.0.0.1:2\"\n}\npeer \"c\" {\n address = \"127.0.0.1:3\"\n}"
	if b, err := read(good); err != nil || !b.On || b.Settings.Peers["c"] != "127.0.0.1:3" || b.Settings.Lease != 3000 {
		t.Errorf("read as %+v, %v", b, err)
	}
	for _, c := range [][2]string{
		{"", "Missing required argument"}, {"listen = \"here\"", "listen: address here: missing port"},
		{"listen = \"127.0.0.1:1\"\nfounders = [\"a\", \"b\"]", "founders: 2 given, must be 1, 3, 5 or 7"},
		{"listen = \"127.0.0.1:1\"\nfounders = [\"a\", \"b\", \"c\"]", "peer: at least one is required with more than one founder"},
		{"listen = \"127.0.0.1:1\"\nelection = \"200ms\"", "election: must be at least five times beat"},
		{"listen = \"127.0.0.1:1\"\nlease = \"1s\"", "lease: must be at least twice election"},
		{"listen = \":7101\"", "address: missing"}, {"listen = \"0.0.0.0:7101\"", "address: missing"},
		{good + "\npeer \"c\" {\n address = \"127.0.0.1:4\"\n}", "peer c: defined twice"},
		{"listen = \"127.0.0.1:1\"\npeer \"c\" {\n address = \"nowhere\"\n}", "f.hcl:3: quorum.peer c: address: address nowhere"},
	} {
		if _, err := read(c[0]); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v, want %q", c[0], err, c[1])
		}
	}
}

// ledger is a Subsystem whose state machine keeps the data of all its commands.
type ledger struct {
	mu    sync.Mutex
	lines []string
}

func (l *ledger) Apply(_ uint64, c quorum.Command) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(c.Data))
	return nil
}
func (l *ledger) Save() []byte { return []byte(strings.Join(l.lines, "|")) }
func (l *ledger) Load(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = strings.FieldsFunc(string(b), func(r rune) bool { return r == '|' })
	return nil
}

// all returns the data of all commands.
func (l *ledger) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, " ")
}

// The methods of a Subsystem that does nothing but keep its state machine.

func (l *ledger) StateMachines() map[string]quorum.StateMachine {
	return map[string]quorum.StateMachine{"ledger": l}
}
func (l *ledger) Start(*Replica)                    {}
func (l *ledger) Handle(float64, any)               {}
func (l *ledger) NextDeadline() float64             { return math.Inf(1) }
func (l *ledger) Query(string, string) (any, error) { return l.all(), nil }
func (l *ledger) CheckCommand(quorum.Command) error { return nil }
func (l *ledger) Idle() bool                        { return true }
func (l *ledger) Close() error                      { return nil }

// Over TCP: a single founder that is configured without peers, and two followers of it, one with a store and one
// without. Commands of all of them are committed and survive a restart of the founder, which learns the addresses of
// the others from the log. A gateway that joins receives a state that is larger than a frame.
func TestReplica(t *testing.T) {
	dir, log := t.TempDir(), logrus.New()
	log.SetOutput(io.Discard)
	until := func(condition string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not reached: %s", condition)
			}
		}
	}
	start := func(name, listen, store string, peers map[string]string, founders ...string) (*Replica, *ledger, func()) {
		b := Block{On: true, Listen: listen, Store: store, Settings: quorum.Defaults()}
		b.Settings.Heartbeat, b.Settings.Election, b.Settings.Lease, b.Settings.Peers, b.Settings.Founders = 20, 200, 600, peers, founders
		l := &ledger{}
		c, err := Open(b, name, "club", 64, l, log)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		var once sync.Once
		stop := func() { once.Do(func() { cancel(); <-ended }) }
		t.Cleanup(stop)
		return c, l, stop
	}
	report := func(c *Replica) quorum.Report {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, _ := QueryReport(ctx, c.Address())
		return r
	}
	propose := func(c *Replica, line string) {
		t.Helper()
		done := make(chan quorum.Outcome, 1)
		c.Propose(quorum.Command{StateMachine: "ledger", Data: []byte(line)}, func(o quorum.Outcome) { done <- o })
		select {
		case o := <-done:
			if o.Err != nil {
				t.Errorf("%s: %v", line, o.Err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s: no outcome", line)
		}
	}
	a, la, stopA := start("a", "127.0.0.1:0", dir+"/a", map[string]string{}, "a")
	addressA := a.Address()
	b, lb, _ := start("b", "127.0.0.1:0", "", map[string]string{"a": addressA})
	c, lc, _ := start("c", "127.0.0.1:0", dir+"/c", map[string]string{"a": addressA})
	until("three members", func() bool { return len(report(a).Members) == 3 && report(b).Incarnation*report(c).Incarnation > 0 })
	propose(a, "one")
	propose(b, "two")
	propose(c, "three")
	until("all have all commands", func() bool { return la.all() == "one two three" && lb.all() == la.all() && lc.all() == la.all() })
	for _, m := range report(a).Members {
		if want := map[string]*Replica{"a": a, "b": b, "c": c}[m.Name].Address(); m.Address != want || m.Votes != (m.Name == "a") {
			t.Errorf("%+v, reached at %s", m, want)
		}
	}
	stopA()
	a, la, _ = start("a", addressA, dir+"/a", map[string]string{}, "a")
	propose(b, "four")
	until("all have all commands after a restart", func() bool {
		return la.all() == "one two three four" && lb.all() == la.all() && lc.all() == la.all()
	})
	// A state that is larger than a frame is sent to a joining gateway in fragments.
	for i := range 24 {
		propose(b, strings.Repeat(string(rune('a'+i)), 250_000))
	}
	_, ld, _ := start("d", "127.0.0.1:0", "", map[string]string{"a": addressA})
	until("the joining gateway has a state of 6 MB", func() bool { return ld.all() == la.all() && len(ld.all()) > 24*250_000 })
	until("the joining gateway is a member", func() bool { return len(report(a).Members) == 4 })
	if r := report(a); r.Role != "leader" {
		t.Errorf("after its restart: %+v", r)
	}
}

// A gateway whose store can't be used runs on as a follower: the store of another gateway, and one with a snapshot of an
// unknown format.
func TestUnusableStore(t *testing.T) {
	for _, r := range []quorum.Record{{Identity: &quorum.Identity{ID: 7, Name: "other"}},
		{Identity: &quorum.Identity{ID: 7, Name: "g"}, Founding: &quorum.Founding{Cluster: 5, Voters: map[string]uint64{"g": 7}}, Snapshot: snapshot(1), HardState: hardState(1, 1)}} {
		dir := t.TempDir()
		s, _, err := openStore(dir + "/agreed")
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.put(r), s.close()); err != nil {
			t.Fatal(err)
		}
		var logged strings.Builder
		log := logrus.New()
		log.SetOutput(&logged)
		b := Block{On: true, Listen: "127.0.0.1:0", Store: dir, Settings: quorum.Defaults()}
		c, err := Open(b, "g", "club", 64, nil, log)
		if err != nil || c.store != nil || !strings.Contains(logged.String(), "the store can't be used") {
			t.Fatalf("%v, logged %q", err, logged.String())
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}
}
