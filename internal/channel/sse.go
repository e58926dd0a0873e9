// Package channel follows the command channel: changes of the list of nodes, and purges.
//
// Reader implements the protocol, server-sent events over HTTP, on bytes, without sockets or clocks. Follower connects to
// the channel and uses it.
package channel

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits on the memory that the channel can make a gateway use.
const (
	maxLineBytes  = 16 << 10 // status, header, chunk size or trailer line
	maxEventBytes = 4 << 20  // enough for a list of several thousand nodes
)

// Message is one server-sent event.
type Message struct{ ID, Data string }

// readerState is what a Reader expects next.
type readerState int

// States of a Reader. inBody is a body that isn't chunked.
const (
	inHead readerState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Reader is an incremental parser of one HTTP response of the channel.
type Reader struct {
	state        readerState
	lineBuf      []byte // the line of the head or of the chunked coding read so far
	bytesLeft    int    // of the chunk, or of a body that isn't chunked; -1: no length was given
	atStatusLine bool
	chunked      bool
	eventLine    []byte // the line of the event stream read so far
	id           string
	data         []byte
	hasData      bool // the current event has a data field
	Streaming    bool // part of the event stream has been received
	Done         bool // the response is complete
}

// NewReader returns a reader for the response to one request.
func NewReader() *Reader { return &Reader{atStatusLine: true, bytesLeft: -1} }

// Feed parses the next bytes of the response, which may be split anywhere, and appends the completed events. After an
// error the connection is unusable.
func (r *Reader) Feed(b []byte, messages []Message) ([]Message, error) {
	for len(b) > 0 && !r.Done {
		switch r.state {
		case inBody, inChunk:
			r.Streaming = true
			n := len(b)
			if r.bytesLeft >= 0 {
				n = min(n, r.bytesLeft)
				r.bytesLeft -= n
			}
			var err error
			if messages, err = r.parseBody(b[:n], messages); err != nil {
				return messages, err
			}
			if b = b[n:]; r.bytesLeft == 0 {
				if r.Done = r.state == inBody; !r.Done {
					r.state = inChunkEnd
				}
			}
		default:
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				r.lineBuf, b = append(r.lineBuf, b...), nil
			} else {
				r.lineBuf, b = append(r.lineBuf, b[:end]...), b[end+1:]
			}
			if len(r.lineBuf) > maxLineBytes {
				return messages, errors.New("header or chunk line is too long")
			}
			if end < 0 {
				continue
			}
			line := strings.TrimSuffix(string(r.lineBuf), "\r")
			r.lineBuf = r.lineBuf[:0]
			if err := r.parseLine(line); err != nil {
				return messages, err
			}
		}
	}
	return messages, nil
}

// parseLine processes a line of the head, a chunk size, the end of a chunk or a trailer.
func (r *Reader) parseLine(line string) error {
	switch {
	case r.state == inChunkEnd:
		if line != "" {
			return errors.New("chunk is not terminated by CRLF")
		}
		r.state = inChunkSize
	case r.state == inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("invalid chunk size %q", line)
		}
		if r.bytesLeft, r.state = int(n), inChunk; n == 0 {
			r.state = inTrailer
		}
	case r.state == inTrailer:
		r.Done = line == ""
	case r.atStatusLine:
		r.atStatusLine = false
		version, rest, _ := strings.Cut(line, " ")
		if status, _, _ := strings.Cut(rest, " "); !strings.HasPrefix(version, "HTTP/1.") || status != "200" {
			return fmt.Errorf("unexpected status line %q", line)
		}
	case line == "":
		if r.state = inBody; r.chunked {
			r.state = inChunkSize
		}
		r.Done = r.state == inBody && r.bytesLeft == 0
	default:
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("invalid header %q", line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("unsupported transfer encoding %q", value)
			}
			r.chunked = true
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return fmt.Errorf("invalid content length %q", value)
			}
			r.bytesLeft = int(n)
		}
	}
	return nil
}

// parseBody parses bytes of the event stream.
func (r *Reader) parseBody(b []byte, messages []Message) ([]Message, error) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			r.eventLine, b = append(r.eventLine, b...), nil
		} else {
			r.eventLine, b = append(r.eventLine, b[:end]...), b[end+1:]
		}
		if len(r.eventLine)+len(r.data) > maxEventBytes {
			return messages, errors.New("event is too long")
		}
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(r.eventLine, []byte("\r"))
		if len(line) == 0 {
			if r.hasData {
				messages = append(messages, Message{ID: r.id, Data: string(bytes.TrimSuffix(r.data, []byte("\n")))})
			}
			r.data, r.hasData = r.data[:0], false
		} else {
			name, value, _ := bytes.Cut(line, []byte(":"))
			value = bytes.TrimPrefix(value, []byte(" "))
			switch string(name) {
			case "id":
				r.id = string(value)
			case "data":
				r.data = append(append(r.data, value...), '\n')
				r.hasData = true
			}
		}
		r.eventLine = r.eventLine[:0]
	}
	return messages, nil
}
