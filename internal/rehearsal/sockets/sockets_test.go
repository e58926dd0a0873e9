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

const shortScript = `
about = "a few seconds on sockets, with a fault of each kind"
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

// Paths of the gateway binaries: a release build, and a debug build, which has failpoints.
var releaseBinary, debugBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "poppymill")
	if err == nil {
		releaseBinary = filepath.Join(dir, "poppymill")
		var out []byte
		debugBinary = releaseBinary + "-debug"
		if out, err = exec.Command("go", "build", "-o", releaseBinary, "poppymill/cmd/poppymill").CombinedOutput(); err == nil {
			out, err = exec.Command("go", "build", "-tags", "debug", "-o", debugBinary, "poppymill/cmd/poppymill").CombinedOutput()
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

// runShort runs the short script with a gateway binary, and checks that no goroutine, process or directory is left over.
func runShort(t *testing.T, ctx context.Context, binary string) (*auditor.Auditor, map[world.Verdict]int, error) {
	t.Helper()
	before := runtime.NumGoroutine()
	s, err := script.Parse([]byte(shortScript), "short.hcl")
	if err != nil {
		t.Fatal(err)
	}
	audit, verdicts := auditor.New(s, Slack), map[world.Verdict]int{}
	stage, err := New(s, Options{Binary: binary, Logs: t.TempDir(), Facts: func(f world.Fact) {
		audit.Observe(f)
		if f, ok := f.(world.OperationEnded); ok {
			verdicts[f.Verdict]++
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
	if _, err := os.Stat(stage.dir); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the configuration directory is left over: %v", err)
	}
	if out, _ := exec.Command("pgrep", "-f", stage.dir).Output(); strings.TrimSpace(string(out)) != "" {
		t.Errorf("processes are left over: %s", out)
	}
	return audit, verdicts, err
}

// Real gateways keep the rules through one fault of each kind, and nothing is left over.
func TestFaultsOfEachKind(t *testing.T) {
	audit, verdicts, err := runShort(t, context.Background(), releaseBinary)
	if errors.Is(err, ErrSlow) {
		t.Skip(err)
	}
	if err != nil {
		t.Fatal(err)
	}
	for r := range auditor.NumRules {
		if !audit.Holds(r) {
			t.Errorf("%v: %v", r, audit.Found[r])
		}
	}
	if n := verdicts[world.InTime]; n < 150 {
		t.Errorf("%d in time: %v", n, verdicts)
	}
}

// A rehearsal that ends early leaves nothing over: cancelled, with a gateway that can't be started, or with one that exits at once.
func TestEndsEarly(t *testing.T) {
	errCancelled := errors.New("cancelled by the test")
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(300*time.Millisecond, func() { cancel(errCancelled) })
	if _, _, err := runShort(t, ctx, releaseBinary); !errors.Is(err, errCancelled) {
		t.Errorf("ended with %v", err)
	}
	if _, _, err := runShort(t, context.Background(), "/nowhere/poppymill"); err == nil || !strings.Contains(err.Error(), "/nowhere") {
		t.Errorf("a gateway that can't be started: %v", err)
	}
	if _, _, err := runShort(t, context.Background(), "/bin/false"); err == nil || !strings.Contains(err.Error(), "exited during startup (exit status 1)") {
		t.Errorf("gateways that exit at once: %v", err)
	}
}
