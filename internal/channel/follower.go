package channel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Follower follows the channel: over one connection at a time, or over several calls while none of them is answered.
type Follower struct {
	Address string
	Cursor  int64       // number of the last event processed
	OnEvent func(Event) // receives each event, in order
	OnError func(error) // receives errors of connections and of events that can't be parsed

	Skipped       atomic.Int64 // events skipped because they were still invalid or missing when requested again
	Calls         atomic.Int64 // calls of the channel
	mu            sync.Mutex
	nextSource    *Source
	moved         chan struct{} // wakes Run when nextSource is set
	schedule      schedule
	retriedCursor int64 // cursor from which events were requested again, as the next one was invalid or missing
}

// Source is an address of the channel with the past events known there.
type Source struct {
	Address    string
	PastEvents []Event
}

// Move makes the follower continue at another place at once. The latest of several moves wins.
func (f *Follower) Move(p Source) {
	f.mu.Lock()
	f.nextSource = &p
	f.mu.Unlock()
	select {
	case f.moves() <- struct{}{}:
	default:
	}
}

// moves returns the channel that wakes Run, which Move may be the first to need.
func (f *Follower) moves() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.moved == nil {
		f.moved = make(chan struct{}, 1)
	}
	return f.moved
}

// applyMove applies a pending move, and reports whether there was one. It delivers the known events after the cursor up to the
// first gap; the channel sends the rest.
func (f *Follower) applyMove() (moved bool) {
	f.mu.Lock()
	p := f.nextSource
	f.nextSource = nil
	f.mu.Unlock()
	if p == nil {
		return false
	}
	f.Address = p.Address
	for _, n := range p.PastEvents {
		if n.Cursor <= f.Cursor {
			continue
		}
		if n.Cursor > f.Cursor+1 {
			break
		}
		f.Cursor = n.Cursor
		f.OnEvent(n)
	}
	return true
}

// Run follows the channel until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.retriedCursor = -1
	f.schedule.reset(time.Now())
	events := make(chan callEvent)
	callsCtx, endCalls := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer endCalls()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if f.applyMove() {
			endAll(f.schedule.reset(time.Now())) // the new place may send events again that the old one has sent
		}
		if now := time.Now(); !now.Before(f.schedule.nextAt) {
			callCtx, r := f.startCall(callsCtx, events, now)
			running.Go(func() { r.run(callCtx) })
		}
		timer.Reset(time.Until(f.schedule.nextAt))
		select {
		case <-ctx.Done():
		case <-f.moves():
		case <-timer.C:
		case e := <-events:
			f.handleCall(e, time.Now())
		}
	}
}

// startCall adds a call to the schedule and returns its request and the context in which it runs.
func (f *Follower) startCall(ctx context.Context, events chan<- callEvent, now time.Time) (context.Context, request) {
	if err := f.schedule.silence(); err != nil {
		f.OnError(err)
	}
	f.Calls.Add(1)
	c := &call{}
	ctx, c.cancel = context.WithCancel(ctx)
	endAll(f.schedule.start(c, now))
	return ctx, request{call: c, address: f.Address, cursor: f.Cursor, events: events}
}

// endAll ends calls and closes their connections.
func endAll(calls []*call) {
	for _, c := range calls {
		c.cancel()
	}
}

// handleCall handles what has happened to a call, unless the call has been given up since.
func (f *Follower) handleCall(e callEvent, now time.Time) {
	if !f.schedule.isOpen(e.call) {
		return
	}
	switch e.kind {
	case callConnected:
		f.schedule.connected(e.call, now)
	case callReceived:
		if e.streaming {
			endAll(f.schedule.streamed(e.call, now))
		}
		for _, m := range e.messages {
			if err := f.handleMessage(m); err != nil {
				f.endCall(e.call, err, now)
				return
			}
		}
	case callEnded:
		f.endCall(e.call, e.err, now)
	}
}

// endCall ends a call that has failed.
func (f *Follower) endCall(c *call, err error, now time.Time) {
	c.cancel()
	if !errors.Is(err, io.EOF) {
		f.OnError(err)
	}
	f.schedule.ended(c, err, now)
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
