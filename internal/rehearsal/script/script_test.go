package script

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validScript = `about = "x"
type "a" {
  share = 1
  work = "10ms"
  target = "100ms"
  expiry = "1s"
}
phase "p" {
  for = "5s"
  rate = 10
}
`

// Errors in a script, also missing attributes, are reported with the line or the name, and no attribute is silently ignored.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validScript+"event \"slow\" {\n at = \"1s\"\n for = \"1s\"\n factor = 3\n}\nevent \"drain\" {\n at = \"500ms\"\n}"), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if s.Length() != 5000 || len(s.Events) != 2 || s.Events[0].Kind != "drain" || s.Events[1].Factor != 3 || s.Types[0].Work != 10 {
		t.Errorf("read as %+v", s)
	}
	for _, c := range [][3]string{
		{"rate = 10", "rate = 10\n rat = 1", "f.hcl:11: Unsupported argument"},
		{"share = 1", "share = 0.5", "come to 0.500"}, {"about = \"x\"", "", "about"},
		{"target = \"100ms\"", "target = \"2s\"", "past the expiry"}, {"phase \"p\"", "type \"a\"", "stands twice"},
		{"work = \"10ms\"", "work = 10", "f.hcl:4: type a.work: is number"},
	} {
		if _, err := Parse([]byte(strings.Replace(validScript, c[0], c[1], 1)), "f.hcl"); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: %v, want %q", c[1], err, c[2])
		}
	}
	for _, c := range [][2]string{
		{"event \"explode\" {\n at = \"1s\"\n}", "f.hcl:12: event explode: is none of"},
		{"event \"slow\" {\n at = \"1s\"\n for = \"1s\"\n}", "slow needs factor"},
		{"event \"slow\" {\n at = \"1s\"\n factor = 2\n}", "slow needs for"},
		{"event \"kill\" {\n at = \"1s\"\n factor = 2\n}", "kill takes no factor"},
		{"event \"kill\" {\n at = \"1s\"\n on = \"list\"\n}", "f.hcl:14: event kill.on: \"list\" is none of"},
		{"event \"kill\" {\n at = \"1s\"\n disk = \"lost\"\n}", "kill takes disk on a gateway, not on edge"},
		{"event \"kill\" {\n at = \"1s\"\n on = \"gateway\"\n disk = \"lost\"\n}", "needs the block quorum"},
		{"event \"part\" {\n at = \"1s\"\n}", "part needs for"}, {"quorum {\n voters = 2\n}", "2 voters among"},
		{"event \"freeze\" {\n at = \"1s\"\n for = \"1s\"\n one_way = true\n}", "freeze takes no one_way"},
		{"event \"kill\" {\n at = \"9s\"\n}", "past the end"}, {"event \"kill\" {\n at = \"1s\"\n times = 3\n}", "times needs every"},
		{"event \"purge\" {\n at = \"1s\"\n}", "needs groups or share"}, {"event \"storm\" {\n at = \"1s\"\n for = \"1s\"\n}", "storm needs kiosks"},
		{"event \"storm\" {\n at = \"1s\"\n for = \"1s\"\n kiosks = 3\n club = \"z\"\n}", "no club \"z\""},
		{"deployment {\n clubs = [\"a\", \"b\"]\n gateways = 1\n}", "1 gateways for 2 clubs"},
		{"deployment {\n box {\n  cores_from = 9\n }\n}", "cores_from 9 is over cores_to 8"},
	} {
		if _, err := Parse([]byte(validScript+c[0]), "f.hcl"); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v, want %q", c[0], err, c[1])
		}
	}
}

// A site shared by several scripts is read first and the script overrides it; an error in a site names the site's file.
func TestSite(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("site.hcl", "deployment {\n gateways = 5\n box { count = 7 }\n}\n"+validScript[strings.Index(validScript, "type"):strings.Index(validScript, "phase")])
	rest := validScript[strings.Index(validScript, "phase"):]
	s, err := Load(write("a.hcl", "about = \"x\"\nsite = \"site.hcl\"\ndeployment {\n gateways = 6\n}\n"+rest))
	if err != nil || s.Gateways != 6 || s.Box.Count != 7 || len(s.Types) != 1 || s.Name != "a" {
		t.Errorf("%+v, %v", s, err)
	}
	write("odd.hcl", "deploiment {}\n")
	for text, want := range map[string]string{"about = \"x\"\nsite = \"none.hcl\"\n" + rest: "none.hcl", "about = \"x\"\nsite = 3\n" + rest: "b.hcl:2: site",
		"about = \"x\"\nsite = \"odd.hcl\"\n" + rest: "odd.hcl:1: Unsupported block"} {
		if _, err := Load(write("b.hcl", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
