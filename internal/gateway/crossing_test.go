package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"poppymill/internal/clients"
	"poppymill/internal/footprint"
)

// script is a gateway on real connections before peers that do what a test says and nothing else: caches that hand over each command as
// it came, a channel that hands over each call.
type scripted struct {
	t      *testing.T
	config map[string]any
	caches net.Listener // all nodes of the list are this one
	news   net.Listener
	got    chan command
	calls  chan net.Conn
	hup    chan os.Signal
	stop   context.CancelFunc
	ended  chan error
	mu     sync.Mutex
	open   []net.Conn
}

// command is one that came whole to a cache.
type command struct {
	words []string
	conn  net.Conn
}

// say answers it: in pieces, so that it may be cut anywhere.
func (c command) say(word, fields, body string) {
	io.WriteString(c.conn, c.text(word, fields, body))
}

func (c command) text(word, fields, body string) (s string) {
	s = "*4\r\n"
	for _, w := range []string{c.words[1], word, fields, body} {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return s
}

func fresh() string {
	return fmt.Sprintf("res=warm,sum=00000000000000ab,t0=%d", time.Now().UnixMilli())
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// set puts a value under a path of the configuration, as settings.permissions.cancel.
func (s *scripted) set(path string, value any) {
	at, names := s.config, strings.Split(path, ".")
	for _, n := range names[:len(names)-1] {
		at = at[n].(map[string]any)
	}
	at[names[len(names)-1]] = value
}

func (s *scripted) parse() (Setup, error) {
	text, err := json.Marshal(s.config)
	if err != nil {
		return Setup{}, err
	}
	c, err := footprint.Parse(text, os.Getenv)
	return Setup{Config: c, Operator: &Settings{}}, err
}

// newScripted makes one that is not started yet.
func newScripted(t *testing.T) *scripted {
	s := &scripted{t: t, caches: listen(t), news: listen(t), got: make(chan command, 99), calls: make(chan net.Conn, 99),
		hup: make(chan os.Signal, 1), ended: make(chan error, 1)}
	text, err := os.ReadFile("../../example/config.json")
	if err == nil {
		err = json.Unmarshal(text, &s.config)
	}
	if err != nil {
		t.Fatal(err)
	}
	own := listen(t)
	own.Close() // a free port
	s.set("listen", own.Addr().String())
	s.set("channel", s.news.Addr().String())
	s.at(s.caches.Addr().String())
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.open {
			c.Close()
		}
	})
	return s
}

// one has a single class, which is kept for good.
func (s *scripted) one() {
	s.set("settings.extra.class_write", []any{false})
	s.set("settings.extra.max_age", []any{0})
}

// at has all nodes listed at an address.
func (s *scripted) at(address string) {
	first := s.config["known"].(map[string]any)["cmds"].([]any)[0].(map[string]any)["nodes"].(map[string]any)
	for _, n := range first["endpoints"].([]any) {
		n.(map[string]any)["address"] = address
	}
}

func (s *scripted) keep(c net.Conn) {
	s.mu.Lock()
	s.open = append(s.open, c)
	s.mu.Unlock()
}

// take accepts connections of a listener for as long as it is there.
func (s *scripted) take(l net.Listener, each func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.keep(c)
		go each(c)
	}
}

// read hands over commands as they come whole.
func (s *scripted) read(c net.Conn) {
	in := bufio.NewReader(c)
	line := func(sign byte) int {
		text, err := in.ReadString('\n')
		if err != nil || text[0] != sign {
			return -1
		}
		n, _ := strconv.Atoi(strings.TrimSpace(text[1:]))
		return n
	}
	for {
		words := make([]string, max(0, line('*')))
		if len(words) == 0 {
			return
		}
		for i := range words {
			b := make([]byte, max(0, line('$'))+2)
			if _, err := io.ReadFull(in, b); err != nil {
				return
			}
			words[i] = string(b[:len(b)-2])
		}
		s.got <- command{words, c}
	}
}

// start has the gateway run until it says that it is ready.
func (s *scripted) start() {
	s.t.Helper()
	go s.take(s.caches, s.read)
	go s.take(s.news, func(c net.Conn) { s.calls <- c })
	setup, err := s.parse()
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.ended <- Serve(ctx, setup, Reloads{Wanted: s.hup, Load: s.parse}, discardLogger()) }()
	until(s.t, "ready", func() bool { return s.health() == 200 })
}

