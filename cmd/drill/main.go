// Command drill hosts routers on the bench's wire: batches on standard input, replies on standard output.
package main

import (
	"fmt"
	"os"

	"poppymill/internal/nimbus"
)

func main() {
	if err := nimbus.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
