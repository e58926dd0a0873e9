package driver

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"poppymill/internal/links"
	"poppymill/internal/links/keyfile"
)

func TestMain(m *testing.M) {
	if path := os.Getenv("STORE"); path != "" {
		runKilledWriter(path, os.Getenv("STEP"))
		return
	}
	os.Exit(m.Run())
}

func testSpend(n int) links.SpentToken {
	return links.SpentToken{Key: [16]byte{byte(n), byte(n >> 8), 1}, Expires: 2e12}
}

// runKilledWriter writes spends one by one and prints each that is confirmed. It kills its own process with SIGKILL the
// third time that it reaches a step.
func runKilledWriter(path, step string) {
	s, err := OpenStore(path, 1e12, func(links.SpentToken) {})
	if err != nil {
		fmt.Println("error", err)
		return
	}
	times := 0
	s.onStep = func(at string) {
		if at == step {
			if times++; times == 3 {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	}
	go s.Run(context.Background(), func() float64 { return 1e12 })
	for n := range 20 {
		done := make(chan error)
		s.Write(testSpend(n), func(err error) { done <- err })
		if err := <-done; err != nil {
			fmt.Println("error", err)
			return
		}
		fmt.Println("written", n)
	}
}

// A process is killed at each step of a write. Afterwards the store opens and holds all confirmed writes. A write that was on
// the disk but not confirmed counts as spent.
func TestStoreSurvivesKillAtEachStep(t *testing.T) {
	for step, minStored := range map[string]int{"taken": 2, "put": 2, "on the disk": 3, "told": 3, "never": 20} {
		path := filepath.Join(t.TempDir(), "spent.db")
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "STORE="+path, "STEP="+step)
		out, _ := cmd.StdoutPipe()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		written := 0
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if !strings.HasPrefix(lines.Text(), "written ") {
				t.Fatal(lines.Text())
			}
			written++
		}
		cmd.Wait()
		stored := map[links.SpentToken]bool{}
		s, err := OpenStore(path, 1e12, func(x links.SpentToken) { stored[x] = true })
		if err != nil {
			t.Fatalf("killed when %s: %v", step, err)
		}
		for n := range written {
			if !stored[testSpend(n)] {
				t.Errorf("killed when %s: %d was confirmed and is missing", step, n)
			}
		}
		if written < 2 || len(stored) < minStored || len(stored) > written+1 {
			t.Errorf("killed when %s: %d confirmed, %d stored, want at least %d", step, written, len(stored), minStored)
		}
		s.db.Close()
	}
}

// Entries that were removed or have expired are absent after a restart. A file that is not a store is refused.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spent.db")
	open := func(now float64) (*Store, map[links.SpentToken]bool) {
		stored := map[links.SpentToken]bool{}
		s, err := OpenStore(path, now, func(x links.SpentToken) { stored[x] = true })
		if err != nil {
			t.Fatal(err)
		}
		return s, stored
	}
	s, _ := open(1e12)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, func() float64 { return 1e12 }) }()
	done := make(chan error, 600)
	for n := range 500 {
		s.Write(testSpend(n), func(err error) { done <- err })
	}
	s.Remove(testSpend(7))
	for range 500 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	s, stored := open(1e12)
	if len(stored) != 499 || stored[testSpend(7)] {
		t.Errorf("%d stored, the removed one: %t", len(stored), stored[testSpend(7)])
	}
	if err := s.removeExpired(3e12); err != nil || s.Expired != 499 {
		t.Errorf("%d expired entries removed, %v", s.Expired, err)
	}
	s.db.Close()
	if s, stored = open(3e12); len(stored) != 0 {
		t.Errorf("%d stored after they expired", len(stored))
	}
	s.db.Close()
	if err := os.WriteFile(path, []byte("no store"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path, 0, nil); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("not a store: %v", err)
	}
}

// Guards against a record of spent tokens that is new, lost or cut short being taken as proof that a token was never spent:
// such a store either says that it begins now, or does not open.
func TestStoreThatIsNewOrShortenedProvesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spent.db")
	open := func(path string, now float64) (*Store, int, error) {
		stored := 0
		s, err := OpenStore(path, now, func(links.SpentToken) { stored++ })
		return s, stored, err
	}
	s, _, err := open(path, 1e12)
	if err != nil || s.Since != 1e12 {
		t.Fatalf("new: complete since %v, %v", s, err)
	}
	spends := make([]change, maxBatch)
	for n := range spends {
		spends[n] = change{spend: testSpend(n), done: func(error) {}}
		s.queue <- spends[n]
	}
	s.commitBatch(<-s.queue)
	s.db.Close()
	if s, stored, err := open(path, 1e12+5); err != nil || s.Since != 1e12 || stored != maxBatch {
		t.Fatalf("opened again: %+v, %d entries, %v", s, stored, err)
	} else {
		s.db.Close()
	}
	whole, _ := os.ReadFile(path)
	for size := 0; size < len(whole); size += 512 {
		cut := filepath.Join(t.TempDir(), "cut.db") // a file of its own, as a corrupt one may stay locked until the process ends
		os.WriteFile(cut, whole[:size], 0o600)
		s, stored, err := open(cut, 15e11)
		switch {
		case err != nil && !strings.Contains(err.Error(), cut):
			t.Errorf("cut to %d of %d bytes: the error names no file: %v", size, len(whole), err)
		case err == nil && s.Since != 15e11 && stored != maxBatch:
			t.Errorf("cut to %d of %d bytes: complete since %.0f with %d of %d entries", size, len(whole), s.Since, stored, maxBatch)
		}
		if err == nil {
			s.db.Close()
		}
	}
	os.Remove(path)
	if s, _, err = open(path, 3e12); err != nil || s.Since != 3e12 {
		t.Errorf("lost: complete since %v, %v", s, err)
	} else {
		s.db.Close()
	}
}

