// Package caches speaks RESP with the caches, the parents and the origin.
//
// Parser and Pool are the protocol: they are fed bytes and events and know no socket and no clock. Wire is the
// driver of one connection. Pool belongs to the gateway's one goroutine.
package caches

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"poppymill/internal/buffer"
)

// Bounds on what one answer may hold.
const (
	mostParts  = 4
	mostWord   = 4 << 10
	mostAnswer = 240_000 // an object's bytes
	mostLine   = 16
)

// Reply is one answer as it came: a tag, a word, fields, a body.
type Reply struct {
	Tag, Word, Fields string
	Body              *buffer.Chain
	Short             bool // no buffer was left for the body
}

// Parser reads RESP arrays of bulk strings.
type Parser struct {
	pool  *buffer.Pool
	line  []byte // of a length, until its end
	left  int    // bulk strings to come of this array
	part  int    // which comes next
	need  int    // bytes of the present one, with its line end; -1: its length comes first
	words [3][]byte
	body  *buffer.Chain
	short bool
}

// NewParser makes a parser for a new connection.
func NewParser(pool *buffer.Pool) *Parser { return &Parser{pool: pool, need: -1} }

// Feed reads bytes, however they are split, and appends what it finds. After an error the connection is of no
// more use.
func (p *Parser) Feed(b []byte, found []Reply) ([]Reply, error) {
	for len(b) > 0 {
		if p.need < 0 {
			n, rest, err := p.length(b)
			if b = rest; err != nil {
				return found, err
			}
			if n < 0 {
				return found, nil
			}
			if p.left == 0 {
				p.left, p.part = n, 0
			} else {
				p.need = n + 2
			}
			continue
		}
		text := b[:max(0, min(len(b), p.need-2))]
		switch {
		case p.part < 3:
			p.words[p.part] = append(p.words[p.part], text...)
		case p.part == 3 && len(text) > 0:
			if p.body == nil {
				p.body = buffer.NewChain(p.pool)
			}
			p.short = !p.body.Append(text) || p.short
		}
		b = b[len(text):]
		p.need -= len(text)
		for p.need > 0 && p.need <= 2 && len(b) > 0 {
			if b[0] != "\n\r"[p.need-1] {
				return found, errors.New("a string does not end where it should")
			}
			b = b[1:]
			p.need--
		}
		if p.need > 0 {
			continue
		}
		p.need = -1
		p.part++
		if p.left--; p.left > 0 {
			continue
		}
		found = append(found, Reply{Tag: string(p.words[0]), Word: string(p.words[1]),
			Fields: string(p.words[2]), Body: p.body, Short: p.short})
		p.body, p.short = nil, false
		for i := range p.words {
			p.words[i] = p.words[i][:0]
		}
	}
	return found, nil
}

// length reads the line before an array or a string; -1 while it is not whole.
func (p *Parser) length(b []byte) (int, []byte, error) {
	for i, c := range b {
		if c != '\n' {
			if p.line = append(p.line, c); len(p.line) > mostLine {
				return 0, nil, errors.New("a length is too long")
			}
			continue
		}
		sign, most := byte('*'), mostParts
		if p.left > 0 {
			if sign, most = '$', mostWord; p.part >= 3 {
				most = mostAnswer
			}
		}
		text, ok := strings.CutSuffix(string(p.line), "\r")
		p.line = p.line[:0]
		if !ok || text == "" || text[0] != sign {
			return 0, nil, fmt.Errorf("%q in place of a length", text)
		}
		n, err := strconv.ParseUint(text[1:], 10, 31)
		if err != nil || int(n) > most || sign == '*' && n < 3 {
			return 0, nil, fmt.Errorf("length %q", text)
		}
		return int(n), b[i+1:], nil
	}
	return -1, nil, nil
}

// Release lets go of what has come in part.
func (p *Parser) Release() {
	p.body.Release()
	p.body = nil
}

// Amid tells whether an answer is under way.
func (p *Parser) Amid() bool { return p.left > 0 || len(p.line) > 0 }

// parseFields reads a list name=value,name=value, or - for none; false where it is none.
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

// tag tells whether a word is a copy's tag: 16 hex digits.
func tag(s string) bool {
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil && len(s) == 16
}

// number reads a time as the protocol writes one.
func number(s string) (float64, bool) {
	n, err := strconv.ParseUint(s, 10, 53)
	return float64(n), err == nil
}

func length(out []byte, sign byte, n int) []byte {
	return append(strconv.AppendInt(append(out, sign), int64(n), 10), lineEnd...)
}

// command writes an array of short strings; where a body of the given length is to follow, it opens
// that too; -1 is none.
func command(out []byte, words []string, body int) []byte {
	n := len(words)
	if body >= 0 {
		n++
	}
	out = length(out, '*', n)
	for _, w := range words {
		out = append(append(length(out, '$', len(w)), w...), lineEnd...)
	}
	if body >= 0 {
		out = length(out, '$', body)
	}
	if body == 0 {
		out = append(out, lineEnd...)
	}
	return out
}
