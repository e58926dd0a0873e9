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
	"poppymill/internal/gatewayconfig"
)

// scripted is a gateway on real connections whose peers do only what a test says: the caches pass each command to the
// test, and the command channel passes each connection.
type scripted struct {
	t            *testing.T
	config       map[string]any
	caches       net.Listener // the address of all nodes in the list
	channel      net.Listener
	commands     chan command
	channelConns chan net.Conn
	hup          chan os.Signal
	stop         context.CancelFunc
	ended        chan error
	mu           sync.Mutex
	conns        []net.Conn // closed at the end of the test
}

// command is a complete command that a cache received.
type command struct {
	words []string
	conn  net.Conn
}

// reply writes a reply to the command.
func (c command) reply(word, fields, body string) {
	io.WriteString(c.conn, c.encode(word, fields, body))
}

// encode returns a reply to the command as it goes on the wire.
func (c command) encode(word, fields, body string) (s string) {
	s = "*4\r\n"
	for _, w := range []string{c.words[1], word, fields, body} {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return s
}

// freshFields returns the fields of a reply with a copy created now.
func freshFields() string {
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

// set sets the value at a path of the configuration, such as settings.permissions.cancel.
func (s *scripted) set(path string, value any) {
	object, names := s.config, strings.Split(path, ".")
	for _, n := range names[:len(names)-1] {
		object = object[n].(map[string]any)
	}
	object[names[len(names)-1]] = value
}

func (s *scripted) parse() (Setup, error) {
	text, err := json.Marshal(s.config)
	if err != nil {
		return Setup{}, err
	}
	c, err := gatewayconfig.Parse(text, os.Getenv)
	return Setup{Config: c, Operator: &Settings{}}, err
}

func (s *scripted) reloads() Reloads {
	return Reloads{Signals: s.hup, LoadOperator: func() (*Settings, error) { return &Settings{}, nil },
		LoadConfig: func() (*gatewayconfig.Config, error) {
			setup, err := s.parse()
			return setup.Config, err
		}}
}

// newScripted returns a gateway that is not started yet.
func newScripted(t *testing.T) *scripted {
	s := &scripted{t: t, caches: listen(t), channel: listen(t), commands: make(chan command, 99),
		channelConns: make(chan net.Conn, 99), hup: make(chan os.Signal, 1), ended: make(chan error, 1)}
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
	s.set("channel", s.channel.Addr().String())
	s.listNodesAt(s.caches.Addr().String())
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.conns {
			c.Close()
		}
	})
	return s
}

// setSingleClass configures the extra settings for a single class, whose copies never expire.
func (s *scripted) setSingleClass() {
	s.set("settings.extra.class_write", []any{false})
	s.set("settings.extra.max_age", []any{0})
}

// listNodesAt lists all nodes with the given address.
func (s *scripted) listNodesAt(address string) {
	first := s.config["known"].(map[string]any)["cmds"].([]any)[0].(map[string]any)["nodes"].(map[string]any)
	for _, n := range first["endpoints"].([]any) {
		n.(map[string]any)["address"] = address
	}
}

// closeAtEnd closes a connection at the end of the test.
func (s *scripted) closeAtEnd(c net.Conn) {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
}

// accept passes the connections of a listener to handle until the listener is closed.
func (s *scripted) accept(l net.Listener, handle func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.closeAtEnd(c)
		go handle(c)
	}
}

// readCommands passes the complete commands of a connection to the test.
func (s *scripted) readCommands(c net.Conn) {
	in := bufio.NewReader(c)
	readNumber := func(prefix byte) int {
		text, err := in.ReadString('\n')
		if err != nil || text[0] != prefix {
			return -1
		}
		n, _ := strconv.Atoi(strings.TrimSpace(text[1:]))
		return n
	}
	for {
		words := make([]string, max(0, readNumber('*')))
		if len(words) == 0 {
			return
		}
		for i := range words {
			b := make([]byte, max(0, readNumber('$'))+2)
			if _, err := io.ReadFull(in, b); err != nil {
				return
			}
			words[i] = string(b[:len(b)-2])
		}
		s.commands <- command{words, c}
	}
}