func (s *scripted) listens() string { return s.config["listen"].(string) }

func (s *scripted) health() int {
	r, err := clients.Get(context.Background(), s.listens(), map[string]string{"SCRIPT_NAME": healthPath}, nil)
	if err != nil {
		return 0
	}
	return r.Status
}

// caller is a client's connection.
func (s *scripted) caller() *clients.Caller {
	s.t.Helper()
	c, err := clients.NewCaller(context.Background(), s.listens())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// ask sends a request; what it is answered comes by the channel, status 0 where its connection ends.
func (s *scripted) ask(c *clients.Caller, typ string, id, allow int) chan int {
	s.t.Helper()
	got := make(chan int, 1)
	if _, err := c.Ask(map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": fmt.Sprintf("%016x", id), "HTTP_X_ALLOW_MS": strconv.Itoa(allow),
		"HTTP_X_ITEM": fmt.Sprintf("%016x", id), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}, nil, func(r clients.Response, err error) { got <- r.Status }); err != nil {
		s.t.Fatal(err)
	}
	return got
}

// command waits for the next one that comes to a cache.
func (s *scripted) command() command {
	s.t.Helper()
	select {
	case c := <-s.got:
		return c
	case <-time.After(20 * time.Second):
		s.t.Fatal("no command comes to a cache")
		return command{}
	}
}

// end waits until Serve has ended, which was told to.
func (s *scripted) end() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("ended with %v", err)
		}
	case <-time.After(20 * time.Second):
		s.t.Fatal("it never ends")
	}
}

// Every cache takes commands and answers none, the channel says nothing, clients rest, have asked half a request, or have one open:
// told to end, twice and amid a reload, the gateway answers what it has taken once, and ends.
func TestEndsThoughAllHang(t *testing.T) {
	s := newScripted(t)
	s.set("settings.classes", []any{map[string]any{"name": "video", "effect": "pure", "promise": 600, "hard_limit": 800}})
	s.one()
	s.start()
	resting, half, asking := s.caller(), s.raw(), s.caller()
	answered := s.ask(asking, "video", 1, 800)
	s.command()
	half.Write([]byte{1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0})
	s.hup <- syscall.SIGHUP
	s.stop()
	s.hup <- syscall.SIGHUP
	s.stop()
	if status := <-answered; status != 500 && status != 503 {
		t.Errorf("what was open is told %d", status)
	}
	s.end()
	if n, up := resting.Open(); up && n == 0 {
		until(t, "a resting connection is ended", func() bool { _, up := resting.Open(); return !up })
	}
	if n, err := io.Copy(io.Discard, half); n != 0 || err != nil && !isReset(err) {
		t.Errorf("half a request: %d bytes, %v", n, err)
	}
}

// Where all expiries are shorter than the flush takes, the end comes all the same: the listener is closed whatever is due first.
func TestEndsWithShortExpiries(t *testing.T) {
	s := newScripted(t)
	s.set("settings.classes", []any{map[string]any{"name": "video", "effect": "pure", "promise": 40, "hard_limit": 60}})
	s.one()
	s.start()
	answered := s.ask(s.caller(), "video", 1, 60)
	s.stop()
	<-answered
	s.end()
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset") }

// raw is a client's connection without a protocol.
func (s *scripted) raw() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.listens())
	if err != nil {
		s.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	s.keep(c)
	return c
}

// full is a listener whose queue is full: the system lets no connection to it come up until the queue is emptied.
func (s *scripted) full() (address string, release func()) {
	s.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must := func(err error) {
		if s.t.Helper(); err != nil {
			s.t.Fatal(err)
		}
	}
	must(err)
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "full")
	l, err := net.FileListener(f)
	must(err)
	f.Close()
	s.t.Cleanup(func() { l.Close() })
	for {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if err != nil {
			return l.Addr().String(), func() { go s.take(l, s.read) }
		}
		s.keep(c)
	}
}

