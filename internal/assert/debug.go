//go:build debug

package assert

func fail(message string) { panic("assertion failed: " + message) }
