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

// Claims are those of a URI Signing Package (RFC 9246, section 2.1). Seconds are NumericDates of RFC 7519.
type Claims struct {
	Issuer    string   // iss
	Subject   string   // sub
	Audience  []string // aud
	Expires   float64  // exp, s; 0: absent
	NotBefore float64  // nbf, s
	Issued    float64  // iat, s
	ID        string   // jti
	Version   float64  // cdniv; absent or 1
	Critical  string   // cdnicrit
	Client    string   // cdniip: a JWE that holds an address or a prefix
	URI       string   // cdniuc: hash:... or regex:...
	Renew     float64  // cdniets, s that a successor lives
	Transport int      // cdnistt: 0 none, 1 cookie
	Depth     int      // cdnistd: path segments of the cookie
	Write     bool     // pm_write: it admits what it names to run, once, and nothing else
	Chain     string   // pm_chain: jti of the first of its chain
}

// Claims of our own are critical, so that who does not know them refuses; what is critical and not here is refused.
const (
	claimWrite = "pm_write"
	claimChain = "pm_chain"
)

// CriticalWrite is what cdnicrit says of a token that admits a write.
const CriticalWrite = claimWrite

var critical = []string{claimWrite, claimChain, "cdniv", "cdnicrit", "cdniip", "cdniuc", "cdniets", "cdnistt", "cdnistd"}

// b64 is base64url without padding, and without the second spellings that a lenient decoder would take: a token must
// not have two forms, of which one is remembered as good and the other as spent.
var b64 = base64.RawURLEncoding.Strict()

// header is a JWS header as far as any is accepted.
type header struct{ Alg, Kid, Typ string }

// object reads one JSON object strictly: no name twice, no depth beyond lists of texts, nothing after it, UTF-8 alone.
func object(text []byte, most int, take func(name string, value any) error) error {
	if len(text) > most {
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
			return fmt.Errorf("%.40q stands twice", name)
		}
		if seen = append(seen, name); len(seen) > mostClaims {
			return errors.New("holds too much")
		}
		v, err := value(d, mostDepth)
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

// value reads a text, a number, a flag, or a list of these.
func value(d *json.Decoder, depth int) (any, error) {
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
			v, err := value(d, depth-1)
			if err != nil {
				return nil, err
			}
			if all = append(all, v); len(all) > mostClaims {
				return nil, errors.New("holds too much")
			}
		}
		_, err = d.Token()
		return all, err
	case string:
		if len(t) > mostText {
			return nil, errors.New("is too long")
		}
	}
	return t, nil
}

var errType = errors.New("is of the wrong type")

func text(to *string) func(any) error {
	return func(v any) error {
		s, ok := v.(string)
		if !ok || s == "" {
			return errType
		}
		*to = s
		return nil
	}
}

func number(to *float64, least, most float64) func(any) error {
	return func(v any) error {
		n, ok := v.(json.Number)
		if !ok {
			return errType
		}
		f, err := n.Float64()
		if err != nil || math.IsNaN(f) || f < least || f > most {
			return fmt.Errorf("%.20q is out of range", n.String())
		}
		*to = f
		return nil
	}
}

// latest is a NumericDate that no clock will see: far beyond, yet exact in a float64.
const latest = 1e11

func parseHeader(part string) (h header, err error) {
	if len(part) > b64.EncodedLen(mostHeader) {
		return h, errors.New("too long")
	}
	raw, err := b64.DecodeString(part)
	if err != nil {
		return h, errors.New("is no base64url")
	}
	fields := map[string]func(any) error{"alg": text(&h.Alg), "kid": text(&h.Kid), "typ": text(&h.Typ)}
	err = object(raw, mostHeader, func(name string, v any) error {
		if take := fields[name]; take != nil {
			return take(v)
		}
		return errors.New("is not accepted here") // crit, jku, x5u and the like say where to find what to believe
	})
	if err == nil && (h.Alg == "" || h.Kid == "" || h.Typ != "" && !strings.EqualFold(h.Typ, "JWT")) {
		err = errors.New("names no algorithm or no key, or is of another type")
	}
	return h, err
}

func parseClaims(raw []byte) (c Claims, names []string, err error) {
	transport, depth := 0.0, 0.0
	fields := map[string]func(any) error{
		"iss": text(&c.Issuer), "sub": text(&c.Subject), "jti": text(&c.ID), "exp": number(&c.Expires, 1, latest),
		"nbf": number(&c.NotBefore, 0, latest), "iat": number(&c.Issued, 1, latest), "cdniv": number(&c.Version, 0, 1000),
		"cdnicrit": text(&c.Critical), "cdniip": text(&c.Client), "cdniuc": text(&c.URI), "cdniets": number(&c.Renew, 0, latest),
		"cdnistt": number(&transport, 0, 255), "cdnistd": number(&depth, 0, 255), claimChain: text(&c.Chain),
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
				if err := text(&s)(a); err != nil {
					return err
				}
				c.Audience = append(c.Audience, s)
			}
			return nil
		},
	}
	err = object(raw, mostPayload, func(name string, v any) error {
		names = append(names, name)
		if take := fields[name]; take != nil {
			return take(v)
		}
		return nil // of those that are not critical RFC 7519, section 4, has the unknown ignored
	})
	c.Transport, c.Depth = int(transport), int(depth)
	return c, names, err
}

// milli keeps a NumericDate to the ms; RFC 7519, section 2, allows fractions, and what is issued in the second of a
// gateway's start must be told from what came before it.
func milli(s float64) float64 { return math.Round(1000*s) / 1000 }

// encode writes claims as JSON, in one order and without what is absent.
func (c Claims) encode() []byte {
	m := map[string]any{}
	put := func(name string, v any, there bool) {
		if there {
			m[name] = v
		}
	}
	put("iss", c.Issuer, c.Issuer != "")
	put("sub", c.Subject, c.Subject != "")
	put("aud", c.Audience, len(c.Audience) > 0)
	put("exp", milli(c.Expires), c.Expires > 0)
	put("nbf", milli(c.NotBefore), c.NotBefore > 0)
	put("iat", milli(c.Issued), c.Issued > 0)
	put("jti", c.ID, c.ID != "")
	put("cdniv", c.Version, c.Version > 0)
	put("cdnicrit", c.Critical, c.Critical != "")
	put("cdniip", c.Client, c.Client != "")
	put("cdniuc", c.URI, c.URI != "")
	put("cdniets", c.Renew, c.Renew > 0)
	put("cdnistt", c.Transport, c.Transport > 0)
	put("cdnistd", c.Depth, c.Depth > 0)
	put(claimWrite, true, c.Write)
	put(claimChain, c.Chain, c.Chain != "")
	text, err := json.Marshal(m) // names come sorted
	if err != nil {
		panic(err) // texts and finite numbers alone
	}
	return text
}
