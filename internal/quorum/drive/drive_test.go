package drive

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"poppymill/internal/operator"
	"poppymill/internal/quorum"
)

func entry(index, term uint64, text string) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: []byte(text)}
}

func hard(term, commit uint64) *raftpb.HardState {
	return &raftpb.HardState{Term: &term, Commit: &commit}
}

func snapshot(index uint64) *raftpb.Snapshot {
	term := uint64(1)
	return &raftpb.Snapshot{Data: []byte("state"), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{7}}}}
}

func text(s quorum.Store) string {
	t := fmt.Sprintf("%v commit %d after %d:", s.Identity, s.Hard.GetCommit(), s.Snapshot.GetMetadata().GetIndex())
	for _, e := range s.Entries {
		t += fmt.Sprintf(" %d/%d %s", e.GetIndex(), e.GetTerm(), e.Data)
	}
	return t
}

// What was put is there after a restart: later entries take the place of earlier ones from their index on, a snapshot of a
// leader's that of all, one of its own leaves what comes after.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agreed")
	for i, c := range []struct {
		put  quorum.Record
		want string
	}{
		{quorum.Record{Identity: &quorum.Identity{ID: 7, Name: "g"}}, "{7 g} commit 0 after 0:"},
		{quorum.Record{Snapshot: snapshot(1), Hard: hard(1, 1)}, "{7 g} commit 1 after 1:"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(2, 1, "a"), entry(3, 1, "b"), entry(4, 1, "c")}}, "{7 g} commit 1 after 1: 2/1 a 3/1 b 4/1 c"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(3, 2, "d")}, Hard: hard(2, 3)}, "{7 g} commit 3 after 1: 2/1 a 3/2 d"},
		{quorum.Record{Entries: []*raftpb.Entry{entry(4, 2, "e")}}, "{7 g} commit 3 after 1: 2/1 a 3/2 d 4/2 e"},
		{quorum.Record{Snapshot: snapshot(3), Compact: 2}, "{7 g} commit 3 after 3: 4/2 e"},
		{quorum.Record{Snapshot: snapshot(9), Hard: hard(3, 9)}, "{7 g} commit 9 after 9:"},
	} {
		s, _, err := openStore(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.put(c.put), s.close()); err != nil {
			t.Fatal(err)
		}
		s, held, err := openStore(path)
		if err != nil {
			t.Fatal(err)
		}
		if got := text(held); got != c.want {
			t.Errorf("after record %d: %s, want %s", i, got, c.want)
		}
		s.close()
	}
}

// A store that was torn or spoilt anywhere is either told as such or holds what was put: never something else.
func TestSpoilt(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "agreed")
	s, _, err := openStore(path)
	if err != nil {
		t.Fatal(err)
	}
	s.put(quorum.Record{Identity: &quorum.Identity{ID: 7, Name: "g"}, Snapshot: snapshot(1), Hard: hard(1, 1)})
	var all []*raftpb.Entry
	for i := range uint64(40) {
		all = append(all, entry(2+i, 1, fmt.Sprintf("entry-%02d-with-some-length", i)))
	}
	s.put(quorum.Record{Entries: all, Hard: hard(1, 41)})
	s.close()
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	_, held, _ := openStore(path)
	want := text(held)
	told := 0
	for at := 0; at < len(good); at += 211 - 200*min(1, max(0, 100-at%4096)) { // closely at the head of each page
		bad := append([]byte{}, good...)
		bad[at] ^= 0x5a
		other := filepath.Join(dir, fmt.Sprint("bad", at))
		if err := os.WriteFile(other, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		s, held, err := openStore(other)
		if err == nil {
			if got := text(held); got != want && got != "{0 } commit 0 after 0:" {
				t.Errorf("spoilt at %d it holds %s", at, got)
			}
			s.close()
		} else if told++; !spoilt(err) {
			t.Errorf("spoilt at %d: %v", at, err)
		}
		os.Remove(other)
	}
	if told < 10 {
		t.Errorf("only %d spoilt stores were told", told)
	}
}

