package links

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Counters count what an Authorizer has done since its start.
type Counters struct {
	Reasons                     [ReasonCount]int
	Checked, CacheHits, Renewed int // signatures checked; tokens found in the cache; successors issued
}

// Authorizer authorizes downloads. It is not safe for concurrent use.
type Authorizer struct {
	Counters
	settings    Settings
	keySet      *KeySet
	secret      []byte
	startedAt   float64
	recordSince float64 // Unix ms: each write token spent here that was issued later is in the replay table
	shift       float64 // ms by which the wall clock is ahead of the gateway's monotonic clock; never decreases
	replays     *replayTable
	verified    *tokenCache
	limiter     checkLimiter
	spending    map[string]SpentToken // by download id: the token that a running download has spent
}

// New returns an Authorizer. The secret keys the hashes of its tables and must differ at each start.
func New(s Settings, r *KeySet, secret []byte, at float64) *Authorizer {
	return &Authorizer{settings: s, keySet: r, secret: secret, startedAt: at, recordSince: at, replays: newReplayTable(s.Memory), verified: newTokenCache(s.Memory),
		limiter: checkLimiter{perSource: s.ChecksPerSource, total: s.ChecksTotal}, spending: map[string]SpentToken{}}
}

// SetKeys replaces the key set. Downloads that were admitted continue; later ones are checked against the new set.
func (d *Authorizer) SetKeys(r *KeySet) { d.keySet = r }

// SetSettings replaces the settings. The tables keep their size until the next start.
func (d *Authorizer) SetSettings(s Settings) {
	s.Memory = d.settings.Memory
	d.settings = s
	d.limiter.perSource, d.limiter.total = s.ChecksPerSource, s.ChecksTotal
}

// SetWallClock reports a reading of the wall clock. A jump forward is followed at once. A jump back is ignored until
// the next start, as following it would make expired tokens valid again.
func (d *Authorizer) SetWallClock(at, wall float64) { d.shift = max(d.shift, wall-at) }

// RecordSince reports that Restore is called with each unexpired token that was spent here since a time, in Unix ms. Without
// it the record of spent tokens begins at the start. Write tokens issued before the record begins are refused: that one of
// them is not in the record does not prove that it was never spent.
func (d *Authorizer) RecordSince(since float64) { d.recordSince = min(d.recordSince, since) }

// recordBegins returns when the record of spent tokens begins. A record that begins at this start moves with the wall clock.
func (d *Authorizer) recordBegins() float64 {
	if d.recordSince < d.startedAt {
		return d.recordSince
	}
	return d.startedAt + d.shift
}

// Restore enters a token that was spent before this start into the replay table.
func (d *Authorizer) Restore(s SpentToken, now float64) {
	if s.Expires > now {
		d.replays.restore(s.Key, now, s.Expires)
	}
}

// DownloadEnded reports that a download has its final answer. If none of its pulls can have run (harmless), the token
// that it spent is usable again, and the spend to be deleted from the store is returned.
func (d *Authorizer) DownloadEnded(id string, harmless bool) (released SpentToken, ok bool) {
	s, spent := d.spending[id]
	delete(d.spending, id)
	if !spent || !harmless {
		return SpentToken{}, false
	}
	d.replays.release(s.Key)
	return s, true
}

// Admit decides on a download. The cheapest checks come first: no signature is checked if the token's form, issuer, key or
// times rule it out, and none is checked twice while the token is cached.
func (d *Authorizer) Admit(a Request) Verdict {
	v, err := d.admit(a)
	if err != nil {
		v = Verdict{Reason: err.Reason, Claim: err.Claim}
	}
	d.Reasons[v.Reason]++
	return v
}

// Explain decides like Admit, and returns an error that names the first claim that failed and why. It is for operators.
func (d *Authorizer) Explain(a Request) error {
	if _, err := d.admit(a); err != nil {
		return err
	}
	return nil
}