// fcgi is one record of request 1: its begin, its abort, or params.
func fcgi(typ byte, params map[string]string) []byte {
	var b []byte
	if typ == 1 {
		b = []byte{0, 1, 1, 0, 0, 0, 0, 0}
	}
	for name, value := range params {
		b = append(append(append(b, byte(len(name)), byte(len(value))), name...), value...)
	}
	return append([]byte{1, typ, 0, 1, byte(len(b) >> 8), byte(len(b)), 0, 0}, b...)
}

// A connection that comes up after its request has gone, however that went, brings it no command: the client's close of
// all or of a half, its reset, its abort, its expiry. What is asked after that goes by it.
func TestUpTooLate(t *testing.T) {
	for name, over := range map[string]func(c *net.TCPConn){
		"the client closes":      func(c *net.TCPConn) { c.Close() },
		"the client half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"the client resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"the client aborts":      func(c *net.TCPConn) { c.Write(fcgi(2, nil)) },
		"its expiry":             func(*net.TCPConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t)
			address, release := s.full()
			s.at(address)
			s.set("settings.permissions.connect_timeout", 5000)
			s.set("settings.permissions.probing", false)
			s.start()
			c := s.raw().(*net.TCPConn)
			c.Write(fcgi(1, nil))
			c.Write(fcgi(4, map[string]string{"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "0000000000000001", "HTTP_X_ALLOW_MS": "900",
				"HTTP_X_ITEM": "0000000000000001", "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}))
			c.Write(append(fcgi(4, nil), fcgi(5, nil)...))
			over(c)
			c.Read(make([]byte, 1))                                                 // its answer, or its end
			until(t, "the gateway knows", func() bool { return s.health() == 200 }) // what came before this is handled
			release()
			got := s.ask(s.caller(), "video", 2, 6000)
			x := s.command()
			if x.words[0] != "GET" || x.words[1] != "0000000000000002" {
				t.Errorf("first comes %q", x.words)
			}
			x.say("DONE", fresh(), "body")
			if status := <-got; status != 200 {
				t.Errorf("what is asked later: %d", status)
			}
			s.stop()
			s.end()
			for len(s.got) > 0 {
				if x := <-s.got; x.words[1] == "0000000000000001" {
					t.Errorf("and then %q", x.words)
				}
			}
		})
	}
}

// What a cache says that no client is owed any more, or that nobody can read, costs its own connection at the most: each request gets
// one answer, and a write whose fate is not known is not sent again.
func TestCacheCrosses(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(x command)
		want string // of a read, and of a write, with the commands that each brought
	}{
		{"a second answer at once", func(x command) {
			io.WriteString(x.conn, x.text("DONE", fresh(), "one")+x.text("DONE", fresh(), "two"))
		}, "200 1, 200 1"},
		{"half a line, then the end", func(x command) {
			io.WriteString(x.conn, x.text("DONE", fresh(), "one")[:9])
			x.conn.Close()
		}, "200 2, 500 1"},
		{"a reset under the request", func(x command) {
			x.conn.(*net.TCPConn).SetLinger(0)
			x.conn.Close()
		}, "200 2, 500 1"},
		{"the answer and the close in one", func(x command) {
			x.say("DONE", fresh(), "one")
			x.conn.Close()
		}, "200 1, 200 1"},
		{"another's answer first", func(x command) {
			io.WriteString(x.conn, command{words: []string{"GET", "00000000000000ff"}}.text("DONE", fresh(), "no")+x.text("DONE", fresh(), "one"))
		}, "200 1, 200 1"},
		{"spoilt, with the good one behind it", func(x command) {
			io.WriteString(x.conn, "*4\r\n$-7\r\n"+x.text("DONE", fresh(), "one"))
		}, "200 2, 500 1"},
		{"proof that nothing ran", func(x command) { x.say("WAIT", "-", "") }, "200 2, 200 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScripted(t)
			s.set("settings.permissions.probing", false)
			s.start()
			var got []string
			for id, typ := range []string{"video", "renewal"} {
				answered := s.ask(s.caller(), typ, id+1, 2400)
				x, sent := s.command(), 1
				c.do(x)
				status := -1
				for status < 0 {
					select {
					case status = <-answered:
					case again := <-s.got:
						if again.words[0] == "GET" {
							sent++
							again.say("DONE", fresh(), "again")
						}
					case <-time.After(20 * time.Second):
						t.Fatal("no answer")
					}
				}
				got = append(got, fmt.Sprint(status, sent))
			}
			if text := strings.Join(got, ", "); text != c.want {
				t.Errorf("%s, want %s", text, c.want)
			}
			s.stop()
			s.end()
		})
	}
}

