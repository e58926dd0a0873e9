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

// Counters are what a door has seen since its start.
type Counters struct {
	Reasons                    [Reasons]int
	Checked, Remembered, Lived int // signatures checked; tokens known from before; successors issued
}

// Door admits downloads. It belongs to one goroutine.
type Door struct {
	Counters
	settings Settings
	ring     *Ring
	secret   []byte
	born     float64
	shift    float64 // ms that the wall clock is ahead of the gateway's; never less than it was
	spent    *spent
	goods    *goods
	checks   allowance
	open     map[string]Spend // by download: what it has spent
}

// New makes a door. The secret keys its tables and must be other at each start.
func New(s Settings, r *Ring, secret []byte, at float64) *Door {
	return &Door{settings: s, ring: r, secret: secret, born: at, spent: newSpent(s.Memory), goods: newGoods(s.Memory),
		checks: allowance{each: s.Checks, all: s.AllChecks}, open: map[string]Spend{}}
}

// Keys takes up another ring. What was taken goes on; what is still to be taken is judged by the new one.
func (d *Door) Keys(r *Ring) { d.ring = r }

// Change takes up other settings; the tables keep their size until the next start.
func (d *Door) Change(s Settings) {
	s.Memory = d.settings.Memory
	d.settings = s
	d.checks.each, d.checks.all = s.Checks, s.AllChecks
}

// Wall tells what the wall clock says. A clock that jumps forth is followed at once; one that jumps back is not, as it
// would let in again what has expired, until the next start.
func (d *Door) Wall(at, wall float64) { d.shift = max(d.shift, wall-at) }

// Restore brings back what was spent before this start.
func (d *Door) Restore(s Spend, now float64) {
	if s.Expires > now {
		d.spent.use(s.Key, now, s.Expires, 1)
	}
}

// Ended tells that a download has its final answer. Where none of its pulls can have run, what it spent is good again;
// the spend to be taken back from the store is returned.
func (d *Door) Ended(id string, harmless bool) (back Spend, ok bool) {
	s, spent := d.open[id]
	delete(d.open, id)
	if !spent || !harmless {
		return Spend{}, false
	}
	d.spent.release(s.Key)
	return s, true
}

// Admit decides on a download, the cheapest questions first: nothing is paid for what its form, issuer, key or times rule
// out, and no signature is checked twice while its token is remembered.
func (d *Door) Admit(a Ask) Verdict {
	v, err := d.admit(a)
	if err != nil {
		v = Verdict{Reason: err.Reason, Claim: err.Claim}
	}
	d.Reasons[v.Reason]++
	return v
}

// Explain is Admit for people: it names the first claim that fails, and in what.
func (d *Door) Explain(a Ask) error {
	if _, err := d.admit(a); err != nil {
		return err
	}
	return nil
}

// Inspect prints what a token says, without a question whether it is good.
func Inspect(token string) (string, error) {
	if len(token) > mostToken {
		return "", fault(TooLarge, "", "%d bytes", len(token))
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
		return "", fault(Malformed, "", "%d parts in place of 3", len(parts))
	}
	text := ""
	for _, p := range parts[:2] {
		raw, err := b64.DecodeString(p)
		if err == nil {
			err = object(raw, mostPayload, func(name string, v any) error {
				text += fmt.Sprintf("%s %v\n", name, v)
				return nil
			})
		}
		if err != nil {
			return "", fault(Malformed, "", "%v", err)
		}
	}
	return text, nil
}

func (d *Door) admit(a Ask) (Verdict, *Fault) {
	now := a.At + d.shift
	uri := d.uri(a)
	if a.Token == "" {
		return Verdict{}, fault(NoToken, "", "there is none")
	}
	if len(a.Token) > mostToken {
		return Verdict{}, fault(TooLarge, "", "%d bytes", len(a.Token))
	}
	name := digest(d.secret, "token", a.Token)
	k := d.goods.get(name, now)
	var err *Fault
	if k != nil {
		if k, err = d.again(k, now); err == nil {
			d.Remembered++
		}
	} else if d.settings.Form == "compact" {
		k, err = d.compact(a, name, now)
	} else {
		k, err = d.signed(a, name, uri, now)
	}
	if err != nil {
		return Verdict{}, err
	}
	c := &k.claims
	if err := d.bound(a, k, uri); err != nil {
		return Verdict{}, err
	}
	v := Verdict{Client: c.Subject}
	if err := d.spend(a, c, now, &v); err != nil {
		return Verdict{}, err
	}
	d.renew(k, now, &v)
	return v, nil
}

