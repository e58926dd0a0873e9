// Command drill runs routers for a simulator: it reads batches of events from standard input and writes replies to standard output.
package main

import (
	"fmt"
	"os"

	"poppymill/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