// Inspect returns a token's fields or claims as text, without checking whether it is valid.
func Inspect(token string) (string, error) {
	if len(token) > maxTokenBytes {
		return "", tokenErrorf(TooLarge, "", "%d bytes", len(token))
	}
	if fields, _, err := compactFields(token); err == nil {
		text := ""
		for _, n := range []string{"URLPrefix", "Expires", "KeyName", "Signature"} {
			if v := fields[n]; v != "" {
				text += n + " " + v + "\n"
			}
		}
		return text, nil
	}
	parts := strings.Split(token, ".")
	if len(parts) != 3 {
		return "", tokenErrorf(Malformed, "", "%d parts, want 3", len(parts))
	}
	text := ""
	for _, p := range parts[:2] {
		raw, err := b64.DecodeString(p)
		if err == nil {
			err = parseObject(raw, maxPayloadBytes, func(name string, v any) error {
				text += fmt.Sprintf("%s %v\n", name, v)
				return nil
			})
		}
		if err != nil {
			return "", tokenErrorf(Malformed, "", "%v", err)
		}
	}
	return text, nil
}

func (d *Authorizer) admit(a Request) (Verdict, *TokenError) {
	now := a.At + d.shift
	uri := d.requestURI(a)
	if a.Token == "" {
		return Verdict{}, tokenErrorf(NoToken, "", "there is none")
	}
	if len(a.Token) > maxTokenBytes {
		return Verdict{}, tokenErrorf(TooLarge, "", "%d bytes", len(a.Token))
	}
	key := digest(d.secret, "token", a.Token)
	k := d.verified.get(key, now)
	var err *TokenError
	if k != nil {
		if k, err = d.recheck(k, now); err == nil {
			d.CacheHits++
		}
	} else if d.settings.Form == "compact" {
		k, err = d.verifyCompact(a, key, now)
	} else {
		k, err = d.verifyPackage(a, key, uri, now)
	}
	if err != nil {
		return Verdict{}, err
	}
	c := &k.claims
	if err := d.checkRequest(a, k, uri); err != nil {
		return Verdict{}, err
	}
	v := Verdict{Client: c.Subject}
	if err := d.spend(a, c, now, &v); err != nil {
		return Verdict{}, err
	}
	d.renew(k, now, &v)
	return v, nil
}

// requestURI is the URI that a download's link must match.
func (d *Authorizer) requestURI(a Request) string {
	return URI(d.settings.Base, a.Type, a.Object, a.Part)
}

// URI returns the canonical URI of a part of an object. A link must match the URI built from the request's own fields,
// not a URI that the client sent beside them.
func URI(base, typ, object string, part int64) string {
	return base + "/" + typ + "/" + object + "/" + strconv.FormatInt(part, 10)
}

// recheck checks what may have changed for a cached token: the state of its key, and the time.
func (d *Authorizer) recheck(k *cachedToken, now float64) (*cachedToken, *TokenError) {
	key := d.keySet.keys[k.kid]
	if key == nil {
		return nil, tokenErrorf(UnknownKey, "kid", "%.64q", k.kid)
	}
	if !key.verifies() {
		return nil, tokenErrorf(KeyInactive, "kid", "%s", key)
	}
	return k, d.checkTimes(&k.claims, now)
}

// checkTimes checks exp, nbf and iat, with tolerance for clock skew (RFC 7519, sections 4.1.4 to 4.1.6).
func (d *Authorizer) checkTimes(c *Claims, now float64) *TokenError {
	s := d.settings
	switch {
	case c.Expires == 0:
		return tokenErrorf(Malformed, "exp", "missing")
	case 1000*c.Expires+s.Skew <= now:
		return tokenErrorf(Expired, "exp", "%.0f ms ago", now-1000*c.Expires)
	case 1000*c.NotBefore-s.Skew > now:
		return tokenErrorf(NotYetValid, "nbf", "in %.0f ms", 1000*c.NotBefore-now)
	case 1000*c.Issued-s.Skew > now:
		return tokenErrorf(NotYetValid, "iat", "in %.0f ms", 1000*c.Issued-now)
	case 1000*c.Expires > now+s.MaxLifetime+s.Skew:
		return tokenErrorf(LifetimeTooLong, "exp", "in %.0f ms, %.0f at most", 1000*c.Expires-now, s.MaxLifetime)
	}
	return nil
}

