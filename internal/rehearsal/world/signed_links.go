package world

import (
	"cmp"
	"slices"
	"strings"

	"poppymill/internal/links"
	"poppymill/internal/rehearsal/script"
)

// LinkBase is what all links of a rehearsal begin with.
const LinkBase = "https://rehearsal.invalid"

// issuer is the club's desk that gives members their links, and changes its keys.
type issuer struct {
	keys     []links.Key
	ring     *links.Ring
	boxRing  *links.Ring // as the boxes have it, which take up keys after the gateways have
	keysMade int
}

// The gateways don't talk, so a write's link names the one that may spend it: aud is "club" or a gateway's own name.

// LinkSettings are what the gateways of a rehearsal go by; the zero value where it has no links.
func (w *World) LinkSettings() links.Settings {
	l := w.script.Links
	if l.Life == 0 {
		return links.Settings{}
	}
	s := links.Defaults()
	s.Audience = []string{"club"}
	s.Boxes = l.Boxes
	s.Base, s.Checks, s.AllChecks, s.RenewIn = LinkBase, l.Checks, 20*l.Checks, l.Life/2
	return s
}

// LinkKeys are the keys that are in force.
func (w *World) LinkKeys() []links.Key { return w.issuer.keys }

func (w *World) newKey(s links.State) links.Key {
	w.issuer.keysMade++
	secret := []byte(w.random.id("key", w.issuer.keysMade) + w.random.id("more of it", w.issuer.keysMade))
	return links.Key{ID: numberedID("key", w.issuer.keysMade), Issuer: "club", Algorithm: "HS256", State: s, Private: secret, Public: secret}
}

func (w *World) setKeys(keys ...links.Key) {
	w.issuer.keys = keys
	ring, err := links.NewRing(keys, nil)
	if err != nil {
		panic(err) // the world's own
	}
	w.issuer.ring = ring
	if w.issuer.boxRing == nil {
		w.issuer.boxRing = ring
	}
	w.scheduleAfter(1000, func() { w.issuer.boxRing = ring })
}

// rotate has the upcoming key sign; a withdrawn one stays in the file as such.
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
	// The gateways take the file up before the desk signs with the new key, as the operators' page has it; a leak can't wait.
	w.emit(Keys{Keys: next})
	if old == links.Withdrawn {
		w.setKeys(next...)
	} else {
		w.scheduleAfter(1000, func() { w.setKeys(next...) })
	}
}

// link gives a want its link: the one that it holds as long as that is good, else a new one.
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
			c.Renew, c.Transport = l.Renew/1000, 1
		}
		if op.typ.Write {
			name, _, _ := w.Config(g.number)
			c.Audience = []string{name}
			c.Write, c.Critical, c.URI = true, links.CriticalWrite, links.Hash(links.URI(LinkBase, op.typ.Name, op.object, int64(op.part)))
		}
		token, err := w.issuer.ring.Sign(c)
		if err != nil {
			panic(err)
		}
		op.link = &heldLink{gateway: g.number, token: token, chain: c.ID, expiresAt: 1000*c.Expires - w.epoch - 100}
	}
	r.Token, r.Chain, r.Source = op.link.token, op.link.chain, "10.0.0."+string(rune('0'+op.number%10))
}

// signed tells whether a GET carries a link of a gateway's that is good for this box and part.
func (b *box) acceptsLink(r *request, token string) bool {
	w := b.w
	if w.script.Links.Boxes == 0 {
		return true
	}
	s := w.LinkSettings()
	s.Audience, s.Stored = []string{b.id}, true
	s.Memory = 1 << 10
	a := links.Ask{At: w.epoch + w.now, Token: token, ID: r.id, Type: r.typ.Name, Object: r.key.object, Part: int64(r.key.part), Write: r.typ.Write}
	return links.New(s, w.issuer.boxRing, []byte(b.id), 0).Admit(a).Reason == links.Admitted
}

// holding is a link as a client holds it, for all parts of what it watches.
type heldLink struct {
	token, chain string
	gateway      int // that may spend it, where it is a write's
	expiresAt    float64
}

// successor takes up what came with an answer.
func (op *operation) takeRenewal(token string, extension float64) {
	if token != "" && op.link != nil {
		op.link.token, op.link.expiresAt = token, op.link.expiresAt+extension
	}
}

// forge sends requests whose links are not good, so many times as often as honest ones come.
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
	t := w.types[int(c.Below()*float64(len(w.types)))]
	op := &operation{number: -n - 1, typ: t, object: w.random.id("object", 0, n%50), club: w.script.Clubs[n%len(w.script.Clubs)], startedAt: w.now, attempts: 1, duplicate: true}
	g := w.chooseGateway(op)
	if g == nil || !g.up {
		return
	}
	r := Request{ID: w.random.id("forged", n), Type: t.Name, Object: op.object, Group: t.group(w, op.object), Allow: t.Expiry, Forged: true}
	w.attachLink(op, &r, g)
	parts := strings.Split(r.Token, ".")
	switch n % 4 {
	case 0: // a signature that does not fit
		parts[2] = strings.Repeat("A", len(parts[2]))
	case 1: // for another object
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

// LinkTakes is how long, in ms, a gateway takes until it has read other keys.
func (w *World) LinkTakes(gateway int) float64 {
	c := w.random.generator("keys", gateway, w.issuer.keysMade)
	return cmp.Or(c.Below()*500, 1)
}
