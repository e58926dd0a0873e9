package gateway

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"poppymill/internal/clients"
	"poppymill/internal/links"
	linksdriver "poppymill/internal/links/driver"
	"poppymill/internal/links/keyfile"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

const linkBase = "https://media.example"

// newLinkGateway returns a test gateway that requires signed links.
func newLinkGateway(t *testing.T) (*testGateway, *keyfile.File, *linksdriver.Block) {
	b := &linksdriver.Block{}
	b.Fields() // sets the defaults
	dir := t.TempDir()
	b.Keys, b.Store, b.Settings.Base, b.Settings.HasStore =
		filepath.Join(dir, "keys.hcl"), filepath.Join(dir, "spent.db"), linkBase, true
	f := &keyfile.File{}
	for id, state := range map[string]links.State{"now": links.Signing, "next": links.Upcoming} {
		k, err := keyfile.GenerateKey(id, "club", "EdDSA", state)
		if err != nil {
			t.Fatal(err)
		}
		f.Keys = append(f.Keys, k)
	}
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	return newTestGatewayWith(t, &Settings{Links: *b}), f, b
}

// getWithToken sends a request with a token.
func (s *testGateway) getWithToken(token, typ, object, part string) clients.Response {
	s.mu.Lock()
	s.requests++
	id := fmt.Sprintf("%016x", s.requests)
	s.mu.Unlock()
	r, err := clients.Do(context.Background(), s.address, map[string]string{"SCRIPT_NAME": "/invoke/" + typ,
		"HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2400", "HTTP_X_ITEM": object, "HTTP_X_N": part, "HTTP_X_SHARD": "7",
		"REMOTE_ADDR": "127.0.0.1", "QUERY_STRING": "URISigningPackage=" + token}, map[bool][]byte{true: []byte("x")}[typ == "renewal"])
	if err != nil {
		s.t.Error(err)
	}
	return r
}

