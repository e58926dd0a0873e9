// Command knownred runs the project's tests and passes over those that KNOWN-RED.txt lists: tests that fail for a real fault which
// is not mended yet. Each is printed. It runs nothing where the list is too long, a line lacks its cause or issue, or a test is none.
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
	list = "KNOWN-RED.txt"
	most = 3
)

// entry is one test that is known to fail.
type entry struct{ pkg, test, cause, issue string }

var form = regexp.MustCompile(`^(\S+)\.(Test\w+) \| (.*\S.*) \| issue (\d+)$`)

// read takes the list; exists tells whether a package, as a path below the root, has a test of a name.
func read(text string, exists func(pkg, test string) (bool, error)) (all []entry, err error) {
	for n, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if line == "" && text == "" {
			break
		}
		m := form.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: %q is not PACKAGE.TestName | cause | issue N", list, n+1, line)
		}
		e := entry{m[1], m[2], strings.TrimSpace(m[3]), m[4]}
		there, err := exists(e.pkg, e.test)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", list, n+1, err)
		}
		if !there {
			return nil, fmt.Errorf("%s:%d: %s has no test %s", list, n+1, e.pkg, e.test)
		}
		if all = append(all, e); len(all) > most {
			return nil, fmt.Errorf("%s:%d: more than %d tests are known to fail: mend them first", list, n+1, most)
		}
	}
	return all, nil
}

// runs are the calls of go test by which all packages are tested without what is listed. Names are passed over in their own package
// alone, so each package that has one is a call of its own.
func runs(all []entry, module string, pkgs []string) (calls [][]string) {
	skip := map[string][]string{}
	for _, e := range all {
		skip[module+"/"+e.pkg] = append(skip[module+"/"+e.pkg], e.test)
	}
	var rest []string
	for _, p := range pkgs {
		if names := skip[p]; names != nil {
			calls = append(calls, []string{"-skip", "^(" + strings.Join(names, "|") + ")$", p})
		} else {
			rest = append(rest, p)
		}
	}
	return append([][]string{rest}, calls...)
}

// exists asks go which tests a package has, under the flags of the run.
func exists(flags []string) func(pkg, test string) (bool, error) {
	return func(pkg, test string) (bool, error) {
		out, err := exec.Command("go", slices.Concat([]string{"test"}, flags, []string{"-list", "^" + test + "$", "./" + pkg})...).CombinedOutput()
		if err != nil {
			return false, fmt.Errorf("go test -list: %w: %s", err, bytes.TrimSpace(out))
		}
		return bytes.Contains(out, []byte(test+"\n")), nil
	}
}

func run(flags []string) error {
	text, err := os.ReadFile(list)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	all, err := read(string(text), exists(flags))
	if err != nil {
		return err
	}
	calls := [][]string{{"./..."}}
	if len(all) > 0 {
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
		calls = runs(all, module, pkgs)
	}
	for _, e := range all {
		fmt.Printf("known to fail, passed over: %s.%s: %s (issue %s)\n", e.pkg, e.test, e.cause, e.issue)
	}
	var failed error
	for _, args := range calls {
		c := exec.Command("go", slices.Concat([]string{"test"}, flags, args)...)
		c.Stdout, c.Stderr = os.Stdout, os.Stderr
		failed = errors.Join(failed, c.Run())
	}
	return failed
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}
