package links

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	testBase   = "https://media.example/v"
	testObject = "7f3a9c21e0b4d655"
	testTime   = 1.8e12
)

var (
	ecKey, _      = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	_, edKey      = mustKeyPair(ed25519.GenerateKey(rand.Reader))
	sharedSecret  = []byte(strings.Repeat("s", 32))
	addressSecret = []byte(strings.Repeat("a", 32))
)

func mustKeyPair(a ed25519.PublicKey, b ed25519.PrivateKey, err error) (ed25519.PublicKey, ed25519.PrivateKey) {
	if err != nil {
		panic(err)
	}
	return a, b
}

func testKey(id, algorithm string, s State) Key {
	k := Key{ID: id, Issuer: "club", Algorithm: algorithm, State: s}
	switch algorithm {
	case "ES256":
		k.Private, k.Public = ecKey, &ecKey.PublicKey
	case "EdDSA":
		k.Private, k.Public = edKey, edKey.Public()
	default:
		k.Private, k.Public = sharedSecret, sharedSecret
	}
	return k
}

func newTestKeySet(t testing.TB, keys ...Key) *KeySet {
	t.Helper()
	r, err := NewKeySet(keys, addressSecret)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testSettings() Settings {
	s := Defaults()
	s.Base, s.Audience, s.Name = testBase, []string{"amber"}, "gateway-a"
	return s
}

// validClaims returns the claims of a token that is valid at testTime for testObject.
func validClaims() Claims {
	return Claims{Issuer: "club", Subject: "member-1", Audience: []string{"amber"}, Issued: testTime/1000 - 60, Expires: testTime/1000 + 300,
		ID: "one", URI: "regex:" + testBase + "/video/" + testObject + "/[0-9]+"}
}

// with returns a changed copy of the claims.
func (c Claims) with(change func(*Claims)) Claims {
	change(&c)
	return c
}

// asWrite turns claims into those of a write token, issued after testTime.
func asWrite(c *Claims) {
	c.Write, c.Critical, c.URI, c.Issued = true, "pm_write", Hash(URI(testBase, "renewal", testObject, 0)), testTime/1000+1
}

func readAsk(token string) Request {
	return Request{At: testTime, Source: "10.0.0.7", Token: token, ID: "d1", Type: "video", Object: testObject, Part: 3}
}

func writeAsk(token, id string) Request {
	return Request{At: testTime + 2000, Source: "10.0.0.7", Token: token, ID: id, Type: "renewal", Object: testObject, Write: true}
}

func sign(t testing.TB, r *KeySet, c Claims) string {
	t.Helper()
	token, err := r.Sign(c)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// Each kind of invalid token is refused with its own reason and the claim that failed. A valid token is admitted, the second
// time from the cache without a signature check.
func TestAdmit(t *testing.T) {
	r := newTestKeySet(t, testKey("now", "EdDSA", Signing), testKey("old", "ES256", Verifying), testKey("gone", "HS256", Retired), testKey("leak", "HS256", Withdrawn))
	sealed, err := r.SealAddress("10.0.0.0/8")
	if err != nil {
		t.Fatal(err)
	}
	elsewhere, _ := r.SealAddress("192.0.2.0/24")
	by := func(k Key) *KeySet { k.State = Signing; return newTestKeySet(t, k) }
	rewrite := func(part int, change func(string) string) string {
		parts := strings.Split(sign(t, r, validClaims()), ".")
		raw, _ := b64.DecodeString(parts[part])
		parts[part] = b64.EncodeToString([]byte(change(string(raw))))
		return strings.Join(parts, ".")
	}
	token := sign(t, r, validClaims())
	for _, c := range []struct {
		name  string
		ask   Request
		want  Reason
		claim string
	}{
		{"good", readAsk(token), Admitted, ""},
		{"good, by another key that verifies", readAsk(sign(t, by(testKey("old", "ES256", 0)), validClaims())), Admitted, ""},
		{"hash container", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = Hash(URI(testBase, "video", testObject, 3)) }))), Admitted, ""},
		{"address within", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Client = sealed }))), Admitted, ""},
		{"unknown, not critical", readAsk(func() string {
			return sign(t, r, validClaims().with(func(c *Claims) { c.Version = 1; c.Critical = "cdniv" }))
		}()), Admitted, ""},
		{"none", readAsk(""), NoToken, ""}, {"huge", readAsk(strings.Repeat("a", 5000)), TooLarge, ""},
		{"expired", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Expires = testTime/1000 - 3 }))), Expired, "exp"},
		{"expired within the skew", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Expires = testTime/1000 - 1 }))), Admitted, ""},
		{"without an end", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Expires = 0 }))), Malformed, "exp"},
		{"not yet", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.NotBefore = testTime/1000 + 9 }))), NotYetValid, "nbf"},
		{"issued tomorrow", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Issued = testTime/1000 + 9 }))), NotYetValid, "iat"},
		{"for ever", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Expires = testTime/1000 + 1e8 }))), LifetimeTooLong, "exp"},
		{"another issuer", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Issuer = "other" }))), WrongIssuer, "iss"},
		{"another audience", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Audience = []string{"birch"} }))), WrongAudience, "aud"},
		{"another object", Request{At: testTime, Token: token, Type: "video", Object: "0000000000000000", Part: 3}, WrongURI, "cdniuc"},
		{"another type", Request{At: testTime, Token: token, Type: "pages", Object: testObject, Part: 3}, WrongURI, "cdniuc"},
		{"hash of another part", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = Hash(URI(testBase, "video", testObject, 4)) }))), WrongURI, "cdniuc"},
		{"a prefix of the URI alone", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = "regex:" + testBase + "/video" }))), WrongURI, "cdniuc"},
		{"an expression that is none", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = "regex:((" }))), Malformed, "cdniuc"},
		{"no container", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = "all" }))), Malformed, "cdniuc"},
		{"version", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Version = 2 }))), WrongVersion, "cdniv"},
		{"critical and unknown", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Critical = "exp2" }))), UnknownCritical, "cdnicrit"},
		{"critical and absent", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Critical = "cdniip" }))), UnknownCritical, "cdnicrit"},
		{"address without", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Client = elsewhere }))), WrongClient, "cdniip"},
		{"address that can't be read", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Client = "10.0.0.0/8" }))), WrongClient, "cdniip"},
		{"a read's for a write", writeAsk(sign(t, r, validClaims().with(func(c *Claims) { c.URI = Hash(URI(testBase, "renewal", testObject, 0)) })), "w"), WrongMethod, claimWrite},
		{"a write's for a read", readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.Write, c.Critical = true, "pm_write" }))), WrongMethod, claimWrite},
		{"unknown key", readAsk(sign(t, by(testKey("who", "HS256", 0)), validClaims())), UnknownKey, "kid"},
		{"retired key", readAsk(sign(t, by(testKey("gone", "HS256", 0)), validClaims())), KeyInactive, "kid"},
		{"withdrawn key", readAsk(sign(t, by(testKey("leak", "HS256", 0)), validClaims())), KeyInactive, "kid"},
		{"another's key under a good name", readAsk(sign(t, by(testKey("old", "EdDSA", 0)), validClaims())), WrongAlgorithm, "alg"},
		{"none as algorithm", readAsk(rewrite(0, func(s string) string { return strings.Replace(s, "EdDSA", "none", 1) })), WrongAlgorithm, "alg"},
		{"a public key as a secret", readAsk(rewrite(0, func(s string) string { return strings.Replace(s, "EdDSA", "HS256", 1) })), WrongAlgorithm, "alg"},
		{"a key of its own", readAsk(rewrite(0, func(s string) string { return s[:len(s)-1] + `,"jwk":{}}` })), Malformed, "header"},
		{"tampered", readAsk(rewrite(1, func(s string) string { return strings.Replace(s, "member-1", "member-2", 1) })), BadSignature, "signature"},
		{"a claim twice", readAsk(rewrite(1, func(s string) string { return s[:len(s)-1] + `,"exp":99999999999}` })), Malformed, "payload"},
		{"something after it", readAsk(rewrite(1, func(s string) string { return s + "{}" })), Malformed, "payload"},
		{"deep", readAsk(rewrite(1, func(s string) string { return s[:len(s)-1] + `,"x":[[["y"]]]}` })), Malformed, "payload"},
		{"not UTF-8", readAsk(rewrite(1, func(s string) string { return strings.Replace(s, "member-1", "m\xff", 1) })), Malformed, "payload"},
		{"exp as a text", readAsk(rewrite(1, func(s string) string { return strings.Replace(s, `"exp":`, `"exp":"1","y":`, 1) })), Malformed, "payload"},
		{"cut", readAsk(token[:len(token)-2]), BadSignature, "signature"}, {"a part more", readAsk(token + ".x"), Malformed, ""},
		{"padded", readAsk(token + "="), Malformed, "signature"}, {"two parts", readAsk(token[:strings.LastIndexByte(token, '.')]), Malformed, ""},
	} {
		d := New(testSettings(), r, []byte("secret"), testTime)
		for i := range 2 {
			if v := d.Admit(c.ask); v.Reason != c.want || v.Claim != c.claim {
				t.Errorf("%s, try %d: %v (%s), want %v (%s)", c.name, i+1, v.Reason, v.Claim, c.want, c.claim)
			}
		}
		if c.want == Admitted && (d.Checked != 1 || d.CacheHits != 1) {
			t.Errorf("%s: %d signatures checked, %d remembered", c.name, d.Checked, d.CacheHits)
		}
	}
}

