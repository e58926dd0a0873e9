package channel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"
)

// Follower keeps a connection to the channel.
type Follower struct {
	Address string
	Cursor  int64 // of the last event known
	Tell    func(News)
	Trouble func(error) // of a connection, or of an event that can't be read
}

// How long a connection may take, and be silent where a comment comes each second; and the waits between tries.
const (
	upWithin    = time.Second
	silentFor   = 4 * time.Second
	firstWait   = 50 * time.Millisecond
	longestWait = 2 * time.Second
)

// Run follows the channel until the context ends.
func (f *Follower) Run(ctx context.Context) {
	wait := time.Duration(0)
	for {
		start := time.Now()
		err := f.connect(ctx)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, io.EOF) {
			f.Trouble(err)
		}
		// At once where the connection had lived; else in growing steps, so that all gateways together don't keep
		// down a channel that starts.
		if time.Since(start) > upWithin && !errors.Is(err, errNever) {
			wait = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(longestWait, max(firstWait, 2*wait))
	}
}

var errNever = errors.New("no connection")

func (f *Follower) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: upWithin}
	nc, err := d.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNever, err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(time.Now().Add(silentFor))
	if _, err = fmt.Fprintf(nc, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n"+
		"Last-Event-ID: %d\r\n\r\n", f.Address, f.Cursor); err != nil {
		return err
	}
	r, b := NewReader(), make([]byte, 16<<10)
	var found []Message
	for {
		nc.SetReadDeadline(time.Now().Add(silentFor))
		n, err := nc.Read(b)
		var bad error
		found, bad = r.Feed(b[:n], found[:0])
		for _, m := range found {
			f.message(m)
		}
		if bad != nil {
			return bad
		}
		if r.Done {
			return io.EOF
		}
		if err != nil {
			return err
		}
	}
}

func (f *Follower) message(m Message) {
	news, err := Parse([]byte(m.Data))
	if err == nil && news.Cursor > f.Cursor+1 {
		f.Trouble(fmt.Errorf("event %d comes after %d", news.Cursor, f.Cursor))
	}
	if id, bad := strconv.ParseInt(m.ID, 10, 64); bad == nil && id > 0 {
		news.Cursor = id
	}
	if news.Cursor > 0 && news.Cursor <= f.Cursor {
		return // it was told before the connection broke
	}
	if err != nil {
		f.Trouble(fmt.Errorf("event %q: %w", m.ID, err))
	}
	if f.Cursor = max(f.Cursor, news.Cursor); err == nil {
		f.Tell(news)
	}
}