// verifyPackage parses and checks a URI Signing Package. The signature comes after all checks that are cheaper.
func (d *Authorizer) verifyPackage(a Request, cacheKey [16]byte, uri string, now float64) (*cachedToken, *TokenError) {
	parts := strings.Split(a.Token, ".")
	if len(parts) != 3 {
		return nil, tokenErrorf(Malformed, "", "%d parts, want 3", len(parts))
	}
	h, parseErr := parseHeader(parts[0])
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "header", "%v", parseErr)
	}
	key := d.keySet.keys[h.Kid]
	switch {
	case key == nil:
		return nil, tokenErrorf(UnknownKey, "kid", "%.64q", h.Kid)
	case !key.verifies():
		return nil, tokenErrorf(KeyInactive, "kid", "%s", key)
	case h.Alg != key.Algorithm:
		return nil, tokenErrorf(WrongAlgorithm, "alg", "%.20q for %s", h.Alg, key)
	}
	if signature, err := b64.DecodeString(parts[2]); err != nil || len(signature) == 0 {
		return nil, tokenErrorf(Malformed, "signature", "is no base64url")
	}
	raw, parseErr := b64.DecodeString(parts[1])
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "payload", "is no base64url")
	}
	c, names, parseErr := parseClaims(raw)
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "payload", "%v", parseErr)
	}
	if err := d.checkClaims(&c, names, key, now); err != nil {
		return nil, err
	}
	if want, ok := strings.CutPrefix(c.URI, "hash:"); ok && !matchesHash(want, uri) {
		return nil, tokenErrorf(WrongURI, "cdniuc", "does not match %s", uri)
	}
	k := cachedToken{key: cacheKey, kid: h.Kid, claims: c, lastUsed: now, matchClient: func(string) bool { return true }}
	if err := d.verifyLimited(a, now, func() error { return key.verify(a.Token) }); err != nil {
		return nil, err
	}
	// Compiling an expression and decrypting an address cost more than a hash, and an attacker could make them expensive.
	// They are done only for tokens with a good signature.
	match, parseErr := compileContainer(c.URI)
	if parseErr != nil {
		return nil, tokenErrorf(Malformed, "cdniuc", "%v", parseErr)
	}
	if k.matchURI = match; c.Client != "" {
		text, decryptErr := d.keySet.decryptAddress(c.Client)
		prefix, prefixErr := parsePrefix(text)
		if decryptErr != nil || prefixErr != nil {
			return nil, tokenErrorf(WrongClient, "cdniip", "cannot be decrypted or parsed")
		}
		k.matchClient = func(source string) bool {
			from, err := netip.ParseAddr(source)
			return err == nil && prefix.Contains(from.Unmap())
		}
	}
	return d.verified.put(k), nil
}

// parsePrefix parses an address or a prefix; a single address becomes a prefix of full length.
func parsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a.Prefix(a.BitLen())
	}
	return netip.ParsePrefix(text)
}

// checkClaims checks the claims that can be checked before the signature.
func (d *Authorizer) checkClaims(c *Claims, names []string, key *Key, now float64) *TokenError {
	if c.Issuer != key.Issuer {
		return tokenErrorf(WrongIssuer, "iss", "%.64q, but key %s belongs to issuer %q", c.Issuer, key, key.Issuer)
	}
	if err := d.checkTimes(c, now); err != nil {
		return err
	}
	if c.Version != 1 && slices.Contains(names, "cdniv") {
		return tokenErrorf(WrongVersion, "cdniv", "%v", c.Version)
	}
	for n := range strings.SplitSeq(c.Critical, ",") {
		if n = strings.TrimSpace(n); n != "" && (!slices.Contains(knownCritical, n) || !slices.Contains(names, n)) {
			return tokenErrorf(UnknownCritical, "cdnicrit", "%.64q", n)
		}
	}
	if c.URI == "" {
		return tokenErrorf(Malformed, "cdniuc", "missing")
	}
	if c.Transport > 1 {
		return tokenErrorf(Malformed, "cdnistt", "%d", c.Transport)
	}
	addressed := len(d.settings.Audience) == 0 && len(c.Audience) == 0 || slices.ContainsFunc(c.Audience, func(a string) bool {
		return slices.Contains(d.settings.Audience, a)
	})
	if !addressed {
		return tokenErrorf(WrongAudience, "aud", "%.64q", c.Audience)
	}
	return nil
}

