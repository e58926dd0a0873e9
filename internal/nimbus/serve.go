// Package nimbus speaks the bench's wire: it parses batches of events, hosts many routers and encodes what
// they decide. The wire's names end here, and nothing is decided here.
package nimbus

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"poppymill/router"
)

// longest is the longest line that is read: a start carries all its settings on one.
const longest = 1 << 28

// host holds the routers of one process, which share nothing.
type host struct {
	in      *bufio.Scanner
	out     *bufio.Writer
	routers map[int]*router.Router
	now     float64
	at      int // the instance that the batch speaks of, -1 for none yet
	said    int // the instance that the reply speaks of
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewScanner(in), out: bufio.NewWriterSize(out, 1<<16), routers: map[int]*router.Router{}}
	h.in.Buffer(make([]byte, 1<<16), longest)
	for h.in.Scan() {
		line := h.in.Text()
		if line == "" {
			continue
		}
		if err := h.batch(line); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
	return h.in.Err()
}

func (h *host) batch(line string) error {
	f := fields{rest: line}
	if name := f.word(); name != "BEGIN_BATCH" {
		return fmt.Errorf("expected BEGIN_BATCH, got %q", name)
	}
	h.now = f.number()
	if f.err != nil {
		return fmt.Errorf("%q: %w", line, f.err)
	}
	h.at, h.said = -1, -1
	for h.in.Scan() {
		line = h.in.Text()
		if line == "GO" {
			h.out.WriteString("NEXT\n")
			return nil
		}
		if err := h.event(line); err != nil {
			if h.at < 0 {
				return fmt.Errorf("%q: %w", line, err)
			}
			h.bug(err)
		}
	}
	if err := h.in.Err(); err != nil {
		return err
	}
	return fmt.Errorf("the input ended within a batch: %w", io.ErrUnexpectedEOF)
}

// bug reports a failure of one instance both to the wire and to people.
func (h *host) bug(err error) {
	fmt.Fprintf(os.Stderr, "drill: instance %d at %.3f: %v\n", h.at, h.now, err)
	h.speak()
	h.out.WriteString("BUG " + strings.Join(strings.Fields(err.Error()), " ") + "\n")
}

func (h *host) speak() {
	if h.said != h.at {
		fmt.Fprintf(h.out, "FOR %d\n", h.at)
		h.said = h.at
	}
}

func (h *host) event(line string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	f := fields{rest: line}
	name := f.word()
	switch name {
	case "CONTEXT":
		at := f.integer()
		if f.err == nil {
			h.at = int(at)
		}
		return f.err
	case "SHUTDOWN":
		delete(h.routers, h.at)
		return nil
	}
	if h.at < 0 {
		return fmt.Errorf("%s before any CONTEXT", name)
	}
	e, err := h.parse(name, &f)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if e == nil {
		return nil
	}
	if _, fresh := e.(router.Started); fresh {
		h.routers[h.at] = router.New()
	}
	r := h.routers[h.at]
	if r == nil {
		return fmt.Errorf("%s for an instance that is not running", name)
	}
	for _, a := range r.Handle(h.now, e) {
		h.speak()
		if err := encode(h.out, a); err != nil {
			return err
		}
	}
	return nil
}
