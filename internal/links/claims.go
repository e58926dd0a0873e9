package links

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"unicode/utf8"
)

// Claims are the claims of a URI Signing Package (RFC 9246, section 2.1). Seconds are NumericDates of RFC 7519.
type Claims struct {
	Issuer       string   // iss
	Subject      string   // sub
	Audience     []string // aud
	Expires      float64  // exp, s; 0: absent
	NotBefore    float64  // nbf, s
	Issued       float64  // iat, s
	ID           string   // jti
	Version      float64  // cdniv; absent or 1
	Critical     string   // cdnicrit
	Client       string   // cdniip: a JWE with an address or a prefix
	URI          string   // cdniuc: hash:... or regex:...
	RenewSeconds float64  // cdniets, s by which a successor's expiry is later
	Transport    int      // cdnistt: 0 none, 1 cookie
	CookieDepth  int      // cdnistd: number of path segments of the cookie
	Write        bool     // pm_write: the token admits one write that its URI container matches, and no read
	Chain        string   // pm_chain: jti of the first token of its renewal chain
}

// Private claims. They are listed in cdnicrit, so that a verifier that does not know them refuses the token.
const (
	claimWrite = "pm_write"
	claimChain = "pm_chain"
)

// CriticalWrite is the value of cdnicrit for a token that admits a write.
const CriticalWrite = claimWrite

// knownCritical lists the claims that cdnicrit may name here. A token with any other critical claim is refused.
var knownCritical = []string{claimWrite, claimChain, "cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd"}

// b64 is strict base64url without padding. A lenient decoder would accept several spellings of one token, and then one
// spelling could be cached as valid while another is recorded as spent.
var b64 = base64.RawURLEncoding.Strict()

// header holds the JWS header fields that are accepted.
type header struct{ Alg, Kid, Typ string }

// parseObject parses one JSON object strictly and passes each member to take. It refuses duplicate names, values nested
// deeper than a list, data after the object, and text that is not UTF-8.
func parseObject(text []byte, maxBytes int, take func(name string, value any) error) error {
	if len(text) > maxBytes {
		return errors.New("too long")
	}
	if !utf8.Valid(text) {
		return errors.New("is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return errors.New("is no object")
	}
	var seen []string
	for d.More() {
		t, err := d.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return errors.New("is no object")
		}
		if slices.Contains(seen, name) {
			return fmt.Errorf("%.40q is duplicated", name)
		}
		if seen = append(seen, name); len(seen) > maxClaims {
			return errors.New("holds too much")
		}
		v, err := parseValue(d, maxNesting)
		if err != nil {
			return fmt.Errorf("%.40q: %w", name, err)
		}
		if err = take(name, v); err != nil {
			return fmt.Errorf("%.40q: %w", name, err)
		}
	}
	if _, err := d.Token(); err != nil {
		return errors.New("is cut")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something stands after it")
	}
	return nil
}

// parseValue parses a string, a number, a boolean, null, or a list of these.
func parseValue(d *json.Decoder, depth int) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t := t.(type) {
	case json.Delim:
		if t != '[' || depth < 2 {
			return nil, errors.New("is too deep")
		}
		var all []any
		for d.More() {
			v, err := parseValue(d, depth-1)
			if err != nil {
				return nil, err
			}
			if all = append(all, v); len(all) > maxClaims {
				return nil, errors.New("holds too much")
			}
		}
		_, err = d.Token()
		return all, err
	case string:
		if len(t) > maxStringBytes {
			return nil, errors.New("is too long")
		}
	}
	return t, nil
}

var errType = errors.New("is of the wrong type")

// stringField returns a setter for a string that must not be empty.
func stringField(to *string) func(any) error {
	return func(v any) error {
		s, ok := v.(string)
		if !ok || s == "" {
			return errType
		}
		*to = s
		return nil
	}
}

// numberField returns a setter for a number from lowest to highest.
func numberField(to *float64, lowest, highest float64) func(any) error {
	return func(v any) error {
		n, ok := v.(json.Number)
		if !ok {
			return errType
		}
		f, err := n.Float64()
		if err != nil || math.IsNaN(f) || f < lowest || f > highest {
			return fmt.Errorf("%.20q is out of range", n.String())
		}
		*to = f
		return nil
	}
}

// maxNumericDate is a NumericDate far in the future that a float64 still holds exactly.
const maxNumericDate = 1e11

