// Package assert checks what must hold whatever peers do. A debug build stops at once, where the cause is still
// near; a release build counts and goes on, as one wrong download is less than a gateway's all.
package assert

import "sync/atomic"

var broken atomic.Int64

// That is called with what must hold; what names it for people.
func That(holds bool, what string) {
	if !holds {
		broken.Add(1)
		fail(what)
	}
}

// Broken counts what did not hold since the start.
func Broken() int64 { return broken.Load() }
