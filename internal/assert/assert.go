// Package assert checks invariants that must hold whatever peers send. A debug build panics at the failed check, close
// to its cause. A release build counts the failure and continues: one wrong download is better than losing all
// downloads of the gateway.
package assert

import "sync/atomic"

var failures atomic.Int64

// That checks an invariant, which the message describes.
func That(holds bool, message string) {
	if !holds {
		failures.Add(1)
		fail(message)
	}
}

// Broken returns the number of failed checks since the start.
func Broken() int64 { return failures.Load() }
