package effectlog

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"poppymill/internal/owner"
)

func open(t *testing.T, folder string) *Log {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := Open(folder, log)
	if err != nil {
		t.Fatal(err)
	}
	go p.Run()
	return p
}

func (p *Log) doSync(e Effect) Result {
	done := make(chan Result, 1)
	p.Do(e, func(r Result) { done <- r })
	return <-done
}

// Tests that a step's effect happens once and that tokens older than one seen are refused, whether it was seen
// with an effect or came from the log, also after a restart. Without a disk only safe steps happen.
func TestLog(t *testing.T) {
	dir := t.TempDir()
	runCases := func(p *Log, cases []string) {
		t.Helper()
		for _, c := range cases {
			var job, want string
			var token uint64
			var step int
			var typ owner.Type
			fmt.Sscan(c, &job, &token, &step, &typ, &want)
			before := len(p.Entries())
			r := p.doSync(Effect{Job: job, Kind: "k", Token: token, Step: step, Type: typ, From: "g"})
			got := [...]string{"ran", "never", "perhaps", "refused"}[r.End]
			if all := p.Entries(); len(all) > before && all[len(all)-1].Repeated {
				got = "again"
			}
			if got != want {
				t.Errorf("%s: %s (%s)", c, got, r.Why)
			}
		}
	}
	p := open(t, dir)
	runCases(p, []string{"j 3 0 2 ran", "j 3 0 2 again", "j 3 1 1 ran", "j 3 1 1 again", "j 3 2 0 ran", "j 3 2 0 ran", "j 2 4 0 refused"})
	p.Raise("j", 5)
	p.Raise("later", 9)
	runCases(p, []string{"j 3 5 2 refused", "later 8 0 0 refused", "j 5 5 2 ran", "later 9 0 0 ran"})
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	p = open(t, dir)
	runCases(p, []string{"j 5 0 2 again", "j 5 1 1 again", "j 3 6 0 refused", "later 8 0 0 refused", "j 6 7 2 ran"})
	for i, e := range p.Entries() {
		if e.Number != uint64(i+1) {
			t.Errorf("entry %d has number %d", i, e.Number)
		}
	}
	p.Close()
	// A corrupt record is moved aside and a new one is started.
	path := filepath.Join(dir, "effects")
	text, _ := os.ReadFile(path)
	for i := 0; i < len(text); i += 512 {
		text[i] ^= 0x41
	}
	os.WriteFile(path, text, 0o600)
	p = open(t, dir)
	if aside, _ := filepath.Glob(path + ".spoilt-*"); len(p.Entries()) != 0 || len(aside) != 1 {
		t.Errorf("corrupt record: %d entries left, moved aside: %v", len(p.Entries()), aside)
	}
	p.Close()
	p = open(t, "")
	runCases(p, []string{"j 3 0 0 ran", "j 3 1 1 never", "j 3 2 2 never", "j 2 0 0 refused"})
	p.Close()
}

const killEnv = "POPPYMILL_TEST_KILL_AT"

func TestMain(m *testing.M) {
	if at := os.Getenv(killEnv); at != "" {
		folder, step, _ := strings.Cut(at, "|")
		log := logrus.New()
		log.SetOutput(io.Discard)
		p, err := Open(folder, log)
		if err != nil {
			os.Exit(3)
		}
		n := len(p.Entries())
		p.writeHook = func(here string) {
			if here == step && n%5 == 4 {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
		}
		go p.Run()
		for ; ; n++ {
			if r := p.doSync(Effect{Job: "j", Kind: "k", Token: uint64(n + 1), Step: n, Type: owner.Unsafe}); r.End != owner.Ran {
				os.Exit(4)
			}
			fmt.Println(n)
		}
	}
	os.Exit(m.Run())
}

// Kills the process (SIGKILL) at each stage of a write. Every effect that was reported as done must be on record,
// together with its token, plus at most one that was not reported; never an effect without its token or a token
// without its effect.
func TestKilledDuringWrite(t *testing.T) {
	for _, step := range []string{"before", "written", "synced"} {
		dir, unreported := t.TempDir(), 0
		for range 3 {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), killEnv+"="+dir+"|"+step)
			out, err := cmd.Output()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("%s: %v", step, err)
			}
			reported := -1
			for _, l := range strings.Fields(string(out)) {
				fmt.Sscan(l, &reported)
			}
			p := open(t, dir)
			n := len(p.Entries())
			if unreported = n - (reported + 1); reported >= 0 && (unreported < 0 || unreported > 1) || p.checker.Highest("j") != uint64(n) {
				t.Errorf("killed at %s: reported up to %d, %d on record, highest token %d", step, reported, n, p.checker.Highest("j"))
			}
			if step != "synced" { // or it would be killed at the same entry again
				p.doSync(Effect{Job: "j", Kind: "k", Token: uint64(n + 1), Step: n, Type: owner.Unsafe})
			}
			p.Close()
		}
		if (step == "synced") != (unreported == 1) {
			t.Errorf("killed at %s: %d entries on record that were not reported", step, unreported)
		}
	}
}