// A write runs at most once, whichever tokens of one chain request it. A write that is known not to have run may be repeated.
func TestSpend(t *testing.T) {
	r := newTestKeySet(t, testKey("now", "EdDSA", Signing))
	token := sign(t, r, validClaims().with(asWrite))
	d := New(testSettings(), r, []byte("secret"), testTime)
	if v := d.Admit(writeAsk(token, "a")); v.Reason != Admitted || v.SpentToken != nil || v.Client != "member-1" {
		t.Fatalf("first: %+v", v)
	}
	if v := d.Admit(writeAsk(token, "b")); v.Reason != Replayed {
		t.Errorf("at once: %v", v.Reason)
	}
	d.DownloadEnded("a", true)
	if v := d.Admit(writeAsk(token, "c")); v.Reason != Admitted {
		t.Errorf("after one that never ran: %v", v.Reason)
	}
	d.DownloadEnded("c", false)
	late := writeAsk(token, "e")
	late.At += 200_000
	if v := d.Admit(late); v.Reason != Replayed {
		t.Errorf("later: %v", v.Reason)
	}
	// A token with the first one's id as its chain shares the replay entry.
	next := sign(t, r, validClaims().with(asWrite).with(func(c *Claims) { c.ID, c.Chain, c.Critical = "two", "one", "pm_write,pm_chain" }))
	if v := d.Admit(writeAsk(next, "f")); v.Reason != Replayed {
		t.Errorf("by the chain: %v", v.Reason)
	}
	// After a restart the replay table is empty: tokens issued before are refused, unless a store restores the spent ones.
	restarted := New(testSettings(), r, []byte("other"), testTime+1500)
	if v := restarted.Admit(writeAsk(token, "g")); v.Reason != IssuedBeforeRecord {
		t.Errorf("after a restart: %v", v.Reason)
	}
	s := testSettings()
	s.HasStore = true
	first := New(s, r, []byte("one"), testTime)
	v := first.Admit(writeAsk(token, "h"))
	if v.Reason != Admitted || v.SpentToken == nil {
		t.Fatalf("with a store: %+v", v)
	}
	again := New(s, r, []byte("two"), testTime+1000)
	again.RecordSince(testTime)
	again.Restore(*v.SpentToken, testTime+1000)
	if got := again.Admit(writeAsk(token, "i")); got.Reason != Replayed {
		t.Errorf("after a restart with a store: %v", got.Reason)
	}
	// Exactly one of several gateways may spend a token, although they do not communicate.
	one := 0
	for _, name := range []string{"a", "b", "c"} {
		s := testSettings()
		s.Name, s.Spenders = name, []string{"a", "b", "c"}
		switch v := New(s, r, []byte(name), testTime).Admit(writeAsk(token, "j")); v.Reason {
		case Admitted:
			one++
		case OtherGateway:
		default:
			t.Errorf("at %s: %v", name, v.Reason)
		}
	}
	if one != 1 {
		t.Errorf("%d of three gateways may spend it", one)
	}
	// A full replay table refuses writes and does not grow.
	s = testSettings()
	s.Memory, s.ChecksPerSource = replaySlotBytes*groupSlots, 1000
	full, refused := New(s, r, []byte("secret"), testTime), 0
	for i := range 3 * groupSlots {
		token := sign(t, r, validClaims().with(asWrite).with(func(c *Claims) { c.ID = fmt.Sprint("n", i) }))
		if v := full.Admit(writeAsk(token, fmt.Sprint("k", i))); v.Reason == ReplayTableFull {
			refused++
		} else if v.Reason != Admitted {
			t.Fatal(v.Reason)
		}
	}
	if refused != 2*groupSlots || len(full.replays.slots) != groupSlots {
		t.Errorf("%d refused of %d, %d slots", refused, 3*groupSlots, len(full.replays.slots))
	}
}

