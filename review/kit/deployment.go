package kit

import (
	"fmt"
	"time"
)

// Settings returns the settings of a small deployment: one location with edge caches, one hub with a parent, the origin,
// three content types. The figures are within those of the users' first deployment.
func Settings(gateways, index int) map[string]any {
	class := func(name, effect string, promise, limit, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "promise": promise, "hard_limit": limit, "aim_stretch": 2.0, "worth": worth,
			"late_worth": 0.15, "key_scope": "all", "key_ttl": 5000.0, "stream": false}
	}
	return map[string]any{
		"azs": []string{"hub-0", "club"}, "zone": "club", "index": index, "replicas_of_me": gateways, "family": "edge", "step": 2.0, "tier": 0,
		"kinds": []string{"box", "hub", "core"}, "weights": "rough", "discovery": "pushed", "tenants": []any{}, "tiers": []string{"box"},
		"classes": []any{class("video-parts", "pure", 600, 6000, 2), class("club-pages", "pure", 300, 2500, 1), class("renewal", "side_effect", 800, 3000, 3)},
		"extra": map[string]any{
			"parent_kind": 1, "source_kind": 2, "detail": "all", "siblings": "none", "bypass_allowed": true, "can_join": true,
			"class_write": []bool{false, false, true}, "in_pieces": []bool{true, false, false}, "max_age": []float64{0, 8000, 0},
			"grace_for": []float64{0, 0, 0}, "class_stale_worth": []float64{0.7, 0.7, 0.7}, "one_flow_kb_per_s": 9500,
			"seats_by_zone": []int{0, gateways}, "attached_to": []int{0, 0}, "pipe_kb_per_s": []float64{0, 100000},
			"purge_settles": 6000, "heed_within": 500, "origin_fall": 3000, "origin_stops_at": 0,
			"parent_cold_from": 0.068, "upper_cold": 21000, "upper_fall_multiple": 2,
		},
		"permissions": map[string]any{
			"cancel": true, "probing": true, "second_copies": false, "retry_after": true, "max_retry_after": 500, "peers": false,
			"send_cap": 8, "max_open": 4000, "streams_per_conn": 32, "connect_timeout": 400, "keepalive": 30000,
		},
		"report": map[string]any{"how": "answers", "fields": []string{"inflight", "util"}},
		"rules":  map[string]any{"answer_slack": 8, "drain_grace": 250, "cold_share": 0.27, "cold": 17000, "fall": 3000, "fall_multiple": 3},
	}
}

// Config returns the configuration of a gateway.
func Config(name, listen string, c *Channel, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"channel": c.Address, "flow_bytes_per_s": 9500000, "link_bytes_per_s": 38000000, "known": c.Known(), "settings": settings}
}

// Warm is a reply from a copy that a node holds, and that left the origin 2 s ago.
func Warm(after time.Duration, body string) Reply {
	return Reply{After: after, Word: "DONE", Fields: fmt.Sprintf("res=warm,sum=00000000000000aa,t0=%d", Millis(time.Now().Add(-2*time.Second))), Body: []byte(body)}
}
