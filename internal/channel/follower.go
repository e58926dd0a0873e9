package channel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Follower keeps a connection to the channel.
type Follower struct {
	Address string
	Cursor  int64 // of the last event known
	Tell    func(News)
	Trouble func(error) // of a connection, or of an event that can't be read

	Passed  atomic.Int64 // events that stayed unreadable or away on a second ask
	mu      sync.Mutex
	next    *Place
	drop    context.CancelFunc // ends the present connection or wait
	doubted int64              // the number from which was asked again, as what came after it was not in order
}

// Place is where the channel is from now on, and what is known of its past there.
type Place struct {
	Address string
	Known   []News
}

// How long a connection may take to come up and to answer, and be silent where a comment comes each second; and the
// waits between tries. Word must be there within 2 s of a break and 4 s of a stop, one failed try included.
const (
	upWithin    = 700 * time.Millisecond
	silentFor   = 1800 * time.Millisecond
	firstWait   = 50 * time.Millisecond
	longestWait = 200 * time.Millisecond
)

// Move makes a follower call another place at once. Of several moves the newest holds.
func (f *Follower) Move(p Place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = &p
	if f.drop != nil {
		f.drop()
	}
}

// moved takes up a move. What is known there past the last number is told from there, as long as it goes on without
// a gap; the rest is left for the channel to tell.
func (f *Follower) moved(ctx context.Context) (on context.Context, ok bool) {
	f.mu.Lock()
	on, f.drop = context.WithCancel(ctx)
	p := f.next
	f.next = nil
	f.mu.Unlock()
	if p == nil {
		return on, false
	}
	f.Address = p.Address
	for _, n := range p.Known {
		if n.Cursor <= f.Cursor {
			continue
		}
		if n.Cursor > f.Cursor+1 {
			return on, true
		}
		f.Cursor = n.Cursor
		f.Tell(n)
	}
	return on, true
}

// Run follows the channel until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.doubted = -1
	wait := time.Duration(0)
	for ctx.Err() == nil {
		on, moved := f.moved(ctx)
		if moved {
			wait = 0
		}
		start := time.Now()
		err := f.connect(on)
		if on.Err() == nil {
			if !errors.Is(err, io.EOF) {
				f.Trouble(err)
			}
			// At once where the connection had lived, or an event is to be asked for again; else in growing steps, so
			// that all gateways together don't keep down a channel that starts.
			if errors.Is(err, errAgain) || time.Since(start) > upWithin && !errors.Is(err, errNever) {
				wait = 0
			}
			select {
			case <-on.Done():
			case <-time.After(wait):
			}
			wait = min(longestWait, max(firstWait, 2*wait))
		}
		f.drop()
	}
}

var (
	errNever = errors.New("no connection")
	errAgain = errors.New("asked for again")
)

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
		if ctx.Err() != nil {
			return ctx.Err() // what an old place said last may be told anew by the new one
		}
		var bad error
		found, bad = r.Feed(b[:n], found[:0])
		for _, m := range found {
			if err := f.message(m); err != nil {
				return err
			}
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

// message tells an event that comes in its turn. One that can't be read, or leaves out a number, may have been
// spoilt on the way: it is asked for once more from the last good number, and only what stays so is passed over.
func (f *Follower) message(m Message) error {
	news, err := Parse([]byte(m.Data))
	if id, bad := strconv.ParseInt(m.ID, 10, 64); err == nil && (bad != nil || id != news.Cursor) {
		err = fmt.Errorf("is number %d within", news.Cursor)
	} else if err != nil && bad == nil {
		news.Cursor = id
	}
	switch {
	case news.Cursor > 0 && news.Cursor <= f.Cursor:
		return nil // it was told before
	case err == nil && news.Cursor == f.Cursor+1:
	case f.doubted != f.Cursor:
		f.doubted = f.Cursor
		if err == nil {
			err = errors.New("comes out of turn")
		}
		return fmt.Errorf("event %q after %d: %w: %w", m.ID, f.Cursor, err, errAgain)
	default:
		f.Passed.Add(1)
		f.Trouble(fmt.Errorf("event %q after %d: passed over what can't be had (%v)", m.ID, f.Cursor, err))
		if err != nil {
			// A number that is itself in doubt must not make all up to it pass for told.
			if news.Cursor == f.Cursor+1 {
				f.Cursor = news.Cursor
			}
			return nil
		}
	}
	f.Cursor = news.Cursor
	f.Tell(news)
	return nil
}