// parseHeader parses the JWS header. Any field other than alg, kid and typ is refused.
func parseHeader(part string) (h header, err error) {
	if len(part) > b64.EncodedLen(maxHeaderBytes) {
		return h, errors.New("too long")
	}
	raw, err := b64.DecodeString(part)
	if err != nil {
		return h, errors.New("is no base64url")
	}
	fields := map[string]func(any) error{"alg": stringField(&h.Alg), "kid": stringField(&h.Kid), "typ": stringField(&h.Typ)}
	err = parseObject(raw, maxHeaderBytes, func(name string, v any) error {
		if take := fields[name]; take != nil {
			return take(v)
		}
		return errors.New("is not accepted here") // crit, jku, x5u and the like let a token choose its own key or rules
	})
	if err == nil && (h.Alg == "" || h.Kid == "" || h.Typ != "" && !strings.EqualFold(h.Typ, "JWT")) {
		err = errors.New("alg or kid is missing, or typ is not JWT")
	}
	return h, err
}

// parseClaims parses the claims and returns also the names of all claims that are present.
func parseClaims(raw []byte) (c Claims, names []string, err error) {
	transport, depth := 0.0, 0.0
	fields := map[string]func(any) error{
		"iss": stringField(&c.Issuer), "sub": stringField(&c.Subject), "jti": stringField(&c.ID), "exp": numberField(&c.Expires, 1, maxNumericDate),
		"nbf": numberField(&c.NotBefore, 0, maxNumericDate), "iat": numberField(&c.Issued, 1, maxNumericDate), "cdniv": numberField(&c.Version, 0, 1000),
		"cdnicrit": stringField(&c.Critical), "cdniip": stringField(&c.Client), "cdniuc": stringField(&c.URI), "cdniets": numberField(&c.RenewSeconds, 0, maxNumericDate),
		"cdnistt": numberField(&transport, 0, 255), "cdnistd": numberField(&depth, 0, 255), claimChain: stringField(&c.Chain),
		claimWrite: func(v any) error {
			on, ok := v.(bool)
			if c.Write = on; !ok || !on {
				return errType
			}
			return nil
		},
		"aud": func(v any) error {
			all, ok := v.([]any)
			if !ok {
				all = []any{v}
			}
			for _, a := range all {
				var s string
				if err := stringField(&s)(a); err != nil {
					return err
				}
				c.Audience = append(c.Audience, s)
			}
			return nil
		},
	}
	err = parseObject(raw, maxPayloadBytes, func(name string, v any) error {
		names = append(names, name)
		if take := fields[name]; take != nil {
			return take(v)
		}
		return nil // RFC 7519, section 4: unknown claims are ignored; cdnicrit is checked later
	})
	c.Transport, c.CookieDepth = int(transport), int(depth)
	return c, names, err
}

// roundToMillis rounds a NumericDate to ms. RFC 7519, section 2, allows fractions of seconds. They are needed to tell
// tokens issued in the second of a gateway's start from those issued before it.
func roundToMillis(s float64) float64 { return math.Round(1000*s) / 1000 }

// encode returns the claims as JSON, sorted by name and without absent claims.
func (c Claims) encode() []byte {
	m := map[string]any{}
	put := func(name string, v any, present bool) {
		if present {
			m[name] = v
		}
	}
	put("iss", c.Issuer, c.Issuer != "")
	put("sub", c.Subject, c.Subject != "")
	put("aud", c.Audience, len(c.Audience) > 0)
	put("exp", roundToMillis(c.Expires), c.Expires > 0)
	put("nbf", roundToMillis(c.NotBefore), c.NotBefore > 0)
	put("iat", roundToMillis(c.Issued), c.Issued > 0)
	put("jti", c.ID, c.ID != "")
	put("cdniv", c.Version, c.Version > 0)
	put("cdnicrit", c.Critical, c.Critical != "")
	put("cdniip", c.Client, c.Client != "")
	put("cdniuc", c.URI, c.URI != "")
	put("cdniets", c.RenewSeconds, c.RenewSeconds > 0)
	put("cdnistt", c.Transport, c.Transport > 0)
	put("cdnistd", c.CookieDepth, c.CookieDepth > 0)
	put(claimWrite, true, c.Write)
	put(claimChain, c.Chain, c.Chain != "")
	text, err := json.Marshal(m) // Marshal sorts the names
	if err != nil {
		panic(err) // cannot happen: strings and finite numbers only
	}
	return text
}
