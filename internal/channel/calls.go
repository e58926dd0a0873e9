package channel

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Times after which another call is made, and the back-off after a call that failed. The channel sends a comment each
// second, so a longer silence means that it has stopped, or that it is slow. Events must arrive within 2 s after a
// connection breaks and within 4 s after it stops silently, including one failed attempt.
const (
	connectTimeout = 700 * time.Millisecond  // without a connection
	readTimeout    = 1800 * time.Millisecond // without an answer, or without a byte of one that has begun
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// Limits on the calls that wait for an answer side by side. With maxCalls each but the oldest has four times readTimeout for
// its answer once connections come up at once, which is longer than the 7 s after which events count as delivered in any case. Where none
// comes up it has four times connectTimeout.
const (
	maxCalls      = 5
	maxAnswerWait = 30 * time.Second // for the oldest call
)

// Errors that decide on the back-off.
var (
	errNotConnected = errors.New("no connection")
	errRetry        = errors.New("requesting again")
)

// call is one call of the channel.
type call struct {
	startedAt time.Time
	lastByte  time.Time // of the event stream
	connected bool
	streaming bool // part of the event stream has arrived
	cancel    context.CancelFunc
}

// schedule decides when the channel is called. A call that has no answer is called again but not given up, as the channel may
// be slow: if each call ended before its answer began, no event would ever arrive. The first call to deliver something of
// the event stream replaces all others.
//
// A schedule makes no calls itself and reads no clock: the Follower reports what happens, and ends the calls that it returns.
type schedule struct {
	calls   []*call   // open calls, the oldest first
	nextAt  time.Time // when another call is due
	backoff time.Duration
}

// start adds a call, and returns those that are given up for it: those that have waited too long, and beyond maxCalls the second
// oldest. The oldest is kept for a channel that needs longer than the others have.
func (s *schedule) start(c *call, now time.Time) (givenUp []*call) {
	c.startedAt = now
	s.calls = slices.DeleteFunc(s.calls, func(o *call) bool {
		expired := now.Sub(later(o.startedAt, o.lastByte)) > maxAnswerWait
		if expired {
			givenUp = append(givenUp, o)
		}
		return expired
	})
	if len(s.calls) >= maxCalls {
		givenUp = append(givenUp, s.calls[1])
		s.calls = slices.Delete(s.calls, 1, 2)
	}
	s.calls = append(s.calls, c)
	s.nextAt = now.Add(connectTimeout)
	return givenUp
}

// isOpen reports whether a call has neither ended nor been given up.
func (s *schedule) isOpen(c *call) bool { return slices.Contains(s.calls, c) }

// connected notes that the connection of a call is up.
func (s *schedule) connected(c *call, now time.Time) {
	c.connected = true
	s.nextAt = now.Add(readTimeout)
}

// streamed notes that a call has received part of the event stream, and returns the other calls, which it replaces.
func (s *schedule) streamed(c *call, now time.Time) (replaced []*call) {
	c.streaming, c.lastByte = true, now
	s.nextAt = now.Add(readTimeout)
	if len(s.calls) == 1 {
		return nil
	}
	replaced = slices.DeleteFunc(s.calls, func(o *call) bool { return o == c })
	s.calls = []*call{c}
	return replaced
}

// ended removes a call that has failed. The next one is made at once if the call had lasted, or to request events again. Otherwise
// it waits for the back-off, which grows exponentially, so that all gateways together don't overload a channel that is starting.
func (s *schedule) ended(c *call, err error, now time.Time) {
	s.calls = slices.DeleteFunc(s.calls, func(o *call) bool { return o == c })
	if errors.Is(err, errRetry) || now.Sub(c.startedAt) > connectTimeout && !errors.Is(err, errNotConnected) {
		s.backoff = 0
	}
	s.nextAt = now.Add(s.backoff)
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
}

// reset forgets all calls and returns them, and makes another one due.
func (s *schedule) reset(now time.Time) (givenUp []*call) {
	givenUp = s.calls
	*s = schedule{nextAt: now}
	return givenUp
}

// silence describes why another call is due although one is open; it is nil if none is.
func (s *schedule) silence() error {
	if len(s.calls) == 0 {
		return nil
	}
	newest := s.calls[len(s.calls)-1]
	switch {
	case newest.streaming:
		return fmt.Errorf("silent for %v; calling again", readTimeout)
	case newest.connected:
		return fmt.Errorf("no answer within %v; calling again, %d calls wait", readTimeout, len(s.calls))
	}
	return fmt.Errorf("%w within %v; calling again, %d calls wait", errNotConnected, connectTimeout, len(s.calls))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
