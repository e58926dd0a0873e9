package operator

import (
	"os"
	"strings"
	"testing"
	"time"
)

// Every error is reported with file, line and name; correct values are stored in their unit.
func TestParse(t *testing.T) {
	type inner struct{ size, share float64 }
	read := func(text string) (span float64, whole int, names []string, on bool, all map[string]*inner, err error) {
		all = map[string]*inner{}
		err = Parse([]byte(text), "f.hcl", RequiredAttr("span", Duration(&span, time.Millisecond, time.Minute)), Attr("whole", Int(&whole, 1, 9)),
			Attr("names", StringList(&names)), Attr("on", Bool(&on)),
			Block("box", []string{"name"}, func(labels []string, line int) ([]Field, error) {
				b := &inner{}
				all[labels[0]] = b
				return []Field{Attr("size", Size(&b.size, 1, 1e9)), Attr("share", Share(&b.share)), Check(func() error {
					if b.size > 0 && b.share == 0 {
						return os.ErrInvalid
					}
					return nil
				})}, nil
			}), SingleBlock("single", func() []Field { return nil }))
		return
	}
	span, whole, names, on, all, err := read("span = \"1s\"\nwhole = 3\nnames = [\"a\", \"b\"]\non = true\n" +
		"box \"x\" {\n size = \"2KiB\"\n share = 0.5\n}\nbox \"y\" {}\nsingle {}\n")
	if err != nil || span != 1000 || whole != 3 || len(names) != 2 || !on || all["x"].size != 2048 || len(all) != 2 {
		t.Errorf("parsed as %v %v %v %v %v, %v", span, whole, names, on, all, err)
	}
	for _, c := range [][2]string{
		{"span = 1000", "f.hcl:1: span: is number"}, {"span = \"1000\"", "f.hcl:1: span: \"1000\""},
		{"span = \"2h\"", "from 1ms to 1m0s"}, {"span = null", "f.hcl:1: span: has no value"}, {"", "f.hcl:1: Missing required argument"},
		{"span = \"1s\"\nspam = 1", "f.hcl:2: Unsupported argument"}, {"span = \"1s\"\nwhole = 2.5", "f.hcl:2: whole: 2.5"},
		{"span = \"1s\"\nwhole = \"3\"", "f.hcl:2: whole: is string"}, {"span = \"1s\"\nwhole = 10", "from 1 to 9"},
		{"span = \"1s\"\nnames = []", "names: "}, {"span = \"1s\"\nnames = [\"a\", \"a\"]", "names: \"a\" is empty or listed twice"},
		{"span = \"1s\"\non = \"yes\"", "f.hcl:2: on: "}, {"span = \"1s\"\nbocks \"x\" {}", "f.hcl:2: Unsupported block type"},
		{"span = \"1s\"\nbox {}", "f.hcl:2: Missing name"}, {"span = \"1s\"\nsingle {}\nsingle {}", "f.hcl:3: single: is defined twice"},
		{"span = \"1s\"\nbox \"x\" {\n size = \"2kb\"\n}", "f.hcl:3: box x.size: \"2kb\" has none"},
		{"span = \"1s\"\nbox \"x\" {\n share = 1.5\n}", "f.hcl:3: box x.share: 1.5"}, {"span = \"1s\"\nbox \"x\" {\n size = \"1KB\"\n}", "box x: invalid"},
		{"span = other", "f.hcl:1: Variables not allowed"}, {"span = \"1s\"\nbox \"x\" {", "f.hcl:"},
	} {
		if _, _, _, _, _, err := read(c[0]); err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v, want %q", c[0], err, c[1])
		}
	}
}