// issue signs a token with the signing key of a key file.
func issue(t *testing.T, f *keyfile.File, c links.Claims) string {
	t.Helper()
	r, err := links.NewKeySet(f.Keys, nil)
	if err != nil {
		t.Fatal(err)
	}
	token, err := r.Sign(c)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// Signed links through a gateway on sockets: only valid links get answers; a refused request reaches no edge cache and
// its client is not told the reason; a client whose token ends soon gets a successor; a write runs once per token,
// however often it is requested; keys are replaced while downloads continue.
func TestSignedLinks(t *testing.T) {
	s, f, b := newLinkGateway(t)
	const object = "7f3a9c21e0b4d655"
	now := float64(time.Now().Unix())
	c := links.Claims{ID: "a", Issued: now, Expires: now + 100,
		URI: "regex:" + linkBase + "/(video|pages)/" + object + "/[0-9]+"}
	good := issue(t, f, c)
	if r := s.getWithToken(good, "video", object, "2"); !s.isCurrent(r, object) {
		t.Fatalf("valid link: status %d", r.Status)
	}
	before := s.count(s.pullsByType, "video")
	for name, token := range map[string]string{"none": "", "tampered": good[:len(good)-20] + strings.Repeat("A", 20),
		"expired": issue(t, f, links.Claims{ID: "b", Issued: now - 100, Expires: now - 50, URI: c.URI})} {
		if r := s.getWithToken(token, "video", object, "2"); r.Status != 403 || len(r.Body) != 0 || len(r.Fields) != 2 {
			t.Errorf("%s: %d, %v, %q", name, r.Status, r.Fields, r.Body)
		}
	}
	if r := s.getWithToken(good, "video", "0000000000000001", "2"); r.Status != 403 {
		t.Errorf("link for another object: status %d", r.Status)
	}
	if n := s.count(s.pullsByType, "video"); n != before {
		t.Errorf("%d refused downloads reached an edge cache", n-before)
	}

	// A token that ends within its renewal time is answered with a successor; a token with more time left is not.
	renewable := c
	renewable.Expires, renewable.RenewSeconds, renewable.Transport = now+100, 60, 1
	later := issue(t, f, renewable)
	if r := s.getWithToken(later, "pages", object, "2"); r.Status != 200 || r.Fields["Set-Cookie"] != "" {
		t.Errorf("token that ends later: status %d, %v", r.Status, r.Fields)
	}
	renewable.Expires = now + 20
	r := s.getWithToken(issue(t, f, renewable), "video", object, "2")
	_, next, _ := strings.Cut(r.Fields["Set-Cookie"], "URISigningPackage=")
	next, _, _ = strings.Cut(next, ";")
	if r.Status != 200 || next == "" {
		t.Fatalf("token that ends soon: status %d, %v", r.Status, r.Fields)
	}
	if r := s.getWithToken(next, "video", object, "3"); r.Status != 200 {
		t.Errorf("successor: status %d", r.Status)
	}

	// A write requested by many clients at once, each on its own connection, with the same token.
	// The store is new, so only tokens issued after it was created can be known not to have been spent.
	w := links.Claims{ID: "w", Issued: float64(time.Now().UnixMicro()) / 1e6, Expires: now + 100, Write: true, Critical: links.CriticalWrite,
		URI: links.Hash(links.URI(linkBase, "renewal", object, 0))}
	token := issue(t, f, w)
	older := w
	older.ID, older.Issued = "older", now-10
	if r := s.getWithToken(issue(t, f, older), "renewal", object, "0"); r.Status != 403 || s.count(s.pullsByType, "renewal") != 0 {
		t.Errorf("a write issued before the new store: status %d, sent %d times", r.Status, s.count(s.pullsByType, "renewal"))
	}
	s.world.Do(func(w *world.World) { w.ApplyEvent(script.Event{Kind: "slow", On: "core", Factor: 30, Duration: 400}) })
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 8 {
		group.Go(func() {
			r := s.getWithToken(token, "renewal", object, "0")
			mu.Lock()
			statuses[r.Status]++
			mu.Unlock()
		})
	}
	group.Wait()
	if statuses[200] != 1 || statuses[403] != 7 || s.count(s.pullsByType, "renewal") != 1 {
		t.Errorf("a write requested eight times: statuses %v, sent %d times", statuses, s.count(s.pullsByType, "renewal"))
	}

	// The gateway notices a changed key file by itself, while downloads continue.
	if err := f.Rotate(); err != nil {
		t.Fatal(err)
	}
	byNextKey := issue(t, f, links.Claims{ID: "n", Issued: now, Expires: now + 100, URI: c.URI})
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	if a, b := s.getWithToken(good, "video", object, "2"), s.getWithToken(byNextKey, "video", object, "2"); a.Status != 200 ||
		b.Status != 200 {
		t.Errorf("during a rotation: statuses %d and %d", a.Status, b.Status)
	}
	f.SetState("now", links.Withdrawn)
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	until(t, "a token of the withdrawn key is refused", func() bool {
		return s.getWithToken(good, "video", object, "2").Status == 403
	})
	if r := s.getWithToken(byNextKey, "video", object, "2"); r.Status != 200 {
		t.Errorf("token of the other key: status %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	// After a restart the store still knows the spent token.
	spent := 0
	store, err := linksdriver.OpenStore(b.Store, now*1000, func(links.SpentToken) { spent++ })
	if err != nil || spent != 1 {
		t.Errorf("%d spent tokens after a restart, %v", spent, err)
	}
	if store != nil {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		store.Run(ctx, func() float64 { return 0 })
	}
	s.stopWorld()
}

// slowStore completes its writes when the test says so.
type slowStore struct {
	done      []func(error)
	takenBack int
}

func (s *slowStore) Write(_ links.SpentToken, done func(error)) { s.done = append(s.done, done) }
func (s *slowStore) Remove(links.SpentToken)                    { s.takenBack++ }

// A write must not be sent before its spent token is on disk, or it could run again after a crash. If the disk is slow
// or fails, the write is throttled, and the token can be used again.
func TestSpendWrittenBeforeSending(t *testing.T) {
	secret := []byte(strings.Repeat("s", 32))
	keySet, err := links.NewKeySet([]links.Key{{ID: "k", Issuer: "club", Algorithm: "HS256", State: links.Signing,
		Private: secret, Public: secret}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name      string
		act       func(h *harness, s *slowStore, post func(error))
		status    string
		sent      int
		takenBack int
	}{
		{"written", func(h *harness, s *slowStore, post func(error)) { post(nil) }, "", 1, 0},
		{"write fails", func(h *harness, s *slowStore, post func(error)) { post(errors.New("disk full")) }, "503", 0, 1},
		{"write too slow", func(h *harness, s *slowStore, post func(error)) {
			h.now += 501
			h.core.Advance(h.now)
			post(nil)
		}, "503", 0, 1},
		{"client leaves", func(h *harness, s *slowStore, post func(error)) {
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
			post(nil)
		}, "", 0, 1},
	} {
		h, store := newHarness(t), &slowStore{}
		settings := links.Defaults()
		settings.Base, settings.HasStore = linkBase, true
		block := linksdriver.Block{On: true, From: "header", Name: "X-Link", Settings: settings}
		var events []any
		h.core.RequireSignedLinks(links.New(settings, keySet, secret, h.now), block, store, func(e any) { events = append(events, e) },
			func() float64 { return h.now })
		const object = "00000000000000bb"
		token, _ := keySet.Sign(links.Claims{ID: "w", Issued: h.now / 1000, Expires: h.now/1000 + 100, Write: true,
			Critical: links.CriticalWrite, URI: links.Hash(links.URI(linkBase, "renewal", object, 0))})
		request := func(id string, number uint16) {
			h.core.Handle(RequestReceived{Client: h.clients[0], ID: number, At: h.now, Params: map[string]string{
				"SCRIPT_NAME": "/invoke/renewal", "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2000", "HTTP_X_ITEM": object,
				"HTTP_X_N": "0", "HTTP_X_SHARD": "7", "HTTP_X_LINK": token}})
		}
		request("00000000000000aa", 1)
		if len(h.wires) != 0 || len(store.done) != 1 {
			t.Errorf("%s: sent before its token is written", c.name)
		}
		c.act(h, store, func(err error) {
			store.done[0](err)
			for _, e := range events {
				h.core.Handle(e)
			}
		})
		got := ""
		for _, a := range h.clients[0].answers[1] {
			got += fmt.Sprint(a.Status)
		}
		if got != c.status || len(h.wires) != c.sent || store.takenBack != c.takenBack {
			t.Errorf("%s: statuses %q, %d sent, %d taken back", c.name, got, len(h.wires), store.takenBack)
		}
		if request("00000000000000ac", 2); (len(store.done) == 2) != (c.sent == 0) {
			t.Errorf("%s: second request: %d writes", c.name, len(store.done))
		}
		h.core.Shutdown(h.now)
		if h.core.Open() != 0 || len(h.core.downloads) != 0 {
			t.Errorf("%s: %d unanswered, %d left over", c.name, h.core.Open(), len(h.core.downloads))
		}
	}
}
