package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// run runs the command as it is built, and returns what it prints and its exit status.
func run(t *testing.T, binary string, args ...string) (out, errs string, status int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	var o, e strings.Builder
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return o.String(), e.String(), exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), 0
}

// Scripts that call the command go by its exit status, its one document and the name of what is wrong.
func TestRehearse(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "poppymill")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	const day = "about = \"x\"\ntype \"a\" {\n share = 1\n work = \"10ms\"\n target = \"100ms\"\n expiry = \"1s\"\n}\nphase \"p\" {\n" +
		" for = \"1s\"\n rate = 20\n expect {\n in_time = 0.0001\n }\n}\n"
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.hcl", day)
	fails := file("fails.hcl", strings.Replace(day, "in_time = 0.0001", "hits = 1\n hits_within = \"1ms\"", 1))
	wrong := file("wrong.hcl", strings.Replace(day, "rate = 20", "speed = 20", 1))
	for _, c := range []struct {
		args   []string
		status int
		errs   string
	}{
		{[]string{"rehearse", "check", good}, 0, ""}, {[]string{"rehearse", "run", "--virtual", good}, 0, ""},
		{[]string{"rehearse", "run", "--virtual", fails}, 1, ""}, {[]string{"rehearse", "run", wrong}, 2, "wrong.hcl:10: Unsupported argument"},
		{[]string{"rehearse", "run"}, 2, "one SCRIPT"}, {[]string{"rehearse", "run", "--odd", good}, 2, "odd"},
		{[]string{"rehearse", "run", "--gateways", "0", good}, 2, "0 gateways"}, {[]string{"rehearse", "list", dir + "/none"}, 2, "no scripts"},
		{[]string{"rehearse", "run", "--binary", dir + "/none", good}, 2, "none"},
		{[]string{"check", "--operator", wrong}, 1, "wrong.hcl:1: Unsupported"},
		{[]string{"check", "--operator", "../../deploy/poppymill.hcl"}, 0, ""},
	} {
		if _, errs, status := run(t, binary, c.args...); status != c.status || !strings.Contains(errs, c.errs) {
			t.Errorf("%v: status %d, %q", c.args, status, errs)
		}
	}
	out, _, _ := run(t, binary, "rehearse", "run", "--virtual", "--json", "-", good)
	var doc struct{ Outcome struct{ Holds bool } }
	if err := json.Unmarshal([]byte(out), &doc); err != nil || !doc.Outcome.Holds {
		t.Errorf("one document: %v, %.200s", err, out)
	}
}
