package sockets

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

const short = `
about = "a few seconds on sockets, with something of each kind"
deployment {
  gateways = 2
  box {
    count = 4
    held  = 0.6
  }
}
type "parts" {
  share = 0.8
  work = "40ms"
  target = "800ms"
  expiry = "2s"
  objects = 40
}
type "renewal" {
  share = 0.2
  work = "10ms"
  target = "800ms"
  expiry = "2s"
  repeat = "non-retriable"
  write = true
}
links {
  life    = "2s"
  renew   = "2s"
  doubled = 0.3
  boxes   = "5s"
}
fair {}
event "forge" {
  at     = "1s"
  for    = "2s"
  factor = 1
}
event "rotate" {
  at = "1500ms"
}
phase "all" {
  for = "4s"
  rate = 60
}
event "vanish" {
  at = "500ms"
  for = "1500ms"
}
event "kill" {
  at = "700ms"
  for = "1s"
}
event "drain" {
  at = "1s"
  for = "1s"
}
event "purge" {
  at = "1s"
  groups = 100
}
event "kill" {
  at = "1500ms"
  on = "gateway"
  for = "500ms"
}
event "cut" {
  at = "1s"
  for = "1s"
  share = 0.1
}
event "mute" {
  at = "1200ms"
  for = "500ms"
}
event "repeat" {
  at = "2s"
  for = "1s"
}
event "hup" {
  at = "2500ms"
  share = 1
}
event "replace" {
  at = "2s"
  same_address = true
}
`

// binary is the program as it is built, armed a debug build of it, which has failpoints.
var binary, armed string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "poppymill")
	if err == nil {
		binary = filepath.Join(dir, "poppymill")
		var out []byte
		armed = binary + "-debug"
		if out, err = exec.Command("go", "build", "-o", binary, "poppymill/cmd/poppymill").CombinedOutput(); err == nil {
			out, err = exec.Command("go", "build", "-tags", "debug", "-o", armed, "poppymill/cmd/poppymill").CombinedOutput()
		}
		if err != nil {
			err = errors.New(string(out))
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		os.Stderr.WriteString(err.Error())
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// play runs the short script with a binary and a context, and checks that nothing is left over.
func play(t *testing.T, ctx context.Context, binary string) (*auditor.Auditor, map[world.Verdict]int, error) {
	t.Helper()
	before := runtime.NumGoroutine()
	s, err := script.Parse([]byte(short), "short.hcl")
	if err != nil {
		t.Fatal(err)
	}
	audit, ends := auditor.New(s, Slack), map[world.Verdict]int{}
	stage, err := New(s, Options{Binary: binary, Logs: t.TempDir(), Facts: func(f world.Fact) {
		audit.See(f)
		if f, ok := f.(world.Wanted); ok {
			ends[f.Verdict]++
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	err = stage.Run(ctx)
	for i := 0; runtime.NumGoroutine() > before; i++ {
		if i == 400 {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if _, gone := os.Stat(stage.dir); !errors.Is(gone, os.ErrNotExist) {
		t.Errorf("the folder of the configurations is left: %v", gone)
	}
	if out, _ := exec.Command("pgrep", "-f", stage.dir).Output(); strings.TrimSpace(string(out)) != "" {
		t.Errorf("processes are left: %s", out)
	}
	return audit, ends, err
}

// Real gateways keep the rules through something of each kind of trouble, and nothing is left over.
func TestShort(t *testing.T) {
	audit, ends, err := play(t, context.Background(), binary)
	if errors.Is(err, ErrSlow) {
		t.Skip(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	for r := range auditor.Rules {
		if !audit.Holds(r) {
			t.Errorf("%v: %v", r, audit.Found[r])
		}
	}
	if n := ends[world.InTime]; n < 150 {
		t.Errorf("%d in time: %v", n, ends)
	}
}

// Whatever ends a rehearsal early leaves nothing over: the operator, a gateway that can't be started, one that ends.
func TestEndsEarly(t *testing.T) {
	why := errors.New("enough")
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(300*time.Millisecond, func() { cancel(why) })
	if _, _, err := play(t, ctx, binary); !errors.Is(err, why) {
		t.Errorf("ended with %v", err)
	}
	if _, _, err := play(t, context.Background(), "/nowhere/poppymill"); err == nil || !strings.Contains(err.Error(), "/nowhere") {
		t.Errorf("a gateway that can't be started: %v", err)
	}
	if _, _, err := play(t, context.Background(), "/bin/false"); err == nil || !strings.Contains(err.Error(), "ended at its start (exit status 1)") {
		t.Errorf("gateways that end at once: %v", err)
	}
}
