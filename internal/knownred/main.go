// Command knownred runs the project's tests except those listed in KNOWN-RED.txt, which fail because of a real fault
// that is not fixed yet. It prints each skipped test. It runs nothing if the list is too long, if a line lacks its
// cause or issue, or if a listed test does not exist.
//
//	go run ./internal/knownred -count=1 -tags debug
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile   = "KNOWN-RED.txt"
	maxEntries = 3
)

// entry is one test that is known to fail.
type entry struct{ pkg, test, cause, issue string }

// entryPattern matches one line of the list.
var entryPattern = regexp.MustCompile(`^(\S+)\.(Test\w+) \| (.*\S.*) \| issue (\d+)$`)

// parseList parses the list; exists reports whether a package, given as a path below the module root, has the named
// test.
func parseList(text string, exists func(pkg, test string) (bool, error)) (entries []entry, err error) {
	for n, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if line == "" && text == "" {
			break
		}
		m := entryPattern.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: %q is not PACKAGE.TestName | cause | issue N", listFile, n+1, line)
		}
		e := entry{m[1], m[2], strings.TrimSpace(m[3]), m[4]}
		found, err := exists(e.pkg, e.test)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", listFile, n+1, err)
		}
		if !found {
			return nil, fmt.Errorf("%s:%d: %s has no test %s", listFile, n+1, e.pkg, e.test)
		}
		if entries = append(entries, e); len(entries) > maxEntries {
			return nil, fmt.Errorf("%s:%d: more than %d tests are known to fail: fix them first", listFile, n+1, maxEntries)
		}
	}
	return entries, nil
}

// testRuns returns the arguments of the go test runs that test all packages without the listed tests. A test name is
// skipped only in its own package, so each package with a listed test gets a run of its own.
func testRuns(entries []entry, module string, pkgs []string) (runs [][]string) {
	skip := map[string][]string{}
	for _, e := range entries {
		skip[module+"/"+e.pkg] = append(skip[module+"/"+e.pkg], e.test)
	}
	var unlisted []string
	for _, p := range pkgs {
		if names := skip[p]; names != nil {
			runs = append(runs, []string{"-skip", "^(" + strings.Join(names, "|") + ")$", p})
		} else {
			unlisted = append(unlisted, p)
		}
	}
	return append([][]string{unlisted}, runs...)
}

// testExists returns a function that asks the go tool whether a package has a test, under the flags of the run.
func testExists(flags []string) func(pkg, test string) (bool, error) {
	return func(pkg, test string) (bool, error) {
		out, err := exec.Command("go", slices.Concat([]string{"test"}, flags, []string{"-list", "^" + test + "$", "./" + pkg})...).CombinedOutput()
		if err != nil {
			return false, fmt.Errorf("go test -list: %w: %s", err, bytes.TrimSpace(out))
		}
		return bytes.Contains(out, []byte(test+"\n")), nil
	}
}

func run(flags []string) error {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	entries, err := parseList(string(text), testExists(flags))
	if err != nil {
		return err
	}
	runs := [][]string{{"./..."}}
	if len(entries) > 0 {
		listed, err := exec.Command("go", "list", "-f", "{{.Module.Path}} {{.ImportPath}}", "./...").Output()
		if err != nil {
			return fmt.Errorf("go list: %w", err)
		}
		var module string
		var pkgs []string
		for _, line := range strings.Split(strings.TrimSpace(string(listed)), "\n") {
			m, p, _ := strings.Cut(line, " ")
			module, pkgs = m, append(pkgs, p)
		}
		runs = testRuns(entries, module, pkgs)
	}
	for _, e := range entries {
		fmt.Printf("known to fail, skipped: %s.%s: %s (issue %s)\n", e.pkg, e.test, e.cause, e.issue)
	}
	var failed error
	for _, args := range runs {
		cmd := exec.Command("go", slices.Concat([]string{"test"}, flags, args)...)
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		failed = errors.Join(failed, cmd.Run())
	}
	return failed
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}