// Concurrent requests with one token get the same successor. It never exceeds the chain's limit and grants
// nothing more, and can be requested repeatedly.
func TestRenew(t *testing.T) {
	r := newTestKeySet(t, testKey("now", "ES256", Signing))
	near := validClaims().with(func(c *Claims) { c.Expires, c.RenewSeconds, c.Transport, c.CookieDepth = testTime/1000+20, 60, 1, 1 })
	token := sign(t, r, near)
	d := New(testSettings(), r, []byte("secret"), testTime)
	a, b := d.Admit(readAsk(token)), d.Admit(readAsk(token))
	if a.Token == "" || a.Token != b.Token || a.Transport != 1 || a.Path != "/v" {
		t.Fatalf("%+v and %+v", a, b)
	}
	v := d.Admit(readAsk(a.Token))
	if v.Reason != Admitted || v.Token != "" {
		t.Errorf("the successor: %+v", v)
	}
	raw, _ := b64.DecodeString(strings.Split(a.Token, ".")[1])
	next, _, err := parseClaims(raw)
	if err != nil || next.Expires != near.Expires+60 || next.URI != near.URI || next.Subject != near.Subject || next.Chain != "one" || next.ID == "one" {
		t.Errorf("%+v, %v", next, err)
	}
	s := testSettings()
	s.MaxChainAge = 100_000 // 60 s have passed since iat
	bounded := New(s, r, []byte("secret"), testTime)
	raw, _ = b64.DecodeString(strings.Split(bounded.Admit(readAsk(token)).Token, ".")[1])
	if next, _, _ = parseClaims(raw); next.Expires != near.Issued+100 {
		t.Errorf("ends %v s after its chain began", next.Expires-near.Issued)
	}
	s.MaxChainAge = 70_000
	if v := New(s, r, []byte("secret"), testTime).Admit(readAsk(token)); v.Reason != Admitted || v.Token != "" {
		t.Errorf("at the chain's bound: %+v", v)
	}
	for name, c := range map[string]Claims{"long to go": near.with(func(c *Claims) { c.Expires += 100 }),
		"no transport": near.with(func(c *Claims) { c.Transport = 0 }), "without iat": near.with(func(c *Claims) { c.Issued = 0 })} {
		if v := New(testSettings(), r, []byte("secret"), testTime).Admit(readAsk(sign(t, r, c))); v.Reason != Admitted || v.Token != "" {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Keys change in service: signatures of a key are accepted before and after it is the signing key, and refused once it is
// withdrawn. Invalid key sets are refused.
func TestKeyRotation(t *testing.T) {
	old, upcoming := testKey("old", "EdDSA", Signing), testKey("new", "ES256", Upcoming)
	state := func(k Key, s State) Key { k.State = s; return k }
	d := New(testSettings(), newTestKeySet(t, old, upcoming), []byte("secret"), testTime)
	byOld, byNew := sign(t, newTestKeySet(t, old), validClaims()), sign(t, newTestKeySet(t, state(upcoming, Signing)), validClaims())
	for _, c := range []struct {
		keySet      *KeySet
		first, then Reason
	}{
		{newTestKeySet(t, old, upcoming), Admitted, Admitted}, {newTestKeySet(t, state(old, Verifying), state(upcoming, Signing)), Admitted, Admitted},
		{newTestKeySet(t, state(old, Withdrawn), state(upcoming, Signing)), KeyInactive, Admitted}, {newTestKeySet(t, state(upcoming, Signing)), UnknownKey, Admitted},
	} {
		d.SetKeys(c.keySet)
		if a, b := d.Admit(readAsk(byOld)).Reason, d.Admit(readAsk(byNew)).Reason; a != c.first || b != c.then {
			t.Errorf("%v: %v and %v, want %v and %v", c.keySet.Describe(), a, b, c.first, c.then)
		}
	}
	for want, keys := range map[string][]Key{"duplicate id": {old, old}, "is already the signing key": {old, testKey("x", "ES256", Signing)},
		"want at least 32": {{ID: "h", Issuer: "c", Algorithm: "HS256", Private: []byte("x"), Public: []byte("x")}}, "keys: 0": {},
		"there is no private key": {{ID: "p", Issuer: "c", Algorithm: "ES256", State: Signing, Public: &ecKey.PublicKey}},
		"not one of ES256":        {{ID: "n", Issuer: "c", Algorithm: "none"}}, "issuer: empty": {{ID: "i", Algorithm: "EdDSA", Public: edKey.Public()}},
		"the private and public key do not match": {{ID: "m", Issuer: "c", Algorithm: "ES256", Private: edKey, Public: &ecKey.PublicKey}}} {
		if _, err := NewKeySet(keys, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", keys, err, want)
		}
	}
	if text := fmt.Sprintf("%v %+v %#v %s", old, old, old, old); strings.Contains(text, "[") || !strings.Contains(text, "old (EdDSA, signing)") {
		t.Errorf("a key prints itself: %s", text)
	}
}

// A flood of forged tokens leaves room for sources that have shown a good token, and causes a bounded number of checks.
func TestForgeryFlood(t *testing.T) {
	r := newTestKeySet(t, testKey("now", "EdDSA", Signing))
	d := New(testSettings(), r, []byte("secret"), testTime)
	forged := strings.Split(sign(t, r, validClaims()), ".")
	admitted, asked := 0, 0
	for ms := range 5000 {
		for i := range 20 { // 20,000 a second, from 2,000 addresses
			parts := append([]string{}, forged...)
			parts[2] = b64.EncodeToString(fmt.Appendf(nil, "%064d", ms*20+i))
			a := readAsk(strings.Join(parts, "."))
			a.At, a.Source = testTime+float64(ms), fmt.Sprintf("198.51.%d.%d", i%8, ms%250)
			if v := d.Admit(a); v.Reason != BadSignature && v.Reason != RateLimited {
				t.Fatal(v.Reason)
			}
		}
		if ms%50 == 49 {
			asked++
			a := readAsk(sign(t, r, validClaims().with(func(c *Claims) { c.ID = fmt.Sprint(ms) })))
			a.At = testTime + float64(ms)
			if d.Admit(a).Reason == Admitted {
				admitted++
			}
		}
	}
	if d.Checked > 5*2*2100 {
		t.Errorf("%d signatures checked in 5 s", d.Checked)
	}
	if admitted < asked-asked/10 {
		t.Errorf("%d of %d honest tokens admitted", admitted, asked)
	}
}

// The compact form is checked, and no second spelling of a token is valid.
func TestCompact(t *testing.T) {
	r := newTestKeySet(t, testKey("h", "HS256", Signing), testKey("e", "ES256", Verifying))
	s := testSettings()
	s.Form = "compact"
	uri := URI(testBase, "video", testObject, 3)
	one, err := r.SignCompact(uri, "", testTime/1000+60)
	if err != nil {
		t.Fatal(err)
	}
	all, _ := r.SignCompact("", testBase+"/video/"+testObject+"/", testTime/1000+60)
	for _, c := range []struct {
		name, token string
		part        int64
		want        Reason
	}{
		{"one", one, 3, Admitted}, {"another part", one, 4, BadSignature}, {"a prefix", all, 3, Admitted}, {"the same, another part", all, 9, Admitted},
		{"later", strings.Replace(one, "Expires=18000000", "Expires=18000001", 1), 3, BadSignature}, {"expired", strings.Replace(one, "Expires=18", "Expires=17", 1), 3, Expired},
		{"twice", one + "&Signature=x", 3, Malformed}, {"with more", one + "&a=b", 3, Malformed}, {"another spelling", strings.Replace(one, "Expires=1", "Expires=01", 1), 3, Malformed},
		{"another key", strings.Replace(one, "KeyName=h", "KeyName=x", 1), 3, UnknownKey}, {"a key without a secret", strings.Replace(one, "KeyName=h", "KeyName=e", 1), 3, WrongAlgorithm},
		{"out of order", "KeyName=h&Expires=1800000060&Signature=eA", 3, Malformed}, {"nothing", "x", 3, Malformed}, {"padded", one + "=", 3, Malformed},
		{"a prefix of all", strings.Replace(all, "URLPrefix=", "URLPrefix="+b64.EncodeToString([]byte("http"))+"&x=", 1), 3, Malformed},
	} {
		d := New(s, r, []byte("secret"), testTime)
		a := readAsk(c.token)
		a.Part = c.part
		if v := d.Admit(a); v.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, v.Reason, c.want)
		}
	}
	w := writeAsk(one, "w")
	if v := New(s, r, []byte("secret"), testTime).Admit(w); v.Reason != WrongMethod {
		t.Errorf("a write: %v", v.Reason)
	}
}

// Compares Admit with a simple model, while keys change and the wall clock jumps: exactly what the model allows is admitted,
// and no write of one chain is admitted twice.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, _ := NewKeySet([]Key{testKey("now", "HS256", Signing)}, nil)
		off, _ := NewKeySet([]Key{testKey("now", "HS256", Withdrawn)}, nil)
		d := New(testSettings(), r, []byte("secret"), testTime)
		now, shift, valid := testTime+1000, 0.0, true
		ran := map[string]int{}
		type issued struct {
			Claims
			token string
		}
		var all []issued
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				now += float64(rapid.IntRange(0, 200_000).Draw(t, "ms"))
			case 1: // the wall clock jumps; only jumps forward are followed
				jump := float64(rapid.IntRange(-300_000, 300_000).Draw(t, "jump"))
				d.SetWallClock(now, now+jump)
				shift = max(shift, jump)
			case 2:
				valid = !valid
				d.SetKeys(map[bool]*KeySet{true: r, false: off}[valid])
			case 3:
				c := validClaims().with(func(c *Claims) {
					c.ID = fmt.Sprint("t", i)
					c.Issued = float64(int((now+shift)/1000) + 1)
					c.Expires = c.Issued + float64(rapid.IntRange(1, 400).Draw(t, "life"))
				})
				if rapid.Bool().Draw(t, "write") {
					c.Write, c.Critical, c.URI = true, "pm_write", Hash(URI(testBase, "renewal", testObject, 0))
					if len(all) > 0 && rapid.Bool().Draw(t, "chain") {
						c.Chain, c.Critical = all[len(all)-1].ID, "pm_write,pm_chain"
					}
				}
				token, err := r.Sign(c)
				if err != nil {
					t.Fatal(err)
				}
				all = append(all, issued{c, token})
			default:
				if len(all) == 0 {
					continue
				}
				c := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
				a := readAsk(c.token)
				if c.Write {
					a = writeAsk(c.token, fmt.Sprint("d", i))
				}
				a.At = now
				at, chain := now+shift, c.Chain
				if chain == "" {
					chain = c.ID
				}
				may := valid && at < 1000*c.Expires+2000 && at > 1000*c.Issued-2000 && !(c.Write && (ran[chain] > 0 || 1000*c.Issued < testTime+shift))
				v := d.Admit(a)
				if (v.Reason == Admitted) != may {
					t.Fatalf("step %d: %v at %.0f, in the model: %t; %+v", i, v.Reason, at, may, c.Claims)
				}
				if may && c.Write {
					if rapid.Bool().Draw(t, "harmless") {
						d.DownloadEnded(a.ID, true)
					} else {
						d.DownloadEnded(a.ID, false)
						ran[chain]++
					}
				}
			}
		}
	})
}