// uri is what a download's link must name.
func (d *Door) uri(a Ask) string {
	return URI(d.settings.Base, a.Type, a.Object, a.Part)
}

// URI is the canonical one of a part of an object: what it is asked by decides what its link must say, not what a client
// wrote beside it.
func URI(base, typ, object string, part int64) string {
	return base + "/" + typ + "/" + object + "/" + strconv.FormatInt(part, 10)
}

// again asks of a remembered token what may have changed: its key and the time.
func (d *Door) again(k *known, now float64) (*known, *Fault) {
	key := d.ring.keys[k.kid]
	if key == nil {
		return nil, fault(UnknownKey, "kid", "%.64q", k.kid)
	}
	if !key.verifies() {
		return nil, fault(KeyOver, "kid", "%s", key)
	}
	return k, d.times(&k.claims, now)
}

// times checks exp, nbf and iat with the skew that is allowed (RFC 7519, sections 4.1.4 to 4.1.6).
func (d *Door) times(c *Claims, now float64) *Fault {
	s := d.settings
	switch {
	case c.Expires == 0:
		return fault(Malformed, "exp", "missing")
	case 1000*c.Expires+s.Skew <= now:
		return fault(Expired, "exp", "%.0f ms ago", now-1000*c.Expires)
	case 1000*c.NotBefore-s.Skew > now:
		return fault(NotYet, "nbf", "in %.0f ms", 1000*c.NotBefore-now)
	case 1000*c.Issued-s.Skew > now:
		return fault(NotYet, "iat", "in %.0f ms", 1000*c.Issued-now)
	case 1000*c.Expires > now+s.Longest+s.Skew:
		return fault(TooLong, "exp", "in %.0f ms, %.0f at most", 1000*c.Expires-now, s.Longest)
	}
	return nil
}

// signed reads a URI Signing Package, and checks its signature last.
func (d *Door) signed(a Ask, name [16]byte, uri string, now float64) (*known, *Fault) {
	parts := strings.Split(a.Token, ".")
	if len(parts) != 3 {
		return nil, fault(Malformed, "", "%d parts in place of 3", len(parts))
	}
	h, bad := parseHeader(parts[0])
	if bad != nil {
		return nil, fault(Malformed, "header", "%v", bad)
	}
	key := d.ring.keys[h.Kid]
	switch {
	case key == nil:
		return nil, fault(UnknownKey, "kid", "%.64q", h.Kid)
	case !key.verifies():
		return nil, fault(KeyOver, "kid", "%s", key)
	case h.Alg != key.Algorithm:
		return nil, fault(WrongAlgorithm, "alg", "%.20q for %s", h.Alg, key)
	}
	if signature, err := b64.DecodeString(parts[2]); err != nil || len(signature) == 0 {
		return nil, fault(Malformed, "signature", "is no base64url")
	}
	raw, bad := b64.DecodeString(parts[1])
	if bad != nil {
		return nil, fault(Malformed, "payload", "is no base64url")
	}
	c, names, bad := parseClaims(raw)
	if bad != nil {
		return nil, fault(Malformed, "payload", "%v", bad)
	}
	if err := d.claims(&c, names, key, now); err != nil {
		return nil, err
	}
	if want, ok := strings.CutPrefix(c.URI, "hash:"); ok && !hashes(want, uri) {
		return nil, fault(WrongURI, "cdniuc", "is not for %s", uri)
	}
	k := known{key: name, kid: h.Kid, claims: c, used: now, client: func(string) bool { return true }}
	if err := d.paid(a, now, func() error { return key.verify(a.Token) }); err != nil {
		return nil, err
	}
	// What costs more than a hash, and may be made to cost much, is done for signed tokens alone.
	match, bad := container(c.URI)
	if bad != nil {
		return nil, fault(Malformed, "cdniuc", "%v", bad)
	}
	if k.match = match; c.Client != "" {
		text, bad := d.ring.openAddress(c.Client)
		prefix, worse := prefixOf(text)
		if bad != nil || worse != nil {
			return nil, fault(WrongClient, "cdniip", "can't be read")
		}
		k.client = func(source string) bool {
			from, err := netip.ParseAddr(source)
			return err == nil && prefix.Contains(from.Unmap())
		}
	}
	return d.goods.put(k), nil
}