// Two sets of settings, one after the other in one process and across a reload: nothing of the first is left, and a reload takes up none
// of what holds until a restart, and says so.
func TestOtherSettings(t *testing.T) {
	first := func(s *scripted) {
		s.set("settings.classes", []any{map[string]any{"name": "charts", "effect": "side_effect", "promise": 300, "hard_limit": 900}})
		s.one()
		s.set("settings.extra.class_write", []any{true})
	}
	second := func(s *scripted) {
		s.set("settings.classes", []any{map[string]any{"name": "lessons", "effect": "token", "key_scope": "all", "key_ttl": 5000, "promise": 200, "hard_limit": 2400},
			map[string]any{"name": "charts", "effect": "pure", "promise": 100, "hard_limit": 2400}})
		s.set("settings.extra.class_write", []any{false, false})
		s.set("settings.extra.max_age", []any{0, 0})
		s.set("settings.permissions.send_cap", 2)
	}
	// play tells what a class's request is answered, and how often it is sent where its first cache fails it.
	play := func(s *scripted, id int, typ string, allow int) string {
		answered := s.ask(s.caller(), typ, id, allow)
		for sent := 0; ; {
			select {
			case status := <-answered:
				return fmt.Sprintf("%s %d %d", typ, status, sent)
			case x := <-s.got:
				if x.words[0] != "GET" {
					continue
				}
				if sent++; sent == 1 {
					x.say("BROKE", "-", "")
				} else {
					x.say("DONE", fresh(), "again")
				}
			}
		}
	}
	s := newScripted(t)
	s.set("settings.permissions.probing", false)
	first(s)
	s.start()
	if got := play(s, 1, "charts", 900) + ", " + play(s, 2, "lessons", 900); got != "charts 500 1, lessons 400 0" {
		t.Errorf("under the first: %s", got)
	}
	call := <-s.calls // the reload ends this call and makes another
	second(s)
	s.hup <- syscall.SIGHUP
	if _, err := io.Copy(io.Discard, call); err != nil && !isReset(err) {
		t.Error(err)
	}
	<-s.calls
	if got := play(s, 3, "charts", 900) + ", " + play(s, 4, "lessons", 900); got != "charts 500 1, lessons 400 0" {
		t.Errorf("after a reload, which takes up no settings: %s", got)
	}
	s.stop()
	s.end()

	s = newScripted(t)
	s.set("settings.permissions.probing", false)
	second(s)
	s.start()
	if got := play(s, 5, "charts", 2400) + ", " + play(s, 6, "lessons", 2400) + ", " + play(s, 7, "video", 900); got != "charts 200 2, lessons 200 2, video 400 0" {
		t.Errorf("under the second: %s", got)
	}
	s.stop()
	s.end()
}

// Idle clients fill all places that clients have while the channel is down: the call for it, connections to caches and a client that asks
// still get theirs, and a drain that came meanwhile is heeded.
func TestFilledWhileTheChannelIsDown(t *testing.T) {
	s := newScripted(t)
	s.set("limits.sockets", 64)
	s.set("settings.permissions.probing", false)
	s.start()
	setup, err := s.parse()
	if err != nil {
		t.Fatal(err)
	}
	places := Share(setup.Config)
	s.news.Close()
	(<-s.calls).Close()
	for range 3 * places.Clients {
		s.raw()
	}
	answered := s.ask(s.caller(), "video", 1, 6000)
	s.command().say("DONE", fresh(), "body")
	if status := <-answered; status != 200 {
		t.Errorf("asked among idle ones: %d", status)
	}
	up, err := net.Listen("tcp", s.news.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer up.Close()
	go s.take(up, func(c net.Conn) { s.calls <- c })
	call := <-s.calls
	io.WriteString(call, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
		`id: 2`+"\n"+`data: {"cursor":2,"nodes":{"index":2,"snapshot":true,"endpoints":[]}}`+"\n\n")
	until(t, "an empty list is heeded", func() bool { return <-s.ask(s.caller(), "video", 2, 300) == 503 })
	s.stop()
	s.end()
}
