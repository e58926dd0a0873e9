package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The deployed example must load, and a file that does not load must return an error and no settings.
func TestLoadSettings(t *testing.T) {
	if s, err := LoadSettings(""); err != nil || s.Links.On || s.Log.Level != "" {
		t.Errorf("no file: %+v, %v", s, err)
	}
	if s, err := LoadSettings("../../deploy/poppymill.hcl"); err != nil || s == nil {
		t.Errorf("example file: %v", err)
	}
	path := filepath.Join(t.TempDir(), "x.hcl")
	for text, want := range map[string]string{"log {\n level = \"loud\"\n}": "x.hcl:2: log.level: \"loud\"",
		"fleet {}": "x.hcl:1: Unsupported block", "links {\n keys = \"k\"\n}": "x.hcl:1: Missing required argument",
		"links {\n keys = \"k\"\n base = \"https://a/\"\n}": "links: base: ends in a slash", strings.Repeat(" ", 1<<20+1): "more than"} {
		os.WriteFile(path, []byte(text), 0o600)
		if s, err := LoadSettings(path); s != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: %+v, %v", text, s, err)
		}
	}
	os.WriteFile(path, []byte("log {\n format = \"json\"\n counters_every = \"30s\"\n}"), 0o600)
	if s, err := LoadSettings(path); err != nil || s.Log.CountersEvery != 30_000 || s.Log.Format != "json" {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := LoadSettings(path + "x"); err == nil {
		t.Error("missing file: no error")
	}
}
