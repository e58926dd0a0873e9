// Package channel follows the command channel: changes of the list of nodes, and purges.
//
// Reader is the protocol, HTTP with server-sent events: it is fed bytes and knows no socket and no clock.
// Follow is its driver.
package channel

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on what the channel may make a gateway hold.
const (
	mostHead  = 16 << 10
	mostEvent = 4 << 20 // a whole list of some thousand nodes
)

// Message is one server-sent event.
type Message struct{ ID, Data string }

type stage int

const (
	inHead stage = iota
	inPlain
	inSize
	inChunk
	inChunkEnd
	inTrailer
)

// Reader reads one answer of the channel.
type Reader struct {
	stage   stage
	line    []byte
	left    int // of the chunk; of a plain body, -1 where its end is not told
	first   bool
	chunked bool
	text    []byte // a line of the events
	id      string
	data    []byte
	filled  bool
	Done    bool // the answer has ended as it should
}

// NewReader waits for the answer to one call.
func NewReader() *Reader { return &Reader{first: true, left: -1} }

// Feed reads bytes, however they are split, and appends the events found. After an error the connection is of
// no more use.
func (r *Reader) Feed(b []byte, found []Message) ([]Message, error) {
	for len(b) > 0 && !r.Done {
		switch r.stage {
		case inPlain, inChunk:
			n := len(b)
			if r.left >= 0 {
				n = min(n, r.left)
				r.left -= n
			}
			var err error
			if found, err = r.body(b[:n], found); err != nil {
				return found, err
			}
			if b = b[n:]; r.left == 0 {
				if r.Done = r.stage == inPlain; !r.Done {
					r.stage = inChunkEnd
				}
			}
		default:
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				r.line, b = append(r.line, b...), nil
			} else {
				r.line, b = append(r.line, b[:end]...), b[end+1:]
			}
			if len(r.line) > mostHead {
				return found, errors.New("a line of the head is too long")
			}
			if end < 0 {
				continue
			}
			line := strings.TrimSuffix(string(r.line), "\r")
			r.line = r.line[:0]
			if err := r.headLine(line); err != nil {
				return found, err
			}
		}
	}
	return found, nil
}

func (r *Reader) headLine(line string) error {
	switch {
	case r.stage == inChunkEnd:
		if line != "" {
			return errors.New("a chunk does not end where it should")
		}
		r.stage = inSize
	case r.stage == inSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return fmt.Errorf("chunk of size %q", line)
		}
		if r.left, r.stage = int(n), inChunk; n == 0 {
			r.stage = inTrailer
		}
	case r.stage == inTrailer:
		r.Done = line == ""
	case r.first:
		r.first = false
		version, rest, _ := strings.Cut(line, " ")
		if status, _, _ := strings.Cut(rest, " "); !strings.HasPrefix(version, "HTTP/1.") || status != "200" {
			return fmt.Errorf("answered %q", line)
		}
	case line == "":
		if r.stage = inPlain; r.chunked {
			r.stage = inSize
		}
		r.Done = r.stage == inPlain && r.left == 0
	default:
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return fmt.Errorf("header %q", line)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("transfer encoding %q", value)
			}
			r.chunked = true
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return fmt.Errorf("content length %q", value)
			}
			r.left = int(n)
		}
	}
	return nil
}

func (r *Reader) body(b []byte, found []Message) ([]Message, error) {
	for len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			r.text, b = append(r.text, b...), nil
		} else {
			r.text, b = append(r.text, b[:end]...), b[end+1:]
		}
		if len(r.text)+len(r.data) > mostEvent {
			return found, errors.New("an event is too long")
		}
		if end < 0 {
			break
		}
		line := bytes.TrimSuffix(r.text, []byte("\r"))
		if len(line) == 0 {
			if r.filled {
				found = append(found, Message{ID: r.id, Data: string(bytes.TrimSuffix(r.data, []byte("\n")))})
			}
			r.data, r.filled = r.data[:0], false
		} else {
			name, value, _ := bytes.Cut(line, []byte(":"))
			value = bytes.TrimPrefix(value, []byte(" "))
			switch string(name) {
			case "id":
				r.id = string(value)
			case "data":
				r.data = append(append(r.data, value...), '\n')
				r.filled = true
			}
		}
		r.text = r.text[:0]
	}
	return found, nil
}