// verifyLimited checks a signature, unless the rate limit for signature checks is reached.
func (d *Authorizer) verifyLimited(a Request, now float64, verify func() error) *TokenError {
	source := d.limiter.source(digest(d.secret, "source", a.Source))
	if !d.limiter.allow(source, now) {
		return tokenErrorf(RateLimited, "", "rate limit for signature checks reached")
	}
	d.Checked++
	if err := verify(); err != nil {
		return tokenErrorf(BadSignature, "signature", "%v", err)
	}
	source.lastGood = now
	return nil
}

// checkRequest checks a token against one request: URI, write flag and client. It runs again for each use of the token.
func (d *Authorizer) checkRequest(a Request, k *cachedToken, uri string) *TokenError {
	switch c := &k.claims; {
	case !k.matchURI(uri):
		return tokenErrorf(WrongURI, "cdniuc", "does not match %s", uri)
	case a.Write != c.Write:
		return tokenErrorf(WrongMethod, claimWrite, "%t, but the download's write flag is %t", c.Write, a.Write)
	case !k.matchClient(a.Source):
		return tokenErrorf(WrongClient, "cdniip", "is not for this client")
	}
	return nil
}

// spend counts one use of a token in the replay table. A read is counted only if Settings.Reuse limits it.
func (d *Authorizer) spend(a Request, c *Claims, now float64, v *Verdict) *TokenError {
	s := d.settings
	if !a.Write && s.MaxReads == 0 {
		return nil
	}
	if c.ID == "" {
		return tokenErrorf(Malformed, "jti", "missing")
	}
	maxUses := uint16(min(s.MaxReads, math.MaxUint16))
	// All tokens of a chain share one key, so that a successor cannot repeat a write that its chain has run.
	key := digest(nil, "spent", c.Issuer, cmp.Or(c.Chain, c.ID))
	expires := 1000*c.Expires + s.Skew
	if a.Write {
		maxUses = 1
		// The entry outlives each skew that a later configuration may allow, or the token would be valid without its entry.
		expires = max(1000*c.Expires, 1000*c.Issued+s.MaxChainAge) + maxSkewMillis
		if c.Issued == 0 || 1000*c.Issued < d.recordBegins() {
			return tokenErrorf(IssuedBeforeRecord, "iat", "the record of spent tokens begins later")
		}
		if owner := spender(s.Spenders, key); owner != "" && owner != s.Name {
			return tokenErrorf(OtherGateway, "jti", "only gateway %s may spend it", owner)
		}
	}
	if reason, ok := d.replays.use(key, now, expires, maxUses); !ok && (a.Write || reason == Replayed) {
		return tokenErrorf(reason, "jti", "%.64q", c.ID)
	}
	if a.Write {
		d.spending[a.ID] = SpentToken{Key: key, Expires: expires}
		if s.HasStore {
			v.SpentToken = &SpentToken{Key: key, Expires: expires}
		}
	}
	return nil
}

