package drive

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
		child(path, os.Getenv("STEP"))
		return
	}
	os.Exit(m.Run())
}

func spend(n int) links.Spend {
	return links.Spend{Key: [16]byte{byte(n), byte(n >> 8), 1}, Expires: 2e12}
}

// child writes spends one by one, prints each that it is told is written, and ends itself as kill -9 does at the third
// time that it comes to a step.
func child(path, step string) {
	s, err := OpenStore(path, 1e12, func(links.Spend) {})
	if err != nil {
		fmt.Println("error", err)
		return
	}
	times := 0
	s.step = func(at string) {
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
		s.Write(spend(n), func(err error) { done <- err })
		if err := <-done; err != nil {
			fmt.Println("error", err)
			return
		}
		fmt.Println("written", n)
	}
}

// Whatever step a process is killed at, what it was told as written is there after it, and the store opens. What was on
// the disk and not told counts as spent.
func TestKilledAtEachStep(t *testing.T) {
	for step, least := range map[string]int{"taken": 2, "put": 2, "on the disk": 3, "told": 3, "never": 20} {
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
		there := map[links.Spend]bool{}
		s, err := OpenStore(path, 1e12, func(x links.Spend) { there[x] = true })
		if err != nil {
			t.Fatalf("killed when %s: %v", step, err)
		}
		for n := range written {
			if !there[spend(n)] {
				t.Errorf("killed when %s: %d was told as written and is gone", step, n)
			}
		}
		if written < 2 || len(there) < least || len(there) > written+1 {
			t.Errorf("killed when %s: %d told, %d there, want %d at least", step, written, len(there), least)
		}
		s.db.Close()
	}
}

// What is taken back or expired is gone after a restart; a store of another version is refused and left as it is.
func TestStore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spent.db")
	open := func(now float64) (*Store, map[links.Spend]bool) {
		there := map[links.Spend]bool{}
		s, err := OpenStore(path, now, func(x links.Spend) { there[x] = true })
		if err != nil {
			t.Fatal(err)
		}
		return s, there
	}
	s, _ := open(1e12)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, func() float64 { return 1e12 }) }()
	done := make(chan error, 600)
	for n := range 500 {
		s.Write(spend(n), func(err error) { done <- err })
	}
	s.Back(spend(7))
	for range 500 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	s, there := open(1e12)
	if len(there) != 499 || there[spend(7)] {
		t.Errorf("%d there, the one taken back: %t", len(there), there[spend(7)])
	}
	if err := s.trim(3e12); err != nil || s.Trims != 499 {
		t.Errorf("%d trimmed, %v", s.Trims, err)
	}
	s.db.Close()
	if s, there = open(3e12); len(there) != 0 {
		t.Errorf("%d there after they expired", len(there))
	}
	s.db.Close()
	if err := os.WriteFile(path, []byte("no store"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path, 0, nil); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("what is no store: %v", err)
	}
}

// A token is found where the block says, and one that stands twice is none.
func TestToken(t *testing.T) {
	for _, c := range []struct {
		from, name, form string
		params           map[string]string
		want             string
	}{
		{"query", "URISigningPackage", "", map[string]string{"QUERY_STRING": "a=b&URISigningPackage=x.y.z"}, "x.y.z"},
		{"query", "URISigningPackage", "", map[string]string{"QUERY_STRING": "URISigningPackage=x&URISigningPackage=x"}, twice},
		{"query", "URISigningPackage", "", map[string]string{"HTTP_COOKIE": "URISigningPackage=x"}, ""},
		{"query", "", "compact", map[string]string{"QUERY_STRING": "Expires=1&KeyName=k&Signature=s"}, "Expires=1&KeyName=k&Signature=s"},
		{"header", "X-Link", "", map[string]string{"HTTP_X_LINK": "x"}, "x"},
		{"cookie", "link", "", map[string]string{"HTTP_COOKIE": "a=1; link=x; xlink=y"}, "x"},
		{"cookie", "link", "", map[string]string{"HTTP_COOKIE": "link=x; link=y"}, twice},
	} {
		b := Block{From: c.from, Name: c.name}
		b.Settings.Form = c.form
		if got := b.Token(c.params); got != c.want {
			t.Errorf("%+v: %q", c, got)
		}
	}
}

// The file of keys is taken up when it is put in its place, and what others may read, or is cut, is refused by its fault.
func TestKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.hcl")
	f := &keyfile.File{Secret: make([]byte, 32)}
	for i, alg := range []string{"EdDSA", "ES256", "HS256"} {
		k, err := keyfile.New(fmt.Sprint("k", i), "club", alg, links.Upcoming)
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
	time.Sleep(50 * time.Millisecond) // until it watches: the first change may come before, the next may not be lost
	var ring *links.Ring
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
			t.Fatal("a change was not told")
		}
		var got *keyfile.File
		var err error
		if got, ring, err = keyfile.Read(path); err != nil || fmt.Sprint(got.Keys) != fmt.Sprint(f.Keys) {
			t.Fatalf("%v, %v", got, err)
		}
		token, err := ring.Sign(links.Claims{ID: "x", URI: "regex:.*", Expires: 1})
		if err != nil || token == "" {
			t.Fatal(err)
		}
	}
	if ring.Signs() != "k2" || f.Rotate() == nil {
		t.Errorf("%s signs", ring.Signs())
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
		{strings.Replace(string(text), "k1", "k0", 1), 0o600, "stands twice"}, {strings.Replace(string(text), `"EdDSA"`, `"ES256"`, 1), 0o600, "don't belong"},
		{strings.Replace(string(text), "private   = \"M", "private   = \"X", 1), 0o600, "private: "}} {
		os.WriteFile(path, []byte(c.text), 0o600)
		os.Chmod(path, c.mode)
		_, _, err := keyfile.Read(path)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if _, secret, ok := strings.Cut(line, "= \""); ok && len(secret) > 40 && strings.Contains(fmt.Sprint(err), secret[:20]) {
				t.Errorf("an error shows what is secret: %v", err)
			}
		}
	}
}
