package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestParseList(t *testing.T) {
	exists := func(pkg, test string) (bool, error) {
		if pkg == "internal/none" {
			return false, errors.New("no such package")
		}
		return test != "TestGone", nil
	}
	const good = "internal/a.TestOne | the reader is late | issue 30"
	for _, c := range []struct {
		name, text, err string
		entries         int
	}{
		{"no file", "", "", 0},
		{"three", good + "\n" + good + "\n" + good + "\n", "", 3},
		{"a fourth", strings.Repeat(good+"\n", 4), "KNOWN-RED.txt:4: more than 3", 0},
		{"no cause", "internal/a.TestOne | | issue 30", "KNOWN-RED.txt:1:", 0},
		{"no issue", good[:len(good)-len(" | issue 30")], "KNOWN-RED.txt:1:", 0},
		{"an issue without a number", strings.TrimSuffix(good, "30"), "KNOWN-RED.txt:1:", 0},
		{"no package", "TestOne | late | issue 30", "KNOWN-RED.txt:1:", 0},
		{"a pattern", "internal/a.Test.* | late | issue 30", "KNOWN-RED.txt:1:", 0},
		{"an empty line between", good + "\n\n" + good, "KNOWN-RED.txt:2:", 0},
		{"a test that does not exist", good + "\ninternal/a.TestGone | late | issue 30", "KNOWN-RED.txt:2: internal/a has no test TestGone", 0},
		{"a package that does not exist", "internal/none.TestOne | late | issue 30", "no such package", 0},
	} {
		entries, err := parseList(c.text, exists)
		if len(entries) != c.entries || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %d entries, %v; want %d, %q", c.name, len(entries), err, c.entries, c.err)
		}
	}
}

// A test name is skipped only in its own package, and every package is run.
func TestTestRuns(t *testing.T) {
	got := fmt.Sprint(testRuns([]entry{{pkg: "a", test: "TestOne"}, {pkg: "a", test: "TestTwo"}}, "m", []string{"m", "m/a", "m/b"}))
	if want := "[[m m/b] [-skip ^(TestOne|TestTwo)$ m/a]]"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// The go tool finds this test, and not its name without the last letter.
func TestTestExists(t *testing.T) {
	for name, want := range map[string]bool{"TestTestExists": true, "TestTestExist": false} {
		if got, err := testExists(nil)("", name); got != want || err != nil {
			t.Errorf("%s: %t, %v", name, got, err)
		}
	}
}
