package links

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
)

// compact reads the query form: [URLPrefix=PREFIX&]Expires=SECONDS&KeyName=NAME&Signature=SIGNATURE, in that order and with
// nothing else, so that no second spelling of one token is good. The signature is HMAC-SHA-256, base64url, over the URI with
// the query up to the signature, or over the query alone where a prefix (base64url) stands for the URI. It names no client
// and no use, so it admits reads alone.
func (d *Door) compact(a Ask, name [16]byte, now float64) (*known, *Fault) {
	if a.Write {
		return nil, fault(WrongMethod, "", "the compact form admits no write")
	}
	fields, signed, bad := compactFields(a.Token)
	if bad != nil {
		return nil, fault(Malformed, "", "%v", bad)
	}
	seconds, bad := strconv.ParseUint(fields["Expires"], 10, 36)
	if bad != nil || strconv.FormatUint(seconds, 10) != fields["Expires"] {
		return nil, fault(Malformed, "Expires", "%.20q", fields["Expires"])
	}
	key := d.ring.keys[fields["KeyName"]]
	switch {
	case key == nil:
		return nil, fault(UnknownKey, "KeyName", "%.64q", fields["KeyName"])
	case !key.verifies():
		return nil, fault(KeyOver, "KeyName", "%s", key)
	case key.Algorithm != "HS256":
		return nil, fault(WrongAlgorithm, "KeyName", "%s has no secret", key)
	}
	c := Claims{Issuer: key.Issuer, Expires: float64(seconds)}
	if err := d.times(&c, now); err != nil {
		return nil, err
	}
	signature, bad := b64.DecodeString(fields["Signature"])
	if bad != nil {
		return nil, fault(Malformed, "Signature", "is no base64url")
	}
	uri := d.uri(a)
	match := func(u string) bool { return u == uri }
	text := uri + "?" + signed
	if p, there := fields["URLPrefix"]; there {
		prefix, bad := b64.DecodeString(p)
		if bad != nil || !strings.HasPrefix(string(prefix), d.settings.Base+"/") {
			return nil, fault(Malformed, "URLPrefix", "is no base64url of what begins with the base")
		}
		if !strings.HasPrefix(uri, string(prefix)) {
			return nil, fault(WrongURI, "URLPrefix", "is not for %s", uri)
		}
		match, text = func(u string) bool { return strings.HasPrefix(u, string(prefix)) }, signed
	}
	err := d.paid(a, now, func() error {
		if !hmac.Equal(signature, mac(key.Public.([]byte), text)) {
			return errors.New("does not fit")
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return d.goods.put(known{key: name, kid: key.ID, claims: c, used: now, match: match, client: func(string) bool { return true }}), nil
}

func mac(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// compactFields reads the query strictly; signed is what stands before the signature.
func compactFields(token string) (fields map[string]string, signed string, err error) {
	before, _, ok := strings.Cut(token, "&Signature=")
	if !ok {
		return nil, "", errors.New("no signature")
	}
	order := []string{"URLPrefix", "Expires", "KeyName", "Signature"}
	fields = map[string]string{}
	next := 0
	for pair := range strings.SplitSeq(token, "&") {
		name, value, _ := strings.Cut(pair, "=")
		for next < len(order) && order[next] != name {
			next++
		}
		if next == len(order) || value == "" {
			return nil, "", errors.New("a field is unknown, empty, twice or out of its order")
		}
		next++
		fields[name] = value
	}
	if fields["Expires"] == "" || fields["KeyName"] == "" || fields["Signature"] == "" {
		return nil, "", errors.New("a field is missing")
	}
	return fields, before, nil
}

// Compact issues a token in the query form: for one URI, or for all that begin with a prefix.
func (r *Ring) Compact(uri, prefix string, expires float64) (string, error) {
	k := r.signing
	if k == nil || k.Algorithm != "HS256" {
		return "", errors.New("no key of HS256 signs")
	}
	query := "Expires=" + strconv.FormatInt(int64(expires), 10) + "&KeyName=" + k.ID
	text := uri + "?" + query
	if prefix != "" {
		query = "URLPrefix=" + b64.EncodeToString([]byte(prefix)) + "&" + query
		text = query
	}
	return query + "&Signature=" + b64.EncodeToString(mac(k.Public.([]byte), text)), nil
}
