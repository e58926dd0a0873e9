package links

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"strconv"
	"strings"
)

// verifyCompact checks the query form: [URLPrefix=PREFIX&]Expires=SECONDS&KeyName=NAME&Signature=SIGNATURE, in that order
// and with nothing else, so that a token has no second valid spelling. The signature is HMAC-SHA-256, base64url, over the
// URI with the query up to the signature, or over the query alone if a prefix (base64url) replaces the URI. The form names
// no client and has no id that could be spent, so it admits reads only.
func (d *Authorizer) verifyCompact(a Request, cacheKey [16]byte, now float64) (*cachedToken, *TokenError) {
	if a.Write {
		return nil, tokenErrorf(WrongMethod, "", "the compact form does not admit writes")
	}
	fields, signed, parseErr := compactFields(a.Token)
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "", "%v", parseErr)
	}
	seconds, parseErr := strconv.ParseUint(fields["Expires"], 10, 36)
	if parseErr != nil || strconv.FormatUint(seconds, 10) != fields["Expires"] {
		return nil, tokenErrorf(Malformed, "Expires", "%.20q", fields["Expires"])
	}
	key := d.keySet.keys[fields["KeyName"]]
	switch {
	case key == nil:
		return nil, tokenErrorf(UnknownKey, "KeyName", "%.64q", fields["KeyName"])
	case !key.verifies():
		return nil, tokenErrorf(KeyInactive, "KeyName", "%s", key)
	case key.Algorithm != "HS256":
		return nil, tokenErrorf(WrongAlgorithm, "KeyName", "%s is not an HS256 key", key)
	}
	c := Claims{Issuer: key.Issuer, Expires: float64(seconds)}
	if err := d.checkTimes(&c, now); err != nil {
		return nil, err
	}
	signature, parseErr := b64.DecodeString(fields["Signature"])
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "Signature", "is no base64url")
	}
	uri := d.requestURI(a)
	match := func(u string) bool { return u == uri }
	text := uri + "?" + signed
	if p, there := fields["URLPrefix"]; there {
		prefix, parseErr := b64.DecodeString(p)
		if parseErr != nil || !strings.HasPrefix(string(prefix), d.settings.Base+"/") {
			return nil, tokenErrorf(Malformed, "URLPrefix", "is not the base64url form of a prefix below the base")
		}
		if !strings.HasPrefix(uri, string(prefix)) {
			return nil, tokenErrorf(WrongURI, "URLPrefix", "does not match %s", uri)
		}
		match, text = func(u string) bool { return strings.HasPrefix(u, string(prefix)) }, signed
	}
	err := d.verifyLimited(a, now, func() error {
		if !hmac.Equal(signature, mac(key.Public.([]byte), text)) {
			return errors.New("does not fit")
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return d.verified.put(cachedToken{key: cacheKey, kid: key.ID, claims: c, lastUsed: now, matchURI: match, matchClient: func(string) bool { return true }}), nil
}

// mac returns the HMAC-SHA-256 of a text.
func mac(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// compactFields parses the query strictly. signed is the part before the signature.
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
			return nil, "", errors.New("a field is unknown, empty, repeated or out of order")
		}
		next++
		fields[name] = value
	}
	if fields["Expires"] == "" || fields["KeyName"] == "" || fields["Signature"] == "" {
		return nil, "", errors.New("a field is missing")
	}
	return fields, before, nil
}

// SignCompact issues a token in the query form: for one URI, or for all URIs with a prefix.
func (r *KeySet) SignCompact(uri, prefix string, expires float64) (string, error) {
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
