package channel

import (
	"context"
	"fmt"
	"io"
	"net"
)

// request is one call of the channel: the goroutine that makes it and reads the answer.
type request struct {
	call    *call
	address string
	cursor  int64 // events after this one are requested
	events  chan<- callEvent
}

// callEvent is something that has happened to a call.
type callEvent struct {
	kind      callEventKind
	call      *call
	messages  []Message
	streaming bool  // part of the event stream has arrived
	err       error // why the call has ended
}

// callEventKind is the kind of a callEvent.
type callEventKind int

// The kinds of call events.
const (
	callConnected callEventKind = iota
	callReceived
	callEnded
)

// run makes the call and reports what happens to it until it ends or its context does.
func (r request) run(ctx context.Context) {
	err := r.stream(ctx)
	r.report(ctx, callEvent{kind: callEnded, err: err})
}

func (r request) report(ctx context.Context, e callEvent) {
	e.call = r.call
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

// stream requests the events and reads them until the connection ends. It sets no time limit: that is up to the schedule.
func (r request) stream(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", r.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotConnected, err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r.report(ctx, callEvent{kind: callConnected})
	if _, err = fmt.Fprintf(conn, "GET /cmd/next HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\n"+
		"Last-Event-ID: %d\r\n\r\n", r.address, r.cursor); err != nil {
		return err
	}
	reader, b := NewReader(), make([]byte, 16<<10)
	for {
		n, err := conn.Read(b)
		messages, protocolErr := reader.Feed(b[:n], nil)
		if n > 0 {
			r.report(ctx, callEvent{kind: callReceived, messages: messages, streaming: reader.Streaming})
		}
		switch {
		case protocolErr != nil:
			return protocolErr
		case reader.Done:
			return io.EOF
		case err != nil:
			return err
		}
	}
}
