package place

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

func open(t *testing.T, folder string) *Place {
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

func (p *Place) wait(e Effect) Effected {
	done := make(chan Effected, 1)
	p.Do(e, func(r Effected) { done <- r })
	return <-done
}

// A place lets a step's effect happen once, refuses what is older than what it has seen, by an effect or by word of the log, and
// does the same after a restart. Without a disk nothing happens there that must not run twice.
func TestPlace(t *testing.T) {
	dir := t.TempDir()
	play := func(p *Place, cases []string) {
		t.Helper()
		for _, c := range cases {
			var job, want string
			var token uint64
			var step int
			var typ owner.Type
			fmt.Sscan(c, &job, &token, &step, &typ, &want)
			before := len(p.Entries())
			r := p.wait(Effect{Job: job, Kind: "k", Token: token, Step: step, Type: typ, From: "g"})
			got := [...]string{"ran", "never", "perhaps", "refused"}[r.End]
			if all := p.Entries(); len(all) > before && all[len(all)-1].Again {
				got = "again"
			}
			if got != want {
				t.Errorf("%s: %s (%s)", c, got, r.Why)
			}
		}
	}
	p := open(t, dir)
	play(p, []string{"j 3 0 2 ran", "j 3 0 2 again", "j 3 1 1 ran", "j 3 1 1 again", "j 3 2 0 ran", "j 3 2 0 ran", "j 2 4 0 refused"})
	p.Raise("j", 5)
	p.Raise("later", 9)
	play(p, []string{"j 3 5 2 refused", "later 8 0 0 refused", "j 5 5 2 ran", "later 9 0 0 ran"})
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
	p = open(t, dir)
	play(p, []string{"j 5 0 2 again", "j 5 1 1 again", "j 3 6 0 refused", "later 8 0 0 refused", "j 6 7 2 ran"})
	for i, e := range p.Entries() {
		if e.Number != uint64(i+1) {
			t.Errorf("entry %d has number %d", i, e.Number)
		}
	}
	p.Close()
	// A spoilt record goes aside, and another is begun.
	path := filepath.Join(dir, "effects")
	text, _ := os.ReadFile(path)
	for i := 0; i < len(text); i += 512 {
		text[i] ^= 0x41
	}
	os.WriteFile(path, text, 0o600)
	p = open(t, dir)
	if aside, _ := filepath.Glob(path + ".spoilt-*"); len(p.Entries()) != 0 || len(aside) != 1 {
		t.Errorf("of a spoilt record %d entries are left, %v aside", len(p.Entries()), aside)
	}
	p.Close()
	p = open(t, "")
	play(p, []string{"j 3 0 0 ran", "j 3 1 1 never", "j 3 2 2 never", "j 2 0 0 refused"})
	p.Close()
}

const killAt = "POPPYMILL_TEST_KILL_AT"

func TestMain(m *testing.M) {
	if at := os.Getenv(killAt); at != "" {
		folder, step, _ := strings.Cut(at, "|")
		log := logrus.New()
		log.SetOutput(io.Discard)
		p, err := Open(folder, log)
		if err != nil {
			os.Exit(3)
		}
		n := len(p.Entries())
		p.step = func(here string) {
			if here == step && n%5 == 4 {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
			}
		}
		go p.Run()
		for ; ; n++ {
			if r := p.wait(Effect{Job: "j", Kind: "k", Token: uint64(n + 1), Step: n, Type: owner.Unsafe}); r.End != owner.Ran {
				os.Exit(4)
			}
			fmt.Println(n)
		}
	}
	os.Exit(m.Run())
}

// Killed with -9 at each step of a write: what was told as done is there, with its token, and at most one more; never one of the two
// without the other.
func TestKilled(t *testing.T) {
	for _, step := range []string{"before", "written", "synced"} {
		dir, more := t.TempDir(), 0
		for range 3 {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), killAt+"="+dir+"|"+step)
			out, err := cmd.Output()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGKILL {
				t.Fatalf("%s: %v", step, err)
			}
			told := -1
			for _, l := range strings.Fields(string(out)) {
				fmt.Sscan(l, &told)
			}
			p := open(t, dir)
			n := len(p.Entries())
			if more = n - (told + 1); told >= 0 && (more < 0 || more > 1) || p.gate.Highest("j") != uint64(n) {
				t.Errorf("killed at %s: told up to %d, there are %d, the highest token is %d", step, told, n, p.gate.Highest("j"))
			}
			if step != "synced" { // or it would end at the same one again
				p.wait(Effect{Job: "j", Kind: "k", Token: uint64(n + 1), Step: n, Type: owner.Unsafe})
			}
			p.Close()
		}
		if (step == "synced") != (more == 1) {
			t.Errorf("killed at %s, %d more are there than were told", step, more)
		}
	}
}
