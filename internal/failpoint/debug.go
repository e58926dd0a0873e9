//go:build debug

package failpoint

import (
	"sync"
	"syscall"
	"time"
)

// On tells whether this build has any.
const On = true

var (
	mu    sync.Mutex
	block Block
	pass  = map[string]int{}
)

// Set puts a block in force; passes count from now on.
func Set(b Block) {
	mu.Lock()
	defer mu.Unlock()
	block = b
	clear(pass)
}

// Here is called at each pass of a place.
func Here(name string) {
	mu.Lock()
	pass[name]++
	n, stop, kill := pass[name], block.stop[name], block.kill[name]
	mu.Unlock()
	switch n {
	case kill:
		syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
	case stop:
		syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
	default:
		return
	}
	time.Sleep(20 * time.Millisecond) // the signal may come to another thread first
}