func prefixOf(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a.Prefix(a.BitLen())
	}
	return netip.ParsePrefix(text)
}

// claims checks what needs no signature.
func (d *Door) claims(c *Claims, names []string, key *Key, now float64) *Fault {
	if c.Issuer != key.Issuer {
		return fault(WrongIssuer, "iss", "%.64q, and %s is of %q", c.Issuer, key, key.Issuer)
	}
	if err := d.times(c, now); err != nil {
		return err
	}
	if c.Version != 1 && slices.Contains(names, "cdniv") {
		return fault(WrongVersion, "cdniv", "%v", c.Version)
	}
	for n := range strings.SplitSeq(c.Critical, ",") {
		if n = strings.TrimSpace(n); n != "" && (!slices.Contains(critical, n) || !slices.Contains(names, n)) {
			return fault(UnknownCritical, "cdnicrit", "%.64q", n)
		}
	}
	if c.URI == "" {
		return fault(Malformed, "cdniuc", "missing")
	}
	if c.Transport > 1 {
		return fault(Malformed, "cdnistt", "%d", c.Transport)
	}
	mine := len(d.settings.Audience) == 0 && len(c.Audience) == 0 || slices.ContainsFunc(c.Audience, func(a string) bool {
		return slices.Contains(d.settings.Audience, a)
	})
	if !mine {
		return fault(WrongAudience, "aud", "%.64q", c.Audience)
	}
	return nil
}

// paid checks a signature where the allowance has room for it.
func (d *Door) paid(a Ask, now float64, verify func() error) *Fault {
	source := d.checks.source(digest(d.secret, "source", a.Source))
	if !d.checks.check(source, now) {
		return fault(Busy, "", "no signature is checked for this source now")
	}
	d.Checked++
	if err := verify(); err != nil {
		return fault(BadSignature, "signature", "%v", err)
	}
	source.good = now
	return nil
}

// bound checks what each download of a token has to meet anew.
func (d *Door) bound(a Ask, k *known, uri string) *Fault {
	switch c := &k.claims; {
	case !k.match(uri):
		return fault(WrongURI, "cdniuc", "is not for %s", uri)
	case a.Write != c.Write:
		return fault(WrongMethod, claimWrite, "%t, and the download is a write: %t", c.Write, a.Write)
	case !k.client(a.Source):
		return fault(WrongClient, "cdniip", "is not for this client")
	}
	return nil
}

// spend uses a token up, as far as its kind can be.
func (d *Door) spend(a Ask, c *Claims, now float64, v *Verdict) *Fault {
	s := d.settings
	if !a.Write && s.Reuse == 0 {
		return nil
	}
	if c.ID == "" {
		return fault(Malformed, "jti", "missing")
	}
	most := uint16(min(s.Reuse, math.MaxUint16))
	// A successor may not run again what its chain has run.
	key := digest(nil, "spent", c.Issuer, cmp.Or(c.Chain, c.ID))
	expires := 1000*c.Expires + s.Skew
	if a.Write {
		most = 1
		expires = max(expires, 1000*c.Issued+s.Chain+s.Skew)
		if !s.Stored && (c.Issued == 0 || 1000*c.Issued < d.born+d.shift) {
			return fault(BeforeStart, "iat", "nothing is remembered from before the start")
		}
		if at := spender(s.Spenders, key); at != "" && at != s.Name {
			return fault(NotThisOne, "jti", "%s is to spend it", at)
		}
	}
	if why, ok := d.spent.use(key, now, expires, most); !ok && (a.Write || why == Replayed) {
		return fault(why, "jti", "%.64q", c.ID)
	}
	if a.Write {
		d.open[a.ID] = Spend{Key: key, Expires: expires}
		if s.Stored {
			v.Spend = &Spend{Key: key, Expires: expires}
		}
	}
	return nil
}

