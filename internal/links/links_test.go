package links

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	base  = "https://media.example/v"
	video = "7f3a9c21e0b4d655"
	noon  = 1.8e12
)

var (
	ecKey, _  = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	_, edKey  = must2(ed25519.GenerateKey(rand.Reader))
	shared    = []byte(strings.Repeat("s", 32))
	addresses = []byte(strings.Repeat("a", 32))
)

func must2(a ed25519.PublicKey, b ed25519.PrivateKey, err error) (ed25519.PublicKey, ed25519.PrivateKey) {
	if err != nil {
		panic(err)
	}
	return a, b
}

func keyOf(id, algorithm string, s State) Key {
	k := Key{ID: id, Issuer: "club", Algorithm: algorithm, State: s}
	switch algorithm {
	case "ES256":
		k.Private, k.Public = ecKey, &ecKey.PublicKey
	case "EdDSA":
		k.Private, k.Public = edKey, edKey.Public()
	default:
		k.Private, k.Public = shared, shared
	}
	return k
}

func ringOf(t testing.TB, keys ...Key) *Ring {
	t.Helper()
	r, err := NewRing(keys, addresses)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func settings() Settings {
	s := Defaults()
	s.Base, s.Audience, s.Name = base, []string{"amber"}, "gateway-a"
	return s
}

// good are the claims of a token that is good at noon for the object above.
func good() Claims {
	return Claims{Issuer: "club", Subject: "member-1", Audience: []string{"amber"}, Issued: noon/1000 - 60, Expires: noon/1000 + 300,
		ID: "one", URI: "regex:" + base + "/video/" + video + "/[0-9]+"}
}

func (c Claims) with(change func(*Claims)) Claims {
	change(&c)
	return c
}

func writes(c *Claims) {
	c.Write, c.Critical, c.URI, c.Issued = true, "pm_write", Hash(URI(base, "renewal", video, 0)), noon/1000+1
}

func read(token string) Ask {
	return Ask{At: noon, Source: "10.0.0.7", Token: token, ID: "d1", Type: "video", Object: video, Part: 3}
}

func write(token, id string) Ask {
	return Ask{At: noon + 2000, Source: "10.0.0.7", Token: token, ID: id, Type: "renewal", Object: video, Write: true}
}

func sign(t testing.TB, r *Ring, c Claims) string {
	t.Helper()
	token, err := r.Sign(c)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// Each kind of token that is not good has a reason of its own, named by the claim; each good one is admitted, at once and
// again from memory.
func TestAdmit(t *testing.T) {
	r := ringOf(t, keyOf("now", "EdDSA", Signing), keyOf("old", "ES256", Verifying), keyOf("gone", "HS256", Retired), keyOf("leak", "HS256", Withdrawn))
	sealed, err := r.SealAddress("10.0.0.0/8")
	if err != nil {
		t.Fatal(err)
	}
	elsewhere, _ := r.SealAddress("192.0.2.0/24")
	by := func(k Key) *Ring { k.State = Signing; return ringOf(t, k) }
	rewrite := func(part int, change func(string) string) string {
		parts := strings.Split(sign(t, r, good()), ".")
		raw, _ := b64.DecodeString(parts[part])
		parts[part] = b64.EncodeToString([]byte(change(string(raw))))
		return strings.Join(parts, ".")
	}
	token := sign(t, r, good())
	for _, c := range []struct {
		name  string
		ask   Ask
		want  Reason
		claim string
	}{
		{"good", read(token), Admitted, ""},
		{"good, by another key that verifies", read(sign(t, by(keyOf("old", "ES256", 0)), good())), Admitted, ""},
		{"hash container", read(sign(t, r, good().with(func(c *Claims) { c.URI = Hash(URI(base, "video", video, 3)) }))), Admitted, ""},
		{"address within", read(sign(t, r, good().with(func(c *Claims) { c.Client = sealed }))), Admitted, ""},
		{"unknown, not critical", read(func() string {
			return sign(t, r, good().with(func(c *Claims) { c.Version = 1; c.Critical = "cdniv" }))
		}()), Admitted, ""},
		{"none", read(""), NoToken, ""}, {"huge", read(strings.Repeat("a", 5000)), TooLarge, ""},
		{"expired", read(sign(t, r, good().with(func(c *Claims) { c.Expires = noon/1000 - 3 }))), Expired, "exp"},
		{"expired within the skew", read(sign(t, r, good().with(func(c *Claims) { c.Expires = noon/1000 - 1 }))), Admitted, ""},
		{"without an end", read(sign(t, r, good().with(func(c *Claims) { c.Expires = 0 }))), Malformed, "exp"},
		{"not yet", read(sign(t, r, good().with(func(c *Claims) { c.NotBefore = noon/1000 + 9 }))), NotYet, "nbf"},
		{"issued tomorrow", read(sign(t, r, good().with(func(c *Claims) { c.Issued = noon/1000 + 9 }))), NotYet, "iat"},
		{"for ever", read(sign(t, r, good().with(func(c *Claims) { c.Expires = noon/1000 + 1e8 }))), TooLong, "exp"},
		{"another issuer", read(sign(t, r, good().with(func(c *Claims) { c.Issuer = "other" }))), WrongIssuer, "iss"},
		{"another audience", read(sign(t, r, good().with(func(c *Claims) { c.Audience = []string{"birch"} }))), WrongAudience, "aud"},
		{"another object", Ask{At: noon, Token: token, Type: "video", Object: "0000000000000000", Part: 3}, WrongURI, "cdniuc"},
		{"another type", Ask{At: noon, Token: token, Type: "pages", Object: video, Part: 3}, WrongURI, "cdniuc"},
		{"hash of another part", read(sign(t, r, good().with(func(c *Claims) { c.URI = Hash(URI(base, "video", video, 4)) }))), WrongURI, "cdniuc"},
		{"a prefix of the URI alone", read(sign(t, r, good().with(func(c *Claims) { c.URI = "regex:" + base + "/video" }))), WrongURI, "cdniuc"},
		{"an expression that is none", read(sign(t, r, good().with(func(c *Claims) { c.URI = "regex:((" }))), Malformed, "cdniuc"},
		{"no container", read(sign(t, r, good().with(func(c *Claims) { c.URI = "all" }))), Malformed, "cdniuc"},
		{"version", read(sign(t, r, good().with(func(c *Claims) { c.Version = 2 }))), WrongVersion, "cdniv"},
		{"critical and unknown", read(sign(t, r, good().with(func(c *Claims) { c.Critical = "exp2" }))), UnknownCritical, "cdnicrit"},
		{"critical and absent", read(sign(t, r, good().with(func(c *Claims) { c.Critical = "cdniip" }))), UnknownCritical, "cdnicrit"},
		{"address without", read(sign(t, r, good().with(func(c *Claims) { c.Client = elsewhere }))), WrongClient, "cdniip"},
		{"address that can't be read", read(sign(t, r, good().with(func(c *Claims) { c.Client = "10.0.0.0/8" }))), WrongClient, "cdniip"},
		{"a read's for a write", write(sign(t, r, good().with(func(c *Claims) { c.URI = Hash(URI(base, "renewal", video, 0)) })), "w"), WrongMethod, claimWrite},
		{"a write's for a read", read(sign(t, r, good().with(func(c *Claims) { c.Write, c.Critical = true, "pm_write" }))), WrongMethod, claimWrite},
		{"unknown key", read(sign(t, by(keyOf("who", "HS256", 0)), good())), UnknownKey, "kid"},
		{"retired key", read(sign(t, by(keyOf("gone", "HS256", 0)), good())), KeyOver, "kid"},
		{"withdrawn key", read(sign(t, by(keyOf("leak", "HS256", 0)), good())), KeyOver, "kid"},
		{"another's key under a good name", read(sign(t, by(keyOf("old", "EdDSA", 0)), good())), WrongAlgorithm, "alg"},
		{"none as algorithm", read(rewrite(0, func(s string) string { return strings.Replace(s, "EdDSA", "none", 1) })), WrongAlgorithm, "alg"},
		{"a public key as a secret", read(rewrite(0, func(s string) string { return strings.Replace(s, "EdDSA", "HS256", 1) })), WrongAlgorithm, "alg"},
		{"a key of its own", read(rewrite(0, func(s string) string { return s[:len(s)-1] + `,"jwk":{}}` })), Malformed, "header"},
		{"tampered", read(rewrite(1, func(s string) string { return strings.Replace(s, "member-1", "member-2", 1) })), BadSignature, "signature"},
		{"a claim twice", read(rewrite(1, func(s string) string { return s[:len(s)-1] + `,"exp":99999999999}` })), Malformed, "payload"},
		{"something after it", read(rewrite(1, func(s string) string { return s + "{}" })), Malformed, "payload"},
		{"deep", read(rewrite(1, func(s string) string { return s[:len(s)-1] + `,"x":[[["y"]]]}` })), Malformed, "payload"},
		{"not UTF-8", read(rewrite(1, func(s string) string { return strings.Replace(s, "member-1", "m\xff", 1) })), Malformed, "payload"},
		{"exp as a text", read(rewrite(1, func(s string) string { return strings.Replace(s, `"exp":`, `"exp":"1","y":`, 1) })), Malformed, "payload"},
		{"cut", read(token[:len(token)-2]), BadSignature, "signature"}, {"a part more", read(token + ".x"), Malformed, ""},
		{"padded", read(token + "="), Malformed, "signature"}, {"two parts", read(token[:strings.LastIndexByte(token, '.')]), Malformed, ""},
	} {
		d := New(settings(), r, []byte("secret"), noon)
		for i := range 2 {
			if v := d.Admit(c.ask); v.Reason != c.want || v.Claim != c.claim {
				t.Errorf("%s, try %d: %v (%s), want %v (%s)", c.name, i+1, v.Reason, v.Claim, c.want, c.claim)
			}
		}
		if c.want == Admitted && (d.Checked != 1 || d.Remembered != 1) {
			t.Errorf("%s: %d signatures checked, %d remembered", c.name, d.Checked, d.Remembered)
		}
	}
}

// What must not run twice does not, by whatever tokens of one chain it is asked for; what is known not to have run may.
func TestSpend(t *testing.T) {
	r := ringOf(t, keyOf("now", "EdDSA", Signing))
	token := sign(t, r, good().with(writes))
	d := New(settings(), r, []byte("secret"), noon)
	if v := d.Admit(write(token, "a")); v.Reason != Admitted || v.Spend != nil || v.Client != "member-1" {
		t.Fatalf("first: %+v", v)
	}
	if v := d.Admit(write(token, "b")); v.Reason != Replayed {
		t.Errorf("at once: %v", v.Reason)
	}
	d.Ended("a", true)
	if v := d.Admit(write(token, "c")); v.Reason != Admitted {
		t.Errorf("after one that never ran: %v", v.Reason)
	}
	d.Ended("c", false)
	late := write(token, "e")
	late.At += 200_000
	if v := d.Admit(late); v.Reason != Replayed {
		t.Errorf("later: %v", v.Reason)
	}
	// Its successor, and one that a rival made of the chain's id, are of the same chain.
	next := sign(t, r, good().with(writes).with(func(c *Claims) { c.ID, c.Chain, c.Critical = "two", "one", "pm_write,pm_chain" }))
	if v := d.Admit(write(next, "f")); v.Reason != Replayed {
		t.Errorf("by the chain: %v", v.Reason)
	}
	// After a restart nothing is remembered: what was issued before is refused, unless the store has brought it back.
	born := New(settings(), r, []byte("other"), noon+1500)
	if v := born.Admit(write(token, "g")); v.Reason != BeforeStart {
		t.Errorf("after a restart: %v", v.Reason)
	}
	s := settings()
	s.Stored = true
	first := New(s, r, []byte("one"), noon)
	v := first.Admit(write(token, "h"))
	if v.Reason != Admitted || v.Spend == nil {
		t.Fatalf("with a store: %+v", v)
	}
	again := New(s, r, []byte("two"), noon+1000)
	again.Restore(*v.Spend, noon+1000)
	if got := again.Admit(write(token, "i")); got.Reason != Replayed {
		t.Errorf("after a restart with a store: %v", got.Reason)
	}
	// Of several gateways that don't talk exactly one may spend a token.
	one := 0
	for _, name := range []string{"a", "b", "c"} {
		s := settings()
		s.Name, s.Spenders = name, []string{"a", "b", "c"}
		switch v := New(s, r, []byte(name), noon).Admit(write(token, "j")); v.Reason {
		case Admitted:
			one++
		case NotThisOne:
		default:
			t.Errorf("at %s: %v", name, v.Reason)
		}
	}
	if one != 1 {
		t.Errorf("%d of three gateways may spend it", one)
	}
	// A full memory refuses what must not run twice, and stays as large as it was given.
	s = settings()
	s.Memory, s.Checks = slotBytes*group, 1000
	full, refused := New(s, r, []byte("secret"), noon), 0
	for i := range 3 * group {
		token := sign(t, r, good().with(writes).with(func(c *Claims) { c.ID = fmt.Sprint("n", i) }))
		if v := full.Admit(write(token, fmt.Sprint("k", i))); v.Reason == NoMemory {
			refused++
		} else if v.Reason != Admitted {
			t.Fatal(v.Reason)
		}
	}
	if refused != 2*group || len(full.spent.slots) != group {
		t.Errorf("%d refused of %d, %d slots", refused, 3*group, len(full.spent.slots))
	}
}

// Successors: the same for all who race, never past the chain's bound, never wider, and asked for again at will.
func TestRenew(t *testing.T) {
	r := ringOf(t, keyOf("now", "ES256", Signing))
	near := good().with(func(c *Claims) { c.Expires, c.Renew, c.Transport, c.Depth = noon/1000+20, 60, 1, 1 })
	token := sign(t, r, near)
	d := New(settings(), r, []byte("secret"), noon)
	a, b := d.Admit(read(token)), d.Admit(read(token))
	if a.Token == "" || a.Token != b.Token || a.Store != 1 || a.Path != "/v" {
		t.Fatalf("%+v and %+v", a, b)
	}
	v := d.Admit(read(a.Token))
	if v.Reason != Admitted || v.Token != "" {
		t.Errorf("the successor: %+v", v)
	}
	raw, _ := b64.DecodeString(strings.Split(a.Token, ".")[1])
	next, _, err := parseClaims(raw)
	if err != nil || next.Expires != near.Expires+60 || next.URI != near.URI || next.Subject != near.Subject || next.Chain != "one" || next.ID == "one" {
		t.Errorf("%+v, %v", next, err)
	}
	s := settings()
	s.Chain = 100_000 // 60 s of it have passed
	bounded := New(s, r, []byte("secret"), noon)
	raw, _ = b64.DecodeString(strings.Split(bounded.Admit(read(token)).Token, ".")[1])
	if next, _, _ = parseClaims(raw); next.Expires != near.Issued+100 {
		t.Errorf("ends %v s after its chain began", next.Expires-near.Issued)
	}
	s.Chain = 70_000
	if v := New(s, r, []byte("secret"), noon).Admit(read(token)); v.Reason != Admitted || v.Token != "" {
		t.Errorf("at the chain's bound: %+v", v)
	}
	for name, c := range map[string]Claims{"long to go": near.with(func(c *Claims) { c.Expires += 100 }),
		"no transport": near.with(func(c *Claims) { c.Transport = 0 }), "without iat": near.with(func(c *Claims) { c.Issued = 0 })} {
		if v := New(settings(), r, []byte("secret"), noon).Admit(read(sign(t, r, c))); v.Reason != Admitted || v.Token != "" {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Keys change in service: before a key signs and after it does no more, what it signed is good; once withdrawn, nothing.
func TestKeysChange(t *testing.T) {
	old, new := keyOf("old", "EdDSA", Signing), keyOf("new", "ES256", Upcoming)
	state := func(k Key, s State) Key { k.State = s; return k }
	d := New(settings(), ringOf(t, old, new), []byte("secret"), noon)
	byOld, byNew := sign(t, ringOf(t, old), good()), sign(t, ringOf(t, state(new, Signing)), good())
	for _, c := range []struct {
		ring        *Ring
		first, then Reason
	}{
		{ringOf(t, old, new), Admitted, Admitted}, {ringOf(t, state(old, Verifying), state(new, Signing)), Admitted, Admitted},
		{ringOf(t, state(old, Withdrawn), state(new, Signing)), KeyOver, Admitted}, {ringOf(t, state(new, Signing)), UnknownKey, Admitted},
	} {
		d.Keys(c.ring)
		if a, b := d.Admit(read(byOld)).Reason, d.Admit(read(byNew)).Reason; a != c.first || b != c.then {
			t.Errorf("%v: %v and %v, want %v and %v", c.ring.Names(), a, b, c.first, c.then)
		}
	}
	for want, keys := range map[string][]Key{"stands twice": {old, old}, "signs already": {old, keyOf("x", "ES256", Signing)},
		"32 at least": {{ID: "h", Issuer: "c", Algorithm: "HS256", Private: []byte("x"), Public: []byte("x")}}, "keys: 0": {},
		"no private half": {{ID: "p", Issuer: "c", Algorithm: "ES256", State: Signing, Public: &ecKey.PublicKey}},
		"none of ES256":   {{ID: "n", Issuer: "c", Algorithm: "none"}}, "issuer: empty": {{ID: "i", Algorithm: "EdDSA", Public: edKey.Public()}},
		"don't belong together": {{ID: "m", Issuer: "c", Algorithm: "ES256", Private: edKey, Public: &ecKey.PublicKey}}} {
		if _, err := NewRing(keys, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: %v, want %q", keys, err, want)
		}
	}
	if text := fmt.Sprintf("%v %+v %#v %s", old, old, old, old); strings.Contains(text, "[") || !strings.Contains(text, "old (EdDSA, signing)") {
		t.Errorf("a key prints itself: %s", text)
	}
}

// A flood of forgeries leaves room for those who have shown a good token, and costs a bounded number of checks.
func TestFlood(t *testing.T) {
	r := ringOf(t, keyOf("now", "EdDSA", Signing))
	d := New(settings(), r, []byte("secret"), noon)
	forged := strings.Split(sign(t, r, good()), ".")
	honest, asked := 0, 0
	for ms := range 5000 {
		for i := range 20 { // 20,000 a second, from 2,000 addresses
			parts := append([]string{}, forged...)
			parts[2] = b64.EncodeToString(fmt.Appendf(nil, "%064d", ms*20+i))
			a := read(strings.Join(parts, "."))
			a.At, a.Source = noon+float64(ms), fmt.Sprintf("198.51.%d.%d", i%8, ms%250)
			if v := d.Admit(a); v.Reason != BadSignature && v.Reason != Busy {
				t.Fatal(v.Reason)
			}
		}
		if ms%50 == 49 {
			asked++
			a := read(sign(t, r, good().with(func(c *Claims) { c.ID = fmt.Sprint(ms) })))
			a.At = noon + float64(ms)
			if d.Admit(a).Reason == Admitted {
				honest++
			}
		}
	}
	if d.Checked > 5*2*2100 {
		t.Errorf("%d signatures checked in 5 s", d.Checked)
	}
	if honest < asked-asked/10 {
		t.Errorf("%d of %d honest tokens admitted", honest, asked)
	}
}

// The compact form, and that no second spelling of a token is good.
func TestCompact(t *testing.T) {
	r := ringOf(t, keyOf("h", "HS256", Signing), keyOf("e", "ES256", Verifying))
	s := settings()
	s.Form = "compact"
	uri := URI(base, "video", video, 3)
	one, err := r.Compact(uri, "", noon/1000+60)
	if err != nil {
		t.Fatal(err)
	}
	all, _ := r.Compact("", base+"/video/"+video+"/", noon/1000+60)
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
		d := New(s, r, []byte("secret"), noon)
		a := read(c.token)
		a.Part = c.part
		if v := d.Admit(a); v.Reason != c.want {
			t.Errorf("%s: %v, want %v", c.name, v.Reason, c.want)
		}
	}
	w := write(one, "w")
	if v := New(s, r, []byte("secret"), noon).Admit(w); v.Reason != WrongMethod {
		t.Errorf("a write: %v", v.Reason)
	}
}

// A slow model of admission runs beside the door, with keys that change and a wall clock that jumps: what the model rules
// out is never admitted, what it allows is, and no write of one chain is admitted twice.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, _ := NewRing([]Key{keyOf("now", "HS256", Signing)}, nil)
		off, _ := NewRing([]Key{keyOf("now", "HS256", Withdrawn)}, nil)
		d := New(settings(), r, []byte("secret"), noon)
		now, ahead, valid := noon+1000, 0.0, true
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
			case 1: // the wall clock jumps; only forth is it followed
				jump := float64(rapid.IntRange(-300_000, 300_000).Draw(t, "jump"))
				d.Wall(now, now+jump)
				ahead = max(ahead, jump)
			case 2:
				valid = !valid
				d.Keys(map[bool]*Ring{true: r, false: off}[valid])
			case 3:
				c := good().with(func(c *Claims) {
					c.ID = fmt.Sprint("t", i)
					c.Issued = float64(int((now+ahead)/1000) + 1)
					c.Expires = c.Issued + float64(rapid.IntRange(1, 400).Draw(t, "life"))
				})
				if rapid.Bool().Draw(t, "write") {
					c.Write, c.Critical, c.URI = true, "pm_write", Hash(URI(base, "renewal", video, 0))
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
				a := read(c.token)
				if c.Write {
					a = write(c.token, fmt.Sprint("d", i))
				}
				a.At = now
				at, chain := now+ahead, c.Chain
				if chain == "" {
					chain = c.ID
				}
				may := valid && at < 1000*c.Expires+2000 && at > 1000*c.Issued-2000 && !(c.Write && (ran[chain] > 0 || 1000*c.Issued < noon+ahead))
				v := d.Admit(a)
				if (v.Reason == Admitted) != may {
					t.Fatalf("step %d: %v at %.0f, in the model: %t; %+v", i, v.Reason, at, may, c.Claims)
				}
				if may && c.Write {
					if rapid.Bool().Draw(t, "harmless") {
						d.Ended(a.ID, true)
					} else {
						d.Ended(a.ID, false)
						ran[chain]++
					}
				}
			}
		}
	})
}

