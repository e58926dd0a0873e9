//go:build debug

package assert

func fail(what string) { panic("does not hold: " + what) }
