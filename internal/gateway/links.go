package gateway

import (
	"fmt"
	"strings"

	"poppymill/internal/clients"
	"poppymill/internal/links"
	linksdriver "poppymill/internal/links/driver"
	"poppymill/router"
)

// Events that the link driver and the store of spent tokens post to a Core.
type (
	// KeysReloaded reports newly loaded keys, and the links block that names them.
	KeysReloaded struct {
		Ring  *links.KeySet
		Block linksdriver.Block
	}
	// SpendWritten reports whether the token that a download spends was written to disk.
	SpendWritten struct {
		ID  string
		Err error
		At  float64
	}
)

// SpendStore records spent tokens. Its methods do not block.
type SpendStore interface {
	// Write stores a spent token; done is called once, from another goroutine.
	Write(s links.SpentToken, done func(error))
	// Remove removes a spent token whose download never ran.
	Remove(s links.SpentToken)
}

// signedLinks is the core's state for signed links; nil if disabled.
type signedLinks struct {
	admission *links.Authorizer
	block     linksdriver.Block
	store     SpendStore // nil: spent tokens are kept in memory only
	post      func(any)
	now       func() float64
}

// RequireSignedLinks makes the core accept only downloads with a valid signed link. Post passes an event to the core
// from any goroutine.
func (g *Core) RequireSignedLinks(admission *links.Authorizer, block linksdriver.Block, store SpendStore, post func(any), now func() float64) {
	g.links = &signedLinks{admission: admission, block: block, store: store, post: post, now: now}
}

// SetWallClock passes on the time of the wall clock, in Unix ms.
func (g *Core) SetWallClock(now, wall float64) {
	if g.links != nil {
		g.links.admission.SetWallClock(now, wall)
	}
}

// downloadLink is the state of the signed link of a download.
type downloadLink struct {
	spend      *links.SpentToken // the spent token that must be stored before the first pull; nil if none
	writeTimer *timer            // runs while the store writes spend
	successor  *clients.Link     // renewed link, sent with any answer; nil if none
	client     string            // the client that the link was issued to
}

// spendWriteTimeout is how long a download waits at most for its spent token to be written to disk, in ms.
const spendWriteTimeout = 500.0

// admitLink checks the signed link of a download. A refused download is answered at once, without the reason.
func (g *Core) admitLink(e RequestReceived, d *download) bool {
	signed := g.links
	verdict := signed.admission.Admit(links.Request{At: e.At, Source: e.Params["REMOTE_ADDR"],
		Token: signed.block.Token(e.Params), ID: d.id, Type: d.typ, Object: d.object, Part: d.part, Write: d.atMostOnce})
	if verdict.Reason == links.Admitted {
		d.link = &downloadLink{spend: verdict.SpentToken, client: verdict.Client}
		if verdict.Token != "" {
			d.link.successor = &clients.Link{Token: verdict.Token, Path: verdict.Path}
			if signed.block.From != "header" {
				d.link.successor.Cookie = signed.block.Name
			}
		}
		return true
	}
	g.Forbidden++
	g.warnings.Warn(e.At, "signed link refused", fmt.Errorf("%s (%s)", verdict.Reason, verdict.Claim))
	e.Body.Release()
	answer := clients.Answer{Status: 403}
	switch verdict.Reason {
	case links.RateLimited, links.ReplayTableFull, links.OtherGateway: // nothing was sent; a retry later or elsewhere may succeed
		answer = clients.Answer{Status: 503, RetryAfter: g.config.MaxRetryAfter}
	}
	e.Client.Answer(e.ID, answer)
	return false
}

// writeSpend makes a download wait until its spent token is on disk: after a crash the token must not be valid again.
func (g *Core) writeSpend(d *download) {
	signed, id := g.links, d.id
	d.link.writeTimer = g.timers.push(timer{at: min(d.expiry, g.now+spendWriteTimeout), download: d,
		token: spendWriteToken})
	signed.store.Write(*d.link.spend, func(err error) { signed.post(SpendWritten{ID: id, Err: err, At: signed.now()}) })
}

// spendWritten passes the download to the router, or rejects it if the write failed.
func (g *Core) spendWritten(e SpendWritten) {
	d := g.downloads[e.ID]
	if d == nil || d.answered || d.link.writeTimer == nil {
		return
	}
	if e.Err != nil {
		g.warnings.Warn(e.At, "cannot write the spent token of a link", e.Err)
		g.rejectUnwritten(d)
		return
	}
	g.timers.remove(d.link.writeTimer)
	d.link.writeTimer = nil
	g.emitArrived(d)
}

// rejectUnwritten throttles a download whose spent token could not be written, or not in time. The download was never
// sent, so a retry is safe.
func (g *Core) rejectUnwritten(d *download) {
	g.timers.remove(d.link.writeTimer)
	d.link.writeTimer = nil
	g.Throttled++
	g.answer(d, clients.Answer{Status: 503, RetryAfter: g.config.MaxRetryAfter})
}

// releaseSpend reports the end of a download to the link admission. If harmless, none of its pulls can have run, and its
// token becomes valid again.
func (g *Core) releaseSpend(d *download, harmless bool) {
	signed := g.links
	if signed == nil {
		return
	}
	if spend, ok := signed.admission.DownloadEnded(d.id, harmless); ok && signed.store != nil {
		signed.store.Remove(spend)
	}
}

// emitArrived passes a download to the router.
func (g *Core) emitArrived(d *download) {
	g.emit(router.DownloadArrived{ID: d.id, Type: d.typ, Object: d.object, Expiry: d.expiry, Group: d.group, Part: d.part,
		PrefetchNode: d.prefetchNode})
}

// LinkStats returns the numbers of refused links by reason, and the counters of the link admission, for the log.
func (g *Core) LinkStats() string {
	if g.links == nil {
		return ""
	}
	var all []string
	for reason, n := range g.links.admission.Reasons {
		if n > 0 {
			all = append(all, fmt.Sprintf("%s %d", links.Reason(reason), n))
		}
	}
	c := g.links.admission.Counters
	return strings.Join(append(all, fmt.Sprintf("signatures %d", c.Checked), fmt.Sprintf("remembered %d", c.CacheHits),
		fmt.Sprintf("successors %d", c.Renewed)), ", ")
}

// appendCacheToken appends a token signed by this gateway to the fields of a pull, if the caches require one.
func (s *signedLinks) appendCacheToken(text string, d *download, p *pull, now float64) string {
	token := s.admission.SignPull(links.Pull{At: now, ID: d.id, Number: p.index, Node: p.node, Source: p.source,
		Type: d.typ, Object: d.object, Part: d.part, Write: d.atMostOnce})
	if token == "" {
		return text
	}
	return text + ",link=" + token
}
