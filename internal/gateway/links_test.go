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
	"poppymill/internal/links/drive"
	"poppymill/internal/links/keyfile"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

const linkBase = "https://media.example"

// guarded is a stage whose gateway asks for links.
func guarded(t *testing.T) (*stage, *keyfile.File, *drive.Block) {
	b := &drive.Block{}
	b.Fields() // its defaults
	dir := t.TempDir()
	b.Keys, b.Store, b.Settings.Base, b.Settings.Stored = filepath.Join(dir, "keys.hcl"), filepath.Join(dir, "spent.db"), linkBase, true
	f := &keyfile.File{}
	for id, state := range map[string]links.State{"now": links.Signing, "next": links.Upcoming} {
		k, err := keyfile.New(id, "club", "EdDSA", state)
		if err != nil {
			t.Fatal(err)
		}
		f.Keys = append(f.Keys, k)
	}
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	return newStageWith(t, &Settings{Links: *b}), f, b
}

func (s *stage) with(token, typ, object, part string) clients.Response {
	s.mu.Lock()
	s.asked++
	id := fmt.Sprintf("%016x", s.asked)
	s.mu.Unlock()
	r, err := clients.Get(context.Background(), s.at, map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": id,
		"HTTP_X_ALLOW_MS": "2400", "HTTP_X_ITEM": object, "HTTP_X_N": part, "HTTP_X_SHARD": "7", "REMOTE_ADDR": "127.0.0.1",
		"QUERY_STRING": "URISigningPackage=" + token}, map[bool][]byte{true: []byte("x")}[typ == "renewal"])
	if err != nil {
		s.t.Error(err)
	}
	return r
}

func issue(t *testing.T, f *keyfile.File, c links.Claims) string {
	t.Helper()
	r, err := links.NewRing(f.Keys, nil)
	if err != nil {
		t.Fatal(err)
	}
	token, err := r.Sign(c)
	if err != nil {
		t.Fatal(err)
	}
	return token
}

// Through a real gateway: only good links get answers, a refused one reaches no box and learns nothing, what was taken under
// a good token ends well though the token does not, a renewal runs once whoever asks, and keys change while all goes on.
func TestLinks(t *testing.T) {
	s, f, b := guarded(t)
	const object = "7f3a9c21e0b4d655"
	now := float64(time.Now().Unix())
	c := links.Claims{ID: "a", Issued: now, Expires: now + 100, URI: "regex:" + linkBase + "/(video|pages)/" + object + "/[0-9]+"}
	good := issue(t, f, c)
	if r := s.with(good, "video", object, "2"); !s.is(r, object) {
		t.Fatalf("a good link: %d", r.Status)
	}
	seen := s.count(s.kinds, "video")
	for name, token := range map[string]string{"none": "", "tampered": good[:len(good)-20] + strings.Repeat("A", 20),
		"expired": issue(t, f, links.Claims{ID: "b", Issued: now - 100, Expires: now - 50, URI: c.URI})} {
		if r := s.with(token, "video", object, "2"); r.Status != 403 || len(r.Body) != 0 || len(r.Fields) != 2 {
			t.Errorf("%s: %d, %v, %q", name, r.Status, r.Fields, r.Body)
		}
	}
	if r := s.with(good, "video", "0000000000000001", "2"); r.Status != 403 {
		t.Errorf("another object: %d", r.Status)
	}
	if n := s.count(s.kinds, "video"); n != seen {
		t.Errorf("%d refused downloads reached a box", n-seen)
	}

	// A token that ends while its download is open.
	soon := c
	soon.Expires, soon.Renew, soon.Transport = now+100, 60, 1
	short := issue(t, f, soon)
	if r := s.with(short, "pages", object, "2"); r.Status != 200 || r.Fields["Set-Cookie"] != "" {
		t.Errorf("long to go: %d, %v", r.Status, r.Fields)
	}
	soon.Expires = now + 20
	r := s.with(issue(t, f, soon), "video", object, "2")
	_, next, _ := strings.Cut(r.Fields["Set-Cookie"], "URISigningPackage=")
	next, _, _ = strings.Cut(next, ";")
	if r.Status != 200 || next == "" {
		t.Fatalf("near its end: %d, %v", r.Status, r.Fields)
	}
	if r := s.with(next, "video", object, "3"); r.Status != 200 {
		t.Errorf("the successor: %d", r.Status)
	}

	// One renewal, asked for by many at once on connections of their own, under the same token.
	w := links.Claims{ID: "w", Issued: now, Expires: now + 100, Write: true, Critical: links.CriticalWrite,
		URI: links.Hash(links.URI(linkBase, "renewal", object, 0))}
	token := issue(t, f, w)
	s.world.Do(func(w *world.World) { w.Happen(script.Event{Do: "slow", On: "core", Factor: 30, For: 400}) })
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range 8 {
		group.Go(func() {
			r := s.with(token, "renewal", object, "0")
			mu.Lock()
			statuses[r.Status]++
			mu.Unlock()
		})
	}
	group.Wait()
	if statuses[200] != 1 || statuses[403] != 7 || s.count(s.kinds, "renewal") != 1 {
		t.Errorf("one renewal asked for by eight: %v, sent %d times", statuses, s.count(s.kinds, "renewal"))
	}

	// Keys change while downloads go on, without a word to the gateway; a file that is wrong changes nothing.
	if err := f.Rotate(); err != nil {
		t.Fatal(err)
	}
	byNext := issue(t, f, links.Claims{ID: "n", Issued: now, Expires: now + 100, URI: c.URI})
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	if a, b := s.with(good, "video", object, "2"), s.with(byNext, "video", object, "2"); a.Status != 200 || b.Status != 200 {
		t.Errorf("amid a rotation: %d and %d", a.Status, b.Status)
	}
	f.Set("now", links.Withdrawn)
	if err := keyfile.Write(b.Keys, f); err != nil {
		t.Fatal(err)
	}
	until(t, "what a withdrawn key signed is refused", func() bool { return s.with(good, "video", object, "2").Status == 403 })
	if r := s.with(byNext, "video", object, "2"); r.Status != 200 {
		t.Errorf("by the other key: %d", r.Status)
	}
	s.stop()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	// After its restart the store still knows what was spent.
	spent := 0
	store, err := drive.OpenStore(b.Store, now*1000, func(links.Spend) { spent++ })
	if err != nil || spent != 1 {
		t.Errorf("%d spent after the end, %v", spent, err)
	}
	if store != nil {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		store.Run(ctx, func() float64 { return 0 })
	}
	s.shut()
}

