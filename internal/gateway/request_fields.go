package gateway

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/gatewayconfig"
	"poppymill/router"
)

// parseDownload reads a download from the request's params. It accepts only the exact form of the protocol, as a
// cache closes its connection on a malformed command, with everything else that is open there. The expiry of the
// result is relative to the arrival.
func (g *Core) parseDownload(params map[string]string, body int) (*download, error) {
	name, ok := strings.CutPrefix(params["SCRIPT_NAME"], "/invoke/")
	typeIndex := slices.IndexFunc(g.config.Types, func(t gatewayconfig.ContentType) bool { return t.Name == name })
	if !ok || typeIndex < 0 {
		return nil, fmt.Errorf("SCRIPT_NAME: %.80q", params["SCRIPT_NAME"])
	}
	typ := g.config.Types[typeIndex]
	d := &download{id: params["HTTP_X_JOB_ID"], typ: name, object: params["HTTP_X_ITEM"], clientSum: params["HTTP_X_MINE"],
		cacheable: !typ.Write, atMostOnce: typ.Write || typ.NoRepeat, maxAge: typ.MaxAge}
	if !isHexID(d.id) {
		return nil, fmt.Errorf("X-Job-Id: %.80q", d.id)
	}
	if !isHexID(d.object) {
		return nil, fmt.Errorf("X-Item: %.80q", d.object)
	}
	if _, present := params["HTTP_X_MINE"]; present && !isHexID(d.clientSum) {
		return nil, fmt.Errorf("X-Mine: %.80q", d.clientSum)
	}
	if _, present := params["HTTP_X_UNIQUE"]; present {
		if d.idempotencyKey = params["HTTP_X_UNIQUE"]; !isIdempotencyKey(d.idempotencyKey) {
			return nil, fmt.Errorf("X-Unique: %.80q", d.idempotencyKey)
		}
	}
	// Both the clients' times and the settings are rounded, so up to 10% more than the longest expiry is accepted.
	maxPart := int64(1<<31 - 1) // the number of parts is not known here
	if !typ.MultiPart {
		maxPart = 0
	}
	allow := int64(0)
	for _, field := range [...]struct {
		name, param string
		maximum     int64
		to          *int64
	}{{"X-Allow-Ms", "HTTP_X_ALLOW_MS", int64(1.1 * typ.MaxExpiry), &allow}, {"X-N", "HTTP_X_N", maxPart, &d.part},
		{"X-Shard", "HTTP_X_SHARD", 255, &d.group}} {
		if *field.to, ok = parseNumber(params[field.param], field.maximum); !ok {
			return nil, fmt.Errorf("%s: %.80q", field.name, params[field.param])
		}
	}
	d.expiry = float64(allow)
	if text, present := params["CONTENT_LENGTH"]; present && text != "" {
		if n, ok := parseNumber(text, 1<<31); !ok || n != int64(body) {
			return nil, fmt.Errorf("CONTENT_LENGTH: %.80q of a body of %d", text, body)
		}
	}
	if body > 0 && !typ.AllowsBody {
		return nil, fmt.Errorf("unexpected body of %d bytes for %s", body, name)
	}
	return d, nil
}

// parseNumber reads plain decimal digits and rejects the signs, spaces and exponents that strconv accepts.
func parseNumber(s string, maximum int64) (int64, bool) {
	if s == "" || len(s) > 10 || s[0] == '0' && len(s) > 1 {
		return 0, false
	}
	n := int64(0)
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		n = 10*n + int64(s[i]-'0')
	}
	return n, n <= maximum
}

// isHexID reports whether s is 16 lower-case hex digits, which cannot be confused with other fields of a command.
func isHexID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f') {
			return false
		}
	}
	return true
}

// isIdempotencyKey reports whether s is a key that cannot be confused with other fields of a command.
func isIdempotencyKey(s string) bool {
	if len(s) == 0 || len(s) > 64 {
		return false
	}
	for i := range len(s) {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_') {
			return false
		}
	}
	return true
}

// pullFields writes the fields of a pull command; wait is the time left for the answer, in ms.
func pullFields(d *download, a router.Pull, wait float64) string {
	b := append(append(make([]byte, 0, 192), "kind="...), d.typ...)
	b = append(append(b, ",obj="...), d.object...)
	b = strconv.AppendInt(append(b, ",seg="...), d.part, 10)
	b = strconv.AppendInt(append(b, ",ms="...), int64(max(1, wait)), 10)
	if a.Source != "" && a.Source != a.Node {
		b = append(append(b, ",next="...), a.Source...)
	}
	if a.Rank > 0 {
		b = strconv.AppendInt(append(b, ",admit="...), int64(a.Rank), 10)
	}
	if a.MaxAge > 0 {
		b = strconv.AppendInt(append(b, ",agelim="...), max(1, int64(a.MaxAge)), 10)
	}
	separator := ",ways="
	for _, flag := range [...]struct {
		how  router.PullOptions
		word string
	}{{router.JoinFill, "j"}, {router.HeldOnly, "h"}, {router.SkipParentCopy, "n"}, {router.StaleWhileRevalidate, "r"}} {
		if a.Options&flag.how != 0 {
			b = append(append(b, separator...), flag.word...)
			separator = "+"
		}
	}
	if d.clientSum != "" {
		b = append(append(b, ",cached="...), d.clientSum...)
	}
	if d.idempotencyKey != "" {
		b = append(append(b, ",token="...), d.idempotencyKey...)
	}
	return string(b)
}