// start runs the gateway and waits until it is ready.
func (s *scripted) start() {
	s.t.Helper()
	go s.accept(s.caches, s.readCommands)
	go s.accept(s.channel, func(c net.Conn) { s.channelConns <- c })
	setup, err := s.parse()
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go func() { s.ended <- Serve(ctx, setup, s.reloads(), discardLogger()) }()
	until(s.t, "ready", func() bool { return s.health() == 200 })
}

func (s *scripted) address() string { return s.config["listen"].(string) }

func (s *scripted) health() int {
	r, err := clients.Do(context.Background(), s.address(), map[string]string{"SCRIPT_NAME": healthPath}, nil)
	if err != nil {
		return 0
	}
	return r.Status
}

// newCaller opens a client's connection.
func (s *scripted) newCaller() *clients.Client {
	s.t.Helper()
	c, err := clients.Dial(context.Background(), s.address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(c.Close)
	return c
}

// ask sends a request. The returned channel receives the status of the answer, or 0 if the connection ends.
func (s *scripted) ask(c *clients.Client, typ string, id, allow int) chan int {
	s.t.Helper()
	status := make(chan int, 1)
	if _, err := c.Send(map[string]string{"SCRIPT_NAME": "/invoke/" + typ, "HTTP_X_JOB_ID": fmt.Sprintf("%016x", id),
		"HTTP_X_ALLOW_MS": strconv.Itoa(allow), "HTTP_X_ITEM": fmt.Sprintf("%016x", id), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"},
		nil, func(r clients.Response, err error) { status <- r.Status }); err != nil {
		s.t.Fatal(err)
	}
	return status
}

// nextCommand waits for the next command that reaches a cache.
func (s *scripted) nextCommand() command {
	s.t.Helper()
	select {
	case c := <-s.commands:
		return c
	case <-time.After(20 * time.Second):
		s.t.Fatal("no command reached a cache")
		return command{}
	}
}

// waitEnd waits until Serve has returned, after a stop.
func (s *scripted) waitEnd() {
	s.t.Helper()
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("Serve returned %v", err)
		}
	case <-time.After(20 * time.Second):
		s.t.Fatal("Serve does not return")
	}
}

// A shutdown must complete even if all peers hang: the caches answer no command, the command channel is silent, and
// clients are idle, have sent half a request or wait for an answer. The gateway is stopped twice during reloads; it
// answers each accepted download once and ends.
func TestShutdownWithHungPeers(t *testing.T) {
	s := newScripted(t)
	s.set("settings.classes", []any{map[string]any{"name": "video", "effect": "pure", "promise": 600, "hard_limit": 800}})
	s.setSingleClass()
	s.start()
	idle, partial, waiting := s.newCaller(), s.dial(), s.newCaller()
	answered := s.ask(waiting, "video", 1, 800)
	s.nextCommand()
	partial.Write([]byte{1, 1, 0, 1, 0, 8, 0, 0, 0, 1, 1, 0, 0, 0, 0, 0})
	s.hup <- syscall.SIGHUP
	s.stop()
	s.hup <- syscall.SIGHUP
	s.stop()
	if status := <-answered; status != 500 && status != 503 {
		t.Errorf("open download: status %d", status)
	}
	s.waitEnd()
	if n, up := idle.Open(); up && n == 0 {
		until(t, "the idle connection is closed", func() bool { _, up := idle.Open(); return !up })
	}
	if n, err := io.Copy(io.Discard, partial); n != 0 || err != nil && !isReset(err) {
		t.Errorf("partial request: %d bytes, %v", n, err)
	}
}

// A shutdown must complete even if all expiries are shorter than the flush: the listener is closed whichever deadline
// comes first.
func TestShutdownWithShortExpiries(t *testing.T) {
	s := newScripted(t)
	s.set("settings.classes", []any{map[string]any{"name": "video", "effect": "pure", "promise": 40, "hard_limit": 60}})
	s.setSingleClass()
	s.start()
	answered := s.ask(s.newCaller(), "video", 1, 60)
	s.stop()
	<-answered
	s.waitEnd()
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset") }

// dial opens a client's connection that the test writes to directly.
func (s *scripted) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address())
	if err != nil {
		s.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	s.closeAtEnd(c)
	return c
}

