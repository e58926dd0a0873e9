//go:build !debug

package failpoint

// On reports whether this build has failpoints.
const On = false

// Set does nothing in a release build.
func Set(Block) {}

// Here does nothing in a release build.
func Here(string) {}
