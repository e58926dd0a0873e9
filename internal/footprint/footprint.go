// Package footprint turns what a gateway is told of its deployment into what its router is told: settings and
// reports under the router's names.
package footprint

import (
	"encoding/json"
	"fmt"
	"strings"

	"poppymill/router"
)

// settings names what is handed on: the wire's path on the left, the router's name on the right.
var settings = [...][2]string{
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

var words = map[string]string{
	"pure": "retriable", "token": "deduped", "side_effect": "non-retriable", "on_request": "asked",
}

// Read turns the settings into what a router is told.
func Read(text []byte) (router.Footprint, error) {
	var told map[string]any
	if err := json.Unmarshal(text, &told); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	foot := router.Footprint{}
	for _, s := range settings {
		var v any = told
		for name := range strings.SplitSeq(s[0], ".") {
			v = under(v, name)
		}
		if v != nil {
			foot[s[1]] = v
		}
	}
	return foot, nil
}

// under takes the named value out of a map, or out of each map of a list.
func under(v any, name string) any {
	switch v := v.(type) {
	case map[string]any:
		return ours(v[name])
	case []any:
		var all []any
		for _, m := range v {
			all = append(all, under(m, name))
		}
		return all
	}
	return nil
}

func ours(v any) any {
	if s, ok := v.(string); ok {
		if w, ok := words[s]; ok {
			return w
		}
	}
	return v
}

var reports = map[string]string{
	"busy_reqs": "held", "pending": "waiting", "cpu_share": "busy", "svc_ms": "took",
	"served_ps": "fulfilled", "failed_ps": "failed", "x0": "hits", "x1": "link",
	"inflight": "held", "queue": "waiting", "util": "busy", "latency_ms": "took",
	"qps": "fulfilled", "eps": "failed",
}

// Report is the router's name for a value of a load report; one that is not known keeps its own.
func Report(name string) string {
	if ours, ok := reports[name]; ok {
		return ours
	}
	return name
}