// fullListener returns the address of a listener whose backlog is full: no connection to it is established until
// release accepts those that wait.
func (s *scripted) fullListener() (address string, release func()) {
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
			return l.Addr().String(), func() { go s.accept(l, s.readCommands) }
		}
		s.closeAtEnd(c)
	}
}

// fcgi returns a FastCGI record of request 1: begin, abort, params or stdin.
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

// A connection to a cache that is established only after its download has ended must not carry that download's command,
// whether the client closed, half-closed, reset or aborted, or the download expired. A later request uses the
// connection.
func TestConnectionUpAfterDownloadEnded(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"the client closes":      func(c *net.TCPConn) { c.Close() },
		"the client half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"the client resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"the client aborts":      func(c *net.TCPConn) { c.Write(fcgi(2, nil)) },
		"the download expires":   func(*net.TCPConn) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScripted(t)
			address, release := s.fullListener()
			s.listNodesAt(address)
			s.set("settings.permissions.connect_timeout", 5000)
			s.set("settings.permissions.probing", false)
			s.start()
			c := s.dial().(*net.TCPConn)
			c.Write(fcgi(1, nil))
			c.Write(fcgi(4, map[string]string{"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": "0000000000000001",
				"HTTP_X_ALLOW_MS": "900", "HTTP_X_ITEM": "0000000000000001", "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}))
			c.Write(append(fcgi(4, nil), fcgi(5, nil)...))
			end(c)
			c.Read(make([]byte, 1)) // the answer, or the end of the connection
			// Once the health check is answered, all earlier events have been handled.
			until(t, "the health check is answered", func() bool { return s.health() == 200 })
			release()
			answered := s.ask(s.newCaller(), "video", 2, 6000)
			first := s.nextCommand()
			if first.words[0] != "GET" || first.words[1] != "0000000000000002" {
				t.Errorf("the first command is %q", first.words)
			}
			first.reply("DONE", freshFields(), "body")
			if status := <-answered; status != 200 {
				t.Errorf("later request: status %d", status)
			}
			s.stop()
			s.waitEnd()
			for len(s.commands) > 0 {
				if later := <-s.commands; later.words[1] == "0000000000000001" {
					t.Errorf("command of the ended download: %q", later.words)
				}
			}
		})
	}
}

