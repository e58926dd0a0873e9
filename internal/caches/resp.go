// Package caches is a client of caches, parents and the origin, which speak RESP.
//
// Parser and Pool implement the protocol on bytes and events, without sockets or clocks. Dialer opens connections over
// TCP that implement Wire. A Pool is used by a single goroutine of the gateway.
package caches

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"poppymill/internal/buffer"
)

// Limits on a single reply.
const (
	maxStrings     = 4       // bulk strings in the array
	maxStringBytes = 4 << 10 // per string before the body
	maxBodyBytes   = 240_000 // an object
	maxLengthLine  = 16      // bytes of a line with a length
)

// Reply is one reply as received: the ID of its command, a word for the outcome, fields and a body.
type Reply struct {
	ID, Word, Fields string
	Body             *buffer.Body
	Truncated        bool // the body is incomplete, as no buffer was available
}

// Parser is an incremental parser of RESP arrays of bulk strings.
type Parser struct {
	pool        *buffer.Pool
	lengthLine  []byte    // the length line read so far
	stringsLeft int       // of the current array
	index       int       // of the current string in the array
	bytesLeft   int       // of the current string with its CRLF; -1: its length line comes first
	header      [3][]byte // tag, word and fields
	body        *buffer.Body
	truncated   bool
}

// NewParser returns a parser for a new connection that takes buffers for bodies from pool.
func NewParser(pool *buffer.Pool) *Parser { return &Parser{pool: pool, bytesLeft: -1} }

// Feed parses the next bytes of the stream, which may be split anywhere, and appends the completed replies. After an
// error the connection is unusable.
func (p *Parser) Feed(b []byte, replies []Reply) ([]Reply, error) {
	for len(b) > 0 {
		if p.bytesLeft < 0 {
			n, rest, err := p.readLength(b)
			if b = rest; err != nil {
				return replies, err
			}
			if n < 0 {
				return replies, nil
			}
			if p.stringsLeft == 0 {
				p.stringsLeft, p.index = n, 0
			} else {
				p.bytesLeft = n + 2
			}
			continue
		}
		text := b[:max(0, min(len(b), p.bytesLeft-2))]
		switch {
		case p.index < 3:
			p.header[p.index] = append(p.header[p.index], text...)
		case p.index == 3 && len(text) > 0:
			if p.body == nil {
				p.body = buffer.NewChain(p.pool)
			}
			p.truncated = !p.body.Append(text) || p.truncated
		}
		b = b[len(text):]
		p.bytesLeft -= len(text)
		for p.bytesLeft > 0 && p.bytesLeft <= 2 && len(b) > 0 {
			if b[0] != "\n\r"[p.bytesLeft-1] {
				return replies, errors.New("bulk string is not terminated by CRLF")
			}
			b = b[1:]
			p.bytesLeft--
		}
		if p.bytesLeft > 0 {
			continue
		}
		p.bytesLeft = -1
		p.index++
		if p.stringsLeft--; p.stringsLeft > 0 {
			continue
		}
		replies = append(replies, Reply{ID: string(p.header[0]), Word: string(p.header[1]),
			Fields: string(p.header[2]), Body: p.body, Truncated: p.truncated})
		p.body, p.truncated = nil, false
		for i := range p.header {
			p.header[i] = p.header[i][:0]
		}
	}
	return replies, nil
}

// readLength reads the length line of an array or a string. It returns -1 while the line is incomplete.
func (p *Parser) readLength(b []byte) (int, []byte, error) {
	for i, c := range b {
		if c != '\n' {
			if p.lengthLine = append(p.lengthLine, c); len(p.lengthLine) > maxLengthLine {
				return 0, nil, errors.New("length line is too long")
			}
			continue
		}
		prefix, limit := byte('*'), maxStrings
		if p.stringsLeft > 0 {
			if prefix, limit = '$', maxStringBytes; p.index >= 3 {
				limit = maxBodyBytes
			}
		}
		text, ok := strings.CutSuffix(string(p.lengthLine), "\r")
		p.lengthLine = p.lengthLine[:0]
		if !ok || text == "" || text[0] != prefix {
			return 0, nil, fmt.Errorf("%q instead of a length", text)
		}
		n, err := strconv.ParseUint(text[1:], 10, 31)
		if err != nil || int(n) > limit || prefix == '*' && n < 3 {
			return 0, nil, fmt.Errorf("invalid length %q", text)
		}
		return int(n), b[i+1:], nil
	}
	return -1, nil, nil
}

// Release releases the body of an incomplete reply.
func (p *Parser) Release() {
	p.body.Release()
	p.body = nil
}

// MidReply reports whether a reply has been received in part.
func (p *Parser) MidReply() bool { return p.stringsLeft > 0 || len(p.lengthLine) > 0 }

// parseFields parses fields as name=value,name=value, or - for none; false if they are malformed.
func parseFields(text string) (map[string]string, bool) {
	if text == "-" {
		return nil, true
	}
	fields := make(map[string]string, 4)
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return nil, false
		}
		fields[name] = value
	}
	return fields, true
}

// isChecksum reports whether s is the checksum of a copy: 16 hex digits.
func isChecksum(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == 16
}

// parseTime parses a time of the protocol: whole milliseconds of Unix time.
func parseTime(s string) (float64, bool) {
	n, err := strconv.ParseUint(s, 10, 53)
	return float64(n), err == nil
}

// appendLength appends a length line.
func appendLength(out []byte, prefix byte, n int) []byte {
	return append(strconv.AppendInt(append(out, prefix), int64(n), 10), lineEnd...)
}

// appendCommand appends an array of strings. A bodyLen of 0 or more adds a last string of that length, whose bytes the
// caller sends unless it is empty; -1 means no body.
func appendCommand(out []byte, words []string, bodyLen int) []byte {
	n := len(words)
	if bodyLen >= 0 {
		n++
	}
	out = appendLength(out, '*', n)
	for _, w := range words {
		out = append(append(appendLength(out, '$', len(w)), w...), lineEnd...)
	}
	if bodyLen >= 0 {
		out = appendLength(out, '$', bodyLen)
	}
	if bodyLen == 0 {
		out = append(out, lineEnd...)
	}
	return out
}
