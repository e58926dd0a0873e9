//go:build debug

package failpoint

import (
	"sync"
	"syscall"
	"time"
)

// On reports whether this build has failpoints.
const On = true

var (
	mu     sync.Mutex
	block  Block
	passes = map[string]int{} // number of passes so far, by failpoint
)

// Set activates the failpoints of a block. Passes are counted from now on.
func Set(b Block) {
	mu.Lock()
	defer mu.Unlock()
	block = b
	clear(passes)
}

// Here marks a failpoint: it counts the pass, and stops or kills the process if the block says so.
func Here(name string) {
	mu.Lock()
	passes[name]++
	pass, stop, kill := passes[name], block.stop[name], block.kill[name]
	mu.Unlock()
	switch pass {
	case kill:
		syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
	case stop:
		syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
	default:
		return
	}
	time.Sleep(20 * time.Millisecond) // the signal may be delivered to another thread first
}
