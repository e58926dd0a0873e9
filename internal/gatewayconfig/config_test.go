package gatewayconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	none := func(string) string { return "" }
	c, err := Parse(text, none)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "gateway-1" || c.Seed != 0x8c1f30d27a5be964 || c.Sockets != 1024 || len(c.Known) != 1 || c.Cursor != 1 ||
		c.ConnectTimeout != 400 || c.StreamsPerConn != 32 || !c.Reports || c.RouterSettings["parent kind"] != 1.0 {
		t.Errorf("parsed as %+v", c)
	}
	// Each field is set to the value, or removed if the value is nil; the error must name the field.
	for _, c := range []struct {
		path  string
		value any
		want  string
	}{
		{"name", nil, "name:"}, {"listen", nil, "listen:"}, {"listen", "here", "listen:"}, {"channel", "", "channel:"},
		{"seed", "xyz", "seed:"}, {"seed", nil, "seed:"}, {"limits.memory_mb", 1, "limits.memory_mb:"},
		{"limits.sockets", nil, "limits.sockets:"}, {"limits.sockets", "many", "limits.sockets"}, {"known", nil, "known:"},
		{"known.cursor", nil, "known:"}, {"settings", nil, "settings:"}, {"settings.classes", []any{}, "settings.classes:"},
		{"settings.classes", []any{map[string]any{}}, "settings.classes[0].name:"},
		{"settings.permissions.streams_per_conn", 0, "settings.permissions.streams_per_conn:"},
		{"settings.permissions.connect_timeout", -1, "settings.permissions.connect_timeout:"},
		{"settings.permissions.send_cap", "8", "permissions.send_cap"},
		{"settings.permissions.max_open", nil, "settings.permissions.max_open:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1}, map[string]any{"name": "a", "hard_limit": 1}}, "settings.classes[1].name:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": -1}}, "settings.classes[0].hard_limit:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1, "effect": "keyed"}}, "settings.classes[0].effect:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1, "key_scope": "town"}}, "settings.classes[0].key_scope:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1, "key_ttl": -5}}, "settings.classes[0].key_ttl:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1, "promise": -5}}, "settings.classes[0].promise:"},
		{"settings.classes", []any{map[string]any{"name": "a", "hard_limit": 1}}, "settings.extra.class_write: has 3 values for 1"},
		{"settings.extra.max_age", []any{0}, "settings.extra.max_age:"},
		{"settings.zone", "elsewhere", "settings.zone:"},
		{"settings.rules.cold_share", 1.5, "settings.rules.cold_share:"},
		{"settings.rules.fall_multiple", -1, "settings.rules.fall_multiple:"},
	} {
		var all map[string]any
		json.Unmarshal(text, &all)
		parent, names := all, strings.Split(c.path, ".")
		for _, n := range names[:len(names)-1] {
			parent = parent[n].(map[string]any)
		}
		if parent[names[len(names)-1]] = c.value; c.value == nil {
			delete(parent, names[len(names)-1])
		}
		changed, _ := json.Marshal(all)
		if _, err := Parse(changed, none); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s set to %v: error %v", c.path, c.value, err)
		}
		if c.path == "name" {
			if got, err := Parse(changed, func(n string) string { return n }); err != nil || got.Name != "BALANCER_NAME" {
				t.Errorf("a name from the environment: %v, %v", got, err)
			}
		}
	}
	if small, err := Parse(bytes.Replace(text, []byte(`"memory_mb": 192`), []byte(`"memory_mb": 32`), 1), none); err != nil ||
		fmt.Sprint(small.ChangedFixedFields(c), c.ChangedFixedFields(c)) != "[limits.memory_mb] []" {
		t.Errorf("32 MB: %v", err)
	}
	if _, err := Parse([]byte("{"), none); err == nil {
		t.Error("a truncated file: no error")
	}
	if _, err := Load("", none); err == nil || !strings.Contains(err.Error(), "BALANCER_CONFIG") {
		t.Errorf("no configuration file given: %v", err)
	}
}