// Replies that nobody waits for and replies that cannot be parsed must cost no more than their own connection: each
// request gets one answer, and a write that may have run is not sent again.
func TestCacheReplyFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(x command)
		want string // status and number of commands, of a read and of a write
	}{
		{"two answers in one write", func(x command) {
			io.WriteString(x.conn, x.encode("DONE", freshFields(), "one")+x.encode("DONE", freshFields(), "two"))
		}, "200 1, 200 1"},
		{"half a line, then a close", func(x command) {
			io.WriteString(x.conn, x.encode("DONE", freshFields(), "one")[:9])
			x.conn.Close()
		}, "200 2, 500 1"},
		{"a reset while the request is open", func(x command) {
			x.conn.(*net.TCPConn).SetLinger(0)
			x.conn.Close()
		}, "200 2, 500 1"},
		{"an answer, then a close", func(x command) {
			x.reply("DONE", freshFields(), "one")
			x.conn.Close()
		}, "200 1, 200 1"},
		{"an answer to an unknown request first", func(x command) {
			io.WriteString(x.conn, command{words: []string{"GET", "00000000000000ff"}}.encode("DONE", freshFields(), "no")+
				x.encode("DONE", freshFields(), "one"))
		}, "200 1, 200 1"},
		{"a malformed reply before the answer", func(x command) {
			io.WriteString(x.conn, "*4\r\n$-7\r\n"+x.encode("DONE", freshFields(), "one"))
		}, "200 2, 500 1"},
		{"a reply that proves that nothing ran", func(x command) { x.reply("WAIT", "-", "") }, "200 2, 200 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScripted(t)
			s.set("settings.permissions.probing", false)
			s.start()
			var got []string
			for id, typ := range []string{"video", "renewal"} {
				answered := s.ask(s.newCaller(), typ, id+1, 2400)
				first, sent := s.nextCommand(), 1
				c.act(first)
				status := -1
				for status < 0 {
					select {
					case status = <-answered:
					case repeat := <-s.commands:
						if repeat.words[0] == "GET" {
							sent++
							repeat.reply("DONE", freshFields(), "again")
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
			s.waitEnd()
		})
	}
}

// Settings that need a restart must not be applied by a reload, and a second gateway in the same process must use its
// own settings only, with nothing left over from the first.
func TestRestartAppliesSettings(t *testing.T) {
	first := func(s *scripted) {
		s.set("settings.classes", []any{
			map[string]any{"name": "charts", "effect": "side_effect", "promise": 300, "hard_limit": 900}})
		s.setSingleClass()
		s.set("settings.extra.class_write", []any{true})
	}
	second := func(s *scripted) {
		s.set("settings.classes", []any{
			map[string]any{"name": "lessons", "effect": "token", "key_scope": "all", "key_ttl": 5000, "promise": 200,
				"hard_limit": 2400},
			map[string]any{"name": "charts", "effect": "pure", "promise": 100, "hard_limit": 2400}})
		s.set("settings.extra.class_write", []any{false, false})
		s.set("settings.extra.max_age", []any{0, 0})
		s.set("settings.permissions.send_cap", 2)
	}
	// request returns the status of a request's answer and how often it was sent; its first attempt fails.
	request := func(s *scripted, id int, typ string, allow int) string {
		answered := s.ask(s.newCaller(), typ, id, allow)
		for sent := 0; ; {
			select {
			case status := <-answered:
				return fmt.Sprintf("%s %d %d", typ, status, sent)
			case x := <-s.commands:
				if x.words[0] != "GET" {
					continue
				}
				if sent++; sent == 1 {
					x.reply("BROKE", "-", "")
				} else {
					x.reply("DONE", freshFields(), "again")
				}
			}
		}
	}
	s := newScripted(t)
	s.set("settings.permissions.probing", false)
	first(s)
	s.start()
	if got := request(s, 1, "charts", 900) + ", " + request(s, 2, "lessons", 900); got != "charts 500 1, lessons 400 0" {
		t.Errorf("first settings: %s", got)
	}
	conn := <-s.channelConns // the reload ends this connection and opens another
	second(s)
	s.hup <- syscall.SIGHUP
	if _, err := io.Copy(io.Discard, conn); err != nil && !isReset(err) {
		t.Error(err)
	}
	<-s.channelConns
	if got := request(s, 3, "charts", 900) + ", " + request(s, 4, "lessons", 900); got != "charts 500 1, lessons 400 0" {
		t.Errorf("first settings after a reload: %s", got)
	}
	s.stop()
	s.waitEnd()

	s = newScripted(t)
	s.set("settings.permissions.probing", false)
	second(s)
	s.start()
	if got := request(s, 5, "charts", 2400) + ", " + request(s, 6, "lessons", 2400) + ", " + request(s, 7, "video", 900); got !=
		"charts 200 2, lessons 200 2, video 400 0" {
		t.Errorf("second settings: %s", got)
	}
	s.stop()
	s.waitEnd()
}

// Idle clients use up all connections of the clients' budget while the command channel is down. The channel, the caches
// and a client with a request must still get connections, and a node list that was missed meanwhile is applied.
func TestClientBudgetUsedUpWhileChannelDown(t *testing.T) {
	s := newScripted(t)
	s.set("limits.sockets", 64)
	s.set("settings.permissions.probing", false)
	s.start()
	setup, err := s.parse()
	if err != nil {
		t.Fatal(err)
	}
	budget := NewBudget(setup.Config)
	s.channel.Close()
	(<-s.channelConns).Close()
	for range 3 * budget.Clients {
		s.dial()
	}
	answered := s.ask(s.newCaller(), "video", 1, 6000)
	s.nextCommand().reply("DONE", freshFields(), "body")
	if status := <-answered; status != 200 {
		t.Errorf("request beside idle clients: status %d", status)
	}
	channel, err := net.Listen("tcp", s.channel.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer channel.Close()
	go s.accept(channel, func(c net.Conn) { s.channelConns <- c })
	conn := <-s.channelConns
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+
		`id: 2`+"\n"+`data: {"cursor":2,"nodes":{"index":2,"snapshot":true,"endpoints":[]}}`+"\n\n")
	until(t, "the empty node list is applied", func() bool { return <-s.ask(s.newCaller(), "video", 2, 300) == 503 })
	s.stop()
	s.waitEnd()
}