// spender names the one of several gateways that may spend a token, by rendezvous hashing: they need not talk.
func spender(names []string, key [16]byte) (best string) {
	var top uint64
	for _, n := range names {
		h := digest(key[:], "spender", n)
		if score := binary.BigEndian.Uint64(h[:8]); best == "" || score > top {
			best, top = n, score
		}
	}
	return best
}

// renew issues the successor of a token near its end (RFC 9246, section 3). Its end counts from the old one's, not from
// now, so that all who race with one token get the same; it never passes the chain's bound, and claims nothing more.
func (d *Door) renew(k *known, now float64, v *Verdict) {
	c, s := k.claims, d.settings
	if c.Renew == 0 || c.Transport == 0 || c.Issued == 0 || 1000*c.Expires-now > s.RenewIn || d.ring.signing == nil {
		return
	}
	if d.ring.signing.Issuer != c.Issuer { // nobody issues in another's name
		return
	}
	if !k.issued || k.from != d.ring.signing.ID {
		next := c
		next.Expires = math.Floor(min(c.Expires+c.Renew, c.Issued+s.Chain/1000))
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
		token, err := d.ring.Sign(next)
		if err != nil || len(token) > mostToken {
			return
		}
		k.token, k.from, k.issued = token, d.ring.signing.ID, true
		d.Lived++
	}
	v.Token, v.Store = k.token, c.Transport
	v.Path = cookiePath(d.settings.Base, k.claims.Depth)
}

// Sent is a pull on its way to a box.
type Sent struct {
	At           float64
	ID           string // of the download
	Pull         int
	Node, Source string
	Type, Object string
	Part         int64
	Write        bool
}

// ForBox issues a link for one pull: good for that box and its source, that part, and a short time. Empty where boxes ask
// for none, or no key signs.
func (d *Door) ForBox(s Sent) string {
	if d.settings.Boxes == 0 || d.ring.signing == nil {
		return ""
	}
	now := (s.At + d.shift) / 1000
	c := Claims{Subject: d.settings.Name, Audience: []string{s.Node}, Issued: now, Expires: now + d.settings.Boxes/1000,
		ID: s.ID + "." + strconv.Itoa(s.Pull), URI: Hash(URI(d.settings.Base, s.Type, s.Object, s.Part)), Write: s.Write}
	if s.Source != "" && s.Source != s.Node {
		c.Audience = append(c.Audience, s.Source)
	}
	if s.Write {
		c.Critical = claimWrite
	}
	token, err := d.ring.Sign(c)
	if err != nil {
		return ""
	}
	return token
}

// cookiePath is the path of the cookie that carries a successor: so many segments of the URI's (RFC 9246, cdnistd).
func cookiePath(base string, depth int) string {
	_, rest, _ := strings.Cut(base, "://")
	_, path, _ := strings.Cut(rest, "/")
	segments := strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
	return "/" + strings.Join(segments[:min(depth, len(segments))], "/")
}

// hashes compares a hash container (RFC 9246, section 2.1.15; RFC 6920, section 5) with a URI's own.
func hashes(want, uri string) bool {
	text, ok := strings.CutPrefix(want, "sha-256;")
	sum, err := b64.DecodeString(text)
	own := sha256.Sum256([]byte(uri))
	return ok && err == nil && hmac.Equal(sum, own[:])
}

// Hash is the container of one URI.
func Hash(uri string) string {
	sum := sha256.Sum256([]byte(uri))
	return "hash:sha-256;" + b64.EncodeToString(sum[:])
}

// container reads a URI container: a hash, or an extended regular expression (POSIX 1003.1, section 9.4) that has to match
// the whole URI.
func container(text string) (func(string) bool, error) {
	if want, ok := strings.CutPrefix(text, "hash:"); ok {
		return func(uri string) bool { return hashes(want, uri) }, nil
	}
	expr, ok := strings.CutPrefix(text, "regex:")
	if !ok {
		return nil, fault(Malformed, "", "%.20q is no container", text)
	}
	if len(expr) > mostRegex {
		return nil, fault(Malformed, "", "an expression of %d characters", len(expr))
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
