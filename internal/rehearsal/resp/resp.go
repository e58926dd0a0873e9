// Package resp is the boxes' side of the RESP protocol: it parses commands from a byte stream and encodes replies. It uses no
// socket; both rehearsal drivers use it, so that a gateway sees the same bytes in virtual time.
package resp

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Command is one command: GET, DROP, PING or LOAD.
type Command struct {
	Verb, ID string
	Fields   map[string]string
	Body     int // bytes
}

// Limits on commands, in bytes: a string, the body of a GET, and a length line.
const (
	maxString     = 4 << 10
	maxBody       = 48_000
	maxLengthLine = 16
)

// Reader parses commands from a byte stream, however it is split.
type Reader struct{ buffer []byte }

// Feed adds bytes and returns the commands that are complete. After an error the connection must be closed.
func (r *Reader) Feed(b []byte) (found []Command, err error) {
	r.buffer = append(r.buffer, b...)
	for {
		c, n, err := parseCommand(r.buffer)
		if err != nil || n == 0 {
			return found, err
		}
		found = append(found, c)
		r.buffer = append(r.buffer[:0], r.buffer[n:]...)
	}
}

var errIncomplete = errors.New("incomplete command")

// parseCommand parses the first command; used is 0 if it is incomplete.
func parseCommand(b []byte) (c Command, used int, err error) {
	at := 0
	readLength := func(sign byte, limit int) (int, error) {
		for i := at; i < len(b); i++ {
			if b[i] != '\n' {
				if i-at > maxLengthLine {
					return 0, errors.New("length prefix too long")
				}
				continue
			}
			line := strings.TrimSuffix(string(b[at:i]), "\r")
			if line == "" || line[0] != sign {
				return 0, fmt.Errorf("expected a length prefix, got %q", line)
			}
			n, err := strconv.Atoi(line[1:])
			if err != nil || n < 0 || n > limit {
				return 0, fmt.Errorf("invalid length %q", line)
			}
			at = i + 1
			return n, nil
		}
		return 0, errIncomplete
	}
	stringCount, err := readLength('*', 4)
	words := make([]string, 0, 4)
	for i := 0; err == nil && i < stringCount; i++ {
		limit := maxString
		if i == 3 {
			limit = maxBody
		}
		var n int
		if n, err = readLength('$', limit); err == nil && at+n+2 > len(b) {
			err = errIncomplete
		}
		if err == nil {
			if b[at+n] != '\r' || b[at+n+1] != '\n' {
				return c, 0, errors.New("string not terminated by CRLF")
			}
			words = append(words, string(b[at:at+n]))
			at += n + 2
		}
	}
	if errors.Is(err, errIncomplete) {
		return c, 0, nil
	}
	if err != nil {
		return c, 0, err
	}
	stringsOf := map[string]int{"GET": 4, "DROP": 2, "PING": 2, "LOAD": 2}
	if len(words) < 2 || stringsOf[words[0]] != len(words) {
		return c, 0, fmt.Errorf("malformed command %q of %d strings", strings.Join(words[:min(1, len(words))], ""), len(words))
	}
	c = Command{Verb: words[0], ID: words[1]}
	if c.Verb == "GET" {
		c.Body = len(words[3])
		c.Fields = map[string]string{}
		for pair := range strings.SplitSeq(words[2], ",") {
			name, value, ok := strings.Cut(pair, "=")
			if !ok {
				return c, 0, fmt.Errorf("malformed field %.80q", pair)
			}
			c.Fields[name] = value
		}
	}
	return c, at, nil
}

// Answer appends an encoded reply.
func Answer(out []byte, tag, word, fields string, body []byte) []byte {
	out = append(out, "*4\r\n"...)
	for _, s := range []string{tag, word, fields} {
		out = append(strconv.AppendInt(append(out, '$'), int64(len(s)), 10), "\r\n"...)
		out = append(append(out, s...), "\r\n"...)
	}
	out = append(strconv.AppendInt(append(out, '$'), int64(len(body)), 10), "\r\n"...)
	return append(append(out, body...), "\r\n"...)
}