// slowStore writes when the test says so.
type slowStore struct {
	done []func(error)
	back int
}

func (s *slowStore) Write(_ links.Spend, done func(error)) { s.done = append(s.done, done) }
func (s *slowStore) Back(links.Spend)                      { s.back++ }

// A renewal goes out once what it spends is on the disk, and not before; where the disk is slow or fails it is turned away
// at once or in its time, and may be asked for again.
func TestHeldForTheStore(t *testing.T) {
	secret := []byte(strings.Repeat("s", 32))
	ring, err := links.NewRing([]links.Key{{ID: "k", Issuer: "club", Algorithm: "HS256", State: links.Signing, Private: secret, Public: secret}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		then   func(h *harness, s *slowStore, post func(error))
		status string
		sent   int
		back   int
	}{
		{"written", func(h *harness, s *slowStore, post func(error)) { post(nil) }, "", 1, 0},
		{"fails", func(h *harness, s *slowStore, post func(error)) { post(errors.New("disk full")) }, "503", 0, 1},
		{"too slow", func(h *harness, s *slowStore, post func(error)) { h.now += 501; h.core.Ring(h.now); post(nil) }, "503", 0, 1},
		{"its client leaves", func(h *harness, s *slowStore, post func(error)) {
			h.core.Handle(ClientClosed{Client: h.clients[0], At: h.now})
			post(nil)
		}, "", 0, 1},
	} {
		h, store := newHarness(t), &slowStore{}
		set := links.Defaults()
		set.Base, set.Stored = linkBase, true
		block := drive.Block{On: true, From: "header", Name: "X-Link", Settings: set}
		var events []any
		h.core.Guard(links.New(set, ring, secret, h.now), block, store, func(e any) { events = append(events, e) }, func() float64 { return h.now })
		const object = "00000000000000bb"
		token, _ := ring.Sign(links.Claims{ID: "w", Issued: h.now / 1000, Expires: h.now/1000 + 100, Write: true, Critical: links.CriticalWrite,
			URI: links.Hash(links.URI(linkBase, "renewal", object, 0))})
		ask := func(id string, number uint16) {
			h.core.Handle(Asked{Client: h.clients[0], ID: number, At: h.now, Params: map[string]string{"SCRIPT_NAME": "/invoke/renewal",
				"HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2000", "HTTP_X_ITEM": object, "HTTP_X_N": "0", "HTTP_X_SHARD": "7", "HTTP_X_LINK": token}})
		}
		ask("00000000000000aa", 1)
		if len(h.wires) != 0 || len(store.done) != 1 {
			t.Errorf("%s: sent before it is written", c.name)
		}
		c.then(h, store, func(err error) {
			store.done[0](err)
			for _, e := range events {
				h.core.Handle(e)
			}
		})
		got := ""
		for _, a := range h.clients[0].answers[1] {
			got += fmt.Sprint(a.Status)
		}
		if got != c.status || len(h.wires) != c.sent || store.back != c.back {
			t.Errorf("%s: told %q, %d sent, %d taken back", c.name, got, len(h.wires), store.back)
		}
		if ask("00000000000000ac", 2); (len(store.done) == 2) != (c.sent == 0) {
			t.Errorf("%s: asked for again, %d written", c.name, len(store.done))
		}
		h.core.End(h.now)
		if h.core.Open() != 0 || len(h.core.downloads) != 0 {
			t.Errorf("%s: %d owed, %d left over", c.name, h.core.Open(), len(h.core.downloads))
		}
	}
}
