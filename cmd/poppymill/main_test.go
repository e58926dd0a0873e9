package main

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"poppymill/internal/owner"
)

// runBinary runs the built command and returns its output and exit status.
func runBinary(t *testing.T, binary string, args ...string) (stdout, stderr string, status int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	var outBuf, errBuf strings.Builder
	cmd.Stdout, cmd.Stderr = &outBuf, &errBuf
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return outBuf.String(), errBuf.String(), exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return outBuf.String(), errBuf.String(), 0
}

// Scripts that call the command rely on its exit status, on its output being one JSON document and on error messages
// that name the file, flag or argument at fault.
func TestRehearse(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "poppymill")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	const script = "about = \"x\"\ntype \"a\" {\n share = 1\n work = \"10ms\"\n target = \"100ms\"\n expiry = \"1s\"\n}\nphase \"p\" {\n" +
		" for = \"1s\"\n rate = 20\n expect {\n in_time = 0.0001\n }\n}\n"
	writeFile := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	passing := writeFile("good.hcl", script)
	failing := writeFile("fails.hcl", strings.Replace(script, "in_time = 0.0001", "hits = 1\n hits_within = \"1ms\"", 1))
	invalid := writeFile("wrong.hcl", strings.Replace(script, "rate = 20", "speed = 20", 1))
	for _, c := range []struct {
		args   []string
		status int
		stderr string
	}{
		{[]string{"rehearse", "check", passing}, 0, ""}, {[]string{"rehearse", "run", "--virtual", passing}, 0, ""},
		{[]string{"rehearse", "run", "--virtual", failing}, 1, ""}, {[]string{"rehearse", "run", invalid}, 2, "wrong.hcl:10: Unsupported argument"},
		{[]string{"rehearse", "run"}, 2, "one SCRIPT"}, {[]string{"rehearse", "run", "--odd", passing}, 2, "odd"},
		{[]string{"rehearse", "run", "--gateways", "0", passing}, 2, "0 gateways"}, {[]string{"rehearse", "list", dir + "/none"}, 2, "no scripts"},
		{[]string{"rehearse", "run", "--binary", dir + "/none", passing}, 2, "none"},
		{[]string{"check", "--operator", invalid}, 1, "wrong.hcl:1: Unsupported"},
		{[]string{"check", "--operator", "../../deploy/poppymill.hcl"}, 0, ""},
	} {
		if _, stderr, status := runBinary(t, binary, c.args...); status != c.status || !strings.Contains(stderr, c.stderr) {
			t.Errorf("%v: status %d, %q", c.args, status, stderr)
		}
	}
	out, _, _ := runBinary(t, binary, "rehearse", "run", "--virtual", "--json", "-", passing)
	var doc struct{ Outcome struct{ Holds bool } }
	if err := json.Unmarshal([]byte(out), &doc); err != nil || !doc.Outcome.Holds {
		t.Errorf("not one JSON document: %v, %.200s", err, out)
	}
}

// Guards against a step being settled as never run by the record of a gateway that has taken over the address of its place.
func TestSettleByRecordOfAnotherGateway(t *testing.T) {
	step := owner.UncertainStep{Step: 7, Place: "g2"}
	if err := checkPlace("127.0.0.1:7102", "g2", step); err != nil {
		t.Error(err)
	}
	if err := checkPlace("127.0.0.1:7102", "g4", step); err == nil || !strings.Contains(err.Error(), `step 7: gateway "g4"`) {
		t.Errorf("the record of g4 for a step at g2: %v", err)
	}
}
