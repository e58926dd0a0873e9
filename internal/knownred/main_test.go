package main

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestRead(t *testing.T) {
	there := func(pkg, test string) (bool, error) {
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
		{"a test that is none", good + "\ninternal/a.TestGone | late | issue 30", "KNOWN-RED.txt:2: internal/a has no test TestGone", 0},
		{"a package that is none", "internal/none.TestOne | late | issue 30", "no such package", 0},
	} {
		all, err := read(c.text, there)
		if len(all) != c.entries || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %d entries, %v; want %d, %q", c.name, len(all), err, c.entries, c.err)
		}
	}
}

// A name is passed over in its own package alone, and every package is run.
func TestRuns(t *testing.T) {
	got := fmt.Sprint(runs([]entry{{pkg: "a", test: "TestOne"}, {pkg: "a", test: "TestTwo"}}, "m", []string{"m", "m/a", "m/b"}))
	if want := "[[m m/b] [-skip ^(TestOne|TestTwo)$ m/a]]"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// Asked of go itself: this test exists, and its name with a letter less does not.
func TestExists(t *testing.T) {
	for name, want := range map[string]bool{"TestExists": true, "TestExist": false} {
		if got, err := exists(nil)("", name); got != want || err != nil {
			t.Errorf("%s: %t, %v", name, got, err)
		}
	}
}