// Whatever stands in place of a token: no panic, and nothing admitted but the token itself.
func FuzzToken(f *testing.F) {
	r, _ := NewRing([]Key{keyOf("now", "HS256", Signing)}, addresses)
	s := settings()
	s.Memory = 1 << 16
	token, _ := r.Sign(good())
	compact, _ := r.Compact(URI(base, "video", video, 3), "", noon/1000+60)
	for _, seed := range []string{token, compact, token + ".", strings.ToUpper(token), "..", "e30.e30.e30", "Expires=1&KeyName=now&Signature=eA", token[:40] + "\x00" + token[40:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, form := range []string{"uri-signing", "compact"} {
			s.Form = form
			if v := New(s, r, []byte("secret"), noon).Admit(read(text)); v.Reason == Admitted && text != token && text != compact {
				t.Errorf("admitted: %q", text)
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, alg := range []string{"HS256", "EdDSA", "ES256"} {
		r := ringOf(b, keyOf("now", alg, Signing))
		token := sign(b, r, good())
		s := settings()
		s.Checks, s.AllChecks = 1e12, 1e12
		b.Run(alg+"/first", func(b *testing.B) {
			d := New(s, r, []byte("secret"), noon)
			b.ReportAllocs()
			for b.Loop() {
				clear(d.goods.all)
				if d.Admit(read(token)).Reason != Admitted {
					b.Fatal("refused")
				}
			}
		})
		b.Run(alg+"/remembered", func(b *testing.B) {
			d := New(s, r, []byte("secret"), noon)
			b.ReportAllocs()
			for b.Loop() {
				if d.Admit(read(token)).Reason != Admitted {
					b.Fatal("refused")
				}
			}
		})
	}
	r := ringOf(b, keyOf("now", "EdDSA", Signing))
	old := sign(b, r, good().with(func(c *Claims) { c.Expires = 1000 }))
	b.Run("refused by its times", func(b *testing.B) {
		d := New(settings(), r, []byte("secret"), noon)
		b.ReportAllocs()
		for b.Loop() {
			d.Admit(read(old))
		}
	})
}

// The claims are written as they are read.
func TestClaims(t *testing.T) {
	c := good().with(writes).with(func(c *Claims) {
		c.Version, c.Renew, c.Transport, c.Depth, c.NotBefore, c.Client, c.Chain = 1, 30, 1, 2, 5, "x", "y"
	})
	got, _, err := parseClaims(c.encode())
	a, _ := json.Marshal(c)
	b, _ := json.Marshal(got)
	if err != nil || string(a) != string(b) {
		t.Errorf("%s\n%s, %v", a, b, err)
	}
}

// The figures of RFC 9246's own examples: the hash of section 2.1.15, the expression with the parts of a video, and the
// claims by which a token renews itself for them in a cookie.
func TestExamplesOfTheRFC(t *testing.T) {
	if got := Hash("http://cdni.example/foo/bar"); got != "hash:sha-256;2tderfWPa86Ku7YnzW51YUp7dGUjBS_3SW3ELx4hmWY" {
		t.Error(got)
	}
	match, err := container("regex:http://cdni\\.example/foo/bar/[0-9]{3}\\.png")
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
	if err != nil || c.Renew != 30 || c.Transport != 1 || c.Depth != 2 || c.Expires != 1474243500 || c.Issuer != "uCDN Inc" {
		t.Errorf("%+v, %v", c, err)
	}
	if got := cookiePath("http://cdni.example/foo/bar", c.Depth); got != "/foo/bar" {
		t.Error(got)
	}
}

// A million links offered take the memory that was given and not a byte more; those in force stay spent.
func TestMemoryOfAMillion(t *testing.T) {
	s := newSpent(4 << 20)
	first := digest(nil, "first")
	s.use(first, noon, noon+1e6, 1)
	slots, full := len(s.slots), 0
	for i := range 1_000_000 {
		if why, ok := s.use(digest(nil, fmt.Sprint(i)), noon, noon+1e6, 1); !ok && why == NoMemory {
			full++
		}
	}
	if why, _ := s.use(first, noon, noon+1e6, 1); why != Replayed || len(s.slots) != slots || slots*slotBytes > 4<<20 || full != 1_000_000+1-slots {
		t.Errorf("%d slots, %d before, %d refused, the first: %v", len(s.slots), slots, full, why)
	}
}
