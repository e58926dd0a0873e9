// Package simulator runs routers behind a simulator's line protocol: it parses batches of events, passes them to the routers and
// encodes the actions that these return. The names of the protocol are used in this package only, and it makes no decisions.
package simulator

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"poppymill/router"
)

// maxLineLen is the length limit of a line in bytes: a CREATE message has all its settings on one line.
const maxLineLen = 1 << 28

// host holds the routers of one process, by instance; they share no state.
type host struct {
	in            *bufio.Scanner
	out           *bufio.Writer
	routers       map[int]*router.Router
	now           float64
	instance      int // that the next events of the batch are for; -1: none yet
	replyInstance int // that the next actions of the reply are from; -1: none yet
}

// Serve handles batches until the input ends, and writes one reply for each.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewScanner(in), out: bufio.NewWriterSize(out, 1<<16), routers: map[int]*router.Router{}}
	h.in.Buffer(make([]byte, 1<<16), maxLineLen)
	for h.in.Scan() {
		line := h.in.Text()
		if line == "" {
			continue
		}
		if err := h.handleBatch(line); err != nil {
			return err
		}
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
	return h.in.Err()
}

// handleBatch handles one batch, whose first line has been read.
func (h *host) handleBatch(line string) error {
	f := fields{rest: line}
	if name := f.word(); name != "BEGIN_BATCH" {
		return fmt.Errorf("expected BEGIN_BATCH, got %q", name)
	}
	h.now = f.number()
	if f.err != nil {
		return fmt.Errorf("%q: %w", line, f.err)
	}
	h.instance, h.replyInstance = -1, -1
	for h.in.Scan() {
		line = h.in.Text()
		if line == "GO" {
			h.out.WriteString("NEXT\n")
			return nil
		}
		if err := h.handleEvent(line); err != nil {
			if h.instance < 0 {
				return fmt.Errorf("%q: %w", line, err)
			}
			h.reportBug(err)
		}
	}
	if err := h.in.Err(); err != nil {
		return err
	}
	return fmt.Errorf("the input ended within a batch: %w", io.ErrUnexpectedEOF)
}

// reportBug reports an error of the current instance in the reply and on standard error.
func (h *host) reportBug(err error) {
	fmt.Fprintf(os.Stderr, "drill: instance %d at %.3f: %v\n", h.instance, h.now, err)
	h.selectInstance()
	h.out.WriteString("BUG " + strings.Join(strings.Fields(err.Error()), " ") + "\n")
}

// selectInstance writes a FOR line if the reply's instance is not the current one.
func (h *host) selectInstance() {
	if h.replyInstance != h.instance {
		fmt.Fprintf(h.out, "FOR %d\n", h.instance)
		h.replyInstance = h.instance
	}
}

// handleEvent handles one line of a batch. A panic of the router is returned as an error.
func (h *host) handleEvent(line string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	f := fields{rest: line}
	name := f.word()
	switch name {
	case "CONTEXT":
		instance := f.integer()
		if f.err == nil {
			h.instance = int(instance)
		}
		return f.err
	case "SHUTDOWN":
		delete(h.routers, h.instance)
		return nil
	}
	if h.instance < 0 {
		return fmt.Errorf("%s before any CONTEXT", name)
	}
	event, err := h.parse(name, &f)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if event == nil {
		return nil
	}
	if _, started := event.(router.Started); started {
		h.routers[h.instance] = router.New()
	}
	r := h.routers[h.instance]
	if r == nil {
		return fmt.Errorf("%s for an instance that is not running", name)
	}
	for _, action := range r.Handle(h.now, event) {
		h.selectInstance()
		if err := encode(h.out, action); err != nil {
			return err
		}
	}
	return nil
}
