package world

import (
	"cmp"
	"slices"
	"strings"

	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// LinkBase is the prefix of all links in a rehearsal.
const LinkBase = "https://rehearsal.invalid"

// issuer signs the members' links and rotates its keys.
type issuer struct {
	keys      []links.Key
	keySet    *links.KeySet
	boxKeySet *links.KeySet // the boxes' keys, which change after the gateways' keys
	keysMade  int
}

// The gateways share no state, so the link of a write names the only gateway that may accept it: its audience is that gateway's
// name, that of any other link is "club".

// LinkSettings are the gateways' link settings; the zero value if the script has no links.
func (w *World) LinkSettings() links.Settings {
	l := w.script.Links
	if l.Life == 0 {
		return links.Settings{}
	}
	s := links.Defaults()
	s.Audience = []string{"club"}
	s.NodeLinkLifetime = l.Boxes
	s.Base, s.ChecksPerSource, s.ChecksTotal, s.RenewWithin = LinkBase, l.Checks, 20*l.Checks, l.Life/2
	return s
}

// LinkKeys are the current keys.
func (w *World) LinkKeys() []links.Key { return w.issuer.keys }

func (w *World) newKey(s links.State) links.Key {
	w.issuer.keysMade++
	secret := []byte(w.random.id("key", w.issuer.keysMade) + w.random.id("more of it", w.issuer.keysMade))
	return links.Key{ID: numberedID("key", w.issuer.keysMade), Issuer: "club", Algorithm: "HS256", State: s, Private: secret, Public: secret}
}

func (w *World) setKeys(keys ...links.Key) {
	w.issuer.keys = keys
	keySet, err := links.NewKeySet(keys, nil)
	if err != nil {
		panic(err) // keys made here are always valid
	}
	w.issuer.keySet = keySet
	if w.issuer.boxKeySet == nil {
		w.issuer.boxKeySet = keySet
	}
	w.scheduleAfter(1000, func() { w.issuer.boxKeySet = keySet })
}

// rotateKeys starts signing with the upcoming key and gives the present one the state old; a withdrawn key stays in the file.
func (w *World) rotateKeys(old links.State) {
	next := slices.Clone(w.issuer.keys)
	for i := range next {
		switch next[i].State {
		case links.Signing:
			next[i].State = old
		case links.Upcoming:
			next[i].State = links.Signing
		}
	}
	next = append(next, w.newKey(links.Upcoming))
	if len(next) > 6 {
		next = next[1:]
	}
	// The gateways load the new file before the issuer signs with the new key, as the operations guide prescribes; after a leak
	// the issuer does not wait.
	w.emit(Keys{Keys: next})
	if old == links.Withdrawn {
		w.setKeys(next...)
	} else {
		w.scheduleAfter(1000, func() { w.setKeys(next...) })
	}
}

// attachLink adds the operation's signed link to a request: the present one while it is valid, else a new one.
func (w *World) attachLink(op *operation, r *Request, g *gateway) {
	l := w.script.Links
	if l.Life == 0 {
		return
	}
	if op.link == nil || w.now >= op.link.expiresAt {
		c := links.Claims{Issuer: "club", Subject: "member", Issued: (w.epoch + w.now) / 1000, ID: w.random.id("jti", op.typ.Name, op.number, op.attempts),
			Audience: []string{"club"}, URI: "regex:" + LinkBase + "/" + op.typ.Name + "/" + op.object + "/[0-9]+"}
		c.Expires = c.Issued + l.Life/1000
		if l.Renew > 0 {
			c.RenewSeconds, c.Transport = l.Renew/1000, 1
		}
		if op.typ.Write {
			name, _, _ := w.Config(g.number)
			c.Audience = []string{name}
			c.Write, c.Critical, c.URI = true, links.CriticalWrite, links.Hash(links.URI(LinkBase, op.typ.Name, op.object, int64(op.part)))
		}
		token, err := w.issuer.keySet.Sign(c)
		if err != nil {
			panic(err)
		}
		op.link = &heldLink{gateway: g.number, token: token, chain: c.ID, expiresAt: 1000*c.Expires - w.epoch - 100}
	}
	r.Token, r.LinkID, r.Source = op.link.token, op.link.chain, "10.0.0."+string(rune('0'+op.number%10))
}

// acceptsLink reports whether a GET carries a gateway's link that is valid for this box and part.
func (b *box) acceptsLink(r *request, token string) bool {
	w := b.w
	if w.script.Links.Boxes == 0 {
		return true
	}
	s := w.LinkSettings()
	s.Audience = []string{b.id}
	s.Memory = 1 << 10
	a := links.Request{At: w.epoch + w.now, Token: token, ID: r.id, Type: r.typ.Name, Object: r.key.object, Part: int64(r.key.part), Write: r.typ.Write}
	return links.New(s, w.issuer.boxKeySet, []byte(b.id), 0).Admit(a).Reason == links.Admitted
}

// heldLink is a signed link that a client holds for all parts of an object.
type heldLink struct {
	token, chain string
	gateway      int // for a write: the only gateway that may accept it
	expiresAt    float64
}

// takeRenewal stores the renewed link of an answer.
func (op *operation) takeRenewal(token string, extension float64) {
	if token != "" && op.link != nil {
		op.link.token, op.link.expiresAt = token, op.link.expiresAt+extension
	}
}

// scheduleForgery sends requests with invalid links, at e.Factor times the rate of valid requests.
func (w *World) scheduleForgery(e *script.Event, n int, end float64) {
	c := w.random.generator("forge", e.Number, n)
	w.scheduleAfter(interarrival(&c, e.Factor*w.rate(w.now)/1000), func() {
		if w.now >= end || w.trafficEnded {
			return
		}
		w.sendForged(n, &c)
		w.scheduleForgery(e, n+1, end)
	})
}

func (w *World) sendForged(n int, c *randomSource) {
	t := w.types[int(c.Float64()*float64(len(w.types)))]
	op := &operation{number: -n - 1, typ: t, object: w.random.id("object", 0, n%50), club: w.script.Clubs[n%len(w.script.Clubs)], startedAt: w.now, attempts: 1, duplicate: true}
	g := w.chooseGateway(op)
	if g == nil || !g.up {
		return
	}
	r := Request{ID: w.random.id("forged", n), Type: t.Name, Object: op.object, Group: t.group(w, op.object), Timeout: t.Expiry, Forged: true}
	w.attachLink(op, &r, g)
	parts := strings.Split(r.Token, ".")
	switch n % 4 {
	case 0: // an invalid signature
		parts[2] = strings.Repeat("A", len(parts[2]))
	case 1: // a link for another object
		r.Object = w.random.id("object", 0, n%50+1)
	case 2:
		parts[0] = "eyJhbGciOiJub25lIiwia2lkIjoia2V5LTEifQ" // {"alg":"none","kid":"key-1"}
	case 3:
		r.Token, parts = "", nil
	}
	if parts != nil {
		r.Token = strings.Join(parts, ".")
	}
	r.Group, r.Source = t.group(w, r.Object), "192.0.2."+string(rune('0'+n%10))
	if t.Write {
		r.Body = 100
	}
	w.openOperations++
	w.sendRequest(&openRequest{op: op, gateway: g.number, sentAt: w.now, Request: r}, g, false)
}

// KeyReloadDelay is the time in ms until a gateway has loaded changed keys.
func (w *World) KeyReloadDelay(gateway int) float64 {
	c := w.random.generator("keys", gateway, w.issuer.keysMade)
	return cmp.Or(c.Float64()*500, 1)
}
