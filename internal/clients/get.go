package clients

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// Response is what a gateway answered.
type Response struct {
	Status int
	Fields map[string]string
	Body   []byte
}

// Get sends one request to a gateway and reads the answer, for trying a gateway by hand and in tests.
func Get(ctx context.Context, address string, params map[string]string, body []byte) (Response, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return Response{}, err
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	const id = 1
	var pairs []byte
	for name, value := range params {
		for _, s := range []string{name, value} {
			pairs = binary.BigEndian.AppendUint32(pairs, uint32(len(s))|1<<31)
		}
		pairs = append(append(pairs, name...), value...)
	}
	out := record(nil, typeBegin, id, []byte{1: roleResponder, 7: 0})
	out = record(record(out, typeParams, id, pairs), typeParams, id, nil)
	for len(body) > 0 {
		n := min(len(body), 1<<15)
		out = record(out, typeStdin, id, body[:n])
		body = body[n:]
	}
	if _, err = nc.Write(record(out, typeStdin, id, nil)); err != nil {
		return Response{}, err
	}
	var text []byte
	for in := bufio.NewReader(nc); ; {
		var h [headLen]byte
		if _, err = io.ReadFull(in, h[:]); err != nil {
			return Response{}, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err = io.ReadFull(in, content); err != nil {
			return Response{}, err
		}
		content = content[:len(content)-int(h[6])]
		switch h[1] {
		case typeStdout:
			text = append(text, content...)
		case typeEnd:
			if len(content) != 8 || content[4] != statusComplete {
				return Response{Status: 503}, errors.New("turned away by the protocol")
			}
			return parse(text)
		}
	}
}

func parse(text []byte) (Response, error) {
	head, body, ok := strings.Cut(string(text), "\r\n\r\n")
	if !ok {
		return Response{}, errors.New("the answer has no head")
	}
	r := Response{Fields: map[string]string{}, Body: []byte(body)}
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		r.Fields[name] = value
	}
	status, _, _ := strings.Cut(r.Fields["Status"], " ")
	var err error
	if r.Status, err = strconv.Atoi(status); err != nil {
		return r, fmt.Errorf("status %q", status)
	}
	return r, nil
}
