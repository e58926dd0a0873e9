package world

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Config returns a gateway's name, seed and settings, without its addresses, its limits and the channel's events.
func (w *World) Config(number int) (name, seed string, settings map[string]any) {
	s, g := w.script, w.gateways[number]
	name = "gateway-" + string(rune('a'+number%26)) + "-" + g.zone
	if more := number / 26; more > 0 {
		name += fmt.Sprint("-", more)
	}
	seed = w.random.id("gateway", number, g.starts)
	zones, seats, attached, pipes := []any{}, []any{}, []any{}, []any{}
	hubs := map[string]int{}
	for _, b := range w.boxOrder {
		if b.role == edge {
			continue
		}
		if _, known := hubs[b.zone]; !known {
			hubs[b.zone] = len(zones)
			zones, seats, attached, pipes = append(zones, b.zone), append(seats, 0.0), append(attached, float64(len(hubs)-1)), append(pipes, 0.0)
		}
	}
	for _, c := range s.Clubs {
		n := 0
		for _, g := range w.gateways {
			if g.zone == c {
				n++
			}
		}
		zones, seats, attached = append(zones, c), append(seats, float64(n)), append(attached, float64(hubs[w.hubOf[c]]))
		pipes = append(pipes, s.Link/1000)
	}
	repeat := map[string]string{"retriable": "pure", "deduped": "token", "non-retriable": "side_effect"}
	var classes []any
	var pieces, writes, fresh, grace, old []any
	for _, t := range s.Types {
		classes = append(classes, map[string]any{"name": t.Name, "promise": t.Target, "aim_stretch": t.Stretch, "hard_limit": t.Expiry,
			"effect": repeat[t.Repeat], "key_scope": t.Scope, "key_ttl": t.Window, "worth": t.Benefit, "late_worth": t.LateBenefit})
		pieces, writes = append(pieces, t.Parts > 1), append(writes, t.Write)
		fresh, grace, old = append(fresh, t.Fresh), append(grace, t.Grace), append(old, t.StaleBenefit)
	}
	return name, seed, map[string]any{
		"azs": zones, "zone": g.zone, "index": number, "replicas_of_me": len(w.gateways), "kinds": []any{"box", "hub", "core"},
		"weights": "rough", "discovery": "pushed", "classes": classes,
		"extra": map[string]any{"parent_kind": 1, "source_kind": 2, "detail": "hit", "siblings": "none", "bypass_allowed": false,
			"can_join": false, "class_write": writes, "in_pieces": pieces, "max_age": fresh, "grace_for": grace, "class_stale_worth": old,
			"one_flow_kb_per_s": s.Flow / 1000, "seats_by_zone": seats, "attached_to": attached, "pipe_kb_per_s": pipes,
			"purge_settles": s.Rules.PurgeSettles, "heed_within": s.Rules.PurgeGrace, "parent_cold_from": s.Hub.ColdShare,
			"upper_cold": s.Hub.ColdFor, "upper_fall_multiple": s.Hub.OverloadMultiple, "origin_stops_at": s.Core.OverloadMultiple,
			"origin_fall": s.Core.OverloadWindow},
		"permissions": map[string]any{"cancel": true, "probing": true, "second_copies": true, "retry_after": true, "max_retry_after": 500,
			"send_cap": 8, "max_open": 20_000, "streams_per_conn": 32, "connect_timeout": 400, "keepalive": 30_000},
		"report": map[string]any{"how": "answers", "fields": []any{"inflight", "util"}},
		"rules": map[string]any{"answer_slack": 8, "drain_grace": s.Rules.DrainGrace, "cold_share": s.Box.ColdShare, "cold": s.Box.ColdFor,
			"fall": s.Box.OverloadWindow, "fall_multiple": s.Box.OverloadMultiple},
	}
}

// Params returns the FastCGI parameters that web servers send for a request.
func Params(r Request) map[string]string {
	p := map[string]string{"SCRIPT_NAME": "/invoke/" + r.Type, "HTTP_X_JOB_ID": r.ID, "HTTP_X_ALLOW_MS": strconv.Itoa(int(r.Timeout)),
		"HTTP_X_ITEM": r.Object, "HTTP_X_N": strconv.Itoa(r.Part), "HTTP_X_SHARD": strconv.Itoa(r.Group)}
	if r.Token != "" {
		p["QUERY_STRING"] = "URISigningPackage=" + r.Token
	}
	if r.Source != "" {
		p["REMOTE_ADDR"] = r.Source
	}
	for name, v := range map[string]string{"HTTP_X_CLUB": r.Club, "HTTP_X_CLIENT": r.Client, "HTTP_X_TICKET": r.Ticket} {
		if v != "" {
			p[name] = v
		}
	}
	if r.HeldTag != "" {
		p["HTTP_X_MINE"] = r.HeldTag
	}
	return p
}

// Configuration returns a gateway's full configuration as JSON. known returns the channel's events so far; change, if not
// nil, alters the settings to inject a fault.
func (w *World) Configuration(number int, listen, channel string, known func() (int, []map[string]any),
	change func(map[string]any)) ([]byte, error) {
	name, seed, settings := w.Config(number)
	if change != nil {
		change(settings)
	}
	l := w.script.Limits
	cursor, events := known()
	return json.MarshalIndent(map[string]any{"name": name, "listen": listen, "seed": seed, "channel": channel, "settings": settings,
		"limits": map[string]any{"cores": 1, "memory_mb": l.MemoryMB, "sockets": l.Sockets},
		"known":  map[string]any{"cursor": cursor, "cmds": events}}, "", "  ")
}
