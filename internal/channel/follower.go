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

// Follower follows the channel over one connection at a time and reconnects when it breaks.
type Follower struct {
	Address string
	Cursor  int64       // number of the last event processed
	OnEvent func(Event) // receives each event, in order
	OnError func(error) // receives errors of connections and of events that can't be parsed

	Skipped       atomic.Int64 // events skipped because they were still invalid or missing when requested again
	mu            sync.Mutex
	nextSource    *Source
	cancel        context.CancelFunc // ends the current connection or back-off
	retriedCursor int64              // cursor from which events were requested again, as the next one was invalid or missing
}

// Source is an address of the channel with the past events known there.
type Source struct {
	Address    string
	PastEvents []Event
}

// Time-outs of a connection, and the back-off between attempts. The channel sends a comment each second, so a longer
// silence means that it has stopped. Events must arrive within 2 s after a connection breaks and within 4 s after it stops
// silently, including one failed attempt.
const (
	connectTimeout = 700 * time.Millisecond
	readTimeout    = 1800 * time.Millisecond
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// Move makes the follower reconnect to another place at once. The latest of several moves wins.
func (f *Follower) Move(p Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextSource = &p
	if f.cancel != nil {
		f.cancel()
	}
}

// applyMove starts a new connection context and applies a pending move, if any. It delivers the known events after the
// cursor up to the first gap; the channel sends the rest.
func (f *Follower) applyMove(ctx context.Context) (connCtx context.Context, ok bool) {
	f.mu.Lock()
	connCtx, f.cancel = context.WithCancel(ctx)
	p := f.nextSource
	f.nextSource = nil
	f.mu.Unlock()
	if p == nil {
		return connCtx, false
	}
	f.Address = p.Address
	for _, n := range p.PastEvents {
		if n.Cursor <= f.Cursor {
			continue
		}
		if n.Cursor > f.Cursor+1 {
			return connCtx, true
		}
		f.Cursor = n.Cursor
		f.OnEvent(n)
	}
	return connCtx, true
}

// Run follows the channel until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.retriedCursor = -1
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		connCtx, moved := f.applyMove(ctx)
		if moved {
			backoff = 0
		}
		start := time.Now()
		err := f.stream(connCtx)
		if connCtx.Err() == nil {
			if !errors.Is(err, io.EOF) {
				f.OnError(err)
			}
			// Reconnect at once if the connection had lasted, or to request an event again. Otherwise back off
			// exponentially, so that all gateways together don't overload a channel that is starting.
			if errors.Is(err, errRetry) || time.Since(start) > connectTimeout && !errors.Is(err, errNotConnected) {
				backoff = 0
			}
			select {
			case <-connCtx.Done():
			case <-time.After(backoff):
			}
			backoff = min(maxBackoff, max(minBackoff, 2*backoff))
		}
		f.cancel()
	}
}

// Errors that decide on the back-off.
var (
	errNotConnected = errors.New("no connection")
	errRetry        = errors.New("requesting again")
)

// stream requests the events after the cursor and processes them until the connection ends.
func (f *Follower) stream(ctx context.Context) error {
	d := net.Dialer{Timeout: connectTimeout}
	conn, err := d.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotConnected, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(readTimeout))
	if _, err = fmt.Fprintf(conn, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n"+
		"Last-Event-ID: %d\r\n\r\n", f.Address, f.Cursor); err != nil {
		return err
	}
	r, b := NewReader(), make([]byte, 16<<10)
	var messages []Message
	for {
		conn.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := conn.Read(b)
		if ctx.Err() != nil {
			return ctx.Err() // after a move, the new place may send these events again
		}
		var protocolErr error
		messages, protocolErr = r.Feed(b[:n], messages[:0])
		for _, m := range messages {
			if err := f.handleMessage(m); err != nil {
				return err
			}
		}
		if protocolErr != nil {
			return protocolErr
		}
		if r.Done {
			return io.EOF
		}
		if err != nil {
			return err
		}
	}
}

// handleMessage delivers the next event in order. An event that is invalid or leaves a gap may have been corrupted in
// transit, so events are requested once more from the last good cursor; what is still invalid or missing is skipped.
func (f *Follower) handleMessage(m Message) error {
	event, err := Parse([]byte(m.Data))
	if id, idErr := strconv.ParseInt(m.ID, 10, 64); err == nil && (idErr != nil || id != event.Cursor) {
		err = fmt.Errorf("ID differs from cursor %d", event.Cursor)
	} else if err != nil && idErr == nil {
		event.Cursor = id
	}
	switch {
	case event.Cursor > 0 && event.Cursor <= f.Cursor:
		return nil // delivered before
	case err == nil && event.Cursor == f.Cursor+1:
	case f.retriedCursor != f.Cursor:
		f.retriedCursor = f.Cursor
		if err == nil {
			err = errors.New("out of order")
		}
		return fmt.Errorf("event %q after %d: %w: %w", m.ID, f.Cursor, err, errRetry)
	default:
		f.Skipped.Add(1)
		f.OnError(fmt.Errorf("event %q after %d: skipped what is missing or invalid (%v)", m.ID, f.Cursor, err))
		if err != nil {
			// The cursor of an invalid event may be wrong too, so it must not mark earlier events as delivered.
			if event.Cursor == f.Cursor+1 {
				f.Cursor = event.Cursor
			}
			return nil
		}
	}
	f.Cursor = event.Cursor
	f.OnEvent(event)
	return nil
}
