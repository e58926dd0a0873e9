// Package kit holds what the cases of the review share: stand-ins for caches, the command channel and web servers, and
// the start and end of gateway processes. All of them use loopback addresses only.
package kit

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record writes lines with the time since its start to a file and to standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.At(time.Now(), format, args...)
}

// At writes a line for something that happened at a time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f ms  %s\n", float64(at.Sub(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Millis is a time in Unix milliseconds.
func Millis(t time.Time) int64 { return t.UnixMilli() }