// A token is found where the block says. A token that occurs twice is refused.
func TestToken(t *testing.T) {
	for _, c := range []struct {
		from, name, form string
		params           map[string]string
		want             string
	}{
		{"query", "URISigningPackage", "", map[string]string{"QUERY_STRING": "a=b&URISigningPackage=x.y.z"}, "x.y.z"},
		{"query", "URISigningPackage", "", map[string]string{"QUERY_STRING": "URISigningPackage=x&URISigningPackage=x"}, ambiguousToken},
		{"query", "URISigningPackage", "", map[string]string{"HTTP_COOKIE": "URISigningPackage=x"}, ""},
		{"query", "", "compact", map[string]string{"QUERY_STRING": "Expires=1&KeyName=k&Signature=s"}, "Expires=1&KeyName=k&Signature=s"},
		{"header", "X-Link", "", map[string]string{"HTTP_X_LINK": "x"}, "x"},
		{"cookie", "link", "", map[string]string{"HTTP_COOKIE": "a=1; link=x; xlink=y"}, "x"},
		{"cookie", "link", "", map[string]string{"HTTP_COOKIE": "link=x; link=y"}, ambiguousToken},
	} {
		b := Block{From: c.from, Name: c.name}
		b.Settings.Form = c.form
		if got := b.Token(c.params); got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
	}
}

// Each replacement of the key file is noticed. A file that others can read, or that is truncated or invalid, is refused with
// an error that shows no secret.
func TestKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.hcl")
	f := &keyfile.File{AddressSecret: make([]byte, 32)}
	for i, alg := range []string{"EdDSA", "ES256", "HS256"} {
		k, err := keyfile.GenerateKey(fmt.Sprint("k", i), "club", alg, links.Upcoming)
		if err != nil {
			t.Fatal(err)
		}
		f.Keys = append(f.Keys, k)
	}
	if err := keyfile.Write(path, f); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	changes, ended := make(chan bool, 9), make(chan error)
	go func() { ended <- Watch(ctx, path, func() { changes <- true }) }()
	time.Sleep(50 * time.Millisecond) // the watch has to be running before the first change, and must then miss none
	var keySet *links.KeySet
	for range 3 {
		if err := f.Rotate(); err != nil {
			t.Fatal(err)
		}
		if err := keyfile.Write(path, f); err != nil {
			t.Fatal(err)
		}
		select {
		case <-changes:
		case <-time.After(5 * time.Second):
			t.Fatal("a change was not reported")
		}
		var got *keyfile.File
		var err error
		if got, keySet, err = keyfile.Read(path); err != nil || fmt.Sprint(got.Keys) != fmt.Sprint(f.Keys) {
			t.Fatalf("%v, %v", got, err)
		}
		token, err := keySet.Sign(links.Claims{ID: "x", URI: "regex:.*", Expires: 1})
		if err != nil || token == "" {
			t.Fatal(err)
		}
	}
	if keySet.SigningKeyID() != "k2" || f.Rotate() == nil {
		t.Errorf("signing key: %s", keySet.SigningKeyID())
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	text, _ := os.ReadFile(path)
	for _, c := range []struct {
		text string
		mode os.FileMode
		want string
	}{{string(text), 0o640, "chmod 600"}, {string(text[:len(text)/2]), 0o600, "keys.hcl:"}, {strings.Replace(string(text), "version = 1", "version = 2", 1), 0o600, "version"},
		{strings.Replace(string(text), "k1", "k0", 1), 0o600, "duplicate id"}, {strings.Replace(string(text), `"EdDSA"`, `"ES256"`, 1), 0o600, "do not match"},
		{strings.Replace(string(text), "private   = \"M", "private   = \"X", 1), 0o600, "private: "}} {
		os.WriteFile(path, []byte(c.text), 0o600)
		os.Chmod(path, c.mode)
		_, _, err := keyfile.Read(path)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if _, secret, ok := strings.Cut(line, "= \""); ok && len(secret) > 40 && strings.Contains(fmt.Sprint(err), secret[:20]) {
				t.Errorf("an error shows a secret: %v", err)
			}
		}
	}
}