// No input causes a panic, and only the valid tokens themselves are admitted.
func FuzzToken(f *testing.F) {
	r, _ := NewKeySet([]Key{testKey("now", "HS256", Signing)}, addressSecret)
	s := testSettings()
	s.Memory = 1 << 16
	token, _ := r.Sign(validClaims())
	compact, _ := r.SignCompact(URI(testBase, "video", testObject, 3), "", testTime/1000+60)
	for _, seed := range []string{token, compact, token + ".", strings.ToUpper(token), "..", "e30.e30.e30", "Expires=1&KeyName=now&Signature=eA", token[:40] + "\x00" + token[40:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, form := range []string{"uri-signing", "compact"} {
			s.Form = form
			if v := New(s, r, []byte("secret"), testTime).Admit(readAsk(text)); v.Reason == Admitted && text != token && text != compact {
				t.Errorf("admitted: %q", text)
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, alg := range []string{"HS256", "EdDSA", "ES256"} {
		r := newTestKeySet(b, testKey("now", alg, Signing))
		token := sign(b, r, validClaims())
		s := testSettings()
		s.ChecksPerSource, s.ChecksTotal = 1e12, 1e12
		b.Run(alg+"/first", func(b *testing.B) {
			d := New(s, r, []byte("secret"), testTime)
			b.ReportAllocs()
			for b.Loop() {
				clear(d.verified.groups)
				if d.Admit(readAsk(token)).Reason != Admitted {
					b.Fatal("refused")
				}
			}
		})
		b.Run(alg+"/remembered", func(b *testing.B) {
			d := New(s, r, []byte("secret"), testTime)
			b.ReportAllocs()
			for b.Loop() {
				if d.Admit(readAsk(token)).Reason != Admitted {
					b.Fatal("refused")
				}
			}
		})
	}
	r := newTestKeySet(b, testKey("now", "EdDSA", Signing))
	old := sign(b, r, validClaims().with(func(c *Claims) { c.Expires = 1000 }))
	b.Run("refused by its times", func(b *testing.B) {
		d := New(testSettings(), r, []byte("secret"), testTime)
		b.ReportAllocs()
		for b.Loop() {
			d.Admit(readAsk(old))
		}
	})
}

// Claims survive encoding and parsing unchanged.
func TestClaimsRoundTrip(t *testing.T) {
	c := validClaims().with(asWrite).with(func(c *Claims) {
		c.Version, c.RenewSeconds, c.Transport, c.CookieDepth, c.NotBefore, c.Client, c.Chain = 1, 30, 1, 2, 5, "x", "y"
	})
	got, _, err := parseClaims(c.encode())
	a, _ := json.Marshal(c)
	b, _ := json.Marshal(got)
	if err != nil || string(a) != string(b) {
		t.Errorf("%s\n%s, %v", a, b, err)
	}
}

// The examples of RFC 9246: the hash of section 2.1.15, the expression for the segments of a video, and the claims of a token
// that is renewed in a cookie.
func TestRFC9246Examples(t *testing.T) {
	if got := Hash("http://cdni.example/foo/bar"); got != "hash:sha-256;2tderfWPa86Ku7YnzW51YUp7dGUjBS_3SW3ELx4hmWY" {
		t.Error(got)
	}
	match, err := compileContainer("regex:http://cdni\\.example/foo/bar/[0-9]{3}\\.png")
	if err != nil {
		t.Fatal(err)
	}
	for uri, want := range map[string]bool{"http://cdni.example/foo/bar/000.png": true, "http://cdni.example/foo/bar/999.png": true,
		"http://cdni.example/foo/bar/1000.png": false, "http://cdniXexample/foo/bar/000.png": false, "http://cdni.example/foo/bar/000.png?": false} {
		if match(uri) != want {
			t.Errorf("%s: %t", uri, !want)
		}
	}
	c, _, err := parseClaims([]byte(`{"cdniets":30,"cdnistt":1,"cdnistd":2,"exp":1474243500,"iss":"uCDN Inc",` +
		`"cdniuc":"regex:http://cdni\\.example/foo/bar/[0-9]{3}\\.png"}`))
	if err != nil || c.RenewSeconds != 30 || c.Transport != 1 || c.CookieDepth != 2 || c.Expires != 1474243500 || c.Issuer != "uCDN Inc" {
		t.Errorf("%+v, %v", c, err)
	}
	if got := cookiePath("http://cdni.example/foo/bar", c.CookieDepth); got != "/foo/bar" {
		t.Error(got)
	}
}

// A million tokens do not grow the replay table, and entries that have not expired stay in it.
func TestReplayTableIsBounded(t *testing.T) {
	s := newReplayTable(4 << 20)
	first := digest(nil, "first")
	s.use(first, testTime, testTime+1e6, 1)
	slots, full := len(s.slots), 0
	for i := range 1_000_000 {
		if why, ok := s.use(digest(nil, fmt.Sprint(i)), testTime, testTime+1e6, 1); !ok && why == ReplayTableFull {
			full++
		}
	}
	if why, _ := s.use(first, testTime, testTime+1e6, 1); why != Replayed || len(s.slots) != slots || slots*replaySlotBytes > 4<<20 || full != 1_000_000+1-slots {
		t.Errorf("%d slots, %d before, %d refused, the first: %v", len(s.slots), slots, full, why)
	}
}

// Guards against a restored record that does not fit the table being dropped: once other entries expire, its token would be
// admitted again.
func TestRestoredSpendsThatDoNotFitStaySpent(t *testing.T) {
	table := newReplayTable(0) // one group
	key := func(n int) [16]byte { return digest(nil, "key", strconv.Itoa(n)) }
	for n := range groupSlots {
		table.restore(key(n), 0, 10_000)
	}
	late := key(groupSlots)
	table.restore(late, 0, 60_000)
	for _, c := range []struct {
		now  float64
		want Reason
	}{{5_000, ReplayTableFull}, {30_000, ReplayTableFull}, {59_999, ReplayTableFull}, {60_000, Admitted}} {
		if reason, _ := table.use(late, c.now, 90_000, 1); reason != c.want {
			t.Errorf("at %.0f: %v, want %v", c.now, reason, c.want)
		}
	}
}

// Guards against a spent token that a larger skew makes valid once more, after its entry has expired.
func TestLargerSkewDoesNotReviveSpentToken(t *testing.T) {
	r := newTestKeySet(t, testKey("ed", "EdDSA", Signing))
	token := sign(t, r, validClaims().with(asWrite))
	s := testSettings()
	s.MaxChainAge = 0
	d := New(s, r, []byte("secret"), testTime)
	if v := d.Admit(writeAsk(token, "a")); v.Reason != Admitted {
		t.Fatal(v.Reason)
	}
	s.Skew = maxSkewMillis
	d.SetSettings(s)
	request := writeAsk(token, "b")
	for range 600 {
		if v := d.Admit(request); v.Reason == Admitted {
			t.Fatalf("admitted again %.0f ms later", request.At-testTime)
		}
		request.At += 1000
	}
}
