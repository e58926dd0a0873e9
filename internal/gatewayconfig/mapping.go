// Package gatewayconfig reads the configuration of a gateway, and maps its settings and the values of load reports to the names that
// the router reads.
package gatewayconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"poppymill/router"
)

// settingNames lists the settings that the router gets: their path in the configuration, and the router's name for them.
var settingNames = [...][2]string{
	{"azs", "zones"}, {"zone", "zone"}, {"kinds", "kinds"}, {"weights", "weights"},
	{"replicas_of_me", "gateways"}, {"index", "number"}, {"discovery", "list"}, {"report.how", "reports"},
	{"classes.name", "types"}, {"classes.promise", "target"}, {"classes.aim_stretch", "stretch"},
	{"classes.hard_limit", "expiry"}, {"classes.effect", "repeat"}, {"classes.key_scope", "dedupe group"},
	{"classes.key_ttl", "dedupe window"}, {"classes.worth", "benefit"}, {"classes.late_worth", "late benefit"},
	{"extra.max_age", "fresh"}, {"extra.grace_for", "grace"}, {"extra.class_write", "writes"},
	{"extra.class_stale_worth", "old benefit"}, {"extra.bypass_allowed", "direct"}, {"extra.can_join", "join"},
	{"extra.siblings", "siblings"}, {"extra.detail", "notes"}, {"extra.source_kind", "origin kind"},
	{"extra.parent_kind", "parent kind"}, {"extra.one_flow_kb_per_s", "flow"},
	{"extra.seats_by_zone", "gateways by zone"}, {"extra.attached_to", "hub"}, {"extra.pipe_kb_per_s", "links"},
	{"extra.parent_cold_from", "parent cold share"}, {"extra.upper_cold", "parent cold time"},
	{"extra.upper_fall_multiple", "parent fall multiple"}, {"extra.purge_settles", "purge settles"},
	{"extra.heed_within", "purge grace"}, {"extra.origin_stops_at", "origin stops at"},
	{"extra.origin_fall", "origin fall time"},
	{"rules.cold_share", "cold share"}, {"rules.cold", "cold time"}, {"rules.fall_multiple", "fall multiple"},
	{"rules.fall", "fall time"}, {"rules.drain_grace", "drain grace"},
	{"permissions.send_cap", "most pulls"}, {"permissions.probing", "probes"}, {"permissions.cancel", "call off"},
	{"permissions.second_copies", "second copies"}, {"permissions.retry_after", "advice"},
	{"permissions.max_retry_after", "longest advice"}, {"permissions.connect_timeout", "connect time"},
}

// settingValues maps values of settings to the router's names for them; all others stay as they are.
var settingValues = map[string]string{
	"pure": "retriable", "token": "deduped", "side_effect": "non-retriable", "on_request": "asked",
}

// RouterSettings decodes the settings of a configuration and returns those that the router reads, under its names.
func RouterSettings(text []byte) (router.Settings, error) {
	var decoded map[string]any
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	mapped := router.Settings{}
	for _, setting := range settingNames {
		var v any = decoded
		for name := range strings.SplitSeq(setting[0], ".") {
			v = lookup(v, name)
		}
		if v != nil {
			mapped[setting[1]] = v
		}
	}
	return mapped, nil
}

// lookup returns the named value of a map, or the list of the named values of each map in a list.
func lookup(v any, name string) any {
	switch v := v.(type) {
	case map[string]any:
		return translateValue(v[name])
	case []any:
		var values []any
		for _, m := range v {
			values = append(values, lookup(m, name))
		}
		return values
	}
	return nil
}

// translateValue returns the router's name for a value of a setting, or the value itself.
func translateValue(v any) any {
	if s, ok := v.(string); ok {
		if name, ok := settingValues[s]; ok {
			return name
		}
	}
	return v
}

// reportNames maps the names of values in load reports to the router's names.
var reportNames = map[string]string{
	"busy_reqs": "held", "pending": "waiting", "cpu_share": "busy", "svc_ms": "took",
	"served_ps": "fulfilled", "failed_ps": "failed", "x0": "hits", "x1": "link",
	"inflight": "held", "queue": "waiting", "util": "busy", "latency_ms": "took",
	"qps": "fulfilled", "eps": "failed",
}

// LoadValueName returns the router's name for a value in a load report; an unknown name is returned as it is.
func LoadValueName(name string) string {
	if routerName, ok := reportNames[name]; ok {
		return routerName
	}
	return name
}