// killAt names the step at which the test's own copy ends itself, as kill -9 does.
const killAt = "POPPYMILL_TEST_KILL_AT"

func TestMain(m *testing.M) {
	if at := os.Getenv(killAt); at != "" {
		path, step, _ := strings.Cut(at, "|")
		s, held, err := openStore(path)
		if err != nil {
			fmt.Println(err)
			os.Exit(3)
		}
		next := uint64(len(held.Entries)) + 1
		for ; ; next++ {
			s.step = func(here string) {
				if here == step && next%5 == 0 {
					syscall.Kill(os.Getpid(), syscall.SIGKILL)
				}
			}
			if err := s.put(quorum.Record{Entries: []*raftpb.Entry{entry(next, 1, "x")}, Hard: hard(1, next)}); err != nil {
				os.Exit(4)
			}
			fmt.Println(next)
		}
	}
	os.Exit(m.Run())
}

// Killed with -9 at each step of a write, again and again: what was told as written is there, and at most one more.
func TestKilled(t *testing.T) {
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
			told := 0
			for _, l := range strings.Fields(string(out)) {
				fmt.Sscan(l, &told)
			}
			s, held, err := openStore(path)
			if err != nil {
				t.Fatalf("%s: %v", step, err)
			}
			n := len(held.Entries)
			if more := n - told; told > 0 && (more < 0 || more > 1) || held.Hard.GetCommit() != uint64(n) || step == "synced" && n%5 != 0 {
				t.Errorf("killed at %s: told %d, there are %d, committed %d", step, told, n, held.Hard.GetCommit())
			}
			if step != "synced" { // or it would end at the same one again
				if err := s.put(quorum.Record{Entries: []*raftpb.Entry{entry(uint64(n+1), 1, "y")}, Hard: hard(1, uint64(n+1))}); err != nil {
					t.Fatal(err)
				}
			}
			s.close()
		}
	}
}

// What is wrong with the block is told by file, line and name.
func TestBlock(t *testing.T) {
	read := func(text string) (Block, error) {
		var b Block
		err := operator.Parse([]byte("quorum {\n"+text+"\n}\n"), "f.hcl", operator.One("quorum", b.Fields))
		return b, err
	}
	good := "listen = \"127.0.0.1:7101\"\nfounders = [\"a\", \"b\", \"c\"]\npeer \"b\" {\n address = \"127.0.0.1:2\"\n}\npeer \"c\" {\n address = \"127.0.0.1:3\"\n}"
	if b, err := read(good); err != nil || !b.On || b.Settings.Peers["c"] != "127.0.0.1:3" || b.Settings.Lease != 3000 {
		t.Errorf("read as %+v, %v", b, err)
	}
	for _, c := range [][2]string{
		{"", "Missing required argument"}, {"listen = \"here\"", "listen: address here: missing port"},
		{"listen = \"127.0.0.1:1\"\nfounders = [\"a\", \"b\"]", "founders: 2 of them; 1, 3, 5 or 7"},
		{"listen = \"127.0.0.1:1\"\nfounders = [\"a\", \"b\", \"c\"]", "peer: none is named"},
		{"listen = \"127.0.0.1:1\"\nelection = \"200ms\"", "election: must be at least five beats"},
		{"listen = \"127.0.0.1:1\"\nlease = \"1s\"", "lease: must be at least two elections"},
		{good + "\npeer \"c\" {\n address = \"127.0.0.1:4\"\n}", "peer c: stands twice"},
		{"listen = \"127.0.0.1:1\"\npeer \"c\" {\n address = \"nowhere\"\n}", "f.hcl:3: quorum.peer c: address: address nowhere"},
	} {
		if _, err := read(c[0]); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v, want %q", c[0], err, c[1])
		}
	}
}
