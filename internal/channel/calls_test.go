package channel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a channel that is never heard: however late it connects and begins its answers, and however many of the first calls
// it never answers, the first call that it does answer is still open then, and few calls wait side by side.
func TestSlowChannelIsHeard(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, c := range []struct {
		name            string
		connect, answer time.Duration
		unanswered      int           // the first calls are never answered
		want            time.Duration // after which the first event arrives
	}{
		{"at once", 0, 0, 0, 0},
		{"late", 0, 2500 * time.Millisecond, 0, 2500 * time.Millisecond},
		{"within the time after which events count as delivered", 0, 7 * time.Second, 0, 7 * time.Second},
		{"very late", 0, 25 * time.Second, 0, 25 * time.Second},
		{"late connection", 1500 * time.Millisecond, 0, 0, 1500 * time.Millisecond},
		{"late connection and answer", 1500 * time.Millisecond, 2500 * time.Millisecond, 0, 4 * time.Second},
		{"the first call silent", 0, 0, 1, readTimeout},
		{"the first call silent, then late", 0, 2500 * time.Millisecond, 1, readTimeout + 2500*time.Millisecond},
		{"ten calls silent, then late", 0, 7 * time.Second, 10, 10*readTimeout + 7*time.Second},
	} {
		begin := time.Unix(0, 0)
		var s schedule
		s.reset(begin)
		var made []*call
		connectedAt := map[*call]time.Time{}
		heard := time.Duration(-1)
		for now := begin; heard < 0 && now.Sub(begin) < time.Minute; now = now.Add(step) {
			if !now.Before(s.nextAt) {
				made = append(made, &call{})
				s.start(made[len(made)-1], now)
			}
			for i, o := range made {
				if !s.isOpen(o) {
					continue
				}
				if !o.connected && now.Sub(o.startedAt) >= c.connect {
					connectedAt[o] = now
					s.connected(o, now)
				}
				if o.connected && i >= c.unanswered && now.Sub(connectedAt[o]) >= c.answer {
					heard = now.Sub(begin)
					s.streamed(o, now)
					break
				}
			}
			if len(s.calls) > maxCalls {
				t.Fatalf("%s: %d calls wait", c.name, len(s.calls))
			}
		}
		if limit := c.want + time.Duration(c.unanswered+2)*step; heard < c.want || heard > limit {
			t.Errorf("%s: heard after %v, want %v to %v", c.name, heard, c.want, limit)
		}
		if len(s.calls) != 1 {
			t.Errorf("%s: %d calls are open once one is answered", c.name, len(s.calls))
		}
	}
}

// Guards against drains and purges that never arrive: a channel that answers each call, or sends more than the head of its answer, only
// once the follower has made another was given up with every call.
func TestSlowAnswerIsAwaited(t *testing.T) {
	for _, c := range []struct{ atOnce, later string }{{"", okHead + purgeEvents(3)}, {okHead, purgeEvents(3)}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			var previous net.Conn
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				io.WriteString(conn, c.atOnce)
				if previous != nil {
					io.WriteString(previous, c.later)
				}
				previous = conn
			}
		}()
		delivered, done := make(chan int64, 9), make(chan bool)
		ctx, cancel := context.WithCancel(context.Background())
		f := &Follower{Address: l.Addr().String(), Cursor: 2, OnEvent: func(n Event) { delivered <- n.Cursor }, OnError: func(error) {}}
		go func() { f.Run(ctx); close(done) }()
		select {
		case n := <-delivered:
			if n != 3 {
				t.Errorf("delivered %d, want 3", n)
			}
		case <-time.After(20 * time.Second):
			t.Errorf("nothing delivered where the channel sends %q at once", c.atOnce)
		}
		cancel()
		<-done
	}
}

// The head of an answer shows only that the channel is there: older calls must stay open until a newer one brings something of
// the event stream.
func TestOnlyStreamReplacesCalls(t *testing.T) {
	f := &Follower{OnError: func(error) {}}
	now := time.Unix(0, 0)
	_, older := f.startCall(context.Background(), nil, now)
	_, newer := f.startCall(context.Background(), nil, now)
	r := NewReader()
	for _, c := range []struct {
		text string
		open bool
	}{{okHead, true}, {":", false}} {
		messages, err := r.Feed([]byte(c.text), nil)
		f.handleCall(callEvent{kind: callReceived, call: newer.call, messages: messages, streaming: r.Streaming}, now)
		if open := f.schedule.isOpen(older.call); open != c.open || err != nil {
			t.Errorf("after %q the older call is open: %v, %v", c.text, open, err)
		}
	}
}