// spender returns the one gateway of several that may spend a token. It uses rendezvous hashing, so that the gateways need
// no communication to agree.
func spender(names []string, key [16]byte) (best string) {
	var bestScore uint64
	for _, n := range names {
		h := digest(key[:], "spender", n)
		if score := binary.BigEndian.Uint64(h[:8]); best == "" || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// renew issues the successor of a token that is close to its expiry (RFC 9246, section 3). The successor's expiry counts
// from that of the old token, not from now, so that concurrent requests with one token get the same successor. It never
// exceeds the chain's limit and grants nothing that the old token did not.
func (d *Authorizer) renew(k *cachedToken, now float64, v *Verdict) {
	c, s := k.claims, d.settings
	if c.RenewSeconds == 0 || c.Transport == 0 || c.Issued == 0 || 1000*c.Expires-now > s.RenewWithin || d.keySet.signing == nil {
		return
	}
	if d.keySet.signing.Issuer != c.Issuer { // a successor is signed only with a key of the same issuer
		return
	}
	if !k.hasSuccessor || k.successorKey != d.keySet.signing.ID {
		next := c
		next.Expires = math.Floor(min(c.Expires+c.RenewSeconds, c.Issued+s.MaxChainAge/1000))
		if next.Expires <= c.Expires {
			return
		}
		next.NotBefore = 0
		if c.ID != "" {
			next.Chain = cmp.Or(c.Chain, c.ID)
			id := digest(nil, "successor", c.Issuer, c.ID)
			next.ID = b64.EncodeToString(id[:])
			if !slices.Contains(strings.Split(next.Critical, ","), claimChain) {
				next.Critical = strings.TrimPrefix(next.Critical+","+claimChain, ",")
			}
		}
		token, err := d.keySet.Sign(next)
		if err != nil || len(token) > maxTokenBytes {
			return
		}
		k.successor, k.successorKey, k.hasSuccessor = token, d.keySet.signing.ID, true
		d.Renewed++
	}
	v.Token, v.Transport = k.successor, c.Transport
	v.Path = cookiePath(d.settings.Base, k.claims.CookieDepth)
}

// Pull is a pull that is about to be sent to a cache node.
type Pull struct {
	At           float64
	ID           string // of the download
	Number       int
	Node, Source string
	Type, Object string
	Part         int64
	Write        bool
}

// SignPull issues a link for one pull. It is valid for that cache node and the node's source, for that part, and for a
// short time. It is empty if cache nodes need no links, or if there is no signing key.
func (d *Authorizer) SignPull(s Pull) string {
	if d.settings.NodeLinkLifetime == 0 || d.keySet.signing == nil {
		return ""
	}
	now := (s.At + d.shift) / 1000
	c := Claims{Subject: d.settings.Name, Audience: []string{s.Node}, Issued: now, Expires: now + d.settings.NodeLinkLifetime/1000,
		ID: s.ID + "." + strconv.Itoa(s.Number), URI: Hash(URI(d.settings.Base, s.Type, s.Object, s.Part)), Write: s.Write}
	if s.Source != "" && s.Source != s.Node {
		c.Audience = append(c.Audience, s.Source)
	}
	if s.Write {
		c.Critical = claimWrite
	}
	token, err := d.keySet.Sign(c)
	if err != nil {
		return ""
	}
	return token
}

// cookiePath returns the path of the cookie that carries a successor: the first depth segments of the base URI's path
// (RFC 9246, cdnistd).
func cookiePath(base string, depth int) string {
	_, rest, _ := strings.Cut(base, "://")
	_, path, _ := strings.Cut(rest, "/")
	segments := strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
	return "/" + strings.Join(segments[:min(depth, len(segments))], "/")
}

// matchesHash reports whether a hash container (RFC 9246, section 2.1.15; RFC 6920, section 5) holds the hash of a URI.
func matchesHash(want, uri string) bool {
	text, ok := strings.CutPrefix(want, "sha-256;")
	sum, err := b64.DecodeString(text)
	own := sha256.Sum256([]byte(uri))
	return ok && err == nil && hmac.Equal(sum, own[:])
}

// Hash returns the URI container that matches exactly one URI.
func Hash(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "hash:sha-256;" + b64.EncodeToString(sum[:])
}

// compileContainer parses a URI container and returns its match function. A container is a hash, or an extended regular
// expression (POSIX 1003.1, section 9.4) that has to match the whole URI.
func compileContainer(text string) (func(string) bool, error) {
	if want, ok := strings.CutPrefix(text, "hash:"); ok {
		return func(uri string) bool { return matchesHash(want, uri) }, nil
	}
	expr, ok := strings.CutPrefix(text, "regex:")
	if !ok {
		return nil, tokenErrorf(Malformed, "", "%.20q is not a URI container", text)
	}
	if len(expr) > maxRegexBytes {
		return nil, tokenErrorf(Malformed, "", "regular expression of %d bytes is too long", len(expr))
	}
	re, err := regexp.CompilePOSIX(expr)
	if err != nil {
		return nil, err
	}
	return func(uri string) bool {
		at := re.FindStringIndex(uri)
		return at != nil && at[0] == 0 && at[1] == len(uri)
	}, nil
}
